/** @file
 * Own settings of an entry host on the platform: flags, each with an
 * environment variable.  What the platform decides is in its settings file
 * (platform/node-settings.h).
 */
#ifndef KQ_NODE_OPTIONS_H
#define KQ_NODE_OPTIONS_H

#include <stdio.h>

#include "log/log.h"

struct kq_node_options
{
  int metrics_port; /**< 0: none */
  enum kq_log_level log_level;
};

/** What the program does next. */
enum kq_node_options_result
{
  KQ_NODE_RUN,
  KQ_NODE_SHOWN /**< --help or --version was answered */
};

/** Reads flags and environment; --help and --version are answered on OUT, and
 *  what is wrong is said on ERRORS: the flag, its value, what is allowed.
 *  @return a kq_node_options_result, or KQ_ESETTING, or KQ_ENOMEM.  */
int kq_node_options_read (int argc, char **argv, FILE *out, FILE *errors,
                          struct kq_node_options *options);

#endif

/** @file
 * Command line options of an entry host on the platform, each with an
 * environment variable. Settings that the platform controls are in its
 * settings file (platform/node-settings.h).
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

/** What the program does after reading its options. */
enum kq_node_options_result
{
  KQ_NODE_RUN,
  KQ_NODE_SHOWN /**< exits; --help or --version was printed */
};

/** Reads flags and environment. Prints the output of --help and --version to
 *  OUT. Reports an invalid option on ERRORS with the flag, its value and the
 *  allowed values.
 *  @return a kq_node_options_result, or KQ_ESETTING, or KQ_ENOMEM.  */
int kq_node_options_read (int argc, char **argv, FILE *out, FILE *errors,
                          struct kq_node_options *options);

#endif

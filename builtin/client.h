/** @file
 * The tool's HTTP client: hands a command to an entry host.
 */
#ifndef KQ_BUILTIN_CLIENT_H
#define KQ_BUILTIN_CLIENT_H

#include "builtin/builtin.h"

/** Sends TEXT to the entry hosts of OPTIONS in turn until one answers.  A
 *  command that CHANGES something goes on to the next host only while it is
 *  certain that no host has read it.
 *  @return 0 with a new object in *ANSWER, KQ_ECLOSED when nobody answered
 *  and nothing was sent, or KQ_ETIMEDOUT when the outcome is unknown.  */
int kq_client_send (const struct kq_tool_options *options, const char *text,
                    bool changes, json_t **answer);

#endif

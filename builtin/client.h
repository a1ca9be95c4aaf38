/** @file
 * HTTP client of the command-line tool: sends a command to an entry host.
 */
#ifndef KQ_BUILTIN_CLIENT_H
#define KQ_BUILTIN_CLIENT_H

#include "builtin/builtin.h"

/** Sends TEXT to the entry hosts of OPTIONS in order until one responds.  If
 *  IS_CHANGE, the next host is tried only while it is certain that no host
 *  has read the command, so that the change is not made twice.
 *  @return 0 with a new object in *RESPONSE, KQ_ECLOSED if no host responded
 *  and no change was sent, or KQ_ETIMEDOUT if the outcome is unknown.  */
int kq_client_send (const struct kq_tool_options *options, const char *text,
                    bool is_change, json_t **response);

#endif

/** @file
 * How an entry host describes itself to the others.
 */
#ifndef KQ_NODE_SELF_H
#define KQ_NODE_SELF_H

#include "platform/node-settings.h"
#include "term/hosts.h"

/** Fills SELF from the settings, with an identifier that differs at each start
 *  of the process.  */
void kq_self_describe (const struct kq_node_settings *settings,
                       struct kq_host *self);

#endif

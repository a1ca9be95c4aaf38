/** @file
 * Figures of closed queues in the messages between hosts (kq_closures_*): the
 * owner adds them to its replies, and a front takes them over.
 */
#ifndef KQ_NODE_CLOSURES_H
#define KQ_NODE_CLOSURES_H

#include "node/admission.h"
#include "node/hop.h"
#include "node/owner.h"

/** Sends MESSAGE to SENDER, with the queues that OWNER, which may be NULL, has
 *  closed if that front is to be told.  */
void kq_closures_send_reply (struct kq_hop *hop, struct kq_owner *owner,
                             struct kq_admission_fronts *fronts,
                             const struct kq_hop_sender *sender,
                             KqNode__Tell *message);

/** Takes over the figures in MESSAGE, the reply to a request that arrived at
 *  SINCE; MESSAGE may be NULL. Malformed ones change nothing.  */
void kq_closures_note (struct kq_admission *admission,
                       const KqNode__Tell *message, kq_usec since);

/** Returns whether the job in BODY may be refused: those that run for long or
 *  at set times never are, nor is a malformed one refused here.  */
bool kq_closures_may_refuse (const void *body, size_t size);

/** Registers the metrics of this module; must be called once. */
void kq_closures_register_metrics (void);

#endif

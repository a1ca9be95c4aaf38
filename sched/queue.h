/** @file
 * Stored settings of queues (queue_*).  Jobs outlive the configuration of
 * their queue: they keep its last settings, also with a later owner.
 */
#ifndef KQ_SCHED_QUEUE_H
#define KQ_SCHED_QUEUE_H

#include "sched/record.pb-c.h"
#include "sched/types.h"

/** Fills RECORD with the settings of QUEUE, which it refers to. */
void queue_to_record (const struct kq_sched_queue *queue,
                      KqSched__QueueRecord *record);

/** Sets the settings of QUEUE from RECORD, which may be NULL.  Without valid
 *  ones its service is "", which no worker has.  */
void queue_from_record (struct kq_sched_queue *queue,
                        const KqSched__QueueRecord *record);

/** Returns whether the stored settings of A and B are the same. */
bool queue_is_equal (const struct kq_sched_queue *a,
                     const struct kq_sched_queue *b);

#endif

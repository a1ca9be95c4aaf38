/** @file
 * Cancelled IDs without a job (tombstone_*).
 */
#ifndef KQ_SCHED_TOMBSTONE_H
#define KQ_SCHED_TOMBSTONE_H

#include "sched/sched.h"

struct tombstone;

/** Remembers that ID was cancelled while no job had it, from now on.
 *  @param position is set to the journal position that stores this.
 *  @return 0, KQ_ENOMEM, or KQ_EREQ_OVERLOAD if too many are remembered.  */
int tombstone_add (struct kq_sched *sched, struct kq_sched_now now,
                   uint64_t id, uint64_t *position);

/** Answers EVENT, the submission of an ID that no job has, if that was
 *  cancelled before.
 *  @return whether it was answered.  */
bool tombstone_answer (struct kq_sched *sched, struct kq_sched_now now,
                       const struct kq_sched_event *event);

/** Returns how many are remembered. */
int tombstone_count (const struct kq_sched *sched);

/** Dates those that were restored without a valid age. */
void tombstone_finish_restore (struct kq_sched *sched,
                               struct kq_sched_now now);

/** Forgets those whose retention is over. */
void tombstone_tick (struct kq_sched *sched, struct kq_sched_now now);

/** Returns how many records tombstone_encode() fills at most. */
int tombstone_max_records (const struct kq_sched *sched);

/** Fills RECORDS with what has changed; returns their number. */
int tombstone_encode (struct kq_sched *sched, struct kq_sched_record *records);

void tombstone_clear (struct kq_sched *sched);

#endif

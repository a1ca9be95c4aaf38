/** @file
 * How long an ended job is remembered, in the time for which its cell has had
 * an owner.
 */
#ifndef KQ_SCHED_RETENTION_H
#define KQ_SCHED_RETENTION_H

#include "sched/sched.h"

struct job;

/** Begins to count the age of the cell on this owner's monotonic clock, from
 *  what an earlier owner has stored.  */
void retention_begin (struct kq_sched *sched, kq_usec mono);

/** Dates the end of JOB.  */
void retention_note_end (const struct kq_sched *sched, struct job *job,
                         struct kq_sched_now now);

/** Dates the end of JOB, which is restored, if it is not known on the scale of
 *  this owner, and has that stored.  */
void retention_note_restored (struct kq_sched *sched, struct job *job,
                              struct kq_sched_now now);

/** Returns the age of the cell in ms, at least 1.  */
int64_t retention_age_ms (const struct kq_sched *sched,
                          struct kq_sched_now now);

/** Returns whether what ended at the age AGE_MS of the cell need not be
 *  remembered any more.  */
bool retention_has_passed (const struct kq_sched *sched, int64_t age_ms,
                           struct kq_sched_now now);

/** Returns whether JOB ended longer ago than it must be remembered.  */
bool retention_is_over (const struct kq_sched *sched, const struct job *job,
                        struct kq_sched_now now);

/** Has the age of the cell stored if that was long ago.  */
void retention_tick (struct kq_sched *sched, struct kq_sched_now now);

/** Returns 1 if RECORD was filled with the age of the cell, which is to be
 *  stored, or 0.  */
int retention_encode (struct kq_sched *sched, struct kq_sched_record *record);

#endif

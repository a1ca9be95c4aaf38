/** @file
 * The records of the state of jobs (state_*), in parts that fit into a record
 * of the store.
 */
#ifndef KQ_SCHED_STATE_H
#define KQ_SCHED_STATE_H

#include "sched/record.pb-c.h"
#include "sched/sched.h"

struct job;

/** Returns the maximum number of records that state_encode() or state_delete()
 *  fills for JOB.  */
int state_max_records (const struct job *job, size_t max_bytes);

/** Fills RECORDS with the state of JOB as far as the store does not have it; a
 *  value has at most MAX_BYTES, which must suffice for one task.
 *  @return the number of records, or KQ_ENOMEM.  */
int state_encode (struct job *job, size_t max_bytes,
                  struct kq_sched_record *records);

/** Fills RECORDS with those that delete the state of JOB.
 *  @return their number.  */
int state_delete (const struct job *job, struct kq_sched_record *records);

/** Restores the state of JOB from part 0 of it.
 *  @return 0 or KQ_ENOMEM.  */
int state_restore (struct kq_sched *sched, struct kq_sched_now now,
                   struct job *job, const KqSched__StateRecord *message);

#endif

/** @file
 * Checkpoints of tasks (checkpoint_*): texts of any length that workers
 * return, and that a task's next start carries unchanged.
 */
#ifndef KQ_SCHED_CHECKPOINT_H
#define KQ_SCHED_CHECKPOINT_H

#include "sched/sched.h"

struct checkpoint;
struct job;
struct task;

/** Returns the checkpoint of TASK, "" if it has none; valid until it changes.
 */
const char *checkpoint_text (const struct task *task);

/** Returns its length in bytes. */
size_t checkpoint_size (const struct task *task);

/** Sets the checkpoint of TASK to a copy of TEXT.  A text that is too long, or
 *  for which there is no room, leaves the task with its last one.
 *  @return whether it was set.  */
bool checkpoint_set (struct kq_sched *sched, struct task *task,
                     const char *text);

/** Gives TASK the checkpoint of SOURCE, a member of the same gang. */
void checkpoint_share (struct kq_sched *sched, struct task *task,
                       const struct task *source);

/** Frees what TASK refers to. */
void checkpoint_clear (struct kq_sched *sched, struct task *task);

/** Returns the checkpoint of TASK if it is part of the task's record, else "".
 */
const char *checkpoint_inline (const struct task *task);

/** Returns how many records checkpoint_encode() or checkpoint_delete() fills
 *  at most.  */
int checkpoint_max_records (const struct job *job);

/** Fills RECORDS with the long checkpoints of JOB that have changed, none
 *  larger than MAX_BYTES, and with deletions of those that are not needed any
 *  more.  They belong before the state of the job.
 *  @return their number, or KQ_ENOMEM.  */
int checkpoint_encode (struct kq_sched *sched, struct job *job,
                       size_t max_bytes, struct kq_sched_record *records);

/** Fills RECORDS with deletions of all of them; returns their number. */
int checkpoint_delete (const struct job *job, struct kq_sched_record *records);

#endif

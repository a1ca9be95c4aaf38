/** @file
 * Losses of workers, under whose tasks they count.
 */
#ifndef KQ_SCHED_CRASH_H
#define KQ_SCHED_CRASH_H

#include <stdbool.h>

#include "sched/internal.h"

/** Records that a later incarnation of WORKER than the known one is seen; the
 *  known one has crashed unless it announced its end. */
void crash_note_incarnation (struct kq_sched *sched, struct worker *worker,
                             struct kq_sched_now now);

/** Ends all runs at WORKER, which is lost. PROVEN: it has crashed and was not
 *  only silent. */
void crash_end_runs (struct kq_sched *sched, struct worker *worker,
                     struct kq_sched_now now, const char *why, bool proven);

/** Whether all runs at WORKER that have not settled belong to one job. */
bool crash_has_one_cause (const struct worker *worker);

/** Returns the only task whose run at WORKER has not settled, or NULL. */
const struct task *crash_find_cause (const struct worker *worker);

/** Ends the run of TASK, which its worker has neither running nor ended.
 *  ONE_CAUSE: crash_has_one_cause() before any such run was ended. */
void crash_end_missing_run (struct kq_sched *sched, struct task *task,
                            struct kq_sched_now now, const char *why,
                            bool one_cause);

/** Counts the incarnation of WORKER that is over under TASK, an earlier run of
 *  which it may have begun.  It may also have crashed by itself, so that this
 *  is set aside: it is one of the starts of TASK, but no proof against it.  */
void crash_count_late_loss (struct kq_sched *sched, struct task *task,
                            struct worker *worker, struct kq_sched_now now);

/** Ends the jobs of tasks that were given up. Their other runs are stopped, so
 *  that no list of tasks may be walked meanwhile. */
void crash_end_jobs (struct kq_sched *sched, struct kq_sched_now now);

#endif

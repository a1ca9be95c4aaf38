/** @file
 * A task that is bound to a shard which this host owns.
 *
 * Rules, asserted: one live attempt a task; a resume starts from the best
 * checkpoint of the attempts that have ended, and each end is used once.
 */
#ifndef KQ_JOB_RUN_H
#define KQ_JOB_RUN_H

#include <stdbool.h>
#include <uthash.h>

#include "core/event.h"
#include "worker/worker.h"

/** Healthy workers on which a task fails before it is given up. */
#define KQ_RUN_MAX_FAILURES 3

struct kq_run
{
  struct kq_task_id id;
  enum kq_task_kind kind;
  struct kq_size size;
  int64_t run_ms;
  int32_t importance;
  int64_t binding;             /**< offset of the BIND record in force */
  int64_t checkpoint;          /**< the next attempt resumes from here */
  struct kq_attempt *attempts; /**< known at workers, oldest first */
  bool tracked;   /**< no attempt can be anywhere that is not listed */
  bool done;      /**< ended; an END record is to be appended */
  int end_err;    /**< of that record */
  bool releasing; /**< a RELEASE record is on its way */
  int failures;   /**< distinct workers on which it failed */
  struct kq_name failed_on[KQ_RUN_MAX_FAILURES];
  int moved;            /**< attempts that were evicted */
  int tries;            /**< attempts that failed, on whichever worker */
  kq_usec waits_since;  /**< idle since then */
  kq_usec starts_after; /**< after a failure, not started before */
  int waits;            /**< why it is idle, for operators */
  void *owner;          /**< the shard, see core/ */
  UT_hash_handle hh;
  struct kq_run *prev, *next; /**< list of the shard */
};

/** Creates the run of task ID of JOB; NULL when out of memory. */
struct kq_run *kq_run_create (const struct kq_task_id *id,
                              const struct kq_job *job);

/** Frees RUN; its attempts lose their task and are to be ended. */
void kq_run_destroy (struct kq_run *run);

/** Makes ATTEMPT, which is being started, one of RUN.  Ends the process when
 *  RUN has another that runs or may run.  */
void kq_run_start (struct kq_run *run, struct kq_attempt *attempt);

/** Makes ATTEMPT, which was found at its worker, one of RUN. */
void kq_run_attach (struct kq_run *run, struct kq_attempt *attempt);

/** Takes ATTEMPT out of its run, if it has one. */
void kq_run_detach (struct kq_attempt *attempt);

/** Returns the newest attempt that runs or may run, or NULL. */
struct kq_attempt *kq_run_live (const struct kq_run *run);

/** Takes what the row of ATTEMPT says now: progress, success or failure.
 *  @param judged whether a failure counts against the task.  */
void kq_run_note (struct kq_run *run, struct kq_attempt *attempt, bool judged);

/** Returns whether the task failed on worker NAME before. */
bool kq_run_failed_on (const struct kq_run *run, const struct kq_name *name);

#endif

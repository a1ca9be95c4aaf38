/** @file
 * A task that is bound to a shard which this host owns.
 *
 * Invariants: a task has at most one live attempt (asserted); a resumed task
 * starts from the furthest checkpoint of its ended attempts, and the end of
 * each attempt is counted once.
 */
#ifndef KQ_JOB_RUN_H
#define KQ_JOB_RUN_H

#include <stdbool.h>
#include <uthash.h>

#include "core/event.h"
#include "worker/worker.h"

/** Number of distinct healthy workers on which a task fails before it is
 *  given up.  */
#define KQ_RUN_MAX_FAILED_WORKERS 3

/** State that the owner of the shard keeps about one task. */
struct kq_run
{
  struct kq_task_id id;
  enum kq_task_kind kind;
  struct kq_resources size;
  int64_t run_ms;
  int32_t importance;
  int64_t binding;    /**< offset of the current BIND record */
  int64_t checkpoint; /**< progress that the next attempt resumes from, in
                         ms of run time */
  struct kq_attempt *attempts; /**< attempts listed by workers, oldest first */
  bool attempts_known; /**< every attempt that may still run is in attempts */
  bool done;           /**< ended; an END record has to be appended */
  int end_err;         /**< error code for the END record */
  bool releasing;      /**< a RELEASE record is being appended */
  int failed_worker_count; /**< number of entries of failed_workers */
  struct kq_name failed_workers[KQ_RUN_MAX_FAILED_WORKERS];
  int eviction_count;     /**< number of evicted attempts */
  int failed_attempts;    /**< number of failed attempts on all workers */
  kq_usec waiting_since;  /**< since when no attempt runs */
  kq_usec earliest_start; /**< earliest start of the next attempt, delayed
                           after a failure */
  int wait_err;           /**< error code that explains to operators why no
                             attempt runs */
  void *owner;            /**< the shard that owns the run, see core/ */
  UT_hash_handle hh;
  struct kq_run *prev, *next; /**< list of the shard */
};

/** Creates the run of task ID of JOB; NULL when out of memory. */
struct kq_run *kq_run_create (const struct kq_task_id *id,
                              const struct kq_job *job);

/** Frees RUN and detaches its attempts, which the caller has to end. */
void kq_run_destroy (struct kq_run *run);

/** Adds ATTEMPT, which is being started, to RUN.  Aborts the process when
 *  RUN already has an attempt that runs or may run.  */
void kq_run_start (struct kq_run *run, struct kq_attempt *attempt);

/** Adds ATTEMPT, which its worker has reported, to RUN. */
void kq_run_attach (struct kq_run *run, struct kq_attempt *attempt);

/** Removes ATTEMPT from its run, if it has one. */
void kq_run_detach (struct kq_attempt *attempt);

/** Returns the newest attempt of RUN that runs or may run, or NULL. */
struct kq_attempt *kq_run_live_attempt (const struct kq_run *run);

/** Updates RUN from the row of ATTEMPT: progress, success or failure.
 *  @param counts_failure whether a failure counts against the task.  */
void kq_run_update (struct kq_run *run, struct kq_attempt *attempt,
                    bool counts_failure);

/** Returns whether a counted failure of the task was on worker NAME. */
bool kq_run_failed_on (const struct kq_run *run, const struct kq_name *name);

#endif

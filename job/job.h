/** @file
 * Replicated table of jobs and their tasks, built from the records of the log.
 *
 * Every host applies the same records in the same order, so all hosts agree
 * on which shard a task is bound to and whether it has ended.  The state that
 * only the owner of a shard keeps about its tasks is in job/run.h.
 *
 * A task is bound when a BIND record has assigned it to a shard.  The epoch of
 * a shard is the offset of its newest EPOCH record and fences records of
 * earlier owners.
 */
#ifndef KQ_JOB_JOB_H
#define KQ_JOB_JOB_H

#include <stdbool.h>
#include <uthash.h>

#include "core/event.h"

/** Largest number of tasks of one job. */
#define KQ_JOB_MAX_TASKS 100000

/** Largest number of finished jobs that are kept, so that a late duplicate of
 *  a JOB record does not start the job again.  */
#define KQ_JOB_MAX_FINISHED 20000

/** A shard that is named in records. */
struct kq_job_shard
{
  struct kq_name name;
  uint64_t epoch; /**< offset of the last EPOCH record read; 0 = none */
  int32_t bound;  /**< number of live tasks bound to it */
  UT_hash_handle hh;
};

/** One task. */
struct kq_job_task
{
  struct kq_job_shard *shard; /**< NULL = not bound */
  int64_t binding;            /**< offset of its BIND record */
  int64_t checkpoint; /**< progress at its last release, in ms of run time */
  bool ended;
};

/** One job. */
struct kq_job_state
{
  struct kq_job job;
  int64_t offset; /**< of its JOB record or of its newest snapshot */
  int64_t
      checked_offset; /**< value of offset when the refresh last checked it */
  kq_usec record_read_at; /**< when this host read the record at that offset */
  bool cancelled;
  int32_t ended;  /**< number of tasks that have ended */
  int32_t failed; /**< number of ended tasks that were given up */
  int32_t bound;  /**< number of live tasks that are bound */
  int last_err;   /**< error of the task given up last */
  int wait_err;   /**< error code that explains why this host has not bound
                     the unbound tasks; 0 = other tasks are bound first */
  kq_usec waiting_since; /**< since when the job has unbound tasks; 0 = it has
                          none */
  int32_t cursor;        /**< index where the next search for unbound tasks
                            starts */
  struct kq_job_task *tasks; /**< NULL once the job has finished */
  UT_hash_handle hh;
  struct kq_job_state *prev,
      *next; /**< list of live or of finished jobs, oldest first */
};

struct kq_jobs;

/** Creates an empty table; NULL when out of memory. */
struct kq_jobs *kq_jobs_create (void);

void kq_jobs_destroy (struct kq_jobs *jobs);

/** Checks that the fields of JOB are within their bounds.
 *  @return 0 or KQ_ERANGE.  */
int kq_job_check (const struct kq_job *job);

/** Applies the record at OFFSET.  Records of other kinds than JOB, CANCEL,
 *  BIND, EPOCH, RELEASE, END and SNAPSHOT are ignored.
 *  @return 0; KQ_EEXIST, KQ_EJOB_UNKNOWN, KQ_ELEASE_TERM or KQ_ERANGE when
 *  every host rejects the record; KQ_ENOMEM.  */
int kq_jobs_apply (struct kq_jobs *jobs, int64_t offset,
                   const struct kq_record *record);

/** Removes all jobs, because the records before offset FIRST were removed by
 *  retention before this host read them.  Live jobs are added again by the
 *  snapshots that follow.  */
void kq_jobs_reset_after_gap (struct kq_jobs *jobs, int64_t first);

/** Notes that the log was read to its end: every live job is known, except
 *  those whose snapshot was delayed by an outage.  */
void kq_jobs_set_complete (struct kq_jobs *jobs);

/** Notes that all delayed snapshots have arrived after a gap as well.  From
 *  then on, a snapshot of an unknown job belongs to a finished job.  */
void kq_jobs_set_rebuilt (struct kq_jobs *jobs);

/** Returns whether live jobs may still be missing after a gap. */
bool kq_jobs_is_rebuilding (const struct kq_jobs *jobs);

/** Returns whether kq_jobs_set_complete() was called since the last gap. */
bool kq_jobs_is_complete (const struct kq_jobs *jobs);

struct kq_job_state *kq_jobs_find (const struct kq_jobs *jobs,
                                   const struct kq_name *id);

/** Returns task ID; NULL when its job is unknown or has finished. */
struct kq_job_task *kq_jobs_find_task (const struct kq_jobs *jobs,
                                       const struct kq_task_id *id);

/** Returns the oldest live job; NULL when there is none. */
struct kq_job_state *kq_jobs_live (const struct kq_jobs *jobs);

/** Returns the finished job that finished first; NULL when there is none. */
struct kq_job_state *kq_jobs_finished (const struct kq_jobs *jobs);

/** Returns the current epoch of SHARD; 0 when no EPOCH record was read. */
uint64_t kq_jobs_epoch (const struct kq_jobs *jobs,
                        const struct kq_name *shard);

/** Returns the number of live tasks that are bound to SHARD. */
int32_t kq_jobs_bound_count (const struct kq_jobs *jobs,
                             const struct kq_name *shard);

/** Finds up to MAX tasks of JOB that are neither bound nor ended, starting
 *  where the previous search stopped.
 *  @return the number of tasks written to REFS.  */
int kq_job_find_unbound (struct kq_job_state *job, struct kq_task_ref *refs,
                         int max);

/** Describes the tasks of JOB as ranges of adjacent tasks in equal state.
 *  @return a new array with *COUNT ranges, NULL when out of memory.  */
struct kq_task_range *kq_job_describe_ranges (const struct kq_job_state *job,
                                              size_t *count);

#endif

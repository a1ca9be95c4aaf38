/** @file
 * Jobs and their tasks as the order of the log's records decides them.
 *
 * Every host reads the same records in the same order, so that all agree to
 * which shard a task is bound and whether it has ended.  What a host does
 * with the tasks of shards that it owns is kept in job/run.h.
 */
#ifndef KQ_JOB_JOB_H
#define KQ_JOB_JOB_H

#include <stdbool.h>
#include <uthash.h>

#include "core/event.h"

/** Largest number of tasks of one job. */
#define KQ_JOB_MAX_TASKS 100000

/** Finished jobs that are remembered, so that a late second copy of their
 *  JOB record starts nothing.  */
#define KQ_JOB_MAX_FINISHED 20000

/** A shard that records name. */
struct kq_job_shard
{
  struct kq_name name;
  uint64_t epoch; /**< offset of the last EPOCH record read; 0 = none */
  int32_t bound;  /**< live tasks bound to it */
  UT_hash_handle hh;
};

/** One task. */
struct kq_job_task
{
  struct kq_job_shard *shard; /**< NULL: bound to none */
  int64_t binding;            /**< offset of its BIND record */
  int64_t checkpoint;         /**< progress when it was last released */
  bool ended;
};

/** One job. */
struct kq_job_state
{
  struct kq_job job;
  int64_t offset;   /**< of its JOB record, or of a snapshot */
  int64_t noted;    /**< the offset above when it was last looked at */
  kq_usec noted_at; /**< and when this host read that record */
  bool cancelled;
  int32_t ended;       /**< tasks that have ended */
  int32_t failed;      /**< of these, given up */
  int32_t bound;       /**< live tasks that are bound */
  int last_err;        /**< why the last task was given up */
  int waits;           /**< why unbound tasks wait at this host, 0 = turn */
  kq_usec waits_since; /**< tasks wait unbound since then, 0 = none do */
  int32_t cursor;      /**< where the search for unbound tasks goes on */
  struct kq_job_task *tasks; /**< NULL once finished */
  UT_hash_handle hh;
  struct kq_job_state *prev, *next; /**< live or finished, oldest first */
};

struct kq_jobs;

/** Creates an empty table; NULL when out of memory. */
struct kq_jobs *kq_jobs_create (void);

void kq_jobs_destroy (struct kq_jobs *jobs);

/** Checks JOB's fields.
 *  @return 0 or KQ_ERANGE.  */
int kq_job_check (const struct kq_job *job);

/** Takes the record at OFFSET.  Records of other kinds than JOB, CANCEL,
 *  BIND, EPOCH, RELEASE, END and SNAPSHOT change nothing.
 *  @return 0; KQ_EEXIST, KQ_EJOB_UNKNOWN, KQ_ELEASE_TERM or KQ_ERANGE when
 *  the record is void on every host alike; KQ_ENOMEM.  */
int kq_jobs_apply (struct kq_jobs *jobs, int64_t offset,
                   const struct kq_record *record);

/** Forgets all jobs because records before FIRST were removed unread.  They
 *  come back by the snapshots that follow.  */
void kq_jobs_gap (struct kq_jobs *jobs, int64_t first);

/** Says that the log was read to its end: every live job is known now, but
 *  for those whose snapshot an outage has delayed.  */
void kq_jobs_complete (struct kq_jobs *jobs);

/** Says that after a gap all delayed snapshots have come, too: a snapshot of
 *  an unknown job is of one that has finished.  */
void kq_jobs_rebuilt (struct kq_jobs *jobs);

/** Returns whether the table may lack live jobs after a gap. */
bool kq_jobs_is_rebuilding (const struct kq_jobs *jobs);

/** Returns whether every live job is known. */
bool kq_jobs_is_complete (const struct kq_jobs *jobs);

struct kq_job_state *kq_jobs_find (const struct kq_jobs *jobs,
                                   const struct kq_name *id);

/** Returns the task ID; NULL when its job is unknown or has finished. */
struct kq_job_task *kq_jobs_task (const struct kq_jobs *jobs,
                                  const struct kq_task_id *id);

/** Returns the first live job. */
struct kq_job_state *kq_jobs_live (const struct kq_jobs *jobs);

/** Returns the first finished job. */
struct kq_job_state *kq_jobs_finished (const struct kq_jobs *jobs);

/** Returns the epoch of SHARD in force, 0 when none was read. */
uint64_t kq_jobs_epoch (const struct kq_jobs *jobs,
                        const struct kq_name *shard);

/** Returns the live tasks that are bound to SHARD. */
int32_t kq_jobs_bound (const struct kq_jobs *jobs,
                       const struct kq_name *shard);

/** Finds up to MAX tasks of JOB that are neither bound nor ended, going on
 *  where the last search ended.
 *  @return their number.  */
int kq_job_unbound (struct kq_job_state *job, struct kq_task_ref *refs,
                    int max);

/** Describes JOB in ranges of tasks that stand alike.
 *  @return a new array with *COUNT ranges, NULL when out of memory.  */
struct kq_task_range *kq_job_ranges (const struct kq_job_state *job,
                                     size_t *count);

#endif

/** @file
 * Declarations shared by the files of job/.  Not for use outside job/.
 */
#ifndef KQ_JOB_INTERNAL_H
#define KQ_JOB_INTERNAL_H

#include "job/job.h"

/* A record about a job that is not known yet, read after a gap in the log.
   It is applied when a snapshot of the job arrives.  */
struct deferred_record
{
  int64_t offset;
  struct kq_record *record;
  struct deferred_record *prev, *next;
};

struct kq_jobs
{
  struct kq_job_state *by_id;
  struct kq_job_state *live;
  struct kq_job_state *finished;
  int finished_count;
  struct kq_job_shard *shards;
  bool complete;
  int64_t first_offset; /* records before it were not read; 0 = no gap */
  struct deferred_record *deferred;
};

/* job.c */
/** Returns the shard NAME, created on demand; NULL when out of memory. */
struct kq_job_shard *kq_job_get_shard (struct kq_jobs *jobs,
                                       const struct kq_name *name);
void kq_job_bind (struct kq_job_state *job, struct kq_job_task *task,
                  struct kq_job_shard *shard, int64_t offset);
struct kq_job_state *kq_job_add (struct kq_jobs *jobs, int64_t offset,
                                 const struct kq_job *body);
/** Moves JOB to the finished jobs and frees its tasks. */
void kq_job_finish (struct kq_jobs *jobs, struct kq_job_state *job);
int kq_job_cancel (struct kq_jobs *jobs, int64_t offset,
                   const struct kq_name *id);
/** Applies a record about tasks; unless ONLY_JOB is NULL, only to the tasks of
 *  that job.  */
int kq_job_apply_tasks (struct kq_jobs *jobs, int64_t offset,
                        const struct kq_record *record,
                        const struct kq_name *only_job);

/* snapshot.c */
int kq_job_apply_snapshot (struct kq_jobs *jobs, int64_t offset,
                           const struct kq_record *record);
/** Stores a copy of RECORD until a snapshot of its job arrives. */
int kq_job_defer_record (struct kq_jobs *jobs, int64_t offset,
                         const struct kq_record *record);
void kq_job_drop_deferred (struct kq_jobs *jobs);

#endif

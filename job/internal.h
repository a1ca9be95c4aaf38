/** @file
 * What the files of job/ share.  Not for use outside job/.
 */
#ifndef KQ_JOB_INTERNAL_H
#define KQ_JOB_INTERNAL_H

#include "job/job.h"

/* A record about a job that is not known yet, read after a gap. */
struct held_record
{
  int64_t offset;
  struct kq_record *record;
  struct held_record *prev, *next;
};

struct kq_jobs
{
  struct kq_job_state *by_id;
  struct kq_job_state *live;
  struct kq_job_state *finished;
  int finished_count;
  struct kq_job_shard *shards;
  bool complete;
  int64_t first; /* records before it were not read */
  struct held_record *held;
};

/* job.c */
struct kq_job_shard *kq_job_need_shard (struct kq_jobs *jobs,
                                        const struct kq_name *name);
void kq_job_bind (struct kq_job_state *job, struct kq_job_task *task,
                  struct kq_job_shard *shard, int64_t offset);
struct kq_job_state *kq_job_add (struct kq_jobs *jobs, int64_t offset,
                                 const struct kq_job *body);
/** Keeps JOB as finished, without its tasks. */
void kq_job_finish (struct kq_jobs *jobs, struct kq_job_state *job);
int kq_job_cancel (struct kq_jobs *jobs, int64_t offset,
                   const struct kq_name *id);
/** Applies a record of tasks, to those of job ONLY unless it is NULL. */
int kq_job_apply_tasks (struct kq_jobs *jobs, int64_t offset,
                        const struct kq_record *record,
                        const struct kq_name *only);

/* snapshot.c */
int kq_job_apply_snapshot (struct kq_jobs *jobs, int64_t offset,
                           const struct kq_record *record);
/** Keeps a record about a job that a snapshot may bring. */
int kq_job_hold (struct kq_jobs *jobs, int64_t offset,
                 const struct kq_record *record);
void kq_job_drop_held (struct kq_jobs *jobs);

#endif

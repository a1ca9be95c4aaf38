#include "job/internal.h"

#include <stdlib.h>
#include <string.h>

#include <utlist.h>

#include "base/err.h"

struct kq_jobs *
kq_jobs_create (void)
{
  return calloc (1, sizeof (struct kq_jobs));
}

static void
drop_job (struct kq_jobs *jobs, struct kq_job_state *job)
{
  HASH_DEL (jobs->by_id, job);
  free (job->tasks);
  free (job);
}

static void
drop_shards (struct kq_jobs *jobs)
{
  struct kq_job_shard *shard = jobs->shards;

  /* HASH_CLEAR frees the hash table but leaves the items linked. */
  HASH_CLEAR (hh, jobs->shards);
  while (shard != NULL)
    {
      struct kq_job_shard *next = shard->hh.next;

      free (shard);
      shard = next;
    }
}

static void
drop_all (struct kq_jobs *jobs)
{
  struct kq_job_state *job = jobs->by_id;

  HASH_CLEAR (hh, jobs->by_id);
  while (job != NULL)
    {
      struct kq_job_state *next = job->hh.next;

      free (job->tasks);
      free (job);
      job = next;
    }
  drop_shards (jobs);
  kq_job_drop_deferred (jobs);
  jobs->live = NULL;
  jobs->finished = NULL;
  jobs->finished_count = 0;
}

void
kq_jobs_destroy (struct kq_jobs *jobs)
{
  if (jobs == NULL)
    return;
  drop_all (jobs);
  free (jobs);
}

void
kq_jobs_reset_after_gap (struct kq_jobs *jobs, int64_t first)
{
  drop_all (jobs);
  jobs->complete = false;
  jobs->first_offset = first;
}

void
kq_jobs_set_complete (struct kq_jobs *jobs)
{
  jobs->complete = true;
}

void
kq_jobs_set_rebuilt (struct kq_jobs *jobs)
{
  jobs->first_offset = 0;
  kq_job_drop_deferred (jobs);
}

bool
kq_jobs_is_rebuilding (const struct kq_jobs *jobs)
{
  return jobs->first_offset > 0;
}

bool
kq_jobs_is_complete (const struct kq_jobs *jobs)
{
  return jobs->complete;
}

struct kq_job_state *
kq_jobs_find (const struct kq_jobs *jobs, const struct kq_name *id)
{
  struct kq_job_state *job;

  HASH_FIND_STR (jobs->by_id, id->text, job);
  return job;
}

struct kq_job_task *
kq_jobs_find_task (const struct kq_jobs *jobs, const struct kq_task_id *id)
{
  struct kq_job_state *job = kq_jobs_find (jobs, &id->job);

  if (job == NULL || job->tasks == NULL || id->index < 0
      || id->index >= job->job.tasks)
    return NULL;
  return &job->tasks[id->index];
}

struct kq_job_state *
kq_jobs_live (const struct kq_jobs *jobs)
{
  return jobs->live;
}

struct kq_job_state *
kq_jobs_finished (const struct kq_jobs *jobs)
{
  return jobs->finished;
}

static struct kq_job_shard *
find_shard (const struct kq_jobs *jobs, const struct kq_name *name)
{
  struct kq_job_shard *shard;

  HASH_FIND_STR (jobs->shards, name->text, shard);
  return shard;
}

struct kq_job_shard *
kq_job_get_shard (struct kq_jobs *jobs, const struct kq_name *name)
{
  struct kq_job_shard *shard = find_shard (jobs, name);

  if (shard != NULL)
    return shard;
  shard = calloc (1, sizeof *shard);
  if (shard == NULL)
    return NULL;
  shard->name = *name;
  HASH_ADD_STR (jobs->shards, name.text, shard);
  return shard;
}

uint64_t
kq_jobs_epoch (const struct kq_jobs *jobs, const struct kq_name *shard)
{
  const struct kq_job_shard *found = find_shard (jobs, shard);

  return found == NULL ? 0 : found->epoch;
}

int32_t
kq_jobs_bound_count (const struct kq_jobs *jobs, const struct kq_name *shard)
{
  const struct kq_job_shard *found = find_shard (jobs, shard);

  return found == NULL ? 0 : found->bound;
}

int
kq_job_check (const struct kq_job *job)
{
  if (kq_name_empty (&job->id) || job->tasks < 1
      || job->tasks > KQ_JOB_MAX_TASKS || job->importance < 0
      || job->importance > 9 || job->run_ms < 0)
    return KQ_ERANGE;
  if (job->size.cpu_milli < 0 || job->size.memory_mb < 0
      || job->size.accelerators < 0)
    return KQ_ERANGE;
  return 0;
}

struct kq_job_state *
kq_job_add (struct kq_jobs *jobs, int64_t offset, const struct kq_job *body)
{
  struct kq_job_state *job = calloc (1, sizeof *job);

  if (job == NULL)
    return NULL;
  job->tasks = calloc ((size_t)body->tasks, sizeof *job->tasks);
  if (job->tasks == NULL)
    {
      free (job);
      return NULL;
    }
  job->job = *body;
  job->offset = offset;
  HASH_ADD_STR (jobs->by_id, job.id.text, job);
  DL_APPEND (jobs->live, job);
  return job;
}

void
kq_job_finish (struct kq_jobs *jobs, struct kq_job_state *job)
{
  struct kq_job_state *oldest;

  DL_DELETE (jobs->live, job);
  free (job->tasks);
  job->tasks = NULL;
  DL_APPEND (jobs->finished, job);
  if (++jobs->finished_count <= KQ_JOB_MAX_FINISHED)
    return;
  oldest = jobs->finished;
  DL_DELETE (jobs->finished, oldest);
  jobs->finished_count--;
  drop_job (jobs, oldest);
}

static void
unbind (struct kq_job_state *job, struct kq_job_task *task)
{
  if (task->shard == NULL)
    return;
  task->shard->bound--;
  job->bound--;
  task->shard = NULL;
  task->binding = 0;
}

void
kq_job_bind (struct kq_job_state *job, struct kq_job_task *task,
             struct kq_job_shard *shard, int64_t offset)
{
  task->shard = shard;
  task->binding = offset;
  shard->bound++;
  job->bound++;
}

static void
end_task (struct kq_jobs *jobs, struct kq_job_state *job,
          struct kq_job_task *task, int err)
{
  unbind (job, task);
  task->ended = true;
  job->ended++;
  if (err != 0)
    {
      job->failed++;
      job->last_err = err;
    }
  if (job->ended == job->job.tasks)
    kq_job_finish (jobs, job);
}

static int
apply_job (struct kq_jobs *jobs, int64_t offset, const struct kq_job *body)
{
  if (kq_job_check (body) != 0)
    return KQ_ERANGE;
  if (kq_jobs_find (jobs, &body->id) != NULL)
    return KQ_EEXIST;
  return kq_job_add (jobs, offset, body) == NULL ? KQ_ENOMEM : 0;
}

int
kq_job_cancel (struct kq_jobs *jobs, int64_t offset, const struct kq_name *id)
{
  struct kq_job_state *job = kq_jobs_find (jobs, id);

  if (job == NULL)
    return KQ_EJOB_UNKNOWN;
  if (job->tasks == NULL)
    return 0;
  job->cancelled = true;
  for (int32_t i = 0; i < job->job.tasks; i++)
    unbind (job, &job->tasks[i]);
  kq_job_finish (jobs, job);
  return 0;
}

static int
apply_task_ref (struct kq_jobs *jobs, int64_t offset,
                const struct kq_record *record, const struct kq_task_ref *ref)
{
  struct kq_job_state *job = kq_jobs_find (jobs, &ref->task.job);
  struct kq_job_task *task = kq_jobs_find_task (jobs, &ref->task);

  if (job == NULL || task == NULL)
    return KQ_EJOB_UNKNOWN;
  if (task->ended)
    return 0;
  if (record->kind == KQ_REC_BIND)
    {
      struct kq_job_shard *shard
          = kq_job_get_shard (jobs, &record->u.tasks.shard);

      if (shard == NULL)
        return KQ_ENOMEM;
      if (task->shard == NULL)
        kq_job_bind (job, task, shard, offset);
    }
  else if (record->kind == KQ_REC_END)
    end_task (jobs, job, task, ref->err);
  else if (task->binding == ref->binding)
    {
      unbind (job, task);
      if (ref->checkpoint > task->checkpoint)
        task->checkpoint = ref->checkpoint;
    }
  return 0;
}

int
kq_job_apply_tasks (struct kq_jobs *jobs, int64_t offset,
                    const struct kq_record *record,
                    const struct kq_name *only_job)
{
  int err = 0;

  /* The epoch of a deferred record was checked when it was read. */
  if (only_job == NULL && record->kind != KQ_REC_END
      && record->u.tasks.epoch < kq_jobs_epoch (jobs, &record->u.tasks.shard))
    return KQ_ELEASE_TERM;
  for (size_t i = 0; i < record->u.tasks.count; i++)
    {
      const struct kq_task_ref *ref = &record->u.tasks.tasks[i];
      int result;

      if (only_job != NULL && !kq_name_eq (only_job, &ref->task.job))
        continue;
      result = apply_task_ref (jobs, offset, record, ref);
      if (result == KQ_ENOMEM)
        return result;
      if (result != 0)
        err = result;
    }
  return err;
}

static int
apply_epoch (struct kq_jobs *jobs, int64_t offset, const struct kq_name *name)
{
  struct kq_job_shard *shard = kq_job_get_shard (jobs, name);

  if (shard == NULL)
    return KQ_ENOMEM;
  shard->epoch = (uint64_t)offset;
  return 0;
}

int
kq_jobs_apply (struct kq_jobs *jobs, int64_t offset,
               const struct kq_record *record)
{
  int err;

  switch (record->kind)
    {
    case KQ_REC_JOB:
      return apply_job (jobs, offset, &record->u.job);
    case KQ_REC_CANCEL:
      err = kq_job_cancel (jobs, offset, &record->u.cancel);
      break;
    case KQ_REC_EPOCH:
      return apply_epoch (jobs, offset, &record->u.epoch.shard);
    case KQ_REC_BIND:
    case KQ_REC_RELEASE:
    case KQ_REC_END:
      err = kq_job_apply_tasks (jobs, offset, record, NULL);
      break;
    case KQ_REC_SNAPSHOT:
      return kq_job_apply_snapshot (jobs, offset, record);
    default:
      return 0;
    }
  if (err == KQ_EJOB_UNKNOWN && jobs->first_offset > 0)
    kq_job_defer_record (jobs, offset, record);
  return err;
}

int
kq_job_find_unbound (struct kq_job_state *job, struct kq_task_ref *refs,
                     int max)
{
  int found = 0;
  int32_t remaining = job->job.tasks;

  if (job->tasks == NULL || job->bound + job->ended == job->job.tasks)
    return 0;
  while (remaining-- > 0 && found < max)
    {
      const struct kq_job_task *task = &job->tasks[job->cursor];

      if (task->shard == NULL && !task->ended)
        {
          refs[found] = (struct kq_task_ref){ .task.index = job->cursor };
          refs[found++].task.job = job->job.id;
        }
      job->cursor = (job->cursor + 1) % job->job.tasks;
    }
  return found;
}

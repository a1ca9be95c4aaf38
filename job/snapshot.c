/* Snapshots of live jobs, and records that are deferred until a snapshot
   arrives.  */

#include <stdlib.h>

#include <utlist.h>

#include "base/err.h"
#include "core/record.h"
#include "job/internal.h"

void
kq_job_drop_deferred (struct kq_jobs *jobs)
{
  struct deferred_record *deferred = jobs->deferred;

  jobs->deferred = NULL;
  while (deferred != NULL)
    {
      struct deferred_record *next = deferred->next;

      kq_record_free (deferred->record);
      free (deferred);
      deferred = next;
    }
}

static int
apply_ranges (struct kq_jobs *jobs, struct kq_job_state *job,
              const struct kq_record *record)
{
  for (size_t i = 0; i < record->u.snapshot.count; i++)
    {
      const struct kq_task_range *range = &record->u.snapshot.ranges[i];
      struct kq_job_shard *shard = NULL;

      if (range->first < 0 || range->count < 0
          || range->count > job->job.tasks - range->first)
        return KQ_ERANGE;
      if (!kq_name_empty (&range->shard))
        shard = kq_job_get_shard (jobs, &range->shard);
      for (int32_t k = range->first; k < range->first + range->count; k++)
        {
          job->tasks[k].checkpoint = range->checkpoint;
          job->tasks[k].ended = range->ended;
          job->ended += range->ended;
          if (shard != NULL && !range->ended)
            kq_job_bind (job, &job->tasks[k], shard, range->binding);
        }
    }
  return 0;
}

/* Applies the deferred records about job ID that are newer than its
   snapshot.  */
static void
apply_deferred (struct kq_jobs *jobs, const struct kq_name *id, int64_t as_of)
{
  struct deferred_record *deferred;

  DL_FOREACH (jobs->deferred, deferred)
  {
    if (deferred->offset <= as_of)
      continue;
    if (deferred->record->kind == KQ_REC_CANCEL)
      {
        if (kq_name_eq (&deferred->record->u.cancel, id))
          kq_job_cancel (jobs, deferred->offset, id);
      }
    else
      kq_job_apply_tasks (jobs, deferred->offset, deferred->record, id);
  }
}

int
kq_job_apply_snapshot (struct kq_jobs *jobs, int64_t offset,
                       const struct kq_record *record)
{
  const struct kq_job *body = &record->u.snapshot.job;
  struct kq_job_state *job = kq_jobs_find (jobs, &body->id);
  int err;

  if (job != NULL)
    {
      job->offset = offset;
      return 0;
    }
  if (kq_job_check (body) != 0
      || record->u.snapshot.as_of < jobs->first_offset - 1)
    return KQ_ERANGE;
  /* Without a gap every live job is known, so this one has finished. */
  if (jobs->first_offset == 0)
    return KQ_EJOB_UNKNOWN;
  job = kq_job_add (jobs, offset, body);
  if (job == NULL)
    return KQ_ENOMEM;
  err = apply_ranges (jobs, job, record);
  if (job->ended == job->job.tasks)
    kq_job_finish (jobs, job);
  apply_deferred (jobs, &body->id, record->u.snapshot.as_of);
  return err;
}

int
kq_job_defer_record (struct kq_jobs *jobs, int64_t offset,
                     const struct kq_record *record)
{
  struct deferred_record *deferred = calloc (1, sizeof *deferred);

  if (deferred == NULL)
    return KQ_ENOMEM;
  deferred->record = kq_record_copy (record);
  deferred->offset = offset;
  DL_APPEND (jobs->deferred, deferred);
  return 0;
}

static bool
same_state (const struct kq_job_task *a, const struct kq_job_task *b)
{
  return a->shard == b->shard && a->binding == b->binding
         && a->checkpoint == b->checkpoint && a->ended == b->ended;
}

struct kq_task_range *
kq_job_describe_ranges (const struct kq_job_state *job, size_t *count)
{
  size_t used = 0;
  size_t size = 8;
  struct kq_task_range *ranges = malloc (size * sizeof *ranges);

  for (int32_t i = 0; i < job->job.tasks && ranges != NULL; i++)
    {
      const struct kq_job_task *task = &job->tasks[i];
      struct kq_task_range *range;

      if (i > 0 && same_state (task, task - 1))
        {
          ranges[used - 1].count++;
          continue;
        }
      if (used == size)
        {
          size *= 2;
          range = realloc (ranges, size * sizeof *ranges);
          if (range == NULL)
            free (ranges);
          ranges = range;
        }
      if (ranges == NULL)
        return NULL;
      range = &ranges[used++];
      *range = (struct kq_task_range){ .first = i, .count = 1 };
      range->ended = task->ended;
      range->binding = task->binding;
      range->checkpoint = task->checkpoint;
      if (task->shard != NULL)
        range->shard = task->shard->name;
    }
  *count = used;
  return ranges;
}

/* Snapshots of live jobs, and what is held back until they come. */

#include <stdlib.h>

#include <utlist.h>

#include "base/err.h"
#include "core/record.h"
#include "job/internal.h"

void
kq_job_drop_held (struct kq_jobs *jobs)
{
  struct held_record *held = jobs->held;

  jobs->held = NULL;
  while (held != NULL)
    {
      struct held_record *next = held->next;

      kq_record_free (held->record);
      free (held);
      held = next;
    }
}

static int
fill_from_ranges (struct kq_jobs *jobs, struct kq_job_state *job,
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
        shard = kq_job_need_shard (jobs, &range->shard);
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

/* Applies what was read about job ID after the snapshot was taken. */
static void
replay_held (struct kq_jobs *jobs, const struct kq_name *id, int64_t as_of)
{
  struct held_record *held;

  DL_FOREACH (jobs->held, held)
  {
    if (held->offset <= as_of)
      continue;
    if (held->record->kind == KQ_REC_CANCEL)
      {
        if (kq_name_eq (&held->record->u.cancel, id))
          kq_job_cancel (jobs, held->offset, id);
      }
    else
      kq_job_apply_tasks (jobs, held->offset, held->record, id);
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
  if (kq_job_check (body) != 0 || record->u.snapshot.as_of < jobs->first - 1)
    return KQ_ERANGE;
  /* A host that missed nothing knows that the job has finished. */
  if (jobs->first == 0)
    return KQ_EJOB_UNKNOWN;
  job = kq_job_add (jobs, offset, body);
  if (job == NULL)
    return KQ_ENOMEM;
  err = fill_from_ranges (jobs, job, record);
  if (job->ended == job->job.tasks)
    kq_job_finish (jobs, job);
  replay_held (jobs, &body->id, record->u.snapshot.as_of);
  return err;
}

int
kq_job_hold (struct kq_jobs *jobs, int64_t offset,
             const struct kq_record *record)
{
  struct held_record *held = calloc (1, sizeof *held);

  if (held == NULL)
    return KQ_ENOMEM;
  held->record = kq_record_copy (record);
  held->offset = offset;
  DL_APPEND (jobs->held, held);
  return 0;
}

static bool
stand_alike (const struct kq_job_task *a, const struct kq_job_task *b)
{
  return a->shard == b->shard && a->binding == b->binding
         && a->checkpoint == b->checkpoint && a->ended == b->ended;
}

struct kq_task_range *
kq_job_ranges (const struct kq_job_state *job, size_t *count)
{
  size_t used = 0;
  size_t size = 8;
  struct kq_task_range *ranges = malloc (size * sizeof *ranges);

  for (int32_t i = 0; i < job->job.tasks && ranges != NULL; i++)
    {
      const struct kq_job_task *task = &job->tasks[i];
      struct kq_task_range *range;

      if (i > 0 && stand_alike (task, task - 1))
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

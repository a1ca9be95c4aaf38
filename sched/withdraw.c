/* Takes back new jobs that the store has not taken (kq_sched_withdraw).
 *
 * Load: the store refuses all appends for several seconds while jobs are
 * submitted.  The callers of jobs that are certainly not stored are told so at
 * once, instead of waiting for their deadline.
 *
 * A successor restores a job only from its first record.  A job may be
 * withdrawn only while no attempt to store that record can have succeeded or
 * can succeed later: it was not encoded yet, or every attempt was refused.
 */
#include <stdlib.h>

#include "base/err.h"
#include "sched/internal.h"

#define STATUS_UNAVAILABLE 503

void
kq_sched_note_maybe_stored (struct kq_sched *sched, uint64_t position)
{
  if (position > sched->maybe_stored)
    sched->maybe_stored = position;
}

/* No start of the job was sent either: starts wait for its first record. */
static bool
is_certainly_unstored (const struct kq_sched *sched, const struct job *job)
{
  if (!job->record_due
      && (job->accepted_position <= sched->stored
          || job->accepted_position <= sched->maybe_stored))
    return false;
  for (int i = 0; i < job->stage_count; i++)
    for (int j = 0; j < job->stages[i].step->count; j++)
      {
        const struct task *task = &job->stages[i].tasks[j];

        if (task->state == TASK_DONE
            || (task->state == TASK_BOUND && task->phase != PHASE_STORING))
          return false;
      }
  return true;
}

bool
kq_sched_withdraw_effect (struct kq_sched_effect *effect, uint64_t job)
{
  switch (effect->kind)
    {
    case KQ_SCHED_FX_RESULT:
      if (!effect->u.result.has_job || effect->u.result.job != job)
        return true;
      effect->after = 0;
      effect->u.result.has_job = false;
      effect->u.result.status = STATUS_UNAVAILABLE;
      effect->u.result.err = KQ_ELOG_DOWN;
      return true;
    case KQ_SCHED_FX_START:
    case KQ_SCHED_FX_STOP:
    case KQ_SCHED_FX_PACE:
      return effect->u.order.run.job != job;
    case KQ_SCHED_FX_SUPERSEDED:
      break;
    }
  return true;
}

static void
withdraw_effects (struct kq_sched *sched, uint64_t job)
{
  struct effect_node *node;
  struct effect_node *next;

  DL_FOREACH_SAFE (sched->effects, node, next)
  {
    if (kq_sched_withdraw_effect (&node->effect, job))
      continue;
    DL_DELETE (sched->effects, node);
    free (node);
  }
}

int
kq_sched_withdraw (struct kq_sched *sched, uint64_t id)
{
  struct job *job = job_find (sched, id);

  if (job == NULL)
    return KQ_ENOENT;
  if (!is_certainly_unstored (sched, job))
    return KQ_EEXIST;
  job_log (job, "job withdrawn", "the store has refused it");
  for (int i = 0; i < job->stage_count; i++)
    for (int j = 0; j < job->stages[i].step->count; j++)
      {
        task_clear_ready (sched, &job->stages[i].tasks[j]);
        task_release (sched, &job->stages[i].tasks[j]);
      }
  withdraw_effects (sched, id);
  job_destroy (sched, job);
  sched->counts.withdrawals++;
  return 0;
}

int
kq_sched_list_unsent (const struct kq_sched *sched, uint64_t *jobs, int max)
{
  const struct job *job;
  int count = 0;

  DL_FOREACH2 (sched->dirty, job, dirty_next)
  {
    if (job->record_due && count < max)
      jobs[count++] = job->id;
  }
  return count;
}

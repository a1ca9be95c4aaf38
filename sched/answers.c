/* What workers answer to orders and looks, and what a start order carries. */
#include <stdio.h>

#include "base/err.h"
#include "log/log.h"
#include "sched/internal.h"

/* A worker that says it has no room, or that it is sick, is left alone for
   this long. */
#define FULL_TIME (200 * KQ_USEC_PER_MSEC)
#define SICK_TIME (1000 * KQ_USEC_PER_MSEC)

/* A look that failed is repeated after this. */
#define LOOK_RETRY (100 * KQ_USEC_PER_MSEC)

void
answer_deposed (struct kq_sched *sched, const char *worker)
{
  if (sched->deposed)
    return;
  sched->deposed = true;
  kq_log (KQ_LOG_WARN, "sched", "deposed", 0, "worker", worker, "why",
          "it has seen a later fence", NULL);
  sched_add_effect (sched, KQ_SCHED_FX_DEPOSED, 0);
}

void
answer_listed (struct kq_sched *sched, struct kq_sched_now now,
               const struct kq_sched_event *event)
{
  struct worker *worker = worker_find (sched, event->u.listed.worker);
  const struct kq_sched_listing *listing = event->u.listed.listing;

  if (worker == NULL)
    return;
  if (worker->looks > 0)
    worker->looks--;
  worker->next_look_at = now.mono + LOOK_RETRY;
  if (event->u.listed.answer == KQ_SCHED_FENCED)
    answer_deposed (sched, worker->report.id);
  if (event->u.listed.answer != KQ_SCHED_OK)
    {
      worker->idle = false;
      return;
    }
  /* What an earlier life had to say is overtaken. */
  if (listing->born_ms < worker->report.born_ms)
    return;
  worker_heard (worker, now.mono, listing->local_ms);
  if (listing->born_ms > worker->report.born_ms)
    worker_start_life (worker, listing->born_ms);
  listing_take (sched, worker, now, event->u.listed.sent_at, listing);
  worker_plan_look (sched, worker, now);
}

static struct task *
ordered_task (struct kq_sched *sched, const struct kq_sched_event *event)
{
  struct job *job = job_find (sched, event->u.order.run.job);
  struct task *task = job == NULL ? NULL : job_task (job, &event->u.order.run);

  if (task == NULL || task->state != TASK_BOUND
      || task->run != event->u.order.run.run
      || strcmp (task->worker->report.id, event->u.order.worker) != 0)
    return NULL;
  return task;
}

static void
refused (struct kq_sched *sched, struct kq_sched_now now, struct task *task,
         enum kq_sched_answer answer)
{
  struct worker *worker = task->worker;

  switch (answer)
    {
    case KQ_SCHED_NO_ROOM:
      worker->full_until = now.mono + FULL_TIME;
      task_settle (sched, task, now, "no room");
      break;
    case KQ_SCHED_OLD_RUN:
      task_settle (sched, task, now, "old run");
      break;
    case KQ_SCHED_LATE:
      task_settle (sched, task, now, "late");
      break;
    case KQ_SCHED_OTHER_LIFE:
      worker->full_until = now.mono + SICK_TIME;
      task_settle (sched, task, now, "other life");
      break;
    case KQ_SCHED_SICK:
      worker->full_until = now.mono + SICK_TIME;
      task_settle (sched, task, now, "sick");
      break;
    case KQ_SCHED_NO_TICKET:
      advice_drop (task->stage, worker);
      task_settle (sched, task, now, "no ticket");
      break;
    case KQ_SCHED_BAD_ORDER:
      task->shunned = worker;
      worker->full_until = now.mono + SICK_TIME;
      task_settle (sched, task, now, "order not understood");
      break;
    default:
      break;
    }
}

void
answer_started (struct kq_sched *sched, struct kq_sched_now now,
                const struct kq_sched_event *event)
{
  struct worker *worker = worker_find (sched, event->u.order.worker);
  struct task *task = ordered_task (sched, event);

  if (event->u.order.answer == KQ_SCHED_FENCED)
    {
      answer_deposed (sched, event->u.order.worker);
      return;
    }
  if (worker != NULL && event->u.order.answer != KQ_SCHED_SILENT)
    worker_heard (worker, now.mono, event->u.order.local_ms);
  if (task == NULL || task->phase == PHASE_STOPPING
      || task->phase == PHASE_WRITTEN)
    return;
  switch (event->u.order.answer)
    {
    case KQ_SCHED_OK:
      if (task->phase != PHASE_ORDERED)
        return;
      task->phase = PHASE_AT_WORK;
      task->phase_at = now.mono;
      task->percent_at = now.mono;
      task->stage->job->started = true;
      worker_look_soon (task->worker, now);
      break;
    case KQ_SCHED_SILENT:
      task->phase = PHASE_DOUBTFUL;
      task->worker->idle = false;
      task_log (task, "start unanswered", "");
      task->worker->full_until = now.mono + FULL_TIME;
      task_stop (sched, task, now);
      break;
    default:
      refused (sched, now, task, event->u.order.answer);
      break;
    }
}

void
answer_stopped (struct kq_sched *sched, struct kq_sched_now now,
                const struct kq_sched_event *event)
{
  struct worker *worker = worker_find (sched, event->u.order.worker);
  struct task *task = ordered_task (sched, event);

  if (event->u.order.answer == KQ_SCHED_FENCED)
    {
      answer_deposed (sched, event->u.order.worker);
      return;
    }
  if (worker != NULL && event->u.order.answer != KQ_SCHED_SILENT)
    worker_heard (worker, now.mono, event->u.order.local_ms);
  if (task == NULL)
    return;
  if (event->u.order.answer == KQ_SCHED_OK
      || event->u.order.answer == KQ_SCHED_OLD_RUN)
    {
      /* A look that waits for an end sees none if the run never came. */
      if (task->phase == PHASE_DOUBTFUL)
        worker_look_now (sched, task->worker);
      task->phase = PHASE_STOPPING;
      task->phase_at = now.mono;
      worker_look_soon (task->worker, now);
    }
  else if (event->u.order.answer == KQ_SCHED_OTHER_LIFE)
    task_settle (sched, task, now, "other life");
}

int
kq_sched_start_order (struct kq_sched *sched, struct kq_sched_now now,
                      const struct kq_sched_effect *effect,
                      struct kq_sched_start *start)
{
  struct kq_sched_event probe = { .kind = KQ_SCHED_EV_STARTED };
  struct task *task;
  struct worker *worker;

  probe.u.order.run = effect->u.order.run;
  probe.u.order.worker = effect->u.order.worker;
  task = ordered_task (sched, &probe);
  if (task == NULL || task->phase != PHASE_WRITTEN || sched->deposed)
    return KQ_ENOENT;
  worker = task->worker;
  if (!worker_usable (worker, now)
      || (task->stage->job->queue.advised
          && advice_ticket (task->stage, worker, now) == NULL))
    {
      task_settle (sched, task, now, "worker no longer usable");
      return KQ_ENOENT;
    }
  task->phase = PHASE_ORDERED;
  task->phase_at = now.mono;
  task->percent_at = now.mono;
  snprintf (start->address, sizeof start->address, "%s",
            worker->report.address);
  start->lease_end_ms
      = worker_clock (worker, now.mono) + KQ_SCHED_START_LEASE_MS;
  worker_granted (worker, start->lease_end_ms);
  start->text = task->stage->job->spec.text;
  start->checkpoint = task->checkpoint;
  start->ticket = "";
  if (task->stage->job->queue.advised)
    start->ticket = advice_ticket (task->stage, worker, now);
  return 0;
}

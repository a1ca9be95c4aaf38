/* Tasks: the queue of stages with ready tasks, and the binding of a task to a
 * worker from placement to the end of its run.
 */
#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "log/log.h"
#include "sched/disruption.h"
#include "sched/internal.h"
#include "sched/late.h"
#include "sched/warmup.h"

void
run_format (const struct kq_sched_run *run, char text[64])
{
  snprintf (text, 64, "%016" PRIx64 ".%d.%d.%d", run->job, run->occurrence,
            run->step, run->index);
}

struct kq_sched_run
task_run (const struct task *task)
{
  return (struct kq_sched_run){ .job = task->stage->job->id,
                                .occurrence = task->stage->occurrence,
                                .step = task->stage->number,
                                .index = task->index,
                                .run = task->run };
}

static void
log_task (enum kq_log_level level, const struct task *task, const char *event,
          const char *why)
{
  struct kq_sched_run run = task_run (task);
  char name[64];
  char number[16];

  if (!kq_log_enabled (level))
    return;
  run_format (&run, name);
  snprintf (number, sizeof number, "%d", run.run);
  kq_log (level, "sched", event, 0, "task", name, "run", number, "worker",
          task->worker != NULL ? task->worker->report.id : "", "why", why,
          NULL);
}

void
task_log (const struct task *task, const char *event, const char *why)
{
  log_task (KQ_LOG_INFO, task, event, why);
}

void
task_log_debug (const struct task *task, const char *event, const char *why)
{
  log_task (KQ_LOG_DEBUG, task, event, why);
}

void
task_log_routine (const struct task *task, const char *event)
{
  log_task (task->run > 1 ? KQ_LOG_INFO : KQ_LOG_DEBUG, task, event, "");
}

/* A late job earns little credit, and one later than three times its
   objective earns none: both wait behind jobs that can be in time, because
   otherwise all jobs would be late one after the other. Source: the
   platform's rules on credit. */
int
task_lateness (const struct kq_sched *sched, const struct stage *stage,
               struct kq_sched_now now)
{
  int64_t objective = stage->due_ms - stage->job->accepted_ms;
  int64_t end = now.wall_ms + rack_critical_path_ms (sched, stage);

  if (stage->step->long_running || end <= stage->due_ms)
    return 0;
  return end <= stage->due_ms + 2 * objective ? 1 : 2;
}

int
task_compare_urgency (const struct stage *a, const struct stage *b)
{
  int first = a->job->queue.priority - b->job->queue.priority;

  if (first != 0)
    return first;
  if (a->lateness != b->lateness)
    return a->lateness - b->lateness;
  if (a->due_ms != b->due_ms)
    return a->due_ms < b->due_ms ? -1 : 1;
  return a->job->id < b->job->id ? -1 : a->job->id > b->job->id;
}

bool
task_awaits_other_run (const struct task *task, struct kq_sched_now now)
{
  return task->other_run_until > now.mono;
}

static void
enqueue_stage (struct kq_sched *sched, struct stage *stage)
{
  struct stage *at;

  if (stage->queued)
    return;
  stage->queued = true;
  DL_FOREACH (sched->queue, at)
  {
    if (task_compare_urgency (stage, at) < 0)
      break;
  }
  if (at != NULL)
    DL_PREPEND_ELEM (sched->queue, at, stage);
  else
    DL_APPEND (sched->queue, stage);
}

void
task_update_lateness (struct kq_sched *sched, struct kq_sched_now now)
{
  struct stage *changed = NULL;
  struct stage *stage;
  struct stage *next;

  DL_FOREACH_SAFE (sched->queue, stage, next)
  {
    int lateness = task_lateness (sched, stage, now);

    if (lateness == stage->lateness)
      continue;
    stage->lateness = lateness;
    DL_DELETE (sched->queue, stage);
    stage->queued = false;
    DL_APPEND (changed, stage);
  }
  DL_FOREACH_SAFE (changed, stage, next)
  {
    DL_DELETE (changed, stage);
    enqueue_stage (sched, stage);
  }
}

void
task_make_ready (struct kq_sched *sched, struct task *task,
                 struct kq_sched_now now)
{
  task->state = TASK_READY;
  task->may_use_quarantined = false;
  sched->placement_due = true;
  task->ready_at = now.mono;
  task->stage->ready_count++;
  sched->counts.ready_tasks++;
  enqueue_stage (sched, task->stage);
}

void
task_make_ready_again (struct kq_sched *sched, struct task *task,
                       struct kq_sched_now now)
{
  kq_usec ready_at = task->ready_at;

  task_make_ready (sched, task, now);
  task->ready_at = ready_at;
}

void
task_clear_ready (struct kq_sched *sched, struct task *task)
{
  struct stage *stage = task->stage;

  if (task->state != TASK_READY)
    return;
  reserve_clear (task);
  large_clear (task);
  stage->ready_count--;
  sched->counts.ready_tasks--;
  reserve_trim_holds (sched, stage);
  if (stage->ready_count == 0 && stage->queued)
    {
      DL_DELETE (sched->queue, stage);
      stage->queued = false;
    }
}

/* Adds (SIGN 1) or subtracts (SIGN -1) the demand of TASK at its worker. */
static void
account_task (struct task *task, int sign)
{
  const struct kq_sched_step *step = task->stage->step;
  struct worker *worker = task->worker;

  worker->used.mem += sign * step->demand.mem;
  worker->used.gpu += sign * step->demand.gpu;
  if (step->filler)
    worker->filler_cpu += sign * step->demand.cpu;
  else
    worker->used.cpu += sign * step->demand.cpu;
  if (step->long_running && !step->filler)
    worker->long_running_cpu += sign * step->demand.cpu;
  if (step->tail_target_ms > 0)
    worker->serving_count += sign;
  if (crash_is_on_trial (task))
    worker->suspect_count += sign;
  worker->task_count += sign;
  rack_add_running (&worker->short_running, task, sign);
  worker->slots_valid = false;
}

void
task_bind (struct kq_sched *sched, struct task *task, struct worker *worker,
           struct kq_sched_now now)
{
  reserve_note_bind (sched, task, worker, now);
  task_clear_ready (sched, task);
  task->state = TASK_BOUND;
  task->phase = PHASE_STORING;
  task->phase_since = now.mono;
  task->progress_at = now.mono;
  task->percent = -1;
  task->sample = 0;
  task->over_target_since = 0;
  task->stop_wanted = false;
  task->may_disturb = false;
  task->pace_percent = 100;
  task->next_pace_percent = 100;
  task->stop_sent_at = 0;
  task->incarnation_ms = 0;
  task->start_sent_at = 0;
  task->start_settled = false;
  task->accepted_at = 0;
  task->placed_at = now.mono;
  task->placed = terms_time (sched, now.mono);
  task->placed_lately = false;
  task->settled = false;
  task->worker = worker;
  task->stage->run_count++;
  task->stage->last_placed_at = now.mono;
  if (task->stage->first_placed_at == 0)
    task->stage->first_placed_at = now.mono;
  DL_APPEND (worker->tasks, task);
  account_task (task, 1);
  service_note_start (sched, task);
  warmup_note_start (worker, now);
  rack_note_bind (sched, task, now);
  sched->counts.bound_tasks++;
}

void
task_release (struct kq_sched *sched, struct task *task)
{
  if (task->state != TASK_BOUND)
    return;
  account_task (task, -1);
  DL_DELETE (task->worker->tasks, task);
  task->worker = NULL;
  sched->placement_due = true;
  task->state = TASK_WAITING;
  disruption_update (task);
  sched->counts.bound_tasks--;
}

static void
queue_stop_order (struct kq_sched *sched, struct task *task,
                  struct kq_sched_now now)
{
  struct kq_sched_effect *effect
      = sched_add_effect (sched, KQ_SCHED_FX_STOP, 0);

  if (effect == NULL)
    return;
  task->stop_sent_at = now.mono;
  effect->u.order.run = task_run (task);
  snprintf (effect->u.order.worker, sizeof effect->u.order.worker, "%s",
            task->worker->report.id);
}

void
task_stop (struct kq_sched *sched, struct task *task, struct kq_sched_now now)
{
  if (task->state != TASK_BOUND)
    return;
  if (task->phase == PHASE_STORING)
    {
      task_withdraw_run (sched, task, now, "start order not sent");
      return;
    }
  task->stop_wanted = true;
  disruption_update (task);
  if (task->phase != PHASE_STOPPING)
    queue_stop_order (sched, task, now);
}

static void
release_run (struct kq_sched *sched, struct task *task,
             struct kq_sched_now now, const char *why)
{
  task_log (task, "run ended", why);
  late_note_run_over (sched, task);
  rack_note_release (sched, task, now);
  task_release (sched, task);
  job_mark_dirty (sched, task->stage->job);
}

void
task_end_run (struct kq_sched *sched, struct task *task,
              struct kq_sched_now now, const char *why)
{
  task->has_run = true;
  release_run (sched, task, now, why);
  if (!job_has_ended (task->stage->job))
    task_make_ready (sched, task, now);
}

void
task_withdraw_run (struct kq_sched *sched, struct task *task,
                   struct kq_sched_now now, const char *why)
{
  release_run (sched, task, now, why);
  if (!job_has_ended (task->stage->job))
    task_make_ready_again (sched, task, now);
}

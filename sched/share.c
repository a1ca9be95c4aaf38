/* Tasks that fill must not hold a serving task over its target. */
#include <stdio.h>

#include "log/log.h"
#include "sched/internal.h"

/* Fillers are slowed when a tail is over this share of its target, and sped
   up again below the lower share: hysteresis against switching on each noisy
   figure. */
#define SLOW_PERCENT_OF_TARGET 80
#define FAST_PERCENT_OF_TARGET 50

/* Shortest time between two changes of the pace at a worker: figures cover
   the last half second. */
#define PACE_INTERVAL (700 * KQ_USEC_PER_MSEC)

#define PACE_STEPS 3
static const int pace_steps[PACE_STEPS] = { 100, 25, 0 };

/* Highest tail among the serving tasks, in percent of its target. */
static int64_t
worst_tail_percent (const struct worker *worker)
{
  const struct task *task;
  int64_t worst = 0;

  DL_FOREACH (worker->tasks, task)
  {
    int64_t target = task->stage->step->tail_target_ms;

    if (target > 0 && task->figure * 100 / target > worst)
      worst = task->figure * 100 / target;
  }
  return worst;
}

static void
set_pace (struct kq_sched *sched, struct worker *worker, int percent)
{
  struct task *task;
  char text[16];

  worker->pace = percent;
  snprintf (text, sizeof text, "%d", percent);
  kq_log (KQ_LOG_INFO, "sched", "fillers paced", 0, "worker",
          worker->report.id, "percent", text, NULL);
  DL_FOREACH (worker->tasks, task)
  {
    struct kq_sched_effect *effect;

    if (!task->stage->step->filler || task->phase != PHASE_AT_WORK)
      continue;
    effect = sched_add_effect (sched, KQ_SCHED_FX_PACE, 0);
    if (effect == NULL)
      return;
    task->paced = percent < 100;
    effect->u.order.run = task_run (task);
    effect->u.order.percent = percent;
    snprintf (effect->u.order.worker, sizeof effect->u.order.worker, "%s",
              worker->report.id);
  }
}

static int
pace_step (int percent)
{
  for (int i = 0; i < PACE_STEPS; i++)
    if (pace_steps[i] == percent)
      return i;
  return 0;
}

/* A filler that started after the pace was set runs at full speed. */
static bool
has_unpaced_filler (const struct worker *worker)
{
  const struct task *task;

  DL_FOREACH (worker->tasks, task)
  {
    if (task->stage->step->filler && task->phase == PHASE_AT_WORK
        && !task->paced)
      return true;
  }
  return false;
}

void
share_judge (struct kq_sched *sched, struct worker *worker,
             struct kq_sched_now now)
{
  int step = pace_step (worker->pace);
  int64_t worst;

  if (worker->serving == 0 && worker->pace == 100)
    return;
  if (worker->pace < 100 && has_unpaced_filler (worker))
    set_pace (sched, worker, worker->pace);
  if (now.mono - worker->paced_at < PACE_INTERVAL)
    return;
  worst = worst_tail_percent (worker);
  if (worst > SLOW_PERCENT_OF_TARGET && step + 1 < PACE_STEPS
      && worker->filler_cpu > 0)
    step++;
  else if (worst < FAST_PERCENT_OF_TARGET && step > 0)
    step--;
  else
    return;
  worker->paced_at = now.mono;
  set_pace (sched, worker, pace_steps[step]);
}

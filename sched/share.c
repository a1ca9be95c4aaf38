/* Tasks that fill must not hold a serving task over its target. */
#include <stdio.h>
#include <stdlib.h>

#include "log/log.h"
#include "sched/internal.h"

/* Tails in percent of the target.  Above the first, the filler that disturbs
   most is slowed, above the second it is halted; below the third it may run
   at full speed again.  The distance between them is the hysteresis that
   keeps noisy figures from switching it on and off. */
#define SLOW_PERCENT 80
#define HALT_PERCENT 100
#define FAST_PERCENT 55

#define SLOW_PACE 25

/* Shortest time between two changes at one worker: a figure covers the last
   half second. */
#define SLOW_INTERVAL (500 * KQ_USEC_PER_MSEC)
#define FAST_INTERVAL (1200 * KQ_USEC_PER_MSEC)

/* A halted task is moved after this, if little of its work is lost. */
#define HALT_TIME (300 * KQ_USEC_PER_MSEC)
#define LOST_PERCENT 40

/* Fillers that contribute less than this share of the largest are left
   alone. */
#define CONTRIBUTES 0.5

#define MAX_TAILS 64

/* Shares by image of what fills at WORKER; by demand, or, with IN_USE, by the
   CPU that the worker reports. */
static void
mix_of (struct kq_sched *sched, const struct worker *worker, bool in_use,
        struct kq_pressure_mix *mix)
{
  const struct task *task;
  double capacity = (double)worker->report.capacity.cpu;

  mix->fillers = 0;
  DL_FOREACH (worker->tasks, task)
  {
    int image = task->stage->image;
    double cpu = (double)(in_use ? task->figure
                                 : task->stage->step->demand.cpu);

    if (!task->stage->step->filler || cpu <= 0 || capacity <= 0)
      continue;
    if ((mix->fillers >> image & 1) == 0)
      mix->share[image] = 0;
    mix->fillers |= UINT64_C (1) << image;
    mix->share[image] += cpu / capacity;
  }
}

static int
by_value (const void *a, const void *b)
{
  int64_t x = *(const int64_t *)a;
  int64_t y = *(const int64_t *)b;

  return x < y ? -1 : x > y;
}

/* Median tail of IMAGE's tasks at WORKER in percent of the target; 0 when
   none is at work. */
static int64_t
tail_percent (const struct worker *worker, int image)
{
  int64_t tails[MAX_TAILS];
  int count = 0;
  const struct task *task;

  DL_FOREACH (worker->tasks, task)
  {
    int64_t target = task->stage->step->tail_target_ms;

    if (target > 0 && task->stage->image == image && task->percent == 100
        && task->figure > 0 && count < MAX_TAILS)
      tails[count++] = task->figure * 100 / target;
  }
  if (count == 0)
    return 0;
  qsort (tails, (size_t)count, sizeof tails[0], by_value);
  return tails[count / 2];
}

static uint64_t
serving_images (const struct worker *worker)
{
  const struct task *task;
  uint64_t images = 0;

  DL_FOREACH (worker->tasks, task)
  {
    if (task->stage->step->tail_target_ms > 0)
      images |= UINT64_C (1) << task->stage->image;
  }
  return images;
}

double
share_expect (struct kq_sched *sched, const struct worker *worker, int image,
              int64_t cpu)
{
  struct kq_pressure_mix mix;
  double worst = 0;

  mix_of (sched, worker, false, &mix);
  if ((mix.fillers >> image & 1) == 0)
    mix.share[image] = 0;
  mix.fillers |= UINT64_C (1) << image;
  mix.share[image] += (double)cpu / (double)worker->report.capacity.cpu;
  for (uint64_t left = serving_images (worker); left != 0; left &= left - 1)
    {
      double u = kq_pressure_expect (sched->pressure,
                                     __builtin_ctzll (left), &mix);

      if (u > worst)
        worst = u;
    }
  return worst;
}

static void
set_pace (struct kq_sched *sched, struct task *task, int percent,
          struct kq_sched_now now)
{
  struct kq_sched_effect *effect;
  char text[16];

  if (task->pace == percent || task->phase != PHASE_AT_WORK)
    return;
  effect = sched_add_effect (sched, KQ_SCHED_FX_PACE, 0);
  if (effect == NULL)
    return;
  task->pace = percent;
  task->paced_at = now.mono;
  task->percent_at = now.mono;
  snprintf (text, sizeof text, "%d", percent);
  task_log (task, "task paced", text);
  effect->u.order.run = task_run (task);
  effect->u.order.percent = percent;
  snprintf (effect->u.order.worker, sizeof effect->u.order.worker, "%s",
            task->worker->report.id);
}

/* What TASK is expected to put on SERVING. */
static double
contribution (struct kq_sched *sched, const struct task *task, int serving)
{
  return kq_pressure_factor (sched->pressure, serving, task->stage->image)
         * (double)task->stage->step->demand.cpu
         / (double)task->worker->report.capacity.cpu;
}

/* Slows those fillers that disturb SERVING most. */
static void
slow_down (struct kq_sched *sched, struct worker *worker, int serving,
           int percent, struct kq_sched_now now)
{
  struct task *task;
  double most = 0;

  DL_FOREACH (worker->tasks, task)
  {
    if (task->stage->step->filler && task->pace > percent
        && contribution (sched, task, serving) > most)
      most = contribution (sched, task, serving);
  }
  DL_FOREACH (worker->tasks, task)
  {
    if (task->stage->step->filler && task->pace > percent
        && contribution (sched, task, serving) >= most * CONTRIBUTES)
      set_pace (sched, task, percent, now);
  }
}

/* Speeds up the one that disturbs least, if there is room for it. */
static bool
speed_up (struct kq_sched *sched, struct worker *worker,
          struct kq_sched_now now)
{
  struct task *task;
  struct task *best = NULL;
  uint64_t serving = serving_images (worker);
  double least = 0;

  DL_FOREACH (worker->tasks, task)
  {
    double worst = 0;

    if (!task->stage->step->filler || task->pace == 100)
      continue;
    for (uint64_t left = serving; left != 0; left &= left - 1)
      {
        double u = contribution (sched, task, __builtin_ctzll (left));

        if (u > worst)
          worst = u;
      }
    if (best == NULL || worst < least)
      {
        best = task;
        least = worst;
      }
  }
  if (best == NULL)
    return false;
  set_pace (sched, best, 100, now);
  return true;
}

/* A halted task goes on elsewhere, where its checkpoint or its short past
   makes that cheap. */
static void
move_halted (struct kq_sched *sched, struct worker *worker,
             struct kq_sched_now now)
{
  struct task *task;
  struct task *next;

  DL_FOREACH_SAFE (worker->tasks, task, next)
  {
    if (task->pace == 0 && !task->stop_wanted
        && now.mono - task->paced_at > HALT_TIME
        && (task->stage->step->checkpointable
            || task->percent < LOST_PERCENT))
      {
        task_log (task, "task moved", "it disturbs a serving task");
        task_stop (sched, task, now);
      }
  }
}

void
share_judge (struct kq_sched *sched, struct worker *worker,
             struct kq_sched_now now)
{
  struct kq_pressure_mix mix;
  int64_t worst = 0;
  int worst_image = 0;

  if (worker->serving == 0 && worker->filler_cpu == 0)
    return;
  mix_of (sched, worker, true, &mix);
  for (uint64_t left = serving_images (worker); left != 0; left &= left - 1)
    {
      int image = __builtin_ctzll (left);
      int64_t tail = tail_percent (worker, image);

      if (tail == 0)
        continue;
      kq_pressure_observe (sched->pressure, image, &mix, (double)tail / 100);
      if (tail > worst)
        {
          worst = tail;
          worst_image = image;
        }
    }
  worker->worst_tail = (int)worst;
  move_halted (sched, worker, now);
  if (worst > SLOW_PERCENT && now.mono - worker->paced_at > SLOW_INTERVAL)
    {
      worker->paced_at = now.mono;
      slow_down (sched, worker, worst_image,
                 worst > HALT_PERCENT ? 0 : SLOW_PACE, now);
    }
  else if (worst < FAST_PERCENT
           && now.mono - worker->paced_at > FAST_INTERVAL
           && speed_up (sched, worker, now))
    worker->paced_at = now.mono;
}

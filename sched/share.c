/* Limits the interference of fillers so that serving tasks stay below their
 * latency target.
 *
 * At each status of a worker the load of its serving tasks is estimated, the
 * factors of the image pairs are learned, and each filler gets a pace: the CPU
 * limit in percent at which the serving task with the highest utilization
 * stays below TARGET_UTILIZATION.
 */
#include <stdio.h>

#include "log/log.h"
#include "sched/disruption.h"
#include "sched/internal.h"

/* Target for the utilization of a serving task: its tail latency is then
   two thirds of the target. The tail reaches the target at a utilization of
   0.8 if the target is five times the idle tail. */
#define TARGET_UTILIZATION 0.70

/* Utilization from which a worker is polled more often. */
#define NEAR_TARGET_UTILIZATION 0.55

/* Allowance for the growth of the load until the next status: 0.1 per
   second at the steepest point of a swing of half the load in 14 s. */
#define LOAD_MARGIN 0.05

/* Weight of one sample in the estimate of a job's load. The weight is low
   because tasks of the job on other workers add samples within the same
   second. */
#define LOAD_SMOOTHING 0.3
#define INITIAL_LOAD 0.45

/* Pairs with a smaller factor are ignored. The factors come in two groups, 0
   to 1.4 and 2.5 to 4.6: a limit within the lower group throttles fillers for
   noise. Source: docs/design/platform.md, "Sharing". */
#define MIN_RELEVANT_FACTOR 1.5

/* Paces are multiples of the step and are raised at most once in the
   interval, as hysteresis against noisy samples. */
#define PACE_STEP_PERCENT 20
#define PACE_RAISE_INTERVAL_US (600 * KQ_USEC_PER_MSEC)

/* A tail latency from this percentage of the target on counts as over the
   target, since samples are noisy. */
#define NEAR_TARGET_PERCENT 95

/* Time over the target after which all fillers are paused: a third of the
   4 s for which fillers may hold a task over its target, so that two more
   polls remain. */
#define PAUSE_ALL_AFTER_US (1300 * KQ_USEC_PER_MSEC)

/* A filler at or below this pace for this long is stopped, to continue on
   another worker, if little of its work is lost. It would only occupy
   memory here. */
#define SLOW_PACE_PERCENT 20
#define MOVE_AFTER_US (400 * KQ_USEC_PER_MSEC)
#define MAX_LOST_PERCENT 40

/* Fills MIX with the CPU shares of the fillers at WORKER by image: from
   their demand or, if IN_USE, from the CPU usage that the worker reports. */
static void
filler_mix (const struct worker *worker, bool in_use,
            struct kq_interference_mix *mix)
{
  const struct task *task;
  double capacity = (double)worker->report.capacity.cpu;

  mix->fillers = 0;
  DL_FOREACH (worker->tasks, task)
  {
    int image = task->stage->image;
    double cpu
        = (double)(in_use ? task->sample : task->stage->step->demand.cpu);

    if (!task->stage->step->filler || cpu <= 0 || capacity <= 0)
      continue;
    if ((mix->fillers >> image & 1) == 0)
      mix->share[image] = 0;
    mix->fillers |= UINT64_C (1) << image;
    mix->share[image] += cpu / capacity;
  }
}

static bool
is_serving (const struct task *task)
{
  return task->stage->step->tail_target_ms > 0;
}

static bool
has_valid_sample (const struct task *task)
{
  return is_serving (task) && task->percent == 100 && task->sample > 0;
}

static double
load_with_margin (const struct task *task)
{
  double load = task->stage->load > 0 ? task->stage->load : INITIAL_LOAD;

  return load + LOAD_MARGIN;
}

/* Predicted interference P on TASK by the fillers in MIX with a relevant
   factor. */
static double
interference_on (struct kq_sched *sched, const struct task *task,
                 const struct kq_interference_mix *mix)
{
  double sum = 0;

  for (uint64_t remaining = mix->fillers; remaining != 0;
       remaining &= remaining - 1)
    {
      int filler = __builtin_ctzll (remaining);
      double factor = kq_interference_factor (sched->interference_model,
                                              task->stage->image, filler);

      if (factor >= MIN_RELEVANT_FACTOR)
        sum += factor * mix->share[filler];
    }
  return sum;
}

/* Interference P at which TASK reaches the target utilization. */
static double
max_interference (const struct task *task)
{
  double limit = TARGET_UTILIZATION / load_with_margin (task) - 1;

  return limit > 0 ? limit : 0;
}

static struct share_slot *
slot_for (struct worker *worker, int image)
{
  struct share_slot *slot;

  for (int i = 0; i < worker->slot_count; i++)
    if (worker->slots[i].image == image)
      return &worker->slots[i];
  if (worker->slot_count == MAX_SHARE_SLOTS)
    return &worker->slots[MAX_SHARE_SLOTS - 1];
  slot = &worker->slots[worker->slot_count++];
  *slot = (struct share_slot){ .image = image, .max_interference = 1 };
  return slot;
}

/* Caches the sums over the tasks of WORKER: placement reads them for each
   pair of a task and a worker. */
static void
fill_slots (struct kq_sched *sched, struct worker *worker)
{
  struct kq_interference_mix mix;
  const struct task *task;

  worker->slot_count = 0;
  worker->slots_valid = true;
  if (worker->serving_count == 0)
    return;
  filler_mix (worker, false, &mix);
  DL_FOREACH (worker->tasks, task)
  {
    struct share_slot *slot;
    double interference;

    if (!is_serving (task))
      continue;
    slot = slot_for (worker, task->stage->image);
    interference = interference_on (sched, task, &mix);
    if (interference > slot->interference)
      slot->interference = interference;
    if (max_interference (task) < slot->max_interference)
      slot->max_interference = max_interference (task);
  }
}

double
share_interference (struct kq_sched *sched, struct worker *worker, int image,
                    int64_t cpu)
{
  double share = (double)cpu / (double)worker->report.capacity.cpu;
  double max = 0;

  if (!worker->slots_valid)
    fill_slots (sched, worker);
  for (int i = 0; i < worker->slot_count; i++)
    {
      const struct share_slot *slot = &worker->slots[i];
      double factor = kq_interference_factor (sched->interference_model,
                                              slot->image, image);
      double interference;

      if (factor < MIN_RELEVANT_FACTOR)
        continue;
      interference = (slot->interference + factor * share)
                     / (slot->max_interference + 0.001);
      if (interference > max)
        max = interference;
    }
  return max;
}

static void
set_pace (struct kq_sched *sched, struct task *task, int percent,
          struct kq_sched_now now)
{
  struct kq_sched_effect *effect;

  if (task->pace_percent == percent || task->phase != PHASE_RUNNING)
    return;
  effect = sched_add_effect (sched, KQ_SCHED_FX_PACE, 0);
  if (effect == NULL)
    return;
  sched->counts.paces++;
  task->pace_percent = percent;
  task->pace_changed_at = now.mono;
  task->progress_at = now.mono;
  if (kq_log_enabled (KQ_LOG_DEBUG))
    {
      char text[16];

      snprintf (text, sizeof text, "%d", percent);
      task_log_debug (task, "task pace in percent", text);
    }
  effect->u.order.run = task_run (task);
  effect->u.order.percent = percent;
  snprintf (effect->u.order.worker, sizeof effect->u.order.worker, "%s",
            task->worker->report.id);
}

/* Updates the load estimate and the factors from the tail latency of TASK. */
static void
learn_from_tail (struct kq_sched *sched, struct task *task,
                 const struct kq_interference_mix *mix)
{
  struct stage *stage = task->stage;
  double tail = (double)task->sample / (double)stage->step->tail_target_ms;
  double interference
      = kq_interference_predict (sched->interference_model, stage->image, mix);
  double utilization;

  kq_interference_learn_base (sched->interference_model, stage->image, tail);
  utilization = kq_interference_utilization (sched->interference_model,
                                             stage->image, tail);
  if (stage->load <= 0)
    stage->load = utilization / (1 + interference);
  else if (mix->fillers != 0 && stage->load > 0.1)
    kq_interference_learn_factors (sched->interference_model, stage->image,
                                   mix, utilization / stage->load - 1);
  stage->load
      += LOAD_SMOOTHING * (utilization / (1 + interference) - stage->load);
}

/* Pace for fillers of IMAGE at which all serving tasks stay below the
   target utilization. */
static int
pace_for (struct kq_sched *sched, const struct worker *worker, int image,
          const struct kq_interference_mix *demand_mix)
{
  const struct task *task;
  double min_fraction = 1;

  DL_FOREACH (worker->tasks, task)
  {
    double interference;
    double share;

    if (!is_serving (task)
        || kq_interference_factor (sched->interference_model,
                                   task->stage->image, image)
               < MIN_RELEVANT_FACTOR)
      continue;
    interference = interference_on (sched, task, demand_mix);
    share = interference > 0 ? max_interference (task) / interference : 1;
    if (share < min_fraction)
      min_fraction = share;
  }
  return (int)(min_fraction * 100) / PACE_STEP_PERCENT * PACE_STEP_PERCENT;
}

/* Updates the time since when TASK has been near or over its target. */
static void
track_over_target (struct task *task, struct kq_sched_now now)
{
  if (task->sample * 100
      < task->stage->step->tail_target_ms * NEAR_TARGET_PERCENT)
    task->over_target_since = 0;
  else if (task->over_target_since == 0)
    task->over_target_since = now.mono;
}

/* Returns the longest time for which a task has been over its target;
   negative if none is. */
static kq_usec
longest_over_target (const struct worker *worker, struct kq_sched_now now)
{
  const struct task *task;
  kq_usec longest = -1;

  DL_FOREACH (worker->tasks, task)
  {
    if (has_valid_sample (task) && task->over_target_since != 0
        && now.mono - task->over_target_since > longest)
      longest = now.mono - task->over_target_since;
  }
  return longest;
}

static void
pace_all (struct kq_sched *sched, struct worker *worker,
          struct kq_sched_now now)
{
  struct kq_interference_mix demand_mix;
  struct task *task;
  bool may_raise = now.mono - worker->pace_changed_at > PACE_RAISE_INTERVAL_US;
  kq_usec over_time = longest_over_target (worker, now);

  filler_mix (worker, false, &demand_mix);
  DL_FOREACH (worker->tasks, task)
  {
    int pace_percent;

    if (!task->stage->step->filler || task->stop_wanted)
      continue;
    pace_percent = pace_for (sched, worker, task->stage->image, &demand_mix);
    /* While a task is over its target, fillers with a known effect on it
       are paused; after a while all fillers are, since the cause is
       unknown. */
    if ((over_time >= 0 && pace_percent < 100)
        || over_time > PAUSE_ALL_AFTER_US)
      pace_percent = 0;
    task->next_pace_percent = pace_percent;
    if (pace_percent > task->pace_percent && (!may_raise || over_time >= 0))
      continue;
    if (pace_percent != task->pace_percent)
      worker->pace_changed_at = now.mono;
    set_pace (sched, task, pace_percent, now);
  }
}

/* Stops fillers that have been at a low pace for some time, if little of their
   work is lost, so that they continue on another worker. Those whose pace is
   about to be raised stay: a raise is delayed for longer than MOVE_AFTER_US,
   and without this condition half of the moved fillers were no longer in
   anybody's way. */
static void
stop_throttled (struct kq_sched *sched, struct worker *worker,
                struct kq_sched_now now)
{
  struct task *task;
  struct task *next;

  DL_FOREACH_SAFE (worker->tasks, task, next)
  {
    if (task->pace_percent <= SLOW_PACE_PERCENT
        && task->next_pace_percent <= SLOW_PACE_PERCENT && !task->stop_wanted
        && !task->may_disturb && !disruption_forbids_stop (task)
        && now.mono - task->pace_changed_at > MOVE_AFTER_US
        && (task->stage->step->checkpointable
            || task->percent < MAX_LOST_PERCENT))
      {
        sched->counts.moves++;
        task_log (task, "task moved", "slows down a serving task");
        task_stop (sched, task, now);
      }
  }
}

/* Whether a serving task may exceed its target before the next regular
   poll, or a throttled filler may soon get a higher pace. */
static bool
is_near_target (struct kq_sched *sched, const struct worker *worker)
{
  struct kq_interference_mix demand_mix;
  const struct task *task;

  if (worker->serving_count == 0 || worker->filler_cpu == 0)
    return false;
  filler_mix (worker, false, &demand_mix);
  DL_FOREACH (worker->tasks, task)
  {
    if (task->stage->step->filler && task->pace_percent < 100)
      return true;
    if (is_serving (task)
        && load_with_margin (task)
                   * (1 + interference_on (sched, task, &demand_mix))
               > NEAR_TARGET_UTILIZATION)
      return true;
  }
  return false;
}

void
share_update (struct kq_sched *sched, struct worker *worker,
              struct kq_sched_now now)
{
  struct kq_interference_mix mix;
  struct task *task;

  if (worker->serving_count == 0 && worker->filler_cpu == 0)
    return;
  filler_mix (worker, true, &mix);
  DL_FOREACH (worker->tasks, task)
  {
    if (!has_valid_sample (task))
      continue;
    learn_from_tail (sched, task, &mix);
    track_over_target (task, now);
  }
  worker->slots_valid = false;
  worker->near_target = is_near_target (sched, worker);
  worker->idle_cpu = 0;
  DL_FOREACH (worker->tasks, task)
  {
    if (is_serving (task))
      worker->idle_cpu += (int64_t)((double)task->stage->step->demand.cpu
                                    * (1 - load_with_margin (task)));
  }
  pace_all (sched, worker, now);
  stop_throttled (sched, worker, now);
}

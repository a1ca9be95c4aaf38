/* Tasks that fill must not hold a serving task over its target.
 *
 * At each list of a worker the load of its serving tasks is estimated, the
 * factors of the pairs are learned, and each filler gets the pace at which
 * the fullest serving task stays below AIM.
 */
#include <stdio.h>

#include "log/log.h"
#include "sched/internal.h"

/* Use of a serving task that is aimed at: its tail is then two thirds of the
   target.  At the target itself it is 0.8 where the target is five times the
   idle tail. */
#define AIM 0.70

/* Use from which a worker is looked at more often. */
#define TENSE 0.55

/* Load may grow by this until the next list: a tenth a second at the steepest
   of a swing of half the load in 14 s. */
#define LOAD_MARGIN 0.05

/* Weight of one figure in the estimate of a job's load: its tasks on other
   workers add theirs within the same second. */
#define LOAD_STEP 0.3
#define FIRST_LOAD 0.45

/* A pair with a smaller factor is left alone: pairs either disturb each other
   clearly or hardly, and small factors are mostly noise. */
#define HARMLESS_FACTOR 0.8

/* Paces are set in steps of this, and raised no more often than the interval:
   hysteresis against noisy figures. */
#define PACE_STEP 20
#define RAISE_INTERVAL (600 * KQ_USEC_PER_MSEC)

/* A tail counts as over its target from this share of it on: figures are
   rough. */
#define NEAR_TARGET_PERCENT 95

/* A third of the time for which fillers may hold a task over its target (4 s),
   so that two more looks remain. */
#define SUSPECT_ALL_AFTER (1300 * KQ_USEC_PER_MSEC)

/* A task at or below this pace for this long is stopped, to go on where it
   disturbs nobody, if little of its work is lost; it would only hold memory.
 */
#define SLOW_PACE 20
#define MOVE_AFTER (400 * KQ_USEC_PER_MSEC)
#define LOST_PERCENT 40

/* Shares by image of what fills at WORKER; by demand, or, with IN_USE, by the
   CPU that the worker reports. */
static void
mix_of (const struct worker *worker, bool in_use, struct kq_pressure_mix *mix)
{
  const struct task *task;
  double capacity = (double)worker->report.capacity.cpu;

  mix->fillers = 0;
  DL_FOREACH (worker->tasks, task)
  {
    int image = task->stage->image;
    double cpu
        = (double)(in_use ? task->figure : task->stage->step->demand.cpu);

    if (!task->stage->step->filler || cpu <= 0 || capacity <= 0)
      continue;
    if ((mix->fillers >> image & 1) == 0)
      mix->share[image] = 0;
    mix->fillers |= UINT64_C (1) << image;
    mix->share[image] += cpu / capacity;
  }
}

static bool
serves (const struct task *task)
{
  return task->stage->step->tail_target_ms > 0;
}

static bool
is_serving_well_known (const struct task *task)
{
  return serves (task) && task->percent == 100 && task->figure > 0;
}

static double
load_of (const struct task *task)
{
  double load = task->stage->load > 0 ? task->stage->load : FIRST_LOAD;

  return load + LOAD_MARGIN;
}

/* The P beside TASK of those fillers in MIX that matter to it. */
static double
press_on (struct kq_sched *sched, const struct task *task,
          const struct kq_pressure_mix *mix)
{
  double sum = 0;

  for (uint64_t left = mix->fillers; left != 0; left &= left - 1)
    {
      int filler = __builtin_ctzll (left);
      double factor
          = kq_pressure_factor (sched->pressure, task->stage->image, filler);

      if (factor >= HARMLESS_FACTOR)
        sum += factor * mix->share[filler];
    }
  return sum;
}

/* The P beside TASK at which it reaches the aim. */
static double
allowed (const struct task *task)
{
  double most = AIM / load_of (task) - 1;

  return most > 0 ? most : 0;
}

static struct share_slot *
slot_for (struct worker *worker, int image)
{
  struct share_slot *slot;

  for (int i = 0; i < worker->slot_count; i++)
    if (worker->slots[i].image == image)
      return &worker->slots[i];
  if (worker->slot_count == SHARE_SLOTS)
    return &worker->slots[SHARE_SLOTS - 1];
  slot = &worker->slots[worker->slot_count++];
  *slot = (struct share_slot){ .image = image, .allowed = 1 };
  return slot;
}

/* Placement asks about each worker for each task, so that the sums over its
   tasks are kept. */
static void
fill_slots (struct kq_sched *sched, struct worker *worker)
{
  struct kq_pressure_mix mix;
  const struct task *task;

  worker->slot_count = 0;
  worker->slots_valid = true;
  if (worker->serving == 0)
    return;
  mix_of (worker, false, &mix);
  DL_FOREACH (worker->tasks, task)
  {
    struct share_slot *slot;
    double press;

    if (!serves (task))
      continue;
    slot = slot_for (worker, task->stage->image);
    press = press_on (sched, task, &mix);
    if (press > slot->press)
      slot->press = press;
    if (allowed (task) < slot->allowed)
      slot->allowed = allowed (task);
  }
}

double
share_press (struct kq_sched *sched, struct worker *worker, int image,
             int64_t cpu)
{
  double share = (double)cpu / (double)worker->report.capacity.cpu;
  double worst = 0;

  if (!worker->slots_valid)
    fill_slots (sched, worker);
  for (int i = 0; i < worker->slot_count; i++)
    {
      const struct share_slot *slot = &worker->slots[i];
      double factor = kq_pressure_factor (sched->pressure, slot->image, image);
      double press;

      if (factor < HARMLESS_FACTOR)
        continue;
      press = (slot->press + factor * share) / (slot->allowed + 0.001);
      if (press > worst)
        worst = press;
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
  sched->counts.paces++;
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

/* Takes the tail of TASK into its job's load and the factors. */
static void
observe (struct kq_sched *sched, struct task *task,
         const struct kq_pressure_mix *mix)
{
  struct stage *stage = task->stage;
  double tail = (double)task->figure / (double)stage->step->tail_target_ms;
  double press = kq_pressure_expect (sched->pressure, stage->image, mix);
  double use;

  kq_pressure_see_tail (sched->pressure, stage->image, tail);
  use = kq_pressure_use (sched->pressure, stage->image, tail);
  if (stage->load <= 0)
    stage->load = use / (1 + press);
  else if (mix->fillers != 0 && stage->load > 0.1)
    kq_pressure_observe (sched->pressure, stage->image, mix,
                         use / stage->load - 1);
  stage->load += LOAD_STEP * (use / (1 + press) - stage->load);
}

/* Pace of fillers of IMAGE at which all serving tasks stay below the aim. */
static int
pace_for (struct kq_sched *sched, const struct worker *worker, int image,
          const struct kq_pressure_mix *full)
{
  const struct task *task;
  double least = 1;

  DL_FOREACH (worker->tasks, task)
  {
    double press;
    double share;

    if (!serves (task)
        || kq_pressure_factor (sched->pressure, task->stage->image, image)
               < HARMLESS_FACTOR)
      continue;
    press = press_on (sched, task, full);
    share = press > 0 ? allowed (task) / press : 1;
    if (share < least)
      least = share;
  }
  return (int)(least * 100) / PACE_STEP * PACE_STEP;
}

/* Notes since when TASK is at its target or over. */
static void
note_over (struct task *task, struct kq_sched_now now)
{
  if (task->figure * 100
      < task->stage->step->tail_target_ms * NEAR_TARGET_PERCENT)
    task->over_since = 0;
  else if (task->over_since == 0)
    task->over_since = now.mono;
}

/* Returns for how long a task has been over its target; negative when none
   is. */
static kq_usec
time_over (const struct worker *worker, struct kq_sched_now now)
{
  const struct task *task;
  kq_usec longest = -1;

  DL_FOREACH (worker->tasks, task)
  {
    if (is_serving_well_known (task) && task->over_since != 0
        && now.mono - task->over_since > longest)
      longest = now.mono - task->over_since;
  }
  return longest;
}

static void
pace_all (struct kq_sched *sched, struct worker *worker,
          struct kq_sched_now now)
{
  struct kq_pressure_mix full;
  struct task *task;
  bool may_raise = now.mono - worker->paced_at > RAISE_INTERVAL;
  kq_usec over = time_over (worker, now);

  mix_of (worker, false, &full);
  DL_FOREACH (worker->tasks, task)
  {
    int pace;

    if (!task->stage->step->filler || task->stop_wanted)
      continue;
    pace = pace_for (sched, worker, task->stage->image, &full);
    /* While a task is over its target, what is known to disturb it stands
       still; after a while, all does: something is not known. */
    if ((over >= 0 && pace < 100) || over > SUSPECT_ALL_AFTER)
      pace = 0;
    if (pace > task->pace && (!may_raise || over >= 0))
      continue;
    if (pace != task->pace)
      worker->paced_at = now.mono;
    set_pace (sched, task, pace, now);
  }
}

static void
move_slowed (struct kq_sched *sched, struct worker *worker,
             struct kq_sched_now now)
{
  struct task *task;
  struct task *next;

  DL_FOREACH_SAFE (worker->tasks, task, next)
  {
    if (task->pace <= SLOW_PACE && !task->stop_wanted && !task->disturbs
        && now.mono - task->paced_at > MOVE_AFTER
        && (task->stage->step->checkpointable || task->percent < LOST_PERCENT))
      {
        sched->counts.moves++;
        task_log (task, "task moved", "it disturbs a serving task");
        task_stop (sched, task, now);
      }
  }
}

/* Whether some task may pass its target before the next look at leisure, or a
   filler waits to be sped up again. */
static bool
is_tense (struct kq_sched *sched, const struct worker *worker)
{
  struct kq_pressure_mix full;
  const struct task *task;

  if (worker->serving == 0 || worker->filler_cpu == 0)
    return false;
  mix_of (worker, false, &full);
  DL_FOREACH (worker->tasks, task)
  {
    if (task->stage->step->filler && task->pace < 100)
      return true;
    if (serves (task)
        && load_of (task) * (1 + press_on (sched, task, &full)) > TENSE)
      return true;
  }
  return false;
}

void
share_judge (struct kq_sched *sched, struct worker *worker,
             struct kq_sched_now now)
{
  struct kq_pressure_mix mix;
  struct task *task;

  if (worker->serving == 0 && worker->filler_cpu == 0)
    return;
  mix_of (worker, true, &mix);
  DL_FOREACH (worker->tasks, task)
  {
    if (!is_serving_well_known (task))
      continue;
    observe (sched, task, &mix);
    note_over (task, now);
  }
  worker->slots_valid = false;
  worker->tense = is_tense (sched, worker);
  worker->idle_cpu = 0;
  DL_FOREACH (worker->tasks, task)
  {
    if (serves (task))
      worker->idle_cpu += (int64_t)((double)task->stage->step->demand.cpu
                                    * (1 - load_of (task)));
  }
  pace_all (sched, worker, now);
  move_slowed (sched, worker, now);
}

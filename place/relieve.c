/* Relief of workers under pressure. */

#include <math.h>

#include "place/internal.h"

/** Speed that is given back in one step. */
#define SHARE_STEP 125

/** How far below the limits a worker is before speed is given back. */
#define GIVE_BACK_PART 0.95

/** How far above the limits before something is done. */
#define ACT_PART 1.1

/** A checkpoint that has not freed the worker by then ends in a stop. */
#define CHECKPOINT_TIMEOUT (10 * KQ_USEC_PER_SEC)

/** How much dearer each earlier move makes another one. */
#define MOVED_PENALTY 2.0

/** Core seconds that every eviction costs, the work lost excepted. */
#define EVICTION_CORE_SEC 5.0

double
place_eviction_cost (const struct place_task *task, kq_usec now)
{
  double lost_sec = (double)(now - task->saved_at) / KQ_USEC_PER_SEC;
  double cores = task->task.size.cpu_milli / 1000.0;

  return (lost_sec * cores + EVICTION_CORE_SEC)
         * (1 + MOVED_PENALTY * task->task.moved);
}

void
place_evict (struct place_worker *worker, struct place_task *task, kq_usec now,
             struct kq_place_action *action)
{
  action->worker = worker->name;
  action->task = task->task.id;
  action->action = task->leaving_at == 0 ? KQ_TASK_CHECKPOINT : KQ_TASK_STOP;
  action->share_milli = 0;
  task->leaving_at = now;
  worker->acted_at = now;
  worker->fresh = false;
}

static bool
can_move (const struct place_task *task)
{
  return task->ended_at == 0 && task->leaving_at == 0
         && task->task.kind == KQ_TASK_BATCH;
}

struct place_task *
place_victim (const struct place_worker *worker, int32_t importance,
              kq_usec now)
{
  struct place_task *best = NULL;
  struct place_task *task;

  DL_FOREACH (worker->tasks, task)
  {
    if (!can_move (task) || task->task.importance >= importance)
      continue;
    if (best == NULL || task->task.importance < best->task.importance
        || (task->task.importance == best->task.importance
            && place_eviction_cost (task, now)
                   < place_eviction_cost (best, now)))
      best = task;
  }
  return best;
}

/** How much TASK weighs in what is too much: slow-down and processors. */
static double
pressure_of (const struct place_task *task)
{
  return task->task.size.cpu_milli * task->class->cpu.mean
         * (0.1 + task->class->slow.mean);
}

struct place_task *
place_loudest (const struct place_worker *worker, int32_t importance)
{
  struct place_task *best = NULL;
  struct place_task *task;

  DL_FOREACH (worker->tasks, task)
  {
    if (!can_move (task) || task->share <= SHARE_LEAST
        || task->task.importance >= importance)
      continue;
    if (best == NULL || task->task.importance < best->task.importance
        || (task->task.importance == best->task.importance
            && pressure_of (task) > pressure_of (best)))
      best = task;
  }
  return best;
}

/** Returns the throttled task of WORKER that gets speed back first. */
static struct place_task *
slowed_of (const struct place_worker *worker)
{
  struct place_task *best = NULL;
  struct place_task *task;

  DL_FOREACH (worker->tasks, task)
  {
    if (!can_move (task) || task->share == SHARE_FULL)
      continue;
    if (best == NULL || task->task.importance > best->task.importance)
      best = task;
  }
  return best;
}

void
place_set_share (struct kq_place *place, struct place_worker *worker,
                 struct place_task *task, int32_t share, kq_usec now,
                 struct kq_place_action *action)
{
  action->worker = worker->name;
  action->task = task->task.id;
  action->action = KQ_TASK_THROTTLE;
  action->share_milli = share;
  task->share_before = task->share;
  task->share = share;
  task->share_at = now;
  worker->acted_at = now;
  worker->fresh = false;
  place_load_update (place, worker);
  place_loads_update (place);
}

/** Memory in use: as reported, corrected by what started or ended since.
 *  Expected sizes count without their margin: an eviction on a suspicion
 *  costs more than a report's wait.  */
static double
memory_now (const struct place_worker *worker)
{
  double memory = worker->usage.used.memory_mb;
  const struct place_task *task;

  DL_FOREACH (worker->tasks, task)
  {
    bool counted = place_share_at (task, worker->usage.at) > 0;
    bool runs = task->ended_at == 0;
    double size = task->task.size.memory_mb * task->class->memory.mean;

    if (counted && !runs)
      memory -= size;
    if (runs && !counted && !place_unseen (task->class))
      memory += size;
  }
  return memory;
}

/** Largest of processors, slow-down and rack, as they are expected to be, in
 *  parts of their limits.  */
static double
pressure (const struct kq_place *place, const struct place_worker *worker)
{
  const struct place_rack *own = worker->rack;
  double rack = own->used / (own->limit * fmax (own->capacity, 1));
  double cpu = place_cpu_upper (place, &worker->load)
               / (place->cpu_limit * fmax (worker->capacity.cpu_milli, 1));
  double slow = worker->load.slow / place_slow_limit (place, worker);

  return fmax (fmax (rack, cpu), slow);
}

/** Slow-down of services as it was reported, in parts of its limit. */
static double
slowness (const struct kq_place *place, const struct place_worker *worker)
{
  if (worker->slots == 0 || worker->usage.slow_milli == 0)
    return 0;
  return (worker->usage.slow_milli / 1000.0 - 1) / place->slow_limit;
}

/** Halves the speed of one task of WORKER; returns the number of actions. */
static int
slow_down (struct kq_place *place, struct place_worker *worker, kq_usec now,
           struct kq_place_action *action)
{
  struct place_task *task = place_loudest (worker, INT32_MAX);
  int32_t share;

  if (task == NULL)
    return 0;
  share = task->share / 2 > SHARE_LEAST ? task->share / 2 : SHARE_LEAST;
  place_set_share (place, worker, task, share, now, action);
  return 1;
}

/** Gives speed back to one task of WORKER, unless that is expected to bring
 *  it to its limits again; returns the number of actions.  */
static int
give_back (struct kq_place *place, struct place_worker *worker, kq_usec now,
           struct kq_place_action *action)
{
  struct place_task *task = slowed_of (worker);
  int32_t before;
  int32_t share;
  double raised;

  if (task == NULL || slowness (place, worker) > GIVE_BACK_PART)
    return 0;
  before = task->share;
  share = before + SHARE_STEP < SHARE_FULL ? before + SHARE_STEP : SHARE_FULL;
  task->share = share;
  place_load_update (place, worker);
  place_loads_update (place);
  raised = pressure (place, worker);
  task->share = before;
  place_load_update (place, worker);
  place_loads_update (place);
  if (raised > GIVE_BACK_PART)
    return 0;
  place_set_share (place, worker, task, share, now, action);
  return 1;
}

/** Moves one task away from WORKER; returns the number of actions. */
static int
move_away (struct place_worker *worker, kq_usec now,
           struct kq_place_action *action)
{
  struct place_task *task = place_victim (worker, INT32_MAX, now);

  if (task != NULL)
    place_evict (worker, task, now, action);
  return task != NULL;
}

/** One step of relief for WORKER; returns the number of actions, 0 or 1. */
static int
relieve_worker (struct kq_place *place, struct place_worker *worker,
                kq_usec now, struct kq_place_action *action)
{
  double expected = pressure (place, worker);

  if (memory_now (worker) > MEMORY_LIMIT * worker->capacity.memory_mb)
    return move_away (worker, now, action);
  if (fmax (expected, slowness (place, worker)) <= ACT_PART)
    return give_back (place, worker, now, action);
  if (slow_down (place, worker, now, action) > 0)
    return 1;
  /* Slowness that batch work doesn't explain is not cured by evictions. */
  return expected > ACT_PART ? move_away (worker, now, action) : 0;
}

/** Stops a task of WORKER whose checkpoint took too long. */
static int
stop_overdue (struct place_worker *worker, kq_usec now,
              struct kq_place_action *action)
{
  struct place_task *task;

  DL_FOREACH (worker->tasks, task)
  {
    if (task->ended_at != 0 || task->leaving_at == 0
        || now < task->leaving_at + CHECKPOINT_TIMEOUT)
      continue;
    place_evict (worker, task, now, action);
    return 1;
  }
  return 0;
}

int
kq_place_relieve (struct kq_place *place, kq_usec now,
                  struct kq_place_action *actions, int max)
{
  struct place_worker *worker;
  int count = 0;

  place_loads_update (place);
  for (worker = place->workers; worker != NULL && count < max;
       worker = worker->hh.next)
    {
      int stopped = stop_overdue (worker, now, &actions[count]);

      count += stopped;
      /* A report from before the last intervention does not show it. */
      if (stopped > 0 || !worker->fresh
          || worker->usage.at < worker->acted_at + SETTLE_TIME)
        continue;
      count += relieve_worker (place, worker, now, &actions[count]);
      worker->fresh = false;
    }
  return count;
}

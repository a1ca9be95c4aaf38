/* Relief of overloaded workers. */

#include <math.h>

#include "place/internal.h"

/** Amount by which the share of a throttled task is raised in one step, in
 *  thousandths of full speed.  */
#define SHARE_STEP 125

/** Shares are raised only up to this fraction of the limits. */
#define RAISE_THRESHOLD 0.95

/** A worker is overloaded above this multiple of its limits. */
#define OVERLOAD_THRESHOLD 1.1

/** Time after a requested checkpoint when a task that still runs is stopped.
 */
#define CHECKPOINT_TIMEOUT_US (10 * KQ_USEC_PER_SEC)

/** Increase of the eviction cost of a task for each of its earlier evictions,
 *  as a fraction.  */
#define REPEAT_EVICTION_PENALTY 2.0

/** Core seconds that every eviction costs in addition to the lost work. */
#define EVICTION_FIXED_CORE_SEC 5.0

double
place_eviction_cost (const struct place_task *task, kq_usec now)
{
  double lost_work_sec
      = (double)(now - task->checkpointed_at) / KQ_USEC_PER_SEC;
  double cores = task->task.size.cpu_milli / 1000.0;

  return (lost_work_sec * cores + EVICTION_FIXED_CORE_SEC)
         * (1 + REPEAT_EVICTION_PENALTY * task->task.eviction_count);
}

void
place_request_eviction (struct place_worker *worker, struct place_task *task,
                        kq_usec now, struct kq_place_action *action)
{
  action->worker = worker->name;
  action->task = task->task.id;
  action->action
      = task->evict_requested_at == 0 ? KQ_TASK_CHECKPOINT : KQ_TASK_STOP;
  action->share_milli = 0;
  task->evict_requested_at = now;
  worker->last_action_at = now;
  worker->has_unused_report = false;
}

static bool
is_evictable (const struct place_task *task)
{
  return task->ended_at == 0 && task->evict_requested_at == 0
         && task->task.kind == KQ_TASK_BATCH;
}

struct place_task *
place_find_task_to_evict (const struct place_worker *worker,
                          int32_t importance, kq_usec now)
{
  struct place_task *best = NULL;
  struct place_task *task;

  DL_FOREACH (worker->tasks, task)
  {
    if (!is_evictable (task) || task->task.importance >= importance)
      continue;
    if (best == NULL || task->task.importance < best->task.importance
        || (task->task.importance == best->task.importance
            && place_eviction_cost (task, now)
                   < place_eviction_cost (best, now)))
      best = task;
  }
  return best;
}

/** Returns the contribution of TASK to an overload, from its processors and
 *  the slowdown that it causes.  */
static double
interference_of (const struct place_task *task)
{
  return task->task.size.cpu_milli * task->class->cpu.mean
         * (0.1 + task->class->slowdown.mean);
}

struct place_task *
place_find_task_to_throttle (const struct place_worker *worker,
                             int32_t importance)
{
  struct place_task *best = NULL;
  struct place_task *task;

  DL_FOREACH (worker->tasks, task)
  {
    if (!is_evictable (task) || task->share <= SHARE_MIN
        || task->task.importance >= importance)
      continue;
    if (best == NULL || task->task.importance < best->task.importance
        || (task->task.importance == best->task.importance
            && interference_of (task) > interference_of (best)))
      best = task;
  }
  return best;
}

/** Returns the throttled task of WORKER whose share is raised first. */
static struct place_task *
find_task_to_raise (const struct place_worker *worker)
{
  struct place_task *best = NULL;
  struct place_task *task;

  DL_FOREACH (worker->tasks, task)
  {
    if (!is_evictable (task) || task->share == SHARE_FULL)
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
  task->previous_share = task->share;
  task->share = share;
  task->share_changed_at = now;
  worker->last_action_at = now;
  worker->has_unused_report = false;
  place_load_update (place, worker);
  place_loads_update (place);
}

/** Returns the memory in use, in MB: as reported, corrected by the tasks that
 *  started or ended since.  Expected sizes are used without their margin,
 *  because an eviction on an uncertain estimate costs more than waiting for
 *  the next report.  */
static double
current_memory_mb (const struct place_worker *worker)
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
    if (runs && !counted && !place_class_is_unmeasured (task->class))
      memory += size;
  }
  return memory;
}

/** Returns the largest of the expected processors, slowdown and rack use, each
 *  as a fraction of its limit.  */
static double
expected_limit_ratio (const struct kq_place *place,
                      const struct place_worker *worker)
{
  const struct place_rack *rack = worker->rack;
  double rack_ratio = rack->used / (rack->limit * fmax (rack->capacity, 1));
  double cpu = place_expected_cpu_upper (place, &worker->load)
               / (place->cpu_limit * fmax (worker->capacity.cpu_milli, 1));
  double slowdown
      = worker->load.slowdown / place_slowdown_limit (place, worker);

  return fmax (fmax (rack_ratio, cpu), slowdown);
}

/** Returns the reported slowdown of services as a fraction of its limit. */
static double
reported_slowdown_ratio (const struct kq_place *place,
                         const struct place_worker *worker)
{
  if (worker->slots == 0 || worker->usage.slow_milli == 0)
    return 0;
  return (worker->usage.slow_milli / 1000.0 - 1) / place->slowdown_limit;
}

/** Halves the share of one task of WORKER; returns the number of actions. */
static int
throttle_task (struct kq_place *place, struct place_worker *worker,
               kq_usec now, struct kq_place_action *action)
{
  struct place_task *task = place_find_task_to_throttle (worker, INT32_MAX);
  int32_t share;

  if (task == NULL)
    return 0;
  share = task->share / 2 > SHARE_MIN ? task->share / 2 : SHARE_MIN;
  place_set_share (place, worker, task, share, now, action);
  return 1;
}

/** Raises the share of one task of WORKER, unless that is expected to bring
 *  the worker to its limits again; returns the number of actions.  */
static int
raise_share (struct kq_place *place, struct place_worker *worker, kq_usec now,
             struct kq_place_action *action)
{
  struct place_task *task = find_task_to_raise (worker);
  int32_t before;
  int32_t share;
  double raised_ratio;

  if (task == NULL
      || reported_slowdown_ratio (place, worker) > RAISE_THRESHOLD)
    return 0;
  before = task->share;
  share = before + SHARE_STEP < SHARE_FULL ? before + SHARE_STEP : SHARE_FULL;
  task->share = share;
  place_load_update (place, worker);
  place_loads_update (place);
  raised_ratio = expected_limit_ratio (place, worker);
  task->share = before;
  place_load_update (place, worker);
  place_loads_update (place);
  if (raised_ratio > RAISE_THRESHOLD)
    return 0;
  place_set_share (place, worker, task, share, now, action);
  return 1;
}

/** Evicts one task from WORKER; returns the number of actions. */
static int
evict_task (struct place_worker *worker, kq_usec now,
            struct kq_place_action *action)
{
  struct place_task *task = place_find_task_to_evict (worker, INT32_MAX, now);

  if (task != NULL)
    place_request_eviction (worker, task, now, action);
  return task != NULL;
}

/** Takes at most one action to relieve WORKER; returns the number of actions.
 */
static int
relieve_worker (struct kq_place *place, struct place_worker *worker,
                kq_usec now, struct kq_place_action *action)
{
  double expected_ratio = expected_limit_ratio (place, worker);

  if (current_memory_mb (worker)
      > MEMORY_LIMIT_FRACTION * worker->capacity.memory_mb)
    return evict_task (worker, now, action);
  if (fmax (expected_ratio, reported_slowdown_ratio (place, worker))
      <= OVERLOAD_THRESHOLD)
    return raise_share (place, worker, now, action);
  if (throttle_task (place, worker, now, action) > 0)
    return 1;
  /* Evictions do not reduce a slowdown that batch tasks do not cause. */
  return expected_ratio > OVERLOAD_THRESHOLD ? evict_task (worker, now, action)
                                             : 0;
}

/** Stops a task of WORKER whose checkpoint has timed out; returns the number
 *  of actions.  */
static int
stop_overdue_task (struct place_worker *worker, kq_usec now,
                   struct kq_place_action *action)
{
  struct place_task *task;

  DL_FOREACH (worker->tasks, task)
  {
    if (task->ended_at != 0 || task->evict_requested_at == 0
        || now < task->evict_requested_at + CHECKPOINT_TIMEOUT_US)
      continue;
    place_request_eviction (worker, task, now, action);
    return 1;
  }
  return 0;
}

int
kq_place_relieve_workers (struct kq_place *place, kq_usec now,
                          struct kq_place_action *actions, int max)
{
  struct place_worker *worker;
  int count = 0;

  place_loads_update (place);
  for (worker = place->workers; worker != NULL && count < max;
       worker = worker->hh.next)
    {
      int stopped = stop_overdue_task (worker, now, &actions[count]);

      count += stopped;
      /* A report taken before the last action does not show its effect. */
      if (stopped > 0 || !worker->has_unused_report
          || worker->usage.at
                 < worker->last_action_at + ACTION_EFFECT_DELAY_US)
        continue;
      count += relieve_worker (place, worker, now, &actions[count]);
      worker->has_unused_report = false;
    }
  return count;
}

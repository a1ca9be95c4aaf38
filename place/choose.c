/* Choice of a worker for a task. */

#include <math.h>
#include <stdlib.h>

#include "base/err.h"
#include "place/internal.h"

/** Tasks of a job that was never seen that run until it is; more important
 *  ones than this are not held back.  */
#define PROBE_TASKS 4
#define PROBE_IMPORTANCE 8
#define PROBE_COST 10.0

/** A placement that is weighed. */
struct option
{
  struct place_worker *worker;
  struct place_load load; /**< of the worker, with the task */
  double rack_part;       /**< of the rack's limit, with the task */
};

/** Whether SIZE as declared fits into the whole of WORKER. */
static bool
fits_idle (const struct place_worker *worker, const struct kq_size *size)
{
  return size->cpu_milli <= worker->capacity.cpu_milli
         && size->memory_mb <= worker->capacity.memory_mb
         && size->accelerators <= worker->capacity.accelerators;
}

bool
place_blind (const struct kq_place *place, kq_usec now)
{
  return !place->reported && place->began_at != 0
         && now > place->began_at + REPORTS_EXPECTED;
}

/** Whether room on WORKER is kept for a more important task than TASK. */
static bool
room_is_kept (const struct place_worker *worker,
              const struct kq_place_task *task, kq_usec now)
{
  return worker->room_until > now
         && !place_id_eq (&worker->room_for, &task->id);
}

/** Whether the processors and the slow-down of OPTION stay within limits.
 *  A task too big for the limits may have a worker that runs no other.  */
static bool
within_speed (const struct kq_place *place, const struct option *option,
              const struct kq_size *declared)
{
  const struct place_worker *worker = option->worker;
  double limit = place->cpu_limit * worker->capacity.cpu_milli;
  double slow_limit = place_slow_limit (place, worker);

  if (place_cpu_upper (place, &option->load) <= limit
      && option->load.slow <= slow_limit)
    return true;
  return worker->load.tasks == 0
         && declared->cpu_milli + worker->load.cpu
                <= worker->capacity.cpu_milli;
}

/** Whether the memory of OPTION stays within limits, likewise. */
static bool
within_memory (const struct option *option, const struct kq_size *declared)
{
  const struct place_worker *worker = option->worker;

  if (option->load.memory <= MEMORY_LIMIT * worker->capacity.memory_mb)
    return true;
  return worker->load.tasks == 0
         && declared->memory_mb + worker->load.memory
                <= worker->capacity.memory_mb;
}

/** Fills OPTION and returns whether it is within all limits. */
static bool
weigh (const struct kq_place *place, struct place_worker *worker,
       const struct place_class *class, const struct kq_place_task *task,
       kq_usec now, struct option *option)
{
  const struct place_rack *rack = worker->rack;
  struct kq_size grant = place_grant (place, class, &task->size);
  double added;

  option->worker = worker;
  option->load = worker->load;
  place_load_add (place, worker, class, &task->size, SHARE_FULL,
                  &option->load);
  added = option->load.cpu - worker->load.cpu;
  option->rack_part
      = (rack->used + added) / (rack->limit * fmax (rack->capacity, 1));
  if (!fits_idle (worker, &task->size)
      || !place_guard_admits (worker, &worker->load, &grant))
    return false;
  return place_blind (place, now)
         || (within_memory (option, &task->size)
             && (option->rack_part <= 1 || rack->tasks == 0)
             && within_speed (place, option, &task->size));
}

bool
place_within_limits (const struct kq_place *place, struct place_worker *worker,
                     const struct place_class *class,
                     const struct kq_place_task *task, kq_usec now)
{
  struct option option;

  return weigh (place, worker, class, task, now, &option);
}

/** Returns how many tasks of CLASS run on WORKER. */
static int
tasks_of (const struct place_worker *worker, const struct place_class *class)
{
  const struct place_task *task;
  int count = 0;

  DL_FOREACH (worker->tasks, task)
  {
    count += task->ended_at == 0 && task->class == class;
  }
  return count;
}

/** Cost of OPTION: services slowed down and racks near their limit weigh
 *  against processors left over in pieces.  Tasks of a class that was never
 *  seen are spread, because all of them may be far larger than declared.  */
static double
cost (const struct kq_place *place, const struct place_class *class,
      const struct option *option)
{
  double slow = option->load.slow / place_slow_limit (place, option->worker);
  double left = 1 - option->load.cpu / option->worker->capacity.cpu_milli;
  int together = place_unseen (class) ? tasks_of (option->worker, class) : 0;

  return together * PROBE_COST
         + place->spread_weight
               * (slow * slow + option->rack_part * option->rack_part)
         + left;
}

static bool
within_quota (const struct place_class *team, const struct kq_size *size)
{
  return (int64_t)team->occupied.cpu_milli + size->cpu_milli
             <= team->quota.cpu_milli
         && (int64_t)team->occupied.memory_mb + size->memory_mb
                <= team->quota.memory_mb
         && (int64_t)team->occupied.accelerators + size->accelerators
                <= team->quota.accelerators;
}

/** Returns LIMIT less USED, but not below 0. */
static int32_t
left (double limit, double used)
{
  return limit > used ? (int32_t)(limit - used) : 0;
}

struct kq_size
kq_place_free (struct kq_place *place, const struct kq_name *name, kq_usec now)
{
  const struct place_worker *worker = place_worker_find (place, name);
  struct kq_size size = { 0, 0, 0 };
  const struct place_rack *rack;
  double rack_limit;

  if (worker == NULL)
    return size;
  place_loads_update (place);
  if (worker->load.tasks == 0 || place_blind (place, now))
    return worker->capacity;
  rack = worker->rack;
  rack_limit = rack->limit * rack->capacity;
  size.cpu_milli = left (place->cpu_limit * worker->capacity.cpu_milli,
                         place_cpu_upper (place, &worker->load));
  if (size.cpu_milli > left (rack_limit, rack->used))
    size.cpu_milli = left (rack_limit, rack->used);
  size.memory_mb
      = left (MEMORY_LIMIT * worker->capacity.memory_mb, worker->load.memory);
  size.accelerators = left (worker->capacity.accelerators,
                            worker->load.granted.accelerators);
  return size;
}

int
kq_place_choose (struct kq_place *place, const struct kq_place_task *task,
                 kq_usec now, kq_place_usable *usable, void *ctx,
                 struct kq_name *name)
{
  const struct place_class *class = place_class_of (place, task);
  const struct place_worker *best = NULL;
  struct place_worker *worker;
  struct option option;
  double best_cost = HUGE_VAL;
  bool possible = place->workers == NULL;

  if (class == NULL)
    return KQ_ENOMEM;
  if (place->began_at == 0)
    place->began_at = now;
  if (!within_quota (class->team, &task->size))
    return KQ_EJOB_QUOTA;
  if (!place_blind (place, now) && place_unseen (class)
      && class->running >= PROBE_TASKS && task->importance <= PROBE_IMPORTANCE)
    return KQ_EPLACE_PROBE;
  place_loads_update (place);
  for (worker = place->workers; worker != NULL; worker = worker->hh.next)
    {
      possible = possible || fits_idle (worker, &task->size);
      if (room_is_kept (worker, task, now)
          || (usable != NULL && !usable (ctx, &worker->name))
          || !weigh (place, worker, class, task, now, &option)
          || cost (place, class, &option) >= best_cost)
        continue;
      best = worker;
      best_cost = cost (place, class, &option);
    }
  if (best == NULL)
    return possible ? KQ_EWORKER_FULL : KQ_EJOB_NEVER_FITS;
  *name = best->name;
  return 0;
}

int
kq_place_start (struct kq_place *place, const struct kq_name *name,
                const struct kq_place_task *task, kq_usec now)
{
  struct place_worker *worker = place_worker_find (place, name);
  const struct place_class *class = place_class_of (place, task);
  struct kq_place_running running
      = { .task = *task, .share_milli = SHARE_FULL };

  if (worker == NULL)
    return KQ_ENOENT;
  if (class == NULL)
    return KQ_ENOMEM;
  place_loads_update (place);
  if (!place_within_limits (place, worker, class, task, now)
      || !within_quota (class->team, &task->size))
    abort ();
  worker->room_until = 0;
  running.granted = place_grant (place, class, &task->size);
  return place_task_add (place, worker, &running, now);
}

/* Choice of a worker for a task, and free capacity of workers. */

#include <math.h>
#include <stdlib.h>

#include "base/err.h"
#include "place/internal.h"

/** Number of tasks that a job whose usage was not measured yet may run at the
 *  same time, the importance above which this does not apply, and the cost of
 *  each such task that already runs on a worker.  */
#define PROBE_TASKS 4
#define PROBE_MAX_IMPORTANCE 8
#define PROBE_COLOCATION_COST 10.0

/** A worker that is considered for a task. */
struct candidate
{
  struct place_worker *worker;
  struct place_load load; /**< load of the worker with the task */
  double rack_fraction;   /**< expected use of its rack / the limit */
};

/** Returns whether SIZE as declared is within the capacity of WORKER. */
static bool
fits_idle_worker (const struct place_worker *worker,
                  const struct kq_resources *size)
{
  return size->cpu_milli <= worker->capacity.cpu_milli
         && size->memory_mb <= worker->capacity.memory_mb
         && size->accelerators <= worker->capacity.accelerators;
}

bool
place_lacks_reports (const struct kq_place *place, kq_usec now)
{
  return !place->has_report && place->first_choice_at != 0
         && now > place->first_choice_at + REPORT_TIMEOUT_US;
}

/** Returns whether capacity of WORKER is reserved for a task other than TASK.
 */
static bool
is_reserved (const struct place_worker *worker,
             const struct kq_place_task *task, kq_usec now)
{
  return worker->reserved_until > now
         && !place_task_id_eq (&worker->reserved_for, &task->id);
}

/** Returns whether the processors and the slowdown of CANDIDATE stay within
 *  their limits.  A task too large for the limits may run on a worker without
 *  other tasks.  */
static bool
within_cpu_limits (const struct kq_place *place,
                   const struct candidate *candidate,
                   const struct kq_resources *declared)
{
  const struct place_worker *worker = candidate->worker;
  double limit = place->cpu_limit * worker->capacity.cpu_milli;
  double slowdown_limit = place_slowdown_limit (place, worker);

  if (place_expected_cpu_upper (place, &candidate->load) <= limit
      && candidate->load.slowdown <= slowdown_limit)
    return true;
  return worker->load.tasks == 0
         && declared->cpu_milli + worker->load.cpu
                <= worker->capacity.cpu_milli;
}

/** Returns whether the memory of CANDIDATE stays within its limit, with the
 *  same exception.  */
static bool
within_memory_limit (const struct candidate *candidate,
                     const struct kq_resources *declared)
{
  const struct place_worker *worker = candidate->worker;

  if (candidate->load.memory
      <= MEMORY_LIMIT_FRACTION * worker->capacity.memory_mb)
    return true;
  return worker->load.tasks == 0
         && declared->memory_mb + worker->load.memory
                <= worker->capacity.memory_mb;
}

/** Fills CANDIDATE and returns whether it is within all limits. */
static bool
evaluate (const struct kq_place *place, struct place_worker *worker,
          const struct place_class *class, const struct kq_place_task *task,
          kq_usec now, struct candidate *candidate)
{
  const struct place_rack *rack = worker->rack;
  struct kq_resources grant = place_granted_size (place, class, &task->size);
  double added;

  candidate->worker = worker;
  candidate->load = worker->load;
  place_load_add (place, worker, class, &task->size, SHARE_FULL,
                  &candidate->load);
  added = candidate->load.cpu - worker->load.cpu;
  candidate->rack_fraction
      = (rack->used + added) / (rack->limit * fmax (rack->capacity, 1));
  if (!fits_idle_worker (worker, &task->size)
      || !place_guard_admits (worker, &worker->load, &grant))
    return false;
  return place_lacks_reports (place, now)
         || (within_memory_limit (candidate, &task->size)
             && (candidate->rack_fraction <= 1 || rack->tasks == 0)
             && within_cpu_limits (place, candidate, &task->size));
}

bool
place_within_limits (const struct kq_place *place, struct place_worker *worker,
                     const struct place_class *class,
                     const struct kq_place_task *task, kq_usec now)
{
  struct candidate candidate;

  return evaluate (place, worker, class, task, now, &candidate);
}

/** Returns the number of tasks of CLASS that run on WORKER. */
static int
count_tasks (const struct place_worker *worker,
             const struct place_class *class)
{
  const struct place_task *task;
  int count = 0;

  DL_FOREACH (worker->tasks, task)
  {
    count += task->ended_at == 0 && task->class == class;
  }
  return count;
}

/** Returns the cost of CANDIDATE: slowdown of services and use of the rack's
 *  limit are weighed against unused processors, which would be fragmented.
 *  Tasks of a class that was not measured yet are spread over workers, because
 *  all of them may be far larger than declared.  */
static double
placement_cost (const struct kq_place *place, const struct place_class *class,
                const struct candidate *candidate)
{
  double slowdown = candidate->load.slowdown
                    / place_slowdown_limit (place, candidate->worker);
  double remaining
      = 1 - candidate->load.cpu / candidate->worker->capacity.cpu_milli;
  int colocated = place_class_is_unmeasured (class)
                      ? count_tasks (candidate->worker, class)
                      : 0;

  return colocated * PROBE_COLOCATION_COST
         + place->spread_weight
               * (slowdown * slowdown
                  + candidate->rack_fraction * candidate->rack_fraction)
         + remaining;
}

static bool
within_quota (const struct place_class *team, const struct kq_resources *size)
{
  return (int64_t)team->declared_running.cpu_milli + size->cpu_milli
             <= team->quota.cpu_milli
         && (int64_t)team->declared_running.memory_mb + size->memory_mb
                <= team->quota.memory_mb
         && (int64_t)team->declared_running.accelerators + size->accelerators
                <= team->quota.accelerators;
}

/** Returns LIMIT minus USED, but not less than 0. */
static int32_t
remaining (double limit, double used)
{
  return limit > used ? (int32_t)(limit - used) : 0;
}

struct kq_resources
kq_place_free_capacity (struct kq_place *place, const struct kq_name *name,
                        kq_usec now)
{
  const struct place_worker *worker = place_worker_find (place, name);
  struct kq_resources size = { 0, 0, 0 };
  const struct place_rack *rack;
  double rack_limit;

  if (worker == NULL)
    return size;
  place_loads_update (place);
  if (worker->load.tasks == 0 || place_lacks_reports (place, now))
    return worker->capacity;
  rack = worker->rack;
  rack_limit = rack->limit * rack->capacity;
  size.cpu_milli = remaining (place->cpu_limit * worker->capacity.cpu_milli,
                              place_expected_cpu_upper (place, &worker->load));
  if (size.cpu_milli > remaining (rack_limit, rack->used))
    size.cpu_milli = remaining (rack_limit, rack->used);
  size.memory_mb = remaining (
      MEMORY_LIMIT_FRACTION * worker->capacity.memory_mb, worker->load.memory);
  size.accelerators = remaining (worker->capacity.accelerators,
                                 worker->load.granted.accelerators);
  return size;
}

int
kq_place_choose_worker (struct kq_place *place,
                        const struct kq_place_task *task, kq_usec now,
                        kq_place_usable_fn *usable, void *ctx,
                        struct kq_name *name)
{
  const struct place_class *class = place_get_class (place, task);
  const struct place_worker *best = NULL;
  struct place_worker *worker;
  struct candidate candidate;
  double lowest_cost = HUGE_VAL;
  bool possible = place->workers == NULL;

  if (class == NULL)
    return KQ_ENOMEM;
  if (place->first_choice_at == 0)
    place->first_choice_at = now;
  if (!within_quota (class->team, &task->size))
    return KQ_EJOB_QUOTA;
  if (!place_lacks_reports (place, now) && place_class_is_unmeasured (class)
      && class->running >= PROBE_TASKS
      && task->importance <= PROBE_MAX_IMPORTANCE)
    return KQ_EPLACE_PROBE;
  place_loads_update (place);
  for (worker = place->workers; worker != NULL; worker = worker->hh.next)
    {
      possible = possible || fits_idle_worker (worker, &task->size);
      if (is_reserved (worker, task, now)
          || (usable != NULL && !usable (ctx, &worker->name))
          || !evaluate (place, worker, class, task, now, &candidate)
          || placement_cost (place, class, &candidate) >= lowest_cost)
        continue;
      best = worker;
      lowest_cost = placement_cost (place, class, &candidate);
    }
  if (best == NULL)
    return possible ? KQ_EWORKER_FULL : KQ_EJOB_NEVER_FITS;
  *name = best->name;
  return 0;
}

int
kq_place_add_task (struct kq_place *place, const struct kq_name *name,
                   const struct kq_place_task *task, kq_usec now)
{
  struct place_worker *worker = place_worker_find (place, name);
  const struct place_class *class = place_get_class (place, task);
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
  worker->reserved_until = 0;
  running.granted = place_granted_size (place, class, &task->size);
  return place_task_add (place, worker, &running, now);
}

/* What a placement pass knows of each service: the room that is left, the room
 * that is kept for others, demands that no worker could take, and priorities
 * that wait for more urgent tasks.
 */
#include "sched/place.h"

/* Of a job without a bound task, a task that has been ready for this long gets
   what it is otherwise denied for the sake of other tasks while less than
   HALF_USED_PERCENT of the CPU is in use: a filler is placed although it will
   be throttled, a long-running task takes room that short ones have needed
   lately, and one task may start at a quarantined worker. Source: a job may
   have nothing running for 3 s then. */
#define STARVED_AFTER_US (1500 * KQ_USEC_PER_MSEC)
#define HALF_USED_PERCENT 50

/* Percentage of a service's CPU that tasks of each lateness leave free, so
   that tasks that can still be in time start at once instead of waiting for
   those that cannot. Source: docs/design/platform.md, "Overload". */
static const int reserve_percent[] = { 0, 4, 8 };

/* Tasks that are late by this much leave less free: they would never run
   where long-running tasks hold nearly all of the CPU. */
#define VERY_LATE_MS 30000
#define VERY_LATE_RESERVE_PERCENT 1

/* A task that finds no capacity blocks tasks of lower priority, other than
   fillers, for this long, because they would take capacity in small pieces
   as it comes free. After that time it is unlikely to be in time any more. */
#define BLOCK_TIME_US (3 * KQ_USEC_PER_SEC)

struct pool *
place_pool (struct pass *pass, int service)
{
  struct pool *pool;

  for (int i = 0; i < pass->pool_count; i++)
    if (pass->pools[i].service == service)
      return &pass->pools[i];
  if (pass->pool_count == MAX_SERVICES)
    return &pass->pools[MAX_SERVICES - 1];
  pool = &pass->pools[pass->pool_count++];
  pool->service = service;
  pool->capacity = 0;
  pool->used = 0;
  pool->quarantined_capacity = 0;
  pool->quarantined_used = 0;
  pool->short_room = 0;
  pool->large_room = 0;
  pool->is_blocking = false;
  pool->failed_images = 0;
  pool->other_failed = false;
  pool->reserve_failed = false;
  return pool;
}

void
place_sum_pools (const struct kq_sched *sched, struct pass *pass,
                 struct kq_sched_now now)
{
  pass->has_quarantined = false;
  pass->has_large_held = false;
  pass->pool_count = 0;
  for (size_t i = 0; i < sched->worker_count; i++)
    {
      const struct worker *worker = sched->worker_array[i];
      struct pool *pool;

      pass->has_quarantined |= worker_is_quarantined (worker, now);
      pass->has_large_held |= worker->large_count > 0;
      if (!worker_takes_starts (worker, now))
        continue;
      pool = place_pool (pass, worker->service);
      if (worker_is_quarantined (worker, now))
        {
          pool->quarantined_capacity += worker->report.capacity.cpu;
          pool->quarantined_used += worker->used.cpu;
          continue;
        }
      pool->capacity += worker->report.capacity.cpu;
      pool->used += worker->used.cpu;
      pool->short_room += service_room (sched, worker, 0);
      pool->large_room += service_large_room (sched, worker, 0);
    }
}

bool
place_is_starved (int64_t used, int64_t capacity, const struct task *task,
                  struct kq_sched_now now)
{
  return used * 100 < capacity * HALF_USED_PERCENT
         && now.mono - task->ready_at >= STARVED_AFTER_US
         && !job_has_bound_task (task->stage->job);
}

bool
place_leaves_reserve (const struct pool *pool, const struct stage *stage,
                      struct kq_sched_now now)
{
  const struct kq_sched_step *step = stage->step;
  int percent = reserve_percent[stage->lateness];

  if (stage->lateness == 0 || step->filler || step->long_running)
    return true;
  if (now.wall_ms - stage->due_ms > VERY_LATE_MS)
    percent = VERY_LATE_RESERVE_PERCENT;
  return (pool->used + step->demand.cpu) * 100
         <= pool->capacity * (100 - percent);
}

int64_t
place_taken_room (const struct kq_sched *sched, const struct worker *worker,
                  const struct task *task)
{
  const struct kq_sched_step *step = task->stage->step;

  if (!step->long_running || step->filler)
    return 0;
  return service_room (sched, worker, 0)
         - service_room (sched, worker, step->demand.cpu);
}

bool
place_leaves_short_room (const struct kq_sched *sched, const struct pool *pool,
                         const struct worker *worker, const struct task *task,
                         struct kq_sched_now now)
{
  int64_t taken = place_taken_room (sched, worker, task);

  return taken == 0 || task->has_run
         || pool->short_room - taken
                >= service_kept_cpu (sched, pool->service, pool->capacity)
         || place_is_starved (pool->used, pool->capacity, task, now);
}

int64_t
place_spare_large_room (const struct kq_sched *sched, const struct pool *pool,
                        const struct task *task, struct kq_sched_now now)
{
  return place_is_starved (pool->used, pool->capacity, task, now)
             ? INT64_MAX
             : service_spare_large_room (sched, task, pool->large_room,
                                         pool->capacity);
}

/* Whether a demand of at most that of STAGE found no room in this pass. An
   entry that several services share says nothing about any of them. */
static bool
is_known_unplaced (const struct pool *pool, const struct stage *stage)
{
  const struct kq_sched_step *step = stage->step;

  if (pool->service != stage->job->service)
    return false;
  if (!step->filler)
    return pool->other_failed
           && demand_covers (&step->demand, &pool->smallest_other);
  return (pool->failed_images >> stage->image & 1) != 0
         && demand_covers (&step->demand, &pool->smallest[stage->image]);
}

static bool
has_task_for_quarantined (const struct stage *stage, struct kq_sched_now now)
{
  for (int i = 0; stage->step->long_running && i < stage->step->count; i++)
    if (stage->tasks[i].state == TASK_READY
        && place_accepts_quarantined (&stage->tasks[i], now))
      return true;
  return false;
}

/* Whether a long-running task of STAGE goes on after a loss. */
static bool
has_interrupted_task (const struct stage *stage)
{
  for (int i = 0; stage->step->long_running && i < stage->step->count; i++)
    if (stage->tasks[i].state == TASK_READY && stage->tasks[i].has_run)
      return true;
  return false;
}

/* Room that is kept for STAGE or held for large tasks, and quarantined
   workers, were not open to the tasks that found none. */
bool
place_cannot_fit (const struct pass *pass, const struct pool *pool,
                  const struct stage *stage, struct kq_sched_now now)
{
  return stage->hold_count == 0 && stage->large_count == 0
         && stage->reserved_count == 0 && is_known_unplaced (pool, stage)
         && !(pass->has_quarantined && has_task_for_quarantined (stage, now))
         && !(pass->has_large_held && has_interrupted_task (stage));
}

bool
place_fits_some_task (const struct worker *worker, const struct stage *stage,
                      struct kq_sched_now now)
{
  return place_has_room (worker, stage)
         && (worker_usable (worker, now)
             || (worker_takes_starts (worker, now)
                 && has_task_for_quarantined (stage, now)));
}

/* Whether TASK could start now if it did not avoid a worker. */
static bool
avoids_room (const struct task *task, struct kq_sched_now now)
{
  const struct worker *worker = task->avoided_worker;

  return worker != NULL && place_avoids_worker (task, worker, now)
         && place_fits (worker, task->stage, now);
}

void
place_block_lower (struct pool *pool, const struct task *task,
                   struct kq_sched_now now)
{
  const struct stage *stage = task->stage;
  const struct kq_sched_step *step = stage->step;

  if (pool->service != stage->job->service || pool->is_blocking
      || stage->lateness != 0 || step->filler || step->gang
      || step->label[0] != '\0' || step->max_per_worker != 0
      || now.mono - task->ready_at >= BLOCK_TIME_US || avoids_room (task, now))
    return;
  pool->is_blocking = true;
  pool->priority = stage->job->queue.priority;
}

bool
place_is_blocked (const struct pool *pool, const struct stage *stage)
{
  return stage->hold_count == 0 && !stage->step->filler && pool->is_blocking
         && pool->service == stage->job->service
         && stage->job->queue.priority > pool->priority
         && !has_interrupted_task (stage);
}

void
place_remember_unplaced (struct pool *pool, const struct stage *stage)
{
  const struct kq_sched_step *step = stage->step;

  if (pool->service != stage->job->service || step->label[0] != '\0'
      || step->max_per_worker != 0 || step->gang || stage->job->queue.advised
      || is_known_unplaced (pool, stage))
    return;
  if (step->filler)
    {
      pool->failed_images |= UINT64_C (1) << stage->image;
      pool->smallest[stage->image] = step->demand;
    }
  else if (!step->long_running)
    {
      pool->other_failed = true;
      pool->smallest_other = step->demand;
    }
}

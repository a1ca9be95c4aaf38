/* Selects a worker for each ready task. */
#include <string.h>

#include "base/err.h"
#include "log/log.h"
#include "sched/evacuate.h"
#include "sched/place.h"
#include "sched/warmup.h"

/* Weights of the score in thousandths of a worker's load; the lowest score
   is selected. Source: docs/design/platform.md, "Where work goes". */
#define WEIGHT_FAR_RACK 2000
#define WEIGHT_MIXED_WORK 4000
#define WEIGHT_FAILED_HERE 500
#define WEIGHT_OTHER_RACK 1000

/* A task under which workers were lost goes where the least would be lost with
   it, and where no other such task is on trial; other tasks keep away. */
#define WEIGHT_SUSPECT 50000
#define WEIGHT_NEIGHBOUR 5000

/* A quarantined worker is the last resort. */
#define WEIGHT_QUARANTINED 100000

/* Time without room elsewhere after which a long-running task that has run
   before may start at a quarantined worker. Source: such a task may be down
   for 3 s while there is room. */
#define ACCEPT_QUARANTINED_US (1000 * KQ_USEC_PER_MSEC)

/* Fillers may reserve CPU of a worker up to this percentage: all of them
   then run a little slower, which costs less than waiting. */
#define FILLER_OVERCOMMIT_PERCENT 110

/* Fillers are not placed where the interference on serving tasks would
   exceed this share of their limit. */
#define MAX_INTERFERENCE 1.1
#define WEIGHT_INTERFERENCE 1500

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

/* Number of workers among which one is chosen in a large cell. The least
   loaded of them is among the least loaded 5 percent of all with a probability
   of 96 percent. */
#define MAX_CANDIDATES 64

/* Time after a failure or stall of a task for which it waits for another
   worker. */
#define AVOID_WORKER_US (3 * KQ_USEC_PER_SEC)

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

/* Whether the job of TASK must not wait any longer, as most of CAPACITY is not
   USED. */
static bool
is_starved (int64_t used, int64_t capacity, const struct task *task,
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

/* Returns what a start of TASK at WORKER takes of the room for short tasks. */
static int64_t
taken_room (const struct kq_sched *sched, const struct worker *worker,
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
  int64_t taken = taken_room (sched, worker, task);

  return taken == 0 || task->has_run
         || pool->short_room - taken
                >= service_kept_cpu (sched, pool->service, pool->capacity)
         || is_starved (pool->used, pool->capacity, task, now);
}

int64_t
place_spare_large_room (const struct kq_sched *sched, const struct pool *pool,
                        const struct task *task, struct kq_sched_now now)
{
  return is_starved (pool->used, pool->capacity, task, now)
             ? INT64_MAX
             : service_spare_large_room (sched, task, pool->large_room,
                                         pool->capacity);
}

int
place_count_tasks (const struct worker *worker, const struct stage *stage)
{
  const struct task *task;
  int count = 0;

  DL_FOREACH (worker->tasks, task) { count += task->stage == stage; }
  return count;
}

static bool
has_capacity (const struct worker *worker, const struct kq_sched_step *step)
{
  const struct kq_sched_demand *capacity = &worker->report.capacity;
  const struct kq_sched_demand *demand = &step->demand;

  if (worker->used.mem + demand->mem > capacity->mem
      || worker->used.gpu + demand->gpu > capacity->gpu)
    return false;
  if (step->filler)
    return worker->used.cpu - worker->idle_cpu + worker->filler_cpu
               + demand->cpu
           <= capacity->cpu * FILLER_OVERCOMMIT_PERCENT / 100;
  return worker->used.cpu + demand->cpu <= capacity->cpu;
}

bool
place_is_within_capacity (const struct worker *worker,
                          const struct kq_sched_step *step)
{
  const struct kq_sched_demand *capacity = &worker->report.capacity;
  const struct kq_sched_demand *used = &worker->used;

  return used->mem <= capacity->mem && used->gpu <= capacity->gpu
         && (step->filler || used->cpu <= capacity->cpu);
}

bool
place_meets_constraints (const struct worker *worker,
                         const struct stage *stage)
{
  const struct kq_sched_step *step = stage->step;

  if (worker->service != stage->job->service)
    return false;
  if (step->label[0] != '\0' && strcmp (step->label, worker->report.kind) != 0
      && strcmp (step->label, worker->report.rack) != 0)
    return false;
  return step->max_per_worker == 0
         || place_count_tasks (worker, stage) < step->max_per_worker;
}

/* Whether WORKER has room for a task of STAGE, if it takes tasks at all. */
static bool
has_room (const struct worker *worker, const struct stage *stage)
{
  return has_capacity (worker, stage->step) && !worker->unheard
         && place_meets_constraints (worker, stage);
}

bool
place_fits (const struct worker *worker, const struct stage *stage,
            struct kq_sched_now now)
{
  return has_room (worker, stage) && worker_usable (worker, now);
}

/* Whether TASK has waited for so long that a worker where others have failed
   is better than none. */
static bool
accepts_quarantined (const struct task *task, struct kq_sched_now now)
{
  return task->may_use_quarantined
         || (task->stage->step->long_running && task->has_run
             && now.mono - task->ready_at >= ACCEPT_QUARANTINED_US);
}

bool
place_may_start_at (const struct worker *worker, const struct task *task,
                    struct kq_sched_now now)
{
  return accepts_quarantined (task, now) ? worker_takes_starts (worker, now)
                                         : worker_usable (worker, now);
}

/* Returns CPU in thousandths of the capacity of WORKER, which may be 0. */
static int64_t
share_milli (const struct worker *worker, int64_t cpu)
{
  int64_t capacity = worker->report.capacity.cpu;

  return capacity > 0 ? cpu * 1000 / capacity : 0;
}

/* Returns the CPU load in thousandths, including fillers and the demand of
   STEP. */
static int64_t
load_with_milli (const struct worker *worker, const struct kq_sched_step *step)
{
  return share_milli (worker, worker->used.cpu + worker->filler_cpu
                                  + step->demand.cpu);
}

/* Penalty for mixing serving tasks of different images on a worker:
   separate images leave fillers more workers whose tasks they do not slow
   down. */
static int64_t
mixing_penalty (const struct worker *worker, const struct task *task)
{
  const struct task *other;
  int64_t points = 0;

  DL_FOREACH (worker->tasks, other)
  {
    if (other->stage->step->tail_target_ms > 0
        && other->stage->image != task->stage->image)
      points = WEIGHT_MIXED_WORK;
  }
  return points;
}

/* Serving and other long-running tasks are packed on few workers, so that
   fillers and large tasks find others without them. Other tasks with a fixed
   demand go beside serving tasks. */
static int64_t
score (const struct worker *worker, const struct task *task,
       double interference)
{
  const struct kq_sched_step *step = task->stage->step;
  int64_t load = load_with_milli (worker, step);
  int64_t points = load;

  if (step->tail_target_ms > 0)
    {
      points = -load + mixing_penalty (worker, task);
      if (worker->serving_count == 0)
        points += WEIGHT_MIXED_WORK / 2;
      points += share_milli (worker, worker->filler_cpu);
    }
  else if (step->long_running && !step->filler)
    points = -load;
  else if (step->filler && worker->serving_count > 0)
    points += (int64_t)(WEIGHT_INTERFERENCE * interference);
  else if (!step->filler && worker->serving_count == 0)
    points += WEIGHT_MIXED_WORK / 4;
  if (step->rack[0] != '\0' && strcmp (step->rack, worker->report.rack) != 0)
    points += WEIGHT_FAR_RACK;
  points += (int64_t)worker->failed_jobs * WEIGHT_FAILED_HERE;
  if (worker->suspect_count > 0)
    points += WEIGHT_SUSPECT;
  if (crash_is_suspect (task))
    points += (int64_t)worker->task_count * WEIGHT_NEIGHBOUR;
  return points;
}

void
place_avoid_worker (struct task *task, struct worker *worker,
                    struct kq_sched_now now)
{
  task->avoided_worker = worker;
  task->avoided_until = now.mono + AVOID_WORKER_US;
}

bool
place_avoids_worker (const struct task *task, const struct worker *worker,
                     struct kq_sched_now now)
{
  return worker == task->avoided_worker && now.mono < task->avoided_until;
}

/* Whether the task must see all workers: few of them suit it, or it should be
   packed on as few as possible. */
static bool
is_particular (const struct task *task, const char *rack)
{
  const struct kq_sched_step *step = task->stage->step;

  return crash_is_suspect (task) || rack != NULL || step->tail_target_ms > 0
         || step->long_running || step->rack[0] != '\0'
         || step->label[0] != '\0' || step->max_per_worker != 0;
}

/* Whether WORKER may run TASK; sets *INTERFERENCE on serving tasks there. */
static bool
suits (struct kq_sched *sched, struct worker *worker, const struct task *task,
       struct kq_sched_now now, bool disturbing, double *interference)
{
  const struct stage *stage = task->stage;

  if (!has_room (worker, stage) || !place_may_start_at (worker, task, now)
      || place_avoids_worker (task, worker, now)
      || !reserve_allows (worker, task) || !large_allows (worker, task)
      || (warmup_is_cold (worker, now) && !warmup_allows (sched, worker, now))
      || (stage->job->queue.advised
          && advice_ticket (stage, worker, now) == NULL)
      || service_takes_kept_pieces (sched, worker, task))
    return false;
  *interference = 0;
  if (stage->step->filler && worker->serving_count > 0)
    *interference = share_interference (sched, worker, stage->image,
                                        stage->step->demand.cpu);
  return disturbing || *interference <= MAX_INTERFERENCE;
}

bool
place_score (struct kq_sched *sched, struct worker *worker,
             const struct task *task, struct kq_sched_now now, int64_t *points)
{
  double interference;

  if (!suits (sched, worker, task, now, false, &interference))
    return false;
  *points = score (worker, task, interference);
  return true;
}

/* Inserts WORKER with POINTS into BEST, which has COUNT entries of at most
   MAX; returns their new number. Of equal scores the one found first comes
   first. */
static int
insert_candidate (struct place_candidate *best, int count, int max,
                  struct worker *worker, int64_t points)
{
  int at = count;

  while (at > 0 && points < best[at - 1].points)
    at--;
  if (at == max)
    return count;
  if (count < max)
    count++;
  for (int i = count - 1; i > at; i--)
    best[i] = best[i - 1];
  best[at] = (struct place_candidate){ worker, points };
  return count;
}

int
place_search (struct kq_sched *sched, const struct task *task,
              struct kq_sched_now now, const char *rack, bool disturbing,
              struct place_candidate *best, int max)
{
  int best_count = 0;
  size_t count = sched->worker_count;
  size_t candidates = 0;
  size_t max_candidates = is_particular (task, rack) ? count : MAX_CANDIDATES;
  size_t first = count > max_candidates ? sched->next_candidate : 0;

  for (size_t i = 0; i < count && candidates < max_candidates; i++)
    {
      size_t index = first + i < count ? first + i : first + i - count;
      struct worker *worker = sched->worker_array[index];
      double interference;
      int64_t points;

      if (!suits (sched, worker, task, now, disturbing, &interference))
        continue;
      candidates += warmup_is_candidate (sched, worker, task, now);
      points = score (worker, task, interference)
               + warmup_points (sched, worker, task, now);
      if (worker_is_quarantined (worker, now))
        points += WEIGHT_QUARANTINED;
      if (rack != NULL && strcmp (rack, worker->report.rack) != 0)
        points += WEIGHT_OTHER_RACK;
      best_count = insert_candidate (best, best_count, max, worker, points);
      if (candidates == max_candidates)
        sched->next_candidate = (index + 1) % count;
    }
  return best_count;
}

/* Returns the best of these workers, or NULL. */
static struct worker *
choose_worker (struct kq_sched *sched, const struct task *task,
               struct kq_sched_now now, const char *rack, bool disturbing)
{
  struct place_candidate best;

  return place_search (sched, task, now, rack, disturbing, &best, 1) > 0
             ? best.worker
             : NULL;
}

const char *
place_common_rack (const struct stage *stage)
{
  if (!stage->step->same_rack)
    return NULL;
  for (int i = 0; i < stage->step->count; i++)
    if (stage->tasks[i].state == TASK_BOUND)
      return stage->tasks[i].worker->report.rack;
  return NULL;
}

/* Returns the worker for TASK, or NULL; sets *WAITS to whether it waits for
   room in the rack of its data or group. */
static struct worker *
choose_near_or_far (struct kq_sched *sched, struct task *task,
                    struct kq_sched_now now, bool *waits)
{
  struct rack *rack = rack_of_task (sched, task);
  struct worker *worker
      = rack != NULL ? rack_choose_worker (sched, rack, task, now) : NULL;

  *waits = rack != NULL && worker == NULL
           && rack_keeps_waiting (sched, rack, task, now);
  if (worker != NULL || *waits)
    return worker;
  worker = choose_worker (sched, task, now, place_common_rack (task->stage),
                          false);
  *waits = rack != NULL && worker != NULL
           && rack_begins_wait (sched, rack, task, worker, now);
  return *waits ? NULL : worker;
}

static void
queue_start_order (struct kq_sched *sched, struct task *task,
                   struct kq_sched_now now)
{
  struct job *job = task->stage->job;
  struct kq_sched_effect *effect;

  task->run++;
  rack_note_start (sched, task, now);
  job_mark_dirty (sched, job);
  effect = sched_add_effect (sched, KQ_SCHED_FX_START, job->changed_position);
  if (effect == NULL)
    return;
  effect->u.order.run = task_run (task);
  strcpy (effect->u.order.worker, task->worker->report.id);
  sched->counts.starts++;
  task_log_routine (task, "task placed");
}

static struct task *
next_ready (struct stage *stage, int *from, struct kq_sched_now now)
{
  for (; *from < stage->step->count; (*from)++)
    if (stage->tasks[*from].state == TASK_READY
        && !task_awaits_other_run (&stage->tasks[*from], now))
      return &stage->tasks[(*from)++];
  return NULL;
}

/* Returns a worker for TASK of a gang, in the rack chosen for it if there is
   one, or NULL. */
static struct worker *
choose_for_member (struct kq_sched *sched, const struct task *task,
                   struct kq_sched_now now)
{
  struct rack *rack = rack_of_task (sched, task);
  struct worker *worker
      = rack != NULL ? rack_choose_worker (sched, rack, task, now) : NULL;

  if (worker != NULL)
    return worker;
  return choose_worker (sched, task, now, place_common_rack (task->stage),
                        false);
}

/* Places all members of a gang or none. */
static void
place_gang (struct kq_sched *sched, struct stage *stage,
            struct kq_sched_now now)
{
  int from = 0;
  int run = 0;
  struct task *task;

  if (stage->ready_count < stage->step->count - stage->done_count
      || !rack_choose_for_group (sched, stage, now))
    return;
  for (int i = 0; i < stage->step->count; i++)
    if (task_awaits_other_run (&stage->tasks[i], now))
      return;
  while ((task = next_ready (stage, &from, now)) != NULL)
    {
      struct worker *worker = choose_for_member (sched, task, now);

      if (worker == NULL)
        {
          for (int i = 0; i < stage->step->count; i++)
            if (stage->tasks[i].state == TASK_BOUND)
              {
                rack_note_release (sched, &stage->tasks[i], now);
                task_release (sched, &stage->tasks[i]);
                task_make_ready_again (sched, &stage->tasks[i], now);
              }
          return;
        }
      if (task->run > run)
        run = task->run;
      task_bind (sched, task, worker, now);
    }
  for (int i = 0; i < stage->step->count; i++)
    if (stage->tasks[i].state == TASK_BOUND)
      {
        stage->tasks[i].run = run;
        queue_start_order (sched, &stage->tasks[i], now);
      }
}

/* Starts TASK at WORKER, and takes what it needs from POOL. */
static void
start_single (struct kq_sched *sched, struct pool *pool, struct task *task,
              struct worker *worker, struct kq_sched_now now)
{
  const struct kq_sched_step *step = task->stage->step;

  pool->short_room -= taken_room (sched, worker, task);
  pool->large_room -= service_taken_large_room (sched, worker, task);
  if (!step->filler)
    pool->used += step->demand.cpu;
  task_bind (sched, task, worker, now);
  queue_start_order (sched, task, now);
}

/* Starts TASK at WORKER, which keeps room for it, if it may start there now.
 */
static void
start_at_kept_worker (struct kq_sched *sched, struct pool *pool,
                      struct task *task, struct worker *worker,
                      struct kq_sched_now now)
{
  double interference;

  if (task->state != TASK_READY || task_awaits_other_run (task, now)
      || worker == NULL
      || !suits (sched, worker, task, now, false, &interference))
    return;
  start_single (sched, pool, task, worker, now);
}

/* Places the tasks of STAGE that have a reserved worker with room now: the
   first task may find none, and no other task may use that room. */
static void
place_reserved (struct kq_sched *sched, struct pool *pool, struct stage *stage,
                struct kq_sched_now now)
{
  for (int i = 0; stage->reserved_count > 0 && i < stage->step->count; i++)
    start_at_kept_worker (sched, pool, &stage->tasks[i],
                          stage->tasks[i].reserved_worker, now);
}

/* The same for the large tasks of STAGE whose room is held. */
static void
place_large (struct kq_sched *sched, struct pool *pool, struct stage *stage,
             struct kq_sched_now now)
{
  for (int i = 0; stage->large_count > 0 && i < stage->step->count; i++)
    {
      struct task *task = &stage->tasks[i];

      if (task->wait_began == 0 && place_leaves_reserve (pool, stage, now))
        start_at_kept_worker (sched, pool, task, task->large_worker, now);
    }
}

/* What became of a task for which a worker was searched. */
enum search_result
{
  SEARCH_STARTED,
  SEARCH_WAITS,    /* for room in its rack */
  SEARCH_KEPT_OFF, /* there is room, but it is kept for short tasks */
  SEARCH_NO_ROOM
};

static enum search_result
place_task (struct kq_sched *sched, struct pool *pool, struct task *task,
            struct kq_sched_now now)
{
  struct worker *worker;
  bool waits;

  sched->spare_large_room = place_spare_large_room (sched, pool, task, now);
  sched->large_room_denied = false;
  worker = choose_near_or_far (sched, task, now, &waits);
  sched->spare_large_room = INT64_MAX;
  if (waits)
    return SEARCH_WAITS;
  if (worker == NULL)
    return sched->large_room_denied ? SEARCH_KEPT_OFF : SEARCH_NO_ROOM;
  if (!place_leaves_short_room (sched, pool, worker, task, now))
    return SEARCH_KEPT_OFF;
  start_single (sched, pool, task, worker, now);
  return SEARCH_STARTED;
}

/* Tasks of a stage by the workers that are closed to them: each may start
   wherever those before it may, but for the worker that it avoids. */
enum search_class
{
  CLASS_NEW,
  CLASS_HAS_RUN,           /* a long-running task that goes on after a loss */
  CLASS_TAKES_QUARANTINED, /* and has waited for long */
  CLASS_COUNT
};

/* What the tasks of a stage left closed to a class that found no worker in
   this pass. */
struct failed_search
{
  bool any;
  const struct worker *avoided; /* by all of them; NULL: none */
};

static enum search_class
search_class (const struct task *task, struct kq_sched_now now)
{
  if (!task->stage->step->long_running || !task->has_run)
    return CLASS_NEW;
  return accepts_quarantined (task, now) ? CLASS_TAKES_QUARANTINED
                                         : CLASS_HAS_RUN;
}

/* Whether a worker that was closed to the tasks of FAILED may be open to
   TASK. */
static bool
may_find_more (const struct task *task,
               const struct failed_search failed[CLASS_COUNT],
               struct kq_sched_now now)
{
  const struct failed_search *same = &failed[search_class (task, now)];

  return !same->any
         || (same->avoided != NULL
             && !place_avoids_worker (task, same->avoided, now));
}

static void
add_failure (struct failed_search failed[CLASS_COUNT], const struct task *task,
             struct kq_sched_now now)
{
  for (int i = search_class (task, now); i >= 0; i--)
    {
      const struct worker *avoided
          = failed[i].any ? failed[i].avoided : task->avoided_worker;

      failed[i].avoided
          = avoided != NULL && place_avoids_worker (task, avoided, now)
                ? avoided
                : NULL;
      failed[i].any = true;
    }
}

/* Whether no other task of STAGE needs to be tried. */
static bool
is_search_exhausted (const struct stage *stage,
                     const struct failed_search failed[CLASS_COUNT])
{
  const struct failed_search *last
      = &failed[stage->step->long_running ? CLASS_COUNT - 1 : CLASS_NEW];

  return last->any && last->avoided == NULL;
}

/* Returns a task without a suitable worker, or NULL. */
static const struct task *
place_single (struct kq_sched *sched, struct pool *pool, struct stage *stage,
              struct kq_sched_now now)
{
  const struct task *unplaced = NULL;
  struct failed_search failed[CLASS_COUNT] = { { .any = false } };
  int from = 0;
  struct task *task;

  place_reserved (sched, pool, stage, now);
  place_large (sched, pool, stage, now);
  rack_choose_for_group (sched, stage, now);
  while (!is_search_exhausted (stage, failed)
         && place_leaves_reserve (pool, stage, now)
         && (task = next_ready (stage, &from, now)) != NULL)
    {
      enum search_result result;

      if (!may_find_more (task, failed, now))
        continue;
      result = place_task (sched, pool, task, now);
      if (result == SEARCH_NO_ROOM)
        unplaced = task;
      if (result == SEARCH_NO_ROOM || result == SEARCH_KEPT_OFF)
        add_failure (failed, task, now);
    }
  return unplaced;
}

/* Places one filler of a job where it causes the least interference, even
   if it exceeds the limit everywhere; it then runs throttled. */
static void
place_disturbing (struct kq_sched *sched, const struct pool *pool,
                  struct stage *stage, struct kq_sched_now now)
{
  int from = 0;
  struct task *task = next_ready (stage, &from, now);
  struct worker *worker;

  if (task == NULL || !is_starved (pool->used, pool->capacity, task, now))
    return;
  worker = choose_worker (sched, task, now, place_common_rack (stage), true);
  if (worker == NULL)
    return;
  task_bind (sched, task, worker, now);
  task->may_disturb = true;
  queue_start_order (sched, task, now);
}

/* Starts one task of a job that has nothing running, at a quarantined worker
   if no other has room for it, while the service has.  It need not wait for
   more urgent tasks, which want no such worker. */
static void
place_at_quarantined (struct kq_sched *sched, struct pool *pool,
                      struct stage *stage, struct kq_sched_now now)
{
  int64_t used = pool->used + pool->quarantined_used;
  int64_t capacity = pool->capacity + pool->quarantined_capacity;
  int from = 0;
  struct task *task = next_ready (stage, &from, now);
  struct worker *worker;

  if (task == NULL || pool->service != stage->job->service || stage->step->gang
      || stage->job->queue.advised || !is_starved (used, capacity, task, now))
    return;
  task->may_use_quarantined = true;
  worker = choose_worker (sched, task, now, place_common_rack (stage), false);
  if (worker != NULL)
    start_single (sched, pool, task, worker, now);
  else
    task->may_use_quarantined = false;
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
        && accepts_quarantined (&stage->tasks[i], now))
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
  return has_room (worker, stage)
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

/* Places the ready tasks of STAGE; returns a task that found no capacity,
   or NULL. */
static const struct task *
place_stage (struct kq_sched *sched, struct pass *pass, struct pool *pool,
             struct stage *stage, struct kq_sched_now now)
{
  const struct task *unplaced;
  int from = 0;

  if (place_cannot_fit (pass, pool, stage, now))
    return next_ready (stage, &from, now);
  if (stage->step->gang)
    {
      place_gang (sched, stage, now);
      return NULL;
    }
  unplaced = place_single (sched, pool, stage, now);
  /* If a task avoids a worker, its failure does not show that capacity is
     short. */
  if (unplaced != NULL && unplaced->avoided_worker == NULL)
    place_remember_unplaced (pool, stage);
  return unplaced;
}

bool
place_is_permitted (const struct kq_sched *sched, struct kq_sched_now now)
{
  return !sched->superseded && grant_is_current (sched, now)
         && worker_reports_are_current (sched, now)
         && evacuate_is_current (sched, now);
}

void
kq_sched_place (struct kq_sched *sched, struct kq_sched_now now)
{
  struct pass pass;
  struct stage *stage;
  struct stage *next;

  crash_end_jobs (sched, now);
  if ((!sched->placement_due && !warmup_is_placement_due (sched, now))
      || !place_is_permitted (sched, now))
    return;
  sched->placement_due = false;
  reserve_expire_holds (sched, now);
  preempt_begin_pass (sched);
  sched->cold_retry_at = 0;
  sched->placement_pass++;
  place_sum_pools (sched, &pass, now);
  DL_FOREACH_SAFE (sched->queue, stage, next)
  {
    struct pool *pool = place_pool (&pass, stage->job->service);
    const struct task *unplaced;

    large_check (stage, now);
    reserve_check (stage, now);
    if (place_is_blocked (pool, stage))
      {
        if (pool->quarantined_capacity > 0)
          place_at_quarantined (sched, pool, stage, now);
        continue;
      }
    unplaced = place_stage (sched, &pass, pool, stage, now);
    if (stage->job->queue.advised && stage->ready_count > 0)
      advice_set_wanted (stage);
    if (unplaced == NULL || stage->job->queue.advised)
      continue;
    if (sched->reserve_due)
      {
        reserve_for_stage (sched, stage, now);
        large_hold_room (sched, stage, now);
      }
    preempt_for_stage (sched, stage, unplaced, now);
    place_block_lower (pool, unplaced, now);
    if (pool->quarantined_capacity > 0)
      place_at_quarantined (sched, pool, stage, now);
    if (stage->step->filler)
      place_disturbing (sched, pool, stage, now);
  }
  sched->reserve_due = false;
}

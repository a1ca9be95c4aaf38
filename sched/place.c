/* Places ready tasks on workers, stage by stage in order of urgency. */
#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "log/log.h"
#include "sched/checkpoint.h"
#include "sched/crash.h"
#include "sched/evacuate.h"
#include "sched/late.h"
#include "sched/place.h"
#include "sched/warmup.h"

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
  worker = place_choose_worker (sched, task, now,
                                place_common_rack (task->stage), false);
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

static bool
awaits_earlier_run (struct kq_sched *sched, const struct task *task,
                    struct kq_sched_now now)
{
  late_ask (sched, task, now);
  return task_awaits_other_run (task, now) || late_forbids_start (task, now);
}

static struct task *
next_ready (struct kq_sched *sched, struct stage *stage, int *from,
            struct kq_sched_now now)
{
  for (; *from < stage->step->count; (*from)++)
    if (stage->tasks[*from].state == TASK_READY
        && !awaits_earlier_run (sched, &stage->tasks[*from], now))
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
  return place_choose_worker (sched, task, now,
                              place_common_rack (task->stage), false);
}

static void
log_gang (const struct stage *stage, int run)
{
  char id[24];
  char step[16];
  char number[16];
  char size[24];

  if (stage->tasks[0].checkpoint == NULL)
    return;
  snprintf (id, sizeof id, "%016" PRIx64, stage->job->id);
  snprintf (step, sizeof step, "%d", stage->number);
  snprintf (number, sizeof number, "%d", run);
  snprintf (size, sizeof size, "%zu", checkpoint_size (&stage->tasks[0]));
  kq_log (KQ_LOG_INFO, "sched", "gang resumes", 0, "job", id, "step", step,
          "run", number, "checkpoint", checkpoint_text (&stage->tasks[0]),
          "checkpoint_bytes", size, NULL);
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
    if (awaits_earlier_run (sched, &stage->tasks[i], now))
      return;
  while ((task = next_ready (sched, stage, &from, now)) != NULL)
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
  log_gang (stage, run + 1);
}

/* Starts TASK at WORKER, and takes what it needs from POOL. */
static void
start_single (struct kq_sched *sched, struct pool *pool, struct task *task,
              struct worker *worker, struct kq_sched_now now)
{
  const struct kq_sched_step *step = task->stage->step;

  pool->short_room -= place_taken_room (sched, worker, task);
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
      || !place_suits (sched, worker, task, now, false, &interference))
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
  SEARCH_WAITS,    /* for room in its rack, or at its late worker */
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
  if (waits || (worker == NULL && late_worker (task, now) != NULL))
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
  return place_accepts_quarantined (task, now) ? CLASS_TAKES_QUARANTINED
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
         && (task = next_ready (sched, stage, &from, now)) != NULL)
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
  struct task *task = next_ready (sched, stage, &from, now);
  struct worker *worker;

  if (task == NULL
      || !place_is_starved (pool->used, pool->capacity, task, now))
    return;
  worker = place_choose_worker (sched, task, now, place_common_rack (stage),
                                true);
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
  struct task *task = next_ready (sched, stage, &from, now);
  struct worker *worker;

  if (task == NULL || pool->service != stage->job->service || stage->step->gang
      || stage->job->queue.advised
      || !place_is_starved (used, capacity, task, now))
    return;
  task->may_use_quarantined = true;
  worker = place_choose_worker (sched, task, now, place_common_rack (stage),
                                false);
  if (worker != NULL)
    start_single (sched, pool, task, worker, now);
  else
    task->may_use_quarantined = false;
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
    return next_ready (sched, stage, &from, now);
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
        reserve_for_stage (sched, pool, stage, now);
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

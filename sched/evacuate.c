/* Evacuation of availability zones (evacuate_*).
 *
 * Load: a zone with a sixth of the workers is evacuated and taken back while
 * the other zones are busy.
 *
 * Nothing starts in a zone under evacuation, and what runs there for long is
 * moved out step by step, while other zones have room for it.  The operator's
 * topic in the store holds the requests; the set of zones is kept only here,
 * and a successor reads it anew.  A request that this owner has not read yet
 * may be as old as its last complete read, so that a start is accepted by its
 * worker for a shorter time the older that read is.
 */
#include "sched/evacuate.h"

#include <stdio.h>
#include <string.h>

#include "log/log.h"
#include "sched/disruption.h"
#include "sched/place.h"

/* Age of the last complete read of the operator's topic from which nothing is
   started, as for the registrations. */
#define MAX_READ_AGE_US KQ_SCHED_MAX_REGISTRATION_AGE_US

/* What a worker's clock may lose against ours while it may accept a start: 2
   percent of 3 s, and the rounding to milliseconds. */
#define CLOCK_MARGIN_MS 100

/* Longest time for which an order is under way in ordinary operation; the
   worker refuses one that takes longer than its lease. */
#define ORDER_TIME_MS 800

/* A task that ends within this time is left alone: a stop and a start
   elsewhere take up to half of it. */
#define MIN_REMAINING_MS 2000

/* Maximum numbers of searches for room of new moves in one tick of 100 ms, and
   of moves in progress, which are searched for again in each tick. A search
   takes 1 to 2 us with 490 workers, so that a tick stays below 0.5 ms. */
#define MAX_SEARCHES 64
#define MAX_IN_PROGRESS 256

static void
log_zone (const struct kq_sched *sched, const char *event, const char *zone)
{
  const struct worker *worker;
  int workers = 0;
  int tasks = 0;
  char worker_text[16];
  char task_text[16];

  DL_FOREACH (sched->worker_list, worker)
  {
    if (!worker->registered || strcmp (worker->report.zone, zone) != 0)
      continue;
    workers++;
    tasks += worker->task_count;
  }
  snprintf (worker_text, sizeof worker_text, "%d", workers);
  snprintf (task_text, sizeof task_text, "%d", tasks);
  kq_log (KQ_LOG_INFO, "sched", event, 0, "zone", zone, "workers", worker_text,
          "tasks", task_text, NULL);
}

/* Logs EVENT for each zone of ZONES that is not among OTHER.  Returns their
   number. */
static int
log_difference (const struct kq_sched *sched, const char *event,
                const struct kq_sched_zones *zones,
                const struct kq_sched_zones *other)
{
  int count = 0;

  for (int i = 0; i < zones->count; i++)
    if (kq_sched_zones_find (other, zones->names[i]) < 0)
      {
        count++;
        log_zone (sched, event, zones->names[i]);
      }
  return count;
}

void
evacuate_update_worker (const struct kq_sched *sched, struct worker *worker)
{
  worker->evacuated
      = worker->registered
        && kq_sched_zones_find (&sched->zones, worker->report.zone) >= 0;
}

void
evacuate_apply (struct kq_sched *sched, const struct kq_sched_zones *zones)
{
  struct worker *worker;
  int changes
      = log_difference (sched, "zone evacuated", zones, &sched->zones)
        + log_difference (sched, "zone taken back", &sched->zones, zones);

  if (changes == 0)
    return;
  sched->zones = *zones;
  sched->placement_due = true;
  DL_FOREACH (sched->worker_list, worker)
  {
    evacuate_update_worker (sched, worker);
  }
}

void
kq_sched_note_zones (struct kq_sched *sched, kq_usec mono)
{
  if (mono > sched->zones_at)
    sched->zones_at = mono;
}

/* Returns the time in ms that is left of evac_ms for a request that the store
   took just after the last complete read. */
static int64_t
time_left_ms (const struct kq_sched *sched, struct kq_sched_now now)
{
  return sched->settings.evac_ms
         - (now.mono - sched->zones_at) / KQ_USEC_PER_MSEC - CLOCK_MARGIN_MS;
}

bool
evacuate_is_current (const struct kq_sched *sched, struct kq_sched_now now)
{
  if (sched->settings.evac_ms == 0)
    return true;
  return sched->zones_at != 0 && now.mono - sched->zones_at <= MAX_READ_AGE_US
         && time_left_ms (sched, now) >= ORDER_TIME_MS;
}

int64_t
evacuate_start_lease_ms (const struct kq_sched *sched, struct kq_sched_now now)
{
  int64_t left = time_left_ms (sched, now);

  return sched->settings.evac_ms == 0 || left > KQ_SCHED_START_LEASE_MS
             ? KQ_SCHED_START_LEASE_MS
             : left;
}

/* State of the moves in one tick. */
struct move_pass
{
  struct kq_sched *sched;
  struct kq_sched_now now;
  int in_progress;
  int searches;
  struct pass sums; /* room of each service, less what moves take */
};

/* Takes what TASK would take at WORKER of the room for short tasks: it would
   be gone for as long as the moved task runs.  Returns false if they have
   needed that lately. */
static bool
take_spare_room (struct move_pass *pass, const struct worker *worker,
                 const struct task *task)
{
  const struct kq_sched_step *step = task->stage->step;
  struct pool *pool;
  int64_t taken;

  if (!step->long_running || step->filler)
    return true;
  pool = place_pool (&pass->sums, worker->service);
  taken = service_room (pass->sched, worker, worker->planned.cpu)
          - service_room (pass->sched, worker,
                          worker->planned.cpu + step->demand.cpu);
  if (pool->short_room - taken
      < service_kept_cpu (pass->sched, pool->service, pool->capacity))
    return false;
  pool->short_room -= taken;
  return true;
}

/* Whether WORKER has room for STEP beside the other planned moves. */
static bool
has_unplanned_room (const struct worker *worker,
                    const struct kq_sched_step *step)
{
  const struct kq_sched_demand *capacity = &worker->report.capacity;
  const struct kq_sched_demand *used = &worker->used;
  const struct kq_sched_demand *planned = &worker->planned;

  return used->mem + planned->mem + step->demand.mem <= capacity->mem
         && used->gpu + planned->gpu + step->demand.gpu <= capacity->gpu
         && (step->filler
             || used->cpu + planned->cpu + step->demand.cpu <= capacity->cpu);
}

/* Plans room for TASK at a worker outside the zones.  Returns false if none
   has any. */
static bool
plan_room (struct move_pass *pass, const struct task *task)
{
  const struct kq_sched *sched = pass->sched;
  struct stage *stage = task->stage;
  const struct kq_sched_step *step = stage->step;

  for (size_t i = 0; i < sched->worker_count; i++)
    {
      struct worker *worker = sched->worker_array[i];

      if (!place_fits (worker, stage, pass->now)
          || !reserve_allows (worker, task)
          || !has_unplanned_room (worker, step)
          || !take_spare_room (pass, worker, task))
        continue;
      worker->planned.cpu += step->filler ? 0 : step->demand.cpu;
      worker->planned.mem += step->demand.mem;
      worker->planned.gpu += step->demand.gpu;
      return true;
    }
  stage->no_move_room_at = pass->now.mono;
  return false;
}

/* Plans room for TASK, which was moved and has no worker yet. */
static void
plan_moved_task (struct move_pass *pass, const struct task *task)
{
  if (pass->in_progress++ < MAX_IN_PROGRESS)
    plan_room (pass, task);
}

static void
plan_moves_in_progress (struct move_pass *pass)
{
  const struct stage *stage;
  const struct worker *worker;
  const struct task *task;

  DL_FOREACH (pass->sched->queue, stage)
  {
    for (int i = 0; stage->moved && i < stage->step->count; i++)
      if (stage->tasks[i].moved && stage->tasks[i].state == TASK_READY)
        plan_moved_task (pass, &stage->tasks[i]);
  }
  DL_FOREACH (pass->sched->worker_list, worker)
  {
    if (!worker->evacuated)
      continue;
    DL_FOREACH (worker->tasks, task)
    {
      if (task->moved && task->stop_wanted)
        plan_moved_task (pass, task);
    }
  }
}

/* Whether TASK resumes from a checkpoint and would still run for long. */
static bool
may_resume_elsewhere (const struct task *task)
{
  const struct stage *stage = task->stage;
  int percent = task->percent > 0 ? task->percent : 0;

  return stage->step->checkpointable && !stage->step->long_running
         && stage->length_ms * (100 - percent) / 100 > MIN_REMAINING_MS;
}

static bool
may_be_restarted (const struct task *task)
{
  return task->stage->step->long_running && disruption_allows_move (task);
}

/* A stop of a member of a gang would end all members, also those elsewhere. */
static bool
may_move (const struct move_pass *pass, const struct task *task)
{
  const struct stage *stage = task->stage;

  return task->phase == PHASE_RUNNING && !task->stop_wanted
         && !stage->step->gang && stage->no_move_room_at != pass->now.mono;
}

/* Moves the tasks to which IS_KIND applies. */
static void
move_tasks (struct move_pass *pass, bool (*is_kind) (const struct task *task))
{
  struct worker *worker;
  struct task *task;
  struct task *next;

  DL_FOREACH (pass->sched->worker_list, worker)
  {
    if (!worker->evacuated)
      continue;
    DL_FOREACH_SAFE (worker->tasks, task, next)
    {
      if (pass->searches >= MAX_SEARCHES
          || pass->in_progress >= MAX_IN_PROGRESS)
        return;
      if (!may_move (pass, task) || !is_kind (task))
        continue;
      pass->searches++;
      if (!plan_room (pass, task))
        continue;
      pass->in_progress++;
      task->moved = true;
      task->stage->moved = true;
      pass->sched->counts.evacuation_moves++;
      task_log (task, "task moved", "zone under evacuation");
      task_stop (pass->sched, task, pass->now);
    }
  }
}

/* An owner that may start nothing stops nothing either. */
void
evacuate_tick (struct kq_sched *sched, struct kq_sched_now now)
{
  struct move_pass pass = { .sched = sched, .now = now };

  if (sched->zones.count == 0 || !place_is_permitted (sched, now))
    return;
  for (size_t i = 0; i < sched->worker_count; i++)
    sched->worker_array[i]->planned = (struct kq_sched_demand){ 0, 0, 0 };
  place_sum_pools (sched, &pass.sums, now);
  plan_moves_in_progress (&pass);
  move_tasks (&pass, may_resume_elsewhere);
  move_tasks (&pass, may_be_restarted);
}

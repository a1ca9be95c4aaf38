/* Preemption for urgent work (preempt_*).
 *
 * A short task that has found no room, and whose stage would be late if it
 * waited for tasks to end, gets the room of tasks of lower priority: those
 * whose stop loses the least work are stopped, and what they free is held for
 * the stage (reserve_hold).
 */
#include "sched/preempt.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "log/log.h"
#include "sched/internal.h"

/* Time without room after which an urgent task may preempt others: ends that
   are about to be reported come first. */
#define PREEMPT_AFTER_US (100 * KQ_USEC_PER_MSEC)

/* Time between two searches for the same stage: longer than a tick, so that a
   stage behind it has its turn. */
#define SEARCH_INTERVAL_US (200 * KQ_USEC_PER_MSEC)

/* Time between any two searches, each of which looks at all tasks of a
   service. */
#define SEARCH_GAP_US (10 * KQ_USEC_PER_MSEC)

/* Time that a start takes after the stop that makes room for it: the report of
   the end, the record of the start in the store, and the order. */
#define START_MS 100

/* Time for which freed room is held, beyond the longest stop. */
#define HOLD_MARGIN_MS 300

/* Minimum time between two stops of one task. */
#define SAME_TASK_US (KQ_PREEMPT_WINDOW_SECONDS * KQ_USEC_PER_SEC)

/* Maximum number of tasks of a worker that are considered, and of tasks that
   are stopped there at a time. */
#define MAX_CANDIDATES 64
#define MAX_STOPS 16

/* Maximum number of rooms that are made at a time: a stage with more tasks
   waiting is not narrow. */
#define MAX_ROOMS 16

/* The tasks to be stopped at a worker, and what that costs. */
struct plan
{
  struct worker *worker;
  struct task *stops[MAX_STOPS];
  int stop_count;
  int rooms;      /* tasks of the stage that fit then */
  int64_t lost;   /* work that has to be done again */
  int64_t unused; /* room that serves nobody while the tasks stop */
};

/* A search for room for the tasks of one stage. */
struct search
{
  const struct kq_sched *sched;
  const struct stage *stage;
  struct kq_sched_now now;
  int64_t slack_ms;      /* time until the stage's tasks must start */
  int waiting;           /* number of these that have no room held */
  int target_rooms;      /* that a plan should make at its worker */
  int64_t natural_rooms; /* that come free within the slack */
  int64_t capacity;      /* of the service's usable workers, CPU */
  bool found_candidate;
  struct plan plans[MAX_ROOMS]; /* the cheapest, in order of cost */
  int plan_count;
};

void
preempt_begin_pass (struct kq_sched *sched)
{
  const struct kq_sched_config *config = sched->config;

  for (int i = 0; i < sched->service_count; i++)
    {
      struct service *service = &sched->services[i];

      service->preempt.waiting_cpu = 0;
      service->preempt.lowest_priority = 0;
      for (size_t j = 0; config != NULL && j < config->queue_count; j++)
        if (config->queues[j].priority > service->preempt.lowest_priority
            && strcmp (config->queues[j].service, service->name) == 0)
          service->preempt.lowest_priority = config->queues[j].priority;
    }
}

void
preempt_note_stop (struct task *task, struct kq_sched_now now)
{
  task->preempted_run = task->run;
  task->preempted_at = now.mono;
}

/* Returns how long TASK is expected to run on, from the learned length of its
   step and the progress that its worker reported last. */
static int64_t
remaining_ms (const struct task *task, struct kq_sched_now now)
{
  int percent = task->percent > 0 ? task->percent : 0;
  int64_t left = task->stage->length_ms * (100 - percent) / 100
                 - (now.mono - task->progress_at) / KQ_USEC_PER_MSEC;

  return left > 0 ? left : 0;
}

static bool
ends_within (const struct task *task, int64_t ms, struct kq_sched_now now)
{
  return task->stop_wanted
         || (!task->stage->step->long_running
             && remaining_ms (task, now) <= ms);
}

/* Whether the worker runs TASK and TASK may be stopped for the stage. A member
   of a gang takes the others with it. */
static bool
is_candidate (const struct search *search, const struct task *task)
{
  const struct kq_sched_step *step = task->stage->step;

  if (task->phase != PHASE_RUNNING || step->long_running || step->gang
      || task->stage->job->queue.priority <= search->stage->job->queue.priority
      || ends_within (task, search->sched->settings.stop_ms, search->now))
    return false;
  if (task->preempted_run == 0)
    return true;
  return task->preempted_run != task->run - 1
         && search->now.mono - task->preempted_at >= SAME_TASK_US;
}

/* Returns the time in ms for which the current run of TASK has lasted, as far
   as its work is lost by a stop. A run that can be resumed loses none. */
static int64_t
lost_ms (const struct task *task, struct kq_sched_now now)
{
  int64_t lasted = now.wall_ms - task->placed_ms;

  return task->stage->step->checkpointable || lasted < 0 ? 0 : lasted;
}

/* The order in which tasks are stopped: fillers and tasks with a checkpoint,
   then those that began last. */
static bool
goes_before (const struct task *a, const struct task *b)
{
  const struct kq_sched_step *first = a->stage->step;
  const struct kq_sched_step *second = b->stage->step;
  bool first_is_cheap = first->filler || first->checkpointable;
  bool second_is_cheap = second->filler || second->checkpointable;

  if (first_is_cheap != second_is_cheap)
    return first_is_cheap;
  return a->placed_ms > b->placed_ms;
}

/* Fills CANDIDATES with the tasks at WORKER that may be stopped, in the order
   in which that is done; returns their number. */
static int
list_candidates (const struct search *search, const struct worker *worker,
                 struct task *candidates[MAX_CANDIDATES])
{
  struct task *task;
  int count = 0;

  DL_FOREACH (worker->tasks, task)
  {
    int i = count;

    if (count == MAX_CANDIDATES || !is_candidate (search, task))
      continue;
    for (; i > 0 && goes_before (task, candidates[i - 1]); i--)
      candidates[i] = candidates[i - 1];
    candidates[i] = task;
    count++;
  }
  return count;
}

static int64_t
rooms_in (const struct kq_sched_demand *free,
          const struct kq_sched_demand *demand, int64_t most)
{
  if (demand->cpu > 0 && free->cpu / demand->cpu < most)
    most = free->cpu / demand->cpu;
  if (demand->mem > 0 && free->mem / demand->mem < most)
    most = free->mem / demand->mem;
  if (demand->gpu > 0 && free->gpu / demand->gpu < most)
    most = free->gpu / demand->gpu;
  return most > 0 ? most : 0;
}

/* Returns what is free and not held at WORKER once the tasks that end within
   MS have ended. */
static struct kq_sched_demand
free_within (const struct worker *worker, int64_t ms, struct kq_sched_now now)
{
  const struct kq_sched_demand *capacity = &worker->report.capacity;
  struct kq_sched_demand free
      = { .cpu = capacity->cpu - worker->used.cpu - worker->held.cpu,
          .mem = capacity->mem - worker->used.mem - worker->held.mem,
          .gpu = capacity->gpu - worker->used.gpu - worker->held.gpu };
  const struct task *task;

  DL_FOREACH (worker->tasks, task)
  {
    if (ends_within (task, ms, now))
      reserve_add_freed (&free, task->stage->step, 1);
  }
  return free;
}

/* Whether the end of a task of STEP brings more room for DEMAND. */
static bool
helps (const struct kq_sched_step *step, const struct kq_sched_demand *free,
       const struct kq_sched_demand *demand)
{
  return (free->cpu < demand->cpu && !step->filler && step->demand.cpu > 0)
         || (free->mem < demand->mem && step->demand.mem > 0)
         || (free->gpu < demand->gpu && step->demand.gpu > 0);
}

/* Leaves out of PLAN the tasks whose room is not needed for WANTED rooms:
   small ones that come before a large one which is enough by itself. */
static void
drop_unneeded_stops (struct plan *plan, struct kq_sched_demand *free,
                     const struct kq_sched_demand *demand, int64_t wanted)
{
  int64_t rooms = rooms_in (free, demand, wanted);

  for (int i = plan->stop_count - 1; i >= 0; i--)
    {
      struct kq_sched_demand rest = *free;

      reserve_add_freed (&rest, plan->stops[i]->stage->step, -1);
      if (rooms_in (&rest, demand, wanted) < rooms)
        continue;
      *free = rest;
      plan->stop_count--;
      for (int j = i; j < plan->stop_count; j++)
        plan->stops[j] = plan->stops[j + 1];
    }
}

/* Fills PLAN for WORKER, where NATURAL rooms come free without it; returns
   whether it makes room. */
static bool
make_plan (struct search *search, struct worker *worker, int64_t natural,
           struct plan *plan)
{
  const struct kq_sched_demand *demand = &search->stage->step->demand;
  int64_t target = search->target_rooms;
  const struct kq_sched_demand wanted
      = { demand->cpu * target, demand->mem * target, demand->gpu * target };
  int64_t stop_ms = search->sched->settings.stop_ms;
  struct kq_sched_demand free;
  struct task *candidates[MAX_CANDIDATES];
  int count = list_candidates (search, worker, candidates);

  if (count == 0)
    return false;
  search->found_candidate = true;
  *plan = (struct plan){ .worker = worker };
  free = free_within (worker, stop_ms, search->now);
  free.cpu -= natural * demand->cpu;
  free.mem -= natural * demand->mem;
  free.gpu -= natural * demand->gpu;
  for (int i = 0; i < count && plan->stop_count < MAX_STOPS; i++)
    if (helps (candidates[i]->stage->step, &free, &wanted))
      {
        reserve_add_freed (&free, candidates[i]->stage->step, 1);
        plan->stops[plan->stop_count++] = candidates[i];
      }
  drop_unneeded_stops (plan, &free, demand, target);
  for (int i = 0; i < plan->stop_count; i++)
    {
      int64_t cpu = plan->stops[i]->stage->step->demand.cpu;

      plan->lost += lost_ms (plan->stops[i], search->now) * cpu;
      plan->unused += stop_ms * cpu;
    }
  plan->rooms = (int)rooms_in (&free, demand, search->waiting);
  if (search->stage->step->max_per_worker > 0 && plan->rooms > 1)
    plan->rooms = 1;
  return plan->rooms > 0 && plan->stop_count > 0;
}

/* Compares the costs of A and B for each room that they make. */
static bool
is_cheaper (const struct plan *a, const struct plan *b)
{
  int64_t lost = a->lost * b->rooms - b->lost * a->rooms;

  return lost != 0 ? lost < 0 : a->unused * b->rooms < b->unused * a->rooms;
}

static void
keep_plan (struct search *search, const struct plan *plan)
{
  int i = search->plan_count;

  if (i == MAX_ROOMS && !is_cheaper (plan, &search->plans[i - 1]))
    return;
  if (i < MAX_ROOMS)
    search->plan_count++;
  else
    i--;
  for (; i > 0 && is_cheaper (plan, &search->plans[i - 1]); i--)
    search->plans[i] = search->plans[i - 1];
  search->plans[i] = *plan;
}

/* Looks at the workers of the service for rooms that come free in time and for
   tasks that may be stopped. */
static void
search_workers (struct search *search, int target_rooms)
{
  const struct stage *stage = search->stage;

  search->target_rooms = target_rooms;
  search->plan_count = 0;
  search->natural_rooms = 0;
  search->capacity = 0;
  for (size_t i = 0; i < search->sched->worker_count; i++)
    {
      struct worker *worker = search->sched->worker_array[i];
      struct kq_sched_demand free;
      struct plan plan;
      int64_t natural;

      if (worker->service != stage->job->service
          || !worker_usable (worker, search->now))
        continue;
      search->capacity += worker->report.capacity.cpu;
      if (worker->reserved_count > 0
          || !place_meets_constraints (worker, stage))
        continue;
      free = free_within (worker, search->slack_ms, search->now);
      natural = rooms_in (&free, &stage->step->demand, INT32_MAX);
      search->natural_rooms += natural;
      if (make_plan (search, worker, natural, &plan))
        keep_plan (search, &plan);
    }
}

/* Returns how many rooms have to be made: those that the waiting tasks need
   beyond the rooms that come free in time and that no task ahead takes. */
static int
missing_rooms (const struct search *search, int64_t waiting_cpu)
{
  int64_t cpu = search->stage->step->demand.cpu;
  int64_t taken = cpu > 0 ? (waiting_cpu + cpu - 1) / cpu : 0;
  int64_t left = search->natural_rooms - taken;

  if (left < 0)
    left = 0;
  return left < search->waiting ? (int)(search->waiting - left) : 0;
}

/* Returns how many of the cheapest plans make MISSING rooms; 0 if all of them
   do not. */
static int
count_plans (const struct search *search, int missing)
{
  for (int i = 0; i < search->plan_count; i++)
    {
      missing -= search->plans[i].rooms;
      if (missing <= 0)
        return i + 1;
    }
  return 0;
}

static void
stop_tasks (struct kq_sched *sched, const struct stage *stage,
            const struct plan *plan, struct kq_sched_now now)
{
  char why[80];

  snprintf (why, sizeof why, "urgent work of job %016" PRIx64 " needs room",
            stage->job->id);
  for (int i = 0; i < plan->stop_count; i++)
    {
      sched->counts.urgent_preemptions++;
      task_log (plan->stops[i], "task preempted", why);
      preempt_note_stop (plan->stops[i], now);
      task_stop (sched, plan->stops[i], now);
    }
}

/* Carries out the first COUNT plans if the budget of SERVICE allows it, and
   holds MISSING rooms for the stage. */
static void
carry_out (struct kq_sched *sched, struct stage *stage,
           const struct search *search, int count, int missing)
{
  struct kq_preempt *preempt = &sched->services[stage->job->service].preempt;
  kq_usec now = search->now.mono;
  kq_usec until
      = now + (sched->settings.stop_ms + HOLD_MARGIN_MS) * KQ_USEC_PER_MSEC;
  int64_t work = 0;

  for (int i = 0; i < count; i++)
    work += search->plans[i].lost + search->plans[i].unused;
  if (!kq_preempt_allows (preempt, work, search->capacity, now))
    {
      sched->counts.preemptions_refused++;
      return;
    }
  kq_preempt_spend (preempt, work, now);
  sched->counts.preempted_work += work;
  for (int i = 0; i < count; i++)
    {
      const struct plan *plan = &search->plans[i];

      stop_tasks (sched, stage, plan, search->now);
      for (int j = 0; j < plan->rooms && missing > 0; j++, missing--)
        reserve_hold (sched, stage, plan->worker, until);
    }
}

/* Whether a search for a stage of at least this urgency has lately found no
   task that may be stopped. */
static bool
is_exhausted (const struct kq_preempt *preempt, const struct stage *stage,
              struct kq_sched_now now)
{
  return preempt->exhausted_at != 0
         && stage->job->queue.priority >= preempt->exhausted_priority
         && now.mono - preempt->exhausted_at < SEARCH_INTERVAL_US;
}

/* Whether the tasks of STAGE, of which UNPLACED found no room, may preempt
   others now. */
static bool
may_preempt (const struct kq_sched *sched, const struct stage *stage,
             const struct task *unplaced, struct kq_sched_now now)
{
  const struct kq_sched_step *step = stage->step;
  const struct kq_preempt *preempt
      = &sched->services[stage->job->service].preempt;

  return stage->job->queue.priority < preempt->lowest_priority
         && !step->long_running && !step->filler && !step->gang
         && unplaced->avoided_worker == NULL
         && now.mono - unplaced->ready_at >= PREEMPT_AFTER_US
         && now.mono - stage->preempt_searched_at >= SEARCH_INTERVAL_US
         && !kq_preempt_must_wait (preempt, now.mono)
         && !is_exhausted (preempt, stage, now);
}

static void
preempt_for (struct kq_sched *sched, struct stage *stage,
             struct kq_sched_now now)
{
  struct kq_preempt *preempt = &sched->services[stage->job->service].preempt;
  struct search search
      = { .sched = sched,
          .stage = stage,
          .now = now,
          .slack_ms = stage->due_ms - now.wall_ms - stage->critical_path_ms,
          .waiting = stage->ready_count - stage->hold_count };
  int missing;
  int count;

  if (search.slack_ms < sched->settings.stop_ms + START_MS
      || search.waiting <= 0 || search.waiting > MAX_ROOMS
      || !reserve_can_hold (sched, search.waiting))
    return;
  if (now.mono - sched->preempt_searched_at < SEARCH_GAP_US)
    {
      sched->placement_due = true;
      return;
    }
  sched->preempt_searched_at = now.mono;
  stage->preempt_searched_at = now.mono;
  search_workers (&search, 1);
  if (!search.found_candidate && stage->step->label[0] == '\0')
    {
      preempt->exhausted_at = now.mono;
      preempt->exhausted_priority = stage->job->queue.priority;
    }
  missing = missing_rooms (&search, preempt->waiting_cpu);
  if (missing == 0 || !search.found_candidate)
    return;
  count = count_plans (&search, missing);
  if (count == 0 && missing > 1)
    {
      search_workers (&search, missing);
      count = count_plans (&search, missing);
    }
  if (count > 0)
    carry_out (sched, stage, &search, count, missing);
}

void
preempt_for_stage (struct kq_sched *sched, struct stage *stage,
                   const struct task *unplaced, struct kq_sched_now now)
{
  const struct kq_sched_step *step = stage->step;

  if (stage->job->service < 0)
    return;
  if (may_preempt (sched, stage, unplaced, now))
    preempt_for (sched, stage, now);
  if (!step->filler && !step->long_running)
    sched->services[stage->job->service].preempt.waiting_cpu
        += (stage->ready_count - stage->hold_count) * step->demand.cpu;
}

/* Looks for tasks whose stop makes room for urgent work (preempt_search). */
#include "sched/preempt-search.h"

/* Minimum time between two stops of one task. */
#define SAME_TASK_TENTHS (KQ_PREEMPT_WINDOW_SECONDS * INT64_C (10))

/* Maximum number of tasks of a worker that are considered. */
#define MAX_CANDIDATES 64

/* Maximum number of workers whose tasks are looked at. Of 3,000 workers, whose
   tasks no cache holds, all took 1.8 us a worker; an iteration has 1 us. */
#define MAX_SEARCHED 512

/* What is free and not held at a worker, and whom a stop may hit there. */
struct census
{
  struct kq_sched_demand in_time;          /* free by the end of the slack */
  struct kq_sched_demand after_stop;       /* free within the time of a stop */
  struct task *candidates[MAX_CANDIDATES]; /* in the order of stops */
  int count;
};

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

/* Whether the worker runs TASK, which ends in LEFT_MS, and TASK may be stopped
   for the stage. A member of a gang takes the others with it. */
static bool
is_candidate (const struct search *search, const struct task *task,
              int64_t left_ms)
{
  const struct kq_sched_step *step = task->stage->step;

  if (task->phase != PHASE_RUNNING || step->long_running || step->gang
      || task->stage->job->queue.priority <= search->stage->job->queue.priority
      || left_ms <= search->sched->settings.stop_ms)
    return false;
  if (task->preempted_run == 0)
    return true;
  return task->preempted_run != task->run - 1
         && search->now.mono / KQ_PREEMPT_TENTH_US - task->preempted_tenth
                > SAME_TASK_TENTHS;
}

/* Returns the time in ms for which the current run of TASK has lasted, as far
   as its work is lost by a stop. A run that can be resumed loses none. */
static int64_t
lost_ms (const struct task *task, struct kq_sched_now now)
{
  int64_t lasted = (now.mono - task->placed_at) / KQ_USEC_PER_MSEC;

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
  return a->placed_at > b->placed_at;
}

static void
add_candidate (struct census *census, struct task *task)
{
  int i = census->count;

  if (i == MAX_CANDIDATES)
    return;
  for (; i > 0 && goes_before (task, census->candidates[i - 1]); i--)
    census->candidates[i] = census->candidates[i - 1];
  census->candidates[i] = task;
  census->count++;
}

/* Fills CENSUS for WORKER in one walk over its tasks, which is what a search
   costs. */
static void
take_census (const struct search *search, const struct worker *worker,
             struct census *census)
{
  const struct kq_sched_demand *capacity = &worker->report.capacity;
  struct task *task;

  census->count = 0;
  census->after_stop = (struct kq_sched_demand){
    .cpu = capacity->cpu - worker->used.cpu - worker->held.cpu,
    .mem = capacity->mem - worker->used.mem - worker->held.mem,
    .gpu = capacity->gpu - worker->used.gpu - worker->held.gpu
  };
  census->in_time = census->after_stop;
  DL_FOREACH (worker->tasks, task)
  {
    const struct kq_sched_step *step = task->stage->step;
    int64_t left = task->stop_wanted ? 0 : INT64_MAX;

    if (!task->stop_wanted && !step->long_running)
      left = remaining_ms (task, search->now);
    if (left <= search->slack_ms)
      reserve_add_freed (&census->in_time, step, 1);
    if (left <= search->sched->settings.stop_ms)
      reserve_add_freed (&census->after_stop, step, 1);
    else if (is_candidate (search, task, left))
      add_candidate (census, task);
  }
}

/* Leaves out of PLAN the tasks whose room is not needed for WANTED rooms:
   small ones that come before a large one which is enough by itself. */
static void
drop_unneeded_stops (struct plan *plan, struct kq_sched_demand *free,
                     const struct kq_sched_demand *demand, int64_t wanted)
{
  int64_t rooms = demand_slots (free, demand, wanted);

  for (int i = plan->stop_count - 1; i >= 0; i--)
    {
      struct kq_sched_demand rest = *free;

      reserve_add_freed (&rest, plan->stops[i]->stage->step, -1);
      if (demand_slots (&rest, demand, wanted) < rooms)
        continue;
      *free = rest;
      plan->stop_count--;
      for (int j = i; j < plan->stop_count; j++)
        plan->stops[j] = plan->stops[j + 1];
    }
}

/* Fills PLAN with what makes up to TARGET rooms at WORKER beside the NATURAL
   ones that come free without it; returns whether it makes any. */
static bool
make_plan (const struct search *search, struct worker *worker,
           const struct census *census, int64_t natural, int target,
           struct plan *plan)
{
  const struct kq_sched_demand *demand = &search->stage->step->demand;
  const struct kq_sched_demand wanted
      = { demand->cpu * target, demand->mem * target, demand->gpu * target };
  struct kq_sched_demand free
      = { .cpu = census->after_stop.cpu - natural * demand->cpu,
          .mem = census->after_stop.mem - natural * demand->mem,
          .gpu = census->after_stop.gpu - natural * demand->gpu };

  *plan = (struct plan){ .worker = worker };
  for (int i = 0; i < census->count && plan->stop_count < MAX_STOPS; i++)
    if (reserve_helps (census->candidates[i]->stage->step, &free, &wanted))
      {
        reserve_add_freed (&free, census->candidates[i]->stage->step, 1);
        plan->stops[plan->stop_count++] = census->candidates[i];
      }
  drop_unneeded_stops (plan, &free, demand, target);
  for (int i = 0; i < plan->stop_count; i++)
    {
      int64_t cpu = plan->stops[i]->stage->step->demand.cpu;

      plan->lost += lost_ms (plan->stops[i], search->now) * cpu;
      plan->unused += search->sched->settings.stop_ms * cpu;
    }
  plan->rooms = (int)demand_slots (&free, demand, search->waiting);
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
keep_plan (struct plans *plans, const struct plan *plan)
{
  int i = plans->count;

  if (i == MAX_ROOMS && !is_cheaper (plan, &plans->best[i - 1]))
    return;
  if (i < MAX_ROOMS)
    plans->count++;
  else
    i--;
  for (; i > 0 && is_cheaper (plan, &plans->best[i - 1]); i--)
    plans->best[i] = plans->best[i - 1];
  plans->best[i] = *plan;
}

/* Looks at WORKER for rooms that come free in time and for tasks that may be
   stopped. */
static void
search_worker (struct search *search, struct worker *worker)
{
  struct census census;
  struct plan plan;
  int64_t natural;

  take_census (search, worker, &census);
  natural = demand_slots (&census.in_time, &search->stage->step->demand,
                          INT32_MAX);
  search->natural_rooms += natural;
  if (census.count == 0)
    return;
  search->found_candidate = true;
  if (make_plan (search, worker, &census, natural, 1, &plan))
    keep_plan (&search->spread, &plan);
  if (search->waiting > 1
      && make_plan (search, worker, &census, natural, search->waiting, &plan))
    keep_plan (&search->packed, &plan);
}

/* Whether WORKER may have room for a task of the stage once all but
   long-running tasks have ended. */
static bool
may_have_room (const struct worker *worker, const struct stage *stage)
{
  return worker->reserved_count == 0
         && worker->report.capacity.cpu - worker->long_running_cpu
                    - worker->held.cpu
                >= stage->step->demand.cpu
         && place_meets_constraints (worker, stage);
}

size_t
preempt_search (struct search *search, size_t first)
{
  const struct stage *stage = search->stage;
  size_t count = search->sched->worker_count;
  size_t next = first;
  int64_t eligible = 0;
  int64_t searched = 0;

  for (size_t i = 0; i < count; i++)
    {
      size_t index = (first + i) % count;
      struct worker *worker = search->sched->worker_array[index];

      if (worker->service != stage->job->service
          || !worker_usable (worker, search->now))
        continue;
      search->capacity += worker->report.capacity.cpu;
      if (!may_have_room (worker, stage))
        continue;
      eligible++;
      if (searched == MAX_SEARCHED || search->natural_rooms >= search->needed)
        continue;
      searched++;
      search_worker (search, worker);
      next = index + 1;
    }
  /* The others are expected to have as many rooms. */
  if (searched > 0 && search->natural_rooms < search->needed)
    search->natural_rooms = search->natural_rooms * eligible / searched;
  return next;
}

int
preempt_count_plans (const struct plans *plans, int missing)
{
  for (int i = 0; i < plans->count; i++)
    {
      missing -= plans->best[i].rooms;
      if (missing <= 0)
        return i + 1;
    }
  return 0;
}

/* Room for long-running tasks in a full service (reserve_*).
 *
 * A long-running task that goes on after a loss and finds no capacity reserves
 * a worker: no other task is placed there, so that the capacity of the tasks
 * that end there comes together.  Tasks that will not end soon are stopped.
 *
 * Room that preemption frees for urgent work (preempt.c) is held for a stage:
 * of such a worker other tasks may use the rest.
 */
#include <assert.h>

#include "sched/internal.h"
#include "sched/late.h"
#include "sched/place.h"

/* Time without capacity after which a long-running task that has run before
   reserves a worker. */
#define RESERVE_AFTER_US (200 * KQ_USEC_PER_MSEC)

/* Tasks at a reserved worker that end within this time are waited for, but no
   longer: declared lengths may be far off. A long-running task may be down for
   3 s; the time until its loss is noticed, the stop and the start take part of
   it. */
#define WAIT_FOR_END_MS 1000

/* Maximum number of tasks stopped for one task. */
#define MAX_STOPS 32

/* The tasks to be stopped at a worker to make room there, and the work in ms
   times thousandths of a core that is lost. */
struct room_plan
{
  struct task *stops[MAX_STOPS];
  int stop_count;
  int64_t cost;
};

static void
change_reserved (struct worker *worker, const struct kq_sched_step *step,
                 int sign)
{
  worker->reserved_count += sign;
  worker->reserved.cpu += sign * step->demand.cpu;
  worker->reserved.mem += sign * step->demand.mem;
  worker->reserved.gpu += sign * step->demand.gpu;
}

void
reserve_clear (struct task *task)
{
  if (task->reserved_worker == NULL)
    return;
  change_reserved (task->reserved_worker, task->stage->step, -1);
  LL_DELETE2 (task->reserved_worker->reservations, task, reserved_next);
  task->reserved_worker = NULL;
  task->stage->reserved_count--;
}

static void
change_held (struct worker *worker, const struct kq_sched_step *step, int sign)
{
  worker->held.cpu += sign * step->demand.cpu;
  worker->held.mem += sign * step->demand.mem;
  worker->held.gpu += sign * step->demand.gpu;
}

bool
reserve_can_hold (const struct kq_sched *sched, int count)
{
  return sched->hold_count + count <= MAX_HOLDS;
}

void
reserve_hold (struct kq_sched *sched, struct stage *stage,
              struct worker *worker, kq_usec until)
{
  for (int i = 0; i < MAX_HOLDS; i++)
    {
      struct hold *hold = &sched->holds[i];

      if (hold->stage != NULL)
        continue;
      hold->stage = stage;
      hold->worker = worker;
      hold->until = until;
      LL_PREPEND (worker->holds, hold);
      change_held (worker, stage->step, 1);
      stage->hold_count++;
      sched->hold_count++;
      return;
    }
}

static void
release_hold (struct kq_sched *sched, struct hold *hold)
{
  LL_DELETE (hold->worker->holds, hold);
  change_held (hold->worker, hold->stage->step, -1);
  hold->stage->hold_count--;
  hold->stage = NULL;
  sched->hold_count--;
}

/* Releases one room that is held for STAGE: at WORKER, or anywhere if that is
   NULL. Returns whether there was one. */
static bool
release_one_hold (struct kq_sched *sched, const struct stage *stage,
                  const struct worker *worker)
{
  for (int i = 0; stage->hold_count > 0 && i < MAX_HOLDS; i++)
    {
      struct hold *hold = &sched->holds[i];

      if (hold->stage != stage || (worker != NULL && hold->worker != worker))
        continue;
      release_hold (sched, hold);
      return true;
    }
  return false;
}

/* Records that room which was freed for STAGE is not used. */
static void
note_useless (struct kq_sched *sched, const struct stage *stage,
              struct kq_sched_now now, const char *why)
{
  job_log (stage->job, "preemption was of no use", why);
  if (stage->job->service >= 0)
    kq_preempt_note_useless (&sched->services[stage->job->service].preempt,
                             now.mono);
}

void
reserve_expire_holds (struct kq_sched *sched, struct kq_sched_now now)
{
  for (int i = 0; sched->hold_count > 0 && i < MAX_HOLDS; i++)
    {
      struct hold *hold = &sched->holds[i];

      if (hold->stage == NULL || now.mono < hold->until)
        continue;
      note_useless (sched, hold->stage, now, "its room came free too late");
      release_hold (sched, hold);
    }
}

void
reserve_note_bind (struct kq_sched *sched, const struct task *task,
                   const struct worker *worker, struct kq_sched_now now)
{
  const struct stage *stage = task->stage;

  if (stage->hold_count == 0 || release_one_hold (sched, stage, worker)
      || stage->hold_count < stage->ready_count)
    return;
  release_one_hold (sched, stage, NULL);
  note_useless (sched, stage, now, "its task was placed elsewhere");
}

void
reserve_trim_holds (struct kq_sched *sched, const struct stage *stage)
{
  while (stage->hold_count > stage->ready_count
         && release_one_hold (sched, stage, NULL))
    ;
}

void
reserve_assert (const struct kq_sched *sched)
{
  const struct worker *worker;
  int count = 0;

  DL_FOREACH (sched->worker_list, worker)
  {
    struct kq_sched_demand held = { 0, 0, 0 };
    const struct hold *hold;

    LL_FOREACH (worker->holds, hold)
    {
      held.cpu += hold->stage->step->demand.cpu;
      held.mem += hold->stage->step->demand.mem;
      held.gpu += hold->stage->step->demand.gpu;
      count++;
    }
    assert (held.cpu == worker->held.cpu && held.mem == worker->held.mem
            && held.gpu == worker->held.gpu);
  }
  assert (count == sched->hold_count);
}

/* Whether a task of STEP leaves free at WORKER what is held there. Fillers
   take only CPU that is left over. */
static bool
leaves_held_room (const struct worker *worker,
                  const struct kq_sched_step *step)
{
  const struct kq_sched_demand *capacity = &worker->report.capacity;
  const struct kq_sched_demand *used = &worker->used;
  const struct kq_sched_demand *held = &worker->held;
  const struct kq_sched_demand *demand = &step->demand;

  return (step->filler || demand->cpu == 0
          || used->cpu + held->cpu + demand->cpu <= capacity->cpu)
         && (demand->mem == 0
             || used->mem + held->mem + demand->mem <= capacity->mem)
         && (demand->gpu == 0
             || used->gpu + held->gpu + demand->gpu <= capacity->gpu);
}

bool
reserve_allows (const struct worker *worker, const struct task *task)
{
  const struct hold *hold;

  LL_FOREACH (worker->holds, hold)
  {
    if (hold->stage == task->stage)
      return true;
  }
  if (worker->holds != NULL && !leaves_held_room (worker, task->stage->step))
    return false;
  return worker->reserved_count == 0 || task->reserved_worker == worker;
}

static int64_t
remaining_ms (const struct task *task)
{
  int64_t est = task->stage->step->est_ms;

  return task->percent > 0 ? est * (100 - task->percent) / 100 : est;
}

/* A member of a gang takes the others with it. */
static bool
may_stop (const struct task *task)
{
  const struct kq_sched_step *step = task->stage->step;

  return !step->long_running && !step->gang;
}

/* Whether TASK is expected to end by itself in the time for which a
   reservation waits. */
static bool
ends_soon (const struct task *task)
{
  return !task->stage->step->long_running
         && remaining_ms (task) <= WAIT_FOR_END_MS;
}

void
reserve_add_freed (struct kq_sched_demand *free,
                   const struct kq_sched_step *step, int sign)
{
  free->cpu += step->filler ? 0 : sign * step->demand.cpu;
  free->mem += sign * step->demand.mem;
  free->gpu += sign * step->demand.gpu;
}

bool
reserve_helps (const struct kq_sched_step *step,
               const struct kq_sched_demand *free,
               const struct kq_sched_demand *demand)
{
  return (free->cpu < demand->cpu && !step->filler && step->demand.cpu > 0)
         || (free->mem < demand->mem && step->demand.mem > 0)
         || (free->gpu < demand->gpu && step->demand.gpu > 0);
}

/* Room of a worker while a plan is made. */
struct room_ahead
{
  struct kq_sched_demand now;   /* free, or being stopped */
  struct kq_sched_demand later; /* that, and what ends soon */
};

static struct room_ahead
room_ahead (const struct worker *worker)
{
  struct kq_sched_demand free = worker->report.capacity;
  struct room_ahead room;
  const struct task *task;

  demand_add (&free, &worker->used, -1);
  demand_add (&free, &worker->held, -1);
  room = (struct room_ahead){ .now = free, .later = free };
  DL_FOREACH (worker->tasks, task)
  {
    const struct kq_sched_step *step = task->stage->step;

    if (task->stop_wanted)
      reserve_add_freed (&room.now, step, 1);
    if (task->stop_wanted || ends_soon (task))
      reserve_add_freed (&room.later, step, 1);
  }
  return room;
}

/* Fills PLAN with the tasks at WORKER that have to be stopped for URGENT,
   which waits for none to end by itself, and beside it for PATIENT, which
   does. Returns whether there is room for both then. */
static bool
plan_room (const struct worker *worker, const struct kq_sched_demand *urgent,
           const struct kq_sched_demand *patient, struct room_plan *plan)
{
  struct room_ahead room = room_ahead (worker);
  struct kq_sched_demand both = *urgent;
  struct task *task;

  demand_add (&both, patient, 1);
  plan->stop_count = 0;
  plan->cost = 0;
  DL_FOREACH (worker->tasks, task)
  {
    const struct kq_sched_step *step = task->stage->step;
    bool soon = ends_soon (task);

    if (plan->stop_count == MAX_STOPS)
      break;
    if (task->stop_wanted || !may_stop (task)
        || !(reserve_helps (step, &room.now, urgent)
             || (!soon && reserve_helps (step, &room.later, &both))))
      continue;
    reserve_add_freed (&room.now, step, 1);
    if (!soon)
      reserve_add_freed (&room.later, step, 1);
    plan->stops[plan->stop_count++] = task;
    plan->cost += step->demand.cpu;
    if (!step->checkpointable)
      plan->cost += (step->est_ms - remaining_ms (task)) * step->demand.cpu;
  }
  return demand_covers (&room.now, urgent)
         && demand_covers (&room.later, &both);
}

/* The same for TASK, which has or may get a reservation at WORKER, beside the
   other reservations there. */
static bool
plan_room_for (const struct worker *worker, const struct task *task,
               bool is_patient, struct room_plan *plan)
{
  static const struct kq_sched_demand nothing = { 0, 0, 0 };
  const struct kq_sched_demand *demand = &task->stage->step->demand;
  struct kq_sched_demand others = worker->reserved;

  if (task->reserved_worker == worker)
    demand_add (&others, demand, -1);
  if (!is_patient)
    return plan_room (worker, demand, &others, plan);
  demand_add (&others, demand, 1);
  return plan_room (worker, &nothing, &others, plan);
}

/* Returns the number of other tasks of the stage of TASK that have reserved
   WORKER. */
static int
count_reserved (const struct worker *worker, const struct task *task)
{
  const struct task *other;
  int count = 0;

  LL_FOREACH2 (worker->reservations, other, reserved_next)
  {
    count += other->stage == task->stage && other != task;
  }
  return count;
}

/* Whether WORKER may run TASK once it has room. */
static bool
may_reserve (const struct worker *worker, const struct task *task,
             struct kq_sched_now now)
{
  const struct stage *stage = task->stage;
  int max = stage->step->max_per_worker;

  if (!worker_usable (worker, now) || worker->unheard
      || !place_meets_constraints (worker, stage))
    return false;
  return max == 0
         || place_count_tasks (worker, stage) + count_reserved (worker, task)
                < max;
}

static void
stop_planned (struct kq_sched *sched, const struct room_plan *plan,
              struct kq_sched_now now)
{
  for (int i = 0; i < plan->stop_count; i++)
    {
      sched->counts.preemptions++;
      task_log (plan->stops[i], "task preempted",
                "a long-running task needs its room");
      preempt_note_stop (plan->stops[i], now);
      task_stop (sched, plan->stops[i], now);
    }
}

/* Computes for each worker what it would have room for if all tasks ended that
   may be stopped or end by themselves: a plan need not be made at workers
   where even that is too little, which are most of them in an overload. */
static void
bound_room (struct kq_sched *sched)
{
  struct worker *worker;
  const struct task *task;

  DL_FOREACH (sched->worker_list, worker)
  {
    struct kq_sched_demand *most = &worker->most_room;

    *most = worker->report.capacity;
    demand_add (most, &worker->used, -1);
    demand_add (most, &worker->held, -1);
    DL_FOREACH (worker->tasks, task)
    {
      if (task->stop_wanted || !task->stage->step->long_running)
        reserve_add_freed (most, task->stage->step, 1);
    }
  }
  sched->room_bounded_pass = sched->placement_pass;
}

/* Whether a plan for DEMAND at WORKER, beside the reservations there, may
   succeed. */
static bool
may_have_room (const struct worker *worker,
               const struct kq_sched_demand *demand)
{
  struct kq_sched_demand most = worker->most_room;

  demand_add (&most, &worker->reserved, -1);
  return demand_covers (&most, demand);
}

/* Returns the worker with the cheapest plan to make room for TASK, or NULL;
   with IS_PATIENT, tasks that end soon are waited for. */
static struct worker *
choose_reserved (struct kq_sched *sched, const struct task *task,
                 bool is_patient, struct room_plan *best_plan,
                 struct kq_sched_now now)
{
  struct worker *best = NULL;
  struct worker *worker;

  DL_FOREACH (sched->worker_list, worker)
  {
    struct room_plan plan;

    if (!may_have_room (worker, &task->stage->step->demand)
        || place_avoids_worker (task, worker, now)
        || !may_reserve (worker, task, now)
        || !plan_room_for (worker, task, is_patient, &plan)
        || (best != NULL && plan.cost >= best_plan->cost))
      continue;
    best = worker;
    *best_plan = plan;
  }
  return best;
}

/* Whether the tasks that keep the room of a worker which was reserved at
   SINCE are still waited for. */
static bool
waits_for_ends (kq_usec since, struct kq_sched_now now)
{
  return now.mono - since < WAIT_FOR_END_MS * KQ_USEC_PER_MSEC;
}

/* Returns false if no worker can be reserved for TASK. */
static bool
reserve (struct kq_sched *sched, struct task *task, struct kq_sched_now now)
{
  struct worker *best = NULL;
  struct room_plan plan;

  if (!waits_for_ends (task->ready_at + RESERVE_AFTER_US, now))
    best = choose_reserved (sched, task, false, &plan, now);
  if (best == NULL)
    best = choose_reserved (sched, task, true, &plan, now);
  if (best == NULL)
    return false;
  change_reserved (best, task->stage->step, 1);
  LL_PREPEND2 (best->reservations, task, reserved_next);
  task->reserved_worker = best;
  task->reserved_at = now.mono;
  task->stage->reserved_count++;
  task_log (task, "worker reserved", best->report.id);
  stop_planned (sched, &plan, now);
  return true;
}

/* Whether the worker reserved for TASK may run it, and its room comes free
   without further stops. Its capacity may have shrunk since. */
static bool
reservation_holds (const struct task *task, struct kq_sched_now now)
{
  const struct worker *worker = task->reserved_worker;
  struct room_plan plan;

  return !task->stage->job->queue.advised && may_reserve (worker, task, now)
         && plan_room_for (worker, task,
                           waits_for_ends (task->reserved_at, now), &plan)
         && plan.stop_count == 0;
}

static bool
is_waiting (const struct task *task, struct kq_sched_now now)
{
  return task->state == TASK_READY && task->has_run
         && now.mono - task->ready_at >= RESERVE_AFTER_US;
}

void
reserve_check (struct stage *stage, struct kq_sched_now now)
{
  for (int i = 0; stage->reserved_count > 0 && i < stage->step->count; i++)
    {
      struct task *task = &stage->tasks[i];

      if (task->reserved_worker == NULL || reservation_holds (task, now))
        continue;
      task_log (task, "reservation ended", task->reserved_worker->report.id);
      reserve_clear (task);
    }
}

/* Whether a demand of at most that of STEP found no worker to reserve in this
   pass. */
static bool
is_known_unreserved (const struct pool *pool, const struct stage *stage)
{
  return pool->service == stage->job->service && pool->reserve_failed
         && demand_covers (&stage->step->demand, &pool->smallest_unreserved);
}

static void
remember_unreserved (struct pool *pool, const struct stage *stage)
{
  const struct kq_sched_step *step = stage->step;

  if (pool->service != stage->job->service || step->label[0] != '\0'
      || step->max_per_worker != 0)
    return;
  pool->reserve_failed = true;
  pool->smallest_unreserved = step->demand;
}

void
reserve_for_stage (struct kq_sched *sched, struct pool *pool,
                   struct stage *stage, struct kq_sched_now now)
{
  const struct kq_sched_step *step = stage->step;

  /* A filler takes CPU that others leave unused; that of a reserved worker may
     be in use by other fillers, or its tasks may bear none. */
  if (!step->long_running || step->filler || step->gang
      || stage->job->queue.advised)
    return;
  for (int i = 0; i < step->count && !is_known_unreserved (pool, stage); i++)
    {
      struct task *task = &stage->tasks[i];
      const struct worker *avoided = task->avoided_worker;

      /* A task with a late worker goes nowhere else. */
      if (task->reserved_worker != NULL || !is_waiting (task, now)
          || late_worker (task, now) != NULL)
        continue;
      if (sched->room_bounded_pass != sched->placement_pass)
        bound_room (sched);
      if (reserve (sched, task, now)
          || (avoided != NULL && place_avoids_worker (task, avoided, now)))
        continue;
      remember_unreserved (pool, stage);
      return;
    }
}

/* Room for long-running tasks in a full service (reserve_*).
 *
 * A long-running task that goes on after a loss and finds no capacity reserves
 * a worker: no other task is placed there, so that the capacity of the tasks
 * that end there comes together.  Tasks that will not end soon are stopped.
 */
#include "sched/internal.h"

/* Time without capacity after which a long-running task that has run before
   reserves a worker. */
#define RESERVE_AFTER_US (200 * KQ_USEC_PER_MSEC)

/* Tasks at a reserved worker that end within this time are waited for. A
   long-running task may be down for 3 s; the time until its loss is noticed,
   the stop and the start take part of it. */
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
  task->reserved_worker = NULL;
}

bool
reserve_allows (const struct worker *worker, const struct task *task)
{
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

static bool
ends_soon (const struct task *task)
{
  return task->stop_wanted
         || (!task->stage->step->long_running
             && remaining_ms (task) <= WAIT_FOR_END_MS);
}

static bool
covers (const struct kq_sched_demand *free,
        const struct kq_sched_demand *demand)
{
  return free->cpu >= demand->cpu && free->mem >= demand->mem
         && free->gpu >= demand->gpu;
}

/* Adds what the end of a task of STEP frees; fillers take only CPU that is
   left over. */
static void
add_freed (struct kq_sched_demand *free, const struct kq_sched_step *step)
{
  free->cpu += step->filler ? 0 : step->demand.cpu;
  free->mem += step->demand.mem;
  free->gpu += step->demand.gpu;
}

/* Fills PLAN with the tasks at WORKER that have to be stopped for DEMAND.
   Returns whether there is room then. */
static bool
plan_room (const struct worker *worker, const struct kq_sched_demand *demand,
           struct room_plan *plan)
{
  const struct kq_sched_demand *capacity = &worker->report.capacity;
  const struct kq_sched_demand *used = &worker->used;
  const struct kq_sched_demand *reserved = &worker->reserved;
  struct kq_sched_demand free
      = { .cpu = capacity->cpu - used->cpu - reserved->cpu,
          .mem = capacity->mem - used->mem - reserved->mem,
          .gpu = capacity->gpu - used->gpu - reserved->gpu };
  struct task *task;

  plan->stop_count = 0;
  plan->cost = 0;
  DL_FOREACH (worker->tasks, task)
  {
    if (ends_soon (task))
      add_freed (&free, task->stage->step);
  }
  DL_FOREACH (worker->tasks, task)
  {
    const struct kq_sched_step *step = task->stage->step;

    if (covers (&free, demand) || plan->stop_count == MAX_STOPS)
      break;
    if (ends_soon (task) || !may_stop (task))
      continue;
    add_freed (&free, step);
    plan->stops[plan->stop_count++] = task;
    plan->cost += step->demand.cpu;
    if (!step->checkpointable)
      plan->cost += (step->est_ms - remaining_ms (task)) * step->demand.cpu;
  }
  return covers (&free, demand);
}

static void
reserve (struct kq_sched *sched, struct task *task, struct kq_sched_now now)
{
  const struct stage *stage = task->stage;
  struct worker *best = NULL;
  struct room_plan best_plan = { .stop_count = 0 };
  struct worker *worker;

  DL_FOREACH (sched->worker_list, worker)
  {
    struct room_plan plan;

    if (worker == task->avoided_worker || !worker_usable (worker, now)
        || !place_meets_constraints (worker, stage)
        || !plan_room (worker, &stage->step->demand, &plan)
        || (best != NULL && plan.cost >= best_plan.cost))
      continue;
    best = worker;
    best_plan = plan;
  }
  if (best == NULL)
    return;
  change_reserved (best, stage->step, 1);
  task->reserved_worker = best;
  task_log (task, "worker reserved", best->report.id);
  for (int i = 0; i < best_plan.stop_count; i++)
    {
      sched->counts.preemptions++;
      task_log (best_plan.stops[i], "task preempted",
                "a long-running task needs its room");
      task_stop (sched, best_plan.stops[i], now);
    }
}

/* Whether the room that is reserved at WORKER comes free without further
   stops. Its capacity may have shrunk since the reservation. */
static bool
reservations_hold (const struct worker *worker)
{
  static const struct kq_sched_demand nothing_more = { 0, 0, 0 };
  struct room_plan plan;

  return plan_room (worker, &nothing_more, &plan) && plan.stop_count == 0;
}

static bool
is_waiting (const struct task *task, struct kq_sched_now now)
{
  return task->state == TASK_READY && task->run > 0
         && now.mono - task->ready_at >= RESERVE_AFTER_US;
}

void
reserve_for_stage (struct kq_sched *sched, struct stage *stage,
                   struct kq_sched_now now)
{
  const struct kq_sched_step *step = stage->step;

  if (!step->long_running || step->gang || stage->job->queue.advised)
    return;
  for (int i = 0; i < step->count; i++)
    {
      struct task *task = &stage->tasks[i];

      if (!is_waiting (task, now))
        continue;
      if (task->reserved_worker != NULL
          && (!worker_usable (task->reserved_worker, now)
              || !reservations_hold (task->reserved_worker)))
        reserve_clear (task);
      if (task->reserved_worker == NULL)
        reserve (sched, task, now);
    }
}

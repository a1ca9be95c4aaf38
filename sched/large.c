/* Room for large short tasks (large_*). Load: small tasks of the same priority
 * take each piece of a nearly full service as it comes free, so that a task
 * that needs more than one piece is never placed.
 *
 * A task larger than the usual ones that has waited, and can still be in time,
 * gets the worker where its room is expected to come free first. Tasks of its
 * own and of lower priorities leave its room there; nothing is stopped.
 */
#include "sched/internal.h"

/* Time without room after which room is held: tasks that end all the time make
   room for most within it. */
#define HOLD_AFTER_US (100 * KQ_USEC_PER_MSEC)

/* Room that is held stays unused until enough of it is free: at most this part
   of what long-running tasks leave of a service. */
#define MAX_HELD_PERCENT 25

/* Number of tasks at a worker that are looked at. */
#define MAX_TASKS 64

/* When a task at a worker is expected to free its room. */
struct end
{
  int64_t after_ms;
  const struct kq_sched_demand *demand;
};

void
large_clear (struct task *task)
{
  const struct kq_sched_demand *demand = &task->stage->step->demand;
  struct worker *worker = task->large_worker;

  if (worker == NULL)
    return;
  worker->large_count--;
  worker->large_held.cpu -= demand->cpu;
  worker->large_held.mem -= demand->mem;
  worker->large_held.gpu -= demand->gpu;
  task->large_worker = NULL;
  task->stage->large_count--;
}

/* Returns what is free at WORKER and not held. */
static struct kq_sched_demand
free_room (const struct worker *worker)
{
  struct kq_sched_demand room = worker->report.capacity;

  demand_add (&room, &worker->used, -1);
  demand_add (&room, &worker->large_held, -1);
  return room;
}

bool
large_allows (const struct worker *worker, const struct task *task)
{
  const struct stage *stage = task->stage;
  struct kq_sched_demand room;

  if (worker->large_count == 0 || task->large_worker == worker
      || stage->job->queue.priority < worker->large_priority
      || stage->step->filler || (stage->step->long_running && task->has_run))
    return true;
  room = free_room (worker);
  return demand_covers (&room, &stage->step->demand);
}

static int64_t
remaining_ms (const struct task *task, struct kq_sched_now now)
{
  int64_t elapsed_ms = (now.mono - task->phase_since) / KQ_USEC_PER_MSEC;
  int64_t length_ms = task->stage->length_ms;

  return elapsed_ms < length_ms ? length_ms - elapsed_ms : 0;
}

/* Fills ENDS with the short tasks at WORKER, those that end first in front;
   returns their number. */
static int
sort_ends (const struct worker *worker, struct kq_sched_now now,
           struct end ends[MAX_TASKS])
{
  const struct task *task;
  int count = 0;

  DL_FOREACH (worker->tasks, task)
  {
    const struct kq_sched_step *step = task->stage->step;
    struct end end = { remaining_ms (task, now), &step->demand };
    int at = count;

    if (step->long_running || step->filler || count == MAX_TASKS)
      continue;
    for (; at > 0 && ends[at - 1].after_ms > end.after_ms; at--)
      ends[at] = ends[at - 1];
    ends[at] = end;
    count++;
  }
  return count;
}

/* Returns in how many ms WORKER is expected to have room for DEMAND; negative
   if the end of its short tasks does not suffice. */
static int64_t
time_to_room (const struct worker *worker,
              const struct kq_sched_demand *demand, struct kq_sched_now now)
{
  struct kq_sched_demand room = free_room (worker);
  struct end ends[MAX_TASKS];
  int count;

  if (demand_covers (&room, demand))
    return 0;
  count = sort_ends (worker, now, ends);
  for (int i = 0; i < count; i++)
    {
      room.cpu += ends[i].demand->cpu;
      room.mem += ends[i].demand->mem;
      room.gpu += ends[i].demand->gpu;
      if (demand_covers (&room, demand))
        return ends[i].after_ms;
    }
  return -1;
}

/* Returns the worker that has room for TASK first, no later than in SLACK_MS,
   or NULL. */
static struct worker *
find_worker (struct kq_sched *sched, const struct task *task, int64_t slack_ms,
             struct kq_sched_now now)
{
  const struct stage *stage = task->stage;
  struct worker *best = NULL;
  int64_t best_ms = slack_ms + 1;
  struct worker *worker;

  DL_FOREACH (sched->worker_list, worker)
  {
    int64_t after_ms;

    if (worker == task->avoided_worker || worker->reserved_count > 0
        || (worker->large_count > 0
            && worker->large_priority != stage->job->queue.priority)
        || !worker_usable (worker, now)
        || !place_meets_constraints (worker, stage))
      continue;
    after_ms = time_to_room (worker, &stage->step->demand, now);
    if (after_ms < 0 || after_ms >= best_ms)
      continue;
    best = worker;
    best_ms = after_ms;
  }
  return best;
}

static bool
may_hold (const struct kq_sched *sched, const struct stage *stage)
{
  const struct kq_sched_step *step = stage->step;

  return stage->lateness == 0 && !step->long_running && !step->filler
         && !step->gang && step->max_per_worker == 0
         && !stage->job->queue.advised && service_is_large (sched, stage);
}

/* Returns the CPU that is held in a service, and what may be. */
static int64_t
held_cpu (const struct kq_sched *sched, int service, int64_t *most)
{
  int64_t held = 0;
  int64_t room = 0;

  for (size_t i = 0; i < sched->worker_count; i++)
    {
      const struct worker *worker = sched->worker_array[i];

      if (worker->service != service)
        continue;
      held += worker->large_held.cpu;
      if (worker->report.capacity.cpu > worker->long_running_cpu)
        room += worker->report.capacity.cpu - worker->long_running_cpu;
    }
  *most = room * MAX_HELD_PERCENT / 100;
  return held;
}

void
large_hold_room (struct kq_sched *sched, struct stage *stage,
                 struct kq_sched_now now)
{
  const struct kq_sched_demand *demand = &stage->step->demand;
  int64_t slack_ms = stage->due_ms - now.wall_ms - stage->critical_path_ms;
  int64_t most;
  int64_t held;

  if (!may_hold (sched, stage))
    return;
  held = held_cpu (sched, stage->job->service, &most);
  for (int i = 0; i < stage->step->count && held + demand->cpu <= most; i++)
    {
      struct task *task = &stage->tasks[i];
      struct worker *worker;

      if (task->state != TASK_READY || task->large_worker != NULL
          || now.mono - task->ready_at < HOLD_AFTER_US)
        continue;
      worker = find_worker (sched, task, slack_ms, now);
      if (worker == NULL)
        return;
      task->large_worker = worker;
      stage->large_count++;
      worker->large_count++;
      worker->large_priority = stage->job->queue.priority;
      worker->large_held.cpu += demand->cpu;
      worker->large_held.mem += demand->mem;
      worker->large_held.gpu += demand->gpu;
      held += demand->cpu;
      sched->counts.holds++;
      task_log (task, "room held", worker->report.id);
    }
}

void
large_check (struct stage *stage, struct kq_sched_now now)
{
  for (int i = 0; stage->large_count > 0 && i < stage->step->count; i++)
    {
      struct task *task = &stage->tasks[i];

      if (task->large_worker != NULL
          && (stage->lateness > 0 || !worker_usable (task->large_worker, now)
              || !place_meets_constraints (task->large_worker, stage)))
        large_clear (task);
    }
}

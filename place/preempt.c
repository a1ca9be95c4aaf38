/* Preemption: frees capacity for an important task that fits on no worker. */

#include <math.h>

#include "place/internal.h"

/** How long freed capacity is reserved for the task it was freed for. */
#define RESERVATION_TIMEOUT (5 * KQ_USEC_PER_SEC)

/** Largest number of tasks of one worker that are preempted for one task. */
#define PLAN_MAX_STEPS 16

/** Assumed duration of a throttle, used for its cost. */
#define THROTTLE_ASSUMED_SEC 10.0

/** One task that is throttled or evicted. */
struct step
{
  struct place_task *task;
  int32_t share; /**< share before the step */
  bool evict;
};

/** Steps that free capacity on one worker. */
struct plan
{
  struct place_worker *worker;
  struct step steps[PLAN_MAX_STEPS];
  int count;
  double cost; /**< core seconds */
};

/** Reverts what simulating PLAN has changed in the state of its worker. */
static void
undo_steps (struct kq_place *place, struct plan *plan)
{
  for (int i = plan->count - 1; i >= 0; i--)
    {
      struct step *step = &plan->steps[i];

      step->task->share = step->share;
      if (step->evict)
        step->task->ended_at = 0;
    }
  place_load_update (place, plan->worker);
  place_loads_update (place);
}

/** Simulates one more step of PLAN for a task of IMPORTANCE with GRANT: a
 *  throttle while the worker's guard admits the task and some task can be
 *  throttled, or else an eviction.
 *  @return false when no step is possible.  */
static bool
add_step (struct kq_place *place, struct plan *plan, int32_t importance,
          const struct kq_resources *grant, kq_usec now)
{
  struct step *step = &plan->steps[plan->count];
  struct place_task *task = NULL;

  if (place_guard_admits (plan->worker, &plan->worker->load, grant))
    task = place_find_task_to_throttle (plan->worker, importance);
  step->evict = task == NULL;
  if (step->evict)
    task = place_find_task_to_evict (plan->worker, importance, now);
  if (task == NULL)
    return false;
  step->task = task;
  step->share = task->share;
  plan->count++;
  if (step->evict)
    {
      plan->cost += place_eviction_cost (task, now);
      task->ended_at = now;
    }
  else
    {
      plan->cost += THROTTLE_ASSUMED_SEC * task->task.size.cpu_milli / 1000.0
                    * (task->share - SHARE_MIN) / SHARE_FULL;
      task->share = SHARE_MIN;
    }
  place_load_update (place, plan->worker);
  place_loads_update (place);
  return true;
}

/** Finds the steps that free capacity for TASK on PLAN's worker.  The state is
 *  left unchanged.  */
static bool
find_steps (struct kq_place *place, struct plan *plan,
            const struct place_class *class, const struct kq_place_task *task,
            kq_usec now)
{
  struct kq_resources grant = place_granted_size (place, class, &task->size);
  bool found = false;

  plan->count = 0;
  plan->cost = 0;
  while (!found && plan->count < PLAN_MAX_STEPS
         && add_step (place, plan, task->importance, &grant, now))
    found = place_within_limits (place, plan->worker, class, task, now);
  undo_steps (place, plan);
  return found;
}

static void
execute_plan (struct kq_place *place, const struct plan *plan, kq_usec now,
              struct kq_place_action *actions)
{
  for (int i = 0; i < plan->count; i++)
    {
      const struct step *step = &plan->steps[i];

      if (step->evict)
        place_request_eviction (plan->worker, step->task, now, &actions[i]);
      else
        place_set_share (place, plan->worker, step->task, SHARE_MIN, now,
                         &actions[i]);
    }
}

int
kq_place_preempt (struct kq_place *place, const struct kq_place_task *task,
                  kq_usec now, kq_place_usable_fn *usable, void *ctx,
                  struct kq_place_action *actions, int max)
{
  const struct place_class *class = place_get_class (place, task);
  struct plan best = { .cost = HUGE_VAL };
  struct plan plan;
  struct place_worker *worker;

  if (class == NULL)
    return 0;
  place_loads_update (place);
  for (worker = place->workers; worker != NULL; worker = worker->hh.next)
    {
      if (worker->reserved_until > now)
        {
          if (place_task_id_eq (&worker->reserved_for, &task->id))
            return 0;
          continue;
        }
      plan.worker = worker;
      if ((usable == NULL || usable (ctx, &worker->name))
          && find_steps (place, &plan, class, task, now) && plan.count <= max
          && plan.cost < best.cost)
        best = plan;
    }
  if (best.count == 0)
    return 0;
  execute_plan (place, &best, now, actions);
  best.worker->reserved_until = now + RESERVATION_TIMEOUT;
  best.worker->reserved_for = task->id;
  return best.count;
}

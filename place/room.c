/* Room for an important task that fits nowhere. */

#include <math.h>

#include "place/internal.h"

/** How long room is kept for the task it was made for. */
#define ROOM_TIMEOUT (5 * KQ_USEC_PER_SEC)

/** Most tasks of one worker that make room for one. */
#define STEPS_MAX 16

/** How long a slow-down for another task is reckoned to last. */
#define SLOW_DOWN_SEC 10.0

/** One task that is slowed down or moved. */
struct step
{
  struct place_task *task;
  int32_t share; /**< before the step */
  bool evict;
};

/** What makes room on one worker. */
struct plan
{
  struct place_worker *worker;
  struct step steps[STEPS_MAX];
  int count;
  double cost; /**< core seconds */
};

/** Takes back what trying PLAN has changed in its worker. */
static void
roll_back (struct kq_place *place, struct plan *plan)
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

/** Adds a step to PLAN for a task of IMPORTANCE with GRANT: a slow-down while
 *  the worker's guard admits the task and one is left, or else a move.
 *  @return false when nothing is left to be done.  */
static bool
add_step (struct kq_place *place, struct plan *plan, int32_t importance,
          const struct kq_size *grant, kq_usec now)
{
  struct step *step = &plan->steps[plan->count];
  struct place_task *task = NULL;

  if (place_guard_admits (plan->worker, &plan->worker->load, grant))
    task = place_loudest (plan->worker, importance);
  step->evict = task == NULL;
  if (step->evict)
    task = place_victim (plan->worker, importance, now);
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
      plan->cost += SLOW_DOWN_SEC * task->task.size.cpu_milli / 1000.0
                    * (task->share - SHARE_LEAST) / SHARE_FULL;
      task->share = SHARE_LEAST;
    }
  place_load_update (place, plan->worker);
  place_loads_update (place);
  return true;
}

/** Finds what makes room for TASK on PLAN's worker. */
static bool
find_steps (struct kq_place *place, struct plan *plan,
            const struct place_class *class, const struct kq_place_task *task,
            kq_usec now)
{
  struct kq_size grant = place_grant (place, class, &task->size);
  bool found = false;

  plan->count = 0;
  plan->cost = 0;
  while (!found && plan->count < STEPS_MAX
         && add_step (place, plan, task->importance, &grant, now))
    found = place_within_limits (place, plan->worker, class, task, now);
  roll_back (place, plan);
  return found;
}

static void
carry_out (struct kq_place *place, const struct plan *plan, kq_usec now,
           struct kq_place_action *actions)
{
  for (int i = 0; i < plan->count; i++)
    {
      const struct step *step = &plan->steps[i];

      if (step->evict)
        place_evict (plan->worker, step->task, now, &actions[i]);
      else
        place_set_share (place, plan->worker, step->task, SHARE_LEAST, now,
                         &actions[i]);
    }
}

int
kq_place_make_room (struct kq_place *place, const struct kq_place_task *task,
                    kq_usec now, kq_place_usable *usable, void *ctx,
                    struct kq_place_action *actions, int max)
{
  const struct place_class *class = place_class_of (place, task);
  struct plan best = { .cost = HUGE_VAL };
  struct plan plan;
  struct place_worker *worker;

  if (class == NULL)
    return 0;
  place_loads_update (place);
  for (worker = place->workers; worker != NULL; worker = worker->hh.next)
    {
      if (worker->room_until > now)
        {
          if (place_id_eq (&worker->room_for, &task->id))
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
  carry_out (place, &best, now, actions);
  best.worker->room_until = now + ROOM_TIMEOUT;
  best.worker->room_for = task->id;
  return best.count;
}

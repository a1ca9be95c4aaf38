/* What a placement would do before it comes to the stage that is explained,
 * and copies of all that this changes: see sched/explain.c.
 */
#include <stdlib.h>
#include <string.h>

#include "base/err.h"
#include "sched/explain.h"

/* Number of stages before that of a step for which workers are searched. All
   of an explanation of one step takes 33 us in a cell of 490 workers
   (bench/explain-cost.c), so that each search takes less. */
#define MAX_SEARCHES 8

int
explain_begin (struct explain_run *run, const struct kq_sched *sched,
               struct kq_sched_now now)
{
  struct rack *rack;
  int count = 0;

  run->dry = *sched;
  run->now = now;
  run->dry.interference_model
      = kq_interference_copy (sched->interference_model);
  run->racks = calloc (HASH_COUNT (sched->racks) + 1, sizeof *run->racks);
  if (run->dry.interference_model == NULL || run->racks == NULL)
    return KQ_ENOMEM;
  for (rack = sched->racks; rack != NULL; rack = rack->hh.next)
    run->racks[count++]
        = (struct explain_rack){ rack->ahead, rack->pass, rack->full,
                                 rack->full_for, rack->room };
  return 0;
}

void
explain_end (struct explain_run *run, const struct kq_sched *sched)
{
  const struct explain_rack *copy = run->racks;
  struct rack *rack;

  for (rack = sched->racks; rack != NULL && copy != NULL;
       rack = rack->hh.next, copy++)
    {
      rack->ahead = copy->ahead;
      rack->pass = copy->pass;
      rack->full = copy->full;
      rack->full_for = copy->full_for;
      rack->room = copy->room;
    }
  /* The estimates of a new job may have added an entry for its queue. */
  if (run->dry.lengths != sched->lengths)
    free (run->dry.lengths);
  kq_interference_destroy (run->dry.interference_model);
  free (run->racks);
  free (run);
}

struct task *
explain_first_ready (const struct stage *stage, bool of_all)
{
  for (int i = 0; i < stage->step->count; i++)
    if (stage->tasks[i].state == TASK_READY
        && (of_all || stage->tasks[i].wait_began == 0))
      return &stage->tasks[i];
  return NULL;
}

/* Adds what the tasks of OTHER that wait for a rack need there, COUNT for each
   waiting task, up to the first that does not wait: a placement looks no
   further if that finds no room. It searches the rack for each of them, and
   notes what it misses. */
static void
add_waiting (struct explain_run *run, const struct stage *other, int64_t count)
{
  const struct kq_sched_demand *demand = &other->step->demand;

  for (int i = 0; i < other->step->count; i++)
    {
      const struct task *task = &other->tasks[i];
      struct rack *rack
          = task->state == TASK_READY ? rack_of_task (&run->dry, task) : NULL;

      if (rack != NULL && !other->step->gang)
        rack_choose_worker (&run->dry, rack, task, run->now);
      if (task->state == TASK_READY && task->wait_began == 0)
        return;
      if (rack == NULL)
        continue;
      if (rack->pass != run->dry.placement_pass)
        rack->ahead = (struct kq_sched_demand){ 0, 0, 0 };
      rack->pass = run->dry.placement_pass;
      rack->ahead.cpu += count * demand->cpu;
      rack->ahead.mem += count * demand->mem;
      rack->ahead.gpu += count * demand->gpu;
    }
}

/* A gang that does not fit is bound where there is room and released again. A
   release makes a placement search the rack anew that was found full. */
static void
try_gang (struct explain_run *run, const struct stage *other)
{
  const struct task *task = explain_first_ready (other, true);

  if (task == NULL || task->wait_began != 0
      || other->ready_count < other->step->count - other->done_count)
    return;
  for (size_t i = 0; i < run->dry.worker_count; i++)
    {
      struct worker *worker = run->dry.worker_array[i];
      int64_t points;

      if (worker->rack != NULL
          && place_score (&run->dry, worker, task, run->now, &points))
        worker->rack->full = false;
    }
}

/* Returns the task of OTHER that finds no room, or NULL. One that finds room
   is about to be placed, and is not taken into account. */
static const struct task *
unplaced_task (struct explain_run *run, struct stage *other, int *searches)
{
  struct pool *pool = place_pool (&run->pass, other->job->service);
  const struct task *task = explain_first_ready (other, false);
  struct place_candidate best;

  if (place_cannot_fit (&run->pass, pool, other, run->now))
    return explain_first_ready (other, true);
  add_waiting (run, other, other->step->gang ? other->ready_count : 1);
  if (*searches == MAX_SEARCHES)
    return NULL;
  if (other->step->gang)
    {
      ++*searches;
      try_gang (run, other);
      return NULL;
    }
  if (task == NULL || !place_leaves_reserve (pool, other, run->now))
    return NULL;
  ++*searches;
  if (place_search (&run->dry, task, run->now, place_common_rack (other),
                    false, &best, 1)
      > 0)
    return NULL;
  if (task->avoided_worker == NULL)
    place_remember_unplaced (pool, other);
  return task;
}

void
explain_pass_before (struct explain_run *run, const struct stage *stage)
{
  struct stage *other;
  int searches = 0;

  run->dry.placement_pass++;
  place_sum_pools (&run->dry, &run->pass, run->now);
  DL_FOREACH (run->dry.queue, other)
  {
    struct pool *pool = place_pool (&run->pass, other->job->service);
    const struct task *task;

    if (other == stage || task_compare_urgency (other, stage) > 0)
      break;
    if (place_is_blocked (pool, other))
      continue;
    task = unplaced_task (run, other, &searches);
    if (task != NULL && !other->job->queue.advised)
      place_block_lower (pool, task, run->now);
  }
}

#include "place/place.h"

#include "base/err.h"
#include "worker/worker.h"

/* Share of the capacity that stays free once the task runs, in the
   resource that is scarcest then; thousandths. */
static int64_t
left_milli (const struct kq_size *size, const struct kq_place_worker *worker)
{
  int64_t cpu = INT64_C (1000) * (worker->free.cpu_milli - size->cpu_milli)
                / (worker->capacity.cpu_milli + 1);
  int64_t memory = INT64_C (1000) * (worker->free.memory_mb - size->memory_mb)
                   / (worker->capacity.memory_mb + 1);

  return cpu < memory ? cpu : memory;
}

/* Best fit keeps room for large tasks; devices are kept for those that need
   them. */
static int64_t
cost_of (const struct kq_place_task *task,
         const struct kq_place_worker *worker)
{
  int64_t cost = left_milli (&task->size, worker);

  if (task->size.accelerators == 0 && worker->free.accelerators > 0)
    cost += 2000;
  if (worker->failed_before)
    cost += 1000000;
  return cost;
}

int
kq_place_pick (const struct kq_place_task *task,
               const struct kq_place_worker *workers, size_t count)
{
  int best = KQ_EWORKER_FULL;
  int64_t best_cost = 0;

  for (size_t i = 0; i < count; i++)
    {
      int64_t cost;

      if (!kq_size_fits (&task->size, &workers[i].free))
        continue;
      cost = cost_of (task, &workers[i]);
      if (best >= 0 && cost >= best_cost)
        continue;
      best = (int)i;
      best_cost = cost;
    }
  return best;
}

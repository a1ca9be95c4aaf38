/* Fences of the orders to each worker (fence_*).
 *
 * The ID that an order names does not tell the incarnations of a worker apart,
 * and an order without a reply may be carried out seconds later.  An order to
 * an earlier incarnation would then act on the current one: begin a run that
 * has been settled, extend the lease, or acknowledge ends, by the numbers of
 * the earlier incarnation, that were never read.  Each incarnation that
 * follows another one therefore gets a fence above all that orders to its
 * worker have carried, and no task is placed there before.
 */
#include "sched/internal.h"

/* Gives the orders to WORKER the highest fence of this owner, if they have
   none or if an earlier incarnation has had theirs. */
static void
take_fence (const struct kq_sched *sched, struct worker *worker)
{
  if ((worker->fence != 0 && !worker->fence_spent)
      || sched->fence <= worker->fence)
    return;
  worker->fence = sched->fence;
  worker->fence_spent = false;
}

void
fence_begin_incarnation (const struct kq_sched *sched, struct worker *worker)
{
  worker->fence_spent = worker->report.incarnation_ms != 0;
  take_fence (sched, worker);
}

bool
fence_is_from_before (const struct worker *worker, int64_t fence)
{
  return fence != 0 && fence < worker->fence;
}

int64_t
kq_sched_order_fence (const struct kq_sched *sched, const char *id)
{
  const struct worker *worker;

  HASH_FIND_STR (sched->workers, id, worker);
  return worker != NULL ? worker->fence : 0;
}

void
kq_sched_note_fence (struct kq_sched *sched, int64_t fence)
{
  struct worker *worker;

  if (fence <= sched->fence)
    return;
  sched->fence = fence;
  DL_FOREACH (sched->worker_list, worker)
  {
    if (worker->fence_spent)
      take_fence (sched, worker);
  }
}

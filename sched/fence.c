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
#include "log/log.h"
#include "sched/internal.h"

/* Gives the orders to WORKER, whose earlier incarnation has had theirs, the
   highest fence of this owner.  The worker enforces it from the first order on
   that carries it, so that one is sent at once. */
static void
raise_fence (struct kq_sched *sched, struct worker *worker)
{
  if (sched->fence <= worker->fence)
    return;
  worker->fence = sched->fence;
  worker->fence_spent = false;
  worker->listed_at = 0;
  worker_poll_at_once (sched, worker);
}

void
fence_begin_incarnation (struct kq_sched *sched, struct worker *worker)
{
  if (worker->report.incarnation_ms == 0)
    {
      worker->fence = sched->term;
      return;
    }
  worker->fence_spent = true;
  raise_fence (sched, worker);
}

enum kq_sched_reply
fence_check_reply (struct kq_sched *sched, const char *id, int64_t fence,
                   enum kq_sched_reply reply)
{
  const struct worker *worker = worker_find (sched, id);

  if (reply != KQ_SCHED_FENCED || worker == NULL || fence == 0
      || fence >= worker->fence)
    return reply;
  kq_log (KQ_LOG_INFO, "sched", "order with an outdated fence refused", 0,
          "worker", id, NULL);
  return KQ_SCHED_NO_REPLY;
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
      raise_fence (sched, worker);
  }
}

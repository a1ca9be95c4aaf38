/* Applies the replies of workers to polls, start orders and stop orders
 * (reply_*); fills start orders.
 */
#include <stdio.h>

#include "base/err.h"
#include "log/log.h"
#include "sched/checkpoint.h"
#include "sched/crash.h"
#include "sched/evacuate.h"
#include "sched/internal.h"
#include "sched/late.h"

/* Time without new tasks for a worker that replied that it has no capacity,
   and for one that reported a fault. */
#define FULL_BACKOFF_US (200 * KQ_USEC_PER_MSEC)
#define UNHEALTHY_BACKOFF_US (1000 * KQ_USEC_PER_MSEC)

/* Delay before a failed poll is repeated. */
#define POLL_RETRY_US (100 * KQ_USEC_PER_MSEC)

static void
set_superseded (struct kq_sched *sched, const char *worker)
{
  if (sched->superseded)
    return;
  sched->superseded = true;
  kq_log (KQ_LOG_WARN, "sched", "deposed", 0, "worker", worker, "why",
          "worker has accepted a later fence", NULL);
  sched_add_effect (sched, KQ_SCHED_FX_SUPERSEDED, 0);
}

/* Applies that an ORDER for WORKER, sent at SENT_AT, was refused by another
   process. It says nothing good about WORKER. */
static void
apply_other_incarnation (struct kq_sched *sched, struct kq_sched_now now,
                         const char *id, const char *order, kq_usec sent_at)
{
  struct worker *worker = worker_find (sched, id);

  sched->counts.other_incarnation_replies++;
  kq_log (KQ_LOG_INFO, "sched", "reply of another incarnation", 0, "worker",
          id, "order", order, NULL);
  if (worker != NULL)
    worker_lose (sched, worker, sent_at, now);
}

static enum kq_sched_reply
order_reply (struct kq_sched *sched, const struct kq_sched_event *event)
{
  return fence_check_reply (sched, event->u.order.worker, event->u.order.fence,
                            event->u.order.reply);
}

/* Applies what the reply to an ORDER other than a poll says about the worker.
   Returns false if it says that this owner is superseded. */
static bool
apply_sender (struct kq_sched *sched, struct kq_sched_now now,
              const struct kq_sched_event *event, const char *order)
{
  struct worker *worker = worker_find (sched, event->u.order.worker);

  switch (order_reply (sched, event))
    {
    case KQ_SCHED_FENCED:
      set_superseded (sched, event->u.order.worker);
      return false;
    case KQ_SCHED_OTHER_INCARNATION:
      apply_other_incarnation (sched, now, event->u.order.worker, order,
                               event->u.order.sent_at);
      return true;
    case KQ_SCHED_NO_REPLY:
    case KQ_SCHED_NOT_SENT:
    case KQ_SCHED_REFUSED:
      if (worker != NULL && !kq_sched_is_reply (event->u.order.reply)
          && event->u.order.sent_at >= worker->incarnation_since)
        worker_note_unanswered_order (worker, event->u.order.sent_at);
      return true;
    case KQ_SCHED_UNHEALTHY:
      if (worker != NULL)
        worker_note_answered_order (worker);
      return true;
    default:
      /* The reply to an earlier order may be one of an earlier incarnation. */
      if (worker != NULL
          && event->u.order.sent_at >= worker->incarnation_since)
        {
          worker_note_answered_order (worker);
          worker_note_reply (sched, worker, now.mono,
                             event->u.order.worker_clock_ms);
        }
      return true;
    }
}

/* Notes whether the latest poll of WORKER had no reply. */
static void
note_silence (struct worker *worker, enum kq_sched_reply reply,
              kq_usec sent_at)
{
  if (sent_at < worker->silent_poll_at)
    return;
  worker->silent_poll_at = kq_sched_is_reply (reply) ? 0 : sent_at;
}

/* Notes that a poll of WORKER that was sent at SENT_AT was refused, or was
   answered by the known incarnation.  One that is under way beside it may yet
   renew. */
static void
note_renewal_over (struct worker *worker, kq_usec sent_at)
{
  if (sent_at >= worker->open_renewal_at && worker->polls_in_flight == 0)
    worker->open_renewal_at = 0;
}

/* Notes that WORKER has listed its runs. Before it has enforced its fence
   earlier orders may begin more. */
static void
note_listing (struct worker *worker, const struct kq_sched_event *event)
{
  bool enforced
      = event->u.polled.fence == 0 || event->u.polled.fence >= worker->fence;

  if (!enforced || worker->fence_spent
      || event->u.polled.worker_status->has_unread_rows
      || event->u.polled.sent_at <= worker->listed_at)
    return;
  if (worker->listed_at == 0 && worker->has_long_lease)
    worker->long_lease_until = worker->last_reply_at + MAX_LAPSE_US;
  worker->listed_at = event->u.polled.sent_at;
}

void
reply_apply_poll (struct kq_sched *sched, struct kq_sched_now now,
                  const struct kq_sched_event *event)
{
  struct worker *worker = worker_find (sched, event->u.polled.worker);
  const struct kq_sched_status *worker_status = event->u.polled.worker_status;
  enum kq_sched_reply reply
      = fence_check_reply (sched, event->u.polled.worker,
                           event->u.polled.fence, event->u.polled.reply);

  if (worker == NULL)
    return;
  if (worker->polls_in_flight > 0)
    worker->polls_in_flight--;
  worker->next_poll_at = now.mono + POLL_RETRY_US;
  note_silence (worker, reply, event->u.polled.sent_at);
  if (!kq_sched_is_reply (event->u.polled.reply))
    worker_note_no_reply (worker, event->u.polled.sent_at);
  if (event->u.polled.reply == KQ_SCHED_REFUSED)
    worker->refused_at = event->u.polled.sent_at;
  if (reply == KQ_SCHED_FENCED)
    set_superseded (sched, worker->report.id);
  if (reply == KQ_SCHED_OTHER_INCARNATION)
    apply_other_incarnation (sched, now, worker->report.id, "poll",
                             event->u.polled.sent_at);
  if (reply != KQ_SCHED_OK)
    {
      if (kq_sched_is_reply (event->u.polled.reply))
        note_renewal_over (worker, event->u.polled.sent_at);
      worker->idle = false;
      return;
    }
  /* The reply of an earlier incarnation is obsolete. */
  if (worker_status->incarnation_ms < worker->report.incarnation_ms)
    return;
  if (worker_status->incarnation_ms > worker->report.incarnation_ms)
    {
      crash_note_incarnation (sched, worker, now);
      worker_start_incarnation (sched, worker, worker_status->incarnation_ms,
                                now.mono);
    }
  else
    note_renewal_over (worker, event->u.polled.sent_at);
  worker_note_reply (sched, worker, now.mono, worker_status->worker_clock_ms);
  note_listing (worker, event);
  status_apply (sched, worker, now, event->u.polled.sent_at, worker_status);
  worker_schedule_poll (sched, worker, now);
}

static struct task *
find_ordered_task (struct kq_sched *sched, const struct kq_sched_event *event)
{
  struct job *job = job_find (sched, event->u.order.run.job);
  struct task *task = job == NULL ? NULL : job_task (job, &event->u.order.run);

  if (task == NULL || task->state != TASK_BOUND
      || task->run != event->u.order.run.run
      || strcmp (task->worker->report.id, event->u.order.worker) != 0)
    return NULL;
  return task;
}

/* Leaves it to the list of its worker how the run of TASK, whose start it has
   not accepted, goes on. */
static void
leave_to_listing (struct kq_sched *sched, struct task *task,
                  struct kq_sched_now now, const char *why)
{
  task->phase = PHASE_UNCONFIRMED;
  task->phase_since = now.mono;
  task_log (task, why, "");
  worker_poll_at_once (sched, task->worker);
}

static void
apply_refusal (struct kq_sched *sched, struct kq_sched_now now,
               struct task *task, enum kq_sched_reply reply)
{
  struct worker *worker = task->worker;

  switch (reply)
    {
    case KQ_SCHED_NO_CAPACITY:
      worker->no_starts_until = now.mono + FULL_BACKOFF_US;
      task_withdraw_run (sched, task, now, "no capacity at the worker");
      break;
    case KQ_SCHED_STALE_RUN:
      leave_to_listing (sched, task, now, "run already over at the worker");
      break;
    case KQ_SCHED_ORDER_EXPIRED:
      task_withdraw_run (sched, task, now, "late");
      break;
    case KQ_SCHED_OTHER_INCARNATION:
      worker->no_starts_until = now.mono + UNHEALTHY_BACKOFF_US;
      task_withdraw_run (sched, task, now, "worker has restarted");
      break;
    case KQ_SCHED_FENCED:
      task_withdraw_run (sched, task, now, "worker has restarted");
      break;
    case KQ_SCHED_UNHEALTHY:
      worker->no_starts_until = now.mono + UNHEALTHY_BACKOFF_US;
      task_withdraw_run (sched, task, now, "sick");
      break;
    case KQ_SCHED_NOT_SENT:
    case KQ_SCHED_REFUSED:
      worker->idle = false;
      worker->no_starts_until = now.mono + FULL_BACKOFF_US;
      worker_poll_soon (worker, now);
      task_withdraw_run (sched, task, now, "no connection to the worker");
      break;
    case KQ_SCHED_BAD_TICKET:
      advice_invalidate (task->stage, worker);
      task_withdraw_run (sched, task, now, "ticket rejected by the worker");
      break;
    case KQ_SCHED_BAD_ORDER:
      place_avoid_worker (task, worker, now);
      worker->no_starts_until = now.mono + UNHEALTHY_BACKOFF_US;
      task_end_run (sched, task, now, "order not parsed by the worker");
      break;
    default:
      break;
    }
}

void
reply_apply_start (struct kq_sched *sched, struct kq_sched_now now,
                   const struct kq_sched_event *event)
{
  struct worker *worker = worker_find (sched, event->u.order.worker);
  struct task *task = find_ordered_task (sched, event);
  enum kq_sched_reply reply = order_reply (sched, event);
  bool refused_unread = event->u.order.reply == KQ_SCHED_OTHER_INCARNATION
                        || (event->u.order.reply == KQ_SCHED_FENCED
                            && reply == KQ_SCHED_NO_REPLY);

  if (worker != NULL && !kq_sched_is_reply (event->u.order.reply))
    worker_note_no_reply (worker, event->u.order.sent_at);
  if (task != NULL && (refused_unread || reply != KQ_SCHED_NO_REPLY))
    late_note_settled (task);
  /* Another process or a later incarnation got the order, so that the run
     never began and cannot have crashed its worker. */
  if (refused_unread && task != NULL && task->phase == PHASE_START_SENT)
    apply_refusal (sched, now, task, event->u.order.reply);
  if (!apply_sender (sched, now, event, "start"))
    return;
  task = find_ordered_task (sched, event);
  if (task == NULL || task->phase == PHASE_STOPPING
      || task->phase == PHASE_STORING)
    return;
  switch (reply)
    {
    case KQ_SCHED_OK:
      if (task->phase != PHASE_START_SENT)
        return;
      crash_note_accepted (task, now);
      task->phase = PHASE_RUNNING;
      task->phase_since = now.mono;
      task->progress_at = now.mono;
      task->stage->job->started = true;
      worker_poll_soon (task->worker, now);
      break;
    case KQ_SCHED_NO_REPLY:
      /* The worker may have accepted it. */
      task->worker->idle = false;
      task->worker->no_starts_until = now.mono + FULL_BACKOFF_US;
      leave_to_listing (sched, task, now, "no reply to start order");
      break;
    default:
      apply_refusal (sched, now, task, reply);
      break;
    }
}

void
reply_apply_stop (struct kq_sched *sched, struct kq_sched_now now,
                  const struct kq_sched_event *event)
{
  struct task *task;

  if (!apply_sender (sched, now, event, "stop"))
    return;
  task = find_ordered_task (sched, event);
  if (task == NULL)
    return;
  if (event->u.order.reply == KQ_SCHED_OK
      || event->u.order.reply == KQ_SCHED_STALE_RUN)
    {
      /* If the run never started, a poll that waits for its end returns
         late. */
      if (task->phase == PHASE_UNCONFIRMED)
        worker_poll_at_once (sched, task->worker);
      task->phase = PHASE_STOPPING;
      task->phase_since = now.mono;
      worker_poll_soon (task->worker, now);
    }
  else if (event->u.order.reply == KQ_SCHED_OTHER_INCARNATION)
    task_end_run (sched, task, now, "worker has restarted");
}

void
reply_apply_pace (struct kq_sched *sched, struct kq_sched_now now,
                  const struct kq_sched_event *event)
{
  if (event->u.order.reply == KQ_SCHED_FENCED
      || event->u.order.reply == KQ_SCHED_OTHER_INCARNATION)
    apply_sender (sched, now, event, "pace");
}

/* Whether the worker of TASK, and of all members of its gang that are to
   start, still has the capacity for all that is bound there. */
static bool
has_room_to_start (const struct task *task)
{
  const struct stage *stage = task->stage;

  if (!stage->step->gang)
    return place_is_within_capacity (task->worker, stage->step);
  for (int i = 0; i < stage->step->count; i++)
    {
      const struct task *member = &stage->tasks[i];

      if (member->state == TASK_BOUND && member->phase == PHASE_STORING
          && !place_is_within_capacity (member->worker, stage->step))
        return false;
    }
  return true;
}

/* Ends the run of TASK, whose start was not sent, and with it those of its
   gang, which would wait for it in vain. */
static void
withdraw_start (struct kq_sched *sched, struct task *task,
                struct kq_sched_now now, const char *why)
{
  struct stage *stage = task->stage;

  for (int i = 0; stage->step->gang && i < stage->step->count; i++)
    if (&stage->tasks[i] != task)
      task_stop (sched, &stage->tasks[i], now);
  task_withdraw_run (sched, task, now, why);
}

/* Ends the run of TASK, whose start was not sent yet, if it must not be sent.
   Returns whether it did. */
static bool
end_forbidden_start (struct kq_sched *sched, struct task *task,
                     struct kq_sched_now now)
{
  const struct worker *worker = task->worker;

  if (!grant_is_current (sched, now))
    {
      task_withdraw_run (sched, task, now, "term not confirmed");
      return true;
    }
  if (!worker_reports_are_current (sched, now))
    {
      task_withdraw_run (sched, task, now, "registrations not read");
      return true;
    }
  if (!evacuate_is_current (sched, now))
    {
      task_withdraw_run (sched, task, now, "evacuations not read");
      return true;
    }
  if (worker->evacuated)
    {
      sched->counts.evacuated_starts++;
      withdraw_start (sched, task, now, "zone under evacuation");
      return true;
    }
  if (!place_may_start_at (worker, task, now) || worker->unheard
      || (task->stage->job->queue.advised
          && advice_ticket (task->stage, worker, now) == NULL))
    {
      task_withdraw_run (sched, task, now, "worker no longer usable");
      return true;
    }
  if (task_awaits_other_run (task, now))
    {
      withdraw_start (sched, task, now, "another run of it is listed");
      return true;
    }
  if (!has_room_to_start (task))
    {
      withdraw_start (sched, task, now, "worker's capacity has shrunk");
      return true;
    }
  return false;
}

int
kq_sched_start_order (struct kq_sched *sched, struct kq_sched_now now,
                      const struct kq_sched_effect *effect,
                      struct kq_sched_start *start)
{
  struct kq_sched_event probe = { .kind = KQ_SCHED_EV_STARTED };
  struct task *task;
  struct worker *worker;

  probe.u.order.run = effect->u.order.run;
  probe.u.order.worker = effect->u.order.worker;
  task = find_ordered_task (sched, &probe);
  if (task == NULL || task->phase != PHASE_STORING || sched->superseded)
    return KQ_ENOENT;
  worker = task->worker;
  if (end_forbidden_start (sched, task, now))
    return KQ_ENOENT;
  crash_note_start (task);
  late_note_sent (task, now);
  task->phase = PHASE_START_SENT;
  task->phase_since = now.mono;
  task->progress_at = now.mono;
  snprintf (start->address, sizeof start->address, "%s",
            worker->report.address);
  start->lease_end_ms
      = worker_clock (worker, now.mono) + evacuate_start_lease_ms (sched, now);
  worker_note_lease (worker, start->lease_end_ms);
  start->text = task->stage->job->spec.text;
  start->checkpoint = checkpoint_text (task);
  start->ticket = "";
  if (task->stage->job->queue.advised)
    start->ticket = advice_ticket (task->stage, worker, now);
  return 0;
}

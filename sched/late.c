/* Start orders that may still be carried out after their run was given up
 * (late_*).
 *
 * A stop settles a start without a reply, but a worker that starts again under
 * its ID forgets the stop and all fences, and its clock begins anew, so that
 * until_ms does not hold the order back: until an order with a newer fence
 * reaches it, the new incarnation begins the run.  While the order may be
 * under way the task therefore starts again at that worker only, since a
 * restart there ends the second run too.  If the task ends meanwhile, its end
 * is not acknowledged and its job not shown as complete before: the worker
 * could restart and begin a task that is done.
 */
#include "sched/late.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#include "base/err.h"
#include "log/log.h"
#include "sched/crash.h"

/* An order is carried out no later than this after it was sent: as long as a
   worker that may have taken it is left alone with it.  Source: the platform
   says "seconds later". */
#define LATE_US LONGEST_LAPSE_US

/* After that a worker is asked for its runs.  One that does not list them may
   have begun the run behind a cut, and the lease there may be the longest,
   since the order's end is one on an earlier clock: it is waited for until
   that has lapsed. */
#define LISTING_WAIT_US MAX_LAPSE_US

/* A long-running task must go on sooner; and a run that an earlier owner had
   started was most likely answered.  They wait only for a worker that is
   registered. */
#define SHORT_LISTING_WAIT_US (2000 * KQ_USEC_PER_MSEC)

/* Before the last start that a task may have which crashes its workers, an
   open order is waited for until no order is that late: few tasks come to
   that.  Source: orders up to 12 s late, and a round of orders. */
#define LATEST_US (12300 * KQ_USEC_PER_MSEC)

/* Interval at which a worker that is not registered any more, and not polled
   otherwise, is asked whether it is there. */
#define ASK_INTERVAL_US (500 * KQ_USEC_PER_MSEC)

/* A start order that was sent this long ago is answered as a rule.  Until then
   ends are acknowledged beside it: an owner that has many starts under way
   would poll their workers again and again. */
#define USUAL_ANSWER_US (100 * KQ_USEC_PER_MSEC)

/* Maximum number of orders of a task that are kept beside the latest one: with
   it as many as the starts after which a task that crashes its workers is
   given up. */
#define MAX_EARLIER_ORDERS 4

/* A start order that had no reply, of a run that is over. */
struct late_order
{
  struct worker *worker;
  int64_t incarnation_ms; /* of the worker that it was sent to */
  int64_t listed_ms;      /* its later one that lists the run; 0: none */
  kq_usec sent_at;
  struct late_order *prev;
  struct late_order *next;
};

void
late_note_sent (struct task *task, struct kq_sched_now now)
{
  task->start_sent_at = now.mono;
}

void
late_note_settled (struct task *task)
{
  task->start_settled = true;
  /* Before the first run there was no order. */
  if (task->run == 1)
    task->late_until = 0;
}

static void
note_late_order (struct worker *worker, kq_usec until)
{
  worker->has_late_orders = true;
  if (until > worker->late_until)
    worker->late_until = until;
}

static bool
is_latest_open (const struct task *task)
{
  return task->late_until != 0 && task->late_is_unanswered
         && !task->late_is_counted && task->late_incarnation_ms != 0;
}

static kq_usec
latest_sent_at (const struct task *task)
{
  return task->late_until - LATE_US;
}

static void
forget_order (struct task *task, struct late_order *order)
{
  DL_DELETE (task->late_earlier, order);
  free (order);
}

void
late_forget_earlier (struct task *task)
{
  while (task->late_earlier != NULL)
    forget_order (task, task->late_earlier);
}

/* Keeps the latest order of TASK, if it is open, as another follows it. */
static void
keep_latest (struct task *task)
{
  struct late_order *order;
  int count;

  if (!is_latest_open (task))
    return;
  order = calloc (1, sizeof *order);
  if (order == NULL)
    {
      kq_log (KQ_LOG_ERROR, "sched", "open start order not kept", KQ_ENOMEM,
              NULL);
      return;
    }
  order->worker = task->late_worker;
  order->incarnation_ms = task->late_incarnation_ms;
  order->listed_ms = task->late_listed_ms;
  order->sent_at = latest_sent_at (task);
  DL_APPEND (task->late_earlier, order);
  DL_COUNT (task->late_earlier, order, count);
  if (count > MAX_EARLIER_ORDERS)
    forget_order (task, task->late_earlier);
}

/* Whether TASK waits for word from its late worker for as long as that may let
   a run go on.  A long-running task must go on sooner. */
static bool
waits_longest (const struct task *task)
{
  return task->late_is_unanswered && !task->stage->step->long_running;
}

kq_usec
late_until_at_most (const struct task *task)
{
  return task->late_until
         + (waits_longest (task) ? LISTING_WAIT_US : SHORT_LISTING_WAIT_US);
}

void
late_note_run_over (struct kq_sched *sched, struct task *task)
{
  char bounds[80];

  if (task->start_sent_at == 0 || task->start_settled)
    return;
  keep_latest (task);
  task->late_worker = task->worker;
  task->late_incarnation_ms = task->incarnation_ms;
  task->late_sent_at = task->start_sent_at;
  task->late_sent = terms_time (sched, task->start_sent_at);
  task->late_until = task->start_sent_at + LATE_US;
  task->late_is_unanswered = true;
  task->late_listed_ms = 0;
  task->late_is_counted = false;
  note_late_order (task->worker, task->late_until);
  sched->counts.late_starts++;
  snprintf (bounds, sizeof bounds,
            "for %d ms, for %d ms without a list of runs",
            (int)(LATE_US / KQ_USEC_PER_MSEC),
            (int)((late_until_at_most (task) - task->late_sent_at)
                  / KQ_USEC_PER_MSEC));
  task_log (task, "start order may still be carried out", bounds);
}

void
late_note_restored (const struct kq_sched *sched, struct task *task,
                    struct worker *worker, int64_t incarnation_ms,
                    struct term_time sent, bool unanswered,
                    struct kq_sched_now now)
{
  kq_usec until = terms_latest (sched, sent, now.mono) + LATE_US;

  if (until <= now.mono - LISTING_WAIT_US)
    return;
  task->late_worker = worker;
  task->late_incarnation_ms = incarnation_ms;
  task->late_is_unanswered = unanswered;
  task->late_sent_at = 0;
  task->late_sent = sent;
  task->late_until = until;
  note_late_order (worker, until);
}

void
late_note_loss_counted (struct task *task)
{
  if (!task->start_settled)
    task->late_is_counted = true;
}

static void
set_listed (struct task *task, const struct worker *worker,
            int64_t incarnation_ms)
{
  struct late_order *order;

  if (task->late_worker == worker)
    task->late_listed_ms = incarnation_ms;
  DL_FOREACH (task->late_earlier, order)
  {
    if (order->worker == worker)
      order->listed_ms = incarnation_ms;
  }
}

void
late_note_listed (struct task *task, const struct worker *worker)
{
  set_listed (task, worker, worker->report.incarnation_ms);
}

void
late_note_ended (struct task *task, const struct worker *worker)
{
  set_listed (task, worker, 0);
}

/* Whether the known incarnation of WORKER may have begun the run of an open
   start order to its incarnation SENT_TO_MS: it follows that one, and listed
   the run, as LISTED_MS tells, or has not listed its runs under its fence,
   which would have refused the order.  However late that is: the platform
   names no longest time. */
static bool
may_have_begun (const struct worker *worker, int64_t sent_to_ms,
                int64_t listed_ms)
{
  return worker->report.incarnation_ms > sent_to_ms
         && (worker->listed_at == 0
             || listed_ms == worker->report.incarnation_ms);
}

/* Takes the oldest order of TASK that the known incarnation of WORKER may have
   begun as the cause of its loss.  Returns whether there is one. */
static bool
take_for_loss (struct task *task, const struct worker *worker)
{
  struct late_order *order;

  DL_FOREACH (task->late_earlier, order)
  {
    if (order->worker == worker
        && may_have_begun (worker, order->incarnation_ms, order->listed_ms))
      {
        forget_order (task, order);
        return true;
      }
  }
  if (!is_latest_open (task) || task->late_worker != worker
      || !may_have_begun (worker, task->late_incarnation_ms,
                          task->late_listed_ms))
    return false;
  task->late_is_counted = true;
  return true;
}

/* A run of TASK that has settled shows that it crashes no workers. */
static bool
may_crash_workers (const struct task *task)
{
  return task->state != TASK_DONE
         && (task->state != TASK_BOUND || !task->settled);
}

static void
count_losses_of_stage (struct kq_sched *sched, struct stage *stage,
                       struct worker *worker, struct kq_sched_now now)
{
  for (int i = 0; stage->tasks != NULL && i < stage->step->count; i++)
    if (may_crash_workers (&stage->tasks[i])
        && take_for_loss (&stage->tasks[i], worker))
      crash_count_late_loss (sched, &stage->tasks[i], worker, now);
}

void
late_count_losses (struct kq_sched *sched, struct worker *worker,
                   struct kq_sched_now now)
{
  struct job *job;
  struct job *next;

  if (!worker->has_late_orders)
    return;
  HASH_ITER (hh, sched->jobs, job, next)
  {
    if (!job_has_ended (job))
      for (int i = 0; i < job->stage_count; i++)
        count_losses_of_stage (sched, &job->stages[i], worker, now);
  }
}

/* Whether WORKER may have begun the earlier run of TASK unseen: it has not
   listed its runs since that could happen last, nor shown that it is gone. */
static bool
awaits_listing (const struct task *task, struct kq_sched_now now)
{
  const struct worker *worker = task->late_worker;

  if (worker->listed_at >= task->late_until
      || worker_is_gone_since (worker, task->late_until))
    return false;
  return (worker->registered || waits_longest (task))
         && now.mono < late_until_at_most (task);
}

struct worker *
late_worker (const struct task *task, struct kq_sched_now now)
{
  /* Where another process has the address, the order is refused. */
  if (task->late_until == 0 || task->late_worker->lost
      || (now.mono >= task->late_until && !awaits_listing (task, now)))
    return NULL;
  return task->late_worker;
}

/* Whether TASK had better be tried elsewhere, since its late worker or others
   were lost under it; a long-running one must go on sooner than that allows.
 */
static bool
needs_another_worker (const struct task *task)
{
  return !task->stage->step->long_running
         && (crash_is_suspect (task)
             || task->late_worker->report.incarnation_ms
                    != task->late_incarnation_ms);
}

/* Whether TASK would have used up its starts if its open orders, which are not
   too old, were carried out beside another start.  A long-running task must go
   on sooner. */
static bool
may_exceed_starts (const struct task *task, struct kq_sched_now now)
{
  const struct late_order *order;
  int open;

  if (!crash_is_suspect (task) || task->stage->step->long_running)
    return false;
  open = is_latest_open (task) && now.mono < latest_sent_at (task) + LATEST_US;
  DL_FOREACH (task->late_earlier, order)
  {
    open += now.mono < order->sent_at + LATEST_US;
  }
  return open >= crash_count_starts_left (task);
}

bool
late_forbids_start (const struct task *task, struct kq_sched_now now)
{
  const struct worker *worker = late_worker (task, now);

  return (worker != NULL
          && (worker->listed_at == 0 || worker->suspect_count > 0
              || needs_another_worker (task)))
         || may_exceed_starts (task, now);
}

void
late_ask (struct kq_sched *sched, const struct task *task,
          struct kq_sched_now now)
{
  struct worker *worker = late_worker (task, now);
  bool asked = worker != NULL && worker->late_asked_at >= task->late_until;

  if (worker == NULL || now.mono < task->late_until
      || (asked
          && (worker->registered
              || now.mono - worker->late_asked_at < ASK_INTERVAL_US)))
    return;
  worker->late_asked_at = now.mono;
  worker_poll_at_once (sched, worker);
}

kq_usec
late_until (const struct task *task, struct kq_sched_now now)
{
  return late_worker (task, now) != NULL ? task->late_until : 0;
}

int64_t
late_order_age_ms (const struct task *task, const struct worker *worker,
                   struct kq_sched_now now)
{
  if (task->late_worker != worker || task->late_sent_at == 0)
    return -1;
  return (now.mono - task->late_sent_at) / KQ_USEC_PER_MSEC;
}

bool
late_awaits_orders (const struct worker *worker, struct kq_sched_now now)
{
  const struct task *task;

  if (now.mono < worker->late_until)
    return true;
  DL_FOREACH (worker->tasks, task)
  {
    if (task->start_sent_at != 0 && !task->start_settled
        && now.mono - task->start_sent_at > USUAL_ANSWER_US)
      return true;
  }
  return false;
}

void
late_hold_end (struct worker *worker, int64_t number, kq_usec until)
{
  struct late_hold *last;

  if (worker->late_hold_count < MAX_LATE_HOLDS)
    {
      worker->late_holds[worker->late_hold_count++]
          = (struct late_hold){ .number = number, .until = until };
      return;
    }
  last = &worker->late_holds[MAX_LATE_HOLDS - 1];
  if (last->until < until)
    last->until = until;
}

int64_t
late_last_free_end (struct worker *worker, struct kq_sched_now now)
{
  int over = 0;

  while (over < worker->late_hold_count
         && worker->late_holds[over].until <= now.mono)
    over++;
  worker->late_hold_count -= over;
  memmove (worker->late_holds, &worker->late_holds[over],
           (size_t)worker->late_hold_count * sizeof worker->late_holds[0]);
  return worker->late_hold_count > 0 ? worker->late_holds[0].number - 1
                                     : worker->last_end;
}

bool
late_allows (const struct task *task, const struct worker *worker,
             struct kq_sched_now now)
{
  const struct worker *late = late_worker (task, now);

  return late == NULL || (worker == late && !late_forbids_start (task, now));
}

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

#include <string.h>

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

void
late_note_run_over (struct kq_sched *sched, struct task *task)
{
  if (task->start_sent_at == 0 || task->start_settled)
    return;
  task->late_worker = task->worker;
  task->late_incarnation_ms = task->incarnation_ms;
  task->late_sent_at = task->start_sent_at;
  task->late_sent = terms_time (sched, task->start_sent_at);
  task->late_until = task->start_sent_at + LATE_US;
  task->late_is_unanswered = true;
  task->late_listed_ms = 0;
  task->late_is_counted = false;
  task->worker->has_late_orders = true;
  sched->counts.late_starts++;
  task_log (task, "start order may still be carried out", "");
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
  worker->has_late_orders = true;
}

void
late_note_loss_counted (struct task *task)
{
  if (!task->start_settled)
    task->late_is_counted = true;
}

void
late_note_listed (struct task *task, const struct worker *worker)
{
  if (task->late_worker == worker)
    task->late_listed_ms = worker->report.incarnation_ms;
}

void
late_note_ended (struct task *task, const struct worker *worker)
{
  if (task->late_worker == worker)
    task->late_listed_ms = 0;
}

/* Whether the known incarnation of WORKER may have begun the run of TASK whose
   start order is open: it follows the one that was given the order, and listed
   that run or has not listed its runs under its fence, which would have
   refused the order.  However late that is: the platform names no longest
   time.  A run of TASK that has settled shows that it crashes no workers. */
static bool
may_have_begun (const struct task *task, const struct worker *worker)
{
  if (task->late_until == 0 || task->late_worker != worker
      || !task->late_is_unanswered || task->late_is_counted
      || task->late_incarnation_ms == 0
      || worker->report.incarnation_ms <= task->late_incarnation_ms
      || task->state == TASK_DONE
      || (task->state == TASK_BOUND && task->settled))
    return false;
  return worker->listed_at == 0
         || task->late_listed_ms == worker->report.incarnation_ms;
}

static void
count_losses_of_stage (struct kq_sched *sched, struct stage *stage,
                       struct worker *worker, struct kq_sched_now now)
{
  for (int i = 0; stage->tasks != NULL && i < stage->step->count; i++)
    if (may_have_begun (&stage->tasks[i], worker))
      {
        stage->tasks[i].late_is_counted = true;
        crash_count_late_loss (sched, &stage->tasks[i], worker, now);
      }
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
   listed its runs since that could happen last. */
static bool
awaits_listing (const struct task *task, struct kq_sched_now now)
{
  const struct worker *worker = task->late_worker;

  if (worker->listed_at >= task->late_until)
    return false;
  if (task->late_is_unanswered && !task->stage->step->long_running)
    return now.mono < task->late_until + LISTING_WAIT_US;
  return worker->registered
         && now.mono < task->late_until + SHORT_LISTING_WAIT_US;
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

bool
late_forbids_start (const struct task *task, struct kq_sched_now now)
{
  const struct worker *worker = late_worker (task, now);

  return worker != NULL
         && (worker->listed_at == 0 || worker->suspect_count > 0
             || needs_another_worker (task));
}

void
late_ask (struct kq_sched *sched, const struct task *task,
          struct kq_sched_now now)
{
  struct worker *worker = late_worker (task, now);

  if (worker == NULL || now.mono < task->late_until
      || worker->late_asked_at >= task->late_until)
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

/* Tasks that crash the workers that start them (crash_*).
 *
 * A run settles when its worker lists it some time after its start.  Each task
 * whose run had not settled when its worker was lost may be the cause: the
 * loss counts for it, and it goes on where no other such task starts, so that
 * the next loss tells them apart.  A task with too many losses is given up,
 * and its job fails.  A run that settles clears the count.
 */
#include <stdio.h>

#include "log/log.h"
#include "sched/internal.h"

/* A run has settled if a poll that was sent this long after the first sign of
   it lists it: its worker may have carried out the order late. */
#define SETTLE_US (500 * KQ_USEC_PER_MSEC)

/* A restored run that was bound within this time before, on another host's
   clock, may have crashed its worker without an earlier owner noticing: longer
   than a lease and two takeovers. */
#define UNNOTICED_CRASH_MS 20000

/* A task is given up after so many workers have crashed under its runs; after
   fewer if the last crash can have no other cause; and after so many losses of
   any kind, since a worker may crash before its reply to a start arrives. */
#define MAX_CRASHES 3
#define MAX_CRASHES_ALONE 2
#define MAX_LOSSES 4

static int
count_losses (const struct task *task)
{
  return task->crashes + task->unproven_crashes;
}

/* A run that was placed this long before its task is restored has settled: the
   leases at a crashed worker would have lapsed since. */
#define RESTORED_SETTLED_MS 10000

bool
crash_is_suspect (const struct task *task)
{
  return count_losses (task) > 0;
}

bool
crash_is_on_trial (const struct task *task)
{
  return crash_is_suspect (task) && !task->settled;
}

void
crash_note_restored (struct task *task, int64_t placed_ms,
                     struct kq_sched_now now)
{
  task->placed_ms = placed_ms;
  task->placed_lately = placed_ms > now.wall_ms - UNNOTICED_CRASH_MS
                        && placed_ms < now.wall_ms + UNNOTICED_CRASH_MS;
}

void
crash_note_start (struct task *task)
{
  task->incarnation_ms = task->worker->report.incarnation_ms;
}

void
crash_note_accepted (struct task *task, struct kq_sched_now now)
{
  if (task->accepted_at == 0)
    task->accepted_at = now.mono;
}

static void
clear_suspicion (struct kq_sched *sched, struct task *task)
{
  if (crash_is_on_trial (task) && task->state == TASK_BOUND)
    task->worker->suspect_count--;
  if (crash_is_suspect (task))
    job_mark_dirty (sched, task->stage->job);
  task->settled = true;
  task->crashes = 0;
  task->unproven_crashes = 0;
}

void
crash_note_listed (struct kq_sched *sched, struct task *task, kq_usec sent_at,
                   struct kq_sched_now now)
{
  crash_note_accepted (task, now);
  if (!task->settled && sent_at - task->accepted_at >= SETTLE_US)
    clear_suspicion (sched, task);
}

void
crash_note_end (struct kq_sched *sched, struct task *task)
{
  clear_suspicion (sched, task);
}

/* Whether the run of TASK may have begun and crashed its worker before it
   settled. A restored run may have settled before, unless workers were lost
   under the task already or earlier owners had little time to notice. */
static bool
may_have_crashed (const struct task *task)
{
  return task->phase != PHASE_STORING && !task->settled
         && (task->phase != PHASE_RESTORED || crash_is_suspect (task)
             || task->placed_lately);
}

bool
crash_has_one_cause (const struct worker *worker)
{
  const struct job *job = NULL;
  const struct task *task;

  DL_FOREACH (worker->tasks, task)
  {
    if (!may_have_crashed (task))
      continue;
    if (job != NULL && task->stage->job != job)
      return false;
    job = task->stage->job;
  }
  return true;
}

static bool
is_given_up (const struct task *task, bool crash, bool one_cause)
{
  return task->crashes >= MAX_CRASHES || count_losses (task) >= MAX_LOSSES
         || (crash && one_cause && task->crashes >= MAX_CRASHES_ALONE);
}

/* Ends the run of TASK at a lost worker. PROVEN: the worker has crashed. */
static void
end_lost_run (struct kq_sched *sched, struct task *task,
              struct kq_sched_now now, const char *why, bool proven,
              bool one_cause)
{
  struct job *job = task->stage->job;
  bool counts = may_have_crashed (task);
  bool crash = proven && task->accepted_at != 0;
  char text[32];

  task_end_run (sched, task, now, why);
  if (!counts)
    return;
  if (crash)
    task->crashes++;
  else
    task->unproven_crashes++;
  sched->counts.crashes++;
  snprintf (text, sizeof text, "%d crashes of %d losses", task->crashes,
            count_losses (task));
  task_log (task, "worker lost before the run settled", text);
  if (is_given_up (task, crash, one_cause))
    {
      job->given_up = true;
      sched->job_given_up = true;
    }
}

void
crash_end_jobs (struct kq_sched *sched, struct kq_sched_now now)
{
  struct job *job;
  struct job *next;

  if (!sched->job_given_up)
    return;
  sched->job_given_up = false;
  HASH_ITER (hh, sched->jobs, job, next)
  {
    if (!job->given_up || job_has_ended (job))
      continue;
    job_log (job, "job given up", "a task crashes its workers");
    job_end (sched, job, KQ_SCHED_FAILED_JOB, now);
  }
}

void
crash_end_runs (struct kq_sched *sched, struct worker *worker,
                struct kq_sched_now now, const char *why, bool proven)
{
  bool one_cause = crash_has_one_cause (worker);
  struct task *task;
  struct task *next;

  DL_FOREACH_SAFE (worker->tasks, task, next)
  {
    if (task->phase == PHASE_STORING)
      continue;
    if (worker->report.draining)
      task_end_run (sched, task, now, why);
    else
      end_lost_run (sched, task, now, why, proven, one_cause);
  }
  crash_end_jobs (sched, now);
}

void
crash_end_missing_run (struct kq_sched *sched, struct task *task,
                       struct kq_sched_now now, const char *why,
                       bool one_cause)
{
  const struct worker *worker = task->worker;

  if (worker->report.incarnation_ms > task->incarnation_ms
      && task->incarnation_ms != 0 && !worker->ended_as_announced)
    end_lost_run (sched, task, now, why, true, one_cause);
  else
    task_end_run (sched, task, now, why);
}

/* Applies the status that a worker returns to a poll (status_*): the lists of
 * its running and of its ended runs.
 */
#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include <xxhash.h>

#include "log/log.h"
#include "sched/checkpoint.h"
#include "sched/crash.h"
#include "sched/disruption.h"
#include "sched/internal.h"
#include "sched/late.h"

/* A task whose progress has not changed for this long plus a tenth of its
   estimate has stalled. */
#define STALL_TIME_US (1500 * KQ_USEC_PER_MSEC)
#define STALL_ESTIMATE_DIVISOR 10

/* A task waits so long for the end of a run that a worker lists and that this
   owner took for settled: two polls, and the time of a stop. */
#define OTHER_RUN_WAIT_US (2000 * KQ_USEC_PER_MSEC)

/* A worker where a task has stalled, or where tasks of several jobs have
   failed in a row, gets no tasks for this long; then it is tried again. */
#define QUARANTINE_US (5 * KQ_USEC_PER_SEC)
#define MAX_CONSECUTIVE_FAILED_JOBS 2

static const char *const end_names[]
    = { "done", "failed", "stopped", "lapsed", "broken", "alone" };

static struct task *
find_task (struct kq_sched *sched, const struct kq_sched_run *run)
{
  struct job *job = job_find (sched, run->job);

  return job == NULL ? NULL : job_task (job, run);
}

static bool
is_current (const struct task *task, const struct worker *worker, int run)
{
  return task->state == TASK_BOUND && task->run == run
         && task->worker == worker;
}

static void
quarantine (struct worker *worker, struct kq_sched_now now, const char *why)
{
  worker->quarantined_until = now.mono + QUARANTINE_US;
  kq_log (KQ_LOG_WARN, "sched", "worker quarantined", 0, "worker",
          worker->report.id, "why", why, NULL);
}

static void
count_failed_job (struct worker *worker, const struct task *task,
                  struct kq_sched_now now)
{
  uint64_t job = task->stage->job->id;

  if (worker->failed_jobs > 0 && worker->last_failed_job == job)
    return;
  worker->last_failed_job = job;
  worker->failed_jobs++;
  if (worker->failed_jobs >= MAX_CONSECUTIVE_FAILED_JOBS)
    quarantine (worker, now, "consecutive task failures of several jobs");
}

/* Gives all members of a gang CHECKPOINT, which the member TASK has reached,
   if it is the newest: of a later run, or of a member with more progress.  Any
   member may resume from it, but all must resume from the same.  The starts of
   a run are sent together, so that it does not change between them. */
static void
update_gang_checkpoint (struct kq_sched *sched, struct task *task,
                        const char *checkpoint)
{
  struct stage *stage = task->stage;
  uint64_t hash = XXH64 (checkpoint, strlen (checkpoint), 0);

  if (hash == task->listed_checkpoint)
    return;
  task->listed_checkpoint = hash;
  if (task->run < stage->checkpoint_run
      || (task->run == stage->checkpoint_run
          && task->percent < stage->checkpoint_percent))
    return;
  if (!checkpoint_set (sched, task, checkpoint))
    return;
  stage->checkpoint_run = task->run;
  stage->checkpoint_percent = task->percent;
  for (int i = 0; i < stage->step->count; i++)
    checkpoint_share (sched, &stage->tasks[i], task);
}

static void
update_checkpoint (struct kq_sched *sched, struct task *task,
                   const char *checkpoint)
{
  if (checkpoint == NULL || checkpoint[0] == '\0')
    return;
  if (task->stage->step->gang)
    update_gang_checkpoint (sched, task, checkpoint);
  else
    checkpoint_set (sched, task, checkpoint);
}

/* Ends a run without completing its task; the task becomes ready again. */
static void
end_interrupted_run (struct kq_sched *sched, struct task *task,
                     const struct kq_sched_ended *ended,
                     struct kq_sched_now now)
{
  update_checkpoint (sched, task, ended->checkpoint);
  task_end_run (sched, task, now, end_names[ended->how]);
}

static void
apply_end (struct kq_sched *sched, struct worker *worker,
           const struct kq_sched_ended *ended, struct kq_sched_now now)
{
  struct task *task = find_task (sched, &ended->run);
  bool current;

  if (task == NULL)
    return;
  sched->counts.ends[ended->how]++;
  /* An earlier owner may have started it. */
  task->stage->job->started = true;
  current = is_current (task, worker, ended->run.run);
  if (current)
    {
      late_note_settled (task);
      crash_note_end (sched, task, ended->how);
    }
  else
    {
      task->other_run_until = 0;
      late_note_ended (task, worker);
    }
  if (ended->how == KQ_SCHED_DONE && !task->stage->step->long_running)
    {
      worker->failed_jobs = 0;
      if (current)
        task_log_routine (task, "task done");
      else
        task_log (task, "task done", "completed by an earlier run");
      if (task->state == TASK_BOUND && !current)
        {
          task_stop (sched, task, now);
          if (task->state == TASK_BOUND)
            late_note_run_over (sched, task);
        }
      job_task_done (sched, task, now);
      return;
    }
  if (ended->how == KQ_SCHED_FAILED && task->state != TASK_DONE)
    {
      count_failed_job (worker, task, now);
      place_avoid_worker (task, worker, now);
      job_task_failed (sched, task, ended->run.run, now);
    }
  if (current && task->state == TASK_BOUND)
    end_interrupted_run (sched, task, ended, now);
}

/* Ends are numbered without gaps: an end that is missing before NUMBER was
   acknowledged by an order that this owner did not mean for this
   incarnation. */
static void
check_unread_ends (struct kq_sched *sched, const struct worker *worker,
                   int64_t number)
{
  char count[24];

  if (!worker->ends_known || number <= worker->last_end + 1)
    return;
  sched->counts.unread_ends += number - worker->last_end - 1;
  snprintf (count, sizeof count, "%" PRId64, number - worker->last_end - 1);
  kq_log (KQ_LOG_WARN, "sched", "ends acknowledged unread", 0, "worker",
          worker->report.id, "ends", count, NULL);
}

/* If a run of a task that is over may begin after all, its end is not
   acknowledged before: an end that a worker loses unacknowledged has not been
   taken note of, and another start may follow it. */
static void
hold_end (struct kq_sched *sched, struct worker *worker,
          const struct kq_sched_ended *ended, struct kq_sched_now now)
{
  const struct task *task = find_task (sched, &ended->run);
  kq_usec until = task != NULL ? late_until (task, now) : 0;

  if (until > now.mono
      && (ended->how == KQ_SCHED_DONE || ended->how == KQ_SCHED_FAILED))
    late_hold_end (worker, ended->number, until);
}

static void
apply_ends (struct kq_sched *sched, struct worker *worker,
            const struct kq_sched_status *worker_status,
            struct kq_sched_now now)
{
  for (size_t i = 0; i < worker_status->ended_count; i++)
    {
      if (worker_status->ended[i].number <= worker->last_end)
        continue;
      check_unread_ends (sched, worker, worker_status->ended[i].number);
      apply_end (sched, worker, &worker_status->ended[i], now);
      hold_end (sched, worker, &worker_status->ended[i], now);
      worker->last_end = worker_status->ended[i].number;
      worker->last_end_position
          = sched->dirty != NULL ? sched->position : sched->position - 1;
    }
  worker->forgotten_end = worker_status->ended_count > 0
                              ? worker_status->ended[0].number - 1
                              : worker->last_end;
  if (worker->last_end_position <= sched->stored)
    worker->acked_end = late_last_free_end (worker, now);
}

static bool
is_stalled (const struct task *task, struct kq_sched_now now)
{
  kq_usec limit = STALL_TIME_US
                  + task->stage->step->est_ms * KQ_USEC_PER_MSEC
                        / STALL_ESTIMATE_DIVISOR;

  return task->percent < 100 && task->pace_percent == 100 && !task->stop_wanted
         && now.mono - task->progress_at > limit;
}

/* Notes that WORKER runs what an order for an earlier incarnation began: the
   end of its lease may be one on that one's clock. */
static void
note_order_by_earlier_clock (struct kq_sched *sched, struct worker *worker)
{
  if (worker->has_long_lease)
    return;
  grant_set_long_lease (sched, worker, true);
  worker_note_lease (worker, worker->worker_clock_ms + KQ_SCHED_MAX_LEASE_MS);
  worker->long_lease_until = worker->last_reply_at + MAX_LAPSE_US;
}

static void
apply_progress (struct kq_sched *sched, struct task *task,
                const struct kq_sched_running *row, kq_usec sent_at,
                struct kq_sched_now now)
{
  late_note_settled (task);
  if (task->incarnation_ms != 0 && task->percent < 0
      && task->incarnation_ms < task->worker->report.incarnation_ms)
    note_order_by_earlier_clock (sched, task->worker);
  if (task->phase == PHASE_START_SENT || task->phase == PHASE_RESTORED
      || task->phase == PHASE_UNCONFIRMED)
    {
      if (task->phase != PHASE_UNCONFIRMED || !task->stop_wanted)
        {
          /* Status replies may arrive out of order: a poll sent before this
             moment may not report the run yet. */
          task->phase = PHASE_RUNNING;
          task->phase_since = now.mono;
        }
      task->progress_at = now.mono;
    }
  if (row->percent != task->percent)
    task->progress_at = now.mono;
  task->percent = row->percent;
  task->sample = row->sample;
  disruption_update (task);
  update_checkpoint (sched, task, row->checkpoint);
  crash_note_listed (sched, task, sent_at, now);
  if (is_stalled (task, now))
    {
      sched->counts.stalls++;
      task_log (task, "task stalled", "");
      place_avoid_worker (task, task->worker, now);
      quarantine (task->worker, now, "a task stalled");
      task_stop (sched, task, now);
    }
}

/* Logs and counts a run of TASK, listed by WORKER, that is not its current
   one: once until its end is listed or it is not listed any more. */
static void
note_second_run (struct kq_sched *sched, const struct task *task,
                 const struct worker *worker, const struct kq_sched_run *run,
                 kq_usec sent_at, struct kq_sched_now now)
{
  static const char *const states[] = { [TASK_WAITING] = "waiting",
                                        [TASK_READY] = "ready",
                                        [TASK_BOUND] = "bound",
                                        [TASK_DONE] = "done" };
  char name[64];
  char listed[16];
  char current[16];
  char age[24];

  /* A list that one of a later poll has overtaken proves nothing. */
  if (task_awaits_other_run (task, now) || sent_at < worker->listed_at)
    return;
  if (task->state == TASK_BOUND || task->state == TASK_DONE)
    sched->counts.second_runs++;
  run_format (run, name);
  snprintf (listed, sizeof listed, "%d", run->run);
  snprintf (current, sizeof current, "%d", task->run);
  snprintf (age, sizeof age, "%" PRId64,
            late_order_age_ms (task, worker, now));
  kq_log (KQ_LOG_WARN, "sched", "another run of a task listed", 0, "task",
          name, "run", listed, "worker", worker->report.id, "state",
          states[task->state], "current_run", current, "current_worker",
          task->worker != NULL ? task->worker->report.id : "", "order_age_ms",
          age, NULL);
}

/* A run without a current task must not continue. */
static void
stop_unknown_run (struct kq_sched *sched, struct worker *worker,
                  const struct kq_sched_run *run)
{
  struct kq_sched_effect *effect
      = sched_add_effect (sched, KQ_SCHED_FX_STOP, 0);
  char name[64];

  if (effect == NULL)
    return;
  run_format (run, name);
  kq_log (KQ_LOG_WARN, "sched", "unknown run reported, stopping it", 0, "task",
          name, "worker", worker->report.id, NULL);
  effect->u.order.run = *run;
  snprintf (effect->u.order.worker, sizeof effect->u.order.worker, "%s",
            worker->report.id);
}

static bool
is_reported_running (const struct kq_sched_status *worker_status,
                     const struct task *task)
{
  struct kq_sched_run run = task_run (task);

  for (size_t i = 0; i < worker_status->running_count; i++)
    {
      const struct kq_sched_run *row = &worker_status->running[i].run;

      if (row->job == run.job && row->occurrence == run.occurrence
          && row->step == run.step && row->index == run.index
          && row->run == run.run)
        return true;
    }
  return false;
}

/* A run that the worker accepted, or that was restored, before the poll was
   sent and that is in neither list of the status has been lost and cannot
   appear later. One whose start had no reply may appear yet: a stop settles
   it. */
static void
end_missing_runs (struct kq_sched *sched, struct worker *worker,
                  const struct kq_sched_status *worker_status, kq_usec sent_at,
                  struct kq_sched_now now)
{
  struct task *task;
  struct task *next;
  bool one_cause = crash_has_one_cause (worker);

  DL_FOREACH_SAFE (worker->tasks, task, next)
  {
    bool replied_or_restored = task->phase == PHASE_RUNNING
                               || task->phase == PHASE_STOPPING
                               || task->phase == PHASE_RESTORED;

    if (task->phase_since >= sent_at
        || is_reported_running (worker_status, task))
      continue;
    if (replied_or_restored)
      crash_end_missing_run (sched, task, now, "run not found at the worker",
                             one_cause);
    else if (task->phase == PHASE_UNCONFIRMED && !task->stop_wanted)
      task_stop (sched, task, now);
  }
  crash_end_jobs (sched, now);
}

void
status_apply (struct kq_sched *sched, struct worker *worker,
              struct kq_sched_now now, kq_usec sent_at,
              const struct kq_sched_status *worker_status)
{
  apply_ends (sched, worker, worker_status, now);
  for (size_t i = 0; i < worker_status->running_count; i++)
    {
      const struct kq_sched_running *row = &worker_status->running[i];
      struct task *task = find_task (sched, &row->run);

      if (task != NULL)
        task->stage->job->started = true;
      if (task != NULL && is_current (task, worker, row->run.run))
        apply_progress (sched, task, row, sent_at, now);
      else
        {
          if (task != NULL)
            {
              note_second_run (sched, task, worker, &row->run, sent_at, now);
              task->other_run_until = now.mono + OTHER_RUN_WAIT_US;
              late_note_listed (task, worker);
            }
          stop_unknown_run (sched, worker, &row->run);
        }
    }
  /* If the list of ended runs is full, some may be missing. */
  if (worker_status->ended_count < KQ_SCHED_MAX_STATUS_ENDS
      && !worker_status->has_unread_rows)
    end_missing_runs (sched, worker, worker_status, sent_at, now);
  share_update (sched, worker, now);
}

/* Takes in what a worker says it runs and what has ended there. */
#include <stdio.h>
#include <string.h>

#include "log/log.h"
#include "sched/internal.h"

/* A task whose progress does not change for this long, and a tenth of its
   estimate, stands still. */
#define STALL_TIME (1500 * KQ_USEC_PER_MSEC)
#define STALL_SHARE_OF_ESTIMATE 10

/* A worker where tasks stand still, or where those of several jobs fail in
   a row, gets no work for this long; then it is tried again. */
#define SHUN_TIME (5 * KQ_USEC_PER_SEC)
#define FAILED_JOBS_IN_A_ROW 2

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
shun (struct worker *worker, struct kq_sched_now now, const char *why)
{
  worker->shunned_until = now.mono + SHUN_TIME;
  kq_log (KQ_LOG_WARN, "sched", "worker shunned", 0, "worker",
          worker->report.id, "why", why, NULL);
}

static void
judge_failure (struct worker *worker, const struct task *task,
               struct kq_sched_now now)
{
  uint64_t job = task->stage->job->id;

  if (worker->failed_jobs > 0 && worker->last_failed_job == job)
    return;
  worker->last_failed_job = job;
  worker->failed_jobs++;
  if (worker->failed_jobs >= FAILED_JOBS_IN_A_ROW)
    shun (worker, now, "tasks of several jobs failed in a row");
}

static void
take_checkpoint (struct task *task, const char *checkpoint)
{
  if (checkpoint[0] != '\0')
    snprintf (task->checkpoint, sizeof task->checkpoint, "%s", checkpoint);
}

/* An end that makes no task done or failed: it is ready again. */
static void
take_interruption (struct kq_sched *sched, struct task *task,
                   const struct kq_sched_ended *ended, struct kq_sched_now now)
{
  take_checkpoint (task, ended->checkpoint);
  task_settle (sched, task, now, end_names[ended->how]);
}

static void
take_end (struct kq_sched *sched, struct worker *worker,
          const struct kq_sched_ended *ended, struct kq_sched_now now)
{
  struct task *task = find_task (sched, &ended->run);
  bool current;

  if (task == NULL)
    return;
  sched->counts.ends[ended->how]++;
  current = is_current (task, worker, ended->run.run);
  if (ended->how == KQ_SCHED_DONE && !task->stage->step->lasting)
    {
      worker->failed_jobs = 0;
      task_log (task, "task done", current ? "" : "an earlier run");
      if (task->state == TASK_BOUND && !current)
        task_stop (sched, task, now);
      job_task_done (sched, task, now);
      return;
    }
  if (ended->how == KQ_SCHED_FAILED && task->state != TASK_DONE)
    {
      judge_failure (worker, task, now);
      task->shunned = worker;
      job_task_failed (sched, task, ended->run.run, now);
    }
  if (current && task->state == TASK_BOUND)
    take_interruption (sched, task, ended, now);
}

static void
take_ends (struct kq_sched *sched, struct worker *worker,
           const struct kq_sched_listing *listing, struct kq_sched_now now)
{
  for (size_t i = 0; i < listing->ended_count; i++)
    {
      if (listing->ended[i].number <= worker->seen)
        continue;
      take_end (sched, worker, &listing->ended[i], now);
      worker->seen = listing->ended[i].number;
      worker->seen_position
          = sched->dirty != NULL ? sched->position : sched->position - 1;
    }
  if (worker->seen_position <= sched->stored)
    worker->seen_stored = worker->seen;
}

static bool
stands_still (const struct task *task, struct kq_sched_now now)
{
  kq_usec limit = STALL_TIME
                  + task->stage->step->est_ms * KQ_USEC_PER_MSEC
                        / STALL_SHARE_OF_ESTIMATE;

  return task->percent < 100 && task->pace == 100 && !task->stop_wanted
         && now.mono - task->percent_at > limit;
}

static void
take_progress (struct kq_sched *sched, struct task *task,
               const struct kq_sched_running *row, struct kq_sched_now now)
{
  struct job *job = task->stage->job;

  if (task->phase == PHASE_ORDERED || task->phase == PHASE_RESTORED
      || task->phase == PHASE_DOUBTFUL)
    {
      if (task->phase != PHASE_DOUBTFUL)
        {
          /* Looks overtake each other: one that was sent before this moment
             may not have seen the run yet. */
          task->phase = PHASE_AT_WORK;
          task->phase_at = now.mono;
        }
      task->percent_at = now.mono;
      job->started = true;
    }
  if (row->percent != task->percent)
    task->percent_at = now.mono;
  task->percent = row->percent;
  task->figure = row->figure;
  take_checkpoint (task, row->checkpoint);
  if (stands_still (task, now))
    {
      sched->counts.stalls++;
      task_log (task, "task stands still", "");
      task->shunned = task->worker;
      shun (task->worker, now, "a task stands still");
      task_stop (sched, task, now);
    }
}

/* A run that no record knows must not go on. */
static void
stop_stranger (struct kq_sched *sched, struct worker *worker,
               const struct kq_sched_run *run)
{
  struct kq_sched_effect *effect
      = sched_add_effect (sched, KQ_SCHED_FX_STOP, 0);
  char name[64];

  if (effect == NULL)
    return;
  run_format (run, name);
  kq_log (KQ_LOG_WARN, "sched", "run without a task", 0, "task", name,
          "worker", worker->report.id, NULL);
  effect->u.order.run = *run;
  snprintf (effect->u.order.worker, sizeof effect->u.order.worker, "%s",
            worker->report.id);
}

static bool
is_listed (const struct kq_sched_listing *listing, const struct task *task)
{
  struct kq_sched_run run = task_run (task);

  for (size_t i = 0; i < listing->running_count; i++)
    {
      const struct kq_sched_run *row = &listing->running[i].run;

      if (row->job == run.job && row->occurrence == run.occurrence
          && row->step == run.step && row->index == run.index
          && row->run == run.run)
        return true;
    }
  return false;
}

/* What was answered before the worker was asked, and is in neither list, is
   not there and never will be. */
static void
settle_missing (struct kq_sched *sched, struct worker *worker,
                const struct kq_sched_listing *listing, kq_usec sent_at,
                struct kq_sched_now now)
{
  struct task *task;
  struct task *next;

  DL_FOREACH_SAFE (worker->tasks, task, next)
  {
    bool answered = task->phase == PHASE_AT_WORK
                    || task->phase == PHASE_STOPPING
                    || task->phase == PHASE_RESTORED;

    if (answered && task->phase_at < sent_at && !is_listed (listing, task))
      task_settle (sched, task, now, "not at the worker");
  }
}

void
listing_take (struct kq_sched *sched, struct worker *worker,
              struct kq_sched_now now, kq_usec sent_at,
              const struct kq_sched_listing *listing)
{
  take_ends (sched, worker, listing, now);
  for (size_t i = 0; i < listing->running_count; i++)
    {
      const struct kq_sched_running *row = &listing->running[i];
      struct task *task = find_task (sched, &row->run);

      if (task != NULL && is_current (task, worker, row->run.run))
        take_progress (sched, task, row, now);
      else
        stop_stranger (sched, worker, &row->run);
    }
  /* A full list of ends may leave out some. */
  if (listing->ended_count < KQ_SCHED_LISTED_ENDS)
    settle_missing (sched, worker, listing, sent_at, now);
  share_judge (sched, worker, now);
}

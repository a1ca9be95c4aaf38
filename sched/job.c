/* Jobs: their stages and tasks, expected run times and objectives, and their
 * progress up to completion, failure or cancellation.
 */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/err.h"
#include "log/log.h"
#include "sched/checkpoint.h"
#include "sched/internal.h"
#include "sched/late.h"
#include "sched/retention.h"
#include "sched/tombstone.h"

/* Of so many last runs of a task it is known which have failed; an end of an
   earlier one that is reported now has been counted. */
#define MAX_DISTINCT_RUNS 64

void
job_log (const struct job *job, const char *event, const char *why)
{
  char id[24];

  snprintf (id, sizeof id, "%016" PRIx64, job->id);
  kq_log (KQ_LOG_INFO, "sched", event, 0, "job", id, "queue", job->queue_name,
          "why", why, NULL);
}

/* Logs how long the job took and how much time of its objective remained. */
static void
log_end (const struct job *job)
{
  int64_t due = job->stages[job->stage_count - 1].due_ms;
  char id[24];
  char after[24];
  char remaining[24];

  snprintf (id, sizeof id, "%016" PRIx64, job->id);
  snprintf (after, sizeof after, "%" PRId64, job->ended_ms - job->accepted_ms);
  snprintf (remaining, sizeof remaining, "%" PRId64, due - job->ended_ms);
  kq_log (KQ_LOG_INFO, "sched",
          job->state == KQ_SCHED_COMPLETE ? "job complete" : "job failed", 0,
          "job", id, "queue", job->queue_name, "after_ms", after, "left_ms",
          remaining, NULL);
}

struct job *
job_find (struct kq_sched *sched, uint64_t id)
{
  struct job *job;

  HASH_FIND (hh, sched->jobs, &id, sizeof id, job);
  return job;
}

bool
job_has_ended (const struct job *job)
{
  return job->state >= KQ_SCHED_COMPLETE;
}

bool
job_has_bound_task (const struct job *job)
{
  for (int i = 0; i < job->stage_count; i++)
    for (int j = 0; j < job->stages[i].step->count; j++)
      if (job->stages[i].tasks[j].state == TASK_BOUND)
        return true;
  return false;
}

static int
occurrence_count (const struct job *job)
{
  return job->spec.times > 0 ? job->spec.times : 1;
}

static struct stage *
stage_at (const struct job *job, int occurrence, int step)
{
  return &job->stages[(size_t)occurrence * (size_t)job->spec.step_count
                      + (size_t)step];
}

struct task *
job_task (struct job *job, const struct kq_sched_run *run)
{
  struct stage *stage;

  if (run->occurrence < 0 || run->occurrence >= occurrence_count (job)
      || run->step < 0 || run->step >= job->spec.step_count)
    return NULL;
  stage = stage_at (job, run->occurrence, run->step);
  if (run->index < 0 || run->index >= stage->step->count)
    return NULL;
  return &stage->tasks[run->index];
}

struct queue_run_times *
job_run_times (struct kq_sched *sched, const char *queue)
{
  struct queue_run_times *lengths;

  LL_FOREACH (sched->lengths, lengths)
  {
    if (strcmp (lengths->queue, queue) == 0)
      return lengths;
  }
  lengths = calloc (1, sizeof *lengths);
  if (lengths == NULL)
    return NULL;
  snprintf (lengths->queue, sizeof lengths->queue, "%s", queue);
  LL_PREPEND (sched->lengths, lengths);
  return lengths;
}

/* Fillers are throttled, so that their run times carry no information. */
static bool
has_learnable_length (const struct kq_sched_step *step)
{
  return !step->filler && !step->long_running && !step->gang;
}

/* Fills LENGTHS with the expected run time of each step in ms. */
static void
estimate_lengths (struct kq_sched *sched, const struct job *job,
                  int64_t *lengths)
{
  const struct queue_run_times *known = job_run_times (sched, job->queue_name);

  for (int i = 0; i < job->spec.step_count; i++)
    {
      const struct kq_sched_step *step = &job->spec.steps[i];

      lengths[i] = step->est_ms;
      if (known != NULL && has_learnable_length (step))
        lengths[i] = kq_length_estimate (&known->length, step->est_ms);
      lengths[i] += job->queue.advise_ms;
    }
}

static void
learn_length (struct kq_sched *sched, const struct task *task,
              struct kq_sched_now now)
{
  struct stage *stage = task->stage;
  int64_t took_ms = (now.mono - task->phase_since) / KQ_USEC_PER_MSEC;
  struct queue_run_times *lengths;
  double factor;

  if (task->state != TASK_BOUND || task->phase != PHASE_RUNNING
      || task->checkpoint != NULL || !has_learnable_length (stage->step))
    return;
  admission_note_done (sched, task, now);
  /* What is learned is the length of a run near its data. */
  factor = rack_run_factor (sched, task);
  if (factor < 1)
    return;
  took_ms = (int64_t)((double)took_ms / factor);
  stage->measured_count++;
  if (took_ms > stage->longest_ms)
    stage->longest_ms = took_ms;
  if (stage->measured_count < stage->step->count)
    return;
  lengths = job_run_times (sched, stage->job->queue_name);
  if (lengths != NULL)
    kq_length_learn (&lengths->length, stage->step->est_ms, stage->longest_ms);
}

/* Returns the length in ms of the longest chain among the steps 0 to
   NUMBER. */
static int64_t
path_ms (const struct kq_sched_spec *spec, const int64_t *lengths, int number)
{
  int64_t chain[KQ_SCHED_MAX_STEPS] = { 0 };
  int64_t longest = 0;

  for (int i = 0; i <= number; i++)
    {
      const struct kq_sched_step *step = &spec->steps[i];

      for (int j = 0; j < step->after_count; j++)
        if (chain[step->after[j]] > chain[i])
          chain[i] = chain[step->after[j]];
      chain[i] += lengths[i];
      if (chain[i] > longest)
        longest = chain[i];
    }
  return longest;
}

int64_t
job_critical_path_ms (const struct kq_sched_spec *spec, const int64_t *lengths,
                      int number)
{
  int64_t rest[KQ_SCHED_MAX_STEPS] = { 0 };

  for (int i = spec->step_count - 1; i >= number; i--)
    {
      const struct kq_sched_step *step = &spec->steps[i];

      rest[i] += lengths[i];
      for (int j = 0; j < step->after_count; j++)
        if (rest[i] > rest[step->after[j]])
          rest[step->after[j]] = rest[i];
    }
  return rest[number];
}

/* Returns the wall clock by which OCCURRENCE should end. */
static int64_t
due_ms (const struct job *job, const int64_t *lengths, int occurrence)
{
  int64_t from = job->accepted_ms;
  int64_t chain = path_ms (&job->spec, lengths, job->spec.step_count - 1);

  if (job->spec.times > 0)
    from = job->spec.start_ms + occurrence * job->spec.interval_ms;
  return from + job->queue.slo_ms
         + (int64_t)(job->queue.stretch * (double)chain);
}

/* Returns how long admission expects the tasks of STEP to run, for which
   LENGTH is expected otherwise. Gangs are not measured, and their callers may
   be far off: the other steps of the queue are a bound. */
static int64_t
bounded_length_ms (struct kq_sched *sched, const struct job *job,
                   const struct kq_sched_step *step, int64_t length)
{
  const struct queue_run_times *known = job_run_times (sched, job->queue_name);
  int64_t learned;

  if (!step->gang || known == NULL)
    return length;
  learned = kq_length_estimate (&known->length, step->est_ms);
  return learned < length ? learned : length;
}

int
job_build (struct kq_sched *sched, struct job *job)
{
  int64_t lengths[KQ_SCHED_MAX_STEPS] = { 0 };

  estimate_lengths (sched, job, lengths);
  job->stage_count = occurrence_count (job) * job->spec.step_count;
  job->stages = calloc ((size_t)job->stage_count, sizeof *job->stages);
  if (job->stages == NULL)
    return KQ_ENOMEM;
  for (int i = 0; i < job->stage_count; i++)
    {
      struct stage *stage = &job->stages[i];

      stage->job = job;
      stage->number = i % job->spec.step_count;
      stage->occurrence = i / job->spec.step_count;
      stage->step = &job->spec.steps[stage->number];
      stage->image = kq_interference_image (sched->interference_model,
                                            stage->step->image);
      stage->critical_path_ms
          = job_critical_path_ms (&job->spec, lengths, stage->number);
      stage->due_ms = due_ms (job, lengths, stage->occurrence);
      job->names_rack |= stage->step->rack[0] != '\0';
      stage->length_ms
          = bounded_length_ms (sched, job, stage->step,
                               lengths[stage->number] - job->queue.advise_ms);
      stage->tasks = calloc ((size_t)stage->step->count, sizeof *stage->tasks);
      if (stage->tasks == NULL)
        return KQ_ENOMEM;
      for (int j = 0; j < stage->step->count; j++)
        {
          stage->tasks[j].stage = stage;
          stage->tasks[j].index = j;
        }
    }
  return 0;
}

void
job_destroy (struct kq_sched *sched, struct job *job)
{
  record_clear_dirty (sched, job);
  HASH_DEL (sched->jobs, job);
  for (int i = 0; job->stages != NULL && i < job->stage_count; i++)
    {
      advice_clear (&job->stages[i]);
      for (int j = 0;
           job->stages[i].tasks != NULL && j < job->stages[i].step->count; j++)
        {
          crash_forget (sched, &job->stages[i].tasks[j]);
          late_forget_earlier (&job->stages[i].tasks[j]);
          checkpoint_clear (sched, &job->stages[i].tasks[j]);
        }
      free (job->stages[i].tasks);
    }
  free (job->stages);
  free (job->part_hashes);
  kq_sched_spec_clear (&job->spec);
  free (job->body);
  free (job);
}

void
job_mark_dirty (struct kq_sched *sched, struct job *job)
{
  job->changed_position = sched->position;
  if (job->dirty)
    return;
  job->dirty = true;
  DL_APPEND2 (sched->dirty, job, dirty_prev, dirty_next);
}

static bool
prerequisites_done (const struct stage *stage)
{
  const struct stage *first = stage_at (stage->job, stage->occurrence, 0);

  for (int i = 0; i < stage->step->after_count; i++)
    {
      const struct stage *prerequisite = &first[stage->step->after[i]];

      if (prerequisite->done_count < prerequisite->step->count)
        return false;
    }
  return true;
}

static void
open_stage (struct kq_sched *sched, struct stage *stage,
            struct kq_sched_now now)
{
  if (stage->open || !prerequisites_done (stage))
    return;
  stage->open = true;
  stage->opened_at = now.mono;
  for (int i = 0; i < stage->step->count; i++)
    if (stage->tasks[i].state == TASK_WAITING)
      {
        task_make_ready (sched, &stage->tasks[i], now);
        crash_hold_restored (sched, &stage->tasks[i], now);
      }
}

static void
open_occurrence (struct kq_sched *sched, struct job *job, int occurrence,
                 struct kq_sched_now now)
{
  struct stage *first = stage_at (job, occurrence, 0);

  for (int i = 0; i < job->spec.step_count; i++)
    open_stage (sched, &first[i], now);
}

void
job_open_due_occurrences (struct kq_sched *sched, struct job *job,
                          struct kq_sched_now now)
{
  if (job_has_ended (job))
    return;
  while (job->occurrences_opened < occurrence_count (job))
    {
      int64_t due = job->spec.start_ms
                    + job->occurrences_opened * job->spec.interval_ms;

      if (job->spec.times > 0 && now.wall_ms < due)
        return;
      open_occurrence (sched, job, job->occurrences_opened, now);
      job->occurrences_opened++;
    }
}

static int64_t
ms_between (kq_usec from, kq_usec to)
{
  return to > from ? (to - from) / KQ_USEC_PER_MSEC : 0;
}

/* Logs when the tasks of STAGE found a worker and how long they took, counted
   from when its prerequisites were done. */
static void
log_stage_done (const struct stage *stage, struct kq_sched_now now)
{
  enum
  {
    OCCURRENCE,
    STEP,
    TASKS,
    RUNS,
    FIRST,
    LAST,
    TOOK,
    COUNT
  };
  const int64_t numbers[COUNT]
      = { [OCCURRENCE] = stage->occurrence,
          [STEP] = stage->number,
          [TASKS] = stage->step->count,
          [RUNS] = stage->run_count,
          [FIRST] = ms_between (stage->opened_at, stage->first_placed_at),
          [LAST] = ms_between (stage->opened_at, stage->last_placed_at),
          [TOOK] = ms_between (stage->opened_at, now.mono) };
  char text[COUNT][24];
  char id[24];

  for (int i = 0; i < COUNT; i++)
    snprintf (text[i], sizeof text[i], "%" PRId64, numbers[i]);
  snprintf (id, sizeof id, "%016" PRIx64, stage->job->id);
  kq_log (KQ_LOG_INFO, "sched", "step done", 0, "job", id, "queue",
          stage->job->queue_name, "occurrence", text[OCCURRENCE], "step",
          text[STEP], "tasks", text[TASKS], "runs", text[RUNS], "first_ms",
          text[FIRST], "last_ms", text[LAST], "took_ms", text[TOOK], NULL);
}

/* Ends JOB, all stages of which are done, unless an earlier run of one of its
   tasks may still begin: none begins once it is shown as complete. */
static void
complete_job (struct kq_sched *sched, struct job *job, struct kq_sched_now now)
{
  if (now.mono >= job->late_until)
    job_end (sched, job, KQ_SCHED_COMPLETE, now);
}

static void
stage_done (struct kq_sched *sched, struct stage *stage,
            struct kq_sched_now now)
{
  struct job *job = stage->job;

  log_stage_done (stage, now);
  job->stages_done++;
  if (job->stages_done == job->stage_count)
    complete_job (sched, job, now);
  else
    open_occurrence (sched, job, stage->occurrence, now);
}

static void
mark_done (struct kq_sched *sched, struct task *task, struct kq_sched_now now)
{
  if (late_until (task, now) > task->stage->job->late_until)
    task->stage->job->late_until = task->late_until;
  rack_note_release (sched, task, now);
  rack_end_wait (sched, task, false, "task ended", now);
  task_release (sched, task);
  task_clear_ready (sched, task);
  task->state = TASK_DONE;
  task->stage->done_count++;
}

void
job_task_done (struct kq_sched *sched, struct task *task,
               struct kq_sched_now now)
{
  struct stage *stage = task->stage;

  if (task->state == TASK_DONE)
    return;
  learn_length (sched, task, now);
  mark_done (sched, task, now);
  /* The first member of a gang that is done completes all members. */
  for (int i = 0; stage->step->gang && i < stage->step->count; i++)
    if (stage->tasks[i].state != TASK_DONE)
      mark_done (sched, &stage->tasks[i], now);
  stage->job->has_new_end = true;
  job_mark_dirty (sched, stage->job);
  if (stage->done_count == stage->step->count && !job_has_ended (stage->job))
    stage_done (sched, stage, now);
}

/* Moves the window of the runs of TASK that are told apart, so that it ends
   with RUN. */
static void
move_failed_window (struct task *task, int run)
{
  int shift = run - MAX_DISTINCT_RUNS - task->failed_base;
  uint64_t dropped = task->failed_runs;

  if (shift <= 0)
    return;
  if (shift < MAX_DISTINCT_RUNS)
    dropped &= (UINT64_C (1) << shift) - 1;
  task->failed_before += __builtin_popcountll (dropped);
  task->failed_runs
      = shift < MAX_DISTINCT_RUNS ? task->failed_runs >> shift : 0;
  task->failed_base += shift;
}

/* A set of runs instead of a counter: the worker may report an end again to a
   later owner, which must not count it twice. */
static void
note_failed_run (struct task *task, int run)
{
  move_failed_window (task, run);
  if (run > task->failed_base)
    task->failed_runs |= UINT64_C (1) << (run - 1 - task->failed_base);
}

/* Whether TASK has failed as often as it may. */
static bool
has_failed (const struct task *task)
{
  const struct job *job = task->stage->job;
  int failures
      = task->failed_before + __builtin_popcountll (task->failed_runs);

  return !task->stage->step->long_running && task->state != TASK_DONE
         && failures > 0 && failures >= job->queue.attempts;
}

void
job_end_if_failed (struct kq_sched *sched, struct job *job,
                   struct kq_sched_now now)
{
  for (int i = 0; i < job->stage_count; i++)
    for (int j = 0; j < job->stages[i].step->count; j++)
      if (!job_has_ended (job) && has_failed (&job->stages[i].tasks[j]))
        job_end (sched, job, KQ_SCHED_FAILED_JOB, now);
}

void
job_task_failed (struct kq_sched *sched, struct task *task, int run,
                 struct kq_sched_now now)
{
  struct job *job = task->stage->job;

  note_failed_run (task, run);
  job->has_new_end = true;
  job_mark_dirty (sched, job);
  if (!job_has_ended (job) && has_failed (task))
    job_end (sched, job, KQ_SCHED_FAILED_JOB, now);
}

void
job_end (struct kq_sched *sched, struct job *job, enum kq_sched_state state,
         struct kq_sched_now now)
{
  job->state = state;
  job->ended_ms = now.wall_ms;
  retention_note_end (sched, job, now);
  if (state != KQ_SCHED_CANCELLED)
    log_end (job);
  job_mark_dirty (sched, job);
  for (int i = 0; i < job->stage_count; i++)
    for (int j = 0; j < job->stages[i].step->count; j++)
      {
        struct task *task = &job->stages[i].tasks[j];

        if (task->state == TASK_READY)
          {
            rack_end_wait (sched, task, false, "task ended", now);
            task_clear_ready (sched, task);
            task->state = TASK_WAITING;
          }
        else if (task->state == TASK_BOUND)
          task_stop (sched, task, now);
      }
}

int
job_count_pending (const struct kq_sched *sched, const char *queue)
{
  int pending = 0;

  for (const struct job *job = sched->jobs; job != NULL; job = job->hh.next)
    if (!job->started && !job_has_ended (job)
        && strcmp (job->queue_name, queue) == 0)
      pending++;
  return pending;
}

/* Marks a job that ended longer ago than the retention time for deletion. */
static void
mark_expired (struct kq_sched *sched, struct job *job, struct kq_sched_now now)
{
  if (!job_has_ended (job) || !retention_is_over (sched, job, now))
    return;
  job->expired = true;
  job_log (job, "job expired", "retention");
  job_mark_dirty (sched, job);
}

void
job_tick_all (struct kq_sched *sched, struct kq_sched_now now)
{
  struct job *job;
  struct job *next;
  bool any_ended = false;

  admission_begin_tick (sched, now);
  HASH_ITER (hh, sched->jobs, job, next)
  {
    if (job->expired)
      continue;
    job_open_due_occurrences (sched, job, now);
    if (job->stages_done == job->stage_count && !job_has_ended (job))
      complete_job (sched, job, now);
    admission_count_job (sched, job, now);
    mark_expired (sched, job, now);
    any_ended |= job_has_ended (job);
  }
  tombstone_tick (sched, now);
  if (any_ended || tombstone_count (sched) > 0)
    retention_tick (sched, now);
  admission_end_tick (sched, now);
  task_update_lateness (sched, now);
}

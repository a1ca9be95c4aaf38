/* Explains where the tasks of a job would be placed now (explain_*).
 *
 * Load: an operator asks for one job, at most every 100 ms, in a cell of 490
 * workers that places 1,200 tasks a second.
 *
 * The decision code runs on a copy of struct kq_sched, so that no counter and
 * no position in the search changes. What it reaches through pointers is
 * copied too (the interference model) or put back: racks, the stage and its
 * first ready task. A new job is in no index, and its service is looked up
 * without being added.
 */
#include "sched/explain.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/err.h"
#include "sched/evacuate.h"
#include "sched/late.h"
#include "sched/place.h"
#include "sched/warmup.h"

static const char *const ruled_out_names[KQ_SCHED_OUT_KINDS] = {
  [KQ_SCHED_OUT_SERVICE] = "service",
  [KQ_SCHED_OUT_LABEL] = "label",
  [KQ_SCHED_OUT_DRAINING] = "draining",
  [KQ_SCHED_OUT_EVACUATED] = "evacuated",
  [KQ_SCHED_OUT_QUARANTINED] = "quarantined",
  [KQ_SCHED_OUT_SILENT] = "silent",
  [KQ_SCHED_OUT_CAPACITY] = "capacity",
  [KQ_SCHED_OUT_LIMIT] = "limit_per_worker",
  [KQ_SCHED_OUT_AVOIDED] = "failed_there",
  [KQ_SCHED_OUT_LATE] = "earlier_start_elsewhere",
  [KQ_SCHED_OUT_NO_TICKET] = "no_ticket",
  [KQ_SCHED_OUT_RESERVED] = "reserved",
  [KQ_SCHED_OUT_COLD] = "cold",
  [KQ_SCHED_OUT_INTERFERENCE] = "interference",
};

const char *
kq_sched_ruled_out_name (enum kq_sched_ruled_out reason)
{
  return ruled_out_names[reason];
}

static int64_t
age_ms (kq_usec at, struct kq_sched_now now)
{
  return at != 0 ? (now.mono - at) / KQ_USEC_PER_MSEC : -1;
}

static void
explain_owner (const struct kq_sched *sched, struct kq_sched_now now,
               struct kq_sched_owner_state *owner)
{
  owner->term = sched->term;
  owner->superseded = sched->superseded;
  owner->term_current = grant_is_current (sched, now);
  owner->registrations_current = worker_reports_are_current (sched, now);
  owner->evacuations_current = evacuate_is_current (sched, now);
  owner->has_evacuations = sched->settings.evac_ms > 0;
  owner->term_age_ms = age_ms (sched->confirmed_at, now);
  owner->registrations_age_ms = age_ms (sched->registrations_at, now);
  owner->evacuations_age_ms = age_ms (sched->zones_at, now);
}

/* Returns the first reason that makes WORKER unusable for all tasks. */
static enum kq_sched_ruled_out
unusable_reason (const struct worker *worker, struct kq_sched_now now)
{
  if (worker->report.draining)
    return KQ_SCHED_OUT_DRAINING;
  if (worker->evacuated)
    return KQ_SCHED_OUT_EVACUATED;
  if (worker_is_quarantined (worker, now)
      || now.mono < worker->no_starts_until)
    return KQ_SCHED_OUT_QUARANTINED;
  return KQ_SCHED_OUT_SILENT;
}

enum kq_sched_ruled_out
explain_reason (const struct worker *worker, const struct task *task,
                struct kq_sched_now now)
{
  const struct stage *stage = task->stage;
  const char *label = stage->step->label;

  if (worker->service != stage->job->service)
    return KQ_SCHED_OUT_SERVICE;
  if (label[0] != '\0' && strcmp (label, worker->report.kind) != 0
      && strcmp (label, worker->report.rack) != 0)
    return KQ_SCHED_OUT_LABEL;
  if (!worker_usable (worker, now) || worker->unheard)
    return unusable_reason (worker, now);
  if (!place_meets_constraints (worker, stage))
    return KQ_SCHED_OUT_LIMIT;
  if (!place_fits (worker, stage, now))
    return KQ_SCHED_OUT_CAPACITY;
  if (place_avoids_worker (task, worker, now))
    return KQ_SCHED_OUT_AVOIDED;
  if (!late_allows (task, worker, now))
    return KQ_SCHED_OUT_LATE;
  if (stage->job->queue.advised && advice_ticket (stage, worker, now) == NULL)
    return KQ_SCHED_OUT_NO_TICKET;
  if (!reserve_allows (worker, task) || !large_allows (worker, task))
    return KQ_SCHED_OUT_RESERVED;
  if (warmup_is_cold (worker, now) && now.mono < worker->next_cold_start)
    return KQ_SCHED_OUT_COLD;
  if (stage->step->filler && worker->serving_count > 0)
    return KQ_SCHED_OUT_INTERFERENCE;
  /* What remains is room in pieces for large tasks. */
  return KQ_SCHED_OUT_RESERVED;
}

/* Returns how many tasks of STAGE, up to those ready, WORKER has room for
   beside what is held there for others. */
static int64_t
count_slots (const struct worker *worker, const struct stage *stage)
{
  const struct kq_sched_step *step = stage->step;
  struct kq_sched_demand demand = step->demand;
  struct kq_sched_demand room = worker->report.capacity;
  int64_t slots = stage->ready_count;

  demand_add (&room, &worker->used, -1);
  demand_add (&room, &worker->held, -1);
  if (worker->large_count > 0
      && stage->job->queue.priority >= worker->large_priority)
    demand_add (&room, &worker->large_held, -1);
  if (step->max_per_worker != 0 && step->max_per_worker < slots)
    slots = step->max_per_worker;
  /* Fillers take CPU that others leave idle. */
  if (step->filler)
    demand.cpu = 0;
  return demand_slots (&room, &demand, slots);
}

/* Counts the workers by whether they may run TASK; returns the number of tasks
   of its stage that those which may have room for. */
static int64_t
count_workers (struct explain_run *run, const struct task *task,
               struct kq_sched_step_explanation *step)
{
  int64_t slots = 0;

  for (size_t i = 0; i < run->dry.worker_count; i++)
    {
      struct worker *worker = run->dry.worker_array[i];
      int64_t points;

      if (!worker->registered)
        continue;
      if (place_score (&run->dry, worker, task, run->now, &points))
        {
          step->suitable++;
          slots += count_slots (worker, task->stage);
        }
      else
        step->ruled_out[explain_reason (worker, task, run->now)]++;
    }
  return slots;
}

static void
add_candidate (struct explain_run *run, const struct worker *worker,
               int64_t points, const struct rack *rack,
               struct kq_sched_step_explanation *step)
{
  const struct kq_sched_demand *capacity = &worker->report.capacity;
  struct kq_sched_candidate *candidate;

  if (step->candidate_count == KQ_SCHED_EXPLAINED_CANDIDATES)
    return;
  candidate = &step->candidates[step->candidate_count++];
  snprintf (candidate->worker, sizeof candidate->worker, "%s",
            worker->report.id);
  candidate->points = points;
  candidate->near = rack != NULL && worker->rack == rack;
  candidate->cold = warmup_is_cold (worker, run->now);
  candidate->reply_age_ms = age_ms (worker->last_reply_at, run->now);
  candidate->free
      = (struct kq_sched_demand){ .cpu = capacity->cpu - worker->used.cpu,
                                  .mem = capacity->mem - worker->used.mem,
                                  .gpu = capacity->gpu - worker->used.gpu };
}

/* Lists the candidates for TASK, one in RACK first, as they are tried. Returns
   the first, or NULL. */
static struct worker *
list_candidates (struct explain_run *run, struct task *task, struct rack *rack,
                 struct kq_sched_step_explanation *step)
{
  struct place_candidate best[KQ_SCHED_EXPLAINED_CANDIDATES];
  struct worker *near
      = rack != NULL ? rack_choose_worker (&run->dry, rack, task, run->now)
                     : NULL;
  int64_t points = 0;
  int count = place_search (&run->dry, task, run->now,
                            place_common_rack (task->stage), false, best,
                            KQ_SCHED_EXPLAINED_CANDIDATES);

  if (near != NULL && place_score (&run->dry, near, task, run->now, &points))
    add_candidate (run, near, points, rack, step);
  for (int i = 0; i < count; i++)
    if (best[i].worker != near)
      add_candidate (run, best[i].worker, best[i].points, rack, step);
  if (near != NULL)
    return near;
  return count > 0 ? best[0].worker : NULL;
}

/* Whether TASK waits, or would, for RACK instead of starting at WORKER. */
static bool
waits_for_rack (struct explain_run *run, struct task *task, struct rack *rack,
                const struct worker *worker)
{
  if (rack == NULL || (worker != NULL && worker->rack == rack))
    return false;
  return task->wait_began != 0
         || (worker != NULL && !task->stage->step->gang
             && rack_begins_wait (&run->dry, rack, task, worker, run->now));
}

/* Returns what keeps TASK from WORKER, in the order in which a placement
   decides. WAITS: the task or its gang waits for a rack. */
static enum kq_sched_held_back
held_back (struct explain_run *run, struct task *task,
           const struct worker *worker, int64_t slots, bool waits)
{
  const struct stage *stage = task->stage;
  struct pool *pool = place_pool (&run->pass, stage->job->service);

  if (place_is_blocked (pool, stage))
    return KQ_SCHED_HELD_BLOCKED;
  if (place_cannot_fit (&run->pass, pool, stage, run->now))
    return KQ_SCHED_HELD_NO_WORKER;
  if (!stage->step->gang && !place_leaves_reserve (pool, stage, run->now))
    return KQ_SCHED_HELD_RESERVE;
  if (waits)
    return KQ_SCHED_HELD_RACK;
  if (worker == NULL)
    return KQ_SCHED_HELD_NO_WORKER;
  if (stage->step->gang)
    return slots < stage->ready_count ? KQ_SCHED_HELD_GANG
                                      : KQ_SCHED_NOT_HELD_BACK;
  return place_leaves_short_room (&run->dry, pool, worker, task, run->now)
             ? KQ_SCHED_NOT_HELD_BACK
             : KQ_SCHED_HELD_SHORT_ROOM;
}

/* Says for which worker TASK waits that may begin its earlier run. */
static void
explain_late_start (const struct task *task, struct kq_sched_now now,
                    struct kq_sched_step_explanation *step)
{
  const struct worker *worker = late_worker (task, now);

  if (worker == NULL)
    return;
  snprintf (step->late_worker, sizeof step->late_worker, "%s",
            worker->report.id);
  step->late_longest_ms
      = (late_until_at_most (task) - now.mono) / KQ_USEC_PER_MSEC;
  if (now.mono < task->late_until)
    step->late_ms = (task->late_until - now.mono) / KQ_USEC_PER_MSEC;
}

/* Explains the placement of TASK, the first ready one of its stage. */
static void
explain_task (struct explain_run *run, struct task *task,
              struct kq_sched_step_explanation *step)
{
  struct stage *stage = task->stage;
  struct pool *pool = place_pool (&run->pass, stage->job->service);
  bool waited = task->wait_began != 0;
  bool gang_waits = !waited
                    && !rack_choose_for_group (&run->dry, stage, run->now)
                    && stage->step->gang;
  struct rack *rack = rack_of_task (&run->dry, task);
  struct worker *worker;
  int64_t slots;
  bool waits;

  run->dry.spare_large_room
      = place_spare_large_room (&run->dry, pool, task, run->now);
  worker = list_candidates (run, task, rack, step);
  slots = count_workers (run, task, step);
  run->dry.spare_large_room = INT64_MAX;
  waits = gang_waits || waits_for_rack (run, task, rack, worker);
  step->held_back = held_back (run, task, worker, slots, waits);
  if (rack != NULL)
    snprintf (step->rack, sizeof step->rack, "%s", rack->key.name);
  if (step->held_back == KQ_SCHED_HELD_RACK)
    step->rack_wait_ms = task->wait_expected_ms;
  explain_late_start (task, run->now, step);
}

static void
explain_stage (struct explain_run *run, struct stage *stage,
               struct kq_sched_step_explanation *step)
{
  struct task *task = explain_first_ready (stage, true);
  struct stage stage_before = *stage;
  struct task task_before = *task;

  step->step = stage->number;
  step->occurrence = stage->occurrence;
  step->ready = stage->ready_count;
  step->lateness = stage->lateness;
  explain_pass_before (run, stage);
  explain_task (run, task, step);
  *task = task_before;
  *stage = stage_before;
}

static void
explain_stages (struct explain_run *run, const struct job *job,
                struct kq_sched_explanation *explanation)
{
  for (int i = 0; i < job->stage_count; i++)
    {
      struct stage *stage = &job->stages[i];

      if (!stage->open || stage->ready_count == 0)
        continue;
      if (explanation->step_count == KQ_SCHED_EXPLAINED_STEPS)
        explanation->more_steps++;
      else
        explain_stage (run, stage,
                       &explanation->steps[explanation->step_count++]);
    }
}

static void
free_stages (struct job *job)
{
  for (int i = 0; job->stages != NULL && i < job->stage_count; i++)
    free (job->stages[i].tasks);
  free (job->stages);
}

static void
open_first_stages (struct explain_run *run, struct job *job)
{
  for (int i = 0; i < job->stage_count; i++)
    {
      struct stage *stage = &job->stages[i];

      if (stage->step->after_count > 0)
        continue;
      stage->open = true;
      stage->opened_at = run->now.mono;
      stage->ready_count = stage->step->count;
      run->dry.counts.ready_tasks += stage->ready_count;
      stage->lateness = task_lateness (&run->dry, stage, run->now);
      for (int j = 0; j < stage->step->count; j++)
        {
          stage->tasks[j].state = TASK_READY;
          stage->tasks[j].ready_at = run->now.mono;
        }
    }
}

static int
explain_new_job (struct explain_run *run, uint64_t id,
                 const struct kq_sched_queue *queue,
                 const struct kq_sched_spec *spec,
                 struct kq_sched_explanation *explanation)
{
  struct job job = { .id = id,
                     .accepted_ms = run->now.wall_ms,
                     .spec = *spec,
                     .queue = *queue,
                     .service = service_find (&run->dry, queue->service) };
  int err;

  snprintf (job.queue_name, sizeof job.queue_name, "%s", queue->name);
  /* Later occurrences do not start now. */
  if (job.spec.times > 1)
    job.spec.times = 1;
  err = job_build (&run->dry, &job);
  if (err == 0)
    {
      explanation->refused = admission_would_refuse (&run->dry, &job, run->now,
                                                     &explanation->retry_ms);
      if (spec->times > 0 && spec->start_ms > run->now.wall_ms)
        explanation->starts_in_ms = spec->start_ms - run->now.wall_ms;
      else
        open_first_stages (run, &job);
      explain_stages (run, &job, explanation);
    }
  free_stages (&job);
  return err;
}

static void
explain_known_job (struct explain_run *run, const struct job *job,
                   struct kq_sched_explanation *explanation)
{
  explanation->known = true;
  explanation->state = job->state == KQ_SCHED_QUEUED && job->started
                           ? KQ_SCHED_ACTIVE
                           : job->state;
  for (int i = 0; i < job->stage_count; i++)
    for (int j = 0; j < job->stages[i].step->count; j++)
      {
        const struct task *task = &job->stages[i].tasks[j];

        explanation->bound += task->state == TASK_BOUND;
        explanation->waiting += task->state == TASK_WAITING;
        explanation->held += crash_is_held (task);
        explanation->losses += crash_count_losses (task);
        explanation->losses_set_aside += task->losses_set_aside;
      }
  explain_stages (run, job, explanation);
}

int
kq_sched_explain (struct kq_sched *sched, struct kq_sched_now now, uint64_t id,
                  const char *queue, const struct kq_sched_spec *spec,
                  struct kq_sched_explanation *explanation)
{
  const struct kq_sched_queue *known = NULL;
  const struct job *job = NULL;
  struct explain_run *run;
  int err;

  memset (explanation, 0, sizeof *explanation);
  if (spec != NULL)
    known = kq_sched_config_queue (sched->config, queue);
  else
    job = job_find (sched, id);
  if (spec != NULL && known == NULL)
    return KQ_ENOENT;
  if (spec == NULL && (job == NULL || job->expired))
    return KQ_EJOB_UNKNOWN;
  run = calloc (1, sizeof *run);
  if (run == NULL)
    return KQ_ENOMEM;
  explain_owner (sched, now, &explanation->owner);
  err = explain_begin (run, sched, now);
  snprintf (explanation->queue, sizeof explanation->queue, "%s",
            job != NULL ? job->queue_name : queue);
  if (err == 0 && job != NULL)
    explain_known_job (run, job, explanation);
  else if (err == 0)
    err = explain_new_job (run, id, known, spec, explanation);
  explain_end (run, sched);
  return err;
}

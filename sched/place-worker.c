/* Which workers may run a task, and which of them suits it best: what a
 * placement (place.c) and its explanation (explain.c) ask for a task and a
 * worker.
 */
#include <string.h>

#include "sched/late.h"
#include "sched/place.h"
#include "sched/warmup.h"

/* Weights of the score in thousandths of a worker's load; the lowest score
   is selected. Source: docs/design/platform.md, "Where work goes". */
#define WEIGHT_FAR_RACK 2000
#define WEIGHT_MIXED_WORK 4000
#define WEIGHT_FAILED_HERE 500
#define WEIGHT_OTHER_RACK 1000

/* A task under which workers were lost goes where the least would be lost with
   it, and where no other such task is on trial; other tasks keep away. */
#define WEIGHT_SUSPECT 50000
#define WEIGHT_NEIGHBOUR 5000

/* A quarantined worker is the last resort. */
#define WEIGHT_QUARANTINED 100000

/* Time without room elsewhere after which a long-running task that has run
   before may start at a quarantined worker. Source: such a task may be down
   for 3 s while there is room. */
#define ACCEPT_QUARANTINED_US (1000 * KQ_USEC_PER_MSEC)

/* Fillers may reserve CPU of a worker up to this percentage: all of them
   then run a little slower, which costs less than waiting. */
#define FILLER_OVERCOMMIT_PERCENT 110

/* Fillers are not placed where the interference on serving tasks would
   exceed this share of their limit. */
#define MAX_INTERFERENCE 1.1
#define WEIGHT_INTERFERENCE 1500

/* Number of workers among which one is chosen in a large cell. The least
   loaded of them is among the least loaded 5 percent of all with a probability
   of 96 percent. */
#define MAX_CANDIDATES 64

/* Time after a failure or stall of a task for which it waits for another
   worker. */
#define AVOID_WORKER_US (3 * KQ_USEC_PER_SEC)

int
place_count_tasks (const struct worker *worker, const struct stage *stage)
{
  const struct task *task;
  int count = 0;

  DL_FOREACH (worker->tasks, task) { count += task->stage == stage; }
  return count;
}

static bool
has_capacity (const struct worker *worker, const struct kq_sched_step *step)
{
  const struct kq_sched_demand *capacity = &worker->report.capacity;
  const struct kq_sched_demand *demand = &step->demand;

  if (worker->used.mem + demand->mem > capacity->mem
      || worker->used.gpu + demand->gpu > capacity->gpu)
    return false;
  if (step->filler)
    return worker->used.cpu - worker->idle_cpu + worker->filler_cpu
               + demand->cpu
           <= capacity->cpu * FILLER_OVERCOMMIT_PERCENT / 100;
  return worker->used.cpu + demand->cpu <= capacity->cpu;
}

bool
place_is_within_capacity (const struct worker *worker,
                          const struct kq_sched_step *step)
{
  const struct kq_sched_demand *capacity = &worker->report.capacity;
  const struct kq_sched_demand *used = &worker->used;

  return used->mem <= capacity->mem && used->gpu <= capacity->gpu
         && (step->filler || used->cpu <= capacity->cpu);
}

bool
place_meets_constraints (const struct worker *worker,
                         const struct stage *stage)
{
  const struct kq_sched_step *step = stage->step;

  if (worker->service != stage->job->service)
    return false;
  if (step->label[0] != '\0' && strcmp (step->label, worker->report.kind) != 0
      && strcmp (step->label, worker->report.rack) != 0)
    return false;
  return step->max_per_worker == 0
         || place_count_tasks (worker, stage) < step->max_per_worker;
}

bool
place_has_room (const struct worker *worker, const struct stage *stage)
{
  return has_capacity (worker, stage->step) && !worker->unheard
         && place_meets_constraints (worker, stage);
}

bool
place_fits (const struct worker *worker, const struct stage *stage,
            struct kq_sched_now now)
{
  return place_has_room (worker, stage) && worker_usable (worker, now);
}

bool
place_accepts_quarantined (const struct task *task, struct kq_sched_now now)
{
  return task->may_use_quarantined
         || (task->stage->step->long_running && task->has_run
             && now.mono - task->ready_at >= ACCEPT_QUARANTINED_US);
}

bool
place_may_start_at (const struct worker *worker, const struct task *task,
                    struct kq_sched_now now)
{
  return place_accepts_quarantined (task, now)
             ? worker_takes_starts (worker, now)
             : worker_usable (worker, now);
}

/* Returns CPU in thousandths of the capacity of WORKER, which may be 0. */
static int64_t
share_milli (const struct worker *worker, int64_t cpu)
{
  int64_t capacity = worker->report.capacity.cpu;

  return capacity > 0 ? cpu * 1000 / capacity : 0;
}

/* Returns the CPU load in thousandths, including fillers and the demand of
   STEP. */
static int64_t
load_with_milli (const struct worker *worker, const struct kq_sched_step *step)
{
  return share_milli (worker, worker->used.cpu + worker->filler_cpu
                                  + step->demand.cpu);
}

/* Penalty for mixing serving tasks of different images on a worker:
   separate images leave fillers more workers whose tasks they do not slow
   down. */
static int64_t
mixing_penalty (const struct worker *worker, const struct task *task)
{
  const struct task *other;
  int64_t points = 0;

  DL_FOREACH (worker->tasks, other)
  {
    if (other->stage->step->tail_target_ms > 0
        && other->stage->image != task->stage->image)
      points = WEIGHT_MIXED_WORK;
  }
  return points;
}

/* Serving and other long-running tasks are packed on few workers, so that
   fillers and large tasks find others without them. Other tasks with a fixed
   demand go beside serving tasks. */
static int64_t
score (const struct worker *worker, const struct task *task,
       double interference)
{
  const struct kq_sched_step *step = task->stage->step;
  int64_t load = load_with_milli (worker, step);
  int64_t points = load;

  if (step->tail_target_ms > 0)
    {
      points = -load + mixing_penalty (worker, task);
      if (worker->serving_count == 0)
        points += WEIGHT_MIXED_WORK / 2;
      points += share_milli (worker, worker->filler_cpu);
    }
  else if (step->long_running && !step->filler)
    points = -load;
  else if (step->filler && worker->serving_count > 0)
    points += (int64_t)(WEIGHT_INTERFERENCE * interference);
  else if (!step->filler && worker->serving_count == 0)
    points += WEIGHT_MIXED_WORK / 4;
  if (step->rack[0] != '\0' && strcmp (step->rack, worker->report.rack) != 0)
    points += WEIGHT_FAR_RACK;
  points += (int64_t)worker->failed_jobs * WEIGHT_FAILED_HERE;
  if (worker->suspect_count > 0)
    points += WEIGHT_SUSPECT;
  if (crash_is_suspect (task))
    points += (int64_t)worker->task_count * WEIGHT_NEIGHBOUR;
  return points;
}

void
place_avoid_worker (struct task *task, struct worker *worker,
                    struct kq_sched_now now)
{
  task->avoided_worker = worker;
  task->avoided_until = now.mono + AVOID_WORKER_US;
}

bool
place_avoids_worker (const struct task *task, const struct worker *worker,
                     struct kq_sched_now now)
{
  return worker == task->avoided_worker && now.mono < task->avoided_until;
}

/* Whether the task must see all workers: few of them suit it, or it should be
   packed on as few as possible. */
static bool
is_particular (const struct task *task, const char *rack)
{
  const struct kq_sched_step *step = task->stage->step;

  return crash_is_suspect (task) || rack != NULL || step->tail_target_ms > 0
         || step->long_running || step->rack[0] != '\0'
         || step->label[0] != '\0' || step->max_per_worker != 0;
}

bool
place_suits (struct kq_sched *sched, struct worker *worker,
             const struct task *task, struct kq_sched_now now, bool disturbing,
             double *interference)
{
  const struct stage *stage = task->stage;

  if (!place_has_room (worker, stage)
      || !place_may_start_at (worker, task, now)
      || place_avoids_worker (task, worker, now)
      || !late_allows (task, worker, now) || !reserve_allows (worker, task)
      || !large_allows (worker, task)
      || (warmup_is_cold (worker, now) && !warmup_allows (sched, worker, now))
      || (stage->job->queue.advised
          && advice_ticket (stage, worker, now) == NULL)
      || service_takes_kept_pieces (sched, worker, task))
    return false;
  *interference = 0;
  if (stage->step->filler && worker->serving_count > 0)
    *interference = share_interference (sched, worker, stage->image,
                                        stage->step->demand.cpu);
  return disturbing || *interference <= MAX_INTERFERENCE;
}

bool
place_score (struct kq_sched *sched, struct worker *worker,
             const struct task *task, struct kq_sched_now now, int64_t *points)
{
  double interference;

  if (!place_suits (sched, worker, task, now, false, &interference))
    return false;
  *points = score (worker, task, interference);
  return true;
}

/* Inserts WORKER with POINTS into BEST, which has COUNT entries of at most
   MAX; returns their new number. Of equal scores the one found first comes
   first. */
static int
insert_candidate (struct place_candidate *best, int count, int max,
                  struct worker *worker, int64_t points)
{
  int at = count;

  while (at > 0 && points < best[at - 1].points)
    at--;
  if (at == max)
    return count;
  if (count < max)
    count++;
  for (int i = count - 1; i > at; i--)
    best[i] = best[i - 1];
  best[at] = (struct place_candidate){ worker, points };
  return count;
}

int
place_search (struct kq_sched *sched, const struct task *task,
              struct kq_sched_now now, const char *rack, bool disturbing,
              struct place_candidate *best, int max)
{
  int best_count = 0;
  size_t count = sched->worker_count;
  size_t candidates = 0;
  size_t max_candidates = is_particular (task, rack) ? count : MAX_CANDIDATES;
  size_t first = count > max_candidates ? sched->next_candidate : 0;

  for (size_t i = 0; i < count && candidates < max_candidates; i++)
    {
      size_t index = first + i < count ? first + i : first + i - count;
      struct worker *worker = sched->worker_array[index];
      double interference;
      int64_t points;

      if (!place_suits (sched, worker, task, now, disturbing, &interference))
        continue;
      candidates += warmup_is_candidate (sched, worker, task, now);
      points = score (worker, task, interference)
               + warmup_points (sched, worker, task, now);
      if (worker_is_quarantined (worker, now))
        points += WEIGHT_QUARANTINED;
      if (rack != NULL && strcmp (rack, worker->report.rack) != 0)
        points += WEIGHT_OTHER_RACK;
      best_count = insert_candidate (best, best_count, max, worker, points);
      if (candidates == max_candidates)
        sched->next_candidate = (index + 1) % count;
    }
  return best_count;
}

struct worker *
place_choose_worker (struct kq_sched *sched, const struct task *task,
                     struct kq_sched_now now, const char *rack,
                     bool disturbing)
{
  struct place_candidate best;

  return place_search (sched, task, now, rack, disturbing, &best, 1) > 0
             ? best.worker
             : NULL;
}

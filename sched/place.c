/* Chooses the worker for each task that is ready. */
#include <string.h>

#include "base/err.h"
#include "log/log.h"
#include "sched/internal.h"

/* Weights of the score, in thousandths of a worker's load; the lowest score
   wins.  Source: docs/design/platform.md, "Where work goes". */
#define WEIGHT_FAR_RACK 2000
#define WEIGHT_OTHER_KIND_OF_WORK 4000
#define WEIGHT_FAILED_HERE 500
#define WEIGHT_SPREAD_RACK 1000

/* Fillers share a worker beyond its CPU up to this; they then all run a little
   slower, which costs less than waiting. */
#define FILL_PERCENT 110

/* Fillers are kept off where serving tasks would be pressed beyond this share
   of what they bear. */
#define MOST_PRESS 1.1
#define WEIGHT_PRESS 1500

/* A job with a filler ready for this long and nothing at work gets one started
   although it will be slowed down, while under HALF_USED_PERCENT of the room
   is in use.  Source: a job may have nothing running for 3 s then. */
#define DISTURB_AFTER (1500 * KQ_USEC_PER_MSEC)
#define HALF_USED_PERCENT 50

/* Room of a service, in percent of its CPU, that work of a rank leaves free:
   what can still be in time then starts at once instead of waiting for what
   can't.  Source: docs/design/platform.md, "Overload". */
static const int kept_free_percent[] = { 0, 4, 8 };

/* Work that is late by this much leaves less free: where what lasts holds
   nearly all of the room, it would else never be done. */
#define OLD_MS 30000
#define KEPT_FREE_BY_OLD_PERCENT 1

/* A task of a higher priority that finds no room keeps counted work of lower
   ones from starting for this long: it would take the pieces that come free.
   After that it is hardly in time any more. */
#define BLOCK_TIME (3 * KQ_USEC_PER_SEC)

/* Services that are told apart; the rest share the last entry. */
#define MAX_SERVICES 8

/* How long a task waits for another worker than the one where it failed. */
#define AVOID_TIME (3 * KQ_USEC_PER_SEC)

/* CPU of the usable workers of a service. */
struct room
{
  const char *service;
  int64_t capacity;
  int64_t used;
  bool is_wanted; /* by a task of PRIORITY that found no room in this pass */
  int priority;
};

/* Demands that no worker could take in this pass, by kind of work: fillers of
   each image, and all others.  A stage that asks for as much is not tried. */
struct pass
{
  uint64_t failed; /* by image */
  bool others_failed;
  struct room rooms[MAX_SERVICES];
  int room_count;
  struct kq_sched_demand smallest[KQ_PRESSURE_IMAGES];
  struct kq_sched_demand smallest_other;
};

static struct room *
room_of (struct pass *pass, const char *service)
{
  for (int i = 0; i < pass->room_count; i++)
    if (strcmp (pass->rooms[i].service, service) == 0)
      return &pass->rooms[i];
  if (pass->room_count == MAX_SERVICES)
    return &pass->rooms[MAX_SERVICES - 1];
  pass->rooms[pass->room_count].service = service;
  return &pass->rooms[pass->room_count++];
}

static void
survey (const struct kq_sched *sched, struct pass *pass,
        struct kq_sched_now now)
{
  const struct worker *worker;

  DL_FOREACH (sched->worker_list, worker)
  {
    struct room *room;

    if (!worker_usable (worker, now))
      continue;
    room = room_of (pass, worker->report.service);
    room->capacity += worker->report.capacity.cpu;
    room->used += worker->used.cpu;
  }
}

static bool
is_half_free (const struct room *room)
{
  return room->used * 100 < room->capacity * HALF_USED_PERCENT;
}

/* Whether another task of STAGE leaves the room free that its rank must. */
static bool
leaves_room (const struct room *room, const struct stage *stage,
             struct kq_sched_now now)
{
  const struct kq_sched_step *step = stage->step;
  int kept = kept_free_percent[stage->rank];

  if (stage->rank == 0 || step->filler || step->lasting)
    return true;
  if (now.wall_ms - stage->due_ms > OLD_MS)
    kept = KEPT_FREE_BY_OLD_PERCENT;
  return (room->used + step->demand.cpu) * 100
         <= room->capacity * (100 - kept);
}

static int
tasks_of_stage (const struct worker *worker, const struct stage *stage)
{
  const struct task *task;
  int count = 0;

  DL_FOREACH (worker->tasks, task) { count += task->stage == stage; }
  return count;
}

static bool
has_room (const struct worker *worker, const struct kq_sched_step *step)
{
  const struct kq_sched_demand *capacity = &worker->report.capacity;
  const struct kq_sched_demand *demand = &step->demand;

  if (worker->used.mem + demand->mem > capacity->mem
      || worker->used.gpu + demand->gpu > capacity->gpu)
    return false;
  if (step->filler)
    return worker->used.cpu - worker->idle_cpu + worker->filler_cpu
               + demand->cpu
           <= capacity->cpu * FILL_PERCENT / 100;
  return worker->used.cpu + demand->cpu <= capacity->cpu;
}

static bool
is_allowed (const struct worker *worker, const struct stage *stage)
{
  const struct kq_sched_step *step = stage->step;

  if (strcmp (worker->report.service, stage->job->queue.service) != 0)
    return false;
  if (step->label[0] != '\0' && strcmp (step->label, worker->report.kind) != 0
      && strcmp (step->label, worker->report.rack) != 0)
    return false;
  return step->max_per_worker == 0
         || tasks_of_stage (worker, stage) < step->max_per_worker;
}

bool
place_fits (const struct worker *worker, const struct stage *stage,
            struct kq_sched_now now)
{
  return worker_usable (worker, now) && has_room (worker, stage->step)
         && is_allowed (worker, stage);
}

/* Load in thousandths, counting what fills. */
static int64_t
load_with (const struct worker *worker, const struct kq_sched_step *step)
{
  int64_t capacity = worker->report.capacity.cpu;
  int64_t cpu = worker->used.cpu + worker->filler_cpu + step->demand.cpu;

  return capacity > 0 ? cpu * 1000 / capacity : 0;
}

/* Serving tasks of one image want to be together: fillers then find workers
   whose tasks they do not disturb. */
static int64_t
serving_beside (const struct worker *worker, const struct task *task)
{
  const struct task *other;
  int64_t points = 0;

  DL_FOREACH (worker->tasks, other)
  {
    if (other->stage->step->tail_target_ms > 0
        && other->stage->image != task->stage->image)
      points = WEIGHT_OTHER_KIND_OF_WORK;
  }
  return points;
}

/* Tasks that serve are packed on few workers, so that fillers find others
   without them; short counted tasks go beside those that serve.  */
static int64_t
score (const struct worker *worker, const struct task *task, double press)
{
  const struct kq_sched_step *step = task->stage->step;
  int64_t load = load_with (worker, step);
  int64_t points = load;

  if (step->tail_target_ms > 0)
    {
      points = -load + serving_beside (worker, task);
      if (worker->serving == 0)
        points += WEIGHT_OTHER_KIND_OF_WORK / 2;
      points += worker->filler_cpu * 1000 / worker->report.capacity.cpu;
    }
  else if (step->filler && worker->serving > 0)
    points += (int64_t)(WEIGHT_PRESS * press);
  else if (!step->filler && worker->serving == 0)
    points += WEIGHT_OTHER_KIND_OF_WORK / 4;
  if (step->rack[0] != '\0' && strcmp (step->rack, worker->report.rack) != 0)
    points += WEIGHT_FAR_RACK;
  points += (int64_t)worker->failed_jobs * WEIGHT_FAILED_HERE;
  return points;
}

/* Where it failed or stood still a task goes only when it has waited for
   another worker in vain. */
static bool
avoids (const struct task *task, const struct worker *worker,
        struct kq_sched_now now)
{
  return worker == task->shunned && now.mono - task->ready_at < AVOID_TIME;
}

/* One that may be DISTURBING also goes where it disturbs more than is
   allowed. */
static struct worker *
choose (struct kq_sched *sched, const struct task *task,
        struct kq_sched_now now, const char *rack, bool disturbing)
{
  const struct stage *stage = task->stage;
  struct worker *best = NULL;
  int64_t best_score = 0;
  struct worker *worker;

  DL_FOREACH (sched->worker_list, worker)
  {
    double press = 0;
    int64_t points;

    if (avoids (task, worker, now) || !place_fits (worker, stage, now))
      continue;
    if (stage->job->queue.advised
        && advice_ticket (stage, worker, now) == NULL)
      continue;
    if (stage->step->filler && worker->serving > 0)
      press
          = share_press (sched, worker, stage->image, stage->step->demand.cpu);
    if (press > MOST_PRESS && !disturbing)
      continue;
    points = score (worker, task, press);
    if (rack != NULL && strcmp (rack, worker->report.rack) != 0)
      points += WEIGHT_SPREAD_RACK;
    if (best == NULL || points < best_score)
      {
        best = worker;
        best_score = points;
      }
  }
  return best;
}

/* The rack where tasks of STAGE are already, if they want to be together. */
static const char *
common_rack (const struct stage *stage)
{
  if (!stage->step->same_rack)
    return NULL;
  for (int i = 0; i < stage->step->count; i++)
    if (stage->tasks[i].state == TASK_BOUND)
      return stage->tasks[i].worker->report.rack;
  return NULL;
}

static void
order_start (struct kq_sched *sched, struct task *task)
{
  struct job *job = task->stage->job;
  struct kq_sched_effect *effect;

  task->run++;
  job_mark_dirty (sched, job);
  effect = sched_add_effect (sched, KQ_SCHED_FX_START, job->changed);
  if (effect == NULL)
    return;
  effect->u.order.run = task_run (task);
  strcpy (effect->u.order.worker, task->worker->report.id);
  sched->counts.starts++;
  task_log (task, "task placed", "");
}

static struct task *
next_ready (struct stage *stage, int *from)
{
  for (; *from < stage->step->count; (*from)++)
    if (stage->tasks[*from].state == TASK_READY)
      return &stage->tasks[(*from)++];
  return NULL;
}

/* All members of a gang or none. */
static void
place_gang (struct kq_sched *sched, struct stage *stage,
            struct kq_sched_now now)
{
  int from = 0;
  int run = 0;
  struct task *task;

  if (stage->ready < stage->step->count - stage->done)
    return;
  while ((task = next_ready (stage, &from)) != NULL)
    {
      struct worker *worker
          = choose (sched, task, now, common_rack (stage), false);

      if (worker == NULL)
        {
          for (int i = 0; i < stage->step->count; i++)
            if (stage->tasks[i].state == TASK_BOUND)
              {
                task_release (sched, &stage->tasks[i]);
                task_make_ready (sched, &stage->tasks[i], now);
              }
          return;
        }
      if (task->run > run)
        run = task->run;
      task_bind (sched, task, worker, now);
    }
  for (int i = 0; i < stage->step->count; i++)
    if (stage->tasks[i].state == TASK_BOUND)
      {
        stage->tasks[i].run = run;
        order_start (sched, &stage->tasks[i]);
      }
}

/* Returns the task that found no worker, or NULL. */
static const struct task *
place_single (struct kq_sched *sched, struct room *room, struct stage *stage,
              struct kq_sched_now now)
{
  int from = 0;
  struct task *task;

  while (leaves_room (room, stage, now)
         && (task = next_ready (stage, &from)) != NULL)
    {
      struct worker *worker
          = choose (sched, task, now, common_rack (stage), false);

      if (worker == NULL)
        return task;
      task_bind (sched, task, worker, now);
      order_start (sched, task);
      room->used += stage->step->filler ? 0 : stage->step->demand.cpu;
    }
  return NULL;
}

/* A filler that would disturb serving tasks everywhere still goes on, slowly:
   one of its job, where it disturbs least. */
static void
place_disturbing (struct kq_sched *sched, struct stage *stage,
                  struct kq_sched_now now)
{
  int from = 0;
  struct task *task = next_ready (stage, &from);
  struct worker *worker;

  if (task == NULL || now.mono - task->ready_at < DISTURB_AFTER
      || job_has_bound (stage->job))
    return;
  worker = choose (sched, task, now, common_rack (stage), true);
  if (worker == NULL)
    return;
  task_bind (sched, task, worker, now);
  task->disturbs = true;
  order_start (sched, task);
}

static bool
asks_for_as_much (const struct kq_sched_demand *demand,
                  const struct kq_sched_demand *failed)
{
  return demand->cpu >= failed->cpu && demand->mem >= failed->mem
         && demand->gpu >= failed->gpu;
}

static bool
is_hopeless (const struct pass *pass, const struct stage *stage)
{
  const struct kq_sched_step *step = stage->step;

  if (!step->filler)
    return pass->others_failed
           && asks_for_as_much (&step->demand, &pass->smallest_other);
  return (pass->failed >> stage->image & 1) != 0
         && asks_for_as_much (&step->demand, &pass->smallest[stage->image]);
}

/* STAGE, of which a task has been ready since READY_AT, finds no room. */
static void
want_room (struct room *room, const struct stage *stage, kq_usec ready_at,
           struct kq_sched_now now)
{
  const struct kq_sched_step *step = stage->step;

  if (room->is_wanted || stage->rank != 0 || step->filler || step->gang
      || step->label[0] != '\0' || step->max_per_worker != 0
      || now.mono - ready_at >= BLOCK_TIME)
    return;
  room->is_wanted = true;
  room->priority = stage->job->queue.priority;
}

static bool
is_blocked (const struct room *room, const struct stage *stage)
{
  return !stage->step->filler && room->is_wanted
         && stage->job->queue.priority > room->priority;
}

/* Remembers a demand that failed for want of room alone. */
static void
note_failure (struct pass *pass, const struct stage *stage)
{
  const struct kq_sched_step *step = stage->step;

  if (step->label[0] != '\0' || step->max_per_worker != 0 || step->gang
      || stage->job->queue.advised || is_hopeless (pass, stage))
    return;
  if (step->filler)
    {
      pass->failed |= UINT64_C (1) << stage->image;
      pass->smallest[stage->image] = step->demand;
    }
  else if (!step->lasting)
    {
      pass->others_failed = true;
      pass->smallest_other = step->demand;
    }
}

/* Places what it can of STAGE; returns a task that found no room, or NULL. */
static const struct task *
place_stage (struct kq_sched *sched, struct pass *pass, struct room *room,
             struct stage *stage, struct kq_sched_now now)
{
  const struct task *left;
  int from = 0;

  if (is_hopeless (pass, stage))
    return next_ready (stage, &from);
  if (stage->step->gang)
    {
      place_gang (sched, stage, now);
      return NULL;
    }
  left = place_single (sched, room, stage, now);
  /* One that avoids a worker says nothing about the room for others. */
  if (left != NULL && left->shunned == NULL)
    note_failure (pass, stage);
  return left;
}

void
kq_sched_place (struct kq_sched *sched, struct kq_sched_now now)
{
  struct pass pass = { .failed = 0 };
  struct stage *stage;
  struct stage *next;

  if (sched->deposed || !sched->room_changed)
    return;
  sched->room_changed = false;
  survey (sched, &pass, now);
  DL_FOREACH_SAFE (sched->queue, stage, next)
  {
    struct room *room = room_of (&pass, stage->job->queue.service);
    const struct task *left;

    if (is_blocked (room, stage))
      continue;
    left = place_stage (sched, &pass, room, stage, now);
    if (stage->job->queue.advised && stage->ready > 0)
      advice_want (stage);
    if (left == NULL || stage->job->queue.advised)
      continue;
    want_room (room, stage, left->ready_at, now);
    if (stage->step->filler && is_half_free (room))
      place_disturbing (sched, stage, now);
  }
}

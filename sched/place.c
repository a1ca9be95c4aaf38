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
#define PRESSED_AFTER (1500 * KQ_USEC_PER_MSEC)
#define HALF_USED_PERCENT 50

/* How long a task waits for another worker than the one where it failed. */
#define AVOID_TIME (3 * KQ_USEC_PER_SEC)

/* Demands that no worker could take in this pass, by kind of work: fillers of
   each image, and all others.  A stage that asks for as much is not tried. */
struct pass
{
  uint64_t failed; /* by image */
  bool others_failed;
  bool half_free; /* under half of the room is in use */
  struct kq_sched_demand smallest[KQ_PRESSURE_IMAGES];
  struct kq_sched_demand smallest_other;
};

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

/* A task that may be PRESSED also goes where it disturbs more than is
   allowed. */
static struct worker *
choose (struct kq_sched *sched, const struct task *task,
        struct kq_sched_now now, const char *rack, bool pressed)
{
  const struct stage *stage = task->stage;
  struct worker *best = NULL;
  int64_t best_score = 0;
  struct worker *worker;

  DL_FOREACH (sched->worker_list, worker)
  {
    double press = 0;
    int64_t points;

    if (!worker_usable (worker, now) || avoids (task, worker, now)
        || !has_room (worker, stage->step) || !is_allowed (worker, stage))
      continue;
    if (stage->step->filler && worker->serving > 0)
      press
          = share_press (sched, worker, stage->image, stage->step->demand.cpu);
    if (press > MOST_PRESS && !pressed)
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
place_single (struct kq_sched *sched, struct stage *stage,
              struct kq_sched_now now)
{
  int from = 0;
  struct task *task;

  while ((task = next_ready (stage, &from)) != NULL)
    {
      struct worker *worker
          = choose (sched, task, now, common_rack (stage), false);

      if (worker == NULL)
        return task;
      task_bind (sched, task, worker, now);
      order_start (sched, task);
    }
  return NULL;
}

/* A filler that would disturb serving tasks everywhere still goes on, slowly:
   one of its job, where it disturbs least. */
static void
place_pressed (struct kq_sched *sched, struct stage *stage,
               struct kq_sched_now now)
{
  int from = 0;
  struct task *task = next_ready (stage, &from);
  struct worker *worker;

  if (task == NULL || now.mono - task->ready_at < PRESSED_AFTER
      || job_has_bound (stage->job))
    return;
  worker = choose (sched, task, now, common_rack (stage), true);
  if (worker == NULL)
    return;
  task_bind (sched, task, worker, now);
  task->pressed = true;
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

/* Remembers a demand that failed for want of room alone. */
static void
note_failure (struct pass *pass, const struct stage *stage)
{
  const struct kq_sched_step *step = stage->step;

  if (step->label[0] != '\0' || step->max_per_worker != 0 || step->gang
      || is_hopeless (pass, stage))
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

static bool
is_half_free (const struct kq_sched *sched, struct kq_sched_now now)
{
  const struct worker *worker;
  int64_t capacity = 0;
  int64_t used = 0;

  DL_FOREACH (sched->worker_list, worker)
  {
    if (!worker_usable (worker, now))
      continue;
    capacity += worker->report.capacity.cpu;
    used += worker->used.cpu;
  }
  return used * 100 < capacity * HALF_USED_PERCENT;
}

void
kq_sched_place (struct kq_sched *sched, struct kq_sched_now now)
{
  struct pass pass = { .half_free = is_half_free (sched, now) };
  struct stage *stage;
  struct stage *next;

  if (sched->deposed || !sched->room_changed)
    return;
  sched->room_changed = false;
  DL_FOREACH_SAFE (sched->queue, stage, next)
  {
    const struct task *left;

    if (stage->job->queue.advised)
      continue;
    if (is_hopeless (&pass, stage))
      {
        if (stage->step->filler && pass.half_free)
          place_pressed (sched, stage, now);
        continue;
      }
    if (stage->step->gang)
      {
        place_gang (sched, stage, now);
        continue;
      }
    left = place_single (sched, stage, now);
    /* One that avoids a worker says nothing about the room for others. */
    if (left != NULL && left->shunned == NULL)
      note_failure (&pass, stage);
    if (left != NULL && stage->step->filler && pass.half_free)
      place_pressed (sched, stage, now);
  }
}

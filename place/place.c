/* Workers, racks and tasks of placement. */

#include "place/place.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "base/err.h"
#include "place/internal.h"

/** Part of a rack's processors that is safe before anything is learned. */
#define RACK_LIMIT_PRIOR 0.6

/* Limits at the two ends of each weight. */
#define SLOW_LIMIT_LOOSE 0.25
#define SLOW_LIMIT_TIGHT 0.14
#define CPU_LIMIT_LOOSE 0.94
#define CPU_LIMIT_TIGHT 0.90
#define MEMORY_MARGIN_LEAST 1.0
#define MEMORY_MARGIN_MOST 2.5
#define CPU_MARGIN 1.0

static double
between (double from, double to, double part)
{
  return from + (to - from) * part;
}

void
kq_place_set_policy (struct kq_place *place,
                     const struct kq_place_policy *policy)
{
  double tail = policy->tail_latency_weight;
  double batch = policy->batch_throughput_weight;
  double evictions = policy->eviction_weight;
  double sum = fmax (tail + batch + evictions, 1.0);

  place->slow_limit = between (SLOW_LIMIT_LOOSE, SLOW_LIMIT_TIGHT, tail / sum);
  place->cpu_limit = between (CPU_LIMIT_LOOSE, CPU_LIMIT_TIGHT, tail / sum);
  place->cpu_margin = CPU_MARGIN;
  place->memory_margin
      = between (MEMORY_MARGIN_LEAST, MEMORY_MARGIN_MOST, evictions / sum);
  place->stale = true;
  place->spread_weight = fmax (tail, 1.0) / fmax (batch, 1.0);
}

struct kq_place *
kq_place_create (const struct kq_place_policy *policy)
{
  static const struct kq_place_policy alike = { 34, 33, 33 };
  static const struct kq_estimate prior = { 1.0, 0.25, 0 };
  struct kq_place *place = calloc (1, sizeof (*place));

  if (place == NULL)
    return NULL;
  place->slot_cpu = prior;
  place->slot_memory = prior;
  kq_place_set_policy (place, policy ? policy : &alike);
  return place;
}

static void
task_free (struct place_worker *worker, struct place_task *task)
{
  task->class->tasks--;
  DL_DELETE (worker->tasks, task);
  free (task);
}

/** Counts TASK as running no more and gives back its part of the quota. */
static void
release (struct place_task *task)
{
  struct kq_size *occupied = &task->class->team->occupied;

  task->class->running--;
  occupied->cpu_milli -= task->task.size.cpu_milli;
  occupied->memory_mb -= task->task.size.memory_mb;
  occupied->accelerators -= task->task.size.accelerators;
}

static void
rack_leave (struct kq_place *place, struct place_rack *rack)
{
  if (rack == NULL || --rack->workers > 0)
    return;
  HASH_DEL (place->racks, rack);
  free (rack);
}

static void
worker_free (struct kq_place *place, struct place_worker *worker)
{
  while (worker->tasks != NULL)
    {
      if (worker->tasks->ended_at == 0)
        release (worker->tasks);
      task_free (worker, worker->tasks);
    }
  rack_leave (place, worker->rack);
  HASH_DEL (place->workers, worker);
  free (worker);
}

void
kq_place_destroy (struct kq_place *place)
{
  struct place_class *class;
  struct place_class *next;

  if (place == NULL)
    return;
  while (place->workers != NULL)
    worker_free (place, place->workers);
  HASH_CLEAR (hh, place->classes);
  DL_FOREACH_SAFE (place->class_list, class, next) { free (class); }
  free (place);
}

/** Returns the rack NAME, made on demand, with one worker more. */
static struct place_rack *
rack_join (struct kq_place *place, const struct kq_name *name)
{
  struct place_rack *rack;

  HASH_FIND_STR (place->racks, name->text, rack);
  if (rack == NULL)
    {
      rack = calloc (1, sizeof (*rack));
      if (rack == NULL)
        return NULL;
      rack->name = *name;
      rack->limit = RACK_LIMIT_PRIOR;
      rack->ceiling = 1.0;
      HASH_ADD_STR (place->racks, name.text, rack);
    }
  rack->workers++;
  return rack;
}

struct place_worker *
place_worker_find (const struct kq_place *place, const struct kq_name *name)
{
  struct place_worker *worker;

  HASH_FIND_STR (place->workers, name->text, worker);
  return worker;
}

int
kq_place_set_worker (struct kq_place *place, const struct kq_name *name,
                     const struct kq_name *rack,
                     const struct kq_size *capacity, int32_t slots)
{
  struct place_worker *worker = place_worker_find (place, name);
  struct place_rack *joined = rack_join (place, rack);

  if (joined == NULL)
    return KQ_ENOMEM;
  if (worker == NULL)
    {
      worker = calloc (1, sizeof (*worker));
      if (worker == NULL)
        {
          rack_leave (place, joined);
          return KQ_ENOMEM;
        }
      worker->name = *name;
      worker->busy = slots;
      HASH_ADD_STR (place->workers, name.text, worker);
    }
  rack_leave (place, worker->rack);
  worker->rack = joined;
  worker->capacity = *capacity;
  worker->slots = slots;
  place_load_update (place, worker);
  return 0;
}

void
kq_place_drop_worker (struct kq_place *place, const struct kq_name *name)
{
  struct place_worker *worker = place_worker_find (place, name);

  if (worker != NULL)
    worker_free (place, worker);
}

int
kq_place_set_quota (struct kq_place *place, const struct kq_name *team,
                    const struct kq_size *quota)
{
  struct place_class *class = place_team_of (place, team);

  if (class == NULL)
    return KQ_ENOMEM;
  class->quota = *quota;
  return 0;
}

bool
place_id_eq (const struct kq_task_id *a, const struct kq_task_id *b)
{
  return a->index == b->index && kq_name_eq (&a->job, &b->job);
}

struct place_task *
place_task_find (struct place_worker *worker, const struct kq_task_id *id)
{
  struct place_task *task;

  DL_FOREACH (worker->tasks, task)
  {
    if (task->ended_at == 0 && place_id_eq (&task->task.id, id))
      return task;
  }
  return NULL;
}

int
place_task_add (struct kq_place *place, struct place_worker *worker,
                const struct kq_place_running *running, kq_usec now)
{
  const struct kq_place_task *task = &running->task;
  struct place_class *class = place_class_of (place, task);
  struct place_task *own = class ? calloc (1, sizeof (*own)) : NULL;

  if (own == NULL)
    return KQ_ENOMEM;
  own->task = *task;
  own->granted = running->granted;
  own->checkpoint = running->checkpoint;
  own->class = class;
  own->started_at = now;
  own->saved_at = now;
  own->share = running->share_milli;
  class->tasks++;
  class->running++;
  class->team->occupied.cpu_milli += task->size.cpu_milli;
  class->team->occupied.memory_mb += task->size.memory_mb;
  class->team->occupied.accelerators += task->size.accelerators;
  DL_APPEND (worker->tasks, own);
  place_load_update (place, worker);
  return 0;
}

static void
forget_ended (struct place_worker *worker, kq_usec now)
{
  struct place_task *task;
  struct place_task *next;

  DL_FOREACH_SAFE (worker->tasks, task, next)
  {
    if (task->ended_at != 0 && task->ended_at < now - MEMORY_OF_ENDED)
      task_free (worker, task);
  }
}

/** Notes that TASK has ended at NOW; it is remembered for late reports. */
static void
task_end (struct place_task *task, kq_usec now)
{
  task->ended_at = now;
  release (task);
}

void
kq_place_end (struct kq_place *place, const struct kq_name *name,
              const struct kq_task_id *id, kq_usec now)
{
  struct place_worker *worker = place_worker_find (place, name);
  struct place_task *task = worker ? place_task_find (worker, id) : NULL;

  if (task == NULL)
    return;
  task_end (task, now);
  forget_ended (worker, now);
  place_load_update (place, worker);
}

/** Takes what RUNNING says of TASK. */
static void
task_update (struct place_task *task, const struct kq_place_running *running,
             kq_usec now)
{
  task->granted = running->granted;
  if (running->checkpoint > task->checkpoint)
    {
      task->checkpoint = running->checkpoint;
      task->saved_at = now;
    }
  if (running->share_milli != task->share
      && now > task->share_at + SETTLE_TIME)
    {
      task->share_before = task->share;
      task->share = running->share_milli;
      task->share_at = now;
    }
}

static bool
is_among (const struct place_task *task, const struct kq_place_running *tasks,
          size_t count)
{
  for (size_t i = 0; i < count; i++)
    if (place_id_eq (&task->task.id, &tasks[i].task.id))
      return true;
  return false;
}

int
kq_place_sync (struct kq_place *place, const struct kq_name *name,
               const struct kq_place_running *tasks, size_t count, kq_usec now)
{
  struct place_worker *worker = place_worker_find (place, name);
  struct place_task *task;
  int err = 0;

  if (worker == NULL)
    return KQ_ENOENT;
  DL_FOREACH (worker->tasks, task)
  {
    if (task->ended_at == 0 && !is_among (task, tasks, count))
      task_end (task, now);
  }
  forget_ended (worker, now);
  for (size_t i = 0; i < count && err == 0; i++)
    {
      task = place_task_find (worker, &tasks[i].task.id);
      if (task != NULL)
        task_update (task, &tasks[i], now);
      else
        err = place_task_add (place, worker, &tasks[i], now);
    }
  place_load_update (place, worker);
  return err;
}

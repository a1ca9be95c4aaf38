/* Workers, racks and running tasks of placement. */

#include "place/place.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "base/err.h"
#include "place/internal.h"

/** Fraction of a rack's processors that is safe to use before a limit is
 *  learned.  */
#define RACK_INITIAL_LIMIT 0.6

/* Bounds between which the weights move the limits and margins.  The higher
   the weight of tail latency, the lower are the limits of the slowdown and of
   the processors in use; the higher the weight of evictions, the larger is the
   memory margin.  Margins are numbers of standard deviations.  */
#define SLOWDOWN_LIMIT_MAX 0.25
#define SLOWDOWN_LIMIT_MIN 0.14
#define CPU_LIMIT_MAX 0.94
#define CPU_LIMIT_MIN 0.90
#define MEMORY_MARGIN_MIN 1.0
#define MEMORY_MARGIN_MAX 2.5
#define CPU_MARGIN 1.0

static double
interpolate (double from, double to, double fraction)
{
  return from + (to - from) * fraction;
}

void
kq_place_set_policy (struct kq_place *place,
                     const struct kq_place_policy *policy)
{
  double tail = policy->tail_latency_weight;
  double batch = policy->batch_throughput_weight;
  double evictions = policy->eviction_weight;
  double sum = fmax (tail + batch + evictions, 1.0);

  place->slowdown_limit
      = interpolate (SLOWDOWN_LIMIT_MAX, SLOWDOWN_LIMIT_MIN, tail / sum);
  place->cpu_limit = interpolate (CPU_LIMIT_MAX, CPU_LIMIT_MIN, tail / sum);
  place->cpu_margin = CPU_MARGIN;
  place->memory_margin
      = interpolate (MEMORY_MARGIN_MIN, MEMORY_MARGIN_MAX, evictions / sum);
  place->loads_outdated = true;
  place->spread_weight = fmax (tail, 1.0) / fmax (batch, 1.0);
}

struct kq_place *
kq_place_create (const struct kq_place_policy *policy)
{
  static const struct kq_place_policy equal_weights = { 34, 33, 33 };
  static const struct kq_estimate prior = { 1.0, 0.25, 0 };
  struct kq_place *place = calloc (1, sizeof (*place));

  if (place == NULL)
    return NULL;
  place->slot_cpu = prior;
  place->slot_memory = prior;
  kq_place_set_policy (place, policy ? policy : &equal_weights);
  return place;
}

static void
free_task (struct place_worker *worker, struct place_task *task)
{
  task->class->tasks--;
  DL_DELETE (worker->tasks, task);
  free (task);
}

/** Subtracts TASK from the running tasks of its class and from the size that
 *  counts against the quota of its team.  */
static void
subtract_task (struct place_task *task)
{
  struct kq_resources *declared_running = &task->class->team->declared_running;

  task->class->running--;
  declared_running->cpu_milli -= task->task.size.cpu_milli;
  declared_running->memory_mb -= task->task.size.memory_mb;
  declared_running->accelerators -= task->task.size.accelerators;
}

static void
remove_rack_worker (struct kq_place *place, struct place_rack *rack)
{
  if (rack == NULL || --rack->workers > 0)
    return;
  HASH_DEL (place->racks, rack);
  free (rack);
}

static void
free_worker (struct kq_place *place, struct place_worker *worker)
{
  while (worker->tasks != NULL)
    {
      if (worker->tasks->ended_at == 0)
        subtract_task (worker->tasks);
      free_task (worker, worker->tasks);
    }
  remove_rack_worker (place, worker->rack);
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
    free_worker (place, place->workers);
  HASH_CLEAR (hh, place->classes);
  DL_FOREACH_SAFE (place->classes_by_age, class, next) { free (class); }
  free (place);
}

/** Adds a worker to rack NAME, which is created on demand; NULL when out of
 *  memory.  */
static struct place_rack *
add_rack_worker (struct kq_place *place, const struct kq_name *name)
{
  struct place_rack *rack;

  HASH_FIND_STR (place->racks, name->text, rack);
  if (rack == NULL)
    {
      rack = calloc (1, sizeof (*rack));
      if (rack == NULL)
        return NULL;
      rack->name = *name;
      rack->limit = RACK_INITIAL_LIMIT;
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
                     const struct kq_resources *capacity, int32_t slots)
{
  struct place_worker *worker = place_worker_find (place, name);
  struct place_rack *new_rack = add_rack_worker (place, rack);

  if (new_rack == NULL)
    return KQ_ENOMEM;
  if (worker == NULL)
    {
      worker = calloc (1, sizeof (*worker));
      if (worker == NULL)
        {
          remove_rack_worker (place, new_rack);
          return KQ_ENOMEM;
        }
      worker->name = *name;
      worker->mean_busy_slots = slots;
      HASH_ADD_STR (place->workers, name.text, worker);
    }
  remove_rack_worker (place, worker->rack);
  worker->rack = new_rack;
  worker->capacity = *capacity;
  worker->slots = slots;
  place_load_update (place, worker);
  return 0;
}

void
kq_place_remove_worker (struct kq_place *place, const struct kq_name *name)
{
  struct place_worker *worker = place_worker_find (place, name);

  if (worker != NULL)
    free_worker (place, worker);
}

int
kq_place_set_quota (struct kq_place *place, const struct kq_name *team,
                    const struct kq_resources *quota)
{
  struct place_class *class = place_get_team (place, team);

  if (class == NULL)
    return KQ_ENOMEM;
  class->quota = *quota;
  return 0;
}

bool
place_task_id_eq (const struct kq_task_id *a, const struct kq_task_id *b)
{
  return a->index == b->index && kq_name_eq (&a->job, &b->job);
}

struct place_task *
place_task_find (struct place_worker *worker, const struct kq_task_id *id)
{
  struct place_task *task;

  DL_FOREACH (worker->tasks, task)
  {
    if (task->ended_at == 0 && place_task_id_eq (&task->task.id, id))
      return task;
  }
  return NULL;
}

int
place_task_add (struct kq_place *place, struct place_worker *worker,
                const struct kq_place_running *running, kq_usec now)
{
  const struct kq_place_task *task = &running->task;
  struct place_class *class = place_get_class (place, task);
  struct place_task *added = class ? calloc (1, sizeof (*added)) : NULL;

  if (added == NULL)
    return KQ_ENOMEM;
  added->task = *task;
  added->granted = running->granted;
  added->checkpoint = running->checkpoint;
  added->class = class;
  added->started_at = now;
  added->checkpointed_at = now;
  added->share = running->share_milli;
  class->tasks++;
  class->running++;
  class->team->declared_running.cpu_milli += task->size.cpu_milli;
  class->team->declared_running.memory_mb += task->size.memory_mb;
  class->team->declared_running.accelerators += task->size.accelerators;
  DL_APPEND (worker->tasks, added);
  place_load_update (place, worker);
  return 0;
}

static void
remove_old_ended (struct place_worker *worker, kq_usec now)
{
  struct place_task *task;
  struct place_task *next;

  DL_FOREACH_SAFE (worker->tasks, task, next)
  {
    if (task->ended_at != 0 && task->ended_at < now - ENDED_TASK_RETENTION_US)
      free_task (worker, task);
  }
}

/** Marks TASK as ended at NOW; it is kept in order to interpret late reports.
 */
static void
end_task (struct place_task *task, kq_usec now)
{
  task->ended_at = now;
  subtract_task (task);
}

void
kq_place_end_task (struct kq_place *place, const struct kq_name *name,
                   const struct kq_task_id *id, kq_usec now)
{
  struct place_worker *worker = place_worker_find (place, name);
  struct place_task *task = worker ? place_task_find (worker, id) : NULL;

  if (task == NULL)
    return;
  end_task (task, now);
  remove_old_ended (worker, now);
  place_load_update (place, worker);
}

/** Updates TASK from RUNNING. */
static void
update_task (struct place_task *task, const struct kq_place_running *running,
             kq_usec now)
{
  task->granted = running->granted;
  if (running->checkpoint > task->checkpoint)
    {
      task->checkpoint = running->checkpoint;
      task->checkpointed_at = now;
    }
  if (running->share_milli != task->share
      && now > task->share_changed_at + ACTION_EFFECT_DELAY_US)
    {
      task->previous_share = task->share;
      task->share = running->share_milli;
      task->share_changed_at = now;
    }
}

static bool
contains_task (const struct place_task *task,
               const struct kq_place_running *tasks, size_t count)
{
  for (size_t i = 0; i < count; i++)
    if (place_task_id_eq (&task->task.id, &tasks[i].task.id))
      return true;
  return false;
}

int
kq_place_sync_tasks (struct kq_place *place, const struct kq_name *name,
                     const struct kq_place_running *tasks, size_t count,
                     kq_usec now)
{
  struct place_worker *worker = place_worker_find (place, name);
  struct place_task *task;
  int err = 0;

  if (worker == NULL)
    return KQ_ENOENT;
  DL_FOREACH (worker->tasks, task)
  {
    if (task->ended_at == 0 && !contains_task (task, tasks, count))
      end_task (task, now);
  }
  remove_old_ended (worker, now);
  for (size_t i = 0; i < count && err == 0; i++)
    {
      task = place_task_find (worker, &tasks[i].task.id);
      if (task != NULL)
        update_task (task, &tasks[i], now);
      else
        err = place_task_add (place, worker, &tasks[i], now);
    }
  place_load_update (place, worker);
  return err;
}

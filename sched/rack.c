/* Racks (rack_*): their workers, what is learned from the ends of short tasks
 * there, and which runs were away from the rack of their data or group.
 *
 * All of it is in the owner's memory and starts anew with each owner. Without
 * a remote_factor above 1 there are no racks here.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "log/log.h"
#include "sched/internal.h"

/* Maximum number of racks: a cell of the design size has 79 workers, and the
   largest known deployment 490. */
#define MAX_RACKS 256

static bool
is_enabled (const struct kq_sched *sched)
{
  return sched->settings.remote_factor > 1;
}

struct rack *
rack_find (const struct kq_sched *sched, int service, const char *name)
{
  struct rack_key key;
  struct rack *rack;

  if (sched->racks == NULL)
    return NULL;
  memset (&key, 0, sizeof key);
  key.service = service;
  snprintf (key.name, sizeof key.name, "%s", name);
  HASH_FIND (hh, sched->racks, &key, sizeof key, rack);
  return rack;
}

/* Removes a rack without workers to make room for another. Returns false if
   all have some. */
static bool
remove_empty_rack (struct kq_sched *sched)
{
  struct rack *rack;
  struct rack *next;

  HASH_ITER (hh, sched->racks, rack, next)
  {
    if (rack->workers != NULL)
      continue;
    HASH_DEL (sched->racks, rack);
    free (rack);
    return true;
  }
  return false;
}

static struct rack *
find_or_add (struct kq_sched *sched, int service, const char *name)
{
  struct rack *rack = rack_find (sched, service, name);

  if (rack != NULL)
    return rack;
  if (HASH_COUNT (sched->racks) >= MAX_RACKS && !remove_empty_rack (sched))
    {
      if (!sched->racks_overflow)
        kq_log (KQ_LOG_WARN, "sched", "too many racks", 0, "rack", name, "why",
                "nothing waits for room there", NULL);
      sched->racks_overflow = true;
      return NULL;
    }
  rack = calloc (1, sizeof *rack);
  if (rack == NULL)
    return NULL;
  rack->key.service = service;
  snprintf (rack->key.name, sizeof rack->key.name, "%s", name);
  HASH_ADD (hh, sched->racks, key, sizeof rack->key, rack);
  return rack;
}

static bool
is_in_rack (const struct worker *worker)
{
  return worker->registered && worker->rack != NULL
         && worker->rack->key.service == worker->service
         && strcmp (worker->rack->key.name, worker->report.rack) == 0;
}

void
rack_join (struct kq_sched *sched, struct worker *worker)
{
  if (!is_enabled (sched))
    return;
  if (!is_in_rack (worker))
    {
      if (worker->rack != NULL)
        DL_DELETE2 (worker->rack->workers, worker, rack_prev, rack_next);
      worker->rack = NULL;
      if (worker->registered && worker->report.rack[0] != '\0')
        worker->rack
            = find_or_add (sched, worker->service, worker->report.rack);
      if (worker->rack != NULL)
        DL_APPEND2 (worker->rack->workers, worker, rack_prev, rack_next);
    }
  if (worker->rack == NULL)
    return;
  worker->rack->full = false;
  if (worker->rack->worker_count == 0 && !worker->report.draining)
    worker->rack->worker_count = 1;
}

void
rack_tick (struct kq_sched *sched, struct kq_sched_now now)
{
  struct rack *rack;

  if (!is_enabled (sched))
    return;
  for (size_t i = 0; i < sched->worker_count; i++)
    rack_join (sched, sched->worker_array[i]);
  for (rack = sched->racks; rack != NULL; rack = rack->hh.next)
    {
      const struct worker *worker;
      struct kq_near_running running = { 0, 0 };

      rack->worker_count = 0;
      DL_FOREACH2 (rack->workers, worker, rack_next)
      {
        running.count += worker->short_running.count;
        running.rate += worker->short_running.rate;
        rack->worker_count += !worker->report.draining;
      }
      kq_near_set_running (&rack->ends, &running, now.mono);
    }
}

void
rack_destroy_all (struct kq_sched *sched)
{
  struct rack *rack;
  struct rack *next;

  rack = sched->racks;
  HASH_CLEAR (hh, sched->racks);
  for (; rack != NULL; rack = next)
    {
      next = rack->hh.next;
      free (rack);
    }
}

/* Adds (SIGN 1) or subtracts (SIGN -1) TASK from what runs in RACK. */
static void
change_running (struct rack *rack, const struct task *task, int sign,
                kq_usec now)
{
  struct kq_near_running running = rack->ends.running;

  rack_add_running (&running, task, sign);
  /* What runs is counted anew at each tick: a task may have been bound before
     its worker named the rack. */
  if (running.count < 0 || running.rate < 0)
    running = (struct kq_near_running){ 0, 0 };
  kq_near_set_running (&rack->ends, &running, now);
}

void
rack_add_running (struct kq_near_running *running, const struct task *task,
                  int sign)
{
  if (!service_is_short (task->stage->step))
    return;
  running->count += sign;
  running->rate += sign * kq_near_rate (task->stage->length_ms);
}

void
rack_note_bind (struct kq_sched *sched, const struct task *task,
                struct kq_sched_now now)
{
  if (task->worker->rack != NULL)
    change_running (task->worker->rack, task, 1, now.mono);
}

void
rack_note_release (struct kq_sched *sched, const struct task *task,
                   struct kq_sched_now now)
{
  struct rack *rack = task->state == TASK_BOUND ? task->worker->rack : NULL;

  if (rack == NULL)
    return;
  rack->full = false;
  /* What was never sent has not run. */
  if (task->phase != PHASE_STORING && service_is_short (task->stage->step))
    kq_near_note_end (&rack->ends, &task->stage->step->demand, now.mono);
  change_running (rack, task, -1, now.mono);
}

/* Whether the run of TASK is in another rack than that of its data. */
static bool
is_off_data (const struct task *task)
{
  const char *rack = task->stage->step->rack;

  return rack[0] != '\0' && strcmp (rack, task->worker->report.rack) != 0;
}

/* Whether another task of the group of TASK is bound in another rack. */
static bool
is_off_group (const struct task *task)
{
  const struct stage *stage = task->stage;

  for (int i = 0; stage->step->same_rack && i < stage->step->count; i++)
    {
      const struct task *other = &stage->tasks[i];

      if (other != task && other->state == TASK_BOUND)
        return strcmp (other->worker->report.rack, task->worker->report.rack)
               != 0;
    }
  return false;
}

void
rack_note_start (struct kq_sched *sched, struct task *task,
                 struct kq_sched_now now)
{
  bool near = task->worker->rack != NULL
              && rack_of_task (sched, task) == task->worker->rack;
  bool off_group;

  rack_end_wait (sched, task, near, near ? "near" : "far", now);
  task->wait_over = false;
  if (!is_enabled (sched))
    return;
  off_group = is_off_group (task);
  task->stage->group_spread |= off_group;
  sched->counts.far_runs += off_group || is_off_data (task);
}

double
rack_run_factor (const struct kq_sched *sched, const struct task *task)
{
  const struct kq_sched_step *step = task->stage->step;

  if (!is_enabled (sched))
    return 1;
  /* When each task of a spread group ran how fast is not known, nor is the
     rack of a worker that was restored and has not registered. */
  if (task->stage->group_spread
      || (step->rack[0] != '\0' && task->worker->report.rack[0] == '\0'))
    return 0;
  return is_off_data (task) ? sched->settings.remote_factor : 1;
}

static bool
has_no_worker (const struct kq_sched *sched, int service, const char *name)
{
  const struct rack *rack;

  if (name[0] == '\0' || sched->racks == NULL || sched->racks_overflow)
    return false;
  rack = rack_find (sched, service, name);
  return rack == NULL || rack->worker_count == 0;
}

int64_t
rack_critical_path_ms (const struct kq_sched *sched, const struct stage *stage)
{
  const struct job *job = stage->job;
  const struct stage *first = stage - stage->number;
  int64_t lengths[KQ_SCHED_MAX_STEPS] = { 0 };
  bool differs = false;

  if (!job->names_rack || !is_enabled (sched))
    return stage->critical_path_ms;
  for (int i = stage->number; i < job->spec.step_count; i++)
    {
      lengths[i] = first[i].length_ms;
      if (!has_no_worker (sched, job->service, job->spec.steps[i].rack))
        continue;
      lengths[i]
          = (int64_t)((double)lengths[i] * sched->settings.remote_factor);
      differs = true;
    }
  return differs ? job_critical_path_ms (&job->spec, lengths, stage->number)
                 : stage->critical_path_ms;
}

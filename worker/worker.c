#include "worker/worker.h"

#include <stdlib.h>
#include <string.h>

#include <utlist.h>

#include "base/err.h"

struct kq_worker
{
  struct kq_name name;
  struct kq_worker_table table;
  struct kq_attempt *attempts;
  bool leaving;
  struct kq_task_id failed_tasks[KQ_WORKER_MAX_FAILED_TASKS]; /* distinct,
                                                  since the last success */
  int failed_count;
  bool last_succeeded;
  kq_usec quarantined_until;
};

struct kq_worker *
kq_worker_create (const struct kq_name *name)
{
  struct kq_worker *worker = calloc (1, sizeof *worker);

  if (worker != NULL)
    worker->name = *name;
  return worker;
}

void
kq_worker_destroy (struct kq_worker *worker)
{
  struct kq_attempt *attempt;

  if (worker == NULL)
    return;
  attempt = worker->attempts;
  while (attempt != NULL)
    {
      struct kq_attempt *next = attempt->next;

      free (attempt);
      attempt = next;
    }
  free (worker);
}

const struct kq_name *
kq_worker_name (const struct kq_worker *worker)
{
  return &worker->name;
}

void
kq_worker_update_table (struct kq_worker *worker,
                        const struct kq_worker_table *table)
{
  worker->table = *table;
  worker->table.rows = NULL;
  worker->table.row_count = 0;
}

const struct kq_worker_table *
kq_worker_table (const struct kq_worker *worker)
{
  return &worker->table;
}

struct kq_attempt *
kq_worker_attempts (const struct kq_worker *worker)
{
  return worker->attempts;
}

struct kq_attempt *
kq_worker_find_attempt (const struct kq_worker *worker,
                        const struct kq_attempt_row *row)
{
  struct kq_attempt *attempt;

  DL_FOREACH (worker->attempts, attempt)
  if (attempt->row.attempt == row->attempt
      && attempt->row.task.index == row->task.index
      && kq_name_eq (&attempt->row.task.job, &row->task.job))
    return attempt;
  return NULL;
}

void
kq_worker_set_leaving (struct kq_worker *worker, bool leaving)
{
  worker->leaving = leaving;
}

bool
kq_worker_is_leaving (const struct kq_worker *worker)
{
  return worker->leaving;
}

static bool
uses_capacity (const struct kq_attempt *attempt)
{
  return attempt->phase != KQ_PHASE_ENDED;
}

struct kq_resources
kq_worker_free_capacity (const struct kq_worker *worker)
{
  struct kq_resources free_size = worker->table.capacity;
  const struct kq_attempt *attempt;

  DL_FOREACH (worker->attempts, attempt)
  if (uses_capacity (attempt))
    {
      free_size.cpu_milli -= attempt->row.size.cpu_milli;
      free_size.memory_mb -= attempt->row.size.memory_mb;
      free_size.accelerators -= attempt->row.size.accelerators;
    }
  return free_size;
}

bool
kq_resources_fit (const struct kq_resources *a, const struct kq_resources *b)
{
  return a->cpu_milli <= b->cpu_milli && a->memory_mb <= b->memory_mb
         && a->accelerators <= b->accelerators;
}

int
kq_worker_check_start (const struct kq_worker *worker,
                       const struct kq_resources *size, kq_usec now)
{
  struct kq_resources free_size;

  if (worker->leaving)
    return KQ_EWORKER_LEAVING;
  if (kq_worker_is_quarantined (worker, now))
    return KQ_EWORKER_QUARANTINED;
  free_size = kq_worker_free_capacity (worker);
  return kq_resources_fit (size, &free_size) ? 0 : KQ_EWORKER_FULL;
}

static struct kq_attempt *
add_attempt (struct kq_worker *worker, const struct kq_attempt_row *row,
             enum kq_attempt_phase phase)
{
  struct kq_attempt *attempt = calloc (1, sizeof *attempt);

  if (attempt == NULL)
    return NULL;
  attempt->row = *row;
  attempt->phase = phase;
  attempt->worker = worker;
  DL_APPEND (worker->attempts, attempt);
  return attempt;
}

struct kq_attempt *
kq_worker_admit (struct kq_worker *worker, const struct kq_attempt_row *row,
                 kq_usec now)
{
  struct kq_attempt *attempt;

  if (kq_worker_check_start (worker, &row->size, now) != 0)
    abort ();
  attempt = add_attempt (worker, row, KQ_PHASE_PENDING);
  if (attempt != NULL)
    attempt->started_at = now;
  return attempt;
}

static enum kq_attempt_phase
phase_of (enum kq_attempt_state state)
{
  switch (state)
    {
    case KQ_ATTEMPT_RUNNING:
    case KQ_ATTEMPT_CHECKPOINTING:
      return KQ_PHASE_LIVE;
    case KQ_ATTEMPT_DONE:
    case KQ_ATTEMPT_FAILED:
    case KQ_ATTEMPT_EVICTED:
      return KQ_PHASE_ENDED;
    }
  return KQ_PHASE_LIVE;
}

struct kq_attempt *
kq_worker_apply_row (struct kq_worker *worker,
                     const struct kq_attempt_row *row)
{
  struct kq_attempt *attempt = kq_worker_find_attempt (worker, row);

  if (attempt == NULL)
    return add_attempt (worker, row, phase_of (row->state));
  attempt->row = *row;
  attempt->phase = phase_of (row->state);
  return attempt;
}

void
kq_worker_remove_attempt (struct kq_attempt *attempt)
{
  if (attempt->run != NULL)
    abort ();
  DL_DELETE (attempt->worker->attempts, attempt);
  free (attempt);
}

static bool
already_failed (const struct kq_worker *worker, const struct kq_task_id *task)
{
  for (int i = 0; i < worker->failed_count; i++)
    if (worker->failed_tasks[i].index == task->index
        && kq_name_eq (&worker->failed_tasks[i].job, &task->job))
      return true;
  return false;
}

void
kq_worker_record_end (struct kq_worker *worker, const struct kq_task_id *task,
                      bool failed, kq_usec now)
{
  if (!failed)
    {
      worker->failed_count = 0;
      worker->last_succeeded = true;
      return;
    }
  worker->last_succeeded = false;
  if (already_failed (worker, task))
    return;
  worker->failed_tasks[worker->failed_count++] = *task;
  if (worker->failed_count == KQ_WORKER_MAX_FAILED_TASKS)
    {
      worker->quarantined_until = now + KQ_WORKER_QUARANTINE_US;
      /* After the quarantine, the failure of one more distinct task starts it
         again.  */
      worker->failed_count--;
    }
}

bool
kq_worker_is_quarantined (const struct kq_worker *worker, kq_usec now)
{
  return now < worker->quarantined_until;
}

bool
kq_worker_last_succeeded (const struct kq_worker *worker)
{
  return worker->last_succeeded;
}

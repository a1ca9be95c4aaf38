/* Fake workers: leases that change by compare-and-set, attempts, and the
   invariants that are checked on each request.  */

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/err.h"
#include "t/lib-fake.h"

/* Fraction of the processors in use above which the power guard throttles. */
#define POWER_GUARD_FRACTION 0.8

#define CHECKPOINT_INTERVAL_SEC 2.0
#define CHECKPOINT_DURATION_SEC 0.3
#define FAILURE_DELAY_SEC 0.2
#define USEC_PER_SEC 1e6

struct fake_task *
fake_task (struct fake_world *world, const struct kq_task_id *id)
{
  struct kq_task_id key;
  struct fake_task *task;

  memset (&key, 0, sizeof key);
  strcpy (key.job.text, id->job.text);
  key.index = id->index;
  HASH_FIND (hh, world->tasks, &key, sizeof key, task);
  if (task != NULL)
    return task;
  task = calloc (1, sizeof *task);
  task->id = key;
  HASH_ADD (hh, world->tasks, id, sizeof task->id, task);
  return task;
}

static bool
is_live (const struct fake_row *row)
{
  return row->row.state == KQ_ATTEMPT_RUNNING
         || row->row.state == KQ_ATTEMPT_CHECKPOINTING;
}

static void
end_row (struct fake_world *world, struct fake_row *row,
         enum kq_attempt_state state)
{
  struct fake_task *task = fake_task (world, &row->row.task);

  row->row.state = state;
  task->success_count += state == KQ_ATTEMPT_DONE;
  task->failure_count += state == KQ_ATTEMPT_FAILED;
  world->evictions += state == KQ_ATTEMPT_EVICTED;
}

static void
advance_row (struct fake_world *world, struct fake_worker *worker,
             struct fake_row *row)
{
  double until = world->now < row->expires_at ? world->now : row->expires_at;
  double run_time = until - row->started_at;
  int64_t progress_ms = row->start_progress_ms + (int64_t)(run_time * 1000);
  int64_t latest_checkpoint
      = row->start_progress_ms
        + (int64_t)(run_time / CHECKPOINT_INTERVAL_SEC)
              * (int64_t)(CHECKPOINT_INTERVAL_SEC * 1000);

  if (!is_live (row))
    return;
  if (latest_checkpoint > row->row.checkpoint)
    row->row.checkpoint = latest_checkpoint;
  if (row->row.state == KQ_ATTEMPT_CHECKPOINTING
      && until >= row->checkpoint_due_at)
    {
      row->row.state = KQ_ATTEMPT_RUNNING;
      if (progress_ms > row->row.checkpoint)
        row->row.checkpoint = progress_ms;
    }
  if (worker->tasks_fail && run_time >= FAILURE_DELAY_SEC)
    end_row (world, row, KQ_ATTEMPT_FAILED);
  else if (progress_ms >= row->run_ms)
    end_row (world, row, KQ_ATTEMPT_DONE);
  else if (world->now >= row->expires_at)
    {
      end_row (world, row, KQ_ATTEMPT_EVICTED);
      fake_trace (world, "lease of task %s/%d expires at worker %s",
                  row->row.task.job.text, row->row.task.index,
                  worker->name.text);
    }
}

static void
advance_worker (struct fake_world *world, struct fake_worker *worker)
{
  for (int i = 0; i < worker->row_count; i++)
    advance_row (world, worker, &worker->rows[i]);
  if (world->now >= worker->lease_ends_at)
    memset (&worker->holder, 0, sizeof worker->holder);
}

void
fake_workers_advance (struct fake_world *world)
{
  for (int i = 0; i < FAKE_WORKERS; i++)
    advance_worker (world, &world->workers[i]);
}

void
fake_worker_restart (struct fake_world *world, int worker)
{
  advance_worker (world, &world->workers[worker]);
  /* The worker keeps its lease: docs/design/assumptions.md, number 5. */
  world->workers[worker].row_count = 0;
}

static double
to_real_seconds (const struct fake_worker *worker, kq_usec duration)
{
  return (double)duration / USEC_PER_SEC / worker->clock_rate;
}

static struct kq_name
make_holder_name (const struct fake_world *world, const struct fake_item *item)
{
  struct kq_name name = { "" };

  snprintf (name.text, sizeof name.text, "%.30s/%lx",
            world->hosts[item->host].name.text,
            (unsigned long)item->incarnation);
  return name;
}

static int
change_lease (struct fake_world *world, struct fake_worker *worker,
              const struct kq_name *sender, const struct kq_effect *effect)
{
  bool is_free = kq_name_empty (&worker->holder);

  if (effect->u.lease.term != worker->term
      || effect->u.lease.serial != worker->serial)
    return is_free ? KQ_ELEASE_TERM : KQ_ELEASE_HELD;
  if (!is_free && !kq_name_eq (sender, &worker->holder))
    return KQ_ELEASE_HELD;
  worker->serial++;
  if (effect->u.lease.ttl == 0)
    {
      fake_trace (world, "worker %s is released by %s", worker->name.text,
                  sender->text);
      memset (&worker->holder, 0, sizeof worker->holder);
      worker->lease_ends_at = world->now;
      return 0;
    }
  worker->lease_ends_at
      = world->now + to_real_seconds (worker, effect->u.lease.ttl);
  if (is_free)
    {
      worker->term++;
      worker->holder = *sender;
      fake_trace (world, "worker %s is leased by %s, term %ld",
                  worker->name.text, sender->text, (long)worker->term);
      return 0;
    }
  for (int i = 0; i < worker->row_count; i++)
    {
      struct fake_row *row = &worker->rows[i];
      double new_expires_at
          = world->now + to_real_seconds (worker, effect->u.lease.task_ttl);

      if (is_live (row) && new_expires_at > row->expires_at)
        row->expires_at = new_expires_at;
    }
  return 0;
}

/* Reports the usage of WORKER's tasks: between half and twice the size in
   their start requests, by job.  One worker in three reports no usage, the
   others report usage that is 0 or 5 s old.  Above POWER_GUARD_FRACTION the
   power guard throttles.  */
static void
report_usage (const struct fake_world *world, const struct fake_worker *worker,
              struct kq_worker_table *table)
{
  int number = (int)(worker - world->workers);

  if (number % 3 == 0 || world->workers_report_no_usage)
    return;
  for (int i = 0; i < worker->row_count; i++)
    {
      const struct kq_attempt_row *row = &worker->rows[i].row;
      int half_units
          = 1 + (row->task.job.text[strlen (row->task.job.text) - 1] & 3);

      if (!is_live (&worker->rows[i]))
        continue;
      table->used.cpu_milli
          += row->size.cpu_milli * half_units / 2 * row->share_milli / 1000;
      table->used.memory_mb += row->size.memory_mb * half_units / 2;
    }
  table->usage_seq = 1 + (int64_t)world->now;
  table->usage_age = (kq_usec)(number % 2 * 5 * USEC_PER_SEC);
  table->throttled = table->used.cpu_milli
                     > POWER_GUARD_FRACTION * worker->capacity.cpu_milli;
  table->busy_slots = number % 5;
}

/* Returns whether the reply to ITEM can reach the sender. */
static bool
can_receive_reply (const struct fake_world *world,
                   const struct fake_item *item)
{
  return world->hosts[item->host].incarnation == item->incarnation
         && !world->faults.replies_cut[item->host][item->worker];
}

static void
send_lease_reply (struct fake_world *world, const struct fake_item *item,
                  int err)
{
  struct fake_worker *worker = &world->workers[item->worker];
  struct fake_payload *payload = fake_payload_create ();
  struct kq_lease_reply *reply = &payload->event.u.lease;
  struct kq_attempt_row *rows
      = calloc ((size_t)worker->row_count + 1, sizeof *rows);

  for (int i = 0; i < worker->row_count; i++)
    rows[i] = worker->rows[i].row;
  payload->event.kind = KQ_EV_LEASE;
  payload->bytes = rows;
  reply->worker = worker->name;
  reply->sent_at = (kq_usec)item->sent_at;
  reply->err = err;
  reply->term = worker->term;
  reply->serial = worker->serial;
  reply->holder = worker->holder;
  if (!kq_name_empty (&worker->holder))
    reply->remaining = (kq_usec)((worker->lease_ends_at - world->now)
                                 * USEC_PER_SEC * worker->clock_rate);
  reply->table.capacity = worker->capacity;
  reply->table.slots = 8;
  report_usage (world, worker, &reply->table);
  reply->table.rows = rows;
  reply->table.row_count = (size_t)worker->row_count;
  if (can_receive_reply (world, item))
    fake_send_event (world, payload, worker->zone, item->host);
  fake_payload_unref (payload);
}

static struct fake_row *
find_row (struct fake_worker *worker, const struct kq_attempt_row *wanted)
{
  for (int i = 0; i < worker->row_count; i++)
    if (worker->rows[i].row.attempt == wanted->attempt
        && worker->rows[i].row.task.index == wanted->task.index
        && kq_name_eq (&worker->rows[i].row.task.job, &wanted->task.job))
      return &worker->rows[i];
  return NULL;
}

static void
check_single_attempt (struct fake_world *world,
                      const struct fake_worker *worker,
                      const struct kq_attempt_row *start)
{
  for (int i = 0; i < FAKE_WORKERS; i++)
    for (int k = 0; k < world->workers[i].row_count; k++)
      {
        const struct fake_row *row = &world->workers[i].rows[k];

        if (is_live (row) && row->row.task.index == start->task.index
            && kq_name_eq (&row->row.task.job, &start->task.job))
          fake_violation (world,
                          "task %s/%d starts at worker %s as attempt %ld, "
                          "runs at worker %s as attempt %ld",
                          start->task.job.text, start->task.index,
                          worker->name.text, (long)start->attempt,
                          world->workers[i].name.text, (long)row->row.attempt);
      }
}

static bool
fits (const struct fake_worker *worker, const struct kq_resources *size)
{
  int32_t cpu = size->cpu_milli;
  int32_t memory = size->memory_mb;

  for (int i = 0; i < worker->row_count; i++)
    if (is_live (&worker->rows[i]))
      {
        cpu += worker->rows[i].row.size.cpu_milli;
        memory += worker->rows[i].row.size.memory_mb;
      }
  return cpu <= worker->capacity.cpu_milli
         && memory <= worker->capacity.memory_mb;
}

/* An attempt number identifies one attempt at one worker.  A duplicate of its
   start request must not start an attempt again that has ended and was
   acknowledged.  A worker that lost its rows in a restart may start an attempt
   again that wasn't acknowledged.  */
static void
check_attempt_number (struct fake_world *world, struct fake_task *task,
                      int64_t number, int worker)
{
  int i;

  for (i = 0; i < FAKE_MAX_ATTEMPTS && i < task->attempt_count; i++)
    if (task->attempts[i].number == number)
      {
        if (task->attempts[i].acknowledged
            || task->attempts[i].worker != worker)
          fake_violation (world, "attempt %ld of task %s/%d starts again",
                          (long)number, task->id.job.text, task->id.index);
        return;
      }
  i = task->attempt_count++ % FAKE_MAX_ATTEMPTS;
  task->attempts[i].number = number;
  task->attempts[i].worker = worker;
  task->attempts[i].acknowledged = false;
}

static void
note_acknowledged (struct fake_world *world, const struct fake_row *row)
{
  struct fake_task *task = fake_task (world, &row->row.task);

  for (int i = 0; i < FAKE_MAX_ATTEMPTS && i < task->attempt_count; i++)
    if (task->attempts[i].number == row->row.attempt)
      task->attempts[i].acknowledged = true;
}

static void
check_start (struct fake_world *world, struct fake_worker *worker,
             const struct fake_item *item, const struct kq_attempt_row *start)
{
  struct fake_task *task = fake_task (world, &start->task);
  const struct fake_host *host = &world->hosts[item->host];
  double decided_at
      = (item->sent_at / USEC_PER_SEC - host->clock_offset) / host->clock_rate;

  check_single_attempt (world, worker, start);
  if (task->ended_at != 0
      && start->attempt / KQ_ATTEMPTS_PER_EPOCH > task->ended_at)
    fake_violation (
        world, "task %s/%d starts as attempt %ld after its END record at %ld",
        start->task.job.text, start->task.index, (long)start->attempt,
        (long)task->ended_at);
  if (start->binding < 1 || start->binding > world->log_count
      || world->log[start->binding - 1].record->kind != KQ_REC_BIND)
    fake_violation (world, "task %s/%d starts without a BIND record",
                    start->task.job.text, start->task.index);
  if (host->leaving_known_since[item->worker] > 0
      && decided_at > host->leaving_known_since[item->worker] + 3.0)
    fake_violation (
        world,
        "worker %s starts a task over 3 s after its host knew that it "
        "is leaving",
        worker->name.text);
  if (world->drained[item->worker] != 0
      && host->drain_known_since[item->worker] > 0
      && decided_at > host->drain_known_since[item->worker] + 3.0)
    fake_violation (
        world,
        "worker %s starts a task over 3 s after its host knew that it "
        "is drained",
        worker->name.text);
  if (start->checkpoint > 0)
    world->resumes++;
  check_attempt_number (world, task, start->attempt, item->worker);
  task->last_attempt = start->attempt;
  world->starts++;
}

static int
start_row (struct fake_world *world, struct fake_worker *worker,
           const struct fake_item *item, const struct kq_effect *effect)
{
  const struct kq_attempt_row *start = &effect->u.task.row;
  struct fake_row *row;

  if (find_row (worker, start) != NULL)
    return 0;
  fake_workers_advance (world);
  if (!fits (worker, &start->size) || worker->row_count == FAKE_MAX_ROWS)
    {
      for (int i = 0; i < worker->row_count; i++)
        fake_trace (
            world,
            "worker %s has task %s/%d as attempt %ld, state %d, cpu_milli %d",
            worker->name.text, worker->rows[i].row.task.job.text,
            worker->rows[i].row.task.index, (long)worker->rows[i].row.attempt,
            (int)worker->rows[i].row.state,
            worker->rows[i].row.size.cpu_milli);
      fake_violation (world,
                      "worker %s with cpu_milli %d has no capacity for task "
                      "%s/%d as attempt %ld, cpu_milli %d",
                      worker->name.text, worker->capacity.cpu_milli,
                      start->task.job.text, start->task.index,
                      (long)start->attempt, start->size.cpu_milli);
      return KQ_EWORKER_FULL;
    }
  check_start (world, worker, item, start);
  row = &worker->rows[worker->row_count++];
  memset (row, 0, sizeof *row);
  row->row = *start;
  row->start_progress_ms = start->checkpoint;
  row->run_ms = effect->u.task.run_ms;
  row->started_at = world->now;
  row->expires_at
      = world->now + to_real_seconds (worker, 10 * KQ_USEC_PER_SEC);
  fake_trace (
      world, "worker %s starts task %s/%d as attempt %ld from %ld ms by %s",
      worker->name.text, start->task.job.text, start->task.index,
      (long)start->attempt, (long)start->checkpoint, worker->holder.text);
  return 0;
}

/* An ended attempt may be acknowledged, which removes its row, only when its
   result is in the log, or the task was bound or started again.  */
static void
check_acknowledged (struct fake_world *world, const struct fake_row *row)
{
  const struct kq_job_task *task
      = kq_jobs_find_task (world->jobs, &row->row.task);
  const struct fake_task *task_facts = fake_task (world, &row->row.task);

  if (task == NULL || task->ended || task->binding != row->row.binding)
    return;
  if (row->row.state == KQ_ATTEMPT_DONE)
    fake_violation (world,
                    "end of task %s/%d is acknowledged but not in the log",
                    row->row.task.job.text, row->row.task.index);
  else if (task_facts->last_attempt == row->row.attempt)
    fake_violation (
        world,
        "eviction of task %s/%d is acknowledged without a later attempt",
        row->row.task.job.text, row->row.task.index);
}

static int
change_row (struct fake_world *world, struct fake_worker *worker,
            const struct kq_effect *effect)
{
  struct fake_row *row = find_row (worker, &effect->u.task.row);

  if (row == NULL)
    return KQ_ENOENT;
  switch (effect->u.task.action)
    {
    case KQ_TASK_STOP:
      if (!is_live (row))
        break;
      end_row (world, row, KQ_ATTEMPT_EVICTED);
      fake_trace (world, "worker %s stops task %s/%d by %s", worker->name.text,
                  row->row.task.job.text, row->row.task.index,
                  worker->holder.text);
      break;
    case KQ_TASK_CHECKPOINT:
      if (row->row.state == KQ_ATTEMPT_RUNNING)
        {
          row->row.state = KQ_ATTEMPT_CHECKPOINTING;
          row->checkpoint_due_at = world->now + CHECKPOINT_DURATION_SEC;
        }
      break;
    case KQ_TASK_ACK:
      if (is_live (row))
        break;
      check_acknowledged (world, row);
      note_acknowledged (world, row);
      *row = worker->rows[--worker->row_count];
      break;
    case KQ_TASK_THROTTLE:
      row->row.share_milli = effect->u.task.row.share_milli;
      break;
    case KQ_TASK_START:
      break;
    }
  return 0;
}

static int
change_task (struct fake_world *world, struct fake_worker *worker,
             const struct fake_item *item, const struct kq_name *sender)
{
  const struct kq_effect *effect = &item->payload->effect;

  if (kq_name_empty (&worker->holder))
    return KQ_ELEASE_LAPSED;
  if (effect->u.task.term != worker->term
      || effect->u.task.serial + 1 < worker->serial
      || !kq_name_eq (sender, &worker->holder))
    return KQ_ELEASE_TERM;
  if (effect->u.task.action == KQ_TASK_START)
    return start_row (world, worker, item, effect);
  return change_row (world, worker, effect);
}

static void
send_task_reply (struct fake_world *world, const struct fake_item *item,
                 int err)
{
  const struct kq_effect *effect = &item->payload->effect;
  struct fake_payload *payload = fake_payload_create ();
  struct kq_task_reply *reply = &payload->event.u.task;

  payload->event.kind = KQ_EV_TASK;
  reply->worker = effect->u.task.worker;
  reply->task = effect->u.task.row.task;
  reply->attempt = effect->u.task.row.attempt;
  reply->action = effect->u.task.action;
  reply->err = err;
  if (can_receive_reply (world, item))
    fake_send_event (world, payload, world->workers[item->worker].zone,
                     item->host);
  fake_payload_unref (payload);
}

void
fake_worker_request (struct fake_world *world, struct fake_item *item)
{
  struct fake_worker *worker = &world->workers[item->worker];
  struct kq_name sender = make_holder_name (world, item);

  if (worker->down)
    return;
  advance_worker (world, worker);
  if (item->payload->effect.kind == KQ_FX_LEASE)
    send_lease_reply (
        world, item,
        change_lease (world, worker, &sender, &item->payload->effect));
  else
    send_task_reply (world, item, change_task (world, worker, item, &sender));
}

/* Workers: leases by compare-and-set, attempts, and what they assert. */

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/err.h"
#include "t/lib-fake.h"

/* Part of the processors in use above which the power guard is on. */
#define USED_MOST 0.8

#define SAVE_EVERY 2.0
#define SAVE_TAKES 0.3
#define BAD_AFTER 0.2
#define USEC 1e6

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
  task->done += state == KQ_ATTEMPT_DONE;
  task->failed += state == KQ_ATTEMPT_FAILED;
  world->evictions += state == KQ_ATTEMPT_EVICTED;
}

static void
advance_row (struct fake_world *world, struct fake_worker *worker,
             struct fake_row *row)
{
  double until = world->now < row->ends_at ? world->now : row->ends_at;
  double ran = until - row->started_at;
  int64_t progress = row->base + (int64_t)(ran * 1000);
  int64_t saved
      = row->base + (int64_t)(ran / SAVE_EVERY) * (int64_t)(SAVE_EVERY * 1000);

  if (!is_live (row))
    return;
  if (saved > row->row.checkpoint)
    row->row.checkpoint = saved;
  if (row->row.state == KQ_ATTEMPT_CHECKPOINTING
      && until >= row->checkpoint_at)
    {
      row->row.state = KQ_ATTEMPT_RUNNING;
      if (progress > row->row.checkpoint)
        row->row.checkpoint = progress;
    }
  if (worker->bad && ran >= BAD_AFTER)
    end_row (world, row, KQ_ATTEMPT_FAILED);
  else if (progress >= row->run_ms)
    end_row (world, row, KQ_ATTEMPT_DONE);
  else if (world->now >= row->ends_at)
    {
      end_row (world, row, KQ_ATTEMPT_EVICTED);
      fake_trace (world, "%s/%d lapses at %s", row->row.task.job.text,
                  row->row.task.index, worker->name.text);
    }
}

static void
advance (struct fake_world *world, struct fake_worker *worker)
{
  for (int i = 0; i < worker->row_count; i++)
    advance_row (world, worker, &worker->rows[i]);
  if (world->now >= worker->lease_ends)
    memset (&worker->holder, 0, sizeof worker->holder);
}

void
fake_workers_advance (struct fake_world *world)
{
  for (int i = 0; i < FAKE_WORKERS; i++)
    advance (world, &world->workers[i]);
}

void
fake_worker_restart (struct fake_world *world, int worker)
{
  advance (world, &world->workers[worker]);
  /* The lease stands: see assumption 5. */
  world->workers[worker].row_count = 0;
}

static double
real_time (const struct fake_worker *worker, kq_usec duration)
{
  return (double)duration / USEC / worker->rate;
}

static struct kq_name
holder_of (const struct fake_world *world, const struct fake_item *item)
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
      fake_trace (world, "%s is released by %s", worker->name.text,
                  sender->text);
      memset (&worker->holder, 0, sizeof worker->holder);
      worker->lease_ends = world->now;
      return 0;
    }
  worker->lease_ends = world->now + real_time (worker, effect->u.lease.ttl);
  if (is_free)
    {
      worker->term++;
      worker->holder = *sender;
      fake_trace (world, "%s is leased by %s, term %ld", worker->name.text,
                  sender->text, (long)worker->term);
      return 0;
    }
  for (int i = 0; i < worker->row_count; i++)
    {
      struct fake_row *row = &worker->rows[i];
      double ends = world->now + real_time (worker, effect->u.lease.task_ttl);

      if (is_live (row) && ends > row->ends_at)
        row->ends_at = ends;
    }
  return 0;
}

/* States what WORKER's tasks use: of some jobs half, of others twice what
   their starts stated.  One worker in three states no usage, the others
   state it as up to 5 s old; above USED_MOST the power guard is on. */
static void
report_usage (const struct fake_world *world, const struct fake_worker *worker,
              struct kq_worker_table *table)
{
  int number = (int)(worker - world->workers);

  if (number % 3 == 0 || world->states_no_usage)
    return;
  for (int i = 0; i < worker->row_count; i++)
    {
      const struct kq_attempt_row *row = &worker->rows[i].row;
      int halves
          = 1 + (row->task.job.text[strlen (row->task.job.text) - 1] & 3);

      if (!is_live (&worker->rows[i]))
        continue;
      table->used.cpu_milli
          += row->size.cpu_milli * halves / 2 * row->share_milli / 1000;
      table->used.memory_mb += row->size.memory_mb * halves / 2;
    }
  table->usage_seq = 1 + (int64_t)world->now;
  table->usage_lag = (kq_usec)(number % 2 * 5 * USEC);
  table->throttled
      = table->used.cpu_milli > USED_MOST * worker->capacity.cpu_milli;
  table->busy_slots = number % 5;
}

/* Whether the answer to ITEM can reach the sender. */
static bool
hears (const struct fake_world *world, const struct fake_item *item)
{
  return world->hosts[item->host].incarnation == item->incarnation
         && !world->faults.answers_cut[item->host][item->worker];
}

static void
answer_lease (struct fake_world *world, const struct fake_item *item, int err)
{
  struct fake_worker *worker = &world->workers[item->worker];
  struct fake_shared *shared = fake_share ();
  struct kq_lease_answer *answer = &shared->event.u.lease;
  struct kq_attempt_row *rows
      = calloc ((size_t)worker->row_count + 1, sizeof *rows);

  for (int i = 0; i < worker->row_count; i++)
    rows[i] = worker->rows[i].row;
  shared->event.kind = KQ_EV_LEASE;
  shared->bytes = rows;
  answer->worker = worker->name;
  answer->sent_at = (kq_usec)item->sent_at;
  answer->err = err;
  answer->term = worker->term;
  answer->serial = worker->serial;
  answer->holder = worker->holder;
  if (!kq_name_empty (&worker->holder))
    answer->left
        = (kq_usec)((worker->lease_ends - world->now) * USEC * worker->rate);
  answer->table.capacity = worker->capacity;
  answer->table.slots = 8;
  report_usage (world, worker, &answer->table);
  answer->table.rows = rows;
  answer->table.row_count = (size_t)worker->row_count;
  if (hears (world, item))
    fake_send_event (world, shared, worker->zone, item->host);
  fake_unshare (shared);
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
check_single (struct fake_world *world, const struct fake_worker *worker,
              const struct kq_attempt_row *start)
{
  for (int i = 0; i < FAKE_WORKERS; i++)
    for (int k = 0; k < world->workers[i].row_count; k++)
      {
        const struct fake_row *row = &world->workers[i].rows[k];

        if (is_live (row) && row->row.task.index == start->task.index
            && kq_name_eq (&row->row.task.job, &start->task.job))
          fake_violation (world,
                          "task %s/%d starts at %s as %ld, runs at %s as %ld",
                          start->task.job.text, start->task.index,
                          worker->name.text, (long)start->attempt,
                          world->workers[i].name.text, (long)row->row.attempt);
      }
}

static bool
fits (const struct fake_worker *worker, const struct kq_size *size)
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

/* A number names one attempt at one worker, and a second copy of its start
   must not run what has ended and is forgotten.  (A worker that lost its rows
   may take it.)  */
static void
check_number (struct fake_world *world, struct fake_task *task, int64_t number,
              int worker)
{
  int i;

  for (i = 0; i < FAKE_ATTEMPTS && i < task->attempt_count; i++)
    if (task->attempts[i].number == number)
      {
        if (task->attempts[i].acknowledged
            || task->attempts[i].worker != worker)
          fake_violation (world, "attempt %ld of %s/%d starts again",
                          (long)number, task->id.job.text, task->id.index);
        return;
      }
  i = task->attempt_count++ % FAKE_ATTEMPTS;
  task->attempts[i].number = number;
  task->attempts[i].worker = worker;
  task->attempts[i].acknowledged = false;
}

static void
note_acknowledged (struct fake_world *world, const struct fake_row *row)
{
  struct fake_task *task = fake_task (world, &row->row.task);

  for (int i = 0; i < FAKE_ATTEMPTS && i < task->attempt_count; i++)
    if (task->attempts[i].number == row->row.attempt)
      task->attempts[i].acknowledged = true;
}

static void
check_start (struct fake_world *world, struct fake_worker *worker,
             const struct fake_item *item, const struct kq_attempt_row *start)
{
  struct fake_task *task = fake_task (world, &start->task);
  const struct fake_host *host = &world->hosts[item->host];
  double decided = (item->sent_at / USEC - host->base) / host->rate;

  check_single (world, worker, start);
  if (task->ended_at != 0
      && start->attempt / KQ_ATTEMPTS_PER_EPOCH > task->ended_at)
    fake_violation (world, "task %s/%d starts as %ld after its end at %ld",
                    start->task.job.text, start->task.index,
                    (long)start->attempt, (long)task->ended_at);
  if (start->binding < 1 || start->binding > world->log_count
      || world->log[start->binding - 1].record->kind != KQ_REC_BIND)
    fake_violation (world, "task %s/%d starts without a binding",
                    start->task.job.text, start->task.index);
  if (host->heard_leaving[item->worker] > 0
      && decided > host->heard_leaving[item->worker] + 3.0)
    fake_violation (world, "%s starts a task 3 s after it began to leave",
                    worker->name.text);
  if (world->drained[item->worker] != 0 && host->heard_drain[item->worker] > 0
      && decided > host->heard_drain[item->worker] + 3.0)
    fake_violation (world, "%s starts a task 3 s after it was drained",
                    worker->name.text);
  if (start->checkpoint > 0)
    world->resumes++;
  check_number (world, task, start->attempt, item->worker);
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
  if (!fits (worker, &start->size) || worker->row_count == FAKE_ROWS)
    {
      for (int i = 0; i < worker->row_count; i++)
        fake_trace (
            world, "%s has %s/%d as %ld, state %d, cpu %d", worker->name.text,
            worker->rows[i].row.task.job.text, worker->rows[i].row.task.index,
            (long)worker->rows[i].row.attempt, (int)worker->rows[i].row.state,
            worker->rows[i].row.size.cpu_milli);
      fake_violation (world,
                      "%s of %d is given more than it can carry: %s/%d as "
                      "%ld, cpu %d",
                      worker->name.text, worker->capacity.cpu_milli,
                      start->task.job.text, start->task.index,
                      (long)start->attempt, start->size.cpu_milli);
      return KQ_EWORKER_FULL;
    }
  check_start (world, worker, item, start);
  row = &worker->rows[worker->row_count++];
  memset (row, 0, sizeof *row);
  row->row = *start;
  row->base = start->checkpoint;
  row->run_ms = effect->u.task.run_ms;
  row->started_at = world->now;
  row->ends_at = world->now + real_time (worker, 10 * KQ_USEC_PER_SEC);
  fake_trace (world, "%s starts %s/%d as %ld from %ld by %s",
              worker->name.text, start->task.job.text, start->task.index,
              (long)start->attempt, (long)start->checkpoint,
              worker->holder.text);
  return 0;
}

/* What an ended row says may be forgotten only once it stands elsewhere. */
static void
check_acknowledged (struct fake_world *world, const struct fake_row *row)
{
  const struct kq_job_task *task = kq_jobs_task (world->jobs, &row->row.task);
  const struct fake_task *facts = fake_task (world, &row->row.task);

  if (task == NULL || task->ended || task->binding != row->row.binding)
    return;
  if (row->row.state == KQ_ATTEMPT_DONE)
    fake_violation (world, "the end of %s/%d is lost", row->row.task.job.text,
                    row->row.task.index);
  else if (facts->last_attempt == row->row.attempt)
    fake_violation (world, "the eviction of %s/%d is lost",
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
      fake_trace (world, "%s stops %s/%d by %s", worker->name.text,
                  row->row.task.job.text, row->row.task.index,
                  worker->holder.text);
      break;
    case KQ_TASK_CHECKPOINT:
      if (row->row.state == KQ_ATTEMPT_RUNNING)
        {
          row->row.state = KQ_ATTEMPT_CHECKPOINTING;
          row->checkpoint_at = world->now + SAVE_TAKES;
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
  const struct kq_effect *effect = &item->shared->effect;

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
answer_task (struct fake_world *world, const struct fake_item *item, int err)
{
  const struct kq_effect *effect = &item->shared->effect;
  struct fake_shared *shared = fake_share ();
  struct kq_task_answer *answer = &shared->event.u.task;

  shared->event.kind = KQ_EV_TASK;
  answer->worker = effect->u.task.worker;
  answer->task = effect->u.task.row.task;
  answer->attempt = effect->u.task.row.attempt;
  answer->action = effect->u.task.action;
  answer->err = err;
  if (hears (world, item))
    fake_send_event (world, shared, world->workers[item->worker].zone,
                     item->host);
  fake_unshare (shared);
}

void
fake_worker_request (struct fake_world *world, struct fake_item *item)
{
  struct fake_worker *worker = &world->workers[item->worker];
  struct kq_name sender = holder_of (world, item);

  if (worker->down)
    return;
  advance (world, worker);
  if (item->shared->effect.kind == KQ_FX_LEASE)
    answer_lease (
        world, item,
        change_lease (world, worker, &sender, &item->shared->effect));
  else
    answer_task (world, item, change_task (world, worker, item, &sender));
}

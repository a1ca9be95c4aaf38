/* The stored state of jobs (state_*).
 *
 * Load: jobs of tens of thousands of tasks, whose state is larger than a
 * record may be.
 *
 * The state is split by tasks: part N covers the same number of them, in the
 * order of their occurrences, steps and indices.  Part 0 is the record of the
 * job's state and the only one of most jobs; the others are written when they
 * change.  The parts of a job are written in ascending order, so that a stored
 * start implies the stored ends of the steps before it.
 */
#include "sched/state.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "base/err.h"
#include "sched/checkpoint.h"
#include "sched/internal.h"
#include "sched/late.h"
#include "sched/queue.h"

/* Limits of the encoded sizes in bytes of a TaskRecord with its header, which
   has two names and 13 numbers, and of the other fields of a StateRecord. */
#define MAX_TASK_BYTES 256
#define MAX_HEAD_BYTES 160

/* Maximum number of tasks in a part: a change writes few others again. */
#define MAX_PART_TASKS 1000

/* More losses under a task than any decision tells apart. */
#define MAX_RESTORED_LOSSES 1000

/* What is known of the stored value of a part, in place of its hash. */
#define PART_ABSENT 0
#define PART_UNREAD 1

/* Passes the tasks of a job in order. */
struct cursor
{
  int stage;
  int index;
};

/* Rows of the part that is being encoded. */
struct rows
{
  int max;
  int count;
  KqSched__TaskRecord *records;
  KqSched__TaskRecord **pointers;
};

static bool
needs_record (const struct task *task)
{
  return task->state == TASK_DONE || task->run > 0;
}

static void
fill_task_record (struct task *task, KqSched__TaskRecord *record)
{
  kq_sched__task_record__init (record);
  record->occurrence = (uint32_t)task->stage->occurrence;
  record->step = (uint32_t)task->stage->number;
  record->index = (uint32_t)task->index;
  record->done = task->state == TASK_DONE;
  record->run = (uint32_t)task->run;
  if (task->state != TASK_BOUND && task->late_until != 0)
    {
      record->worker = task->late_worker->report.id;
      record->born_ms = task->late_incarnation_ms;
      record->sent_term = task->late_sent.term;
      record->sent_age_ms = task->late_sent.age_ms;
    }
  if (record->done)
    return;
  record->failed_runs = task->failed_runs;
  record->failed_base = (uint32_t)task->failed_base;
  record->failed_before = (uint32_t)task->failed_before;
  record->crashes = (uint32_t)task->crashes;
  record->unproven_crashes = (uint32_t)task->unproven_crashes;
  record->losses_set_aside = (uint32_t)task->losses_set_aside;
  record->silent_losses = (uint32_t)task->silent_losses;
  record->cut_losses = (uint32_t)task->cut_losses;
  record->checkpoint = (char *)checkpoint_inline (task);
  if (task->state == TASK_BOUND)
    {
      record->bound = true;
      record->worker = task->worker->report.id;
      /* A later incarnation may be known while the run of the earlier one is
         still bound: a new owner must see that it was lost. */
      record->born_ms = task->phase == PHASE_STORING
                            ? task->worker->report.incarnation_ms
                            : task->incarnation_ms;
      record->sent_term = task->placed.term;
      record->sent_age_ms = task->placed.age_ms;
    }
}

static struct task *
next_task (const struct job *job, struct cursor *cursor)
{
  while (cursor->stage < job->stage_count
         && cursor->index == job->stages[cursor->stage].step->count)
    *cursor = (struct cursor){ .stage = cursor->stage + 1 };
  if (cursor->stage == job->stage_count)
    return NULL;
  return &job->stages[cursor->stage].tasks[cursor->index++];
}

static int
tasks_per_part (size_t max_bytes)
{
  size_t count = max_bytes > MAX_HEAD_BYTES
                     ? (max_bytes - MAX_HEAD_BYTES) / MAX_TASK_BYTES
                     : 0;

  if (count > MAX_PART_TASKS)
    return MAX_PART_TASKS;
  return count > 0 ? (int)count : 1;
}

static int
count_tasks (const struct job *job)
{
  int count = 0;

  for (int i = 0; i < job->stage_count; i++)
    count += job->stages[i].step->count;
  return count;
}

/* Parts that an earlier owner has stored under a smaller limit count too. */
int
state_max_records (const struct job *job, size_t max_bytes)
{
  int per_part = tasks_per_part (max_bytes);
  int parts = (count_tasks (job) + per_part - 1) / per_part;

  return parts > job->part_count ? parts : job->part_count;
}

/* Makes room to note COUNT parts. */
static int
extend_parts (struct job *job, int count)
{
  uint64_t *hashes;

  if (count <= 1 || count <= job->part_count)
    return 0;
  hashes = realloc (job->part_hashes, (size_t)count * sizeof *hashes);
  if (hashes == NULL)
    return KQ_ENOMEM;
  for (int i = job->part_count; i < count; i++)
    hashes[i] = PART_ABSENT;
  job->part_hashes = hashes;
  job->part_count = count;
  return 0;
}

static void
format_part_key (char key[KQ_SCHED_KEY_SIZE], uint64_t job, unsigned part)
{
  if (part == 0)
    snprintf (key, KQ_SCHED_KEY_SIZE, "s%016" PRIx64, job);
  else
    snprintf (key, KQ_SCHED_KEY_SIZE, "%c%016" PRIx64 ".%05x",
              KQ_SCHED_PART_KEY, job, part);
}

/* Reads a key of KIND with the ID of a job and a number. */
static bool
read_numbered_key (const char *key, char kind, uint64_t *job, int *number)
{
  char expected[KQ_SCHED_KEY_SIZE];
  unsigned value;

  if (key[0] != kind
      || sscanf (key + 1, "%16" SCNx64 ".%5x", job, &value) != 2)
    return false;
  *number = (int)value;
  snprintf (expected, sizeof expected, "%c%016" PRIx64 ".%05x", kind, *job,
            value);
  return value > 0 && strcmp (expected, key) == 0;
}

bool
kq_sched_part_key_read (const char *key, uint64_t *job, int *part)
{
  return read_numbered_key (key, KQ_SCHED_PART_KEY, job, part);
}

bool
kq_sched_checkpoint_key_read (const char *key, uint64_t *job, int *number)
{
  return read_numbered_key (key, KQ_SCHED_CHECKPOINT_KEY, job, number);
}

static void
fill_rows (const struct job *job, struct cursor *cursor, struct rows *rows)
{
  struct task *task;

  rows->count = 0;
  for (int i = 0; i < rows->max && (task = next_task (job, cursor)) != NULL;
       i++)
    if (needs_record (task))
      {
        rows->pointers[rows->count] = &rows->records[rows->count];
        fill_task_record (task, &rows->records[rows->count++]);
      }
  /* The done tasks of a complete job are not stored. */
  if (job->state == KQ_SCHED_COMPLETE)
    rows->count = 0;
}

static uint64_t
hash_value (const struct kq_sched_record *record)
{
  uint64_t hash = XXH64 (record->value, record->size, 0);

  return hash > PART_UNREAD ? hash : PART_UNREAD + 1;
}

/* Whether RECORD changes what the store has of PART, which is updated. Part 0
   is written with each change of the job. */
static bool
update_part (struct job *job, int part, const struct kq_sched_record *record)
{
  uint64_t hash;

  if (part == 0)
    return record->size > 0;
  hash = record->size > 0 ? hash_value (record) : PART_ABSENT;
  if (hash == job->part_hashes[part])
    return false;
  job->part_hashes[part] = hash;
  return true;
}

/* Returns 1 if RECORD was filled, 0 if the store has the same already, or
   KQ_ENOMEM.  A record without a value deletes its key.  So would a state of
   zero bytes; it belongs to a job without any start, which the JobRecord
   implies. */
static int
encode_part (struct job *job, int part, struct rows *rows,
             struct kq_sched_record *record)
{
  KqSched__StateRecord message = KQ_SCHED__STATE_RECORD__INIT;
  KqSched__QueueRecord settings;

  if (part == 0 && job->queue_changed)
    {
      queue_to_record (&job->queue, &settings);
      message.settings = &settings;
    }
  if (part == 0)
    {
      message.outcome = job_has_ended (job) ? job->state : 0;
      message.ended_ms = job->ended_ms;
      message.ended_age_ms = job->ended_age_ms;
      message.started = job->started;
    }
  message.n_tasks = (size_t)rows->count;
  message.tasks = rows->pointers;
  format_part_key (record->key, job->id, (unsigned)part);
  record->size = kq_sched__state_record__get_packed_size (&message);
  record->value = malloc (record->size + 1);
  if (record->value == NULL)
    return KQ_ENOMEM;
  kq_sched__state_record__pack (&message, record->value);
  if (!update_part (job, part, record))
    {
      free (record->value);
      *record = (struct kq_sched_record){ .size = 0 };
      return 0;
    }
  return 1;
}

static int
encode_parts (struct job *job, struct rows *rows,
              struct kq_sched_record *records, int parts)
{
  struct cursor cursor = { .stage = 0 };
  int count = 0;

  for (int i = 0; i < parts; i++)
    {
      int more;

      fill_rows (job, &cursor, rows);
      more = encode_part (job, i, rows, &records[count]);
      if (more < 0)
        return more;
      count += more;
    }
  return count;
}

int
state_encode (struct job *job, size_t max_bytes,
              struct kq_sched_record *records)
{
  int parts = state_max_records (job, max_bytes);
  struct rows rows = { .max = tasks_per_part (max_bytes) };
  int tasks = count_tasks (job);
  size_t size = (size_t)(tasks < rows.max ? tasks : rows.max);
  int count = KQ_ENOMEM;

  rows.records = calloc (size + 1, sizeof *rows.records);
  rows.pointers = calloc (size + 1, sizeof (void *));
  if (rows.records != NULL && rows.pointers != NULL
      && extend_parts (job, parts) == 0)
    count = encode_parts (job, &rows, records, parts);
  free (rows.records);
  free (rows.pointers);
  return count;
}

int
state_delete (const struct job *job, struct kq_sched_record *records)
{
  int count = 0;

  format_part_key (records[count++].key, job->id, 0);
  for (int i = 1; i < job->part_count; i++)
    if (job->part_hashes[i] != PART_ABSENT)
      format_part_key (records[count++].key, job->id, (unsigned)i);
  return count;
}

/* Returns a COUNT of losses that was read; sums of such do not overflow. */
static int
restored_losses (uint32_t count)
{
  return count < MAX_RESTORED_LOSSES ? (int)count : MAX_RESTORED_LOSSES;
}

/* Whether RECORD shows that its task has begun.  The number of its run does
   not: it is stored before the start order is sent. */
static bool
has_begun (const KqSched__TaskRecord *record)
{
  return record->done || record->failed_runs != 0 || record->failed_before != 0
         || (record->checkpoint != NULL && record->checkpoint[0] != '\0');
}

/* Returns 0, or KQ_ENOMEM if its worker could not be added. */
static int
restore_task (struct kq_sched *sched, struct kq_sched_now now,
              struct task *task, const KqSched__TaskRecord *record)
{
  const struct term_time sent
      = { .term = record->sent_term, .age_ms = record->sent_age_ms };
  struct worker *worker;

  task->run = (int)record->run;
  task->has_run = task->run > 0;
  task->failed_runs = record->failed_runs;
  task->failed_base = (int)record->failed_base;
  task->failed_before = (int)record->failed_before;
  task->crashes = restored_losses (record->crashes);
  task->unproven_crashes = restored_losses (record->unproven_crashes);
  task->losses_set_aside = restored_losses (record->losses_set_aside);
  task->silent_losses = restored_losses (record->silent_losses);
  task->cut_losses = restored_losses (record->cut_losses);
  if (record->checkpoint != NULL && record->checkpoint[0] != '\0')
    checkpoint_set (sched, task, record->checkpoint);
  if (has_begun (record))
    task->stage->job->started = true;
  worker = record->worker != NULL && record->worker[0] != '\0'
               ? worker_find_or_add (sched, record->worker)
               : NULL;
  if (worker == NULL && record->worker != NULL && record->worker[0] != '\0')
    return KQ_ENOMEM;
  if (worker != NULL)
    late_note_restored (sched, task, worker, record->born_ms, sent,
                        !record->bound, now);
  if (record->done)
    {
      task->state = TASK_DONE;
      task->stage->done_count++;
      if (task->late_until > task->stage->job->late_until)
        task->stage->job->late_until = task->late_until;
      return 0;
    }
  if (worker == NULL || !record->bound)
    {
      crash_note_restored_losses (sched, task);
      return 0;
    }
  task_bind (sched, task, worker, now);
  task->phase = PHASE_RESTORED;
  task->incarnation_ms = record->born_ms;
  task->placed = sent;
  task->placed_at = terms_latest (sched, sent, now.mono);
  crash_note_restored (task, now);
  worker->has_restored_tasks = true;
  return 0;
}

static int
restore_rows (struct kq_sched *sched, struct kq_sched_now now, struct job *job,
              const KqSched__StateRecord *message)
{
  for (size_t i = 0; i < message->n_tasks; i++)
    {
      const KqSched__TaskRecord *record = message->tasks[i];
      struct kq_sched_run run = { .occurrence = (int)record->occurrence,
                                  .step = (int)record->step,
                                  .index = (int)record->index };
      struct task *task = job_task (job, &run);

      /* Only the first row of a task counts. */
      if (task != NULL && task->state == TASK_WAITING && task->run == 0
          && restore_task (sched, now, task, record) != 0)
        return KQ_ENOMEM;
    }
  return 0;
}

int
state_restore (struct kq_sched *sched, struct kq_sched_now now,
               struct job *job, const KqSched__StateRecord *message)
{
  job->state = (enum kq_sched_state)message->outcome;
  job->ended_ms = message->ended_ms;
  job->ended_age_ms = message->ended_age_ms;
  job->started = message->started;
  return restore_rows (sched, now, job, message);
}

int
kq_sched_restore_part (struct kq_sched *sched, struct kq_sched_now now,
                       uint64_t id, int part, const uint8_t *value,
                       size_t size)
{
  struct job *job = job_find (sched, id);
  KqSched__StateRecord *message;
  int err = 0;

  if (job == NULL)
    return KQ_ENOENT;
  if (part < 1 || part > KQ_SCHED_MAX_JOB_TASKS)
    return KQ_EINVAL;
  if (extend_parts (job, part + 1) != 0)
    return KQ_ENOMEM;
  job->part_hashes[part] = PART_UNREAD;
  message = kq_sched__state_record__unpack (NULL, size, value);
  if (message == NULL)
    return KQ_ESYNTAX;
  /* A complete job may have parts that were not deleted. */
  if (job->state != KQ_SCHED_COMPLETE)
    err = restore_rows (sched, now, job, message);
  kq_sched__state_record__free_unpacked (message, NULL);
  return err;
}

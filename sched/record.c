/* Encodes and decodes the stored records of jobs and of the interference
 * model.
 */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/err.h"
#include "log/log.h"
#include "sched/internal.h"
#include "sched/record.pb-c.h"

/* More losses under a task than any decision tells apart. */
#define MAX_RESTORED_LOSSES 1000

/* One JobRecord and one StateRecord. */
#define MAX_RECORDS_PER_JOB 2

void
record_clear_dirty (struct kq_sched *sched, struct job *job)
{
  if (!job->dirty)
    return;
  DL_DELETE2 (sched->dirty, job, dirty_prev, dirty_next);
  job->dirty = false;
}

static void
set_key (struct kq_sched_record *record, char kind, uint64_t id)
{
  snprintf (record->key, sizeof record->key, "%c%016" PRIx64, kind, id);
}

/* Class of a changed job in the order in which jobs are stored: what has ended
   comes first, since workers and callers wait for it; deletions come last. */
static int
storing_class (const struct job *job)
{
  if (job->expired)
    return 2;
  return !job->has_new_end && !job_has_ended (job);
}

static int
compare_storing_order (const struct job *a, const struct job *b)
{
  int order = storing_class (a) - storing_class (b);

  return order != 0 ? order : a->queue.priority - b->queue.priority;
}

static int
encode_job (const struct job *job, struct kq_sched_record *record)
{
  KqSched__JobRecord message = KQ_SCHED__JOB_RECORD__INIT;

  message.queue = (char *)job->queue_name;
  message.body.data = job->body;
  message.body.len = job->body_size;
  message.accepted_ms = job->accepted_ms;
  set_key (record, 'j', job->id);
  record->size = kq_sched__job_record__get_packed_size (&message);
  record->value = malloc (record->size);
  if (record->value == NULL)
    return KQ_ENOMEM;
  kq_sched__job_record__pack (&message, record->value);
  return 0;
}

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
  if (record->done)
    return;
  record->failed_runs = task->failed_runs;
  record->crashes = (uint32_t)task->crashes;
  record->unproven_crashes = (uint32_t)task->unproven_crashes;
  record->losses_set_aside = (uint32_t)task->losses_set_aside;
  record->silent_losses = (uint32_t)task->silent_losses;
  record->checkpoint = task->checkpoint;
  if (task->state == TASK_BOUND)
    {
      record->bound = true;
      record->worker = task->worker->report.id;
      record->born_ms = task->worker->report.incarnation_ms;
      record->placed_ms = task->placed_ms;
    }
}

static size_t
count_tasks (const struct job *job)
{
  size_t count = 0;

  for (int i = 0; i < job->stage_count; i++)
    for (int j = 0; j < job->stages[i].step->count; j++)
      count += needs_record (&job->stages[i].tasks[j]);
  return count;
}

/* The done tasks of a complete job are not stored. */
static int
encode_state (struct job *job, struct kq_sched_record *record)
{
  KqSched__StateRecord message = KQ_SCHED__STATE_RECORD__INIT;
  size_t count = job->state == KQ_SCHED_COMPLETE ? 0 : count_tasks (job);
  KqSched__TaskRecord *tasks = calloc (count + 1, sizeof *tasks);
  KqSched__TaskRecord **rows = calloc (count + 1, sizeof (void *));
  size_t n = 0;

  for (int i = 0;
       count > 0 && tasks != NULL && rows != NULL && i < job->stage_count; i++)
    for (int j = 0; j < job->stages[i].step->count; j++)
      if (needs_record (&job->stages[i].tasks[j]))
        {
          fill_task_record (&job->stages[i].tasks[j], &tasks[n]);
          rows[n] = &tasks[n];
          n++;
        }
  message.outcome = job_has_ended (job) ? job->state : 0;
  message.ended_ms = job->ended_ms;
  message.n_tasks = n;
  message.tasks = rows;
  set_key (record, 's', job->id);
  record->size = kq_sched__state_record__get_packed_size (&message);
  record->value = malloc (record->size + 1);
  if (record->value != NULL && rows != NULL && tasks != NULL)
    kq_sched__state_record__pack (&message, record->value);
  free (rows);
  free (tasks);
  return record->value == NULL ? KQ_ENOMEM : 0;
}

/* A record without a value deletes its key. A state that encodes to zero
   bytes would also do that; such a state belongs to a job without any
   start, which the JobRecord implies. */
static int
encode_changed_job (struct job *job, struct kq_sched_record *records)
{
  int count = 0;

  if (job->expired)
    {
      set_key (&records[0], 'j', job->id);
      set_key (&records[1], 's', job->id);
      return MAX_RECORDS_PER_JOB;
    }
  if (job->record_due)
    {
      if (encode_job (job, &records[count++]) != 0)
        return KQ_ENOMEM;
      records[0].is_first = true;
      records[0].job = job->id;
      job->record_due = false;
      free (job->body);
      job->body = NULL;
    }
  job->has_new_end = false;
  if (encode_state (job, &records[count++]) != 0)
    return KQ_ENOMEM;
  if (records[count - 1].size == 0)
    {
      free (records[count - 1].value);
      count--;
    }
  return count;
}

/* Returns 1 if RECORD was written, 0 if no image is known yet or memory is
   short. */
static int
encode_interference (const struct kq_interference *interference_model,
                     struct kq_sched_record *record)
{
  KqSched__PressureRecord message = KQ_SCHED__PRESSURE_RECORD__INIT;
  char *images[KQ_INTERFERENCE_IMAGES];
  float bases[KQ_INTERFERENCE_IMAGES];
  float factors[KQ_INTERFERENCE_IMAGES * KQ_INTERFERENCE_IMAGES];
  int count = kq_interference_count (interference_model);

  for (int i = 0; i < count; i++)
    {
      images[i] = (char *)kq_interference_name (interference_model, i);
      bases[i] = (float)kq_interference_base (interference_model, i);
      for (int j = 0; j < count; j++)
        factors[i * count + j]
            = (float)kq_interference_factor (interference_model, i, j);
    }
  message.n_images = (size_t)count;
  message.images = images;
  message.n_bases = (size_t)count;
  message.bases = bases;
  message.n_factors = (size_t)count * (size_t)count;
  message.factors = factors;
  snprintf (record->key, sizeof record->key, "%s", KQ_SCHED_INTERFERENCE_KEY);
  record->size = kq_sched__pressure_record__get_packed_size (&message);
  record->value = count > 0 ? malloc (record->size) : NULL;
  if (record->value == NULL)
    return 0;
  kq_sched__pressure_record__pack (&message, record->value);
  return 1;
}

int
kq_sched_restore_interference (struct kq_sched *sched, const uint8_t *value,
                               size_t size)
{
  KqSched__PressureRecord *message
      = kq_sched__pressure_record__unpack (NULL, size, value);
  int indices[KQ_INTERFERENCE_IMAGES];
  int err = KQ_ESYNTAX;
  size_t count;

  if (message == NULL)
    return KQ_ESYNTAX;
  count = message->n_images;
  if (count <= KQ_INTERFERENCE_IMAGES && message->n_bases == count
      && message->n_factors == count * count)
    {
      for (size_t i = 0; i < count; i++)
        indices[i] = kq_interference_image (sched->interference_model,
                                            message->images[i]);
      for (size_t i = 0; i < count * count; i++)
        kq_interference_set_factor (sched->interference_model,
                                    indices[i / count], indices[i % count],
                                    message->factors[i]);
      for (size_t i = 0; i < count; i++)
        kq_interference_set_base (sched->interference_model, indices[i],
                                  message->bases[i]);
      err = 0;
    }
  kq_sched__pressure_record__free_unpacked (message, NULL);
  return err;
}

int
kq_sched_encode_records (struct kq_sched *sched, size_t max_bytes,
                         struct kq_sched_record **records, uint64_t *position)
{
  struct kq_sched_record *collected;
  struct job *job;
  int dirty = 0;
  int count = 0;
  size_t largest = 0;

  DL_FOREACH2 (sched->dirty, job, dirty_next) { dirty++; }
  if (dirty == 0 && !sched->interference_due && sched->dirty_grants == 0)
    return 0;
  collected = calloc ((size_t)dirty * MAX_RECORDS_PER_JOB + 1 + GRANT_BUCKETS,
                      sizeof *collected);
  if (collected == NULL)
    return KQ_ENOMEM;
  if (sched->interference_due)
    count = encode_interference (sched->interference_model, &collected[0]);
  sched->interference_due = false;
  count += grant_encode (sched, &collected[count]);
  if (dirty == 0 && count == 0)
    {
      free (collected);
      return 0;
    }
  DL_SORT2 (sched->dirty, compare_storing_order, dirty_prev, dirty_next);
  while ((job = sched->dirty) != NULL)
    {
      int more = encode_changed_job (job, &collected[count]);

      if (more < 0)
        kq_log (KQ_LOG_ERROR, "sched", "job record not encoded", more, NULL);
      for (int i = 0; i < more; i++)
        if (collected[count + i].size > largest)
          largest = collected[count + i].size;
      count += more > 0 ? more : 0;
      record_clear_dirty (sched, job);
      if (job->expired)
        job_destroy (sched, job);
    }
  if (largest > max_bytes)
    kq_log (KQ_LOG_WARN, "sched", "record over size limit", KQ_ETOOBIG, NULL);
  *records = collected;
  *position = sched->position++;
  return count;
}

/* Returns a COUNT of losses that was read; sums of such do not overflow. */
static int
restored_losses (uint32_t count)
{
  return count < MAX_RESTORED_LOSSES ? (int)count : MAX_RESTORED_LOSSES;
}

static void
restore_task (struct kq_sched *sched, struct kq_sched_now now,
              struct task *task, const KqSched__TaskRecord *record)
{
  struct worker *worker;

  task->run = (int)record->run;
  task->failed_runs = record->failed_runs;
  task->crashes = restored_losses (record->crashes);
  task->unproven_crashes = restored_losses (record->unproven_crashes);
  task->losses_set_aside = restored_losses (record->losses_set_aside);
  task->silent_losses = restored_losses (record->silent_losses);
  if (record->checkpoint != NULL)
    snprintf (task->checkpoint, sizeof task->checkpoint, "%s",
              record->checkpoint);
  if (task->run > 0)
    task->stage->job->started = true;
  if (record->done)
    {
      task->state = TASK_DONE;
      task->stage->done_count++;
      return;
    }
  worker = record->bound ? worker_find_or_add (sched, record->worker) : NULL;
  if (worker == NULL)
    {
      crash_note_restored_losses (sched, task);
      return;
    }
  task_bind (sched, task, worker, now);
  task->phase = PHASE_RESTORED;
  task->incarnation_ms = record->born_ms;
  crash_note_restored (task, record->placed_ms, now);
  worker->has_restored_tasks = true;
}

static void
restore_state (struct kq_sched *sched, struct kq_sched_now now,
               struct job *job, const KqSched__StateRecord *message)
{
  job->state = (enum kq_sched_state)message->outcome;
  job->ended_ms = message->ended_ms;
  for (size_t i = 0; i < message->n_tasks; i++)
    {
      const KqSched__TaskRecord *record = message->tasks[i];
      struct kq_sched_run run = { .occurrence = (int)record->occurrence,
                                  .step = (int)record->step,
                                  .index = (int)record->index };
      struct task *task = job_task (job, &run);

      /* Only the first row of a task counts. */
      if (task != NULL && task->state == TASK_WAITING && task->run == 0)
        restore_task (sched, now, task, record);
    }
}

int
kq_sched_restore_job (struct kq_sched *sched, struct kq_sched_now now,
                      uint64_t id, const char *queue, int64_t accepted_ms,
                      struct kq_sched_spec *spec, const uint8_t *state,
                      size_t state_size)
{
  KqSched__StateRecord *message = NULL;
  struct job *job;

  if (state != NULL)
    {
      message = kq_sched__state_record__unpack (NULL, state_size, state);
      if (message == NULL || message->outcome > KQ_SCHED_CANCELLED)
        {
          if (message != NULL)
            kq_sched__state_record__free_unpacked (message, NULL);
          kq_sched_spec_clear (spec);
          return KQ_ESYNTAX;
        }
    }
  job = sched_new_job (sched, id, queue, accepted_ms, spec);
  if (job != NULL && message != NULL)
    restore_state (sched, now, job, message);
  if (message != NULL)
    kq_sched__state_record__free_unpacked (message, NULL);
  return job == NULL ? KQ_ENOMEM : 0;
}

static void
resume_job (struct kq_sched *sched, struct job *job, struct kq_sched_now now)
{
  for (int i = 0; i < job->stage_count; i++)
    job->stages_done
        += job->stages[i].done_count == job->stages[i].step->count;
  for (int i = 0; i < job->stage_count && job_has_ended (job); i++)
    for (int j = 0; j < job->stages[i].step->count; j++)
      job->stages[i].tasks[j].stop_wanted = true;
  job_open_due_occurrences (sched, job, now);
}

void
kq_sched_finish_restore (struct kq_sched *sched, struct kq_sched_now now)
{
  struct job *job;
  struct worker *worker;

  for (job = sched->jobs; job != NULL; job = job->hh.next)
    resume_job (sched, job, now);
  DL_FOREACH (sched->worker_list, worker)
  {
    grant_set_lapse (sched, worker, now.mono);
  }
}

struct kq_sched_job_record *
kq_sched_job_record_read (const uint8_t *value, size_t size)
{
  KqSched__JobRecord *message
      = kq_sched__job_record__unpack (NULL, size, value);
  struct kq_sched_job_record *record;

  if (message == NULL)
    return NULL;
  record = calloc (1, sizeof *record + message->body.len + 1);
  if (record != NULL)
    {
      snprintf (record->queue, sizeof record->queue, "%s", message->queue);
      record->accepted_ms = message->accepted_ms;
      record->body_size = message->body.len;
      memcpy (record->body, message->body.data, message->body.len);
    }
  kq_sched__job_record__free_unpacked (message, NULL);
  return record;
}

/* Encodes and decodes the stored records of jobs and of the interference
 * model.
 */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/err.h"
#include "log/log.h"
#include "sched/checkpoint.h"
#include "sched/internal.h"
#include "sched/queue.h"
#include "sched/record.pb-c.h"
#include "sched/retention.h"
#include "sched/state.h"
#include "sched/tombstone.h"

void
record_clear_dirty (struct kq_sched *sched, struct job *job)
{
  if (!job->dirty)
    return;
  DL_DELETE2 (sched->dirty, job, dirty_prev, dirty_next);
  job->dirty = false;
}

static void
set_job_key (struct kq_sched_record *record, const struct job *job)
{
  snprintf (record->key, sizeof record->key, "j%016" PRIx64, job->id);
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

  KqSched__QueueRecord settings;

  queue_to_record (&job->queue, &settings);
  message.settings = &settings;
  message.queue = (char *)job->queue_name;
  message.body.data = job->body;
  message.body.len = job->body_size;
  message.accepted_ms = job->accepted_ms;
  set_job_key (record, job);
  record->size = kq_sched__job_record__get_packed_size (&message);
  record->value = malloc (record->size);
  if (record->value == NULL)
    return KQ_ENOMEM;
  kq_sched__job_record__pack (&message, record->value);
  return 0;
}

/* Returns the number of records, or KQ_ENOMEM. */
static int
encode_changed_job (struct kq_sched *sched, struct job *job, size_t max_bytes,
                    struct kq_sched_record *records)
{
  int count = 0;
  int more;

  if (job->expired)
    {
      set_job_key (&records[count++], job);
      count += state_delete (job, &records[count]);
      return count + checkpoint_delete (job, &records[count]);
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
  more = checkpoint_encode (sched, job, max_bytes, &records[count]);
  if (more < 0)
    return more;
  count += more;
  more = state_encode (job, max_bytes, &records[count]);
  return more < 0 ? more : count + more;
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
  size_t max_count = 2 + GRANT_BUCKETS;
  int count = 0;
  size_t largest = 0;

  if (sched->dirty == NULL && !sched->interference_due
      && sched->dirty_grants == 0 && sched->changed_tombstones == NULL)
    return 0;
  max_count += (size_t)tombstone_max_records (sched);
  DL_FOREACH2 (sched->dirty, job, dirty_next)
  {
    max_count += 1 + (size_t)state_max_records (job, max_bytes)
                 + (size_t)checkpoint_max_records (job);
  }
  collected = calloc (max_count, sizeof *collected);
  if (collected == NULL)
    return KQ_ENOMEM;
  if (sched->interference_due)
    count = encode_interference (sched->interference_model, &collected[0]);
  sched->interference_due = false;
  count += retention_encode (sched, &collected[count]);
  count += grant_encode (sched, &collected[count]);
  count += tombstone_encode (sched, &collected[count]);
  if (sched->dirty == NULL && count == 0)
    {
      free (collected);
      return 0;
    }
  DL_SORT2 (sched->dirty, compare_storing_order, dirty_prev, dirty_next);
  while ((job = sched->dirty) != NULL)
    {
      int more = encode_changed_job (sched, job, max_bytes, &collected[count]);

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

/* The settings that are in force now are stored if others are. */
static void
note_restored_queue (struct kq_sched *sched, struct job *job,
                     const KqSched__StateRecord *message)
{
  if (job->queue_changed && !job_has_ended (job))
    job_mark_dirty (sched, job);
  job->queue_changed |= message != NULL && message->settings != NULL;
}

int
kq_sched_restore_job (struct kq_sched *sched, struct kq_sched_now now,
                      uint64_t id, const struct kq_sched_queue *queue,
                      int64_t accepted_ms, struct kq_sched_spec *spec,
                      const uint8_t *state, size_t state_size)
{
  struct kq_sched_queue stored = *queue;
  KqSched__StateRecord *message = NULL;
  struct job *job;
  int err = 0;

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
  if (message != NULL && message->settings != NULL)
    queue_from_record (&stored, message->settings);
  job = sched_new_job (sched, id, &stored, accepted_ms, spec);
  if (job == NULL)
    err = KQ_ENOMEM;
  else if (message != NULL)
    err = state_restore (sched, now, job, message);
  if (err == 0)
    note_restored_queue (sched, job, message);
  if (message != NULL)
    kq_sched__state_record__free_unpacked (message, NULL);
  return err;
}

/* The records of a gang's members may hold different checkpoints if not all
   were written.  The first one is the newest, since the parts of a job are
   written in ascending order. */
static void
share_checkpoint (struct kq_sched *sched, struct stage *stage)
{
  const struct task *source = &stage->tasks[0];

  for (int i = 1; i < stage->step->count && source->checkpoint == NULL; i++)
    source = &stage->tasks[i];
  for (int i = 0; i < stage->step->count; i++)
    checkpoint_share (sched, &stage->tasks[i], source);
}

static void
resume_job (struct kq_sched *sched, struct job *job, struct kq_sched_now now)
{
  for (int i = 0; i < job->stage_count; i++)
    {
      job->stages_done
          += job->stages[i].done_count == job->stages[i].step->count;
      if (job->stages[i].step->gang)
        share_checkpoint (sched, &job->stages[i]);
    }
  for (int i = 0; i < job->stage_count && job_has_ended (job); i++)
    for (int j = 0; j < job->stages[i].step->count; j++)
      job->stages[i].tasks[j].stop_wanted = true;
  retention_note_restored (sched, job, now);
  job_end_if_failed (sched, job, now);
  job_open_due_occurrences (sched, job, now);
}

static void
log_restored (const struct kq_sched *sched)
{
  char jobs[24];
  char ended[24];
  char not_started[24];
  int ended_count = 0;
  int not_started_count = 0;

  for (const struct job *job = sched->jobs; job != NULL; job = job->hh.next)
    {
      ended_count += job_has_ended (job);
      not_started_count += !job_has_ended (job) && !job->started;
    }
  snprintf (jobs, sizeof jobs, "%u", HASH_COUNT (sched->jobs));
  snprintf (ended, sizeof ended, "%d", ended_count);
  snprintf (not_started, sizeof not_started, "%d", not_started_count);
  kq_log (KQ_LOG_INFO, "sched", "jobs restored", 0, "jobs", jobs, "ended",
          ended, "not_started", not_started, NULL);
}

void
kq_sched_finish_restore (struct kq_sched *sched, struct kq_sched_now now)
{
  struct job *job;

  retention_begin (sched, now.mono);
  for (job = sched->jobs; job != NULL; job = job->hh.next)
    resume_job (sched, job, now);
  tombstone_finish_restore (sched, now);
  log_restored (sched);
  grant_set_lapses (sched, now.mono);
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
      queue_from_record (&record->queue, message->settings);
      snprintf (record->queue.name, sizeof record->queue.name, "%s",
                message->queue);
      record->accepted_ms = message->accepted_ms;
      record->body_size = message->body.len;
      memcpy (record->body, message->body.data, message->body.len);
    }
  kq_sched__job_record__free_unpacked (message, NULL);
  return record;
}

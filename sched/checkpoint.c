/* Checkpoints of tasks (checkpoint_*).
 *
 * Load: workers that return paths or digests of saved states, from a few bytes
 * to some thousand, for each of thousands of running tasks.
 *
 * A checkpoint is the worker's own text and is never changed: what cannot be
 * kept is left out as a whole, and the task keeps the last one that could.
 * The members of a gang share one copy.
 *
 * Short checkpoints are part of the record of their task, whose size is
 * bounded (state.c).  Each longer one has a record of its own, which is
 * written only when it changes.  Of a gang, the first member's counts for all.
 */
#include "sched/checkpoint.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/err.h"
#include "log/log.h"
#include "sched/internal.h"
#include "sched/record.pb-c.h"

/* Maximum length of a checkpoint that is part of its task's record. */
#define MAX_INLINE_BYTES 63

/* Limits in bytes of one checkpoint, and of the long ones of a cell: a host
   with 160 MB must not run out of memory when it becomes the owner. */
#define MAX_BYTES ((size_t)64 * 1024)
#define MAX_TOTAL_BYTES ((size_t)16 * 1024 * 1024)

/* A reference-counted text. */
struct checkpoint
{
  int references;
  size_t size;
  char text[];
};

static void
release (struct kq_sched *sched, struct checkpoint *checkpoint)
{
  if (checkpoint == NULL || --checkpoint->references > 0)
    return;
  if (checkpoint->size > MAX_INLINE_BYTES)
    sched->checkpoint_bytes -= checkpoint->size;
  free (checkpoint);
}

static void
assign (struct kq_sched *sched, struct checkpoint **place,
        struct checkpoint *checkpoint)
{
  if (checkpoint != NULL)
    checkpoint->references++;
  release (sched, *place);
  *place = checkpoint;
}

/* Returns a copy of TEXT without a reference, or NULL. */
static struct checkpoint *
create (struct kq_sched *sched, const char *text, size_t size)
{
  struct checkpoint *checkpoint = malloc (sizeof *checkpoint + size + 1);

  if (checkpoint == NULL)
    return NULL;
  checkpoint->references = 0;
  checkpoint->size = size;
  memcpy (checkpoint->text, text, size + 1);
  if (size > MAX_INLINE_BYTES)
    sched->checkpoint_bytes += size;
  return checkpoint;
}

static bool
is_long (const struct checkpoint *checkpoint)
{
  return checkpoint != NULL && checkpoint->size > MAX_INLINE_BYTES;
}

const char *
checkpoint_text (const struct task *task)
{
  return task->checkpoint != NULL ? task->checkpoint->text : "";
}

size_t
checkpoint_size (const struct task *task)
{
  return task->checkpoint != NULL ? task->checkpoint->size : 0;
}

/* Logs the first refusal of each run. */
static void
note_refusal (struct kq_sched *sched, struct task *task, size_t size, int err)
{
  char why[64];

  sched->counts.checkpoints_refused++;
  if (task->checkpoint_refused_run == task->run)
    return;
  task->checkpoint_refused_run = task->run;
  snprintf (why, sizeof why, "%s, %zu bytes, kept %zu", kq_err_name (err),
            size, checkpoint_size (task));
  task_log (task, "checkpoint refused", why);
}

bool
checkpoint_set (struct kq_sched *sched, struct task *task, const char *text)
{
  size_t size = strlen (text);
  struct checkpoint *checkpoint;
  int err = 0;

  if (strcmp (text, checkpoint_text (task)) == 0)
    return true;
  if (size > MAX_BYTES)
    err = KQ_ETOOBIG;
  else if (size > MAX_INLINE_BYTES
           && sched->checkpoint_bytes + size > MAX_TOTAL_BYTES)
    err = KQ_ENOMEM;
  checkpoint = err == 0 ? create (sched, text, size) : NULL;
  if (checkpoint == NULL)
    {
      note_refusal (sched, task, size, err != 0 ? err : KQ_ENOMEM);
      return false;
    }
  assign (sched, &task->checkpoint, checkpoint);
  task->stage->job->has_long_checkpoint |= is_long (checkpoint);
  return true;
}

void
checkpoint_share (struct kq_sched *sched, struct task *task,
                  const struct task *source)
{
  if (task != source)
    assign (sched, &task->checkpoint, source->checkpoint);
}

void
checkpoint_clear (struct kq_sched *sched, struct task *task)
{
  assign (sched, &task->checkpoint, NULL);
  assign (sched, &task->stored_checkpoint, NULL);
}

const char *
checkpoint_inline (const struct task *task)
{
  return is_long (task->checkpoint) ? "" : checkpoint_text (task);
}

/* Returns the checkpoint of TASK if a record of its own should hold it. */
static struct checkpoint *
wanted_record (const struct task *task)
{
  const struct stage *stage = task->stage;

  if (job_has_ended (stage->job) || task->state == TASK_DONE
      || (stage->step->gang && task->index > 0))
    return NULL;
  return is_long (task->checkpoint) ? task->checkpoint : NULL;
}

int
checkpoint_max_records (const struct job *job)
{
  int count = 0;

  for (int i = 0; job->has_long_checkpoint && i < job->stage_count; i++)
    for (int j = 0; j < job->stages[i].step->count; j++)
      {
        const struct task *task = &job->stages[i].tasks[j];

        count += wanted_record (task) != task->stored_checkpoint
                 || task->stored_checkpoint != NULL;
      }
  return count;
}

static void
format_key (const struct task *task, struct kq_sched_record *record)
{
  const struct job *job = task->stage->job;
  int number = task->index + 1;

  for (const struct stage *stage = job->stages; stage != task->stage; stage++)
    number += stage->step->count;
  snprintf (record->key, sizeof record->key, "%c%016" PRIx64 ".%05x",
            KQ_SCHED_CHECKPOINT_KEY, job->id, (unsigned)number);
}

/* Fills the value of RECORD; returns 0, KQ_ENOMEM or KQ_ETOOBIG. */
static int
encode (const struct task *task, size_t max_bytes,
        struct kq_sched_record *record)
{
  KqSched__CheckpointRecord message = KQ_SCHED__CHECKPOINT_RECORD__INIT;
  size_t size;

  message.occurrence = (uint32_t)task->stage->occurrence;
  message.step = (uint32_t)task->stage->number;
  message.index = (uint32_t)task->index;
  message.text = task->checkpoint->text;
  size = kq_sched__checkpoint_record__get_packed_size (&message);
  if (size > max_bytes)
    return KQ_ETOOBIG;
  record->value = malloc (size);
  if (record->value == NULL)
    return KQ_ENOMEM;
  record->size = kq_sched__checkpoint_record__pack (&message, record->value);
  return 0;
}

/* Returns the number of records filled, or KQ_ENOMEM. */
static int
encode_change (struct kq_sched *sched, struct task *task, size_t max_bytes,
               struct kq_sched_record *record)
{
  struct checkpoint *wanted = wanted_record (task);
  int err;

  if (wanted == task->stored_checkpoint)
    return 0;
  err = wanted != NULL ? encode (task, max_bytes, record) : 0;
  if (err == KQ_ENOMEM)
    return err;
  /* A successor resumes from the one that is stored. */
  if (err != 0)
    {
      note_refusal (sched, task, wanted->size, err);
      return 0;
    }
  format_key (task, record);
  assign (sched, &task->stored_checkpoint, wanted);
  return 1;
}

int
checkpoint_encode (struct kq_sched *sched, struct job *job, size_t max_bytes,
                   struct kq_sched_record *records)
{
  int count = 0;

  for (int i = 0; job->has_long_checkpoint && i < job->stage_count; i++)
    for (int j = 0; j < job->stages[i].step->count; j++)
      {
        int more = encode_change (sched, &job->stages[i].tasks[j], max_bytes,
                                  &records[count]);

        if (more < 0)
          return more;
        count += more;
      }
  return count;
}

int
checkpoint_delete (const struct job *job, struct kq_sched_record *records)
{
  int count = 0;

  for (int i = 0; job->has_long_checkpoint && i < job->stage_count; i++)
    for (int j = 0; j < job->stages[i].step->count; j++)
      if (job->stages[i].tasks[j].stored_checkpoint != NULL)
        format_key (&job->stages[i].tasks[j], &records[count++]);
  return count;
}

/* The record is of no use to a task whose own record has a checkpoint: it is
   noted, so that it will be deleted. */
static int
restore (struct kq_sched *sched, struct task *task, const char *text)
{
  struct checkpoint *checkpoint = create (sched, text, strlen (text));

  if (checkpoint == NULL)
    return KQ_ENOMEM;
  assign (sched, &task->stored_checkpoint, checkpoint);
  if (task->checkpoint == NULL)
    assign (sched, &task->checkpoint, checkpoint);
  task->stage->job->has_long_checkpoint = true;
  return 0;
}

int
kq_sched_restore_checkpoint (struct kq_sched *sched, uint64_t id,
                             const uint8_t *value, size_t size)
{
  KqSched__CheckpointRecord *message
      = kq_sched__checkpoint_record__unpack (NULL, size, value);
  struct job *job = job_find (sched, id);
  struct task *task = NULL;
  int err = KQ_ESYNTAX;

  if (message != NULL && job != NULL)
    task = job_task (
        job, &(struct kq_sched_run){ .occurrence = (int)message->occurrence,
                                     .step = (int)message->step,
                                     .index = (int)message->index });
  if (task != NULL && task->stored_checkpoint == NULL)
    err = restore (sched, task, message->text);
  if (message != NULL)
    kq_sched__checkpoint_record__free_unpacked (message, NULL);
  return job == NULL ? KQ_ENOENT : err;
}

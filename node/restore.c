#include "node/restore.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <uthash.h>
#include <utlist.h>

#include "base/err.h"
#include "log/log.h"
#include "platform/submission.h"

/* Delay before a failed read of a page is repeated. */
#define RETRY_DELAY_SEC 0.05

/* A further part of the state of a job, or a long checkpoint of a task. */
struct stored_part
{
  int number;
  uint8_t *value;
  size_t size;
  struct stored_part *next;
};

/* Records of one job as read from the store. */
struct stored_job
{
  uint64_t id;
  uint8_t *job;
  size_t job_size;
  uint8_t *state;
  size_t state_size;
  struct stored_part *parts;
  struct stored_part *checkpoints;
  /* The store has a value of these that could not be decoded. */
  bool job_undecoded;
  bool state_undecoded;
  bool settled; /* restored, or noted as unread */
  UT_hash_handle hh;
};

struct kq_restore
{
  struct ev_loop *loop;
  struct kq_store *store;
  struct kq_sched *sched;
  void (*done) (void *arg);
  void *arg;
  struct stored_job *stored_jobs;
  struct kq_store_cursor cursor; /* of the next page */
  bool pages_read;               /* what is left is to restore stored_jobs */
  ev_timer retry;
};

struct kq_restore *
kq_restore_create (struct ev_loop *loop, struct kq_store *store,
                   struct kq_sched *sched, void (*done) (void *arg), void *arg)
{
  struct kq_restore *restore = calloc (1, sizeof *restore);

  if (restore == NULL)
    return NULL;
  restore->loop = loop;
  restore->store = store;
  restore->sched = sched;
  restore->done = done;
  restore->arg = arg;
  return restore;
}

static void
clear_parts (struct stored_part *parts)
{
  struct stored_part *part;
  struct stored_part *next;

  LL_FOREACH_SAFE (parts, part, next)
  {
    free (part->value);
    free (part);
  }
}

static void
clear_jobs (struct kq_restore *restore)
{
  struct stored_job *stored_job = restore->stored_jobs;
  struct stored_job *next;

  HASH_CLEAR (hh, restore->stored_jobs);
  for (; stored_job != NULL; stored_job = next)
    {
      next = stored_job->hh.next;
      free (stored_job->job);
      free (stored_job->state);
      clear_parts (stored_job->parts);
      clear_parts (stored_job->checkpoints);
      free (stored_job);
    }
}

void
kq_restore_destroy (struct kq_restore *restore)
{
  if (restore == NULL)
    return;
  ev_timer_stop (restore->loop, &restore->retry);
  clear_jobs (restore);
  free (restore);
}

static struct stored_job *
find_or_add_job (struct kq_restore *restore, uint64_t id)
{
  struct stored_job *stored_job;

  HASH_FIND (hh, restore->stored_jobs, &id, sizeof id, stored_job);
  if (stored_job != NULL)
    return stored_job;
  stored_job = calloc (1, sizeof *stored_job);
  if (stored_job == NULL)
    return NULL;
  stored_job->id = id;
  HASH_ADD (hh, restore->stored_jobs, id, sizeof stored_job->id, stored_job);
  return stored_job;
}

/* Restores a record that does not belong to one job. */
static int
restore_shared (struct kq_restore *restore, const char *key,
                const struct kq_store_row *row)
{
  if (strcmp (key, KQ_SCHED_INTERFERENCE_KEY) == 0)
    return kq_sched_restore_interference (restore->sched, row->value,
                                          row->size);
  if (strcmp (key, KQ_SCHED_AGE_KEY) == 0)
    return kq_sched_restore_age (restore->sched, row->value, row->size);
  if (key[0] == KQ_SCHED_GRANT_KEY)
    return kq_sched_restore_grants (restore->sched, row->value, row->size);
  return 0;
}

/* Copies ROW in place of an earlier one: pages are no snapshot. */
static int
keep_record (uint8_t **kept, size_t *kept_size, const struct kq_store_row *row)
{
  uint8_t *copy = malloc (row->size);

  if (copy == NULL)
    return KQ_ENOMEM;
  memcpy (copy, row->value, row->size);
  free (*kept);
  *kept = copy;
  *kept_size = row->size;
  return 0;
}

static int
compare_parts (const struct stored_part *a, const struct stored_part *b)
{
  return a->number - b->number;
}

/* The same for a record with a NUMBER. */
static int
keep_part (struct stored_part **parts, int number,
           const struct kq_store_row *row)
{
  struct stored_part *part;

  LL_SEARCH_SCALAR (*parts, part, number, number);
  if (part == NULL)
    {
      part = calloc (1, sizeof *part);
      if (part == NULL)
        return KQ_ENOMEM;
      part->number = number;
      LL_INSERT_INORDER (*parts, part, compare_parts);
    }
  return keep_record (&part->value, &part->size, row);
}

/* Keeps ROW if it belongs to one job. */
static int
collect_job_row (struct kq_restore *restore, const char *key,
                 const struct kq_store_row *row)
{
  struct stored_job *stored_job;
  uint64_t id;
  int part = 0;

  bool is_checkpoint = kq_sched_checkpoint_key_read (key, &id, &part);

  if (!is_checkpoint && !kq_sched_part_key_read (key, &id, &part)
      && ((key[0] != 'j' && key[0] != 's')
          || !kq_submission_id_read (key + 1, &id)))
    return 0;
  stored_job = find_or_add_job (restore, id);
  if (stored_job == NULL)
    return KQ_ENOMEM;
  /* Without it the task resumes from an earlier point. */
  if (is_checkpoint)
    return row->undecoded ? 0
                          : keep_part (&stored_job->checkpoints, part, row);
  if (row->undecoded)
    {
      if (key[0] == 'j')
        stored_job->job_undecoded = true;
      else
        stored_job->state_undecoded = true;
      return 0;
    }
  if (part > 0)
    return keep_part (&stored_job->parts, part, row);
  if (key[0] == 'j')
    return keep_record (&stored_job->job, &stored_job->job_size, row);
  return keep_record (&stored_job->state, &stored_job->state_size, row);
}

/* Restores ROW if it is of a cancelled ID. */
static int
restore_tombstone (struct kq_restore *restore, const char *key,
                   const struct kq_store_row *row)
{
  uint64_t id;

  if (key[0] != KQ_SCHED_TOMBSTONE_KEY
      || !kq_submission_id_read (key + 1, &id))
    return 0;
  return kq_sched_restore_tombstone (
      restore->sched, id, row->undecoded ? NULL : row->value, row->size);
}

/* Returns KQ_ENOMEM if ROW was not collected for lack of memory, else 0. */
static int
collect_row (struct kq_restore *restore, const struct kq_store_row *row)
{
  char key[KQ_SCHED_KEY_SIZE];
  int err = 0;

  /* A key that is none of this program's tells nothing. */
  if (!kq_store_row_key (row, key, sizeof key)
      || (row->size == 0 && !row->undecoded))
    return 0;
  if (!row->undecoded)
    err = restore_shared (restore, key, row);
  if (row->undecoded || err == KQ_ESYNTAX)
    kq_log (KQ_LOG_WARN, "restore", "malformed record ignored", KQ_ESYNTAX,
            "key", key, NULL);
  if (err != KQ_ENOMEM)
    err = restore_tombstone (restore, key, row);
  if (err != KQ_ENOMEM)
    err = collect_job_row (restore, key, row);
  if (err != 0)
    kq_log (KQ_LOG_ERROR, "restore", "record not restored", err, "key", key,
            NULL);
  return err;
}

/* Returns the first error that may leave out tasks of the job. */
static int
restore_parts (struct kq_restore *restore, struct kq_sched_now now,
               const struct stored_job *stored_job)
{
  const struct stored_part *part;
  char number[16];
  char id[24];
  int first_err = 0;

  snprintf (id, sizeof id, "%016" PRIx64, stored_job->id);
  LL_FOREACH (stored_job->parts, part)
  {
    int err = kq_sched_restore_part (restore->sched, now, stored_job->id,
                                     part->number, part->value, part->size);

    snprintf (number, sizeof number, "%d", part->number);
    if (err != 0)
      kq_log (KQ_LOG_ERROR, "restore", "part of a state not restored", err,
              "job", id, "part", number, NULL);
    if (first_err == 0 && err != KQ_EINVAL)
      first_err = err;
  }
  return first_err;
}

/* Returns 0 or KQ_ENOMEM. */
static int
restore_checkpoints (struct kq_restore *restore,
                     const struct stored_job *stored_job)
{
  const struct stored_part *part;
  char id[24];

  snprintf (id, sizeof id, "%016" PRIx64, stored_job->id);
  LL_FOREACH (stored_job->checkpoints, part)
  {
    int err = kq_sched_restore_checkpoint (restore->sched, stored_job->id,
                                           part->value, part->size);

    if (err != 0)
      kq_log (KQ_LOG_ERROR, "restore", "checkpoint not restored", err, "job",
              id, NULL);
    if (err == KQ_ENOMEM)
      return err;
  }
  return 0;
}

static int
restore_job (struct kq_restore *restore, const struct stored_job *stored_job)
{
  struct kq_sched_now now = { .mono = kq_clock_now (),
                              .wall_ms = kq_clock_wall () / KQ_USEC_PER_MSEC };
  struct kq_sched_job_record *record;
  struct kq_sched_spec spec;
  int err;

  if (stored_job->job == NULL && !stored_job->job_undecoded)
    return KQ_ENOENT;
  if (stored_job->job_undecoded || stored_job->state_undecoded)
    return KQ_ESYNTAX;
  record = kq_sched_job_record_read (stored_job->job, stored_job->job_size);
  if (record == NULL)
    return KQ_ESYNTAX;
  err = kq_submission_read (record->body, record->body_size, &spec);
  if (err == 0)
    err = kq_sched_restore_job (restore->sched, now, stored_job->id,
                                &record->queue, record->accepted_ms, &spec,
                                stored_job->state, stored_job->state_size);
  if (err == 0)
    err = restore_parts (restore, now, stored_job);
  if (err == 0)
    err = restore_checkpoints (restore, stored_job);
  free (record);
  return err;
}

/* Restores a job, or has the scheduler note that the store has it.  Without
   its first record it was deleted or never stored.  Returns 0, or KQ_ENOMEM if
   nothing was done.  */
static int
settle_job (struct kq_restore *restore, const struct stored_job *stored_job)
{
  int err = restore_job (restore, stored_job);
  char id[24];

  if (err == 0)
    return 0;
  snprintf (id, sizeof id, "%016" PRIx64, stored_job->id);
  kq_log (KQ_LOG_ERROR, "restore", "job not restored", err, "job", id, NULL);
  if (err == KQ_ENOMEM)
    kq_sched_drop_restored (restore->sched, stored_job->id);
  if (err == KQ_ENOENT || err == KQ_ENOMEM)
    return err == KQ_ENOENT ? 0 : err;
  return kq_sched_add_unread (restore->sched, stored_job->id);
}

/* Waits before a step that has failed is repeated: an owner without some of
   its jobs would accept them as new. */
static void
retry_later (struct kq_restore *restore)
{
  ev_timer_start (restore->loop, &restore->retry);
}

static void
finish (struct kq_restore *restore)
{
  struct stored_job *stored_job = restore->stored_jobs;

  restore->pages_read = true;
  for (; stored_job != NULL; stored_job = stored_job->hh.next)
    {
      if (!stored_job->settled && settle_job (restore, stored_job) != 0)
        {
          retry_later (restore);
          return;
        }
      stored_job->settled = true;
    }
  clear_jobs (restore);
  restore->done (restore->arg);
}

/* Returns 0, or KQ_ENOMEM: the page is to be read again. */
static int
collect_page (struct kq_restore *restore,
              const struct kq_store_read_result *result)
{
  for (size_t i = 0; i < result->count; i++)
    if (collect_row (restore, &result->rows[i]) != 0)
      return KQ_ENOMEM;
  restore->cursor = result->next;
  return 0;
}

static void
on_page (void *arg, const struct kq_store_read_result *result)
{
  struct kq_restore *restore = arg;
  int err = result->err;

  if (err == 0)
    err = collect_page (restore, result);
  if (err != 0)
    {
      kq_log (KQ_LOG_WARN, "restore", "page of jobs not read", err, NULL);
      retry_later (restore);
    }
  else if (result->more)
    kq_restore_start (restore);
  else
    finish (restore);
}

static void
on_retry (struct ev_loop *loop, ev_timer *timer, int events)
{
  struct kq_restore *restore = timer->data;

  if (restore->pages_read)
    finish (restore);
  else
    kq_restore_start (restore);
}

void
kq_restore_start (struct kq_restore *restore)
{
  ev_timer_init (&restore->retry, on_retry, RETRY_DELAY_SEC, 0);
  restore->retry.data = restore;
  kq_store_read_newest (restore->store, KQ_STORE_JOBS, &restore->cursor,
                        on_page, restore);
}

void
kq_restore_terms (struct kq_sched *sched, const struct kq_term *term)
{
  struct kq_term_past past[KQ_TERM_MAX_PAST];
  int count = kq_term_get_past (term, past);

  kq_sched_begin_term (sched, kq_term_own_term (term),
                       kq_term_own_since (term));
  for (int i = 0; i < count; i++)
    kq_sched_add_past_term (sched,
                            &(struct kq_sched_past_term){
                                .term = past[i].term,
                                .confirmed_until = past[i].confirmed_until,
                                .ended_at = past[i].ended_at,
                                .heard_at = past[i].heard_at,
                                .age = past[i].age });
}

#include "node/restore.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <uthash.h>

#include "base/err.h"
#include "log/log.h"
#include "platform/submission.h"

/* A page that could not be read is asked for again after this. */
#define RETRY_SEC 0.05

#define KEY_SIZE 24

/* What was read of one job. */
struct found
{
  uint64_t id;
  uint8_t *job;
  size_t job_size;
  uint8_t *state;
  size_t state_size;
  UT_hash_handle hh;
};

struct kq_restore
{
  struct ev_loop *loop;
  struct kq_store *store;
  struct kq_sched *sched;
  void (*done) (void *arg);
  void *arg;
  struct found *found;
  char after[KEY_SIZE];
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
clear_found (struct kq_restore *restore)
{
  struct found *found = restore->found;
  struct found *next;

  HASH_CLEAR (hh, restore->found);
  for (; found != NULL; found = next)
    {
      next = found->hh.next;
      free (found->job);
      free (found->state);
      free (found);
    }
}

void
kq_restore_destroy (struct kq_restore *restore)
{
  if (restore == NULL)
    return;
  ev_timer_stop (restore->loop, &restore->retry);
  clear_found (restore);
  free (restore);
}

static struct found *
find (struct kq_restore *restore, uint64_t id)
{
  struct found *found;

  HASH_FIND (hh, restore->found, &id, sizeof id, found);
  if (found != NULL)
    return found;
  found = calloc (1, sizeof *found);
  if (found == NULL)
    return NULL;
  found->id = id;
  HASH_ADD (hh, restore->found, id, sizeof found->id, found);
  return found;
}

static void
take_row (struct kq_restore *restore, const struct kq_store_row *row)
{
  char key[KEY_SIZE];
  uint64_t id;
  struct found *found;
  uint8_t *copy;

  snprintf (key, sizeof key, "%.*s", (int)row->key_size, row->key);
  strcpy (restore->after, key);
  if (row->size > 0 && strcmp (key, KQ_SCHED_INTERFERENCE_KEY) == 0
      && kq_sched_restore_interference (restore->sched, row->value, row->size)
             != 0)
    kq_log (KQ_LOG_WARN, "restore", "record not understood", KQ_ESYNTAX, "key",
            key, NULL);
  if (row->size == 0 || !kq_submission_id_read (key + 1, &id))
    return;
  found = find (restore, id);
  copy = malloc (row->size);
  if (found == NULL || copy == NULL)
    {
      free (copy);
      kq_log (KQ_LOG_ERROR, "restore", "record lost", KQ_ENOMEM, "key", key,
              NULL);
      return;
    }
  memcpy (copy, row->value, row->size);
  if (key[0] == 'j')
    {
      free (found->job);
      found->job = copy;
      found->job_size = row->size;
    }
  else
    {
      free (found->state);
      found->state = copy;
      found->state_size = row->size;
    }
}

static int
restore_job (struct kq_restore *restore, const struct found *found)
{
  struct kq_sched_now now = { .mono = kq_clock_now (),
                              .wall_ms = kq_clock_wall () / KQ_USEC_PER_MSEC };
  struct kq_sched_job_record *record;
  struct kq_sched_spec spec;
  int err;

  if (found->job == NULL)
    return KQ_ENOENT;
  record = kq_sched_job_record_read (found->job, found->job_size);
  if (record == NULL)
    return KQ_ESYNTAX;
  err = kq_submission_read (record->body, record->body_size, &spec);
  if (err == 0)
    err = kq_sched_restore_job (restore->sched, now, found->id, record->queue,
                                record->accepted_ms, &spec, found->state,
                                found->state_size);
  free (record);
  return err;
}

static void
finish (struct kq_restore *restore)
{
  struct found *found;
  struct found *next;
  char id[24];

  HASH_ITER (hh, restore->found, found, next)
  {
    int err = restore_job (restore, found);

    snprintf (id, sizeof id, "%016" PRIx64, found->id);
    if (err != 0)
      kq_log (KQ_LOG_ERROR, "restore", "job not restored", err, "job", id,
              NULL);
  }
  clear_found (restore);
  restore->done (restore->arg);
}

static void
on_page (void *arg, const struct kq_store_read_result *answer)
{
  struct kq_restore *restore = arg;

  if (answer->err != 0)
    {
      kq_log (KQ_LOG_WARN, "restore", "page not read", answer->err, NULL);
      ev_timer_start (restore->loop, &restore->retry);
      return;
    }
  for (size_t i = 0; i < answer->count; i++)
    take_row (restore, &answer->rows[i]);
  if (answer->more && answer->count > 0)
    kq_restore_start (restore);
  else
    finish (restore);
}

static void
on_retry (struct ev_loop *loop, ev_timer *timer, int events)
{
  kq_restore_start (timer->data);
}

void
kq_restore_start (struct kq_restore *restore)
{
  ev_timer_init (&restore->retry, on_retry, RETRY_SEC, 0);
  restore->retry.data = restore;
  kq_store_read_newest (restore->store, KQ_STORE_JOBS, restore->after, on_page,
                        restore);
}

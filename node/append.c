#include "node/append.h"

#include <stdlib.h>
#include <string.h>

#include "base/err.h"
#include "log/log.h"

/* Number of characters of a key that are the same in all records of a job,
   after the one that tells the kind. */
#define JOB_KEY_CHARS 16

static bool
have_same_job (const struct kq_sched_record *a,
               const struct kq_sched_record *b)
{
  return strlen (a->key) > JOB_KEY_CHARS
         && strncmp (a->key + 1, b->key + 1, JOB_KEY_CHARS) == 0;
}

/* Returns the index after the records from FIRST on that have the same job. */
static int
end_of_job (const struct kq_append *append, int first)
{
  int next = first + 1;

  while (next < append->count
         && have_same_job (&append->records[first], &append->records[next]))
    next++;
  return next;
}

static size_t
size_of (const struct kq_append *append, int first, int end)
{
  size_t size = 0;

  for (int i = first; i < end; i++)
    size += kq_store_record_size (append->records[i].key,
                                  append->records[i].size);
  return size;
}

static void
add_record (struct kq_append *append, const struct kq_sched_record *record)
{
  int err = kq_store_batch_add (&append->batch, record->key, record->value,
                                record->size);

  if (err != 0)
    kq_log (KQ_LOG_ERROR, "journal", "record not written", err, "key",
            record->key, NULL);
}

/* A takeover between two appends with records of the same job would restore a
   mix of two states. */
static void
fill_batch (struct kq_append *append)
{
  size_t room = append->max_bytes;

  kq_store_batch_clear (&append->batch);
  append->next = append->first;
  while (append->next < append->count)
    {
      int end = end_of_job (append, append->next);
      size_t size = size_of (append, append->next, end);

      /* The records of a very large job are divided. */
      if (size > append->max_bytes)
        {
          end = append->next + 1;
          size = size_of (append, append->next, end);
        }
      if (size > room && append->next > append->first)
        return;
      room -= size < room ? size : room;
      while (append->next < end)
        add_record (append, &append->records[append->next++]);
    }
}

void
kq_append_begin (struct kq_append *append, struct kq_sched_record *records,
                 int count, size_t max_bytes)
{
  kq_append_clear (append);
  append->max_bytes = max_bytes;
  append->records = records;
  append->count = count;
  fill_batch (append);
}

bool
kq_append_advance (struct kq_append *append)
{
  append->first = append->next;
  if (append->first >= append->count)
    return false;
  append->maybe_stored = true;
  fill_batch (append);
  return true;
}

int
kq_append_withdraw_jobs (struct kq_append *append,
                         kq_append_withdraw *withdraw, void *arg)
{
  int kept = 0;
  int withdrawn = 0;

  if (append->maybe_stored)
    return 0;
  for (int i = 0, end; i < append->count; i = end)
    {
      const struct kq_sched_record *record = &append->records[i];
      bool keeps = !record->is_first || !withdraw (arg, record->job);

      end = end_of_job (append, i);
      withdrawn += !keeps;
      for (int j = i; j < end; j++)
        if (keeps)
          append->records[kept++] = append->records[j];
        else
          free (append->records[j].value);
    }
  append->count = kept;
  if (withdrawn > 0)
    fill_batch (append);
  return withdrawn;
}

void
kq_append_clear (struct kq_append *append)
{
  for (int i = 0; i < append->count; i++)
    free (append->records[i].value);
  free (append->records);
  kq_store_batch_clear (&append->batch);
  *append = (struct kq_append){ .count = 0 };
}

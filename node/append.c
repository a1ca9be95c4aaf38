#include "node/append.h"

#include <stdlib.h>
#include <string.h>

#include "base/err.h"
#include "log/log.h"

static void
fill_batch (struct kq_append *append)
{
  size_t bytes = 0;

  kq_store_batch_clear (&append->batch);
  for (append->next = append->first; append->next < append->count;
       append->next++)
    {
      const struct kq_sched_record *record = &append->records[append->next];

      bytes += record->size;
      if (bytes > KQ_APPEND_MAX_BYTES && append->next > append->first)
        return;
      if (kq_store_batch_add (&append->batch, record->key, record->value,
                              record->size)
          != 0)
        kq_log (KQ_LOG_ERROR, "journal", "record not written", KQ_ENOMEM,
                "key", record->key, NULL);
    }
}

void
kq_append_begin (struct kq_append *append, struct kq_sched_record *records,
                 int count)
{
  kq_append_clear (append);
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

/* The record of a job's state has the key of its first record but for the
   first character. */
static bool
is_state_of (const struct kq_sched_record *record,
             const struct kq_sched_record *first)
{
  return strcmp (record->key + 1, first->key + 1) == 0;
}

int
kq_append_withdraw_jobs (struct kq_append *append,
                         kq_append_withdraw *withdraw, void *arg)
{
  int kept = 0;
  int withdrawn = 0;

  if (append->maybe_stored)
    return 0;
  for (int i = 0; i < append->count; i++)
    {
      struct kq_sched_record *record = &append->records[i];

      if (!record->is_first || !withdraw (arg, record->job))
        {
          append->records[kept++] = *record;
          continue;
        }
      withdrawn++;
      if (i + 1 < append->count && is_state_of (record + 1, record))
        free (append->records[++i].value);
      free (record->value);
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

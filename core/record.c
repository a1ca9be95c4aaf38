#include "core/record.h"

#include <stdlib.h>
#include <string.h>

static void *
copy_bytes (const void *from, size_t size)
{
  void *to = malloc (size == 0 ? 1 : size);

  if (to != NULL && size > 0)
    memcpy (to, from, size);
  return to;
}

/* Returns the member of RECORD that points to memory of its own and sets *SIZE
   to its length in bytes; NULL when there is none. */
static const void **
owned_memory (struct kq_record *record, size_t *size)
{
  switch (record->kind)
    {
    case KQ_REC_CONFIG:
      *size = strlen (record->u.config.text) + 1;
      return (const void **)&record->u.config.text;
    case KQ_REC_BIND:
    case KQ_REC_RELEASE:
    case KQ_REC_END:
      *size = record->u.tasks.count * sizeof *record->u.tasks.tasks;
      return (const void **)&record->u.tasks.tasks;
    case KQ_REC_SNAPSHOT:
      *size = record->u.snapshot.count * sizeof *record->u.snapshot.ranges;
      return (const void **)&record->u.snapshot.ranges;
    case KQ_REC_JOB:
    case KQ_REC_CANCEL:
    case KQ_REC_EPOCH:
    case KQ_REC_DRAIN:
      break;
    }
  return NULL;
}

struct kq_record *
kq_record_copy (const struct kq_record *record)
{
  struct kq_record *copy = copy_bytes (record, sizeof *record);
  const void **owned;
  size_t size;

  if (copy == NULL)
    return NULL;
  owned = owned_memory (copy, &size);
  if (owned == NULL)
    return copy;
  *owned = copy_bytes (*owned, size);
  if (*owned != NULL)
    return copy;
  free (copy);
  return NULL;
}

void
kq_record_free (struct kq_record *record)
{
  const void **owned;
  size_t size;

  if (record == NULL)
    return;
  owned = owned_memory (record, &size);
  if (owned != NULL)
    free ((void *)*owned);
  free (record);
}

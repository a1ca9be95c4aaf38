#include <stdlib.h>
#include <string.h>

#include "core/internal.h"
#include "core/record.h"

/* Memory that an effect points to. */
struct kept
{
  void *bytes;
  bool is_record;
  struct kept *next;
};

struct kq_effects
{
  struct kq_effect *list;
  size_t first;
  size_t count;
  size_t size;
  struct kept *kept;
};

struct kq_effects *
kq_effects_create (void)
{
  return calloc (1, sizeof (struct kq_effects));
}

void
kq_effects_destroy (struct kq_effects *effects)
{
  if (effects == NULL)
    return;
  kq_effects_clear (effects);
  free (effects->list);
  free (effects);
}

bool
kq_effects_take (struct kq_effects *effects, struct kq_effect *effect)
{
  if (effects->first == effects->count)
    return false;
  *effect = effects->list[effects->first++];
  return true;
}

void
kq_effects_clear (struct kq_effects *effects)
{
  while (effects->kept != NULL)
    {
      struct kept *kept = effects->kept;

      effects->kept = kept->next;
      if (kept->is_record)
        kq_record_free (kept->bytes);
      else
        free (kept->bytes);
      free (kept);
    }
  effects->first = 0;
  effects->count = 0;
}

void
kq_effects_add (struct kq_effects *effects, const struct kq_effect *effect)
{
  if (effects->count == effects->size)
    {
      size_t size = effects->size == 0 ? 16 : effects->size * 2;
      struct kq_effect *list = realloc (effects->list, size * sizeof *list);

      if (list == NULL)
        return; /* a lost effect is like a lost message */
      effects->list = list;
      effects->size = size;
    }
  effects->list[effects->count++] = *effect;
}

static bool
keep (struct kq_effects *effects, void *bytes, bool is_record)
{
  struct kept *kept = calloc (1, sizeof *kept);

  if (kept == NULL)
    return false;
  kept->bytes = bytes;
  kept->is_record = is_record;
  kept->next = effects->kept;
  effects->kept = kept;
  return true;
}

void *
kq_effects_keep (struct kq_effects *effects, const void *bytes, size_t size)
{
  void *copy = malloc (size == 0 ? 1 : size);

  if (copy == NULL)
    return NULL;
  if (size > 0)
    memcpy (copy, bytes, size);
  if (keep (effects, copy, false))
    return copy;
  free (copy);
  return NULL;
}

struct kq_record *
kq_effects_keep_record (struct kq_effects *effects,
                        const struct kq_record *record)
{
  struct kq_record *copy = kq_record_copy (record);

  if (copy == NULL)
    return NULL;
  if (keep (effects, copy, true))
    return copy;
  kq_record_free (copy);
  return NULL;
}

#include <stdlib.h>
#include <string.h>

#include "core/internal.h"
#include "core/record.h"

/* Memory that an effect points to, freed by kq_effects_clear(). */
struct allocation
{
  void *bytes;
  bool is_record;
  struct allocation *next;
};

struct kq_effects
{
  struct kq_effect *list;
  size_t first;
  size_t count;
  size_t size;
  struct allocation *allocations;
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
kq_effects_pop (struct kq_effects *effects, struct kq_effect *effect)
{
  if (effects->first == effects->count)
    return false;
  *effect = effects->list[effects->first++];
  return true;
}

void
kq_effects_clear (struct kq_effects *effects)
{
  while (effects->allocations != NULL)
    {
      struct allocation *allocation = effects->allocations;

      effects->allocations = allocation->next;
      if (allocation->is_record)
        kq_record_free (allocation->bytes);
      else
        free (allocation->bytes);
      free (allocation);
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
        return; /* the core recovers as it does from a lost message */
      effects->list = list;
      effects->size = size;
    }
  effects->list[effects->count++] = *effect;
}

static bool
track_allocation (struct kq_effects *effects, void *bytes, bool is_record)
{
  struct allocation *allocation = calloc (1, sizeof *allocation);

  if (allocation == NULL)
    return false;
  allocation->bytes = bytes;
  allocation->is_record = is_record;
  allocation->next = effects->allocations;
  effects->allocations = allocation;
  return true;
}

void *
kq_effects_copy (struct kq_effects *effects, const void *bytes, size_t size)
{
  void *copy = malloc (size == 0 ? 1 : size);

  if (copy == NULL)
    return NULL;
  if (size > 0)
    memcpy (copy, bytes, size);
  if (track_allocation (effects, copy, false))
    return copy;
  free (copy);
  return NULL;
}

struct kq_record *
kq_effects_copy_record (struct kq_effects *effects,
                        const struct kq_record *record)
{
  struct kq_record *copy = kq_record_copy (record);

  if (copy == NULL)
    return NULL;
  if (track_allocation (effects, copy, true))
    return copy;
  kq_record_free (copy);
  return NULL;
}

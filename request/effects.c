#include <stdlib.h>
#include <string.h>

#include "request/request.h"

struct kq_request_effects
{
  struct kq_request_effect *items;
  size_t first; /* index of the oldest effect */
  size_t count; /* index after the newest effect */
  size_t capacity;
};

struct kq_request_effects *
kq_request_effects_create (void)
{
  return calloc (1, sizeof (struct kq_request_effects));
}

void
kq_request_effects_destroy (struct kq_request_effects *effects)
{
  struct kq_request_effect effect;

  if (effects == NULL)
    return;
  while (kq_request_effects_pop (effects, &effect))
    if (effect.kind == KQ_REQ_FX_REPLY)
      kq_response_unref (effect.u.reply.answer);
    else if (effect.kind == KQ_REQ_FX_KEY_RESULT)
      kq_response_unref (effect.u.settle.key_result.answer);
  free (effects->items);
  free (effects);
}

bool
kq_request_effects_pop (struct kq_request_effects *effects,
                        struct kq_request_effect *effect)
{
  if (effects->first == effects->count)
    {
      effects->first = 0;
      effects->count = 0;
      return false;
    }
  *effect = effects->items[effects->first++];
  return true;
}

void
kq_request_effects_push (struct kq_request_effects *effects,
                         const struct kq_request_effect *effect)
{
  if (effects->count == effects->capacity)
    {
      effects->capacity = effects->capacity > 0 ? effects->capacity * 2 : 16;
      effects->items = realloc (effects->items,
                                effects->capacity * sizeof *effects->items);
      if (effects->items == NULL)
        abort ();
    }
  effects->items[effects->count++] = *effect;
}

const char *
kq_outcome_name (enum kq_outcome outcome)
{
  switch (outcome)
    {
    case KQ_OUTCOME_ANSWERED:
      return "answered";
    case KQ_OUTCOME_NOT_RUN:
      return "not-run";
    case KQ_OUTCOME_UNKNOWN:
      return "unknown";
    case KQ_OUTCOME_INVALID:
      return "invalid";
    }
  return "unknown";
}

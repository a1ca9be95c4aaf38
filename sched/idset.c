#include "sched/idset.h"

#include <xxhash.h>

/* Number of bits of an ID, each chosen by other bits of its hash. */
#define HASHES 3
#define BITS_PER_HASH 13

_Static_assert(1 << BITS_PER_HASH == KQ_IDSET_BYTES * 8,
               "a hash addresses each bit");

static unsigned
bit_of (uint64_t id, int number)
{
  uint64_t hash = XXH64 (&id, sizeof id, 1);

  return (unsigned)(hash >> (number * BITS_PER_HASH)
                    & ((1U << BITS_PER_HASH) - 1));
}

void
kq_idset_add (struct kq_idset *set, uint64_t id)
{
  for (int i = 0; i < HASHES; i++)
    {
      unsigned bit = bit_of (id, i);

      set->bits[bit / 8] |= (uint8_t)(1U << bit % 8);
    }
}

bool
kq_idset_may_have (const struct kq_idset *set, uint64_t id)
{
  for (int i = 0; i < HASHES; i++)
    {
      unsigned bit = bit_of (id, i);

      if ((set->bits[bit / 8] >> bit % 8 & 1) == 0)
        return false;
    }
  return true;
}

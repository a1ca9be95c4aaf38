/** @file
 * A set of job IDs in a fixed number of bytes (kq_idset_*), a Bloom filter: it
 * may also report an ID that is not in it, but never misses one that is.
 */
#ifndef KQ_SCHED_IDSET_H
#define KQ_SCHED_IDSET_H

#include <stdbool.h>
#include <stdint.h>

/** With 1,000 IDs 3 percent of all others are reported, with 4,000 a half. */
#define KQ_IDSET_BYTES 1024

struct kq_idset
{
  uint8_t bits[KQ_IDSET_BYTES];
};

void kq_idset_add (struct kq_idset *set, uint64_t id);
bool kq_idset_may_have (const struct kq_idset *set, uint64_t id);

#endif

/** @file
 * How long a step takes, from what its caller says and from what steps of the
 * same queue took.
 *
 * Callers' estimates may be off by a lot.  The best linear guess of the
 * logarithm of the true length from the logarithm of the estimate trusts the
 * estimate as far as it has been right, and the queue's mean for the rest.
 */
#ifndef KQ_SCHED_LENGTH_H
#define KQ_SCHED_LENGTH_H

#include <stdint.h>

/** What is known about the steps of one queue. */
struct kq_length
{
  double weight; /* of all that was seen; old steps count less */
  double said;   /* weighted sums of logarithms */
  double took;
  double said_said;
  double said_took;
};

/** A step for which the caller said SAID_MS took TOOK_MS. */
void kq_length_learn (struct kq_length *length, int64_t said_ms,
                      int64_t took_ms);

/** Returns the likely length of a step for which the caller says SAID_MS; just
 *  that until enough is known.  */
int64_t kq_length_guess (const struct kq_length *length, int64_t said_ms);

#endif

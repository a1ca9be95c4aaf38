/** @file
 * Estimates the run time (length) of a step from its caller's estimate and
 * from the actual run times of earlier steps of the same queue.
 *
 * Callers' estimates may be far off. A linear regression of the logarithm of
 * the actual time on the logarithm of the estimate weights the estimate by how
 * accurate earlier ones were, and the queue's mean by the rest.
 */
#ifndef KQ_SCHED_LENGTH_H
#define KQ_SCHED_LENGTH_H

#include <stdbool.h>
#include <stdint.h>

/** Regression state of one queue. */
struct kq_length
{
  double weight;        /* number of steps, decayed with age */
  double sum_estimates; /* decayed sums of logarithms */
  double sum_actuals;
  double sum_estimate_squared;
  double sum_estimate_actual;
};

/** Adds a step with the caller's estimate ESTIMATE_MS that took ACTUAL_MS. */
void kq_length_learn (struct kq_length *length, int64_t estimate_ms,
                      int64_t actual_ms);

/** Returns whether enough steps are known for estimates. */
bool kq_length_is_learned (const struct kq_length *length);

/** Returns the expected run time of a step with the caller's estimate
 *  ESTIMATE_MS; returns ESTIMATE_MS until enough steps are known.  */
int64_t kq_length_estimate (const struct kq_length *length,
                            int64_t estimate_ms);

#endif

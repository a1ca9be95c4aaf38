/** @file
 * Scalar estimates with a variance, learned from observed sums.
 *
 * A usage report states a sum over many tasks.  Each class of tasks has a
 * factor; the error of the predicted sum is distributed over the factors in
 * proportion to the variance of each and its weight in the sum (a Kalman
 * filter without the covariances between classes).
 */
#ifndef KQ_PLACE_ESTIMATE_H
#define KQ_PLACE_ESTIMATE_H

#include <stddef.h>

/** A factor and the variance of its error. */
struct kq_estimate
{
  double mean;
  double variance;
  int observations; /**< number of observations that included it */
};

/** One term of an observed sum: FACTOR times WEIGHT. */
struct kq_estimate_term
{
  struct kq_estimate *factor;
  double weight;
};

/** Updates the factors of the COUNT terms from their observed sum, whose
 *  measurement error has variance NOISE.  Factors stay within MIN and MAX.
 *  Each factor must occur in one term only.  */
void kq_estimate_learn (struct kq_estimate_term *terms, size_t count,
                        double observed, double noise, double min, double max);

/** Returns the expected sum of the COUNT terms. */
double kq_estimate_sum (const struct kq_estimate_term *terms, size_t count);

/** Returns the mean plus MARGIN standard deviations. */
double kq_estimate_upper (const struct kq_estimate *estimate, double margin);

#endif

/** @file
 * Scalar estimates with an uncertainty, learned from sums.
 *
 * A usage report states a sum over many tasks.  Each class of tasks has a
 * factor; the error of the predicted sum is shared out among the factors in
 * proportion to how uncertain each is and how much it weighs in the sum
 * (a Kalman filter whose covariances between classes are left out).
 */
#ifndef KQ_PLACE_ESTIMATE_H
#define KQ_PLACE_ESTIMATE_H

#include <stddef.h>

/** A factor and the variance of its error. */
struct kq_estimate
{
  double mean;
  double variance;
  int seen; /**< observations it was part of */
};

/** One term of an observed sum: FACTOR times WEIGHT. */
struct kq_estimate_term
{
  struct kq_estimate *factor;
  double weight;
};

/** Learns that the COUNT terms sum up to OBSERVED, with a measurement error
 *  of variance NOISE.  Factors stay within LEAST and MOST.  Terms of the
 *  same factor must have been added up before.  */
void kq_estimate_learn (struct kq_estimate_term *terms, size_t count,
                        double observed, double noise, double least,
                        double most);

/** Returns the sum of the COUNT terms that is expected. */
double kq_estimate_sum (const struct kq_estimate_term *terms, size_t count);

/** Returns the mean plus MARGIN standard deviations. */
double kq_estimate_upper (const struct kq_estimate *estimate, double margin);

#endif

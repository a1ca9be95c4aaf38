/** @file
 * Time limit for a response: the smoothed response time plus four times its
 * deviation, as in RFC 6298, limited to a range.
 */
#ifndef KQ_BASE_RTO_H
#define KQ_BASE_RTO_H

#include "base/clock.h"

/** Estimator of the time limit for responses of one peer. */
struct kq_rto
{
  kq_usec min;           /**< lower bound of the time limit */
  kq_usec max;           /**< upper bound of the time limit */
  kq_usec smoothed_time; /**< mean response time; 0: no response yet */
  kq_usec deviation;     /**< mean deviation of the response time */
};

/** Initializes RTO.  The time limit is from MIN to MAX, and MAX until the
 * first response.  */
void kq_rto_init (struct kq_rto *rto, kq_usec min, kq_usec max);

/** Adds the response time DURATION to the estimate. */
void kq_rto_add_sample (struct kq_rto *rto, kq_usec duration);

/** Raises the estimate after no response came within the limit returned by
 *  kq_rto_get().  Otherwise, if all responses became slower than the limit,
 * the estimate would never see one and the limit would never rise.  */
void kq_rto_add_timeout (struct kq_rto *rto);

/** Returns the current time limit. */
kq_usec kq_rto_get (const struct kq_rto *rto);

#endif

/** @file
 * How long an answer is waited for: a smoothed time of answers and four times
 * its deviation, as in RFC 6298, within bounds.
 */
#ifndef KQ_BASE_RTO_H
#define KQ_BASE_RTO_H

#include "base/clock.h"

struct kq_rto
{
  kq_usec least;
  kq_usec most;
  kq_usec smoothed; /* 0: no answer yet */
  kq_usec deviation;
};

/** Waits MOST until the first answer is known. */
void kq_rto_init (struct kq_rto *rto, kq_usec least, kq_usec most);

/** An answer came after TIME. */
void kq_rto_answered (struct kq_rto *rto, kq_usec time);

/** There was no answer in the time that kq_rto_get() gave: when all answers
 *  become slower than that, none would ever be seen.  */
void kq_rto_missed (struct kq_rto *rto);

kq_usec kq_rto_get (const struct kq_rto *rto);

#endif

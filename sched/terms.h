/** @file
 * Times in the terms of owners.
 */
#ifndef KQ_SCHED_TERMS_H
#define KQ_SCHED_TERMS_H

#include "sched/sched.h"

/** A time that any later owner can place: how long the owner of TERM had owned
 *  it by then.  */
struct term_time
{
  int64_t term; /* 0: unknown */
  int64_t age_ms;
};

/** Returns the time MONO in the term of this owner. */
struct term_time terms_time (const struct kq_sched *sched, kq_usec mono);

/** Returns the latest time on this owner's monotonic clock that TIME, in the
 *  term of an earlier owner, can have been.  */
kq_usec terms_latest (const struct kq_sched *sched, struct term_time time,
                      kq_usec now);

/** Returns the latest time at which the owner of the earlier term TERM (0:
 *  unknown) can have renewed a lease or sent a start order.  */
kq_usec terms_acted_until (const struct kq_sched *sched, int64_t term,
                           kq_usec now);

#endif

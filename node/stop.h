/** @file
 * Times of a planned stop of a host: when it gives up the term and when its
 * process exits.
 */
#ifndef KQ_NODE_STOP_H
#define KQ_NODE_STOP_H

#include <stdbool.h>

#include "base/clock.h"

/** A planned stop that started at STARTED_AT (0: none) and ends in a kill
 *  after GRACE.  */
struct kq_stop
{
  kq_usec started_at;
  kq_usec grace;
};

/** Returns when a host releases a term that it has as the stop starts. */
kq_usec kq_stop_release_at (const struct kq_stop *stop);

/** Returns when a host releases a term that it has claimed since. */
kq_usec kq_stop_last_release_at (const struct kq_stop *stop);

/** Returns whether the process is to exit: early if the host IS_FREE, that is
 *  has no requests and holds no term (kq_stop_holds_term()).  */
bool kq_stop_is_over (const struct kq_stop *stop, kq_usec now, bool is_free);

/** Returns whether the term OWN_TERM (0: none), which the store has confirmed
 * at CONFIRMED_AT last, keeps the process from exiting: not where the store
 *  cannot be reached, as its leases then count from the end of the process. */
bool kq_stop_holds_term (int64_t own_term, kq_usec confirmed_at, kq_usec now);

#endif

/** @file
 * Time as the whole program counts it: microseconds of a monotonic clock.
 */
#ifndef KQ_BASE_CLOCK_H
#define KQ_BASE_CLOCK_H

#include <stdint.h>

/** A point in time or a duration, in microseconds. */
typedef int64_t kq_usec;

#define KQ_USEC_PER_MSEC INT64_C (1000)
#define KQ_USEC_PER_SEC INT64_C (1000000)

/** Returns the monotonic clock of this host, which counts on while the host
 *  is suspended.  Decisions never call this:
 *  they are handed the time by the loop that drives them.  */
kq_usec kq_clock_now (void);

/** Returns the wall clock in microseconds since 1970, for logs and spans. */
kq_usec kq_clock_wall (void);

#endif

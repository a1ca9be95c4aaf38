/** @file
 * The time that all modules use: microseconds of a monotonic clock.
 */
#ifndef KQ_BASE_CLOCK_H
#define KQ_BASE_CLOCK_H

#include <stdint.h>

/** A point in time or a duration, in microseconds. */
typedef int64_t kq_usec;

#define KQ_USEC_PER_MSEC INT64_C (1000)
#define KQ_USEC_PER_SEC INT64_C (1000000)

/** Returns the time of this host's monotonic clock, which includes time that
 *  the host is suspended.  The decision core never calls this: its event loop
 *  passes the time to it.  */
kq_usec kq_clock_now (void);

/** Returns the wall-clock time in microseconds since 1970, for log lines and
 *  spans.  */
kq_usec kq_clock_wall (void);

#endif

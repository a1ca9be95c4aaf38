/** @file
 * Whether the platform's store is away for this owner, from the results of its
 * appends, and when a caller that is refused should try again.
 *
 * Load: the store refuses or does not answer appends for several seconds while
 * a burst of jobs is submitted.
 */
#ifndef KQ_NODE_OUTAGE_H
#define KQ_NODE_OUTAGE_H

#include <stdbool.h>
#include <stdint.h>

#include "base/clock.h"

/** An append that is not answered for this long shows that the store is away:
 *  a slow store answers within a quarter of a second.  */
#define KQ_OUTAGE_NO_ANSWER_US (400 * KQ_USEC_PER_MSEC)

/** Result of one call to the store. */
enum kq_outage_result
{
  KQ_OUTAGE_ANSWERED,
  KQ_OUTAGE_REFUSED,  /**< 429 or 503: nothing was stored */
  KQ_OUTAGE_NO_ANSWER /**< no answer, or one that does not tell the outcome */
};

/** State of the store as the results show it; all zero at first. */
struct kq_outage
{
  int failures;            /**< consecutive failed calls */
  kq_usec first_failed_at; /**< when the first of them was sent */
  kq_usec since;           /**< start of the outage; 0: the store answers */
  kq_usec answered_at;     /**< when the last answer arrived */
};

/** Records the RESULT of a call that was sent at SENT_AT and ended NOW. A
 *  failure tells nothing if the store has answered another call meanwhile.
 *  @return whether the store has become available or unavailable.  */
bool kq_outage_note (struct kq_outage *outage, enum kq_outage_result result,
                     kq_usec sent_at, kq_usec now);

/** Returns whether the store is away. */
bool kq_outage_is_away (const struct kq_outage *outage);

/** Returns the time in ms, a multiple of 1,000, after which the caller of JOB
 *  should try again; 0 if the store is not away.  */
int64_t kq_outage_retry_ms (const struct kq_outage *outage, uint64_t job,
                            kq_usec now);

/** Returns the Retry-After header for a delay of RETRY_MS, 0: unknown, in
 *  whole seconds. LEFT is the time until the caller's deadline: since nobody
 *  knows how long an outage lasts, a caller is not sent away for longer than
 *  that if it can be avoided.  */
unsigned kq_outage_retry_after_s (int64_t retry_ms, kq_usec left);

#endif

/** @file
 * What an owner refuses or takes back while the platform's store is away
 * (kq_refusal_*).
 *
 * Load: a burst of submissions while the store refuses appends or does not
 * answer them. Callers are told at once, and only if nothing was or will be
 * done.
 */
#ifndef KQ_NODE_REFUSAL_H
#define KQ_NODE_REFUSAL_H

#include "node/deferred.h"
#include "node/hop.h"
#include "node/journal.h"
#include "node/outage.h"
#include "sched/sched.h"

/** The owner's modules that a refusal concerns, and the state of the store. */
struct kq_refusal
{
  struct kq_sched *sched;
  struct kq_journal *journal;
  struct kq_deferred *deferred;
  struct kq_outage outage;
};

/** Records that an attempt to append, sent at SENT_AT, has ended with RESULT.
 *  While the store is away, takes back the new jobs that are certainly not
 *  stored; their results are due at once.
 *  @return the number of jobs taken back.  */
int kq_refusal_note_attempt (struct kq_refusal *refusal,
                             enum kq_outage_result result, kq_usec sent_at);

/** Returns whether the store is away. */
bool kq_refusal_is_away (const struct kq_refusal *refusal);

/** Returns whether a request must be refused because the store is away. A
 *  request is not refused if it stores nothing, or if it repeats one that has
 *  been or may be stored.  */
bool kq_refusal_applies (const struct kq_refusal *refusal,
                         enum kq_hop_verb verb, uint64_t job);

/** Returns when the caller of JOB should try again, ms; 0: unknown. */
int64_t kq_refusal_retry_ms (const struct kq_refusal *refusal, uint64_t job);

#endif

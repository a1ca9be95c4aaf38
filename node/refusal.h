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

/** Records that an attempt to append has ended with RESULT. While the store is
 *  away, takes back the new jobs that are certainly not stored; their results
 *  are due at once.
 *  @return the number of jobs taken back.  */
int kq_refusal_note_attempt (struct kq_refusal *refusal,
                             const struct kq_store_append_result *result);

/** The same for an append to the topic of the term. It counts only while the
 *  journal has nothing to store: the partition of jobs may be away alone.  */
int kq_refusal_note_term_append (struct kq_refusal *refusal,
                                 const struct kq_store_append_result *result);

/** Takes back the new jobs that wait behind an append whose repetition has no
 *  answer either. Is called several times a second.
 *  @return the number of jobs taken back.  */
int kq_refusal_tick (struct kq_refusal *refusal);

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

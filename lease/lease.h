/** @file
 * The lease of one worker as the host that asks for it sees it.
 *
 * Authority is conservative: it is counted from when the granted request was
 * sent and shortened by the bound on clock rate error.  The lease also keeps
 * how long attempts may live at the worker that this host can no longer read
 * or stop.
 */
#ifndef KQ_LEASE_LEASE_H
#define KQ_LEASE_LEASE_H

#include <stdbool.h>
#include <stdint.h>

#include "core/event.h"

/** Durations that all leases of a host share. */
struct kq_lease_terms
{
  struct kq_name holder;  /**< name that leases are held under */
  kq_usec ttl;            /**< of a lease */
  kq_usec task_ttl;       /**< of an attempt after it was extended */
  int32_t clock_rate_ppm; /**< bound on the error between two clocks */
};

struct kq_lease;

/** Most workers of a shard. */
#define KQ_LEASE_MAX_SHARD 256

/** What an answer of the worker meant. */
enum kq_lease_outcome
{
  KQ_LEASE_IGNORED, /**< older than what is known, or no answer */
  KQ_LEASE_GRANTED, /**< held; the answer's table can be trusted */
  KQ_LEASE_REFUSED  /**< not held; the table is information only */
};

/** Returns DURATION shortened so that it has not passed by another clock. */
kq_usec kq_lease_shorten (const struct kq_lease_terms *terms,
                          kq_usec duration);

/** Returns DURATION lengthened so that it has passed by another clock. */
kq_usec kq_lease_lengthen (const struct kq_lease_terms *terms,
                           kq_usec duration);

/** Returns for how long after it was asked for a worker may take a request,
 *  however late it arrives: the serial lets one late renewal pass at most, and
 *  no start after the lease that it extends.  */
kq_usec kq_lease_latest (const struct kq_lease_terms *terms);

/** Creates a lease that is not held; NULL when out of memory.  TERMS must
 *  outlive the lease.  */
struct kq_lease *kq_lease_create (const struct kq_lease_terms *terms);

void kq_lease_destroy (struct kq_lease *lease);

/** Returns whether a request may be sent at NOW.  It may not while a release
 *  can still arrive at the worker: it would undo the new grant.  */
bool kq_lease_may_ask (const struct kq_lease *lease, kq_usec now);

/** Notes that an acquire or renewal is sent at NOW; EXTENDS when it carries
 *  a task_ttl, so that attempts live on.  */
void kq_lease_ask (struct kq_lease *lease, kq_usec now, bool extends);

/** Notes that a start is sent at NOW, which an attempt may live from. */
void kq_lease_note_start (struct kq_lease *lease, kq_usec now);

/** Takes the worker's ANSWER to a request. */
enum kq_lease_outcome kq_lease_answer (struct kq_lease *lease, kq_usec now,
                                       const struct kq_lease_answer *answer);

/** Gives up the lease at NOW; authority ends at once.  A release is sent. */
void kq_lease_release (struct kq_lease *lease, kq_usec now);

/** Returns when this host's authority ends; 0 when it has none. */
kq_usec kq_lease_until (const struct kq_lease *lease);

/** Returns whether this host may act on the worker at NOW. */
bool kq_lease_held (const struct kq_lease *lease, kq_usec now);

/** Returns the last term known at the worker. */
uint64_t kq_lease_term (const struct kq_lease *lease);

/** Returns the last serial known at the worker. */
uint64_t kq_lease_serial (const struct kq_lease *lease);

/** Returns when a request was last sent, 0 if never or if the last one was
 *  refused just because it quoted an old serial.  */
kq_usec kq_lease_asked_at (const struct kq_lease *lease);

/** Returns when the worker last answered, 0 if never. */
kq_usec kq_lease_answered_at (const struct kq_lease *lease);

/** Returns the last holder that the worker named; empty if none. */
const struct kq_name *kq_lease_holder (const struct kq_lease *lease);

/** Returns when the lease of another holder ends by this host's clock. */
kq_usec kq_lease_lapses_at (const struct kq_lease *lease);

/** Returns when no attempt lives at the worker that was last extended by
 *  this host, or by an owner that it replaced at SINCE.  */
kq_usec kq_lease_clear_at (const struct kq_lease *lease, kq_usec since);

/** Returns when a majority of COUNT leases ends: the point until which the
 *  host owns the shard; 0 when it never had one.  */
kq_usec kq_lease_majority_until (struct kq_lease *const *leases, size_t count);

#endif

/** @file
 * The lease of one worker, as seen by the host that requests it.
 *
 * Authority is the time in which this host may act on the worker.  It is
 * estimated conservatively: it counts from when the granted request was sent
 * and is shortened by the bound on the clock rate error.  The lease also
 * tracks until when attempts may run at the worker that this host can no
 * longer query or stop.
 *
 * The worker raises its term when it grants the lease anew, and its serial
 * with each lease request that it accepts.  It refuses a lease request that
 * does not carry its current term and serial.
 */
#ifndef KQ_LEASE_LEASE_H
#define KQ_LEASE_LEASE_H

#include <stdbool.h>
#include <stdint.h>

#include "core/event.h"

/** Settings that all leases of a host share. */
struct kq_lease_settings
{
  struct kq_name holder;  /**< name and incarnation of this host */
  kq_usec ttl;            /**< duration of a lease */
  kq_usec task_ttl;       /**< how long an attempt may run after it was last
                             extended */
  int32_t clock_rate_ppm; /**< bound on the rate error between two clocks, in
                             parts per million */
};

struct kq_lease;

/** Largest number of workers of a shard. */
#define KQ_LEASE_MAX_WORKERS 256

/** Result of applying a reply of the worker. */
enum kq_lease_outcome
{
  KQ_LEASE_IGNORED, /**< out of date, or the worker did not reply */
  KQ_LEASE_GRANTED, /**< held; the table in the reply is authoritative */
  KQ_LEASE_REFUSED  /**< not held; the table is informational only */
};

/** Returns DURATION shortened so that, once it has passed by this clock, the
 *  full DURATION has not passed by another clock.  */
kq_usec kq_lease_shorten (const struct kq_lease_settings *settings,
                          kq_usec duration);

/** Returns DURATION lengthened so that, once it has passed by this clock, the
 *  full DURATION has passed by another clock.  */
kq_usec kq_lease_lengthen (const struct kq_lease_settings *settings,
                           kq_usec duration);

/** Returns how long after it was sent a request can still be accepted by the
 *  worker, however late it arrives.  That is two lease durations: the serial
 *  lets at most one late renewal through, and no start is accepted after the
 *  end of the lease that this renewal extends.  */
kq_usec kq_lease_max_request_age (const struct kq_lease_settings *settings);

/** Creates a lease that is not held; NULL when out of memory.  SETTINGS must
 *  outlive the lease.  */
struct kq_lease *kq_lease_create (const struct kq_lease_settings *settings);

void kq_lease_destroy (struct kq_lease *lease);

/** Returns whether a lease request may be sent at NOW.  It may not while an
 *  earlier release can still arrive at the worker, because that release would
 *  undo the new grant.  */
bool kq_lease_may_request (const struct kq_lease *lease, kq_usec now);

/** Notes that an acquire or renewal is sent at NOW.  EXTENDS_ATTEMPTS says
 *  whether it carries a task_ttl, which extends the attempts at the worker. */
void kq_lease_note_request (struct kq_lease *lease, kq_usec now,
                            bool extends_attempts);

/** Notes that the start of an attempt is sent at NOW. */
void kq_lease_note_start (struct kq_lease *lease, kq_usec now);

/** Applies the worker's REPLY, received at NOW, to a lease request. */
enum kq_lease_outcome
kq_lease_apply_reply (struct kq_lease *lease, kq_usec now,
                      const struct kq_lease_reply *reply);

/** Notes that a release is sent at NOW.  Authority ends at once. */
void kq_lease_release (struct kq_lease *lease, kq_usec now);

/** Returns when this host's authority ends; 0 when it has none. */
kq_usec kq_lease_authority_until (const struct kq_lease *lease);

/** Returns whether this host may act on the worker at NOW. */
bool kq_lease_held (const struct kq_lease *lease, kq_usec now);

/** Returns the newest term that the worker has reported. */
uint64_t kq_lease_term (const struct kq_lease *lease);

/** Returns the highest serial that the worker has reported. */
uint64_t kq_lease_serial (const struct kq_lease *lease);

/** Returns when a request was last sent; 0 if none was, or if the last one was
 *  refused only because it carried an old serial.  */
kq_usec kq_lease_requested_at (const struct kq_lease *lease);

/** Returns when the last reply that was not ignored was received; 0 if none
 *  was.  */
kq_usec kq_lease_replied_at (const struct kq_lease *lease);

/** Returns the holder that the worker last reported; empty if none. */
const struct kq_name *kq_lease_holder (const struct kq_lease *lease);

/** Returns when the lease of another holder ends, by this host's clock; 0 if
 *  no other holder is known.  */
kq_usec kq_lease_lapses_at (const struct kq_lease *lease);

/** Returns the time from which no attempt can run at the worker.  It counts
 *  from the last request by which this host extended attempts there, or from
 *  SINCE, until when an earlier owner may have extended them, whichever is
 *  later.  */
kq_usec kq_lease_attempts_gone_at (const struct kq_lease *lease,
                                   kq_usec since);

/** Returns until when this host has authority over a majority of the COUNT
 *  workers in LEASES, and so owns their shard; 0 when it has no majority.  */
kq_usec kq_lease_majority_until (struct kq_lease *const *leases, size_t count);

#endif

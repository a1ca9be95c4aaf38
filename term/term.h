/** @file
 * Election of the owner: the one host of the cell that schedules.  Hosts
 * append claims, heartbeats and releases to a topic of the store, and every
 * host reads that topic.  A cell is the set of hosts that share a store.  This
 * module does no I/O: the caller appends what kq_term_next() returns and
 * passes in the records that it has read.
 *
 * A claim is appended at the end of the topic as its host has read it, so that
 * the store accepts only one of several concurrent claims.  The term of an
 * accepted claim is its offset plus one.  It is also the producer epoch of the
 * claim and of all later records of that owner: once the store holds a claim
 * it refuses the heartbeats of earlier owners.
 */
#ifndef KQ_TERM_TERM_H
#define KQ_TERM_TERM_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/clock.h"

/** Size in bytes of a host's name, address or incarnation, including the
 *  terminating zero.  */
#define KQ_TERM_TEXT_SIZE 64

/** Maximum number of earlier terms that are remembered. */
#define KQ_TERM_MAX_PAST 8

/** Maximum size in bytes of a record. */
#define KQ_TERM_RECORD_SIZE 768

struct kq_term;

/** An earlier term. */
struct kq_term_past
{
  int64_t term;
  kq_usec confirmed_until; /**< the store confirmed it no later than this */
  kq_usec ended_at; /**< its owner had certainly stopped by then; 0: unknown */
  kq_usec heard_at; /**< when its owner's latest record was read */
  kq_usec age;      /**< for how long at least it had owned the term by then */
};

enum kq_term_kind
{
  KQ_TERM_NONE,
  KQ_TERM_CLAIM = 2,
  KQ_TERM_HEARTBEAT,
  KQ_TERM_RELEASE,
  KQ_TERM_BID /**< a larger host asks the owner to release its term to it */
};

/** A record to append. A negative number disables a condition. */
struct kq_term_append
{
  enum kq_term_kind kind;
  int64_t at;       /**< required end offset of the topic */
  int64_t epoch;    /**< of the producer */
  int64_t sequence; /**< of the producer within its epoch */
  uint8_t bytes[KQ_TERM_RECORD_SIZE];
  size_t size;
};

/** Outcome of an append. */
struct kq_term_append_result
{
  enum
  {
    KQ_TERM_STORED,
    KQ_TERM_FAILED,  /**< not stored, or unknown */
    KQ_TERM_FENCED,  /**< a later term has appended */
    KQ_TERM_SEQUENCE /**< another sequence number is expected */
  } outcome;
  int64_t expected_sequence; /**< with KQ_TERM_SEQUENCE */
};

struct kq_term_owner
{
  char host[KQ_TERM_TEXT_SIZE];
  char address[KQ_TERM_TEXT_SIZE];
  char incarnation[KQ_TERM_TEXT_SIZE]; /**< "" after a release */
  int64_t term;                        /**< 0: no owner is known */
};

/** Creates the election state of HOST, which other hosts reach at ADDRESS.
 *  INCARNATION differs in each start of the process, which is NOW.  CORES is
 *  the number of processor cores available to the host.
 *  @return NULL when out of memory.  */
struct kq_term *kq_term_create (const char *host, const char *address,
                                const char *incarnation, double cores,
                                kq_usec now);
void kq_term_destroy (struct kq_term *term);

/** Sets how this host compares with the others: RANK of them come before it as
 *  owner, and the largest one has MAX_CORES.  */
void kq_term_set_standing (struct kq_term *term, int rank, double max_cores);

/** Applies the record read at OFFSET.  Malformed records are skipped. */
void kq_term_apply (struct kq_term *term, kq_usec now, int64_t offset,
                    const uint8_t *bytes, size_t size);

/** Records that a read sent at SENT_AT has reached END, the end of the
 *  topic.  Records before END that were not applied are no longer kept.  */
void kq_term_note_read (struct kq_term *term, kq_usec now, kq_usec sent_at,
                        int64_t end);

/** Returns the offset of the next record to read. */
int64_t kq_term_offset (const struct kq_term *term);

/** Returns whether the topic has been read to its end at least once. */
bool kq_term_is_caught_up (const struct kq_term *term);

/** Fills APPEND with the record to append now, if any.  Returns no further
 *  record until kq_term_append_done() has reported the result of the last one.
 *  @return whether there is a record to append.  */
bool kq_term_next (struct kq_term *term, kq_usec now,
                   struct kq_term_append *append);

/** Reports the result of the append that kq_term_next() returned last. */
void kq_term_append_done (struct kq_term *term, kq_usec now,
                          const struct kq_term_append_result *result);

/** Returns whether this host should follow the topic closely: it is among
 * those that claim first, or the owner may be lost.  Others may read it once a
 *  second.  */
bool kq_term_follows_closely (const struct kq_term *term, kq_usec now);

/** Records that the owner does not reply to requests of this host. */
void kq_term_suspect_owner (struct kq_term *term, kq_usec now);

/** Returns the owner as known to this host; its term is 0 if none is known. */
const struct kq_term_owner *kq_term_owner (const struct kq_term *term);

/** Fills PAST with the terms before this host's own, the latest first.
 *  @return their number.  */
int kq_term_get_past (const struct kq_term *term,
                      struct kq_term_past past[KQ_TERM_MAX_PAST]);

/** Records that the host at ADDRESS owns the term NUMBER, as reported by
 *  another host, if that term is later than that of the known owner.  */
void kq_term_learn_owner (struct kq_term *term, kq_usec now,
                          const char *address, int64_t number);

/** Returns this host's own term, or 0 while it must not act as the owner: it
 *  has no term, or is about to release it.  */
int64_t kq_term_own_term (const struct kq_term *term);

/** Returns the term that this host has, also while it is about to release it;
 *  0: none.  */
int64_t kq_term_held_term (const struct kq_term *term);

/** Returns whether a release waits for kq_term_note_idle(). */
bool kq_term_awaits_idle (const struct kq_term *term);

/** Records that this host does not act as the owner (any more).  A release is
 *  appended only then: other hosts take it for the end of all acts.  */
void kq_term_note_idle (struct kq_term *term, kq_usec now);

/** Returns since when this host has owned its own term. */
kq_usec kq_term_own_since (const struct kq_term *term);

/** Returns the highest fence that this host's orders may carry, or 0 while it
 *  is not the owner: the offset plus one of its latest record in the topic. It
 *  is above all fences of earlier owners, and below the term of any later one,
 *  since the store takes no record of a term after the claim of a later one.
 */
int64_t kq_term_fence (const struct kq_term *term);

/** Returns the send time of the last append with which the store confirmed
 *  this host's term.  */
kq_usec kq_term_confirmed_at (const struct kq_term *term);

/** Ends this host's term, if it has one, by appending a release.  */
void kq_term_release (struct kq_term *term);

/** Records that this host is stopping. It keeps a term that it has until
 *  RELEASE_AT, so that owners that stop one after the other have time to act.
 *  It claims one that no other host claims, and releases that at
 *  LAST_RELEASE_AT.  The process should end only without a term.  */
void kq_term_stop (struct kq_term *term, kq_usec release_at,
                   kq_usec last_release_at);

/** Ends this host's term without a release, because a later owner is
 *  known.  */
void kq_term_supersede (struct kq_term *term, kq_usec now);

#endif

/** @file
 * Idempotency keys that this host remembers, so that a keyed request runs
 * at most once here and a repeat gets the stored outcome.
 *
 * Internal to request/.  A key is never forgotten before its time to live
 * has passed: a full table refuses new keys instead.  When the stored
 * answers grow too large the oldest are freed, but their keys stay.
 */
#ifndef KQ_REQUEST_KEY_H
#define KQ_REQUEST_KEY_H

#include <uthash.h>

#include "request/request.h"

struct kq_key_entry
{
  struct kq_request_key key;
  bool done;
  bool claimed; /**< by another host, and not settled */
  enum kq_outcome outcome;
  int err;
  struct kq_answer *answer; /**< NULL when freed for want of room */
  kq_usec expires;
  UT_hash_handle hh;
  struct kq_key_entry *prev; /**< done entries, in order of expiry */
  struct kq_key_entry *next;
};

struct kq_key_table
{
  struct kq_key_entry *entries;
  struct kq_key_entry *done;
  struct kq_key_entry *oldest_answer; /**< first done entry with an answer */
  size_t bytes;                       /**< of stored answers */
};

/** Begins a run under KEY.
 *  @return 0 with *ENTRY in progress; KQ_EEXIST with *ENTRY done;
 *  KQ_EREQ_KEY_IN_USE; KQ_EREQ_KEY_REUSED when the key came with another
 *  request; KQ_EREQ_OVERLOAD when the table is full; KQ_ENOMEM.  */
int kq_key_begin (struct kq_key_table *table, kq_usec now,
                  const struct kq_request_settings *settings,
                  const struct kq_request_key *key,
                  struct kq_key_entry **entry);

/** Notes that another host begins a run under KEY, unless it is known.
 *  @return as kq_key_begin().  */
int kq_key_claim (struct kq_key_table *table, kq_usec now,
                  const struct kq_request_settings *settings,
                  const struct kq_request_key *key,
                  struct kq_key_entry **entry);

/** Notes how a run under a claimed key has ended; others are ignored. */
void kq_key_settle (struct kq_key_table *table, kq_usec now,
                    const struct kq_request_settings *settings,
                    const struct kq_request_settlement *settlement);

/** Ends the run of ENTRY.  A run that was not run is forgotten.  ANSWER, if
 *  any, is referenced.  */
void kq_key_end (struct kq_key_table *table, kq_usec now,
                 const struct kq_request_settings *settings,
                 struct kq_key_entry *entry, enum kq_outcome outcome, int err,
                 struct kq_answer *answer);

void kq_key_clear (struct kq_key_table *table);

#endif

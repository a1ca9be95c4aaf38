/** @file
 * Table of idempotency keys.  It lets a request with a key run at most once
 * on this host; a repeated request receives the stored outcome.
 *
 * Internal to request/.  A key is never removed before its time to live has
 * passed: a full table refuses new keys instead.  When the stored responses
 * exceed their limit the oldest are freed, but their keys stay.
 */
#ifndef KQ_REQUEST_KEY_H
#define KQ_REQUEST_KEY_H

#include <uthash.h>

#include "request/request.h"

struct kq_key_entry
{
  struct kq_request_key key;
  bool done;    /**< outcome and err are set */
  bool claimed; /**< by another host, which has not reported the result */
  enum kq_outcome outcome;
  int err;
  struct kq_response *response; /**< NULL: none, or freed to keep the limit */
  kq_usec expires_at;
  UT_hash_handle hh;
  struct kq_key_entry *prev; /**< list of done entries, in order of expiry */
  struct kq_key_entry *next;
};

struct kq_key_table
{
  struct kq_key_entry *entries; /**< by hash of the key */
  struct kq_key_entry *done;    /**< list, in order of expiry */
  /** No done entry before this one holds a response. */
  struct kq_key_entry *oldest_response;
  size_t response_bytes; /**< total size of the stored responses */
};

/** Begins a run under KEY.
 *  @return 0 with *ENTRY in progress; KQ_EEXIST with *ENTRY done;
 *  KQ_EREQ_KEY_IN_USE when a run is in progress; KQ_EREQ_KEY_REUSED when the
 *  key was used for a different request; KQ_EREQ_OVERLOAD when the table is
 *  full; KQ_ENOMEM.  */
int kq_key_begin (struct kq_key_table *table, kq_usec now,
                  const struct kq_request_settings *settings,
                  const struct kq_request_key *key,
                  struct kq_key_entry **entry);

/** Stores KEY as claimed by another host, which is about to run the request,
 *  unless the key is known.
 *  @return as kq_key_begin().  */
int kq_key_claim (struct kq_key_table *table, kq_usec now,
                  const struct kq_request_settings *settings,
                  const struct kq_request_key *key,
                  struct kq_key_entry **entry);

/** Stores the result of the run under a claimed key.  Ignored if the key is
 *  unknown or not claimed.  */
void kq_key_resolve (struct kq_key_table *table, kq_usec now,
                     const struct kq_request_settings *settings,
                     const struct kq_request_key_result *key_result);

/** Ends the run of ENTRY and stores its outcome.  If the outcome is "not run"
 *  ENTRY is removed and freed.  Adds a reference to RESPONSE unless it is
 *  NULL.  */
void kq_key_end (struct kq_key_table *table, kq_usec now,
                 const struct kq_request_settings *settings,
                 struct kq_key_entry *entry, enum kq_outcome outcome, int err,
                 struct kq_response *response);

void kq_key_clear (struct kq_key_table *table);

#endif

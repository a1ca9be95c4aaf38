/** @file
 * Who owns the cell: claims, beats and releases in a topic of the store that
 * every host reads.  No I/O: the caller appends what kq_term_next() asks for
 * and hands over what it has read.
 *
 * A claim is appended at the end that its host has read, so that the store
 * takes one claim only; its term is its offset plus one.
 */
#ifndef KQ_TERM_TERM_H
#define KQ_TERM_TERM_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/clock.h"

/** Bytes of a host's name or address with its terminating zero. */
#define KQ_TERM_TEXT 64

/** Most hosts that are remembered. */
#define KQ_TERM_MAX_PEERS 256

struct kq_term;

enum kq_term_kind
{
  KQ_TERM_NOTHING,
  KQ_TERM_HELLO, /**< a host names its address */
  KQ_TERM_CLAIM,
  KQ_TERM_BEAT,
  KQ_TERM_RELEASE
};

/** A record to append. */
struct kq_term_append
{
  enum kq_term_kind kind;
  int64_t at; /**< the offset where the topic must end */
  uint8_t bytes[256];
  size_t size;
};

struct kq_term_owner
{
  char host[KQ_TERM_TEXT];
  char address[KQ_TERM_TEXT];
  char life[KQ_TERM_TEXT];
  int64_t term; /**< 0: nobody */
};

/** Creates the view of HOST, reached at ADDRESS, in its present LIFE.  CORES
 *  is its share of a processor: hosts with more claim earlier.  */
struct kq_term *kq_term_create (const char *host, const char *address,
                                const char *life, double cores);
void kq_term_destroy (struct kq_term *term);

/** Takes the record at OFFSET.  Malformed ones are skipped. */
void kq_term_take (struct kq_term *term, kq_usec now, int64_t offset,
                   const uint8_t *bytes, size_t size);

/** Says that the topic was read up to END by a call that was sent at
 *  SENT_AT.  */
void kq_term_read_to (struct kq_term *term, kq_usec now, kq_usec sent_at,
                      int64_t end);

/** Returns the offset from which to read on. */
int64_t kq_term_offset (const struct kq_term *term);

/** Whether the topic was read to its end once. */
bool kq_term_is_caught_up (const struct kq_term *term);

/** Says what to append now; one append at a time.
 *  @return whether there is something.  */
bool kq_term_next (struct kq_term *term, kq_usec now,
                   struct kq_term_append *append);

/** Answers the last kq_term_next(): stored at OFFSET; or, with OFFSET
 *  negative, not stored or not known.  */
void kq_term_answered (struct kq_term *term, kq_usec now, int64_t offset);

/** Returns the owner as this host believes, term 0 if nobody. */
const struct kq_term_owner *kq_term_owner (const struct kq_term *term);

/** Takes an owner that another host told, if its term is later. */
void kq_term_told (struct kq_term *term, kq_usec now, const char *address,
                   int64_t number);

/** Returns this host's own term, 0 while it is not the owner. */
int64_t kq_term_mine (const struct kq_term *term);

/** Returns when the store last confirmed this host's term, by the time at
 *  which that call was sent.  */
kq_usec kq_term_confirmed_at (const struct kq_term *term);

/** Gives the term up: a release is appended, and nothing is claimed until
 *  BARRED_UNTIL (INT64_MAX: for ever).  */
void kq_term_release (struct kq_term *term, kq_usec barred_until);

/** Ends this host's own term without a release: another one is known. */
void kq_term_depose (struct kq_term *term, kq_usec now);

/** Returns the address of the N-th known other host, or NULL. */
const char *kq_term_peer (const struct kq_term *term, size_t n);

#endif

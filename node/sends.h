/** @file
 * Copies of a caller's request that a front has sent to owners, and what is
 * known of them (kq_sends_*).
 *
 * A refusal of one copy is true for the request only if no other copy may have
 * been accepted: one that was delayed since before an outage of the store
 * would be a new submission after it.
 */
#ifndef KQ_NODE_SENDS_H
#define KQ_NODE_SENDS_H

#include <stdint.h>

/** Copies of one request; all zero at first. */
struct kq_sends
{
  int outstanding; /**< copies that an owner may have accepted */
  unsigned status; /**< 429 or 503 with which an owner has refused one; 0 */
  int err;         /**< of that refusal */
  int64_t retry_ms;
};

/** What a front does after a copy was rejected. */
enum kq_sends_verdict
{
  KQ_SENDS_RESEND, /**< no owner has decided */
  KQ_SENDS_WAIT,   /**< refused, but another copy is outstanding */
  KQ_SENDS_REFUSED /**< refused, and nothing was done for any copy */
};

/** Records that a copy was sent. */
void kq_sends_add (struct kq_sends *sends);

/** Records that nothing was done for one copy: it could not be sent, or the
 *  receiver is not the owner (STATUS 0), or the owner refuses it (429, 503).
 */
enum kq_sends_verdict kq_sends_reject (struct kq_sends *sends, unsigned status,
                                       int err, int64_t retry_ms);

#endif

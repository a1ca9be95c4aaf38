/** @file
 * Batches of orders that an owner sends to a relay, and batches of their
 * results.
 */
#ifndef KQ_RELAY_MESSAGE_H
#define KQ_RELAY_MESSAGE_H

#include "sched/order.h"

/** A batch that has reached this size in bytes is sent before more is added:
 *  hosts take messages of 18 MiB, and the reply of one worker may have 16.  */
#define KQ_RELAY_BATCH_BYTES ((size_t)1024 * 1024)

/** A batch under construction. */
struct kq_relay_batch
{
  uint8_t *bytes;
  size_t size;
  size_t capacity;
  int count;         /**< of orders or results */
  uint32_t texts;    /**< number of texts of jobs in it */
  uint64_t last_job; /**< the last text is this job's */
};

/** Removes all content and frees the buffer. */
void kq_relay_batch_clear (struct kq_relay_batch *batch);

/** Adds ORDER to a batch of orders with the given FENCE.
 *  @return 0 or KQ_ENOMEM.  */
int kq_relay_add_order (struct kq_relay_batch *batch, int64_t fence,
                        const struct kq_order *order);

/** Limits the time until which a batch of orders is carried out.
 *  @param expires_ms on the clock of the relay, in ms.
 *  @return 0 or KQ_ENOMEM.  */
int kq_relay_set_expiry (struct kq_relay_batch *batch, int64_t expires_ms);

/** What holds for all orders of a batch. */
struct kq_relay_terms
{
  int64_t fence;
  int64_t expires_ms; /**< on the clock of the relay, in ms; 0: no limit */
};

/** Calls VISIT for each order in a batch; malformed orders are left out.
 *  @param terms set before the first call.
 *  @return 0 or KQ_ESYNTAX.  */
int kq_relay_read_orders (
    const uint8_t *bytes, size_t size, struct kq_relay_terms *terms,
    void (*visit) (void *arg, const struct kq_order *order), void *arg);

/** State of a relay that it sends along with results. */
struct kq_relay_state
{
  int64_t fence;     /**< highest one that it has seen */
  uint64_t received; /**< number of the last batch of orders received */
  bool leaving;      /**< it is about to stop */
  int64_t time_ms;   /**< its clock when it sent this, in ms; 0: unknown */
};

/** Adds RESULT to a batch of results.
 *  @return 0 or KQ_ENOMEM.  */
int kq_relay_add_result (struct kq_relay_batch *batch,
                         const struct kq_order_result *result);

/** Completes a batch of results with the state of the relay.
 *  @return 0 or KQ_ENOMEM.  */
int kq_relay_add_state (struct kq_relay_batch *batch,
                        const struct kq_relay_state *state);

/** Calls VISIT for each result in a batch.  The results carry tag, reply,
 *  clock and status; the receiver knows the rest by the tag.  Malformed
 * results are left out.
 *  @param state set before the first call.
 *  @return 0 or KQ_ESYNTAX.  */
int kq_relay_read_results (
    const uint8_t *bytes, size_t size, struct kq_relay_state *state,
    void (*visit) (void *arg, const struct kq_order_result *result),
    void *arg);

#endif

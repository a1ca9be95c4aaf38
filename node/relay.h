/** @file
 * Carries out orders of the owner on another host to some of the workers, and
 * sends it the results.  It decides nothing: an order that arrives late or
 * twice is refused by the worker, as after a delay in the network.
 */
#ifndef KQ_NODE_RELAY_H
#define KQ_NODE_RELAY_H

#include <ev.h>

#include "node/hop.h"

struct kq_relay;

/** Creates a relay that replies through HOP.
 *  @return NULL when out of memory.  */
struct kq_relay *kq_relay_create (struct ev_loop *loop, struct kq_hop *hop);
void kq_relay_destroy (struct kq_relay *relay);

/** Carries out the batch of orders in MESSAGE.  A batch of an earlier owner is
 *  dropped; its sender learns of the later fence.  */
void kq_relay_handle_orders (struct kq_relay *relay,
                             const struct kq_hop_sender *sender,
                             const KqNode__Ask *message);

/** Tells the owner that this host is about to stop. */
void kq_relay_leave (struct kq_relay *relay);

/** Registers the metrics of this module; must be called once. */
void kq_relay_register_metrics (void);

#endif

/** @file
 * Sends the owner's orders to workers: itself, or in a large cell through
 * relays (relay/plan.h), in one batch for each relay and iteration of the
 * event loop.  An order whose relay is lost ends without a reply, as one that
 * is lost on the way to the worker.
 */
#ifndef KQ_NODE_DISPATCH_H
#define KQ_NODE_DISPATCH_H

#include <ev.h>

#include "node/hop.h"
#include "platform/call.h"
#include "sched/order.h"
#include "term/hosts.h"

struct kq_dispatch;

struct kq_dispatch_handler
{
  void *arg;
  kq_order_done *on_result;
  /** A relay follows an owner with a later fence. */
  void (*on_fenced) (void *arg);
};

/** Creates a dispatch of orders with FENCE, which calls workers through HTTP
 *  and relays among HOSTS through HOP.
 *  @return NULL when out of memory.  */
struct kq_dispatch *
kq_dispatch_create (struct ev_loop *loop, struct kq_http_client *http,
                    struct kq_hop *hop, const struct kq_hosts *hosts,
                    int64_t fence, const struct kq_dispatch_handler *handler);
void kq_dispatch_destroy (struct kq_dispatch *dispatch);

/** Takes the hosts of the cell anew. */
void kq_dispatch_update_hosts (struct kq_dispatch *dispatch);

/** Records that a worker is registered in ZONE, or no longer registered. */
void kq_dispatch_set_worker (struct kq_dispatch *dispatch, const char *worker,
                             const char *zone);
void kq_dispatch_remove_worker (struct kq_dispatch *dispatch,
                                const char *worker);

/** Sends ORDER, whose tag is ignored; its result is reported exactly once,
 *  unless the dispatch is destroyed before.  */
void kq_dispatch_send (struct kq_dispatch *dispatch,
                       const struct kq_order *order);

/** Sends the batches to the relays. */
void kq_dispatch_flush (struct kq_dispatch *dispatch);

/** Handles a batch of results from the relay at ADDRESS. */
void kq_dispatch_handle_results (struct kq_dispatch *dispatch,
                                 const char *address, const uint8_t *bytes,
                                 size_t size);

/** Registers the metrics of this module; must be called once. */
void kq_dispatch_register_metrics (void);

#endif

/** @file
 * Messages between entry hosts: a front (the host that a caller is connected
 * to) sends requests to the owner (the host that manages the jobs), and the
 * owner sends batches of orders to relays.
 *
 * Messages may be lost; the sender repeats its requests. Repeating one is
 * harmless, because an ID stands for exactly one job.
 */
#ifndef KQ_NODE_HOP_H
#define KQ_NODE_HOP_H

#include <ev.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "node/hop.pb-c.h"

struct kq_hop;

/** Operation that a request asks for. */
enum kq_hop_verb
{
  KQ_HOP_SUBMIT = 1,
  KQ_HOP_STATE,
  KQ_HOP_CANCEL,
  KQ_HOP_PENDING,
  KQ_HOP_ORDERS,  /**< a batch of orders to workers, for a relay */
  KQ_HOP_EXPLAIN, /**< where would a job be placed? (node/explain.h) */
  KQ_HOP_FEED     /**< what was read of the operator's topic (node/feed.h) */
};

/** Socket identity of the sender of a request, to which the reply goes. */
struct kq_hop_sender
{
  uint8_t bytes[32];
  size_t size;
};

struct kq_hop_handler
{
  void *arg;
  void (*on_request) (void *arg, const struct kq_hop_sender *sender,
                      const KqNode__Ask *message);
  /** ADDRESS is that of the host that has replied. */
  void (*on_reply) (void *arg, const char *address,
                    const KqNode__Tell *message);
};

/** Binds ADDRESS ("ADDR:PORT").
 *  @return NULL with *ERR set to KQ_EIO or KQ_ENOMEM.  */
struct kq_hop *kq_hop_create (struct ev_loop *loop, const char *address,
                              const struct kq_hop_handler *handler, int *err);
void kq_hop_destroy (struct kq_hop *hop);

/** Sets how many bytes of requests may wait for hosts that do not take them;
 *  32 MiB without a call.  */
void kq_hop_limit_queue (struct kq_hop *hop, size_t bytes);

/** Sends a request to the host at ADDRESS.
 *  @return 0, or KQ_EIO if it cannot be sent or queued.  */
int kq_hop_send_request (struct kq_hop *hop, const char *address,
                         const KqNode__Ask *message);

/** Handles all messages that have arrived.  Whoever judges another host by its
 *  silence calls this first, since the process itself may have been late.  */
void kq_hop_receive (struct kq_hop *hop);

/** Sends a reply to SENDER; logs a warning if it cannot be sent. */
void kq_hop_send_reply (struct kq_hop *hop, const struct kq_hop_sender *sender,
                        const KqNode__Tell *message);

#endif

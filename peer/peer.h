/** @file
 * Messages between entry hosts over ZeroMQ.
 *
 * Each host binds one ROUTER socket that it only reads, and opens one DEALER
 * socket a peer that it only writes.  Peers are known from the settings, from
 * the platform's host list and from the messages that arrive.  What goes to
 * other availability zones is coalesced and compressed.  Delivery isn't
 * guaranteed: the decision core repeats what matters.
 */
#ifndef KQ_PEER_PEER_H
#define KQ_PEER_PEER_H

#include <ev.h>

#include "peer/codec.h"

/** Most peers that are connected at the same time. */
#define KQ_PEER_MAX_PEERS 512

struct kq_peers;

struct kq_peers_settings
{
  struct kq_peer_sender self; /**< its address is where the socket binds */
  struct kq_name region;
  const char (*bootstrap)[64]; /**< "ADDR:PORT" each */
  size_t bootstrap_count;
};

/** Takes what arrives, from the loop. */
struct kq_peers_handler
{
  void *arg;
  void (*message) (void *arg, const struct kq_peer_message *message);
  /** Takes a peer's host list, on a host that has read none itself.  */
  void (*hosts) (void *arg, const struct kq_host_entry *entries, size_t count);
};

/** Binds the socket and connects to the bootstrap peers.
 *  @return NULL with *ERR set: KQ_EIO when the socket can't be bound, or
 *  KQ_ENOMEM.  */
struct kq_peers *kq_peers_create (struct ev_loop *loop, void *zmq_context,
                                  const struct kq_peers_settings *settings,
                                  const struct kq_peers_handler *handler,
                                  int *err);

/** Sends what is still coalesced, closes the sockets and frees PEERS. */
void kq_peers_destroy (struct kq_peers *peers);

/** Takes the platform's host list: connects to entry hosts that are new, and
 *  keeps the list for peers that have none.  */
void kq_peers_take_hosts (struct kq_peers *peers,
                          const struct kq_host_entry *entries, size_t count);

/** Takes a host list that a peer has sent: only connects.  */
void kq_peers_learn_hosts (struct kq_peers *peers,
                           const struct kq_host_entry *entries, size_t count);

/** Sends MESSAGE to the host TO, or to all peers when TO is empty.
 *  @return 0, KQ_EPEER_UNKNOWN or KQ_ENOMEM.  */
int kq_peers_send (struct kq_peers *peers, const struct kq_name *to,
                   const struct kq_peer_message *message);

/** Checks the sender of a batch that has arrived.
 *  @return 0; KQ_EPEER_VIEW when a later incarnation of the host is known;
 *  KQ_EPEER_UNKNOWN when the host isn't a member.  */
int kq_peers_check (struct kq_peers *peers,
                    const struct kq_peer_sender *sender);

/** Registers the counters of this module; once, before threads run. */
void kq_peers_register_metrics (void);

#endif

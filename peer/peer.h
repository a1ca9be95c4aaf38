/** @file
 * Messages between entry hosts over ZeroMQ.
 *
 * Each host binds one ROUTER socket, which it only reads, and opens one
 * DEALER socket per peer, which it only writes.  Peers are learned from the
 * settings, from the platform's host list and from received messages.
 * Messages to other availability zones are coalesced and compressed.
 * Delivery isn't guaranteed: the decision core repeats important messages.
 */
#ifndef KQ_PEER_PEER_H
#define KQ_PEER_PEER_H

#include <ev.h>

#include "peer/codec.h"

/** Largest number of peers connected at the same time. */
#define KQ_PEER_MAX_PEERS 512

struct kq_peers;

struct kq_peers_settings
{
  struct kq_peer_sender
      self; /**< this host; the socket binds to its address */
  struct kq_name region;
  const char (*bootstrap)[64]; /**< addresses of peers, "ADDR:PORT" each */
  size_t bootstrap_count;
};

/** Callbacks for received messages, called from the event loop. */
struct kq_peers_handler
{
  void *arg;
  void (*message) (void *arg, const struct kq_peer_message *message);
  /** Called with a peer's host list while this host has received none from
   *  the platform.  */
  void (*hosts) (void *arg, const struct kq_host_entry *entries, size_t count);
};

/** Binds the socket and connects to the bootstrap peers.
 *  @return NULL with *ERR set: KQ_EIO when the socket can't be bound, or
 *  KQ_ENOMEM.  */
struct kq_peers *kq_peers_create (struct ev_loop *loop, void *zmq_context,
                                  const struct kq_peers_settings *settings,
                                  const struct kq_peers_handler *handler,
                                  int *err);

/** Sends the messages in the outboxes, closes the sockets and frees PEERS. */
void kq_peers_destroy (struct kq_peers *peers);

/** Applies the platform's host list: connects to new entry hosts, removes
 *  peers that are neither listed nor active, and stores the list for peers
 *  that request it.  */
void kq_peers_apply_host_list (struct kq_peers *peers,
                               const struct kq_host_entry *entries,
                               size_t count);

/** Connects to the entry hosts in a host list that a peer has sent.  Peers
 *  that aren't in it are kept and the list isn't stored.  */
void kq_peers_connect_hosts (struct kq_peers *peers,
                             const struct kq_host_entry *entries,
                             size_t count);

/** Sends MESSAGE to the host TO, or to all peers when TO is empty.
 *  @return 0, KQ_EPEER_UNKNOWN or KQ_ENOMEM.  */
int kq_peers_send (struct kq_peers *peers, const struct kq_name *to,
                   const struct kq_peer_message *message);

/** Checks the sender of a received batch.
 *  @return 0; KQ_EPEER_VIEW when a later incarnation of the host is known;
 *  KQ_EPEER_UNKNOWN when the host is this host or isn't a member.  Members are
 *  the entry hosts in the host list and the bootstrap peers; while the list is
 *  missing or stale, every host is one.  */
int kq_peers_check_sender (struct kq_peers *peers,
                           const struct kq_peer_sender *sender);

/** Registers the counters of this module.  Call once, before any thread is
 *  started.  */
void kq_peers_register_metrics (void);

#endif

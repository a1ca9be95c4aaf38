/** @file
 * State that the parts of peer/ share.
 */
#ifndef KQ_PEER_INTERNAL_H
#define KQ_PEER_INTERNAL_H

#include "peer/peer.h"

/** Messages that wait for one peer at most. */
#define KQ_PEER_OUTBOX 128

/** How far away a peer is. */
enum kq_peer_scope
{
  KQ_PEER_IN_ZONE,
  KQ_PEER_IN_REGION, /**< in another availability zone of the region */
  KQ_PEER_REMOTE,    /**< in another region, or not known */
  KQ_PEER_SCOPES
};

/** A message that waits in the outboxes of several peers. */
struct kq_peer_shared
{
  Kq__Peer__Message *wire;
  int references;
};

struct kq_peer
{
  char address[64];
  struct kq_name host;  /**< empty until it is known */
  uint64_t incarnation; /**< the latest one heard of */
  enum kq_peer_scope scope;
  bool bootstrap; /**< named in the settings */
  bool listed;    /**< in the last host list */
  kq_usec heard_at;
  void *socket; /**< DEALER */
  struct kq_peer_shared *outbox[KQ_PEER_OUTBOX];
  size_t outbox_count;
  struct kq_peer *next;
};

struct kq_peers
{
  struct ev_loop *loop;
  void *zmq_context;
  struct kq_peer_sender self;
  struct kq_name region;
  struct kq_peers_handler handler;
  void *router;
  ev_io io;
  ev_timer flush_timer;
  kq_usec listed_at; /**< when the host list was last read; 0: never */
  struct kq_host_entry *hosts; /**< that list */
  size_t host_count;
  kq_usec asked_at;  /**< when a peer was last asked for its host list */
  size_t next_asked; /**< number of the peer that is asked next */
  struct kq_peer *list;
  size_t count;
};

/** Returns the peer at ADDRESS, connected to if it is new; NULL when there
 *  is no room or the address is malformed.  */
struct kq_peer *kq_peer_at (struct kq_peers *peers, const char *address);

/** Returns the peer called HOST, NULL when there is none. */
struct kq_peer *kq_peer_named (struct kq_peers *peers,
                               const struct kq_name *host);

/** Closes PEER's socket and forgets it. */
void kq_peer_remove (struct kq_peers *peers, struct kq_peer *peer);

/** Learns from a sender that kq_peers_check() has let pass. */
void kq_peer_learn (struct kq_peers *peers,
                    const struct kq_peer_sender *sender);

/** Sends PEER's outbox as one frame. */
void kq_peer_flush (struct kq_peers *peers, struct kq_peer *peer);

/** Drops PEER's outbox. */
void kq_peer_drop (struct kq_peer *peer);

#endif

/** @file
 * State that the source files of peer/ share.
 */
#ifndef KQ_PEER_INTERNAL_H
#define KQ_PEER_INTERNAL_H

#include "peer/peer.h"

/** Largest number of messages in the outbox of one peer. */
#define KQ_PEER_OUTBOX_MAX 128

/** Network distance of a peer from this host. */
enum kq_peer_distance
{
  KQ_PEER_IN_ZONE,
  KQ_PEER_IN_REGION, /**< in another availability zone of the region */
  KQ_PEER_REMOTE,    /**< in another region, or unknown */
  KQ_PEER_DISTANCE_COUNT
};

/** A message that the outboxes of several peers share. */
struct kq_peer_shared_message
{
  Kq__Peer__Message *wire;
  int reference_count;
};

struct kq_peer
{
  char address[64];
  struct kq_name host;  /**< empty until known */
  uint64_t incarnation; /**< latest incarnation received; 0: none */
  enum kq_peer_distance distance;
  bool bootstrap;           /**< its address is in the settings */
  bool in_host_list;        /**< in the latest host list */
  kq_usec last_received_at; /**< when a batch was last received; initially when
                               the peer was added */
  void *socket;             /**< DEALER */
  struct kq_peer_shared_message *outbox[KQ_PEER_OUTBOX_MAX];
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
  kq_usec host_list_received_at; /**< when the host list was last received; 0:
                                    never */
  struct kq_host_entry *hosts;   /**< latest host list */
  size_t host_count;
  kq_usec host_list_requested_at; /**< when a host list was last requested of a
                                     peer */
  size_t next_requested_peer;     /**< index of the peer, modulo count, for the
                                     next request */
  struct kq_peer *list;
  size_t count;
};

/** Returns the peer at ADDRESS and connects to it if it is new.
 *  @return NULL when there are KQ_PEER_MAX_PEERS peers, when the address is
 *  malformed or when out of memory.  */
struct kq_peer *kq_peer_find_or_connect (struct kq_peers *peers,
                                         const char *address);

/** Returns the peer with the host name HOST, NULL when there is none. */
struct kq_peer *kq_peer_find (struct kq_peers *peers,
                              const struct kq_name *host);

/** Closes PEER's socket, removes it from PEERS and frees it. */
void kq_peer_remove (struct kq_peers *peers, struct kq_peer *peer);

/** Stores address, incarnation and zone of a sender that
 *  kq_peers_check_sender() has accepted.  */
void kq_peer_update (struct kq_peers *peers,
                     const struct kq_peer_sender *sender);

/** Sends PEER's outbox as one frame and clears it, also on failure. */
void kq_peer_flush (struct kq_peers *peers, struct kq_peer *peer);

/** Discards the messages in PEER's outbox. */
void kq_peer_clear_outbox (struct kq_peer *peer);

#endif

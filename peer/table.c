#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <utlist.h>
#include <zmq.h>

#include "base/address.h"
#include "base/err.h"
#include "log/log.h"
#include "peer/peer-internal.h"

/* Largest number of messages queued in a socket. */
#define SEND_QUEUE_MAX 1000

/* Options of the sockets.  The heartbeats are ZeroMQ's, which detect dead
   connections; they aren't messages of kind KQ_PEER_HEARTBEAT.  */
#define LINGER_MS 200
#define HEARTBEAT_INTERVAL_MS 500
#define HEARTBEAT_TIMEOUT_MS 1500
#define CONNECT_TIMEOUT_MS 1000
#define RECONNECT_MIN_MS 100
#define RECONNECT_MAX_MS 400

/* A host list older than this is stale. */
#define HOST_LIST_MAX_AGE_US (10 * KQ_USEC_PER_SEC)

/* The address and incarnation that a host has sent are valid for this time
   after its last message.  10 s is longer than messages of an earlier
   incarnation can be in transit, and short enough that a host whose
   incarnation decreased because its clock was set back isn't locked out for
   long.  */
#define INCARNATION_VALID_TIME_US (10 * KQ_USEC_PER_SEC)

/* A peer that isn't in the host list is removed when it has sent nothing for
   this time.  */
#define INACTIVE_PEER_TIMEOUT_US (60 * KQ_USEC_PER_SEC)

static void
set_socket_option (void *socket, int option, int value)
{
  zmq_setsockopt (socket, option, &value, sizeof value);
}

static void *
open_socket (void *zmq_context, const char *address)
{
  void *socket = zmq_socket (zmq_context, ZMQ_DEALER);
  char endpoint[80];

  if (socket == NULL)
    return NULL;
  set_socket_option (socket, ZMQ_SNDHWM, SEND_QUEUE_MAX);
  set_socket_option (socket, ZMQ_LINGER, LINGER_MS);
  set_socket_option (socket, ZMQ_HEARTBEAT_IVL, HEARTBEAT_INTERVAL_MS);
  set_socket_option (socket, ZMQ_HEARTBEAT_TIMEOUT, HEARTBEAT_TIMEOUT_MS);
  set_socket_option (socket, ZMQ_CONNECT_TIMEOUT, CONNECT_TIMEOUT_MS);
  set_socket_option (socket, ZMQ_RECONNECT_IVL, RECONNECT_MIN_MS);
  set_socket_option (socket, ZMQ_RECONNECT_IVL_MAX, RECONNECT_MAX_MS);
  /* Queue nothing for a peer that isn't connected: the messages would be
     outdated when it reconnects.  */
  set_socket_option (socket, ZMQ_IMMEDIATE, 1);
  snprintf (endpoint, sizeof endpoint, "tcp://%s", address);
  if (zmq_connect (socket, endpoint) != 0)
    {
      zmq_close (socket);
      return NULL;
    }
  return socket;
}

struct kq_peer *
kq_peer_find_or_connect (struct kq_peers *peers, const char *address)
{
  struct kq_peer *peer;

  LL_FOREACH (peers->list, peer)
  {
    if (strcmp (peer->address, address) == 0)
      return peer;
  }
  if (peers->count >= KQ_PEER_MAX_PEERS)
    return NULL;
  peer = calloc (1, sizeof *peer);
  if (peer == NULL)
    return NULL;
  peer->socket = open_socket (peers->zmq_context, address);
  if (peer->socket == NULL)
    {
      free (peer);
      return NULL;
    }
  snprintf (peer->address, sizeof peer->address, "%s", address);
  peer->distance = KQ_PEER_REMOTE;
  peer->last_received_at = kq_clock_now ();
  LL_PREPEND (peers->list, peer);
  peers->count++;
  return peer;
}

struct kq_peer *
kq_peer_find (struct kq_peers *peers, const struct kq_name *host)
{
  struct kq_peer *peer;

  LL_FOREACH (peers->list, peer)
  {
    if (kq_name_eq (&peer->host, host))
      return peer;
  }
  return NULL;
}

void
kq_peer_remove (struct kq_peers *peers, struct kq_peer *peer)
{
  LL_DELETE (peers->list, peer);
  peers->count--;
  kq_peer_clear_outbox (peer);
  zmq_close (peer->socket);
  free (peer);
}

static bool
is_bootstrap (const struct kq_peers *peers, const char *address)
{
  const struct kq_peer *peer;

  LL_FOREACH (peers->list, peer)
  {
    if (peer->bootstrap && strcmp (peer->address, address) == 0)
      return true;
  }
  return false;
}

int
kq_peers_check_sender (struct kq_peers *peers,
                       const struct kq_peer_sender *sender)
{
  const struct kq_peer *peer = kq_peer_find (peers, &sender->host);
  kq_usec now = kq_clock_now ();

  if (kq_name_eq (&sender->host, &peers->self.host))
    return KQ_EPEER_UNKNOWN;
  if (peer != NULL && sender->incarnation < peer->incarnation
      && now - peer->last_received_at < INCARNATION_VALID_TIME_US)
    return KQ_EPEER_VIEW;
  /* A list that is missing or stale doesn't contain newly started hosts, so
     any host is accepted.  */
  if (peers->host_list_received_at == 0
      || now - peers->host_list_received_at > HOST_LIST_MAX_AGE_US)
    return 0;
  if (peer != NULL && (peer->in_host_list || peer->bootstrap))
    return 0;
  return is_bootstrap (peers, sender->address) ? 0 : KQ_EPEER_UNKNOWN;
}

/* Returns whether another host can connect to ADDRESS. */
static bool
is_connectable (const char *text)
{
  struct sockaddr_storage address;

  return kq_address_parse (text, &address) && !kq_address_is_any (&address);
}

/* Returns the peer HOST at ADDRESS.  A peer with that name at another address
   is replaced.  */
static struct kq_peer *
find_or_replace_peer (struct kq_peers *peers, const struct kq_name *host,
                      const char *address)
{
  struct kq_peer *old = kq_peer_find (peers, host);
  struct kq_peer *peer;
  bool in_host_list = old != NULL && old->in_host_list;

  if (old != NULL && strcmp (old->address, address) == 0)
    return old;
  if (old != NULL && old->bootstrap)
    memset (&old->host, 0, sizeof old->host);
  else if (old != NULL)
    kq_peer_remove (peers, old);
  peer = kq_peer_find_or_connect (peers, address);
  if (peer == NULL)
    return NULL;
  peer->host = *host;
  peer->incarnation = 0;
  peer->in_host_list = in_host_list;
  return peer;
}

void
kq_peer_update (struct kq_peers *peers, const struct kq_peer_sender *sender)
{
  struct kq_peer *peer = kq_peer_find (peers, &sender->host);

  if (is_connectable (sender->address))
    peer = find_or_replace_peer (peers, &sender->host, sender->address);
  if (peer == NULL)
    return;
  peer->incarnation = sender->incarnation;
  peer->last_received_at = kq_clock_now ();
  if (kq_name_eq (&sender->zone, &peers->self.zone))
    peer->distance = KQ_PEER_IN_ZONE;
}

static void
apply_host_entry (struct kq_peers *peers, const struct kq_host_entry *entry,
                  kq_usec now)
{
  struct kq_peer *peer = kq_peer_find (peers, &entry->name);

  if (entry->worker || !is_connectable (entry->address)
      || kq_name_eq (&entry->name, &peers->self.host))
    return;
  /* The list may be outdated: an address that the host itself has sent within
     INCARNATION_VALID_TIME_US takes precedence.  */
  if (peer == NULL || peer->incarnation == 0
      || now - peer->last_received_at > INCARNATION_VALID_TIME_US)
    peer = find_or_replace_peer (peers, &entry->name, entry->address);
  if (peer == NULL)
    return;
  peer->in_host_list = true;
  peer->distance = KQ_PEER_REMOTE;
  if (kq_name_eq (&entry->region, &peers->region))
    peer->distance = KQ_PEER_IN_REGION;
  if (kq_name_eq (&entry->zone, &peers->self.zone))
    peer->distance = KQ_PEER_IN_ZONE;
}

void
kq_peers_connect_hosts (struct kq_peers *peers,
                        const struct kq_host_entry *entries, size_t count)
{
  for (size_t i = 0; i < count; i++)
    apply_host_entry (peers, &entries[i], kq_clock_now ());
}

/* Stores the list for peers that start while the platform is unreachable. */
static void
store_host_list (struct kq_peers *peers, const struct kq_host_entry *entries,
                 size_t count)
{
  struct kq_host_entry *copy
      = realloc (peers->hosts, (count + 1) * sizeof *copy);

  if (copy == NULL)
    return;
  memcpy (copy, entries, count * sizeof *copy);
  peers->hosts = copy;
  peers->host_count = count;
}

void
kq_peers_apply_host_list (struct kq_peers *peers,
                          const struct kq_host_entry *entries, size_t count)
{
  kq_usec now = kq_clock_now ();
  struct kq_peer *peer;
  struct kq_peer *next;

  peers->host_list_received_at = now;
  store_host_list (peers, entries, count);
  LL_FOREACH (peers->list, peer) { peer->in_host_list = false; }
  kq_peers_connect_hosts (peers, entries, count);
  LL_FOREACH_SAFE (peers->list, peer, next)
  {
    if (!peer->in_host_list && !peer->bootstrap
        && now - peer->last_received_at > INACTIVE_PEER_TIMEOUT_US)
      kq_peer_remove (peers, peer);
  }
}

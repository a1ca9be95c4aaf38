#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <utlist.h>
#include <zmq.h>

#include "base/address.h"
#include "base/err.h"
#include "log/log.h"
#include "peer/peer-internal.h"

/* Messages that wait in a socket. */
#define SEND_QUEUE 1000

/* All in milliseconds. */
#define LINGER_MS 200
#define HEARTBEAT_EVERY_MS 500
#define HEARTBEAT_TIMEOUT_MS 1500
#define CONNECT_TIMEOUT_MS 1000
#define RECONNECT_MIN_MS 100
#define RECONNECT_MAX_MS 400

/* The host list is taken for stale when it is older than this. */
#define LIST_STALE (10 * KQ_USEC_PER_SEC)

/* What a host said of itself holds this long: longer than any of its earlier
   incarnation's messages can be on their way, shorter than a clock that was
   set back would lock it out. */
#define VIEW_KEPT (10 * KQ_USEC_PER_SEC)

/* A peer that is in no list and hasn't spoken for this long is forgotten. */
#define SILENT_LONG (60 * KQ_USEC_PER_SEC)

static void
set_int (void *socket, int option, int value)
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
  set_int (socket, ZMQ_SNDHWM, SEND_QUEUE);
  set_int (socket, ZMQ_LINGER, LINGER_MS);
  set_int (socket, ZMQ_HEARTBEAT_IVL, HEARTBEAT_EVERY_MS);
  set_int (socket, ZMQ_HEARTBEAT_TIMEOUT, HEARTBEAT_TIMEOUT_MS);
  set_int (socket, ZMQ_CONNECT_TIMEOUT, CONNECT_TIMEOUT_MS);
  set_int (socket, ZMQ_RECONNECT_IVL, RECONNECT_MIN_MS);
  set_int (socket, ZMQ_RECONNECT_IVL_MAX, RECONNECT_MAX_MS);
  /* Nothing old is kept for a peer that is away. */
  set_int (socket, ZMQ_IMMEDIATE, 1);
  snprintf (endpoint, sizeof endpoint, "tcp://%s", address);
  if (zmq_connect (socket, endpoint) != 0)
    {
      zmq_close (socket);
      return NULL;
    }
  return socket;
}

struct kq_peer *
kq_peer_at (struct kq_peers *peers, const char *address)
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
  peer->scope = KQ_PEER_REMOTE;
  peer->heard_at = kq_clock_now ();
  LL_PREPEND (peers->list, peer);
  peers->count++;
  return peer;
}

struct kq_peer *
kq_peer_named (struct kq_peers *peers, const struct kq_name *host)
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
  kq_peer_drop (peer);
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
kq_peers_check (struct kq_peers *peers, const struct kq_peer_sender *sender)
{
  const struct kq_peer *peer = kq_peer_named (peers, &sender->host);
  kq_usec now = kq_clock_now ();

  if (kq_name_eq (&sender->host, &peers->self.host))
    return KQ_EPEER_UNKNOWN;
  if (peer != NULL && sender->incarnation < peer->incarnation
      && now - peer->heard_at < VIEW_KEPT)
    return KQ_EPEER_VIEW;
  /* While the list is away, hosts that start can't be in it. */
  if (peers->listed_at == 0 || now - peers->listed_at > LIST_STALE)
    return 0;
  if (peer != NULL && (peer->listed || peer->bootstrap))
    return 0;
  return is_bootstrap (peers, sender->address) ? 0 : KQ_EPEER_UNKNOWN;
}

/* Returns whether another host can connect to ADDRESS. */
static bool
is_usable (const char *text)
{
  struct sockaddr_storage address;

  return kq_address_read (text, &address) && !kq_address_is_any (&address);
}

/* Returns the peer HOST at ADDRESS, which takes the place of a peer of that
   name at another address.  */
static struct kq_peer *
place_peer (struct kq_peers *peers, const struct kq_name *host,
            const char *address)
{
  struct kq_peer *old = kq_peer_named (peers, host);
  struct kq_peer *peer;
  bool listed = old != NULL && old->listed;

  if (old != NULL && strcmp (old->address, address) == 0)
    return old;
  if (old != NULL && old->bootstrap)
    memset (&old->host, 0, sizeof old->host);
  else if (old != NULL)
    kq_peer_remove (peers, old);
  peer = kq_peer_at (peers, address);
  if (peer == NULL)
    return NULL;
  peer->host = *host;
  peer->incarnation = 0;
  peer->listed = listed;
  return peer;
}

void
kq_peer_learn (struct kq_peers *peers, const struct kq_peer_sender *sender)
{
  struct kq_peer *peer = kq_peer_named (peers, &sender->host);

  if (is_usable (sender->address))
    peer = place_peer (peers, &sender->host, sender->address);
  if (peer == NULL)
    return;
  peer->incarnation = sender->incarnation;
  peer->heard_at = kq_clock_now ();
  if (kq_name_eq (&sender->zone, &peers->self.zone))
    peer->scope = KQ_PEER_IN_ZONE;
}

static void
list_host (struct kq_peers *peers, const struct kq_host_entry *entry,
           kq_usec now)
{
  struct kq_peer *peer = kq_peer_named (peers, &entry->name);

  if (entry->worker || !is_usable (entry->address)
      || kq_name_eq (&entry->name, &peers->self.host))
    return;
  /* The list lags: a host's own word on its address goes before it. */
  if (peer == NULL || peer->incarnation == 0
      || now - peer->heard_at > VIEW_KEPT)
    peer = place_peer (peers, &entry->name, entry->address);
  if (peer == NULL)
    return;
  peer->listed = true;
  peer->scope = KQ_PEER_REMOTE;
  if (kq_name_eq (&entry->region, &peers->region))
    peer->scope = KQ_PEER_IN_REGION;
  if (kq_name_eq (&entry->zone, &peers->self.zone))
    peer->scope = KQ_PEER_IN_ZONE;
}

void
kq_peers_learn_hosts (struct kq_peers *peers,
                      const struct kq_host_entry *entries, size_t count)
{
  for (size_t i = 0; i < count; i++)
    list_host (peers, &entries[i], kq_clock_now ());
}

/* Keeps the list for peers that start while the platform is away. */
static void
keep_hosts (struct kq_peers *peers, const struct kq_host_entry *entries,
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
kq_peers_take_hosts (struct kq_peers *peers,
                     const struct kq_host_entry *entries, size_t count)
{
  kq_usec now = kq_clock_now ();
  struct kq_peer *peer;
  struct kq_peer *next;

  peers->listed_at = now;
  keep_hosts (peers, entries, count);
  LL_FOREACH (peers->list, peer) { peer->listed = false; }
  kq_peers_learn_hosts (peers, entries, count);
  LL_FOREACH_SAFE (peers->list, peer, next)
  {
    if (!peer->listed && !peer->bootstrap
        && now - peer->heard_at > SILENT_LONG)
      kq_peer_remove (peers, peer);
  }
}

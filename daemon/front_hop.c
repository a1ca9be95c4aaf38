#include <stdlib.h>
#include <string.h>
#include <zmq.h>

#include "base/address.h"
#include "base/err.h"
#include "daemon/front_impl.h"
#include "log/log.h"

/** Interval of heartbeats on a connection. */
#define HEARTBEAT_INTERVAL_MS 1000
/** Time without a heartbeat after which a connection is closed. */
#define HEARTBEAT_TIMEOUT_MS 3000
#define RECONNECT_INTERVAL_MS 100
#define MAX_RECONNECT_INTERVAL_MS 2000
/** Maximum size of a message in addition to its body, mostly headers. */
#define MAX_MESSAGE_OVERHEAD_BYTES ((int64_t)128 * 1024)
/** Maximum number of messages read from one socket before the others are
 *  served.  */
#define MAX_RECEIVE_BATCH 256

int
kq_front_hop_send_frame (void *socket, const struct kq_front_origin *origin,
                         zmq_msg_t *frame)
{
  if (origin != NULL
      && zmq_send (socket, origin->routing_id, origin->routing_id_size,
                   ZMQ_SNDMORE | ZMQ_DONTWAIT)
             < 0)
    return KQ_ECLOSED;
  return zmq_msg_send (frame, socket, ZMQ_DONTWAIT) < 0 ? KQ_ECLOSED : 0;
}

static bool
has_more_frames (void *socket)
{
  int more = 0;
  size_t size = sizeof more;

  zmq_getsockopt (socket, ZMQ_RCVMORE, &more, &size);
  return more != 0;
}

/* Receives one message from a ROUTER socket (FROM_ROUTER) or a DEALER socket.
   A message with more frames than expected is counted as malformed and
   dropped.  Returns false when there is none.  */
static bool
receive_message (struct kq_front *front, void *socket, bool from_router)
{
  struct kq_front_origin origin = { .routing_id_size = 0 };
  zmq_msg_t frame;
  bool complete = !from_router;
  int length;

  if (from_router)
    {
      length = zmq_recv (socket, origin.routing_id, sizeof origin.routing_id,
                         ZMQ_DONTWAIT);
      if (length < 0)
        return false;
      origin.routing_id_size = (size_t)length;
      complete = has_more_frames (socket);
    }
  zmq_msg_init (&frame);
  if ((!from_router || complete)
      && zmq_msg_recv (&frame, socket, ZMQ_DONTWAIT) < 0)
    {
      zmq_msg_close (&frame);
      return false;
    }
  if (complete && !has_more_frames (socket))
    kq_front_message_handle (front, from_router ? &origin : NULL,
                             zmq_msg_data (&frame), zmq_msg_size (&frame));
  else
    kq_front_count_bad_message ();
  while (has_more_frames (socket)
         && zmq_msg_recv (&frame, socket, ZMQ_DONTWAIT) >= 0)
    continue;
  zmq_msg_close (&frame);
  return true;
}

/* The socket's descriptor is edge-triggered, so the socket is read until it is
   empty; after a full batch, the rest is read in the next round of pending
   work.  */
static void
receive_messages (struct kq_front *front, void *socket, bool from_router)
{
  for (int i = 0; i < MAX_RECEIVE_BATCH; i++)
    if (!receive_message (front, socket, from_router))
      return;
  front->hop_pending = true;
}

void
kq_front_hop_run (struct kq_front *front)
{
  front->hop_pending = false;
  receive_messages (front, front->router_socket, true);
  for (struct kq_front_peer *peer = front->peers; peer != NULL;
       peer = peer->hh.next)
    receive_messages (front, peer->socket, false);
}

static void
on_router_io (struct ev_loop *loop, ev_io *watcher, int events)
{
  struct kq_front *front = watcher->data;

  receive_messages (front, front->router_socket, true);
}

static void
on_peer_io (struct ev_loop *loop, ev_io *watcher, int events)
{
  struct kq_front_peer *peer = watcher->data;

  receive_messages (peer->front, peer->socket, false);
}

static void
set_socket_options (void *socket)
{
  const struct
  {
    int option;
    int value;
  } options[] = {
    { ZMQ_LINGER, 0 },
    { ZMQ_HEARTBEAT_IVL, HEARTBEAT_INTERVAL_MS },
    { ZMQ_HEARTBEAT_TIMEOUT, HEARTBEAT_TIMEOUT_MS },
    { ZMQ_HEARTBEAT_TTL, HEARTBEAT_TIMEOUT_MS },
    { ZMQ_RECONNECT_IVL, RECONNECT_INTERVAL_MS },
    { ZMQ_RECONNECT_IVL_MAX, MAX_RECONNECT_INTERVAL_MS },
    /* Messages are not queued without a connection, so a request that
       can't be sent is certainly not run.  */
    { ZMQ_IMMEDIATE, 1 },
  };
  int64_t max = (int64_t)KQ_FRONT_BODY_LIMIT + MAX_MESSAGE_OVERHEAD_BYTES;

  for (size_t i = 0; i < sizeof options / sizeof options[0]; i++)
    zmq_setsockopt (socket, options[i].option, &options[i].value,
                    sizeof options[i].value);
  zmq_setsockopt (socket, ZMQ_MAXMSGSIZE, &max, sizeof max);
}

static int
socket_fd (void *socket)
{
  int fd = -1;
  size_t size = sizeof fd;

  zmq_getsockopt (socket, ZMQ_FD, &fd, &size);
  return fd;
}

void
kq_front_hop_connect (struct kq_front *front, const char *address)
{
  struct kq_front_peer *peer;
  char url[KQ_REQUEST_ADDRESS_SIZE + 8];

  HASH_FIND_STR (front->peers, address, peer);
  if (peer != NULL)
    return;
  peer = calloc (1, sizeof *peer);
  if (peer == NULL)
    return;
  snprintf (url, sizeof url, "tcp://%s", address);
  peer->socket = zmq_socket (front->zmq_context, ZMQ_DEALER);
  if (peer->socket != NULL)
    set_socket_options (peer->socket);
  if (peer->socket == NULL || zmq_connect (peer->socket, url) != 0)
    {
      kq_log (KQ_LOG_WARN, "front", "hop_connect", KQ_EINVAL, "address",
              address, NULL);
      if (peer->socket != NULL)
        zmq_close (peer->socket);
      free (peer);
      return;
    }
  snprintf (peer->address, sizeof peer->address, "%s", address);
  peer->front = front;
  HASH_ADD_STR (front->peers, address, peer);
  ev_io_init (&peer->watcher, on_peer_io, socket_fd (peer->socket), EV_READ);
  peer->watcher.data = peer;
  ev_io_start (front->loop, &peer->watcher);
  front->hop_pending = true;
}

int
kq_front_hop_start (struct kq_front *front)
{
  struct sockaddr_storage address;
  char url[KQ_REQUEST_ADDRESS_SIZE + 8];

  if (!kq_address_parse (front->settings.hop_listen, &address))
    return KQ_EINVAL;
  snprintf (url, sizeof url, "tcp://%s", front->settings.hop_listen);
  front->router_socket = zmq_socket (front->zmq_context, ZMQ_ROUTER);
  if (front->router_socket == NULL)
    return KQ_ENOMEM;
  set_socket_options (front->router_socket);
  return zmq_bind (front->router_socket, url) == 0 ? 0 : KQ_EIO;
}

void
kq_front_hop_attach (struct kq_front *front)
{
  ev_io_init (&front->router_watcher, on_router_io,
              socket_fd (front->router_socket), EV_READ);
  front->router_watcher.data = front;
  ev_io_start (front->loop, &front->router_watcher);
}

void
kq_front_hop_stop (struct kq_front *front)
{
  struct kq_front_peer *peer = front->peers;
  struct kq_front_peer *next;

  HASH_CLEAR (hh, front->peers);
  for (; peer != NULL; peer = next)
    {
      next = peer->hh.next;
      ev_io_stop (front->loop, &peer->watcher);
      zmq_close (peer->socket);
      free (peer);
    }
  if (front->router_socket != NULL)
    zmq_close (front->router_socket);
  front->router_socket = NULL;
}

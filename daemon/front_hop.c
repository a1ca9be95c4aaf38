#include <stdlib.h>
#include <string.h>
#include <zmq.h>

#include "base/address.h"
#include "base/err.h"
#include "daemon/front_impl.h"
#include "log/log.h"

/** Time between heartbeats of a connection, in milliseconds. */
#define HEARTBEAT_MS 1000
/** A connection without a heartbeat for this long is closed. */
#define HEARTBEAT_TIMEOUT_MS 3000
#define RECONNECT_MS 100
#define RECONNECT_MAX_MS 2000
/** Room for headers beside the body of a message, in bytes. */
#define MESSAGE_ROOM ((int64_t)128 * 1024)
/** Messages taken from one socket before others get their turn. */
#define RECEIVE_BATCH 256

int
kq_front_hop_put (void *socket, const struct kq_front_origin *route,
                  zmq_msg_t *frame)
{
  if (route != NULL
      && zmq_send (socket, route->route, route->route_size,
                   ZMQ_SNDMORE | ZMQ_DONTWAIT)
             < 0)
    return KQ_ECLOSED;
  return zmq_msg_send (frame, socket, ZMQ_DONTWAIT) < 0 ? KQ_ECLOSED : 0;
}

static bool
more_frames (void *socket)
{
  int more = 0;
  size_t size = sizeof more;

  zmq_getsockopt (socket, ZMQ_RCVMORE, &more, &size);
  return more != 0;
}

/* Receives one message of a ROUTER (ROUTED) or a DEALER.  Frames beyond
   those expected are dropped with their message.  */
static bool
receive (struct kq_front *front, void *socket, bool routed)
{
  struct kq_front_origin route = { .route_size = 0 };
  zmq_msg_t frame;
  bool complete = !routed;
  int length;

  if (routed)
    {
      length
          = zmq_recv (socket, route.route, sizeof route.route, ZMQ_DONTWAIT);
      if (length < 0)
        return false;
      route.route_size = (size_t)length;
      complete = more_frames (socket);
    }
  zmq_msg_init (&frame);
  if ((!routed || complete) && zmq_msg_recv (&frame, socket, ZMQ_DONTWAIT) < 0)
    {
      zmq_msg_close (&frame);
      return false;
    }
  if (complete && !more_frames (socket))
    kq_front_message_take (front, routed ? &route : NULL,
                           zmq_msg_data (&frame), zmq_msg_size (&frame));
  else
    kq_front_count_bad_message ();
  while (more_frames (socket)
         && zmq_msg_recv (&frame, socket, ZMQ_DONTWAIT) >= 0)
    continue;
  zmq_msg_close (&frame);
  return true;
}

/* The socket's descriptor is edge-triggered: it is read until empty, or
   the rest is left to the next round.  */
static void
receive_all (struct kq_front *front, void *socket, bool routed)
{
  for (int i = 0; i < RECEIVE_BATCH; i++)
    if (!receive (front, socket, routed))
      return;
  front->hop_pending = true;
}

void
kq_front_hop_run (struct kq_front *front)
{
  front->hop_pending = false;
  receive_all (front, front->router_socket, true);
  for (struct kq_front_peer *peer = front->peers; peer != NULL;
       peer = peer->hh.next)
    receive_all (front, peer->socket, false);
}

static void
on_router_io (struct ev_loop *loop, ev_io *watcher, int events)
{
  struct kq_front *front = watcher->data;

  receive_all (front, front->router_socket, true);
}

static void
on_peer_io (struct ev_loop *loop, ev_io *watcher, int events)
{
  struct kq_front_peer *peer = watcher->data;

  receive_all (peer->front, peer->socket, false);
}

static void
set_options (void *socket)
{
  const struct
  {
    int option;
    int value;
  } options[] = {
    { ZMQ_LINGER, 0 },
    { ZMQ_HEARTBEAT_IVL, HEARTBEAT_MS },
    { ZMQ_HEARTBEAT_TIMEOUT, HEARTBEAT_TIMEOUT_MS },
    { ZMQ_HEARTBEAT_TTL, HEARTBEAT_TIMEOUT_MS },
    { ZMQ_RECONNECT_IVL, RECONNECT_MS },
    { ZMQ_RECONNECT_IVL_MAX, RECONNECT_MAX_MS },
    /* Without a connection nothing is queued, so a failure to send is
       certainly not run. */
    { ZMQ_IMMEDIATE, 1 },
  };
  int64_t max = (int64_t)KQ_FRONT_BODY_LIMIT + MESSAGE_ROOM;

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
  peer->socket = zmq_socket (front->zmq, ZMQ_DEALER);
  if (peer->socket != NULL)
    set_options (peer->socket);
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

  if (!kq_address_read (front->settings.hop_listen, &address))
    return KQ_EINVAL;
  snprintf (url, sizeof url, "tcp://%s", front->settings.hop_listen);
  front->router_socket = zmq_socket (front->zmq, ZMQ_ROUTER);
  if (front->router_socket == NULL)
    return KQ_ENOMEM;
  set_options (front->router_socket);
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

#include "node/hop.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <utlist.h>
#include <zmq.h>

#include "base/err.h"
#include "log/log.h"

/* Notices within a second that a connection has gone silent. */
#define HEARTBEAT_MS 300
#define HEARTBEAT_TIMEOUT_MS 900

/* A lost connection is opened again after this. */
#define RECONNECT_MS 50
#define RECONNECT_MAX_MS 400

/* Messages that wait for a connection before further ones are refused. */
#define HIGH_WATER 2000

/* Connections to other hosts that are kept; the oldest is closed. */
#define MAX_LINKS 8

struct link
{
  char address[64];
  void *socket;
  ev_io io;
  struct kq_hop *hop;
  struct link *next;
};

struct kq_hop
{
  struct ev_loop *loop;
  struct kq_hop_handler handler;
  void *context;
  void *server;
  ev_io io;
  ev_prepare prepare;
  struct link *links; /* newest first */
};

static void
set_options (void *socket)
{
  const struct
  {
    int option;
    int value;
  } options[] = { { ZMQ_LINGER, 0 },
                  { ZMQ_HEARTBEAT_IVL, HEARTBEAT_MS },
                  { ZMQ_HEARTBEAT_TIMEOUT, HEARTBEAT_TIMEOUT_MS },
                  { ZMQ_HEARTBEAT_TTL, HEARTBEAT_TIMEOUT_MS },
                  { ZMQ_RECONNECT_IVL, RECONNECT_MS },
                  { ZMQ_RECONNECT_IVL_MAX, RECONNECT_MAX_MS },
                  { ZMQ_CONNECT_TIMEOUT, HEARTBEAT_TIMEOUT_MS },
                  { ZMQ_SNDHWM, HIGH_WATER },
                  { ZMQ_RCVHWM, HIGH_WATER } };

  for (size_t i = 0; i < sizeof options / sizeof options[0]; i++)
    zmq_setsockopt (socket, options[i].option, &options[i].value,
                    sizeof options[i].value);
}

/* Watches SOCKET's descriptor, which only says that something changed. */
static void
watch (struct kq_hop *hop, void *socket, ev_io *io,
       void (*on_ready) (struct ev_loop *, ev_io *, int))
{
  int fd;
  size_t size = sizeof fd;

  zmq_getsockopt (socket, ZMQ_FD, &fd, &size);
  ev_io_init (io, on_ready, fd, EV_READ);
  ev_io_start (hop->loop, io);
}

/* Receives one message of FRAMES frames.  @return whether there was one. */
static bool
receive (void *socket, zmq_msg_t *frames, int count)
{
  int more = 1;
  int got = 0;

  for (; more; got++)
    {
      zmq_msg_t spare;
      zmq_msg_t *frame = got < count ? &frames[got] : &spare;

      zmq_msg_init (frame);
      if (zmq_msg_recv (frame, socket, ZMQ_DONTWAIT) < 0)
        {
          zmq_msg_close (frame);
          for (int i = 0; i < got && i < count; i++)
            zmq_msg_close (&frames[i]);
          return false;
        }
      more = zmq_msg_more (frame);
      if (got >= count)
        zmq_msg_close (frame);
    }
  for (int i = got; i < count; i++)
    zmq_msg_init (&frames[i]);
  return true;
}

static void
take_ask (struct kq_hop *hop, zmq_msg_t frames[2])
{
  struct kq_hop_sender sender = { .size = zmq_msg_size (&frames[0]) };
  KqNode__Ask *ask = kq_node__ask__unpack (NULL, zmq_msg_size (&frames[1]),
                                           zmq_msg_data (&frames[1]));

  if (ask != NULL && sender.size <= sizeof sender.bytes)
    {
      memcpy (sender.bytes, zmq_msg_data (&frames[0]), sender.size);
      hop->handler.on_ask (hop->handler.arg, &sender, ask);
    }
  else
    kq_log (KQ_LOG_WARN, "hop", "ask not understood", KQ_ESYNTAX, NULL);
  if (ask != NULL)
    kq_node__ask__free_unpacked (ask, NULL);
}

static void
drain_server (struct kq_hop *hop)
{
  zmq_msg_t frames[2];

  while (receive (hop->server, frames, 2))
    {
      take_ask (hop, frames);
      zmq_msg_close (&frames[0]);
      zmq_msg_close (&frames[1]);
    }
}

static void
drain_link (struct link *link)
{
  struct kq_hop *hop = link->hop;
  zmq_msg_t frame;

  while (receive (link->socket, &frame, 1))
    {
      KqNode__Tell *tell = kq_node__tell__unpack (NULL, zmq_msg_size (&frame),
                                                  zmq_msg_data (&frame));

      if (tell != NULL)
        {
          hop->handler.on_tell (hop->handler.arg, tell);
          kq_node__tell__free_unpacked (tell, NULL);
        }
      else
        kq_log (KQ_LOG_WARN, "hop", "answer not understood", KQ_ESYNTAX, NULL);
      zmq_msg_close (&frame);
    }
}

/* The descriptors signal changes once; what else came is taken here. */
static void
drain_all (struct kq_hop *hop)
{
  struct link *link;
  struct link *next;

  drain_server (hop);
  LL_FOREACH_SAFE (hop->links, link, next) { drain_link (link); }
}

static void
on_ready (struct ev_loop *loop, ev_io *io, int events)
{
  drain_all (io->data);
}

static void
on_prepare (struct ev_loop *loop, ev_prepare *prepare, int events)
{
  drain_all (prepare->data);
}

struct kq_hop *
kq_hop_create (struct ev_loop *loop, const char *address,
               const struct kq_hop_handler *handler, int *err)
{
  struct kq_hop *hop = calloc (1, sizeof *hop);
  char endpoint[96];

  *err = KQ_ENOMEM;
  if (hop == NULL)
    return NULL;
  hop->loop = loop;
  hop->handler = *handler;
  hop->context = zmq_ctx_new ();
  hop->server = zmq_socket (hop->context, ZMQ_ROUTER);
  snprintf (endpoint, sizeof endpoint, "tcp://%s", address);
  if (hop->server != NULL)
    {
      *err = KQ_EIO;
      set_options (hop->server);
      if (zmq_bind (hop->server, endpoint) == 0)
        *err = 0;
    }
  if (*err != 0)
    {
      if (hop->server != NULL)
        zmq_close (hop->server);
      zmq_ctx_term (hop->context);
      free (hop);
      return NULL;
    }
  hop->io.data = hop;
  watch (hop, hop->server, &hop->io, on_ready);
  ev_prepare_init (&hop->prepare, on_prepare);
  hop->prepare.data = hop;
  ev_prepare_start (loop, &hop->prepare);
  return hop;
}

static void
close_link (struct kq_hop *hop, struct link *link)
{
  ev_io_stop (hop->loop, &link->io);
  zmq_close (link->socket);
  LL_DELETE (hop->links, link);
  free (link);
}

void
kq_hop_destroy (struct kq_hop *hop)
{
  if (hop == NULL)
    return;
  while (hop->links != NULL)
    close_link (hop, hop->links);
  ev_io_stop (hop->loop, &hop->io);
  ev_prepare_stop (hop->loop, &hop->prepare);
  zmq_close (hop->server);
  zmq_ctx_term (hop->context);
  free (hop);
}

static struct link *
open_link (struct kq_hop *hop, const char *address)
{
  struct link *link = calloc (1, sizeof *link);
  char endpoint[96];

  if (link == NULL)
    return NULL;
  snprintf (link->address, sizeof link->address, "%s", address);
  snprintf (endpoint, sizeof endpoint, "tcp://%s", address);
  link->hop = hop;
  link->socket = zmq_socket (hop->context, ZMQ_DEALER);
  if (link->socket == NULL)
    {
      free (link);
      return NULL;
    }
  set_options (link->socket);
  if (zmq_connect (link->socket, endpoint) != 0)
    {
      zmq_close (link->socket);
      free (link);
      return NULL;
    }
  link->io.data = hop;
  watch (hop, link->socket, &link->io, on_ready);
  LL_PREPEND (hop->links, link);
  return link;
}

static struct link *
find_link (struct kq_hop *hop, const char *address)
{
  struct link *link;
  struct link *last = NULL;
  int count = 0;

  LL_FOREACH (hop->links, link)
  {
    if (strcmp (link->address, address) == 0)
      return link;
    last = link;
    count++;
  }
  if (count >= MAX_LINKS)
    close_link (hop, last);
  return open_link (hop, address);
}

int
kq_hop_ask (struct kq_hop *hop, const char *address, const KqNode__Ask *ask)
{
  struct link *link = find_link (hop, address);
  size_t size = kq_node__ask__get_packed_size (ask);
  zmq_msg_t frame;

  if (link == NULL || zmq_msg_init_size (&frame, size) != 0)
    return KQ_EIO;
  kq_node__ask__pack (ask, zmq_msg_data (&frame));
  if (zmq_msg_send (&frame, link->socket, ZMQ_DONTWAIT) < 0)
    {
      zmq_msg_close (&frame);
      return KQ_EIO;
    }
  return 0;
}

void
kq_hop_tell (struct kq_hop *hop, const struct kq_hop_sender *sender,
             const KqNode__Tell *tell)
{
  size_t size = kq_node__tell__get_packed_size (tell);
  uint8_t *bytes = malloc (size + 1);

  if (bytes == NULL)
    return;
  kq_node__tell__pack (tell, bytes);
  /* A front that is gone asks again elsewhere. */
  if (zmq_send (hop->server, sender->bytes, sender->size,
                ZMQ_SNDMORE | ZMQ_DONTWAIT)
          < 0
      || zmq_send (hop->server, bytes, size, ZMQ_DONTWAIT) < 0)
    kq_log (KQ_LOG_WARN, "hop", "answer not sent", KQ_EIO, NULL);
  free (bytes);
}

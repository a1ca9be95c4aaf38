#include "node/hop.h"

#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <utlist.h>
#include <zmq.h>

#include "base/err.h"
#include "log/log.h"

/* With these settings a dead connection is detected within a second. */
#define HEARTBEAT_MS 300
#define HEARTBEAT_TIMEOUT_MS 900

/* Delay before a lost connection is opened again, and its upper limit. */
#define RECONNECT_MS 50
#define RECONNECT_MAX_MS 400

/* Maximum number of messages queued on a connection; further ones are
   refused. */
#define MAX_QUEUED_MESSAGES 2000

/* Default limit in bytes of the requests that are queued on all connections:
   2,000 messages with bodies of 256 KB would be 500 MB on each. */
#define DEFAULT_QUEUED_BYTES ((size_t)32 * 1024 * 1024)

/* Largest message that is accepted.  The largest ones that hosts send have
   configurations, batches of start orders, or the reply of a worker, of up to
   16 MiB, behind a batch of others. */
#define MAX_MESSAGE_BYTES (INT64_C (18) * 1024 * 1024)

/* Maximum number of open connections to other hosts; the oldest one is closed
   for a new one. */
#define MAX_LINKS 96

/* A connection to another host. */
struct link
{
  char address[64];
  void *socket;
  ev_io io;
  struct kq_hop *hop;
  struct link *next;
};

/* Bytes of requests that ZeroMQ holds; its thread frees them. */
struct queue
{
  atomic_size_t bytes;
  size_t max_bytes;
};

struct kq_hop
{
  struct ev_loop *loop;
  struct queue queue;
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
                  { ZMQ_SNDHWM, MAX_QUEUED_MESSAGES },
                  { ZMQ_RCVHWM, MAX_QUEUED_MESSAGES } };

  const int64_t max_message = MAX_MESSAGE_BYTES;

  for (size_t i = 0; i < sizeof options / sizeof options[0]; i++)
    zmq_setsockopt (socket, options[i].option, &options[i].value,
                    sizeof options[i].value);
  zmq_setsockopt (socket, ZMQ_MAXMSGSIZE, &max_message, sizeof max_message);
}

/* Starts IO on the descriptor of SOCKET, which only signals that the state of
   the socket has changed. */
static void
watch_socket (struct kq_hop *hop, void *socket, ev_io *io,
              void (*on_ready) (struct ev_loop *, ev_io *, int))
{
  int fd;
  size_t size = sizeof fd;

  zmq_getsockopt (socket, ZMQ_FD, &fd, &size);
  ev_io_init (io, on_ready, fd, EV_READ);
  ev_io_start (hop->loop, io);
}

/* Receives one message and stores its first COUNT frames in FRAMES; further
   frames are discarded, missing ones are empty. Returns whether there was a
   message. */
static bool
receive (void *socket, zmq_msg_t *frames, int count)
{
  int more = 1;
  int received = 0;

  for (; more; received++)
    {
      zmq_msg_t extra;
      zmq_msg_t *frame = received < count ? &frames[received] : &extra;

      zmq_msg_init (frame);
      if (zmq_msg_recv (frame, socket, ZMQ_DONTWAIT) < 0)
        {
          zmq_msg_close (frame);
          for (int i = 0; i < received && i < count; i++)
            zmq_msg_close (&frames[i]);
          return false;
        }
      more = zmq_msg_more (frame);
      if (received >= count)
        zmq_msg_close (frame);
    }
  for (int i = received; i < count; i++)
    zmq_msg_init (&frames[i]);
  return true;
}

static void
handle_request (struct kq_hop *hop, zmq_msg_t frames[2])
{
  struct kq_hop_sender sender = { .size = zmq_msg_size (&frames[0]) };
  KqNode__Ask *message = kq_node__ask__unpack (NULL, zmq_msg_size (&frames[1]),
                                               zmq_msg_data (&frames[1]));

  if (message != NULL && sender.size <= sizeof sender.bytes
      && message->verb >= KQ_HOP_SUBMIT && message->verb <= KQ_HOP_FEED)
    {
      memcpy (sender.bytes, zmq_msg_data (&frames[0]), sender.size);
      hop->handler.on_request (hop->handler.arg, &sender, message);
    }
  else
    kq_log (KQ_LOG_WARN, "hop", "malformed request ignored", KQ_ESYNTAX, NULL);
  if (message != NULL)
    kq_node__ask__free_unpacked (message, NULL);
}

static void
receive_requests (struct kq_hop *hop)
{
  zmq_msg_t frames[2];

  while (receive (hop->server, frames, 2))
    {
      handle_request (hop, frames);
      zmq_msg_close (&frames[0]);
      zmq_msg_close (&frames[1]);
    }
}

static void
receive_replies (struct link *link)
{
  struct kq_hop *hop = link->hop;
  zmq_msg_t frame;

  while (receive (link->socket, &frame, 1))
    {
      KqNode__Tell *message = kq_node__tell__unpack (
          NULL, zmq_msg_size (&frame), zmq_msg_data (&frame));

      if (message != NULL)
        {
          hop->handler.on_reply (hop->handler.arg, link->address, message);
          kq_node__tell__free_unpacked (message, NULL);
        }
      else
        kq_log (KQ_LOG_WARN, "hop", "malformed reply ignored", KQ_ESYNTAX,
                NULL);
      zmq_msg_close (&frame);
    }
}

/* The descriptors signal each change only once, so this receives the messages
   of all sockets. */
void
kq_hop_receive (struct kq_hop *hop)
{
  struct link *link;
  struct link *next;

  receive_requests (hop);
  LL_FOREACH_SAFE (hop->links, link, next) { receive_replies (link); }
}

static void
on_ready (struct ev_loop *loop, ev_io *io, int events)
{
  kq_hop_receive (io->data);
}

static void
on_prepare (struct ev_loop *loop, ev_prepare *prepare, int events)
{
  kq_hop_receive (prepare->data);
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
  hop->queue.max_bytes = DEFAULT_QUEUED_BYTES;
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
  watch_socket (hop, hop->server, &hop->io, on_ready);
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
  watch_socket (hop, link->socket, &link->io, on_ready);
  LL_PREPEND (hop->links, link);
  return link;
}

static struct link *
get_link (struct kq_hop *hop, const char *address)
{
  struct link *link;
  struct link *oldest = NULL;
  int count = 0;

  LL_FOREACH (hop->links, link)
  {
    if (strcmp (link->address, address) == 0)
      return link;
    oldest = link;
    count++;
  }
  if (count >= MAX_LINKS)
    close_link (hop, oldest);
  return open_link (hop, address);
}

void
kq_hop_limit_queue (struct kq_hop *hop, size_t bytes)
{
  hop->queue.max_bytes = bytes;
}

/* A packed request, with the queue that it counts in. */
struct packed
{
  struct queue *queue;
  size_t size;
  uint8_t bytes[];
};

static void
free_packed (void *bytes, void *hint)
{
  struct packed *packed = hint;

  atomic_fetch_sub (&packed->queue->bytes, packed->size);
  free (packed);
}

/* Packs MESSAGE into FRAME, which counts in the queue of HOP until ZeroMQ has
   sent it; returns false if there is no room. */
static bool
pack_request (struct kq_hop *hop, const KqNode__Ask *message, zmq_msg_t *frame)
{
  size_t size = kq_node__ask__get_packed_size (message);
  struct packed *packed;

  if (atomic_load (&hop->queue.bytes) + size > hop->queue.max_bytes)
    return false;
  packed = malloc (sizeof *packed + size);
  if (packed == NULL)
    return false;
  packed->queue = &hop->queue;
  packed->size = size;
  kq_node__ask__pack (message, packed->bytes);
  atomic_fetch_add (&hop->queue.bytes, size);
  if (zmq_msg_init_data (frame, packed->bytes, size, free_packed, packed) == 0)
    return true;
  free_packed (packed->bytes, packed);
  return false;
}

int
kq_hop_send_request (struct kq_hop *hop, const char *address,
                     const KqNode__Ask *message)
{
  struct link *link = get_link (hop, address);
  zmq_msg_t frame;

  if (link == NULL || !pack_request (hop, message, &frame))
    return KQ_EIO;
  if (zmq_msg_send (&frame, link->socket, ZMQ_DONTWAIT) < 0)
    {
      zmq_msg_close (&frame);
      return KQ_EIO;
    }
  return 0;
}

void
kq_hop_send_reply (struct kq_hop *hop, const struct kq_hop_sender *sender,
                   const KqNode__Tell *message)
{
  size_t size = kq_node__tell__get_packed_size (message);
  uint8_t *bytes = malloc (size + 1);

  if (bytes == NULL)
    return;
  kq_node__tell__pack (message, bytes);
  /* A lost reply is harmless: a front whose connection is gone sends its
     request again, possibly to another host. */
  if (zmq_send (hop->server, sender->bytes, sender->size,
                ZMQ_SNDMORE | ZMQ_DONTWAIT)
          < 0
      || zmq_send (hop->server, bytes, size, ZMQ_DONTWAIT) < 0)
    kq_log (KQ_LOG_WARN, "hop", "reply could not be sent", KQ_EIO, NULL);
  free (bytes);
}

#include "peer/peer.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <utlist.h>
#include <zmq.h>

#include "base/err.h"
#include "log/log.h"
#include "metrics/metrics.h"
#include "peer/peer-internal.h"
#include "platform/codec.h"

/* What goes to other availability zones waits this long for more. */
#define COALESCE_SEC 0.02

/* A host without a host list asks this often for one. */
#define ASK_EVERY KQ_USEC_PER_SEC

#define RECEIVE_QUEUE 10000

/* Messages that are read before other sockets have their turn. */
#define RECEIVE_BURST 256

#define HEARTBEAT_EVERY_MS 500
#define HEARTBEAT_TIMEOUT_MS 1500

#define KINDS (KQ_PEER_GOODBYE + 1)

static struct kq_metric sent_bytes[KINDS] = {
  { .name = "kq_peer_heartbeat_bytes_total",
    .help = "Bytes of heartbeats before compression." },
  { .name = "kq_peer_record_bytes_total",
    .help = "Bytes of records sent to peers before compression." },
  { .name = "kq_peer_goodbye_bytes_total",
    .help = "Bytes of goodbyes before compression." },
};

static struct kq_metric wire_bytes[KQ_PEER_SCOPES] = {
  { .name = "kq_peer_zone_wire_bytes_total",
    .help = "Bytes of frames to peers in this availability zone." },
  { .name = "kq_peer_region_wire_bytes_total",
    .help = "Bytes of frames to other availability zones of the region." },
  { .name = "kq_peer_remote_wire_bytes_total",
    .help = "Bytes of frames to other regions." },
};

static struct kq_metric raw_bytes
    = { .name = "kq_peer_raw_bytes_total",
        .help = "Bytes of batches before compression." };
static struct kq_metric frames_sent
    = { .name = "kq_peer_frames_sent_total", .help = "Frames sent." };
static struct kq_metric frames_dropped
    = { .name = "kq_peer_frames_dropped_total",
        .help = "Frames for peers that were not connected." };
static struct kq_metric received_bytes
    = { .name = "kq_peer_received_bytes_total",
        .help = "Bytes of frames received." };
static struct kq_metric hosts_bytes
    = { .name = "kq_peer_hosts_bytes_total",
        .help = "Bytes of host lists before compression." };
static struct kq_metric refused
    = { .name = "kq_peer_refused_total",
        .help = "Frames received that were malformed or of no member." };

void
kq_peers_register_metrics (void)
{
  for (int i = 0; i < KINDS; i++)
    kq_metric_register (&sent_bytes[i]);
  for (int i = 0; i < KQ_PEER_SCOPES; i++)
    kq_metric_register (&wire_bytes[i]);
  kq_metric_register (&raw_bytes);
  kq_metric_register (&frames_sent);
  kq_metric_register (&frames_dropped);
  kq_metric_register (&received_bytes);
  kq_metric_register (&hosts_bytes);
  kq_metric_register (&refused);
}

static void
release (struct kq_peer_shared *shared)
{
  if (--shared->references > 0)
    return;
  kq__peer__message__free_unpacked (shared->wire, NULL);
  free (shared);
}

void
kq_peer_drop (struct kq_peer *peer)
{
  for (size_t i = 0; i < peer->outbox_count; i++)
    release (peer->outbox[i]);
  peer->outbox_count = 0;
}

static int
send_frame (struct kq_peer *peer, const uint8_t *frame, size_t size)
{
  if (zmq_send (peer->socket, frame, size, ZMQ_DONTWAIT) < 0)
    {
      kq_metric_add (&frames_dropped, 1);
      return KQ_ECLOSED;
    }
  kq_metric_add (&frames_sent, 1);
  kq_metric_add (&wire_bytes[peer->scope], (int64_t)size);
  return 0;
}

static int
send_batch (struct kq_peers *peers, struct kq_peer *peer,
            struct kq_peer_outgoing *outgoing)
{
  uint8_t *frame;
  size_t size;
  size_t raw_size;
  int err;

  outgoing->sender = &peers->self;
  err = kq_peer_encode (outgoing, &frame, &size, &raw_size);
  if (err != 0)
    {
      kq_log (KQ_LOG_ERROR, "peer", "encode_failed", err, "peer",
              peer->host.text, NULL);
      return err;
    }
  kq_metric_add (&raw_bytes, (int64_t)raw_size);
  err = send_frame (peer, frame, size);
  free (frame);
  return err;
}

/* A host without a host list asks one peer after the other for theirs.
   Returns whether it is PEER's turn. */
static bool
ask_for_hosts (struct kq_peers *peers, const struct kq_peer *peer)
{
  const struct kq_peer *turn = peers->list;
  kq_usec now = kq_clock_now ();

  if (peers->listed_at != 0 || now - peers->asked_at < ASK_EVERY)
    return false;
  for (size_t i = 0; i < peers->next_asked % peers->count; i++)
    turn = turn->next;
  if (turn != peer)
    return false;
  peers->asked_at = now;
  peers->next_asked++;
  return true;
}

void
kq_peer_flush (struct kq_peers *peers, struct kq_peer *peer)
{
  Kq__Peer__Message *messages[KQ_PEER_OUTBOX];
  struct kq_peer_outgoing outgoing
      = { .messages = messages,
          .count = peer->outbox_count,
          .compress = peer->scope != KQ_PEER_IN_ZONE };

  if (peer->outbox_count == 0)
    return;
  for (size_t i = 0; i < peer->outbox_count; i++)
    {
      Kq__Peer__Message *wire = peer->outbox[i]->wire;

      messages[i] = wire;
      kq_metric_add (&sent_bytes[wire->kind - 1],
                     (int64_t)kq__peer__message__get_packed_size (wire));
    }
  outgoing.hosts_wanted = ask_for_hosts (peers, peer);
  if (send_batch (peers, peer, &outgoing) != 0 && outgoing.hosts_wanted)
    peers->asked_at = 0;
  kq_peer_drop (peer);
}

static void
send_hosts (struct kq_peers *peers, const struct kq_name *host)
{
  struct kq_peer *peer = kq_peer_named (peers, host);
  struct kq_peer_outgoing outgoing = { .compress = true };
  json_t *object;
  char *text;

  if (peer == NULL || peers->hosts == NULL)
    return;
  object = kq_codec_hosts_write (peers->hosts, peers->host_count);
  text = object == NULL ? NULL : json_dumps (object, JSON_COMPACT);
  json_decref (object);
  outgoing.hosts = text;
  if (text != NULL && send_batch (peers, peer, &outgoing) == 0)
    kq_metric_add (&hosts_bytes, (int64_t)strlen (text));
  free (text);
}

static void
flush_all (struct kq_peers *peers)
{
  struct kq_peer *peer;

  LL_FOREACH (peers->list, peer) { kq_peer_flush (peers, peer); }
}

static void
on_flush (struct ev_loop *loop, ev_timer *timer, int events)
{
  flush_all (timer->data);
}

static void
put (struct kq_peers *peers, struct kq_peer *peer,
     struct kq_peer_shared *shared)
{
  if (peer->outbox_count == KQ_PEER_OUTBOX)
    kq_peer_flush (peers, peer);
  shared->references++;
  peer->outbox[peer->outbox_count++] = shared;
  if (peer->scope == KQ_PEER_IN_ZONE)
    kq_peer_flush (peers, peer);
  else if (!ev_is_active (&peers->flush_timer))
    {
      ev_timer_set (&peers->flush_timer, COALESCE_SEC, 0);
      ev_timer_start (peers->loop, &peers->flush_timer);
    }
}

int
kq_peers_send (struct kq_peers *peers, const struct kq_name *to,
               const struct kq_peer_message *message)
{
  struct kq_peer *peer = kq_name_empty (to) ? NULL : kq_peer_named (peers, to);
  struct kq_peer_shared *shared;

  if (!kq_name_empty (to) && peer == NULL)
    return KQ_EPEER_UNKNOWN;
  shared = malloc (sizeof *shared);
  if (shared == NULL)
    return KQ_ENOMEM;
  *shared = (struct kq_peer_shared){ kq_peer_wire (message), 1 };
  if (shared->wire == NULL)
    {
      free (shared);
      return KQ_ENOMEM;
    }
  if (peer != NULL)
    put (peers, peer, shared);
  else
    LL_FOREACH (peers->list, peer) { put (peers, peer, shared); }
  release (shared);
  return 0;
}

static void
take_frame (struct kq_peers *peers, const uint8_t *frame, size_t size)
{
  struct kq_peer_batch *batch;
  int err = kq_peer_decode (frame, size, &batch);

  kq_metric_add (&received_bytes, (int64_t)size);
  if (err == 0)
    err = kq_peers_check (peers, &batch->sender);
  if (err != 0)
    {
      kq_metric_add (&refused, 1);
      kq_log (KQ_LOG_WARN, "peer", "message_refused", err, "peer",
              batch != NULL ? batch->sender.host.text : "", NULL);
      kq_peer_batch_free (batch);
      return;
    }
  kq_peer_learn (peers, &batch->sender);
  if (batch->hosts_wanted)
    send_hosts (peers, &batch->sender.host);
  if (batch->hosts != NULL && peers->listed_at == 0)
    peers->handler.hosts (peers->handler.arg, batch->hosts, batch->host_count);
  for (size_t i = 0; i < batch->count; i++)
    peers->handler.message (peers->handler.arg, &batch->messages[i]);
  kq_peer_batch_free (batch);
}

/* Reads one message: routing id and payload.  Returns false when
   there is none. */
static bool
receive (struct kq_peers *peers)
{
  zmq_msg_t part;
  size_t index = 0;
  int more = 1;

  for (; more != 0; index++)
    {
      zmq_msg_init (&part);
      if (zmq_msg_recv (&part, peers->router, ZMQ_DONTWAIT) < 0)
        {
          zmq_msg_close (&part);
          return false;
        }
      more = zmq_msg_more (&part);
      if (index == 1 && more == 0)
        take_frame (peers, zmq_msg_data (&part), zmq_msg_size (&part));
      else if (index > 0)
        kq_metric_add (&refused, 1);
      zmq_msg_close (&part);
    }
  return true;
}

/* ZeroMQ's descriptor is edge-triggered: it tells of a change once, so that
   all that waits has to be read. */
static void
on_io (struct ev_loop *loop, ev_io *io, int events)
{
  struct kq_peers *peers = io->data;

  for (int i = 0; i < RECEIVE_BURST; i++)
    if (!receive (peers))
      return;
  ev_feed_event (loop, io, EV_READ);
}

static int
bind_router (struct kq_peers *peers)
{
  char endpoint[80];
  int queue = RECEIVE_QUEUE;
  int linger = 0;
  int every = HEARTBEAT_EVERY_MS;
  int timeout = HEARTBEAT_TIMEOUT_MS;
  int64_t longest = KQ_PEER_MAX_FRAME;

  peers->router = zmq_socket (peers->zmq_context, ZMQ_ROUTER);
  if (peers->router == NULL)
    return KQ_ENOMEM;
  zmq_setsockopt (peers->router, ZMQ_RCVHWM, &queue, sizeof queue);
  zmq_setsockopt (peers->router, ZMQ_LINGER, &linger, sizeof linger);
  zmq_setsockopt (peers->router, ZMQ_HEARTBEAT_IVL, &every, sizeof every);
  zmq_setsockopt (peers->router, ZMQ_HEARTBEAT_TIMEOUT, &timeout,
                  sizeof timeout);
  zmq_setsockopt (peers->router, ZMQ_MAXMSGSIZE, &longest, sizeof longest);
  snprintf (endpoint, sizeof endpoint, "tcp://%s", peers->self.address);
  return zmq_bind (peers->router, endpoint) == 0 ? 0 : KQ_EIO;
}

static void
watch_router (struct kq_peers *peers)
{
  int fd;
  size_t size = sizeof fd;

  zmq_getsockopt (peers->router, ZMQ_FD, &fd, &size);
  ev_io_init (&peers->io, on_io, fd, EV_READ);
  peers->io.data = peers;
  ev_io_start (peers->loop, &peers->io);
  /* What came before the watch was set would never be told of. */
  ev_feed_event (peers->loop, &peers->io, EV_READ);
}

struct kq_peers *
kq_peers_create (struct ev_loop *loop, void *zmq_context,
                 const struct kq_peers_settings *settings,
                 const struct kq_peers_handler *handler, int *err)
{
  struct kq_peers *peers = calloc (1, sizeof *peers);

  *err = KQ_ENOMEM;
  if (peers == NULL)
    return NULL;
  *peers = (struct kq_peers){ .loop = loop,
                              .zmq_context = zmq_context,
                              .self = settings->self,
                              .region = settings->region,
                              .handler = *handler };
  ev_init (&peers->flush_timer, on_flush);
  peers->flush_timer.data = peers;
  *err = bind_router (peers);
  if (*err != 0)
    {
      kq_peers_destroy (peers);
      return NULL;
    }
  watch_router (peers);
  for (size_t i = 0; i < settings->bootstrap_count; i++)
    {
      struct kq_peer *peer = NULL;

      if (strcmp (settings->bootstrap[i], peers->self.address) != 0)
        peer = kq_peer_at (peers, settings->bootstrap[i]);
      if (peer != NULL)
        peer->bootstrap = true;
    }
  return peers;
}

void
kq_peers_destroy (struct kq_peers *peers)
{
  struct kq_peer *peer;
  struct kq_peer *next;

  if (peers == NULL)
    return;
  flush_all (peers);
  ev_timer_stop (peers->loop, &peers->flush_timer);
  ev_io_stop (peers->loop, &peers->io);
  LL_FOREACH_SAFE (peers->list, peer, next) { kq_peer_remove (peers, peer); }
  if (peers->router != NULL)
    zmq_close (peers->router);
  free (peers->hosts);
  free (peers);
}

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

/* Messages to other availability zones are delayed by this time so that
   several are sent in one frame.  */
#define COALESCE_DELAY_SEC 0.02

/* Interval of the host list requests of a host that has no list. */
#define HOST_LIST_REQUEST_INTERVAL_US KQ_USEC_PER_SEC

/* Largest number of received messages queued in the socket. */
#define RECEIVE_QUEUE_MAX 10000

/* Messages that are read in one callback, before other events of the loop
   are handled.  */
#define RECEIVE_MAX_PER_EVENT 256

/* ZeroMQ's heartbeats, which detect dead connections; they aren't messages of
   kind KQ_PEER_HEARTBEAT.  */
#define HEARTBEAT_INTERVAL_MS 500
#define HEARTBEAT_TIMEOUT_MS 1500

#define MESSAGE_KINDS (KQ_PEER_LEAVE + 1)

static struct kq_metric sent_bytes[MESSAGE_KINDS] = {
  { .name = "kq_peer_heartbeat_bytes_total",
    .help = "Bytes of heartbeats before compression." },
  { .name = "kq_peer_record_bytes_total",
    .help = "Bytes of records sent to peers before compression." },
  { .name = "kq_peer_goodbye_bytes_total",
    .help = "Bytes of goodbyes before compression." },
};

static struct kq_metric wire_bytes[KQ_PEER_DISTANCE_COUNT] = {
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
  for (int i = 0; i < MESSAGE_KINDS; i++)
    kq_metric_register (&sent_bytes[i]);
  for (int i = 0; i < KQ_PEER_DISTANCE_COUNT; i++)
    kq_metric_register (&wire_bytes[i]);
  kq_metric_register (&raw_bytes);
  kq_metric_register (&frames_sent);
  kq_metric_register (&frames_dropped);
  kq_metric_register (&received_bytes);
  kq_metric_register (&hosts_bytes);
  kq_metric_register (&refused);
}

static void
unref_message (struct kq_peer_shared_message *shared)
{
  if (--shared->reference_count > 0)
    return;
  kq__peer__message__free_unpacked (shared->wire, NULL);
  free (shared);
}

void
kq_peer_clear_outbox (struct kq_peer *peer)
{
  for (size_t i = 0; i < peer->outbox_count; i++)
    unref_message (peer->outbox[i]);
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
  kq_metric_add (&wire_bytes[peer->distance], (int64_t)size);
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

/* Starts a host list request if this host has no list and the interval has
   passed.  The requests go to one peer after the other; returns whether PEER
   is next.  */
static bool
start_host_list_request (struct kq_peers *peers, const struct kq_peer *peer)
{
  const struct kq_peer *candidate = peers->list;
  kq_usec now = kq_clock_now ();

  if (peers->host_list_received_at != 0
      || now - peers->host_list_requested_at < HOST_LIST_REQUEST_INTERVAL_US)
    return false;
  for (size_t i = 0; i < peers->next_requested_peer % peers->count; i++)
    candidate = candidate->next;
  if (candidate != peer)
    return false;
  peers->host_list_requested_at = now;
  peers->next_requested_peer++;
  return true;
}

void
kq_peer_flush (struct kq_peers *peers, struct kq_peer *peer)
{
  Kq__Peer__Message *messages[KQ_PEER_OUTBOX_MAX];
  struct kq_peer_outgoing outgoing
      = { .messages = messages,
          .count = peer->outbox_count,
          .compress = peer->distance != KQ_PEER_IN_ZONE };

  if (peer->outbox_count == 0)
    return;
  for (size_t i = 0; i < peer->outbox_count; i++)
    {
      Kq__Peer__Message *wire = peer->outbox[i]->wire;

      messages[i] = wire;
      kq_metric_add (&sent_bytes[wire->kind - 1],
                     (int64_t)kq__peer__message__get_packed_size (wire));
    }
  outgoing.hosts_wanted = start_host_list_request (peers, peer);
  if (send_batch (peers, peer, &outgoing) != 0 && outgoing.hosts_wanted)
    peers->host_list_requested_at = 0;
  kq_peer_clear_outbox (peer);
}

static void
send_hosts (struct kq_peers *peers, const struct kq_name *host)
{
  struct kq_peer *peer = kq_peer_find (peers, host);
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
enqueue_message (struct kq_peers *peers, struct kq_peer *peer,
                 struct kq_peer_shared_message *shared)
{
  if (peer->outbox_count == KQ_PEER_OUTBOX_MAX)
    kq_peer_flush (peers, peer);
  shared->reference_count++;
  peer->outbox[peer->outbox_count++] = shared;
  if (peer->distance == KQ_PEER_IN_ZONE)
    kq_peer_flush (peers, peer);
  else if (!ev_is_active (&peers->flush_timer))
    {
      ev_timer_set (&peers->flush_timer, COALESCE_DELAY_SEC, 0);
      ev_timer_start (peers->loop, &peers->flush_timer);
    }
}

int
kq_peers_send (struct kq_peers *peers, const struct kq_name *to,
               const struct kq_peer_message *message)
{
  struct kq_peer *peer = kq_name_empty (to) ? NULL : kq_peer_find (peers, to);
  struct kq_peer_shared_message *shared;

  if (!kq_name_empty (to) && peer == NULL)
    return KQ_EPEER_UNKNOWN;
  shared = malloc (sizeof *shared);
  if (shared == NULL)
    return KQ_ENOMEM;
  *shared = (struct kq_peer_shared_message){ kq_peer_message_to_wire (message),
                                             1 };
  if (shared->wire == NULL)
    {
      free (shared);
      return KQ_ENOMEM;
    }
  if (peer != NULL)
    enqueue_message (peers, peer, shared);
  else
    LL_FOREACH (peers->list, peer) { enqueue_message (peers, peer, shared); }
  unref_message (shared);
  return 0;
}

static void
handle_frame (struct kq_peers *peers, const uint8_t *frame, size_t size)
{
  struct kq_peer_batch *batch;
  int err = kq_peer_decode (frame, size, &batch);

  kq_metric_add (&received_bytes, (int64_t)size);
  if (err == 0)
    err = kq_peers_check_sender (peers, &batch->sender);
  if (err != 0)
    {
      kq_metric_add (&refused, 1);
      kq_log (KQ_LOG_WARN, "peer", "message_refused", err, "peer",
              batch != NULL ? batch->sender.host.text : "", NULL);
      kq_peer_batch_free (batch);
      return;
    }
  kq_peer_update (peers, &batch->sender);
  if (batch->hosts_wanted)
    send_hosts (peers, &batch->sender.host);
  if (batch->hosts != NULL && peers->host_list_received_at == 0)
    peers->handler.hosts (peers->handler.arg, batch->hosts, batch->host_count);
  for (size_t i = 0; i < batch->count; i++)
    peers->handler.message (peers->handler.arg, &batch->messages[i]);
  kq_peer_batch_free (batch);
}

/* Receives one multipart message: routing id and payload.  Returns false
   when there is none.  */
static bool
receive_message (struct kq_peers *peers)
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
        handle_frame (peers, zmq_msg_data (&part), zmq_msg_size (&part));
      else if (index > 0)
        kq_metric_add (&refused, 1);
      zmq_msg_close (&part);
    }
  return true;
}

/* ZeroMQ's file descriptor is edge-triggered: it signals a change once, so
   all pending messages have to be read.  */
static void
on_readable (struct ev_loop *loop, ev_io *io, int events)
{
  struct kq_peers *peers = io->data;

  for (int i = 0; i < RECEIVE_MAX_PER_EVENT; i++)
    if (!receive_message (peers))
      return;
  ev_feed_event (loop, io, EV_READ);
}

static int
bind_router (struct kq_peers *peers)
{
  char endpoint[80];
  int queue = RECEIVE_QUEUE_MAX;
  int linger = 0;
  int interval = HEARTBEAT_INTERVAL_MS;
  int timeout = HEARTBEAT_TIMEOUT_MS;
  int64_t max_size = KQ_PEER_MAX_FRAME;

  peers->router = zmq_socket (peers->zmq_context, ZMQ_ROUTER);
  if (peers->router == NULL)
    return KQ_ENOMEM;
  zmq_setsockopt (peers->router, ZMQ_RCVHWM, &queue, sizeof queue);
  zmq_setsockopt (peers->router, ZMQ_LINGER, &linger, sizeof linger);
  zmq_setsockopt (peers->router, ZMQ_HEARTBEAT_IVL, &interval,
                  sizeof interval);
  zmq_setsockopt (peers->router, ZMQ_HEARTBEAT_TIMEOUT, &timeout,
                  sizeof timeout);
  zmq_setsockopt (peers->router, ZMQ_MAXMSGSIZE, &max_size, sizeof max_size);
  snprintf (endpoint, sizeof endpoint, "tcp://%s", peers->self.address);
  return zmq_bind (peers->router, endpoint) == 0 ? 0 : KQ_EIO;
}

static void
start_router_watcher (struct kq_peers *peers)
{
  int fd;
  size_t size = sizeof fd;

  zmq_getsockopt (peers->router, ZMQ_FD, &fd, &size);
  ev_io_init (&peers->io, on_readable, fd, EV_READ);
  peers->io.data = peers;
  ev_io_start (peers->loop, &peers->io);
  /* The edge-triggered descriptor doesn't signal messages that arrived before
     the watcher was started.  */
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
  start_router_watcher (peers);
  for (size_t i = 0; i < settings->bootstrap_count; i++)
    {
      struct kq_peer *peer = NULL;

      if (strcmp (settings->bootstrap[i], peers->self.address) != 0)
        peer = kq_peer_find_or_connect (peers, settings->bootstrap[i]);
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

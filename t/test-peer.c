/* Tests of the messages between entry hosts.  They guard against a malformed
   frame, or one of an earlier incarnation or of a host that isn't a member,
   that is accepted or interrupts the exchange.  */

#include <arpa/inet.h>
#include <netinet/in.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>
#include <zmq.h>

#include "base/err.h"
#include "peer/peer.h"
#include "t/kqtest.h"

static const struct kq_peer_sender sender
    = { .host = { "a" }, .zone = { "z" }, .incarnation = 7 };

static const struct kq_shard_state shard
    = { .name = { "s" }, .epoch = 9, .largest = { 1, 2, 3 } };

static const struct kq_record record
    = { .kind = KQ_REC_CONFIG,
        .id = { "a/1" },
        .host = { "a" },
        .u.config = { .base = 4, .text = "{\"services\":[]}" } };

static const struct kq_peer_message heartbeat = { .kind = KQ_PEER_HEARTBEAT,
                                                  .view = 11,
                                                  .offset = 12,
                                                  .revision = 13,
                                                  .shards = &shard,
                                                  .shard_count = 1 };

static const struct kq_peer_message record_message
    = { .kind = KQ_PEER_RECORD, .offset = 14, .record = &record };

/* Encodes COUNT copies of MESSAGE. */
static int
encode (const struct kq_peer_message *message, size_t count, bool compress,
        uint8_t **frame, size_t *size, size_t *raw_size)
{
  Kq__Peer__Message *wires[32];
  int err;

  for (size_t i = 0; i < count; i++)
    wires[i] = kq_peer_message_to_wire (message);
  err = kq_peer_encode (&(struct kq_peer_outgoing){ .sender = &sender,
                                                    .messages = wires,
                                                    .count = count,
                                                    .hosts = "{\"hosts\":[]}",
                                                    .hosts_wanted = compress,
                                                    .compress = compress },
                        frame, size, raw_size);
  for (size_t i = 0; i < count; i++)
    kq__peer__message__free_unpacked (wires[i], NULL);
  return err;
}

static void
test_messages_round_trip (void)
{
  const struct kq_peer_message *const messages[]
      = { &heartbeat, &record_message };

  for (size_t i = 0; i < 4; i++)
    {
      struct kq_peer_batch *batch = NULL;
      uint8_t *frame = NULL;
      size_t size;
      size_t raw_size;
      bool compress = i >= 2;

      CU_ASSERT_EQUAL (
          encode (messages[i % 2], 20, compress, &frame, &size, &raw_size), 0);
      /* Twenty equal messages compress to less than half their size. */
      CU_ASSERT_TRUE (compress ? size * 2 < raw_size : size >= raw_size);
      CU_ASSERT_EQUAL (kq_peer_decode (frame, size, &batch), 0);
      free (frame);
      if (batch == NULL)
        continue;
      CU_ASSERT_EQUAL (batch->count, 20);
      CU_ASSERT_EQUAL (batch->hosts_wanted, compress);
      CU_ASSERT_PTR_NOT_NULL (batch->hosts);
      CU_ASSERT_EQUAL (batch->sender.incarnation, 7);
      CU_ASSERT_STRING_EQUAL (batch->messages[19].from.text, "a");
      CU_ASSERT_EQUAL (batch->messages[19].offset, messages[i % 2]->offset);
      if (i % 2 == 0)
        {
          CU_ASSERT_EQUAL (batch->messages[19].shards[0].largest.memory_mb, 2);
        }
      else
        {
          CU_ASSERT_STRING_EQUAL (batch->messages[19].record->u.config.text,
                                  record.u.config.text);
        }
      kq_peer_batch_free (batch);
    }
}

/* The rule of the wire format that a frame violates. */
enum corruption
{
  CORRUPT_NOTHING,
  CORRUPT_VERSION,
  CORRUPT_RAW_SIZE,
  CORRUPT_COMPRESSION,
  CORRUPT_SENDER,
  CORRUPT_ADDRESS,
  CORRUPT_SIZE,
  CORRUPT_OFFSET,
  CORRUPT_RECORD,
  CORRUPT_KIND
};

static void
corrupt (enum corruption rule, Kq__Peer__Envelope *envelope,
         Kq__Peer__Batch *batch)
{
  static char long_address[100];
  Kq__Peer__Message *wire = batch->messages[0];

  memset (long_address, '1', sizeof long_address - 1);
  switch (rule)
    {
    case CORRUPT_NOTHING:
      break;
    case CORRUPT_VERSION:
      envelope->version = 2;
      break;
    case CORRUPT_RAW_SIZE:
      envelope->raw_size = UINT32_MAX;
      break;
    case CORRUPT_COMPRESSION:
      envelope->raw_size = 100;
      break;
    case CORRUPT_SENDER:
      batch->from = (char *)"no name";
      break;
    case CORRUPT_ADDRESS:
      batch->address = long_address;
      break;
    case CORRUPT_SIZE:
      wire->shards[0]->memory_mb = -1;
      break;
    case CORRUPT_OFFSET:
      wire->offset = -1;
      break;
    case CORRUPT_RECORD:
      wire->kind = KQ_PEER_RECORD + 1;
      break;
    case CORRUPT_KIND:
      wire->kind = 99;
      break;
    }
}

/* Packs a batch that violates one rule, and decodes it. */
static int
decode_corrupted (enum corruption rule)
{
  Kq__Peer__Batch batch = KQ__PEER__BATCH__INIT;
  Kq__Peer__Envelope envelope = KQ__PEER__ENVELOPE__INIT;
  Kq__Peer__Message *wire = kq_peer_message_to_wire (&heartbeat);
  struct kq_peer_batch *read = NULL;
  uint8_t raw[1024];
  uint8_t frame[2048];
  int err;

  batch.from = (char *)"a";
  batch.zone = (char *)"z";
  batch.messages = &wire;
  batch.n_messages = 1;
  envelope.version = 1;
  corrupt (rule, &envelope, &batch);
  envelope.batch.len = kq__peer__batch__pack (&batch, raw);
  envelope.batch.data = raw;
  err = kq_peer_decode (frame, kq__peer__envelope__pack (&envelope, frame),
                        &read);
  kq_peer_batch_free (read);
  kq__peer__message__free_unpacked (wire, NULL);
  return err;
}

static void
test_malformed_messages (void)
{
  static const uint8_t junk[] = { 0xff, 0xff, 0xff, 0x01, 0x02 };
  static const struct
  {
    enum corruption rule;
    int err;
  } cases[] = {
    { CORRUPT_NOTHING, 0 },
    { CORRUPT_VERSION, KQ_EINVAL },
    { CORRUPT_RAW_SIZE, KQ_ETOOBIG },
    { CORRUPT_COMPRESSION, KQ_ESYNTAX },
    { CORRUPT_SENDER, KQ_ESYNTAX },
    { CORRUPT_ADDRESS, KQ_ESYNTAX },
    { CORRUPT_SIZE, KQ_ESYNTAX },
    { CORRUPT_OFFSET, KQ_ESYNTAX },
    { CORRUPT_RECORD, KQ_ESYNTAX },
    /* A message kind of a later version is skipped. */
    { CORRUPT_KIND, 0 },
  };
  struct kq_peer_batch *batch = NULL;

  CU_ASSERT_EQUAL (kq_peer_decode (junk, sizeof junk, &batch), KQ_ESYNTAX);
  CU_ASSERT_EQUAL (kq_peer_decode (junk, 0, &batch), KQ_EINVAL);
  CU_ASSERT_EQUAL (kq_peer_decode (junk, KQ_PEER_MAX_FRAME + 1, &batch),
                   KQ_ETOOBIG);
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    CU_ASSERT_EQUAL (decode_corrupted (cases[i].rule), cases[i].err);
}

/* Several hosts in one event loop. */

struct host
{
  struct kq_peers *peers;
  struct kq_peers_settings settings;
  struct ev_loop *loop;
  int received;
  size_t hosts;
  struct kq_peer_message last;
};

static void
on_message (void *arg, const struct kq_peer_message *message)
{
  struct host *host = arg;

  host->received++;
  host->last = *message;
  ev_break (host->loop, EVBREAK_ALL);
}

static void
on_hosts (void *arg, const struct kq_host_entry *entries, size_t count)
{
  struct host *host = arg;

  host->hosts = count;
}

static void
choose_free_address (char address[64])
{
  struct sockaddr_in bound = { .sin_family = AF_INET };
  socklen_t size = sizeof bound;
  int fd = socket (AF_INET, SOCK_STREAM, 0);

  bound.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  if (bind (fd, (struct sockaddr *)&bound, size) == 0)
    getsockname (fd, (struct sockaddr *)&bound, &size);
  snprintf (address, 64, "127.0.0.1:%d", ntohs (bound.sin_port));
  close (fd);
}

static void
start_host (struct host *host, struct ev_loop *loop, void *context,
            const char *name, const char (*bootstrap)[64])
{
  const struct kq_peers_handler handler
      = { .arg = host, .message = on_message, .hosts = on_hosts };
  int err;

  memset (host, 0, sizeof *host);
  host->loop = loop;
  kq_name_set (&host->settings.self.host, name);
  kq_name_set (&host->settings.self.zone, name);
  kq_name_set (&host->settings.region, "r");
  host->settings.self.incarnation = 5;
  host->settings.bootstrap = bootstrap;
  host->settings.bootstrap_count = bootstrap != NULL;
  choose_free_address (host->settings.self.address);
  host->peers
      = kq_peers_create (loop, context, &host->settings, &handler, &err);
  CU_ASSERT_EQUAL (err, 0);
}

/* Sends heartbeats from FROM until TO has received COUNT, for up to 5 s.
   Returns whether it has.  */
static bool
send_until_received (struct host *from, struct host *to, int count)
{
  static const struct kq_name all;

  for (int attempt = 0; to->received < count && attempt < 100; attempt++)
    {
      kq_peers_send (from->peers, &all, &heartbeat);
      ev_run (from->loop, EVRUN_NOWAIT);
      usleep (50000);
      ev_run (from->loop, EVRUN_NOWAIT);
    }
  return to->received >= count;
}

static void
test_hosts_exchange_messages (void)
{
  struct ev_loop *loop = ev_loop_new (EVFLAG_AUTO);
  void *context = zmq_ctx_new ();
  void *stranger = zmq_socket (context, ZMQ_DEALER);
  char endpoint[80];
  struct kq_host_entry entry_a
      = { .name = { "a" }, .zone = { "a" }, .region = { "r" } };
  struct host a;
  struct host b;
  int linger = 0;

  start_host (&b, loop, context, "b", NULL);
  start_host (&a, loop, context, "a",
              (const char (*)[64])b.settings.self.address);
  memcpy (entry_a.address, a.settings.self.address, 64);
  CU_ASSERT_TRUE (send_until_received (&a, &b, 1));
  CU_ASSERT_STRING_EQUAL (b.last.from.text, "a");
  CU_ASSERT_EQUAL (b.last.revision, 13);
  /* A message of an earlier incarnation of A is rejected. */
  CU_ASSERT_EQUAL (kq_peers_check_sender (b.peers, &a.settings.self), 0);
  a.settings.self.incarnation--;
  CU_ASSERT_EQUAL (kq_peers_check_sender (b.peers, &a.settings.self),
                   KQ_EPEER_VIEW);
  /* B knows A's address from the message. */
  CU_ASSERT_TRUE (send_until_received (&b, &a, 1));
  CU_ASSERT_EQUAL (kq_peers_send (b.peers, &a.settings.self.host, &heartbeat),
                   0);
  CU_ASSERT_EQUAL (
      kq_peers_send (b.peers, &(struct kq_name){ "c" }, &heartbeat),
      KQ_EPEER_UNKNOWN);
  /* Malformed frames do not interrupt the exchange. */
  snprintf (endpoint, sizeof endpoint, "tcp://%s", b.settings.self.address);
  zmq_setsockopt (stranger, ZMQ_LINGER, &linger, sizeof linger);
  zmq_connect (stranger, endpoint);
  zmq_send (stranger, "junk", 4, 0);
  zmq_send (stranger, "", 0, ZMQ_SNDMORE);
  zmq_send (stranger, "three", 5, ZMQ_SNDMORE);
  zmq_send (stranger, "parts", 5, 0);
  CU_ASSERT_TRUE (send_until_received (&a, &b, b.received + 2));
  zmq_close (stranger);
  kq_peers_destroy (a.peers);
  kq_peers_destroy (b.peers);
  zmq_ctx_term (context);
  ev_loop_destroy (loop);
}

static void
test_membership (void)
{
  static const char bootstrap[1][64] = { "127.0.0.1:3" };
  struct ev_loop *loop = ev_loop_new (EVFLAG_AUTO);
  void *context = zmq_ctx_new ();
  struct kq_host_entry listed = { .name = { "b" },
                                  .zone = { "z" },
                                  .region = { "r" },
                                  .address = "127.0.0.1:1" };
  struct kq_peer_sender self = { .host = { "a" }, .zone = { "a" } };
  struct kq_peer_sender b
      = { .host = { "b" }, .zone = { "z" }, .address = "127.0.0.1:1" };
  struct kq_peer_sender c
      = { .host = { "c" }, .zone = { "z" }, .address = "127.0.0.1:2" };
  struct kq_peer_sender d
      = { .host = { "d" }, .zone = { "z" }, .address = "127.0.0.1:3" };
  struct host a;

  start_host (&a, loop, context, "a", bootstrap);
  CU_ASSERT_EQUAL (kq_peers_check_sender (a.peers, &self), KQ_EPEER_UNKNOWN);
  /* Without a host list any host is accepted: it may have just started. */
  CU_ASSERT_EQUAL (kq_peers_check_sender (a.peers, &c), 0);
  kq_peers_apply_host_list (a.peers, &listed, 1);
  CU_ASSERT_EQUAL (kq_peers_check_sender (a.peers, &b), 0);
  CU_ASSERT_EQUAL (kq_peers_check_sender (a.peers, &c), KQ_EPEER_UNKNOWN);
  CU_ASSERT_EQUAL (kq_peers_check_sender (a.peers, &d), 0);
  kq_peers_destroy (a.peers);
  zmq_ctx_term (context);
  ev_loop_destroy (loop);
}

static const struct kq_test tests[] = {
  { "messages round trip", test_messages_round_trip },
  { "malformed messages", test_malformed_messages },
  { "hosts exchange messages", test_hosts_exchange_messages },
  { "membership by host list and settings", test_membership },
};

KQ_TEST_MAIN ("peer", tests)

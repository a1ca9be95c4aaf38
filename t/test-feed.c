/* The operator's topic as hosts pass it on to each other.  Guards against
   hosts that wait for a source which is silent, stops, or knows nothing
   recent, against replies that take a process down, and against a
   configuration that is taken for known though it never arrived.  The test
   carries the messages. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "node/feed.h"
#include "t/kqtest.h"
#include "term/term.pb-c.h"

/* Host 0 is the owner; 1 comes first in the zone of 2. */
#define HOSTS 3
#define QUEUES 2000

struct member
{
  struct kq_hosts *hosts;
  struct kq_term *term;
  struct kq_feed *feed;
  int replies; /* polls that have ended */
  bool failed; /* the last one had no usable reply */
  struct kq_feed_state state;
  struct kq_sched_config *config; /* of the last reply, or NULL */
};

static struct member members[HOSTS];
static int asked; /* host that the last poll went to; -1: none */
static KqNode__Ask poll;
static uint8_t poll_bytes[64];
static KqNode__Tell reply; /* the last one, if it has a feed */
static uint8_t reply_bytes[100 * QUEUES];

static void
name_host (struct kq_host *host, int i)
{
  static const double cores[HOSTS] = { 0.5, 0.5, 0.12 };

  *host = (struct kq_host){ .cores = cores[i] };
  snprintf (host->name, sizeof host->name, "h%d", i);
  snprintf (host->address, sizeof host->address, "10.0.0.%d:7720", i);
  snprintf (host->incarnation, sizeof host->incarnation, "life-%d", i);
  snprintf (host->zone, sizeof host->zone, "%s", i == 0 ? "near" : "far");
}

int
kq_hop_send_request (struct kq_hop *hop, const char *address,
                     const KqNode__Ask *message)
{
  asked = atoi (address + strlen ("10.0.0."));
  poll = *message;
  memcpy (poll_bytes, message->body.data, message->body.len);
  poll.body.data = poll_bytes;
  return 0;
}

void
kq_hop_send_reply (struct kq_hop *hop, const struct kq_hop_sender *sender,
                   const KqNode__Tell *message)
{
  CU_ASSERT_FATAL (message->feed.len <= sizeof reply_bytes);
  reply = *message;
  memcpy (reply_bytes, message->feed.data, message->feed.len);
  reply.feed.data = reply_bytes;
}

void
kq_hop_receive (struct kq_hop *hop)
{
}

static void
on_done (void *arg, const struct kq_feed_state *state,
         struct kq_sched_config *config)
{
  struct member *member = arg;

  member->replies++;
  member->failed = state == NULL;
  if (state != NULL)
    member->state = *state;
  kq_sched_config_destroy (member->config);
  member->config = config;
}

static void
add_host (struct kq_hosts *hosts, int i)
{
  struct kq_host host;
  struct kq_hosts *other;
  uint8_t bytes[KQ_HOSTS_MAX_BYTES];
  kq_usec now = kq_clock_now ();
  size_t size;

  name_host (&host, i);
  other = kq_hosts_create (&host);
  kq_hosts_next_announcement (other, now, bytes);
  size = kq_hosts_next_announcement (other, now + KQ_USEC_PER_SEC, bytes);
  kq_hosts_apply (hosts, now, host.name, bytes, size);
  kq_hosts_destroy (other);
}

static void
start (void)
{
  for (int i = 0; i < HOSTS; i++)
    {
      struct member *member = &members[i];
      struct kq_host self;

      memset (member, 0, sizeof *member);
      name_host (&self, i);
      member->hosts = kq_hosts_create (&self);
      for (int other = 0; other < HOSTS; other++)
        add_host (member->hosts, other);
      member->term = kq_term_create (self.name, self.address, self.incarnation,
                                     self.cores, kq_clock_now ());
      kq_term_learn_owner (member->term, kq_clock_now (), "10.0.0.0:7720", 1);
      member->feed = kq_feed_create (NULL, member->hosts, member->term,
                                     on_done, member);
    }
  asked = -1;
  memset (&reply, 0, sizeof reply);
}

static void
stop (void)
{
  for (int i = 0; i < HOSTS; i++)
    {
      kq_feed_destroy (members[i].feed);
      kq_sched_config_destroy (members[i].config);
      kq_term_destroy (members[i].term);
      kq_hosts_destroy (members[i].hosts);
    }
}

/* Lets HOST ask its source; returns the source, -1 if it is to read the store
   itself. */
static int
ask (int host)
{
  asked = -1;
  reply.feed.len = 0;
  if (!kq_feed_poll (members[host].feed, &members[host].state))
    return -1;
  return asked;
}

static void
deliver_poll (void)
{
  static const struct kq_hop_sender sender = { .size = 1 };

  kq_feed_handle_poll (members[asked].feed, &sender, &poll);
}

static void
deliver_reply (int host)
{
  CU_ASSERT_FATAL (reply.feed.len > 0);
  kq_feed_handle_reply (members[host].feed, &reply);
}

static void
tick_for (kq_usec duration)
{
  kq_usec end = kq_clock_now () + duration;

  while (kq_clock_now () < end)
    {
      usleep (10000);
      for (int i = 0; i < HOSTS; i++)
        kq_feed_tick (members[i].feed);
    }
}

/* Returns the configuration VERSION. */
static struct kq_sched_config *
make_config (int64_t version)
{
  struct kq_sched_config *config = calloc (1, sizeof *config);

  config->version = version;
  config->max_body_bytes = 1000 + (size_t)version;
  config->queues = calloc (QUEUES, sizeof *config->queues);
  config->queue_count = QUEUES;
  for (int i = 0; i < QUEUES; i++)
    {
      struct kq_sched_queue *queue = &config->queues[i];

      queue->priority = i % 3;
      queue->attempts = 1 + i % 5;
      queue->stretch = i / 8.0;
      queue->slo_ms = i;
      queue->timeout_ms = INT64_C (2) * i;
      queue->advised = i % 2 == 0;
      queue->advise_ms = i;
      snprintf (queue->name, sizeof queue->name, "queue-%d", i);
      snprintf (queue->host, sizeof queue->host, "host%d.example", i % 90);
      snprintf (queue->prefix, sizeof queue->prefix, "/%d/", i);
      snprintf (queue->service, sizeof queue->service, "service-%d", i % 4);
    }
  return config;
}

static bool
are_equal (const struct kq_sched_queue *a, const struct kq_sched_queue *b)
{
  return strcmp (a->name, b->name) == 0 && strcmp (a->host, b->host) == 0
         && strcmp (a->prefix, b->prefix) == 0
         && strcmp (a->service, b->service) == 0 && a->priority == b->priority
         && a->attempts == b->attempts && a->stretch == b->stretch
         && a->slo_ms == b->slo_ms && a->timeout_ms == b->timeout_ms
         && a->advised == b->advised && a->advise_ms == b->advise_ms;
}

/* Whether CONFIG is what make_config() returns for VERSION. */
static bool
is_config (const struct kq_sched_config *config, int64_t version)
{
  struct kq_sched_config *expected = make_config (version);
  bool same = config != NULL && config->version == version
              && config->max_body_bytes == expected->max_body_bytes
              && config->queue_count == QUEUES;

  for (int i = 0; same && i < QUEUES; i++)
    same = are_equal (&config->queues[i], &expected->queues[i]);
  kq_sched_config_destroy (expected);
  return same;
}

/* Publishes version VERSION at HOST, read AGE ago. */
static void
publish (int host, int64_t version, kq_usec age)
{
  struct kq_sched_config *config = make_config (version);
  struct kq_feed_state state = { .offset = version + 10,
                                 .version = version,
                                 .read_at = kq_clock_now () - age };

  kq_sched_zones_add (&state.zones, "z");
  kq_feed_set_config (members[host].feed, config);
  kq_feed_publish (members[host].feed, &state);
  kq_sched_config_destroy (config);
}

/* The first host of a zone asks the owner, the others ask that host, and a
   configuration passes both ways whole and once. */
static void
test_two_hops (void)
{
  start ();
  CU_ASSERT_EQUAL (ask (2), 1);
  deliver_poll ();
  CU_ASSERT_EQUAL (reply.feed.len, 0);
  publish (0, 5, 0);
  CU_ASSERT_EQUAL (ask (1), 0);
  deliver_poll ();
  deliver_reply (1);
  CU_ASSERT (!members[1].failed && members[1].state.version == 5);
  CU_ASSERT (is_config (members[1].config, 5));
  kq_feed_publish (members[1].feed, &members[1].state);
  deliver_reply (2);
  CU_ASSERT (!members[2].failed && members[2].state.offset == 15);
  CU_ASSERT (is_config (members[2].config, 5));
  CU_ASSERT (kq_sched_zones_find (&members[2].state.zones, "z") == 0);
  CU_ASSERT_EQUAL (ask (2), 1);
  deliver_poll ();
  CU_ASSERT_EQUAL (reply.feed.len, 0);
  tick_for (450 * KQ_USEC_PER_MSEC);
  deliver_reply (2);
  CU_ASSERT (!members[2].failed && members[2].config == NULL);
  CU_ASSERT_EQUAL (ask (0), -1);
  stop ();
}

/* A source that is silent or stops is not asked again, and its reply no longer
   counts. */
static void
test_lost_source (void)
{
  start ();
  CU_ASSERT_EQUAL (ask (2), 1);
  tick_for (800 * KQ_USEC_PER_MSEC);
  CU_ASSERT (members[2].replies == 1 && members[2].failed);
  publish (1, 5, 0);
  deliver_poll ();
  deliver_reply (2);
  CU_ASSERT_EQUAL (members[2].replies, 1);
  CU_ASSERT_EQUAL (ask (2), 0);
  kq_feed_leave (members[0].feed);
  deliver_poll ();
  deliver_reply (2);
  CU_ASSERT (members[2].replies == 2 && members[2].failed);
  CU_ASSERT_EQUAL (ask (2), -1);
  stop ();
}

/* What a host was told counts from when its source read it, at the latest. */
static void
test_age (void)
{
  kq_usec known;

  start ();
  publish (1, 5, 500 * KQ_USEC_PER_MSEC);
  CU_ASSERT_EQUAL (ask (2), 1);
  deliver_poll ();
  usleep (100000);
  deliver_reply (2);
  known = kq_clock_now () - members[2].state.read_at;
  CU_ASSERT (known >= 600 * KQ_USEC_PER_MSEC);
  CU_ASSERT (known < KQ_USEC_PER_SEC);
  tick_for (2 * KQ_USEC_PER_SEC);
  CU_ASSERT_FALSE (
      kq_feed_is_recent (members[2].feed, members[2].state.read_at));
  CU_ASSERT (kq_feed_is_recent (members[2].feed, kq_clock_now ()));
  stop ();
}

static void
reply_with (const KqNode__FeedState *state)
{
  CU_ASSERT_EQUAL (ask (2), 1);
  reply.number = poll.number;
  reply.feed.data = reply_bytes;
  reply.feed.len = kq_node__feed_state__pack (state, reply_bytes);
  deliver_reply (2);
}

/* Malformed replies, and those that name a configuration but do not bring it,
   make the host read the store. */
static void
test_malformed_replies (void)
{
  static uint8_t not_packed[] = "not packed";
  /* A frame of zstd that announces 2^60 bytes. */
  static uint8_t too_large[]
      = { 0x28, 0xb5, 0x2f, 0xfd, 0xc0, 0x00, 0, 0, 0, 0, 0, 0, 0x10, 0 };
  KqNode__FeedState state = KQ_NODE__FEED_STATE__INIT;
  char *zones[1] = { "a name that is longer than any name of a zone may be, "
                     "which is 63 bytes" };

  for (int i = 0; i < 6; i++)
    {
      start ();
      kq_node__feed_state__init (&state);
      state.complete = true;
      state.offset = i == 0 ? -1 : 7;
      state.age_us = i == 1 ? UINT64_MAX : 0;
      state.version = i == 2 || i >= 4 ? 9 : -1;
      state.n_zones = i == 3;
      state.zones = zones;
      if (i == 4)
        state.config = (ProtobufCBinaryData){ .len = sizeof not_packed,
                                              .data = not_packed };
      if (i == 5)
        state.config = (ProtobufCBinaryData){ .len = sizeof too_large,
                                              .data = too_large };
      reply_with (&state);
      CU_ASSERT (members[2].replies == 1 && members[2].failed);
      stop ();
    }
  start ();
  CU_ASSERT_EQUAL (ask (2), 1);
  reply.number = poll.number;
  reply.feed.data = not_packed;
  reply.feed.len = sizeof not_packed;
  kq_feed_handle_reply (members[2].feed, &reply);
  CU_ASSERT (members[2].replies == 1 && members[2].failed);
  stop ();
}

static const struct kq_test tests[] = {
  { "two hops", test_two_hops },
  { "a lost source", test_lost_source },
  { "age of what is known", test_age },
  { "malformed replies", test_malformed_replies },
};

KQ_TEST_MAIN ("test-feed", tests)

#include "node/feed.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <utlist.h>
#include <zstd.h>

#include "base/err.h"
#include "log/log.h"
#include "metrics/metrics.h"
#include "sched/config-codec.h"

/* A poll is held for this long.  Without a reply for the second time its host
   counts as lost: it has to be noticed well within 2.5 s, the time in which a
   new configuration must take effect. */
#define HOLD_US (400 * KQ_USEC_PER_MSEC)
#define REPLY_TIMEOUT_US (700 * KQ_USEC_PER_MSEC)

/* A host that did not reply is not asked again for this long. */
#define SUSPECT_US (5 * KQ_USEC_PER_SEC)
#define MAX_SUSPECTS 16

/* Age of what is known from which on a host reads the store itself.  An
   owner's last read is up to 0.6 s old, and each host on the way adds HOLD_US;
   the first hosts of the zones read the store before the others do. */
#define MAX_AGE_US (1200 * KQ_USEC_PER_MSEC)
#define MAX_FOLLOWER_AGE_US (1800 * KQ_USEC_PER_MSEC)

/* Maximum number of polls that are held; further ones are answered at once. */
#define MAX_WAITERS 1000

/* Largest configuration that is accepted from another host, in bytes before
   compression. */
#define MAX_CONFIG_BYTES ((size_t)16 * 1024 * 1024)

/* Level 1 packs routes to a tenth in a quarter of the time of the default. */
#define COMPRESSION_LEVEL 1

static struct kq_metric poll_count
    = { .name = "kq_feed_polls_total",
        .help = "Polls for the configuration that were sent to other hosts." };
static struct kq_metric silent_count
    = { .name = "kq_feed_silent_total",
        .help = "Of these, without a usable reply in time." };
static struct kq_metric received_bytes
    = { .name = "kq_feed_received_bytes_total",
        .help = "Bytes of compressed configurations from other hosts." };
static struct kq_metric sent_bytes
    = { .name = "kq_feed_sent_bytes_total",
        .help = "Bytes of compressed configurations sent to other hosts." };

/* A held poll. */
struct waiter
{
  struct kq_hop_sender sender;
  uint64_t number;
  int64_t offset;
  int64_t version;
  kq_usec since;
  struct waiter *prev;
  struct waiter *next;
};

struct suspect
{
  char address[KQ_HOST_TEXT_SIZE + 8];
  kq_usec until;
};

struct kq_feed
{
  struct kq_hop *hop;
  const struct kq_hosts *hosts;
  const struct kq_term *term;
  kq_feed_done *done;
  void *arg;
  kq_usec started_at;

  /* as a source */
  struct kq_feed_state state;
  uint8_t *packed; /* the configuration of packed_version */
  size_t packed_size;
  int64_t packed_version;
  struct waiter *waiters; /* oldest first */
  int waiter_count;
  bool leaving;

  /* as a follower */
  char source[KQ_HOST_TEXT_SIZE + 8]; /* of the poll in flight; "": none */
  uint64_t number;                    /* of the last poll */
  int64_t polled_version;             /* that it named */
  kq_usec sent_at;
  struct suspect suspects[MAX_SUSPECTS];
  int next_suspect;
};

void
kq_feed_register_metrics (void)
{
  kq_metric_register (&poll_count);
  kq_metric_register (&silent_count);
  kq_metric_register (&received_bytes);
  kq_metric_register (&sent_bytes);
}

struct kq_feed *
kq_feed_create (struct kq_hop *hop, const struct kq_hosts *hosts,
                const struct kq_term *term, kq_feed_done *done, void *arg)
{
  struct kq_feed *feed = calloc (1, sizeof *feed);

  if (feed == NULL)
    return NULL;
  feed->hop = hop;
  feed->hosts = hosts;
  feed->term = term;
  feed->done = done;
  feed->arg = arg;
  feed->started_at = kq_clock_now ();
  feed->state.version = -1;
  feed->packed_version = -1;
  return feed;
}

static void
free_waiter (struct kq_feed *feed, struct waiter *waiter)
{
  DL_DELETE (feed->waiters, waiter);
  feed->waiter_count--;
  free (waiter);
}

void
kq_feed_destroy (struct kq_feed *feed)
{
  if (feed == NULL)
    return;
  while (feed->waiters != NULL)
    free_waiter (feed, feed->waiters);
  free (feed->packed);
  free (feed);
}

static bool
is_usable (void *arg, const struct kq_host *host)
{
  const struct kq_feed *feed = arg;
  kq_usec now = kq_clock_now ();

  for (int i = 0; i < MAX_SUSPECTS; i++)
    if (now < feed->suspects[i].until
        && strcmp (feed->suspects[i].address, host->address) == 0)
      return false;
  return true;
}

static void
suspect (struct kq_feed *feed, const char *address)
{
  struct suspect *entry = &feed->suspects[feed->next_suspect];

  feed->next_suspect = (feed->next_suspect + 1) % MAX_SUSPECTS;
  snprintf (entry->address, sizeof entry->address, "%s", address);
  entry->until = kq_clock_now () + SUSPECT_US;
}

static const struct kq_host *
first_of_zone (const struct kq_feed *feed)
{
  return kq_hosts_first_of_zone (feed->hosts, is_usable, (void *)feed);
}

/* Returns the address of the host that this one asks, or NULL if it reads the
   store. */
static const char *
find_source (const struct kq_feed *feed)
{
  const struct kq_host *self = kq_hosts_self (feed->hosts);
  const struct kq_host *first = first_of_zone (feed);
  struct kq_host owner = { .name = "" };

  if (kq_term_own_term (feed->term) != 0)
    return NULL;
  if (first != self)
    return first->address;
  snprintf (owner.address, sizeof owner.address, "%s",
            kq_term_owner (feed->term)->address);
  if (owner.address[0] == '\0' || strcmp (owner.address, self->address) == 0
      || !is_usable ((void *)feed, &owner))
    return NULL;
  return kq_term_owner (feed->term)->address;
}

bool
kq_feed_poll (struct kq_feed *feed, const struct kq_feed_state *state)
{
  KqNode__FeedPoll poll = KQ_NODE__FEED_POLL__INIT;
  KqNode__Ask message = KQ_NODE__ASK__INIT;
  const char *source = find_source (feed);
  uint8_t bytes[64];

  kq_feed_cancel (feed);
  if (source == NULL)
    return false;
  poll.offset = state->offset;
  poll.version = state->version;
  message.number = ++feed->number;
  message.verb = KQ_HOP_FEED;
  message.body.data = bytes;
  message.body.len = kq_node__feed_poll__pack (&poll, bytes);
  snprintf (feed->source, sizeof feed->source, "%s", source);
  feed->polled_version = state->version;
  feed->sent_at = kq_clock_now ();
  kq_metric_add (&poll_count, 1);
  if (kq_hop_send_request (feed->hop, feed->source, &message) == 0)
    return true;
  suspect (feed, feed->source);
  kq_feed_cancel (feed);
  return false;
}

bool
kq_feed_cancel (struct kq_feed *feed)
{
  bool had_poll = feed->source[0] != '\0';

  feed->source[0] = '\0';
  return had_poll;
}

bool
kq_feed_is_recent (const struct kq_feed *feed, kq_usec read_at)
{
  bool follows = first_of_zone (feed) != kq_hosts_self (feed->hosts);

  /* Hosts that start together do not all read the store at once. */
  if (read_at < feed->started_at)
    read_at = feed->started_at;
  return kq_clock_now () - read_at
         <= (follows ? MAX_FOLLOWER_AGE_US : MAX_AGE_US);
}

/* Ends the poll in flight, whose source is not to be asked again soon. */
static void
fail_poll (struct kq_feed *feed)
{
  kq_metric_add (&silent_count, 1);
  suspect (feed, feed->source);
  kq_feed_cancel (feed);
  feed->done (feed->arg, NULL, NULL);
}

static void
send_state (struct kq_feed *feed, const struct waiter *waiter)
{
  KqNode__FeedState state = KQ_NODE__FEED_STATE__INIT;
  KqNode__Tell message = KQ_NODE__TELL__INIT;
  char *zones[KQ_SCHED_MAX_ZONES];
  kq_usec now = kq_clock_now ();
  uint8_t *bytes;

  state.offset = feed->state.offset;
  state.version = feed->state.version;
  state.held_us = (uint64_t)(now - waiter->since);
  state.age_us = (uint64_t)(now - feed->state.read_at);
  state.complete = feed->state.read_at != 0;
  state.leaving = feed->leaving;
  for (int i = 0; i < feed->state.zones.count; i++)
    zones[i] = feed->state.zones.names[i];
  state.n_zones = (size_t)feed->state.zones.count;
  state.zones = zones;
  if (feed->packed_version == feed->state.version
      && feed->packed_version > waiter->version)
    {
      state.config.data = feed->packed;
      state.config.len = feed->packed_size;
      kq_metric_add (&sent_bytes, (int64_t)feed->packed_size);
    }
  bytes = malloc (kq_node__feed_state__get_packed_size (&state));
  if (bytes == NULL)
    return;
  message.number = waiter->number;
  message.feed.data = bytes;
  message.feed.len = kq_node__feed_state__pack (&state, bytes);
  kq_hop_send_reply (feed->hop, &waiter->sender, &message);
  free (bytes);
}

static bool
is_due (const struct kq_feed *feed, const struct waiter *waiter, kq_usec now)
{
  return feed->leaving || now - waiter->since >= HOLD_US
         || (feed->state.read_at != 0 && feed->state.offset > waiter->offset);
}

static void
reply_to_waiters (struct kq_feed *feed)
{
  kq_usec now = kq_clock_now ();
  struct waiter *waiter;
  struct waiter *next;

  DL_FOREACH_SAFE (feed->waiters, waiter, next)
  {
    if (is_due (feed, waiter, now))
      {
        send_state (feed, waiter);
        free_waiter (feed, waiter);
      }
  }
}

/* Keeps SIZE bytes at PACKED, compressed, as the configuration VERSION. */
static void
keep_packed (struct kq_feed *feed, const uint8_t *packed, size_t size,
             int64_t version)
{
  uint8_t *copy = malloc (size);

  if (copy == NULL)
    return;
  memcpy (copy, packed, size);
  free (feed->packed);
  feed->packed = copy;
  feed->packed_size = size;
  feed->packed_version = version;
}

void
kq_feed_set_config (struct kq_feed *feed, const struct kq_sched_config *config)
{
  size_t size = 0;
  uint8_t *bytes = kq_sched_config_pack (config, &size);
  size_t bound = ZSTD_compressBound (size);
  uint8_t *packed = malloc (bound);
  size_t packed_size = 0;

  if (bytes != NULL && packed != NULL)
    packed_size
        = ZSTD_compress (packed, bound, bytes, size, COMPRESSION_LEVEL);
  /* Without it, hosts that ask for this version read the store. */
  if (bytes == NULL || packed == NULL || ZSTD_isError (packed_size))
    kq_log (KQ_LOG_WARN, "feed", "configuration not packed", KQ_ENOMEM, NULL);
  else
    keep_packed (feed, packed, packed_size, config->version);
  free (bytes);
  free (packed);
}

void
kq_feed_publish (struct kq_feed *feed, const struct kq_feed_state *state)
{
  feed->state = *state;
  reply_to_waiters (feed);
}

void
kq_feed_handle_poll (struct kq_feed *feed, const struct kq_hop_sender *sender,
                     const KqNode__Ask *message)
{
  KqNode__FeedPoll *poll = kq_node__feed_poll__unpack (NULL, message->body.len,
                                                       message->body.data);
  struct waiter *waiter = calloc (1, sizeof *waiter);

  if (poll != NULL && waiter != NULL)
    {
      *waiter = (struct waiter){ .sender = *sender,
                                 .number = message->number,
                                 .offset = poll->offset,
                                 .version = poll->version,
                                 .since = kq_clock_now () };
      DL_APPEND (feed->waiters, waiter);
      feed->waiter_count++;
      if (is_due (feed, waiter, waiter->since)
          || feed->waiter_count > MAX_WAITERS)
        {
          send_state (feed, waiter);
          free_waiter (feed, waiter);
        }
    }
  else
    free (waiter);
  if (poll != NULL)
    kq_node__feed_poll__free_unpacked (poll, NULL);
}

/* Returns the configuration in MESSAGE, or NULL if it is malformed. */
static struct kq_sched_config *
unpack_config (const KqNode__FeedState *message)
{
  unsigned long long length
      = ZSTD_getFrameContentSize (message->config.data, message->config.len);
  struct kq_sched_config *config = NULL;
  uint8_t *bytes;
  size_t size;

  if (length == ZSTD_CONTENTSIZE_UNKNOWN || length == ZSTD_CONTENTSIZE_ERROR
      || length > MAX_CONFIG_BYTES)
    return NULL;
  bytes = malloc ((size_t)length + 1);
  if (bytes == NULL)
    return NULL;
  size = ZSTD_decompress (bytes, (size_t)length, message->config.data,
                          message->config.len);
  if (!ZSTD_isError (size))
    kq_sched_config_unpack (bytes, size, &config);
  free (bytes);
  if (config != NULL && config->version != message->version)
    {
      kq_sched_config_destroy (config);
      return NULL;
    }
  return config;
}

static bool
read_state (const struct kq_feed *feed, const KqNode__FeedState *message,
            struct kq_feed_state *state)
{
  *state = (struct kq_feed_state){ .offset = message->offset,
                                   .version = message->version };
  if (message->leaving || message->offset < 0
      || message->age_us > (uint64_t)INT64_MAX / 4
      || message->held_us > (uint64_t)INT64_MAX / 4)
    return false;
  /* What the message took on its way counts as age. */
  if (message->complete)
    state->read_at
        = feed->sent_at + (kq_usec)message->held_us - (kq_usec)message->age_us;
  for (size_t i = 0; i < message->n_zones; i++)
    if (kq_sched_zones_add (&state->zones, message->zones[i]) != 0)
      return false;
  return true;
}

/* Handles a usable reply; returns false if it is none. */
static bool
accept_state (struct kq_feed *feed, const KqNode__FeedState *message)
{
  struct kq_feed_state state;
  struct kq_sched_config *config = NULL;

  if (!read_state (feed, message, &state))
    return false;
  if (state.version > feed->polled_version)
    {
      config = unpack_config (message);
      if (config == NULL)
        return false;
      kq_metric_add (&received_bytes, (int64_t)message->config.len);
      keep_packed (feed, message->config.data, message->config.len,
                   message->version);
    }
  kq_feed_cancel (feed);
  feed->done (feed->arg, &state, config);
  return true;
}

void
kq_feed_handle_reply (struct kq_feed *feed, const KqNode__Tell *message)
{
  KqNode__FeedState *state;

  if (feed->source[0] == '\0' || message->number != feed->number)
    return;
  state = kq_node__feed_state__unpack (NULL, message->feed.len,
                                       message->feed.data);
  if (state == NULL || !accept_state (feed, state))
    fail_poll (feed);
  if (state != NULL)
    kq_node__feed_state__free_unpacked (state, NULL);
}

void
kq_feed_tick (struct kq_feed *feed)
{
  reply_to_waiters (feed);
  if (feed->source[0] == '\0'
      || kq_clock_now () - feed->sent_at < REPLY_TIMEOUT_US)
    return;
  /* This process itself may have been late. */
  kq_hop_receive (feed->hop);
  if (feed->source[0] != '\0'
      && kq_clock_now () - feed->sent_at >= REPLY_TIMEOUT_US)
    fail_poll (feed);
}

void
kq_feed_leave (struct kq_feed *feed)
{
  feed->leaving = true;
  reply_to_waiters (feed);
}

#include "node/watch.h"

#include <inttypes.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/err.h"
#include "log/log.h"
#include "node/feed.h"
#include "node/zones.h"
#include "platform/site.h"

/* How long a read may wait at the store for a new record. The owner's
   heartbeats are more frequent than TERM_WAIT_MS. A dead connection to the
   store must be detected well within 2.5 s, the time in which a new
   configuration must take effect; other hosts may rely on this one for it
   (node/feed.c), so that it must know sooner. */
#define TERM_WAIT_MS 500
#define CONFIG_WAIT_MS 1000
#define SOURCE_CONFIG_WAIT_MS 500

/* An owner starts nothing once its last complete read is 2.2 s old. */
#define MAX_CONFIG_AGE_US (2000 * KQ_USEC_PER_MSEC)

/* The store's timers may run out earlier than ours by this. */
#define WAIT_TOLERANCE_US (50 * KQ_USEC_PER_MSEC)

/* Interval between reads of the term by a host that need not follow it
   closely. */
#define TERM_READ_INTERVAL_SEC 1.0

/* Minimum time between two reads that are made early. */
#define EARLY_READ_INTERVAL_US (200 * KQ_USEC_PER_MSEC)

/* Delay before a failed read is repeated. */
#define RETRY_DELAY_SEC 0.1

/* The delay before a failed read of the operator's topic doubles up to this:
   reads that are repeated in step keep a busy store busy. */
#define MAX_CONFIG_RETRY_SEC 0.8

/* Each delay is longer by up to this many thousandths of it, at random. */
#define RETRY_JITTER_PERMILLE 500

/* Delay of the first read of the operator's topic: the list of hosts, which
   tells whom to ask instead, has been read by then. */
#define FIRST_CONFIG_READ_SEC 0.1

/* Interval at which the term is checked for a record to append. */
#define APPEND_CHECK_SEC 0.04

#define APPEND_TIMEOUT_US (500 * KQ_USEC_PER_MSEC)

struct kq_watch
{
  struct ev_loop *loop;
  struct kq_store *store;
  struct kq_term *term;
  struct kq_feed *feed; /* NULL: all is read from the store */
  struct kq_watch_handler handler;
  ev_timer term_timer;
  kq_usec early_read_at;
  ev_timer config_retry;
  double config_retry_sec; /* delay after the last failure; 0: none */
  ev_timer append_timer;
  kq_usec last_reply_at;
  bool store_unreachable; /* the last read got no reply */
  int64_t config_offset;
  bool config_newest_read;
  struct kq_store_cursor
      config_cursor;          /* of the next page of newest records */
  kq_usec config_pages_since; /* when the first of them was asked for */
  kq_usec config_read_at;     /* all records until then were read */
  kq_usec config_way; /* to the store and back, when it was last known */
  int config_wait_ms; /* for which the last read was to wait */
  struct kq_zones zones;
  int64_t version; /* of the configuration; -1: none was read */
};

static void read_term (struct kq_watch *watch);
static void read_config (struct kq_watch *watch);
static void read_newest_config (struct kq_watch *watch);
static void follow_config (struct kq_watch *watch);

static void
track_store_state (struct kq_watch *watch, int err)
{
  bool has_replied = err == 0 || err == KQ_ELOG_RETENTION;

  if (has_replied)
    watch->last_reply_at = kq_clock_now ();
  if (has_replied == !watch->store_unreachable)
    return;
  watch->store_unreachable = !has_replied;
  kq_log (KQ_LOG_WARN, "watch",
          has_replied ? "store reachable again" : "store unreachable", err,
          NULL);
}

static void
report_append (struct kq_watch *watch,
               const struct kq_store_append_result *result)
{
  struct kq_term_append_result outcome
      = { .outcome = KQ_TERM_FAILED,
          .expected_sequence = result->expected_sequence };

  if (result->err == 0)
    outcome.outcome = KQ_TERM_STORED;
  else if (result->err == KQ_EEXIST && result->refusal == KQ_STORE_FENCED)
    outcome.outcome = KQ_TERM_FENCED;
  else if (result->err == KQ_EEXIST
           && result->refusal == KQ_STORE_SEQUENCE_MISMATCH)
    outcome.outcome = KQ_TERM_SEQUENCE;
  kq_term_append_done (watch->term, kq_clock_now (), &outcome);
}

static void
on_appended (void *arg, const struct kq_store_append_result *result)
{
  struct kq_watch *watch = arg;

  report_append (watch, result);
  watch->handler.on_append (watch->handler.arg, result);
  watch->handler.on_term (watch->handler.arg);
}

static void
log_append (const struct kq_term_append *append)
{
  char number[24];

  if (append->kind == KQ_TERM_HEARTBEAT)
    return;
  snprintf (number, sizeof number, "%" PRId64, append->at);
  kq_log (KQ_LOG_INFO, "term",
          append->kind == KQ_TERM_CLAIM ? "claim"
          : append->kind == KQ_TERM_BID ? "bid"
                                        : "release",
          0, "at", number, NULL);
}

/* Fills APPEND with the record to append now, if any. An owner that is to
   release its term stops acting first. */
static bool
next_append (struct kq_watch *watch, struct kq_term_append *append)
{
  if (kq_term_next (watch->term, kq_clock_now (), append))
    return true;
  if (!kq_term_awaits_idle (watch->term))
    return false;
  watch->handler.on_term (watch->handler.arg);
  return kq_term_next (watch->term, kq_clock_now (), append);
}

static void
append_term (struct kq_watch *watch)
{
  struct kq_term_append append;
  struct kq_store_condition condition;
  struct kq_store_batch batch = { 0 };
  struct kq_store_append_result failure = { .err = KQ_ENOMEM };

  if (!next_append (watch, &append))
    return;
  log_append (&append);
  condition = (struct kq_store_condition){ .expected_end = append.at,
                                           .epoch = append.epoch,
                                           .sequence = append.sequence };
  if (kq_store_batch_add (&batch, NULL, append.bytes, append.size) != 0)
    report_append (watch, &failure);
  else
    kq_store_append (watch->store, KQ_STORE_TERM, &batch, &condition,
                     APPEND_TIMEOUT_US, on_appended, watch);
  kq_store_batch_clear (&batch);
}

static void
on_append_timer (struct ev_loop *loop, ev_timer *timer, int events)
{
  append_term (timer->data);
}

static void
schedule_term_read (struct kq_watch *watch, double seconds)
{
  ev_timer_set (&watch->term_timer, seconds, 0);
  ev_timer_start (watch->loop, &watch->term_timer);
}

static void
on_term_rows (void *arg, const struct kq_store_read_result *result)
{
  struct kq_watch *watch = arg;
  kq_usec now = kq_clock_now ();

  track_store_state (watch, result->err);
  if (result->err == KQ_ELOG_RETENTION)
    {
      kq_term_note_read (watch->term, now, result->sent_at, result->first);
      read_term (watch);
      return;
    }
  if (result->err != 0)
    {
      schedule_term_read (watch, RETRY_DELAY_SEC);
      return;
    }
  for (size_t i = 0; i < result->count; i++)
    kq_term_apply (watch->term, now, result->rows[i].offset,
                   result->rows[i].value, result->rows[i].size);
  if (kq_term_offset (watch->term) >= result->end)
    kq_term_note_read (watch->term, now, result->sent_at, result->end);
  watch->handler.on_term (watch->handler.arg);
  append_term (watch);
  if (kq_term_follows_closely (watch->term, now))
    read_term (watch);
  else
    schedule_term_read (watch, TERM_READ_INTERVAL_SEC);
}

static void
read_term (struct kq_watch *watch)
{
  /* The first read measures the round trip to the store, so it does not wait
     for new records. */
  bool wait = kq_term_is_caught_up (watch->term)
              && kq_term_follows_closely (watch->term, kq_clock_now ());

  kq_store_read (watch->store, KQ_STORE_TERM, kq_term_offset (watch->term),
                 wait ? TERM_WAIT_MS : 0, on_term_rows, watch);
}

/* Takes over CONFIG, whose ownership passes on, unless it is not newer than
   the known one; returns whether it did. */
static bool
apply_config (struct kq_watch *watch, struct kq_sched_config *config)
{
  char number[24];

  if (config->version <= watch->version)
    {
      kq_sched_config_destroy (config);
      return false;
    }
  watch->version = config->version;
  snprintf (number, sizeof number, "%" PRId64, config->version);
  kq_log (KQ_LOG_INFO, "watch", "configuration applied", 0, "version", number,
          NULL);
  watch->handler.on_config (watch->handler.arg, config);
  return true;
}

/* Applies the document in ROW if it is a newer configuration. */
static bool
apply_document (struct kq_watch *watch, const struct kq_store_row *row)
{
  struct kq_sched_config *config;
  int err = kq_site_config_read (row->value, row->size, &config);

  if (err != 0)
    {
      kq_log (KQ_LOG_WARN, "watch", "invalid configuration ignored", err,
              NULL);
      return false;
    }
  if (watch->feed != NULL && config->version > watch->version)
    kq_feed_set_config (watch->feed, config);
  return apply_config (watch, config);
}

static bool
holds_config (const struct kq_store_row *row)
{
  static const char key[] = KQ_SITE_CONFIG_KEY;

  return row->key_size == strlen (key)
         && memcmp (row->key, key, row->key_size) == 0 && row->size > 0;
}

/* Applies the last valid configuration in RESULT; earlier ones need not be
   parsed. */
static void
apply_newest_config (struct kq_watch *watch,
                     const struct kq_store_read_result *result)
{
  for (size_t i = result->count; i-- > 0;)
    if (holds_config (&result->rows[i])
        && apply_document (watch, &result->rows[i]))
      return;
}

static struct kq_feed_state
feed_state (const struct kq_watch *watch)
{
  return (struct kq_feed_state){ .offset = watch->config_offset,
                                 .version = watch->version,
                                 .read_at = watch->config_read_at,
                                 .zones = watch->zones.evacuated };
}

/* Tells hosts that ask this one what is known now. */
static void
publish (struct kq_watch *watch)
{
  struct kq_feed_state state = feed_state (watch);

  if (watch->feed != NULL)
    kq_feed_publish (watch->feed, &state);
}

/* Returns until when the answer RESULT to a read of changes is complete.  One
   without records tells that there were none while the store waited for
   them. */
static kq_usec
complete_until (struct kq_watch *watch,
                const struct kq_store_read_result *result)
{
  kq_usec elapsed = kq_clock_now () - result->sent_at;
  kq_usec waited = watch->config_wait_ms * KQ_USEC_PER_MSEC;

  if (result->count > 0 || elapsed < waited - WAIT_TOLERANCE_US)
    return result->sent_at;
  watch->config_way = elapsed > waited ? elapsed - waited : 0;
  return waited > WAIT_TOLERANCE_US
             ? result->sent_at + waited - WAIT_TOLERANCE_US
             : result->sent_at;
}

/* Reports that all records which the topic held at READ_AT were applied. */
static void
complete_config_read (struct kq_watch *watch, kq_usec read_at)
{
  watch->config_read_at = read_at;
  kq_zones_complete (&watch->zones);
  watch->handler.on_zones (watch->handler.arg, &watch->zones.evacuated,
                           read_at);
}

/* Reads again after a delay that hosts which failed together do not share. */
static void
retry_config (struct kq_watch *watch)
{
  double delay = watch->config_retry_sec * 2;

  if (delay < RETRY_DELAY_SEC)
    delay = RETRY_DELAY_SEC;
  if (delay > MAX_CONFIG_RETRY_SEC)
    delay = MAX_CONFIG_RETRY_SEC;
  watch->config_retry_sec = delay;
  ev_timer_set (
      &watch->config_retry,
      delay * (1 + randombytes_uniform (RETRY_JITTER_PERMILLE) / 1000.0), 0);
  ev_timer_start (watch->loop, &watch->config_retry);
}

/* Handles what every read of the operator's topic has in common; returns false
   if it brought no records. */
static bool
note_config_read (struct kq_watch *watch,
                  const struct kq_store_read_result *result)
{
  track_store_state (watch, result->err);
  if (result->err != 0 && result->err != KQ_ELOG_RETENTION)
    retry_config (watch);
  else
    watch->config_retry_sec = 0;
  return result->err == 0;
}

static void
on_config_changes (void *arg, const struct kq_store_read_result *result)
{
  struct kq_watch *watch = arg;

  if (!note_config_read (watch, result))
    {
      if (result->err == KQ_ELOG_RETENTION)
        read_newest_config (watch);
      return;
    }
  apply_newest_config (watch, result);
  for (size_t i = 0; i < result->count; i++)
    {
      kq_zones_apply (&watch->zones, &result->rows[i]);
      watch->config_offset = result->rows[i].offset + 1;
    }
  if (watch->config_offset >= result->end)
    complete_config_read (watch, complete_until (watch, result));
  publish (watch);
  if (watch->config_offset >= result->end)
    follow_config (watch);
  else
    read_config (watch);
}

static void
on_newest_config (void *arg, const struct kq_store_read_result *result)
{
  struct kq_watch *watch = arg;

  if (!note_config_read (watch, result))
    {
      if (result->err == KQ_ELOG_RETENTION)
        read_newest_config (watch);
      return;
    }
  if (!watch->config_cursor.is_set)
    {
      watch->config_offset = result->end;
      watch->config_pages_since = result->sent_at;
    }
  apply_newest_config (watch, result);
  for (size_t i = 0; i < result->count; i++)
    if (!result->rows[i].undecoded)
      kq_zones_apply (&watch->zones, &result->rows[i]);
  watch->config_cursor = result->next;
  watch->config_newest_read = !result->more;
  if (watch->config_newest_read)
    complete_config_read (watch, watch->config_pages_since);
  publish (watch);
  if (watch->config_newest_read)
    follow_config (watch);
  else
    read_config (watch);
}

/* Reads the newest record of each key, from the first page on. */
static void
read_newest_config (struct kq_watch *watch)
{
  watch->config_newest_read = false;
  watch->config_cursor.is_set = false;
  kq_zones_begin_newest (&watch->zones);
  read_config (watch);
}

/* Returns for how long the next read may wait at the store, so that its answer
   comes before what is known is MAX_CONFIG_AGE_US old. */
static int
config_wait_ms (const struct kq_watch *watch)
{
  kq_usec age = kq_clock_now () - watch->config_read_at;
  kq_usec left
      = (MAX_CONFIG_AGE_US - age - watch->config_way) / KQ_USEC_PER_MSEC;
  int max_wait = watch->feed != NULL ? SOURCE_CONFIG_WAIT_MS : CONFIG_WAIT_MS;

  if (left < 0)
    return 0;
  return left < max_wait ? (int)left : max_wait;
}

static void
read_config (struct kq_watch *watch)
{
  watch->config_wait_ms = config_wait_ms (watch);
  if (watch->config_newest_read)
    kq_store_read (watch->store, KQ_STORE_CONFIG, watch->config_offset,
                   watch->config_wait_ms, on_config_changes, watch);
  else
    kq_store_read_newest (watch->store, KQ_STORE_CONFIG, &watch->config_cursor,
                          on_newest_config, watch);
}

/* Asks another host for what is new, or reads the store if there is none to
   ask. */
static void
follow_config (struct kq_watch *watch)
{
  struct kq_feed_state state = feed_state (watch);

  if (watch->feed == NULL || !kq_feed_poll (watch->feed, &state))
    read_config (watch);
}

void
kq_watch_handle_feed (struct kq_watch *watch,
                      const struct kq_feed_state *state,
                      struct kq_sched_config *config)
{
  if (state == NULL)
    {
      read_config (watch);
      return;
    }
  if (config != NULL)
    apply_config (watch, config);
  if (state->read_at != 0 && state->offset >= watch->config_offset)
    {
      watch->config_newest_read = true;
      watch->config_offset = state->offset;
      kq_zones_adopt (&watch->zones, &state->zones, state->offset);
      if (state->read_at > watch->config_read_at)
        complete_config_read (watch, state->read_at);
      publish (watch);
    }
  if (kq_feed_is_recent (watch->feed, watch->config_read_at))
    follow_config (watch);
  else
    read_config (watch);
}

void
kq_watch_read_store (struct kq_watch *watch)
{
  if (watch->feed != NULL && kq_feed_cancel (watch->feed))
    read_config (watch);
}

void
kq_watch_set_feed (struct kq_watch *watch, struct kq_feed *feed)
{
  watch->feed = feed;
}

static void
on_term_timer (struct ev_loop *loop, ev_timer *timer, int events)
{
  read_term (timer->data);
}

static void
on_config_retry (struct ev_loop *loop, ev_timer *timer, int events)
{
  struct kq_watch *watch = timer->data;

  /* A host that has failed to read the store asks another if it can. */
  follow_config (watch);
}

struct kq_watch *
kq_watch_create (struct ev_loop *loop, struct kq_store *store,
                 struct kq_term *term, const struct kq_watch_handler *handler)
{
  struct kq_watch *watch = calloc (1, sizeof *watch);

  if (watch == NULL)
    return NULL;
  watch->loop = loop;
  watch->store = store;
  watch->term = term;
  watch->handler = *handler;
  watch->version = -1;
  ev_timer_init (&watch->term_timer, on_term_timer, 0, 0);
  ev_timer_init (&watch->config_retry, on_config_retry, RETRY_DELAY_SEC, 0);
  ev_timer_init (&watch->append_timer, on_append_timer, APPEND_CHECK_SEC,
                 APPEND_CHECK_SEC);
  watch->term_timer.data = watch;
  watch->config_retry.data = watch;
  watch->append_timer.data = watch;
  return watch;
}

void
kq_watch_destroy (struct kq_watch *watch)
{
  if (watch == NULL)
    return;
  ev_timer_stop (watch->loop, &watch->term_timer);
  ev_timer_stop (watch->loop, &watch->config_retry);
  ev_timer_stop (watch->loop, &watch->append_timer);
  free (watch);
}

void
kq_watch_start (struct kq_watch *watch)
{
  ev_timer_start (watch->loop, &watch->append_timer);
  read_term (watch);
  kq_zones_begin_newest (&watch->zones);
  if (watch->feed == NULL)
    {
      read_config (watch);
      return;
    }
  ev_timer_set (&watch->config_retry, FIRST_CONFIG_READ_SEC, 0);
  ev_timer_start (watch->loop, &watch->config_retry);
}

kq_usec
kq_watch_last_reply_at (const struct kq_watch *watch)
{
  return watch->last_reply_at;
}

void
kq_watch_suspect_owner (struct kq_watch *watch)
{
  kq_usec now = kq_clock_now ();

  kq_term_suspect_owner (watch->term, now);
  if (!ev_is_active (&watch->term_timer)
      || now - watch->early_read_at < EARLY_READ_INTERVAL_US)
    return;
  watch->early_read_at = now;
  ev_timer_stop (watch->loop, &watch->term_timer);
  read_term (watch);
}

/* Reads of the operator's topic. Guards against requests to evacuate a zone
 * that are missed on a later page, kept after they were taken back, or taken
 * for read when they were not.  The test answers in the place of the store.
 */
#include <ev.h>
#include <string.h>

#include "base/err.h"
#include "metrics/metrics.h"
#include "node/watch.h"
#include "node/zones.h"
#include "t/kqtest.h"
#include "t/lib-cursor.h"

static struct
{
  bool newest; /* false: a read of changes */
  struct kq_store_cursor after;
  int64_t from;
  int wait_ms;
  kq_store_read_done *done;
  void *arg;
} pending; /* read of the operator's topic */

static struct kq_term *term;
static struct kq_sched_zones zones;
static kq_usec zones_read_at;
static int reports;
static int configs;

int
kq_store_batch_add (struct kq_store_batch *batch, const char *key,
                    const void *value, size_t size)
{
  return 0;
}

void
kq_store_batch_clear (struct kq_store_batch *batch)
{
}

void
kq_store_append (struct kq_store *store, enum kq_store_topic topic,
                 const struct kq_store_batch *batch,
                 const struct kq_store_condition *condition, kq_usec timeout,
                 kq_store_append_done *done, void *arg)
{
}

void
kq_store_read (struct kq_store *store, enum kq_store_topic topic, int64_t from,
               int wait_ms, kq_store_read_done *done, void *arg)
{
  if (topic != KQ_STORE_CONFIG)
    return;
  pending.newest = false;
  pending.from = from;
  pending.wait_ms = wait_ms;
  pending.done = done;
  pending.arg = arg;
}

void
kq_store_read_newest (struct kq_store *store, enum kq_store_topic topic,
                      const struct kq_store_cursor *after,
                      kq_store_read_done *done, void *arg)
{
  kq_store_read (store, topic, 0, 0, done, arg);
  pending.newest = true;
  pending.after = *after;
}

static void
on_config (void *arg, struct kq_sched_config *config)
{
  configs++;
  kq_sched_config_destroy (config);
}

static void
on_zones (void *arg, const struct kq_sched_zones *read, kq_usec read_at)
{
  zones = *read;
  zones_read_at = read_at;
  reports++;
}

static struct kq_watch *
start_watch (void)
{
  struct kq_watch_handler handler
      = { .on_config = on_config, .on_zones = on_zones };
  struct kq_watch *watch;

  term = kq_term_create ("h", "127.0.0.1:1", "i", 1, kq_clock_now ());
  watch = kq_watch_create (EV_DEFAULT, NULL, term, &handler);
  reports = 0;
  kq_watch_start (watch);
  return watch;
}

struct row
{
  int64_t offset;
  const char *key;
  const char *value;
};

/* Answers a read that was sent AGE_MS ago with the ROWS, up to one without a
   key. */
static void
answer (const struct row *rows, int64_t end, bool more, int64_t age_ms)
{
  struct kq_store_row store_rows[4];
  struct kq_store_read_result result
      = { .end = end,
          .more = more,
          .rows = store_rows,
          .sent_at = kq_clock_now () - age_ms * KQ_USEC_PER_MSEC };

  for (; rows->key != NULL; rows++)
    store_rows[result.count++]
        = (struct kq_store_row){ .offset = rows->offset,
                                 .key = rows->key,
                                 .key_size = strlen (rows->key),
                                 .value = (const uint8_t *)rows->value,
                                 .size = strlen (rows->value) };
  result.next = cursor_after (store_rows, result.count);
  pending.done (pending.arg, &result);
}

static void
fail (int err)
{
  struct kq_store_read_result result = { .err = err };

  pending.done (pending.arg, &result);
}

/* Whether exactly the zones in NAMES, one letter each, are under
   evacuation. */
static bool
are_zones (const char *names)
{
  for (size_t i = 0; i < strlen (names); i++)
    if (kq_sched_zones_find (&zones, (const char[]){ names[i], '\0' }) < 0)
      return false;
  return zones.count == (int)strlen (names);
}

static bool
is_malformed_count (int count)
{
  static char page[65536];
  char line[64];

  snprintf (line, sizeof line, "\nkq_malformed_evacuations_total %d\n", count);
  return kq_metric_print (page, sizeof page) > 0
         && strstr (page, line) != NULL;
}

/* The zones and the configuration may be on any page.  What was added since
   the first page was read follows, and after a retention error the newest
   records count, since that which took a zone back may be gone.  A malformed
   record changes nothing and counts once. */
static void
test_records (void)
{
  static const struct row first[]
      = { { 3, "a", "{}" }, { 8, "evacuate/a", "{}" }, { 0 } };
  static const struct row second[]
      = { { 7, "config", "{\"version\":1,\"routes\":[]}" },
          { 2, "evacuate/b", "{}" },
          { 0 } };
  static const struct row changes[] = { { 9, "evacuate/a", "" },
                                        { 10, "evacuate/b", "now" },
                                        { 11, "evacuate/c", "7" },
                                        { 0 } };
  static const struct row newest[] = { { 10, "evacuate/b", "now" },
                                       { 11, "evacuate/c", "7" },
                                       { 12, "evacuate/d", "{}" },
                                       { 0 } };
  struct kq_watch *watch = start_watch ();

  kq_zones_register_metrics ();
  CU_ASSERT_TRUE (pending.newest && cursor_is (&pending.after, ""));
  answer (first, 9, true, 0);
  CU_ASSERT_EQUAL (reports, 0);
  CU_ASSERT_TRUE (cursor_is (&pending.after, "evacuate/a"));
  answer (second, 12, false, 0);
  CU_ASSERT (are_zones ("ab"));
  CU_ASSERT_EQUAL (configs, 1);
  CU_ASSERT_FALSE (pending.newest);
  CU_ASSERT_EQUAL (pending.from, 9);
  answer (changes, 12, false, 0);
  CU_ASSERT (are_zones ("b") && is_malformed_count (2));
  fail (KQ_ELOG_RETENTION);
  CU_ASSERT_TRUE (pending.newest && cursor_is (&pending.after, ""));
  answer (newest, 13, false, 0);
  CU_ASSERT (are_zones ("bd") && is_malformed_count (2));
  fail (KQ_ELOG_RETENTION);
  answer (&newest[2], 13, false, 0);
  CU_ASSERT (are_zones ("d"));
  kq_watch_destroy (watch);
  kq_term_destroy (term);
}

/* Returns how old what is known is, in ms. */
static int64_t
known_age_ms (void)
{
  return (kq_clock_now () - zones_read_at) / KQ_USEC_PER_MSEC;
}

/* An answer without records after the whole wait tells that there were none in
   that time; any other one tells what held when it was asked for, and one that
   is not complete or failed tells nothing.  The next wait is shorter by that
   and by the way to the store and back. */
static void
test_age_of_reads (void)
{
  static const struct row rows[] = { { 1, "evacuate/a", "{}" }, { 0 } };
  struct kq_watch *watch = start_watch ();

  answer (&rows[1], 1, false, 0);
  CU_ASSERT_EQUAL (pending.wait_ms, 1000);
  answer (&rows[1], 1, false, 1080);
  CU_ASSERT (known_age_ms () < 300);
  CU_ASSERT_EQUAL (pending.wait_ms, 1000);
  answer (&rows[1], 1, false, 600);
  CU_ASSERT (known_age_ms () >= 600);
  answer (rows, 2, false, 1200);
  CU_ASSERT (known_age_ms () >= 1200);
  CU_ASSERT (pending.wait_ms > 500 && pending.wait_ms <= 720);
  answer (rows, 5, false, 0);
  fail (KQ_ELOG_DOWN);
  pending.wait_ms = -1;
  while (pending.wait_ms < 0)
    ev_run (EV_DEFAULT, EVRUN_ONCE);
  CU_ASSERT_EQUAL (reports, 4);
  CU_ASSERT (pending.wait_ms <= 620);
  answer (rows, 2, false, 2100);
  CU_ASSERT_EQUAL (pending.wait_ms, 0);
  kq_watch_destroy (watch);
  kq_term_destroy (term);
}

static const struct kq_test tests[] = {
  { "records", test_records },
  { "age of reads", test_age_of_reads },
};

KQ_TEST_MAIN ("test-watch", tests)

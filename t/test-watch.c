/* Reads of the operator's topic. Guards against requests to evacuate a zone
 * that are missed on a later page, kept after they were taken back, or taken
 * for read when they were not.  The store is replaced by one that the test
 * answers for.
 */
#include <ev.h>
#include <stdlib.h>
#include <string.h>

#include "base/err.h"
#include "metrics/metrics.h"
#include "node/watch.h"
#include "node/zones.h"
#include "t/kqtest.h"

/* The read of the operator's topic that waits for its answer. */
struct pending_read
{
  bool newest;
  int64_t from;
  int wait_ms;
  char after[256];
  kq_store_read_done *done;
  void *arg;
};

static struct pending_read pending;

struct site
{
  struct ev_loop *loop;
  struct kq_term *term;
  struct kq_watch *watch;
  struct kq_sched_zones zones;
  kq_usec read_at;
  int reports;
  int configs;
};

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
  if (topic == KQ_STORE_CONFIG)
    pending = (struct pending_read){
      .from = from, .wait_ms = wait_ms, .done = done, .arg = arg
    };
}

void
kq_store_read_newest (struct kq_store *store, enum kq_store_topic topic,
                      const char *after, kq_store_read_done *done, void *arg)
{
  pending = (struct pending_read){ .newest = true, .done = done, .arg = arg };
  snprintf (pending.after, sizeof pending.after, "%s", after);
}

static void
on_term (void *arg)
{
}

static void
on_config (void *arg, struct kq_sched_config *config)
{
  ((struct site *)arg)->configs++;
  kq_sched_config_destroy (config);
}

static void
on_zones (void *arg, const struct kq_sched_zones *zones, kq_usec read_at)
{
  struct site *site = arg;

  site->zones = *zones;
  site->read_at = read_at;
  site->reports++;
}

static struct site *
start_site (void)
{
  struct site *site = calloc (1, sizeof *site);
  struct kq_watch_handler handler = { .arg = site,
                                      .on_term = on_term,
                                      .on_config = on_config,
                                      .on_zones = on_zones };

  if (site == NULL)
    abort ();
  site->loop = ev_loop_new (EVFLAG_AUTO);
  site->term = kq_term_create ("h", "127.0.0.1:1", "i", 1, kq_clock_now ());
  site->watch = kq_watch_create (site->loop, NULL, site->term, &handler);
  kq_watch_start (site->watch);
  return site;
}

static void
stop_site (struct site *site)
{
  kq_watch_destroy (site->watch);
  kq_term_destroy (site->term);
  ev_loop_destroy (site->loop);
  free (site);
}

static struct kq_store_row
row (int64_t offset, const char *key, const char *value)
{
  return (struct kq_store_row){ .offset = offset,
                                .key = key,
                                .key_size = strlen (key),
                                .value = (const uint8_t *)value,
                                .size = strlen (value) };
}

/* Answers the read in flight, which was sent AGE before now. */
static void
answer (const struct kq_store_row *rows, size_t count, int64_t end, bool more,
        kq_usec age)
{
  struct pending_read read = pending;
  struct kq_store_read_result result = { .end = end,
                                         .more = more,
                                         .rows = rows,
                                         .count = count,
                                         .sent_at = kq_clock_now () - age };

  read.done (read.arg, &result);
}

static void
fail (int err)
{
  struct pending_read read = pending;
  struct kq_store_read_result result = { .err = err };

  read.done (read.arg, &result);
}

static bool
has_zone (const struct site *site, const char *zone)
{
  return kq_sched_zones_find (&site->zones, zone) >= 0;
}

/* The zones and the configuration may be on any page. */
static void
test_pages (void)
{
  const struct kq_store_row first[]
      = { row (3, "a", "{}"), row (8, "evacuate/a", "{}") };
  const struct kq_store_row second[]
      = { row (7, "config", "{\"version\":1,\"routes\":[]}"),
          row (2, "evacuate/b", "{}") };
  const struct kq_store_row change = row (9, "evacuate/a", "");
  struct site *site = start_site ();

  CU_ASSERT (pending.newest);
  CU_ASSERT_STRING_EQUAL (pending.after, "");
  answer (first, 2, 9, true, 0);
  CU_ASSERT_EQUAL (site->reports, 0);
  CU_ASSERT (pending.newest);
  CU_ASSERT_STRING_EQUAL (pending.after, "evacuate/a");
  answer (second, 2, 12, false, 0);
  CU_ASSERT_EQUAL (site->reports, 1);
  CU_ASSERT_EQUAL (site->configs, 1);
  CU_ASSERT (has_zone (site, "a") && has_zone (site, "b"));
  /* What was added since the first page was read follows. */
  CU_ASSERT_FALSE (pending.newest);
  CU_ASSERT_EQUAL (pending.from, 9);
  answer (&change, 1, 10, false, 0);
  CU_ASSERT (!has_zone (site, "a") && has_zone (site, "b"));
  stop_site (site);
}

/* The record that took the zone back may have been deleted. */
static void
test_retention (void)
{
  const struct kq_store_row rows[]
      = { row (1, "evacuate/a", "{}"), row (2, "evacuate/b", "{}") };
  const struct kq_store_row newest[]
      = { row (2, "evacuate/b", "{}"), row (9, "evacuate/c", "{}") };
  struct site *site = start_site ();

  answer (rows, 2, 3, false, 0);
  fail (KQ_ELOG_RETENTION);
  CU_ASSERT (pending.newest);
  CU_ASSERT_STRING_EQUAL (pending.after, "");
  CU_ASSERT (has_zone (site, "a"));
  answer (newest, 2, 10, false, 0);
  CU_ASSERT (!has_zone (site, "a") && has_zone (site, "b")
             && has_zone (site, "c"));
  stop_site (site);
}

static int
count_malformed (void)
{
  static char page[65536];
  const char *at;

  kq_metric_print (page, sizeof page);
  at = strstr (page, "\nkq_malformed_evacuations_total ");
  return at != NULL ? atoi (at + strlen ("\nkq_malformed_evacuations_total "))
                    : -1;
}

/* A malformed record changes nothing, and counts once however often it is
   read. */
static void
test_malformed (void)
{
  const struct kq_store_row rows[] = { row (1, "evacuate/a", "{}") };
  const struct kq_store_row malformed[]
      = { row (2, "evacuate/a", "now"), row (3, "evacuate/b", "7"),
          row (4, "evacuate/", "{}") };
  struct site *site = start_site ();

  kq_zones_register_metrics ();
  answer (rows, 1, 2, false, 0);
  answer (malformed, 3, 5, false, 0);
  CU_ASSERT (has_zone (site, "a") && !has_zone (site, "b"));
  CU_ASSERT_EQUAL (site->zones.count, 1);
  CU_ASSERT_EQUAL (count_malformed (), 3);
  fail (KQ_ELOG_RETENTION);
  answer (malformed, 3, 5, false, 0);
  CU_ASSERT (has_zone (site, "a") && !has_zone (site, "b"));
  CU_ASSERT_EQUAL (count_malformed (), 3);
  stop_site (site);
}

/* A read that failed tells nothing, and the next one is answered at once. */
static void
test_failed_reads (void)
{
  struct site *site = start_site ();
  kq_usec since;

  answer (NULL, 0, 1, false, 0);
  CU_ASSERT_EQUAL (site->reports, 1);
  CU_ASSERT_EQUAL (pending.wait_ms, 1000);
  since = site->read_at;
  fail (KQ_ELOG_DOWN);
  ev_run (site->loop, EVRUN_ONCE);
  while (pending.wait_ms != 0)
    ev_run (site->loop, EVRUN_ONCE);
  CU_ASSERT_EQUAL (site->reports, 1);
  CU_ASSERT_EQUAL (site->read_at, since);
  answer (NULL, 0, 1, false, 0);
  CU_ASSERT_EQUAL (site->reports, 2);
  CU_ASSERT_EQUAL (pending.wait_ms, 1000);
  stop_site (site);
}

/* Returns how old what was read is, in ms, after an answer with COUNT rows to
   a read that was sent AGE_MS ago. */
static int64_t
age_after (struct site *site, const struct kq_store_row *rows, size_t count,
           int64_t end, int64_t age_ms)
{
  answer (rows, count, end, false, age_ms * KQ_USEC_PER_MSEC);
  return (kq_clock_now () - site->read_at) / KQ_USEC_PER_MSEC;
}

/* An answer without records after the whole wait tells that there were none in
   that time; any other one tells only what held when it was asked for. */
static void
test_age_of_reads (void)
{
  const struct kq_store_row change = row (1, "evacuate/a", "{}");
  struct site *site = start_site ();

  answer (NULL, 0, 1, false, 0);
  CU_ASSERT (age_after (site, NULL, 0, 1, 1080) < 200);
  CU_ASSERT (age_after (site, NULL, 0, 1, 600) >= 600);
  CU_ASSERT (age_after (site, &change, 1, 2, 1080) >= 1080);
  /* Records remain: the read is not complete. */
  CU_ASSERT (age_after (site, &change, 1, 5, 0) >= 1080);
  stop_site (site);
}

static const struct kq_test tests[] = {
  { "pages", test_pages },
  { "retention", test_retention },
  { "malformed requests", test_malformed },
  { "failed reads", test_failed_reads },
  { "age of reads", test_age_of_reads },
};

KQ_TEST_MAIN ("test-watch", tests)

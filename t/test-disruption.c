/* Stops of long-running tasks. Guards against a step that loses more tasks at
 * once than max_unavailable, counting those that are away for other causes.
 */
#include <stdlib.h>

#include "t/kqtest.h"
#include "t/lib-zones.h"

/* Four tasks that run for long, two each at a worker in zones "a" and "c", and
   room for two each at two workers in "b". */
static struct tz_site *
start_site (int max_unavailable)
{
  const struct kq_sched_step step = { .demand = { 1000, 10, 0 },
                                      .est_ms = 800,
                                      .long_running = true,
                                      .max_per_worker = 2,
                                      .max_unavailable = max_unavailable };
  struct tz_site *site = tz_create (5000, 1);

  site->startup_ms = 1500;
  tz_add_workers (site, 1, 'a', 2000, 0);
  tz_add_workers (site, 1, 'c', 2000, 0);
  tz_submit (site, 1, 4, &step);
  tz_run (site, 2500);
  tz_add_workers (site, 2, 'b', 8000, 0);
  CU_ASSERT_EQUAL (tz_at_work (site), 4);
  return site;
}

static int
count_stops (const struct tz_site *site)
{
  return ts_count_orders (&site->cell, KQ_SCHED_FX_STOP);
}

/* A drain waits for the others while it has time, and stops all at once if the
   step has no limit. */
static void
test_drains (void)
{
  static const struct
  {
    int max_unavailable;
    int64_t remaining_ms;
    int stops[3]; /* at once, after 1.2 s, after 2.4 s */
  } cases[] = { { 1, 60000, { 1, 1, 2 } },
                { 1, 1800, { 1, 2, 2 } },
                { 0, 60000, { 2, 2, 2 } } };

  for (int i = 0; i < 3; i++)
    {
      struct tz_site *site = start_site (cases[i].max_unavailable);

      site->workers[0].report.draining = true;
      site->workers[0].report.remaining_ms = cases[i].remaining_ms;
      tz_register (site, 0);
      for (int j = 0; j < 3; j++, tz_run (site, 1200))
        CU_ASSERT_EQUAL (count_stops (site), cases[i].stops[j]);
      tz_destroy (site);
    }
}

/* Tasks that were lost with their worker, and have started but are not at work
   yet, count against the limit. */
static void
test_others_away (void)
{
  struct tz_site *site = start_site (2);

  site->workers[1].run_count = 0;
  ts_refuse_poll (&site->cell, "1", site->cell.now.mono,
                  KQ_SCHED_OTHER_INCARNATION);
  tz_evacuate (site, "a");
  tz_run (site, 1000);
  CU_ASSERT_EQUAL (count_stops (site), 0);
  tz_run (site, 1000);
  CU_ASSERT_EQUAL (count_stops (site), 2);
  tz_destroy (site);
}

/* A serving task is over its target, so that its fillers are throttled and
   then stopped to run elsewhere. */
static void
test_throttled_fillers (void)
{
  static const struct kq_sched_step serving = { .demand = { 4000, 10, 0 },
                                                .est_ms = 1000,
                                                .tail_target_ms = 100,
                                                .long_running = true,
                                                .image = "s" };

  for (int limit = 0; limit < 2; limit++)
    {
      const struct kq_sched_step filler = { .demand = { 1000, 10, 0 },
                                            .est_ms = 1000,
                                            .checkpointable = true,
                                            .long_running = true,
                                            .filler = true,
                                            .image = "f",
                                            .max_unavailable = limit };
      struct tz_site *site = tz_create (0, 1);
      struct kq_sched_running rows[3];

      tz_add_workers (site, 1, 'a', 8000, 0);
      tz_submit (site, 1, 1, &serving);
      tz_submit (site, 2, 2, &filler);
      for (int i = 0; i < 3; i++)
        {
          const struct ts_order start = site->cell.orders[i];

          ts_reply_order (&site->cell, &start, KQ_SCHED_OK);
          rows[i] = ts_running (&start, 100);
          rows[i].sample = i == 0 ? 150 : 1000;
        }
      for (int i = 0; i < 40; i++)
        {
          ts_advance (&site->cell, 100);
          ts_reply_poll (&site->cell, "0", rows, 3, NULL, 0);
        }
      for (int i = 0; i < 2; i++)
        CU_ASSERT_EQUAL (ts_last_order (&site->cell, KQ_SCHED_FX_STOP, 2, 0, i)
                             != NULL,
                         i == 0 || limit == 0);
      tz_destroy (site);
    }
}

static const struct kq_test tests[] = {
  { "drains", test_drains },
  { "others away", test_others_away },
  { "throttled fillers", test_throttled_fillers },
};

KQ_TEST_MAIN ("test-disruption", tests)

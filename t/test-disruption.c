/* Stops of long-running tasks. Guards against a step that loses more tasks at
 * once than max_unavailable, counting those that are away for other causes.
 */
#include <stdlib.h>

#include "t/kqtest.h"
#include "t/lib-zones.h"

#define COUNT 4

static const struct kq_sched_settings settings = {
  .remote_factor = 1, .warmup_excess = 1, .stop_ms = 400, .evac_ms = 5000
};

/* COUNT tasks that run for long at worker 0, and room at worker 1. */
static struct tz_site *
start_site (int max_unavailable)
{
  struct kq_sched_step step = { .count = COUNT,
                                .demand = { 1000, 10, 0 },
                                .est_ms = 800,
                                .long_running = true,
                                .max_unavailable = max_unavailable };
  struct tz_site *site = tz_create (&settings);

  site->startup_ms = 800;
  tz_add_worker (site, "a", 4000, 0);
  tz_submit (site, 1, "batch", &step);
  tz_run (site, 1500);
  tz_add_worker (site, "b", 8000, 0);
  tz_run (site, 100);
  CU_ASSERT_EQUAL (tz_at_work (site), COUNT);
  return site;
}

static void
drain (struct tz_site *site, int64_t remaining_ms)
{
  site->workers[0].report.draining = true;
  site->workers[0].report.remaining_ms = remaining_ms;
  tz_reregister (site, 0, 0);
}

static int
count_stops (const struct tz_site *site)
{
  return ts_count_orders (&site->cell, KQ_SCHED_FX_STOP);
}

static void
test_drain_with_time (void)
{
  struct tz_site *site = start_site (1);
  int least = COUNT;

  drain (site, 60000);
  for (int i = 0; i < 200 && tz_runs (site, "b") < COUNT; i++)
    {
      tz_run (site, 50);
      if (tz_at_work (site) < least)
        least = tz_at_work (site);
    }
  CU_ASSERT_EQUAL (least, COUNT - 1);
  CU_ASSERT_EQUAL (tz_runs (site, "b"), COUNT);
  tz_destroy (site);
}

/* Without time the tasks would be lost with the worker. */
static void
test_drain_without_time (void)
{
  struct tz_site *site = start_site (1);

  drain (site, 1500);
  CU_ASSERT_EQUAL (count_stops (site), 1);
  tz_run (site, 400);
  CU_ASSERT_EQUAL (count_stops (site), 1);
  tz_run (site, 300);
  CU_ASSERT_EQUAL (count_stops (site), COUNT);
  tz_destroy (site);
}

/* As before where the step does not ask for it. */
static void
test_drain_without_limit (void)
{
  struct tz_site *site = start_site (0);

  drain (site, 60000);
  tz_run (site, 50);
  CU_ASSERT_EQUAL (count_stops (site), COUNT);
  tz_destroy (site);
}

/* Tasks that are away because they have no room, or are not at work yet, count
   against the limit. */
static void
test_others_away (void)
{
  struct kq_sched_step step = { .count = COUNT,
                                .demand = { 1000, 10, 0 },
                                .est_ms = 800,
                                .long_running = true,
                                .max_per_worker = 3,
                                .max_unavailable = 1 };
  struct tz_site *site = tz_create (&settings);

  site->startup_ms = 1500;
  tz_add_worker (site, "a", 4000, 0);
  tz_submit (site, 1, "batch", &step);
  tz_run (site, 2500);
  CU_ASSERT_EQUAL (tz_at_work (site), 3);
  /* The fourth task starts in zone "b"; until it is at work none is moved. */
  tz_add_worker (site, "b", 8000, 0);
  tz_evacuate (site, "a");
  tz_run (site, 1000);
  CU_ASSERT_EQUAL (tz_runs (site, "b"), 1);
  CU_ASSERT_EQUAL (count_stops (site), 0);
  tz_run (site, 1500);
  CU_ASSERT_EQUAL (count_stops (site), 1);
  CU_ASSERT_EQUAL (tz_runs (site, "b"), 2);
  tz_destroy (site);
}

/* Tasks that are lost with their worker count, too. */
static void
test_worker_lost (void)
{
  struct kq_sched_step step = { .count = COUNT,
                                .demand = { 1000, 10, 0 },
                                .est_ms = 800,
                                .long_running = true,
                                .max_per_worker = 2,
                                .max_unavailable = 2 };
  struct tz_site *site = tz_create (&settings);

  site->startup_ms = 1500;
  tz_add_worker (site, "a", 2000, 0);
  tz_add_worker (site, "c", 2000, 0);
  tz_submit (site, 1, "batch", &step);
  tz_run (site, 2500);
  CU_ASSERT_EQUAL (tz_at_work (site), COUNT);
  tz_add_worker (site, "b", 8000, 0);
  tz_add_worker (site, "b", 8000, 0);
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

/* Returns how many of two throttled fillers that run for long are stopped in
   4 s to run elsewhere, if their step has MAX_UNAVAILABLE. */
static int
stopped_fillers (int max_unavailable)
{
  static const struct kq_sched_step serving = { .count = 1,
                                                .demand = { 4000, 10, 0 },
                                                .est_ms = 1000,
                                                .tail_target_ms = 100,
                                                .long_running = true,
                                                .image = "s" };
  struct kq_sched_step filler = { .count = 2,
                                  .demand = { 1000, 10, 0 },
                                  .est_ms = 1000,
                                  .checkpointable = true,
                                  .long_running = true,
                                  .filler = true,
                                  .image = "f",
                                  .max_unavailable = max_unavailable };
  struct ts_cell *cell = calloc (1, sizeof *cell);
  struct kq_sched_running rows[3];
  int stops;

  if (cell == NULL)
    abort ();
  ts_start (cell);
  ts_register_worker (cell, "0", 8000, 8000);
  ts_reply_poll (cell, "0", NULL, 0, NULL, 0);
  ts_submit (cell, 1, "urgent", &serving, 1);
  ts_submit (cell, 2, "batch", &filler, 1);
  for (int i = 0; i < 3; i++)
    {
      const struct ts_order order = cell->orders[i];

      CU_ASSERT_EQUAL (order.kind, KQ_SCHED_FX_START);
      ts_reply_order (cell, &order, KQ_SCHED_OK);
      rows[i] = ts_running (&order, 100);
      rows[i].sample = order.run.job == 1 ? 150 : 1000;
    }
  for (int i = 0; i < 40; i++)
    {
      ts_advance (cell, 100);
      ts_reply_poll (cell, "0", rows, 3, NULL, 0);
    }
  stops = ts_last_order (cell, KQ_SCHED_FX_STOP, 2, 0, 0) != NULL;
  stops += ts_last_order (cell, KQ_SCHED_FX_STOP, 2, 0, 1) != NULL;
  ts_stop (cell);
  free (cell);
  return stops;
}

static void
test_throttled_fillers (void)
{
  CU_ASSERT_EQUAL (stopped_fillers (1), 1);
  CU_ASSERT_EQUAL (stopped_fillers (0), 2);
}

static const struct kq_test tests[] = {
  { "drain with time", test_drain_with_time },
  { "drain without time", test_drain_without_time },
  { "drain without limit", test_drain_without_limit },
  { "others away", test_others_away },
  { "worker lost", test_worker_lost },
  { "throttled fillers", test_throttled_fillers },
};

KQ_TEST_MAIN ("test-disruption", tests)

/* Cold workers. Guards against a zone that comes back cold and draws all new
 * tasks at once, and against tasks that are late because of it.
 */
#include <stdlib.h>

#include "t/kqtest.h"
#include "t/lib-zones.h"

#define WARMUP_MS 10000

static const struct kq_sched_settings settings
    = { .remote_factor = 1, .warmup_excess = 1.5, .stop_ms = 400 };

static const struct kq_sched_step tasks
    = { .count = 40, .demand = { 1000, 10, 0 }, .est_ms = 400 };

/* One warm worker of 16 cores in zone "w", and one in zone "c" that stays cold
   for WARMUP_MS. */
static struct tz_site *
start_site (int64_t warmup_ms)
{
  struct tz_site *site = tz_create (&settings);

  tz_add_worker (site, "w", 16000, 0);
  tz_add_worker (site, "c", 16000, warmup_ms);
  return site;
}

static void
submit (struct tz_site *site, uint64_t job, int count)
{
  struct kq_sched_step step = tasks;

  step.count = count;
  tz_submit (site, job, "batch", &step);
}

/* Returns the shortest time in ms between two starts in ZONE. */
static int64_t
shortest_gap_ms (const struct tz_site *site, const char *zone)
{
  kq_usec last = 0;
  int64_t shortest = INT64_MAX;

  for (int i = 0; i < site->cell.order_count; i++)
    {
      const struct ts_order *order = &site->cell.orders[i];
      int64_t gap = (order->at - last) / KQ_USEC_PER_MSEC;

      if (order->kind != KQ_SCHED_FX_START
          || site->workers[atoi (order->worker)].report.zone[0] != zone[0])
        continue;
      if (last != 0 && gap < shortest)
        shortest = gap;
      last = order->at;
    }
  return shortest;
}

static void
test_filled_step_by_step (void)
{
  struct tz_site *site = start_site (WARMUP_MS);

  submit (site, 1, 40);
  CU_ASSERT_EQUAL (tz_starts (site, "w", 0), 16);
  CU_ASSERT_EQUAL (tz_starts (site, "c", 0), 1);
  /* The next one follows without an event or a tick. */
  site->cell.now.mono += 26 * KQ_USEC_PER_MSEC;
  ts_process_pending (&site->cell);
  CU_ASSERT_EQUAL (tz_starts (site, "c", 0), 2);
  tz_run (site, 2000);
  /* One task in 25 ms for 16 cores. */
  CU_ASSERT (shortest_gap_ms (site, "c") >= 25);
  CU_ASSERT (tz_starts (site, "c", 0) >= 4);
  CU_ASSERT_EQUAL (tz_counts (site).ends[KQ_SCHED_DONE], 40);
  tz_destroy (site);
}

/* A worker that does not say that it is cold is filled at once. */
static void
test_warm_worker_filled_at_once (void)
{
  struct tz_site *site = start_site (0);

  submit (site, 1, 40);
  CU_ASSERT_EQUAL (tz_starts (site, "w", 0), 16);
  CU_ASSERT_EQUAL (tz_starts (site, "c", 0), 16);
  tz_destroy (site);
}

/* Both the time since the registration and a later one end the warm-up. */
static void
test_end_of_warmup (void)
{
  struct tz_site *site = start_site (1000);

  tz_run (site, 1050);
  submit (site, 1, 32);
  CU_ASSERT_EQUAL (tz_starts (site, "c", 0), 16);
  tz_destroy (site);
  site = start_site (WARMUP_MS);
  tz_reregister (site, 1, 0);
  submit (site, 1, 32);
  CU_ASSERT_EQUAL (tz_starts (site, "c", 0), 16);
  tz_destroy (site);
}

/* A task without slack takes a warm worker, loaded though it is, and a cold
   one if there is no other. */
static void
test_tasks_without_slack (void)
{
  struct tz_site *site = start_site (WARMUP_MS);

  site->cell.queues[1].slo_ms = 100;
  site->cell.queues[1].stretch = 1;
  for (uint64_t job = 1; job <= 16; job++)
    submit (site, job, 1);
  CU_ASSERT_EQUAL (tz_starts (site, "w", 0), 16);
  submit (site, 17, 1);
  CU_ASSERT_EQUAL (tz_starts (site, "c", 0), 1);
  tz_destroy (site);
}

/* The cold worker carries less: it gets some of the tasks with slack, but
   fewer. */
static void
test_tasks_with_slack (void)
{
  struct tz_site *site = start_site (WARMUP_MS);

  site->cell.queues[1].slo_ms = 60000;
  for (uint64_t job = 1; job <= 15; job++)
    {
      struct kq_sched_step step = tasks;

      step.count = 1;
      step.est_ms = 5000;
      tz_submit (site, job, "batch", &step);
      tz_run (site, 100);
    }
  CU_ASSERT (tz_runs (site, "c") >= 5);
  CU_ASSERT (tz_runs (site, "c") <= 6);
  CU_ASSERT_EQUAL (tz_runs (site, "c") + tz_runs (site, "w"), 15);
  tz_destroy (site);
}

/* Serving tasks are slow at a cold worker from the first request on: they go
   to a warm one even beside serving tasks of another image. */
static void
test_serving_task (void)
{
  struct kq_sched_step step = { .count = 4,
                                .demand = { 1000, 10, 0 },
                                .est_ms = 500,
                                .long_running = true,
                                .tail_target_ms = 50,
                                .image = "x" };
  struct tz_site *site = tz_create (&settings);

  tz_add_worker (site, "c", 16000, WARMUP_MS);
  tz_add_worker (site, "w", 16000, 0);
  site->startup_ms = 500;
  tz_submit (site, 1, "batch", &step);
  tz_run (site, 1000);
  CU_ASSERT_EQUAL (tz_runs (site, "w"), 4);
  step.image[0] = 'y';
  tz_submit (site, 2, "batch", &step);
  tz_run (site, 1000);
  CU_ASSERT_EQUAL (tz_runs (site, "w"), 8);
  tz_destroy (site);
}

/* The search for a worker in a large cell must not end among cold ones. */
static void
test_warm_worker_behind_many_cold_ones (void)
{
  struct tz_site *site = tz_create (&settings);

  site->cell.queues[1].slo_ms = 100;
  site->cell.queues[1].stretch = 1;
  for (int i = 0; i < 70; i++)
    tz_add_worker (site, "c", 16000, WARMUP_MS);
  tz_add_worker (site, "w", 16000, 0);
  submit (site, 1, 8);
  CU_ASSERT_EQUAL (tz_starts (site, "w", 0), 8);
  tz_destroy (site);
}

static const struct kq_test tests[] = {
  { "filled step by step", test_filled_step_by_step },
  { "warm worker filled at once", test_warm_worker_filled_at_once },
  { "end of the warm-up", test_end_of_warmup },
  { "tasks without slack", test_tasks_without_slack },
  { "tasks with slack", test_tasks_with_slack },
  { "serving task", test_serving_task },
  { "warm worker behind many cold ones",
    test_warm_worker_behind_many_cold_ones },
};

KQ_TEST_MAIN ("test-warmup", tests)

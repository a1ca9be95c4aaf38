/* Cold workers. Guards against a zone that comes back cold and draws all new
 * tasks at once, and against tasks that are late because of it.
 */
#include <stdlib.h>

#include "t/kqtest.h"
#include "t/lib-zones.h"

#define WARMUP_MS 10000

static const struct kq_sched_step brief
    = { .demand = { 1000, 10, 0 }, .est_ms = 400 };

/* COLD workers of 16 cores in zone "c", then a warm one in zone "w". */
static struct tz_site *
start_site (int cold, int64_t warmup_ms)
{
  struct tz_site *site = tz_create (0, 1.5);

  tz_add_workers (site, cold, 'c', 16000, warmup_ms);
  tz_add_workers (site, 1, 'w', 16000, 0);
  return site;
}

static void
test_filled_step_by_step (void)
{
  struct tz_site *site = start_site (1, WARMUP_MS);
  kq_usec last = 0;

  tz_submit (site, 1, 40, &brief);
  CU_ASSERT_EQUAL (tz_starts (site, 'w'), 16);
  CU_ASSERT_EQUAL (tz_starts (site, 'c'), 1);
  /* The next one follows without an event or a tick. */
  site->cell.now.mono += 26 * KQ_USEC_PER_MSEC;
  ts_process_pending (&site->cell);
  CU_ASSERT_EQUAL (tz_starts (site, 'c'), 2);
  tz_run (site, 2000);
  CU_ASSERT_EQUAL (tz_counts (site).ends[KQ_SCHED_DONE], 40);
  for (int i = 0; i < site->cell.order_count; i++)
    if (atoi (site->cell.orders[i].worker) == 0)
      {
        CU_ASSERT (site->cell.orders[i].at - last >= 25 * KQ_USEC_PER_MSEC);
        last = site->cell.orders[i].at;
      }
  tz_destroy (site);
}

/* Without the field, after the time, and once it is gone. */
static void
test_warm_workers_filled_at_once (void)
{
  for (int64_t i = 0; i < 3; i++)
    {
      struct tz_site *site = start_site (1, i * 1000);

      if (i == 1)
        tz_run (site, 1050);
      site->workers[0].report.warmup_left_ms = 0;
      if (i == 2)
        tz_register (site, 0);
      tz_submit (site, 1, 32, &brief);
      CU_ASSERT_EQUAL (tz_starts (site, 'c'), 16);
      tz_destroy (site);
    }
}

/* They take a warm worker, loaded though it is and found behind many cold
   ones, and a cold one if there is no other. */
static void
test_tasks_without_slack (void)
{
  struct tz_site *site = start_site (70, WARMUP_MS);

  site->cell.queues[1].slo_ms = 100;
  site->cell.queues[1].stretch = 1;
  tz_submit (site, 1, 16, &brief);
  CU_ASSERT_EQUAL (tz_starts (site, 'w'), 16);
  tz_submit (site, 2, 2, &brief);
  CU_ASSERT_EQUAL (tz_starts (site, 'c'), 2);
  tz_destroy (site);
}

/* The cold worker carries less: it gets fewer of the tasks with slack. */
static void
test_tasks_with_slack (void)
{
  const struct kq_sched_step step
      = { .demand = { 1000, 10, 0 }, .est_ms = 5000 };
  struct tz_site *site = start_site (1, WARMUP_MS);

  site->cell.queues[1].slo_ms = 60000;
  for (uint64_t job = 1; job <= 15; job++, tz_run (site, 100))
    tz_submit (site, job, 1, &step);
  CU_ASSERT (tz_runs (site, 'c') == 5 || tz_runs (site, 'c') == 6);
  CU_ASSERT_EQUAL (tz_runs (site, 'c') + tz_runs (site, 'w'), 15);
  tz_destroy (site);
}

/* Serving tasks are slow at a cold worker from the first request on: they go
   to a warm one even beside serving tasks of another image. */
static void
test_serving_tasks (void)
{
  struct kq_sched_step step = { .demand = { 1000, 10, 0 },
                                .est_ms = 500,
                                .long_running = true,
                                .tail_target_ms = 50 };
  struct tz_site *site = start_site (1, WARMUP_MS);

  site->startup_ms = 500;
  for (uint64_t job = 1; job <= 2; job++, tz_run (site, 1000))
    {
      step.image[0] = job == 1 ? 'x' : 'y';
      tz_submit (site, job, 4, &step);
    }
  CU_ASSERT_EQUAL (tz_runs (site, 'w'), 8);
  tz_destroy (site);
}

static const struct kq_test tests[] = {
  { "filled step by step", test_filled_step_by_step },
  { "warm workers filled at once", test_warm_workers_filled_at_once },
  { "tasks without slack", test_tasks_without_slack },
  { "tasks with slack", test_tasks_with_slack },
  { "serving tasks", test_serving_tasks },
};

KQ_TEST_MAIN ("test-warmup", tests)

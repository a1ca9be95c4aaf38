/* Guards against an owner that counts with the wall clock of the one before
 * it: the clocks of hosts differ, and may be set by many seconds.
 */
#include <stdio.h>
#include <string.h>

#include "t/kqtest.h"
#include "t/lib-deadly.h"
#include "t/lib-late.h"
#include "t/lib-sched.h"
#include "t/lib-sim.h"

#define JOB UINT64_C (0x11)

/* How far the clocks of two owners are apart. */
#define APART_MS 25000

/* A start order without a reply may be carried out until then; by OVER_MS its
   worker has been asked as well. */
#define LATE_MS 4000
#define OVER_MS 6000
#define LONG_MS 8000

/* A task that crashes its workers is started so often at most. */
#define MAX_STARTS 5
#define MAX_CRASHES 8
#define WORKERS 8

/* Of the simulated jobs, each of these crashes its workers. */

static const struct kq_sched_step short_step
    = { .count = 1, .demand = { 1000, 100, 0 }, .est_ms = 600 };
static void
name_worker (char *id, int number)
{
  snprintf (id, KQ_SCHED_NAME_SIZE, "w%d", number);
}

/* All workers but SILENT run nothing for MS. */
static void
idle_for (struct ts_cell *cell, int ms, const char *silent)
{
  char id[KQ_SCHED_NAME_SIZE];

  for (int at = 0; at < ms; at += 100)
    {
      for (int i = 0; i < WORKERS; i++)
        {
          name_worker (id, i);
          if (strcmp (id, silent) != 0)
            ts_reply_poll (cell, id, NULL, 0, NULL, 0);
        }
      ts_advance (cell, 100);
    }
}

static void
register_workers (struct ts_cell *cell)
{
  char id[KQ_SCHED_NAME_SIZE];

  for (int i = 0; i < WORKERS; i++)
    {
      name_worker (id, i);
      ts_register_worker (cell, id, 4000, 4000);
    }
}

/* A host takes over whose wall clock is AHEAD_MS ahead of the last owner's. */
static void
take_over (struct ts_cell *cell, int64_t ahead_ms)
{
  cell->now.wall_ms += ahead_ms;
  ts_take_over (cell);
  register_workers (cell);
}

static int
count_starts (const struct ts_cell *cell)
{
  return ts_count_orders (cell, KQ_SCHED_FX_START);
}

static struct ts_order
last_start (const struct ts_cell *cell)
{
  return *ts_last_order (cell, KQ_SCHED_FX_START, JOB, 0, 0);
}

/* Starts the only task, of STEP. */
static struct ts_cell *
start_task (const struct kq_sched_step *step)
{
  struct ts_cell *cell = ts_create ();

  register_workers (cell);
  idle_for (cell, 100, "");
  ts_submit (cell, JOB, "batch", step, 1);
  ts_advance (cell, 20);
  return cell;
}

/* The same; the start has no reply, and a stop settles the run. */
static struct ts_cell *
settle_start (const struct kq_sched_step *step)
{
  struct ts_cell *cell = start_task (step);
  struct ts_order order = last_start (cell);

  ts_reply_order (cell, &order, KQ_SCHED_NO_REPLY);
  idle_for (cell, 300, "");
  order = *ts_last_order (cell, KQ_SCHED_FX_STOP, JOB, 0, 0);
  ts_reply_order (cell, &order, KQ_SCHED_OK);
  return cell;
}

static void
check_wait_for_late_order (int64_t ahead_ms)
{
  struct ts_cell *cell = settle_start (&short_step);
  struct ts_order first = last_start (cell);

  ts_drain (cell, first.worker);
  idle_for (cell, 500, "");
  take_over (cell, ahead_ms);
  ts_drain (cell, first.worker);
  idle_for (cell, LATE_MS - 500, "");
  CU_ASSERT_EQUAL (count_starts (cell), 1);
  idle_for (cell, OVER_MS - LATE_MS, "");
  CU_ASSERT_EQUAL (count_starts (cell), 2);
  ts_destroy (cell);
}

static void
test_wait_for_late_order (void)
{
  check_wait_for_late_order (0);
  check_wait_for_late_order (APART_MS);
  check_wait_for_late_order (-APART_MS);
  check_wait_for_late_order (LATE_MS);
}

/* The order was sent long ago, when no other worker took tasks. */
static void
check_no_wait_for_old_order (int64_t ahead_ms)
{
  struct ts_cell *cell = settle_start (&short_step);
  char id[KQ_SCHED_NAME_SIZE];

  for (int i = 0; i < WORKERS; i++)
    {
      name_worker (id, i);
      ts_drain (cell, id);
    }
  idle_for (cell, LONG_MS, "");
  CU_ASSERT_EQUAL (count_starts (cell), 1);
  take_over (cell, ahead_ms);
  ts_drain (cell, last_start (cell).worker);
  idle_for (cell, 500, "");
  CU_ASSERT_EQUAL (count_starts (cell), 2);
  ts_destroy (cell);
}

static void
test_no_wait_for_old_order (void)
{
  check_no_wait_for_old_order (0);
  check_no_wait_for_old_order (APART_MS);
  check_no_wait_for_old_order (-APART_MS);
  check_no_wait_for_old_order (-LONG_MS);
}

/* Each owner is lost before it has noticed the crash. */
static void
check_unnoticed_crashes (int64_t ahead_ms)
{
  struct ts_cell *cell = start_task (&short_step);

  for (int i = 0; i < MAX_CRASHES && count_starts (cell) == i + 1; i++)
    {
      struct ts_order start = last_start (cell);

      take_over (cell, ahead_ms);
      idle_for (cell, 100, start.worker);
      ts_lose_worker (cell, start.worker);
      idle_for (cell, 500, start.worker);
    }
  CU_ASSERT (count_starts (cell) <= MAX_STARTS);
  ts_destroy (cell);
}

static void
test_unnoticed_crashes (void)
{
  check_unnoticed_crashes (0);
  check_unnoticed_crashes (APART_MS);
  check_unnoticed_crashes (-APART_MS);
}

/* Orders are up to 4 s late, and the clocks of owners are off by up to 20 s.
   These are the seeds of 1 to 300 that failed. */
static void
test_simulated_clocks (void)
{
  static const unsigned long clocks[]
      = { 5, 46, 59, 70, 86, 95, 97, 120, 141, 146, 196 };
  static const unsigned long outages[]
      = { 19, 42, 90, 99, 147, 148, 154, 177, 216, 220, 235, 250, 257, 281 };

  LATE_CHECK_SEEDS ("clocks-20", clocks);
  LATE_CHECK_SEEDS ("clocks-20-outages", outages);
}

/* Of the seeds 1 to 200, those in which a task was started six to eight times.
 */
static void
test_simulated_crashes (void)
{
  static const struct sim_faults faults = { .worker_crash = 0.3,
                                            .takeover = 0.5,
                                            .orders_outlive_crash = true,
                                            .clock_skew_ms = 20000 };
  static const unsigned long seeds[]
      = { 19,  24,  25,  36,  60,  72,  83,  104,
          145, 153, 158, 161, 165, 171, 172, 189 };

  for (size_t i = 0; i < sizeof seeds / sizeof seeds[0]; i++)
    CU_ASSERT (deadly_most_starts (seeds[i], &faults) <= DEADLY_MAX_STARTS);
}

static const struct kq_test tests[] = {
  { "a late order is waited for", test_wait_for_late_order },
  { "an old order is not waited for", test_no_wait_for_old_order },
  { "crashes that no owner noticed", test_unnoticed_crashes },
  { "clocks 20 s apart", test_simulated_clocks },
  { "crashes under clocks 20 s apart", test_simulated_crashes },
};

KQ_TEST_MAIN ("test-owner-clocks", tests)

/* Guards against a task that runs twice: a worker has restarted under its ID
 * and accepted a start before that was known, is registered, and then falls
 * silent.  The lease there ends by the earlier clock and may be the longest,
 * but its run was given up after the lease that owners grant.
 */
#include "t/kqtest.h"
#include "t/lib-sched.h"

#define JOB UINT64_C (0x11)

/* Longest lease that a worker grants, and the time by which the task must run
   elsewhere: 2 % for a slow clock, the margin of a lapse, and a tick. */
#define MAX_LEASE_MS 10000
#define OVER_MS 11000

/* The lease that an owner grants has lapsed by then. */
#define LAPSE_MS 5500

/* An earlier owner may have acted for so long after its last record. */
#define ACT_LIMIT_MS 3000

static const struct kq_sched_step step
    = { .count = 1, .demand = { 1000, 100, 0 }, .est_ms = 20000 };

static struct ts_order
last_start (const struct ts_cell *cell)
{
  return *ts_last_order (cell, KQ_SCHED_FX_START, JOB, 0, 0);
}

/* Only worker "b", which runs nothing, replies for MS. */
static void
advance_without_a (struct ts_cell *cell, int ms)
{
  for (int at = 0; at < ms; at += 100)
    {
      ts_advance (cell, 100);
      ts_fail_poll (cell, "a");
      ts_reply_poll (cell, "b", NULL, 0, NULL, 0);
    }
}

/* Worker "a" has accepted the start of the task, and has not listed it. */
static struct ts_cell *
start_cell (void)
{
  struct ts_cell *cell = ts_create ();
  struct ts_order start;

  ts_add_idle_worker (cell, "a", 4000);
  ts_submit (cell, JOB, "batch", &step, 1);
  start = last_start (cell);
  ts_reply_order (cell, &start, KQ_SCHED_OK);
  return cell;
}

/* The run goes on at worker "a" until the longest lease has lapsed, and the
   task is elsewhere DELAY_MS after that at the latest. */
static void
assert_longest_lease (struct ts_cell *cell, int delay_ms)
{
  ts_add_idle_worker (cell, "b", 4000);
  advance_without_a (cell, MAX_LEASE_MS);
  CU_ASSERT_STRING_EQUAL (last_start (cell).worker, "a");
  advance_without_a (cell, OVER_MS - MAX_LEASE_MS + delay_ms);
  CU_ASSERT_STRING_EQUAL (last_start (cell).worker, "b");
}

static void
test_accepted_start (void)
{
  struct ts_cell *cell = start_cell ();

  ts_register_incarnation (cell, "a", 4000, 4000, 2);
  assert_longest_lease (cell, 0);
  ts_destroy (cell);
}

/* The same, where the earlier owner sent the start and its successor learns of
   the restart. */
static void
test_accepted_start_of_the_earlier_owner (void)
{
  struct ts_cell *cell = start_cell ();

  ts_take_over (cell);
  ts_register_incarnation (cell, "a", 4000, 4000, 2);
  assert_longest_lease (cell, ACT_LIMIT_MS);
  ts_destroy (cell);
}

/* The same; the successor knows the earlier incarnation first. */
static void
test_restart_after_a_takeover (void)
{
  struct ts_cell *cell = start_cell ();

  ts_take_over (cell);
  ts_register_worker (cell, "a", 4000, 4000);
  ts_advance (cell, 100);
  ts_register_incarnation (cell, "a", 4000, 4000, 2);
  assert_longest_lease (cell, ACT_LIMIT_MS);
  ts_destroy (cell);
}

/* Guards against a wait that is longer than needed: a worker that lists its
   runs and falls silent without a restart. */
static void
test_no_restart (void)
{
  struct ts_cell *cell = start_cell ();
  struct ts_order start = last_start (cell);
  struct kq_sched_running row = ts_running (&start, 5);

  ts_advance (cell, 100);
  ts_reply_poll (cell, "a", &row, 1, NULL, 0);
  ts_add_idle_worker (cell, "b", 4000);
  /* Renewals go on for 2.2 s after the last reply. */
  advance_without_a (cell, 2200 + LAPSE_MS);
  CU_ASSERT_STRING_EQUAL (last_start (cell).worker, "b");
  ts_destroy (cell);
}

static const struct kq_test tests[] = {
  { "an accepted start", test_accepted_start },
  { "an accepted start of the earlier owner",
    test_accepted_start_of_the_earlier_owner },
  { "a restart after a takeover", test_restart_after_a_takeover },
  { "no restart", test_no_restart },
};

KQ_TEST_MAIN ("test-silent-restart", tests)

/* Guards against a task that runs twice: a worker has restarted under its ID
 * and accepted a start before that was known, is registered, and then falls
 * silent.  The lease there ends by the earlier clock and may be the longest,
 * but its run was given up after the lease that owners grant.
 */
#include "t/kqtest.h"
#include "t/lib-sched.h"

#define JOB UINT64_C (0x11)
#define NEXT_JOB UINT64_C (0x12)

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
last_start_of (const struct ts_cell *cell, uint64_t job)
{
  const struct ts_order *order
      = ts_last_order (cell, KQ_SCHED_FX_START, job, 0, 0);

  return order != NULL ? *order : (struct ts_order){ .worker = "" };
}

static struct ts_order
last_start (const struct ts_cell *cell)
{
  return last_start_of (cell, JOB);
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

/* Worker "a" lists the run of the task. */
static void
list_run (struct ts_cell *cell)
{
  struct ts_order start = last_start (cell);
  struct kq_sched_running row = ts_running (&start, 5);

  ts_reply_poll (cell, "a", &row, 1, NULL, 0);
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

/* The same; the successor reads the registration before it reads what the
   earlier owner has stored, as is usual. */
static void
test_registration_read_first (void)
{
  struct ts_cell *cell = start_cell ();

  ts_take_over_registered (cell, "a", 4000, 4000, 2);
  assert_longest_lease (cell, ACT_LIMIT_MS);
  ts_destroy (cell);
}

/* Lets the second incarnation of worker "a", which runs nothing, accept the
   next start of the task of OF_JOB, and fall silent.  What an order that was
   late has extended there lasts for the longest lease from when it lists its
   runs. */
static void
assert_longest_lease_of_next_run (struct ts_cell *cell, uint64_t of_job)
{
  int run = last_start_of (cell, of_job).run.run;
  struct ts_order start;

  for (int i = 0; i < 20 && last_start_of (cell, of_job).run.run == run; i++)
    {
      ts_reply_poll_sent_at (cell, "a", cell->now.mono, 2, NULL, 0, NULL, 0);
      ts_advance (cell, 100);
    }
  start = last_start_of (cell, of_job);
  CU_ASSERT_STRING_EQUAL (start.worker, "a");
  CU_ASSERT_EQUAL (start.run.run, run + 1);
  ts_reply_order (cell, &start, KQ_SCHED_OK);
  ts_add_idle_worker (cell, "b", 4000);
  advance_without_a (cell, MAX_LEASE_MS - 2000);
  CU_ASSERT_STRING_EQUAL (last_start_of (cell, of_job).worker, "a");
  advance_without_a (cell, OVER_MS - MAX_LEASE_MS + 2000);
  CU_ASSERT_STRING_EQUAL (last_start_of (cell, of_job).worker, "b");
}

/* Guards against the same for a run that the new incarnation began later: a
   renewal without a reply, before others that had one, reaches it and extends
   its lease by the earlier clock. */
static void
test_renewal_that_was_late (void)
{
  struct ts_cell *cell = start_cell ();

  ts_advance (cell, 100);
  ts_fail_poll (cell, "a");
  ts_advance (cell, 300);
  list_run (cell);
  ts_register_incarnation (cell, "a", 4000, 4000, 2);
  assert_longest_lease_of_next_run (cell, JOB);
  ts_destroy (cell);
}

/* The same for a renewal of the earlier owner. */
static void
test_late_renewal_of_the_earlier_owner (void)
{
  struct ts_cell *cell = start_cell ();

  ts_advance (cell, 100);
  ts_fail_poll (cell, "a");
  ts_take_over (cell);
  ts_register_worker (cell, "a", 4000, 4000);
  ts_advance (cell, 300);
  list_run (cell);
  ts_register_incarnation (cell, "a", 4000, 4000, 2);
  assert_longest_lease_of_next_run (cell, JOB);
  ts_destroy (cell);
}

/* The same for a start that had no reply and whose job is cancelled; another
   task starts there then. */
static void
test_start_that_was_late (void)
{
  struct ts_cell *cell = ts_create ();
  struct ts_order order;

  ts_add_idle_worker (cell, "a", 4000);
  ts_submit (cell, JOB, "batch", &step, 1);
  order = last_start (cell);
  ts_reply_order (cell, &order, KQ_SCHED_NO_REPLY);
  ts_cancel (cell, JOB);
  for (int i = 0; i < 3; i++)
    {
      ts_advance (cell, 100);
      ts_reply_poll (cell, "a", NULL, 0, NULL, 0);
    }
  order = *ts_last_order (cell, KQ_SCHED_FX_STOP, JOB, 0, 0);
  ts_reply_order (cell, &order, KQ_SCHED_OK);
  ts_advance (cell, 100);
  ts_reply_poll (cell, "a", NULL, 0, NULL, 0);
  ts_register_incarnation (cell, "a", 4000, 4000, 2);
  ts_submit (cell, NEXT_JOB, "batch", &step, 1);
  assert_longest_lease_of_next_run (cell, NEXT_JOB);
  ts_destroy (cell);
}

/* Guards against the same where a renewal is under way while the worker
   restarts twice, without a reply in between: the last incarnation may have
   carried it out. */
static void
test_two_restarts (void)
{
  struct ts_cell *cell = start_cell ();
  struct ts_order start;

  ts_advance (cell, 100);
  list_run (cell);
  ts_advance (cell, 100);
  ts_register_incarnation (cell, "a", 4000, 4000, 2);
  ts_advance (cell, 100);
  ts_register_incarnation (cell, "a", 4000, 4000, 3);
  ts_advance (cell, 100);
  ts_reply_poll_sent_at (cell, "a", cell->now.mono, 3, NULL, 0, NULL, 0);
  ts_advance (cell, 100);
  start = last_start (cell);
  CU_ASSERT_EQUAL (start.run.run, 2);
  ts_reply_order (cell, &start, KQ_SCHED_OK);
  assert_longest_lease (cell, 0);
  ts_destroy (cell);
}

/* Guards against the same where a renewal had no reply and a later poll was
   answered before the restart: an order may be carried out after newer ones.
 */
static void
test_lost_renewal (void)
{
  struct ts_cell *cell = start_cell ();
  struct ts_order start;
  kq_usec sent_at;

  ts_advance (cell, 100);
  list_run (cell);
  ts_advance (cell, 1000);
  sent_at = cell->now.mono;
  ts_advance (cell, 300);
  ts_refuse_poll (cell, "a", sent_at, KQ_SCHED_NO_REPLY);
  ts_advance (cell, 300);
  list_run (cell);
  /* The new incarnation replies to the next poll, which renews nothing. */
  ts_register_incarnation (cell, "a", 4000, 4000, 2);
  ts_advance (cell, 100);
  ts_reply_poll_sent_at (cell, "a", cell->now.mono, 2, NULL, 0, NULL, 0);
  ts_advance (cell, 100);
  start = last_start (cell);
  CU_ASSERT_EQUAL (start.run.run, 2);
  ts_reply_order (cell, &start, KQ_SCHED_OK);
  assert_longest_lease (cell, 0);
  ts_destroy (cell);
}

/* Guards against a wait that is longer than needed: a worker that lists its
   runs and falls silent without a restart. */
static void
test_no_restart (void)
{
  struct ts_cell *cell = start_cell ();

  ts_advance (cell, 100);
  list_run (cell);
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
  { "the registration is read first", test_registration_read_first },
  { "a renewal that was late", test_renewal_that_was_late },
  { "a late renewal of the earlier owner",
    test_late_renewal_of_the_earlier_owner },
  { "a start that was late", test_start_that_was_late },
  { "two restarts", test_two_restarts },
  { "a lost renewal", test_lost_renewal },
  { "no restart", test_no_restart },
};

KQ_TEST_MAIN ("test-silent-restart", tests)

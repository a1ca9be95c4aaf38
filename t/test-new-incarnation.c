/* Guards against taking the state of a worker's earlier incarnation for that
 * of the one that runs under its ID now, which may have accepted orders before
 * it was known.
 */
#include <stdlib.h>
#include <string.h>

#include "t/kqtest.h"
#include "t/lib-sched.h"

#define JOB UINT64_C (0x11)

/* Time from a worker's last sign of life until its leases have lapsed. */
#define LAPSE_MS 8000

/* The longest lease that a worker grants.  It grants it for an end that an
   earlier clock gave. */
#define MAX_LEASE_MS 10000

static const struct kq_sched_step step = {
  .count = 1, .demand = { 1000, 100, 0 }, .est_ms = 1000, .long_running = true
};

/* Returns the last start order for the only task of JOB. */
static struct ts_order
last_start (const struct ts_cell *cell)
{
  const struct ts_order *order
      = ts_last_order (cell, KQ_SCHED_FX_START, JOB, 0, 0);

  CU_ASSERT_PTR_NOT_NULL (order);
  return order != NULL ? *order : (struct ts_order){ .worker = "" };
}

static void
assert_run (const struct ts_cell *cell, const char *worker, int run)
{
  struct ts_order start = last_start (cell);

  CU_ASSERT_STRING_EQUAL (start.worker, worker);
  CU_ASSERT_EQUAL (start.run.run, run);
}

static void
add_worker_b (struct ts_cell *cell)
{
  ts_register_worker (cell, "b", 4000, 4000);
  ts_reply_poll (cell, "b", NULL, 0, NULL, 0);
}

/* Returns a cell that has sent worker "a" the start of a task, without a
   reply so far. */
static struct ts_cell *
start_cell (void)
{
  struct ts_cell *cell = ts_create ();

  ts_register_worker (cell, "a", 4000, 4000);
  ts_reply_poll (cell, "a", NULL, 0, NULL, 0);
  ts_submit (cell, JOB, "batch", &step, 1);
  assert_run (cell, "a", 1);
  add_worker_b (cell);
  return cell;
}

/* Lets MS pass in which only worker "b" replies to its polls. */
static void
advance_without_a (struct ts_cell *cell, int ms)
{
  for (int i = 0; i < ms; i += 100)
    {
      ts_advance (cell, 100);
      ts_fail_poll (cell, "a");
      ts_reply_poll (cell, "b", NULL, 0, NULL, 0);
    }
}

/* The registration of the new incarnation is read while a start is under way
   to it: the task must not start elsewhere as well. */
static void
test_registered_while_a_start_is_under_way (void)
{
  struct ts_cell *cell = start_cell ();

  ts_register_incarnation (cell, "a", 4000, 4000, 2);
  advance_without_a (cell, 500);
  assert_run (cell, "a", 1);
  ts_destroy (cell);
}

/* The same for a start that the new incarnation accepted before its status
   showed that it is one. */
static void
test_status_after_an_accepted_start (void)
{
  struct ts_cell *cell = start_cell ();
  struct ts_order start = last_start (cell);
  struct kq_sched_running row = ts_running (&start, 100);

  ts_reply_order (cell, &start, KQ_SCHED_OK);
  ts_reply_poll_sent_at (cell, "a", cell->now.mono, 2, &row, 1, NULL, 0);
  advance_without_a (cell, 500);
  assert_run (cell, "a", 1);
  ts_destroy (cell);
}

/* A new incarnation that never replies holds nothing for longer than a
   lease. */
static void
test_new_incarnation_that_never_replies (void)
{
  struct ts_cell *cell = start_cell ();

  ts_register_incarnation (cell, "a", 4000, 4000, 2);
  advance_without_a (cell, LAPSE_MS);
  assert_run (cell, "b", 2);
  ts_destroy (cell);
}

/* What a status listed has ended with its incarnation, and goes on elsewhere
   at once although the new incarnation does not reply. */
static void
test_listed_run_of_the_earlier_incarnation (void)
{
  struct ts_cell *cell = start_cell ();
  struct ts_order start = last_start (cell);
  struct kq_sched_running row = ts_running (&start, 100);

  ts_reply_order (cell, &start, KQ_SCHED_OK);
  ts_reply_poll (cell, "a", &row, 1, NULL, 0);
  ts_register_incarnation (cell, "a", 4000, 4000, 2);
  advance_without_a (cell, 200);
  assert_run (cell, "b", 2);
  ts_destroy (cell);
}

/* The first registration that a new owner reads does not begin an incarnation:
   the wait for the leases of the earlier owner goes on as it was. */
static void
test_first_registration_after_a_takeover (void)
{
  struct ts_cell *cell = start_cell ();
  struct ts_order start = last_start (cell);

  ts_reply_order (cell, &start, KQ_SCHED_OK);
  ts_take_over (cell);
  add_worker_b (cell);
  advance_without_a (cell, LAPSE_MS - 1000);
  assert_run (cell, "a", 1);
  ts_register_worker (cell, "a", 4000, 4000);
  advance_without_a (cell, 2000);
  assert_run (cell, "b", 2);
  ts_destroy (cell);
}

/* Replies to ORDER, with WORKER_CLOCK_MS as the clock of who replies. */
static void
reply_with_clock (struct ts_cell *cell, const struct ts_order *order,
                  int64_t worker_clock_ms)
{
  struct kq_sched_event event = { .kind = KQ_SCHED_EV_STOPPED };

  event.u.order.worker = order->worker;
  event.u.order.run = order->run;
  event.u.order.reply = KQ_SCHED_OK;
  event.u.order.sent_at = order->at;
  event.u.order.worker_clock_ms = worker_clock_ms;
  kq_sched_event (cell->sched, cell->now, &event);
  ts_process_pending (cell);
}

/* The only sign of the new incarnation is its reply to a stop.  Its clock
   began anew: the lease must not end at the time that the earlier clock gave.
 */
static void
test_clock_that_began_anew (void)
{
  struct ts_cell *cell = start_cell ();
  struct ts_order start = last_start (cell);
  struct ts_order stop = { .kind = KQ_SCHED_FX_STOP, .worker = "a" };

  ts_reply_order (cell, &start, KQ_SCHED_OK);
  advance_without_a (cell, 1000);
  stop.at = cell->now.mono;
  reply_with_clock (cell, &stop, 500);
  advance_without_a (cell, MAX_LEASE_MS);
  assert_run (cell, "a", 1);
  advance_without_a (cell, 1000);
  assert_run (cell, "b", 2);
  ts_destroy (cell);
}

/* A reply of the earlier incarnation that arrives after one of the new one
   must not make the lease of the new one look lapsed. */
static void
test_replies_in_the_wrong_order (void)
{
  struct ts_cell *cell = start_cell ();
  struct ts_order start = last_start (cell);
  struct ts_order stop = { .kind = KQ_SCHED_FX_STOP, .worker = "a" };

  ts_reply_order (cell, &start, KQ_SCHED_OK);
  stop.at = cell->now.mono;
  reply_with_clock (cell, &stop, 500);
  reply_with_clock (cell, &stop, 1000000);
  advance_without_a (cell, 500);
  assert_run (cell, "a", 1);
  ts_destroy (cell);
}

/* The reply of the earlier incarnation to an order that was sent before the
   new one was known says nothing about the new one's clock. */
static void
test_late_reply_of_the_earlier_incarnation (void)
{
  struct ts_cell *cell = start_cell ();
  struct ts_order start = last_start (cell);
  struct ts_order stop = { .kind = KQ_SCHED_FX_STOP, .worker = "a" };
  int64_t clock_ms = start.lease_end_ms;

  stop.at = cell->now.mono;
  ts_advance (cell, 100);
  ts_register_incarnation (cell, "a", 4000, 4000, 2);
  ts_reply_poll_sent_at (cell, "a", cell->now.mono, 2, NULL, 0, NULL, 0);
  ts_reply_order (cell, &start, KQ_SCHED_OK);
  reply_with_clock (cell, &stop, clock_ms + 4000);
  advance_without_a (cell, 500);
  assert_run (cell, "a", 1);
  ts_destroy (cell);
}

/* Starts the task of JOB at worker "a", which lists its run. */
static struct ts_cell *
start_listed_run (void)
{
  struct ts_cell *cell = ts_create ();
  struct ts_order start;
  struct kq_sched_running row;

  ts_register_worker (cell, "a", 4000, 4000);
  ts_reply_poll (cell, "a", NULL, 0, NULL, 0);
  ts_submit (cell, JOB, "batch", &step, 1);
  start = last_start (cell);
  ts_reply_order (cell, &start, KQ_SCHED_OK);
  row = ts_running (&start, 100);
  ts_advance (cell, 100);
  ts_reply_poll (cell, "a", &row, 1, NULL, 0);
  return cell;
}

/* Lets the second incarnation of worker "a" list no run until the task has
   started there again; returns that start, which has been accepted. */
static struct ts_order
start_in_next_incarnation (struct ts_cell *cell)
{
  struct ts_order start;

  for (int i = 0; i < 20 && last_start (cell).run.run == 1; i++)
    {
      ts_reply_poll_sent_at (cell, "a", cell->now.mono, 2, NULL, 0, NULL, 0);
      ts_advance (cell, 100);
    }
  start = last_start (cell);
  CU_ASSERT_EQUAL (start.run.run, 2);
  CU_ASSERT_STRING_EQUAL (start.worker, "a");
  ts_reply_order (cell, &start, KQ_SCHED_OK);
  return start;
}

/* The run of START goes on at worker "a", which falls silent; it is over, and
   its task elsewhere, after the longest lease and no earlier. */
static void
assert_longest_lease (struct ts_cell *cell, const struct ts_order *start)
{
  add_worker_b (cell);
  advance_without_a (cell, MAX_LEASE_MS - 1000);
  assert_run (cell, "a", start->run.run);
  advance_without_a (cell, 3000);
  assert_run (cell, "b", start->run.run + 1);
}

/* The poll that the new incarnation replied to renewed its lease, with an end
   far ahead on its clock. */
static void
test_renewal_by_the_earlier_clock (void)
{
  struct ts_cell *cell = start_listed_run ();
  struct ts_order start;

  ts_advance (cell, 100);
  ts_reply_poll_sent_at (cell, "a", cell->now.mono, 2, NULL, 0, NULL, 0);
  ts_register_incarnation (cell, "a", 4000, 4000, 2);
  start = start_in_next_incarnation (cell);
  assert_longest_lease (cell, &start);
  ts_destroy (cell);
}

/* The new incarnation accepted a start with an end on the earlier clock before
   it was known. */
static void
test_start_by_the_earlier_clock (void)
{
  struct ts_cell *cell = start_cell ();
  struct ts_order start = last_start (cell);
  struct kq_sched_running row = ts_running (&start, 100);

  ts_reply_order (cell, &start, KQ_SCHED_OK);
  ts_reply_poll_sent_at (cell, "a", cell->now.mono, 2, &row, 1, NULL, 0);
  assert_longest_lease (cell, &start);
  ts_destroy (cell);
}

/* The same, but the owner is replaced before it falls silent: the new owner
   must not count with the lease that owners give. */
static void
test_longest_lease_after_a_takeover (void)
{
  struct ts_cell *cell = start_cell ();
  struct ts_order start = last_start (cell);
  struct kq_sched_running row = ts_running (&start, 100);

  ts_reply_order (cell, &start, KQ_SCHED_OK);
  ts_reply_poll_sent_at (cell, "a", cell->now.mono, 2, &row, 1, NULL, 0);
  ts_advance (cell, 100);
  ts_take_over (cell);
  add_worker_b (cell);
  advance_without_a (cell, MAX_LEASE_MS - 100);
  assert_run (cell, "a", start.run.run);
  advance_without_a (cell, 5000);
  assert_run (cell, "b", start.run.run + 1);
  ts_destroy (cell);
}

/* A new owner that waits longer than needed for a worker whose long lease has
   lapsed under the earlier one. */
static void
test_long_lease_that_has_lapsed (void)
{
  struct ts_cell *cell = start_cell ();
  struct ts_order start = last_start (cell);
  struct kq_sched_running row = ts_running (&start, 100);

  ts_reply_order (cell, &start, KQ_SCHED_OK);
  for (int i = 0; i < 120; i++)
    {
      ts_reply_poll_sent_at (cell, "a", cell->now.mono, 2, &row, 1, NULL, 0);
      ts_advance (cell, 100);
    }
  ts_take_over (cell);
  add_worker_b (cell);
  advance_without_a (cell, LAPSE_MS + 1000);
  assert_run (cell, "b", start.run.run + 1);
  ts_destroy (cell);
}

/* A renewal without a reply may have reached the new incarnation; the owner
   took it for without effect once it stopped renewing. */
static void
test_unanswered_renewal_by_the_earlier_clock (void)
{
  struct ts_cell *cell = start_listed_run ();
  struct ts_order start;

  /* Renewals end 2.2 s after the last reply. */
  for (int i = 0; i < 25; i++)
    {
      ts_advance (cell, 100);
      ts_fail_poll (cell, "a");
    }
  ts_reply_poll_sent_at (cell, "a", cell->now.mono, 2, NULL, 0, NULL, 0);
  ts_register_incarnation (cell, "a", 4000, 4000, 2);
  start = start_in_next_incarnation (cell);
  add_worker_b (cell);
  /* The last renewal was sent 0.4 to 0.9 s before. */
  advance_without_a (cell, MAX_LEASE_MS - 2000);
  assert_run (cell, "a", start.run.run);
  ts_destroy (cell);
}

/* The start was sent by the earlier owner, and the new one knows the earlier
   incarnation first, if REGISTERED. */
static void
check_start_before_takeover (bool registered)
{
  struct ts_cell *cell = start_cell ();
  struct ts_order start = last_start (cell);
  struct kq_sched_running row = ts_running (&start, 100);

  ts_take_over (cell);
  if (registered)
    ts_register_worker (cell, "a", 4000, 4000);
  ts_reply_poll_sent_at (cell, "a", cell->now.mono, 2, &row, 1, NULL, 0);
  add_worker_b (cell);
  advance_without_a (cell, MAX_LEASE_MS - 1000);
  assert_run (cell, "a", start.run.run);
  ts_destroy (cell);
}

/* A new owner that takes a start of the earlier one for answered before the
   restart. */
static void
test_start_by_the_earlier_owner (void)
{
  check_start_before_takeover (true);
}

/* A new owner that meets the new incarnation first. */
static void
test_start_by_the_earlier_owner_unregistered (void)
{
  check_start_before_takeover (false);
}

/* The earlier owner's last renewal reached the new incarnation, and the new
   owner, which meets that one first, starts a run there. */
static void
test_renewal_by_the_earlier_owner (void)
{
  struct ts_cell *cell = start_cell ();
  struct ts_order start = last_start (cell);
  struct kq_sched_running row = ts_running (&start, 100);

  ts_reply_order (cell, &start, KQ_SCHED_OK);
  ts_reply_poll (cell, "a", &row, 1, NULL, 0);
  ts_advance (cell, 1000);
  ts_take_over (cell);
  ts_register_incarnation (cell, "a", 4000, 4000, 2);
  start = start_in_next_incarnation (cell);
  add_worker_b (cell);
  advance_without_a (cell, MAX_LEASE_MS - 2000);
  assert_run (cell, "a", start.run.run);
  ts_destroy (cell);
}

static const struct kq_test tests[] = {
  { "a renewal by the earlier owner", test_renewal_by_the_earlier_owner },
  { "an unanswered renewal by the earlier clock",
    test_unanswered_renewal_by_the_earlier_clock },
  { "a start by the earlier owner", test_start_by_the_earlier_owner },
  { "a start by the earlier owner, new incarnation first",
    test_start_by_the_earlier_owner_unregistered },
  { "the longest lease after a takeover",
    test_longest_lease_after_a_takeover },
  { "a long lease that has lapsed", test_long_lease_that_has_lapsed },
  { "a renewal by the earlier clock", test_renewal_by_the_earlier_clock },
  { "a start by the earlier clock", test_start_by_the_earlier_clock },
  { "registered while a start is under way",
    test_registered_while_a_start_is_under_way },
  { "status after an accepted start", test_status_after_an_accepted_start },
  { "a new incarnation that never replies",
    test_new_incarnation_that_never_replies },
  { "a listed run of the earlier incarnation",
    test_listed_run_of_the_earlier_incarnation },
  { "the first registration after a takeover",
    test_first_registration_after_a_takeover },
  { "a clock that began anew", test_clock_that_began_anew },
  { "replies in the wrong order", test_replies_in_the_wrong_order },
  { "a late reply of the earlier incarnation",
    test_late_reply_of_the_earlier_incarnation },
};

KQ_TEST_MAIN ("test-new-incarnation", tests)

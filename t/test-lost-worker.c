/* Guards against taking the replies of the process that took over a crashed
 * worker's address for signs of life of that worker: its tasks stayed down
 * until their leases lapsed, which each such reply put off.
 */
#include <stdlib.h>
#include <string.h>

#include "t/kqtest.h"
#include "t/lib-sched.h"

#define LASTING_JOB UINT64_C (0x11)
#define OTHER_JOB UINT64_C (0x12)

/* Time from a worker's last reply until its leases have lapsed. */
#define LAPSE_MS 8000

static const struct kq_sched_step lasting_step = {
  .count = 1, .demand = { 1000, 100, 0 }, .est_ms = 1000, .long_running = true
};

/* Suits worker "a" alone, whose rack is "r-a". */
static const struct kq_sched_step step_at_a = {
  .count = 1, .demand = { 1000, 100, 0 }, .est_ms = 1000, .label = "r-a"
};

/* Returns the last start order for the only task of JOB. */
static struct ts_order
last_start (const struct ts_cell *cell, uint64_t job)
{
  const struct ts_order *order
      = ts_last_order (cell, KQ_SCHED_FX_START, job, 0, 0);

  CU_ASSERT_PTR_NOT_NULL (order);
  return order != NULL ? *order : (struct ts_order){ .worker = "" };
}

static void
submit (struct ts_cell *cell, uint64_t job, const struct kq_sched_step *step)
{
  struct ts_order order;

  ts_submit (cell, job, "batch", step, 1);
  order = last_start (cell, job);
  ts_reply_order (cell, &order, KQ_SCHED_OK);
}

/* Returns a cell whose worker "a" runs a lasting task. */
static struct ts_cell *
start_cell (void)
{
  struct ts_cell *cell = ts_create ();

  ts_register_worker (cell, "a", 4000, 4000);
  ts_reply_poll (cell, "a", NULL, 0, NULL, 0);
  submit (cell, LASTING_JOB, &lasting_step);
  CU_ASSERT_STRING_EQUAL (last_start (cell, LASTING_JOB).worker, "a");
  ts_register_worker (cell, "b", 4000, 4000);
  ts_reply_poll (cell, "b", NULL, 0, NULL, 0);
  return cell;
}

static void
assert_lasting_task_at (const struct ts_cell *cell, const char *worker,
                        int run)
{
  struct ts_order start = last_start (cell, LASTING_JOB);

  CU_ASSERT_STRING_EQUAL (start.worker, worker);
  CU_ASSERT_EQUAL (start.run.run, run);
}

/* Lets 100 ms pass in which only worker "b" replies to its polls. */
static void
advance_without_a (struct ts_cell *cell)
{
  ts_advance (cell, 100);
  ts_fail_poll (cell, "a");
  ts_reply_poll (cell, "b", NULL, 0, NULL, 0);
}

/* Worker "a" crashes; the stop of another task there is refused again and
   again by the process that has its address now. */
static void
test_stop_refused_by_another_incarnation (void)
{
  struct ts_cell *cell = start_cell ();
  struct ts_order other;

  submit (cell, OTHER_JOB, &step_at_a);
  for (int i = 0; i < 20; i++)
    advance_without_a (cell);
  assert_lasting_task_at (cell, "a", 1);
  ts_cancel (cell, OTHER_JOB);
  other = *ts_last_order (cell, KQ_SCHED_FX_STOP, OTHER_JOB, 0, 0);
  ts_reply_order (cell, &other, KQ_SCHED_OTHER_INCARNATION);
  assert_lasting_task_at (cell, "b", 2);
  ts_destroy (cell);
}

static void
test_poll_refused_by_another_incarnation (void)
{
  struct ts_cell *cell = start_cell ();

  for (int i = 0; i < 10; i++)
    advance_without_a (cell);
  assert_lasting_task_at (cell, "a", 1);
  ts_refuse_poll (cell, "a", cell->now.mono, KQ_SCHED_OTHER_INCARNATION);
  assert_lasting_task_at (cell, "b", 2);
  ts_destroy (cell);
}

/* The refusal of a start must not make the worker look usable: the next tasks
   would be sent there as well. */
static void
test_start_refused_by_another_incarnation (void)
{
  struct ts_cell *cell = start_cell ();
  struct ts_order start;

  ts_submit (cell, OTHER_JOB, "batch", &step_at_a, 1);
  start = last_start (cell, OTHER_JOB);
  ts_reply_order (cell, &start, KQ_SCHED_OTHER_INCARNATION);
  assert_lasting_task_at (cell, "b", 2);
  for (int i = 0; i < 30; i++)
    advance_without_a (cell);
  CU_ASSERT_EQUAL (last_start (cell, OTHER_JOB).run.run, 1);
  ts_destroy (cell);
}

/* The stop of a run that no task has any more is refused again and again, as
   of a cancelled job; the leases lapse as if nothing had replied. */
static void
test_refusals_do_not_renew_leases (void)
{
  struct ts_cell *cell = start_cell ();
  struct ts_order stop = { .kind = KQ_SCHED_FX_STOP, .worker = "a" };
  kq_usec last_reply_at = cell->now.mono;

  while (last_start (cell, LASTING_JOB).run.run == 1
         && cell->now.mono - last_reply_at < 20 * KQ_USEC_PER_SEC)
    {
      stop.at = cell->now.mono;
      advance_without_a (cell);
      ts_reply_order (cell, &stop, KQ_SCHED_OTHER_INCARNATION);
    }
  CU_ASSERT (cell->now.mono - last_reply_at < LAPSE_MS * KQ_USEC_PER_MSEC);
  ts_destroy (cell);
}

/* A worker starts again under its ID.  The refusal of an order to the earlier
   incarnation arrives afterwards and says nothing about the new one. */
static void
test_late_refusal_of_an_earlier_incarnation (void)
{
  struct ts_cell *cell = start_cell ();
  struct ts_order start = last_start (cell, LASTING_JOB);
  kq_usec sent_at = cell->now.mono;
  struct kq_sched_running row;

  ts_advance (cell, 100);
  ts_register_incarnation (cell, "a", 4000, 4000, 2);
  ts_reply_poll_sent_at (cell, "a", cell->now.mono, 2, NULL, 0, NULL, 0);
  assert_lasting_task_at (cell, last_start (cell, LASTING_JOB).worker, 2);
  start = last_start (cell, LASTING_JOB);
  ts_reply_order (cell, &start, KQ_SCHED_OK);
  row = ts_running (&start, 100);
  ts_reply_poll_sent_at (cell, start.worker, cell->now.mono,
                         strcmp (start.worker, "a") == 0 ? 2 : 1, &row, 1,
                         NULL, 0);
  ts_refuse_poll (cell, "a", sent_at, KQ_SCHED_OTHER_INCARNATION);
  assert_lasting_task_at (cell, start.worker, 2);
  ts_submit (cell, OTHER_JOB, "batch", &step_at_a, 1);
  CU_ASSERT_STRING_EQUAL (last_start (cell, OTHER_JOB).worker, "a");
  ts_destroy (cell);
}

/* A worker that replies itself is usable, whatever was refused before, and
   what it still runs is stopped. */
static void
test_worker_that_replies_again (void)
{
  struct ts_cell *cell = start_cell ();
  struct ts_order first = last_start (cell, LASTING_JOB);
  struct kq_sched_running row = ts_running (&first, 100);

  ts_refuse_poll (cell, "a", cell->now.mono, KQ_SCHED_OTHER_INCARNATION);
  assert_lasting_task_at (cell, "b", 2);
  ts_advance (cell, 100);
  ts_reply_poll (cell, "a", &row, 1, NULL, 0);
  CU_ASSERT_EQUAL (ts_count_orders (cell, KQ_SCHED_FX_STOP), 1);
  ts_submit (cell, OTHER_JOB, "batch", &step_at_a, 1);
  CU_ASSERT_STRING_EQUAL (last_start (cell, OTHER_JOB).worker, "a");
  ts_destroy (cell);
}

/* A worker refuses all orders since it is unhealthy, and so renews no lease.
   The refusals of starts must not put off the time at which the leases count
   as lapsed. */
static void
test_refusals_of_an_unhealthy_worker (void)
{
  struct ts_cell *cell = start_cell ();
  kq_usec last_reply_at = cell->now.mono;
  int refused_run = 0;

  ts_submit (cell, OTHER_JOB, "batch", &step_at_a, 1);
  while (last_start (cell, LASTING_JOB).run.run == 1
         && cell->now.mono - last_reply_at < 20 * KQ_USEC_PER_SEC)
    {
      struct ts_order start = last_start (cell, OTHER_JOB);

      if (start.run.run > refused_run)
        ts_reply_order (cell, &start, KQ_SCHED_UNHEALTHY);
      refused_run = start.run.run;
      ts_advance (cell, 100);
      ts_refuse_poll (cell, "a", cell->now.mono, KQ_SCHED_UNHEALTHY);
      ts_reply_poll (cell, "b", NULL, 0, NULL, 0);
    }
  CU_ASSERT (cell->now.mono - last_reply_at < LAPSE_MS * KQ_USEC_PER_MSEC);
  ts_destroy (cell);
}

static const struct kq_test tests[] = {
  { "a stop refused by another incarnation",
    test_stop_refused_by_another_incarnation },
  { "a poll refused by another incarnation",
    test_poll_refused_by_another_incarnation },
  { "a start refused by another incarnation",
    test_start_refused_by_another_incarnation },
  { "refusals do not renew leases", test_refusals_do_not_renew_leases },
  { "a late refusal of an earlier incarnation",
    test_late_refusal_of_an_earlier_incarnation },
  { "a worker that replies again", test_worker_that_replies_again },
  { "refusals of an unhealthy worker", test_refusals_of_an_unhealthy_worker },
};

KQ_TEST_MAIN ("test-lost-worker", tests)

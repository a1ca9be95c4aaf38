/* Guards against starts of a task that crashes its workers which no owner
 * counts: the order of a run that was given up is carried out by the next
 * incarnation of its worker, and crashes that one too.
 */
#include <string.h>

#include "t/kqtest.h"
#include "t/lib-sched.h"

#define JOB UINT64_C (0x12)
#define SECOND_LIFE 2
#define THIRD_LIFE 3

static const struct kq_sched_step short_step
    = { .count = 1, .demand = { 1000, 100, 0 }, .est_ms = 600 };

static int64_t
count_losses (const struct ts_cell *cell)
{
  struct kq_sched_counts counts;

  kq_sched_count (cell->sched, &counts);
  return counts.crashes;
}

static void
restart (struct ts_cell *cell, const char *worker, int64_t incarnation_ms)
{
  ts_register_incarnation (cell, worker, 4000, 4000, incarnation_ms);
  ts_advance (cell, 20);
}

/* Starts the only task without a reply. */
static struct ts_order
start_unanswered (struct ts_cell *cell)
{
  struct ts_order first;

  ts_add_idle_worker (cell, "a", 4000);
  ts_add_idle_worker (cell, "b", 4000);
  ts_submit (cell, JOB, "batch", &short_step, 1);
  ts_advance (cell, 20);
  first = *ts_last_order (cell, KQ_SCHED_FX_START, JOB, 0, 0);
  ts_reply_order (cell, &first, KQ_SCHED_NO_REPLY);
  return first;
}

/* A stop settles the run of FIRST, which its worker does not list. */
static void
settle_run (struct ts_cell *cell, const struct ts_order *first,
            int64_t incarnation_ms)
{
  const struct ts_order *stop;

  ts_advance (cell, 20);
  ts_reply_poll_sent_at (cell, first->worker, cell->now.mono, incarnation_ms,
                         NULL, 0, NULL, 0);
  ts_advance (cell, 20);
  stop = ts_last_order (cell, KQ_SCHED_FX_STOP, JOB, 0, 0);
  CU_ASSERT_PTR_NOT_NULL_FATAL (stop);
  ts_reply_order (cell, stop, KQ_SCHED_OK);
  ts_advance (cell, 20);
  ts_reply_poll_sent_at (cell, first->worker, cell->now.mono, incarnation_ms,
                         NULL, 0, NULL, 0);
}

/* The same for the only start, after which no other worker takes the task. */
static void
settle (struct ts_cell *cell, const struct ts_order *first,
        int64_t incarnation_ms)
{
  ts_drain (cell, strcmp (first->worker, "a") == 0 ? "b" : "a");
  settle_run (cell, first, incarnation_ms);
  CU_ASSERT_EQUAL (ts_count_orders (cell, KQ_SCHED_FX_START), 1);
}

static struct ts_order
settle_start (struct ts_cell *cell)
{
  struct ts_order first = start_unanswered (cell);

  settle (cell, &first, 1);
  return first;
}

static void
test_no_list_before_the_crash (void)
{
  struct ts_cell *cell = ts_create ();
  struct ts_order first = settle_start (cell);

  restart (cell, first.worker, SECOND_LIFE);
  CU_ASSERT_EQUAL (count_losses (cell), 0);
  restart (cell, first.worker, THIRD_LIFE);
  CU_ASSERT_EQUAL (count_losses (cell), 1);
  ts_destroy (cell);
}

static void
test_run_listed_before_the_crash (void)
{
  struct ts_cell *cell = ts_create ();
  struct ts_order first = settle_start (cell);
  struct kq_sched_running row = ts_running (&first, 0);

  restart (cell, first.worker, SECOND_LIFE);
  ts_reply_poll_sent_at (cell, first.worker, cell->now.mono, SECOND_LIFE, &row,
                         1, NULL, 0);
  ts_advance (cell, 20);
  restart (cell, first.worker, THIRD_LIFE);
  CU_ASSERT_EQUAL (count_losses (cell), 1);
  ts_destroy (cell);
}

/* Its fence would have refused the order after that. */
static void
test_worker_that_listed_its_runs (void)
{
  struct ts_cell *cell = ts_create ();
  struct ts_order first = settle_start (cell);

  restart (cell, first.worker, SECOND_LIFE);
  ts_reply_poll_sent_at (cell, first.worker, cell->now.mono, SECOND_LIFE, NULL,
                         0, NULL, 0);
  ts_advance (cell, 20);
  restart (cell, first.worker, THIRD_LIFE);
  CU_ASSERT_EQUAL (count_losses (cell), 0);
  ts_destroy (cell);
}

/* A run that was listed and has ended crashes no worker any more. */
static void
test_run_ended_before_the_crash (void)
{
  struct ts_cell *cell = ts_create ();
  struct ts_order first = settle_start (cell);
  struct kq_sched_running row = ts_running (&first, 0);
  struct kq_sched_ended ended = ts_ended (&first, 1, KQ_SCHED_STOPPED);

  restart (cell, first.worker, SECOND_LIFE);
  ts_reply_poll_sent_at (cell, first.worker, cell->now.mono, SECOND_LIFE, &row,
                         1, NULL, 0);
  ts_advance (cell, 20);
  ts_reply_poll_sent_at (cell, first.worker, cell->now.mono, SECOND_LIFE, NULL,
                         0, &ended, 1);
  ts_advance (cell, 20);
  restart (cell, first.worker, THIRD_LIFE);
  CU_ASSERT_EQUAL (count_losses (cell), 0);
  ts_destroy (cell);
}

/* One order begins one run, in whichever life of its worker. */
static void
test_one_order_counts_once (void)
{
  struct ts_cell *cell = ts_create ();
  struct ts_order first = start_unanswered (cell);

  restart (cell, first.worker, SECOND_LIFE);
  settle (cell, &first, SECOND_LIFE);
  CU_ASSERT_EQUAL (count_losses (cell), 1);
  restart (cell, first.worker, THIRD_LIFE);
  restart (cell, first.worker, THIRD_LIFE + 1);
  CU_ASSERT_EQUAL (count_losses (cell), 1);
  ts_destroy (cell);
}

/* Each of two open orders may crash another life of the worker. */
static void
test_two_open_orders (void)
{
  struct ts_cell *cell = ts_create ();
  struct ts_order first = settle_start (cell);
  struct ts_order second;

  for (int i = 0; i < 10; i++)
    {
      ts_reply_poll_sent_at (cell, first.worker, cell->now.mono, 1, NULL, 0,
                             NULL, 0);
      ts_advance (cell, 100);
    }
  CU_ASSERT_EQUAL_FATAL (ts_count_orders (cell, KQ_SCHED_FX_START), 2);
  second = *ts_last_order (cell, KQ_SCHED_FX_START, JOB, 0, 0);
  CU_ASSERT_STRING_EQUAL (second.worker, first.worker);
  ts_reply_order (cell, &second, KQ_SCHED_NO_REPLY);
  settle_run (cell, &second, 1);
  restart (cell, first.worker, SECOND_LIFE);
  restart (cell, first.worker, THIRD_LIFE);
  CU_ASSERT_EQUAL (count_losses (cell), 1);
  restart (cell, first.worker, THIRD_LIFE + 1);
  CU_ASSERT_EQUAL (count_losses (cell), 2);
  restart (cell, first.worker, THIRD_LIFE + 2);
  CU_ASSERT_EQUAL (count_losses (cell), 2);
  ts_destroy (cell);
}

static void
test_counts_after_a_takeover (void)
{
  struct ts_cell *cell = ts_create ();
  struct ts_order first = settle_start (cell);

  ts_advance (cell, 100);
  ts_take_over (cell);
  restart (cell, first.worker, SECOND_LIFE);
  restart (cell, first.worker, THIRD_LIFE);
  CU_ASSERT_EQUAL (count_losses (cell), 1);
  ts_destroy (cell);
}

static const struct kq_test tests[] = {
  { "a worker that crashes before it lists its runs",
    test_no_list_before_the_crash },
  { "a worker that crashes after it listed the run",
    test_run_listed_before_the_crash },
  { "a worker that had listed its runs", test_worker_that_listed_its_runs },
  { "a run that had ended", test_run_ended_before_the_crash },
  { "one order counts once", test_one_order_counts_once },
  { "two open orders", test_two_open_orders },
  { "an order counts after a takeover", test_counts_after_a_takeover },
};

KQ_TEST_MAIN ("test-late-loss", tests)

/* Guards against two runs of a task at once: a settled start is carried out by
 * the next incarnation of its worker, which lists the run; the task must not
 * be started again before that run has ended there.
 */
#include <stdlib.h>
#include <string.h>

#include "t/kqtest.h"
#include "t/lib-sched.h"

#define JOB UINT64_C (0x11)
#define RESTARTED 1000

static const struct kq_sched_step step
    = { .count = 1, .demand = { 1000, 100, 0 }, .est_ms = 20000 };

static const char *
other (const char *worker)
{
  return strcmp (worker, "a") == 0 ? "b" : "a";
}

static void
submit_to_two_workers (struct ts_cell *cell)
{
  ts_start (cell);
  ts_register_worker (cell, "a", 4000, 4000);
  ts_register_worker (cell, "b", 4000, 4000);
  ts_reply_poll (cell, "a", NULL, 0, NULL, 0);
  ts_reply_poll (cell, "b", NULL, 0, NULL, 0);
  ts_submit (cell, JOB, "batch", &step, 1);
  ts_advance (cell, 20);
}

/* Settles the first start of JOB, which had no reply, by a stop; returns the
   order of the second one, at another worker. */
static struct ts_order
settle_first_start (struct ts_cell *cell, struct ts_order *first)
{
  struct ts_order second;
  struct ts_order stop;

  submit_to_two_workers (cell);
  *first = *ts_last_order (cell, KQ_SCHED_FX_START, JOB, 0, 0);
  ts_reply_order (cell, first, KQ_SCHED_NO_REPLY);
  ts_advance (cell, 20);
  ts_reply_poll (cell, first->worker, NULL, 0, NULL, 0);
  ts_advance (cell, 20);
  stop = *ts_last_order (cell, KQ_SCHED_FX_STOP, JOB, 0, 0);
  ts_drain (cell, first->worker);
  ts_reply_order (cell, &stop, KQ_SCHED_OK);
  ts_advance (cell, 20);
  ts_reply_poll (cell, first->worker, NULL, 0, NULL, 0);
  /* The first worker takes no more starts; until its order is too old the
     task goes nowhere else. */
  for (int i = 0; i < 60; i++)
    {
      ts_reply_poll (cell, first->worker, NULL, 0, NULL, 0);
      ts_reply_poll (cell, other (first->worker), NULL, 0, NULL, 0);
      ts_advance (cell, 100);
    }
  second = *ts_last_order (cell, KQ_SCHED_FX_START, JOB, 0, 0);
  CU_ASSERT_EQUAL_FATAL (second.run.run, 2);
  CU_ASSERT_STRING_NOT_EQUAL (second.worker, first->worker);
  ts_reply_order (cell, &second, KQ_SCHED_OK);
  ts_advance (cell, 20);
  return second;
}

static int64_t
count_second_runs (const struct ts_cell *cell)
{
  struct kq_sched_counts counts;

  kq_sched_count (cell->sched, &counts);
  return counts.second_runs;
}

/* Two runs of a task at once that no metric shows: each is counted once. */
static void
test_second_run_is_counted (void)
{
  struct ts_cell *cell = malloc (sizeof *cell);
  struct ts_order first;
  struct kq_sched_running row;

  settle_first_start (cell, &first);
  row = ts_running (&first, 5);
  ts_register_incarnation (cell, first.worker, 4000, 4000, RESTARTED);
  CU_ASSERT_EQUAL (count_second_runs (cell), 0);
  for (int i = 0; i < 3; i++)
    {
      ts_reply_poll_sent_at (cell, first.worker, cell->now.mono, RESTARTED,
                             &row, 1, NULL, 0);
      ts_advance (cell, 100);
    }
  CU_ASSERT_EQUAL (count_second_runs (cell), 1);
  ts_destroy (cell);
}

static void
test_no_start_beside_listed_run (void)
{
  struct ts_cell *cell = malloc (sizeof *cell);
  struct ts_order first;
  struct ts_order second = settle_first_start (cell, &first);
  struct kq_sched_running row;
  struct kq_sched_ended end;
  int starts;

  /* The first worker restarts and carries out the first start. */
  row = ts_running (&first, 5);
  ts_register_incarnation (cell, first.worker, 4000, 4000, RESTARTED);
  ts_reply_poll_sent_at (cell, first.worker, cell->now.mono, RESTARTED, &row,
                         1, NULL, 0);
  /* The second one restarts without the second run. */
  starts = ts_count_orders (cell, KQ_SCHED_FX_START);
  ts_register_incarnation (cell, second.worker, 4000, 4000, RESTARTED);
  ts_reply_poll_sent_at (cell, second.worker, cell->now.mono, RESTARTED, NULL,
                         0, NULL, 0);
  ts_advance (cell, 100);
  ts_reply_poll_sent_at (cell, first.worker, cell->now.mono, RESTARTED, &row,
                         1, NULL, 0);
  ts_reply_poll_sent_at (cell, second.worker, cell->now.mono, RESTARTED, NULL,
                         0, NULL, 0);
  ts_advance (cell, 100);
  CU_ASSERT_EQUAL (ts_count_orders (cell, KQ_SCHED_FX_START), starts);

  /* Once its end is listed the task goes on. */
  end = ts_ended (&first, 1, KQ_SCHED_STOPPED);
  ts_reply_poll_sent_at (cell, first.worker, cell->now.mono, RESTARTED, NULL,
                         0, &end, 1);
  ts_reply_poll_sent_at (cell, second.worker, cell->now.mono, RESTARTED, NULL,
                         0, NULL, 0);
  ts_advance (cell, 1000);
  CU_ASSERT (ts_count_orders (cell, KQ_SCHED_FX_START) > starts);
  ts_destroy (cell);
}

/* Submits a job of one task and has its start refused, since a run of that
   number is over at the worker. */
static struct ts_order
refuse_as_over (struct ts_cell *cell)
{
  struct ts_order start;

  submit_to_two_workers (cell);
  start = *ts_last_order (cell, KQ_SCHED_FX_START, JOB, 0, 0);
  ts_reply_order (cell, &start, KQ_SCHED_STALE_RUN);
  ts_advance (cell, 20);
  return start;
}

/* A second run of a task whose end at another worker was not read yet. */
static void
test_refused_run_may_have_ended (void)
{
  struct ts_cell *cell = malloc (sizeof *cell);
  struct ts_order start = refuse_as_over (cell);
  struct kq_sched_ended end = ts_ended (&start, 1, KQ_SCHED_DONE);

  CU_ASSERT_EQUAL (ts_count_orders (cell, KQ_SCHED_FX_START), 1);
  ts_reply_poll (cell, start.worker, NULL, 0, &end, 1);
  ts_advance (cell, 1000);
  CU_ASSERT_EQUAL (ts_count_orders (cell, KQ_SCHED_FX_START), 1);
  ts_destroy (cell);
}

/* A task that waits for ever, since its worker knows of no end. */
static void
test_refused_run_without_end (void)
{
  struct ts_cell *cell = malloc (sizeof *cell);
  struct ts_order start = refuse_as_over (cell);

  for (int i = 0; i < 20; i++)
    {
      ts_reply_poll (cell, "a", NULL, 0, NULL, 0);
      ts_reply_poll (cell, "b", NULL, 0, NULL, 0);
      if (ts_count_orders (cell, KQ_SCHED_FX_STOP) == 1)
        ts_reply_order (cell,
                        ts_last_order (cell, KQ_SCHED_FX_STOP, JOB, 0, 0),
                        KQ_SCHED_STALE_RUN);
      ts_advance (cell, 50);
    }
  CU_ASSERT_EQUAL (ts_count_orders (cell, KQ_SCHED_FX_START), 2);
  CU_ASSERT_EQUAL (start.run.run, 1);
  ts_destroy (cell);
}

/* An end that a reply to a later poll has listed: the list of the earlier
   poll, which that reply overtook, shows no second run. */
static void
test_overtaken_list_is_no_second_run (void)
{
  static const struct kq_sched_step two
      = { .count = 2, .demand = { 1000, 100, 0 }, .est_ms = 1000 };
  struct ts_cell *cell = malloc (sizeof *cell);
  struct ts_order start;
  struct kq_sched_running row;
  struct kq_sched_ended end;
  kq_usec earlier;

  ts_start (cell);
  ts_register_worker (cell, "a", 4000, 4000);
  ts_reply_poll (cell, "a", NULL, 0, NULL, 0);
  ts_submit (cell, JOB, "batch", &two, 1);
  ts_advance (cell, 20);
  start = *ts_last_order (cell, KQ_SCHED_FX_START, JOB, 0, 0);
  ts_reply_order (cell, &start, KQ_SCHED_OK);
  row = ts_running (&start, 50);
  end = ts_ended (&start, 1, KQ_SCHED_DONE);
  earlier = cell->now.mono;
  ts_advance (cell, 20);
  ts_reply_poll (cell, "a", NULL, 0, &end, 1);
  ts_reply_poll_sent_at (cell, "a", earlier, 1, &row, 1, NULL, 0);
  CU_ASSERT_EQUAL (count_second_runs (cell), 0);
  ts_destroy (cell);
}

static const struct kq_test tests[] = {
  { "no start beside a listed run of the task",
    test_no_start_beside_listed_run },
  { "a second run is counted", test_second_run_is_counted },
  { "an overtaken list is no second run",
    test_overtaken_list_is_no_second_run },
  { "a refused run may have ended", test_refused_run_may_have_ended },
  { "a refused run without an end", test_refused_run_without_end },
};

KQ_TEST_MAIN ("test-unknown-run", tests)

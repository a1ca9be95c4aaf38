/* Guards against a task that runs twice: a row of a worker's list of runs
 * could not be read, and the run that it stands for was given up as one that
 * is not there.
 */
#include "t/kqtest.h"
#include "t/lib-sched.h"

#define JOB UINT64_C (0x11)

static const struct kq_sched_step step
    = { .count = 1, .demand = { 1000, 100, 0 }, .est_ms = 20000 };

/* Worker "a" replies with an empty list, of which rows were not read if
   UNREAD. */
static void
reply_empty (struct ts_cell *cell, bool unread)
{
  struct kq_sched_status status
      = { .worker_clock_ms = cell->now.mono / KQ_USEC_PER_MSEC,
          .incarnation_ms = 1,
          .has_unread_rows = unread };
  struct kq_sched_event event = { .kind = KQ_SCHED_EV_POLLED };

  event.u.polled.worker = "a";
  event.u.polled.reply = KQ_SCHED_OK;
  event.u.polled.sent_at = cell->now.mono;
  event.u.polled.worker_status = &status;
  kq_sched_event (cell->sched, cell->now, &event);
  ts_process_pending (cell);
}

/* Returns the number of the last run that was started after worker "a" has
   listed the first one and then replied with an empty list. */
static int
last_run_after_empty_list (bool unread)
{
  struct ts_cell *cell = ts_create ();
  struct kq_sched_running row;
  struct ts_order start;
  int run;

  ts_add_idle_worker (cell, "a", 4000);
  ts_submit (cell, JOB, "batch", &step, 1);
  start = *ts_last_order (cell, KQ_SCHED_FX_START, JOB, 0, 0);
  ts_reply_order (cell, &start, KQ_SCHED_OK);
  ts_advance (cell, 100);
  row = ts_running (&start, 5);
  ts_reply_poll (cell, "a", &row, 1, NULL, 0);
  ts_add_idle_worker (cell, "b", 4000);
  ts_advance (cell, 100);
  reply_empty (cell, unread);
  ts_advance (cell, 500);
  run = ts_last_order (cell, KQ_SCHED_FX_START, JOB, 0, 0)->run.run;
  ts_destroy (cell);
  return run;
}

static void
test_row_not_read (void)
{
  CU_ASSERT_EQUAL (last_run_after_empty_list (true), 1);
}

/* A run that is in neither list is lost, and its task goes on at once. */
static void
test_run_not_listed (void)
{
  CU_ASSERT_EQUAL (last_run_after_empty_list (false), 2);
}

static const struct kq_test tests[] = {
  { "a row is not read", test_row_not_read },
  { "a run is not listed", test_run_not_listed },
};

KQ_TEST_MAIN ("test-unread-rows", tests)

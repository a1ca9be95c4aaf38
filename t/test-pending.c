/* Guards against jobs that have not begun and that an owner leaves out of the
   number of pending jobs after a takeover. */
#include <stdio.h>

#include "t/kqtest.h"
#include "t/lib-sched.h"

#define JOB UINT64_C (0x21)

static const struct kq_sched_step one_task
    = { .count = 1, .demand = { 1000, 100, 0 }, .est_ms = 5000 };
static const struct kq_sched_step two_tasks
    = { .count = 2, .demand = { 1000, 100, 0 }, .est_ms = 5000 };

static int
count_pending (struct ts_cell *cell)
{
  struct kq_sched_event event = { .kind = KQ_SCHED_EV_PENDING };
  const struct ts_result *result;

  event.u.call.token = ++cell->last_token;
  event.u.call.queue = "urgent";
  kq_sched_event (cell->sched, cell->now, &event);
  ts_process_pending (cell);
  result = ts_result_of (cell, event.u.call.token);
  return result != NULL ? result->pending : -1;
}

static enum kq_sched_state
state_of (struct ts_cell *cell)
{
  return ts_result_of (cell, ts_query (cell, JOB))->state;
}

/* Submits a job of STEP, whose tasks are ordered to start. */
static struct ts_cell *
start_cell (const struct kq_sched_step *step)
{
  struct ts_cell *cell = ts_create ();

  ts_add_idle_worker (cell, "0", 8000);
  ts_submit (cell, JOB, "urgent", step, 1);
  ts_process_pending (cell);
  ts_advance (cell, 100);
  CU_ASSERT_PTR_NOT_NULL_FATAL (
      ts_last_order (cell, KQ_SCHED_FX_START, JOB, 0, 0));
  return cell;
}

static void
reply_start (struct ts_cell *cell, int index, enum kq_sched_reply reply)
{
  ts_reply_order (cell, ts_last_order (cell, KQ_SCHED_FX_START, JOB, 0, index),
                  reply);
  ts_process_pending (cell);
}

static void
test_refused_start (void)
{
  struct ts_cell *cell = start_cell (&one_task);

  reply_start (cell, 0, KQ_SCHED_UNHEALTHY);
  CU_ASSERT_EQUAL (count_pending (cell), 1);
  ts_take_over (cell);
  CU_ASSERT_EQUAL (count_pending (cell), 1);
  CU_ASSERT_EQUAL (state_of (cell), KQ_SCHED_QUEUED);
  ts_destroy (cell);
}

/* The worker was told to start the task and does not list it. */
static void
test_start_never_carried_out (void)
{
  struct ts_cell *cell = start_cell (&one_task);

  ts_take_over (cell);
  CU_ASSERT_EQUAL (count_pending (cell), 1);
  ts_register_worker (cell, "0", 8000, 4000);
  ts_reply_poll (cell, "0", NULL, 0, NULL, 0);
  CU_ASSERT_EQUAL (count_pending (cell), 1);
  ts_destroy (cell);
}

/* What an earlier owner has started is not counted once its worker lists it.
 */
static void
test_running_after_takeover (void)
{
  struct ts_cell *cell = start_cell (&one_task);
  struct kq_sched_running row;

  reply_start (cell, 0, KQ_SCHED_OK);
  CU_ASSERT_EQUAL (count_pending (cell), 0);
  row = ts_running (ts_last_order (cell, KQ_SCHED_FX_START, JOB, 0, 0), 10);
  ts_take_over (cell);
  ts_register_worker (cell, "0", 8000, 4000);
  ts_reply_poll (cell, "0", &row, 1, NULL, 0);
  CU_ASSERT_EQUAL (count_pending (cell), 0);
  CU_ASSERT_EQUAL (state_of (cell), KQ_SCHED_ACTIVE);
  ts_destroy (cell);
}

static void
test_ended_after_takeover (void)
{
  struct ts_cell *cell = start_cell (&one_task);
  struct kq_sched_ended row;

  row = ts_ended (ts_last_order (cell, KQ_SCHED_FX_START, JOB, 0, 0), 1,
                  KQ_SCHED_LAPSED);
  ts_take_over (cell);
  ts_register_worker (cell, "0", 8000, 4000);
  ts_reply_poll (cell, "0", NULL, 0, &row, 1);
  CU_ASSERT_EQUAL (count_pending (cell), 0);
  ts_destroy (cell);
}

/* A job that has begun stays so where no worker can say it any more. */
static void
test_begun_is_stored (void)
{
  struct ts_cell *cell = start_cell (&two_tasks);

  reply_start (cell, 0, KQ_SCHED_OK);
  reply_start (cell, 1, KQ_SCHED_UNHEALTHY);
  ts_advance (cell, 100);
  ts_take_over (cell);
  CU_ASSERT_EQUAL (count_pending (cell), 0);
  CU_ASSERT_EQUAL (state_of (cell), KQ_SCHED_ACTIVE);
  ts_destroy (cell);
}

static const struct kq_test tests[] = {
  { "a refused start is no start after a takeover", test_refused_start },
  { "an order that was not carried out is no start",
    test_start_never_carried_out },
  { "a running task of an earlier owner is a start",
    test_running_after_takeover },
  { "an ended run of an earlier owner is a start", test_ended_after_takeover },
  { "a start is stored with the next change", test_begun_is_stored },
};

KQ_TEST_MAIN ("test-pending", tests)

/* Guards against starting a task a second time when its worker has restarted
 * under its own ID: a start order that was on its way then is carried out by
 * the new incarnation, to which no lease of before says anything.
 */
#include <stdbool.h>
#include <stdlib.h>

#include "t/kqtest.h"
#include "t/lib-sched.h"

#define JOB UINT64_C (0x11)

static const struct kq_sched_step step
    = { .count = 1, .demand = { 1000, 100, 0 }, .est_ms = 1000 };

/* Returns a cell whose worker "a" was sent a start order and then registers as
   a new incarnation; if REPLIED, it has replied before that. */
static struct ts_cell *
restart_with_start (struct ts_order *start, bool replied)
{
  struct ts_cell *cell = ts_create ();

  ts_register_worker (cell, "a", 4000, 4000);
  ts_reply_poll (cell, "a", NULL, 0, NULL, 0);
  ts_submit (cell, JOB, "batch", &step, 1);
  ts_advance (cell, 20);
  *start = *ts_last_order (cell, KQ_SCHED_FX_START, JOB, 0, 0);
  ts_register_worker (cell, "b", 4000, 4000);
  ts_reply_poll (cell, "b", NULL, 0, NULL, 0);
  if (replied)
    ts_reply_order (cell, start, KQ_SCHED_OK);
  ts_register_incarnation (cell, "a", 4000, 4000, INT64_MAX / 2);
  return cell;
}

/* Until the new incarnation says what it runs, it may have carried the order
   out. */
static void
test_start_accepted_by_new_incarnation (void)
{
  struct ts_order start;
  struct ts_cell *cell = restart_with_start (&start, false);

  ts_reply_order (cell, &start, KQ_SCHED_OK);
  ts_advance (cell, 200);
  CU_ASSERT_EQUAL (ts_count_orders (cell, KQ_SCHED_FX_START), 1);
  ts_destroy (cell);
}

static void
test_start_in_flight_to_new_incarnation (void)
{
  struct ts_order start;
  struct ts_cell *cell = restart_with_start (&start, false);

  ts_advance (cell, 200);
  CU_ASSERT_EQUAL (ts_count_orders (cell, KQ_SCHED_FX_START), 1);
  ts_destroy (cell);
}

/* The new incarnation may have replied to the order before it was known. */
static void
test_start_accepted_before_registration (void)
{
  struct ts_order start;
  struct ts_cell *cell = restart_with_start (&start, true);

  ts_advance (cell, 200);
  CU_ASSERT_EQUAL (ts_count_orders (cell, KQ_SCHED_FX_START), 1);
  ts_destroy (cell);
}

/* A start that the old incarnation accepted: the new one does not list it. */
static void
test_run_missing_at_new_incarnation (void)
{
  struct ts_order start;
  struct ts_cell *cell = restart_with_start (&start, false);

  ts_reply_order (cell, &start, KQ_SCHED_OK);
  ts_advance (cell, 20);
  ts_reply_poll_sent_at (cell, "a", cell->now.mono, INT64_MAX / 2, NULL, 0,
                         NULL, 0);
  ts_advance (cell, 200);
  CU_ASSERT_EQUAL (ts_count_orders (cell, KQ_SCHED_FX_START), 2);
  ts_destroy (cell);
}

static const struct kq_test tests[] = {
  { "a start accepted by a new incarnation is no lapsed run",
    test_start_accepted_by_new_incarnation },
  { "a start on its way to a new incarnation is no lapsed run",
    test_start_in_flight_to_new_incarnation },
  { "a start accepted before the registration was read is no lapsed run",
    test_start_accepted_before_registration },
  { "a run that the new incarnation lacks starts again",
    test_run_missing_at_new_incarnation },
};

KQ_TEST_MAIN ("test-restarted-worker", tests)

/* Guards against long-running tasks that never start at the worker that is
 * reserved for them: a smaller short task that found no room, or another task
 * of the step without a reservation, kept them from being tried, while the
 * reservation kept all others away.
 */
#include "t/kqtest.h"
#include "t/lib-sched.h"

#define LASTING UINT64_C (1)
#define BATCH UINT64_C (2)
#define SHORT UINT64_C (3)

static const struct kq_sched_step lasting = { .count = 1,
                                              .demand = { 3000, 100, 0 },
                                              .est_ms = 100000,
                                              .long_running = true };
static const struct kq_sched_step batch
    = { .count = 1, .demand = { 3000, 100, 0 }, .est_ms = 600 };
static const struct kq_sched_step smaller
    = { .count = 1, .demand = { 2000, 100, 0 }, .est_ms = 100 };

/* Starts the only task of JOB and lists it in a poll of its worker. */
static struct ts_order
start_job (struct ts_cell *cell, uint64_t job,
           const struct kq_sched_step *step)
{
  const struct ts_order *order;
  struct kq_sched_running running;

  ts_submit (cell, job, "urgent", step, 1);
  order = ts_last_order (cell, KQ_SCHED_FX_START, job, 0, 0);
  CU_ASSERT_PTR_NOT_NULL (order);
  if (order == NULL)
    return (struct ts_order){ .kind = KQ_SCHED_FX_START };
  ts_reply_order (cell, order, KQ_SCHED_OK);
  running = ts_running (order, 50);
  ts_reply_poll (cell, order->worker, &running, 1, NULL, 0);
  return *order;
}

static void
test_smaller_task_without_room (void)
{
  struct ts_cell cell;
  struct ts_order first;
  struct ts_order other;
  struct kq_sched_ended end;

  ts_start (&cell);
  ts_register_worker (&cell, "a", 4000, 4000);
  ts_register_worker (&cell, "b", 4000, 4000);
  ts_reply_poll (&cell, "a", NULL, 0, NULL, 0);
  ts_reply_poll (&cell, "b", NULL, 0, NULL, 0);
  first = start_job (&cell, LASTING, &lasting);
  other = start_job (&cell, BATCH, &batch);
  CU_ASSERT_STRING_NOT_EQUAL (first.worker, other.worker);
  ts_submit (&cell, SHORT, "urgent", &smaller, 1);
  ts_refuse_poll (&cell, first.worker, cell.now.mono,
                  KQ_SCHED_OTHER_INCARNATION);
  ts_advance (&cell, 400);
  end = ts_ended (&other, 1, KQ_SCHED_DONE);
  ts_reply_poll (&cell, other.worker, NULL, 0, &end, 1);
  ts_advance (&cell, 200);
  CU_ASSERT_EQUAL (
      ts_last_order (&cell, KQ_SCHED_FX_START, LASTING, 0, 0)->run.run, 2);
  ts_stop (&cell);
}

static const struct kq_test tests[] = {
  { "a smaller task without room", test_smaller_task_without_room },
};

KQ_TEST_MAIN ("test-reserve", tests)

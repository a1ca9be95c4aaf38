/* Guards against an accepted job that stops, or starts too often, when its
 * queue has been removed from the configuration and the owner changes; and
 * against a job that an owner without its queue accepts, and never runs.
 */
#include <stdlib.h>
#include <string.h>

#include "t/kqtest.h"
#include "t/lib-sched.h"

#define JOB UINT64_C (0xa1)
#define STATUS_OK 200
#define STATUS_UNAVAILABLE 503

static const struct kq_sched_step step
    = { .count = 1, .demand = { 1000, 100, 0 }, .est_ms = 600 };

static const struct kq_sched_step lasting = {
  .count = 1, .demand = { 1000, 100, 0 }, .est_ms = 1000, .long_running = true
};

static void
configure (struct ts_cell *cell)
{
  struct kq_sched_event event = { .kind = KQ_SCHED_EV_CONFIG };

  event.u.config = &cell->config;
  kq_sched_event (cell->sched, cell->now, &event);
  ts_advance (cell, 100);
}

/* Leaves the first queue alone in the configuration. */
static void
remove_queue (struct ts_cell *cell)
{
  cell->config.queue_count = 1;
  configure (cell);
}

static struct ts_cell *
submit_job (const struct kq_sched_step *kind, int count)
{
  struct ts_cell *cell = ts_create ();

  ts_add_idle_worker (cell, "a", 4000);
  ts_submit (cell, JOB, "batch", kind, count);
  ts_advance (cell, 20);
  return cell;
}

static void
take_over (struct ts_cell *cell)
{
  ts_take_over (cell);
  ts_add_idle_worker (cell, "a", 4000);
}

static const struct ts_order *
start_of (const struct ts_cell *cell, int number)
{
  return ts_last_order (cell, KQ_SCHED_FX_START, JOB, number, 0);
}

static void
end_run (struct ts_cell *cell, int number, int64_t end, enum kq_sched_end how)
{
  struct kq_sched_ended row = ts_ended (start_of (cell, number), end, how);

  ts_reply_poll (cell, "a", NULL, 0, &row, 1);
  ts_advance (cell, 200);
}

static void
test_next_step (void)
{
  struct ts_cell *cell = submit_job (&step, 2);

  ts_reply_order (cell, start_of (cell, 0), KQ_SCHED_OK);
  ts_advance (cell, 100);
  remove_queue (cell);
  take_over (cell);
  end_run (cell, 0, 1, KQ_SCHED_DONE);
  CU_ASSERT_PTR_NOT_NULL_FATAL (start_of (cell, 1));
  ts_reply_order (cell, start_of (cell, 1), KQ_SCHED_OK);
  end_run (cell, 1, 2, KQ_SCHED_DONE);
  CU_ASSERT_EQUAL (ts_result_of (cell, ts_query (cell, JOB))->state,
                   KQ_SCHED_COMPLETE);
  ts_destroy (cell);
}

/* Also where the owner is replaced more than once. */
static void
test_lasting_task (void)
{
  struct ts_cell *cell = submit_job (&lasting, 1);

  ts_reply_order (cell, start_of (cell, 0), KQ_SCHED_OK);
  ts_advance (cell, 100);
  remove_queue (cell);
  for (int i = 1; i < 4; i++)
    {
      take_over (cell);
      end_run (cell, 0, i, KQ_SCHED_STOPPED);
      CU_ASSERT_EQUAL (start_of (cell, 0)->run.run, i + 1);
      ts_reply_order (cell, start_of (cell, 0), KQ_SCHED_OK);
      ts_advance (cell, 100);
    }
  ts_destroy (cell);
}

/* The last settings of a queue count, not those that its jobs began with. */
static void
test_fewer_attempts (void)
{
  struct ts_cell *cell = submit_job (&step, 1);

  cell->queues[1].attempts = 2;
  configure (cell);
  remove_queue (cell);
  for (int i = 1; i < 3; i++)
    {
      ts_reply_order (cell, start_of (cell, 0), KQ_SCHED_OK);
      ts_advance (cell, 100);
      take_over (cell);
      end_run (cell, 0, i, KQ_SCHED_FAILED);
      ts_advance (cell, 6000);
      ts_add_idle_worker (cell, "a", 4000);
      ts_advance (cell, 1000);
    }
  CU_ASSERT_EQUAL (ts_result_of (cell, ts_query (cell, JOB))->state,
                   KQ_SCHED_FAILED_JOB);
  CU_ASSERT_EQUAL (ts_count_orders (cell, KQ_SCHED_FX_START), 2);
  ts_destroy (cell);
}

/* The settings changed while no owner was there, and the queue is removed
   before anything else happens to its jobs. */
static void
test_change_between_owners (void)
{
  struct ts_cell *cell = submit_job (&step, 1);

  cell->queues[1].attempts = 1;
  take_over (cell);
  ts_advance (cell, 100);
  remove_queue (cell);
  take_over (cell);
  ts_advance (cell, 100);
  ts_add_idle_worker (cell, "a", 4000);
  ts_advance (cell, 200);
  ts_reply_order (cell, start_of (cell, 0), KQ_SCHED_OK);
  end_run (cell, 0, 1, KQ_SCHED_FAILED);
  CU_ASSERT_EQUAL (ts_result_of (cell, ts_query (cell, JOB))->state,
                   KQ_SCHED_FAILED_JOB);
  ts_destroy (cell);
}

static void
test_owner_without_queue (void)
{
  struct ts_cell *cell = ts_create ();
  const struct ts_result *result;
  uint64_t token;

  ts_add_idle_worker (cell, "a", 4000);
  remove_queue (cell);
  token = ts_submit (cell, JOB, "batch", &step, 1);
  ts_advance (cell, 100);
  result = ts_result_of (cell, token);
  CU_ASSERT_PTR_NOT_NULL_FATAL (result);
  if (result != NULL)
    CU_ASSERT_EQUAL (result->status, STATUS_UNAVAILABLE);
  CU_ASSERT_FALSE (kq_sched_has_job (cell->sched, JOB));
  /* One that was accepted before is still the same job. */
  cell->config.queue_count = 3;
  configure (cell);
  ts_submit (cell, JOB, "batch", &step, 1);
  ts_advance (cell, 100);
  remove_queue (cell);
  token = ts_submit (cell, JOB, "batch", &step, 1);
  ts_advance (cell, 100);
  CU_ASSERT_EQUAL (ts_result_of (cell, token)->status, STATUS_OK);
  ts_destroy (cell);
}

static const struct kq_test tests[] = {
  { "the next step", test_next_step },
  { "a task that lasts", test_lasting_task },
  { "fewer attempts", test_fewer_attempts },
  { "a change between two owners", test_change_between_owners },
  { "an owner without the queue", test_owner_without_queue },
};

KQ_TEST_MAIN ("test-removed-queue", tests)

/* Guards against a task that starts elsewhere while the start order of its
 * earlier run, which had no reply, may still be carried out: the worker may
 * start again under its ID and would begin that run too.
 */
#include <stdlib.h>
#include <string.h>

#include "t/kqtest.h"
#include "t/lib-sched.h"

#define JOB UINT64_C (0x11)
#define RESTARTED (INT64_MAX / 2)

/* Until then orders are carried out late, and the time for one more poll. */
#define LATE_MS 4000
#define OVER_MS 6000

/* Longest time for which a worker lets runs go on without an order. */
#define LONGEST_LEASE_MS 10000

static const struct kq_sched_step short_step
    = { .count = 1, .demand = { 1000, 100, 0 }, .est_ms = 600 };
static const struct kq_sched_step lasting_step
    = { .count = 1, .demand = { 1000, 100, 0 }, .long_running = true };

static const char *
other (const char *worker)
{
  return strcmp (worker, "a") == 0 ? "b" : "a";
}

static int
count_starts (const struct ts_cell *cell)
{
  return ts_count_orders (cell, KQ_SCHED_FX_START);
}

/* Both workers run nothing for MS. */
static void
idle_for (struct ts_cell *cell, int ms)
{
  for (int i = 0; i < ms; i += 100)
    {
      ts_reply_poll (cell, "a", NULL, 0, NULL, 0);
      ts_reply_poll (cell, "b", NULL, 0, NULL, 0);
      ts_advance (cell, 100);
    }
}

/* Starts the only task, of STEP, without a reply. */
static struct ts_order
start_unanswered (struct ts_cell *cell, const struct kq_sched_step *step)
{
  struct ts_order first;

  ts_register_worker (cell, "a", 4000, 4000);
  ts_register_worker (cell, "b", 4000, 4000);
  idle_for (cell, 100);
  ts_submit (cell, JOB, "batch", step, 1);
  ts_advance (cell, 20);
  first = *ts_last_order (cell, KQ_SCHED_FX_START, JOB, 0, 0);
  ts_reply_order (cell, &first, KQ_SCHED_NO_REPLY);
  return first;
}

/* The same, and a stop settles the run. */
static struct ts_order
settle_start (struct ts_cell *cell, const struct kq_sched_step *step)
{
  struct ts_order first = start_unanswered (cell, step);
  struct ts_order stop;

  idle_for (cell, 300);
  stop = *ts_last_order (cell, KQ_SCHED_FX_STOP, JOB, 0, 0);
  ts_reply_order (cell, &stop, KQ_SCHED_OK);
  return first;
}

/* A restart of that worker ends both runs, so that they are never beside each
   other. */
static void
check_starts_at_same_worker (const struct kq_sched_step *step)
{
  struct ts_cell *cell = ts_create ();
  struct ts_order first = settle_start (cell, step);

  idle_for (cell, 1000);
  CU_ASSERT_EQUAL (count_starts (cell), 2);
  CU_ASSERT_STRING_EQUAL (
      ts_last_order (cell, KQ_SCHED_FX_START, JOB, 0, 0)->worker,
      first.worker);
  ts_destroy (cell);
}

static void
test_starts_at_same_worker (void)
{
  check_starts_at_same_worker (&short_step);
  check_starts_at_same_worker (&lasting_step);
}

static void
test_not_elsewhere_before_order_is_old (void)
{
  struct ts_cell *cell = ts_create ();
  struct ts_order first = settle_start (cell, &short_step);

  ts_drain (cell, first.worker);
  idle_for (cell, LATE_MS);
  CU_ASSERT_EQUAL (count_starts (cell), 1);
  idle_for (cell, OVER_MS - LATE_MS);
  CU_ASSERT_EQUAL (count_starts (cell), 2);
  ts_destroy (cell);
}

/* Returns up to which end a poll of WORKER in MS acknowledges; -1: none is
   due by then. */
static int64_t
acknowledged (struct ts_cell *cell, const char *worker, int ms)
{
  struct kq_sched_poll poll;
  int64_t acked = -1;

  cell->now.mono += ms * KQ_USEC_PER_MSEC;
  while (kq_sched_next_poll (cell->sched, cell->now, &poll))
    if (strcmp (poll.worker, worker) == 0)
      acked = poll.acked;
  return acked;
}

/* A start after an end that has been taken note of, or in a job that is shown
   as complete, breaks the rule; the end of a worker that restarts before is
   lost. */
static void
test_end_waits_for_old_order (void)
{
  struct ts_cell *cell = ts_create ();
  struct ts_order first = settle_start (cell, &short_step);
  struct ts_order second;
  struct kq_sched_ended ended;

  idle_for (cell, 1000);
  second = *ts_last_order (cell, KQ_SCHED_FX_START, JOB, 0, 0);
  ts_reply_order (cell, &second, KQ_SCHED_OK);
  ended = ts_ended (&second, 1, KQ_SCHED_DONE);
  ts_reply_poll (cell, first.worker, NULL, 0, &ended, 1);
  CU_ASSERT_EQUAL (acknowledged (cell, first.worker, 1000), 0);
  CU_ASSERT_EQUAL (ts_result_of (cell, ts_query (cell, JOB))->state,
                   KQ_SCHED_ACTIVE);
  ts_take_over (cell);
  ts_register_worker (cell, "a", 4000, 4000);
  ts_register_worker (cell, "b", 4000, 4000);
  ts_reply_poll (cell, first.worker, NULL, 0, &ended, 1);
  CU_ASSERT_EQUAL (acknowledged (cell, first.worker, 1000), 0);
  for (int i = 0; i < OVER_MS; i += 100)
    {
      ts_reply_poll (cell, first.worker, NULL, 0, &ended, 1);
      ts_advance (cell, 100);
    }
  ts_reply_poll (cell, first.worker, NULL, 0, &ended, 1);
  CU_ASSERT_EQUAL (acknowledged (cell, first.worker, 3000), 1);
  CU_ASSERT_EQUAL (ts_result_of (cell, ts_query (cell, JOB))->state,
                   KQ_SCHED_COMPLETE);
  ts_destroy (cell);
}

/* The owner is lost with the job's last task done, and the wait is over before
   the next one has begun. */
static void
test_job_completes_after_takeover (void)
{
  struct ts_cell *cell = ts_create ();
  struct ts_order second;
  struct kq_sched_ended ended;

  settle_start (cell, &short_step);
  idle_for (cell, 1000);
  second = *ts_last_order (cell, KQ_SCHED_FX_START, JOB, 0, 0);
  ts_reply_order (cell, &second, KQ_SCHED_OK);
  ended = ts_ended (&second, 1, KQ_SCHED_DONE);
  ts_reply_poll (cell, second.worker, NULL, 0, &ended, 1);
  cell->now.mono += OVER_MS * KQ_USEC_PER_MSEC;
  cell->now.wall_ms += OVER_MS;
  ts_take_over (cell);
  ts_advance (cell, 200);
  CU_ASSERT_EQUAL (ts_result_of (cell, ts_query (cell, JOB))->state,
                   KQ_SCHED_COMPLETE);
  ts_destroy (cell);
}

/* The order may have been carried out just before the wait was over: the next
   incarnation lists its runs before the task starts elsewhere. */
static void
test_restarted_worker_lists_first (void)
{
  struct ts_cell *cell = ts_create ();
  struct ts_order first = settle_start (cell, &short_step);

  ts_drain (cell, first.worker);
  idle_for (cell, LATE_MS);
  ts_register_incarnation (cell, first.worker, 4000, 4000, RESTARTED);
  for (int i = LATE_MS; i < OVER_MS; i += 100)
    {
      ts_reply_poll (cell, other (first.worker), NULL, 0, NULL, 0);
      ts_advance (cell, 100);
    }
  CU_ASSERT_EQUAL (count_starts (cell), 1);
  ts_reply_poll_sent_at (cell, first.worker, cell->now.mono, RESTARTED, NULL,
                         0, NULL, 0);
  ts_advance (cell, 200);
  CU_ASSERT_EQUAL (count_starts (cell), 2);
  ts_destroy (cell);
}

static void
test_wait_outlasts_takeover (void)
{
  struct ts_cell *cell = ts_create ();
  struct ts_order first = settle_start (cell, &short_step);

  ts_drain (cell, first.worker);
  idle_for (cell, 500);
  ts_take_over (cell);
  ts_register_worker (cell, "a", 4000, 4000);
  ts_register_worker (cell, "b", 4000, 4000);
  ts_drain (cell, first.worker);
  idle_for (cell, LATE_MS - 500);
  CU_ASSERT_EQUAL (count_starts (cell), 1);
  idle_for (cell, OVER_MS - LATE_MS);
  CU_ASSERT_EQUAL (count_starts (cell), 2);
  ts_destroy (cell);
}

/* The worker may have begun the run behind the cut, in an incarnation without
   fence and with its longest lease. */
static void
test_silent_worker_is_waited_for (void)
{
  struct ts_cell *cell = ts_create ();
  struct ts_order first = settle_start (cell, &short_step);
  struct kq_sched_event gone = { .kind = KQ_SCHED_EV_WORKER_GONE };

  idle_for (cell, 100);
  gone.u.worker = first.worker;
  kq_sched_event (cell->sched, cell->now, &gone);
  for (int i = 0; i < LATE_MS + LONGEST_LEASE_MS; i += 100)
    {
      ts_reply_poll (cell, other (first.worker), NULL, 0, NULL, 0);
      ts_advance (cell, 100);
    }
  CU_ASSERT_STRING_EQUAL (
      ts_last_order (cell, KQ_SCHED_FX_START, JOB, 0, 0)->worker,
      first.worker);
  for (int i = 0; i < 3000; i += 100)
    {
      ts_reply_poll (cell, other (first.worker), NULL, 0, NULL, 0);
      ts_advance (cell, 100);
    }
  CU_ASSERT_STRING_EQUAL (
      ts_last_order (cell, KQ_SCHED_FX_START, JOB, 0, 0)->worker,
      other (first.worker));
  ts_destroy (cell);
}

/* Where another process has the address, the order is refused. */
static void
test_lost_worker_is_not_waited_for (void)
{
  struct ts_cell *cell = ts_create ();
  struct ts_order first = start_unanswered (cell, &short_step);

  ts_advance (cell, 20);
  ts_lose_worker (cell, first.worker);
  ts_reply_poll (cell, other (first.worker), NULL, 0, NULL, 0);
  ts_advance (cell, 300);
  CU_ASSERT_EQUAL (count_starts (cell), 2);
  ts_destroy (cell);
}

static const struct kq_test tests[] = {
  { "a task starts again at the same worker", test_starts_at_same_worker },
  { "not elsewhere before the order is old",
    test_not_elsewhere_before_order_is_old },
  { "an end waits for an old order", test_end_waits_for_old_order },
  { "a job completes after a takeover", test_job_completes_after_takeover },
  { "a restarted worker lists its runs first",
    test_restarted_worker_lists_first },
  { "the wait outlasts a takeover", test_wait_outlasts_takeover },
  { "a silent worker is waited for", test_silent_worker_is_waited_for },
  { "a lost worker is not waited for", test_lost_worker_is_not_waited_for },
};

KQ_TEST_MAIN ("test-late", tests)

/* Guards against orders to an earlier incarnation of a worker that act on a
 * later one with the same ID: ends that were never read were acknowledged, and
 * their tasks ran again.
 */
#include <stdbool.h>
#include <stdlib.h>

#include "t/kqtest.h"
#include "t/lib-sched.h"
#include "t/lib-sim.h"

#define JOB UINT64_C (0x11)
#define OTHER_JOB UINT64_C (0x12)
#define RESTARTED (INT64_MAX / 2)

static const struct kq_sched_step step
    = { .count = 1, .demand = { 1000, 100, 0 }, .est_ms = 20000 };

static struct ts_cell *
start_cell (void)
{
  struct ts_cell *cell = ts_create ();

  ts_register_worker (cell, "a", 4000, 4000);
  ts_reply_poll (cell, "a", NULL, 0, NULL, 0);
  return cell;
}

/* Restarts worker "a" under its ID as INCARNATION. */
static void
restart_as (struct ts_cell *cell, int64_t incarnation)
{
  ts_register_incarnation (cell, "a", 4000, 4000, incarnation);
  ts_reply_poll_sent_at (cell, "a", cell->now.mono, incarnation, NULL, 0, NULL,
                         0);
}

static void
restart (struct ts_cell *cell)
{
  restart_as (cell, RESTARTED);
}

static void
test_fence_rises_with_incarnation (void)
{
  struct ts_cell *cell = start_cell ();
  int64_t before = kq_sched_order_fence (cell->sched, "a");

  ts_advance (cell, 1000);
  CU_ASSERT_EQUAL (kq_sched_order_fence (cell->sched, "a"), before);
  restart (cell);
  CU_ASSERT (kq_sched_order_fence (cell->sched, "a") > before);
  ts_destroy (cell);
}

/* While the store is away no fence is left for a second restart. */
static void
test_no_start_without_new_fence (void)
{
  struct ts_cell *cell = start_cell ();

  cell->store_down = true;
  restart (cell);
  ts_advance (cell, 100);
  restart_as (cell, RESTARTED + 1);
  ts_submit (cell, JOB, "batch", &step, 1);
  ts_advance (cell, 100);
  cell->store_down = false;
  ts_process_pending (cell);
  CU_ASSERT_EQUAL (ts_count_orders (cell, KQ_SCHED_FX_START), 0);
  ts_advance (cell, 200);
  CU_ASSERT_EQUAL (ts_count_orders (cell, KQ_SCHED_FX_START), 1);
  ts_destroy (cell);
}

/* The refusal of an order that was sent with the fence of an earlier
   incarnation is no sign of another owner. */
static void
test_refusal_of_own_fence (void)
{
  struct ts_cell *cell = start_cell ();
  struct ts_order start;

  ts_submit (cell, JOB, "batch", &step, 1);
  ts_advance (cell, 20);
  start = *ts_last_order (cell, KQ_SCHED_FX_START, JOB, 0, 0);
  restart (cell);
  ts_reply_order (cell, &start, KQ_SCHED_FENCED);
  ts_submit (cell, OTHER_JOB, "batch", &step, 1);
  ts_advance (cell, 300);
  CU_ASSERT_PTR_NOT_NULL (
      ts_last_order (cell, KQ_SCHED_FX_START, OTHER_JOB, 0, 0));
  ts_destroy (cell);
}

/* A refusal for the fence that is in use comes from a later owner's. */
static void
test_refusal_of_current_fence (void)
{
  struct ts_cell *cell = start_cell ();
  struct ts_order start;

  restart (cell);
  ts_submit (cell, JOB, "batch", &step, 1);
  ts_advance (cell, 20);
  start = *ts_last_order (cell, KQ_SCHED_FX_START, JOB, 0, 0);
  ts_reply_order (cell, &start, KQ_SCHED_FENCED);
  ts_submit (cell, OTHER_JOB, "batch", &step, 1);
  ts_advance (cell, 300);
  CU_ASSERT_PTR_NULL (
      ts_last_order (cell, KQ_SCHED_FX_START, OTHER_JOB, 0, 0));
  ts_destroy (cell);
}

/* A silent worker may have restarted, and would forget ends by the numbers of
   its earlier incarnation. */
static void
test_silent_worker_gets_no_acknowledgement (void)
{
  struct ts_cell *cell = start_cell ();
  struct ts_order start;
  struct kq_sched_ended end = { .number = 1, .how = KQ_SCHED_DONE };
  struct kq_sched_poll poll;

  ts_submit (cell, JOB, "batch", &step, 1);
  ts_advance (cell, 20);
  start = *ts_last_order (cell, KQ_SCHED_FX_START, JOB, 0, 0);
  ts_reply_order (cell, &start, KQ_SCHED_OK);
  end.run = start.run;
  ts_reply_poll (cell, "a", NULL, 0, &end, 1);
  ts_process_pending (cell);
  ts_fail_poll (cell, "a");
  cell->now.mono += 200 * KQ_USEC_PER_MSEC;
  CU_ASSERT_FATAL (kq_sched_next_poll (cell->sched, cell->now, &poll));
  CU_ASSERT_EQUAL (poll.acked, 0);
  ts_reply_poll (cell, "a", NULL, 0, &end, 1);
  cell->now.mono += 5000 * KQ_USEC_PER_MSEC;
  CU_ASSERT_FATAL (kq_sched_next_poll (cell->sched, cell->now, &poll));
  CU_ASSERT_EQUAL (poll.acked, 1);
  ts_destroy (cell);
}

/* The next incarnation may carry out an unanswered start and then, as late, a
   poll: the end of that run must not be forgotten unread. */
static void
test_no_acknowledgement_beside_an_open_start (void)
{
  struct ts_cell *cell = start_cell ();
  struct ts_order start;
  struct kq_sched_ended end = { .number = 1, .how = KQ_SCHED_DONE };
  struct kq_sched_poll poll;

  ts_submit (cell, JOB, "batch", &step, 1);
  ts_advance (cell, 20);
  start = *ts_last_order (cell, KQ_SCHED_FX_START, JOB, 0, 0);
  ts_reply_order (cell, &start, KQ_SCHED_OK);
  end.run = start.run;
  ts_submit (cell, OTHER_JOB, "batch", &step, 1);
  ts_advance (cell, 20);
  start = *ts_last_order (cell, KQ_SCHED_FX_START, OTHER_JOB, 0, 0);
  cell->now.mono += 200 * KQ_USEC_PER_MSEC;
  ts_reply_poll (cell, "a", NULL, 0, &end, 1);
  ts_process_pending (cell);
  cell->now.mono += 300 * KQ_USEC_PER_MSEC;
  CU_ASSERT_FATAL (kq_sched_next_poll (cell->sched, cell->now, &poll));
  CU_ASSERT_EQUAL (poll.acked, 0);
  ts_reply_order (cell, &start, KQ_SCHED_OK);
  ts_reply_poll (cell, "a", NULL, 0, &end, 1);
  cell->now.mono += 300 * KQ_USEC_PER_MSEC;
  CU_ASSERT_FATAL (kq_sched_next_poll (cell->sched, cell->now, &poll));
  CU_ASSERT_EQUAL (poll.acked, 1);
  ts_destroy (cell);
}

/* A poll that is carried out late by the next incarnation would make that
   forget ends too: a number is sent only until the worker has forgotten the
   ends up to it. */
static void
test_acknowledgement_is_not_repeated (void)
{
  struct ts_cell *cell = start_cell ();
  struct ts_order start;
  struct kq_sched_ended end = { .number = 1, .how = KQ_SCHED_DONE };
  struct kq_sched_poll poll;

  ts_submit (cell, JOB, "batch", &step, 1);
  ts_advance (cell, 20);
  start = *ts_last_order (cell, KQ_SCHED_FX_START, JOB, 0, 0);
  ts_reply_order (cell, &start, KQ_SCHED_OK);
  end.run = start.run;
  ts_reply_poll (cell, "a", NULL, 0, &end, 1);
  ts_process_pending (cell);
  cell->now.mono += 5000 * KQ_USEC_PER_MSEC;
  CU_ASSERT_FATAL (kq_sched_next_poll (cell->sched, cell->now, &poll));
  CU_ASSERT_EQUAL (poll.acked, 1);
  ts_reply_poll (cell, "a", NULL, 0, NULL, 0);
  cell->now.mono += 5000 * KQ_USEC_PER_MSEC;
  CU_ASSERT_FATAL (kq_sched_next_poll (cell->sched, cell->now, &poll));
  CU_ASSERT_EQUAL (poll.acked, 0);
  ts_destroy (cell);
}

/* The start never began a run: four such refusals must not make the job
   fail. */
static void
test_refused_starts_are_no_crashes (void)
{
  struct ts_cell *cell = start_cell ();
  struct kq_sched_counts counts;
  uint64_t token;

  ts_submit (cell, JOB, "batch", &step, 1);
  for (int i = 0; i < 4; i++)
    {
      struct ts_order start;
      struct ts_order stop;
      int64_t incarnation = 1000 + i;

      for (int n = 0; n < 60 && ts_count_orders (cell, KQ_SCHED_FX_START) <= i;
           n++)
        {
          struct kq_sched_poll poll;

          ts_advance (cell, 50);
          while (kq_sched_next_poll (cell->sched, cell->now, &poll))
            ts_reply_poll_sent_at (cell, "a", cell->now.mono,
                                   i == 0 ? 1 : incarnation - 1, NULL, 0, NULL,
                                   0);
        }
      start = *ts_last_order (cell, KQ_SCHED_FX_START, JOB, 0, 0);
      CU_ASSERT_EQUAL (start.run.run, i + 1);
      /* The worker restarts before the order arrives. */
      ts_register_incarnation (cell, "a", 4000, 4000, incarnation);
      ts_advance (cell, 10);
      ts_reply_poll_sent_at (cell, "a", cell->now.mono, incarnation, NULL, 0,
                             NULL, 0);
      CU_ASSERT (start.fence < kq_sched_order_fence (cell->sched, "a"));
      ts_reply_order (cell, &start, KQ_SCHED_FENCED);
      ts_advance (cell, 20);
      ts_reply_poll_sent_at (cell, "a", cell->now.mono, incarnation, NULL, 0,
                             NULL, 0);
      ts_advance (cell, 500);
      if (ts_last_order (cell, KQ_SCHED_FX_STOP, JOB, 0, 0) != NULL)
        {
          stop = *ts_last_order (cell, KQ_SCHED_FX_STOP, JOB, 0, 0);
          if (stop.run.run == start.run.run)
            {
              ts_reply_order (cell, &stop, KQ_SCHED_STALE_RUN);
              ts_advance (cell, 20);
              ts_reply_poll_sent_at (cell, "a", cell->now.mono, incarnation,
                                     NULL, 0, NULL, 0);
            }
        }
    }
  token = ts_query (cell, JOB);
  CU_ASSERT_NOT_EQUAL (ts_result_of (cell, token)->state, KQ_SCHED_FAILED_JOB);
  kq_sched_count (cell->sched, &counts);
  CU_ASSERT_EQUAL (counts.crashes, 0);
  ts_destroy (cell);
}

/* Advances the time by MS and returns whether worker "a" is due for a poll. */
static bool
step_to_poll (struct ts_cell *cell, int64_t ms)
{
  struct kq_sched_poll poll;
  int64_t fence = 1000000 + cell->now.mono / KQ_USEC_PER_MSEC;

  cell->now.mono += ms * KQ_USEC_PER_MSEC;
  cell->now.wall_ms += ms;
  kq_sched_confirm_term (cell->sched, cell->now.mono);
  kq_sched_note_fence (cell->sched, fence);
  kq_sched_tick (cell->sched, cell->now);
  return kq_sched_next_poll (cell->sched, cell->now, &poll)
         || kq_sched_next_poll (cell->sched, cell->now, &poll);
}

/* Returns the time in ms until "a" is due for a poll, at most 4 s. */
static int64_t
time_to_poll (struct ts_cell *cell)
{
  int64_t ms = 0;

  while (ms < 4000 && !step_to_poll (cell, 50))
    ms += 50;
  return ms;
}

/* Until an order with the new fence has arrived, late orders to the earlier
   incarnation are carried out: the worker must not wait for the next poll of
   an idle worker (3 s). */
static void
test_registered_restart_is_polled (void)
{
  struct ts_cell *cell = start_cell ();
  struct kq_sched_registration report = { .id = "a",
                                          .service = "s",
                                          .address = "10.0.0.1:80",
                                          .rack = "r-a",
                                          .capacity = { 4000, 4000, 0 },
                                          .incarnation_ms = 1000 };
  struct kq_sched_event event
      = { .kind = KQ_SCHED_EV_WORKER, .u.report = &report };
  int64_t ms;

  step_to_poll (cell, 100);
  ts_reply_poll (cell, "a", NULL, 0, NULL, 0);
  kq_sched_event (cell->sched, cell->now, &event);
  ms = time_to_poll (cell);
  CU_ASSERT (ms < 500);
  ts_destroy (cell);
}

/* The same where a poll shows the restart: the worker has not seen the new
   fence then, only the next order carries it. */
static void
test_polled_restart_is_polled_again (void)
{
  struct ts_cell *cell = start_cell ();
  struct kq_sched_status status = { .incarnation_ms = 1000 };
  struct kq_sched_event event = { .kind = KQ_SCHED_EV_POLLED,
                                  .u.polled = { .worker = "a",
                                                .reply = KQ_SCHED_OK,
                                                .worker_status = &status } };
  int64_t ms;

  step_to_poll (cell, 100);
  event.u.polled.fence = kq_sched_order_fence (cell->sched, "a");
  event.u.polled.sent_at = cell->now.mono;
  status.worker_clock_ms = cell->now.mono / KQ_USEC_PER_MSEC;
  kq_sched_event (cell->sched, cell->now, &event);
  CU_ASSERT (event.u.polled.fence < kq_sched_order_fence (cell->sched, "a"));
  ms = time_to_poll (cell);
  CU_ASSERT (ms < 500);
  ts_destroy (cell);
}

/* A poll without a reply that is overtaken by a later one: the reply to a poll
   that was sent before the silent one does not show that the worker still has
   its incarnation. */
static void
test_late_reply_does_not_clear_silence (void)
{
  struct ts_cell *cell = start_cell ();
  struct ts_order start;
  struct kq_sched_ended end = { .number = 1, .how = KQ_SCHED_DONE };
  struct kq_sched_poll poll;
  kq_usec sent_at;

  ts_submit (cell, JOB, "batch", &step, 1);
  ts_advance (cell, 20);
  start = *ts_last_order (cell, KQ_SCHED_FX_START, JOB, 0, 0);
  ts_reply_order (cell, &start, KQ_SCHED_OK);
  end.run = start.run;
  ts_reply_poll (cell, "a", NULL, 0, &end, 1);
  ts_process_pending (cell);
  sent_at = cell->now.mono;
  cell->now.mono += 500 * KQ_USEC_PER_MSEC;
  ts_fail_poll (cell, "a");
  ts_reply_poll_sent_at (cell, "a", sent_at, 1, NULL, 0, &end, 1);
  cell->now.mono += 5000 * KQ_USEC_PER_MSEC;
  CU_ASSERT_FATAL (kq_sched_next_poll (cell->sched, cell->now, &poll));
  CU_ASSERT_EQUAL (poll.acked, 0);
  ts_destroy (cell);
}

#define SEEDS 100

/* Without a fence of their own for each incarnation, 24 of the first 60 seeds
   start a task again beside a run of it or after its end; without a poll that
   brings the new fence at once, 28 and 48. */
static void
test_restarts_with_late_orders (void)
{
  for (unsigned long seed = 1; seed <= SEEDS; seed++)
    {
      struct sim *sim = sim_run_restarts (seed, 0, 0);

      if (sim_violation (sim) != NULL)
        printf ("seed %lu: %s\n", seed, sim_violation (sim));
      CU_ASSERT_PTR_NULL (sim_violation (sim));
      sim_destroy (sim);
    }
}

static const struct kq_test tests[] = {
  { "each incarnation of an ID has a higher fence",
    test_fence_rises_with_incarnation },
  { "nothing starts at a restarted worker without a new fence",
    test_no_start_without_new_fence },
  { "a refusal of this owner's earlier fence", test_refusal_of_own_fence },
  { "a refusal of the current fence", test_refusal_of_current_fence },
  { "a silent worker gets no acknowledgement of ends",
    test_silent_worker_gets_no_acknowledgement },
  { "no acknowledgement beside an open start",
    test_no_acknowledgement_beside_an_open_start },
  { "an acknowledgement is not repeated",
    test_acknowledgement_is_not_repeated },
  { "starts refused for an earlier fence are no crashes",
    test_refused_starts_are_no_crashes },
  { "a registered restart is polled at once",
    test_registered_restart_is_polled },
  { "a restart that a poll showed is polled at once",
    test_polled_restart_is_polled_again },
  { "a late reply does not clear a later silence",
    test_late_reply_does_not_clear_silence },
  { "restarts under the same ID with late orders",
    test_restarts_with_late_orders },
};

KQ_TEST_MAIN ("test-fence", tests)

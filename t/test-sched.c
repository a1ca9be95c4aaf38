/* Tests the scheduler's decisions without a real store, workers or network. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "sched/record.pb-c.h"
#include "t/kqtest.h"
#include "t/lib-sched.h"

#define JOB UINT64_C (0x11)

static const struct kq_sched_step plain_step
    = { .count = 2, .demand = { 1000, 100, 0 }, .est_ms = 1000 };

static struct ts_cell *
start_cell (void)
{
  struct ts_cell *cell = ts_create ();

  ts_register_worker (cell, "a", 4000, 4000);
  ts_register_worker (cell, "b", 4000, 4000);
  ts_reply_poll (cell, "a", NULL, 0, NULL, 0);
  ts_reply_poll (cell, "b", NULL, 0, NULL, 0);
  return cell;
}

/* Starts the only task of JOB and returns its start order. */
static struct ts_order
start_single_task (struct ts_cell *cell, uint64_t job,
                   const struct kq_sched_step *step)
{
  struct kq_sched_step one = *step;
  const struct ts_order *order;

  one.count = 1;
  ts_submit (cell, job, "batch", &one, 1);
  order = ts_last_order (cell, KQ_SCHED_FX_START, job, 0, 0);
  CU_ASSERT_PTR_NOT_NULL (order);
  if (order == NULL)
    return (struct ts_order){ .kind = KQ_SCHED_FX_START };
  ts_reply_order (cell, order, KQ_SCHED_OK);
  return *order;
}

static void
test_start_waits_for_store (void)
{
  struct ts_cell *cell = start_cell ();
  uint64_t token;

  cell->store_down = true;
  token = ts_submit (cell, JOB, "batch", &plain_step, 1);
  CU_ASSERT_PTR_NULL (ts_result_of (cell, token));
  CU_ASSERT_EQUAL (ts_count_orders (cell, KQ_SCHED_FX_START), 0);
  cell->store_down = false;
  ts_process_pending (cell);
  CU_ASSERT_EQUAL (ts_result_of (cell, token)->status, 200);
  CU_ASSERT_EQUAL (ts_count_orders (cell, KQ_SCHED_FX_START), 2);
  ts_destroy (cell);
}

static void
test_repeated_id_is_one_job (void)
{
  struct ts_cell *cell = start_cell ();
  uint64_t token;

  ts_submit (cell, JOB, "batch", &plain_step, 1);
  token = ts_submit (cell, JOB, "batch", &plain_step, 1);
  CU_ASSERT_EQUAL (ts_result_of (cell, token)->status, 200);
  CU_ASSERT_EQUAL (ts_count_orders (cell, KQ_SCHED_FX_START), 2);
  ts_destroy (cell);
}

static void
test_steps_in_order (void)
{
  struct ts_cell *cell = start_cell ();
  struct kq_sched_step one = plain_step;
  struct ts_order first;
  struct kq_sched_ended ended;

  one.count = 1;
  ts_submit (cell, JOB, "batch", &one, 2);
  CU_ASSERT_EQUAL (ts_count_orders (cell, KQ_SCHED_FX_START), 1);
  first = cell->orders[0];
  ts_reply_order (cell, &first, KQ_SCHED_OK);
  ended = ts_ended (&first, 1, KQ_SCHED_DONE);
  ts_reply_poll (cell, first.worker, NULL, 0, &ended, 1);
  CU_ASSERT_PTR_NOT_NULL (ts_last_order (cell, KQ_SCHED_FX_START, JOB, 1, 0));
  ts_destroy (cell);
}

static void
test_complete_waits_for_store (void)
{
  struct ts_cell *cell = start_cell ();
  struct ts_order first = start_single_task (cell, JOB, &plain_step);
  struct kq_sched_ended ended = ts_ended (&first, 1, KQ_SCHED_DONE);
  uint64_t token;

  cell->store_down = true;
  ts_reply_poll (cell, first.worker, NULL, 0, &ended, 1);
  token = ts_query (cell, JOB);
  CU_ASSERT_PTR_NULL (ts_result_of (cell, token));
  cell->store_down = false;
  ts_process_pending (cell);
  CU_ASSERT_EQUAL (ts_result_of (cell, token)->state, KQ_SCHED_COMPLETE);
  ts_destroy (cell);
}

/* Guards against losing an end: if a poll acknowledged it before it is
   stored, the worker would drop it, and the next owner would not learn of
   it. */
static void
test_end_is_stored_before_it_is_acked (void)
{
  struct ts_cell *cell = start_cell ();
  struct ts_order first = start_single_task (cell, JOB, &plain_step);
  struct kq_sched_ended ended = ts_ended (&first, 7, KQ_SCHED_DONE);
  struct kq_sched_poll poll;
  int64_t acked_end = -1;

  cell->store_down = true;
  ts_reply_poll (cell, first.worker, NULL, 0, &ended, 1);
  cell->now.mono += KQ_USEC_PER_SEC;
  while (kq_sched_next_poll (cell->sched, cell->now, &poll))
    if (strcmp (poll.worker, first.worker) == 0)
      acked_end = poll.acked;
  CU_ASSERT_EQUAL (acked_end, 0);
  cell->store_down = false;
  ts_reply_poll (cell, first.worker, NULL, 0, &ended, 1);
  cell->now.mono += KQ_USEC_PER_SEC;
  while (kq_sched_next_poll (cell->sched, cell->now, &poll))
    if (strcmp (poll.worker, first.worker) == 0)
      acked_end = poll.acked;
  CU_ASSERT_EQUAL (acked_end, 7);
  ts_destroy (cell);
}

static void
test_unanswered_start_is_resolved_by_a_stop (void)
{
  struct ts_cell *cell = start_cell ();
  struct kq_sched_step one = plain_step;
  struct ts_order first;
  const struct ts_order *stop;

  one.count = 1;
  ts_submit (cell, JOB, "batch", &one, 1);
  first = cell->orders[0];
  ts_reply_order (cell, &first, KQ_SCHED_NO_REPLY);
  ts_advance (cell, 10);
  ts_reply_poll (cell, first.worker, NULL, 0, NULL, 0);
  stop = ts_last_order (cell, KQ_SCHED_FX_STOP, JOB, 0, 0);
  CU_ASSERT_PTR_NOT_NULL_FATAL (stop);
  CU_ASSERT_EQUAL (ts_count_orders (cell, KQ_SCHED_FX_START), 1);
  ts_reply_order (cell, stop, KQ_SCHED_OK);
  CU_ASSERT_EQUAL (ts_count_orders (cell, KQ_SCHED_FX_START), 1);
  ts_advance (cell, 10);
  ts_reply_poll (cell, first.worker, NULL, 0, NULL, 0);
  /* It may not go elsewhere, and a worker that left a start unanswered gets
     none for 200 ms. */
  ts_advance (cell, 200);
  CU_ASSERT_EQUAL (ts_count_orders (cell, KQ_SCHED_FX_START), 2);
  CU_ASSERT_EQUAL (ts_last_order (cell, KQ_SCHED_FX_START, JOB, 0, 0)->run.run,
                   2);
  CU_ASSERT_STRING_EQUAL (
      ts_last_order (cell, KQ_SCHED_FX_START, JOB, 0, 0)->worker,
      first.worker);
  ts_destroy (cell);
}

/* Guards against running work again whose start the worker has accepted, while
   only its reply was lost: the worker lists the run, and later its end. */
static void
test_lost_reply_keeps_the_run (void)
{
  struct ts_cell *cell = start_cell ();
  struct kq_sched_step one = plain_step;
  struct kq_sched_running row;
  struct kq_sched_ended end;
  struct kq_sched_poll poll;
  struct ts_order first;

  one.count = 1;
  ts_submit (cell, JOB, "batch", &one, 1);
  first = cell->orders[0];
  while (kq_sched_next_poll (cell->sched, cell->now, &poll))
    ;
  ts_reply_order (cell, &first, KQ_SCHED_NO_REPLY);
  CU_ASSERT_FATAL (kq_sched_next_poll (cell->sched, cell->now, &poll));
  CU_ASSERT_STRING_EQUAL (poll.worker, first.worker);
  CU_ASSERT_EQUAL (poll.wait_ms, 0);
  cell->now.mono += 10 * KQ_USEC_PER_MSEC;
  row = ts_running (&first, 20);
  ts_reply_poll (cell, first.worker, &row, 1, NULL, 0);
  ts_advance (cell, 1000);
  CU_ASSERT_EQUAL (ts_count_orders (cell, KQ_SCHED_FX_STOP), 0);
  end = ts_ended (&first, 1, KQ_SCHED_DONE);
  ts_reply_poll (cell, first.worker, NULL, 0, &end, 1);
  CU_ASSERT_EQUAL (ts_result_of (cell, ts_query (cell, JOB))->state,
                   KQ_SCHED_COMPLETE);
  CU_ASSERT_EQUAL (ts_count_orders (cell, KQ_SCHED_FX_START), 1);
  ts_destroy (cell);
}

/* The same for a run that has ended before the poll. */
static void
test_lost_reply_keeps_the_end (void)
{
  struct ts_cell *cell = start_cell ();
  struct kq_sched_step one = plain_step;
  struct kq_sched_ended end;
  struct ts_order first;

  one.count = 1;
  ts_submit (cell, JOB, "batch", &one, 1);
  first = cell->orders[0];
  ts_reply_order (cell, &first, KQ_SCHED_NO_REPLY);
  cell->now.mono += 10 * KQ_USEC_PER_MSEC;
  end = ts_ended (&first, 1, KQ_SCHED_DONE);
  ts_reply_poll (cell, first.worker, NULL, 0, &end, 1);
  CU_ASSERT_EQUAL (ts_result_of (cell, ts_query (cell, JOB))->state,
                   KQ_SCHED_COMPLETE);
  CU_ASSERT_EQUAL (ts_count_orders (cell, KQ_SCHED_FX_START), 1);
  CU_ASSERT_EQUAL (ts_count_orders (cell, KQ_SCHED_FX_STOP), 0);
  ts_destroy (cell);
}

/* Guards against waiting for a worker that answers neither the start nor the
   poll: the stop follows all the same. */
static void
test_unanswered_start_and_poll (void)
{
  struct ts_cell *cell = start_cell ();
  struct kq_sched_step one = plain_step;
  struct ts_order first;

  one.count = 1;
  ts_submit (cell, JOB, "batch", &one, 1);
  first = cell->orders[0];
  ts_reply_order (cell, &first, KQ_SCHED_NO_REPLY);
  ts_advance (cell, 300);
  CU_ASSERT_EQUAL (ts_count_orders (cell, KQ_SCHED_FX_STOP), 0);
  ts_advance (cell, 300);
  CU_ASSERT_EQUAL (ts_count_orders (cell, KQ_SCHED_FX_STOP), 1);
  ts_destroy (cell);
}

/* Returns the next poll of WORKER; its worker is "" if none is due. */
static struct kq_sched_poll
next_poll_of (struct ts_cell *cell, const char *worker)
{
  struct kq_sched_poll poll;

  /* A search ends at the last worker; the next one starts a little later. */
  for (int searches = 0; searches < 2;)
    if (!kq_sched_next_poll (cell->sched, cell->now, &poll))
      {
        searches++;
        cell->now.mono += KQ_USEC_PER_MSEC;
      }
    else if (strcmp (poll.worker, worker) == 0)
      return poll;
  return (struct kq_sched_poll){ .lease_end_ms = 0 };
}

/* Guards against a late restart of a task whose start order was lost: after
   the stop is accepted the worker is polled at once, and not only when the
   poll that waits for an end returns. */
static void
test_lost_start_is_polled_for_at_once (void)
{
  struct ts_cell *cell = start_cell ();
  struct kq_sched_step one = plain_step;
  struct ts_order first;
  struct kq_sched_poll poll;

  one.count = 1;
  ts_submit (cell, JOB, "batch", &one, 1);
  first = cell->orders[0];
  while (kq_sched_next_poll (cell->sched, cell->now, &poll))
    CU_ASSERT (poll.wait_ms > 0);
  ts_reply_order (cell, &first, KQ_SCHED_NO_REPLY);
  poll = next_poll_of (cell, first.worker);
  CU_ASSERT_STRING_EQUAL (poll.worker, first.worker);
  CU_ASSERT_EQUAL (poll.wait_ms, 0);
  cell->now.mono += 10 * KQ_USEC_PER_MSEC;
  ts_reply_poll (cell, first.worker, NULL, 0, NULL, 0);
  ts_reply_order (cell, ts_last_order (cell, KQ_SCHED_FX_STOP, JOB, 0, 0),
                  KQ_SCHED_OK);
  poll = next_poll_of (cell, first.worker);
  CU_ASSERT_STRING_EQUAL (poll.worker, first.worker);
  CU_ASSERT_EQUAL (poll.wait_ms, 0);
  CU_ASSERT_FALSE (kq_sched_next_poll (cell->sched, cell->now, &poll));
  ts_destroy (cell);
}

/* Guards against ending a run by an outdated status: two polls are in
   flight, and the reply to the earlier one, from before the run began,
   arrives last. */
static void
test_overtaken_status_ends_nothing (void)
{
  struct ts_cell *cell = start_cell ();
  struct kq_sched_step one = plain_step;
  struct ts_order first;
  struct kq_sched_running row;
  kq_usec sent_at;

  one.count = 1;
  ts_submit (cell, JOB, "batch", &one, 1);
  first = cell->orders[0];
  ts_advance (cell, 20);
  sent_at = cell->now.mono;
  ts_advance (cell, 20);
  row = ts_running (&first, 0);
  ts_reply_poll (cell, first.worker, &row, 1, NULL, 0);
  ts_reply_poll_sent_at (cell, first.worker, sent_at, 1, NULL, 0, NULL, 0);
  ts_advance (cell, 100);
  CU_ASSERT_EQUAL (ts_count_orders (cell, KQ_SCHED_FX_START), 1);
  ts_destroy (cell);
}

/* Guards against applying the ends of an earlier incarnation: its status
   arrives after the new incarnation is known, and its sequence numbers are
   higher than the new ones. */
static void
test_status_of_an_earlier_incarnation (void)
{
  struct ts_cell *cell = start_cell ();
  struct kq_sched_step one = plain_step;
  struct ts_order first;
  struct kq_sched_ended earlier_end;
  struct kq_sched_ended end;

  one.count = 1;
  ts_submit (cell, JOB, "batch", &one, 1);
  first = cell->orders[0];
  ts_register_incarnation (cell, first.worker, 16000, 64000, 5);
  earlier_end = ts_ended (&first, 40, KQ_SCHED_STOPPED);
  ts_reply_poll_sent_at (cell, first.worker, cell->now.mono, 1, NULL, 0,
                         &earlier_end, 1);
  ts_reply_poll_sent_at (cell, first.worker, cell->now.mono, 5, NULL, 0, NULL,
                         0);
  ts_advance (cell, 200);
  first = *ts_last_order (cell, KQ_SCHED_FX_START, JOB, 0, 0);
  end = ts_ended (&first, 1, KQ_SCHED_DONE);
  ts_reply_poll_sent_at (cell, first.worker, cell->now.mono, 5, NULL, 0, &end,
                         1);
  ts_advance (cell, 100);
  CU_ASSERT_EQUAL (ts_result_of (cell, ts_query (cell, JOB))->state,
                   KQ_SCHED_COMPLETE);
  ts_destroy (cell);
}

/* Idle workers are polled rarely and still get tasks; one that does not
   reply to a start order gets no more. */
static void
test_idle_workers_are_polled_rarely (void)
{
  struct ts_cell *cell = start_cell ();
  struct kq_sched_step one = plain_step;
  struct kq_sched_poll poll;
  int poll_count = 0;

  for (int i = 0; i < 30; i++)
    {
      cell->now.mono += 100 * KQ_USEC_PER_MSEC;
      kq_sched_confirm_term (cell->sched, cell->now.mono);
      while (kq_sched_next_poll (cell->sched, cell->now, &poll))
        {
          poll_count++;
          ts_reply_poll (cell, poll.worker, NULL, 0, NULL, 0);
        }
    }
  /* Two workers in 3 s: one poll each. */
  CU_ASSERT (poll_count <= 2);
  one.count = 1;
  ts_submit (cell, JOB, "batch", &one, 1);
  CU_ASSERT_EQUAL (ts_count_orders (cell, KQ_SCHED_FX_START), 1);
  ts_reply_order (cell, &cell->orders[0], KQ_SCHED_NO_REPLY);
  one.demand = (struct kq_sched_demand){ 4000, 1, 0 };
  ts_advance (cell, 300);
  ts_submit (cell, JOB + 1, "urgent", &one, 1);
  ts_submit (cell, JOB + 2, "urgent", &one, 1);
  /* One starts at the other worker, none at the one that did not reply. */
  CU_ASSERT_EQUAL (ts_count_orders (cell, KQ_SCHED_FX_START), 2);
  ts_destroy (cell);
}

static bool
next_advice_request (struct ts_cell *cell,
                     struct kq_sched_advice_request *policy_request)
{
  return kq_sched_next_advice_request (cell->sched, cell->now, policy_request);
}

/* Tasks of an advised queue start only with a ticket and on allowed
   workers; one request to the policy service is in flight at a time. */
static void
test_advised_tasks_carry_tickets (void)
{
  struct ts_cell *cell = start_cell ();
  struct kq_sched_advice_request policy_request;
  const struct ts_order *order;

  ts_submit (cell, JOB, "advised", &plain_step, 1);
  CU_ASSERT_EQUAL (ts_count_orders (cell, KQ_SCHED_FX_START), 0);
  CU_ASSERT_FATAL (next_advice_request (cell, &policy_request));
  CU_ASSERT_EQUAL (policy_request.step.job, JOB);
  CU_ASSERT_EQUAL (policy_request.count, 2);
  CU_ASSERT_FALSE (next_advice_request (cell, &policy_request));
  ts_advise (cell, &policy_request, "b", "t1", 3000);
  CU_ASSERT_EQUAL (ts_count_orders (cell, KQ_SCHED_FX_START), 2);
  for (int i = 0; i < 2; i++)
    {
      order = ts_last_order (cell, KQ_SCHED_FX_START, JOB, 0, i);
      CU_ASSERT_STRING_EQUAL (order != NULL ? order->worker : "", "b");
      CU_ASSERT_STRING_EQUAL (order != NULL ? order->ticket : "", "t1");
    }
  CU_ASSERT_FALSE (next_advice_request (cell, &policy_request));
  ts_destroy (cell);
}

/* After a worker refuses a ticket, a new one is requested before the task
   is sent again. Workers that are not allowed are named in no further request.
 */
static void
test_refused_ticket_is_renewed (void)
{
  struct ts_cell *cell = start_cell ();
  struct kq_sched_step one = plain_step;
  struct kq_sched_advice_request policy_request;

  one.count = 1;
  ts_submit (cell, JOB, "advised", &one, 1);
  CU_ASSERT_FATAL (next_advice_request (cell, &policy_request));
  ts_advise (cell, &policy_request, "b", "t1", 3000);
  ts_reply_order (cell, ts_last_order (cell, KQ_SCHED_FX_START, JOB, 0, 0),
                  KQ_SCHED_BAD_TICKET);
  CU_ASSERT_EQUAL (ts_count_orders (cell, KQ_SCHED_FX_START), 1);
  CU_ASSERT_FATAL (next_advice_request (cell, &policy_request));
  CU_ASSERT_EQUAL (policy_request.count, 1);
  CU_ASSERT_STRING_EQUAL (policy_request.workers[0], "b");
  ts_advise (cell, &policy_request, "b", "t2", 3000);
  CU_ASSERT_STRING_EQUAL (
      ts_last_order (cell, KQ_SCHED_FX_START, JOB, 0, 0)->ticket, "t2");
  ts_destroy (cell);
}

/* A failed request to the policy service is repeated after a delay, and a
   ticket that expires too soon is not used. */
static void
test_failed_advice_and_expiring_tickets (void)
{
  struct ts_cell *cell = start_cell ();
  struct kq_sched_event event = { .kind = KQ_SCHED_EV_ADVISED };
  struct kq_sched_advice failed_advice = { .reply = KQ_SCHED_UNHEALTHY };
  struct kq_sched_advice_request policy_request;

  ts_submit (cell, JOB, "advised", &plain_step, 1);
  CU_ASSERT_FATAL (next_advice_request (cell, &policy_request));
  failed_advice.policy_request = &policy_request;
  event.u.advice = &failed_advice;
  kq_sched_event (cell->sched, cell->now, &event);
  ts_process_pending (cell);
  CU_ASSERT_FALSE (next_advice_request (cell, &policy_request));
  ts_advance (cell, 200);
  CU_ASSERT_FATAL (next_advice_request (cell, &policy_request));
  /* Expires before the order may arrive. */
  ts_advise (cell, &policy_request, "b", "t1", 500);
  CU_ASSERT_EQUAL (ts_count_orders (cell, KQ_SCHED_FX_START), 0);
  CU_ASSERT_FATAL (next_advice_request (cell, &policy_request));
  ts_advise (cell, &policy_request, "b", "t2", 3000);
  CU_ASSERT_EQUAL (ts_count_orders (cell, KQ_SCHED_FX_START), 2);
  ts_destroy (cell);
}

/* Starts the only task of JOB, with a demand of CPU and an estimate of
   EST_MS, and returns its start order. */
static struct ts_order
start_single_cpu_task (struct ts_cell *cell, uint64_t job, int64_t cpu,
                       int64_t est_ms)
{
  struct kq_sched_step step
      = { .count = 1, .demand = { cpu, 1, 0 }, .est_ms = est_ms };

  return start_single_task (cell, job, &step);
}

/* Guards against starvation of a large urgent task under overload: small
   batch tasks must not take capacity that comes free in pieces. */
static void
test_batch_waits_behind_a_large_urgent_task (void)
{
  struct ts_cell *cell = start_cell ();
  struct kq_sched_step batch
      = { .count = 4, .demand = { 1500, 1, 0 }, .est_ms = 2000 };
  struct kq_sched_step urgent
      = { .count = 1, .demand = { 3000, 1, 0 }, .est_ms = 1000 };
  const struct ts_order *order;
  struct kq_sched_ended ends[2];
  const char *worker;

  ts_submit (cell, 1, "batch", &batch, 1);
  CU_ASSERT_EQUAL (ts_count_orders (cell, KQ_SCHED_FX_START), 4);
  ts_submit (cell, 2, "urgent", &urgent, 1);
  batch.demand.cpu = 900;
  ts_submit (cell, 3, "batch", &batch, 1);
  CU_ASSERT_EQUAL (ts_count_orders (cell, KQ_SCHED_FX_START), 4);
  order = ts_last_order (cell, KQ_SCHED_FX_START, 1, 0, 0);
  worker = order->worker;
  ends[0] = ts_ended (order, 1, KQ_SCHED_DONE);
  for (int i = 1; i < 4; i++)
    {
      order = ts_last_order (cell, KQ_SCHED_FX_START, 1, 0, i);
      if (strcmp (order->worker, worker) == 0)
        ends[1] = ts_ended (order, 2, KQ_SCHED_DONE);
    }
  ts_reply_poll (cell, worker, NULL, 0, ends, 1);
  CU_ASSERT_EQUAL (ts_count_orders (cell, KQ_SCHED_FX_START), 4);
  ts_reply_poll (cell, worker, NULL, 0, ends, 2);
  order = ts_last_order (cell, KQ_SCHED_FX_START, 2, 0, 0);
  CU_ASSERT_PTR_NOT_NULL (order);
  /* The urgent task has started: batch tasks may use the rest. */
  CU_ASSERT (ts_count_orders (cell, KQ_SCHED_FX_START) > 5);
  ts_destroy (cell);
}

/* A cell with little free capacity: two long tasks hold 7.3 of 8 cores, and
   a third one with 0.7 cores has ended. Job 4 (0.5 cores) is past three
   times its objective by then. */
struct nearly_full_cell
{
  struct ts_cell *cell;
  struct ts_order long_tasks[3];
  struct kq_sched_running rows[3];
};

static const struct kq_sched_step late_step
    = { .count = 1, .demand = { 500, 1, 0 }, .est_ms = 100 };

/* Reports the running tasks once a second; ROWS is the number of running
   tasks at the second worker. */
static void
advance_seconds (struct nearly_full_cell *nearly_full, int seconds,
                 size_t rows)
{
  for (int i = 0; i < seconds; i++)
    {
      ts_reply_poll (nearly_full->cell, nearly_full->long_tasks[0].worker,
                     &nearly_full->rows[0], 1, NULL, 0);
      ts_reply_poll (nearly_full->cell, nearly_full->long_tasks[1].worker,
                     &nearly_full->rows[1], rows, NULL, 0);
      for (int j = 0; j < 3; j++)
        nearly_full->rows[j].percent
            = (nearly_full->rows[j].percent + 1) % 100;
      ts_advance (nearly_full->cell, 1000);
    }
}

static void
make_nearly_full (struct nearly_full_cell *nearly_full)
{
  struct kq_sched_ended end;

  nearly_full->cell = start_cell ();
  nearly_full->long_tasks[0]
      = start_single_cpu_task (nearly_full->cell, 1, 4000, 60000);
  nearly_full->long_tasks[1]
      = start_single_cpu_task (nearly_full->cell, 2, 3300, 60000);
  nearly_full->long_tasks[2]
      = start_single_cpu_task (nearly_full->cell, 3, 700, 60000);
  CU_ASSERT_STRING_EQUAL (nearly_full->long_tasks[2].worker,
                          nearly_full->long_tasks[1].worker);
  for (int i = 0; i < 3; i++)
    nearly_full->rows[i] = ts_running (&nearly_full->long_tasks[i], 1);
  ts_submit (nearly_full->cell, 4, "urgent", &late_step, 1);
  /* Its objective is 1.2 s: it is past four times that afterwards. */
  advance_seconds (nearly_full, 5, 2);
  end = ts_ended (&nearly_full->long_tasks[2], 1, KQ_SCHED_DONE);
  ts_reply_poll (nearly_full->cell, nearly_full->long_tasks[0].worker,
                 &nearly_full->rows[0], 1, NULL, 0);
  ts_reply_poll (nearly_full->cell, nearly_full->long_tasks[1].worker,
                 &nearly_full->rows[1], 1, &end, 1);
}

static bool
has_started (const struct ts_cell *cell, uint64_t job)
{
  return ts_last_order (cell, KQ_SCHED_FX_START, job, 0, 0) != NULL;
}

/* Under overload, tasks past three times their objective leave capacity for
   new tasks that can be in time, and start when more is free. */
static void
test_late_tasks_leave_reserve (void)
{
  struct nearly_full_cell nearly_full;
  struct kq_sched_ended end;

  make_nearly_full (&nearly_full);
  CU_ASSERT_FALSE (has_started (nearly_full.cell, 4));
  ts_submit (nearly_full.cell, 5, "urgent", &late_step, 1);
  CU_ASSERT (has_started (nearly_full.cell, 5));
  end = ts_ended (&nearly_full.long_tasks[0], 1, KQ_SCHED_DONE);
  ts_reply_poll (nearly_full.cell, nearly_full.long_tasks[0].worker, NULL, 0,
                 &end, 1);
  CU_ASSERT (has_started (nearly_full.cell, 4));
  ts_destroy (nearly_full.cell);
}

/* Guards against starvation of late tasks where no other task ends. */
static void
test_very_late_tasks_use_most_of_the_reserve (void)
{
  struct nearly_full_cell nearly_full;

  make_nearly_full (&nearly_full);
  advance_seconds (&nearly_full, 20, 1);
  CU_ASSERT_FALSE (has_started (nearly_full.cell, 4));
  advance_seconds (&nearly_full, 15, 1);
  CU_ASSERT (has_started (nearly_full.cell, 4));
  ts_destroy (nearly_full.cell);
}

/* Guards against restarting tasks that still run after a takeover: the new
   owner does not know the leases that its predecessor granted. Tasks keep
   running before and after the first reply of their worker. */
static void
test_takeover_keeps_running_tasks (void)
{
  struct ts_cell *cell = start_cell ();
  struct ts_order first = start_single_task (cell, JOB, &plain_step);
  struct kq_sched_running row = ts_running (&first, 30);

  ts_advance (cell, 500);
  ts_take_over (cell);
  ts_register_worker (cell, "a", 4000, 4000);
  ts_register_worker (cell, "b", 4000, 4000);
  ts_advance (cell, 1500);
  CU_ASSERT_EQUAL (ts_count_orders (cell, KQ_SCHED_FX_START), 1);
  ts_reply_poll (cell, "a", strcmp (first.worker, "a") == 0 ? &row : NULL,
                 strcmp (first.worker, "a") == 0, NULL, 0);
  ts_reply_poll (cell, "b", strcmp (first.worker, "b") == 0 ? &row : NULL,
                 strcmp (first.worker, "b") == 0, NULL, 0);
  ts_advance (cell, 500);
  CU_ASSERT_EQUAL (ts_count_orders (cell, KQ_SCHED_FX_START), 1);
  ts_destroy (cell);
}

static void
test_takeover_restarts_lost_tasks (void)
{
  struct ts_cell *cell = start_cell ();
  struct ts_order first = start_single_task (cell, JOB, &plain_step);

  ts_take_over (cell);
  ts_register_worker (cell, "a", 4000, 4000);
  ts_register_worker (cell, "b", 4000, 4000);
  ts_advance (cell, 100);
  ts_reply_poll (cell, "a", NULL, 0, NULL, 0);
  ts_reply_poll (cell, "b", NULL, 0, NULL, 0);
  CU_ASSERT_EQUAL (ts_count_orders (cell, KQ_SCHED_FX_START), 2);
  CU_ASSERT_EQUAL (ts_last_order (cell, KQ_SCHED_FX_START, JOB, 0, 0)->run.run,
                   first.run.run + 1);
  ts_destroy (cell);
}

/* Guards against running a task twice: after a takeover, the tasks of an
   unreachable worker restart only when all leases that any owner may have
   granted have lapsed. */
static void
test_takeover_waits_for_unreachable_worker (void)
{
  struct ts_cell *cell = start_cell ();
  struct ts_order first = start_single_task (cell, JOB, &plain_step);
  const char *other = strcmp (first.worker, "a") == 0 ? "b" : "a";

  ts_take_over (cell);
  ts_register_worker (cell, other, 4000, 4000);
  ts_reply_poll (cell, other, NULL, 0, NULL, 0);
  /* The previous owner may have renewed for 3 s, each time for 5 s. */
  for (int i = 0; i < 8; i++)
    {
      ts_advance (cell, 1000);
      ts_reply_poll (cell, other, NULL, 0, NULL, 0);
    }
  CU_ASSERT_EQUAL (ts_count_orders (cell, KQ_SCHED_FX_START), 1);
  for (int i = 0; i < 3; i++)
    {
      ts_advance (cell, 1000);
      ts_reply_poll (cell, other, NULL, 0, NULL, 0);
    }
  CU_ASSERT_EQUAL (ts_count_orders (cell, KQ_SCHED_FX_START), 2);
  ts_destroy (cell);
}

/* Guards against waiting anew after each takeover: the worker has crashed
   before the second owner began, so that only the first one has renewed its
   lease. */
static void
test_takeovers_do_not_extend_the_wait (void)
{
  struct ts_cell *cell = start_cell ();
  struct kq_sched_step lasting = plain_step;
  struct ts_order first;
  const char *other;

  lasting.long_running = true;
  first = start_single_task (cell, JOB, &lasting);
  other = strcmp (first.worker, "a") == 0 ? "b" : "a";
  for (int i = 0; i < 2; i++)
    {
      ts_take_over (cell);
      ts_register_worker (cell, other, 4000, 4000);
      for (int j = 0; j < 3; j++)
        {
          ts_reply_poll (cell, other, NULL, 0, NULL, 0);
          ts_advance (cell, 1000);
        }
    }
  CU_ASSERT_EQUAL (ts_count_orders (cell, KQ_SCHED_FX_START), 1);
  /* 6 s have passed; 3 s without a confirmation and a lease of 5 s end after
     8.4 s. */
  for (int i = 0; i < 3; i++)
    {
      ts_reply_poll (cell, other, NULL, 0, NULL, 0);
      ts_advance (cell, 1000);
    }
  CU_ASSERT_EQUAL (ts_count_orders (cell, KQ_SCHED_FX_START), 2);
  ts_destroy (cell);
}

/* Guards against renewing a lease before the store holds who renews it. */
static void
test_grant_is_stored_before_a_renewal (void)
{
  struct ts_cell *cell = start_cell ();
  struct ts_order first = start_single_task (cell, JOB, &plain_step);
  struct kq_sched_running row = ts_running (&first, 10);
  struct kq_sched_poll poll;

  ts_take_over (cell);
  ts_register_worker (cell, first.worker, 4000, 4000);
  cell->store_down = true;
  ts_reply_poll (cell, first.worker, &row, 1, NULL, 0);
  cell->now.mono += KQ_USEC_PER_SEC;
  poll = next_poll_of (cell, first.worker);
  CU_ASSERT_STRING_EQUAL (poll.worker, first.worker);
  CU_ASSERT_EQUAL (poll.lease_end_ms, 0);
  cell->store_down = false;
  ts_process_pending (cell);
  /* The next poll follows while that one waits at the worker: the lease that
     the earlier owner renewed may be ending. */
  poll = next_poll_of (cell, first.worker);
  CU_ASSERT_STRING_EQUAL (poll.worker, first.worker);
  CU_ASSERT (poll.lease_end_ms > 0);
  ts_destroy (cell);
}

/* Guards against extending the lease of an unreachable worker: it is still
   polled, but polls that it may not have received do not renew its lease. */
static void
test_unreachable_worker_loses_its_tasks (void)
{
  struct ts_cell *cell = start_cell ();
  struct ts_order first = start_single_task (cell, JOB, &plain_step);
  const char *other = strcmp (first.worker, "a") == 0 ? "b" : "a";

  for (int i = 0; i < 5; i++)
    {
      ts_advance (cell, 1000);
      ts_reply_poll (cell, other, NULL, 0, NULL, 0);
      ts_fail_poll (cell, first.worker);
    }
  CU_ASSERT_EQUAL (ts_count_orders (cell, KQ_SCHED_FX_START), 1);
  for (int i = 0; i < 4; i++)
    {
      ts_advance (cell, 1000);
      ts_reply_poll (cell, other, NULL, 0, NULL, 0);
      ts_fail_poll (cell, first.worker);
    }
  CU_ASSERT_EQUAL (ts_count_orders (cell, KQ_SCHED_FX_START), 2);
  ts_destroy (cell);
}

static void
test_job_fails_after_its_attempts (void)
{
  struct ts_cell *cell = start_cell ();
  struct kq_sched_step one = plain_step;
  int64_t number = 0;

  one.count = 1;
  ts_submit (cell, JOB, "batch", &one, 1);
  for (int i = 0; i < 3; i++)
    {
      struct ts_order order = cell->orders[cell->order_count - 1];
      struct kq_sched_ended ended
          = ts_ended (&order, ++number, KQ_SCHED_FAILED);

      CU_ASSERT_EQUAL (order.run.run, i + 1);
      ts_reply_order (cell, &order, KQ_SCHED_OK);
      ts_reply_poll (cell, order.worker, NULL, 0, &ended, 1);
    }
  CU_ASSERT_EQUAL (ts_count_orders (cell, KQ_SCHED_FX_START), 3);
  CU_ASSERT_EQUAL (ts_result_of (cell, ts_query (cell, JOB))->state,
                   KQ_SCHED_FAILED_JOB);
  ts_destroy (cell);
}

/* An owner without a confirmation by the store renews leases for 3 s and no
   longer. */
static void
test_unconfirmed_owner_renews_no_lease (void)
{
  struct ts_cell *cell = start_cell ();
  struct kq_sched_step long_running = plain_step;
  struct kq_sched_poll poll = { .lease_end_ms = 0 };
  struct ts_order order;
  struct kq_sched_running row;

  long_running.long_running = true;
  order = start_single_task (cell, JOB, &long_running);
  row = ts_running (&order, 100);
  cell->store_down = true;
  cell->now.mono += 2 * KQ_USEC_PER_SEC;
  ts_reply_poll (cell, order.worker, &row, 1, NULL, 0);
  cell->now.mono += KQ_USEC_PER_SEC / 2;
  CU_ASSERT (kq_sched_next_poll (cell->sched, cell->now, &poll));
  CU_ASSERT_STRING_EQUAL (poll.worker, order.worker);
  CU_ASSERT (poll.lease_end_ms > 0);
  ts_reply_poll (cell, order.worker, &row, 1, NULL, 0);
  cell->now.mono += KQ_USEC_PER_SEC;
  while (kq_sched_next_poll (cell->sched, cell->now, &poll)
         && strcmp (poll.worker, order.worker) != 0)
    ;
  CU_ASSERT_STRING_EQUAL (poll.worker, order.worker);
  CU_ASSERT_EQUAL (poll.lease_end_ms, 0);
  ts_destroy (cell);
}

/* Nor does it start tasks, although the store takes its records: a successor
   waits only as long as these 3 s allow. */
static void
test_unconfirmed_owner_starts_nothing (void)
{
  struct ts_cell *cell = start_cell ();
  struct kq_sched_step one = plain_step;

  one.count = 1;
  cell->now.mono += 4 * KQ_USEC_PER_SEC;
  ts_reply_poll (cell, "a", NULL, 0, NULL, 0);
  ts_reply_poll (cell, "b", NULL, 0, NULL, 0);
  ts_submit (cell, JOB, "batch", &one, 1);
  CU_ASSERT_EQUAL (ts_count_orders (cell, KQ_SCHED_FX_START), 0);
  ts_advance (cell, 100);
  CU_ASSERT_EQUAL (ts_count_orders (cell, KQ_SCHED_FX_START), 1);
  ts_destroy (cell);
}

/* A start that waits for the store meanwhile is not sent either. */
static void
test_start_is_not_sent_unconfirmed (void)
{
  struct ts_cell *cell = start_cell ();
  struct kq_sched_step one = plain_step;

  one.count = 1;
  cell->store_down = true;
  ts_submit (cell, JOB, "batch", &one, 1);
  cell->now.mono += 4 * KQ_USEC_PER_SEC;
  ts_reply_poll (cell, "a", NULL, 0, NULL, 0);
  ts_reply_poll (cell, "b", NULL, 0, NULL, 0);
  cell->store_down = false;
  ts_process_pending (cell);
  CU_ASSERT_EQUAL (ts_count_orders (cell, KQ_SCHED_FX_START), 0);
  ts_advance (cell, 100);
  CU_ASSERT_EQUAL (ts_count_orders (cell, KQ_SCHED_FX_START), 1);
  ts_destroy (cell);
}

/* Guards against counting a failure twice: the worker reports an end that
   is stored, but not acknowledged, to the next owner again. */
static void
test_failure_counts_once (void)
{
  struct ts_cell *cell = start_cell ();
  struct kq_sched_step one = plain_step;
  struct ts_order order;
  struct kq_sched_ended ended;

  one.count = 1;
  ts_submit (cell, JOB, "batch", &one, 1);
  order = cell->orders[0];
  ts_reply_order (cell, &order, KQ_SCHED_OK);
  ended = ts_ended (&order, 1, KQ_SCHED_FAILED);
  ts_reply_poll (cell, order.worker, NULL, 0, &ended, 1);
  for (int i = 0; i < 3; i++)
    {
      ts_take_over (cell);
      ts_register_worker (cell, "a", 4000, 4000);
      ts_register_worker (cell, "b", 4000, 4000);
      ts_reply_poll (cell, order.worker, NULL, 0, &ended, 1);
    }
  CU_ASSERT_EQUAL (ts_result_of (cell, ts_query (cell, JOB))->state,
                   KQ_SCHED_ACTIVE);
  ts_destroy (cell);
}

static void
test_cancel_stops_running_tasks (void)
{
  struct ts_cell *cell = start_cell ();
  struct ts_order first = start_single_task (cell, JOB, &plain_step);
  uint64_t token = ts_cancel (cell, JOB);

  CU_ASSERT_EQUAL (ts_result_of (cell, token)->status, 200);
  CU_ASSERT_PTR_NOT_NULL (ts_last_order (cell, KQ_SCHED_FX_STOP, JOB, 0, 0));
  ts_take_over (cell);
  ts_register_worker (cell, first.worker, 4000, 4000);
  cell->order_count = 0;
  {
    struct kq_sched_running row = ts_running (&first, 30);

    ts_reply_poll (cell, first.worker, &row, 1, NULL, 0);
  }
  ts_advance (cell, 1000);
  CU_ASSERT_PTR_NOT_NULL (ts_last_order (cell, KQ_SCHED_FX_STOP, JOB, 0, 0));
  CU_ASSERT_EQUAL (ts_count_orders (cell, KQ_SCHED_FX_START), 0);
  ts_destroy (cell);
}

static void
test_long_running_task_restarts (void)
{
  struct ts_cell *cell = start_cell ();
  struct kq_sched_step long_running = plain_step;
  struct ts_order first;
  struct kq_sched_ended ended;

  long_running.long_running = true;
  first = start_single_task (cell, JOB, &long_running);
  ended = ts_ended (&first, 1, KQ_SCHED_FAILED);
  ts_reply_poll (cell, first.worker, NULL, 0, &ended, 1);
  CU_ASSERT_EQUAL (ts_count_orders (cell, KQ_SCHED_FX_START), 2);
  ts_destroy (cell);
}

/* An occurrence starts when it is due and not before. */
static void
test_occurrences (void)
{
  struct ts_cell *cell = start_cell ();
  struct kq_sched_step one = plain_step;

  one.count = 1;
  cell->times = 2;
  cell->interval_ms = 1000;
  ts_submit (cell, JOB, "batch", &one, 1);
  ts_advance (cell, 900);
  CU_ASSERT_EQUAL (ts_count_orders (cell, KQ_SCHED_FX_START), 0);
  ts_reply_poll (cell, "a", NULL, 0, NULL, 0);
  ts_reply_poll (cell, "b", NULL, 0, NULL, 0);
  ts_advance (cell, 200);
  CU_ASSERT_EQUAL (ts_count_orders (cell, KQ_SCHED_FX_START), 1);
  CU_ASSERT_EQUAL (cell->orders[0].run.occurrence, 0);
  ts_reply_poll (cell, "a", NULL, 0, NULL, 0);
  ts_reply_poll (cell, "b", NULL, 0, NULL, 0);
  ts_advance (cell, 1000);
  CU_ASSERT_EQUAL (ts_count_orders (cell, KQ_SCHED_FX_START), 2);
  CU_ASSERT_EQUAL (cell->orders[1].run.occurrence, 1);
  ts_destroy (cell);
}

/* The members of a gang start with the same run number, or none starts. */
static void
test_gang (void)
{
  struct ts_cell *cell = start_cell ();
  struct kq_sched_step gang = {
    .count = 5, .demand = { 2000, 100, 0 }, .est_ms = 1000, .gang = true
  };
  struct kq_sched_ended ended;

  ts_submit (cell, JOB, "batch", &gang, 1);
  CU_ASSERT_EQUAL (ts_count_orders (cell, KQ_SCHED_FX_START), 0);
  gang.count = 4;
  ts_submit (cell, JOB + 1, "batch", &gang, 1);
  CU_ASSERT_EQUAL (ts_count_orders (cell, KQ_SCHED_FX_START), 4);
  for (int i = 0; i < 4; i++)
    CU_ASSERT_EQUAL (cell->orders[i].run.run, cell->orders[0].run.run);
  ts_reply_order (cell, &cell->orders[0], KQ_SCHED_OK);
  ended = ts_ended (&cell->orders[0], 1, KQ_SCHED_DONE);
  ts_reply_poll (cell, cell->orders[0].worker, NULL, 0, &ended, 1);
  CU_ASSERT_EQUAL (ts_result_of (cell, ts_query (cell, JOB + 1))->state,
                   KQ_SCHED_COMPLETE);
  ts_destroy (cell);
}

static void
test_limit_per_worker (void)
{
  struct ts_cell *cell = start_cell ();
  struct kq_sched_step step = plain_step;

  step.count = 5;
  step.max_per_worker = 1;
  ts_submit (cell, JOB, "batch", &step, 1);
  CU_ASSERT_EQUAL (ts_count_orders (cell, KQ_SCHED_FX_START), 2);
  CU_ASSERT_STRING_NOT_EQUAL (cell->orders[0].worker, cell->orders[1].worker);
  ts_destroy (cell);
}

static void
test_label_and_rack (void)
{
  struct ts_cell *cell = start_cell ();
  struct kq_sched_step step = plain_step;

  snprintf (step.rack, sizeof step.rack, "r-b");
  ts_submit (cell, JOB, "batch", &step, 1);
  CU_ASSERT_STRING_EQUAL (cell->orders[0].worker, "b");
  CU_ASSERT_STRING_EQUAL (cell->orders[1].worker, "b");
  step.rack[0] = '\0';
  snprintf (step.label, sizeof step.label, "r-a");
  ts_submit (cell, JOB + 1, "batch", &step, 1);
  CU_ASSERT_STRING_EQUAL (cell->orders[2].worker, "a");
  snprintf (step.label, sizeof step.label, "nowhere");
  ts_submit (cell, JOB + 2, "batch", &step, 1);
  CU_ASSERT_EQUAL (cell->order_count, 4);
  ts_destroy (cell);
}

/* A worker where tasks of several jobs fail gets no tasks for some time. */
static void
test_failing_worker_is_quarantined (void)
{
  struct ts_cell *cell = start_cell ();
  struct ts_order first = start_single_task (cell, JOB, &plain_step);
  struct ts_order second;
  struct kq_sched_ended ended[2];
  int before;

  ts_drain (cell, strcmp (first.worker, "a") == 0 ? "b" : "a");
  second = start_single_task (cell, JOB + 1, &plain_step);
  CU_ASSERT_STRING_EQUAL (second.worker, first.worker);
  ended[0] = ts_ended (&first, 1, KQ_SCHED_FAILED);
  ended[1] = ts_ended (&second, 2, KQ_SCHED_FAILED);
  before = cell->order_count;
  ts_reply_poll (cell, first.worker, NULL, 0, ended, 2);
  ts_submit (cell, JOB + 2, "batch", &plain_step, 1);
  CU_ASSERT_EQUAL (cell->order_count, before);
  ts_advance (cell, 5000);
  ts_reply_poll (cell, first.worker, NULL, 0, NULL, 0);
  ts_advance (cell, 200);
  CU_ASSERT (cell->order_count > before);
  ts_destroy (cell);
}

/* Guards against loss of the interference model at a takeover: a restored
   model is stored again unchanged, and a truncated record is refused. */
static void
test_factors_are_stored (void)
{
  struct ts_cell *cell = start_cell ();
  char *images[] = { "serving", "filler" };
  float bases[] = { 0.25F, 0.5F };
  float factors[] = { 0, 3.5F, 0.5F, 0 };
  KqSched__PressureRecord message = KQ_SCHED__PRESSURE_RECORD__INIT;
  uint8_t bytes[256];
  size_t size;
  bool found = false;

  message.n_images = 2;
  message.images = images;
  message.n_bases = 2;
  message.bases = bases;
  message.n_factors = 4;
  message.factors = factors;
  size = kq_sched__pressure_record__pack (&message, bytes);
  CU_ASSERT_EQUAL (kq_sched_restore_interference (cell->sched, bytes, size),
                   0);
  ts_advance (cell, 2500);
  for (int i = 0; i < cell->record_count; i++)
    if (strcmp (cell->records[i].key, KQ_SCHED_INTERFERENCE_KEY) == 0)
      {
        found = true;
        CU_ASSERT_EQUAL_FATAL (cell->records[i].size, size);
        CU_ASSERT_EQUAL (memcmp (cell->records[i].value, bytes, size), 0);
      }
  CU_ASSERT (found);
  CU_ASSERT_NOT_EQUAL (
      kq_sched_restore_interference (cell->sched, bytes, size - 1), 0);
  ts_destroy (cell);
}

static void
test_unknown_job_returns_gone (void)
{
  struct ts_cell *cell = start_cell ();

  CU_ASSERT_EQUAL (ts_result_of (cell, ts_query (cell, 99))->status, 410);
  CU_ASSERT_EQUAL (ts_result_of (cell, ts_cancel (cell, 99))->status, 410);
  ts_destroy (cell);
}

static void
test_draining_worker_gets_no_tasks (void)
{
  struct ts_cell *cell = start_cell ();

  ts_drain (cell, "a");
  ts_submit (cell, JOB, "batch", &plain_step, 1);
  for (int i = 0; i < cell->order_count; i++)
    CU_ASSERT_STRING_EQUAL (cell->orders[i].worker, "b");
  CU_ASSERT_EQUAL (cell->order_count, 2);
  ts_destroy (cell);
}

static const struct kq_test tests[] = {
  { "idle workers are polled rarely", test_idle_workers_are_polled_rarely },
  { "advised tasks carry tickets", test_advised_tasks_carry_tickets },
  { "refused ticket is renewed", test_refused_ticket_is_renewed },
  { "failed advice and expiring tickets",
    test_failed_advice_and_expiring_tickets },
  { "batch waits behind a large urgent task",
    test_batch_waits_behind_a_large_urgent_task },
  { "late tasks leave reserve capacity", test_late_tasks_leave_reserve },
  { "very late tasks may use most of the reserve",
    test_very_late_tasks_use_most_of_the_reserve },
  { "an overtaken status ends no run", test_overtaken_status_ends_nothing },
  { "status of an earlier incarnation",
    test_status_of_an_earlier_incarnation },
  { "a lost reply keeps the run", test_lost_reply_keeps_the_run },
  { "a lost reply keeps the end", test_lost_reply_keeps_the_end },
  { "an unanswered start and poll", test_unanswered_start_and_poll },
  { "a lost start is polled for at once",
    test_lost_start_is_polled_for_at_once },
  { "a start waits for the store", test_start_waits_for_store },
  { "a repeated ID denotes one job", test_repeated_id_is_one_job },
  { "steps run in order", test_steps_in_order },
  { "completion waits for the store", test_complete_waits_for_store },
  { "an end is stored before it is acknowledged",
    test_end_is_stored_before_it_is_acked },
  { "an unanswered start is resolved by a stop",
    test_unanswered_start_is_resolved_by_a_stop },
  { "a takeover keeps running tasks", test_takeover_keeps_running_tasks },
  { "a takeover restarts lost tasks", test_takeover_restarts_lost_tasks },
  { "takeovers do not extend the wait",
    test_takeovers_do_not_extend_the_wait },
  { "a grant is stored before a renewal",
    test_grant_is_stored_before_a_renewal },
  { "a takeover waits for an unreachable worker",
    test_takeover_waits_for_unreachable_worker },
  { "an unreachable worker loses its tasks",
    test_unreachable_worker_loses_its_tasks },
  { "a job fails after its last attempt", test_job_fails_after_its_attempts },
  { "an unconfirmed owner renews no lease",
    test_unconfirmed_owner_renews_no_lease },
  { "an unconfirmed owner starts nothing",
    test_unconfirmed_owner_starts_nothing },
  { "a start is not sent unconfirmed", test_start_is_not_sent_unconfirmed },
  { "a failure counts once", test_failure_counts_once },
  { "a cancel stops running tasks, also after a takeover",
    test_cancel_stops_running_tasks },
  { "a long-running task starts again", test_long_running_task_restarts },
  { "occurrences start when due", test_occurrences },
  { "a gang starts as a whole", test_gang },
  { "a limit for each worker", test_limit_per_worker },
  { "labels and racks", test_label_and_rack },
  { "a failing worker is quarantined", test_failing_worker_is_quarantined },
  { "interference factors are stored", test_factors_are_stored },
  { "an unknown job returns 410", test_unknown_job_returns_gone },
  { "a draining worker gets no tasks", test_draining_worker_gets_no_tasks },
};

KQ_TEST_MAIN ("test-sched", tests)

/* Guards against long-running tasks that never start at the worker that is
 * reserved for them: a smaller short task that found no room, or another task
 * of the step without a reservation, kept them from being tried, while the
 * reservation kept all others away; and against workers that stay reserved for
 * a task that may not run there, so that two such tasks block each other's
 * workers for ever.
 */
#include <string.h>

#include "sched/internal.h"
#include "t/kqtest.h"
#include "t/lib-sched.h"

#define LASTING UINT64_C (1)
#define BATCH UINT64_C (2)
#define SHORT UINT64_C (3)
#define OTHER_LASTING UINT64_C (4)
#define OTHER_BATCH UINT64_C (5)

static const struct kq_sched_step lasting = { .count = 1,
                                              .demand = { 3000, 100, 0 },
                                              .est_ms = 100000,
                                              .long_running = true };
/* Its two tasks must not share a worker. */
static const struct kq_sched_step apart = { .count = 2,
                                            .demand = { 4000, 100, 0 },
                                            .est_ms = 100000,
                                            .long_running = true,
                                            .max_per_worker = 1 };
static const struct kq_sched_step small
    = { .count = 1, .demand = { 500, 100, 0 }, .est_ms = 500 };
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

/* Starts two lasting jobs, with a task of each at the workers "c" and "d";
   batch work fills "a" and "b". */
static void
start_lasting_jobs (struct ts_cell *cell)
{
  struct kq_sched_step filling = { .count = 2,
                                   .demand = { 8000, 100, 0 },
                                   .est_ms = 60000,
                                   .checkpointable = true };

  ts_start (cell);
  ts_add_idle_worker (cell, "a", 16000);
  ts_add_idle_worker (cell, "b", 16000);
  ts_submit (cell, BATCH, "urgent", &filling, 1);
  filling.checkpointable = false;
  ts_submit (cell, OTHER_BATCH, "urgent", &filling, 1);
  ts_add_idle_worker (cell, "c", 8000);
  ts_add_idle_worker (cell, "d", 8000);
  ts_submit (cell, LASTING, "urgent", &apart, 1);
  ts_submit (cell, OTHER_LASTING, "urgent", &apart, 1);
  CU_ASSERT_EQUAL (ts_count_orders (cell, KQ_SCHED_FX_START), 8);
  ts_list_runs (cell, "a");
  ts_list_runs (cell, "b");
}

/* Both tasks of a step reserve the same worker, which may run one of them. */
static void
test_tasks_that_must_not_share_a_worker (void)
{
  struct ts_cell cell;

  start_lasting_jobs (&cell);
  ts_lose_worker (&cell, "c");
  ts_lose_worker (&cell, "d");
  ts_list_runs (&cell, "a");
  ts_list_runs (&cell, "b");
  ts_advance (&cell, 400);
  ts_list_runs (&cell, "a");
  ts_list_runs (&cell, "b");
  ts_advance (&cell, 200);
  for (int i = 0; i < 2; i++)
    {
      CU_ASSERT_EQUAL (ts_run_of (&cell, LASTING, i), 2);
      CU_ASSERT_EQUAL (ts_run_of (&cell, OTHER_LASTING, i), 2);
    }
  ts_stop (&cell);
}

/* The reserved worker is given another label, but goes on. */
static void
test_worker_that_no_longer_suits (void)
{
  struct kq_sched_step labelled = lasting;
  struct kq_sched_registration report = { .service = "s",
                                          .address = "10.0.0.1:80",
                                          .kind = "fast",
                                          .capacity = { 4000, 4000, 0 },
                                          .incarnation_ms = 1 };
  struct ts_cell cell;

  strcpy (labelled.label, "fast");
  ts_start (&cell);
  strcpy (report.id, "a");
  ts_register (&cell, &report);
  ts_reply_poll (&cell, "a", NULL, 0, NULL, 0);
  ts_submit (&cell, LASTING, "urgent", &labelled, 1);
  strcpy (report.id, "b");
  ts_register (&cell, &report);
  ts_reply_poll (&cell, "b", NULL, 0, NULL, 0);
  ts_submit (&cell, BATCH, "urgent", &batch, 1);
  ts_lose_worker (&cell, "a");
  ts_list_runs (&cell, "b");
  ts_advance (&cell, 400);
  strcpy (report.kind, "slow");
  ts_register (&cell, &report);
  ts_list_runs (&cell, "b");
  ts_submit (&cell, SHORT, "urgent", &small, 1);
  ts_advance (&cell, 200);
  CU_ASSERT_EQUAL (ts_run_of (&cell, SHORT, 0), 1);
  ts_stop (&cell);
}

/* The queue of a reserved task gets a policy, which names no worker yet. */
static void
test_queue_that_gets_a_policy (void)
{
  struct kq_sched_event event = { .kind = KQ_SCHED_EV_CONFIG };
  struct ts_cell cell;

  ts_start (&cell);
  ts_add_idle_worker (&cell, "a", 4000);
  ts_submit (&cell, LASTING, "batch", &lasting, 1);
  ts_add_idle_worker (&cell, "b", 4000);
  ts_submit (&cell, BATCH, "urgent", &batch, 1);
  ts_lose_worker (&cell, "a");
  ts_list_runs (&cell, "b");
  ts_advance (&cell, 400);
  cell.queues[1].advised = true;
  event.u.config = &cell.config;
  kq_sched_event (cell.sched, cell.now, &event);
  ts_submit (&cell, SHORT, "urgent", &small, 1);
  ts_advance (&cell, 200);
  CU_ASSERT_EQUAL (ts_run_of (&cell, SHORT, 0), 1);
  ts_stop (&cell);
}

/* After an outage tasks are stopped only at workers that have replied since:
   nothing could start at the others. */
static void
test_workers_unheard_since_an_outage (void)
{
  struct ts_cell cell;

  start_lasting_jobs (&cell);
  worker_find (cell.sched, "a")->unheard = true;
  worker_find (cell.sched, "b")->unheard = true;
  ts_lose_worker (&cell, "c");
  ts_advance (&cell, 400);
  CU_ASSERT_EQUAL (ts_count_orders (&cell, KQ_SCHED_FX_STOP), 0);
  ts_list_runs (&cell, "a");
  ts_advance (&cell, 200);
  CU_ASSERT_EQUAL (ts_count_orders (&cell, KQ_SCHED_FX_STOP), 1);
  ts_stop (&cell);
}

/* More urgent tasks that find no room do not keep a task from its reserved
   worker, which is of no use to them. */
static void
test_blocked_by_urgent_tasks (void)
{
  struct ts_cell cell;
  struct kq_sched_step large = smaller;

  large.demand.cpu = 3500;
  ts_start (&cell);
  ts_add_idle_worker (&cell, "a", 4000);
  ts_submit (&cell, LASTING, "batch", &lasting, 1);
  ts_add_idle_worker (&cell, "b", 4000);
  ts_submit (&cell, BATCH, "batch", &batch, 1);
  ts_lose_worker (&cell, "a");
  ts_list_runs (&cell, "b");
  ts_advance (&cell, 400);
  ts_submit (&cell, SHORT, "urgent", &large, 1);
  ts_end_run (&cell, BATCH, 1, KQ_SCHED_DONE);
  ts_advance (&cell, 200);
  CU_ASSERT_EQUAL (ts_run_of (&cell, LASTING, 0), 2);
  ts_stop (&cell);
}

/* A lasting task waits while the only worker with room is quarantined. */
static void
test_quarantined_worker (void)
{
  struct ts_cell cell;

  ts_start (&cell);
  ts_add_idle_worker (&cell, "a", 4000);
  ts_submit (&cell, LASTING, "urgent", &lasting, 1);
  ts_add_idle_worker (&cell, "b", 4000);
  for (uint64_t job = SHORT; job <= OTHER_LASTING; job++)
    {
      ts_submit (&cell, job, "batch", &small, 1);
      ts_end_run (&cell, job, (int64_t)job, KQ_SCHED_FAILED);
    }
  /* The failed tasks have no worker to go to. */
  ts_submit (&cell, BATCH, "batch", &batch, 1);
  CU_ASSERT_EQUAL (ts_run_of (&cell, BATCH, 0), 0);
  ts_lose_worker (&cell, "a");
  ts_list_runs (&cell, "b");
  ts_advance (&cell, 800);
  CU_ASSERT_EQUAL (ts_run_of (&cell, LASTING, 0), 1);
  ts_list_runs (&cell, "b");
  ts_advance (&cell, 400);
  CU_ASSERT_EQUAL (ts_run_of (&cell, LASTING, 0), 2);
  CU_ASSERT_EQUAL (ts_run_of (&cell, BATCH, 0), 0);
  ts_stop (&cell);
}

/* A lasting task that has failed at the only worker with room keeps away from
   it for a while; the other task of its step, whose worker is lost, need not.
 */
static void
test_task_beside_one_that_avoids_the_worker (void)
{
  struct kq_sched_step pair = lasting;
  struct kq_sched_ended failed;
  const struct ts_order *first;
  struct ts_cell cell;

  pair.count = 2;
  ts_start (&cell);
  ts_add_idle_worker (&cell, "b", 4000);
  ts_submit (&cell, LASTING, "urgent", &pair, 1);
  ts_add_idle_worker (&cell, "a", 4000);
  ts_advance (&cell, 100);
  CU_ASSERT_EQUAL (ts_run_of (&cell, LASTING, 1), 1);
  ts_submit (&cell, SHORT, "batch", &small, 1);
  CU_ASSERT_EQUAL (ts_run_of (&cell, SHORT, 0), 1);
  first = ts_last_order (&cell, KQ_SCHED_FX_START, LASTING, 0, 0);
  CU_ASSERT_PTR_NOT_NULL_FATAL (first);
  CU_ASSERT_STRING_EQUAL (first->worker, "b");
  ts_end_run (&cell, SHORT, 1, KQ_SCHED_FAILED);
  failed = ts_ended (first, 2, KQ_SCHED_FAILED);
  ts_reply_poll (&cell, "b", NULL, 0, &failed, 1);
  ts_lose_worker (&cell, "a");
  for (int ms = 0; ms < 1400; ms += 200)
    {
      ts_advance (&cell, 200);
      ts_reply_poll (&cell, "b", NULL, 0, NULL, 0);
    }
  CU_ASSERT_EQUAL (ts_run_of (&cell, LASTING, 1), 2);
  ts_stop (&cell);
}

/* The task that keeps the room of a reserved worker was to end soon, but takes
   longer than it was declared to. */
static void
test_task_that_does_not_end_as_declared (void)
{
  struct kq_sched_running running;
  struct kq_sched_ended stopped;
  struct ts_order slow;
  struct ts_cell cell;

  ts_start (&cell);
  ts_add_idle_worker (&cell, "a", 4000);
  ts_submit (&cell, LASTING, "urgent", &lasting, 1);
  ts_add_idle_worker (&cell, "b", 4000);
  slow = start_job (&cell, BATCH, &batch);
  ts_lose_worker (&cell, "a");
  for (int percent = 50; percent < 62; percent++)
    {
      running = ts_running (&slow, percent);
      ts_reply_poll (&cell, "b", &running, 1, NULL, 0);
      ts_advance (&cell, 200);
    }
  CU_ASSERT_PTR_NOT_NULL (
      ts_last_order (&cell, KQ_SCHED_FX_STOP, BATCH, 0, 0));
  stopped = ts_ended (&slow, 1, KQ_SCHED_STOPPED);
  ts_reply_poll (&cell, "b", NULL, 0, &stopped, 1);
  CU_ASSERT_EQUAL (ts_run_of (&cell, LASTING, 0), 2);
  ts_stop (&cell);
}

/* Lets the run of ORDER go on at PERCENT beside the other runs in RUNNING. */
static void
go_on (struct ts_cell *cell, const struct ts_order *order, int percent)
{
  struct kq_sched_running running = ts_running (order, percent);

  ts_reply_poll (cell, order->worker, &running, 1, NULL, 0);
}

/* A member of a gang, which is not stopped, keeps the room of the reserved
   worker for longer than declared; at another one a short task can be stopped.
 */
static void
test_gang_that_does_not_end_as_declared (void)
{
  struct kq_sched_step gang = batch;
  struct kq_sched_step slow = batch;
  struct ts_order member;
  struct ts_order other;
  struct ts_cell cell;

  gang.gang = true;
  slow.est_ms = 60000;
  ts_start (&cell);
  ts_add_idle_worker (&cell, "a", 4000);
  ts_submit (&cell, LASTING, "urgent", &lasting, 1);
  ts_add_idle_worker (&cell, "b", 4000);
  member = start_job (&cell, BATCH, &gang);
  ts_add_idle_worker (&cell, "c", 4000);
  other = start_job (&cell, OTHER_BATCH, &slow);
  ts_lose_worker (&cell, "a");
  for (int i = 0; i < 12; i++)
    {
      go_on (&cell, &member, 50 + i);
      go_on (&cell, &other, 10);
      ts_advance (&cell, 200);
    }
  CU_ASSERT_PTR_NOT_NULL (
      ts_last_order (&cell, KQ_SCHED_FX_STOP, OTHER_BATCH, 0, 0));
  ts_stop (&cell);
}

/* The room of the worker reserved first does not come free in time: another
   one is reserved if the stops there lose less work. */
static void
test_task_that_is_nearly_done (void)
{
  struct kq_sched_step nearly_done = batch;
  struct kq_sched_step resumable = batch;
  struct ts_order first;
  struct ts_order second;
  struct ts_cell cell;

  nearly_done.est_ms = 100000;
  resumable.est_ms = 60000;
  resumable.checkpointable = true;
  ts_start (&cell);
  ts_add_idle_worker (&cell, "a", 4000);
  ts_submit (&cell, LASTING, "urgent", &lasting, 1);
  ts_add_idle_worker (&cell, "b", 4000);
  first = start_job (&cell, BATCH, &nearly_done);
  ts_add_idle_worker (&cell, "c", 4000);
  second = start_job (&cell, OTHER_BATCH, &resumable);
  ts_lose_worker (&cell, "a");
  for (int i = 0; i < 9; i++)
    {
      go_on (&cell, &first, 99);
      go_on (&cell, &second, 10);
      ts_advance (&cell, 200);
    }
  CU_ASSERT_PTR_NULL (ts_last_order (&cell, KQ_SCHED_FX_STOP, BATCH, 0, 0));
  CU_ASSERT_PTR_NOT_NULL (
      ts_last_order (&cell, KQ_SCHED_FX_STOP, OTHER_BATCH, 0, 0));
  ts_stop (&cell);
}

/* Two tasks reserve one worker, the second one later: what that one waits for
   is not stopped when the time of the first is over. */
static void
test_second_reservation_of_a_worker (void)
{
  struct kq_sched_step slow = batch;
  struct kq_sched_running running[2];
  struct ts_order first;
  struct ts_order second;
  struct ts_cell cell;

  slow.est_ms = 60000;
  ts_start (&cell);
  ts_add_idle_worker (&cell, "a", 4000);
  ts_submit (&cell, LASTING, "urgent", &lasting, 1);
  ts_add_idle_worker (&cell, "c", 4000);
  ts_submit (&cell, OTHER_LASTING, "urgent", &lasting, 1);
  ts_add_idle_worker (&cell, "b", 8000);
  ts_submit (&cell, BATCH, "urgent", &batch, 1);
  ts_submit (&cell, OTHER_BATCH, "urgent", &slow, 1);
  first = *ts_last_order (&cell, KQ_SCHED_FX_START, BATCH, 0, 0);
  second = *ts_last_order (&cell, KQ_SCHED_FX_START, OTHER_BATCH, 0, 0);
  ts_list_runs (&cell, "b");
  ts_lose_worker (&cell, "a");
  for (int i = 0; i < 7; i++)
    {
      if (i == 3)
        ts_lose_worker (&cell, "c");
      running[0] = ts_running (&first, 50 + i);
      running[1] = ts_running (&second, i < 3 ? 50 : 99);
      ts_reply_poll (&cell, "b", running, 2, NULL, 0);
      ts_advance (&cell, 200);
    }
  CU_ASSERT_PTR_NOT_NULL (
      ts_last_order (&cell, KQ_SCHED_FX_STOP, BATCH, 0, 0));
  CU_ASSERT_PTR_NULL (
      ts_last_order (&cell, KQ_SCHED_FX_STOP, OTHER_BATCH, 0, 0));
  ts_stop (&cell);
}

/* The stop of a filler brings no CPU for the lasting task. */
static void
test_filler_whose_stop_does_not_help (void)
{
  struct kq_sched_step filler = small;
  struct kq_sched_step slow = batch;
  struct ts_cell cell;

  filler.filler = true;
  filler.est_ms = 60000;
  slow.est_ms = 60000;
  ts_start (&cell);
  ts_add_idle_worker (&cell, "a", 4000);
  ts_submit (&cell, LASTING, "urgent", &lasting, 1);
  ts_add_idle_worker (&cell, "b", 4000);
  ts_submit (&cell, SHORT, "urgent", &filler, 1);
  ts_submit (&cell, BATCH, "urgent", &slow, 1);
  CU_ASSERT_EQUAL (ts_count_orders (&cell, KQ_SCHED_FX_START), 3);
  ts_list_runs (&cell, "b");
  ts_lose_worker (&cell, "a");
  ts_advance (&cell, 400);
  CU_ASSERT_PTR_NOT_NULL (
      ts_last_order (&cell, KQ_SCHED_FX_STOP, BATCH, 0, 0));
  CU_ASSERT_PTR_NULL (ts_last_order (&cell, KQ_SCHED_FX_STOP, SHORT, 0, 0));
  ts_stop (&cell);
}

/* Of three tasks of a step the first has not waited long enough for a
   quarantined worker, the second avoids it, and the third may use it. */
static void
test_task_beside_a_younger_and_an_avoiding_one (void)
{
  struct kq_sched_step three = lasting;
  struct kq_sched_ended failed;
  const struct ts_order *second;
  struct ts_cell cell;

  three.count = 3;
  ts_start (&cell);
  ts_add_idle_worker (&cell, "a", 3400);
  ts_submit (&cell, LASTING, "urgent", &three, 1);
  ts_add_idle_worker (&cell, "b", 4000);
  ts_advance (&cell, 100);
  ts_add_idle_worker (&cell, "c", 3400);
  ts_advance (&cell, 100);
  CU_ASSERT_EQUAL (ts_run_of (&cell, LASTING, 2), 1);
  ts_submit (&cell, SHORT, "batch", &small, 1);
  ts_end_run (&cell, SHORT, 1, KQ_SCHED_FAILED);
  second = ts_last_order (&cell, KQ_SCHED_FX_START, LASTING, 0, 1);
  CU_ASSERT_PTR_NOT_NULL_FATAL (second);
  CU_ASSERT_STRING_EQUAL (second->worker, "b");
  CU_ASSERT_STRING_EQUAL (
      ts_last_order (&cell, KQ_SCHED_FX_START, SHORT, 0, 0)->worker, "b");
  failed = ts_ended (second, 2, KQ_SCHED_FAILED);
  ts_reply_poll (&cell, "b", NULL, 0, &failed, 1);
  ts_lose_worker (&cell, "c");
  for (int ms = 0; ms < 1400; ms += 200)
    {
      if (ms == 800)
        ts_lose_worker (&cell, "a");
      ts_advance (&cell, 200);
      ts_reply_poll (&cell, "b", NULL, 0, NULL, 0);
    }
  CU_ASSERT_EQUAL (ts_run_of (&cell, LASTING, 2), 2);
  ts_stop (&cell);
}

/* A task that has failed at a worker avoids it for 3 s; after that it reserves
   it as well. */
static void
test_worker_that_was_avoided (void)
{
  struct kq_sched_step slow = batch;
  struct kq_sched_running running;
  struct ts_order other;
  struct ts_cell cell;

  slow.est_ms = 60000;
  ts_start (&cell);
  ts_add_idle_worker (&cell, "b", 4000);
  ts_submit (&cell, LASTING, "urgent", &lasting, 1);
  ts_end_run (&cell, LASTING, 1, KQ_SCHED_FAILED);
  ts_submit (&cell, BATCH, "urgent", &slow, 1);
  ts_advance (&cell, 200);
  CU_ASSERT_EQUAL (ts_run_of (&cell, BATCH, 0), 1);
  other = *ts_last_order (&cell, KQ_SCHED_FX_START, BATCH, 0, 0);
  for (int i = 0; i < 20; i++)
    {
      running = ts_running (&other, 10 + i);
      ts_reply_poll (&cell, "b", &running, 1, NULL, 0);
      ts_advance (&cell, 200);
    }
  CU_ASSERT_PTR_NOT_NULL (
      ts_last_order (&cell, KQ_SCHED_FX_STOP, BATCH, 0, 0));
  ts_stop (&cell);
}

/* Refuses each start of the only task of JOB at WORKER after its first run
   with REFUSAL while MS pass; other workers accept it. */
static void
refuse_starts (struct ts_cell *cell, uint64_t job, const char *worker,
               enum kq_sched_reply refusal, int ms)
{
  int answered = 1;

  for (; ms > 0; ms -= 100)
    {
      ts_advance (cell, 100);
      while (ts_run_of (cell, job, 0) > answered)
        {
          const struct ts_order *order
              = ts_last_order (cell, KQ_SCHED_FX_START, job, 0, 0);

          answered = order->run.run;
          ts_reply_order (cell, order,
                          strcmp (order->worker, worker) == 0 ? refusal
                                                              : KQ_SCHED_OK);
        }
      ts_list_runs (cell, "b");
      ts_reply_poll (cell, worker, NULL, 0, NULL, 0);
    }
}

static const char *
worker_of (const struct ts_cell *cell, uint64_t job)
{
  const struct ts_order *order
      = ts_last_order (cell, KQ_SCHED_FX_START, job, 0, 0);

  return order != NULL ? order->worker : "";
}

/* A worker that refuses each start makes a lasting task wait anew each time:
   it never starts at a quarantined worker with room. */
static void
test_refusals_beside_a_quarantined_worker (void)
{
  struct ts_cell cell;

  ts_start (&cell);
  ts_add_idle_worker (&cell, "a", 4000);
  ts_submit (&cell, LASTING, "urgent", &lasting, 1);
  ts_add_idle_worker (&cell, "b", 4000);
  for (uint64_t job = SHORT; job <= OTHER_LASTING; job++)
    {
      ts_submit (&cell, job, "batch", &small, 1);
      ts_end_run (&cell, job, (int64_t)job, KQ_SCHED_FAILED);
      ts_cancel (&cell, job);
    }
  ts_add_idle_worker (&cell, "c", 4000);
  ts_lose_worker (&cell, "a");
  refuse_starts (&cell, LASTING, "c", KQ_SCHED_UNHEALTHY, 3000);
  CU_ASSERT_STRING_EQUAL (worker_of (&cell, LASTING), "b");
  ts_stop (&cell);
}

/* The same for a lasting task that would reserve a full worker. */
static void
test_refusals_beside_a_full_worker (void)
{
  struct kq_sched_step long_batch = batch;
  struct ts_cell cell;

  long_batch.est_ms = 60000;
  ts_start (&cell);
  ts_add_idle_worker (&cell, "a", 4000);
  ts_submit (&cell, LASTING, "urgent", &lasting, 1);
  ts_add_idle_worker (&cell, "b", 4000);
  ts_submit (&cell, BATCH, "batch", &long_batch, 1);
  ts_add_idle_worker (&cell, "c", 4000);
  ts_lose_worker (&cell, "a");
  refuse_starts (&cell, LASTING, "c", KQ_SCHED_NO_CAPACITY, 3000);
  CU_ASSERT_STRING_EQUAL (worker_of (&cell, LASTING), "b");
  ts_stop (&cell);
}

/* A gang finds room for one of its two members when the other no longer avoids
   the only worker; that one must not avoid it anew. */
static void
test_gang_that_finds_room_in_part (void)
{
  struct kq_sched_step gang = {
    .count = 2, .demand = { 2000, 100, 0 }, .est_ms = 100000, .gang = true
  };
  struct kq_sched_ended ends[2];
  struct ts_cell cell;

  ts_start (&cell);
  ts_add_idle_worker (&cell, "b", 4000);
  ts_submit (&cell, LASTING, "batch", &gang, 1);
  for (int i = 0; i < 2; i++)
    {
      const struct ts_order *order
          = ts_last_order (&cell, KQ_SCHED_FX_START, LASTING, 0, i);

      CU_ASSERT_PTR_NOT_NULL_FATAL (order);
      ends[i] = ts_ended (order, i + 1,
                          i == 0 ? KQ_SCHED_FAILED : KQ_SCHED_GANG_BROKEN);
    }
  ts_reply_poll (&cell, "b", NULL, 0, ends, 2);
  ts_submit (&cell, BATCH, "urgent", &smaller, 1);
  CU_ASSERT_EQUAL (ts_run_of (&cell, BATCH, 0), 1);
  for (int ms = 0; ms < 3300; ms += 100)
    {
      struct kq_sched_running running = ts_running (
          ts_last_order (&cell, KQ_SCHED_FX_START, BATCH, 0, 0), ms / 100);

      ts_advance (&cell, 100);
      ts_reply_poll (&cell, "b", &running, 1, NULL, 0);
    }
  ts_end_run (&cell, BATCH, 3, KQ_SCHED_DONE);
  ts_advance (&cell, 300);
  CU_ASSERT_EQUAL (ts_run_of (&cell, LASTING, 0), 2);
  CU_ASSERT_EQUAL (ts_run_of (&cell, LASTING, 1), 2);
  ts_stop (&cell);
}

/* A lasting task that has failed at a worker, and has run elsewhere for long
   since, goes there at once when its other worker is lost. */
static void
test_failure_long_before_a_loss (void)
{
  struct ts_cell cell;

  ts_start (&cell);
  ts_add_idle_worker (&cell, "b", 4000);
  ts_submit (&cell, LASTING, "urgent", &lasting, 1);
  ts_end_run (&cell, LASTING, 100, KQ_SCHED_FAILED);
  ts_add_idle_worker (&cell, "a", 4000);
  for (int ms = 0; ms < 4000; ms += 100)
    {
      ts_advance (&cell, 100);
      ts_list_runs (&cell, "a");
      ts_reply_poll (&cell, "b", NULL, 0, NULL, 0);
    }
  CU_ASSERT_STRING_EQUAL (worker_of (&cell, LASTING), "a");
  ts_lose_worker (&cell, "a");
  ts_advance (&cell, 200);
  CU_ASSERT_STRING_EQUAL (worker_of (&cell, LASTING), "b");
  ts_stop (&cell);
}

/* A gang whose members accept a quarantined worker finds room there for one of
   them first; that one must not wait anew to accept it. */
static void
test_gang_at_a_quarantined_worker (void)
{
  struct kq_sched_step gang = { .count = 2,
                                .demand = { 2000, 100, 0 },
                                .est_ms = 100000,
                                .long_running = true,
                                .gang = true };
  struct ts_cell cell;

  ts_start (&cell);
  ts_add_idle_worker (&cell, "a", 4000);
  ts_submit (&cell, LASTING, "urgent", &gang, 1);
  ts_add_idle_worker (&cell, "b", 4000);
  ts_submit (&cell, BATCH, "batch", &smaller, 1);
  for (uint64_t job = SHORT; job <= OTHER_LASTING; job++)
    {
      ts_submit (&cell, job, "batch", &small, 1);
      ts_end_run (&cell, job, (int64_t)job, KQ_SCHED_FAILED);
      ts_cancel (&cell, job);
    }
  CU_ASSERT_STRING_EQUAL (worker_of (&cell, BATCH), "b");
  ts_lose_worker (&cell, "a");
  for (int ms = 0; ms < 1300; ms += 100)
    {
      struct kq_sched_running running = ts_running (
          ts_last_order (&cell, KQ_SCHED_FX_START, BATCH, 0, 0), ms / 100);

      ts_advance (&cell, 100);
      ts_reply_poll (&cell, "b", &running, 1, NULL, 0);
    }
  CU_ASSERT_EQUAL (ts_run_of (&cell, LASTING, 0), 1);
  ts_end_run (&cell, BATCH, 10, KQ_SCHED_DONE);
  ts_advance (&cell, 300);
  CU_ASSERT_EQUAL (ts_run_of (&cell, LASTING, 0), 2);
  CU_ASSERT_EQUAL (ts_run_of (&cell, LASTING, 1), 2);
  ts_stop (&cell);
}

/* Two lasting tasks fail wherever they start.  That must not close all workers
   to a job with nothing running, for which an idle service has room. */
static void
test_tasks_that_fail_everywhere (void)
{
  static const char *const workers[] = { "a", "b", "c" };
  struct kq_sched_step failing = small;
  int answered[2] = { 0, 0 };
  int64_t number = 0;
  int waited = 0;
  struct ts_cell cell;

  failing.long_running = true;
  ts_start (&cell);
  for (int i = 0; i < 3; i++)
    ts_add_idle_worker (&cell, workers[i], 4000);
  ts_submit (&cell, LASTING, "urgent", &failing, 1);
  ts_submit (&cell, OTHER_LASTING, "urgent", &failing, 1);
  for (int ms = 0; ms < 14000; ms += 100)
    {
      if (ms == 10000)
        ts_submit (&cell, SHORT, "batch", &small, 1);
      ts_advance (&cell, 100);
      for (int i = 0; i < 2; i++)
        {
          uint64_t job = i == 0 ? LASTING : OTHER_LASTING;

          if (ts_run_of (&cell, job, 0) == answered[i])
            continue;
          answered[i] = ts_run_of (&cell, job, 0);
          ts_end_run (&cell, job, ++number, KQ_SCHED_FAILED);
        }
      for (int i = 0; i < 3; i++)
        ts_reply_poll (&cell, workers[i], NULL, 0, NULL, 0);
      if (ms >= 10000 && ts_run_of (&cell, SHORT, 0) == 0)
        waited += 100;
    }
  CU_ASSERT (waited < 3000);
  ts_stop (&cell);
}

static const struct kq_test tests[] = {
  { "a smaller task without room", test_smaller_task_without_room },
  { "tasks that must not share a worker",
    test_tasks_that_must_not_share_a_worker },
  { "a worker that no longer suits", test_worker_that_no_longer_suits },
  { "a queue that gets a policy", test_queue_that_gets_a_policy },
  { "workers unheard since an outage", test_workers_unheard_since_an_outage },
  { "blocked by more urgent tasks", test_blocked_by_urgent_tasks },
  { "a quarantined worker", test_quarantined_worker },
  { "a task beside one that avoids the worker",
    test_task_beside_one_that_avoids_the_worker },
  { "a task that does not end as declared",
    test_task_that_does_not_end_as_declared },
  { "a gang that does not end as declared",
    test_gang_that_does_not_end_as_declared },
  { "a task that is nearly done", test_task_that_is_nearly_done },
  { "a second reservation of a worker", test_second_reservation_of_a_worker },
  { "a filler whose stop does not help",
    test_filler_whose_stop_does_not_help },
  { "a task beside a younger and an avoiding one",
    test_task_beside_a_younger_and_an_avoiding_one },
  { "a worker that was avoided", test_worker_that_was_avoided },
  { "refusals beside a quarantined worker",
    test_refusals_beside_a_quarantined_worker },
  { "refusals beside a full worker", test_refusals_beside_a_full_worker },
  { "a gang that finds room in part", test_gang_that_finds_room_in_part },
  { "a gang at a quarantined worker", test_gang_at_a_quarantined_worker },
  { "a failure long before a loss", test_failure_long_before_a_loss },
  { "tasks that fail everywhere", test_tasks_that_fail_everywhere },
};

KQ_TEST_MAIN ("test-reserve", tests)

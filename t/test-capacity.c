/* Guards against starts at a worker whose registered capacity has shrunk below
 * what is bound there, against divisions by a capacity of zero, and against
 * work that stays away after the capacity has grown again.
 */
#include <stdlib.h>
#include <string.h>

#include "t/kqtest.h"
#include "t/lib-sched.h"

#define JOB UINT64_C (0x21)

#define MAX_ROWS 64

#define CPU 8000
#define MEM 8000

static const struct kq_sched_step plain_step
    = { .count = 1, .demand = { 2000, 1000, 0 }, .est_ms = 60000 };

/* Suits worker "b" alone, whose rack is "r-b". */
static const struct kq_sched_step step_at_b = {
  .count = 1, .demand = { 2000, 1000, 0 }, .est_ms = 60000, .label = "r-b"
};

/* Returns a cell with the worker "a". */
static struct ts_cell *
start_cell (void)
{
  struct ts_cell *cell = ts_create ();

  ts_register_worker (cell, "a", CPU, MEM);
  ts_reply_poll (cell, "a", NULL, 0, NULL, 0);
  return cell;
}

/* The registration of worker "a" with another capacity is read. */
static void
resize (struct ts_cell *cell, int64_t cpu, int64_t mem)
{
  ts_register_worker (cell, "a", cpu, mem);
  ts_process_pending (cell);
}

static int
count_starts (const struct ts_cell *cell)
{
  return ts_count_orders (cell, KQ_SCHED_FX_START);
}

static struct kq_sched_counts
count (const struct ts_cell *cell)
{
  struct kq_sched_counts counts;

  kq_sched_count (cell->sched, &counts);
  return counts;
}

/* Returns the last start order for task INDEX of JOB. */
static struct ts_order
last_start (const struct ts_cell *cell, uint64_t job, int index)
{
  const struct ts_order *order
      = ts_last_order (cell, KQ_SCHED_FX_START, job, 0, index);

  CU_ASSERT_PTR_NOT_NULL (order);
  return order != NULL ? *order : (struct ts_order){ .worker = "" };
}

/* Submits JOB with the only step STEP and accepts the start of its tasks. */
static void
submit_started (struct ts_cell *cell, uint64_t job,
                const struct kq_sched_step *step)
{
  ts_submit (cell, job, "batch", step, 1);
  for (int i = 0; i < step->count; i++)
    {
      struct ts_order order = last_start (cell, job, i);

      ts_reply_order (cell, &order, KQ_SCHED_OK);
    }
}

/* Returns a row for each run that was ever started at WORKER. */
static size_t
list_runs (const struct ts_cell *cell, const char *worker,
           struct kq_sched_running *rows)
{
  size_t rows_used = 0;

  for (int i = 0; i < cell->order_count && rows_used < MAX_ROWS; i++)
    if (cell->orders[i].kind == KQ_SCHED_FX_START
        && strcmp (cell->orders[i].worker, worker) == 0)
      rows[rows_used++] = ts_running (&cell->orders[i], 100);
  return rows_used;
}

/* Lets MS pass while worker "a" reports all runs that were started there. */
static void
advance (struct ts_cell *cell, int64_t ms)
{
  struct kq_sched_running rows[MAX_ROWS];

  for (; ms > 0; ms -= 100)
    {
      ts_advance (cell, 100);
      ts_reply_poll (cell, "a", rows, list_runs (cell, "a", rows), NULL, 0);
    }
}

/* Each kind of work stays away while more is bound than the worker can carry,
   and starts at once when the capacity has grown again. */
static void
assert_waits_for_room (const struct kq_sched_step *step, int64_t cpu,
                       int64_t mem)
{
  struct ts_cell *cell = start_cell ();
  struct kq_sched_step bound = plain_step;

  bound.count = 3;
  submit_started (cell, JOB, &bound);
  resize (cell, cpu, mem);
  ts_submit (cell, JOB + 1, "urgent", step, 1);
  advance (cell, 5000);
  CU_ASSERT_EQUAL (count_starts (cell), 3);
  CU_ASSERT_EQUAL (count (cell).bound_tasks, 3);
  CU_ASSERT_EQUAL (count (cell).cpu_capacity, cpu);
  resize (cell, CPU, MEM);
  CU_ASSERT_EQUAL (count_starts (cell), 3 + step->count);
  ts_destroy (cell);
}

static void
test_no_start_while_shrunk (void)
{
  struct kq_sched_step step = plain_step;

  assert_waits_for_room (&step, 3000, MEM);
  assert_waits_for_room (&step, CPU, 2000);
  assert_waits_for_room (&step, 0, 0);
  /* What is bound needs all of the room. */
  assert_waits_for_room (&step, 6000, MEM);
  step.long_running = true;
  assert_waits_for_room (&step, 3000, MEM);
  step.tail_target_ms = 100;
  assert_waits_for_room (&step, 3000, MEM);
  assert_waits_for_room (&step, 0, 0);
}

static void
test_gang_waits_while_shrunk (void)
{
  struct kq_sched_step gang = {
    .count = 2, .demand = { 1000, 100, 0 }, .est_ms = 60000, .gang = true
  };

  assert_waits_for_room (&gang, 7000, MEM);
  assert_waits_for_room (&gang, 0, 0);
}

/* The CPU of fillers is not counted, their memory is. */
static void
test_filler_waits_while_shrunk (void)
{
  struct kq_sched_step filler = {
    .count = 1, .demand = { 500, 1000, 0 }, .est_ms = 60000, .filler = true
  };

  assert_waits_for_room (&filler, CPU, 3500);
  assert_waits_for_room (&filler, 0, 0);
}

/* Work for another worker is not held up by the one that has shrunk. */
static void
test_other_workers_are_used (void)
{
  struct ts_cell *cell = start_cell ();
  struct kq_sched_step step = plain_step;

  step.count = 3;
  submit_started (cell, JOB, &step);
  ts_register_worker (cell, "b", CPU, MEM);
  ts_reply_poll (cell, "b", NULL, 0, NULL, 0);
  resize (cell, 1000, 1000);
  step.count = 4;
  ts_submit (cell, JOB + 1, "batch", &step, 1);
  for (int i = 0; i < 4; i++)
    CU_ASSERT_STRING_EQUAL (last_start (cell, JOB + 1, i).worker, "b");
  ts_destroy (cell);
}

/* A run that is being stopped counts until its end is listed. */
static void
test_stopping_runs_count (void)
{
  struct ts_cell *cell = start_cell ();
  struct kq_sched_step step = plain_step;
  struct kq_sched_ended ends[2];
  struct kq_sched_running row;

  step.count = 2;
  submit_started (cell, JOB, &step);
  ts_cancel (cell, JOB);
  for (int i = 0; i < 2; i++)
    {
      struct ts_order stop
          = *ts_last_order (cell, KQ_SCHED_FX_STOP, JOB, 0, i);

      ts_reply_order (cell, &stop, KQ_SCHED_OK);
      ends[i] = ts_ended (&stop, i + 1, KQ_SCHED_STOPPED);
    }
  resize (cell, 2000, MEM);
  ts_submit (cell, JOB + 1, "urgent", &plain_step, 1);
  advance (cell, 300);
  CU_ASSERT_EQUAL (count_starts (cell), 2);
  row = ts_running (ts_last_order (cell, KQ_SCHED_FX_START, JOB, 0, 1), 100);
  ts_reply_poll (cell, "a", &row, 1, ends, 1);
  CU_ASSERT_EQUAL (count_starts (cell), 2);
  ts_reply_poll (cell, "a", NULL, 0, &ends[1], 1);
  CU_ASSERT_EQUAL (count_starts (cell), 3);
  ts_destroy (cell);
}

/* The successor counts the runs of its predecessor, also before the worker has
   reported them. */
static void
test_takeover_while_shrunk (void)
{
  struct ts_cell *cell = start_cell ();
  struct kq_sched_step step = plain_step;
  struct kq_sched_running rows[MAX_ROWS];

  step.count = 3;
  submit_started (cell, JOB, &step);
  resize (cell, 3000, MEM);
  ts_submit (cell, JOB + 1, "urgent", &plain_step, 1);
  ts_take_over (cell);
  CU_ASSERT_EQUAL (count (cell).bound_tasks, 3);
  resize (cell, 3000, MEM);
  ts_reply_poll (cell, "a", rows, list_runs (cell, "a", rows), NULL, 0);
  advance (cell, 5000);
  CU_ASSERT_EQUAL (count_starts (cell), 3);
  CU_ASSERT_EQUAL (count (cell).cpu_used, 6000);
  resize (cell, CPU, MEM);
  CU_ASSERT_EQUAL (count_starts (cell), 4);
  ts_destroy (cell);
}

/* A worker that guards its capacity refuses what its registration still seemed
   to allow: the task stays ready, and the worker is asked a few times a second
   at most. */
static void
test_refused_for_want_of_room (void)
{
  struct ts_cell *cell = start_cell ();
  int refusals = 0;

  ts_submit (cell, JOB, "batch", &plain_step, 1);
  for (int i = 0; i < 20; i++)
    {
      struct ts_order start;

      ts_advance (cell, 100);
      ts_reply_poll (cell, "a", NULL, 0, NULL, 0);
      start = last_start (cell, JOB, 0);
      if (start.run.run > refusals)
        {
          refusals = start.run.run;
          ts_reply_order (cell, &start, KQ_SCHED_NO_CAPACITY);
        }
      CU_ASSERT_EQUAL (count (cell).ready_tasks, 1);
    }
  ts_register_worker (cell, "b", CPU, MEM);
  ts_reply_poll (cell, "b", NULL, 0, NULL, 0);
  CU_ASSERT (refusals > 1 && refusals <= 10);
  CU_ASSERT_STRING_EQUAL (last_start (cell, JOB, 0).worker, "b");
  ts_destroy (cell);
}

/* Guards against a division by zero that ended the owner: a task that serves
   and asks for no CPU fits a worker without CPU. */
static void
test_work_without_cpu_at_a_worker_without_cpu (void)
{
  struct ts_cell *cell = start_cell ();
  struct kq_sched_step step = { .count = 1, .demand = { 0, 100, 0 } };

  submit_started (cell, JOB, &plain_step);
  resize (cell, 0, MEM);
  advance (cell, 100);
  CU_ASSERT_EQUAL (count (cell).cpu_capacity, 0);
  resize (cell, CPU, MEM);
  step.long_running = true;
  step.tail_target_ms = 100;
  submit_started (cell, JOB + 1, &step);
  resize (cell, 0, MEM);
  advance (cell, 100);
  ts_destroy (cell);

  cell = start_cell ();
  resize (cell, 0, MEM);
  submit_started (cell, JOB, &step);
  CU_ASSERT_EQUAL (count_starts (cell), 1);
  step.tail_target_ms = 0;
  step.long_running = false;
  step.filler = true;
  submit_started (cell, JOB + 1, &step);
  advance (cell, 2000);
  CU_ASSERT_EQUAL (count_starts (cell), 2);
  ts_destroy (cell);
}

/* Guards against orders for more than the worker can carry: the starts of STEP
   are decided, and wait for the store when the smaller capacity is read. Only
   EXPECTED of them may be sent, the others find room later. */
static void
assert_decided_starts_wait (const struct kq_sched_step *step, int64_t cpu,
                            int64_t mem, int expected)
{
  struct ts_cell *cell = start_cell ();

  submit_started (cell, JOB, &plain_step);
  cell->store_down = true;
  ts_submit (cell, JOB + 1, "batch", step, 1);
  CU_ASSERT_EQUAL (count (cell).bound_tasks, 1 + step->count);
  CU_ASSERT_EQUAL (count_starts (cell), 1);
  resize (cell, cpu, mem);
  cell->store_down = false;
  ts_process_pending (cell);
  CU_ASSERT_EQUAL (count_starts (cell), 1 + expected);
  advance (cell, 2000);
  CU_ASSERT_EQUAL (count_starts (cell), 1 + expected);
  resize (cell, CPU, MEM);
  CU_ASSERT_EQUAL (count_starts (cell), 1 + step->count);
  CU_ASSERT_EQUAL (ts_count_orders (cell, KQ_SCHED_FX_STOP), 0);
  ts_destroy (cell);
}

static void
test_decided_starts_wait (void)
{
  struct kq_sched_step step = plain_step;

  step.count = 2;
  assert_decided_starts_wait (&step, 6000, 3000, 2);
  assert_decided_starts_wait (&step, 4000, MEM, 1);
  assert_decided_starts_wait (&step, CPU, 2500, 1);
  assert_decided_starts_wait (&step, 3000, MEM, 0);
  assert_decided_starts_wait (&step, 0, 0, 0);
  step.long_running = true;
  assert_decided_starts_wait (&step, 4000, MEM, 1);
}

static void
test_decided_gang_waits (void)
{
  struct kq_sched_step gang = {
    .count = 3, .demand = { 2000, 100, 0 }, .est_ms = 60000, .gang = true
  };

  assert_decided_starts_wait (&gang, CPU, 1300, 3);
  assert_decided_starts_wait (&gang, 6000, MEM, 0);
  assert_decided_starts_wait (&gang, CPU, 1200, 0);
}

static void
test_decided_fillers_wait (void)
{
  struct kq_sched_step filler = {
    .count = 2, .demand = { 500, 1000, 0 }, .est_ms = 60000, .filler = true
  };

  assert_decided_starts_wait (&filler, 3000, 3000, 2);
  assert_decided_starts_wait (&filler, CPU, 2000, 1);
}

/* A gang is on two workers and only one of them has shrunk: no member may
   start, since it would wait for the others in vain. */
static void
test_decided_gang_on_two_workers (void)
{
  struct ts_cell *cell = start_cell ();
  struct kq_sched_step gang = {
    .count = 2, .demand = { 6000, 100, 0 }, .est_ms = 60000, .gang = true
  };

  ts_register_worker (cell, "b", CPU, MEM);
  ts_reply_poll (cell, "b", NULL, 0, NULL, 0);
  cell->store_down = true;
  ts_submit (cell, JOB, "batch", &gang, 1);
  CU_ASSERT_EQUAL (count (cell).bound_tasks, 2);
  resize (cell, 5000, MEM);
  cell->store_down = false;
  ts_process_pending (cell);
  CU_ASSERT_EQUAL (count_starts (cell), 0);
  CU_ASSERT_EQUAL (count (cell).bound_tasks, 0);
  resize (cell, CPU, MEM);
  CU_ASSERT_EQUAL (count_starts (cell), 2);
  CU_ASSERT_EQUAL (last_start (cell, JOB, 0).run.run,
                   last_start (cell, JOB, 1).run.run);
  ts_destroy (cell);
}

/* Lets MS pass in which "a" and "b" report COUNT of the runs in STARTS. */
static void
advance_with (struct ts_cell *cell, int64_t ms, const struct ts_order *starts,
              int count_of_starts)
{
  for (; ms > 0; ms -= 100)
    {
      struct kq_sched_running rows[2][MAX_ROWS];
      size_t sizes[2] = { 0, 0 };

      ts_advance (cell, 100);
      for (int i = 0; i < count_of_starts; i++)
        {
          int at = strcmp (starts[i].worker, "b") == 0;

          rows[at][sizes[at]++] = ts_running (&starts[i], 50);
        }
      ts_reply_poll (cell, "a", rows[0], sizes[0], NULL, 0);
      ts_reply_poll (cell, "b", rows[1], sizes[1], NULL, 0);
    }
}

/* Guards against a lasting task that stays down: it waits for the room of a
   worker that is reserved for it and has become too small. */
static void
test_reserved_worker_shrinks (void)
{
  struct ts_cell *cell = start_cell ();
  struct kq_sched_step lasting = { .count = 1,
                                   .demand = { CPU, 1000, 0 },
                                   .est_ms = 1000,
                                   .long_running = true };
  struct kq_sched_step cheap = { .count = 1,
                                 .demand = { CPU, 1000, 0 },
                                 .est_ms = 60000,
                                 .checkpointable = true };
  struct kq_sched_step costly = step_at_b;
  struct ts_order starts[2];
  struct ts_order first;
  struct kq_sched_ended ended;

  submit_started (cell, JOB, &lasting);
  first = last_start (cell, JOB, 0);
  ts_register_worker (cell, "b", CPU, MEM);
  ts_reply_poll (cell, "b", NULL, 0, NULL, 0);
  costly.demand.cpu = CPU;
  submit_started (cell, JOB + 1, &costly);
  starts[0] = last_start (cell, JOB + 1, 0);
  ts_submit (cell, JOB + 2, "urgent", &cheap, 1);
  ended = ts_ended (&first, 1, KQ_SCHED_LAPSED);
  ts_reply_poll (cell, "a", NULL, 0, &ended, 1);
  starts[1] = last_start (cell, JOB + 2, 0);
  CU_ASSERT_STRING_EQUAL (starts[1].worker, "a");
  ts_reply_order (cell, &starts[1], KQ_SCHED_OK);
  advance_with (cell, 500, starts, 2);
  CU_ASSERT_PTR_NOT_NULL (
      ts_last_order (cell, KQ_SCHED_FX_STOP, JOB + 2, 0, 0));
  CU_ASSERT_PTR_NULL (ts_last_order (cell, KQ_SCHED_FX_STOP, JOB + 1, 0, 0));
  resize (cell, CPU / 2, MEM);
  advance_with (cell, 500, starts, 2);
  CU_ASSERT_PTR_NOT_NULL (
      ts_last_order (cell, KQ_SCHED_FX_STOP, JOB + 1, 0, 0));
  advance_with (cell, 100, &starts[1], 1);
  CU_ASSERT_STRING_EQUAL (last_start (cell, JOB, 0).worker, "b");
  CU_ASSERT_EQUAL (last_start (cell, JOB, 0).run.run, 2);
  ts_destroy (cell);
}

/* Guards against starts that are measured by the capacity of an earlier
   incarnation: the worker is back under its ID, smaller and of another kind,
   and a poll shows that before its registration is read. */
static void
test_incarnation_without_a_registration (void)
{
  struct ts_cell *cell = start_cell ();

  ts_reply_poll_sent_at (cell, "a", cell->now.mono, 2, NULL, 0, NULL, 0);
  ts_submit (cell, JOB, "batch", &plain_step, 1);
  ts_register_worker (cell, "a", CPU, MEM);
  ts_reply_poll_sent_at (cell, "a", cell->now.mono, 2, NULL, 0, NULL, 0);
  ts_advance (cell, 500);
  CU_ASSERT_EQUAL (count_starts (cell), 0);
  ts_register_incarnation (cell, "a", 1000, MEM, 2);
  ts_process_pending (cell);
  CU_ASSERT_EQUAL (count_starts (cell), 0);
  ts_register_incarnation (cell, "a", 2000, MEM, 2);
  ts_process_pending (cell);
  CU_ASSERT_EQUAL (count_starts (cell), 1);
  ts_destroy (cell);
}

/* Guards against starts by registrations that cannot be read any more, while
   the store goes on to take records. A capacity that has shrunk counts 3 s
   after it stands in the store, and an order is under way for up to 0.8 s. */
static void
test_registrations_are_not_read (void)
{
  struct ts_cell *cell = start_cell ();
  struct kq_sched_step step = { .count = 1, .est_ms = 60000 };
  kq_usec read_at = cell->now.mono;
  int starts;

  kq_sched_note_registrations (cell->sched, read_at);
  for (uint64_t i = 0; i < 45; i++)
    {
      ts_submit (cell, JOB + i, "batch", &step, 1);
      advance (cell, 100);
    }
  starts = count_starts (cell);
  CU_ASSERT (starts >= 20);
  CU_ASSERT (cell->orders[starts - 1].at - read_at <= 2200 * KQ_USEC_PER_MSEC);
  CU_ASSERT_EQUAL (count (cell).ready_tasks, 45 - starts);
  kq_sched_note_registrations (cell->sched, cell->now.mono);
  advance (cell, 100);
  CU_ASSERT_EQUAL (count_starts (cell), 45);
  ts_destroy (cell);
}

/* The same for starts that are decided and wait for the store. */
static void
test_decided_starts_wait_for_registrations (void)
{
  struct ts_cell *cell = start_cell ();

  kq_sched_note_registrations (cell->sched, cell->now.mono);
  cell->store_down = true;
  ts_submit (cell, JOB, "batch", &plain_step, 1);
  CU_ASSERT_EQUAL (count (cell).bound_tasks, 1);
  advance (cell, 2500);
  kq_sched_confirm_term (cell->sched, cell->now.mono);
  cell->store_down = false;
  ts_process_pending (cell);
  CU_ASSERT_EQUAL (count_starts (cell), 0);
  CU_ASSERT_EQUAL (count (cell).ready_tasks, 1);
  kq_sched_note_registrations (cell->sched, cell->now.mono);
  ts_process_pending (cell);
  CU_ASSERT_EQUAL (count_starts (cell), 1);
  CU_ASSERT_EQUAL (last_start (cell, JOB, 0).run.run, 2);
  ts_destroy (cell);
}

/* The callers' runs at a worker that has shrunk are not ended. */
static void
test_bound_runs_stay (void)
{
  struct ts_cell *cell = start_cell ();
  struct kq_sched_step step = plain_step;

  step.count = 3;
  submit_started (cell, JOB, &step);
  ts_register_worker (cell, "b", CPU, MEM);
  ts_reply_poll (cell, "b", NULL, 0, NULL, 0);
  submit_started (cell, JOB + 1, &step_at_b);
  resize (cell, 1000, 1000);
  advance (cell, 1000);
  CU_ASSERT_EQUAL (ts_count_orders (cell, KQ_SCHED_FX_STOP), 0);
  ts_destroy (cell);
}

static const struct kq_test tests[] = {
  { "no start while the capacity is too small", test_no_start_while_shrunk },
  { "a gang waits for room", test_gang_waits_while_shrunk },
  { "a filler waits for memory", test_filler_waits_while_shrunk },
  { "other workers are used", test_other_workers_are_used },
  { "runs that are being stopped count", test_stopping_runs_count },
  { "a takeover while the capacity is small", test_takeover_while_shrunk },
  { "starts refused for want of room", test_refused_for_want_of_room },
  { "runs that are bound stay", test_bound_runs_stay },
  { "decided starts wait for room", test_decided_starts_wait },
  { "a decided gang waits for room", test_decided_gang_waits },
  { "decided fillers wait for memory", test_decided_fillers_wait },
  { "a decided gang on two workers", test_decided_gang_on_two_workers },
  { "a reserved worker shrinks", test_reserved_worker_shrinks },
  { "an incarnation without a registration",
    test_incarnation_without_a_registration },
  { "registrations are not read", test_registrations_are_not_read },
  { "decided starts wait for registrations",
    test_decided_starts_wait_for_registrations },
  { "work without CPU at a worker without CPU",
    test_work_without_cpu_at_a_worker_without_cpu },
};

KQ_TEST_MAIN ("test-capacity", tests)

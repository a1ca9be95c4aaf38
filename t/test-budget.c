/* Guards against starts beyond what a task may have: after as many failed runs
 * as its queue has attempts, and after workers have crashed under it.
 */
#include <stdio.h>
#include <string.h>

#include "sched/record.pb-c.h"
#include "t/kqtest.h"
#include "t/lib-sched.h"

#define JOB UINT64_C (0x11)

/* Of the queues of the cell. */
#define ATTEMPTS 3

/* A task may be started so often after so many workers have crashed under it.
 */
#define CRASHES 3
#define STARTS_AFTER_CRASHES 2

/* More runs than a record tells apart. */
#define MANY_RUNS 70

#define WORKERS 3
#define MANY_GANG_RUNS 24

static const struct kq_sched_step one_task
    = { .count = 1, .demand = { 1000, 100, 0 }, .est_ms = 20000 };
static const struct kq_sched_step gang = {
  .count = 3, .demand = { 1000, 100, 0 }, .est_ms = 20000, .gang = true
};

static struct ts_order
last_start (const struct ts_cell *cell, int index)
{
  const struct ts_order *order
      = ts_last_order (cell, KQ_SCHED_FX_START, JOB, 0, index);

  return order != NULL ? *order : (struct ts_order){ .worker = "" };
}

static int
count_starts (const struct ts_cell *cell, int index)
{
  int count = 0;

  for (int i = 0; i < cell->order_count; i++)
    count += cell->orders[i].kind == KQ_SCHED_FX_START
             && cell->orders[i].run.index == index;
  return count;
}

static enum kq_sched_state
state_of (struct ts_cell *cell)
{
  uint64_t token = ts_query (cell, JOB);

  return ts_result_of (cell, token)->state;
}

static void
add_worker (struct ts_cell *cell, int number)
{
  char id[16];

  snprintf (id, sizeof id, "%d", number);
  ts_add_idle_worker (cell, id, 1000);
}

/* Lets MS pass in which COUNT workers answer that they run nothing. */
static void
idle_for (struct ts_cell *cell, int count, int ms)
{
  for (int i = 0; i < ms; i += 100)
    {
      ts_advance (cell, 100);
      for (int j = 0; j < count; j++)
        {
          char id[16];

          snprintf (id, sizeof id, "%d", j);
          ts_reply_poll (cell, id, NULL, 0, NULL, 0);
        }
    }
}

/* The last run of the task ends as failed; ENDS: the ends of each worker. */
static void
fail_run (struct ts_cell *cell, int64_t ends[WORKERS])
{
  struct ts_order start = last_start (cell, 0);
  int number = start.worker[0] - '0';

  CU_ASSERT_FATAL (number >= 0 && number < WORKERS);
  ts_reply_order (cell, &start, KQ_SCHED_OK);
  ts_end_run (cell, JOB, ++ends[number], KQ_SCHED_FAILED);
}

/* Runs are withdrawn again and again since the workers have no room, so that
   the failed ones have high numbers: they count one by one. */
static void
test_failures_after_many_runs (void)
{
  struct ts_cell *cell = ts_create ();
  int64_t ends[WORKERS] = { 0 };

  for (int i = 0; i < WORKERS; i++)
    add_worker (cell, i);
  ts_submit (cell, JOB, "batch", &one_task, 1);
  for (int i = 1; i <= MANY_RUNS; i++)
    {
      struct ts_order start = last_start (cell, 0);

      CU_ASSERT_EQUAL (start.run.run, i);
      ts_reply_order (cell, &start, KQ_SCHED_NO_CAPACITY);
      if (last_start (cell, 0).run.run == i)
        idle_for (cell, WORKERS, 300);
    }
  for (int i = 1; i <= ATTEMPTS; i++)
    {
      CU_ASSERT_EQUAL (last_start (cell, 0).run.run, MANY_RUNS + i);
      fail_run (cell, ends);
      idle_for (cell, WORKERS, 8000);
    }
  CU_ASSERT_EQUAL (state_of (cell), KQ_SCHED_FAILED_JOB);
  CU_ASSERT_EQUAL (count_starts (cell, 0), MANY_RUNS + ATTEMPTS);
  ts_destroy (cell);
}

/* Rewrites the record of the job as earlier versions do, which do not store
   the settings of its queue. */
static void
remove_settings (struct ts_cell *cell)
{
  struct kq_sched_record *record = cell->records;
  KqSched__JobRecord *job;
  KqSched__QueueRecord *settings;

  while (record->key[0] != 'j')
    record++;
  job = kq_sched__job_record__unpack (NULL, record->size, record->value);
  settings = job->settings;
  job->settings = NULL;
  record->size = kq_sched__job_record__pack (job, record->value);
  job->settings = settings;
  kq_sched__job_record__free_unpacked (job, NULL);
}

/* A new owner reads the last failure before it knows the queue, of which
   settings are STORED or not. */
static void
check_failure_before_the_queue_is_known (bool stored)
{
  struct ts_cell *cell = ts_create ();
  struct kq_sched_event event = { .kind = KQ_SCHED_EV_CONFIG };
  size_t queues = cell->config.queue_count;
  int64_t ends[WORKERS] = { 0 };

  for (int i = 0; i < WORKERS; i++)
    add_worker (cell, i);
  ts_submit (cell, JOB, "batch", &one_task, 1);
  for (int i = 1; i < ATTEMPTS; i++)
    {
      fail_run (cell, ends);
      idle_for (cell, WORKERS, 8000);
    }
  CU_ASSERT_EQUAL (count_starts (cell, 0), ATTEMPTS);
  if (!stored)
    remove_settings (cell);
  cell->config.queue_count = 0;
  ts_take_over (cell);
  /* The first reply of the worker tells of the failure. */
  for (int i = 0; i < WORKERS; i++)
    if (!stored || last_start (cell, 0).worker[0] - '0' != i)
      add_worker (cell, i);
    else
      ts_register_worker (cell, last_start (cell, 0).worker, 1000, 4000);
  fail_run (cell, ends);
  ts_advance (cell, 100);
  cell->config.queue_count = queues;
  event.u.config = &cell->config;
  kq_sched_event (cell->sched, cell->now, &event);
  idle_for (cell, WORKERS, 8000);
  CU_ASSERT_EQUAL (count_starts (cell, 0), ATTEMPTS);
  CU_ASSERT_EQUAL (state_of (cell), KQ_SCHED_FAILED_JOB);
  ts_destroy (cell);
}

static void
test_failure_before_the_queue_is_known (void)
{
  check_failure_before_the_queue_is_known (true);
  check_failure_before_the_queue_is_known (false);
}

/* Lets 3 s pass in which COUNT workers but LOST answer that they run nothing.
 */
static void
idle_but (struct ts_cell *cell, const char *lost, int count)
{
  for (int i = 0; i < 30; i++)
    {
      ts_advance (cell, 100);
      for (int j = 0; j < count; j++)
        {
          char id[16];

          snprintf (id, sizeof id, "%d", j);
          if (strcmp (id, lost) != 0)
            ts_reply_poll (cell, id, NULL, 0, NULL, 0);
        }
    }
}

/* The run of each member in STARTS but CRASHING ends as broken, as end NUMBER
   of its worker. */
static void
break_others (struct ts_cell *cell, const struct ts_order starts[WORKERS],
              int crashing, int64_t number)
{
  for (int i = 0; i < WORKERS; i++)
    {
      struct kq_sched_ended end
          = ts_ended (&starts[i], number, KQ_SCHED_GANG_BROKEN);

      if (i != crashing)
        ts_reply_poll (cell, starts[i].worker, NULL, 0, &end, 1);
    }
}

/* Members of a gang crash their workers in turn, and the runs of the others
   are broken: that clears no count. */
static void
test_crashes_of_a_gang (void)
{
  struct ts_cell *cell = ts_create ();
  int crashes[WORKERS] = { 0 };
  int starts_after[WORKERS] = { 0 };
  struct ts_order starts[WORKERS];

  for (int i = 0; i < WORKERS; i++)
    add_worker (cell, i);
  ts_submit (cell, JOB, "batch", &gang, 1);
  for (int run = 1;
       run <= MANY_GANG_RUNS && last_start (cell, 0).run.run == run; run++)
    {
      int crashing = run % WORKERS;

      for (int i = 0; i < WORKERS; i++)
        {
          starts[i] = last_start (cell, i);
          starts_after[i] += crashes[i] >= CRASHES;
          ts_reply_order (cell, &starts[i], KQ_SCHED_OK);
        }
      break_others (cell, starts, crashing, run);
      crashes[crashing]++;
      ts_lose_worker (cell, starts[crashing].worker);
      add_worker (cell, WORKERS + run - 1);
      idle_but (cell, starts[crashing].worker, WORKERS + run);
    }
  for (int i = 0; i < WORKERS; i++)
    CU_ASSERT (starts_after[i] <= STARTS_AFTER_CRASHES);
  CU_ASSERT_EQUAL (state_of (cell), KQ_SCHED_FAILED_JOB);
  ts_destroy (cell);
}

static const struct kq_test tests[] = {
  { "failures after many runs", test_failures_after_many_runs },
  { "failure before the queue is known",
    test_failure_before_the_queue_is_known },
  { "crashes of a gang", test_crashes_of_a_gang },
};

KQ_TEST_MAIN ("test-budget", tests)

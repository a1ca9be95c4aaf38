/* Guards against tasks that are denied room for the sake of others which make
 * no use of it: urgent tasks that find none, room kept for short tasks in an
 * idle service, workers that the policy was not asked for.
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
#define FIRST_URGENT UINT64_C (1000)

static const struct kq_sched_step lasting = { .count = 1,
                                              .demand = { 3000, 100, 0 },
                                              .est_ms = 100000,
                                              .long_running = true };
static const struct kq_sched_step small
    = { .count = 1, .demand = { 500, 100, 0 }, .est_ms = 500 };
static const struct kq_sched_step smaller
    = { .count = 1, .demand = { 2000, 100, 0 }, .est_ms = 100 };
static const struct kq_sched_step lasting_small = {
  .count = 1, .demand = { 700, 100, 0 }, .est_ms = 100000, .long_running = true
};
static const struct kq_sched_step lasting_wide = { .count = 1,
                                                   .demand = { 1500, 100, 0 },
                                                   .est_ms = 100000,
                                                   .long_running = true };
/* Answers the polls of WORKERS, of which each letter names one, for MS. With
   URGENT, a job of that step comes each second. */
static void
run_workers (struct ts_cell *cell, const char *workers, int ms,
             const struct kq_sched_step *urgent)
{
  for (int at = 0; at < ms; at += 200)
    {
      if (urgent != NULL && at % 1000 == 0)
        ts_submit (
            cell, FIRST_URGENT + (uint64_t)(cell->now.mono / KQ_USEC_PER_MSEC),
            "urgent", urgent, 1);
      for (const char *id = workers; *id != '\0'; id++)
        ts_list_runs (cell, (char[]){ *id, '\0' });
      ts_advance (cell, 200);
    }
}

/* A gang reserves no worker: urgent tasks that are too large for the worker
   with room must not keep it away from there. */
static void
test_gang_behind_urgent_tasks (void)
{
  struct kq_sched_step gang = lasting;
  struct kq_sched_step large = smaller;
  struct ts_cell cell;

  gang.count = 2;
  gang.demand.cpu = 1000;
  gang.gang = true;
  large.demand.cpu = 3500;
  ts_start (&cell);
  ts_add_idle_worker (&cell, "a", 4000);
  ts_submit (&cell, LASTING, "batch", &gang, 1);
  CU_ASSERT_EQUAL (ts_run_of (&cell, LASTING, 1), 1);
  ts_add_idle_worker (&cell, "b", 4000);
  ts_submit (&cell, OTHER_LASTING, "urgent", &lasting_small, 1);
  ts_submit (&cell, SHORT, "urgent", &large, 1);
  ts_lose_worker (&cell, "a");
  run_workers (&cell, "b", 3000, &large);
  for (int i = 0; i < 2; i++)
    CU_ASSERT_EQUAL (ts_run_of (&cell, LASTING, i), 2);
  ts_stop (&cell);
}

/* Lets the policy allow WORKER to whoever asks. */
static void
advise (struct ts_cell *cell, const char *worker)
{
  struct kq_sched_advice_request request;

  if (kq_sched_next_advice_request (cell->sched, cell->now, &request))
    ts_advise (cell, &request, worker, "t", 60000);
}

/* The same for a task of a queue with a policy, which reserves none either. */
static void
test_advised_task_behind_urgent_tasks (void)
{
  struct kq_sched_step large = smaller;
  struct ts_cell cell;

  large.demand.cpu = 3500;
  ts_start (&cell);
  ts_add_idle_worker (&cell, "a", 4000);
  ts_submit (&cell, LASTING, "advised", &lasting, 1);
  advise (&cell, "a");
  CU_ASSERT_EQUAL (ts_run_of (&cell, LASTING, 0), 1);
  ts_add_idle_worker (&cell, "b", 4000);
  ts_submit (&cell, OTHER_LASTING, "urgent", &lasting_small, 1);
  ts_submit (&cell, SHORT, "urgent", &large, 1);
  ts_lose_worker (&cell, "a");
  for (int ms = 0; ms < 3000; ms += 1000)
    {
      advise (&cell, "b");
      run_workers (&cell, "b", 1000, &large);
      advise (&cell, "b");
    }
  CU_ASSERT_EQUAL (ts_run_of (&cell, LASTING, 0), 2);
  ts_stop (&cell);
}

/* A task that has failed at the only worker with room keeps away from it for 3
   s, not for as long as urgent tasks come that find no room. */
static void
test_failed_task_behind_urgent_tasks (void)
{
  struct kq_sched_step large = smaller;
  struct kq_sched_ended failed;
  struct ts_cell cell;

  large.demand.cpu = 3500;
  ts_start (&cell);
  ts_add_idle_worker (&cell, "b", 4000);
  ts_submit (&cell, OTHER_LASTING, "urgent", &lasting_small, 1);
  ts_submit (&cell, LASTING, "batch", &lasting, 1);
  CU_ASSERT_EQUAL (ts_run_of (&cell, LASTING, 0), 1);
  failed = ts_ended (ts_last_order (&cell, KQ_SCHED_FX_START, LASTING, 0, 0),
                     1, KQ_SCHED_FAILED);
  ts_reply_poll (&cell, "b", NULL, 0, &failed, 1);
  for (int ms = 0; ms < 6000; ms += 200)
    {
      struct kq_sched_running running = ts_running (
          ts_last_order (&cell, KQ_SCHED_FX_START, OTHER_LASTING, 0, 0), 100);
      if (ms % 1000 == 0)
        ts_submit (&cell, FIRST_URGENT + (uint64_t)ms, "urgent", &large, 1);
      ts_reply_poll (&cell, "b", &running, 1, NULL, 0);
      ts_advance (&cell, 200);
    }
  CU_ASSERT_EQUAL (ts_run_of (&cell, LASTING, 0), 2);
  ts_stop (&cell);
}

/* A lasting filler takes the CPU that others leave: a worker that is full of
   fillers has none for it, and is not reserved. */
static void
test_filler_that_reserves (void)
{
  struct kq_sched_step filler = lasting;
  struct ts_cell cell;

  filler.filler = true;
  filler.demand.cpu = 4000;
  ts_start (&cell);
  ts_add_idle_worker (&cell, "a", 4000);
  ts_submit (&cell, BATCH, "batch", &filler, 1);
  ts_add_idle_worker (&cell, "b", 4000);
  ts_submit (&cell, OTHER_BATCH, "batch", &filler, 1);
  CU_ASSERT_EQUAL (ts_run_of (&cell, OTHER_BATCH, 0), 1);
  ts_lose_worker (&cell, "a");
  run_workers (&cell, "b", 1000, NULL);
  ts_submit (&cell, SHORT, "urgent", &small, 1);
  run_workers (&cell, "b", 3000, NULL);
  CU_ASSERT_EQUAL (ts_run_of (&cell, SHORT, 0), 1);
  ts_stop (&cell);
}

/* Room for short tasks is kept in whole pieces: a service of one worker has
   but one, which a job that would run nothing else may take while most of the
   service is idle. */
static void
test_room_kept_of_one_worker (void)
{
  struct kq_sched_step wide = smaller;
  struct ts_cell cell;

  wide.demand.cpu = 3000;
  ts_start (&cell);
  ts_add_idle_worker (&cell, "a", 4000);
  ts_submit (&cell, SHORT, "urgent", &wide, 1);
  ts_advance (&cell, 100);
  ts_end_run (&cell, SHORT, 1, KQ_SCHED_DONE);
  ts_submit (&cell, LASTING, "urgent", &lasting_wide, 1);
  run_workers (&cell, "a", 3000, NULL);
  CU_ASSERT_EQUAL (ts_run_of (&cell, LASTING, 0), 1);
  ts_stop (&cell);
}

/* Only a quarantined worker has room for a task of a queue with a policy. */
static void
test_advised_task_and_quarantined_worker (void)
{
  struct ts_cell cell;

  ts_start (&cell);
  ts_add_idle_worker (&cell, "a", 4000);
  ts_submit (&cell, LASTING, "advised", &lasting, 1);
  advise (&cell, "a");
  CU_ASSERT_EQUAL (ts_run_of (&cell, LASTING, 0), 1);
  ts_add_idle_worker (&cell, "b", 4000);
  for (uint64_t job = SHORT; job <= OTHER_LASTING; job++)
    {
      ts_submit (&cell, job, "batch", &small, 1);
      ts_end_run (&cell, job, (int64_t)job, KQ_SCHED_FAILED);
    }
  ts_lose_worker (&cell, "a");
  for (int ms = 0; ms < 3000; ms += 200)
    {
      ts_reply_poll (&cell, "b", NULL, 0, NULL, 0);
      ts_advance (&cell, 200);
      advise (&cell, "b");
    }
  CU_ASSERT_EQUAL (ts_run_of (&cell, LASTING, 0), 2);
  ts_stop (&cell);
}

static const struct kq_test tests[] = {
  { "a gang behind urgent tasks", test_gang_behind_urgent_tasks },
  { "an advised task behind urgent tasks",
    test_advised_task_behind_urgent_tasks },
  { "a failed task behind urgent tasks",
    test_failed_task_behind_urgent_tasks },
  { "a filler that reserves", test_filler_that_reserves },
  { "room kept of one worker", test_room_kept_of_one_worker },
  { "an advised task and a quarantined worker",
    test_advised_task_and_quarantined_worker },
};

KQ_TEST_MAIN ("test-starved", tests)

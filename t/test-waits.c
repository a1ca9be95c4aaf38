/* Guards against tasks that wait beside a worker with room for them because
 * another task may not start there.
 */
#include <string.h>

#include "sched/internal.h"
#include "t/kqtest.h"
#include "t/lib-sched.h"

#define URGENT UINT64_C (1)
#define BATCH UINT64_C (2)
#define FIRST_FILLS UINT64_C (3)
#define SECOND_FILLS UINT64_C (4)
#define LARGE UINT64_C (5)
#define FIRST_SMALL UINT64_C (10)
#define SMALL_JOBS 20

/* An urgent task avoids the only worker, where it has failed: that shows no
   lack of capacity to tasks of lower priority. */
static void
test_task_behind_one_that_avoids_the_worker (void)
{
  static const struct kq_sched_step step
      = { .count = 1, .demand = { 1000, 100, 0 }, .est_ms = 1000 };
  struct ts_cell cell;

  ts_start (&cell);
  ts_add_idle_worker (&cell, "a", 4000);
  ts_submit (&cell, URGENT, "urgent", &step, 1);
  ts_end_run (&cell, URGENT, 1, KQ_SCHED_FAILED);
  ts_submit (&cell, BATCH, "batch", &step, 1);
  ts_advance (&cell, 200);
  CU_ASSERT_PTR_NOT_NULL (
      ts_last_order (&cell, KQ_SCHED_FX_START, BATCH, 0, 0));
  ts_stop (&cell);
}

/* Room is held for two large tasks at a worker each, and that of the second
   one comes free first. */
static void
test_large_task_whose_room_comes_free_first (void)
{
  static const struct kq_sched_step small
      = { .count = 1, .demand = { 1000, 10, 0 }, .est_ms = 100 };
  static const struct kq_sched_step large
      = { .count = 2, .demand = { 10000, 100, 0 }, .est_ms = 5000 };
  struct kq_sched_step filling
      = { .count = 1, .demand = { 12000, 100, 0 }, .est_ms = 2000 };
  struct ts_cell *cell = ts_create ();
  const struct ts_order *start;
  struct kq_sched_counts counts;

  ts_add_idle_worker (cell, "a", 16000);
  ts_submit (cell, FIRST_FILLS, "urgent", &filling, 1);
  ts_add_idle_worker (cell, "b", 16000);
  filling.est_ms = 1500;
  ts_submit (cell, SECOND_FILLS, "urgent", &filling, 1);
  /* Too small for a large task; a quarter of all room may be held. */
  for (int i = 0; i < 6; i++)
    ts_add_idle_worker (cell, (char[]){ (char)('c' + i), '\0' }, 8000);
  for (int i = 0; i < SMALL_JOBS; i++)
    ts_submit (cell, FIRST_SMALL + (uint64_t)i, "urgent", &small, 1);
  ts_submit (cell, LARGE, "urgent", &large, 1);
  ts_advance (cell, 300);
  kq_sched_count (cell->sched, &counts);
  CU_ASSERT_EQUAL (counts.holds, 2);
  ts_end_run (cell, FIRST_FILLS, 1, KQ_SCHED_DONE);
  ts_advance (cell, 200);
  start = ts_last_order (cell, KQ_SCHED_FX_START, LARGE, 0, 1);
  CU_ASSERT_PTR_NOT_NULL (start);
  ts_destroy (cell);
}

/* Room is held at the only worker with some, which keeps a small task from it
   but not a gang that goes on after a loss. */
static void
test_gang_behind_a_smaller_task (void)
{
  static const struct kq_sched_step small
      = { .count = 1, .demand = { 1000, 10, 0 }, .est_ms = 100 };
  static const struct kq_sched_step waiting
      = { .count = 1, .demand = { 2000, 10, 0 }, .est_ms = 100 };
  static const struct kq_sched_step large
      = { .count = 1, .demand = { 10000, 100, 0 }, .est_ms = 5000 };
  static const struct kq_sched_step filling
      = { .count = 1, .demand = { 12000, 100, 0 }, .est_ms = 2000 };
  static const struct kq_sched_step gang = { .count = 1,
                                             .demand = { 3000, 100, 0 },
                                             .est_ms = 100000,
                                             .gang = true,
                                             .long_running = true };
  struct ts_cell *cell = ts_create ();
  const struct ts_order *start;

  ts_add_idle_worker (cell, "z", 3000);
  ts_submit (cell, BATCH, "urgent", &gang, 1);
  ts_add_idle_worker (cell, "a", 16000);
  ts_submit (cell, FIRST_FILLS, "urgent", &filling, 1);
  for (int i = 0; i < 32; i++)
    ts_add_idle_worker (cell, (char[]){ 'c', (char)('A' + i), '\0' }, 1000);
  for (int i = 0; i < 36; i++)
    ts_submit (cell, FIRST_SMALL + (uint64_t)i, "urgent", &small, 1);
  ts_submit (cell, LARGE, "urgent", &large, 1);
  ts_advance (cell, 300);
  CU_ASSERT_PTR_NOT_NULL (
      job_find (cell->sched, LARGE)->stages[0].tasks[0].large_worker);
  for (int i = 0; i < 36; i++)
    {
      start = ts_last_order (cell, KQ_SCHED_FX_START,
                             FIRST_SMALL + (uint64_t)i, 0, 0);
      if (strcmp (start->worker, "a") == 0)
        ts_end_run (cell, FIRST_SMALL + (uint64_t)i, i + 1, KQ_SCHED_DONE);
    }
  ts_submit (cell, URGENT, "urgent", &waiting, 1);
  ts_refuse_poll (cell, "z", cell->now.mono, KQ_SCHED_OTHER_INCARNATION);
  for (int i = 0; i < 5; i++)
    {
      start = ts_last_order (cell, KQ_SCHED_FX_START, FIRST_FILLS, 0, 0);
      ts_reply_poll (cell, "a",
                     (struct kq_sched_running[]){ ts_running (start, 10) }, 1,
                     NULL, 0);
      ts_advance (cell, 200);
    }
  CU_ASSERT_PTR_NULL (ts_last_order (cell, KQ_SCHED_FX_START, URGENT, 0, 0));
  start = ts_last_order (cell, KQ_SCHED_FX_START, BATCH, 0, 0);
  CU_ASSERT_EQUAL (start->run.run, 2);
  ts_destroy (cell);
}

static const struct kq_test tests[] = {
  { "a task behind one that avoids the worker",
    test_task_behind_one_that_avoids_the_worker },
  { "a large task whose room comes free first",
    test_large_task_whose_room_comes_free_first },
  { "a gang behind a smaller task", test_gang_behind_a_smaller_task },
};

KQ_TEST_MAIN ("test-waits", tests)

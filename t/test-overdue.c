/* Guards against long-running tasks that wait beside free workers without a
 * trace in counters: neither operators nor tests would learn of it.
 */
#include "sched/internal.h"
#include "t/kqtest.h"
#include "t/lib-sched.h"

#define LASTING UINT64_C (1)

static const struct kq_sched_step lasting = { .count = 1,
                                              .demand = { 3000, 100, 0 },
                                              .est_ms = 100000,
                                              .long_running = true };

/* The worker of a lasting task is lost; another one with CPU is left, which
   has not replied since an outage. */
static void
lose_worker_beside (struct ts_cell *cell, int64_t cpu)
{
  ts_start (cell);
  ts_add_idle_worker (cell, "a", 4000);
  ts_submit (cell, LASTING, "urgent", &lasting, 1);
  ts_add_idle_worker (cell, "b", cpu);
  worker_find (cell->sched, "b")->unheard = true;
  ts_refuse_poll (cell, "a", cell->now.mono, KQ_SCHED_OTHER_INCARNATION);
}

static struct kq_sched_counts
count (const struct ts_cell *cell)
{
  struct kq_sched_counts counts;

  kq_sched_count (cell->sched, &counts);
  return counts;
}

static void
test_room_twice_over (void)
{
  struct ts_cell cell;

  lose_worker_beside (&cell, 6000);
  ts_advance (&cell, 1500);
  CU_ASSERT_EQUAL (count (&cell).overdue_tasks, 0);
  ts_advance (&cell, 1700);
  CU_ASSERT_EQUAL (count (&cell).overdue_tasks, 1);
  CU_ASSERT_TRUE (count (&cell).overdue_beside_room > 0);
  ts_stop (&cell);
}

static void
test_room_for_one (void)
{
  struct ts_cell cell;

  lose_worker_beside (&cell, 5000);
  ts_advance (&cell, 3200);
  CU_ASSERT_EQUAL (count (&cell).overdue_tasks, 1);
  CU_ASSERT_EQUAL (count (&cell).overdue_beside_room, 0);
  ts_stop (&cell);
}

static void
test_task_that_runs_again (void)
{
  struct ts_cell cell;

  lose_worker_beside (&cell, 6000);
  ts_advance (&cell, 3200);
  ts_reply_poll (&cell, "b", NULL, 0, NULL, 0);
  ts_advance (&cell, 1200);
  CU_ASSERT_EQUAL (count (&cell).overdue_tasks, 0);
  ts_stop (&cell);
}

/* Once the term of the owner is not confirmed nothing is started, whatever
   room there is. */
static void
test_store_away (void)
{
  struct ts_cell cell;
  int64_t checks;

  lose_worker_beside (&cell, 6000);
  cell.store_down = true;
  ts_advance (&cell, 3000);
  checks = count (&cell).overdue_beside_room;
  ts_advance (&cell, 3000);
  CU_ASSERT_EQUAL (count (&cell).overdue_beside_room, checks);
  ts_stop (&cell);
}

static const struct kq_test tests[] = {
  { "room twice over", test_room_twice_over },
  { "room for one", test_room_for_one },
  { "a task that runs again", test_task_that_runs_again },
  { "store away", test_store_away },
};

KQ_TEST_MAIN ("test-overdue", tests)

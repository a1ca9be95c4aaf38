/* Guards against moving fillers that are no longer in the way: a raised pace
 * is delayed against noise, and fillers were stopped during that delay and
 * started again elsewhere.
 */
#include "t/kqtest.h"
#include "t/lib-sched.h"

#define TARGET_MS 50
#define POLL_MS 100

/* Longest time for which a task may be over its target before all fillers
   beside it are paused, and one poll more. */
#define PAUSED_AFTER_MS 1500

static const struct kq_sched_step serving = { .count = 1,
                                              .demand = { 8000, 1000, 0 },
                                              .est_ms = 1000,
                                              .long_running = true,
                                              .tail_target_ms = TARGET_MS,
                                              .image = "web" };
static const struct kq_sched_step filler = { .count = 1,
                                             .demand = { 4000, 1000, 0 },
                                             .est_ms = 20000,
                                             .checkpointable = true,
                                             .filler = true,
                                             .image = "sort" };

/* Polls worker "a" for MS; the serving task reports TAIL_MS. */
static void
report (struct ts_cell *cell, const struct ts_order *const *starts,
        int64_t tail_ms, int64_t ms)
{
  for (int64_t at = 0; at < ms; at += POLL_MS)
    {
      struct kq_sched_running running[]
          = { ts_running (starts[0], 100), ts_running (starts[1], 10) };

      running[0].sample = tail_ms;
      running[1].sample = 2000;
      ts_advance (cell, POLL_MS);
      ts_reply_poll (cell, "a", running, 2, NULL, 0);
      ts_process_pending (cell);
    }
}

/* Returns the last pace that the filler got in percent; -1 if none. */
static int
last_pace (const struct ts_cell *cell)
{
  const struct ts_order *pace
      = ts_last_order (cell, KQ_SCHED_FX_PACE, 2, 0, 0);

  return pace != NULL ? pace->percent : -1;
}

static void
test_filler_stays_until_pace_is_raised (void)
{
  struct ts_cell cell;
  const struct ts_order *starts[2];

  ts_start (&cell);
  ts_register_worker (&cell, "a", 16000, 64000);
  ts_reply_poll (&cell, "a", NULL, 0, NULL, 0);
  ts_submit (&cell, 1, "urgent", &serving, 1);
  ts_submit (&cell, 2, "batch", &filler, 1);
  ts_advance (&cell, 200);
  starts[0] = ts_last_order (&cell, KQ_SCHED_FX_START, 1, 0, 0);
  starts[1] = ts_last_order (&cell, KQ_SCHED_FX_START, 2, 0, 0);
  CU_ASSERT_PTR_NOT_NULL_FATAL (starts[0]);
  CU_ASSERT_PTR_NOT_NULL_FATAL (starts[1]);
  ts_reply_order (&cell, starts[0], KQ_SCHED_OK);
  ts_reply_order (&cell, starts[1], KQ_SCHED_OK);
  report (&cell, starts, TARGET_MS + 10, PAUSED_AFTER_MS);
  CU_ASSERT_EQUAL (last_pace (&cell), 0);
  report (&cell, starts, TARGET_MS / 5, 1000);
  CU_ASSERT_EQUAL (ts_count_orders (&cell, KQ_SCHED_FX_STOP), 0);
  CU_ASSERT_EQUAL (last_pace (&cell), 100);
  ts_stop (&cell);
}

static const struct kq_test tests[] = {
  { "a filler stays until its pace is raised",
    test_filler_stays_until_pace_is_raised },
};

KQ_TEST_MAIN ("test-share", tests)

/* Simulates a cell in which workers crash in waves and others take their
 * addresses.  */
#include "t/kqtest.h"
#include "t/lib-sim.h"

#define SEEDS 20
#define WAVES 6
#define WAVE_INTERVAL_MS 7000
#define WAVE_SIZE (SIM_WORKERS / 3)
#define SUBMIT_INTERVAL_MS 500
#define CANCELLED_AFTER 12 /* submissions of later jobs */

/* The platform's bound on the time without a run: 6 s, in which leases lapse,
   and 3 s to start again. */
#define MAX_DOWN_MS INT64_C (9000)

static const struct sim_faults lost_replies = { .lose_reply = 0.01 };

static const struct kq_sched_step lasting = {
  .count = 6, .demand = { 3000, 2000, 0 }, .est_ms = 1000, .long_running = true
};
static const struct kq_sched_step slow = { .count = SIM_WORKERS,
                                           .demand = { 500, 1000, 0 },
                                           .est_ms = 10000,
                                           .max_per_worker = 1 };

static void
crash_wave (struct sim *sim, unsigned long first)
{
  for (unsigned long i = 0; i < WAVE_SIZE; i++)
    sim_replace_worker (sim, (int)((first + i * 3) % SIM_WORKERS));
}

/* Submits a job with a task on each worker each half second, and cancels it 6
   s later: the stop orders for crashed workers reach those that have their
   addresses then. */
static int64_t
longest_down (unsigned long seed)
{
  struct sim *sim = sim_create (seed, &lost_replies);
  int64_t down;
  int first;

  sim_run (sim, 2000);
  sim_submit (sim, "urgent", &lasting, 1);
  first = sim_submit (sim, "urgent", &lasting, 1) + 1;
  sim_run (sim, 2000);
  for (int i = 0; i < WAVES * WAVE_INTERVAL_MS / SUBMIT_INTERVAL_MS; i++)
    {
      if (i % (WAVE_INTERVAL_MS / SUBMIT_INTERVAL_MS) == 0)
        crash_wave (sim, seed * 7 + (unsigned long)i);
      sim_submit (sim, "batch", &slow, 1);
      if (i >= CANCELLED_AFTER)
        sim_cancel (sim, first + i - CANCELLED_AFTER);
      sim_run (sim, SUBMIT_INTERVAL_MS);
    }
  sim_run (sim, 2 * MAX_DOWN_MS);
  down = sim_longest_down (sim);
  CU_ASSERT_PTR_NULL (sim_violation (sim));
  sim_destroy (sim);
  return down;
}

/* Lasting tasks of crashed workers were down for 13 to 17 s while others had
   the addresses of these: refusals of others counted as signs of life. */
static void
test_lasting_tasks_in_crash_waves (void)
{
  int64_t longest = 0;

  for (unsigned long seed = 1; seed <= SEEDS; seed++)
    {
      int64_t down = longest_down (seed);

      CU_ASSERT (down > 0);
      CU_ASSERT (down <= MAX_DOWN_MS);
      if (down > longest)
        longest = down;
    }
  printf ("lasting tasks down for %d ms at most\n", (int)longest);
}

static const struct kq_test tests[] = {
  { "lasting tasks run again within 9 s of crash waves",
    test_lasting_tasks_in_crash_waves },
};

KQ_TEST_MAIN ("test-sim-crash", tests)

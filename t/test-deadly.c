/* Guards against tasks that crash worker after worker while owners change and
 * replies are lost: no such task may be started more than five times, and no
 * job without such a task may fail for it.
 */
#include <stdio.h>

#include "t/kqtest.h"
#include "t/lib-sim.h"

#define SEEDS 400
#define MAX_STARTS 5
#define JOBS 20
#define DEADLY_EACH 5

/* Seeds in which a crash goes unseen at a change of owners, or a new owner
   takes over while a verdict is put off: each start counts there. */
static const unsigned long tight_seeds[] = { 478, 633, 668, 858, 1089, 1177 };

static const struct sim_faults faults
    = { .lose_reply = 0.03, .delayed = 0.03, .takeover = 0.15 };

/* Sound workers crash and fall silent too, one at a time, while owners change
   or replies are lost. */
static const struct sim_faults rough_changing
    = { .takeover = 0.15, .worker_crash = 0.3, .worker_unreachable = 0.1 };
static const struct sim_faults rough_lossy = { .lose_reply = 0.03,
                                               .delayed = 0.03,
                                               .worker_crash = 0.3,
                                               .worker_unreachable = 0.1 };
static const struct sim_faults rough_all = { .lose_reply = 0.03,
                                             .delayed = 0.03,
                                             .takeover = 0.15,
                                             .worker_crash = 0.3,
                                             .worker_unreachable = 0.1 };

/* Seeds in which tasks were started six times, or sound jobs were given up. */
static const unsigned long changing_seeds[] = { 69, 224, 282 };
static const unsigned long lossy_seeds[] = { 8, 46, 146, 169, 369 };
static const unsigned long all_seeds[] = { 360, 454, 484, 488, 1151 };

static const struct kq_sched_step work
    = { .count = 3, .demand = { 1000, 1000, 0 }, .est_ms = 1500 };

static void
run_seed (unsigned long seed, const struct sim_faults *kind)
{
  struct sim *sim = sim_create (seed, kind);

  for (int i = 0; i < JOBS; i++)
    {
      sim_submit (sim, "urgent", &work, 1);
      if (i % DEADLY_EACH == 0)
        sim_make_deadly (sim, i);
      sim_run (sim, 1000);
    }
  sim_run (sim, 40000);
  sim_stop_faults (sim);
  sim_run (sim, 20000);
  if (sim_violation (sim) != NULL)
    printf ("seed %lu: %s\n", seed, sim_violation (sim));
  CU_ASSERT_PTR_NULL (sim_violation (sim));
  for (int i = 0; i < JOBS; i++)
    {
      bool deadly = i % DEADLY_EACH == 0;
      int state = sim_state (sim, i);
      int starts = sim_deadly_starts (sim, i);

      if (starts > MAX_STARTS)
        printf ("seed %lu: job %d started %d times\n", seed, i, starts);
      CU_ASSERT (starts <= MAX_STARTS);
      if (state >= 0
          && state != (deadly ? KQ_SCHED_FAILED_JOB : KQ_SCHED_COMPLETE))
        printf ("seed %lu: job %d ends in state %d\n", seed, i, state);
      CU_ASSERT (state < 0
                 || state
                        == (deadly ? KQ_SCHED_FAILED_JOB : KQ_SCHED_COMPLETE));
    }
  sim_destroy (sim);
}

static void
test_deadly_tasks (void)
{
  for (unsigned long seed = 1; seed <= SEEDS; seed++)
    run_seed (seed, &faults);
  for (size_t i = 0; i < sizeof tight_seeds / sizeof tight_seeds[0]; i++)
    run_seed (tight_seeds[i], &faults);
}

/* A sound job must not fail because single workers crash under it, and a
   deadly one must not gain starts by that. */
static void
test_rough_service (void)
{
  for (size_t i = 0; i < sizeof changing_seeds / sizeof changing_seeds[0]; i++)
    run_seed (changing_seeds[i], &rough_changing);
  for (size_t i = 0; i < sizeof lossy_seeds / sizeof lossy_seeds[0]; i++)
    run_seed (lossy_seeds[i], &rough_lossy);
  for (size_t i = 0; i < sizeof all_seeds / sizeof all_seeds[0]; i++)
    run_seed (all_seeds[i], &rough_all);
}

static const struct kq_test tests[] = {
  { "deadly tasks", test_deadly_tasks },
  { "deadly tasks where workers crash", test_rough_service },
};

KQ_TEST_MAIN ("test-deadly", tests)

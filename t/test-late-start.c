/* Guards against two runs of a task at once: a start without a reply was
 * settled at a worker that then restarted under its ID, and is carried out
 * late by the new incarnation before any order with a newer fence reaches
 * that.
 */
#include "t/kqtest.h"
#include "t/lib-sim.h"

static void
test_settled_start (unsigned long seed)
{
  struct sim *sim = sim_run_restarts (seed);

  if (sim_violation (sim) != NULL)
    printf ("seed %lu: %s\n", seed, sim_violation (sim));
  CU_ASSERT_PTR_NULL (sim_violation (sim));
  sim_destroy (sim);
}

static void
test_seed_28 (void)
{
  test_settled_start (28);
}

static void
test_seed_48 (void)
{
  test_settled_start (48);
}

static const struct kq_test tests[] = {
  { "a settled start arrives at the next incarnation, seed 28", test_seed_28 },
  { "a settled start arrives at the next incarnation, seed 48", test_seed_48 },
};

KQ_TEST_MAIN ("test-late-start", tests)

/* Guards against a task that starts beside a run of it or after its end, where
 * the owner changes while a worker restarts under its ID: an order of the
 * earlier owner, or of before the restart, is carried out by the new
 * incarnation before any order with a newer fence reaches that.
 */
#include "t/kqtest.h"
#include "t/lib-sim.h"

static void
run_seeds (const unsigned long *seeds, int count, double takeovers,
           double store_down)
{
  for (int i = 0; i < count; i++)
    {
      struct sim *sim = sim_run_restarts (seeds[i], takeovers, store_down);

      if (sim_violation (sim) != NULL)
        printf ("seed %lu: %s\n", seeds[i], sim_violation (sim));
      CU_ASSERT_PTR_NULL (sim_violation (sim));
      sim_destroy (sim);
    }
}

/* These are the seeds of 1 to 300 that fail. */
static void
test_takeovers (void)
{
  static const unsigned long seeds[]
      = { 1, 89, 120, 130, 151, 183, 195, 198, 295 };

  run_seeds (seeds, sizeof seeds / sizeof *seeds, 0.3, 0);
}

static void
test_outages (void)
{
  static const unsigned long seeds[] = { 51, 279 };

  run_seeds (seeds, sizeof seeds / sizeof *seeds, 0.2, 0.1);
}

static const struct kq_test tests[] = {
  { "restarts with late orders and takeovers", test_takeovers },
  { "restarts with late orders, takeovers and outages", test_outages },
};

KQ_TEST_MAIN ("test-late-start", tests)

/* Seeded runs of a cell with late and lost answers, workers that die or go
 * silent, a store that is down, and owners that change.  With the arguments
 * "soak SEED SECONDS" it runs one seed for longer.  */
#include <stdlib.h>
#include <string.h>

#include "t/kqtest.h"
#include "t/lib-sim.h"

#define SEEDS 60

static const struct sim_faults all_faults = { .lose_answer = 0.03,
                                              .late = 0.03,
                                              .task_fails = 0.03,
                                              .takeover = 0.1,
                                              .worker_dies = 0.1,
                                              .worker_silent = 0.05,
                                              .store_down = 0.05 };

static const struct kq_sched_step batch
    = { .count = 6, .demand = { 2000, 3000, 0 }, .est_ms = 1500 };
static const struct kq_sched_step saving = { .count = 4,
                                             .demand = { 3000, 3000, 0 },
                                             .est_ms = 4000,
                                             .checkpointable = true };

/* Runs SECONDS with faults, heals, and waits for all jobs to be over.
   Returns the broken rule or NULL. */
static const char *
play (unsigned long seed, int seconds, char *text, size_t size)
{
  struct sim *sim = sim_create (seed, &all_faults);
  const char *violation;
  int jobs = 0;

  for (int i = 0; i < seconds && jobs < SIM_JOBS - 2; i++)
    {
      sim_submit (sim, "urgent", &batch, 2);
      jobs++;
      if (i % 3 == 0)
        {
          sim_submit (sim, "batch", &saving, 2);
          jobs++;
        }
      sim_run (sim, 400);
      if (i % 7 == 0)
        sim_cancel (sim, jobs - 1);
      sim_run (sim, 600);
    }
  sim_heal (sim);
  sim_run (sim, 60000);
  for (int i = 0; i < jobs; i++)
    if (sim_state (sim, i) >= 0 && sim_state (sim, i) < KQ_SCHED_COMPLETE
        && sim_violation (sim) == NULL)
      {
        snprintf (text, size, "job %d is not over a minute after the faults",
                  i + 1);
        sim_destroy (sim);
        return text;
      }
  violation = sim_violation (sim);
  if (violation != NULL)
    snprintf (text, size, "%s", violation);
  sim_destroy (sim);
  return violation != NULL ? text : NULL;
}

static void
test_seeds (void)
{
  char text[160];

  for (unsigned long seed = 1; seed <= SEEDS; seed++)
    {
      const char *violation = play (seed, 20, text, sizeof text);

      if (violation != NULL)
        printf ("seed %lu: %s\n", seed, violation);
      CU_ASSERT_PTR_NULL (violation);
    }
}

static const struct sim_faults no_faults;

/* A burst of wide jobs: later ones that can still be in time go before those
   that can't.  Without that order all are late in turn. */
static void
test_burst_of_wide_jobs (void)
{
  static const struct kq_sched_step wide
      = { .count = 32, .demand = { 4000, 3000, 0 }, .est_ms = 1000 };
  struct sim *sim = sim_create (1, &no_faults);
  int in_time = 0;

  sim_run (sim, 2000);
  for (int i = 0; i < 40; i++)
    {
      sim_submit (sim, "batch", &wide, 1);
      sim_run (sim, 400);
    }
  sim_run (sim, 6000);
  for (int j = 0; j < 40; j++)
    in_time += sim_time_of (sim, j) >= 0 && sim_time_of (sim, j) <= 3500;
  /* There is room for 24 of the 40; six in ten of these must be in time. */
  CU_ASSERT (in_time >= 15);
  CU_ASSERT_PTR_NULL (sim_violation (sim));
  sim_destroy (sim);
}

/* A wave of cancels frees the room of what ran at once. */
static void
test_wave_of_cancels (void)
{
  static const struct kq_sched_step slow
      = { .count = 8, .demand = { 4000, 3000, 0 }, .est_ms = 60000 };
  struct sim *sim = sim_create (1, &no_faults);
  int last;

  sim_run (sim, 2000);
  for (int i = 0; i < 12; i++)
    sim_submit (sim, "batch", &slow, 1);
  sim_run (sim, 2000);
  for (int i = 0; i < 12; i++)
    sim_cancel (sim, i);
  sim_run (sim, 1500);
  last = sim_submit (sim, "batch", &batch, 1);
  sim_run (sim, 4000);
  CU_ASSERT_EQUAL (sim_state (sim, last), KQ_SCHED_COMPLETE);
  CU_ASSERT_EQUAL (sim_state (sim, 0), KQ_SCHED_CANCELLED);
  sim_destroy (sim);
}

static const struct kq_test tests[] = {
  { "seeds", test_seeds },
  { "a burst of wide jobs", test_burst_of_wide_jobs },
  { "a wave of cancels", test_wave_of_cancels },
};

int
main (int argc, char **argv)
{
  char text[160];

  if (argc == 4 && strcmp (argv[1], "soak") == 0)
    {
      const char *violation = play (strtoul (argv[2], NULL, 10),
                                    atoi (argv[3]), text, sizeof text);

      printf ("sim: seed %s, %s s, %s\n", argv[2], argv[3],
              violation != NULL ? violation : "violations 0");
      return violation != NULL;
    }
  return kq_test_main ("test-sim", tests,
                       (int)(sizeof tests / sizeof tests[0]));
}

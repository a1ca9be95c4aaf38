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

/* Serving tasks on all workers, and fillers of two images of which each
   disturbs one image of the serving tasks, or both. */
struct shared
{
  int64_t longest_over;
  int64_t over;
  int done; /* filling jobs */
};

#define SERVING_JOBS 12
#define FILLING_JOBS 120

static int takeovers; /* in the middle of share() */

static struct shared
share (unsigned long seed, const sim_factors *factors, bool paced, int gap_ms)
{
  struct kq_sched_step serving = { .count = 4,
                                   .demand = { 4000, 4000, 0 },
                                   .est_ms = 1000,
                                   .long_running = true,
                                   .tail_target_ms = 50 };
  struct kq_sched_step filling = { .count = 6,
                                   .demand = { 2000, 3000, 0 },
                                   .est_ms = 2000,
                                   .filler = true,
                                   .checkpointable = true };
  struct sim *sim = sim_create (seed, &no_faults);
  struct shared shared = { 0, 0, 0 };

  sim_set_factors (sim, factors);
  if (!paced)
    sim_ignore_pace (sim);
  sim_run (sim, 2000);
  for (int i = 0; i < SERVING_JOBS; i++)
    {
      serving.image[0] = (char)('0' + i % 2);
      sim_submit (sim, "urgent", &serving, 1);
    }
  sim_run (sim, 1000);
  for (int i = 0; i < FILLING_JOBS; i++)
    {
      filling.image[0] = (char)('2' + i % 2);
      sim_submit (sim, "batch", &filling, 1);
      sim_run (sim, gap_ms);
      if (takeovers > 0 && i % (FILLING_JOBS / (takeovers + 1)) == 1)
        sim_take_over (sim);
    }
  sim_run (sim, 40000);
  for (int i = 0; i < FILLING_JOBS; i++)
    shared.done += sim_time_of (sim, i + SERVING_JOBS) >= 0;
  shared.longest_over = sim_longest_over (sim);
  shared.over = sim_time_over (sim);
  CU_ASSERT_PTR_NULL (sim_violation (sim));
  sim_destroy (sim);
  return shared;
}

/* Longest time for which fillers may hold a serving task over its target.
   Source: the platform's bound violation_ms. */
#define VIOLATION_MS 4000

/* Takeovers in a row do not let fillers disturb serving tasks anew. */
static void
test_takeovers_beside_serving_tasks (void)
{
  static const sim_factors pairs = { { 0, 0, 4, 0 }, { 0, 0, 0, 4 } };
  struct shared calm = share (7, &pairs, true, 300);
  struct shared shaken;

  takeovers = 3;
  shaken = share (7, &pairs, true, 300);
  takeovers = 0;
  CU_ASSERT (shaken.longest_over < VIOLATION_MS);
  CU_ASSERT_EQUAL (shaken.done, FILLING_JOBS);
  /* A second for each takeover, on all twelve workers. */
  CU_ASSERT (shaken.over <= calm.over + INT64_C (3000) * SIM_WORKERS);
}

/* Each filler has serving tasks that it does not disturb: all work is done. */
static void
test_fillers_beside_serving_tasks (void)
{
  static const sim_factors pairs = { { 0, 0, 4, 0 }, { 0, 0, 0, 4 } };

  for (unsigned long seed = 1; seed <= 5; seed++)
    {
      struct shared shared = share (seed, &pairs, true, 500);

      CU_ASSERT (shared.longest_over < VIOLATION_MS);
      CU_ASSERT_EQUAL (shared.done, FILLING_JOBS);
    }
}

/* One kind of filler disturbs all serving tasks. */
static void
test_fillers_that_disturb_all (void)
{
  static const sim_factors pairs = { { 0, 0, 4, 3 }, { 0, 0, 0, 4 } };

  for (unsigned long seed = 1; seed <= 5; seed++)
    {
      struct shared paced = share (seed, &pairs, true, 500);
      struct shared unpaced = share (seed, &pairs, false, 500);

      CU_ASSERT (paced.longest_over < VIOLATION_MS);
      CU_ASSERT (paced.over < unpaced.over);
    }
}

/* Factors below what counts as harmful, but many fillers at once: nothing is
   known to disturb, and yet a task is over its target. */
static void
test_many_that_hardly_disturb (void)
{
  static const sim_factors pairs = { { 0, 0, 0.7, 0.7 }, { 0, 0, 0.7, 0.7 } };

  for (unsigned long seed = 1; seed <= 5; seed++)
    CU_ASSERT (share (seed, &pairs, true, 180).longest_over < VIOLATION_MS);
}

/* Heavy fillers, a serving task that each of them disturbs on every worker,
   and most of the room free: they do not wait for ever (a job may have nothing
   running for 3 s at most while under half of the room is in use). */
static void
test_heavy_fillers_and_free_room (void)
{
  static const sim_factors pairs = { { 0, 0, 5, 0 } };
  static const struct kq_sched_step serving = { .count = SIM_WORKERS,
                                                .demand = { 4000, 4000, 0 },
                                                .est_ms = 1000,
                                                .max_per_worker = 1,
                                                .long_running = true,
                                                .tail_target_ms = 50,
                                                .image = "0" };
  static const struct kq_sched_step heavy = { .count = 1,
                                              .demand = { 6000, 3000, 0 },
                                              .est_ms = 2000,
                                              .filler = true,
                                              .checkpointable = true,
                                              .image = "2" };

  for (unsigned long seed = 1; seed <= 5; seed++)
    {
      struct sim *sim = sim_create (seed, &no_faults);

      sim_set_factors (sim, &pairs);
      sim_run (sim, 2000);
      sim_submit (sim, "urgent", &serving, 1);
      sim_run (sim, 1000);
      for (int i = 0; i < SIM_WORKERS; i++)
        sim_submit (sim, "batch", &heavy, 1);
      sim_run (sim, 60000);
      for (int i = 1; i <= SIM_WORKERS; i++)
        CU_ASSERT (sim_time_of (sim, i) >= 0);
      CU_ASSERT (sim_longest_over (sim) < VIOLATION_MS);
      CU_ASSERT_PTR_NULL (sim_violation (sim));
      sim_destroy (sim);
    }
}

static const struct kq_test tests[] = {
  { "heavy fillers and free room", test_heavy_fillers_and_free_room },
  { "fillers beside serving tasks", test_fillers_beside_serving_tasks },
  { "takeovers beside serving tasks", test_takeovers_beside_serving_tasks },
  { "fillers that disturb all", test_fillers_that_disturb_all },
  { "many fillers that hardly disturb", test_many_that_hardly_disturb },
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

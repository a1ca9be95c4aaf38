/* Simulates a cell with delayed and lost replies, crashed and unreachable
 * workers, store outages and owner changes, and checks that no task has two
 * runs at a time and that every job ends. With the arguments
 * "soak SEED SECONDS" it runs one seed for longer.  */
#include <stdlib.h>
#include <string.h>

#include "t/kqtest.h"
#include "t/lib-sim.h"

#define SEEDS 60

static const struct sim_faults all_faults = { .lose_reply = 0.03,
                                              .delayed = 0.03,
                                              .task_fails = 0.03,
                                              .takeover = 0.1,
                                              .worker_crash = 0.1,
                                              .worker_unreachable = 0.05,
                                              .store_down = 0.05 };

static const struct kq_sched_step batch
    = { .count = 6, .demand = { 2000, 3000, 0 }, .est_ms = 1500 };
static const struct kq_sched_step checkpointing
    = { .count = 4,
        .demand = { 3000, 3000, 0 },
        .est_ms = 4000,
        .checkpointable = true };

/* Simulates SECONDS with faults and a minute without, after which all accepted
   jobs must be over. Returns the violated rule or NULL. */
static const char *
run_seed (unsigned long seed, int seconds, char *text, size_t size)
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
          sim_submit (sim, "batch", &checkpointing, 2);
          jobs++;
        }
      sim_run (sim, 400);
      if (i % 7 == 0)
        sim_cancel (sim, jobs - 1);
      sim_run (sim, 600);
    }
  sim_stop_faults (sim);
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
test_random_faults (void)
{
  char text[160];

  for (unsigned long seed = 1; seed <= SEEDS; seed++)
    {
      const char *violation = run_seed (seed, 20, text, sizeof text);

      if (violation != NULL)
        printf ("seed %lu: %s\n", seed, violation);
      CU_ASSERT_PTR_NULL (violation);
    }
}

static const struct sim_faults no_faults;

/* In a burst of wide jobs, jobs that can still meet their objective must run
   before earlier ones that cannot. Otherwise all jobs miss it one after the
   other. */
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
    in_time += sim_job_time (sim, j) >= 0 && sim_job_time (sim, j) <= 3500;
  /* There is capacity for 24 of the 40 jobs; 60 % of these must be in time. */
  CU_ASSERT (in_time >= 15);
  CU_ASSERT_PTR_NULL (sim_violation (sim));
  sim_destroy (sim);
}

/* Cancelling many jobs must free the capacity of their running tasks at
   once. */
static void
test_capacity_of_cancelled_jobs (void)
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

/* Result of a simulation with serving tasks on all workers and fillers of two
   images, each of which slows down one or both images of the serving tasks. */
struct interference_result
{
  int64_t longest_over_target_ms;
  int64_t over_target_ms;
  int done; /* number of filler jobs that are over */
};

#define SERVING_JOBS 12
#define FILLER_JOBS 120

static int takeovers; /* number of owner changes in run_with_fillers() */

static struct interference_result
run_with_fillers (unsigned long seed, const sim_factors *factors, bool paced,
                  int gap_ms)
{
  struct kq_sched_step serving = { .count = 4,
                                   .demand = { 4000, 4000, 0 },
                                   .est_ms = 1000,
                                   .long_running = true,
                                   .tail_target_ms = 50 };
  struct kq_sched_step filler_step = { .count = 6,
                                       .demand = { 2000, 3000, 0 },
                                       .est_ms = 2000,
                                       .filler = true,
                                       .checkpointable = true };
  struct sim *sim = sim_create (seed, &no_faults);
  struct interference_result interference_result = { 0, 0, 0 };

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
  for (int i = 0; i < FILLER_JOBS; i++)
    {
      filler_step.image[0] = (char)('2' + i % 2);
      sim_submit (sim, "batch", &filler_step, 1);
      sim_run (sim, gap_ms);
      if (takeovers > 0 && i % (FILLER_JOBS / (takeovers + 1)) == 1)
        sim_take_over (sim);
    }
  sim_run (sim, 40000);
  for (int i = 0; i < FILLER_JOBS; i++)
    interference_result.done += sim_job_time (sim, i + SERVING_JOBS) >= 0;
  interference_result.longest_over_target_ms = sim_longest_over_target (sim);
  interference_result.over_target_ms = sim_time_over_target (sim);
  CU_ASSERT_PTR_NULL (sim_violation (sim));
  sim_destroy (sim);
  return interference_result;
}

/* Maximum uninterrupted time for which fillers may keep a serving task over
   its target: the platform's bound violation_ms. */
#define VIOLATION_MS 4000

/* A new owner must keep the interference model of the earlier one; otherwise
   fillers slow down serving tasks again after each takeover. */
static void
test_takeovers_beside_serving_tasks (void)
{
  static const sim_factors pairs = { { 0, 0, 4, 0 }, { 0, 0, 0, 4 } };
  struct interference_result baseline
      = run_with_fillers (7, &pairs, true, 300);
  struct interference_result with_takeovers;

  takeovers = 3;
  with_takeovers = run_with_fillers (7, &pairs, true, 300);
  takeovers = 0;
  CU_ASSERT (with_takeovers.longest_over_target_ms < VIOLATION_MS);
  CU_ASSERT_EQUAL (with_takeovers.done, FILLER_JOBS);
  /* One second more for each takeover, on all twelve workers. */
  CU_ASSERT (with_takeovers.over_target_ms
             <= baseline.over_target_ms + INT64_C (3000) * SIM_WORKERS);
}

/* If each filler image slows down only one of the serving images, all filler
   jobs must be done. */
static void
test_fillers_beside_serving_tasks (void)
{
  static const sim_factors pairs = { { 0, 0, 4, 0 }, { 0, 0, 0, 4 } };

  for (unsigned long seed = 1; seed <= 5; seed++)
    {
      struct interference_result interference_result
          = run_with_fillers (seed, &pairs, true, 500);

      CU_ASSERT (interference_result.longest_over_target_ms < VIOLATION_MS);
      CU_ASSERT_EQUAL (interference_result.done, FILLER_JOBS);
    }
}

/* If a filler image slows down all serving tasks, pacing must limit the time
   for which they are over their target. */
static void
test_fillers_that_slow_down_all (void)
{
  static const sim_factors pairs = { { 0, 0, 4, 3 }, { 0, 0, 0, 4 } };

  for (unsigned long seed = 1; seed <= 5; seed++)
    {
      struct interference_result paced
          = run_with_fillers (seed, &pairs, true, 500);
      struct interference_result unpaced
          = run_with_fillers (seed, &pairs, false, 500);

      CU_ASSERT (paced.longest_over_target_ms < VIOLATION_MS);
      CU_ASSERT (paced.over_target_ms < unpaced.over_target_ms);
    }
}

/* Many fillers at once, each with a factor below what counts as harmful: a
   serving task is over its target although no image is known to slow it
   down. */
static void
test_many_with_little_interference (void)
{
  static const sim_factors pairs = { { 0, 0, 0.7, 0.7 }, { 0, 0, 0.7, 0.7 } };

  for (unsigned long seed = 1; seed <= 5; seed++)
    CU_ASSERT (
        run_with_fillers (seed, &pairs, true, 180).longest_over_target_ms
        < VIOLATION_MS);
}

/* Large fillers must not wait forever while most of the capacity is free, even
   if every worker has a serving task that they slow down: while less than half
   of the capacity is in use, a job may be without a running task for 3 s at
   most. */
static void
test_large_fillers_and_free_capacity (void)
{
  static const sim_factors pairs = { { 0, 0, 5, 0 } };
  static const struct kq_sched_step serving = { .count = SIM_WORKERS,
                                                .demand = { 4000, 4000, 0 },
                                                .est_ms = 1000,
                                                .max_per_worker = 1,
                                                .long_running = true,
                                                .tail_target_ms = 50,
                                                .image = "0" };
  static const struct kq_sched_step large = { .count = 1,
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
        sim_submit (sim, "batch", &large, 1);
      sim_run (sim, 60000);
      for (int i = 1; i <= SIM_WORKERS; i++)
        CU_ASSERT (sim_job_time (sim, i) >= 0);
      CU_ASSERT (sim_longest_over_target (sim) < VIOLATION_MS);
      CU_ASSERT_PTR_NULL (sim_violation (sim));
      sim_destroy (sim);
    }
}

/* The platform's bound on the time without a run: 6 s, in which leases lapse,
   and 3 s to start again. */
#define MAX_DOWN_MS 9000

/* A long-running task must go on within seconds after its worker is lost,
   although shorter tasks of its priority take all capacity as it comes free,
   each in pieces that are too small for it. */
static void
test_long_running_task_in_full_cell (void)
{
  static const struct kq_sched_step lasting = { .count = 11,
                                                .demand = { 9000, 4000, 0 },
                                                .est_ms = 1000,
                                                .long_running = true };
  static const struct kq_sched_step quick
      = { .count = 8, .demand = { 1500, 1000, 0 }, .est_ms = 640 };
  static const struct kq_sched_step slow
      = { .count = 4, .demand = { 1500, 1000, 0 }, .est_ms = 6000 };
  struct sim *sim = sim_create (1, &no_faults);

  sim_run (sim, 2000);
  sim_submit (sim, "urgent", &lasting, 1);
  sim_run (sim, 2000);
  for (int i = 0; i < 120; i++)
    {
      sim_submit (sim, "urgent", &quick, 1);
      if (i % 2 == 0)
        sim_submit (sim, "urgent", &slow, 1);
      if (i == 30)
        sim_lose_worker (sim, 3);
      sim_run (sim, 160);
    }
  CU_ASSERT (sim_longest_down (sim) > 0);
  CU_ASSERT (sim_longest_down (sim) <= MAX_DOWN_MS);
  CU_ASSERT_PTR_NULL (sim_violation (sim));
  sim_destroy (sim);
}

/* Long-running jobs come until nothing is free, beside a steady stream of
   short urgent jobs: the room that those have needed must be left to them. */
static void
test_long_running_jobs_beside_a_stream (void)
{
  static const struct kq_sched_step lasting = { .count = 4,
                                                .demand = { 3000, 2000, 0 },
                                                .est_ms = 1000,
                                                .long_running = true };
  static const struct kq_sched_step quick
      = { .count = 2, .demand = { 4000, 1000, 0 }, .est_ms = 640 };
  struct sim *sim = sim_create (1, &no_faults);
  int jobs[64];
  int count = 0;
  int in_time = 0;

  sim_run (sim, 2000);
  for (int i = 0; i < 64; i++)
    {
      jobs[count++] = sim_submit (sim, "urgent", &quick, 1);
      if (i > 8)
        sim_submit (sim, "urgent", &lasting, 1);
      sim_run (sim, 400);
    }
  sim_run (sim, 4000);
  for (int i = 0; i < count; i++)
    in_time += sim_job_time (sim, jobs[i]) >= 0
               && sim_job_time (sim, jobs[i]) <= 2280;
  CU_ASSERT (in_time >= count * 9 / 10);
  CU_ASSERT_PTR_NULL (sim_violation (sim));
  sim_destroy (sim);
}

static const struct kq_test tests[] = {
  { "large fillers and free capacity", test_large_fillers_and_free_capacity },
  { "fillers beside serving tasks", test_fillers_beside_serving_tasks },
  { "takeovers beside serving tasks", test_takeovers_beside_serving_tasks },
  { "fillers that slow down all serving tasks",
    test_fillers_that_slow_down_all },
  { "many fillers with little interference each",
    test_many_with_little_interference },
  { "a long-running task in a full cell",
    test_long_running_task_in_full_cell },
  { "long-running jobs beside a stream of short ones",
    test_long_running_jobs_beside_a_stream },
  { "random faults", test_random_faults },
  { "a burst of wide jobs", test_burst_of_wide_jobs },
  { "capacity of cancelled jobs", test_capacity_of_cancelled_jobs },
};

int
main (int argc, char **argv)
{
  char text[160];

  if (argc == 4 && strcmp (argv[1], "soak") == 0)
    {
      const char *violation = run_seed (strtoul (argv[2], NULL, 10),
                                        atoi (argv[3]), text, sizeof text);

      printf ("sim: seed %s, %s s, %s\n", argv[2], argv[3],
              violation != NULL ? violation : "violations 0");
      return violation != NULL;
    }
  return kq_test_main ("test-sim", tests,
                       (int)(sizeof tests / sizeof tests[0]));
}

/* Guards against starving the jobs with the largest tasks in a cell that
 * long-running jobs have filled: small tasks found room in each worker's rest,
 * and of the large ones, which need more than such a rest, none was served.
 */
#include "t/kqtest.h"
#include "t/lib-sim.h"

#define SHORT_JOBS 100

/* Every tenth short job has a large task. */
#define LARGE_EVERY 10

#define SUBMIT_INTERVAL_MS 400
#define LENGTH_MS 640

/* A job is served within three times its objective: in the simulation twice
   its length and one second more. */
#define SERVED_MS (INT64_C (3) * (2 * LENGTH_MS + 1000))

static const struct sim_faults no_faults;

/* Four of these leave 3 of a worker's 16 cores. */
static const struct kq_sched_step lasting = {
  .count = 4, .demand = { 3250, 2000, 0 }, .est_ms = 1000, .long_running = true
};
static const struct kq_sched_step small
    = { .count = 2, .demand = { 2000, 1000, 0 }, .est_ms = LENGTH_MS };
static const struct kq_sched_step large
    = { .count = 1, .demand = { 4000, 1000, 0 }, .est_ms = LENGTH_MS };

struct served
{
  int all;   /* of the SHORT_JOBS short jobs */
  int large; /* of the SHORT_JOBS / LARGE_EVERY large ones */
};

/* Runs short jobs at less than a twentieth of the cell's CPU, after eight
   long-running jobs that take half of it. If FILLS, long-running jobs go on
   coming until no worker has room for another. */
static struct served
run_short_jobs (unsigned long seed, bool fills)
{
  struct sim *sim = sim_create (seed, &no_faults);
  struct served served = { 0, 0 };
  int jobs[SHORT_JOBS];

  sim_run (sim, 2000);
  for (int i = 0; i < 8; i++)
    sim_submit (sim, "urgent", &lasting, 1);
  sim_run (sim, 2000);
  for (int i = 0; i < SHORT_JOBS; i++)
    {
      bool is_large = i % LARGE_EVERY == LARGE_EVERY - 1;

      jobs[i] = sim_submit (sim, "urgent", is_large ? &large : &small, 1);
      if (fills && i % 4 == 0)
        sim_submit (sim, "urgent", &lasting, 1);
      sim_run (sim, SUBMIT_INTERVAL_MS);
    }
  sim_run (sim, SERVED_MS);
  for (int i = 0; i < SHORT_JOBS; i++)
    {
      int64_t time = sim_job_time (sim, jobs[i]);
      bool is_served = time >= 0 && time <= SERVED_MS;

      served.all += is_served;
      served.large += is_served && i % LARGE_EVERY == LARGE_EVERY - 1;
    }
  CU_ASSERT_PTR_NULL (sim_violation (sim));
  sim_destroy (sim);
  return served;
}

/* The platform's bound: the largest tenth is served at least half as often as
   all jobs of the kind. */
static void
check_served (unsigned long seed, bool fills)
{
  struct served served = run_short_jobs (seed, fills);

  if (2 * served.large * LARGE_EVERY < served.all)
    printf ("seed %lu: of %d large jobs %d were served, of all %d %d\n", seed,
            SHORT_JOBS / LARGE_EVERY, served.large, SHORT_JOBS, served.all);
  CU_ASSERT (served.all >= SHORT_JOBS * 9 / 10);
  CU_ASSERT (2 * served.large * LARGE_EVERY >= served.all);
}

/* While long-running jobs take only half of the cell, large tasks must find
   room. */
static void
test_large_tasks_in_half_full_cell (void)
{
  for (unsigned long seed = 1; seed <= 5; seed++)
    check_served (seed, false);
}

/* What is kept free of long-running tasks must suit the large tasks too. */
static void
test_large_tasks_in_full_cell (void)
{
  for (unsigned long seed = 1; seed <= 5; seed++)
    check_served (seed, true);
}

static const struct kq_test tests[] = {
  { "large tasks in a half full cell", test_large_tasks_in_half_full_cell },
  { "large tasks in a full cell", test_large_tasks_in_full_cell },
};

KQ_TEST_MAIN ("test-large-tasks", tests)

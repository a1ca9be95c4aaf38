/* Guards against starving the jobs with the largest tasks in a cell with
 * little room: small tasks of the same priority took each piece that came
 * free, and of the large ones, which need more than such a piece, few were
 * served.
 */
#include "t/kqtest.h"
#include "t/lib-sim.h"

#define SHORT_JOBS 100

/* Every tenth short job has a large task. */
#define LARGE_EVERY 10

#define LENGTH_MS 640

/* A job is served within three times its objective: in the simulation twice
   its length and one second more. */
#define SERVED_MS (INT64_C (3) * (2 * LENGTH_MS + 1000))

static const struct sim_faults no_faults;

/* Four of these leave 3 of a worker's 16 cores. */
static const struct kq_sched_step lasting = {
  .count = 4, .demand = { 3250, 2000, 0 }, .est_ms = 1000, .long_running = true
};

struct load
{
  int long_running_jobs; /* submitted before the short jobs */
  bool fills;            /* and on and on, until no worker has room for more */
  int interval_ms;       /* between short jobs */
  int min_served;        /* of all short jobs */
  struct kq_sched_step small;
  struct kq_sched_step large;
};

struct served
{
  int all;   /* of the SHORT_JOBS short jobs */
  int large; /* of the SHORT_JOBS / LARGE_EVERY large ones */
};

static struct served
run_short_jobs (unsigned long seed, const struct load *load)
{
  struct sim *sim = sim_create (seed, &no_faults);
  struct served served = { 0, 0 };
  int jobs[SHORT_JOBS];

  sim_run (sim, 2000);
  for (int i = 0; i < load->long_running_jobs; i++)
    sim_submit (sim, "urgent", &lasting, 1);
  sim_run (sim, 2000);
  for (int i = 0; i < SHORT_JOBS; i++)
    {
      bool is_large = i % LARGE_EVERY == LARGE_EVERY - 1;

      jobs[i] = sim_submit (sim, "urgent",
                            is_large ? &load->large : &load->small, 1);
      if (load->fills && i % 4 == 0)
        sim_submit (sim, "urgent", &lasting, 1);
      sim_run (sim, load->interval_ms);
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
check_served (const struct load *load)
{
  for (unsigned long seed = 1; seed <= 5; seed++)
    {
      struct served served = run_short_jobs (seed, load);

      if (2 * served.large * LARGE_EVERY < served.all)
        printf ("seed %lu: of %d large jobs %d were served, of all %d %d\n",
                seed, SHORT_JOBS / LARGE_EVERY, served.large, SHORT_JOBS,
                served.all);
      CU_ASSERT (served.all >= load->min_served);
      CU_ASSERT (2 * served.large * LARGE_EVERY >= served.all);
    }
}

/* While long-running jobs take only half of the cell, large tasks must find
   room. */
static void
test_large_tasks_in_half_full_cell (void)
{
  static const struct load load = {
    .long_running_jobs = 8,
    .interval_ms = 400,
    .min_served = 90,
    .small = { .count = 2, .demand = { 2000, 1000, 0 }, .est_ms = LENGTH_MS },
    .large = { .count = 1, .demand = { 4000, 1000, 0 }, .est_ms = LENGTH_MS }
  };

  check_served (&load);
}

/* Short tasks need 3 % of the cell: what is kept free of long-running tasks
   must suit the large tasks too. */
static void
test_large_tasks_in_full_cell (void)
{
  static const struct load load = {
    .long_running_jobs = 8,
    .fills = true,
    .interval_ms = 400,
    .min_served = 90,
    .small = { .count = 2, .demand = { 2000, 1000, 0 }, .est_ms = LENGTH_MS },
    .large = { .count = 1, .demand = { 4000, 1000, 0 }, .est_ms = LENGTH_MS }
  };

  check_served (&load);
}

/* More short tasks come than the room beside eleven long-running jobs can
   take: the lack must not hit the large ones alone. Both kinds of job have
   about the same work. */
static void
test_large_tasks_among_too_many (void)
{
  static const struct load load = {
    .long_running_jobs = 11,
    .interval_ms = 200,
    .min_served = 60,
    .small = { .count = 8, .demand = { 2000, 1000, 0 }, .est_ms = LENGTH_MS },
    .large = { .count = 3, .demand = { 5000, 1000, 0 }, .est_ms = LENGTH_MS }
  };

  check_served (&load);
}

static const struct kq_test tests[] = {
  { "large tasks in a half full cell", test_large_tasks_in_half_full_cell },
  { "large tasks in a full cell", test_large_tasks_in_full_cell },
  { "large tasks among too many small ones", test_large_tasks_among_too_many },
};

KQ_TEST_MAIN ("test-large-tasks", tests)

/* Tests waits for room in a rack: of tasks whose data is there, and of groups
 * whose tasks should share one.
 */
#include <string.h>

#include "sched/internal.h"
#include "t/kqtest.h"
#include "t/lib-sim-internal.h"

/* Racks of 3 workers with 16 cores each. */
#define PER_RACK 3
#define RACKS (SIM_WORKERS / PER_RACK)
#define SLOTS 12 /* tasks of 4 cores that a rack has room for */

static const struct sim_faults no_faults;
static struct kq_sched_counts counts;

static struct kq_sched_step
step_near (const char *rack, int count, int64_t est_ms)
{
  struct kq_sched_step step
      = { .count = count, .demand = { 4000, 1000, 0 }, .est_ms = est_ms };

  snprintf (step.rack, sizeof step.rack, "%s", rack);
  return step;
}

/* Submits COUNT single tasks of EST_MS for each of the first RACK_COUNT racks,
   one every INTERVAL_MS. */
static void
fill (struct sim *sim, int rack_count, int count, int64_t est_ms,
      int64_t interval_ms)
{
  static const char *const racks[] = { "r0", "r1", "r2", "r3" };

  for (int i = 0; i < count; i++)
    {
      for (int j = 0; j < rack_count; j++)
        {
          struct kq_sched_step step = step_near (racks[j], 1, est_ms);

          sim_submit (sim, "batch", &step, 1);
        }
      sim_run (sim, interval_ms);
    }
}

/* Lets the scheduler see ends in all racks. */
static struct sim *
create_trained (unsigned long seed, double remote_factor)
{
  struct sim *sim = sim_create (seed, &no_faults);

  sim_set_racks (sim, PER_RACK, remote_factor, true);
  sim_run (sim, 1000);
  fill (sim, RACKS, SLOTS, 700, 60);
  sim_run (sim, 3000);
  sim_count (sim, &counts);
  CU_ASSERT_EQUAL (counts.rack_waits, 0);
  CU_ASSERT_EQUAL (counts.far_runs, 0);
  return sim;
}

static void
check_counts (struct sim *sim)
{
  sim_count (sim, &counts);
  CU_ASSERT_EQUAL (counts.rack_waits, counts.rack_waits_paid
                                          + counts.rack_waits_lost
                                          + counts.rack_waiting);
}

static void
stop (struct sim *sim)
{
  check_counts (sim);
  CU_ASSERT_PTR_NULL (sim_violation (sim));
  sim_destroy (sim);
}

/* A task must not take twice as long elsewhere if its rack has room soon. */
static void
test_emptying_soon (void)
{
  struct sim *sim = create_trained (1, 2);
  struct kq_sched_step step = step_near ("r0", 1, 1000);
  int job;

  fill (sim, 1, SLOTS, 800, 60);
  job = sim_submit (sim, "batch", &step, 1);
  sim_run (sim, 100);
  check_counts (sim);
  CU_ASSERT_EQUAL (counts.rack_waiting, 1);
  sim_run (sim, 3000);
  check_counts (sim);
  CU_ASSERT_EQUAL (counts.rack_waits, 1);
  CU_ASSERT_EQUAL (counts.rack_waits_paid, 1);
  CU_ASSERT_EQUAL (counts.far_runs, 0);
  CU_ASSERT (sim_job_time (sim, job) < 1600);
  stop (sim);
}

/* A wait that did not pay off must not be followed by another one. */
static void
test_one_wait (void)
{
  struct sim *sim = create_trained (1, 2);
  struct kq_sched_step step = step_near ("r0", 1, 1000);
  int job;

  fill (sim, 1, SLOTS, 800, 60);
  job = sim_submit (sim, "batch", &step, 1);
  job_find (sim->sched, sim->jobs[job].id)->stages[0].tasks[0].wait_over
      = true;
  sim_run (sim, 3000);
  check_counts (sim);
  CU_ASSERT_EQUAL (counts.rack_waits, 0);
  CU_ASSERT_EQUAL (counts.far_runs, 1);
  stop (sim);
}

/* A task that finds no room anywhere does not wait for its rack by choice, and
   must go on to hold back what is less urgent. */
static void
test_full_cell (void)
{
  struct sim *sim = create_trained (1, 2);
  struct kq_sched_step step = step_near ("r0", 1, 1000);
  int job;

  fill (sim, RACKS, SLOTS, 800, 60);
  job = sim_submit (sim, "urgent", &step, 1);
  sim_run (sim, 40);
  check_counts (sim);
  CU_ASSERT_EQUAL (counts.rack_waits, 0);
  sim_run (sim, 4000);
  CU_ASSERT (sim_job_time (sim, job) > 0);
  stop (sim);
}

/* Of many tasks for a full rack only those may wait that find room before they
   would have been better off elsewhere. */
static void
test_tasks_ahead (void)
{
  struct sim *sim = create_trained (1, 2);
  struct kq_sched_step step = step_near ("r0", 20, 700);

  fill (sim, 1, SLOTS, 800, 60);
  sim_submit (sim, "batch", &step, 1);
  sim_run (sim, 40);
  check_counts (sim);
  CU_ASSERT (counts.rack_waiting >= 2 && counts.rack_waiting <= 12);
  CU_ASSERT_EQUAL (counts.far_runs, 20 - counts.rack_waiting);
  sim_run (sim, 5000);
  stop (sim);
}

/* Ends that were frequent must not keep a task waiting once long tasks hold
   the rack; nor may it wait longer than it gains. */
static void
test_full_for_long (void)
{
  struct sim *sim = create_trained (1, 2);
  struct kq_sched_step step = step_near ("r0", 1, 600);
  int job;

  fill (sim, 1, SLOTS, 9000, 60);
  sim_run (sim, 2000);
  job = sim_submit (sim, "batch", &step, 1);
  sim_run (sim, 3000);
  check_counts (sim);
  CU_ASSERT_EQUAL (counts.rack_waits, 0);
  CU_ASSERT_EQUAL (counts.far_runs, 1);
  CU_ASSERT (sim_job_time (sim, job) < 1500);
  stop (sim);
}

struct outcome
{
  int late;
  int far;
  int64_t total_ms;
};

/* Runs 300 jobs, more than the cell can serve in time; six tenths of them want
   the data in r0. */
static struct outcome
run_hot_rack (unsigned long seed, bool known)
{
  struct sim *sim = sim_create (seed, &no_faults);
  struct outcome outcome = { 0, 0, 0 };
  int jobs[300];

  sim_set_racks (sim, PER_RACK, 2, known);
  sim_run (sim, 1000);
  for (int i = 0; i < 300; i++)
    {
      int64_t est = 300 + (int64_t)gsl_rng_uniform_int (sim->rng, 700);
      struct kq_sched_step step = step_near (i % 5 < 3 ? "r0" : "", 1, est);

      jobs[i] = sim_submit (sim, "batch", &step, 1);
      if (i % 5 < 3)
        sim_run (sim, 20);
    }
  sim_run (sim, 10000);
  for (int i = 0; i < 300; i++)
    {
      int64_t time = sim_job_time (sim, jobs[i]);

      outcome.late += time > 1000 + 2 * sim->jobs[jobs[i]].step.est_ms;
      outcome.total_ms += time;
    }
  outcome.far = sim_far_starts (sim);
  check_counts (sim);
  CU_ASSERT_EQUAL (counts.far_runs, known ? outcome.far : 0);
  CU_ASSERT_EQUAL (counts.rack_waiting, 0);
  CU_ASSERT_EQUAL (counts.rack_waits > 0, known);
  CU_ASSERT (2 * counts.rack_waits_paid >= counts.rack_waits);
  stop (sim);
  return outcome;
}

/* Waits must bring more tasks to their data and queue none beyond what would
   be in time elsewhere. */
static void
test_hot_rack (void)
{
  for (unsigned long seed = 1; seed <= 5; seed++)
    {
      struct outcome with = run_hot_rack (seed, true);
      struct outcome without = run_hot_rack (seed, false);

      CU_ASSERT (with.far < without.far);
      CU_ASSERT (with.late < without.late);
      CU_ASSERT (with.total_ms < without.total_ms);
    }
}

/* Two thirds of each rack are taken by short tasks. */
static struct sim *
create_with_busy_racks (void)
{
  struct sim *sim = create_trained (1, 2);

  fill (sim, RACKS, 16, 700, 80);
  return sim;
}

/* A group must not be spread over racks if one of them has room for all of it
   soon. */
static void
test_group (void)
{
  for (int gang = 0; gang <= 1; gang++)
    {
      struct sim *sim = create_with_busy_racks ();
      struct kq_sched_step step = step_near ("", 5, 1500);
      int job;

      step.same_rack = true;
      step.gang = gang;
      job = sim_submit (sim, "batch", &step, 1);
      sim_run (sim, 5000);
      check_counts (sim);
      CU_ASSERT (counts.rack_waits > 0);
      CU_ASSERT_EQUAL (counts.rack_waits_paid, counts.rack_waits);
      CU_ASSERT_EQUAL (counts.far_runs, 0);
      CU_ASSERT (sim_job_time (sim, job) < 2800);
      stop (sim);
    }
}

/* Nothing is gained by a wait if no rack will ever have room for the group. */
static void
test_group_wider_than_racks (void)
{
  for (int gang = 0; gang <= 1; gang++)
    {
      struct sim *sim = create_with_busy_racks ();
      struct kq_sched_step step = step_near ("", SLOTS + 1, 1000);
      int job;

      step.same_rack = true;
      step.gang = gang;
      job = sim_submit (sim, "batch", &step, 1);
      sim_run (sim, 4000);
      check_counts (sim);
      CU_ASSERT_EQUAL (counts.rack_waits, 0);
      CU_ASSERT (counts.far_runs > 0);
      CU_ASSERT (sim_job_time (sim, job) < 2400);
      stop (sim);
    }
}

/* A successor has no figures: what waits must start at once, and what comes
   must not wait. */
static void
test_takeover (void)
{
  struct sim *sim = create_trained (1, 2);
  struct kq_sched_step step = step_near ("r0", 1, 1000);
  int jobs[2];

  fill (sim, 1, SLOTS, 1500, 60);
  jobs[0] = sim_submit (sim, "batch", &step, 1);
  sim_run (sim, 100);
  check_counts (sim);
  CU_ASSERT_EQUAL (counts.rack_waiting, 1);
  sim_take_over (sim);
  sim_run (sim, 200);
  jobs[1] = sim_submit (sim, "batch", &step, 1);
  sim_run (sim, 4000);
  check_counts (sim);
  CU_ASSERT_EQUAL (counts.rack_waits, 0);
  CU_ASSERT_EQUAL (counts.far_runs, 2);
  CU_ASSERT (sim_job_time (sim, jobs[0]) < 2800);
  CU_ASSERT (sim_job_time (sim, jobs[1]) < 2800);
  stop (sim);
}

/* A job that is cancelled while it waits must not be counted as waiting for
   ever. */
static void
test_cancel (void)
{
  struct sim *sim = create_trained (1, 2);
  struct kq_sched_step step = step_near ("r0", 1, 1000);
  int job;

  fill (sim, 1, SLOTS, 800, 60);
  job = sim_submit (sim, "batch", &step, 1);
  sim_run (sim, 60);
  sim_cancel (sim, job);
  sim_run (sim, 1000);
  check_counts (sim);
  CU_ASSERT_EQUAL (counts.rack_waiting, 0);
  CU_ASSERT_EQUAL (counts.rack_waits_lost, 1);
  stop (sim);
}

/* Runs a load of single tasks and groups with faults; returns a hash of the
   starts. RACKED: they name racks. */
static uint64_t
hash_choices (unsigned long seed, double remote_factor, bool racked)
{
  const struct sim_faults faults = { .lose_reply = 0.01,
                                     .task_fails = 0.02,
                                     .worker_crash = 0.1,
                                     .takeover = 0.05 };
  struct sim *sim = sim_create (seed, &faults);
  uint64_t hash;

  sim_set_racks (sim, PER_RACK, remote_factor > 0 ? remote_factor : 1,
                 remote_factor > 0);
  sim_run (sim, 1000);
  for (int i = 0; i < 250; i++)
    {
      struct kq_sched_step step
          = step_near (racked && i % 5 < 3 ? "r0" : "", 1 + i % 4, 500);

      step.same_rack = racked && i % 7 == 0;
      step.gang = i % 11 == 0;
      step.filler = i % 13 == 0;
      step.long_running = i % 50 == 0;
      sim_submit (sim, i % 3 == 0 ? "urgent" : "batch", &step,
                  step.gang ? 1 : 1 + i % 2);
      sim_run (sim, 60);
    }
  hash = sim_start_hash (sim);
  sim_stop_faults (sim);
  sim_run (sim, 60000);
  for (int i = 0; i < 250; i++)
    {
      int state = sim_state (sim, i);

      CU_ASSERT ((state != KQ_SCHED_QUEUED && state != KQ_SCHED_ACTIVE)
                 || i % 50 == 0);
    }
  sim_count (sim, &counts);
  CU_ASSERT_EQUAL (counts.rack_waiting, 0);
  stop (sim);
  return hash;
}

/* Losses of replies, workers and owners must not leave a task waiting, start
   one twice or upset the counts. */
static void
test_faults (void)
{
  for (unsigned long seed = 1; seed <= 10; seed++)
    hash_choices (seed, 2, true);
}

/* Without a difference between racks, or without steps that name one, each
   choice must be the same as if there were no waits. */
static void
test_unaffected_choices (void)
{
  for (unsigned long seed = 1; seed <= 3; seed++)
    {
      CU_ASSERT_EQUAL (hash_choices (seed, 1, true),
                       hash_choices (seed, 0, true));
      CU_ASSERT_EQUAL (hash_choices (seed, 2, false),
                       hash_choices (seed, 0, false));
    }
}

/* Runs off their rack must not make the queue's jobs look longer. */
static void
test_learned_length (void)
{
  struct sim *sim = create_trained (1, 3);
  struct kq_sched_step step = step_near ("r0", 1, 1000);
  int64_t length;

  fill (sim, 1, SLOTS, 29000, 60);
  sim_run (sim, 2000);
  for (int i = 0; i < 40; i++)
    {
      sim_submit (sim, "urgent", &step, 1);
      sim_run (sim, 300);
    }
  sim_run (sim, 4000);
  CU_ASSERT_EQUAL (sim_far_starts (sim), 40);
  CU_ASSERT_STRING_EQUAL (sim->sched->lengths->queue, "urgent");
  length = kq_length_estimate (&sim->sched->lengths->length, 1000);
  CU_ASSERT (length > 900 && length < 1100);
  stop (sim);
}

/* A step whose rack has no worker takes longer: it must be known to be late in
   time to give way to what is not. */
static void
test_missing_rack (void)
{
  static const struct
  {
    const char *rack;
    int64_t path_ms;
  } cases[] = { { "", 1000 }, { "r1", 1000 }, { "r9", 3000 } };
  struct sim *sim = create_trained (1, 3);

  for (int i = 0; i < 3; i++)
    {
      struct kq_sched_step step = step_near (cases[i].rack, 1, 500);
      int number = sim_submit (sim, "urgent", &step, 2);
      const struct job *job = job_find (sim->sched, sim->jobs[number].id);

      CU_ASSERT_EQUAL (rack_critical_path_ms (sim->sched, &job->stages[0]),
                       cases[i].path_ms);
    }
  sim_run (sim, 4000);
  stop (sim);
}

/* Too few ends, and ends that free nothing of what is needed, must not be
   taken for an expectation. */
static void
test_expectation (void)
{
  struct kq_near_ends ends = { .weight = 0 };
  struct kq_near_need need = { .missing = { 4000, 0, 0 }, .places = 3 };
  const struct kq_sched_demand freed = { 4000, 1000, 0 };
  const struct kq_near_running running = { 10, 10 * kq_near_rate (500) };
  const struct kq_near_running none = { 0, 0 };
  struct kq_near_wait wait;
  kq_usec now = 0;

  for (int i = 0; i < 10; i++)
    {
      CU_ASSERT_FALSE (kq_near_expect (&ends, &need, now, &wait));
      kq_near_set_running (&ends, &running, now);
      now += 100 * KQ_USEC_PER_MSEC;
      kq_near_note_end (&ends, &freed, now);
    }
  kq_near_set_running (&ends, &running, now);
  CU_ASSERT (kq_near_expect (&ends, &need, now, &wait));
  CU_ASSERT (wait.expected > 99000 && wait.expected < 101000);
  need.ahead.cpu = 8000;
  CU_ASSERT (kq_near_expect (&ends, &need, now, &wait));
  CU_ASSERT (wait.expected > 299000 && wait.expected < 301000);
  need.missing.cpu = 8000;
  CU_ASSERT (kq_near_expect (&ends, &need, now, &wait));
  CU_ASSERT (wait.expected > 599000 && wait.expected < 601000);
  need.missing.gpu = 1;
  CU_ASSERT_FALSE (kq_near_expect (&ends, &need, now, &wait));
  need.missing.gpu = 0;
  kq_near_set_running (&ends, &none, now);
  CU_ASSERT_FALSE (kq_near_expect (&ends, &need, now, &wait));
}

/* A wait ends before its gain or its slack is used up. A task that would be
   late elsewhere in any case has the slack of a start near. */
static void
test_limits (void)
{
  const struct kq_near_wait wait = { 200000, 100000 };
  static const struct
  {
    struct kq_near_task task;
    bool pays;
  } cases[] = { { { 500, 2, 1000, 0, false }, true },
                { { 500, 2, 550, 0, false }, false },
                { { 500, 2, 550, 0, true }, true },
                { { 500, 2, 1000, 420000, true }, false },
                { { 500, 2, 180, 0, true }, false },
                { { 500, 2, -10, 0, true }, true },
                { { 500, 2, -150, 0, true }, false },
                { { 500, 2, -600, 0, true }, false },
                { { 500, 1, 1000, 0, true }, false },
                { { 150, 2, 9000, 0, true }, false } };

  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    CU_ASSERT_EQUAL (kq_near_pays (&cases[i].task, &wait), cases[i].pays);
}

static const struct kq_test tests[] = {
  { "expectation", test_expectation },
  { "limits of a wait", test_limits },
  { "rack full and emptying soon", test_emptying_soon },
  { "one wait", test_one_wait },
  { "full cell", test_full_cell },
  { "tasks ahead", test_tasks_ahead },
  { "rack full for long", test_full_for_long },
  { "hot rack", test_hot_rack },
  { "group", test_group },
  { "group wider than any rack", test_group_wider_than_racks },
  { "owner lost, no figures", test_takeover },
  { "cancel", test_cancel },
  { "unaffected choices", test_unaffected_choices },
  { "faults", test_faults },
  { "learned length", test_learned_length },
  { "rack without workers", test_missing_rack },
};

KQ_TEST_MAIN ("test-near", tests)

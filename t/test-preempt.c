/* Preemption for urgent work, in virtual time. Guards against urgent narrow
 * jobs that are late behind a burst of wide batch tasks, and against stops of
 * tasks that help nobody or cost too much.
 */
#include <string.h>

#include "sched/preempt.h"
#include "t/kqtest.h"
#include "t/lib-sched.h"
#include "t/lib-sim-internal.h"

/* The cell of the simulation has 12 workers of 16 cores; a task of a burst
   takes a quarter of a worker. */
#define CELL_TASKS 48

/* In the simulation an objective is twice the length and one second more. */
#define LENGTH_MS 640
#define OBJECTIVE_MS (2 * LENGTH_MS + 1000)

/* Two percent of 192 cores over 10 s, in millionths of a core-second. */
#define BUDGET INT64_C (38400000)

static const struct sim_faults no_faults;

static const struct kq_sched_step burst = { .count = CELL_TASKS,
                                            .demand = { 4000, 2000, 0 },
                                            .est_ms = 20000,
                                            .checkpointable = true };

static const struct kq_sched_step narrow
    = { .count = 2, .demand = { 2000, 1000, 0 }, .est_ms = LENGTH_MS };

static struct kq_sched_counts
counts_of (const struct sim *sim)
{
  struct kq_sched_counts counts;

  kq_sched_count (sim->sched, &counts);
  return counts;
}

/* Starts a cell that tasks like STEP of QUEUE have filled for AFTER_MS. */
static struct sim *
start_full (const char *queue, struct kq_sched_step step, int64_t after_ms)
{
  struct sim *sim = sim_create (1, &no_faults);

  sim_run (sim, 1000);
  sim_submit (sim, queue, &step, 1);
  sim_run (sim, after_ms);
  return sim;
}

static void
stop_sim (struct sim *sim)
{
  CU_ASSERT_PTR_NULL (sim_violation (sim));
  sim_destroy (sim);
}

static int64_t
time_of_urgent_job (struct sim *sim, const struct kq_sched_step *step)
{
  int job = sim_submit (sim, "urgent", step, 1);

  sim_run (sim, 4000);
  return sim_job_time (sim, job);
}

/* Returns how many runs of the job with index JOB were stopped. */
static int
count_stops (const struct sim *sim, int job)
{
  int count = 0;

  for (int w = 0; w < SIM_WORKERS; w++)
    for (int i = 0; i < sim->workers[w].end_count; i++)
      count += sim->workers[w].ends[i].how == KQ_SCHED_STOPPED
               && sim->workers[w].ends[i].run.job == (uint64_t)job + 1;
  return count;
}

static void
test_urgent_job_is_in_time (void)
{
  struct sim *sim = start_full ("batch", burst, 3000);
  int64_t time = time_of_urgent_job (sim, &narrow);

  CU_ASSERT (time >= 0 && time <= OBJECTIVE_MS);
  CU_ASSERT_EQUAL (counts_of (sim).urgent_preemptions, 1);
  CU_ASSERT (counts_of (sim).preempted_work > 0);
  sim_run (sim, 30000);
  CU_ASSERT_EQUAL (sim_state (sim, 0), KQ_SCHED_COMPLETE);
  CU_ASSERT_EQUAL (count_stops (sim, 0), 1);
  stop_sim (sim);
}

/* Guards against stops where they are of no use. */
static void
check_nothing_is_preempted (struct sim *sim, const struct kq_sched_step *step,
                            bool in_time)
{
  int64_t time = time_of_urgent_job (sim, step);

  CU_ASSERT_EQUAL (in_time, time >= 0 && time <= OBJECTIVE_MS);
  CU_ASSERT_EQUAL (counts_of (sim).urgent_preemptions, 0);
  CU_ASSERT_EQUAL (counts_of (sim).preemptions_refused, 0);
  stop_sim (sim);
}

static void
test_nothing_is_preempted_in_vain (void)
{
  struct kq_sched_step step = burst;
  struct kq_sched_step wide = narrow;
  struct kq_sched_settings settings = KQ_SCHED_DEFAULT_SETTINGS;
  struct sim *sim = start_full ("batch", burst, 3000);

  /* There is room. */
  step.count = CELL_TASKS - 1;
  check_nothing_is_preempted (start_full ("batch", step, 3000), &narrow, true);
  /* Tasks end in time, but later than a stop takes. */
  check_nothing_is_preempted (start_full ("batch", burst, 18900), &narrow,
                              true);
  /* No queue of lower priority runs. */
  check_nothing_is_preempted (start_full ("urgent", burst, 3000), &narrow,
                              false);
  check_nothing_is_preempted (start_full ("batch", burst, 3000), &burst,
                              false);
  /* Stops could not make room for all of its tasks. */
  wide.count = 32;
  check_nothing_is_preempted (start_full ("batch", burst, 3000), &wide, false);
  /* After a stop it would be late. */
  settings.stop_ms = 1600;
  kq_sched_set_settings (sim->sched, &settings);
  check_nothing_is_preempted (sim, &narrow, false);
}

static void
test_never_long_running_or_gang (void)
{
  struct kq_sched_step step = burst;

  step.long_running = true;
  check_nothing_is_preempted (start_full ("batch", step, 3000), &narrow,
                              false);
  step = burst;
  step.gang = true;
  check_nothing_is_preempted (start_full ("batch", step, 3000), &narrow,
                              false);
}

/* A task that ends by itself within the time of a stop is left alone, although
   it has a checkpoint and the others have none. */
static void
test_ending_task_is_left_alone (void)
{
  struct kq_sched_step others = burst;
  struct kq_sched_step ending = burst;
  struct kq_sched_step wide = narrow;
  struct sim *sim;

  others.count = CELL_TASKS - 2;
  others.checkpointable = false;
  ending.count = 2;
  ending.est_ms = 2500;
  wide.count = 6;
  sim = start_full ("batch", others, 1000);
  sim_submit (sim, "batch", &ending, 1);
  sim_run (sim, 2100);
  CU_ASSERT (time_of_urgent_job (sim, &wide) <= OBJECTIVE_MS);
  CU_ASSERT_EQUAL (count_stops (sim, 0), 1);
  CU_ASSERT_EQUAL (count_stops (sim, 1), 0);
  stop_sim (sim);
}

/* Room that comes free in time is counted once: of two urgent jobs the second
   needs a stop. */
static void
test_room_counts_once (void)
{
  struct kq_sched_step others = burst;
  struct kq_sched_step ending = burst;
  struct sim *sim;
  int jobs[2];

  others.count = CELL_TASKS - 1;
  ending.count = 1;
  ending.est_ms = 2000;
  sim = start_full ("batch", others, 1000);
  sim_submit (sim, "batch", &ending, 1);
  sim_run (sim, 1000);
  for (int i = 0; i < 2; i++)
    jobs[i] = sim_submit (sim, "urgent", &narrow, 1);
  sim_run (sim, 400);
  CU_ASSERT_EQUAL (counts_of (sim).urgent_preemptions, 1);
  sim_run (sim, 4000);
  for (int i = 0; i < 2; i++)
    CU_ASSERT (sim_job_time (sim, jobs[i]) <= OBJECTIVE_MS);
  CU_ASSERT_EQUAL (counts_of (sim).urgent_preemptions, 1);
  stop_sim (sim);
}

/* Small tasks that began last do not make room for a large one: only the task
   that does is stopped. */
static void
test_no_unneeded_stops (void)
{
  struct kq_sched_step large = burst;
  struct kq_sched_step small = burst;
  struct kq_sched_step urgent = narrow;
  struct sim *sim;

  large.count = SIM_WORKERS * 2;
  large.demand.cpu = 6000;
  small.count = SIM_WORKERS * 4;
  small.demand.cpu = 900;
  urgent.count = 1;
  urgent.demand.cpu = 5000;
  sim = start_full ("batch", large, 1000);
  sim_submit (sim, "batch", &small, 1);
  sim_run (sim, 1000);
  CU_ASSERT (time_of_urgent_job (sim, &urgent) <= OBJECTIVE_MS);
  CU_ASSERT_EQUAL (count_stops (sim, 0), 1);
  CU_ASSERT_EQUAL (count_stops (sim, 1), 0);
  stop_sim (sim);
}

/* Tasks with a checkpoint go first, then those that began last. */
static void
test_least_work_is_lost (void)
{
  struct kq_sched_step others = burst;
  struct kq_sched_step few = burst;
  struct sim *sim;

  for (int i = 0; i < 2; i++)
    {
      others.count = CELL_TASKS - 2;
      others.checkpointable = false;
      few.count = 2;
      few.checkpointable = i == 0;
      sim = start_full ("batch", others, 1500);
      sim_submit (sim, "batch", &few, 1);
      sim_run (sim, 1500);
      time_of_urgent_job (sim, &narrow);
      CU_ASSERT_EQUAL (count_stops (sim, 0), 0);
      CU_ASSERT_EQUAL (count_stops (sim, 1), 1);
      stop_sim (sim);
    }
}

/* Submits an urgent job every INTERVAL_MS for SECONDS; checks that no window
   of 10 s discards more than the budget. */
static void
run_urgent_jobs (struct sim *sim, int seconds, int interval_ms)
{
  int64_t work[1000] = { 0 };

  for (int i = 0; i < seconds * 5; i++)
    {
      if (i * 200 % interval_ms == 0)
        sim_submit (sim, "urgent", &narrow, 1);
      sim_run (sim, 200);
      work[i] = counts_of (sim).preempted_work;
      CU_ASSERT (work[i] - (i < 50 ? 0 : work[i - 50]) <= BUDGET);
    }
}

static void
test_budget_is_kept (void)
{
  struct kq_sched_step step = burst;
  struct sim *sim;

  step.checkpointable = false;
  step.est_ms = 60000;
  sim = start_full ("batch", step, 5000);
  run_urgent_jobs (sim, 30, 400);
  CU_ASSERT (counts_of (sim).urgent_preemptions > 0);
  CU_ASSERT (counts_of (sim).preemptions_refused > 0);
  stop_sim (sim);
}

static void
test_takeover_renews_budget (void)
{
  struct sim *sim = start_full ("batch", burst, 3000);
  struct kq_sched_settings settings = KQ_SCHED_DEFAULT_SETTINGS;
  struct kq_sched_step step = narrow;

  /* Each stop costs 3.6 core-seconds, each job needs four. */
  settings.stop_ms = 900;
  kq_sched_set_settings (sim->sched, &settings);
  step.count = 8;
  for (int i = 0; i < 3; i++)
    sim_submit (sim, "urgent", &step, 1);
  sim_run (sim, 1000);
  CU_ASSERT_EQUAL (counts_of (sim).urgent_preemptions, 8);
  CU_ASSERT (counts_of (sim).preemptions_refused > 0);
  sim_run (sim, 2000);
  sim_take_over (sim);
  kq_sched_set_settings (sim->sched, &settings);
  sim_run (sim, 2000);
  CU_ASSERT_EQUAL (counts_of (sim).urgent_preemptions, 0);
  CU_ASSERT (time_of_urgent_job (sim, &step) <= OBJECTIVE_MS);
  CU_ASSERT_EQUAL (counts_of (sim).urgent_preemptions, 4);
  stop_sim (sim);
}

static void
test_no_task_is_stopped_twice_in_a_row (void)
{
  struct kq_sched_step step = burst;
  struct sim *sim;
  bool stopped[CELL_TASKS][64] = { 0 };
  int count = 0;

  step.est_ms = 60000;
  sim = start_full ("batch", step, 2000);
  run_urgent_jobs (sim, 40, 1600);
  for (int w = 0; w < SIM_WORKERS; w++)
    for (int i = 0; i < sim->workers[w].end_count; i++)
      {
        const struct kq_sched_ended *end = &sim->workers[w].ends[i];

        if (end->run.job == 1 && end->how == KQ_SCHED_STOPPED
            && end->run.run < 64)
          stopped[end->run.index][end->run.run] = true;
      }
  for (int task = 0; task < CELL_TASKS; task++)
    for (int run = 1; run < 64; run++)
      {
        count += stopped[task][run];
        CU_ASSERT_FALSE (stopped[task][run] && stopped[task][run - 1]);
      }
  CU_ASSERT (count > CELL_TASKS / 4);
  stop_sim (sim);
}

static void
test_takeover_resumes_stopped_tasks (void)
{
  struct sim *sim = start_full ("batch", burst, 5000);
  double resumed_at = 0;
  int urgent = sim_submit (sim, "urgent", &narrow, 1);

  sim_run (sim, 400);
  CU_ASSERT_EQUAL (counts_of (sim).urgent_preemptions, 1);
  sim_take_over (sim);
  sim_run (sim, 5000);
  CU_ASSERT (sim_job_time (sim, urgent) >= 0);
  CU_ASSERT_EQUAL (count_stops (sim, 0), 1);
  for (int w = 0; w < SIM_WORKERS; w++)
    for (int i = 0; i < SIM_RUNS; i++)
      if (sim->workers[w].runs[i].used && sim->workers[w].runs[i].run.run == 2)
        resumed_at = sim->workers[w].runs[i].work_ms;
  /* It had worked for nearly 5 s, and has gone on for less than 5 s since. */
  CU_ASSERT (resumed_at > 5000);
  sim_run (sim, 20000);
  CU_ASSERT_EQUAL (sim_state (sim, 0), KQ_SCHED_COMPLETE);
  stop_sim (sim);
}

/* Three workers, each filled by one task. */
struct small_cell
{
  struct ts_cell cell;
  struct ts_order live[3];
};

static void
advance (struct small_cell *small, int ms)
{
  for (int i = 0; i < ms; i += 100)
    {
      int percent = 1 + (int)(small->cell.now.wall_ms / 1000 % 2);

      for (int j = 0; j < 3; j++)
        {
          struct kq_sched_running row = ts_running (&small->live[j], percent);

          ts_reply_poll (&small->cell, small->live[j].worker, &row, 1, NULL,
                         0);
        }
      ts_advance (&small->cell, 100);
    }
}

/* Accepts the last start of task INDEX of JOB, which then runs as number I. */
static void
accept_start (struct small_cell *small, int i, uint64_t job, int index)
{
  const struct ts_order *order
      = ts_last_order (&small->cell, KQ_SCHED_FX_START, job, 0, index);

  CU_ASSERT_PTR_NOT_NULL_FATAL (order);
  if (order == NULL)
    return;
  small->live[i] = *order;
  ts_reply_order (&small->cell, &small->live[i], KQ_SCHED_OK);
}

/* Starts a cell with BATCH tasks of job 1; the others are long-running. */
static void
start_small (struct small_cell *small, int64_t stop_ms, int batch)
{
  static const char *const names[] = { "a", "b", "c" };
  struct kq_sched_settings settings = KQ_SCHED_DEFAULT_SETTINGS;
  struct kq_sched_step step = burst;

  settings.stop_ms = stop_ms;
  ts_start (&small->cell);
  kq_sched_set_settings (small->cell.sched, &settings);
  for (int i = 0; i < 3; i++)
    {
      ts_register_worker (&small->cell, names[i], 4000, 4000);
      ts_reply_poll (&small->cell, names[i], NULL, 0, NULL, 0);
    }
  step.count = batch;
  ts_submit (&small->cell, 1, "batch", &step, 1);
  step.count = 3 - batch;
  step.long_running = true;
  if (batch < 3)
    ts_submit (&small->cell, 99, "batch", &step, 1);
  for (int i = 0; i < 3; i++)
    accept_start (small, i, i < batch ? 1 : 99, i < batch ? i : i - batch);
  advance (small, 1000);
}

static void
submit_urgent (struct small_cell *small, uint64_t job, int count,
               int64_t est_ms)
{
  struct kq_sched_step step = burst;

  step.count = count;
  step.est_ms = est_ms;
  ts_submit (&small->cell, job, "urgent", &step, 1);
}

static void
end_run (struct small_cell *small, int i, int64_t number,
         enum kq_sched_end how)
{
  struct kq_sched_ended end = ts_ended (&small->live[i], number, how);

  ts_reply_poll (&small->cell, small->live[i].worker, NULL, 0, &end, 1);
}

static bool
has_started (const struct small_cell *small, uint64_t job)
{
  return ts_last_order (&small->cell, KQ_SCHED_FX_START, job, 0, 0) != NULL;
}

static int64_t
count_preemptions (const struct small_cell *small)
{
  struct kq_sched_counts counts;

  kq_sched_count (small->cell.sched, &counts);
  return counts.urgent_preemptions;
}

/* Guards against stops on stops while other room comes free as fast. */
static void
test_pause_after_preemption_of_no_use (void)
{
  static struct small_cell small;
  int other;

  start_small (&small, 200, 3);
  submit_urgent (&small, 2, 1, 5000);
  advance (&small, 200);
  CU_ASSERT_EQUAL_FATAL (count_preemptions (&small), 1);
  other = ts_last_order (&small.cell, KQ_SCHED_FX_STOP, 1, 0, 0) != NULL;
  end_run (&small, other, 1, KQ_SCHED_DONE);
  accept_start (&small, other, 2, 0);
  submit_urgent (&small, 3, 2, LENGTH_MS);
  advance (&small, 400);
  CU_ASSERT_EQUAL (count_preemptions (&small), 1);
  advance (&small, 300);
  CU_ASSERT_EQUAL (count_preemptions (&small), 2);
  ts_stop (&small.cell);
}

/* A task that was stopped, and whose next run has ended for another reason, is
   stopped again only 10 s after the first time. */
static void
test_one_stop_in_ten_seconds (void)
{
  static struct small_cell small;

  start_small (&small, 200, 1);
  submit_urgent (&small, 2, 1, 12000);
  advance (&small, 200);
  CU_ASSERT_EQUAL (count_preemptions (&small), 1);
  ts_cancel (&small.cell, 2);
  for (int run = 1; run <= 2; run++)
    {
      end_run (&small, 0, run, KQ_SCHED_STOPPED);
      accept_start (&small, 0, 1, 0);
      CU_ASSERT_EQUAL (small.live[0].run.run, run + 1);
    }
  submit_urgent (&small, 3, 1, 12000);
  advance (&small, 9500);
  CU_ASSERT_EQUAL (count_preemptions (&small), 1);
  advance (&small, 600);
  CU_ASSERT_EQUAL (count_preemptions (&small), 2);
  ts_stop (&small.cell);
}

/* The room that a stop frees goes to the urgent job, not to one that goes
   before it otherwise, and is given up after stop_ms and 300 ms. */
static void
test_freed_room_is_held (void)
{
  static struct small_cell small;

  for (int late = 0; late < 2; late++)
    {
      start_small (&small, 500, 1);
      submit_urgent (&small, 2, 1, 2000);
      advance (&small, 200);
      CU_ASSERT_EQUAL (count_preemptions (&small), 1);
      submit_urgent (&small, 3, 1, 100);
      advance (&small, late ? 800 : 600);
      end_run (&small, 0, 1, KQ_SCHED_STOPPED);
      CU_ASSERT_EQUAL (has_started (&small, 2), !late);
      CU_ASSERT_EQUAL (has_started (&small, 3), late);
      ts_stop (&small.cell);
    }
}

static void
test_budget_of_any_window (void)
{
  struct kq_preempt preempt = { .second = 0 };
  kq_usec now = 100 * KQ_USEC_PER_SEC + 900 * KQ_USEC_PER_MSEC;

  CU_ASSERT (kq_preempt_allows (&preempt, BUDGET, 192000, now));
  CU_ASSERT_FALSE (kq_preempt_allows (&preempt, BUDGET + 1, 192000, now));
  kq_preempt_spend (&preempt, BUDGET, now);
  CU_ASSERT_FALSE (kq_preempt_allows (&preempt, 1, 192000, now));
  now += 9900 * KQ_USEC_PER_MSEC;
  CU_ASSERT_FALSE (kq_preempt_allows (&preempt, 1, 192000, now));
  now += 1000 * KQ_USEC_PER_MSEC;
  CU_ASSERT (kq_preempt_allows (&preempt, BUDGET, 192000, now));
}

static const struct kq_test tests[] = {
  { "an urgent job behind a burst is in time", test_urgent_job_is_in_time },
  { "nothing is preempted in vain", test_nothing_is_preempted_in_vain },
  { "never a long-running task or a gang", test_never_long_running_or_gang },
  { "a task that ends soon is left alone", test_ending_task_is_left_alone },
  { "room that comes free counts once", test_room_counts_once },
  { "no stop that is not needed", test_no_unneeded_stops },
  { "the least work is lost", test_least_work_is_lost },
  { "the budget is kept", test_budget_is_kept },
  { "a takeover renews the budget", test_takeover_renews_budget },
  { "the budget holds in any window", test_budget_of_any_window },
  { "no task is stopped twice in a row",
    test_no_task_is_stopped_twice_in_a_row },
  { "stopped tasks resume after a takeover",
    test_takeover_resumes_stopped_tasks },
  { "pause after a preemption of no use",
    test_pause_after_preemption_of_no_use },
  { "one stop of a task in ten seconds", test_one_stop_in_ten_seconds },
  { "freed room is held for a while", test_freed_room_is_held },
};

KQ_TEST_MAIN ("test-preempt", tests)

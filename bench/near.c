/* Measures waits for the rack of a task's data in a simulated cell: six tenths
   of the jobs want the data of one of four racks. Each seed runs with the
   waits and, as the baseline, with a scheduler that does not know that runs
   off their rack take longer; loads and seeds are the same for both.

   Prints one line per figure: name, value, unit, the value of the baseline,
   and the ratio of the two; values are means over the seeds. Time is virtual,
   so every run prints the same, but for the cost of a decision.  */

#include <gsl/gsl_randist.h>
#include <gsl/gsl_sort.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "log/log.h"
#include "sched/internal.h"
#include "t/lib-sim.h"

#define SEEDS 10
#define WORKERS_PER_RACK 3
#define RUN_MS INT64_C (30000)
#define STEP_MS 20
#define HOT_SHARE 0.6
#define MEDIAN_MS 640
#define SIGMA 0.5

/* The objective of the simulated queues. */
#define SLO_MS 1000
#define STRETCH 2

/* A burst as on the users' platform: 2.3 times the jobs for 6 s. */
#define BURST_FROM_MS 10000
#define BURST_MS 6000
#define BURST_FACTOR 2.3

struct scenario
{
  const char *name;
  double jobs_per_second;
  bool burst;
  bool groups; /* a tenth of the jobs are gangs that should share a rack */
};

struct figures
{
  double p50_ms;
  double p99_ms;
  double in_time; /* share of the jobs */
  double far_runs;
  double slowed;    /* core-seconds more than near the data */
  double discarded; /* core-seconds */
  double waits;
  double paid;
};

static struct kq_sched_step
draw_step (gsl_rng *rng, const struct scenario *scenario)
{
  struct kq_sched_step step = {
    .count = 1 + (int)gsl_rng_uniform_int (rng, 3),
    .demand = { 2000 + 1000 * (int64_t)gsl_rng_uniform_int (rng, 3), 1000, 0 },
    .est_ms = (int64_t)gsl_ran_lognormal (rng, log (MEDIAN_MS), SIGMA) + 1
  };

  if (gsl_rng_uniform (rng) < HOT_SHARE)
    strcpy (step.rack, "r0");
  if (scenario->groups && gsl_rng_uniform (rng) < 0.1)
    {
      step.rack[0] = '\0';
      step.count = 6;
      step.gang = true;
      step.same_rack = true;
    }
  return step;
}

static int
submit_jobs (struct sim *sim, gsl_rng *rng, const struct scenario *scenario,
             int *jobs, int64_t *objectives)
{
  int count = 0;

  for (int64_t at = 0; at < RUN_MS; at += STEP_MS)
    {
      bool is_burst = scenario->burst && at >= BURST_FROM_MS
                      && at < BURST_FROM_MS + BURST_MS;
      double rate = scenario->jobs_per_second * (is_burst ? BURST_FACTOR : 1);
      unsigned arrivals = gsl_ran_poisson (rng, rate * STEP_MS / 1000);

      for (; arrivals > 0 && count < SIM_JOBS; arrivals--)
        {
          struct kq_sched_step step = draw_step (rng, scenario);

          objectives[count] = SLO_MS + STRETCH * step.est_ms;
          jobs[count++] = sim_submit (sim, "batch", &step, 1);
        }
      sim_run (sim, STEP_MS);
    }
  sim_run (sim, 20000);
  return count;
}

static struct figures
measure (const struct scenario *scenario, unsigned long seed,
         double remote_factor, bool known)
{
  static const struct sim_faults no_faults;
  struct sim *sim = sim_create (seed, &no_faults);
  gsl_rng *rng = gsl_rng_alloc (gsl_rng_taus);
  int jobs[SIM_JOBS];
  int64_t objectives[SIM_JOBS];
  double times[SIM_JOBS];
  struct figures figures = { .in_time = 0 };
  struct kq_sched_counts counts;
  int count;

  gsl_rng_set (rng, seed);
  sim_set_racks (sim, WORKERS_PER_RACK, remote_factor, known);
  sim_run (sim, 1000);
  count = submit_jobs (sim, rng, scenario, jobs, objectives);
  for (int i = 0; i < count; i++)
    {
      int64_t time = sim_job_time (sim, jobs[i]);

      times[i] = time >= 0 ? (double)time : INFINITY;
      figures.in_time += time >= 0 && time <= objectives[i];
    }
  gsl_sort (times, 1, (size_t)count);
  figures.p50_ms = times[count / 2];
  figures.p99_ms = times[count * 99 / 100];
  figures.in_time /= count;
  figures.far_runs = sim_far_starts (sim);
  figures.slowed = sim_slowed (sim);
  figures.discarded = sim_discarded (sim);
  sim_count (sim, &counts);
  figures.waits = (double)counts.rack_waits;
  figures.paid = (double)counts.rack_waits_paid;
  if (sim_violation (sim) != NULL)
    printf ("violation: %s\n", sim_violation (sim));
  gsl_rng_free (rng);
  sim_destroy (sim);
  return figures;
}

static void
print_figure (const struct scenario *scenario, double remote_factor,
              const char *figure, const char *unit, double value,
              double baseline)
{
  printf ("near_%s_x%.1f_%s %.3f %s %.3f ", scenario->name, remote_factor,
          figure, value, unit, baseline);
  if (baseline > 0)
    printf ("%.3f\n", value / baseline);
  else
    printf ("-\n");
}

/* Adds the figures of one run, each divided by SEEDS. */
static void
add_mean (struct figures *sum, const struct figures *one)
{
  double *to = (double *)sum;
  const double *from = (const double *)one;

  for (size_t i = 0; i < sizeof *sum / sizeof *to; i++)
    to[i] += from[i] / SEEDS;
}

static void
compare (const struct scenario *scenario, double remote_factor)
{
  struct figures with = { .in_time = 0 };
  struct figures without = { .in_time = 0 };
  int better = 0;
  int worse = 0;

  for (unsigned long seed = 1; seed <= SEEDS; seed++)
    {
      struct figures a = measure (scenario, seed, remote_factor, true);
      struct figures b = measure (scenario, seed, remote_factor, false);

      add_mean (&with, &a);
      add_mean (&without, &b);
      better += a.in_time > b.in_time;
      worse += a.in_time < b.in_time;
    }
#define PRINT(figure, unit)                                                   \
  print_figure (scenario, remote_factor, #figure, unit, with.figure,          \
                without.figure)
  PRINT (p50_ms, "ms");
  PRINT (p99_ms, "ms");
  PRINT (in_time, "of-jobs");
  PRINT (far_runs, "runs");
  PRINT (slowed, "core-s");
  PRINT (discarded, "core-s");
  PRINT (waits, "waits");
  PRINT (paid, "waits");
#undef PRINT
  print_figure (scenario, remote_factor, "seeds_more_in_time", "seeds", better,
                worse);
}

int
main (void)
{
  static const struct scenario scenarios[] = {
    { "steady", 18, false, false },
    { "burst", 15, true, false },
    { "groups", 16, false, true },
  };
  static const double factors[] = { 1.5, 2, 3 };

  kq_log_setup (KQ_LOG_ERROR, "bench");
  for (size_t s = 0; s < sizeof scenarios / sizeof scenarios[0]; s++)
    for (size_t f = 0; f < sizeof factors / sizeof factors[0]; f++)
      compare (&scenarios[s], factors[f]);
  return 0;
}

/* Measures placement on a small simulated cluster, at the sizes of two
   users' clusters, against first fit by declared size on the same jobs.

   Prints one line per figure: name, value, unit, the value of the baseline,
   and the ratio of the two.  Time is virtual, so every run prints the same. */

#include <stdio.h>

#include "t/lib-cluster.h"

#define SEED 11
#define RUN_SECONDS 1200
#define USAGE_AGE_SEC 1
#define LATE_USAGE_AGE_SEC 10

/* Figures of one policy under one scenario. */
struct figures
{
  struct cluster_result combined; /* with services and batch */
  double p99;                     /* relative to services without batch */
  double work;                    /* relative to batch without services */
  double evictions;               /* per 1,000 tasks */
};

struct scenario
{
  const char *name;
  double size_error;
  bool noisy_wave;
  int lag_sec;
};

static void
print_figure (const struct cluster_setup *setup,
              const struct scenario *scenario, const char *figure,
              const char *unit, double value, double baseline)
{
  printf ("place_%s_%s_%s %.3f %s %.3f ", setup->name, scenario->name, figure,
          value, unit, baseline);
  if (baseline > 0)
    printf ("%.3f\n", value / baseline);
  else
    printf ("-\n");
}

/* Runs SETUP with both policies.  ALONE is the p99 of services without batch;
   batch without services is the better result of the two policies.  */
static void
measure (struct cluster_setup setup, double alone, struct figures *figures)
{
  struct cluster_result batch[2];
  double best_batch_work;

  for (int policy = CLUSTER_FIRST_FIT; policy <= CLUSTER_PLACE; policy++)
    {
      setup.policy = (enum cluster_policy)policy;
      setup.services = true;
      cluster_run (&setup, &figures[policy].combined);
      setup.services = false;
      cluster_run (&setup, &batch[policy]);
    }
  best_batch_work
      = batch[0].work > batch[1].work ? batch[0].work : batch[1].work;
  for (int policy = CLUSTER_FIRST_FIT; policy <= CLUSTER_PLACE; policy++)
    {
      struct cluster_result *combined = &figures[policy].combined;

      figures[policy].p99 = combined->p99 / alone;
      figures[policy].work = combined->work / best_batch_work;
      figures[policy].evictions
          = 1000.0 * combined->evictions / (combined->finished + 1);
    }
}

static void
print_figures (const struct cluster_setup *setup,
               const struct scenario *scenario,
               const struct figures *first_fit,
               const struct figures *placement)
{
  print_figure (setup, scenario, "service_p99", "of-alone", placement->p99,
                first_fit->p99);
  print_figure (setup, scenario, "batch_work", "of-alone", placement->work,
                first_fit->work);
  print_figure (setup, scenario, "evictions", "per-1000-tasks",
                placement->evictions, first_fit->evictions);
  print_figure (setup, scenario, "work_lost", "core-h/h",
                placement->combined.lost_work, first_fit->combined.lost_work);
  print_figure (setup, scenario, "guard_time", "of-worker-time",
                placement->combined.throttled, first_fit->combined.throttled);
  print_figure (setup, scenario, "urgent_late", "of-tasks",
                placement->combined.urgent_late,
                first_fit->combined.urgent_late);
  printf ("place_%s_%s_relapses %.3f per-worker-minute - -\n", setup->name,
          scenario->name,
          placement->combined.rethrottles
              / (setup->workers * setup->seconds / 60.0));
}

int
main (void)
{
  static const struct cluster_setup users[] = {
    { .name = "groupement",
      .workers = 65,
      .per_rack = 10,
      .capacity = { 16000, 60 * 1024, 0 },
      .slot_cores = 0.5,
      .batch_load = 0.55,
      .weights = { 60, 20, 20 } },
    { .name = "instituto",
      .workers = 50,
      .per_rack = 8,
      .capacity = { 64000, 250 * 1024, 0 },
      .slot_cores = 1,
      .batch_load = 0.6,
      .weights = { 20, 40, 40 } },
  };
  static const struct scenario scenarios[] = {
    { "usual", 0, false, USAGE_AGE_SEC },
    { "sizes_wrong_4x", 4, false, USAGE_AGE_SEC },
    { "noisy_wave", 0, true, USAGE_AGE_SEC },
    { "usage_10s_late", 0, false, LATE_USAGE_AGE_SEC },
  };

  for (size_t u = 0; u < sizeof (users) / sizeof (users[0]); u++)
    {
      struct cluster_setup setup = users[u];
      struct cluster_result alone;

      setup.seed = SEED;
      setup.seconds = RUN_SECONDS;
      setup.lag_sec = USAGE_AGE_SEC;
      setup.services = true;
      cluster_run (&setup, &alone);
      setup.batch = true;
      for (size_t s = 0; s < sizeof (scenarios) / sizeof (scenarios[0]); s++)
        {
          struct figures figures[2];

          setup.size_error = scenarios[s].size_error;
          setup.noisy_wave = scenarios[s].noisy_wave;
          setup.lag_sec = scenarios[s].lag_sec;
          measure (setup, alone.p99, figures);
          print_figures (&setup, &scenarios[s], &figures[0], &figures[1]);
        }
    }
  return 0;
}

/* Measures placement on a small fake cluster, at the two users' sizes,
   against first fit by declared size on the same jobs.

   One line a figure: name, value, unit, the baseline's value, and the ratio
   of the two.  Time is virtual, so that every run prints the same. */

#include <stdio.h>

#include "t/lib-cluster.h"

#define SEED 11
#define RUN_SEC 1200
#define LAG_SEC 1
#define LATE_SEC 10

/* Figures of one policy under one scenario. */
struct figures
{
  struct cluster_result beside; /* services and batch */
  double p99;                   /* relative to services without batch */
  double work;                  /* relative to batch alone */
  double evictions;             /* per 1,000 tasks */
};

struct scenario
{
  const char *name;
  double size_error;
  bool noisy_wave;
  int lag_sec;
};

static void
print (const struct cluster_setup *setup, const struct scenario *scenario,
       const char *figure, const char *unit, double value, double baseline)
{
  printf ("place_%s_%s_%s %.3f %s %.3f ", setup->name, scenario->name, figure,
          value, unit, baseline);
  if (baseline > 0)
    printf ("%.3f\n", value / baseline);
  else
    printf ("-\n");
}

/* Runs SETUP with both policies; batch alone counts by the better one. */
static void
measure (struct cluster_setup setup, double alone, struct figures *figures)
{
  struct cluster_result batch[2];
  double best;

  for (int policy = CLUSTER_FIRST_FIT; policy <= CLUSTER_PLACE; policy++)
    {
      setup.policy = (enum cluster_policy)policy;
      setup.services = true;
      cluster_run (&setup, &figures[policy].beside);
      setup.services = false;
      cluster_run (&setup, &batch[policy]);
    }
  best = batch[0].work > batch[1].work ? batch[0].work : batch[1].work;
  for (int policy = CLUSTER_FIRST_FIT; policy <= CLUSTER_PLACE; policy++)
    {
      struct cluster_result *beside = &figures[policy].beside;

      figures[policy].p99 = beside->p99 / alone;
      figures[policy].work = beside->work / best;
      figures[policy].evictions
          = 1000.0 * beside->evictions / (beside->finished + 1);
    }
}

static void
report (const struct cluster_setup *setup, const struct scenario *scenario,
        const struct figures *base, const struct figures *own)
{
  print (setup, scenario, "service_p99", "of-alone", own->p99, base->p99);
  print (setup, scenario, "batch_work", "of-alone", own->work, base->work);
  print (setup, scenario, "evictions", "per-1000-tasks", own->evictions,
         base->evictions);
  print (setup, scenario, "work_lost", "core-h/h", own->beside.thrown_away,
         base->beside.thrown_away);
  print (setup, scenario, "guard_time", "of-worker-time",
         own->beside.throttled, base->beside.throttled);
  print (setup, scenario, "urgent_late", "of-tasks", own->beside.urgent_late,
         base->beside.urgent_late);
  printf ("place_%s_%s_relapses %.3f per-worker-minute - -\n", setup->name,
          scenario->name,
          own->beside.relapses / (setup->workers * setup->seconds / 60.0));
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
    { "usual", 0, false, LAG_SEC },
    { "sizes_wrong_4x", 4, false, LAG_SEC },
    { "noisy_wave", 0, true, LAG_SEC },
    { "usage_10s_late", 0, false, LATE_SEC },
  };

  for (size_t u = 0; u < sizeof (users) / sizeof (users[0]); u++)
    {
      struct cluster_setup setup = users[u];
      struct cluster_result alone;

      setup.seed = SEED;
      setup.seconds = RUN_SEC;
      setup.lag_sec = LAG_SEC;
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
          report (&setup, &scenarios[s], &figures[0], &figures[1]);
        }
    }
  return 0;
}

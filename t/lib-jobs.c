/* Jobs of the fake cluster; see lib-jobs.h. */

#include "t/lib-jobs.h"

#include <gsl/gsl_randist.h>
#include <gsl/gsl_rng.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>

#define TEAMS 12
#define NOISY_TEAM 9
#define JOB_TASKS_LEAST 20
#define JOB_TASKS_MOST 60
#define RUN_LEAST_SEC 30.0
#define RUN_MOST_SEC 120.0
#define CORES_LEAST 0.5
#define CORES_MOST 2.5
#define MB_PER_CORE_LEAST 1000.0
#define MB_PER_CORE_MOST 4000.0
#define WAVE_BEGIN_SEC 600
#define WAVE_END_SEC 800
#define WAVE_LOAD 0.25
#define URGENT_EVERY_SEC 20
#define JOBS_A_SECOND_MOST 4

/* The factor by which a declared size is off: each team has its habit, and
   its jobs differ from that. */
static double
error_factor (const struct cluster_setup *setup, gsl_rng *rng, int team)
{
  static const double habit[TEAMS]
      = { 1, 0.6, 1.5, 1, 2, 0.5, 1, 1.3, 0.8, 1, 0.7, 1.8 };

  if (setup->size_error > 0)
    return gsl_rng_get (rng) % 2 ? setup->size_error : 1 / setup->size_error;
  return habit[team] * gsl_ran_lognormal (rng, 0, 0.3);
}

static void
make_job (const struct cluster_setup *setup, gsl_rng *rng, bool noisy,
          struct cluster_job *job)
{
  static const double slow[TEAMS]
      = { 0.03, 0.05, 0.1, 0.05, 0.2, 0.03, 0.25, 0.1, 0.05, 0.8, 0.1, 0.2 };
  const struct kq_size *most = &setup->capacity;
  struct kq_size *size = &job->declared.size;
  int team = noisy ? NOISY_TEAM : (int)(gsl_rng_get (rng) % TEAMS);

  snprintf (job->declared.team.text, KQ_NAME_SIZE, "team-%d", team);
  job->declared.importance = noisy ? 3 : 3 + (int)(gsl_rng_get (rng) % 3);
  job->cpu = gsl_ran_flat (rng, CORES_LEAST, CORES_MOST);
  job->memory
      = job->cpu * gsl_ran_flat (rng, MB_PER_CORE_LEAST, MB_PER_CORE_MOST);
  job->slow = slow[team] * gsl_ran_flat (rng, 0.7, 1.3);
  job->run_sec = gsl_ran_flat (rng, RUN_LEAST_SEC, RUN_MOST_SEC);
  job->tasks = JOB_TASKS_LEAST
               + (int)(gsl_rng_get (rng) % (JOB_TASKS_MOST - JOB_TASKS_LEAST));
  size->cpu_milli
      = (int32_t)fmin (job->cpu * 1000 * error_factor (setup, rng, team),
                       most->cpu_milli / 2.0);
  size->memory_mb = (int32_t)fmin (
      job->memory * error_factor (setup, rng, team), most->memory_mb / 2.0);
}

static void
make_urgent (struct cluster_job *job)
{
  struct kq_size size = { 1500, 2000, 0 };

  snprintf (job->declared.team.text, KQ_NAME_SIZE, "team-urgent");
  job->declared.importance = CLUSTER_URGENT;
  job->declared.size = size;
  job->cpu = size.cpu_milli / 1000.0;
  job->memory = size.memory_mb;
  job->slow = 0.1;
  job->run_sec = 20;
  job->tasks = 1;
}

/* Returns the next job of the array, named by its place. */
static struct cluster_job *
next_job (struct cluster_job *jobs, int *count, int at_sec)
{
  struct cluster_job *job = &jobs[*count];

  snprintf (job->declared.id.job.text, KQ_NAME_SIZE, "job-%d", *count);
  job->arrives_sec = at_sec;
  (*count)++;
  return job;
}

struct cluster_job *
cluster_make_jobs (const struct cluster_setup *setup, int *count)
{
  gsl_rng *rng = gsl_rng_alloc (gsl_rng_mt19937);
  double cores = setup->workers * setup->capacity.cpu_milli / 1000.0;
  double owed[2] = { 0, 0 }; /* core seconds to arrive: usual, noisy */
  int most = setup->seconds * JOBS_A_SECOND_MOST;
  struct cluster_job *jobs = calloc ((size_t)most, sizeof (*jobs));

  gsl_rng_set (rng, setup->seed);
  *count = 0;
  for (int at = 0; at < setup->seconds && setup->batch; at++)
    {
      owed[0] += setup->batch_load * cores;
      if (setup->noisy_wave && at >= WAVE_BEGIN_SEC && at < WAVE_END_SEC)
        owed[1] += WAVE_LOAD * cores;
      if (at % URGENT_EVERY_SEC == 7 && *count < most)
        make_urgent (next_job (jobs, count, at));
      while ((owed[0] > 0 || owed[1] > 0) && *count < most)
        {
          struct cluster_job *job = next_job (jobs, count, at);
          bool noisy = owed[1] > 0;

          make_job (setup, rng, noisy, job);
          owed[noisy] -= job->cpu * job->run_sec * job->tasks;
        }
    }
  gsl_rng_free (rng);
  return jobs;
}

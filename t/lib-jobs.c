/* Jobs of the fake cluster; see lib-jobs.h. */

#include "t/lib-jobs.h"

#include <gsl/gsl_randist.h>
#include <gsl/gsl_rng.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>

#define TEAMS 12
#define NOISY_TEAM 9 /* its tasks slow services down most */
#define JOB_TASKS_MIN 20
#define JOB_TASKS_MAX 60
#define RUN_MIN_SEC 30.0
#define RUN_MAX_SEC 120.0
#define CORES_MIN 0.5
#define CORES_MAX 2.5
#define MB_PER_CORE_MIN 1000.0
#define MB_PER_CORE_MAX 4000.0
#define NOISY_BEGIN_SEC 600
#define NOISY_END_SEC 800
#define NOISY_LOAD 0.25 /* share of the cluster's cores */
#define URGENT_INTERVAL_SEC 20
#define MAX_JOBS_PER_SEC 4

/* Returns declared / true size of a job: each team has a typical factor, from
   which its jobs deviate randomly.  */
static double
size_error_factor (const struct cluster_setup *setup, gsl_rng *rng, int team)
{
  static const double team_factor[TEAMS]
      = { 1, 0.6, 1.5, 1, 2, 0.5, 1, 1.3, 0.8, 1, 0.7, 1.8 };

  if (setup->size_error > 0)
    return gsl_rng_get (rng) % 2 ? setup->size_error : 1 / setup->size_error;
  return team_factor[team] * gsl_ran_lognormal (rng, 0, 0.3);
}

static void
make_job (const struct cluster_setup *setup, gsl_rng *rng, bool noisy,
          struct cluster_job *job)
{
  static const double slowdown[TEAMS]
      = { 0.03, 0.05, 0.1, 0.05, 0.2, 0.03, 0.25, 0.1, 0.05, 0.8, 0.1, 0.2 };
  const struct kq_resources *capacity = &setup->capacity;
  struct kq_resources *size = &job->declared.size;
  int team = noisy ? NOISY_TEAM : (int)(gsl_rng_get (rng) % TEAMS);

  snprintf (job->declared.team.text, KQ_NAME_SIZE, "team-%d", team);
  job->declared.importance = noisy ? 3 : 3 + (int)(gsl_rng_get (rng) % 3);
  job->cpu = gsl_ran_flat (rng, CORES_MIN, CORES_MAX);
  job->memory
      = job->cpu * gsl_ran_flat (rng, MB_PER_CORE_MIN, MB_PER_CORE_MAX);
  job->slowdown = slowdown[team] * gsl_ran_flat (rng, 0.7, 1.3);
  job->run_sec = gsl_ran_flat (rng, RUN_MIN_SEC, RUN_MAX_SEC);
  job->tasks = JOB_TASKS_MIN
               + (int)(gsl_rng_get (rng) % (JOB_TASKS_MAX - JOB_TASKS_MIN));
  size->cpu_milli
      = (int32_t)fmin (job->cpu * 1000 * size_error_factor (setup, rng, team),
                       capacity->cpu_milli / 2.0);
  size->memory_mb
      = (int32_t)fmin (job->memory * size_error_factor (setup, rng, team),
                       capacity->memory_mb / 2.0);
}

static void
make_urgent_job (struct cluster_job *job)
{
  struct kq_resources size = { 1500, 2000, 0 };

  snprintf (job->declared.team.text, KQ_NAME_SIZE, "team-urgent");
  job->declared.importance = CLUSTER_URGENT_IMPORTANCE;
  job->declared.size = size;
  job->cpu = size.cpu_milli / 1000.0;
  job->memory = size.memory_mb;
  job->slowdown = 0.1;
  job->run_sec = 20;
  job->tasks = 1;
}

/* Adds a job to JOBS, named by its index. */
static struct cluster_job *
add_job (struct cluster_job *jobs, int *count, int at_sec)
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
  /* Core seconds of usual [0] and noisy [1] jobs that have to arrive. */
  double pending_core_sec[2] = { 0, 0 };
  int max_jobs = setup->seconds * MAX_JOBS_PER_SEC;
  struct cluster_job *jobs = calloc ((size_t)max_jobs, sizeof (*jobs));

  gsl_rng_set (rng, setup->seed);
  *count = 0;
  for (int now_sec = 0; now_sec < setup->seconds && setup->batch; now_sec++)
    {
      pending_core_sec[0] += setup->batch_load * cores;
      if (setup->noisy_wave && now_sec >= NOISY_BEGIN_SEC
          && now_sec < NOISY_END_SEC)
        pending_core_sec[1] += NOISY_LOAD * cores;
      if (now_sec % URGENT_INTERVAL_SEC == 7 && *count < max_jobs)
        make_urgent_job (add_job (jobs, count, now_sec));
      while ((pending_core_sec[0] > 0 || pending_core_sec[1] > 0)
             && *count < max_jobs)
        {
          struct cluster_job *job = add_job (jobs, count, now_sec);
          bool noisy = pending_core_sec[1] > 0;

          make_job (setup, rng, noisy, job);
          pending_core_sec[noisy] -= job->cpu * job->run_sec * job->tasks;
        }
    }
  gsl_rng_free (rng);
  return jobs;
}

/** @file
 * The jobs of a run of the fake cluster, by its seed alone.
 */
#ifndef KQ_T_LIB_JOBS_H
#define KQ_T_LIB_JOBS_H

#include "t/lib-cluster.h"

/** Importance of urgent tasks. */
#define CLUSTER_URGENT 9

/** What is true of a job, and what it declares. */
struct cluster_job
{
  struct kq_place_task declared; /* id.index counts */
  double cpu;                    /* cores */
  double memory;                 /* MB */
  double slow; /* slow-down of services with a whole worker */
  double run_sec;
  int arrives_sec;
  int tasks;
};

/** Makes the jobs of SETUP, in order of arrival; the caller frees them. */
struct cluster_job *cluster_make_jobs (const struct cluster_setup *setup,
                                       int *count);

#endif

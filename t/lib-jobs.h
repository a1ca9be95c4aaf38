/** @file
 * Generates the jobs of a run of the fake cluster.  They depend on the setup
 * and its seed only.
 */
#ifndef KQ_T_LIB_JOBS_H
#define KQ_T_LIB_JOBS_H

#include "t/lib-cluster.h"

#define CLUSTER_URGENT_IMPORTANCE 9

/** A job: what it declares and what its tasks really use. */
struct cluster_job
{
  struct kq_place_task declared; /* id.index is set per task */
  double cpu;                    /* cores */
  double memory;                 /* MB */
  double slowdown; /* relative slowdown of services on a worker that is full of
                      such tasks */
  double run_sec;
  int arrives_sec;
  int tasks;
};

/** Generates the jobs of SETUP in order of arrival; the caller frees them. */
struct cluster_job *cluster_make_jobs (const struct cluster_setup *setup,
                                       int *count);

#endif

/** @file
 * A simulation of workers in racks, for tests and benchmarks of placement.
 *
 * Time is virtual and all random numbers are seeded.  The real use of a task
 * does not depend on its declared size; services are slowed down by tasks on
 * the same worker; a rack whose power budget is exceeded throttles its
 * workers; a worker whose memory is exceeded kills a task; usage is reported
 * late.
 */
#ifndef KQ_T_LIB_CLUSTER_H
#define KQ_T_LIB_CLUSTER_H

#include "place/place.h"

enum cluster_policy
{
  CLUSTER_FIRST_FIT, /**< baseline: first worker where the declared size
                          fits */
  CLUSTER_PLACE      /**< placement of place/ */
};

struct cluster_setup
{
  const char *name;
  int workers;
  int per_rack;
  struct kq_resources capacity;
  double slot_cores; /**< real use of a busy slot */
  double batch_load; /**< real demand of arriving tasks / all cores */
  struct kq_place_policy weights;
  enum cluster_policy policy;
  bool services;
  bool batch;
  double size_error; /**< declared sizes are wrong by this factor, up or
                          down; 0 = randomly, by about a quarter */
  bool noisy_wave;
  int lag_sec; /**< age of usage reports */
  unsigned long seed;
  int seconds; /**< length of the run */
};

struct cluster_result
{
  double p50; /**< latency of services, 1 = median without batch tasks */
  double p99;
  double work;        /**< core hours of finished tasks per hour */
  double lost_work;   /**< core hours lost by evictions per hour */
  int finished;       /**< number of finished tasks */
  int evictions;      /**< number, by the policy or by a worker's memory
                           guard */
  int memory_kills;   /**< evictions by a worker's memory guard */
  int throttles;      /**< number of throttle actions */
  int rethrottles;    /**< number of tasks throttled again after their share
                        was raised: high when shares oscillate */
  double throttled;   /**< fraction of worker time under power throttling */
  double urgent_late; /**< fraction of urgent tasks not started within 1 s */
};

/** Simulates SETUP, starting with an empty cluster. */
void cluster_run (const struct cluster_setup *setup,
                  struct cluster_result *result);

#endif

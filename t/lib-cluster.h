/** @file
 * A small fake of workers in racks, for tests and benches of placement.
 *
 * Time is virtual and all chance is seeded.  Tasks use what they truly use,
 * whatever they declare; services are slowed down by what runs beside them;
 * a rack whose power budget is exceeded slows its workers; a worker whose
 * memory is exceeded kills a task; usage is reported late.
 */
#ifndef KQ_T_LIB_CLUSTER_H
#define KQ_T_LIB_CLUSTER_H

#include "place/place.h"

enum cluster_policy
{
  CLUSTER_FIRST_FIT, /**< by declared size, nothing learned */
  CLUSTER_PLACE      /**< place/ */
};

struct cluster_setup
{
  const char *name;
  int workers;
  int per_rack;
  struct kq_size capacity;
  double slot_cores; /**< that a busy slot truly uses */
  double batch_load; /**< true demand of arriving tasks / all cores */
  struct kq_place_policy weights;
  enum cluster_policy policy;
  bool services;
  bool batch;
  double size_error; /**< declared sizes are off by this factor, up or
                          down; 0: by chance, a quarter or so */
  bool noisy_wave;
  int lag_sec; /**< age of usage reports */
  unsigned long seed;
  int seconds; /**< length of the run */
};

struct cluster_result
{
  double p50; /**< of services, 1 = the median without batch */
  double p99;
  double work;        /**< core hours of finished tasks an hour */
  double thrown_away; /**< core hours lost by evictions an hour */
  int finished;       /**< tasks */
  int evictions;      /**< by the policy or by a worker's memory guard */
  int memory_kills;   /**< the latter alone */
  int throttles;      /**< throttle actions */
  int relapses;       /**< tasks slowed down again after speed was given
                           back: high when it oscillates */
  double throttled;   /**< part of worker time slowed by the power guard */
  double urgent_late; /**< part of urgent tasks not started in 1 s */
};

/** Runs SETUP from an empty cluster. */
void cluster_run (const struct cluster_setup *setup,
                  struct cluster_result *result);

#endif

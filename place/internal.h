/** @file
 * State of placement, shared by the files of this folder.
 *
 * A share is the speed of a task in thousandths of full speed.  A grant is the
 * size that a task is started with, which the guard of its worker counts.  A
 * margin is a number of standard deviations that is added to an estimate.
 */
#ifndef KQ_PLACE_INTERNAL_H
#define KQ_PLACE_INTERNAL_H

#include <uthash.h>
#include <utlist.h>

#include "place/estimate.h"
#include "place/place.h"

/** Full speed, and the lowest share that a task is throttled to. */
#define SHARE_FULL 1000
#define SHARE_MIN 250

/** Fraction of the memory of a worker that may be used. */
#define MEMORY_LIMIT_FRACTION 0.97

/** Initial estimates of the use of a service slot, and the largest fraction of
 *  a worker's capacity that all its slots are assumed to use.  */
#define SLOT_CPU_MILLI 500.0
#define SLOT_MEMORY_MB 256.0
#define SLOTS_MAX_FRACTION 0.25

/** Time without any usage report after which the platform is assumed to report
 *  no usage at all.  */
#define REPORT_TIMEOUT_US (30 * KQ_USEC_PER_SEC)

/** How long ended tasks are kept: the largest age of a report that can still
 *  be compared with the tasks that ran when it was taken.  */
#define ENDED_TASK_RETENTION_US (60 * KQ_USEC_PER_SEC)

/** Time until the effect of an action shows in usage. */
#define ACTION_EFFECT_DELAY_US (2 * KQ_USEC_PER_SEC)

/** Shortest time between two increases of a learned limit. */
#define LIMIT_RAISE_INTERVAL_US (5 * KQ_USEC_PER_SEC)

/** Estimates for the tasks of one team, or of one job of a team. */
struct place_class
{
  char key[2 * KQ_NAME_SIZE];  /**< "TEAM" or "TEAM JOB" */
  struct place_class *team;    /**< NULL for a team's own class */
  struct kq_estimate cpu;      /**< used / declared */
  struct kq_estimate memory;   /**< used / declared */
  struct kq_estimate slowdown; /**< slowdown of services if the class used
                                  the whole worker */
  struct kq_resources declared_running; /**< team: sum of the declared sizes of
                                         running tasks */
  struct kq_resources quota; /**< team: upper bound of declared_running */
  int tasks;   /**< number of running tasks and kept ended tasks */
  int running; /**< number of running tasks */
  struct place_class *prev, *next; /**< all classes, oldest first */
  UT_hash_handle hh;
};

/** A task of a worker: running, or ended recently. */
struct place_task
{
  struct kq_place_task task;
  struct kq_resources granted; /**< size counted by the worker's guard */
  int64_t checkpoint; /**< last reported progress, in run milliseconds */
  struct place_class *class;
  kq_usec started_at;
  kq_usec checkpointed_at; /**< when the checkpoint last advanced; work since
                              then is lost by a stop */
  kq_usec ended_at;        /**< 0 while it runs */
  int32_t share;           /**< in thousandths of full speed */
  int32_t previous_share;  /**< share until share_changed_at */
  kq_usec share_changed_at;
  kq_usec evict_requested_at; /**< when an eviction was requested; 0 = not
                                 requested */
  struct place_task *prev, *next;
};

/** A rack of workers with a common power budget. */
struct place_rack
{
  struct kq_name name;
  double limit;    /**< fraction of the rack's processors that may be used */
  double ceiling;  /**< fraction in use when the rack was last throttled */
  int tasks;       /**< number of running tasks, as of the last update */
  double used;     /**< expected use in milli, as of the last update */
  double capacity; /**< in milli, as of the last update */
  kq_usec lowered_at; /**< when limit was last lowered; throttling reported
                         before that is ignored */
  kq_usec raised_at;
  int workers;
  UT_hash_handle hh;
};

/** Expected load of a worker: sums over its tasks and services. */
struct place_load
{
  double cpu;          /**< milli, with services, without a margin */
  double cpu_variance; /**< variance of the error of cpu, milli squared */
  double memory;       /**< MB, with services, with a margin */
  struct kq_resources granted;
  int tasks;       /**< number of running tasks */
  double slowdown; /**< expected slowdown of services; 0 = none */
};

/** A worker, its last usage report and its expected load. */
struct place_worker
{
  struct kq_name name;
  struct place_rack *rack;
  struct kq_resources capacity;
  int32_t slots;
  double mean_busy_slots; /**< smoothed number of busy service slots */
  struct kq_place_usage usage;
  bool has_report;
  bool has_unused_report; /**< the last report has not led to an action yet */
  kq_usec last_action_at;
  kq_usec reserved_until; /**< until then its capacity is reserved for the task
                             reserved_for */
  struct kq_task_id reserved_for;
  struct place_task *tasks;
  struct place_load load;
  UT_hash_handle hh;
};

/** State of placement. */
struct kq_place
{
  double slowdown_limit; /**< upper bound of the slowdown of services */
  double cpu_limit;  /**< fraction of a worker's processors that may be used */
  double cpu_margin; /**< standard deviations added to expected processors */
  double memory_margin; /**< standard deviations added to expected memory */
  double spread_weight; /**< weight of slowdown and rack use against that of
                           unused processors */
  struct kq_estimate slot_cpu;    /**< use of a busy slot / initial estimate */
  struct kq_estimate slot_memory; /**< use of a slot / initial estimate */
  bool has_report;                /**< some worker has reported its usage */
  kq_usec first_choice_at; /**< when a worker was first requested for a task; 0
                              = not yet */
  bool slowdown_reported;  /**< some report contained a slowdown */
  bool slowdown_missing;   /**< workers with slots report, but no report
                              contained the slowdown of services */
  bool loads_outdated;     /**< loads have to be computed again because
                                   estimates or weights have changed */
  struct place_class *classes;        /**< hash table by key */
  struct place_class *classes_by_age; /**< list, oldest first */
  struct place_worker *workers;
  struct place_rack *racks;
};

/** Returns the class of TASK, created on demand; NULL when out of memory. */
struct place_class *place_get_class (struct kq_place *place,
                                     const struct kq_place_task *task);

/** Returns the class of TEAM, created on demand; NULL when out of memory. */
struct place_class *place_get_team (struct kq_place *place,
                                    const struct kq_name *team);

/** Moves the estimates of CLASS's team towards those of CLASS. */
void place_class_update_team (struct place_class *class);

/** Returns the expected size, with margins, of a task of CLASS that declares
 *  SIZE.  */
struct kq_resources place_expected_size (const struct kq_place *place,
                                         const struct place_class *class,
                                         const struct kq_resources *size);

/** Returns the share that TASK had at time AT; 0 when it was not running. */
int32_t place_share_at (const struct place_task *task, kq_usec at);

/** Returns the initial estimate of the use of a busy slot of WORKER, in milli.
 */
double place_slot_cpu (const struct place_worker *worker);

/** Returns the initial estimate of the use of a slot of WORKER, in MB. */
double place_slot_memory (const struct place_worker *worker);

/** Returns the processors that LOAD is expected to need, with a margin, in
 *  milli.  */
double place_expected_cpu_upper (const struct kq_place *place,
                                 const struct place_load *load);

/** Returns the expected use, in milli and without a margin, of a task of CLASS
 *  that declares CPU_MILLI.  */
double place_expected_cpu_mean (const struct place_class *class,
                                int32_t cpu_milli);

/** Recomputes the expected load of WORKER. */
void place_load_update (struct kq_place *place, struct place_worker *worker);

/** Returns whether the platform appears to report no usage at all.  Limits
 *  that are learned from usage are not applied then.  */
bool place_lacks_reports (const struct kq_place *place, kq_usec now);

/** Returns the upper bound of the slowdown of services on WORKER. */
double place_slowdown_limit (const struct kq_place *place,
                             const struct place_worker *worker);

/** Returns the size that a task of CLASS which declares SIZE is started with:
 *  at most what it declares, less when it is known to use less.  */
struct kq_resources place_granted_size (const struct kq_place *place,
                                        const struct place_class *class,
                                        const struct kq_resources *size);

/** Returns whether the guard of WORKER, whose load is LOAD, admits a task with
 *  GRANT.  */
bool place_guard_admits (const struct place_worker *worker,
                         const struct place_load *load,
                         const struct kq_resources *grant);

/** Adds to LOAD the expected use of a task of CLASS and SIZE at SHARE. */
void place_load_add (const struct kq_place *place,
                     const struct place_worker *worker,
                     const struct place_class *class,
                     const struct kq_resources *size, int32_t share,
                     struct place_load *load);

/** Recomputes the expected load of racks, and that of workers when it is
 *  outdated.  */
void place_loads_update (struct kq_place *place);

/** Returns whether TASK of CLASS can be placed on WORKER within all limits.
 *  Loads must be up to date.  */
bool place_within_limits (const struct kq_place *place,
                          struct place_worker *worker,
                          const struct place_class *class,
                          const struct kq_place_task *task, kq_usec now);

/** Returns whether too few reports have covered tasks of CLASS to estimate
 *  their size.  */
bool place_class_is_unmeasured (const struct place_class *class);

/** Returns the batch task of WORKER, less important than IMPORTANCE, that is
 *  throttled first: the least important one, and among these the one with the
 *  largest expected interference; NULL when all are fully throttled.  */
struct place_task *
place_find_task_to_throttle (const struct place_worker *worker,
                             int32_t importance);

/** Returns the batch task of WORKER, less important than IMPORTANCE, that is
 *  evicted first: the least important one, and among these the one with the
 *  lowest eviction cost; NULL when there is none.  */
struct place_task *place_find_task_to_evict (const struct place_worker *worker,
                                             int32_t importance, kq_usec now);

/** Sets the share of TASK on WORKER and writes the action for it to ACTION. */
void place_set_share (struct kq_place *place, struct place_worker *worker,
                      struct place_task *task, int32_t share, kq_usec now,
                      struct kq_place_action *action);

/** Marks the eviction of TASK from WORKER as requested and writes the action
 *  for it to ACTION.  */
void place_request_eviction (struct place_worker *worker,
                             struct place_task *task, kq_usec now,
                             struct kq_place_action *action);

/** Returns the cost of evicting TASK at NOW: the core seconds lost, weighted
 *  higher for a task that was evicted before.  */
double place_eviction_cost (const struct place_task *task, kq_usec now);

/** Adds RUNNING to the tasks of WORKER.  @return 0 or KQ_ENOMEM.  */
int place_task_add (struct kq_place *place, struct place_worker *worker,
                    const struct kq_place_running *running, kq_usec now);

bool place_task_id_eq (const struct kq_task_id *a, const struct kq_task_id *b);

struct place_worker *place_worker_find (const struct kq_place *place,
                                        const struct kq_name *name);

struct place_task *place_task_find (struct place_worker *worker,
                                    const struct kq_task_id *id);

#endif

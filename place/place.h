/** @file
 * Placement: chooses the worker for a task, chooses which tasks are throttled
 * or evicted when a worker or its rack is overloaded, and learns from usage
 * reports for both.
 *
 * All functions are pure decisions on an opaque state: no clock, no socket,
 * no random source.  Declared sizes are corrected by reported usage, per team
 * and job; the slowdown of services by each class of batch tasks and the power
 * headroom of each rack are learned as well.  Reports arrive late: each one is
 * compared with the tasks that ran when it was taken, is used once, and a
 * report taken before the last action on a worker leads to no further action.
 *
 * Times are those of one host's clock and greater than zero.
 *
 * Where usage is not reported at all, only declared sizes are used.
 *
 * The guard of a worker refuses a start when the sum of the sizes that its
 * tasks were granted, the sizes they were started with, would exceed its
 * capacity.
 *
 * Invariant, asserted at every placement: no task is placed beyond declared or
 * learned limits.  Not safe for use from several threads.
 */
#ifndef KQ_PLACE_PLACE_H
#define KQ_PLACE_PLACE_H

#include "core/event.h"

struct kq_place;

/** Lowest importance for which other tasks may be throttled or evicted to free
 *  capacity.  */
#define KQ_PLACE_URGENT_IMPORTANCE 9

/** Weights of the three goals relative to each other, each 0 to 100. */
struct kq_place_policy
{
  int32_t tail_latency_weight;
  int32_t batch_throughput_weight;
  int32_t eviction_weight;
};

/** A task to place, or one that runs. */
struct kq_place_task
{
  struct kq_task_id id;
  enum kq_task_kind kind;
  int32_t importance;
  struct kq_resources size; /**< declared */
  int64_t run_ms;
  struct kq_name team;
  int32_t eviction_count; /**< number of times it was evicted */
};

/** A usage report of one worker. */
struct kq_place_usage
{
  int64_t seq;              /**< sequence number of the report, increasing */
  kq_usec at;               /**< when it was taken, by this host's clock */
  struct kq_resources used; /**< by services and tasks together */
  bool throttled;           /**< the rack's power guard throttled the worker */
  int32_t busy_slots;       /**< service slots that are serving a request */
  int32_t slow_milli; /**< service time of requests relative to an idle worker,
                         1000 = as fast; 0 = not known */
};

/** A running task, as listed in a worker's table. */
struct kq_place_running
{
  struct kq_place_task task;
  struct kq_resources granted; /**< size that it was started with */
  int64_t checkpoint; /**< progress saved so far, in run milliseconds */
  int32_t share_milli;
};

/** An action on a running task. */
struct kq_place_action
{
  struct kq_name worker;
  struct kq_task_id task;
  enum kq_task_action action; /**< THROTTLE, CHECKPOINT (followed by an
                                 eviction) or STOP */
  int32_t share_milli; /**< for THROTTLE: the new share, in thousandths */
};

/** Returns whether WORKER may get new tasks: owned, not leaving, healthy. */
typedef bool kq_place_usable_fn (void *ctx, const struct kq_name *worker);

/** Creates an empty state; NULL when out of memory.  POLICY NULL weights the
 *  three goals equally.  */
struct kq_place *kq_place_create (const struct kq_place_policy *policy);

void kq_place_destroy (struct kq_place *place);

/** Changes the weights. */
void kq_place_set_policy (struct kq_place *place,
                          const struct kq_place_policy *policy);

/** Adds a worker or updates its rack, capacity and slots.
 *  @return 0 or KQ_ENOMEM.  */
int kq_place_set_worker (struct kq_place *place, const struct kq_name *name,
                         const struct kq_name *rack,
                         const struct kq_resources *capacity, int32_t slots);

/** Removes a worker and its tasks. */
void kq_place_remove_worker (struct kq_place *place,
                             const struct kq_name *name);

/** Sets the upper bound of the sum of the declared sizes of the running tasks
 *  of TEAM.  @return 0 or KQ_ENOMEM.  */
int kq_place_set_quota (struct kq_place *place, const struct kq_name *team,
                        const struct kq_resources *quota);

/** Chooses the worker for TASK at NOW.  Workers for which USABLE returns false
 *  are not considered; USABLE may be NULL.
 *  @return 0 with *WORKER set; KQ_EWORKER_FULL when no worker has enough free
 *  capacity; KQ_EJOB_QUOTA when the quota of the team would be exceeded;
 *  KQ_EPLACE_PROBE when the job was not measured yet and its first few tasks
 *  already run (only where usage is reported); KQ_EJOB_NEVER_FITS when the
 *  task exceeds the capacity of every known worker; or KQ_ENOMEM.  */
int kq_place_choose_worker (struct kq_place *place,
                            const struct kq_place_task *task, kq_usec now,
                            kq_place_usable_fn *usable, void *ctx,
                            struct kq_name *worker);

/** Frees capacity for TASK, for which kq_place_choose_worker() found no
 * worker, on one worker: by throttling less important batch tasks, or else by
 * evicting them. When all actions are throttles, kq_place_choose_worker()
 * succeeds at once.
 *  @return the number of actions, 0 when no capacity can be freed or when it
 *  is being freed already.  */
int kq_place_preempt (struct kq_place *place, const struct kq_place_task *task,
                      kq_usec now, kq_place_usable_fn *usable, void *ctx,
                      struct kq_place_action *actions, int max);

/** Adds TASK to WORKER, as chosen by kq_place_choose_worker().  Aborts the
 * process when that exceeds the limits.  @return 0, KQ_ENOENT, KQ_ENOMEM.  */
int kq_place_add_task (struct kq_place *place, const struct kq_name *worker,
                       const struct kq_place_task *task, kq_usec now);

/** Replaces the tasks of WORKER by the COUNT TASKS that run or may run there,
 *  regardless of limits.  A task that was known before keeps its start time,
 *  and its share when that was changed recently.
 *  @return 0, KQ_ENOENT or KQ_ENOMEM.  */
int kq_place_sync_tasks (struct kq_place *place, const struct kq_name *worker,
                         const struct kq_place_running *tasks, size_t count,
                         kq_usec now);

/** Records that a task ended at NOW, whatever its result. */
void kq_place_end_task (struct kq_place *place, const struct kq_name *worker,
                        const struct kq_task_id *task, kq_usec now);

/** Updates all estimates from a usage report.
 *  @return 0, KQ_ENOENT, or KQ_EEXIST for a report that is not newer than the
 *  last one.  */
int kq_place_apply_report (struct kq_place *place,
                           const struct kq_name *worker,
                           const struct kq_place_usage *usage, kq_usec now);

/** Reduces the load of overloaded workers, and raises shares where capacity is
 *  free again: throttles first, then checkpoints and evicts, then stops.
 *  @return the number of actions.  */
int kq_place_relieve_workers (struct kq_place *place, kq_usec now,
                              struct kq_place_action *actions, int max);

/** Returns the expected size of TASK: its declared size, corrected. */
struct kq_resources kq_place_expected_size (struct kq_place *place,
                                            const struct kq_place_task *task);

/** Returns the size that TASK is to be started with, which the worker's guard
 *  counts: its expected size, at most its declared size.  */
struct kq_resources kq_place_granted_size (struct kq_place *place,
                                           const struct kq_place_task *task);

/** Returns the capacity of WORKER that the learned limits leave for further
 *  tasks: nothing for an unknown worker, everything for one that runs no task.
 *  The worker's guard may leave less.  */
struct kq_resources kq_place_free_capacity (struct kq_place *place,
                                            const struct kq_name *worker,
                                            kq_usec now);

/** Returns the learned fraction of RACK's processors that may be used, in
 *  thousandths, or KQ_ENOENT.  */
int kq_place_rack_limit (const struct kq_place *place,
                         const struct kq_name *rack);

#endif

/** @file
 * Placement: which worker gets a task, what is slowed down or moved when a
 * worker or its rack is under pressure, and what is learned for that.
 *
 * All functions are pure decisions on an opaque state: no clock, no socket,
 * no random source.  Declared sizes are corrected by what usage reports
 * show, per team and job; the slow-down of services by each class of batch
 * work and the power headroom of each rack are learned too.  Reports arrive
 * late: each is compared with what ran when it was taken, is used once, and
 * a report taken before the last intervention leads to no other.
 *
 * Times are those of one host's clock and above zero.
 *
 * Where usage is not reported at all, declared sizes alone count.
 *
 * Rule, asserted at every placement: nothing is placed beyond declared or
 * learned limits.  Not safe for use from several threads.
 */
#ifndef KQ_PLACE_PLACE_H
#define KQ_PLACE_PLACE_H

#include "core/event.h"

struct kq_place;

/** Importance from which a task may take the room of others. */
#define KQ_PLACE_URGENT 9

/** How the three measures weigh against each other, each 0 to 100. */
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
  struct kq_size size; /**< declared */
  int64_t run_ms;
  struct kq_name team;
  int32_t moved; /**< how often it was evicted before */
};

/** A usage report of one worker. */
struct kq_place_usage
{
  int64_t seq;         /**< number of the report, rising */
  kq_usec at;          /**< when it was taken, by this host's clock */
  struct kq_size used; /**< by services and tasks together */
  bool throttled;      /**< the rack's power guard slowed the worker */
  int32_t busy_slots;  /**< requests being served */
  int32_t slow_milli;  /**< time of service of requests relative to an idle
                          worker, 1000 = as fast; 0 = not known */
};

/** A task as a worker's table shows it. */
struct kq_place_running
{
  struct kq_place_task task;
  struct kq_size granted; /**< size that it was started with */
  int64_t checkpoint;     /**< progress saved so far, in run milliseconds */
  int32_t share_milli;
};

/** What is to be done to a running task. */
struct kq_place_action
{
  struct kq_name worker;
  struct kq_task_id task;
  enum kq_task_action action; /**< THROTTLE; CHECKPOINT: then evict; STOP */
  int32_t share_milli;        /**< THROTTLE: the new share */
};

/** Says whether a worker may get new work (owned, not leaving, healthy). */
typedef bool kq_place_usable (void *ctx, const struct kq_name *worker);

/** Creates an empty state; NULL when out of memory.  POLICY NULL weighs the
 *  three measures alike.  */
struct kq_place *kq_place_create (const struct kq_place_policy *policy);

void kq_place_destroy (struct kq_place *place);

/** Changes the weights. */
void kq_place_set_policy (struct kq_place *place,
                          const struct kq_place_policy *policy);

/** Adds a worker or changes its facts.  @return 0 or KQ_ENOMEM.  */
int kq_place_set_worker (struct kq_place *place, const struct kq_name *name,
                         const struct kq_name *rack,
                         const struct kq_size *capacity, int32_t slots);

/** Forgets a worker and what runs there. */
void kq_place_drop_worker (struct kq_place *place, const struct kq_name *name);

/** Sets what the tasks of TEAM may occupy together by declared size.
 *  @return 0 or KQ_ENOMEM.  */
int kq_place_set_quota (struct kq_place *place, const struct kq_name *team,
                        const struct kq_size *quota);

/** Chooses the worker for TASK at NOW.  USABLE may be NULL.
 *  @return 0 with *WORKER set, KQ_EWORKER_FULL, KQ_EJOB_QUOTA,
 *  KQ_EPLACE_PROBE while a job that was never seen runs its first few tasks
 *  (only where usage is reported),
 *  or KQ_EJOB_NEVER_FITS when no known worker could carry it even if idle.  */
int kq_place_choose (struct kq_place *place, const struct kq_place_task *task,
                     kq_usec now, kq_place_usable *usable, void *ctx,
                     struct kq_name *worker);

/** Finds room for TASK, which kq_place_choose() found none for, on one worker:
 *  by slowing down less important batch tasks, or else by moving them away.
 *  After slow-downs alone kq_place_choose() succeeds at once.
 *  @return the number of actions, 0 when that can't be done or room is
 *  being made already.  */
int kq_place_make_room (struct kq_place *place,
                        const struct kq_place_task *task, kq_usec now,
                        kq_place_usable *usable, void *ctx,
                        struct kq_place_action *actions, int max);

/** Notes that TASK starts at WORKER, as kq_place_choose() chose: ends the
 *  process when that is beyond the limits.  @return 0, KQ_ENOENT,
 *  KQ_ENOMEM.  */
int kq_place_start (struct kq_place *place, const struct kq_name *worker,
                    const struct kq_place_task *task, kq_usec now);

/** Makes the tasks noted at WORKER agree with the COUNT of TASKS that run or
 *  may run there, whatever the limits are.  A task noted before keeps its
 *  age; the share of one that was throttled lately is left as it is.
 *  @return 0, KQ_ENOENT or KQ_ENOMEM.  */
int kq_place_sync (struct kq_place *place, const struct kq_name *worker,
                   const struct kq_place_running *tasks, size_t count,
                   kq_usec now);

/** Notes that a task has ended at NOW, however it ended. */
void kq_place_end (struct kq_place *place, const struct kq_name *worker,
                   const struct kq_task_id *task, kq_usec now);

/** Learns from a usage report.
 *  @return 0, KQ_ENOENT, or KQ_EEXIST for a report that was used before.  */
int kq_place_report (struct kq_place *place, const struct kq_name *worker,
                     const struct kq_place_usage *usage, kq_usec now);

/** Relieves workers under pressure, and gives speed back where there is room
 *  again: throttle first, then checkpoint and evict, then stop.
 *  @return the number of actions.  */
int kq_place_relieve (struct kq_place *place, kq_usec now,
                      struct kq_place_action *actions, int max);

/** Returns what TASK is expected to use: its declared size, corrected. */
struct kq_size kq_place_size (struct kq_place *place,
                              const struct kq_place_task *task);

/** Returns the size that TASK is to be started with, which the worker's guard
 *  counts: what it is expected to use, at most what it declares.  */
struct kq_size kq_place_grant (struct kq_place *place,
                               const struct kq_place_task *task);

/** Returns what the learned limits leave for tasks on WORKER: nothing on an
 *  unknown worker, everything on one that runs no task.  The worker's guard
 *  may leave less.  */
struct kq_size kq_place_free (struct kq_place *place,
                              const struct kq_name *worker, kq_usec now);

/** Returns the learned part of RACK's processors that may be used, in
 *  thousandths, or KQ_ENOENT.  */
int kq_place_rack_limit (const struct kq_place *place,
                         const struct kq_name *rack);

#endif

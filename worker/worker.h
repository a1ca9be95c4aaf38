/** @file
 * One worker, as seen by the holder of its lease: its capacity, the attempts
 * that run or may run there, and its health.
 *
 * Invariant, asserted at every admission: the admitted attempts never exceed
 * the capacity.  An attempt whose start is not replied to yet counts as
 * admitted.
 */
#ifndef KQ_WORKER_WORKER_H
#define KQ_WORKER_WORKER_H

#include <stdbool.h>

#include "core/event.h"

/** Number of distinct tasks that fail without a success in between before a
 *  worker is quarantined.  */
#define KQ_WORKER_MAX_FAILED_TASKS 3

/** How long a quarantined worker gets no new attempts, in microseconds. */
#define KQ_WORKER_QUARANTINE_US (60 * KQ_USEC_PER_SEC)

struct kq_worker;
struct kq_run;

/** State of an attempt from the point of view of the owner of the shard. */
enum kq_attempt_phase
{
  KQ_PHASE_PENDING, /**< start sent, not known whether it runs */
  KQ_PHASE_LIVE,    /**< reported as running by the worker */
  KQ_PHASE_ENDED    /**< done, failed or evicted; not acknowledged yet */
};

/** An attempt at a worker. */
struct kq_attempt
{
  struct kq_attempt_row row;
  enum kq_attempt_phase phase;
  kq_usec
      started_at; /**< when this host sent the start; 0 = this host did not */
  kq_usec last_listed_at; /**< when the request was sent whose reply last
                        listed the attempt */
  kq_usec eviction_requested_at; /**< when a checkpoint was requested in order
                        to evict the task; 0 = not requested */
  int64_t eviction_checkpoint; /**< checkpoint of the attempt at that time, in
                      ms of run time */
  kq_usec last_action_at; /**< when a stop, checkpoint or acknowledgement was
                         last sent */
  struct kq_worker *worker;
  struct kq_run *run; /**< the run of its task; NULL = the attempt has to be
                           ended */
  struct kq_attempt *prev, *next;         /**< attempts of the worker */
  struct kq_attempt *run_prev, *run_next; /**< attempts of the run */
};

/** Creates a worker of unknown capacity; NULL when out of memory. */
struct kq_worker *kq_worker_create (const struct kq_name *name);

/** Frees WORKER and its attempts, which must not belong to a run. */
void kq_worker_destroy (struct kq_worker *worker);

const struct kq_name *kq_worker_name (const struct kq_worker *worker);

/** Copies the capacity and load from TABLE, without its rows. */
void kq_worker_update_table (struct kq_worker *worker,
                             const struct kq_worker_table *table);

/** Returns the last table that WORKER reported, without its rows. */
const struct kq_worker_table *kq_worker_table (const struct kq_worker *worker);

/** Returns the first attempt of WORKER; NULL when there is none. */
struct kq_attempt *kq_worker_attempts (const struct kq_worker *worker);

/** Finds the attempt of ROW; NULL when it is unknown. */
struct kq_attempt *kq_worker_find_attempt (const struct kq_worker *worker,
                                           const struct kq_attempt_row *row);

/** Sets whether the worker gets no new attempts, because of a drain or of the
 *  host list.  */
void kq_worker_set_leaving (struct kq_worker *worker, bool leaving);

bool kq_worker_is_leaving (const struct kq_worker *worker);

/** Returns the capacity that pending and live attempts leave.  A member is
 *  negative when these attempts exceed the capacity that the worker reports.
 */
struct kq_resources kq_worker_free_capacity (const struct kq_worker *worker);

/** Returns whether every member of A is at most that of B. */
bool kq_resources_fit (const struct kq_resources *a,
                       const struct kq_resources *b);

/** Checks whether a task of SIZE can be started at NOW.
 *  @return 0, KQ_EWORKER_FULL, KQ_EWORKER_LEAVING or
 *  KQ_EWORKER_QUARANTINED.  */
int kq_worker_check_start (const struct kq_worker *worker,
                           const struct kq_resources *size, kq_usec now);

/** Adds ROW as a pending attempt that is started at NOW.  Aborts the process
 *  when kq_worker_check_start() returns an error.
 *  @return the attempt, or NULL when out of memory.  */
struct kq_attempt *kq_worker_admit (struct kq_worker *worker,
                                    const struct kq_attempt_row *row,
                                    kq_usec now);

/** Adds the attempt that the worker's table lists as ROW, or updates it if it
 *  is known.
 *  @return the attempt, or NULL when out of memory.  */
struct kq_attempt *kq_worker_apply_row (struct kq_worker *worker,
                                        const struct kq_attempt_row *row);

/** Removes ATTEMPT from its worker and frees it.  Aborts the process when it
 *  belongs to a run.  */
void kq_worker_remove_attempt (struct kq_attempt *attempt);

/** Updates the worker's health after an attempt of TASK has ended at NOW. */
void kq_worker_record_end (struct kq_worker *worker,
                           const struct kq_task_id *task, bool failed,
                           kq_usec now);

/** Returns whether the worker is quarantined at NOW. */
bool kq_worker_is_quarantined (const struct kq_worker *worker, kq_usec now);

/** Returns whether the last task that ended at the worker succeeded.  A
 *  failure there can then be attributed to the task.  */
bool kq_worker_last_succeeded (const struct kq_worker *worker);

#endif

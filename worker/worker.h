/** @file
 * One worker as the owner of its lease sees it: capacity, the attempts that
 * run or may run there, and its health.
 *
 * Rule, asserted at every admission: what is admitted never exceeds the
 * capacity.  Attempts whose start has no answer yet count as admitted.
 */
#ifndef KQ_WORKER_WORKER_H
#define KQ_WORKER_WORKER_H

#include <stdbool.h>

#include "core/event.h"

/** Distinct tasks in a row that fail before a worker is quarantined. */
#define KQ_WORKER_FAILED_TASKS 3

/** How long a quarantined worker gets no new starts. */
#define KQ_WORKER_QUARANTINE (60 * KQ_USEC_PER_SEC)

struct kq_worker;
struct kq_run;

/** How an attempt stands for the owner. */
enum kq_attempt_phase
{
  KQ_PHASE_PENDING, /**< start sent, it may run or not */
  KQ_PHASE_LIVE,    /**< seen running */
  KQ_PHASE_ENDED    /**< done, failed or evicted; waits to be acknowledged */
};

/** An attempt at a worker. */
struct kq_attempt
{
  struct kq_attempt_row row;
  enum kq_attempt_phase phase;
  kq_usec started_at; /**< when this host sent the start; 0 = not by it */
  kq_usec seen_at;    /**< sending time of the request whose answer last
                           showed it */
  kq_usec stop_at;    /**< when a checkpoint was asked to move the task; 0 */
  int64_t saved;      /**< its checkpoint when that was asked */
  kq_usec acted_at;   /**< last stop, checkpoint or acknowledgement sent */
  struct kq_worker *worker;
  struct kq_run *run; /**< the task it belongs to; NULL: it is to be ended */
  struct kq_attempt *prev, *next;         /**< list of the worker */
  struct kq_attempt *run_prev, *run_next; /**< list of the task */
};

/** Creates a worker of unknown capacity; NULL when out of memory. */
struct kq_worker *kq_worker_create (const struct kq_name *name);

/** Frees WORKER and its attempts, which must belong to no task. */
void kq_worker_destroy (struct kq_worker *worker);

const struct kq_name *kq_worker_name (const struct kq_worker *worker);

/** Takes the capacity and load that TABLE states; rows are not read. */
void kq_worker_report (struct kq_worker *worker,
                       const struct kq_worker_table *table);

/** Returns the last reported table, its rows excepted. */
const struct kq_worker_table *kq_worker_table (const struct kq_worker *worker);

/** Returns the first attempt of the worker's list. */
struct kq_attempt *kq_worker_attempts (const struct kq_worker *worker);

/** Finds the attempt of ROW; NULL when it is unknown. */
struct kq_attempt *kq_worker_find (const struct kq_worker *worker,
                                   const struct kq_attempt_row *row);

/** Sets whether the worker gets no new starts, by drain or host list. */
void kq_worker_set_leaving (struct kq_worker *worker, bool leaving);

bool kq_worker_leaving (const struct kq_worker *worker);

/** Returns what is not taken by pending and live attempts; a field is
 *  negative when the worker holds more than it states to have.  */
struct kq_size kq_worker_free (const struct kq_worker *worker);

/** Returns whether A fits into B. */
bool kq_size_fits (const struct kq_size *a, const struct kq_size *b);

/** Returns whether a task of SIZE can be started at NOW.
 *  @return 0, KQ_EWORKER_FULL, KQ_EWORKER_LEAVING or
 *  KQ_EWORKER_QUARANTINED.  */
int kq_worker_check (const struct kq_worker *worker,
                     const struct kq_size *size, kq_usec now);

/** Admits ROW as a pending attempt that is started at NOW.  Ends the process
 *  when kq_worker_check() does not hold.
 *  @return the attempt, or NULL when out of memory.  */
struct kq_attempt *kq_worker_admit (struct kq_worker *worker,
                                    const struct kq_attempt_row *row,
                                    kq_usec now);

/** Adds ROW as the worker's own table shows it; NULL when out of memory. */
struct kq_attempt *kq_worker_adopt (struct kq_worker *worker,
                                    const struct kq_attempt_row *row);

/** Takes ATTEMPT out of its worker and frees it; it belongs to no task. */
void kq_worker_forget (struct kq_attempt *attempt);

/** Counts the end of a task's attempt for the worker's health. */
void kq_worker_note_end (struct kq_worker *worker,
                         const struct kq_task_id *task, bool failed,
                         kq_usec now);

/** Returns whether the worker is quarantined at NOW. */
bool kq_worker_quarantined (const struct kq_worker *worker, kq_usec now);

/** Returns whether the worker's last finished task was a success, so that a
 *  failure there says something about the task.  */
bool kq_worker_proven (const struct kq_worker *worker);

#endif

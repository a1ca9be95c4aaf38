/** @file
 * Start orders that may still be carried out after their run was given up.
 */
#ifndef KQ_SCHED_LATE_H
#define KQ_SCHED_LATE_H

#include <stdbool.h>
#include <stdint.h>

#include "sched/internal.h"

/** Records that the start order of TASK is sent. */
void late_note_sent (struct task *task, struct kq_sched_now now);

/** Records that the start order of TASK has been carried out or refused: it
 *  has no effect later. */
void late_note_settled (struct task *task);

/** Records that the run of TASK at its worker is over. */
void late_note_run_over (struct kq_sched *sched, struct task *task);

/** Records that an earlier owner, at SENT in its term, bound TASK to the
 *  incarnation INCARNATION_MS of WORKER; UNANSWERED: it sent the start order
 *  then, which had no reply, and that run is over. */
void late_note_restored (const struct kq_sched *sched, struct task *task,
                         struct worker *worker, int64_t incarnation_ms,
                         struct term_time sent, bool unanswered,
                         struct kq_sched_now now);

/** Records that the loss of a worker counts for the run of TASK that is over:
 *  if its start order is open, that is no second start.  */
void late_note_loss_counted (struct task *task);

/** Records that WORKER lists a run of TASK that is not its current one.  */
void late_note_listed (struct task *task, const struct worker *worker);

/** Records that WORKER has ended a run of TASK that is not its current one. */
void late_note_ended (struct task *task, const struct worker *worker);

/** Forgets the orders of TASK before the latest one, which matter no more for
 *  the losses under it.  */
void late_forget_earlier (struct task *task);

/** Counts the known incarnation of WORKER, which is over, under the tasks of
 *  which it may have begun an earlier run.  */
void late_count_losses (struct kq_sched *sched, struct worker *worker,
                        struct kq_sched_now now);

/** Returns the worker that may still begin an earlier run of TASK, or NULL. */
struct worker *late_worker (const struct task *task, struct kq_sched_now now);

/** Whether TASK may be started nowhere yet. */
bool late_forbids_start (const struct task *task, struct kq_sched_now now);

/** Returns when no earlier run of TASK can begin any more; 0: none can. */
kq_usec late_until (const struct task *task, struct kq_sched_now now);

/** Returns until when TASK waits at most for word from its late worker. */
kq_usec late_until_at_most (const struct task *task);

/** Whether a start order to WORKER is overdue, or was given up: the next
 * incarnation may begin its run, and an acknowledgement that is carried out
 * late there as well would take away its end unread.  */
bool late_awaits_orders (const struct worker *worker, struct kq_sched_now now);

/** Keeps end NUMBER of WORKER, and the later ones, from being acknowledged
 *  before UNTIL. */
void late_hold_end (struct worker *worker, int64_t number, kq_usec until);

/** Returns the last end of WORKER that may be acknowledged. */
int64_t late_last_free_end (struct worker *worker, struct kq_sched_now now);

/** Returns how many ms ago the latest start order of TASK that was given up at
 *  WORKER was sent; -1 if there is none, or an earlier owner sent it.  */
int64_t late_order_age_ms (const struct task *task,
                           const struct worker *worker,
                           struct kq_sched_now now);

/** Polls the worker that may have begun an earlier run of TASK unseen. */
void late_ask (struct kq_sched *sched, const struct task *task,
               struct kq_sched_now now);

/** Whether TASK may be started at WORKER as far as earlier orders go. */
bool late_allows (const struct task *task, const struct worker *worker,
                  struct kq_sched_now now);

#endif

/** @file
 * Budget of one service for preemptions for urgent work (kq_preempt_*): how
 * much work they may discard, and for how long none is tried after one that
 * was of no use.
 *
 * Load: a burst of wide batch tasks holds the room of a service for many
 * seconds while urgent narrow jobs, which should end within a few, keep
 * coming.
 */
#ifndef KQ_SCHED_PREEMPT_H
#define KQ_SCHED_PREEMPT_H

#include <stdbool.h>
#include <stdint.h>

#include "base/clock.h"

/** Length of the window to which the budget applies. */
#define KQ_PREEMPT_WINDOW_SECONDS 10

/** Unit of the time that a task keeps of its last stop: a task has room for a
 *  number of 32 bits.  */
#define KQ_PREEMPT_TENTH_US (100 * KQ_USEC_PER_MSEC)

/** Any window overlaps at most this many whole seconds. */
#define KQ_PREEMPT_BUCKETS (KQ_PREEMPT_WINDOW_SECONDS + 1)

/** State of one service; all zero at first. Work is in thousandths of a core
 *  times milliseconds, a millionth of a core-second.  */
struct kq_preempt
{
  int64_t discarded[KQ_PREEMPT_BUCKETS]; /**< by second */
  int64_t second;                        /**< the latest second in DISCARDED */
  kq_usec useless_at;     /**< last preemption of no use; 0: none */
  kq_usec exhausted_at;   /**< last search that found no task to stop; 0:
                             none */
  int exhausted_priority; /**< of the stage that it was for */
  /* Of the current placement pass: */
  int lowest_priority; /**< greatest number of the configured queues */
  int64_t waiting_cpu; /**< of tasks ahead that found no room */
};

/** Returns whether discarding WORK at NOW keeps to the budget of a service
 *  with CAPACITY thousandths of a core.  */
bool kq_preempt_allows (struct kq_preempt *preempt, int64_t work,
                        int64_t capacity, kq_usec now);

/** Records that WORK is discarded at NOW. */
void kq_preempt_spend (struct kq_preempt *preempt, int64_t work, kq_usec now);

/** Records that room which was made by preemption is not used. */
void kq_preempt_note_useless (struct kq_preempt *preempt, kq_usec now);

/** Returns whether the last preemption of no use is too recent for another.
 */
bool kq_preempt_must_wait (const struct kq_preempt *preempt, kq_usec now);

#endif

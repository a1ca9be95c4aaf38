/** @file
 * Effects of the scheduler that wait until the store holds their journal
 * position (kq_deferred_*).
 */
#ifndef KQ_NODE_DEFERRED_H
#define KQ_NODE_DEFERRED_H

#include "sched/sched.h"

struct kq_deferred;

/** Executes EFFECT.
 *  @return false if no further effect is to be executed.  */
typedef bool kq_deferred_execute (void *arg,
                                  const struct kq_sched_effect *effect);

/** Creates an empty list; NULL when out of memory. */
struct kq_deferred *kq_deferred_create (kq_deferred_execute *execute,
                                        void *arg);
void kq_deferred_destroy (struct kq_deferred *deferred);

/** Adds EFFECT; logs an error when out of memory. */
void kq_deferred_add (struct kq_deferred *deferred,
                      const struct kq_sched_effect *effect);

/** Executes all effects that wait for POSITION or an earlier one. */
void kq_deferred_run (struct kq_deferred *deferred, uint64_t position);

/** Adapts the effects of JOB, which was withdrawn: its results become 503 and
 *  are due at once, its orders are dropped.  */
void kq_deferred_withdraw (struct kq_deferred *deferred, uint64_t job);

#endif

/** @file
 * Orders to workers as they are sent, and their results.
 */
#ifndef KQ_SCHED_ORDER_H
#define KQ_SCHED_ORDER_H

#include "sched/sched.h"

enum kq_order_kind
{
  KQ_ORDER_START = 1,
  KQ_ORDER_STOP,
  KQ_ORDER_PACE, /**< limits the CPU of a run */
  KQ_ORDER_POLL  /**< renews the lease and returns the worker's status */
};

/** An order; it refers to texts of its sender. */
struct kq_order
{
  uint64_t tag; /**< chosen by the sender; the result repeats it */
  enum kq_order_kind kind;
  const char *worker;
  const char *address;     /**< "ADDR:PORT" */
  int64_t fence;           /**< 0: that of the owner's term */
  struct kq_sched_run run; /**< not of polls */
  int64_t lease_end_ms;    /**< START, POLL: on the worker's clock; POLL: 0 if
                              the lease is not renewed */
  const char *text;        /**< START: body of the job */
  const char *checkpoint;  /**< START: "" if none */
  const char *ticket;      /**< START: "" if none */
  int percent;             /**< PACE */
  int64_t acked;           /**< POLL: ends up to this number are stored */
  int wait_ms; /**< POLL: how long the reply may be delayed until a run ends */
};

/** Result of an order; valid during the call that reports it. */
struct kq_order_result
{
  uint64_t tag;
  enum kq_order_kind kind;
  const char *worker;
  struct kq_sched_run run; /**< not of polls */
  enum kq_sched_reply reply;
  int64_t worker_clock_ms; /**< 0 if the worker sent none */
  int64_t fence;           /**< of the order, as in it */
  kq_usec sent_at;         /**< not later than the order reached the worker */
  const struct kq_sched_status *worker_status; /**< POLL with KQ_SCHED_OK */
};

/** Receives the result of an order. */
typedef void kq_order_done (void *arg, const struct kq_order_result *result);

/** Returns the scheduler's event for RESULT. */
struct kq_sched_event kq_order_event (const struct kq_order_result *result);

#endif

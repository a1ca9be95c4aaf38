/** @file
 * Closed queues as the owner has told this host (kq_admission_*), and to which
 * fronts an owner has told them when. Load: a burst of several times what a
 * service can do; what would be refused is not forwarded.
 *
 * A figure is counted from when the request arrived to which it came with the
 * reply, so that it ends no later than the closure at the owner. It refuses
 * nothing that may be a repeat of an accepted job: the owner sends the IDs of
 * the jobs that it knows.
 */
#ifndef KQ_NODE_ADMISSION_H
#define KQ_NODE_ADMISSION_H

#include <stdbool.h>
#include <stddef.h>

#include "base/clock.h"
#include "sched/idset.h"
#include "sched/types.h"

/** Maximum numbers of closed queues and of fronts that are remembered. */
#define KQ_ADMISSION_MAX_QUEUES 16
#define KQ_ADMISSION_MAX_FRONTS 96

/** Maximum size of the identity of a front. */
#define KQ_ADMISSION_FRONT_SIZE 32

struct kq_admission_figure
{
  char queue[KQ_SCHED_NAME_SIZE];
  kq_usec until;
  int64_t retry_ms;
};

/** State of a front. */
struct kq_admission
{
  struct kq_admission_figure figures[KQ_ADMISSION_MAX_QUEUES];
  struct kq_idset known; /**< jobs that the owner knows */
};

/** Returns whether a figure is within its bounds. */
bool kq_admission_is_valid (const char *queue, int64_t until_ms,
                            int64_t retry_ms);

/** Takes over that the owner has closed QUEUE for UNTIL_MS, in a reply to a
 *  request that arrived at SINCE; the figure is valid.  */
void kq_admission_note (struct kq_admission *admission, const char *queue,
                        int64_t until_ms, int64_t retry_ms, kq_usec since);

/** Returns whether QUEUE is closed to JOB; sets *RETRY_MS to its Retry-After.
 */
bool kq_admission_refuses (const struct kq_admission *admission,
                           const struct kq_sched_queue *queue, uint64_t job,
                           kq_usec now, int64_t *retry_ms);

/** When fronts were last told. */
struct kq_admission_fronts
{
  struct
  {
    uint8_t id[KQ_ADMISSION_FRONT_SIZE];
    size_t size;
    kq_usec told_at;
  } fronts[KQ_ADMISSION_MAX_FRONTS];
};

/** Returns whether the front ID may be told now, at most once every 200 ms,
 *  and counts it as told then.  */
bool kq_admission_is_due (struct kq_admission_fronts *fronts,
                          const uint8_t *id, size_t size, kq_usec now);

#endif

/** @file
 * Delay scheduling: how long a task waits for room in the rack that holds its
 * data, or in one rack for all of its group, before it starts elsewhere.
 *
 * Load: six tenths of a class's jobs want the data of one rack; elsewhere a
 * task runs longer by a factor. A wait pays off while the expected end near
 * is sooner than the expected end far. How soon room comes free is learned
 * from the ends of short tasks in the rack.
 */
#ifndef KQ_SCHED_NEAR_H
#define KQ_SCHED_NEAR_H

#include <stdbool.h>

#include "sched/types.h"

/** A wait is looked at again at least this often; it ends at the last look
 *  before its limit. Equal to the interval of ticks.  */
#define KQ_NEAR_LOOK_US (100 * KQ_USEC_PER_MSEC)

/** Tasks that run in a rack. */
struct kq_near_running
{
  int count;
  int64_t rate; /**< ends to be expected in 1e9 ms: sum of kq_near_rate() */
};

/** Learned ends of the short tasks in one rack: decayed sums. */
struct kq_near_ends
{
  double weight;          /* number of ends */
  double expected;        /* for each end, number that was expected by then */
  double expected_square; /* squares of these numbers */
  double cpu;             /* what the ends freed */
  double mem;
  double gpu;
  struct kq_near_running running;
  double since_end;   /* ends that were expected since the last one */
  kq_usec updated_at; /* since_end counts until then */
};

/** What has to come free before a task fits. */
struct kq_near_need
{
  struct kq_sched_demand missing; /**< for the task itself; not above 0 where
                                     there is enough */
  struct kq_sched_demand ahead;   /**< of the tasks that have waited longer for
                                     the same rack */
  int places; /**< number of workers over which the ends are spread, if all
                 that is missing has to come free at one; otherwise 1 */
};

/** A task that may wait. */
struct kq_near_task
{
  int64_t length_ms; /**< expected run time near */
  double remote_factor;
  int64_t slack_ms;   /**< due time less the expected end of a start far now */
  kq_usec waited;     /**< since its wait began */
  bool others_behind; /**< tasks that do not wait want the room that it leaves
                         elsewhere */
};

/** Expected time until a task fits. */
struct kq_near_wait
{
  kq_usec expected;
  kq_usec spread; /**< standard deviation */
};

/** Returns the rate of ends of a task with a run time of LENGTH_MS. */
int64_t kq_near_rate (int64_t length_ms);

/** Records which short tasks run in the rack from NOW on. */
void kq_near_set_running (struct kq_near_ends *ends,
                          const struct kq_near_running *running, kq_usec now);

/** Records that a task that ran there has ended at NOW and freed FREED;
 *  kq_near_set_running() follows.  */
void kq_near_note_end (struct kq_near_ends *ends,
                       const struct kq_sched_demand *freed, kq_usec now);

/** Sets *WAIT to the expected time from NOW until NEED has come free.
 *  @return false if too few ends were seen or none are to be expected.  */
bool kq_near_expect (const struct kq_near_ends *ends,
                     const struct kq_near_need *need, kq_usec now,
                     struct kq_near_wait *wait);

/** Returns how long a task may wait in all. */
kq_usec kq_near_gain (int64_t length_ms, double remote_factor);

/** Returns whether TASK should go on waiting, or begin to. */
bool kq_near_pays (const struct kq_near_task *task,
                   const struct kq_near_wait *wait);

#endif

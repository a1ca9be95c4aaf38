/** @file
 * Admission (kq_admit_*): decides whether a new job can still be of use to its
 * caller. Load: a burst of 2.3 times the usual batch jobs for six seconds
 * beside urgent jobs, on a service that long-running tasks mostly hold.
 *
 * The expected end of a job is a lower bound: the work ahead of it in the
 * order of the queue, divided by the room of its service, and its longest
 * chain of steps, each in as many waves as the room requires. Tasks that are
 * larger than all of its own are not ahead of it: they leave pieces of room
 * that suit it. Jobs that are refused could therefore not have been in time.
 *
 * Work is in thousandths of a core times milliseconds.
 */
#ifndef KQ_SCHED_ADMIT_H
#define KQ_SCHED_ADMIT_H

#include <uthash.h>

#include "sched/types.h"

/** Number of priorities that are told apart; lower ones count as the last. */
#define KQ_ADMIT_PRIORITIES 4

/** Number of classes of due times: four for each doubling from 64 ms to 70
 *  minutes.  */
#define KQ_ADMIT_BINS 64

/** Number of classes of task sizes: four for each doubling from half a core to
 *  32 cores.  */
#define KQ_ADMIT_SIZE_CLASSES 24

/** Number of jobs of a queue with which a new one's size is compared. */
#define KQ_ADMIT_SIZES 64

/** Number of refused jobs whose IDs are remembered. */
#define KQ_ADMIT_MAX_REFUSED 4096

/** Bounds of Retry-After. */
#define KQ_ADMIT_MIN_RETRY_S 1
#define KQ_ADMIT_MAX_RETRY_S 30

/** Work of one priority that is not started yet, by the size of its tasks. */
struct kq_admit_level
{
  /** by due time */
  double in_time[KQ_ADMIT_BINS][KQ_ADMIT_SIZE_CLASSES];
  double in_time_sum[KQ_ADMIT_SIZE_CLASSES];
  double late[KQ_ADMIT_SIZE_CLASSES];
  double arrived[KQ_ADMIT_SIZE_CLASSES]; /**< of that, admitted since the last
                                            update */
  /** mean over the last seconds, thousandths of a core */
  double arrival_rate[KQ_ADMIT_SIZE_CLASSES];
};

/** Room and backlog of a service. */
struct kq_admit_service
{
  /** CPU that long-running tasks leave, in pieces for tasks of each size; 0:
   *  unknown */
  double room[KQ_ADMIT_SIZE_CLASSES];
  struct kq_admit_level levels[KQ_ADMIT_PRIORITIES];
};

/** What is known of the jobs of one queue. */
struct kq_admit_queue
{
  double sizes[KQ_ADMIT_SIZES]; /**< work of the last jobs, a ring */
  int size_count;
  int next_size;
  int credit;       /**< for refusals, gained by jobs that are admitted */
  int large_credit; /**< the same for the largest jobs */
  int bulk;         /**< jobs for which credit is kept, if more than a few */
  bool saves;       /**< credit is not spent on single jobs */
};

/** A job that arrives. */
struct kq_admit_request
{
  const struct kq_sched_spec *spec;
  const int64_t *lengths; /**< expected run time of each step, ms */
  uint64_t id;
  int priority;
  int64_t slack_ms;     /**< from now until it should end */
  int64_t objective_ms; /**< time in which it should end */
};

enum kq_admit_verdict
{
  KQ_ADMIT_IN_TIME,
  KQ_ADMIT_LATE,    /**< ends by three times its objective */
  KQ_ADMIT_TOO_LATE /**< of no use to its caller */
};

struct kq_admit_estimate
{
  enum kq_admit_verdict verdict;
  double work;    /**< of the job */
  double path_ms; /**< time that it takes without a backlog */
  double wait_ms; /**< time until its first tasks find room, if it can be in
                     time then */
  double drain;   /**< factor by which arrivals slow down the drain of what is
                     ahead of it; at least 1 */
  double end_ms;  /**< time until it is expected to end */
};

/** Clears the backlog of SERVICE, to which kq_admit_add_work() then adds what
 *  waits. Arrivals since the last call, ELAPSED_MS ago, become part of their
 *  rate.  */
void kq_admit_begin_update (struct kq_admit_service *service,
                            int64_t elapsed_ms);

/** Adds WORK of tasks of CPU that wait for room, of a job that should end in
 *  SLACK_MS.  */
void kq_admit_add_work (struct kq_admit_service *service, int priority,
                        int64_t slack_ms, bool late, int64_t cpu, double work);

/** Returns the class of tasks of CPU, and the smallest size of a class. */
int kq_admit_size_class (int64_t cpu);
int64_t kq_admit_smallest_size (int size_class);

/** Completes the update; ROOM is the CPU for short tasks by size. Room that is
 * gone fades over seconds: workers may be silent for a moment only. Without
 * any room nothing is known, and all jobs count as in time.  */
void kq_admit_end_update (struct kq_admit_service *service,
                          const double room[KQ_ADMIT_SIZE_CLASSES]);

/** Returns the work of a step: that of fillers, which take what is left over,
 *  and of long-running tasks is 0.  */
double kq_admit_step_work (const struct kq_sched_step *step, int count,
                           int64_t length_ms);

/** Computes when the job of REQUEST is expected to end. */
struct kq_admit_estimate
kq_admit_estimate (const struct kq_admit_service *service,
                   const struct kq_admit_request *request);

/** Returns whether a job of QUEUE with the estimate ESTIMATE is admitted, and
 *  counts it. A job that is too late is admitted all the same where otherwise
 *  more than 55 percent of the queue's jobs would be refused, or more than
 *  half of the largest ones.  */
bool kq_admit_decide (struct kq_admit_queue *queue,
                      const struct kq_admit_estimate *estimate);

/** Adds an admitted job to the backlog, until the next update. */
void kq_admit_add_job (struct kq_admit_service *service,
                       const struct kq_admit_request *request,
                       const struct kq_admit_estimate *estimate);

/** Returns how many refusals QUEUE has credit for. */
int kq_admit_affordable (const struct kq_admit_queue *queue);

/** Takes the credit for the refusal of COUNT jobs. */
void kq_admit_take_credit (struct kq_admit_queue *queue, int count);

/** Returns the Retry-After in seconds before it is spread over the callers. */
int64_t kq_admit_base_retry_s (const struct kq_admit_request *request,
                               const struct kq_admit_estimate *estimate);

/** Spreads the Retry-After BASE_S of the job ID by up to a half of it. */
int kq_admit_spread_retry_s (int64_t base_s, uint64_t id, int priority,
                             bool before);

/** Returns the Retry-After in seconds of a refused job: when the backlog has
 *  drained so far that it would be in time. BEFORE: it was refused before.  */
int kq_admit_retry_s (const struct kq_admit_request *request,
                      const struct kq_admit_estimate *estimate, bool before);

struct kq_admit_refused_id
{
  uint64_t id;
  UT_hash_handle hh;
};

/** IDs of the last jobs that were refused. */
struct kq_admit_refused
{
  struct kq_admit_refused_id *ring;
  struct kq_admit_refused_id *by_id;
  int count;
  int next;
};

/** Records that the job ID is refused.
 *  @return whether it is among the last ones already.  */
bool kq_admit_note_refused (struct kq_admit_refused *refused, uint64_t id);
void kq_admit_forget_refused (struct kq_admit_refused *refused);

#endif

/** @file
 * Closed queues (kq_close_*): decides when a queue is so far behind that a job
 * of any size would be refused, so that the fronts refuse its jobs by
 * themselves. Load: a burst of several times what a service can do.
 *
 * A closure is paid from the credit for refusals (sched/admit.h) with the
 * number of jobs that are expected meanwhile: also with closures no more of a
 * queue's jobs are refused.
 */
#ifndef KQ_SCHED_CLOSE_H
#define KQ_SCHED_CLOSE_H

#include "sched/admit.h"

/** Longest time for which a queue is closed at once. */
#define KQ_CLOSE_MS 200

/** Number of jobs whose objectives are compared. */
#define KQ_CLOSE_JOBS 64

struct kq_close
{
  int64_t objectives[KQ_CLOSE_JOBS]; /**< of the last jobs, ms; a ring */
  int64_t cpus[KQ_CLOSE_JOBS];       /**< of their largest tasks */
  int job_count;
  int next_job;
  int arrived; /**< jobs since the last update */
  double rate; /**< jobs per ms, mean over a second */
  int64_t until_ms;
  int64_t retry_s; /**< Retry-After while it is closed */
};

/** Counts a job that was judged; CPU is that of its largest tasks. */
void kq_close_note_job (struct kq_close *close, int64_t objective_ms,
                        int64_t cpu);

/** Closes the queue if each job would be refused, for as long as the credit of
 *  QUEUE suffices. Called at each tick, ELAPSED_MS after the last one.
 *  @return whether it is closed from now on.  */
bool kq_close_update (struct kq_close *close, struct kq_admit_queue *queue,
                      const struct kq_admit_service *service, int priority,
                      int64_t now_ms, int64_t elapsed_ms);

#endif

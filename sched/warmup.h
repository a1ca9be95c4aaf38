/** @file
 * Workers that are slow for some time after their start.
 */
#ifndef KQ_SCHED_WARMUP_H
#define KQ_SCHED_WARMUP_H

#include "sched/internal.h"

/* Whether tasks take longer at WORKER. */
static inline bool
warmup_is_cold (const struct worker *worker, struct kq_sched_now now)
{
  return now.mono < worker->cold_until;
}

/* Records how long WORKER stays cold, from its registration just read. */
void warmup_note_registration (struct worker *worker, struct kq_sched_now now);

/* Records that a task was placed at WORKER. */
void warmup_note_start (struct worker *worker, struct kq_sched_now now);

/* Whether the cold WORKER may be given a task now; if not, the placement is
   repeated when it may. */
bool warmup_allows (struct kq_sched *sched, const struct worker *worker,
                    struct kq_sched_now now);

/* Whether a cold worker may be given a task that the last placement left. */
bool warmup_is_placement_due (const struct kq_sched *sched,
                              struct kq_sched_now now);

/* Whether TASK may be late because WORKER is cold. */
bool warmup_is_too_slow (const struct kq_sched *sched,
                         const struct worker *worker, const struct task *task,
                         struct kq_sched_now now);

/* Returns what is added to the score of TASK at WORKER, which is cold, in
   thousandths of a worker's load. */
int64_t warmup_cold_points (const struct kq_sched *sched,
                            const struct worker *worker,
                            const struct task *task, struct kq_sched_now now);

/* Whether WORKER counts as one of those among which a worker for TASK is
   chosen: the search goes on behind cold workers where it may be late. */
static inline bool
warmup_is_candidate (const struct kq_sched *sched, const struct worker *worker,
                     const struct task *task, struct kq_sched_now now)
{
  return !warmup_is_cold (worker, now)
         || !warmup_is_too_slow (sched, worker, task, now);
}

static inline int64_t
warmup_points (const struct kq_sched *sched, const struct worker *worker,
               const struct task *task, struct kq_sched_now now)
{
  return warmup_is_cold (worker, now)
             ? warmup_cold_points (sched, worker, task, now)
             : 0;
}

#endif

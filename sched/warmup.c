/* Workers that are slow for some time after their start (warmup_*).
 *
 * Load: a zone with a sixth of the workers comes back cold all at once while
 * the other zones are busy.
 *
 * The empty workers would draw all new tasks and run them for up to
 * warmup_excess times as long.  A cold worker is filled step by step, counts
 * as smaller than it is, and takes tasks that would be late there only if no
 * warm worker has room.
 */
#include "sched/warmup.h"

/* A cold worker gets at most one task in this time for each 8 cores: 20 a
   second, about what 8 cores end with tasks of 0.4 s. */
#define START_INTERVAL_US (50 * KQ_USEC_PER_MSEC)
#define CPU_PER_START 8000

/* Minimum time between two placements on account of cold workers alone, each
   of which may visit all ready tasks. */
#define RETRY_INTERVAL_US (10 * KQ_USEC_PER_MSEC)

/* Added to the score of a cold worker where a task may be late: above all
   other weights but that of tasks that crash workers. */
#define WEIGHT_TOO_SLOW 20000

/* Lateness of a stage that is past three times its objective. */
#define NEVER_OF_USE 2

void
warmup_note_registration (struct worker *worker, struct kq_sched_now now)
{
  int64_t left_ms = worker->report.warmup_left_ms;

  worker->cold_until = left_ms > 0 ? now.mono + left_ms * KQ_USEC_PER_MSEC : 0;
}

void
warmup_note_start (struct worker *worker, struct kq_sched_now now)
{
  int64_t cpu = worker->report.capacity.cpu;

  if (warmup_is_cold (worker, now) && cpu > 0)
    worker->next_cold_start
        = now.mono + START_INTERVAL_US * CPU_PER_START / cpu;
}

bool
warmup_allows (struct kq_sched *sched, const struct worker *worker,
               struct kq_sched_now now)
{
  kq_usec at = worker->next_cold_start;

  if (now.mono >= at)
    return true;
  if (at < now.mono + RETRY_INTERVAL_US)
    at = now.mono + RETRY_INTERVAL_US;
  if (sched->cold_retry_at == 0 || at < sched->cold_retry_at)
    sched->cold_retry_at = at;
  return false;
}

bool
warmup_is_placement_due (const struct kq_sched *sched, struct kq_sched_now now)
{
  return sched->cold_retry_at != 0 && now.mono >= sched->cold_retry_at;
}

/* Returns by how much longer, at most, a task of LENGTH_MS runs at WORKER,
   which is slow for no longer than it stays cold. */
static double
extra_ms (const struct kq_sched *sched, const struct worker *worker,
          int64_t length_ms, struct kq_sched_now now)
{
  double excess = sched->settings.warmup_excess;
  double cold_ms
      = (double)(worker->cold_until - now.mono) / (double)KQ_USEC_PER_MSEC;
  double over_length = (double)length_ms * (excess - 1);
  double over_cold_time = cold_ms * (1 - 1 / excess);

  return over_length < over_cold_time ? over_length : over_cold_time;
}

/* A task that serves requests must not be slow at any time; one that runs for
   long, or is of no use any more, has no due time. */
bool
warmup_is_too_slow (const struct kq_sched *sched, const struct worker *worker,
                    const struct task *task, struct kq_sched_now now)
{
  const struct stage *stage = task->stage;
  int64_t slack_ms;

  if (sched->settings.warmup_excess <= 1)
    return false;
  if (stage->step->tail_target_ms > 0)
    return true;
  if (stage->step->long_running || stage->lateness == NEVER_OF_USE)
    return false;
  slack_ms = stage->due_ms - now.wall_ms - stage->critical_path_ms;
  return (double)slack_ms < extra_ms (sched, worker, stage->length_ms, now);
}

int64_t
warmup_cold_points (const struct kq_sched *sched, const struct worker *worker,
                    const struct task *task, struct kq_sched_now now)
{
  int64_t cpu
      = worker->used.cpu + worker->filler_cpu + task->stage->step->demand.cpu;
  int64_t capacity = worker->report.capacity.cpu;

  if (warmup_is_too_slow (sched, worker, task, now))
    return WEIGHT_TOO_SLOW;
  if (capacity == 0)
    return 0;
  return (int64_t)((double)cpu * 1000 / (double)capacity
                   * (sched->settings.warmup_excess - 1));
}

/* Preemption for urgent work (preempt_*).
 *
 * Load: a burst of wide batch tasks beside urgent narrow jobs, on a service
 * with no room left.
 *
 * A short task that has found no room, and whose stage would be late if it
 * waited for tasks to end, gets the room of tasks of lower priority: those
 * whose stop loses the least work are stopped, and what they free is held for
 * the stage (reserve_hold).
 */
#include "sched/preempt.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "log/log.h"
#include "sched/internal.h"
#include "sched/preempt-search.h"

/* Time without room after which an urgent task may preempt others: ends that
   are about to be reported come first. */
#define PREEMPT_AFTER_US (100 * KQ_USEC_PER_MSEC)

/* Time between two searches for the same stage: longer than a tick, so that a
   stage behind it has its turn. */
#define SEARCH_INTERVAL_US (200 * KQ_USEC_PER_MSEC)

/* Time between any two searches, each of which looks at all tasks of a
   service. */
#define SEARCH_GAP_US (10 * KQ_USEC_PER_MSEC)

/* Time that a start takes after the stop that makes room for it: the report of
   the end, the record of the start in the store, and the order. */
#define START_MS 100

/* Time for which freed room is held, beyond the longest stop. */
#define HOLD_MARGIN_MS 300

void
preempt_configure (const struct kq_sched *sched, struct service *service)
{
  const struct kq_sched_config *config = sched->config;

  service->preempt.lowest_priority = 0;
  for (size_t i = 0; config != NULL && i < config->queue_count; i++)
    if (config->queues[i].priority > service->preempt.lowest_priority
        && strcmp (config->queues[i].service, service->name) == 0)
      service->preempt.lowest_priority = config->queues[i].priority;
}

void
preempt_begin_pass (struct kq_sched *sched)
{
  for (int i = 0; i < sched->service_count; i++)
    sched->services[i].preempt.waiting_cpu = 0;
}

void
preempt_note_stop (struct task *task, struct kq_sched_now now)
{
  task->preempted_run = task->run;
  task->preempted_tenth = (int)(now.mono / KQ_PREEMPT_TENTH_US);
}

/* Returns how many rooms have to be made: those that are needed beyond the
   rooms that come free in time. The tasks ahead take these first. */
static int
missing_rooms (const struct search *search)
{
  int64_t missing = search->needed - search->natural_rooms;

  if (missing < 0)
    return 0;
  return missing < search->waiting ? (int)missing : search->waiting;
}

static void
stop_tasks (struct kq_sched *sched, const struct stage *stage,
            const struct plan *plan, struct kq_sched_now now)
{
  char why[80];

  snprintf (why, sizeof why, "urgent work of job %016" PRIx64 " needs room",
            stage->job->id);
  for (int i = 0; i < plan->stop_count; i++)
    {
      sched->counts.urgent_preemptions++;
      task_log (plan->stops[i], "task preempted", why);
      preempt_note_stop (plan->stops[i], now);
      task_stop (sched, plan->stops[i], now);
    }
}

/* Carries out the first COUNT plans if the budget of SERVICE allows it, and
   holds MISSING rooms for the stage. */
static void
carry_out (struct kq_sched *sched, struct stage *stage,
           const struct search *search, const struct plans *plans, int count,
           int missing)
{
  struct kq_preempt *preempt = &sched->services[stage->job->service].preempt;
  kq_usec now = search->now.mono;
  kq_usec until
      = now + (sched->settings.stop_ms + HOLD_MARGIN_MS) * KQ_USEC_PER_MSEC;
  int64_t work = 0;

  for (int i = 0; i < count; i++)
    work += plans->best[i].lost + plans->best[i].unused;
  if (!kq_preempt_allows (preempt, work, search->capacity, now))
    {
      sched->counts.preemptions_refused++;
      return;
    }
  kq_preempt_spend (preempt, work, now);
  sched->counts.preempted_work += work;
  for (int i = 0; i < count; i++)
    {
      const struct plan *plan = &plans->best[i];

      stop_tasks (sched, stage, plan, search->now);
      for (int j = 0; j < plan->rooms && missing > 0; j++, missing--)
        reserve_hold (sched, stage, plan->worker, until);
    }
}

/* Whether a search for a stage of at least this urgency has lately found no
   task that may be stopped. */
static bool
is_exhausted (const struct kq_preempt *preempt, const struct stage *stage,
              struct kq_sched_now now)
{
  return preempt->exhausted_at != 0
         && stage->job->queue.priority >= preempt->exhausted_priority
         && now.mono - preempt->exhausted_at < SEARCH_INTERVAL_US;
}

/* Whether the tasks of STAGE, of which UNPLACED found no room, may preempt
   others now. */
static bool
may_preempt (const struct kq_sched *sched, const struct stage *stage,
             const struct task *unplaced, struct kq_sched_now now)
{
  const struct kq_sched_step *step = stage->step;
  const struct kq_preempt *preempt
      = &sched->services[stage->job->service].preempt;

  return stage->job->queue.priority < preempt->lowest_priority
         && !step->long_running && !step->filler && !step->gang
         && unplaced->avoided_worker == NULL
         && now.mono - unplaced->ready_at >= PREEMPT_AFTER_US
         && now.mono - stage->preempt_searched_at >= SEARCH_INTERVAL_US
         && !kq_preempt_must_wait (preempt, now.mono)
         && !is_exhausted (preempt, stage, now);
}

static void
preempt_for (struct kq_sched *sched, struct stage *stage,
             struct kq_sched_now now)
{
  struct kq_preempt *preempt = &sched->services[stage->job->service].preempt;
  struct search search
      = { .sched = sched,
          .stage = stage,
          .now = now,
          .slack_ms = stage->due_ms - now.wall_ms - stage->critical_path_ms,
          .waiting = stage->ready_count - stage->hold_count };
  int64_t cpu = stage->step->demand.cpu;
  const struct plans *plans;
  int missing;
  int count;

  if (search.slack_ms < sched->settings.stop_ms + START_MS
      || search.waiting <= 0 || search.waiting > MAX_ROOMS
      || !reserve_can_hold (sched, search.waiting))
    return;
  if (now.mono - sched->preempt_searched_at < SEARCH_GAP_US)
    {
      sched->placement_due = true;
      return;
    }
  sched->preempt_searched_at = now.mono;
  stage->preempt_searched_at = now.mono;
  search.needed = search.waiting;
  if (cpu > 0)
    search.needed += (preempt->waiting_cpu + cpu - 1) / cpu;
  sched->preempt_next = preempt_search (&search, sched->preempt_next);
  if (!search.found_candidate && stage->step->label[0] == '\0')
    {
      preempt->exhausted_at = now.mono;
      preempt->exhausted_priority = stage->job->queue.priority;
    }
  missing = missing_rooms (&search);
  if (missing == 0 || !search.found_candidate)
    return;
  plans = &search.spread;
  count = preempt_count_plans (plans, missing);
  if (count == 0)
    {
      plans = &search.packed;
      count = preempt_count_plans (plans, missing);
    }
  if (count > 0)
    carry_out (sched, stage, &search, plans, count, missing);
}

void
preempt_for_stage (struct kq_sched *sched, struct stage *stage,
                   const struct task *unplaced, struct kq_sched_now now)
{
  const struct kq_sched_step *step = stage->step;

  if (stage->job->service < 0)
    return;
  if (may_preempt (sched, stage, unplaced, now))
    preempt_for (sched, stage, now);
  if (!step->filler && !step->long_running)
    sched->services[stage->job->service].preempt.waiting_cpu
        += (stage->ready_count - stage->hold_count) * step->demand.cpu;
}

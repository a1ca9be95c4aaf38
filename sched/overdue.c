/* Long-running tasks that wait although workers have room (overdue_*).
 *
 * A long-running task that has run before goes on within seconds of a loss.
 * One that does not is compared with all workers that have room for it twice
 * over: the log says how many there are and what keeps it off each of them.
 */
#include "sched/overdue.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "log/log.h"
#include "sched/explain.h"

/* Time without a run after which a long-running task is overdue. Source: it
   may be down for 3 s while there is room. */
#define OVERDUE_US (2 * KQ_USEC_PER_SEC)

#define CHECK_INTERVAL_US (1 * KQ_USEC_PER_SEC)

/* Maximum number of tasks compared with all workers in one check: 16 of them
   take less than 1 ms with 490 workers. */
#define MAX_COMPARED 16

/* Room must suffice for this many tasks like the overdue one. */
#define ROOM_FACTOR 2

/* The workers with room for a task, by what keeps it off. */
struct overdue_room
{
  int workers;
  int open; /* nothing does: the task was not tried there */
  int ruled_out[KQ_SCHED_OUT_KINDS];
};

static bool
is_overdue (const struct task *task, struct kq_sched_now now)
{
  return task->state == TASK_READY && task->has_run
         && now.mono - task->ready_at >= OVERDUE_US;
}

static bool
has_ample_room (const struct worker *worker, const struct stage *stage)
{
  const struct kq_sched_demand *demand = &stage->step->demand;
  struct kq_sched_demand room = worker->report.capacity;

  demand_add (&room, &worker->used, -1);
  return worker->registered && !worker->report.draining && !worker->evacuated
         && worker->service == stage->job->service
         && demand_slots (&room, demand, ROOM_FACTOR) == ROOM_FACTOR;
}

static struct overdue_room
compare_with_workers (struct kq_sched *sched, const struct task *task,
                      struct kq_sched_now now)
{
  struct overdue_room room = { .workers = 0 };

  for (size_t i = 0; i < sched->worker_count; i++)
    {
      struct worker *worker = sched->worker_array[i];
      int64_t points;

      if (!has_ample_room (worker, task->stage))
        continue;
      room.workers++;
      if (place_score (sched, worker, task, now, &points))
        room.open++;
      else
        room.ruled_out[explain_reason (worker, task, now)]++;
    }
  return room;
}

static void
log_room (const struct task *task, const struct overdue_room *room,
          struct kq_sched_now now)
{
  char why[256];
  int length
      = snprintf (why, sizeof why, "%" PRId64 " ms; not tried %d",
                  (now.mono - task->ready_at) / KQ_USEC_PER_MSEC, room->open);

  for (int i = 0; i < KQ_SCHED_OUT_KINDS; i++)
    if (room->ruled_out[i] > 0)
      length += snprintf (why + length, sizeof why - (size_t)length, ", %s %d",
                          kq_sched_ruled_out_name ((enum kq_sched_ruled_out)i),
                          room->ruled_out[i]);
  task_log (task, "long-running task waits beside room", why);
}

/* Counts the overdue tasks of STAGE. Those of one step differ little, so that
   only the one that has waited longest is compared with workers. */
static void
check_stage (struct kq_sched *sched, const struct stage *stage,
             struct kq_sched_now now, int *compared)
{
  const struct task *oldest = NULL;
  struct overdue_room room;

  for (int i = 0; i < stage->step->count; i++)
    {
      const struct task *task = &stage->tasks[i];

      if (!is_overdue (task, now))
        continue;
      sched->counts.overdue_tasks++;
      if (oldest == NULL || task->ready_at < oldest->ready_at)
        oldest = task;
    }
  if (oldest == NULL || *compared == MAX_COMPARED)
    return;
  ++*compared;
  room = compare_with_workers (sched, oldest, now);
  if (room.workers == 0)
    return;
  sched->counts.overdue_beside_room++;
  log_room (oldest, &room, now);
}

void
overdue_tick (struct kq_sched *sched, struct kq_sched_now now)
{
  const struct stage *stage;
  int compared = 0;

  if (now.mono - sched->overdue_checked_at < CHECK_INTERVAL_US
      || !place_is_permitted (sched, now))
    return;
  sched->overdue_checked_at = now.mono;
  sched->counts.overdue_tasks = 0;
  DL_FOREACH (sched->queue, stage)
  {
    if (stage->step->long_running)
      check_stage (sched, stage, now, &compared);
  }
}

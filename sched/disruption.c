/* The tasks of each step that are away from their work, for whatever cause
 * (disruption_*): ready, starting, or being stopped.
 *
 * Load: a zone is evacuated that holds a third of the tasks of a long-running
 * step, while others of that step are away for other causes.
 *
 * Every stop of a long-running task that the system decides on asks here.
 */
#include "sched/disruption.h"

bool
disruption_is_at_work (const struct task *task)
{
  return task->state == TASK_BOUND && task->percent == 100
         && !task->stop_wanted;
}

void
disruption_update (struct task *task)
{
  bool at_work = disruption_is_at_work (task);

  if (at_work == task->at_work)
    return;
  task->at_work = at_work;
  task->stage->at_work_count += at_work ? 1 : -1;
}

/* Returns how many of the other tasks of the step of TASK are away. */
static int
others_away (const struct task *task)
{
  const struct stage *stage = task->stage;
  int away = stage->step->count - stage->done_count - stage->at_work_count;

  return task->at_work ? away : away - 1;
}

bool
disruption_allows_move (const struct task *task)
{
  int limit = task->stage->step->max_unavailable;

  return others_away (task) < (limit > 0 ? limit : 1);
}

bool
disruption_forbids_stop (const struct task *task)
{
  const struct kq_sched_step *step = task->stage->step;

  return step->long_running && step->max_unavailable > 0
         && !disruption_allows_move (task);
}

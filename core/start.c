/* Starts bound tasks that do not run. */

#include <stdlib.h>

#include "base/err.h"
#include "core/internal.h"

/* Maximum number of starts of one shard in one step. */
#define STARTS_MAX 64

/* Maximum number of idle tasks considered in one step. */
#define IDLE_TASKS_MAX 1024

/* Returns a new, unique attempt number. */
static int64_t
next_attempt_number (struct kq_shard *shard)
{
  return (int64_t)shard->epoch * KQ_ATTEMPTS_PER_EPOCH
         + ++shard->attempt_serial;
}

static void
send_start (struct kq_core *core, struct kq_run *run, struct kq_node *node,
            const struct kq_resources *grant, int64_t number)
{
  struct kq_effect effect = { .kind = KQ_FX_TASK };
  struct kq_attempt_row *row = &effect.u.task.row;
  struct kq_attempt *attempt;

  row->task = run->id;
  row->attempt = number;
  row->binding = run->binding;
  row->checkpoint = run->checkpoint;
  row->state = KQ_ATTEMPT_RUNNING;
  row->size = *grant;
  row->share_milli = 1000;
  attempt = kq_worker_admit (node->worker, row, core->now);
  if (attempt == NULL)
    return;
  kq_run_start (run, attempt);
  kq_lease_note_start (node->lease, core->now);
  effect.u.task.worker = node->name;
  effect.u.task.term = kq_lease_term (node->lease);
  effect.u.task.serial = kq_lease_serial (node->lease);
  effect.u.task.action = KQ_TASK_START;
  effect.u.task.task_kind = run->kind;
  effect.u.task.run_ms = run->run_ms;
  kq_effects_add (core->out, &effect);
}

/* Returns 0, or why RUN waits. */
static int
start_one (struct kq_core *core, struct kq_shard *shard, struct kq_run *run)
{
  struct kq_node *node = NULL;
  struct kq_resources grant;

  run->wait_err = kq_placement_assign (core, shard, run, &node, &grant);
  if (run->wait_err == 0)
    send_start (core, run, node, &grant, next_attempt_number (shard));
  return run->wait_err;
}

static bool
is_idle (const struct kq_core *core, const struct kq_run *run)
{
  return run->attempts_known && !run->done && !run->releasing
         && core->now >= run->earliest_start
         && kq_run_live_attempt (run) == NULL;
}

/* Collects idle tasks, the most important first and the oldest first among
   equally important ones.  Returns their number. */
static size_t
collect_idle (struct kq_core *core, const struct kq_shard *shard,
              struct kq_run **idle)
{
  size_t count = 0;

  for (int importance = 9; importance >= 0; importance--)
    for (struct kq_run *run = shard->runs;
         run != NULL && count < IDLE_TASKS_MAX; run = run->next)
      if (run->importance == importance && is_idle (core, run))
        idle[count++] = run;
  return count;
}

/* Starts idle tasks.  After a task could not be placed, other tasks of the
   same job are not tried in this step, except tasks that have failed: each of
   these avoids workers of its own. */
static void
start_idle (struct kq_core *core, struct kq_shard *shard)
{
  struct kq_run *idle[IDLE_TASKS_MAX];
  size_t count = collect_idle (core, shard, idle);
  const struct kq_run *unplaced = NULL;
  int started = 0;

  for (size_t i = 0; i < count && started < STARTS_MAX; i++)
    {
      if (unplaced != NULL && idle[i]->failed_worker_count == 0
          && kq_name_eq (&unplaced->id.job, &idle[i]->id.job))
        idle[i]->wait_err = unplaced->wait_err;
      else if (start_one (core, shard, idle[i]) == 0)
        started++;
      else if (idle[i]->failed_worker_count == 0)
        unplaced = idle[i];
    }
}

void
kq_start_tick (struct kq_core *core, struct kq_shard *shard)
{
  if (shard->epoch == 0 || !kq_jobs_is_complete (core->jobs) || core->stopping
      || shard->attempt_serial >= KQ_ATTEMPTS_PER_EPOCH - STARTS_MAX)
    return;
  start_idle (core, shard);
}

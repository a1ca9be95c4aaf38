/* Updates the placement state (place/place.h) from the tables of the workers
   that this host owns, and executes the actions that placement chooses.  */

#include <stdlib.h>

#include "base/err.h"
#include "core/internal.h"
#include "place/place.h"

/* Maximum number of throttle and evict actions in one step. */
#define ACTIONS_MAX 64

/* Context of is_usable(): the condition for workers to place a task on. */
struct placement_filter
{
  struct kq_core *core;
  const struct kq_shard *shard;
  const struct kq_run *run;
  const struct kq_resources
      *size;         /* must be admitted by kq_worker_check_start() */
  bool avoid_failed; /* exclude workers on which the task failed */
};

static void
describe_task (const struct kq_core *core, const struct kq_run *run,
               struct kq_place_task *task)
{
  const struct kq_job_state *job = kq_jobs_find (core->jobs, &run->id.job);

  *task = (struct kq_place_task){ .id = run->id,
                                  .kind = run->kind,
                                  .importance = run->importance,
                                  .size = run->size,
                                  .run_ms = run->run_ms,
                                  .eviction_count = run->eviction_count };
  if (job != NULL)
    task->team = job->job.team;
}

/* Describes ATTEMPT for placement.  If its task is unknown, the attempt will
   be stopped, and only the values of its row are set.  */
static void
describe_attempt (const struct kq_core *core, const struct kq_attempt *attempt,
                  struct kq_place_running *running)
{
  const struct kq_attempt_row *row = &attempt->row;

  running->task = (struct kq_place_task){ .id = row->task, .size = row->size };
  if (attempt->run != NULL)
    describe_task (core, attempt->run, &running->task);
  running->granted = row->size;
  running->checkpoint = row->checkpoint;
  running->share_milli = row->share_milli;
}

static void
sync_worker (struct kq_core *core, const struct kq_node *node)
{
  const struct kq_attempt *attempt = kq_worker_attempts (node->worker);
  struct kq_place_running *running;
  size_t count = 0;

  for (; attempt != NULL; attempt = attempt->next)
    count++;
  running = calloc (count + 1, sizeof *running);
  if (running == NULL)
    return;
  count = 0;
  for (attempt = kq_worker_attempts (node->worker); attempt != NULL;
       attempt = attempt->next)
    if (attempt->phase != KQ_PHASE_ENDED)
      describe_attempt (core, attempt, &running[count++]);
  kq_place_sync_tasks (core->place, &node->name, running, count, core->now);
  free (running);
}

void
kq_placement_update_worker (struct kq_core *core, struct kq_node *node,
                            const struct kq_lease_reply *reply)
{
  const struct kq_worker_table *table = &reply->table;
  struct kq_place_usage usage = { .seq = table->usage_seq,
                                  .at = reply->sent_at - table->usage_age,
                                  .used = table->used,
                                  .throttled = table->throttled,
                                  .busy_slots = table->busy_slots,
                                  .slow_milli = table->slow_milli };
  const struct kq_name *rack = &node->name;

  if (node->listed != NULL && !kq_name_empty (&node->listed->entry.rack))
    rack = &node->listed->entry.rack;
  if (kq_place_set_worker (core->place, &node->name, rack, &table->capacity,
                           table->slots)
      != 0)
    return;
  sync_worker (core, node);
  if (usage.seq > 0 && usage.at > 0)
    kq_place_apply_report (core->place, &node->name, &usage, core->now);
}

void
kq_placement_remove_worker (struct kq_core *core, const struct kq_node *node)
{
  kq_place_remove_worker (core->place, &node->name);
}

void
kq_placement_sizes (struct kq_core *core, const struct kq_job *job,
                    struct kq_resources *grant, struct kq_resources *expected)
{
  struct kq_place_task task = { .id = { .job = job->id },
                                .team = job->team,
                                .kind = job->kind,
                                .size = job->size };

  *grant = kq_place_granted_size (core->place, &task);
  *expected = kq_place_expected_size (core->place, &task);
}

struct kq_resources
kq_placement_free_capacity (struct kq_core *core, const struct kq_node *node)
{
  return kq_place_free_capacity (core->place, &node->name, core->now);
}

static bool
is_usable (void *ctx, const struct kq_name *name)
{
  const struct placement_filter *filter = ctx;
  struct kq_core *core = filter->core;
  const struct kq_node *node;

  HASH_FIND_STR (core->nodes, name->text, node);
  return node != NULL && node->shard == filter->shard && node->table_valid
         && kq_lease_held (node->lease, core->now)
         && kq_worker_check_start (node->worker, filter->size, core->now) == 0
         && !(filter->avoid_failed && kq_run_failed_on (filter->run, name));
}

static void
execute_action (struct kq_core *core, const struct kq_place_action *action)
{
  struct kq_run *run = kq_task_find_run (core, &action->task);
  struct kq_attempt *attempt = run ? kq_run_live_attempt (run) : NULL;

  if (attempt == NULL
      || !kq_name_eq (kq_worker_name (attempt->worker), &action->worker))
    return;
  switch (action->action)
    {
    case KQ_TASK_THROTTLE:
      kq_task_throttle (core, attempt, action->share_milli);
      break;
    case KQ_TASK_CHECKPOINT:
    case KQ_TASK_STOP:
      kq_task_begin_eviction (core, attempt);
      break;
    case KQ_TASK_START:
    case KQ_TASK_ACK:
      break;
    }
}

/* Throttles or evicts less important tasks for an urgent one; returns whether
   any action was sent.  */
static bool
preempt_for (struct kq_core *core, struct placement_filter *filter,
             const struct kq_place_task *task)
{
  static const struct kq_resources nothing = { 0, 0, 0 };
  struct kq_place_action actions[ACTIONS_MAX];
  const struct kq_resources *size = filter->size;
  int count;

  filter->size = &nothing;
  count = kq_place_preempt (core->place, task, core->now, is_usable, filter,
                            actions, ACTIONS_MAX);
  filter->size = size;
  for (int i = 0; i < count; i++)
    execute_action (core, &actions[i]);
  return count > 0;
}

int
kq_placement_assign (struct kq_core *core, const struct kq_shard *shard,
                     const struct kq_run *run, struct kq_node **node,
                     struct kq_resources *grant)
{
  struct placement_filter filter = { core, shard, run, grant, true };
  struct kq_place_task task;
  struct kq_name name;
  int err;

  describe_task (core, run, &task);
  *grant = kq_place_granted_size (core->place, &task);
  err = kq_place_choose_worker (core->place, &task, core->now, is_usable,
                                &filter, &name);
  if (err == KQ_EWORKER_FULL && run->failed_worker_count > 0)
    {
      filter.avoid_failed = false;
      err = kq_place_choose_worker (core->place, &task, core->now, is_usable,
                                    &filter, &name);
    }
  if (err == KQ_EWORKER_FULL && task.importance >= KQ_PLACE_URGENT_IMPORTANCE
      && preempt_for (core, &filter, &task))
    err = kq_place_choose_worker (core->place, &task, core->now, is_usable,
                                  &filter, &name);
  if (err != 0)
    return err;
  HASH_FIND_STR (core->nodes, name.text, *node);
  return kq_place_add_task (core->place, &name, &task, core->now);
}

void
kq_placement_tick (struct kq_core *core)
{
  struct kq_place_action actions[ACTIONS_MAX];
  int count;

  count = kq_place_relieve_workers (core->place, core->now, actions,
                                    ACTIONS_MAX);
  for (int i = 0; i < count; i++)
    execute_action (core, &actions[i]);
}

void
kq_placement_configure (struct kq_core *core,
                        const struct kq_config_document *document)
{
  struct kq_place_policy policy
      = { .tail_latency_weight = document->policy.tail_latency_weight,
          .batch_throughput_weight = document->policy.batch_throughput_weight,
          .eviction_weight = document->policy.eviction_weight };

  kq_place_set_policy (core->place, &policy);
  for (size_t i = 0; i < document->team_count; i++)
    kq_place_set_quota (core->place, &document->teams[i].name,
                        &document->teams[i].quota);
}

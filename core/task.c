/* Tasks of owned shards: tracks their attempts at workers and sends stop,
   checkpoint, throttle and acknowledge actions. */

#include <stdlib.h>
#include <string.h>

#include <utlist.h>

#include "base/err.h"
#include "core/internal.h"

/* Minimum interval between actions that are sent for the same attempt. */
#define ACTION_INTERVAL_US (500 * KQ_USEC_PER_MSEC)

/* Time in which an attempt that is evicted can save a checkpoint before it is
   stopped. */
#define CHECKPOINT_TIMEOUT_US (3 * KQ_USEC_PER_SEC)

/* Delay of the next start after the first failed attempt; doubles with each
   further failure, up to the maximum. */
#define FAILURE_DELAY_US KQ_USEC_PER_SEC
#define FAILURE_DELAY_MAX_US (60 * KQ_USEC_PER_SEC)

static struct kq_task_id
make_key (const struct kq_task_id *id)
{
  struct kq_task_id key;

  memset (&key, 0, sizeof key);
  strcpy (key.job.text, id->job.text);
  key.index = id->index;
  return key;
}

struct kq_run *
kq_task_find_run (const struct kq_core *core, const struct kq_task_id *id)
{
  struct kq_task_id key = make_key (id);
  struct kq_run *run;

  HASH_FIND (hh, core->runs, &key, sizeof key, run);
  return run;
}

static void
remove_run (struct kq_core *core, struct kq_run *run)
{
  struct kq_shard *shard = run->owner;

  /* NOLINTBEGIN(clang-analyzer-core.NullDereference): the lists' macros */
  HASH_DEL (core->runs, run);
  DL_DELETE (shard->runs, run);
  /* NOLINTEND(clang-analyzer-core.NullDereference) */
  kq_run_destroy (run);
}

static void
delay_after_failure (struct kq_core *core, struct kq_run *run)
{
  kq_usec delay = FAILURE_DELAY_US
                  << (run->failed_attempts < 6 ? run->failed_attempts : 6);

  run->failed_attempts++;
  if (delay > FAILURE_DELAY_MAX_US)
    delay = FAILURE_DELAY_MAX_US;
  run->earliest_start = core->now + delay;
}

/* Applies the row of ATTEMPT to its run and its worker.  HAS_ENDED: the
   attempt has ended and was live or pending before. */
static void
apply_row (struct kq_core *core, struct kq_attempt *attempt, bool has_ended)
{
  enum kq_attempt_state state = attempt->row.state;
  struct kq_run *run = attempt->run;
  bool failed = state == KQ_ATTEMPT_FAILED;

  if (run != NULL)
    kq_run_update (run, attempt,
                   has_ended && kq_worker_last_succeeded (attempt->worker));
  if (!has_ended)
    return;
  if (run != NULL)
    {
      run->waiting_since = core->now;
      run->eviction_count += state == KQ_ATTEMPT_EVICTED;
    }
  if (failed || state == KQ_ATTEMPT_DONE)
    kq_worker_record_end (attempt->worker, &attempt->row.task, failed,
                          core->now);
  if (failed && run != NULL)
    delay_after_failure (core, run);
}

static void
attach_if_same_binding (struct kq_run *run, struct kq_attempt *attempt)
{
  if (run != NULL && attempt->run == NULL
      && run->binding == attempt->row.binding)
    kq_run_attach (run, attempt);
}

static void
attach_known_attempts (struct kq_core *core, struct kq_shard *shard,
                       struct kq_run *run)
{
  for (size_t i = 0; i < shard->count; i++)
    {
      struct kq_attempt *attempt
          = kq_worker_attempts (shard->nodes[i]->worker);

      for (; attempt != NULL; attempt = attempt->next)
        if (attempt->row.task.index == run->id.index
            && kq_name_eq (&attempt->row.task.job, &run->id.job)
            && attempt->run == NULL)
          {
            attach_if_same_binding (run, attempt);
            if (attempt->run != NULL && attempt->phase != KQ_PHASE_PENDING)
              apply_row (core, attempt, false);
          }
    }
}

static void
create_run (struct kq_core *core, struct kq_shard *shard,
            const struct kq_task_id *id, const struct kq_job_state *job,
            const struct kq_job_task *task)
{
  struct kq_task_id key = make_key (id);
  struct kq_run *run = kq_run_create (&key, &job->job);

  if (run == NULL)
    return;
  run->binding = task->binding;
  run->checkpoint = task->checkpoint;
  run->owner = shard;
  run->waiting_since = core->now;
  /* A task bound in this host's epoch was not started by another host. */
  run->attempts_known
      = shard->all_attempts_known
        || (shard->epoch != 0 && task->binding > (int64_t)shard->epoch);
  HASH_ADD (hh, core->runs, id, sizeof run->id, run);
  DL_APPEND (shard->runs, run);
  attach_known_attempts (core, shard, run);
}

void
kq_task_sync (struct kq_core *core, const struct kq_task_id *id)
{
  const struct kq_job_task *task = kq_jobs_find_task (core->jobs, id);
  struct kq_run *run = kq_task_find_run (core, id);
  struct kq_shard *shard = NULL;

  if (task != NULL && task->shard != NULL)
    HASH_FIND_STR (core->shards, task->shard->name.text, shard);
  if (shard != NULL && !shard->owner)
    shard = NULL;
  if (run != NULL
      && (shard == NULL || run->owner != shard
          || run->binding != task->binding))
    {
      remove_run (core, run);
      run = NULL;
    }
  if (shard != NULL && run == NULL)
    create_run (core, shard, id, kq_jobs_find (core->jobs, &id->job), task);
}

static void
sync_job (struct kq_core *core, const struct kq_name *id)
{
  const struct kq_job_state *job = kq_jobs_find (core->jobs, id);
  struct kq_task_id task = { .job = *id };

  if (job == NULL)
    return;
  for (task.index = 0; task.index < job->job.tasks; task.index++)
    kq_task_sync (core, &task);
}

void
kq_task_sync_record (struct kq_core *core, const struct kq_record *record)
{
  switch (record->kind)
    {
    case KQ_REC_BIND:
    case KQ_REC_RELEASE:
    case KQ_REC_END:
      for (size_t i = 0; i < record->u.tasks.count; i++)
        kq_task_sync (core, &record->u.tasks.tasks[i].task);
      break;
    case KQ_REC_CANCEL:
      sync_job (core, &record->u.cancel);
      break;
    case KQ_REC_SNAPSHOT:
      sync_job (core, &record->u.snapshot.job.id);
      break;
    case KQ_REC_CONFIG:
    case KQ_REC_JOB:
    case KQ_REC_EPOCH:
    case KQ_REC_DRAIN:
      break;
    }
}

void
kq_task_load (struct kq_core *core, struct kq_shard *shard)
{
  const struct kq_job_state *job;

  DL_FOREACH (kq_jobs_live (core->jobs), job)
  {
    struct kq_task_id id = { .job = job->job.id };

    if (job->bound == 0)
      continue;
    for (id.index = 0; id.index < job->job.tasks; id.index++)
      {
        const struct kq_job_task *task = &job->tasks[id.index];

        if (task->shard != NULL
            && kq_name_eq (&task->shard->name, &shard->name)
            && kq_task_find_run (core, &id) == NULL)
          create_run (core, shard, &id, job, task);
      }
  }
}

void
kq_task_unload (struct kq_core *core, struct kq_shard *shard)
{
  while (shard->runs != NULL)
    remove_run (core, shard->runs);
}

void
kq_task_drop_node (struct kq_core *core, struct kq_node *node)
{
  struct kq_attempt *attempt;
  struct kq_attempt *next;

  kq_placement_remove_worker (core, node);
  for (attempt = kq_worker_attempts (node->worker); attempt != NULL;
       attempt = next)
    {
      next = attempt->next;
      kq_run_detach (attempt);
      /* Keep an attempt that can be running.  The lease may be renewed under
         the same term, and a table that was read before the start arrived may
         be received after this. */
      if (attempt->started_at == 0
          || core->now >= kq_lease_attempts_gone_at (node->lease, 0))
        kq_worker_remove_attempt (attempt);
    }
}

/* Whether a start of ATTEMPT that this host sent can still arrive at its
   worker at time AT. */
static bool
start_can_arrive (const struct kq_core *core, const struct kq_attempt *attempt,
                  kq_usec at)
{
  return attempt->started_at != 0
         && at <= attempt->started_at
                      + kq_lease_max_request_age (&core->lease_settings);
}

static void
drop_attempt (struct kq_core *core, struct kq_attempt *attempt)
{
  if (attempt->run != NULL)
    attempt->run->waiting_since = core->now;
  kq_run_detach (attempt);
  kq_worker_remove_attempt (attempt);
}

/* Drops attempts that are missing from the table which the worker returned to
   the request sent at SENT_AT: they are not at the worker. */
static void
drop_missing (struct kq_core *core, struct kq_node *node, kq_usec sent_at)
{
  struct kq_attempt *attempt;
  struct kq_attempt *next;

  for (attempt = kq_worker_attempts (node->worker); attempt != NULL;
       attempt = next)
    {
      next = attempt->next;
      if (attempt->last_listed_at < sent_at
          && !start_can_arrive (core, attempt, sent_at))
        drop_attempt (core, attempt);
    }
}

void
kq_task_apply_table (struct kq_core *core, struct kq_node *node,
                     const struct kq_lease_reply *reply)
{
  kq_worker_update_table (node->worker, &reply->table);
  for (size_t i = 0; i < reply->table.row_count; i++)
    {
      const struct kq_attempt_row *row = &reply->table.rows[i];
      struct kq_attempt *attempt = kq_worker_find_attempt (node->worker, row);
      bool was_live = attempt != NULL && attempt->phase != KQ_PHASE_ENDED;

      attempt = kq_worker_apply_row (node->worker, row);
      if (attempt == NULL)
        continue;
      attempt->last_listed_at = reply->sent_at;
      if (node->shard->owner)
        attach_if_same_binding (kq_task_find_run (core, &row->task), attempt);
      apply_row (core, attempt, was_live && attempt->phase == KQ_PHASE_ENDED);
    }
  drop_missing (core, node, reply->sent_at);
  kq_placement_update_worker (core, node, reply);
}

void
kq_task_handle_reply (struct kq_core *core, const struct kq_task_reply *reply)
{
  struct kq_attempt_row row = { .task = reply->task };
  struct kq_attempt *attempt;
  struct kq_node *node;

  HASH_FIND_STR (core->nodes, reply->worker.text, node);
  if (node == NULL)
    return;
  row.attempt = reply->attempt;
  attempt = kq_worker_find_attempt (node->worker, &row);
  if (attempt == NULL)
    return;
  /* A refused start stays pending: a duplicate of it may still arrive. */
  if (reply->action == KQ_TASK_START && reply->err == 0
      && attempt->phase == KQ_PHASE_PENDING)
    {
      attempt->phase = KQ_PHASE_LIVE;
      attempt->last_listed_at = core->now;
    }
}

static void
send_action (struct kq_core *core, struct kq_attempt *attempt,
             enum kq_task_action action)
{
  struct kq_effect effect = { .kind = KQ_FX_TASK };
  struct kq_node *node;

  if (attempt->last_action_at != 0
      && core->now < attempt->last_action_at + ACTION_INTERVAL_US)
    return;
  HASH_FIND_STR (core->nodes, kq_worker_name (attempt->worker)->text, node);
  if (node == NULL)
    return;
  attempt->last_action_at = core->now;
  effect.u.task.worker = node->name;
  effect.u.task.term = kq_lease_term (node->lease);
  effect.u.task.serial = kq_lease_serial (node->lease);
  effect.u.task.action = action;
  effect.u.task.row = attempt->row;
  kq_effects_add (core->out, &effect);
}

void
kq_task_throttle (struct kq_core *core, struct kq_attempt *attempt,
                  int32_t share_milli)
{
  struct kq_effect effect = { .kind = KQ_FX_TASK };
  struct kq_node *node;

  HASH_FIND_STR (core->nodes, kq_worker_name (attempt->worker)->text, node);
  if (node == NULL)
    return;
  effect.u.task.worker = node->name;
  effect.u.task.term = kq_lease_term (node->lease);
  effect.u.task.action = KQ_TASK_THROTTLE;
  effect.u.task.row = attempt->row;
  effect.u.task.row.share_milli = share_milli;
  kq_effects_add (core->out, &effect);
}

void
kq_task_begin_eviction (struct kq_core *core, struct kq_attempt *attempt)
{
  if (attempt->eviction_requested_at != 0)
    return;
  attempt->eviction_requested_at = core->now;
  attempt->eviction_checkpoint = attempt->row.checkpoint;
}

/* Evicts ATTEMPT: requests a checkpoint, then stops it once a checkpoint
   was saved or CHECKPOINT_TIMEOUT_US has passed. */
static void
evict (struct kq_core *core, struct kq_attempt *attempt)
{
  kq_task_begin_eviction (core, attempt);
  if (attempt->row.checkpoint > attempt->eviction_checkpoint
      || core->now > attempt->eviction_requested_at + CHECKPOINT_TIMEOUT_US)
    send_action (core, attempt, KQ_TASK_STOP);
  else if (attempt->row.state == KQ_ATTEMPT_RUNNING)
    send_action (core, attempt, KQ_TASK_CHECKPOINT);
}

/* Acknowledges a row that is no longer needed, unless a delayed duplicate of
   its start could still arrive and run the attempt again. */
static void
acknowledge (struct kq_core *core, struct kq_attempt *attempt)
{
  if (!start_can_arrive (core, attempt, core->now))
    send_action (core, attempt, KQ_TASK_ACK);
}

static void
advance_run_attempt (struct kq_core *core, struct kq_attempt *attempt)
{
  struct kq_run *run = attempt->run;
  const struct kq_attempt *live = kq_run_live_attempt (run);

  if (attempt->phase == KQ_PHASE_ENDED)
    {
      if (live != NULL && live->phase == KQ_PHASE_LIVE
          && attempt->row.state != KQ_ATTEMPT_DONE
          && live->row.attempt > attempt->row.attempt)
        acknowledge (core, attempt);
      return;
    }
  if (attempt->phase == KQ_PHASE_PENDING)
    return;
  if (run->done || live != attempt)
    send_action (core, attempt, KQ_TASK_STOP);
  else if (kq_worker_is_leaving (attempt->worker)
           || attempt->eviction_requested_at != 0)
    evict (core, attempt);
}

static void
advance_attempt (struct kq_core *core, struct kq_attempt *attempt)
{
  if (attempt->run != NULL)
    {
      advance_run_attempt (core, attempt);
      return;
    }
  /* The records read so far don't show whether this attempt has a task. */
  if (attempt->row.binding > core->offset
      || (kq_jobs_is_rebuilding (core->jobs)
          && kq_jobs_find (core->jobs, &attempt->row.task.job) == NULL))
    return;
  if (attempt->phase == KQ_PHASE_ENDED)
    acknowledge (core, attempt);
  else if (attempt->phase == KQ_PHASE_LIVE)
    send_action (core, attempt, KQ_TASK_STOP);
}

/* Drops the attempts that were last known at a silent worker, after their
   time to live has passed. */
static void
drop_lapsed_attempts (struct kq_core *core, struct kq_node *node)
{
  struct kq_attempt *attempt;
  struct kq_attempt *next;

  for (attempt = kq_worker_attempts (node->worker); attempt != NULL;
       attempt = next)
    {
      next = attempt->next;
      if (attempt->phase != KQ_PHASE_ENDED)
        drop_attempt (core, attempt);
    }
}

static bool
have_attempts_lapsed (const struct kq_core *core, const struct kq_node *node)
{
  return core->now
         >= kq_lease_attempts_gone_at (node->lease, node->shard->owner_since);
}

static void
update_attempts_known (struct kq_core *core, struct kq_shard *shard)
{
  for (size_t i = 0; i < shard->count; i++)
    if (!shard->nodes[i]->table_valid
        && !have_attempts_lapsed (core, shard->nodes[i]))
      return;
  shard->all_attempts_known = true;
  for (struct kq_run *run = shard->runs; run != NULL; run = run->next)
    run->attempts_known = true;
}

/* Appends an END record with up to KQ_RECORD_TASKS_MAX ended tasks.  Their
   rows stay at the workers until the record was read back. */
static void
append_ends (struct kq_core *core, struct kq_shard *shard)
{
  struct kq_task_ref refs[KQ_RECORD_TASKS_MAX];
  struct kq_record record = { .kind = KQ_REC_END };
  size_t count = 0;

  if (shard->end_append != NULL)
    return;
  for (struct kq_run *run = shard->runs;
       run != NULL && count < KQ_RECORD_TASKS_MAX; run = run->next)
    if (run->done)
      {
        refs[count] = (struct kq_task_ref){ .task = run->id };
        refs[count].binding = run->binding;
        refs[count++].err = run->end_err;
      }
  if (count == 0)
    return;
  record.u.tasks.shard = shard->name;
  record.u.tasks.epoch = shard->epoch;
  record.u.tasks.tasks = refs;
  record.u.tasks.count = count;
  shard->end_append = kq_append_enqueue (core, &record);
  if (shard->end_append != NULL)
    shard->end_append->owner_ref = &shard->end_append;
}

void
kq_task_tick (struct kq_core *core, struct kq_shard *shard)
{
  bool may_act = shard->epoch != 0 && kq_jobs_is_complete (core->jobs);

  for (size_t i = 0; i < shard->count; i++)
    {
      struct kq_node *node = shard->nodes[i];
      struct kq_attempt *attempt;

      kq_worker_set_leaving (node->worker, kq_node_is_leaving (core, node));
      if (!kq_lease_held (node->lease, core->now))
        {
          if (have_attempts_lapsed (core, node))
            drop_lapsed_attempts (core, node);
          continue;
        }
      if (!may_act)
        continue;
      for (attempt = kq_worker_attempts (node->worker); attempt != NULL;
           attempt = attempt->next)
        advance_attempt (core, attempt);
    }
  if (!shard->all_attempts_known)
    update_attempts_known (core, shard);
  append_ends (core, shard);
}

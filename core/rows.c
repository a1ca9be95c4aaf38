/* Tables that operators can query. */

#include <inttypes.h>
#include <stdio.h>

#include <utlist.h>

#include "base/err.h"
#include "core/internal.h"

/* Maximum number of finished jobs in a table, the newest first. */
#define FINISHED_ROWS_MAX 200

static void
set_text (json_t *row, const char *key, const char *text)
{
  json_object_set_new (row, key, json_string (text));
}

static void
set_number (json_t *row, const char *key, int64_t number)
{
  json_object_set_new (row, key, json_integer (number));
}

static void
set_size (json_t *row, const struct kq_resources *size)
{
  set_number (row, "cpu_milli", size->cpu_milli);
  set_number (row, "memory_mb", size->memory_mb);
  set_number (row, "accelerators", size->accelerators);
}

static void
set_reason (json_t *row, int err)
{
  if (err == 0)
    return;
  set_text (row, "reason", kq_err_name (err));
  set_text (row, "reason_text", kq_err_text (err));
}

static json_t *
new_row (const char *name, const char *state)
{
  json_t *row = json_object ();

  set_text (row, "name", name);
  set_text (row, "state", state);
  return row;
}

static void
add_hosts (const struct kq_core *core, json_t *rows)
{
  const struct kq_member *member;
  json_t *row = new_row (core->settings.host.text,
                         core->stopping ? "stopping" : "live");

  set_text (row, "zone", core->settings.zone.text);
  set_number (row, "revision", kq_config_revision (core->config));
  set_number (row, "offset", core->offset);
  json_array_append_new (rows, row);
  for (member = core->members; member != NULL; member = member->hh.next)
    {
      const char *state = "silent";

      if (kq_name_eq (&member->name, &core->settings.host))
        continue;
      if (member->has_left)
        state = "stopped";
      else if (member->leaving || kq_core_is_drained (core, &member->name))
        state = "leaving";
      else if (kq_member_is_live (core, member))
        state = "live";
      row = new_row (member->name.text, state);
      set_text (row, "zone", member->zone.text);
      set_number (row, "revision", member->revision);
      set_number (row, "offset", member->offset);
      json_array_append_new (rows, row);
    }
}

static const char *
worker_state (const struct kq_core *core, const struct kq_node *node,
              kq_usec now, int *reason)
{
  *reason = 0;
  if (kq_node_is_leaving (core, node))
    {
      *reason = KQ_EWORKER_LEAVING;
      return "leaving";
    }
  if (kq_worker_is_quarantined (node->worker, now))
    {
      *reason = KQ_EWORKER_QUARANTINED;
      return "quarantined";
    }
  if (kq_lease_held (node->lease, now))
    return "owned";
  if (kq_lease_lapses_at (node->lease) > now
      || kq_shard_is_claimed (node->shard, now))
    return "held";
  if (!kq_name_eq (&node->shard->zone, &core->settings.zone))
    return "remote";
  *reason = KQ_EWORKER_SILENT;
  return "silent";
}

static void
add_workers (const struct kq_core *core, json_t *rows, kq_usec now)
{
  const struct kq_node *node;

  for (node = core->nodes; node != NULL; node = node->hh.next)
    {
      const struct kq_worker_table *table = kq_worker_table (node->worker);
      const struct kq_attempt *attempt;
      json_t *row;
      int reason;
      int running = 0;

      row = new_row (node->name.text, worker_state (core, node, now, &reason));
      set_reason (row, reason);
      set_text (row, "zone", node->shard->zone.text);
      set_text (row, "shard", node->shard->name.text);
      set_text (row, "rack",
                node->listed == NULL ? "" : node->listed->entry.rack.text);
      set_text (row, "holder", kq_lease_holder (node->lease)->text);
      set_number (row, "term", (int64_t)kq_lease_term (node->lease));
      set_size (row, &table->capacity);
      DL_FOREACH (kq_worker_attempts (node->worker), attempt)
      running += attempt->phase != KQ_PHASE_ENDED;
      set_number (row, "tasks", running);
      set_number (row, "slots", table->slots);
      set_number (row, "busy_slots", table->busy_slots);
      json_array_append_new (rows, row);
    }
}

static void
add_services (const struct kq_core *core, json_t *rows)
{
  const struct kq_config_document *document
      = kq_config_document (core->config);

  for (size_t i = 0; document != NULL && i < document->service_count; i++)
    {
      const struct kq_config_service *service = &document->services[i];
      json_t *row = new_row (service->name.text, "configured");

      set_number (row, "importance", service->importance);
      set_number (row, "deadline_ms", service->deadline_ms);
      json_object_set_new (row, "idempotent",
                           json_boolean (service->idempotent));
      json_array_append_new (rows, row);
    }
}

static const char *
job_state (const struct kq_job_state *job)
{
  if (job->cancelled)
    return "cancelled";
  if (job->tasks == NULL)
    return job->failed > 0 ? "failed" : "done";
  if (job->bound + job->ended == job->job.tasks)
    return "bound";
  return job->wait_err == KQ_EJOB_NEVER_FITS ? "parked" : "waiting";
}

static void
add_job (const struct kq_job_state *job, json_t *rows)
{
  json_t *row = new_row (job->job.id.text, job_state (job));

  if (job->tasks == NULL)
    set_reason (row, job->last_err);
  else if (job->bound + job->ended < job->job.tasks)
    set_reason (row, job->wait_err);
  set_text (row, "team", job->job.team.text);
  set_text (row, "zone", job->job.zone.text);
  set_text (row, "kind",
            job->job.kind == KQ_TASK_SERVICE ? "service" : "batch");
  set_number (row, "importance", job->job.importance);
  set_number (row, "tasks", job->job.tasks);
  set_number (row, "bound", job->bound);
  set_number (row, "ended", job->ended);
  set_number (row, "failed", job->failed);
  set_number (row, "offset", job->offset);
  set_size (row, &job->job.size);
  json_array_append_new (rows, row);
}

static void
add_jobs (const struct kq_core *core, json_t *rows)
{
  const struct kq_job_state *job;
  int shown = 0;

  DL_FOREACH (kq_jobs_live (core->jobs), job)
  add_job (job, rows);
  job = kq_jobs_finished (core->jobs);
  if (job == NULL)
    return;
  /* In a utlist the head's prev is the last element, here the newest. */
  for (job = job->prev; shown < FINISHED_ROWS_MAX; job = job->prev)
    {
      add_job (job, rows);
      shown++;
      if (job == kq_jobs_finished (core->jobs))
        break;
    }
}

static const char *
run_state (const struct kq_run *run, int *reason)
{
  const struct kq_shard *shard = run->owner;
  const struct kq_attempt *live = kq_run_live_attempt (run);

  *reason = 0;
  if (run->done)
    return "ending";
  if (live != NULL)
    return live->phase == KQ_PHASE_PENDING ? "starting" : "running";
  if (run->releasing)
    return "releasing";
  *reason = run->wait_err;
  if (shard->epoch == 0)
    *reason = KQ_ELOG_DOWN;
  else if (!run->attempts_known)
    *reason = KQ_EWORKER_SILENT;
  return run->attempts_known ? "waiting" : "blocked";
}

static void
add_tasks (const struct kq_core *core, json_t *rows)
{
  const struct kq_run *run;

  for (run = core->runs; run != NULL; run = run->hh.next)
    {
      const struct kq_shard *shard = run->owner;
      const struct kq_attempt *live = kq_run_live_attempt (run);
      char name[KQ_NAME_SIZE + 16];
      json_t *row;
      int reason;

      snprintf (name, sizeof name, "%s/%" PRId32, run->id.job.text,
                run->id.index);
      row = new_row (name, run_state (run, &reason));
      set_reason (row, reason);
      set_text (row, "job", run->id.job.text);
      set_number (row, "index", run->id.index);
      set_text (row, "shard", shard->name.text);
      set_text (row, "worker",
                live == NULL ? "" : kq_worker_name (live->worker)->text);
      set_number (row, "attempt", live == NULL ? 0 : live->row.attempt);
      set_number (row, "binding", run->binding);
      set_number (row, "checkpoint", run->checkpoint);
      set_number (row, "failures", run->failed_worker_count);
      set_number (row, "importance", run->importance);
      json_array_append_new (rows, row);
    }
}

static void
add_shards (const struct kq_core *core, json_t *rows, kq_usec now)
{
  const struct kq_shard *shard;

  for (shard = core->shards; shard != NULL; shard = shard->hh.next)
    {
      bool claimed = shard->claimed_at != 0
                     && now < shard->claimed_at + KQ_MEMBER_TTL_US;
      const char *owner = claimed ? shard->claimed_by.text : "";
      json_t *row = new_row (shard->name.text, shard->owner ? "owned"
                                               : claimed    ? "claimed"
                                                            : "unowned");

      if (shard->owner)
        owner = core->settings.host.text;
      if (shard->owner && shard->epoch == 0)
        set_reason (row, KQ_ELOG_DOWN);
      set_text (row, "zone", shard->zone.text);
      set_text (row, "owner", owner);
      set_number (row, "epoch",
                  (int64_t)kq_jobs_epoch (core->jobs, &shard->name));
      set_number (row, "workers", (int64_t)shard->count);
      set_number (row, "bound",
                  kq_jobs_bound_count (core->jobs, &shard->name));
      json_array_append_new (rows, row);
    }
}

static void
add_history (const struct kq_core *core, json_t *rows)
{
  for (size_t i = 0; i < kq_config_history_count (core->config); i++)
    {
      const struct kq_config_change *change
          = kq_config_history (core->config, i);
      char name[24];
      json_t *row;

      snprintf (name, sizeof name, "%" PRId64, change->offset);
      row = new_row (name, change->err == 0 ? "accepted" : "void");
      set_reason (row, change->err);
      set_number (row, "revision", change->offset);
      set_number (row, "base", change->base);
      set_text (row, "host", change->host.text);
      json_array_append_new (rows, row);
    }
}

json_t *
kq_core_rows (const struct kq_core *core, enum kq_table table, kq_usec now)
{
  json_t *rows = json_array ();

  if (rows == NULL)
    return NULL;
  switch (table)
    {
    case KQ_TABLE_HOSTS:
      add_hosts (core, rows);
      break;
    case KQ_TABLE_WORKERS:
      add_workers (core, rows, now);
      break;
    case KQ_TABLE_SERVICES:
      add_services (core, rows);
      break;
    case KQ_TABLE_JOBS:
      add_jobs (core, rows);
      break;
    case KQ_TABLE_TASKS:
      add_tasks (core, rows);
      break;
    case KQ_TABLE_SHARDS:
      add_shards (core, rows, now);
      break;
    case KQ_TABLE_HISTORY:
      add_history (core, rows);
      break;
    }
  return rows;
}

json_t *
kq_core_config (const struct kq_core *core)
{
  const char *text = kq_config_text (core->config);
  json_t *document;

  if (text == NULL)
    return NULL;
  document = json_loads (text, 0, NULL);
  return json_pack ("{s:I, s:o}", "revision",
                    (json_int_t)kq_config_revision (core->config), "document",
                    document);
}

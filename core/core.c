#include "core/core.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/err.h"
#include "core/internal.h"
#include "place/place.h"

/* Default settings. */
#define LEASE_TTL_US (2 * KQ_USEC_PER_SEC)
#define TASK_TTL_US (10 * KQ_USEC_PER_SEC)
#define RENEW_INTERVAL_US (500 * KQ_USEC_PER_MSEC)
#define CLOCK_RATE_PPM 10000
#define REFRESH_INTERVAL_US (600 * KQ_USEC_PER_SEC)

/* Minimum interval between periodic passes over the whole state. */
#define TICK_INTERVAL_MIN_US (20 * KQ_USEC_PER_MSEC)

/* Minimum interval between two KQ_FX_VIEW. */
#define VIEW_INTERVAL_MIN_US (100 * KQ_USEC_PER_MSEC)

/* Time between the last lease release and KQ_FX_STOPPED, in which the
   requests to workers arrive. */
#define STOP_DELAY_US (300 * KQ_USEC_PER_MSEC)

void
kq_core_settings_default (struct kq_core_settings *settings)
{
  settings->lease_ttl = LEASE_TTL_US;
  settings->task_ttl = TASK_TTL_US;
  settings->renew_interval = RENEW_INTERVAL_US;
  settings->clock_rate_ppm = CLOCK_RATE_PPM;
  settings->refresh_interval = REFRESH_INTERVAL_US;
}

struct kq_core *
kq_core_create (const struct kq_core_settings *settings)
{
  struct kq_core *core = calloc (1, sizeof *core);

  if (core == NULL)
    return NULL;
  core->settings = *settings;
  snprintf (core->lease_settings.holder.text,
            sizeof core->lease_settings.holder.text, "%.30s/%" PRIx64,
            settings->host.text, settings->incarnation);
  core->lease_settings.ttl = settings->lease_ttl;
  core->lease_settings.task_ttl = settings->task_ttl;
  core->lease_settings.clock_rate_ppm = settings->clock_rate_ppm;
  core->config = kq_config_create ();
  core->jobs = kq_jobs_create ();
  core->place = kq_place_create (NULL);
  if (core->config != NULL && core->jobs != NULL && core->place != NULL)
    return core;
  kq_core_destroy (core);
  return NULL;
}

/* HASH_CLEAR frees the table and leaves the items linked. */
static void
destroy_drains (struct kq_core *core)
{
  struct kq_drain *drain = core->drains;

  HASH_CLEAR (hh, core->drains);
  while (drain != NULL)
    {
      struct kq_drain *next = drain->hh.next;

      free (drain);
      drain = next;
    }
}

void
kq_core_destroy (struct kq_core *core)
{
  if (core == NULL)
    return;
  kq_append_destroy_all (core);
  kq_catchup_clear (core);
  kq_shard_destroy_all (core);
  kq_member_destroy_all (core);
  destroy_drains (core);
  kq_config_destroy (core->config);
  kq_jobs_destroy (core->jobs);
  kq_place_destroy (core->place);
  free (core);
}

const struct kq_name *
kq_core_holder (const struct kq_core *core)
{
  return &core->lease_settings.holder;
}

bool
kq_core_is_drained (const struct kq_core *core, const struct kq_name *name)
{
  const struct kq_drain *drain;

  HASH_FIND_STR (core->drains, name->text, drain);
  return drain != NULL && drain->on;
}

static struct kq_drain *
create_drain (struct kq_core *core, const struct kq_name *name)
{
  struct kq_drain *drain = calloc (1, sizeof *drain);

  if (drain == NULL)
    return NULL;
  drain->name = *name;
  HASH_ADD_STR (core->drains, name.text, drain);
  return drain;
}

static int
apply_drain (struct kq_core *core, int64_t offset,
             const struct kq_record *record)
{
  int64_t base = record->u.drain.base;
  struct kq_drain *drain;

  HASH_FIND_STR (core->drains, record->u.drain.name.text, drain);
  /* A copy that was appended before retention must not override a later
     command of an operator. */
  if (base != 0 && drain != NULL && (!drain->on || drain->offset != base))
    return KQ_ECONFIG_CONFLICT;
  if (drain == NULL)
    drain = create_drain (core, &record->u.drain.name);
  if (drain == NULL)
    return KQ_ENOMEM;
  drain->on = record->u.drain.on;
  drain->offset = offset;
  drain->read_at = core->now;
  return 0;
}

/* Applies a copy of a configuration.  On every host it keeps the revision of
   its original, so that it does not count as a change. */
static int
apply_config_copy (struct kq_core *core, const struct kq_record *record)
{
  int64_t original_revision = record->u.config.base;
  int err;

  if (original_revision < kq_config_revision (core->config))
    return KQ_EEXIST;
  core->config_received_at = core->now;
  if (original_revision == kq_config_revision (core->config))
    return 0;
  err = kq_config_restore (core->config, original_revision, original_revision,
                           &record->host, record->u.config.text);
  if (err == 0)
    kq_shard_configure (core);
  return err;
}

static int
apply_config (struct kq_core *core, int64_t offset,
              const struct kq_record *record)
{
  int err;

  if (core->gap_end != 0)
    return kq_catchup_store (core, offset, record);
  if (record->u.config.copy)
    return apply_config_copy (core, record);
  err = kq_config_apply (core->config, offset, record->u.config.base,
                         &record->host, record->u.config.text, NULL);

  if (err == 0)
    {
      core->config_received_at = core->now;
      kq_shard_configure (core);
    }
  /* A peer has sent it before it was read from the log. */
  if (err == KQ_EEXIST && offset == kq_config_revision (core->config))
    err = 0;
  return err;
}

static int
apply_record (struct kq_core *core, int64_t offset,
              const struct kq_record *record)
{
  int err;

  switch (record->kind)
    {
    case KQ_REC_CONFIG:
      return apply_config (core, offset, record);
    case KQ_REC_DRAIN:
      return apply_drain (core, offset, record);
    case KQ_REC_EPOCH:
      err = kq_jobs_apply (core->jobs, offset, record);
      kq_shard_handle_epoch (core, offset, record);
      return err;
    case KQ_REC_JOB:
    case KQ_REC_CANCEL:
    case KQ_REC_BIND:
    case KQ_REC_RELEASE:
    case KQ_REC_END:
    case KQ_REC_SNAPSHOT:
      err = kq_jobs_apply (core->jobs, offset, record);
      kq_task_sync_record (core, record);
      return err;
    }
  return KQ_EINVAL;
}

static int
handle_record (struct kq_core *core, const struct kq_event *event)
{
  int64_t offset = event->u.record.offset;
  int err;

  if (event->u.record.record == NULL)
    return KQ_EINVAL;
  if (offset <= core->offset)
    return 0;
  if (core->offset != 0 && offset != core->offset + 1)
    return KQ_EINVAL;
  core->offset = offset;
  err = apply_record (core, offset, event->u.record.record);
  kq_append_complete (core, offset, event->u.record.record, err);
  return 0;
}

/* Handles records that retention removed before they were read: their content
   is rebuilt from the snapshots that follow, and every owned shard begins a
   new epoch. */
static void
handle_gap (struct kq_core *core, int64_t first)
{
  struct kq_shard *shard;
  struct kq_shard *next;

  if (first <= core->offset + 1)
    return;
  core->offset = first - 1;
  core->caught_up_offset = INT64_MAX;
  core->gap_end = first;
  kq_catchup_clear (core);
  destroy_drains (core);
  HASH_ITER (hh, core->shards, shard, next)
  kq_task_unload (core, shard);
  kq_jobs_reset_after_gap (core->jobs, first);
  kq_append_handle_gap (core, first);
  HASH_ITER (hh, core->shards, shard, next)
  if (shard->owner)
    kq_shard_renew_epoch (core, shard);
}

static void
handle_log_end (struct kq_core *core, const struct kq_event *event)
{
  /* The end counts as reached only when all records before it were read. */
  if (event->u.log.offset != core->offset + 1)
    {
      if (event->u.log.offset > core->offset + 1)
        return;
    }
  if (!kq_jobs_is_complete (core->jobs))
    {
      kq_jobs_set_complete (core->jobs);
      core->caught_up_offset = core->offset;
      kq_catchup_apply (core);
      kq_refresh_mark_all_due (core);
    }
  kq_append_handle_log_end (core, event->u.log.sent_at);
}

static void
tick_stop (struct kq_core *core)
{
  const struct kq_shard *shard;
  struct kq_effect effect = { .kind = KQ_FX_STOPPED };

  if (!core->stopping || core->stopped)
    return;
  for (shard = core->shards; shard != NULL; shard = shard->hh.next)
    if (shard->owner)
      return;
  if (core->all_released_at == 0)
    {
      core->all_released_at = core->now;
      kq_member_send_leave (core);
    }
  if (core->now < core->all_released_at + STOP_DELAY_US)
    return;
  core->stopped = true;
  kq_effects_add (core->out, &effect);
}

static void
tick (struct kq_core *core)
{
  struct kq_effect effect = { .kind = KQ_FX_VIEW };

  if (core->stopped)
    return;
  kq_member_tick (core);
  kq_shard_tick (core);
  kq_placement_tick (core);
  kq_bind_tick (core);
  kq_refresh_tick (core);
  kq_append_tick (core);
  tick_stop (core);
  if (core->view_dirty
      && core->now >= core->view_published_at + VIEW_INTERVAL_MIN_US)
    {
      core->view_dirty = false;
      core->view_published_at = core->now;
      kq_effects_add (core->out, &effect);
    }
}

static int
handle_event (struct kq_core *core, const struct kq_event *event)
{
  switch (event->kind)
    {
    case KQ_EV_TICK:
      return 0;
    case KQ_EV_LEASE:
      kq_shard_handle_lease_reply (core, &event->u.lease);
      return 0;
    case KQ_EV_TASK:
      kq_task_handle_reply (core, &event->u.task);
      return 0;
    case KQ_EV_RECORD:
      return handle_record (core, event);
    case KQ_EV_APPEND_RESULT:
      kq_append_handle_result (core, event);
      return 0;
    case KQ_EV_LOG_END:
      handle_log_end (core, event);
      return 0;
    case KQ_EV_LOG_GAP:
      handle_gap (core, event->u.log.offset);
      return 0;
    case KQ_EV_HOSTS:
      kq_member_update_hosts (core, event->u.hosts.entries,
                              event->u.hosts.count);
      return 0;
    case KQ_EV_PEER:
      kq_member_handle_message (core, &event->u.peer);
      return 0;
    case KQ_EV_COMMAND:
      return kq_command_handle (core, &event->u.command);
    case KQ_EV_STOP:
      if (!core->stopping)
        core->stop_requested_at = core->now;
      core->stopping = true;
      return 0;
    }
  return KQ_EINVAL;
}

int
kq_core_step (struct kq_core *core, kq_usec now, const struct kq_event *event,
              struct kq_effects *out)
{
  int err;

  /* Many members use the time 0 for "never". */
  if (event == NULL || now <= 0)
    return KQ_EINVAL;
  core->now = now;
  core->out = out;
  kq_shard_expire (core);
  err = handle_event (core, event);
  if (err == 0
      && (core->now >= core->next_tick_at
          || core->now < core->previous_step_at))
    {
      core->next_tick_at = core->now + TICK_INTERVAL_MIN_US;
      tick (core);
    }
  core->previous_step_at = core->now;
  core->out = NULL;
  return err;
}

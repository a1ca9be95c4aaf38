/* Re-appends what still counts before retention removes its record: live
   jobs, drains, epochs and the configuration.  For each item one live entry
   host is the keeper; a second copy does no harm.  */

#include <stdlib.h>
#include <string.h>

#include <utlist.h>

#include "base/err.h"
#include "core/internal.h"

/* Between two searches for old items. */
#define SEARCH_EVERY KQ_USEC_PER_SEC

/* Most snapshots that one search asks for. */
#define SNAPSHOTS_MAX 16

/* Age from which others than the keeper step in, in refresh intervals. */
#define ANYONE_AFTER 2

static bool
is_old (const struct kq_core *core, kq_usec since, const char *name)
{
  kq_usec every = core->settings.refresh_every;

  if (core->now < since + every)
    return false;
  return kq_member_keeper (core, name)
         || core->now > since + ANYONE_AFTER * every;
}

static void
refresh_config (struct kq_core *core)
{
  struct kq_record record = { .kind = KQ_REC_CONFIG };

  if (core->config_append != NULL || kq_config_text (core->config) == NULL
      || !is_old (core, core->config_at, "config"))
    return;
  record.u.config.base = kq_config_revision (core->config);
  record.u.config.text = kq_config_text (core->config);
  record.u.config.copy = true;
  core->config_append = kq_append_want (core, &record);
  if (core->config_append != NULL)
    core->config_append->slot = &core->config_append;
}

static bool
append_snapshot (struct kq_core *core, struct kq_job_state *job)
{
  struct kq_record record = { .kind = KQ_REC_SNAPSHOT };
  struct kq_task_range *ranges = kq_job_ranges (job, &record.u.snapshot.count);
  bool wanted;

  if (ranges == NULL)
    return false;
  record.u.snapshot.job = job->job;
  record.u.snapshot.as_of = core->offset;
  record.u.snapshot.ranges = ranges;
  wanted = kq_append_want (core, &record) != NULL;
  free (ranges);
  return wanted;
}

/* Notes when the last record that holds JOB was read. */
static void
note_age (const struct kq_core *core, struct kq_job_state *job)
{
  if (job->noted == job->offset)
    return;
  job->noted = job->offset;
  job->noted_at = core->now;
  /* What was there when this host came may be of any age. */
  if (job->offset <= core->caught_up_at)
    job->noted_at -= core->settings.refresh_every;
}

/* Puts JOB in its place among the COUNT oldest; returns the new count. */
static int
insert_oldest (struct kq_job_state **oldest, int count,
               struct kq_job_state *job)
{
  int place = count;

  while (place > 0 && oldest[place - 1]->offset > job->offset)
    place--;
  if (place == SNAPSHOTS_MAX)
    return count;
  if (count < SNAPSHOTS_MAX)
    count++;
  for (int i = count - 1; i > place; i--)
    oldest[i] = oldest[i - 1];
  oldest[place] = job;
  return count;
}

/* The oldest records come first: hosts that are replaced again and again
   must not append the same few each time. */
static void
refresh_jobs (struct kq_core *core)
{
  struct kq_job_state *oldest[SNAPSHOTS_MAX];
  struct kq_job_state *job;
  int count = 0;

  DL_FOREACH (kq_jobs_live (core->jobs), job)
  {
    note_age (core, job);
    if (is_old (core, job->noted_at, job->job.id.text))
      count = insert_oldest (oldest, count, job);
  }
  for (int i = 0; i < count; i++)
    {
      append_snapshot (core, oldest[i]);
      /* Asked again after a while, should the record not come. */
      oldest[i]->noted_at = core->now - core->settings.refresh_every / 2;
    }
}

static void
refresh_drains (struct kq_core *core)
{
  struct kq_drain *drain;
  struct kq_drain *next;

  HASH_ITER (hh, core->drains, drain, next)
  {
    struct kq_record record = { .kind = KQ_REC_DRAIN };

    if (!drain->on || !is_old (core, drain->noted_at, drain->name.text))
      continue;
    record.u.drain.name = drain->name;
    record.u.drain.on = true;
    record.u.drain.base = drain->offset;
    kq_append_want (core, &record);
    drain->noted_at = core->now - core->settings.refresh_every / 2;
  }
}

static void
refresh_epochs (struct kq_core *core)
{
  struct kq_shard *shard;

  for (shard = core->shards; shard != NULL; shard = shard->hh.next)
    if (shard->owner && shard->epoch != 0 && shard->bind == NULL
        && shard->release == NULL
        && core->now >= shard->epoch_at + core->settings.refresh_every)
      kq_shard_renew_epoch (core, shard);
}

void
kq_refresh_caught_up (struct kq_core *core)
{
  kq_usec old = core->now - core->settings.refresh_every;
  struct kq_drain *drain;

  core->rebuilt_at
      = core->now + (ANYONE_AFTER + 1) * core->settings.refresh_every;
  /* By then the other hosts are known, of which one is the keeper. */
  core->refresh_at = core->now + 2 * KQ_MEMBER_TTL;
  core->config_at = old;
  for (drain = core->drains; drain != NULL; drain = drain->hh.next)
    drain->noted_at = old;
}

void
kq_refresh_tick (struct kq_core *core)
{
  if (core->now < core->refresh_at || core->stopping
      || !kq_jobs_is_complete (core->jobs))
    return;
  core->refresh_at = core->now + SEARCH_EVERY;
  if (core->now >= core->rebuilt_at && kq_jobs_is_rebuilding (core->jobs))
    kq_jobs_rebuilt (core->jobs);
  refresh_config (core);
  refresh_jobs (core);
  refresh_drains (core);
  refresh_epochs (core);
}

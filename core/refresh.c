/* Appends current records again before retention removes them: live jobs,
   drains, epochs and the configuration.  For each record one live
   entry host is the refresher; a second copy has no effect.  */

#include <stdlib.h>
#include <string.h>

#include <utlist.h>

#include "base/err.h"
#include "core/internal.h"

/* Interval between searches for records that are due. */
#define SEARCH_INTERVAL_US KQ_USEC_PER_SEC

/* Maximum number of snapshots that one search appends. */
#define SNAPSHOTS_MAX 16

/* Age, in refresh intervals, from which any host appends a record again, not
   only its refresher. */
#define ANY_HOST_INTERVALS 2

static bool
is_refresh_due (const struct kq_core *core, kq_usec since, const char *name)
{
  kq_usec interval = core->settings.refresh_interval;

  if (core->now < since + interval)
    return false;
  return kq_member_is_refresher (core, name)
         || core->now > since + ANY_HOST_INTERVALS * interval;
}

static void
refresh_config (struct kq_core *core)
{
  struct kq_record record = { .kind = KQ_REC_CONFIG };

  if (core->config_append != NULL || kq_config_text (core->config) == NULL
      || !is_refresh_due (core, core->config_received_at, "config"))
    return;
  record.u.config.base = kq_config_revision (core->config);
  record.u.config.text = kq_config_text (core->config);
  record.u.config.copy = true;
  core->config_append = kq_append_enqueue (core, &record);
  if (core->config_append != NULL)
    core->config_append->owner_ref = &core->config_append;
}

static bool
append_snapshot (struct kq_core *core, struct kq_job_state *job)
{
  struct kq_record record = { .kind = KQ_REC_SNAPSHOT };
  struct kq_task_range *ranges
      = kq_job_describe_ranges (job, &record.u.snapshot.count);
  bool enqueued;

  if (ranges == NULL)
    return false;
  record.u.snapshot.job = job->job;
  record.u.snapshot.as_of = core->offset;
  record.u.snapshot.ranges = ranges;
  enqueued = kq_append_enqueue (core, &record) != NULL;
  free (ranges);
  return enqueued;
}

/* Notes when the last JOB record or snapshot of JOB was read. */
static void
update_read_time (const struct kq_core *core, struct kq_job_state *job)
{
  if (job->checked_offset == job->offset)
    return;
  job->checked_offset = job->offset;
  job->record_read_at = core->now;
  /* The age of a record that was in the log when this host started is not
     known: treat it as due. */
  if (job->offset <= core->caught_up_offset)
    job->record_read_at -= core->settings.refresh_interval;
}

/* Inserts JOB into the COUNT oldest jobs, sorted by offset, if it is one of
   the SNAPSHOTS_MAX oldest; returns the new count. */
static int
insert_oldest (struct kq_job_state **oldest, int count,
               struct kq_job_state *job)
{
  int position = count;

  while (position > 0 && oldest[position - 1]->offset > job->offset)
    position--;
  if (position == SNAPSHOTS_MAX)
    return count;
  if (count < SNAPSHOTS_MAX)
    count++;
  for (int i = count - 1; i > position; i--)
    oldest[i] = oldest[i - 1];
  oldest[position] = job;
  return count;
}

/* Appends snapshots of the jobs with the oldest records first: otherwise
   hosts that are replaced repeatedly would append the same few jobs each
   time. */
static void
refresh_jobs (struct kq_core *core)
{
  struct kq_job_state *oldest[SNAPSHOTS_MAX];
  struct kq_job_state *job;
  int count = 0;

  DL_FOREACH (kq_jobs_live (core->jobs), job)
  {
    update_read_time (core, job);
    if (is_refresh_due (core, job->record_read_at, job->job.id.text))
      count = insert_oldest (oldest, count, job);
  }
  for (int i = 0; i < count; i++)
    {
      append_snapshot (core, oldest[i]);
      /* Retry after half an interval if the record is not read by then. */
      oldest[i]->record_read_at
          = core->now - core->settings.refresh_interval / 2;
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

    if (!drain->on || !is_refresh_due (core, drain->read_at, drain->name.text))
      continue;
    record.u.drain.name = drain->name;
    record.u.drain.on = true;
    record.u.drain.base = drain->offset;
    kq_append_enqueue (core, &record);
    drain->read_at = core->now - core->settings.refresh_interval / 2;
  }
}

static void
refresh_epochs (struct kq_core *core)
{
  struct kq_shard *shard;

  for (shard = core->shards; shard != NULL; shard = shard->hh.next)
    if (shard->owner && shard->epoch != 0 && shard->bind_append == NULL
        && shard->release_append == NULL
        && core->now >= shard->epoch_at + core->settings.refresh_interval)
      kq_shard_renew_epoch (core, shard);
}

void
kq_refresh_mark_all_due (struct kq_core *core)
{
  kq_usec due_since = core->now - core->settings.refresh_interval;
  struct kq_drain *drain;

  core->snapshots_due_at
      = core->now + (ANY_HOST_INTERVALS + 1) * core->settings.refresh_interval;
  /* By then the other hosts are known, one of which may be the refresher. */
  core->next_refresh_at = core->now + 2 * KQ_MEMBER_TTL_US;
  core->config_received_at = due_since;
  for (drain = core->drains; drain != NULL; drain = drain->hh.next)
    drain->read_at = due_since;
}

void
kq_refresh_tick (struct kq_core *core)
{
  if (core->now < core->next_refresh_at || core->stopping
      || !kq_jobs_is_complete (core->jobs))
    return;
  core->next_refresh_at = core->now + SEARCH_INTERVAL_US;
  if (core->now >= core->snapshots_due_at
      && kq_jobs_is_rebuilding (core->jobs))
    kq_jobs_set_rebuilt (core->jobs);
  refresh_config (core);
  refresh_jobs (core);
  refresh_drains (core);
  refresh_epochs (core);
}

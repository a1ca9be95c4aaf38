/* Fake log: offsets, outages, lost replies, rejections and retention, and the
   state that results from all of its records.  */

#include <stdlib.h>
#include <string.h>

#include "base/err.h"
#include "t/lib-fake.h"

#define MAX_RECORDS_PER_READ 60

static void
send_append_result (struct fake_world *world, const struct fake_item *item,
                    double at, int64_t offset, int err)
{
  struct fake_item *reply;

  if (world->hosts[item->host].incarnation != item->incarnation)
    return;
  reply = fake_schedule (world, at, FAKE_EVENT, item->host);
  reply->payload = fake_payload_create ();
  reply->payload->event.kind = KQ_EV_APPEND_RESULT;
  reply->payload->event.u.appended.id = item->payload->record->id;
  reply->payload->event.u.appended.offset = offset;
  reply->payload->event.u.appended.err = err;
}

/* An END record requires an attempt that ended with the same result.  Only the
   first one of a task counts.  */
static void
check_ends (struct fake_world *world, int64_t offset,
            const struct kq_record *record)
{
  for (size_t i = 0; i < record->u.tasks.count; i++)
    {
      const struct kq_task_ref *ref = &record->u.tasks.tasks[i];
      struct fake_task *task = fake_task (world, &ref->task);
      const struct kq_job_task *known
          = kq_jobs_find_task (world->jobs, &ref->task);

      if (known == NULL || known->ended)
        continue;
      if (ref->err == 0 ? task->success_count == 0 : task->failure_count == 0)
        fake_violation (world,
                        "END record of task %s/%d without a matching attempt",
                        ref->task.job.text, ref->task.index);
      task->ended_at = offset;
      world->ends++;
    }
}

/* A record of an operator always applies; a copy only while its original is
   the current record.  */
static void
apply_drain (struct fake_world *world, int64_t offset,
             const struct kq_record *record)
{
  int64_t *drained = &world->drained[atoi (record->u.drain.name.text + 1)];

  if (record->u.drain.base == 0 || record->u.drain.base == *drained)
    *drained = record->u.drain.on ? offset : 0;
  fake_trace (world, "worker %s drained: %d, base %ld, current %ld",
              record->u.drain.name.text, record->u.drain.on,
              (long)record->u.drain.base, (long)*drained);
}

/* Stores since when HOST, which has read the log to the end, knows which
   workers are drained.  */
static void
note_known_drains (struct fake_world *world, struct fake_host *host)
{
  for (int i = 0; i < FAKE_WORKERS; i++)
    if (world->drained[i] == 0)
      host->drain_known_since[i] = 0;
    else if (host->drain_known_since[i] <= 0)
      host->drain_known_since[i] = world->now;
}

/* A copy must not change the configuration: its base is an accepted revision,
   and its text is that of the revision if the revision is still current.  */
static void
check_copy (struct fake_world *world, const struct kq_record *record)
{
  int64_t accepted = kq_config_revision (world->config);

  if (record->u.config.base > accepted)
    fake_violation (world,
                    "configuration copy has revision %ld, accepted is %ld",
                    (long)record->u.config.base, (long)accepted);
  else if (record->u.config.base == accepted
           && strcmp (record->u.config.text, kq_config_text (world->config))
                  != 0)
    fake_violation (world, "text of the copy of revision %ld differs",
                    (long)accepted);
}

static int64_t
append_record (struct fake_world *world, const struct kq_record *record)
{
  int64_t offset = ++world->log_count;

  if ((offset & (offset - 1)) == 0)
    world->log = realloc (world->log, (size_t)offset * 2 * sizeof *world->log);
  world->log[offset - 1].record = kq_record_copy (record);
  world->log[offset - 1].appended_at = world->now;
  fake_workers_advance (world);
  if (record->kind == KQ_REC_END)
    check_ends (world, offset, record);
  if (record->kind == KQ_REC_DRAIN)
    apply_drain (world, offset, record);
  if (record->kind == KQ_REC_CONFIG && record->u.config.copy)
    check_copy (world, record);
  else if (record->kind == KQ_REC_CONFIG)
    kq_config_apply (world->config, offset, record->u.config.base,
                     &record->host, record->u.config.text, NULL);
  else
    kq_jobs_apply (world->jobs, offset, record);
  fake_trace (world, "record %ld: kind %d by host %s, id %s", (long)offset,
              record->kind, record->host.text, record->id.text);
  return offset;
}

void
fake_log_append (struct fake_world *world, struct fake_item *item)
{
  const struct fake_faults *faults = &world->faults;
  int zone = world->hosts[item->host].zone;
  bool timed_out = world->now > item->sent_at + FAKE_APPEND_TIMEOUT_SEC;
  double timeout_at = item->sent_at + FAKE_APPEND_TIMEOUT_SEC;
  int64_t offset;

  if (faults->cut[zone][FAKE_LOG_ZONE] || world->now < faults->log_down_until)
    {
      if (!timed_out)
        send_append_result (world, item, timeout_at, 0, KQ_ELOG_DOWN);
      return;
    }
  if (fake_chance (world, faults->log_reject))
    {
      if (!timed_out)
        send_append_result (world, item, world->now + 0.005, 0, KQ_ELOG_BUSY);
      return;
    }
  offset = append_record (world, item->payload->record);
  if (fake_chance (world, faults->duplicate))
    append_record (world, item->payload->record);
  if (timed_out)
    return;
  if (faults->cut[FAKE_LOG_ZONE][zone]
      || fake_chance (world, faults->log_lose_reply))
    send_append_result (world, item, timeout_at, 0, KQ_ELOG_DOWN);
  else
    send_append_result (world, item, world->now + 0.005, offset, 0);
}

/* Removes records that were older than the retention time when a host last
   read the log to the end.  During an outage, records that no host could read
   are kept, so that no outage lasts longer than retention.  */
void
fake_log_retain (struct fake_world *world)
{
  while (world->log_first <= world->log_count
         && world->log[world->log_first - 1].appended_at
                < world->log_read_at - world->log_retention_sec)
    world->log_first++;
}

void
fake_log_read (struct fake_world *world, struct fake_item *item)
{
  struct fake_host *host = &world->hosts[item->host];
  struct kq_event event;

  fake_log_retain (world);
  if (world->faults.cut[host->zone][FAKE_LOG_ZONE]
      || world->faults.cut[FAKE_LOG_ZONE][host->zone]
      || world->now < world->faults.log_down_until
      || fake_chance (world, world->faults.late))
    return;
  memset (&event, 0, sizeof event);
  event.u.log.sent_at = fake_clock (world, host);
  if (host->next_offset < world->log_first)
    {
      event.kind = KQ_EV_LOG_GAP;
      event.u.log.offset = world->log_first;
      host->next_offset = world->log_first;
      fake_trace (world, "host %s finds records before %ld removed",
                  host->name.text, (long)world->log_first);
      fake_deliver (world, item->host, &event);
    }
  for (int i = 0; i < MAX_RECORDS_PER_READ && host->core != NULL
                  && host->next_offset <= world->log_count;
       i++)
    {
      event.kind = KQ_EV_RECORD;
      event.u.record.offset = host->next_offset++;
      event.u.record.record = world->log[event.u.record.offset - 1].record;
      fake_deliver (world, item->host, &event);
    }
  if (host->next_offset <= world->log_count)
    return;
  world->log_read_at = world->now;
  note_known_drains (world, host);
  memset (&event, 0, sizeof event);
  event.kind = KQ_EV_LOG_END;
  event.u.log.sent_at = fake_clock (world, host);
  event.u.log.offset = host->next_offset;
  fake_deliver (world, item->host, &event);
}

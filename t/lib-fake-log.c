/* The log: offsets, outages, lost answers, refusals and retention; and what
   all of its records together say. */

#include <stdlib.h>
#include <string.h>

#include "base/err.h"
#include "t/lib-fake.h"

#define READ_MAX 60

static void
answer (struct fake_world *world, const struct fake_item *item, double at,
        int64_t offset, int err)
{
  struct fake_item *reply;

  if (world->hosts[item->host].incarnation != item->incarnation)
    return;
  reply = fake_schedule (world, at, FAKE_EVENT, item->host);
  reply->shared = fake_share ();
  reply->shared->event.kind = KQ_EV_APPENDED;
  reply->shared->event.u.appended.id = item->shared->record->id;
  reply->shared->event.u.appended.offset = offset;
  reply->shared->event.u.appended.err = err;
}

/* An end needs an attempt that ended so; the first one counts. */
static void
check_ends (struct fake_world *world, int64_t offset,
            const struct kq_record *record)
{
  for (size_t i = 0; i < record->u.tasks.count; i++)
    {
      const struct kq_task_ref *ref = &record->u.tasks.tasks[i];
      struct fake_task *task = fake_task (world, &ref->task);
      const struct kq_job_task *known = kq_jobs_task (world->jobs, &ref->task);

      if (known == NULL || known->ended)
        continue;
      if (ref->err == 0 ? task->done == 0 : task->failed == 0)
        fake_violation (world, "task %s/%d ended without an attempt",
                        ref->task.job.text, ref->task.index);
      task->ended_at = offset;
      world->ends++;
    }
}

/* An operator's record counts; a copy only while its original is in force. */
static void
note_drain (struct fake_world *world, int64_t offset,
            const struct kq_record *record)
{
  int64_t *drained = &world->drained[atoi (record->u.drain.name.text + 1)];

  if (record->u.drain.base == 0 || record->u.drain.base == *drained)
    *drained = record->u.drain.on ? offset : 0;
  fake_trace (world, "%s drained: %d, base %ld, in force %ld",
              record->u.drain.name.text, record->u.drain.on,
              (long)record->u.drain.base, (long)*drained);
}

/* Notes since when HOST, which has read to the end, knows of drains. */
static void
hear_drains (struct fake_world *world, struct fake_host *host)
{
  for (int i = 0; i < FAKE_WORKERS; i++)
    if (world->drained[i] == 0)
      host->heard_drain[i] = 0;
    else if (host->heard_drain[i] <= 0)
      host->heard_drain[i] = world->now;
}

/* A copy changes nothing: it repeats a revision that was accepted, word for
   word where that one is still in force. */
static void
check_copy (struct fake_world *world, const struct kq_record *record)
{
  int64_t accepted = kq_config_revision (world->config);

  if (record->u.config.base > accepted)
    fake_violation (world, "copy of revision %ld, accepted is %ld",
                    (long)record->u.config.base, (long)accepted);
  else if (record->u.config.base == accepted
           && strcmp (record->u.config.text, kq_config_text (world->config))
                  != 0)
    fake_violation (world, "copy of revision %ld differs from it",
                    (long)accepted);
}

static int64_t
land (struct fake_world *world, const struct kq_record *record)
{
  int64_t offset = ++world->log_count;

  if ((offset & (offset - 1)) == 0)
    world->log = realloc (world->log, (size_t)offset * 2 * sizeof *world->log);
  world->log[offset - 1].record = kq_record_copy (record);
  world->log[offset - 1].at = world->now;
  fake_workers_advance (world);
  if (record->kind == KQ_REC_END)
    check_ends (world, offset, record);
  if (record->kind == KQ_REC_DRAIN)
    note_drain (world, offset, record);
  if (record->kind == KQ_REC_CONFIG && record->u.config.copy)
    check_copy (world, record);
  else if (record->kind == KQ_REC_CONFIG)
    kq_config_apply (world->config, offset, record->u.config.base,
                     &record->host, record->u.config.text, NULL);
  else
    kq_jobs_apply (world->jobs, offset, record);
  fake_trace (world, "log %ld: kind %d by %s, id %s", (long)offset,
              record->kind, record->host.text, record->id.text);
  return offset;
}

void
fake_log_append (struct fake_world *world, struct fake_item *item)
{
  const struct fake_faults *faults = &world->faults;
  int zone = world->hosts[item->host].zone;
  bool given_up = world->now > item->sent_at + FAKE_APPEND_TIMEOUT;
  double timeout = item->sent_at + FAKE_APPEND_TIMEOUT;
  int64_t offset;

  if (faults->cut[zone][FAKE_LOG_PLACE] || world->now < faults->log_down_until)
    {
      if (!given_up)
        answer (world, item, timeout, 0, KQ_ELOG_DOWN);
      return;
    }
  if (fake_chance (world, faults->log_refuse))
    {
      if (!given_up)
        answer (world, item, world->now + 0.005, 0, KQ_ELOG_BUSY);
      return;
    }
  offset = land (world, item->shared->record);
  if (fake_chance (world, faults->duplicate))
    land (world, item->shared->record);
  if (given_up)
    return;
  if (faults->cut[FAKE_LOG_PLACE][zone]
      || fake_chance (world, faults->log_lose_answer))
    answer (world, item, timeout, 0, KQ_ELOG_DOWN);
  else
    answer (world, item, world->now + 0.005, offset, 0);
}

/* No outage outlasts retention: what nobody could read yet is kept. */
void
fake_log_retain (struct fake_world *world)
{
  while (world->log_first <= world->log_count
         && world->log[world->log_first - 1].at
                < world->log_read_at - world->log_keeps)
    world->log_first++;
}

void
fake_log_poll (struct fake_world *world, struct fake_item *item)
{
  struct fake_host *host = &world->hosts[item->host];
  struct kq_event event;

  fake_log_retain (world);
  if (world->faults.cut[host->zone][FAKE_LOG_PLACE]
      || world->faults.cut[FAKE_LOG_PLACE][host->zone]
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
      fake_trace (world, "%s has a gap up to %ld", host->name.text,
                  (long)world->log_first);
      fake_give (world, item->host, &event);
    }
  for (int i = 0; i < READ_MAX && host->core != NULL
                  && host->next_offset <= world->log_count;
       i++)
    {
      event.kind = KQ_EV_RECORD;
      event.u.record.offset = host->next_offset++;
      event.u.record.record = world->log[event.u.record.offset - 1].record;
      fake_give (world, item->host, &event);
    }
  if (host->next_offset <= world->log_count)
    return;
  world->log_read_at = world->now;
  hear_drains (world, host);
  memset (&event, 0, sizeof event);
  event.kind = KQ_EV_LOG_END;
  event.u.log.sent_at = fake_clock (world, host);
  event.u.log.offset = host->next_offset;
  fake_give (world, item->host, &event);
}

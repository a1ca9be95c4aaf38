/* Appends to the log: each is followed until its record is read back.  One
   whose answer was lost is looked for by its id before it is sent again.  */

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>

#include <utlist.h>

#include "base/err.h"
#include "core/internal.h"
#include "core/record.h"

/* First and longest delay before a refused append is tried again. */
#define BACKOFF_MIN (100 * KQ_USEC_PER_MSEC)
#define BACKOFF_MAX (3 * KQ_USEC_PER_SEC)

/* An append that got no answer at all for this long counts as lost. */
#define ANSWER_MAX (5 * KQ_USEC_PER_SEC)

/* Appends on their way at the same time, for commands and for others. */
#define IN_FLIGHT_MAX 32

/* A lost append can still reach the log this long after it was lost. */
#define LATE_MAX (2 * KQ_USEC_PER_SEC)

struct kq_append *
kq_append_want (struct kq_core *core, struct kq_record *record)
{
  struct kq_append *append = calloc (1, sizeof *append);

  if (append == NULL)
    return NULL;
  snprintf (record->id.text, sizeof record->id.text, "%.30s.%" PRIx64,
            core->terms.holder.text, ++core->serial);
  record->host = core->settings.host;
  append->record = kq_record_copy (record);
  if (append->record == NULL)
    {
      free (append);
      return NULL;
    }
  DL_APPEND (core->appends, append);
  return append;
}

static void
drop (struct kq_core *core, struct kq_append *append)
{
  if (append->slot != NULL)
    *append->slot = NULL;
  DL_DELETE (core->appends, append);
  kq_record_free (append->record);
  free (append);
}

void
kq_append_drop (struct kq_core *core, struct kq_append **slot)
{
  if (*slot != NULL)
    drop (core, *slot);
}

void
kq_append_destroy_all (struct kq_core *core)
{
  while (core->appends != NULL)
    drop (core, core->appends);
}

static struct kq_append *
find (struct kq_core *core, const struct kq_name *id)
{
  struct kq_append *append;

  DL_FOREACH (core->appends, append)
  if (kq_name_eq (&append->record->id, id))
    return append;
  return NULL;
}

static void
send (struct kq_core *core, struct kq_append *append)
{
  struct kq_effect effect = { .kind = KQ_FX_APPEND };

  effect.u.append = kq_effects_keep_record (core->out, append->record);
  if (effect.u.append == NULL)
    return;
  append->sent_at = core->now;
  append->lost_at = 0;
  append->retry_at = 0;
  kq_effects_add (core->out, &effect);
}

static void
back_off (struct kq_core *core, struct kq_append *append)
{
  kq_usec delay = BACKOFF_MIN << (append->retries < 5 ? append->retries : 5);

  append->retries++;
  append->retry_at = core->now + (delay < BACKOFF_MAX ? delay : BACKOFF_MAX);
}

void
kq_append_answer (struct kq_core *core, const struct kq_event *event)
{
  struct kq_append *append = find (core, &event->u.appended.id);

  if (event->u.appended.err == KQ_ELOG_DOWN)
    core->log_down_at = core->now;
  else
    core->log_ok_at = core->now;
  if (append == NULL || append->offset != 0)
    return;
  switch (event->u.appended.err)
    {
    case 0:
      append->offset = event->u.appended.offset;
      break;
    case KQ_ELOG_BUSY:
      /* A late refusal of a copy says nothing about one that was lost. */
      if (append->lost_at == 0)
        back_off (core, append);
      break;
    default:
      append->lost_at = core->now;
      break;
    }
}

void
kq_append_log_end (struct kq_core *core, kq_usec sent_at)
{
  struct kq_append *append;

  core->log_ok_at = core->now;
  DL_FOREACH (core->appends, append)
  if (append->offset == 0 && append->lost_at != 0
      && sent_at > append->lost_at + LATE_MAX)
    {
      append->lost_at = 0;
      append->retry_at = core->now;
    }
}

void
kq_append_gap (struct kq_core *core, int64_t first)
{
  struct kq_append *append;
  struct kq_append *next;

  DL_FOREACH_SAFE (core->appends, append, next)
  {
    bool landed = append->offset != 0 && append->offset < first;

    /* One without answer may be among what was removed. */
    if (!landed && (append->offset != 0 || append->sent_at == 0))
      continue;
    if (append->has_command)
      kq_command_reply (core, append->command, KQ_ELOG_UNKNOWN, 0);
    drop (core, append);
  }
}

void
kq_append_landed (struct kq_core *core, int64_t offset,
                  const struct kq_record *record, int err)
{
  struct kq_append *append = find (core, &record->id);

  if (append == NULL)
    return;
  if (append->has_command)
    kq_command_reply (core, append->command, err,
                      err == KQ_ECONFIG_CONFLICT
                          ? kq_config_revision (core->config)
                          : offset);
  drop (core, append);
}

/* Ends a command's append whose time is up, with what is known of it. */
static bool
expire_command (struct kq_core *core, struct kq_append *append)
{
  int err;

  if (!append->has_command || core->now < append->deadline)
    return false;
  if (append->offset != 0)
    return false; /* it will be read back */
  err = append->retry_at != 0 ? KQ_ELOG_BUSY : KQ_ELOG_UNKNOWN;
  if (append->sent_at == 0)
    err = KQ_ELOG_DOWN;
  kq_command_reply (core, append->command, err, 0);
  drop (core, append);
  return true;
}

/* A configuration waits until the log has been read: before that this host
   can't tell what it would replace. */
static bool
is_held_back (const struct kq_core *core, const struct kq_append *append)
{
  return append->sent_at == 0 && append->record->kind == KQ_REC_CONFIG
         && !kq_jobs_is_complete (core->jobs);
}

/* Whether APPEND waits for the log's answer. */
static bool
is_in_flight (const struct kq_append *append)
{
  return append->sent_at != 0 && append->offset == 0 && append->lost_at == 0
         && append->retry_at == 0;
}

/* Whether APPEND is to be sent now. */
static bool
is_due (const struct kq_core *core, const struct kq_append *append)
{
  if (is_held_back (core, append))
    return false;
  return append->sent_at == 0
         || (append->retry_at != 0 && core->now >= append->retry_at);
}

/* Sends what is due while fewer than IN_FLIGHT_MAX are on their way: first
   what this host itself wants, so that no wave of commands holds up ends. */
static void
send_due (struct kq_core *core, bool commands, int in_flight)
{
  struct kq_append *append;

  DL_FOREACH (core->appends, append)
  {
    if (in_flight >= IN_FLIGHT_MAX)
      return;
    if (append->has_command != commands || !is_due (core, append))
      continue;
    send (core, append);
    in_flight++;
  }
}

static int
count_in_flight (struct kq_core *core, bool commands)
{
  const struct kq_append *append;
  int count = 0;

  DL_FOREACH (core->appends, append)
  count += append->has_command == commands && is_in_flight (append);
  return count;
}

void
kq_append_tick (struct kq_core *core)
{
  struct kq_append *append;
  struct kq_append *next;

  DL_FOREACH_SAFE (core->appends, append, next)
  {
    if (expire_command (core, append))
      continue;
    if (is_in_flight (append) && core->now > append->sent_at + ANSWER_MAX)
      append->lost_at = core->now;
  }
  send_due (core, false, count_in_flight (core, false));
  send_due (core, true, count_in_flight (core, true));
}

/* Appends to the log.  Each append is tracked until its record is read back.
   If its result is lost, the log is searched for the record's id before the
   append is sent again.  */

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>

#include <utlist.h>

#include "base/err.h"
#include "core/internal.h"
#include "core/record.h"

/* Minimum and maximum delay before a refused append is retried. */
#define BACKOFF_MIN_US (100 * KQ_USEC_PER_MSEC)
#define BACKOFF_MAX_US (3 * KQ_USEC_PER_SEC)

/* Time after which the result of an append counts as lost. */
#define RESULT_TIMEOUT_US (5 * KQ_USEC_PER_SEC)

/* Maximum number of appends in flight: for commands, and again for the records
   that this host appends without a command. */
#define IN_FLIGHT_MAX 32

/* Time after its result was found lost in which an append can still reach the
   log.  */
#define LATE_ARRIVAL_MAX_US (2 * KQ_USEC_PER_SEC)

struct kq_append *
kq_append_enqueue (struct kq_core *core, struct kq_record *record)
{
  struct kq_append *append = calloc (1, sizeof *append);

  if (append == NULL)
    return NULL;
  snprintf (record->id.text, sizeof record->id.text, "%.30s.%" PRIx64,
            core->lease_settings.holder.text, ++core->record_serial);
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
free_append (struct kq_core *core, struct kq_append *append)
{
  if (append->owner_ref != NULL)
    *append->owner_ref = NULL;
  DL_DELETE (core->appends, append);
  kq_record_free (append->record);
  free (append);
}

void
kq_append_drop (struct kq_core *core, struct kq_append **owner_ref)
{
  if (*owner_ref != NULL)
    free_append (core, *owner_ref);
}

void
kq_append_destroy_all (struct kq_core *core)
{
  while (core->appends != NULL)
    free_append (core, core->appends);
}

static struct kq_append *
find_append (struct kq_core *core, const struct kq_name *id)
{
  struct kq_append *append;

  DL_FOREACH (core->appends, append)
  if (kq_name_eq (&append->record->id, id))
    return append;
  return NULL;
}

static void
send_append (struct kq_core *core, struct kq_append *append)
{
  struct kq_effect effect = { .kind = KQ_FX_APPEND };

  effect.u.append = kq_effects_copy_record (core->out, append->record);
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
  kq_usec delay = BACKOFF_MIN_US
                  << (append->retries < 5 ? append->retries : 5);

  append->retries++;
  append->retry_at
      = core->now + (delay < BACKOFF_MAX_US ? delay : BACKOFF_MAX_US);
}

void
kq_append_handle_result (struct kq_core *core, const struct kq_event *event)
{
  struct kq_append *append = find_append (core, &event->u.appended.id);

  if (event->u.appended.err == KQ_ELOG_DOWN)
    core->log_failed_at = core->now;
  else
    core->log_answered_at = core->now;
  if (append == NULL || append->offset != 0)
    return;
  switch (event->u.appended.err)
    {
    case 0:
      append->offset = event->u.appended.offset;
      break;
    case KQ_ELOG_BUSY:
      /* A late refusal of one request does not show the outcome of another
         one for the same record whose result was lost. */
      if (append->lost_at == 0)
        back_off (core, append);
      break;
    default:
      append->lost_at = core->now;
      break;
    }
}

void
kq_append_handle_log_end (struct kq_core *core, kq_usec sent_at)
{
  struct kq_append *append;

  core->log_answered_at = core->now;
  DL_FOREACH (core->appends, append)
  if (append->offset == 0 && append->lost_at != 0
      && sent_at > append->lost_at + LATE_ARRIVAL_MAX_US)
    {
      append->lost_at = 0;
      append->retry_at = core->now;
    }
}

void
kq_append_handle_gap (struct kq_core *core, int64_t first)
{
  struct kq_append *append;
  struct kq_append *next;

  DL_FOREACH_SAFE (core->appends, append, next)
  {
    bool appended_before_gap = append->offset != 0 && append->offset < first;

    /* The record of an append without a result may be among those that were
       removed. */
    if (!appended_before_gap && (append->offset != 0 || append->sent_at == 0))
      continue;
    if (append->has_command)
      kq_command_reply (core, append->command, KQ_ELOG_UNKNOWN, 0);
    free_append (core, append);
  }
}

void
kq_append_complete (struct kq_core *core, int64_t offset,
                    const struct kq_record *record, int err)
{
  struct kq_append *append = find_append (core, &record->id);

  if (append == NULL)
    return;
  if (append->has_command)
    kq_command_reply (core, append->command, err,
                      err == KQ_ECONFIG_CONFLICT
                          ? kq_config_revision (core->config)
                          : offset);
  free_append (core, append);
}

/* Drops an append whose command has reached its deadline, and replies with
   the error that matches its state.  Returns whether it did.  */
static bool
expire_command (struct kq_core *core, struct kq_append *append)
{
  int err;

  if (!append->has_command || core->now < append->deadline)
    return false;
  if (append->offset != 0)
    return false; /* appended: the reply is sent when it is read back */
  err = append->retry_at != 0 ? KQ_ELOG_BUSY : KQ_ELOG_UNKNOWN;
  if (append->sent_at == 0)
    err = KQ_ELOG_DOWN;
  kq_command_reply (core, append->command, err, 0);
  free_append (core, append);
  return true;
}

/* Whether APPEND must wait until the log was read to its end: before that,
   this host does not know which configuration a new one would replace. */
static bool
is_held_back (const struct kq_core *core, const struct kq_append *append)
{
  return append->sent_at == 0 && append->record->kind == KQ_REC_CONFIG
         && !kq_jobs_is_complete (core->jobs);
}

/* Whether APPEND was sent and has no result yet. */
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

/* Sends due appends, of commands or of this host itself, until IN_FLIGHT_MAX
   are in flight.  Each kind has its own limit, so that a burst of commands
   does not delay END records. */
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
    send_append (core, append);
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
    if (is_in_flight (append)
        && core->now > append->sent_at + RESULT_TIMEOUT_US)
      append->lost_at = core->now;
  }
  send_due (core, false, count_in_flight (core, false));
  send_due (core, true, count_in_flight (core, true));
}

/* How long an ended job is remembered (retention_*).
 *
 * An owner that does not know a job accepts it as new, so that a job that is
 * forgotten early may run twice.  The wall clocks of hosts differ, and may be
 * set by minutes.  What counts is therefore the age of the cell: the time for
 * which it has had an owner, on their monotonic clocks.  Each owner goes on
 * from the age that the one before it stored last.  The age thus never runs
 * ahead of the time, and stands still between two owners.
 */
#include "sched/retention.h"

#include <stdio.h>
#include <stdlib.h>

#include "base/err.h"
#include "log/log.h"
#include "sched/internal.h"
#include "sched/record.pb-c.h"

/* Minimum time for which an ended job can be queried: twice the longest
   time that a deployment requires ("status_s" 120). */
#define ENDED_JOB_RETENTION_MS INT64_C (240000)

/* So much of the age may be lost with each owner. */
#define STORING_INTERVAL_US (2 * KQ_USEC_PER_SEC)

/* No cell is older; a record that says so is malformed. */
#define MAX_AGE_MS (INT64_C (100) * 365 * 24 * 3600 * 1000)

/* An age of 0 means an end that is not dated. */
#define FIRST_AGE_MS 1

int64_t
retention_age_ms (const struct kq_sched *sched, struct kq_sched_now now)
{
  return sched->first_age_ms
         + (now.mono - sched->age_counted_from) / KQ_USEC_PER_MSEC;
}

void
retention_begin (struct kq_sched *sched, kq_usec mono)
{
  if (sched->first_age_ms < FIRST_AGE_MS)
    sched->first_age_ms = FIRST_AGE_MS;
  sched->age_counted_from = mono;
}

void
retention_note_end (const struct kq_sched *sched, struct job *job,
                    struct kq_sched_now now)
{
  job->ended_age_ms = retention_age_ms (sched, now);
}

/* The end is not dated in records of earlier versions, and is later than the
   age that is known if its owner was lost before it had stored that. */
void
retention_note_restored (struct kq_sched *sched, struct job *job,
                         struct kq_sched_now now)
{
  if (!job_has_ended (job)
      || (job->ended_age_ms >= FIRST_AGE_MS
          && job->ended_age_ms <= retention_age_ms (sched, now)))
    return;
  retention_note_end (sched, job, now);
  job_mark_dirty (sched, job);
}

bool
retention_has_passed (const struct kq_sched *sched, int64_t age_ms,
                      struct kq_sched_now now)
{
  return retention_age_ms (sched, now) - age_ms >= ENDED_JOB_RETENTION_MS;
}

bool
retention_is_over (const struct kq_sched *sched, const struct job *job,
                   struct kq_sched_now now)
{
  return retention_has_passed (sched, job->ended_age_ms, now);
}

void
retention_tick (struct kq_sched *sched, struct kq_sched_now now)
{
  if (sched->age_stored_at != 0
      && now.mono - sched->age_stored_at < STORING_INTERVAL_US)
    return;
  sched->age_stored_at = now.mono;
  sched->due_age_ms = retention_age_ms (sched, now);
}

int
retention_encode (struct kq_sched *sched, struct kq_sched_record *record)
{
  KqSched__AgeRecord message = KQ_SCHED__AGE_RECORD__INIT;

  if (sched->due_age_ms == 0)
    return 0;
  message.age_ms = sched->due_age_ms;
  sched->due_age_ms = 0;
  snprintf (record->key, sizeof record->key, "%s", KQ_SCHED_AGE_KEY);
  record->size = kq_sched__age_record__get_packed_size (&message);
  record->value = malloc (record->size);
  if (record->value == NULL)
    {
      kq_log (KQ_LOG_ERROR, "sched", "age not encoded", KQ_ENOMEM, NULL);
      return 0;
    }
  kq_sched__age_record__pack (&message, record->value);
  return 1;
}

int
kq_sched_restore_age (struct kq_sched *sched, const uint8_t *value,
                      size_t size)
{
  KqSched__AgeRecord *message
      = kq_sched__age_record__unpack (NULL, size, value);
  int err = KQ_ESYNTAX;

  if (message == NULL)
    return KQ_ESYNTAX;
  if (message->age_ms >= FIRST_AGE_MS && message->age_ms <= MAX_AGE_MS)
    {
      sched->first_age_ms = message->age_ms;
      err = 0;
    }
  kq_sched__age_record__free_unpacked (message, NULL);
  return err;
}

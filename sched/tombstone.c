/* Cancelled IDs without a job (tombstone_*).
 *
 * Load: callers that give up submit at a host that stands still or is cut off,
 * and cancel at another one.
 *
 * The submission of a job may be under way while its cancellation is answered
 * with "no such job", and must not be accepted later, by this owner or by the
 * next one.  The ID is therefore stored before the answer, and refused for as
 * long as an ended job is remembered (retention.c).  Callers can cancel any
 * number of IDs: beyond a limit, such a cancellation is refused.
 */
#include "sched/tombstone.h"

#include <assert.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>

#include "base/err.h"
#include "log/log.h"
#include "sched/internal.h"
#include "sched/record.pb-c.h"
#include "sched/retention.h"

/* A new owner reads so many records in 17 pages, in about 0.1 s. */
#define MAX_TOMBSTONES 8192

#define STATUS_TOO_MANY_REQUESTS 429

/* What is left to be stored. */
enum change
{
  UNCHANGED,
  CHANGED,
  FORGOTTEN
};

struct tombstone
{
  uint64_t id;
  int64_t age_ms;    /* of the cell when the ID was cancelled; 0: unknown */
  uint64_t position; /* journal position that stores it */
  enum change change;
  uint8_t *value; /* of its record, while it is CHANGED */
  size_t size;
  struct tombstone *prev; /* list of all, the oldest first */
  struct tombstone *next;
  struct tombstone *changed_prev;
  struct tombstone *changed_next;
  UT_hash_handle hh;
};

static struct tombstone *
find (const struct kq_sched *sched, uint64_t id)
{
  struct tombstone *tombstone;

  HASH_FIND (hh, sched->tombstones, &id, sizeof id, tombstone);
  return tombstone;
}

static struct tombstone *
create (struct kq_sched *sched, uint64_t id)
{
  struct tombstone *tombstone = calloc (1, sizeof *tombstone);

  if (tombstone == NULL)
    return NULL;
  tombstone->id = id;
  HASH_ADD (hh, sched->tombstones, id, sizeof tombstone->id, tombstone);
  DL_APPEND (sched->tombstone_list, tombstone);
  return tombstone;
}

static void
destroy (struct kq_sched *sched, struct tombstone *tombstone)
{
  assert (sched->tombstones != NULL);
  HASH_DEL (sched->tombstones, tombstone);
  DL_DELETE (sched->tombstone_list, tombstone);
  free (tombstone->value);
  free (tombstone);
}

static void
mark (struct kq_sched *sched, struct tombstone *tombstone, enum change change)
{
  if (tombstone->change == UNCHANGED)
    DL_APPEND2 (sched->changed_tombstones, tombstone, changed_prev,
                changed_next);
  tombstone->change = change;
  tombstone->position = sched->position;
}

/* Dates TOMBSTONE.  Its record is built at once: an answer that waits for it
   could not be taken back when memory is short later. */
static int
date (struct kq_sched *sched, struct tombstone *tombstone, int64_t age_ms)
{
  KqSched__TombstoneRecord message = KQ_SCHED__TOMBSTONE_RECORD__INIT;
  uint8_t *value;

  message.age_ms = age_ms;
  value = malloc (kq_sched__tombstone_record__get_packed_size (&message));
  if (value == NULL)
    return KQ_ENOMEM;
  free (tombstone->value);
  tombstone->value = value;
  tombstone->size = kq_sched__tombstone_record__pack (&message, value);
  tombstone->age_ms = age_ms;
  mark (sched, tombstone, CHANGED);
  return 0;
}

int
tombstone_add (struct kq_sched *sched, struct kq_sched_now now, uint64_t id,
               uint64_t *position)
{
  struct tombstone *tombstone = find (sched, id);

  if (tombstone == NULL)
    {
      if (tombstone_count (sched) >= MAX_TOMBSTONES)
        return KQ_EREQ_OVERLOAD;
      tombstone = create (sched, id);
      if (tombstone == NULL)
        return KQ_ENOMEM;
    }
  if (date (sched, tombstone, retention_age_ms (sched, now)) != 0)
    return KQ_ENOMEM;
  DL_DELETE (sched->tombstone_list, tombstone);
  DL_APPEND (sched->tombstone_list, tombstone);
  *position = tombstone->position;
  return 0;
}

static void
log_refusal (const struct kq_sched *sched, const struct tombstone *tombstone,
             struct kq_sched_now now, const char *queue)
{
  char id[24];
  char age[24];

  snprintf (id, sizeof id, "%016" PRIx64, tombstone->id);
  snprintf (age, sizeof age, "%" PRId64,
            retention_age_ms (sched, now) - tombstone->age_ms);
  kq_log (KQ_LOG_INFO, "sched", "submission refused", KQ_EJOB_CANCELLED, "job",
          id, "queue", queue, "cancelled_ms_ago", age, NULL);
}

bool
tombstone_answer (struct kq_sched *sched, struct kq_sched_now now,
                  const struct kq_sched_event *event)
{
  const struct tombstone *tombstone = find (sched, event->u.call.job);
  struct kq_sched_effect *effect;

  if (tombstone == NULL || tombstone->change == FORGOTTEN)
    return false;
  kq_sched_spec_clear (event->u.call.spec);
  log_refusal (sched, tombstone, now, event->u.call.queue);
  sched->counts.late_submissions++;
  effect = sched_add_effect (sched, KQ_SCHED_FX_RESULT, tombstone->position);
  if (effect == NULL)
    return true;
  effect->u.result.token = event->u.call.token;
  effect->u.result.status = STATUS_TOO_MANY_REQUESTS;
  effect->u.result.err = KQ_EJOB_CANCELLED;
  return true;
}

int
tombstone_count (const struct kq_sched *sched)
{
  return (int)HASH_COUNT (sched->tombstones);
}

static int
compare_ages (const struct tombstone *a, const struct tombstone *b)
{
  return (a->age_ms > b->age_ms) - (a->age_ms < b->age_ms);
}

void
tombstone_finish_restore (struct kq_sched *sched, struct kq_sched_now now)
{
  int64_t age_ms = retention_age_ms (sched, now);
  struct tombstone *tombstone;

  DL_FOREACH (sched->tombstone_list, tombstone)
  {
    if ((tombstone->age_ms <= 0 || tombstone->age_ms > age_ms)
        && date (sched, tombstone, age_ms) != 0)
      tombstone->age_ms = age_ms;
  }
  DL_SORT (sched->tombstone_list, compare_ages);
}

void
tombstone_tick (struct kq_sched *sched, struct kq_sched_now now)
{
  struct tombstone *tombstone;

  DL_FOREACH (sched->tombstone_list, tombstone)
  {
    if (!retention_has_passed (sched, tombstone->age_ms, now))
      return;
    if (tombstone->change != FORGOTTEN)
      mark (sched, tombstone, FORGOTTEN);
  }
}

int
tombstone_max_records (const struct kq_sched *sched)
{
  const struct tombstone *tombstone;
  int count;

  DL_COUNT2 (sched->changed_tombstones, tombstone, count, changed_next);
  return count;
}

int
tombstone_encode (struct kq_sched *sched, struct kq_sched_record *records)
{
  struct tombstone *tombstone;
  struct tombstone *next;
  int count = 0;

  DL_FOREACH_SAFE2 (sched->changed_tombstones, tombstone, next, changed_next)
  {
    struct kq_sched_record *record = &records[count++];

    snprintf (record->key, sizeof record->key, "%c%016" PRIx64,
              KQ_SCHED_TOMBSTONE_KEY, tombstone->id);
    if (tombstone->change == FORGOTTEN)
      {
        destroy (sched, tombstone);
        continue;
      }
    record->value = tombstone->value;
    record->size = tombstone->size;
    tombstone->value = NULL;
    tombstone->change = UNCHANGED;
  }
  sched->changed_tombstones = NULL;
  return count;
}

int
kq_sched_restore_tombstone (struct kq_sched *sched, uint64_t id,
                            const uint8_t *value, size_t size)
{
  KqSched__TombstoneRecord *message
      = value != NULL ? kq_sched__tombstone_record__unpack (NULL, size, value)
                      : NULL;
  struct tombstone *tombstone = find (sched, id);

  if (tombstone == NULL)
    tombstone = create (sched, id);
  if (tombstone != NULL)
    tombstone->age_ms = message != NULL ? message->age_ms : 0;
  if (message != NULL)
    kq_sched__tombstone_record__free_unpacked (message, NULL);
  return tombstone != NULL ? 0 : KQ_ENOMEM;
}

void
tombstone_clear (struct kq_sched *sched)
{
  struct tombstone *tombstone;
  struct tombstone *next;

  HASH_CLEAR (hh, sched->tombstones);
  DL_FOREACH_SAFE (sched->tombstone_list, tombstone, next)
  {
    free (tombstone->value);
    free (tombstone);
  }
  sched->tombstone_list = NULL;
  sched->changed_tombstones = NULL;
}

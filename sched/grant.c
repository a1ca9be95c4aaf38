/* Which owner last renewed leases at a worker (grant_*).
 *
 * An owner renews the lease of a worker only after the store holds that it may
 * do so. A successor that cannot reach the worker then knows whose renewals it
 * has to wait for: an owner in between that never reached the worker has
 * renewed nothing there.  It also knows whose lease may be the longest, since
 * an earlier incarnation's clock gave its end, and where to ask a worker whose
 * registration is gone.
 */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "base/err.h"
#include "base/name.h"
#include "log/log.h"
#include "sched/internal.h"
#include "sched/record.pb-c.h"
#include "sched/terms.h"

static int
bucket_of (const char *worker)
{
  return (int)(XXH64 (worker, strlen (worker), 0) % GRANT_BUCKETS);
}

static void
mark_dirty (struct kq_sched *sched, const struct worker *worker)
{
  sched->dirty_grants |= 1u << bucket_of (worker->report.id);
}

void
grant_begin (struct kq_sched *sched, struct worker *worker)
{
  worker->grant_term = sched->term;
  worker->grant_position = sched->position;
  mark_dirty (sched, worker);
}

void
grant_set_long_lease (struct kq_sched *sched, struct worker *worker,
                      bool has_long_lease)
{
  if (worker->has_long_lease == has_long_lease)
    return;
  worker->has_long_lease = has_long_lease;
  worker->long_lease_until = 0;
  mark_dirty (sched, worker);
}

bool
grant_is_current (const struct kq_sched *sched, struct kq_sched_now now)
{
  return now.mono - sched->confirmed_at <= KQ_SCHED_UNCONFIRMED_LIMIT_US;
}

bool
grant_is_stored (const struct kq_sched *sched, const struct worker *worker)
{
  return worker->grant_position != 0
         && worker->grant_position <= sched->stored;
}

/* A worker without a registration and without tasks has nothing to wait for,
   unless a start order there had no reply. */
static bool
needs_grant (const struct worker *worker)
{
  return worker->grant_term != 0
         && (worker->registered || worker->tasks != NULL
             || worker->has_late_orders);
}

static int
encode_bucket (const struct kq_sched *sched, int bucket,
               struct kq_sched_record *record)
{
  KqSched__GrantRecord message = KQ_SCHED__GRANT_RECORD__INIT;
  size_t count = HASH_COUNT (sched->workers);
  char **workers = calloc (count + 1, sizeof *workers);
  int64_t *terms = calloc (count + 1, sizeof *terms);
  protobuf_c_boolean *long_leases = calloc (count + 1, sizeof *long_leases);
  int64_t *incarnations = calloc (count + 1, sizeof *incarnations);
  char **addresses = calloc (count + 1, sizeof *addresses);
  struct worker *worker;
  int err = KQ_ENOMEM;
  size_t n = 0;

  if (workers != NULL && terms != NULL && long_leases != NULL
      && incarnations != NULL && addresses != NULL)
    {
      DL_FOREACH (sched->worker_list, worker)
      {
        if (!needs_grant (worker) || bucket_of (worker->report.id) != bucket)
          continue;
        workers[n] = worker->report.id;
        long_leases[n] = worker->has_long_lease;
        incarnations[n] = worker->report.incarnation_ms;
        addresses[n] = worker->report.address;
        terms[n++] = worker->grant_term;
      }
      message.n_workers = n;
      message.workers = workers;
      message.n_terms = n;
      message.terms = terms;
      message.n_long_leases = n;
      message.long_leases = long_leases;
      message.n_born_ms = n;
      message.born_ms = incarnations;
      message.n_addresses = n;
      message.addresses = addresses;
      snprintf (record->key, sizeof record->key, "%c%d", KQ_SCHED_GRANT_KEY,
                bucket);
      record->size = kq_sched__grant_record__get_packed_size (&message);
      record->value = malloc (record->size + 1);
      if (record->value != NULL)
        {
          kq_sched__grant_record__pack (&message, record->value);
          err = 0;
        }
    }
  free (workers);
  free (terms);
  free (long_leases);
  free (incarnations);
  free (addresses);
  return err;
}

int
grant_encode (struct kq_sched *sched, struct kq_sched_record *records)
{
  int count = 0;

  for (int i = 0; i < GRANT_BUCKETS; i++)
    if ((sched->dirty_grants >> i & 1) != 0)
      {
        if (encode_bucket (sched, i, &records[count]) == 0)
          count++;
        else
          kq_log (KQ_LOG_ERROR, "sched", "grants not encoded", KQ_ENOMEM,
                  NULL);
      }
  sched->dirty_grants = 0;
  return count;
}

bool
grant_is_outdated (const struct worker *worker)
{
  return worker->granted_incarnation_ms != 0
         && worker->report.incarnation_ms > worker->granted_incarnation_ms;
}

/* Sets the address of WORKER to the stored one, unless a registration has told
   it. */
static void
restore_address (struct worker *worker, const char *address)
{
  if (worker->report.address[0] == '\0')
    kq_text_copy (worker->report.address, sizeof worker->report.address,
                  address);
}

int
kq_sched_restore_grants (struct kq_sched *sched, const uint8_t *value,
                         size_t size)
{
  KqSched__GrantRecord *message
      = kq_sched__grant_record__unpack (NULL, size, value);
  int err = KQ_ESYNTAX;

  if (message == NULL)
    return KQ_ESYNTAX;
  if (message->n_workers == message->n_terms)
    {
      err = 0;
      for (size_t i = 0; i < message->n_workers; i++)
        {
          struct worker *worker
              = worker_find_or_add (sched, message->workers[i]);

          if (worker == NULL)
            {
              err = KQ_ENOMEM;
              break;
            }
          worker->grant_term = message->terms[i];
          worker->has_long_lease
              = i < message->n_long_leases && message->long_leases[i];
          worker->granted_incarnation_ms
              = i < message->n_born_ms ? message->born_ms[i] : 0;
          if (i < message->n_addresses)
            restore_address (worker, message->addresses[i]);
          /* Registrations are read meanwhile. */
          if (grant_is_outdated (worker))
            grant_set_long_lease (sched, worker, true);
        }
    }
  kq_sched__grant_record__free_unpacked (message, NULL);
  return err;
}

/* Appends to TEXT of SIZE bytes, of which LENGTH are used, "TERM:MS" with the
   time in ms since AT; returns the new length. */
static int
add_age (char *text, size_t size, int length, int64_t term, kq_usec now,
         kq_usec at)
{
  return length
         + snprintf (text + length, size - (size_t)length,
                     "%s%" PRId64 ":%" PRId64, length > 0 ? " " : "", term,
                     (now - at) / KQ_USEC_PER_MSEC);
}

/* Logs how long ago the earlier terms that are known were confirmed last, and
   how long ago those have ended of which that is known. */
static void
log_past (const struct kq_sched *sched, kq_usec now)
{
  char ages[48 * KQ_SCHED_MAX_PAST_TERMS] = "";
  char ends[48 * KQ_SCHED_MAX_PAST_TERMS] = "";
  int length = 0;
  int ends_length = 0;

  for (int i = 0; i < sched->past_term_count; i++)
    {
      const struct kq_sched_past_term *past = &sched->past_terms[i];

      length = add_age (ages, sizeof ages, length, past->term, now,
                        past->confirmed_until);
      if (past->ended_at != 0)
        ends_length = add_age (ends, sizeof ends, ends_length, past->term, now,
                               past->ended_at);
    }
  kq_log (KQ_LOG_INFO, "sched", "earlier terms", 0, "confirmed_ms_ago", ages,
          "ended_ms_ago", ends, NULL);
}

void
grant_set_lapses (const struct kq_sched *sched, kq_usec now)
{
  struct worker *worker;

  log_past (sched, now);
  DL_FOREACH (sched->worker_list, worker)
  {
    worker_count_leases (worker,
                         terms_acted_until (sched, worker->grant_term, now),
                         LAPSE_FROM_EARLIER_OWNER);
  }
}

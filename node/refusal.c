#include "node/refusal.h"

#include <inttypes.h>
#include <stdio.h>

#include "base/err.h"
#include "log/log.h"

/* Maximum number of new jobs that are withdrawn at once before their records
   were encoded; the next failed append withdraws further ones. */
#define MAX_UNSENT_WITHDRAWALS 1024

static bool
withdraw_job (void *arg, uint64_t job)
{
  struct kq_refusal *refusal = arg;

  if (kq_sched_withdraw (refusal->sched, job) != 0)
    return false;
  kq_deferred_withdraw (refusal->deferred, job);
  return true;
}

static int
withdraw_unstored (struct kq_refusal *refusal)
{
  uint64_t unsent[MAX_UNSENT_WITHDRAWALS];
  int count
      = kq_sched_list_unsent (refusal->sched, unsent, MAX_UNSENT_WITHDRAWALS);
  int withdrawn
      = kq_journal_withdraw (refusal->journal, withdraw_job, refusal);
  char number[16];

  for (int i = 0; i < count; i++)
    withdrawn += withdraw_job (refusal, unsent[i]);
  snprintf (number, sizeof number, "%d", withdrawn);
  if (withdrawn > 0)
    kq_log (KQ_LOG_WARN, "owner", "jobs withdrawn", KQ_ELOG_DOWN, "jobs",
            number, NULL);
  return withdrawn;
}

/* Logs that the store has become unavailable, or available after an outage
   that began at SINCE. */
static void
log_change (const struct kq_refusal *refusal, kq_usec since, kq_usec now)
{
  bool is_away = kq_refusal_is_away (refusal);
  char lasted[24];

  snprintf (lasted, sizeof lasted, "%" PRId64,
            (now - (is_away ? refusal->outage.since : since))
                / KQ_USEC_PER_MSEC);
  kq_log (KQ_LOG_WARN, "owner", is_away ? "store away" : "store back", 0,
          "after_ms", lasted, NULL);
}

int
kq_refusal_note_attempt (struct kq_refusal *refusal,
                         enum kq_outage_result result, kq_usec sent_at)
{
  kq_usec now = kq_clock_now ();
  kq_usec since = refusal->outage.since;

  if (kq_outage_note (&refusal->outage, result, sent_at, now))
    log_change (refusal, since, now);
  return kq_refusal_is_away (refusal) ? withdraw_unstored (refusal) : 0;
}

bool
kq_refusal_is_away (const struct kq_refusal *refusal)
{
  return kq_outage_is_away (&refusal->outage);
}

bool
kq_refusal_applies (const struct kq_refusal *refusal, enum kq_hop_verb verb,
                    uint64_t job)
{
  if (!kq_refusal_is_away (refusal))
    return false;
  switch (verb)
    {
    case KQ_HOP_SUBMIT:
    case KQ_HOP_STATE:
      return !kq_sched_has_job (refusal->sched, job);
    case KQ_HOP_CANCEL:
      return !kq_sched_is_cancelled (refusal->sched, job);
    case KQ_HOP_PENDING:
    case KQ_HOP_ORDERS:
      break;
    }
  return false;
}

int64_t
kq_refusal_retry_ms (const struct kq_refusal *refusal, uint64_t job)
{
  return kq_outage_retry_ms (&refusal->outage, job, kq_clock_now ());
}

#include "node/refusal.h"

#include <inttypes.h>
#include <stdio.h>

#include "base/err.h"
#include "log/log.h"

/* Maximum number of new jobs that are withdrawn at once before their records
   were encoded; the next failed append withdraws further ones. */
#define MAX_UNSENT_WITHDRAWALS 1024

/* If only the answer of one append was lost, the answer of its repetition
   arrives within this time after it was first sent: the time until it is
   repeated and that of a slow store. New jobs that wait behind it are not
   taken back before. */
#define LOST_ANSWER_US (KQ_OUTAGE_NO_ANSWER_US + 250 * KQ_USEC_PER_MSEC)

static bool
withdraw_job (void *arg, uint64_t job)
{
  struct kq_refusal *refusal = arg;

  if (kq_sched_withdraw (refusal->sched, job) != 0)
    return false;
  kq_deferred_withdraw (refusal->deferred, job);
  return true;
}

/* Takes back the new jobs that were not sent to the store yet. */
static int
withdraw_unsent (struct kq_refusal *refusal)
{
  uint64_t unsent[MAX_UNSENT_WITHDRAWALS];
  int count
      = kq_sched_list_unsent (refusal->sched, unsent, MAX_UNSENT_WITHDRAWALS);
  int withdrawn = 0;

  for (int i = 0; i < count; i++)
    withdrawn += withdraw_job (refusal, unsent[i]);
  return withdrawn;
}

static bool
may_be_lost_answer (const struct kq_refusal *refusal, kq_usec now)
{
  return refusal->outage.failures == 1
         && now - refusal->outage.since < LOST_ANSWER_US;
}

static int
log_withdrawals (int count)
{
  char number[16];

  snprintf (number, sizeof number, "%d", count);
  if (count > 0)
    kq_log (KQ_LOG_WARN, "owner", "jobs withdrawn", KQ_ELOG_DOWN, "jobs",
            number, NULL);
  return count;
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

static enum kq_outage_result
outage_result (const struct kq_store_append_result *result)
{
  if (result->err == 0 || result->err == KQ_EEXIST)
    return KQ_OUTAGE_ANSWERED;
  return result->answered && result->not_stored ? KQ_OUTAGE_REFUSED
                                                : KQ_OUTAGE_NO_ANSWER;
}

int
kq_refusal_note_attempt (struct kq_refusal *refusal,
                         const struct kq_store_append_result *result)
{
  kq_usec now = kq_clock_now ();
  kq_usec since = refusal->outage.since;
  int count;

  /* An append for which memory is short tells nothing about the store. */
  if (result->err == KQ_ENOMEM)
    return 0;
  if (kq_outage_note (&refusal->outage, outage_result (result),
                      result->sent_at, now))
    log_change (refusal, since, now);
  if (!kq_refusal_is_away (refusal))
    return 0;
  count = kq_journal_withdraw (refusal->journal, withdraw_job, refusal);
  if (!may_be_lost_answer (refusal, now))
    count += withdraw_unsent (refusal);
  return log_withdrawals (count);
}

int
kq_refusal_tick (struct kq_refusal *refusal)
{
  if (!kq_refusal_is_away (refusal)
      || may_be_lost_answer (refusal, kq_clock_now ()))
    return 0;
  return log_withdrawals (withdraw_unsent (refusal));
}

int
kq_refusal_note_term_append (struct kq_refusal *refusal,
                             const struct kq_store_append_result *result)
{
  return kq_journal_is_idle (refusal->journal)
             ? kq_refusal_note_attempt (refusal, result)
             : 0;
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
    case KQ_HOP_EXPLAIN:
    case KQ_HOP_FEED:
      break;
    }
  return false;
}

int64_t
kq_refusal_retry_ms (const struct kq_refusal *refusal, uint64_t job)
{
  return kq_outage_retry_ms (&refusal->outage, job, kq_clock_now ());
}

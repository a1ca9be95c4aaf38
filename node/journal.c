#include "node/journal.h"

#include <stdio.h>
#include <stdlib.h>

#include "base/err.h"
#include "log/log.h"
#include "metrics/metrics.h"
#include "node/outage.h"

/* An append without a reply is repeated after one of these times in turn. The
   first timeout shows that the store is away, and a short one notices soon
   that it is back: after an outage of 3 s, timeouts that double up to 1.6 s
   cost 1.4 s more. The long one lets a very slow store reply at all. */
#define INITIAL_TIMEOUT_US KQ_OUTAGE_NO_ANSWER_US
#define MAX_TIMEOUT_US (800 * KQ_USEC_PER_MSEC)

/* Delay before an append that the store has refused is repeated. */
#define RETRY_DELAY_SEC 0.06

/* The same for an append that is refused each time, as too large or malformed:
   only another version of this program, or of the store, changes that. */
#define REFUSED_RETRY_DELAY_SEC 1.0

/* A larger append might take longer than the first timeout. */
#define MAX_APPEND_BYTES ((size_t)1500 * 1024)

struct kq_journal
{
  struct ev_loop *loop;
  struct kq_store *store;
  struct kq_store_limits limits;
  struct kq_journal_handler handler;
  struct kq_append append;
  uint64_t position; /* journal position of the append */
  int64_t epoch;
  int64_t sequence;
  kq_usec timeout;
  kq_usec confirmed_at; /* when the last stored append was sent */
  ev_timer retry;
  bool append_in_flight;
  int failures; /* failed attempts of the append in flight */
};

static struct kq_metric refused_count
    = { .name = "kq_journal_refused_total",
        .help = "Appends that the store refuses as too large or malformed." };

void
kq_journal_register_metrics (void)
{
  kq_metric_register (&refused_count);
}

static void send_batch (struct kq_journal *journal);

static void
on_retry (struct ev_loop *loop, ev_timer *timer, int events)
{
  send_batch (timer->data);
}

/* Reports an append that no repetition will store. */
static void
note_refused (const struct kq_append *append)
{
  char records[16];
  char bytes[24];

  kq_metric_add (&refused_count, 1);
  snprintf (records, sizeof records, "%d", append->next - append->first);
  snprintf (bytes, sizeof bytes, "%zu", append->batch.size);
  kq_log (KQ_LOG_ERROR, "journal", "append refused for good", KQ_EINVAL,
          "first_key", append->records[append->first].key, "records", records,
          "bytes", bytes, NULL);
}

static double
retry_delay (int err)
{
  if (err == KQ_ELOG_UNKNOWN)
    return 0;
  return err == KQ_EINVAL ? REFUSED_RETRY_DELAY_SEC : RETRY_DELAY_SEC;
}

static void
retry_append (struct kq_journal *journal,
              const struct kq_store_append_result *result)
{
  if (!result->not_stored && !journal->append.maybe_stored)
    {
      journal->append.maybe_stored = true;
      journal->handler.on_maybe_stored (journal->handler.arg,
                                        journal->position);
    }
  journal->failures++;
  if (result->err == KQ_EINVAL && journal->append.count > 0)
    note_refused (&journal->append);
  else if (journal->failures == 1)
    kq_log (KQ_LOG_WARN, "journal", "append failed", result->err, NULL);
  if (result->err == KQ_ELOG_UNKNOWN)
    journal->timeout = journal->timeout < MAX_TIMEOUT_US ? MAX_TIMEOUT_US
                                                         : INITIAL_TIMEOUT_US;
  ev_timer_set (&journal->retry, retry_delay (result->err), 0);
  ev_timer_start (journal->loop, &journal->retry);
  journal->handler.on_attempt (journal->handler.arg, result);
}

static void
complete_append (struct kq_journal *journal,
                 const struct kq_store_append_result *result)
{
  if (journal->failures > 0)
    kq_log (KQ_LOG_INFO, "journal", "append stored after failures", 0, NULL);
  journal->failures = 0;
  journal->timeout = INITIAL_TIMEOUT_US;
  journal->sequence++;
  journal->confirmed_at = result->sent_at;
  journal->handler.on_attempt (journal->handler.arg, result);
  if (kq_append_advance (&journal->append))
    {
      journal->handler.on_maybe_stored (journal->handler.arg,
                                        journal->position);
      send_batch (journal);
      return;
    }
  journal->append_in_flight = false;
  kq_append_clear (&journal->append);
  journal->handler.on_stored (journal->handler.arg, journal->position);
}

static void
on_appended (void *arg, const struct kq_store_append_result *result)
{
  struct kq_journal *journal = arg;

  /* If the store expects the next sequence number, it has already stored this
     append, but so many appends ago that it no longer recognizes it. */
  bool stored = result->err == 0
                || (result->err == KQ_EEXIST
                    && result->refusal == KQ_STORE_SEQUENCE_MISMATCH
                    && result->expected_sequence == journal->sequence + 1);

  if (stored)
    complete_append (journal, result);
  else if (result->err != KQ_EEXIST)
    retry_append (journal, result);
  else if (result->refusal == KQ_STORE_SEQUENCE_MISMATCH)
    {
      kq_log (KQ_LOG_WARN, "journal", "append sequence number corrected", 0,
              NULL);
      journal->handler.on_attempt (journal->handler.arg, result);
      journal->sequence = result->expected_sequence;
      send_batch (journal);
    }
  else
    {
      kq_log (KQ_LOG_WARN, "journal", "fenced", result->err, NULL);
      journal->handler.on_fenced (journal->handler.arg);
    }
}

static void
send_batch (struct kq_journal *journal)
{
  struct kq_store_condition condition = { .expected_end = -1,
                                          .epoch = journal->epoch,
                                          .sequence = journal->sequence };

  kq_store_append (journal->store, KQ_STORE_JOBS, &journal->append.batch,
                   &condition, journal->timeout, on_appended, journal);
}

struct kq_journal *
kq_journal_create (struct ev_loop *loop, struct kq_store *store,
                   const struct kq_store_limits *limits, int64_t epoch,
                   const struct kq_journal_handler *handler)
{
  struct kq_journal *journal = calloc (1, sizeof *journal);

  if (journal == NULL)
    return NULL;
  journal->loop = loop;
  journal->store = store;
  journal->limits = *limits;
  if (journal->limits.call_bytes > MAX_APPEND_BYTES)
    journal->limits.call_bytes = MAX_APPEND_BYTES;
  journal->handler = *handler;
  journal->epoch = epoch;
  journal->timeout = INITIAL_TIMEOUT_US;
  ev_timer_init (&journal->retry, on_retry, 0, 0);
  journal->retry.data = journal;
  return journal;
}

void
kq_journal_destroy (struct kq_journal *journal)
{
  if (journal == NULL)
    return;
  ev_timer_stop (journal->loop, &journal->retry);
  kq_append_clear (&journal->append);
  free (journal);
}

void
kq_journal_open (struct kq_journal *journal)
{
  journal->append_in_flight = true;
  journal->position = 0;
  send_batch (journal);
}

void
kq_journal_write (struct kq_journal *journal, struct kq_sched *sched)
{
  struct kq_sched_record *records = NULL;
  int count;

  if (journal->append_in_flight)
    return;
  count = kq_sched_encode_records (
      sched, journal->limits.record_bytes - KQ_SCHED_KEY_SIZE, &records,
      &journal->position);
  if (count < 0)
    kq_log (KQ_LOG_ERROR, "journal", "records not encoded", count, NULL);
  if (records == NULL)
    return;
  kq_append_begin (&journal->append, records, count,
                   journal->limits.call_bytes);
  journal->append_in_flight = true;
  send_batch (journal);
}

int
kq_journal_withdraw (struct kq_journal *journal, kq_append_withdraw *withdraw,
                     void *arg)
{
  return kq_append_withdraw_jobs (&journal->append, withdraw, arg);
}

kq_usec
kq_journal_confirmed_at (const struct kq_journal *journal)
{
  return journal->confirmed_at;
}

bool
kq_journal_is_failing (const struct kq_journal *journal)
{
  return journal->failures > 0;
}

bool
kq_journal_is_idle (const struct kq_journal *journal)
{
  return !journal->append_in_flight;
}

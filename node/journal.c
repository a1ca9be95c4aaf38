#include "node/journal.h"

#include <stdio.h>
#include <stdlib.h>

#include "base/err.h"
#include "log/log.h"

/* An append without an answer is repeated after this, which doubles up to
   the limit: a slow store answers in a quarter of a second. */
#define FIRST_TIMEOUT (400 * KQ_USEC_PER_MSEC)
#define LAST_TIMEOUT (1600 * KQ_USEC_PER_MSEC)

/* A store that refused is asked again after this. */
#define RETRY_SEC 0.06

/* Bytes of one append.  Source: the platform's longest call, 2 MB. */
#define MAX_BYTES ((size_t)1500 * 1024)

struct kq_journal
{
  struct ev_loop *loop;
  struct kq_store *store;
  struct kq_journal_handler handler;
  struct kq_store_batch batch;
  uint64_t position; /* that the batch closes */
  int64_t epoch;
  int64_t sequence;
  kq_usec timeout;
  kq_usec confirmed_at;
  ev_timer retry;
  bool busy;
  int failures; /* of the append under way */
};

static void send_batch (struct kq_journal *journal);

static void
on_retry (struct ev_loop *loop, ev_timer *timer, int events)
{
  send_batch (timer->data);
}

static void
fail (struct kq_journal *journal,
      const struct kq_store_append_result *appended)
{
  journal->failures++;
  if (journal->failures == 1)
    kq_log (KQ_LOG_WARN, "journal", "append failed", appended->err, NULL);
  if (appended->err == KQ_ELOG_UNKNOWN && journal->timeout < LAST_TIMEOUT)
    journal->timeout *= 2;
  ev_timer_set (&journal->retry,
                appended->err == KQ_ELOG_UNKNOWN ? 0 : RETRY_SEC, 0);
  ev_timer_start (journal->loop, &journal->retry);
}

static void
finish (struct kq_journal *journal,
        const struct kq_store_append_result *appended)
{
  if (journal->failures > 0)
    kq_log (KQ_LOG_INFO, "journal", "append stored after failures", 0, NULL);
  journal->busy = false;
  journal->failures = 0;
  journal->timeout = FIRST_TIMEOUT;
  journal->sequence++;
  journal->confirmed_at = appended->sent_at;
  kq_store_batch_clear (&journal->batch);
  journal->handler.on_stored (journal->handler.arg, journal->position);
}

static void
on_appended (void *arg, const struct kq_store_append_result *appended)
{
  struct kq_journal *journal = arg;

  /* With the next number expected, it was stored more appends ago than the
     store remembers. */
  bool stored = appended->err == 0
                || (appended->err == KQ_EEXIST
                    && appended->refusal == KQ_STORE_SEQUENCE_MISMATCH
                    && appended->expected == journal->sequence + 1);

  if (stored)
    finish (journal, appended);
  else if (appended->err != KQ_EEXIST)
    fail (journal, appended);
  else if (appended->refusal == KQ_STORE_SEQUENCE_MISMATCH)
    {
      kq_log (KQ_LOG_WARN, "journal", "sequence corrected", 0, NULL);
      journal->sequence = appended->expected;
      send_batch (journal);
    }
  else
    {
      kq_log (KQ_LOG_WARN, "journal", "fenced", appended->err, NULL);
      journal->handler.on_fenced (journal->handler.arg);
    }
}

static void
send_batch (struct kq_journal *journal)
{
  struct kq_store_condition condition
      = { .at = -1, .epoch = journal->epoch, .sequence = journal->sequence };

  kq_store_append (journal->store, KQ_STORE_JOBS, &journal->batch, &condition,
                   journal->timeout, on_appended, journal);
}

struct kq_journal *
kq_journal_create (struct ev_loop *loop, struct kq_store *store, int64_t epoch,
                   const struct kq_journal_handler *handler)
{
  struct kq_journal *journal = calloc (1, sizeof *journal);

  if (journal == NULL)
    return NULL;
  journal->loop = loop;
  journal->store = store;
  journal->handler = *handler;
  journal->epoch = epoch;
  journal->timeout = FIRST_TIMEOUT;
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
  kq_store_batch_clear (&journal->batch);
  free (journal);
}

void
kq_journal_open (struct kq_journal *journal)
{
  journal->busy = true;
  journal->position = 0;
  send_batch (journal);
}

void
kq_journal_write (struct kq_journal *journal, struct kq_sched *sched)
{
  struct kq_sched_record *records = NULL;
  int count;

  if (journal->busy)
    return;
  count = kq_sched_encode_records (sched, MAX_BYTES, &records,
                                   &journal->position);
  if (count < 0)
    kq_log (KQ_LOG_ERROR, "journal", "records not taken", count, NULL);
  if (records == NULL)
    return;
  for (int i = 0; i < count; i++)
    {
      if (kq_store_batch_add (&journal->batch, records[i].key,
                              records[i].value, records[i].size)
          != 0)
        kq_log (KQ_LOG_ERROR, "journal", "record lost", KQ_ENOMEM, "key",
                records[i].key, NULL);
      free (records[i].value);
    }
  free (records);
  journal->busy = true;
  send_batch (journal);
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

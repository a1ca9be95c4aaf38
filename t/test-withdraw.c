/* Guards against a job that runs, or comes back with a later owner, although
 * its caller was told 503; against jobs that may be stored being taken back;
 * and against appends that exceed the store's limit after an outage.
 */
#include <stdlib.h>
#include <string.h>

#include "base/err.h"
#include "node/append.h"
#include "node/deferred.h"
#include "node/refusal.h"
#include "node/sends.h"
#include "t/kqtest.h"
#include "t/lib-sched.h"

#define MAX_APPEND_BYTES ((size_t)1500 * 1024)

#define OLD_JOB UINT64_C (0x31)
#define JOB UINT64_C (0x32)
#define OTHER_JOB UINT64_C (0x33)
#define WAITING_JOB UINT64_C (0x34)

static const struct kq_sched_step step
    = { .count = 2, .demand = { 1000, 100, 0 }, .est_ms = 1000 };

/* Has more tasks than the worker has room for. */
static const struct kq_sched_step wide
    = { .count = 5, .demand = { 1000, 100, 0 }, .est_ms = 1000 };

/* A cell whose store refuses what the journal sends, until the test stores
   it. */
struct outage_cell
{
  struct ts_cell ts;
  struct kq_append append;
  uint64_t position;
};

static struct outage_cell *
start_cell (void)
{
  struct outage_cell *cell = calloc (1, sizeof *cell);

  if (cell == NULL)
    abort ();
  ts_start (&cell->ts);
  ts_register_worker (&cell->ts, "a", 4000, 4000);
  ts_reply_poll (&cell->ts, "a", NULL, 0, NULL, 0);
  ts_submit (&cell->ts, OLD_JOB, "batch", &step, 1);
  CU_ASSERT_EQUAL (ts_count_orders (&cell->ts, KQ_SCHED_FX_START), 2);
  cell->ts.store_down = true;
  return cell;
}

static void
stop_cell (struct outage_cell *cell)
{
  kq_append_clear (&cell->append);
  ts_stop (&cell->ts);
  free (cell);
}

/* Gives the changes to the store, which does not store them yet. */
static void
send_records (struct outage_cell *cell)
{
  struct kq_sched_record *records = NULL;
  int count = kq_sched_encode_records (cell->ts.sched, MAX_APPEND_BYTES,
                                       &records, &cell->position);

  kq_append_begin (&cell->append, records, count, MAX_APPEND_BYTES);
}

static void
put_record (struct ts_cell *ts, const struct kq_sched_record *record)
{
  struct kq_sched_record *kept = &ts->records[ts->record_count];

  for (int i = 0; i < ts->record_count; i++)
    if (strcmp (ts->records[i].key, record->key) == 0)
      kept = &ts->records[i];
  ts->record_count += kept == &ts->records[ts->record_count];
  free (kept->value);
  *kept = *record;
  kept->value = malloc (record->size + 1);
  if (kept->value == NULL)
    abort ();
  memcpy (kept->value, record->value, record->size);
}

/* The store takes the current append. */
static void
take_append (struct outage_cell *cell)
{
  CU_ASSERT_EQUAL (cell->append.batch.count,
                   cell->append.next - cell->append.first);
  for (int i = cell->append.first; i < cell->append.next; i++)
    put_record (&cell->ts, &cell->append.records[i]);
}

/* The store takes the append, and its answer arrives. */
static void
store_records (struct outage_cell *cell)
{
  struct kq_sched_event event = { .kind = KQ_SCHED_EV_STORED };

  take_append (cell);
  CU_ASSERT_FALSE (kq_append_advance (&cell->append));
  cell->ts.stored = cell->position;
  event.u.stored = cell->position;
  kq_sched_event (cell->ts.sched, cell->ts.now, &event);
  ts_process_pending (&cell->ts);
}

static bool
withdraw_job (void *arg, uint64_t job)
{
  struct ts_cell *ts = arg;
  int kept = 0;

  if (kq_sched_withdraw (ts->sched, job) != 0)
    return false;
  kq_sched_assert (ts->sched);
  for (int i = 0; i < ts->pending_effect_count; i++)
    if (kq_sched_withdraw_effect (&ts->pending_effects[i], job))
      ts->pending_effects[kept++] = ts->pending_effects[i];
  ts->pending_effect_count = kept;
  return true;
}

static int
withdraw_refused (struct outage_cell *cell)
{
  int count = kq_append_withdraw_jobs (&cell->append, withdraw_job, &cell->ts);

  ts_process_pending (&cell->ts);
  return count;
}

static int
status_of (const struct outage_cell *cell, uint64_t token)
{
  const struct ts_result *result = ts_result_of (&cell->ts, token);

  return result != NULL ? result->status : 0;
}

/* Returns the number of start orders of JOB. */
static int
count_starts (const struct outage_cell *cell, uint64_t job)
{
  int count = 0;

  for (int i = 0; i < cell->ts.order_count; i++)
    count += cell->ts.orders[i].kind == KQ_SCHED_FX_START
             && cell->ts.orders[i].run.job == job;
  return count;
}

/* Lets a successor restore what the store holds. */
static void
take_over (struct outage_cell *cell)
{
  cell->ts.store_down = false;
  ts_take_over (&cell->ts);
  ts_register_worker (&cell->ts, "a", 4000, 4000);
  ts_reply_poll (&cell->ts, "a", NULL, 0, NULL, 0);
}

static void
test_refused_job (void)
{
  struct outage_cell *cell = start_cell ();
  uint64_t tokens[] = { ts_submit (&cell->ts, JOB, "urgent", &wide, 2),
                        ts_submit (&cell->ts, JOB, "urgent", &wide, 2),
                        ts_query (&cell->ts, JOB) };

  send_records (cell);
  CU_ASSERT_EQUAL (status_of (cell, tokens[0]), 0);
  CU_ASSERT_EQUAL (withdraw_refused (cell), 1);
  for (int i = 0; i < 3; i++)
    CU_ASSERT_EQUAL (status_of (cell, tokens[i]), 503);
  CU_ASSERT_FALSE (kq_sched_has_job (cell->ts.sched, JOB));
  store_records (cell);
  CU_ASSERT_EQUAL (count_starts (cell, JOB), 0);
  /* A state that stays would be that of a later job of the same ID. */
  for (int i = 0; i < cell->ts.record_count; i++)
    CU_ASSERT_PTR_NULL (strstr (cell->ts.records[i].key, "32"));
  take_over (cell);
  CU_ASSERT_EQUAL (status_of (cell, ts_query (&cell->ts, JOB)), 410);
  CU_ASSERT_EQUAL (count_starts (cell, JOB), 0);
  stop_cell (cell);
}

/* A job that is known to the store stays, and so does what changed of it. */
static void
test_changes_stay (void)
{
  struct outage_cell *cell = start_cell ();
  struct kq_sched_step large = step;
  uint64_t cancel;

  large.demand.cpu = 4000;
  cell->ts.store_down = false;
  ts_submit (&cell->ts, WAITING_JOB, "batch", &large, 1);
  cell->ts.store_down = true;
  ts_submit (&cell->ts, JOB, "urgent", &step, 1);
  cancel = ts_cancel (&cell->ts, OLD_JOB);
  send_records (cell);
  CU_ASSERT_EQUAL (withdraw_refused (cell), 1);
  CU_ASSERT_EQUAL (kq_sched_withdraw (cell->ts.sched, OLD_JOB), KQ_EEXIST);
  CU_ASSERT_EQUAL (kq_sched_withdraw (cell->ts.sched, WAITING_JOB), KQ_EEXIST);
  CU_ASSERT_EQUAL (kq_sched_withdraw (cell->ts.sched, JOB), KQ_ENOENT);
  CU_ASSERT_EQUAL (status_of (cell, cancel), 0);
  store_records (cell);
  CU_ASSERT_EQUAL (status_of (cell, cancel), 200);
  take_over (cell);
  CU_ASSERT_TRUE (kq_sched_is_cancelled (cell->ts.sched, OLD_JOB));
  stop_cell (cell);
}

/* An attempt without an answer may have been stored, or may be later: the job
   stays and is accepted, by this owner or by its successor. */
static void
test_unknown_attempt (void)
{
  struct outage_cell *cell = start_cell ();
  uint64_t token = ts_submit (&cell->ts, JOB, "urgent", &step, 1);
  uint64_t unsent;
  uint64_t cancel;
  uint64_t found;

  send_records (cell);
  cell->append.maybe_stored = true;
  kq_sched_note_maybe_stored (cell->ts.sched, cell->position);
  unsent = ts_submit (&cell->ts, OTHER_JOB, "urgent", &step, 1);
  cancel = ts_cancel (&cell->ts, OTHER_JOB);
  CU_ASSERT_EQUAL (withdraw_refused (cell), 0);
  CU_ASSERT_EQUAL (kq_sched_withdraw (cell->ts.sched, JOB), KQ_EEXIST);
  /* What was never sent is certainly not stored. */
  CU_ASSERT_EQUAL (kq_sched_list_unsent (cell->ts.sched, &found, 1), 1);
  CU_ASSERT_EQUAL (found, OTHER_JOB);
  CU_ASSERT_TRUE (withdraw_job (&cell->ts, found));
  ts_process_pending (&cell->ts);
  CU_ASSERT_EQUAL (status_of (cell, unsent), 503);
  CU_ASSERT_EQUAL (status_of (cell, cancel), 503);
  CU_ASSERT_EQUAL (status_of (cell, token), 0);
  take_append (cell);
  take_over (cell);
  CU_ASSERT_EQUAL (status_of (cell, ts_query (&cell->ts, JOB)), 200);
  CU_ASSERT_EQUAL (status_of (cell, ts_query (&cell->ts, OTHER_JOB)), 410);
  stop_cell (cell);
}

/* The start of the withdrawn job waits for the append that was refused. It
   must not be sent for the new job of that ID, which is stored later. */
static void
test_repeated_id (void)
{
  struct outage_cell *cell = start_cell ();
  uint64_t token;

  ts_submit (&cell->ts, JOB, "urgent", &step, 1);
  send_records (cell);
  CU_ASSERT_EQUAL (withdraw_refused (cell), 1);
  token = ts_submit (&cell->ts, JOB, "urgent", &step, 1);
  store_records (cell);
  CU_ASSERT_EQUAL (count_starts (cell, JOB), 0);
  CU_ASSERT_EQUAL (status_of (cell, token), 0);
  send_records (cell);
  store_records (cell);
  CU_ASSERT_EQUAL (status_of (cell, token), 200);
  CU_ASSERT_EQUAL (count_starts (cell, JOB), 2);
  stop_cell (cell);
}

/* What has ended is stored first, then urgent jobs: the store may fail again
   before the rest. */
static void
test_order_of_records (void)
{
  struct outage_cell *cell = start_cell ();
  int first_record;

  ts_submit (&cell->ts, JOB, "batch", &step, 1);
  ts_submit (&cell->ts, OTHER_JOB, "urgent", &step, 1);
  ts_cancel (&cell->ts, OLD_JOB);
  send_records (cell);
  first_record = cell->append.count - 4;
  CU_ASSERT_STRING_EQUAL (cell->append.records[first_record].key,
                          "s0000000000000031");
  CU_ASSERT_STRING_EQUAL (cell->append.records[first_record + 1].key,
                          "j0000000000000033");
  CU_ASSERT_STRING_EQUAL (cell->append.records[first_record + 2].key,
                          "j0000000000000032");
  stop_cell (cell);
}

static bool
withdraw_any (void *arg, uint64_t job)
{
  return true;
}

static bool
withdraw_zero (void *arg, uint64_t job)
{
  return job == 0;
}

static struct kq_sched_record *
create_records (int count)
{
  struct kq_sched_record *records = calloc ((size_t)count, sizeof *records);

  if (records == NULL)
    abort ();
  return records;
}

/* Fills RECORD with a value of SIZE bytes; FORMAT makes its key of JOB. */
static void
fill_record (struct kq_sched_record *record, const char *format, unsigned job,
             size_t size)
{
  snprintf (record->key, sizeof record->key, format, job);
  record->size = size;
  record->value = calloc (1, size);
  record->is_first = record->key[0] == 'j';
  record->job = job;
  if (record->value == NULL)
    abort ();
}

/* The store refuses calls of more than 2 MB for ever. */
static void
test_size_of_appends (void)
{
  enum
  {
    COUNT = 5,
    RECORD_BYTES = 700 * 1024
  };
  struct kq_append append = { .count = 0 };
  struct kq_sched_record *records = create_records (COUNT);
  int stored = 0;

  for (int i = 0; i < COUNT; i++)
    fill_record (&records[i], "j%u", (unsigned)i, RECORD_BYTES);
  kq_append_begin (&append, records, COUNT, MAX_APPEND_BYTES);
  do
    {
      CU_ASSERT_TRUE (append.batch.size < 2000000);
      stored += append.batch.count;
    }
  while (kq_append_advance (&append));
  CU_ASSERT_EQUAL (stored, COUNT);
  /* Parts of the position are stored. */
  CU_ASSERT_EQUAL (kq_append_withdraw_jobs (&append, withdraw_any, NULL), 0);
  kq_append_clear (&append);
}

/* A takeover between two appends restores a mix of two states of a job. */
static void
test_records_of_a_job_together (void)
{
  static const char *const formats[] = { "j%016x", "s%016x", "t%016x.00001" };
  enum
  {
    JOBS = 4,
    RECORDS = 3,
    RECORD_BYTES = 400
  };
  struct kq_append append = { .count = 0 };
  struct kq_sched_record *records = create_records (JOBS * RECORDS);
  int stored = 0;

  for (int i = 0; i < JOBS * RECORDS; i++)
    fill_record (&records[i], formats[i % RECORDS], (unsigned)(i / RECORDS),
                 RECORD_BYTES);
  /* The first job is withdrawn with all its records. */
  kq_append_begin (&append, records, JOBS * RECORDS, 2000);
  CU_ASSERT_EQUAL (append.batch.count, RECORDS);
  CU_ASSERT_EQUAL (kq_append_withdraw_jobs (&append, withdraw_zero, NULL), 1);
  CU_ASSERT_EQUAL (append.count, (JOBS - 1) * RECORDS);
  CU_ASSERT_STRING_EQUAL (append.records[0].key, "j0000000000000001");
  do
    {
      CU_ASSERT_EQUAL (append.batch.count, RECORDS);
      stored += append.batch.count;
    }
  while (kq_append_advance (&append));
  CU_ASSERT_EQUAL (stored, (JOBS - 1) * RECORDS);
  kq_append_clear (&append);
}

/* The records of one job exceed an append. */
static void
test_very_large_job (void)
{
  enum
  {
    RECORDS = 7,
    RECORD_BYTES = 400
  };
  struct kq_append append = { .count = 0 };
  struct kq_sched_record *records = create_records (RECORDS);
  int stored = 0;

  for (int i = 0; i < RECORDS; i++)
    fill_record (&records[i], "t%016x.00001", 1, RECORD_BYTES);
  kq_append_begin (&append, records, RECORDS, 1000);
  do
    {
      CU_ASSERT (append.batch.size <= 1000);
      stored += append.batch.count;
    }
  while (kq_append_advance (&append));
  CU_ASSERT_EQUAL (stored, RECORDS);
  kq_append_clear (&append);
}

static bool
note_token (void *arg, const struct kq_sched_effect *effect)
{
  int *last = arg;

  *last = *last * 10 + effect->u.result.status % 10;
  return true;
}

static void
test_deferred_effects (void)
{
  int executed = 0;
  struct kq_deferred *deferred = kq_deferred_create (note_token, &executed);
  struct kq_sched_effect result
      = { .kind = KQ_SCHED_FX_RESULT, .after = 2, .u.result.status = 201 };
  struct kq_sched_effect start = { .kind = KQ_SCHED_FX_START, .after = 1 };

  start.u.order.run.job = JOB;
  result.u.result.has_job = true;
  result.u.result.job = JOB;
  kq_deferred_add (deferred, &start);
  kq_deferred_add (deferred, &result);
  result.u.result.job = OTHER_JOB;
  kq_deferred_add (deferred, &result);
  kq_deferred_withdraw (deferred, JOB);
  kq_deferred_run (deferred, 0);
  CU_ASSERT_EQUAL (executed, 3); /* 503 at once */
  kq_deferred_run (deferred, 2);
  CU_ASSERT_EQUAL (executed, 31); /* the other job's result, no order */
  kq_deferred_destroy (deferred);
}

/* A repeat of what was accepted, or may be, must not be told that it never
   runs; what stores nothing is answered. */
static void
test_requests_while_away (void)
{
  static const struct
  {
    enum kq_hop_verb verb;
    uint64_t job;
    bool refused;
  } cases[] = {
    { KQ_HOP_SUBMIT, JOB, true },        { KQ_HOP_SUBMIT, OLD_JOB, false },
    { KQ_HOP_STATE, JOB, true },         { KQ_HOP_STATE, OLD_JOB, false },
    { KQ_HOP_CANCEL, JOB, true },        { KQ_HOP_CANCEL, OLD_JOB, true },
    { KQ_HOP_CANCEL, OTHER_JOB, false }, { KQ_HOP_PENDING, 0, false },
  };
  struct outage_cell *cell = start_cell ();
  struct kq_refusal refusal = { .sched = cell->ts.sched };

  ts_submit (&cell->ts, OTHER_JOB, "batch", &step, 1);
  ts_cancel (&cell->ts, OTHER_JOB);
  for (int away = 0; away < 2; away++)
    {
      refusal.outage.since = away;
      for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
        CU_ASSERT_EQUAL (
            kq_refusal_applies (&refusal, cases[i].verb, cases[i].job),
            away && cases[i].refused);
    }
  stop_cell (cell);
}

/* The copy that is still under way may be a new submission after the
   outage. */
static void
test_copies_of_a_request (void)
{
  struct kq_sends sends = { 0 };

  kq_sends_add (&sends);
  CU_ASSERT_EQUAL (kq_sends_reject (&sends, 0, 0, 0), KQ_SENDS_RESEND);
  kq_sends_add (&sends);
  kq_sends_add (&sends);
  CU_ASSERT_EQUAL (kq_sends_reject (&sends, 503, 0, 2000), KQ_SENDS_WAIT);
  CU_ASSERT_EQUAL (kq_sends_reject (&sends, 0, 0, 0), KQ_SENDS_REFUSED);
  CU_ASSERT_EQUAL (sends.retry_ms, 2000);
}

static const struct kq_test tests[] = {
  { "a refused job is withdrawn for good", test_refused_job },
  { "changes of known jobs stay", test_changes_stay },
  { "a job that may be stored stays", test_unknown_attempt },
  { "a withdrawn ID is submitted again", test_repeated_id },
  { "order of the records", test_order_of_records },
  { "size of appends", test_size_of_appends },
  { "records of a job are stored together", test_records_of_a_job_together },
  { "records of a very large job", test_very_large_job },
  { "requests while the store is away", test_requests_while_away },
  { "copies of a request", test_copies_of_a_request },
  { "deferred effects of a withdrawn job", test_deferred_effects },
};

KQ_TEST_MAIN ("test-withdraw", tests)

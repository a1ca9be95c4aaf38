/* Guards against a job that runs although the cancellation of its ID was
 * answered with "no such job": its submission was under way then.
 */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "t/kqtest.h"
#include "t/lib-sched.h"

#define JOB UINT64_C (0x81)
#define OTHER_JOB UINT64_C (0x82)

#define STATUS_OK 200
#define STATUS_GONE 410
#define STATUS_TOO_MANY_REQUESTS 429
#define STATUS_UNAVAILABLE 503

/* A submission is refused for that long at least after the cancellation, and
   not for much longer. */
#define RETENTION_MS 240000
#define EXTRA_MS 15000

/* More cancellations of unknown IDs than a cell remembers. */
#define MANY_IDS 9000

/* More than a cell needs for itself. */
#define MAX_STORED 8200

static const struct kq_sched_step step
    = { .count = 2, .demand = { 1000, 100, 0 }, .est_ms = 1000 };

static struct ts_cell *
create_cell (void)
{
  struct ts_cell *cell = ts_create ();

  ts_add_idle_worker (cell, "a", 4000);
  return cell;
}

static int
status_of (struct ts_cell *cell, uint64_t token)
{
  const struct ts_result *result;

  ts_advance (cell, 20);
  result = ts_result_of (cell, token);
  return result != NULL ? result->status : 0;
}

static int
cancel (struct ts_cell *cell, uint64_t job)
{
  return status_of (cell, ts_cancel (cell, job));
}

static int
submit (struct ts_cell *cell, uint64_t job)
{
  return status_of (cell, ts_submit (cell, job, "batch", &step, 1));
}

/* JOB is refused, and nothing of it is started. */
static void
check_refused (struct ts_cell *cell)
{
  int starts = ts_count_orders (cell, KQ_SCHED_FX_START);

  CU_ASSERT_EQUAL (submit (cell, JOB), STATUS_TOO_MANY_REQUESTS);
  ts_advance (cell, 500);
  CU_ASSERT_EQUAL (ts_count_orders (cell, KQ_SCHED_FX_START), starts);
  CU_ASSERT_EQUAL (status_of (cell, ts_query (cell, JOB)), STATUS_GONE);
}

static void
take_over (struct ts_cell *cell)
{
  ts_take_over (cell);
  ts_add_idle_worker (cell, "a", 4000);
  ts_advance (cell, 300);
  ts_add_idle_worker (cell, "a", 4000);
}

static void
test_same_owner (void)
{
  struct ts_cell *cell = create_cell ();

  CU_ASSERT_EQUAL (cancel (cell, JOB), STATUS_GONE);
  check_refused (cell);
  check_refused (cell);
  CU_ASSERT_EQUAL (cancel (cell, JOB), STATUS_GONE);
  CU_ASSERT_EQUAL (submit (cell, OTHER_JOB), STATUS_OK);
  CU_ASSERT_EQUAL (ts_count_orders (cell, KQ_SCHED_FX_START), 2);
  ts_destroy (cell);
}

/* The owner that answered is gone when the submission arrives. */
static void
test_next_owner (void)
{
  struct ts_cell *cell = create_cell ();

  CU_ASSERT_EQUAL (cancel (cell, JOB), STATUS_GONE);
  for (int i = 0; i < 3; i++)
    {
      take_over (cell);
      check_refused (cell);
    }
  CU_ASSERT_EQUAL (submit (cell, OTHER_JOB), STATUS_OK);
  ts_destroy (cell);
}

/* An answer that a successor would not keep is not given. */
static void
test_answer_waits_for_store (void)
{
  struct ts_cell *cell = create_cell ();
  uint64_t token;

  cell->store_down = true;
  token = ts_cancel (cell, JOB);
  CU_ASSERT_EQUAL (status_of (cell, token), 0);
  cell->store_down = false;
  CU_ASSERT_EQUAL (status_of (cell, token), STATUS_GONE);
  take_over (cell);
  check_refused (cell);
  ts_destroy (cell);
}

/* The first copy of a submission was accepted and cancelled; its record has
   expired, and the caller cancels once more. */
static void
test_copy_of_expired_job (void)
{
  struct ts_cell *cell = create_cell ();

  CU_ASSERT_EQUAL (submit (cell, JOB), STATUS_OK);
  CU_ASSERT_EQUAL (cancel (cell, JOB), STATUS_OK);
  ts_list_runs (cell, "a");
  ts_advance (cell, RETENTION_MS + EXTRA_MS);
  CU_ASSERT_EQUAL (cancel (cell, JOB), STATUS_GONE);
  check_refused (cell);
  ts_destroy (cell);
}

/* Each cancellation counts from its own answer, also over a change of the
   owner. */
static void
test_retention (void)
{
  struct ts_cell *cell = create_cell ();

  CU_ASSERT_EQUAL (cancel (cell, JOB), STATUS_GONE);
  ts_advance (cell, RETENTION_MS / 2);
  CU_ASSERT_EQUAL (cancel (cell, JOB), STATUS_GONE);
  ts_advance (cell, RETENTION_MS / 2);
  take_over (cell);
  ts_advance (cell, RETENTION_MS / 2 - 2000);
  check_refused (cell);
  ts_advance (cell, EXTRA_MS);
  CU_ASSERT_EQUAL (submit (cell, JOB), STATUS_OK);
  for (int i = 0; i < cell->record_count; i++)
    CU_ASSERT (cell->records[i].key[0] != KQ_SCHED_TOMBSTONE_KEY
               || cell->records[i].size == 0);
  ts_destroy (cell);
}

/* The record of the cancellation cannot be read, or has an impossible age. */
static void
test_odd_records (void)
{
  static const uint8_t odd[] = { 0xff, 0xff, 0xff };
  static const uint8_t from_the_future[]
      = { 0x08, 0xff, 0xff, 0xff, 0xff, 0xff, 0x7f };
  const struct
  {
    const uint8_t *value;
    size_t size;
  } cases[] = { { NULL, 0 },
                { odd, sizeof odd },
                { from_the_future, sizeof from_the_future } };

  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      struct ts_cell *cell = create_cell ();

      CU_ASSERT_EQUAL (kq_sched_restore_tombstone (
                           cell->sched, JOB, cases[i].value, cases[i].size),
                       0);
      kq_sched_finish_restore (cell->sched, cell->now);
      check_refused (cell);
      ts_advance (cell, RETENTION_MS + EXTRA_MS);
      CU_ASSERT_EQUAL (submit (cell, JOB), STATUS_OK);
      ts_destroy (cell);
    }
}

/* Callers cancel any number of IDs: what is remembered is bounded, and a
   cancellation beyond that is refused, not broken. */
static void
test_many_ids (void)
{
  struct kq_sched *sched = kq_sched_create ();
  struct kq_sched_now now = { .mono = KQ_USEC_PER_SEC, .wall_ms = 1 };
  struct kq_sched_event event = { .kind = KQ_SCHED_EV_CANCEL };
  struct kq_sched_effect effect;
  struct kq_sched_record *records;
  struct kq_sched_counts counts;
  uint64_t position;
  int gone = 0;
  int refused = 0;
  int stored;

  kq_sched_finish_restore (sched, now);
  event.u.call.queue = "batch";
  for (int i = 0; i < MANY_IDS; i++)
    {
      event.u.call.token = event.u.call.job = (uint64_t)i + 1;
      kq_sched_event (sched, now, &event);
    }
  while (kq_sched_next_effect (sched, &effect))
    {
      gone += effect.u.result.status == STATUS_GONE && effect.after > 0;
      refused += effect.u.result.status == STATUS_UNAVAILABLE;
    }
  CU_ASSERT (refused > 0);
  CU_ASSERT_EQUAL (gone + refused, MANY_IDS);
  kq_sched_count (sched, &counts);
  CU_ASSERT_EQUAL (counts.tombstones, gone);
  stored = kq_sched_encode_records (sched, 1 << 20, &records, &position);
  CU_ASSERT (stored >= gone && stored <= MAX_STORED);
  for (int i = 0; i < stored; i++)
    free (records[i].value);
  free (records);
  kq_sched_destroy (sched);
}

static const struct kq_test tests[] = {
  { "the owner that answered", test_same_owner },
  { "the next owner", test_next_owner },
  { "the answer waits for the store", test_answer_waits_for_store },
  { "a copy of an expired job", test_copy_of_expired_job },
  { "for how long", test_retention },
  { "odd records", test_odd_records },
  { "many IDs", test_many_ids },
};

KQ_TEST_MAIN ("test-late-submission", tests)

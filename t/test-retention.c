/* Guards against an ended job that is forgotten early, and is accepted as new
 * when its caller submits it again: the wall clocks of hosts differ, and may
 * be set by minutes.
 */
#include <stdlib.h>
#include <string.h>

#include "base/err.h"
#include "sched/record.pb-c.h"
#include "t/kqtest.h"
#include "t/lib-sched.h"

#define JOB UINT64_C (0x11)
#define STATUS_OK 200

/* How far the clocks of two hosts are apart, or one is set. */
#define APART_MS 300000

/* An ended job is remembered for that long at least, and not for much
   longer. */
#define RETENTION_MS 240000
#define EXTRA_MS 15000

/* Owners that follow each other: more than a successor knows the terms of. */
#define OWNERS 12
#define OWNED_MS 25000

static const struct kq_sched_step step
    = { .count = 1, .demand = { 1000, 100, 0 }, .est_ms = 600 };

/* A cell with one worker whose only job has just ended. */
static struct ts_cell *
end_job (void)
{
  struct ts_cell *cell = ts_create ();
  struct ts_order start;

  ts_add_idle_worker (cell, "a", 4000);
  ts_submit (cell, JOB, "batch", &step, 1);
  ts_advance (cell, 20);
  start = *ts_last_order (cell, KQ_SCHED_FX_START, JOB, 0, 0);
  ts_reply_order (cell, &start, KQ_SCHED_OK);
  ts_end_run (cell, JOB, 1, KQ_SCHED_DONE);
  ts_advance (cell, 200);
  return cell;
}

static bool
is_known (struct ts_cell *cell)
{
  const struct ts_result *result = ts_result_of (cell, ts_query (cell, JOB));

  CU_ASSERT_PTR_NOT_NULL (result);
  return result != NULL && result->status == STATUS_OK
         && result->state == KQ_SCHED_COMPLETE;
}

/* Sets the wall clock ahead, or lets a host with such a clock take over. */
static void
set_clock (struct ts_cell *cell, int64_t ahead_ms)
{
  cell->now.wall_ms += ahead_ms;
}

static void
take_over (struct ts_cell *cell, int64_t ahead_ms)
{
  set_clock (cell, ahead_ms);
  ts_take_over (cell);
}

/* The caller of the job that has just ended submits it again. */
static void
check_repeat_is_known (struct ts_cell *cell)
{
  ts_add_idle_worker (cell, "a", 4000);
  ts_advance (cell, 300);
  ts_add_idle_worker (cell, "a", 4000);
  ts_submit (cell, JOB, "batch", &step, 1);
  ts_advance (cell, 300);
  CU_ASSERT_EQUAL (ts_count_orders (cell, KQ_SCHED_FX_START), 1);
  CU_ASSERT (is_known (cell));
}

/* The job that has just ended is remembered as long as it should be. */
static void
check_retention (struct ts_cell *cell)
{
  ts_advance (cell, RETENTION_MS - 1000);
  CU_ASSERT (is_known (cell));
  ts_advance (cell, EXTRA_MS);
  CU_ASSERT (!is_known (cell));
}

static void
test_takeover (void)
{
  static const int64_t clocks[] = { 0, APART_MS, -APART_MS };

  for (size_t i = 0; i < sizeof clocks / sizeof clocks[0]; i++)
    {
      struct ts_cell *cell = end_job ();

      take_over (cell, clocks[i]);
      check_repeat_is_known (cell);
      check_retention (cell);
      ts_destroy (cell);
    }
}

static void
test_step_within_term (void)
{
  static const int64_t clocks[] = { 0, APART_MS, -APART_MS };

  for (size_t i = 0; i < sizeof clocks / sizeof clocks[0]; i++)
    {
      struct ts_cell *cell = end_job ();

      set_clock (cell, clocks[i]);
      check_repeat_is_known (cell);
      check_retention (cell);
      ts_destroy (cell);
    }
}

/* The clock is set back and ahead while the job is remembered. */
static void
test_steps_to_and_fro (void)
{
  struct ts_cell *cell = end_job ();

  for (int i = 0; i < 6; i++)
    {
      set_clock (cell, i % 2 == 0 ? -APART_MS : 2 * APART_MS);
      ts_advance (cell, 1000);
      CU_ASSERT (is_known (cell));
    }
  ts_advance (cell, RETENTION_MS + EXTRA_MS);
  CU_ASSERT (!is_known (cell));
  ts_destroy (cell);
}

/* Each owner's clock is off by its own amount. */
static int64_t
owner_clock (int number)
{
  return number % 3 == 0 ? APART_MS : -APART_MS / 2;
}

static void
check_many_owners (struct ts_cell *cell)
{
  kq_usec ended_at = cell->now.mono;

  for (int i = 0; i < OWNERS; i++)
    {
      take_over (cell, owner_clock (i));
      for (int at = 0; at < OWNED_MS; at += 1000)
        {
          ts_advance (cell, 1000);
          if (cell->now.mono - ended_at
              < (RETENTION_MS - 1000) * KQ_USEC_PER_MSEC)
            CU_ASSERT (is_known (cell));
        }
    }
  CU_ASSERT (!is_known (cell));
}

static void
test_many_owners (void)
{
  struct ts_cell *cell = end_job ();

  check_many_owners (cell);
  ts_destroy (cell);
}

/* After many short terms the retention goes on. */
static void
test_many_short_terms (void)
{
  struct ts_cell *cell = end_job ();

  for (int i = 0; i < OWNERS; i++)
    {
      take_over (cell, owner_clock (i));
      ts_advance (cell, 1000);
      CU_ASSERT (is_known (cell));
    }
  ts_advance (cell, RETENTION_MS + EXTRA_MS);
  CU_ASSERT (!is_known (cell));
  ts_destroy (cell);
}

/* Rewrites RECORD of a job's state as earlier versions do. */
static void
write_earlier_state (const struct ts_cell *cell,
                     struct kq_sched_record *record)
{
  KqSched__StateRecord message = KQ_SCHED__STATE_RECORD__INIT;

  message.outcome = KQ_SCHED_COMPLETE;
  message.ended_ms = cell->now.wall_ms;
  message.started = true;
  free (record->value);
  record->size = kq_sched__state_record__get_packed_size (&message);
  record->value = malloc (record->size);
  if (record->value == NULL)
    abort ();
  kq_sched__state_record__pack (&message, record->value);
}

/* Leaves only what earlier versions store. */
static struct ts_cell *
end_job_in_earlier_version (void)
{
  struct ts_cell *cell = end_job ();

  for (int i = 0; i < cell->record_count; i++)
    if (cell->records[i].key[0] == 's')
      write_earlier_state (cell, &cell->records[i]);
    else if (strchr ("jtgp", cell->records[i].key[0]) == NULL)
      cell->records[i].size = 0;
  return cell;
}

static void
test_earlier_version (void)
{
  static const int64_t clocks[] = { 0, APART_MS, -APART_MS };

  for (size_t i = 0; i < sizeof clocks / sizeof clocks[0]; i++)
    {
      struct ts_cell *cell = end_job_in_earlier_version ();

      take_over (cell, clocks[i]);
      check_repeat_is_known (cell);
      check_retention (cell);
      ts_destroy (cell);
    }
}

static void
test_earlier_version_many_owners (void)
{
  struct ts_cell *cell = end_job_in_earlier_version ();

  check_many_owners (cell);
  ts_destroy (cell);
}

/* The age of the cell is lost, so that the job seems to end later. */
static void
test_lost_age (void)
{
  struct ts_cell *cell = end_job ();

  for (int i = 0; i < cell->record_count; i++)
    if (strcmp (cell->records[i].key, KQ_SCHED_AGE_KEY) == 0)
      cell->records[i].size = 0;
  take_over (cell, 0);
  check_repeat_is_known (cell);
  check_retention (cell);
  ts_destroy (cell);
}

static int
restore_age (struct ts_cell *cell, int64_t age_ms)
{
  KqSched__AgeRecord message = KQ_SCHED__AGE_RECORD__INIT;
  uint8_t value[16];

  message.age_ms = age_ms;
  CU_ASSERT_FATAL (kq_sched__age_record__get_packed_size (&message)
                   <= sizeof value);
  return kq_sched_restore_age (cell->sched, value,
                               kq_sched__age_record__pack (&message, value));
}

static void
test_malformed_age (void)
{
  struct ts_cell *cell = ts_create ();

  CU_ASSERT_EQUAL (restore_age (cell, 1), 0);
  CU_ASSERT_EQUAL (restore_age (cell, 0), KQ_ESYNTAX);
  CU_ASSERT_EQUAL (restore_age (cell, -1), KQ_ESYNTAX);
  CU_ASSERT_EQUAL (restore_age (cell, INT64_MAX), KQ_ESYNTAX);
  CU_ASSERT_EQUAL (
      kq_sched_restore_age (cell->sched, (const uint8_t *)"\xff", 1),
      KQ_ESYNTAX);
  ts_destroy (cell);
}

static const struct kq_test tests[] = {
  { "a takeover by a host with another clock", test_takeover },
  { "a clock that is set within a term", test_step_within_term },
  { "a clock that is set again and again", test_steps_to_and_fro },
  { "many owners", test_many_owners },
  { "many short terms", test_many_short_terms },
  { "records of an earlier version", test_earlier_version },
  { "such records and many owners", test_earlier_version_many_owners },
  { "a lost age of the cell", test_lost_age },
  { "a malformed age of the cell", test_malformed_age },
};

KQ_TEST_MAIN ("test-retention", tests)

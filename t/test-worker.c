/* Tests of the capacity, attempts and health of a worker.  They guard against
   admitting more than the capacity, and against quarantining a worker for the
   failures of a single task.  */

#include <stdlib.h>
#include <string.h>

#include "base/err.h"
#include "t/kqtest.h"
#include "worker/worker.h"

static struct kq_worker *
new_worker (void)
{
  static const struct kq_name name = { "w0" };
  static const struct kq_worker_table table
      = { .capacity = { 4000, 8000, 1 }, .slots = 8 };
  struct kq_worker *worker = kq_worker_create (&name);

  kq_worker_update_table (worker, &table);
  return worker;
}

static struct kq_attempt_row
row_of (int number, enum kq_attempt_state state, int cpu)
{
  struct kq_attempt_row row = { .attempt = number, .state = state };

  strcpy (row.task.job.text, "j");
  row.task.index = number;
  row.size.cpu_milli = cpu;
  row.size.memory_mb = 100;
  return row;
}

/* A start that is not replied to yet uses capacity; an ended attempt that is
   not acknowledged yet does not.  */
static void
test_capacity (void)
{
  static const struct
  {
    enum kq_attempt_state state; /* of a reported attempt of 2000 milli */
    bool pending;                /* plus a pending attempt of 1500 milli */
    int cpu;
    int err;
  } cases[] = {
    { KQ_ATTEMPT_RUNNING, false, 2000, 0 },
    { KQ_ATTEMPT_RUNNING, false, 2001, KQ_EWORKER_FULL },
    { KQ_ATTEMPT_CHECKPOINTING, false, 2001, KQ_EWORKER_FULL },
    { KQ_ATTEMPT_RUNNING, true, 500, 0 },
    { KQ_ATTEMPT_RUNNING, true, 501, KQ_EWORKER_FULL },
    { KQ_ATTEMPT_EVICTED, true, 2500, 0 },
    { KQ_ATTEMPT_DONE, false, 4000, 0 },
    { KQ_ATTEMPT_FAILED, false, 4001, KQ_EWORKER_FULL },
  };

  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      struct kq_worker *worker = new_worker ();
      struct kq_attempt_row row = row_of (1, cases[i].state, 2000);
      struct kq_resources size = { cases[i].cpu, 0, 0 };

      kq_worker_apply_row (worker, &row);
      row = row_of (2, KQ_ATTEMPT_RUNNING, 1500);
      if (cases[i].pending)
        kq_worker_admit (worker, &row, 1);
      CU_ASSERT_EQUAL (kq_worker_check_start (worker, &size, 1), cases[i].err);
      kq_worker_destroy (worker);
    }
}

static void
test_leaving (void)
{
  struct kq_worker *worker = new_worker ();
  struct kq_resources size = { 1, 1, 0 };

  kq_worker_set_leaving (worker, true);
  CU_ASSERT_EQUAL (kq_worker_check_start (worker, &size, 1),
                   KQ_EWORKER_LEAVING);
  kq_worker_set_leaving (worker, false);
  CU_ASSERT_EQUAL (kq_worker_check_start (worker, &size, 1), 0);
  kq_worker_destroy (worker);
}

/* Distinct failed tasks are counted, not failures; a success resets the
   count.  */
static void
test_quarantine (void)
{
  static const struct
  {
    const char *ends; /* one letter for the task of each failure, '+' for a
                         success */
    bool quarantined;
  } cases[] = { { "aaaaaaa", false }, { "ab", false },   { "abab", false },
                { "abc", true },      { "ab+c", false }, { "ab+cd", false },
                { "a+bcd", true },    { "abcaaa", true } };

  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      struct kq_worker *worker = new_worker ();
      struct kq_resources size = { 1, 1, 0 };

      for (const char *end = cases[i].ends; *end != '\0'; end++)
        {
          struct kq_task_id task = { .index = *end };

          kq_worker_record_end (worker, &task, *end != '+', 1);
          CU_ASSERT_EQUAL (kq_worker_last_succeeded (worker), *end == '+');
        }
      CU_ASSERT_EQUAL (kq_worker_is_quarantined (worker, 2),
                       cases[i].quarantined);
      CU_ASSERT_EQUAL (kq_worker_check_start (worker, &size, 2),
                       cases[i].quarantined ? KQ_EWORKER_QUARANTINED : 0);
      CU_ASSERT_FALSE (
          kq_worker_is_quarantined (worker, 2 + KQ_WORKER_QUARANTINE_US));
      kq_worker_destroy (worker);
    }
}

static void
test_rows_are_found_and_removed (void)
{
  struct kq_worker *worker = new_worker ();
  struct kq_attempt_row row = row_of (1, KQ_ATTEMPT_RUNNING, 100);
  struct kq_attempt *attempt = kq_worker_admit (worker, &row, 5);

  CU_ASSERT_EQUAL (attempt->phase, KQ_PHASE_PENDING);
  CU_ASSERT_EQUAL (attempt->started_at, 5);
  CU_ASSERT_PTR_EQUAL (kq_worker_apply_row (worker, &row), attempt);
  CU_ASSERT_EQUAL (attempt->phase, KQ_PHASE_LIVE);
  row.state = KQ_ATTEMPT_EVICTED;
  kq_worker_apply_row (worker, &row);
  CU_ASSERT_EQUAL (attempt->phase, KQ_PHASE_ENDED);
  kq_worker_remove_attempt (attempt);
  CU_ASSERT_PTR_NULL (kq_worker_find_attempt (worker, &row));
  kq_worker_destroy (worker);
}

static const struct kq_test tests[]
    = { { "capacity", test_capacity },
        { "leaving", test_leaving },
        { "quarantine", test_quarantine },
        { "rows are found and removed", test_rows_are_found_and_removed } };

KQ_TEST_MAIN ("worker", tests)

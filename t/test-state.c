/* Guards against a state that outgrows the store's record: the store refuses
 * it for ever, so that no job of the cell is stored, started or accepted any
 * more; and against tasks that are lost or run again because their state is
 * stored in parts.
 */
#include <stdlib.h>
#include <string.h>

#include "t/kqtest.h"
#include "t/lib-sched.h"

#define JOB UINT64_C (0x51)

#define TASKS 100
#define ENDED 40
#define LIMIT 4096

/* As long as IDs may be. */
static const char worker[]
    = "worker-123456789-123456789-123456789-123456789-123456789-123456";

static const struct kq_sched_step wide
    = { .count = TASKS, .demand = { 10, 1, 0 }, .est_ms = 1000 };

/* Registers the worker with a new owner, and lists the runs of JOB from index
   FROM on. */
static void
join_worker (struct ts_cell *cell, int from)
{
  struct kq_sched_running running[TASKS];
  int count = 0;

  ts_register_worker (cell, worker, 16000, 16000);
  for (int i = from; i < TASKS; i++)
    {
      const struct ts_order *order
          = ts_last_order (cell, KQ_SCHED_FX_START, JOB, 0, i);

      if (order != NULL)
        running[count++] = ts_running (order, 50);
    }
  ts_reply_poll (cell, worker, running, (size_t)count, NULL, 0);
  ts_advance (cell, 1000);
}

/* Starts a cell whose store takes values of LIMIT bytes, and all tasks of
   JOB. */
static struct ts_cell *
start_cell (size_t limit)
{
  struct ts_cell *cell = ts_create ();

  cell->max_record_bytes = limit;
  join_worker (cell, TASKS);
  ts_submit (cell, JOB, "urgent", &wide, 1);
  CU_ASSERT_EQUAL (ts_count_orders (cell, KQ_SCHED_FX_START), TASKS);
  for (int i = 0; i < TASKS; i++)
    ts_reply_order (cell, ts_last_order (cell, KQ_SCHED_FX_START, JOB, 0, i),
                    KQ_SCHED_OK);
  return cell;
}

/* The runs of the tasks FROM to TO - 1 end. */
static void
end_tasks (struct ts_cell *cell, int from, int to)
{
  struct kq_sched_running running[TASKS];
  struct kq_sched_ended ended[TASKS];
  size_t running_count = 0;
  size_t ended_count = 0;

  for (int i = from; i < TASKS; i++)
    {
      const struct ts_order *order
          = ts_last_order (cell, KQ_SCHED_FX_START, JOB, 0, i);

      if (i < to)
        ended[ended_count++] = ts_ended (order, i + 1, KQ_SCHED_DONE);
      else
        running[running_count++] = ts_running (order, 50);
    }
  ts_reply_poll (cell, worker, running, running_count, ended, ended_count);
}

/* Returns the number of stored records of KIND. */
static int
count_records (const struct ts_cell *cell, char kind)
{
  int count = 0;

  for (int i = 0; i < cell->record_count; i++)
    count += cell->records[i].key[0] == kind && cell->records[i].size > 0;
  return count;
}

static size_t
largest_record (const struct ts_cell *cell)
{
  size_t largest = 0;

  for (int i = 0; i < cell->record_count; i++)
    if (cell->records[i].size > largest)
      largest = cell->records[i].size;
  return largest;
}

static int
count_bound (const struct ts_cell *cell)
{
  struct kq_sched_counts counts;

  kq_sched_count (cell->sched, &counts);
  return counts.bound_tasks;
}

static void
expect_completion (struct ts_cell *cell, int from)
{
  uint64_t query;

  end_tasks (cell, from, TASKS);
  ts_advance (cell, 200);
  query = ts_query (cell, JOB);
  CU_ASSERT_EQUAL (ts_result_of (cell, query)->state, KQ_SCHED_COMPLETE);
  CU_ASSERT_EQUAL (ts_count_orders (cell, KQ_SCHED_FX_START), TASKS);
}

static void
test_size (void)
{
  struct ts_cell *cell = start_cell (LIMIT);

  CU_ASSERT (largest_record (cell) <= LIMIT);
  CU_ASSERT_EQUAL (count_records (cell, 's'), 1);
  CU_ASSERT (count_records (cell, KQ_SCHED_PART_KEY) > 1);
  expect_completion (cell, 0);
  /* The state of a complete job names no tasks. */
  CU_ASSERT_EQUAL (count_records (cell, KQ_SCHED_PART_KEY), 0);
  ts_destroy (cell);
}

static void
test_takeover (void)
{
  struct ts_cell *cell = start_cell (LIMIT);

  end_tasks (cell, 0, ENDED);
  ts_take_over (cell);
  CU_ASSERT_EQUAL (count_bound (cell), TASKS - ENDED);
  join_worker (cell, ENDED);
  CU_ASSERT_EQUAL (ts_count_orders (cell, KQ_SCHED_FX_START), TASKS);
  expect_completion (cell, ENDED);
  CU_ASSERT_EQUAL (count_records (cell, KQ_SCHED_PART_KEY), 0);
  ts_destroy (cell);
}

/* Takes over with the limit NEXT after an owner with the limit FIRST. */
static void
change_limit (size_t first, size_t next)
{
  struct ts_cell *cell = start_cell (first);

  for (int i = 0; i < 2; i++)
    {
      ts_take_over (cell);
      cell->max_record_bytes = next;
      CU_ASSERT_EQUAL (count_bound (cell), TASKS - i * ENDED);
      join_worker (cell, i * ENDED);
      end_tasks (cell, i * ENDED, (i + 1) * ENDED);
      CU_ASSERT (largest_record (cell) <= next);
    }
  expect_completion (cell, 2 * ENDED);
  CU_ASSERT_EQUAL (count_records (cell, KQ_SCHED_PART_KEY), 0);
  ts_destroy (cell);
}

/* The state that earlier versions have stored is one record. */
static void
test_other_limit (void)
{
  change_limit (1 << 20, LIMIT);
  change_limit (LIMIT, 1 << 20);
}

static void
test_unchanged_parts (void)
{
  struct ts_cell *cell = start_cell (LIMIT);
  struct kq_sched_record *records = NULL;
  uint64_t position;
  int parts = 0;
  int count;

  cell->store_down = true;
  end_tasks (cell, TASKS / 2, TASKS / 2 + 1);
  count = kq_sched_encode_records (cell->sched, LIMIT, &records, &position);
  for (int i = 0; i < count; i++)
    {
      parts += records[i].key[0] == KQ_SCHED_PART_KEY;
      free (records[i].value);
    }
  free (records);
  CU_ASSERT_EQUAL (parts, 1);
  ts_destroy (cell);
}

static void
test_keys (void)
{
  static const char *const malformed[] = { "",
                                           "t",
                                           "s0000000000000051",
                                           "t0000000000000051",
                                           "t0000000000000051.",
                                           "t0000000000000051.00000",
                                           "t0000000000000051.1",
                                           "t0000000000000051.000001",
                                           "t000000000000051.00001",
                                           "t000000000000005g.00001",
                                           "t0000000000000051.0000g",
                                           "t 000000000000051.00001",
                                           "t0000000000000051.-0001" };
  uint64_t job;
  int part;

  CU_ASSERT (kq_sched_part_key_read ("t0000000000000051.0001a", &job, &part));
  CU_ASSERT_EQUAL (job, JOB);
  CU_ASSERT_EQUAL (part, 26);
  for (size_t i = 0; i < sizeof malformed / sizeof malformed[0]; i++)
    CU_ASSERT_FALSE (kq_sched_part_key_read (malformed[i], &job, &part));
}

static const struct kq_test tests[] = {
  { "no record exceeds the limit", test_size },
  { "a later owner restores all parts", test_takeover },
  { "the limit changes between owners", test_other_limit },
  { "unchanged parts are not written", test_unchanged_parts },
  { "keys of parts", test_keys },
};

KQ_TEST_MAIN ("test-state", tests)

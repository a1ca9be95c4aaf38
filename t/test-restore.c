/* Guards against records that end each owner that restores them: fields out of
 * range, a task that is listed twice, and counts that no owner writes.
 */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>

#include "sched/record.pb-c.h"
#include "t/kqtest.h"
#include "t/lib-sched.h"

#define JOB UINT64_C (0x21)
#define MAX_ROWS 8

static const struct kq_sched_step two_tasks
    = { .count = 2, .demand = { 1000, 100, 0 }, .est_ms = 1000 };

static KqSched__TaskRecord
bound_row (uint32_t occurrence, uint32_t step, uint32_t index)
{
  KqSched__TaskRecord row = KQ_SCHED__TASK_RECORD__INIT;

  row.occurrence = occurrence;
  row.step = step;
  row.index = index;
  row.run = 1;
  row.bound = true;
  row.worker = (char *)"0";
  return row;
}

/* Stores STATE as the only state of JOB. */
static void
put_state (struct ts_cell *cell, const KqSched__StateRecord *state)
{
  struct kq_sched_record *record = &cell->records[cell->record_count++];

  for (int i = 0; i < cell->record_count; i++)
    if (cell->records[i].key[0] == 's')
      cell->records[i].key[0] = '-';
  snprintf (record->key, sizeof record->key, "s%016" PRIx64, JOB);
  record->size = kq_sched__state_record__get_packed_size (state);
  record->value = malloc (record->size + 1);
  if (record->value == NULL)
    abort ();
  kq_sched__state_record__pack (state, record->value);
}

/* Restores a job whose state has ROWS and OUTCOME, and lets its worker crash;
   the scheduler's invariants must hold all along. */
static void
restore (KqSched__TaskRecord *rows, size_t count, uint32_t outcome)
{
  struct ts_cell *cell = ts_create ();
  KqSched__StateRecord state = KQ_SCHED__STATE_RECORD__INIT;
  KqSched__TaskRecord *pointers[MAX_ROWS];

  ts_submit (cell, JOB, "urgent", &two_tasks, 2);
  ts_process_pending (cell);
  state.outcome = outcome;
  state.n_tasks = count;
  state.tasks = pointers;
  for (size_t i = 0; i < count; i++)
    pointers[i] = &rows[i];
  put_state (cell, &state);
  ts_take_over (cell);
  kq_sched_assert (cell->sched);
  ts_register_worker (cell, "0", 8000, 8000);
  ts_register_worker (cell, "1", 8000, 8000);
  ts_reply_poll (cell, "1", NULL, 0, NULL, 0);
  ts_advance (cell, 1000);
  kq_sched_assert (cell->sched);
  ts_refuse_poll (cell, "0", cell->now.mono, KQ_SCHED_OTHER_INCARNATION);
  kq_sched_assert (cell->sched);
  ts_advance (cell, 20000);
  kq_sched_assert (cell->sched);
  ts_destroy (cell);
}

static void
test_task_listed_twice (void)
{
  KqSched__TaskRecord rows[]
      = { bound_row (0, 0, 0), bound_row (0, 0, 0), bound_row (0, 0, 1) };

  restore (rows, 3, 0);
}

static void
test_done_task_listed_twice (void)
{
  KqSched__TaskRecord rows[]
      = { bound_row (0, 0, 0), bound_row (0, 0, 0), bound_row (0, 0, 0) };

  rows[1].done = true;
  rows[2].done = true;
  restore (rows, 3, 0);
}

static void
test_fields_out_of_range (void)
{
  KqSched__TaskRecord rows[]
      = { bound_row (UINT32_MAX, 0, 0), bound_row (0, UINT32_MAX, 0),
          bound_row (0, 0, UINT32_MAX), bound_row (0, 0, 2),
          bound_row (0, 0, 0),          bound_row (0, 0, 1) };

  rows[4].run = UINT32_MAX;
  rows[4].crashes = UINT32_MAX;
  rows[5].run = INT32_MAX;
  rows[5].crashes = 2000;
  rows[5].unproven_crashes = INT32_MAX;
  rows[3].sent_age_ms = INT64_MIN;
  rows[5].sent_term = 1;
  rows[5].sent_age_ms = INT64_MAX;
  rows[5].born_ms = INT64_MAX;
  restore (rows, 6, 0);
}

static void
test_unknown_outcome (void)
{
  KqSched__TaskRecord rows[] = { bound_row (0, 0, 0) };

  restore (rows, 1, UINT32_MAX);
  restore (rows, 1, 77);
}

static const struct kq_test tests[] = {
  { "task listed twice", test_task_listed_twice },
  { "done task listed twice", test_done_task_listed_twice },
  { "fields out of range", test_fields_out_of_range },
  { "unknown outcome", test_unknown_outcome },
};

KQ_TEST_MAIN ("test-restore", tests)

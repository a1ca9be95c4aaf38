/* Guards against members of a gang that are started again with different
   checkpoints, or with an older one than a member has reached. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "sched/record.pb-c.h"
#include "t/kqtest.h"
#include "t/lib-sched.h"

#define JOB UINT64_C (0x21)
#define MEMBERS 3

static const struct kq_sched_step gang = { .count = MEMBERS,
                                           .demand = { 3000, 100, 0 },
                                           .est_ms = 9000,
                                           .gang = true,
                                           .checkpointable = true };

static const struct ts_order *
start_of (const struct ts_cell *cell, int member)
{
  return ts_last_order (cell, KQ_SCHED_FX_START, JOB, 0, member);
}

static const char *const workers[MEMBERS + 1] = { "0", "1", "2", "3" };

/* Replaces the owner; the workers run nothing any more. */
static void
take_over (struct ts_cell *cell)
{
  ts_take_over (cell);
  for (int i = 0; i <= MEMBERS; i++)
    ts_register_worker (cell, workers[i], 4000, 4000);
  ts_advance (cell, 100);
  for (int i = 0; i <= MEMBERS; i++)
    ts_reply_poll (cell, workers[i], NULL, 0, NULL, 0);
}

/* Starts a gang, each member at a worker of its own; the fourth worker is
   free. */
static struct ts_cell *
start_gang (void)
{
  struct ts_cell *cell = ts_create ();

  for (int i = 0; i <= MEMBERS; i++)
    ts_add_idle_worker (cell, workers[i], 4000);
  ts_submit (cell, JOB, "urgent", &gang, 1);
  ts_process_pending (cell);
  ts_advance (cell, 100);
  for (int i = 0; i < MEMBERS; i++)
    {
      CU_ASSERT_PTR_NOT_NULL_FATAL (start_of (cell, i));
      ts_reply_order (cell, start_of (cell, i), KQ_SCHED_OK);
    }
  ts_advance (cell, 100);
  return cell;
}

/* The worker of MEMBER lists that it runs, with PERCENT and CHECKPOINT. */
static void
list_running (struct ts_cell *cell, int member, int percent,
              const char *checkpoint)
{
  struct kq_sched_running row = ts_running (start_of (cell, member), percent);

  row.checkpoint = checkpoint;
  ts_reply_poll (cell, start_of (cell, member)->worker, &row, 1, NULL, 0);
}

/* The worker of MEMBER lists that its run has ended HOW. */
static void
list_end (struct ts_cell *cell, int member, enum kq_sched_end how,
          const char *checkpoint)
{
  struct kq_sched_ended row = ts_ended (start_of (cell, member), 1, how);

  row.checkpoint = checkpoint;
  ts_reply_poll (cell, start_of (cell, member)->worker, NULL, 0, &row, 1);
}

static void
check_restart (struct ts_cell *cell, int run, const char *checkpoint)
{
  ts_advance (cell, 3000);
  for (int i = 0; i < MEMBERS; i++)
    {
      CU_ASSERT_EQUAL (start_of (cell, i)->run.run, run);
      CU_ASSERT_STRING_EQUAL (start_of (cell, i)->checkpoint, checkpoint);
    }
}

/* A member's worker crashes; each of the others had a value of its own. */
static void
test_worker_crashes (void)
{
  struct ts_cell *cell = start_gang ();
  char crashed[KQ_SCHED_NAME_SIZE];

  list_running (cell, 0, 40, "c0");
  list_running (cell, 1, 42, "c1");
  list_running (cell, 2, 39, "c2");
  snprintf (crashed, sizeof crashed, "%s", start_of (cell, 1)->worker);
  ts_lose_worker (cell, crashed);
  list_end (cell, 0, KQ_SCHED_GANG_BROKEN, "c0");
  list_end (cell, 2, KQ_SCHED_GANG_BROKEN, "c2");
  check_restart (cell, 2, "c1");
  kq_sched_assert (cell->sched);
  ts_destroy (cell);
}

/* A stop produces a new value at each member: the last one read is the
   newest of equal progress. */
static void
test_value_of_an_end (void)
{
  struct ts_cell *cell = start_gang ();

  list_running (cell, 0, 40, "c0");
  list_running (cell, 1, 40, "c1");
  list_running (cell, 2, 20, "c2");
  list_end (cell, 0, KQ_SCHED_FAILED, "e0");
  list_end (cell, 1, KQ_SCHED_GANG_BROKEN, "e1");
  list_end (cell, 2, KQ_SCHED_GANG_BROKEN, "e2");
  check_restart (cell, 2, "e1");
  kq_sched_assert (cell->sched);
  ts_destroy (cell);
}

/* A value that a later run has reached is newer, whatever its progress. */
static void
test_later_run (void)
{
  struct ts_cell *cell = start_gang ();

  list_running (cell, 0, 70, "c0");
  list_end (cell, 0, KQ_SCHED_FAILED, "c0");
  list_end (cell, 1, KQ_SCHED_GANG_BROKEN, "");
  list_end (cell, 2, KQ_SCHED_GANG_BROKEN, "");
  check_restart (cell, 2, "c0");
  for (int i = 0; i < MEMBERS; i++)
    ts_reply_order (cell, start_of (cell, i), KQ_SCHED_OK);
  ts_advance (cell, 100);
  list_running (cell, 2, 60, "d2");
  for (int i = 0; i < MEMBERS; i++)
    {
      struct kq_sched_ended row
          = ts_ended (start_of (cell, i), 2, KQ_SCHED_GANG_BROKEN);

      ts_reply_poll (cell, start_of (cell, i)->worker, NULL, 0, &row, 1);
    }
  check_restart (cell, 3, "d2");
  kq_sched_assert (cell->sched);
  ts_destroy (cell);
}

/* Stores CHECKPOINTS as those of the members. */
static void
store_checkpoints (struct ts_cell *cell, const char *const *checkpoints)
{
  struct kq_sched_record *record = cell->records;
  KqSched__StateRecord *state;
  char *stored[MEMBERS];

  while (record->key[0] != 's')
    record++;
  state = kq_sched__state_record__unpack (NULL, record->size, record->value);
  CU_ASSERT_EQUAL_FATAL (state->n_tasks, MEMBERS);
  for (size_t i = 0; i < MEMBERS; i++)
    {
      stored[i] = state->tasks[i]->checkpoint;
      state->tasks[i]->checkpoint = (char *)checkpoints[i];
    }
  record->size = kq_sched__state_record__get_packed_size (state);
  free (record->value);
  record->value = malloc (record->size);
  kq_sched__state_record__pack (state, record->value);
  for (size_t i = 0; i < MEMBERS; i++)
    state->tasks[i]->checkpoint = stored[i];
  kq_sched__state_record__free_unpacked (state, NULL);
}

/* An owner finds different values in the records: not all were written, or an
   earlier version has written them. */
static void
test_different_records (void)
{
  static const char *const checkpoints[] = { "", "c1", "c2" };
  struct ts_cell *cell = start_gang ();

  store_checkpoints (cell, checkpoints);
  take_over (cell);
  check_restart (cell, 2, "c1");
  kq_sched_assert (cell->sched);
  ts_destroy (cell);
}

/* What the members have reached is stored for the next owner. */
static void
test_takeover (void)
{
  struct ts_cell *cell = start_gang ();

  list_running (cell, 0, 40, "c0");
  list_running (cell, 1, 42, "c1");
  list_running (cell, 2, 39, "c2");
  list_end (cell, 0, KQ_SCHED_GANG_BROKEN, "c0");
  ts_advance (cell, 100);
  take_over (cell);
  check_restart (cell, 2, "c1");
  kq_sched_assert (cell->sched);
  ts_destroy (cell);
}

static const struct kq_test tests[] = {
  { "a member's worker crashes", test_worker_crashes },
  { "the values of ended runs", test_value_of_an_end },
  { "a value of a later run", test_later_run },
  { "members with different records", test_different_records },
  { "the value is kept in a takeover", test_takeover },
};

KQ_TEST_MAIN ("test-gang", tests)

/* Guards against a task that resumes with another checkpoint than the one that
 * its worker returned: cut, of another task, or lost with its owner.
 */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/err.h"
#include "sched/record.pb-c.h"
#include "t/kqtest.h"
#include "t/lib-sched.h"

#define JOB UINT64_C (0x91)
#define MEMBERS 3

/* The store's limit of a record on the users' platform, and a small one. */
#define RECORD_BYTES 262144
#define SMALL_RECORD_BYTES 2048

/* Longer than any checkpoint that is kept, and much of them in sum. */
#define TOO_LONG ((size_t)70 * 1024)
#define LARGE ((size_t)60 * 1024)
#define MANY_TASKS 400
#define MAX_SUM INT64_C (16777216)

static const struct kq_sched_step step = { .count = 1,
                                           .demand = { 1000, 100, 0 },
                                           .est_ms = 9000,
                                           .checkpointable = true };

/* Returns a text of SIZE bytes that differs from others in its last byte;
   the caller frees it. */
static char *
make_text (size_t size, char last)
{
  char *text = malloc (size + 1);

  memset (text, 'c', size);
  if (size > 0)
    text[size - 1] = last;
  text[size] = '\0';
  return text;
}

static const struct ts_order *
start_of (const struct ts_cell *cell, int index)
{
  return ts_last_order (cell, KQ_SCHED_FX_START, JOB, 0, index);
}

static void
accept (struct ts_cell *cell, int count)
{
  for (int i = 0; i < count; i++)
    ts_reply_order (cell, start_of (cell, i), KQ_SCHED_OK);
  ts_advance (cell, 100);
}

static struct ts_cell *
start_job (const struct kq_sched_step *kind)
{
  struct ts_cell *cell = ts_create ();

  cell->max_record_bytes = RECORD_BYTES;
  ts_add_idle_worker (cell, "a", 100000);
  ts_submit (cell, JOB, "batch", kind, 1);
  ts_advance (cell, 20);
  accept (cell, kind->count);
  return cell;
}

/* The worker lists that all COUNT tasks run, task INDEX with CHECKPOINT. */
static void
list (struct ts_cell *cell, int count, int index, int percent,
      const char *checkpoint)
{
  struct kq_sched_running *rows = calloc ((size_t)count, sizeof *rows);

  for (int i = 0; i < count; i++)
    rows[i] = ts_running (start_of (cell, i), percent);
  rows[index].checkpoint = checkpoint;
  ts_reply_poll (cell, "a", rows, (size_t)count, NULL, 0);
  free (rows);
  ts_advance (cell, 100);
}

/* The run of a job with one task ends, and its next one starts. */
static void
interrupt (struct ts_cell *cell, int64_t number, const char *checkpoint)
{
  struct kq_sched_ended end
      = ts_ended (start_of (cell, 0), number, KQ_SCHED_LAPSED);

  end.checkpoint = checkpoint;
  ts_reply_poll (cell, "a", NULL, 0, &end, 1);
  ts_advance (cell, 3000);
}

/* The worker runs nothing as the next owner begins. */
static void
take_over (struct ts_cell *cell)
{
  int run = start_of (cell, 0)->run.run;

  ts_take_over (cell);
  for (int i = 0; i < 20 && start_of (cell, 0)->run.run == run; i++)
    {
      ts_add_idle_worker (cell, "a", 100000);
      ts_advance (cell, 300);
    }
  CU_ASSERT (start_of (cell, 0)->run.run > run);
}

static int
count_records (const struct ts_cell *cell)
{
  int count = 0;

  for (int i = 0; i < cell->record_count; i++)
    count += cell->records[i].key[0] == KQ_SCHED_CHECKPOINT_KEY
             && cell->records[i].size > 0;
  return count;
}

/* Texts of any length are carried unchanged, listed or with an end. */
static void
test_any_length (void)
{
  static const size_t sizes[]
      = { 1, 62, 63, 64, 65, 88, 255, 256, 4000, 5000, 65536 };

  for (size_t i = 0; i < sizeof sizes / sizeof sizes[0]; i++)
    {
      struct ts_cell *cell = start_job (&step);
      char *listed = make_text (sizes[i], 'l');
      char *ended = make_text (sizes[i], 'e');

      list (cell, 1, 0, 40, listed);
      interrupt (cell, 1, "");
      CU_ASSERT_EQUAL (start_of (cell, 0)->run.run, 2);
      CU_ASSERT_STRING_EQUAL (start_of (cell, 0)->checkpoint, listed);
      accept (cell, 1);
      list (cell, 1, 0, 50, listed);
      interrupt (cell, 2, ended);
      CU_ASSERT_EQUAL (start_of (cell, 0)->run.run, 3);
      CU_ASSERT_STRING_EQUAL (start_of (cell, 0)->checkpoint, ended);
      free (listed);
      free (ended);
      ts_destroy (cell);
    }
}

/* A later owner resumes from what the one before it had stored. */
static void
test_next_owner (void)
{
  static const size_t sizes[] = { 63, 64, 4000, 65536 };
  struct ts_cell *cell = start_job (&step);

  for (size_t i = 0; i < sizeof sizes / sizeof sizes[0]; i++)
    {
      char *text = make_text (sizes[i], (char)('0' + i));

      list (cell, 1, 0, 40, text);
      interrupt (cell, (int64_t)i + 1, text);
      take_over (cell);
      CU_ASSERT_STRING_EQUAL (start_of (cell, 0)->checkpoint, text);
      accept (cell, 1);
      free (text);
    }
  ts_destroy (cell);
}

/* A shorter checkpoint replaces a longer one for good, in the store too. */
static void
test_shorter_again (void)
{
  struct ts_cell *cell = start_job (&step);
  char *text = make_text (300, 'x');

  interrupt (cell, 1, text);
  CU_ASSERT_EQUAL (count_records (cell), 1);
  accept (cell, 1);
  interrupt (cell, 2, "short");
  CU_ASSERT_EQUAL (count_records (cell), 0);
  take_over (cell);
  CU_ASSERT_STRING_EQUAL (start_of (cell, 0)->checkpoint, "short");
  free (text);
  ts_destroy (cell);
}

/* The members of a gang get the same one, whose record is stored once. */
static void
test_gang (void)
{
  const struct kq_sched_step gang = { .count = MEMBERS,
                                      .demand = { 1000, 100, 0 },
                                      .est_ms = 9000,
                                      .gang = true,
                                      .checkpointable = true };
  struct ts_cell *cell = start_job (&gang);
  char *first = make_text (4000, '1');
  char *second = make_text (4000, '2');
  struct kq_sched_ended ends[MEMBERS];

  list (cell, MEMBERS, 1, 40, first);
  list (cell, MEMBERS, 2, 50, second);
  for (int i = 0; i < MEMBERS; i++)
    ends[i] = ts_ended (start_of (cell, i), i + 1, KQ_SCHED_GANG_BROKEN);
  ts_reply_poll (cell, "a", NULL, 0, ends, MEMBERS);
  ts_advance (cell, 3000);
  CU_ASSERT_EQUAL (count_records (cell), 1);
  for (int i = 0; i < MEMBERS; i++)
    CU_ASSERT_STRING_EQUAL (start_of (cell, i)->checkpoint, second);
  take_over (cell);
  for (int i = 0; i < MEMBERS; i++)
    CU_ASSERT_STRING_EQUAL (start_of (cell, i)->checkpoint, second);
  free (first);
  free (second);
  ts_destroy (cell);
}

/* What cannot be kept is left out as a whole: the task resumes from the last
   one that could. */
static void
test_too_long (void)
{
  struct ts_cell *cell = start_job (&step);
  char *text = make_text (100, 'x');
  char *too_long = make_text (TOO_LONG, 'x');
  struct kq_sched_counts counts;

  list (cell, 1, 0, 40, text);
  list (cell, 1, 0, 50, too_long);
  interrupt (cell, 1, too_long);
  CU_ASSERT_STRING_EQUAL (start_of (cell, 0)->checkpoint, text);
  kq_sched_count (cell->sched, &counts);
  CU_ASSERT (counts.checkpoints_refused > 0);
  free (text);
  free (too_long);
  ts_destroy (cell);
}

/* A checkpoint that no record can hold does not hold up the others. */
static void
test_record_limit (void)
{
  struct ts_cell *cell = start_job (&step);
  char *text = make_text (100, 'x');
  char *longer = make_text ((size_t)2 * SMALL_RECORD_BYTES, 'x');

  cell->max_record_bytes = SMALL_RECORD_BYTES;
  interrupt (cell, 1, text);
  accept (cell, 1);
  interrupt (cell, 2, longer);
  CU_ASSERT_STRING_EQUAL (start_of (cell, 0)->checkpoint, longer);
  for (int i = 0; i < cell->record_count; i++)
    CU_ASSERT (cell->records[i].size <= SMALL_RECORD_BYTES);
  take_over (cell);
  CU_ASSERT_STRING_EQUAL (start_of (cell, 0)->checkpoint, text);
  free (text);
  free (longer);
  ts_destroy (cell);
}

/* The sum is bounded; each task keeps a whole one, and the records of a job
   that is over are deleted. */
static void
test_sum (void)
{
  const struct kq_sched_step wide = { .count = MANY_TASKS,
                                      .demand = { 10, 1, 0 },
                                      .est_ms = 9000,
                                      .checkpointable = true };
  struct ts_cell *cell = start_job (&wide);
  struct kq_sched_ended *ends = calloc (MANY_TASKS, sizeof *ends);
  char *text = make_text (LARGE, 'x');
  struct kq_sched_counts counts;
  int kept = 0;

  for (int i = 0; i < MANY_TASKS; i++)
    {
      ends[i] = ts_ended (start_of (cell, i), i + 1, KQ_SCHED_LAPSED);
      ends[i].checkpoint = text;
    }
  ts_reply_poll (cell, "a", NULL, 0, ends, MANY_TASKS);
  ts_advance (cell, 3000);
  kq_sched_count (cell->sched, &counts);
  CU_ASSERT (counts.checkpoint_bytes > 0
             && counts.checkpoint_bytes <= MAX_SUM);
  for (int i = 0; i < MANY_TASKS; i++)
    {
      const char *checkpoint = start_of (cell, i)->checkpoint;

      CU_ASSERT (checkpoint[0] == '\0' || strcmp (checkpoint, text) == 0);
      kept += checkpoint[0] != '\0';
    }
  CU_ASSERT (kept > 0 && kept < MANY_TASKS);
  CU_ASSERT_EQUAL (count_records (cell), kept);
  ts_cancel (cell, JOB);
  ts_advance (cell, 200);
  CU_ASSERT_EQUAL (count_records (cell), 0);
  free (ends);
  free (text);
  ts_destroy (cell);
}

/* Records of other writers do not become a checkpoint. */
static void
test_odd_records (void)
{
  struct ts_cell *cell = start_job (&step);
  KqSched__CheckpointRecord odd = KQ_SCHED__CHECKPOINT_RECORD__INIT;
  uint8_t value[64];
  size_t size;
  uint64_t job;
  int number;

  odd.step = 7;
  odd.text = (char *)"x";
  size = kq_sched__checkpoint_record__pack (&odd, value);
  CU_ASSERT_EQUAL (kq_sched_restore_checkpoint (cell->sched, JOB, value, size),
                   KQ_ESYNTAX);
  CU_ASSERT_EQUAL (kq_sched_restore_checkpoint (
                       cell->sched, JOB, (const uint8_t *)"\xff\xff", 2),
                   KQ_ESYNTAX);
  CU_ASSERT_EQUAL (
      kq_sched_restore_checkpoint (cell->sched, JOB + 1, value, size),
      KQ_ENOENT);
  CU_ASSERT (
      kq_sched_checkpoint_key_read ("c0000000000000091.00001", &job, &number)
      && job == JOB && number == 1);
  CU_ASSERT (
      !kq_sched_checkpoint_key_read ("c0000000000000091", &job, &number));
  CU_ASSERT (!kq_sched_checkpoint_key_read ("t0000000000000091.00001", &job,
                                            &number));
  CU_ASSERT (!kq_sched_checkpoint_key_read ("c0000000000000091.00000", &job,
                                            &number));
  ts_destroy (cell);
}

static const struct kq_test tests[] = {
  { "any length", test_any_length },
  { "the next owner", test_next_owner },
  { "a shorter one again", test_shorter_again },
  { "a gang", test_gang },
  { "a checkpoint that is too long", test_too_long },
  { "the limit of a record", test_record_limit },
  { "the sum of all", test_sum },
  { "odd records", test_odd_records },
};

KQ_TEST_MAIN ("test-checkpoint", tests)

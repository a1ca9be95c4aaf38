/* Guards against taking losses with one common cause for evidence against the
 * tasks that ran there, and against taking the crashes of one task for an
 * outage.
 */
#include <stdio.h>

#include "sched/evidence.h"
#include "t/kqtest.h"

#define START (100 * KQ_USEC_PER_SEC)
#define STEP (30 * KQ_USEC_PER_MSEC)

#define SIZE 12
#define RACKS 3

static char workers[2 * SIZE];
static char tasks[2];

static struct kq_evidence_place
place_of (int worker)
{
  static const char *const racks[] = { "r0", "r1", "r2" };

  return (struct kq_evidence_place){ .service = 1,
                                     .zone = "",
                                     .rack = racks[worker % RACKS] };
}

static struct kq_evidence *
create_service (void)
{
  struct kq_evidence *evidence = kq_evidence_create ();

  CU_ASSERT_TRUE (kq_evidence_begin_count (evidence, START));
  for (int i = 0; i < SIZE; i++)
    {
      struct kq_evidence_place place = place_of (i);

      kq_evidence_count_worker (evidence, &place);
    }
  CU_ASSERT_FALSE (kq_evidence_begin_count (evidence, START + STEP));
  return evidence;
}

static struct kq_evidence_finding
lose (struct kq_evidence *evidence, int worker, const void *cause, kq_usec at)
{
  const struct kq_evidence_loss loss = { .place = place_of (worker),
                                         .worker = &workers[worker],
                                         .cause = cause,
                                         .at = at };

  return kq_evidence_note_loss (evidence, &loss);
}

/* What explains the loss of WORKER at AT under the first task, whose losses
   are OWN. */
static enum kq_evidence_scope
explain (const struct kq_evidence *evidence, int worker, const uint64_t *own,
         int own_count, kq_usec at)
{
  const struct kq_evidence_query query = { .place = place_of (worker),
                                           .cause = &tasks[0],
                                           .own = own,
                                           .own_count = own_count,
                                           .at = at };

  return kq_evidence_explain (evidence, &query);
}

/* The first loss of an outage comes before any other is known. */
static void
test_first_loss_of_an_outage (void)
{
  struct kq_evidence *evidence = create_service ();
  uint64_t own = lose (evidence, 0, &tasks[0], START).number;

  CU_ASSERT_EQUAL (explain (evidence, 0, &own, 1, START), KQ_EVIDENCE_NONE);
  for (int i = 1; i < SIZE; i++)
    lose (evidence, i, NULL, START + i * STEP);
  CU_ASSERT_EQUAL (explain (evidence, 0, &own, 1, START), KQ_EVIDENCE_SERVICE);
  CU_ASSERT_EQUAL (kq_evidence_last_loss (evidence, 1),
                   START + (SIZE - 1) * STEP);
  CU_ASSERT_EQUAL (kq_evidence_last_loss (evidence, 2), 0);
  kq_evidence_destroy (evidence);
}

static void
test_crashes_of_one_task_are_no_outage (void)
{
  struct kq_evidence *evidence = create_service ();
  uint64_t own[SIZE];

  for (int i = 0; i < SIZE; i++)
    {
      struct kq_evidence_finding finding
          = lose (evidence, i, &tasks[0], START + i * STEP);

      own[i] = finding.number;
      CU_ASSERT_EQUAL (finding.scope, KQ_EVIDENCE_NONE);
      CU_ASSERT_EQUAL (explain (evidence, i, own, i + 1, START + i * STEP),
                       KQ_EVIDENCE_NONE);
    }
  kq_evidence_destroy (evidence);
}

/* Another such task beside it speaks for it once, not with each crash. */
static void
test_two_such_tasks_are_no_outage (void)
{
  struct kq_evidence *evidence = create_service ();
  uint64_t own[SIZE];

  for (int i = 0; i < SIZE; i++)
    own[i] = lose (evidence, i, &tasks[i % 2], START + i * STEP).number;
  CU_ASSERT_EQUAL (explain (evidence, 0, own, 1, START), KQ_EVIDENCE_NONE);
  kq_evidence_destroy (evidence);
}

/* Two racks of four lose nobody; the third is gone. */
static void
test_rack (void)
{
  struct kq_evidence *evidence = create_service ();
  uint64_t own = lose (evidence, 0, NULL, START).number;
  struct kq_evidence_finding finding;

  CU_ASSERT_FALSE (lose (evidence, 3, NULL, START + STEP).begins);
  finding = lose (evidence, 6, NULL, START + 2 * STEP);
  CU_ASSERT_TRUE (finding.begins && finding.spreads);
  CU_ASSERT_EQUAL (finding.scope, KQ_EVIDENCE_RACK);
  finding = lose (evidence, 9, NULL, START + 3 * STEP);
  CU_ASSERT_FALSE (finding.begins || finding.spreads);
  CU_ASSERT_EQUAL (explain (evidence, 0, &own, 1, START), KQ_EVIDENCE_RACK);
  CU_ASSERT_EQUAL (explain (evidence, 1, &own, 1, START), KQ_EVIDENCE_NONE);
  kq_evidence_destroy (evidence);
}

/* A worker whose address was taken and that then registers again was lost
   once; and losses long before or after explain nothing. */
static void
test_time_and_repetition (void)
{
  struct kq_evidence *evidence = create_service ();
  uint64_t own = lose (evidence, 0, NULL, START).number;
  const struct kq_evidence_query query
      = { .place = place_of (0), .own = &own, .own_count = 1, .at = START };

  CU_ASSERT_EQUAL (lose (evidence, 0, NULL, START + STEP).number, own);
  CU_ASSERT_FALSE (kq_evidence_is_doubtful (evidence, &query));
  for (int i = 1; i < SIZE; i++)
    lose (evidence, i, NULL, START + KQ_EVIDENCE_WINDOW_US + i * STEP);
  CU_ASSERT_EQUAL (explain (evidence, 0, &own, 1, START), KQ_EVIDENCE_NONE);
  lose (evidence, SIZE, NULL, START + KQ_EVIDENCE_WINDOW_US);
  CU_ASSERT_TRUE (kq_evidence_is_doubtful (evidence, &query));
  kq_evidence_destroy (evidence);
}

/* 27 of 490 workers that flap must not bring polls of all others. */
static void
test_few_losses_of_a_large_service (void)
{
  struct kq_evidence *evidence = kq_evidence_create ();
  struct kq_evidence_place place = { .service = 0, .zone = "", .rack = "" };
  bool spreads = false;
  bool begins = false;

  kq_evidence_begin_count (evidence, START);
  for (int i = 0; i < 490; i++)
    kq_evidence_count_worker (evidence, &place);
  for (intptr_t i = 1; i <= 27; i++)
    {
      struct kq_evidence_loss loss
          = { .place = place, .worker = (const void *)i, .at = START + i };
      struct kq_evidence_finding finding
          = kq_evidence_note_loss (evidence, &loss);

      begins |= finding.begins;
      spreads |= finding.spreads;
    }
  CU_ASSERT_TRUE (begins);
  CU_ASSERT_FALSE (spreads);
  kq_evidence_destroy (evidence);
}

static const struct kq_test tests[] = {
  { "few losses of a large service do not spread",
    test_few_losses_of_a_large_service },
  { "the first loss of an outage", test_first_loss_of_an_outage },
  { "crashes of one task are no outage",
    test_crashes_of_one_task_are_no_outage },
  { "crashes of two tasks are no outage", test_two_such_tasks_are_no_outage },
  { "a rack", test_rack },
  { "time and repetition", test_time_and_repetition },
};

KQ_TEST_MAIN ("test-evidence", tests)

/* Guards against refusing callers for a single failed append, against holding
 * them while the store is away, and against a Retry-After after which callers
 * give up before the outage ends or all come back at one moment.
 */
#include "node/outage.h"
#include "t/kqtest.h"

#define MS KQ_USEC_PER_MSEC
#define START (1000 * KQ_USEC_PER_SEC)
#define JOBS 1000

/* Calls to the store, each sent at AT ms and ended after TOOK ms, and whether
   the store is away after it; AT 0 begins anew. */
static const struct
{
  enum kq_outage_result result;
  int at;
  int took;
  bool away;
} calls[] = {
  /* single refusals, also a slow one */
  { KQ_OUTAGE_REFUSED, 0, 2, false },
  { KQ_OUTAGE_ANSWERED, 60, 2, false },
  { KQ_OUTAGE_REFUSED, 120, 500, false },
  /* two failures in a row, and the return of the store */
  { KQ_OUTAGE_NO_ANSWER, 0, 5, false },
  { KQ_OUTAGE_REFUSED, 60, 2, true },
  { KQ_OUTAGE_REFUSED, 120, 2, true },
  { KQ_OUTAGE_ANSWERED, 180, 2, false },
  /* one append without an answer */
  { KQ_OUTAGE_NO_ANSWER, 0, 380, false },
  { KQ_OUTAGE_ANSWERED, 400, 2, false },
  { KQ_OUTAGE_NO_ANSWER, 500, 400, true },
  /* the answer to a heartbeat is lost while appends are answered */
  { KQ_OUTAGE_ANSWERED, 0, 102, false },
  { KQ_OUTAGE_NO_ANSWER, 1, 500, false },
  { KQ_OUTAGE_NO_ANSWER, 110, 500, true },
};

static void
test_state (void)
{
  struct kq_outage outage = { 0 };

  for (size_t i = 0; i < sizeof calls / sizeof calls[0]; i++)
    {
      kq_usec sent_at = START + calls[i].at * MS;
      bool was_away;

      if (calls[i].at == 0)
        outage = (struct kq_outage){ 0 };
      was_away = kq_outage_is_away (&outage);
      CU_ASSERT_EQUAL (kq_outage_note (&outage, calls[i].result, sent_at,
                                       sent_at + calls[i].took * MS),
                       was_away != calls[i].away);
      CU_ASSERT_EQUAL (kq_outage_is_away (&outage), calls[i].away);
      CU_ASSERT_EQUAL (kq_outage_retry_ms (&outage, 1, sent_at) > 0,
                       calls[i].away);
    }
}

/* Callers come back four times. */
static void
test_callers_outlast_an_outage (void)
{
  for (uint64_t job = 0; job < JOBS; job++)
    {
      struct kq_outage outage = { .failures = 2, .since = START };
      kq_usec now = START + 100 * MS;

      for (int i = 0; i < 4; i++)
        now += kq_outage_retry_ms (&outage, job, now) * MS;
      CU_ASSERT_TRUE (now - START > 4200 * MS);
    }
}

static void
test_limits_and_spread (void)
{
  static const struct
  {
    int lasted_ms;
    int64_t min_ms;
    int64_t max_ms;
    int64_t mean_ms;
  } cases[] = { { 100, 1000, 2000, 1125 },
                { 3000, 3000, 4000, 3375 },
                { 60000, 6000, 8000, 7200 } };

  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      struct kq_outage outage = { .failures = 2, .since = START };
      int64_t sum = 0;
      int64_t least = INT64_MAX;
      int64_t most = 0;

      for (uint64_t job = 0; job < JOBS; job++)
        {
          int64_t ms = kq_outage_retry_ms (&outage, job,
                                           START + cases[i].lasted_ms * MS);

          CU_ASSERT_EQUAL (ms % 1000, 0);
          sum += ms;
          least = ms < least ? ms : least;
          most = ms > most ? ms : most;
        }
      CU_ASSERT_EQUAL (least, cases[i].min_ms);
      CU_ASSERT_EQUAL (most, cases[i].max_ms);
      CU_ASSERT_TRUE (sum / JOBS > cases[i].mean_ms - 100
                      && sum / JOBS < cases[i].mean_ms + 100);
    }
}

/* Guards against callers who are told to return after their deadline, although
   the store may be back before it. */
static void
test_retry_before_deadline (void)
{
  static const struct
  {
    int64_t retry_ms;
    int64_t left_ms;
    unsigned expected;
  } cases[] = { { 0, 3000, 1 },    { 1000, 3000, 1 }, { 1001, 3000, 2 },
                { 4000, 3000, 2 }, { 4000, 2200, 1 }, { 4000, 900, 4 },
                { 8000, 60000, 8 } };

  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    CU_ASSERT_EQUAL (
        kq_outage_retry_after_s (cases[i].retry_ms,
                                 cases[i].left_ms * KQ_USEC_PER_MSEC),
        cases[i].expected);
  CU_ASSERT_EQUAL (kq_outage_retry_after_s (30000, INT64_MAX), 30);
}

static const struct kq_test tests[] = {
  { "state of the store after each call", test_state },
  { "callers outlast an outage of 4.2 s", test_callers_outlast_an_outage },
  { "limits and spread of the delay", test_limits_and_spread },
  { "retry before the deadline", test_retry_before_deadline },
};

KQ_TEST_MAIN ("test-outage", tests)

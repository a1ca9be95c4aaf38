/* Guards against figures of closed queues that refuse too much: stale ones,
 * those of other queues, and repeats of accepted jobs.
 */
#include <string.h>

#include "node/closures.h"
#include "t/kqtest.h"

#define MS KQ_USEC_PER_MSEC
#define NOW (INT64_C (1000) * KQ_USEC_PER_SEC)

static const struct kq_sched_queue batch = { .name = "batch", .priority = 2 };
static const struct kq_sched_queue urgent = { .name = "urgent" };

static bool
refuses (const struct kq_admission *admission, uint64_t job, kq_usec now)
{
  int64_t retry_ms = 0;
  bool refused = kq_admission_refuses (admission, &batch, job, now, &retry_ms);

  CU_ASSERT (refused == (retry_ms >= 4000 && retry_ms <= 6000));
  return refused;
}

/* Applies a message of an owner that knows the jobs 1 to 500. */
static void
note (struct kq_admission *admission, int status, char *queue,
      uint32_t until_ms, uint32_t retry_ms)
{
  KqNode__Tell message = KQ_NODE__TELL__INIT;
  KqNode__Closed closed = KQ_NODE__CLOSED__INIT;
  KqNode__Closed *rows[] = { &closed };
  struct kq_idset known = { { 0 } };

  for (uint64_t job = 1; job <= 500; job++)
    kq_idset_add (&known, job);
  closed.queue = queue;
  closed.until_ms = until_ms;
  closed.retry_ms = retry_ms;
  message.status = (uint32_t)status;
  message.n_closed = 1;
  message.closed = rows;
  message.known_ids.data = known.bits;
  message.known_ids.len = sizeof known.bits;
  kq_closures_note (admission, &message, NOW);
}

static void
test_figures (void)
{
  struct kq_admission admission = { .known = { { 0 } } };
  int64_t retry_ms;
  int refused = 0;

  CU_ASSERT (!refuses (&admission, 1000, NOW));
  note (&admission, 200, "batch", 200, 4000);
  for (uint64_t job = 1; job <= 500; job++)
    CU_ASSERT (!refuses (&admission, job, NOW));
  for (uint64_t job = 1001; job <= 2000; job++)
    refused += refuses (&admission, job, NOW + 199 * MS);
  CU_ASSERT (refused > 950);
  CU_ASSERT (
      !kq_admission_refuses (&admission, &urgent, 1001, NOW, &retry_ms));
  for (uint64_t job = 1001; job <= 2000; job++)
    CU_ASSERT (!refuses (&admission, job, NOW + 200 * MS));
}

/* Malformed figures must change nothing that held before. */
static void
test_malformed_figures (void)
{
  struct kq_admission admission = { .known = { { 0 } } };
  struct kq_admission before;

  note (&admission, 200, "batch", 200, 4000);
  before = admission;
  note (&admission, 200, "batch", 501, 4000);
  note (&admission, 200, "batch", UINT32_MAX, 4000);
  note (&admission, 200, "batch", 100, 0);
  note (&admission, 200, "batch", 100, 30001);
  note (&admission, 200, "", 100, 4000);
  note (&admission, 0, "batch", 100, 4000);
  CU_ASSERT_EQUAL (memcmp (&before, &admission, sizeof before), 0);
}

static void
test_fronts (void)
{
  static struct kq_admission_fronts fronts;

  for (uint8_t id = 0; id < KQ_ADMISSION_MAX_FRONTS; id++)
    CU_ASSERT (kq_admission_is_due (&fronts, &id, 1, NOW + id));
  for (uint8_t id = 0; id < KQ_ADMISSION_MAX_FRONTS; id++)
    CU_ASSERT (!kq_admission_is_due (&fronts, &id, 1, NOW + 199 * MS));
  for (uint8_t id = 0; id < KQ_ADMISSION_MAX_FRONTS; id++)
    CU_ASSERT (kq_admission_is_due (&fronts, &id, 1, NOW + 201 * MS));
  CU_ASSERT (kq_admission_is_due (&fronts, (const uint8_t *)"new", 3, NOW));
}

static bool
may_refuse (const char *body)
{
  return kq_closures_may_refuse (body, strlen (body));
}

static void
test_exempt_bodies (void)
{
  CU_ASSERT (may_refuse ("{\"spec\":\"x\",\"steps\":[{\"count\":1,\"cpu\":1,"
                         "\"est_ms\":1}]}"));
  CU_ASSERT (!may_refuse ("{\"spec\":\"x\",\"steps\":[{\"count\":1,\"cpu\":1,"
                          "\"est_ms\":1,\"long_running\":true}]}"));
  CU_ASSERT (!may_refuse ("{\"spec\":\"x\",\"times\":2,\"start_ms\":1,"
                          "\"interval_ms\":1,\"steps\":[{\"count\":1,"
                          "\"cpu\":1,\"est_ms\":1}]}"));
  CU_ASSERT (!may_refuse ("{"));
}

static const struct kq_test tests[] = {
  { "figures of closed queues", test_figures },
  { "malformed figures", test_malformed_figures },
  { "fronts are told in turn", test_fronts },
  { "bodies that are never refused", test_exempt_bodies },
};

KQ_TEST_MAIN ("test-admission", tests)

/* Guards against a task that starts beside a run of it, or after its end,
 * where orders are carried out late by the next incarnation of a worker: the
 * cases that still fail.  A change of what an owner sends gives a seed another
 * course: those that failed on one of the last courses are kept.
 */
#include "t/kqtest.h"
#include "t/lib-late.h"

/* Two starts of a task in turn had no reply; the next incarnation of their
   worker begins both runs behind a cut. */
static void
test_two_late_starts (void)
{
  static const unsigned long reborn[] = { 64, 73, 154, 203, 210, 247, 298 };
  static const unsigned long cut[] = { 37, 204 };

  LATE_CHECK_SEEDS ("reborn-late-4", reborn);
  LATE_CHECK_SEEDS ("lease-late", cut);
}

/* A poll that was sent before a start is carried out after it, both late and
   by the next incarnation, and acknowledges the end of that run, which was
   never read. */
static void
test_late_acknowledgements (void)
{
  static const unsigned long reborn[] = { 56 };

  LATE_CHECK_SEEDS ("reborn-late-4", reborn);
}

/* A long-running task does not wait for a worker that is not registered. */
static void
test_long_running_tasks (void)
{
  static const unsigned long reborn[] = { 13, 137, 209 };
  static const unsigned long cut[] = { 73, 99, 122, 241, 243, 244 };

  LATE_CHECK_SEEDS ("reborn-late-4", reborn);
  LATE_CHECK_SEEDS ("lease-late", cut);
}

/* Orders are carried out up to 12 s late, by an incarnation that has not been
   polled yet. */
static void
test_very_late_starts (void)
{
  static const unsigned long restarts[]
      = { 8,   24,  40,  42,  62,  67,  92,  98,  101, 109,
          121, 132, 150, 158, 162, 174, 186, 188, 199, 215,
          230, 238, 244, 246, 247, 250, 258, 260, 278, 294 };
  static const unsigned long takeovers[]
      = { 4,   5,   9,   16,  27,  34,  44,  46,  61,  81,
          92,  95,  99,  104, 106, 113, 124, 151, 158, 161,
          177, 210, 211, 222, 232, 244, 256, 270, 291, 297 };

  LATE_CHECK_SEEDS ("late-12", restarts);
  LATE_CHECK_SEEDS ("late-12-takeovers", takeovers);
}

static const struct kq_test tests[] = {
  { "two late starts", test_two_late_starts },
  { "late acknowledgements", test_late_acknowledgements },
  { "long-running tasks", test_long_running_tasks },
  { "very late starts", test_very_late_starts },
};

KQ_TEST_MAIN ("test-late-open", tests)

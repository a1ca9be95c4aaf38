/* One worker's lease as its holder sees it, in a table of what is sent and
   answered when; times in milliseconds.  */

#include <string.h>

#include "base/err.h"
#include "lease/lease.h"
#include "t/kqtest.h"

#define TTL 2000
#define TASK_TTL 10000
#define SHORT 1980 /* TTL by the bound of 1% */

static const struct kq_lease_terms terms
    = { .holder = { "a/1" },
        .ttl = TTL * KQ_USEC_PER_MSEC,
        .task_ttl = TASK_TTL * KQ_USEC_PER_MSEC,
        .clock_rate_ppm = 10000 };

enum act
{
  ASK,
  EXTEND,
  RELEASE,
  ANSWER,  /* to what was sent at SENT */
  UNTIL,   /* authority ends at VALUE, 0 = none */
  MAY_ASK, /* VALUE: whether it may */
  CLEAR    /* nothing can be alive at the worker from VALUE on */
};

struct line
{
  int at;
  enum act act;
  int sent;
  int err;
  int term;
  const char *holder;
  int value;
};

static kq_usec
usec (int msec)
{
  return msec * KQ_USEC_PER_MSEC;
}

static void
answer (struct kq_lease *lease, const struct line *line)
{
  struct kq_lease_answer answer = { .err = line->err };

  answer.sent_at = usec (line->sent);
  answer.term = (uint64_t)line->term;
  answer.left = usec (line->value);
  strcpy (answer.holder.text, line->holder);
  kq_lease_answer (lease, usec (line->at), &answer);
}

/* Whether A is B but for the rounding of the clock bound. */
static bool
is_near (kq_usec a, kq_usec b)
{
  return a > b - KQ_USEC_PER_MSEC && a < b + KQ_USEC_PER_MSEC;
}

static bool
run_line (struct kq_lease *lease, const struct line *line)
{
  switch (line->act)
    {
    case ASK:
    case EXTEND:
      kq_lease_ask (lease, usec (line->at), line->act == EXTEND);
      return true;
    case RELEASE:
      kq_lease_release (lease, usec (line->at));
      return true;
    case ANSWER:
      answer (lease, line);
      return true;
    case UNTIL:
      return is_near (kq_lease_until (lease), usec (line->value))
             && kq_lease_held (lease, usec (line->at))
                    == (line->at < line->value);
    case MAY_ASK:
      return kq_lease_may_ask (lease, usec (line->at)) == (line->value != 0);
    case CLEAR:
      return is_near (kq_lease_clear_at (lease, usec (line->sent)),
                      usec (line->value));
    }
  return false;
}

static void
run_lines (const char *name, const struct line *lines)
{
  struct kq_lease *lease = kq_lease_create (&terms);

  for (int i = 0; lines[i].at > 0; i++)
    if (!run_line (lease, &lines[i]))
      {
        printf ("%s: line %d\n", name, i);
        CU_FAIL ("line does not hold");
      }
  kq_lease_destroy (lease);
}

static void
test_authority_counts_from_sending (void)
{
  static const struct line lines[]
      = { { 100, ASK, 0, 0, 0, "", 0 },
          { 900, ANSWER, 100, 0, 2, "a/1", TTL },
          { 900, UNTIL, 0, 0, 0, "", 100 + SHORT },
          { 2081, UNTIL, 0, 0, 0, "", 100 + SHORT },
          { 0, ASK, 0, 0, 0, "", 0 } };

  run_lines ("sending", lines);
}

static void
test_order_of_answers (void)
{
  static const struct line older[]
      = { { 100, ASK, 0, 0, 0, "", 0 },
          { 600, ASK, 0, 0, 0, "", 0 },
          { 610, ANSWER, 600, 0, 2, "a/1", TTL },
          /* an older answer, a refusal of a second copy, and silence */
          { 620, ANSWER, 100, KQ_ELEASE_HELD, 1, "b/1", 900 },
          { 625, ANSWER, 100, 0, 2, "a/1", TTL },
          { 630, ANSWER, 600, KQ_ELEASE_HELD, 2, "a/1", 900 },
          { 640, ANSWER, 700, KQ_EWORKER_SILENT, 0, "", 0 },
          { 650, UNTIL, 0, 0, 0, "", 600 + SHORT },
          /* another holder's newer term ends the authority */
          { 700, ANSWER, 650, KQ_ELEASE_HELD, 3, "b/1", 900 },
          { 710, UNTIL, 0, 0, 0, "", 0 },
          { 0, ASK, 0, 0, 0, "", 0 } };

  run_lines ("order", older);
}

/* An earlier incarnation of the same host is another holder. */
static void
test_incarnation (void)
{
  static const struct line lines[]
      = { { 100, ASK, 0, 0, 0, "", 0 },
          { 110, ANSWER, 100, KQ_ELEASE_HELD, 7, "a/0", 900 },
          { 120, UNTIL, 0, 0, 0, "", 0 },
          { 0, ASK, 0, 0, 0, "", 0 } };

  run_lines ("incarnation", lines);
}

static void
test_release (void)
{
  static const struct line late_answer[]
      = { { 100, ASK, 0, 0, 0, "", 0 },
          { 110, ANSWER, 100, 0, 2, "a/1", TTL },
          { 600, ASK, 0, 0, 0, "", 0 },
          { 700, RELEASE, 0, 0, 0, "", 0 },
          { 700, UNTIL, 0, 0, 0, "", 0 },
          { 700, MAY_ASK, 0, 0, 0, "", 0 },
          { 710, ANSWER, 700, 0, 2, "", 0 },
          { 720, MAY_ASK, 0, 0, 0, "", 1 },
          /* the answer to the renewal comes after that to the release */
          { 730, ANSWER, 600, 0, 2, "a/1", TTL },
          { 740, UNTIL, 0, 0, 0, "", 0 },
          { 0, ASK, 0, 0, 0, "", 0 } };
  static const struct line no_answer[]
      = { { 100, ASK, 0, 0, 0, "", 0 },
          { 110, ANSWER, 100, 0, 2, "a/1", TTL },
          { 700, RELEASE, 0, 0, 0, "", 0 },
          /* it could still undo a grant under the same term */
          { 700 + TTL, MAY_ASK, 0, 0, 0, "", 0 },
          { 700 + 2 * TTL, MAY_ASK, 0, 0, 0, "", 0 },
          { 750 + 2 * TTL, MAY_ASK, 0, 0, 0, "", 1 },
          { 0, ASK, 0, 0, 0, "", 0 } };

  run_lines ("late answer", late_answer);
  run_lines ("no answer", no_answer);
}

static void
test_clear (void)
{
  static const struct line lines[]
      = { { 100, CLEAR, 50, 0, 0, "", 50 + 2 * TTL + TASK_TTL + 140 },
          { 100, ASK, 0, 0, 0, "", 0 },
          { 100, CLEAR, 50, 0, 0, "", 50 + 2 * TTL + TASK_TTL + 140 },
          { 200, EXTEND, 0, 0, 0, "", 0 },
          { 300, CLEAR, 50, 0, 0, "", 200 + 2 * TTL + TASK_TTL + 140 },
          { 0, ASK, 0, 0, 0, "", 0 } };

  run_lines ("clear", lines);
}

static void
test_majority (void)
{
  static const struct
  {
    int granted[5]; /* when asked; 0 = not granted */
    size_t count;
    int until;
  } cases[] = { { { 100, 0, 0 }, 3, 0 },
                { { 100, 200, 0 }, 3, 100 + SHORT },
                { { 300, 100, 200 }, 3, 200 + SHORT },
                { { 100, 200, 0, 0 }, 4, 0 },
                { { 100, 200, 300, 0 }, 4, 100 + SHORT },
                { { 500 }, 1, 500 + SHORT } };

  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      struct kq_lease *leases[5];

      for (size_t k = 0; k < cases[i].count; k++)
        {
          struct line line = { .at = 600, .term = 1, .holder = "a/1" };

          leases[k] = kq_lease_create (&terms);
          line.sent = cases[i].granted[k];
          if (line.sent > 0)
            answer (leases[k], &line);
        }
      CU_ASSERT_TRUE (
          is_near (kq_lease_majority_until (leases, cases[i].count),
                   usec (cases[i].until)));
      for (size_t k = 0; k < cases[i].count; k++)
        kq_lease_destroy (leases[k]);
    }
}

static const struct kq_test tests[]
    = { { "authority counts from sending",
          test_authority_counts_from_sending },
        { "order of answers", test_order_of_answers },
        { "incarnation", test_incarnation },
        { "release", test_release },
        { "clear", test_clear },
        { "majority", test_majority } };

KQ_TEST_MAIN ("lease", tests)

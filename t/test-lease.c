/* Tests of the lease of one worker, as tables of what is sent and received
   when; times are in milliseconds.  They guard against a host that acts on a
   worker after its lease there has ended, because replies arrive late, twice,
   out of order or not at all.  */

#include <string.h>

#include "base/err.h"
#include "lease/lease.h"
#include "t/kqtest.h"

#define TTL 2000
#define TASK_TTL 10000
#define SHORTENED_TTL 1980 /* TTL shortened by the clock rate error of 1% */

static const struct kq_lease_settings settings
    = { .holder = { "a/1" },
        .ttl = TTL * KQ_USEC_PER_MSEC,
        .task_ttl = TASK_TTL * KQ_USEC_PER_MSEC,
        .clock_rate_ppm = 10000 };

enum action
{
  REQUEST,
  REQUEST_EXTENDING,
  RELEASE,
  REPLY,              /* reply to the request sent at SENT */
  EXPECT_UNTIL,       /* authority ends at VALUE; 0 = none */
  EXPECT_MAY_REQUEST, /* VALUE: whether a request may be sent */
  EXPECT_GONE_AT      /* no attempt can run at the worker from VALUE on */
};

struct step
{
  int at;
  enum action action;
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
apply_reply (struct kq_lease *lease, const struct step *step)
{
  struct kq_lease_reply reply = { .err = step->err };

  reply.sent_at = usec (step->sent);
  reply.term = (uint64_t)step->term;
  reply.remaining = usec (step->value);
  strcpy (reply.holder.text, step->holder);
  kq_lease_apply_reply (lease, usec (step->at), &reply);
}

/* Returns whether A equals B, except for rounding by the clock rate bound. */
static bool
is_near (kq_usec a, kq_usec b)
{
  return a > b - KQ_USEC_PER_MSEC && a < b + KQ_USEC_PER_MSEC;
}

static bool
run_step (struct kq_lease *lease, const struct step *step)
{
  switch (step->action)
    {
    case REQUEST:
    case REQUEST_EXTENDING:
      kq_lease_note_request (lease, usec (step->at),
                             step->action == REQUEST_EXTENDING);
      return true;
    case RELEASE:
      kq_lease_release (lease, usec (step->at));
      return true;
    case REPLY:
      apply_reply (lease, step);
      return true;
    case EXPECT_UNTIL:
      return is_near (kq_lease_authority_until (lease), usec (step->value))
             && kq_lease_held (lease, usec (step->at))
                    == (step->at < step->value);
    case EXPECT_MAY_REQUEST:
      return kq_lease_may_request (lease, usec (step->at))
             == (step->value != 0);
    case EXPECT_GONE_AT:
      return is_near (kq_lease_attempts_gone_at (lease, usec (step->sent)),
                      usec (step->value));
    }
  return false;
}

static void
run_steps (const char *name, const struct step *steps)
{
  struct kq_lease *lease = kq_lease_create (&settings);

  for (int i = 0; steps[i].at > 0; i++)
    if (!run_step (lease, &steps[i]))
      {
        printf ("%s: step %d\n", name, i);
        CU_FAIL ("step does not hold");
      }
  kq_lease_destroy (lease);
}

static void
test_authority_counts_from_sending (void)
{
  static const struct step steps[]
      = { { 100, REQUEST, 0, 0, 0, "", 0 },
          { 900, REPLY, 100, 0, 2, "a/1", TTL },
          { 900, EXPECT_UNTIL, 0, 0, 0, "", 100 + SHORTENED_TTL },
          { 2081, EXPECT_UNTIL, 0, 0, 0, "", 100 + SHORTENED_TTL },
          { 0, REQUEST, 0, 0, 0, "", 0 } };

  run_steps ("sending", steps);
}

static void
test_order_of_replies (void)
{
  static const struct step reordered[] = {
    { 100, REQUEST, 0, 0, 0, "", 0 },
    { 600, REQUEST, 0, 0, 0, "", 0 },
    { 610, REPLY, 600, 0, 2, "a/1", TTL },
    /* an older reply, the refusal of a duplicate request, and no reply */
    { 620, REPLY, 100, KQ_ELEASE_HELD, 1, "b/1", 900 },
    { 625, REPLY, 100, 0, 2, "a/1", TTL },
    { 630, REPLY, 600, KQ_ELEASE_HELD, 2, "a/1", 900 },
    { 640, REPLY, 700, KQ_EWORKER_SILENT, 0, "", 0 },
    { 650, EXPECT_UNTIL, 0, 0, 0, "", 600 + SHORTENED_TTL },
    /* a newer term of another holder ends the authority */
    { 700, REPLY, 650, KQ_ELEASE_HELD, 3, "b/1", 900 },
    { 710, EXPECT_UNTIL, 0, 0, 0, "", 0 },
    { 0, REQUEST, 0, 0, 0, "", 0 }
  };

  run_steps ("order", reordered);
}

/* An earlier incarnation of the same host counts as another holder. */
static void
test_incarnation (void)
{
  static const struct step steps[]
      = { { 100, REQUEST, 0, 0, 0, "", 0 },
          { 110, REPLY, 100, KQ_ELEASE_HELD, 7, "a/0", 900 },
          { 120, EXPECT_UNTIL, 0, 0, 0, "", 0 },
          { 0, REQUEST, 0, 0, 0, "", 0 } };

  run_steps ("incarnation", steps);
}

static void
test_release (void)
{
  static const struct step late_reply[]
      = { { 100, REQUEST, 0, 0, 0, "", 0 },
          { 110, REPLY, 100, 0, 2, "a/1", TTL },
          { 600, REQUEST, 0, 0, 0, "", 0 },
          { 700, RELEASE, 0, 0, 0, "", 0 },
          { 700, EXPECT_UNTIL, 0, 0, 0, "", 0 },
          { 700, EXPECT_MAY_REQUEST, 0, 0, 0, "", 0 },
          { 710, REPLY, 700, 0, 2, "", 0 },
          { 720, EXPECT_MAY_REQUEST, 0, 0, 0, "", 1 },
          /* the reply to the renewal arrives after the one to the release */
          { 730, REPLY, 600, 0, 2, "a/1", TTL },
          { 740, EXPECT_UNTIL, 0, 0, 0, "", 0 },
          { 0, REQUEST, 0, 0, 0, "", 0 } };
  static const struct step no_reply[]
      = { { 100, REQUEST, 0, 0, 0, "", 0 },
          { 110, REPLY, 100, 0, 2, "a/1", TTL },
          { 700, RELEASE, 0, 0, 0, "", 0 },
          /* the release could still undo a grant under the same term */
          { 700 + TTL, EXPECT_MAY_REQUEST, 0, 0, 0, "", 0 },
          { 700 + 2 * TTL, EXPECT_MAY_REQUEST, 0, 0, 0, "", 0 },
          { 750 + 2 * TTL, EXPECT_MAY_REQUEST, 0, 0, 0, "", 1 },
          { 0, REQUEST, 0, 0, 0, "", 0 } };

  run_steps ("late reply", late_reply);
  run_steps ("no reply", no_reply);
}

/* The clock rate error of 1% lengthens 2 * TTL + TASK_TTL by 140 ms. */
static void
test_attempts_gone (void)
{
  static const struct step steps[]
      = { { 100, EXPECT_GONE_AT, 50, 0, 0, "", 50 + 2 * TTL + TASK_TTL + 140 },
          { 100, REQUEST, 0, 0, 0, "", 0 },
          { 100, EXPECT_GONE_AT, 50, 0, 0, "", 50 + 2 * TTL + TASK_TTL + 140 },
          { 200, REQUEST_EXTENDING, 0, 0, 0, "", 0 },
          { 300, EXPECT_GONE_AT, 50, 0, 0, "",
            200 + 2 * TTL + TASK_TTL + 140 },
          { 0, REQUEST, 0, 0, 0, "", 0 } };

  run_steps ("attempts gone", steps);
}

static void
test_majority (void)
{
  static const struct
  {
    int granted[5]; /* when the request was sent; 0 = not granted */
    size_t count;
    int until;
  } cases[] = { { { 100, 0, 0 }, 3, 0 },
                { { 100, 200, 0 }, 3, 100 + SHORTENED_TTL },
                { { 300, 100, 200 }, 3, 200 + SHORTENED_TTL },
                { { 100, 200, 0, 0 }, 4, 0 },
                { { 100, 200, 300, 0 }, 4, 100 + SHORTENED_TTL },
                { { 500 }, 1, 500 + SHORTENED_TTL } };

  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      struct kq_lease *leases[5];

      for (size_t k = 0; k < cases[i].count; k++)
        {
          struct step step = { .at = 600, .term = 1, .holder = "a/1" };

          leases[k] = kq_lease_create (&settings);
          step.sent = cases[i].granted[k];
          if (step.sent > 0)
            apply_reply (leases[k], &step);
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
        { "order of replies", test_order_of_replies },
        { "incarnation", test_incarnation },
        { "release", test_release },
        { "attempts gone", test_attempts_gone },
        { "majority", test_majority } };

KQ_TEST_MAIN ("lease", tests)

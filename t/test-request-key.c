/* Idempotency keys in the request router.  Guards against a repeated request
   that runs again, also when the home of its key fails, and against one that
   is refused although the first one has not run.  */
#include <stdio.h>
#include <string.h>

#include "base/err.h"
#include "t/kqtest.h"
#include "t/lib-router.h"
#include "t/lib-view.h"
#include "t/router-expect.h"

#define UNLIMITED INT64_MAX
#define MS KQ_USEC_PER_MSEC

/* The run of a key ends with outcome END; a repeated request receives that
   outcome, or is sent if RUNS_AGAIN.  */
static void
test_repeated_keys (void)
{
  static const struct
  {
    enum kq_outcome end;
    bool runs_again;
  } cases[] = { { KQ_OUTCOME_ANSWERED, false },
                { KQ_OUTCOME_UNKNOWN, false },
                { KQ_OUTCOME_NOT_RUN, true } };

  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      struct kq_test_router t = create_router (1);
      uint64_t id = kq_test_router_arrive (&t, "book", 77);
      uint64_t repeat = kq_test_router_arrive (&t, "book", 77);
      uint32_t attempt = 0;
      struct kq_request_effect effect;

      expect_send (&t, id, 0);
      expect_reply (&t, repeat, KQ_OUTCOME_UNKNOWN, KQ_EREQ_KEY_IN_USE);
      do
        {
          kq_test_router_end (&t, id, attempt++, cases[i].end, KQ_EREQ_CUT);
          effect = kq_test_router_effect (&t);
        }
      while (effect.kind == KQ_REQ_FX_SEND);
      CU_ASSERT_EQUAL (effect.kind, KQ_REQ_FX_REPLY);
      CU_ASSERT_EQUAL (effect.u.reply.outcome, cases[i].end);
      repeat = kq_test_router_arrive (&t, "book", 77);
      if (cases[i].runs_again)
        expect_send (&t, repeat, 0);
      else
        CU_ASSERT_EQUAL (kq_test_router_effect (&t).u.reply.outcome,
                         cases[i].end);
      kq_test_router_destroy (&t);
    }
}

static void
test_key_reused_for_another_request (void)
{
  struct kq_test_router t = create_router (1);
  struct kq_request_event event = { .kind = KQ_REQ_EV_ARRIVE };

  kq_test_router_arrive (&t, "book", 5);
  kq_test_router_effect (&t);
  event.u.arrive.id = 99;
  event.u.arrive.keyed = true;
  event.u.arrive.key.hash[0] = 5;
  event.u.arrive.key.fingerprint = 1;
  kq_name_set (&event.u.arrive.service, "book");
  kq_request_step (t.router, t.now, &event, t.effects);
  expect_reply (&t, 99, KQ_OUTCOME_INVALID, KQ_EREQ_KEY_REUSED);
  kq_test_router_destroy (&t);
}

/* Creates the view of HOST, in which hosts e1, e2 and so on own a worker
   each.  */
static struct kq_view *
view_of (int hosts, int host)
{
  struct kq_view *view = kq_test_create_view (hosts, 1000, false, 0, "x:1");

  for (int i = 0; i < hosts; i++)
    {
      snprintf (view->workers[i].owner.text, KQ_NAME_SIZE, "e%d", i + 1);
      view->workers[i].owner_hop[0] = (char)('a' + i);
      view->workers[i].owned = i == host;
      view->workers[i].owned_until = UNLIMITED;
    }
  return view;
}

/* Three hosts of a zone agree about the home of each key.  The home has the
   backup store the key before it runs the request.  */
static void
test_home_of_a_key (void)
{
  static const char *const names[] = { "e1", "e2", "e3" };
  int at_home = 0;

  for (uint64_t key = 1; key <= 300; key++)
    {
      char home[3][KQ_NAME_SIZE];

      for (int host = 0; host < 3; host++)
        {
          struct kq_test_router t = kq_test_router_create (names[host]);
          struct kq_request_effect effect;
          uint32_t attempt = 0;

          kq_test_router_view (&t, view_of (3, host));
          kq_test_router_arrive (&t, "book", key);
          effect = kq_test_router_effect (&t);
          CU_ASSERT_EQUAL (effect.kind, KQ_REQ_FX_HOP);
          CU_ASSERT_NOT_EQUAL (effect.u.send.homed, effect.u.send.claim);
          strcpy (home[host],
                  effect.u.send.claim ? names[host] : effect.u.send.name.text);
          if (effect.u.send.claim)
            {
              at_home++;
              kq_test_router_end (&t, 1, attempt++, KQ_OUTCOME_NOT_RUN, 0);
              expect_send (&t, 1, attempt);
            }
          /* After a failure the request is not sent to another host. */
          kq_test_router_end (&t, 1, attempt, KQ_OUTCOME_UNKNOWN, KQ_ECLOSED);
          expect_reply (&t, 1, KQ_OUTCOME_UNKNOWN, KQ_ECLOSED);
          kq_test_router_destroy (&t);
        }
      CU_ASSERT_STRING_EQUAL (home[0], home[1]);
      CU_ASSERT_STRING_EQUAL (home[0], home[2]);
    }
  CU_ASSERT_EQUAL (at_home, 300);
}

/* Each case is the end of a claim and the outcome that the caller receives. */
static void
test_claims (void)
{
  static const struct
  {
    enum kq_outcome outcome;
    int err;
    enum kq_outcome reply;
  } cases[] = {
    { KQ_OUTCOME_ANSWERED, 0, KQ_OUTCOME_ANSWERED },
    { KQ_OUTCOME_UNKNOWN, KQ_EREQ_KEY_IN_USE, KQ_OUTCOME_UNKNOWN },
    { KQ_OUTCOME_INVALID, KQ_EREQ_KEY_REUSED, KQ_OUTCOME_INVALID },
    { KQ_OUTCOME_NOT_RUN, KQ_EREQ_NO_ENDPOINT, KQ_OUTCOME_NOT_RUN },
    { KQ_OUTCOME_UNKNOWN, KQ_ETIMEDOUT, KQ_OUTCOME_NOT_RUN },
  };

  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      struct kq_test_router t = kq_test_router_create ("e1");
      struct kq_request_effect effect = { .attempt = 1 };
      uint64_t id = 0;

      kq_test_router_view (&t, view_of (2, 0));
      while (!(effect.kind == KQ_REQ_FX_HOP && effect.u.send.claim))
        {
          id = kq_test_router_arrive (&t, "book", id + 1);
          effect = kq_test_router_effect (&t);
        }
      /* A claim without a reply is cancelled. */
      kq_test_router_advance (&t, 200 * MS);
      CU_ASSERT_EQUAL (kq_test_router_effect (&t).kind, KQ_REQ_FX_CANCEL);
      kq_test_router_end (&t, id, 0, cases[i].outcome, cases[i].err);
      do
        effect = kq_test_router_effect (&t);
      while (effect.kind == KQ_REQ_FX_KEY_RESULT);
      CU_ASSERT_EQUAL (effect.kind, KQ_REQ_FX_REPLY);
      CU_ASSERT_EQUAL (effect.u.reply.outcome, cases[i].reply);
      kq_test_router_destroy (&t);
    }
}

/* A home without a free slot forwards the request without its key.  The other
   host may be the backup, which would refuse the key as known.  */
static void
test_home_forwards_without_the_key (void)
{
  struct kq_test_router t = kq_test_router_create ("e1");
  struct kq_request_effect effect = { .attempt = 1 };
  struct kq_view *view = view_of (2, 0);
  uint64_t id = 0;

  view->workers[0].slots = 0;
  kq_test_router_view (&t, view);
  while (!(effect.kind == KQ_REQ_FX_HOP && effect.u.send.claim))
    {
      id = kq_test_router_arrive (&t, "book", id + 1);
      effect = kq_test_router_effect (&t);
      CU_ASSERT_TRUE (effect.u.send.keyed);
    }
  kq_test_router_end (&t, id, 0, KQ_OUTCOME_NOT_RUN, 0);
  effect = kq_test_router_effect (&t);
  CU_ASSERT_EQUAL (effect.kind, KQ_REQ_FX_HOP);
  CU_ASSERT_FALSE (effect.u.send.keyed);
  CU_ASSERT_FALSE (effect.u.send.claim);
  CU_ASSERT_FALSE (effect.u.send.homed);
  kq_test_router_destroy (&t);
}

/* The backup replies after the home has failed: for a claimed key, and then
   with the reported result of its run.  */
static void
test_backup_replies_for_a_failed_home (void)
{
  struct kq_test_router t = kq_test_router_create ("e2");
  struct kq_request_event event = { .kind = KQ_REQ_EV_ARRIVE };

  kq_test_router_view (&t, view_of (2, 1));
  event.u.arrive.id = 1000;
  event.u.arrive.keyed = true;
  event.u.arrive.forwarded = true;
  event.u.arrive.claim = true;
  event.u.arrive.key.hash[0] = 9;
  kq_name_set (&event.u.arrive.service, "book");
  kq_request_step (t.router, t.now, &event, t.effects);
  expect_reply (&t, 1000, KQ_OUTCOME_NOT_RUN, 0);
  /* The home has failed: this host is the home now. */
  kq_test_router_view (&t, kq_test_create_view (1, 1000, true, UNLIMITED, ""));
  expect_reply (&t, kq_test_router_arrive (&t, "book", 9), KQ_OUTCOME_UNKNOWN,
                KQ_EREQ_KEY_IN_USE);
  event.kind = KQ_REQ_EV_KEY_RESULT;
  memset (&event.u, 0, sizeof event.u);
  event.u.settle.key.hash[0] = 9;
  event.u.settle.answer = kq_response_create (200, 0);
  kq_request_step (t.router, t.now, &event, t.effects);
  expect_reply (&t, kq_test_router_arrive (&t, "book", 9), KQ_OUTCOME_ANSWERED,
                0);
  kq_test_router_destroy (&t);
}

/* A host that is not the home of a key in its own view refuses the request. */
static void
test_hosts_disagree_about_a_home (void)
{
  struct kq_test_router t = kq_test_router_create ("e2");
  struct kq_request_event event = { .kind = KQ_REQ_EV_ARRIVE };

  kq_test_router_view (&t,
                       kq_test_create_view (1, 1000, false, 0, "10.0.0.1:1"));
  event.u.arrive.id = 1;
  event.u.arrive.keyed = true;
  event.u.arrive.forwarded = true;
  event.u.arrive.homed = true;
  kq_name_set (&event.u.arrive.service, "book");
  kq_request_step (t.router, t.now, &event, t.effects);
  expect_reply (&t, 1, KQ_OUTCOME_NOT_RUN, KQ_EREQ_KEY_HOME);
  kq_test_router_destroy (&t);
}

/* A response that arrives after the caller received "unknown" is stored for a
   repeated request.  */
static void
test_late_response_for_a_key (void)
{
  struct kq_test_router t = create_router (1);
  uint64_t id = kq_test_router_arrive (&t, "book", 5);

  expect_send (&t, id, 0);
  kq_test_router_advance (&t, 2100 * MS);
  expect_reply (&t, id, KQ_OUTCOME_UNKNOWN, KQ_ETIMEDOUT);
  kq_test_router_end (&t, id, 0, KQ_OUTCOME_ANSWERED, 0);
  id = kq_test_router_arrive (&t, "book", 5);
  expect_reply (&t, id, KQ_OUTCOME_ANSWERED, 0);
  kq_test_router_advance (&t, 61 * KQ_USEC_PER_SEC);
  id = kq_test_router_arrive (&t, "book", 5);
  expect_send (&t, id, 0);
  kq_test_router_destroy (&t);
}

static const struct kq_test tests[] = {
  { "repeated keys", test_repeated_keys },
  { "key reused for another request", test_key_reused_for_another_request },
  { "home of a key", test_home_of_a_key },
  { "claims", test_claims },
  { "home forwards without the key", test_home_forwards_without_the_key },
  { "backup replies for a failed home",
    test_backup_replies_for_a_failed_home },
  { "hosts disagree about a home", test_hosts_disagree_about_a_home },
  { "late response for a key", test_late_response_for_a_key },
};

KQ_TEST_MAIN ("request-key", tests)

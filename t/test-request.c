/* The request router in virtual time.  Guards against requests that run beyond
   a worker's slots or without ownership, that run twice, get a wrong outcome
   or overload what is left after a failure.  Requests for service "price" are
   idempotent; those for "book" are not, and are more important.  */
#include <string.h>

#include "base/err.h"
#include "t/kqtest.h"
#include "t/lib-router.h"
#include "t/lib-view.h"
#include "t/router-expect.h"

#define UNLIMITED INT64_MAX
#define MS KQ_USEC_PER_MSEC

static void
test_refusals_without_configuration (void)
{
  struct kq_test_router t = kq_test_router_create ("e1");
  struct kq_view *view = kq_test_create_view (0, 0, true, 0, "");
  uint64_t id = kq_test_router_arrive (&t, "price", 0);

  expect_reply (&t, id, KQ_OUTCOME_NOT_RUN, KQ_ECONFIG_NONE);
  view->revision = 0;
  kq_test_router_view (&t, view);
  id = kq_test_router_arrive (&t, "price", 0);
  expect_reply (&t, id, KQ_OUTCOME_NOT_RUN, KQ_ECONFIG_NONE);
  kq_test_router_view (&t, kq_test_create_view (0, 0, true, 0, ""));
  id = kq_test_router_arrive (&t, "other", 0);
  expect_reply (&t, id, KQ_OUTCOME_NOT_RUN, KQ_EREQ_NO_SERVICE);
  id = kq_test_router_arrive (&t, "price", 0);
  expect_reply (&t, id, KQ_OUTCOME_NOT_RUN, KQ_EREQ_NO_ENDPOINT);
  kq_test_router_destroy (&t);
}

static void
test_attempts_do_not_exceed_slots (void)
{
  struct kq_test_router t = create_router (2);
  struct kq_request_counts counts;
  uint64_t waiting;

  for (uint64_t id = 1; id <= 16; id++)
    {
      kq_test_router_arrive (&t, "price", 0);
      expect_send (&t, id, 0);
    }
  waiting = kq_test_router_arrive (&t, "price", 0);
  expect_no_effect (&t);
  kq_request_get_counts (t.router, t.now, &counts);
  CU_ASSERT_EQUAL (counts.admitted, 16);
  CU_ASSERT_EQUAL (counts.waiting, 1);
  kq_test_router_end (&t, 3, 0, KQ_OUTCOME_ANSWERED, 0);
  expect_reply (&t, 3, KQ_OUTCOME_ANSWERED, 0);
  expect_send (&t, waiting, 0);
  kq_test_router_destroy (&t);
}

/* Each case is one request: the outcomes of its attempts, and the outcome that
   its caller receives.  */
static void
test_outcomes_and_retries (void)
{
  static const struct
  {
    const char *service;
    enum kq_outcome ends[3];
    int count;
    enum kq_outcome reply;
  } cases[] = {
    { "book", { KQ_OUTCOME_ANSWERED }, 1, KQ_OUTCOME_ANSWERED },
    { "book", { KQ_OUTCOME_UNKNOWN }, 1, KQ_OUTCOME_UNKNOWN },
    { "book",
      { KQ_OUTCOME_NOT_RUN, KQ_OUTCOME_ANSWERED },
      2,
      KQ_OUTCOME_ANSWERED },
    { "book",
      { KQ_OUTCOME_NOT_RUN, KQ_OUTCOME_UNKNOWN },
      2,
      KQ_OUTCOME_UNKNOWN },
    { "book",
      { KQ_OUTCOME_NOT_RUN, KQ_OUTCOME_NOT_RUN, KQ_OUTCOME_NOT_RUN },
      3,
      KQ_OUTCOME_NOT_RUN },
    { "price",
      { KQ_OUTCOME_UNKNOWN, KQ_OUTCOME_ANSWERED },
      2,
      KQ_OUTCOME_ANSWERED },
    { "price",
      { KQ_OUTCOME_UNKNOWN, KQ_OUTCOME_NOT_RUN, KQ_OUTCOME_NOT_RUN },
      3,
      KQ_OUTCOME_UNKNOWN },
  };

  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      struct kq_test_router t = create_router (4);
      uint64_t id = kq_test_router_arrive (&t, cases[i].service, 0);
      int err = 0;

      for (int k = 0; k < cases[i].count; k++)
        {
          enum kq_outcome end = cases[i].ends[k];

          err = end == KQ_OUTCOME_ANSWERED ? 0 : KQ_EREQ_CUT;
          expect_send (&t, id, (uint32_t)k);
          kq_test_router_end (&t, id, (uint32_t)k, end, err);
        }
      expect_reply (&t, id, cases[i].reply, err);
      expect_no_effect (&t);
      CU_ASSERT_FALSE (kq_request_busy (t.router));
      kq_test_router_destroy (&t);
    }
}

static void
test_late_and_duplicate_ends (void)
{
  struct kq_test_router t = create_router (1);
  uint64_t first = kq_test_router_arrive (&t, "book", 0);
  uint64_t second = kq_test_router_arrive (&t, "book", 0);

  expect_send (&t, first, 0);
  expect_send (&t, second, 0);
  kq_test_router_advance (&t, 2100 * MS);
  expect_reply (&t, first, KQ_OUTCOME_UNKNOWN, KQ_ETIMEDOUT);
  expect_reply (&t, second, KQ_OUTCOME_UNKNOWN, KQ_ETIMEDOUT);
  /* The slot stays in use until the attempt has ended. */
  kq_test_router_end (&t, second, 0, KQ_OUTCOME_ANSWERED, 0);
  CU_ASSERT_EQUAL (kq_test_router_end (&t, second, 0, KQ_OUTCOME_ANSWERED, 0),
                   KQ_EINVAL);
  expect_no_effect (&t);
  kq_test_router_advance (&t, 2100 * MS);
  CU_ASSERT_EQUAL (kq_test_router_effect (&t).kind, KQ_REQ_FX_CANCEL);
  kq_test_router_end (&t, first, 0, KQ_OUTCOME_UNKNOWN, KQ_ETIMEDOUT);
  CU_ASSERT_FALSE (kq_request_busy (t.router));
  kq_test_router_destroy (&t);
}

static void
test_retry_budget (void)
{
  struct kq_test_router t = create_router (8);
  struct kq_request_counts counts;
  struct kq_request_effect effect;

  for (int i = 0; i < 2000; i++)
    {
      kq_test_router_arrive (&t, "price", 0);
      while ((effect = kq_test_router_effect (&t)).kind != NO_EFFECT)
        if (effect.kind == KQ_REQ_FX_SEND)
          kq_test_router_end (&t, effect.id, effect.attempt,
                              KQ_OUTCOME_UNKNOWN, KQ_ECLOSED);
      kq_test_router_advance (&t, 50 * MS);
    }
  kq_request_get_counts (t.router, t.now, &counts);
  CU_ASSERT_EQUAL (counts.arrived, 2000);
  /* A tenth of the requests, plus the initial budget of ten. */
  CU_ASSERT_TRUE (counts.extra_attempts <= 210);
  CU_ASSERT_TRUE (counts.extra_attempts >= 200);
  kq_test_router_destroy (&t);
}

/* Makes the router learn a service time of 20 ms: with 8 slots it then serves
   400 requests per second.  */
static void
learn_service_time (struct kq_test_router *t)
{
  for (int i = 0; i < 200; i++)
    {
      uint64_t id = kq_test_router_arrive (t, "price", 0);

      kq_test_router_effect (t);
      t->now += 20 * MS;
      kq_test_router_end (t, id, 0, KQ_OUTCOME_ANSWERED, 0);
      kq_test_router_effect (t);
    }
}

static void
test_early_refusal (void)
{
  struct kq_test_router t = create_router (1);
  struct kq_request_effect effect;
  struct kq_request_counts counts;
  uint64_t important;

  learn_service_time (&t);
  for (int i = 0; i < 2000; i++)
    {
      kq_test_router_arrive (&t, "price", 0);
      while ((effect = kq_test_router_effect (&t)).kind != NO_EFFECT)
        if (effect.kind == KQ_REQ_FX_REPLY)
          {
            CU_ASSERT_EQUAL (effect.u.reply.outcome, KQ_OUTCOME_NOT_RUN);
            CU_ASSERT_EQUAL (effect.u.reply.err, KQ_EREQ_OVERLOAD);
          }
    }
  kq_request_get_counts (t.router, t.now, &counts);
  /* A quarter of the deadline of 2 s is enough for 25 rounds of 8 requests. */
  CU_ASSERT_TRUE (counts.waiting > 175);
  CU_ASSERT_TRUE (counts.waiting <= 200);
  /* A more important request goes first. */
  important = kq_test_router_arrive (&t, "book", 0);
  expect_no_effect (&t);
  kq_test_router_end (&t, 201, 0, KQ_OUTCOME_ANSWERED, 0);
  CU_ASSERT_EQUAL (kq_test_router_effect (&t).kind, KQ_REQ_FX_REPLY);
  expect_send (&t, important, 0);
  kq_test_router_destroy (&t);
}

static void
test_queued_request_is_refused_at_deadline (void)
{
  struct kq_test_router t = create_router (1);
  uint64_t waiting;

  for (int i = 0; i < 8; i++)
    {
      kq_test_router_arrive (&t, "book", 0);
      kq_test_router_effect (&t);
    }
  waiting = kq_test_router_arrive (&t, "price", 0);
  t.now += 2000 * MS;
  kq_test_router_advance (&t, 10 * MS);
  for (struct kq_request_effect effect = kq_test_router_effect (&t);
       effect.kind != NO_EFFECT; effect = kq_test_router_effect (&t))
    {
      CU_ASSERT_EQUAL (effect.kind, KQ_REQ_FX_REPLY);
      CU_ASSERT_EQUAL (effect.u.reply.outcome, effect.id == waiting
                                                   ? KQ_OUTCOME_NOT_RUN
                                                   : KQ_OUTCOME_UNKNOWN);
    }
  kq_test_router_destroy (&t);
}

static void
test_ownership_expiry_and_reserved_slots (void)
{
  struct kq_test_router t = kq_test_router_create ("e1");
  struct kq_view *view
      = kq_test_create_view (1, 1000, true, t.now + 100 * MS, "");
  uint64_t id;

  view->workers[0].reserved_slots = 7;
  view->workers[0].reserved_until = t.now + 50 * MS;
  kq_test_router_view (&t, view);
  id = kq_test_router_arrive (&t, "price", 0);
  expect_send (&t, id, 0);
  id = kq_test_router_arrive (&t, "price", 0);
  expect_no_effect (&t);
  kq_test_router_advance (&t, 50 * MS);
  expect_send (&t, id, 0);
  t.now += 50 * MS;
  id = kq_test_router_arrive (&t, "price", 0);
  expect_reply (&t, id, KQ_OUTCOME_NOT_RUN, KQ_EREQ_OVERLOAD);
  kq_test_router_destroy (&t);
}

static void
test_leaving_worker_gets_no_requests (void)
{
  struct kq_test_router t = kq_test_router_create ("e1");
  struct kq_view *view = kq_test_create_view (2, 1000, true, UNLIMITED, "");

  view->workers[0].leaving = true;
  kq_test_router_view (&t, view);
  for (uint64_t id = 1; id <= 8; id++)
    {
      kq_test_router_arrive (&t, "price", 0);
      CU_ASSERT_STRING_EQUAL (expect_send (&t, id, 0).u.send.name.text, "w1");
    }
  kq_test_router_destroy (&t);
}

static struct kq_view *
view_of_peers (void)
{
  static const char *const places[3][3]
      = { { "dakar-sandaga", "dakar", "10.0.0.1:1" },
          { "dakar-pikine", "dakar", "10.0.0.2:1" },
          { "thies-nord", "thies", "10.0.0.3:1" } };
  struct kq_view *view = kq_test_create_view (3, 1000, false, 0, "");

  for (int i = 0; i < 3; i++)
    {
      struct kq_view_worker *worker = &view->workers[2 - i];

      kq_name_set (&worker->owner, places[i][2] + 7);
      kq_name_set (&worker->zone, places[i][0]);
      kq_name_set (&worker->region, places[i][1]);
      strcpy (worker->owner_hop, places[i][2]);
    }
  return view;
}

static void
test_hops_go_to_the_nearest_owner (void)
{
  struct kq_test_router t = kq_test_router_create ("e1");
  struct kq_request_event event = { .kind = KQ_REQ_EV_ARRIVE };
  struct kq_view *view = view_of_peers ();

  for (int i = 0; i < 3; i++)
    kq_name_set (&view->workers[i].owner, "e2");
  kq_test_router_view (&t, view);
  for (int i = 0; i < 24; i++)
    {
      struct kq_request_effect effect;

      kq_test_router_arrive (&t, "price", 0);
      effect = kq_test_router_effect (&t);
      CU_ASSERT_EQUAL (effect.kind, KQ_REQ_FX_HOP);
      CU_ASSERT_EQUAL (effect.u.send.address[7], '1' + i / 8);
    }
  /* A forwarded request is never forwarded again. */
  event.u.arrive.id = 1000;
  event.u.arrive.forwarded = true;
  kq_name_set (&event.u.arrive.service, "price");
  kq_test_router_end (&t, 1, 0, KQ_OUTCOME_ANSWERED, 0);
  expect_reply (&t, 1, KQ_OUTCOME_ANSWERED, 0);
  kq_request_step (t.router, t.now, &event, t.effects);
  CU_ASSERT_EQUAL (kq_test_router_effect (&t).u.reply.outcome,
                   KQ_OUTCOME_NOT_RUN);
  kq_test_router_destroy (&t);
}

/* A host without workers forwards requests while the owner in its own zone has
   failed, but is still in the view, for 3 s.  The next zone must serve all of
   the requests within the retry budget.  */
static void
test_failed_peer_is_avoided (void)
{
  struct kq_test_router t = kq_test_router_create ("e9");
  struct kq_view *view = view_of_peers ();
  struct kq_request_counts counts;
  struct kq_request_effect effect;
  int answered = 0;

  for (int i = 0; i < 3; i++)
    kq_name_set (&view->workers[i].owner, "e2");
  kq_test_router_view (&t, view);
  for (int i = 0; i < 300; i++)
    {
      kq_test_router_arrive (&t, "book", 0);
      while ((effect = kq_test_router_effect (&t)).kind != NO_EFFECT)
        if (effect.kind == KQ_REQ_FX_REPLY)
          answered += effect.u.reply.outcome == KQ_OUTCOME_ANSWERED;
        else
          kq_test_router_end (&t, effect.id, effect.attempt,
                              effect.u.send.address[7] == '1'
                                  ? KQ_OUTCOME_NOT_RUN
                                  : KQ_OUTCOME_ANSWERED,
                              KQ_EREQ_NO_ENDPOINT);
      kq_test_router_advance (&t, 10 * MS);
    }
  kq_request_get_counts (t.router, t.now, &counts);
  CU_ASSERT_EQUAL (answered, 300);
  CU_ASSERT_TRUE (counts.extra_attempts <= 30);
  kq_test_router_destroy (&t);
}

/* An owner without free slots only forwards requests while another owner has
   free slots, or a few to probe whether it has.  */
static void
test_busy_peers_are_avoided (void)
{
  struct kq_test_router t = kq_test_router_create ("e1");
  struct kq_view *view = kq_test_create_view (2, 1000, true, UNLIMITED, "");
  struct kq_request_event event = { .kind = KQ_REQ_EV_END };
  struct kq_request_effect effect;
  int hops = 0;

  view->workers[1].owned = false;
  kq_name_set (&view->workers[1].owner, "e2");
  strcpy (view->workers[1].owner_hop, "10.0.0.2:1");
  kq_test_router_view (&t, view);
  for (uint64_t id = 1; id <= 8; id++)
    {
      kq_test_router_arrive (&t, "price", 0);
      expect_send (&t, id, 0);
    }
  event.u.end.id = kq_test_router_arrive (&t, "price", 0);
  CU_ASSERT_EQUAL (kq_test_router_effect (&t).kind, KQ_REQ_FX_HOP);
  event.u.end.outcome = KQ_OUTCOME_ANSWERED;
  event.u.end.answer = kq_response_create (200, 0);
  event.u.end.has_free = true;
  kq_request_step (t.router, t.now, &event, t.effects);
  CU_ASSERT_EQUAL (kq_test_router_effect (&t).kind, KQ_REQ_FX_REPLY);
  kq_test_router_arrive (&t, "price", 0);
  expect_no_effect (&t);
  t.now += 101 * MS;
  for (int i = 0; i < 20; i++)
    {
      kq_test_router_arrive (&t, "price", 0);
      effect = kq_test_router_effect (&t);
      hops += effect.kind == KQ_REQ_FX_HOP;
    }
  CU_ASSERT_EQUAL (hops, 4);
  kq_test_router_destroy (&t);
}

static void
test_stall_is_attributed_to_connections (void)
{
  struct kq_test_router t = create_router (1);
  struct kq_request_counts counts;
  uint64_t id = kq_test_router_arrive (&t, "book", 0);

  CU_ASSERT_TRUE (expect_send (&t, id, 0).u.send.max_age < 0);
  kq_test_router_advance (&t, 300 * MS);
  kq_request_get_counts (t.router, t.now, &counts);
  CU_ASSERT_EQUAL (counts.suspected, 1);
  id = kq_test_router_arrive (&t, "book", 0);
  CU_ASSERT_EQUAL (expect_send (&t, id, 0).u.send.max_age, 300 * MS);
  CU_ASSERT_EQUAL (counts.ejected, 0);
  /* By now the earlier connections are too old to be reused. */
  kq_test_router_end (&t, id, 0, KQ_OUTCOME_ANSWERED, 0);
  t.now += KQ_REQUEST_CONNECTION_AGE_US;
  id = kq_test_router_arrive (&t, "book", 0);
  kq_test_router_effect (&t);
  CU_ASSERT_TRUE (expect_send (&t, id, 0).u.send.max_age < 0);
  kq_test_router_destroy (&t);
}

/* Three consecutive failures, or three stalls of new connections, eject an
   endpoint, but at most half of the endpoints are ejected.  */
static void
test_outliers_are_ejected (void)
{
  struct kq_test_router t = create_router (4);
  struct kq_request_effect effect;
  struct kq_request_counts counts;
  int sent_to_failing = 0;

  for (int i = 0; i < 400; i++)
    {
      kq_test_router_arrive (&t, "book", 0);
      while ((effect = kq_test_router_effect (&t)).kind != NO_EFFECT)
        {
          bool failing = effect.u.send.name.text[1] != '3';

          if (effect.kind != KQ_REQ_FX_SEND)
            continue;
          sent_to_failing += failing;
          kq_test_router_end (&t, effect.id, effect.attempt,
                              failing ? KQ_OUTCOME_UNKNOWN
                                      : KQ_OUTCOME_ANSWERED,
                              failing ? KQ_ECLOSED : 0);
        }
      t.now += MS;
    }
  kq_request_get_counts (t.router, t.now, &counts);
  CU_ASSERT_EQUAL (counts.ejected, 2);
  /* The third failing endpoint must not be ejected too. */
  CU_ASSERT_TRUE (sent_to_failing > 100 && sent_to_failing < 250);
  kq_test_router_destroy (&t);
}

static void
test_hedge_of_a_stalled_request (void)
{
  struct kq_test_router t = create_router (2);
  uint64_t id = kq_test_router_arrive (&t, "price", 0);
  struct kq_request_effect first = expect_send (&t, id, 0);
  struct kq_request_effect second;

  kq_test_router_advance (&t, 300 * MS);
  second = expect_send (&t, id, 1);
  CU_ASSERT_STRING_NOT_EQUAL (first.u.send.name.text, second.u.send.name.text);
  kq_test_router_end (&t, id, 1, KQ_OUTCOME_ANSWERED, 0);
  expect_reply (&t, id, KQ_OUTCOME_ANSWERED, 0);
  kq_test_router_end (&t, id, 0, KQ_OUTCOME_ANSWERED, 0);
  expect_no_effect (&t);
  CU_ASSERT_FALSE (kq_request_busy (t.router));
  kq_test_router_destroy (&t);
}

static void
test_caller_disconnects (void)
{
  struct kq_test_router t = create_router (1);
  struct kq_request_event event = { .kind = KQ_REQ_EV_DISCONNECT };

  for (int i = 0; i < 9; i++)
    {
      kq_test_router_arrive (&t, "price", 0);
      kq_test_router_effect (&t);
    }
  event.u.disconnected_id = 9;
  kq_request_step (t.router, t.now, &event, t.effects);
  expect_reply (&t, 9, KQ_OUTCOME_NOT_RUN, KQ_ECLOSED);
  event.u.disconnected_id = 1;
  kq_request_step (t.router, t.now, &event, t.effects);
  expect_reply (&t, 1, KQ_OUTCOME_UNKNOWN, KQ_ECLOSED);
  kq_test_router_end (&t, 1, 0, KQ_OUTCOME_ANSWERED, 0);
  expect_no_effect (&t);
  kq_test_router_destroy (&t);
}

static void
test_caller_of_a_forwarded_request_disconnects (void)
{
  struct kq_test_router t = kq_test_router_create ("e2");
  struct kq_request_event event
      = { .kind = KQ_REQ_EV_DISCONNECT, .u.disconnected_id = 1 };

  kq_test_router_view (&t,
                       kq_test_create_view (1, 1000, false, 0, "10.0.0.1:1"));
  kq_test_router_arrive (&t, "price", 0);
  CU_ASSERT_EQUAL (kq_test_router_effect (&t).kind, KQ_REQ_FX_HOP);
  kq_request_step (t.router, t.now, &event, t.effects);
  CU_ASSERT_EQUAL (kq_test_router_effect (&t).kind, KQ_REQ_FX_CANCEL);
  expect_reply (&t, 1, KQ_OUTCOME_UNKNOWN, KQ_ECLOSED);
  kq_test_router_end (&t, 1, 0, KQ_OUTCOME_UNKNOWN, KQ_ETIMEDOUT);
  CU_ASSERT_FALSE (kq_request_busy (t.router));
  kq_test_router_destroy (&t);
}

static const struct kq_test tests[] = {
  { "refusals without configuration", test_refusals_without_configuration },
  { "attempts in flight do not exceed slots",
    test_attempts_do_not_exceed_slots },
  { "outcomes and retries", test_outcomes_and_retries },
  { "late and duplicate ends", test_late_and_duplicate_ends },
  { "retry budget", test_retry_budget },
  { "early refusal", test_early_refusal },
  { "queued request is refused at its deadline",
    test_queued_request_is_refused_at_deadline },
  { "ownership expiry and reserved slots",
    test_ownership_expiry_and_reserved_slots },
  { "leaving worker gets no requests", test_leaving_worker_gets_no_requests },
  { "hops go to the nearest owner", test_hops_go_to_the_nearest_owner },
  { "failed peer is avoided", test_failed_peer_is_avoided },
  { "busy peers are avoided", test_busy_peers_are_avoided },
  { "stall is attributed to connections",
    test_stall_is_attributed_to_connections },
  { "outliers are ejected", test_outliers_are_ejected },
  { "hedge of a stalled request", test_hedge_of_a_stalled_request },
  { "caller disconnects", test_caller_disconnects },
  { "caller of a forwarded request disconnects",
    test_caller_of_a_forwarded_request_disconnects },
};

KQ_TEST_MAIN ("request", tests)

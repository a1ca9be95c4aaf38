/** @file
 * Checks of the next effect of a router under test.
 */
#ifndef KQ_T_ROUTER_EXPECT_H
#define KQ_T_ROUTER_EXPECT_H

#include "t/kqtest.h"
#include "t/lib-router.h"
#include "t/lib-view.h"

#define NO_EFFECT ((enum kq_request_effect_kind) - 1)

/* The next effect is a reply with OUTCOME and ERR. */
static inline void
expect_reply (struct kq_test_router *t, uint64_t id, enum kq_outcome outcome,
              int err)
{
  struct kq_request_effect effect = kq_test_router_effect (t);

  CU_ASSERT_EQUAL (effect.kind, KQ_REQ_FX_REPLY);
  CU_ASSERT_EQUAL (effect.id, id);
  CU_ASSERT_EQUAL (effect.u.reply.outcome, outcome);
  CU_ASSERT_EQUAL (effect.u.reply.err, err);
}

/* The next effect sends attempt ATTEMPT of request ID to an endpoint. */
static inline struct kq_request_effect
expect_send (struct kq_test_router *t, uint64_t id, uint32_t attempt)
{
  struct kq_request_effect effect = kq_test_router_effect (t);

  CU_ASSERT_EQUAL (effect.kind, KQ_REQ_FX_SEND);
  CU_ASSERT_EQUAL (effect.id, id);
  CU_ASSERT_EQUAL (effect.attempt, attempt);
  return effect;
}

/* No effect is left, apart from KQ_REQ_FX_CONNECT. */
static inline void
expect_no_effect (struct kq_test_router *t)
{
  CU_ASSERT_EQUAL (kq_test_router_effect (t).kind, NO_EFFECT);
}

/* Creates the router of host e1, which owns WORKERS workers. */
static inline struct kq_test_router
create_router (int workers)
{
  struct kq_test_router t = kq_test_router_create ("e1");

  kq_test_router_view (
      &t, kq_test_create_view (workers, 1000, true, INT64_MAX, ""));
  return t;
}

#endif

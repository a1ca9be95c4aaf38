#include "t/lib-router.h"

#include "t/lib-view.h"

struct kq_test_router
kq_test_router_create (const char *host)
{
  struct kq_request_settings settings = { .queue_limit = 0 };
  struct kq_test_router t = { .now = KQ_USEC_PER_SEC };

  kq_request_settings_default (&settings);
  kq_name_set (&settings.host, host);
  kq_name_set (&settings.zone, "dakar-sandaga");
  kq_name_set (&settings.region, "dakar");
  t.router = kq_request_create (&settings);
  t.effects = kq_request_effects_create ();
  return t;
}

void
kq_test_router_destroy (struct kq_test_router *t)
{
  kq_request_effects_destroy (t->effects);
  kq_request_destroy (t->router);
}

void
kq_test_router_view (struct kq_test_router *t, struct kq_view *view)
{
  struct kq_request_event event = { .kind = KQ_REQ_EV_VIEW, .u.view = view };

  kq_request_step (t->router, t->now, &event, t->effects);
  kq_view_free (view);
}

uint64_t
kq_test_router_arrive (struct kq_test_router *t, const char *service,
                       uint64_t key)
{
  struct kq_request_event event = { .kind = KQ_REQ_EV_ARRIVE };

  event.u.arrive.id = ++t->last_id;
  event.u.arrive.importance = -1;
  event.u.arrive.keyed = key != 0;
  event.u.arrive.key.hash[0] = key;
  kq_name_set (&event.u.arrive.service, service);
  kq_request_step (t->router, t->now, &event, t->effects);
  return t->last_id;
}

int
kq_test_router_end (struct kq_test_router *t, uint64_t id, uint32_t attempt,
                    enum kq_outcome outcome, int err)
{
  struct kq_request_event event = { .kind = KQ_REQ_EV_END };

  event.u.end.id = id;
  event.u.end.attempt = attempt;
  event.u.end.outcome = outcome;
  event.u.end.err = err;
  if (outcome == KQ_OUTCOME_ANSWERED)
    event.u.end.answer = kq_response_create (200, 0);
  return kq_request_step (t->router, t->now, &event, t->effects);
}

void
kq_test_router_advance (struct kq_test_router *t, kq_usec after)
{
  struct kq_request_event event = { .kind = KQ_REQ_EV_TICK };

  for (kq_usec end = t->now + after; t->now < end;)
    {
      t->now += KQ_REQUEST_TICK_US;
      kq_request_step (t->router, t->now, &event, t->effects);
    }
}

struct kq_request_effect
kq_test_router_any_effect (struct kq_test_router *t)
{
  struct kq_request_effect effect
      = { .kind = (enum kq_request_effect_kind) - 1 };

  if (!kq_request_effects_pop (t->effects, &effect))
    return effect;
  if (effect.kind == KQ_REQ_FX_REPLY)
    kq_response_unref (effect.u.reply.answer);
  if (effect.kind == KQ_REQ_FX_KEY_RESULT)
    kq_response_unref (effect.u.settle.key_result.answer);
  return effect;
}

struct kq_request_effect
kq_test_router_effect (struct kq_test_router *t)
{
  struct kq_request_effect effect = kq_test_router_any_effect (t);

  while (effect.kind == KQ_REQ_FX_CONNECT)
    effect = kq_test_router_any_effect (t);
  return effect;
}

#include <stdlib.h>
#include <string.h>

#include "base/err.h"
#include "request/router.h"

/** Price of one added request, in thousandths; see kq_request_router. */
#define ADDED_COST INT64_C (1000)
/** A request waits at most this part of its deadline: 1 / 4. */
#define WAIT_PART 4
/** Longer than any wait. */
#define FOREVER (INT64_MAX / 4)

/** Wait in the own queue that is preferred to a hop of each range: about
 *  one round trip.  */
static const kq_usec hop_cost[KQ_RANGE_COUNT] = {
  [KQ_RANGE_ZONE] = 0,
  [KQ_RANGE_REGION] = 2 * KQ_USEC_PER_MSEC,
  [KQ_RANGE_FAR] = 16 * KQ_USEC_PER_MSEC,
};

static void
emit_send (struct kq_step *step, struct kq_request *request,
           enum kq_request_effect_kind kind, const struct kq_name *name,
           const char *address, kq_usec max_age)
{
  struct kq_request_effect effect = { .kind = kind, .id = request->id };

  effect.attempt = request->attempt_count - 1;
  effect.u.send.name = *name;
  memcpy (effect.u.send.address, address, KQ_REQUEST_ADDRESS_SIZE);
  effect.u.send.deadline = request->deadline;
  effect.u.send.importance = request->importance;
  effect.u.send.max_age = max_age;
  effect.u.send.homed = request->homed;
  effect.u.send.claim = request->attempts[effect.attempt].claim;
  effect.u.send.keyed = request->key == NULL || effect.u.send.claim;
  kq_request_effects_put (step->out, &effect);
}

static struct kq_attempt *
new_attempt (struct kq_step *step, struct kq_request *request)
{
  struct kq_attempt *attempt = &request->attempts[request->attempt_count++];

  memset (attempt, 0, sizeof *attempt);
  attempt->live = true;
  attempt->sent_at = step->now;
  return attempt;
}

static void
send_to_worker (struct kq_step *step, struct kq_request *request,
                struct kq_pool_worker *worker)
{
  struct kq_attempt *attempt = new_attempt (step, request);
  kq_usec max_age = -1;

  kq_pool_admit (worker, step->now);
  step->router->counts.admitted++;
  attempt->worker = worker;
  if (step->now - worker->suspect_before > KQ_REQUEST_CONNECTION_AGE)
    worker->suspect_before = 0;
  if (worker->suspect_before != 0)
    max_age = step->now - worker->suspect_before;
  attempt->fresh = worker->suspect_before != 0;
  emit_send (step, request, KQ_REQ_FX_SEND, &worker->view.name,
             worker->view.endpoint, max_age);
}

static void
send_to_peer (struct kq_step *step, struct kq_request *request,
              struct kq_pool_peer *peer, bool claim)
{
  struct kq_attempt *attempt = new_attempt (step, request);

  peer->sent++;
  if (!claim)
    peer->free--;
  attempt->claim = claim;
  attempt->peer = peer;
  emit_send (step, request, KQ_REQ_FX_HOP, &peer->name, peer->address, -1);
}

/* What the last attempt failed on is avoided by the next one. */
static const struct kq_attempt *
last_attempt (const struct kq_request *request)
{
  static const struct kq_attempt none;

  if (request->attempt_count == 0
      || request->attempts[request->attempt_count - 1].claim)
    return &none;
  return &request->attempts[request->attempt_count - 1];
}

/* Time that REQUEST would wait, at the pace of late.  A request that was
   forwarded waits for own workers alone.  */
static kq_usec
estimate_wait (const struct kq_step *step, const struct kq_request *request)
{
  const struct kq_request_router *router = step->router;
  struct kq_pool_filter filter = kq_request_filter (router, request);
  int64_t slots = kq_pool_all_slots (&router->pool, step->now, &filter);
  int64_t ahead
      = (int64_t)kq_queue_ahead (&router->queue, request->importance);

  if (slots == 0 && !request->forwarded)
    slots = kq_pool_peer_slots (&router->pool, &filter);
  if (slots == 0)
    return FOREVER;
  return (ahead + 1) * router->service_time / slots;
}

static bool
send_to_own (struct kq_step *step, struct kq_request *request)
{
  struct kq_pool_filter filter = kq_request_filter (step->router, request);
  struct kq_pool_worker *worker = kq_pool_pick (
      &step->router->pool, step->now, &filter, last_attempt (request)->worker);

  if (worker == NULL)
    return false;
  send_to_worker (step, request, worker);
  return true;
}

/* A hop further than WAIT isn't worth it.  What was forwarded once isn't
   forwarded again.  */
static bool
send_to_any_peer (struct kq_step *step, struct kq_request *request,
                  kq_usec wait, bool full)
{
  struct kq_pool_filter filter = kq_request_filter (step->router, request);

  if (request->forwarded)
    return false;
  for (int range = KQ_RANGE_ZONE; range < KQ_RANGE_COUNT; range++)
    {
      struct kq_pool_peer *peer;

      if (wait < hop_cost[range])
        return false;
      peer = kq_pool_pick_peer (&step->router->pool, step->now,
                                (enum kq_pool_range)range, &filter,
                                last_attempt (request)->peer, full);
      if (peer != NULL)
        {
          send_to_peer (step, request, peer, false);
          return true;
        }
    }
  return false;
}

/* Without own workers a queue elsewhere is better than one here. */
static bool
send_without_own (struct kq_step *step, struct kq_request *request)
{
  struct kq_pool_filter filter = kq_request_filter (step->router, request);

  return kq_pool_all_slots (&step->router->pool, step->now, &filter) == 0
         && (send_to_any_peer (step, request, FOREVER, false)
             || send_to_any_peer (step, request, FOREVER, true));
}

static void
refuse (struct kq_step *step, struct kq_request *request, int err)
{
  enum kq_outcome outcome
      = request->maybe_run ? KQ_OUTCOME_UNKNOWN : KQ_OUTCOME_NOT_RUN;

  kq_request_finish (step, request, outcome, err, NULL);
}

static int
refusal_of (const struct kq_step *step, const struct kq_request *request)
{
  const struct kq_pool *pool = &step->router->pool;

  if (request->err != 0)
    return request->err;
  if (pool->owned_count == 0 && pool->peers == NULL)
    return KQ_EREQ_NO_ENDPOINT;
  return KQ_EREQ_OVERLOAD;
}

/* A queue that takes up most of the deadline answers no more requests than
   a short one when the load persists, only later.  */
static bool
too_long (const struct kq_step *step, const struct kq_request *request,
          kq_usec wait)
{
  kq_usec left = request->deadline - step->now;

  return wait > left / WAIT_PART || wait + step->router->service_time > left;
}

static void
wait_in_queue (struct kq_step *step, struct kq_request *request, kq_usec wait)
{
  struct kq_request_router *router = step->router;
  struct kq_request *last;

  if (too_long (step, request, wait))
    {
      refuse (step, request, refusal_of (step, request));
      return;
    }
  if (router->queue.count >= router->settings.queue_limit)
    {
      last = kq_queue_last (&router->queue);
      if (last == NULL || last->importance >= request->importance)
        {
          refuse (step, request, KQ_EREQ_OVERLOAD);
          return;
        }
      kq_queue_remove (&router->queue, last);
      refuse (step, last, KQ_EREQ_OVERLOAD);
    }
  kq_queue_add (&router->queue, request);
}

void
kq_route_home (struct kq_step *step, struct kq_request *request,
               struct kq_pool_peer *peer)
{
  request->homed = true;
  send_to_peer (step, request, peer, false);
}

bool
kq_route_claim (struct kq_step *step, struct kq_request *request)
{
  struct kq_pool_peer *heir
      = kq_pool_heir (&step->router->pool, &request->key->key);

  if (heir == NULL)
    return false;
  memcpy (request->heir, heir->address, sizeof request->heir);
  send_to_peer (step, request, heir, true);
  return true;
}

void
kq_route_place (struct kq_step *step, struct kq_request *request)
{
  kq_usec wait;

  /* Whoever waits was there before, unless this one is more important. */
  if (kq_queue_ahead (&step->router->queue, request->importance) == 0
      && send_to_own (step, request))
    return;
  wait = estimate_wait (step, request);
  if (send_to_any_peer (step, request, wait, false)
      || send_without_own (step, request))
    return;
  wait_in_queue (step, request, wait);
}

/* The worker that failed is better than none. */
static bool
send_to_same (struct kq_step *step, struct kq_request *request)
{
  struct kq_pool_filter filter = kq_request_filter (step->router, request);
  struct kq_pool_worker *worker
      = kq_pool_pick (&step->router->pool, step->now, &filter, NULL);

  if (worker == NULL)
    return false;
  send_to_worker (step, request, worker);
  return true;
}

/* An attempt that is still there isn't joined by another at its worker. */
static bool
send_elsewhere (struct kq_step *step, struct kq_request *request)
{
  if (send_to_own (step, request)
      || send_to_any_peer (step, request, FOREVER, false)
      || send_without_own (step, request))
    return true;
  return !kq_request_live (request) && send_to_same (step, request);
}

static bool
may_add (const struct kq_step *step, const struct kq_request *request)
{
  const struct kq_request_router *router = step->router;

  return !request->forwarded && !request->homed
         && request->attempt_count
                < KQ_REQUEST_TRIES + (request->attempts[0].claim ? 1 : 0)
         && router->budget_milli >= ADDED_COST
         && step->now + router->service_time <= request->deadline;
}

static void
count_added (struct kq_request_router *router)
{
  router->budget_milli -= ADDED_COST;
  router->counts.added++;
}

bool
kq_route_again (struct kq_step *step, struct kq_request *request)
{
  if (!may_add (step, request) || !send_elsewhere (step, request))
    return false;
  count_added (step->router);
  return true;
}

bool
kq_route_wait (struct kq_step *step, struct kq_request *request)
{
  struct kq_request_router *router = step->router;
  kq_usec wait = estimate_wait (step, request);

  if (!may_add (step, request)
      || router->queue.count >= router->settings.queue_limit
      || too_long (step, request, wait))
    return false;
  count_added (router);
  kq_queue_add (&router->queue, request);
  return true;
}

void
kq_route_drain (struct kq_step *step)
{
  struct kq_request_router *router = step->router;
  struct kq_request *request = kq_queue_first (&router->queue);
  struct kq_request *next;

  for (; request != NULL; request = next)
    {
      bool late = step->now + router->service_time > request->deadline;

      next = kq_queue_next (&router->queue, request);
      if (late)
        {
          kq_queue_remove (&router->queue, request);
          refuse (step, request, KQ_EREQ_OVERLOAD);
        }
      else if (send_to_own (step, request) || send_to_same (step, request)
               || send_without_own (step, request))
        kq_queue_remove (&router->queue, request);
      /* Other services may have other workers. */
      else if (kq_request_filter (router, request).count == 0)
        return;
    }
}

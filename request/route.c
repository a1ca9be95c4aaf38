#include <stdlib.h>
#include <string.h>

#include "base/err.h"
#include "request/router.h"

/** Cost of a retry or hedge in thousandths, taken from the retry budget of
 *  struct kq_request_router.  */
#define RETRY_COST_MILLI INT64_C (1000)
/** A request is queued for at most 1 / 4 of the time until its deadline. */
#define MAX_WAIT_DIVISOR 4
/** Longer than any wait; adding a time to it does not overflow. */
#define UNLIMITED_WAIT (INT64_MAX / 4)

/** Minimum wait in the own queue that justifies a hop over each distance:
 *  about one round trip.  */
static const kq_usec hop_min_wait[KQ_DISTANCE_COUNT] = {
  [KQ_DISTANCE_ZONE] = 0,
  [KQ_DISTANCE_REGION] = 2 * KQ_USEC_PER_MSEC,
  [KQ_DISTANCE_REMOTE] = 16 * KQ_USEC_PER_MSEC,
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
  kq_request_effects_push (step->out, &effect);
}

static struct kq_attempt *
add_attempt (struct kq_step *step, struct kq_request *request)
{
  struct kq_attempt *attempt = &request->attempts[request->attempt_count++];

  memset (attempt, 0, sizeof *attempt);
  attempt->in_flight = true;
  attempt->sent_at = step->now;
  return attempt;
}

static void
send_to_worker (struct kq_step *step, struct kq_request *request,
                struct kq_pool_worker *worker)
{
  struct kq_attempt *attempt = add_attempt (step, request);
  kq_usec max_age = -1;

  kq_pool_admit (worker, step->now);
  step->router->counts.admitted++;
  attempt->worker = worker;
  if (step->now - worker->suspect_before > KQ_REQUEST_CONNECTION_AGE_US)
    worker->suspect_before = 0;
  if (worker->suspect_before != 0)
    max_age = step->now - worker->suspect_before;
  attempt->needs_new_connection = worker->suspect_before != 0;
  emit_send (step, request, KQ_REQ_FX_SEND, &worker->view.name,
             worker->view.endpoint, max_age);
}

static void
send_to_peer (struct kq_step *step, struct kq_request *request,
              struct kq_pool_peer *peer, bool claim)
{
  struct kq_attempt *attempt = add_attempt (step, request);

  peer->in_flight++;
  if (!claim)
    peer->free--;
  attempt->claim = claim;
  attempt->peer = peer;
  emit_send (step, request, KQ_REQ_FX_HOP, &peer->name, peer->address, -1);
}

/* Returns the last attempt, so that the next one avoids its worker or peer; an
   empty one if there is none or it was a claim.  */
static const struct kq_attempt *
last_attempt (const struct kq_request *request)
{
  static const struct kq_attempt none;

  if (request->attempt_count == 0
      || request->attempts[request->attempt_count - 1].claim)
    return &none;
  return &request->attempts[request->attempt_count - 1];
}

/* Estimates from recent service times how long REQUEST would be queued.  A
   forwarded request only waits for own workers.  */
static kq_usec
estimate_wait (const struct kq_step *step, const struct kq_request *request)
{
  const struct kq_request_router *router = step->router;
  struct kq_pool_filter filter = kq_request_filter (router, request);
  int64_t slots = kq_pool_own_slots (&router->pool, step->now, &filter);
  int64_t count_ahead
      = (int64_t)kq_queue_count_ahead (&router->queue, request->importance);

  if (slots == 0 && !request->forwarded)
    slots = kq_pool_peer_slots (&router->pool, &filter);
  if (slots == 0)
    return UNLIMITED_WAIT;
  return (count_ahead + 1) * router->service_time / slots;
}

static bool
send_to_own (struct kq_step *step, struct kq_request *request)
{
  struct kq_pool_filter filter = kq_request_filter (step->router, request);
  struct kq_pool_worker *worker = kq_pool_pick_worker (
      &step->router->pool, step->now, &filter, last_attempt (request)->worker);

  if (worker == NULL)
    return false;
  send_to_worker (step, request, worker);
  return true;
}

/* Sends REQUEST to another entry host, the nearest first, if the hop costs at
   most WAIT, the time in the own queue.  A request is forwarded only once.  */
static bool
forward_to_nearest (struct kq_step *step, struct kq_request *request,
                    kq_usec wait, bool allow_full)
{
  struct kq_pool_filter filter = kq_request_filter (step->router, request);

  if (request->forwarded)
    return false;
  for (int distance = KQ_DISTANCE_ZONE; distance < KQ_DISTANCE_COUNT;
       distance++)
    {
      struct kq_pool_peer *peer;

      if (wait < hop_min_wait[distance])
        return false;
      peer = kq_pool_pick_peer (&step->router->pool, step->now,
                                (enum kq_pool_distance)distance, &filter,
                                last_attempt (request)->peer, allow_full);
      if (peer != NULL)
        {
          send_to_peer (step, request, peer, false);
          return true;
        }
    }
  return false;
}

/* Without slots of its own workers this host forwards REQUEST even to an entry
   host that must queue it, instead of queueing it here.  */
static bool
forward_without_own_slots (struct kq_step *step, struct kq_request *request)
{
  struct kq_pool_filter filter = kq_request_filter (step->router, request);

  return kq_pool_own_slots (&step->router->pool, step->now, &filter) == 0
         && (forward_to_nearest (step, request, UNLIMITED_WAIT, false)
             || forward_to_nearest (step, request, UNLIMITED_WAIT, true));
}

static void
refuse (struct kq_step *step, struct kq_request *request, int err)
{
  enum kq_outcome outcome
      = request->may_have_run ? KQ_OUTCOME_UNKNOWN : KQ_OUTCOME_NOT_RUN;

  kq_request_finish (step, request, outcome, err, NULL);
}

static int
refusal_error (const struct kq_step *step, const struct kq_request *request)
{
  const struct kq_pool *pool = &step->router->pool;

  if (request->err != 0)
    return request->err;
  if (pool->owned_count == 0 && pool->peers == NULL)
    return KQ_EREQ_NO_ENDPOINT;
  return KQ_EREQ_OVERLOAD;
}

/* If the load persists, a queue that uses up most of the deadline does not
   answer more requests than a short one, but answers them later.  */
static bool
is_wait_too_long (const struct kq_step *step, const struct kq_request *request,
                  kq_usec wait)
{
  kq_usec remaining = request->deadline - step->now;

  return wait > remaining / MAX_WAIT_DIVISOR
         || wait + step->router->service_time > remaining;
}

static void
enqueue_or_refuse (struct kq_step *step, struct kq_request *request,
                   kq_usec wait)
{
  struct kq_request_router *router = step->router;
  struct kq_request *last;

  if (is_wait_too_long (step, request, wait))
    {
      refuse (step, request, refusal_error (step, request));
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
kq_route_to_key_home (struct kq_step *step, struct kq_request *request,
                      struct kq_pool_peer *peer)
{
  request->homed = true;
  send_to_peer (step, request, peer, false);
}

bool
kq_route_claim_key (struct kq_step *step, struct kq_request *request)
{
  struct kq_pool_peer *backup
      = kq_pool_find_key_backup (&step->router->pool, &request->key->key);

  if (backup == NULL)
    return false;
  memcpy (request->backup_address, backup->address,
          sizeof request->backup_address);
  send_to_peer (step, request, backup, true);
  return true;
}

void
kq_route_dispatch (struct kq_step *step, struct kq_request *request)
{
  kq_usec wait;

  /* Queued requests of the same or a higher importance go first. */
  if (kq_queue_count_ahead (&step->router->queue, request->importance) == 0
      && send_to_own (step, request))
    return;
  wait = estimate_wait (step, request);
  if (forward_to_nearest (step, request, wait, false)
      || forward_without_own_slots (step, request))
    return;
  enqueue_or_refuse (step, request, wait);
}

/* Sends REQUEST to any own worker with a free slot, including the one that the
   last attempt failed at: it is better than none.  */
static bool
send_to_any_own (struct kq_step *step, struct kq_request *request)
{
  struct kq_pool_filter filter = kq_request_filter (step->router, request);
  struct kq_pool_worker *worker
      = kq_pool_pick_worker (&step->router->pool, step->now, &filter, NULL);

  if (worker == NULL)
    return false;
  send_to_worker (step, request, worker);
  return true;
}

/* Sends a further attempt of REQUEST.  Uses the worker of the last attempt
   only if no attempt is in flight.  */
static bool
send_further_attempt (struct kq_step *step, struct kq_request *request)
{
  if (send_to_own (step, request)
      || forward_to_nearest (step, request, UNLIMITED_WAIT, false)
      || forward_without_own_slots (step, request))
    return true;
  return !kq_request_is_in_flight (request) && send_to_any_own (step, request);
}

static bool
may_retry (const struct kq_step *step, const struct kq_request *request)
{
  const struct kq_request_router *router = step->router;

  return !request->forwarded && !request->homed
         && request->attempt_count
                < KQ_REQUEST_MAX_RUNS + (request->attempts[0].claim ? 1 : 0)
         && router->retry_budget_milli >= RETRY_COST_MILLI
         && step->now + router->service_time <= request->deadline;
}

static void
spend_retry_budget (struct kq_request_router *router)
{
  router->retry_budget_milli -= RETRY_COST_MILLI;
  router->counts.extra_attempts++;
}

bool
kq_route_retry (struct kq_step *step, struct kq_request *request)
{
  if (!may_retry (step, request) || !send_further_attempt (step, request))
    return false;
  spend_retry_budget (step->router);
  return true;
}

bool
kq_route_requeue (struct kq_step *step, struct kq_request *request)
{
  struct kq_request_router *router = step->router;
  kq_usec wait = estimate_wait (step, request);

  if (!may_retry (step, request)
      || router->queue.count >= router->settings.queue_limit
      || is_wait_too_long (step, request, wait))
    return false;
  spend_retry_budget (router);
  kq_queue_add (&router->queue, request);
  return true;
}

void
kq_route_dispatch_queued (struct kq_step *step)
{
  struct kq_request_router *router = step->router;
  struct kq_request *request = kq_queue_first (&router->queue);
  struct kq_request *next;

  for (; request != NULL; request = next)
    {
      bool misses_deadline
          = step->now + router->service_time > request->deadline;

      next = kq_queue_next (&router->queue, request);
      if (misses_deadline)
        {
          kq_queue_remove (&router->queue, request);
          refuse (step, request, KQ_EREQ_OVERLOAD);
        }
      else if (send_to_own (step, request) || send_to_any_own (step, request)
               || forward_without_own_slots (step, request))
        kq_queue_remove (&router->queue, request);
      /* If this request may use any worker, no request can be sent now.
         Otherwise those of other services may have other workers.  */
      else if (kq_request_filter (router, request).count == 0)
        return;
    }
}

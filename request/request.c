#include "request/request.h"

#include <stdlib.h>
#include <string.h>

#include "base/err.h"
#include "request/router.h"

/** What each request adds to the budget of added ones: a tenth of one. */
#define BUDGET_PER_REQUEST INT64_C (100)
/** Budget at the start and at most, in thousandths of a request. */
#define BUDGET_FIRST INT64_C (10000)
#define BUDGET_LIMIT INT64_C (100000)
/** Deadline of a service whose configuration names none. */
#define DEFAULT_DEADLINE (10 * KQ_USEC_PER_SEC)
/** How long a worker that was full gets no request. */
#define FULL_TIME (20 * KQ_USEC_PER_MSEC)
/** Most time for another host to remember a key. */
#define CLAIM_TIME (200 * KQ_USEC_PER_MSEC)
/** A stall is this many times the mean time of an answer. */
#define STALL_FACTOR 8
/** Weight of one answer in the mean: 1 / 16. */
#define MEAN_WEIGHT 16

void
kq_request_settings_default (struct kq_request_settings *settings)
{
  settings->queue_limit = 1024;
  settings->key_limit = 65536;
  settings->key_bytes = (size_t)16 * 1024 * 1024;
  settings->key_ttl = 60 * KQ_USEC_PER_SEC;
  settings->linger = 2 * KQ_USEC_PER_SEC;
  settings->stall = 250 * KQ_USEC_PER_MSEC;
}

struct kq_request_router *
kq_request_create (const struct kq_request_settings *settings)
{
  struct kq_request_router *router = calloc (1, sizeof *router);

  if (router == NULL)
    return NULL;
  router->settings = *settings;
  router->budget_milli = BUDGET_FIRST;
  return router;
}

static void
free_services (struct kq_request_router *router)
{
  struct kq_service *service = router->services;
  struct kq_service *next;

  HASH_CLEAR (hh, router->services);
  for (; service != NULL; service = next)
    {
      next = service->hh.next;
      free (service->view.workers);
      free (service);
    }
}

void
kq_request_destroy (struct kq_request_router *router)
{
  struct kq_request *request;
  struct kq_request *next;

  if (router == NULL)
    return;
  request = router->requests;
  HASH_CLEAR (hh, router->requests);
  for (; request != NULL; request = next)
    {
      next = request->hh.next;
      free (request);
    }
  free_services (router);
  kq_pool_clear (&router->pool);
  kq_key_clear (&router->keys);
  free (router);
}

bool
kq_request_live (const struct kq_request *request)
{
  for (uint32_t i = 0; i < request->attempt_count; i++)
    if (request->attempts[i].live)
      return true;
  return false;
}

/* Tells the host that remembers the key, too. */
static void
emit_settle (struct kq_step *step, const struct kq_request *request,
             enum kq_outcome outcome, int err, struct kq_answer *answer)
{
  struct kq_request_effect effect = { .kind = KQ_REQ_FX_SETTLE };
  struct kq_request_settlement *settlement = &effect.u.settle.settlement;

  if (request->heir[0] == '\0')
    return;
  memcpy (effect.u.settle.address, request->heir, sizeof request->heir);
  settlement->key = request->key->key;
  settlement->outcome = outcome;
  settlement->err = err;
  settlement->answer = answer != NULL ? kq_answer_ref (answer) : NULL;
  kq_request_effects_put (step->out, &effect);
}

static void
end_key (struct kq_step *step, struct kq_request *request,
         enum kq_outcome outcome, int err, struct kq_answer *answer)
{
  struct kq_request_router *router = step->router;

  if (request->key == NULL)
    return;
  emit_settle (step, request, outcome, err, answer);
  kq_key_end (&router->keys, step->now, &router->settings, request->key,
              outcome, err, answer);
  request->key = NULL;
}

static void
free_request (struct kq_step *step, struct kq_request *request)
{
  end_key (step, request,
           request->maybe_run ? KQ_OUTCOME_UNKNOWN : KQ_OUTCOME_NOT_RUN,
           request->err, NULL);
  HASH_DEL (step->router->requests, request);
  free (request);
}

static void
emit_reply (struct kq_step *step, uint64_t id, enum kq_outcome outcome,
            int err, struct kq_answer *answer)
{
  struct kq_request_effect effect = { .kind = KQ_REQ_FX_REPLY, .id = id };

  effect.u.reply.outcome = outcome;
  effect.u.reply.err = err;
  effect.u.reply.answer = answer;
  effect.u.reply.free
      = (int32_t)(kq_pool_all_slots (&step->router->pool, step->now, NULL)
                  - step->router->counts.admitted
                  - (int64_t)step->router->queue.count);
  kq_request_effects_put (step->out, &effect);
}

void
kq_request_finish (struct kq_step *step, struct kq_request *request,
                   enum kq_outcome outcome, int err, struct kq_answer *answer)
{
  if (request->replied)
    abort ();
  if (outcome == KQ_OUTCOME_NOT_RUN
      && (request->maybe_run || kq_request_live (request)))
    abort ();
  request->replied = true;
  request->replied_at = step->now;
  if (outcome == KQ_OUTCOME_ANSWERED)
    end_key (step, request, outcome, err, answer);
  emit_reply (step, request->id, outcome, err, answer);
  if (!kq_request_live (request))
    free_request (step, request);
}

/* Answers a repeat of a key from the table, or refuses it.  "Not run" is
   never said of a key that is in progress.  */
static bool
answer_key (struct kq_step *step, const struct kq_request_arrival *arrival,
            int err, struct kq_key_entry *entry)
{
  switch (err)
    {
    case 0:
      return false;
    case KQ_EEXIST:
      if (entry->outcome == KQ_OUTCOME_ANSWERED && entry->answer == NULL)
        emit_reply (step, arrival->id, KQ_OUTCOME_UNKNOWN, KQ_EREQ_ANSWER_GONE,
                    NULL);
      else
        emit_reply (step, arrival->id, entry->outcome, entry->err,
                    entry->answer != NULL ? kq_answer_ref (entry->answer)
                                          : NULL);
      return true;
    case KQ_EREQ_KEY_IN_USE:
      emit_reply (step, arrival->id, KQ_OUTCOME_UNKNOWN, err, NULL);
      return true;
    case KQ_EREQ_KEY_REUSED:
      emit_reply (step, arrival->id, KQ_OUTCOME_INVALID, err, NULL);
      return true;
    default:
      emit_reply (step, arrival->id, KQ_OUTCOME_NOT_RUN, err, NULL);
      return true;
    }
}

struct kq_pool_filter
kq_request_filter (const struct kq_request_router *router,
                   const struct kq_request *request)
{
  struct kq_pool_filter filter = { .count = 0 };
  const struct kq_service *service;

  HASH_FIND_STR (router->services, request->service.text, service);
  if (service != NULL)
    {
      filter.names = service->view.workers;
      filter.count = service->view.worker_count;
    }
  return filter;
}

static struct kq_request *
add_request (struct kq_step *step, const struct kq_request_arrival *arrival,
             const struct kq_view_service *service)
{
  struct kq_request *request = calloc (1, sizeof *request);
  int32_t importance = arrival->importance;

  if (request == NULL)
    return NULL;
  if (importance < 0)
    importance = service->importance;
  if (importance < 0)
    importance = 0;
  if (importance >= KQ_IMPORTANCE_COUNT)
    importance = KQ_IMPORTANCE_COUNT - 1;
  request->id = arrival->id;
  request->service = service->name;
  request->importance = importance;
  request->forwarded = arrival->forwarded;
  request->retryable
      = !arrival->keyed && (arrival->idempotent || service->idempotent);
  request->deadline = arrival->deadline;
  if (request->deadline == 0 && service->deadline_ms > 0)
    request->deadline = step->now + service->deadline_ms * KQ_USEC_PER_MSEC;
  if (request->deadline == 0)
    request->deadline = step->now + DEFAULT_DEADLINE;
  HASH_ADD (hh, step->router->requests, id, sizeof request->id, request);
  return request;
}

/* Begins the run of a keyed request, here or at the key's home.
   @return whether the request goes on, to *HOME unless that is NULL. */
static bool
begin_key (struct kq_step *step, const struct kq_request_arrival *arrival,
           struct kq_key_entry **key, struct kq_pool_peer **home)
{
  struct kq_request_router *router = step->router;
  bool found
      = kq_pool_home (&router->pool, &router->settings, &arrival->key, home);
  int err;

  /* The other host has another view of who owns workers. */
  if (found && arrival->homed && *home != NULL)
    {
      emit_reply (step, arrival->id, KQ_OUTCOME_NOT_RUN, KQ_EREQ_KEY_HOME,
                  NULL);
      return false;
    }
  if (arrival->forwarded)
    *home = NULL;
  if (*home != NULL)
    return true;
  if (!arrival->claim)
    {
      err = kq_key_begin (&router->keys, step->now, &router->settings,
                          &arrival->key, key);
      return !answer_key (step, arrival, err, *key);
    }
  err = kq_key_claim (&router->keys, step->now, &router->settings,
                      &arrival->key, key);
  if (!answer_key (step, arrival, err, *key))
    emit_reply (step, arrival->id, KQ_OUTCOME_NOT_RUN, 0, NULL);
  return false;
}

static void
start_request (struct kq_step *step, struct kq_request *request,
               struct kq_pool_peer *home)
{
  struct kq_request_router *router = step->router;

  if (!request->forwarded && router->budget_milli < BUDGET_LIMIT)
    router->budget_milli += BUDGET_PER_REQUEST;
  if (step->now >= request->deadline)
    kq_request_finish (step, request, KQ_OUTCOME_NOT_RUN, KQ_ETIMEDOUT, NULL);
  else if (home != NULL)
    kq_route_home (step, request, home);
  else if (request->key == NULL || !kq_route_claim (step, request))
    kq_route_place (step, request);
}

static int
arrive (struct kq_step *step, const struct kq_request_arrival *arrival)
{
  struct kq_request_router *router = step->router;
  struct kq_key_entry *key = NULL;
  struct kq_pool_peer *home = NULL;
  struct kq_service *service;
  struct kq_request *request;

  HASH_FIND (hh, router->requests, &arrival->id, sizeof arrival->id, request);
  if (request != NULL)
    return KQ_EINVAL;
  router->counts.arrived++;
  HASH_FIND_STR (router->services, arrival->service.text, service);
  if (!router->has_config || service == NULL)
    {
      emit_reply (step, arrival->id, KQ_OUTCOME_NOT_RUN,
                  router->has_config ? KQ_EREQ_NO_SERVICE : KQ_ECONFIG_NONE,
                  NULL);
      return 0;
    }
  if (arrival->keyed && !begin_key (step, arrival, &key, &home))
    return 0;
  request = add_request (step, arrival, &service->view);
  if (request == NULL)
    {
      if (key != NULL)
        kq_key_end (&router->keys, step->now, &router->settings, key,
                    KQ_OUTCOME_NOT_RUN, KQ_ENOMEM, NULL);
      return KQ_ENOMEM;
    }
  request->key = key;
  start_request (step, request, home);
  return 0;
}

/* Books the end of an attempt on its worker or peer. */
static void
end_attempt (struct kq_step *step, struct kq_attempt *attempt,
             const struct kq_request_end *end)
{
  struct kq_request_router *router = step->router;
  kq_usec took = step->now - attempt->sent_at;

  attempt->live = false;
  if (end->outcome == KQ_OUTCOME_ANSWERED)
    router->service_time += (took - router->service_time) / MEAN_WEIGHT;
  if (attempt->peer != NULL)
    {
      attempt->peer->sent--;
      if (end->has_free)
        kq_pool_note_free (attempt->peer, end->free, step->now);
      if (end->outcome == KQ_OUTCOME_ANSWERED)
        attempt->peer->failures = 0;
      if (end->outcome == KQ_OUTCOME_NOT_RUN && !attempt->claim)
        kq_pool_close_peer (attempt->peer, end->err, step->now);
      return;
    }
  kq_pool_release (attempt->worker);
  router->counts.admitted--;
  if (end->outcome == KQ_OUTCOME_ANSWERED)
    kq_pool_succeed (attempt->worker);
  else if (end->err == KQ_EREQ_OVERLOAD)
    attempt->worker->full_until = step->now + FULL_TIME;
  else if (!attempt->stalled)
    kq_pool_fail (&router->pool, attempt->worker, step->now);
}

static void
after_failure (struct kq_step *step, struct kq_request *request)
{
  bool may_repeat = !request->maybe_run || request->retryable;

  if (kq_request_live (request))
    return;
  if (may_repeat
      && (kq_route_again (step, request) || kq_route_wait (step, request)))
    return;
  kq_request_finish (step, request,
                     request->maybe_run ? KQ_OUTCOME_UNKNOWN
                                        : KQ_OUTCOME_NOT_RUN,
                     request->err, NULL);
}

/* Goes on when the key is remembered and was not known.  Nothing has run
   here, whatever became of the claim.  */
static void
end_claim (struct kq_step *step, struct kq_request *request,
           const struct kq_request_end *event)
{
  bool known = event->outcome == KQ_OUTCOME_ANSWERED
               || event->outcome == KQ_OUTCOME_INVALID
               || event->err == KQ_EREQ_KEY_IN_USE
               || event->err == KQ_EREQ_ANSWER_GONE;

  request->err = event->err;
  if (known)
    {
      /* The other host's entry stays as it is. */
      request->heir[0] = '\0';
      request->maybe_run = event->outcome == KQ_OUTCOME_UNKNOWN;
      kq_request_finish (step, request, event->outcome, event->err,
                         event->answer);
    }
  else if (event->outcome == KQ_OUTCOME_NOT_RUN && event->err == 0)
    kq_route_place (step, request);
  else
    kq_request_finish (step, request, KQ_OUTCOME_NOT_RUN, event->err, NULL);
}

static int
end (struct kq_step *step, const struct kq_request_end *event)
{
  struct kq_request *request;
  bool claim;

  HASH_FIND (hh, step->router->requests, &event->id, sizeof event->id,
             request);
  if (request == NULL || event->attempt >= request->attempt_count
      || !request->attempts[event->attempt].live)
    {
      kq_answer_unref (event->answer);
      return KQ_EINVAL;
    }
  end_attempt (step, &request->attempts[event->attempt], event);
  claim = request->attempts[event->attempt].claim;
  if (event->outcome != KQ_OUTCOME_ANSWERED)
    request->err = event->err;
  if (event->outcome == KQ_OUTCOME_UNKNOWN && !claim)
    request->maybe_run = true;
  if (!request->replied)
    {
      if (claim)
        end_claim (step, request, event);
      else if (event->outcome == KQ_OUTCOME_ANSWERED)
        kq_request_finish (step, request, event->outcome, 0, event->answer);
      else if (event->outcome == KQ_OUTCOME_INVALID
               && !kq_request_live (request))
        kq_request_finish (step, request, event->outcome, event->err, NULL);
      else
        after_failure (step, request);
    }
  else
    {
      /* Too late for its caller, but a repeat of the key can have it. */
      if (event->outcome == KQ_OUTCOME_ANSWERED && !claim)
        end_key (step, request, event->outcome, 0, event->answer);
      kq_answer_unref (event->answer);
      if (!kq_request_live (request))
        free_request (step, request);
    }
  kq_route_drain (step);
  return 0;
}

static void
drop_attempt (struct kq_step *step, struct kq_request *request,
              uint32_t number)
{
  struct kq_request_effect drop = { .kind = KQ_REQ_FX_DROP };

  request->attempts[number].dropping = true;
  drop.id = request->id;
  drop.attempt = number;
  kq_request_effects_put (step->out, &drop);
}

/* What another host hasn't sent on yet need not run.  An attempt at an
   endpoint goes on: it has its slot until it has ended.  */
static void
drop_hops (struct kq_step *step, struct kq_request *request)
{
  for (uint32_t i = 0; i < request->attempt_count; i++)
    if (request->attempts[i].live && request->attempts[i].peer != NULL)
      drop_attempt (step, request, i);
}

static void
leave (struct kq_step *step, uint64_t id)
{
  struct kq_request *request;

  HASH_FIND (hh, step->router->requests, &id, sizeof id, request);
  if (request == NULL || request->replied)
    return;
  if (request->queued)
    kq_queue_remove (&step->router->queue, request);
  drop_hops (step, request);
  kq_request_finish (step, request,
                     request->maybe_run || kq_request_live (request)
                         ? KQ_OUTCOME_UNKNOWN
                         : KQ_OUTCOME_NOT_RUN,
                     KQ_ECLOSED, NULL);
}

static int
copy_workers (const struct kq_view_service *from, struct kq_service *to)
{
  size_t size = from->worker_count * sizeof *from->workers;

  if (from->worker_count == 0)
    return 0;
  to->view.workers = malloc (size);
  if (to->view.workers == NULL)
    return KQ_ENOMEM;
  memcpy (to->view.workers, from->workers, size);
  return 0;
}

static int
take_services (struct kq_request_router *router, const struct kq_view *view)
{
  free_services (router);
  for (size_t i = 0; i < view->service_count; i++)
    {
      struct kq_service *service = calloc (1, sizeof *service);

      if (service == NULL)
        return KQ_ENOMEM;
      service->view = view->services[i];
      service->view.workers = NULL;
      if (copy_workers (&view->services[i], service) != 0)
        {
          free (service);
          return KQ_ENOMEM;
        }
      HASH_ADD_STR (router->services, view.name.text, service);
    }
  return 0;
}

static int
take_view (struct kq_step *step, const struct kq_view *view)
{
  struct kq_request_router *router = step->router;
  int err = take_services (router, view);

  if (err == 0)
    err = kq_pool_update (&router->pool, view, &router->settings, step->out);
  router->has_config = view->revision > 0;
  kq_route_drain (step);
  return err;
}

/* A stall is held against the connections opened before it; only one over
   a newer connection counts against the endpoint.  */
static void
note_stall (struct kq_step *step, struct kq_request *request,
            struct kq_attempt *attempt)
{
  struct kq_request_router *router = step->router;

  attempt->stalled = true;
  if (attempt->worker != NULL && attempt->fresh)
    kq_pool_fail (&router->pool, attempt->worker, step->now);
  else if (attempt->worker != NULL)
    {
      attempt->worker->suspect_before = attempt->sent_at;
      router->counts.suspected++;
    }
  if (request->retryable && !request->replied)
    kq_route_again (step, request);
}

static void
check_attempts (struct kq_step *step, struct kq_request *request)
{
  struct kq_request_router *router = step->router;
  kq_usec stall = STALL_FACTOR * router->service_time;
  uint32_t count = request->attempt_count;

  if (stall < router->settings.stall)
    stall = router->settings.stall;
  for (uint32_t i = 0; i < count; i++)
    {
      struct kq_attempt *attempt = &request->attempts[i];

      if (!attempt->live || attempt->dropping)
        continue;
      if (attempt->claim && step->now - attempt->sent_at >= CLAIM_TIME)
        {
          drop_attempt (step, request, i);
          continue;
        }
      if (!attempt->stalled && step->now - attempt->sent_at >= stall)
        note_stall (step, request, attempt);
      if (request->replied
          && step->now - request->replied_at >= router->settings.linger)
        drop_attempt (step, request, i);
    }
}

static void
tick (struct kq_step *step)
{
  struct kq_request *request;
  struct kq_request *next;

  HASH_ITER (hh, step->router->requests, request, next)
  {
    check_attempts (step, request);
    if (request->replied || step->now < request->deadline)
      continue;
    if (request->queued)
      kq_queue_remove (&step->router->queue, request);
    kq_request_finish (step, request,
                       request->maybe_run || kq_request_live (request)
                           ? KQ_OUTCOME_UNKNOWN
                           : KQ_OUTCOME_NOT_RUN,
                       KQ_ETIMEDOUT, NULL);
  }
  kq_route_drain (step);
}

int
kq_request_step (struct kq_request_router *router, kq_usec now,
                 const struct kq_request_event *event,
                 struct kq_request_effects *out)
{
  struct kq_step step = { .router = router, .now = now, .out = out };

  switch (event->kind)
    {
    case KQ_REQ_EV_ARRIVE:
      return arrive (&step, &event->u.arrive);
    case KQ_REQ_EV_END:
      return end (&step, &event->u.end);
    case KQ_REQ_EV_SETTLE:
      kq_key_settle (&router->keys, now, &router->settings, &event->u.settle);
      kq_answer_unref (event->u.settle.answer);
      return 0;
    case KQ_REQ_EV_LEAVE:
      leave (&step, event->u.leave);
      return 0;
    case KQ_REQ_EV_VIEW:
      return take_view (&step, event->u.view);
    case KQ_REQ_EV_TICK:
      tick (&step);
      return 0;
    }
  return KQ_EINVAL;
}

bool
kq_request_busy (const struct kq_request_router *router)
{
  return router->requests != NULL;
}

void
kq_request_count (const struct kq_request_router *router, kq_usec now,
                  struct kq_request_counts *counts)
{
  *counts = router->counts;
  counts->waiting = (int64_t)router->queue.count;
  counts->slots = kq_pool_all_slots (&router->pool, now, NULL);
  counts->ejected = router->pool.ejected;
  counts->keys = HASH_COUNT (router->keys.entries);
}

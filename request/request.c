#include "request/request.h"

#include <stdlib.h>
#include <string.h>

#include "base/err.h"
#include "request/router.h"

/** Amount that each request adds to the retry budget: a tenth of a retry. */
#define RETRY_BUDGET_PER_REQUEST_MILLI INT64_C (100)
/** Initial and maximum retry budget, in thousandths of a retry. */
#define RETRY_BUDGET_INITIAL_MILLI INT64_C (10000)
#define RETRY_BUDGET_MAX_MILLI INT64_C (100000)
/** Deadline of a service without one in the configuration. */
#define DEFAULT_DEADLINE_US (10 * KQ_USEC_PER_SEC)
/** Time for which a worker that refused a request as overloaded gets none. */
#define FULL_WORKER_BACKOFF_US (20 * KQ_USEC_PER_MSEC)
/** Maximum time for the backup of a key to store it. */
#define CLAIM_TIMEOUT_US (200 * KQ_USEC_PER_MSEC)
/** An attempt is stalled after this multiple of the mean service time, but not
 *  before the time in the settings.  */
#define STALL_FACTOR 8
/** Weight of one answered attempt in the moving average: 1 / 16. */
#define MEAN_WEIGHT_DIVISOR 16

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
  router->retry_budget_milli = RETRY_BUDGET_INITIAL_MILLI;
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
kq_request_is_in_flight (const struct kq_request *request)
{
  for (uint32_t i = 0; i < request->attempt_count; i++)
    if (request->attempts[i].in_flight)
      return true;
  return false;
}

/* Reports the result of the key to its backup, if there is one. */
static void
emit_key_result (struct kq_step *step, const struct kq_request *request,
                 enum kq_outcome outcome, int err,
                 struct kq_response *response)
{
  struct kq_request_effect effect = { .kind = KQ_REQ_FX_KEY_RESULT };
  struct kq_request_key_result *key_result = &effect.u.settle.key_result;

  if (request->backup_address[0] == '\0')
    return;
  memcpy (effect.u.settle.address, request->backup_address,
          sizeof request->backup_address);
  key_result->key = request->key->key;
  key_result->outcome = outcome;
  key_result->err = err;
  key_result->answer = response != NULL ? kq_response_ref (response) : NULL;
  kq_request_effects_push (step->out, &effect);
}

static void
end_key (struct kq_step *step, struct kq_request *request,
         enum kq_outcome outcome, int err, struct kq_response *response)
{
  struct kq_request_router *router = step->router;

  if (request->key == NULL)
    return;
  emit_key_result (step, request, outcome, err, response);
  kq_key_end (&router->keys, step->now, &router->settings, request->key,
              outcome, err, response);
  request->key = NULL;
}

static void
free_request (struct kq_step *step, struct kq_request *request)
{
  end_key (step, request,
           request->may_have_run ? KQ_OUTCOME_UNKNOWN : KQ_OUTCOME_NOT_RUN,
           request->err, NULL);
  HASH_DEL (step->router->requests, request);
  free (request);
}

static void
emit_reply (struct kq_step *step, uint64_t id, enum kq_outcome outcome,
            int err, struct kq_response *response)
{
  struct kq_request_effect effect = { .kind = KQ_REQ_FX_REPLY, .id = id };

  effect.u.reply.outcome = outcome;
  effect.u.reply.err = err;
  effect.u.reply.answer = response;
  effect.u.reply.free
      = (int32_t)(kq_pool_own_slots (&step->router->pool, step->now, NULL)
                  - step->router->counts.admitted
                  - (int64_t)step->router->queue.count);
  kq_request_effects_push (step->out, &effect);
}

void
kq_request_finish (struct kq_step *step, struct kq_request *request,
                   enum kq_outcome outcome, int err,
                   struct kq_response *response)
{
  if (request->replied)
    abort ();
  if (outcome == KQ_OUTCOME_NOT_RUN
      && (request->may_have_run || kq_request_is_in_flight (request)))
    abort ();
  request->replied = true;
  request->replied_at = step->now;
  if (outcome == KQ_OUTCOME_ANSWERED)
    end_key (step, request, outcome, err, response);
  emit_reply (step, request->id, outcome, err, response);
  if (!kq_request_is_in_flight (request))
    free_request (step, request);
}

/* Replies to a request whose key cannot begin a run, for the reason ERR: with
   the stored outcome, or with a refusal.  The reply for a key in progress is
   never "not run".
   @return whether it has replied; false if ERR is 0.  */
static bool
reply_for_key (struct kq_step *step, const struct kq_request_arrival *arrival,
               int err, struct kq_key_entry *entry)
{
  switch (err)
    {
    case 0:
      return false;
    case KQ_EEXIST:
      if (entry->outcome == KQ_OUTCOME_ANSWERED && entry->response == NULL)
        emit_reply (step, arrival->id, KQ_OUTCOME_UNKNOWN, KQ_EREQ_ANSWER_GONE,
                    NULL);
      else
        emit_reply (step, arrival->id, entry->outcome, entry->err,
                    entry->response != NULL ? kq_response_ref (entry->response)
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
    request->deadline = step->now + DEFAULT_DEADLINE_US;
  HASH_ADD (hh, step->router->requests, id, sizeof request->id, request);
  return request;
}

/* Begins the run of a request with a key, here or at the home of the key.  A
   claim of another host only stores the key.
   @return whether the request is to be sent, to *HOME unless that is NULL;
   otherwise a reply was sent.  */
static bool
begin_key (struct kq_step *step, const struct kq_request_arrival *arrival,
           struct kq_key_entry **key, struct kq_pool_peer **home)
{
  struct kq_request_router *router = step->router;
  bool found = kq_pool_find_key_home (&router->pool, &router->settings,
                                      &arrival->key, home);
  int err;

  /* The sender has a different view of which hosts own workers. */
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
      return !reply_for_key (step, arrival, err, *key);
    }
  err = kq_key_claim (&router->keys, step->now, &router->settings,
                      &arrival->key, key);
  if (!reply_for_key (step, arrival, err, *key))
    emit_reply (step, arrival->id, KQ_OUTCOME_NOT_RUN, 0, NULL);
  return false;
}

static void
start_request (struct kq_step *step, struct kq_request *request,
               struct kq_pool_peer *home)
{
  struct kq_request_router *router = step->router;

  if (!request->forwarded
      && router->retry_budget_milli < RETRY_BUDGET_MAX_MILLI)
    router->retry_budget_milli += RETRY_BUDGET_PER_REQUEST_MILLI;
  if (step->now >= request->deadline)
    kq_request_finish (step, request, KQ_OUTCOME_NOT_RUN, KQ_ETIMEDOUT, NULL);
  else if (home != NULL)
    kq_route_to_key_home (step, request, home);
  else if (request->key == NULL || !kq_route_claim_key (step, request))
    kq_route_dispatch (step, request);
}

static int
handle_arrival (struct kq_step *step, const struct kq_request_arrival *arrival)
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

/* Updates the worker or peer of an attempt that has ended. */
static void
end_attempt (struct kq_step *step, struct kq_attempt *attempt,
             const struct kq_request_end *event)
{
  struct kq_request_router *router = step->router;
  kq_usec duration = step->now - attempt->sent_at;

  attempt->in_flight = false;
  if (event->outcome == KQ_OUTCOME_ANSWERED)
    router->service_time
        += (duration - router->service_time) / MEAN_WEIGHT_DIVISOR;
  if (attempt->peer != NULL)
    {
      attempt->peer->in_flight--;
      if (event->has_free)
        kq_pool_set_peer_free (attempt->peer, event->free, step->now);
      if (event->outcome == KQ_OUTCOME_ANSWERED)
        attempt->peer->failures = 0;
      if (event->outcome == KQ_OUTCOME_NOT_RUN && !attempt->claim)
        kq_pool_back_off_peer (attempt->peer, event->err, step->now);
      return;
    }
  kq_pool_release (attempt->worker);
  router->counts.admitted--;
  if (event->outcome == KQ_OUTCOME_ANSWERED)
    kq_pool_record_success (attempt->worker);
  else if (event->err == KQ_EREQ_OVERLOAD)
    attempt->worker->full_until = step->now + FULL_WORKER_BACKOFF_US;
  else if (!attempt->stalled)
    kq_pool_record_failure (&router->pool, attempt->worker, step->now);
}

static void
retry_or_finish (struct kq_step *step, struct kq_request *request)
{
  bool may_send_again = !request->may_have_run || request->retryable;

  if (kq_request_is_in_flight (request))
    return;
  if (may_send_again
      && (kq_route_retry (step, request) || kq_route_requeue (step, request)))
    return;
  kq_request_finish (step, request,
                     request->may_have_run ? KQ_OUTCOME_UNKNOWN
                                           : KQ_OUTCOME_NOT_RUN,
                     request->err, NULL);
}

/* Handles the end of a claim.  Sends the request if the backup has stored the
   key as new; otherwise replies.  This host has not run the request, whatever
   the result of the claim.  */
static void
end_claim (struct kq_step *step, struct kq_request *request,
           const struct kq_request_end *event)
{
  bool key_is_known = event->outcome == KQ_OUTCOME_ANSWERED
                      || event->outcome == KQ_OUTCOME_INVALID
                      || event->err == KQ_EREQ_KEY_IN_USE
                      || event->err == KQ_EREQ_ANSWER_GONE;

  request->err = event->err;
  if (key_is_known)
    {
      /* The entry of the backup must not be overwritten. */
      request->backup_address[0] = '\0';
      request->may_have_run = event->outcome == KQ_OUTCOME_UNKNOWN;
      kq_request_finish (step, request, event->outcome, event->err,
                         event->answer);
    }
  else if (event->outcome == KQ_OUTCOME_NOT_RUN && event->err == 0)
    kq_route_dispatch (step, request);
  else
    kq_request_finish (step, request, KQ_OUTCOME_NOT_RUN, event->err, NULL);
}

static int
handle_end (struct kq_step *step, const struct kq_request_end *event)
{
  struct kq_request *request;
  bool claim;

  HASH_FIND (hh, step->router->requests, &event->id, sizeof event->id,
             request);
  if (request == NULL || event->attempt >= request->attempt_count
      || !request->attempts[event->attempt].in_flight)
    {
      kq_response_unref (event->answer);
      return KQ_EINVAL;
    }
  end_attempt (step, &request->attempts[event->attempt], event);
  claim = request->attempts[event->attempt].claim;
  if (event->outcome != KQ_OUTCOME_ANSWERED)
    request->err = event->err;
  if (event->outcome == KQ_OUTCOME_UNKNOWN && !claim)
    request->may_have_run = true;
  if (!request->replied)
    {
      if (claim)
        end_claim (step, request, event);
      else if (event->outcome == KQ_OUTCOME_ANSWERED)
        kq_request_finish (step, request, event->outcome, 0, event->answer);
      else if (event->outcome == KQ_OUTCOME_INVALID
               && !kq_request_is_in_flight (request))
        kq_request_finish (step, request, event->outcome, event->err, NULL);
      else
        retry_or_finish (step, request);
    }
  else
    {
      /* The caller already has a reply, but a repeated request with the key
         can receive this response.  */
      if (event->outcome == KQ_OUTCOME_ANSWERED && !claim)
        end_key (step, request, event->outcome, 0, event->answer);
      kq_response_unref (event->answer);
      if (!kq_request_is_in_flight (request))
        free_request (step, request);
    }
  kq_route_dispatch_queued (step);
  return 0;
}

static void
cancel_attempt (struct kq_step *step, struct kq_request *request,
                uint32_t number)
{
  struct kq_request_effect effect = { .kind = KQ_REQ_FX_CANCEL };

  request->attempts[number].cancelling = true;
  effect.id = request->id;
  effect.attempt = number;
  kq_request_effects_push (step->out, &effect);
}

/* Cancels forwarded attempts, which need not run if the other host has not
   sent them yet.  Attempts at own workers continue: they hold their slots
   until they have ended.  */
static void
cancel_hops (struct kq_step *step, struct kq_request *request)
{
  for (uint32_t i = 0; i < request->attempt_count; i++)
    if (request->attempts[i].in_flight && request->attempts[i].peer != NULL)
      cancel_attempt (step, request, i);
}

static void
handle_disconnect (struct kq_step *step, uint64_t id)
{
  struct kq_request *request;

  HASH_FIND (hh, step->router->requests, &id, sizeof id, request);
  if (request == NULL || request->replied)
    return;
  if (request->queued)
    kq_queue_remove (&step->router->queue, request);
  cancel_hops (step, request);
  kq_request_finish (step, request,
                     request->may_have_run || kq_request_is_in_flight (request)
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
replace_services (struct kq_request_router *router, const struct kq_view *view)
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
apply_view (struct kq_step *step, const struct kq_view *view)
{
  struct kq_request_router *router = step->router;
  int err = replace_services (router, view);

  if (err == 0)
    err = kq_pool_update (&router->pool, view, &router->settings, step->out);
  router->has_config = view->revision > 0;
  kq_route_dispatch_queued (step);
  return err;
}

/* Records a stalled attempt.  A stall is attributed to the connections opened
   before the attempt; it only counts as a failure of the endpoint if the
   attempt used a newer connection.  */
static void
record_stall (struct kq_step *step, struct kq_request *request,
              struct kq_attempt *attempt)
{
  struct kq_request_router *router = step->router;

  attempt->stalled = true;
  if (attempt->worker != NULL && attempt->needs_new_connection)
    kq_pool_record_failure (&router->pool, attempt->worker, step->now);
  else if (attempt->worker != NULL)
    {
      attempt->worker->suspect_before = attempt->sent_at;
      router->counts.suspected++;
    }
  if (request->retryable && !request->replied)
    kq_route_retry (step, request);
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

      if (!attempt->in_flight || attempt->cancelling)
        continue;
      if (attempt->claim && step->now - attempt->sent_at >= CLAIM_TIMEOUT_US)
        {
          cancel_attempt (step, request, i);
          continue;
        }
      if (!attempt->stalled && step->now - attempt->sent_at >= stall)
        record_stall (step, request, attempt);
      if (request->replied
          && step->now - request->replied_at >= router->settings.linger)
        cancel_attempt (step, request, i);
    }
}

static void
handle_tick (struct kq_step *step)
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
                       request->may_have_run
                               || kq_request_is_in_flight (request)
                           ? KQ_OUTCOME_UNKNOWN
                           : KQ_OUTCOME_NOT_RUN,
                       KQ_ETIMEDOUT, NULL);
  }
  kq_route_dispatch_queued (step);
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
      return handle_arrival (&step, &event->u.arrive);
    case KQ_REQ_EV_END:
      return handle_end (&step, &event->u.end);
    case KQ_REQ_EV_KEY_RESULT:
      kq_key_resolve (&router->keys, now, &router->settings, &event->u.settle);
      kq_response_unref (event->u.settle.answer);
      return 0;
    case KQ_REQ_EV_DISCONNECT:
      handle_disconnect (&step, event->u.disconnected_id);
      return 0;
    case KQ_REQ_EV_VIEW:
      return apply_view (&step, event->u.view);
    case KQ_REQ_EV_TICK:
      handle_tick (&step);
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
kq_request_get_counts (const struct kq_request_router *router, kq_usec now,
                       struct kq_request_counts *counts)
{
  *counts = router->counts;
  counts->waiting = (int64_t)router->queue.count;
  counts->slots = kq_pool_own_slots (&router->pool, now, NULL);
  counts->ejected = router->pool.ejected;
  counts->keys = HASH_COUNT (router->keys.entries);
}

#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#include "base/err.h"
#include "daemon/front_impl.h"

/** Maximum size of a request's headers. */
#define MAX_HEADER_BYTES ((size_t)32 * 1024)

static struct kq_metric outcome_totals[] = {
  [KQ_OUTCOME_ANSWERED] = { .name = "kq_requests_answered_total",
                            .help = "Requests whose answer was passed on." },
  [KQ_OUTCOME_NOT_RUN] = { .name = "kq_requests_not_run_total",
                           .help = "Requests refused as not run." },
  [KQ_OUTCOME_UNKNOWN] = { .name = "kq_requests_unknown_total",
                           .help = "Requests whose outcome is unknown." },
  [KQ_OUTCOME_INVALID] = { .name = "kq_requests_invalid_total",
                           .help = "Requests refused as invalid." },
};

static struct kq_metric attempts_total
    = { .name = "kq_attempts_total", .help = "Attempts sent to endpoints." };
static struct kq_metric hops_total
    = { .name = "kq_hops_total", .help = "Attempts sent to entry hosts." };
static struct kq_metric added_attempts_total
    = { .name = "kq_attempts_added_total",
        .help = "Attempts beyond the first one of a request." };
static struct kq_metric requests_open
    = { .name = "kq_requests_open", .help = "Requests being served." };
static struct kq_metric bad_messages_total
    = { .name = "kq_hop_bad_messages_total",
        .help = "Messages of other entry hosts that could not be read." };

static struct kq_metric views_total
    = { .name = "kq_front_views_total",
        .help = "Views of ownership that the front took over." };

void
kq_front_register_metrics (void)
{
  static bool registered;

  if (registered)
    return;
  registered = true;
  for (size_t i = 0; i < sizeof outcome_totals / sizeof outcome_totals[0]; i++)
    kq_metric_register (&outcome_totals[i]);
  kq_metric_register (&attempts_total);
  kq_metric_register (&hops_total);
  kq_metric_register (&added_attempts_total);
  kq_metric_register (&requests_open);
  kq_metric_register (&bad_messages_total);
  kq_metric_register (&views_total);
}

void
kq_front_count_view (void)
{
  kq_metric_add (&views_total, 1);
}

void
kq_front_count_bad_message (void)
{
  kq_metric_add (&bad_messages_total, 1);
}

struct kq_front_call *
kq_front_call_create (struct kq_front *front, const char *uri)
{
  struct kq_front_call *call = calloc (1, sizeof *call);

  if (call == NULL)
    return NULL;
  call->uri = strdup (uri);
  if (call->uri == NULL)
    {
      free (call);
      return NULL;
    }
  call->front = front;
  call->refs = 1;
  call->headers.limit = MAX_HEADER_BYTES;
  call->body.limit = KQ_FRONT_BODY_LIMIT;
  call->arrival.importance = -1;
  call->arrived = kq_clock_now ();
  call->arrived_wall = kq_clock_wall ();
  front->open_calls++;
  kq_metric_add (&requests_open, 1);
  return call;
}

void
kq_front_call_unref (struct kq_front_call *call)
{
  if (--call->refs > 0)
    return;
  if (call->submitted)
    HASH_DEL (call->front->calls, call);
  kq_response_unref (call->answer);
  kq_buffer_clear (&call->headers);
  kq_front_http_clear_body (call);
  free (call->origin);
  free (call->uri);
  free (call);
}

static int
add_header_line (struct kq_front_call *call, const char *const *parts,
                 size_t count)
{
  size_t old_size = call->headers.size;
  int err = call->header_count < KQ_FRONT_MAX_HEADERS ? 0 : KQ_ETOOBIG;

  for (size_t i = 0; i < count && err == 0; i++)
    err = kq_buffer_add (&call->headers, parts[i], strlen (parts[i]));
  if (err == 0)
    err = kq_buffer_add (&call->headers, "", 1);
  if (err == 0)
    call->header_count++;
  else
    call->headers.size = old_size;
  return err;
}

int
kq_front_call_add_header (struct kq_front_call *call, const char *name,
                          const char *value)
{
  const char *const parts[] = { name, ": ", value };

  return add_header_line (call, parts, 3);
}

int
kq_front_call_add_header_line (struct kq_front_call *call, const char *line)
{
  return add_header_line (call, &line, 1);
}

struct kq_front_call *
kq_front_call_find (struct kq_front *front, uint64_t id)
{
  struct kq_front_call *call;

  HASH_FIND (hh, front->calls, &id, sizeof id, call);
  return call;
}

void
kq_front_call_submit (struct kq_front_call *call)
{
  struct kq_front *front = call->front;
  struct kq_request_event event = { .kind = KQ_REQ_EV_ARRIVE };

  call->arrival.id = ++front->last_id;
  call->submitted = true;
  HASH_ADD (hh, front->calls, arrival.id, sizeof call->arrival.id, call);
  event.u.arrive = call->arrival;
  kq_front_process_event (front, &event);
}

static void
record_span (const struct kq_trace_context *context, const char *name,
             const struct kq_name *target, kq_usec wall, kq_usec duration,
             int err)
{
  struct kq_trace_record record = { .context = *context,
                                    .name = name,
                                    .target = *target,
                                    .start = wall,
                                    .duration = duration,
                                    .err = err };

  kq_trace_record_span (&record);
}

void
kq_front_call_finish (struct kq_front_call *call)
{
  struct kq_front *front = call->front;

  front->open_calls--;
  kq_metric_add (&requests_open, -1);
  if (!call->arrival.claim)
    kq_metric_add (&outcome_totals[call->outcome], 1);
  record_span (&call->trace, call->origin != NULL ? "forwarded" : "request",
               &call->arrival.service, call->arrived_wall,
               kq_clock_now () - call->arrived, call->err);
  kq_front_call_unref (call);
}

static struct kq_front_attempt *
create_attempt (struct kq_front_call *call,
                const struct kq_request_effect *effect)
{
  struct kq_front_attempt *attempt = calloc (1, sizeof *attempt);

  if (attempt == NULL)
    abort ();
  attempt->kind = effect->kind == KQ_REQ_FX_HOP ? KQ_FRONT_ATTEMPT_HOP
                                                : KQ_FRONT_ATTEMPT_ENDPOINT;
  attempt->call = call;
  attempt->number = effect->attempt;
  attempt->claim
      = attempt->kind == KQ_FRONT_ATTEMPT_HOP && effect->u.send.claim;
  attempt->target = effect->u.send.name;
  attempt->trace
      = kq_trace_child (&call->trace, kq_front_random (call->front));
  attempt->started = kq_clock_now ();
  attempt->started_wall = kq_clock_wall ();
  call->refs++;
  DL_APPEND (call->attempts, attempt);
  return attempt;
}

static const char *
span_name (const struct kq_front_attempt *attempt)
{
  if (attempt->claim)
    return "claim";
  return attempt->kind == KQ_FRONT_ATTEMPT_HOP ? "hop" : "endpoint";
}

void
kq_front_attempt_end (struct kq_front_attempt *attempt,
                      enum kq_outcome outcome, int err,
                      struct kq_response *answer)
{
  struct kq_front_call *call = attempt->call;
  struct kq_request_event event = { .kind = KQ_REQ_EV_END };

  record_span (&attempt->trace, span_name (attempt), &attempt->target,
               attempt->started_wall, kq_clock_now () - attempt->started, err);
  event.u.end.id = call->arrival.id;
  event.u.end.attempt = attempt->number;
  event.u.end.outcome = outcome;
  event.u.end.err = err;
  event.u.end.answer = answer;
  event.u.end.has_free = attempt->has_free_slots;
  event.u.end.free = attempt->free_slots;
  DL_DELETE (call->attempts, attempt);
  free (attempt);
  kq_front_process_event (call->front, &event);
  kq_front_call_unref (call);
}

static void
send_attempt (struct kq_front_call *call,
              const struct kq_request_effect *effect)
{
  struct kq_front_attempt *attempt = create_attempt (call, effect);
  int err;

  if (attempt->number > 0)
    kq_metric_add (&added_attempts_total, 1);
  if (effect->kind == KQ_REQ_FX_HOP)
    {
      kq_metric_add (&hops_total, 1);
      err = kq_front_hop_send (attempt, effect);
    }
  else
    {
      kq_metric_add (&attempts_total, 1);
      err = kq_front_curl_send (attempt, effect->u.send.address,
                                effect->u.send.deadline,
                                effect->u.send.max_age);
    }
  if (err != 0)
    kq_front_attempt_end (attempt, KQ_OUTCOME_NOT_RUN, err, NULL);
}

static void
reply_to_caller (struct kq_front_call *call,
                 const struct kq_request_effect *effect)
{
  call->replied = true;
  call->outcome = effect->u.reply.outcome;
  call->err = effect->u.reply.err;
  call->answer = effect->u.reply.answer;
  call->free_slots = effect->u.reply.free;
  if (call->origin == NULL)
    {
      kq_front_http_reply (call);
      return;
    }
  kq_front_hop_reply (call);
  kq_front_call_finish (call);
}

static void
cancel_attempt (struct kq_front_call *call, uint32_t number)
{
  struct kq_front_attempt *attempt;

  DL_SEARCH_SCALAR (call->attempts, attempt, number, number);
  if (attempt == NULL)
    return;
  if (attempt->kind == KQ_FRONT_ATTEMPT_HOP)
    kq_front_hop_abort (attempt);
  else
    kq_front_curl_abort (attempt);
  kq_front_attempt_end (attempt, KQ_OUTCOME_UNKNOWN, KQ_ETIMEDOUT, NULL);
}

void
kq_front_call_run_effect (struct kq_front *front,
                          struct kq_request_effect *effect)
{
  struct kq_front_call *call;

  if (effect->kind == KQ_REQ_FX_CONNECT)
    {
      kq_front_hop_connect (front, effect->u.peer);
      return;
    }
  if (effect->kind == KQ_REQ_FX_KEY_RESULT)
    {
      kq_front_hop_send_key_result (front, effect);
      return;
    }
  call = kq_front_call_find (front, effect->id);
  if (call == NULL)
    abort ();
  switch (effect->kind)
    {
    case KQ_REQ_FX_SEND:
    case KQ_REQ_FX_HOP:
      send_attempt (call, effect);
      return;
    case KQ_REQ_FX_CANCEL:
      cancel_attempt (call, effect->attempt);
      return;
    case KQ_REQ_FX_REPLY:
      reply_to_caller (call, effect);
      return;
    case KQ_REQ_FX_CONNECT:
    case KQ_REQ_FX_KEY_RESULT:
      return;
    }
}

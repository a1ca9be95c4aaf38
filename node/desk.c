#include "node/desk.h"

#include <inttypes.h>
#include <microhttpd.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <uthash.h>

#include "base/err.h"
#include "log/log.h"
#include "metrics/histogram.h"
#include "metrics/metrics.h"
#include "node/admission.h"
#include "node/closures.h"
#include "node/guard.h"
#include "node/outage.h"
#include "node/sends.h"
#include "platform/submission.h"

/* Timeout of a request without one of its own. It equals the longest deadline
   of the users' requests, 3 s. */
#define DEFAULT_TIMEOUT_US (3 * KQ_USEC_PER_SEC)

/* A response is sent this long before the caller's timeout, or an eighth of
   the timeout before it where that is less. */
#define RESPONSE_MARGIN_US (150 * KQ_USEC_PER_MSEC)

/* A forwarded request without a reply is sent again after this delay, which
   is longer than any append of a slow store takes. */
#define RESEND_DELAY_US (600 * KQ_USEC_PER_MSEC)

/* An owner that has not replied for this long may be lost. */
#define SUSPECT_DELAY_US (300 * KQ_USEC_PER_MSEC)

/* Delay before a request is sent again if the owner is not ready, or if no
   owner can be reached. */
#define NOT_READY_RETRY_DELAY_US (50 * KQ_USEC_PER_MSEC)

/* A request that no owner has accepted is refused after this time. It is
   enough for an owner that has just claimed its term to read its jobs. */
#define REFUSAL_TIMEOUT_US (400 * KQ_USEC_PER_MSEC)

#define TIMER_INTERVAL_SEC 0.025

static struct kq_metric success_count
    = { .name = "kq_desk_answered_total",
        .help = "Callers' requests that were answered with success." };
static struct kq_metric not_accepted_count
    = { .name = "kq_desk_not_taken_total",
        .help = "Requests refused with 503: nothing was done." };
static struct kq_metric refused_count
    = { .name = "kq_desk_refused_total",
        .help = "Submissions refused with 429: too late to be of use." };
static struct kq_metric closed_count
    = { .name = "kq_desk_closed_total",
        .help = "Of these, refused here since the owner closed their queue." };
static struct kq_metric unknown_outcome_count
    = { .name = "kq_desk_unknown_total",
        .help = "Requests answered with 504: nobody knows what was done." };
static struct kq_metric no_queue_count
    = { .name = "kq_desk_no_queue_total",
        .help = "Requests answered with 404: no such queue." };
static struct kq_metric bad_input_count
    = { .name = "kq_desk_bad_input_total",
        .help = "Requests answered with 400, 405 or 413." };
static struct kq_metric abandoned_count
    = { .name = "kq_desk_abandoned_total",
        .help
        = "Submissions read after a standstill, whose caller had left." };
static struct kq_metric resent_count
    = { .name = "kq_desk_asked_again_total",
        .help = "Questions to the owner that were repeated." };
static struct kq_histogram response_times
    = { .name = "kq_desk_answer_seconds",
        .help = "Time from a request's arrival to its answer." };

/* A caller's request that was forwarded to the owner. */
struct pending
{
  uint64_t number;
  struct kq_http_request *request;
  KqNode__Ask message;
  char queue[KQ_SCHED_NAME_SIZE];
  kq_usec sent_at;
  kq_usec resend_at;
  kq_usec times_out_at;
  struct kq_sends sends;
  UT_hash_handle hh;
};

struct kq_job_api
{
  struct ev_loop *loop;
  struct kq_http *http;
  struct kq_job_api_handler handler;
  const struct kq_sched_config *config;
  struct pending *pending;
  uint64_t last_number;
  struct kq_admission admission;
  ev_timer timer;
};

static void
log_response (const struct kq_http_request *request, const char *job,
              unsigned status, int err)
{
  char number[8];
  char age[24];

  snprintf (number, sizeof number, "%u", status);
  snprintf (age, sizeof age, "%" PRId64,
            kq_clock_now () - request->arrived_at);
  kq_log (status == 200 ? KQ_LOG_DEBUG : KQ_LOG_INFO, "desk", "answered", err,
          "method", request->method, "job", job, "status", number, "after_us",
          age, NULL);
}

static void
count_response (const struct kq_http_request *request, unsigned status)
{
  kq_histogram_add (&response_times, kq_clock_now () - request->arrived_at);
  switch (status)
    {
    case MHD_HTTP_OK:
    case MHD_HTTP_GONE:
      kq_metric_add (&success_count, 1);
      break;
    case MHD_HTTP_SERVICE_UNAVAILABLE:
      kq_metric_add (&not_accepted_count, 1);
      break;
    case MHD_HTTP_TOO_MANY_REQUESTS:
      kq_metric_add (&refused_count, 1);
      break;
    case MHD_HTTP_GATEWAY_TIMEOUT:
      kq_metric_add (&unknown_outcome_count, 1);
      break;
    case MHD_HTTP_NOT_FOUND:
      kq_metric_add (&no_queue_count, 1);
      break;
    default:
      kq_metric_add (&bad_input_count, 1);
      break;
    }
}

void
kq_job_api_register_metrics (void)
{
  kq_metric_register (&success_count);
  kq_metric_register (&not_accepted_count);
  kq_metric_register (&refused_count);
  kq_metric_register (&closed_count);
  kq_metric_register (&unknown_outcome_count);
  kq_metric_register (&no_queue_count);
  kq_metric_register (&bad_input_count);
  kq_metric_register (&abandoned_count);
  kq_metric_register (&resent_count);
  kq_histogram_register (&response_times);
}

/* Returns the Retry-After of a response in seconds. Callers refused with 503
   wait for the end of an outage of unknown length. */
static unsigned
retry_after_s (const struct kq_http_request *request, unsigned status,
               int64_t retry_ms)
{
  kq_usec left = INT64_MAX;

  if (status == MHD_HTTP_SERVICE_UNAVAILABLE && request->timeout > 0)
    left = request->arrived_at + request->timeout - kq_clock_now ();
  return kq_outage_retry_after_s (retry_ms, left);
}

static void
respond_with_retry (struct kq_job_api *api, struct kq_http_request *request,
                    const char *job, unsigned status, int err,
                    const char *body, int64_t retry_ms)
{
  char text[160];
  struct kq_http_response response
      = { .status = status, .type = "application/json", .body = body };

  if (body == NULL)
    {
      snprintf (text, sizeof text, "{\"error\":\"%s\"}", kq_err_name (err));
      response.body = text;
    }
  /* The caller of a job that was cancelled need not return. */
  if ((status == MHD_HTTP_SERVICE_UNAVAILABLE
       || status == MHD_HTTP_TOO_MANY_REQUESTS)
      && err != KQ_EJOB_CANCELLED)
    response.retry_s = retry_after_s (request, status, retry_ms);
  response.body_size = strlen (response.body);
  log_response (request, job, status, err);
  count_response (request, status);
  kq_http_respond (api->http, request, &response);
}

static void
respond (struct kq_job_api *api, struct kq_http_request *request,
         const char *job, unsigned status, int err, const char *body)
{
  respond_with_retry (api, request, job, status, err, body, 0);
}

static void
remove_pending (struct kq_job_api *api, struct pending *pending)
{
  HASH_DEL (api->pending, pending);
  free (pending);
}

static void
complete_pending (struct kq_job_api *api, struct pending *pending,
                  unsigned status, int err, const char *body, int64_t retry_ms)
{
  char job[24];

  snprintf (job, sizeof job, "%016" PRIx64, pending->message.job);
  respond_with_retry (api, pending->request, job, status, err, body, retry_ms);
  remove_pending (api, pending);
}

/* If every sent message was rejected, nothing was done. Otherwise the outcome
   is unknown. */
static void
fail_pending (struct kq_job_api *api, struct pending *pending)
{
  if (pending->sends.outstanding > 0)
    complete_pending (api, pending, MHD_HTTP_GATEWAY_TIMEOUT, KQ_ETIMEDOUT,
                      NULL, 0);
  else
    complete_pending (api, pending, MHD_HTTP_SERVICE_UNAVAILABLE, KQ_ELOG_DOWN,
                      NULL, 0);
}

static void
send_request (struct kq_job_api *api, struct pending *pending)
{
  kq_usec now = kq_clock_now ();

  kq_metric_add (&resent_count, pending->sent_at != 0);
  pending->sent_at = now;
  pending->resend_at = now + RESEND_DELAY_US;
  kq_sends_add (&pending->sends);
  if (api->handler.on_forward (api->handler.arg, &pending->message))
    return;
  kq_sends_reject (&pending->sends, 0, 0, 0);
  pending->resend_at = now + NOT_READY_RETRY_DELAY_US;
}

static enum kq_hop_verb
verb_of (const char *method, bool has_job)
{
  if (!has_job)
    return KQ_HOP_PENDING;
  if (strcmp (method, MHD_HTTP_METHOD_POST) == 0)
    return KQ_HOP_SUBMIT;
  if (strcmp (method, MHD_HTTP_METHOD_DELETE) == 0)
    return KQ_HOP_CANCEL;
  return KQ_HOP_STATE;
}

static bool
is_known_method (const char *method)
{
  return strcmp (method, MHD_HTTP_METHOD_POST) == 0
         || strcmp (method, MHD_HTTP_METHOD_GET) == 0
         || strcmp (method, MHD_HTTP_METHOD_DELETE) == 0;
}

static void
forward (struct kq_job_api *api, struct kq_http_request *request,
         const struct kq_sched_queue *queue, uint64_t job, bool has_job)
{
  struct pending *pending = calloc (1, sizeof *pending);
  kq_usec timeout
      = request->timeout > 0 ? request->timeout : DEFAULT_TIMEOUT_US;
  kq_usec margin;

  if (pending == NULL)
    {
      respond (api, request, "", MHD_HTTP_SERVICE_UNAVAILABLE, KQ_ENOMEM,
               NULL);
      return;
    }
  pending->number = ++api->last_number;
  pending->request = request;
  margin = timeout / 8 < RESPONSE_MARGIN_US ? timeout / 8 : RESPONSE_MARGIN_US;
  pending->times_out_at = request->arrived_at + timeout - margin;
  snprintf (pending->queue, sizeof pending->queue, "%s", queue->name);
  kq_node__ask__init (&pending->message);
  pending->message.number = pending->number;
  pending->message.verb = verb_of (request->method, has_job);
  pending->message.job = job;
  pending->message.queue = pending->queue;
  if (pending->message.verb == KQ_HOP_SUBMIT)
    {
      pending->message.body.data = (uint8_t *)request->body;
      pending->message.body.len = request->body_size;
    }
  request->handler_data = pending;
  HASH_ADD (hh, api->pending, number, sizeof pending->number, pending);
  send_request (api, pending);
}

/* Refuses a job of a queue that the owner has closed. */
static bool
refuse_closed (struct kq_job_api *api, struct kq_http_request *request,
               const struct kq_sched_queue *queue, uint64_t job,
               const char *job_text)
{
  int64_t retry_ms;

  if (strcmp (request->method, MHD_HTTP_METHOD_POST) != 0
      || !kq_admission_refuses (&api->admission, queue, job, kq_clock_now (),
                                &retry_ms)
      || !kq_closures_may_refuse (request->body, request->body_size))
    return false;
  kq_metric_add (&closed_count, 1);
  respond_with_retry (api, request, job_text, MHD_HTTP_TOO_MANY_REQUESTS,
                      KQ_EREQ_OVERLOAD, NULL, retry_ms);
  return true;
}

/* Refuses a submission that was read after a standstill, and whose caller has
   left meanwhile: it may have cancelled the job, or submitted it elsewhere. */
static bool
refuse_abandoned (struct kq_job_api *api, struct kq_http_request *request,
                  const char *job_text)
{
  char standstill[24];

  if (strcmp (request->method, MHD_HTTP_METHOD_POST) != 0
      || request->standstill == 0 || !kq_http_caller_has_left (request))
    return false;
  snprintf (standstill, sizeof standstill, "%" PRId64,
            request->standstill / KQ_USEC_PER_MSEC);
  kq_log (KQ_LOG_INFO, "desk", "abandoned submission", 0, "job", job_text,
          "standstill_ms", standstill, NULL);
  kq_metric_add (&abandoned_count, 1);
  respond (api, request, job_text, MHD_HTTP_SERVICE_UNAVAILABLE, KQ_ECLOSED,
           NULL);
  return true;
}

/* The path continues with a job's ID after the prefix, or ends there in a
   request for the number of jobs of a queue that have not started. */
static bool
read_job_id (const struct kq_http_request *request, const char *job_text,
             uint64_t *job)
{
  if (job_text[0] == '\0')
    return strcmp (request->method, MHD_HTTP_METHOD_GET) == 0;
  return kq_submission_id_read (job_text, job);
}

static void
on_request (void *arg, struct kq_http_request *request)
{
  struct kq_job_api *api = arg;
  const struct kq_sched_queue *queue;
  const char *job_text;
  uint64_t job = 0;

  if (api->config == NULL)
    {
      respond (api, request, "", MHD_HTTP_SERVICE_UNAVAILABLE, KQ_ECONFIG_NONE,
               NULL);
      return;
    }
  queue = kq_sched_config_route (api->config, request->host, request->path);
  job_text = queue != NULL ? request->path + strlen (queue->prefix) : "";
  if (queue == NULL)
    respond (api, request, "", MHD_HTTP_NOT_FOUND, KQ_EREQ_NO_SERVICE, NULL);
  else if (!is_known_method (request->method))
    respond (api, request, job_text, MHD_HTTP_METHOD_NOT_ALLOWED, KQ_EINVAL,
             NULL);
  else if (request->body_too_large)
    respond (api, request, job_text, MHD_HTTP_CONTENT_TOO_LARGE, KQ_ETOOBIG,
             NULL);
  else if (!read_job_id (request, job_text, &job))
    respond (api, request, job_text, MHD_HTTP_BAD_REQUEST, KQ_ESYNTAX, NULL);
  else if (!refuse_abandoned (api, request, job_text)
           && !refuse_closed (api, request, queue, job, job_text))
    forward (api, request, queue, job, job_text[0] != '\0');
}

static void
on_disconnect (void *arg, struct kq_http_request *request)
{
  if (request->handler_data != NULL)
    remove_pending (arg, request->handler_data);
}

static void
check_timeouts (struct kq_job_api *api, struct pending *pending, kq_usec now)
{
  bool refused = pending->sends.outstanding == 0
                 && now - pending->request->arrived_at > REFUSAL_TIMEOUT_US;

  if (pending->sends.outstanding > 0
      && now - pending->sent_at > SUSPECT_DELAY_US)
    api->handler.on_no_reply (api->handler.arg);
  if (refused || now > pending->times_out_at)
    fail_pending (api, pending);
  else if (now > pending->resend_at)
    send_request (api, pending);
}

static void
on_timer (struct ev_loop *loop, ev_timer *timer, int events)
{
  struct kq_job_api *api = timer->data;
  struct pending *pending;
  struct pending *next;
  kq_usec now = kq_clock_now ();

  HASH_ITER (hh, api->pending, pending, next)
  {
    check_timeouts (api, pending, now);
  }
}

struct kq_job_api *
kq_job_api_create (struct ev_loop *loop, const char *address,
                   const struct kq_job_api_handler *handler,
                   struct kq_guard *guard, int *err)
{
  struct kq_job_api *api = calloc (1, sizeof *api);
  struct kq_http_handler http = { .arg = api,
                                  .on_request = on_request,
                                  .on_disconnect = on_disconnect };

  *err = KQ_ENOMEM;
  if (api == NULL)
    return NULL;
  api->loop = loop;
  api->handler = *handler;
  api->http = kq_http_start (loop, address, &http, guard,
                             kq_guard_max_callers (guard), err);
  if (api->http == NULL)
    {
      free (api);
      return NULL;
    }
  ev_timer_init (&api->timer, on_timer, TIMER_INTERVAL_SEC,
                 TIMER_INTERVAL_SEC);
  api->timer.data = api;
  ev_timer_start (loop, &api->timer);
  return api;
}

void
kq_job_api_destroy (struct kq_job_api *api)
{
  struct pending *pending;
  struct pending *next;

  if (api == NULL)
    return;
  ev_timer_stop (api->loop, &api->timer);
  HASH_ITER (hh, api->pending, pending, next) { fail_pending (api, pending); }
  kq_http_stop (api->http);
  free (api);
}

void
kq_job_api_configure (struct kq_job_api *api,
                      const struct kq_sched_config *config)
{
  api->config = config;
  kq_http_limit_body (api->http, config->max_body_bytes);
}

static const char *
format_body (const struct pending *pending,
             const struct kq_job_api_reply *reply, char *text, size_t size)
{
  if (reply->status != MHD_HTTP_OK)
    return NULL;
  if (pending->message.verb == KQ_HOP_PENDING)
    snprintf (text, size, "{\"pending\":%u}", reply->pending);
  else if (pending->message.verb == KQ_HOP_STATE)
    snprintf (text, size, "{\"state\":\"%s\"}",
              kq_submission_state_name (reply->state));
  else
    snprintf (text, size, "{}");
  return text;
}

static bool
is_refusal (unsigned status)
{
  return status == MHD_HTTP_SERVICE_UNAVAILABLE
         || status == MHD_HTTP_TOO_MANY_REQUESTS;
}

/* Handles that nothing was done for one of the sent messages. */
static void
handle_rejection (struct kq_job_api *api, struct pending *pending,
                  const struct kq_job_api_reply *reply)
{
  switch (kq_sends_reject (&pending->sends, reply->status, reply->err,
                           reply->retry_ms))
    {
    case KQ_SENDS_RESEND:
      pending->resend_at = kq_clock_now () + NOT_READY_RETRY_DELAY_US;
      break;
    case KQ_SENDS_WAIT:
      pending->resend_at = pending->times_out_at;
      break;
    case KQ_SENDS_REFUSED:
      complete_pending (api, pending, pending->sends.status,
                        pending->sends.err, NULL, pending->sends.retry_ms);
      break;
    }
}

void
kq_job_api_handle_reply (struct kq_job_api *api,
                         const struct kq_job_api_reply *reply)
{
  struct pending *pending;
  char text[64];

  HASH_FIND (hh, api->pending, &reply->number, sizeof reply->number, pending);
  if (pending == NULL)
    return;
  kq_closures_note (&api->admission, reply->closures,
                    pending->request->arrived_at);
  if (reply->status == 0 || is_refusal (reply->status))
    {
      handle_rejection (api, pending, reply);
      return;
    }
  complete_pending (api, pending, reply->status, reply->err,
                    format_body (pending, reply, text, sizeof text),
                    reply->retry_ms);
}

void
kq_job_api_resend_pending (struct kq_job_api *api)
{
  struct pending *pending;
  struct pending *next;

  HASH_ITER (hh, api->pending, pending, next) { send_request (api, pending); }
}

void
kq_job_api_disable_keep_alive (struct kq_job_api *api)
{
  kq_http_disable_keep_alive (api->http);
}

bool
kq_job_api_is_idle (const struct kq_job_api *api)
{
  return api->pending == NULL && !kq_http_is_sending (api->http);
}

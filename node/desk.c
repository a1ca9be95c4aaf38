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
#include "platform/submission.h"

/* A caller that names no limit waits this long.  Source: the longest
   deadline of the users' requests, 3 s. */
#define DEFAULT_PATIENCE (3 * KQ_USEC_PER_SEC)

/* An answer leaves this long before the caller's limit, or an eighth of it
   where that is less. */
#define ANSWER_MARGIN (150 * KQ_USEC_PER_MSEC)

/* An ask without an answer is repeated after this: longer than any append of
   a slow store takes. */
#define REPEAT_AFTER (600 * KQ_USEC_PER_MSEC)

/* An owner that is not ready yet is asked again after this. */
#define NOT_READY_AFTER (50 * KQ_USEC_PER_MSEC)

/* A request that no owner has taken is refused after this; an owner that has
   just claimed reads its jobs within it. */
#define REFUSE_AFTER (400 * KQ_USEC_PER_MSEC)

#define STEP_SEC 0.025

/* When callers come again: an owner is replaced within two seconds. */
#define RETRY_S 1u

static struct kq_metric answered_ok
    = { .name = "kq_desk_answered_total",
        .help = "Callers' requests that were answered with success." };
static struct kq_metric refused_unsent
    = { .name = "kq_desk_not_taken_total",
        .help = "Requests refused with 503: nothing was done." };
static struct kq_metric unknown
    = { .name = "kq_desk_unknown_total",
        .help = "Requests answered with 504: nobody knows what was done." };
static struct kq_metric no_route
    = { .name = "kq_desk_no_queue_total",
        .help = "Requests answered with 404: no such queue." };
static struct kq_metric bad_input
    = { .name = "kq_desk_bad_input_total",
        .help = "Requests answered with 400, 405 or 413." };
static struct kq_metric asked_again
    = { .name = "kq_desk_asked_again_total",
        .help = "Questions to the owner that were repeated." };
static struct kq_histogram answer_time
    = { .name = "kq_desk_answer_seconds",
        .help = "Time from a request's arrival to its answer." };

struct pending
{
  uint64_t number;
  struct kq_http_request *request;
  KqNode__Ask ask;
  char queue[KQ_SCHED_NAME_SIZE];
  kq_usec asked_at;
  kq_usec ask_again_at;
  kq_usec gives_up_at;
  int unanswered; /* asks that an owner may have taken */
  UT_hash_handle hh;
};

struct kq_desk
{
  struct ev_loop *loop;
  struct kq_http *http;
  struct kq_desk_handler handler;
  const struct kq_sched_config *config;
  struct pending *pending;
  uint64_t last_number;
  ev_timer step;
};

static void
log_answer (const struct kq_http_request *request, const char *job,
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
count_answer (const struct kq_http_request *request, unsigned status)
{
  kq_histogram_add (&answer_time, kq_clock_now () - request->arrived_at);
  switch (status)
    {
    case MHD_HTTP_OK:
    case MHD_HTTP_GONE:
      kq_metric_add (&answered_ok, 1);
      break;
    case MHD_HTTP_SERVICE_UNAVAILABLE:
      kq_metric_add (&refused_unsent, 1);
      break;
    case MHD_HTTP_GATEWAY_TIMEOUT:
      kq_metric_add (&unknown, 1);
      break;
    case MHD_HTTP_NOT_FOUND:
      kq_metric_add (&no_route, 1);
      break;
    default:
      kq_metric_add (&bad_input, 1);
      break;
    }
}

void
kq_desk_register_metrics (void)
{
  kq_metric_register (&answered_ok);
  kq_metric_register (&refused_unsent);
  kq_metric_register (&unknown);
  kq_metric_register (&no_route);
  kq_metric_register (&bad_input);
  kq_metric_register (&asked_again);
  kq_histogram_register (&answer_time);
}

static void
reply (struct kq_desk *desk, struct kq_http_request *request, const char *job,
       unsigned status, int err, const char *body)
{
  char text[160];
  struct kq_http_answer answer
      = { .status = status, .type = "application/json", .body = body };

  if (body == NULL)
    {
      snprintf (text, sizeof text, "{\"error\":\"%s\"}", kq_err_name (err));
      answer.body = text;
    }
  if (status == MHD_HTTP_SERVICE_UNAVAILABLE)
    answer.retry_s = RETRY_S;
  answer.body_size = strlen (answer.body);
  log_answer (request, job, status, err);
  count_answer (request, status);
  kq_http_reply (desk->http, request, &answer);
}

static void
drop (struct kq_desk *desk, struct pending *pending)
{
  HASH_DEL (desk->pending, pending);
  free (pending);
}

static void
finish (struct kq_desk *desk, struct pending *pending, unsigned status,
        int err, const char *body)
{
  char job[24];

  snprintf (job, sizeof job, "%016" PRIx64, pending->ask.job);
  reply (desk, pending->request, job, status, err, body);
  drop (desk, pending);
}

/* Nothing was done when every ask was turned away; else nobody knows. */
static void
give_up (struct kq_desk *desk, struct pending *pending)
{
  if (pending->unanswered > 0)
    finish (desk, pending, MHD_HTTP_GATEWAY_TIMEOUT, KQ_ETIMEDOUT, NULL);
  else
    finish (desk, pending, MHD_HTTP_SERVICE_UNAVAILABLE, KQ_ELOG_DOWN, NULL);
}

static void
send_ask (struct kq_desk *desk, struct pending *pending)
{
  kq_usec now = kq_clock_now ();

  kq_metric_add (&asked_again, pending->asked_at != 0);
  pending->asked_at = now;
  pending->ask_again_at = now + REPEAT_AFTER;
  pending->unanswered++;
  if (desk->handler.on_ask (desk->handler.arg, &pending->ask))
    return;
  pending->unanswered--;
  pending->ask_again_at = now + NOT_READY_AFTER;
}

static enum kq_ask_verb
verb_of (const char *method, bool names_job)
{
  if (!names_job)
    return KQ_ASK_PENDING;
  if (strcmp (method, MHD_HTTP_METHOD_POST) == 0)
    return KQ_ASK_SUBMIT;
  if (strcmp (method, MHD_HTTP_METHOD_DELETE) == 0)
    return KQ_ASK_CANCEL;
  return KQ_ASK_STATE;
}

static bool
is_known_method (const char *method)
{
  return strcmp (method, MHD_HTTP_METHOD_POST) == 0
         || strcmp (method, MHD_HTTP_METHOD_GET) == 0
         || strcmp (method, MHD_HTTP_METHOD_DELETE) == 0;
}

static void
forward (struct kq_desk *desk, struct kq_http_request *request,
         const struct kq_sched_queue *queue, uint64_t job, bool names_job)
{
  struct pending *pending = calloc (1, sizeof *pending);
  kq_usec patience
      = request->patience > 0 ? request->patience : DEFAULT_PATIENCE;
  kq_usec margin;

  if (pending == NULL)
    {
      reply (desk, request, "", MHD_HTTP_SERVICE_UNAVAILABLE, KQ_ENOMEM, NULL);
      return;
    }
  pending->number = ++desk->last_number;
  pending->request = request;
  margin = patience / 8 < ANSWER_MARGIN ? patience / 8 : ANSWER_MARGIN;
  pending->gives_up_at = request->arrived_at + patience - margin;
  snprintf (pending->queue, sizeof pending->queue, "%s", queue->name);
  kq_node__ask__init (&pending->ask);
  pending->ask.number = pending->number;
  pending->ask.verb = verb_of (request->method, names_job);
  pending->ask.job = job;
  pending->ask.queue = pending->queue;
  if (pending->ask.verb == KQ_ASK_SUBMIT)
    {
      pending->ask.body.data = (uint8_t *)request->body;
      pending->ask.body.len = request->body_size;
    }
  request->owner = pending;
  HASH_ADD (hh, desk->pending, number, sizeof pending->number, pending);
  send_ask (desk, pending);
}

/* What follows the prefix is a job's ID, or nothing where a queue is read. */
static bool
is_well_formed (const struct kq_http_request *request, const char *rest,
                uint64_t *job)
{
  if (rest[0] == '\0')
    return strcmp (request->method, MHD_HTTP_METHOD_GET) == 0;
  return kq_submission_id_read (rest, job);
}

static void
on_request (void *arg, struct kq_http_request *request)
{
  struct kq_desk *desk = arg;
  const struct kq_sched_queue *queue;
  const char *rest;
  uint64_t job = 0;

  if (desk->config == NULL)
    {
      reply (desk, request, "", MHD_HTTP_SERVICE_UNAVAILABLE, KQ_ECONFIG_NONE,
             NULL);
      return;
    }
  queue = kq_sched_config_route (desk->config, request->host, request->path);
  rest = queue != NULL ? request->path + strlen (queue->prefix) : "";
  if (queue == NULL)
    reply (desk, request, "", MHD_HTTP_NOT_FOUND, KQ_EREQ_NO_SERVICE, NULL);
  else if (!is_known_method (request->method))
    reply (desk, request, rest, MHD_HTTP_METHOD_NOT_ALLOWED, KQ_EINVAL, NULL);
  else if (request->too_long)
    reply (desk, request, rest, MHD_HTTP_CONTENT_TOO_LARGE, KQ_ETOOBIG, NULL);
  else if (!is_well_formed (request, rest, &job))
    reply (desk, request, rest, MHD_HTTP_BAD_REQUEST, KQ_ESYNTAX, NULL);
  else
    forward (desk, request, queue, job, rest[0] != '\0');
}

static void
on_gone (void *arg, struct kq_http_request *request)
{
  if (request->owner != NULL)
    drop (arg, request->owner);
}

static void
step_one (struct kq_desk *desk, struct pending *pending, kq_usec now)
{
  bool refused = pending->unanswered == 0
                 && now - pending->request->arrived_at > REFUSE_AFTER;

  if (refused || now > pending->gives_up_at)
    give_up (desk, pending);
  else if (now > pending->ask_again_at)
    send_ask (desk, pending);
}

static void
on_step (struct ev_loop *loop, ev_timer *timer, int events)
{
  struct kq_desk *desk = timer->data;
  struct pending *pending;
  struct pending *next;
  kq_usec now = kq_clock_now ();

  HASH_ITER (hh, desk->pending, pending, next)
  {
    step_one (desk, pending, now);
  }
}

struct kq_desk *
kq_desk_create (struct ev_loop *loop, const char *address,
                const struct kq_desk_handler *handler, int *err)
{
  struct kq_desk *desk = calloc (1, sizeof *desk);
  struct kq_http_handler http
      = { .arg = desk, .on_request = on_request, .on_gone = on_gone };

  *err = KQ_ENOMEM;
  if (desk == NULL)
    return NULL;
  desk->loop = loop;
  desk->handler = *handler;
  desk->http = kq_http_start (loop, address, &http, err);
  if (desk->http == NULL)
    {
      free (desk);
      return NULL;
    }
  ev_timer_init (&desk->step, on_step, STEP_SEC, STEP_SEC);
  desk->step.data = desk;
  ev_timer_start (loop, &desk->step);
  return desk;
}

void
kq_desk_destroy (struct kq_desk *desk)
{
  struct pending *pending;
  struct pending *next;

  if (desk == NULL)
    return;
  ev_timer_stop (desk->loop, &desk->step);
  HASH_ITER (hh, desk->pending, pending, next) { give_up (desk, pending); }
  kq_http_stop (desk->http);
  free (desk);
}

void
kq_desk_configure (struct kq_desk *desk, const struct kq_sched_config *config)
{
  desk->config = config;
  kq_http_limit_body (desk->http, config->max_body_bytes);
}

static const char *
body_of (const struct pending *pending, const struct kq_desk_tell *tell,
         char *text, size_t size)
{
  if (tell->status != MHD_HTTP_OK)
    return NULL;
  if (pending->ask.verb == KQ_ASK_PENDING)
    snprintf (text, size, "{\"pending\":%u}", tell->pending);
  else if (pending->ask.verb == KQ_ASK_STATE)
    snprintf (text, size, "{\"state\":\"%s\"}",
              kq_submission_state_name (tell->state));
  else
    snprintf (text, size, "{}");
  return text;
}

void
kq_desk_told (struct kq_desk *desk, const struct kq_desk_tell *tell)
{
  struct pending *pending;
  char text[64];

  HASH_FIND (hh, desk->pending, &tell->number, sizeof tell->number, pending);
  if (pending == NULL)
    return;
  if (tell->status == 0)
    {
      if (pending->unanswered > 0)
        pending->unanswered--;
      pending->ask_again_at = kq_clock_now () + NOT_READY_AFTER;
      return;
    }
  finish (desk, pending, tell->status, tell->err,
          body_of (pending, tell, text, sizeof text));
}

void
kq_desk_ask_again (struct kq_desk *desk)
{
  struct pending *pending;
  struct pending *next;

  HASH_ITER (hh, desk->pending, pending, next) { send_ask (desk, pending); }
}

void
kq_desk_close_softly (struct kq_desk *desk)
{
  kq_http_close_softly (desk->http);
}

bool
kq_desk_is_idle (const struct kq_desk *desk)
{
  return desk->pending == NULL && !kq_http_is_sending (desk->http);
}

#include "node/explain.h"

#include <inttypes.h>
#include <microhttpd.h>
#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#include "base/err.h"
#include "log/log.h"
#include "metrics/metrics.h"
#include "node/explain-json.h"
#include "platform/submission.h"

/* An owner that has not replied by then does not count as reachable. Source:
   operators act on what they read within seconds. */
#define TIMEOUT_SEC 1.0

/* An explanation takes 33 us to 1.2 ms (bench/explain-cost.c): at this rate a
   hundredth of the owner's time at most. */
#define MIN_INTERVAL_US (100 * KQ_USEC_PER_MSEC)

/* Maximum number of requests that wait for the owner; it answers ten in the
   time that each waits. */
#define MAX_PENDING 16

/* Marks the numbers of these requests apart from those of the job API. */
#define NUMBER_MARK (UINT64_C (1) << 63)

static struct kq_metric answered_count
    = { .name = "kq_explain_answered_total",
        .help = "Explanations given by this host as the owner." };
static struct kq_metric refused_count
    = { .name = "kq_explain_refused_total",
        .help = "Requests for explanations above one per 100 ms." };

/* A request that was forwarded. */
struct pending
{
  uint64_t number;
  struct kq_explain *explain;
  struct kq_http *http;
  struct kq_http_request *request;
  ev_timer timer;
  struct pending *next;
};

struct kq_explain
{
  struct ev_loop *loop;
  struct kq_hop *hop;
  struct kq_explain_handler handler;
  struct pending *pending;
  int pending_count;
  uint64_t last_number;
  kq_usec last_at; /* of the last explanation; 0: none yet */
};

/* Status and body of a response. */
struct answer
{
  unsigned status;
  char *body; /* NULL when out of memory */
};

void
kq_explain_register_metrics (void)
{
  kq_metric_register (&answered_count);
  kq_metric_register (&refused_count);
}

struct kq_explain *
kq_explain_create (struct ev_loop *loop, struct kq_hop *hop,
                   const struct kq_explain_handler *handler)
{
  struct kq_explain *explain = calloc (1, sizeof *explain);

  if (explain == NULL)
    return NULL;
  explain->loop = loop;
  explain->hop = hop;
  explain->handler = *handler;
  return explain;
}

static struct answer
error_answer (unsigned status, int err, const char *field, const char *why)
{
  return (struct answer){ status,
                          kq_explain_json_error (err, field, why, -1) };
}

/* The owner is not known or not reachable. */
static struct answer
no_owner (const struct kq_explain_host *host, int err, const char *why)
{
  int64_t heard_ms
      = host->last_heard_at != 0
            ? (kq_clock_now () - host->last_heard_at) / KQ_USEC_PER_MSEC
            : -1;

  return (
      struct answer){ MHD_HTTP_SERVICE_UNAVAILABLE,
                      kq_explain_json_error (err, "owner", why, heard_ms) };
}

/* Explains the job of MESSAGE from the state of the owner on HOST. */
static struct answer
explain_job (const struct kq_explain_host *host, const KqNode__Ask *message)
{
  static struct kq_sched_explanation explanation;
  struct kq_sched_now now = { .mono = kq_clock_now (),
                              .wall_ms = kq_clock_wall () / KQ_USEC_PER_MSEC };
  struct kq_explain_source source
      = { .host = host->known->host,
          .job = message->job,
          .store_away = kq_owner_store_is_away (host->owner) };
  bool is_new = message->queue[0] != '\0';
  struct kq_sched_spec spec = { .text = NULL };
  int err = 0;

  if (is_new)
    err = kq_submission_read (message->body.data, message->body.len, &spec);
  if (err != 0)
    return error_answer (err == KQ_ENOMEM ? MHD_HTTP_SERVICE_UNAVAILABLE
                                          : MHD_HTTP_BAD_REQUEST,
                         err, "body", kq_err_text (err));
  err = kq_sched_explain (kq_owner_sched (host->owner), now, message->job,
                          message->queue, is_new ? &spec : NULL, &explanation);
  kq_sched_spec_clear (&spec);
  if (err == KQ_ENOENT)
    return error_answer (MHD_HTTP_NOT_FOUND, err, "queue", "no such queue");
  if (err == KQ_EJOB_UNKNOWN)
    return error_answer (MHD_HTTP_NOT_FOUND, err, "job", "no such job");
  if (err != 0)
    return error_answer (MHD_HTTP_SERVICE_UNAVAILABLE, err, "owner",
                         kq_err_text (err));
  kq_metric_add (&answered_count, 1);
  return (struct answer){ MHD_HTTP_OK,
                          kq_explain_json (&explanation, &source) };
}

/* Answers MESSAGE on the host of the owner, unless it comes too soon after the
   last one. */
static struct answer
answer_here (struct kq_explain *explain, const struct kq_explain_host *host,
             const KqNode__Ask *message)
{
  kq_usec now = kq_clock_now ();

  if (!kq_owner_is_active (host->owner))
    return no_owner (host, KQ_EPEER_VIEW, "the owner still reads its jobs");
  if (explain->last_at != 0 && now - explain->last_at < MIN_INTERVAL_US)
    {
      kq_metric_add (&refused_count, 1);
      return error_answer (MHD_HTTP_SERVICE_UNAVAILABLE, KQ_EREQ_OVERLOAD,
                           "owner", "it explains one job per 100 ms");
    }
  explain->last_at = now;
  return explain_job (host, message);
}

static void
respond (struct kq_http *http, struct kq_http_request *request,
         const struct answer *answer)
{
  struct kq_http_response response
      = { .status = answer->status,
          .type = "application/json",
          .body = answer->body != NULL ? answer->body : "{}",
          .retry_s = answer->status == MHD_HTTP_SERVICE_UNAVAILABLE };

  if (answer->body == NULL)
    response.status = MHD_HTTP_SERVICE_UNAVAILABLE;
  response.body_size = strlen (response.body);
  kq_http_respond (http, request, &response);
  free (answer->body);
}

static void
remove_pending (struct pending *pending)
{
  struct kq_explain *explain = pending->explain;

  ev_timer_stop (explain->loop, &pending->timer);
  LL_DELETE (explain->pending, pending);
  explain->pending_count--;
  free (pending);
}

static void
complete (struct pending *pending, const struct answer *answer)
{
  pending->request->handler_data = NULL;
  respond (pending->http, pending->request, answer);
  remove_pending (pending);
}

static void
fail (struct pending *pending, int err, const char *why)
{
  struct kq_explain_host host = { .owner = NULL };
  struct answer answer;

  pending->explain->handler.on_host (pending->explain->handler.arg, &host);
  answer = no_owner (&host, err, why);
  complete (pending, &answer);
}

static void
on_timeout (struct ev_loop *loop, ev_timer *timer, int events)
{
  fail (timer->data, KQ_ETIMEDOUT, "the owner has not replied within 1 s");
}

void
kq_explain_destroy (struct kq_explain *explain)
{
  if (explain == NULL)
    return;
  while (explain->pending != NULL)
    fail (explain->pending, KQ_ESTOPPING, "this host is stopping");
  free (explain);
}

/* Sends MESSAGE to the owner; the response to REQUEST follows. */
static void
forward (struct kq_explain *explain, const struct kq_explain_host *host,
         struct kq_http *http, struct kq_http_request *request,
         KqNode__Ask *message)
{
  struct pending *pending = NULL;
  struct answer answer;

  message->number = ++explain->last_number | NUMBER_MARK;
  if (explain->pending_count < MAX_PENDING)
    pending = calloc (1, sizeof *pending);
  if (pending == NULL
      || kq_hop_send_request (explain->hop, host->known->address, message)
             != 0)
    {
      free (pending);
      answer = no_owner (host, KQ_EIO, "the request cannot be forwarded");
      respond (http, request, &answer);
      return;
    }
  pending->number = message->number;
  pending->explain = explain;
  pending->http = http;
  pending->request = request;
  request->handler_data = pending;
  ev_timer_init (&pending->timer, on_timeout, TIMEOUT_SEC, 0);
  pending->timer.data = pending;
  ev_timer_start (explain->loop, &pending->timer);
  LL_PREPEND (explain->pending, pending);
  explain->pending_count++;
}

/* Fills MESSAGE from REQUEST. Returns false with *ANSWER set if that is not
   valid. */
static bool
read_request (const struct kq_http_request *request, KqNode__Ask *message,
              struct answer *answer)
{
  const char *queue = kq_http_argument (request, "queue");
  const char *job = kq_http_argument (request, "job");
  bool is_post = strcmp (request->method, MHD_HTTP_METHOD_POST) == 0;

  message->verb = KQ_HOP_EXPLAIN;
  if (!is_post && strcmp (request->method, MHD_HTTP_METHOD_GET) != 0)
    *answer = error_answer (MHD_HTTP_METHOD_NOT_ALLOWED, KQ_EINVAL, "method",
                            "POST or GET is expected");
  else if (request->body_too_large)
    *answer = error_answer (MHD_HTTP_CONTENT_TOO_LARGE, KQ_ETOOBIG, "body",
                            kq_err_text (KQ_ETOOBIG));
  else if (is_post
           && (queue == NULL || queue[0] == '\0'
               || strlen (queue) >= KQ_SCHED_NAME_SIZE))
    *answer = error_answer (MHD_HTTP_BAD_REQUEST, KQ_EINVAL, "queue",
                            "the name of a queue is expected");
  else if (!is_post
           && (job == NULL || !kq_submission_id_read (job, &message->job)))
    *answer = error_answer (MHD_HTTP_BAD_REQUEST, KQ_ESYNTAX, "job",
                            "16 hexadecimal digits are expected");
  else
    {
      if (is_post)
        {
          message->queue = (char *)queue;
          message->body.data = (uint8_t *)request->body;
          message->body.len = request->body_size;
        }
      return true;
    }
  return false;
}

bool
kq_explain_handle_http (struct kq_explain *explain, struct kq_http *http,
                        struct kq_http_request *request)
{
  KqNode__Ask message = KQ_NODE__ASK__INIT;
  struct kq_explain_host host = { .owner = NULL };
  struct answer answer;

  if (strcmp (request->path, "/explain") != 0)
    return false;
  explain->handler.on_host (explain->handler.arg, &host);
  if (read_request (request, &message, &answer))
    {
      if (host.owner == NULL && host.known->address[0] != '\0')
        {
          forward (explain, &host, http, request, &message);
          return true;
        }
      answer = host.owner != NULL
                   ? answer_here (explain, &host, &message)
                   : no_owner (&host, KQ_EPEER_VIEW, "no owner is known");
    }
  respond (http, request, &answer);
  return true;
}

void
kq_explain_drop (struct kq_explain *explain, struct kq_http_request *request)
{
  if (request->handler_data != NULL)
    remove_pending (request->handler_data);
}

void
kq_explain_handle_hop (struct kq_explain *explain,
                       const struct kq_hop_sender *sender,
                       const KqNode__Ask *message)
{
  KqNode__Tell reply = KQ_NODE__TELL__INIT;
  struct kq_explain_host host = { .owner = NULL };
  struct answer answer;

  explain->handler.on_host (explain->handler.arg, &host);
  reply.number = message->number;
  reply.owner = (char *)host.known->address;
  reply.term = host.known->term;
  if (host.owner != NULL)
    {
      answer = answer_here (explain, &host, message);
      reply.status = answer.status;
      reply.explanation.data = (uint8_t *)answer.body;
      reply.explanation.len = answer.body != NULL ? strlen (answer.body) : 0;
    }
  kq_hop_send_reply (explain->hop, sender, &reply);
  free (reply.explanation.data);
}

bool
kq_explain_handle_reply (struct kq_explain *explain,
                         const KqNode__Tell *message)
{
  struct pending *pending;
  struct answer answer = { .status = message->status };

  if ((message->number & NUMBER_MARK) == 0)
    return false;
  LL_SEARCH_SCALAR (explain->pending, pending, number, message->number);
  if (pending == NULL)
    return true;
  if (message->status == 0 || message->explanation.len == 0)
    {
      fail (pending, KQ_EPEER_VIEW, "the host asked is not the owner");
      return true;
    }
  answer.body = strndup ((const char *)message->explanation.data,
                         message->explanation.len);
  complete (pending, &answer);
  return true;
}

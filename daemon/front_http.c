#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/address.h"
#include "base/err.h"
#include "daemon/front_impl.h"
#include "log/log.h"

/** Time without traffic after which a caller's connection is closed. */
#define IDLE_TIMEOUT_SECONDS 30
/** Memory of a connection for its request line and headers. */
#define CONNECTION_MEMORY_BYTES ((size_t)32 * 1024)
#define DEFAULT_MAX_CONNECTIONS 8192
/** A body without Content-Length that is too long is read and discarded up
 *  to this many times the limit, so that the caller receives the error.  */
#define DISCARD_FACTOR 4

/** Limit in bytes of the bodies of all calls together; what is over it is
    refused as not run.  */
#define MAX_BODY_BYTES ((size_t)64 * 1024 * 1024)

/** Time within which a body must be complete.  */
#define MAX_BODY_US (60 * KQ_USEC_PER_SEC)
/** Ticks between checks for callers that closed their connections. */
#define CHECK_INTERVAL_TICKS 10
/** Maximum size in bytes of the body of an error response. */
#define MAX_ERROR_BODY_SIZE 512

static unsigned
http_status (const struct kq_front_call *call)
{
  switch (call->outcome)
    {
    case KQ_OUTCOME_ANSWERED:
      return (unsigned)kq_response_status (call->answer);
    case KQ_OUTCOME_INVALID:
      if (call->err == KQ_ETOOBIG)
        return MHD_HTTP_CONTENT_TOO_LARGE;
      if (call->err == KQ_EREQ_KEY_REUSED)
        return MHD_HTTP_UNPROCESSABLE_CONTENT;
      return MHD_HTTP_BAD_REQUEST;
    case KQ_OUTCOME_NOT_RUN:
      if (call->err == KQ_EREQ_NO_SERVICE)
        return MHD_HTTP_NOT_FOUND;
      return MHD_HTTP_SERVICE_UNAVAILABLE;
    case KQ_OUTCOME_UNKNOWN:
      if (call->err == KQ_ETIMEDOUT)
        return MHD_HTTP_GATEWAY_TIMEOUT;
      if (call->err == KQ_EREQ_KEY_IN_USE || call->err == KQ_EREQ_ANSWER_GONE)
        return MHD_HTTP_CONFLICT;
      return MHD_HTTP_BAD_GATEWAY;
    }
  return MHD_HTTP_INTERNAL_SERVER_ERROR;
}

static struct MHD_Response *
create_error_response (const struct kq_front_call *call)
{
  char trace[KQ_TRACE_ID_SIZE];
  char body[MAX_ERROR_BODY_SIZE];
  struct MHD_Response *response;
  int length;

  kq_trace_id (&call->trace, trace);
  length = snprintf (body, sizeof body,
                     "{\"outcome\":\"%s\",\"error\":\"%s\",\"text\":\"%s\","
                     "\"trace\":\"%s\"}\n",
                     kq_outcome_name (call->outcome), kq_err_name (call->err),
                     kq_err_text (call->err), trace);
  response = MHD_create_response_from_buffer ((size_t)length, body,
                                              MHD_RESPMEM_MUST_COPY);
  if (response == NULL)
    return NULL;
  MHD_add_response_header (response, "Content-Type", "application/json");
  MHD_add_response_header (response, "Kumquatrack-Outcome",
                           kq_outcome_name (call->outcome));
  return response;
}

static void
unref_answer (void *answer)
{
  kq_response_unref (answer);
}

/* The response to HEAD has the Content-Length of the endpoint's response
   although it has no body.  */
static struct MHD_Response *
create_endpoint_response (const struct kq_front_call *call)
{
  size_t length;
  const char *body = kq_response_body (call->answer, &length);
  bool is_head = strcmp (call->method, "HEAD") == 0;
  struct MHD_Response *response;
  size_t position = 0;
  const char *name;
  const char *value;

  kq_response_ref (call->answer);
  response = MHD_create_response_from_buffer_with_free_callback_cls (
      length, (void *)body, unref_answer, call->answer);
  if (response == NULL)
    {
      kq_response_unref (call->answer);
      return NULL;
    }
  if (is_head)
    MHD_set_response_options (response, MHD_RF_INSANITY_HEADER_CONTENT_LENGTH,
                              MHD_RO_END);
  while ((name = kq_response_header (call->answer, &position, &value)) != NULL)
    MHD_add_response_header (response, name, value);
  return response;
}

static enum MHD_Result
queue_response (struct kq_front_call *call)
{
  struct MHD_Response *response;
  enum MHD_Result result;

  if (call->outcome == KQ_OUTCOME_ANSWERED)
    response = create_endpoint_response (call);
  else
    response = create_error_response (call);
  if (response == NULL)
    return MHD_NO;
  if (call->front->stopping)
    MHD_add_response_header (response, "Connection", "close");
  result = MHD_queue_response (call->connection, http_status (call), response);
  MHD_destroy_response (response);
  return result;
}

static enum MHD_Result
refuse_request (struct kq_front_call *call, enum kq_outcome outcome, int err)
{
  call->replied = true;
  call->outcome = outcome;
  call->err = err;
  return queue_response (call);
}

/* Counts the buffer of the body of CALL.  Returns KQ_ENOMEM if those of all
   calls are too large together. */
static int
count_body (struct kq_front_call *call)
{
  struct kq_front *front = call->front;

  front->body_bytes += call->body.capacity - call->body_share;
  call->body_share = call->body.capacity;
  return front->body_bytes > MAX_BODY_BYTES ? KQ_ENOMEM : 0;
}

void
kq_front_http_clear_body (struct kq_front_call *call)
{
  call->front->body_bytes -= call->body_share;
  call->body_share = 0;
  kq_buffer_clear (&call->body);
}

static enum MHD_Result
on_body (struct kq_front_call *call, const char *data, size_t *size)
{
  size_t length = *size;

  *size = 0;
  call->body_bytes += length;
  if (call->body_bytes > DISCARD_FACTOR * KQ_FRONT_BODY_LIMIT
      || kq_clock_now () - call->arrived > MAX_BODY_US)
    return MHD_NO;
  if (call->read_err != 0)
    return MHD_YES;
  call->read_err = kq_buffer_add (&call->body, data, length);
  if (call->read_err == 0)
    call->read_err = count_body (call);
  if (call->read_err != 0)
    kq_front_http_clear_body (call);
  return MHD_YES;
}

static enum MHD_Result
on_complete (struct kq_front_call *call)
{
  if (call->replied)
    return queue_response (call);
  if (call->read_err == KQ_ENOMEM)
    return refuse_request (call, KQ_OUTCOME_NOT_RUN, call->read_err);
  if (call->read_err != 0)
    return refuse_request (call, KQ_OUTCOME_INVALID, call->read_err);
  if (call->front->stopping)
    return refuse_request (call, KQ_OUTCOME_NOT_RUN, KQ_ESTOPPING);
  kq_front_headers_complete_key (call);
  kq_front_call_submit (call);
  if (call->replied)
    return queue_response (call);
  call->suspended = true;
  MHD_suspend_connection (call->connection);
  return MHD_YES;
}

static enum MHD_Result
on_request (void *context, struct MHD_Connection *connection, const char *url,
            const char *method, const char *version, const char *data,
            size_t *size, void **request)
{
  struct kq_front_call *call = *request;

  if (call == NULL)
    return MHD_NO;
  if (!call->headers_read)
    {
      call->headers_read = true;
      call->connection = connection;
      kq_front_headers_read (call, method);
      /* Refused before the body is read, so the connection is closed
         afterwards.  */
      if (call->read_err != 0)
        return refuse_request (call, KQ_OUTCOME_INVALID, call->read_err);
      return MHD_YES;
    }
  if (*size > 0)
    return on_body (call, data, size);
  return on_complete (call);
}

static void *
on_uri (void *context, const char *uri, struct MHD_Connection *connection)
{
  return kq_front_call_create (context, uri);
}

static void
on_completed (void *context, struct MHD_Connection *connection, void **request,
              enum MHD_RequestTerminationCode code)
{
  struct kq_front_call *call = *request;
  struct kq_request_event event = { .kind = KQ_REQ_EV_DISCONNECT };

  if (call == NULL)
    return;
  *request = NULL;
  call->connection = NULL;
  call->suspended = false;
  if (!call->replied)
    {
      call->outcome = KQ_OUTCOME_INVALID;
      call->err = KQ_ECLOSED;
    }
  if (!call->replied && call->submitted)
    {
      event.u.disconnected_id = call->arrival.id;
      kq_front_process_event (call->front, &event);
    }
  kq_front_call_finish (call);
}

void
kq_front_http_reply (struct kq_front_call *call)
{
  if (!call->suspended)
    return;
  call->suspended = false;
  MHD_resume_connection (call->connection);
  call->front->mhd_pending = true;
}

static bool
is_disconnected (const struct kq_front_call *call)
{
  const union MHD_ConnectionInfo *info = MHD_get_connection_info (
      call->connection, MHD_CONNECTION_INFO_CONNECTION_FD);
  char byte;

  return info != NULL
         && recv (info->connect_fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
}

void
kq_front_http_check_disconnects (struct kq_front *front)
{
  struct kq_request_event event = { .kind = KQ_REQ_EV_DISCONNECT };
  struct kq_front_call *call;
  struct kq_front_call *next;

  if (++front->ticks_since_check < CHECK_INTERVAL_TICKS)
    return;
  front->ticks_since_check = 0;
  HASH_ITER (hh, front->calls, call, next)
  if (call->suspended && is_disconnected (call))
    {
      event.u.disconnected_id = call->arrival.id;
      kq_front_process_event (front, &event);
    }
}

static void
set_timer (struct kq_front *front)
{
  MHD_UNSIGNED_LONG_LONG ms;

  if (MHD_get_timeout (front->mhd, &ms) != MHD_YES)
    {
      ev_timer_stop (front->loop, &front->mhd_timer);
      return;
    }
  if (ms == 0)
    {
      front->mhd_pending = true;
      return;
    }
  front->mhd_timer.repeat = (double)ms / 1000.;
  ev_timer_again (front->loop, &front->mhd_timer);
}

void
kq_front_http_run (struct kq_front *front)
{
  front->mhd_pending = false;
  MHD_run (front->mhd);
  set_timer (front);
}

static void
on_mhd_io (struct ev_loop *loop, ev_io *watcher, int events)
{
  kq_front_http_run (watcher->data);
}

static void
on_mhd_timer (struct ev_loop *loop, ev_timer *watcher, int events)
{
  kq_front_http_run (watcher->data);
}

static void
on_log (void *context, const char *format, va_list arguments)
{
}

int
kq_front_http_start (struct kq_front *front)
{
  struct sockaddr_storage address;
  unsigned flags
      = MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME | MHD_USE_ERROR_LOG;
  unsigned limit = front->settings.max_connections;

  if (!kq_address_parse (front->settings.listen, &address))
    return KQ_EINVAL;
  if (address.ss_family == AF_INET6)
    flags |= MHD_USE_IPv6;
  front->mhd = MHD_start_daemon (
      flags, 0, NULL, NULL, on_request, front, MHD_OPTION_EXTERNAL_LOGGER,
      on_log, NULL, MHD_OPTION_SOCK_ADDR, &address,
      MHD_OPTION_URI_LOG_CALLBACK, on_uri, front, MHD_OPTION_NOTIFY_COMPLETED,
      on_completed, front, MHD_OPTION_CONNECTION_LIMIT,
      limit != 0 ? limit : DEFAULT_MAX_CONNECTIONS,
      MHD_OPTION_CONNECTION_TIMEOUT, (unsigned)IDLE_TIMEOUT_SECONDS,
      MHD_OPTION_CONNECTION_MEMORY_LIMIT, CONNECTION_MEMORY_BYTES,
      MHD_OPTION_END);
  return front->mhd != NULL ? 0 : KQ_EIO;
}

void
kq_front_http_attach (struct kq_front *front)
{
  const union MHD_DaemonInfo *info
      = MHD_get_daemon_info (front->mhd, MHD_DAEMON_INFO_EPOLL_FD);

  ev_io_init (&front->mhd_watcher, on_mhd_io, info->epoll_fd, EV_READ);
  front->mhd_watcher.data = front;
  ev_io_start (front->loop, &front->mhd_watcher);
  ev_timer_init (&front->mhd_timer, on_mhd_timer, 0., 0.);
  front->mhd_timer.data = front;
}

void
kq_front_http_quiesce (struct kq_front *front)
{
  MHD_socket listener = MHD_quiesce_daemon (front->mhd);

  if (listener != MHD_INVALID_SOCKET)
    close (listener);
}

/* Ends the calls that are still open after the drain time.  The router replies
   to each with "unknown" if the request may have run, else with "not run".  */
static void
disconnect_callers (struct kq_front *front)
{
  struct kq_request_event event = { .kind = KQ_REQ_EV_DISCONNECT };
  struct kq_front_call *call;
  struct kq_front_call *next;

  HASH_ITER (hh, front->calls, call, next)
  {
    event.u.disconnected_id = call->arrival.id;
    if (!call->replied)
      kq_front_process_event (front, &event);
  }
  MHD_run (front->mhd);
}

void
kq_front_http_stop (struct kq_front *front)
{
  if (front->mhd == NULL)
    return;
  disconnect_callers (front);
  MHD_stop_daemon (front->mhd);
  front->mhd = NULL;
}

#include "daemon/admin.h"

#include <inttypes.h>
#include <microhttpd.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#include "base/address.h"
#include "base/err.h"
#include "log/log.h"
#include "metrics/metrics.h"
#include "query/query.h"
#include "trace/trace.h"

#define MAX_CONNECTIONS 64
#define CONNECTION_MEMORY_BYTES ((size_t)16384)

/* Time after which an idle or slow connection is closed. */
#define CONNECTION_TIMEOUT_SEC 20

/* Time after which an operator receives the result "unknown". */
#define COMMAND_TIMEOUT_US (10 * KQ_USEC_PER_SEC)

#define MAX_METRICS_BYTES ((size_t)262144)

/* An operator's request. */
struct request
{
  char *body;
  size_t length;
  bool too_long;
  /* only for a command, set when it starts to wait for the core */
  struct MHD_Connection *connection;
  struct kq_query query;
  uint64_t id; /* of the command; 0: none */
  bool issued;
  kq_usec received_at;
  bool replied;
  json_t *reply;
  struct request *prev;
  struct request *next;
};

struct kq_admin
{
  struct ev_loop *loop;
  struct kq_admin_handler handler;
  struct MHD_Daemon *mhd;
  ev_io io;
  ev_timer timer; /* next run of the HTTP server or expiry of commands */
  uint64_t last_id;
  struct request *waiting;
  bool run_scheduled;
  bool stopping;
};

static struct kq_metric requests_total
    = { .name = "kq_admin_requests_total", .help = "Requests of operators." };
static struct kq_metric refused_total
    = { .name = "kq_admin_refused_total",
        .help = "Requests of operators that were malformed." };

void
kq_admin_register_metrics (void)
{
  kq_metric_register (&requests_total);
  kq_metric_register (&refused_total);
}

static void
free_request (struct request *request)
{
  kq_query_clear (&request->query);
  json_decref (request->reply);
  free (request->body);
  free (request);
}

static enum MHD_Result
send_text (struct MHD_Connection *connection, unsigned status,
           const char *type, char *text)
{
  struct MHD_Response *response = MHD_create_response_from_buffer (
      strlen (text), text, MHD_RESPMEM_MUST_FREE);
  enum MHD_Result result;

  if (response == NULL)
    {
      free (text);
      return MHD_NO;
    }
  MHD_add_response_header (response, MHD_HTTP_HEADER_CONTENT_TYPE, type);
  result = MHD_queue_response (connection, status, response);
  MHD_destroy_response (response);
  return result;
}

/* Takes over the reference to BODY. */
static enum MHD_Result
send_json (struct MHD_Connection *connection, unsigned status, json_t *body)
{
  char *text = json_dumps (body, JSON_COMPACT);

  json_decref (body);
  if (text == NULL)
    return MHD_NO;
  return send_text (connection, status, "application/json", text);
}

static enum MHD_Result
send_error (struct MHD_Connection *connection, unsigned status, int err)
{
  kq_metric_add (&refused_total, 1);
  return send_json (connection, status,
                    json_pack ("{s:s,s:s,s:i,s:s}", "result", "refused",
                               "error", kq_err_name (err), "number", err,
                               "reason", kq_err_text (err)));
}

static unsigned
http_status (const json_t *body)
{
  static const struct
  {
    const char *word;
    unsigned status;
  } statuses[] = { { "invalid", MHD_HTTP_BAD_REQUEST },
                   { "refused", MHD_HTTP_CONFLICT },
                   { "unknown", MHD_HTTP_GATEWAY_TIMEOUT } };
  const char *result = json_string_value (json_object_get (body, "result"));

  for (size_t i = 0; i < sizeof statuses / sizeof statuses[0]; i++)
    if (result != NULL && strcmp (result, statuses[i].word) == 0)
      return statuses[i].status;
  return MHD_HTTP_OK;
}

static json_t *
find_trace (void *arg, const char *id)
{
  return kq_trace_find (id);
}

static enum MHD_Result
send_query_result (struct kq_admin *admin, struct MHD_Connection *connection,
                   const struct kq_query *query)
{
  const struct kq_admin_handler *handler = &admin->handler;
  struct kq_query_provider provider
      = { .ctx = handler->arg,
          .rows = handler->rows,
          .config = handler->config,
          .trace = find_trace,
          .host = handler->host,
          .age_ms = handler->log_age_ms (handler->arg) };
  json_t *body = kq_query_answer (query, &provider);

  return send_json (connection, http_status (body), body);
}

/* Runs the HTTP server in the next iteration of the event loop. */
static void
schedule_run (struct kq_admin *admin)
{
  admin->run_scheduled = true;
  ev_timer_stop (admin->loop, &admin->timer);
  ev_timer_set (&admin->timer, 0, 0);
  ev_timer_start (admin->loop, &admin->timer);
}

static enum MHD_Result
wait_for_core (struct kq_admin *admin, struct MHD_Connection *connection,
               struct request *request)
{
  request->connection = connection;
  request->id = ++admin->last_id;
  request->query.u.command.id = request->id;
  request->received_at = kq_clock_now ();
  DL_APPEND (admin->waiting, request);
  MHD_suspend_connection (connection);
  schedule_run (admin);
  return MHD_YES;
}

static enum MHD_Result
handle_command (struct kq_admin *admin, struct MHD_Connection *connection,
                struct request *request)
{
  struct kq_query_error error;
  json_t *reply = request->reply;

  if (request->replied)
    {
      if (reply == NULL)
        return MHD_NO;
      request->reply = NULL;
      return send_json (connection, http_status (reply), reply);
    }
  if (request->too_long)
    return send_error (connection, MHD_HTTP_CONTENT_TOO_LARGE, KQ_ETOOBIG);
  if (admin->stopping)
    return send_error (connection, MHD_HTTP_SERVICE_UNAVAILABLE, KQ_ESTOPPING);
  if (request->body == NULL || strlen (request->body) != request->length)
    return send_error (connection, MHD_HTTP_BAD_REQUEST, KQ_ESYNTAX);
  if (kq_query_parse (request->body, &request->query, &error) != 0)
    {
      kq_metric_add (&refused_total, 1);
      return send_json (connection, MHD_HTTP_BAD_REQUEST,
                        kq_query_error_json (&error));
    }
  if (request->query.kind == KQ_QUERY_COMMAND)
    return wait_for_core (admin, connection, request);
  return send_query_result (admin, connection, &request->query);
}

static enum MHD_Result
send_metrics (struct MHD_Connection *connection)
{
  char *page = malloc (MAX_METRICS_BYTES);

  if (page == NULL)
    return MHD_NO;
  if (kq_metric_print (page, MAX_METRICS_BYTES) < 0)
    {
      free (page);
      return send_error (connection, MHD_HTTP_INTERNAL_SERVER_ERROR,
                         KQ_ETOOBIG);
    }
  return send_text (connection, MHD_HTTP_OK, "text/plain; version=0.0.4",
                    page);
}

static enum MHD_Result
send_health (struct kq_admin *admin, struct MHD_Connection *connection,
             bool must_serve)
{
  bool serving = false;
  json_t *health = admin->handler.health (admin->handler.arg, &serving);

  return send_json (connection,
                    serving || !must_serve ? MHD_HTTP_OK
                                           : MHD_HTTP_SERVICE_UNAVAILABLE,
                    health);
}

static enum MHD_Result
send_trace (struct MHD_Connection *connection, const char *id)
{
  json_t *spans = kq_trace_find (id);

  if (spans == NULL)
    return send_error (connection, MHD_HTTP_BAD_REQUEST, KQ_ESYNTAX);
  return send_json (connection, MHD_HTTP_OK,
                    json_pack ("{s:s,s:o}", "trace", id, "spans", spans));
}

static enum MHD_Result
handle_get (struct kq_admin *admin, struct MHD_Connection *connection,
            const char *path)
{
  static const char trace[] = "/trace/";

  if (strcmp (path, "/metrics") == 0)
    return send_metrics (connection);
  if (strcmp (path, "/health") == 0)
    return send_health (admin, connection, false);
  if (strcmp (path, "/ready") == 0)
    return send_health (admin, connection, true);
  if (strncmp (path, trace, strlen (trace)) == 0)
    return send_trace (connection, path + strlen (trace));
  return send_error (connection, MHD_HTTP_NOT_FOUND, KQ_ENOENT);
}

static void
append_body (struct request *request, const char *data, size_t length)
{
  char *new_body;

  if (request->too_long || length > KQ_QUERY_TEXT_MAX - request->length)
    {
      request->too_long = true;
      return;
    }
  new_body = realloc (request->body, request->length + length + 1);
  if (new_body == NULL)
    {
      request->too_long = true;
      return;
    }
  memcpy (new_body + request->length, data, length);
  request->body = new_body;
  request->length += length;
  new_body[request->length] = '\0';
}

static enum MHD_Result
on_request (void *arg, struct MHD_Connection *connection, const char *path,
            const char *method, const char *version, const char *data,
            size_t *size, void **state)
{
  struct kq_admin *admin = arg;
  struct request *request = *state;

  if (request == NULL)
    {
      *state = calloc (1, sizeof *request);
      return *state == NULL ? MHD_NO : MHD_YES;
    }
  if (*size > 0)
    {
      append_body (request, data, *size);
      *size = 0;
      return MHD_YES;
    }
  if (!request->replied)
    kq_metric_add (&requests_total, 1);
  if (strcmp (method, MHD_HTTP_METHOD_GET) == 0)
    return handle_get (admin, connection, path);
  if (strcmp (path, "/command") != 0)
    return send_error (connection, MHD_HTTP_NOT_FOUND, KQ_ENOENT);
  if (strcmp (method, MHD_HTTP_METHOD_POST) != 0)
    return send_error (connection, MHD_HTTP_METHOD_NOT_ALLOWED, KQ_EINVAL);
  return handle_command (admin, connection, request);
}

static void
on_completed (void *arg, struct MHD_Connection *connection, void **state,
              enum MHD_RequestTerminationCode code)
{
  if (*state != NULL)
    free_request (*state);
  *state = NULL;
}

static struct request *
find_waiting (struct kq_admin *admin, uint64_t id)
{
  struct request *request;

  DL_FOREACH (admin->waiting, request)
  {
    if (request->id == id)
      return request;
  }
  return NULL;
}

void
kq_admin_reply (struct kq_admin *admin, uint64_t id, int err, int64_t revision)
{
  struct request *request = find_waiting (admin, id);

  if (request == NULL)
    return;
  DL_DELETE (admin->waiting, request);
  request->replied = true;
  request->reply = kq_query_command_result (&request->query, err, revision);
  MHD_resume_connection (request->connection);
  schedule_run (admin);
}

/* Hands new commands to the core.  Not called from callbacks of the HTTP
   server.  */
static void
issue_commands (struct kq_admin *admin)
{
  struct request *request;
  struct request *next;

  DL_FOREACH_SAFE (admin->waiting, request, next)
  {
    if (request->issued)
      continue;
    request->issued = true;
    admin->handler.command (admin->handler.arg, &request->query.u.command);
    /* The core may have replied at once, to this and to other commands, so the
       list is searched from its start.  */
    next = admin->waiting;
  }
}

static void
expire_commands (struct kq_admin *admin)
{
  kq_usec now = kq_clock_now ();

  while (admin->waiting != NULL
         && now - admin->waiting->received_at >= COMMAND_TIMEOUT_US)
    kq_admin_reply (admin, admin->waiting->id, KQ_ETIMEDOUT, 0);
}

static void
run_http_server (struct kq_admin *admin)
{
  MHD_UNSIGNED_LONG_LONG wait_ms;
  double delay = 1.0;

  issue_commands (admin);
  expire_commands (admin);
  admin->run_scheduled = false;
  MHD_run (admin->mhd);
  issue_commands (admin);
  if (admin->run_scheduled)
    delay = 0;
  else if (MHD_get_timeout (admin->mhd, &wait_ms) == MHD_YES && wait_ms < 1000)
    delay = (double)wait_ms / 1000.0;
  ev_timer_stop (admin->loop, &admin->timer);
  ev_timer_set (&admin->timer, delay, 0);
  ev_timer_start (admin->loop, &admin->timer);
}

static void
on_io (struct ev_loop *loop, ev_io *io, int events)
{
  run_http_server (io->data);
}

static void
on_timer (struct ev_loop *loop, ev_timer *timer, int events)
{
  run_http_server (timer->data);
}

static struct MHD_Daemon *
start_http_server (struct kq_admin *admin,
                   const struct sockaddr_storage *address)
{
  unsigned flags = MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME;

  if (address->ss_family == AF_INET6)
    flags |= MHD_USE_IPv6;
  return MHD_start_daemon (
      flags, 0, NULL, NULL, on_request, admin, MHD_OPTION_SOCK_ADDR, address,
      MHD_OPTION_CONNECTION_LIMIT, MAX_CONNECTIONS,
      MHD_OPTION_CONNECTION_TIMEOUT, CONNECTION_TIMEOUT_SEC,
      MHD_OPTION_CONNECTION_MEMORY_LIMIT, CONNECTION_MEMORY_BYTES,
      MHD_OPTION_NOTIFY_COMPLETED, on_completed, admin, MHD_OPTION_END);
}

struct kq_admin *
kq_admin_start (struct ev_loop *loop, const char *address,
                const struct kq_admin_handler *handler, int *err)
{
  struct sockaddr_storage socket_address;
  struct kq_admin *admin = calloc (1, sizeof *admin);

  *err = KQ_ENOMEM;
  if (admin == NULL)
    return NULL;
  admin->loop = loop;
  admin->handler = *handler;
  *err = KQ_EINVAL;
  if (kq_address_parse (address, &socket_address))
    {
      *err = KQ_EIO;
      admin->mhd = start_http_server (admin, &socket_address);
    }
  if (admin->mhd == NULL)
    {
      free (admin);
      return NULL;
    }
  *err = 0;
  ev_io_init (
      &admin->io, on_io,
      MHD_get_daemon_info (admin->mhd, MHD_DAEMON_INFO_EPOLL_FD)->epoll_fd,
      EV_READ);
  admin->io.data = admin;
  ev_init (&admin->timer, on_timer);
  admin->timer.data = admin;
  ev_io_start (loop, &admin->io);
  schedule_run (admin);
  return admin;
}

void
kq_admin_stop (struct kq_admin *admin)
{
  if (admin == NULL)
    return;
  admin->stopping = true;
  while (admin->waiting != NULL)
    kq_admin_reply (admin, admin->waiting->id, KQ_ESTOPPING, 0);
  MHD_run (admin->mhd);
  ev_io_stop (admin->loop, &admin->io);
  ev_timer_stop (admin->loop, &admin->timer);
  MHD_stop_daemon (admin->mhd);
  free (admin);
}

#include "node/http.h"

#include <microhttpd.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/address.h"
#include "base/err.h"
#include "log/log.h"

/* Connections of one server: a share of the descriptors of a small host. */
#define MAX_CONNECTIONS 2000

/* A connection without a byte for this long is closed.  Source: the
   platform's idle time, 15 s. */
#define IDLE_SEC 20u

#define CONNECTION_MEMORY ((size_t)24 * 1024)
#define DEFAULT_BODY_BYTES ((size_t)256 * 1024)

/* Header with the milliseconds that a caller waits for an answer. */
#define PATIENCE_HEADER "Deadline-Ms"

struct kq_http
{
  struct ev_loop *loop;
  struct MHD_Daemon *daemon;
  struct kq_http_handler handler;
  ev_io io;
  ev_timer timer;
  ev_prepare prepare;
  bool resumed;
  bool running;
  bool closing;
  size_t body_limit;
  size_t sending;
};

struct request
{
  struct kq_http_request seen;
  struct kq_http *http;
  struct MHD_Connection *connection;
  struct MHD_Response *response;
  unsigned status;
  char host[128];
  char *path;
  char *body;
  size_t room;
  bool suspended;
  bool answered;
  bool handed;
};

static void
add_header (struct MHD_Response *response, const char *name, const char *value)
{
  if (MHD_add_response_header (response, name, value) != MHD_YES)
    kq_log (KQ_LOG_WARN, "http", "header left out", KQ_ENOMEM, "name", name,
            NULL);
}

static struct MHD_Response *
make_response (const struct kq_http *http, const struct kq_http_answer *answer)
{
  struct MHD_Response *response = MHD_create_response_from_buffer (
      answer->body_size, (void *)answer->body, MHD_RESPMEM_MUST_COPY);
  char retry[16];

  if (response == NULL)
    return NULL;
  if (answer->type != NULL)
    add_header (response, MHD_HTTP_HEADER_CONTENT_TYPE, answer->type);
  if (answer->retry_s > 0)
    {
      snprintf (retry, sizeof retry, "%u", answer->retry_s);
      add_header (response, MHD_HTTP_HEADER_RETRY_AFTER, retry);
    }
  if (http->closing)
    add_header (response, MHD_HTTP_HEADER_CONNECTION, "close");
  return response;
}

static void
kick (struct kq_http *http)
{
  http->resumed = true;
}

void
kq_http_reply (struct kq_http *http, struct kq_http_request *seen,
               const struct kq_http_answer *answer)
{
  struct request *request = (struct request *)seen;

  if (request->answered)
    return;
  request->answered = true;
  request->status = answer->status;
  request->response = make_response (http, answer);
  http->sending++;
  if (request->suspended)
    {
      request->suspended = false;
      MHD_resume_connection (request->connection);
      kick (http);
    }
}

static void
take_host (struct request *request, struct MHD_Connection *connection)
{
  const char *host = MHD_lookup_connection_value (connection, MHD_HEADER_KIND,
                                                  MHD_HTTP_HEADER_HOST);
  const char *patience = MHD_lookup_connection_value (
      connection, MHD_HEADER_KIND, PATIENCE_HEADER);

  snprintf (request->host, sizeof request->host, "%s",
            host != NULL ? host : "");
  request->host[strcspn (request->host, ":")] = '\0';
  request->seen.host = request->host;
  if (patience != NULL)
    request->seen.patience = strtol (patience, NULL, 10) * KQ_USEC_PER_MSEC;
}

static struct request *
new_request (struct kq_http *http, struct MHD_Connection *connection,
             const char *method, const char *path)
{
  struct request *request = calloc (1, sizeof *request);

  if (request == NULL)
    return NULL;
  request->http = http;
  request->connection = connection;
  request->path = strdup (path);
  request->seen.method = method;
  request->seen.path = request->path != NULL ? request->path : "";
  request->seen.body = "";
  request->seen.arrived_at = kq_clock_now ();
  take_host (request, connection);
  return request;
}

static void
take_body (struct request *request, const char *data, size_t size)
{
  size_t needed = request->seen.body_size + size + 1;

  if (request->seen.too_long || needed > request->http->body_limit)
    {
      request->seen.too_long = true;
      return;
    }
  if (needed > request->room)
    {
      size_t room = needed * 2;
      char *grown = realloc (request->body, room);

      if (grown == NULL)
        {
          request->seen.too_long = true;
          return;
        }
      request->body = grown;
      request->room = room;
    }
  memcpy (request->body + request->seen.body_size, data, size);
  request->seen.body_size += size;
  request->body[request->seen.body_size] = '\0';
  request->seen.body = request->body;
}

static enum MHD_Result
send_response (struct request *request)
{
  if (request->response == NULL)
    return MHD_NO;
  return MHD_queue_response (request->connection, request->status,
                             request->response);
}

static enum MHD_Result
on_access (void *arg, struct MHD_Connection *connection, const char *path,
           const char *method, const char *version, const char *data,
           size_t *size, void **state)
{
  struct kq_http *http = arg;
  struct request *request = *state;

  if (request == NULL)
    {
      *state = new_request (http, connection, method, path);
      return *state == NULL ? MHD_NO : MHD_YES;
    }
  if (*size > 0)
    {
      take_body (request, data, *size);
      *size = 0;
      return MHD_YES;
    }
  if (request->answered)
    return send_response (request);
  if (request->handed)
    return MHD_YES;
  request->handed = true;
  http->handler.on_request (http->handler.arg, &request->seen);
  if (request->answered)
    return send_response (request);
  request->suspended = true;
  MHD_suspend_connection (connection);
  return MHD_YES;
}

static void
on_completed (void *arg, struct MHD_Connection *connection, void **state,
              enum MHD_RequestTerminationCode code)
{
  struct kq_http *http = arg;
  struct request *request = *state;

  if (request == NULL)
    return;
  *state = NULL;
  if (request->handed && !request->answered)
    {
      if (http->handler.on_gone != NULL)
        http->handler.on_gone (http->handler.arg, &request->seen);
    }
  if (request->answered)
    http->sending--;
  if (request->response != NULL)
    MHD_destroy_response (request->response);
  free (request->path);
  free (request->body);
  free (request);
}

static void
run (struct kq_http *http)
{
  MHD_UNSIGNED_LONG_LONG wait_ms;
  double delay = 1.0;

  if (http->running)
    return;
  http->running = true;
  http->resumed = false;
  MHD_run (http->daemon);
  http->running = false;
  if (http->resumed)
    delay = 0;
  else if (MHD_get_timeout (http->daemon, &wait_ms) == MHD_YES
           && wait_ms < 1000)
    delay = (double)wait_ms / 1000.0;
  ev_timer_stop (http->loop, &http->timer);
  ev_timer_set (&http->timer, delay, 0);
  ev_timer_start (http->loop, &http->timer);
}

static void
on_io (struct ev_loop *loop, ev_io *io, int events)
{
  run (io->data);
}

static void
on_timer (struct ev_loop *loop, ev_timer *timer, int events)
{
  run (timer->data);
}

/* Answers that were given since are sent before the loop waits. */
static void
on_prepare (struct ev_loop *loop, ev_prepare *prepare, int events)
{
  struct kq_http *http = prepare->data;

  if (http->resumed)
    run (http);
}

static void
start_watchers (struct kq_http *http)
{
  int fd
      = MHD_get_daemon_info (http->daemon, MHD_DAEMON_INFO_EPOLL_FD)->epoll_fd;

  ev_io_init (&http->io, on_io, fd, EV_READ);
  http->io.data = http;
  ev_io_start (http->loop, &http->io);
  ev_timer_init (&http->timer, on_timer, 0, 0);
  http->timer.data = http;
  ev_timer_start (http->loop, &http->timer);
  ev_prepare_init (&http->prepare, on_prepare);
  http->prepare.data = http;
  ev_prepare_start (http->loop, &http->prepare);
}

struct kq_http *
kq_http_start (struct ev_loop *loop, const char *address,
               const struct kq_http_handler *handler, int *err)
{
  struct kq_http *http = calloc (1, sizeof *http);
  struct sockaddr_storage socket_address;

  *err = KQ_ENOMEM;
  if (http == NULL)
    return NULL;
  http->loop = loop;
  http->handler = *handler;
  http->body_limit = DEFAULT_BODY_BYTES;
  *err = KQ_EINVAL;
  if (kq_address_read (address, &socket_address))
    {
      *err = KQ_EIO;
      http->daemon = MHD_start_daemon (
          MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME, 0, NULL, NULL, on_access,
          http, MHD_OPTION_SOCK_ADDR, &socket_address,
          MHD_OPTION_CONNECTION_LIMIT, MAX_CONNECTIONS,
          MHD_OPTION_CONNECTION_TIMEOUT, IDLE_SEC,
          MHD_OPTION_CONNECTION_MEMORY_LIMIT, CONNECTION_MEMORY,
          MHD_OPTION_LISTENING_ADDRESS_REUSE, 1u, MHD_OPTION_NOTIFY_COMPLETED,
          on_completed, http, MHD_OPTION_END);
    }
  if (http->daemon == NULL)
    {
      free (http);
      return NULL;
    }
  *err = 0;
  start_watchers (http);
  return http;
}

void
kq_http_stop (struct kq_http *http)
{
  if (http == NULL)
    return;
  ev_io_stop (http->loop, &http->io);
  ev_timer_stop (http->loop, &http->timer);
  ev_prepare_stop (http->loop, &http->prepare);
  MHD_stop_daemon (http->daemon);
  free (http);
}

void
kq_http_limit_body (struct kq_http *http, size_t bytes)
{
  http->body_limit = bytes + 1;
}

void
kq_http_close_softly (struct kq_http *http)
{
  http->closing = true;
}

bool
kq_http_is_sending (const struct kq_http *http)
{
  return http->sending > 0;
}

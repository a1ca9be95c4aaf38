#include "node/http.h"

#include <inttypes.h>
#include <microhttpd.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#include "base/address.h"
#include "base/err.h"
#include "log/log.h"
#include "node/guard.h"

/* Connections without traffic for this long are closed. It is longer than the
   platform's idle time, 15 s. */
#define IDLE_TIMEOUT_SEC 20u

/* A stop waits at most this long until its responses are written.  A host
   stops three servers in the 700 ms before it would be killed (node/node.c).
 */
#define MAX_STOP_WRITE_US (150 * KQ_USEC_PER_MSEC)

#define STOP_WAIT_MS 10

/* Time between two looks at the connections, and the same while there are
   nearly as many as there may be: callers wait for one to end then. */
#define SWEEP_SEC 1.0
#define CROWDED_SWEEP_SEC 0.05

/* A process that has not looked at its sockets for twice the time between two
   sweeps has stood still.  Requests from before are read within the second
   time afterwards. */
#define STANDSTILL_US (2 * KQ_USEC_PER_SEC)
#define CATCH_UP_US (1 * KQ_USEC_PER_SEC)

#define DEFAULT_MAX_BODY_BYTES ((size_t)256 * 1024)

/* First size of the buffer of a body, which doubles as the body grows. */
#define MIN_BODY_CAPACITY ((size_t)4096)

/* The rest of a body that is too large is read, so that its caller gets the
   response, up to this many times the limit; then its connection is closed. */
#define MAX_DISCARDED_LIMITS 4

/* Size of the kernel's receive buffer of a connection, which it keeps beside
   what is counted here. */
#define RECEIVE_BUFFER_BYTES (64 * 1024)

/* Callers are not waited for longer, whatever they ask for. */
#define MAX_CALLER_TIMEOUT_MS 60000

/* Header with the time in milliseconds that a caller waits for a response. */
#define TIMEOUT_HEADER "Deadline-Ms"

struct kq_http
{
  struct ev_loop *loop;
  struct MHD_Daemon *daemon;
  struct kq_http_handler handler;
  struct kq_guard_server guarded;
  ev_io io;
  ev_timer timer;
  ev_prepare prepare;
  bool run_pending;
  bool running;
  bool keep_alive_disabled;
  bool stopping;
  size_t body_limit;
  size_t unsent_responses;
  kq_usec last_run_at;
  kq_usec resumed_at; /* end of the last standstill; 0: none yet */
  kq_usec standstill; /* how long that was */
};

struct request
{
  struct kq_http_request base;
  struct kq_http *http;
  struct MHD_Connection *connection;
  struct kq_guard_client *client;
  struct MHD_Response *response;
  unsigned status;
  char host[128];
  char *path;
  char *body;
  size_t capacity;
  size_t discarded; /* bytes of the body that were read but not kept */
  bool no_room;     /* the body is not kept, since others leave no room */
  bool suspended;
  bool has_response;
  bool dispatched;
};

static void
add_header (struct MHD_Response *response, const char *name, const char *value)
{
  if (MHD_add_response_header (response, name, value) != MHD_YES)
    kq_log (KQ_LOG_WARN, "http", "response header omitted", KQ_ENOMEM, "name",
            name, NULL);
}

static struct MHD_Response *
make_response (const struct kq_http *http,
               const struct kq_http_response *response)
{
  struct MHD_Response *mhd_response = MHD_create_response_from_buffer (
      response->body_size, (void *)response->body, MHD_RESPMEM_MUST_COPY);
  char retry[16];

  if (mhd_response == NULL)
    return NULL;
  if (response->type != NULL)
    add_header (mhd_response, MHD_HTTP_HEADER_CONTENT_TYPE, response->type);
  if (response->retry_s > 0)
    {
      snprintf (retry, sizeof retry, "%u", response->retry_s);
      add_header (mhd_response, MHD_HTTP_HEADER_RETRY_AFTER, retry);
    }
  if (http->keep_alive_disabled)
    add_header (mhd_response, MHD_HTTP_HEADER_CONNECTION, "close");
  return mhd_response;
}

static void
schedule_run (struct kq_http *http)
{
  http->run_pending = true;
}

void
kq_http_respond (struct kq_http *http, struct kq_http_request *base,
                 const struct kq_http_response *response)
{
  struct request *request = (struct request *)base;

  if (request->has_response)
    return;
  request->has_response = true;
  request->status = response->status;
  request->response = make_response (http, response);
  http->unsent_responses++;
  if (request->suspended)
    {
      request->suspended = false;
      MHD_resume_connection (request->connection);
      schedule_run (http);
    }
}

bool
kq_http_caller_has_left (const struct kq_http_request *base)
{
  return kq_guard_has_left (((const struct request *)base)->client);
}

const char *
kq_http_argument (const struct kq_http_request *base, const char *name)
{
  const struct request *request = (const struct request *)base;

  return MHD_lookup_connection_value (request->connection,
                                      MHD_GET_ARGUMENT_KIND, name);
}

/* Reads the Host header without its port.  No route has a longer host than
   fits. */
static void
read_host (struct request *request, const char *host)
{
  size_t length = strcspn (host, ":");

  if (length >= sizeof request->host)
    length = 0;
  memcpy (request->host, host, length);
  request->host[length] = '\0';
  request->base.host = request->host;
}

static void
read_headers (struct request *request, struct MHD_Connection *connection)
{
  const char *host = MHD_lookup_connection_value (connection, MHD_HEADER_KIND,
                                                  MHD_HTTP_HEADER_HOST);
  const char *timeout = MHD_lookup_connection_value (
      connection, MHD_HEADER_KIND, TIMEOUT_HEADER);

  read_host (request, host != NULL ? host : "");
  if (timeout != NULL)
    {
      long limit_ms = strtol (timeout, NULL, 10);

      if (limit_ms > MAX_CALLER_TIMEOUT_MS)
        limit_ms = MAX_CALLER_TIMEOUT_MS;
      if (limit_ms > 0)
        request->base.timeout = limit_ms * KQ_USEC_PER_MSEC;
    }
}

/* Notes if this process has stood still since its last look at the sockets. */
static void
note_standstill (struct kq_http *http, kq_usec now)
{
  char lasted[24];

  if (now - http->last_run_at <= STANDSTILL_US)
    return;
  http->standstill = now - http->last_run_at;
  http->resumed_at = now;
  http->last_run_at = now;
  snprintf (lasted, sizeof lasted, "%" PRId64,
            http->standstill / KQ_USEC_PER_MSEC);
  kq_log (KQ_LOG_WARN, "http", "process stood still", 0, "for_ms", lasted,
          NULL);
}

static kq_usec
recent_standstill (struct kq_http *http, kq_usec now)
{
  note_standstill (http, now);
  return http->resumed_at != 0 && now - http->resumed_at <= CATCH_UP_US
             ? http->standstill
             : 0;
}

static struct kq_guard_client *
client_of (struct MHD_Connection *connection)
{
  return MHD_get_connection_info (connection,
                                  MHD_CONNECTION_INFO_SOCKET_CONTEXT)
      ->socket_context;
}

static struct request *
create_request (struct kq_http *http, struct MHD_Connection *connection,
                const char *method, const char *path)
{
  struct kq_guard_client *client = client_of (connection);
  struct request *request
      = client != NULL ? calloc (1, sizeof *request) : NULL;

  if (request == NULL)
    return NULL;
  request->http = http;
  request->connection = connection;
  request->client = client;
  request->path = strdup (path);
  request->base.method = method;
  request->base.path = request->path != NULL ? request->path : "";
  request->base.body = "";
  request->base.arrived_at = kq_clock_now ();
  request->base.standstill
      = recent_standstill (http, request->base.arrived_at);
  read_headers (request, connection);
  return request;
}

/* Drops what was kept of a body that is refused. */
static void
drop_body (struct request *request)
{
  request->discarded += request->base.body_size;
  request->base.body = "";
  request->base.body_size = 0;
  free (request->body);
  request->body = NULL;
  request->capacity = 0;
  kq_guard_release (request->client);
}

/* Makes room for a body of SIZE bytes; returns false if there is none. */
static bool
reserve_body (struct request *request, size_t size)
{
  size_t capacity
      = request->capacity == 0 ? MIN_BODY_CAPACITY : request->capacity;
  char *grown;

  while (capacity < size)
    capacity *= 2;
  if (capacity > request->http->body_limit
      && size <= request->http->body_limit)
    capacity = request->http->body_limit;
  if (capacity == request->capacity)
    return true;
  if (!kq_guard_reserve (request->client, capacity - request->capacity))
    return false;
  grown = realloc (request->body, capacity);
  if (grown == NULL)
    return false;
  request->body = grown;
  request->capacity = capacity;
  return true;
}

/* Takes over a part of the body; returns false if the connection is to be
   closed. */
static bool
append_body (struct request *request, const char *data, size_t size)
{
  size_t limit = request->http->body_limit;

  kq_guard_note_progress (request->client);
  if (!request->base.body_too_large && !request->no_room)
    {
      request->base.body_too_large
          = request->base.body_size + size + 1 > limit;
      request->no_room
          = !request->base.body_too_large
            && !reserve_body (request, request->base.body_size + size + 1);
      if (request->base.body_too_large || request->no_room)
        {
          kq_guard_count_refusal (request->base.body_too_large);
          drop_body (request);
        }
    }
  if (request->base.body_too_large || request->no_room)
    {
      request->discarded += size;
      return request->discarded <= MAX_DISCARDED_LIMITS * limit;
    }
  memcpy (request->body + request->base.body_size, data, size);
  request->base.body_size += size;
  request->body[request->base.body_size] = '\0';
  request->base.body = request->body;
  return true;
}

static enum MHD_Result
send_response (struct request *request)
{
  if (request->response == NULL)
    return MHD_NO;
  return MHD_queue_response (request->connection, request->status,
                             request->response);
}

/* Refuses a request that nobody has handled, for the reason ERR. */
static void
refuse (struct request *request, int err)
{
  struct kq_http_response response = { .status = MHD_HTTP_SERVICE_UNAVAILABLE,
                                       .type = "application/json",
                                       .retry_s = 1 };
  char text[80];

  snprintf (text, sizeof text, "{\"error\":\"%s\"}", kq_err_name (err));
  response.body = text;
  response.body_size = strlen (text);
  kq_http_respond (request->http, &request->base, &response);
}

/* Hands a request to the handler. */
static void
dispatch (struct request *request)
{
  struct kq_http *http = request->http;

  request->dispatched = true;
  kq_guard_begin_request (request->client);
  if (http->stopping)
    refuse (request, KQ_ESTOPPING);
  else if (request->no_room)
    refuse (request, KQ_EREQ_OVERLOAD);
  else
    http->handler.on_request (http->handler.arg, &request->base);
}

/* Responds before the body is read if it is announced as too large, or if
   there is no room for it. */
static enum MHD_Result
check_announced_body (struct request *request)
{
  const char *text = MHD_lookup_connection_value (
      request->connection, MHD_HEADER_KIND, MHD_HTTP_HEADER_CONTENT_LENGTH);
  unsigned long long size = text != NULL ? strtoull (text, NULL, 10) : 0;

  request->base.body_too_large = size >= request->http->body_limit;
  request->no_room = size > 0 && !request->base.body_too_large
                     && !reserve_body (request, 1);
  if (!request->base.body_too_large && !request->no_room)
    return MHD_YES;
  kq_guard_count_refusal (request->base.body_too_large);
  dispatch (request);
  return request->has_response ? send_response (request) : MHD_NO;
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
      request = create_request (http, connection, method, path);
      *state = request;
      return request == NULL ? MHD_NO : check_announced_body (request);
    }
  if (request->client->evicted)
    return MHD_NO;
  if (*size > 0)
    {
      bool kept = append_body (request, data, *size);

      *size = 0;
      return kept ? MHD_YES : MHD_NO;
    }
  if (request->has_response)
    return send_response (request);
  if (request->dispatched)
    return MHD_YES;
  dispatch (request);
  if (request->has_response)
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
  if (request->dispatched && !request->has_response)
    {
      if (http->handler.on_disconnect != NULL)
        http->handler.on_disconnect (http->handler.arg, &request->base);
    }
  if (request->has_response)
    http->unsent_responses--;
  if (request->response != NULL)
    MHD_destroy_response (request->response);
  free (request->path);
  free (request->body);
  kq_guard_end_request (request->client);
  free (request);
}

static void
on_connection (void *arg, struct MHD_Connection *connection, void **context,
               enum MHD_ConnectionNotificationCode code)
{
  struct kq_http *http = arg;
  struct kq_guard_client *client = *context;

  if (code == MHD_CONNECTION_NOTIFY_STARTED)
    {
      client = malloc (sizeof *client);
      *context = client;
      if (client != NULL)
        kq_guard_add (&http->guarded, client,
                      MHD_get_connection_info (
                          connection, MHD_CONNECTION_INFO_CONNECTION_FD)
                          ->connect_fd);
      return;
    }
  if (client != NULL)
    kq_guard_remove (client);
  free (client);
  *context = NULL;
}

static void
run (struct kq_http *http)
{
  MHD_UNSIGNED_LONG_LONG wait_ms;
  double delay;

  if (http->running)
    return;
  http->running = true;
  http->run_pending = false;
  note_standstill (http, kq_clock_now ());
  http->last_run_at = kq_clock_now ();
  MHD_run (http->daemon);
  http->running = false;
  delay = kq_guard_is_crowded (&http->guarded) ? CROWDED_SWEEP_SEC : SWEEP_SEC;
  if (http->run_pending)
    delay = 0;
  else if (MHD_get_timeout (http->daemon, &wait_ms) == MHD_YES
           && (double)wait_ms / 1000.0 < delay)
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
  struct kq_http *http = timer->data;

  kq_guard_sweep (&http->guarded);
  run (http);
}

/* Sends responses to resumed connections before the loop waits. */
static void
on_prepare (struct ev_loop *loop, ev_prepare *prepare, int events)
{
  struct kq_http *http = prepare->data;

  if (http->run_pending)
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

/* Connections that are accepted get the size from the listening socket. */
static void
limit_receive_buffer (struct kq_http *http)
{
  int fd = MHD_get_daemon_info (http->daemon, MHD_DAEMON_INFO_LISTEN_FD)
               ->listen_fd;
  int size = RECEIVE_BUFFER_BYTES;

  setsockopt (fd, SOL_SOCKET, SO_RCVBUF, &size, sizeof size);
}

struct kq_http *
kq_http_start (struct ev_loop *loop, const char *address,
               const struct kq_http_handler *handler, struct kq_guard *guard,
               int max_connections, int *err)
{
  struct kq_http *http = calloc (1, sizeof *http);
  struct sockaddr_storage socket_address;

  *err = KQ_ENOMEM;
  if (http == NULL)
    return NULL;
  http->loop = loop;
  http->last_run_at = kq_clock_now ();
  http->handler = *handler;
  http->guarded
      = (struct kq_guard_server){ .guard = guard,
                                  .max_connections = max_connections };
  http->body_limit = DEFAULT_MAX_BODY_BYTES;
  *err = KQ_EINVAL;
  if (kq_address_parse (address, &socket_address))
    {
      *err = KQ_EIO;
      http->daemon = MHD_start_daemon (
          MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME, 0, NULL, NULL, on_access,
          http, MHD_OPTION_SOCK_ADDR, &socket_address,
          MHD_OPTION_CONNECTION_LIMIT, (unsigned)max_connections,
          MHD_OPTION_CONNECTION_TIMEOUT, IDLE_TIMEOUT_SEC,
          MHD_OPTION_CONNECTION_MEMORY_LIMIT, KQ_HTTP_CONNECTION_BYTES,
          MHD_OPTION_NOTIFY_CONNECTION, on_connection, http,
          MHD_OPTION_LISTENING_ADDRESS_REUSE, 1u, MHD_OPTION_NOTIFY_COMPLETED,
          on_completed, http, MHD_OPTION_END);
    }
  if (http->daemon == NULL)
    {
      free (http);
      return NULL;
    }
  *err = 0;
  limit_receive_buffer (http);
  start_watchers (http);
  return http;
}

/* Writes the responses of HTTP without its loop. */
static void
write_responses (struct kq_http *http)
{
  kq_usec deadline = kq_clock_now () + MAX_STOP_WRITE_US;
  size_t count = http->unsent_responses;
  char ready[24];
  char unwritten[24];

  http->stopping = true;
  /* Also receives requests that have arrived. */
  MHD_run (http->daemon);
  while (http->unsent_responses > 0 && kq_clock_now () < deadline)
    MHD_run_wait (http->daemon, STOP_WAIT_MS);
  if (count == 0 && http->unsent_responses == 0)
    return;
  snprintf (ready, sizeof ready, "%zu", count);
  snprintf (unwritten, sizeof unwritten, "%zu", http->unsent_responses);
  kq_log (http->unsent_responses > 0 ? KQ_LOG_WARN : KQ_LOG_INFO, "http",
          "responses written at the stop", 0, "ready", ready, "unwritten",
          unwritten, NULL);
}

void
kq_http_stop (struct kq_http *http)
{
  if (http == NULL)
    return;
  write_responses (http);
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
kq_http_disable_keep_alive (struct kq_http *http)
{
  http->keep_alive_disabled = true;
}

bool
kq_http_is_sending (const struct kq_http *http)
{
  return http->unsent_responses > 0;
}

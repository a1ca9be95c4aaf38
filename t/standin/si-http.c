#include "t/standin/si-http.h"

#include <arpa/inet.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#define SI_CONNECTION_LIMIT 900
#define SI_BODY_LIMIT ((size_t)4 * 1024 * 1024)

struct si_server
{
  struct MHD_Daemon *daemon;
  struct ev_loop *loop;
  ev_io io;
  si_handler handler;
  void *context;
  int connections;
  uint64_t last_connection_serial;
  struct si_request *suspended_requests;
};

static void
on_io (struct ev_loop *loop, ev_io *io, int events)
{
  struct si_server *server = io->data;
  MHD_UNSIGNED_LONG_LONG wait = 0;

  MHD_run (server->daemon);
  if (MHD_get_timeout (server->daemon, &wait) == MHD_YES && wait == 0)
    ev_feed_event (loop, io, EV_READ);
}

static void
on_connection (void *context, struct MHD_Connection *connection,
               void **state_slot, enum MHD_ConnectionNotificationCode code)
{
  struct si_server *server = context;

  if (code == MHD_CONNECTION_NOTIFY_STARTED)
    {
      server->connections++;
      *state_slot
          = (void *)(uintptr_t)++server->last_connection_serial; /* NOLINT */
    }
  else
    server->connections--;
}

static struct si_request *
request_create (struct si_server *server, struct MHD_Connection *connection,
                const char *url, const char *method)
{
  struct si_request *request = calloc (1, sizeof *request);
  const union MHD_ConnectionInfo *info = MHD_get_connection_info (
      connection, MHD_CONNECTION_INFO_SOCKET_CONTEXT);

  if (!request)
    abort ();
  request->server = server;
  request->connection = connection;
  request->connection_serial = (uintptr_t)info->socket_context;
  request->url = url;
  request->method = method;
  return request;
}

static bool
request_append (struct si_request *request, const char *data, size_t size)
{
  char *body;

  if (request->size + size > SI_BODY_LIMIT)
    return false;
  body = realloc (request->body, request->size + size + 1);
  if (!body)
    return false;
  memcpy (body + request->size, data, size);
  request->size += size;
  body[request->size] = '\0';
  request->body = body;
  return true;
}

static enum MHD_Result
on_access (void *context, struct MHD_Connection *connection, const char *url,
           const char *method, const char *version, const char *data,
           size_t *size, void **state_slot)
{
  struct si_server *server = context;
  struct si_request *request = *state_slot;

  if (!request)
    {
      *state_slot = request_create (server, connection, url, method);
      return MHD_YES;
    }
  if (*size)
    {
      size_t length = *size;

      *size = 0;
      return request_append (request, data, length) ? MHD_YES : MHD_NO;
    }
  if (request->state == SI_READING)
    {
      request->state = SI_HANDLING;
      server->handler (request, server->context);
      if (request->state == SI_HANDLING)
        {
          request->suspended = true;
          MHD_suspend_connection (connection);
          return MHD_YES;
        }
    }
  if (request->state == SI_RESPONDED)
    return MHD_queue_response (connection, request->status, request->response);
  return MHD_NO;
}

static void
on_completed (void *context, struct MHD_Connection *connection,
              void **state_slot, enum MHD_RequestTerminationCode code)
{
  struct si_request *request = *state_slot;

  if (!request)
    return;
  if (request->response)
    MHD_destroy_response (request->response);
  free (request->body);
  free (request);
  *state_slot = NULL;
}

struct si_server *
si_server_start (struct ev_loop *loop, int port, si_handler handler,
                 void *context)
{
  struct si_server *server = calloc (1, sizeof *server);
  struct sockaddr_in address = { .sin_family = AF_INET,
                                 .sin_port = htons ((uint16_t)port),
                                 .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };

  if (!server)
    abort ();
  server->loop = loop;
  server->handler = handler;
  server->context = context;
  server->daemon = MHD_start_daemon (
      MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME, 0, NULL, NULL, on_access,
      server, MHD_OPTION_SOCK_ADDR, &address, MHD_OPTION_NOTIFY_COMPLETED,
      on_completed, server, MHD_OPTION_NOTIFY_CONNECTION, on_connection,
      server, MHD_OPTION_CONNECTION_LIMIT, (unsigned)SI_CONNECTION_LIMIT,
      MHD_OPTION_END);
  if (!server->daemon)
    {
      fprintf (stderr, "cannot listen on 127.0.0.1:%d\n", port);
      exit (1);
    }
  ev_io_init (
      &server->io, on_io,
      MHD_get_daemon_info (server->daemon, MHD_DAEMON_INFO_EPOLL_FD)->epoll_fd,
      EV_READ);
  server->io.data = server;
  ev_io_start (loop, &server->io);
  return server;
}

int
si_server_connections (const struct si_server *server)
{
  return server->connections;
}

uint64_t
si_server_serial (const struct si_server *server)
{
  return server->last_connection_serial;
}

/* Sets the final state of REQUEST and resumes its connection. */
static void
finish_request (struct si_request *request, enum si_request_state state)
{
  struct si_server *server = request->server;

  request->state = state;
  if (!request->suspended)
    return;
  request->suspended = false;
  MHD_resume_connection (request->connection);
  ev_feed_event (server->loop, &server->io, EV_READ);
}

void
si_respond (struct si_request *request, unsigned status, const void *body,
            size_t size, const char *const *headers)
{
  /* libmicrohttpd copies the body, but its prototype isn't const. */
  request->response = MHD_create_response_from_buffer (
      size, (void *)(uintptr_t)body, MHD_RESPMEM_MUST_COPY); /* NOLINT */
  for (; headers && headers[0]; headers += 2)
    MHD_add_response_header (request->response, headers[0], headers[1]);
  request->status = status;
  finish_request (request, SI_RESPONDED);
}

void
si_respond_json (struct si_request *request, unsigned status, json_t *json)
{
  static const char *const headers[]
      = { "Content-Type", "application/json", NULL };
  char *text = json_dumps (json, JSON_COMPACT);

  si_respond (request, status, text, strlen (text), headers);
  free (text);
  json_decref (json);
}

struct truncated_body
{
  size_t size;
  char data[];
};

static ssize_t
read_truncated_body (void *context, uint64_t position, char *buffer,
                     size_t max)
{
  struct truncated_body *truncated_body = context;
  size_t remaining = truncated_body->size - (size_t)position;

  if (remaining == 0)
    return MHD_CONTENT_READER_END_WITH_ERROR;
  if (remaining > max)
    remaining = max;
  memcpy (buffer, truncated_body->data + position, remaining);
  return (ssize_t)remaining;
}

void
si_respond_truncated (struct si_request *request, const void *body,
                      size_t size)
{
  struct truncated_body *truncated_body
      = malloc (sizeof *truncated_body + size);

  if (!truncated_body)
    abort ();
  truncated_body->size = size / 2;
  memcpy (truncated_body->data, body, size / 2);
  request->response = MHD_create_response_from_callback (
      size, 4096, read_truncated_body, truncated_body, free);
  request->status = MHD_HTTP_OK;
  finish_request (request, SI_RESPONDED);
}

/* Interval at which the rate of shared responses is dealt out. */
#define SHARE_INTERVAL_SEC 0.01

/* A response that shares the rate with others. */
struct shared_body
{
  struct si_server *server;
  struct MHD_Connection *connection;
  size_t size;
  size_t credit; /* bytes that may be sent now */
  bool suspended;
  struct shared_body *next, *prev;
  char data[];
};

static int64_t shared_bytes_s;
static int64_t shared_bytes_sent;
static struct shared_body *shared_bodies;
static ev_timer share_timer;

void
si_set_shared_rate (int64_t bytes_s)
{
  shared_bytes_s = bytes_s;
}

int64_t
si_shared_bytes (void)
{
  return shared_bytes_sent;
}

static void
on_share (struct ev_loop *loop, ev_timer *timer, int events)
{
  struct shared_body *body;
  int count = 0;

  DL_FOREACH (shared_bodies, body)
  count += body->suspended;
  DL_FOREACH (shared_bodies, body)
  {
    if (!body->suspended)
      continue;
    body->credit
        = (size_t)((double)shared_bytes_s * SHARE_INTERVAL_SEC) / count + 1;
    body->suspended = false;
    MHD_resume_connection (body->connection);
    ev_feed_event (loop, &body->server->io, EV_READ);
  }
  if (shared_bodies == NULL)
    ev_timer_stop (loop, timer);
}

static ssize_t
read_shared_body (void *context, uint64_t position, char *buffer, size_t max)
{
  struct shared_body *body = context;
  size_t size = body->size - (size_t)position;

  if (size == 0)
    return MHD_CONTENT_READER_END_OF_STREAM;
  if (body->credit == 0)
    {
      body->suspended = true;
      MHD_suspend_connection (body->connection);
      return 0;
    }
  if (size > max)
    size = max;
  if (size > body->credit)
    size = body->credit;
  body->credit -= size;
  memcpy (buffer, body->data + position, size);
  return (ssize_t)size;
}

static void
free_shared_body (void *context)
{
  struct shared_body *body = context;

  DL_DELETE (shared_bodies, body);
  free (body);
}

void
si_respond_shared (struct si_request *request, const void *bytes, size_t size,
                   const char *const *headers)
{
  struct ev_loop *loop = request->server->loop;
  struct shared_body *body;

  shared_bytes_sent += (int64_t)size;
  if (shared_bytes_s == 0)
    {
      si_respond (request, MHD_HTTP_OK, bytes, size, headers);
      return;
    }
  body = calloc (1, sizeof *body + size);
  if (!body)
    abort ();
  body->server = request->server;
  body->connection = request->connection;
  body->size = size;
  memcpy (body->data, bytes, size);
  DL_APPEND (shared_bodies, body);
  if (!ev_is_active (&share_timer))
    {
      ev_timer_init (&share_timer, on_share, SHARE_INTERVAL_SEC,
                     SHARE_INTERVAL_SEC);
      ev_timer_start (loop, &share_timer);
    }
  request->response = MHD_create_response_from_callback (
      size, 16384, read_shared_body, body, free_shared_body);
  for (; headers && headers[0]; headers += 2)
    MHD_add_response_header (request->response, headers[0], headers[1]);
  request->status = MHD_HTTP_OK;
  finish_request (request, SI_RESPONDED);
}

void
si_drop (struct si_request *request)
{
  finish_request (request, SI_DROPPED);
}

void
si_suspend (struct si_request *request)
{
  DL_APPEND (request->server->suspended_requests, request);
}

void
si_drop_suspended (struct si_server *server)
{
  struct si_request *request, *other;

  DL_FOREACH_SAFE (server->suspended_requests, request, other)
  {
    DL_DELETE (server->suspended_requests, request);
    si_drop (request);
  }
}

static void
on_timer (struct ev_loop *loop, ev_timer *timer, int events)
{
  struct si_request *request = timer->data;

  request->deferred_handler (request, request->context);
}

void
si_defer (struct si_request *request, double delay_seconds, si_handler handler,
          void *context)
{
  struct ev_loop *loop = request->server->loop;

  ev_now_update (loop);
  request->deferred_handler = handler;
  request->context = context;
  ev_timer_init (&request->timer, on_timer, delay_seconds, 0);
  request->timer.data = request;
  ev_timer_start (loop, &request->timer);
}

const char *
si_header (const struct si_request *request, const char *name)
{
  return MHD_lookup_connection_value (request->connection, MHD_HEADER_KIND,
                                      name);
}

int64_t
si_argument (const struct si_request *request, const char *name,
             int64_t fallback)
{
  const char *text = MHD_lookup_connection_value (request->connection,
                                                  MHD_GET_ARGUMENT_KIND, name);

  return text ? strtoll (text, NULL, 10) : fallback;
}

bool
si_request_matches (const struct si_request *request, const char *method,
                    const char *url)
{
  return !strcmp (request->method, method) && !strcmp (request->url, url);
}

json_t *
si_parse_body (struct si_request *request)
{
  json_t *json = json_loadb (request->body ? request->body : "", request->size,
                             0, NULL);

  if (json_is_object (json))
    return json;
  json_decref (json);
  si_respond_json (request, MHD_HTTP_BAD_REQUEST,
                   json_pack ("{ss}", "error", "not a JSON object"));
  return NULL;
}

int64_t
si_number (const json_t *object, const char *name, int64_t fallback)
{
  const json_t *value = json_object_get (object, name);

  return json_is_integer (value) ? json_integer_value (value) : fallback;
}

const char *
si_string (const json_t *object, const char *name)
{
  const char *text = json_string_value (json_object_get (object, name));

  return text ? text : "";
}

bool
si_set_knobs (struct si_request *request, json_t *knobs)
{
  json_t *body = si_parse_body (request);
  json_t *value;
  const char *name;

  if (!body)
    return false;
  json_object_foreach (body, name, value)
  {
    const json_t *old = json_object_get (knobs, name);

    if (!old || json_typeof (old) != json_typeof (value))
      {
        si_respond_json (request, MHD_HTTP_BAD_REQUEST,
                         json_pack ("{ss}", "knob", name));
        json_decref (body);
        return false;
      }
  }
  json_object_update (knobs, body);
  json_decref (body);
  si_respond_json (request, MHD_HTTP_OK, json_incref (knobs));
  return true;
}

static void
on_signal (struct ev_loop *loop, ev_signal *watcher, int events)
{
  ev_break (loop, EVBREAK_ALL);
}

void
si_run_loop (struct ev_loop *loop)
{
  static ev_signal term, interrupt;

  signal (SIGPIPE, SIG_IGN);
  ev_signal_init (&term, on_signal, SIGTERM);
  ev_signal_start (loop, &term);
  ev_signal_init (&interrupt, on_signal, SIGINT);
  ev_signal_start (loop, &interrupt);
  ev_run (loop, 0);
}

#include "node/guard.h"

#include <errno.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <utlist.h>

#include "log/log.h"
#include "metrics/metrics.h"
#include "node/http.h"

/* Shares of the memory for bodies and for what libmicrohttpd keeps for each
   connection, and share of the descriptors for callers: the others are for
   workers, the store and other hosts. */
#define BODY_SHARE 8
#define CONNECTION_SHARE 4
#define DESCRIPTOR_SHARE 2

/* Connections of a server that is no caller's, as a share of the descriptors,
   and the limits of that number. */
#define OPERATOR_SHARE 16
#define MIN_OPERATORS 8
#define MAX_OPERATORS 64

/* From this share of a server's connections on, idle ones are closed for new
   ones. */
#define CROWDED_SHARE 8

/* A connection that has made progress more recently is not closed for
   another. */
#define MIN_IDLE_US (1 * KQ_USEC_PER_SEC)

struct kq_guard
{
  int max_callers;
  int max_operators;
  size_t max_body_bytes;
  size_t body_bytes;
  struct kq_guard_client *clients; /* the one without progress for longest
                                      first */
};

static struct kq_metric evicted_count
    = { .name = "kq_http_evicted_total",
        .help = "Connections closed since they held up others, or since their "
                "request was not complete in time." };
static struct kq_metric too_large_count
    = { .name = "kq_http_too_large_total",
        .help = "Requests refused or cut since their body is too large." };
static struct kq_metric no_room_count
    = { .name = "kq_http_no_room_total",
        .help = "Requests refused since there was no room for their body." };
static struct kq_metric body_gauge
    = { .name = "kq_http_body_bytes",
        .help = "Bytes reserved for bodies of requests." };

void
kq_guard_register_metrics (void)
{
  kq_metric_register (&evicted_count);
  kq_metric_register (&too_large_count);
  kq_metric_register (&no_room_count);
  kq_metric_register (&body_gauge);
}

void
kq_guard_count_refusal (bool too_large)
{
  kq_metric_add (too_large ? &too_large_count : &no_room_count, 1);
}

static int
limit (int value, int max)
{
  return value < max ? value : max;
}

struct kq_guard *
kq_guard_create (const struct kq_guard_limits *limits)
{
  struct kq_guard *guard = calloc (1, sizeof *guard);
  size_t memory = (size_t)limits->memory_mb * 1024 * 1024;

  if (guard == NULL)
    return NULL;
  guard->max_callers = KQ_GUARD_DEFAULT_CONNECTIONS;
  guard->max_operators = MAX_OPERATORS;
  guard->max_body_bytes = KQ_GUARD_DEFAULT_BODY_BYTES;
  if (limits->memory_mb > 0)
    {
      guard->max_body_bytes = memory / BODY_SHARE;
      guard->max_callers
          = limit (guard->max_callers, (int)(memory / CONNECTION_SHARE
                                             / KQ_HTTP_CONNECTION_BYTES));
    }
  if (limits->descriptors > 0)
    {
      guard->max_callers
          = limit (guard->max_callers, limits->descriptors / DESCRIPTOR_SHARE);
      guard->max_operators
          = limit (guard->max_operators, limits->descriptors / OPERATOR_SHARE);
    }
  if (guard->max_operators < MIN_OPERATORS)
    guard->max_operators = MIN_OPERATORS;
  if (guard->max_callers < MIN_OPERATORS)
    guard->max_callers = MIN_OPERATORS;
  return guard;
}

void
kq_guard_destroy (struct kq_guard *guard)
{
  free (guard);
}

int
kq_guard_max_callers (const struct kq_guard *guard)
{
  return guard->max_callers;
}

int
kq_guard_max_operators (const struct kq_guard *guard)
{
  return guard->max_operators;
}

size_t
kq_guard_max_body_bytes (const struct kq_guard *guard)
{
  return guard->max_body_bytes;
}

/* Shuts CLIENT down; its server closes it when it next looks at its sockets.
   What it holds counts as free at once. */
static void
evict (struct kq_guard_client *client)
{
  client->evicted = true;
  kq_guard_release (client);
  kq_metric_add (&evicted_count, 1);
  shutdown (client->fd, SHUT_RDWR);
}

/* Closes the connection without progress for longest: one of SERVER, or, if
   that is NULL, any that holds a body.  Returns whether there was one. */
static bool
evict_idle (struct kq_guard *guard, const struct kq_guard_server *server)
{
  kq_usec now = kq_clock_now ();
  struct kq_guard_client *client;

  DL_FOREACH (guard->clients, client)
  {
    if (now - client->active_at < MIN_IDLE_US)
      return false;
    if (!client->busy && !client->evicted
        && (server != NULL ? client->server == server
                           : client->body_bytes > 0))
      {
        evict (client);
        return true;
      }
  }
  return false;
}

/* Returns how many connections of SERVER are beyond the number from which on
   idle ones are closed. */
static int
count_excess (const struct kq_guard_server *server)
{
  return server->count
         - (server->max_connections - server->max_connections / CROWDED_SHARE);
}

void
kq_guard_add (struct kq_guard_server *server, struct kq_guard_client *client,
              int fd)
{
  struct kq_guard *guard = server->guard;

  *client = (struct kq_guard_client){ .server = server,
                                      .fd = fd,
                                      .since = kq_clock_now () };
  client->active_at = client->since;
  server->count++;
  if (count_excess (server) > 0)
    evict_idle (guard, server);
  DL_APPEND (guard->clients, client);
}

void
kq_guard_remove (struct kq_guard_client *client)
{
  kq_guard_release (client);
  client->server->count--;
  DL_DELETE (client->server->guard->clients, client);
}

void
kq_guard_note_progress (struct kq_guard_client *client)
{
  struct kq_guard *guard = client->server->guard;

  client->active_at = kq_clock_now ();
  DL_DELETE (guard->clients, client);
  DL_APPEND (guard->clients, client);
}

void
kq_guard_begin_request (struct kq_guard_client *client)
{
  client->busy = true;
}

void
kq_guard_end_request (struct kq_guard_client *client)
{
  client->busy = false;
  kq_guard_release (client);
  kq_guard_note_progress (client);
  client->since = client->active_at;
}

bool
kq_guard_reserve (struct kq_guard_client *client, size_t bytes)
{
  struct kq_guard *guard = client->server->guard;

  if (client->evicted)
    return false;
  /* A body that is alone may have any size that its server allows. */
  while (guard->body_bytes + bytes > guard->max_body_bytes
         && guard->body_bytes > client->body_bytes)
    if (!evict_idle (guard, NULL) || client->evicted)
      return false;
  guard->body_bytes += bytes;
  client->body_bytes += bytes;
  kq_metric_set (&body_gauge, (int64_t)guard->body_bytes);
  return true;
}

void
kq_guard_release (struct kq_guard_client *client)
{
  struct kq_guard *guard = client->server->guard;

  guard->body_bytes -= client->body_bytes;
  client->body_bytes = 0;
  kq_metric_set (&body_gauge, (int64_t)guard->body_bytes);
}

/* libmicrohttpd does not notice it if that came together with the last
   bytes. */
bool
kq_guard_has_left (const struct kq_guard_client *client)
{
  char byte;
  ssize_t size
      = recv (client->fd, &byte, sizeof byte, MSG_PEEK | MSG_DONTWAIT);

  return size == 0
         || (size < 0 && errno != EAGAIN && errno != EWOULDBLOCK
             && errno != EINTR);
}

static bool
is_over (const struct kq_guard_client *client, kq_usec now)
{
  return now - client->since > KQ_GUARD_REQUEST_US
         || kq_guard_has_left (client);
}

bool
kq_guard_is_crowded (const struct kq_guard_server *server)
{
  return count_excess (server) > 0;
}

void
kq_guard_sweep (struct kq_guard_server *server)
{
  struct kq_guard *guard = server->guard;
  kq_usec now = kq_clock_now ();
  struct kq_guard_client *client;
  int excess = count_excess (server);

  DL_FOREACH (guard->clients, client)
  {
    if (client->server == server && !client->busy && !client->evicted
        && is_over (client, now))
      {
        evict (client);
        excess--;
      }
  }
  while (excess-- > 0 && evict_idle (guard, server))
    continue;
}

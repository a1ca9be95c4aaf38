#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "base/err.h"
#include "daemon/front_impl.h"

/** Connections to endpoints that are kept open while idle. */
#define MAX_IDLE_CONNECTIONS 4096L
/** Longest idle time of a connection that is used again, in seconds. */
#define MAX_IDLE_SECONDS 20L
/** Most time to open a connection. */
#define CONNECT_MS 1000
/** Unacknowledged data ends a connection after this, in milliseconds. */
#define UNACKED_MS 3000
/** Idle connections are probed after and every so many seconds. */
#define PROBE_SECONDS 5L

struct socket_watcher
{
  ev_io io;
  struct kq_front *front;
  curl_socket_t fd;
};

static void
strip_line_end (const char *line, size_t *length)
{
  while (*length > 0
         && (line[*length - 1] == '\r' || line[*length - 1] == '\n'
             || line[*length - 1] == ' '))
    (*length)--;
}

static bool
name_is (const char *name, size_t length, const char *wanted)
{
  return strlen (wanted) == length && strncasecmp (name, wanted, length) == 0;
}

static int
take_header (struct kq_front_attempt *attempt, const char *line, size_t length)
{
  const char *colon = memchr (line, ':', length);
  size_t name_length;
  const char *value;

  if (colon == NULL)
    return 0;
  name_length = (size_t)(colon - line);
  value = colon + 1;
  while (value < line + length && (*value == ' ' || *value == '\t'))
    value++;
  length -= (size_t)(value - line);
  if (name_is (line, name_length, "Content-Length")
      || (name_is (line, name_length, "Transfer-Encoding")
          && name_is (value, length, "chunked")))
    attempt->delimited = true;
  if (name_is (line, name_length, "Kumquatrack-Outcome")
      && name_is (value, length, "not-run"))
    attempt->not_run = true;
  if (!kq_front_headers_pass (line, name_length)
      && !(name_is (line, name_length, "Content-Length")
           && strcmp (attempt->call->method, "HEAD") == 0))
    return 0;
  return kq_answer_add_header (attempt->answer, line, name_length, value,
                               length);
}

static void
begin_head (struct kq_front_attempt *attempt, const char *line, size_t length)
{
  const char *space = memchr (line, ' ', length);
  int status = space != NULL ? atoi (space + 1) : 0;

  kq_answer_reset (attempt->answer, status);
  attempt->delimited = status == 204 || status == 304;
  attempt->not_run = false;
}

static size_t
on_header (char *data, size_t size, size_t count, void *context)
{
  struct kq_front_attempt *attempt = context;
  size_t length = size * count;

  strip_line_end (data, &length);
  if (attempt->head_done)
    return size * count;
  if (length >= 5 && memcmp (data, "HTTP/", 5) == 0)
    begin_head (attempt, data, length);
  else if (length > 0)
    attempt->refusal = take_header (attempt, data, length);
  else
    attempt->head_done = kq_answer_status (attempt->answer) >= 200;
  return attempt->refusal == 0 ? size * count : 0;
}

static size_t
on_body (char *data, size_t size, size_t count, void *context)
{
  struct kq_front_attempt *attempt = context;

  attempt->refusal = kq_answer_add_body (attempt->answer, data, size * count);
  return attempt->refusal == 0 ? size * count : 0;
}

/* Called whenever libcurl is about to send the request.  When a reused
   connection turns out to be closed, libcurl would send it again by itself,
   although the endpoint may have run it: only the first time is allowed.  */
static int
on_request (void *context, char *remote_ip, char *local_ip, int remote_port,
            int local_port)
{
  struct kq_front_attempt *attempt = context;

  if (attempt->requests > 0)
    return CURL_PREREQFUNC_ABORT;
  attempt->requests++;
  return CURL_PREREQFUNC_OK;
}

static int
on_socket_created (void *context, curl_socket_t fd, curlsocktype purpose)
{
  unsigned ms = UNACKED_MS;

  setsockopt (fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &ms, sizeof ms);
  return CURL_SOCKOPT_OK;
}

static void
set_fixed_options (CURL *easy)
{
  curl_easy_setopt (easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (easy, CURLOPT_PROXY, "");
  curl_easy_setopt (easy, CURLOPT_PROTOCOLS_STR, "http");
  curl_easy_setopt (easy, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
  curl_easy_setopt (easy, CURLOPT_TCP_NODELAY, 1L);
  curl_easy_setopt (easy, CURLOPT_TCP_KEEPALIVE, 1L);
  curl_easy_setopt (easy, CURLOPT_TCP_KEEPIDLE, PROBE_SECONDS);
  curl_easy_setopt (easy, CURLOPT_TCP_KEEPINTVL, PROBE_SECONDS);
  curl_easy_setopt (easy, CURLOPT_MAXAGE_CONN, MAX_IDLE_SECONDS);
  curl_easy_setopt (easy, CURLOPT_SOCKOPTFUNCTION, on_socket_created);
  curl_easy_setopt (easy, CURLOPT_HEADERFUNCTION, on_header);
  curl_easy_setopt (easy, CURLOPT_WRITEFUNCTION, on_body);
  curl_easy_setopt (easy, CURLOPT_PREREQFUNCTION, on_request);
}

static CURL *
get_easy (struct kq_front *front)
{
  struct kq_front_easy *idle = front->idle_handles;
  CURL *easy;

  if (idle != NULL)
    {
      front->idle_handles = idle->next;
      easy = idle->easy;
      free (idle);
      return easy;
    }
  easy = curl_easy_init ();
  if (easy != NULL)
    set_fixed_options (easy);
  return easy;
}

static void
put_easy (struct kq_front *front, CURL *easy)
{
  struct kq_front_easy *idle = malloc (sizeof *idle);

  if (idle == NULL)
    {
      curl_easy_cleanup (easy);
      return;
    }
  idle->easy = easy;
  idle->next = front->idle_handles;
  front->idle_handles = idle;
}

/* The list's nodes point into the call's headers, which outlive them. */
static struct curl_slist *
build_headers (struct kq_front_attempt *attempt, kq_usec deadline)
{
  struct kq_front_call *call = attempt->call;
  char parent[KQ_TRACE_PARENT_SIZE];
  size_t own = 0;
  size_t count = 0;
  size_t at = 0;
  bool has_type = false;
  bool has_accept = false;

  while (at < call->headers.size)
    {
      char *header = call->headers.data + at;
      has_type |= strncasecmp (header, "Content-Type:", 13) == 0;
      has_accept |= strncasecmp (header, "Accept:", 7) == 0;
      attempt->nodes[count++].data = header;
      at += strlen (header) + 1;
    }
  kq_trace_format (&attempt->trace, parent);
  snprintf (attempt->own_headers[own++], sizeof attempt->own_headers[0],
            "traceparent: %s", parent);
  snprintf (attempt->own_headers[own++], sizeof attempt->own_headers[0],
            "Kumquatrack-Deadline-Ms: %lld",
            (long long)((deadline - attempt->started) / KQ_USEC_PER_MSEC));
  strcpy (attempt->own_headers[own++], "Expect:");
  if (!has_type)
    strcpy (attempt->own_headers[own++], "Content-Type:");
  if (!has_accept)
    strcpy (attempt->own_headers[own++], "Accept:");
  for (size_t i = 0; i < own; i++)
    attempt->nodes[count++].data = attempt->own_headers[i];
  for (size_t i = 0; i + 1 < count; i++)
    attempt->nodes[i].next = &attempt->nodes[i + 1];
  return attempt->nodes;
}

static void
set_method (CURL *easy, struct kq_front_call *call)
{
  const char *method = call->method;
  bool has_body = call->body.size > 0 || strcmp (method, "POST") == 0
                  || strcmp (method, "PUT") == 0
                  || strcmp (method, "PATCH") == 0;

  curl_easy_setopt (easy, CURLOPT_HTTPGET, 1L);
  if (strcmp (method, "HEAD") == 0)
    {
      curl_easy_setopt (easy, CURLOPT_CUSTOMREQUEST, NULL);
      curl_easy_setopt (easy, CURLOPT_NOBODY, 1L);
      return;
    }
  curl_easy_setopt (easy, CURLOPT_CUSTOMREQUEST, method);
  if (!has_body)
    return;
  curl_easy_setopt (easy, CURLOPT_POSTFIELDSIZE_LARGE,
                    (curl_off_t)call->body.size);
  curl_easy_setopt (easy, CURLOPT_POSTFIELDS,
                    call->body.size > 0 ? call->body.data : "");
}

static void
set_connection (CURL *easy, kq_usec max_age)
{
  long seconds = (long)(KQ_REQUEST_CONNECTION_AGE / KQ_USEC_PER_SEC);

  /* libcurl counts whole seconds: younger ages need a new connection. */
  if (max_age >= 0 && max_age / KQ_USEC_PER_SEC - 1 < seconds)
    seconds = (long)(max_age / KQ_USEC_PER_SEC) - 1;
  curl_easy_setopt (easy, CURLOPT_FRESH_CONNECT, seconds < 1 ? 1L : 0L);
  curl_easy_setopt (easy, CURLOPT_MAXLIFETIME_CONN,
                    seconds < 1 ? 1L : seconds);
}

static long
connect_ms (kq_usec left)
{
  long ms = (long)(left / KQ_USEC_PER_MSEC);

  if (ms > CONNECT_MS)
    return CONNECT_MS;
  return ms > 0 ? ms : 1;
}

int
kq_front_curl_send (struct kq_front_attempt *attempt, const char *address,
                    kq_usec deadline, kq_usec max_age)
{
  struct kq_front_call *call = attempt->call;
  struct kq_front *front = call->front;
  char url[KQ_REQUEST_ADDRESS_SIZE + 16];
  CURL *easy = get_easy (front);

  attempt->answer = kq_answer_create (0, KQ_FRONT_BODY_LIMIT);
  if (easy == NULL || attempt->answer == NULL)
    {
      kq_answer_unref (attempt->answer);
      if (easy != NULL)
        put_easy (front, easy);
      return KQ_ENOMEM;
    }
  attempt->easy = easy;
  snprintf (url, sizeof url, "http://%s/", address);
  curl_easy_setopt (easy, CURLOPT_URL, url);
  curl_easy_setopt (easy, CURLOPT_REQUEST_TARGET, call->uri);
  set_method (easy, call);
  set_connection (easy, max_age);
  curl_easy_setopt (easy, CURLOPT_HTTPHEADER,
                    build_headers (attempt, deadline));
  curl_easy_setopt (easy, CURLOPT_CONNECTTIMEOUT_MS,
                    connect_ms (deadline - attempt->started));
  curl_easy_setopt (easy, CURLOPT_PRIVATE, attempt);
  curl_easy_setopt (easy, CURLOPT_HEADERDATA, attempt);
  curl_easy_setopt (easy, CURLOPT_WRITEDATA, attempt);
  curl_easy_setopt (easy, CURLOPT_PREREQDATA, attempt);
  if (curl_multi_add_handle (front->multi, easy) != CURLM_OK)
    {
      kq_answer_unref (attempt->answer);
      put_easy (front, easy);
      return KQ_EIO;
    }
  front->curl_pending = true;
  return 0;
}

static void
detach (struct kq_front_attempt *attempt)
{
  struct kq_front *front = attempt->call->front;

  curl_multi_remove_handle (front->multi, attempt->easy);
  put_easy (front, attempt->easy);
  attempt->easy = NULL;
}

void
kq_front_curl_abort (struct kq_front_attempt *attempt)
{
  detach (attempt);
  kq_answer_unref (attempt->answer);
}

static void
finish_failed (struct kq_front_attempt *attempt, CURLcode code)
{
  enum kq_outcome outcome = KQ_OUTCOME_UNKNOWN;
  int err = KQ_ECLOSED;

  if (attempt->requests == 0)
    {
      outcome = KQ_OUTCOME_NOT_RUN;
      err = KQ_EREQ_NO_ENDPOINT;
    }
  else if (attempt->refusal != 0)
    err = attempt->refusal;
  else if (kq_answer_status (attempt->answer) != 0)
    err = KQ_EREQ_CUT;
  kq_answer_unref (attempt->answer);
  kq_front_attempt_end (attempt, outcome, err, NULL);
}

static void
finish (struct kq_front_attempt *attempt, CURLcode code)
{
  struct kq_answer *answer = attempt->answer;
  bool head = strcmp (attempt->call->method, "HEAD") == 0;

  detach (attempt);
  if (code != CURLE_OK)
    {
      finish_failed (attempt, code);
      return;
    }
  if (attempt->not_run && kq_answer_status (answer) == 503)
    {
      kq_answer_unref (answer);
      kq_front_attempt_end (attempt, KQ_OUTCOME_NOT_RUN, KQ_EREQ_OVERLOAD,
                            NULL);
      return;
    }
  /* A body that ends with the connection may have been cut short. */
  if (!attempt->delimited && !head)
    {
      kq_answer_unref (answer);
      kq_front_attempt_end (attempt, KQ_OUTCOME_UNKNOWN, KQ_EREQ_CUT, NULL);
      return;
    }
  kq_front_attempt_end (attempt, KQ_OUTCOME_ANSWERED, 0, answer);
}

static void
read_finished (struct kq_front *front)
{
  struct kq_front_attempt *attempt;
  CURLMsg *message;
  int left;

  while ((message = curl_multi_info_read (front->multi, &left)) != NULL)
    {
      CURLcode code = message->data.result;

      if (message->msg != CURLMSG_DONE)
        continue;
      curl_easy_getinfo (message->easy_handle, CURLINFO_PRIVATE, &attempt);
      finish (attempt, code);
    }
}

static void
act (struct kq_front *front, curl_socket_t fd, int mask)
{
  int running;

  curl_multi_socket_action (front->multi, fd, mask, &running);
  read_finished (front);
}

void
kq_front_curl_run (struct kq_front *front)
{
  front->curl_pending = false;
  act (front, CURL_SOCKET_TIMEOUT, 0);
}

static void
on_socket_io (struct ev_loop *loop, ev_io *io, int events)
{
  struct socket_watcher *watcher = (struct socket_watcher *)io;
  int mask = 0;

  if (events & EV_READ)
    mask |= CURL_CSELECT_IN;
  if (events & EV_WRITE)
    mask |= CURL_CSELECT_OUT;
  act (watcher->front, watcher->fd, mask);
}

static void
on_timer (struct ev_loop *loop, ev_timer *timer, int events)
{
  kq_front_curl_run (timer->data);
}

static int
on_timer_change (CURLM *multi, long ms, void *context)
{
  struct kq_front *front = context;

  ev_timer_stop (front->loop, &front->curl_timer);
  if (ms == 0)
    front->curl_pending = true;
  if (ms > 0)
    {
      ev_timer_set (&front->curl_timer, (double)ms / 1000., 0.);
      ev_timer_start (front->loop, &front->curl_timer);
    }
  return 0;
}

static void
forget_socket (struct kq_front *front, curl_socket_t fd,
               struct socket_watcher *watcher)
{
  if (watcher == NULL)
    return;
  ev_io_stop (front->loop, &watcher->io);
  curl_multi_assign (front->multi, fd, NULL);
  free (watcher);
}

static int
on_socket_change (CURL *easy, curl_socket_t fd, int what, void *context,
                  void *assigned)
{
  struct kq_front *front = context;
  struct socket_watcher *watcher = assigned;
  int events = 0;

  if (what == CURL_POLL_REMOVE)
    {
      forget_socket (front, fd, watcher);
      return 0;
    }
  if (what == CURL_POLL_IN || what == CURL_POLL_INOUT)
    events |= EV_READ;
  if (what == CURL_POLL_OUT || what == CURL_POLL_INOUT)
    events |= EV_WRITE;
  if (watcher == NULL)
    {
      watcher = calloc (1, sizeof *watcher);
      if (watcher == NULL)
        return -1;
      watcher->front = front;
      watcher->fd = fd;
      ev_io_init (&watcher->io, on_socket_io, fd, events);
      curl_multi_assign (front->multi, fd, watcher);
    }
  ev_io_stop (front->loop, &watcher->io);
  ev_io_set (&watcher->io, fd, events);
  ev_io_start (front->loop, &watcher->io);
  return 0;
}

int
kq_front_curl_start (struct kq_front *front)
{
  if (curl_global_init (CURL_GLOBAL_DEFAULT) != CURLE_OK)
    return KQ_EIO;
  front->multi = curl_multi_init ();
  if (front->multi == NULL)
    return KQ_ENOMEM;
  return 0;
}

void
kq_front_curl_attach (struct kq_front *front)
{
  ev_timer_init (&front->curl_timer, on_timer, 0., 0.);
  front->curl_timer.data = front;
  curl_multi_setopt (front->multi, CURLMOPT_SOCKETFUNCTION, on_socket_change);
  curl_multi_setopt (front->multi, CURLMOPT_SOCKETDATA, front);
  curl_multi_setopt (front->multi, CURLMOPT_TIMERFUNCTION, on_timer_change);
  curl_multi_setopt (front->multi, CURLMOPT_TIMERDATA, front);
  curl_multi_setopt (front->multi, CURLMOPT_MAXCONNECTS, MAX_IDLE_CONNECTIONS);
}

/* Attempts that outlived their callers are cut off here. */
static void
abort_attempts (struct kq_front *front)
{
  struct kq_front_call *call;
  struct kq_front_call *next;

  HASH_ITER (hh, front->calls, call, next)
  {
    call->refs++;
    while (call->attempts != NULL)
      {
        struct kq_front_attempt *attempt = call->attempts;

        if (attempt->kind == KQ_ATTEMPT_HOP)
          kq_front_hop_abort (attempt);
        else
          kq_front_curl_abort (attempt);
        kq_front_attempt_end (attempt, KQ_OUTCOME_UNKNOWN, KQ_ESTOPPING, NULL);
      }
    kq_front_call_unref (call);
  }
}

void
kq_front_curl_stop (struct kq_front *front)
{
  struct kq_front_easy *idle;

  if (front->multi == NULL)
    return;
  abort_attempts (front);
  while ((idle = front->idle_handles) != NULL)
    {
      front->idle_handles = idle->next;
      curl_easy_cleanup (idle->easy);
      free (idle);
    }
  curl_multi_cleanup (front->multi);
  front->multi = NULL;
}

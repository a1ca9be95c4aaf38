#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "base/err.h"
#include "daemon/front_impl.h"

/** Longest idle time of a connection that is used again, in seconds. */
#define MAX_IDLE_SECONDS 20L
/** Most time to open a connection. */
#define CONNECT_MS 1000
/** Unacknowledged data ends a connection after this, in milliseconds. */
#define UNACKED_MS 3000
/** Idle connections are probed after and every so many seconds. */
#define PROBE_SECONDS 5L

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
  return kq_response_add_header (attempt->answer, line, name_length, value,
                                 length);
}

static void
begin_head (struct kq_front_attempt *attempt, const char *line, size_t length)
{
  const char *space = memchr (line, ' ', length);
  int status = space != NULL ? atoi (space + 1) : 0;

  kq_response_reset (attempt->answer, status);
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
    attempt->head_done = kq_response_status (attempt->answer) >= 200;
  return attempt->refusal == 0 ? size * count : 0;
}

static size_t
on_body (char *data, size_t size, size_t count, void *context)
{
  struct kq_front_attempt *attempt = context;

  attempt->refusal
      = kq_response_add_body (attempt->answer, data, size * count);
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

void
kq_front_endpoint_options (CURL *easy)
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

void
kq_front_endpoint_prepare (struct kq_front_attempt *attempt,
                           const char *address, kq_usec deadline,
                           kq_usec max_age)
{
  struct kq_front_call *call = attempt->call;
  CURL *easy = attempt->easy;
  char url[KQ_REQUEST_ADDRESS_SIZE + 16];

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
  else if (kq_response_status (attempt->answer) != 0)
    err = KQ_EREQ_CUT;
  kq_response_unref (attempt->answer);
  kq_front_attempt_end (attempt, outcome, err, NULL);
}

void
kq_front_endpoint_finish (struct kq_front_attempt *attempt, CURLcode code)
{
  struct kq_response *answer = attempt->answer;
  bool head = strcmp (attempt->call->method, "HEAD") == 0;

  if (code != CURLE_OK)
    {
      finish_failed (attempt, code);
      return;
    }
  if (attempt->not_run && kq_response_status (answer) == 503)
    {
      kq_response_unref (answer);
      kq_front_attempt_end (attempt, KQ_OUTCOME_NOT_RUN, KQ_EREQ_OVERLOAD,
                            NULL);
      return;
    }
  /* A body that ends with the connection may have been cut short. */
  if (!attempt->delimited && !head)
    {
      kq_response_unref (answer);
      kq_front_attempt_end (attempt, KQ_OUTCOME_UNKNOWN, KQ_EREQ_CUT, NULL);
      return;
    }
  kq_front_attempt_end (attempt, KQ_OUTCOME_ANSWERED, 0, answer);
}

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "base/err.h"
#include "daemon/front_impl.h"

/** Maximum idle time of a connection that is reused. */
#define MAX_IDLE_SECONDS 20L
/** Maximum time to open a connection. */
#define CONNECT_TIMEOUT_MS 1000
/** Time for which sent data may stay unacknowledged before the connection is
 *  closed.  */
#define UNACKED_TIMEOUT_MS 3000
/** Idle time before the first TCP keepalive probe, and interval of probes. */
#define KEEPALIVE_SECONDS 5L

static void
strip_line_end (const char *line, size_t *length)
{
  while (*length > 0
         && (line[*length - 1] == '\r' || line[*length - 1] == '\n'
             || line[*length - 1] == ' '))
    (*length)--;
}

static bool
equals_ignoring_case (const char *name, size_t length, const char *expected)
{
  return strlen (expected) == length
         && strncasecmp (name, expected, length) == 0;
}

static int
read_header (struct kq_front_attempt *attempt, const char *line, size_t length)
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
  if (equals_ignoring_case (line, name_length, "Content-Length")
      || (equals_ignoring_case (line, name_length, "Transfer-Encoding")
          && equals_ignoring_case (value, length, "chunked")))
    attempt->delimited = true;
  if (equals_ignoring_case (line, name_length, "Kumquatrack-Outcome")
      && equals_ignoring_case (value, length, "not-run"))
    attempt->not_run = true;
  if (!kq_front_headers_is_forwarded (line, name_length)
      && !(equals_ignoring_case (line, name_length, "Content-Length")
           && strcmp (attempt->call->method, "HEAD") == 0))
    return 0;
  return kq_response_add_header (attempt->answer, line, name_length, value,
                                 length);
}

static void
read_status_line (struct kq_front_attempt *attempt, const char *line,
                  size_t length)
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
  if (attempt->head_complete)
    return size * count;
  if (length >= 5 && memcmp (data, "HTTP/", 5) == 0)
    read_status_line (attempt, data, length);
  else if (length > 0)
    attempt->read_err = read_header (attempt, data, length);
  else
    attempt->head_complete = kq_response_status (attempt->answer) >= 200;
  return attempt->read_err == 0 ? size * count : 0;
}

static size_t
on_body (char *data, size_t size, size_t count, void *context)
{
  struct kq_front_attempt *attempt = context;

  attempt->read_err
      = kq_response_add_body (attempt->answer, data, size * count);
  return attempt->read_err == 0 ? size * count : 0;
}

/* Called whenever libcurl is about to send the request.  If a reused
   connection turns out to be closed, libcurl sends the request again by
   itself, although the endpoint may have run it.  Allows only the first
   sending.  */
static int
on_send_request (void *context, char *remote_ip, char *local_ip,
                 int remote_port, int local_port)
{
  struct kq_front_attempt *attempt = context;

  if (attempt->send_count > 0)
    return CURL_PREREQFUNC_ABORT;
  attempt->send_count++;
  return CURL_PREREQFUNC_OK;
}

static int
on_socket_created (void *context, curl_socket_t fd, curlsocktype purpose)
{
  unsigned ms = UNACKED_TIMEOUT_MS;

  setsockopt (fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &ms, sizeof ms);
  return CURL_SOCKOPT_OK;
}

void
kq_front_endpoint_set_options (CURL *easy)
{
  curl_easy_setopt (easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (easy, CURLOPT_PROXY, "");
  curl_easy_setopt (easy, CURLOPT_PROTOCOLS_STR, "http");
  curl_easy_setopt (easy, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
  curl_easy_setopt (easy, CURLOPT_TCP_NODELAY, 1L);
  curl_easy_setopt (easy, CURLOPT_TCP_KEEPALIVE, 1L);
  curl_easy_setopt (easy, CURLOPT_TCP_KEEPIDLE, KEEPALIVE_SECONDS);
  curl_easy_setopt (easy, CURLOPT_TCP_KEEPINTVL, KEEPALIVE_SECONDS);
  curl_easy_setopt (easy, CURLOPT_MAXAGE_CONN, MAX_IDLE_SECONDS);
  curl_easy_setopt (easy, CURLOPT_SOCKOPTFUNCTION, on_socket_created);
  curl_easy_setopt (easy, CURLOPT_HEADERFUNCTION, on_header);
  curl_easy_setopt (easy, CURLOPT_WRITEFUNCTION, on_body);
  curl_easy_setopt (easy, CURLOPT_PREREQFUNCTION, on_send_request);
}

/* The nodes of the list point into the call's headers, which outlive the
   nodes.  */
static struct curl_slist *
build_headers (struct kq_front_attempt *attempt, kq_usec deadline)
{
  struct kq_front_call *call = attempt->call;
  char traceparent[KQ_TRACE_PARENT_SIZE];
  size_t added = 0;
  size_t count = 0;
  size_t offset = 0;
  bool has_type = false;
  bool has_accept = false;

  while (offset < call->headers.size)
    {
      char *header = call->headers.data + offset;
      has_type |= strncasecmp (header, "Content-Type:", 13) == 0;
      has_accept |= strncasecmp (header, "Accept:", 7) == 0;
      attempt->header_nodes[count++].data = header;
      offset += strlen (header) + 1;
    }
  kq_trace_format (&attempt->trace, traceparent);
  snprintf (attempt->added_headers[added++], sizeof attempt->added_headers[0],
            "traceparent: %s", traceparent);
  snprintf (attempt->added_headers[added++], sizeof attempt->added_headers[0],
            "Kumquatrack-Deadline-Ms: %lld",
            (long long)((deadline - attempt->started) / KQ_USEC_PER_MSEC));
  strcpy (attempt->added_headers[added++], "Expect:");
  if (!has_type)
    strcpy (attempt->added_headers[added++], "Content-Type:");
  if (!has_accept)
    strcpy (attempt->added_headers[added++], "Accept:");
  for (size_t i = 0; i < added; i++)
    attempt->header_nodes[count++].data = attempt->added_headers[i];
  for (size_t i = 0; i + 1 < count; i++)
    attempt->header_nodes[i].next = &attempt->header_nodes[i + 1];
  return attempt->header_nodes;
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
  long seconds = (long)(KQ_REQUEST_CONNECTION_AGE_US / KQ_USEC_PER_SEC);

  /* libcurl counts whole seconds, so a maximum age below 2 s needs a new
     connection.  */
  if (max_age >= 0 && max_age / KQ_USEC_PER_SEC - 1 < seconds)
    seconds = (long)(max_age / KQ_USEC_PER_SEC) - 1;
  curl_easy_setopt (easy, CURLOPT_FRESH_CONNECT, seconds < 1 ? 1L : 0L);
  curl_easy_setopt (easy, CURLOPT_MAXLIFETIME_CONN,
                    seconds < 1 ? 1L : seconds);
}

static long
connect_timeout_ms (kq_usec remaining)
{
  long ms = (long)(remaining / KQ_USEC_PER_MSEC);

  if (ms > CONNECT_TIMEOUT_MS)
    return CONNECT_TIMEOUT_MS;
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
                    connect_timeout_ms (deadline - attempt->started));
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

  if (attempt->send_count == 0)
    {
      outcome = KQ_OUTCOME_NOT_RUN;
      err = KQ_EREQ_NO_ENDPOINT;
    }
  else if (attempt->read_err != 0)
    err = attempt->read_err;
  else if (kq_response_status (attempt->answer) != 0)
    err = KQ_EREQ_CUT;
  kq_response_unref (attempt->answer);
  kq_front_attempt_end (attempt, outcome, err, NULL);
}

void
kq_front_endpoint_finish (struct kq_front_attempt *attempt, CURLcode code)
{
  struct kq_response *answer = attempt->answer;
  bool is_head = strcmp (attempt->call->method, "HEAD") == 0;

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
  /* Only the end of the connection marks the end of the body, so the body may
     be truncated.  */
  if (!attempt->delimited && !is_head)
    {
      kq_response_unref (answer);
      kq_front_attempt_end (attempt, KQ_OUTCOME_UNKNOWN, KQ_EREQ_CUT, NULL);
      return;
    }
  kq_front_attempt_end (attempt, KQ_OUTCOME_ANSWERED, 0, answer);
}

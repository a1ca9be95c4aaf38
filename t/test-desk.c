/* Guards against callers' requests that are cut without an answer as a host
   stops: what the job API answers then was never written; and against jobs
   that nobody waits for, which a host accepts after it stood still. */
#include <arpa/inet.h>
#include <ev.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "node/desk.h"
#include "node/guard.h"
#include "node/http.h"
#include "platform/site.h"
#include "t/kqtest.h"

/* Time that a host has left for each of its three servers as it stops them: it
   ends 700 ms before it would be killed. */
#define MAX_STOP_US (700 * KQ_USEC_PER_MSEC / 3)

#define READ_TIMEOUT_SEC 2

/* As long as a caller waits. */
#define STANDSTILL_SEC 3
#define BODY "{\"spec\":\"1\",\"steps\":[{\"count\":1,\"cpu\":1}]}"

/* More than the buffers of a connection hold. */
#define LARGE_RESPONSE_BYTES ((size_t)64 * 1024 * 1024)

static const char config_text[]
    = "{\"version\":7,\"routes\":[{\"name\":\"r\",\"host\":\"h.example\","
      "\"prefix\":\"/a/\",\"service\":\"s\",\"attempts\":3,\"stretch\":1.5}],"
      "\"services\":[],\"limits\":{\"max_body_bytes\":1000}}";

static struct ev_loop *loop;
static struct sockaddr_in address;
static char address_text[40];
static int forwarded;
static int suspended;
static bool owner_takes_requests;
static struct kq_http_request *last_request;

/* Selects a free port of the loopback interface. */
static void
choose_address (void)
{
  socklen_t size = sizeof address;
  int fd = socket (AF_INET, SOCK_STREAM, 0);

  address = (struct sockaddr_in){ .sin_family = AF_INET,
                                  .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  CU_ASSERT_EQUAL_FATAL (bind (fd, (struct sockaddr *)&address, size), 0);
  getsockname (fd, (struct sockaddr *)&address, &size);
  close (fd);
  snprintf (address_text, sizeof address_text, "127.0.0.1:%d",
            ntohs (address.sin_port));
}

static void
on_timeout (struct ev_loop *current_loop, ev_timer *timer, int events)
{
  ev_break (current_loop, EVBREAK_ALL);
}

static void
run_loop_for (double seconds)
{
  ev_timer timer;

  ev_timer_init (&timer, on_timeout, seconds, 0);
  ev_timer_start (loop, &timer);
  ev_run (loop, 0);
  ev_timer_stop (loop, &timer);
}

static int
connect_to_server (void)
{
  struct timeval timeout = { .tv_sec = READ_TIMEOUT_SEC };
  int fd = socket (AF_INET, SOCK_STREAM, 0);

  setsockopt (fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof timeout);
  CU_ASSERT_EQUAL_FATAL (
      connect (fd, (struct sockaddr *)&address, sizeof address), 0);
  return fd;
}

static void
send_submission (int fd, int job)
{
  char text[400];
  int size = snprintf (text, sizeof text,
                       "POST /a/%016x HTTP/1.1\r\nHost: h.example\r\n"
                       "Deadline-Ms: 3000\r\nContent-Length: %zu\r\n\r\n%s",
                       (unsigned)job, strlen (BODY), BODY);

  CU_ASSERT_EQUAL (write (fd, text, (size_t)size), size);
}

/* Returns the status of a complete response on FD, or 0, and closes FD. */
static int
read_status (int fd)
{
  char text[2000];
  size_t size = 0;
  size_t length = 0;
  ssize_t more;
  const char *body;
  const char *header;
  int status = 0;

  while (size < sizeof text - 1
         && (more = read (fd, text + size, sizeof text - 1 - size)) > 0)
    size += (size_t)more;
  close (fd);
  text[size] = '\0';
  body = strstr (text, "\r\n\r\n");
  header = strstr (text, "Content-Length: ");
  if (body == NULL || header == NULL
      || sscanf (text, "HTTP/1.1 %d", &status) != 1)
    return 0;
  length = strtoul (header + strlen ("Content-Length: "), NULL, 10);
  return strlen (body + 4) == length ? status : 0;
}

static bool
on_forward (void *arg, const KqNode__Ask *message)
{
  forwarded++;
  return owner_takes_requests;
}

static void
on_no_reply (void *arg)
{
}

static struct kq_guard *
make_guard (void)
{
  static struct kq_guard *guard;

  if (guard == NULL)
    guard = kq_guard_create (&(struct kq_guard_limits){ 0 });
  return guard;
}

static struct kq_job_api *
start_job_api (struct kq_sched_config **config)
{
  struct kq_job_api_handler handler
      = { .on_forward = on_forward, .on_no_reply = on_no_reply };
  struct kq_job_api *api;
  int err;

  loop = ev_loop_new (EVFLAG_AUTO);
  forwarded = 0;
  choose_address ();
  api = kq_job_api_create (loop, address_text, &handler, make_guard (), &err);
  CU_ASSERT_PTR_NOT_NULL_FATAL (api);
  CU_ASSERT_EQUAL_FATAL (
      kq_site_config_read (config_text, strlen (config_text), config), 0);
  kq_job_api_configure (api, *config);
  return api;
}

static void
stop_job_api (struct kq_job_api *api, struct kq_sched_config *config)
{
  kq_job_api_destroy (api);
  kq_sched_config_destroy (config);
  ev_loop_destroy (loop);
}

/* A request that the owner holds as the host stops may have been carried out:
   its caller is told that the outcome is unknown. */
static void
test_stop_answers_pending_requests (void)
{
  enum
  {
    REQUESTS = 40
  };
  struct kq_sched_config *config = NULL;
  struct kq_job_api *api = start_job_api (&config);
  int fds[REQUESTS];

  owner_takes_requests = true;
  for (int i = 0; i < REQUESTS; i++)
    {
      fds[i] = connect_to_server ();
      send_submission (fds[i], i + 1);
    }
  run_loop_for (0.2);
  CU_ASSERT_EQUAL (forwarded, REQUESTS);
  kq_job_api_disable_keep_alive (api);
  stop_job_api (api, config);
  for (int i = 0; i < REQUESTS; i++)
    CU_ASSERT_EQUAL (read_status (fds[i]), 504);
}

/* A request that no owner has taken is refused as the host stops. */
static void
test_stop_refuses_requests_not_taken (void)
{
  struct kq_sched_config *config = NULL;
  struct kq_job_api *api = start_job_api (&config);
  int fd = connect_to_server ();

  owner_takes_requests = false;
  send_submission (fd, 1);
  run_loop_for (0.2);
  CU_ASSERT (forwarded > 0);
  stop_job_api (api, config);
  CU_ASSERT_EQUAL (read_status (fd), 503);
}

/* A request that arrives as the host stops is not handed to anybody: it is
   either refused with an answer or not read. */
static void
test_stop_refuses_arriving_requests (void)
{
  struct kq_sched_config *config = NULL;
  struct kq_job_api *api = start_job_api (&config);
  int pending = connect_to_server ();
  int arriving = connect_to_server ();
  int before;

  owner_takes_requests = true;
  send_submission (pending, 1);
  run_loop_for (0.2);
  before = forwarded;
  send_submission (arriving, 2);
  usleep (20000);
  stop_job_api (api, config);
  CU_ASSERT_EQUAL (forwarded, before);
  CU_ASSERT_EQUAL (read_status (pending), 504);
  CU_ASSERT_EQUAL (read_status (arriving), 503);
}

static void
on_request (void *arg, struct kq_http_request *request)
{
  last_request = request;
  suspended++;
}

/* A caller that does not read its response does not hold up the stop. */
static void
test_stop_ends_in_time (void)
{
  struct kq_http_handler handler = { .on_request = on_request };
  struct kq_http_response response
      = { .status = 200, .body_size = LARGE_RESPONSE_BYTES };
  char *body = calloc (1, LARGE_RESPONSE_BYTES);
  struct kq_http *http;
  kq_usec started;
  int err;
  int fd;

  loop = ev_loop_new (EVFLAG_AUTO);
  suspended = 0;
  choose_address ();
  http
      = kq_http_start (loop, address_text, &handler, make_guard (), 100, &err);
  CU_ASSERT_PTR_NOT_NULL_FATAL (http);
  fd = connect_to_server ();
  send_submission (fd, 1);
  run_loop_for (0.2);
  CU_ASSERT_EQUAL_FATAL (suspended, 1);
  response.body = body;
  kq_http_respond (http, last_request, &response);
  started = kq_clock_now ();
  kq_http_stop (http);
  CU_ASSERT (kq_clock_now () - started < MAX_STOP_US);
  close (fd);
  ev_loop_destroy (loop);
  free (body);
}

/* A host that stood still reads the submission of a caller that has left: the
   job may have been cancelled elsewhere.  One that still waits is served. */
static void
test_standstill_refuses_callers_that_left (void)
{
  struct kq_sched_config *config = NULL;
  struct kq_job_api *api = start_job_api (&config);
  int waiting = connect_to_server ();
  int left = connect_to_server ();

  owner_takes_requests = true;
  run_loop_for (0.1);
  send_submission (waiting, 1);
  send_submission (left, 2);
  close (left);
  sleep (STANDSTILL_SEC);
  run_loop_for (0.3);
  CU_ASSERT_EQUAL (forwarded, 1);
  stop_job_api (api, config);
  CU_ASSERT_EQUAL (read_status (waiting), 504);
}

/* A caller that closes its own end after its request is served otherwise. */
static void
test_half_closed_connection (void)
{
  struct kq_sched_config *config = NULL;
  struct kq_job_api *api = start_job_api (&config);
  int fd = connect_to_server ();

  owner_takes_requests = true;
  send_submission (fd, 1);
  shutdown (fd, SHUT_WR);
  run_loop_for (0.3);
  CU_ASSERT_EQUAL (forwarded, 1);
  stop_job_api (api, config);
  close (fd);
}

static const struct kq_test tests[] = {
  { "a host that stood still refuses callers that left",
    test_standstill_refuses_callers_that_left },
  { "a connection that is half closed", test_half_closed_connection },
  { "a stop answers requests that are pending",
    test_stop_answers_pending_requests },
  { "a stop refuses requests that no owner has taken",
    test_stop_refuses_requests_not_taken },
  { "a stop refuses requests that arrive during it",
    test_stop_refuses_arriving_requests },
  { "a stop ends in time although a caller does not read",
    test_stop_ends_in_time },
};

KQ_TEST_MAIN ("test-desk", tests)

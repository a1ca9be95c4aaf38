/* Guards against long iterations of the event loop after many workers have
   restarted at once: libcurl scans a large connection pool again for each
   connection that has been closed.  And against timeouts of calls whose
   response has arrived, or which were not sent in time, because this process
   was busy: their repetition would keep it busy.  And against using up the
   connections of a worker, so that polls are answered and no order arrives. */
#include <ev.h>
#include <microhttpd.h>
#include <netinet/in.h>
#include <stdio.h>
#include <string.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#include "base/clock.h"
#include "platform/call.h"
#include "t/kqtest.h"

#define ADDRESSES 1000 /* per server; there are two */
#define MAX_IN_FLIGHT 50
#define MIN_DESCRIPTORS 6000

/* Maximum processor time of an iteration of the loop: half of the interval
   between two heartbeats of an owner, 400 ms (term/term.c), on half a core. */
#define MAX_ITERATION_US (100 * KQ_USEC_PER_MSEC)

/* libcurl scans its connections once a second; this is slightly longer. */
#define SCAN_INTERVAL_SEC 1.1

static struct ev_loop *loop;
static int in_flight;
static int succeeded;

static enum MHD_Result
send_response (void *arg, struct MHD_Connection *connection, const char *url,
               const char *method, const char *version, const char *body,
               size_t *size, void **state)
{
  static char text[] = "{}";
  static int accepted;
  struct MHD_Response *response;
  enum MHD_Result result;

  /* A response during the first callback of a request would close the
     connection. */
  if (*state == NULL)
    {
      *state = &accepted;
      return MHD_YES;
    }
  response = MHD_create_response_from_buffer (strlen (text), text,
                                              MHD_RESPMEM_PERSISTENT);
  result = MHD_queue_response (connection, MHD_HTTP_OK, response);
  MHD_destroy_response (response);
  return result;
}

static struct MHD_Daemon *
start_server (int *port)
{
  struct MHD_Daemon *daemon = MHD_start_daemon (
      MHD_USE_EPOLL_INTERNAL_THREAD, 0, NULL, NULL, send_response, NULL,
      MHD_OPTION_CONNECTION_LIMIT, (unsigned)ADDRESSES * 2, MHD_OPTION_END);

  if (daemon != NULL)
    *port = MHD_get_daemon_info (daemon, MHD_DAEMON_INFO_BIND_PORT)->port;
  return daemon;
}

static void
on_done (void *arg, void *context, const struct kq_call_outcome *outcome)
{
  in_flight--;
  succeeded += outcome->err == 0;
}

static void
start_call (struct kq_http_client *http, int number, int port)
{
  char authority[40];
  struct kq_call_request request = { .kind = KQ_CALL_HOLD,
                                     .authority = authority,
                                     .path = "/",
                                     .timeout = 5 * KQ_USEC_PER_SEC,
                                     .done = on_done };

  snprintf (authority, sizeof authority, "127.0.%d.%d:%d", number / 250,
            number % 250 + 1, port);
  if (kq_http_client_send (http, &request) == 0)
    in_flight++;
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

/* Returns the processor time of this thread, which other load on the machine
   does not affect. */
static kq_usec
thread_cpu_time (void)
{
  struct timespec time;

  clock_gettime (CLOCK_THREAD_CPUTIME_ID, &time);
  return (kq_usec)time.tv_sec * KQ_USEC_PER_SEC + time.tv_nsec / 1000;
}

static kq_usec iteration_start;
static kq_usec longest_iteration;

static void
on_iteration_start (struct ev_loop *current_loop, ev_check *check, int events)
{
  iteration_start = thread_cpu_time ();
}

static void
on_iteration_end (struct ev_loop *current_loop, ev_prepare *prepare,
                  int events)
{
  kq_usec iteration = thread_cpu_time () - iteration_start;

  if (iteration_start != 0 && iteration > longest_iteration)
    longest_iteration = iteration;
}

/* Runs the loop until at most LIMIT calls are in flight. */
static void
wait_until_in_flight (int limit)
{
  while (in_flight > limit)
    ev_run (loop, EVRUN_ONCE);
}

static void
raise_descriptor_limit (void)
{
  struct rlimit limit;

  getrlimit (RLIMIT_NOFILE, &limit);
  if (limit.rlim_cur < MIN_DESCRIPTORS)
    limit.rlim_cur = MIN_DESCRIPTORS;
  CU_ASSERT_EQUAL (setrlimit (RLIMIT_NOFILE, &limit), 0);
}

/* Half of the workers restart at once.  The first calls after that, half of
   which go to restarted workers, must be made in short loop iterations. */
static void
test_many_restarts (void)
{
  int steady_port = 0;
  int restarting_port = 0;
  struct MHD_Daemon *steady;
  struct MHD_Daemon *restarting;
  struct kq_http_client *http;
  ev_check check;
  ev_prepare prepare;

  raise_descriptor_limit ();
  loop = ev_loop_new (EVFLAG_AUTO);
  ev_check_init (&check, on_iteration_start);
  ev_check_start (loop, &check);
  ev_prepare_init (&prepare, on_iteration_end);
  ev_prepare_start (loop, &prepare);
  http = kq_http_client_create (loop, NULL);
  steady = start_server (&steady_port);
  restarting = start_server (&restarting_port);
  CU_ASSERT_PTR_NOT_NULL_FATAL (http);
  CU_ASSERT_PTR_NOT_NULL_FATAL (steady);
  CU_ASSERT_PTR_NOT_NULL_FATAL (restarting);
  for (int i = 0; i < ADDRESSES; i++)
    {
      start_call (http, i, steady_port);
      start_call (http, i, restarting_port);
      wait_until_in_flight (MAX_IN_FLIGHT);
    }
  wait_until_in_flight (0);
  CU_ASSERT_EQUAL (succeeded, 2 * ADDRESSES);
  MHD_stop_daemon (restarting);
  run_loop_for (SCAN_INTERVAL_SEC);
  for (int i = 0; i < MAX_IN_FLIGHT; i++)
    start_call (http, i, i % 2 == 0 ? steady_port : restarting_port);
  longest_iteration = 0;
  wait_until_in_flight (0);
  CU_ASSERT (longest_iteration < MAX_ITERATION_US);
  CU_ASSERT_EQUAL (succeeded, 2 * ADDRESSES + MAX_IN_FLIGHT / 2);
  kq_http_client_destroy (http);
  MHD_stop_daemon (steady);
  ev_loop_destroy (loop);
}

/* Starts a call that times out after LIMIT_MS in a loop that does nothing else
   for BUSY_MS, either before it has sent the request or, if SENT, after. */
static void
call_beside_work (bool sent, int limit_ms, int busy_ms)
{
  int port = 0;
  struct MHD_Daemon *server;
  struct kq_http_client *http;
  struct kq_call_request request = { .kind = KQ_CALL_HOLD,
                                     .path = "/",
                                     .timeout = limit_ms * KQ_USEC_PER_MSEC,
                                     .done = on_done };
  char authority[40];

  loop = ev_loop_new (EVFLAG_AUTO);
  http = kq_http_client_create (loop, NULL);
  server = start_server (&port);
  CU_ASSERT_PTR_NOT_NULL_FATAL (http);
  CU_ASSERT_PTR_NOT_NULL_FATAL (server);
  snprintf (authority, sizeof authority, "127.0.0.1:%d", port);
  request.authority = authority;
  succeeded = 0;
  in_flight = 0;
  if (kq_http_client_send (http, &request) == 0)
    in_flight++;
  for (int i = 0; sent && i < 3 && in_flight > 0; i++)
    ev_run (loop, EVRUN_NOWAIT);
  usleep ((useconds_t)busy_ms * 1000);
  wait_until_in_flight (0);
  CU_ASSERT_EQUAL (succeeded, 1);
  kq_http_client_destroy (http);
  MHD_stop_daemon (server);
  ev_loop_destroy (loop);
}

static void
test_response_during_work (void)
{
  call_beside_work (true, 200, 400);
}

static void
test_request_after_work (void)
{
  call_beside_work (false, 200, 400);
}

static enum MHD_Result
send_nothing (void *arg, struct MHD_Connection *connection, const char *url,
              const char *method, const char *version, const char *body,
              size_t *size, void **state)
{
  MHD_suspend_connection (connection);
  return MHD_YES;
}

/* Makes the call in REQUEST to SERVER, in a loop of its own, until it ends. */
static void
make_call (struct MHD_Daemon *server, struct kq_call_request *request)
{
  struct kq_http_client *http;
  char authority[40];

  CU_ASSERT_PTR_NOT_NULL_FATAL (server);
  loop = ev_loop_new (EVFLAG_AUTO);
  http = kq_http_client_create (loop, NULL);
  snprintf (authority, sizeof authority, "127.0.0.1:%d",
            MHD_get_daemon_info (server, MHD_DAEMON_INFO_BIND_PORT)->port);
  request->authority = authority;
  succeeded = 0;
  in_flight = 0;
  if (kq_http_client_send (http, request) == 0)
    in_flight++;
  wait_until_in_flight (0);
  kq_http_client_destroy (http);
  ev_loop_destroy (loop);
}

/* A call without a response still ends in time. */
static void
test_call_without_response (void)
{
  struct MHD_Daemon *server = MHD_start_daemon (
      MHD_USE_EPOLL_INTERNAL_THREAD | MHD_ALLOW_SUSPEND_RESUME, 0, NULL, NULL,
      send_nothing, NULL, MHD_OPTION_END);
  struct kq_call_request request = { .kind = KQ_CALL_HOLD,
                                     .path = "/",
                                     .timeout = 200 * KQ_USEC_PER_MSEC,
                                     .done = on_done };
  kq_usec started = kq_clock_now ();

  make_call (server, &request);
  CU_ASSERT_EQUAL (succeeded, 0);
  CU_ASSERT (kq_clock_now () - started >= 200 * KQ_USEC_PER_MSEC);
  CU_ASSERT (kq_clock_now () - started < KQ_USEC_PER_SEC);
  MHD_quiesce_daemon (server);
}

#define PART_COUNT 8
#define PART_INTERVAL_US (100 * KQ_USEC_PER_MSEC)

/* Sends the next part of a response, of the size in ARG, after a while. */
static ssize_t
send_part (void *arg, uint64_t position, char *buffer, size_t max)
{
  size_t size = *(const size_t *)arg;

  usleep ((useconds_t)PART_INTERVAL_US);
  size = size < max ? size : max;
  memset (buffer, ' ', size);
  return (ssize_t)size;
}

static enum MHD_Result
send_parts (void *arg, struct MHD_Connection *connection, const char *url,
            const char *method, const char *version, const char *body,
            size_t *size, void **state)
{
  struct MHD_Response *response;
  enum MHD_Result result;

  if (*state == NULL)
    {
      *state = arg;
      return MHD_YES;
    }
  response = MHD_create_response_from_callback (
      PART_COUNT * *(const size_t *)arg, *(const size_t *)arg, send_part, arg,
      NULL);
  result = MHD_queue_response (connection, MHD_HTTP_OK, response);
  MHD_destroy_response (response);
  return result;
}

/* Returns whether a call succeeds whose response has PART_COUNT parts of
   PART_BYTES; the interval between two is shorter than the timeout, and all of
   them take longer. */
static bool
receives_parts (size_t part_bytes, size_t min_bytes_s)
{
  struct MHD_Daemon *server = MHD_start_daemon (
      MHD_USE_THREAD_PER_CONNECTION | MHD_USE_INTERNAL_POLLING_THREAD, 0, NULL,
      NULL, send_parts, &part_bytes, MHD_OPTION_END);
  struct kq_call_request request = { .kind = KQ_CALL_READ,
                                     .path = "/",
                                     .raw_response = true,
                                     .timeout = 3 * PART_INTERVAL_US,
                                     .min_bytes_s = min_bytes_s,
                                     .done = on_done };

  make_call (server, &request);
  MHD_stop_daemon (server);
  return succeeded == 1;
}

/* Large responses that were thrown away at a fixed limit although they made
   progress, while one that only trickles must end. */
static void
test_response_in_parts (void)
{
  CU_ASSERT (receives_parts (65536, 65536));
  CU_ASSERT_FALSE (receives_parts (100, 65536));
  CU_ASSERT_FALSE (receives_parts (65536, 0));
}

/* A worker with a limit of connections: it resets those above, or refuses them
   if it is to close its port.  A request for "/poll" is answered after half a
   second, all others at once. */
#define WORKER_CONNECTIONS 64
#define POLL_SEC 0.5

struct limited_worker
{
  ev_io listening;
  int port;
  bool closes_port;
  bool answers_no_order;
  int reset_order; /* number of the order for which it resets the connection
                      instead of an answer; 0: none */
  int order_count;
  int open_count;
  int peak;
  int reset_count;
  struct limited_connection
  {
    ev_io io;
    ev_timer poll_timer;
    struct limited_worker *worker;
  } connections[WORKER_CONNECTIONS];
};

static void
answer (struct limited_connection *connection)
{
  static const char response[]
      = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}";

  CU_ASSERT_EQUAL (write (connection->io.fd, response, strlen (response)),
                   (ssize_t)strlen (response));
}

static void
end_connection (struct ev_loop *current_loop,
                struct limited_connection *connection)
{
  ev_io_stop (current_loop, &connection->io);
  ev_timer_stop (current_loop, &connection->poll_timer);
  close (connection->io.fd);
  connection->worker->open_count--;
  connection->worker = NULL;
}

static void
reset_connection (struct ev_loop *current_loop,
                  struct limited_connection *connection)
{
  const struct linger reset = { .l_onoff = 1 };

  setsockopt (connection->io.fd, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
  end_connection (current_loop, connection);
}

static void
on_poll_end (struct ev_loop *current_loop, ev_timer *timer, int events)
{
  answer (timer->data);
}

static void
on_request (struct ev_loop *current_loop, ev_io *io, int events)
{
  struct limited_connection *connection = io->data;
  char request[2000];
  ssize_t size = read (io->fd, request, sizeof request - 1);

  if (size <= 0)
    {
      end_connection (current_loop, connection);
      return;
    }
  request[size] = '\0';
  if (strncmp (request, "GET /poll ", 10) != 0)
    {
      if (++connection->worker->order_count == connection->worker->reset_order)
        reset_connection (current_loop, connection);
      else if (!connection->worker->answers_no_order)
        answer (connection);
      return;
    }
  ev_timer_set (&connection->poll_timer, POLL_SEC, 0);
  ev_timer_start (current_loop, &connection->poll_timer);
}

static void on_connection (struct ev_loop *current_loop, ev_io *io,
                           int events);

static void
open_port (struct limited_worker *worker)
{
  struct sockaddr_in address
      = { .sin_family = AF_INET, .sin_port = htons ((uint16_t)worker->port) };
  socklen_t size = sizeof address;
  int fd = socket (AF_INET, SOCK_STREAM, 0);
  int enabled = 1;

  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof enabled);
  CU_ASSERT_EQUAL_FATAL (
      bind (fd, (struct sockaddr *)&address, sizeof address), 0);
  CU_ASSERT_EQUAL_FATAL (listen (fd, 128), 0);
  getsockname (fd, (struct sockaddr *)&address, &size);
  worker->port = ntohs (address.sin_port);
  ev_io_init (&worker->listening, on_connection, fd, EV_READ);
  worker->listening.data = worker;
  ev_io_start (loop, &worker->listening);
}

static void
close_port (struct limited_worker *worker)
{
  ev_io_stop (loop, &worker->listening);
  close (worker->listening.fd);
}

static void
on_connection (struct ev_loop *current_loop, ev_io *io, int events)
{
  struct limited_worker *worker = io->data;
  struct linger reset = { .l_onoff = 1 };
  struct limited_connection *connection = worker->connections;
  int fd = accept (io->fd, NULL, NULL);

  if (worker->open_count == WORKER_CONNECTIONS)
    {
      worker->reset_count++;
      setsockopt (fd, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
      close (fd);
      return;
    }
  while (connection->worker != NULL)
    connection++;
  connection->worker = worker;
  worker->open_count++;
  if (worker->open_count > worker->peak)
    worker->peak = worker->open_count;
  ev_io_init (&connection->io, on_request, fd, EV_READ);
  ev_init (&connection->poll_timer, on_poll_end);
  connection->io.data = connection;
  connection->poll_timer.data = connection;
  ev_io_start (current_loop, &connection->io);
  if (worker->closes_port && worker->open_count == WORKER_CONNECTIONS)
    close_port (worker);
}

static void
start_limited_worker (struct limited_worker *worker, bool closes_port)
{
  memset (worker, 0, sizeof *worker);
  worker->closes_port = closes_port;
  open_port (worker);
}

static void
stop_limited_worker (struct limited_worker *worker)
{
  for (int i = 0; i < WORKER_CONNECTIONS; i++)
    if (worker->connections[i].worker != NULL)
      {
        ev_io_stop (loop, &worker->connections[i].io);
        ev_timer_stop (loop, &worker->connections[i].poll_timer);
        close (worker->connections[i].io.fd);
      }
  if (ev_is_active (&worker->listening))
    close_port (worker);
}

static void
call_limited_worker (struct kq_http_client *http,
                     const struct limited_worker *worker,
                     enum kq_call_kind kind)
{
  char authority[40];
  struct kq_call_request request
      = { .kind = kind,
          .authority = authority,
          .path = kind == KQ_CALL_HOLD ? "/poll" : "/",
          .timeout = kind == KQ_CALL_HOLD ? 2 * KQ_USEC_PER_SEC
                                          : 700 * KQ_USEC_PER_MSEC,
          .at_most_once = kind == KQ_CALL_START,
          .done = on_done };

  snprintf (authority, sizeof authority, "127.0.0.1:%d", worker->port);
  if (kq_http_client_send (http, &request) == 0)
    in_flight++;
}

/* Opens connections that are never used, until the worker has COUNT. */
static void
occupy_connections (struct limited_worker *worker, int count, int *fds)
{
  struct sockaddr_in address
      = { .sin_family = AF_INET, .sin_port = htons ((uint16_t)worker->port) };

  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  for (int i = 0; i < count; i++)
    {
      fds[i] = socket (AF_INET, SOCK_STREAM, 0);
      CU_ASSERT_EQUAL_FATAL (
          connect (fds[i], (struct sockaddr *)&address, sizeof address), 0);
      run_loop_for (0.001);
    }
  CU_ASSERT_EQUAL (worker->open_count, count);
}

static void
release_connections (int count, const int *fds)
{
  for (int i = 0; i < count; i++)
    close (fds[i]);
}

/* Guards against an owner whose orders are reset by a worker because earlier
   owners, which lost power, have left many connections open there. */
static void
test_many_lost_owners (void)
{
  enum
  {
    OWNERS = 14,
    ORDERS = 20
  };
  static struct limited_worker worker;
  struct kq_http_client *owners[OWNERS];

  loop = ev_loop_new (EVFLAG_AUTO);
  start_limited_worker (&worker, false);
  in_flight = 0;
  succeeded = 0;
  for (int i = 0; i < OWNERS; i++)
    {
      owners[i] = kq_http_client_create (loop, NULL);
      CU_ASSERT_PTR_NOT_NULL_FATAL (owners[i]);
      call_limited_worker (owners[i], &worker, KQ_CALL_HOLD);
      call_limited_worker (owners[i], &worker, KQ_CALL_HOLD);
      for (int j = 0; j < ORDERS; j++)
        call_limited_worker (owners[i], &worker, KQ_CALL_START);
      wait_until_in_flight (0);
    }
  CU_ASSERT_EQUAL (succeeded, OWNERS * (ORDERS + 2));
  CU_ASSERT_EQUAL (worker.reset_count, 0);
  CU_ASSERT (worker.peak <= OWNERS * KQ_WORKER_CONNECTIONS);
  for (int i = 0; i < OWNERS; i++)
    kq_http_client_destroy (owners[i]);
  run_loop_for (0.05);
  CU_ASSERT_EQUAL (worker.open_count, 0);
  stop_limited_worker (&worker);
  ev_loop_destroy (loop);
}

/* Guards against orders that never arrive at a worker with one connection
   left, since polls hold it all the time. */
static void
test_shared_connection (void)
{
  static struct limited_worker worker;
  struct kq_http_client *http;
  int fds[WORKER_CONNECTIONS - 1];
  int answered = 0;

  loop = ev_loop_new (EVFLAG_AUTO);
  start_limited_worker (&worker, true);
  occupy_connections (&worker, WORKER_CONNECTIONS - 1, fds);
  http = kq_http_client_create (loop, NULL);
  CU_ASSERT_PTR_NOT_NULL_FATAL (http);
  in_flight = 0;
  succeeded = 0;
  for (int i = 0; i < 3; i++)
    {
      call_limited_worker (http, &worker, KQ_CALL_HOLD);
      run_loop_for (0.1);
      for (int j = 0; j < 5; j++)
        call_limited_worker (http, &worker, KQ_CALL_START);
      wait_until_in_flight (0);
      answered += 6;
    }
  CU_ASSERT_EQUAL (succeeded, answered);
  kq_http_client_destroy (http);
  release_connections (WORKER_CONNECTIONS - 1, fds);
  stop_limited_worker (&worker);
  ev_loop_destroy (loop);
}

/* Guards against a new connection for each repetition of an order or poll to a
   worker that resets them, and against not trying again. */
static void
test_refused_connections (void)
{
  static struct limited_worker worker;
  struct kq_http_client *http;
  int fds[WORKER_CONNECTIONS];

  loop = ev_loop_new (EVFLAG_AUTO);
  start_limited_worker (&worker, false);
  occupy_connections (&worker, WORKER_CONNECTIONS, fds);
  http = kq_http_client_create (loop, NULL);
  CU_ASSERT_PTR_NOT_NULL_FATAL (http);
  in_flight = 0;
  succeeded = 0;
  for (int i = 0; i < 100; i++)
    {
      call_limited_worker (http, &worker,
                           i % 5 == 0 ? KQ_CALL_HOLD : KQ_CALL_STOP);
      run_loop_for (0.02);
    }
  CU_ASSERT_EQUAL (succeeded, 0);
  CU_ASSERT (worker.reset_count >= 3);
  CU_ASSERT (worker.reset_count <= 12);
  release_connections (WORKER_CONNECTIONS, fds);
  run_loop_for (1.1);
  call_limited_worker (http, &worker, KQ_CALL_STOP);
  wait_until_in_flight (0);
  CU_ASSERT_EQUAL (succeeded, 1);
  kq_http_client_destroy (http);
  stop_limited_worker (&worker);
  ev_loop_destroy (loop);
}

/* Guards against orders without an answer that keep polls from being sent, so
   that the lease of a worker which answers polls lapses. */
static void
test_polls_beside_unanswered_orders (void)
{
  static struct limited_worker worker;
  struct kq_http_client *http;

  loop = ev_loop_new (EVFLAG_AUTO);
  start_limited_worker (&worker, false);
  worker.answers_no_order = true;
  http = kq_http_client_create (loop, NULL);
  CU_ASSERT_PTR_NOT_NULL_FATAL (http);
  in_flight = 0;
  succeeded = 0;
  for (int i = 0; i < 45; i++)
    {
      if (i == 0 || i == 15)
        call_limited_worker (http, &worker, KQ_CALL_HOLD);
      for (int j = 0; j < 4; j++)
        call_limited_worker (http, &worker, KQ_CALL_STOP);
      run_loop_for (0.1);
    }
  CU_ASSERT_EQUAL (succeeded, 2);
  kq_http_client_destroy (http);
  stop_limited_worker (&worker);
  ev_loop_destroy (loop);
}

/* Starts WORKER, and sends it two orders of KIND, of which it resets the
   connection of the second one. */
static struct kq_http_client *
send_orders_around_reset (struct limited_worker *worker,
                          enum kq_call_kind kind)
{
  struct kq_http_client *http;

  loop = ev_loop_new (EVFLAG_AUTO);
  start_limited_worker (worker, false);
  worker->reset_order = 2;
  http = kq_http_client_create (loop, NULL);
  CU_ASSERT_PTR_NOT_NULL_FATAL (http);
  in_flight = 0;
  succeeded = 0;
  for (int i = 0; i < 2; i++)
    {
      call_limited_worker (http, worker, kind);
      wait_until_in_flight (0);
    }
  return http;
}

/* Returns how many orders the worker reads then. */
static int
count_orders_around_reset (enum kq_call_kind kind)
{
  static struct limited_worker worker;
  struct kq_http_client *http = send_orders_around_reset (&worker, kind);

  kq_http_client_destroy (http);
  stop_limited_worker (&worker);
  ev_loop_destroy (loop);
  return worker.order_count;
}

/* Guards against a second copy of a start order, whose answer says nothing
   about the first one, after the connection was reset. */
static void
test_order_at_most_once (void)
{
  CU_ASSERT_EQUAL (count_orders_around_reset (KQ_CALL_START), 2);
  CU_ASSERT_EQUAL (succeeded, 1);
  CU_ASSERT_EQUAL (count_orders_around_reset (KQ_CALL_STOP), 3);
  CU_ASSERT_EQUAL (succeeded, 2);
}

/* Calls to a worker that failed at once after a start order whose connection
   was reset, since the copy that was not sent was taken for a refused
   connection. */
static void
test_poll_after_withheld_order (void)
{
  static struct limited_worker worker;
  struct kq_http_client *http
      = send_orders_around_reset (&worker, KQ_CALL_START);

  CU_ASSERT_EQUAL (succeeded, 1);
  call_limited_worker (http, &worker, KQ_CALL_HOLD);
  wait_until_in_flight (0);
  CU_ASSERT_EQUAL (succeeded, 2);
  kq_http_client_destroy (http);
  stop_limited_worker (&worker);
  ev_loop_destroy (loop);
}

static const struct kq_test tests[] = {
  { "many workers restart at once", test_many_restarts },
  { "a response that arrives during other work", test_response_during_work },
  { "a request that is sent after other work", test_request_after_work },
  { "a call without a response", test_call_without_response },
  { "a response in parts", test_response_in_parts },
  { "owners that were lost keep connections", test_many_lost_owners },
  { "a worker with one connection left", test_shared_connection },
  { "a worker that resets new connections", test_refused_connections },
  { "polls beside unanswered orders", test_polls_beside_unanswered_orders },
  { "an order at most once after a reset", test_order_at_most_once },
  { "a poll after a withheld order", test_poll_after_withheld_order },
};

KQ_TEST_MAIN ("test-call", tests)

/* Orders to workers over HTTP, with a server in the place of a worker. */
#include <arpa/inet.h>
#include <errno.h>
#include <ev.h>
#include <microhttpd.h>
#include <netinet/in.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "platform/orders.h"
#include "t/kqtest.h"

/* Connections that fill the queue of a silent port, with some to spare. */
#define QUEUED 6

static struct ev_loop *loop;
static const char *body; /* of the server's responses */

/* What the last result said of the worker's runs. */
static struct
{
  int results;
  enum kq_sched_reply reply;
  size_t running_count;
  size_t ended_count;
  int first_index;
  bool has_checkpoint;
  bool has_unread_rows;
} seen;

static enum MHD_Result
send_response (void *arg, struct MHD_Connection *connection, const char *url,
               const char *method, const char *version, const char *upload,
               size_t *upload_size, void **state)
{
  static int accepted;
  struct MHD_Response *response;
  enum MHD_Result result;

  if (*state == NULL)
    {
      *state = &accepted;
      return MHD_YES;
    }
  if (*upload_size > 0)
    {
      *upload_size = 0;
      return MHD_YES;
    }
  response = MHD_create_response_from_buffer (strlen (body), (void *)body,
                                              MHD_RESPMEM_PERSISTENT);
  result = MHD_queue_response (connection, MHD_HTTP_OK, response);
  MHD_destroy_response (response);
  return result;
}

static void
on_result (void *arg, const struct kq_order_result *result)
{
  const struct kq_sched_status *status = result->worker_status;

  seen.results++;
  seen.reply = result->reply;
  if (status == NULL || result->reply != KQ_SCHED_OK)
    return;
  seen.running_count = status->running_count;
  seen.ended_count = status->ended_count;
  seen.has_unread_rows = status->has_unread_rows;
  if (status->running_count == 0)
    return;
  seen.first_index = status->running[0].run.index;
  seen.has_checkpoint = status->running[0].checkpoint != NULL;
}

/* Polls the worker at PORT. */
static void
poll_port (int port)
{
  struct kq_http_client *http;
  struct kq_orders *orders;
  struct kq_order order
      = { .kind = KQ_ORDER_POLL, .worker = "w", .checkpoint = "" };
  char address[40];

  snprintf (address, sizeof address, "127.0.0.1:%d", port);
  order.address = address;
  memset (&seen, 0, sizeof seen);
  loop = ev_loop_new (EVFLAG_AUTO);
  http = kq_http_client_create (loop, NULL);
  orders = kq_orders_create (http, on_result, NULL);
  kq_orders_send (orders, &order);
  while (seen.results == 0)
    ev_run (loop, EVRUN_ONCE);
  kq_orders_destroy (orders);
  kq_http_client_destroy (http);
  ev_loop_destroy (loop);
}

/* Polls a server whose response is TEXT. */
static void
poll_worker (const char *text)
{
  struct MHD_Daemon *daemon
      = MHD_start_daemon (MHD_USE_EPOLL_INTERNAL_THREAD, 0, NULL, NULL,
                          send_response, NULL, MHD_OPTION_END);

  CU_ASSERT_PTR_NOT_NULL_FATAL (daemon);
  body = text;
  poll_port (MHD_get_daemon_info (daemon, MHD_DAEMON_INFO_BIND_PORT)->port);
  MHD_stop_daemon (daemon);
}

/* Opens a port at which nobody answers; sets *PORT. */
static int
open_silent_port (int *port)
{
  struct sockaddr_in address = { .sin_family = AF_INET };
  socklen_t size = sizeof address;
  int fd = socket (AF_INET, SOCK_STREAM, 0);

  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  CU_ASSERT_EQUAL_FATAL (bind (fd, (struct sockaddr *)&address, size), 0);
  CU_ASSERT_EQUAL_FATAL (listen (fd, QUEUED - 2), 0);
  CU_ASSERT_EQUAL_FATAL (getsockname (fd, (struct sockaddr *)&address, &size),
                         0);
  *port = ntohs (address.sin_port);
  return fd;
}

/* Guards against a zero byte in one string of a worker's reply: all its runs
   went out of sight for as long as it was there, and a name would count as the
   one that it begins with. */
static void
test_zero_bytes (void)
{
  poll_worker ("{\"clock_ms\":5,\"born\":9,\"running\":["
               "[\"00000000000000ff.0.1.17\",2,\"a\\u0000b\",41,300],"
               "[\"00000000000000ff.0.1.18\\u0000\",2,\"\",41,300]],"
               "\"ended\":[[58,\"00000000000000ff.0.1.9\",1,\"stopped\","
               "\"\\u0000\"]]}");
  CU_ASSERT_EQUAL (seen.reply, KQ_SCHED_OK);
  CU_ASSERT_EQUAL (seen.running_count, 1);
  CU_ASSERT_EQUAL (seen.first_index, 17);
  CU_ASSERT_FALSE (seen.has_checkpoint);
  CU_ASSERT_EQUAL (seen.ended_count, 1);
  CU_ASSERT_TRUE (seen.has_unread_rows);
}

/* Guards against a reply that is no JSON and counts as an empty list. */
static void
test_malformed_reply (void)
{
  poll_worker ("{\"clock_ms\":5,\"running\":[],\"ended\":[");
  CU_ASSERT_EQUAL (seen.reply, KQ_SCHED_NO_REPLY);
}

/* Guards against a worker that is gone and is taken for a silent one, and
   against a silent one that is taken for gone. */
static void
test_refused_connection (void)
{
  int port;
  int fd = open_silent_port (&port);

  poll_port (port);
  CU_ASSERT_EQUAL (seen.reply, KQ_SCHED_NO_REPLY);
  close (fd);
  poll_port (port);
  CU_ASSERT_EQUAL (seen.reply, KQ_SCHED_REFUSED);
}

/* Fills the queue of the silent port PORT, so that it takes no further
   connection; sets CLIENTS to the sockets that are in it. */
static void
fill_queue (int port, int clients[QUEUED])
{
  struct sockaddr_in address
      = { .sin_family = AF_INET, .sin_port = htons ((uint16_t)port) };

  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  for (int i = 0; i < QUEUED; i++)
    {
      clients[i] = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
      CU_ASSERT (
          connect (clients[i], (struct sockaddr *)&address, sizeof address)
              == 0
          || errno == EINPROGRESS);
    }
}

/* Guards against an order that is taken for under way although there was no
   connection to send it on. */
static void
test_no_connection (void)
{
  int clients[QUEUED];
  int port;
  int fd = open_silent_port (&port);

  fill_queue (port, clients);
  poll_port (port);
  CU_ASSERT_EQUAL (seen.reply, KQ_SCHED_NOT_SENT);
  for (int i = 0; i < QUEUED; i++)
    close (clients[i]);
  close (fd);
}

static const struct kq_test tests[] = {
  { "zero bytes in a worker's reply", test_zero_bytes },
  { "a malformed reply", test_malformed_reply },
  { "a refused connection", test_refused_connection },
  { "no connection", test_no_connection },
};

KQ_TEST_MAIN ("test-orders", tests)

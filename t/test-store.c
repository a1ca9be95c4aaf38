/* Calls of the store.  Guards against large appends that are sent whole again
   and again because they do not arrive within a fixed time over a slow link,
   and against records that are left out unnoticed as they cannot be decoded.
 */
#include <ev.h>
#include <netinet/in.h>
#include <pthread.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/err.h"
#include "platform/store.h"
#include "t/kqtest.h"

#define APPEND_BYTES ((size_t)1200 * 1000)
#define TIMEOUT_US (300 * KQ_USEC_PER_MSEC)

/* The server takes this much at a time, in 0.8 s all of it. */
#define PART_BYTES ((size_t)60 * 1000)
#define PART_INTERVAL_US 40000

struct server
{
  int fd;
  int port;
  bool answers;
  bool asked_for_first_page;
};

static struct kq_store_append_result appended;
static int ended;

static void
open_server (struct server *server)
{
  struct sockaddr_in address = { .sin_family = AF_INET };
  socklen_t size = sizeof address;
  int buffer = 32 * 1024;

  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  server->fd = socket (AF_INET, SOCK_STREAM, 0);
  setsockopt (server->fd, SOL_SOCKET, SO_RCVBUF, &buffer, sizeof buffer);
  CU_ASSERT_EQUAL_FATAL (
      bind (server->fd, (struct sockaddr *)&address, sizeof address), 0);
  CU_ASSERT_EQUAL_FATAL (listen (server->fd, 4), 0);
  getsockname (server->fd, (struct sockaddr *)&address, &size);
  server->port = ntohs (address.sin_port);
}

static void *
receive_slowly (void *arg)
{
  static const char response[]
      = "HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\n"
        "{\"offset\":4,\"end\":5}";
  struct server *server = arg;
  int fd = accept (server->fd, NULL, NULL);
  char *part = malloc (PART_BYTES);
  size_t received = 0;
  ssize_t size = 1;

  while (part != NULL && received < APPEND_BYTES && size > 0)
    {
      usleep (PART_INTERVAL_US);
      size = recv (fd, part, PART_BYTES, MSG_WAITALL);
      received += size > 0 ? (size_t)size : 0;
    }
  if (server->answers && received >= APPEND_BYTES)
    size = write (fd, response, strlen (response));
  while (part != NULL && size > 0)
    size = recv (fd, part, PART_BYTES, 0);
  free (part);
  close (fd);
  return NULL;
}

static void
on_appended (void *arg, const struct kq_store_append_result *result)
{
  appended = *result;
  ended++;
}

/* Makes a large append to a server with a slow link that answers or not;
   returns its error. */
static int
append (bool answers)
{
  struct ev_loop *loop = ev_loop_new (EVFLAG_AUTO);
  struct kq_http_client *http = kq_http_client_create (loop, NULL);
  struct server server = { .answers = answers };
  struct kq_store_condition condition
      = { .expected_end = -1, .epoch = -1, .sequence = -1 };
  struct kq_store_batch batch = { 0 };
  struct kq_store *store;
  uint8_t *value = calloc (1, APPEND_BYTES);
  char address[40];
  pthread_t thread;

  open_server (&server);
  snprintf (address, sizeof address, "127.0.0.1:%d", server.port);
  store = kq_store_create (http, address);
  CU_ASSERT_EQUAL_FATAL (
      pthread_create (&thread, NULL, receive_slowly, &server), 0);
  CU_ASSERT_EQUAL (kq_store_batch_add (&batch, "key", value, APPEND_BYTES), 0);
  ended = 0;
  kq_store_append (store, KQ_STORE_JOBS, &batch, &condition, TIMEOUT_US,
                   on_appended, NULL);
  while (ended == 0)
    ev_run (loop, EVRUN_ONCE);
  kq_store_batch_clear (&batch);
  kq_store_destroy (store);
  kq_http_client_destroy (http);
  pthread_join (thread, NULL);
  close (server.fd);
  free (value);
  ev_loop_destroy (loop);
  return appended.err;
}

static void
test_large_append (void)
{
  kq_usec began;

  CU_ASSERT_EQUAL (append (true), 0);
  CU_ASSERT_EQUAL (appended.offset, 4);
  began = kq_clock_now ();
  CU_ASSERT_EQUAL (append (false), KQ_ELOG_UNKNOWN);
  CU_ASSERT (kq_clock_now () - began < 3 * KQ_USEC_PER_SEC);
}

static void *
answer_page (void *arg)
{
  static const char response[]
      = "HTTP/1.1 200 OK\r\nContent-Length: 141\r\n\r\n"
        "{\"items\":[{\"key\":\"a\",\"value\":\"eA==\",\"offset\":1},"
        "{\"key\":\"b\",\"value\":\"?\",\"offset\":2},"
        "{\"key\":\"c\",\"value\":7,\"offset\":3}],"
        "\"has_more\":true,\"end\":4}";
  struct server *server = arg;
  int fd = accept (server->fd, NULL, NULL);
  char request[1024];
  ssize_t size = read (fd, request, sizeof request - 1);

  request[size > 0 ? size : 0] = '\0';
  server->asked_for_first_page = strstr (request, "&part=0 ") != NULL;
  if (size > 0 && write (fd, response, strlen (response)) > 0)
    while (read (fd, request, sizeof request) > 0)
      ;
  close (fd);
  return NULL;
}

static void
on_page (void *arg, const struct kq_store_read_result *result)
{
  CU_ASSERT_EQUAL (result->err, 0);
  CU_ASSERT_EQUAL (result->count, 3);
  CU_ASSERT_TRUE (result->more);
  for (size_t i = 0; i < result->count; i++)
    {
      CU_ASSERT_EQUAL (result->rows[i].key_size, 1);
      CU_ASSERT_EQUAL (result->rows[i].key[0], "abc"[i]);
      CU_ASSERT_EQUAL (result->rows[i].undecoded, i > 0);
      CU_ASSERT_EQUAL (result->rows[i].size, i == 0);
    }
  ended++;
}

/* Asks a server for the page after CURSOR.  Returns whether it was asked for
   the first one. */
static bool
read_page (const struct kq_store_cursor *cursor)
{
  struct ev_loop *loop = ev_loop_new (EVFLAG_AUTO);
  struct kq_http_client *http = kq_http_client_create (loop, NULL);
  struct server server = { .answers = true };
  struct kq_store *store;
  char address[40];
  pthread_t thread;

  open_server (&server);
  snprintf (address, sizeof address, "127.0.0.1:%d", server.port);
  store = kq_store_create (http, address);
  CU_ASSERT_EQUAL_FATAL (pthread_create (&thread, NULL, answer_page, &server),
                         0);
  ended = 0;
  kq_store_read_newest (store, KQ_STORE_JOBS, cursor, on_page, NULL);
  while (ended == 0)
    ev_run (loop, EVRUN_ONCE);
  kq_store_destroy (store);
  kq_http_client_destroy (http);
  pthread_join (thread, NULL);
  close (server.fd);
  ev_loop_destroy (loop);
  return server.asked_for_first_page;
}

static void
test_undecoded_records (void)
{
  struct kq_store_cursor first = { .is_set = false };

  CU_ASSERT_TRUE (read_page (&first));
}

/* Guards against a walk that begins again with the rest of its last cursor:
   the store refuses that path each time, and nothing is read any more. */
static void
test_walk_begins_again (void)
{
  struct kq_store_cursor cursor
      = { .is_set = true, .size = 4, .key = { 'l', 'a', 's', 't' } };

  CU_ASSERT_FALSE (read_page (&cursor));
  cursor.is_set = false;
  CU_ASSERT_TRUE (read_page (&cursor));
}

static const struct kq_test tests[] = {
  { "a large append over a slow link", test_large_append },
  { "records that cannot be decoded", test_undecoded_records },
  { "a walk that begins again", test_walk_begins_again },
};

KQ_TEST_MAIN ("test-store", tests)

#include "t/lib-endpoint.h"

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <pthread.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

#define MAX_CONNECTIONS 512
#define REQUEST_SIZE 65536

struct connection
{
  struct kq_test_endpoint *endpoint;
  pthread_t thread;
  atomic_int fd;
  atomic_bool unresponsive;
  int uses;
};

struct kq_test_endpoint
{
  int listener;
  int port;
  pthread_t thread;
  struct connection connections[MAX_CONNECTIONS];
  atomic_int connection_count;
  atomic_int run_count;
  atomic_int busy;
  atomic_int max_busy;
  atomic_bool unresponsive;
};

/* Reads one request into BUFFER; returns its length, 0 at the end. */
static size_t
read_request (int fd, char *buffer, const char **body)
{
  size_t length = 0;
  size_t expected_length = 0;

  while (expected_length == 0 || length < expected_length)
    {
      ssize_t n = recv (fd, buffer + length, REQUEST_SIZE - 1 - length, 0);
      char *end;
      char *length_header;

      if (n <= 0)
        return 0;
      length += (size_t)n;
      buffer[length] = '\0';
      end = strstr (buffer, "\r\n\r\n");
      if (end == NULL || expected_length != 0)
        continue;
      length_header = strcasestr (buffer, "\r\nContent-Length:");
      expected_length = (size_t)(end + 4 - buffer);
      if (length_header != NULL && length_header < end)
        expected_length += (size_t)atol (length_header + 17);
      *body = end + 4;
    }
  return length;
}

static void
send_bytes (int fd, const char *text, size_t length)
{
  if (send (fd, text, length, MSG_NOSIGNAL) < 0)
    return;
}

static void
send_response (int fd, const char *status_line, int content_length,
               const char *body, size_t length)
{
  char head[256];
  int n = snprintf (head, sizeof head,
                    "HTTP/1.1 %s\r\nContent-Length: %d\r\n\r\n", status_line,
                    content_length);

  send_bytes (fd, head, (size_t)n);
  send_bytes (fd, body, length);
}

/* Sends 2 MiB. */
static void
send_large_response (int fd)
{
  static char block[65536];

  send_response (fd, "200 OK", 32 * (int)sizeof block, block, sizeof block);
  for (int i = 1; i < 32; i++)
    send_bytes (fd, block, sizeof block);
}

static void
set_reset_on_close (int fd)
{
  struct linger linger = { .l_onoff = 1, .l_linger = 0 };

  setsockopt (fd, SOL_SOCKET, SO_LINGER, &linger, sizeof linger);
}

/* Performs what PATH selects.  Returns whether the connection stays open. */
static bool
handle_request (int fd, const char *path, const char *body, size_t body_length)
{
  if (strncmp (path, "/slow/", 6) == 0)
    usleep ((unsigned)atoi (path + 6) * 1000);
  else if (strncmp (path, "/cut", 4) == 0)
    send_response (fd, "200 OK", 100, "part", 4);
  else if (strncmp (path, "/full", 5) == 0)
    send_response (fd, "503 Full\r\nKumquatrack-Outcome: not-run", 0, "", 0);
  else if (strncmp (path, "/open", 5) == 0)
    send_bytes (fd, "HTTP/1.1 200 OK\r\n\r\nopen", 23);
  else if (strncmp (path, "/large", 6) == 0)
    send_large_response (fd);
  else if (strncmp (path, "/echo", 5) == 0)
    send_response (fd, "200 OK", (int)body_length, body, body_length);
  if (strncmp (path, "/cut", 4) == 0 || strncmp (path, "/large", 6) == 0
      || strncmp (path, "/close", 6) == 0 || strncmp (path, "/open", 5) == 0)
    return false;
  if (strncmp (path, "/echo", 5) != 0 && strncmp (path, "/full", 5) != 0)
    send_response (fd, "200 OK\r\nX-Test: yes", (int)strcspn (path, " "), path,
                   strcspn (path, " "));
  return true;
}

static void
count_busy (struct kq_test_endpoint *endpoint)
{
  int busy = ++endpoint->busy;
  int max_busy = endpoint->max_busy;

  while (
      busy > max_busy
      && !atomic_compare_exchange_weak (&endpoint->max_busy, &max_busy, busy))
    continue;
}

/* Returns whether the next request has the method "DIE". */
static bool
must_reset (int fd)
{
  char first[5] = "";

  return recv (fd, first, 4, MSG_PEEK | MSG_WAITALL) == 4
         && strcmp (first, "DIE ") == 0;
}

static void
serve_connection (struct connection *connection, char *buffer)
{
  struct kq_test_endpoint *endpoint = connection->endpoint;
  const char *body = "";
  size_t length;

  while (!must_reset (connection->fd)
         && (length = read_request (connection->fd, buffer, &body)) > 0)
    {
      const char *path = strchr (buffer, ' ');
      bool keep_open;

      if (path == NULL)
        return;
      if (connection->unresponsive || strncmp (path + 1, "/silent", 7) == 0)
        {
          while (recv (connection->fd, buffer, REQUEST_SIZE, 0) > 0)
            continue;
          return;
        }
      endpoint->run_count++;
      count_busy (endpoint);
      keep_open = handle_request (connection->fd, path + 1, body,
                                  (size_t)(buffer + length - body));
      endpoint->busy--;
      if (!keep_open)
        return;
    }
  set_reset_on_close (connection->fd);
}

static void *
run_connection (void *argument)
{
  struct connection *connection = argument;
  char *buffer = malloc (REQUEST_SIZE);

  if (buffer != NULL)
    serve_connection (connection, buffer);
  free (buffer);
  shutdown (connection->fd, SHUT_RDWR);
  close (connection->fd);
  connection->fd = -1;
  return NULL;
}

static void *
run_listener (void *argument)
{
  struct kq_test_endpoint *endpoint = argument;
  int one = 1;
  int fd;

  while (endpoint->connection_count < MAX_CONNECTIONS
         && (fd = accept (endpoint->listener, NULL, NULL)) >= 0)
    {
      struct connection *connection
          = &endpoint->connections[endpoint->connection_count];

      setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
      connection->endpoint = endpoint;
      connection->fd = fd;
      connection->unresponsive = endpoint->unresponsive;
      pthread_create (&connection->thread, NULL, run_connection, connection);
      endpoint->connection_count++;
    }
  return NULL;
}

struct kq_test_endpoint *
kq_test_endpoint_start (void)
{
  struct kq_test_endpoint *endpoint = calloc (1, sizeof *endpoint);
  struct sockaddr_in address = { .sin_family = AF_INET };
  socklen_t size = sizeof address;

  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  endpoint->listener = socket (AF_INET, SOCK_STREAM, 0);
  if (bind (endpoint->listener, (struct sockaddr *)&address, size) != 0
      || listen (endpoint->listener, 128) != 0
      || getsockname (endpoint->listener, (struct sockaddr *)&address, &size)
             != 0)
    {
      close (endpoint->listener);
      free (endpoint);
      return NULL;
    }
  endpoint->port = ntohs (address.sin_port);
  pthread_create (&endpoint->thread, NULL, run_listener, endpoint);
  return endpoint;
}

int
kq_test_endpoint_port (struct kq_test_endpoint *endpoint)
{
  return endpoint->port;
}

void
kq_test_endpoint_stop (struct kq_test_endpoint *endpoint)
{
  shutdown (endpoint->listener, SHUT_RDWR);
  pthread_join (endpoint->thread, NULL);
  close (endpoint->listener);
  for (int i = 0; i < endpoint->connection_count; i++)
    {
      int fd = endpoint->connections[i].fd;

      if (fd >= 0)
        shutdown (fd, SHUT_RDWR);
      pthread_join (endpoint->connections[i].thread, NULL);
    }
  free (endpoint);
}

int
kq_test_endpoint_run_count (struct kq_test_endpoint *endpoint)
{
  return endpoint->run_count;
}

int
kq_test_endpoint_max_concurrent (struct kq_test_endpoint *endpoint)
{
  return endpoint->max_busy;
}

void
kq_test_endpoint_make_unresponsive (struct kq_test_endpoint *endpoint, int all)
{
  for (int i = 0; i < endpoint->connection_count; i++)
    endpoint->connections[i].unresponsive = true;
  endpoint->unresponsive = all != 0;
}

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

#define MAX_LINKS 512
#define REQUEST_SIZE 65536

struct link
{
  struct kq_test_endpoint *endpoint;
  pthread_t thread;
  atomic_int fd;
  atomic_bool silent;
  int uses;
};

struct kq_test_endpoint
{
  int listener;
  int port;
  pthread_t thread;
  struct link links[MAX_LINKS];
  atomic_int link_count;
  atomic_int runs;
  atomic_int busy;
  atomic_int peak;
  atomic_bool silent;
};

/* Reads one request into BUFFER; returns its length, 0 at the end. */
static size_t
read_request (int fd, char *buffer, const char **body)
{
  size_t length = 0;
  size_t wanted = 0;

  while (wanted == 0 || length < wanted)
    {
      ssize_t n = recv (fd, buffer + length, REQUEST_SIZE - 1 - length, 0);
      char *end;
      char *stated;

      if (n <= 0)
        return 0;
      length += (size_t)n;
      buffer[length] = '\0';
      end = strstr (buffer, "\r\n\r\n");
      if (end == NULL || wanted != 0)
        continue;
      stated = strcasestr (buffer, "\r\nContent-Length:");
      wanted = (size_t)(end + 4 - buffer);
      if (stated != NULL && stated < end)
        wanted += (size_t)atol (stated + 17);
      *body = end + 4;
    }
  return length;
}

static void
put (int fd, const char *text, size_t length)
{
  if (send (fd, text, length, MSG_NOSIGNAL) < 0)
    return;
}

static void
answer (int fd, const char *extra, int stated, const char *body, size_t length)
{
  char head[256];
  int n
      = snprintf (head, sizeof head,
                  "HTTP/1.1 %s\r\nContent-Length: %d\r\n\r\n", extra, stated);

  put (fd, head, (size_t)n);
  put (fd, body, length);
}

/* Two megabytes. */
static void
answer_large (int fd)
{
  static char block[65536];

  answer (fd, "200 OK", 32 * (int)sizeof block, block, sizeof block);
  for (int i = 1; i < 32; i++)
    put (fd, block, sizeof block);
}

static void
reset (int fd)
{
  struct linger linger = { .l_onoff = 1, .l_linger = 0 };

  setsockopt (fd, SOL_SOCKET, SO_LINGER, &linger, sizeof linger);
}

/* Returns whether the connection stays open. */
static bool
act (int fd, const char *path, const char *body, size_t body_length)
{
  if (strncmp (path, "/slow/", 6) == 0)
    usleep ((unsigned)atoi (path + 6) * 1000);
  else if (strncmp (path, "/cut", 4) == 0)
    answer (fd, "200 OK", 100, "part", 4);
  else if (strncmp (path, "/full", 5) == 0)
    answer (fd, "503 Full\r\nKumquatrack-Outcome: not-run", 0, "", 0);
  else if (strncmp (path, "/open", 5) == 0)
    put (fd, "HTTP/1.1 200 OK\r\n\r\nopen", 23);
  else if (strncmp (path, "/large", 6) == 0)
    answer_large (fd);
  else if (strncmp (path, "/echo", 5) == 0)
    answer (fd, "200 OK", (int)body_length, body, body_length);
  if (strncmp (path, "/cut", 4) == 0 || strncmp (path, "/large", 6) == 0
      || strncmp (path, "/close", 6) == 0 || strncmp (path, "/open", 5) == 0)
    return false;
  if (strncmp (path, "/echo", 5) != 0 && strncmp (path, "/full", 5) != 0)
    answer (fd, "200 OK\r\nX-Test: yes", (int)strcspn (path, " "), path,
            strcspn (path, " "));
  return true;
}

static void
count_busy (struct kq_test_endpoint *endpoint)
{
  int busy = ++endpoint->busy;
  int peak = endpoint->peak;

  while (busy > peak
         && !atomic_compare_exchange_weak (&endpoint->peak, &peak, busy))
    continue;
}

/* Requests with the method "DIE" are never read. */
static bool
must_die (int fd)
{
  char first[5] = "";

  return recv (fd, first, 4, MSG_PEEK | MSG_WAITALL) == 4
         && strcmp (first, "DIE ") == 0;
}

static void
serve_link (struct link *link, char *buffer)
{
  struct kq_test_endpoint *endpoint = link->endpoint;
  const char *body = "";
  size_t length;

  while (!must_die (link->fd)
         && (length = read_request (link->fd, buffer, &body)) > 0)
    {
      const char *path = strchr (buffer, ' ');
      bool stay;

      if (path == NULL)
        return;
      if (link->silent || strncmp (path + 1, "/silent", 7) == 0)
        {
          while (recv (link->fd, buffer, REQUEST_SIZE, 0) > 0)
            continue;
          return;
        }
      endpoint->runs++;
      count_busy (endpoint);
      stay = act (link->fd, path + 1, body, (size_t)(buffer + length - body));
      endpoint->busy--;
      if (!stay)
        return;
    }
  reset (link->fd);
}

static void *
run_link (void *argument)
{
  struct link *link = argument;
  char *buffer = malloc (REQUEST_SIZE);

  if (buffer != NULL)
    serve_link (link, buffer);
  free (buffer);
  shutdown (link->fd, SHUT_RDWR);
  close (link->fd);
  link->fd = -1;
  return NULL;
}

static void *
run_listener (void *argument)
{
  struct kq_test_endpoint *endpoint = argument;
  int one = 1;
  int fd;

  while (endpoint->link_count < MAX_LINKS
         && (fd = accept (endpoint->listener, NULL, NULL)) >= 0)
    {
      struct link *link = &endpoint->links[endpoint->link_count];

      setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
      link->endpoint = endpoint;
      link->fd = fd;
      link->silent = endpoint->silent;
      pthread_create (&link->thread, NULL, run_link, link);
      endpoint->link_count++;
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
  for (int i = 0; i < endpoint->link_count; i++)
    {
      int fd = endpoint->links[i].fd;

      if (fd >= 0)
        shutdown (fd, SHUT_RDWR);
      pthread_join (endpoint->links[i].thread, NULL);
    }
  free (endpoint);
}

int
kq_test_endpoint_runs (struct kq_test_endpoint *endpoint)
{
  return endpoint->runs;
}

int
kq_test_endpoint_peak (struct kq_test_endpoint *endpoint)
{
  return endpoint->peak;
}

void
kq_test_endpoint_silence (struct kq_test_endpoint *endpoint, int all)
{
  for (int i = 0; i < endpoint->link_count; i++)
    endpoint->links[i].silent = true;
  endpoint->silent = all != 0;
}

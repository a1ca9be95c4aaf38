#include "t/lib-fast.h"

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdbool.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#define MAX_CONNECTIONS 1024
#define MAX_EVENTS 128
#define BUFFER_BYTES 1024
#define NS_PER_SEC INT64_C (1000000000)
#define NS_PER_USEC INT64_C (1000)

static const char request[] = "GET /price HTTP/1.1\r\nHost: bench\r\n"
                              "Kumquatrack-Service: price\r\n"
                              "Accept: application/json\r\n\r\n";
static const char response[]
    = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
      "Content-Length: 27\r\n\r\n{\"pattern\":12,\"price\":4500}";

/* A connection of the endpoint or of the caller. */
struct connection
{
  int fd;
  char data[BUFFER_BYTES];
  size_t size;
  int64_t time_ns; /* caller: when the request was sent; endpoint: when the
                      response is due */
};

struct kq_fast_endpoint
{
  pthread_t thread;
  int listener;
  int port;
  int epoll;
  atomic_long service_ns;
  atomic_bool stopping;
  struct connection connections[MAX_CONNECTIONS];
  int accepted_count;
  struct connection *due[MAX_CONNECTIONS]; /* ring buffer, ordered by time */
  unsigned first;
  unsigned count;
  uint32_t random_state;
};

static int64_t
now_ns (void)
{
  struct timespec ts;

  clock_gettime (CLOCK_MONOTONIC, &ts);
  return ts.tv_sec * NS_PER_SEC + ts.tv_nsec;
}

static void
set_no_delay (int fd)
{
  int one = 1;

  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
}

static void
add_to_epoll (int epoll, int fd, void *data)
{
  struct epoll_event event = { .events = EPOLLIN, .data.ptr = data };

  epoll_ctl (epoll, EPOLL_CTL_ADD, fd, &event);
}

static void
accept_connection (struct kq_fast_endpoint *endpoint)
{
  int fd = accept (endpoint->listener, NULL, NULL);
  struct connection *connection
      = &endpoint->connections[endpoint->accepted_count];

  if (fd < 0 || endpoint->accepted_count == MAX_CONNECTIONS)
    return;
  endpoint->accepted_count++;
  set_no_delay (fd);
  connection->fd = fd;
  connection->size = 0;
  add_to_epoll (endpoint->epoll, fd, connection);
}

/* Returns a random time between 0.5 and 1.5 times the service time, so that
   callers don't become synchronised.  */
static int64_t
random_service_ns (struct kq_fast_endpoint *endpoint)
{
  int64_t mean = endpoint->service_ns;

  endpoint->random_state = endpoint->random_state * 1664525U + 1013904223U;
  return mean / 2 + mean * (endpoint->random_state >> 16) / 65536;
}

static void
enqueue_response (struct kq_fast_endpoint *endpoint,
                  struct connection *connection)
{
  unsigned index = endpoint->first + endpoint->count++;

  while (index != endpoint->first
         && endpoint->due[(index - 1) % MAX_CONNECTIONS]->time_ns
                > connection->time_ns)
    {
      endpoint->due[index % MAX_CONNECTIONS]
          = endpoint->due[(index - 1) % MAX_CONNECTIONS];
      index--;
    }
  endpoint->due[index % MAX_CONNECTIONS] = connection;
}

static void
read_request (struct kq_fast_endpoint *endpoint, struct connection *connection)
{
  ssize_t received_bytes
      = recv (connection->fd, connection->data + connection->size,
              BUFFER_BYTES - connection->size, 0);

  if (received_bytes <= 0)
    {
      epoll_ctl (endpoint->epoll, EPOLL_CTL_DEL, connection->fd, NULL);
      return;
    }
  connection->size += (size_t)received_bytes;
  if (connection->size < 4
      || memcmp (connection->data + connection->size - 4, "\r\n\r\n", 4) != 0)
    return;
  connection->size = 0;
  connection->time_ns = now_ns () + random_service_ns (endpoint);
  enqueue_response (endpoint, connection);
}

/* Sends all responses that are due and returns the time in ns until the next
   one, or -1 when there is none.  */
static int64_t
send_due_responses (struct kq_fast_endpoint *endpoint)
{
  while (endpoint->count > 0)
    {
      struct connection *connection
          = endpoint->due[endpoint->first % MAX_CONNECTIONS];
      int64_t wait_ns = connection->time_ns - now_ns ();

      if (wait_ns > 0)
        return wait_ns;
      endpoint->first++;
      endpoint->count--;
      if (send (connection->fd, response, sizeof response - 1, MSG_NOSIGNAL)
          < 0)
        continue;
    }
  return -1;
}

static void *
run_endpoint (void *argument)
{
  struct kq_fast_endpoint *endpoint = argument;
  struct epoll_event events[MAX_EVENTS];

  prctl (PR_SET_TIMERSLACK, 1UL);
  while (!endpoint->stopping)
    {
      int64_t wait_ns = send_due_responses (endpoint);
      struct timespec wait
          = { .tv_nsec = wait_ns >= 0 ? wait_ns : NS_PER_SEC / 20 };
      int n = epoll_pwait2 (endpoint->epoll, events, MAX_EVENTS, &wait, NULL);

      for (int i = 0; i < n; i++)
        if (events[i].data.ptr == NULL)
          accept_connection (endpoint);
        else
          read_request (endpoint, events[i].data.ptr);
    }
  return NULL;
}

struct kq_fast_endpoint *
kq_fast_endpoint_start (kq_usec service_time)
{
  struct kq_fast_endpoint *endpoint = calloc (1, sizeof *endpoint);
  struct sockaddr_in address = { .sin_family = AF_INET };
  socklen_t size = sizeof address;

  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  endpoint->listener = socket (AF_INET, SOCK_STREAM, 0);
  if (bind (endpoint->listener, (struct sockaddr *)&address, size) != 0
      || listen (endpoint->listener, MAX_CONNECTIONS) != 0
      || getsockname (endpoint->listener, (struct sockaddr *)&address, &size)
             != 0)
    abort ();
  endpoint->port = ntohs (address.sin_port);
  endpoint->epoll = epoll_create1 (0);
  kq_fast_endpoint_set_service_time (endpoint, service_time);
  add_to_epoll (endpoint->epoll, endpoint->listener, NULL);
  pthread_create (&endpoint->thread, NULL, run_endpoint, endpoint);
  return endpoint;
}

int
kq_fast_endpoint_port (const struct kq_fast_endpoint *endpoint)
{
  return endpoint->port;
}

void
kq_fast_endpoint_set_service_time (struct kq_fast_endpoint *endpoint,
                                   kq_usec service_time)
{
  endpoint->service_ns = service_time * NS_PER_USEC;
}

void
kq_fast_endpoint_stop (struct kq_fast_endpoint *endpoint)
{
  endpoint->stopping = true;
  pthread_join (endpoint->thread, NULL);
  for (int i = 0; i < endpoint->accepted_count; i++)
    close (endpoint->connections[i].fd);
  close (endpoint->listener);
  close (endpoint->epoll);
  free (endpoint);
}

static void
open_connection (int epoll, int port, struct connection *connection)
{
  struct sockaddr_in address = { .sin_family = AF_INET };

  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  address.sin_port = htons ((uint16_t)port);
  connection->fd = socket (AF_INET, SOCK_STREAM, 0);
  if (connect (connection->fd, (struct sockaddr *)&address, sizeof address)
      == 0)
    set_no_delay (connection->fd);
  add_to_epoll (epoll, connection->fd, connection);
}

static void
send_request (struct connection *connection)
{
  connection->size = 0;
  connection->time_ns = now_ns ();
  if (send (connection->fd, request, sizeof request - 1, MSG_NOSIGNAL) < 0)
    return;
}

static void
add_latency (struct kq_fast_result *result, int64_t ns)
{
  if (result->count == result->capacity)
    {
      result->capacity = result->capacity > 0 ? result->capacity * 2 : 65536;
      result->latency = realloc (result->latency,
                                 result->capacity * sizeof *result->latency);
    }
  result->latency[result->count++] = (uint32_t)ns;
}

/* Returns whether CONNECTION has received a complete response. */
static bool
is_complete (struct connection *connection)
{
  char *end;
  char *content_length;

  connection->data[connection->size] = '\0';
  end = strstr (connection->data, "\r\n\r\n");
  if (end == NULL)
    return false;
  content_length = strcasestr (connection->data, "\r\nContent-Length:");
  return content_length != NULL
         && connection->size >= (size_t)(end + 4 - connection->data)
                                    + (size_t)atol (content_length + 17);
}

static void
read_response (int epoll, struct connection *connection,
               struct kq_fast_result *result)
{
  ssize_t received_bytes
      = recv (connection->fd, connection->data + connection->size,
              BUFFER_BYTES - 1 - connection->size, 0);

  if (received_bytes <= 0)
    {
      result->failed++;
      epoll_ctl (epoll, EPOLL_CTL_DEL, connection->fd, NULL);
      return;
    }
  connection->size += (size_t)received_bytes;
  if (!is_complete (connection))
    return;
  if (memcmp (connection->data + 9, "200", 3) == 0)
    add_latency (result, now_ns () - connection->time_ns);
  else
    result->failed++;
  send_request (connection);
}

void
kq_fast_run_callers (int port, int connection_count, kq_usec duration,
                     struct kq_fast_result *result)
{
  struct connection *connections
      = calloc ((size_t)connection_count, sizeof *connections);
  struct epoll_event events[MAX_EVENTS];
  int epoll = epoll_create1 (0);
  kq_usec start = kq_clock_now ();

  for (int i = 0; i < connection_count; i++)
    {
      open_connection (epoll, port, &connections[i]);
      send_request (&connections[i]);
    }
  while (kq_clock_now () < start + duration)
    {
      int n = epoll_wait (epoll, events, MAX_EVENTS, 50);

      for (int i = 0; i < n; i++)
        read_response (epoll, events[i].data.ptr, result);
    }
  result->elapsed += kq_clock_now () - start;
  for (int i = 0; i < connection_count; i++)
    close (connections[i].fd);
  close (epoll);
  free (connections);
}

static int
compare_latencies (const void *a, const void *b)
{
  uint32_t x = *(const uint32_t *)a;
  uint32_t y = *(const uint32_t *)b;

  return (x > y) - (x < y);
}

double
kq_fast_latency_ms (struct kq_fast_result *result, int permille)
{
  size_t index;

  if (result->count == 0)
    return 0;
  qsort (result->latency, result->count, sizeof *result->latency,
         compare_latencies);
  index = (result->count - 1) * (size_t)permille / 1000;
  return (double)result->latency[index] / 1e6;
}

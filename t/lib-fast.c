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

#define MAX_LINKS 1024
#define MAX_EVENTS 128
#define BUFFER 1024
#define NS_PER_SEC INT64_C (1000000000)
#define NS_PER_USEC INT64_C (1000)

static const char request[] = "GET /price HTTP/1.1\r\nHost: bench\r\n"
                              "Kumquatrack-Service: price\r\n"
                              "Accept: application/json\r\n\r\n";
static const char answer[]
    = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
      "Content-Length: 27\r\n\r\n{\"pattern\":12,\"price\":4500}";

/* A connection of either side. */
struct link
{
  int fd;
  char data[BUFFER];
  size_t size;
  int64_t at; /* caller: sent at; endpoint: answer is due at */
};

struct kq_fast_endpoint
{
  pthread_t thread;
  int listener;
  int port;
  int epoll;
  atomic_long service_ns;
  atomic_bool stopping;
  struct link links[MAX_LINKS];
  int link_count;
  struct link *due[MAX_LINKS]; /* in order of time, a ring */
  unsigned first;
  unsigned count;
  uint32_t random;
};

static int64_t
now_ns (void)
{
  struct timespec ts;

  clock_gettime (CLOCK_MONOTONIC, &ts);
  return ts.tv_sec * NS_PER_SEC + ts.tv_nsec;
}

static void
no_delay (int fd)
{
  int one = 1;

  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
}

static void
watch (int epoll, int fd, void *data)
{
  struct epoll_event event = { .events = EPOLLIN, .data.ptr = data };

  epoll_ctl (epoll, EPOLL_CTL_ADD, fd, &event);
}

static void
accept_link (struct kq_fast_endpoint *endpoint)
{
  int fd = accept (endpoint->listener, NULL, NULL);
  struct link *link = &endpoint->links[endpoint->link_count];

  if (fd < 0 || endpoint->link_count == MAX_LINKS)
    return;
  endpoint->link_count++;
  no_delay (fd);
  link->fd = fd;
  link->size = 0;
  watch (endpoint->epoll, fd, link);
}

/* Half to one and a half of the service time, so that callers don't fall
   into step.  */
static int64_t
any_service_ns (struct kq_fast_endpoint *endpoint)
{
  int64_t mean = endpoint->service_ns;

  endpoint->random = endpoint->random * 1664525U + 1013904223U;
  return mean / 2 + mean * (endpoint->random >> 16) / 65536;
}

static void
add_due (struct kq_fast_endpoint *endpoint, struct link *link)
{
  unsigned at = endpoint->first + endpoint->count++;

  while (at != endpoint->first
         && endpoint->due[(at - 1) % MAX_LINKS]->at > link->at)
    {
      endpoint->due[at % MAX_LINKS] = endpoint->due[(at - 1) % MAX_LINKS];
      at--;
    }
  endpoint->due[at % MAX_LINKS] = link;
}

static void
read_link (struct kq_fast_endpoint *endpoint, struct link *link)
{
  ssize_t got
      = recv (link->fd, link->data + link->size, BUFFER - link->size, 0);

  if (got <= 0)
    {
      epoll_ctl (endpoint->epoll, EPOLL_CTL_DEL, link->fd, NULL);
      return;
    }
  link->size += (size_t)got;
  if (link->size < 4
      || memcmp (link->data + link->size - 4, "\r\n\r\n", 4) != 0)
    return;
  link->size = 0;
  link->at = now_ns () + any_service_ns (endpoint);
  add_due (endpoint, link);
}

/* Answers what is due and returns the time until the next, or -1. */
static int64_t
answer_due (struct kq_fast_endpoint *endpoint)
{
  while (endpoint->count > 0)
    {
      struct link *link = endpoint->due[endpoint->first % MAX_LINKS];
      int64_t left = link->at - now_ns ();

      if (left > 0)
        return left;
      endpoint->first++;
      endpoint->count--;
      if (send (link->fd, answer, sizeof answer - 1, MSG_NOSIGNAL) < 0)
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
      int64_t left = answer_due (endpoint);
      struct timespec wait = { .tv_nsec = left >= 0 ? left : NS_PER_SEC / 20 };
      int n = epoll_pwait2 (endpoint->epoll, events, MAX_EVENTS, &wait, NULL);

      for (int i = 0; i < n; i++)
        if (events[i].data.ptr == NULL)
          accept_link (endpoint);
        else
          read_link (endpoint, events[i].data.ptr);
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
      || listen (endpoint->listener, MAX_LINKS) != 0
      || getsockname (endpoint->listener, (struct sockaddr *)&address, &size)
             != 0)
    abort ();
  endpoint->port = ntohs (address.sin_port);
  endpoint->epoll = epoll_create1 (0);
  kq_fast_endpoint_set (endpoint, service_time);
  watch (endpoint->epoll, endpoint->listener, NULL);
  pthread_create (&endpoint->thread, NULL, run_endpoint, endpoint);
  return endpoint;
}

int
kq_fast_endpoint_port (const struct kq_fast_endpoint *endpoint)
{
  return endpoint->port;
}

void
kq_fast_endpoint_set (struct kq_fast_endpoint *endpoint, kq_usec service_time)
{
  endpoint->service_ns = service_time * NS_PER_USEC;
}

void
kq_fast_endpoint_stop (struct kq_fast_endpoint *endpoint)
{
  endpoint->stopping = true;
  pthread_join (endpoint->thread, NULL);
  for (int i = 0; i < endpoint->link_count; i++)
    close (endpoint->links[i].fd);
  close (endpoint->listener);
  close (endpoint->epoll);
  free (endpoint);
}

static void
open_link (int epoll, int port, struct link *link)
{
  struct sockaddr_in address = { .sin_family = AF_INET };

  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  address.sin_port = htons ((uint16_t)port);
  link->fd = socket (AF_INET, SOCK_STREAM, 0);
  if (connect (link->fd, (struct sockaddr *)&address, sizeof address) == 0)
    no_delay (link->fd);
  watch (epoll, link->fd, link);
}

static void
send_request (struct link *link)
{
  link->size = 0;
  link->at = now_ns ();
  if (send (link->fd, request, sizeof request - 1, MSG_NOSIGNAL) < 0)
    return;
}

static void
add_latency (struct kq_fast_result *result, int64_t ns)
{
  if (result->count == result->room)
    {
      result->room = result->room > 0 ? result->room * 2 : 65536;
      result->latency
          = realloc (result->latency, result->room * sizeof *result->latency);
    }
  result->latency[result->count++] = (uint32_t)ns;
}

/* Returns whether the answer in LINK is whole. */
static bool
whole (struct link *link)
{
  char *end;
  char *stated;

  link->data[link->size] = '\0';
  end = strstr (link->data, "\r\n\r\n");
  if (end == NULL)
    return false;
  stated = strcasestr (link->data, "\r\nContent-Length:");
  return stated != NULL
         && link->size
                >= (size_t)(end + 4 - link->data) + (size_t)atol (stated + 17);
}

static void
read_answer (int epoll, struct link *link, struct kq_fast_result *result)
{
  ssize_t got
      = recv (link->fd, link->data + link->size, BUFFER - 1 - link->size, 0);

  if (got <= 0)
    {
      result->failed++;
      epoll_ctl (epoll, EPOLL_CTL_DEL, link->fd, NULL);
      return;
    }
  link->size += (size_t)got;
  if (!whole (link))
    return;
  if (memcmp (link->data + 9, "200", 3) == 0)
    add_latency (result, now_ns () - link->at);
  else
    result->failed++;
  send_request (link);
}

void
kq_fast_call (int port, int connections, kq_usec length,
              struct kq_fast_result *result)
{
  struct link *links = calloc ((size_t)connections, sizeof *links);
  struct epoll_event events[MAX_EVENTS];
  int epoll = epoll_create1 (0);
  kq_usec start = kq_clock_now ();

  for (int i = 0; i < connections; i++)
    {
      open_link (epoll, port, &links[i]);
      send_request (&links[i]);
    }
  while (kq_clock_now () < start + length)
    {
      int n = epoll_wait (epoll, events, MAX_EVENTS, 50);

      for (int i = 0; i < n; i++)
        read_answer (epoll, events[i].data.ptr, result);
    }
  result->took += kq_clock_now () - start;
  for (int i = 0; i < connections; i++)
    close (links[i].fd);
  close (epoll);
  free (links);
}

static int
by_value (const void *a, const void *b)
{
  uint32_t x = *(const uint32_t *)a;
  uint32_t y = *(const uint32_t *)b;

  return (x > y) - (x < y);
}

double
kq_fast_latency (struct kq_fast_result *result, int permille)
{
  size_t at;

  if (result->count == 0)
    return 0;
  qsort (result->latency, result->count, sizeof *result->latency, by_value);
  at = (result->count - 1) * (size_t)permille / 1000;
  return (double)result->latency[at] / 1e6;
}

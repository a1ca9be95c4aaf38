/* HTTP server and record of the stand-ins: see rv.c. */
#include "rv.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#define MAX_CONNS 1024
#define STEP_MS 5 /* interval at which waiting requests are looked at */

const char *record_path;

int64_t
clock_ms (clockid_t id)
{
  struct timespec ts;

  clock_gettime (id, &ts);
  return (int64_t)ts.tv_sec * 1000 + ts.tv_nsec / 1000000;
}

int64_t
now_ms (void)
{
  return clock_ms (CLOCK_MONOTONIC);
}

/* Appends one line to the record. */
void
note (const char *format, ...)
{
  char line[512];
  int size = snprintf (line, sizeof line, "%lld ",
                       (long long)clock_ms (CLOCK_REALTIME));
  va_list args;
  int fd;

  if (record_path == NULL)
    return;
  va_start (args, format);
  size
      += vsnprintf (line + size, sizeof line - (size_t)size - 1, format, args);
  va_end (args);
  line[size++] = '\n';
  fd = open (record_path, O_WRONLY | O_APPEND | O_CREAT, 0644);
  if (fd < 0 || write (fd, line, (size_t)size) != size)
    fprintf (stderr, "rv: record not written\n");
  if (fd >= 0)
    close (fd);
}

/* ---- a small HTTP/1.1 server ---- */

static struct conn conns[MAX_CONNS];

int
listen_at (const char *address, int port)
{
  struct sockaddr_in at
      = { .sin_family = AF_INET, .sin_port = htons ((uint16_t)port) };
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  int yes = 1;

  inet_pton (AF_INET, address, &at.sin_addr);
  setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof yes);
  if (bind (fd, (struct sockaddr *)&at, sizeof at) != 0
      || listen (fd, 512) != 0)
    {
      close (fd);
      return -1;
    }
  return fd;
}

static void
drop (struct conn *conn)
{
  close (conn->fd);
  free (conn->in);
  free (conn->out);
  *conn = (struct conn){ .fd = -1 };
}

void
respond (struct conn *conn, int status, const char *type, const void *body,
         size_t size)
{
  char head[256];
  int length = snprintf (head, sizeof head,
                         "HTTP/1.1 %d X\r\nContent-Type: %s\r\n"
                         "Content-Length: %zu\r\n\r\n",
                         status, type, size);

  conn->out = realloc (conn->out, conn->out_size + (size_t)length + size + 1);
  memcpy (conn->out + conn->out_size, head, (size_t)length);
  if (size > 0)
    memcpy (conn->out + conn->out_size + length, body, size);
  conn->out_size += (size_t)length + size;
}

void
respond_json (struct conn *conn, int status, json_t *body)
{
  char *text = json_dumps (body, JSON_COMPACT);

  respond (conn, status, "application/json", text, strlen (text));
  free (text);
  json_decref (body);
}

const char *
find_header (const char *head, const char *name)
{
  const char *at = strcasestr (head, name);

  return at == NULL ? NULL
                    : at + strlen (name) + strspn (at + strlen (name), " ");
}

/* Takes the next whole request from what was read. */
static void
parse (struct conn *conn)
{
  char *end = conn->in_size > 0
                  ? memmem (conn->in, conn->in_size, "\r\n\r\n", 4)
                  : NULL;
  const char *value;
  char target[1536] = "";
  char *mark;
  size_t length = 0;

  if (conn->has_request || end == NULL)
    return;
  *end = '\0';
  value = find_header (conn->in, "\nContent-Length:");
  if (value != NULL)
    length = strtoul (value, NULL, 10);
  conn->request_size = (size_t)(end + 4 - conn->in) + length;
  if (conn->in_size < conn->request_size)
    {
      *end = '\r';
      return;
    }
  sscanf (conn->in, "%7s %1535s", conn->method, target);
  mark = strchr (target, '?');
  snprintf (conn->query, sizeof conn->query, "%s",
            mark != NULL ? mark + 1 : "");
  if (mark != NULL)
    *mark = '\0';
  snprintf (conn->path, sizeof conn->path, "%s", target);
  conn->instance[0] = '\0';
  value = find_header (conn->in, "\nExpect-Instance:");
  if (value != NULL)
    sscanf (value, "%127s", conn->instance);
  conn->body = end + 4;
  conn->body_size = length;
  conn->has_request = true;
  conn->seen = false;
  conn->deadline = 0;
}

/* Returns whether the connection is still open. */
static bool
read_from (struct conn *conn)
{
  char chunk[65536];
  ssize_t size = read (conn->fd, chunk, sizeof chunk);

  if (size < 0 && (errno == EAGAIN || errno == EINTR))
    return true;
  if (size <= 0)
    {
      drop (conn);
      return false;
    }
  /* A body may be in use while its request waits. */
  if (conn->has_request)
    {
      size_t at = (size_t)(conn->body - conn->in);

      conn->in = realloc (conn->in, conn->in_size + (size_t)size + 1);
      conn->body = conn->in + at;
    }
  else
    conn->in = realloc (conn->in, conn->in_size + (size_t)size + 1);
  memcpy (conn->in + conn->in_size, chunk, (size_t)size);
  conn->in_size += (size_t)size;
  conn->in[conn->in_size] = '\0';
  return true;
}

/* Returns whether the connection is still open. */
static bool
write_to (struct conn *conn)
{
  while (conn->out_at < conn->out_size)
    {
      ssize_t size = send (conn->fd, conn->out + conn->out_at,
                           conn->out_size - conn->out_at, MSG_NOSIGNAL);

      if (size < 0 && (errno == EAGAIN || errno == EINTR))
        return true;
      if (size <= 0)
        {
          drop (conn);
          return false;
        }
      conn->out_at += (size_t)size;
    }
  conn->out_size = conn->out_at = 0;
  return true;
}

/* Handles the requests that have arrived or wait. */
static void
serve_conn (struct conn *conn, handler *handle)
{
  for (;;)
    {
      parse (conn);
      if (!conn->has_request)
        return;
      if (!handle (conn))
        {
          conn->seen = true;
          return;
        }
      if (conn->fd < 0)
        return;
      memmove (conn->in, conn->in + conn->request_size,
               conn->in_size - conn->request_size);
      conn->in_size -= conn->request_size;
      conn->has_request = false;
      if (!write_to (conn))
        return;
    }
}

static void
accept_all (int listener)
{
  int fd;

  while ((fd = accept4 (listener, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC))
         >= 0)
    {
      int i = 0;
      int yes = 1;

      while (i < MAX_CONNS && conns[i].fd >= 0)
        i++;
      if (i == MAX_CONNS)
        {
          close (fd);
          continue;
        }
      setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof yes);
      conns[i] = (struct conn){ .fd = fd };
    }
}

/* Fills FDS with the listener and the open connections; returns their number.
 */
static int
collect (int listener, struct pollfd *fds)
{
  int count = 1;

  fds[0] = (struct pollfd){ .fd = listener, .events = POLLIN };
  for (int i = 0; i < MAX_CONNS; i++)
    if (conns[i].fd >= 0)
      fds[count++] = (struct pollfd){
        .fd = conns[i].fd,
        .events = (short)(POLLIN | (conns[i].out_size > 0 ? POLLOUT : 0))
      };
  return count;
}

static void
serve_events (struct conn *conn, short events, handler *handle)
{
  if ((events & (POLLIN | POLLHUP | POLLERR)) != 0 && !read_from (conn))
    return;
  if ((events & POLLOUT) != 0 && !write_to (conn))
    return;
  serve_conn (conn, handle);
}

void
serve (int listener, handler *handle, void (*tick) (void))
{
  static struct pollfd fds[MAX_CONNS + 1];

  for (int i = 0; i < MAX_CONNS; i++)
    conns[i].fd = -1;
  for (;;)
    {
      int count = collect (listener, fds);

      poll (fds, (nfds_t)count, STEP_MS);
      tick ();
      count = 1;
      for (int i = 0; i < MAX_CONNS; i++)
        if (conns[i].fd >= 0)
          serve_events (&conns[i], fds[count++].revents, handle);
      if ((fds[0].revents & POLLIN) != 0)
        accept_all (listener);
    }
}

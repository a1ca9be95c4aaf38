/* Arguments and a client's call: see rv.c. */
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

/* ---- arguments ---- */

int argument_count;
char **arguments;

const char *
option (const char *name, const char *fallback)
{
  for (int i = 2; i + 1 < argument_count; i++)
    if (strcmp (arguments[i], name) == 0)
      return arguments[i + 1];
  return fallback;
}

int64_t
number_option (const char *name, int64_t fallback)
{
  const char *text = option (name, NULL);

  return text != NULL ? atoll (text) : fallback;
}

static int
hex_digit (char digit)
{
  return digit <= '9' ? digit - '0' : (digit | 32) - 'a' + 10;
}

/* Copies the value of NAME in the query to TEXT, decoded; returns its length,
   or -1 if it is absent. */
int
query_text (const struct conn *conn, const char *name, char *text, size_t max)
{
  size_t length = strlen (name);
  const char *at = conn->query;
  int size = 0;

  while (at != NULL && (strncmp (at, name, length) != 0 || at[length] != '='))
    {
      at = strchr (at, '&');
      at = at != NULL ? at + 1 : NULL;
    }
  if (at == NULL)
    return -1;
  for (at += length + 1; *at != '\0' && *at != '&' && size + 1 < (int)max;
       at++)
    if (*at == '%' && at[1] != '\0' && at[2] != '\0')
      {
        text[size++] = (char)(hex_digit (at[1]) * 16 + hex_digit (at[2]));
        at += 2;
      }
    else
      text[size++] = *at;
  text[size] = '\0';
  return size;
}

int64_t
query_number (const struct conn *conn, const char *name, int64_t fallback)
{
  char text[32];

  return query_text (conn, name, text, sizeof text) < 0 ? fallback
                                                        : atoll (text);
}

/* ---- a client's call ---- */

static int
connect_to (const char *address, int timeout_ms)
{
  char host[64];
  int port = 0;
  struct sockaddr_in at = { .sin_family = AF_INET };
  struct timeval limit
      = { .tv_sec = timeout_ms / 1000, .tv_usec = timeout_ms % 1000 * 1000L };
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

  if (sscanf (address, "%63[^:]:%d", host, &port) != 2)
    return -1;
  at.sin_port = htons ((uint16_t)port);
  inet_pton (AF_INET, host, &at.sin_addr);
  setsockopt (fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
  setsockopt (fd, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof limit);
  if (connect (fd, (struct sockaddr *)&at, sizeof at) == 0)
    return fd;
  close (fd);
  return -1;
}

/* Makes one call; returns the status, 0 without a whole response.  BODY of the
   response is put into REPLY. */
int
call (const char *method, const char *address, const char *host,
      const char *path, int timeout_ms, const char *body, size_t size,
      char *reply, size_t max)
{
  char head[2048];
  int64_t deadline = now_ms () + timeout_ms;
  int fd = connect_to (address, timeout_ms);
  int length;
  size_t got = 0;
  int status = 0;
  char *end;

  reply[0] = '\0';
  if (fd < 0)
    return 0;
  length = snprintf (head, sizeof head,
                     "%s %s HTTP/1.1\r\nHost: %s\r\nDeadline-Ms: %d\r\n"
                     "Content-Type: application/json\r\nConnection: close\r\n"
                     "Content-Length: %zu\r\n\r\n",
                     method, path, host, timeout_ms, size);
  if (send (fd, head, (size_t)length, MSG_NOSIGNAL) != length
      || send (fd, body, size, MSG_NOSIGNAL) != (ssize_t)size)
    {
      close (fd);
      return 0;
    }
  while (got + 1 < max && now_ms () < deadline)
    {
      ssize_t part = recv (fd, reply + got, max - got - 1, 0);

      if (part <= 0)
        break;
      got += (size_t)part;
      reply[got] = '\0';
      end = strstr (reply, "\r\n\r\n");
      if (end != NULL)
        {
          const char *value = find_header (reply, "\nContent-Length:");

          if (value != NULL
              && got >= (size_t)(end + 4 - reply) + strtoul (value, NULL, 10))
            break;
        }
    }
  close (fd);
  end = strstr (reply, "\r\n\r\n");
  if (end == NULL || sscanf (reply, "HTTP/1.1 %d", &status) != 1)
    return 0;
  memmove (reply, end + 4, strlen (end + 4) + 1);
  return status;
}

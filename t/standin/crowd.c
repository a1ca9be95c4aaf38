/** @file
 * Test double for clients that do not behave.  It opens COUNT connections to
 * 127.0.0.1:PORT, sends on each what KIND says, and keeps them open until its
 * standard input ends:
 *
 *   whole      a job of BYTES bytes, announced, at once
 *   complete   the same, all of it on each connection
 *   pieces     the same in pieces of 4 KiB, in turn
 *   chunked    the same in chunks of 32 KiB
 *   tiny       a body of BYTES / 16 bytes in chunks of one byte
 *   announced  a body announced with 1 GB, of which 4 BYTES are sent
 *   endless    4 BYTES bytes in chunks, without an end
 *   headers    a header that does not end
 *
 * Of the others of legal size, each tenth connection sends all, the others all
 * but the last byte or chunk.  Connections that the server closes stay closed.
 * It prints "holding" once there is nothing left to send.
 */
#include <argtable2.h>
#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <poll.h>
#include <signal.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

#define MAX_CLIENTS 1000
#define PIECE_BYTES ((size_t)4096)
#define CHUNK_BYTES ((size_t)32 * 1024)
#define MAX_ROUNDS 30000
#define ROUND_MS 1

struct client
{
  int fd; /* -1: closed */
  char *data;
  size_t size;
  size_t sent;
};

static struct client clients[MAX_CLIENTS];
static const char *kind;
static size_t body_bytes;

static bool
is_kind (const char *name)
{
  return strcmp (kind, name) == 0;
}

static size_t
add (char *data, size_t at, const char *text)
{
  return at + (size_t)sprintf (data + at, "%s", text);
}

/* Begin of a valid job, which is filled up with blanks. */
static const char job[]
    = "{\"spec\":\"400\",\"steps\":[{\"count\":1,\"cpu\":100,\"mem_mb\":10,"
      "\"est_ms\":400}]";

/* Adds a valid job of body_bytes bytes, or what comes before its end. */
static size_t
add_job (char *data, size_t at, bool all)
{
  memset (data + at, ' ', body_bytes);
  memcpy (data + at, job, sizeof job - 1);
  data[at + body_bytes - 1] = '}';
  return at + body_bytes - !all;
}

/* Adds COUNT bytes in chunks of CHUNK; returns the new size. */
static size_t
add_chunks (char *data, size_t at, size_t count, size_t chunk)
{
  char line[24];

  for (size_t done = 0; done < count; done += chunk)
    {
      size_t size = count - done < chunk ? count - done : chunk;

      snprintf (line, sizeof line, "%zx\r\n", size);
      at = add (data, at, line);
      memset (data + at, ' ', size);
      at = add (data, at + size, "\r\n");
    }
  return at;
}

static size_t
add_body (char *data, size_t at, bool all)
{
  char line[64];

  if (is_kind ("headers"))
    return add (data, at, "X-Never-Ends: 1\r\nX-");
  if (is_kind ("whole") || is_kind ("complete") || is_kind ("pieces")
      || is_kind ("announced"))
    {
      snprintf (line, sizeof line, "Content-Length: %zu\r\n\r\n",
                is_kind ("announced") ? (size_t)1000000000 : body_bytes);
      at = add (data, at, line);
      if (!is_kind ("announced"))
        return add_job (data, at, all);
      memset (data + at, ' ', 4 * body_bytes);
      return at + 4 * body_bytes;
    }
  at = add (data, at, "Transfer-Encoding: chunked\r\n\r\n");
  if (is_kind ("tiny"))
    at = add_chunks (data, at, body_bytes / 16, 1);
  else
    at = add_chunks (data, at,
                     is_kind ("endless") ? 4 * body_bytes : body_bytes,
                     CHUNK_BYTES);
  return all && !is_kind ("endless") ? add (data, at, "0\r\n\r\n") : at;
}

static void
open_client (int number, int port)
{
  struct sockaddr_in address
      = { .sin_family = AF_INET, .sin_port = htons ((uint16_t)port) };
  struct client *client = &clients[number];
  char head[200];

  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  client->data = malloc (8 * body_bytes + 4096);
  client->fd = socket (AF_INET, SOCK_STREAM, 0);
  if (client->data == NULL || client->fd < 0)
    abort ();
  fcntl (client->fd, F_SETFL, O_NONBLOCK);
  (void)connect (client->fd, (struct sockaddr *)&address, sizeof address);
  snprintf (head, sizeof head,
            "POST /jobs/%016x HTTP/1.1\r\nHost: site.example\r\n",
            0x1000 + number);
  client->size = add (client->data, 0, head);
  client->size = add_body (client->data, client->size,
                           is_kind ("complete") || number % 10 == 9);
}

static void
close_client (struct client *client)
{
  close (client->fd);
  client->fd = -1;
}

/* Sends what the server takes; returns whether something is left. */
static bool
send_some (struct client *client)
{
  size_t size = client->size - client->sent;
  ssize_t sent;

  if (is_kind ("pieces") && size > PIECE_BYTES)
    size = PIECE_BYTES;
  sent = send (client->fd, client->data + client->sent, size, MSG_NOSIGNAL);
  if (sent > 0)
    client->sent += (size_t)sent;
  return client->sent < client->size;
}

/* Waits a round; returns whether there is more to send. */
static bool
run_round (int count)
{
  struct pollfd fds[MAX_CLIENTS];
  bool unsent = false;

  for (int i = 0; i < count; i++)
    {
      fds[i] = (struct pollfd){ .fd = clients[i].fd, .events = POLLIN };
      if (clients[i].sent < clients[i].size)
        fds[i].events |= POLLOUT;
    }
  poll (fds, (nfds_t)count, 100);
  for (int i = 0; i < count; i++)
    {
      char answer[512];

      if (clients[i].fd < 0)
        continue;
      if ((fds[i].revents & (POLLERR | POLLHUP)) != 0
          || ((fds[i].revents & POLLIN) != 0
              && recv (clients[i].fd, answer, sizeof answer, 0) <= 0))
        close_client (&clients[i]);
      else if ((fds[i].revents & POLLOUT) != 0)
        unsent |= send_some (&clients[i]);
      else
        unsent |= clients[i].sent < clients[i].size;
    }
  usleep (ROUND_MS * 1000);
  return unsent;
}

int
main (int argc, char **argv)
{
  struct arg_int *port = arg_int1 (NULL, "port", "PORT", "of the server");
  struct arg_str *kind_arg = arg_str1 (NULL, "kind", "KIND", "what to send");
  struct arg_int *count
      = arg_int1 (NULL, "count", "COUNT", "number of connections");
  struct arg_int *bytes = arg_int1 (NULL, "bytes", "BYTES", "of a body");
  struct arg_end *end = arg_end (8);
  void *table[] = { port, kind_arg, count, bytes, end };
  struct rlimit descriptors;
  struct pollfd input = { .fd = STDIN_FILENO, .events = POLLIN };

  if (arg_parse (argc, argv, table) > 0 || count->ival[0] > MAX_CLIENTS)
    {
      arg_print_errors (stderr, end, "crowd");
      return 2;
    }
  signal (SIGPIPE, SIG_IGN);
  getrlimit (RLIMIT_NOFILE, &descriptors);
  descriptors.rlim_cur = descriptors.rlim_max;
  setrlimit (RLIMIT_NOFILE, &descriptors);
  kind = kind_arg->sval[0];
  body_bytes = (size_t)bytes->ival[0];
  for (int i = 0; i < count->ival[0]; i++)
    open_client (i, port->ival[0]);
  for (int i = 0; i < MAX_ROUNDS && run_round (count->ival[0]); i++)
    if (poll (&input, 1, 0) > 0)
      return 0;
  puts ("holding");
  fflush (stdout);
  while (poll (&input, 1, 0) == 0)
    run_round (count->ival[0]);
  return 0;
}

/** @file
 * Test double for the network between one host and the store: a relay of TCP
 * connections.  Tests control it by signals.  SIGSTOP holds all bytes until
 * SIGCONT.  SIGUSR1 cuts it: open connections go silent for good, new ones
 * are silent from the start.  SIGHUP does so only with what the store sends,
 * so that requests are carried out.  SIGUSR2 ends both: all are closed.
 */
#include <argtable2.h>
#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <unistd.h>
#include <utlist.h>

#include "t/standin/si-http.h"

#define BUFFER_BYTES 65536

/* One direction of a connection. */
struct pipe
{
  ev_io read_io, write_io;
  size_t size, sent;
  char bytes[BUFFER_BYTES];
};

struct connection
{
  int sockets[2];
  struct pipe pipes[2]; /* pipe I is from socket I to the other one */
  struct connection *next, *prev;
};

static struct ev_loop *loop;
static struct connection *connections;
static struct sockaddr_in target;
static bool is_cut[2]; /* pipes with that number are silent */

static void
stop_pipe (struct pipe *pipe)
{
  ev_io_stop (loop, &pipe->read_io);
  ev_io_stop (loop, &pipe->write_io);
}

static void
close_connection (struct connection *connection)
{
  stop_pipe (&connection->pipes[0]);
  stop_pipe (&connection->pipes[1]);
  close (connection->sockets[0]);
  close (connection->sockets[1]);
  DL_DELETE (connections, connection);
  free (connection);
}

static void
on_readable (struct ev_loop *io_loop, ev_io *io, int events)
{
  struct connection *connection = io->data;
  struct pipe *pipe = &connection->pipes[io->fd == connection->sockets[1]];
  ssize_t size = recv (io->fd, pipe->bytes, sizeof pipe->bytes, 0);

  if (size < 0 && (errno == EAGAIN || errno == EINTR))
    return;
  if (size <= 0)
    {
      close_connection (connection);
      return;
    }
  pipe->size = (size_t)size;
  pipe->sent = 0;
  ev_io_stop (loop, &pipe->read_io);
  ev_io_start (loop, &pipe->write_io);
}

static void
on_writable (struct ev_loop *io_loop, ev_io *io, int events)
{
  struct connection *connection = io->data;
  struct pipe *pipe = &connection->pipes[io->fd == connection->sockets[0]];
  ssize_t size = send (io->fd, pipe->bytes + pipe->sent,
                       pipe->size - pipe->sent, MSG_NOSIGNAL);

  if (size < 0 && errno != EAGAIN && errno != EINTR)
    {
      close_connection (connection);
      return;
    }
  if (size > 0)
    pipe->sent += (size_t)size;
  if (pipe->sent < pipe->size)
    return;
  ev_io_stop (loop, &pipe->write_io);
  ev_io_start (loop, &pipe->read_io);
}

static int
connect_to_target (void)
{
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

  if (fd >= 0
      && connect (fd, (const struct sockaddr *)&target, sizeof target) != 0
      && errno != EINPROGRESS)
    {
      close (fd);
      return -1;
    }
  return fd;
}

static void
on_connection (struct ev_loop *io_loop, ev_io *io, int events)
{
  int fd = accept4 (io->fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
  struct connection *connection;
  int no_delay = 1;

  if (fd < 0)
    return;
  connection = calloc (1, sizeof *connection);
  if (connection == NULL)
    abort ();
  connection->sockets[0] = fd;
  connection->sockets[1] = connect_to_target ();
  if (connection->sockets[1] < 0)
    {
      close (fd);
      free (connection);
      return;
    }
  DL_APPEND (connections, connection);
  for (int i = 0; i < 2; i++)
    {
      struct pipe *pipe = &connection->pipes[i];

      setsockopt (connection->sockets[i], IPPROTO_TCP, TCP_NODELAY, &no_delay,
                  sizeof no_delay);
      ev_io_init (&pipe->read_io, on_readable, connection->sockets[i],
                  EV_READ);
      ev_io_init (&pipe->write_io, on_writable, connection->sockets[1 - i],
                  EV_WRITE);
      pipe->read_io.data = connection;
      pipe->write_io.data = connection;
      if (!is_cut[i])
        ev_io_start (loop, &pipe->read_io);
    }
}

static void
on_cut (struct ev_loop *signal_loop, ev_signal *watcher, int events)
{
  struct connection *connection;

  is_cut[0] = is_cut[0] || watcher->signum == SIGUSR1;
  is_cut[1] = true;
  DL_FOREACH (connections, connection)
  {
    if (is_cut[0])
      stop_pipe (&connection->pipes[0]);
    stop_pipe (&connection->pipes[1]);
  }
}

static void
on_end_of_cut (struct ev_loop *signal_loop, ev_signal *watcher, int events)
{
  struct connection *connection;
  struct connection *next;

  is_cut[0] = false;
  is_cut[1] = false;
  DL_FOREACH_SAFE (connections, connection, next)
  close_connection (connection);
}

static int
listen_at (int port)
{
  struct sockaddr_in address = { .sin_family = AF_INET,
                                 .sin_port = htons ((uint16_t)port),
                                 .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  int reuse = 1;

  setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &reuse, sizeof reuse);
  if (fd < 0
      || bind (fd, (const struct sockaddr *)&address, sizeof address) != 0
      || listen (fd, 128) != 0)
    {
      fprintf (stderr, "cannot listen on 127.0.0.1:%d\n", port);
      exit (1);
    }
  return fd;
}

int
main (int argc, char **argv)
{
  struct arg_int *port = arg_int1 (NULL, "port", "PORT", "port of the link");
  struct arg_int *to = arg_int1 (NULL, "to", "PORT", "port of the store");
  struct arg_end *end = arg_end (8);
  void *table[] = { port, to, end };
  static ev_io listen_io;
  static ev_signal cut;
  static ev_signal cut_replies;
  static ev_signal end_of_cut;

  if (arg_parse (argc, argv, table) > 0)
    {
      arg_print_errors (stderr, end, "link");
      return 2;
    }
  target.sin_family = AF_INET;
  target.sin_port = htons ((uint16_t)to->ival[0]);
  target.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  loop = ev_default_loop (0);
  ev_io_init (&listen_io, on_connection, listen_at (port->ival[0]), EV_READ);
  ev_io_start (loop, &listen_io);
  ev_signal_init (&cut, on_cut, SIGUSR1);
  ev_signal_start (loop, &cut);
  ev_signal_init (&cut_replies, on_cut, SIGHUP);
  ev_signal_start (loop, &cut_replies);
  ev_signal_init (&end_of_cut, on_end_of_cut, SIGUSR2);
  ev_signal_start (loop, &end_of_cut);
  arg_freetable (table, sizeof table / sizeof table[0]);
  si_run_loop (loop);
  return 0;
}

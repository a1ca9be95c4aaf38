#include "t/lib-port.h"

#include <arpa/inet.h>
#include <stdio.h>
#include <sys/socket.h>
#include <unistd.h>

#include "t/kqtest.h"

#define BACKLOG 8

int
port_open (char *text, size_t size)
{
  struct sockaddr_in address
      = { .sin_family = AF_INET, .sin_addr = { htonl (INADDR_LOOPBACK) } };
  socklen_t length = sizeof address;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);

  CU_ASSERT_EQUAL_FATAL (bind (fd, (struct sockaddr *)&address, length), 0);
  CU_ASSERT_EQUAL_FATAL (listen (fd, BACKLOG), 0);
  CU_ASSERT_EQUAL_FATAL (
      getsockname (fd, (struct sockaddr *)&address, &length), 0);
  snprintf (text, size, "127.0.0.1:%d", ntohs (address.sin_port));
  return fd;
}

/* Returns the first connection to the port FD, which is closed, or -1. */
static int
take_connection (int fd)
{
  int connection = accept (fd, NULL, NULL);

  close (fd);
  return connection;
}

bool
port_was_called (int fd)
{
  int connection = take_connection (fd);

  if (connection < 0)
    return false;
  close (connection);
  return true;
}

bool
port_got_request (int fd)
{
  int connection = take_connection (fd);
  char byte;
  bool got;

  if (connection < 0)
    return false;
  got = recv (connection, &byte, 1, MSG_DONTWAIT) == 1;
  close (connection);
  return got;
}

#include "base/address.h"

#include <arpa/inet.h>
#include <ctype.h>
#include <netinet/in.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Buffer size for "ADDR:PORT", including the terminating zero. */
#define ADDRESS_TEXT_SIZE 64

#define MAX_PORT 65535

static int
read_port (const char *text)
{
  char *end;
  long port = strtol (text, &end, 10);

  if (!isdigit ((unsigned char)*text) || *end != '\0' || port > MAX_PORT)
    return 0;
  return (int)port;
}

bool
kq_address_parse (const char *text, struct sockaddr_storage *address)
{
  struct sockaddr_in *v4 = (struct sockaddr_in *)address;
  struct sockaddr_in6 *v6 = (struct sockaddr_in6 *)address;
  const char *colon = strrchr (text, ':');
  char host[ADDRESS_TEXT_SIZE];
  size_t length;
  int port;

  memset (address, 0, sizeof *address);
  if (colon == NULL || strlen (text) >= sizeof host)
    return false;
  port = read_port (colon + 1);
  length = (size_t)(colon - text);
  if (port == 0)
    return false;
  if (text[0] == '[' && length > 2 && text[length - 1] == ']')
    {
      snprintf (host, sizeof host, "%.*s", (int)length - 2, text + 1);
      v6->sin6_family = AF_INET6;
      v6->sin6_port = htons ((uint16_t)port);
      return inet_pton (AF_INET6, host, &v6->sin6_addr) == 1;
    }
  snprintf (host, sizeof host, "%.*s", (int)length, text);
  v4->sin_family = AF_INET;
  v4->sin_port = htons ((uint16_t)port);
  return inet_pton (AF_INET, host, &v4->sin_addr) == 1;
}

bool
kq_address_is_any (const struct sockaddr_storage *address)
{
  if (address->ss_family == AF_INET6)
    return IN6_IS_ADDR_UNSPECIFIED (
        &((const struct sockaddr_in6 *)address)->sin6_addr);
  return ((const struct sockaddr_in *)address)->sin_addr.s_addr == INADDR_ANY;
}

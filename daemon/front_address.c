#include <arpa/inet.h>
#include <stdlib.h>
#include <string.h>

#include "base/err.h"
#include "daemon/front_impl.h"

#define HOST_SIZE 64

static int
read_port (const char *text, uint16_t *port)
{
  char *end;
  long value = strtol (text, &end, 10);

  if (end == text || *end != '\0' || value < 1 || value > UINT16_MAX)
    return KQ_EINVAL;
  *port = htons ((uint16_t)value);
  return 0;
}

int
kq_front_address (const char *text, struct sockaddr_storage *address)
{
  struct sockaddr_in *v4 = (struct sockaddr_in *)address;
  struct sockaddr_in6 *v6 = (struct sockaddr_in6 *)address;
  const char *colon = strrchr (text, ':');
  char host[HOST_SIZE] = "";
  size_t length;
  uint16_t port;

  memset (address, 0, sizeof *address);
  if (colon == NULL || read_port (colon + 1, &port) != 0)
    return KQ_EINVAL;
  length = (size_t)(colon - text);
  if (length == 0 || length >= sizeof host)
    return KQ_EINVAL;
  memcpy (host, text, length);
  if (host[0] == '[' && host[length - 1] == ']')
    {
      host[length - 1] = '\0';
      v6->sin6_family = AF_INET6;
      v6->sin6_port = port;
      return inet_pton (AF_INET6, host + 1, &v6->sin6_addr) == 1 ? 0
                                                                 : KQ_EINVAL;
    }
  v4->sin_family = AF_INET;
  v4->sin_port = port;
  return inet_pton (AF_INET, host, &v4->sin_addr) == 1 ? 0 : KQ_EINVAL;
}

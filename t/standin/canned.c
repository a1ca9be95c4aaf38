/* Stand-in for an entry host's address for operators.
   canned PORT BODY: answers every POST with BODY; an empty BODY: reads the
   request and never answers.  Prints "ready" and ends with standard input. */

#include <microhttpd.h>
#include <netinet/in.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static enum MHD_Result
answer (void *body, struct MHD_Connection *connection, const char *url,
        const char *method, const char *version, const char *data,
        size_t *size, void **seen)
{
  struct MHD_Response *response;
  enum MHD_Result result;

  (void)url;
  (void)method;
  (void)version;
  (void)data;
  if (*seen == NULL || *size > 0)
    {
      *seen = body;
      *size = 0;
      return MHD_YES;
    }
  if (*(char *)body == '\0')
    {
      MHD_suspend_connection (connection);
      return MHD_YES;
    }
  response = MHD_create_response_from_buffer (strlen (body), body,
                                              MHD_RESPMEM_PERSISTENT);
  result = MHD_queue_response (connection, MHD_HTTP_OK, response);
  MHD_destroy_response (response);
  return result;
}

int
main (int argc, char **argv)
{
  struct sockaddr_in address = { .sin_family = AF_INET };
  struct MHD_Daemon *daemon;

  if (argc != 3)
    return 2;
  address.sin_port = htons ((uint16_t)strtoul (argv[1], NULL, 10));
  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  daemon = MHD_start_daemon (
      MHD_USE_INTERNAL_POLLING_THREAD | MHD_ALLOW_SUSPEND_RESUME, 0, NULL,
      NULL, answer, argv[2], MHD_OPTION_SOCK_ADDR, &address, MHD_OPTION_END);
  if (daemon == NULL)
    return 1;
  puts ("ready");
  fflush (stdout);
  while (getchar () != EOF)
    continue;
  /* A suspended connection would keep MHD_stop_daemon() waiting. */
  return 0;
}

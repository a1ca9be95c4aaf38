/* Test double for the operator address of an entry host.

   canned PORT BODY answers every POST request with BODY.  With an empty BODY
   it reads requests and never responds.  It prints "ready" when it accepts
   connections and exits when standard input ends.  */

#include <microhttpd.h>
#include <netinet/in.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static enum MHD_Result
handle_request (void *body, struct MHD_Connection *connection, const char *url,
                const char *method, const char *version, const char *data,
                size_t *size, void **state)
{
  struct MHD_Response *response;
  enum MHD_Result result;

  (void)url;
  (void)method;
  (void)version;
  (void)data;
  if (*state == NULL || *size > 0)
    {
      *state = body;
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
  daemon = MHD_start_daemon (MHD_USE_INTERNAL_POLLING_THREAD
                                 | MHD_ALLOW_SUSPEND_RESUME,
                             0, NULL, NULL, handle_request, argv[2],
                             MHD_OPTION_SOCK_ADDR, &address, MHD_OPTION_END);
  if (daemon == NULL)
    return 1;
  puts ("ready");
  fflush (stdout);
  while (getchar () != EOF)
    continue;
  /* MHD_stop_daemon() would wait for suspended connections, so it isn't
     called.  */
  return 0;
}

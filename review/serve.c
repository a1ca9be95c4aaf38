/* The stand-ins' HTTP servers: a thread for each connection, one lock. */
#include <arpa/inet.h>
#include <netinet/in.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "review/internal.h"

struct server
{
  w_handler *handler;
  void *context;
};

void
world_address (char *text, size_t size, int last)
{
  unsigned pid = (unsigned)getpid ();

  snprintf (text, size, "127.%u.%u.%d", 16 + (pid >> 8) % 200, pid % 250 + 1,
            last);
}

static enum MHD_Result
on_access (void *arg, struct MHD_Connection *connection, const char *url,
           const char *method, const char *version, const char *data,
           size_t *size, void **state)
{
  const struct server *server = arg;
  struct w_request *request = *state;
  enum MHD_Result result;

  if (request == NULL)
    {
      request = calloc (1, sizeof *request);
      *state = request;
      return request != NULL ? MHD_YES : MHD_NO;
    }
  if (*size > 0)
    {
      char *grown = realloc (request->body, request->size + *size + 1);

      if (grown == NULL)
        return MHD_NO;
      memcpy (grown + request->size, data, *size);
      request->body = grown;
      request->size += *size;
      grown[request->size] = '\0';
      *size = 0;
      return MHD_YES;
    }
  request->connection = connection;
  request->method = method;
  request->context = server->context;
  snprintf (request->path, sizeof request->path, "%s", url);
  w_lock ();
  result = server->handler (request);
  w_unlock ();
  return result;
}

static void
on_completed (void *arg, struct MHD_Connection *connection, void **state,
              enum MHD_RequestTerminationCode code)
{
  struct w_request *request = *state;

  if (request == NULL)
    return;
  free (request->body);
  free (request);
  *state = NULL;
}

struct MHD_Daemon *
world_serve (const char *address, int port, w_handler *handler, void *context)
{
  struct sockaddr_in name = { .sin_family = AF_INET,
                              .sin_port = htons ((uint16_t)port),
                              .sin_addr.s_addr = inet_addr (address) };
  struct server *server = malloc (sizeof *server);
  struct MHD_Daemon *daemon;

  if (server == NULL)
    w_finish (W_CANNOT_RUN, "no memory");
  *server = (struct server){ .handler = handler, .context = context };
  daemon = MHD_start_daemon (
      MHD_USE_THREAD_PER_CONNECTION | MHD_USE_INTERNAL_POLLING_THREAD
          | MHD_USE_ITC,
      0, NULL, NULL, on_access, server, MHD_OPTION_SOCK_ADDR, &name,
      MHD_OPTION_LISTENING_ADDRESS_REUSE, 1u, MHD_OPTION_NOTIFY_COMPLETED,
      on_completed, NULL, MHD_OPTION_CONNECTION_LIMIT, 400u, MHD_OPTION_END);
  if (daemon == NULL)
    w_finish (W_CANNOT_RUN, "a stand-in cannot listen");
  return daemon;
}

enum MHD_Result
world_respond (struct w_request *request, unsigned status, const void *body,
               size_t size)
{
  struct MHD_Response *response = MHD_create_response_from_buffer (
      size, (void *)body, MHD_RESPMEM_MUST_COPY);
  enum MHD_Result result;

  MHD_add_response_header (response, MHD_HTTP_HEADER_CONTENT_TYPE,
                           "application/json");
  result = MHD_queue_response (request->connection, status, response);
  MHD_destroy_response (response);
  return result;
}

enum MHD_Result
world_respond_json (struct w_request *request, unsigned status, json_t *body)
{
  char *text = json_dumps (body, JSON_COMPACT);
  enum MHD_Result result
      = world_respond (request, status, text, strlen (text));

  free (text);
  json_decref (body);
  return result;
}

int64_t
world_argument (struct w_request *request, const char *name, int64_t fallback)
{
  const char *text = MHD_lookup_connection_value (request->connection,
                                                  MHD_GET_ARGUMENT_KIND, name);

  return text != NULL ? strtoll (text, NULL, 10) : fallback;
}

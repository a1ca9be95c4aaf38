/** @file
 * HTTP server of the stand-ins: libmicrohttpd on a libev loop,
 * single-threaded.  A response may be sent at once, delayed, truncated or
 * withheld.
 */
#ifndef SI_HTTP_H
#define SI_HTTP_H

#include <ev.h>
#include <jansson.h>
#include <microhttpd.h>
#include <stdbool.h>
#include <stdint.h>

struct si_server;
struct si_request;

/** Called with a completely received request.  It responds at once, defers the
 *  response or suspends the request.  */
typedef void (*si_handler) (struct si_request *request, void *context);

enum si_request_state
{
  SI_READING,
  SI_HANDLING,
  SI_RESPONDED,
  SI_DROPPED
};

struct si_request
{
  struct si_server *server;
  struct MHD_Connection *connection;
  uint64_t connection_serial; /**< connections are numbered from 1 as they are
                                 accepted */
  const char *method;
  const char *url;
  char *body;
  size_t size;
  enum si_request_state state;
  bool suspended;
  struct MHD_Response *response;
  unsigned status;
  ev_timer timer;
  si_handler deferred_handler;
  void *context;   /**< passed to deferred_handler */
  double deadline; /**< in seconds, for use by the handler */
  int64_t life;    /**< life of the worker, for use by the handler */
  struct si_request *next, *prev;
};

/** Starts to serve 127.0.0.1:PORT; exits with status 1 if the port can't be
 *  opened.  */
struct si_server *si_server_start (struct ev_loop *loop, int port,
                                   si_handler handler, void *context);

/** Returns the number of open connections. */
int si_server_connections (const struct si_server *server);

/** Returns the serial number of the newest connection. */
uint64_t si_server_serial (const struct si_server *server);

/** Sends a response.  HEADERS are pairs of name and value, ended by NULL, or
 *  NULL.  BODY is copied.  */
void si_respond (struct si_request *request, unsigned status, const void *body,
                 size_t size, const char *const *headers);

/** Sets the rate in bytes a second that all responses of si_respond_shared()
 *  have together; 0: no limit, which is the default.  */
void si_set_shared_rate (int64_t bytes_s);

/** Returns the size of all responses of si_respond_shared() so far. */
int64_t si_shared_bytes (void);

/** Sends status 200 and BODY, which is copied, at an equal share of the rate
 *  of si_set_shared_rate().  HEADERS: see si_respond().  */
void si_respond_shared (struct si_request *request, const void *bytes,
                        size_t size, const char *const *headers);

/** Sends JSON as the response and releases the reference to it. */
void si_respond_json (struct si_request *request, unsigned status,
                      json_t *json);

/** Sends status 200 and a Content-Length of SIZE, then half of BODY, and
 *  closes the connection.  */
void si_respond_truncated (struct si_request *request, const void *body,
                           size_t size);

/** Closes the connection without a response. */
void si_drop (struct si_request *request);

/** Withholds the response to REQUEST until si_drop_suspended(). */
void si_suspend (struct si_request *request);

/** Closes the connections of all suspended requests of SERVER. */
void si_drop_suspended (struct si_server *server);

/** Calls HANDLER with REQUEST and CONTEXT after DELAY_SECONDS. */
void si_defer (struct si_request *request, double delay_seconds,
               si_handler handler, void *context);

/** Returns the value of request header NAME, or NULL. */
const char *si_header (const struct si_request *request, const char *name);

/** Returns query argument NAME as an integer, or FALLBACK if it is absent. */
int64_t si_argument (const struct si_request *request, const char *name,
                     int64_t fallback);

/** Returns whether REQUEST has that METHOD and URL. */
bool si_request_matches (const struct si_request *request, const char *method,
                         const char *url);

/** Parses the body as a JSON object.
 *  @return a new reference, or NULL after a response with status 400.  */
json_t *si_parse_body (struct si_request *request);

/** Returns member NAME of OBJECT, or FALLBACK if it isn't an integer. */
int64_t si_number (const json_t *object, const char *name, int64_t fallback);

/** Returns member NAME of OBJECT, or "" if it isn't a string. */
const char *si_string (const json_t *object, const char *name);

/** Merges the request's JSON object into KNOBS and responds with KNOBS.  A
 *  name that KNOBS lacks, or a value of another type, gets status 400.
 *  @return whether KNOBS were changed.  */
bool si_set_knobs (struct si_request *request, json_t *knobs);

/** Runs LOOP until SIGTERM or SIGINT. */
void si_run_loop (struct ev_loop *loop);

#endif

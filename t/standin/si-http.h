/** @file
 * A small HTTP server for stand-ins: libmicrohttpd on a libev loop, one
 * thread, with answers that may come later, be cut short or never come.
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

/** Called with a whole request.  It answers at once or later. */
typedef void (*si_handler) (struct si_request *request, void *context);

enum si_state
{
  SI_READING,
  SI_HANDLING,
  SI_ANSWERED,
  SI_DROPPED
};

struct si_request
{
  struct si_server *server;
  struct MHD_Connection *connection;
  uint64_t connection_serial; /**< rises with each accepted connection */
  const char *method;
  const char *url;
  char *body;
  size_t size;
  enum si_state state;
  bool suspended;
  struct MHD_Response *response;
  unsigned status;
  ev_timer timer;
  si_handler later;
  void *context; /**< handed to later */
  double number; /**< free for the handler */
  struct si_request *next, *prev;
};

/** Starts to serve 127.0.0.1:PORT; ends the process when it can't. */
struct si_server *si_server_start (struct ev_loop *loop, int port,
                                   si_handler handler, void *context);

/** Returns the number of connections that are open. */
int si_server_connections (const struct si_server *server);

/** Returns the serial of the connection accepted last. */
uint64_t si_server_serial (const struct si_server *server);

/** Answers REQUEST.  HEADERS are pairs, ended by NULL; may be NULL. */
void si_answer (struct si_request *request, unsigned status, const void *body,
                size_t size, const char *const *headers);

/** Answers with JSON, whose reference is taken over. */
void si_answer_json (struct si_request *request, unsigned status,
                     json_t *json);

/** Answers 200, announces SIZE bytes, sends half of them and closes. */
void si_answer_cut (struct si_request *request, const void *body, size_t size);

/** Closes the connection without an answer. */
void si_drop (struct si_request *request);

/** Keeps REQUEST without an answer until si_unpark(). */
void si_park (struct si_request *request);

/** Drops all requests that SERVER has parked. */
void si_unpark (struct si_server *server);

/** Calls LATER with REQUEST and CONTEXT after DELAY seconds. */
void si_after (struct si_request *request, double delay, si_handler later,
               void *context);

/** Returns header NAME or NULL. */
const char *si_header (const struct si_request *request, const char *name);

/** Returns the whole number in argument NAME, or FALLBACK. */
int64_t si_argument (const struct si_request *request, const char *name,
                     int64_t fallback);

/** Returns whether REQUEST is METHOD on URL. */
bool si_is (const struct si_request *request, const char *method,
            const char *url);

/** Returns the body as a new JSON object; answers 400 and returns NULL when
 *  it isn't one.  */
json_t *si_body (struct si_request *request);

/** Returns member NAME of OBJECT as a number, or FALLBACK. */
int64_t si_number (const json_t *object, const char *name, int64_t fallback);

/** Returns member NAME of OBJECT as a string, or "". */
const char *si_string (const json_t *object, const char *name);

/** Merges the numbers and strings of BODY's object into KNOBS and answers
 *  KNOBS.  An unknown name is answered 400.  */
bool si_set_knobs (struct si_request *request, json_t *knobs);

/** Serves LOOP until SIGTERM or SIGINT. */
void si_run (struct ev_loop *loop);

#endif

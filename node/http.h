/** @file
 * HTTP server in a libev loop whose handler may respond to a request later.
 */
#ifndef KQ_NODE_HTTP_H
#define KQ_NODE_HTTP_H

#include <ev.h>
#include <stdbool.h>
#include <stddef.h>

#include "base/clock.h"

struct kq_guard;
struct kq_http;

/** Memory in bytes that a connection takes at most, without bodies. */
#define KQ_HTTP_CONNECTION_BYTES ((size_t)24 * 1024)

/** A request that was received completely. It is valid until its response has
 *  been sent.  */
struct kq_http_request
{
  const char *method;
  const char *path;
  const char *host; /**< without a port; "" if the header is missing */
  const char *body; /**< with a terminating zero */
  size_t body_size;
  bool body_too_large; /**< the body exceeds the limit and is incomplete, or
                            was not read at all */
  kq_usec arrived_at;
  kq_usec timeout;    /**< how long the caller waits; 0 if it set no limit */
  kq_usec standstill; /**< how long the process stood still before it read the
                         request; 0: not lately */
  void *handler_data; /**< for use by the handler */
};

/** A response; BODY is copied. */
struct kq_http_response
{
  unsigned status;
  const char *type;
  const char *body;
  size_t body_size;
  unsigned retry_s; /**< Retry-After in seconds, 0: none */
};

struct kq_http_handler
{
  void *arg;
  /** Handles REQUEST; kq_http_respond() follows, now or later. */
  void (*on_request) (void *arg, struct kq_http_request *request);
  /** The connection was closed before the response was given. REQUEST is freed
   *  after this call.  May be NULL.  */
  void (*on_disconnect) (void *arg, struct kq_http_request *request);
};

/** Binds ADDRESS ("ADDR:PORT") and accepts MAX_CONNECTIONS at a time.  GUARD
 *  bounds what they hold, and must outlive the server.
 *  @return NULL with *ERR set to KQ_EINVAL, KQ_EIO or KQ_ENOMEM.  */
struct kq_http *kq_http_start (struct ev_loop *loop, const char *address,
                               const struct kq_http_handler *handler,
                               struct kq_guard *guard, int max_connections,
                               int *err);

/** Closes the server.  Responses that were given are written first, for at
 * most 0.15 s; requests that arrive meanwhile are refused with 503.  Each
 * request must have a response before, and the handler is not called any more.
 */
void kq_http_stop (struct kq_http *http);

/** Returns the argument NAME of the query string, or NULL; valid until the
 *  response.  */
const char *kq_http_argument (const struct kq_http_request *request,
                              const char *name);

/** Returns whether the caller of REQUEST has closed the connection, or its end
 *  of it.  */
bool kq_http_caller_has_left (const struct kq_http_request *request);

/** Sends RESPONSE to REQUEST; ignored if REQUEST already has a response. */
void kq_http_respond (struct kq_http *http, struct kq_http_request *request,
                      const struct kq_http_response *response);

/** Sets the maximum size of a request body in bytes. */
void kq_http_limit_body (struct kq_http *http, size_t bytes);

/** Makes all further responses ask callers to close their connections. */
void kq_http_disable_keep_alive (struct kq_http *http);

/** Returns whether responses are still being sent. */
bool kq_http_is_sending (const struct kq_http *http);

#endif

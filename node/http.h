/** @file
 * An HTTP server in a libev loop, whose requests are answered later.
 */
#ifndef KQ_NODE_HTTP_H
#define KQ_NODE_HTTP_H

#include <ev.h>
#include <stdbool.h>
#include <stddef.h>

#include "base/clock.h"

struct kq_http;

/** A request that is whole.  It lives until it is answered and sent. */
struct kq_http_request
{
  const char *method;
  const char *path;
  const char *host; /**< without a port; "" when it is missing */
  const char *body; /**< ended by a zero */
  size_t body_size;
  bool too_long; /**< the body exceeds the limit and is not kept */
  kq_usec arrived_at;
  kq_usec patience; /**< how long the caller waits, 0 when it says nothing */
  void *owner;      /**< for the handler */
};

/** An answer; BODY is copied. */
struct kq_http_answer
{
  unsigned status;
  const char *type;
  const char *body;
  size_t body_size;
  unsigned retry_s; /**< Retry-After, 0: none */
};

struct kq_http_handler
{
  void *arg;
  /** Takes REQUEST, and answers it now or later with kq_http_reply(). */
  void (*on_request) (void *arg, struct kq_http_request *request);
  /** The connection ended before the answer was given: REQUEST is freed
   *  after this call.  May be NULL.  */
  void (*on_gone) (void *arg, struct kq_http_request *request);
};

/** Binds ADDRESS ("ADDR:PORT").
 *  @return NULL with *ERR set to KQ_EINVAL, KQ_EIO or KQ_ENOMEM.  */
struct kq_http *kq_http_start (struct ev_loop *loop, const char *address,
                               const struct kq_http_handler *handler,
                               int *err);
void kq_http_stop (struct kq_http *http);

/** Answers REQUEST, once. */
void kq_http_reply (struct kq_http *http, struct kq_http_request *request,
                    const struct kq_http_answer *answer);

/** Sets the most bytes of a body that are kept. */
void kq_http_limit_body (struct kq_http *http, size_t bytes);

/** From now on answers ask callers to close their connections. */
void kq_http_close_softly (struct kq_http *http);

/** Whether answers are still being written. */
bool kq_http_is_sending (const struct kq_http *http);

#endif

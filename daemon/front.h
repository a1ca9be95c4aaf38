/** @file
 * The front: the thread that owns callers' sockets, the connections to
 * endpoints and the hops (connections for forwarded requests) between entry
 * hosts.
 *
 * Callers send HTTP/1.1 requests that name a service in the header
 * Kumquatrack-Service.  Optional headers: Kumquatrack-Deadline-Ms (1 to
 * 60000), Kumquatrack-Importance (0 to 9), Idempotency-Key (1 to 128
 * bytes), traceparent.  A response that the daemon itself generates has the
 * header Kumquatrack-Outcome (not-run, unknown or invalid) and a JSON body
 * with "outcome", "error", "text" and "trace".
 */
#ifndef KQ_DAEMON_FRONT_H
#define KQ_DAEMON_FRONT_H

#include <pthread.h>
#include <stddef.h>

#include "base/clock.h"
#include "base/name.h"
#include "core/core.h"

/** Maximum size in bytes of the body of a request or a response. */
#define KQ_FRONT_BODY_LIMIT ((size_t)1024 * 1024)

struct kq_front_settings
{
  struct kq_name host;
  struct kq_name zone;
  struct kq_name region;
  const char *listen;       /**< ADDR:PORT for callers */
  const char *hop_listen;   /**< ADDR:PORT for other entry hosts */
  kq_usec drain;            /**< maximum time that kq_front_stop() waits */
  unsigned max_connections; /**< of callers; 0: default, 8192 */
};

struct kq_front;

/** Binds the sockets and starts the thread.  Until the first view is
 *  published, all requests are refused as not run.
 *  @return the front, or NULL with *ERR set: KQ_EINVAL for a malformed
 *  address, KQ_EIO when a socket can't be bound, KQ_ENOMEM.  */
struct kq_front *kq_front_start (const struct kq_front_settings *settings,
                                 void *zmq_context, int *err);

/** Stops accepting requests, waits until those in flight have a response or
 *  the drain time is over, ends the thread and frees FRONT.  */
void kq_front_stop (struct kq_front *front);

/** Hands VIEW, a snapshot of ownership and configuration, over to the front's
 *  thread, which frees it.  Must not be called by two threads at the same time
 *  or during kq_front_stop().  */
void kq_front_publish (struct kq_front *front, struct kq_view *view);

/** Returns the front's thread, for reading its processor time. */
pthread_t kq_front_thread (const struct kq_front *front);

#endif

/** @file
 * Job API (kq_job_api_*).
 *
 * HTTP interface through which callers (clients of the service) submit, query
 * and cancel jobs. Each request is forwarded to the owner, the host that
 * manages the jobs; the caller gets the owner's reply as the response.
 */
#ifndef KQ_NODE_DESK_H
#define KQ_NODE_DESK_H

#include <ev.h>
#include <stdbool.h>

#include "node/hop.h"
#include "node/http.h"
#include "sched/sched.h"

struct kq_job_api;

/** Reply of an owner on this or another host. */
struct kq_job_api_reply
{
  uint64_t number; /**< number of the forwarded request */
  unsigned status; /**< HTTP status; 0: not the owner, and nothing was done */
  enum kq_sched_state state;
  unsigned pending; /**< number of jobs of the queue that have not started */
  int err;
  const KqNode__Tell *closures; /**< from another host: with the queues that
                                   its owner has closed; or NULL */
  int64_t retry_ms; /**< 429 and 503: when the caller should try again; 0:
                       unknown */
};

struct kq_job_api_handler
{
  void *arg;
  /** Sends MESSAGE to the owner on this or another host.
   *  kq_job_api_handle_reply() may be called before this returns, or later.
   *  @return false if no owner is known or it cannot be reached.  */
  bool (*on_forward) (void *arg, const KqNode__Ask *message);
  /** The owner has not replied to a request for some time. */
  void (*on_no_reply) (void *arg);
};

/** Listens on ADDRESS, "ADDR:PORT"; GUARD bounds what callers hold.
 *  @return NULL with *ERR set to KQ_EINVAL, KQ_EIO or KQ_ENOMEM.  */
struct kq_job_api *kq_job_api_create (struct ev_loop *loop,
                                      const char *address,
                                      const struct kq_job_api_handler *handler,
                                      struct kq_guard *guard, int *err);
/** Fails pending requests, writes all responses (kq_http_stop()) and closes
 * all connections.  */
void kq_job_api_destroy (struct kq_job_api *api);

/** Sets the configuration; CONFIG must outlive its use. */
void kq_job_api_configure (struct kq_job_api *api,
                           const struct kq_sched_config *config);

/** Completes the pending request that REPLY belongs to, or schedules that it
 *  is sent again if the sender of REPLY is not the owner.  */
void kq_job_api_handle_reply (struct kq_job_api *api,
                              const struct kq_job_api_reply *reply);

/** Sends all pending requests again, because the owner has changed. */
void kq_job_api_resend_pending (struct kq_job_api *api);

/** Makes all further responses ask callers to close their connections. */
void kq_job_api_disable_keep_alive (struct kq_job_api *api);

/** Registers the metrics of this module; must be called once. */
void kq_job_api_register_metrics (void);

/** Returns whether no request is pending and no response is being sent. */
bool kq_job_api_is_idle (const struct kq_job_api *api);

#endif

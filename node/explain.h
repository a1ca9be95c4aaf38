/** @file
 * Explanations of placements (kq_explain_*): the path /explain of the metrics
 * address. The owner answers from its state; other hosts forward the request
 * to it.
 */
#ifndef KQ_NODE_EXPLAIN_H
#define KQ_NODE_EXPLAIN_H

#include <ev.h>
#include <stdbool.h>

#include "node/hop.h"
#include "node/http.h"
#include "node/owner.h"
#include "term/term.h"

struct kq_explain;

/** What this host knows of the owner. */
struct kq_explain_host
{
  struct kq_owner *owner; /**< on this host, or NULL */
  const struct kq_term_owner *known;
  kq_usec last_heard_at; /**< when an owner last replied or became known */
};

struct kq_explain_handler
{
  void *arg;
  void (*on_host) (void *arg, struct kq_explain_host *host);
};

/** @return NULL when out of memory.  */
struct kq_explain *
kq_explain_create (struct ev_loop *loop, struct kq_hop *hop,
                   const struct kq_explain_handler *handler);
/** Fails pending requests. */
void kq_explain_destroy (struct kq_explain *explain);

/** Handles REQUEST, which HTTP has received, if its path is /explain.
 *  @return whether it is.  */
bool kq_explain_handle_http (struct kq_explain *explain, struct kq_http *http,
                             struct kq_http_request *request);

/** Forgets REQUEST, whose connection was closed. */
void kq_explain_drop (struct kq_explain *explain,
                      struct kq_http_request *request);

/** Answers the request MESSAGE of another host, of verb KQ_HOP_EXPLAIN. */
void kq_explain_handle_hop (struct kq_explain *explain,
                            const struct kq_hop_sender *sender,
                            const KqNode__Ask *message);

/** Completes the request that the reply MESSAGE belongs to.
 *  @return whether it is a reply to such a request.  */
bool kq_explain_handle_reply (struct kq_explain *explain,
                              const KqNode__Tell *message);

/** Registers the metrics of this module; must be called once. */
void kq_explain_register_metrics (void);

#endif

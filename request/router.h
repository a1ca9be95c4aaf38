/** @file
 * State of the router, shared by the files of request/.
 */
#ifndef KQ_REQUEST_ROUTER_H
#define KQ_REQUEST_ROUTER_H

#include <uthash.h>

#include "request/key.h"
#include "request/pool.h"
#include "request/request.h"

/** Maximum number of attempts per request, including the first one and a
 *  claim.  */
#define KQ_REQUEST_MAX_ATTEMPTS 4

/** Maximum number of attempts per request that may run, that is, without a
 *  claim.  */
#define KQ_REQUEST_MAX_RUNS 3

#define KQ_IMPORTANCE_COUNT 10

struct kq_attempt
{
  bool in_flight;
  bool needs_new_connection; /**< must use a new connection */
  bool stalled;              /**< already recorded as stalled */
  bool cancelling;           /**< its cancellation was requested */
  bool claim;                /**< only makes the key's backup store the key */
  kq_usec sent_at;
  struct kq_pool_worker *worker; /**< NULL if sent to peer */
  struct kq_pool_peer *peer;     /**< NULL if sent to worker */
};

/** A request, from its arrival until its last attempt has ended. */
struct kq_request
{
  uint64_t id;
  struct kq_name service;
  bool retryable; /**< may be sent again even if it may have run */
  bool forwarded; /**< received from another entry host */
  bool homed;     /**< sent to the home of its key */
  bool queued;
  bool replied;
  bool may_have_run; /**< an attempt ended with outcome unknown */
  int32_t importance;
  kq_usec deadline;
  kq_usec replied_at;
  uint32_t attempt_count;
  int err; /**< of the last attempt that ended */
  struct kq_attempt attempts[KQ_REQUEST_MAX_ATTEMPTS];
  struct kq_key_entry *key; /**< in progress; NULL if none */
  /** Hop address of the key's backup, or empty. */
  char backup_address[KQ_REQUEST_ADDRESS_SIZE];
  UT_hash_handle hh;
  struct kq_request *prev; /**< adjacent requests in the queue */
  struct kq_request *next;
};

struct kq_service
{
  struct kq_view_service view; /**< its list of workers is a copy */
  UT_hash_handle hh;
};

/** Queued requests: for each importance a list in order of deadline. */
struct kq_request_queue
{
  struct kq_request *lists[KQ_IMPORTANCE_COUNT];
  size_t counts[KQ_IMPORTANCE_COUNT];
  size_t count;
};

struct kq_request_router
{
  struct kq_request_settings settings;
  bool has_config;
  struct kq_request *requests; /**< by id */
  struct kq_service *services; /**< by name */
  struct kq_pool pool;
  struct kq_key_table keys;
  struct kq_request_queue queue;
  kq_usec service_time;       /**< moving average over answered attempts */
  int64_t retry_budget_milli; /**< thousandths of a retry or hedge */
  struct kq_request_counts counts;
};

/** Context of one call of kq_request_step(). */
struct kq_step
{
  struct kq_request_router *router;
  kq_usec now;
  struct kq_request_effects *out;
};

/** Adds REQUEST, which must not be in the queue. */
void kq_queue_add (struct kq_request_queue *queue, struct kq_request *request);

/** Removes REQUEST, which must be in the queue. */
void kq_queue_remove (struct kq_request_queue *queue,
                      struct kq_request *request);

/** Returns the request to serve next, or NULL. */
struct kq_request *kq_queue_first (const struct kq_request_queue *queue);

/** Returns the request to serve after REQUEST, or NULL. */
struct kq_request *kq_queue_next (const struct kq_request_queue *queue,
                                  const struct kq_request *request);

/** Returns, of the requests of the lowest importance, the one with the latest
 *  deadline, or NULL.  */
struct kq_request *kq_queue_last (const struct kq_request_queue *queue);

/** Returns the number of queued requests with at least this IMPORTANCE. */
size_t kq_queue_count_ahead (const struct kq_request_queue *queue,
                             int32_t importance);

/** Sends REQUEST to PEER, the home of its key.  It is not sent to any other
 *  host.  */
void kq_route_to_key_home (struct kq_step *step, struct kq_request *request,
                           struct kq_pool_peer *peer);

/** Asks the backup of REQUEST's key to store the key as claimed.
 *  @return false when there is no backup.  */
bool kq_route_claim_key (struct kq_step *step, struct kq_request *request);

/** Sends REQUEST to a worker or another entry host, queues it, or refuses
 *  it.  */
void kq_route_dispatch (struct kq_step *step, struct kq_request *request);

/** Sends a further attempt of REQUEST, which may have attempts in flight, if
 *  there is a free slot and the retry budget allows it.
 *  @return whether it was sent.  */
bool kq_route_retry (struct kq_step *step, struct kq_request *request);

/** Queues REQUEST, which must not have an attempt in flight, for another
 *  attempt if the retry budget allows it.
 *  @return whether it was queued.  */
bool kq_route_requeue (struct kq_step *step, struct kq_request *request);

/** Sends queued requests as far as there are free slots, and refuses those
 * that cannot meet their deadline.  */
void kq_route_dispatch_queued (struct kq_step *step);

/** Replies to REQUEST's caller, and frees REQUEST if no attempt is in flight.
 *  Takes over the reference to RESPONSE.  Aborts the process when OUTCOME is
 *  "not run" but the request may have run, or when a reply was already
 *  sent.  */
void kq_request_finish (struct kq_step *step, struct kq_request *request,
                        enum kq_outcome outcome, int err,
                        struct kq_response *response);

/** Returns a filter that matches the workers of REQUEST's service. */
struct kq_pool_filter
kq_request_filter (const struct kq_request_router *router,
                   const struct kq_request *request);

/** Returns whether an attempt of REQUEST is in flight. */
bool kq_request_is_in_flight (const struct kq_request *request);

#endif

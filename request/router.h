/** @file
 * The router's state, shared by the files of request/.
 */
#ifndef KQ_REQUEST_ROUTER_H
#define KQ_REQUEST_ROUTER_H

#include <uthash.h>

#include "request/key.h"
#include "request/pool.h"
#include "request/request.h"

/** Most attempts of one request, the first one and a claim included. */
#define KQ_REQUEST_ATTEMPTS 4

/** Most attempts that may run, of one request. */
#define KQ_REQUEST_TRIES 3

#define KQ_IMPORTANCE_COUNT 10

struct kq_attempt
{
  bool live;
  bool fresh;    /**< must go over a new connection */
  bool stalled;  /**< noted as stalled already */
  bool dropping; /**< its end was asked for */
  bool claim;    /**< only has the key remembered by another host */
  kq_usec sent_at;
  struct kq_pool_worker *worker; /**< or peer */
  struct kq_pool_peer *peer;
};

/** A request from its arrival until its last attempt has ended. */
struct kq_request
{
  uint64_t id;
  struct kq_name service;
  bool retryable; /**< may be sent again after it may have run */
  bool forwarded;
  bool homed; /**< another host decides about its key */
  bool queued;
  bool replied;
  bool maybe_run; /**< an attempt ended as unknown */
  int32_t importance;
  kq_usec deadline;
  kq_usec replied_at;
  uint32_t attempt_count;
  int err; /**< of the last attempt that ended */
  struct kq_attempt attempts[KQ_REQUEST_ATTEMPTS];
  struct kq_key_entry *key;           /**< in progress; NULL without a key */
  char heir[KQ_REQUEST_ADDRESS_SIZE]; /**< host that remembers the key too */
  UT_hash_handle hh;
  struct kq_request *prev; /**< neighbours in the queue */
  struct kq_request *next;
};

struct kq_service
{
  struct kq_view_service view; /**< with its own list of workers */
  UT_hash_handle hh;
};

/** Requests that wait: for each importance a list in order of deadline. */
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
  kq_usec service_time; /**< mean time of an answered attempt */
  int64_t budget_milli; /**< thousandths of an added request */
  struct kq_request_counts counts;
};

/** One step's context. */
struct kq_step
{
  struct kq_request_router *router;
  kq_usec now;
  struct kq_request_effects *out;
};

/** Adds REQUEST, which is not in the queue. */
void kq_queue_add (struct kq_request_queue *queue, struct kq_request *request);

/** Removes REQUEST, which is in the queue. */
void kq_queue_remove (struct kq_request_queue *queue,
                      struct kq_request *request);

/** Returns the request that is served next, or NULL. */
struct kq_request *kq_queue_first (const struct kq_request_queue *queue);

/** Returns the request that is served after REQUEST, or NULL. */
struct kq_request *kq_queue_next (const struct kq_request_queue *queue,
                                  const struct kq_request *request);

/** Returns the least important request with the latest deadline, or NULL. */
struct kq_request *kq_queue_last (const struct kq_request_queue *queue);

/** Returns how many requests are served before one of this IMPORTANCE. */
size_t kq_queue_ahead (const struct kq_request_queue *queue,
                       int32_t importance);

/** Sends REQUEST to the entry host that decides about its key.  It isn't
 *  sent anywhere else.  */
void kq_route_home (struct kq_step *step, struct kq_request *request,
                    struct kq_pool_peer *peer);

/** Has REQUEST's key remembered by the host that would decide about it if
 *  this one were gone.
 *  @return false when there is no such host.  */
bool kq_route_claim (struct kq_step *step, struct kq_request *request);

/** Sends REQUEST on, lets it wait, or refuses it. */
void kq_route_place (struct kq_step *step, struct kq_request *request);

/** Sends a further attempt of REQUEST, which may have live ones, if there
 *  is room and budget for it.
 *  @return whether it was sent.  */
bool kq_route_again (struct kq_step *step, struct kq_request *request);

/** Lets REQUEST, which has no live attempt, wait for an own worker if there
 *  is budget for it.
 *  @return whether it waits.  */
bool kq_route_wait (struct kq_step *step, struct kq_request *request);

/** Gives free slots to requests that wait. */
void kq_route_drain (struct kq_step *step);

/** Tells REQUEST's caller; frees REQUEST when none of its attempts lives.
 *  ANSWER's reference is taken.  Aborts when "not run" is not certain.  */
void kq_request_finish (struct kq_step *step, struct kq_request *request,
                        enum kq_outcome outcome, int err,
                        struct kq_answer *answer);

/** Returns the workers that serve REQUEST's service. */
struct kq_pool_filter
kq_request_filter (const struct kq_request_router *router,
                   const struct kq_request *request);

/** Returns whether an attempt of REQUEST is in flight. */
bool kq_request_live (const struct kq_request *request);

#endif

/** @file
 * The workers and entry hosts that requests can be sent to.
 *
 * Internal to request/.  Its rule, asserted at each admission: a worker has
 * no more requests than the slots and connections that are left to it, and
 * only while this host's authority over it lasts.
 */
#ifndef KQ_REQUEST_POOL_H
#define KQ_REQUEST_POOL_H

#include <uthash.h>

#include "request/request.h"

/** How far an entry host is away, by what a hop to it crosses. */
enum kq_pool_range
{
  KQ_RANGE_ZONE,   /**< in this availability zone */
  KQ_RANGE_REGION, /**< another availability zone of this region */
  KQ_RANGE_FAR,    /**< another region */
  KQ_RANGE_COUNT
};

/** A worker's endpoint. */
struct kq_pool_worker
{
  struct kq_view_worker view;
  bool listed;            /**< in the last view */
  int32_t admitted;       /**< attempts in flight */
  kq_usec full_until;     /**< its guard refused a request */
  kq_usec suspect_before; /**< connections opened earlier may be silent */
  int32_t failures;       /**< in a row */
  int32_t ejections;      /**< in a row */
  kq_usec ejected_until;
  UT_hash_handle hh;
  struct kq_pool_worker *next_unused; /**< while it is being removed */
};

/** The workers that a request may go to. */
struct kq_pool_filter
{
  const struct kq_name *names;
  size_t count; /**< 0: all workers */
};

/** Another entry host that owns workers. */
struct kq_pool_peer
{
  struct kq_name name;
  struct kq_name *owns; /**< its workers */
  size_t owned_count;
  char address[KQ_REQUEST_ADDRESS_SIZE];
  enum kq_pool_range range;
  bool listed;
  int32_t slots;        /**< of the workers that it owns */
  int32_t sent;         /**< attempts in flight */
  int32_t failures;     /**< in a row, other than for want of slots */
  kq_usec closed_until; /**< it refused or failed a request */
  int32_t free;         /**< slots that may be free there */
  kq_usec free_at;      /**< when it said so, or was last assumed to */
  UT_hash_handle hh;
  struct kq_pool_peer *next_unused; /**< while it is being removed */
};

struct kq_pool
{
  struct kq_pool_worker *workers; /**< by name */
  struct kq_pool_worker **owned;  /**< those this host owns */
  size_t owned_count;
  size_t cursor;              /**< where the next search in owned starts */
  struct kq_pool_peer *peers; /**< by address */
  int64_t ejected;            /**< ejections so far */
};

void kq_pool_clear (struct kq_pool *pool);

/** Takes over what VIEW says; SELF is this host.  For each new peer an
 *  effect KQ_REQ_FX_PEER goes to OUT.
 *  @return 0 or KQ_ENOMEM; the pool owns no worker then.  */
int kq_pool_update (struct kq_pool *pool, const struct kq_view *view,
                    const struct kq_request_settings *self,
                    struct kq_request_effects *out);

/** Returns the slots that WORKER has for this host at NOW, in use or not. */
int32_t kq_pool_slots (const struct kq_pool_worker *worker, kq_usec now);

/** FILTER, here and below, may be NULL: all workers.  Returns the slots of the
 *  own workers in FILTER that take requests at NOW.  */
int64_t kq_pool_all_slots (const struct kq_pool *pool, kq_usec now,
                           const struct kq_pool_filter *filter);

/** Returns the slots of other entry hosts that own a worker in FILTER. */
int64_t kq_pool_peer_slots (const struct kq_pool *pool,
                            const struct kq_pool_filter *filter);

/** Returns the own worker with the smallest part of its slots in use that
 *  can take a request at NOW and isn't AVOID; NULL when there is none.  */
struct kq_pool_worker *kq_pool_pick (struct kq_pool *pool, kq_usec now,
                                     const struct kq_pool_filter *filter,
                                     const struct kq_pool_worker *avoid);

/** Returns the entry host of RANGE with the most free slots that takes
 *  requests at NOW and isn't AVOID; NULL when there is none.  FULL: also one
 *  that has no free slots.  */
struct kq_pool_peer *kq_pool_pick_peer (struct kq_pool *pool, kq_usec now,
                                        enum kq_pool_range range,
                                        const struct kq_pool_filter *filter,
                                        const struct kq_pool_peer *avoid,
                                        bool full);

/** Notes that PEER did not run a request, for the reason ERR: it gets none
 *  for a while, longer each time unless it was full.  */
void kq_pool_close_peer (struct kq_pool_peer *peer, int err, kq_usec now);

/** Notes that PEER stated FREE slots at NOW. */
void kq_pool_note_free (struct kq_pool_peer *peer, int32_t free, kq_usec now);

/** Finds the entry host of this availability zone that decides about KEY:
 *  of those that own workers, the one whose name hashes highest with it.
 *  @return whether there is one; *PEER is NULL when it is this host.  */
bool kq_pool_home (const struct kq_pool *pool,
                   const struct kq_request_settings *self,
                   const struct kq_request_key *key,
                   struct kq_pool_peer **peer);

/** Finds the one that would decide if this host, which decides, were gone.
 *  @return NULL when there is no other in this zone.  */
struct kq_pool_peer *kq_pool_heir (const struct kq_pool *pool,
                                   const struct kq_request_key *key);

/** Counts one attempt in; aborts when the worker can't take it. */
void kq_pool_admit (struct kq_pool_worker *worker, kq_usec now);

/** Counts one attempt out; aborts when there was none. */
void kq_pool_release (struct kq_pool_worker *worker);

/** Notes a failure of the endpoint; may eject it for a while. */
void kq_pool_fail (struct kq_pool *pool, struct kq_pool_worker *worker,
                   kq_usec now);

/** Notes that the endpoint answered. */
void kq_pool_succeed (struct kq_pool_worker *worker);

#endif

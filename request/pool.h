/** @file
 * The workers and the other entry hosts to which requests can be sent.
 *
 * Internal to request/.  Invariant, checked at each admission: a worker has no
 * more attempts in flight than slots and connections are available to this
 * host, and none is admitted after this host's ownership of it has expired.
 */
#ifndef KQ_REQUEST_POOL_H
#define KQ_REQUEST_POOL_H

#include <uthash.h>

#include "request/request.h"

/** Network distance of an entry host. */
enum kq_pool_distance
{
  KQ_DISTANCE_ZONE,   /**< same availability zone */
  KQ_DISTANCE_REGION, /**< another availability zone of the same region */
  KQ_DISTANCE_REMOTE, /**< another region */
  KQ_DISTANCE_COUNT
};

/** A worker and its endpoint. */
struct kq_pool_worker
{
  struct kq_view_worker view;
  bool in_view;           /**< the last view contains it */
  int32_t admitted;       /**< attempts in flight */
  kq_usec full_until;     /**< no requests until then: it was overloaded */
  kq_usec suspect_before; /**< connections opened earlier may be dead */
  int32_t failures;       /**< consecutive */
  int32_t ejections;      /**< since the last answered request */
  kq_usec ejected_until;
  UT_hash_handle hh;
  struct kq_pool_worker *next_unused; /**< list of workers to free */
};

/** The workers to which a request may be sent. */
struct kq_pool_filter
{
  const struct kq_name *names;
  size_t count; /**< 0: all workers */
};

/** Another entry host that owns workers. */
struct kq_pool_peer
{
  struct kq_name name;
  struct kq_name *owned_names; /**< names of its workers */
  size_t owned_count;
  char address[KQ_REQUEST_ADDRESS_SIZE];
  enum kq_pool_distance distance;
  bool in_view;
  int32_t slots;         /**< sum over the workers that it owns */
  int32_t in_flight;     /**< attempts in flight */
  int32_t failures;      /**< consecutive, except refusals for lack of slots */
  kq_usec backoff_until; /**< no requests until then: it did not run one */
  int32_t free;          /**< estimate of its free slots */
  kq_usec free_at; /**< time of the estimate; 0: the peer reported none yet */
  UT_hash_handle hh;
  struct kq_pool_peer *next_unused; /**< list of peers to free */
};

struct kq_pool
{
  struct kq_pool_worker *workers; /**< by name */
  struct kq_pool_worker **owned;  /**< those this host owns */
  size_t owned_count;
  size_t cursor; /**< index in owned at which the last search started */
  struct kq_pool_peer *peers; /**< by address */
  int64_t ejected;            /**< total of ejections */
};

void kq_pool_clear (struct kq_pool *pool);

/** Applies VIEW; SELF identifies this host.  Appends an effect
 * KQ_REQ_FX_CONNECT to OUT for each new peer.
 *  @return 0; or KQ_ENOMEM, and the pool has none or only a part of the
 *  workers in VIEW.  */
int kq_pool_update (struct kq_pool *pool, const struct kq_view *view,
                    const struct kq_request_settings *self,
                    struct kq_request_effects *out);

/** Returns the number of slots of WORKER that are available to this host at
 *  NOW, including those in use.  */
int32_t kq_pool_slots (const struct kq_pool_worker *worker, kq_usec now);

/** Returns the sum of kq_pool_slots() over this host's own workers that match
 *  FILTER.  Here and below a FILTER of NULL matches all workers.  */
int64_t kq_pool_own_slots (const struct kq_pool *pool, kq_usec now,
                           const struct kq_pool_filter *filter);

/** Returns the sum of the slots of all other entry hosts that own a worker
 *  matching FILTER.  */
int64_t kq_pool_peer_slots (const struct kq_pool *pool,
                            const struct kq_pool_filter *filter);

/** Returns the own worker with the smallest share of its slots in use that has
 *  a free slot at NOW, matches FILTER and is not AVOID.
 *  @return NULL when there is none.  */
struct kq_pool_worker *
kq_pool_pick_worker (struct kq_pool *pool, kq_usec now,
                     const struct kq_pool_filter *filter,
                     const struct kq_pool_worker *avoid);

/** Returns the entry host at DISTANCE with the most free slots that may get a
 *  request at NOW, owns a worker matching FILTER and is not AVOID.  With
 *  ALLOW_FULL it need not have free slots.
 *  @return NULL when there is none.  */
struct kq_pool_peer *kq_pool_pick_peer (struct kq_pool *pool, kq_usec now,
                                        enum kq_pool_distance distance,
                                        const struct kq_pool_filter *filter,
                                        const struct kq_pool_peer *avoid,
                                        bool allow_full);

/** Records that PEER did not run a request because of ERR, and sends it none
 *  for a backoff time.  The time doubles with each consecutive error other
 *  than KQ_EREQ_OVERLOAD.  */
void kq_pool_back_off_peer (struct kq_pool_peer *peer, int err, kq_usec now);

/** Sets the estimate of PEER's free slots at NOW. */
void kq_pool_set_peer_free (struct kq_pool_peer *peer, int32_t free,
                            kq_usec now);

/** Finds the home of KEY: of the entry hosts in this availability zone that
 *  own workers, the one with the highest hash of its name and KEY (rendezvous
 *  hashing).
 *  @return whether there is one; *PEER is NULL when it is this host.  */
bool kq_pool_find_key_home (const struct kq_pool *pool,
                            const struct kq_request_settings *self,
                            const struct kq_request_key *key,
                            struct kq_pool_peer **peer);

/** Finds the backup of KEY, whose home is this host: the entry host that would
 *  be the home if this host failed.
 *  @return NULL when there is no other entry host in this zone.  */
struct kq_pool_peer *
kq_pool_find_key_backup (const struct kq_pool *pool,
                         const struct kq_request_key *key);

/** Counts an attempt as in flight.  Aborts the process when WORKER has no free
 *  slot.  */
void kq_pool_admit (struct kq_pool_worker *worker, kq_usec now);

/** Counts an attempt as ended.  Aborts the process when none is in flight. */
void kq_pool_release (struct kq_pool_worker *worker);

/** Records a failure of the endpoint.  Repeated failures eject it: it gets no
 *  requests for some time.  */
void kq_pool_record_failure (struct kq_pool *pool,
                             struct kq_pool_worker *worker, kq_usec now);

/** Records that the endpoint answered, which resets its failures and
 *  ejections.  */
void kq_pool_record_success (struct kq_pool_worker *worker);

#endif

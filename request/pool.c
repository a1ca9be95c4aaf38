#include "request/pool.h"

#include <stdlib.h>
#include <string.h>
#include <utlist.h>
#include <xxhash.h>

#include "base/err.h"

/** Consecutive failures after which an endpoint is ejected. */
#define EJECT_FAILURES 3
/** Duration of the first ejection.  It doubles with each further ejection, at
 *  most EJECT_MAX_DOUBLINGS times.  */
#define EJECT_TIME_US KQ_USEC_PER_SEC
#define EJECT_MAX_DOUBLINGS 5
/** Time for which a peer that was full gets no requests.  It doubles with each
 *  consecutive failure of another kind, at most PEER_BACKOFF_MAX_DOUBLINGS
 *  times.  */
#define PEER_BACKOFF_US (20 * KQ_USEC_PER_MSEC)
#define PEER_BACKOFF_MAX_DOUBLINGS 6
/** Maximum age of an estimate of a peer's free slots. */
#define PEER_FREE_MAX_AGE_US (100 * KQ_USEC_PER_MSEC)
/** Free slots assumed when the estimate is too old, so that this many requests
 *  probe whether the peer has free slots again.  */
#define PEER_FREE_PROBES 4
/** Slots assumed of a worker whose slot table only its owner has read.  They
 *  limit the requests that are forwarded; the owner queues or refuses requests
 *  according to the table.  */
#define ASSUMED_SLOTS 8

static void
copy_address (char *to, const char *from)
{
  memset (to, 0, KQ_REQUEST_ADDRESS_SIZE);
  memcpy (to, from, strnlen (from, KQ_REQUEST_ADDRESS_SIZE - 1));
}

static bool
filter_matches (const struct kq_pool_filter *filter,
                const struct kq_name *worker)
{
  if (filter == NULL || filter->count == 0)
    return true;
  for (size_t i = 0; i < filter->count; i++)
    if (kq_name_eq (&filter->names[i], worker))
      return true;
  return false;
}

static bool
owns_match (const struct kq_pool_peer *peer,
            const struct kq_pool_filter *filter)
{
  if (filter == NULL || filter->count == 0)
    return true;
  for (size_t i = 0; i < peer->owned_count; i++)
    if (filter_matches (filter, &peer->owned_names[i]))
      return true;
  return false;
}

static void
mark_all_not_in_view (struct kq_pool *pool)
{
  for (struct kq_pool_worker *w = pool->workers; w != NULL; w = w->hh.next)
    w->in_view = false;
  for (struct kq_pool_peer *p = pool->peers; p != NULL; p = p->hh.next)
    {
      p->in_view = false;
      p->slots = 0;
      p->owned_count = 0;
    }
}

/* Frees workers that are not in the view, unless attempts in flight still
   refer to them.  */
static void
free_unused_workers (struct kq_pool *pool)
{
  struct kq_pool_worker *unused = NULL;
  struct kq_pool_worker *worker;
  struct kq_pool_worker *next;

  HASH_ITER (hh, pool->workers, worker, next)
  if (!worker->in_view && worker->admitted == 0)
    {
      HASH_DEL (pool->workers, worker);
      LL_PREPEND2 (unused, worker, next_unused);
    }
  LL_FOREACH_SAFE2 (unused, worker, next, next_unused)
  free (worker);
}

static void
free_unused_peers (struct kq_pool *pool)
{
  struct kq_pool_peer *unused = NULL;
  struct kq_pool_peer *peer;
  struct kq_pool_peer *next;

  HASH_ITER (hh, pool->peers, peer, next)
  if (!peer->in_view && peer->in_flight == 0)
    {
      HASH_DEL (pool->peers, peer);
      LL_PREPEND2 (unused, peer, next_unused);
    }
  LL_FOREACH_SAFE2 (unused, peer, next, next_unused)
  {
    free (peer->owned_names);
    free (peer);
  }
}

void
kq_pool_clear (struct kq_pool *pool)
{
  mark_all_not_in_view (pool);
  for (struct kq_pool_worker *w = pool->workers; w != NULL; w = w->hh.next)
    w->admitted = 0;
  for (struct kq_pool_peer *p = pool->peers; p != NULL; p = p->hh.next)
    p->in_flight = 0;
  free_unused_workers (pool);
  free_unused_peers (pool);
  free (pool->owned);
  memset (pool, 0, sizeof *pool);
}

static struct kq_pool_worker *
find_or_add_worker (struct kq_pool *pool, const struct kq_view_worker *view)
{
  struct kq_pool_worker *worker;

  HASH_FIND_STR (pool->workers, view->name.text, worker);
  if (worker == NULL)
    {
      worker = calloc (1, sizeof *worker);
      if (worker == NULL)
        return NULL;
      worker->view = *view;
      HASH_ADD_STR (pool->workers, view.name.text, worker);
    }
  worker->view = *view;
  worker->in_view = true;
  return worker;
}

static enum kq_pool_distance
view_distance (const struct kq_view_worker *view,
               const struct kq_request_settings *self)
{
  if (kq_name_eq (&view->zone, &self->zone))
    return KQ_DISTANCE_ZONE;
  if (kq_name_eq (&view->region, &self->region))
    return KQ_DISTANCE_REGION;
  return KQ_DISTANCE_REMOTE;
}

static int
add_owned_name (struct kq_pool_peer *peer, const struct kq_name *worker)
{
  struct kq_name *grown
      = realloc (peer->owned_names, (peer->owned_count + 1) * sizeof *grown);

  if (grown == NULL)
    return KQ_ENOMEM;
  peer->owned_names = grown;
  peer->owned_names[peer->owned_count++] = *worker;
  return 0;
}

static int
add_to_peer (struct kq_pool *pool, const struct kq_view_worker *view,
             const struct kq_request_settings *self,
             struct kq_request_effects *out)
{
  struct kq_request_effect effect = { .kind = KQ_REQ_FX_CONNECT };
  struct kq_pool_peer *peer;

  if (view->leaving || view->owner_hop[0] == '\0'
      || kq_name_empty (&view->owner)
      || kq_name_eq (&view->owner, &self->host))
    return 0;
  HASH_FIND_STR (pool->peers, view->owner_hop, peer);
  if (peer == NULL)
    {
      peer = calloc (1, sizeof *peer);
      if (peer == NULL)
        return KQ_ENOMEM;
      copy_address (peer->address, view->owner_hop);
      HASH_ADD_STR (pool->peers, address, peer);
      copy_address (effect.u.peer, peer->address);
      kq_request_effects_push (out, &effect);
    }
  if (add_owned_name (peer, &view->name) != 0)
    return KQ_ENOMEM;
  peer->name = view->owner;
  peer->distance = view_distance (view, self);
  peer->in_view = true;
  peer->slots += view->slots > 0 ? view->slots : ASSUMED_SLOTS;
  if (peer->free_at == 0)
    peer->free = peer->slots;
  return 0;
}

int
kq_pool_update (struct kq_pool *pool, const struct kq_view *view,
                const struct kq_request_settings *self,
                struct kq_request_effects *out)
{
  int err = 0;

  pool->owned_count = 0;
  free (pool->owned);
  pool->owned
      = calloc (view->worker_count + 1, sizeof (struct kq_pool_worker *));
  if (pool->owned == NULL)
    return KQ_ENOMEM;
  mark_all_not_in_view (pool);
  for (size_t i = 0; i < view->worker_count && err == 0; i++)
    {
      struct kq_pool_worker *worker;

      if (!view->workers[i].owned)
        {
          err = add_to_peer (pool, &view->workers[i], self, out);
          continue;
        }
      worker = find_or_add_worker (pool, &view->workers[i]);
      if (worker == NULL)
        err = KQ_ENOMEM;
      else
        pool->owned[pool->owned_count++] = worker;
    }
  free_unused_workers (pool);
  free_unused_peers (pool);
  return err;
}

int32_t
kq_pool_slots (const struct kq_pool_worker *worker, kq_usec now)
{
  const struct kq_view_worker *view = &worker->view;
  int32_t slots = view->slots;

  if (!worker->in_view || !view->owned || view->leaving
      || now >= view->owned_until)
    return 0;
  if (now < view->reserved_until)
    slots -= view->reserved_slots;
  if (slots > view->connections)
    slots = view->connections;
  return slots > 0 ? slots : 0;
}

/* After an ejection an endpoint gets one request at a time until it has
   answered one.  */
static int32_t
usable_slots (const struct kq_pool_worker *worker, kq_usec now)
{
  int32_t slots = kq_pool_slots (worker, now);

  if (now < worker->full_until || now < worker->ejected_until)
    return 0;
  if (worker->ejections > 0 && slots > 1)
    return 1;
  return slots;
}

int64_t
kq_pool_own_slots (const struct kq_pool *pool, kq_usec now,
                   const struct kq_pool_filter *filter)
{
  int64_t sum = 0;

  for (size_t i = 0; i < pool->owned_count; i++)
    if (filter_matches (filter, &pool->owned[i]->view.name))
      sum += kq_pool_slots (pool->owned[i], now);
  return sum;
}

int64_t
kq_pool_peer_slots (const struct kq_pool *pool,
                    const struct kq_pool_filter *filter)
{
  int64_t sum = 0;

  for (struct kq_pool_peer *p = pool->peers; p != NULL; p = p->hh.next)
    if (owns_match (p, filter))
      sum += p->slots;
  return sum;
}

/* Compares the shares of slots in use of two workers without division. */
static bool
less_busy (const struct kq_pool_worker *a, int32_t a_slots,
           const struct kq_pool_worker *b, int32_t b_slots)
{
  return (int64_t)a->admitted * b_slots < (int64_t)b->admitted * a_slots;
}

struct kq_pool_worker *
kq_pool_pick_worker (struct kq_pool *pool, kq_usec now,
                     const struct kq_pool_filter *filter,
                     const struct kq_pool_worker *avoid)
{
  struct kq_pool_worker *best = NULL;
  int32_t best_slots = 0;

  if (pool->owned_count == 0)
    return NULL;
  pool->cursor = (pool->cursor + 1) % pool->owned_count;
  for (size_t i = 0; i < pool->owned_count; i++)
    {
      size_t index = (pool->cursor + i) % pool->owned_count;
      struct kq_pool_worker *worker = pool->owned[index];
      int32_t slots = usable_slots (worker, now);

      if (worker == avoid || worker->admitted >= slots
          || !filter_matches (filter, &worker->view.name))
        continue;
      if (best == NULL || less_busy (worker, slots, best, best_slots))
        {
          best = worker;
          best_slots = slots;
        }
      if (best->admitted == 0)
        break;
    }
  return best;
}

/* Returns the estimate of PEER's free slots.  If it is too old, assumes a few
   free slots, so that a few requests probe the peer.  */
static int32_t
current_peer_free (struct kq_pool_peer *peer, kq_usec now)
{
  if (now - peer->free_at > PEER_FREE_MAX_AGE_US
      && peer->free < PEER_FREE_PROBES)
    kq_pool_set_peer_free (peer, PEER_FREE_PROBES, now);
  return peer->free;
}

struct kq_pool_peer *
kq_pool_pick_peer (struct kq_pool *pool, kq_usec now,
                   enum kq_pool_distance distance,
                   const struct kq_pool_filter *filter,
                   const struct kq_pool_peer *avoid, bool allow_full)
{
  struct kq_pool_peer *best = NULL;

  for (struct kq_pool_peer *peer = pool->peers; peer != NULL;
       peer = peer->hh.next)
    {
      if (peer == avoid || !peer->in_view || peer->distance != distance
          || now < peer->backoff_until || peer->in_flight >= peer->slots
          || !owns_match (peer, filter))
        continue;
      if (current_peer_free (peer, now) <= 0 && !allow_full)
        continue;
      if (best == NULL || peer->free > best->free)
        best = peer;
    }
  return best;
}

void
kq_pool_back_off_peer (struct kq_pool_peer *peer, int err, kq_usec now)
{
  if (err != KQ_EREQ_OVERLOAD && peer->failures < PEER_BACKOFF_MAX_DOUBLINGS)
    peer->failures++;
  peer->backoff_until
      = now + PEER_BACKOFF_US * (INT64_C (1) << peer->failures);
}

void
kq_pool_set_peer_free (struct kq_pool_peer *peer, int32_t free, kq_usec now)
{
  peer->free = free;
  peer->free_at = now;
}

/* Weight of HOST for KEY in rendezvous hashing. */
static uint64_t
key_weight (const struct kq_name *host, const struct kq_request_key *key)
{
  return XXH3_64bits_withSeed (host->text, strlen (host->text), key->hash[0]);
}

struct kq_pool_peer *
kq_pool_find_key_backup (const struct kq_pool *pool,
                         const struct kq_request_key *key)
{
  struct kq_pool_peer *backup = NULL;
  uint64_t best = 0;

  for (struct kq_pool_peer *p = pool->peers; p != NULL; p = p->hh.next)
    {
      uint64_t weight = key_weight (&p->name, key);

      if (!p->in_view || p->distance != KQ_DISTANCE_ZONE
          || (backup != NULL && weight <= best))
        continue;
      backup = p;
      best = weight;
    }
  return backup;
}

bool
kq_pool_find_key_home (const struct kq_pool *pool,
                       const struct kq_request_settings *self,
                       const struct kq_request_key *key,
                       struct kq_pool_peer **peer)
{
  *peer = kq_pool_find_key_backup (pool, key);
  if (pool->owned_count == 0)
    return *peer != NULL;
  if (*peer != NULL
      && key_weight (&(*peer)->name, key) < key_weight (&self->host, key))
    *peer = NULL;
  return true;
}

void
kq_pool_admit (struct kq_pool_worker *worker, kq_usec now)
{
  if (worker->admitted >= kq_pool_slots (worker, now))
    abort ();
  worker->admitted++;
}

void
kq_pool_release (struct kq_pool_worker *worker)
{
  if (worker->admitted <= 0)
    abort ();
  worker->admitted--;
}

/* At least half of the workers always stay in use: if more than half of them
   fail, the cause is hardly the endpoints.  */
static bool
may_eject (const struct kq_pool *pool, kq_usec now)
{
  size_t ejected = 0;

  for (size_t i = 0; i < pool->owned_count; i++)
    if (now < pool->owned[i]->ejected_until)
      ejected++;
  return (ejected + 1) * 2 <= pool->owned_count;
}

void
kq_pool_record_failure (struct kq_pool *pool, struct kq_pool_worker *worker,
                        kq_usec now)
{
  int32_t doublings = worker->ejections;

  worker->failures++;
  if (worker->failures < EJECT_FAILURES || now < worker->ejected_until
      || !may_eject (pool, now))
    return;
  if (doublings > EJECT_MAX_DOUBLINGS)
    doublings = EJECT_MAX_DOUBLINGS;
  worker->ejected_until = now + EJECT_TIME_US * (INT64_C (1) << doublings);
  worker->ejections++;
  pool->ejected++;
}

void
kq_pool_record_success (struct kq_pool_worker *worker)
{
  worker->failures = 0;
  worker->ejections = 0;
}

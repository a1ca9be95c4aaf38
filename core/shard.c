/* Ownership of shards: acquiring, renewing and releasing the leases of their
   workers. */

#include <stdlib.h>
#include <string.h>

#include "base/err.h"
#include "core/internal.h"

/* Time that a preferred host must have been live before this host hands a
   shard over to it. */
#define SUCCESSOR_LIVE_MIN_US (3 * KQ_USEC_PER_SEC)

/* Maximum duration of the acquisition of a majority of the leases while
   another host holds one of them, in multiples of the lease's time to live;
   then the host backs off. */
#define ACQUIRE_TTLS 3

/* Maximum time that requests of an earlier owner occupy slots. */
#define RESERVATION_MAX_US (10 * KQ_USEC_PER_SEC)

static void
send_lease (struct kq_core *core, struct kq_node *node, kq_usec ttl,
            kq_usec task_ttl)
{
  struct kq_effect effect = { .kind = KQ_FX_LEASE };

  effect.u.lease.worker = node->name;
  effect.u.lease.term = kq_lease_term (node->lease);
  effect.u.lease.serial = kq_lease_serial (node->lease);
  effect.u.lease.ttl = ttl;
  effect.u.lease.task_ttl = task_ttl;
  kq_effects_add (core->out, &effect);
}

/* Whether the worker has replied recently.  The attempts of a silent worker
   are not extended: it may receive the requests while its replies are lost. */
static bool
replies_recently (const struct kq_core *core, const struct kq_node *node)
{
  kq_usec replied_at = kq_lease_replied_at (node->lease);

  return replied_at != 0
         && core->now < replied_at + core->settings.lease_ttl
                            + 2 * core->settings.renew_interval;
}

static void
request_lease (struct kq_core *core, struct kq_node *node)
{
  bool extends_attempts = node->shard->owner && replies_recently (core, node);

  if (!kq_lease_may_request (node->lease, core->now))
    return;
  kq_lease_note_request (node->lease, core->now, extends_attempts);
  send_lease (core, node, core->settings.lease_ttl,
              extends_attempts ? core->settings.task_ttl : 0);
}

static bool
is_renewal_due (const struct kq_core *core, const struct kq_node *node)
{
  kq_usec requested_at = kq_lease_requested_at (node->lease);
  kq_usec lapses_at = kq_lease_lapses_at (node->lease);

  if (requested_at == 0
      || core->now >= requested_at + core->settings.renew_interval)
    return true;
  return lapses_at != 0 && core->now > lapses_at && requested_at <= lapses_at;
}

static bool
holds_any_lease (const struct kq_core *core, const struct kq_shard *shard)
{
  for (size_t i = 0; i < shard->count; i++)
    if (kq_lease_held (shard->leases[i], core->now))
      return true;
  return false;
}

static void
release_leases (struct kq_core *core, struct kq_shard *shard)
{
  for (size_t i = 0; i < shard->count; i++)
    {
      struct kq_node *node = shard->nodes[i];

      if (!kq_lease_held (node->lease, core->now))
        continue;
      send_lease (core, node, 0, 0);
      kq_lease_release (node->lease, core->now);
      node->table_valid = false;
    }
  core->view_dirty = true;
}

void
kq_shard_end_ownership (struct kq_core *core, struct kq_shard *shard)
{
  shard->owner = false;
  shard->epoch = 0;
  shard->all_attempts_known = false;
  shard->unclaimed_since = core->now;
  kq_append_drop (core, &shard->epoch_append);
  kq_append_drop (core, &shard->bind_append);
  kq_append_drop (core, &shard->release_append);
  /* An END record is valid in any epoch: its append goes on. */
  if (shard->end_append != NULL)
    shard->end_append->owner_ref = NULL;
  shard->end_append = NULL;
  kq_task_unload (core, shard);
  for (size_t i = 0; i < shard->count; i++)
    if (!kq_lease_held (shard->leases[i], core->now))
      {
        shard->nodes[i]->table_valid = false;
        kq_task_drop_node (core, shard->nodes[i]);
      }
  core->view_dirty = true;
}

void
kq_shard_relinquish (struct kq_core *core, struct kq_shard *shard)
{
  release_leases (core, shard);
  if (shard->owner)
    kq_shard_end_ownership (core, shard);
  for (size_t i = 0; i < shard->count; i++)
    kq_task_drop_node (core, shard->nodes[i]);
  shard->acquiring_since = 0;
}

static void
expire_node (struct kq_core *core, struct kq_node *node)
{
  if (kq_lease_held (node->lease, core->now))
    return;
  if (kq_worker_attempts (node->worker) != NULL)
    kq_task_drop_node (core, node);
  if (node->table_valid)
    core->view_dirty = true;
  node->table_valid = false;
}

void
kq_shard_expire (struct kq_core *core)
{
  struct kq_shard *shard;
  struct kq_shard *next;

  HASH_ITER (hh, core->shards, shard, next)
  {
    if (shard->owner
        && core->now >= kq_lease_majority_until (shard->leases, shard->count))
      kq_shard_end_ownership (core, shard);
    for (size_t i = 0; i < shard->count && !shard->owner; i++)
      expire_node (core, shard->nodes[i]);
  }
}

static void
enqueue_epoch (struct kq_core *core, struct kq_shard *shard)
{
  struct kq_record record = { .kind = KQ_REC_EPOCH };

  record.u.epoch.shard = shard->name;
  record.u.epoch.epoch = kq_jobs_epoch (core->jobs, &shard->name);
  shard->epoch_append = kq_append_enqueue (core, &record);
  if (shard->epoch_append != NULL)
    shard->epoch_append->owner_ref = &shard->epoch_append;
}

static void
begin_ownership (struct kq_core *core, struct kq_shard *shard)
{
  shard->owner = true;
  shard->owner_since = core->now;
  shard->epoch = 0;
  shard->all_attempts_known = false;
  shard->acquiring_since = 0;
  kq_task_load (core, shard);
  /* While this host held only a minority of the leases, its requests extended
     no running attempts: extend them now. */
  for (size_t i = 0; i < shard->count; i++)
    if (kq_lease_held (shard->leases[i], core->now))
      request_lease (core, shard->nodes[i]);
  enqueue_epoch (core, shard);
  core->next_heartbeat_at = core->now;
  core->view_dirty = true;
}

static void
update_largest (struct kq_shard *shard)
{
  struct kq_resources largest = { 0, 0, 0 };

  for (size_t i = 0; i < shard->count; i++)
    {
      const struct kq_resources *capacity
          = &kq_worker_table (shard->nodes[i]->worker)->capacity;

      if (capacity->cpu_milli > largest.cpu_milli)
        largest.cpu_milli = capacity->cpu_milli;
      if (capacity->memory_mb > largest.memory_mb)
        largest.memory_mb = capacity->memory_mb;
      if (capacity->accelerators > largest.accelerators)
        largest.accelerators = capacity->accelerators;
    }
  shard->largest = largest;
  shard->largest_known = true;
}

static void
reserve_slots (struct kq_core *core, struct kq_node *node,
               const struct kq_lease_reply *reply)
{
  if (reply->table.busy_slots == 0)
    return;
  node->reserved_slots = reply->table.busy_slots;
  node->reserved_until = core->now + RESERVATION_MAX_US;
}

static void
handle_grant (struct kq_core *core, struct kq_node *node,
              const struct kq_lease_reply *reply, bool was_held)
{
  struct kq_shard *shard = node->shard;

  node->table_valid = true;
  if (!was_held)
    reserve_slots (core, node, reply);
  kq_task_apply_table (core, node, reply);
  update_largest (shard);
  if (!shard->owner
      && core->now < kq_lease_majority_until (shard->leases, shard->count))
    begin_ownership (core, shard);
  core->view_dirty = true;
}

void
kq_shard_handle_lease_reply (struct kq_core *core,
                             const struct kq_lease_reply *reply)
{
  struct kq_node *node;
  uint64_t term;
  bool was_held;

  HASH_FIND_STR (core->nodes, reply->worker.text, node);
  if (node == NULL)
    return;
  term = kq_lease_term (node->lease);
  was_held = kq_lease_held (node->lease, core->now);
  switch (kq_lease_apply_reply (node->lease, core->now, reply))
    {
    case KQ_LEASE_GRANTED:
      if (kq_lease_held (node->lease, core->now))
        handle_grant (core, node, reply, was_held);
      break;
    case KQ_LEASE_REFUSED:
      kq_shard_expire (core);
      kq_worker_update_table (node->worker, &reply->table);
      /* Only the term was outdated: request again with the current one. */
      if (kq_lease_term (node->lease) > term && reply->remaining <= 0
          && !core->stopping
          && (node->shard->owner || node->shard->acquiring_since != 0))
        request_lease (core, node);
      break;
    case KQ_LEASE_IGNORED:
      break;
    }
}

void
kq_shard_handle_epoch (struct kq_core *core, int64_t offset,
                       const struct kq_record *record)
{
  struct kq_shard *shard;

  HASH_FIND_STR (core->shards, record->u.epoch.shard.text, shard);
  if (shard == NULL || !shard->owner)
    return;
  if (shard->epoch_append != NULL
      && kq_name_eq (&shard->epoch_append->record->id, &record->id))
    {
      shard->epoch = (uint64_t)offset;
      shard->epoch_at = core->now;
      shard->attempt_serial = 0;
      return;
    }
  /* A late record of an earlier owner has replaced this host's epoch, and has
     caused the records that this host appended under it to be rejected. */
  kq_shard_renew_epoch (core, shard);
}

void
kq_shard_renew_epoch (struct kq_core *core, struct kq_shard *shard)
{
  kq_append_drop (core, &shard->bind_append);
  kq_append_drop (core, &shard->release_append);
  for (struct kq_run *run = shard->runs; run != NULL; run = run->next)
    run->releasing = false;
  shard->epoch = 0;
  if (shard->epoch_append == NULL)
    enqueue_epoch (core, shard);
}

/* Whether another host holds a lease of the shard. */
static bool
is_contended (const struct kq_core *core, const struct kq_shard *shard)
{
  for (size_t i = 0; i < shard->count; i++)
    if (kq_lease_lapses_at (shard->leases[i]) > core->now)
      return true;
  return false;
}

bool
kq_shard_is_claimed (const struct kq_shard *shard, kq_usec now)
{
  return shard->claimed_at != 0 && now < shard->claimed_at + KQ_MEMBER_TTL_US;
}

static bool
is_claimed_by_live_host (const struct kq_core *core,
                         const struct kq_shard *shard)
{
  const struct kq_member *member;

  if (shard->claimed_at == 0
      || core->now >= shard->claimed_at + KQ_MEMBER_TTL_US)
    return false;
  HASH_FIND_STR (core->members, shard->claimed_by.text, member);
  return member != NULL && kq_member_is_live (core, member);
}

/* Ends an acquisition that competes with another host's, and backs off for a
   time with jitter. */
static void
back_off (struct kq_core *core, struct kq_shard *shard)
{
  uint64_t jitter
      = kq_member_hash (shard->name.text, core->lease_settings.holder.text)
        ^ (uint64_t)core->now;

  kq_shard_relinquish (core, shard);
  shard->backoff_until
      = core->now + core->settings.lease_ttl
        + (kq_usec)(jitter % (uint64_t)(2 * core->settings.lease_ttl));
}

static bool
may_acquire (struct kq_core *core, struct kq_shard *shard, int rank)
{
  if (is_claimed_by_live_host (core, shard))
    {
      shard->unclaimed_since = core->now;
      return false;
    }
  if (core->now < shard->backoff_until)
    return false;
  return core->now >= shard->unclaimed_since
                          + (kq_usec)2 * rank * core->settings.lease_ttl;
}

static void
request_due_leases (struct kq_core *core, struct kq_shard *shard)
{
  for (size_t i = 0; i < shard->count; i++)
    if (is_renewal_due (core, shard->nodes[i]))
      request_lease (core, shard->nodes[i]);
}

static void
tick_candidate (struct kq_core *core, struct kq_shard *shard, int rank)
{
  if (!may_acquire (core, shard, rank))
    {
      if (holds_any_lease (core, shard))
        kq_shard_relinquish (core, shard);
      shard->acquiring_since = 0;
      return;
    }
  if (shard->acquiring_since == 0)
    shard->acquiring_since = core->now;
  if (core->now
          > shard->acquiring_since + ACQUIRE_TTLS * core->settings.lease_ttl
      && is_contended (core, shard))
    {
      back_off (core, shard);
      return;
    }
  request_due_leases (core, shard);
}

/* Whether the preferred host among the others has been live for at least
   SUCCESSOR_LIVE_MIN_US, so that the shard can be handed over to it. */
static bool
has_stable_successor (const struct kq_core *core, const struct kq_shard *shard)
{
  const struct kq_member *member;
  uint64_t best_hash = 0;
  const struct kq_member *successor = NULL;

  for (member = core->members; member != NULL; member = member->hh.next)
    {
      uint64_t hash = kq_member_hash (shard->name.text, member->name.text);

      if (!kq_member_is_live (core, member) || member->leaving
          || kq_core_is_drained (core, &member->name)
          || !kq_name_eq (&member->zone, &shard->zone)
          || kq_name_eq (&member->name, &core->settings.host))
        continue;
      if (successor == NULL || hash > best_hash)
        {
          successor = member;
          best_hash = hash;
        }
    }
  return successor != NULL
         && core->now >= successor->live_since + SUCCESSOR_LIVE_MIN_US;
}

static bool
has_pending_start (const struct kq_shard *shard)
{
  for (size_t i = 0; i < shard->count; i++)
    {
      const struct kq_attempt *attempt
          = kq_worker_attempts (shard->nodes[i]->worker);

      for (; attempt != NULL; attempt = attempt->next)
        if (attempt->phase == KQ_PHASE_PENDING)
          return true;
    }
  return false;
}

static void
tick_owner (struct kq_core *core, struct kq_shard *shard, int rank)
{
  if (rank > 0 && !has_pending_start (shard)
      && has_stable_successor (core, shard))
    {
      kq_shard_relinquish (core, shard);
      shard->backoff_until = core->now + core->settings.lease_ttl;
      core->next_heartbeat_at = core->now;
      return;
    }
  request_due_leases (core, shard);
  kq_task_tick (core, shard);
  kq_start_tick (core, shard);
}

/* Releases SHARD in a planned stop: once no start or END record is pending, or
   after the lease's time to live at the latest. */
static void
tick_stopping (struct kq_core *core, struct kq_shard *shard)
{
  bool is_overdue
      = core->now > core->stop_requested_at + core->settings.lease_ttl;

  if (shard->owner && !is_overdue
      && (has_pending_start (shard) || shard->end_append != NULL))
    {
      request_due_leases (core, shard);
      kq_task_tick (core, shard);
      return;
    }
  if (shard->owner || holds_any_lease (core, shard))
    kq_shard_relinquish (core, shard);
}

void
kq_shard_tick (struct kq_core *core)
{
  struct kq_shard *shard;
  struct kq_shard *next;

  HASH_ITER (hh, core->shards, shard, next)
  {
    int rank;

    if (!kq_name_eq (&shard->zone, &core->settings.zone))
      continue;
    if (core->stopping)
      {
        tick_stopping (core, shard);
        continue;
      }
    rank = kq_member_rank (core, shard);
    if (shard->owner)
      tick_owner (core, shard, rank);
    else
      tick_candidate (core, shard, rank);
  }
}

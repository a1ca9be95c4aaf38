/* Shards: which of them this host tries to own, owns and gives up. */

#include <stdlib.h>
#include <string.h>

#include "base/err.h"
#include "core/internal.h"

/* A preferred host must have been live this long before it is handed to. */
#define STABLE_AFTER (3 * KQ_USEC_PER_SEC)

/* Lease lengths that a host tries for a majority before it rests. */
#define SEEK_TTLS 3

/* Longest time that an earlier owner's requests occupy slots. */
#define RESERVE_MAX (10 * KQ_USEC_PER_SEC)

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

/* Whether the worker has answered lately.  A silent one's attempts are not
   extended: the answers may be lost, not the requests. */
static bool
answers (const struct kq_core *core, const struct kq_node *node)
{
  kq_usec heard = kq_lease_answered_at (node->lease);

  return heard != 0
         && core->now < heard + core->settings.lease_ttl
                            + 2 * core->settings.renew_every;
}

static void
ask (struct kq_core *core, struct kq_node *node)
{
  bool extends = node->shard->owner && answers (core, node);

  if (!kq_lease_may_ask (node->lease, core->now))
    return;
  kq_lease_ask (node->lease, core->now, extends);
  send_lease (core, node, core->settings.lease_ttl,
              extends ? core->settings.task_ttl : 0);
}

static bool
is_due (const struct kq_core *core, const struct kq_node *node)
{
  kq_usec asked = kq_lease_asked_at (node->lease);
  kq_usec lapses = kq_lease_lapses_at (node->lease);

  if (asked == 0 || core->now >= asked + core->settings.renew_every)
    return true;
  return lapses != 0 && core->now > lapses && asked <= lapses;
}

static bool
any_held (const struct kq_core *core, const struct kq_shard *shard)
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
      node->known = false;
    }
  core->view_dirty = true;
}

void
kq_shard_lose (struct kq_core *core, struct kq_shard *shard)
{
  shard->owner = false;
  shard->epoch = 0;
  shard->all_clear = false;
  shard->unclaimed_since = core->now;
  kq_append_drop (core, &shard->epoch_append);
  kq_append_drop (core, &shard->bind);
  kq_append_drop (core, &shard->release);
  if (shard->end != NULL)
    shard->end->slot = NULL; /* an end counts from any epoch */
  shard->end = NULL;
  kq_task_unload (core, shard);
  for (size_t i = 0; i < shard->count; i++)
    if (!kq_lease_held (shard->leases[i], core->now))
      {
        shard->nodes[i]->known = false;
        kq_task_drop_node (core, shard->nodes[i]);
      }
  core->view_dirty = true;
}

void
kq_shard_give_up (struct kq_core *core, struct kq_shard *shard)
{
  release_leases (core, shard);
  if (shard->owner)
    kq_shard_lose (core, shard);
  for (size_t i = 0; i < shard->count; i++)
    kq_task_drop_node (core, shard->nodes[i]);
  shard->seeks_since = 0;
}

static void
expire_node (struct kq_core *core, struct kq_node *node)
{
  if (kq_lease_held (node->lease, core->now))
    return;
  if (kq_worker_attempts (node->worker) != NULL)
    kq_task_drop_node (core, node);
  if (node->known)
    core->view_dirty = true;
  node->known = false;
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
      kq_shard_lose (core, shard);
    for (size_t i = 0; i < shard->count && !shard->owner; i++)
      expire_node (core, shard->nodes[i]);
  }
}

static void
want_epoch (struct kq_core *core, struct kq_shard *shard)
{
  struct kq_record record = { .kind = KQ_REC_EPOCH };

  record.u.epoch.shard = shard->name;
  record.u.epoch.epoch = kq_jobs_epoch (core->jobs, &shard->name);
  shard->epoch_append = kq_append_want (core, &record);
  if (shard->epoch_append != NULL)
    shard->epoch_append->slot = &shard->epoch_append;
}

static void
gain (struct kq_core *core, struct kq_shard *shard)
{
  shard->owner = true;
  shard->owner_since = core->now;
  shard->epoch = 0;
  shard->all_clear = false;
  shard->seeks_since = 0;
  kq_task_load (core, shard);
  /* Running attempts were not extended by a minority: do it at once. */
  for (size_t i = 0; i < shard->count; i++)
    if (kq_lease_held (shard->leases[i], core->now))
      ask (core, shard->nodes[i]);
  want_epoch (core, shard);
  core->heartbeat_at = core->now;
  core->view_dirty = true;
}

static void
note_largest (struct kq_shard *shard)
{
  struct kq_size largest = { 0, 0, 0 };

  for (size_t i = 0; i < shard->count; i++)
    {
      const struct kq_size *capacity
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
               const struct kq_lease_answer *answer)
{
  if (answer->table.busy_slots == 0)
    return;
  node->reserved_slots = answer->table.busy_slots;
  node->reserved_until = core->now + RESERVE_MAX;
}

static void
take_grant (struct kq_core *core, struct kq_node *node,
            const struct kq_lease_answer *answer, bool was_held)
{
  struct kq_shard *shard = node->shard;

  node->known = true;
  if (!was_held)
    reserve_slots (core, node, answer);
  kq_task_table (core, node, answer);
  note_largest (shard);
  if (!shard->owner
      && core->now < kq_lease_majority_until (shard->leases, shard->count))
    gain (core, shard);
  core->view_dirty = true;
}

void
kq_shard_lease_answer (struct kq_core *core,
                       const struct kq_lease_answer *answer)
{
  struct kq_node *node;
  uint64_t term;
  bool was_held;

  HASH_FIND_STR (core->nodes, answer->worker.text, node);
  if (node == NULL)
    return;
  term = kq_lease_term (node->lease);
  was_held = kq_lease_held (node->lease, core->now);
  switch (kq_lease_answer (node->lease, core->now, answer))
    {
    case KQ_LEASE_GRANTED:
      if (kq_lease_held (node->lease, core->now))
        take_grant (core, node, answer, was_held);
      break;
    case KQ_LEASE_REFUSED:
      kq_shard_expire (core);
      kq_worker_report (node->worker, &answer->table);
      /* Only the term was wrong: ask again with the right one. */
      if (kq_lease_term (node->lease) > term && answer->left <= 0
          && !core->stopping
          && (node->shard->owner || node->shard->seeks_since != 0))
        ask (core, node);
      break;
    case KQ_LEASE_IGNORED:
      break;
    }
}

void
kq_shard_epoch_read (struct kq_core *core, int64_t offset,
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
  /* An earlier owner's late record: what was asked for under the epoch that
     it replaces is void now, so take a new one. */
  kq_shard_renew_epoch (core, shard);
}

void
kq_shard_renew_epoch (struct kq_core *core, struct kq_shard *shard)
{
  kq_append_drop (core, &shard->bind);
  kq_append_drop (core, &shard->release);
  for (struct kq_run *run = shard->runs; run != NULL; run = run->next)
    run->releasing = false;
  shard->epoch = 0;
  if (shard->epoch_append == NULL)
    want_epoch (core, shard);
}

/* Whether another host holds a lease of the shard now. */
static bool
contended (const struct kq_core *core, const struct kq_shard *shard)
{
  for (size_t i = 0; i < shard->count; i++)
    if (kq_lease_lapses_at (shard->leases[i]) > core->now)
      return true;
  return false;
}

bool
kq_shard_claimed (const struct kq_shard *shard, kq_usec now)
{
  return shard->claimed_at != 0 && now < shard->claimed_at + KQ_MEMBER_TTL;
}

static bool
claimed_by_other (const struct kq_core *core, const struct kq_shard *shard)
{
  const struct kq_member *member;

  if (shard->claimed_at == 0 || core->now >= shard->claimed_at + KQ_MEMBER_TTL)
    return false;
  HASH_FIND_STR (core->members, shard->claimed_by.text, member);
  return member != NULL && kq_member_live (core, member);
}

/* Ends a try for a majority that another host's try keeps from success. */
static void
rest (struct kq_core *core, struct kq_shard *shard)
{
  uint64_t jitter = kq_member_hash (shard->name.text, core->terms.holder.text)
                    ^ (uint64_t)core->now;

  kq_shard_give_up (core, shard);
  shard->rests_until
      = core->now + core->settings.lease_ttl
        + (kq_usec)(jitter % (uint64_t)(2 * core->settings.lease_ttl));
}

static bool
seeks (struct kq_core *core, struct kq_shard *shard, int rank)
{
  if (claimed_by_other (core, shard))
    {
      shard->unclaimed_since = core->now;
      return false;
    }
  if (core->now < shard->rests_until)
    return false;
  return core->now >= shard->unclaimed_since
                          + (kq_usec)2 * rank * core->settings.lease_ttl;
}

static void
ask_all (struct kq_core *core, struct kq_shard *shard)
{
  for (size_t i = 0; i < shard->count; i++)
    if (is_due (core, shard->nodes[i]))
      ask (core, shard->nodes[i]);
}

static void
tick_seeker (struct kq_core *core, struct kq_shard *shard, int rank)
{
  if (!seeks (core, shard, rank))
    {
      if (any_held (core, shard))
        kq_shard_give_up (core, shard);
      shard->seeks_since = 0;
      return;
    }
  if (shard->seeks_since == 0)
    shard->seeks_since = core->now;
  if (core->now > shard->seeks_since + SEEK_TTLS * core->settings.lease_ttl
      && contended (core, shard))
    {
      rest (core, shard);
      return;
    }
  ask_all (core, shard);
}

/* Whether some host that comes before this one could take the shard over
   for good. */
static bool
has_stable_heir (const struct kq_core *core, const struct kq_shard *shard)
{
  const struct kq_member *member;
  uint64_t best = 0;
  const struct kq_member *heir = NULL;

  for (member = core->members; member != NULL; member = member->hh.next)
    {
      uint64_t hash = kq_member_hash (shard->name.text, member->name.text);

      if (!kq_member_live (core, member) || member->leaving
          || kq_core_drained (core, &member->name)
          || !kq_name_eq (&member->zone, &shard->zone)
          || kq_name_eq (&member->name, &core->settings.host))
        continue;
      if (heir == NULL || hash > best)
        {
          heir = member;
          best = hash;
        }
    }
  return heir != NULL && core->now >= heir->live_since + STABLE_AFTER;
}

static bool
has_pending (const struct kq_shard *shard)
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
  if (rank > 0 && !has_pending (shard) && has_stable_heir (core, shard))
    {
      kq_shard_give_up (core, shard);
      shard->rests_until = core->now + core->settings.lease_ttl;
      core->heartbeat_at = core->now;
      return;
    }
  ask_all (core, shard);
  kq_task_tick (core, shard);
  kq_start_tick (core, shard);
}

/* Hands over what can be handed over; after a while also the rest. */
static void
tick_stopping (struct kq_core *core, struct kq_shard *shard)
{
  bool late = core->now > core->stop_at + core->settings.lease_ttl;

  if (shard->owner && !late && (has_pending (shard) || shard->end != NULL))
    {
      ask_all (core, shard);
      kq_task_tick (core, shard);
      return;
    }
  if (shard->owner || any_held (core, shard))
    kq_shard_give_up (core, shard);
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
      tick_seeker (core, shard, rank);
  }
}

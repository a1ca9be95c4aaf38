/* Membership: the entry hosts, from their heartbeats and the platform's list
   of hosts. */

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <xxhash.h>

#include "base/err.h"
#include "core/internal.h"

/* Minimum interval between sends of the configuration to the same host. */
#define CONFIG_SEND_INTERVAL_US (500 * KQ_USEC_PER_MSEC)

uint64_t
kq_member_hash (const char *a, const char *b)
{
  return XXH64 (a, strlen (a), XXH64 (b, strlen (b), 0));
}

static struct kq_member *
get_or_create (struct kq_core *core, const struct kq_name *name)
{
  struct kq_member *member;

  HASH_FIND_STR (core->members, name->text, member);
  if (member != NULL)
    return member;
  member = calloc (1, sizeof *member);
  if (member == NULL)
    return NULL;
  member->name = *name;
  HASH_ADD_STR (core->members, name.text, member);
  return member;
}

bool
kq_member_is_live (const struct kq_core *core, const struct kq_member *member)
{
  return member->last_heartbeat_at != 0 && !member->has_left
         && core->now < member->last_heartbeat_at + KQ_MEMBER_TTL_US;
}

static bool
is_self (const struct kq_core *core, const struct kq_member *member)
{
  return kq_name_eq (&member->name, &core->settings.host);
}

/* Whether MEMBER may own shards: live, not leaving and not drained. */
static bool
may_own (const struct kq_core *core, const struct kq_member *member)
{
  return kq_member_is_live (core, member) && !member->leaving
         && !kq_core_is_drained (core, &member->name);
}

int
kq_member_rank (const struct kq_core *core, const struct kq_shard *shard)
{
  const struct kq_member *member;
  const struct kq_member *next;
  struct kq_member *self;
  uint64_t own_hash
      = kq_member_hash (shard->name.text, core->settings.host.text);
  bool self_excluded;
  int rank = 0;

  HASH_FIND_STR (core->members, core->settings.host.text, self);
  self_excluded = (self != NULL && self->leaving)
                  || kq_core_is_drained (core, &core->settings.host);
  for (member = core->members; member != NULL; member = next)
    {
      next = member->hh.next;
      if (is_self (core, member) || !may_own (core, member)
          || !kq_name_eq (&member->zone, &shard->zone))
        continue;
      if (self_excluded
          || kq_member_hash (shard->name.text, member->name.text) > own_hash)
        rank++;
    }
  return rank;
}

bool
kq_member_is_refresher (const struct kq_core *core, const char *name)
{
  const struct kq_member *member;
  uint64_t own_hash = kq_member_hash (name, core->settings.host.text);

  for (member = core->members; member != NULL; member = member->hh.next)
    if (!is_self (core, member) && may_own (core, member)
        && kq_member_hash (name, member->name.text) > own_hash)
      return false;
  return true;
}

/* Notes that FROM's heartbeat claims SHARD.  The view takes a worker's owner
   from the claims, so a new claim changes it. */
static void
apply_claim (struct kq_core *core, struct kq_shard *shard,
             const struct kq_name *from)
{
  if (!kq_name_eq (&shard->claimed_by, from)
      || core->now >= shard->claimed_at + KQ_MEMBER_TTL_US)
    core->view_dirty = true;
  shard->claimed_by = *from;
  shard->claimed_at = core->now;
}

static void
apply_claims (struct kq_core *core, const struct kq_peer_message *message)
{
  struct kq_shard *shard;
  struct kq_shard *next;

  for (size_t i = 0; i < message->shard_count; i++)
    {
      const struct kq_shard_state *state = &message->shards[i];

      HASH_FIND_STR (core->shards, state->name.text, shard);
      if (shard == NULL)
        continue;
      apply_claim (core, shard, &message->from);
      shard->largest = state->largest;
      shard->largest_known = true;
    }
  HASH_ITER (hh, core->shards, shard, next)
  if (shard->claimed_at != 0 && shard->claimed_at != core->now
      && kq_name_eq (&shard->claimed_by, &message->from))
    {
      shard->claimed_at = 0;
      core->view_dirty = true;
    }
}

/* Sends the current configuration to TO, or to all hosts when TO is NULL. */
static void
send_config (struct kq_core *core, const struct kq_name *to)
{
  struct kq_effect effect = { .kind = KQ_FX_PEER };
  struct kq_peer_message *message = &effect.u.peer.message;
  struct kq_record record = { .kind = KQ_REC_CONFIG };

  record.host = *kq_config_host (core->config);
  record.id = record.host;
  record.u.config.base = kq_config_base (core->config);
  record.u.config.text = kq_config_text (core->config);
  if (to != NULL)
    effect.u.peer.to = *to;
  message->kind = KQ_PEER_RECORD;
  message->from = core->settings.host;
  message->zone = core->settings.zone;
  message->incarnation = core->settings.incarnation;
  message->offset = kq_config_revision (core->config);
  message->revision = message->offset;
  message->record = kq_effects_copy_record (core->out, &record);
  if (message->record != NULL)
    kq_effects_add (core->out, &effect);
}

static void
apply_heartbeat (struct kq_core *core, struct kq_member *member,
                 const struct kq_peer_message *message)
{
  if (!kq_member_is_live (core, member))
    member->live_since = core->now;
  member->has_left = false;
  member->last_heartbeat_at = core->now;
  member->zone = message->zone;
  member->revision = message->revision;
  member->offset = message->offset;
  apply_claims (core, message);
  if (message->revision < kq_config_revision (core->config)
      && core->now >= member->config_sent_at + CONFIG_SEND_INTERVAL_US)
    {
      member->config_sent_at = core->now;
      send_config (core, &member->name);
    }
}

static void
apply_peer_config (struct kq_core *core, const struct kq_peer_message *message)
{
  const struct kq_record *record = message->record;

  if (record == NULL || record->kind != KQ_REC_CONFIG
      || record->u.config.text == NULL)
    return;
  if (kq_config_restore (core->config, message->offset, record->u.config.base,
                         &record->host, record->u.config.text)
      != 0)
    return;
  core->config_received_at = core->now;
  kq_shard_configure (core);
}

void
kq_member_handle_message (struct kq_core *core,
                          const struct kq_peer_message *message)
{
  struct kq_member *member;

  if (kq_name_eq (&message->from, &core->settings.host))
    return;
  member = get_or_create (core, &message->from);
  if (member == NULL || message->incarnation < member->incarnation)
    return;
  if (message->incarnation > member->incarnation)
    {
      member->incarnation = message->incarnation;
      member->has_left = false;
    }
  switch (message->kind)
    {
    case KQ_PEER_HEARTBEAT:
      /* Ignore a heartbeat that arrives after the sender's leave message. */
      if (!member->has_left)
        apply_heartbeat (core, member, message);
      break;
    case KQ_PEER_RECORD:
      apply_peer_config (core, message);
      break;
    case KQ_PEER_LEAVE:
      member->has_left = true;
      apply_claims (core, message);
      break;
    }
}

const struct kq_listed_worker *
kq_member_find_worker (const struct kq_core *core, const struct kq_name *name)
{
  const struct kq_listed_worker *listed;

  HASH_FIND_STR (core->listed_workers, name->text, listed);
  return listed;
}

bool
kq_node_is_leaving (const struct kq_core *core, const struct kq_node *node)
{
  return (node->listed != NULL && node->listed->entry.leaving)
         || kq_core_is_drained (core, &node->name);
}

/* Stores ENTRY also for a worker that is not configured yet: the host list may
   arrive before the configuration. */
static void
store_worker_entry (struct kq_core *core, const struct kq_host_entry *entry)
{
  struct kq_listed_worker *listed;
  struct kq_node *node;

  HASH_FIND_STR (core->listed_workers, entry->name.text, listed);
  if (listed != NULL)
    {
      listed->entry = *entry;
      return;
    }
  listed = calloc (1, sizeof *listed);
  if (listed == NULL)
    return;
  listed->entry = *entry;
  HASH_ADD_STR (core->listed_workers, entry.name.text, listed);
  HASH_FIND_STR (core->nodes, entry->name.text, node);
  if (node != NULL)
    node->listed = listed;
}

void
kq_member_update_hosts (struct kq_core *core,
                        const struct kq_host_entry *entries, size_t count)
{
  for (size_t i = 0; i < count; i++)
    {
      struct kq_member *member;

      if (entries[i].worker)
        {
          store_worker_entry (core, &entries[i]);
          continue;
        }
      member = get_or_create (core, &entries[i].name);
      if (member == NULL)
        continue;
      member->leaving = entries[i].leaving;
      if (kq_name_empty (&member->zone))
        member->zone = entries[i].zone;
      memcpy (member->hop, entries[i].endpoint, sizeof member->hop);
    }
  core->view_dirty = true;
}

/* Returns a hash of the names of the live entry hosts that does not depend on
   their order. */
static uint64_t
membership_hash (const struct kq_core *core)
{
  const struct kq_member *member;
  uint64_t hash = kq_member_hash (core->settings.host.text, "");

  for (member = core->members; member != NULL; member = member->hh.next)
    if (!is_self (core, member) && kq_member_is_live (core, member))
      hash += kq_member_hash (member->name.text, "");
  return hash;
}

static void
send_to_all (struct kq_core *core, enum kq_peer_kind kind,
             const struct kq_shard_state *states, size_t count)
{
  struct kq_effect effect = { .kind = KQ_FX_PEER };
  struct kq_peer_message *message = &effect.u.peer.message;

  message->kind = kind;
  message->from = core->settings.host;
  message->zone = core->settings.zone;
  message->incarnation = core->settings.incarnation;
  message->view = membership_hash (core);
  message->offset = core->offset;
  message->revision = kq_config_revision (core->config);
  message->shards
      = kq_effects_copy (core->out, states, count * sizeof *states);
  message->shard_count = message->shards == NULL ? 0 : count;
  kq_effects_add (core->out, &effect);
}

static void
send_heartbeat (struct kq_core *core)
{
  struct kq_shard_state *states;
  struct kq_shard *shard;
  struct kq_shard *next;
  size_t count = 0;

  states = calloc (HASH_COUNT (core->shards) + 1, sizeof *states);
  if (states == NULL)
    return;
  HASH_ITER (hh, core->shards, shard, next)
  if (shard->owner)
    {
      states[count].name = shard->name;
      states[count].epoch = shard->epoch;
      states[count++].largest = shard->largest;
    }
  send_to_all (core, KQ_PEER_HEARTBEAT, states, count);
  free (states);
}

void
kq_member_tick (struct kq_core *core)
{
  if (core->stopping || core->now < core->next_heartbeat_at)
    return;
  core->next_heartbeat_at = core->now + KQ_HEARTBEAT_INTERVAL_US;
  send_heartbeat (core);
}

void
kq_member_send_leave (struct kq_core *core)
{
  send_to_all (core, KQ_PEER_LEAVE, NULL, 0);
}

/* HASH_CLEAR frees the table and leaves the items linked. */
static void
destroy_listed (struct kq_core *core)
{
  struct kq_listed_worker *listed = core->listed_workers;

  HASH_CLEAR (hh, core->listed_workers);
  while (listed != NULL)
    {
      struct kq_listed_worker *next = listed->hh.next;

      free (listed);
      listed = next;
    }
}

void
kq_member_destroy_all (struct kq_core *core)
{
  struct kq_member *member = core->members;

  HASH_CLEAR (hh, core->members);
  while (member != NULL)
    {
      struct kq_member *next = member->hh.next;

      free (member);
      member = next;
    }
  destroy_listed (core);
}

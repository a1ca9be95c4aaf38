/* Creates and destroys shards and workers according to the current
   configuration. */

#include <stdlib.h>
#include <string.h>

#include "base/err.h"
#include "core/internal.h"

_Static_assert(KQ_CONFIG_MAX_SHARD_WORKERS <= KQ_LEASE_MAX_WORKERS,
               "a shard that is accepted can be owned");

static void
destroy_node (struct kq_core *core, struct kq_node *node)
{
  kq_task_drop_node (core, node);
  HASH_DEL (core->nodes, node);
  kq_worker_destroy (node->worker);
  kq_lease_destroy (node->lease);
  free (node);
}

static void
destroy_shard (struct kq_core *core, struct kq_shard *shard)
{
  for (size_t i = 0; i < shard->count; i++)
    destroy_node (core, shard->nodes[i]);
  HASH_DEL (core->shards, shard);
  free (shard->nodes);
  free (shard->leases);
  free (shard);
}

void
kq_shard_destroy_all (struct kq_core *core)
{
  struct kq_shard *shard;
  struct kq_shard *next;

  HASH_ITER (hh, core->shards, shard, next)
  {
    kq_task_unload (core, shard);
    destroy_shard (core, shard);
  }
}

static bool
has_same_workers (const struct kq_core *core, const struct kq_shard *shard,
                  const struct kq_config_shard *configured)
{
  if (shard->count != configured->worker_count)
    return false;
  for (size_t i = 0; i < shard->count; i++)
    {
      const struct kq_node *node;

      HASH_FIND_STR (core->nodes, configured->workers[i].text, node);
      if (node == NULL || node->shard != shard)
        return false;
    }
  return kq_name_eq (&shard->zone, &configured->zone);
}

static const struct kq_config_shard *
find_configured_shard (const struct kq_config_document *document,
                       const struct kq_name *name)
{
  for (size_t i = 0; i < document->shard_count; i++)
    if (kq_name_eq (&document->shards[i].name, name))
      return &document->shards[i];
  return NULL;
}

static struct kq_node *
create_node (struct kq_core *core, struct kq_shard *shard,
             const struct kq_name *name)
{
  struct kq_node *node = calloc (1, sizeof *node);

  if (node == NULL)
    return NULL;
  node->name = *name;
  node->shard = shard;
  node->listed = kq_member_find_worker (core, name);
  node->worker = kq_worker_create (name);
  node->lease = kq_lease_create (&core->lease_settings);
  if (node->worker == NULL || node->lease == NULL)
    {
      kq_worker_destroy (node->worker);
      kq_lease_destroy (node->lease);
      free (node);
      return NULL;
    }
  HASH_ADD_STR (core->nodes, name.text, node);
  return node;
}

static void
create_shard (struct kq_core *core, const struct kq_config_shard *configured)
{
  struct kq_shard *shard = calloc (1, sizeof *shard);

  if (shard == NULL)
    return;
  shard->name = configured->name;
  shard->zone = configured->zone;
  shard->unclaimed_since = core->now;
  shard->nodes = calloc (configured->worker_count, sizeof (struct kq_node *));
  shard->leases
      = calloc (configured->worker_count, sizeof (struct kq_lease *));
  HASH_ADD_STR (core->shards, name.text, shard);
  if (shard->nodes == NULL || shard->leases == NULL)
    return;
  for (size_t i = 0; i < configured->worker_count; i++)
    {
      struct kq_node *node
          = create_node (core, shard, &configured->workers[i]);

      if (node == NULL)
        return;
      shard->nodes[shard->count] = node;
      shard->leases[shard->count++] = node->lease;
    }
}

static bool
has_shard (const struct kq_core *core, const struct kq_name *name)
{
  const struct kq_shard *shard;

  HASH_FIND_STR (core->shards, name->text, shard);
  return shard != NULL;
}

void
kq_shard_configure (struct kq_core *core)
{
  const struct kq_config_document *document
      = kq_config_document (core->config);
  struct kq_shard *shard;
  struct kq_shard *next;

  if (document == NULL
      || core->config_applied == kq_config_revision (core->config))
    return;
  core->config_applied = kq_config_revision (core->config);
  kq_placement_configure (core, document);
  HASH_ITER (hh, core->shards, shard, next)
  {
    const struct kq_config_shard *configured
        = find_configured_shard (document, &shard->name);

    if (configured != NULL && has_same_workers (core, shard, configured))
      continue;
    /* Don't release the leases: a release could arrive after the worker was
       leased again. */
    kq_shard_end_ownership (core, shard);
    destroy_shard (core, shard);
  }
  for (size_t i = 0; i < document->shard_count; i++)
    {
      const struct kq_config_shard *configured = &document->shards[i];

      if (!has_shard (core, &configured->name))
        create_shard (core, configured);
    }
  core->view_dirty = true;
}

/* Snapshot of workers and services for the request path. */

#include <stdlib.h>
#include <string.h>

#include "base/err.h"
#include "core/internal.h"

/* Returns the entry host of lease holder HOLDER: the text before the last
   '/'. */
static struct kq_name
holder_host (const struct kq_name *holder)
{
  struct kq_name host = *holder;
  char *slash = strrchr (host.text, '/');

  if (slash != NULL)
    *slash = '\0';
  return host;
}

static void
fill_owner (const struct kq_core *core, const struct kq_node *node,
            kq_usec now, struct kq_view_worker *worker)
{
  const struct kq_shard *shard = node->shard;
  const struct kq_member *member;

  if (worker->owned)
    worker->owner = core->settings.host;
  else if (kq_lease_lapses_at (node->lease) > now)
    worker->owner = holder_host (kq_lease_holder (node->lease));
  else if (kq_shard_is_claimed (shard, now))
    worker->owner = shard->claimed_by;
  HASH_FIND_STR (core->members, worker->owner.text, member);
  if (member != NULL)
    memcpy (worker->owner_hop, member->hop, sizeof worker->owner_hop);
}

static void
fill_worker (const struct kq_core *core, const struct kq_node *node,
             kq_usec now, struct kq_view_worker *worker)
{
  const struct kq_worker_table *table = kq_worker_table (node->worker);

  worker->name = node->name;
  worker->zone = node->shard->zone;
  worker->owned = kq_lease_held (node->lease, now);
  worker->leaving = kq_node_is_leaving (core, node);
  worker->owned_until = kq_lease_authority_until (node->lease);
  worker->reserved_until = node->reserved_until;
  worker->reserved_slots
      = now < node->reserved_until ? node->reserved_slots : 0;
  worker->slots = table->slots;
  worker->connections = table->connections;
  if (node->listed != NULL)
    {
      worker->region = node->listed->entry.region;
      memcpy (worker->endpoint, node->listed->entry.endpoint,
              sizeof worker->endpoint);
    }
  fill_owner (core, node, now, worker);
}

static int
copy_workers (const struct kq_config_service *from, struct kq_view_service *to)
{
  if (from->worker_count == 0)
    return 0;
  to->workers = calloc (from->worker_count, sizeof *to->workers);
  if (to->workers == NULL)
    return KQ_ENOMEM;
  memcpy (to->workers, from->workers,
          from->worker_count * sizeof *to->workers);
  to->worker_count = from->worker_count;
  return 0;
}

static int
fill_services (const struct kq_core *core, struct kq_view *view)
{
  int err = 0;
  const struct kq_config_document *document
      = kq_config_document (core->config);

  for (size_t i = 0; i < view->service_count && err == 0; i++)
    {
      view->services[i].name = document->services[i].name;
      view->services[i].importance = document->services[i].importance;
      view->services[i].deadline_ms = document->services[i].deadline_ms;
      view->services[i].idempotent = document->services[i].idempotent;
      err = copy_workers (&document->services[i], &view->services[i]);
    }
  return err;
}

struct kq_view *
kq_core_view (const struct kq_core *core, kq_usec now)
{
  const struct kq_config_document *document
      = kq_config_document (core->config);
  struct kq_view *view = calloc (1, sizeof *view);
  const struct kq_node *node;

  if (view == NULL)
    return NULL;
  view->revision = kq_config_revision (core->config);
  view->service_count = document == NULL ? 0 : document->service_count;
  view->workers = calloc (HASH_COUNT (core->nodes) + 1, sizeof *view->workers);
  view->services = calloc (view->service_count + 1, sizeof *view->services);
  if (view->workers == NULL || view->services == NULL)
    {
      kq_view_free (view);
      return NULL;
    }
  for (node = core->nodes; node != NULL; node = node->hh.next)
    fill_worker (core, node, now, &view->workers[view->worker_count++]);
  if (fill_services (core, view) != 0)
    {
      kq_view_free (view);
      return NULL;
    }
  return view;
}

void
kq_view_free (struct kq_view *view)
{
  if (view == NULL)
    return;
  for (size_t i = 0; view->services != NULL && i < view->service_count; i++)
    free (view->services[i].workers);
  free (view->workers);
  free (view->services);
  free (view);
}

/* Checks that a new document doesn't change the shards of the current one.

   The owner of a shard holds leases of a majority of its workers.  If two
   hosts knew the same shard with different workers, both could hold a
   majority, so the workers of a shard never change while its name is in
   use.  */

#include <stdio.h>

#include "base/err.h"
#include "config/document.h"

static const struct kq_config_shard *
find_shard (const struct kq_config_document *document,
            const struct kq_name *name)
{
  for (size_t i = 0; i < document->shard_count; i++)
    if (kq_name_eq (&document->shards[i].name, name))
      return &document->shards[i];
  return NULL;
}

static bool
has_worker (const struct kq_config_shard *shard, const struct kq_name *name)
{
  for (size_t i = 0; i < shard->worker_count; i++)
    if (kq_name_eq (&shard->workers[i], name))
      return true;
  return false;
}

bool
kq_config_shard_equal (const struct kq_config_shard *a,
                       const struct kq_config_shard *b)
{
  if (a->worker_count != b->worker_count || !kq_name_eq (&a->zone, &b->zone))
    return false;
  for (size_t i = 0; i < a->worker_count; i++)
    if (!has_worker (b, &a->workers[i]))
      return false;
  return true;
}

int
kq_config_document_check_update (const struct kq_config_document *current,
                                 const struct kq_config_document *document,
                                 struct kq_config_error *error)
{
  for (size_t i = 0; i < document->shard_count; i++)
    {
      const struct kq_config_shard *shard = &document->shards[i];
      const struct kq_config_shard *old = find_shard (current, &shard->name);

      if (old == NULL || kq_config_shard_equal (old, shard))
        continue;
      if (error != NULL)
        snprintf (error->path, sizeof error->path, "shards[%zu].workers", i);
      return KQ_ECONFIG_SCHEMA;
    }
  return 0;
}

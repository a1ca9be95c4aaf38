/* The configuration after a gap in the log.

   A CONFIG record is rejected unless it is based on the current revision.
   After a gap that revision is unknown, because its record may have been
   removed.  The current configuration is appended again before retention
   removes it; hence the revision that was current at the gap's end is the
   highest base before the gap's end that a later record names.  CONFIG records
   are therefore stored until the log was read to its end, and applied then. */

#include <stdlib.h>

#include <utlist.h>

#include "base/err.h"
#include "core/internal.h"
#include "core/record.h"

struct kq_deferred_config
{
  int64_t offset;
  struct kq_record *record;
  struct kq_deferred_config *prev, *next;
};

int
kq_catchup_store (struct kq_core *core, int64_t offset,
                  const struct kq_record *record)
{
  struct kq_deferred_config *deferred = calloc (1, sizeof *deferred);

  if (deferred == NULL)
    return KQ_ENOMEM;
  deferred->offset = offset;
  deferred->record = kq_record_copy (record);
  if (deferred->record == NULL)
    {
      free (deferred);
      return KQ_ENOMEM;
    }
  DL_APPEND (core->deferred_configs, deferred);
  return 0;
}

void
kq_catchup_clear (struct kq_core *core)
{
  struct kq_deferred_config *deferred = core->deferred_configs;

  core->deferred_configs = NULL;
  while (deferred != NULL)
    {
      struct kq_deferred_config *next = deferred->next;

      kq_record_free (deferred->record);
      free (deferred);
      deferred = next;
    }
}

/* Returns the revision that was current at the end of the gap. */
static int64_t
revision_at_gap_end (const struct kq_core *core)
{
  const struct kq_deferred_config *deferred;
  int64_t revision = 0;

  DL_FOREACH (core->deferred_configs, deferred)
  if (deferred->record->u.config.base < core->gap_end
      && deferred->record->u.config.base > revision)
    revision = deferred->record->u.config.base;
  return revision;
}

static int
apply_deferred (struct kq_core *core,
                const struct kq_deferred_config *deferred, bool accepted)
{
  const struct kq_record *record = deferred->record;

  /* A copy has the revision of its original. */
  if (record->u.config.copy)
    return kq_config_restore (core->config, record->u.config.base,
                              record->u.config.base, &record->host,
                              record->u.config.text);
  if (accepted)
    return kq_config_restore (core->config, deferred->offset,
                              record->u.config.base, &record->host,
                              record->u.config.text);
  return kq_config_apply (core->config, deferred->offset,
                          record->u.config.base, &record->host,
                          record->u.config.text, NULL);
}

void
kq_catchup_apply (struct kq_core *core)
{
  int64_t gap_revision = revision_at_gap_end (core);
  bool base_known = kq_config_revision (core->config) >= gap_revision;
  const struct kq_deferred_config *deferred;

  DL_FOREACH (core->deferred_configs, deferred)
  {
    if (base_known)
      apply_deferred (core, deferred, false);
    else if (deferred->record->u.config.base == gap_revision)
      base_known = apply_deferred (core, deferred, true) == 0;
  }
  kq_catchup_clear (core);
  core->gap_end = 0;
  kq_shard_configure (core);
}

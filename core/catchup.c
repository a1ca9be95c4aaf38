/* The configuration after a gap in the log.

   A record that is read after a gap can't be judged at once: it is void when
   it was not made from the revision in force, and that one was removed.  What
   was in force before the gap's end is the highest base before it that a
   record names, because the configuration in force is appended again before
   retention removes it.  So these records are kept until the log's end was
   read.  */

#include <stdlib.h>

#include <utlist.h>

#include "base/err.h"
#include "core/internal.h"
#include "core/record.h"

struct kq_late_config
{
  int64_t offset;
  struct kq_record *record;
  struct kq_late_config *prev, *next;
};

int
kq_catchup_keep (struct kq_core *core, int64_t offset,
                 const struct kq_record *record)
{
  struct kq_late_config *late = calloc (1, sizeof *late);

  if (late == NULL)
    return KQ_ENOMEM;
  late->offset = offset;
  late->record = kq_record_copy (record);
  if (late->record == NULL)
    {
      free (late);
      return KQ_ENOMEM;
    }
  DL_APPEND (core->late_configs, late);
  return 0;
}

void
kq_catchup_drop (struct kq_core *core)
{
  struct kq_late_config *late = core->late_configs;

  core->late_configs = NULL;
  while (late != NULL)
    {
      struct kq_late_config *next = late->next;

      kq_record_free (late->record);
      free (late);
      late = next;
    }
}

/* Returns the revision that was in force when the gap ended. */
static int64_t
in_force_before (const struct kq_core *core)
{
  const struct kq_late_config *late;
  int64_t revision = 0;

  DL_FOREACH (core->late_configs, late)
  if (late->record->u.config.base < core->gap_end
      && late->record->u.config.base > revision)
    revision = late->record->u.config.base;
  return revision;
}

static int
apply (struct kq_core *core, const struct kq_late_config *late, bool judged)
{
  const struct kq_record *record = late->record;

  /* A copy has the revision that it repeats. */
  if (record->u.config.copy)
    return kq_config_restore (core->config, record->u.config.base,
                              record->u.config.base, &record->host,
                              record->u.config.text);
  if (judged)
    return kq_config_restore (core->config, late->offset,
                              record->u.config.base, &record->host,
                              record->u.config.text);
  return kq_config_apply (core->config, late->offset, record->u.config.base,
                          &record->host, record->u.config.text, NULL);
}

void
kq_catchup_end (struct kq_core *core)
{
  int64_t before = in_force_before (core);
  bool knows = kq_config_revision (core->config) >= before;
  const struct kq_late_config *late;

  DL_FOREACH (core->late_configs, late)
  {
    if (knows)
      apply (core, late, false);
    else if (late->record->u.config.base == before)
      knows = apply (core, late, true) == 0;
  }
  kq_catchup_drop (core);
  core->gap_end = 0;
  kq_shard_configure (core);
}

#include "node/zones.h"

#include <stdio.h>

#include "base/err.h"
#include "log/log.h"
#include "metrics/metrics.h"
#include "platform/site.h"

/* Maximum length of a key in a log line. */
#define LOGGED_KEY_BYTES 80

static struct kq_metric malformed_count
    = { .name = "kq_malformed_evacuations_total",
        .help = "Requests to evacuate a zone that were ignored." };

void
kq_zones_register_metrics (void)
{
  kq_metric_register (&malformed_count);
}

void
kq_zones_begin_newest (struct kq_zones *zones)
{
  zones->reading_newest = true;
  zones->newest.count = 0;
}

static void
report_ignored (const struct kq_zones *zones, const struct kq_store_row *row,
                int err)
{
  char key[LOGGED_KEY_BYTES + 1];

  if (row->offset < zones->seen_end)
    return;
  snprintf (key, sizeof key, "%.*s", (int)row->key_size, row->key);
  kq_metric_add (&malformed_count, 1);
  kq_log (KQ_LOG_WARN, "watch", "invalid evacuation ignored", err, "key", key,
          NULL);
}

void
kq_zones_apply (struct kq_zones *zones, const struct kq_store_row *row)
{
  struct kq_sched_zones *set
      = zones->reading_newest ? &zones->newest : &zones->evacuated;
  char name[KQ_SCHED_NAME_SIZE];

  switch (kq_site_evacuation_read (row->key, row->key_size, row->value,
                                   row->size, name))
    {
    case KQ_SITE_NO_EVACUATION:
      break;
    case KQ_SITE_EVACUATE:
      if (kq_sched_zones_add (set, name) != 0)
        report_ignored (zones, row, KQ_ENOMEM);
      break;
    case KQ_SITE_TAKE_BACK:
      kq_sched_zones_remove (set, name);
      break;
    case KQ_SITE_MALFORMED_EVACUATION:
      report_ignored (zones, row, KQ_ESYNTAX);
      if (kq_sched_zones_find (&zones->evacuated, name) >= 0)
        kq_sched_zones_add (set, name);
      break;
    }
  if (row->offset >= zones->next_offset)
    zones->next_offset = row->offset + 1;
}

void
kq_zones_adopt (struct kq_zones *zones, const struct kq_sched_zones *evacuated,
                int64_t offset)
{
  zones->evacuated = *evacuated;
  zones->reading_newest = false;
  if (offset > zones->next_offset)
    zones->next_offset = offset;
  zones->seen_end = zones->next_offset;
}

void
kq_zones_complete (struct kq_zones *zones)
{
  if (zones->reading_newest)
    zones->evacuated = zones->newest;
  zones->reading_newest = false;
  zones->seen_end = zones->next_offset;
}

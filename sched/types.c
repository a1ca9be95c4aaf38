#include "sched/types.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "base/err.h"

/* Length of a hash in a label, with the character before it. */
#define LABEL_HASH_CHARS 17

void
kq_sched_label_set (char label[KQ_SCHED_NAME_SIZE], const char *text)
{
  size_t length = strlen (text);
  int kept = KQ_SCHED_NAME_SIZE - 1 - LABEL_HASH_CHARS;

  if (length < KQ_SCHED_NAME_SIZE)
    memcpy (label, text, length + 1);
  else
    snprintf (label, KQ_SCHED_NAME_SIZE, "%.*s~%016" PRIx64, kept, text,
              (uint64_t)XXH64 (text, length, 0));
}

void
kq_sched_spec_clear (struct kq_sched_spec *spec)
{
  for (int i = 0; i < spec->step_count; i++)
    free (spec->steps[i].after);
  free (spec->steps);
  free (spec->text);
  memset (spec, 0, sizeof *spec);
}

static bool
is_step_valid (const struct kq_sched_step *step, int number)
{
  if (step->count < 1 || step->count > KQ_SCHED_MAX_STEP_TASKS)
    return false;
  if (step->demand.cpu < 0 || step->demand.mem < 0 || step->demand.gpu < 0)
    return false;
  for (int i = 0; i < step->after_count; i++)
    if (step->after[i] < 0 || step->after[i] >= number)
      return false;
  return true;
}

static int64_t
count_tasks (const struct kq_sched_spec *spec)
{
  int64_t count = 0;

  for (int i = 0; i < spec->step_count; i++)
    count += spec->steps[i].count;
  return spec->times > 0 ? count * spec->times : count;
}

int
kq_sched_spec_check (const struct kq_sched_spec *spec)
{
  if (spec->step_count < 1 || spec->step_count > KQ_SCHED_MAX_STEPS)
    return KQ_EINVAL;
  if (spec->times < 0 || spec->times > KQ_SCHED_MAX_OCCURRENCES
      || spec->interval_ms < 0)
    return KQ_EINVAL;
  for (int i = 0; i < spec->step_count; i++)
    if (!is_step_valid (&spec->steps[i], i))
      return KQ_EINVAL;
  return count_tasks (spec) > KQ_SCHED_MAX_JOB_TASKS ? KQ_EINVAL : 0;
}

int
kq_sched_zones_find (const struct kq_sched_zones *zones, const char *name)
{
  for (int i = 0; i < zones->count; i++)
    if (strcmp (zones->names[i], name) == 0)
      return i;
  return -1;
}

int
kq_sched_zones_add (struct kq_sched_zones *zones, const char *name)
{
  if (strlen (name) >= sizeof zones->names[0])
    return KQ_ETOOBIG;
  if (kq_sched_zones_find (zones, name) >= 0)
    return 0;
  if (zones->count == KQ_SCHED_MAX_ZONES)
    return KQ_ENOMEM;
  strcpy (zones->names[zones->count++], name);
  return 0;
}

void
kq_sched_zones_remove (struct kq_sched_zones *zones, const char *name)
{
  int at = kq_sched_zones_find (zones, name);

  if (at < 0)
    return;
  zones->count--;
  if (at < zones->count)
    memcpy (zones->names[at], zones->names[zones->count],
            sizeof zones->names[at]);
}

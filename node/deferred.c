#include "node/deferred.h"

#include <stdlib.h>
#include <utlist.h>

#include "base/err.h"
#include "log/log.h"

struct entry
{
  struct kq_sched_effect effect;
  struct entry *prev;
  struct entry *next;
};

struct kq_deferred
{
  kq_deferred_execute *execute;
  void *arg;
  struct entry *entries; /* oldest first */
};

struct kq_deferred *
kq_deferred_create (kq_deferred_execute *execute, void *arg)
{
  struct kq_deferred *deferred = calloc (1, sizeof *deferred);

  if (deferred == NULL)
    return NULL;
  deferred->execute = execute;
  deferred->arg = arg;
  return deferred;
}

void
kq_deferred_destroy (struct kq_deferred *deferred)
{
  struct entry *entry;
  struct entry *next;

  if (deferred == NULL)
    return;
  DL_FOREACH_SAFE (deferred->entries, entry, next) { free (entry); }
  free (deferred);
}

void
kq_deferred_add (struct kq_deferred *deferred,
                 const struct kq_sched_effect *effect)
{
  struct entry *entry = malloc (sizeof *entry);

  if (entry == NULL)
    {
      kq_log (KQ_LOG_ERROR, "owner", "effect not executed", KQ_ENOMEM, NULL);
      return;
    }
  entry->effect = *effect;
  DL_APPEND (deferred->entries, entry);
}

void
kq_deferred_run (struct kq_deferred *deferred, uint64_t position)
{
  struct entry *entry;
  struct entry *next;

  DL_FOREACH_SAFE (deferred->entries, entry, next)
  {
    bool goes_on;

    if (entry->effect.after > position)
      continue;
    DL_DELETE (deferred->entries, entry);
    goes_on = deferred->execute (deferred->arg, &entry->effect);
    free (entry);
    if (!goes_on)
      return;
  }
}

void
kq_deferred_withdraw (struct kq_deferred *deferred, uint64_t job)
{
  struct entry *entry;
  struct entry *next;

  DL_FOREACH_SAFE (deferred->entries, entry, next)
  {
    if (kq_sched_withdraw_effect (&entry->effect, job))
      continue;
    DL_DELETE (deferred->entries, entry);
    free (entry);
  }
}

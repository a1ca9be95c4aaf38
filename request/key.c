#include "request/key.h"

#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#include "base/err.h"

static void
free_answer (struct kq_key_table *table, struct kq_key_entry *entry)
{
  if (entry->answer == NULL)
    return;
  table->bytes -= kq_answer_size (entry->answer);
  kq_answer_unref (entry->answer);
  entry->answer = NULL;
}

/* Unlinks ENTRY; the caller frees it. */
static void
unlink_entry (struct kq_key_table *table, struct kq_key_entry *entry)
{
  if (table->oldest_answer == entry)
    table->oldest_answer = entry->next;
  free_answer (table, entry);
  HASH_DEL (table->entries, entry);
  if (entry->done)
    DL_DELETE (table->done, entry);
}

static void
expire (struct kq_key_table *table, kq_usec now)
{
  struct kq_key_entry *expired = NULL;
  struct kq_key_entry *entry;
  struct kq_key_entry *next;

  DL_FOREACH_SAFE (table->done, entry, next)
  {
    if (table->entries == NULL || entry->expires > now)
      break;
    unlink_entry (table, entry);
    LL_PREPEND (expired, entry);
  }
  LL_FOREACH_SAFE (expired, entry, next)
  free (entry);
}

static void
limit_bytes (struct kq_key_table *table, size_t limit)
{
  while (table->bytes > limit && table->oldest_answer != NULL)
    {
      free_answer (table, table->oldest_answer);
      table->oldest_answer = table->oldest_answer->next;
    }
}

int
kq_key_begin (struct kq_key_table *table, kq_usec now,
              const struct kq_request_settings *settings,
              const struct kq_request_key *key, struct kq_key_entry **entry)
{
  struct kq_key_entry *found;

  expire (table, now);
  HASH_FIND (hh, table->entries, key->hash, sizeof key->hash, found);
  *entry = found;
  if (found != NULL && found->key.fingerprint != key->fingerprint)
    return KQ_EREQ_KEY_REUSED;
  if (found != NULL)
    return found->done ? KQ_EEXIST : KQ_EREQ_KEY_IN_USE;
  if (HASH_COUNT (table->entries) >= settings->key_limit)
    return KQ_EREQ_OVERLOAD;
  found = calloc (1, sizeof *found);
  if (found == NULL)
    return KQ_ENOMEM;
  found->key = *key;
  HASH_ADD (hh, table->entries, key.hash, sizeof key->hash, found);
  *entry = found;
  return 0;
}

void
kq_key_end (struct kq_key_table *table, kq_usec now,
            const struct kq_request_settings *settings,
            struct kq_key_entry *entry, enum kq_outcome outcome, int err,
            struct kq_answer *answer)
{
  if (outcome == KQ_OUTCOME_NOT_RUN)
    {
      unlink_entry (table, entry);
      free (entry);
      return;
    }
  entry->done = true;
  entry->outcome = outcome;
  entry->err = err;
  entry->expires = now + settings->key_ttl;
  DL_APPEND (table->done, entry);
  if (answer != NULL)
    {
      entry->answer = kq_answer_ref (answer);
      table->bytes += kq_answer_size (answer);
    }
  if (table->oldest_answer == NULL)
    table->oldest_answer = entry;
  limit_bytes (table, settings->key_bytes);
}

int
kq_key_claim (struct kq_key_table *table, kq_usec now,
              const struct kq_request_settings *settings,
              const struct kq_request_key *key, struct kq_key_entry **entry)
{
  int err = kq_key_begin (table, now, settings, key, entry);

  if (err != 0)
    return err;
  kq_key_end (table, now, settings, *entry, KQ_OUTCOME_UNKNOWN,
              KQ_EREQ_KEY_IN_USE, NULL);
  (*entry)->claimed = true;
  return 0;
}

void
kq_key_settle (struct kq_key_table *table, kq_usec now,
               const struct kq_request_settings *settings,
               const struct kq_request_settlement *settlement)
{
  struct kq_key_entry *entry;

  HASH_FIND (hh, table->entries, settlement->key.hash,
             sizeof settlement->key.hash, entry);
  if (entry == NULL || !entry->claimed)
    return;
  /* It expires later now, so it goes to the end of the list. */
  if (table->oldest_answer == entry)
    table->oldest_answer = entry->next;
  DL_DELETE (table->done, entry);
  entry->done = false;
  entry->claimed = false;
  kq_key_end (table, now, settings, entry, settlement->outcome,
              settlement->err, settlement->answer);
}

void
kq_key_clear (struct kq_key_table *table)
{
  struct kq_key_entry *entry = table->entries;
  struct kq_key_entry *next;

  HASH_CLEAR (hh, table->entries);
  for (; entry != NULL; entry = next)
    {
      next = entry->hh.next;
      kq_answer_unref (entry->answer);
      free (entry);
    }
  memset (table, 0, sizeof *table);
}

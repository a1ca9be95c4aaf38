#include "request/key.h"

#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#include "base/err.h"

static void
free_response (struct kq_key_table *table, struct kq_key_entry *entry)
{
  if (entry->response == NULL)
    return;
  table->response_bytes -= kq_response_size (entry->response);
  kq_response_unref (entry->response);
  entry->response = NULL;
}

/* Removes ENTRY from the table; the calling function frees it. */
static void
unlink_entry (struct kq_key_table *table, struct kq_key_entry *entry)
{
  if (table->oldest_response == entry)
    table->oldest_response = entry->next;
  free_response (table, entry);
  HASH_DEL (table->entries, entry);
  if (entry->done)
    DL_DELETE (table->done, entry);
}

static void
remove_expired (struct kq_key_table *table, kq_usec now)
{
  struct kq_key_entry *expired = NULL;
  struct kq_key_entry *entry;
  struct kq_key_entry *next;

  DL_FOREACH_SAFE (table->done, entry, next)
  {
    if (table->entries == NULL || entry->expires_at > now)
      break;
    unlink_entry (table, entry);
    LL_PREPEND (expired, entry);
  }
  LL_FOREACH_SAFE (expired, entry, next)
  free (entry);
}

static void
limit_response_bytes (struct kq_key_table *table, size_t limit)
{
  while (table->response_bytes > limit && table->oldest_response != NULL)
    {
      free_response (table, table->oldest_response);
      table->oldest_response = table->oldest_response->next;
    }
}

int
kq_key_begin (struct kq_key_table *table, kq_usec now,
              const struct kq_request_settings *settings,
              const struct kq_request_key *key, struct kq_key_entry **entry)
{
  struct kq_key_entry *found;

  remove_expired (table, now);
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
            struct kq_response *response)
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
  entry->expires_at = now + settings->key_ttl;
  DL_APPEND (table->done, entry);
  if (response != NULL)
    {
      entry->response = kq_response_ref (response);
      table->response_bytes += kq_response_size (response);
    }
  if (table->oldest_response == NULL)
    table->oldest_response = entry;
  limit_response_bytes (table, settings->key_bytes);
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
kq_key_resolve (struct kq_key_table *table, kq_usec now,
                const struct kq_request_settings *settings,
                const struct kq_request_key_result *key_result)
{
  struct kq_key_entry *entry;

  HASH_FIND (hh, table->entries, key_result->key.hash,
             sizeof key_result->key.hash, entry);
  if (entry == NULL || !entry->claimed)
    return;
  /* It now expires later, so kq_key_end() appends it to the list again. */
  if (table->oldest_response == entry)
    table->oldest_response = entry->next;
  DL_DELETE (table->done, entry);
  entry->done = false;
  entry->claimed = false;
  kq_key_end (table, now, settings, entry, key_result->outcome,
              key_result->err, key_result->answer);
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
      kq_response_unref (entry->response);
      free (entry);
    }
  memset (table, 0, sizeof *table);
}

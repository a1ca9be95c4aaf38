/* The hosts of the cell: see term/hosts.h. */
#include "term/hosts.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <uthash.h>
#include <utlist.h>
#include <xxhash.h>

#include "base/address.h"
#include "term/term.pb-c.h"

/* Time between two announcements of a host, and the time after which it counts
   as gone: three of them are missing then. */
#define ANNOUNCE_INTERVAL_US (20 * KQ_USEC_PER_SEC)
#define HOSTS_EXPIRY_US (65 * KQ_USEC_PER_SEC)

/* Hosts that start together announce themselves spread over this time. */
#define ANNOUNCE_JITTER_US (150 * KQ_USEC_PER_MSEC)

/* Delay before an announcement that was not stored is repeated. */
#define RETRY_DELAY_US (500 * KQ_USEC_PER_MSEC)

struct entry
{
  struct kq_host host;
  uint64_t order; /* among hosts with as many cores */
  kq_usec heard_at;
  struct entry *next; /* of the removed ones */
  UT_hash_handle hh;
};

struct kq_hosts
{
  struct entry *entries; /* by name */
  struct entry *self;
  kq_usec announce_at; /* 0: not determined yet */
  bool announcing;
};

static struct entry *
add_entry (struct kq_hosts *hosts, const char *name)
{
  struct entry *entry = calloc (1, sizeof *entry);

  if (entry == NULL)
    return NULL;
  snprintf (entry->host.name, sizeof entry->host.name, "%s", name);
  entry->order = XXH64 (entry->host.name, strlen (entry->host.name), 0);
  HASH_ADD_STR (hosts->entries, host.name, entry);
  return entry;
}

struct kq_hosts *
kq_hosts_create (const struct kq_host *self)
{
  struct kq_hosts *hosts = calloc (1, sizeof *hosts);

  if (hosts == NULL)
    return NULL;
  hosts->self = add_entry (hosts, self->name);
  if (hosts->self == NULL)
    {
      free (hosts);
      return NULL;
    }
  hosts->self->host = *self;
  return hosts;
}

void
kq_hosts_destroy (struct kq_hosts *hosts)
{
  struct entry *entry;
  struct entry *next;

  if (hosts == NULL)
    return;
  entry = hosts->entries;
  HASH_CLEAR (hh, hosts->entries);
  for (; entry != NULL; entry = next)
    {
      next = entry->hh.next;
      free (entry);
    }
  free (hosts);
}

const struct kq_host *
kq_hosts_self (const struct kq_hosts *hosts)
{
  return &hosts->self->host;
}

size_t
kq_hosts_next_announcement (struct kq_hosts *hosts, kq_usec now,
                            uint8_t bytes[KQ_HOSTS_MAX_BYTES])
{
  struct kq_host *self = &hosts->self->host;
  KqTerm__HostRecord record = KQ_TERM__HOST_RECORD__INIT;
  size_t size;

  if (hosts->announce_at == 0)
    hosts->announce_at
        = now + (kq_usec)(hosts->self->order % (uint64_t)ANNOUNCE_JITTER_US);
  if (hosts->announcing || now < hosts->announce_at)
    return 0;
  record.address = self->address;
  record.life = self->incarnation;
  record.zone = self->zone;
  record.region = self->region;
  record.cores = self->cores;
  record.memory_mb = (uint32_t)self->memory_mb;
  record.descriptors = (uint32_t)self->descriptors;
  size = kq_term__host_record__get_packed_size (&record);
  if (size > KQ_HOSTS_MAX_BYTES)
    return 0;
  kq_term__host_record__pack (&record, bytes);
  hosts->announcing = true;
  return size;
}

void
kq_hosts_announced (struct kq_hosts *hosts, kq_usec now, bool stored)
{
  hosts->announcing = false;
  hosts->announce_at = now + (stored ? ANNOUNCE_INTERVAL_US : RETRY_DELAY_US);
}

static void
copy_text (char text[KQ_HOST_TEXT_SIZE], const char *from)
{
  snprintf (text, KQ_HOST_TEXT_SIZE, "%s", from);
}

static bool
is_valid (const KqTerm__HostRecord *record)
{
  struct sockaddr_storage address;

  return strlen (record->address) < KQ_HOST_TEXT_SIZE
         && strlen (record->life) < KQ_HOST_TEXT_SIZE
         && strlen (record->zone) < KQ_HOST_TEXT_SIZE
         && strlen (record->region) < KQ_HOST_TEXT_SIZE
         && kq_address_parse (record->address, &address) && record->cores > 0
         && isfinite (record->cores) && record->memory_mb <= INT32_MAX
         && record->descriptors <= INT32_MAX;
}

void
kq_hosts_apply (struct kq_hosts *hosts, kq_usec now, const char *name,
                const uint8_t *bytes, size_t size)
{
  KqTerm__HostRecord *record;
  struct entry *entry;

  HASH_FIND_STR (hosts->entries, name, entry);
  if (entry == hosts->self || name[0] == '\0'
      || strlen (name) >= KQ_HOST_TEXT_SIZE)
    return;
  if (size == 0)
    {
      if (entry != NULL)
        HASH_DEL (hosts->entries, entry);
      free (entry);
      return;
    }
  record = kq_term__host_record__unpack (NULL, size, bytes);
  if (record != NULL && is_valid (record))
    {
      if (entry == NULL)
        entry = add_entry (hosts, name);
      if (entry != NULL)
        {
          copy_text (entry->host.address, record->address);
          copy_text (entry->host.incarnation, record->life);
          copy_text (entry->host.zone, record->zone);
          copy_text (entry->host.region, record->region);
          entry->host.cores = record->cores;
          entry->host.memory_mb = (int)record->memory_mb;
          entry->host.descriptors = (int)record->descriptors;
          entry->heard_at = now;
        }
    }
  if (record != NULL)
    kq_term__host_record__free_unpacked (record, NULL);
}

void
kq_hosts_expire (struct kq_hosts *hosts, kq_usec now)
{
  struct entry *removed = NULL;
  struct entry *entry;
  struct entry *next;

  HASH_ITER (hh, hosts->entries, entry, next)
  {
    if (entry == hosts->self || now - entry->heard_at <= HOSTS_EXPIRY_US)
      continue;
    HASH_DEL (hosts->entries, entry);
    LL_PREPEND (removed, entry);
  }
  LL_FOREACH_SAFE (removed, entry, next) { free (entry); }
}

size_t
kq_hosts_count (const struct kq_hosts *hosts)
{
  return HASH_COUNT (hosts->entries);
}

void
kq_hosts_for_each (const struct kq_hosts *hosts,
                   void (*visit) (void *arg, const struct kq_host *host),
                   void *arg)
{
  for (const struct entry *entry = hosts->entries; entry != NULL;
       entry = entry->hh.next)
    visit (arg, &entry->host);
}

static bool
comes_before (const struct entry *a, const struct entry *b)
{
  if (a->host.cores != b->host.cores)
    return a->host.cores > b->host.cores;
  if (a->order != b->order)
    return a->order < b->order;
  return strcmp (a->host.name, b->host.name) < 0;
}

int
kq_hosts_rank (const struct kq_hosts *hosts)
{
  int rank = 0;

  for (const struct entry *entry = hosts->entries; entry != NULL;
       entry = entry->hh.next)
    rank += comes_before (entry, hosts->self);
  return rank;
}

const struct kq_host *
kq_hosts_first_of_zone (const struct kq_hosts *hosts,
                        bool (*is_usable) (void *arg,
                                           const struct kq_host *host),
                        void *arg)
{
  const struct entry *first = hosts->self;

  for (const struct entry *entry = hosts->entries; entry != NULL;
       entry = entry->hh.next)
    if (comes_before (entry, first)
        && strcmp (entry->host.zone, hosts->self->host.zone) == 0
        && is_usable (arg, &entry->host))
      first = entry;
  return &first->host;
}

double
kq_hosts_max_cores (const struct kq_hosts *hosts)
{
  double cores = 0;

  for (const struct entry *entry = hosts->entries; entry != NULL;
       entry = entry->hh.next)
    if (entry->host.cores > cores)
      cores = entry->host.cores;
  return cores;
}

const char *
kq_hosts_peer (const struct kq_hosts *hosts, size_t n)
{
  size_t others = kq_hosts_count (hosts) - 1;

  if (others == 0)
    return NULL;
  n %= others;
  for (const struct entry *entry = hosts->entries; entry != NULL;
       entry = entry->hh.next)
    if (entry != hosts->self && n-- == 0)
      return entry->host.address;
  return NULL;
}

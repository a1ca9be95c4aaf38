/* Election of the owner: see term/term.h. */
#include "term/term.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "term/term.pb-c.h"

/* Time between two heartbeats of the owner. */
#define HEARTBEAT_INTERVAL_US (400 * KQ_USEC_PER_MSEC)

/* The owner is considered lost after this time without a heartbeat: three
   heartbeat intervals plus the time of a slow append.  */
#define OWNER_TIMEOUT_US (1400 * KQ_USEC_PER_MSEC)

/* Hosts with a high latency to the store claim later than others.  The delay
   is the latency of the first read times the factor, up to the maximum, plus
   a part of the jitter that depends on the host's name.  */
#define CLAIM_DELAY_FACTOR 8
#define CLAIM_DELAY_MAX_US (300 * KQ_USEC_PER_MSEC)
#define CLAIM_JITTER_US (40 * KQ_USEC_PER_MSEC)

/* Hosts with fewer cores than this claim later.  An owner of 490 workers with
   1,100 task starts per second uses a third of a core (docs/CAPACITY.md).  */
#define OWNER_CORES 0.5

/* Maximum age of the last read from which missing heartbeats are inferred.
   After a longer gap they may be in the store, but not read yet.  */
#define READ_MAX_AGE_US (900 * KQ_USEC_PER_MSEC)

/* Time between two records in which a host announces its address. */
#define HELLO_INTERVAL_US (5 * KQ_USEC_PER_SEC)

/* Minimum time from a stored claim or release to the next append; half of it
   after a failed append.  */
#define MIN_APPEND_INTERVAL_US (100 * KQ_USEC_PER_MSEC)

struct kq_term
{
  char host[KQ_TERM_TEXT_SIZE];
  char address[KQ_TERM_TEXT_SIZE];
  char incarnation[KQ_TERM_TEXT_SIZE];
  struct kq_term_owner owner;
  int64_t offset; /* of the next record to read */
  bool caught_up;
  kq_usec read_at; /* completion of the last read that reached the end */
  kq_usec owner_alive_at; /* last evidence that the owner is alive */
  kq_usec read_latency;   /* of the first read */
  double cores;           /* available to this host */
  int64_t own_term;       /* 0: this host is not the owner */
  kq_usec confirmed_at;   /* send time of the last append that confirmed it */
  bool releasing;
  kq_usec no_claim_until;
  /* the append in progress */
  enum kq_term_kind pending_kind;
  kq_usec pending_since;
  kq_usec next_append_at;
  kq_usec heartbeat_at;
  kq_usec hello_at; /* 0: never */
  char peers[KQ_TERM_MAX_PEERS][KQ_TERM_TEXT_SIZE];
  size_t peer_count;
  struct kq_term_heard heard[KQ_TERM_MAX_HEARD]; /* latest term first */
  int heard_count;
};

struct kq_term *
kq_term_create (const char *host, const char *address, const char *incarnation,
                double cores)
{
  struct kq_term *term = calloc (1, sizeof *term);

  if (term == NULL)
    return NULL;
  snprintf (term->host, sizeof term->host, "%s", host);
  snprintf (term->address, sizeof term->address, "%s", address);
  snprintf (term->incarnation, sizeof term->incarnation, "%s", incarnation);
  term->cores = cores;
  return term;
}

void
kq_term_destroy (struct kq_term *term)
{
  free (term);
}

static void
add_peer (struct kq_term *term, const char *address)
{
  if (address[0] == '\0' || strcmp (address, term->address) == 0
      || strlen (address) >= KQ_TERM_TEXT_SIZE)
    return;
  for (size_t i = 0; i < term->peer_count; i++)
    if (strcmp (term->peers[i], address) == 0)
      return;
  /* Evicts the oldest address: its host is the most likely to have been
     replaced.  */
  if (term->peer_count == KQ_TERM_MAX_PEERS)
    {
      memmove (term->peers[0], term->peers[1],
               sizeof term->peers - sizeof term->peers[0]);
      term->peer_count--;
    }
  strcpy (term->peers[term->peer_count++], address);
}

static void
set_owner (struct kq_term *term, const KqTerm__TermRecord *record,
           int64_t number)
{
  struct kq_term_owner *owner = &term->owner;

  snprintf (owner->host, sizeof owner->host, "%s", record->host);
  snprintf (owner->address, sizeof owner->address, "%s", record->address);
  snprintf (owner->incarnation, sizeof owner->incarnation, "%s", record->life);
  owner->term = number;
  if (term->own_term != 0 && number > term->own_term)
    term->own_term = 0;
}

static bool
is_own (const struct kq_term *term, const KqTerm__TermRecord *record)
{
  return strcmp (record->life, term->incarnation) == 0;
}

/* Records that a record of the term NUMBER was read. */
static void
note_heard (struct kq_term *term, int64_t number, kq_usec now)
{
  int i = 0;

  while (i < term->heard_count && term->heard[i].term > number)
    i++;
  if (i == KQ_TERM_MAX_HEARD)
    return;
  if (i == term->heard_count || term->heard[i].term != number)
    {
      if (term->heard_count < KQ_TERM_MAX_HEARD)
        term->heard_count++;
      memmove (&term->heard[i + 1], &term->heard[i],
               (size_t)(term->heard_count - 1 - i) * sizeof term->heard[0]);
    }
  term->heard[i] = (struct kq_term_heard){ .term = number, .at = now };
}

static void
apply_claim (struct kq_term *term, kq_usec now,
             const KqTerm__TermRecord *record, int64_t number)
{
  note_heard (term, number, now);
  if (number <= term->owner.term)
    return;
  set_owner (term, record, number);
  term->owner_alive_at = now;
  if (is_own (term, record) && term->no_claim_until <= now)
    {
      term->own_term = number;
      term->confirmed_at = term->pending_since;
      term->heartbeat_at = now;
    }
}

static void
apply_heartbeat (struct kq_term *term, kq_usec now,
                 const KqTerm__TermRecord *record)
{
  note_heard (term, record->term, now);
  if (record->term < term->owner.term)
    return;
  if (record->term > term->owner.term)
    set_owner (term, record, record->term);
  term->owner_alive_at = now;
  if (is_own (term, record) && record->term == term->own_term
      && term->pending_kind == KQ_TERM_HEARTBEAT)
    term->confirmed_at = term->pending_since;
}

static void
apply_release (struct kq_term *term, kq_usec now,
               const KqTerm__TermRecord *record)
{
  if (record->term != term->owner.term)
    return;
  term->owner.address[0] = '\0';
  term->owner.incarnation[0] = '\0';
  /* Claim delays start now.  Without them a host with few cores could claim
     first.  */
  term->owner_alive_at = now;
  if (is_own (term, record))
    {
      term->own_term = 0;
      term->releasing = false;
    }
}

void
kq_term_apply (struct kq_term *term, kq_usec now, int64_t offset,
               const uint8_t *bytes, size_t size)
{
  KqTerm__TermRecord *record;

  if (offset < term->offset)
    return;
  term->offset = offset + 1;
  record = kq_term__term_record__unpack (NULL, size, bytes);
  if (record == NULL)
    return;
  switch ((enum kq_term_kind)record->kind)
    {
    case KQ_TERM_CLAIM:
      add_peer (term, record->address);
      apply_claim (term, now, record, offset + 1);
      break;
    case KQ_TERM_HEARTBEAT:
      apply_heartbeat (term, now, record);
      break;
    case KQ_TERM_RELEASE:
      apply_release (term, now, record);
      break;
    case KQ_TERM_HELLO:
      add_peer (term, record->address);
      break;
    default:
      break;
    }
  kq_term__term_record__free_unpacked (record, NULL);
}

void
kq_term_note_read (struct kq_term *term, kq_usec now, kq_usec sent_at,
                   int64_t end)
{
  if (end > term->offset)
    {
      term->offset = end;
      for (int i = 0; i < term->heard_count; i++)
        term->heard[i].at = now;
    }
  /* Heartbeats could not be read while the store did not reply, so the owner
     gets a full timeout again.  */
  if (term->caught_up && now - term->read_at > READ_MAX_AGE_US
      && term->owner.incarnation[0] != '\0')
    term->owner_alive_at = now;
  term->read_at = now;
  if (!term->caught_up)
    {
      term->caught_up = true;
      term->owner_alive_at = now;
      term->read_latency = now - sent_at;
    }
}

int64_t
kq_term_offset (const struct kq_term *term)
{
  return term->offset;
}

bool
kq_term_is_caught_up (const struct kq_term *term)
{
  return term->caught_up;
}

static kq_usec
claim_delay (const struct kq_term *term)
{
  kq_usec delay = term->read_latency * CLAIM_DELAY_FACTOR;
  uint64_t hash = XXH64 (term->host, strlen (term->host), 0);

  if (delay > CLAIM_DELAY_MAX_US)
    delay = CLAIM_DELAY_MAX_US;
  if (term->cores < OWNER_CORES)
    delay += (kq_usec)((double)CLAIM_DELAY_MAX_US
                       * (1 - term->cores / OWNER_CORES));
  return delay + (kq_usec)(hash % (uint64_t)CLAIM_JITTER_US);
}

/* Returns the earliest time at which this host may claim if no further record
   is read.  */
static kq_usec
claim_time (const struct kq_term *term)
{
  const struct kq_term_owner *owner = &term->owner;

  /* An earlier incarnation of this host has certainly ended. */
  if (owner->term != 0 && strcmp (owner->host, term->host) == 0
      && strcmp (owner->incarnation, term->incarnation) != 0)
    return 0;
  if (owner->incarnation[0] == '\0')
    return term->owner_alive_at + claim_delay (term);
  return term->owner_alive_at + OWNER_TIMEOUT_US + claim_delay (term);
}

static enum kq_term_kind
next_kind (const struct kq_term *term, kq_usec now)
{
  if (!term->caught_up)
    return KQ_TERM_NONE;
  if (term->own_term != 0)
    {
      if (term->releasing)
        return KQ_TERM_RELEASE;
      return now >= term->heartbeat_at + HEARTBEAT_INTERVAL_US
                 ? KQ_TERM_HEARTBEAT
                 : KQ_TERM_NONE;
    }
  if (now >= claim_time (term) && now >= term->no_claim_until
      && now - term->read_at < READ_MAX_AGE_US)
    return KQ_TERM_CLAIM;
  if (term->hello_at == 0 || now - term->hello_at > HELLO_INTERVAL_US)
    return KQ_TERM_HELLO;
  return KQ_TERM_NONE;
}

bool
kq_term_next (struct kq_term *term, kq_usec now, struct kq_term_append *append)
{
  KqTerm__TermRecord record = KQ_TERM__TERM_RECORD__INIT;
  enum kq_term_kind kind = next_kind (term, now);

  if (kind == KQ_TERM_NONE || term->pending_kind != KQ_TERM_NONE
      || now < term->next_append_at)
    return false;
  record.kind = kind;
  record.host = term->host;
  record.address = term->address;
  record.life = term->incarnation;
  record.term = term->own_term;
  append->kind = kind;
  append->at = term->offset;
  append->size = kq_term__term_record__get_packed_size (&record);
  if (append->size > sizeof append->bytes)
    return false;
  kq_term__term_record__pack (&record, append->bytes);
  term->pending_kind = kind;
  term->pending_since = now;
  if (kind == KQ_TERM_HELLO)
    term->hello_at = now;
  return true;
}

/* What was stored is learned by reading the topic; the result only determines
   when the next append may follow.  */
void
kq_term_append_done (struct kq_term *term, kq_usec now, int64_t offset)
{
  enum kq_term_kind kind = term->pending_kind;

  term->pending_kind = KQ_TERM_NONE;
  if (offset < 0)
    {
      term->next_append_at = now + MIN_APPEND_INTERVAL_US / 2;
      return;
    }
  switch (kind)
    {
    case KQ_TERM_HEARTBEAT:
      term->heartbeat_at = term->pending_since;
      term->confirmed_at = term->pending_since;
      term->owner_alive_at = now;
      break;
    case KQ_TERM_CLAIM:
    case KQ_TERM_RELEASE:
      /* Leaves time to read the record before the next append. */
      term->next_append_at = now + MIN_APPEND_INTERVAL_US;
      break;
    default:
      break;
    }
}

const struct kq_term_owner *
kq_term_owner (const struct kq_term *term)
{
  return &term->owner;
}

int
kq_term_get_heard (const struct kq_term *term,
                   struct kq_term_heard heard[KQ_TERM_MAX_HEARD])
{
  memcpy (heard, term->heard, sizeof term->heard);
  return term->heard_count;
}

void
kq_term_learn_owner (struct kq_term *term, kq_usec now, const char *address,
                     int64_t number)
{
  struct kq_term_owner *owner = &term->owner;

  if (number <= owner->term || address[0] == '\0')
    return;
  owner->term = number;
  owner->host[0] = '\0';
  /* The incarnation is unknown; "" would denote a released term. */
  snprintf (owner->incarnation, sizeof owner->incarnation, "?");
  snprintf (owner->address, sizeof owner->address, "%s", address);
  term->owner_alive_at = now;
  if (term->own_term != 0)
    term->own_term = 0;
}

int64_t
kq_term_own_term (const struct kq_term *term)
{
  return term->own_term;
}

kq_usec
kq_term_confirmed_at (const struct kq_term *term)
{
  return term->confirmed_at;
}

void
kq_term_release (struct kq_term *term, kq_usec no_claim_until)
{
  term->no_claim_until = no_claim_until;
  if (term->own_term != 0)
    term->releasing = true;
}

void
kq_term_supersede (struct kq_term *term, kq_usec now)
{
  if (term->own_term == 0)
    return;
  term->own_term = 0;
  term->releasing = false;
  term->owner_alive_at = now;
}

const char *
kq_term_peer (const struct kq_term *term, size_t n)
{
  return n < term->peer_count ? term->peers[n] : NULL;
}

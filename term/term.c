#include "term/term.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "term/term.pb-c.h"

/* Time between two beats of the owner. */
#define BEAT_INTERVAL (400 * KQ_USEC_PER_MSEC)

/* Without a beat for this long the owner is taken for lost: three beats and
   a slow append. */
#define BEAT_TIMEOUT (1400 * KQ_USEC_PER_MSEC)

/* Who hears the store late claims late: this many times the measured time of
   a call, at most the limit, and a share of the spread by the host's name. */
#define CLAIM_DELAY_CALLS 8
#define CLAIM_DELAY_MAX (300 * KQ_USEC_PER_MSEC)
#define CLAIM_SPREAD (40 * KQ_USEC_PER_MSEC)

/* An owner of 490 workers and 1,100 starts a second needs a third of a core
   (docs/CAPACITY.md); hosts with less than this claim later. */
#define OWNER_CORES 0.5

/* A read older than this does not show that the owner is silent. */
#define READ_FRESH (900 * KQ_USEC_PER_MSEC)

/* A host names itself this often. */
#define HELLO_INTERVAL (5 * KQ_USEC_PER_SEC)

/* An append that failed is tried again after this. */
#define RETRY_INTERVAL (100 * KQ_USEC_PER_MSEC)

struct kq_term
{
  char host[KQ_TERM_TEXT];
  char address[KQ_TERM_TEXT];
  char life[KQ_TERM_TEXT];
  struct kq_term_owner owner;
  int64_t offset; /* read up to here */
  bool caught_up;
  kq_usec read_at;  /* when the last read that reached the end was answered */
  kq_usec alive_at; /* last sign of the owner */
  kq_usec call_time;
  double cores;
  int64_t mine;
  kq_usec confirmed_at;
  bool releasing;
  kq_usec barred_until;
  /* the append that is under way */
  enum kq_term_kind asked;
  kq_usec asked_at;
  kq_usec next_at;
  kq_usec beat_at;
  kq_usec hello_at; /* 0: never */
  char peers[KQ_TERM_MAX_PEERS][KQ_TERM_TEXT];
  size_t peer_count;
};

struct kq_term *
kq_term_create (const char *host, const char *address, const char *life,
                double cores)
{
  struct kq_term *term = calloc (1, sizeof *term);

  if (term == NULL)
    return NULL;
  snprintf (term->host, sizeof term->host, "%s", host);
  snprintf (term->address, sizeof term->address, "%s", address);
  snprintf (term->life, sizeof term->life, "%s", life);
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
      || strlen (address) >= KQ_TERM_TEXT)
    return;
  for (size_t i = 0; i < term->peer_count; i++)
    if (strcmp (term->peers[i], address) == 0)
      return;
  /* The oldest makes room: it is most likely replaced. */
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
  snprintf (owner->life, sizeof owner->life, "%s", record->life);
  owner->term = number;
  if (term->mine != 0 && number > term->mine)
    term->mine = 0;
}

static bool
is_own (const struct kq_term *term, const KqTerm__TermRecord *record)
{
  return strcmp (record->life, term->life) == 0;
}

static void
take_claim (struct kq_term *term, kq_usec now,
            const KqTerm__TermRecord *record, int64_t number)
{
  if (number <= term->owner.term)
    return;
  set_owner (term, record, number);
  term->alive_at = now;
  if (is_own (term, record) && term->barred_until <= now)
    {
      term->mine = number;
      term->confirmed_at = term->asked_at;
      term->beat_at = now;
    }
}

static void
take_beat (struct kq_term *term, kq_usec now, const KqTerm__TermRecord *record)
{
  if (record->term < term->owner.term)
    return;
  if (record->term > term->owner.term)
    set_owner (term, record, record->term);
  term->alive_at = now;
  if (is_own (term, record) && record->term == term->mine
      && term->asked == KQ_TERM_BEAT)
    term->confirmed_at = term->asked_at;
}

static void
take_release (struct kq_term *term, kq_usec now,
              const KqTerm__TermRecord *record)
{
  if (record->term != term->owner.term)
    return;
  term->owner.address[0] = '\0';
  term->owner.life[0] = '\0';
  /* Delays of claims count from now: without them a weak host may come
     first. */
  term->alive_at = now;
  if (is_own (term, record))
    {
      term->mine = 0;
      term->releasing = false;
    }
}

void
kq_term_take (struct kq_term *term, kq_usec now, int64_t offset,
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
      take_claim (term, now, record, offset + 1);
      break;
    case KQ_TERM_BEAT:
      take_beat (term, now, record);
      break;
    case KQ_TERM_RELEASE:
      take_release (term, now, record);
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
kq_term_read_to (struct kq_term *term, kq_usec now, kq_usec sent_at,
                 int64_t end)
{
  if (end > term->offset)
    term->offset = end;
  /* While the store did not answer, nobody could hear the owner. */
  if (term->caught_up && now - term->read_at > READ_FRESH
      && term->owner.life[0] != '\0')
    term->alive_at = now;
  term->read_at = now;
  if (!term->caught_up)
    {
      term->caught_up = true;
      term->alive_at = now;
      term->call_time = now - sent_at;
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
  kq_usec delay = term->call_time * CLAIM_DELAY_CALLS;
  uint64_t hash = XXH64 (term->host, strlen (term->host), 0);

  if (delay > CLAIM_DELAY_MAX)
    delay = CLAIM_DELAY_MAX;
  if (term->cores < OWNER_CORES)
    delay += (kq_usec)((double)CLAIM_DELAY_MAX
                       * (1 - term->cores / OWNER_CORES));
  return delay + (kq_usec)(hash % (uint64_t)CLAIM_SPREAD);
}

/* When this host may claim, if nothing changes until then. */
static kq_usec
claim_time (const struct kq_term *term)
{
  const struct kq_term_owner *owner = &term->owner;

  /* An earlier life of this host is certainly over. */
  if (owner->term != 0 && strcmp (owner->host, term->host) == 0
      && strcmp (owner->life, term->life) != 0)
    return 0;
  if (owner->life[0] == '\0')
    return term->alive_at + claim_delay (term);
  return term->alive_at + BEAT_TIMEOUT + claim_delay (term);
}

static enum kq_term_kind
wanted (const struct kq_term *term, kq_usec now)
{
  if (!term->caught_up)
    return KQ_TERM_NOTHING;
  if (term->mine != 0)
    {
      if (term->releasing)
        return KQ_TERM_RELEASE;
      return now >= term->beat_at + BEAT_INTERVAL ? KQ_TERM_BEAT
                                                  : KQ_TERM_NOTHING;
    }
  if (now >= claim_time (term) && now >= term->barred_until
      && now - term->read_at < READ_FRESH)
    return KQ_TERM_CLAIM;
  if (term->hello_at == 0 || now - term->hello_at > HELLO_INTERVAL)
    return KQ_TERM_HELLO;
  return KQ_TERM_NOTHING;
}

bool
kq_term_next (struct kq_term *term, kq_usec now, struct kq_term_append *append)
{
  KqTerm__TermRecord record = KQ_TERM__TERM_RECORD__INIT;
  enum kq_term_kind kind = wanted (term, now);

  if (kind == KQ_TERM_NOTHING || term->asked != KQ_TERM_NOTHING
      || now < term->next_at)
    return false;
  record.kind = kind;
  record.host = term->host;
  record.address = term->address;
  record.life = term->life;
  record.term = term->mine;
  append->kind = kind;
  append->at = term->offset;
  append->size = kq_term__term_record__get_packed_size (&record);
  if (append->size > sizeof append->bytes)
    return false;
  kq_term__term_record__pack (&record, append->bytes);
  term->asked = kind;
  term->asked_at = now;
  if (kind == KQ_TERM_HELLO)
    term->hello_at = now;
  return true;
}

/* The topic itself, once read, tells what was stored; the answer only says
   when to ask again. */
void
kq_term_answered (struct kq_term *term, kq_usec now, int64_t offset)
{
  enum kq_term_kind asked = term->asked;

  term->asked = KQ_TERM_NOTHING;
  if (offset < 0)
    {
      term->next_at = now + RETRY_INTERVAL / 2;
      return;
    }
  switch (asked)
    {
    case KQ_TERM_BEAT:
      term->beat_at = term->asked_at;
      term->confirmed_at = term->asked_at;
      term->alive_at = now;
      break;
    case KQ_TERM_CLAIM:
    case KQ_TERM_RELEASE:
      /* Read it before anything else is asked for. */
      term->next_at = now + RETRY_INTERVAL;
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

void
kq_term_told (struct kq_term *term, kq_usec now, const char *address,
              int64_t number)
{
  struct kq_term_owner *owner = &term->owner;

  if (number <= owner->term || address[0] == '\0')
    return;
  owner->term = number;
  owner->host[0] = '\0';
  snprintf (owner->life, sizeof owner->life, "?");
  snprintf (owner->address, sizeof owner->address, "%s", address);
  term->alive_at = now;
  if (term->mine != 0)
    term->mine = 0;
}

int64_t
kq_term_mine (const struct kq_term *term)
{
  return term->mine;
}

kq_usec
kq_term_confirmed_at (const struct kq_term *term)
{
  return term->confirmed_at;
}

void
kq_term_release (struct kq_term *term, kq_usec barred_until)
{
  term->barred_until = barred_until;
  if (term->mine != 0)
    term->releasing = true;
}

void
kq_term_depose (struct kq_term *term, kq_usec now)
{
  if (term->mine == 0)
    return;
  term->mine = 0;
  term->releasing = false;
  term->alive_at = now;
}

const char *
kq_term_peer (const struct kq_term *term, size_t n)
{
  return n < term->peer_count ? term->peers[n] : NULL;
}

/* Election of the owner: see term/term.h. */
#include "term/term.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "term/past.h"
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

/* A host with less than this part of the largest host's cores claims later by
   the delay: so much later that each larger host that reaches the store has
   claimed. */
#define LARGE_HOST_SHARE 0.75
#define SMALL_HOST_DELAY_US (1000 * KQ_USEC_PER_MSEC)

/* A host bids for the term of an owner with less than this part of its cores:
   not before the owner has settled, in an order by rank, and seldom. The owner
   releases the term to it, and other hosts leave it time to claim. */
#define BID_SHARE 0.7
#define BID_AFTER_US (1500 * KQ_USEC_PER_MSEC)
#define BID_RANK_DELAY_US (150 * KQ_USEC_PER_MSEC)
#define BID_INTERVAL_US (5 * KQ_USEC_PER_SEC)
#define NO_CLAIM_AFTER_BID_US (3 * KQ_USEC_PER_SEC)
#define SUCCESSOR_TIME_US (400 * KQ_USEC_PER_MSEC)

/* Number of hosts that follow the topic closely, so that one of them claims in
   time; the others do so while they miss heartbeats, or for this time after
   the owner did not reply to them. */
#define CANDIDATES 8
#define MISSED_HEARTBEATS_US (1200 * KQ_USEC_PER_MSEC)
#define SUSPICION_US (3 * KQ_USEC_PER_SEC)

/* A host that is stopping claims later than others by the delay, so that it
   becomes the owner only where none of them claims, and only if this much time
   is left for its term. */
#define STOPPING_DELAY_US (700 * KQ_USEC_PER_MSEC)
#define MIN_STOPPING_TERM_US (500 * KQ_USEC_PER_MSEC)

/* Minimum time from a stored claim or release to the next append; half of it
   after a failed append.  */
#define MIN_APPEND_INTERVAL_US (100 * KQ_USEC_PER_MSEC)

struct kq_term
{
  char host[KQ_TERM_TEXT_SIZE];
  char address[KQ_TERM_TEXT_SIZE];
  char incarnation[KQ_TERM_TEXT_SIZE];
  kq_usec started_at;
  int rank;
  double max_cores; /* of all hosts; 0: not known */
  struct kq_term_owner owner;
  double owner_cores; /* 0: not known */
  kq_usec owner_since;
  int64_t offset; /* of the next record to read */
  bool caught_up;
  kq_usec read_at; /* completion of the last read that reached the end */
  kq_usec owner_alive_at; /* last evidence that the owner is alive */
  kq_usec owner_heard_at; /* last record of the owner that was read */
  bool timeout_extended;  /* since then, after the store did not reply */
  kq_usec suspected_until;
  kq_usec read_latency; /* of the first read */
  double cores;         /* available to this host */
  int64_t own_term;     /* 0: this host is not the owner */
  int64_t acting_term;  /* in which it may act, or has until it is idle */
  int64_t fence;        /* of its latest record, while it is the owner */
  kq_usec own_since;
  kq_usec confirmed_at; /* send time of the last append that confirmed it */
  bool releasing;
  bool leaving;        /* it must not act any more, and releases its term */
  bool asked_to_claim; /* the last owner has released its term to this host */
  char successor[KQ_TERM_TEXT_SIZE]; /* for the release; "": any host */
  kq_usec no_claim_until;
  bool stopping;
  kq_usec release_at;      /* of a term that it had when the stop began */
  kq_usec last_release_at; /* of any term, while it is stopping */
  kq_usec bid_at;          /* last bid of any host */
  /* the append in progress */
  enum kq_term_kind pending_kind;
  kq_usec pending_since;
  int64_t claimed_term; /* that the last claim was to begin */
  kq_usec claimed_at;   /* when it was sent first */
  kq_usec next_append_at;
  kq_usec heartbeat_at;
  int64_t sequence;         /* of the next record with an epoch */
  kq_usec sequence_sent_at; /* when it was sent first; 0: not yet */
  int64_t heartbeat_age_ms; /* in the last heartbeat that was sent */
  kq_usec heartbeat_sent_at;
  struct kq_past_owners past;
};

struct kq_term *
kq_term_create (const char *host, const char *address, const char *incarnation,
                double cores, kq_usec now)
{
  struct kq_term *term = calloc (1, sizeof *term);

  if (term == NULL)
    return NULL;
  snprintf (term->host, sizeof term->host, "%s", host);
  snprintf (term->address, sizeof term->address, "%s", address);
  snprintf (term->incarnation, sizeof term->incarnation, "%s", incarnation);
  term->cores = cores;
  term->started_at = now;
  return term;
}

void
kq_term_destroy (struct kq_term *term)
{
  free (term);
}

void
kq_term_set_standing (struct kq_term *term, int rank, double max_cores)
{
  term->rank = rank;
  term->max_cores = max_cores;
}

/* Records that RECORD of the term NUMBER was read. */
static void
note_heard (struct kq_term *term, kq_usec now,
            const KqTerm__TermRecord *record, int64_t number)
{
  kq_past_note_heard (&term->past, now, number, record->host, record->life,
                      record->age_ms * KQ_USEC_PER_MSEC);
  kq_past_read (&term->past, now, number, record);
}

static void
end_own_term (struct kq_term *term)
{
  term->own_term = 0;
  term->releasing = false;
  term->leaving = false;
}

static void
set_owner (struct kq_term *term, kq_usec now, const KqTerm__TermRecord *record,
           int64_t number)
{
  struct kq_term_owner *owner = &term->owner;

  snprintf (owner->host, sizeof owner->host, "%s", record->host);
  snprintf (owner->address, sizeof owner->address, "%s", record->address);
  snprintf (owner->incarnation, sizeof owner->incarnation, "%s", record->life);
  owner->term = number;
  term->owner_cores = record->cores;
  term->owner_since = now;
  term->asked_to_claim = false;
  if (number > term->own_term)
    end_own_term (term);
}

/* The release of a term that began during the stop is put off: no other host
   had claimed that term. */
static void
schedule_release (struct kq_term *term)
{
  if (term->stopping)
    term->release_at = term->last_release_at;
}

static bool
is_own (const struct kq_term *term, const KqTerm__TermRecord *record)
{
  return strcmp (record->life, term->incarnation) == 0;
}

static void
apply_claim (struct kq_term *term, kq_usec now,
             const KqTerm__TermRecord *record, int64_t number)
{
  note_heard (term, now, record, number);
  if (number <= term->owner.term)
    return;
  set_owner (term, now, record, number);
  term->owner_alive_at = now;
  term->owner_heard_at = now;
  term->timeout_extended = false;
  if (is_own (term, record) && term->no_claim_until <= now)
    {
      term->own_term = number;
      term->acting_term = number;
      term->fence = number;
      term->own_since = now;
      /* An earlier copy of a repeated claim may be the one that was stored. */
      term->confirmed_at = term->claimed_at;
      term->heartbeat_at = now;
      term->sequence = 1;
      term->sequence_sent_at = 0;
      schedule_release (term);
    }
}

static void
apply_heartbeat (struct kq_term *term, kq_usec now,
                 const KqTerm__TermRecord *record, int64_t number)
{
  note_heard (term, now, record, record->term);
  if (record->term < term->owner.term)
    return;
  if (record->term > term->owner.term)
    set_owner (term, now, record, record->term);
  term->owner_alive_at = now;
  term->owner_heard_at = now;
  term->timeout_extended = false;
  if (!is_own (term, record) || record->term != term->own_term)
    return;
  term->fence = number;
  if (record->age_ms == term->heartbeat_age_ms)
    term->confirmed_at = term->heartbeat_sent_at;
}

static void
apply_release (struct kq_term *term, kq_usec now,
               const KqTerm__TermRecord *record)
{
  note_heard (term, now, record, record->term);
  if (record->idle)
    kq_past_note_end (&term->past, now, record->term);
  if (record->term != term->owner.term)
    return;
  term->owner.address[0] = '\0';
  term->owner.incarnation[0] = '\0';
  /* Claim delays start now.  Without them a host with few cores could claim
     first.  */
  term->owner_alive_at = now;
  term->asked_to_claim = strcmp (record->successor, term->incarnation) == 0;
  if (record->successor[0] != '\0')
    term->owner_alive_at += SUCCESSOR_TIME_US;
  if (is_own (term, record))
    end_own_term (term);
}

/* The owner gives its term to a host with clearly more cores. */
static void
apply_bid (struct kq_term *term, kq_usec now, const KqTerm__TermRecord *record)
{
  term->bid_at = now;
  if (term->own_term == 0 || term->releasing || is_own (term, record)
      || strlen (record->life) >= sizeof term->successor
      || term->cores >= record->cores * BID_SHARE
      || now - term->own_since < BID_AFTER_US)
    return;
  snprintf (term->successor, sizeof term->successor, "%s", record->life);
  term->no_claim_until = now + NO_CLAIM_AFTER_BID_US;
  term->releasing = true;
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
      apply_claim (term, now, record, offset + 1);
      break;
    case KQ_TERM_HEARTBEAT:
      apply_heartbeat (term, now, record, offset + 1);
      break;
    case KQ_TERM_RELEASE:
      apply_release (term, now, record);
      break;
    case KQ_TERM_BID:
      apply_bid (term, now, record);
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
      kq_past_note_gap (&term->past, now);
    }
  /* Heartbeats could not be read while the store did not reply, so the owner
     gets a full timeout again: once, since with a slow store each read may
     take as long.  */
  if (term->caught_up && now - term->read_at > READ_MAX_AGE_US
      && term->owner.incarnation[0] != '\0' && !term->timeout_extended)
    {
      term->owner_alive_at = now;
      term->timeout_extended = true;
    }
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

static bool
is_small (const struct kq_term *term)
{
  return term->cores < term->max_cores * LARGE_HOST_SHARE;
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
  if (is_small (term))
    delay += SMALL_HOST_DELAY_US;
  return delay + (kq_usec)(hash % (uint64_t)CLAIM_JITTER_US);
}

/* Returns the earliest time at which this host may claim if no further record
   is read and it is not stopping.  */
static kq_usec
running_claim_time (const struct kq_term *term)
{
  const struct kq_term_owner *owner = &term->owner;

  if (term->asked_to_claim)
    return 0;
  if (owner->incarnation[0] == '\0')
    return term->owner_alive_at + claim_delay (term);
  /* An earlier incarnation of this host has certainly ended. */
  if (owner->term != 0 && strcmp (owner->host, term->host) == 0
      && strcmp (owner->incarnation, term->incarnation) != 0)
    return is_small (term) ? term->started_at + claim_delay (term) : 0;
  return term->owner_alive_at + OWNER_TIMEOUT_US + claim_delay (term);
}

static bool
may_claim (const struct kq_term *term, kq_usec now)
{
  if (now < term->no_claim_until || now - term->read_at >= READ_MAX_AGE_US)
    return false;
  if (!term->stopping)
    return now >= running_claim_time (term);
  return now >= running_claim_time (term) + STOPPING_DELAY_US
         && now + MIN_STOPPING_TERM_US <= term->last_release_at;
}

static bool
should_bid (const struct kq_term *term, kq_usec now)
{
  return !term->stopping && term->owner_cores > 0
         && term->owner.incarnation[0] != '\0'
         && term->owner_cores < term->cores * BID_SHARE
         && now >= term->no_claim_until
         && now - term->started_at > BID_AFTER_US
         && now - term->owner_since
                > BID_AFTER_US + term->rank * BID_RANK_DELAY_US
         && (term->bid_at == 0 || now - term->bid_at > BID_INTERVAL_US);
}

static enum kq_term_kind
next_kind (const struct kq_term *term, kq_usec now)
{
  if (!term->caught_up)
    return KQ_TERM_NONE;
  if (term->own_term != 0)
    {
      if (term->leaving)
        return term->acting_term == 0 ? KQ_TERM_RELEASE : KQ_TERM_NONE;
      return now >= term->heartbeat_at + HEARTBEAT_INTERVAL_US
                 ? KQ_TERM_HEARTBEAT
                 : KQ_TERM_NONE;
    }
  if (may_claim (term, now))
    return KQ_TERM_CLAIM;
  return should_bid (term, now) ? KQ_TERM_BID : KQ_TERM_NONE;
}

/* Sets the conditions of the append.  The epoch of a claim is the number of
   the term that it begins. */
static void
set_conditions (struct kq_term *term, kq_usec now,
                struct kq_term_append *append)
{
  append->at = -1;
  append->epoch = -1;
  append->sequence = -1;
  if (append->kind == KQ_TERM_CLAIM)
    {
      append->at = term->offset;
      append->epoch = term->offset + 1;
      append->sequence = 0;
      if (term->claimed_term != append->epoch)
        term->claimed_at = now;
      term->claimed_term = append->epoch;
    }
  else if (append->kind != KQ_TERM_BID)
    {
      append->epoch = term->own_term;
      append->sequence = term->sequence;
      if (term->sequence_sent_at == 0)
        term->sequence_sent_at = now;
    }
}

bool
kq_term_next (struct kq_term *term, kq_usec now, struct kq_term_append *append)
{
  KqTerm__TermRecord record = KQ_TERM__TERM_RECORD__INIT;
  struct kq_term_past past[KQ_TERM_MAX_PAST];
  struct kq_past_message message;
  enum kq_term_kind kind;

  if (term->own_term != 0
      && (term->releasing || (term->stopping && now >= term->release_at)))
    term->leaving = true;
  kind = next_kind (term, now);
  if (kind == KQ_TERM_NONE || term->pending_kind != KQ_TERM_NONE
      || now < term->next_append_at)
    return false;
  record.kind = kind;
  record.host = term->host;
  record.address = term->address;
  record.life = term->incarnation;
  record.term = term->own_term;
  record.cores = term->cores;
  if (kind == KQ_TERM_HEARTBEAT)
    record.age_ms = (now - term->own_since) / KQ_USEC_PER_MSEC;
  if (kind == KQ_TERM_RELEASE)
    {
      record.successor = term->successor;
      record.idle = true;
    }
  if (kind != KQ_TERM_BID)
    kq_past_write (past, kq_term_get_past (term, past), now, &message,
                   &record);
  append->kind = kind;
  append->size = kq_term__term_record__get_packed_size (&record);
  if (append->size > sizeof append->bytes)
    return false;
  kq_term__term_record__pack (&record, append->bytes);
  set_conditions (term, now, append);
  term->pending_kind = kind;
  term->pending_since = now;
  if (kind == KQ_TERM_BID)
    term->bid_at = now;
  if (kind == KQ_TERM_HEARTBEAT)
    {
      term->heartbeat_age_ms = record.age_ms;
      term->heartbeat_sent_at = now;
    }
  return true;
}

static void
append_stored (struct kq_term *term, kq_usec now, enum kq_term_kind kind)
{
  switch (kind)
    {
    case KQ_TERM_HEARTBEAT:
      term->heartbeat_at = term->pending_since;
      /* A repeated append may have been stored when it was sent first. */
      term->confirmed_at = term->sequence_sent_at;
      term->owner_alive_at = now;
      term->sequence++;
      term->sequence_sent_at = 0;
      break;
    case KQ_TERM_RELEASE:
      term->sequence++;
      term->sequence_sent_at = 0;
      term->next_append_at = now + MIN_APPEND_INTERVAL_US;
      break;
    case KQ_TERM_CLAIM:
      /* Leaves time to read the record before the next append. */
      term->next_append_at = now + MIN_APPEND_INTERVAL_US;
      break;
    default:
      break;
    }
}

/* What was stored is learned by reading the topic; the result only determines
   when the next append may follow, and tells an owner that it is no longer
   one.  */
void
kq_term_append_done (struct kq_term *term, kq_usec now,
                     const struct kq_term_append_result *result)
{
  enum kq_term_kind kind = term->pending_kind;

  term->pending_kind = KQ_TERM_NONE;
  switch (result->outcome)
    {
    case KQ_TERM_STORED:
      append_stored (term, now, kind);
      break;
    case KQ_TERM_FENCED:
      if (kind != KQ_TERM_CLAIM)
        kq_term_supersede (term, now);
      term->next_append_at = now + MIN_APPEND_INTERVAL_US;
      break;
    case KQ_TERM_SEQUENCE:
      term->sequence = result->expected_sequence;
      term->sequence_sent_at = 0;
      break;
    case KQ_TERM_FAILED:
      term->next_append_at = now + MIN_APPEND_INTERVAL_US / 2;
      break;
    }
}

bool
kq_term_follows_closely (const struct kq_term *term, kq_usec now)
{
  return !term->caught_up || term->own_term != 0 || term->rank < CANDIDATES
         || term->owner.incarnation[0] == '\0' || now < term->suspected_until
         || now - term->owner_heard_at > MISSED_HEARTBEATS_US;
}

void
kq_term_suspect_owner (struct kq_term *term, kq_usec now)
{
  term->suspected_until = now + SUSPICION_US;
}

const struct kq_term_owner *
kq_term_owner (const struct kq_term *term)
{
  return &term->owner;
}

int
kq_term_get_past (const struct kq_term *term,
                  struct kq_term_past past[KQ_TERM_MAX_PAST])
{
  return kq_past_list (&term->past, term->own_term, term->host,
                       term->incarnation, term->started_at, past);
}

void
kq_term_learn_owner (struct kq_term *term, kq_usec now, const char *address,
                     int64_t number)
{
  struct kq_term_owner *owner = &term->owner;

  if (number <= owner->term || address[0] == '\0')
    return;
  owner->term = number;
  term->owner_cores = 0;
  term->owner_since = now;
  term->asked_to_claim = false;
  owner->host[0] = '\0';
  /* The incarnation is unknown; "" would denote a released term. */
  snprintf (owner->incarnation, sizeof owner->incarnation, "?");
  snprintf (owner->address, sizeof owner->address, "%s", address);
  term->owner_alive_at = now;
  term->timeout_extended = false;
  end_own_term (term);
}

int64_t
kq_term_own_term (const struct kq_term *term)
{
  return term->leaving ? 0 : term->own_term;
}

int64_t
kq_term_held_term (const struct kq_term *term)
{
  return term->own_term;
}

bool
kq_term_awaits_idle (const struct kq_term *term)
{
  return term->leaving && term->acting_term != 0;
}

void
kq_term_note_idle (struct kq_term *term, kq_usec now)
{
  if (term->acting_term != 0)
    kq_past_note_end (&term->past, now, term->acting_term);
  term->acting_term = 0;
}

kq_usec
kq_term_own_since (const struct kq_term *term)
{
  return term->own_since;
}

int64_t
kq_term_fence (const struct kq_term *term)
{
  return term->own_term != 0 ? term->fence : 0;
}

kq_usec
kq_term_confirmed_at (const struct kq_term *term)
{
  return term->confirmed_at;
}

void
kq_term_release (struct kq_term *term)
{
  term->successor[0] = '\0';
  if (term->own_term != 0)
    term->releasing = true;
}

void
kq_term_stop (struct kq_term *term, kq_usec release_at,
              kq_usec last_release_at)
{
  term->stopping = true;
  term->asked_to_claim = false;
  if (!term->releasing)
    term->successor[0] = '\0';
  term->release_at = release_at;
  term->last_release_at = last_release_at;
}

void
kq_term_supersede (struct kq_term *term, kq_usec now)
{
  if (term->own_term == 0)
    return;
  end_own_term (term);
  term->owner_alive_at = now;
}

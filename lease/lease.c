#include "lease/lease.h"

#include <stdlib.h>

#include "base/err.h"

#define PPM INT64_C (1000000)

struct kq_lease
{
  const struct kq_lease_terms *terms;
  uint64_t term;
  uint64_t serial;
  struct kq_name holder;
  kq_usec until;         /* authority ends; 0 = none */
  kq_usec asked_at;      /* last request sent */
  kq_usec applied_at;    /* sent_at of the newest answer taken */
  kq_usec answered_at;   /* when that answer came */
  kq_usec extended_at;   /* last request that lets attempts live on */
  kq_usec released_at;   /* release sent, its arrival not known; 0 = none */
  uint64_t release_term; /* term of that release */
  kq_usec barrier;       /* answers to what was sent up to then are void */
  kq_usec lapses_at;     /* end of another holder's lease */
};

kq_usec
kq_lease_shorten (const struct kq_lease_terms *terms, kq_usec duration)
{
  return duration * PPM / (PPM + terms->clock_rate_ppm);
}

kq_usec
kq_lease_lengthen (const struct kq_lease_terms *terms, kq_usec duration)
{
  return duration * (PPM + terms->clock_rate_ppm) / PPM + 1;
}

kq_usec
kq_lease_latest (const struct kq_lease_terms *terms)
{
  return kq_lease_lengthen (terms, 2 * terms->ttl);
}

struct kq_lease *
kq_lease_create (const struct kq_lease_terms *terms)
{
  struct kq_lease *lease = calloc (1, sizeof *lease);

  if (lease != NULL)
    lease->terms = terms;
  return lease;
}

void
kq_lease_destroy (struct kq_lease *lease)
{
  free (lease);
}

bool
kq_lease_may_ask (const struct kq_lease *lease, kq_usec now)
{
  if (lease->released_at == 0)
    return true;
  /* A raised term makes the late release miss. */
  if (lease->term > lease->release_term)
    return true;
  return now > lease->released_at + kq_lease_latest (lease->terms);
}

void
kq_lease_ask (struct kq_lease *lease, kq_usec now, bool extends)
{
  lease->asked_at = now;
  if (extends)
    lease->extended_at = now;
}

void
kq_lease_note_start (struct kq_lease *lease, kq_usec now)
{
  lease->extended_at = now;
}

static enum kq_lease_outcome
take_grant (struct kq_lease *lease, const struct kq_lease_answer *answer)
{
  lease->term = answer->term;
  lease->lapses_at = 0;
  lease->until
      = answer->sent_at + kq_lease_shorten (lease->terms, lease->terms->ttl);
  return KQ_LEASE_GRANTED;
}

static enum kq_lease_outcome
take_refusal (struct kq_lease *lease, kq_usec now,
              const struct kq_lease_answer *answer)
{
  bool mine = kq_name_eq (&answer->holder, &lease->terms->holder);

  /* A second copy, or a request after one whose answer was lost, is refused
     for its serial: nothing is lost, and the next request quotes the new one.
   */
  if (mine && answer->term == lease->term && lease->until > 0)
    {
      if (lease->asked_at == answer->sent_at)
        lease->asked_at = 0;
      return KQ_LEASE_IGNORED;
    }
  lease->term = answer->term;
  lease->until = 0;
  lease->lapses_at = mine ? 0 : now + answer->left;
  return KQ_LEASE_REFUSED;
}

/* Serials only rise within a worker's life; answers may come in any order. */
static void
note_serial (struct kq_lease *lease, const struct kq_lease_answer *answer)
{
  if (answer->err != KQ_EWORKER_SILENT && answer->serial > lease->serial)
    lease->serial = answer->serial;
}

enum kq_lease_outcome
kq_lease_answer (struct kq_lease *lease, kq_usec now,
                 const struct kq_lease_answer *answer)
{
  note_serial (lease, answer);
  if (answer->err == KQ_EWORKER_SILENT || answer->sent_at < lease->applied_at
      || answer->term < lease->term)
    return KQ_LEASE_IGNORED;
  if (answer->sent_at <= lease->barrier)
    {
      /* The answer to the release itself, or to something before it. */
      if (answer->sent_at == lease->released_at
          && kq_name_empty (&answer->holder))
        lease->released_at = 0;
      return KQ_LEASE_IGNORED;
    }
  lease->applied_at = answer->sent_at;
  lease->answered_at = now;
  lease->holder = answer->holder;
  if (answer->err == 0 && kq_name_eq (&answer->holder, &lease->terms->holder))
    return take_grant (lease, answer);
  return take_refusal (lease, now, answer);
}

void
kq_lease_release (struct kq_lease *lease, kq_usec now)
{
  lease->until = 0;
  lease->released_at = now;
  lease->barrier = now;
  lease->release_term = lease->term;
  lease->asked_at = now;
}

kq_usec
kq_lease_until (const struct kq_lease *lease)
{
  return lease->until;
}

bool
kq_lease_held (const struct kq_lease *lease, kq_usec now)
{
  return now < lease->until;
}

uint64_t
kq_lease_term (const struct kq_lease *lease)
{
  return lease->term;
}

uint64_t
kq_lease_serial (const struct kq_lease *lease)
{
  return lease->serial;
}

kq_usec
kq_lease_asked_at (const struct kq_lease *lease)
{
  return lease->asked_at;
}

kq_usec
kq_lease_answered_at (const struct kq_lease *lease)
{
  return lease->answered_at;
}

const struct kq_name *
kq_lease_holder (const struct kq_lease *lease)
{
  return &lease->holder;
}

kq_usec
kq_lease_lapses_at (const struct kq_lease *lease)
{
  return lease->lapses_at;
}

kq_usec
kq_lease_clear_at (const struct kq_lease *lease, kq_usec since)
{
  const struct kq_lease_terms *terms = lease->terms;
  kq_usec from = lease->extended_at > since ? lease->extended_at : since;

  return from + kq_lease_latest (terms)
         + kq_lease_lengthen (terms, terms->task_ttl);
}

static int
compare_descending (const void *a, const void *b)
{
  kq_usec x = *(const kq_usec *)a;
  kq_usec y = *(const kq_usec *)b;

  return (x < y) - (x > y);
}

kq_usec
kq_lease_majority_until (struct kq_lease *const *leases, size_t count)
{
  kq_usec until[KQ_LEASE_MAX_SHARD];

  if (count == 0 || count > KQ_LEASE_MAX_SHARD)
    return 0;
  for (size_t i = 0; i < count; i++)
    until[i] = leases[i]->until;
  qsort (until, count, sizeof until[0], compare_descending);
  return until[count / 2];
}

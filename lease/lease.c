#include "lease/lease.h"

#include <stdlib.h>

#include "base/err.h"

#define PPM INT64_C (1000000)

struct kq_lease
{
  const struct kq_lease_settings *settings;
  uint64_t term;
  uint64_t serial;
  struct kq_name holder;
  kq_usec authority_until;      /* end of authority; 0 = none */
  kq_usec requested_at;         /* when the last request was sent */
  kq_usec applied_at;           /* sent_at of the newest reply applied */
  kq_usec replied_at;           /* when that reply was received */
  kq_usec attempts_extended_at; /* when a start, or a request that extends
                                   attempts, was last sent */
  kq_usec release_sent_at;      /* release sent, arrival unknown; 0 = none */
  uint64_t release_term;        /* term carried by that release */
  kq_usec ignore_sent_until;    /* replies to requests sent up to then are
                                   ignored */
  kq_usec lapses_at;            /* end of another holder's lease; 0 = none */
};

kq_usec
kq_lease_shorten (const struct kq_lease_settings *settings, kq_usec duration)
{
  return duration * PPM / (PPM + settings->clock_rate_ppm);
}

kq_usec
kq_lease_lengthen (const struct kq_lease_settings *settings, kq_usec duration)
{
  return duration * (PPM + settings->clock_rate_ppm) / PPM + 1;
}

kq_usec
kq_lease_max_request_age (const struct kq_lease_settings *settings)
{
  return kq_lease_lengthen (settings, 2 * settings->ttl);
}

struct kq_lease *
kq_lease_create (const struct kq_lease_settings *settings)
{
  struct kq_lease *lease = calloc (1, sizeof *lease);

  if (lease != NULL)
    lease->settings = settings;
  return lease;
}

void
kq_lease_destroy (struct kq_lease *lease)
{
  free (lease);
}

bool
kq_lease_may_request (const struct kq_lease *lease, kq_usec now)
{
  if (lease->release_sent_at == 0)
    return true;
  /* The worker rejects a release that carries an older term. */
  if (lease->term > lease->release_term)
    return true;
  return now
         > lease->release_sent_at + kq_lease_max_request_age (lease->settings);
}

void
kq_lease_note_request (struct kq_lease *lease, kq_usec now,
                       bool extends_attempts)
{
  lease->requested_at = now;
  if (extends_attempts)
    lease->attempts_extended_at = now;
}

void
kq_lease_note_start (struct kq_lease *lease, kq_usec now)
{
  lease->attempts_extended_at = now;
}

static enum kq_lease_outcome
apply_grant (struct kq_lease *lease, const struct kq_lease_reply *reply)
{
  lease->term = reply->term;
  lease->lapses_at = 0;
  lease->authority_until
      = reply->sent_at
        + kq_lease_shorten (lease->settings, lease->settings->ttl);
  return KQ_LEASE_GRANTED;
}

static enum kq_lease_outcome
apply_refusal (struct kq_lease *lease, kq_usec now,
               const struct kq_lease_reply *reply)
{
  bool own = kq_name_eq (&reply->holder, &lease->settings->holder);

  /* A duplicate of a request, or a request after one whose reply was lost, is
     refused only for its old serial.  The lease is still held, and the next
     request carries the new serial.  */
  if (own && reply->term == lease->term && lease->authority_until > 0)
    {
      if (lease->requested_at == reply->sent_at)
        lease->requested_at = 0;
      return KQ_LEASE_IGNORED;
    }
  lease->term = reply->term;
  lease->authority_until = 0;
  lease->lapses_at = own ? 0 : now + reply->remaining;
  return KQ_LEASE_REFUSED;
}

/* A worker's serial only increases during one incarnation of the worker;
   replies may arrive in any order.  */
static void
note_serial (struct kq_lease *lease, const struct kq_lease_reply *reply)
{
  if (reply->err != KQ_EWORKER_SILENT && reply->serial > lease->serial)
    lease->serial = reply->serial;
}

enum kq_lease_outcome
kq_lease_apply_reply (struct kq_lease *lease, kq_usec now,
                      const struct kq_lease_reply *reply)
{
  note_serial (lease, reply);
  if (reply->err == KQ_EWORKER_SILENT || reply->sent_at < lease->applied_at
      || reply->term < lease->term)
    return KQ_LEASE_IGNORED;
  if (reply->sent_at <= lease->ignore_sent_until)
    {
      /* A reply to the release itself, or to an earlier request. */
      if (reply->sent_at == lease->release_sent_at
          && kq_name_empty (&reply->holder))
        lease->release_sent_at = 0;
      return KQ_LEASE_IGNORED;
    }
  lease->applied_at = reply->sent_at;
  lease->replied_at = now;
  lease->holder = reply->holder;
  if (reply->err == 0 && kq_name_eq (&reply->holder, &lease->settings->holder))
    return apply_grant (lease, reply);
  return apply_refusal (lease, now, reply);
}

void
kq_lease_release (struct kq_lease *lease, kq_usec now)
{
  lease->authority_until = 0;
  lease->release_sent_at = now;
  lease->ignore_sent_until = now;
  lease->release_term = lease->term;
  lease->requested_at = now;
}

kq_usec
kq_lease_authority_until (const struct kq_lease *lease)
{
  return lease->authority_until;
}

bool
kq_lease_held (const struct kq_lease *lease, kq_usec now)
{
  return now < lease->authority_until;
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
kq_lease_requested_at (const struct kq_lease *lease)
{
  return lease->requested_at;
}

kq_usec
kq_lease_replied_at (const struct kq_lease *lease)
{
  return lease->replied_at;
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
kq_lease_attempts_gone_at (const struct kq_lease *lease, kq_usec since)
{
  const struct kq_lease_settings *settings = lease->settings;
  kq_usec extended_at = lease->attempts_extended_at > since
                            ? lease->attempts_extended_at
                            : since;

  return extended_at + kq_lease_max_request_age (settings)
         + kq_lease_lengthen (settings, settings->task_ttl);
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
  kq_usec authority_until[KQ_LEASE_MAX_WORKERS];

  if (count == 0 || count > KQ_LEASE_MAX_WORKERS)
    return 0;
  for (size_t i = 0; i < count; i++)
    authority_until[i] = leases[i]->authority_until;
  qsort (authority_until, count, sizeof authority_until[0],
         compare_descending);
  return authority_until[count / 2];
}

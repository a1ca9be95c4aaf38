#include "node/outage.h"

#include <xxhash.h>

/* A single refusal is a rate limit for a moment; two in a row are not. */
#define MIN_FAILURES 2

/* Timers of the HTTP client may fire this much early. */
#define TIMER_SLACK_US (10 * KQ_USEC_PER_MSEC)

/* Limits of the delay that a refused caller is told. Callers come back four
   times: with a constant 1 s they would give up before an outage of 4.2 s
   ends. */
#define MIN_RETRY_MS 1000
#define MAX_RETRY_MS 8000

/* The delay is extended by up to this part of it, so that the callers refused
   at one moment come back spread. */
#define SPREAD_DIVISOR 4

#define MS_PER_S 1000

/* Retry-After without a known delay. An owner is replaced within two seconds.
 */
#define DEFAULT_RETRY_S 1u

/* A caller that is to try again does so this long before its deadline at the
   latest, so that the response of that try reaches it. */
#define RETRY_MARGIN_US (300 * KQ_USEC_PER_MSEC)

bool
kq_outage_note (struct kq_outage *outage, enum kq_outage_result result,
                kq_usec sent_at, kq_usec now)
{
  bool was_away = kq_outage_is_away (outage);

  if (result == KQ_OUTAGE_ANSWERED)
    {
      *outage = (struct kq_outage){ .answered_at = now };
      return was_away;
    }
  if (sent_at < outage->answered_at)
    return false;
  if (outage->failures == 0)
    outage->first_failed_at = sent_at;
  outage->failures++;
  if (!was_away
      && (outage->failures >= MIN_FAILURES
          || (result == KQ_OUTAGE_NO_ANSWER
              && now - sent_at >= KQ_OUTAGE_NO_ANSWER_US - TIMER_SLACK_US)))
    outage->since = outage->first_failed_at;
  return was_away != kq_outage_is_away (outage);
}

bool
kq_outage_is_away (const struct kq_outage *outage)
{
  return outage->since != 0;
}

/* The header has whole seconds. Rounding up or down by the hash keeps the
   spread also where it is shorter than a second. */
static int64_t
round_to_seconds (int64_t ms, uint32_t hash)
{
  return (ms + (int64_t)(hash % MS_PER_S)) / MS_PER_S * MS_PER_S;
}

int64_t
kq_outage_retry_ms (const struct kq_outage *outage, uint64_t job, kq_usec now)
{
  const int64_t max_base_ms
      = MAX_RETRY_MS * SPREAD_DIVISOR / (SPREAD_DIVISOR + 1);
  uint64_t hash = XXH64 (&job, sizeof job, 0);
  int64_t ms;

  if (!kq_outage_is_away (outage))
    return 0;
  ms = (now - outage->since) / KQ_USEC_PER_MSEC;
  if (ms < MIN_RETRY_MS)
    ms = MIN_RETRY_MS;
  if (ms > max_base_ms)
    ms = max_base_ms;
  ms += ms / SPREAD_DIVISOR * (int64_t)(hash >> 32 & 0xffff) / 0xffff;
  return round_to_seconds (ms, (uint32_t)hash);
}

unsigned
kq_outage_retry_after_s (int64_t retry_ms, kq_usec left)
{
  unsigned delay = retry_ms > 0
                       ? (unsigned)((retry_ms + MS_PER_S - 1) / MS_PER_S)
                       : DEFAULT_RETRY_S;
  kq_usec latest = left - RETRY_MARGIN_US;

  if (latest < KQ_USEC_PER_SEC || latest >= (kq_usec)delay * KQ_USEC_PER_SEC)
    return delay;
  return (unsigned)(latest / KQ_USEC_PER_SEC);
}

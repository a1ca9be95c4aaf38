#include "node/stop.h"

/* The host continues to serve for this long after the start of a planned stop,
   until the load balancer has noticed it: that takes two of its readiness
   checks, a second apart, and the time between them. */
#define STOP_DELAY_US (3 * KQ_USEC_PER_SEC)

/* The process exits this long before it would be killed. */
#define STOP_MARGIN_US (700 * KQ_USEC_PER_MSEC)

/* A term is released this long after the start of the stop, not at once: where
   all hosts are stopped one after the other, each owner so has time to act and
   to store what it has decided.  The rest of STOP_DELAY_US suffices for the
   takeover. */
#define RELEASE_DELAY_US (2 * KQ_USEC_PER_SEC)

/* Time to store a release before the process exits. */
#define RELEASE_MARGIN_US (700 * KQ_USEC_PER_MSEC)

/* An owner acts no longer than this after the store has confirmed its term
   last: KQ_SCHED_UNCONFIRMED_LIMIT_US. */
#define UNCONFIRMED_LIMIT_US (3 * KQ_USEC_PER_SEC)

kq_usec
kq_stop_release_at (const struct kq_stop *stop)
{
  kq_usec last = kq_stop_last_release_at (stop);

  return stop->started_at + RELEASE_DELAY_US < last
             ? stop->started_at + RELEASE_DELAY_US
             : last;
}

kq_usec
kq_stop_last_release_at (const struct kq_stop *stop)
{
  return stop->started_at + stop->grace - STOP_MARGIN_US - RELEASE_MARGIN_US;
}

bool
kq_stop_is_over (const struct kq_stop *stop, kq_usec now, bool is_free)
{
  kq_usec elapsed = now - stop->started_at;

  return (elapsed > STOP_DELAY_US && is_free)
         || elapsed > stop->grace - STOP_MARGIN_US;
}

bool
kq_stop_holds_term (int64_t own_term, kq_usec confirmed_at, kq_usec now)
{
  return own_term != 0 && now - confirmed_at <= UNCONFIRMED_LIMIT_US;
}

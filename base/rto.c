#include "base/rto.h"

/* Source: RFC 6298, 2.3. */
#define SMOOTHING 8
#define DEVIATION_SMOOTHING 4
#define DEVIATIONS 4

/* A missed answer counts as one that took this many times as long. */
#define MISSED_FACTOR 2

void
kq_rto_init (struct kq_rto *rto, kq_usec least, kq_usec most)
{
  *rto = (struct kq_rto){ .least = least, .most = most };
}

void
kq_rto_answered (struct kq_rto *rto, kq_usec time)
{
  kq_usec error = time - rto->smoothed;

  if (rto->smoothed == 0)
    {
      rto->smoothed = time;
      rto->deviation = time / 2;
      return;
    }
  rto->smoothed += error / SMOOTHING;
  if (error < 0)
    error = -error;
  rto->deviation += (error - rto->deviation) / DEVIATION_SMOOTHING;
}

void
kq_rto_missed (struct kq_rto *rto)
{
  kq_usec time = kq_rto_get (rto) * MISSED_FACTOR;

  kq_rto_answered (rto, time < rto->most ? time : rto->most);
}

kq_usec
kq_rto_get (const struct kq_rto *rto)
{
  kq_usec time = rto->smoothed + DEVIATIONS * rto->deviation;

  if (rto->smoothed == 0 || time > rto->most)
    return rto->most;
  return time < rto->least ? rto->least : time;
}

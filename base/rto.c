#include "base/rto.h"

/* Weights of a new response time in the mean (1/8) and in the deviation (1/4),
   and the deviations added to the mean, as in RFC 6298, 2.3.  */
#define MEAN_DIVISOR 8
#define DEVIATION_DIVISOR 4
#define DEVIATION_FACTOR 4

/* A missing response counts as a response time of this many times the limit.
 */
#define TIMEOUT_FACTOR 2

void
kq_rto_init (struct kq_rto *rto, kq_usec min, kq_usec max)
{
  *rto = (struct kq_rto){ .min = min, .max = max };
}

void
kq_rto_add_sample (struct kq_rto *rto, kq_usec duration)
{
  kq_usec error = duration - rto->smoothed_time;

  if (rto->smoothed_time == 0)
    {
      rto->smoothed_time = duration;
      rto->deviation = duration / 2;
      return;
    }
  rto->smoothed_time += error / MEAN_DIVISOR;
  if (error < 0)
    error = -error;
  rto->deviation += (error - rto->deviation) / DEVIATION_DIVISOR;
}

void
kq_rto_add_timeout (struct kq_rto *rto)
{
  kq_usec duration = kq_rto_get (rto) * TIMEOUT_FACTOR;

  kq_rto_add_sample (rto, duration < rto->max ? duration : rto->max);
}

kq_usec
kq_rto_get (const struct kq_rto *rto)
{
  kq_usec duration = rto->smoothed_time + DEVIATION_FACTOR * rto->deviation;

  if (rto->smoothed_time == 0 || duration > rto->max)
    return rto->max;
  return duration < rto->min ? rto->min : duration;
}

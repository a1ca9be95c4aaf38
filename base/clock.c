#include "base/clock.h"

#include <time.h>

static kq_usec
read_clock (clockid_t id)
{
  struct timespec ts;

  clock_gettime (id, &ts);
  return (kq_usec)ts.tv_sec * KQ_USEC_PER_SEC + ts.tv_nsec / 1000;
}

kq_usec
kq_clock_now (void)
{
  return read_clock (CLOCK_BOOTTIME);
}

kq_usec
kq_clock_wall (void)
{
  return read_clock (CLOCK_REALTIME);
}

/* The clock of base/clock.c for a daemon whose time of day is ahead by
   KUMQUATRACK_TEST_SKEW_MS. */
#include "base/clock.h"

#include <stdlib.h>
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
  const char *skew = getenv ("KUMQUATRACK_TEST_SKEW_MS");

  return read_clock (CLOCK_REALTIME)
         + (skew != NULL ? atoll (skew) * KQ_USEC_PER_MSEC : 0);
}

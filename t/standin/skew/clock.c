/* A daemon whose time of day is ahead by KUMQUATRACK_TEST_SKEW_MS: the linker
   puts this in the place of kq_clock_wall (--wrap). */
#include "base/clock.h"

#include <stdlib.h>

/* The names are the linker's.  NOLINTBEGIN */
kq_usec __real_kq_clock_wall (void);
kq_usec __wrap_kq_clock_wall (void);

kq_usec
__wrap_kq_clock_wall (void)
{
  const char *skew = getenv ("KUMQUATRACK_TEST_SKEW_MS");

  return __real_kq_clock_wall ()
         + (skew != NULL ? atoll (skew) * KQ_USEC_PER_MSEC : 0);
}
/* NOLINTEND */

/* Guards against a task that starts beside a run of it, or after its end,
 * where orders are carried out later than seconds after they were sent, by
 * workers that restart under their IDs, behind cuts or under another owner.
 * With the arguments "hunt KIND FROM TO" it runs the seeds FROM to TO of one
 * kind.
 */
#include <stdlib.h>
#include <string.h>

#include "t/kqtest.h"
#include "t/lib-late.h"

/* No order is late.  These are the seeds of 1 to 300 that failed: the next
   incarnation took the end of a lease on the earlier clock for one on its own,
   and kept runs for 10 s where the owner counted with 5 s. */
static void
test_leases_of_restarted_workers (void)
{
  static const unsigned long cut[] = { 26, 51, 56, 193, 276 };
  static const unsigned long mute[]
      = { 49, 58, 61, 72, 91, 103, 159, 193, 198, 199, 276 };

  LATE_CHECK_SEEDS ("lease", cut);
  LATE_CHECK_SEEDS ("mute-restarts", mute);
}

/* A start is carried out up to 4 s late, by an incarnation that began behind a
   cut or shortly before one, and the run goes on there for the longest lease.
   These are seeds of 1 to 150 (1 to 300 of
   the first two) that failed. */
static void
test_late_starts_behind_cuts (void)
{
  static const unsigned long restarts[] = { 99 };
  static const unsigned long clocks[] = { 262 };
  static const unsigned long reborn[]
      = { 1,   11,  14,  19,  24,  31,  32,  34,  35,  45,  49, 52, 53,
          54,  55,  57,  63,  66,  76,  78,  80,  83,  87,  88, 98, 100,
          101, 103, 107, 108, 110, 118, 125, 133, 134, 145, 147 };
  static const unsigned long cut[]
      = { 6,   8,   23,  33,  39,  43,  47,  49,  53,  79,  81,
          82,  85,  89,  90,  91,  100, 101, 107, 109, 110, 111,
          115, 116, 117, 119, 128, 130, 134, 141, 142 };

  LATE_CHECK_SEEDS ("late-4", restarts);
  LATE_CHECK_SEEDS ("clocks", clocks);
  LATE_CHECK_SEEDS ("reborn-late-4", reborn);
  LATE_CHECK_SEEDS ("lease-late", cut);
}

/* An end was acknowledged unread by a late poll that was sent while a start at
   its worker was unanswered. */
static void
test_late_acknowledgements (void)
{
  static const unsigned long reborn[] = { 135, 194, 293 };
  static const unsigned long cut[] = { 237, 240 };

  LATE_CHECK_SEEDS ("reborn-late-4", reborn);
  LATE_CHECK_SEEDS ("lease-late", cut);
}

/* A run that the next owner had restored was taken for over as its worker's
   address refused a connection, while its order was under way. */
static void
test_refused_after_takeover (void)
{
  static const unsigned long outages[] = { 179 };

  LATE_CHECK_SEEDS ("late-4-outages+refused", outages);
}

static const struct kq_test tests[] = {
  { "leases of restarted workers", test_leases_of_restarted_workers },
  { "late starts behind cuts", test_late_starts_behind_cuts },
  { "late acknowledgements", test_late_acknowledgements },
  { "a refused connection after a takeover", test_refused_after_takeover },
};

int
main (int argc, char **argv)
{
  if (argc == 5 && strcmp (argv[1], "hunt") == 0)
    return late_hunt (argv[2], strtoul (argv[3], NULL, 10),
                      strtoul (argv[4], NULL, 10));
  return kq_test_main ("test-late-orders", tests,
                       sizeof tests / sizeof *tests);
}

/* Guards against a sixth start of a task that crashes its workers from an
 * order that is carried out late: it is still open at the fifth start, after
 * the wait for it.
 */
#include <stddef.h>

#include "t/kqtest.h"
#include "t/lib-deadly.h"

/* Of the seeds 1 to 400, those in which that happens, or happened when the
   last start of a task did not wait for the end of an outage. */
static const unsigned long seeds[] = { 62, 155, 245 };

static void
test_open_orders (void)
{
  for (size_t i = 0; i < sizeof seeds / sizeof seeds[0]; i++)
    CU_ASSERT (deadly_most_starts_late (seeds[i], 12000) <= DEADLY_MAX_STARTS);
}

static const struct kq_test tests[] = {
  { "open orders of earlier runs", test_open_orders },
};

KQ_TEST_MAIN ("test-deadly-open", tests)

/* Guards against starts of a task that crashes its workers which no owner
 * counts: a start whose run was given up is carried out late, by the next
 * incarnation of its worker, and crashes that one too.
 */
#include <stddef.h>

#include "t/kqtest.h"
#include "t/lib-deadly.h"

/* Of the seeds 1 to 200, those in which a task was started six times while
   such starts did not count. */
static const unsigned long seconds_late_seeds[] = { 72, 174, 194 };
static const unsigned long many_seconds_late_seeds[]
    = { 24, 38, 88, 111, 117, 121, 131, 140, 141, 176, 193, 198 };

/* The same while an owner remembered only the latest of two open orders. */
static const unsigned long two_orders_seeds[] = { 279, 520 };

/* The same while an order might still be open at the fifth start, and was
   carried out after it. */
static const unsigned long open_order_seeds[] = { 62, 155, 245, 793 };

static void
check_seeds (const unsigned long *seeds, size_t count, int64_t late_ms)
{
  for (size_t i = 0; i < count; i++)
    CU_ASSERT (deadly_most_starts_late (seeds[i], late_ms)
               <= DEADLY_MAX_STARTS);
}

#define CHECK_SEEDS(seeds, late_ms)                                           \
  check_seeds (seeds, sizeof (seeds) / sizeof (seeds)[0], late_ms)

static void
test_seconds_late (void)
{
  CHECK_SEEDS (seconds_late_seeds, 4000);
}

static void
test_many_seconds_late (void)
{
  CHECK_SEEDS (many_seconds_late_seeds, 12000);
}

static void
test_two_open_orders (void)
{
  CHECK_SEEDS (two_orders_seeds, 12000);
}

static void
test_open_orders (void)
{
  CHECK_SEEDS (open_order_seeds, 12000);
}

static const struct kq_test tests[] = {
  { "starts seconds late", test_seconds_late },
  { "starts up to 12 s late", test_many_seconds_late },
  { "two open orders", test_two_open_orders },
  { "open orders of earlier runs", test_open_orders },
};

KQ_TEST_MAIN ("test-deadly-late", tests)

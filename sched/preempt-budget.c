/* The budget of preemption for urgent work (kq_preempt_*): a sum for each of
 * the last seconds.
 */
#include "sched/preempt.h"

#include <string.h>

/* Part of a service's core-seconds that preemption may discard. */
#define BUDGET_PERCENT 2

#define MS_PER_S 1000

/* Time after a preemption of no use until the next one in its service. */
#define USELESS_PAUSE_US (500 * KQ_USEC_PER_MSEC)

static void
advance_window (struct kq_preempt *preempt, kq_usec now)
{
  int64_t second = now / KQ_USEC_PER_SEC;

  if (second - preempt->second >= KQ_PREEMPT_BUCKETS)
    memset (preempt->discarded, 0, sizeof preempt->discarded);
  else
    for (int64_t i = preempt->second + 1; i <= second; i++)
      preempt->discarded[i % KQ_PREEMPT_BUCKETS] = 0;
  if (second > preempt->second)
    preempt->second = second;
}

bool
kq_preempt_allows (struct kq_preempt *preempt, int64_t work, int64_t capacity,
                   kq_usec now)
{
  int64_t sum = work;

  advance_window (preempt, now);
  for (int i = 0; i < KQ_PREEMPT_BUCKETS; i++)
    sum += preempt->discarded[i];
  return sum <= capacity * KQ_PREEMPT_WINDOW_SECONDS * MS_PER_S
                    * BUDGET_PERCENT / 100;
}

void
kq_preempt_spend (struct kq_preempt *preempt, int64_t work, kq_usec now)
{
  advance_window (preempt, now);
  preempt->discarded[preempt->second % KQ_PREEMPT_BUCKETS] += work;
}

void
kq_preempt_note_useless (struct kq_preempt *preempt, kq_usec now)
{
  preempt->useless_at = now;
}

bool
kq_preempt_must_wait (const struct kq_preempt *preempt, kq_usec now)
{
  return preempt->useless_at != 0
         && now - preempt->useless_at < USELESS_PAUSE_US;
}

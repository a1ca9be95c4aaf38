#include "node/admission.h"

#include <stdio.h>
#include <string.h>

#include "sched/admit.h"

/* An older figure refuses nothing: an owner that is lost or cut off must not
   keep queues closed. */
#define MAX_AGE_US (500 * KQ_USEC_PER_MSEC)

/* Minimum time between two messages with figures to a front. */
#define TELL_INTERVAL_US (200 * KQ_USEC_PER_MSEC)

#define MS_PER_S INT64_C (1000)

bool
kq_admission_is_valid (const char *queue, int64_t until_ms, int64_t retry_ms)
{
  return until_ms >= 0 && until_ms * KQ_USEC_PER_MSEC <= MAX_AGE_US
         && retry_ms / MS_PER_S >= KQ_ADMIT_MIN_RETRY_S
         && retry_ms <= MS_PER_S * KQ_ADMIT_MAX_RETRY_S && queue[0] != '\0'
         && strlen (queue) < KQ_SCHED_NAME_SIZE;
}

void
kq_admission_note (struct kq_admission *admission, const char *queue,
                   int64_t until_ms, int64_t retry_ms, kq_usec since)
{
  struct kq_admission_figure *place = &admission->figures[0];

  for (int i = 0; i < KQ_ADMISSION_MAX_QUEUES; i++)
    {
      struct kq_admission_figure *figure = &admission->figures[i];

      if (strcmp (figure->queue, queue) == 0)
        {
          place = figure;
          break;
        }
      if (figure->until < place->until)
        place = figure;
    }
  snprintf (place->queue, sizeof place->queue, "%s", queue);
  place->until = since + until_ms * KQ_USEC_PER_MSEC;
  place->retry_ms = retry_ms;
}

bool
kq_admission_refuses (const struct kq_admission *admission,
                      const struct kq_sched_queue *queue, uint64_t job,
                      kq_usec now, int64_t *retry_ms)
{
  for (int i = 0; i < KQ_ADMISSION_MAX_QUEUES; i++)
    {
      const struct kq_admission_figure *figure = &admission->figures[i];

      if (now >= figure->until || strcmp (figure->queue, queue->name) != 0)
        continue;
      if (kq_idset_may_have (&admission->known, job))
        return false;
      *retry_ms = (int64_t)kq_admit_spread_retry_s (
                      figure->retry_ms / MS_PER_S, job, queue->priority, false)
                  * MS_PER_S;
      return true;
    }
  return false;
}

bool
kq_admission_is_due (struct kq_admission_fronts *fronts, const uint8_t *id,
                     size_t size, kq_usec now)
{
  int place = 0;

  if (size > KQ_ADMISSION_FRONT_SIZE)
    return false;
  for (int i = 0; i < KQ_ADMISSION_MAX_FRONTS; i++)
    {
      if (fronts->fronts[i].size == size
          && memcmp (fronts->fronts[i].id, id, size) == 0)
        {
          place = i;
          break;
        }
      if (fronts->fronts[i].told_at < fronts->fronts[place].told_at)
        place = i;
    }
  if (fronts->fronts[place].size == size
      && memcmp (fronts->fronts[place].id, id, size) == 0
      && now - fronts->fronts[place].told_at < TELL_INTERVAL_US)
    return false;
  memcpy (fronts->fronts[place].id, id, size);
  fronts->fronts[place].size = size;
  fronts->fronts[place].told_at = now;
  return true;
}

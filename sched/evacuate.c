/* Evacuation of availability zones (evacuate_*).
 *
 * Load: a zone with a sixth of the workers is evacuated and taken back while
 * the other zones are busy.
 *
 * Nothing starts in a zone under evacuation.  The operator's topic in the
 * store holds the requests; the set of zones is kept only here, and a
 * successor reads it anew.  A request that this owner has not read yet may be
 * as old as its last complete read, so that a start is accepted by its worker
 * for a shorter time the older that read is.
 */
#include "sched/evacuate.h"

#include <stdio.h>
#include <string.h>

#include "log/log.h"

/* Age of the last complete read of the operator's topic from which nothing is
   started, as for the registrations. */
#define MAX_READ_AGE_US KQ_SCHED_MAX_REGISTRATION_AGE_US

/* What a worker's clock may lose against ours while it may accept a start: 2
   percent of 3 s, and the rounding to milliseconds. */
#define CLOCK_MARGIN_MS 100

/* Longest time for which an order is under way in ordinary operation; the
   worker refuses one that takes longer than its lease. */
#define ORDER_TIME_MS 800

static void
log_zone (const struct kq_sched *sched, const char *event, const char *zone)
{
  const struct worker *worker;
  int workers = 0;
  int tasks = 0;
  char worker_text[16];
  char task_text[16];

  DL_FOREACH (sched->worker_list, worker)
  {
    if (!worker->registered || strcmp (worker->report.zone, zone) != 0)
      continue;
    workers++;
    tasks += worker->task_count;
  }
  snprintf (worker_text, sizeof worker_text, "%d", workers);
  snprintf (task_text, sizeof task_text, "%d", tasks);
  kq_log (KQ_LOG_INFO, "sched", event, 0, "zone", zone, "workers", worker_text,
          "tasks", task_text, NULL);
}

/* Logs EVENT for each zone of ZONES that is not among OTHER.  Returns their
   number. */
static int
log_difference (const struct kq_sched *sched, const char *event,
                const struct kq_sched_zones *zones,
                const struct kq_sched_zones *other)
{
  int count = 0;

  for (int i = 0; i < zones->count; i++)
    if (kq_sched_zones_find (other, zones->names[i]) < 0)
      {
        count++;
        log_zone (sched, event, zones->names[i]);
      }
  return count;
}

void
evacuate_update_worker (const struct kq_sched *sched, struct worker *worker)
{
  worker->evacuated
      = worker->registered
        && kq_sched_zones_find (&sched->zones, worker->report.zone) >= 0;
}

void
evacuate_apply (struct kq_sched *sched, const struct kq_sched_zones *zones)
{
  struct worker *worker;
  int changes
      = log_difference (sched, "zone evacuated", zones, &sched->zones)
        + log_difference (sched, "zone taken back", &sched->zones, zones);

  if (changes == 0)
    return;
  sched->zones = *zones;
  sched->placement_due = true;
  DL_FOREACH (sched->worker_list, worker)
  {
    evacuate_update_worker (sched, worker);
  }
}

void
kq_sched_note_zones (struct kq_sched *sched, kq_usec mono)
{
  if (mono > sched->zones_at)
    sched->zones_at = mono;
}

/* Returns the time in ms that is left of evac_ms for a request that the store
   took just after the last complete read. */
static int64_t
time_left_ms (const struct kq_sched *sched, struct kq_sched_now now)
{
  return sched->settings.evac_ms
         - (now.mono - sched->zones_at) / KQ_USEC_PER_MSEC - CLOCK_MARGIN_MS;
}

bool
evacuate_is_current (const struct kq_sched *sched, struct kq_sched_now now)
{
  if (sched->settings.evac_ms == 0)
    return true;
  return sched->zones_at != 0 && now.mono - sched->zones_at <= MAX_READ_AGE_US
         && time_left_ms (sched, now) >= ORDER_TIME_MS;
}

int64_t
evacuate_start_lease_ms (const struct kq_sched *sched, struct kq_sched_now now)
{
  int64_t left = time_left_ms (sched, now);

  return sched->settings.evac_ms == 0 || left > KQ_SCHED_START_LEASE_MS
             ? KQ_SCHED_START_LEASE_MS
             : left;
}

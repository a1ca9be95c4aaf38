/** @file
 * Zones of the platform's workers, their evacuations, and refused jobs: checks
 * that nothing starts that must not for one of these reasons.
 */
#ifndef SI_ZONES_H
#define SI_ZONES_H

#include "t/standin/si-runs.h"

/** Setting bounds.evac_ms of the entry hosts. */
#define SI_EVAC_MS 5000

/** Numbers of evacuations, of starts at cold workers and of refused jobs;
 *  latest start in a zone under evacuation, in milliseconds after the request.
 */
extern int64_t si_evacuation_count;
extern int64_t si_cold_start_count;
extern int64_t si_refused_job_count;
extern int64_t si_latest_zone_start_ms;

/** Returns the zone of WORKER, "z1" to "z3". */
const char *si_zone (const struct worker *worker);

/** Returns how much longer WORKER is cold, in milliseconds; 0: it is warm. */
int64_t si_warmup_left_ms (const struct worker *worker);

/** Requests the evacuation of ZONE, as the operator does, and cancels it after
 *  MS.  Without effect while the zone is under evacuation. */
void si_evacuate (const char *zone, int64_t ms);

/** Cancels evacuations that are over. */
void si_advance_evacuations (void);

/** Records that a caller was refused and never accepted with the job ID. */
void si_note_refused (const char *id);

/** Records a violation if the task NAME must not start at WORKER now. */
void si_check_zone_and_job (const struct worker *worker, const char *name);

#endif

/** @file
 * Evacuation of availability zones on the operator's request.
 */
#ifndef KQ_SCHED_EVACUATE_H
#define KQ_SCHED_EVACUATE_H

#include "sched/internal.h"

/* Replaces the set of zones under evacuation by ZONES. */
void evacuate_apply (struct kq_sched *sched,
                     const struct kq_sched_zones *zones);

/* Determines whether the zone of WORKER, whose registration was read, is under
   evacuation. */
void evacuate_update_worker (const struct kq_sched *sched,
                             struct worker *worker);

/* Moves running tasks out of the zones under evacuation. */
void evacuate_tick (struct kq_sched *sched, struct kq_sched_now now);

/* Whether the requests were read not too long ago, or the deployment has no
   evacuations. */
bool evacuate_is_current (const struct kq_sched *sched,
                          struct kq_sched_now now);

/* Returns for how long from now, in ms, a worker may accept a start. */
int64_t evacuate_start_lease_ms (const struct kq_sched *sched,
                                 struct kq_sched_now now);

#endif

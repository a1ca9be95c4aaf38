/** @file
 * Reports losses of workers to the evidence on outages.
 */
#ifndef KQ_SCHED_LOSS_H
#define KQ_SCHED_LOSS_H

#include <stdint.h>

#include "sched/evidence.h"
#include "sched/internal.h"

/** Returns where WORKER stands. */
struct kq_evidence_place loss_place_of (const struct worker *worker);

/** Reports the loss of WORKER and returns its number.  If an outage spreads,
 *  the workers in its scope get no task until they have replied.  */
uint64_t loss_note (struct kq_sched *sched, struct worker *worker,
                    struct kq_sched_now now);

/** Reports all workers that fell silent with WORKER, whose lease has lapsed,
 *  as lost: those without tasks have no lease that would show it.  */
void loss_note_silent (struct kq_sched *sched, const struct worker *worker,
                       struct kq_sched_now now);

#endif

/** @file
 * Arithmetic on demands and room (demand_*), each of CPU, memory and
 * accelerators.
 */
#ifndef KQ_SCHED_DEMAND_H
#define KQ_SCHED_DEMAND_H

#include "sched/types.h"

/* Whether ROOM is enough for DEMAND. */
bool demand_covers (const struct kq_sched_demand *room,
                    const struct kq_sched_demand *demand);
/* Adds COUNT times MORE to DEMAND; COUNT may be negative. */
void demand_add (struct kq_sched_demand *demand,
                 const struct kq_sched_demand *more, int64_t count);
/* Returns how often DEMAND fits into ROOM, at most MOST times. What DEMAND has
   none of does not count. */
int64_t demand_slots (const struct kq_sched_demand *room,
                      const struct kq_sched_demand *demand, int64_t most);

#endif

/** @file
 * Long-running tasks that wait although workers have room for them.
 */
#ifndef KQ_SCHED_OVERDUE_H
#define KQ_SCHED_OVERDUE_H

#include "sched/internal.h"

/* Counts the long-running tasks that have run before and are overdue, and logs
   what keeps them from workers with room; about once a second. */
void overdue_tick (struct kq_sched *sched, struct kq_sched_now now);

#endif

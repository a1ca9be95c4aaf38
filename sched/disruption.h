/** @file
 * How many tasks of a step may be taken away from their work at once.
 */
#ifndef KQ_SCHED_DISRUPTION_H
#define KQ_SCHED_DISRUPTION_H

#include "sched/internal.h"

/* Whether TASK runs, reports 100 percent and is not being stopped. */
bool disruption_is_at_work (const struct task *task);

/* Counts a change of what disruption_is_at_work() depends on. */
void disruption_update (struct task *task);

/* Whether the long-running TASK may be stopped to run elsewhere: at most
   max_unavailable tasks of its step are away at once, or one if the step does
   not say. */
bool disruption_allows_move (const struct task *task);

/* Whether TASK must not be stopped now because its step has max_unavailable
   and that many are away. */
bool disruption_forbids_stop (const struct task *task);

#endif

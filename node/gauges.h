/** @file
 * The owner's counts as metrics.
 */
#ifndef KQ_NODE_GAUGES_H
#define KQ_NODE_GAUGES_H

#include "sched/sched.h"

/** Registers the gauges; once. */
void kq_gauges_register (void);

/** Sets them from COUNTS; NULL: this host is not the owner. */
void kq_gauges_set (const struct kq_sched_counts *counts);

/** Writes the state of the cell to the log: what waits, of that what is late,
 *  and the room that is asked for: cores of tasks that last + others / all,
 * GiB / all.  */
void kq_gauges_log (const struct kq_sched_counts *counts);

/** Sets the age of this host's beliefs. */
void kq_gauges_set_beliefs (int64_t version, int64_t term,
                            int64_t owner_changes, int64_t store_age_us);

#endif

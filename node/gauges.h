/** @file
 * Gauges of an entry host: the owner's counters and the state known to the
 * host.
 */
#ifndef KQ_NODE_GAUGES_H
#define KQ_NODE_GAUGES_H

#include "sched/sched.h"

/** Registers the gauges; must be called once. */
void kq_gauges_register (void);

/** Counts a request that the owner refused because the store is away. */
void kq_gauges_count_refusal (void);

/** Sets the owner's gauges from COUNTS; NULL if this host is not the owner. */
void kq_gauges_set (const struct kq_sched_counts *counts);

/** Logs the state of the cell: the number of ready tasks, how many of them are
 *  late, and the reserved resources. The cores are logged as those of
 *  long-running tasks + those of other tasks / all cores, the memory as
 *  reserved / all, in GiB.  */
void kq_gauges_log (const struct kq_sched_counts *counts);

/** Sets the gauges of what this host knows: VERSION of the configuration, TERM
 *  of the owner, number of owners seen, and the time in microseconds since
 *  the last reply of the store.  */
void kq_gauges_set_host_state (int64_t version, int64_t term,
                               int64_t owner_changes, int64_t store_age_us);

#endif

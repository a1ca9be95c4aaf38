/** @file
 * Simulation of jobs of which one in five holds a task that crashes each
 * worker that starts it.
 */
#ifndef KQ_T_LIB_DEADLY_H
#define KQ_T_LIB_DEADLY_H

#include "t/lib-sim.h"

/** Starts that a task which crashes its workers has at most. */
#define DEADLY_MAX_STARTS 5

/** Plays SEED with FAULTS; returns the number of starts of the deadly task
 * that was started most often.  */
int deadly_most_starts (unsigned long seed, const struct sim_faults *faults);

/** The same with workers that crash and restart under their IDs, and orders
 *  that are carried out up to MAX_DELAY_MS late, by the next incarnation.  */
int deadly_most_starts_late (unsigned long seed, int max_delay_ms);

#endif

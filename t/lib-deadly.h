/** @file
 * Simulation of jobs of which one in five holds a task that crashes each
 * worker that starts it, while start orders are carried out late by the next
 * incarnations of their workers.
 */
#ifndef KQ_T_LIB_DEADLY_H
#define KQ_T_LIB_DEADLY_H

/** Starts that a task which crashes its workers has at most. */
#define DEADLY_MAX_STARTS 5

/** Plays SEED with orders that are up to MAX_DELAY_MS late; returns the number
 *  of starts of the deadly task that was started most often.  */
int deadly_most_starts (unsigned long seed, int max_delay_ms);

#endif

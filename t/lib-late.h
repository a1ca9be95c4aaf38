/** @file
 * Kinds of simulated cells in which orders are carried out late, workers
 * restart under their IDs and others are cut off.
 */
#ifndef KQ_T_LIB_LATE_H
#define KQ_T_LIB_LATE_H

/** Asserts that no rule is violated in the cells of the kind NAME with the
 * COUNT SEEDS.  */
void late_check_seeds (const char *name, const unsigned long *seeds,
                       int count);

/** Prints the seeds FROM to TO of the kind NAME that violate a rule.  Returns
 *  whether there are any, or no such kind.  */
int late_hunt (const char *name, unsigned long from, unsigned long to);

/** The same as late_check_seeds() for all elements of the array SEEDS. */
#define LATE_CHECK_SEEDS(name, seeds)                                         \
  late_check_seeds (name, seeds, (int)(sizeof (seeds) / sizeof *(seeds)))

#endif

/** @file
 * Counters and key sets of what a stand-in observed, and the violations of the
 * service's guarantees among it.
 */
#ifndef SI_FACTS_H
#define SI_FACTS_H

#include <jansson.h>
#include <stdbool.h>

/** Adds KEY to the set called SET and, if it is new there, increments the
 *  counter of that name.
 *  @return whether KEY is new in the set.  */
bool si_fact_add (const char *set, const char *key);

/** Increments counter NAME. */
void si_fact_count (const char *name);

/** Records a violation of kind WHAT; FORMAT describes it, as in printf().
 *  Also prints it to standard error.  The first 100 are kept for
 *  si_violations(), the others are only counted.  */
void si_record_violation (const char *what, const char *format, ...)
    __attribute__ ((format (printf, 2, 3)));

/** Returns {"violations": N, "list": [...]} as a new object. */
json_t *si_violations (void);

/** Returns the counters as a new object. */
json_t *si_facts (void);

#endif

/** @file
 * What the stand-ins have seen, and the violations among it.
 */
#ifndef SI_FACTS_H
#define SI_FACTS_H

#include <jansson.h>
#include <stdbool.h>

/** Remembers KEY in the set called SET.
 *  @return whether it was new there.  */
bool si_fact_new (const char *set, const char *key);

/** Adds one to counter NAME. */
void si_fact_count (const char *name);

/** Records the violation WHAT with its details, formatted as printf does. */
void si_violation (const char *what, const char *format, ...)
    __attribute__ ((format (printf, 2, 3)));

/** Returns {"violations": N, "list": [...]}. */
json_t *si_violations (void);

/** Returns the counters as a new object. */
json_t *si_facts (void);

#endif

/** @file
 * Prints answers for people.
 */
#ifndef KQ_BUILTIN_OUTPUT_H
#define KQ_BUILTIN_OUTPUT_H

#include <jansson.h>

/** Prints ROWS as a table with one column a field: "kind", "name" and
 *  "state" first, "reason" last.  */
void kq_output_table (const json_t *rows);

/** Prints ROWS below each other, one field a line. */
void kq_output_list (const json_t *rows);

/** Prints the line that names ANSWER's revision, age and coverage. */
void kq_output_coverage (const json_t *answer);

#endif

/** @file
 * Prints the rows of a response as readable text.
 */
#ifndef KQ_BUILTIN_OUTPUT_H
#define KQ_BUILTIN_OUTPUT_H

#include <jansson.h>

/** Prints ROWS as a table with one column per field: "kind", "name" and
 *  "state" come first, "reason" comes last.  */
void kq_output_table (const json_t *rows);

/** Prints each of ROWS as a list with one field per line. */
void kq_output_list (const json_t *rows);

/** Prints a line with the revision, age and coverage of RESPONSE. */
void kq_output_coverage (const json_t *response);

#endif

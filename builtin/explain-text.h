/** @file
 * Prints an explanation as text.
 */
#ifndef KQ_BUILTIN_EXPLAIN_TEXT_H
#define KQ_BUILTIN_EXPLAIN_TEXT_H

#include <jansson.h>

/** Prints EXPLANATION, the JSON of node/explain-json.h. Fields that are
 * missing count as empty.  */
void kq_explain_print (const json_t *explanation);

#endif

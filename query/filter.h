/** @file
 * Selection of table rows by the "where" conditions of a query.
 */
#ifndef KQ_QUERY_FILTER_H
#define KQ_QUERY_FILTER_H

#include "query/query.h"

/** Returns whether ROW satisfies FILTER.  Numbers are compared as numbers, in
 *  the unit given by the field's suffix ("_milli", "_mb", "_ms"); all other
 *  values are compared as text.  A row without the field satisfies only
 *  "!=".  */
bool kq_query_filter_matches (const struct kq_query_filter *filter,
                              const json_t *row);

/** Returns the first filter of QUERY whose field is unknown, that is, absent
 *  from all of ROWS, or NULL if there is none.  "name", "state" and "reason"
 *  are always known, and every field is known if ROWS is empty.  */
const struct kq_query_filter *
kq_query_find_unknown_filter (const struct kq_query *query,
                              const json_t *rows);

#endif

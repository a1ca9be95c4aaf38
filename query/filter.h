/** @file
 * Selection of rows by the conditions of a query.
 */
#ifndef KQ_QUERY_FILTER_H
#define KQ_QUERY_FILTER_H

#include "query/query.h"

/** Returns whether ROW meets FILTER.  Numbers compare as numbers, with the
 *  unit that the field's ending names ("_milli", "_mb", "_ms"); anything
 *  else compares as text.  A row without the field meets only "!=".  */
bool kq_query_filter_match (const struct kq_query_filter *filter,
                            const json_t *row);

/** Returns the first filter of QUERY whose field no row of ROWS has, or
 *  NULL.  */
const struct kq_query_filter *
kq_query_filter_unknown (const struct kq_query *query, const json_t *rows);

#endif

/* Selection of table rows by the "where" conditions of a query. */

#include "query/filter.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "query/parser.h"

static bool
has_suffix (const char *text, const char *suffix)
{
  size_t length = strlen (text);
  size_t suffix_length = strlen (suffix);

  return length >= suffix_length
         && strcmp (text + length - suffix_length, suffix) == 0;
}

static enum kq_query_unit
unit_of_field (const char *field)
{
  if (has_suffix (field, "_milli"))
    return KQ_UNIT_CPU;
  if (has_suffix (field, "_mb"))
    return KQ_UNIT_MEMORY;
  if (has_suffix (field, "_ms"))
    return KQ_UNIT_DURATION;
  return KQ_UNIT_NONE;
}

/** Parses the value of FILTER as a number in the unit of its field.  A value
 *  without a unit suffix is taken to be in the unit of the rows.
 *  @return false if the value is not a number of that unit.  */
static bool
filter_number (const struct kq_query_filter *filter, double *number)
{
  enum kq_query_unit unit = unit_of_field (filter->field.text);
  int64_t value;
  char *end;

  *number = strtod (filter->value, &end);
  if (end != filter->value && *end == '\0')
    return true;
  if (kq_query_parse_number (filter->value, unit, &value) != 0)
    return false;
  *number = (double)value;
  return true;
}

static bool
op_holds (enum kq_query_op op, int order)
{
  switch (op)
    {
    case KQ_QUERY_EQ:
      return order == 0;
    case KQ_QUERY_NE:
      return order != 0;
    case KQ_QUERY_LT:
      return order < 0;
    case KQ_QUERY_LE:
      return order <= 0;
    case KQ_QUERY_GT:
      return order > 0;
    case KQ_QUERY_GE:
      return order >= 0;
    }
  return false;
}

bool
kq_query_filter_matches (const struct kq_query_filter *filter,
                         const json_t *row)
{
  const json_t *cell = json_object_get (row, filter->field.text);
  const char *text = json_string_value (cell);
  double number;

  if (json_is_number (cell))
    {
      double cell_number = json_number_value (cell);

      if (!filter_number (filter, &number))
        return filter->op == KQ_QUERY_NE;
      return op_holds (filter->op,
                       (cell_number > number) - (cell_number < number));
    }
  if (json_is_boolean (cell))
    text = json_is_true (cell) ? "true" : "false";
  if (text == NULL)
    return filter->op == KQ_QUERY_NE;
  return op_holds (filter->op, strcmp (text, filter->value));
}

/** Returns whether FIELD is a field of the table that ROWS come from.  Every
 *  table has a name, a state and a reason; the reason is absent from rows that
 *  are not waiting, so it may be missing from all rows.  */
static bool
field_is_known (const json_t *rows, const char *field)
{
  size_t index;
  json_t *row;

  if (strcmp (field, "name") == 0 || strcmp (field, "state") == 0
      || strcmp (field, "reason") == 0)
    return true;
  json_array_foreach (rows, index, row) if (json_object_get (row, field)
                                            != NULL) return true;
  return json_array_size (rows) == 0;
}

const struct kq_query_filter *
kq_query_find_unknown_filter (const struct kq_query *query, const json_t *rows)
{
  for (int i = 0; i < query->u.show.filter_count; i++)
    if (!field_is_known (rows, query->u.show.filters[i].field.text))
      return &query->u.show.filters[i];
  return NULL;
}

/* Selection of rows. */

#include "query/filter.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "query/parser.h"

static bool
has_ending (const char *text, const char *ending)
{
  size_t length = strlen (text);
  size_t tail = strlen (ending);

  return length >= tail && strcmp (text + length - tail, ending) == 0;
}

static enum kq_query_unit
unit_of_field (const char *field)
{
  if (has_ending (field, "_milli"))
    return KQ_UNIT_CPU;
  if (has_ending (field, "_mb"))
    return KQ_UNIT_MEMORY;
  if (has_ending (field, "_ms"))
    return KQ_UNIT_DURATION;
  return KQ_UNIT_NONE;
}

/** Reads the value of FILTER as a number in the unit of its field: with a
 *  suffix as the language writes it, without one as the rows state it.  */
static bool
filter_number (const struct kq_query_filter *filter, double *number)
{
  enum kq_query_unit unit = unit_of_field (filter->field.text);
  int64_t value;
  char *end;

  *number = strtod (filter->value, &end);
  if (end != filter->value && *end == '\0')
    return true;
  if (kq_query_number (filter->value, unit, &value) != 0)
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
kq_query_filter_match (const struct kq_query_filter *filter, const json_t *row)
{
  const json_t *cell = json_object_get (row, filter->field.text);
  const char *text = json_string_value (cell);
  double number;

  if (json_is_number (cell))
    {
      double own = json_number_value (cell);

      if (!filter_number (filter, &number))
        return filter->op == KQ_QUERY_NE;
      return op_holds (filter->op, (own > number) - (own < number));
    }
  if (json_is_boolean (cell))
    text = json_is_true (cell) ? "true" : "false";
  if (text == NULL)
    return filter->op == KQ_QUERY_NE;
  return op_holds (filter->op, strcmp (text, filter->value));
}

/** Whether rows of ROWS can have FIELD: every table has a name, a state and
 *  a reason, though no row may wait for one just now.  */
static bool
some_row_has (const json_t *rows, const char *field)
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
kq_query_filter_unknown (const struct kq_query *query, const json_t *rows)
{
  for (int i = 0; i < query->u.show.filter_count; i++)
    if (!some_row_has (rows, query->u.show.filters[i].field.text))
      return &query->u.show.filters[i];
  return NULL;
}

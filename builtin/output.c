/* Prints the rows of a response as readable text. */

#include "builtin/output.h"

#include <ctype.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define COLUMNS_MAX 32

struct column
{
  const char *field;
  int width;
};

/** Returns CELL as a new string in which control characters, which a terminal
 *  might interpret, are replaced with '?'; NULL if out of memory.  */
static char *
cell_text (const json_t *cell)
{
  char *text;

  if (cell == NULL || json_is_null (cell))
    text = strdup ("-");
  else if (json_is_string (cell))
    text = strdup (json_string_value (cell));
  else
    text = json_dumps (cell, JSON_ENCODE_ANY | JSON_COMPACT);
  if (text == NULL)
    return NULL;
  if (*text == '\0')
    {
      free (text);
      return strdup ("-");
    }
  for (char *at = text; *at != '\0'; at++)
    if (iscntrl ((unsigned char)*at))
      *at = '?';
  return text;
}

static int
cell_width (const json_t *cell)
{
  char *text = cell_text (cell);
  int width = text ? (int)strlen (text) : 0;

  free (text);
  return width;
}

/** Returns the sort key of the column of FIELD: columns are sorted by it in
 *  ascending order.  */
static int
column_rank (const char *field)
{
  static const char *const first[] = { "kind", "name", "state" };

  for (int i = 0; i < 3; i++)
    if (strcmp (field, first[i]) == 0)
      return i;
  return strcmp (field, "reason") == 0 ? 4 : 3;
}

/** Adds a column for FIELD to the *COUNT columns unless there is one.
 *  @return its index, or -1 if there are COLUMNS_MAX columns already.  */
static int
find_or_add_column (struct column *columns, int *count, const char *field)
{
  int position;

  for (int i = 0; i < *count; i++)
    if (strcmp (columns[i].field, field) == 0)
      return i;
  if (*count == COLUMNS_MAX)
    return -1;
  for (position = *count; position > 0; position--)
    {
      if (column_rank (columns[position - 1].field) <= column_rank (field))
        break;
      columns[position] = columns[position - 1];
    }
  columns[position].field = field;
  columns[position].width = (int)strlen (field);
  (*count)++;
  return position;
}

static int
collect_columns (const json_t *rows, struct column *columns)
{
  int count = 0;
  size_t index;
  const char *field;
  json_t *row;
  json_t *cell;

  json_array_foreach (rows, index, row) json_object_foreach (row, field, cell)
  {
    int position = find_or_add_column (columns, &count, field);
    int width = cell_width (cell);

    if (position >= 0 && columns[position].width < width)
      columns[position].width = width;
  }
  return count;
}

static void
print_cell (const json_t *cell, int width, bool last)
{
  char *text = cell_text (cell);

  if (json_is_number (cell))
    printf ("%*s", width, text ? text : "");
  else if (last)
    fputs (text ? text : "", stdout);
  else
    printf ("%-*s", width, text ? text : "");
  fputs (last ? "\n" : "  ", stdout);
  free (text);
}

static void
print_heading (const struct column *columns, int count)
{
  for (int i = 0; i < count; i++)
    {
      for (const char *at = columns[i].field; *at != '\0'; at++)
        putchar (toupper ((unsigned char)*at));
      if (i + 1 < count)
        printf ("%*s", columns[i].width + 2 - (int)strlen (columns[i].field),
                "");
    }
  putchar ('\n');
}

void
kq_output_table (const json_t *rows)
{
  struct column columns[COLUMNS_MAX];
  int count = collect_columns (rows, columns);
  size_t index;
  json_t *row;

  if (json_array_size (rows) == 0)
    {
      puts ("(none)");
      return;
    }
  print_heading (columns, count);
  json_array_foreach (rows, index, row) for (int i = 0; i < count; i++)
      print_cell (json_object_get (row, columns[i].field), columns[i].width,
                  i + 1 == count);
}

void
kq_output_list (const json_t *rows)
{
  size_t index;
  const char *field;
  json_t *row;
  json_t *cell;

  json_array_foreach (rows, index, row)
  {
    const char *item = json_string_value (json_object_get (row, "item"));
    const char *name = json_string_value (json_object_get (row, "name"));

    printf ("%s %s\n", item ? item : "-", name ? name : "-");
    json_object_foreach (row, field, cell)
    {
      char *text;

      if (strcmp (field, "item") == 0 || strcmp (field, "name") == 0)
        continue;
      text = cell_text (cell);
      printf ("  %-16s %s\n", field, text ? text : "");
      free (text);
    }
  }
}

void
kq_output_coverage (const json_t *response)
{
  const json_t *coverage = json_object_get (response, "coverage");
  const char *host = json_string_value (json_object_get (coverage, "host"));
  const json_t *owned = json_object_get (coverage, "owned_shards");

  printf (
      "revision %lld, age %lld ms, answered by %s, which owns %zu of "
      "%lld shards\n",
      (long long)json_integer_value (json_object_get (response, "revision")),
      (long long)json_integer_value (json_object_get (response, "age_ms")),
      host ? host : "-", json_array_size (owned),
      (long long)json_integer_value (json_object_get (coverage, "shards")));
}

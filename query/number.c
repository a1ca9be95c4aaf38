/* Parsing of numbers with a unit suffix. */

#include <ctype.h>
#include <string.h>

#include "base/err.h"
#include "query/parser.h"

/** Maximum number of decimal places of a number. */
#define DECIMAL_PLACES_MAX 3

#define MB_PER_GB INT64_C (1024)
#define MB_PER_TB (INT64_C (1024) * MB_PER_GB)
#define MSEC_PER_SEC INT64_C (1000)
#define MSEC_PER_MINUTE (60 * MSEC_PER_SEC)
#define MSEC_PER_HOUR (60 * MSEC_PER_MINUTE)

struct unit
{
  const char *suffix;
  int64_t factor; /**< result units in one of this unit */
  enum kq_query_unit kind;
  bool integer_only; /**< decimal places are not allowed */
};

static const struct unit units[] = {
  { "", 1, KQ_UNIT_NONE, true },
  { "", 1000, KQ_UNIT_CPU, false },
  { "m", 1, KQ_UNIT_CPU, true },
  { "mb", 1, KQ_UNIT_MEMORY, true },
  { "gb", MB_PER_GB, KQ_UNIT_MEMORY, false },
  { "tb", MB_PER_TB, KQ_UNIT_MEMORY, false },
  { "ms", 1, KQ_UNIT_DURATION, true },
  { "s", MSEC_PER_SEC, KQ_UNIT_DURATION, false },
  { "m", MSEC_PER_MINUTE, KQ_UNIT_DURATION, false },
  { "h", MSEC_PER_HOUR, KQ_UNIT_DURATION, false },
};

/** Reads a number with up to DECIMAL_PLACES_MAX decimal places from *TEXT
 *  into *VALUE, in thousandths, and moves *TEXT behind it.  *IS_INTEGER
 *  becomes false if the number has a decimal point.
 *  @return 0, KQ_EQUERY_NUMBER or KQ_ERANGE.  */
static int
read_thousandths (const char **text, int64_t *value, bool *is_integer)
{
  const char *at = *text;
  int places = 0;

  *value = 0;
  *is_integer = true;
  if (!isdigit ((unsigned char)*at))
    return KQ_EQUERY_NUMBER;
  for (; isdigit ((unsigned char)*at); at++)
    if (__builtin_mul_overflow (*value, 10, value)
        || __builtin_add_overflow (*value, *at - '0', value))
      return KQ_ERANGE;
  if (*at == '.')
    {
      *is_integer = false;
      for (at++; isdigit ((unsigned char)*at) && places < DECIMAL_PLACES_MAX;
           at++)
        {
          if (__builtin_mul_overflow (*value, 10, value)
              || __builtin_add_overflow (*value, *at - '0', value))
            return KQ_ERANGE;
          places++;
        }
      if (places == 0)
        return KQ_EQUERY_NUMBER;
    }
  for (; places < DECIMAL_PLACES_MAX; places++)
    if (__builtin_mul_overflow (*value, 10, value))
      return KQ_ERANGE;
  *text = at;
  return 0;
}

int
kq_query_parse_number (const char *text, enum kq_query_unit unit,
                       int64_t *value)
{
  int64_t thousandths;
  bool is_integer;
  int err = read_thousandths (&text, &thousandths, &is_integer);

  if (err != 0)
    return err;
  for (size_t i = 0; i < sizeof (units) / sizeof (units[0]); i++)
    if (units[i].kind == unit && strcmp (units[i].suffix, text) == 0)
      {
        if (units[i].integer_only && !is_integer)
          return KQ_EQUERY_NUMBER;
        if (__builtin_mul_overflow (thousandths, units[i].factor, value))
          return KQ_ERANGE;
        *value /= 1000;
        return 0;
      }
  return KQ_EQUERY_UNIT;
}

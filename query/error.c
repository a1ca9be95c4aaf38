/* Syntax errors of the query language, as JSON and as readable text. */

#include <stdio.h>
#include <string.h>

#include "base/err.h"
#include "query/query.h"

/** Maximum bytes of the command that are printed above the carets. */
#define CONTEXT_MAX_BYTES 78

#define ASCII_MAX 127

/** Returns TEXT as a JSON string.  If TEXT is not valid UTF-8, each byte that
 *  is not ASCII is replaced with '?'.  */
static json_t *
json_utf8_string (const char *text)
{
  json_t *string = json_string (text);
  char sanitized[KQ_QUERY_EXPECTED_SIZE];
  size_t i;

  if (string != NULL)
    return string;
  for (i = 0; text[i] != '\0' && i < sizeof (sanitized) - 1; i++)
    {
      sanitized[i] = text[i];
      if ((unsigned char)text[i] > ASCII_MAX)
        sanitized[i] = '?';
    }
  sanitized[i] = '\0';
  return json_string (sanitized);
}

json_t *
kq_query_error_json (const struct kq_query_error *error)
{
  return json_pack ("{s:s, s:s, s:i, s:s, s:i, s:o, s:o}", "result", "invalid",
                    "error", kq_err_name (error->err), "number", error->err,
                    "reason", kq_err_text (error->err), "column",
                    error->column, "word", json_utf8_string (error->word),
                    "expected", json_utf8_string (error->expected));
}

void
kq_query_error_print (const struct kq_query_error *error, const char *text,
                      char *buffer, size_t size)
{
  int at = error->column > 0 ? error->column - 1 : 0;
  int begin = at;
  int end = at;
  int carets;

  while (begin > 0 && text[begin - 1] != '\n'
         && at - begin < CONTEXT_MAX_BYTES / 2)
    begin--;
  while (text[end] != '\0' && text[end] != '\n'
         && end - begin < CONTEXT_MAX_BYTES)
    end++;
  carets = error->length < end - at ? error->length : end - at;
  snprintf (buffer, size, "%.*s\n%*s%.*s\n%s%s%s", end - begin, text + begin,
            at - begin, "", carets > 0 ? carets : 1,
            "^~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~"
            "~~~~~~~~~~~~~~~",
            kq_err_text (error->err), error->expected[0] ? "; expected " : "",
            error->expected);
}

/* Fuzzes the parser of the operators' query language. */
#include "query/query.h"
#include "base/err.h"
#include "t/fuzz/fuzz.h"

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size) /* NOLINT */
{
  struct kq_query query;
  struct kq_query_error error;
  char message[512];
  char *text = fuzz_copy_string (data, size);
  json_t *json;

  if (kq_query_parse (text, &query, &error) == 0)
    {
      json = kq_query_command_result (&query, KQ_ETIMEDOUT, 1);
      kq_query_clear (&query);
    }
  else
    {
      json = kq_query_error_json (&error);
      kq_query_error_print (&error, text, message, sizeof message);
      fuzz_assert (strlen (message) < sizeof message);
    }
  json_decref (json);
  free (text);
  return 0;
}

/* Fuzzes the parsers of the traceparent header and of trace ids: a header that
   is accepted must be accepted again after formatting, with the same id.  */
#include "trace/trace.h"
#include "t/fuzz/fuzz.h"

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size) /* NOLINT */
{
  struct kq_trace_context context;
  struct kq_trace_context reparsed;
  char formatted[KQ_TRACE_PARENT_SIZE];
  char *text = fuzz_copy_string (data, size);

  if (kq_trace_parse (text, 7, &context) == 0)
    {
      kq_trace_format (&context, formatted);
      fuzz_assert (kq_trace_parse (formatted, 8, &reparsed) == 0);
      fuzz_assert (reparsed.trace[0] == context.trace[0]
                   && reparsed.trace[1] == context.trace[1]);
    }
  json_decref (kq_trace_find (text));
  free (text);
  return 0;
}

/* The header traceparent and trace ids. */
#include "trace/trace.h"
#include "t/fuzz/fuzz.h"

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size) /* NOLINT */
{
  struct kq_trace_context context;
  struct kq_trace_context again;
  char written[KQ_TRACE_PARENT_SIZE];
  char *text = fuzz_text (data, size);

  if (kq_trace_parse (text, 7, &context) == 0)
    {
      kq_trace_format (&context, written);
      fuzz_assert (kq_trace_parse (written, 8, &again) == 0);
      fuzz_assert (again.trace[0] == context.trace[0]
                   && again.trace[1] == context.trace[1]);
    }
  json_decref (kq_trace_find (text));
  free (text);
  return 0;
}

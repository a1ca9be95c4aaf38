/* The table of a worker, in its answer to a lease call. */
#include "platform/codec.h"
#include "t/fuzz/fuzz.h"

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size) /* NOLINT */
{
  json_t *object = json_loadb ((const char *)data, size, 0, NULL);
  struct kq_lease_answer answer = { 0 };
  struct kq_attempt_row *rows = NULL;

  if (kq_codec_lease_read (object, &answer, &rows) == 0)
    {
      fuzz_assert (answer.left >= 0 && answer.table.slots >= 0);
      for (size_t i = 0; i < answer.table.row_count; i++)
        fuzz_assert (rows[i].share_milli <= 1000 && rows[i].attempt >= 0);
    }
  free (rows);
  json_decref (object);
  return 0;
}

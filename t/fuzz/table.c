/* Fuzzes the reader of the response to a lease call, which holds the task
   table of the worker. */
#include "platform/codec.h"
#include "t/fuzz/fuzz.h"

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size) /* NOLINT */
{
  json_t *object = json_loadb ((const char *)data, size, 0, NULL);
  struct kq_lease_reply reply = { 0 };
  struct kq_attempt_row *rows = NULL;

  if (kq_codec_lease_read (object, &reply, &rows) == 0)
    {
      fuzz_assert (reply.remaining >= 0 && reply.table.slots >= 0);
      for (size_t i = 0; i < reply.table.row_count; i++)
        fuzz_assert (rows[i].share_milli <= 1000 && rows[i].attempt >= 0);
    }
  free (rows);
  json_decref (object);
  return 0;
}

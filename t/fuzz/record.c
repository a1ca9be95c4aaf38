/* Records and reads of the platform's log. */
#include "platform/codec.h"
#include "t/fuzz/fuzz.h"

/* What was read and written again must read the same. */
static void
check_record (const struct kq_record *record)
{
  json_t *once = kq_codec_record_write (record);
  json_t *twice;
  struct kq_record *again = NULL;

  fuzz_assert (kq_codec_record_read (once, &again) == 0);
  twice = kq_codec_record_write (again);
  fuzz_assert (json_equal (once, twice));
  json_decref (once);
  json_decref (twice);
  free (again);
}

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size) /* NOLINT */
{
  json_t *object = json_loadb ((const char *)data, size, 0, NULL);
  struct kq_record *record = NULL;
  struct kq_codec_batch batch;

  if (kq_codec_record_read (object, &record) == 0)
    check_record (record);
  free (record);
  if (kq_codec_batch_read (object, &batch) == 0)
    for (size_t i = 0; i < batch.count; i++)
      if (batch.entries[i].record != NULL)
        check_record (batch.entries[i].record);
  kq_codec_batch_release (&batch);
  json_decref (object);
  return 0;
}

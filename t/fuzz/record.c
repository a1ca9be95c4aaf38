/* Fuzzes the readers of log records and of responses to reads of the log. */
#include "platform/codec.h"
#include "t/fuzz/fuzz.h"

/* A record must not change when it is written, read and written again. */
static void
check_record (const struct kq_record *record)
{
  json_t *first = kq_codec_record_write (record);
  json_t *second;
  struct kq_record *reread = NULL;

  fuzz_assert (kq_codec_record_read (first, &reread) == 0);
  second = kq_codec_record_write (reread);
  fuzz_assert (json_equal (first, second));
  json_decref (first);
  json_decref (second);
  free (reread);
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

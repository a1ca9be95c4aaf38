/* Fuzzes the reader of the platform's host list.  A list that it accepts must
   be read again in full after it was written. */
#include "platform/codec.h"
#include "t/fuzz/fuzz.h"

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size) /* NOLINT */
{
  json_t *object = json_loadb ((const char *)data, size, 0, NULL);
  struct kq_host_entry *entries = NULL;
  struct kq_host_entry *reread = NULL;
  size_t count = 0;
  size_t skipped = 0;
  json_t *written;

  if (kq_codec_hosts_read (object, &entries, &count, &skipped) == 0)
    {
      size_t reread_count = count;

      written = kq_codec_hosts_write (entries, count);
      fuzz_assert (
          kq_codec_hosts_read (written, &reread, &reread_count, &skipped) == 0
          && reread_count == count && skipped == 0);
      json_decref (written);
    }
  free (entries);
  free (reread);
  json_decref (object);
  return 0;
}

/* The platform's host list. */
#include "platform/codec.h"
#include "t/fuzz/fuzz.h"

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size) /* NOLINT */
{
  json_t *object = json_loadb ((const char *)data, size, 0, NULL);
  struct kq_host_entry *entries = NULL;
  struct kq_host_entry *again = NULL;
  size_t count = 0;
  size_t skipped = 0;
  json_t *written;

  if (kq_codec_hosts_read (object, &entries, &count, &skipped) == 0)
    {
      size_t read = count;

      written = kq_codec_hosts_write (entries, count);
      fuzz_assert (kq_codec_hosts_read (written, &again, &read, &skipped) == 0
                   && read == count && skipped == 0);
      json_decref (written);
    }
  free (entries);
  free (again);
  json_decref (object);
  return 0;
}

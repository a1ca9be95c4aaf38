/* Fuzzes the reader of pages of newest records, of which other writers choose
   the keys. */
#include "platform/page.h"
#include "t/fuzz/fuzz.h"

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size) /* NOLINT */
{
  struct kq_store_cursor after = { .is_set = false };
  struct kq_store_read_result result = { .err = 0 };
  struct kq_page *page;
  const char *reason;

  if (kq_page_read ((const char *)data, size, &after, &page, &result, &reason)
      == 0)
    {
      fuzz_assert (!result.more || result.next.is_set);
      for (size_t i = 0; i < result.count; i++)
        fuzz_assert (result.rows[i].key != NULL);
    }
  kq_page_destroy (page);
  return 0;
}

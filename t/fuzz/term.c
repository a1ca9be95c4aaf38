/* Malformed records of the topic in which hosts claim ownership must not make
   this host the owner.  */
#include "term/term.h"
#include "t/fuzz/fuzz.h"

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size) /* NOLINT */
{
  struct kq_term *term = kq_term_create ("h", "10.0.0.1:1", "life", 1, 0);
  struct kq_term_append append;

  kq_term_apply (term, 1, 0, data, size);
  kq_term_note_read (term, 2, 1, 1);
  fuzz_assert (kq_term_own_term (term) == 0);
  kq_term_next (term, 3, &append);
  kq_term_destroy (term);
  return 0;
}

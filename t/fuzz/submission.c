/* Fuzzes the readers of jobs that callers submit, and of job IDs. */
#include "platform/submission.h"
#include "base/err.h"
#include "t/fuzz/fuzz.h"

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size) /* NOLINT */
{
  struct kq_sched_spec spec;
  char *text = fuzz_copy_string (data, size);
  uint64_t id;
  int err = kq_submission_read (data, size, &spec);

  fuzz_assert (err == 0 || err == KQ_ESYNTAX || err == KQ_EINVAL);
  fuzz_assert (err == 0 || spec.steps == NULL);
  fuzz_assert (err != 0 || kq_sched_spec_check (&spec) == 0);
  kq_sched_spec_clear (&spec);
  fuzz_assert (!kq_submission_id_read (text, &id) || size >= 16);
  free (text);
  return 0;
}

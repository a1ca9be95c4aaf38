/* Fuzzes the parser of the configuration document. */
#include "config/config.h"
#include "base/err.h"
#include "t/fuzz/fuzz.h"

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size) /* NOLINT */
{
  static const struct kq_name host = { "h" };
  struct kq_config *config = kq_config_create ();
  struct kq_config_error error = { "" };
  char *text = fuzz_copy_string (data, size);
  int err = kq_config_apply (config, 5, 0, &host, text, &error);

  fuzz_assert (err == 0 || err == KQ_ECONFIG_SCHEMA);
  fuzz_assert (kq_config_revision (config) == (err == 0 ? 5 : 0));
  free (text);
  kq_config_destroy (config);
  return 0;
}

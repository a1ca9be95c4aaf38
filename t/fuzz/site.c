/* Fuzzes the readers of the configuration, of worker registrations, and of the
   responses of workers and of the advice service. */
#include "platform/site.h"
#include "base/err.h"
#include "platform/advice.h"
#include "platform/wire-run.h"
#include "t/fuzz/fuzz.h"

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size) /* NOLINT */
{
  struct kq_sched_config *config = NULL;
  struct kq_sched_registration registration;
  struct kq_sched_status status = { 0 };
  struct kq_sched_advice advice;
  json_t *response = json_loadb ((const char *)data, size, 0, NULL);
  int err = kq_site_config_read (data, size, &config);

  fuzz_assert ((err == 0) == (config != NULL));
  kq_sched_config_destroy (config);
  err = kq_site_registration_read ("i-1", 3, data, size, &registration);
  fuzz_assert (err == 0 || err == KQ_ESYNTAX);
  kq_wire_status_read (response, &status);
  for (size_t i = 0; i < status.running_count; i++)
    fuzz_assert (status.running[i].run.index >= 0);
  kq_wire_status_clear (&status);
  fuzz_assert (kq_advice_read (response, &advice) != 0
               || advice.allowed_count <= KQ_SCHED_MAX_ADVICE_WORKERS);
  json_decref (response);
  return 0;
}

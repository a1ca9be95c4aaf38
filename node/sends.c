#include "node/sends.h"

void
kq_sends_add (struct kq_sends *sends)
{
  sends->outstanding++;
}

enum kq_sends_verdict
kq_sends_reject (struct kq_sends *sends, unsigned status, int err,
                 int64_t retry_ms)
{
  if (sends->outstanding > 0)
    sends->outstanding--;
  if (status != 0)
    {
      sends->status = status;
      sends->err = err;
      sends->retry_ms = retry_ms;
    }
  if (sends->status == 0)
    return KQ_SENDS_RESEND;
  return sends->outstanding > 0 ? KQ_SENDS_WAIT : KQ_SENDS_REFUSED;
}

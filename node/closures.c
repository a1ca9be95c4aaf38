#include "node/closures.h"

#include <string.h>

#include "base/err.h"
#include "log/log.h"
#include "metrics/metrics.h"
#include "platform/submission.h"

static struct kq_metric bad_count
    = { .name = "kq_closures_malformed_total",
        .help = "Messages with malformed figures of closed queues." };

void
kq_closures_register_metrics (void)
{
  kq_metric_register (&bad_count);
}

void
kq_closures_send_reply (struct kq_hop *hop, struct kq_owner *owner,
                        struct kq_admission_fronts *fronts,
                        const struct kq_hop_sender *sender,
                        KqNode__Tell *message)
{
  struct kq_sched_closure closures[KQ_ADMISSION_MAX_QUEUES];
  KqNode__Closed closed[KQ_ADMISSION_MAX_QUEUES];
  KqNode__Closed *rows[KQ_ADMISSION_MAX_QUEUES];
  const struct kq_idset *known;
  int count = 0;

  if (message->status != 0 && owner != NULL)
    count
        = kq_owner_closures (owner, closures, KQ_ADMISSION_MAX_QUEUES, &known);
  if (count > 0
      && kq_admission_is_due (fronts, sender->bytes, sender->size,
                              kq_clock_now ()))
    {
      for (int i = 0; i < count; i++)
        {
          kq_node__closed__init (&closed[i]);
          closed[i].queue = closures[i].queue;
          closed[i].until_ms = (uint32_t)closures[i].until_ms;
          closed[i].retry_ms = (uint32_t)closures[i].retry_ms;
          rows[i] = &closed[i];
        }
      message->n_closed = (size_t)count;
      message->closed = rows;
      message->known_ids.data = (uint8_t *)known->bits;
      message->known_ids.len = sizeof known->bits;
    }
  kq_hop_send_reply (hop, sender, message);
}

static bool
is_valid (const KqNode__Tell *message)
{
  if (message->status == 0 || message->n_closed > KQ_ADMISSION_MAX_QUEUES
      || message->known_ids.len != KQ_IDSET_BYTES)
    return false;
  for (size_t i = 0; i < message->n_closed; i++)
    if (!kq_admission_is_valid (message->closed[i]->queue,
                                message->closed[i]->until_ms,
                                message->closed[i]->retry_ms))
      return false;
  return true;
}

void
kq_closures_note (struct kq_admission *admission, const KqNode__Tell *message,
                  kq_usec since)
{
  static bool logged;

  if (message == NULL || message->n_closed == 0)
    return;
  if (!is_valid (message))
    {
      if (!logged)
        kq_log (KQ_LOG_WARN, "desk", "malformed figures of closed queues",
                KQ_ESYNTAX, NULL);
      logged = true;
      kq_metric_add (&bad_count, 1);
      return;
    }
  memcpy (admission->known.bits, message->known_ids.data, KQ_IDSET_BYTES);
  for (size_t i = 0; i < message->n_closed; i++)
    kq_admission_note (admission, message->closed[i]->queue,
                       message->closed[i]->until_ms,
                       message->closed[i]->retry_ms, since);
}

bool
kq_closures_may_refuse (const void *body, size_t size)
{
  struct kq_sched_spec spec;
  bool may_refuse;

  if (kq_submission_read (body, size, &spec) != 0)
    return false;
  may_refuse = spec.times == 0;
  for (int i = 0; i < spec.step_count; i++)
    may_refuse = may_refuse && !spec.steps[i].long_running;
  kq_sched_spec_clear (&spec);
  return may_refuse;
}

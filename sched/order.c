#include "sched/order.h"

struct kq_sched_event
kq_order_event (const struct kq_order_result *result)
{
  static const enum kq_sched_event_kind kinds[]
      = { [KQ_ORDER_START] = KQ_SCHED_EV_STARTED,
          [KQ_ORDER_STOP] = KQ_SCHED_EV_STOPPED,
          [KQ_ORDER_PACE] = KQ_SCHED_EV_PACED,
          [KQ_ORDER_POLL] = KQ_SCHED_EV_POLLED };
  struct kq_sched_event event = { .kind = kinds[result->kind] };

  if (result->kind == KQ_ORDER_POLL)
    {
      event.u.polled.worker = result->worker;
      event.u.polled.reply = result->reply;
      event.u.polled.sent_at = result->sent_at;
      event.u.polled.fence = result->fence;
      event.u.polled.worker_status = result->worker_status;
      return event;
    }
  event.u.order.worker = result->worker;
  event.u.order.run = result->run;
  event.u.order.reply = result->reply;
  event.u.order.sent_at = result->sent_at;
  event.u.order.fence = result->fence;
  event.u.order.worker_clock_ms = result->worker_clock_ms;
  return event;
}

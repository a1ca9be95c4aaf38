#include "node/relay.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>

#include "base/err.h"
#include "log/log.h"
#include "metrics/metrics.h"
#include "platform/orders.h"
#include "relay/message.h"

/* Results are sent at most this often, so that one message carries several. */
#define FLUSH_INTERVAL_SEC 0.020

static struct kq_metric order_count
    = { .name = "kq_relay_orders_total",
        .help = "Orders carried out for an owner on another host." };
static struct kq_metric expired_count
    = { .name = "kq_relay_expired_orders_total",
        .help = "Orders not carried out since they arrived too late." };
static struct kq_metric refused_count
    = { .name = "kq_relay_refused_batches_total",
        .help = "Batches of orders that were malformed or of an earlier "
                "owner." };

struct kq_relay
{
  struct ev_loop *loop;
  struct kq_hop *hop;
  struct kq_http_client *http_client; /* created for the first orders */
  struct kq_orders *orders;
  struct kq_hop_sender owner;
  struct kq_relay_state state;
  struct kq_relay_batch results;
  ev_timer flush_timer;
};

void
kq_relay_register_metrics (void)
{
  kq_metric_register (&order_count);
  kq_metric_register (&expired_count);
  kq_metric_register (&refused_count);
}

static void
send_state (struct kq_relay *relay, const struct kq_hop_sender *receiver)
{
  KqNode__Tell message = KQ_NODE__TELL__INIT;

  relay->state.time_ms = kq_clock_now () / KQ_USEC_PER_MSEC;
  if (kq_relay_add_state (&relay->results, &relay->state) != 0)
    return;
  message.results.data = relay->results.bytes;
  message.results.len = relay->results.size;
  kq_hop_send_reply (relay->hop, receiver, &message);
  kq_relay_batch_clear (&relay->results);
}

static void
on_flush (struct ev_loop *loop, ev_timer *timer, int events)
{
  struct kq_relay *relay = timer->data;

  if (relay->owner.size > 0)
    send_state (relay, &relay->owner);
}

static void
schedule_flush (struct kq_relay *relay)
{
  if (ev_is_active (&relay->flush_timer))
    return;
  ev_timer_set (&relay->flush_timer, FLUSH_INTERVAL_SEC, 0);
  ev_timer_start (relay->loop, &relay->flush_timer);
}

static void
on_result (void *arg, const struct kq_order_result *result)
{
  struct kq_relay *relay = arg;

  if (kq_relay_add_result (&relay->results, result) != 0)
    kq_log (KQ_LOG_ERROR, "relay", "result not sent", KQ_ENOMEM, "worker",
            result->worker, NULL);
  if (relay->results.size >= KQ_RELAY_BATCH_BYTES && relay->owner.size > 0)
    send_state (relay, &relay->owner);
  else
    schedule_flush (relay);
}

struct kq_relay *
kq_relay_create (struct ev_loop *loop, struct kq_hop *hop)
{
  struct kq_relay *relay = calloc (1, sizeof *relay);

  if (relay == NULL)
    return NULL;
  relay->loop = loop;
  relay->hop = hop;
  ev_init (&relay->flush_timer, on_flush);
  relay->flush_timer.data = relay;
  return relay;
}

void
kq_relay_destroy (struct kq_relay *relay)
{
  if (relay == NULL)
    return;
  ev_timer_stop (relay->loop, &relay->flush_timer);
  kq_http_client_destroy (relay->http_client);
  kq_orders_destroy (relay->orders);
  kq_relay_batch_clear (&relay->results);
  free (relay);
}

static bool
create_client (struct kq_relay *relay)
{
  if (relay->http_client == NULL)
    relay->http_client = kq_http_client_create (relay->loop, relay);
  if (relay->http_client != NULL && relay->orders == NULL)
    relay->orders = kq_orders_create (relay->http_client, on_result, relay);
  return relay->orders != NULL;
}

/* Follows a new owner.  Results that are on their way to the earlier one are
   dropped: their tags mean nothing to the new one. */
static void
follow (struct kq_relay *relay, int64_t fence,
        const struct kq_hop_sender *sender)
{
  char number[24];

  relay->owner = *sender;
  if (fence == relay->state.fence)
    return;
  snprintf (number, sizeof number, "%" PRId64, fence);
  kq_log (KQ_LOG_INFO, "relay", "follows owner", 0, "term", number, NULL);
  relay->state.fence = fence;
  relay->state.received = 0;
  kq_relay_batch_clear (&relay->results);
  kq_orders_set_fence (relay->orders, fence);
}

struct visit
{
  struct kq_relay *relay;
  const struct kq_hop_sender *sender;
  const struct kq_relay_terms *terms;
  bool outdated;
};

/* Whether the owner has stopped waiting for orders with TERMS: they were held
   up on the way here, or while this host stood still. */
static bool
has_expired (const struct kq_relay_terms *terms)
{
  return terms->expires_ms != 0
         && kq_clock_now () > terms->expires_ms * KQ_USEC_PER_MSEC;
}

/* Reports ORDER, which is not carried out, as one without a reply. */
static void
report_expired (struct kq_relay *relay, const struct kq_order *order)
{
  struct kq_order_result result = { .tag = order->tag,
                                    .kind = order->kind,
                                    .worker = order->worker,
                                    .run = order->run,
                                    .reply = KQ_SCHED_NO_REPLY };

  kq_metric_add (&expired_count, 1);
  on_result (relay, &result);
}

static void
visit_order (void *arg, const struct kq_order *order)
{
  struct visit *visit = arg;
  struct kq_relay *relay = visit->relay;

  if (visit->terms->fence < relay->state.fence)
    {
      visit->outdated = true;
      return;
    }
  follow (relay, visit->terms->fence, visit->sender);
  if (has_expired (visit->terms))
    {
      report_expired (relay, order);
      return;
    }
  kq_metric_add (&order_count, 1);
  kq_orders_send (relay->orders, order);
}

void
kq_relay_handle_orders (struct kq_relay *relay,
                        const struct kq_hop_sender *sender,
                        const KqNode__Ask *message)
{
  struct kq_relay_terms terms = { 0 };
  struct visit visit = { .relay = relay, .sender = sender, .terms = &terms };

  if (!create_client (relay))
    {
      kq_log (KQ_LOG_ERROR, "relay", "orders not carried out", KQ_ENOMEM,
              NULL);
      return;
    }
  if (kq_relay_read_orders (message->body.data, message->body.len, &terms,
                            visit_order, &visit)
      != 0)
    {
      kq_metric_add (&refused_count, 1);
      kq_log (KQ_LOG_WARN, "relay", "malformed batch of orders ignored",
              KQ_ESYNTAX, NULL);
      return;
    }
  if (visit.outdated)
    {
      kq_metric_add (&refused_count, 1);
      send_state (relay, sender);
      return;
    }
  relay->state.received = message->number;
  schedule_flush (relay);
}

void
kq_relay_leave (struct kq_relay *relay)
{
  relay->state.leaving = true;
  if (relay->owner.size > 0)
    send_state (relay, &relay->owner);
}

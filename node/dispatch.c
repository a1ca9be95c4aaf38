#include "node/dispatch.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <uthash.h>
#include <utlist.h>

#include "base/err.h"
#include "log/log.h"
#include "metrics/metrics.h"
#include "platform/orders.h"
#include "relay/message.h"
#include "relay/plan.h"

/* A relay that has acknowledged no batch for this long is not used for some
   time.  It acknowledges each within a few ms; a host that runs five times
   slower, within 100 ms. */
#define RELAY_SILENCE_US (500 * KQ_USEC_PER_MSEC)
#define SUSPENSION_US (3 * KQ_USEC_PER_SEC)

/* A relay that is about to stop is not used until it is back. */
#define LEAVING_SUSPENSION_US (10 * KQ_USEC_PER_SEC)

/* Time after which an order that a relay has acknowledged counts as not
   answered: the longest timeout of the relay's own call, and its delay. */
#define RESULT_TIMEOUT_US (1200 * KQ_USEC_PER_MSEC)

/* A relay is judged by its results in each interval: if so many calls had no
   answer, and more than so many for each that had one, it cannot reach its
   workers. */
#define JUDGE_INTERVAL_US (1000 * KQ_USEC_PER_MSEC)
#define MIN_JUDGED_FAILURES 6
#define FAILURES_PER_ANSWER 2

#define TICK_SEC 0.05

static struct kq_metric relays
    = { .name = "kq_relays", .help = "Hosts that relay this owner's orders." };
static struct kq_metric relayed_count
    = { .name = "kq_relayed_orders_total",
        .help = "Orders sent through relays." };
static struct kq_metric suspension_count
    = { .name = "kq_relay_suspensions_total",
        .help = "Relays that were silent or did not reach workers." };
static struct kq_metric lost_count
    = { .name = "kq_relayed_orders_lost_total",
        .help = "Orders without a result from their relay." };

struct relay_link
{
  char address[KQ_HOST_TEXT_SIZE + 8];
  struct kq_relay_batch batch;
  kq_usec batch_begun_at; /* when its first order was added */
  uint64_t sent;          /* number of the last batch */
  uint64_t acked;         /* of the last batch that was acknowledged */
  kq_usec silent_since;   /* when it began to owe an acknowledgement; 0: no */
  bool leaving;
  kq_usec clock_offset; /* its clock less this host's, no larger than that */
  bool clock_known;
  kq_usec judged_at;
  int answers;  /* since then */
  int failures; /* calls without an answer */
  UT_hash_handle hh;
};

/* An order under way through a relay. */
struct flight
{
  uint64_t tag;
  struct relay_link *link;
  enum kq_order_kind kind;
  char worker[KQ_SCHED_NAME_SIZE];
  struct kq_sched_run run;
  int64_t fence;
  kq_usec sent_at;
  kq_usec expires_at;
  struct flight *prev; /* list of all */
  struct flight *next;
  UT_hash_handle hh;
};

struct kq_dispatch
{
  struct ev_loop *loop;
  struct kq_hop *hop;
  const struct kq_hosts *hosts;
  struct kq_dispatch_handler handler;
  struct kq_orders *orders; /* of this host's own calls */
  struct kq_relay_plan *plan;
  struct relay_link *links; /* by address */
  struct flight *flights;
  struct flight *flights_by_tag;
  int64_t fence;
  uint64_t last_tag;
  ev_timer tick;
};

void
kq_dispatch_register_metrics (void)
{
  kq_metric_register (&relays);
  kq_metric_register (&relayed_count);
  kq_metric_register (&suspension_count);
  kq_metric_register (&lost_count);
}

static void
report (struct kq_dispatch *dispatch, const struct kq_order_result *result)
{
  kq_relay_plan_note_reply (dispatch->plan, result->worker,
                            kq_sched_is_reply (result->reply));
  dispatch->handler.on_result (dispatch->handler.arg, result);
}

static void
on_own_result (void *arg, const struct kq_order_result *result)
{
  report (arg, result);
}

/* Ends FLIGHT with what its relay reported, or without a reply if RELAYED is
   NULL. */
static void
end_flight (struct kq_dispatch *dispatch, struct flight *flight,
            const struct kq_order_result *relayed)
{
  struct kq_order_result result = { .kind = flight->kind,
                                    .worker = flight->worker,
                                    .run = flight->run,
                                    .reply = KQ_SCHED_NO_REPLY,
                                    .fence = flight->fence,
                                    .sent_at = flight->sent_at };

  DL_DELETE (dispatch->flights, flight);
  HASH_DEL (dispatch->flights_by_tag, flight);
  if (relayed != NULL)
    {
      result.reply = relayed->reply;
      result.worker_clock_ms = relayed->worker_clock_ms;
      if (flight->kind == KQ_ORDER_POLL && relayed->reply == KQ_SCHED_OK)
        result.worker_status = relayed->worker_status;
    }
  report (dispatch, &result);
  free (flight);
}

/* Ends the orders under way through LINK, or through any link if LINK is NULL,
   that have expired by NOW. */
static void
end_expired (struct kq_dispatch *dispatch, const struct relay_link *link,
             kq_usec now)
{
  struct flight *flight;
  struct flight *next;

  DL_FOREACH_SAFE (dispatch->flights, flight, next)
  {
    if ((link != NULL && flight->link != link) || now < flight->expires_at)
      continue;
    kq_metric_add (&lost_count, 1);
    end_flight (dispatch, flight, NULL);
  }
}

static void
suspend (struct kq_dispatch *dispatch, struct relay_link *link, kq_usec now,
         kq_usec duration, const char *why)
{
  kq_metric_add (&suspension_count, 1);
  kq_log (KQ_LOG_WARN, "dispatch", "relay suspended", 0, "relay",
          link->address, "why", why, NULL);
  kq_relay_plan_suspend (dispatch->plan, link->address, now + duration);
}

static void
judge_link (struct kq_dispatch *dispatch, struct relay_link *link, kq_usec now)
{
  if (link->silent_since != 0 && now - link->silent_since > RELAY_SILENCE_US)
    {
      suspend (dispatch, link, now, SUSPENSION_US, "silent");
      link->silent_since = 0;
      /* Another host may have its address. */
      link->clock_known = false;
      link->acked = link->sent;
      end_expired (dispatch, link, INT64_MAX);
    }
  if (now - link->judged_at < JUDGE_INTERVAL_US)
    return;
  if (link->failures >= MIN_JUDGED_FAILURES
      && link->failures > link->answers * FAILURES_PER_ANSWER)
    suspend (dispatch, link, now, SUSPENSION_US, "cannot reach its workers");
  link->judged_at = now;
  link->answers = 0;
  link->failures = 0;
}

static void
on_tick (struct ev_loop *loop, ev_timer *timer, int events)
{
  struct kq_dispatch *dispatch = timer->data;
  struct relay_link *link;
  struct relay_link *next;
  kq_usec now;

  kq_hop_receive (dispatch->hop);
  now = kq_clock_now ();
  HASH_ITER (hh, dispatch->links, link, next)
  {
    judge_link (dispatch, link, now);
  }
  end_expired (dispatch, NULL, now);
  kq_metric_set (&relays, kq_relay_plan_count (dispatch->plan, now));
}

struct kq_dispatch *
kq_dispatch_create (struct ev_loop *loop, struct kq_http_client *http,
                    struct kq_hop *hop, const struct kq_hosts *hosts,
                    int64_t fence, const struct kq_dispatch_handler *handler)
{
  struct kq_dispatch *dispatch = calloc (1, sizeof *dispatch);

  if (dispatch == NULL)
    return NULL;
  dispatch->loop = loop;
  dispatch->hop = hop;
  dispatch->hosts = hosts;
  dispatch->handler = *handler;
  dispatch->fence = fence;
  /* Tags differ between owners: a relay may still report an earlier one's. */
  dispatch->last_tag = (uint64_t)fence << 32;
  ev_timer_init (&dispatch->tick, on_tick, TICK_SEC, TICK_SEC);
  dispatch->tick.data = dispatch;
  ev_timer_start (loop, &dispatch->tick);
  dispatch->orders = kq_orders_create (http, on_own_result, dispatch);
  dispatch->plan = kq_relay_plan_create (kq_hosts_self (hosts)->name);
  if (dispatch->orders == NULL || dispatch->plan == NULL)
    {
      kq_dispatch_destroy (dispatch);
      return NULL;
    }
  kq_orders_set_fence (dispatch->orders, fence);
  kq_dispatch_update_hosts (dispatch);
  return dispatch;
}

void
kq_dispatch_destroy (struct kq_dispatch *dispatch)
{
  struct relay_link *link;
  struct relay_link *next_link;
  struct flight *flight;
  struct flight *next_flight;

  if (dispatch == NULL)
    return;
  ev_timer_stop (dispatch->loop, &dispatch->tick);
  HASH_CLEAR (hh, dispatch->flights_by_tag);
  DL_FOREACH_SAFE (dispatch->flights, flight, next_flight) { free (flight); }
  link = dispatch->links;
  HASH_CLEAR (hh, dispatch->links);
  for (; link != NULL; link = next_link)
    {
      next_link = link->hh.next;
      kq_relay_batch_clear (&link->batch);
      free (link);
    }
  kq_orders_destroy (dispatch->orders);
  kq_relay_plan_destroy (dispatch->plan);
  free (dispatch);
}

void
kq_dispatch_update_hosts (struct kq_dispatch *dispatch)
{
  kq_relay_plan_set_hosts (dispatch->plan, dispatch->hosts);
}

void
kq_dispatch_set_worker (struct kq_dispatch *dispatch, const char *worker,
                        const char *zone)
{
  kq_relay_plan_set_worker (dispatch->plan, worker, zone);
}

void
kq_dispatch_remove_worker (struct kq_dispatch *dispatch, const char *worker)
{
  kq_relay_plan_remove_worker (dispatch->plan, worker);
}

static struct relay_link *
find_or_add_link (struct kq_dispatch *dispatch, const char *address)
{
  struct relay_link *link;

  HASH_FIND_STR (dispatch->links, address, link);
  if (link != NULL)
    return link;
  link = calloc (1, sizeof *link);
  if (link == NULL)
    return NULL;
  snprintf (link->address, sizeof link->address, "%s", address);
  HASH_ADD_STR (dispatch->links, address, link);
  return link;
}

/* A start that a relay holds up for longer than this owner waits for it would
   begin a run that is taken for over: one goes only where it can expire. */
static bool
may_relay (const struct relay_link *link, const struct kq_order *order)
{
  return link->clock_known || order->kind != KQ_ORDER_START;
}

/* A batch that is read later than it counts as unacknowledged would act on
   runs that are taken for over.  This process may have been paused before it
   sends the batch. */
static void
set_expiry (struct relay_link *link)
{
  kq_usec expires_at
      = link->batch_begun_at + link->clock_offset + RELAY_SILENCE_US;

  if (link->clock_known
      && kq_relay_set_expiry (&link->batch, expires_at / KQ_USEC_PER_MSEC)
             != 0)
    kq_log (KQ_LOG_ERROR, "dispatch", "expiry of orders not set", KQ_ENOMEM,
            "relay", link->address, NULL);
}

static void
flush_link (struct kq_dispatch *dispatch, struct relay_link *link)
{
  KqNode__Ask message = KQ_NODE__ASK__INIT;
  kq_usec now = kq_clock_now ();

  set_expiry (link);
  message.number = ++link->sent;
  message.verb = KQ_HOP_ORDERS;
  message.body.data = link->batch.bytes;
  message.body.len = link->batch.size;
  if (link->silent_since == 0)
    link->silent_since = now;
  /* A batch that cannot be sent is not acknowledged either. */
  if (kq_hop_send_request (dispatch->hop, link->address, &message) != 0)
    kq_log (KQ_LOG_WARN, "dispatch", "orders not sent to relay", KQ_EIO,
            "relay", link->address, NULL);
  kq_relay_batch_clear (&link->batch);
}

/* Adds ORDER to the batch for the relay at ADDRESS.  Returns whether it was
   added. */
static bool
send_through_relay (struct kq_dispatch *dispatch, const char *address,
                    const struct kq_order *order)
{
  struct relay_link *link = find_or_add_link (dispatch, address);
  struct flight *flight = calloc (1, sizeof *flight);
  struct kq_order tagged = *order;

  if (link == NULL || flight == NULL || !may_relay (link, order))
    {
      free (flight);
      return false;
    }
  flight->tag = ++dispatch->last_tag;
  flight->link = link;
  flight->kind = order->kind;
  flight->run = order->run;
  flight->fence = order->fence;
  snprintf (flight->worker, sizeof flight->worker, "%s", order->worker);
  flight->sent_at = kq_clock_now ();
  flight->expires_at = flight->sent_at + RESULT_TIMEOUT_US
                       + order->wait_ms * KQ_USEC_PER_MSEC;
  tagged.tag = flight->tag;
  if (link->batch.count == 0)
    link->batch_begun_at = flight->sent_at;
  if (kq_relay_add_order (&link->batch, dispatch->fence, &tagged) != 0)
    {
      free (flight);
      return false;
    }
  if (link->batch.size >= KQ_RELAY_BATCH_BYTES)
    flush_link (dispatch, link);
  DL_APPEND (dispatch->flights, flight);
  HASH_ADD (hh, dispatch->flights_by_tag, tag, sizeof flight->tag, flight);
  kq_metric_add (&relayed_count, 1);
  return true;
}

void
kq_dispatch_send (struct kq_dispatch *dispatch, const struct kq_order *order)
{
  const char *address
      = kq_relay_plan_find (dispatch->plan, kq_clock_now (), order->worker);

  if (address == NULL || !send_through_relay (dispatch, address, order))
    kq_orders_send (dispatch->orders, order);
}

void
kq_dispatch_flush (struct kq_dispatch *dispatch)
{
  struct relay_link *link;
  struct relay_link *next;

  HASH_ITER (hh, dispatch->links, link, next)
  {
    if (link->batch.count > 0)
      flush_link (dispatch, link);
  }
}

struct results
{
  struct kq_dispatch *dispatch;
  struct relay_link *link;
};

static void
visit_result (void *arg, const struct kq_order_result *result)
{
  struct results *results = arg;
  struct flight *flight;

  HASH_FIND (hh, results->dispatch->flights_by_tag, &result->tag,
             sizeof result->tag, flight);
  if (!kq_sched_is_reply (result->reply))
    results->link->failures++;
  else
    results->link->answers++;
  if (flight != NULL)
    end_flight (results->dispatch, flight, result);
}

/* The result that was under way for the shortest time tells the most of the
   relay's clock.  A relay of an earlier version tells none. */
static void
note_clock (struct relay_link *link, int64_t time_ms, kq_usec now)
{
  kq_usec offset = time_ms * KQ_USEC_PER_MSEC - now;

  if (!link->clock_known || offset > link->clock_offset)
    link->clock_offset = offset;
  link->clock_known = time_ms != 0;
}

static void
apply_state (struct kq_dispatch *dispatch, struct relay_link *link,
             const struct kq_relay_state *state)
{
  kq_usec now = kq_clock_now ();

  if (state->fence > dispatch->fence)
    {
      dispatch->handler.on_fenced (dispatch->handler.arg);
      return;
    }
  note_clock (link, state->time_ms, now);
  if (state->received > link->acked && state->received <= link->sent)
    {
      link->acked = state->received;
      link->silent_since = link->acked == link->sent ? 0 : now;
    }
  if (state->leaving && !link->leaving)
    suspend (dispatch, link, now, LEAVING_SUSPENSION_US, "leaving");
  link->leaving = state->leaving;
}

void
kq_dispatch_handle_results (struct kq_dispatch *dispatch, const char *address,
                            const uint8_t *bytes, size_t size)
{
  struct results results = { .dispatch = dispatch };
  struct kq_relay_state state;

  HASH_FIND_STR (dispatch->links, address, results.link);
  if (results.link == NULL)
    return;
  if (kq_relay_read_results (bytes, size, &state, visit_result, &results) != 0)
    {
      kq_log (KQ_LOG_WARN, "dispatch", "malformed results ignored", KQ_ESYNTAX,
              "relay", address, NULL);
      return;
    }
  apply_state (dispatch, results.link, &state);
}

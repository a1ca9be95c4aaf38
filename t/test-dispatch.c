/* Orders through relays.  Guards against orders that never end when their
   relay is lost, results that reach another order or another owner, and two
   owners that give orders through one relay.  */
#include <ev.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "node/dispatch.h"
#include "node/relay.h"
#include "relay/message.h"
#include "t/kqtest.h"
#include "t/lib-port.h"

#define WORKERS 200
#define FENCE 7

static char owner_address[KQ_HOST_TEXT_SIZE];
static char relay_address[KQ_HOST_TEXT_SIZE];

/* A host that acts as relay, and an owner that dispatches orders. */
struct cell
{
  struct ev_loop *loop;
  struct kq_hop *owner_hop;
  struct kq_hop *relay_hop;
  struct kq_relay *relay; /* NULL: the test replies */
  struct kq_http_client *http;
  struct kq_hosts *hosts;
  struct kq_dispatch *dispatch;
  bool silent; /* the relay does not reply */
  bool leaving;
  int64_t relay_time_ms; /* that the relay sends along; 0: none */
  int64_t relay_fence;
  int orders; /* received by the relay */
  int results;
  int unanswered; /* of these */
  bool fenced;
  struct kq_order_result last;
  char last_worker[KQ_SCHED_NAME_SIZE];
  kq_usec last_at;
  struct kq_relay_batch replies;
};

static void
on_relayed_order (void *arg, const struct kq_order *order)
{
  struct cell *cell = arg;
  struct kq_order_result result = { .tag = order->tag,
                                    .kind = order->kind,
                                    .reply = KQ_SCHED_STALE_RUN,
                                    .worker_clock_ms = 1000 + order->run.run };

  cell->orders++;
  kq_relay_add_result (&cell->replies, &result);
}

static void
on_request (void *arg, const struct kq_hop_sender *sender,
            const KqNode__Ask *message)
{
  struct cell *cell = arg;
  KqNode__Tell reply = KQ_NODE__TELL__INIT;
  struct kq_relay_state state
      = { .received = message->number, .leaving = cell->leaving };
  struct kq_relay_terms terms = { 0 };

  if (cell->relay != NULL)
    {
      kq_relay_handle_orders (cell->relay, sender, message);
      return;
    }
  kq_relay_read_orders (message->body.data, message->body.len, &terms,
                        on_relayed_order, cell);
  state.fence = terms.fence;
  state.time_ms = cell->relay_time_ms;
  if (cell->relay_fence != 0)
    state.fence = cell->relay_fence;
  kq_relay_add_state (&cell->replies, &state);
  reply.results.data = cell->replies.bytes;
  reply.results.len = cell->replies.size;
  if (!cell->silent)
    kq_hop_send_reply (cell->relay_hop, sender, &reply);
  kq_relay_batch_clear (&cell->replies);
}

static void
on_reply (void *arg, const char *address, const KqNode__Tell *message)
{
  struct cell *cell = arg;

  CU_ASSERT_STRING_EQUAL (address, relay_address);
  kq_dispatch_handle_results (cell->dispatch, address, message->results.data,
                              message->results.len);
}

static void
ignore_request (void *arg, const struct kq_hop_sender *sender,
                const KqNode__Ask *message)
{
}

static void
ignore_reply (void *arg, const char *address, const KqNode__Tell *message)
{
}

static void
on_result (void *arg, const struct kq_order_result *result)
{
  struct cell *cell = arg;

  cell->results++;
  cell->unanswered += !kq_sched_is_reply (result->reply);
  cell->last = *result;
  snprintf (cell->last_worker, sizeof cell->last_worker, "%s", result->worker);
  cell->last_at = kq_clock_now ();
}

static void
on_fenced (void *arg)
{
  ((struct cell *)arg)->fenced = true;
}

/* Copies of this program may run side by side. */
static void
choose_addresses (void)
{
  int owner = port_open (owner_address, sizeof owner_address);
  int relay = port_open (relay_address, sizeof relay_address);

  close (owner);
  close (relay);
}

static struct kq_host
host_at (const char *name, const char *address)
{
  struct kq_host host = { .zone = "z", .cores = 1 };

  snprintf (host.name, sizeof host.name, "%s", name);
  snprintf (host.address, sizeof host.address, "%s", address);
  return host;
}

static void
announce_relay (struct kq_hosts *hosts)
{
  struct kq_host self = host_at ("relay", relay_address);
  struct kq_hosts *other = kq_hosts_create (&self);
  uint8_t bytes[KQ_HOSTS_MAX_BYTES];
  size_t size;

  kq_hosts_next_announcement (other, 1, bytes);
  size = kq_hosts_next_announcement (other, KQ_USEC_PER_SEC, bytes);
  kq_hosts_apply (hosts, kq_clock_now (), "relay", bytes, size);
  kq_hosts_destroy (other);
}

static struct cell *
start_cell (void)
{
  struct kq_host self;
  struct cell *cell = calloc (1, sizeof *cell);
  struct kq_hop_handler owner
      = { .arg = cell, .on_request = ignore_request, .on_reply = on_reply };
  struct kq_hop_handler relay
      = { .arg = cell, .on_request = on_request, .on_reply = ignore_reply };
  struct kq_dispatch_handler handler
      = { .arg = cell, .on_result = on_result, .on_fenced = on_fenced };
  int err = 0;

  choose_addresses ();
  self = host_at ("owner", owner_address);
  cell->loop = ev_loop_new (EVFLAG_AUTO);
  cell->owner_hop = kq_hop_create (cell->loop, owner_address, &owner, &err);
  CU_ASSERT_PTR_NOT_NULL_FATAL (cell->owner_hop);
  cell->relay_hop = kq_hop_create (cell->loop, relay_address, &relay, &err);
  CU_ASSERT_PTR_NOT_NULL_FATAL (cell->relay_hop);
  cell->http = kq_http_client_create (cell->loop, cell);
  cell->hosts = kq_hosts_create (&self);
  announce_relay (cell->hosts);
  cell->dispatch = kq_dispatch_create (cell->loop, cell->http, cell->owner_hop,
                                       cell->hosts, FENCE, &handler);
  for (int i = 0; i < WORKERS; i++)
    {
      char worker[16];

      snprintf (worker, sizeof worker, "w%d", i);
      kq_dispatch_set_worker (cell->dispatch, worker, "z");
    }
  return cell;
}

static void
stop_cell (struct cell *cell)
{
  kq_dispatch_destroy (cell->dispatch);
  kq_relay_destroy (cell->relay);
  kq_http_client_destroy (cell->http);
  kq_hosts_destroy (cell->hosts);
  kq_hop_destroy (cell->owner_hop);
  kq_hop_destroy (cell->relay_hop);
  ev_loop_destroy (cell->loop);
  free (cell);
}

static void
on_end (struct ev_loop *loop, ev_timer *timer, int events)
{
  ev_break (loop, EVBREAK_ALL);
}

static void
run_for (struct cell *cell, double seconds)
{
  ev_timer timer;

  ev_timer_init (&timer, on_end, seconds, 0);
  ev_timer_start (cell->loop, &timer);
  ev_run (cell->loop, 0);
  ev_timer_stop (cell->loop, &timer);
}

/* Runs the cell until COUNT orders have ended, for 5 s at most. */
static void
run_until_ended (struct cell *cell, int count)
{
  for (int i = 0; i < 250 && cell->results < count; i++)
    run_for (cell, 0.02);
  CU_ASSERT_EQUAL (cell->results, count);
}

/* Runs the cell until the owner knows of a later one, for 5 s at most. */
static void
run_until_fenced (struct cell *cell)
{
  for (int i = 0; i < 250 && !cell->fenced; i++)
    run_for (cell, 0.02);
  CU_ASSERT (cell->fenced);
}

static void
send_stops_to (struct cell *cell, int count, const char *address)
{
  for (int i = 0; i < count; i++)
    {
      char worker[16];
      struct kq_order order = { .kind = KQ_ORDER_STOP,
                                .worker = worker,
                                .address = address,
                                .run = { 1, 0, 0, i, 1 + i } };

      snprintf (worker, sizeof worker, "w%d", i);
      kq_dispatch_send (cell->dispatch, &order);
    }
  kq_dispatch_flush (cell->dispatch);
}

/* The address has no listener, so that an order that is not relayed ends
   without an answer at once. */
static void
send_stops (struct cell *cell, int count)
{
  send_stops_to (cell, count, "127.0.0.1:1");
}

static void
test_results_reach_their_orders (void)
{
  struct cell *cell = start_cell ();

  send_stops (cell, 50);
  run_for (cell, 0.3);
  CU_ASSERT_EQUAL (cell->orders, 50);
  CU_ASSERT_EQUAL (cell->results, 50);
  CU_ASSERT_EQUAL (cell->unanswered, 0);
  CU_ASSERT_EQUAL (cell->last.kind, KQ_ORDER_STOP);
  CU_ASSERT_EQUAL (cell->last.reply, KQ_SCHED_STALE_RUN);
  CU_ASSERT_EQUAL (cell->last.worker_clock_ms, 1000 + cell->last.run.run);
  CU_ASSERT_EQUAL (atoi (cell->last_worker + 1), cell->last.run.index);
  stop_cell (cell);
}

static void
test_silent_relay (void)
{
  struct cell *cell = start_cell ();
  kq_usec started = kq_clock_now ();

  cell->silent = true;
  send_stops (cell, 20);
  run_for (cell, 1.0);
  CU_ASSERT_EQUAL (cell->orders, 20);
  CU_ASSERT_EQUAL (cell->results, 20);
  CU_ASSERT_EQUAL (cell->unanswered, 20);
  CU_ASSERT (cell->last_at - started < 900 * KQ_USEC_PER_MSEC);
  /* Meanwhile the owner calls the workers itself. */
  send_stops (cell, 20);
  run_for (cell, 0.2);
  CU_ASSERT_EQUAL (cell->orders, 20);
  CU_ASSERT_EQUAL (cell->results, 40);
  stop_cell (cell);
}

static void
test_leaving_relay (void)
{
  struct cell *cell = start_cell ();

  cell->leaving = true;
  send_stops (cell, 20);
  run_for (cell, 0.3);
  CU_ASSERT_EQUAL (cell->unanswered, 0);
  CU_ASSERT_EQUAL (cell->orders, 20);
  send_stops (cell, 20);
  run_for (cell, 0.3);
  CU_ASSERT_EQUAL (cell->orders, 20);
  stop_cell (cell);
}

static void
test_relay_of_a_later_owner (void)
{
  struct cell *cell = start_cell ();

  cell->relay_fence = FENCE + 1;
  send_stops (cell, 1);
  run_until_fenced (cell);
  stop_cell (cell);
}

static void
test_relay_refuses_an_earlier_owner (void)
{
  struct cell *cell = start_cell ();
  KqNode__Ask message = KQ_NODE__ASK__INIT;
  struct kq_relay_batch batch = { 0 };
  struct kq_order order = { .kind = KQ_ORDER_STOP,
                            .worker = "w1",
                            .address = "127.0.0.1:1",
                            .run = { 1, 0, 0, 0, 1 } };

  cell->relay = kq_relay_create (cell->loop, cell->relay_hop);
  kq_relay_add_order (&batch, FENCE + 1, &order);
  message.number = 1;
  message.verb = KQ_HOP_ORDERS;
  message.body.data = batch.bytes;
  message.body.len = batch.size;
  kq_hop_send_request (cell->owner_hop, relay_address, &message);
  run_for (cell, 0.2);
  send_stops (cell, 5);
  run_until_fenced (cell);
  kq_relay_batch_clear (&batch);
  stop_cell (cell);
}

/* The relay carries orders out; here the workers refuse connections. */
static void
test_relay_reports_unanswered_orders (void)
{
  struct cell *cell = start_cell ();

  cell->relay = kq_relay_create (cell->loop, cell->relay_hop);
  send_stops (cell, 5);
  run_until_ended (cell, 5);
  CU_ASSERT_EQUAL (cell->unanswered, 5);
  CU_ASSERT_FALSE (cell->fenced);
  stop_cell (cell);
}

/* Guards against orders that a relay carries out after its owner has taken
   their runs for over: it stood still, or they were held up on the way. */
static void
test_relay_drops_late_orders (void)
{
  struct cell *cell = start_cell ();
  char address[32];
  int fd = port_open (address, sizeof address);

  cell->relay = kq_relay_create (cell->loop, cell->relay_hop);
  send_stops (cell, 1);
  run_until_ended (cell, 1);
  send_stops_to (cell, 3, address);
  usleep (800 * 1000);
  run_until_ended (cell, 4);
  CU_ASSERT_EQUAL (cell->unanswered, 4);
  CU_ASSERT_FALSE (port_was_called (fd));
  stop_cell (cell);
}

/* Guards against an expiry that a pause of the owner puts off: the batch was
   filled before it. */
static void
test_batch_held_up_at_owner (void)
{
  struct cell *cell = start_cell ();
  char address[32];
  int fd = port_open (address, sizeof address);
  struct kq_order order = { .kind = KQ_ORDER_STOP,
                            .worker = "w1",
                            .address = address,
                            .run = { 1, 0, 0, 0, 1 } };

  cell->relay = kq_relay_create (cell->loop, cell->relay_hop);
  send_stops (cell, 1);
  run_until_ended (cell, 1);
  kq_dispatch_send (cell->dispatch, &order);
  usleep (800 * 1000);
  kq_dispatch_flush (cell->dispatch);
  run_until_ended (cell, 2);
  CU_ASSERT_FALSE (port_was_called (fd));
  stop_cell (cell);
}

/* Guards against starts through a relay that cannot tell when they are
   late, since its clock is not known yet. */
static void
test_start_awaits_clock_of_relay (void)
{
  struct cell *cell = start_cell ();
  struct kq_order order = { .kind = KQ_ORDER_START,
                            .worker = "w1",
                            .address = "127.0.0.1:1",
                            .run = { 1, 0, 0, 0, 1 },
                            .text = "",
                            .checkpoint = "",
                            .ticket = "" };

  kq_dispatch_send (cell->dispatch, &order);
  kq_dispatch_flush (cell->dispatch);
  run_until_ended (cell, 1);
  CU_ASSERT_EQUAL (cell->orders, 0);
  cell->relay_time_ms = kq_clock_now () / KQ_USEC_PER_MSEC;
  send_stops (cell, 1);
  run_until_ended (cell, 2);
  CU_ASSERT_EQUAL (cell->orders, 1);
  kq_dispatch_send (cell->dispatch, &order);
  kq_dispatch_flush (cell->dispatch);
  run_until_ended (cell, 3);
  CU_ASSERT_EQUAL (cell->orders, 2);
  /* A relay of an earlier version has its place. */
  cell->relay_time_ms = 0;
  send_stops (cell, 1);
  run_until_ended (cell, 4);
  kq_dispatch_send (cell->dispatch, &order);
  kq_dispatch_flush (cell->dispatch);
  run_until_ended (cell, 5);
  CU_ASSERT_EQUAL (cell->orders, 3);
  stop_cell (cell);
}

/* Guards against a batch of starts with long checkpoints that outgrows what a
   relay accepts: it would be dropped as a whole, each time. */
static void
test_long_checkpoints (void)
{
  enum
  {
    STARTS = 320,
    LENGTH = 64 * 1024
  };
  struct cell *cell = start_cell ();
  char *text = malloc (LENGTH + 1);
  struct kq_order order = { .kind = KQ_ORDER_START,
                            .worker = "w1",
                            .address = "127.0.0.1:1",
                            .text = "",
                            .checkpoint = text,
                            .ticket = "" };

  memset (text, 'x', LENGTH);
  text[LENGTH] = '\0';
  cell->relay_time_ms = kq_clock_now () / KQ_USEC_PER_MSEC;
  send_stops (cell, 1);
  run_until_ended (cell, 1);
  for (int i = 0; i < STARTS; i++)
    {
      order.run = (struct kq_sched_run){ 1, 0, 0, i, 1 };
      kq_dispatch_send (cell->dispatch, &order);
    }
  kq_dispatch_flush (cell->dispatch);
  run_until_ended (cell, STARTS + 1);
  CU_ASSERT_EQUAL (cell->orders, STARTS + 1);
  CU_ASSERT_EQUAL (cell->unanswered, 0);
  stop_cell (cell);
  free (text);
}

/* Guards against an expiry that drops orders which arrive in time. */
static void
test_relay_carries_out_prompt_orders (void)
{
  struct cell *cell = start_cell ();
  KqNode__Ask message = KQ_NODE__ASK__INIT;
  struct kq_relay_batch batch = { 0 };
  char address[32];
  int fd = port_open (address, sizeof address);
  struct kq_order order = { .kind = KQ_ORDER_STOP,
                            .worker = "w1",
                            .address = address,
                            .run = { 1, 0, 0, 0, 1 } };

  cell->relay = kq_relay_create (cell->loop, cell->relay_hop);
  kq_relay_add_order (&batch, FENCE, &order);
  kq_relay_set_expiry (&batch, kq_clock_now () / KQ_USEC_PER_MSEC + 60000);
  message.number = 1;
  message.verb = KQ_HOP_ORDERS;
  message.body.data = batch.bytes;
  message.body.len = batch.size;
  kq_hop_send_request (cell->owner_hop, relay_address, &message);
  run_for (cell, 1.0);
  CU_ASSERT (port_was_called (fd));
  kq_relay_batch_clear (&batch);
  stop_cell (cell);
}

static void
test_malformed_messages (void)
{
  struct cell *cell = start_cell ();
  KqNode__Ask message = KQ_NODE__ASK__INIT;
  uint8_t garbage[] = { 0xff, 0x00, 0xff };

  cell->relay = kq_relay_create (cell->loop, cell->relay_hop);
  message.verb = KQ_HOP_ORDERS;
  message.body.data = garbage;
  message.body.len = sizeof garbage;
  kq_hop_send_request (cell->owner_hop, relay_address, &message);
  kq_dispatch_handle_results (cell->dispatch, relay_address, garbage,
                              sizeof garbage);
  kq_dispatch_handle_results (cell->dispatch, "nobody", garbage,
                              sizeof garbage);
  run_for (cell, 0.1);
  send_stops (cell, 2);
  run_until_ended (cell, 2);
  stop_cell (cell);
}

static const struct kq_test tests[] = {
  { "results reach their orders", test_results_reach_their_orders },
  { "a silent relay", test_silent_relay },
  { "a leaving relay", test_leaving_relay },
  { "a relay of a later owner", test_relay_of_a_later_owner },
  { "a relay refuses an earlier owner", test_relay_refuses_an_earlier_owner },
  { "a relay reports unanswered orders",
    test_relay_reports_unanswered_orders },
  { "a relay drops late orders", test_relay_drops_late_orders },
  { "a batch held up at its owner", test_batch_held_up_at_owner },
  { "a start awaits the clock of its relay",
    test_start_awaits_clock_of_relay },
  { "a relay carries out prompt orders",
    test_relay_carries_out_prompt_orders },
  { "starts with long checkpoints", test_long_checkpoints },
  { "malformed messages", test_malformed_messages },
};

KQ_TEST_MAIN ("test-dispatch", tests)

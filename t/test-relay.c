/* Which host relays orders to which worker, and the batches between owner and
   relay.  Guards against a relay's loss that moves other relays' workers, a
   worker that stays with a relay that does not reach it, and batches whose
   malformed parts are carried out.  */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/err.h"
#include "relay/message.h"
#include "relay/plan.h"
#include "t/kqtest.h"

#define ZONES 3
#define ZONE_HOSTS 6
#define WORKERS 900
#define NAME_SIZE 16
#define SELF "h0-0"

static const kq_usec now = 100 * KQ_USEC_PER_SEC;

static void
host_name (char name[NAME_SIZE], int zone, int i)
{
  snprintf (name, NAME_SIZE, "h%d-%d", zone, i);
}

static void
worker_name (char name[NAME_SIZE], int i)
{
  snprintf (name, NAME_SIZE, "w%d", i);
}

static void
add_host (struct kq_hosts *hosts, int zone, int i)
{
  struct kq_host self = { .cores = i < 3 ? 0.5 : 0.12 };
  struct kq_hosts *other;
  uint8_t bytes[KQ_HOSTS_MAX_BYTES];
  size_t size;

  host_name (self.name, zone, i);
  snprintf (self.address, sizeof self.address, "10.%d.0.%d:7720", zone, i);
  snprintf (self.zone, sizeof self.zone, "z%d", zone);
  other = kq_hosts_create (&self);
  kq_hosts_next_announcement (other, now, bytes);
  size = kq_hosts_next_announcement (other, now + KQ_USEC_PER_SEC, bytes);
  kq_hosts_apply (hosts, now, self.name, bytes, size);
  kq_hosts_destroy (other);
}

static struct kq_hosts *
create_hosts (int zones)
{
  struct kq_host self = {
    .name = SELF, .address = "10.0.0.0:7720", .zone = "z0", .cores = 0.5
  };
  struct kq_hosts *hosts = kq_hosts_create (&self);

  for (int zone = 0; zone < zones; zone++)
    for (int i = 0; i < ZONE_HOSTS; i++)
      if (zone != 0 || i != 0)
        add_host (hosts, zone, i);
  return hosts;
}

static struct kq_relay_plan *
create_plan (const struct kq_hosts *hosts, int workers)
{
  struct kq_relay_plan *plan = kq_relay_plan_create (SELF);

  kq_relay_plan_set_hosts (plan, hosts);
  for (int i = 0; i < workers; i++)
    {
      char worker[NAME_SIZE];
      char zone[NAME_SIZE];

      worker_name (worker, i);
      snprintf (zone, sizeof zone, "z%d", i % ZONES);
      kq_relay_plan_set_worker (plan, worker, zone);
    }
  return plan;
}

/* Copies the relay of worker I, or "" if the owner calls it. */
static void
find (struct kq_relay_plan *plan, int i, kq_usec at, char address[32])
{
  char worker[NAME_SIZE];
  const char *found;

  worker_name (worker, i);
  found = kq_relay_plan_find (plan, at, worker);
  snprintf (address, 32, "%s", found != NULL ? found : "");
}

static void
test_small_cell_has_no_relays (void)
{
  struct kq_hosts *hosts = create_hosts (ZONES);
  struct kq_relay_plan *plan = create_plan (hosts, 66);
  char address[32];

  find (plan, 5, now, address);
  CU_ASSERT_STRING_EQUAL (address, "");
  CU_ASSERT_EQUAL (kq_relay_plan_count (plan, now), 0);
  kq_relay_plan_destroy (plan);
  kq_hosts_destroy (hosts);
}

static void
test_workers_have_large_relays_of_their_zone (void)
{
  struct kq_hosts *hosts = create_hosts (ZONES);
  struct kq_relay_plan *plan = create_plan (hosts, WORKERS);
  int counts[ZONES][ZONE_HOSTS] = { { 0 } };

  for (int i = 0; i < WORKERS; i++)
    {
      char address[32];
      int zone = -1;
      int host = -1;

      find (plan, i, now, address);
      CU_ASSERT_EQUAL_FATAL (sscanf (address, "10.%d.0.%d:7720", &zone, &host),
                             2);
      CU_ASSERT_EQUAL (zone, i % ZONES);
      CU_ASSERT (host < 3);
      CU_ASSERT (zone != 0 || host != 0);
      counts[zone][host]++;
    }
  CU_ASSERT_EQUAL (kq_relay_plan_count (plan, now), 6);
  for (int i = 0; i < ZONES; i++)
    for (int j = 0; j < ZONE_HOSTS; j++)
      CU_ASSERT (counts[i][j] == 0
                 || (counts[i][j] > 100 && counts[i][j] < 200));
  kq_relay_plan_destroy (plan);
  kq_hosts_destroy (hosts);
}

static void
test_lost_relay_moves_its_workers_only (void)
{
  struct kq_hosts *hosts = create_hosts (ZONES);
  struct kq_relay_plan *plan = create_plan (hosts, WORKERS);
  char before[WORKERS][32];
  char lost[32];
  int moved = 0;

  for (int i = 0; i < WORKERS; i++)
    find (plan, i, now, before[i]);
  memcpy (lost, before[1], sizeof lost);
  kq_relay_plan_suspend (plan, lost, now + 3 * KQ_USEC_PER_SEC);
  for (int i = 0; i < WORKERS; i++)
    {
      char address[32];

      find (plan, i, now, address);
      CU_ASSERT_STRING_NOT_EQUAL (address, lost);
      if (strcmp (before[i], lost) == 0)
        moved++;
      else
        CU_ASSERT_STRING_EQUAL (address, before[i]);
    }
  CU_ASSERT (moved > 100);
  /* When it is back, no worker changes its relay again. */
  for (int i = 0; i < WORKERS; i++)
    {
      char during[32];
      char after[32];

      find (plan, i, now, during);
      find (plan, i, now + 3 * KQ_USEC_PER_SEC, after);
      CU_ASSERT_STRING_EQUAL (during, after);
    }
  kq_relay_plan_destroy (plan);
  kq_hosts_destroy (hosts);
}

/* All ways to a worker are tried in turn: the other relay of its zone and the
   owner itself. */
static void
test_unanswered_worker_tries_other_ways (void)
{
  struct kq_hosts *hosts = create_hosts (ZONES);
  struct kq_relay_plan *plan = create_plan (hosts, WORKERS);
  char first[32];
  char second[32];
  char third[32];

  find (plan, 4, now, first);
  kq_relay_plan_note_reply (plan, "w4", false);
  find (plan, 4, now, second);
  CU_ASSERT_STRING_EQUAL (second, first);
  kq_relay_plan_note_reply (plan, "w4", false);
  find (plan, 4, now, second);
  CU_ASSERT_STRING_NOT_EQUAL (second, first);
  CU_ASSERT_STRING_NOT_EQUAL (second, "");
  kq_relay_plan_note_reply (plan, "w4", false);
  kq_relay_plan_note_reply (plan, "w4", false);
  find (plan, 4, now, third);
  CU_ASSERT_STRING_EQUAL (third, "");
  kq_relay_plan_note_reply (plan, "w4", true);
  find (plan, 4, now, third);
  CU_ASSERT_STRING_EQUAL (third, first);
  kq_relay_plan_destroy (plan);
  kq_hosts_destroy (hosts);
}

static void
test_zone_without_hosts (void)
{
  struct kq_hosts *hosts = create_hosts (ZONES - 1);
  struct kq_relay_plan *plan = create_plan (hosts, WORKERS);
  char address[32];

  find (plan, ZONES - 1, now, address);
  CU_ASSERT_STRING_NOT_EQUAL (address, "");
  CU_ASSERT_STRING_NOT_EQUAL (address, "10.0.0.0:7720");
  kq_relay_plan_destroy (plan);
  kq_hosts_destroy (hosts);
}

static void
test_workers_that_leave_need_no_relay (void)
{
  struct kq_hosts *hosts = create_hosts (ZONES);
  struct kq_relay_plan *plan = create_plan (hosts, WORKERS);

  for (int i = 100; i < WORKERS; i++)
    {
      char worker[NAME_SIZE];

      worker_name (worker, i);
      kq_relay_plan_remove_worker (plan, worker);
    }
  CU_ASSERT_EQUAL (kq_relay_plan_count (plan, now), 0);
  kq_relay_plan_destroy (plan);
  kq_hosts_destroy (hosts);
}

/* Batches. */

/* Longer than a name may be. */
#define LONG_CHECKPOINT                                                       \
  "0123456789012345678901234567890123456789012345678901234567890123456789"

struct received
{
  int orders;
  struct kq_order last;
  char text[64];
  char checkpoint[64];
  char running_checkpoint[128];
  char ended_checkpoint[128];
  int results;
  struct kq_order_result result;
  struct kq_sched_running running;
  struct kq_sched_ended ended;
  size_t running_count;
  size_t ended_count;
};

static void
on_order (void *arg, const struct kq_order *order)
{
  struct received *received = arg;

  received->orders++;
  received->last = *order;
  if (order->kind != KQ_ORDER_START)
    return;
  snprintf (received->text, sizeof received->text, "%s", order->text);
  snprintf (received->checkpoint, sizeof received->checkpoint, "%s",
            order->checkpoint);
}

static void
on_result (void *arg, const struct kq_order_result *result)
{
  struct received *received = arg;
  const struct kq_sched_status *status = result->worker_status;

  received->results++;
  received->result = *result;
  received->running_count = status->running_count;
  received->ended_count = status->ended_count;
  if (status->running_count > 0)
    {
      received->running = status->running[0];
      snprintf (received->running_checkpoint,
                sizeof received->running_checkpoint, "%s",
                status->running[0].checkpoint);
    }
  if (status->ended_count > 0)
    {
      received->ended = status->ended[0];
      snprintf (received->ended_checkpoint, sizeof received->ended_checkpoint,
                "%s", status->ended[0].checkpoint);
    }
}

static const struct kq_order start = { .tag = 77,
                                       .kind = KQ_ORDER_START,
                                       .worker = "w1",
                                       .address = "10.0.0.9:80",
                                       .run = { 0xabcdef, 1, 2, 3, 4 },
                                       .lease_end_ms = 123456,
                                       .text = "the body of the job",
                                       .checkpoint = "cp",
                                       .ticket = "" };

static void
test_orders_arrive_as_sent (void)
{
  struct kq_relay_batch batch = { 0 };
  struct kq_order poll = { .tag = 78,
                           .kind = KQ_ORDER_POLL,
                           .worker = "w2",
                           .address = "10.0.0.8:80",
                           .fence = 57,
                           .lease_end_ms = 99,
                           .acked = 1000000,
                           .wait_ms = 400 };
  struct kq_order second = start;
  struct received received = { 0 };
  size_t size_of_first;
  struct kq_relay_terms terms = { 0 };

  CU_ASSERT_EQUAL (kq_relay_add_order (&batch, 42, &start), 0);
  size_of_first = batch.size;
  second.run.index = 4;
  CU_ASSERT_EQUAL (kq_relay_add_order (&batch, 42, &second), 0);
  /* The text of a job is sent once. */
  CU_ASSERT (batch.size - size_of_first < size_of_first - strlen (start.text));
  CU_ASSERT_EQUAL (kq_relay_read_orders (batch.bytes, batch.size, &terms,
                                         on_order, &received),
                   0);
  CU_ASSERT_EQUAL (terms.fence, 42);
  CU_ASSERT_EQUAL (terms.expires_ms, 0);
  CU_ASSERT_EQUAL (received.orders, 2);
  CU_ASSERT_EQUAL (received.last.tag, 77);
  CU_ASSERT_EQUAL (memcmp (&received.last.run, &second.run, sizeof second.run),
                   0);
  CU_ASSERT_STRING_EQUAL (received.text, start.text);
  CU_ASSERT_STRING_EQUAL (received.checkpoint, "cp");
  CU_ASSERT_EQUAL (kq_relay_add_order (&batch, 42, &poll), 0);
  CU_ASSERT_EQUAL (kq_relay_set_expiry (&batch, 123456), 0);
  CU_ASSERT_EQUAL (kq_relay_read_orders (batch.bytes, batch.size, &terms,
                                         on_order, &received),
                   0);
  CU_ASSERT_EQUAL (terms.fence, 42);
  CU_ASSERT_EQUAL (terms.expires_ms, 123456);
  CU_ASSERT_EQUAL (received.last.kind, KQ_ORDER_POLL);
  CU_ASSERT_EQUAL (received.last.fence, 57);
  CU_ASSERT_EQUAL (received.last.acked, 1000000);
  CU_ASSERT_EQUAL (received.last.wait_ms, 400);
  kq_relay_batch_clear (&batch);
}

static void
add_status (struct kq_relay_batch *batch)
{
  struct kq_sched_running running
      = { .run = { 5, 0, 1, 2, 3 }, .percent = -1, .sample = 4000000000 };
  struct kq_sched_ended ended
      = { .number = 17, .run = { 6, 0, 0, 9, 1 }, .how = KQ_SCHED_LAPSED };
  struct kq_sched_status status = { .worker_clock_ms = 5,
                                    .incarnation_ms = 1700000000001,
                                    .running = &running,
                                    .running_count = 1,
                                    .ended = &ended,
                                    .ended_count = 1 };
  struct kq_order_result result = { .tag = 9,
                                    .kind = KQ_ORDER_POLL,
                                    .reply = KQ_SCHED_OK,
                                    .worker_clock_ms = 5,
                                    .worker_status = &status };

  running.checkpoint = LONG_CHECKPOINT;
  ended.checkpoint = "0000bb";
  CU_ASSERT_EQUAL (kq_relay_add_result (batch, &result), 0);
}

static void
test_results_arrive_as_sent (void)
{
  struct kq_relay_batch batch = { 0 };
  struct kq_order_result refusal = { .tag = 10, .reply = KQ_SCHED_FENCED };
  struct kq_relay_state state
      = { .fence = 3, .received = 8, .leaving = true, .time_ms = 77 };
  struct kq_relay_state read = { .fence = 0 };
  struct received received = { 0 };

  CU_ASSERT_EQUAL (kq_relay_add_result (&batch, &refusal), 0);
  add_status (&batch);
  CU_ASSERT_EQUAL (kq_relay_add_state (&batch, &state), 0);
  CU_ASSERT_EQUAL (kq_relay_read_results (batch.bytes, batch.size, &read,
                                          on_result, &received),
                   0);
  CU_ASSERT_EQUAL (read.fence, 3);
  CU_ASSERT_EQUAL (read.received, 8);
  CU_ASSERT (read.leaving);
  CU_ASSERT_EQUAL (read.time_ms, 77);
  CU_ASSERT_EQUAL (received.results, 2);
  CU_ASSERT_EQUAL (received.result.tag, 9);
  CU_ASSERT_EQUAL (received.running_count, 1);
  CU_ASSERT_EQUAL (received.ended_count, 1);
  CU_ASSERT_EQUAL (received.running.percent, -1);
  CU_ASSERT_EQUAL (received.running.sample, 4000000000);
  CU_ASSERT_EQUAL (received.running.run.job, 5);
  CU_ASSERT_STRING_EQUAL (received.running_checkpoint, LONG_CHECKPOINT);
  CU_ASSERT_EQUAL (received.ended.number, 17);
  CU_ASSERT_EQUAL (received.ended.how, KQ_SCHED_LAPSED);
  CU_ASSERT_STRING_EQUAL (received.ended_checkpoint, "0000bb");
  kq_relay_batch_clear (&batch);
}

/* Guards against a relay at which a worker that is gone looks silent. */
static void
test_refusals_arrive_as_sent (void)
{
  struct kq_relay_batch batch = { 0 };
  struct kq_order_result result = { .tag = 9, .reply = KQ_SCHED_REFUSED };
  struct kq_relay_state read = { .fence = 0 };
  struct received received = { 0 };

  CU_ASSERT_EQUAL (kq_relay_add_result (&batch, &result), 0);
  CU_ASSERT_EQUAL (kq_relay_read_results (batch.bytes, batch.size, &read,
                                          on_result, &received),
                   0);
  CU_ASSERT_EQUAL (received.results, 1);
  CU_ASSERT_EQUAL (received.result.reply, KQ_SCHED_REFUSED);
  kq_relay_batch_clear (&batch);
}

/* No cut-off part of a batch is taken for a whole one, and nothing in it is
   out of range. */
static void
test_cut_off_batches (void)
{
  struct kq_relay_batch orders = { 0 };
  struct kq_relay_batch results = { 0 };
  struct received received = { 0 };
  struct kq_relay_state state;
  struct kq_relay_terms terms;

  kq_relay_add_order (&orders, 42, &start);
  add_status (&results);
  for (size_t size = 0; size < orders.size; size++)
    kq_relay_read_orders (orders.bytes, size, &terms, on_order, &received);
  CU_ASSERT_EQUAL (received.orders, 0);
  for (size_t size = 0; size < results.size; size++)
    kq_relay_read_results (results.bytes, size, &state, on_result, &received);
  CU_ASSERT_EQUAL (received.results, 0);
  kq_relay_batch_clear (&orders);
  kq_relay_batch_clear (&results);
}

static void
test_orders_that_cannot_be_carried_out (void)
{
  struct kq_relay_batch batch = { 0 };
  struct kq_order unknown = start;
  struct kq_order nobody = start;
  struct kq_order nowhere = start;
  struct received received = { 0 };
  struct kq_relay_terms terms;

  unknown.kind = (enum kq_order_kind)9;
  nobody.worker = "";
  nowhere.address = "";
  kq_relay_add_order (&batch, 1, &unknown);
  kq_relay_add_order (&batch, 1, &nobody);
  kq_relay_add_order (&batch, 1, &nowhere);
  CU_ASSERT_EQUAL (kq_relay_read_orders (batch.bytes, batch.size, &terms,
                                         on_order, &received),
                   0);
  CU_ASSERT_EQUAL (received.orders, 0);
  kq_relay_batch_clear (&batch);
  CU_ASSERT_EQUAL (kq_relay_read_orders ((const uint8_t *)"\xff\xff", 2,
                                         &terms, on_order, &received),
                   KQ_ESYNTAX);
}

static const struct kq_test tests[] = {
  { "a small cell has no relays", test_small_cell_has_no_relays },
  { "workers have large relays of their zone",
    test_workers_have_large_relays_of_their_zone },
  { "a lost relay moves its workers only",
    test_lost_relay_moves_its_workers_only },
  { "a worker that does not answer is tried in other ways",
    test_unanswered_worker_tries_other_ways },
  { "a zone without hosts has relays of others", test_zone_without_hosts },
  { "workers that leave need no relay",
    test_workers_that_leave_need_no_relay },
  { "orders arrive as sent", test_orders_arrive_as_sent },
  { "results arrive as sent", test_results_arrive_as_sent },
  { "refused connections arrive as sent", test_refusals_arrive_as_sent },
  { "batches that are cut off", test_cut_off_batches },
  { "orders that cannot be carried out",
    test_orders_that_cannot_be_carried_out },
};

KQ_TEST_MAIN ("test-relay", tests)

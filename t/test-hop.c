/* Messages between hosts.  Guards against requests with large bodies that pile
   up without a bound for a host that does not take them.  */
#include <ev.h>
#include <stdlib.h>
#include <unistd.h>

#include "node/hop.h"
#include "t/kqtest.h"
#include "t/lib-port.h"

#define BODY_BYTES ((size_t)256 * 1024)
#define LIMIT_BYTES ((size_t)4 * 1024 * 1024)
#define REQUESTS 100

static struct ev_loop *loop;
static int received;

static void
on_request (void *arg, const struct kq_hop_sender *sender,
            const KqNode__Ask *message)
{
  received += message->body.len == BODY_BYTES;
}

static void
on_reply (void *arg, const char *address, const KqNode__Tell *message)
{
}

static struct kq_hop *
start_hop (const char *address)
{
  struct kq_hop_handler handler
      = { .on_request = on_request, .on_reply = on_reply };
  int err;
  struct kq_hop *hop = kq_hop_create (loop, address, &handler, &err);

  CU_ASSERT_PTR_NOT_NULL_FATAL (hop);
  kq_hop_limit_queue (hop, LIMIT_BYTES);
  return hop;
}

/* Sends REQUESTS to ADDRESS; returns how many were taken. */
static int
send_requests (struct kq_hop *hop, const char *address)
{
  KqNode__Ask message = KQ_NODE__ASK__INIT;
  uint8_t *body = calloc (1, BODY_BYTES);
  int taken = 0;

  message.verb = KQ_HOP_SUBMIT;
  message.body.data = body;
  message.body.len = BODY_BYTES;
  for (int i = 0; i < REQUESTS; i++)
    taken += kq_hop_send_request (hop, address, &message) == 0;
  free (body);
  return taken;
}

static void
test_queue_is_bounded (void)
{
  char own[40];
  char other[40];
  struct kq_hop *hop;
  struct kq_hop *receiver;
  int taken;

  loop = ev_loop_new (EVFLAG_AUTO);
  close (port_open (own, sizeof own));
  close (port_open (other, sizeof other));
  hop = start_hop (own);
  taken = send_requests (hop, other);
  CU_ASSERT (taken > 0);
  CU_ASSERT ((size_t)taken * BODY_BYTES <= LIMIT_BYTES);
  receiver = start_hop (other);
  received = 0;
  while (received < taken)
    ev_run (loop, EVRUN_ONCE);
  CU_ASSERT (send_requests (hop, other) > 0);
  kq_hop_destroy (receiver);
  kq_hop_destroy (hop);
  ev_loop_destroy (loop);
}

static const struct kq_test tests[] = {
  { "requests for a host that does not take them", test_queue_is_bounded },
};

KQ_TEST_MAIN ("test-hop", tests)

/* What callers make a process hold.  Guards against bodies and connections
   that are bounded for each caller but not in sum, against idle callers that
   keep others out, and against callers that are cut while their request is
   handled.  */
#include <sys/socket.h>
#include <unistd.h>

#include "node/guard.h"
#include "node/http.h"
#include "t/kqtest.h"

#define MEMORY_MB 64
#define CLIENTS 10

/* Longer than the time without progress from which on a connection may be
   closed for another. */
#define IDLE_US 1100000

static struct kq_guard *guard;
static struct kq_guard_server server;
static struct kq_guard_client clients[CLIENTS];
static int peers[CLIENTS];

static void
start (int max_connections)
{
  guard = kq_guard_create (
      &(struct kq_guard_limits){ .memory_mb = MEMORY_MB, .descriptors = 600 });
  server = (struct kq_guard_server){ .guard = guard,
                                     .max_connections = max_connections };
}

static void
add (int i)
{
  int fds[2];

  CU_ASSERT_EQUAL_FATAL (socketpair (AF_UNIX, SOCK_STREAM, 0, fds), 0);
  peers[i] = fds[1];
  kq_guard_add (&server, &clients[i], fds[0]);
}

static void
remove_client (int i)
{
  close (clients[i].fd);
  close (peers[i]);
  kq_guard_remove (&clients[i]);
}

static void
stop (int count)
{
  for (int i = 0; i < count; i++)
    remove_client (i);
  kq_guard_destroy (guard);
}

static void
test_limits (void)
{
  size_t memory = (size_t)MEMORY_MB * 1024 * 1024;

  start (CLIENTS);
  CU_ASSERT (kq_guard_max_body_bytes (guard) <= memory / 4);
  CU_ASSERT ((size_t)kq_guard_max_callers (guard) * KQ_HTTP_CONNECTION_BYTES
             <= memory / 4);
  CU_ASSERT (kq_guard_max_callers (guard) + 2 * kq_guard_max_operators (guard)
             <= 600);
  stop (0);
  guard = kq_guard_create (&(struct kq_guard_limits){ 0 });
  CU_ASSERT_EQUAL (kq_guard_max_callers (guard), 2000);
  CU_ASSERT (kq_guard_max_operators (guard) >= 8);
  stop (0);
}

/* Of bodies that stand still the oldest makes room; those that grow, and those
   of requests that are handled, do not. */
static void
test_bodies (void)
{
  size_t half;

  start (CLIENTS);
  half = kq_guard_max_body_bytes (guard) / 2;
  for (int i = 0; i < 4; i++)
    add (i);
  CU_ASSERT (kq_guard_reserve (&clients[0], half));
  CU_ASSERT (kq_guard_reserve (&clients[1], half));
  CU_ASSERT_FALSE (kq_guard_reserve (&clients[2], 1));
  kq_guard_begin_request (&clients[0]);
  usleep (IDLE_US);
  CU_ASSERT (kq_guard_reserve (&clients[2], half));
  CU_ASSERT (clients[1].evicted && !clients[0].evicted);
  CU_ASSERT_FALSE (kq_guard_reserve (&clients[1], 1));
  kq_guard_note_progress (&clients[2]);
  CU_ASSERT_FALSE (kq_guard_reserve (&clients[3], 1));
  kq_guard_end_request (&clients[0]);
  CU_ASSERT (kq_guard_reserve (&clients[3], half));
  for (int i = 0; i < 4; i++)
    kq_guard_release (&clients[i]);
  CU_ASSERT (kq_guard_reserve (&clients[3], 4 * half));
  stop (4);
}

/* Near the limit new connections take the place of idle ones; a caller that
   has left does not keep its own. */
static void
test_connections (void)
{
  start (8);
  for (int i = 0; i < 7; i++)
    add (i);
  CU_ASSERT_FALSE (kq_guard_is_crowded (&server));
  kq_guard_begin_request (&clients[0]);
  usleep (IDLE_US);
  add (7);
  CU_ASSERT (kq_guard_is_crowded (&server));
  CU_ASSERT (!clients[0].evicted && clients[1].evicted);
  CU_ASSERT_FALSE (clients[2].evicted);
  shutdown (peers[7], SHUT_RDWR);
  kq_guard_sweep (&server);
  CU_ASSERT (clients[7].evicted && !clients[0].evicted);
  stop (8);
}

static const struct kq_test tests[] = {
  { "limits", test_limits },
  { "bodies", test_bodies },
  { "connections", test_connections },
};

KQ_TEST_MAIN ("test-guard", tests)

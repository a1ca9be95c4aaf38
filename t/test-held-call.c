/* Guards against orders that are sent long after they were given: their
 * process was paused while they waited for a connection, and meanwhile their
 * runs were taken for over.
 */
#include <ev.h>
#include <jansson.h>
#include <stdlib.h>
#include <unistd.h>

#include "base/err.h"
#include "platform/call.h"
#include "t/kqtest.h"
#include "t/lib-port.h"

/* Longer than a start or a poll may wait and connect. */
#define START_PAUSE_US 2200000
#define POLL_PAUSE_US 3400000

struct outcome
{
  bool done;
  int err;
};

/* Of a call, which frees it. */
struct context
{
  struct outcome *outcome;
};

static void
on_done (void *arg, void *context, const struct kq_call_outcome *outcome)
{
  struct outcome *seen = ((struct context *)context)->outcome;

  seen->done = true;
  seen->err = outcome->err;
}

static void
on_timeout (struct ev_loop *loop, ev_timer *timer, int events)
{
  ev_break (loop, EVBREAK_ALL);
}

static void
run_loop_for (struct ev_loop *loop, double seconds)
{
  ev_timer timer;

  ev_timer_init (&timer, on_timeout, seconds, 0);
  ev_timer_start (loop, &timer);
  ev_run (loop, 0);
}

/* Returns whether a call of KIND is sent whose process is paused for PAUSE
   microseconds once it has begun to connect. */
static bool
is_sent_after (enum kq_call_kind kind, useconds_t pause)
{
  struct ev_loop *loop = ev_loop_new (EVFLAG_AUTO);
  struct kq_http_client *http = kq_http_client_create (loop, NULL);
  struct outcome seen = { .done = false };
  struct context *context = malloc (sizeof *context);
  char address[32];
  int fd = port_open (address, sizeof address);
  struct kq_call_request request = { .kind = kind,
                                     .authority = address,
                                     .path = "/-/run-start",
                                     .body = json_object (),
                                     .timeout = 700 * KQ_USEC_PER_MSEC,
                                     .at_most_once = kind == KQ_CALL_START,
                                     .done = on_done,
                                     .context = context };
  bool sent;

  context->outcome = &seen;
  CU_ASSERT_EQUAL (kq_http_client_send (http, &request), 0);
  usleep (pause);
  for (int i = 0; i < 250 && !seen.done; i++)
    run_loop_for (loop, 0.02);
  CU_ASSERT (seen.done);
  CU_ASSERT_NOT_EQUAL (seen.err, 0);
  sent = port_got_request (fd);
  kq_http_client_destroy (http);
  ev_loop_destroy (loop);
  return sent;
}

static void
test_start_after_pause (void)
{
  CU_ASSERT_FALSE (is_sent_after (KQ_CALL_START, START_PAUSE_US));
}

static void
test_poll_after_pause (void)
{
  CU_ASSERT_FALSE (is_sent_after (KQ_CALL_HOLD, POLL_PAUSE_US));
}

static void
test_calls_without_pause (void)
{
  CU_ASSERT (is_sent_after (KQ_CALL_START, 0));
  CU_ASSERT (is_sent_after (KQ_CALL_HOLD, 0));
}

static const struct kq_test tests[] = {
  { "a start held up by a pause", test_start_after_pause },
  { "a poll held up by a pause", test_poll_after_pause },
  { "calls without a pause", test_calls_without_pause },
};

KQ_TEST_MAIN ("test-held-call", tests)

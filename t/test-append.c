/* Guards against an append being taken for certainly not stored although a
 * copy of it may be: a 503 may answer the second copy that libcurl has sent by
 * itself after the store closed a connection that it had kept open.
 */
#include <ev.h>
#include <microhttpd.h>
#include <stdio.h>
#include <string.h>

#include "base/err.h"
#include "platform/store.h"
#include "t/kqtest.h"

#define TIMEOUT_US (500 * KQ_USEC_PER_MSEC)

/* Answers of the store, in order: a status, or 0 to close the connection. */
static const int *answers;

static struct kq_store_append_result last;
static bool ended;

static enum MHD_Result
answer (void *arg, struct MHD_Connection *connection, const char *url,
        const char *method, const char *version, const char *body,
        size_t *size, void **state)
{
  static int accepted;
  struct MHD_Response *response;
  enum MHD_Result result;
  int status;

  if (*state == NULL)
    {
      *state = &accepted;
      return MHD_YES;
    }
  if (*size > 0)
    {
      *size = 0;
      return MHD_YES;
    }
  status = *answers++;
  if (status == 0)
    return MHD_NO;
  response = MHD_create_response_from_buffer (2, (void *)"{}",
                                              MHD_RESPMEM_PERSISTENT);
  result = MHD_queue_response (connection, (unsigned)status, response);
  MHD_destroy_response (response);
  return result;
}

static void
on_appended (void *arg, const struct kq_store_append_result *result)
{
  last = *result;
  ended = true;
}

/* Appends COUNT times to a store that gives the answers of SCRIPT, or that
   does not listen if the first is negative; LAST is the result of the last
   one. */
static void
append_with (const int *script, int count)
{
  struct ev_loop *loop = ev_loop_new (EVFLAG_AUTO);
  struct kq_http_client *http = kq_http_client_create (loop, NULL);
  struct MHD_Daemon *server
      = MHD_start_daemon (MHD_USE_EPOLL_INTERNAL_THREAD, 0, NULL, NULL, answer,
                          NULL, MHD_OPTION_END);
  struct kq_store_condition condition = { .expected_end = -1, .epoch = 1 };
  struct kq_store_batch batch = { 0 };
  struct kq_store *store;
  char address[40];

  CU_ASSERT_PTR_NOT_NULL_FATAL (server);
  snprintf (address, sizeof address, "127.0.0.1:%d",
            MHD_get_daemon_info (server, MHD_DAEMON_INFO_BIND_PORT)->port);
  answers = script;
  store = kq_store_create (http, address);
  if (script[0] < 0)
    MHD_stop_daemon (server);
  for (int i = 0; i < count; i++)
    {
      ended = false;
      kq_store_append (store, KQ_STORE_JOBS, &batch, &condition, TIMEOUT_US,
                       on_appended, NULL);
      while (!ended)
        ev_run (loop, EVRUN_ONCE);
    }
  kq_http_client_destroy (http);
  kq_store_destroy (store);
  if (script[0] >= 0)
    MHD_stop_daemon (server);
  ev_loop_destroy (loop);
}

static void
test_results (void)
{
  static const struct
  {
    int script[4];
    int count;
    int err;
    bool answered;
    bool not_stored;
  } cases[] = {
    { { 200 }, 1, 0, true, false },
    { { 503 }, 1, KQ_ELOG_DOWN, true, true },
    { { 200, 429 }, 2, KQ_ELOG_BUSY, true, true },
    { { 200, 503 }, 2, KQ_ELOG_DOWN, true, true },
    { { 400 }, 1, KQ_EINVAL, true, true },
    { { 200, 0, 413 }, 2, KQ_EINVAL, true, true },
    { { 507 }, 1, KQ_ELOG_DOWN, true, false },
    { { 200, 0, 503 }, 2, KQ_ELOG_DOWN, true, false },
    { { 200, 500 }, 2, KQ_ELOG_DOWN, true, false },
    { { 0, 0 }, 1, KQ_ELOG_UNKNOWN, false, false },
    { { -1 }, 1, KQ_ELOG_DOWN, false, true },
  };

  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      append_with (cases[i].script, cases[i].count);
      CU_ASSERT_EQUAL (last.err, cases[i].err);
      CU_ASSERT_EQUAL (last.answered, cases[i].answered);
      CU_ASSERT_EQUAL (last.not_stored, cases[i].not_stored);
    }
}

static const struct kq_test tests[]
    = { { "what an answer says of an append", test_results } };

KQ_TEST_MAIN ("test-append", tests)

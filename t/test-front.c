#include <curl/curl.h>
#include <pthread.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>
#include <zmq.h>

#include "base/err.h"
#include "daemon/front.h"
#include "metrics/metrics.h"
#include "t/kqtest.h"
#include "t/lib-caller.h"
#include "t/lib-endpoint.h"
#include "t/lib-view.h"
#include "trace/trace.h"

#define FRONT_PORT 22600
#define HOP_PORT 22700
#define MAX_ENTRIES 100
#define FOREVER INT64_MAX

static void *zmq;

/** An entry host in this process. */
struct entry
{
  struct kq_front *front;
  int port;
  char hop[32];
};

/* Each gets ports of its own: ZeroMQ closes its sockets a little later.
   Ports that another process has are left out.  */
static struct entry
start_entry (const char *name, const char *zone)
{
  static int index;
  struct entry entry = { .front = NULL };
  char listen[32];
  struct kq_front_settings settings
      = { .listen = listen, .hop_listen = entry.hop };
  int err = KQ_EIO;

  kq_name_set (&settings.host, name);
  kq_name_set (&settings.zone, zone);
  kq_name_set (&settings.region, "dakar");
  settings.drain = 3 * KQ_USEC_PER_SEC;
  for (; err == KQ_EIO && index < MAX_ENTRIES; index++)
    {
      entry.port = FRONT_PORT + index;
      snprintf (listen, sizeof listen, "127.0.0.1:%d", entry.port);
      snprintf (entry.hop, sizeof entry.hop, "127.0.0.1:%d", HOP_PORT + index);
      entry.front = kq_front_start (&settings, zmq, &err);
    }
  CU_ASSERT_PTR_NOT_NULL_FATAL (entry.front);
  return entry;
}

static long
metric (const char *name)
{
  static char page[65536];
  char *line;

  kq_metric_print (page, sizeof page);
  line = strstr (page, name);
  line = line != NULL ? strchr (line, '\n') : NULL;
  return line != NULL ? atol (line + 1 + strlen (name)) : -1;
}

/* Hands VIEW over and waits until it is in force. */
static void
publish (struct kq_front *front, struct kq_view *view)
{
  long before = metric ("kq_front_views_total");

  kq_front_publish (front, view);
  while (metric ("kq_front_views_total") == before)
    usleep (1000);
}

#define HEADERS(...) ((const char *const[]){ __VA_ARGS__, NULL })

static const char *const price[] = { "Kumquatrack-Service: price", NULL };
static const char *const book[] = { "Kumquatrack-Service: book", NULL };

static void
test_without_a_view (void)
{
  struct entry entry = start_entry ("e1", "dakar-sandaga");
  struct kq_test_reply reply
      = kq_test_call (entry.port, "GET", "/ok", NULL, price);

  CU_ASSERT_EQUAL (reply.status, 503);
  CU_ASSERT_STRING_EQUAL (reply.outcome, "not-run");
  CU_ASSERT_PTR_NOT_NULL (strstr (reply.body, "KQ_ECONFIG_NONE"));
  kq_front_stop (entry.front);
}

static void
test_answer_is_passed_on (void)
{
  struct kq_test_endpoint *endpoint = kq_test_endpoint_start ();
  struct entry entry = start_entry ("e1", "dakar-sandaga");
  struct kq_test_reply reply;

  publish (entry.front, kq_test_view (1, kq_test_endpoint_port (endpoint),
                                      true, FOREVER, ""));
  reply = kq_test_call (entry.port, "GET", "/ok?a=%20b", NULL, price);
  CU_ASSERT_EQUAL (reply.status, 200);
  CU_ASSERT_STRING_EQUAL (reply.body, "/ok?a=%20b");
  CU_ASSERT_STRING_EQUAL (reply.outcome, "");
  reply = kq_test_call (entry.port, "POST", "/echo", "coil stock", book);
  CU_ASSERT_STRING_EQUAL (reply.body, "coil stock");
  CU_ASSERT_EQUAL (kq_test_endpoint_runs (endpoint), 2);
  kq_front_stop (entry.front);
  kq_test_endpoint_stop (endpoint);
}

/* What an endpoint does, and what its caller is told. */
static void
test_endpoint_failures (void)
{
  static const struct
  {
    const char *method;
    const char *path;
    long status;
    const char *outcome;
    const char *error;
    int runs;
  } cases[] = {
    { "POST", "/cut", 502, "unknown", "KQ_EREQ_CUT", 1 },
    { "POST", "/open", 502, "unknown", "KQ_EREQ_CUT", 1 },
    { "POST", "/close", 502, "unknown", "KQ_ECLOSED", 1 },
    { "DELETE", "/close", 502, "unknown", "KQ_ECLOSED", 1 },
    { "DIE", "/ok", 502, "unknown", "KQ_ECLOSED", 0 },
    { "POST", "/slow/700", 504, "unknown", "KQ_ETIMEDOUT", 1 },
    { "POST", "/large", 502, "unknown", "KQ_ETOOBIG", 1 },
  };
  struct kq_test_endpoint *endpoint = kq_test_endpoint_start ();
  struct entry entry = start_entry ("e1", "dakar-sandaga");

  publish (entry.front, kq_test_view (1, kq_test_endpoint_port (endpoint),
                                      true, FOREVER, ""));
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      int before = kq_test_endpoint_runs (endpoint);
      struct kq_test_reply reply = kq_test_call (
          entry.port, "GET", "/ok", NULL, book); /* leaves a link */

      CU_ASSERT_EQUAL (reply.status, 200);
      reply = kq_test_call (entry.port, cases[i].method, cases[i].path, NULL,
                            HEADERS ("Kumquatrack-Service: book",
                                     "Kumquatrack-Deadline-Ms: 400"));
      CU_ASSERT_EQUAL (reply.status, cases[i].status);
      CU_ASSERT_STRING_EQUAL (reply.outcome, cases[i].outcome);
      CU_ASSERT_PTR_NOT_NULL (strstr (reply.body, cases[i].error));
      usleep (400000 * (cases[i].status == 504));
      CU_ASSERT_EQUAL (kq_test_endpoint_runs (endpoint),
                       before + 1 + cases[i].runs);
    }
  kq_front_stop (entry.front);
  kq_test_endpoint_stop (endpoint);
}

static void
test_not_run (void)
{
  struct kq_test_endpoint *endpoint = kq_test_endpoint_start ();
  struct entry entry = start_entry ("e1", "dakar-sandaga");
  struct kq_test_reply reply;

  publish (entry.front, kq_test_view (1, kq_test_endpoint_port (endpoint),
                                      true, FOREVER, ""));
  reply = kq_test_call (entry.port, "POST", "/full", NULL, book);
  CU_ASSERT_EQUAL (reply.status, 503);
  CU_ASSERT_STRING_EQUAL (reply.outcome, "not-run");
  kq_test_endpoint_stop (endpoint);
  usleep (50000);
  reply = kq_test_call (entry.port, "POST", "/ok", NULL, book);
  CU_ASSERT_EQUAL (reply.status, 503);
  CU_ASSERT_STRING_EQUAL (reply.outcome, "not-run");
  kq_front_stop (entry.front);
}

struct caller
{
  pthread_t thread;
  int port;
  const char *method;
  char path[32];
  const char *const *headers;
  struct kq_test_reply reply;
};

static void *
run_caller (void *argument)
{
  struct caller *caller = argument;

  caller->reply = kq_test_call (caller->port, caller->method, caller->path,
                                NULL, caller->headers);
  return NULL;
}

static void
start_caller (struct caller *caller, int port, const char *method,
              const char *const *headers)
{
  caller->port = port;
  caller->method = method;
  caller->headers = headers;
  pthread_create (&caller->thread, NULL, run_caller, caller);
}

/* Callers at two entry hosts, one of which owns the workers. */
static void
test_answers_late_and_out_of_order (void)
{
  struct kq_test_endpoint *endpoint = kq_test_endpoint_start ();
  struct entry owner = start_entry ("e1", "dakar-sandaga");
  struct entry other = start_entry ("e2", "dakar-sandaga");
  struct caller callers[24];

  publish (owner.front, kq_test_view (1, kq_test_endpoint_port (endpoint),
                                      true, FOREVER, ""));
  publish (other.front, kq_test_view (1, 1, false, 0, owner.hop));
  usleep (200000);
  for (int i = 0; i < 24; i++)
    {
      snprintf (callers[i].path, sizeof callers[i].path, "/slow/%d?%d",
                100 - 10 * (i % 8), i);
      start_caller (&callers[i], i % 2 ? owner.port : other.port, "GET",
                    price);
    }
  for (int i = 0; i < 24; i++)
    {
      pthread_join (callers[i].thread, NULL);
      CU_ASSERT_EQUAL (callers[i].reply.status, 200);
      CU_ASSERT_STRING_EQUAL (callers[i].reply.body, callers[i].path);
    }
  CU_ASSERT_TRUE (kq_test_endpoint_peak (endpoint) <= 8);
  CU_ASSERT_EQUAL (kq_test_endpoint_runs (endpoint), 24);
  kq_front_stop (other.front);
  kq_front_stop (owner.front);
  kq_test_endpoint_stop (endpoint);
}

static void
test_hop (void)
{
  struct kq_test_endpoint *endpoint = kq_test_endpoint_start ();
  struct entry owner = start_entry ("e1", "dakar-sandaga");
  struct entry other = start_entry ("e2", "dakar-sandaga");
  struct kq_test_reply reply;

  publish (owner.front, kq_test_view (1, kq_test_endpoint_port (endpoint),
                                      true, FOREVER, ""));
  publish (other.front, kq_test_view (1, 1, false, 0, owner.hop));
  usleep (200000);
  reply = kq_test_call (other.port, "POST", "/echo", "milk run", book);
  CU_ASSERT_EQUAL (reply.status, 200);
  CU_ASSERT_STRING_EQUAL (reply.body, "milk run");
  reply = kq_test_call (other.port, "POST", "/cut", "x", book);
  CU_ASSERT_EQUAL (reply.status, 502);
  CU_ASSERT_STRING_EQUAL (reply.outcome, "unknown");
  kq_front_stop (owner.front);
  usleep (200000);
  reply = kq_test_call (other.port, "POST", "/ok", "x", book);
  CU_ASSERT_STRING_EQUAL (reply.outcome, "not-run");
  CU_ASSERT_EQUAL (kq_test_endpoint_runs (endpoint), 2);
  kq_front_stop (other.front);
  kq_test_endpoint_stop (endpoint);
}

/* Repeated at once through two entry hosts that own a worker each. */
static void
test_keyed_request_runs_once (void)
{
  struct kq_test_endpoint *endpoint = kq_test_endpoint_start ();
  struct entry entries[2] = { start_entry ("e1", "dakar-sandaga"),
                              start_entry ("e2", "dakar-sandaga") };
  struct caller callers[8] = { 0 };
  int answered = 0;
  const char *const *headers
      = HEADERS ("Kumquatrack-Service: book", "Idempotency-Key: coil-77");

  for (int i = 0; i < 2; i++)
    {
      struct kq_view *view = kq_test_view (2, 0, false, 0, entries[1 - i].hop);

      kq_name_set (&view->workers[1].owner, "e2");
      view->workers[i].owned = true;
      view->workers[i].owned_until = FOREVER;
      for (int k = 0; k < 2; k++)
        snprintf (view->workers[k].endpoint, sizeof view->workers[k].endpoint,
                  "127.0.0.1:%d", kq_test_endpoint_port (endpoint));
      publish (entries[i].front, view);
    }
  usleep (200000);
  for (int i = 0; i < 8; i++)
    {
      strcpy (callers[i].path, "/slow/200");
      start_caller (&callers[i], entries[i % 2].port, "POST", headers);
    }
  for (int i = 0; i < 8; i++)
    {
      pthread_join (callers[i].thread, NULL);
      answered += callers[i].reply.status == 200;
      CU_ASSERT_TRUE (callers[i].reply.status == 200
                      || strcmp (callers[i].reply.outcome, "unknown") == 0);
    }
  CU_ASSERT_TRUE (answered >= 1);
  for (int i = 0; i < 2; i++)
    {
      int port = entries[i].port;

      CU_ASSERT_EQUAL (
          kq_test_call (port, "POST", "/slow/200", NULL, headers).status, 200);
      CU_ASSERT_EQUAL (
          kq_test_call (port, "POST", "/other", NULL, headers).status, 422);
    }
  CU_ASSERT_EQUAL (kq_test_endpoint_runs (endpoint), 1);
  kq_front_stop (entries[0].front);
  kq_front_stop (entries[1].front);
  kq_test_endpoint_stop (endpoint);
}

/* All open connections go silent, new ones work. */
static void
test_silent_connections (void)
{
  struct kq_test_endpoint *endpoint = kq_test_endpoint_start ();
  struct entry entry = start_entry ("e1", "dakar-sandaga");
  struct caller callers[8] = { 0 };
  int unknown = 0;

  publish (entry.front, kq_test_view (1, kq_test_endpoint_port (endpoint),
                                      true, FOREVER, ""));
  for (int i = 0; i < 8; i++)
    {
      strcpy (callers[i].path, "/slow/100");
      start_caller (&callers[i], entry.port, "GET", price);
    }
  for (int i = 0; i < 8; i++)
    pthread_join (callers[i].thread, NULL);
  kq_test_endpoint_silence (endpoint, 0);
  for (int i = 0; i < 8; i++)
    {
      struct kq_test_reply reply
          = kq_test_call (entry.port, "POST", "/ok", NULL,
                          HEADERS ("Kumquatrack-Service: book",
                                   "Kumquatrack-Deadline-Ms: 500"));
      unknown += strcmp (reply.outcome, "unknown") == 0;
      CU_ASSERT_TRUE (reply.status == 200 || reply.status == 504);
    }
  /* The first stall makes all the others go over new connections. */
  CU_ASSERT_EQUAL (unknown, 1);
  kq_front_stop (entry.front);
  kq_test_endpoint_stop (endpoint);
}

static void
test_bad_requests (void)
{
  static const struct
  {
    const char *text;
    int status;
    const char *error;
  } cases[] = {
    /* libmicrohttpd closes such a connection by itself. */
    { "nonsense\r\n\r\n", 0, "" },
    { "GET /ok HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n", 400,
      "KQ_EREQ_NO_SERVICE" },
    { "GET /ok HTTP/1.1\r\nHost: a\r\nConnection: close\r\n"
      "Kumquatrack-Service: a b\r\n\r\n",
      400, "KQ_ESYNTAX" },
    { "GET /ok HTTP/1.1\r\nHost: a\r\nConnection: close\r\n"
      "Kumquatrack-Service: other\r\n\r\n",
      404, "KQ_EREQ_NO_SERVICE" },
    { "GET /ok HTTP/1.1\r\nHost: a\r\nConnection: close\r\n"
      "Kumquatrack-Service: price\r\nKumquatrack-Deadline-Ms: 0\r\n\r\n",
      400, "KQ_ERANGE" },
    { "GET /ok HTTP/1.1\r\nHost: a\r\nConnection: close\r\n"
      "Kumquatrack-Service: price\r\nKumquatrack-Importance: 10\r\n\r\n",
      400, "KQ_ERANGE" },
    { "POST /ok HTTP/1.1\r\nHost: a\r\nContent-Length: 9000000\r\n"
      "Kumquatrack-Service: price\r\n\r\nabc",
      413, "KQ_ETOOBIG" },
    { "POST /ok HTTP/1.1\r\nHost: a\r\nContent-Length: x\r\n"
      "Kumquatrack-Service: price\r\n\r\nabc",
      400, "" },
  };
  struct kq_test_endpoint *endpoint = kq_test_endpoint_start ();
  struct entry entry = start_entry ("e1", "dakar-sandaga");
  char answer[2048];

  publish (entry.front, kq_test_view (1, kq_test_endpoint_port (endpoint),
                                      true, FOREVER, ""));
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      CU_ASSERT_EQUAL (kq_test_raw (entry.port, cases[i].text,
                                    strlen (cases[i].text), answer,
                                    sizeof answer),
                       cases[i].status);
      CU_ASSERT_PTR_NOT_NULL (strstr (answer, cases[i].error));
    }
  CU_ASSERT_EQUAL (kq_test_endpoint_runs (endpoint), 0);
  CU_ASSERT_EQUAL (kq_test_call (entry.port, "GET", "/ok", NULL, price).status,
                   200);
  kq_front_stop (entry.front);
  kq_test_endpoint_stop (endpoint);
}

/* Half a request, and a caller that leaves while its request runs. */
static void
test_callers_that_leave (void)
{
  static const char half[] = "POST /ok HTTP/1.1\r\nHost: a\r\n"
                             "Content-Length: 10\r\n"
                             "Kumquatrack-Service: book\r\n\r\nabc";
  static const char whole[] = "POST /slow/600 HTTP/1.1\r\nHost: a\r\n"
                              "Content-Length: 0\r\n"
                              "Kumquatrack-Service: book\r\n\r\n";
  struct kq_test_endpoint *endpoint = kq_test_endpoint_start ();
  struct entry entry = start_entry ("e1", "dakar-sandaga");
  long unknown = metric ("kq_requests_unknown_total");

  publish (entry.front, kq_test_view (1, kq_test_endpoint_port (endpoint),
                                      true, FOREVER, ""));
  kq_test_raw (entry.port, half, sizeof half - 1, NULL, 0);
  kq_test_raw (entry.port, whole, sizeof whole - 1, NULL, 0);
  usleep (400000);
  CU_ASSERT_EQUAL (metric ("kq_requests_unknown_total"), unknown + 1);
  CU_ASSERT_EQUAL (metric ("kq_requests_open"), 0);
  CU_ASSERT_EQUAL (kq_test_endpoint_runs (endpoint), 1);
  kq_front_stop (entry.front);
  kq_test_endpoint_stop (endpoint);
}

static void
test_stop_cuts_off_nothing (void)
{
  struct kq_test_endpoint *endpoint = kq_test_endpoint_start ();
  struct entry entry = start_entry ("e1", "dakar-sandaga");
  struct caller callers[12] = { 0 };

  publish (entry.front, kq_test_view (1, kq_test_endpoint_port (endpoint),
                                      true, FOREVER, ""));
  for (int i = 0; i < 12; i++)
    {
      strcpy (callers[i].path, "/slow/300");
      start_caller (&callers[i], entry.port, "POST", book);
    }
  usleep (150000);
  kq_front_stop (entry.front);
  for (int i = 0; i < 12; i++)
    {
      pthread_join (callers[i].thread, NULL);
      CU_ASSERT_EQUAL (callers[i].reply.status, 200);
    }
  CU_ASSERT_EQUAL (kq_test_endpoint_runs (endpoint), 12);
  kq_test_endpoint_stop (endpoint);
}

static void
test_lost_ownership (void)
{
  struct kq_test_endpoint *endpoint = kq_test_endpoint_start ();
  struct entry entry = start_entry ("e1", "dakar-sandaga");
  struct kq_test_reply reply;

  publish (entry.front, kq_test_view (1, kq_test_endpoint_port (endpoint),
                                      true, kq_clock_now () + 100000, ""));
  CU_ASSERT_EQUAL (kq_test_call (entry.port, "POST", "/ok", NULL, book).status,
                   200);
  usleep (110000);
  reply = kq_test_call (entry.port, "POST", "/ok", NULL, book);
  CU_ASSERT_STRING_EQUAL (reply.outcome, "not-run");
  CU_ASSERT_EQUAL (kq_test_endpoint_runs (endpoint), 1);
  kq_front_stop (entry.front);
  kq_test_endpoint_stop (endpoint);
}

/* The spans of a request that crossed two entry hosts of this process. */
static void
test_trace (void)
{
  static const char id[] = "0af7651916cd43dd8448eb211c80319c";
  struct kq_test_endpoint *endpoint = kq_test_endpoint_start ();
  struct entry owner = start_entry ("e1", "dakar-sandaga");
  struct entry other = start_entry ("e2", "dakar-sandaga");
  const char *const *headers
      = HEADERS ("Kumquatrack-Service: price",
                 "traceparent: 00-0af7651916cd43dd8448eb211c80319c-"
                 "b7ad6b7169203331-01");
  json_t *spans;

  publish (owner.front, kq_test_view (1, kq_test_endpoint_port (endpoint),
                                      true, FOREVER, ""));
  publish (other.front, kq_test_view (1, 1, false, 0, owner.hop));
  usleep (200000);
  CU_ASSERT_EQUAL (
      kq_test_call (other.port, "GET", "/ok", NULL, headers).status, 200);
  kq_front_stop (other.front);
  kq_front_stop (owner.front);
  spans = kq_trace_find (id);
  /* request, hop, forwarded, endpoint */
  CU_ASSERT_EQUAL (json_array_size (spans), 4);
  json_decref (spans);
  CU_ASSERT_PTR_NULL (kq_trace_find ("none"));
  kq_test_endpoint_stop (endpoint);
}

static const struct kq_test tests[] = {
  { "without a view", test_without_a_view },
  { "answer is passed on", test_answer_is_passed_on },
  { "endpoint failures", test_endpoint_failures },
  { "not run", test_not_run },
  { "answers late and out of order", test_answers_late_and_out_of_order },
  { "hop", test_hop },
  { "keyed request runs once", test_keyed_request_runs_once },
  { "silent connections", test_silent_connections },
  { "bad requests", test_bad_requests },
  { "callers that leave", test_callers_that_leave },
  { "stop cuts off nothing", test_stop_cuts_off_nothing },
  { "lost ownership", test_lost_ownership },
  { "trace", test_trace },
};

int
main (void)
{
  int status;

  curl_global_init (CURL_GLOBAL_DEFAULT);
  zmq = zmq_ctx_new ();
  status
      = kq_test_main ("front", tests, (int)(sizeof tests / sizeof tests[0]));
  zmq_ctx_term (zmq);
  return status;
}

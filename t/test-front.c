#include <curl/curl.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>
#include <zmq.h>

#include "base/err.h"
#include "daemon/front.h"
#include "metrics/metrics.h"
#include "t/kqtest.h"
#include "t/lib-endpoint.h"
#include "t/lib-view.h"

#define ENDPOINT_PORT 22100
#define FRONT_PORT 22200
#define HOP_PORT 22300
#define FOREVER INT64_MAX

/** What a caller got. */
struct reply
{
  CURLcode code;
  long status;
  char outcome[16]; /**< header Kumquatrack-Outcome */
  char body[4096];
  size_t length;
};

static void *zmq;

/** An entry host in this process. */
struct entry
{
  struct kq_front *front;
  int port;
  char hop[32];
};

/* Each gets ports of its own: ZeroMQ closes its sockets a little later. */
static struct entry
start_entry (const char *name, const char *zone)
{
  static int index;
  struct entry entry;
  char listen[32];
  struct kq_front_settings settings
      = { .listen = listen, .hop_listen = entry.hop };
  int err;

  entry.port = FRONT_PORT + index;
  snprintf (listen, sizeof listen, "127.0.0.1:%d", entry.port);
  snprintf (entry.hop, sizeof entry.hop, "127.0.0.1:%d", HOP_PORT + index);
  index++;
  kq_name_set (&settings.host, name);
  kq_name_set (&settings.zone, zone);
  kq_name_set (&settings.region, "dakar");
  settings.drain = 3 * KQ_USEC_PER_SEC;
  entry.front = kq_front_start (&settings, zmq, &err);
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
  long before = metric ("kq_views_total");

  kq_front_publish (front, view);
  while (metric ("kq_views_total") == before)
    usleep (1000);
}

static size_t
on_body (char *data, size_t size, size_t count, void *context)
{
  struct reply *reply = context;
  size_t length = size * count;

  if (length > sizeof reply->body - 1 - reply->length)
    length = sizeof reply->body - 1 - reply->length;
  memcpy (reply->body + reply->length, data, length);
  reply->length += length;
  return size * count;
}

static size_t
on_header (char *data, size_t size, size_t count, void *context)
{
  struct reply *reply = context;

  if (size * count > 21 && strncmp (data, "Kumquatrack-Outcome: ", 21) == 0)
    sscanf (data + 21, "%15s", reply->outcome);
  return size * count;
}

/* Sends one request; HEADERS are lines that end with NULL. */
static struct reply
call (int port, const char *method, const char *path, const char *body,
      const char *const *headers)
{
  struct reply reply = { .code = CURLE_OK };
  struct curl_slist *list = NULL;
  CURL *easy = curl_easy_init ();
  char url[256];

  snprintf (url, sizeof url, "http://127.0.0.1:%d%s", port, path);
  for (; *headers != NULL; headers++)
    list = curl_slist_append (list, *headers);
  curl_easy_setopt (easy, CURLOPT_URL, url);
  curl_easy_setopt (easy, CURLOPT_CUSTOMREQUEST, method);
  curl_easy_setopt (easy, CURLOPT_HTTPHEADER, list);
  curl_easy_setopt (easy, CURLOPT_TIMEOUT, 10L);
  if (body != NULL)
    curl_easy_setopt (easy, CURLOPT_COPYPOSTFIELDS, body);
  curl_easy_setopt (easy, CURLOPT_WRITEFUNCTION, on_body);
  curl_easy_setopt (easy, CURLOPT_WRITEDATA, &reply);
  curl_easy_setopt (easy, CURLOPT_HEADERFUNCTION, on_header);
  curl_easy_setopt (easy, CURLOPT_HEADERDATA, &reply);
  reply.code = curl_easy_perform (easy);
  curl_easy_getinfo (easy, CURLINFO_RESPONSE_CODE, &reply.status);
  curl_easy_cleanup (easy);
  curl_slist_free_all (list);
  return reply;
}

#define HEADERS(...) ((const char *const[]){ __VA_ARGS__, NULL })
#define PRICE HEADERS ("Kumquatrack-Service: price")
#define BOOK HEADERS ("Kumquatrack-Service: book")

static void
test_without_a_view (void)
{
  struct entry entry = start_entry ("e1", "dakar-sandaga");
  struct reply reply = call (entry.port, "GET", "/ok", NULL, PRICE);

  CU_ASSERT_EQUAL (reply.status, 503);
  CU_ASSERT_STRING_EQUAL (reply.outcome, "not-run");
  CU_ASSERT_PTR_NOT_NULL (strstr (reply.body, "KQ_ECONFIG_NONE"));
  kq_front_stop (entry.front);
}

static void
test_answer_is_passed_on (void)
{
  struct kq_test_endpoint *endpoint = kq_test_endpoint_start (ENDPOINT_PORT);
  struct entry entry = start_entry ("e1", "dakar-sandaga");
  struct reply reply;

  publish (entry.front, kq_test_view (1, ENDPOINT_PORT, true, FOREVER, ""));
  reply = call (entry.port, "GET", "/ok?a=%20b", NULL, PRICE);
  CU_ASSERT_EQUAL (reply.status, 200);
  CU_ASSERT_STRING_EQUAL (reply.body, "/ok?a=%20b");
  CU_ASSERT_STRING_EQUAL (reply.outcome, "");
  reply = call (entry.port, "POST", "/echo", "coil stock", BOOK);
  CU_ASSERT_STRING_EQUAL (reply.body, "coil stock");
  CU_ASSERT_EQUAL (kq_test_endpoint_runs (endpoint), 2);
  kq_front_stop (entry.front);
  kq_test_endpoint_stop (endpoint);
}

static const struct kq_test tests[] = {
  { "without a view", test_without_a_view },
  { "answer is passed on", test_answer_is_passed_on },
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

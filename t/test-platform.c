#include <microhttpd.h>
#include <netinet/in.h>
#include <stdatomic.h>
#include <stdlib.h>
#include <string.h>

#include "base/err.h"
#include "platform/client.h"
#include "platform/codec.h"
#include "t/kqtest.h"

#define TABLE_FIELDS                                                          \
  "\"term\":4,\"serial\":6,\"left_ms\":900,\"capacity\":{\"cpu_milli\":"      \
  "16000,"                                                                    \
  "\"memory_mb\":64,\"accelerators\":1},\"slots\":8,\"connections\":64,"      \
  "\"busy_slots\":2,\"usage\":{\"seq\":7,\"lag_ms\":3000,\"cpu_milli\":5,"    \
  "\"memory_mb\":6,\"throttled\":true,\"slow_milli\":1200},\"tasks\":[{"      \
  "\"job\":\"j\",\"index\":"                                                  \
  "3,\"attempt\":9,\"binding\":2,\"checkpoint\":50,\"state\":\"evicted\","    \
  "\"cpu_milli\":1,\"memory_mb\":2,\"accelerators\":0,\"share_milli\":500}]}"
#define LEASE_REPLY(holder) "{\"holder\":\"" holder "\"," TABLE_FIELDS
#define JOB_FIELDS                                                            \
  "'job':'j','team':'t','zone':'','type':'batch','importance':3,'tasks':2,"   \
  "'cpu_milli':1,'memory_mb':2,'accelerators':0,'run_ms':9,'host':'h'"

/* Parses JSON that has ' in place of ". */
static json_t *
parse_quoted (const char *text)
{
  char copy[1024];

  snprintf (copy, sizeof copy, "%s", text);
  for (char *c = copy; *c != '\0'; c++)
    if (*c == '\'')
      *c = '"';
  return json_loads (copy, 0, NULL);
}

static void
test_records_round_trip (void)
{
  static const char *const records[] = {
    "{'base':4,'text':'{}','kind':'config','host':'h'}",
    "{" JOB_FIELDS ",'kind':'job'}",
    "{'job':'j','kind':'cancel','host':'h'}",
    "{'shard':'s','epoch':2,'tasks':[['j',1,5,60,0],['j',2,5,0,-301]],'kind':'"
    "bind','host':'h'}",
    "{'shard':'s','epoch':2,'kind':'epoch','host':'h'}",
    "{'shard':'s','epoch':2,'tasks':[],'kind':'release','host':'h'}",
    "{'shard':'s','epoch':2,'tasks':[['j',1,5,60,0]],'kind':'end','host':'h'}",
    "{'name':'w','on':true,'kind':'drain','host':'h'}",
    "{" JOB_FIELDS
    ",'as_of':8,'cancelled':false,'ranges':[[0,2,true,5,60,'s'],[2,1,"
    "false,0,0,'']],'kind':'snapshot','host':'h'}",
  };

  for (size_t i = 0; i < sizeof records / sizeof records[0]; i++)
    {
      struct kq_record *record = NULL;
      json_t *in = parse_quoted (records[i]);
      json_t *out = NULL;

      CU_ASSERT_EQUAL (kq_codec_record_read (in, &record), 0);
      if (record != NULL)
        {
          CU_ASSERT_EQUAL (record->kind, (enum kq_record_kind)i);
          out = kq_codec_record_write (record);
        }
      CU_ASSERT_TRUE (json_equal (in, out));
      json_decref (in);
      json_decref (out);
      free (record);
    }
}

static void
test_malformed_records (void)
{
  static const char *const records[] = {
    "[]",
    "{}",
    "{'kind':'other'}",
    "{'kind':7}",
    "{'kind':'config','base':1}",
    "{'kind':'config','base':-1,'text':''}",
    "{'kind':'job','job':'a b'}",
    "{'kind':'cancel','job':7}",
    "{'kind':'drain','name':'w','on':1}",
    "{'kind':'epoch','shard':'s','epoch':'2'}",
    "{'kind':'end','shard':'s','epoch':2,'tasks':{}}",
    "{'kind':'end','shard':'s','epoch':2,'tasks':[['j',1]]}",
    "{'kind':'end','shard':'s','epoch':2,'tasks':[['j',-1,0,0,0]]}",
    "{" JOB_FIELDS
    ",'kind':'snapshot','as_of':1,'cancelled':false,'ranges':[[0,0,"
    "true,5,60,'s']]}",
    "{" JOB_FIELDS ",'kind':'snapshot','as_of':1,'cancelled':false,'ranges':[["
    "2147483647,9,true,5,60,'s']]}",
  };

  for (size_t i = 0; i < sizeof records / sizeof records[0]; i++)
    {
      struct kq_record *record = NULL;
      json_t *object = parse_quoted (records[i]);

      CU_ASSERT_EQUAL (kq_codec_record_read (object, &record), KQ_ESYNTAX);
      CU_ASSERT_PTR_NULL (record);
      json_decref (object);
    }
}

static void
test_log_batches (void)
{
  static const struct
  {
    const char *text;
    int err;
    size_t count;
  } cases[] = {
    { "{'first':1,'next':1,'records':[]}", 0, 0 },
    { "{'first':1,'next':5,'records':[{'offset':2,'id':'a','record':{'kind':'"
      "cancel','job':'j'}},{'offset':4,'id':'b','record':{'kind':'junk'}}]}",
      0, 2 },
    { "{'first':1,'next':5,'records':[{'offset':4,'id':'a','record':{}},{'"
      "offset':4,'id':'b','record':{}}]}",
      KQ_ESYNTAX, 0 },
    { "{'first':1,'next':4,'records':[{'offset':4,'id':'a','record':{}}]}",
      KQ_ESYNTAX, 0 },
    { "{'first':1,'next':4,'records':[4]}", KQ_ESYNTAX, 0 },
    { "{'first':1,'records':[]}", KQ_ESYNTAX, 0 },
  };

  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      struct kq_codec_batch batch;
      json_t *object = parse_quoted (cases[i].text);

      CU_ASSERT_EQUAL (kq_codec_batch_read (object, &batch), cases[i].err);
      CU_ASSERT_EQUAL (batch.count, cases[i].count);
      if (batch.count == 2)
        {
          CU_ASSERT_STRING_EQUAL (batch.entries[0].record->id.text, "a");
          CU_ASSERT_EQUAL (batch.entries[1].offset, 4);
          CU_ASSERT_PTR_NULL (batch.entries[1].record);
        }
      kq_codec_batch_release (&batch);
      json_decref (object);
    }
}

static void
test_lease_reply (void)
{
  struct kq_lease_reply reply = { 0 };
  struct kq_attempt_row *rows = NULL;
  json_t *object = json_loads (LEASE_REPLY ("h"), 0, NULL);
  const char *const fields[] = { "term",  "serial",     "left_ms", "capacity",
                                 "slots", "busy_slots", "usage",   "tasks" };

  CU_ASSERT_EQUAL (kq_codec_lease_read (object, &reply, &rows), 0);
  CU_ASSERT_EQUAL (reply.term, 4);
  CU_ASSERT_EQUAL (reply.serial, 6);
  CU_ASSERT_EQUAL (reply.remaining, 900 * KQ_USEC_PER_MSEC);
  CU_ASSERT_EQUAL (reply.table.usage_age, 3 * KQ_USEC_PER_SEC);
  CU_ASSERT_EQUAL (reply.table.slow_milli, 1200);
  CU_ASSERT_EQUAL (reply.table.row_count, 1);
  CU_ASSERT_EQUAL (reply.table.rows[0].state, KQ_ATTEMPT_EVICTED);
  CU_ASSERT_EQUAL (reply.table.rows[0].share_milli, 500);
  free (rows);
  for (size_t i = 0; i < sizeof fields / sizeof fields[0]; i++)
    {
      json_t *copy = json_copy (object);

      rows = NULL;
      json_object_set_new (copy, fields[i], json_string ("x"));
      CU_ASSERT_EQUAL (kq_codec_lease_read (copy, &reply, &rows), KQ_ESYNTAX);
      CU_ASSERT_PTR_NULL (rows);
      json_decref (copy);
    }
  json_decref (object);
}

static void
test_host_list (void)
{
  struct kq_host_entry *entries = NULL;
  size_t count = 0;
  size_t skipped = 0;
  json_t *object = parse_quoted (
      "{'hosts':[{'name':'a','kind':'entry','zone':'z','region':'r','state':'"
      "live','address':'127.0.0.1:1'},{'name':'b','kind':'ghost','zone':'z','"
      "region':'r','state':'live'},{'name':'w','kind':'worker','zone':'z','"
      "region':'r','rack':'k','state':'leaving','address':'127.0.0.1:2','"
      "endpoint':'127.0.0.1:3'}]}");

  CU_ASSERT_EQUAL (kq_codec_hosts_read (object, &entries, &count, &skipped),
                   0);
  CU_ASSERT_EQUAL (count, 2);
  CU_ASSERT_EQUAL (skipped, 1);
  if (count == 2)
    {
      CU_ASSERT_FALSE (entries[0].worker);
      CU_ASSERT_TRUE (entries[1].worker && entries[1].leaving);
      CU_ASSERT_STRING_EQUAL (entries[1].endpoint, "127.0.0.1:3");
    }
  free (entries);
  json_decref (object);
}

/* An HTTP server with a fixed response for each path. */

struct canned_response
{
  const char *path;
  unsigned status; /* 0: the connection is closed without a response */
  const char *body;
  bool stops_responding; /* the first connection gets no response */
  _Atomic int requests;  /* number received */
};

struct test_server
{
  struct MHD_Daemon *daemon;
  char address[64];
  struct canned_response *responses;
  struct MHD_Connection *_Atomic suspended;
};

static enum MHD_Result
send_response (void *arg, struct MHD_Connection *connection, const char *path,
               const char *method, const char *version, const char *data,
               size_t *size, void **state)
{
  struct test_server *test_server = arg;
  struct canned_response *canned_response = test_server->responses;
  struct MHD_Response *mhd_response;
  enum MHD_Result result;

  while (canned_response->path != NULL
         && strcmp (canned_response->path, path) != 0)
    canned_response++;
  if (*state == NULL)
    {
      *state = test_server;
      atomic_fetch_add (&canned_response->requests, 1);
      return MHD_YES;
    }
  if (*size > 0)
    {
      *size = 0;
      return MHD_YES;
    }
  if (canned_response->stops_responding
      && atomic_load (&test_server->suspended) == NULL)
    {
      MHD_suspend_connection (connection);
      atomic_store (&test_server->suspended, connection);
      return MHD_YES;
    }
  if (canned_response->path == NULL || canned_response->status == 0)
    return MHD_NO;
  mhd_response = MHD_create_response_from_buffer (
      strlen (canned_response->body), (void *)canned_response->body,
      MHD_RESPMEM_PERSISTENT);
  result
      = MHD_queue_response (connection, canned_response->status, mhd_response);
  MHD_destroy_response (mhd_response);
  return result;
}

static void
start_server (struct test_server *test_server,
              struct canned_response *responses)
{
  struct sockaddr_in address = { .sin_family = AF_INET };

  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  test_server->responses = responses;
  test_server->daemon = MHD_start_daemon (
      MHD_USE_INTERNAL_POLLING_THREAD | MHD_ALLOW_SUSPEND_RESUME, 0, NULL,
      NULL, send_response, test_server, MHD_OPTION_SOCK_ADDR, &address,
      MHD_OPTION_END);
  snprintf (
      test_server->address, sizeof test_server->address, "127.0.0.1:%u",
      MHD_get_daemon_info (test_server->daemon, MHD_DAEMON_INFO_BIND_PORT)
          ->port);
}

/* A client under test, its server, and the events that it has reported. */

#define MAX_EVENTS 64

struct fixture
{
  struct ev_loop *loop;
  struct kq_client *client;
  struct test_server test_server;
  char hosts[512];
  size_t wanted_count;
  enum kq_event_kind kind;
  struct kq_event events[MAX_EVENTS]; /* of kind KIND */
  size_t count;
};

static void
on_event (void *arg, const struct kq_event *event)
{
  struct fixture *fixture = arg;

  if (event->kind != fixture->kind || fixture->count == MAX_EVENTS)
    return;
  fixture->events[fixture->count++] = *event;
  if (fixture->count >= fixture->wanted_count)
    ev_break (fixture->loop, EVBREAK_ALL);
}

static void
on_deadline (struct ev_loop *loop, ev_timer *timer, int revents)
{
  ev_break (loop, EVBREAK_ALL);
}

/* Runs the loop until COUNT events of KIND were reported, for up to 10 s.
   Returns the number of events reported. */
static size_t
wait_for_events (struct fixture *fixture, enum kq_event_kind kind,
                 size_t count)
{
  ev_timer deadline;

  fixture->kind = kind;
  fixture->count = 0;
  fixture->wanted_count = count;
  ev_timer_init (&deadline, on_deadline, 10, 0);
  ev_now_update (fixture->loop);
  ev_timer_start (fixture->loop, &deadline);
  ev_run (fixture->loop, 0);
  ev_timer_stop (fixture->loop, &deadline);
  return fixture->count;
}

static void
start_fixture (struct fixture *fixture, struct canned_response *responses)
{
  struct kq_client_settings settings
      = { .platform = fixture->test_server.address,
          .holder = { "h/1" },
          .worker_timeout = 300 * KQ_USEC_PER_MSEC,
          .seed = 1 };

  memset (fixture, 0, sizeof *fixture);
  fixture->loop = ev_loop_new (EVFLAG_AUTO);
  start_server (&fixture->test_server, responses);
  snprintf (fixture->hosts, sizeof fixture->hosts,
            "{\"hosts\":[{\"name\":\"w\",\"kind\":\"worker\",\"zone\":\"z\","
            "\"region\":\"r\",\"state\":\"live\",\"address\":\"%s\"}]}",
            fixture->test_server.address);
  for (struct canned_response *canned_response = responses;
       canned_response->path != NULL; canned_response++)
    if (strcmp (canned_response->path, "/hosts") == 0)
      canned_response->body = fixture->hosts;
  fixture->client
      = kq_client_create (fixture->loop, &settings, on_event, fixture);
  kq_client_start (fixture->client);
}

static void
stop_fixture (struct fixture *fixture)
{
  kq_client_destroy (fixture->client);
  if (atomic_load (&fixture->test_server.suspended) != NULL)
    MHD_resume_connection (atomic_load (&fixture->test_server.suspended));
  MHD_stop_daemon (fixture->test_server.daemon);
  ev_loop_destroy (fixture->loop);
}

static struct kq_effect
lease_effect (const char *worker)
{
  struct kq_effect effect = { .kind = KQ_FX_LEASE };

  kq_name_set (&effect.u.lease.worker, worker);
  effect.u.lease.ttl = KQ_USEC_PER_SEC;
  return effect;
}

/* A response of the server, and the error that the client reports for it. */
struct outcome_case
{
  unsigned status;
  int err;
  const char *body; /* NULL: the worker is not in the host list */
};

static void
test_append_outcomes (void)
{
  static const struct outcome_case cases[] = {
    { 200, 0, "{\"offset\":17}" },
    { 429, KQ_ELOG_BUSY, "{}" },
    { 429, KQ_ELOG_BUSY, "busy" },
    { 503, KQ_ELOG_DOWN, "{}" },
    { 200, KQ_ELOG_DOWN, "{\"offset\":0}" },
    { 200, KQ_ELOG_DOWN, "no json" },
    { 0, KQ_ELOG_DOWN, "" },
  };

  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      struct canned_response responses[] = { { .path = "/log/append",
                                               .status = cases[i].status,
                                               .body = cases[i].body },
                                             { .path = NULL } };
      struct kq_record record = { .kind = KQ_REC_CANCEL,
                                  .id = { "id" },
                                  .host = { "h" },
                                  .u.cancel = { "j" } };
      struct kq_effect effect = { .kind = KQ_FX_APPEND, .u.append = &record };
      struct fixture fixture;

      start_fixture (&fixture, responses);
      CU_ASSERT_EQUAL (kq_client_execute (fixture.client, &effect), 0);
      CU_ASSERT_EQUAL (wait_for_events (&fixture, KQ_EV_APPEND_RESULT, 1), 1);
      CU_ASSERT_EQUAL (fixture.events[0].u.appended.err, cases[i].err);
      CU_ASSERT_STRING_EQUAL (fixture.events[0].u.appended.id.text, "id");
      /* The client never repeats an append. */
      CU_ASSERT_EQUAL (atomic_load (&responses[0].requests), 1);
      stop_fixture (&fixture);
    }
}

static void
test_lease_outcomes (void)
{
  static const struct outcome_case cases[] = {
    { 200, 0, LEASE_REPLY ("h/1") },
    { 409, KQ_ELEASE_HELD, LEASE_REPLY ("other") },
    { 409, KQ_ELEASE_TERM, LEASE_REPLY ("h/1") },
    { 409, KQ_ELEASE_TERM, LEASE_REPLY ("") },
    { 500, KQ_EWORKER_SILENT, LEASE_REPLY ("") },
    { 200, KQ_EWORKER_SILENT, "{}" },
    { 0, KQ_EWORKER_SILENT, "" },
    { 200, KQ_EWORKER_SILENT, NULL },
  };

  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      struct canned_response responses[] = {
        { .path = "/hosts", .status = 200 },
        { .path = "/lease", .status = cases[i].status, .body = cases[i].body },
        { .path = NULL }
      };
      const char *worker = cases[i].body == NULL ? "unknown" : "w";
      struct kq_effect effect = lease_effect (worker);
      struct fixture fixture;

      start_fixture (&fixture, responses);
      CU_ASSERT_EQUAL (wait_for_events (&fixture, KQ_EV_HOSTS, 1), 1);
      CU_ASSERT_EQUAL (kq_client_execute (fixture.client, &effect), 0);
      CU_ASSERT_EQUAL (wait_for_events (&fixture, KQ_EV_LEASE, 1), 1);
      CU_ASSERT_EQUAL (fixture.events[0].u.lease.err, cases[i].err);
      CU_ASSERT_STRING_EQUAL (fixture.events[0].u.lease.worker.text, worker);
      CU_ASSERT_TRUE (fixture.events[0].u.lease.sent_at > 0);
      stop_fixture (&fixture);
    }
}

static void
test_task_outcomes (void)
{
  static const struct outcome_case cases[] = {
    { 200, 0, "{}" },
    { 409, KQ_ELEASE_TERM, "{\"error\":\"term\"}" },
    { 409, KQ_ELEASE_LAPSED, "{\"error\":\"lapsed\"}" },
    { 409, KQ_EEXIST, "{\"error\":\"exists\"}" },
    { 409, KQ_EWORKER_SILENT, "{\"error\":7}" },
    { 404, KQ_ENOENT, "{\"error\":\"unknown\"}" },
    { 507, KQ_EWORKER_FULL, "{\"error\":\"full\"}" },
    { 500, KQ_EWORKER_SILENT, "{}" },
  };

  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      struct canned_response responses[] = {
        { .path = "/hosts", .status = 200 },
        { .path = "/task", .status = cases[i].status, .body = cases[i].body },
        { .path = NULL }
      };
      struct kq_effect effect = { .kind = KQ_FX_TASK,
                                  .u.task = { .worker = { "w" },
                                              .action = KQ_TASK_START,
                                              .row.attempt = 5 } };
      struct fixture fixture;

      start_fixture (&fixture, responses);
      CU_ASSERT_EQUAL (wait_for_events (&fixture, KQ_EV_HOSTS, 1), 1);
      CU_ASSERT_EQUAL (kq_client_execute (fixture.client, &effect), 0);
      CU_ASSERT_EQUAL (wait_for_events (&fixture, KQ_EV_TASK, 1), 1);
      CU_ASSERT_EQUAL (fixture.events[0].u.task.err, cases[i].err);
      CU_ASSERT_EQUAL (fixture.events[0].u.task.attempt, 5);
      stop_fixture (&fixture);
    }
}

/* Guards against calls that are lost on a connection whose peer has stopped
   responding: only one call may fail, and the next one uses a new connection.
 */
static void
test_unresponsive_connection (void)
{
  struct canned_response responses[] = { { .path = "/hosts", .status = 200 },
                                         { .path = "/lease",
                                           .status = 200,
                                           .body = LEASE_REPLY ("h/1"),
                                           .stops_responding = true },
                                         { .path = NULL } };
  struct kq_effect effect = lease_effect ("w");
  struct fixture fixture;

  start_fixture (&fixture, responses);
  CU_ASSERT_EQUAL (wait_for_events (&fixture, KQ_EV_HOSTS, 1), 1);
  kq_client_execute (fixture.client, &effect);
  CU_ASSERT_EQUAL (wait_for_events (&fixture, KQ_EV_LEASE, 1), 1);
  CU_ASSERT_EQUAL (fixture.events[0].u.lease.err, KQ_EWORKER_SILENT);
  responses[1].stops_responding = false;
  kq_client_execute (fixture.client, &effect);
  CU_ASSERT_EQUAL (wait_for_events (&fixture, KQ_EV_LEASE, 1), 1);
  CU_ASSERT_EQUAL (fixture.events[0].u.lease.err, 0);
  stop_fixture (&fixture);
}

static void
test_log_reads (void)
{
  struct canned_response responses[]
      = { { .path = "/log/read",
            .status = 200,
            .body = "{\"first\":1,\"next\":4,\"records\":[{\"offset\":1,"
                    "\"id\":\"a\",\"record\":{\"kind\":\"cancel\",\"job\":"
                    "\"j\"}},{\"offset\":2,\"id\":\"b\",\"record\":7},"
                    "{\"offset\":3,\"id\":\"c\",\"record\":{\"kind\":"
                    "\"cancel\",\"job\":\"k\"}}]}" },
          { .path = NULL } };
  struct fixture fixture;

  start_fixture (&fixture, responses);
  CU_ASSERT_EQUAL (wait_for_events (&fixture, KQ_EV_LOG_END, 1), 1);
  CU_ASSERT_EQUAL (fixture.events[0].u.log.offset, 4);
  /* A batch that is received again adds no record twice. */
  fixture.kind = KQ_EV_RECORD;
  CU_ASSERT_EQUAL (wait_for_events (&fixture, KQ_EV_LOG_END, 2), 2);
  stop_fixture (&fixture);

  responses[0].status = 410;
  responses[0].body = "{\"first\":90}";
  start_fixture (&fixture, responses);
  CU_ASSERT_EQUAL (wait_for_events (&fixture, KQ_EV_LOG_GAP, 1), 1);
  CU_ASSERT_EQUAL (fixture.events[0].u.log.offset, 90);
  stop_fixture (&fixture);

  responses[0].status = 200;
  start_fixture (&fixture, responses);
  responses[0].body = "{\"first\":1,\"next\":2,\"records\":[{\"offset\":1,"
                      "\"id\":\"a\",\"record\":{\"kind\":\"cancel\",\"job\":"
                      "\"j\"}}]}";
  CU_ASSERT_EQUAL (wait_for_events (&fixture, KQ_EV_RECORD, 1), 1);
  CU_ASSERT_EQUAL (fixture.events[0].u.record.offset, 1);
  stop_fixture (&fixture);
}

static const struct kq_test tests[] = {
  { "records round trip", test_records_round_trip },
  { "malformed records", test_malformed_records },
  { "log batches", test_log_batches },
  { "lease reply", test_lease_reply },
  { "host list", test_host_list },
  { "append outcomes", test_append_outcomes },
  { "lease outcomes", test_lease_outcomes },
  { "task outcomes", test_task_outcomes },
  { "unresponsive connection", test_unresponsive_connection },
  { "log reads", test_log_reads },
};

KQ_TEST_MAIN ("platform", tests)

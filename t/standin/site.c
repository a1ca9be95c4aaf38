/** @file
 * Test double for the platform: its store, and workers that run tasks.  It
 * checks that a task never has two runs at a time, and that no run starts
 * after a host has acknowledged that the task is done.
 *
 * A task runs for the number of milliseconds in its job's spec.
 *
 * Tests control it on the store's port.  POST /admin takes
 * {"store":"up|refuse|hang", "lose_permille":N, "restart":WORKER}; GET /facts
 * returns the counters and the first violation found ("broken").
 */
#include <argtable2.h>
#include <endian.h>
#include <inttypes.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <uthash.h>
#include <utlist.h>

#include "t/standin/si-http.h"

#define MAX_WORKERS 512
#define REGISTER_INTERVAL_SEC 0.5
#define STOP_DELAY_MS 100
#define POLL_INTERVAL_SEC 0.02
#define LENGTH_BYTES 4

struct record
{
  char *key;      /* NULL in topics without keys */
  uint8_t *bytes; /* includes the key's length and the key */
  size_t size;
  size_t value_offset;
};

struct topic
{
  char name[64];
  bool keyed;
  struct record *records;
  int64_t end;
  int64_t allocated;
  int64_t epoch;
  int64_t sequence; /* of the newest append in that epoch */
  int64_t last_offset;
  struct topic *next;
};

struct run
{
  char task[64];
  int64_t number;
  double started_at;
  double ends_at;
  bool stopped; /* ends with outcome "stopped" */
  struct run *next, *prev;
};

struct ended_run
{
  int64_t number; /* counts the ended runs of a worker from 1 */
  char task[64];
  int64_t run;
  const char *outcome;
  struct ended_run *next, *prev;
};

struct worker
{
  int port;
  char id[16];
  struct si_server *server;
  double started_at;      /* start of the worker's clock, in seconds */
  int64_t incarnation_ms; /* start time, in milliseconds since 1970 */
  int64_t fence;
  int64_t until_ms; /* end of the lease, on the worker's clock */
  int64_t end_count;
  struct run *runs;
  struct ended_run *ended;
  struct highest_run *highest_run;
};

/* Highest run of a task that was stopped or has ended at a worker; lower or
   equal runs are refused.  */
struct highest_run
{
  char task[64];
  int64_t run;
  UT_hash_handle hh;
};

/* State of a task across all workers. */
struct task
{
  char name[64];
  int running_count;
  bool end_acked; /* a host acknowledged that it is done */
  UT_hash_handle hh;
};

static struct ev_loop *loop;
static struct topic *topics;
static struct worker workers[MAX_WORKERS];
static int worker_count;
static struct task *tasks;
static char store_state[16] = "up";
static int64_t lose_permille;
static int64_t start_count;
static int64_t done_count;
static char violation[256];
static unsigned random_state = 1;

/* Returns the monotonic time in seconds. */
static double
now (void)
{
  struct timespec ts;

  clock_gettime (CLOCK_MONOTONIC, &ts);
  return (double)ts.tv_sec + (double)ts.tv_nsec / 1e9;
}

static bool
loses_response (void)
{
  random_state = random_state * 1103515245u + 12345u;
  return (random_state >> 16) % 1000 < (unsigned)lose_permille;
}

/* Sends the response, or withholds it with a probability of lose_permille. */
static void
respond_or_lose (struct si_request *request, unsigned status, json_t *body)
{
  if (loses_response ())
    {
      json_decref (body);
      si_suspend (request);
      return;
    }
  si_respond_json (request, status, body);
}

/* Store. */

static struct topic *
find_or_create_topic (const char *name)
{
  struct topic *topic;

  LL_FOREACH (topics, topic)
  {
    if (strcmp (topic->name, name) == 0)
      return topic;
  }
  topic = calloc (1, sizeof *topic);
  snprintf (topic->name, sizeof topic->name, "%s", name);
  topic->keyed = strncmp (name, "keyed.", 6) == 0;
  topic->epoch = -1;
  LL_PREPEND (topics, topic);
  return topic;
}

static struct topic *
requested_topic (struct si_request *request)
{
  const char *name = MHD_lookup_connection_value (
      request->connection, MHD_GET_ARGUMENT_KIND, "topic");

  return find_or_create_topic (name != NULL ? name : "none");
}

static void
add_record (struct topic *topic, const uint8_t *bytes, size_t size)
{
  struct record *record;

  if (topic->end == topic->allocated)
    {
      topic->allocated = topic->allocated == 0 ? 256 : topic->allocated * 2;
      topic->records = realloc (topic->records, (size_t)topic->allocated
                                                    * sizeof *topic->records);
    }
  record = &topic->records[topic->end++];
  memset (record, 0, sizeof *record);
  record->bytes = malloc (size + 1);
  memcpy (record->bytes, bytes, size);
  record->size = size;
  if (topic->keyed && size > 0)
    {
      record->value_offset = 1 + (size_t)bytes[0];
      record->key = strndup ((const char *)bytes + 1, bytes[0]);
    }
}

static void
respond_read (struct si_request *request, const struct topic *topic,
              int64_t from)
{
  size_t size = 16;
  uint8_t *body;
  uint8_t *at;
  uint64_t header[2] = { htobe64 ((uint64_t)topic->end), 0 };

  for (int64_t i = from; i < topic->end; i++)
    size += LENGTH_BYTES + topic->records[i].size;
  body = malloc (size);
  memcpy (body, header, sizeof header);
  at = body + sizeof header;
  for (int64_t i = from; i < topic->end; i++)
    {
      uint32_t length = htobe32 ((uint32_t)topic->records[i].size);

      memcpy (at, &length, LENGTH_BYTES);
      memcpy (at + LENGTH_BYTES, topic->records[i].bytes,
              topic->records[i].size);
      at += LENGTH_BYTES + topic->records[i].size;
    }
  si_respond (request, MHD_HTTP_OK, body, size, NULL);
  free (body);
}

/* Responds once there are records or the wait is over; else tries again. */
static void
continue_read (struct si_request *request, void *context)
{
  struct topic *topic = context;
  int64_t from = si_argument (request, "from", 0);
  double deadline = request->deadline;

  if (from < topic->end || now () >= deadline)
    respond_read (request, topic, from < topic->end ? from : topic->end);
  else
    si_defer (request, POLL_INTERVAL_SEC, continue_read, topic);
}

static void
read_log (struct si_request *request)
{
  request->deadline
      = now () + (double)si_argument (request, "wait_ms", 0) / 1000;
  continue_read (request, requested_topic (request));
}

/* Responds if the append is refused or was applied before; returns whether it
   did.  */
static bool
respond_without_append (struct si_request *request, const struct topic *topic)
{
  int64_t expected_end = si_argument (request, "at", -1);
  int64_t epoch = si_argument (request, "epoch", -1);
  int64_t sequence = si_argument (request, "seq", -1);

  if (expected_end >= 0 && expected_end != topic->end)
    {
      respond_or_lose (request, MHD_HTTP_PRECONDITION_FAILED,
                       json_pack ("{sI}", "end", (json_int_t)topic->end));
      return true;
    }
  if (epoch < 0 || epoch > topic->epoch)
    return false;
  if (epoch < topic->epoch)
    respond_or_lose (request, MHD_HTTP_CONFLICT,
                     json_pack ("{ss}", "reason", "fenced"));
  else if (sequence == topic->sequence)
    respond_or_lose (request, MHD_HTTP_OK,
                     json_pack ("{sI sI}", "offset",
                                (json_int_t)topic->last_offset, "end",
                                (json_int_t)topic->end));
  else if (sequence != topic->sequence + 1)
    respond_or_lose (request, MHD_HTTP_CONFLICT,
                     json_pack ("{ss sI}", "reason", "seq", "seq",
                                (json_int_t)topic->sequence + 1));
  else
    return false;
  return true;
}

static void
append (struct si_request *request)
{
  struct topic *topic = requested_topic (request);
  const uint8_t *at = (const uint8_t *)request->body;
  size_t remaining = request->size;

  if (respond_without_append (request, topic))
    return;
  topic->last_offset = topic->end;
  if (si_argument (request, "epoch", -1) >= 0)
    {
      topic->epoch = si_argument (request, "epoch", -1);
      topic->sequence = si_argument (request, "seq", 0);
    }
  while (remaining > LENGTH_BYTES)
    {
      uint32_t length;

      memcpy (&length, at, LENGTH_BYTES);
      length = be32toh (length);
      add_record (topic, at + LENGTH_BYTES, length);
      at += LENGTH_BYTES + length;
      remaining -= LENGTH_BYTES + length;
    }
  respond_or_lose (request, MHD_HTTP_OK,
                   json_pack ("{sI sI}", "offset",
                              (json_int_t)topic->last_offset, "end",
                              (json_int_t)topic->end));
}

static json_t *
newest_item_to_json (const struct topic *topic, int64_t offset)
{
  const struct record *record = &topic->records[offset];
  size_t size = record->size - record->value_offset;
  size_t text_size = sodium_base64_encoded_len (size, 1);
  char *text = malloc (text_size);
  json_t *item;

  sodium_bin2base64 (text, text_size, record->bytes + record->value_offset,
                     size, sodium_base64_VARIANT_ORIGINAL);
  item = json_pack ("{ss ss sI}", "key", record->key, "value", text, "offset",
                    (json_int_t)offset);
  free (text);
  return item;
}

static bool
is_newest (const struct topic *topic, int64_t offset)
{
  const struct record *record = &topic->records[offset];

  if (record->key == NULL || record->size == record->value_offset)
    return false;
  for (int64_t i = offset + 1; i < topic->end; i++)
    if (strcmp (topic->records[i].key, record->key) == 0)
      return false;
  return true;
}

static void
read_newest (struct si_request *request)
{
  const struct topic *topic = requested_topic (request);
  json_t *items = json_array ();

  for (int64_t i = 0; i < topic->end; i++)
    if (is_newest (topic, i))
      json_array_append_new (items, newest_item_to_json (topic, i));
  respond_or_lose (request, MHD_HTTP_OK,
                   json_pack ("{so sb sI}", "items", items, "has_more", 0,
                              "end", (json_int_t)topic->end));
}

/* Copies KEY and TEXT without their terminating zero bytes. */
static void
copy_key_and_value (uint8_t *at, const char *key, const char *text)
{
  while (*key != '\0')
    *at++ = (uint8_t)*key++;
  while (*text != '\0')
    *at++ = (uint8_t)*text++;
}

/* Appends a keyed record, as the operator or a worker does. */
static void
put_record (const char *name, const char *key, json_t *value)
{
  struct topic *topic = find_or_create_topic (name);
  char *text = json_dumps (value, JSON_COMPACT);
  size_t key_size = strlen (key);
  size_t size = 1 + key_size + strlen (text);
  uint8_t *bytes = malloc (size + 1);

  bytes[0] = (uint8_t)key_size;
  copy_key_and_value (bytes + 1, key, text);
  add_record (topic, bytes, size);
  free (bytes);
  free (text);
  json_decref (value);
}

/* Workers. */

static struct task *
find_or_create_task (const char *name)
{
  struct task *task;

  HASH_FIND_STR (tasks, name, task);
  if (task != NULL)
    return task;
  task = calloc (1, sizeof *task);
  snprintf (task->name, sizeof task->name, "%s", name);
  HASH_ADD_STR (tasks, name, task);
  return task;
}

static int64_t
worker_clock_ms (const struct worker *worker)
{
  return (int64_t)((now () - worker->started_at) * 1000) + 1;
}

static void
register_worker (const struct worker *worker)
{
  char address[32];

  snprintf (address, sizeof address, "127.0.0.1:%d", worker->port);
  put_record ("keyed.servers", worker->id,
              json_pack ("{ss ss ss ss si s{si si si} s[s s] sI si}",
                         "service", "works", "addr", address, "zone", "z",
                         "state", "ready", "slots", 8, "capacity", "cpu", 8000,
                         "mem_mb", 16000, "gpu", 0, "labels", "a", "r1",
                         "born", (json_int_t)worker->incarnation_ms, "seq",
                         1));
}

static void
start_incarnation (struct worker *worker)
{
  struct timespec ts;

  clock_gettime (CLOCK_REALTIME, &ts);
  worker->incarnation_ms = (int64_t)ts.tv_sec * 1000 + ts.tv_nsec / 1000000;
  worker->started_at = now ();
  worker->fence = 0;
  worker->until_ms = 0;
  worker->end_count = 0;
  register_worker (worker);
}

static void
note_highest_run (struct worker *worker, const char *name, int64_t run)
{
  struct highest_run *highest_run;

  HASH_FIND_STR (worker->highest_run, name, highest_run);
  if (highest_run == NULL)
    {
      highest_run = calloc (1, sizeof *highest_run);
      snprintf (highest_run->task, sizeof highest_run->task, "%s", name);
      HASH_ADD_STR (worker->highest_run, task, highest_run);
    }
  if (run > highest_run->run)
    highest_run->run = run;
}

static void
end_run (struct worker *worker, struct run *run, const char *outcome)
{
  struct ended_run *ended = calloc (1, sizeof *ended);

  ended->number = ++worker->end_count;
  snprintf (ended->task, sizeof ended->task, "%s", run->task);
  ended->run = run->number;
  ended->outcome = outcome;
  DL_APPEND (worker->ended, ended);
  note_highest_run (worker, run->task, run->number);
  find_or_create_task (run->task)->running_count--;
  done_count += strcmp (outcome, "done") == 0;
  DL_DELETE (worker->runs, run);
  free (run);
}

/* Restarts WORKER: its runs, unacknowledged ends and refused run numbers are
   lost.  */
static void
restart_worker (struct worker *worker)
{
  struct run *run;
  struct run *next_run;
  struct ended_run *ended;
  struct ended_run *next_ended;
  struct highest_run *highest_run = worker->highest_run;
  struct highest_run *next_highest_run;

  DL_FOREACH_SAFE (worker->runs, run, next_run)
  {
    find_or_create_task (run->task)->running_count--;
    DL_DELETE (worker->runs, run);
    free (run);
  }
  DL_FOREACH_SAFE (worker->ended, ended, next_ended)
  {
    DL_DELETE (worker->ended, ended);
    free (ended);
  }
  HASH_CLEAR (hh, worker->highest_run);
  for (; highest_run != NULL; highest_run = next_highest_run)
    {
      next_highest_run = highest_run->hh.next;
      free (highest_run);
    }
  start_incarnation (worker);
}

static void
advance_worker (struct worker *worker)
{
  struct run *run;
  struct run *next;
  double time = now ();

  DL_FOREACH_SAFE (worker->runs, run, next)
  {
    if (worker_clock_ms (worker) > worker->until_ms)
      end_run (worker, run, "lapsed");
    else if (time >= run->ends_at)
      end_run (worker, run, run->stopped ? "stopped" : "done");
  }
}

static struct run *
find_run (struct worker *worker, const char *task, int64_t number)
{
  struct run *run;

  DL_FOREACH (worker->runs, run)
  {
    if (strcmp (run->task, task) == 0 && run->number == number)
      return run;
  }
  return NULL;
}

static void
respond_conflict (struct si_request *request, const struct worker *worker,
                  const char *reason)
{
  respond_or_lose (request, MHD_HTTP_CONFLICT,
                   json_pack ("{sI ss}", "clock_ms",
                              (json_int_t)worker_clock_ms (worker), "reason",
                              reason));
}

static void
respond_done (struct si_request *request, const struct worker *worker)
{
  respond_or_lose (
      request, MHD_HTTP_OK,
      json_pack ("{sI}", "clock_ms", (json_int_t)worker_clock_ms (worker)));
}

/* Records a violation if NAME must not start now; keeps the first one. */
static void
check_start_allowed (const char *name)
{
  const struct task *task = find_or_create_task (name);

  if (violation[0] != '\0')
    return;
  if (task->running_count > 0)
    snprintf (violation, sizeof violation, "two runs of %s", name);
  else if (task->end_acked)
    snprintf (violation, sizeof violation, "start of %s after its end", name);
}

static void
start_run (struct si_request *request, struct worker *worker,
           const json_t *body)
{
  const char *task = si_string (body, "task");
  int64_t number = si_number (body, "run_id", 0);
  int64_t until_ms = si_number (body, "until_ms", 0);
  struct highest_run *highest_run;
  struct run *run;

  HASH_FIND_STR (worker->highest_run, task, highest_run);
  if (find_run (worker, task, number) != NULL)
    respond_done (request, worker);
  else if (until_ms <= worker_clock_ms (worker))
    respond_conflict (request, worker, "late");
  else if (highest_run != NULL && number <= highest_run->run)
    respond_conflict (request, worker, "old");
  else
    {
      check_start_allowed (task);
      run = calloc (1, sizeof *run);
      snprintf (run->task, sizeof run->task, "%s", task);
      run->number = number;
      run->started_at = now ();
      run->ends_at = now () + atof (si_string (body, "spec")) / 1000;
      DL_APPEND (worker->runs, run);
      find_or_create_task (task)->running_count++;
      start_count++;
      if (until_ms > worker->until_ms)
        worker->until_ms = until_ms;
      respond_done (request, worker);
    }
}

static void
stop_run (struct si_request *request, struct worker *worker,
          const json_t *body)
{
  const char *task = si_string (body, "task");
  int64_t number = si_number (body, "run_id", 0);
  struct run *run = find_run (worker, task, number);

  if (run == NULL)
    note_highest_run (worker, task, number);
  else
    {
      run->stopped = true;
      run->ends_at = now () + STOP_DELAY_MS / 1000.0;
    }
  respond_done (request, worker);
}

static json_t *
running_to_json (const struct worker *worker)
{
  json_t *rows = json_array ();
  const struct run *run;

  DL_FOREACH (worker->runs, run)
  {
    double progress
        = (now () - run->started_at) / (run->ends_at - run->started_at);

    json_array_append_new (rows, json_pack ("[s I s i]", run->task,
                                            (json_int_t)run->number, "",
                                            (int)(progress * 100)));
  }
  return rows;
}

static json_t *
ended_to_json (const struct worker *worker)
{
  json_t *rows = json_array ();
  const struct ended_run *ended;

  DL_FOREACH (worker->ended, ended)
  {
    json_array_append_new (
        rows, json_pack ("[I s I s s]", (json_int_t)ended->number, ended->task,
                         (json_int_t)ended->run, ended->outcome, ""));
  }
  return rows;
}

static void
remove_acked_ends (struct worker *worker, int64_t last_acked)
{
  struct ended_run *ended;
  struct ended_run *next;

  DL_FOREACH_SAFE (worker->ended, ended, next)
  {
    if (ended->number > last_acked)
      continue;
    if (strcmp (ended->outcome, "done") == 0)
      find_or_create_task (ended->task)->end_acked = true;
    DL_DELETE (worker->ended, ended);
    free (ended);
  }
}

/* Responds once a run has ended or the wait is over; else tries again. */
static void
respond_poll (struct si_request *request, void *context)
{
  struct worker *worker = context;

  if (worker->ended == NULL && now () < request->deadline)
    {
      si_defer (request, POLL_INTERVAL_SEC, respond_poll, worker);
      return;
    }
  respond_or_lose (request, MHD_HTTP_OK,
                   json_pack ("{sI sI so so}", "clock_ms",
                              (json_int_t)worker_clock_ms (worker), "born",
                              (json_int_t)worker->incarnation_ms, "running",
                              running_to_json (worker), "ended",
                              ended_to_json (worker)));
}

static void
handle_poll (struct si_request *request, struct worker *worker,
             const json_t *body)
{
  int64_t until_ms = si_number (body, "until_ms", 0);

  if (until_ms > worker->until_ms)
    worker->until_ms = until_ms;
  remove_acked_ends (worker, si_number (body, "last_seen", 0));
  request->deadline = now () + (double)si_number (body, "wait_ms", 0) / 1000;
  respond_poll (request, worker);
}

static void
on_worker_request (struct si_request *request, void *context)
{
  struct worker *worker = context;
  json_t *body = si_parse_body (request);

  if (body == NULL)
    return;
  advance_worker (worker);
  if (si_number (body, "fence", 0) < worker->fence)
    respond_conflict (request, worker, "fence");
  else
    {
      worker->fence = si_number (body, "fence", 0);
      if (si_request_matches (request, "POST", "/-/run-start"))
        start_run (request, worker, body);
      else if (si_request_matches (request, "POST", "/-/run-stop"))
        stop_run (request, worker, body);
      else if (si_request_matches (request, "POST", "/-/hold"))
        handle_poll (request, worker, body);
      else
        respond_done (request, worker);
    }
  json_decref (body);
}

static void
handle_admin_request (struct si_request *request)
{
  json_t *body = si_parse_body (request);
  int64_t worker = si_number (body, "restart", -1);

  if (body == NULL)
    return;
  if (si_string (body, "store")[0] != '\0')
    snprintf (store_state, sizeof store_state, "%s",
              si_string (body, "store"));
  lose_permille = si_number (body, "lose_permille", lose_permille);
  if (worker >= 0 && worker < worker_count)
    restart_worker (&workers[worker]);
  json_decref (body);
  si_respond_json (request, MHD_HTTP_OK, json_object ());
}

static void
on_store_request (struct si_request *request, void *context)
{
  if (si_request_matches (request, "POST", "/admin"))
    handle_admin_request (request);
  else if (si_request_matches (request, "GET", "/facts"))
    si_respond_json (request, MHD_HTTP_OK,
                     json_pack ("{sI sI ss}", "starts",
                                (json_int_t)start_count, "done",
                                (json_int_t)done_count, "broken", violation));
  else if (strcmp (store_state, "hang") == 0)
    si_suspend (request);
  else if (strcmp (store_state, "refuse") == 0)
    si_respond_json (request, MHD_HTTP_SERVICE_UNAVAILABLE, json_object ());
  else if (si_request_matches (request, "POST", "/-/log-append"))
    append (request);
  else if (si_request_matches (request, "GET", "/-/log-read"))
    read_log (request);
  else if (si_request_matches (request, "GET", "/-/log-newest"))
    read_newest (request);
  else
    si_respond_json (request, MHD_HTTP_NOT_FOUND, json_object ());
}

static void
on_advance (struct ev_loop *advance_loop, ev_timer *timer, int events)
{
  for (int i = 0; i < worker_count; i++)
    advance_worker (&workers[i]);
}

static void
on_register (struct ev_loop *register_loop, ev_timer *timer, int events)
{
  if (strcmp (store_state, "up") != 0)
    return;
  for (int i = 0; i < worker_count; i++)
    register_worker (&workers[i]);
}

static void
put_configuration (void)
{
  put_record ("keyed.op", "config",
              json_pack ("{si s[{ss ss ss ss si si sf si}] s[{ss sb}] s{si}}",
                         "version", 1, "routes", "name", "r-jobs", "host",
                         "site.example", "prefix", "/jobs/", "service",
                         "works", "priority", 0, "attempts", 3, "stretch", 2.0,
                         "slo_ms", 1000, "services", "name", "works",
                         "enforces_capacity", 1, "limits", "max_body_bytes",
                         262144));
}

int
main (int argc, char **argv)
{
  struct arg_int *port
      = arg_int1 (NULL, "port", "PORT",
                  "port of the store; the workers use the next ones");
  struct arg_int *count
      = arg_int1 (NULL, "workers", "N", "number of workers, 1 to 32");
  struct arg_int *seed
      = arg_int0 (NULL, "seed", "N", "random seed of lost responses");
  struct arg_end *end = arg_end (8);
  void *table[] = { port, count, seed, end };
  ev_timer advance_timer;
  ev_timer register_timer;

  seed->ival[0] = 1;
  if (arg_parse (argc, argv, table) > 0 || count->ival[0] < 1
      || count->ival[0] > MAX_WORKERS)
    {
      arg_print_errors (stderr, end, "site");
      return 2;
    }
  random_state = (unsigned)seed->ival[0];
  worker_count = count->ival[0];
  loop = ev_default_loop (0);
  put_configuration ();
  si_server_start (loop, port->ival[0], on_store_request, NULL);
  for (int i = 0; i < worker_count; i++)
    {
      workers[i].port = port->ival[0] + 1 + i;
      snprintf (workers[i].id, sizeof workers[i].id, "i-%d", i);
      workers[i].server = si_server_start (loop, workers[i].port,
                                           on_worker_request, &workers[i]);
      start_incarnation (&workers[i]);
    }
  ev_timer_init (&advance_timer, on_advance, POLL_INTERVAL_SEC,
                 POLL_INTERVAL_SEC);
  ev_timer_start (loop, &advance_timer);
  ev_timer_init (&register_timer, on_register, REGISTER_INTERVAL_SEC,
                 REGISTER_INTERVAL_SEC);
  ev_timer_start (loop, &register_timer);
  arg_freetable (table, sizeof table / sizeof table[0]);
  si_run_loop (loop);
  return 0;
}

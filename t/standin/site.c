/* Stand-in of the users' platform: its store, and workers that run tasks.
   Beside what the platform answers, it checks that no task has two runs, and
   that none starts after an end that was passed over.

   A task works for the number of milliseconds that its job's spec says.

   POST /admin on the store's port: {"store":"up|refuse|hang",
   "lose_permille":N, "restart":WORKER}.  GET /facts: counts and what was
   broken.  */
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

#define MAX_WORKERS 32
#define REGISTER_SEC 0.5
#define STOP_MS 100
#define STEP_SEC 0.02
#define LENGTH_BYTES 4

struct record
{
  char *key;      /* NULL in topics without keys */
  uint8_t *bytes; /* with the key's length and the key */
  size_t size;
  size_t value_at;
};

struct topic
{
  char name[64];
  bool keyed;
  struct record *records;
  int64_t end;
  int64_t room;
  int64_t epoch;
  int64_t sequence; /* of the last append of that epoch */
  int64_t last_offset;
  struct topic *next;
};

struct run
{
  char task[64];
  int64_t number;
  double started_at;
  double ends_at;
  bool stopped;
  struct run *next, *prev;
};

struct ended
{
  int64_t number;
  char task[64];
  int64_t run;
  const char *how;
  struct ended *next, *prev;
};

struct worker
{
  int port;
  char id[16];
  struct si_server *server;
  double started_at;
  int64_t born;
  int64_t fence;
  int64_t until;
  int64_t ends;
  struct run *runs;
  struct ended *ended;
  struct barred *barred;
};

/* The highest run of a task that was stopped or has ended at a worker. */
struct barred
{
  char task[64];
  int64_t run;
  UT_hash_handle hh;
};

/* What is known of a task over all workers. */
struct task
{
  char name[64];
  int running;
  bool noted; /* its end was passed over */
  UT_hash_handle hh;
};

static struct ev_loop *loop;
static struct topic *topics;
static struct worker workers[MAX_WORKERS];
static int worker_count;
static struct task *tasks;
static char store_state[16] = "up";
static int64_t lose_permille;
static int64_t starts;
static int64_t ends_done;
static char broken[256];
static unsigned random_state = 1;

static double
now (void)
{
  struct timespec ts;

  clock_gettime (CLOCK_MONOTONIC, &ts);
  return (double)ts.tv_sec + (double)ts.tv_nsec / 1e9;
}

static bool
loses (void)
{
  random_state = random_state * 1103515245u + 12345u;
  return (random_state >> 16) % 1000 < (unsigned)lose_permille;
}

/* Answers, or leaves the caller without the answer. */
static void
tell (struct si_request *request, unsigned status, json_t *body)
{
  if (loses ())
    {
      json_decref (body);
      si_park (request);
      return;
    }
  si_answer_json (request, status, body);
}

/* The store. */

static struct topic *
find_topic (const char *name)
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
topic_of (struct si_request *request)
{
  const char *name = MHD_lookup_connection_value (
      request->connection, MHD_GET_ARGUMENT_KIND, "topic");

  return find_topic (name != NULL ? name : "none");
}

static void
add_record (struct topic *topic, const uint8_t *bytes, size_t size)
{
  struct record *record;

  if (topic->end == topic->room)
    {
      topic->room = topic->room == 0 ? 256 : topic->room * 2;
      topic->records = realloc (topic->records,
                                (size_t)topic->room * sizeof *topic->records);
    }
  record = &topic->records[topic->end++];
  memset (record, 0, sizeof *record);
  record->bytes = malloc (size + 1);
  memcpy (record->bytes, bytes, size);
  record->size = size;
  if (topic->keyed && size > 0)
    {
      record->value_at = 1 + (size_t)bytes[0];
      record->key = strndup ((const char *)bytes + 1, bytes[0]);
    }
}

static void
answer_read (struct si_request *request, const struct topic *topic,
             int64_t from)
{
  size_t size = 16;
  uint8_t *body;
  uint8_t *at;
  uint64_t head[2] = { htobe64 ((uint64_t)topic->end), 0 };

  for (int64_t i = from; i < topic->end; i++)
    size += LENGTH_BYTES + topic->records[i].size;
  body = malloc (size);
  memcpy (body, head, sizeof head);
  at = body + sizeof head;
  for (int64_t i = from; i < topic->end; i++)
    {
      uint32_t length = htobe32 ((uint32_t)topic->records[i].size);

      memcpy (at, &length, LENGTH_BYTES);
      memcpy (at + LENGTH_BYTES, topic->records[i].bytes,
              topic->records[i].size);
      at += LENGTH_BYTES + topic->records[i].size;
    }
  si_answer (request, MHD_HTTP_OK, body, size, NULL);
  free (body);
}

static void
later_read (struct si_request *request, void *context)
{
  struct topic *topic = context;
  int64_t from = si_argument (request, "from", 0);
  double until = request->number;

  if (from < topic->end || now () >= until)
    answer_read (request, topic, from < topic->end ? from : topic->end);
  else
    si_after (request, STEP_SEC, later_read, topic);
}

static void
read_log (struct si_request *request)
{
  request->number
      = now () + (double)si_argument (request, "wait_ms", 0) / 1000;
  later_read (request, topic_of (request));
}

static bool
refuse_append (struct si_request *request, const struct topic *topic)
{
  int64_t at = si_argument (request, "at", -1);
  int64_t epoch = si_argument (request, "epoch", -1);
  int64_t sequence = si_argument (request, "seq", -1);

  if (at >= 0 && at != topic->end)
    {
      tell (request, MHD_HTTP_PRECONDITION_FAILED,
            json_pack ("{sI}", "end", (json_int_t)topic->end));
      return true;
    }
  if (epoch < 0 || epoch > topic->epoch)
    return false;
  if (epoch < topic->epoch)
    tell (request, MHD_HTTP_CONFLICT, json_pack ("{ss}", "reason", "fenced"));
  else if (sequence == topic->sequence)
    tell (request, MHD_HTTP_OK,
          json_pack ("{sI sI}", "offset", (json_int_t)topic->last_offset,
                     "end", (json_int_t)topic->end));
  else if (sequence != topic->sequence + 1)
    tell (request, MHD_HTTP_CONFLICT,
          json_pack ("{ss sI}", "reason", "seq", "seq",
                     (json_int_t)topic->sequence + 1));
  else
    return false;
  return true;
}

static void
append (struct si_request *request)
{
  struct topic *topic = topic_of (request);
  const uint8_t *at = (const uint8_t *)request->body;
  size_t left = request->size;

  if (refuse_append (request, topic))
    return;
  topic->last_offset = topic->end;
  if (si_argument (request, "epoch", -1) >= 0)
    {
      topic->epoch = si_argument (request, "epoch", -1);
      topic->sequence = si_argument (request, "seq", 0);
    }
  while (left > LENGTH_BYTES)
    {
      uint32_t length;

      memcpy (&length, at, LENGTH_BYTES);
      length = be32toh (length);
      add_record (topic, at + LENGTH_BYTES, length);
      at += LENGTH_BYTES + length;
      left -= LENGTH_BYTES + length;
    }
  tell (request, MHD_HTTP_OK,
        json_pack ("{sI sI}", "offset", (json_int_t)topic->last_offset, "end",
                   (json_int_t)topic->end));
}

static json_t *
newest_item (const struct topic *topic, int64_t offset)
{
  const struct record *record = &topic->records[offset];
  size_t size = record->size - record->value_at;
  size_t room = sodium_base64_encoded_len (size, 1);
  char *text = malloc (room);
  json_t *item;

  sodium_bin2base64 (text, room, record->bytes + record->value_at, size,
                     sodium_base64_VARIANT_ORIGINAL);
  item = json_pack ("{ss ss sI}", "key", record->key, "value", text, "offset",
                    (json_int_t)offset);
  free (text);
  return item;
}

static bool
is_newest (const struct topic *topic, int64_t offset)
{
  const struct record *record = &topic->records[offset];

  if (record->key == NULL || record->size == record->value_at)
    return false;
  for (int64_t i = offset + 1; i < topic->end; i++)
    if (strcmp (topic->records[i].key, record->key) == 0)
      return false;
  return true;
}

static void
newest (struct si_request *request)
{
  const struct topic *topic = topic_of (request);
  json_t *items = json_array ();

  for (int64_t i = 0; i < topic->end; i++)
    if (is_newest (topic, i))
      json_array_append_new (items, newest_item (topic, i));
  tell (request, MHD_HTTP_OK,
        json_pack ("{so sb sI}", "items", items, "has_more", 0, "end",
                   (json_int_t)topic->end));
}

/* Copies KEY and TEXT without their ends. */
static void
join (uint8_t *at, const char *key, const char *text)
{
  while (*key != '\0')
    *at++ = (uint8_t)*key++;
  while (*text != '\0')
    *at++ = (uint8_t)*text++;
}

/* Writes a keyed record as the operator or a worker does. */
static void
put (const char *name, const char *key, json_t *value)
{
  struct topic *topic = find_topic (name);
  char *text = json_dumps (value, JSON_COMPACT);
  size_t key_size = strlen (key);
  size_t size = 1 + key_size + strlen (text);
  uint8_t *bytes = malloc (size + 1);

  bytes[0] = (uint8_t)key_size;
  join (bytes + 1, key, text);
  add_record (topic, bytes, size);
  free (bytes);
  free (text);
  json_decref (value);
}

/* The workers. */

static struct task *
task_of (const char *name)
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
clock_of (const struct worker *worker)
{
  return (int64_t)((now () - worker->started_at) * 1000) + 1;
}

static void
register_worker (const struct worker *worker)
{
  char address[32];

  snprintf (address, sizeof address, "127.0.0.1:%d", worker->port);
  put ("keyed.servers", worker->id,
       json_pack ("{ss ss ss ss si s{si si si} s[s s] sI si}", "service",
                  "works", "addr", address, "zone", "z", "state", "ready",
                  "slots", 8, "capacity", "cpu", 8000, "mem_mb", 16000, "gpu",
                  0, "labels", "a", "r1", "born", (json_int_t)worker->born,
                  "seq", 1));
}

static void
begin_life (struct worker *worker)
{
  struct timespec ts;

  clock_gettime (CLOCK_REALTIME, &ts);
  worker->born = (int64_t)ts.tv_sec * 1000 + ts.tv_nsec / 1000000;
  worker->started_at = now ();
  worker->fence = 0;
  worker->until = 0;
  worker->ends = 0;
  register_worker (worker);
}

static void
remember_bar (struct worker *worker, const char *name, int64_t run)
{
  struct barred *barred;

  HASH_FIND_STR (worker->barred, name, barred);
  if (barred == NULL)
    {
      barred = calloc (1, sizeof *barred);
      snprintf (barred->task, sizeof barred->task, "%s", name);
      HASH_ADD_STR (worker->barred, task, barred);
    }
  if (run > barred->run)
    barred->run = run;
}

static void
end_run (struct worker *worker, struct run *run, const char *how)
{
  struct ended *ended = calloc (1, sizeof *ended);

  ended->number = ++worker->ends;
  snprintf (ended->task, sizeof ended->task, "%s", run->task);
  ended->run = run->number;
  ended->how = how;
  DL_APPEND (worker->ended, ended);
  remember_bar (worker, run->task, run->number);
  task_of (run->task)->running--;
  ends_done += strcmp (how, "done") == 0;
  DL_DELETE (worker->runs, run);
  free (run);
}

/* All that it ran and knew is gone. */
static void
restart_worker (struct worker *worker)
{
  struct run *run;
  struct run *next_run;
  struct ended *ended;
  struct ended *next_ended;
  struct barred *barred = worker->barred;
  struct barred *next_barred;

  DL_FOREACH_SAFE (worker->runs, run, next_run)
  {
    task_of (run->task)->running--;
    DL_DELETE (worker->runs, run);
    free (run);
  }
  DL_FOREACH_SAFE (worker->ended, ended, next_ended)
  {
    DL_DELETE (worker->ended, ended);
    free (ended);
  }
  HASH_CLEAR (hh, worker->barred);
  for (; barred != NULL; barred = next_barred)
    {
      next_barred = barred->hh.next;
      free (barred);
    }
  begin_life (worker);
}

static void
step_worker (struct worker *worker)
{
  struct run *run;
  struct run *next;
  double time = now ();

  DL_FOREACH_SAFE (worker->runs, run, next)
  {
    if (clock_of (worker) > worker->until)
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
conflict (struct si_request *request, const struct worker *worker,
          const char *reason)
{
  tell (request, MHD_HTTP_CONFLICT,
        json_pack ("{sI ss}", "clock_ms", (json_int_t)clock_of (worker),
                   "reason", reason));
}

static void
done (struct si_request *request, const struct worker *worker)
{
  tell (request, MHD_HTTP_OK,
        json_pack ("{sI}", "clock_ms", (json_int_t)clock_of (worker)));
}

static void
check_start (const char *name)
{
  const struct task *task = task_of (name);

  if (broken[0] != '\0')
    return;
  if (task->running > 0)
    snprintf (broken, sizeof broken, "two runs of %s", name);
  else if (task->noted)
    snprintf (broken, sizeof broken, "start of %s after its end", name);
}

static void
start_run (struct si_request *request, struct worker *worker,
           const json_t *body)
{
  const char *task = si_string (body, "task");
  int64_t number = si_number (body, "run_id", 0);
  int64_t until = si_number (body, "until_ms", 0);
  struct barred *barred;
  struct run *run;

  HASH_FIND_STR (worker->barred, task, barred);
  if (find_run (worker, task, number) != NULL)
    done (request, worker);
  else if (until <= clock_of (worker))
    conflict (request, worker, "late");
  else if (barred != NULL && number <= barred->run)
    conflict (request, worker, "old");
  else
    {
      check_start (task);
      run = calloc (1, sizeof *run);
      snprintf (run->task, sizeof run->task, "%s", task);
      run->number = number;
      run->started_at = now ();
      run->ends_at = now () + atof (si_string (body, "spec")) / 1000;
      DL_APPEND (worker->runs, run);
      task_of (task)->running++;
      starts++;
      if (until > worker->until)
        worker->until = until;
      done (request, worker);
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
    remember_bar (worker, task, number);
  else
    {
      run->stopped = true;
      run->ends_at = now () + STOP_MS / 1000.0;
    }
  done (request, worker);
}

static json_t *
running_rows (const struct worker *worker)
{
  json_t *rows = json_array ();
  const struct run *run;

  DL_FOREACH (worker->runs, run)
  {
    double share
        = (now () - run->started_at) / (run->ends_at - run->started_at);

    json_array_append_new (rows, json_pack ("[s I s i]", run->task,
                                            (json_int_t)run->number, "",
                                            (int)(share * 100)));
  }
  return rows;
}

static json_t *
ended_rows (const struct worker *worker)
{
  json_t *rows = json_array ();
  const struct ended *ended;

  DL_FOREACH (worker->ended, ended)
  {
    json_array_append_new (
        rows, json_pack ("[I s I s s]", (json_int_t)ended->number, ended->task,
                         (json_int_t)ended->run, ended->how, ""));
  }
  return rows;
}

static void
forget_seen (struct worker *worker, int64_t seen)
{
  struct ended *ended;
  struct ended *next;

  DL_FOREACH_SAFE (worker->ended, ended, next)
  {
    if (ended->number > seen)
      continue;
    if (strcmp (ended->how, "done") == 0)
      task_of (ended->task)->noted = true;
    DL_DELETE (worker->ended, ended);
    free (ended);
  }
}

static void
answer_hold (struct si_request *request, void *context)
{
  struct worker *worker = context;

  if (worker->ended == NULL && now () < request->number)
    {
      si_after (request, STEP_SEC, answer_hold, worker);
      return;
    }
  tell (request, MHD_HTTP_OK,
        json_pack ("{sI sI so so}", "clock_ms", (json_int_t)clock_of (worker),
                   "born", (json_int_t)worker->born, "running",
                   running_rows (worker), "ended", ended_rows (worker)));
}

static void
hold (struct si_request *request, struct worker *worker, const json_t *body)
{
  int64_t until = si_number (body, "until_ms", 0);

  if (until > worker->until)
    worker->until = until;
  forget_seen (worker, si_number (body, "last_seen", 0));
  request->number = now () + (double)si_number (body, "wait_ms", 0) / 1000;
  answer_hold (request, worker);
}

static void
on_worker_request (struct si_request *request, void *context)
{
  struct worker *worker = context;
  json_t *body = si_body (request);

  if (body == NULL)
    return;
  step_worker (worker);
  if (si_number (body, "fence", 0) < worker->fence)
    conflict (request, worker, "fence");
  else
    {
      worker->fence = si_number (body, "fence", 0);
      if (si_is (request, "POST", "/-/run-start"))
        start_run (request, worker, body);
      else if (si_is (request, "POST", "/-/run-stop"))
        stop_run (request, worker, body);
      else if (si_is (request, "POST", "/-/hold"))
        hold (request, worker, body);
      else
        done (request, worker);
    }
  json_decref (body);
}

static void
administer (struct si_request *request)
{
  json_t *body = si_body (request);
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
  si_answer_json (request, MHD_HTTP_OK, json_object ());
}

static void
on_store_request (struct si_request *request, void *context)
{
  if (si_is (request, "POST", "/admin"))
    administer (request);
  else if (si_is (request, "GET", "/facts"))
    si_answer_json (request, MHD_HTTP_OK,
                    json_pack ("{sI sI ss}", "starts", (json_int_t)starts,
                               "done", (json_int_t)ends_done, "broken",
                               broken));
  else if (strcmp (store_state, "hang") == 0)
    si_park (request);
  else if (strcmp (store_state, "refuse") == 0)
    si_answer_json (request, MHD_HTTP_SERVICE_UNAVAILABLE, json_object ());
  else if (si_is (request, "POST", "/-/log-append"))
    append (request);
  else if (si_is (request, "GET", "/-/log-read"))
    read_log (request);
  else if (si_is (request, "GET", "/-/log-newest"))
    newest (request);
  else
    si_answer_json (request, MHD_HTTP_NOT_FOUND, json_object ());
}

static void
on_step (struct ev_loop *step_loop, ev_timer *timer, int events)
{
  for (int i = 0; i < worker_count; i++)
    step_worker (&workers[i]);
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
configure (void)
{
  put ("keyed.op", "config",
       json_pack ("{si s[{ss ss ss ss si si sf si}] s[{ss sb}] s{si}}",
                  "version", 1, "routes", "name", "r-jobs", "host",
                  "site.example", "prefix", "/jobs/", "service", "works",
                  "priority", 0, "attempts", 3, "stretch", 2.0, "slo_ms", 1000,
                  "services", "name", "works", "enforces_capacity", 1,
                  "limits", "max_body_bytes", 262144));
}

int
main (int argc, char **argv)
{
  struct arg_int *port
      = arg_int1 (NULL, "port", "PORT", "of the store; workers follow");
  struct arg_int *count = arg_int1 (NULL, "workers", "N", "1 to 32");
  struct arg_int *seed = arg_int0 (NULL, "seed", "N", "of lost answers");
  struct arg_end *end = arg_end (8);
  void *table[] = { port, count, seed, end };
  ev_timer step;
  ev_timer registering;

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
  configure ();
  si_server_start (loop, port->ival[0], on_store_request, NULL);
  for (int i = 0; i < worker_count; i++)
    {
      workers[i].port = port->ival[0] + 1 + i;
      snprintf (workers[i].id, sizeof workers[i].id, "i-%d", i);
      workers[i].server = si_server_start (loop, workers[i].port,
                                           on_worker_request, &workers[i]);
      begin_life (&workers[i]);
    }
  ev_timer_init (&step, on_step, STEP_SEC, STEP_SEC);
  ev_timer_start (loop, &step);
  ev_timer_init (&registering, on_register, REGISTER_SEC, REGISTER_SEC);
  ev_timer_start (loop, &registering);
  arg_freetable (table, sizeof table / sizeof table[0]);
  si_run (loop);
  return 0;
}

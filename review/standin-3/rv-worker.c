/* One worker: see rv.c. */
#include "rv.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

/* ---- a worker ---- */

struct run
{
  char task[80];
  int64_t number;
  int64_t began;
  int64_t work_ms; /* -1: lasting */
  double done_ms;  /* of that */
  int64_t looked_at;
  int pace;
  int64_t stops_at;   /* 0: it is not being stopped */
  int64_t end_number; /* 0: it runs */
  char how[12];
  int64_t listed_at; /* when its end was noted as listed last; 0: not yet */
  struct run *next;
};

static struct run *runs;  /* that run */
static struct run *ended; /* not forgotten yet, the first one first */
static struct
{
  char task[80];
  int64_t number;
} highest[8192];
static int highest_count;
static char id[64];
static char store_address[32];
static int64_t fence, until, end_count, began_at, born, last_beat, hold_max;
static int64_t stop_ms;
static int port;

static int64_t
worker_clock (void)
{
  return now_ms () - began_at + 1;
}

static int64_t *
highest_run (const char *task)
{
  for (int i = 0; i < highest_count; i++)
    if (strcmp (highest[i].task, task) == 0)
      return &highest[i].number;
  if (highest_count == 8192)
    abort ();
  snprintf (highest[highest_count].task, sizeof highest[0].task, "%s", task);
  return &highest[highest_count++].number;
}

static struct run *
find_run (const char *task, int64_t number)
{
  for (struct run *run = runs; run != NULL; run = run->next)
    if (strcmp (run->task, task) == 0 && run->number == number)
      return run;
  return NULL;
}

static void
end_run (struct run *run, const char *how)
{
  struct run **at = &runs;
  int64_t *most = highest_run (run->task);

  while (*at != run)
    at = &(*at)->next;
  *at = run->next;
  for (at = &ended; *at != NULL; at = &(*at)->next)
    ;
  *at = run;
  run->next = NULL;
  run->end_number = ++end_count;
  snprintf (run->how, sizeof run->how, "%s", how);
  if (run->number > *most)
    *most = run->number;
  note ("worker %s %lld end %s %lld %s", id, (long long)born, run->task,
        (long long)run->number, how);
}

static void
register_worker (void)
{
  char path[128];
  char reply[1024];
  json_t *entry = json_pack (
      "{ss ss ss ss ss si si sI s{sI sI si} s[s s] sI}", "service",
      option ("--service", "works"), "addr", option ("--addr", ""), "zone",
      option ("--zone", "z1"), "version", "1", "state", "ready", "slots", 8,
      "warmup_left_ms", 0, "seq", (json_int_t)worker_clock (), "capacity",
      "cpu", (json_int_t)number_option ("--cpu", 8000), "mem_mb",
      (json_int_t)number_option ("--mem", 16000), "gpu", 0, "labels", "a",
      "r1", "born", (json_int_t)born);
  char *text = json_dumps (entry, JSON_COMPACT);

  snprintf (path, sizeof path, "/put?topic=keyed.servers&key=%s&beat=1", id);
  call ("POST", store_address, "store", path, 300, text, strlen (text), reply,
        sizeof reply);
  free (text);
  json_decref (entry);
}

static void
worker_tick (void)
{
  static int64_t lapsed_until;
  struct run *run = runs;

  if (worker_clock () > until && until != lapsed_until)
    {
      note ("worker %s %lld lapse", id, (long long)born);
      lapsed_until = until;
    }
  while (run != NULL)
    {
      struct run *next = run->next;
      int64_t now = now_ms ();

      run->done_ms += (double)(now - run->looked_at) * run->pace / 100;
      run->looked_at = now;
      if (worker_clock () > until)
        end_run (run, "lapsed");
      else if (run->stops_at != 0 && now >= run->stops_at)
        end_run (run, "stopped");
      else if (run->work_ms >= 0 && run->done_ms >= (double)run->work_ms)
        end_run (run, "done");
      run = next;
    }
  if (now_ms () - last_beat >= BEAT_MS)
    {
      last_beat = now_ms ();
      register_worker ();
    }
}

static void
conflict (struct conn *conn, const char *reason)
{
  respond_json (conn, 409,
                json_pack ("{sI ss}", "clock_ms", (json_int_t)worker_clock (),
                           "reason", reason));
}

static void
done (struct conn *conn)
{
  respond_json (conn, 200,
                json_pack ("{sI}", "clock_ms", (json_int_t)worker_clock ()));
}

static void
extend (int64_t until_ms)
{
  if (until_ms > worker_clock () + hold_max)
    until_ms = worker_clock () + hold_max;
  if (until_ms > until)
    until = until_ms;
}

static int64_t
field (const json_t *body, const char *name)
{
  return json_integer_value (json_object_get (body, name));
}

static void
handle_start (struct conn *conn, const json_t *body)
{
  const char *task = json_string_value (json_object_get (body, "task"));
  const char *spec = json_string_value (json_object_get (body, "spec"));
  int64_t number = field (body, "run_id");
  int64_t until_ms = field (body, "until_ms");
  struct run *run;

  if (find_run (task, number) != NULL)
    done (conn);
  else if (until_ms <= worker_clock ())
    conflict (conn, "late");
  else if (number <= *highest_run (task))
    {
      extend (until_ms);
      conflict (conn, "old");
    }
  else
    {
      extend (until_ms);
      run = calloc (1, sizeof *run);
      snprintf (run->task, sizeof run->task, "%s", task);
      run->number = number;
      run->began = run->looked_at = now_ms ();
      run->pace = 100;
      run->work_ms = strcmp (spec, "lasting") == 0 ? -1 : atoll (spec);
      run->next = runs;
      runs = run;
      note ("worker %s %lld start %s %lld fence=%lld", id, (long long)born,
            task, (long long)number, (long long)fence);
      done (conn);
    }
}

static void
handle_stop (struct conn *conn, const json_t *body)
{
  const char *task = json_string_value (json_object_get (body, "task"));
  int64_t number = field (body, "run_id");
  struct run *run = find_run (task, number);
  int64_t *most = highest_run (task);

  if (run != NULL && run->stops_at == 0)
    run->stops_at = now_ms () + stop_ms / 2;
  if (run == NULL && number > *most)
    *most = number;
  done (conn);
}

static void
forget_ends (int64_t last_seen)
{
  while (ended != NULL && ended->end_number <= last_seen)
    {
      struct run *run = ended;

      note ("worker %s %lld noted %s %lld %s%s", id, (long long)born,
            run->task, (long long)run->number, run->how,
            run->listed_at != 0 ? "" : " unlisted");
      ended = run->next;
      free (run);
    }
}

static void
respond_lists (struct conn *conn)
{
  json_t *rows = json_array ();
  json_t *ends = json_array ();

  for (struct run *run = runs; run != NULL; run = run->next)
    json_array_append_new (
        rows, json_pack (
                  "[s I s i i]", run->task, (json_int_t)run->number, "",
                  run->work_ms < 0
                      ? 100
                      : (int)(run->done_ms * 100 / (double)(run->work_ms + 1)),
                  500));
  for (struct run *run = ended; run != NULL && json_array_size (ends) < 500;
       run = run->next)
    {
      if (run->listed_at == 0 || now_ms () - run->listed_at >= 1000)
        {
          note ("worker %s %lld listed %s %lld %s %s", id, (long long)born,
                run->task, (long long)run->number, run->how,
                worker_clock () <= until ? "leased" : "lapsed");
          run->listed_at = now_ms ();
        }
      json_array_append_new (
          ends, json_pack ("[I s I s s]", (json_int_t)run->end_number,
                           run->task, (json_int_t)run->number, run->how, ""));
    }
  respond_json (conn, 200,
                json_pack ("{sI sI so so}", "clock_ms",
                           (json_int_t)worker_clock (), "born",
                           (json_int_t)born, "running", rows, "ended", ends));
}

static bool
handle_hold (struct conn *conn, const json_t *body)
{
  if (!conn->seen)
    {
      extend (field (body, "until_ms"));
      forget_ends (field (body, "last_seen"));
      conn->deadline = now_ms () + field (body, "wait_ms");
    }
  if (ended == NULL && now_ms () < conn->deadline)
    return false;
  respond_lists (conn);
  return true;
}

static bool
handle_order (struct conn *conn, const json_t *body)
{
  int64_t order_fence = field (body, "fence");

  if (conn->instance[0] != '\0' && strcmp (conn->instance, id) != 0)
    {
      respond (conn, 421, "application/json", "{}", 2);
      return true;
    }
  if (!conn->seen && order_fence < fence)
    {
      conflict (conn, "fence");
      return true;
    }
  if (!conn->seen)
    fence = order_fence;
  if (strcmp (conn->path, "/-/hold") == 0)
    return handle_hold (conn, body);
  if (strcmp (conn->path, "/-/run-start") == 0)
    handle_start (conn, body);
  else if (strcmp (conn->path, "/-/run-stop") == 0)
    handle_stop (conn, body);
  else if (strcmp (conn->path, "/-/pace") == 0)
    {
      struct run *run
          = find_run (json_string_value (json_object_get (body, "task")),
                      field (body, "run_id"));

      if (run != NULL)
        run->pace = (int)field (body, "percent");
      done (conn);
    }
  else
    respond (conn, 404, "application/json", "{}", 2);
  return true;
}

/* The worker that takes away the file of --die-file crashes as an order to
   start arrives, before it is carried out. */
static void
die_on_start (const struct conn *conn)
{
  const char *file = option ("--die-file", NULL);

  if (file == NULL || conn->seen || strcmp (conn->path, "/-/run-start") != 0
      || unlink (file) != 0)
    return;
  note ("worker %s %lld crash", id, (long long)born);
  _exit (9);
}

static bool
handle_worker (struct conn *conn)
{
  json_t *body;
  bool answered;

  die_on_start (conn);
  if (strcmp (conn->path, "/healthz") == 0)
    {
      respond (conn, 200, "text/plain", "", 0);
      return true;
    }
  body = json_loadb (conn->body, conn->body_size, 0, NULL);
  if (body == NULL)
    {
      respond (conn, 400, "application/json", "{}", 2);
      return true;
    }
  worker_tick ();
  answered = handle_order (conn, body);
  json_decref (body);
  return answered;
}

int
run_worker (void)
{
  int listener;

  port = (int)number_option ("--port", 0);
  listener = listen_at (option ("--ip", "127.0.0.1"), port);
  record_path = option ("--record", NULL);
  snprintf (id, sizeof id, "%s", option ("--id", "w"));
  snprintf (store_address, sizeof store_address, "%s", option ("--store", ""));
  hold_max = number_option ("--hold-max-ms", 10000);
  stop_ms = number_option ("--stop-ms", 400);
  began_at = now_ms ();
  last_beat = began_at - BEAT_MS + number_option ("--first-beat-ms", 0);
  /* The time of day of its machine may differ from this one's. */
  born = clock_ms (CLOCK_REALTIME) + number_option ("--clock-ms", 0);
  if (listener < 0)
    return 2;
  note ("worker %s %lld begin", id, (long long)born);
  serve (listener, handle_worker, worker_tick);
  return 0;
}

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
  bool listed; /* its end was, once */
  int members; /* of its gang; 0: none */
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

/* A gang's members, on any workers, tell each other in the folder of --gangs:
   PATH of KIND for RUN's gang. */
static void
gang_path (const struct run *run, const char *kind, char path[256])
{
  char base[80];
  char *dot;

  snprintf (base, sizeof base, "%s", run->task);
  dot = strrchr (base, '.');
  *dot = '\0';
  snprintf (path, 256, "%s/%s-%lld-%s", option ("--gangs", "."), base,
            (long long)run->number, kind);
}

static void
gang_touch (const struct run *run, const char *kind, int64_t number)
{
  char path[256];
  FILE *file;

  gang_path (run, kind, path);
  file = fopen (path, "w");
  if (file == NULL)
    return;
  fprintf (file, "%lld", (long long)number);
  fclose (file);
}

/* Returns the number in the file of KIND, or -1. */
static int64_t
gang_read (const struct run *run, const char *kind)
{
  char path[256];
  long long number = -1;
  FILE *file;

  gang_path (run, kind, path);
  file = fopen (path, "r");
  if (file == NULL)
    return -1;
  if (fscanf (file, "%lld", &number) != 1)
    number = -1;
  fclose (file);
  return number;
}

/* Returns how the run of a gang's member ends now, or NULL; sets *WORKS. */
static const char *
look_at_gang (const struct run *run, bool *works)
{
  int present = 0;

  *works = false;
  if (gang_read (run, "done") >= 0)
    return "done";
  if (gang_read (run, "broken") >= 0)
    return "broken";
  for (int i = 0; i < run->members; i++)
    {
      char kind[16];
      int64_t pid;

      snprintf (kind, sizeof kind, "m%d", i);
      pid = gang_read (run, kind);
      if (pid > 0 && kill ((pid_t)pid, 0) == 0)
        present++;
      else if (pid > 0)
        gang_touch (run, "broken", 1);
    }
  *works = present == run->members;
  if (*works && gang_read (run, "go") < 0)
    gang_touch (run, "go", now_ms ());
  if (!*works && gang_read (run, "go") < 0
      && now_ms () - run->began > number_option ("--gang-ms", 3000))
    return "alone";
  return NULL;
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
  if (run->members > 0)
    gang_touch (run, strcmp (how, "done") == 0 ? "done" : "broken", 1);
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

static void late_tick (void);

static void
late_pass (void)
{
  static bool inside;

  if (inside)
    return;
  inside = true;
  late_tick ();
  inside = false;
}

static void
worker_tick (void)
{
  struct run *run = runs;

  while (run != NULL)
    {
      struct run *next = run->next;
      int64_t now = now_ms ();
      bool works = true;
      const char *how = run->members > 0 ? look_at_gang (run, &works) : NULL;

      if (works)
        run->done_ms += (double)(now - run->looked_at) * run->pace / 100;
      run->looked_at = now;
      if (how != NULL)
        end_run (run, how);
      else if (worker_clock () > until)
        end_run (run, "lapsed");
      else if (run->stops_at != 0 && now >= run->stops_at)
        end_run (run, "stopped");
      else if (run->work_ms >= 0 && run->done_ms >= (double)run->work_ms)
        end_run (run, "done");
      run = next;
    }
  late_pass ();
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
      if (strstr (spec, "gang") != NULL)
        {
          char kind[16];

          run->members = atoi (strstr (spec, "gang") + 4);
          snprintf (kind, sizeof kind, "m%s", strrchr (task, '.') + 1);
          gang_touch (run, kind, getpid ());
        }
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
            run->listed ? "" : " unlisted");
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
      if (!run->listed)
        note ("worker %s %lld listed %s %lld %s", id, (long long)born,
              run->task, (long long)run->number, run->how);
      run->listed = true;
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

/* An order that gets no answer and is carried out late. */
struct late
{
  struct conn conn;
  json_t *body;
  int64_t due;
  struct late *next;
};

static struct late *late_orders;

static bool handle_order (struct conn *conn, const json_t *body);

static void
late_tick (void)
{
  struct late **at = &late_orders;

  while (*at != NULL)
    {
      struct late *late = *at;

      if (now_ms () < late->due)
        {
          at = &late->next;
          continue;
        }
      *at = late->next;
      note ("worker %s %lld late %s", id, (long long)born, late->conn.path);
      if (strcmp (late->conn.path, "/-/hold") == 0)
        {
          if (field (late->body, "fence") >= fence)
            {
              fence = field (late->body, "fence");
              extend (field (late->body, "until_ms"));
              forget_ends (field (late->body, "last_seen"));
            }
        }
      else
        handle_order (&late->conn, late->body);
      free (late->conn.out);
      json_decref (late->body);
      free (late);
    }
}

/* Whether the order gets no answer: --late-permille of them, while the file of
   --late-file is there. */
static bool
make_late (struct conn *conn, json_t *body)
{
  struct late *late;

  if (conn->seen || number_option ("--late-permille", 0) <= rand () % 1000
      || access (option ("--late-file", "/nonexistent"), F_OK) != 0
      || (conn->instance[0] != '\0' && strcmp (conn->instance, id) != 0))
    return false;
  late = calloc (1, sizeof *late);
  late->body = json_incref (body);
  snprintf (late->conn.path, sizeof late->conn.path, "%s", conn->path);
  late->due = now_ms () + 2000 + rand () % 10000;
  late->next = late_orders;
  late_orders = late;
  note ("worker %s %lld withheld %s", id, (long long)born, conn->path);
  return true;
}

static bool
handle_worker (struct conn *conn)
{
  json_t *body;
  bool answered;

  if (conn->deadline == -1)
    return false; /* it gets no answer */
  /* While the file of --mute-file is there, what arrives is lost. */
  if (access (option ("--mute-file", "/nonexistent"), F_OK) == 0)
    {
      conn->deadline = -1;
      return false;
    }
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
  late_tick ();
  if (make_late (conn, body))
    {
      conn->deadline = -1;
      json_decref (body);
      return false;
    }
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
  srand ((unsigned)(born ^ getpid ()));
  if (listener < 0)
    return 2;
  note ("worker %s %lld begin", id, (long long)born);
  serve (listener, handle_worker, worker_tick);
  return 0;
}

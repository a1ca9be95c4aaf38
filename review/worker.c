/* Stand-in of the workers: leases, runs and lists, as PROTOCOL.md says. */
#include <math.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "review/internal.h"

#define STOP_TIME_S 0.1
#define START_UP_MS 300
#define TICK_S 0.005
#define MAX_LISTED 500
/* Heartbeats that are missing when an entry is removed. */
#define MISSED_BEATS 3

struct w_worker w_workers[W_MAX_WORKERS];
int w_worker_count;
struct w_run w_runs[W_MAX_RUNS];
int w_run_count;
static char address[32];
static int next_id;
/* The start order that gets no answer and is carried out later. */
static bool late_wanted;
static int late_worker = -1;
static double late_at;
static json_t *late_order;

static int64_t
clock_ms (const struct w_worker *worker)
{
  return (int64_t)((w_now () - worker->clock_at) * 1000) + 1;
}

static void
put_entry (const struct w_worker *worker)
{
  char text[64];

  snprintf (text, sizeof text, "%s:%d", address, worker->port);
  world_store_put (
      "keyed.servers", worker->id,
      json_pack ("{ss ss ss ss si ss si sI s{sI sI si} s[s s] si}", "service",
                 worker->service, "addr", text, "zone", worker->zone,
                 "version", "v1", "slots", 8, "state", "ready",
                 "warmup_left_ms", 0, "born", worker->born_ms, "capacity",
                 "cpu", worker->cpu, "mem_mb", worker->mem, "gpu", 0, "labels",
                 worker->kind, worker->rack, "seq", 1));
}

static void
begin_life (struct w_worker *worker)
{
  struct timespec ts;

  clock_gettime (CLOCK_REALTIME, &ts);
  worker->born_ms = (int64_t)ts.tv_sec * 1000 + ts.tv_nsec / 1000000;
  worker->clock_at = w_now ();
  worker->lost_at = 0;
  worker->fence = 0;
  worker->until_ms = 0;
  worker->last_end = 0;
  json_decref (worker->ended);
  json_decref (worker->highest);
  worker->ended = json_array ();
  worker->highest = json_object ();
  worker->life++;
  worker->up = true;
  worker->listed = true;
  put_entry (worker);
}

void
w_used (int worker, int64_t *cpu, int64_t *mem)
{
  *cpu = 0;
  *mem = 0;
  for (int i = 0; i < w_run_count; i++)
    if (w_runs[i].worker == worker && w_runs[i].ended_at == 0)
      {
        *cpu += w_runs[i].cpu;
        *mem += w_runs[i].mem;
      }
}

int
w_find_run (const char *task)
{
  for (int i = w_run_count - 1; i >= 0; i--)
    if (strcmp (w_runs[i].task, task) == 0)
      return i;
  return -1;
}

int
w_count_running (const char *prefix)
{
  int count = 0;

  for (int i = 0; i < w_run_count; i++)
    count += w_runs[i].ended_at == 0
             && strncmp (w_runs[i].task, prefix, strlen (prefix)) == 0;
  return count;
}

static void
note_highest (struct w_worker *worker, const char *task, int number)
{
  json_int_t known
      = json_integer_value (json_object_get (worker->highest, task));

  if (number > known)
    json_object_set_new (worker->highest, task, json_integer (number));
}

static void
end_run (struct w_run *run, const char *how)
{
  struct w_worker *worker = &w_workers[run->worker];

  run->ended_at = w_now ();
  snprintf (run->how, sizeof run->how, "%s", how);
  note_highest (worker, run->task, run->number);
  worker->last_end++;
  json_array_append_new (worker->ended,
                         json_pack ("[Isiss]", (json_int_t)worker->last_end,
                                    run->task, run->number, how, run->saved));
  w_note ("worker %s: run %d of %s ends: %s", worker->id, run->number,
          run->task, how);
  world_changed ();
}

static void
save (struct w_run *run)
{
  snprintf (run->saved, sizeof run->saved, "%08x%08x", (unsigned)run->done_ms,
            (unsigned)run->worker * 2654435761u);
}

/* A gang works from the moment when all its members are there. */
static bool
is_gathered (struct w_run *run)
{
  int count = 0;
  size_t length = strlen (run->task);

  if (run->gang == 0 || run->gathered)
    return true;
  while (length > 0 && run->task[length - 1] != '.')
    length--;
  for (int i = 0; i < w_run_count; i++)
    count += w_runs[i].ended_at == 0 && w_runs[i].number == run->number
             && strncmp (w_runs[i].task, run->task, length) == 0
             && strcmp (w_runs[i].resumed, run->resumed) == 0;
  run->gathered = count == run->gang;
  return run->gathered;
}

static void
break_gang (const struct w_run *ended)
{
  size_t length = strlen (ended->task);

  while (length > 0 && ended->task[length - 1] != '.')
    length--;
  for (int i = 0; i < w_run_count; i++)
    if (&w_runs[i] != ended && w_runs[i].ended_at == 0
        && w_runs[i].number == ended->number && w_runs[i].gathered
        && strncmp (w_runs[i].task, ended->task, length) == 0)
      end_run (&w_runs[i], "broken");
}

static void
work (struct w_run *run, double ms)
{
  run->done_ms += ms * run->percent / 100;
  if (run->next_save_ms > 0 && run->done_ms >= run->next_save_ms)
    {
      run->next_save_ms += W_CHECKPOINT_S * 1000.0;
      save (run);
    }
}

static void
advance_run (struct w_run *run, double now, double ms)
{
  struct w_worker *worker = &w_workers[run->worker];

  if (clock_ms (worker) > worker->until_ms)
    end_run (run, "lapsed");
  else if (run->stopping && now >= run->stop_at)
    {
      save (run);
      end_run (run, "stopped");
    }
  else if (!is_gathered (run))
    {
      if (now - run->started_at > W_GANG_MS / 1000.0)
        end_run (run, "alone");
    }
  else
    {
      work (run, ms);
      if (run->work_ms > 0 && run->done_ms >= run->work_ms)
        end_run (run, "done");
    }
  if (run->ended_at != 0 && run->gathered && strcmp (run->how, "done") != 0
      && strcmp (run->how, "broken") != 0)
    break_gang (run);
}

static void
forget_lost (struct w_worker *worker, double now)
{
  if (worker->up || !worker->listed
      || now - worker->lost_at < MISSED_BEATS * W_HEARTBEAT_MS / 1000.0)
    return;
  worker->listed = false;
  world_store_put ("keyed.servers", worker->id, NULL);
  w_note ("store: the entry of worker %s is removed", worker->id);
}

static void
extend (struct w_worker *worker, const json_t *body)
{
  int64_t until = json_integer_value (json_object_get (body, "until_ms"));
  int64_t most = clock_ms (worker) + W_HOLD_MAX_MS;

  if (until > most)
    until = most;
  if (until > worker->until_ms)
    worker->until_ms = until;
}

static const char *refusal_of_start (int index, const json_t *body);
static void start_run (int worker, const json_t *body);

/* Carries out the order that got no answer, as the worker does then. */
static void
carry_out_late (double now)
{
  struct w_worker *worker;
  const char *why;

  if (late_at == 0 || now < late_at || !w_workers[late_worker].up)
    return;
  late_at = 0;
  worker = &w_workers[late_worker];
  why = json_integer_value (json_object_get (late_order, "fence"))
                < worker->fence
            ? "fence"
            : refusal_of_start (late_worker, late_order);
  w_note ("worker %s: carries out the late start: %s", worker->id,
          why != NULL ? why : "accepted");
  if (why != NULL)
    return;
  worker->fence = json_integer_value (json_object_get (late_order, "fence"));
  extend (worker, late_order);
  start_run (late_worker, late_order);
}

static void *
tick (void *arg)
{
  double last = w_now ();

  for (;;)
    {
      double now;

      w_sleep (TICK_S);
      w_lock ();
      now = w_now ();
      for (int i = 0; i < w_run_count; i++)
        if (w_runs[i].ended_at == 0)
          advance_run (&w_runs[i], now, (now - last) * 1000);
      for (int i = 0; i < w_worker_count; i++)
        forget_lost (&w_workers[i], now);
      carry_out_late (now);
      last = now;
      w_unlock ();
    }
  return NULL;
}

void
world_start_ticks (void)
{
  pthread_t thread;

  world_address (address, sizeof address, 2);
  if (pthread_create (&thread, NULL, tick, NULL) != 0)
    w_finish (W_CANNOT_RUN, "no thread");
  pthread_detach (thread);
}

static enum MHD_Result
conflict (struct w_request *request, const struct w_worker *worker,
          const char *reason)
{
  return world_respond_json (
      request, 409,
      json_pack ("{sIss}", "clock_ms", clock_ms (worker), "reason", reason));
}

static enum MHD_Result
accept_order (struct w_request *request, const struct w_worker *worker)
{
  return world_respond_json (
      request, 200, json_pack ("{sI}", "clock_ms", clock_ms (worker)));
}

/* A spec is words: "ms N" (work of a task; 0: it lasts), "cpu N", "mem N" (as
   in the job's steps, which a worker is not told otherwise), "gang N" (number
   of members), "saves 1". */
static int64_t
spec_number (const char *spec, const char *word, int64_t fallback)
{
  const char *at = strstr (spec, word);

  return at != NULL ? strtoll (at + strlen (word), NULL, 10) : fallback;
}

static struct w_run *
find_open_run (int worker, const char *task, int number)
{
  for (int i = 0; i < w_run_count; i++)
    if (w_runs[i].worker == worker && w_runs[i].ended_at == 0
        && w_runs[i].number == number && strcmp (w_runs[i].task, task) == 0)
      return &w_runs[i];
  return NULL;
}

static void
start_run (int worker, const json_t *body)
{
  const char *spec = json_string_value (json_object_get (body, "spec"));
  const char *saved
      = json_string_value (json_object_get (body, "checkpointed"));
  struct w_run *run = &w_runs[w_run_count];

  if (w_run_count == W_MAX_RUNS)
    w_finish (W_CANNOT_RUN, "too many runs");
  memset (run, 0, sizeof *run);
  snprintf (run->task, sizeof run->task, "%s",
            json_string_value (json_object_get (body, "task")));
  run->number = (int)json_integer_value (json_object_get (body, "run_id"));
  run->worker = worker;
  run->started_at = w_now ();
  run->percent = 100;
  run->work_ms = (double)spec_number (spec, "ms ", 1000);
  run->cpu = spec_number (spec, "cpu ", 0);
  run->mem = spec_number (spec, "mem ", 0);
  run->gang = (int)spec_number (spec, "gang ", 0);
  if (spec_number (spec, "saves ", 0) > 0)
    run->next_save_ms = W_CHECKPOINT_S * 1000.0;
  if (saved != NULL)
    {
      unsigned done = 0;
      char digits[9] = { 0 };

      snprintf (run->resumed, sizeof run->resumed, "%s", saved);
      snprintf (run->saved, sizeof run->saved, "%s", saved);
      memcpy (digits, run->resumed, 8);
      done = (unsigned)strtoul (digits, NULL, 16);
      run->done_ms = done;
      run->next_save_ms = done + W_CHECKPOINT_S * 1000.0;
    }
  w_run_count++;
  w_note ("worker %s: run %d of %s starts, fence %lld%s%s",
          w_workers[worker].id, run->number, run->task,
          (long long)w_workers[worker].fence, saved != NULL ? ", saved " : "",
          saved != NULL ? saved : "");
}

static bool
has_room (int worker, const char *spec)
{
  const struct w_worker *w = &w_workers[worker];
  int64_t cpu;
  int64_t mem;

  w_used (worker, &cpu, &mem);
  return cpu + spec_number (spec, "cpu ", 0) <= w->cpu
         && mem + spec_number (spec, "mem ", 0) <= w->mem;
}

/* Returns the reason for which a start is refused, or NULL. */
static const char *
refusal_of_start (int index, const json_t *body)
{
  const struct w_worker *worker = &w_workers[index];
  const char *task = json_string_value (json_object_get (body, "task"));
  const char *spec = json_string_value (json_object_get (body, "spec"));

  if (json_integer_value (json_object_get (body, "until_ms"))
      < clock_ms (worker))
    return "late";
  if (json_integer_value (json_object_get (body, "run_id"))
      <= json_integer_value (json_object_get (worker->highest, task)))
    return "old";
  return worker->guards && !has_room (index, spec) ? "room" : NULL;
}

static enum MHD_Result
handle_start (struct w_request *request, int index, const json_t *body)
{
  struct w_worker *worker = &w_workers[index];
  const char *task = json_string_value (json_object_get (body, "task"));
  int number = (int)json_integer_value (json_object_get (body, "run_id"));
  const char *why;

  if (task == NULL || number < 1
      || json_string_value (json_object_get (body, "spec")) == NULL)
    return world_respond_json (request, 400,
                               json_pack ("{ss}", "error", "fields"));
  if (find_open_run (index, task, number) != NULL)
    return accept_order (request, worker);
  why = refusal_of_start (index, body);
  if (why == NULL || strcmp (why, "late") != 0)
    extend (worker, body);
  if (why != NULL)
    {
      w_note ("worker %s: refuses run %d of %s: %s", worker->id, number, task,
              why);
      return conflict (request, worker, why);
    }
  start_run (index, body);
  return accept_order (request, worker);
}

static enum MHD_Result
handle_stop (struct w_request *request, int index, const json_t *body)
{
  struct w_worker *worker = &w_workers[index];
  const char *task = json_string_value (json_object_get (body, "task"));
  int number = (int)json_integer_value (json_object_get (body, "run_id"));
  struct w_run *run;

  if (task == NULL)
    return world_respond_json (request, 400,
                               json_pack ("{ss}", "error", "fields"));
  run = find_open_run (index, task, number);
  note_highest (worker, task, number);
  if (run != NULL && !run->stopping)
    {
      run->stopping = true;
      run->stop_at = w_now () + STOP_TIME_S;
    }
  return accept_order (request, worker);
}

static enum MHD_Result
handle_pace (struct w_request *request, int index, const json_t *body)
{
  const char *task = json_string_value (json_object_get (body, "task"));
  struct w_run *run = find_open_run (
      index, task != NULL ? task : "",
      (int)json_integer_value (json_object_get (body, "run_id")));

  if (run != NULL)
    run->percent = (int)json_integer_value (json_object_get (body, "percent"));
  return accept_order (request, &w_workers[index]);
}

static int
progress (const struct w_run *run)
{
  if (run->work_ms > 0)
    return (int)fmin (99, run->done_ms * 100 / run->work_ms);
  return run->done_ms >= START_UP_MS ? 100
                                     : (int)(run->done_ms * 100 / START_UP_MS);
}

static json_t *
lists (int index)
{
  const struct w_worker *worker = &w_workers[index];
  json_t *running = json_array ();
  json_t *ended = json_array ();

  for (int i = 0; i < w_run_count; i++)
    if (w_runs[i].worker == index && w_runs[i].ended_at == 0)
      json_array_append_new (
          running, json_pack ("[sisiI]", w_runs[i].task, w_runs[i].number,
                              w_runs[i].saved, progress (&w_runs[i]),
                              (json_int_t)w_runs[i].cpu));
  for (size_t i = 0; i < json_array_size (worker->ended) && i < MAX_LISTED;
       i++)
    json_array_append (ended, json_array_get (worker->ended, i));
  return json_pack ("{sIsIsoso}", "clock_ms", clock_ms (worker), "born",
                    worker->born_ms, "running", running, "ended", ended);
}

static void
forget_ends (struct w_worker *worker, int64_t seen)
{
  while (json_array_size (worker->ended) > 0
         && json_integer_value (
                json_array_get (json_array_get (worker->ended, 0), 0))
                <= seen)
    json_array_remove (worker->ended, 0);
}

static enum MHD_Result
handle_hold (struct w_request *request, int index, const json_t *body)
{
  struct w_worker *worker = &w_workers[index];
  uint64_t life = worker->life;
  double until
      = w_now ()
        + (double)json_integer_value (json_object_get (body, "wait_ms"))
              / 1000;

  extend (worker, body);
  forget_ends (worker,
               json_integer_value (json_object_get (body, "last_seen")));
  while (json_array_size (worker->ended) == 0 && w_now () < until && worker->up
         && worker->life == life)
    world_wait (0.01);
  if (!worker->up || worker->life != life)
    return MHD_NO;
  return world_respond_json (request, 200, lists (index));
}

static enum MHD_Result
handle_order (struct w_request *request, int index, const json_t *body)
{
  struct w_worker *worker = &w_workers[index];
  int64_t fence = json_integer_value (json_object_get (body, "fence"));

  if (fence < worker->fence)
    return conflict (request, worker, "fence");
  worker->fence = fence;
  if (strcmp (request->path, "/-/hold") == 0)
    return handle_hold (request, index, body);
  if (strcmp (request->path, "/-/run-stop") == 0)
    return handle_stop (request, index, body);
  if (strcmp (request->path, "/-/pace") == 0)
    return handle_pace (request, index, body);
  if (strcmp (request->path, "/-/run-start") != 0)
    return world_respond_json (request, 404,
                               json_pack ("{ss}", "error", "path"));
  return handle_start (request, index, body);
}

void
w_delay_next_start (void)
{
  w_lock ();
  late_wanted = true;
  w_unlock ();
}

int
w_late_worker (void)
{
  int worker;

  w_lock ();
  worker = late_worker;
  w_unlock ();
  return worker;
}

void
w_carry_out_late (double seconds)
{
  w_lock ();
  late_at = w_now () + seconds;
  w_unlock ();
}

/* Keeps the order and lets its sender wait in vain. */
static enum MHD_Result
keep_order (struct w_request *request, int index, const json_t *body)
{
  double until = w_now () + 3;

  late_wanted = false;
  late_worker = index;
  late_order = json_deep_copy (body);
  w_note ("worker %s: the start of run %d of %s gets no answer",
          w_workers[index].id,
          (int)json_integer_value (json_object_get (body, "run_id")),
          json_string_value (json_object_get (body, "task")));
  while (w_now () < until && w_workers[index].up)
    world_wait (0.1);
  return MHD_NO;
}

static enum MHD_Result
handle (struct w_request *request)
{
  int index = (int)(intptr_t)request->context;
  const struct w_worker *worker = &w_workers[index];
  const char *expected = MHD_lookup_connection_value (
      request->connection, MHD_HEADER_KIND, "Expect-Instance");
  json_t *body;
  enum MHD_Result result;

  if (!worker->up)
    return MHD_NO;
  if (expected != NULL && strcmp (expected, worker->id) != 0)
    return world_respond_json (
        request, 421, json_pack ("{sI}", "clock_ms", clock_ms (worker)));
  body = json_loadb (request->body != NULL ? request->body : "", request->size,
                     0, NULL);
  if (late_wanted && strcmp (request->path, "/-/run-start") == 0)
    result = keep_order (request, index, body);
  else
    result = handle_order (request, index, body);
  json_decref (body);
  return result;
}

static void
choose_id (struct w_worker *worker)
{
  snprintf (worker->id, sizeof worker->id, "i-%04x%02d", 0x7f3a + next_id * 7,
            next_id);
  next_id++;
}

int
w_add_worker (const char *service, const char *zone, const char *kind,
              const char *rack, int64_t cpu, int64_t mem, bool guards)
{
  struct w_worker *worker = &w_workers[w_worker_count];

  if (w_worker_count == W_MAX_WORKERS)
    w_finish (W_CANNOT_RUN, "too many workers");
  w_lock ();
  choose_id (worker);
  snprintf (worker->service, sizeof worker->service, "%s", service);
  snprintf (worker->zone, sizeof worker->zone, "%s", zone);
  snprintf (worker->kind, sizeof worker->kind, "%s", kind);
  snprintf (worker->rack, sizeof worker->rack, "%s", rack);
  worker->cpu = cpu;
  worker->mem = mem;
  worker->guards = guards;
  worker->port = world_free_port (address);
  worker->daemon = world_serve (address, worker->port, handle,
                                (void *)(intptr_t)w_worker_count);
  begin_life (worker);
  w_note ("worker %s of %s is up", worker->id, service);
  w_worker_count++;
  w_unlock ();
  return w_worker_count - 1;
}

void
w_crash_worker (int index)
{
  struct w_worker *worker = &w_workers[index];
  struct MHD_Daemon *daemon;

  w_lock ();
  w_note ("worker %s crashes", worker->id);
  worker->up = false;
  worker->lost_at = w_now ();
  for (int i = 0; i < w_run_count; i++)
    if (w_runs[i].worker == index && w_runs[i].ended_at == 0)
      {
        w_runs[i].ended_at = w_now ();
        snprintf (w_runs[i].how, sizeof w_runs[i].how, "gone");
        w_note ("worker %s: run %d of %s is gone", worker->id,
                w_runs[i].number, w_runs[i].task);
        if (w_runs[i].gathered)
          break_gang (&w_runs[i]);
      }
  daemon = worker->daemon;
  worker->daemon = NULL;
  world_changed ();
  w_unlock ();
  MHD_stop_daemon (daemon);
}

void
w_return_worker (int index, bool same_id)
{
  struct w_worker *worker = &w_workers[index];

  w_lock ();
  if (!same_id)
    {
      if (worker->listed)
        world_store_put ("keyed.servers", worker->id, NULL);
      choose_id (worker);
    }
  worker->daemon
      = world_serve (address, worker->port, handle, (void *)(intptr_t)index);
  begin_life (worker);
  w_note ("worker %s is up at the address of the crashed one", worker->id);
  w_unlock ();
}

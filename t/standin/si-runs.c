#include "t/standin/si-runs.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <utlist.h>

#include "t/standin/si-crash.h"
#include "t/standin/si-store.h"
#include "t/standin/si-twice.h"
#include "t/standin/si-unasked.h"
#include "t/standin/si-zones.h"

#define STOP_DELAY_MS 100

/* Setting bounds.hold_max_ms of the entry hosts: the longest lease. */
#define HOLD_MAX_MS 10000

/* A worker's clock may be so slow. */
#define SLOW_CLOCK_RATE 0.98

/* While a worker is down, calls to its next life are tried again so often. */
#define CARRY_INTERVAL_SEC 0.002

/* Setting bounds.warmup_excess of the entry hosts. */
#define WARMUP_EXCESS 1.5

int64_t si_start_count;
int64_t si_done_count;
int64_t si_other_id_count;
char si_violation[256];
struct task *si_tasks;

struct task *
si_find_task (const char *name)
{
  struct task *task;

  HASH_FIND_STR (si_tasks, name, task);
  if (task != NULL)
    return task;
  task = calloc (1, sizeof *task);
  snprintf (task->name, sizeof task->name, "%s", name);
  HASH_ADD_STR (si_tasks, name, task);
  return task;
}

/* Records that a run of the task NAME is gone. */
static void
note_run_gone (const char *name)
{
  struct task *task = si_find_task (name);

  if (--task->running_count == 0 && task->lasting)
    task->down_since = si_now ();
}

/* Returns the time of WORKER's clock; each second worker has a slow one. */
static int64_t
worker_clock_ms (const struct worker *worker)
{
  double rate = worker->number % 2 == 0 ? 1 : SLOW_CLOCK_RATE;

  return (int64_t)((si_now () - worker->started_at) * 1000 * rate) + 1;
}

void
si_register_worker (const struct worker *worker)
{
  char address[32];
  int64_t left_ms = si_warmup_left_ms (worker);
  json_t *entry;

  snprintf (address, sizeof address, "127.0.0.1:%d", worker->port);
  entry = json_pack ("{ss ss ss ss si s{si si si} s[s s] sI si}", "service",
                     "works", "addr", address, "zone", si_zone (worker),
                     "state", "ready", "slots", 8, "capacity", "cpu", 8000,
                     "mem_mb", 16000, "gpu", 0, "labels", "a", "r1", "born",
                     (json_int_t)worker->incarnation_ms, "seq", 1);
  if (left_ms > 0)
    json_object_set_new (entry, "warmup_left_ms", json_integer (left_ms));
  si_store_put ("keyed.servers", worker->id, entry);
}

void
si_start_incarnation (struct worker *worker)
{
  struct timespec ts;

  clock_gettime (CLOCK_REALTIME, &ts);
  worker->incarnation_ms = (int64_t)ts.tv_sec * 1000 + ts.tv_nsec / 1000000;
  worker->started_at = si_now ();
  worker->warm_at = worker->started_at + (double)worker->warmup_ms / 1000;
  worker->warmup_ms = 0;
  worker->life++;
  worker->silence = SILENCE_NONE;
  worker->unregisters_at = 0;
  worker->fence = 0;
  worker->until_ms = 0;
  worker->end_count = 0;
  si_register_worker (worker);
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
  ended->checkpoint = si_return_checkpoint (run);
  ended->ended_at = si_now ();
  ended->record = run->record;
  si_twice_end (run->record, outcome);
  DL_APPEND (worker->ended, ended);
  note_highest_run (worker, run->task, run->number);
  note_run_gone (run->task);
  si_done_count += strcmp (outcome, "done") == 0;
  DL_DELETE (worker->runs, run);
  free (run);
}

void
si_lose_runs (struct worker *worker)
{
  struct run *run;
  struct run *next_run;
  struct ended_run *ended;
  struct ended_run *next_ended;
  struct highest_run *highest_run = worker->highest_run;
  struct highest_run *next_highest_run;

  DL_FOREACH_SAFE (worker->runs, run, next_run)
  {
    note_run_gone (run->task);
    si_twice_end (run->record, "died");
    DL_DELETE (worker->runs, run);
    free (run);
  }
  DL_FOREACH_SAFE (worker->ended, ended, next_ended)
  {
    DL_DELETE (worker->ended, ended);
    json_decref (ended->checkpoint);
    free (ended);
  }
  HASH_CLEAR (hh, worker->highest_run);
  for (; highest_run != NULL; highest_run = next_highest_run)
    {
      next_highest_run = highest_run->hh.next;
      free (highest_run);
    }
}

void
si_restart_worker (struct worker *worker)
{
  si_lose_runs (worker);
  si_start_incarnation (worker);
}

void
si_advance_worker (struct worker *worker)
{
  struct run *run;
  struct run *next;
  double time = si_now ();

  if (worker_clock_ms (worker) > worker->until_ms)
    worker->lapsed_at = time;
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

/* Whether a call to WORKER, or the reply to it, is lost now. */
static bool
loses_call (const struct worker *worker)
{
  return si_now () < worker->lossy_until
         && si_draw_permille () < worker->lossy_permille;
}

/* Sends the reply, unless the worker is silent or the reply is lost. */
static void
reply (struct si_request *request, const struct worker *worker,
       unsigned status, json_t *body)
{
  if (worker->silence == SILENCE_NONE && !loses_call (worker))
    {
      si_respond_or_lose (request, status, body);
      return;
    }
  json_decref (body);
  si_suspend (request);
}

static void
respond_conflict (struct si_request *request, const struct worker *worker,
                  const char *reason)
{
  reply (request, worker, MHD_HTTP_CONFLICT,
         json_pack ("{sI ss}", "clock_ms",
                    (json_int_t)worker_clock_ms (worker), "reason", reason));
}

static void
respond_done (struct si_request *request, const struct worker *worker)
{
  reply (request, worker, MHD_HTTP_OK,
         json_pack ("{sI}", "clock_ms", (json_int_t)worker_clock_ms (worker)));
}

/* Records a violation if NAME must not start at WORKER now; keeps the first
   one.  */
static void
check_start_allowed (const struct worker *worker, const char *name)
{
  const struct task *task = si_find_task (name);

  si_check_zone_and_job (worker, name);
  if (si_violation[0] != '\0')
    return;
  if (task->running_count > 0)
    snprintf (si_violation, sizeof si_violation, "two runs of %s", name);
  else if (task->end_acked)
    snprintf (si_violation, sizeof si_violation, "start of %s after its end",
              name);
}

/* Returns the time at which a run that starts at WORKER now ends, if it is not
   stopped; that of a lasting task is infinite.  */
static double
end_of_run (const struct worker *worker, const json_t *start)
{
  const char *spec = si_string (start, "spec");
  double factor = si_warmup_left_ms (worker) > 0 ? WARMUP_EXCESS : 1;

  if (strcmp (spec, SI_LASTING_SPEC) == 0)
    return INFINITY;
  return si_now () + atof (spec) * factor / 1000;
}

/* Records that a run of the task NAME has started. */
static void
note_run (const char *name, bool lasting)
{
  struct task *task = si_find_task (name);

  task->running_count++;
  task->lasting = lasting;
  task->started_at = si_now ();
  task->down_since = 0;
}

/* Extends the lease of WORKER to UNTIL_MS, but by no more than the longest
   one. */
static void
extend_lease (struct worker *worker, int64_t until_ms)
{
  int64_t latest_ms = worker_clock_ms (worker) + HOLD_MAX_MS;

  if (until_ms > latest_ms)
    until_ms = latest_ms;
  if (until_ms > worker->until_ms)
    worker->until_ms = until_ms;
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
    {
      extend_lease (worker, until_ms);
      respond_conflict (request, worker, "old");
    }
  else
    {
      check_start_allowed (worker, task);
      si_check_asked (task, si_string (body, "checkpointed"));
      run = calloc (1, sizeof *run);
      snprintf (run->task, sizeof run->task, "%s", task);
      run->number = number;
      run->started_at = si_now ();
      run->ends_at = end_of_run (worker, body);
      run->record = si_twice_start (worker, task, number, worker->fence);
      DL_APPEND (worker->runs, run);
      note_run (task, isinf (run->ends_at));
      si_start_count++;
      extend_lease (worker, until_ms);
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
      run->ends_at = si_now () + STOP_DELAY_MS / 1000.0;
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
    double progress = isinf (run->ends_at)
                          ? 1
                          : (si_now () - run->started_at)
                                / (run->ends_at - run->started_at);

    json_array_append_new (
        rows, json_pack ("[s I o i]", run->task, (json_int_t)run->number,
                         si_return_checkpoint (run), (int)(progress * 100)));
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
    json_array_append_new (rows,
                           json_pack ("[I s I s O]", (json_int_t)ended->number,
                                      ended->task, (json_int_t)ended->run,
                                      ended->outcome, ended->checkpoint));
  }
  return rows;
}

/* Records that a host acknowledged ENDED, which was done.  Unless the worker's
   lease has lapsed since, no run may have started since either.  */
static void
acknowledge_done (const struct worker *worker, const struct ended_run *ended)
{
  struct task *task = si_find_task (ended->task);

  if (worker->lapsed_at < ended->ended_at)
    si_twice_note (ended->record);
  task->end_acked = true;
  if (task->started_at > ended->ended_at && worker->lapsed_at < ended->ended_at
      && si_violation[0] == '\0')
    snprintf (si_violation, sizeof si_violation,
              "start of %s after an end that was acknowledged later",
              ended->task);
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
      acknowledge_done (worker, ended);
    DL_DELETE (worker->ended, ended);
    json_decref (ended->checkpoint);
    free (ended);
  }
}

/* Responds once a run has ended or the wait is over; else tries again. */
static void
respond_poll (struct si_request *request, void *context)
{
  struct worker *worker = context;

  if (worker->silence != SILENCE_NONE)
    {
      si_suspend (request);
      return;
    }
  if (request->life != worker->life)
    {
      si_drop (request);
      return;
    }
  if (worker->ended == NULL && si_now () < request->deadline)
    {
      si_defer (request, SI_RETRY_INTERVAL_SEC, respond_poll, worker);
      return;
    }
  reply (request, worker, MHD_HTTP_OK,
         json_pack (
             "{sI sI so so}", "clock_ms", (json_int_t)worker_clock_ms (worker),
             "born", (json_int_t)worker->incarnation_ms, "running",
             running_to_json (worker), "ended", ended_to_json (worker)));
}

static void
handle_poll (struct si_request *request, struct worker *worker,
             const json_t *body)
{
  extend_lease (worker, si_number (body, "until_ms", 0));
  remove_acked_ends (worker, si_number (body, "last_seen", 0));
  request->life = worker->life;
  request->deadline
      = si_now () + (double)si_number (body, "wait_ms", 0) / 1000;
  respond_poll (request, worker);
}

/* Responds to an order for another worker, without a body as the platform's
   workers do.  */
static void
refuse_other_id (struct si_request *request, const struct worker *worker)
{
  si_other_id_count++;
  if (worker->silence == SILENCE_NONE && !si_loses_response ())
    si_respond (request, MHD_HTTP_MISDIRECTED_REQUEST, "", 0, NULL);
  else
    si_suspend (request);
}

void
si_on_run_request (struct si_request *request, void *context)
{
  struct worker *worker = context;
  const char *intended_id = si_header (request, "Expect-Instance");
  json_t *body;

  if (worker->crash_on_start_ms != 0 && worker->silence == SILENCE_NONE
      && si_request_matches (request, "POST", "/-/run-start"))
    si_crash (worker, worker->crash_on_start_ms, true);
  if (worker->silence == SILENCE_DOWN && worker->carries)
    {
      si_defer (request, CARRY_INTERVAL_SEC, si_on_run_request, worker);
      return;
    }
  if (worker->silence == SILENCE_LOST || worker->silence == SILENCE_DOWN
      || loses_call (worker))
    {
      si_suspend (request);
      return;
    }
  body = si_parse_body (request);
  if (body == NULL)
    return;
  if (si_now () < worker->barred_until
      && si_number (body, "fence", 0) > worker->highest_fence)
    {
      json_decref (body);
      si_suspend (request);
      return;
    }
  si_advance_worker (worker);
  if (intended_id != NULL && strcmp (intended_id, worker->id) != 0)
    refuse_other_id (request, worker);
  else if (si_number (body, "fence", 0) < worker->fence)
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

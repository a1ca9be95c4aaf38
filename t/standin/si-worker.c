#include "t/standin/si-worker.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#include "t/standin/si-facts.h"

#define SAMPLE_EVERY (250 * KQ_USEC_PER_MSEC)
#define CHECKPOINT_TIME (50 * KQ_USEC_PER_MSEC)
#define PERMILLE 1000
#define KEY_SIZE 128

struct si_worker *si_workers;

static const char *const state_names[]
    = { "running", "checkpointing", "done", "failed", "evicted" };

json_t *
si_worker_knobs (void)
{
  return json_pack (
      "{si si si si si si si si si si si si si ss}", "delay_ms", 0, "hold_ms",
      0, "freeze", 0, "refuse", 0, "lose_answer", 0, "fail_tasks", 0, "guard",
      1, "usage_lag_ms", 1000, "actual_permille", PERMILLE, "slow_permille",
      500, "rack_cpu_milli", 0, "silent", 0, "leaving", 0, "endpoint", "ok");
}

int64_t
si_worker_knob (const struct si_worker *worker, const char *name)
{
  return si_number (worker->knobs, name, 0);
}

static bool
alive (const struct si_attempt *attempt)
{
  return attempt->row.state == KQ_ATTEMPT_RUNNING
         || attempt->row.state == KQ_ATTEMPT_CHECKPOINTING;
}

/* What is declared for the live attempts. */
static struct kq_size
committed (const struct si_worker *worker)
{
  struct kq_size sum = { 0 };
  const struct si_attempt *attempt;

  DL_FOREACH (worker->attempts, attempt)
  if (alive (attempt))
    {
      sum.cpu_milli += attempt->row.size.cpu_milli;
      sum.memory_mb += attempt->row.size.memory_mb;
      sum.accelerators += attempt->row.size.accelerators;
    }
  return sum;
}

static struct kq_size
used (const struct si_worker *worker)
{
  int64_t actual = si_worker_knob (worker, "actual_permille");
  struct kq_size sum = { 0 };
  const struct si_attempt *attempt;

  DL_FOREACH (worker->attempts, attempt)
  if (alive (attempt))
    {
      sum.cpu_milli
          += (int32_t)(actual * attempt->row.size.cpu_milli
                       * attempt->row.share_milli / PERMILLE / PERMILLE);
      sum.memory_mb
          += (int32_t)(actual * attempt->row.size.memory_mb / PERMILLE);
    }
  if (worker->slots > 0)
    sum.cpu_milli += worker->busy * worker->capacity.cpu_milli / worker->slots;
  return sum;
}

double
si_worker_slow_down (const struct si_worker *worker)
{
  double batch = 0;
  double slow = (double)si_worker_knob (worker, "slow_permille") / PERMILLE;
  const struct si_attempt *attempt;

  DL_FOREACH (worker->attempts, attempt)
  if (alive (attempt) && attempt->kind == KQ_TASK_BATCH)
    batch += (double)attempt->row.size.cpu_milli * attempt->row.share_milli
             / PERMILLE;
  slow = 1 + slow * batch / (worker->capacity.cpu_milli + 1);
  return worker->throttled ? slow * 1.5 : slow;
}

/* The newest report that is old enough to be known. */
static const struct si_sample *
reported (const struct si_worker *worker)
{
  static const struct si_sample none;
  kq_usec known = kq_clock_now ()
                  - si_worker_knob (worker, "usage_lag_ms") * KQ_USEC_PER_MSEC;

  for (int64_t seq = worker->seq; seq > 0 && seq > worker->seq - SI_SAMPLES;
       seq--)
    if (worker->samples[seq % SI_SAMPLES].at <= known)
      return &worker->samples[seq % SI_SAMPLES];
  return &none;
}

static json_t *
rows_json (const struct si_worker *worker)
{
  json_t *rows = json_array ();
  const struct si_attempt *attempt;

  DL_FOREACH (worker->attempts, attempt)
  {
    const struct kq_attempt_row *row = &attempt->row;

    json_array_append_new (
        rows,
        json_pack ("{ss si sI sI sI ss si si si si}", "job",
                   row->task.job.text, "index", row->task.index, "attempt",
                   (json_int_t)row->attempt, "binding",
                   (json_int_t)row->binding, "checkpoint",
                   (json_int_t)row->checkpoint, "state",
                   state_names[row->state], "cpu_milli", row->size.cpu_milli,
                   "memory_mb", row->size.memory_mb, "accelerators",
                   row->size.accelerators, "share_milli", row->share_milli));
  }
  return rows;
}

json_t *
si_worker_table (const struct si_worker *worker)
{
  kq_usec now = kq_clock_now ();
  bool held = worker->holder[0] && worker->lease_until > now;
  const struct si_sample *sample = reported (worker);
  kq_usec lag = sample->seq ? now - sample->at : 0;

  return json_pack (
      "{ss sI sI sI s{si si si} si si si s{sI sI si si sb si} so}", "holder",
      held ? worker->holder : "", "term", (json_int_t)worker->term, "serial",
      (json_int_t)worker->serial, "left_ms",
      (json_int_t)(held ? (worker->lease_until - now) / KQ_USEC_PER_MSEC : 0),
      "capacity", "cpu_milli", worker->capacity.cpu_milli, "memory_mb",
      worker->capacity.memory_mb, "accelerators",
      worker->capacity.accelerators, "slots", worker->slots, "connections",
      worker->connections, "busy_slots", worker->busy, "usage", "seq",
      (json_int_t)sample->seq, "lag_ms", (json_int_t)(lag / KQ_USEC_PER_MSEC),
      "cpu_milli", sample->used.cpu_milli, "memory_mb", sample->used.memory_mb,
      "throttled", worker->throttled, "slow_milli", sample->slow_milli,
      "tasks", rows_json (worker));
}

/* Acquires or renews.  The end of an attempt never moves nearer; only a
   renewal moves it, so that a late request of a lapsed holder does not. */
static void
extend (struct si_worker *worker, const json_t *body, bool renews)
{
  kq_usec now = kq_clock_now ();
  kq_usec task_until
      = now + si_number (body, "task_ttl_ms", 0) * KQ_USEC_PER_MSEC;
  struct si_attempt *attempt;

  worker->lease_until = now + si_number (body, "ttl_ms", 0) * KQ_USEC_PER_MSEC;
  if (task_until > worker->task_until)
    worker->task_until = task_until;
  DL_FOREACH (worker->attempts, attempt)
  if (renews && task_until > attempt->until)
    attempt->until = task_until;
}

void
si_worker_lease (struct si_worker *worker, struct si_request *request)
{
  json_t *body = si_body (request);
  kq_usec now = kq_clock_now ();
  unsigned status = MHD_HTTP_CONFLICT;
  const char *holder;

  if (!body)
    return;
  si_workers_advance (0);
  holder = si_string (body, "holder");
  if (*holder && si_number (body, "term", -1) == worker->term
      && si_number (body, "serial", -1) == worker->serial)
    {
      bool held = worker->holder[0] && worker->lease_until > now;

      if (held && !strcmp (worker->holder, holder))
        {
          status = MHD_HTTP_OK;
          if (si_number (body, "ttl_ms", 0) == 0)
            worker->lease_until = now;
          else
            extend (worker, body, true);
        }
      else if (!held && si_number (body, "ttl_ms", 0) > 0)
        {
          status = MHD_HTTP_OK;
          snprintf (worker->holder, sizeof worker->holder, "%s", holder);
          worker->term++;
          extend (worker, body, false);
          si_fact_count ("acquires");
        }
    }
  worker->serial += status == MHD_HTTP_OK;
  json_decref (body);
  si_answer_json (request, status, si_worker_table (worker));
}

/* Records what must never happen when ATTEMPT starts on WORKER. */
static void
check_start (const struct si_worker *worker, const struct si_attempt *attempt)
{
  const struct kq_task_id *task = &attempt->row.task;
  const struct si_worker *other;
  const struct si_attempt *old;
  char key[KEY_SIZE];

  snprintf (key, sizeof key, "%s/%d/%lld", task->job.text, task->index,
            (long long)attempt->row.attempt);
  if (!si_fact_new ("starts", key))
    si_violation ("attempt started twice", "%s on %s", key, worker->name.text);
  LL_FOREACH (si_workers, other)
  DL_FOREACH (other->attempts, old)
  if (old != attempt && alive (old) && old->row.task.index == task->index
      && kq_name_eq (&old->row.task.job, &task->job))
    si_violation ("task at two places", "%s on %s and %s", key,
                  worker->name.text, other->name.text);
  snprintf (key, sizeof key, "%s/%d", task->job.text, task->index);
  if (!si_fact_new ("tasks", key))
    si_fact_count ("restarts");
}

static bool
exceeds (const struct si_worker *worker, const struct kq_size *more)
{
  struct kq_size sum = committed (worker);

  return sum.cpu_milli + more->cpu_milli > worker->capacity.cpu_milli
         || sum.memory_mb + more->memory_mb > worker->capacity.memory_mb
         || sum.accelerators + more->accelerators
                > worker->capacity.accelerators;
}

static struct si_attempt *
find (struct si_worker *worker, const json_t *body)
{
  struct si_attempt *attempt;

  DL_FOREACH (worker->attempts, attempt)
  if (attempt->row.attempt == si_number (body, "attempt", 0)
      && attempt->row.task.index == si_number (body, "index", -1)
      && !strcmp (attempt->row.task.job.text, si_string (body, "job")))
    return attempt;
  return NULL;
}

static const char *
start (struct si_worker *worker, const json_t *body)
{
  struct si_attempt *attempt = calloc (1, sizeof *attempt);
  struct kq_attempt_row *row;

  if (!attempt)
    abort ();
  row = &attempt->row;
  if (kq_name_set (&row->task.job, si_string (body, "job")) < 0)
    {
      free (attempt);
      return "invalid";
    }
  row->task.index = (int32_t)si_number (body, "index", 0);
  row->attempt = si_number (body, "attempt", 0);
  row->binding = si_number (body, "binding", 0);
  row->checkpoint = si_number (body, "checkpoint", 0);
  row->size.cpu_milli = (int32_t)si_number (body, "cpu_milli", 0);
  row->size.memory_mb = (int32_t)si_number (body, "memory_mb", 0);
  row->size.accelerators = (int32_t)si_number (body, "accelerators", 0);
  row->share_milli = (int32_t)si_number (body, "share_milli", PERMILLE);
  if (exceeds (worker, &row->size))
    {
      si_fact_count ("refused_full");
      if (si_worker_knob (worker, "guard"))
        {
          free (attempt);
          return "full";
        }
      si_violation ("over capacity", "%s on %s", row->task.job.text,
                    worker->name.text);
    }
  attempt->kind = strcmp (si_string (body, "kind"), "service")
                      ? KQ_TASK_BATCH
                      : KQ_TASK_SERVICE;
  attempt->run_ms = si_number (body, "run_ms", 0);
  attempt->progress = (double)row->checkpoint;
  attempt->until = worker->task_until;
  if (attempt->until < worker->lease_until)
    attempt->until = worker->lease_until;
  DL_APPEND (worker->attempts, attempt);
  check_start (worker, attempt);
  worker->starts++;
  worker->last_work = kq_clock_now ();
  return NULL;
}

static void
end_attempt (struct si_attempt *attempt, enum kq_attempt_state state)
{
  char key[KEY_SIZE];

  attempt->row.state = state;
  si_fact_count (state_names[state]);
  snprintf (key, sizeof key, "%s/%d", attempt->row.task.job.text,
            attempt->row.task.index);
  if (state == KQ_ATTEMPT_DONE && !si_fact_new ("tasks_done", key))
    si_violation ("task done twice", "%s", key);
}

/* Does ACTION; returns NULL or the name of the error. */
static const char *
act (struct si_worker *worker, const char *action, const json_t *body)
{
  struct si_attempt *attempt = find (worker, body);

  if (!strcmp (action, "start"))
    return attempt ? NULL : start (worker, body);
  if (!attempt)
    return "unknown";
  if (!strcmp (action, "ack"))
    {
      if (alive (attempt))
        return "exists";
      DL_DELETE (worker->attempts, attempt);
      free (attempt);
    }
  else if (!alive (attempt))
    return NULL;
  else if (!strcmp (action, "stop"))
    end_attempt (attempt, KQ_ATTEMPT_EVICTED);
  else if (!strcmp (action, "checkpoint"))
    {
      attempt->row.state = KQ_ATTEMPT_CHECKPOINTING;
      attempt->saving = kq_clock_now () + CHECKPOINT_TIME;
    }
  else if (!strcmp (action, "throttle"))
    attempt->row.share_milli
        = (int32_t)si_number (body, "share_milli", PERMILLE);
  else
    return "invalid";
  return NULL;
}

void
si_worker_task (struct si_worker *worker, struct si_request *request)
{
  json_t *body = si_body (request);
  const char *error;
  unsigned status = MHD_HTTP_CONFLICT;

  if (!body)
    return;
  si_workers_advance (0);
  if (si_number (body, "term", -1) != worker->term
      || si_number (body, "serial", -1) + 1 < worker->serial
      || strcmp (si_string (body, "holder"), worker->holder) != 0)
    error = "term";
  else if (worker->lease_until <= kq_clock_now ())
    error = "lapsed";
  else
    error = act (worker, si_string (body, "action"), body);
  json_decref (body);
  if (!error)
    {
      si_answer_json (request, MHD_HTTP_OK, json_object ());
      return;
    }
  si_fact_count (error);
  if (!strcmp (error, "unknown"))
    status = MHD_HTTP_NOT_FOUND;
  else if (!strcmp (error, "full"))
    status = MHD_HTTP_INSUFFICIENT_STORAGE;
  else if (!strcmp (error, "invalid"))
    status = MHD_HTTP_BAD_REQUEST;
  si_answer_json (request, status, json_pack ("{ss}", "error", error));
}

static void
advance_attempt (struct si_worker *worker, struct si_attempt *attempt,
                 kq_usec now, kq_usec delta)
{
  double speed = (double)attempt->row.share_milli / PERMILLE;

  if (now >= attempt->until)
    {
      si_fact_count ("lapses");
      end_attempt (attempt, KQ_ATTEMPT_EVICTED);
      return;
    }
  if (attempt->row.state == KQ_ATTEMPT_CHECKPOINTING)
    {
      if (now < attempt->saving)
        return;
      attempt->row.state = KQ_ATTEMPT_RUNNING;
      attempt->row.checkpoint = (int64_t)attempt->progress;
      si_fact_count ("checkpoints");
    }
  if (worker->throttled)
    speed /= 1.5;
  if (worker->busy > 0)
    speed /= 1 + (double)si_worker_knob (worker, "slow_permille") / PERMILLE;
  attempt->progress += speed * (double)delta / (double)KQ_USEC_PER_MSEC;
  if (si_worker_knob (worker, "fail_tasks"))
    end_attempt (attempt, KQ_ATTEMPT_FAILED);
  else if (attempt->run_ms > 0 && attempt->progress >= (double)attempt->run_ms)
    end_attempt (attempt, KQ_ATTEMPT_DONE);
}

/* The guard slows a whole rack that draws more than its feed gives. */
static void
guard_rack (struct si_worker *worker)
{
  int64_t limit = si_worker_knob (worker, "rack_cpu_milli");
  const struct si_worker *other;
  int64_t sum = 0;

  if (limit > 0)
    LL_FOREACH (si_workers, other)
  if (kq_name_eq (&other->rack, &worker->rack))
    sum += used (other).cpu_milli;
  worker->throttled = limit > 0 && sum > limit;
}

void
si_workers_advance (kq_usec delta)
{
  kq_usec now = kq_clock_now ();
  struct si_worker *worker;
  struct si_attempt *attempt;

  LL_FOREACH (si_workers, worker)
  {
    DL_FOREACH (worker->attempts, attempt)
    if (alive (attempt))
      advance_attempt (worker, attempt, now, delta);
    if (now - worker->samples[worker->seq % SI_SAMPLES].at < SAMPLE_EVERY)
      continue;
    guard_rack (worker);
    worker->seq++;
    worker->samples[worker->seq % SI_SAMPLES] = (struct si_sample){
      .seq = worker->seq,
      .at = now,
      .used = used (worker),
      .slow_milli = (int)(si_worker_slow_down (worker) * PERMILLE)
    };
  }
}

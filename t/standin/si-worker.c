#include "t/standin/si-worker.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#include "t/standin/si-facts.h"

#define SAMPLE_INTERVAL_US (250 * KQ_USEC_PER_MSEC)
#define CHECKPOINT_DURATION_US (50 * KQ_USEC_PER_MSEC)
#define PERMILLE 1000
#define KEY_SIZE 128

struct si_worker *si_workers;

static const char *const state_names[]
    = { "running", "checkpointing", "done", "failed", "evicted" };

json_t *
si_worker_default_knobs (void)
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
is_active (const struct si_attempt *attempt)
{
  return attempt->row.state == KQ_ATTEMPT_RUNNING
         || attempt->row.state == KQ_ATTEMPT_CHECKPOINTING;
}

/* Returns the sum of the declared resources of the active attempts. */
static struct kq_resources
sum_committed_resources (const struct si_worker *worker)
{
  struct kq_resources sum = { 0 };
  const struct si_attempt *attempt;

  DL_FOREACH (worker->attempts, attempt)
  if (is_active (attempt))
    {
      sum.cpu_milli += attempt->row.size.cpu_milli;
      sum.memory_mb += attempt->row.size.memory_mb;
      sum.accelerators += attempt->row.size.accelerators;
    }
  return sum;
}

static struct kq_resources
sum_used_resources (const struct si_worker *worker)
{
  int64_t actual = si_worker_knob (worker, "actual_permille");
  struct kq_resources sum = { 0 };
  const struct si_attempt *attempt;

  DL_FOREACH (worker->attempts, attempt)
  if (is_active (attempt))
    {
      sum.cpu_milli
          += (int32_t)(actual * attempt->row.size.cpu_milli
                       * attempt->row.share_milli / PERMILLE / PERMILLE);
      sum.memory_mb
          += (int32_t)(actual * attempt->row.size.memory_mb / PERMILLE);
    }
  if (worker->slots > 0)
    sum.cpu_milli
        += worker->used_slots * worker->capacity.cpu_milli / worker->slots;
  return sum;
}

double
si_worker_slowdown (const struct si_worker *worker)
{
  double batch_cpu_milli = 0;
  double slowdown
      = (double)si_worker_knob (worker, "slow_permille") / PERMILLE;
  const struct si_attempt *attempt;

  DL_FOREACH (worker->attempts, attempt)
  if (is_active (attempt) && attempt->kind == KQ_TASK_BATCH)
    batch_cpu_milli += (double)attempt->row.size.cpu_milli
                       * attempt->row.share_milli / PERMILLE;
  slowdown = 1 + slowdown * batch_cpu_milli / (worker->capacity.cpu_milli + 1);
  return worker->throttled ? slowdown * 1.5 : slowdown;
}

/* Returns the newest sample that is at least usage_lag_ms old. */
static const struct si_sample *
find_visible_sample (const struct si_worker *worker)
{
  static const struct si_sample none;
  kq_usec visible_before
      = kq_clock_now ()
        - si_worker_knob (worker, "usage_lag_ms") * KQ_USEC_PER_MSEC;

  for (int64_t seq = worker->seq; seq > 0 && seq > worker->seq - SI_SAMPLES;
       seq--)
    if (worker->samples[seq % SI_SAMPLES].at <= visible_before)
      return &worker->samples[seq % SI_SAMPLES];
  return &none;
}

static json_t *
attempts_to_json (const struct si_worker *worker)
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
  bool is_held = worker->holder[0] && worker->lease_until > now;
  const struct si_sample *sample = find_visible_sample (worker);
  kq_usec lag = sample->seq ? now - sample->at : 0;

  return json_pack (
      "{ss sI sI sI s{si si si} si si si s{sI sI si si sb si} so}", "holder",
      is_held ? worker->holder : "", "term", (json_int_t)worker->term,
      "serial", (json_int_t)worker->serial, "left_ms",
      (json_int_t)(is_held ? (worker->lease_until - now) / KQ_USEC_PER_MSEC
                           : 0),
      "capacity", "cpu_milli", worker->capacity.cpu_milli, "memory_mb",
      worker->capacity.memory_mb, "accelerators",
      worker->capacity.accelerators, "slots", worker->slots, "connections",
      worker->connections, "busy_slots", worker->used_slots, "usage", "seq",
      (json_int_t)sample->seq, "lag_ms", (json_int_t)(lag / KQ_USEC_PER_MSEC),
      "cpu_milli", sample->used.cpu_milli, "memory_mb", sample->used.memory_mb,
      "throttled", worker->throttled, "slow_milli", sample->slowdown_milli,
      "tasks", attempts_to_json (worker));
}

/* Extends the worker lease and, if RENEWS, the leases of its attempts.  The
   end of an attempt's lease is never moved to an earlier time.  Acquiring the
   worker does not extend the leases of its attempts; otherwise a late request
   of a holder whose lease has lapsed could extend them.  */
static void
extend_leases (struct si_worker *worker, const json_t *body, bool renews)
{
  kq_usec now = kq_clock_now ();
  kq_usec task_until
      = now + si_number (body, "task_ttl_ms", 0) * KQ_USEC_PER_MSEC;
  struct si_attempt *attempt;

  worker->lease_until = now + si_number (body, "ttl_ms", 0) * KQ_USEC_PER_MSEC;
  if (task_until > worker->task_until)
    worker->task_until = task_until;
  DL_FOREACH (worker->attempts, attempt)
  if (renews && task_until > attempt->expires_at)
    attempt->expires_at = task_until;
}

void
si_worker_handle_lease (struct si_worker *worker, struct si_request *request)
{
  json_t *body = si_parse_body (request);
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
      bool is_held = worker->holder[0] && worker->lease_until > now;

      if (is_held && !strcmp (worker->holder, holder))
        {
          status = MHD_HTTP_OK;
          if (si_number (body, "ttl_ms", 0) == 0)
            worker->lease_until = now;
          else
            extend_leases (worker, body, true);
        }
      else if (!is_held && si_number (body, "ttl_ms", 0) > 0)
        {
          status = MHD_HTTP_OK;
          snprintf (worker->holder, sizeof worker->holder, "%s", holder);
          worker->term++;
          extend_leases (worker, body, false);
          si_fact_count ("acquires");
        }
    }
  worker->serial += status == MHD_HTTP_OK;
  json_decref (body);
  si_respond_json (request, status, si_worker_table (worker));
}

/* Records violations when ATTEMPT starts on WORKER: it was started before, or
   its task has another active attempt.  */
static void
record_start_violations (const struct si_worker *worker,
                         const struct si_attempt *attempt)
{
  const struct kq_task_id *task = &attempt->row.task;
  const struct si_worker *other;
  const struct si_attempt *old;
  char key[KEY_SIZE];

  snprintf (key, sizeof key, "%s/%d/%lld", task->job.text, task->index,
            (long long)attempt->row.attempt);
  if (!si_fact_add ("starts", key))
    si_record_violation ("attempt started twice", "%s on %s", key,
                         worker->name.text);
  LL_FOREACH (si_workers, other)
  DL_FOREACH (other->attempts, old)
  if (old != attempt && is_active (old) && old->row.task.index == task->index
      && kq_name_eq (&old->row.task.job, &task->job))
    si_record_violation ("task at two places", "%s on %s and %s", key,
                         worker->name.text, other->name.text);
  snprintf (key, sizeof key, "%s/%d", task->job.text, task->index);
  if (!si_fact_add ("tasks", key))
    si_fact_count ("restarts");
}

static bool
exceeds_capacity (const struct si_worker *worker,
                  const struct kq_resources *more)
{
  struct kq_resources sum = sum_committed_resources (worker);

  return sum.cpu_milli + more->cpu_milli > worker->capacity.cpu_milli
         || sum.memory_mb + more->memory_mb > worker->capacity.memory_mb
         || sum.accelerators + more->accelerators
                > worker->capacity.accelerators;
}

static struct si_attempt *
find_attempt (struct si_worker *worker, const json_t *body)
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
start_attempt (struct si_worker *worker, const json_t *body)
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
  if (exceeds_capacity (worker, &row->size))
    {
      si_fact_count ("refused_full");
      if (si_worker_knob (worker, "guard"))
        {
          free (attempt);
          return "full";
        }
      si_record_violation ("over capacity", "%s on %s", row->task.job.text,
                           worker->name.text);
    }
  attempt->kind = strcmp (si_string (body, "kind"), "service")
                      ? KQ_TASK_BATCH
                      : KQ_TASK_SERVICE;
  attempt->run_ms = si_number (body, "run_ms", 0);
  attempt->progress_ms = (double)row->checkpoint;
  attempt->expires_at = worker->task_until;
  if (attempt->expires_at < worker->lease_until)
    attempt->expires_at = worker->lease_until;
  DL_APPEND (worker->attempts, attempt);
  record_start_violations (worker, attempt);
  worker->start_count++;
  worker->last_work_at = kq_clock_now ();
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
  if (state == KQ_ATTEMPT_DONE && !si_fact_add ("tasks_done", key))
    si_record_violation ("task done twice", "%s", key);
}

/* Applies ACTION of a task request; returns NULL or the error code. */
static const char *
apply_action (struct si_worker *worker, const char *action, const json_t *body)
{
  struct si_attempt *attempt = find_attempt (worker, body);

  if (!strcmp (action, "start"))
    return attempt ? NULL : start_attempt (worker, body);
  if (!attempt)
    return "unknown";
  if (!strcmp (action, "ack"))
    {
      if (is_active (attempt))
        return "exists";
      DL_DELETE (worker->attempts, attempt);
      free (attempt);
    }
  else if (!is_active (attempt))
    return NULL;
  else if (!strcmp (action, "stop"))
    end_attempt (attempt, KQ_ATTEMPT_EVICTED);
  else if (!strcmp (action, "checkpoint"))
    {
      attempt->row.state = KQ_ATTEMPT_CHECKPOINTING;
      attempt->checkpoint_done_at = kq_clock_now () + CHECKPOINT_DURATION_US;
    }
  else if (!strcmp (action, "throttle"))
    attempt->row.share_milli
        = (int32_t)si_number (body, "share_milli", PERMILLE);
  else
    return "invalid";
  return NULL;
}

void
si_worker_handle_task (struct si_worker *worker, struct si_request *request)
{
  json_t *body = si_parse_body (request);
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
    error = apply_action (worker, si_string (body, "action"), body);
  json_decref (body);
  if (!error)
    {
      si_respond_json (request, MHD_HTTP_OK, json_object ());
      return;
    }
  si_fact_count (error);
  if (!strcmp (error, "unknown"))
    status = MHD_HTTP_NOT_FOUND;
  else if (!strcmp (error, "full"))
    status = MHD_HTTP_INSUFFICIENT_STORAGE;
  else if (!strcmp (error, "invalid"))
    status = MHD_HTTP_BAD_REQUEST;
  si_respond_json (request, status, json_pack ("{ss}", "error", error));
}

static void
advance_attempt (struct si_worker *worker, struct si_attempt *attempt,
                 kq_usec now, kq_usec delta)
{
  double speed = (double)attempt->row.share_milli / PERMILLE;

  if (now >= attempt->expires_at)
    {
      si_fact_count ("lapses");
      end_attempt (attempt, KQ_ATTEMPT_EVICTED);
      return;
    }
  if (attempt->row.state == KQ_ATTEMPT_CHECKPOINTING)
    {
      if (now < attempt->checkpoint_done_at)
        return;
      attempt->row.state = KQ_ATTEMPT_RUNNING;
      attempt->row.checkpoint = (int64_t)attempt->progress_ms;
      si_fact_count ("checkpoints");
    }
  if (worker->throttled)
    speed /= 1.5;
  if (worker->used_slots > 0)
    speed /= 1 + (double)si_worker_knob (worker, "slow_permille") / PERMILLE;
  attempt->progress_ms += speed * (double)delta / (double)KQ_USEC_PER_MSEC;
  if (si_worker_knob (worker, "fail_tasks"))
    end_attempt (attempt, KQ_ATTEMPT_FAILED);
  else if (attempt->run_ms > 0
           && attempt->progress_ms >= (double)attempt->run_ms)
    end_attempt (attempt, KQ_ATTEMPT_DONE);
}

/* Throttles the workers of a rack whose processor usage exceeds the limit of
   its power feed.  */
static void
throttle_rack (struct si_worker *worker)
{
  int64_t limit = si_worker_knob (worker, "rack_cpu_milli");
  const struct si_worker *other;
  int64_t sum = 0;

  if (limit > 0)
    LL_FOREACH (si_workers, other)
  if (kq_name_eq (&other->rack, &worker->rack))
    sum += sum_used_resources (other).cpu_milli;
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
    if (is_active (attempt))
      advance_attempt (worker, attempt, now, delta);
    if (now - worker->samples[worker->seq % SI_SAMPLES].at
        < SAMPLE_INTERVAL_US)
      continue;
    throttle_rack (worker);
    worker->seq++;
    worker->samples[worker->seq % SI_SAMPLES] = (struct si_sample){
      .seq = worker->seq,
      .at = now,
      .used = sum_used_resources (worker),
      .slowdown_milli = (int)(si_worker_slowdown (worker) * PERMILLE)
    };
  }
}

#include "node/explain-json.h"

#include <inttypes.h>
#include <jansson.h>
#include <stdio.h>

#include "base/err.h"
#include "platform/submission.h"

#define MS_PER_S 1000

static const char *const held_back_names[] = {
  [KQ_SCHED_NOT_HELD_BACK] = "",
  [KQ_SCHED_HELD_NO_WORKER] = "no worker is suitable",
  [KQ_SCHED_HELD_BLOCKED] = "more urgent tasks wait for room",
  [KQ_SCHED_HELD_RESERVE] = "late, and the service is nearly full",
  [KQ_SCHED_HELD_SHORT_ROOM] = "room is kept for short tasks",
  [KQ_SCHED_HELD_GANG] = "no room for the whole gang",
  [KQ_SCHED_HELD_RACK] = "waits for room in its rack",
};

static const char *const lateness_names[]
    = { "in time", "late", "past three times its objective" };

static json_t *
candidates_json (const struct kq_sched_step_explanation *step)
{
  json_t *array = json_array ();

  for (int i = 0; i < step->candidate_count; i++)
    {
      const struct kq_sched_candidate *candidate = &step->candidates[i];

      json_array_append_new (
          array,
          json_pack ("{ss sI sb sb sI sI sI sI}", "worker", candidate->worker,
                     "score", (json_int_t)candidate->points, "near",
                     candidate->near, "cold", candidate->cold, "reply_age_ms",
                     (json_int_t)candidate->reply_age_ms, "free_cpu",
                     (json_int_t)candidate->free.cpu, "free_mem_mb",
                     (json_int_t)candidate->free.mem, "free_gpu",
                     (json_int_t)candidate->free.gpu));
    }
  return array;
}

static json_t *
step_json (const struct kq_sched_step_explanation *step)
{
  json_t *ruled_out = json_object ();

  for (int i = 0; i < KQ_SCHED_OUT_KINDS; i++)
    json_object_set_new (ruled_out,
                         kq_sched_ruled_out_name ((enum kq_sched_ruled_out)i),
                         json_integer (step->ruled_out[i]));
  return json_pack (
      "{si si si ss sb ss ss sI si so ss sI sI so}", "step", step->step,
      "occurrence", step->occurrence, "tasks", step->ready, "lateness",
      lateness_names[step->lateness], "starts",
      step->held_back == KQ_SCHED_NOT_HELD_BACK, "held_back",
      held_back_names[step->held_back], "rack", step->rack, "rack_wait_ms",
      (json_int_t)step->rack_wait_ms, "suitable", step->suitable, "ruled_out",
      ruled_out, "late_worker", step->late_worker, "late_ms",
      (json_int_t)step->late_ms, "late_longest_ms",
      (json_int_t)step->late_longest_ms, "candidates", candidates_json (step));
}

static json_t *
owner_json (const struct kq_sched_owner_state *owner,
            const struct kq_explain_source *source)
{
  json_t *missing = json_array ();

  if (owner->superseded)
    json_array_append_new (missing, json_string ("a later owner is known"));
  if (!owner->term_current)
    json_array_append_new (missing, json_string ("term confirmed"));
  if (!owner->registrations_current)
    json_array_append_new (missing, json_string ("registrations read"));
  if (!owner->evacuations_current)
    json_array_append_new (missing, json_string ("evacuations read"));
  return json_pack (
      "{ss sI sb sb so sI sI sI sb}", "host", source->host, "term",
      (json_int_t)owner->term, "may_start", json_array_size (missing) == 0,
      "store_away", source->store_away, "missing", missing, "term_age_ms",
      (json_int_t)owner->term_age_ms, "registrations_age_ms",
      (json_int_t)owner->registrations_age_ms, "evacuations_age_ms",
      (json_int_t)owner->evacuations_age_ms, "has_evacuations",
      owner->has_evacuations);
}

static json_t *
job_json (const struct kq_sched_explanation *explanation,
          const struct kq_explain_source *source)
{
  char id[24];

  if (!explanation->known)
    return json_pack ("{ss sb sI sb sI}", "queue", explanation->queue, "known",
                      0, "starts_in_ms", (json_int_t)explanation->starts_in_ms,
                      "refused", explanation->refused, "retry_after_s",
                      (json_int_t)(explanation->retry_ms / MS_PER_S));
  snprintf (id, sizeof id, "%016" PRIx64, source->job);
  return json_pack (
      "{ss sb ss ss si si si si si}", "queue", explanation->queue, "known", 1,
      "job", id, "state", kq_submission_state_name (explanation->state),
      "tasks_bound", explanation->bound, "tasks_waiting", explanation->waiting,
      "tasks_held", explanation->held, "worker_losses", explanation->losses,
      "worker_losses_set_aside", explanation->losses_set_aside);
}

static char *
dump (json_t *object)
{
  char *text = object != NULL ? json_dumps (object, JSON_COMPACT) : NULL;

  json_decref (object);
  return text;
}

char *
kq_explain_json (const struct kq_sched_explanation *explanation,
                 const struct kq_explain_source *source)
{
  json_t *steps = json_array ();

  for (int i = 0; i < explanation->step_count; i++)
    json_array_append_new (steps, step_json (&explanation->steps[i]));
  return dump (json_pack ("{so so so si}", "owner",
                          owner_json (&explanation->owner, source), "job",
                          job_json (explanation, source), "steps", steps,
                          "more_steps", explanation->more_steps));
}

char *
kq_explain_json_error (int err, const char *field, const char *why,
                       int64_t last_heard_ms)
{
  json_t *object = json_pack ("{ss ss ss}", "error", kq_err_name (err),
                              "field", field, "why", why);

  if (last_heard_ms >= 0)
    json_object_set_new (object, "owner_last_heard_ms",
                         json_integer (last_heard_ms));
  return dump (object);
}

/* Events and effects of the scheduler, and the calls of callers. */
#include "sched/sched.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/err.h"
#include "log/log.h"
#include "sched/evacuate.h"
#include "sched/internal.h"
#include "sched/late.h"
#include "sched/overdue.h"
#include "sched/queue.h"
#include "sched/tombstone.h"
#include "sched/unread.h"

/* Interval at which the interference model is stored: a new owner that had
   to learn it again would slow down serving tasks meanwhile. */
#define INTERFERENCE_INTERVAL_US (2 * KQ_USEC_PER_SEC)

#define STATUS_OK 200
#define STATUS_GONE 410
#define STATUS_TOO_MANY_REQUESTS 429
#define STATUS_UNAVAILABLE 503

struct kq_sched *
kq_sched_create (void)
{
  struct kq_sched *sched = calloc (1, sizeof *sched);

  if (sched == NULL)
    return NULL;
  sched->position = 1;
  sched->settings = KQ_SCHED_DEFAULT_SETTINGS;
  sched->spare_large_room = INT64_MAX;
  sched->interference_model = kq_interference_create ();
  sched->evidence = kq_evidence_create ();
  if (sched->interference_model == NULL || sched->evidence == NULL)
    {
      kq_interference_destroy (sched->interference_model);
      kq_evidence_destroy (sched->evidence);
      free (sched);
      return NULL;
    }
  return sched;
}

void
kq_sched_destroy (struct kq_sched *sched)
{
  struct job *job;
  struct job *next_job;
  struct worker *worker;
  struct worker *next_worker;
  struct queue_run_times *lengths;
  struct queue_run_times *next_lengths;
  struct kq_sched_effect effect;

  if (sched == NULL)
    return;
  for (job = sched->jobs; job != NULL; job = next_job)
    {
      next_job = job->hh.next;
      job_destroy (sched, job);
    }
  unread_clear (sched);
  tombstone_clear (sched);
  worker = sched->workers;
  HASH_CLEAR (hh, sched->workers);
  for (; worker != NULL; worker = next_worker)
    {
      next_worker = worker->hh.next;
      free (worker);
    }
  while (kq_sched_next_effect (sched, &effect))
    ;
  kq_interference_destroy (sched->interference_model);
  kq_evidence_destroy (sched->evidence);
  rack_destroy_all (sched);
  LL_FOREACH_SAFE (sched->lengths, lengths, next_lengths) { free (lengths); }
  kq_admit_forget_refused (&sched->refused);
  free (sched->worker_array);
  free (sched->services);
  free (sched);
}

struct kq_sched_effect *
sched_add_effect (struct kq_sched *sched, enum kq_sched_effect_kind kind,
                  uint64_t after)
{
  struct effect_node *node = calloc (1, sizeof *node);

  if (node == NULL)
    {
      kq_log (KQ_LOG_ERROR, "sched", "effect dropped", KQ_ENOMEM, NULL);
      return NULL;
    }
  node->effect.kind = kind;
  node->effect.after = after;
  DL_APPEND (sched->effects, node);
  return &node->effect;
}

bool
kq_sched_next_effect (struct kq_sched *sched, struct kq_sched_effect *effect)
{
  struct effect_node *node = sched->effects;

  if (node == NULL)
    return false;
  *effect = node->effect;
  DL_DELETE (sched->effects, node);
  free (node);
  return true;
}

static void
add_result (struct kq_sched *sched, uint64_t token, int status, int err,
            const struct job *job, uint64_t after)
{
  struct kq_sched_effect *effect
      = sched_add_effect (sched, KQ_SCHED_FX_RESULT, after);

  if (effect == NULL)
    return;
  effect->u.result.token = token;
  effect->u.result.status = status;
  effect->u.result.err = err;
  effect->u.result.has_job = job != NULL;
  effect->u.result.job = job != NULL ? job->id : 0;
  if (job != NULL)
    effect->u.result.state = job->state == KQ_SCHED_QUEUED && job->started
                                 ? KQ_SCHED_ACTIVE
                                 : job->state;
}

static void
add_refusal (struct kq_sched *sched, uint64_t token, int64_t retry_ms)
{
  struct kq_sched_effect *effect
      = sched_add_effect (sched, KQ_SCHED_FX_RESULT, 0);

  if (effect == NULL)
    return;
  effect->u.result.token = token;
  effect->u.result.status = STATUS_TOO_MANY_REQUESTS;
  effect->u.result.err = KQ_EREQ_OVERLOAD;
  effect->u.result.retry_ms = retry_ms;
}

struct job *
sched_new_job (struct kq_sched *sched, uint64_t id,
               const struct kq_sched_queue *queue, int64_t accepted_ms,
               struct kq_sched_spec *spec)
{
  const struct kq_sched_queue *known
      = kq_sched_config_queue (sched->config, queue->name);
  struct job *job = calloc (1, sizeof *job);

  if (job == NULL)
    {
      kq_sched_spec_clear (spec);
      return NULL;
    }
  job->id = id;
  job->accepted_ms = accepted_ms;
  job->spec = *spec;
  memset (spec, 0, sizeof *spec);
  snprintf (job->queue_name, sizeof job->queue_name, "%s", queue->name);
  job->queue = known != NULL ? *known : *queue;
  job->queue_changed = !queue_is_equal (&job->queue, queue);
  job->service = service_index (sched, job->queue.service);
  HASH_ADD (hh, sched->jobs, id, sizeof job->id, job);
  if (job_build (sched, job) != 0)
    {
      job_destroy (sched, job);
      return NULL;
    }
  return job;
}

static void
submit (struct kq_sched *sched, struct kq_sched_now now,
        const struct kq_sched_event *event)
{
  struct job *job = job_find (sched, event->u.call.job);
  const struct kq_sched_queue *queue
      = kq_sched_config_queue (sched->config, event->u.call.queue);
  int64_t retry_ms;

  if ((job == NULL || job->expired) && tombstone_answer (sched, now, event))
    return;
  if (job != NULL)
    {
      /* A job ID that arrives again denotes the same job. */
      kq_sched_spec_clear (event->u.call.spec);
      add_result (sched, event->u.call.token, STATUS_OK, 0, job,
                  job->accepted_position);
      return;
    }
  /* The host that passed it on has another version of the configuration. */
  if (queue == NULL)
    {
      kq_sched_spec_clear (event->u.call.spec);
      add_result (sched, event->u.call.token, STATUS_UNAVAILABLE,
                  KQ_EREQ_NO_SERVICE, NULL, 0);
      return;
    }
  job = sched_new_job (sched, event->u.call.job, queue, now.wall_ms,
                       event->u.call.spec);
  if (job != NULL && admission_refuses (sched, job, now, &retry_ms))
    {
      job_destroy (sched, job);
      add_refusal (sched, event->u.call.token, retry_ms);
      return;
    }
  if (job != NULL)
    job->body = malloc (event->u.call.body_size + 1);
  if (job == NULL || job->body == NULL)
    {
      if (job != NULL)
        job_destroy (sched, job);
      add_result (sched, event->u.call.token, STATUS_UNAVAILABLE, KQ_ENOMEM,
                  NULL, 0);
      return;
    }
  memcpy (job->body, event->u.call.body, event->u.call.body_size);
  job->body_size = event->u.call.body_size;
  job->record_due = true;
  job->accepted_position = sched->position;
  job_mark_dirty (sched, job);
  job_open_due_occurrences (sched, job, now);
  job_log (job, "job accepted", "");
  add_result (sched, event->u.call.token, STATUS_OK, 0, job,
              job->accepted_position);
}

/* Returns why a call about JOB, which may be NULL, has nothing to act on. */
static int
gone_err (const struct job *job)
{
  if (job == NULL)
    return KQ_EJOB_UNKNOWN;
  return job->expired ? KQ_EJOB_EXPIRED : KQ_EJOB_ENDED;
}

static void
query (struct kq_sched *sched, const struct kq_sched_event *event)
{
  struct job *job = job_find (sched, event->u.call.job);

  if (job == NULL || job->expired)
    {
      add_result (sched, event->u.call.token, STATUS_GONE, gone_err (job),
                  NULL, 0);
      return;
    }
  add_result (sched, event->u.call.token, STATUS_OK, 0, job,
              job_has_ended (job) ? job->changed_position
                                  : job->accepted_position);
}

/* The job may be submitted by a request that is under way. */
static void
cancel_unknown (struct kq_sched *sched, struct kq_sched_now now,
                const struct kq_sched_event *event, int why)
{
  uint64_t position;
  int err = tombstone_add (sched, now, event->u.call.job, &position);
  char id[24];

  snprintf (id, sizeof id, "%016" PRIx64, event->u.call.job);
  kq_log (KQ_LOG_INFO, "sched", "unknown job cancelled", err, "job", id, "why",
          kq_err_name (why), NULL);
  if (err != 0)
    add_result (sched, event->u.call.token, STATUS_UNAVAILABLE, err, NULL, 0);
  else
    add_result (sched, event->u.call.token, STATUS_GONE, why, NULL, position);
}

static void
cancel (struct kq_sched *sched, struct kq_sched_now now,
        const struct kq_sched_event *event)
{
  struct job *job = job_find (sched, event->u.call.job);

  if (job == NULL || job->expired)
    {
      cancel_unknown (sched, now, event, gone_err (job));
      return;
    }
  if (job_has_ended (job) && job->state != KQ_SCHED_CANCELLED)
    {
      add_result (sched, event->u.call.token, STATUS_GONE, gone_err (job),
                  NULL, job->changed_position);
      return;
    }
  if (!job_has_ended (job))
    {
      job_log (job, "job cancelled", "caller");
      job_end (sched, job, KQ_SCHED_CANCELLED, now);
    }
  add_result (sched, event->u.call.token, STATUS_OK, 0, job,
              job->changed_position);
}

static void
query_pending (struct kq_sched *sched, const struct kq_sched_event *event)
{
  struct kq_sched_effect *effect
      = sched_add_effect (sched, KQ_SCHED_FX_RESULT, 0);

  if (effect == NULL)
    return;
  effect->u.result.token = event->u.call.token;
  effect->u.result.status = STATUS_OK;
  effect->u.result.pending = job_count_pending (sched, event->u.call.queue);
}

static void
configure (struct kq_sched *sched, const struct kq_sched_config *config,
           struct kq_sched_now now)
{
  struct job *job;
  struct job *next;

  sched->config = config;
  for (int i = 0; i < sched->service_count; i++)
    preempt_configure (sched, &sched->services[i]);
  HASH_ITER (hh, sched->jobs, job, next)
  {
    const struct kq_sched_queue *queue
        = kq_sched_config_queue (config, job->queue_name);
    bool fewer_attempts;

    if (queue == NULL)
      continue;
    fewer_attempts = queue->attempts < job->queue.attempts;
    if (!job_has_ended (job) && !queue_is_equal (queue, &job->queue))
      {
        job->queue_changed = true;
        job_mark_dirty (sched, job);
      }
    job->queue = *queue;
    job->service = service_index (sched, queue->service);
    if (fewer_attempts)
      job_end_if_failed (sched, job, now);
  }
}

static void
apply_stored (struct kq_sched *sched, uint64_t position,
              struct kq_sched_now now)
{
  uint64_t stored_before = sched->stored;
  struct worker *worker;

  sched->stored = position;
  DL_FOREACH (sched->worker_list, worker)
  {
    /* The leases that an earlier owner renewed may be about to lapse. */
    if (worker->has_restored_tasks && worker->grant_position > stored_before
        && grant_is_stored (sched, worker))
      worker_poll_at_once (sched, worker);
    if (worker->acked_end < worker->last_end
        && worker->last_end_position <= position)
      {
        worker->acked_end = late_last_free_end (worker, now);
        if (worker->late_hold_count == 0)
          worker->next_poll_at = 0;
      }
  }
}

void
kq_sched_event (struct kq_sched *sched, struct kq_sched_now now,
                const struct kq_sched_event *event)
{
  switch (event->kind)
    {
    case KQ_SCHED_EV_SUBMIT:
      if (!unread_answer (sched, event))
        submit (sched, now, event);
      break;
    case KQ_SCHED_EV_QUERY:
      if (!unread_answer (sched, event))
        query (sched, event);
      break;
    case KQ_SCHED_EV_CANCEL:
      if (!unread_answer (sched, event))
        cancel (sched, now, event);
      break;
    case KQ_SCHED_EV_PENDING:
      query_pending (sched, event);
      break;
    case KQ_SCHED_EV_CONFIG:
      configure (sched, event->u.config, now);
      break;
    case KQ_SCHED_EV_WORKER:
      worker_register (sched, now, event->u.report);
      break;
    case KQ_SCHED_EV_WORKER_GONE:
      worker_deregister (sched, now, event->u.worker);
      break;
    case KQ_SCHED_EV_POLLED:
      reply_apply_poll (sched, now, event);
      break;
    case KQ_SCHED_EV_STARTED:
      reply_apply_start (sched, now, event);
      break;
    case KQ_SCHED_EV_STOPPED:
      reply_apply_stop (sched, now, event);
      break;
    case KQ_SCHED_EV_PACED:
      reply_apply_pace (sched, now, event);
      break;
    case KQ_SCHED_EV_ADVISED:
      advice_apply (sched, now, event->u.advice);
      break;
    case KQ_SCHED_EV_EVACUATE:
      evacuate_apply (sched, event->u.zones);
      break;
    case KQ_SCHED_EV_STORED:
      apply_stored (sched, event->u.stored, now);
      break;
    }
}

void
kq_sched_set_settings (struct kq_sched *sched,
                       const struct kq_sched_settings *settings)
{
  sched->settings = *settings;
}

void
kq_sched_confirm_term (struct kq_sched *sched, kq_usec mono)
{
  if (mono > sched->confirmed_at)
    sched->confirmed_at = mono;
}

void
kq_sched_note_registrations (struct kq_sched *sched, kq_usec mono)
{
  if (mono > sched->registrations_at)
    sched->registrations_at = mono;
}

void
kq_sched_set_poll_interval (struct kq_sched *sched, kq_usec interval)
{
  sched->poll_interval = interval;
}

void
kq_sched_tick (struct kq_sched *sched, struct kq_sched_now now)
{
  struct worker *worker;

  sched->placement_due = true;
  sched->reserve_due = true;
  if (now.mono - sched->interference_stored_at > INTERFERENCE_INTERVAL_US)
    {
      sched->interference_stored_at = now.mono;
      sched->interference_due = true;
    }
  rack_tick (sched, now);
  job_tick_all (sched, now);
  service_track_demand (sched);
  DL_FOREACH (sched->worker_list, worker) { worker_tick (sched, worker, now); }
  crash_tick (sched, now);
  evacuate_tick (sched, now);
  overdue_tick (sched, now);
}

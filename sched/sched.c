#include "sched/sched.h"

#include <inttypes.h>
#include <limits.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/err.h"
#include "log/log.h"
#include "sched/internal.h"

/* A worker that says it has no room, or that it is sick, is left alone for
   this long. */
#define FULL_TIME (200 * KQ_USEC_PER_MSEC)
#define SICK_TIME (1000 * KQ_USEC_PER_MSEC)

/* A look that failed is repeated after this. */
#define LOOK_RETRY (100 * KQ_USEC_PER_MSEC)

/* What was learned is stored this often: a new owner then does not learn it
   at the cost of serving tasks. */
#define PRESSURE_INTERVAL (2 * KQ_USEC_PER_SEC)

#define STATUS_OK 200
#define STATUS_GONE 410

struct kq_sched *
kq_sched_create (void)
{
  struct kq_sched *sched = calloc (1, sizeof *sched);

  if (sched == NULL)
    return NULL;
  sched->position = 1;
  sched->pressure = kq_pressure_create ();
  if (sched->pressure == NULL)
    {
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
  struct queue_lengths *lengths;
  struct queue_lengths *next_lengths;
  struct kq_sched_effect effect;

  if (sched == NULL)
    return;
  for (job = sched->jobs; job != NULL; job = next_job)
    {
      next_job = job->hh.next;
      job_destroy (sched, job);
    }
  worker = sched->workers;
  HASH_CLEAR (hh, sched->workers);
  for (; worker != NULL; worker = next_worker)
    {
      next_worker = worker->hh.next;
      free (worker);
    }
  while (kq_sched_next_effect (sched, &effect))
    ;
  kq_pressure_destroy (sched->pressure);
  LL_FOREACH_SAFE (sched->lengths, lengths, next_lengths) { free (lengths); }
  free (sched);
}

struct kq_sched_effect *
sched_add_effect (struct kq_sched *sched, enum kq_sched_effect_kind kind,
                  uint64_t after)
{
  struct effect_node *node = calloc (1, sizeof *node);

  if (node == NULL)
    {
      kq_log (KQ_LOG_ERROR, "sched", "effect lost", KQ_ENOMEM, NULL);
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
answer (struct kq_sched *sched, uint64_t token, int status, int err,
        const struct job *job, uint64_t after)
{
  struct kq_sched_effect *effect
      = sched_add_effect (sched, KQ_SCHED_FX_ANSWER, after);

  if (effect == NULL)
    return;
  effect->u.answer.token = token;
  effect->u.answer.status = status;
  effect->u.answer.err = err;
  if (job != NULL)
    effect->u.answer.state = job->state == KQ_SCHED_QUEUED && job->started
                                 ? KQ_SCHED_ACTIVE
                                 : job->state;
}

struct job *
sched_new_job (struct kq_sched *sched, uint64_t id, const char *queue,
               int64_t accepted_ms, struct kq_sched_spec *spec)
{
  const struct kq_sched_queue *known
      = kq_sched_config_queue (sched->config, queue);
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
  snprintf (job->queue_name, sizeof job->queue_name, "%s", queue);
  /* A queue that is no longer configured has no worker to start on. */
  job->queue.attempts = INT_MAX;
  if (known != NULL)
    job->queue = *known;
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

  if (job != NULL)
    {
      /* The same ID is the same job, however often it arrives. */
      kq_sched_spec_clear (event->u.call.spec);
      answer (sched, event->u.call.token, STATUS_OK, 0, job, job->stored_from);
      return;
    }
  job = sched_new_job (sched, event->u.call.job, event->u.call.queue,
                       now.wall_ms, event->u.call.spec);
  if (job != NULL)
    job->body = malloc (event->u.call.body_size + 1);
  if (job == NULL || job->body == NULL)
    {
      if (job != NULL)
        job_destroy (sched, job);
      answer (sched, event->u.call.token, 503, KQ_ENOMEM, NULL, 0);
      return;
    }
  memcpy (job->body, event->u.call.body, event->u.call.body_size);
  job->body_size = event->u.call.body_size;
  job->body_due = true;
  job->stored_from = sched->position;
  job_mark_dirty (sched, job);
  job_open_due (sched, job, now);
  job_log (job, "job accepted", "");
  answer (sched, event->u.call.token, STATUS_OK, 0, job, job->stored_from);
}

static void
query (struct kq_sched *sched, const struct kq_sched_event *event)
{
  struct job *job = job_find (sched, event->u.call.job);

  if (job == NULL || job->drop)
    {
      answer (sched, event->u.call.token, STATUS_GONE, KQ_EJOB_UNKNOWN, NULL,
              0);
      return;
    }
  answer (sched, event->u.call.token, STATUS_OK, 0, job,
          job_is_over (job) ? job->changed : job->stored_from);
}

static void
cancel (struct kq_sched *sched, struct kq_sched_now now,
        const struct kq_sched_event *event)
{
  struct job *job = job_find (sched, event->u.call.job);

  if (job == NULL || job->drop
      || (job_is_over (job) && job->state != KQ_SCHED_CANCELLED))
    {
      answer (sched, event->u.call.token, STATUS_GONE, KQ_EJOB_UNKNOWN, NULL,
              job == NULL ? 0 : job->changed);
      return;
    }
  if (!job_is_over (job))
    {
      job_log (job, "job cancelled", "caller");
      job_end (sched, job, KQ_SCHED_CANCELLED, now);
    }
  answer (sched, event->u.call.token, STATUS_OK, 0, job, job->changed);
}

static void
pending (struct kq_sched *sched, const struct kq_sched_event *event)
{
  struct kq_sched_effect *effect
      = sched_add_effect (sched, KQ_SCHED_FX_ANSWER, 0);

  if (effect == NULL)
    return;
  effect->u.answer.token = event->u.call.token;
  effect->u.answer.status = STATUS_OK;
  effect->u.answer.pending = job_pending (sched, event->u.call.queue);
}

static void
configure (struct kq_sched *sched, const struct kq_sched_config *config)
{
  struct job *job;
  struct job *next;

  sched->config = config;
  HASH_ITER (hh, sched->jobs, job, next)
  {
    const struct kq_sched_queue *queue
        = kq_sched_config_queue (config, job->queue_name);

    if (queue != NULL)
      job->queue = *queue;
  }
}

static void
deposed (struct kq_sched *sched, const char *worker)
{
  if (sched->deposed)
    return;
  sched->deposed = true;
  kq_log (KQ_LOG_WARN, "sched", "deposed", 0, "worker", worker, "why",
          "it has seen a later fence", NULL);
  sched_add_effect (sched, KQ_SCHED_FX_DEPOSED, 0);
}

static void
listed (struct kq_sched *sched, struct kq_sched_now now,
        const struct kq_sched_event *event)
{
  struct worker *worker = worker_find (sched, event->u.listed.worker);
  const struct kq_sched_listing *listing = event->u.listed.listing;

  if (worker == NULL)
    return;
  if (worker->looks > 0)
    worker->looks--;
  worker->next_look_at = now.mono + LOOK_RETRY;
  if (event->u.listed.answer == KQ_SCHED_FENCED)
    deposed (sched, worker->report.id);
  if (event->u.listed.answer != KQ_SCHED_OK)
    {
      worker->resting = false;
      return;
    }
  /* What an earlier life had to say is overtaken. */
  if (listing->born_ms < worker->report.born_ms)
    return;
  worker_heard (worker, event->u.listed.sent_at, now.mono, listing->local_ms);
  if (listing->born_ms > worker->report.born_ms)
    worker_start_life (worker, listing->born_ms, now);
  listing_take (sched, worker, now, event->u.listed.sent_at, listing);
  worker_plan_look (sched, worker, now);
}

static struct task *
ordered_task (struct kq_sched *sched, const struct kq_sched_event *event)
{
  struct job *job = job_find (sched, event->u.order.run.job);
  struct task *task = job == NULL ? NULL : job_task (job, &event->u.order.run);

  if (task == NULL || task->state != TASK_BOUND
      || task->run != event->u.order.run.run
      || strcmp (task->worker->report.id, event->u.order.worker) != 0)
    return NULL;
  return task;
}

static void
refused (struct kq_sched *sched, struct kq_sched_now now, struct task *task,
         enum kq_sched_answer answer)
{
  struct worker *worker = task->worker;

  switch (answer)
    {
    case KQ_SCHED_NO_ROOM:
      worker->full_until = now.mono + FULL_TIME;
      task_settle (sched, task, now, "no room");
      break;
    case KQ_SCHED_OLD_RUN:
      task_settle (sched, task, now, "old run");
      break;
    case KQ_SCHED_LATE:
      task_settle (sched, task, now, "late");
      break;
    case KQ_SCHED_OTHER_LIFE:
      worker->full_until = now.mono + SICK_TIME;
      task_settle (sched, task, now, "other life");
      break;
    case KQ_SCHED_SICK:
      worker->full_until = now.mono + SICK_TIME;
      task_settle (sched, task, now, "sick");
      break;
    case KQ_SCHED_NO_TICKET:
      advice_drop (task->stage, worker);
      task_settle (sched, task, now, "no ticket");
      break;
    case KQ_SCHED_BAD_ORDER:
      task->shunned = worker;
      worker->full_until = now.mono + SICK_TIME;
      task_settle (sched, task, now, "order not understood");
      break;
    default:
      break;
    }
}

static void
started (struct kq_sched *sched, struct kq_sched_now now,
         const struct kq_sched_event *event)
{
  struct worker *worker = worker_find (sched, event->u.order.worker);
  struct task *task = ordered_task (sched, event);

  if (event->u.order.answer == KQ_SCHED_FENCED)
    {
      deposed (sched, event->u.order.worker);
      return;
    }
  if (worker != NULL && event->u.order.answer != KQ_SCHED_SILENT)
    worker_heard (worker, event->u.order.sent_at, now.mono,
                  event->u.order.local_ms);
  if (task == NULL || task->phase == PHASE_STOPPING
      || task->phase == PHASE_WRITTEN)
    return;
  switch (event->u.order.answer)
    {
    case KQ_SCHED_OK:
      if (task->phase != PHASE_ORDERED)
        return;
      task->phase = PHASE_AT_WORK;
      task->phase_at = now.mono;
      task->percent_at = now.mono;
      task->stage->job->started = true;
      worker_look_soon (task->worker, now);
      break;
    case KQ_SCHED_SILENT:
      task->phase = PHASE_DOUBTFUL;
      task->worker->resting = false;
      task_log (task, "start unanswered", "");
      task->worker->full_until = now.mono + FULL_TIME;
      task_stop (sched, task, now);
      break;
    default:
      refused (sched, now, task, event->u.order.answer);
      break;
    }
}

static void
stopped (struct kq_sched *sched, struct kq_sched_now now,
         const struct kq_sched_event *event)
{
  struct worker *worker = worker_find (sched, event->u.order.worker);
  struct task *task = ordered_task (sched, event);

  if (event->u.order.answer == KQ_SCHED_FENCED)
    {
      deposed (sched, event->u.order.worker);
      return;
    }
  if (worker != NULL && event->u.order.answer != KQ_SCHED_SILENT)
    worker_heard (worker, event->u.order.sent_at, now.mono,
                  event->u.order.local_ms);
  if (task == NULL)
    return;
  if (event->u.order.answer == KQ_SCHED_OK
      || event->u.order.answer == KQ_SCHED_OLD_RUN)
    {
      /* A look that waits for an end sees none if the run never came. */
      if (task->phase == PHASE_DOUBTFUL)
        worker_look_now (sched, task->worker);
      task->phase = PHASE_STOPPING;
      task->phase_at = now.mono;
      worker_look_soon (task->worker, now);
    }
  else if (event->u.order.answer == KQ_SCHED_OTHER_LIFE)
    task_settle (sched, task, now, "other life");
}

static void
take_stored (struct kq_sched *sched, uint64_t position)
{
  struct worker *worker;

  sched->stored = position;
  DL_FOREACH (sched->worker_list, worker)
  {
    if (worker->seen_stored < worker->seen
        && worker->seen_position <= position)
      {
        worker->seen_stored = worker->seen;
        worker->next_look_at = 0;
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
      submit (sched, now, event);
      break;
    case KQ_SCHED_EV_QUERY:
      query (sched, event);
      break;
    case KQ_SCHED_EV_CANCEL:
      cancel (sched, now, event);
      break;
    case KQ_SCHED_EV_PENDING:
      pending (sched, event);
      break;
    case KQ_SCHED_EV_CONFIG:
      configure (sched, event->u.config);
      break;
    case KQ_SCHED_EV_WORKER:
      worker_report (sched, now, event->u.report);
      break;
    case KQ_SCHED_EV_WORKER_GONE:
      worker_gone (sched, now, event->u.worker);
      break;
    case KQ_SCHED_EV_LISTED:
      listed (sched, now, event);
      break;
    case KQ_SCHED_EV_STARTED:
      started (sched, now, event);
      break;
    case KQ_SCHED_EV_STOPPED:
      stopped (sched, now, event);
      break;
    case KQ_SCHED_EV_PACED:
      if (event->u.order.answer == KQ_SCHED_FENCED)
        deposed (sched, event->u.order.worker);
      break;
    case KQ_SCHED_EV_ADVISED:
      advice_take (sched, now, event->u.advice);
      break;
    case KQ_SCHED_EV_STORED:
      take_stored (sched, event->u.stored);
      break;
    }
}

void
kq_sched_confirm (struct kq_sched *sched, kq_usec mono)
{
  if (mono > sched->confirmed_at)
    sched->confirmed_at = mono;
}

void
kq_sched_set_look_gap (struct kq_sched *sched, kq_usec gap)
{
  sched->look_gap = gap;
}

void
kq_sched_tick (struct kq_sched *sched, struct kq_sched_now now)
{
  struct worker *worker;

  sched->room_changed = true;
  if (now.mono - sched->pressure_at > PRESSURE_INTERVAL)
    {
      sched->pressure_at = now.mono;
      sched->pressure_due = true;
    }
  job_tick_all (sched, now);
  DL_FOREACH (sched->worker_list, worker) { worker_tick (sched, worker, now); }
}

int
kq_sched_start_order (struct kq_sched *sched, struct kq_sched_now now,
                      const struct kq_sched_effect *effect,
                      struct kq_sched_start *start)
{
  struct kq_sched_event probe = { .kind = KQ_SCHED_EV_STARTED };
  struct task *task;
  struct worker *worker;

  probe.u.order.run = effect->u.order.run;
  probe.u.order.worker = effect->u.order.worker;
  task = ordered_task (sched, &probe);
  if (task == NULL || task->phase != PHASE_WRITTEN || sched->deposed)
    return KQ_ENOENT;
  worker = task->worker;
  if (!worker_usable (worker, now)
      || (task->stage->job->queue.advised
          && advice_ticket (task->stage, worker, now) == NULL))
    {
      task_settle (sched, task, now, "worker no longer usable");
      return KQ_ENOENT;
    }
  task->phase = PHASE_ORDERED;
  task->phase_at = now.mono;
  task->percent_at = now.mono;
  snprintf (start->address, sizeof start->address, "%s",
            worker->report.address);
  start->lease_end_ms
      = worker_clock (worker, now.mono) + KQ_SCHED_START_LEASE_MS;
  worker_granted (worker, start->lease_end_ms);
  start->text = task->stage->job->spec.text;
  start->checkpoint = task->checkpoint;
  start->ticket = "";
  if (task->stage->job->queue.advised)
    start->ticket = advice_ticket (task->stage, worker, now);
  return 0;
}

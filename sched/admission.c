/* Admission of submitted jobs (admission_*): collects the room and the backlog
 * of each service at each tick, and asks sched/admit.h about new jobs. A job
 * that is refused was never stored.
 */
#include <stdio.h>
#include <string.h>

#include "log/log.h"
#include "sched/internal.h"
#include "sched/unread.h"

/* A new owner refuses nothing for this long: it has just begun to learn the
   backlog and which workers reply. */
#define NEW_OWNER_US (2 * KQ_USEC_PER_SEC)

/* Minimum time between two log lines on the refusals of a queue. */
#define LOG_INTERVAL_US KQ_USEC_PER_SEC

#define MS_PER_S 1000

/* Number of tasks over which the time from placement to start is averaged, and
   the longest such time that counts: a longer one has another cause. */
#define START_MEMORY 64
#define MAX_START_MS 500

void
admission_begin_tick (struct kq_sched *sched, struct kq_sched_now now)
{
  int64_t elapsed_ms
      = (now.mono - sched->admission_updated_at) / KQ_USEC_PER_MSEC;

  if (sched->admission_began_at == 0)
    sched->admission_began_at = now.mono;
  for (int i = 0; i < sched->service_count; i++)
    kq_admit_begin_update (&sched->services[i].admit, elapsed_ms);
  sched->admission_updated_at = now.mono;
  sched->admission_elapsed_ms = elapsed_ms;
}

/* A task of JOB holds its room from placement, so longer than it runs. */
static int64_t
held_ms (const struct kq_sched *sched, const struct job *job,
         int64_t length_ms)
{
  return length_ms + (int64_t)sched->services[job->service].start_ms;
}

void
admission_count_job (struct kq_sched *sched, const struct job *job,
                     struct kq_sched_now now)
{
  /* Only what has fallen due of a timed job could be ahead of others: leaving
     it out keeps the estimates lower bounds. */
  if (job_has_ended (job) || job->spec.times > 0 || job->service < 0)
    return;
  for (int i = 0; i < job->stage_count; i++)
    {
      const struct stage *stage = &job->stages[i];
      int count = stage->open ? stage->ready_count : stage->step->count;
      double work = kq_admit_step_work (
          stage->step, count, held_ms (sched, job, stage->length_ms));
      bool late = stage->open
                      ? stage->lateness > 0
                      : now.wall_ms + stage->critical_path_ms > stage->due_ms;

      if (work > 0)
        kq_admit_add_work (&sched->services[job->service].admit,
                           job->queue.priority, stage->due_ms - now.wall_ms,
                           late, stage->step->demand.cpu, work);
    }
}

/* Adds the CPU of WORKER for short tasks to ROOM: what long-running ones
   leave, in whole tasks of each size, but of the mean size at most. Rests that
   suit none do not speed up the backlog. */
static void
add_room (const struct kq_sched *sched, const struct worker *worker,
          double room[KQ_ADMIT_SIZE_CLASSES])
{
  int64_t left = worker->report.capacity.cpu - worker->long_running_cpu;
  int64_t mean = (int64_t)sched->services[worker->service].mean_cpu;

  if (left <= 0)
    return;
  for (int i = 0; i < KQ_ADMIT_SIZE_CLASSES; i++)
    {
      int64_t size = kq_admit_smallest_size (i);

      if (size > mean)
        size = mean;
      room[i] += (double)(size > 0 ? left / size * size : left);
    }
}

static bool
is_measured (const struct kq_sched *sched, const struct queue_run_times *known,
             struct kq_sched_now now)
{
  return known != NULL && kq_length_is_learned (&known->length)
         && sched->admission_began_at != 0
         && now.mono - sched->admission_began_at >= NEW_OWNER_US
         && grant_is_current (sched, now)
         && worker_reports_are_current (sched, now);
}

static void
close_queues (struct kq_sched *sched, int64_t elapsed_ms,
              struct kq_sched_now now)
{
  struct queue_run_times *known;

  LL_FOREACH (sched->lengths, known)
  {
    const struct kq_sched_queue *queue
        = kq_sched_config_queue (sched->config, known->queue);
    int service = queue != NULL ? service_index (sched, queue->service) : -1;

    if (service < 0 || queue->advised || !is_measured (sched, known, now)
        || !kq_close_update (&known->close, &known->admit,
                             &sched->services[service].admit, queue->priority,
                             now.mono / KQ_USEC_PER_MSEC, elapsed_ms))
      continue;
    sched->counts.closures++;
    kq_log (KQ_LOG_INFO, "sched", "queue closed", 0, "queue", known->queue,
            "why", "a job of any size would be too late", NULL);
  }
}

void
admission_end_tick (struct kq_sched *sched, struct kq_sched_now now)
{
  for (int i = 0; i < sched->service_count; i++)
    memset (sched->services[i].admission_room, 0,
            sizeof sched->services[i].admission_room);
  for (size_t i = 0; i < sched->worker_count; i++)
    {
      const struct worker *worker = sched->worker_array[i];

      if (worker->service >= 0 && worker_usable (worker, now))
        add_room (sched, worker,
                  sched->services[worker->service].admission_room);
    }
  for (int i = 0; i < sched->service_count; i++)
    kq_admit_end_update (&sched->services[i].admit,
                         sched->services[i].admission_room);
  close_queues (sched, sched->admission_elapsed_ms, now);
}

int
kq_sched_closures (const struct kq_sched *sched, struct kq_sched_now now,
                   struct kq_sched_closure *closures, int max)
{
  const struct queue_run_times *known;
  int64_t now_ms = now.mono / KQ_USEC_PER_MSEC;
  int count = 0;

  LL_FOREACH (sched->lengths, known)
  {
    if (known->close.until_ms <= now_ms || count == max)
      continue;
    snprintf (closures[count].queue, sizeof closures[count].queue, "%s",
              known->queue);
    closures[count].until_ms = known->close.until_ms - now_ms;
    closures[count].retry_ms = known->close.retry_s * MS_PER_S;
    count++;
  }
  return count;
}

int64_t
kq_sched_closure_number (const struct kq_sched *sched)
{
  return sched->counts.closures;
}

void
kq_sched_known_ids (const struct kq_sched *sched, struct kq_idset *ids)
{
  for (const struct job *job = sched->jobs; job != NULL; job = job->hh.next)
    kq_idset_add (ids, job->id);
  unread_add_ids (sched, ids);
}

void
admission_note_done (struct kq_sched *sched, const struct task *task,
                     struct kq_sched_now now)
{
  int64_t start_ms = (task->phase_since - task->placed_at) / KQ_USEC_PER_MSEC;
  struct service *service;

  if (task->stage->job->service < 0 || start_ms < 0 || start_ms > MAX_START_MS)
    return;
  service = &sched->services[task->stage->job->service];
  service->start_ms += ((double)start_ms - service->start_ms) / START_MEMORY;
}

static bool
may_refuse (const struct kq_sched *sched, const struct job *job,
            const struct queue_run_times *known, struct kq_sched_now now)
{
  if (!is_measured (sched, known, now) || job->service < 0
      || job->queue.advised || job->spec.times > 0)
    return false;
  for (int i = 0; i < job->spec.step_count; i++)
    if (job->spec.steps[i].long_running)
      return false;
  return true;
}

static void
log_refusals (struct queue_run_times *known, int64_t retry_s,
              struct kq_sched_now now)
{
  char count[16];
  char retry[16];

  known->refused_unlogged++;
  if (now.mono - known->refusals_logged_at < LOG_INTERVAL_US)
    return;
  snprintf (count, sizeof count, "%d", known->refused_unlogged);
  snprintf (retry, sizeof retry, "%d", (int)retry_s);
  kq_log (KQ_LOG_INFO, "sched", "jobs refused", 0, "queue", known->queue,
          "count", count, "retry_s", retry, "why", "too late to be of use",
          NULL);
  known->refused_unlogged = 0;
  known->refusals_logged_at = now.mono;
}

static void
note_refusal (struct kq_sched *sched, struct queue_run_times *known,
              int retry_s, int64_t *retry_ms, struct kq_sched_now now)
{
  *retry_ms = (int64_t)retry_s * MS_PER_S;
  sched->counts.refused++;
  log_refusals (known, retry_s, now);
}

static int64_t
largest_cpu (const struct kq_sched_spec *spec)
{
  int64_t cpu = 0;

  for (int i = 0; i < spec->step_count; i++)
    if (!spec->steps[i].filler && spec->steps[i].demand.cpu > cpu)
      cpu = spec->steps[i].demand.cpu;
  return cpu;
}

/* What admission decides about a job. */
struct verdict
{
  int64_t lengths[KQ_SCHED_MAX_STEPS];
  struct kq_admit_request request;
  struct kq_admit_estimate estimate;
  bool refuses;
  bool closed;    /* the queue is closed; there is no estimate */
  int64_t base_s; /* Retry-After before it is spread over the callers */
};

/* Decides about JOB and counts it in KNOWN; nothing else changes. */
static void
decide (const struct kq_sched *sched, const struct job *job,
        struct queue_run_times *known, struct kq_sched_now now,
        struct verdict *verdict)
{
  verdict->request = (struct kq_admit_request){
    .spec = &job->spec,
    .lengths = verdict->lengths,
    .id = job->id,
    .priority = job->queue.priority,
    .slack_ms = job->stages[0].due_ms - now.wall_ms,
    .objective_ms = job->stages[0].due_ms - job->accepted_ms
  };
  verdict->closed = known->close.until_ms > now.mono / KQ_USEC_PER_MSEC;
  verdict->refuses = verdict->closed;
  verdict->base_s = known->close.retry_s;
  if (verdict->closed)
    return;
  kq_close_note_job (&known->close, verdict->request.objective_ms,
                     largest_cpu (&job->spec));
  for (int i = 0; i < job->spec.step_count; i++)
    verdict->lengths[i] = held_ms (sched, job, job->stages[i].length_ms);
  verdict->estimate = kq_admit_estimate (&sched->services[job->service].admit,
                                         &verdict->request);
  verdict->refuses = !kq_admit_decide (&known->admit, &verdict->estimate);
  verdict->base_s
      = kq_admit_base_retry_s (&verdict->request, &verdict->estimate);
}

bool
admission_refuses (struct kq_sched *sched, const struct job *job,
                   struct kq_sched_now now, int64_t *retry_ms)
{
  struct queue_run_times *known = job_run_times (sched, job->queue_name);
  struct verdict verdict;
  bool before;

  if (!may_refuse (sched, job, known, now))
    return false;
  decide (sched, job, known, now, &verdict);
  if (!verdict.refuses)
    {
      enum kq_admit_verdict result = verdict.estimate.verdict;

      kq_admit_add_job (&sched->services[job->service].admit, &verdict.request,
                        &verdict.estimate);
      sched->counts.admitted_late += result == KQ_ADMIT_LATE;
      sched->counts.admitted_too_late += result == KQ_ADMIT_TOO_LATE;
      return false;
    }
  before = kq_admit_note_refused (&sched->refused, job->id);
  note_refusal (sched, known,
                kq_admit_spread_retry_s (verdict.base_s, job->id,
                                         job->queue.priority, before),
                retry_ms, now);
  return true;
}

bool
admission_would_refuse (const struct kq_sched *sched, const struct job *job,
                        struct kq_sched_now now, int64_t *retry_ms)
{
  const struct queue_run_times *known;
  struct queue_run_times copy;
  struct verdict verdict;

  LL_FOREACH (sched->lengths, known)
  {
    if (strcmp (known->queue, job->queue_name) == 0)
      break;
  }
  if (!may_refuse (sched, job, known, now))
    return false;
  copy = *known;
  decide (sched, job, &copy, now, &verdict);
  *retry_ms = verdict.base_s * MS_PER_S;
  return verdict.refuses;
}

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "log/log.h"
#include "sched/internal.h"

/* A worker's clock runs at 98 of 100 at least. */
#define SLOWEST_CLOCK_PERCENT 98

/* Added to every wait for a lease to lapse. */
#define LAPSE_MARGIN_MS 300

/* How long a look waits at the worker for an end; less where tails must be
   watched: a tail covers half a second. */
#define LOOK_WAIT_MS 1000
#define SHARED_WAIT_MS 400

/* Looks at a worker that are under way at the same time. */
#define MOST_LOOKS 2

/* All workers are searched for a due look after one microsecond for each so
   many at the earliest, so that the search takes a few percent of the time. */
#define WORKERS_PER_USEC 1

/* A worker that was silent for longer has its lease no longer renewed: two
   looks without an answer. */
#define RENEW_AFTER_SILENCE (2200 * KQ_USEC_PER_MSEC)

/* A stop without an answer is repeated after this. */
#define STOP_REPEAT (500 * KQ_USEC_PER_MSEC)

/* A worker that may go on working while it drains is emptied this long
   before its announced end. */
#define DRAIN_MARGIN_MS 500

struct worker *
worker_find (struct kq_sched *sched, const char *id)
{
  struct worker *worker;

  HASH_FIND_STR (sched->workers, id, worker);
  return worker;
}

struct worker *
worker_get (struct kq_sched *sched, const char *id)
{
  struct worker *worker = worker_find (sched, id);

  if (worker != NULL)
    return worker;
  worker = calloc (1, sizeof *worker);
  if (worker == NULL)
    return NULL;
  snprintf (worker->report.id, sizeof worker->report.id, "%s", id);
  HASH_ADD_KEYPTR (hh, sched->workers, worker->report.id,
                   strlen (worker->report.id), worker);
  DL_APPEND (sched->worker_list, worker);
  return worker;
}

/* Tasks that last leave a draining worker at once; others if they could not
   end there in time. */
static void
empty_draining (struct kq_sched *sched, struct worker *worker,
                struct kq_sched_now now)
{
  struct task *task;
  struct task *next;

  DL_FOREACH_SAFE (worker->tasks, task, next)
  {
    int64_t est = task->stage->step->est_ms;
    int64_t left = task->percent > 0 ? est * (100 - task->percent) / 100 : est;
    bool ends_in_time
        = !task->stage->step->lasting
          && left + DRAIN_MARGIN_MS < worker->report.remaining_ms;

    if (!ends_in_time && !task->stop_wanted
        && (task->stage->step->lasting || task->stage->step->checkpointable))
      task_stop (sched, task, now);
  }
}

static void
log_worker (const struct worker *worker, const char *event, const char *why)
{
  char tasks[16];

  snprintf (tasks, sizeof tasks, "%d", worker->task_count);
  kq_log (KQ_LOG_INFO, "sched", event, 0, "worker", worker->report.id, "tasks",
          tasks, "why", why, NULL);
}

/* The clock, the numbers of ends and the memory of fences start anew. */
void
worker_start_life (struct worker *worker, int64_t born_ms)
{
  log_worker (worker, "worker in a new life", "");
  worker->report.born_ms = born_ms;
  worker->seen = 0;
  worker->seen_stored = 0;
  worker->clock_at = 0;
  worker->lease_end_ms = 0;
  worker->failed_jobs = 0;
  worker->shunned_until = 0;
}

void
worker_report (struct kq_sched *sched, struct kq_sched_now now,
               const struct kq_sched_report *report)
{
  struct worker *worker = worker_get (sched, report->id);
  bool draining;

  if (worker == NULL)
    return;
  if (!worker->registered)
    {
      log_worker (worker, "worker registered", report->service);
      worker->next_look_at = now.mono;
    }
  /* An entry may be read late and name an earlier life. */
  if (report->born_ms < worker->report.born_ms)
    return;
  if (report->born_ms > worker->report.born_ms)
    worker_start_life (worker, report->born_ms);
  sched->room_changed = true;
  draining = worker->report.draining;
  worker->report = *report;
  worker->registered = true;
  if (report->draining && !draining)
    {
      log_worker (worker, "worker drains", "registration");
      empty_draining (sched, worker, now);
    }
}

void
worker_gone (struct kq_sched *sched, struct kq_sched_now now, const char *id)
{
  struct worker *worker = worker_find (sched, id);

  if (worker == NULL || !worker->registered)
    return;
  worker->registered = false;
  log_worker (worker, "worker gone", "no registration");
}

int64_t
worker_clock (const struct worker *worker, kq_usec mono)
{
  if (worker->clock_at == 0)
    return 0;
  return worker->local_ms + (mono - worker->clock_at) / KQ_USEC_PER_MSEC;
}

void
worker_heard (struct worker *worker, kq_usec now, int64_t local_ms)
{
  worker->heard_at = now;
  worker->idle = false;
  if (local_ms <= 0)
    return;
  /* An earlier owner may have renewed its lease until this moment. */
  if (worker->clock_at == 0)
    worker->lease_end_ms = local_ms + KQ_SCHED_LEASE_MS;
  worker->local_ms = local_ms;
  worker->clock_at = now;
}

/* The next look follows at once where the last one waited for an end; ends
   that are not stored yet are waited for. */
void
worker_plan_look (const struct kq_sched *sched, struct worker *worker,
                  struct kq_sched_now now)
{
  worker->next_look_at = now.mono + sched->look_gap;
  worker->idle = worker->tasks == NULL;
  if (worker->idle)
    worker->next_look_at = now.mono + KQ_SCHED_IDLE_LOOK_GAP;
  if (worker->seen_stored < worker->seen)
    worker->next_look_at = now.mono + KQ_SCHED_LOOK_GAP;
}

void
worker_look_soon (struct worker *worker, struct kq_sched_now now)
{
  if (worker != NULL && worker->next_look_at > now.mono)
    worker->next_look_at = now.mono;
}

void
worker_look_now (struct kq_sched *sched, struct worker *worker)
{
  sched->search_at = 0;
  worker->look_at_once = true;
}

void
worker_granted (struct worker *worker, int64_t lease_end_ms)
{
  if (lease_end_ms > worker->lease_end_ms)
    worker->lease_end_ms = lease_end_ms;
}

bool
worker_usable (const struct worker *worker, struct kq_sched_now now)
{
  return worker->registered && !worker->report.draining
         && worker->clock_at != 0 && now.mono >= worker->shunned_until
         && now.mono >= worker->full_until
         && now.mono - worker->heard_at
                < (worker->idle ? KQ_SCHED_IDLE_SILENCE : KQ_SCHED_SILENCE);
}

/* Whether every lease that was ever granted there has certainly lapsed. */
static bool
lapsed (const struct worker *worker, struct kq_sched_now now)
{
  int64_t clock;

  if (worker->clock_at == 0)
    return now.mono > worker->lapsed_at;
  clock = worker->local_ms
          + (now.mono - worker->clock_at) / KQ_USEC_PER_MSEC
                * SLOWEST_CLOCK_PERCENT / 100;
  return clock > worker->lease_end_ms + LAPSE_MARGIN_MS;
}

static void
settle_all (struct kq_sched *sched, struct worker *worker,
            struct kq_sched_now now, const char *why)
{
  struct task *task;
  struct task *next;

  DL_FOREACH_SAFE (worker->tasks, task, next)
  {
    if (task->phase != PHASE_WRITTEN)
      task_settle (sched, task, now, why);
  }
}

static void
repeat_stops (struct kq_sched *sched, struct worker *worker,
              struct kq_sched_now now)
{
  struct task *task;
  struct task *next;

  DL_FOREACH_SAFE (worker->tasks, task, next)
  {
    if (task->stop_wanted && task->phase != PHASE_STOPPING
        && now.mono - task->stop_sent_at > STOP_REPEAT)
      task_stop (sched, task, now);
  }
}

void
worker_tick (struct kq_sched *sched, struct worker *worker,
             struct kq_sched_now now)
{
  if (worker->tasks != NULL)
    {
      if (lapsed (worker, now))
        settle_all (sched, worker, now, "lease lapsed");
      else
        repeat_stops (sched, worker, now);
      if (worker->report.draining)
        empty_draining (sched, worker, now);
    }
}

/* The end of a lease that is renewed now, 0 where it is not.  A look without
   an answer may have renewed it, so that a silent worker's lease would never
   be known to lapse if each look renewed it.  */
static int64_t
renewed_lease (const struct kq_sched *sched, struct worker *worker,
               struct kq_sched_now now)
{
  int64_t until;

  if (worker->clock_at == 0
      || now.mono - sched->confirmed_at > KQ_SCHED_HOLD_WITHOUT_STORE
      || now.mono - worker->heard_at > RENEW_AFTER_SILENCE)
    return 0;
  until = worker_clock (worker, now.mono) + KQ_SCHED_LEASE_MS;
  worker_granted (worker, until);
  return until;
}

static bool
is_look_due (const struct worker *worker, struct kq_sched_now now)
{
  if (worker->look_at_once)
    return worker->looks < MOST_LOOKS;
  return worker->looks == 0 && now.mono >= worker->next_look_at;
}

bool
kq_sched_next_look (struct kq_sched *sched, struct kq_sched_now now,
                    struct kq_sched_look *look)
{
  struct worker *worker
      = sched->look_next != NULL ? sched->look_next : sched->worker_list;

  if (sched->look_next == NULL && now.mono < sched->search_at)
    return false;
  for (; worker != NULL; worker = worker->next)
    {
      if (worker->report.address[0] == '\0' || !is_look_due (worker, now))
        continue;
      if (!worker->registered && worker->tasks == NULL)
        continue;
      sched->look_next = worker->next;
      worker->looks++;
      look->seen = worker->seen_stored;
      look->wait_ms = 0;
      if (worker->seen_stored == worker->seen && !worker->look_at_once)
        look->wait_ms = worker->tense ? SHARED_WAIT_MS : LOOK_WAIT_MS;
      worker->look_at_once = false;
      look->lease_end_ms = renewed_lease (sched, worker, now);
      snprintf (look->worker, sizeof look->worker, "%s", worker->report.id);
      snprintf (look->address, sizeof look->address, "%s",
                worker->report.address);
      return true;
    }
  /* The next question begins at the front again. */
  sched->look_next = NULL;
  sched->search_at
      = now.mono + (kq_usec)HASH_COUNT (sched->workers) / WORKERS_PER_USEC;
  return false;
}

const char *
kq_sched_worker_address (const struct kq_sched *sched, const char *id)
{
  struct worker *worker;

  HASH_FIND_STR (sched->workers, id, worker);
  return worker == NULL ? NULL : worker->report.address;
}

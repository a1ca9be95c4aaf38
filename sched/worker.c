/* Workers: registrations, incarnations, clocks, leases and polls. */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "log/log.h"
#include "sched/crash.h"
#include "sched/disruption.h"
#include "sched/evacuate.h"
#include "sched/internal.h"
#include "sched/late.h"
#include "sched/warmup.h"

/* Maximum time for which a worker delays its reply to a poll while no run
   ends. It is shorter where tail latencies must be watched, since each
   reported tail latency covers half a second. */
#define POLL_WAIT_MS 1000
#define NEAR_TARGET_POLL_WAIT_MS 400

/* Maximum number of concurrent polls of a worker. */
#define MAX_POLLS_IN_FLIGHT 2

/* The search for due polls visits all workers. The next search starts no
   earlier than one microsecond per this many workers after the end of the
   last one, so that searching takes a few percent of the time at most. */
#define WORKERS_PER_USEC 1

/* The lease of a worker that has not replied for longer than this is not
   renewed; it has then missed two polls. */
#define MAX_RENEWAL_SILENCE_US (2200 * KQ_USEC_PER_MSEC)

/* A worker that answers polls, but has left all orders unanswered for longer
   than this, gets no starts, and its lease is not renewed: what runs there can
   be neither confirmed nor stopped. */
#define MAX_ORDER_SILENCE_US MAX_RENEWAL_SILENCE_US

/* Time without starts after the runs at such a worker have ended, so that no
   order is left which it could answer.  It doubles until one is answered. */
#define MIN_ORDER_SILENCE_BACKOFF_US (1 * KQ_USEC_PER_SEC)
#define MAX_ORDER_SILENCE_BACKOFF_US (8 * KQ_USEC_PER_SEC)

/* Time between two polls of a lost worker, whose registration may last for a
   few seconds more. */
#define LOST_POLL_INTERVAL_US (1000 * KQ_USEC_PER_MSEC)

/* Delay before a stop order without a reply is repeated. */
#define STOP_RETRY_US (500 * KQ_USEC_PER_MSEC)

/* A start without a reply is settled by a stop after this time, if no status
   tells before whether the worker has accepted it. */
#define UNCONFIRMED_START_US (400 * KQ_USEC_PER_MSEC)

/* Time before the announced end of a draining worker by which its tasks
   must have ended. */
#define DRAIN_MARGIN_MS 500

/* Time between two ticks of the owner. */
#define TICK_MS 100

#define INITIAL_ARRAY_SIZE 64

struct worker *
worker_find (struct kq_sched *sched, const char *id)
{
  struct worker *worker;

  HASH_FIND_STR (sched->workers, id, worker);
  return worker;
}

/* Makes room for one more worker in the array of all. */
static bool
extend_array (struct kq_sched *sched)
{
  size_t size = sched->worker_array_size > 0 ? sched->worker_array_size * 2
                                             : INITIAL_ARRAY_SIZE;
  struct worker **array;

  if (sched->worker_count < sched->worker_array_size)
    return true;
  array = realloc (sched->worker_array, size * sizeof (struct worker *));
  if (array == NULL)
    return false;
  sched->worker_array = array;
  sched->worker_array_size = size;
  return true;
}

struct worker *
worker_find_or_add (struct kq_sched *sched, const char *id)
{
  struct worker *worker = worker_find (sched, id);

  if (worker != NULL)
    return worker;
  worker = extend_array (sched) ? calloc (1, sizeof *worker) : NULL;
  if (worker == NULL)
    return NULL;
  worker->service = -1;
  sched->worker_array[sched->worker_count++] = worker;
  snprintf (worker->report.id, sizeof worker->report.id, "%s", id);
  HASH_ADD_KEYPTR (hh, sched->workers, worker->report.id,
                   strlen (worker->report.id), worker);
  DL_APPEND (sched->worker_list, worker);
  return worker;
}

/* Whether a task that is not stopped now at the draining WORKER can still be
   stopped in time. */
static bool
leaves_time (const struct kq_sched *sched, const struct worker *worker,
             struct kq_sched_now now)
{
  int64_t left = worker->report.remaining_ms
                 - (now.mono - worker->report_read_at) / KQ_USEC_PER_MSEC;

  return left > sched->settings.stop_ms + DRAIN_MARGIN_MS + TICK_MS;
}

/* Stops checkpointable tasks that cannot end at a draining worker in time, and
   long-running tasks: at once, or if their step has max_unavailable, as that
   allows while there is time. */
static void
stop_before_drain_end (struct kq_sched *sched, struct worker *worker,
                       struct kq_sched_now now)
{
  struct task *task;
  struct task *next;

  DL_FOREACH_SAFE (worker->tasks, task, next)
  {
    int64_t est = task->stage->step->est_ms;
    int64_t remaining
        = task->percent > 0 ? est * (100 - task->percent) / 100 : est;
    bool ends_in_time
        = !task->stage->step->long_running
          && remaining + DRAIN_MARGIN_MS < worker->report.remaining_ms;

    if (leaves_time (sched, worker, now) && disruption_forbids_stop (task))
      continue;
    if (!ends_in_time && !task->stop_wanted
        && (task->stage->step->long_running
            || task->stage->step->checkpointable))
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

void
worker_note_no_reply (struct worker *worker, kq_usec sent_at)
{
  if (sent_at > worker->unanswered_at)
    worker->unanswered_at = sent_at;
}

void
worker_note_answered_order (struct worker *worker)
{
  worker->order_unanswered_since = 0;
  worker->order_silence_backoff = 0;
}

void
worker_note_unanswered_order (struct worker *worker, kq_usec sent_at)
{
  if (worker->order_unanswered_since == 0)
    worker->order_unanswered_since = sent_at;
}

static bool
leaves_orders_unanswered (const struct worker *worker, struct kq_sched_now now)
{
  return worker->order_unanswered_since != 0
         && now.mono - worker->order_unanswered_since > MAX_ORDER_SILENCE_US;
}

/* Whether a later incarnation of WORKER than the known one may have accepted
   an order with an end on the clock of that one: a renewal that has no reply
   of that one yet, one or a start that never had a reply, also of an earlier
   owner, or a start that no list of it has shown. */
static bool
may_hold_earlier_end (const struct kq_sched *sched,
                      const struct worker *worker, kq_usec now)
{
  const struct task *task;

  if (worker->open_renewal_at != 0
      || now - sched->term_began_at < OPEN_ORDER_US
      || (worker->unanswered_at != 0
          && now - worker->unanswered_at < OPEN_ORDER_US))
    return true;
  DL_FOREACH (worker->tasks, task)
  {
    if (task->phase != PHASE_STORING && task->percent < 0)
      return true;
  }
  return false;
}

void
worker_count_leases (struct worker *worker, kq_usec from,
                     enum lapse_basis basis)
{
  if (worker->leases_counted_from >= from)
    return;
  worker->leases_counted_from = from;
  worker->lapse_basis = basis;
}

/* A new incarnation starts with a new clock, new numbers of ended runs and
   no known fences. Before it was known it may have accepted orders that were
   meant for the earlier one. */
void
worker_start_incarnation (struct kq_sched *sched, struct worker *worker,
                          int64_t incarnation_ms, kq_usec now)
{
  bool restarted = worker->report.incarnation_ms != 0;

  log_worker (worker, "worker in a new incarnation",
              restarted ? "restarted under its ID" : "");
  if (restarted)
    worker_count_leases (worker, now, LAPSE_FROM_RESTART);
  /* An order that was under way at the restart before may reach this one. */
  if (restarted && may_hold_earlier_end (sched, worker, now))
    grant_set_long_lease (sched, worker, true);
  worker->long_lease_until = 0;
  worker->open_renewal_at = 0;
  worker->ends_known = restarted;
  worker->listed_at = 0;
  worker->refused_at = 0;
  worker->late_hold_count = 0;
  fence_begin_incarnation (sched, worker);
  worker->report.incarnation_ms = incarnation_ms;
  if (!restarted && grant_is_outdated (worker))
    grant_set_long_lease (sched, worker, true);
  worker->report_outdated = true;
  worker->incarnation_since = now;
  worker->ended_as_announced = worker->report.draining;
  worker->lost = false;
  worker->last_end = 0;
  worker->acked_end = 0;
  worker->forgotten_end = 0;
  worker->clock_read_at = 0;
  worker->lease_end_ms = 0;
  worker_note_answered_order (worker);
  worker->failed_jobs = 0;
  worker->quarantined_until = 0;
}

/* Ends the runs that a status of the earlier incarnation listed. */
static void
end_listed_runs (struct kq_sched *sched, struct worker *worker,
                 struct kq_sched_now now)
{
  struct task *task;
  struct task *next;
  bool one_cause = crash_has_one_cause (worker);

  DL_FOREACH_SAFE (worker->tasks, task, next)
  {
    if (task->percent >= 0)
      crash_end_missing_run (sched, task, now, "worker has restarted",
                             one_cause);
  }
  crash_end_jobs (sched, now);
}

void
worker_register (struct kq_sched *sched, struct kq_sched_now now,
                 const struct kq_sched_registration *registration)
{
  struct worker *worker = worker_find_or_add (sched, registration->id);
  bool draining;

  if (worker == NULL)
    return;
  if (!worker->registered)
    {
      log_worker (worker, "worker registered", registration->service);
      worker->next_poll_at = now.mono;
    }
  /* A registration may be read late and describe an earlier incarnation. */
  if (registration->incarnation_ms < worker->report.incarnation_ms)
    return;
  if (registration->incarnation_ms > worker->report.incarnation_ms)
    {
      crash_note_incarnation (sched, worker, now);
      worker_start_incarnation (sched, worker, registration->incarnation_ms,
                                now.mono);
      end_listed_runs (sched, worker, now);
    }
  /* A successor has to know the new address before a lease is renewed there.
   */
  if (strcmp (registration->address, worker->report.address) != 0)
    worker->grant_position = 0;
  sched->placement_due = true;
  draining = worker->report.draining;
  worker->report = *registration;
  worker->report_outdated = false;
  worker->report_read_at = now.mono;
  worker->service = service_index (sched, registration->service);
  worker->registered = true;
  evacuate_update_worker (sched, worker);
  warmup_note_registration (worker, now);
  rack_join (sched, worker);
  if (registration->draining && !draining)
    {
      log_worker (worker, "worker draining", "registration");
      stop_before_drain_end (sched, worker, now);
    }
}

void
worker_deregister (struct kq_sched *sched, struct kq_sched_now now,
                   const char *id)
{
  struct worker *worker = worker_find (sched, id);

  if (worker == NULL || !worker->registered)
    return;
  worker->registered = false;
  log_worker (worker, "worker deregistered", "registration removed");
}

int64_t
worker_clock (const struct worker *worker, kq_usec mono)
{
  if (worker->clock_read_at == 0)
    return 0;
  return worker->worker_clock_ms
         + (mono - worker->clock_read_at) / KQ_USEC_PER_MSEC;
}

/* Brings the end of the lease in line with the clock of a reply, which may be
   that of an incarnation that is not known yet: the end is then one on another
   clock. */
static void
adapt_lease_end (struct worker *worker, kq_usec now, int64_t worker_clock_ms)
{
  int64_t longest = worker_clock_ms + KQ_SCHED_MAX_LEASE_MS;
  int64_t expected = worker_clock (worker, now);
  bool by_earlier_clock = worker->has_long_lease && worker->listed_at == 0;

  /* An earlier owner may have renewed the worker's lease until now. */
  if (worker->clock_read_at == 0
      || worker_clock_ms > expected + KQ_SCHED_MAX_LEASE_MS)
    worker->lease_end_ms = worker_clock_ms + KQ_SCHED_LEASE_MS;
  if (worker->lease_end_ms > longest || by_earlier_clock)
    worker->lease_end_ms = longest;
}

void
worker_note_reply (struct kq_sched *sched, struct worker *worker, kq_usec now,
                   int64_t worker_clock_ms)
{
  worker->last_reply_at = now;
  worker->idle = false;
  worker->lost = false;
  worker->unheard = false;
  worker->loss_noted = false;
  worker->refused_at = 0;
  if (worker_clock_ms <= 0)
    return;
  if (worker->grant_position == 0)
    grant_begin (sched, worker);
  adapt_lease_end (worker, now, worker_clock_ms);
  worker->worker_clock_ms = worker_clock_ms;
  worker->clock_read_at = now;
}

/* Schedules the next poll after poll_interval, which may be 0 since a poll
   can wait at the worker until a run ends. While reported ends are not
   acknowledged the worker would not delay its reply, so that the interval is
   longer; an idle worker is polled rarely. */
void
worker_schedule_poll (const struct kq_sched *sched, struct worker *worker,
                      struct kq_sched_now now)
{
  worker->next_poll_at = now.mono + sched->poll_interval;
  worker->idle = worker->tasks == NULL;
  if (worker->idle)
    worker->next_poll_at = now.mono + KQ_SCHED_IDLE_POLL_INTERVAL_US;
  if (worker->acked_end < worker->last_end
      || (worker->acked_end > worker->forgotten_end
          && late_awaits_orders (worker, now)))
    worker->next_poll_at = now.mono + KQ_SCHED_UNACKED_POLL_INTERVAL_US;
}

void
worker_poll_soon (struct worker *worker, struct kq_sched_now now)
{
  if (worker != NULL && worker->next_poll_at > now.mono)
    worker->next_poll_at = now.mono;
}

void
worker_poll_at_once (struct kq_sched *sched, struct worker *worker)
{
  sched->next_search_at = 0;
  worker->poll_at_once = true;
}

void
worker_note_lease (struct worker *worker, int64_t lease_end_ms)
{
  if (lease_end_ms > worker->lease_end_ms)
    worker->lease_end_ms = lease_end_ms;
}

bool
worker_reports_are_current (const struct kq_sched *sched,
                            struct kq_sched_now now)
{
  return sched->registrations_at == 0
         || now.mono - sched->registrations_at
                <= KQ_SCHED_MAX_REGISTRATION_AGE_US;
}

/* A refusal alone does not tell: a worker without a free connection refuses
   further ones.  Nor does it tell that the worker is not registered any more,
   as behind a cut. */
bool
worker_is_gone_since (const struct worker *worker, kq_usec at)
{
  return !worker->registered && worker->refused_at != 0
         && worker->refused_at >= at;
}

bool
worker_is_quarantined (const struct worker *worker, struct kq_sched_now now)
{
  return now.mono < worker->quarantined_until;
}

bool
worker_usable (const struct worker *worker, struct kq_sched_now now)
{
  return worker_takes_starts (worker, now)
         && !worker_is_quarantined (worker, now);
}

bool
worker_takes_starts (const struct worker *worker, struct kq_sched_now now)
{
  return worker->registered && !worker->report_outdated && !worker->lost
         && !worker->fence_spent && !worker->report.draining
         && !worker->evacuated && worker->clock_read_at != 0
         && worker->refused_at == 0 && now.mono >= worker->no_starts_until
         && !leaves_orders_unanswered (worker, now)
         && now.mono - worker->last_reply_at
                < (worker->idle ? KQ_SCHED_IDLE_UNRESPONSIVE_US
                                : KQ_SCHED_UNRESPONSIVE_US);
}

/* Whether a run at WORKER may go on under a lease that ends by an earlier
   clock: its start was answered, or may have been, but not listed. */
static bool
may_run_by_earlier_clock (const struct worker *worker)
{
  const struct task *task;

  DL_FOREACH (worker->tasks, task)
  {
    if (task->percent < 0
        && (task->phase == PHASE_RUNNING || task->phase == PHASE_STOPPING
            || task->phase == PHASE_RESTORED))
      return true;
  }
  return false;
}

/* Whether all leases granted to WORKER have lapsed, even if its clock is
   slow. */
static bool
have_leases_lapsed (const struct worker *worker, struct kq_sched_now now)
{
  int64_t clock;

  if (worker->clock_read_at == 0)
    return now.mono - worker->leases_counted_from
           > (worker->has_long_lease && may_run_by_earlier_clock (worker)
                  ? MAX_LAPSE_US
                  : LONGEST_LAPSE_US);
  clock = worker->worker_clock_ms
          + (now.mono - worker->clock_read_at) / KQ_USEC_PER_MSEC
                * SLOWEST_CLOCK_PERCENT / 100;
  return clock > worker->lease_end_ms + LAPSE_MARGIN_MS;
}

/* Whether WORKER is gone, and with it all runs that it was sent.  One that was
   restored may have an open start order, for which no wait follows its end. */
static bool
are_runs_gone (const struct kq_sched *sched, const struct worker *worker,
               struct kq_sched_now now)
{
  const struct task *task;

  if (!worker_reports_are_current (sched, now))
    return false;
  DL_FOREACH (worker->tasks, task)
  {
    if (task->phase != PHASE_STORING
        && (!worker_is_gone_since (worker, task->start_sent_at)
            || !worker_is_gone_since (worker, task->late_until)))
      return false;
  }
  return worker_is_gone_since (worker, 0);
}

static const char *
lapse_basis_name (const struct worker *worker)
{
  if (worker->clock_read_at != 0)
    return "its clock";
  switch (worker->lapse_basis)
    {
    case LAPSE_FROM_EARLIER_OWNER:
      return "earlier owner";
    case LAPSE_FROM_RESTART:
      return "its restart";
    }
  return "";
}

static void
log_lapse (const struct worker *worker, struct kq_sched_now now)
{
  char tasks[16];
  char silent[24];
  char renewed[24];
  char granted_by[24];

  snprintf (tasks, sizeof tasks, "%d", worker->task_count);
  snprintf (silent, sizeof silent, "%" PRId64,
            (now.mono - worker->last_reply_at) / KQ_USEC_PER_MSEC);
  snprintf (renewed, sizeof renewed, "%" PRId64,
            (now.mono - worker->renewed_at) / KQ_USEC_PER_MSEC);
  snprintf (granted_by, sizeof granted_by, "%" PRId64, worker->grant_term);
  kq_log (KQ_LOG_WARN, "sched", "worker's leases lapsed", 0, "worker",
          worker->report.id, "tasks", tasks, "granted_by", granted_by, "long",
          worker->has_long_lease ? "yes" : "no", "counted_from",
          lapse_basis_name (worker), "last_reply_ms",
          worker->last_reply_at != 0 ? silent : "", "last_renewal_ms",
          worker->renewed_at != 0 ? renewed : "", NULL);
}

/* Orders the stops of runs whose start had no reply and that no status has
   shown since, and repeats stop orders without a reply. */
static void
retry_stops (struct kq_sched *sched, struct worker *worker,
             struct kq_sched_now now)
{
  struct task *task;
  struct task *next;

  DL_FOREACH_SAFE (worker->tasks, task, next)
  {
    bool unconfirmed = task->phase == PHASE_UNCONFIRMED && !task->stop_wanted
                       && now.mono - task->phase_since > UNCONFIRMED_START_US;
    bool unanswered = task->stop_wanted && task->phase != PHASE_STOPPING
                      && now.mono - task->stop_sent_at > STOP_RETRY_US;

    if (unconfirmed || unanswered)
      task_stop (sched, task, now);
  }
}

/* Whether an order for TASK is to be answered. */
static bool
awaits_order (const struct task *task)
{
  return task->phase == PHASE_START_SENT || task->phase == PHASE_UNCONFIRMED
         || (task->stop_wanted && task->phase != PHASE_STOPPING);
}

/* Logs when WORKER is found to answer no orders, and ends that when no order
   is left that it could answer: the next start tells. */
static void
watch_orders (struct worker *worker, struct kq_sched_now now)
{
  bool silent = leaves_orders_unanswered (worker, now);
  const struct task *task;

  if (silent && !worker->order_silence_logged)
    log_worker (worker, "worker answers no orders", "");
  worker->order_silence_logged = silent;
  if (worker->order_unanswered_since == 0)
    return;
  DL_FOREACH (worker->tasks, task)
  {
    if (awaits_order (task))
      return;
  }
  worker->order_unanswered_since = 0;
  if (!silent)
    return;
  worker->order_silence_backoff *= 2;
  if (worker->order_silence_backoff < MIN_ORDER_SILENCE_BACKOFF_US)
    worker->order_silence_backoff = MIN_ORDER_SILENCE_BACKOFF_US;
  if (worker->order_silence_backoff > MAX_ORDER_SILENCE_BACKOFF_US)
    worker->order_silence_backoff = MAX_ORDER_SILENCE_BACKOFF_US;
  worker->no_starts_until = now.mono + worker->order_silence_backoff;
}

/* An order names the incarnation that it is for, and two processes cannot
   have one address. */
void
worker_lose (struct kq_sched *sched, struct worker *worker, kq_usec sent_at,
             struct kq_sched_now now)
{
  if (sent_at < worker->incarnation_since)
    return;
  if (!worker->lost)
    log_worker (worker, "worker lost", "another process has its address");
  worker->lost = true;
  worker->idle = false;
  worker->next_poll_at = now.mono + LOST_POLL_INTERVAL_US;
  crash_end_runs (sched, worker, now, "worker lost", true);
}

void
worker_tick (struct kq_sched *sched, struct worker *worker,
             struct kq_sched_now now)
{
  watch_orders (worker, now);
  if (worker->long_lease_until != 0 && now.mono > worker->long_lease_until)
    grant_set_long_lease (sched, worker, false);
  if (worker->tasks != NULL)
    {
      if (have_leases_lapsed (worker, now))
        {
          sched->counts.lapsed_workers++;
          log_lapse (worker, now);
          crash_end_runs (sched, worker, now, "lease lapsed", false);
        }
      else if (are_runs_gone (sched, worker, now))
        {
          log_worker (worker, "worker gone",
                      "not registered, its address refuses connections");
          crash_end_runs (sched, worker, now, "worker gone", false);
        }
      else
        retry_stops (sched, worker, now);
      if (worker->report.draining)
        stop_before_drain_end (sched, worker, now);
    }
}

/* Renews the lease and returns its end, or 0 if it is not renewed. A poll
   without a reply may still have renewed the lease; if every poll renewed
   it, the lease of a worker that does not reply could never be taken as
   lapsed. */
static int64_t
renew_lease (const struct kq_sched *sched, struct worker *worker,
             struct kq_sched_now now)
{
  int64_t until;

  if (worker->clock_read_at == 0 || !grant_is_stored (sched, worker)
      || !grant_is_current (sched, now) || worker->refused_at != 0
      || now.mono - worker->last_reply_at > MAX_RENEWAL_SILENCE_US
      || leaves_orders_unanswered (worker, now))
    return 0;
  until = worker_clock (worker, now.mono) + KQ_SCHED_LEASE_MS;
  worker_note_lease (worker, until);
  worker->renewed_at = now.mono;
  worker->open_renewal_at = now.mono;
  return until;
}

static bool
is_poll_due (const struct worker *worker, struct kq_sched_now now)
{
  if (worker->poll_at_once)
    return worker->polls_in_flight < MAX_POLLS_IN_FLIGHT;
  return worker->polls_in_flight == 0 && now.mono >= worker->next_poll_at;
}

/* Returns the number of the end that a poll of WORKER acknowledges; 0: none. A
   worker that did not reply, or one that carries out the poll late, may have
   restarted: it would forget ends by the numbers of its earlier incarnation,
   which are there if that carries out a start late. */
static int64_t
end_to_acknowledge (const struct worker *worker, struct kq_sched_now now)
{
  if (worker->silent_poll_at != 0 || worker->acked_end <= worker->forgotten_end
      || late_awaits_orders (worker, now))
    return 0;
  return worker->acked_end;
}

bool
kq_sched_next_poll (struct kq_sched *sched, struct kq_sched_now now,
                    struct kq_sched_poll *poll)
{
  struct worker *worker
      = sched->next_polled != NULL ? sched->next_polled : sched->worker_list;

  if (sched->next_polled == NULL && now.mono < sched->next_search_at)
    return false;
  for (; worker != NULL; worker = worker->next)
    {
      if (worker->report.address[0] == '\0' || !is_poll_due (worker, now))
        continue;
      if (!worker->registered && worker->tasks == NULL
          && !worker->poll_at_once)
        continue;
      sched->next_polled = worker->next;
      worker->polls_in_flight++;
      poll->acked = end_to_acknowledge (worker, now);
      poll->wait_ms = 0;
      if (worker->acked_end == worker->last_end && !worker->poll_at_once
          && worker->clock_read_at != 0 && worker->silent_poll_at == 0)
        poll->wait_ms
            = worker->near_target ? NEAR_TARGET_POLL_WAIT_MS : POLL_WAIT_MS;
      worker->poll_at_once = false;
      poll->lease_end_ms = renew_lease (sched, worker, now);
      snprintf (poll->worker, sizeof poll->worker, "%s", worker->report.id);
      snprintf (poll->address, sizeof poll->address, "%s",
                worker->report.address);
      return true;
    }
  /* The next call starts at the head of the list. */
  sched->next_polled = NULL;
  sched->next_search_at
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

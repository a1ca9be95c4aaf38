/* Tasks that crash the workers that start them (crash_*).
 *
 * A run settles when its worker lists it some time after its start.  Each task
 * whose run had not settled when its worker was lost may be the cause: the
 * loss counts for it, and it goes on where no other such task starts, so that
 * the next loss tells them apart.  A loss that an outage explains is set aside
 * (evidence.c), and a task with several of these waits for the end of the
 * outage.  A task with too many losses that nothing explains is given up, and
 * its job fails.  A run that settles clears the count.
 */
#include <stdio.h>
#include <stdlib.h>

#include "base/err.h"
#include "log/log.h"
#include "sched/crash.h"
#include "sched/internal.h"
#include "sched/late.h"
#include "sched/loss.h"

/* A run has settled if a poll that was sent this long after the first sign of
   it lists it: its worker may have carried out the order late. */
#define SETTLE_US (500 * KQ_USEC_PER_MSEC)

/* A restored run that may have been bound within this time before may have
   crashed its worker without an earlier owner noticing: longer than a lease
   and two takeovers. */
#define UNNOTICED_CRASH_US (20 * KQ_USEC_PER_SEC)

/* A task is given up after so many workers have crashed for certain under its
   runs and no outage explains that; after so many losses of which so many are
   crashes, if the last crash can have no other cause; after so many losses
   that no outage explains, whatever they look like, since a worker may crash
   before it replies or unseen by its owner; and after so many with those that
   an outage explains, since a task that crashes its workers may be started
   twice more after three crashes.  Two losses are never enough. */
#define MAX_CRASHES 3
#define MIN_CRASHES_ALONE 2
#define MAX_LOSSES_BESIDE_CRASHES 3
#define MAX_UNEXPLAINED_LOSSES 4
#define MAX_STARTS_THAT_CRASH 5

/* A task with so many losses set aside waits for the end of the outage: this
   long after the first such loss, twice as long after the next, and four times
   from then on.  With the wait for calm this is below the 6 s after which a
   long-running task must run again. */
#define MAX_SET_ASIDE_AT_ONCE 2
#define TRIAL_DELAY_US KQ_USEC_PER_SEC
#define MAX_TRIAL_DELAY_DOUBLINGS 2

/* An outage is over when no worker was lost for the first time; a task waits
   for that no longer than the second. */
#define CALM_US KQ_USEC_PER_SEC
#define MAX_CALM_WAIT_US (1500 * KQ_USEC_PER_MSEC)

/* The same for the last start of a task, since another loss gives it up
   whatever explains that: the first is longer than the pauses between losses
   in a series of outages, the second is counted from its last loss.  */
#define LAST_CALM_US (3000 * KQ_USEC_PER_MSEC)
#define MAX_LAST_CALM_WAIT_US (30 * KQ_USEC_PER_SEC)

/* A service that restarts as a whole does so within this time. */
#define RAPID_US (500 * KQ_USEC_PER_MSEC)

/* Kinds of losses under a task. */
enum loss_kind
{
  LOSS_SILENT,   /* the worker may be only out of reach */
  LOSS_CUT,      /* the same, as many others are */
  LOSS_REFUTED,  /* it has replied since, and had not crashed */
  LOSS_UNPROVEN, /* it has crashed; the start may not have reached it */
  LOSS_CRASH,    /* it has crashed after it accepted the start */
  LOSS_SET_ASIDE /* it has crashed; an outage explains that */
};

struct crash_loss
{
  kq_usec at;
  uint64_t number;        /* of the loss in sched->evidence */
  struct worker *worker;  /* workers are never destroyed before jobs */
  int64_t incarnation_ms; /* the one that was lost */
  enum loss_kind kind;
  bool proven;
  bool accepted;
  bool one_cause;
};

/* Losses under a task in this term.  Further ones than those that give it up
   replace the last. */
struct crash_history
{
  struct task *task;
  struct crash_loss losses[MAX_STARTS_THAT_CRASH];
  int count;
  kq_usec last_at; /* time of the last, or when the task was restored */
  bool held;       /* the task is not READY, but waits here */
  kq_usec held_until;
  kq_usec held_at_most_until;
  struct crash_history *prev;
  struct crash_history *next;
};

/* Returns the number of losses under TASK that no outage explains, whatever
   they looked like. */
static int
count_unexplained (const struct task *task)
{
  return task->crashes + task->unproven_crashes + task->silent_losses;
}

int
crash_count_losses (const struct task *task)
{
  return count_unexplained (task) + task->losses_set_aside + task->cut_losses;
}

int
crash_count_starts_left (const struct task *task)
{
  return MAX_STARTS_THAT_CRASH - crash_count_losses (task);
}

bool
crash_is_suspect (const struct task *task)
{
  return crash_count_losses (task) > 0;
}

bool
crash_is_on_trial (const struct task *task)
{
  return crash_is_suspect (task) && !task->settled;
}

void
crash_note_start (struct task *task)
{
  task->incarnation_ms = task->worker->report.incarnation_ms;
}

void
crash_note_accepted (struct task *task, struct kq_sched_now now)
{
  if (task->accepted_at == 0)
    task->accepted_at = now.mono;
}

bool
crash_is_held (const struct task *task)
{
  return task->state == TASK_WAITING && task->crash_history != NULL
         && task->crash_history->held;
}

void
crash_forget (struct kq_sched *sched, struct task *task)
{
  struct crash_history *history = task->crash_history;

  if (history == NULL)
    return;
  DL_DELETE (sched->crash_histories, history);
  free (history);
  task->crash_history = NULL;
}

void
crash_format (const struct task *task, char *text, size_t size)
{
  snprintf (text, size, "%d crashes of %d losses, %d set aside", task->crashes,
            crash_count_losses (task), task->losses_set_aside);
}

static void
clear_suspicion (struct kq_sched *sched, struct task *task)
{
  if (crash_is_on_trial (task) && task->state == TASK_BOUND)
    task->worker->suspect_count--;
  if (crash_is_suspect (task))
    job_mark_dirty (sched, task->stage->job);
  task->settled = true;
  task->crashes = 0;
  task->unproven_crashes = 0;
  task->losses_set_aside = 0;
  task->silent_losses = 0;
  task->cut_losses = 0;
  crash_forget (sched, task);
  late_forget_earlier (task);
}

void
crash_note_listed (struct kq_sched *sched, struct task *task, kq_usec sent_at,
                   struct kq_sched_now now)
{
  crash_note_accepted (task, now);
  if (!task->settled && sent_at - task->accepted_at >= SETTLE_US)
    clear_suspicion (sched, task);
}

/* A run that was ended before it settled has proved nothing. */
void
crash_note_end (struct kq_sched *sched, struct task *task,
                enum kq_sched_end how)
{
  if (how == KQ_SCHED_DONE || how == KQ_SCHED_FAILED)
    clear_suspicion (sched, task);
}

/* Whether the run of TASK may have begun and crashed its worker before it
   settled. A restored run may have settled before, unless workers were lost
   under the task already or earlier owners had little time to notice. */
static bool
may_have_crashed (const struct task *task)
{
  return task->phase != PHASE_STORING && !task->settled
         && (task->phase != PHASE_RESTORED || crash_is_suspect (task)
             || task->placed_lately);
}

bool
crash_has_one_cause (const struct worker *worker)
{
  const struct job *job = NULL;
  const struct task *task;

  DL_FOREACH (worker->tasks, task)
  {
    if (!may_have_crashed (task))
      continue;
    if (job != NULL && task->stage->job != job)
      return false;
    job = task->stage->job;
  }
  return true;
}

const struct task *
crash_find_cause (const struct worker *worker)
{
  const struct task *cause = NULL;
  const struct task *task;

  DL_FOREACH (worker->tasks, task)
  {
    if (!may_have_crashed (task))
      continue;
    if (cause != NULL)
      return NULL;
    cause = task;
  }
  return cause;
}

static struct kq_evidence_query
query_for (const struct crash_history *history, const struct crash_loss *loss,
           uint64_t *own)
{
  for (int i = 0; i < history->count; i++)
    own[i] = history->losses[i].number;
  return (struct kq_evidence_query){ .place = loss_place_of (loss->worker),
                                     .cause = history->task,
                                     .own = own,
                                     .own_count = history->count,
                                     .at = loss->at };
}

/* Returns NULL for losses that are not counted. */
static int *
counter_of (struct task *task, enum loss_kind kind)
{
  switch (kind)
    {
    case LOSS_SILENT:
      return &task->silent_losses;
    case LOSS_CUT:
      return &task->cut_losses;
    case LOSS_REFUTED:
      return NULL;
    case LOSS_UNPROVEN:
      return &task->unproven_crashes;
    case LOSS_CRASH:
      return &task->crashes;
    case LOSS_SET_ASIDE:
      break;
    }
  return &task->losses_set_aside;
}

static void
set_kind (struct task *task, struct crash_loss *loss, enum loss_kind kind)
{
  int *before = counter_of (task, loss->kind);
  int *after = counter_of (task, kind);

  if (before != NULL)
    --*before;
  if (after != NULL)
    ++*after;
  loss->kind = kind;
}

/* Logs and counts that a loss under TASK is of KIND from now on, if that takes
   it off the account of TASK; SCOPE is that of the outage that explains it. */
static void
log_verdict (struct kq_sched *sched, const struct task *task,
             enum loss_kind kind, enum kq_evidence_scope scope)
{
  switch (kind)
    {
    case LOSS_CUT:
      task_log (task, "loss of a worker put down to a cut",
                kq_evidence_scope_name (scope));
      break;
    case LOSS_REFUTED:
      sched->counts.losses_refuted++;
      task_log (task, "loss of a worker refuted", "the worker has replied");
      break;
    case LOSS_SET_ASIDE:
      sched->counts.losses_set_aside++;
      task_log (task, "loss of a worker set aside",
                kq_evidence_scope_name (scope));
      break;
    case LOSS_SILENT:
    case LOSS_UNPROVEN:
    case LOSS_CRASH:
      break;
    }
}

/* Judges the loss at INDEX by what is known now: a worker that was silent may
   have come back, in a new incarnation or in the same one, and other losses
   may explain it. */
static void
judge_loss (struct kq_sched *sched, struct crash_history *history, int index)
{
  struct crash_loss *loss = &history->losses[index];
  uint64_t own[MAX_STARTS_THAT_CRASH];
  const struct kq_evidence_query query = query_for (history, loss, own);
  enum kq_evidence_scope scope;
  enum loss_kind kind = loss->accepted ? LOSS_CRASH : LOSS_UNPROVEN;

  if (loss->kind == LOSS_SET_ASIDE || loss->kind == LOSS_REFUTED)
    return;
  loss->proven = loss->proven || loss->worker->lost
                 || loss->worker->report.incarnation_ms > loss->incarnation_ms;
  scope = kq_evidence_explain (sched->evidence, &query);
  if (!loss->proven && loss->worker->last_reply_at > loss->at)
    kind = LOSS_REFUTED;
  else if (!loss->proven)
    kind = scope == KQ_EVIDENCE_NONE ? LOSS_SILENT : LOSS_CUT;
  else if (scope != KQ_EVIDENCE_NONE)
    kind = LOSS_SET_ASIDE;
  if (kind != loss->kind)
    log_verdict (sched, history->task, kind, scope);
  set_kind (history->task, loss, kind);
}

static void
judge_losses (struct kq_sched *sched, struct crash_history *history)
{
  for (int i = 0; i < history->count; i++)
    judge_loss (sched, history, i);
}

/* Whether TASK may not be started again, whatever explains its losses. */
static bool
has_used_all_starts (const struct task *task)
{
  return crash_count_losses (task) >= MAX_STARTS_THAT_CRASH;
}

/* Whether one more loss uses up the starts of TASK. */
static bool
has_one_start_left (const struct task *task)
{
  return crash_count_losses (task) == MAX_STARTS_THAT_CRASH - 1;
}

/* Whether losses under TASK, as far as they are stored with it, prove that it
   crashes its workers. */
static bool
has_lost_too_many (const struct task *task)
{
  return task->crashes >= MAX_CRASHES
         || count_unexplained (task) >= MAX_UNEXPLAINED_LOSSES
         || has_used_all_starts (task);
}

/* Whether workers have crashed so often under the task of HISTORY after they
   accepted its start that it is given up. */
static bool
has_crashed_enough (const struct crash_history *history)
{
  const struct task *task = history->task;
  const struct crash_loss *last = &history->losses[history->count - 1];

  return task->crashes >= MAX_CRASHES
         || (last->kind == LOSS_CRASH && last->one_cause
             && task->crashes >= MIN_CRASHES_ALONE
             && count_unexplained (task) >= MAX_LOSSES_BESIDE_CRASHES);
}

static bool
is_given_up (const struct crash_history *history)
{
  return (history->count > 0 && has_crashed_enough (history))
         || has_lost_too_many (history->task);
}

/* Whether the last two losses of HISTORY are close to each other. */
static bool
is_rapid (const struct crash_history *history)
{
  const struct crash_loss *last = &history->losses[history->count - 1];

  return history->count > 1 && last[0].at - last[-1].at < RAPID_US;
}

/* Whether this owner cannot know yet of an outage in which an earlier owner
   counted losses against the task of HISTORY. */
static bool
is_new_to (const struct kq_sched *sched, const struct crash_history *history)
{
  kq_usec last_at = history->losses[history->count - 1].at;

  return crash_count_losses (history->task) > history->count
         && (sched->admission_began_at == 0
             || last_at - sched->admission_began_at < KQ_EVIDENCE_WINDOW_US);
}

/* Whether an outage may yet show that explains a loss which counts against the
   task of HISTORY: other workers were lost, this owner is new, or runs that
   may not have begun were lost one right after the other. */
static bool
is_doubtful (const struct kq_sched *sched, const struct crash_history *history)
{
  uint64_t own[MAX_STARTS_THAT_CRASH];

  if ((!has_crashed_enough (history) && is_rapid (history))
      || is_new_to (sched, history))
    return true;
  for (int i = 0; i < history->count; i++)
    {
      const struct crash_loss *loss = &history->losses[i];
      const struct kq_evidence_query query = query_for (history, loss, own);

      if ((loss->kind == LOSS_CRASH || loss->kind == LOSS_UNPROVEN
           || loss->kind == LOSS_SILENT)
          && kq_evidence_is_doubtful (sched->evidence, &query))
        return true;
    }
  return false;
}

/* Takes the task of HISTORY out of the queue until AT, and for CALM longer at
   most until no worker is lost. */
static void
hold (struct kq_sched *sched, struct crash_history *history, kq_usec at,
      kq_usec calm)
{
  struct task *task = history->task;

  if (task->state != TASK_READY)
    return;
  task_clear_ready (sched, task);
  task->state = TASK_WAITING;
  history->held = true;
  history->held_until = at;
  history->held_at_most_until = at + calm;
}

/* Returns when a task with COUNT losses set aside may be started again after a
   loss. */
static kq_usec
trial_delay (int count)
{
  int doublings = count - MAX_SET_ASIDE_AT_ONCE;

  if (doublings > MAX_TRIAL_DELAY_DOUBLINGS)
    doublings = MAX_TRIAL_DELAY_DOUBLINGS;
  return TRIAL_DELAY_US << doublings;
}

static void
give_up (struct kq_sched *sched, struct task *task)
{
  task->stage->job->given_up = true;
  sched->job_given_up = true;
}

void
crash_note_restored (struct task *task, struct kq_sched_now now)
{
  task->placed_lately = task->placed_at > now.mono - UNNOTICED_CRASH_US;
}

void
crash_note_restored_losses (struct kq_sched *sched, struct task *task)
{
  /* An earlier owner may have put the verdict off, but another start could be
     the sixth. */
  if (has_lost_too_many (task))
    give_up (sched, task);
}

/* Decides how the task of HISTORY goes on after its last loss. */
static void
decide (struct kq_sched *sched, struct crash_history *history)
{
  const struct task *task = history->task;
  kq_usec at = history->losses[history->count - 1].at;

  if (is_given_up (history))
    {
      if (!has_used_all_starts (task) && is_doubtful (sched, history))
        hold (sched, history, at + KQ_EVIDENCE_WINDOW_US, 0);
      else
        give_up (sched, history->task);
    }
  else if (task->losses_set_aside >= MAX_SET_ASIDE_AT_ONCE)
    hold (sched, history, at + trial_delay (task->losses_set_aside),
          MAX_CALM_WAIT_US);
  else if (has_one_start_left (task))
    hold (sched, history, at, 0);
}

static struct crash_history *
find_or_add_history (struct kq_sched *sched, struct task *task)
{
  struct crash_history *history = task->crash_history;

  if (history != NULL)
    return history;
  history = calloc (1, sizeof *history);
  if (history == NULL)
    {
      kq_log (KQ_LOG_ERROR, "sched", "loss not counted", KQ_ENOMEM, NULL);
      return NULL;
    }
  history->task = task;
  task->crash_history = history;
  DL_APPEND (sched->crash_histories, history);
  return history;
}

void
crash_hold_restored (struct kq_sched *sched, struct task *task,
                     struct kq_sched_now now)
{
  struct crash_history *history;

  if (!has_one_start_left (task))
    return;
  history = find_or_add_history (sched, task);
  if (history == NULL)
    return;
  history->last_at = now.mono;
  hold (sched, history, now.mono + LAST_CALM_US, 0);
}

/* If LOSS is of the worker that was lost last under the task of HISTORY, which
   lasts, it replaces that loss: a worker that is lost again and again is one
   piece of evidence, since the task may have no other place.  It is tried
   elsewhere first. */
static void
replace_repeated_loss (struct crash_history *history,
                       const struct crash_loss *loss)
{
  const struct kq_sched_now now = { .mono = loss->at };
  const struct crash_loss *last;
  int *counter;

  if (history->count == 0)
    return;
  last = &history->losses[history->count - 1];
  if (last->worker != loss->worker)
    return;
  place_avoid_worker (history->task, loss->worker, now);
  counter = counter_of (history->task, last->kind);
  if (counter != NULL)
    --*counter;
  history->count--;
}

/* Counts LOSS under TASK, which goes on or is given up by what it knows now.
 */
static void
count_loss (struct kq_sched *sched, struct task *task,
            const struct crash_loss *loss, const char *event)
{
  struct crash_history *history = find_or_add_history (sched, task);
  char text[64];

  if (history == NULL)
    return;
  if (task->stage->step->long_running)
    replace_repeated_loss (history, loss);
  if (history->count == MAX_STARTS_THAT_CRASH)
    history->count--;
  history->losses[history->count++] = *loss;
  history->last_at = loss->at;
  ++*counter_of (task, loss->kind);
  judge_losses (sched, history);
  sched->counts.crashes++;
  crash_format (task, text, sizeof text);
  task_log (task, event, text);
  decide (sched, history);
}

/* Ends the run of TASK at a lost worker. PROVEN: the worker has crashed. */
static void
end_lost_run (struct kq_sched *sched, struct task *task,
              struct kq_sched_now now, const char *why, bool proven,
              bool one_cause)
{
  struct crash_loss loss = { .at = now.mono,
                             .worker = task->worker,
                             .incarnation_ms = task->incarnation_ms,
                             .kind = LOSS_SILENT,
                             .proven = proven,
                             .accepted = task->accepted_at != 0,
                             .one_cause = one_cause };
  bool counts = may_have_crashed (task);

  loss.number = loss_note (sched, task->worker, now);
  task_end_run (sched, task, now, why);
  if (!counts)
    return;
  late_note_loss_counted (task);
  count_loss (sched, task, &loss, "worker lost before the run settled");
}

void
crash_count_late_loss (struct kq_sched *sched, struct task *task,
                       struct worker *worker, struct kq_sched_now now)
{
  const struct crash_loss loss
      = { .at = now.mono,
          .number = loss_note (sched, worker, now),
          .worker = worker,
          .incarnation_ms = worker->report.incarnation_ms,
          .kind = LOSS_SET_ASIDE,
          .proven = true };
  bool was_on_trial = crash_is_on_trial (task);

  job_mark_dirty (sched, task->stage->job);
  count_loss (sched, task, &loss, "worker lost after an unanswered start");
  if (task->state == TASK_BOUND && crash_is_on_trial (task) && !was_on_trial)
    task->worker->suspect_count++;
}

void
crash_note_incarnation (struct kq_sched *sched, struct worker *worker,
                        struct kq_sched_now now)
{
  if (worker->report.incarnation_ms == 0 || worker->report.draining)
    return;
  /* A worker that was lost comes back: that is no second loss. */
  if (!worker->loss_noted)
    loss_note (sched, worker, now);
  late_count_losses (sched, worker, now);
}

/* Returns when the task of HISTORY may be started by what is known now, if it
   has one start left; otherwise 0. */
static kq_usec
last_start_at (const struct kq_sched *sched,
               const struct crash_history *history)
{
  const struct task *task = history->task;
  kq_usec calm_at
      = kq_evidence_last_loss (sched->evidence, task->stage->job->service)
        + LAST_CALM_US;
  kq_usec at_most = history->last_at + MAX_LAST_CALM_WAIT_US;

  if (!has_one_start_left (task))
    return 0;
  return calm_at < at_most ? calm_at : at_most;
}

/* Starts or gives up the task of HISTORY, which has waited long enough, or
   holds it on for its last start. */
static void
release (struct kq_sched *sched, struct crash_history *history,
         struct kq_sched_now now)
{
  struct task *task = history->task;
  bool held = crash_is_held (task);
  kq_usec at;

  history->held = false;
  if (!held || job_has_ended (task->stage->job))
    return;
  judge_losses (sched, history);
  job_mark_dirty (sched, task->stage->job);
  at = last_start_at (sched, history);
  if (is_given_up (history))
    give_up (sched, task);
  else if (now.mono < at)
    {
      history->held = true;
      history->held_until = at;
      history->held_at_most_until = at;
    }
  else
    task_make_ready (sched, task, now);
}

void
crash_tick (struct kq_sched *sched, struct kq_sched_now now)
{
  struct crash_history *history;
  struct crash_history *next;

  DL_FOREACH_SAFE (sched->crash_histories, history, next)
  {
    int service = history->task->stage->job->service;
    bool calm = now.mono - kq_evidence_last_loss (sched->evidence, service)
                >= CALM_US;

    if (history->held && now.mono >= history->held_until
        && (calm || now.mono >= history->held_at_most_until))
      release (sched, history, now);
  }
  crash_end_jobs (sched, now);
}

void
crash_end_jobs (struct kq_sched *sched, struct kq_sched_now now)
{
  struct job *job;
  struct job *next;

  if (!sched->job_given_up)
    return;
  sched->job_given_up = false;
  HASH_ITER (hh, sched->jobs, job, next)
  {
    if (!job->given_up || job_has_ended (job))
      continue;
    job_log (job, "job given up", "a task crashes its workers");
    job_end (sched, job, KQ_SCHED_FAILED_JOB, now);
  }
}

void
crash_end_runs (struct kq_sched *sched, struct worker *worker,
                struct kq_sched_now now, const char *why, bool proven)
{
  bool one_cause = crash_has_one_cause (worker);
  struct task *task;
  struct task *next;

  if (!proven)
    loss_note_silent (sched, worker, now);
  if (!worker->report.draining)
    loss_note (sched, worker, now);
  DL_FOREACH_SAFE (worker->tasks, task, next)
  {
    if (task->phase == PHASE_STORING)
      continue;
    if (worker->report.draining)
      task_end_run (sched, task, now, why);
    else
      end_lost_run (sched, task, now, why, proven, one_cause);
  }
  crash_end_jobs (sched, now);
}

void
crash_end_missing_run (struct kq_sched *sched, struct task *task,
                       struct kq_sched_now now, const char *why,
                       bool one_cause)
{
  const struct worker *worker = task->worker;

  if (worker->report.incarnation_ms > task->incarnation_ms
      && task->incarnation_ms != 0 && !worker->ended_as_announced)
    end_lost_run (sched, task, now, why, true, one_cause);
  else
    task_end_run (sched, task, now, why);
}

#include "node/owner.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#include "base/err.h"
#include "log/log.h"
#include "node/gauges.h"
#include "node/journal.h"
#include "node/restore.h"
#include "node/roster.h"
#include "node/turns.h"
#include "platform/advice.h"
#include "platform/orders.h"
#include "platform/submission.h"

#define TICK_SEC 0.1

/* The state of the cell is logged each so many ticks: 5 s. */
#define TICKS_PER_REPORT 50

/* An owner that the store has not confirmed for this long no longer says
   that it does not know a job, and takes none: another may own them. */
#define UNSURE_AFTER (1000 * KQ_USEC_PER_MSEC)

/* An owner that is not confirmed for this long ends its term: its leases have
   lapsed by then (sched/internal.h). */
#define GIVE_UP_AFTER (12 * KQ_USEC_PER_SEC)

/* Looks that one turn sends: the first ones of a new owner to 3,000 workers
   take seconds, in which registrations must be read and beats written.  The
   next turn follows at once. */
#define LOOKS_PER_TURN 64
#define NEXT_TURN_SEC 0.001

struct waiting
{
  struct kq_sched_effect effect;
  struct waiting *prev;
  struct waiting *next;
};

struct kq_owner
{
  struct ev_loop *loop;
  struct kq_owner_handler handler;
  struct kq_http_client *caller;
  struct kq_store *store;
  struct kq_journal *journal;
  struct kq_restore *restore;
  struct kq_roster *roster;
  struct kq_orders *orders;
  struct kq_advice *advice;
  struct kq_sched *sched;
  struct waiting *waiting; /* effects that wait for the journal */
  uint64_t stored;
  kq_usec confirmed_at;
  struct kq_turns turns;
  ev_prepare prepare;
  ev_check check;
  ev_timer tick;
  ev_timer next_turn; /* wakes the loop for looks that are left */
  int ticks;
  bool active;
  bool over;
  bool stale; /* something happened since tasks were placed */
};

static struct kq_sched_now
now_of (void)
{
  return (struct kq_sched_now){ .mono = kq_clock_now (),
                                .wall_ms
                                = kq_clock_wall () / KQ_USEC_PER_MSEC };
}

static void
take_event (struct kq_owner *owner, const struct kq_sched_event *event)
{
  kq_sched_event (owner->sched, now_of (), event);
  owner->stale = true;
}

static void
answer (struct kq_owner *owner, uint64_t token, int status, int err)
{
  struct kq_owner_answer told
      = { .token = token, .status = status, .err = err };

  owner->handler.on_answer (owner->handler.arg, &told);
}

static void
end_term (struct kq_owner *owner, const char *why)
{
  if (owner->over)
    return;
  owner->over = true;
  kq_log (KQ_LOG_WARN, "owner", "term over", 0, "why", why, NULL);
  owner->handler.on_deposed (owner->handler.arg);
}

static void
carry_out_order (struct kq_owner *owner, const struct kq_sched_effect *effect)
{
  const char *worker = effect->u.order.worker;
  const struct kq_sched_run *run = &effect->u.order.run;
  struct kq_sched_start start;
  const char *address;

  if (effect->kind == KQ_SCHED_FX_START)
    {
      if (kq_sched_start_order (owner->sched, now_of (), effect, &start) == 0)
        kq_orders_start (owner->orders, worker, run, &start);
      else
        owner->stale = true;
      return;
    }
  address = kq_sched_worker_address (owner->sched, worker);
  if (address == NULL || address[0] == '\0')
    return;
  if (effect->kind == KQ_SCHED_FX_STOP)
    kq_orders_stop (owner->orders, worker, address, run);
  else
    kq_orders_pace (owner->orders, worker, address, run,
                    effect->u.order.percent);
}

static void
carry_out (struct kq_owner *owner, const struct kq_sched_effect *effect)
{
  struct kq_owner_answer told = { .token = effect->u.answer.token };

  switch (effect->kind)
    {
    case KQ_SCHED_FX_RESULT:
      told.status = effect->u.answer.status;
      told.err = effect->u.answer.err;
      told.state = effect->u.answer.state;
      told.pending = effect->u.answer.pending;
      owner->handler.on_answer (owner->handler.arg, &told);
      break;
    case KQ_SCHED_FX_START:
    case KQ_SCHED_FX_STOP:
    case KQ_SCHED_FX_PACE:
      carry_out_order (owner, effect);
      break;
    case KQ_SCHED_FX_SUPERSEDED:
      end_term (owner, "a worker has seen a later fence");
      break;
    }
}

static void
hold_back (struct kq_owner *owner, const struct kq_sched_effect *effect)
{
  struct waiting *waiting = malloc (sizeof *waiting);

  if (waiting == NULL)
    {
      kq_log (KQ_LOG_ERROR, "owner", "effect lost", KQ_ENOMEM, NULL);
      return;
    }
  waiting->effect = *effect;
  DL_APPEND (owner->waiting, waiting);
}

static void
take_effects (struct kq_owner *owner)
{
  struct kq_sched_effect effect;

  while (!owner->over && kq_sched_next_effect (owner->sched, &effect))
    if (effect.after <= owner->stored)
      carry_out (owner, &effect);
    else
      hold_back (owner, &effect);
}

static void
release_effects (struct kq_owner *owner)
{
  struct waiting *waiting;
  struct waiting *next;

  DL_FOREACH_SAFE (owner->waiting, waiting, next)
  {
    if (waiting->effect.after > owner->stored)
      continue;
    DL_DELETE (owner->waiting, waiting);
    carry_out (owner, &waiting->effect);
    free (waiting);
    if (owner->over)
      return;
  }
}

static void
send_looks (struct kq_owner *owner)
{
  struct kq_sched_poll look;
  struct kq_sched_advice_request question;
  int sent = 0;

  for (; sent < LOOKS_PER_TURN
         && kq_sched_next_poll (owner->sched, now_of (), &look);
       sent++)
    kq_orders_poll (owner->orders, &look);
  if (sent == LOOKS_PER_TURN)
    ev_timer_start (owner->loop, &owner->next_turn);
  if (kq_sched_next_advice_request (owner->sched, now_of (), &question))
    kq_advice_request (owner->advice, &question);
}

/* Carries the state forward before the loop waits again. */
static void
pump (struct kq_owner *owner)
{
  if (!owner->active || owner->over)
    return;
  kq_turns_mark (&owner->turns, KQ_TURN_EVENTS);
  if (kq_clock_now () - owner->confirmed_at > GIVE_UP_AFTER)
    {
      end_term (owner, "not confirmed by the store");
      return;
    }
  if (owner->stale)
    {
      owner->stale = false;
      kq_sched_place (owner->sched, now_of ());
    }
  kq_turns_mark (&owner->turns, KQ_TURN_PLACE);
  kq_journal_write (owner->journal, owner->sched);
  kq_turns_mark (&owner->turns, KQ_TURN_JOURNAL);
  take_effects (owner);
  kq_turns_mark (&owner->turns, KQ_TURN_EFFECTS);
  if (owner->over)
    return;
  send_looks (owner);
  kq_turns_mark (&owner->turns, KQ_TURN_LOOKS);
  kq_sched_set_poll_interval (owner->sched, kq_turns_end (&owner->turns));
}

static void
on_prepare (struct ev_loop *loop, ev_prepare *prepare, int events)
{
  pump (prepare->data);
}

static void
on_woken (struct ev_loop *loop, ev_check *check, int events)
{
  struct kq_owner *owner = check->data;

  kq_turns_begin (&owner->turns);
}

static void
on_next_turn (struct ev_loop *loop, ev_timer *timer, int events)
{
  /* Waking the loop is all. */
}

static void
on_tick (struct ev_loop *loop, ev_timer *timer, int events)
{
  struct kq_owner *owner = timer->data;

  if (!owner->active || owner->over)
    return;
  kq_sched_tick (owner->sched, now_of ());
  owner->stale = true;
  if (owner->ticks++ % TICKS_PER_REPORT == 0)
    {
      struct kq_sched_counts counts;

      kq_sched_count (owner->sched, &counts);
      kq_gauges_log (&counts);
    }
}

static void
on_restored (void *arg)
{
  struct kq_owner *owner = arg;
  struct kq_sched_counts counts;
  char jobs[16];
  char bound[16];

  kq_sched_finish_restore (owner->sched, now_of ());
  kq_sched_count (owner->sched, &counts);
  snprintf (jobs, sizeof jobs, "%d", counts.open_jobs);
  snprintf (bound, sizeof bound, "%d", counts.bound_tasks);
  kq_log (KQ_LOG_INFO, "owner", "active", 0, "open_jobs", jobs, "bound_tasks",
          bound, NULL);
  owner->active = true;
  owner->stale = true;
}

static void
on_stored (void *arg, uint64_t position)
{
  struct kq_owner *owner = arg;
  struct kq_sched_event event = { .kind = KQ_SCHED_EV_STORED };

  kq_owner_confirm (owner, kq_journal_confirmed_at (owner->journal));
  if (position == 0)
    {
      kq_restore_start (owner->restore);
      return;
    }
  owner->stored = position;
  event.u.stored = position;
  take_event (owner, &event);
  release_effects (owner);
}

static void
on_fenced (void *arg)
{
  end_term (arg, "the store has a later epoch");
}

static void
on_report (void *arg, const struct kq_sched_report *report)
{
  struct kq_sched_event event = { .kind = KQ_SCHED_EV_WORKER };

  event.u.report = report;
  take_event (arg, &event);
}

static void
on_worker_gone (void *arg, const char *worker)
{
  struct kq_sched_event event = { .kind = KQ_SCHED_EV_WORKER_GONE };

  event.u.worker = worker;
  take_event (arg, &event);
}

static void
on_order (void *arg, const struct kq_order_outcome *outcome)
{
  struct kq_sched_event event = { .kind = outcome->kind };

  event.u.order.worker = outcome->worker;
  event.u.order.run = outcome->run;
  event.u.order.answer = outcome->answer;
  event.u.order.local_ms = outcome->local_ms;
  event.u.order.sent_at = outcome->sent_at;
  take_event (arg, &event);
}

static void
on_poll (void *arg, const struct kq_poll_outcome *outcome)
{
  struct kq_sched_event event = { .kind = KQ_SCHED_EV_POLLED };

  event.u.listed.worker = outcome->worker;
  event.u.listed.answer = outcome->answer;
  event.u.listed.sent_at = outcome->sent_at;
  event.u.listed.listing = &outcome->listing;
  take_event (arg, &event);
}

static void
on_advice (void *arg, const struct kq_sched_advice *advice)
{
  struct kq_sched_event event = { .kind = KQ_SCHED_EV_ADVISED };

  event.u.advice = advice;
  take_event (arg, &event);
}

static int
create_parts (struct kq_owner *owner, const char *store, const char *advice,
              int64_t term)
{
  struct kq_journal_handler journal
      = { .arg = owner, .on_stored = on_stored, .on_fenced = on_fenced };
  struct kq_orders_handler orders
      = { .arg = owner, .on_order = on_order, .on_poll = on_poll };
  struct kq_roster_handler roster
      = { .arg = owner, .on_report = on_report, .on_gone = on_worker_gone };

  owner->sched = kq_sched_create ();
  owner->caller = kq_http_client_create (owner->loop, owner);
  if (owner->sched == NULL || owner->caller == NULL)
    return KQ_ENOMEM;
  owner->store = kq_store_create (owner->caller, store);
  owner->orders = kq_orders_create (owner->caller, &orders);
  owner->advice = kq_advice_create (owner->caller, advice, on_advice, owner);
  if (owner->store == NULL || owner->orders == NULL || owner->advice == NULL)
    return KQ_ENOMEM;
  kq_orders_set_fence (owner->orders, term);
  owner->journal
      = kq_journal_create (owner->loop, owner->store, term, &journal);
  owner->restore = kq_restore_create (owner->loop, owner->store, owner->sched,
                                      on_restored, owner);
  owner->roster = kq_roster_create (owner->loop, owner->store, &roster);
  if (owner->journal == NULL || owner->restore == NULL
      || owner->roster == NULL)
    return KQ_ENOMEM;
  return 0;
}

struct kq_owner *
kq_owner_create (struct ev_loop *loop, const char *store, const char *advice,
                 int64_t term, const struct kq_sched_config *config,
                 const struct kq_owner_handler *handler)
{
  struct kq_owner *owner = calloc (1, sizeof *owner);
  char number[24];

  if (owner == NULL)
    return NULL;
  owner->loop = loop;
  owner->handler = *handler;
  owner->confirmed_at = kq_clock_now ();
  ev_prepare_init (&owner->prepare, on_prepare);
  owner->prepare.data = owner;
  ev_timer_init (&owner->tick, on_tick, TICK_SEC, TICK_SEC);
  owner->tick.data = owner;
  ev_timer_init (&owner->next_turn, on_next_turn, NEXT_TURN_SEC, 0);
  ev_prepare_start (loop, &owner->prepare);
  ev_check_init (&owner->check, on_woken);
  owner->check.data = owner;
  ev_check_start (loop, &owner->check);
  kq_turns_begin (&owner->turns);
  ev_timer_start (loop, &owner->tick);
  if (create_parts (owner, store, advice, term) != 0)
    {
      kq_owner_destroy (owner);
      return NULL;
    }
  snprintf (number, sizeof number, "%" PRId64, term);
  kq_log (KQ_LOG_INFO, "owner", "term begins", 0, "term", number, NULL);
  kq_owner_configure (owner, config);
  kq_journal_open (owner->journal);
  kq_roster_start (owner->roster);
  return owner;
}

void
kq_owner_destroy (struct kq_owner *owner)
{
  struct waiting *waiting;
  struct waiting *next;

  if (owner == NULL)
    return;
  ev_prepare_stop (owner->loop, &owner->prepare);
  ev_check_stop (owner->loop, &owner->check);
  ev_timer_stop (owner->loop, &owner->tick);
  ev_timer_stop (owner->loop, &owner->next_turn);
  kq_roster_destroy (owner->roster);
  kq_restore_destroy (owner->restore);
  kq_journal_destroy (owner->journal);
  kq_http_client_destroy (owner->caller);
  kq_orders_destroy (owner->orders);
  kq_advice_destroy (owner->advice);
  kq_store_destroy (owner->store);
  kq_sched_destroy (owner->sched);
  DL_FOREACH_SAFE (owner->waiting, waiting, next) { free (waiting); }
  free (owner);
}

static void
submit (struct kq_owner *owner, struct kq_sched_event *event, const void *body,
        size_t size)
{
  struct kq_sched_spec spec;
  int err = kq_submission_read (body, size, &spec);

  if (err != 0)
    {
      answer (owner, event->u.call.token, err == KQ_ENOMEM ? 503 : 400, err);
      return;
    }
  event->kind = KQ_SCHED_EV_SUBMIT;
  event->u.call.spec = &spec;
  event->u.call.body = body;
  event->u.call.body_size = size;
  take_event (owner, event);
  event->u.call.spec = NULL;
}

void
kq_owner_ask (struct kq_owner *owner, uint64_t token, enum kq_ask_verb verb,
              uint64_t job, const char *queue, const void *body, size_t size)
{
  struct kq_sched_event event = { .kind = KQ_SCHED_EV_QUERY };
  bool unsure = kq_clock_now () - owner->confirmed_at > UNSURE_AFTER
                || kq_journal_is_failing (owner->journal);

  if (!owner->active || owner->over
      || (unsure && verb != KQ_ASK_PENDING && verb != KQ_ASK_STATE)
      || (unsure && verb == KQ_ASK_STATE
          && !kq_sched_has_job (owner->sched, job)))
    {
      answer (owner, token, 0, KQ_ELOG_DOWN);
      return;
    }
  event.u.call.token = token;
  event.u.call.job = job;
  event.u.call.queue = queue;
  switch (verb)
    {
    case KQ_ASK_SUBMIT:
      submit (owner, &event, body, size);
      return;
    case KQ_ASK_STATE:
      event.kind = KQ_SCHED_EV_QUERY;
      break;
    case KQ_ASK_CANCEL:
      event.kind = KQ_SCHED_EV_CANCEL;
      break;
    case KQ_ASK_PENDING:
      event.kind = KQ_SCHED_EV_PENDING;
      break;
    }
  take_event (owner, &event);
}

void
kq_owner_configure (struct kq_owner *owner,
                    const struct kq_sched_config *config)
{
  struct kq_sched_event event = { .kind = KQ_SCHED_EV_CONFIG };

  if (config == NULL)
    return;
  event.u.config = config;
  take_event (owner, &event);
}

void
kq_owner_confirm (struct kq_owner *owner, kq_usec sent_at)
{
  if (sent_at <= owner->confirmed_at)
    return;
  owner->confirmed_at = sent_at;
  kq_sched_confirm_term (owner->sched, sent_at);
}

bool
kq_owner_is_active (const struct kq_owner *owner)
{
  return owner->active && !owner->over;
}

void
kq_owner_count (const struct kq_owner *owner, struct kq_sched_counts *counts)
{
  kq_sched_count (owner->sched, counts);
}

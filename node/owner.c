#include "node/owner.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/err.h"
#include "log/log.h"
#include "node/deferred.h"
#include "node/dispatch.h"
#include "node/gauges.h"
#include "node/journal.h"
#include "node/refusal.h"
#include "node/restore.h"
#include "node/roster.h"
#include "node/turns.h"
#include "platform/advice.h"
#include "platform/submission.h"

#define STATUS_UNAVAILABLE 503

#define TICK_SEC 0.1

/* The state of the cell is logged every 50 ticks, that is every 5 s. */
#define TICKS_PER_STATE_LOG 50

/* An owner that the store has not confirmed for this long accepts no jobs and
   no longer reports a job as unknown, because another host may be the owner
   by now. */
#define UNCONFIRMED_TIMEOUT_US (1000 * KQ_USEC_PER_MSEC)

/* An owner that the store has not confirmed for this long ends its term; its
   leases have lapsed by then (sched/internal.h). */
#define TERM_TIMEOUT_US (12 * KQ_USEC_PER_SEC)

/* Maximum number of polls sent in one iteration of the event loop. The first
   polls of a new owner to 3,000 workers take seconds, in which it must also
   read registrations and write heartbeats. The next iteration follows at
   once. */
#define MAX_POLLS_PER_ITERATION 64
#define NEXT_ITERATION_SEC 0.001

/* Limit in bytes of the key and the fields of a JobRecord beside the body. */
#define JOB_RECORD_OVERHEAD 256

struct kq_owner
{
  struct ev_loop *loop;
  struct kq_owner_handler handler;
  struct kq_http_client *http_client;
  struct kq_store *store;
  struct kq_journal *journal;
  struct kq_restore *restore;
  struct kq_registrations *registrations;
  struct kq_dispatch *dispatch;
  struct kq_advice *advice;
  struct kq_sched *sched;
  struct kq_deferred *deferred; /* effects that wait for the store */
  struct kq_refusal refusal;    /* while the store is away */
  size_t max_body_bytes;        /* of a job whose record the store takes */
  uint64_t stored_position; /* journal position up to which all is stored */
  kq_usec confirmed_at;     /* when the last call was sent by which the store
                               confirmed the term */
  kq_usec first_polls_at;
  struct kq_loop_timing timing;
  ev_prepare prepare;
  ev_check check;
  ev_timer tick;
  ev_timer next_iteration; /* wakes the loop to send the remaining polls */
  int ticks;
  struct kq_idset known_ids; /* of the jobs at the last closure of a queue */
  int64_t known_closure;     /* number of that closure */
  bool active;
  bool ended;
  bool needs_placement; /* an event occurred after the last placement */
};

static struct kq_sched_now
current_time (void)
{
  return (struct kq_sched_now){ .mono = kq_clock_now (),
                                .wall_ms
                                = kq_clock_wall () / KQ_USEC_PER_MSEC };
}

static void
handle_event (struct kq_owner *owner, const struct kq_sched_event *event)
{
  kq_sched_event (owner->sched, current_time (), event);
  owner->needs_placement = true;
}

static void
report_result (struct kq_owner *owner, uint64_t token, int status, int err)
{
  struct kq_owner_result result
      = { .token = token, .status = status, .err = err };

  owner->handler.on_result (owner->handler.arg, &result);
}

static void
end_term (struct kq_owner *owner, const char *reason)
{
  if (owner->ended)
    return;
  owner->ended = true;
  kq_log (KQ_LOG_WARN, "owner", "term ended", 0, "why", reason, NULL);
  owner->handler.on_superseded (owner->handler.arg);
}

/* Fills ORDER with a start order.  Returns false if it must not be sent. */
static bool
fill_start (struct kq_owner *owner, const struct kq_sched_effect *effect,
            struct kq_sched_start *start, struct kq_order *order)
{
  if (kq_sched_start_order (owner->sched, current_time (), effect, start) != 0)
    {
      owner->needs_placement = true;
      return false;
    }
  order->kind = KQ_ORDER_START;
  order->address = start->address;
  order->lease_end_ms = start->lease_end_ms;
  order->text = start->text;
  order->checkpoint = start->checkpoint;
  order->ticket = start->ticket;
  return true;
}

static void
send_order (struct kq_owner *owner, struct kq_order *order)
{
  order->fence = kq_sched_order_fence (owner->sched, order->worker);
  kq_dispatch_send (owner->dispatch, order);
}

static void
execute_order (struct kq_owner *owner, const struct kq_sched_effect *effect)
{
  struct kq_order order
      = { .kind
          = effect->kind == KQ_SCHED_FX_PACE ? KQ_ORDER_PACE : KQ_ORDER_STOP,
          .worker = effect->u.order.worker,
          .run = effect->u.order.run,
          .percent = effect->u.order.percent };
  struct kq_sched_start start;

  if (effect->kind == KQ_SCHED_FX_START)
    {
      if (!fill_start (owner, effect, &start, &order))
        return;
    }
  else
    order.address = kq_sched_worker_address (owner->sched, order.worker);
  if (order.address != NULL && order.address[0] != '\0')
    send_order (owner, &order);
}

static bool
execute_effect (void *arg, const struct kq_sched_effect *effect)
{
  struct kq_owner *owner = arg;
  struct kq_owner_result result = { .token = effect->u.result.token };

  switch (effect->kind)
    {
    case KQ_SCHED_FX_RESULT:
      result.status = effect->u.result.status;
      result.err = effect->u.result.err;
      result.state = effect->u.result.state;
      result.pending = effect->u.result.pending;
      result.retry_ms = effect->u.result.retry_ms;
      if (result.status == STATUS_UNAVAILABLE && result.retry_ms == 0)
        result.retry_ms
            = kq_refusal_retry_ms (&owner->refusal, effect->u.result.job);
      owner->handler.on_result (owner->handler.arg, &result);
      break;
    case KQ_SCHED_FX_START:
    case KQ_SCHED_FX_STOP:
    case KQ_SCHED_FX_PACE:
      execute_order (owner, effect);
      break;
    case KQ_SCHED_FX_SUPERSEDED:
      end_term (owner, "a worker has accepted orders with a later fence");
      break;
    }
  return !owner->ended;
}

static void
process_effects (struct kq_owner *owner)
{
  struct kq_sched_effect effect;

  while (!owner->ended && kq_sched_next_effect (owner->sched, &effect))
    if (effect.after <= owner->stored_position)
      execute_effect (owner, &effect);
    else
      kq_deferred_add (owner->deferred, &effect);
}

static void
finish_withdrawals (struct kq_owner *owner, int count)
{
  if (count == 0)
    return;
  owner->needs_placement = true;
  kq_deferred_run (owner->deferred, owner->stored_position);
}

static void
send_poll (struct kq_owner *owner, const struct kq_sched_poll *poll)
{
  struct kq_order order = { .kind = KQ_ORDER_POLL,
                            .worker = poll->worker,
                            .address = poll->address,
                            .lease_end_ms = poll->lease_end_ms,
                            .acked = poll->acked,
                            .wait_ms = poll->wait_ms };

  send_order (owner, &order);
}

static void
send_polls (struct kq_owner *owner)
{
  struct kq_sched_poll poll;
  struct kq_sched_advice_request request;
  int sent = 0;

  if (kq_clock_now () < owner->first_polls_at)
    return;
  for (; sent < MAX_POLLS_PER_ITERATION
         && kq_sched_next_poll (owner->sched, current_time (), &poll);
       sent++)
    send_poll (owner, &poll);
  if (sent == MAX_POLLS_PER_ITERATION)
    ev_timer_start (owner->loop, &owner->next_iteration);
  if (kq_sched_next_advice_request (owner->sched, current_time (), &request))
    kq_advice_request (owner->advice, &request);
}

/* Places tasks, writes the journal, executes effects and sends polls; runs
   before the loop waits. */
static void
advance (struct kq_owner *owner)
{
  if (!owner->active || owner->ended)
    return;
  kq_loop_timing_mark (&owner->timing, KQ_LOOP_EVENTS);
  if (kq_clock_now () - owner->confirmed_at > TERM_TIMEOUT_US)
    {
      end_term (owner, "the store has not confirmed the term");
      return;
    }
  if (owner->needs_placement)
    {
      owner->needs_placement = false;
      kq_sched_place (owner->sched, current_time ());
    }
  kq_loop_timing_mark (&owner->timing, KQ_LOOP_PLACE);
  kq_journal_write (owner->journal, owner->sched);
  kq_loop_timing_mark (&owner->timing, KQ_LOOP_JOURNAL);
  process_effects (owner);
  kq_loop_timing_mark (&owner->timing, KQ_LOOP_EFFECTS);
  if (owner->ended)
    return;
  send_polls (owner);
  kq_dispatch_flush (owner->dispatch);
  kq_loop_timing_mark (&owner->timing, KQ_LOOP_POLLS);
  kq_sched_set_poll_interval (owner->sched,
                              kq_loop_timing_end (&owner->timing));
}

static void
on_prepare (struct ev_loop *loop, ev_prepare *prepare, int events)
{
  advance (prepare->data);
}

static void
on_wakeup (struct ev_loop *loop, ev_check *check, int events)
{
  struct kq_owner *owner = check->data;

  kq_loop_timing_begin (&owner->timing);
}

static void
on_next_iteration (struct ev_loop *loop, ev_timer *timer, int events)
{
  /* The timer only wakes the loop; on_prepare() sends the polls. */
}

static void
on_tick (struct ev_loop *loop, ev_timer *timer, int events)
{
  struct kq_owner *owner = timer->data;

  if (!owner->active || owner->ended)
    return;
  kq_sched_tick (owner->sched, current_time ());
  finish_withdrawals (owner, kq_refusal_tick (&owner->refusal));
  owner->needs_placement = true;
  if (owner->ticks++ % TICKS_PER_STATE_LOG == 0)
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

  kq_sched_finish_restore (owner->sched, current_time ());
  kq_sched_count (owner->sched, &counts);
  snprintf (jobs, sizeof jobs, "%d", counts.open_jobs);
  snprintf (bound, sizeof bound, "%d", counts.bound_tasks);
  kq_log (KQ_LOG_INFO, "owner", "active", 0, "open_jobs", jobs, "bound_tasks",
          bound, NULL);
  owner->active = true;
  owner->needs_placement = true;
}

static void
note_confirmation (struct kq_owner *owner, kq_usec sent_at)
{
  if (sent_at > owner->confirmed_at)
    owner->confirmed_at = sent_at;
}

static void
on_stored (void *arg, uint64_t position)
{
  struct kq_owner *owner = arg;
  struct kq_sched_event event = { .kind = KQ_SCHED_EV_STORED };

  note_confirmation (owner, kq_journal_confirmed_at (owner->journal));
  if (position == 0)
    {
      kq_restore_start (owner->restore);
      return;
    }
  owner->stored_position = position;
  event.u.stored = position;
  handle_event (owner, &event);
  kq_deferred_run (owner->deferred, owner->stored_position);
}

static void
on_maybe_stored (void *arg, uint64_t position)
{
  struct kq_owner *owner = arg;

  kq_sched_note_maybe_stored (owner->sched, position);
}

static void
on_attempt (void *arg, const struct kq_store_append_result *result)
{
  struct kq_owner *owner = arg;

  finish_withdrawals (owner,
                      kq_refusal_note_attempt (&owner->refusal, result));
}

static void
on_fenced (void *arg)
{
  end_term (arg, "the store has a later epoch");
}

static void
on_registration (void *arg, const struct kq_sched_registration *registration)
{
  struct kq_owner *owner = arg;
  struct kq_sched_event event = { .kind = KQ_SCHED_EV_WORKER };

  kq_dispatch_set_worker (owner->dispatch, registration->id,
                          registration->zone);
  event.u.report = registration;
  handle_event (owner, &event);
}

static void
on_registration_removed (void *arg, const char *worker)
{
  struct kq_owner *owner = arg;
  struct kq_sched_event event = { .kind = KQ_SCHED_EV_WORKER_GONE };

  kq_dispatch_remove_worker (owner->dispatch, worker);
  event.u.worker = worker;
  handle_event (owner, &event);
}

static void
on_registrations_read (void *arg, kq_usec sent_at)
{
  struct kq_owner *owner = arg;

  kq_sched_note_registrations (owner->sched, sent_at);
}

static void
on_order_result (void *arg, const struct kq_order_result *result)
{
  struct kq_sched_event event = kq_order_event (result);

  handle_event (arg, &event);
}

static void
on_relay_fenced (void *arg)
{
  end_term (arg, "a relay follows an owner with a later fence");
}

static void
on_advice (void *arg, const struct kq_sched_advice *advice)
{
  struct kq_sched_event event = { .kind = KQ_SCHED_EV_ADVISED };

  event.u.advice = advice;
  handle_event (arg, &event);
}

static int
create_modules (struct kq_owner *owner, const struct kq_owner_context *context)
{
  int64_t term = kq_term_own_term (context->term);
  struct kq_journal_handler journal = { .arg = owner,
                                        .on_stored = on_stored,
                                        .on_fenced = on_fenced,
                                        .on_maybe_stored = on_maybe_stored,
                                        .on_attempt = on_attempt };
  struct kq_dispatch_handler dispatch = { .arg = owner,
                                          .on_result = on_order_result,
                                          .on_fenced = on_relay_fenced };
  struct kq_registrations_handler registrations
      = { .arg = owner,
          .on_registration = on_registration,
          .on_removed = on_registration_removed,
          .on_caught_up = on_registrations_read };

  owner->sched = kq_sched_create ();
  owner->deferred = kq_deferred_create (execute_effect, owner);
  owner->http_client = kq_http_client_create (owner->loop, owner);
  if (owner->sched == NULL || owner->deferred == NULL
      || owner->http_client == NULL)
    return KQ_ENOMEM;
  owner->store = kq_store_create (owner->http_client, context->store);
  owner->dispatch
      = kq_dispatch_create (owner->loop, owner->http_client, context->hop,
                            context->hosts, term, &dispatch);
  owner->advice = kq_advice_create (owner->http_client, context->advice,
                                    on_advice, owner);
  if (owner->store == NULL || owner->dispatch == NULL || owner->advice == NULL)
    return KQ_ENOMEM;
  kq_sched_set_settings (owner->sched, &context->settings);
  kq_restore_terms (owner->sched, context->term);
  kq_sched_note_registrations (owner->sched, kq_clock_now ());
  owner->journal = kq_journal_create (owner->loop, owner->store,
                                      &context->store_limits, term, &journal);
  owner->restore = kq_restore_create (owner->loop, owner->store, owner->sched,
                                      on_restored, owner);
  owner->registrations
      = kq_registrations_create (owner->loop, owner->store, &registrations);
  if (owner->journal == NULL || owner->restore == NULL
      || owner->registrations == NULL)
    return KQ_ENOMEM;
  owner->refusal = (struct kq_refusal){ .sched = owner->sched,
                                        .journal = owner->journal,
                                        .deferred = owner->deferred };
  return 0;
}

struct kq_owner *
kq_owner_create (const struct kq_owner_context *context,
                 const struct kq_sched_config *config,
                 const struct kq_owner_handler *handler)
{
  struct kq_owner *owner = calloc (1, sizeof *owner);
  struct ev_loop *loop = context->loop;
  char number[24];

  if (owner == NULL)
    return NULL;
  owner->loop = loop;
  owner->handler = *handler;
  owner->confirmed_at = kq_clock_now ();
  owner->first_polls_at = context->first_polls_at;
  owner->max_body_bytes
      = context->store_limits.record_bytes - JOB_RECORD_OVERHEAD;
  ev_prepare_init (&owner->prepare, on_prepare);
  owner->prepare.data = owner;
  ev_timer_init (&owner->tick, on_tick, TICK_SEC, TICK_SEC);
  owner->tick.data = owner;
  ev_timer_init (&owner->next_iteration, on_next_iteration, NEXT_ITERATION_SEC,
                 0);
  ev_prepare_start (loop, &owner->prepare);
  ev_check_init (&owner->check, on_wakeup);
  owner->check.data = owner;
  ev_check_start (loop, &owner->check);
  kq_loop_timing_begin (&owner->timing);
  ev_timer_start (loop, &owner->tick);
  if (create_modules (owner, context) != 0)
    {
      kq_owner_destroy (owner);
      return NULL;
    }
  snprintf (number, sizeof number, "%" PRId64,
            kq_term_own_term (context->term));
  kq_log (KQ_LOG_INFO, "owner", "term begins", 0, "term", number, NULL);
  kq_owner_configure (owner, config);
  kq_owner_evacuate (owner, context->zones, context->zones_read_at);
  kq_journal_open (owner->journal);
  kq_registrations_start (owner->registrations);
  return owner;
}

void
kq_owner_destroy (struct kq_owner *owner)
{
  if (owner == NULL)
    return;
  ev_prepare_stop (owner->loop, &owner->prepare);
  ev_check_stop (owner->loop, &owner->check);
  ev_timer_stop (owner->loop, &owner->tick);
  ev_timer_stop (owner->loop, &owner->next_iteration);
  kq_registrations_destroy (owner->registrations);
  kq_restore_destroy (owner->restore);
  kq_journal_destroy (owner->journal);
  kq_http_client_destroy (owner->http_client);
  kq_dispatch_destroy (owner->dispatch);
  kq_advice_destroy (owner->advice);
  kq_store_destroy (owner->store);
  kq_sched_destroy (owner->sched);
  kq_deferred_destroy (owner->deferred);
  free (owner);
}

static void
submit (struct kq_owner *owner, struct kq_sched_event *event, const void *body,
        size_t size)
{
  struct kq_sched_spec spec;
  int err = size <= owner->max_body_bytes
                ? kq_submission_read (body, size, &spec)
                : KQ_ETOOBIG;

  if (err != 0)
    {
      report_result (owner, event->u.call.token, err == KQ_ENOMEM ? 503 : 400,
                     err);
      return;
    }
  event->kind = KQ_SCHED_EV_SUBMIT;
  event->u.call.spec = &spec;
  event->u.call.body = body;
  event->u.call.body_size = size;
  handle_event (owner, event);
  event->u.call.spec = NULL;
}

static void
refuse_while_away (struct kq_owner *owner, uint64_t token, uint64_t job)
{
  struct kq_owner_result result
      = { .token = token, .status = STATUS_UNAVAILABLE, .err = KQ_ELOG_DOWN };

  result.retry_ms = kq_refusal_retry_ms (&owner->refusal, job);
  kq_gauges_count_refusal ();
  owner->handler.on_result (owner->handler.arg, &result);
}

/* Whether another owner may have to decide about the request, since the store
   has not confirmed the term lately. */
static bool
is_for_another_owner (const struct kq_owner *owner, enum kq_hop_verb verb,
                      uint64_t job)
{
  bool unconfirmed
      = kq_clock_now () - owner->confirmed_at > UNCONFIRMED_TIMEOUT_US
        || kq_journal_is_failing (owner->journal);

  return unconfirmed && verb != KQ_HOP_PENDING
         && (verb != KQ_HOP_STATE || !kq_sched_has_job (owner->sched, job));
}

void
kq_owner_handle_request (struct kq_owner *owner, uint64_t token,
                         enum kq_hop_verb verb, uint64_t job,
                         const char *queue, const void *body, size_t size)
{
  struct kq_sched_event event = { .kind = KQ_SCHED_EV_QUERY };
  bool away = kq_refusal_is_away (&owner->refusal);

  if (!owner->active || owner->ended
      || (!away && is_for_another_owner (owner, verb, job)))
    {
      report_result (owner, token, 0, KQ_ELOG_DOWN);
      return;
    }
  if (kq_refusal_applies (&owner->refusal, verb, job))
    {
      refuse_while_away (owner, token, job);
      return;
    }
  event.u.call.token = token;
  event.u.call.job = job;
  event.u.call.queue = queue;
  switch (verb)
    {
    case KQ_HOP_SUBMIT:
      submit (owner, &event, body, size);
      return;
    case KQ_HOP_STATE:
      event.kind = KQ_SCHED_EV_QUERY;
      break;
    case KQ_HOP_CANCEL:
      event.kind = KQ_SCHED_EV_CANCEL;
      break;
    case KQ_HOP_PENDING:
      event.kind = KQ_SCHED_EV_PENDING;
      break;
    case KQ_HOP_ORDERS:
    case KQ_HOP_EXPLAIN:
    case KQ_HOP_FEED:
      report_result (owner, token, 0, KQ_EINVAL);
      return;
    }
  handle_event (owner, &event);
}

void
kq_owner_configure (struct kq_owner *owner,
                    const struct kq_sched_config *config)
{
  struct kq_sched_event event = { .kind = KQ_SCHED_EV_CONFIG };

  if (config == NULL)
    return;
  event.u.config = config;
  handle_event (owner, &event);
}

void
kq_owner_evacuate (struct kq_owner *owner, const struct kq_sched_zones *zones,
                   kq_usec read_at)
{
  struct kq_sched_event event = { .kind = KQ_SCHED_EV_EVACUATE };

  if (zones == NULL || read_at == 0)
    return;
  event.u.zones = zones;
  handle_event (owner, &event);
  kq_sched_note_zones (owner->sched, read_at);
}

void
kq_owner_confirm (struct kq_owner *owner, kq_usec sent_at, int64_t fence)
{
  note_confirmation (owner, sent_at);
  /* Leases are renewed on the strength of records of the election alone: a
     successor reads when the last of them was stored. */
  kq_sched_confirm_term (owner->sched, sent_at);
  kq_sched_note_fence (owner->sched, fence);
}

void
kq_owner_note_term_append (struct kq_owner *owner,
                           const struct kq_store_append_result *result)
{
  if (owner->active && !owner->ended)
    finish_withdrawals (owner,
                        kq_refusal_note_term_append (&owner->refusal, result));
}

bool
kq_owner_is_active (const struct kq_owner *owner)
{
  return owner->active && !owner->ended;
}

/* No job of a closed queue is accepted, so that the IDs hold until the next
   closure. */
int
kq_owner_closures (struct kq_owner *owner, struct kq_sched_closure *closures,
                   int max, const struct kq_idset **known)
{
  int count = kq_sched_closures (owner->sched, current_time (), closures, max);
  int64_t number = kq_sched_closure_number (owner->sched);

  if (count > 0 && number != owner->known_closure)
    {
      owner->known_closure = number;
      memset (&owner->known_ids, 0, sizeof owner->known_ids);
      kq_sched_known_ids (owner->sched, &owner->known_ids);
    }
  *known = &owner->known_ids;
  return count;
}

struct kq_sched *
kq_owner_sched (struct kq_owner *owner)
{
  return owner->sched;
}

bool
kq_owner_store_is_away (const struct kq_owner *owner)
{
  return kq_refusal_is_away (&owner->refusal);
}

void
kq_owner_count (const struct kq_owner *owner, struct kq_sched_counts *counts)
{
  kq_sched_count (owner->sched, counts);
}

void
kq_owner_update_hosts (struct kq_owner *owner)
{
  kq_dispatch_update_hosts (owner->dispatch);
}

void
kq_owner_handle_results (struct kq_owner *owner, const char *address,
                         const uint8_t *bytes, size_t size)
{
  kq_dispatch_handle_results (owner->dispatch, address, bytes, size);
}

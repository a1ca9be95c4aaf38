#include "t/lib-sched.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "t/kqtest.h"

/* Difference between the clocks of the workers and of the scheduler. */
#define CLOCK_AHEAD_MS 100000

/* Maximum number of runs in a status that ts_list_runs() makes up. */
#define MAX_LISTED_RUNS 64

#define SPEC "text"

static struct kq_sched_queue
make_queue (const char *name, int priority)
{
  struct kq_sched_queue queue
      = { .priority = priority, .attempts = 3, .stretch = 2, .slo_ms = 1000 };

  snprintf (queue.name, sizeof queue.name, "%s", name);
  snprintf (queue.service, sizeof queue.service, "s");
  return queue;
}

static void
configure (struct ts_cell *cell)
{
  struct kq_sched_event event = { .kind = KQ_SCHED_EV_CONFIG };

  event.u.config = &cell->config;
  kq_sched_event (cell->sched, cell->now, &event);
}

static void
confirm_term (struct ts_cell *cell)
{
  cell->confirmed_at[cell->term] = cell->now.mono;
  kq_sched_confirm_term (cell->sched, cell->now.mono);
  /* Heartbeats come after the claim of the term. */
  if (cell->fence < TS_MAX_TERMS)
    cell->fence = TS_MAX_TERMS;
  cell->fence++;
  kq_sched_note_fence (cell->sched, cell->fence);
}

static void
begin_term (struct ts_cell *cell)
{
  cell->sched = kq_sched_create ();
  CU_ASSERT_FATAL (cell->term + 1 < TS_MAX_TERMS);
  cell->term++;
  cell->began_at[cell->term] = cell->now.mono;
  kq_sched_begin_term (cell->sched, cell->term, cell->now.mono);
  for (int64_t term = cell->term - 1; term > 0; term--)
    kq_sched_add_past_term (
        cell->sched,
        &(struct kq_sched_past_term){
            .term = term,
            .confirmed_until = cell->confirmed_at[term],
            .heard_at = cell->confirmed_at[term],
            .age = cell->confirmed_at[term] - cell->began_at[term] });
  confirm_term (cell);
  configure (cell);
}

void
ts_start (struct ts_cell *cell)
{
  memset (cell, 0, sizeof *cell);
  cell->now.mono = 1000 * KQ_USEC_PER_SEC;
  cell->now.wall_ms = INT64_C (1700000000000);
  cell->queues[0] = make_queue ("urgent", 0);
  cell->queues[1] = make_queue ("batch", 2);
  cell->config.queues = cell->queues;
  cell->queues[2] = make_queue ("advised", 1);
  cell->queues[2].advised = true;
  cell->config.queue_count = 3;
  begin_term (cell);
  kq_sched_finish_restore (cell->sched, cell->now);
}

void
ts_stop (struct ts_cell *cell)
{
  kq_sched_destroy (cell->sched);
  for (int i = 0; i < cell->record_count; i++)
    free (cell->records[i].value);
  for (int i = 0; i < cell->checkpoint_count; i++)
    free (cell->checkpoints[i]);
  free (cell->checkpoints);
}

struct ts_cell *
ts_create (void)
{
  struct ts_cell *cell = malloc (sizeof *cell);

  if (cell == NULL)
    abort ();
  ts_start (cell);
  return cell;
}

void
ts_destroy (struct ts_cell *cell)
{
  ts_stop (cell);
  free (cell);
}

static const struct kq_sched_record *
find_record (const struct ts_cell *cell, const char *key)
{
  for (int i = 0; i < cell->record_count; i++)
    if (strcmp (cell->records[i].key, key) == 0)
      return &cell->records[i];
  return NULL;
}

/* The body of a test job: COUNT copies of STEP, as they are in memory. */
struct body
{
  int count;
  struct kq_sched_step step;
  int times;
  int64_t start_ms;
  int64_t interval_ms;
};

static void
build_spec (const struct body *body, struct kq_sched_spec *spec)
{
  memset (spec, 0, sizeof *spec);
  spec->text = strdup (SPEC);
  spec->step_count = body->count;
  spec->times = body->times;
  spec->start_ms = body->start_ms;
  spec->interval_ms = body->interval_ms;
  spec->steps = calloc ((size_t)body->count, sizeof *spec->steps);
  for (int i = 0; i < body->count; i++)
    {
      spec->steps[i] = body->step;
      spec->steps[i].after = calloc (1, sizeof *spec->steps[i].after);
      spec->steps[i].after_count = i > 0;
      spec->steps[i].after[0] = i - 1;
    }
}

static void
send_registration (struct ts_cell *cell, const char *id, int64_t cpu,
                   int64_t mem, int64_t incarnation_ms, bool draining)
{
  struct kq_sched_registration registration
      = { .capacity = { cpu, mem, 0 },
          .incarnation_ms = incarnation_ms,
          .draining = draining };
  struct kq_sched_event event = { .kind = KQ_SCHED_EV_WORKER };

  snprintf (registration.id, sizeof registration.id, "%s", id);
  snprintf (registration.service, sizeof registration.service, "s");
  snprintf (registration.address, sizeof registration.address, "10.0.0.1:80");
  snprintf (registration.rack, sizeof registration.rack, "r-%s", id);
  event.u.report = &registration;
  kq_sched_event (cell->sched, cell->now, &event);
}

/* Restores what belongs to jobs that are restored. */
static void
restore_numbered_records (struct ts_cell *cell)
{
  for (int i = 0; i < cell->record_count; i++)
    {
      const struct kq_sched_record *record = &cell->records[i];
      uint64_t job;
      int part;

      if (record->size > 0
          && kq_sched_part_key_read (record->key, &job, &part))
        CU_ASSERT_EQUAL (kq_sched_restore_part (cell->sched, cell->now, job,
                                                part, record->value,
                                                record->size),
                         0);
      if (record->size > 0
          && kq_sched_checkpoint_key_read (record->key, &job, &part))
        CU_ASSERT_EQUAL (kq_sched_restore_checkpoint (
                             cell->sched, job, record->value, record->size),
                         0);
    }
}

static void
restore_records (struct ts_cell *cell)
{
  for (int i = 0; i < cell->record_count; i++)
    {
      const struct kq_sched_record *record = &cell->records[i];
      struct kq_sched_job_record *job;
      const struct kq_sched_record *state;
      struct kq_sched_spec spec;
      struct body body;
      char key[KQ_SCHED_KEY_SIZE];

      if (strcmp (record->key, KQ_SCHED_AGE_KEY) == 0 && record->size > 0)
        CU_ASSERT_EQUAL (
            kq_sched_restore_age (cell->sched, record->value, record->size),
            0);
      if (record->key[0] == KQ_SCHED_TOMBSTONE_KEY && record->size > 0)
        CU_ASSERT_EQUAL (kq_sched_restore_tombstone (
                             cell->sched, strtoull (record->key + 1, NULL, 16),
                             record->value, record->size),
                         0);
      if (record->key[0] == KQ_SCHED_GRANT_KEY)
        CU_ASSERT_EQUAL (
            kq_sched_restore_grants (cell->sched, record->value, record->size),
            0);
      if (record->key[0] != 'j' || record->size == 0)
        continue;
      job = kq_sched_job_record_read (record->value, record->size);
      snprintf (key, sizeof key, "s%s", record->key + 1);
      state = find_record (cell, key);
      memcpy (&body, job->body, sizeof body);
      build_spec (&body, &spec);
      kq_sched_restore_job (cell->sched, cell->now,
                            strtoull (record->key + 1, NULL, 16), &job->queue,
                            job->accepted_ms, &spec,
                            state != NULL ? state->value : NULL,
                            state != NULL ? state->size : 0);
      free (job);
    }
  restore_numbered_records (cell);
  kq_sched_finish_restore (cell->sched, cell->now);
}

static void
replace_owner (struct ts_cell *cell)
{
  kq_sched_destroy (cell->sched);
  cell->pending_effect_count = 0;
  cell->stored = 0;
  begin_term (cell);
}

void
ts_take_over (struct ts_cell *cell)
{
  replace_owner (cell);
  restore_records (cell);
}

void
ts_take_over_registered (struct ts_cell *cell, const char *id, int64_t cpu,
                         int64_t mem, int64_t incarnation_ms)
{
  replace_owner (cell);
  send_registration (cell, id, cpu, mem, incarnation_ms, false);
  restore_records (cell);
}

static void
store_record (struct ts_cell *cell, const struct kq_sched_record *record)
{
  struct kq_sched_record *kept
      = (struct kq_sched_record *)find_record (cell, record->key);

  if (kept == NULL)
    {
      CU_ASSERT_FATAL (cell->record_count < TS_MAX_RECORDS);
      kept = &cell->records[cell->record_count++];
    }
  else
    free (kept->value);
  *kept = *record;
}

static void
store (struct ts_cell *cell)
{
  struct kq_sched_record *records = NULL;
  uint64_t position;
  struct kq_sched_event event = { .kind = KQ_SCHED_EV_STORED };
  int count;

  if (cell->store_down)
    return;
  count = kq_sched_encode_records (
      cell->sched,
      cell->max_record_bytes > 0 ? cell->max_record_bytes : 1 << 20, &records,
      &position);
  if (records == NULL)
    return;
  for (int i = 0; i < count; i++)
    store_record (cell, &records[i]);
  free (records);
  cell->stored = position;
  event.u.stored = position;
  kq_sched_event (cell->sched, cell->now, &event);
}

/* Returns a copy of TEXT that lasts as long as CELL: tests drop orders. */
static char *
keep_checkpoint (struct ts_cell *cell, const char *text)
{
  size_t size = (size_t)cell->checkpoint_count + 1;

  cell->checkpoints
      = realloc (cell->checkpoints, size * sizeof *cell->checkpoints);
  cell->checkpoints[cell->checkpoint_count] = strdup (text);
  return cell->checkpoints[cell->checkpoint_count++];
}

static void
add_order (struct ts_cell *cell, const struct kq_sched_effect *effect)
{
  struct ts_order order = { .kind = effect->kind,
                            .run = effect->u.order.run,
                            .percent = effect->u.order.percent,
                            .at = cell->now.mono };
  struct kq_sched_start start;

  memcpy (order.worker, effect->u.order.worker, sizeof order.worker);
  if (effect->kind == KQ_SCHED_FX_START)
    {
      if (kq_sched_start_order (cell->sched, cell->now, effect, &start) != 0)
        return;
      order.checkpoint = keep_checkpoint (cell, start.checkpoint);
      order.lease_end_ms = start.lease_end_ms;
      if (start.ticket != NULL)
        snprintf (order.ticket, sizeof order.ticket, "%s", start.ticket);
    }
  order.fence = kq_sched_order_fence (cell->sched, order.worker);
  CU_ASSERT_FATAL (cell->order_count < TS_MAX_ORDERS);
  cell->orders[cell->order_count++] = order;
}

static void
execute_effect (struct ts_cell *cell, const struct kq_sched_effect *effect)
{
  if (effect->kind == KQ_SCHED_FX_RESULT)
    cell->results[cell->result_count++]
        = (struct ts_result){ .token = effect->u.result.token,
                              .status = effect->u.result.status,
                              .state = effect->u.result.state,
                              .pending = effect->u.result.pending,
                              .retry_ms = effect->u.result.retry_ms };
  else if (effect->kind != KQ_SCHED_FX_SUPERSEDED)
    add_order (cell, effect);
}

static void
execute_effects (struct ts_cell *cell)
{
  struct kq_sched_effect effect;
  int kept = 0;

  while (kq_sched_next_effect (cell->sched, &effect))
    {
      CU_ASSERT_FATAL (cell->pending_effect_count < TS_MAX_ORDERS);
      cell->pending_effects[cell->pending_effect_count++] = effect;
    }
  for (int i = 0; i < cell->pending_effect_count; i++)
    if (cell->pending_effects[i].after <= cell->stored)
      execute_effect (cell, &cell->pending_effects[i]);
    else
      cell->pending_effects[kept++] = cell->pending_effects[i];
  cell->pending_effect_count = kept;
}

void
ts_process_pending (struct ts_cell *cell)
{
  for (int i = 0; i < 3; i++)
    {
      kq_sched_place (cell->sched, cell->now);
      store (cell);
      execute_effects (cell);
    }
  kq_sched_assert (cell->sched);
}

static void
note_poll (struct ts_cell *cell, const struct kq_sched_poll *poll)
{
  int i = 0;

  while (i < cell->polled_count
         && strcmp (cell->polls[i].worker, poll->worker) != 0)
    i++;
  if (i == TS_MAX_POLLED)
    return;
  if (i == cell->polled_count)
    strcpy (cell->polls[cell->polled_count++].worker, poll->worker);
  cell->polls[i].count++;
  cell->polls[i].at = cell->now.mono;
}

/* Takes the polls that are due, which stay unanswered. */
static void
take_polls (struct ts_cell *cell)
{
  struct kq_sched_poll poll;

  while (kq_sched_next_poll (cell->sched, cell->now, &poll))
    note_poll (cell, &poll);
}

int
ts_count_polls (const struct ts_cell *cell, const char *worker, kq_usec *at)
{
  for (int i = 0; i < cell->polled_count; i++)
    if (strcmp (cell->polls[i].worker, worker) == 0)
      {
        *at = cell->polls[i].at;
        return cell->polls[i].count;
      }
  return 0;
}

void
ts_deregister (struct ts_cell *cell, const char *worker)
{
  struct kq_sched_event event = { .kind = KQ_SCHED_EV_WORKER_GONE };

  event.u.worker = worker;
  kq_sched_event (cell->sched, cell->now, &event);
  ts_process_pending (cell);
}

void
ts_advance (struct ts_cell *cell, int64_t ms)
{
  for (int64_t remaining = ms; remaining > 0; remaining -= 100)
    {
      int64_t step = remaining < 100 ? remaining : 100;

      cell->now.mono += step * KQ_USEC_PER_MSEC;
      cell->now.wall_ms += step;
      if (!cell->store_down)
        confirm_term (cell);
      kq_sched_tick (cell->sched, cell->now);
      take_polls (cell);
      ts_process_pending (cell);
    }
}

static int64_t
worker_clock (const struct ts_cell *cell)
{
  return cell->now.mono / KQ_USEC_PER_MSEC + CLOCK_AHEAD_MS;
}

void
ts_register (struct ts_cell *cell, const struct kq_sched_registration *report)
{
  struct kq_sched_event event = { .kind = KQ_SCHED_EV_WORKER };

  event.u.report = report;
  kq_sched_event (cell->sched, cell->now, &event);
  take_polls (cell);
}

void
ts_register_incarnation (struct ts_cell *cell, const char *id, int64_t cpu,
                         int64_t mem, int64_t incarnation_ms)
{
  send_registration (cell, id, cpu, mem, incarnation_ms, false);
  take_polls (cell);
}

void
ts_register_worker (struct ts_cell *cell, const char *id, int64_t cpu,
                    int64_t mem)
{
  ts_register_incarnation (cell, id, cpu, mem, 1);
}

void
ts_drain (struct ts_cell *cell, const char *id)
{
  send_registration (cell, id, 16000, 64000, 1, true);
  ts_process_pending (cell);
}

uint64_t
ts_submit (struct ts_cell *cell, uint64_t job, const char *queue,
           const struct kq_sched_step *step, int count)
{
  struct kq_sched_event event = { .kind = KQ_SCHED_EV_SUBMIT };
  struct kq_sched_spec spec;
  struct body body = { .count = count,
                       .step = *step,
                       .times = cell->times,
                       .start_ms = cell->now.wall_ms + cell->interval_ms,
                       .interval_ms = cell->interval_ms };

  build_spec (&body, &spec);
  event.u.call.token = ++cell->last_token;
  event.u.call.job = job;
  event.u.call.queue = queue;
  event.u.call.spec = &spec;
  event.u.call.body = &body;
  event.u.call.body_size = sizeof body;
  kq_sched_event (cell->sched, cell->now, &event);
  ts_process_pending (cell);
  return event.u.call.token;
}

static uint64_t
call (struct ts_cell *cell, enum kq_sched_event_kind kind, uint64_t job)
{
  struct kq_sched_event event = { .kind = kind };

  event.u.call.token = ++cell->last_token;
  event.u.call.job = job;
  kq_sched_event (cell->sched, cell->now, &event);
  ts_process_pending (cell);
  return event.u.call.token;
}

uint64_t
ts_query (struct ts_cell *cell, uint64_t job)
{
  return call (cell, KQ_SCHED_EV_QUERY, job);
}

uint64_t
ts_cancel (struct ts_cell *cell, uint64_t job)
{
  return call (cell, KQ_SCHED_EV_CANCEL, job);
}

const struct ts_result *
ts_result_of (const struct ts_cell *cell, uint64_t token)
{
  for (int i = 0; i < cell->result_count; i++)
    if (cell->results[i].token == token)
      return &cell->results[i];
  return NULL;
}

void
ts_reply_order (struct ts_cell *cell, const struct ts_order *order,
                enum kq_sched_reply reply)
{
  struct kq_sched_event event
      = { .kind = order->kind == KQ_SCHED_FX_START  ? KQ_SCHED_EV_STARTED
                  : order->kind == KQ_SCHED_FX_STOP ? KQ_SCHED_EV_STOPPED
                                                    : KQ_SCHED_EV_PACED };

  event.u.order.worker = order->worker;
  event.u.order.run = order->run;
  event.u.order.reply = reply;
  event.u.order.sent_at = order->at;
  event.u.order.fence = order->fence;
  event.u.order.worker_clock_ms
      = reply == KQ_SCHED_NO_REPLY || reply == KQ_SCHED_OTHER_INCARNATION
            ? 0
            : worker_clock (cell);
  kq_sched_event (cell->sched, cell->now, &event);
  ts_process_pending (cell);
}

void
ts_reply_poll_sent_at (struct ts_cell *cell, const char *worker,
                       kq_usec sent_at, int64_t incarnation_ms,
                       const struct kq_sched_running *running,
                       size_t running_count,
                       const struct kq_sched_ended *ended, size_t ended_count)
{
  struct kq_sched_status worker_status
      = { .worker_clock_ms = worker_clock (cell),
          .incarnation_ms = incarnation_ms,
          .running = (struct kq_sched_running *)running,
          .running_count = running_count,
          .ended = (struct kq_sched_ended *)ended,
          .ended_count = ended_count };
  struct kq_sched_event event = { .kind = KQ_SCHED_EV_POLLED };

  event.u.polled.worker = worker;
  event.u.polled.reply = KQ_SCHED_OK;
  event.u.polled.sent_at = sent_at;
  event.u.polled.worker_status = &worker_status;
  cell->now.mono += KQ_USEC_PER_MSEC;
  kq_sched_event (cell->sched, cell->now, &event);
  ts_process_pending (cell);
}

void
ts_reply_poll (struct ts_cell *cell, const char *worker,
               const struct kq_sched_running *running, size_t running_count,
               const struct kq_sched_ended *ended, size_t ended_count)
{
  ts_reply_poll_sent_at (cell, worker, cell->now.mono, 1, running,
                         running_count, ended, ended_count);
}

void
ts_advise (struct ts_cell *cell,
           const struct kq_sched_advice_request *policy_request,
           const char *allowed, const char *ticket, int64_t valid_ms)
{
  struct kq_sched_advice advice = { .policy_request = policy_request,
                                    .reply = KQ_SCHED_OK,
                                    .valid_ms = valid_ms,
                                    .sent_at = cell->now.mono };
  struct kq_sched_event event = { .kind = KQ_SCHED_EV_ADVISED };

  for (int i = 0; i < policy_request->count; i++)
    if (strcmp (policy_request->workers[i], allowed) == 0)
      {
        strcpy (advice.allowed[0].worker, allowed);
        strcpy (advice.allowed[0].ticket, ticket);
        advice.allowed_count = 1;
      }
  event.u.advice = &advice;
  kq_sched_event (cell->sched, cell->now, &event);
  ts_process_pending (cell);
}

void
ts_refuse_poll (struct ts_cell *cell, const char *worker, kq_usec sent_at,
                enum kq_sched_reply reply)
{
  struct kq_sched_event event = { .kind = KQ_SCHED_EV_POLLED };

  event.u.polled.worker = worker;
  event.u.polled.reply = reply;
  event.u.polled.sent_at = sent_at;
  kq_sched_event (cell->sched, cell->now, &event);
  ts_process_pending (cell);
}

void
ts_fail_poll (struct ts_cell *cell, const char *worker)
{
  ts_refuse_poll (cell, worker, cell->now.mono, KQ_SCHED_NO_REPLY);
}

const struct ts_order *
ts_last_order (const struct ts_cell *cell, enum kq_sched_effect_kind kind,
               uint64_t job, int step, int index)
{
  for (int i = cell->order_count - 1; i >= 0; i--)
    {
      const struct ts_order *order = &cell->orders[i];

      if (order->kind == kind && order->run.job == job
          && order->run.step == step && order->run.index == index)
        return order;
    }
  return NULL;
}

int
ts_count_orders (const struct ts_cell *cell, enum kq_sched_effect_kind kind)
{
  int count = 0;

  for (int i = 0; i < cell->order_count; i++)
    count += cell->orders[i].kind == kind;
  return count;
}

struct kq_sched_running
ts_running (const struct ts_order *order, int percent)
{
  return (struct kq_sched_running){ .run = order->run, .percent = percent };
}

struct kq_sched_ended
ts_ended (const struct ts_order *order, int64_t number, enum kq_sched_end how)
{
  return (struct kq_sched_ended){ .number = number,
                                  .run = order->run,
                                  .how = how };
}

void
ts_add_idle_worker (struct ts_cell *cell, const char *id, int64_t cpu)
{
  ts_register_worker (cell, id, cpu, 4000);
  ts_reply_poll (cell, id, NULL, 0, NULL, 0);
}

int
ts_run_of (const struct ts_cell *cell, uint64_t job, int index)
{
  const struct ts_order *order
      = ts_last_order (cell, KQ_SCHED_FX_START, job, 0, index);

  return order != NULL ? order->run.run : 0;
}

void
ts_list_runs (struct ts_cell *cell, const char *worker)
{
  struct kq_sched_running running[MAX_LISTED_RUNS];
  struct kq_sched_ended ended[MAX_LISTED_RUNS];
  int running_count = 0;
  int ended_count = 0;

  for (int i = 0; i < cell->order_count; i++)
    {
      const struct ts_order *order = &cell->orders[i];
      const struct ts_order *stop = ts_last_order (
          cell, KQ_SCHED_FX_STOP, order->run.job, 0, order->run.index);

      if (order->kind != KQ_SCHED_FX_START
          || strcmp (order->worker, worker) != 0)
        continue;
      if (stop == NULL || stop->run.run < order->run.run)
        running[running_count++] = ts_running (order, 10);
      else
        ended[ended_count++] = ts_ended (order, i + 1, KQ_SCHED_STOPPED);
    }
  ts_reply_poll (cell, worker, running, (size_t)running_count, ended,
                 (size_t)ended_count);
}

void
ts_end_run (struct ts_cell *cell, uint64_t job, int64_t number,
            enum kq_sched_end how)
{
  const struct ts_order *order
      = ts_last_order (cell, KQ_SCHED_FX_START, job, 0, 0);
  struct kq_sched_ended ended;

  CU_ASSERT_PTR_NOT_NULL_FATAL (order);
  if (order == NULL)
    return;
  ended = ts_ended (order, number, how);
  ts_reply_poll (cell, order->worker, NULL, 0, &ended, 1);
}

void
ts_lose_worker (struct ts_cell *cell, const char *worker)
{
  ts_refuse_poll (cell, worker, cell->now.mono, KQ_SCHED_OTHER_INCARNATION);
}

/* Batches of orders and results: see relay/message.h.
 *
 * A batch grows by one packed message for each order or result: messages that
 * follow each other are read as one, whose lists are those of all.
 */
#include "relay/message.h"

#include <stdlib.h>
#include <string.h>

#include "base/err.h"
#include "relay/relay.pb-c.h"

#define INITIAL_CAPACITY 4096

void
kq_relay_batch_clear (struct kq_relay_batch *batch)
{
  free (batch->bytes);
  memset (batch, 0, sizeof *batch);
}

/* Returns where SIZE more bytes are to be written, or NULL. */
static uint8_t *
extend (struct kq_relay_batch *batch, size_t size)
{
  size_t capacity = batch->capacity > 0 ? batch->capacity : INITIAL_CAPACITY;
  uint8_t *bytes = batch->bytes;

  while (capacity < batch->size + size)
    capacity *= 2;
  if (capacity != batch->capacity)
    bytes = realloc (batch->bytes, capacity);
  if (bytes == NULL)
    return NULL;
  batch->bytes = bytes;
  batch->capacity = capacity;
  batch->size += size;
  return batch->bytes + batch->size - size;
}

static int
add_order_batch (struct kq_relay_batch *batch,
                 const KqRelay__OrderBatch *message)
{
  uint8_t *at
      = extend (batch, kq_relay__order_batch__get_packed_size (message));

  if (at == NULL)
    return KQ_ENOMEM;
  kq_relay__order_batch__pack (message, at);
  return 0;
}

int
kq_relay_add_order (struct kq_relay_batch *batch, int64_t fence,
                    const struct kq_order *order)
{
  KqRelay__OrderBatch message = KQ_RELAY__ORDER_BATCH__INIT;
  KqRelay__Order row = KQ_RELAY__ORDER__INIT;
  KqRelay__Order *rows[] = { &row };
  char *texts[] = { (char *)order->text };
  bool is_start = order->kind == KQ_ORDER_START;
  bool needs_text
      = is_start && (batch->texts == 0 || batch->last_job != order->run.job);
  int err;

  row.tag = order->tag;
  row.kind = order->kind;
  row.worker = (char *)order->worker;
  row.address = (char *)order->address;
  row.job = order->run.job;
  row.occurrence = (uint32_t)order->run.occurrence;
  row.step = (uint32_t)order->run.step;
  row.index = (uint32_t)order->run.index;
  row.run = (uint32_t)order->run.run;
  row.lease_end_ms = order->lease_end_ms;
  row.percent = (uint32_t)order->percent;
  row.acked = order->acked;
  row.wait_ms = (uint32_t)order->wait_ms;
  row.fence = order->fence;
  if (is_start)
    {
      row.text = batch->texts + (needs_text ? 1 : 0) - 1;
      row.checkpoint = (char *)order->checkpoint;
      row.ticket = (char *)order->ticket;
    }
  message.fence = batch->count == 0 ? fence : 0;
  message.n_orders = 1;
  message.orders = rows;
  message.n_texts = needs_text ? 1 : 0;
  message.texts = texts;
  err = add_order_batch (batch, &message);
  if (err != 0)
    return err;
  batch->count++;
  if (needs_text)
    {
      batch->texts++;
      batch->last_job = order->run.job;
    }
  return 0;
}

int
kq_relay_set_expiry (struct kq_relay_batch *batch, int64_t expires_ms)
{
  KqRelay__OrderBatch message = KQ_RELAY__ORDER_BATCH__INIT;

  message.expires_ms = expires_ms;
  return add_order_batch (batch, &message);
}

/* Returns whether ROW is an order that can be carried out. */
static bool
is_valid_order (const KqRelay__OrderBatch *message, const KqRelay__Order *row)
{
  return row->kind >= KQ_ORDER_START && row->kind <= KQ_ORDER_POLL
         && row->worker[0] != '\0' && strlen (row->worker) < KQ_SCHED_NAME_SIZE
         && row->address[0] != '\0'
         && strlen (row->address) < KQ_SCHED_NAME_SIZE
         && (row->kind != KQ_ORDER_START || row->text < message->n_texts);
}

int
kq_relay_read_orders (const uint8_t *bytes, size_t size,
                      struct kq_relay_terms *terms,
                      void (*visit) (void *arg, const struct kq_order *order),
                      void *arg)
{
  KqRelay__OrderBatch *message
      = kq_relay__order_batch__unpack (NULL, size, bytes);

  if (message == NULL)
    return KQ_ESYNTAX;
  *terms = (struct kq_relay_terms){ .fence = message->fence,
                                    .expires_ms = message->expires_ms };
  for (size_t i = 0; i < message->n_orders; i++)
    {
      const KqRelay__Order *row = message->orders[i];
      struct kq_order order = { .tag = row->tag,
                                .kind = (enum kq_order_kind)row->kind,
                                .worker = row->worker,
                                .address = row->address,
                                .run = { .job = row->job,
                                         .occurrence = (int)row->occurrence,
                                         .step = (int)row->step,
                                         .index = (int)row->index,
                                         .run = (int)row->run },
                                .fence = row->fence,
                                .lease_end_ms = row->lease_end_ms,
                                .checkpoint = row->checkpoint,
                                .ticket = row->ticket,
                                .percent = (int)row->percent,
                                .acked = row->acked,
                                .wait_ms = (int)row->wait_ms };

      if (!is_valid_order (message, row))
        continue;
      if (order.kind == KQ_ORDER_START)
        order.text = message->texts[row->text];
      visit (arg, &order);
    }
  kq_relay__order_batch__free_unpacked (message, NULL);
  return 0;
}

/* Columns for COUNT rows in one allocation. */
struct columns
{
  uint64_t *jobs;
  int64_t *samples;
  int64_t *numbers;
  char **checkpoints;
  uint32_t *occurrences;
  uint32_t *steps;
  uint32_t *indices;
  uint32_t *runs;
  uint32_t *ends;
  int32_t *percents;
};

#define WIDE_COLUMNS 4
#define NARROW_COLUMNS 6

static void *
allocate_columns (size_t count, struct columns *columns)
{
  uint64_t *wide
      = calloc (count * (WIDE_COLUMNS + NARROW_COLUMNS) + 1, sizeof *wide);
  uint32_t *narrow = (uint32_t *)(wide + count * WIDE_COLUMNS);

  if (wide == NULL)
    return NULL;
  columns->jobs = wide;
  columns->samples = (int64_t *)(wide + count);
  columns->numbers = (int64_t *)(wide + count * 2);
  columns->checkpoints = (char **)(wide + count * 3);
  columns->occurrences = narrow;
  columns->steps = narrow + count;
  columns->indices = narrow + count * 2;
  columns->runs = narrow + count * 3;
  columns->ends = narrow + count * 4;
  columns->percents = (int32_t *)(narrow + count * 5);
  return wide;
}

static void
fill_run (struct columns *columns, size_t i, const struct kq_sched_run *run,
          const char *checkpoint)
{
  columns->jobs[i] = run->job;
  columns->occurrences[i] = (uint32_t)run->occurrence;
  columns->steps[i] = (uint32_t)run->step;
  columns->indices[i] = (uint32_t)run->index;
  columns->runs[i] = (uint32_t)run->run;
  columns->checkpoints[i] = (char *)(checkpoint != NULL ? checkpoint : "");
}

static void
set_rows (KqRelay__Rows *rows, const struct columns *columns, size_t count)
{
  rows->n_jobs = count;
  rows->jobs = columns->jobs;
  rows->n_occurrences = count;
  rows->occurrences = columns->occurrences;
  rows->n_steps = count;
  rows->steps = columns->steps;
  rows->n_indices = count;
  rows->indices = columns->indices;
  rows->n_runs = count;
  rows->runs = columns->runs;
  rows->n_checkpoints = count;
  rows->checkpoints = columns->checkpoints;
}

static void
set_running (KqRelay__Rows *rows, struct columns *columns,
             const struct kq_sched_status *status)
{
  for (size_t i = 0; i < status->running_count; i++)
    {
      const struct kq_sched_running *running = &status->running[i];

      fill_run (columns, i, &running->run, running->checkpoint);
      columns->percents[i] = running->percent;
      columns->samples[i] = running->sample;
    }
  set_rows (rows, columns, status->running_count);
  rows->n_percents = status->running_count;
  rows->percents = columns->percents;
  rows->n_samples = status->running_count;
  rows->samples = columns->samples;
}

static void
set_ended (KqRelay__Rows *rows, struct columns *columns,
           const struct kq_sched_status *status)
{
  for (size_t i = 0; i < status->ended_count; i++)
    {
      const struct kq_sched_ended *ended = &status->ended[i];

      fill_run (columns, i, &ended->run, ended->checkpoint);
      columns->numbers[i] = ended->number;
      columns->ends[i] = (uint32_t)ended->how;
    }
  set_rows (rows, columns, status->ended_count);
  rows->n_numbers = status->ended_count;
  rows->numbers = columns->numbers;
  rows->n_ends = status->ended_count;
  rows->ends = columns->ends;
}

static int
add_outcome_batch (struct kq_relay_batch *batch,
                   const KqRelay__OutcomeBatch *message)
{
  uint8_t *at
      = extend (batch, kq_relay__outcome_batch__get_packed_size (message));

  if (at == NULL)
    return KQ_ENOMEM;
  kq_relay__outcome_batch__pack (message, at);
  return 0;
}

int
kq_relay_add_result (struct kq_relay_batch *batch,
                     const struct kq_order_result *result)
{
  static const struct kq_sched_status none;
  const struct kq_sched_status *status
      = result->worker_status != NULL ? result->worker_status : &none;
  KqRelay__OutcomeBatch message = KQ_RELAY__OUTCOME_BATCH__INIT;
  KqRelay__Outcome outcome = KQ_RELAY__OUTCOME__INIT;
  KqRelay__Outcome *outcomes[] = { &outcome };
  KqRelay__Rows running = KQ_RELAY__ROWS__INIT;
  KqRelay__Rows ended = KQ_RELAY__ROWS__INIT;
  struct columns running_columns;
  struct columns ended_columns;
  void *running_memory
      = allocate_columns (status->running_count, &running_columns);
  void *ended_memory = allocate_columns (status->ended_count, &ended_columns);
  int err = KQ_ENOMEM;

  if (running_memory != NULL && ended_memory != NULL)
    {
      outcome.tag = result->tag;
      outcome.reply = result->reply;
      outcome.clock_ms = result->worker_clock_ms;
      outcome.incarnation_ms = status->incarnation_ms;
      if (status->running_count > 0)
        {
          set_running (&running, &running_columns, status);
          outcome.running = &running;
        }
      if (status->ended_count > 0)
        {
          set_ended (&ended, &ended_columns, status);
          outcome.ended = &ended;
        }
      message.n_outcomes = 1;
      message.outcomes = outcomes;
      err = add_outcome_batch (batch, &message);
    }
  free (running_memory);
  free (ended_memory);
  if (err == 0)
    batch->count++;
  return err;
}

int
kq_relay_add_state (struct kq_relay_batch *batch,
                    const struct kq_relay_state *state)
{
  KqRelay__OutcomeBatch message = KQ_RELAY__OUTCOME_BATCH__INIT;

  message.fence = state->fence;
  message.received = state->received;
  message.leaving = state->leaving;
  message.time_ms = state->time_ms;
  return add_outcome_batch (batch, &message);
}

static bool
is_complete (const KqRelay__Rows *rows)
{
  return rows->n_occurrences == rows->n_jobs && rows->n_steps == rows->n_jobs
         && rows->n_indices == rows->n_jobs && rows->n_runs == rows->n_jobs
         && rows->n_checkpoints == rows->n_jobs;
}

static struct kq_sched_run
run_of_row (const KqRelay__Rows *rows, size_t i)
{
  return (struct kq_sched_run){ .job = rows->jobs[i],
                                .occurrence = (int)rows->occurrences[i],
                                .step = (int)rows->steps[i],
                                .index = (int)rows->indices[i],
                                .run = (int)rows->runs[i] };
}

static bool
read_running (const KqRelay__Rows *rows, struct kq_sched_status *status)
{
  if (rows == NULL)
    return true;
  if (!is_complete (rows) || rows->n_percents != rows->n_jobs
      || rows->n_samples != rows->n_jobs)
    return false;
  status->running = calloc (rows->n_jobs + 1, sizeof *status->running);
  if (status->running == NULL)
    return false;
  for (size_t i = 0; i < rows->n_jobs; i++)
    {
      struct kq_sched_running *running = &status->running[i];

      running->run = run_of_row (rows, i);
      running->percent = rows->percents[i];
      running->sample = rows->samples[i];
      running->checkpoint = rows->checkpoints[i];
    }
  status->running_count = rows->n_jobs;
  return true;
}

static bool
read_ended (const KqRelay__Rows *rows, struct kq_sched_status *status)
{
  if (rows == NULL)
    return true;
  if (!is_complete (rows) || rows->n_numbers != rows->n_jobs
      || rows->n_ends != rows->n_jobs)
    return false;
  status->ended = calloc (rows->n_jobs + 1, sizeof *status->ended);
  if (status->ended == NULL)
    return false;
  for (size_t i = 0; i < rows->n_jobs; i++)
    {
      struct kq_sched_ended *ended = &status->ended[i];

      if (rows->ends[i] > KQ_SCHED_GANG_INCOMPLETE)
        return false;
      ended->run = run_of_row (rows, i);
      ended->number = rows->numbers[i];
      ended->how = (enum kq_sched_end)rows->ends[i];
      ended->checkpoint = rows->checkpoints[i];
    }
  status->ended_count = rows->n_jobs;
  return true;
}

static void
visit_outcome (const KqRelay__Outcome *outcome,
               void (*visit) (void *arg, const struct kq_order_result *result),
               void *arg)
{
  struct kq_sched_status status
      = { .worker_clock_ms = outcome->clock_ms,
          .incarnation_ms = outcome->incarnation_ms };
  struct kq_order_result result
      = { .tag = outcome->tag,
          .reply = (enum kq_sched_reply)outcome->reply,
          .worker_clock_ms = outcome->clock_ms,
          .worker_status = &status };

  if (outcome->reply <= KQ_SCHED_REFUSED
      && read_running (outcome->running, &status)
      && read_ended (outcome->ended, &status))
    visit (arg, &result);
  free (status.running);
  free (status.ended);
}

int
kq_relay_read_results (
    const uint8_t *bytes, size_t size, struct kq_relay_state *state,
    void (*visit) (void *arg, const struct kq_order_result *result), void *arg)
{
  KqRelay__OutcomeBatch *message
      = kq_relay__outcome_batch__unpack (NULL, size, bytes);

  if (message == NULL)
    return KQ_ESYNTAX;
  *state = (struct kq_relay_state){ .fence = message->fence,
                                    .received = message->received,
                                    .leaving = message->leaving,
                                    .time_ms = message->time_ms };
  for (size_t i = 0; i < message->n_outcomes; i++)
    visit_outcome (message->outcomes[i], visit, arg);
  kq_relay__outcome_batch__free_unpacked (message, NULL);
  return 0;
}

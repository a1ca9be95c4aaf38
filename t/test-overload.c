/* Guards against an owner that stands still in an overload: a quarter of the
 * workers of a full cell is lost, and the search for workers to reserve took
 * three times as long for each tick as there is between two ticks.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "sched/internal.h"
#include "t/kqtest.h"

#define WORKERS 490
#define TASKS_PER_WORKER 20
#define TASKS_PER_JOB 14
#define ROUNDS 10

/* Time between two ticks. A tick that takes longer leaves none for replies. */
#define TICK_US (100 * KQ_USEC_PER_MSEC)

struct cell
{
  struct kq_sched *sched;
  struct kq_sched_now now;
  struct kq_sched_queue queue;
  struct kq_sched_config config;
  uint64_t last_job;
};

static void
submit (struct cell *cell, const struct kq_sched_step *step)
{
  struct kq_sched_event event = { .kind = KQ_SCHED_EV_SUBMIT };
  struct kq_sched_spec spec = { .step_count = 1, .times = 1 };

  spec.text = strdup ("");
  spec.steps = malloc (sizeof *step);
  *spec.steps = *step;
  event.u.call.job = ++cell->last_job;
  event.u.call.queue = cell->queue.name;
  event.u.call.spec = &spec;
  event.u.call.body = "";
  kq_sched_event (cell->sched, cell->now, &event);
}

static void
add_worker (struct cell *cell, int number)
{
  struct kq_sched_registration registration
      = { .capacity = { 64000, 256000, 0 }, .incarnation_ms = 1 };
  struct kq_sched_status status
      = { .worker_clock_ms = 1000, .incarnation_ms = 1 };
  struct kq_sched_event event = { .kind = KQ_SCHED_EV_WORKER };

  snprintf (registration.id, sizeof registration.id, "w%d", number);
  strcpy (registration.service, "s");
  event.u.report = &registration;
  kq_sched_event (cell->sched, cell->now, &event);
  event = (struct kq_sched_event){ .kind = KQ_SCHED_EV_POLLED };
  event.u.polled.worker = registration.id;
  event.u.polled.worker_status = &status;
  kq_sched_event (cell->sched, cell->now, &event);
}

static void
lose_worker (struct cell *cell, int number)
{
  struct kq_sched_event event = { .kind = KQ_SCHED_EV_POLLED };
  char id[16];

  snprintf (id, sizeof id, "w%d", number);
  event.u.polled.worker = id;
  event.u.polled.sent_at = cell->now.mono;
  event.u.polled.reply = KQ_SCHED_OTHER_INCARNATION;
  kq_sched_event (cell->sched, cell->now, &event);
  event = (struct kq_sched_event){ .kind = KQ_SCHED_EV_WORKER_GONE };
  event.u.worker = id;
  kq_sched_event (cell->sched, cell->now, &event);
}

/* Stores all records, and lets the workers accept all starts. */
static void
accept_starts (struct cell *cell)
{
  struct kq_sched_event stored = { .kind = KQ_SCHED_EV_STORED };
  struct kq_sched_record *records = NULL;
  struct kq_sched_effect effect;
  struct kq_sched_start start;
  int count = kq_sched_encode_records (cell->sched, SIZE_MAX, &records,
                                       &stored.u.stored);

  for (int i = 0; i < count; i++)
    free (records[i].value);
  free (records);
  kq_sched_event (cell->sched, cell->now, &stored);
  while (kq_sched_next_effect (cell->sched, &effect))
    {
      struct kq_sched_event event = { .kind = KQ_SCHED_EV_STARTED };

      if (effect.kind != KQ_SCHED_FX_START
          || kq_sched_start_order (cell->sched, cell->now, &effect, &start)
                 != 0)
        continue;
      event.u.order.worker = effect.u.order.worker;
      event.u.order.run = effect.u.order.run;
      event.u.order.sent_at = cell->now.mono;
      event.u.order.worker_clock_ms = 1000;
      kq_sched_event (cell->sched, cell->now, &event);
    }
}

/* Fills the workers with long-running tasks, every second job of which spreads
   them over as many workers; then loses a quarter of the workers. */
static void
start_overload (struct cell *cell)
{
  struct kq_sched_event event = { .kind = KQ_SCHED_EV_CONFIG };
  struct kq_sched_step step = { .count = TASKS_PER_JOB,
                                .demand = { 3200, 6400, 0 },
                                .est_ms = 500,
                                .long_running = true };

  memset (cell, 0, sizeof *cell);
  cell->sched = kq_sched_create ();
  cell->now.mono = KQ_USEC_PER_SEC;
  cell->now.wall_ms = INT64_C (1700000000000);
  cell->queue = (struct kq_sched_queue){ .attempts = 3, .slo_ms = 3000 };
  strcpy (cell->queue.name, "q");
  strcpy (cell->queue.service, "s");
  cell->config.queues = &cell->queue;
  cell->config.queue_count = 1;
  event.u.config = &cell->config;
  kq_sched_confirm_term (cell->sched, cell->now.mono);
  kq_sched_event (cell->sched, cell->now, &event);
  for (int i = 0; i < WORKERS; i++)
    add_worker (cell, i);
  for (int i = 0; i < WORKERS * TASKS_PER_WORKER / TASKS_PER_JOB; i++)
    {
      step.max_per_worker = i % 2;
      submit (cell, &step);
    }
  kq_sched_place (cell->sched, cell->now);
  accept_starts (cell);
  for (int i = WORKERS * 3 / 4; i < WORKERS; i++)
    lose_worker (cell, i);
}

static kq_usec
processor_time (void)
{
  struct timespec spent;

  clock_gettime (CLOCK_PROCESS_CPUTIME_ID, &spent);
  return (kq_usec)spent.tv_sec * KQ_USEC_PER_SEC + spent.tv_nsec / 1000;
}

/* Lets 100 ms pass, in which all workers reply; returns the processor time of
   the tick and of the placement. */
static kq_usec
tick (struct cell *cell)
{
  struct worker *worker;
  kq_usec began;

  cell->now.mono += TICK_US;
  cell->now.wall_ms += TICK_US / KQ_USEC_PER_MSEC;
  kq_sched_confirm_term (cell->sched, cell->now.mono);
  DL_FOREACH (cell->sched->worker_list, worker)
  {
    worker->last_reply_at = cell->now.mono;
  }
  began = processor_time ();
  kq_sched_tick (cell->sched, cell->now);
  kq_sched_place (cell->sched, cell->now);
  return processor_time () - began;
}

static void
test_tick_after_losses (void)
{
  struct kq_sched_counts counts;
  struct cell cell;
  kq_usec spent = 0;

  start_overload (&cell);
  for (int i = 0; i < 2 * ROUNDS; i++)
    tick (&cell);
  for (int i = 0; i < ROUNDS; i++)
    spent += tick (&cell);
  kq_sched_count (cell.sched, &counts);
  CU_ASSERT (counts.ready_tasks > WORKERS);
  CU_ASSERT (spent < ROUNDS * TICK_US);
  kq_sched_destroy (cell.sched);
}

static const struct kq_test tests[] = {
  { "a tick after losses", test_tick_after_losses },
};

KQ_TEST_MAIN ("test-overload", tests)

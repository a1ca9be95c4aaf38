/* Measures the cost of an explanation in a cell of 490 workers: of a job with
   one step, with 16 steps that could start, with one step of 10,000 tasks, and
   of one step while 500 jobs of different sizes wait before it.

   Prints one line per figure: name, mean, unit, maximum.  */

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "log/log.h"
#include "sched/sched.h"

#define WORKERS 490
#define WAITING_JOBS 500
#define ROUNDS 200

struct cell
{
  struct kq_sched *sched;
  struct kq_sched_now now;
  struct kq_sched_queue queue;
  struct kq_sched_config config;
};

static void
add_worker (struct cell *cell, int number)
{
  struct kq_sched_registration registration
      = { .capacity = { 64000, 256000, 0 }, .incarnation_ms = 1 };
  struct kq_sched_status status
      = { .worker_clock_ms = 1000, .incarnation_ms = 1 };
  struct kq_sched_event event = { .kind = KQ_SCHED_EV_WORKER };

  snprintf (registration.id, sizeof registration.id, "w%d", number);
  snprintf (registration.rack, sizeof registration.rack, "r%d", number / 20);
  strcpy (registration.service, "s");
  event.u.report = &registration;
  kq_sched_event (cell->sched, cell->now, &event);
  event.kind = KQ_SCHED_EV_POLLED;
  event.u.polled.worker = registration.id;
  event.u.polled.reply = KQ_SCHED_OK;
  event.u.polled.sent_at = cell->now.mono;
  event.u.polled.worker_status = &status;
  kq_sched_event (cell->sched, cell->now, &event);
}

static void
submit (struct cell *cell, uint64_t job, const struct kq_sched_step *step)
{
  struct kq_sched_spec spec = { .step_count = 1 };
  struct kq_sched_event event = { .kind = KQ_SCHED_EV_SUBMIT };

  spec.text = strdup ("");
  spec.steps = malloc (sizeof *step);
  *spec.steps = *step;
  event.u.call.job = job;
  event.u.call.queue = "batch";
  event.u.call.spec = &spec;
  event.u.call.body = "";
  kq_sched_event (cell->sched, cell->now, &event);
}

static void
start_cell (struct cell *cell)
{
  struct kq_sched_event event = { .kind = KQ_SCHED_EV_CONFIG };
  struct kq_sched_settings settings = KQ_SCHED_DEFAULT_SETTINGS;

  settings.remote_factor = 2;
  cell->sched = kq_sched_create ();
  kq_sched_set_settings (cell->sched, &settings);
  cell->now.mono = KQ_USEC_PER_SEC;
  cell->now.wall_ms = INT64_C (1700000000000);
  cell->queue = (struct kq_sched_queue){
    .name = "batch", .service = "s", .attempts = 3, .slo_ms = 3000
  };
  cell->config.queues = &cell->queue;
  cell->config.queue_count = 1;
  event.u.config = &cell->config;
  kq_sched_confirm_term (cell->sched, cell->now.mono);
  kq_sched_event (cell->sched, cell->now, &event);
  for (int i = 0; i < WORKERS; i++)
    add_worker (cell, i);
}

static void
measure (struct cell *cell, const char *name, int steps, int count)
{
  static struct kq_sched_explanation explanation;
  struct kq_sched_step step[KQ_SCHED_EXPLAINED_STEPS];
  struct kq_sched_spec spec
      = { .text = "", .steps = step, .step_count = steps };
  kq_usec total = 0;
  kq_usec longest = 0;

  for (int i = 0; i < steps; i++)
    step[i] = (struct kq_sched_step){
      .count = count, .demand = { 4000, 1000, 0 }, .est_ms = 600, .label = "r3"
    };
  for (int i = 0; i < ROUNDS; i++)
    {
      kq_usec start = kq_clock_now ();
      kq_usec took;

      kq_sched_explain (cell->sched, cell->now, 0, "batch", &spec,
                        &explanation);
      took = kq_clock_now () - start;
      total += took;
      longest = took > longest ? took : longest;
    }
  printf ("explain_%s_%d_workers %.0f us max %.0f\n", name, WORKERS,
          (double)total / ROUNDS, (double)longest);
}

int
main (void)
{
  struct cell cell = { .sched = NULL };
  struct kq_sched_step step = { .count = WORKERS * 16,
                                .demand = { 4000, 1000, 0 },
                                .est_ms = 60000 };

  kq_log_setup (KQ_LOG_ERROR, "bench");
  start_cell (&cell);
  measure (&cell, "one_step", 1, 4);
  measure (&cell, "sixteen_steps", KQ_SCHED_EXPLAINED_STEPS, 4);
  measure (&cell, "wide_step", 1, KQ_SCHED_MAX_STEP_TASKS);
  submit (&cell, 1, &step);
  kq_sched_place (cell.sched, cell.now);
  for (int i = 0; i < WAITING_JOBS; i++)
    {
      step = (struct kq_sched_step){ .count = 4,
                                     .demand = { 4000 - i, 1000 - i, 0 },
                                     .est_ms = 500 };
      submit (&cell, 2 + (uint64_t)i, &step);
    }
  kq_sched_place (cell.sched, cell.now);
  measure (&cell, "backlog", 1, 4);
  measure (&cell, "backlog_sixteen_steps", KQ_SCHED_EXPLAINED_STEPS, 4);
  kq_sched_destroy (cell.sched);
  return 0;
}

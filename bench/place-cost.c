/* Measures the cost of placement on its host: processor time of one choice of
   a worker, of one update of a worker's table and of one relief round, and
   memory of a worker with its tasks.  Each is measured at two sizes, so that
   the cost per worker can be computed.  Then the cost of a placement pass of
   the platform's scheduler in a full cell where urgent jobs wait: without a
   queue of lower priority, with one while nothing is looked for to be
   preempted, and with a search in each pass.

   Prints one line per figure: name, value, unit, the value at the smaller
   size, and the ratio of the two.  */

#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "place/place.h"
#include "sched/sched.h"

#define WORKERS_SMALL 50
#define WORKERS_LARGE 200
#define WORKERS_PER_RACK 10
#define TASKS_PER_WORKER 20
#define ROUNDS 10

/* The platform's scheduler: 16 tasks of 4 cores fill a worker. */
#define PASS_WORKERS_SMALL 500
#define PASS_WORKERS_LARGE 3000
#define PASS_TASKS_PER_WORKER 16
#define PASS_ROUNDS 100
#define URGENT_JOBS 40

struct cost
{
  double choose_us;  /* of one choice */
  double table_us;   /* of one worker's table and usage report */
  double relieve_us; /* of one round over all workers */
  double bytes;      /* of one worker with its tasks */
};

static void
set_worker_name (struct kq_name *name, int number)
{
  snprintf (name->text, sizeof name->text, "zone-w%04d", number);
}

static void
fill_task (struct kq_place_running *running, int worker, int index)
{
  struct kq_resources size = { 600, 2000, 0 };

  *running = (struct kq_place_running){ .granted = size, .share_milli = 1000 };
  running->task.size = size;
  running->task.importance = 5;
  running->task.id.index = worker * TASKS_PER_WORKER + index;
  snprintf (running->task.id.job.text, KQ_NAME_SIZE, "job-%d", worker % 40);
  snprintf (running->task.team.text, KQ_NAME_SIZE, "team-%d", worker % 10);
}

/* Updates PLACE with the task table of each worker and with a usage report
   measured at NOW.  */
static void
sync_tables (struct kq_place *place, int workers, kq_usec now)
{
  for (int w = 0; w < workers; w++)
    {
      struct kq_place_running tasks[TASKS_PER_WORKER];
      struct kq_place_usage usage = { .seq = now,
                                      .at = now,
                                      .used = { 14000, 44000, 0 },
                                      .busy_slots = 4,
                                      .slow_milli = 1050 };
      struct kq_name name;

      set_worker_name (&name, w);
      for (int t = 0; t < TASKS_PER_WORKER; t++)
        fill_task (&tasks[t], w, t);
      kq_place_sync_tasks (place, &name, tasks, TASKS_PER_WORKER, now);
      kq_place_apply_report (place, &name, &usage, now);
    }
}

static struct kq_place *
create_place (int workers)
{
  struct kq_place *place = kq_place_create (NULL);
  struct kq_resources capacity = { 64000, 256000, 0 };

  for (int w = 0; w < workers; w++)
    {
      struct kq_name rack;
      struct kq_name name;

      set_worker_name (&name, w);
      snprintf (rack.text, sizeof rack.text, "rack-%d", w / WORKERS_PER_RACK);
      kq_place_set_worker (place, &name, &rack, &capacity, 8);
    }
  sync_tables (place, workers, KQ_USEC_PER_SEC);
  return place;
}

static struct cost
measure (int workers)
{
  size_t before = mallinfo2 ().uordblks;
  struct kq_place *place = create_place (workers);
  struct cost cost
      = { .bytes = (double)(mallinfo2 ().uordblks - before) / workers };
  struct kq_place_action actions[16];
  struct kq_place_running next;
  struct kq_name name;

  fill_task (&next, 0, TASKS_PER_WORKER);
  for (int i = 2; i < ROUNDS + 2; i++)
    {
      kq_usec now = i * KQ_USEC_PER_SEC;
      kq_usec start = kq_clock_now ();

      sync_tables (place, workers, now);
      cost.table_us += (double)(kq_clock_now () - start) / workers / ROUNDS;
      start = kq_clock_now ();
      kq_place_relieve_workers (place, now, actions, 16);
      cost.relieve_us += (double)(kq_clock_now () - start) / ROUNDS;
      start = kq_clock_now ();
      for (int k = 0; k < 100; k++)
        kq_place_choose_worker (place, &next.task, now, NULL, NULL, &name);
      cost.choose_us += (double)(kq_clock_now () - start) / 100 / ROUNDS;
    }
  kq_place_destroy (place);
  return cost;
}

/* A cell of the platform's scheduler. */
struct pass_cell
{
  struct kq_sched *sched;
  struct kq_sched_now now;
  struct kq_sched_queue queues[2];
  struct kq_sched_config config;
  uint64_t last_job;
};

static void
submit (struct pass_cell *cell, const char *queue,
        const struct kq_sched_step *step)
{
  struct kq_sched_spec spec = { .step_count = 1 };
  struct kq_sched_event event = { .kind = KQ_SCHED_EV_SUBMIT };

  spec.text = strdup ("");
  spec.steps = malloc (sizeof *step);
  *spec.steps = *step;
  event.u.call.job = ++cell->last_job;
  event.u.call.queue = queue;
  event.u.call.spec = &spec;
  event.u.call.body = "";
  kq_sched_event (cell->sched, cell->now, &event);
}

/* Registers a worker, or replies to a poll of it without any run. */
static void
update_worker (struct pass_cell *cell, int number, bool registers)
{
  struct kq_sched_registration registration
      = { .capacity = { 64000, 256000, 0 }, .incarnation_ms = 1 };
  struct kq_sched_status status
      = { .worker_clock_ms = 1000, .incarnation_ms = 1 };
  struct kq_sched_event event = { .kind = KQ_SCHED_EV_WORKER };

  snprintf (registration.id, sizeof registration.id, "w%d", number);
  strcpy (registration.service, "s");
  event.u.report = &registration;
  if (!registers)
    {
      event.kind = KQ_SCHED_EV_POLLED;
      event.u.polled.worker = registration.id;
      event.u.polled.sent_at = 0;
      event.u.polled.worker_status = &status;
    }
  kq_sched_event (cell->sched, cell->now, &event);
}

/* Stores all records and lets the workers accept all starts. */
static void
accept_starts (struct pass_cell *cell)
{
  struct kq_sched_record *records = NULL;
  struct kq_sched_event stored = { .kind = KQ_SCHED_EV_STORED };
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

/* Fills a cell of WORKERS with tasks that lose too much by a stop. The queue
   of these tasks has the priority BATCH_PRIORITY. */
static struct pass_cell *
create_full_cell (int workers, int batch_priority)
{
  struct pass_cell *cell = calloc (1, sizeof *cell);
  struct kq_sched_event event = { .kind = KQ_SCHED_EV_CONFIG };
  struct kq_sched_step step = { .count = workers,
                                .demand = { 4000, 1000, 0 },
                                .est_ms = INT64_C (100) * 3600 * 1000 };

  cell->sched = kq_sched_create ();
  cell->now.mono = KQ_USEC_PER_SEC;
  cell->now.wall_ms = INT64_C (1700000000000);
  for (int i = 0; i < 2; i++)
    {
      cell->queues[i] = (struct kq_sched_queue){
        .priority = i * batch_priority, .attempts = 3, .slo_ms = 3000
      };
      strcpy (cell->queues[i].name, i == 0 ? "urgent" : "batch");
      strcpy (cell->queues[i].service, "s");
    }
  cell->config.queues = cell->queues;
  cell->config.queue_count = 2;
  event.u.config = &cell->config;
  kq_sched_confirm_term (cell->sched, cell->now.mono);
  kq_sched_event (cell->sched, cell->now, &event);
  for (int w = 0; w < workers; w++)
    {
      update_worker (cell, w, true);
      update_worker (cell, w, false);
    }
  for (int i = 0; i < PASS_TASKS_PER_WORKER; i++)
    submit (cell, "batch", &step);
  kq_sched_place (cell->sched, cell->now);
  accept_starts (cell);
  cell->now.wall_ms += INT64_C (20) * 3600 * 1000;
  step = (struct kq_sched_step){ .count = 1,
                                 .demand = { 2000, 1000, 0 },
                                 .est_ms = 600 };
  for (int i = 0; i < URGENT_JOBS; i++)
    submit (cell, "urgent", &step);
  return cell;
}

/* Returns the processor time of a placement pass, with SEARCH a search in
   each. */
static double
measure_pass (int workers, int batch_priority, bool search)
{
  struct pass_cell *cell = create_full_cell (workers, batch_priority);
  struct kq_sched_counts counts;
  kq_usec total = 0;

  if (search)
    cell->now.mono += 100 * KQ_USEC_PER_MSEC;
  for (int i = 0; i < PASS_ROUNDS; i++)
    {
      kq_usec start;

      cell->now.mono += search ? 10 * KQ_USEC_PER_MSEC : 1;
      kq_sched_tick (cell->sched, cell->now);
      start = kq_clock_now ();
      kq_sched_place (cell->sched, cell->now);
      total += kq_clock_now () - start;
    }
  kq_sched_count (cell->sched, &counts);
  if (counts.bound_tasks != workers * PASS_TASKS_PER_WORKER
      || counts.urgent_preemptions != 0
      || counts.preemptions_refused != (search ? PASS_ROUNDS : 0))
    printf ("place_pass: not the load that was meant, %d bound, %d refused\n",
            counts.bound_tasks, (int)counts.preemptions_refused);
  kq_sched_destroy (cell->sched);
  free (cell);
  return (double)total / PASS_ROUNDS;
}

static void
print_pass (const char *name, int batch_priority, bool search)
{
  double small = measure_pass (PASS_WORKERS_SMALL, batch_priority, search);
  double large = measure_pass (PASS_WORKERS_LARGE, batch_priority, search);

  printf ("place_pass_%s_%d_workers %.1f us %.1f %.2f\n", name,
          PASS_WORKERS_LARGE, large, small, large / small);
}

static void
print_figure (const char *figure, const char *unit, double large, double small)
{
  printf ("place_%s_%d_workers %.2f %s %.2f %.2f\n", figure, WORKERS_LARGE,
          large, unit, small, large / small);
}

int
main (void)
{
  struct cost small = measure (WORKERS_SMALL);
  struct cost large = measure (WORKERS_LARGE);

  print_figure ("choose", "us", large.choose_us, small.choose_us);
  print_figure ("table", "us-per-worker", large.table_us, small.table_us);
  print_figure ("relieve", "us", large.relieve_us, small.relieve_us);
  print_figure ("memory", "bytes-per-worker-of-20-tasks", large.bytes,
                small.bytes);
  print_pass ("one_priority", 0, false);
  print_pass ("preemption_idle", 2, false);
  print_pass ("preemption_search", 2, true);
  return 0;
}

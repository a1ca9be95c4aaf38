/* Measures the cost of placement on its host: processor time of one choice of
   a worker, of one update of a worker's table and of one relief round, and
   memory of a worker with its tasks.  Each is measured at two sizes, so that
   the cost per worker can be computed.

   Prints one line per figure: name, value, unit, the value at the smaller
   size, and the ratio of the two.  */

#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>

#include "base/clock.h"
#include "place/place.h"

#define WORKERS_SMALL 50
#define WORKERS_LARGE 200
#define WORKERS_PER_RACK 10
#define TASKS_PER_WORKER 20
#define ROUNDS 10

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
  return 0;
}

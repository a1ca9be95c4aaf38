/* Measures what waits for racks cost the owner on its host: processor time of
   a placement decision, of a look at a task that waits, and of a tick, in a
   cell of 490 workers in 20 racks.

   Prints one line per figure: name, value, unit, the value of the same
   decisions without waits (remote_factor 1), and the ratio of the two. Each
   value is the least of several rounds.  */

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "log/log.h"
#include "sched/internal.h"

#define WORKERS 490
#define RACKS 20
#define ROUNDS 15
#define JOBS 300
#define LENGTH_MS 60000
#define REMOTE_FACTOR 2
#define GANG 8

enum load
{
  LOAD_NO_RACK,   /* jobs name no rack */
  LOAD_FREE,      /* the rack of the data has room */
  LOAD_FULL,      /* it has none: the tasks wait, or start elsewhere */
  LOAD_NO_ENDS,   /* it has none, and no figures: the tasks start elsewhere */
  LOAD_GROUPS,    /* gangs that should share a rack */
  LOAD_FULL_GANGS /* gangs for whom no rack has room now */
};

struct cost
{
  double place_us; /* of a decision */
  double look_us;  /* of a later look at the same tasks */
  double tick_us;
};

static struct kq_sched_queue queue = { .name = "q",
                                       .service = "s",
                                       .attempts = 3,
                                       .stretch = 2,
                                       .slo_ms = INT64_C (100) * LENGTH_MS };
static struct kq_sched_config config
    = { .queues = &queue, .queue_count = 1, .max_body_bytes = 1000 };
static struct kq_sched_now now
    = { .mono = 1000 * KQ_USEC_PER_SEC, .wall_ms = INT64_C (1700000000000) };

static void
add_worker (struct kq_sched *sched, int number)
{
  struct kq_sched_registration report
      = { .capacity = { 64000, 256000, 0 }, .incarnation_ms = 1 };
  struct kq_sched_status status
      = { .worker_clock_ms = 1000, .incarnation_ms = 1 };
  struct kq_sched_event event = { .kind = KQ_SCHED_EV_WORKER };

  snprintf (report.id, sizeof report.id, "w%d", number);
  snprintf (report.service, sizeof report.service, "s");
  snprintf (report.address, sizeof report.address, "10.0.0.1:%d", number);
  snprintf (report.rack, sizeof report.rack, "r%d", number % RACKS);
  event.u.report = &report;
  kq_sched_event (sched, now, &event);
  event.kind = KQ_SCHED_EV_POLLED;
  event.u.polled.worker = report.id;
  event.u.polled.reply = KQ_SCHED_OK;
  event.u.polled.sent_at = now.mono;
  event.u.polled.worker_status = &status;
  kq_sched_event (sched, now, &event);
}

static void
submit (struct kq_sched *sched, const struct kq_sched_step *step)
{
  static uint64_t last_id;
  struct kq_sched_spec spec = { .text = strdup ("text"), .step_count = 1 };
  struct kq_sched_event event = { .kind = KQ_SCHED_EV_SUBMIT };

  spec.steps = calloc (1, sizeof *spec.steps);
  spec.steps[0] = *step;
  spec.steps[0].after = calloc (1, sizeof *spec.steps[0].after);
  event.u.call.job = ++last_id;
  event.u.call.queue = "q";
  event.u.call.spec = &spec;
  event.u.call.body = "";
  kq_sched_event (sched, now, &event);
}

/* Lets SCHED see enough ends in each rack, and none missing since. */
static void
teach_ends (struct kq_sched *sched)
{
  const struct kq_sched_demand freed = { 64000, 256000, 0 };
  const struct kq_near_running running
      = { 1000, 1000 * kq_near_rate (LENGTH_MS) };

  for (struct rack *rack = sched->racks; rack != NULL; rack = rack->hh.next)
    {
      kq_usec at = now.mono - 20 * KQ_USEC_PER_MSEC;

      for (int i = 0; i < 20; i++)
        {
          kq_near_set_running (&rack->ends, &running, at);
          at += KQ_USEC_PER_MSEC;
          kq_near_note_end (&rack->ends, &freed, at);
        }
      kq_near_set_running (&rack->ends, &running, at);
    }
}

static struct kq_sched *
create_cell (enum load load, double remote_factor)
{
  struct kq_sched *sched = kq_sched_create ();
  struct kq_sched_settings settings = KQ_SCHED_DEFAULT_SETTINGS;
  struct kq_sched_event event = { .kind = KQ_SCHED_EV_CONFIG };

  settings.remote_factor = remote_factor;
  kq_sched_set_settings (sched, &settings);
  kq_sched_begin_term (sched, 1, 0);
  kq_sched_confirm_term (sched, now.mono);
  event.u.config = &config;
  kq_sched_event (sched, now, &event);
  kq_sched_finish_restore (sched, now);
  for (int i = 0; i < WORKERS; i++)
    add_worker (sched, i);
  for (int i = 0; i < WORKERS; i++)
    {
      struct kq_sched_step filled
          = { .count = 1, .demand = { 40000, 64000, 0 }, .est_ms = LENGTH_MS };

      snprintf (filled.label, sizeof filled.label, "r%d", i % RACKS);
      if (load == LOAD_FULL_GANGS
          || (i % RACKS == 0 && (load == LOAD_FULL || load == LOAD_NO_ENDS)))
        submit (sched, &filled);
    }
  kq_sched_place (sched, now);
  if (load != LOAD_NO_ENDS)
    teach_ends (sched);
  return sched;
}

static struct kq_sched_step
step_of (enum load load)
{
  struct kq_sched_step step
      = { .count = 1, .demand = { 1000, 1000, 0 }, .est_ms = LENGTH_MS };

  if (load == LOAD_FULL || load == LOAD_NO_ENDS)
    step.demand.cpu = 30000;
  if (load != LOAD_NO_RACK)
    strcpy (step.rack, "r0");
  if (load < LOAD_GROUPS)
    return step;
  step.rack[0] = '\0';
  step.count = GANG;
  step.gang = true;
  step.same_rack = true;
  step.max_per_worker = 1;
  if (load == LOAD_FULL_GANGS)
    step = (struct kq_sched_step){ .count = 2 * GANG,
                                   .demand = { 30000, 1000, 0 },
                                   .est_ms = LENGTH_MS,
                                   .gang = true,
                                   .same_rack = true };
  return step;
}

static double
time_place (struct kq_sched *sched, int decisions)
{
  kq_usec start = kq_clock_now ();

  sched->placement_due = true;
  kq_sched_place (sched, now);
  return (double)(kq_clock_now () - start) / decisions;
}

static struct cost
measure_once (enum load load, double remote_factor)
{
  struct kq_sched *sched = create_cell (load, remote_factor);
  struct kq_sched_step step = step_of (load);
  struct cost cost;
  kq_usec start;

  for (int i = 0; i < JOBS; i++)
    submit (sched, &step);
  cost.place_us = time_place (sched, JOBS * step.count);
  cost.look_us = time_place (sched, JOBS * step.count);
  start = kq_clock_now ();
  kq_sched_tick (sched, now);
  cost.tick_us = (double)(kq_clock_now () - start);
  kq_sched_destroy (sched);
  return cost;
}

static void
keep_least (struct cost *least, const struct cost *cost)
{
  if (least->place_us <= 0 || cost->place_us < least->place_us)
    least->place_us = cost->place_us;
  if (least->look_us <= 0 || cost->look_us < least->look_us)
    least->look_us = cost->look_us;
  if (least->tick_us <= 0 || cost->tick_us < least->tick_us)
    least->tick_us = cost->tick_us;
}

/* Measures LOAD with and without waits by turns, so that a change of the
   host's speed meets both. */
static void
measure (enum load load, struct cost *with, struct cost *without)
{
  *with = (struct cost){ 0, 0, 0 };
  *without = *with;
  for (int i = 0; i < ROUNDS; i++)
    {
      struct cost cost = measure_once (load, REMOTE_FACTOR);

      keep_least (with, &cost);
      cost = measure_once (load, 1);
      keep_least (without, &cost);
    }
}

/* Returns the cost of the end of a wait, with its log line at LEVEL. */
static double
measure_ends (enum kq_log_level level)
{
  struct kq_sched *sched = create_cell (LOAD_FULL, REMOTE_FACTOR);
  struct kq_sched_step step = step_of (LOAD_FULL);
  kq_usec start;
  int count;

  for (int i = 0; i < JOBS; i++)
    submit (sched, &step);
  time_place (sched, JOBS);
  count = sched->counts.rack_waiting;
  kq_log_setup (level, "bench");
  start = kq_clock_now ();
  for (struct job *job = sched->jobs; job != NULL; job = job->hh.next)
    rack_end_wait (sched, &job->stages[0].tasks[0], true, "near", now);
  start = kq_clock_now () - start;
  kq_log_setup (KQ_LOG_ERROR, "bench");
  kq_sched_destroy (sched);
  return (double)start / count;
}

static void
print_figure (const char *name, const char *figure, const char *unit,
              double value, double baseline)
{
  printf ("near_cost_%s_%s %.3f %s %.3f ", name, figure, value, unit,
          baseline);
  if (baseline > 0)
    printf ("%.3f\n", value / baseline);
  else
    printf ("-\n");
}

int
main (void)
{
  static const char *const names[] = {
    [LOAD_NO_RACK] = "no_rack",   [LOAD_FREE] = "free_rack",
    [LOAD_FULL] = "full_rack",    [LOAD_NO_ENDS] = "full_rack_no_figures",
    [LOAD_GROUPS] = "free_gangs", [LOAD_FULL_GANGS] = "full_gangs",
  };

  kq_log_setup (KQ_LOG_ERROR, "bench");
  for (int load = LOAD_NO_RACK; load <= LOAD_FULL_GANGS; load++)
    {
      struct cost with;
      struct cost without;

      measure ((enum load)load, &with, &without);
      print_figure (names[load], "decision", "us", with.place_us,
                    without.place_us);
      print_figure (names[load], "look", "us", with.look_us, without.look_us);
      print_figure (names[load], "tick", "us", with.tick_us, without.tick_us);
    }
  print_figure ("wait", "end_with_log_line", "us", measure_ends (KQ_LOG_INFO),
                measure_ends (KQ_LOG_ERROR));
  print_figure ("rack", "memory", "bytes", (double)sizeof (struct rack), 0);
  return 0;
}

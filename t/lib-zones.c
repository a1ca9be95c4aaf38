#include "t/lib-zones.h"

#include <stdio.h>
#include <stdlib.h>

#include "t/kqtest.h"

#define STEP_MS 50

static void
read_topic (struct tz_site *site)
{
  struct kq_sched_event event = { .kind = KQ_SCHED_EV_EVACUATE };

  if (site->topic_unreadable)
    return;
  event.u.zones = &site->zones;
  kq_sched_event (site->cell.sched, site->cell.now, &event);
  kq_sched_note_zones (site->cell.sched, site->cell.now.mono);
}

struct tz_site *
tz_create (int64_t evac_ms, double warmup_excess)
{
  struct tz_site *site = calloc (1, sizeof *site);

  if (site == NULL)
    abort ();
  site->settings = KQ_SCHED_DEFAULT_SETTINGS;
  site->settings.evac_ms = evac_ms;
  site->settings.warmup_excess = warmup_excess;
  ts_start (&site->cell);
  kq_sched_set_settings (site->cell.sched, &site->settings);
  read_topic (site);
  return site;
}

void
tz_destroy (struct tz_site *site)
{
  ts_stop (&site->cell);
  free (site);
}

static const struct kq_sched_step *
step_of (const struct tz_site *site, const struct tz_run *run)
{
  return &site->steps[run->order.run.job];
}

static int
percent_of (const struct tz_site *site, const struct tz_run *run)
{
  const struct kq_sched_step *step = step_of (site, run);
  int64_t ms = (site->cell.now.mono - run->order.at) / KQ_USEC_PER_MSEC;
  int64_t length = step->long_running ? site->startup_ms : step->est_ms;

  return ms < length ? (int)(ms * 100 / length) : 100;
}

/* Ends the runs at WORKER that are over, and answers its poll. */
static void
report_status (struct tz_site *site, struct tz_worker *worker)
{
  struct kq_sched_running rows[TZ_RUNS];

  for (int i = 0; i < worker->run_count; i++)
    {
      struct tz_run *run = &worker->runs[i];
      bool stopped = run->stopped_at != 0
                     && site->cell.now.mono - run->stopped_at
                            >= site->stop_ms * KQ_USEC_PER_MSEC;
      int percent = percent_of (site, run);

      rows[i] = ts_running (&run->order, percent);
      if (!stopped && (step_of (site, run)->long_running || percent < 100))
        continue;
      worker->ended[worker->ended_count]
          = ts_ended (&run->order, ++worker->last_end,
                      stopped ? KQ_SCHED_STOPPED : KQ_SCHED_DONE);
      worker->ended[worker->ended_count++].checkpoint = "c";
      worker->runs[i--] = worker->runs[--worker->run_count];
    }
  ts_reply_poll (&site->cell, worker->report.id, rows,
                 (size_t)worker->run_count, worker->ended,
                 (size_t)worker->ended_count);
  worker->ended_count = 0;
}

void
tz_register (struct tz_site *site, int worker)
{
  ts_register (&site->cell, &site->workers[worker].report);
  report_status (site, &site->workers[worker]);
}

void
tz_add_workers (struct tz_site *site, int count, char zone, int64_t cpu,
                int64_t warmup_ms)
{
  for (; count > 0; count--)
    {
      struct kq_sched_registration *report
          = &site->workers[site->worker_count].report;

      *report = (struct kq_sched_registration){ .capacity = { cpu, 100000, 0 },
                                                .incarnation_ms = 1,
                                                .warmup_left_ms = warmup_ms,
                                                .zone = { zone },
                                                .service = "s",
                                                .address = "10.0.0.1:80" };
      snprintf (report->id, sizeof report->id, "%d", site->worker_count);
      tz_register (site, site->worker_count++);
    }
}

void
tz_evacuate (struct tz_site *site, const char *zones)
{
  site->zones.count = 0;
  for (; *zones != '\0'; zones++)
    kq_sched_zones_add (&site->zones, (const char[]){ *zones, '\0' });
  read_topic (site);
}

void
tz_take_over (struct tz_site *site)
{
  ts_take_over (&site->cell);
  kq_sched_set_settings (site->cell.sched, &site->settings);
  for (int i = 0; i < site->worker_count; i++)
    tz_register (site, i);
}

void
tz_submit (struct tz_site *site, uint64_t job, int count,
           const struct kq_sched_step *step)
{
  site->steps[job] = *step;
  site->steps[job].count = count;
  ts_submit (&site->cell, job, "batch", &site->steps[job], 1);
}

static void
carry_out (struct tz_site *site, const struct ts_order *order)
{
  struct tz_worker *worker = &site->workers[atoi (order->worker)];

  if (order->kind == KQ_SCHED_FX_START)
    worker->runs[worker->run_count++] = (struct tz_run){ .order = *order };
  for (int i = 0; order->kind == KQ_SCHED_FX_STOP && i < worker->run_count;
       i++)
    if (worker->runs[i].order.run.job == order->run.job
        && worker->runs[i].order.run.index == order->run.index)
      worker->runs[i].stopped_at = site->cell.now.mono;
  ts_reply_order (&site->cell, order, KQ_SCHED_OK);
}

void
tz_run (struct tz_site *site, int64_t ms)
{
  kq_usec until = site->cell.now.mono + ms * KQ_USEC_PER_MSEC;
  struct kq_sched_poll poll;

  while (site->cell.now.mono < until)
    {
      ts_advance (&site->cell, STEP_MS);
      read_topic (site);
      ts_process_pending (&site->cell);
      while (site->handled_orders < site->cell.order_count)
        carry_out (site, &site->cell.orders[site->handled_orders++]);
      while (kq_sched_next_poll (site->cell.sched, site->cell.now, &poll))
        ;
      for (int i = 0; i < site->worker_count; i++)
        report_status (site, &site->workers[i]);
    }
}

int
tz_starts (const struct tz_site *site, char zone)
{
  int count = 0;

  for (int i = 0; i < site->cell.order_count; i++)
    {
      const struct ts_order *order = &site->cell.orders[i];

      count += order->kind == KQ_SCHED_FX_START
               && site->workers[atoi (order->worker)].report.zone[0] == zone;
    }
  return count;
}

/* Counts the runs in ZONE, or the long-running tasks at work if it is 0. */
static int
count_runs (const struct tz_site *site, char zone)
{
  int count = 0;

  for (int i = 0; i < site->worker_count; i++)
    for (int j = 0; j < site->workers[i].run_count; j++)
      {
        const struct tz_run *run = &site->workers[i].runs[j];

        count += zone != 0 ? site->workers[i].report.zone[0] == zone
                           : run->stopped_at == 0
                                 && step_of (site, run)->long_running
                                 && percent_of (site, run) == 100;
      }
  return count;
}

int
tz_runs (const struct tz_site *site, char zone)
{
  return count_runs (site, zone);
}

int
tz_at_work (const struct tz_site *site)
{
  return count_runs (site, 0);
}

struct kq_sched_counts
tz_counts (const struct tz_site *site)
{
  struct kq_sched_counts counts;

  kq_sched_count (site->cell.sched, &counts);
  return counts;
}

#include "t/lib-zones.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "t/kqtest.h"

#define STEP_MS 50

static const struct kq_sched_step *
step_of (const struct tz_site *site, const struct ts_order *order)
{
  return &site->steps[order->run.job % TZ_JOBS];
}

struct tz_site *
tz_create (const struct kq_sched_settings *settings)
{
  struct tz_site *site = calloc (1, sizeof *site);

  if (site == NULL)
    abort ();
  ts_start (&site->cell);
  kq_sched_set_settings (site->cell.sched, settings);
  tz_read_topic (site);
  return site;
}

void
tz_destroy (struct tz_site *site)
{
  ts_stop (&site->cell);
  free (site);
}

static void
report_status (struct tz_site *site, struct tz_worker *worker)
{
  struct kq_sched_running rows[TZ_RUNS];

  for (int i = 0; i < worker->run_count; i++)
    {
      const struct ts_order *run = &worker->runs[i];
      const struct kq_sched_step *step = step_of (site, run);
      int64_t ms = (site->cell.now.mono - run->at) / KQ_USEC_PER_MSEC;
      int64_t length = step->long_running ? site->startup_ms : step->est_ms;
      int percent = ms < length ? (int)(ms * 100 / length) : 100;

      rows[i] = ts_running (run, percent);
      if (step->checkpointable)
        snprintf (rows[i].checkpoint, sizeof rows[i].checkpoint, "at %d",
                  percent);
    }
  ts_reply_poll (&site->cell, worker->report.id, rows,
                 (size_t)worker->run_count, worker->ended,
                 (size_t)worker->ended_count);
  worker->ended_count = 0;
}

static void
take_polls (struct tz_site *site)
{
  struct kq_sched_poll poll;

  while (kq_sched_next_poll (site->cell.sched, site->cell.now, &poll))
    ;
}

static void
add_report (struct tz_site *site, struct tz_worker *worker)
{
  ts_register (&site->cell, &worker->report);
  report_status (site, worker);
}

void
tz_add_worker (struct tz_site *site, const char *zone, int64_t cpu,
               int64_t warmup_ms)
{
  struct tz_worker *worker = &site->workers[site->worker_count];
  struct kq_sched_registration *report = &worker->report;

  CU_ASSERT_FATAL (site->worker_count < TZ_WORKERS);
  *report = (struct kq_sched_registration){
    .capacity = { cpu, 1000000, 0 },
    .incarnation_ms = 1,
    .warmup_left_ms = warmup_ms,
  };
  snprintf (report->id, sizeof report->id, "%d", site->worker_count++);
  snprintf (report->service, sizeof report->service, "s");
  snprintf (report->address, sizeof report->address, "10.0.0.1:80");
  snprintf (report->zone, sizeof report->zone, "%s", zone);
  add_report (site, worker);
}

void
tz_reregister (struct tz_site *site, int index, int64_t warmup_ms)
{
  site->workers[index].report.warmup_left_ms = warmup_ms;
  add_report (site, &site->workers[index]);
}

void
tz_read_topic (struct tz_site *site)
{
  struct kq_sched_event event = { .kind = KQ_SCHED_EV_EVACUATE };

  event.u.zones = &site->zones;
  kq_sched_event (site->cell.sched, site->cell.now, &event);
  kq_sched_note_zones (site->cell.sched, site->cell.now.mono);
}

void
tz_evacuate (struct tz_site *site, const char *zone)
{
  CU_ASSERT_EQUAL (kq_sched_zones_add (&site->zones, zone), 0);
  if (!site->topic_unreadable)
    tz_read_topic (site);
}

void
tz_take_back (struct tz_site *site, const char *zone)
{
  kq_sched_zones_remove (&site->zones, zone);
  if (!site->topic_unreadable)
    tz_read_topic (site);
}

void
tz_take_over (struct tz_site *site)
{
  static const struct kq_sched_settings settings = {
    .remote_factor = 1, .warmup_excess = 1.5, .stop_ms = 400, .evac_ms = 5000
  };

  ts_take_over (&site->cell);
  kq_sched_set_settings (site->cell.sched, &settings);
  for (int i = 0; i < site->worker_count; i++)
    add_report (site, &site->workers[i]);
}

void
tz_submit (struct tz_site *site, uint64_t job, const char *queue,
           const struct kq_sched_step *step)
{
  site->steps[job % TZ_JOBS] = *step;
  ts_submit (&site->cell, job, queue, step, 1);
}

static struct tz_worker *
find_worker (struct tz_site *site, const char *id)
{
  return &site->workers[atoi (id)];
}

/* Ends run INDEX at WORKER. */
static void
end_run (struct tz_worker *worker, int index, enum kq_sched_end how)
{
  if (worker->ended_count < TZ_RUNS)
    {
      worker->ended[worker->ended_count++]
          = ts_ended (&worker->runs[index], ++worker->last_end, how);
      memcpy (worker->ended[worker->ended_count - 1].checkpoint, "cp", 3);
    }
  worker->runs[index] = worker->runs[--worker->run_count];
  worker->stopped_at[index] = worker->stopped_at[worker->run_count];
}

static void
carry_out (struct tz_site *site, const struct ts_order *order)
{
  struct tz_worker *worker = find_worker (site, order->worker);

  if (order->kind == KQ_SCHED_FX_START)
    {
      CU_ASSERT_FATAL (worker->run_count < TZ_RUNS);
      worker->stopped_at[worker->run_count] = 0;
      worker->runs[worker->run_count++] = *order;
    }
  for (int i = 0; order->kind == KQ_SCHED_FX_STOP && i < worker->run_count;
       i++)
    if (memcmp (&worker->runs[i].run, &order->run, sizeof order->run) == 0)
      worker->stopped_at[i] = site->cell.now.mono;
  ts_reply_order (&site->cell, order, KQ_SCHED_OK);
}

static void
end_due_runs (struct tz_site *site, struct tz_worker *worker)
{
  for (int i = 0; i < worker->run_count; i++)
    {
      const struct kq_sched_step *step = step_of (site, &worker->runs[i]);

      if (worker->stopped_at[i] != 0
          && site->cell.now.mono - worker->stopped_at[i]
                 >= site->stop_ms * KQ_USEC_PER_MSEC)
        end_run (worker, i--, KQ_SCHED_STOPPED);
      else if (!step->long_running
               && site->cell.now.mono - worker->runs[i].at
                      >= step->est_ms * KQ_USEC_PER_MSEC)
        end_run (worker, i--, KQ_SCHED_DONE);
    }
}

void
tz_run (struct tz_site *site, int64_t ms)
{
  kq_usec until = site->cell.now.mono + ms * KQ_USEC_PER_MSEC;

  while (site->cell.now.mono < until)
    {
      ts_advance (&site->cell, STEP_MS);
      if (!site->topic_unreadable)
        tz_read_topic (site);
      ts_process_pending (&site->cell);
      for (; site->handled_orders < site->cell.order_count;
           site->handled_orders++)
        carry_out (site, &site->cell.orders[site->handled_orders]);
      take_polls (site);
      for (int i = 0; i < site->worker_count; i++)
        {
          end_due_runs (site, &site->workers[i]);
          report_status (site, &site->workers[i]);
        }
    }
}

int
tz_starts (const struct tz_site *site, const char *zone, kq_usec since)
{
  int count = 0;

  for (int i = 0; i < site->cell.order_count; i++)
    {
      const struct ts_order *order = &site->cell.orders[i];

      count
          += order->kind == KQ_SCHED_FX_START && order->at >= since
             && strcmp (site->workers[atoi (order->worker)].report.zone, zone)
                    == 0;
    }
  return count;
}

int
tz_runs (const struct tz_site *site, const char *zone)
{
  int count = 0;

  for (int i = 0; i < site->worker_count; i++)
    if (strcmp (site->workers[i].report.zone, zone) == 0)
      count += site->workers[i].run_count;
  return count;
}

int
tz_at_work (const struct tz_site *site)
{
  int count = 0;

  for (int i = 0; i < site->worker_count; i++)
    for (int j = 0; j < site->workers[i].run_count; j++)
      {
        const struct ts_order *run = &site->workers[i].runs[j];

        count += step_of (site, run)->long_running
                 && site->workers[i].stopped_at[j] == 0
                 && site->cell.now.mono - run->at
                        >= site->startup_ms * KQ_USEC_PER_MSEC;
      }
  return count;
}

struct kq_sched_counts
tz_counts (const struct tz_site *site)
{
  struct kq_sched_counts counts;

  kq_sched_count (site->cell.sched, &counts);
  return counts;
}

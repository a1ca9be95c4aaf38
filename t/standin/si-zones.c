#include "t/standin/si-zones.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#include "t/standin/si-store.h"

#define ZONE_COUNT 3

struct evacuation
{
  const char *zone;
  bool requested;
  double requested_at;
  double ends_at;
};

struct refused_job
{
  char id[24];
  struct refused_job *next;
};

int64_t si_evacuation_count;
int64_t si_cold_start_count;
int64_t si_refused_job_count;
int64_t si_latest_zone_start_ms;
static struct evacuation evacuations[ZONE_COUNT]
    = { { .zone = "z1" }, { .zone = "z2" }, { .zone = "z3" } };
static struct refused_job *refused_jobs;

static const struct evacuation *
evacuation_at (const struct worker *worker)
{
  return &evacuations[worker->number % ZONE_COUNT];
}

const char *
si_zone (const struct worker *worker)
{
  return evacuation_at (worker)->zone;
}

int64_t
si_warmup_left_ms (const struct worker *worker)
{
  double left = worker->warm_at - si_now ();

  return left > 0 ? (int64_t)(left * 1000) + 1 : 0;
}

static void
put_key (const char *zone, json_t *value)
{
  char key[32];

  snprintf (key, sizeof key, "evacuate/%s", zone);
  si_store_put ("keyed.op", key, value);
}

void
si_evacuate (const char *zone, int64_t ms)
{
  for (struct evacuation *at = evacuations; at < evacuations + ZONE_COUNT;
       at++)
    {
      if (strcmp (at->zone, zone) != 0 || at->requested)
        continue;
      put_key (zone, json_object ());
      at->requested = true;
      at->requested_at = si_now ();
      at->ends_at = at->requested_at + (double)ms / 1000;
      si_evacuation_count++;
    }
}

void
si_advance_evacuations (void)
{
  for (struct evacuation *at = evacuations; at < evacuations + ZONE_COUNT;
       at++)
    {
      if (!at->requested || si_now () < at->ends_at)
        continue;
      put_key (at->zone, NULL);
      at->requested = false;
    }
}

static bool
is_task_of (const char *name, const char *id)
{
  return strncmp (name, id, strlen (id)) == 0;
}

static void
record_refused_start (const char *name)
{
  if (si_violation[0] == '\0')
    snprintf (si_violation, sizeof si_violation,
              "start of %s, whose job was refused", name);
}

void
si_note_refused (const char *id)
{
  struct refused_job *job = calloc (1, sizeof *job);
  const struct task *task;

  snprintf (job->id, sizeof job->id, "%s", id);
  LL_PREPEND (refused_jobs, job);
  si_refused_job_count++;
  for (task = si_tasks; task != NULL; task = task->hh.next)
    if (task->started_at > 0 && is_task_of (task->name, id))
      record_refused_start (task->name);
}

void
si_check_zone_and_job (const struct worker *worker, const char *name)
{
  const struct evacuation *evacuation = evacuation_at (worker);
  const struct refused_job *job;
  int64_t after_ms;

  LL_FOREACH (refused_jobs, job)
  {
    if (is_task_of (name, job->id))
      record_refused_start (name);
  }
  si_cold_start_count += si_warmup_left_ms (worker) > 0;
  if (!evacuation->requested)
    return;
  after_ms = (int64_t)((si_now () - evacuation->requested_at) * 1000);
  if (after_ms > si_latest_zone_start_ms)
    si_latest_zone_start_ms = after_ms;
  if (after_ms > SI_EVAC_MS && si_violation[0] == '\0')
    snprintf (si_violation, sizeof si_violation,
              "start of %s at %s in %s %lld ms after the request to evacuate",
              name, worker->id, evacuation->zone, (long long)after_ms);
}

/* Crashes of workers whose addresses others take, and of those that stay away
   for long. */
#include <stdio.h>
#include <string.h>

#include "t/lib-sim-internal.h"

#define TAKE_OVER_MS 1000
#define MAX_ABSENCE_MS 12000

void
sim_let_registration_lapse (struct sim *sim, struct sim_worker *worker)
{
  strcpy (worker->gone_id, worker->id);
  worker->gone_at = sim->now + REGISTRATION_MS;
}

void
sim_replace_worker (struct sim *sim, int number)
{
  struct sim_worker *worker = &sim->workers[number];

  if (!worker->up)
    return;
  sim_crash (sim, worker);
  worker->restart_at = sim->now + TAKE_OVER_MS;
  worker->replaced = true;
  sim_let_registration_lapse (sim, worker);
}

/* Half of the workers are cut off when they are back. */
void
sim_begin_absence (struct sim *sim, struct sim_worker *worker)
{
  sim_crash (sim, worker);
  worker->restart_at
      = sim->now + (int64_t)(gsl_rng_uniform (sim->rng) * MAX_ABSENCE_MS);
  worker->absent = true;
  worker->cut_when_back = gsl_rng_uniform (sim->rng) < 0.5;
  sim_let_registration_lapse (sim, worker);
}

void
sim_end_absence (struct sim *sim, struct sim_worker *worker)
{
  if (!worker->absent)
    return;
  worker->absent = false;
  if (worker->cut_when_back)
    worker->unreachable_until = sim->now + UNREACHABLE_MS;
  else
    worker->gone_at = 0;
}

static void
remove_registration (struct sim *sim, struct sim_worker *worker)
{
  struct kq_sched_event event = { .kind = KQ_SCHED_EV_WORKER_GONE };

  worker->gone_at = 0;
  event.u.worker = worker->gone_id;
  sim_send_event (sim, &event);
}

void
sim_advance_replacements (struct sim *sim)
{
  for (int i = 0; i < SIM_WORKERS; i++)
    {
      struct sim_worker *worker = &sim->workers[i];

      if (worker->replaced && sim->now >= worker->restart_at)
        {
          worker->replaced = false;
          snprintf (worker->id, sizeof worker->id, "w%d-%d", i,
                    ++worker->replacement);
        }
      if (worker->gone_at != 0 && sim->now >= worker->gone_at)
        remove_registration (sim, worker);
    }
}

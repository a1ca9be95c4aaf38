/* Crashes of workers whose addresses others take. */
#include <stdio.h>
#include <string.h>

#include "t/lib-sim-internal.h"

#define TAKE_OVER_MS 1000
#define REGISTRATION_MS 1500

void
sim_replace_worker (struct sim *sim, int number)
{
  struct sim_worker *worker = &sim->workers[number];

  if (!worker->up)
    return;
  sim_crash (sim, worker);
  worker->restart_at = sim->now + TAKE_OVER_MS;
  worker->replaced = true;
  strcpy (worker->gone_id, worker->id);
  worker->gone_at = sim->now + REGISTRATION_MS;
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

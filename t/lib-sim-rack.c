/* Racks of the simulated workers. */
#include <stdio.h>
#include <string.h>

#include "t/lib-sim-internal.h"

#define FNV_PRIME UINT64_C (0x100000001b3)

/* Thousandths of a core, ms. */
#define UNITS_PER_CORE_SECOND 1e6

void
sim_name_rack (const struct sim *sim, const struct sim_worker *worker,
               char rack[KQ_SCHED_NAME_SIZE])
{
  if (sim->workers_per_rack > 0)
    snprintf (rack, KQ_SCHED_NAME_SIZE, "r%d",
              (int)(worker - sim->workers) / sim->workers_per_rack);
}

void
sim_apply_settings (struct sim *sim)
{
  struct kq_sched_settings settings = KQ_SCHED_DEFAULT_SETTINGS;

  if (!sim->factor_is_known)
    return;
  settings.remote_factor = sim->remote_factor;
  kq_sched_set_settings (sim->sched, &settings);
}

static bool
is_off_data (const struct sim *sim, const struct sim_worker *worker,
             const struct kq_sched_step *step)
{
  char rack[KQ_SCHED_NAME_SIZE] = "";

  sim_name_rack (sim, worker, rack);
  return step->rack[0] != '\0' && strcmp (rack, step->rack) != 0;
}

void
sim_note_start (struct sim *sim, const struct sim_worker *worker,
                const struct sim_run_state *state)
{
  const uint64_t values[]
      = { (uint64_t)sim->now, (uint64_t)(worker - sim->workers),
          state->run.job, (uint64_t)state->run.step,
          (uint64_t)state->run.index };

  sim->far_starts += is_off_data (sim, worker, state->step);
  for (size_t i = 0; i < sizeof values / sizeof values[0]; i++)
    sim->start_hash = (sim->start_hash ^ values[i]) * FNV_PRIME;
}

int
sim_far_starts (const struct sim *sim)
{
  return sim->far_starts;
}

uint64_t
sim_start_hash (const struct sim *sim)
{
  return sim->start_hash;
}

/* Whether WORKER has a run of the step of STATE. */
static bool
has_member (const struct sim_worker *worker, const struct sim_run_state *state)
{
  for (int i = 0; i < SIM_RUNS; i++)
    if (worker->runs[i].used && worker->runs[i].run.job == state->run.job
        && worker->runs[i].run.step == state->run.step)
      return true;
  return false;
}

double
sim_slowdown (const struct sim *sim, const struct sim_worker *worker,
              const struct sim_run_state *state)
{
  if (sim->workers_per_rack == 0)
    return 1;
  if (is_off_data (sim, worker, state->step))
    return sim->remote_factor;
  for (int i = 0; state->step->same_rack && i < SIM_WORKERS; i++)
    if (i / sim->workers_per_rack
            != (int)(worker - sim->workers) / sim->workers_per_rack
        && has_member (&sim->workers[i], state))
      return sim->remote_factor;
  return 1;
}

void
sim_set_racks (struct sim *sim, int per_rack, double remote_factor, bool known)
{
  sim->workers_per_rack = per_rack;
  sim->remote_factor = remote_factor;
  sim->factor_is_known = known;
  sim_apply_settings (sim);
  for (int i = 0; i < SIM_WORKERS; i++)
    if (sim->workers[i].up)
      sim_register_worker (sim, &sim->workers[i]);
}

void
sim_count (const struct sim *sim, struct kq_sched_counts *counts)
{
  kq_sched_count (sim->sched, counts);
}

double
sim_discarded (const struct sim *sim)
{
  return sim->discarded_ms / UNITS_PER_CORE_SECOND;
}

double
sim_slowed (const struct sim *sim)
{
  return sim->slowed_ms / UNITS_PER_CORE_SECOND;
}

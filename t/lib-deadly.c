#include "t/lib-deadly.h"

#include <stdio.h>

#define JOBS 20
#define DEADLY_EACH 5

static const struct kq_sched_step work
    = { .count = 3, .demand = { 1000, 1000, 0 }, .est_ms = 1500 };

int
deadly_most_starts (unsigned long seed, const struct sim_faults *faults)
{
  struct sim *sim = sim_create (seed, faults);
  int most = 0;

  for (int i = 0; i < JOBS; i++)
    {
      sim_submit (sim, "urgent", &work, 1);
      if (i % DEADLY_EACH == 0)
        sim_make_deadly (sim, i);
      sim_run (sim, 1000);
    }
  sim_run (sim, 60000);
  for (int i = 0; i < JOBS; i += DEADLY_EACH)
    {
      int starts = sim_deadly_starts (sim, i);

      if (starts > DEADLY_MAX_STARTS)
        printf ("seed %lu: job %d started %d times\n", seed, i, starts);
      if (starts > most)
        most = starts;
    }
  sim_destroy (sim);
  return most;
}

int
deadly_most_starts_late (unsigned long seed, int max_delay_ms)
{
  /* Workers restart under their IDs, also for other causes. */
  const struct sim_faults faults = { .delayed = 0.3,
                                     .max_delay_ms = max_delay_ms,
                                     .worker_crash = 0.9,
                                     .orders_outlive_crash = true };

  return deadly_most_starts (seed, &faults);
}

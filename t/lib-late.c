#include "t/lib-late.h"

#include <stdio.h>
#include <string.h>

#include "t/kqtest.h"
#include "t/lib-sim.h"

struct kind
{
  const char *name;
  struct sim_faults faults;
};

static const struct kind kinds[] = {
  { "restarts",
    { .delayed = 0.1,
      .lose_reply = 0.05,
      .worker_crash = 0.5,
      .orders_outlive_crash = true,
      .restart_ms = 500,
      .register_ms = 1000 } },
  { "late-4",
    { .delayed = 0.1,
      .worker_crash = 0.5,
      .orders_outlive_crash = true,
      .restart_ms = 500,
      .register_ms = 1000 } },
  { "late-12",
    { .delayed = 0.1,
      .worker_crash = 0.5,
      .orders_outlive_crash = true,
      .max_delay_ms = 12000,
      .restart_ms = 500,
      .register_ms = 1000 } },
  { "late-12-takeovers",
    { .delayed = 0.1,
      .worker_crash = 0.5,
      .takeover = 0.3,
      .orders_outlive_crash = true,
      .max_delay_ms = 12000,
      .restart_ms = 500,
      .register_ms = 1000 } },
  { "reborn",
    { .worker_reborn = 0.4, .restart_ms = 500, .register_ms = 500 } },
  { "reborn-late-4",
    { .delayed = 0.1,
      .worker_reborn = 0.4,
      .orders_outlive_crash = true,
      .restart_ms = 500,
      .register_ms = 500 } },
  { "reborn-late-12",
    { .delayed = 0.1,
      .worker_reborn = 0.4,
      .orders_outlive_crash = true,
      .max_delay_ms = 12000,
      .restart_ms = 500,
      .register_ms = 500 } },
  { "lease",
    { .worker_crash = 0.5,
      .worker_unreachable = 0.5,
      .restart_ms = 200,
      .register_ms = 1000 } },
  { "lease-late",
    { .delayed = 0.1,
      .worker_crash = 0.5,
      .worker_unreachable = 0.5,
      .orders_outlive_crash = true,
      .restart_ms = 500,
      .register_ms = 1000 } },
  { "mute", { .worker_mute = 0.4, .slow_clocks = true } },
  { "mute-late", { .delayed = 0.1, .worker_mute = 0.4, .slow_clocks = true } },
  { "mute-restarts",
    { .worker_mute = 0.4,
      .worker_crash = 0.4,
      .restart_ms = 500,
      .register_ms = 1000 } },
  { "clocks",
    { .delayed = 0.1,
      .worker_crash = 0.5,
      .takeover = 0.3,
      .orders_outlive_crash = true,
      .clock_skew_ms = 2000,
      .restart_ms = 500,
      .register_ms = 1000 } },
  { "late-4-takeovers",
    { .delayed = 0.1,
      .worker_crash = 0.5,
      .takeover = 0.3,
      .orders_outlive_crash = true,
      .restart_ms = 500,
      .register_ms = 1000 } },
  { "clocks-20",
    { .delayed = 0.1,
      .worker_crash = 0.5,
      .takeover = 0.3,
      .orders_outlive_crash = true,
      .clock_skew_ms = 20000,
      .restart_ms = 500,
      .register_ms = 1000 } },
  { "late-4-outages",
    { .delayed = 0.1,
      .worker_crash = 0.5,
      .takeover = 0.3,
      .store_down = 0.1,
      .orders_outlive_crash = true,
      .restart_ms = 500,
      .register_ms = 1000 } },
  { "clocks-20-outages",
    { .delayed = 0.1,
      .worker_crash = 0.5,
      .takeover = 0.3,
      .store_down = 0.1,
      .orders_outlive_crash = true,
      .clock_skew_ms = 20000,
      .restart_ms = 500,
      .register_ms = 1000 } },
  { "clocks-20-late-12",
    { .delayed = 0.1,
      .worker_crash = 0.5,
      .takeover = 0.3,
      .orders_outlive_crash = true,
      .max_delay_ms = 12000,
      .clock_skew_ms = 20000,
      .restart_ms = 500,
      .register_ms = 1000 } },
  { "takeovers-mute",
    { .delayed = 0.1,
      .worker_mute = 0.4,
      .takeover = 0.3,
      .orders_outlive_crash = true } },
  { "clocks-20-mute",
    { .delayed = 0.1,
      .worker_mute = 0.4,
      .takeover = 0.3,
      .orders_outlive_crash = true,
      .clock_skew_ms = 20000 } },
  { "takeovers-reborn",
    { .delayed = 0.1,
      .worker_reborn = 0.4,
      .takeover = 0.3,
      .orders_outlive_crash = true,
      .restart_ms = 500,
      .register_ms = 500 } },
  { "clocks-20-reborn",
    { .delayed = 0.1,
      .worker_reborn = 0.4,
      .takeover = 0.3,
      .orders_outlive_crash = true,
      .clock_skew_ms = 20000,
      .restart_ms = 500,
      .register_ms = 500 } },
  { "absent",
    { .delayed = 0.1,
      .lose_reply = 0.05,
      .worker_absent = 0.5,
      .refused = true,
      .orders_outlive_crash = true,
      .register_ms = 1000 } },
  { "absent-takeovers",
    { .delayed = 0.1,
      .lose_reply = 0.05,
      .worker_absent = 0.5,
      .refused = true,
      .takeover = 0.3,
      .orders_outlive_crash = true,
      .register_ms = 1000 } },
  { "absent-outages",
    { .delayed = 0.1,
      .worker_absent = 0.5,
      .refused = true,
      .takeover = 0.3,
      .store_down = 0.1,
      .orders_outlive_crash = true,
      .clock_skew_ms = 20000,
      .register_ms = 1000 } },
  { "slow-clocks",
    { .delayed = 0.05,
      .lose_reply = 0.05,
      .worker_unreachable = 0.4,
      .takeover = 0.2,
      .store_down = 0.1,
      .slow_clocks = true } },
};

static const struct kq_sched_step steps[]
    = { { .count = 6, .demand = { 1000, 500, 0 }, .est_ms = 600 },
        { .count = 3, .demand = { 1000, 500, 0 }, .est_ms = 8000 },
        { .count = 2, .demand = { 500, 500, 0 }, .est_ms = 40 },
        { .count = 4,
          .demand = { 500, 500, 0 },
          .est_ms = 1000,
          .long_running = true } };

static struct sim *
run_kind (const struct kind *kind, unsigned long seed)
{
  struct sim *sim = sim_create (seed, &kind->faults);

  sim_run (sim, 2000);
  sim_submit (sim, "urgent", &steps[3], 1);
  for (int i = 0; i < 60; i++)
    {
      sim_submit (sim, "batch", &steps[i % 3], 2);
      sim_run (sim, 300);
    }
  return sim;
}

/* Sets *FOUND to the kind NAME, or NAME with its workers refusing connections
   while they are down if that is followed by "+refused". */
static bool
find_kind (const char *name, struct kind *found)
{
  size_t length = strcspn (name, "+");

  for (size_t i = 0; i < sizeof kinds / sizeof *kinds; i++)
    if (strlen (kinds[i].name) == length
        && strncmp (kinds[i].name, name, length) == 0)
      {
        *found = kinds[i];
        found->name = name;
        found->faults.refused |= strcmp (name + length, "+refused") == 0;
        return true;
      }
  return false;
}

/* Returns whether the seed of KIND is broken, and prints how. */
static bool
is_broken (const struct kind *kind, unsigned long seed)
{
  struct sim *sim = run_kind (kind, seed);
  bool broken = sim_violation (sim) != NULL;

  if (broken)
    printf ("%s, seed %lu: %s\n", kind->name, seed, sim_violation (sim));
  sim_destroy (sim);
  return broken;
}

void
late_check_seeds (const char *name, const unsigned long *seeds, int count)
{
  struct kind kind;

  CU_ASSERT_FATAL (find_kind (name, &kind));
  for (int i = 0; i < count; i++)
    CU_ASSERT_FALSE (is_broken (&kind, seeds[i]));
}

int
late_hunt (const char *name, unsigned long from, unsigned long to)
{
  struct kind kind;
  int broken = 0;

  if (!find_kind (name, &kind))
    return 1;
  for (unsigned long seed = from; seed <= to; seed++)
    broken += is_broken (&kind, seed);
  printf ("%s: %d broken\n", name, broken);
  return broken > 0;
}

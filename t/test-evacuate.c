/* Evacuation of zones. Guards against starts in a zone after its evacuation
 * was requested, by an owner that has read the request, has not read it yet,
 * or took over halfway.
 */
#include <stdlib.h>

#include "t/kqtest.h"
#include "t/lib-zones.h"

#define EVAC_MS 5000

static const struct kq_sched_settings settings = {
  .remote_factor = 1, .warmup_excess = 1.5, .stop_ms = 400, .evac_ms = EVAC_MS
};

static const struct kq_sched_step short_tasks
    = { .count = 8, .demand = { 1000, 10, 0 }, .est_ms = 300 };

static const struct kq_sched_step gang
    = { .count = 4, .demand = { 3000, 10, 0 }, .est_ms = 300, .gang = true };

/* Two workers of 4 cores in each of three zones. */
static struct tz_site *
start_site (void)
{
  struct tz_site *site = tz_create (&settings);

  for (int i = 0; i < 2; i++)
    {
      tz_add_worker (site, "a", 4000, 0);
      tz_add_worker (site, "b", 4000, 0);
      tz_add_worker (site, "c", 4000, 0);
    }
  return site;
}

/* Submits COUNT jobs of 8 short tasks with IDs from FROM on. */
static void
submit_many (struct tz_site *site, uint64_t from, int count)
{
  for (int i = 0; i < count; i++)
    tz_submit (site, from + (uint64_t)i, "batch", &short_tasks);
}

static void
test_no_starts_in_an_evacuated_zone (void)
{
  struct tz_site *site = start_site ();

  tz_evacuate (site, "a");
  submit_many (site, 1, 4);
  tz_run (site, 3000);
  CU_ASSERT_EQUAL (tz_starts (site, "a", 0), 0);
  CU_ASSERT_EQUAL (tz_starts (site, "b", 0) + tz_starts (site, "c", 0), 32);
  CU_ASSERT_EQUAL (tz_counts (site).evacuated_workers, 2);
  CU_ASSERT_EQUAL (tz_counts (site).usable_workers, 4);
  tz_destroy (site);
}

static void
test_taken_back (void)
{
  struct tz_site *site = start_site ();

  tz_evacuate (site, "a");
  tz_run (site, 500);
  tz_take_back (site, "a");
  submit_many (site, 1, 4);
  tz_run (site, 1000);
  CU_ASSERT (tz_starts (site, "a", 0) > 0);
  CU_ASSERT_EQUAL (tz_counts (site).evacuated_workers, 0);
  tz_destroy (site);
}

/* A worker that registers during the evacuation belongs to it. */
static void
test_worker_added_to_an_evacuated_zone (void)
{
  struct tz_site *site = start_site ();

  tz_evacuate (site, "a");
  tz_add_worker (site, "a", 64000, 0);
  submit_many (site, 1, 4);
  tz_run (site, 1000);
  CU_ASSERT_EQUAL (tz_starts (site, "a", 0), 0);
  tz_destroy (site);
}

/* The start of a task waits for the store; the request comes first. */
static void
test_start_not_sent_yet (void)
{
  struct tz_site *site = start_site ();

  site->cell.store_down = true;
  submit_many (site, 1, 3);
  CU_ASSERT_EQUAL (tz_counts (site).bound_tasks, 24);
  tz_evacuate (site, "a");
  site->cell.store_down = false;
  tz_run (site, 1500);
  CU_ASSERT_EQUAL (tz_starts (site, "a", 0), 0);
  CU_ASSERT_EQUAL (tz_counts (site).evacuated_starts, 8);
  CU_ASSERT_EQUAL (tz_counts (site).ends[KQ_SCHED_DONE], 24);
  tz_destroy (site);
}

/* A member of a gang whose start is dropped takes the others with it: they
   would wait for it in vain. */
static void
test_gang_not_sent_yet (void)
{
  struct tz_site *site = start_site ();

  site->cell.store_down = true;
  tz_submit (site, 1, "batch", &gang);
  CU_ASSERT_EQUAL (tz_counts (site).bound_tasks, 4);
  tz_evacuate (site, "a");
  tz_evacuate (site, "b");
  site->cell.store_down = false;
  tz_run (site, 2000);
  CU_ASSERT_EQUAL (tz_runs (site, "c"), 0);
  CU_ASSERT_EQUAL (tz_counts (site).bound_tasks, 0);
  tz_take_back (site, "a");
  tz_run (site, 2000);
  CU_ASSERT_EQUAL (tz_counts (site).ends[KQ_SCHED_DONE], 4);
  tz_destroy (site);
}

static void
test_two_zones_and_all (void)
{
  struct tz_site *site = start_site ();

  tz_evacuate (site, "a");
  tz_evacuate (site, "b");
  submit_many (site, 1, 2);
  tz_run (site, 2000);
  CU_ASSERT_EQUAL (tz_starts (site, "a", 0) + tz_starts (site, "b", 0), 0);
  CU_ASSERT_EQUAL (tz_starts (site, "c", 0), 16);
  tz_evacuate (site, "c");
  submit_many (site, 11, 2);
  tz_run (site, 2000);
  CU_ASSERT_EQUAL (tz_starts (site, "c", 0), 16);
  CU_ASSERT_EQUAL (tz_counts (site).usable_workers, 0);
  CU_ASSERT_EQUAL (tz_counts (site).ready_tasks, 16);
  tz_take_back (site, "b");
  tz_run (site, 2000);
  CU_ASSERT_EQUAL (tz_starts (site, "b", 0), 16);
  tz_destroy (site);
}

/* The successor must not start anything before it has read the request. */
static void
test_owner_lost_halfway (void)
{
  struct tz_site *site = start_site ();
  kq_usec taken_over_at;

  tz_evacuate (site, "a");
  tz_run (site, 500);
  site->topic_unreadable = true;
  tz_take_over (site);
  taken_over_at = site->cell.now.mono;
  submit_many (site, 1, 2);
  tz_run (site, 1000);
  CU_ASSERT_EQUAL (tz_counts (site).ready_tasks, 16);
  CU_ASSERT_EQUAL (tz_counts (site).starts, 0);
  site->topic_unreadable = false;
  tz_run (site, 1000);
  CU_ASSERT_EQUAL (tz_starts (site, "a", taken_over_at), 0);
  CU_ASSERT_EQUAL (tz_starts (site, "b", taken_over_at)
                       + tz_starts (site, "c", taken_over_at),
                   16);
  tz_destroy (site);
}

/* The store fails right after the request, which is not read: each start that
   is sent in this state must be refused by its worker in time. */
static void
test_store_away_after_the_request (void)
{
  struct tz_site *site = start_site ();
  kq_usec requested_at = site->cell.now.mono;
  int64_t clock_ahead_ms;
  int last;

  submit_many (site, 1, 1);
  clock_ahead_ms = site->cell.orders[0].lease_end_ms
                   - site->cell.orders[0].at / KQ_USEC_PER_MSEC - 3000;
  site->topic_unreadable = true;
  tz_evacuate (site, "a");
  for (int i = 0; i < 60; i++)
    {
      submit_many (site, (uint64_t)i + 2, 1);
      tz_run (site, 100);
    }
  last = site->cell.order_count - 1;
  CU_ASSERT (site->cell.orders[last].at - requested_at
             > 1900 * KQ_USEC_PER_MSEC);
  CU_ASSERT (site->cell.orders[last].at - requested_at
             <= 2200 * KQ_USEC_PER_MSEC);
  for (int i = 0; i <= last; i++)
    CU_ASSERT (site->cell.orders[i].lease_end_ms - clock_ahead_ms
               <= requested_at / KQ_USEC_PER_MSEC + EVAC_MS - 60);
  site->topic_unreadable = false;
  requested_at = site->cell.now.mono;
  tz_run (site, 1000);
  CU_ASSERT_EQUAL (tz_starts (site, "a", requested_at), 0);
  CU_ASSERT (tz_starts (site, "b", requested_at) > 0);
  tz_destroy (site);
}

/* What was read before the store failed holds. */
static void
test_store_away_after_the_read (void)
{
  struct tz_site *site = start_site ();

  tz_evacuate (site, "a");
  site->topic_unreadable = true;
  submit_many (site, 1, 8);
  tz_run (site, 4000);
  CU_ASSERT_EQUAL (tz_starts (site, "a", 0), 0);
  tz_destroy (site);
}

/* A deployment without evac_ms is served without reads of the topic. */
static void
test_deployment_without_evacuations (void)
{
  struct tz_site *site = tz_create (&KQ_SCHED_DEFAULT_SETTINGS);

  site->topic_unreadable = true;
  tz_add_worker (site, "a", 4000, 0);
  tz_run (site, 3000);
  submit_many (site, 1, 1);
  tz_run (site, 1000);
  CU_ASSERT_EQUAL (tz_starts (site, "a", 0), 8);
  CU_ASSERT_EQUAL (
      site->cell.orders[0].lease_end_ms - site->cell.orders[7].lease_end_ms,
      (site->cell.orders[0].at - site->cell.orders[7].at) / KQ_USEC_PER_MSEC);
  tz_destroy (site);
}

/* Three cores in zone "a", which is full of tasks of STEP, and CPU in "b". */
static struct tz_site *
start_full_zone (const struct kq_sched_step *step, int64_t cpu)
{
  struct tz_site *site = tz_create (&settings);

  site->startup_ms = 800;
  site->stop_ms = 300;
  tz_add_worker (site, "a", step->count * step->demand.cpu, 0);
  tz_submit (site, 1, "batch", step);
  tz_run (site, 1500);
  CU_ASSERT_EQUAL_FATAL (tz_runs (site, "a"), step->count);
  tz_add_worker (site, "b", cpu, 0);
  tz_run (site, 100);
  return site;
}

static const struct kq_sched_step resumable = {
  .count = 6, .demand = { 1000, 10, 0 }, .est_ms = 8000, .checkpointable = true
};

static const struct kq_sched_step lasting = { .count = 6,
                                              .demand = { 1000, 10, 0 },
                                              .est_ms = 800,
                                              .long_running = true,
                                              .max_unavailable = 2 };

/* Tasks that can resume go on elsewhere from their checkpoints. */
static void
test_resumable_tasks_moved (void)
{
  struct tz_site *site = start_full_zone (&resumable, 8000);
  const struct ts_order *order;

  tz_evacuate (site, "a");
  tz_run (site, 700);
  CU_ASSERT_EQUAL (tz_runs (site, "a"), 0);
  CU_ASSERT_EQUAL (tz_runs (site, "b"), 6);
  CU_ASSERT_EQUAL (tz_counts (site).evacuation_moves, 6);
  order = ts_last_order (&site->cell, KQ_SCHED_FX_START, 1, 0, 0);
  CU_ASSERT_STRING_EQUAL (order->checkpoint, "cp");
  tz_destroy (site);
}

/* Work that ends soon, that would begin anew, or that is a gang's is left to
   end where it is. */
static void
test_tasks_left_alone (void)
{
  struct kq_sched_step steps[3] = { resumable, resumable, resumable };

  steps[0].est_ms = 3500;
  steps[1].checkpointable = false;
  steps[2].gang = true;
  for (int i = 0; i < 3; i++)
    {
      struct tz_site *site = start_full_zone (&steps[i], 8000);

      tz_evacuate (site, "a");
      tz_run (site, 300);
      CU_ASSERT_EQUAL (tz_runs (site, "a"), 6);
      tz_run (site, 9000);
      CU_ASSERT_EQUAL (tz_counts (site).ends[KQ_SCHED_DONE], 6);
      CU_ASSERT_EQUAL (tz_starts (site, "b", 0), 0);
      tz_destroy (site);
    }
}

/* A task that is stopped without room elsewhere would stand still. */
static void
test_moves_need_room (void)
{
  struct tz_site *site = start_full_zone (&resumable, 2000);

  tz_evacuate (site, "a");
  tz_run (site, 1000);
  CU_ASSERT_EQUAL (tz_runs (site, "a"), 4);
  CU_ASSERT_EQUAL (tz_runs (site, "b"), 2);
  CU_ASSERT_EQUAL (tz_counts (site).evacuation_moves, 2);
  tz_destroy (site);
  site = start_full_zone (&resumable, 8000);
  tz_evacuate (site, "a");
  tz_evacuate (site, "b");
  tz_run (site, 1000);
  CU_ASSERT_EQUAL (tz_counts (site).evacuation_moves, 0);
  tz_destroy (site);
}

/* Tasks that were moved and wait for a cold worker hold their room there. */
static void
test_moved_tasks_hold_room (void)
{
  struct kq_sched_step step = resumable;
  struct tz_site *site;

  step.count = 12;
  site = start_full_zone (&step, 0);
  tz_add_worker (site, "c", 8000, 10000);
  tz_evacuate (site, "a");
  tz_run (site, 1500);
  CU_ASSERT_EQUAL (tz_counts (site).evacuation_moves, 8);
  CU_ASSERT_EQUAL (tz_runs (site, "c"), 8);
  CU_ASSERT_EQUAL (tz_runs (site, "a"), 4);
  tz_destroy (site);
}

/* Evacuates zone "a"; returns the smallest number of tasks at work until all
   are in zone "b". */
static int
least_at_work (struct tz_site *site)
{
  int least = tz_at_work (site);

  tz_evacuate (site, "a");
  for (int i = 0; i < 400 && (tz_runs (site, "b") < 6 || least < 6); i++)
    {
      tz_run (site, 50);
      if (tz_at_work (site) < least)
        least = tz_at_work (site);
      if (tz_at_work (site) == 6 && tz_runs (site, "b") == 6)
        break;
    }
  CU_ASSERT_EQUAL (tz_runs (site, "b"), 6);
  return least;
}

static void
test_long_running_tasks_moved (void)
{
  struct kq_sched_step step = lasting;
  struct tz_site *site = start_full_zone (&step, 8000);

  CU_ASSERT_EQUAL (least_at_work (site), 4);
  tz_destroy (site);
  /* One at a time where the step does not say. */
  step.max_unavailable = 0;
  site = start_full_zone (&step, 8000);
  CU_ASSERT_EQUAL (least_at_work (site), 5);
  tz_destroy (site);
}

/* The successor counts what its predecessor has stopped, and goes on. */
static void
test_owner_lost_during_moves (void)
{
  struct tz_site *site = start_full_zone (&lasting, 8000);
  int least = 6;

  tz_evacuate (site, "a");
  tz_run (site, 150);
  tz_take_over (site);
  for (int i = 0; i < 400 && tz_runs (site, "b") < 6; i++)
    {
      tz_run (site, 50);
      if (tz_at_work (site) < least)
        least = tz_at_work (site);
    }
  CU_ASSERT_EQUAL (tz_runs (site, "b"), 6);
  CU_ASSERT_EQUAL (least, 4);
  tz_destroy (site);
}

/* What an owner stops while it may start nothing would stand still. */
static void
test_no_moves_without_reads (void)
{
  struct tz_site *site = start_full_zone (&lasting, 0);

  tz_evacuate (site, "a");
  site->topic_unreadable = true;
  tz_run (site, 2300);
  tz_add_worker (site, "c", 8000, 0);
  tz_run (site, 1000);
  CU_ASSERT_EQUAL (tz_at_work (site), 6);
  site->topic_unreadable = false;
  tz_run (site, 10000);
  CU_ASSERT_EQUAL (tz_runs (site, "c"), 6);
  tz_destroy (site);
}

/* Nothing more is moved out of a zone that was taken back. */
static void
test_taken_back_during_moves (void)
{
  struct tz_site *site = start_full_zone (&lasting, 8000);

  tz_evacuate (site, "a");
  tz_run (site, 150);
  tz_take_back (site, "a");
  tz_run (site, 5000);
  CU_ASSERT_EQUAL (tz_counts (site).evacuation_moves, 2);
  CU_ASSERT_EQUAL (tz_at_work (site), 6);
  tz_destroy (site);
}

static const struct kq_test tests[] = {
  { "no starts in an evacuated zone", test_no_starts_in_an_evacuated_zone },
  { "taken back", test_taken_back },
  { "worker added to an evacuated zone",
    test_worker_added_to_an_evacuated_zone },
  { "start not sent yet", test_start_not_sent_yet },
  { "gang not sent yet", test_gang_not_sent_yet },
  { "two zones, and all", test_two_zones_and_all },
  { "owner lost halfway", test_owner_lost_halfway },
  { "store away after the request", test_store_away_after_the_request },
  { "store away after the read", test_store_away_after_the_read },
  { "deployment without evacuations", test_deployment_without_evacuations },
  { "resumable tasks moved", test_resumable_tasks_moved },
  { "tasks left alone", test_tasks_left_alone },
  { "moves need room", test_moves_need_room },
  { "moved tasks hold room", test_moved_tasks_hold_room },
  { "long-running tasks moved", test_long_running_tasks_moved },
  { "owner lost during moves", test_owner_lost_during_moves },
  { "no moves without reads", test_no_moves_without_reads },
  { "taken back during moves", test_taken_back_during_moves },
};

KQ_TEST_MAIN ("test-evacuate", tests)

/* Evacuation of zones. Guards against starts in a zone after its evacuation
 * was requested, by an owner that has read the request, has not read it yet,
 * or took over halfway, and against moves that make work stand still.
 */
#include "t/kqtest.h"
#include "t/lib-zones.h"

#define EVAC_MS 5000

static const struct kq_sched_step brief
    = { .demand = { 1000, 10, 0 }, .est_ms = 300 };

/* Two workers of 4 cores in each of three zones. */
static struct tz_site *
start_site (void)
{
  struct tz_site *site = tz_create (EVAC_MS, 1);

  for (const char *zone = "abc"; *zone != '\0'; zone++)
    tz_add_workers (site, 2, *zone, 4000, 0);
  return site;
}

static void
test_zones (void)
{
  struct tz_site *site = start_site ();

  tz_evacuate (site, "a");
  tz_add_workers (site, 1, 'a', 64000, 0);
  tz_submit (site, 1, 32, &brief);
  tz_run (site, 3000);
  CU_ASSERT_EQUAL (tz_starts (site, 'a'), 0);
  CU_ASSERT_EQUAL (tz_counts (site).ends[KQ_SCHED_DONE], 32);
  CU_ASSERT_EQUAL (tz_counts (site).evacuated_workers, 3);
  CU_ASSERT_EQUAL (tz_counts (site).usable_workers, 4);
  tz_evacuate (site, "abc");
  tz_submit (site, 2, 32, &brief);
  tz_run (site, 3000);
  CU_ASSERT_EQUAL (tz_counts (site).ready_tasks, 32);
  tz_evacuate (site, "bc");
  tz_run (site, 3000);
  CU_ASSERT_EQUAL (tz_starts (site, 'a'), 32);
  tz_destroy (site);
}

/* The starts wait for the store when the request comes. A gang whose member's
   start is dropped would wait for it in vain. */
static void
test_starts_not_sent_yet (void)
{
  struct kq_sched_step gang = brief;
  struct tz_site *site = start_site ();

  gang.gang = true;
  gang.demand.cpu = 3000;
  site->cell.store_down = true;
  tz_submit (site, 1, 4, &gang);
  tz_submit (site, 2, 6, &brief);
  CU_ASSERT_EQUAL (tz_counts (site).bound_tasks, 10);
  tz_evacuate (site, "a");
  site->cell.store_down = false;
  tz_run (site, 2000);
  CU_ASSERT_EQUAL (tz_starts (site, 'a'), 0);
  CU_ASSERT (tz_counts (site).evacuated_starts > 0);
  for (int i = 0; i < 4; i++)
    CU_ASSERT_EQUAL (
        ts_last_order (&site->cell, KQ_SCHED_FX_START, 1, 0, i)->run.run, 2);
  CU_ASSERT_EQUAL (tz_counts (site).bound_tasks + tz_counts (site).ready_tasks,
                   0);
  tz_destroy (site);
}

/* The successor must not start anything before it has read the request. */
static void
test_owner_lost (void)
{
  struct tz_site *site = start_site ();

  tz_evacuate (site, "a");
  site->topic_unreadable = true;
  tz_take_over (site);
  tz_submit (site, 1, 16, &brief);
  tz_run (site, 1000);
  CU_ASSERT_EQUAL (tz_counts (site).starts, 0);
  site->topic_unreadable = false;
  tz_run (site, 1500);
  CU_ASSERT_EQUAL (tz_starts (site, 'a'), 0);
  CU_ASSERT_EQUAL (tz_counts (site).ends[KQ_SCHED_DONE], 16);
  /* A start that waited for the store until the read was too old. */
  site->cell.store_down = true;
  tz_submit (site, 2, 1, &brief);
  site->topic_unreadable = true;
  tz_run (site, 2300);
  site->cell.store_down = false;
  tz_run (site, 100);
  CU_ASSERT_EQUAL (tz_counts (site).ready_tasks, 1);
  tz_destroy (site);
}

/* The store fails before the request is read: nothing starts after 2.2 s, and
   each start until then is refused by its worker in time.  What was read
   before holds.  Without evac_ms nothing of this applies. */
static void
test_store_away (void)
{
  struct tz_site *site = start_site ();
  kq_usec since = site->cell.now.mono;
  const struct ts_order *last;
  int64_t clock_ahead_ms;

  tz_evacuate (site, "b");
  tz_submit (site, 1, 1, &brief);
  clock_ahead_ms = site->cell.orders[0].lease_end_ms
                   - site->cell.orders[0].at / KQ_USEC_PER_MSEC - 3000;
  site->topic_unreadable = true;
  for (uint64_t job = 2; job < 40; job++)
    {
      tz_submit (site, job, 1, &brief);
      tz_run (site, 100);
    }
  last = &site->cell.orders[site->cell.order_count - 1];
  CU_ASSERT (last->at - since > 1900 * KQ_USEC_PER_MSEC);
  CU_ASSERT (last->at - since <= 2200 * KQ_USEC_PER_MSEC);
  for (const struct ts_order *order = site->cell.orders; order <= last;
       order++)
    CU_ASSERT (order->lease_end_ms - clock_ahead_ms
               <= since / KQ_USEC_PER_MSEC + EVAC_MS - 60);
  CU_ASSERT_EQUAL (tz_starts (site, 'b'), 0);
  site->settings.evac_ms = 0;
  kq_sched_set_settings (site->cell.sched, &site->settings);
  tz_run (site, 500);
  CU_ASSERT_EQUAL (tz_counts (site).ready_tasks, 0);
  tz_destroy (site);
}

static const struct kq_sched_step resumable
    = { .demand = { 1000, 10, 0 }, .est_ms = 8000, .checkpointable = true };

/* Zone "a" is full of COUNT tasks of STEP; zone "b" is added with CPU. */
static struct tz_site *
start_full_zone (const struct kq_sched_step *step, int count, int64_t cpu,
                 int64_t warmup_ms)
{
  struct tz_site *site = tz_create (EVAC_MS, 1);

  site->startup_ms = 800;
  site->stop_ms = 300;
  tz_add_workers (site, 1, 'a', count * step->demand.cpu, 0);
  tz_submit (site, 1, count, step);
  tz_run (site, 1500);
  CU_ASSERT_EQUAL (tz_runs (site, 'a'), count);
  tz_add_workers (site, 1, 'b', cpu, warmup_ms);
  return site;
}

/* Work that ends soon, that would begin anew or is a gang's is left to end
   where it is; without room elsewhere a task that is stopped stands still. */
static void
test_resumable_tasks (void)
{
  struct kq_sched_step steps[4]
      = { resumable, resumable, resumable, resumable };

  steps[1].est_ms = 3500;
  steps[2].checkpointable = false;
  steps[3].gang = true;
  for (int i = 0; i < 4; i++)
    {
      struct tz_site *site = start_full_zone (&steps[i], 6, 5000, 0);

      tz_evacuate (site, "ab");
      tz_run (site, 200);
      CU_ASSERT_EQUAL (tz_counts (site).evacuation_moves, 0);
      tz_evacuate (site, "a");
      tz_run (site, 900);
      CU_ASSERT_EQUAL (tz_counts (site).evacuation_moves, i == 0 ? 5 : 0);
      CU_ASSERT_EQUAL (tz_runs (site, 'b'), i == 0 ? 5 : 0);
      CU_ASSERT_EQUAL (tz_runs (site, 'a'), i == 0 ? 1 : 6);
      if (i == 0)
        CU_ASSERT_STRING_EQUAL (
            site->cell.orders[site->cell.order_count - 1].checkpoint, "c");
      tz_destroy (site);
    }
}

/* Tasks that were moved and wait for a cold worker hold their room there. */
static void
test_moved_tasks_hold_room (void)
{
  struct tz_site *site = start_full_zone (&resumable, 12, 8000, 10000);

  tz_evacuate (site, "a");
  tz_run (site, 1500);
  CU_ASSERT_EQUAL (tz_counts (site).evacuation_moves, 8);
  CU_ASSERT_EQUAL (tz_runs (site, 'b'), 8);
  tz_destroy (site);
}

static struct tz_site *
start_lasting (int max_unavailable)
{
  const struct kq_sched_step lasting = { .demand = { 1000, 10, 0 },
                                         .est_ms = 800,
                                         .long_running = true,
                                         .max_unavailable = max_unavailable };

  return start_full_zone (&lasting, 6, 8000, 0);
}

/* One at a time where the step does not say. A successor counts what its
   predecessor has stopped, and goes on. */
static void
test_long_running_tasks (void)
{
  static const struct
  {
    int max_unavailable;
    bool take_over;
    int least_at_work;
  } cases[] = { { 2, false, 4 }, { 0, false, 5 }, { 2, true, 4 } };

  for (int i = 0; i < 3; i++)
    {
      struct tz_site *site = start_lasting (cases[i].max_unavailable);
      int least = 6;

      tz_evacuate (site, "a");
      tz_run (site, 150);
      if (cases[i].take_over)
        tz_take_over (site);
      for (int j = 0; j < 200; j++)
        {
          tz_run (site, 50);
          if (tz_at_work (site) < least)
            least = tz_at_work (site);
        }
      CU_ASSERT_EQUAL (least, cases[i].least_at_work);
      CU_ASSERT_EQUAL (tz_runs (site, 'b'), 6);
      CU_ASSERT_EQUAL (tz_at_work (site), 6);
      tz_destroy (site);
    }
}

/* Guards against moves that leave no room for short tasks in the other zones:
   of 6 cores there, short tasks have lately needed more than a seventh. */
static void
test_room_for_short_tasks_stays (void)
{
  const struct kq_sched_step lasting = { .demand = { 1000, 10, 0 },
                                         .est_ms = 800,
                                         .long_running = true,
                                         .max_unavailable = 2 };
  struct tz_site *site = start_full_zone (&lasting, 6, 6000, 0);

  tz_submit (site, 2, 2, &brief);
  tz_run (site, 1000);
  CU_ASSERT_EQUAL (tz_counts (site).ends[KQ_SCHED_DONE], 2);
  tz_evacuate (site, "a");
  tz_run (site, 8000);
  CU_ASSERT_EQUAL (tz_runs (site, 'b'), 5);
  CU_ASSERT_EQUAL (tz_at_work (site), 6);
  tz_destroy (site);
}

/* An owner that may start nothing moves nothing, nor one whose zone was taken
   back. */
static void
test_moves_end (void)
{
  struct tz_site *site = start_lasting (2);

  tz_evacuate (site, "a");
  tz_run (site, 150);
  site->topic_unreadable = true;
  tz_run (site, 2300);
  CU_ASSERT (tz_runs (site, 'a') > 0);
  tz_run (site, 3000);
  CU_ASSERT (tz_runs (site, 'a') > 0);
  site->topic_unreadable = false;
  tz_evacuate (site, "");
  tz_run (site, 5000);
  CU_ASSERT (tz_runs (site, 'a') > 0);
  CU_ASSERT_EQUAL (tz_at_work (site), 6);
  tz_destroy (site);
}

static const struct kq_test tests[] = {
  { "zones", test_zones },
  { "starts not sent yet", test_starts_not_sent_yet },
  { "owner lost", test_owner_lost },
  { "store away", test_store_away },
  { "resumable tasks", test_resumable_tasks },
  { "moved tasks hold room", test_moved_tasks_hold_room },
  { "long-running tasks", test_long_running_tasks },
  { "room for short tasks stays", test_room_for_short_tasks_stays },
  { "moves end", test_moves_end },
};

KQ_TEST_MAIN ("test-evacuate", tests)

/* Guards against giving up tasks because many workers were lost at once, and
 * against starting a task that crashes its workers without limit where it
 * hides behind such an outage.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "t/kqtest.h"
#include "t/lib-sched.h"

#define JOB UINT64_C (0x11)
#define FIRST_OTHER_JOB UINT64_C (0x100)

/* BUDGET: a task may be started twice more after three workers have crashed
   under it. */
#define MAX_STARTS 5

/* A whole service restarts within this time. */
#define RESTART_MS 400

/* A long-running task must run again so long after its last run. */
#define LASTING_MS 6000

/* A rack is lost three times in 20 s. */
#define RACK_INTERVAL_MS 6500

/* A series of losses: the time that it takes, the time until another owner
   follows in it, and the longest between two losses. */
#define SERIES_MS 15000
#define CHANGE_MS 4000
#define WAVE_INTERVAL_MS 2500

/* A cut lasts longer than the lease of a worker. */
#define CUT_MS 10000

#define WORKERS 12
#define NEW_JOBS 6
#define RACKS 3
#define MAX_WORKERS 200

static const struct kq_sched_step task_step
    = { .count = 1, .demand = { 1000, 100, 0 }, .est_ms = 20000 };

static const struct kq_sched_step lasting_step = {
  .count = 1, .demand = { 1000, 100, 0 }, .est_ms = 20000, .long_running = true
};

static const struct kq_sched_step rack_step = {
  .count = 1, .demand = { 1000, 100, 0 }, .est_ms = 20000, .label = "r0"
};

/* Workers "0", "1", ...; a lost one is replaced by the next number, in its
   rack. */
struct site
{
  struct ts_cell cell;
  int count;
  bool lost[MAX_WORKERS];
  bool deadly; /* JOB crashes its workers */
};

static const struct ts_order *
last_start (const struct site *site)
{
  return ts_last_order (&site->cell, KQ_SCHED_FX_START, JOB, 0, 0);
}

/* The worker answers a poll, and lists the last run of JOB if that is its own.
 */
static void
answer_poll (struct site *site, int number)
{
  const struct ts_order *start = last_start (site);
  struct kq_sched_running row;
  bool runs;
  char id[16];

  snprintf (id, sizeof id, "%d", number);
  runs = start != NULL && strcmp (start->worker, id) == 0;
  if (runs)
    row = ts_running (start, 10);
  ts_reply_poll (&site->cell, id, &row, runs, NULL, 0);
}

static void
report_worker (struct site *site, int number, int rack)
{
  struct kq_sched_registration report
      = { .capacity = { 8000, 8000, 0 }, .incarnation_ms = 1, .service = "s" };

  snprintf (report.id, sizeof report.id, "%d", number);
  snprintf (report.address, sizeof report.address, "%d:1", number);
  snprintf (report.rack, sizeof report.rack, "r%d", rack);
  ts_register (&site->cell, &report);
  answer_poll (site, number);
}

static int racks[MAX_WORKERS];

static void
add_worker (struct site *site, int rack)
{
  CU_ASSERT_FATAL (site->count < MAX_WORKERS);
  racks[site->count] = rack;
  report_worker (site, site->count, rack);
  site->count++;
}

static const char *
worker_id (int number)
{
  static char id[16];

  snprintf (id, sizeof id, "%d", number);
  return id;
}

static struct site *
start_site (const struct kq_sched_step *step, bool deadly)
{
  struct site *site = calloc (1, sizeof *site);

  ts_start (&site->cell);
  site->deadly = deadly;
  while (site->count < WORKERS)
    add_worker (site, site->count % RACKS);
  ts_submit (&site->cell, JOB, "urgent", step, 1);
  return site;
}

static void
stop_site (struct site *site)
{
  ts_stop (&site->cell);
  free (site);
}

static enum kq_sched_state
state_of (struct site *site)
{
  return ts_result_of (&site->cell, ts_query (&site->cell, JOB))->state;
}

static int
count_starts (const struct site *site)
{
  int count = 0;

  for (int i = 0; i < site->cell.order_count; i++)
    count += site->cell.orders[i].kind == KQ_SCHED_FX_START
             && site->cell.orders[i].run.job == JOB;
  return count;
}

/* Returns the worker where JOB was started last. */
static int
worker_of_job (const struct site *site)
{
  const struct ts_order *start = last_start (site);

  return start == NULL ? 0 : atoi (start->worker);
}

/* Another process answers at the address of the worker, and registers. */
static void
lose (struct site *site, int number)
{
  char id[16];

  snprintf (id, sizeof id, "%d", number);
  site->lost[number] = true;
  ts_refuse_poll (&site->cell, id, site->cell.now.mono,
                  KQ_SCHED_OTHER_INCARNATION);
  add_worker (site, racks[number]);
}

/* Lets MS pass; all workers that are up list the last run of JOB. A worker
   that accepts a deadly start is lost at once. */
static void
pass (struct site *site, int64_t ms)
{
  int accepted = 0;

  for (; ms > 0; ms -= 100)
    {
      int at = worker_of_job (site);

      ts_advance (&site->cell, 100);
      if (count_starts (site) > accepted && !site->lost[at])
        {
          accepted = count_starts (site);
          at = worker_of_job (site);
          ts_reply_order (&site->cell, last_start (site), KQ_SCHED_OK);
          if (site->deadly)
            lose (site, at);
        }
      for (int i = 0; i < site->count; i++)
        if (!site->lost[i])
          answer_poll (site, i);
    }
}

static bool
is_up_in (const struct site *site, int number, int rack)
{
  return !site->lost[number] && (rack < 0 || racks[number] == rack);
}

/* All workers up now, or those of RACK if it is not negative, are lost within
   RESTART_MS. Each second one is that where JOB was started last. */
static void
lose_all (struct site *site, int rack)
{
  int count = site->count;
  int left = 0;

  for (int i = 0; i < count; i++)
    left += is_up_in (site, i, rack);
  for (int step_ms = RESTART_MS / WORKERS; left > 0; left--)
    {
      int at = worker_of_job (site);
      int next = at;

      if (next >= count || !is_up_in (site, next, rack) || left % 2 != 0)
        for (next = 0;
             !is_up_in (site, next, rack) || (next == at && left > 1); next++)
          ;
      lose (site, next);
      ts_advance (&site->cell, step_ms);
    }
}

static void
accept_start (struct site *site)
{
  ts_reply_order (&site->cell, last_start (site), KQ_SCHED_OK);
}

/* Every second poll of each second worker and the reply to the start get
   lost. */
static void
lose_replies (struct site *site)
{
  ts_reply_order (&site->cell, last_start (site), KQ_SCHED_NO_REPLY);
  for (int i = 0; i < WORKERS; i += 2)
    {
      char id[16];

      snprintf (id, sizeof id, "%d", i);
      ts_fail_poll (&site->cell, id);
    }
  ts_advance (&site->cell, 300);
}

static void
lose_service (struct site *site)
{
  accept_start (site);
  lose_all (site, -1);
}

static void
lose_links_and_service (struct site *site)
{
  lose_replies (site);
  lose_all (site, -1);
}

static void
lose_rack_three_times (struct site *site)
{
  for (int i = 0; i < 3; i++)
    {
      if (!site->lost[worker_of_job (site)])
        accept_start (site);
      lose_all (site, 0);
      pass (site, RACK_INTERVAL_MS);
    }
}

static void
take_over (struct site *site)
{
  ts_take_over (&site->cell);
  for (int i = 0; i < site->count; i++)
    if (!site->lost[i])
      report_worker (site, i, racks[i]);
}

/* The whole service is lost again and again, also after each start of JOB.
   Another owner follows after CHANGE_MS, if that is not 0. */
static void
lose_in_series (struct site *site, int64_t change_ms)
{
  const kq_usec end = site->cell.now.mono + SERIES_MS * KQ_USEC_PER_MSEC;
  const kq_usec change_at = site->cell.now.mono + change_ms * KQ_USEC_PER_MSEC;
  kq_usec next_wave = 0;
  int starts = 0;

  while (site->cell.now.mono < end)
    {
      if (site->cell.now.mono >= next_wave || count_starts (site) > starts)
        {
          starts = count_starts (site);
          lose_all (site, -1);
          next_wave
              = site->cell.now.mono + WAVE_INTERVAL_MS * KQ_USEC_PER_MSEC;
        }
      if (change_ms > 0 && site->cell.now.mono >= change_at)
        {
          change_ms = 0;
          take_over (site);
        }
      pass (site, 100);
    }
}

static void
lose_service_in_series (struct site *site)
{
  lose_in_series (site, 0);
}

static void
lose_service_and_owner_in_series (struct site *site)
{
  lose_in_series (site, CHANGE_MS);
}

typedef void outage (struct site *);

/* A sound task goes on after the outage, in time. */
static void
check_sound (const struct kq_sched_step *step, outage *lose_workers)
{
  struct site *site = start_site (step, false);

  lose_workers (site);
  pass (site, LASTING_MS);
  CU_ASSERT_NOT_EQUAL (state_of (site), KQ_SCHED_FAILED_JOB);
  CU_ASSERT_FALSE (site->lost[worker_of_job (site)]);
  pass (site, 20000);
  CU_ASSERT_NOT_EQUAL (state_of (site), KQ_SCHED_FAILED_JOB);
  stop_site (site);
}

/* A task that crashes its workers ends within its budget beside the outage.
 */
static void
check_deadly (const struct kq_sched_step *step, outage *lose_workers)
{
  struct site *site = start_site (step, true);

  lose_workers (site);
  pass (site, 60000);
  CU_ASSERT (count_starts (site) <= MAX_STARTS);
  CU_ASSERT_EQUAL (state_of (site), KQ_SCHED_FAILED_JOB);
  stop_site (site);
}

static void
test_service_restarts (void)
{
  check_sound (&task_step, lose_service);
  check_sound (&lasting_step, lose_service);
}

static void
test_lossy_links_then_restart (void)
{
  check_sound (&task_step, lose_links_and_service);
  check_sound (&lasting_step, lose_links_and_service);
}

static void
test_rack_three_times (void)
{
  check_sound (&rack_step, lose_rack_three_times);
}

static void
test_service_lost_in_series (void)
{
  check_sound (&task_step, lose_service_in_series);
  check_sound (&lasting_step, lose_service_in_series);
}

static void
test_owner_lost_in_series (void)
{
  check_sound (&task_step, lose_service_and_owner_in_series);
  check_sound (&lasting_step, lose_service_and_owner_in_series);
  check_deadly (&task_step, lose_service_and_owner_in_series);
}

static void
test_deadly_task_in_outages (void)
{
  check_deadly (&task_step, lose_service);
  check_deadly (&task_step, lose_links_and_service);
  check_deadly (&rack_step, lose_rack_three_times);
  check_deadly (&task_step, lose_service_in_series);
}

/* An outage follows each start: the losses are set aside each time. */
static void
test_deadly_task_in_repeated_outages (void)
{
  struct site *site = start_site (&task_step, false);

  for (int i = 0; i < 10 && state_of (site) != KQ_SCHED_FAILED_JOB; i++)
    {
      lose_service (site);
      for (int step = 0; step < 100 && site->lost[worker_of_job (site)];
           step++)
        ts_advance (&site->cell, 100);
    }
  CU_ASSERT (count_starts (site) <= MAX_STARTS);
  CU_ASSERT_EQUAL (state_of (site), KQ_SCHED_FAILED_JOB);
  stop_site (site);
}

/* All workers are out of reach until their leases have lapsed, and then
   answer again. */
static void
cut_service (struct site *site)
{
  int run = last_start (site)->run.run;

  accept_start (site);
  for (int step = 0; step < 100 && last_start (site)->run.run == run; step++)
    {
      for (int i = 0; i < site->count; i++)
        ts_fail_poll (&site->cell, worker_id (i));
      ts_advance (&site->cell, 250);
      if (step * 250 >= CUT_MS)
        for (int i = 0; i < site->count; i++)
          ts_reply_poll (&site->cell, worker_id (i), NULL, 0, NULL, 0);
    }
}

/* A job must not fail because its workers were cut off with all others, time
   and again. */
static void
test_service_is_cut_off (void)
{
  struct site *site = start_site (&task_step, false);

  for (int i = 0; i < MAX_STARTS + 1; i++)
    {
      cut_service (site);
      CU_ASSERT_NOT_EQUAL (state_of (site), KQ_SCHED_FAILED_JOB);
    }
  CU_ASSERT (count_starts (site) > MAX_STARTS);
  stop_site (site);
}

/* A loss that counts no more, which neither log nor metrics tell from one that
   does. */
static void
test_refuted_loss_is_counted (void)
{
  struct site *site = start_site (&task_step, false);
  struct kq_sched_counts counts;

  cut_service (site);
  ts_advance (&site->cell, 5000);
  kq_sched_count (site->cell.sched, &counts);
  CU_ASSERT_EQUAL (counts.crashes, 1);
  CU_ASSERT_EQUAL (counts.losses_refuted, 0);
  cut_service (site);
  kq_sched_count (site->cell.sched, &counts);
  CU_ASSERT_EQUAL (counts.losses_refuted, 1);
  stop_site (site);
}

static void
lose_owner_between (struct site *site)
{
  accept_start (site);
  lose (site, worker_of_job (site));
  ts_advance (&site->cell, 30);
  lose (site, worker_of_job (site));
  take_over (site);
  lose_all (site, -1);
}

static void
test_owner_lost_between_losses (void)
{
  check_sound (&task_step, lose_owner_between);
  check_deadly (&task_step, lose_owner_between);
}

/* Two workers were lost under the task under an earlier owner, long before
   the outage. */
static void
lose_before_and_after_takeover (struct site *site)
{
  accept_start (site);
  lose (site, worker_of_job (site));
  ts_advance (&site->cell, 5000);
  lose (site, worker_of_job (site));
  ts_advance (&site->cell, 5000);
  take_over (site);
  lose_all (site, -1);
}

static void
test_restored_task_with_losses (void)
{
  check_sound (&task_step, lose_before_and_after_takeover);
  check_deadly (&task_step, lose_before_and_after_takeover);
}

/* After the first losses no start goes to a worker that has not replied since:
   it would be thrown away. */
static void
test_starts_go_to_workers_heard_from (void)
{
  struct site *site = start_site (&task_step, false);

  for (int i = WORKERS / 2 - 1; i < WORKERS; i++)
    lose (site, i);
  for (int i = WORKERS; i < site->count; i++)
    answer_poll (site, i);
  for (int i = 0; i < NEW_JOBS; i++)
    ts_submit (&site->cell, FIRST_OTHER_JOB + (uint64_t)i, "urgent",
               &task_step, 1);
  ts_advance (&site->cell, 100);
  for (int i = 0; i < site->cell.order_count; i++)
    if (site->cell.orders[i].run.job >= FIRST_OTHER_JOB)
      CU_ASSERT (atoi (site->cell.orders[i].worker) >= WORKERS);
  CU_ASSERT (ts_count_orders (&site->cell, KQ_SCHED_FX_START) > NEW_JOBS);
  stop_site (site);
}

static const struct kq_test tests[] = {
  { "a service restarts in 400 ms", test_service_restarts },
  { "lossy links, then a restart", test_lossy_links_then_restart },
  { "a rack is lost three times in 20 s", test_rack_three_times },
  { "a service is lost in series", test_service_lost_in_series },
  { "the owner is lost in such a series", test_owner_lost_in_series },
  { "a deadly task in outages", test_deadly_task_in_outages },
  { "a deadly task in repeated outages",
    test_deadly_task_in_repeated_outages },
  { "a service is cut off", test_service_is_cut_off },
  { "a refuted loss is counted", test_refuted_loss_is_counted },
  { "the owner is lost between the losses", test_owner_lost_between_losses },
  { "a restored task with earlier losses", test_restored_task_with_losses },
  { "starts go to workers heard from", test_starts_go_to_workers_heard_from },
};

KQ_TEST_MAIN ("test-outage-jobs", tests)

/* Guards against starting a task again and again that crashes each worker that
 * starts it, and against giving up tasks that were only near it.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "t/kqtest.h"
#include "t/lib-sched.h"

#define DEADLY_JOB UINT64_C (0x11)
#define OTHER_JOB UINT64_C (0x12)

/* A task under which so many workers have crashed for certain is given up. */
#define MAX_CRASHES 3

/* A task may be started twice more after three workers have crashed under
   it. */
#define MAX_STARTS 5

/* So many lost workers never prove that their task is the cause. */
#define LOSSES_THAT_PROVE_NOTHING 2

/* Time from the first start until a run has proved that it does not crash its
   worker. */
#define SETTLE_MS 1500

/* Time after which a run is not taken for one that has just begun, also by
   a new owner. */
#define LONG_RUN_MS 30000

/* Time after which a worker that answers no orders carries out a start. */
#define LATE_START_MS 1000

/* Time for which an outage may still show that explains crashes under starts
   without replies, or under an earlier owner. */
#define VERDICT_MS 2250

/* Workers of a site that are lost and replaced together. */
#define WORKERS_AT_ONCE 3

/* Losses that nothing connects are further apart. */
#define APART_MS 3000

/* Time after which the lease of a silent worker has lapsed. */
#define LONGEST_LAPSE_MS 8000

/* Crashes of one worker after so many starts, and the time by which a lasting
   task must run again. */
#define CRASH_LOOP 8
#define LASTING_MS 6000

#define MAX_WORKERS 32

static const struct kq_sched_step one_task
    = { .count = 1, .demand = { 1000, 100, 0 }, .est_ms = 20000 };

static const struct kq_sched_step lasting_task = {
  .count = 1, .demand = { 1000, 100, 0 }, .est_ms = 20000, .long_running = true
};

/* Workers "0", "1", ...; a crashed one is replaced by the next number. */
struct site
{
  struct ts_cell cell;
  int first;
  int count;
  bool crashed[MAX_WORKERS];
};

static void
add_worker (struct site *site)
{
  char id[16];

  CU_ASSERT_FATAL (site->count < MAX_WORKERS);
  snprintf (id, sizeof id, "%d", site->count++);
  ts_register_worker (&site->cell, id, 8000, 8000);
  ts_reply_poll (&site->cell, id, NULL, 0, NULL, 0);
}

static struct site *
start_site (int workers)
{
  struct site *site = calloc (1, sizeof *site);

  ts_start (&site->cell);
  while (site->count < workers)
    add_worker (site);
  return site;
}

static void
stop_site (struct site *site)
{
  ts_stop (&site->cell);
  free (site);
}

static enum kq_sched_state
state_of (struct site *site, uint64_t job)
{
  uint64_t token = ts_query (&site->cell, job);

  return ts_result_of (&site->cell, token)->state;
}

static int
count_starts (const struct ts_cell *cell, uint64_t job)
{
  int count = 0;

  for (int i = 0; i < cell->order_count; i++)
    count += cell->orders[i].kind == KQ_SCHED_FX_START
             && cell->orders[i].run.job == job;
  return count;
}

/* Returns the last start order of the first task of JOB; its worker is "" if
   there is none. */
static struct ts_order
last_start (const struct ts_cell *cell, uint64_t job)
{
  const struct ts_order *order
      = ts_last_order (cell, KQ_SCHED_FX_START, job, 0, 0);

  return order != NULL ? *order : (struct ts_order){ .worker = "" };
}

/* Another process answers at the address of WORKER, and registers. */
static void
crash (struct site *site, const char *worker)
{
  site->crashed[atoi (worker)] = true;
  add_worker (site);
  ts_refuse_poll (&site->cell, worker, site->cell.now.mono,
                  KQ_SCHED_OTHER_INCARNATION);
}

static bool
is_at (const struct ts_cell *cell, uint64_t job, const char *worker)
{
  return strcmp (last_start (cell, job).worker, worker) == 0;
}

/* Lets MS pass in which all workers that have not crashed report the last runs
   of DEADLY_JOB and OTHER_JOB as running. */
static void
run_on (struct site *site, int64_t ms)
{
  static const uint64_t jobs[] = { DEADLY_JOB, OTHER_JOB };

  for (; ms > 0; ms -= 250)
    {
      ts_advance (&site->cell, 250);
      for (int i = 0; i < site->count; i++)
        {
          struct kq_sched_running rows[2];
          size_t row_count = 0;
          char id[16];

          snprintf (id, sizeof id, "%d", i);
          if (site->crashed[i])
            continue;
          for (int j = 0; j < 2; j++)
            if (is_at (&site->cell, jobs[j], id))
              {
                struct ts_order start = last_start (&site->cell, jobs[j]);

                rows[row_count++] = ts_running (&start, 10);
              }
          ts_reply_poll (&site->cell, id, rows, row_count, NULL, 0);
        }
    }
}

/* All workers that have not crashed answer a poll. */
static void
answer_polls (struct site *site)
{
  for (int i = 0; i < site->count; i++)
    {
      char id[16];

      snprintf (id, sizeof id, "%d", i);
      if (!site->crashed[i])
        ts_reply_poll (&site->cell, id, NULL, 0, NULL, 0);
    }
}

/* Crashes each worker that starts the first task of JOB and has answered the
   start with REPLY, until it is not started any more; returns the number of
   crashes. */
static int
crash_each_worker_of (struct site *site, uint64_t job,
                      enum kq_sched_reply reply)
{
  int crashes = 0;
  int run = 0;

  while (last_start (&site->cell, job).run.run != run
         && site->count < MAX_WORKERS)
    {
      struct ts_order start = last_start (&site->cell, job);

      run = start.run.run;
      ts_reply_order (&site->cell, &start, reply);
      crash (site, start.worker);
      crashes++;
    }
  return crashes;
}

static void
test_task_is_given_up (void)
{
  struct site *site = start_site (3);

  ts_submit (&site->cell, DEADLY_JOB, "urgent", &one_task, 1);
  CU_ASSERT (crash_each_worker_of (site, DEADLY_JOB, KQ_SCHED_OK)
             <= MAX_CRASHES);
  CU_ASSERT_EQUAL (state_of (site, DEADLY_JOB), KQ_SCHED_FAILED_JOB);
  run_on (site, 3000);
  CU_ASSERT (count_starts (&site->cell, DEADLY_JOB) <= MAX_CRASHES);
  stop_site (site);
}

/* A lasting task has no limit of failures, but one of crashes. */
static void
test_lasting_task_is_given_up (void)
{
  struct site *site = start_site (3);

  ts_submit (&site->cell, DEADLY_JOB, "urgent", &lasting_task, 1);
  CU_ASSERT (crash_each_worker_of (site, DEADLY_JOB, KQ_SCHED_OK)
             <= MAX_CRASHES);
  CU_ASSERT_EQUAL (state_of (site, DEADLY_JOB), KQ_SCHED_FAILED_JOB);
  stop_site (site);
}

/* Lets a new owner take over. All workers register with it, and all but the
   crashed ones and SILENT reply. */
static void
take_over (struct site *site, const char *silent)
{
  ts_take_over (&site->cell);
  for (int i = 0; i < site->count; i++)
    {
      char id[16];

      snprintf (id, sizeof id, "%d", i);
      ts_register_worker (&site->cell, id, 8000, 8000);
      if (!site->crashed[i] && strcmp (id, silent) != 0)
        ts_reply_poll (&site->cell, id, NULL, 0, NULL, 0);
    }
}

/* Crashes each worker that starts DEADLY_JOB until that is not started any
   more. The owner is lost after each crash but the first KEPT ones, before it
   has noticed. Returns the number of crashes. */
static int
crash_with_takeovers (struct site *site, int kept)
{
  int crashes = 0;

  while (crashes == count_starts (&site->cell, DEADLY_JOB) - 1
         && site->count < MAX_WORKERS - 1)
    {
      struct ts_order start = last_start (&site->cell, DEADLY_JOB);

      if (crashes >= kept)
        take_over (site, start.worker);
      crash (site, start.worker);
      crashes++;
    }
  return crashes;
}

/* What an owner stored before it was lost counts. */
static void
test_crashes_count_across_takeovers (void)
{
  struct site *site = start_site (3);

  ts_submit (&site->cell, DEADLY_JOB, "urgent", &one_task, 1);
  CU_ASSERT (crash_with_takeovers (site, 1) <= MAX_STARTS);
  run_on (site, VERDICT_MS);
  CU_ASSERT (count_starts (&site->cell, DEADLY_JOB) <= MAX_STARTS);
  CU_ASSERT_EQUAL (state_of (site, DEADLY_JOB), KQ_SCHED_FAILED_JOB);
  stop_site (site);
}

/* Every owner is lost before it has noticed the crash, the first one too, so
   that none has seen a loss when it starts the task: it would be started
   without limit. */
static void
test_crashes_that_no_owner_noticed (void)
{
  struct site *site = start_site (3);

  ts_submit (&site->cell, DEADLY_JOB, "urgent", &one_task, 1);
  CU_ASSERT (crash_with_takeovers (site, 0) <= MAX_STARTS);
  run_on (site, VERDICT_MS);
  CU_ASSERT (count_starts (&site->cell, DEADLY_JOB) <= MAX_STARTS);
  CU_ASSERT_EQUAL (state_of (site, DEADLY_JOB), KQ_SCHED_FAILED_JOB);
  stop_site (site);
}

/* A run that was under way for long when an owner was lost says nothing
   against its task if its worker crashes then. */
static void
test_long_runs_across_takeovers (void)
{
  struct site *site = start_site (3);

  ts_submit (&site->cell, OTHER_JOB, "urgent", &lasting_task, 1);
  for (int i = 0; i < 8; i++)
    {
      struct ts_order start = last_start (&site->cell, OTHER_JOB);

      ts_reply_order (&site->cell, &start, KQ_SCHED_OK);
      run_on (site, LONG_RUN_MS);
      take_over (site, start.worker);
      crash (site, start.worker);
      CU_ASSERT_EQUAL (count_starts (&site->cell, OTHER_JOB), i + 2);
    }
  CU_ASSERT_NOT_EQUAL (state_of (site, OTHER_JOB), KQ_SCHED_FAILED_JOB);
  stop_site (site);
}

/* The workers crash before their replies to the starts arrive. */
static void
test_crashes_without_replies (void)
{
  struct site *site = start_site (3);

  ts_submit (&site->cell, DEADLY_JOB, "urgent", &one_task, 1);
  CU_ASSERT (crash_each_worker_of (site, DEADLY_JOB, KQ_SCHED_NO_REPLY)
             <= MAX_STARTS);
  run_on (site, VERDICT_MS);
  CU_ASSERT (count_starts (&site->cell, DEADLY_JOB) <= MAX_STARTS);
  CU_ASSERT_EQUAL (state_of (site, DEADLY_JOB), KQ_SCHED_FAILED_JOB);
  stop_site (site);
}

/* The workers carry out the starts late, list them once and crash: a run that
   has begun only lately must not clear the count, or the task is started
   without limit. */
static void
test_starts_carried_out_late (void)
{
  struct site *site = start_site (3);
  int run = 0;

  ts_submit (&site->cell, DEADLY_JOB, "urgent", &one_task, 1);
  while (last_start (&site->cell, DEADLY_JOB).run.run != run
         && site->count < MAX_WORKERS)
    {
      struct ts_order start = last_start (&site->cell, DEADLY_JOB);
      struct kq_sched_running row = ts_running (&start, 0);

      run = start.run.run;
      ts_reply_order (&site->cell, &start, KQ_SCHED_NO_REPLY);
      ts_advance (&site->cell, LATE_START_MS);
      for (int i = 0; i < site->count; i++)
        {
          char id[16];

          snprintf (id, sizeof id, "%d", i);
          if (!site->crashed[i])
            ts_reply_poll (&site->cell, id, &row,
                           strcmp (id, start.worker) == 0, NULL, 0);
        }
      crash (site, start.worker);
    }
  CU_ASSERT (count_starts (&site->cell, DEADLY_JOB) <= MAX_STARTS);
  CU_ASSERT_EQUAL (state_of (site, DEADLY_JOB), KQ_SCHED_FAILED_JOB);
  stop_site (site);
}

/* A start without a reply may never have reached the worker, so that only one
   worker has crashed under the task: its job must not fail for that. */
static void
test_unanswered_start_proves_nothing (void)
{
  struct site *site = start_site (3);
  struct ts_order start;

  ts_submit (&site->cell, OTHER_JOB, "urgent", &one_task, 1);
  start = last_start (&site->cell, OTHER_JOB);
  ts_reply_order (&site->cell, &start, KQ_SCHED_NO_REPLY);
  crash (site, start.worker);
  start = last_start (&site->cell, OTHER_JOB);
  ts_reply_order (&site->cell, &start, KQ_SCHED_OK);
  crash (site, start.worker);
  CU_ASSERT_NOT_EQUAL (state_of (site, OTHER_JOB), KQ_SCHED_FAILED_JOB);
  CU_ASSERT_EQUAL (count_starts (&site->cell, OTHER_JOB), 3);
  stop_site (site);
}

/* After a crash of many workers a task may be placed on several that have
   crashed before its starts reach them: its job must not fail for that. */
static void
test_starts_at_crashed_workers (void)
{
  struct site *site = start_site (8);

  ts_submit (&site->cell, OTHER_JOB, "urgent", &one_task, 1);
  for (int i = 0; i < 6; i++)
    {
      struct ts_order start = last_start (&site->cell, OTHER_JOB);

      CU_ASSERT_EQUAL (start.run.run, i + 1);
      ts_reply_order (&site->cell, &start, KQ_SCHED_OTHER_INCARNATION);
      site->crashed[atoi (start.worker)] = true;
      answer_polls (site);
      ts_advance (&site->cell, 250);
    }
  CU_ASSERT_NOT_EQUAL (state_of (site, OTHER_JOB), KQ_SCHED_FAILED_JOB);
  stop_site (site);
}

/* The same for workers that are only silent until their leases lapse. */
static void
test_silent_worker_proves_nothing (void)
{
  struct site *site = start_site (2);

  ts_submit (&site->cell, OTHER_JOB, "urgent", &one_task, 1);
  for (int i = 0; i < 2; i++)
    {
      struct ts_order start = last_start (&site->cell, OTHER_JOB);

      ts_reply_order (&site->cell, &start, KQ_SCHED_OK);
      site->crashed[atoi (start.worker)] = true;
      add_worker (site);
      for (int step = 0;
           step < 100 && is_at (&site->cell, OTHER_JOB, start.worker); step++)
        {
          ts_fail_poll (&site->cell, start.worker);
          run_on (site, 250);
        }
      CU_ASSERT_EQUAL (count_starts (&site->cell, OTHER_JOB), i + 2);
    }
  CU_ASSERT_NOT_EQUAL (state_of (site, OTHER_JOB), KQ_SCHED_FAILED_JOB);
  stop_site (site);
}

/* Workers crash one after the other under a sound task that each had begun:
   two such crashes must not end its job, however calm all else is. */
static void
test_two_crashes_prove_nothing (void)
{
  static const struct kq_sched_step *const steps[]
      = { &one_task, &lasting_task };

  for (int i = 0; i < 2; i++)
    {
      struct site *site = start_site (14);
      struct ts_order start;

      ts_submit (&site->cell, OTHER_JOB, "urgent", steps[i], 1);
      for (int loss = 0; loss < LOSSES_THAT_PROVE_NOTHING; loss++)
        {
          start = last_start (&site->cell, OTHER_JOB);
          ts_reply_order (&site->cell, &start, KQ_SCHED_OK);
          ts_advance (&site->cell, 250);
          crash (site, start.worker);
        }
      CU_ASSERT_NOT_EQUAL (state_of (site, OTHER_JOB), KQ_SCHED_FAILED_JOB);
      CU_ASSERT_EQUAL (count_starts (&site->cell, OTHER_JOB),
                       LOSSES_THAT_PROVE_NOTHING + 1);
      stop_site (site);
    }
}

/* What a worker lost under DEADLY_JOB looks like at the owner. */
enum look
{
  LOOK_CRASHED,   /* another process has its address */
  LOOK_LAPSED,    /* it is silent until its lease lapses */
  LOOK_CUT,       /* the same, with all others, for good */
  LOOK_UNANSWERED /* the start had no reply, then as LOOK_CRASHED */
};

/* Lets MS pass in which the workers that are up answer and list nothing. */
static void
wait_on (struct site *site, int64_t ms)
{
  for (; ms > 0; ms -= 250)
    {
      ts_advance (&site->cell, 250);
      answer_polls (site);
    }
}

static void
lose_worker_of_deadly_job (struct site *site, enum look look)
{
  struct ts_order start = last_start (&site->cell, DEADLY_JOB);

  ts_reply_order (&site->cell, &start,
                  look == LOOK_UNANSWERED ? KQ_SCHED_NO_REPLY : KQ_SCHED_OK);
  if (look == LOOK_CUT)
    {
      for (int i = 0; i < site->count; i++)
        site->crashed[i] = true;
      for (int i = 0; i < WORKERS_AT_ONCE; i++)
        add_worker (site);
    }
  if (look != LOOK_LAPSED && look != LOOK_CUT)
    crash (site, start.worker);
  else
    {
      site->crashed[atoi (start.worker)] = true;
      add_worker (site);
      for (int i = 0; i < LONGEST_LAPSE_MS; i += 250)
        {
          ts_fail_poll (&site->cell, start.worker);
          wait_on (site, 250);
        }
    }
  wait_on (site, APART_MS);
}

/* Returns the number of starts of a task whose workers are lost one by one,
   with nothing else lost, in the order of LOOKS. */
static int
count_starts_with_looks (const enum look *looks, int count)
{
  struct site *site = start_site (WORKERS_AT_ONCE);
  int run = 0;
  int starts;

  ts_submit (&site->cell, DEADLY_JOB, "urgent", &one_task, 1);
  for (int i = 0;
       i < count && last_start (&site->cell, DEADLY_JOB).run.run > run; i++)
    {
      run = last_start (&site->cell, DEADLY_JOB).run.run;
      lose_worker_of_deadly_job (site, looks[i]);
    }
  CU_ASSERT_EQUAL (state_of (site, DEADLY_JOB), KQ_SCHED_FAILED_JOB);
  starts = count_starts (&site->cell, DEADLY_JOB);
  stop_site (site);
  return starts;
}

/* A task whose losses look different each time, as hosts restart beside it,
   must not be started a sixth time. */
static void
test_losses_count_whatever_their_look (void)
{
  static const enum look mixed[]
      = { LOOK_CRASHED,    LOOK_LAPSED,     LOOK_LAPSED,
          LOOK_UNANSWERED, LOOK_UNANSWERED, LOOK_CRASHED };
  static const enum look unanswered[]
      = { LOOK_UNANSWERED, LOOK_LAPSED,     LOOK_UNANSWERED,
          LOOK_LAPSED,     LOOK_UNANSWERED, LOOK_CRASHED };
  static const enum look lapsed[] = { LOOK_LAPSED, LOOK_LAPSED, LOOK_LAPSED,
                                      LOOK_LAPSED, LOOK_LAPSED, LOOK_CRASHED };

  static const enum look cut[]
      = { LOOK_CUT, LOOK_CRASHED, LOOK_CUT, LOOK_CUT, LOOK_CUT, LOOK_CRASHED };

  CU_ASSERT (count_starts_with_looks (cut, 6) <= MAX_STARTS);
  CU_ASSERT (count_starts_with_looks (mixed, 6) <= MAX_STARTS);
  CU_ASSERT (count_starts_with_looks (unanswered, 6) <= MAX_STARTS);
  CU_ASSERT (count_starts_with_looks (lapsed, 6) <= MAX_STARTS);
}

/* Two tasks are lost together.  They are not started on one worker again, and
   the one that settles is not given up. */
static void
test_tasks_lost_together_are_parted (void)
{
  struct site *site = start_site (1);
  struct ts_order other;

  ts_submit (&site->cell, DEADLY_JOB, "urgent", &one_task, 1);
  ts_submit (&site->cell, OTHER_JOB, "urgent", &one_task, 1);
  other = last_start (&site->cell, OTHER_JOB);
  CU_ASSERT (is_at (&site->cell, DEADLY_JOB, "0"));
  CU_ASSERT (is_at (&site->cell, OTHER_JOB, "0"));
  add_worker (site);
  add_worker (site);
  crash (site, "0");
  CU_ASSERT (!is_at (&site->cell, OTHER_JOB,
                     last_start (&site->cell, DEADLY_JOB).worker));
  other = last_start (&site->cell, OTHER_JOB);
  ts_reply_order (&site->cell, &other, KQ_SCHED_OK);
  crash_each_worker_of (site, DEADLY_JOB, KQ_SCHED_OK);
  CU_ASSERT (count_starts (&site->cell, DEADLY_JOB) <= MAX_CRASHES);
  CU_ASSERT_EQUAL (state_of (site, DEADLY_JOB), KQ_SCHED_FAILED_JOB);
  CU_ASSERT_NOT_EQUAL (state_of (site, OTHER_JOB), KQ_SCHED_FAILED_JOB);
  CU_ASSERT_EQUAL (count_starts (&site->cell, OTHER_JOB), 2);
  stop_site (site);
}

/* Workers crash under a task that had settled there: it is not the cause,
   however often that happens. */
static void
test_settled_task_is_not_given_up (void)
{
  struct site *site = start_site (2);

  ts_submit (&site->cell, OTHER_JOB, "urgent", &lasting_task, 1);
  for (int i = 0; i < 8; i++)
    {
      struct ts_order start = last_start (&site->cell, OTHER_JOB);

      ts_reply_order (&site->cell, &start, KQ_SCHED_OK);
      run_on (site, SETTLE_MS);
      crash (site, start.worker);
      CU_ASSERT_EQUAL (count_starts (&site->cell, OTHER_JOB), i + 2);
    }
  CU_ASSERT_NOT_EQUAL (state_of (site, OTHER_JOB), KQ_SCHED_FAILED_JOB);
  stop_site (site);
}

/* Crashes before a run that settled do not count any more. */
static void
test_settled_run_clears_the_count (void)
{
  struct site *site = start_site (2);

  ts_submit (&site->cell, OTHER_JOB, "urgent", &one_task, 1);
  for (int i = 0; i < 6; i++)
    {
      struct ts_order start = last_start (&site->cell, OTHER_JOB);

      ts_reply_order (&site->cell, &start, KQ_SCHED_OK);
      if (i % 2 == 1)
        run_on (site, SETTLE_MS);
      crash (site, start.worker);
    }
  CU_ASSERT_NOT_EQUAL (state_of (site, OTHER_JOB), KQ_SCHED_FAILED_JOB);
  stop_site (site);
}

/* The crashed worker is back under its ID. */
static void
test_crash_of_a_worker_that_keeps_its_id (void)
{
  struct site *site = start_site (1);
  int64_t incarnation_ms = 1;

  ts_submit (&site->cell, DEADLY_JOB, "urgent", &one_task, 1);
  while (count_starts (&site->cell, DEADLY_JOB) == incarnation_ms
         && incarnation_ms < 10)
    {
      struct ts_order start = last_start (&site->cell, DEADLY_JOB);

      ts_reply_order (&site->cell, &start, KQ_SCHED_OK);
      incarnation_ms++;
      ts_register_incarnation (&site->cell, "0", 8000, 8000, incarnation_ms);
      for (int i = 0; i < 3; i++)
        {
          ts_advance (&site->cell, 100);
          ts_reply_poll_sent_at (&site->cell, "0", site->cell.now.mono,
                                 incarnation_ms, NULL, 0, NULL, 0);
        }
    }
  CU_ASSERT (count_starts (&site->cell, DEADLY_JOB) <= MAX_CRASHES);
  CU_ASSERT_EQUAL (state_of (site, DEADLY_JOB), KQ_SCHED_FAILED_JOB);
  stop_site (site);
}

/* Starts and crashes the first task of JOB, a lasting one, at WORKERS that
   keep their IDs, CRASHES times or until it is not started for 9 s. Returns
   the number of crashes; *LONGEST_MS is the longest time between two starts.
 */
static int
crash_workers_that_keep_ids (struct site *site, uint64_t job, int workers,
                             int crashes, int64_t *longest_ms)
{
  int64_t incarnations[MAX_WORKERS];
  kq_usec crashed_at = 0;
  int count = 0;
  int run = 0;

  *longest_ms = 0;
  for (int i = 0; i < workers; i++)
    incarnations[i] = 1;
  for (int quiet = 0; count < crashes && quiet < 90; quiet++)
    {
      struct ts_order start = last_start (&site->cell, job);

      if (start.run.run != run && start.worker[0] != '\0')
        {
          int number = atoi (start.worker);
          int64_t waited_ms
              = (site->cell.now.mono - crashed_at) / KQ_USEC_PER_MSEC;

          if (crashed_at != 0 && waited_ms > *longest_ms)
            *longest_ms = waited_ms;
          crashed_at = site->cell.now.mono;
          quiet = 0;
          run = start.run.run;
          count++;
          ts_reply_order (&site->cell, &start, KQ_SCHED_OK);
          ts_register_incarnation (&site->cell, start.worker, 8000, 8000,
                                   ++incarnations[number]);
        }
      ts_advance (&site->cell, 100);
      for (int i = 0; i < workers; i++)
        {
          char id[16];

          snprintf (id, sizeof id, "%d", i);
          ts_reply_poll_sent_at (&site->cell, id, site->cell.now.mono,
                                 incarnations[i], NULL, 0, NULL, 0);
        }
    }
  return count;
}

/* One worker that crashes again and again proves nothing against a task that
   lasts and may run nowhere else: its job goes on, and it is tried again
   before the 6 s are over. */
static void
test_one_worker_in_a_crash_loop (void)
{
  struct site *site = start_site (1);
  int64_t longest_ms;

  ts_submit (&site->cell, DEADLY_JOB, "urgent", &lasting_task, 1);
  CU_ASSERT_EQUAL (crash_workers_that_keep_ids (site, DEADLY_JOB, 1,
                                                CRASH_LOOP, &longest_ms),
                   CRASH_LOOP);
  CU_ASSERT (longest_ms < LASTING_MS);
  CU_ASSERT_NOT_EQUAL (state_of (site, DEADLY_JOB), KQ_SCHED_FAILED_JOB);
  stop_site (site);
}

/* A lasting task that crashes each worker where it may run is given up,
   although the workers keep their IDs. */
static void
test_lasting_task_at_workers_that_keep_ids (void)
{
  struct site *site = start_site (4);
  int64_t longest_ms;

  ts_submit (&site->cell, DEADLY_JOB, "urgent", &lasting_task, 1);
  CU_ASSERT (crash_workers_that_keep_ids (site, DEADLY_JOB, 4, CRASH_LOOP,
                                          &longest_ms)
             <= MAX_STARTS);
  CU_ASSERT_EQUAL (state_of (site, DEADLY_JOB), KQ_SCHED_FAILED_JOB);
  stop_site (site);
}

/* A worker that announced its end has not crashed. */
static void
test_end_of_a_draining_worker (void)
{
  struct site *site = start_site (2);

  ts_submit (&site->cell, OTHER_JOB, "urgent", &one_task, 1);
  for (int i = 0; i < 6; i++)
    {
      struct ts_order start = last_start (&site->cell, OTHER_JOB);

      ts_reply_order (&site->cell, &start, KQ_SCHED_OK);
      ts_drain (&site->cell, start.worker);
      crash (site, start.worker);
      CU_ASSERT_EQUAL (count_starts (&site->cell, OTHER_JOB), i + 2);
    }
  CU_ASSERT_NOT_EQUAL (state_of (site, OTHER_JOB), KQ_SCHED_FAILED_JOB);
  stop_site (site);
}

static const struct kq_test tests[] = {
  { "a task that crashes its workers is given up", test_task_is_given_up },
  { "a lasting task that crashes its workers is given up",
    test_lasting_task_is_given_up },
  { "crashes count across takeovers", test_crashes_count_across_takeovers },
  { "crashes that no owner noticed", test_crashes_that_no_owner_noticed },
  { "long runs across takeovers", test_long_runs_across_takeovers },
  { "crashes without replies", test_crashes_without_replies },
  { "starts carried out late", test_starts_carried_out_late },
  { "an unanswered start proves nothing",
    test_unanswered_start_proves_nothing },
  { "starts at crashed workers", test_starts_at_crashed_workers },
  { "a silent worker proves nothing", test_silent_worker_proves_nothing },
  { "two crashes prove nothing", test_two_crashes_prove_nothing },
  { "losses count whatever their look",
    test_losses_count_whatever_their_look },
  { "tasks lost together are parted", test_tasks_lost_together_are_parted },
  { "a settled task is not given up", test_settled_task_is_not_given_up },
  { "a settled run clears the count", test_settled_run_clears_the_count },
  { "crash of a worker that keeps its ID",
    test_crash_of_a_worker_that_keeps_its_id },
  { "one worker in a crash loop", test_one_worker_in_a_crash_loop },
  { "a lasting task at workers that keep their IDs",
    test_lasting_task_at_workers_that_keep_ids },
  { "end of a draining worker", test_end_of_a_draining_worker },
};

KQ_TEST_MAIN ("test-crash", tests)

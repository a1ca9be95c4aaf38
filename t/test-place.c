/* Tests of placement.  They guard against tasks placed beyond the limits, and
   against wrong or oscillating decisions when usage reports arrive late.  */

#include <setjmp.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>

#include "base/err.h"
#include "place/place.h"
#include "t/kqtest.h"
#include "t/lib-cluster.h"

#define SEC KQ_USEC_PER_SEC
#define LAG (10 * SEC)

static struct kq_place *place;
static struct kq_place_action actions[16];
static struct kq_name chosen;
static struct kq_place_running running[2][8];
static int running_count[2];

static struct kq_name
name (const char *text)
{
  struct kq_name result;

  kq_name_set (&result, text);
  return result;
}

static struct kq_place_task
task (const char *job, int index, int cpu, int memory, int importance)
{
  struct kq_place_task result = { .importance = importance };

  result.id.job = name (job);
  result.id.index = index;
  result.team = name ("team");
  result.size = (struct kq_resources){ cpu, memory, 0 };
  return result;
}

/* Creates COUNT workers of 16 cores and 60 GB in one rack. */
static void
set_up (int count, int slots)
{
  struct kq_resources capacity = { 16000, 60000, 2 };
  struct kq_name rack = name ("rack");
  char text[8];

  kq_place_destroy (place);
  place = kq_place_create (NULL);
  memset (running, 0, sizeof (running));
  memset (running_count, 0, sizeof (running_count));
  for (int i = 0; i < count; i++)
    {
      struct kq_name worker;

      snprintf (text, sizeof (text), "w%d", i);
      worker = name (text);
      kq_place_set_worker (place, &worker, &rack, &capacity, slots);
    }
}

static int
choose (struct kq_place_task spec, kq_usec now)
{
  return kq_place_choose_worker (place, &spec, now, NULL, NULL, &chosen);
}

/* Adds SPEC to the tasks that run on w0 or w1, regardless of the limits. */
static void
adopt (const char *worker, struct kq_place_task spec, kq_usec now)
{
  struct kq_name worker_name = name (worker);
  int w = worker[1] - '0';
  struct kq_place_running *row = &running[w][running_count[w]++];

  row->task = spec;
  row->granted = spec.size;
  row->share_milli = 1000;
  CU_ASSERT_EQUAL (kq_place_sync_tasks (place, &worker_name, running[w],
                                        (size_t)running_count[w], now),
                   0);
}

static int
report (const char *worker, int64_t seq, kq_usec at, int cpu, int memory,
        bool throttled, kq_usec now)
{
  struct kq_name worker_name = name (worker);
  struct kq_place_usage usage = {
    .seq = seq, .at = at, .used = { cpu, memory, 0 }, .throttled = throttled
  };

  return kq_place_apply_report (place, &worker_name, &usage, now);
}

/* Reports the usage of w0 once a second for 20 s, until the estimates have
   converged.  */
static void
report_repeatedly (int cpu, int memory, kq_usec from)
{
  for (int i = 0; i < 20; i++)
    report ("w0", from / SEC + i, from + i * SEC, cpu, memory, false,
            from + i * SEC);
}

static int
limit (void)
{
  struct kq_name rack = name ("rack");

  return kq_place_rack_limit (place, &rack);
}

static void
test_report_once (void)
{
  struct kq_place_task spec = task ("j", 0, 1000, 1000, 5);
  struct kq_resources once;
  struct kq_resources after_duplicates;

  set_up (1, 0);
  adopt ("w0", spec, 0);
  CU_ASSERT_EQUAL (report ("w0", 5, SEC, 4000, 4000, false, SEC), 0);
  once = kq_place_expected_size (place, &spec);
  CU_ASSERT_EQUAL (report ("w0", 5, SEC, 4000, 4000, false, 2 * SEC),
                   KQ_EEXIST);
  CU_ASSERT_EQUAL (report ("w0", 4, 0, 9000, 9000, false, 2 * SEC), KQ_EEXIST);
  CU_ASSERT_EQUAL (report ("w9", 6, SEC, 1, 1, false, 2 * SEC), KQ_ENOENT);
  after_duplicates = kq_place_expected_size (place, &spec);
  CU_ASSERT_EQUAL (memcmp (&once, &after_duplicates, sizeof (once)), 0);
}

static void
test_sizes_learned (void)
{
  static const struct
  {
    int used;
    int min;
    int max;
  } cases[] = { { 4000, 3800, 4400 }, { 250, 200, 500 }, { 1000, 950, 1300 } };

  for (size_t i = 0; i < sizeof (cases) / sizeof (cases[0]); i++)
    {
      struct kq_place_task spec = task ("j", 0, 1000, 1000, 5);
      struct kq_place_task other = task ("k", 0, 1000, 1000, 5);
      struct kq_resources size;

      set_up (1, 0);
      adopt ("w0", spec, 0);
      report_repeatedly (cases[i].used, cases[i].used, SEC);
      size = kq_place_expected_size (place, &spec);
      CU_ASSERT (size.cpu_milli >= cases[i].min
                 && size.cpu_milli <= cases[i].max);
      CU_ASSERT (size.memory_mb >= cases[i].min
                 && size.memory_mb <= cases[i].max * 2);
      /* The correction of a new job of the team is bounded. */
      size = kq_place_expected_size (place, &other);
      CU_ASSERT (size.cpu_milli >= 750 && size.cpu_milli <= 1500);
    }
}

/* A late report must not be attributed to tasks that started after it was
   taken, but has to include tasks that have ended since.  */
static void
test_late_report (void)
{
  struct kq_place_task late = task ("late", 0, 1000, 1000, 5);
  struct kq_resources before;
  struct kq_resources after;

  set_up (1, 0);
  adopt ("w0", task ("early", 0, 1000, 1000, 5), 0);
  adopt ("w0", late, 12 * SEC);
  before = kq_place_expected_size (place, &late);
  for (int i = 0; i < 3; i++)
    report ("w0", i, (5 + i) * SEC, 200, 200, false, (15 + i) * SEC);
  after = kq_place_expected_size (place, &late);
  CU_ASSERT_EQUAL (memcmp (&before, &after, sizeof (before)), 0);
  /* The report includes a task that has ended since. */
  kq_place_end_task (place, &(struct kq_name){ "w0" }, &late.id, 20 * SEC);
  CU_ASSERT_EQUAL (report ("w0", 3, 13 * SEC, 9000, 9000, false, 25 * SEC), 0);
  CU_ASSERT_EQUAL (report ("w0", 4, 15 * SEC, 9000, 9000, false, 25 * SEC), 0);
  after = kq_place_expected_size (place, &late);
  CU_ASSERT (after.cpu_milli > before.cpu_milli);
}

static void
test_limits (void)
{
  struct kq_name team = name ("team");
  struct kq_resources quota = { 3000, INT32_MAX, INT32_MAX };

  set_up (2, 0);
  CU_ASSERT_EQUAL (choose (task ("j", 0, 16001, 1, 5), 0), KQ_EJOB_NEVER_FITS);
  CU_ASSERT_EQUAL (choose (task ("j", 0, 1, 60001, 5), 0), KQ_EJOB_NEVER_FITS);
  CU_ASSERT_EQUAL (choose (task ("j", 0, 1000, 1000, 5), 0), 0);
  /* With other tasks on the worker, corrected sizes must leave a margin. */
  adopt ("w0", task ("a", 0, 1000, 1000, 5), 0);
  adopt ("w1", task ("a", 1, 1000, 1000, 5), 0);
  CU_ASSERT_EQUAL (choose (task ("j", 0, 13000, 1000, 5), 0), KQ_EWORKER_FULL);
  CU_ASSERT_EQUAL (choose (task ("j", 0, 1000, 59000, 5), 0), KQ_EWORKER_FULL);
  kq_place_set_quota (place, &team, &quota);
  CU_ASSERT_EQUAL (choose (task ("j", 0, 1000, 1000, 5), 0), 0);
  CU_ASSERT_EQUAL (choose (task ("j", 0, 1001, 1000, 5), 0), KQ_EJOB_QUOTA);
}

static void
test_probe (void)
{
  set_up (10, 0);
  for (int i = 0; i < 4; i++)
    {
      CU_ASSERT_EQUAL (choose (task ("j", i, 100, 100, 5), SEC), 0);
      adopt ("w0", task ("j", i, 100, 100, 5), SEC);
    }
  CU_ASSERT_EQUAL (choose (task ("j", 4, 100, 100, 5), SEC), KQ_EPLACE_PROBE);
  CU_ASSERT_EQUAL (choose (task ("j", 4, 100, 100, 9), SEC), 0);
  /* When no usage is ever reported, tasks must not wait for it. */
  CU_ASSERT_EQUAL (choose (task ("j", 4, 100, 100, 5), 20 * SEC),
                   KQ_EPLACE_PROBE);
  CU_ASSERT_EQUAL (choose (task ("j", 4, 100, 100, 5), 40 * SEC), 0);
  report_repeatedly (400, 400, 41 * SEC);
  CU_ASSERT_EQUAL (choose (task ("j", 4, 100, 100, 5), 70 * SEC), 0);
}

/* All workers of a rack report the same throttling, late and repeatedly.  The
   limit must be lowered once for that, and again only after a report that was
   taken when the lower limit could have had an effect.  */
static void
test_rack_lowered_once (void)
{
  int first;

  set_up (10, 0);
  for (int i = 0; i < 20; i++)
    {
      char worker[8];

      snprintf (worker, sizeof (worker), "w%d", i % 10);
      report (worker, i / 10, (4 + i / 10) * SEC, 8000, 1000, i >= 10,
              (14 + i / 10) * SEC);
      if (i == 10)
        first = limit ();
    }
  CU_ASSERT_EQUAL (first, 475);
  for (int i = 2; i < 10; i++)
    report ("w0", i, (5 + i) * SEC, 8000, 1000, true, (15 + i) * SEC);
  CU_ASSERT_EQUAL (limit (), first);
  report ("w0", 20, 18 * SEC, 8000, 1000, true, 28 * SEC);
  CU_ASSERT (limit () < first);
}

/* One worker reports usage 10 s late and needs more than the rack's budget.
   The shares must converge.  They oscillate between overload and idle capacity
   when an action follows from usage that was taken before the last action.  */
static void
test_shares_converge (void)
{
  double share[4] = { 1, 1, 1, 1 };
  double demand[700] = { 0 };
  int reversals = 0;
  int last = 0;
  int evictions = 0;

  set_up (1, 0);
  for (int i = 0; i < 4; i++)
    adopt ("w0", task ("j", i, 3500, 1000, 5), 0);
  for (int now = 1; now < 700; now++)
    {
      int at = now - 10;
      int count;

      for (int i = 0; i < 4; i++)
        demand[now] += 3500 * share[i];
      if (at < 1)
        continue;
      report ("w0", at, at * SEC, (int)(demand[at] < 9000 ? demand[at] : 9000),
              4000, demand[at] > 9000, now * SEC);
      count = kq_place_relieve_workers (place, now * SEC, actions, 16);
      for (int i = 0; i < count; i++)
        {
          double wanted = actions[i].share_milli / 1000.0;
          int index = actions[i].task.index;
          int direction = wanted < share[index] ? -1 : 1;

          evictions += actions[i].action != KQ_TASK_THROTTLE;
          reversals += last == -direction;
          last = direction;
          share[index] = wanted;
        }
    }
  CU_ASSERT_EQUAL (evictions, 0);
  CU_ASSERT (reversals <= 2);
  CU_ASSERT (demand[699] > 6000 && demand[699] <= 9500);
}

/* A task that started after the report and was not measured yet must not cause
   an eviction by its declared size; once measured, its learned size counts. */
static void
test_unmeasured_memory (void)
{
  struct kq_place_task measured = task ("seen", 0, 1000, 10000, 5);

  set_up (1, 0);
  adopt ("w0", measured, SEC);
  adopt ("w0", task ("large", 0, 1000, 30000, 5), 30 * SEC);
  report_repeatedly (1000, 40000, 2 * SEC);
  CU_ASSERT_EQUAL (kq_place_relieve_workers (place, 31 * SEC, actions, 16), 0);
  measured.id.index = 1;
  adopt ("w0", measured, 33 * SEC);
  report ("w0", 99, 32 * SEC, 2000, 50000, false, 34 * SEC);
  CU_ASSERT_EQUAL (kq_place_relieve_workers (place, 34 * SEC, actions, 16), 1);
  CU_ASSERT_EQUAL (actions[0].action, KQ_TASK_CHECKPOINT);
}

/* Overload is relieved by throttling first, then by checkpoint and eviction,
   then by a stop.  */
static void
test_order_of_actions (void)
{
  struct kq_name w0 = name ("w0");
  kq_usec now = 0;
  int seq = 0;
  int throttles = 0;

  set_up (1, 0);
  adopt ("w0", task ("a", 0, 9000, 1000, 5), 0);
  adopt ("w0", task ("b", 0, 9000, 1000, 7), 0);
  /* The load is too high at any share. */
  for (;;)
    {
      now += 3 * SEC;
      report ("w0", ++seq, now, 16000, 2000, true, now);
      CU_ASSERT_EQUAL_FATAL (
          kq_place_relieve_workers (place, now, actions, 16), 1);
      CU_ASSERT_EQUAL (kq_place_relieve_workers (place, now, actions + 1, 15),
                       0);
      if (actions[0].action != KQ_TASK_THROTTLE)
        break;
      throttles++;
      CU_ASSERT_STRING_EQUAL (actions[0].task.job.text,
                              throttles <= 2 ? "a" : "b");
    }
  CU_ASSERT_EQUAL (throttles, 4);
  CU_ASSERT_EQUAL (actions[0].action, KQ_TASK_CHECKPOINT);
  CU_ASSERT_STRING_EQUAL (actions[0].task.job.text, "a");
  /* The checkpoint is never completed. */
  CU_ASSERT_EQUAL (
      kq_place_relieve_workers (place, now + 9 * SEC, actions, 16), 0);
  CU_ASSERT_EQUAL (
      kq_place_relieve_workers (place, now + 11 * SEC, actions, 16), 1);
  CU_ASSERT_EQUAL (actions[0].action, KQ_TASK_STOP);
  CU_ASSERT_STRING_EQUAL (actions[0].worker.text, w0.text);
}

/* When too much memory is in use, the least important task is evicted; among
   equals, the one that loses least work, weighted by its earlier evictions. */
static void
test_choice_of_evicted_task (void)
{
  static const struct
  {
    int importance;
    kq_usec saved_at;
    int eviction_count;
  } cases[][2] = { { { 5, 90 * SEC, 0 }, { 4, 0, 0 } },
                   { { 5, 0, 0 }, { 5, 90 * SEC, 0 } },
                   { { 5, 80 * SEC, 9 }, { 5, 60 * SEC, 0 } } };

  for (size_t i = 0; i < sizeof (cases) / sizeof (cases[0]); i++)
    {
      set_up (1, 0);
      for (int t = 0; t < 2; t++)
        {
          struct kq_name w0 = name ("w0");
          struct kq_place_task spec
              = task ("j", t, 1000, 30000, cases[i][t].importance);

          spec.eviction_count = cases[i][t].eviction_count;
          adopt ("w0", spec, SEC);
          running[0][t].checkpoint = cases[i][t].saved_at;
          kq_place_sync_tasks (place, &w0, running[0], (size_t)t + 1,
                               cases[i][t].saved_at);
        }
      report ("w0", 1, 100 * SEC, 2000, 59900, false, 100 * SEC);
      CU_ASSERT_EQUAL (
          kq_place_relieve_workers (place, 100 * SEC, actions, 16), 1);
      CU_ASSERT_EQUAL (actions[0].action, KQ_TASK_CHECKPOINT);
      CU_ASSERT_EQUAL (actions[0].task.index, 1);
    }
}

/* Capacity for an important task is freed at once by throttling, or by an
   eviction when memory is short.  It stays reserved for that task.  */
static void
test_preemption (void)
{
  struct kq_place_task urgent = task ("u", 0, 4000, 1000, 9);
  struct kq_place_task large = task ("l", 0, 1000, 30000, 9);
  struct kq_place_task similar = task ("m", 0, 1000, 20000, 5);
  struct kq_name w0 = name ("w0");

  set_up (1, 0);
  adopt ("w0", task ("j", 0, 8000, 20000, 5), SEC);
  CU_ASSERT_EQUAL (choose (urgent, SEC), KQ_EWORKER_FULL);
  CU_ASSERT_EQUAL (
      kq_place_preempt (place, &urgent, SEC, NULL, NULL, actions, 16), 1);
  CU_ASSERT_EQUAL (actions[0].action, KQ_TASK_THROTTLE);
  CU_ASSERT_EQUAL (choose (urgent, SEC), 0);

  set_up (1, 0);
  adopt ("w0", task ("j", 0, 1000, 40000, 9), SEC);
  CU_ASSERT_EQUAL (
      kq_place_preempt (place, &large, SEC, NULL, NULL, actions, 16), 0);
  set_up (1, 0);
  adopt ("w0", task ("j", 0, 1000, 40000, 5), SEC);
  CU_ASSERT (kq_place_preempt (place, &large, SEC, NULL, NULL, actions, 16)
             > 0);
  CU_ASSERT_EQUAL (
      kq_place_preempt (place, &large, SEC, NULL, NULL, actions, 16), 0);
  kq_place_end_task (place, &w0, &(struct kq_task_id){ { "j" }, 0 }, 2 * SEC);
  CU_ASSERT_EQUAL (choose (similar, 2 * SEC), KQ_EWORKER_FULL);
  CU_ASSERT_EQUAL (choose (large, 2 * SEC), 0);
  CU_ASSERT_EQUAL (choose (similar, 30 * SEC), 0);
}

/* When a class is reported to slow services down, their worker gets no second
   task of it; a task of a class without that effect is placed there.  */
static void
test_colocation (void)
{
  static const struct
  {
    int slow_milli;
    int err;
  } cases[] = { { 1200, KQ_EWORKER_FULL }, { 1005, 0 } };

  for (size_t i = 0; i < sizeof (cases) / sizeof (cases[0]); i++)
    {
      struct kq_name w0 = name ("w0");

      set_up (1, 8);
      adopt ("w0", task ("j", 0, 2000, 2000, 5), 0);
      for (int s = 1; s < 30; s++)
        {
          struct kq_place_usage usage = { .seq = s,
                                          .at = s * SEC,
                                          .used = { 3500, 4000, 0 },
                                          .busy_slots = 3,
                                          .slow_milli = cases[i].slow_milli };

          kq_place_apply_report (place, &w0, &usage, s * SEC);
        }
      CU_ASSERT_EQUAL (choose (task ("j", 1, 2000, 2000, 5), 30 * SEC),
                       cases[i].err);
    }
}

/* The guard of a worker counts the sizes that tasks were started with, even
   when they are known to use far less.  Further tasks of their job are then
   started with a smaller size.  */
static void
test_guard (void)
{
  struct kq_place_task spec = task ("j", 0, 8000, 8000, 5);

  set_up (1, 0);
  adopt ("w0", spec, SEC);
  spec.id.index = 1;
  adopt ("w0", spec, SEC);
  report_repeatedly (1000, 1000, 2 * SEC);
  CU_ASSERT_EQUAL (choose (task ("k", 0, 500, 500, 5), 30 * SEC),
                   KQ_EWORKER_FULL);
  CU_ASSERT (kq_place_granted_size (place, &spec).cpu_milli < 1500);
  spec = task ("k", 0, 500, 500, 5);
  CU_ASSERT (kq_place_granted_size (place, &spec).cpu_milli <= 500);
}

/* Tasks that are missing in a worker's table are removed.  The share listed in
   the table applies, unless the share was changed shortly before.  */
static void
test_sync (void)
{
  struct kq_name w0 = name ("w0");
  struct kq_place_task large = task ("l", 0, 9000, 1000, 5);

  set_up (1, 0);
  adopt ("w0", task ("j", 0, 8000, 1000, 5), SEC);
  CU_ASSERT_EQUAL (choose (large, 2 * SEC), KQ_EWORKER_FULL);
  running[0][0].share_milli = 250;
  kq_place_sync_tasks (place, &w0, running[0], 1, 10 * SEC);
  CU_ASSERT_EQUAL (choose (task ("l", 0, 3000, 1000, 5), 10 * SEC), 0);
  running[0][0].share_milli = 1000;
  kq_place_sync_tasks (place, &w0, running[0], 1, 11 * SEC);
  CU_ASSERT_EQUAL (choose (task ("l", 0, 3000, 1000, 5), 11 * SEC), 0);
  kq_place_sync_tasks (place, &w0, running[0], 1, 13 * SEC);
  CU_ASSERT_EQUAL (choose (task ("l", 0, 3000, 1000, 5), 13 * SEC),
                   KQ_EWORKER_FULL);
  kq_place_sync_tasks (place, &w0, running[0], 0, 14 * SEC);
  CU_ASSERT_EQUAL (choose (large, 14 * SEC), 0);
  CU_ASSERT_EQUAL (
      kq_place_sync_tasks (place, &(struct kq_name){ "w9" }, NULL, 0, SEC),
      KQ_ENOENT);
}

static sigjmp_buf aborted;

static void
on_abort (int signal)
{
  siglongjmp (aborted, signal);
}

/* A start beyond the limits aborts the process. */
static void
test_limits_are_asserted (void)
{
  struct kq_place_task spec = task ("j", 0, 12000, 1000, 5);
  struct kq_name w0 = name ("w0");
  void (*before) (int) = signal (SIGABRT, on_abort);
  int caught;

  set_up (1, 0);
  adopt ("w0", task ("a", 0, 8000, 1000, 5), 0);
  caught = sigsetjmp (aborted, 1);
  if (caught == 0)
    kq_place_add_task (place, &w0, &spec, 0);
  signal (SIGABRT, before);
  CU_ASSERT_EQUAL (caught, SIGABRT);
}

/* Runs of a fake cluster.  The same seed must give the same run.  Also with
   usage reported 10 s late, the p99 latency of services next to batch tasks
   stays within 1.2 times that of services alone, evictions per finished task
   stay within a third of first fit's, and a worker's task whose share was
   raised is throttled again at most once in five minutes.  */
static void
test_cluster_runs (void)
{
  struct cluster_setup setup = { .workers = 30,
                                 .per_rack = 10,
                                 .capacity = { 16000, 61440, 0 },
                                 .slot_cores = 0.5,
                                 .batch_load = 0.55,
                                 .weights = { 60, 20, 20 },
                                 .services = true,
                                 .seconds = 400 };
  struct cluster_result alone;
  struct cluster_result baseline;
  struct cluster_result placed;
  struct cluster_result repeated;

  cluster_run (&setup, &alone);
  setup.batch = true;
  for (setup.seed = 1; setup.seed <= 3; setup.seed++)
    for (setup.lag_sec = 1; setup.lag_sec <= 10; setup.lag_sec += 9)
      {
        setup.policy = CLUSTER_FIRST_FIT;
        cluster_run (&setup, &baseline);
        setup.policy = CLUSTER_PLACE;
        cluster_run (&setup, &placed);
        cluster_run (&setup, &repeated);
        CU_ASSERT_EQUAL (placed.work, repeated.work);
        CU_ASSERT_EQUAL (placed.p99, repeated.p99);
        CU_ASSERT_EQUAL (placed.throttles, repeated.throttles);
        CU_ASSERT (placed.p99 <= 1.2 * alone.p99);
        CU_ASSERT (3 * placed.evictions * baseline.finished
                   <= baseline.evictions * placed.finished);
        CU_ASSERT (placed.rethrottles <= setup.workers * setup.seconds / 300);
      }
  kq_place_destroy (place);
  place = NULL;
}

static const struct kq_test tests[]
    = { { "a report counts once", test_report_once },
        { "sizes are learned", test_sizes_learned },
        { "a late report covers the past", test_late_report },
        { "limits", test_limits },
        { "a new job is measured first", test_probe },
        { "a rack's limit is lowered once", test_rack_lowered_once },
        { "shares converge on late usage", test_shares_converge },
        { "memory not measured yet", test_unmeasured_memory },
        { "throttle, evict, stop", test_order_of_actions },
        { "choice of the evicted task", test_choice_of_evicted_task },
        { "capacity for important tasks", test_preemption },
        { "colocation with services", test_colocation },
        { "guard", test_guard },
        { "sync with a worker's table", test_sync },
        { "assertion", test_limits_are_asserted },
        { "runs", test_cluster_runs } };

KQ_TEST_MAIN ("place", tests)

/* Tests of placement. */

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
static struct kq_name picked;
static struct kq_place_running running[2][8];
static int running_count[2];

static struct kq_name
name (const char *text)
{
  struct kq_name made;

  kq_name_set (&made, text);
  return made;
}

static struct kq_place_task
task (const char *job, int index, int cpu, int memory, int importance)
{
  struct kq_place_task made = { .importance = importance };

  made.id.job = name (job);
  made.id.index = index;
  made.team = name ("team");
  made.size = (struct kq_size){ cpu, memory, 0 };
  return made;
}

/* COUNT workers of 16 cores and 60 GB in one rack. */
static void
set_up (int count, int slots)
{
  struct kq_size capacity = { 16000, 60000, 2 };
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
pick (struct kq_place_task what, kq_usec now)
{
  return kq_place_choose (place, &what, now, NULL, NULL, &picked);
}

/* Adds WHAT to the tasks that run on w0 or w1, whatever the limits are. */
static void
adopt (const char *worker, struct kq_place_task what, kq_usec now)
{
  struct kq_name on = name (worker);
  int w = worker[1] - '0';
  struct kq_place_running *own = &running[w][running_count[w]++];

  own->task = what;
  own->granted = what.size;
  own->share_milli = 1000;
  CU_ASSERT_EQUAL (
      kq_place_sync (place, &on, running[w], (size_t)running_count[w], now),
      0);
}

static int
report (const char *worker, int64_t seq, kq_usec at, int cpu, int memory,
        bool throttled, kq_usec now)
{
  struct kq_name of = name (worker);
  struct kq_place_usage usage = {
    .seq = seq, .at = at, .used = { cpu, memory, 0 }, .throttled = throttled
  };

  return kq_place_report (place, &of, &usage, now);
}

/* Lets the job on w0 be seen until its estimate has settled. */
static void
see (int cpu, int memory, kq_usec from)
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
  struct kq_place_task what = task ("j", 0, 1000, 1000, 5);
  struct kq_size once;
  struct kq_size twice;

  set_up (1, 0);
  adopt ("w0", what, 0);
  CU_ASSERT_EQUAL (report ("w0", 5, SEC, 4000, 4000, false, SEC), 0);
  once = kq_place_size (place, &what);
  CU_ASSERT_EQUAL (report ("w0", 5, SEC, 4000, 4000, false, 2 * SEC),
                   KQ_EEXIST);
  CU_ASSERT_EQUAL (report ("w0", 4, 0, 9000, 9000, false, 2 * SEC), KQ_EEXIST);
  CU_ASSERT_EQUAL (report ("w9", 6, SEC, 1, 1, false, 2 * SEC), KQ_ENOENT);
  twice = kq_place_size (place, &what);
  CU_ASSERT_EQUAL (memcmp (&once, &twice, sizeof (once)), 0);
}

static void
test_sizes_learned (void)
{
  static const struct
  {
    int used;
    int least;
    int most;
  } cases[] = { { 4000, 3800, 4400 }, { 250, 200, 500 }, { 1000, 950, 1300 } };

  for (size_t i = 0; i < sizeof (cases) / sizeof (cases[0]); i++)
    {
      struct kq_place_task what = task ("j", 0, 1000, 1000, 5);
      struct kq_place_task other = task ("k", 0, 1000, 1000, 5);
      struct kq_size size;

      set_up (1, 0);
      adopt ("w0", what, 0);
      see (cases[i].used, cases[i].used, SEC);
      size = kq_place_size (place, &what);
      CU_ASSERT (size.cpu_milli >= cases[i].least
                 && size.cpu_milli <= cases[i].most);
      CU_ASSERT (size.memory_mb >= cases[i].least
                 && size.memory_mb <= cases[i].most * 2);
      /* A new job of the team is taken with restraint. */
      size = kq_place_size (place, &other);
      CU_ASSERT (size.cpu_milli >= 750 && size.cpu_milli <= 1500);
    }
}

/* What started after a report was taken is not in it. */
static void
test_late_report (void)
{
  struct kq_place_task late = task ("late", 0, 1000, 1000, 5);
  struct kq_size before;
  struct kq_size after;

  set_up (1, 0);
  adopt ("w0", task ("early", 0, 1000, 1000, 5), 0);
  adopt ("w0", late, 12 * SEC);
  before = kq_place_size (place, &late);
  for (int i = 0; i < 3; i++)
    report ("w0", i, (5 + i) * SEC, 200, 200, false, (15 + i) * SEC);
  after = kq_place_size (place, &late);
  CU_ASSERT_EQUAL (memcmp (&before, &after, sizeof (before)), 0);
  /* What ended since is still in it. */
  kq_place_end (place, &(struct kq_name){ "w0" }, &late.id, 20 * SEC);
  CU_ASSERT_EQUAL (report ("w0", 3, 13 * SEC, 9000, 9000, false, 25 * SEC), 0);
  CU_ASSERT_EQUAL (report ("w0", 4, 15 * SEC, 9000, 9000, false, 25 * SEC), 0);
  after = kq_place_size (place, &late);
  CU_ASSERT (after.cpu_milli > before.cpu_milli);
}

static void
test_limits (void)
{
  struct kq_name team = name ("team");
  struct kq_size quota = { 3000, INT32_MAX, INT32_MAX };

  set_up (2, 0);
  CU_ASSERT_EQUAL (pick (task ("j", 0, 16001, 1, 5), 0), KQ_EJOB_NEVER_FITS);
  CU_ASSERT_EQUAL (pick (task ("j", 0, 1, 60001, 5), 0), KQ_EJOB_NEVER_FITS);
  CU_ASSERT_EQUAL (pick (task ("j", 0, 1000, 1000, 5), 0), 0);
  /* Beside other work, corrected sizes must leave a margin. */
  adopt ("w0", task ("a", 0, 1000, 1000, 5), 0);
  adopt ("w1", task ("a", 1, 1000, 1000, 5), 0);
  CU_ASSERT_EQUAL (pick (task ("j", 0, 13000, 1000, 5), 0), KQ_EWORKER_FULL);
  CU_ASSERT_EQUAL (pick (task ("j", 0, 1000, 59000, 5), 0), KQ_EWORKER_FULL);
  kq_place_set_quota (place, &team, &quota);
  CU_ASSERT_EQUAL (pick (task ("j", 0, 1000, 1000, 5), 0), 0);
  CU_ASSERT_EQUAL (pick (task ("j", 0, 1001, 1000, 5), 0), KQ_EJOB_QUOTA);
}

static void
test_probe (void)
{
  set_up (10, 0);
  for (int i = 0; i < 4; i++)
    {
      CU_ASSERT_EQUAL (pick (task ("j", i, 100, 100, 5), SEC), 0);
      adopt ("w0", task ("j", i, 100, 100, 5), SEC);
    }
  CU_ASSERT_EQUAL (pick (task ("j", 4, 100, 100, 5), SEC), KQ_EPLACE_PROBE);
  CU_ASSERT_EQUAL (pick (task ("j", 4, 100, 100, 9), SEC), 0);
  /* Where usage is never reported nothing waits for it. */
  CU_ASSERT_EQUAL (pick (task ("j", 4, 100, 100, 5), 20 * SEC),
                   KQ_EPLACE_PROBE);
  CU_ASSERT_EQUAL (pick (task ("j", 4, 100, 100, 5), 40 * SEC), 0);
  see (400, 400, 41 * SEC);
  CU_ASSERT_EQUAL (pick (task ("j", 4, 100, 100, 5), 70 * SEC), 0);
}

/* All workers of a rack report the same throttling, late and again: the
   limit falls once for each time that something could have changed. */
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

/* One worker, usage 10 s late, demand above the rack's budget: shares settle
   instead of swinging between too much and too little. */
static void
test_late_usage_settles (void)
{
  double share[4] = { 1, 1, 1, 1 };
  double demand[700] = { 0 };
  int turns = 0;
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
      count = kq_place_relieve (place, now * SEC, actions, 16);
      for (int i = 0; i < count; i++)
        {
          double wanted = actions[i].share_milli / 1000.0;
          int index = actions[i].task.index;
          int turn = wanted < share[index] ? -1 : 1;

          evictions += actions[i].action != KQ_TASK_THROTTLE;
          turns += last == -turn;
          last = turn;
          share[index] = wanted;
        }
    }
  CU_ASSERT_EQUAL (evictions, 0);
  CU_ASSERT (turns <= 2);
  CU_ASSERT (demand[699] > 6000 && demand[699] <= 9500);
}

/* Nothing is evicted on the mere declaration of a task that started after
   the report; once seen, it counts at its learned size. */
static void
test_memory_not_yet_seen (void)
{
  struct kq_place_task seen = task ("seen", 0, 1000, 10000, 5);

  set_up (1, 0);
  adopt ("w0", seen, SEC);
  adopt ("w0", task ("large", 0, 1000, 30000, 5), 30 * SEC);
  see (1000, 40000, 2 * SEC);
  CU_ASSERT_EQUAL (kq_place_relieve (place, 31 * SEC, actions, 16), 0);
  seen.id.index = 1;
  adopt ("w0", seen, 33 * SEC);
  report ("w0", 99, 32 * SEC, 2000, 50000, false, 34 * SEC);
  CU_ASSERT_EQUAL (kq_place_relieve (place, 34 * SEC, actions, 16), 1);
  CU_ASSERT_EQUAL (actions[0].action, KQ_TASK_CHECKPOINT);
}

/* Slow down first, then checkpoint and evict, then stop. */
static void
test_order_of_relief (void)
{
  struct kq_name w0 = name ("w0");
  kq_usec now = 0;
  int seq = 0;
  int throttles = 0;

  set_up (1, 0);
  adopt ("w0", task ("a", 0, 9000, 1000, 5), 0);
  adopt ("w0", task ("b", 0, 9000, 1000, 7), 0);
  /* Far too much whatever the share is. */
  for (;;)
    {
      now += 3 * SEC;
      report ("w0", ++seq, now, 16000, 2000, true, now);
      CU_ASSERT_EQUAL_FATAL (kq_place_relieve (place, now, actions, 16), 1);
      CU_ASSERT_EQUAL (kq_place_relieve (place, now, actions + 1, 15), 0);
      if (actions[0].action != KQ_TASK_THROTTLE)
        break;
      throttles++;
      CU_ASSERT_STRING_EQUAL (actions[0].task.job.text,
                              throttles <= 2 ? "a" : "b");
    }
  CU_ASSERT_EQUAL (throttles, 4);
  CU_ASSERT_EQUAL (actions[0].action, KQ_TASK_CHECKPOINT);
  CU_ASSERT_STRING_EQUAL (actions[0].task.job.text, "a");
  /* The checkpoint is never answered. */
  CU_ASSERT_EQUAL (kq_place_relieve (place, now + 9 * SEC, actions, 16), 0);
  CU_ASSERT_EQUAL (kq_place_relieve (place, now + 11 * SEC, actions, 16), 1);
  CU_ASSERT_EQUAL (actions[0].action, KQ_TASK_STOP);
  CU_ASSERT_STRING_EQUAL (actions[0].worker.text, w0.text);
}

/* With too much memory in use, the victim is the least important task, then
   the one that loses least work, a task moved before counting more. */
static void
test_victim (void)
{
  static const struct
  {
    int importance;
    kq_usec saved_at;
    int moved;
  } cases[][2] = { { { 5, 90 * SEC, 0 }, { 4, 0, 0 } },
                   { { 5, 0, 0 }, { 5, 90 * SEC, 0 } },
                   { { 5, 80 * SEC, 9 }, { 5, 60 * SEC, 0 } } };

  for (size_t i = 0; i < sizeof (cases) / sizeof (cases[0]); i++)
    {
      set_up (1, 0);
      for (int t = 0; t < 2; t++)
        {
          struct kq_name w0 = name ("w0");
          struct kq_place_task what
              = task ("j", t, 1000, 30000, cases[i][t].importance);

          what.moved = cases[i][t].moved;
          adopt ("w0", what, SEC);
          running[0][t].checkpoint = cases[i][t].saved_at;
          kq_place_sync (place, &w0, running[0], (size_t)t + 1,
                         cases[i][t].saved_at);
        }
      report ("w0", 1, 100 * SEC, 2000, 59900, false, 100 * SEC);
      CU_ASSERT_EQUAL (kq_place_relieve (place, 100 * SEC, actions, 16), 1);
      CU_ASSERT_EQUAL (actions[0].action, KQ_TASK_CHECKPOINT);
      CU_ASSERT_EQUAL (actions[0].task.index, 1);
    }
}

/* An important task gets room by a slow-down at once, or by an eviction
   when memory is what lacks; the room is kept for it. */
static void
test_room (void)
{
  struct kq_place_task urgent = task ("u", 0, 4000, 1000, 9);
  struct kq_place_task large = task ("l", 0, 1000, 30000, 9);
  struct kq_place_task like = task ("m", 0, 1000, 20000, 5);
  struct kq_name w0 = name ("w0");

  set_up (1, 0);
  adopt ("w0", task ("j", 0, 8000, 20000, 5), SEC);
  CU_ASSERT_EQUAL (pick (urgent, SEC), KQ_EWORKER_FULL);
  CU_ASSERT_EQUAL (
      kq_place_make_room (place, &urgent, SEC, NULL, NULL, actions, 16), 1);
  CU_ASSERT_EQUAL (actions[0].action, KQ_TASK_THROTTLE);
  CU_ASSERT_EQUAL (pick (urgent, SEC), 0);

  set_up (1, 0);
  adopt ("w0", task ("j", 0, 1000, 40000, 9), SEC);
  CU_ASSERT_EQUAL (
      kq_place_make_room (place, &large, SEC, NULL, NULL, actions, 16), 0);
  set_up (1, 0);
  adopt ("w0", task ("j", 0, 1000, 40000, 5), SEC);
  CU_ASSERT (kq_place_make_room (place, &large, SEC, NULL, NULL, actions, 16)
             > 0);
  CU_ASSERT_EQUAL (
      kq_place_make_room (place, &large, SEC, NULL, NULL, actions, 16), 0);
  kq_place_end (place, &w0, &(struct kq_task_id){ { "j" }, 0 }, 2 * SEC);
  CU_ASSERT_EQUAL (pick (like, 2 * SEC), KQ_EWORKER_FULL);
  CU_ASSERT_EQUAL (pick (large, 2 * SEC), 0);
  CU_ASSERT_EQUAL (pick (like, 30 * SEC), 0);
}

/* A class that is seen to slow services down gets no second place beside
   them, while a quiet one does. */
static void
test_pairs (void)
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

          kq_place_report (place, &w0, &usage, s * SEC);
        }
      CU_ASSERT_EQUAL (pick (task ("j", 1, 2000, 2000, 5), 30 * SEC),
                       cases[i].err);
    }
}

/* The guard of a worker counts what tasks were started with, though they are
   known to use far less; a task of theirs is then started with less. */
static void
test_guard (void)
{
  struct kq_place_task what = task ("j", 0, 8000, 8000, 5);

  set_up (1, 0);
  adopt ("w0", what, SEC);
  what.id.index = 1;
  adopt ("w0", what, SEC);
  see (1000, 1000, 2 * SEC);
  CU_ASSERT_EQUAL (pick (task ("k", 0, 500, 500, 5), 30 * SEC),
                   KQ_EWORKER_FULL);
  CU_ASSERT (kq_place_grant (place, &what).cpu_milli < 1500);
  what = task ("k", 0, 500, 500, 5);
  CU_ASSERT (kq_place_grant (place, &what).cpu_milli <= 500);
}

/* A worker's table takes tasks away, and the share that it states holds,
   unless another was asked for after the table was made. */
static void
test_sync (void)
{
  struct kq_name w0 = name ("w0");
  struct kq_place_task large = task ("l", 0, 9000, 1000, 5);

  set_up (1, 0);
  adopt ("w0", task ("j", 0, 8000, 1000, 5), SEC);
  CU_ASSERT_EQUAL (pick (large, 2 * SEC), KQ_EWORKER_FULL);
  running[0][0].share_milli = 250;
  kq_place_sync (place, &w0, running[0], 1, 10 * SEC);
  CU_ASSERT_EQUAL (pick (task ("l", 0, 3000, 1000, 5), 10 * SEC), 0);
  running[0][0].share_milli = 1000;
  kq_place_sync (place, &w0, running[0], 1, 11 * SEC);
  CU_ASSERT_EQUAL (pick (task ("l", 0, 3000, 1000, 5), 11 * SEC), 0);
  kq_place_sync (place, &w0, running[0], 1, 13 * SEC);
  CU_ASSERT_EQUAL (pick (task ("l", 0, 3000, 1000, 5), 13 * SEC),
                   KQ_EWORKER_FULL);
  kq_place_sync (place, &w0, running[0], 0, 14 * SEC);
  CU_ASSERT_EQUAL (pick (large, 14 * SEC), 0);
  CU_ASSERT_EQUAL (
      kq_place_sync (place, &(struct kq_name){ "w9" }, NULL, 0, SEC),
      KQ_ENOENT);
}

static sigjmp_buf aborted;

static void
on_abort (int signal)
{
  siglongjmp (aborted, signal);
}

/* The invariant is asserted: a start beyond the limits ends the process. */
static void
test_assertion (void)
{
  struct kq_place_task what = task ("j", 0, 12000, 1000, 5);
  struct kq_name w0 = name ("w0");
  void (*before) (int) = signal (SIGABRT, on_abort);
  int caught;

  set_up (1, 0);
  adopt ("w0", task ("a", 0, 8000, 1000, 5), 0);
  caught = sigsetjmp (aborted, 1);
  if (caught == 0)
    kq_place_start (place, &w0, &what, 0);
  signal (SIGABRT, before);
  CU_ASSERT_EQUAL (caught, SIGABRT);
}

/* Whole runs: the same seed gives the same run.  With usage 10 s late too,
   services beside batch stay within 1.2 of services alone at p99, evictions
   within a third of first fit's, and a task of a worker that got speed back is
   slowed down again at most once in five minutes.  */
static void
test_runs (void)
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
  struct cluster_result first;
  struct cluster_result own;
  struct cluster_result again;

  cluster_run (&setup, &alone);
  setup.batch = true;
  for (setup.seed = 1; setup.seed <= 3; setup.seed++)
    for (setup.lag_sec = 1; setup.lag_sec <= 10; setup.lag_sec += 9)
      {
        setup.policy = CLUSTER_FIRST_FIT;
        cluster_run (&setup, &first);
        setup.policy = CLUSTER_PLACE;
        cluster_run (&setup, &own);
        cluster_run (&setup, &again);
        CU_ASSERT_EQUAL (own.work, again.work);
        CU_ASSERT_EQUAL (own.p99, again.p99);
        CU_ASSERT_EQUAL (own.throttles, again.throttles);
        CU_ASSERT (own.p99 <= 1.2 * alone.p99);
        CU_ASSERT (3 * own.evictions * first.finished
                   <= first.evictions * own.finished);
        CU_ASSERT (own.relapses <= setup.workers * setup.seconds / 300);
      }
  kq_place_destroy (place);
  place = NULL;
}

static const struct kq_test tests[]
    = { { "a report counts once", test_report_once },
        { "sizes are learned", test_sizes_learned },
        { "a late report shows the past", test_late_report },
        { "limits", test_limits },
        { "a new job is measured first", test_probe },
        { "a rack's limit falls once", test_rack_lowered_once },
        { "late usage settles", test_late_usage_settles },
        { "memory not yet seen", test_memory_not_yet_seen },
        { "throttle, evict, stop", test_order_of_relief },
        { "victim", test_victim },
        { "room for important work", test_room },
        { "pairs", test_pairs },
        { "guard", test_guard },
        { "sync", test_sync },
        { "assertion", test_assertion },
        { "runs", test_runs } };

KQ_TEST_MAIN ("place", tests)

/* Guards against a slow takeover and against tasks lost in it: an owner is
   killed, or paused until its leases have expired, while the log is up or
   down. Its workers must have another owner within 3 s of virtual time, and
   their tasks must continue.  */

#include <stdio.h>
#include <string.h>

#include "t/kqtest.h"
#include "t/lib-fake.h"

#define MAX_TAKEOVER_SEC 3.0 /* required upper limit */

static void
run_until (struct fake_world *world, double until)
{
  while (world->now < until && world->violations == 0)
    {
      struct fake_item *item = fake_run_next (world);

      fake_item_free (item);
    }
}

static bool
is_held_by (const struct fake_world *world, int host, int worker)
{
  const char *holder = world->workers[worker].holder.text;
  size_t length = strlen (world->hosts[host].name.text);

  return strncmp (holder, world->hosts[host].name.text, length) == 0
         && holder[length] == '/';
}

/* Returns the seconds until all workers in OWNED have an owner other than
   HOST; gives up after 10 s.  */
static double
time_until_leased (struct fake_world *world, int host, const bool *owned)
{
  double from = world->now;
  double last_unleased_at = from;

  while (world->now < from + 10)
    {
      bool all = true;

      run_until (world, world->now + 0.01);
      fake_workers_advance (world);
      for (int i = 0; i < FAKE_WORKERS; i++)
        if (owned[i]
            && (is_held_by (world, host, i)
                || world->workers[i].holder.text[0] == '\0'))
          all = false;
      if (all)
        break;
      last_unleased_at = world->now;
    }
  return last_unleased_at - from;
}

/* Submits a job.  All have the same importance: more important ones could
   preempt others.  */
static void
submit (struct fake_world *world, int number)
{
  struct kq_command submit = { .kind = KQ_CMD_SUBMIT };

  submit.job.tasks = 1 + number % 7;
  submit.job.importance = 5;
  submit.job.run_ms = 15000;
  submit.job.size = (struct kq_resources){ 500 + 100 * number, 1000, 0 };
  fake_command (world, fake_live_host (world), &submit);
}

static void
start_world (struct fake_world *world, uint64_t seed)
{
  fake_init (world, seed);
  world->log_retention_sec = 1000;
  world->workers_report_no_usage = true;
  world->no_preempting_jobs = true;
  run_until (world, 3);
  fake_configure (world, 0);
  run_until (world, 10);
  for (int i = 0; i < 20; i++)
    submit (world, i);
  run_until (world, 13);
}

static void
run_takeover (uint64_t seed, bool pause, bool log_down, double *longest)
{
  static struct fake_world world;
  bool owned[FAKE_WORKERS] = { false };
  int64_t evictions;
  int host = 0;
  int count = 0;
  double time;

  start_world (&world, seed);
  while (host < FAKE_HOSTS && count == 0)
    {
      for (int i = 0; i < FAKE_WORKERS; i++)
        count += owned[i] = is_held_by (&world, host, i);
      host += count == 0;
    }
  CU_ASSERT_TRUE_FATAL (count > 0);
  evictions = world.evictions;
  if (log_down)
    world.faults.log_down_until = world.now + 60;
  if (pause)
    world.hosts[host].paused_until = -20;
  else
    fake_kill_host (&world, host);
  time = time_until_leased (&world, host, owned);
  if (time > *longest)
    *longest = time;
  run_until (&world, world.now + 30);
  CU_ASSERT_TRUE (time <= MAX_TAKEOVER_SEC);
  CU_ASSERT_EQUAL (world.violations, 0);
  /* The running tasks continue under the new owner, also without the log. */
  CU_ASSERT_EQUAL (world.evictions, evictions);
  fake_free (&world);
}

static void
test_takeover (void)
{
  for (int pause = 0; pause < 2; pause++)
    for (int down = 0; down < 2; down++)
      {
        double longest = 0;

        for (uint64_t seed = 1; seed <= 10; seed++)
          run_takeover (seed, pause != 0, down != 0, &longest);
        printf ("owner %s, log %s: leased again within %.2f s\n",
                pause ? "paused" : "killed", down ? "down" : "up", longest);
      }
}

static const struct kq_test tests[] = { { "takeover", test_takeover } };

KQ_TEST_MAIN ("takeover", tests)

/* Two workers are lost for good.  Two lasting jobs had a task on each of them;
   one task of each job never runs again, though there is room. */
#include <stdio.h>
#include <string.h>

#include "review/world.h"

#define HOSTS 3
#define OTHERS 10
#define CPU INT64_C (4000)
#define MEM INT64_C (6400)
#define STUCK_S 3.0
#define CALM_S 7.0
#define SINCE_RUN_S 6.0

static const char config[]
    = "{\"version\":3,\"routes\":[{\"name\":\"r-veille\",\"host\":"
      "\"orders.example\",\"prefix\":\"/veille/\",\"kind\":\"mutating\","
      "\"timeout_ms\":3000,\"slo_ms\":2500,\"priority\":0,\"service\":"
      "\"comptoir\",\"attempts\":2,\"stretch\":2.2},{\"name\":\"r-fil\","
      "\"host\":\"orders.example\",\"prefix\":\"/fil/\",\"kind\":"
      "\"mutating\",\"timeout_ms\":3000,\"slo_ms\":1000,\"priority\":2,"
      "\"service\":\"comptoir\",\"attempts\":3,\"stretch\":2}],\"services\":"
      "[{\"name\":\"comptoir\",\"health_path\":\"/healthz\",\"max_conns\":64,"
      "\"proto\":\"h1\",\"tls\":false,\"enforces_capacity\":true,\"standby\":"
      "false}],\"limits\":{\"max_body_bytes\":262144}}";

/* The tasks that last, two of each job; each worker may run one of a job. */
static const char *const lasting[]
    = { "00000000000000a1.0.0.0", "00000000000000a1.0.0.1",
        "00000000000000a2.0.0.0", "00000000000000a2.0.0.1" };

static int
add_worker (void)
{
  int number = w_worker_count;

  return w_add_worker ("comptoir",
                       number % 2 == 0 ? "dakar-sandaga" : "dakar-pikine", "a",
                       number % 2 == 0 ? "r1-1" : "r1-2", 16000, 64000, true);
}

static void
submit (const char *path, const char *body)
{
  char answer[256];

  if (w_client (0, "POST", path, body, answer, sizeof answer) != 200)
    w_finish (W_CANNOT_RUN, "a job is not accepted");
}

static void
submit_lasting (const char *path)
{
  submit (path,
          "{\"spec\":\"ms 0 cpu 4000 mem 6400\",\"steps\":[{\"count\":2,"
          "\"cpu\":4000,\"mem_mb\":6400,\"est_ms\":500,\"long_running\":true,"
          "\"max_per_server\":1}]}");
}

static void
await_running (const char *prefix, int count)
{
  double until = w_now () + 10;
  int running = 0;

  while (w_now () < until && running != count)
    {
      w_sleep (0.05);
      w_lock ();
      running = w_count_running (prefix);
      w_unlock ();
    }
  if (running != count)
    w_finish (W_CANNOT_RUN, "the tasks of a job do not run");
}

/* Whether WORKER runs a task of the job of TASK. */
static bool
runs_job_of (int worker, const char *task)
{
  for (int i = 0; i < w_run_count; i++)
    if (w_runs[i].worker == worker && w_runs[i].ended_at == 0
        && strncmp (w_runs[i].task, task, 16) == 0)
      return true;
  return false;
}

/* Returns a worker that may run TASK and has room for it twice, or -1. */
static int
find_room (const char *task)
{
  for (int i = 0; i < w_worker_count; i++)
    {
      int64_t cpu;
      int64_t mem;

      if (!w_workers[i].up || runs_job_of (i, task))
        continue;
      w_used (i, &cpu, &mem);
      if (cpu + 2 * CPU <= w_workers[i].cpu
          && mem + 2 * MEM <= w_workers[i].mem)
        return i;
    }
  return -1;
}

/* Returns for how long TASK could have run and did not; SINCE is when that
   began, or 0. */
static double
idle_time (const char *task, double calm_since, double *since)
{
  int run = w_find_run (task);
  double now = w_now ();

  if (run < 0 || w_runs[run].ended_at == 0
      || now - w_runs[run].ended_at < SINCE_RUN_S || now < calm_since
      || find_room (task) < 0)
    {
      *since = 0;
      return 0;
    }
  if (*since == 0)
    {
      *since = now;
      w_note ("%s does not run, with room for it twice at worker %s", task,
              w_workers[find_room (task)].id);
    }
  return now - *since;
}

static void
observe (double seconds, double calm_since)
{
  double since[4] = { 0 };
  double until = w_now () + seconds;
  double longest = 0;

  while (w_now () < until)
    {
      w_sleep (0.1);
      w_lock ();
      for (int i = 0; i < 4; i++)
        {
          double idle = idle_time (lasting[i], calm_since, &since[i]);

          longest = idle > longest ? idle : longest;
        }
      w_unlock ();
    }
  w_note ("longest time for which a task could have run and did not: %.1f s",
          longest);
  if (longest >= STUCK_S)
    w_finish (W_BROKEN, "LOST: a task that lasts does not run for over 3 s, "
                        "with room for it twice over");
  w_finish (W_HELD, "all tasks that last run");
}

int
main (int argc, char **argv)
{
  int lost[2];
  double crashed_at;

  w_begin (argc > 1 ? argv[1] : "review/5");
  add_worker ();
  add_worker ();
  w_configure (config);
  for (int i = 0; i < HOSTS; i++)
    w_start_host (w_add_host ("dakar-sandaga"));
  for (int i = 0; i < HOSTS; i++)
    w_await_ready (i);
  w_sleep (4);
  /* Batch work fills the first two workers: 8 cores each that can be stopped
     with little loss, and 8 that cannot. */
  submit ("/fil/00000000000000f1",
          "{\"spec\":\"ms 60000 cpu 8000 mem 6400 saves 1\",\"steps\":[{"
          "\"count\":2,\"cpu\":8000,\"mem_mb\":6400,\"est_ms\":60000,"
          "\"checkpointable\":true}]}");
  await_running ("00000000000000f1", 2);
  submit ("/fil/00000000000000f2",
          "{\"spec\":\"ms 30000 cpu 8000 mem 6400\",\"steps\":[{\"count\":2,"
          "\"cpu\":8000,\"mem_mb\":6400,\"est_ms\":30000}]}");
  await_running ("00000000000000f2", 2);
  lost[0] = add_worker ();
  lost[1] = add_worker ();
  w_sleep (2);
  submit_lasting ("/veille/00000000000000a1");
  submit_lasting ("/veille/00000000000000a2");
  await_running ("00000000000000a", 4);
  for (int i = 0; i < OTHERS; i++)
    add_worker ();
  w_sleep (2);
  submit ("/veille/00000000000000b1",
          "{\"spec\":\"ms 0 cpu 16000 mem 6400\",\"steps\":[{\"count\":10,"
          "\"cpu\":16000,\"mem_mb\":6400,\"est_ms\":500,\"long_running\":true"
          "}]}");
  await_running ("00000000000000b1", OTHERS);
  w_sleep (3);
  if (w_trouble)
    for (int i = 0; i < 2; i++)
      w_crash_worker (lost[i]);
  crashed_at = w_now ();
  observe (60, crashed_at + CALM_S);
}

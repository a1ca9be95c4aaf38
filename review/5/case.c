/* Jobs wait for the only worker with their label, which is unhealthy; the
   owner is killed, and the queue is then said to be empty. */
#include <signal.h>
#include <stdio.h>
#include <string.h>

#include "review/standin/world.h"

#define HOSTS 3
#define WORKERS 14
#define JOBS 8
#define UNHEALTHY_S 6.5
#define VISIBLE_S 3.0
#define MORE_S 2.0
#define STABLE_S 3.0

static const char config[]
    = "{\"version\":3,\"routes\":[{\"name\":\"r-devis\",\"host\":"
      "\"orders.example\",\"prefix\":\"/devis/\",\"kind\":\"mutating\","
      "\"timeout_ms\":3000,\"slo_ms\":300,\"priority\":0,\"service\":"
      "\"comptoir\",\"attempts\":3,\"stretch\":1.5}],\"services\":[{\"name\":"
      "\"comptoir\",\"health_path\":\"/healthz\",\"max_conns\":64,\"proto\":"
      "\"h1\",\"tls\":false,\"enforces_capacity\":true,\"standby\":false}],"
      "\"limits\":{\"max_body_bytes\":262144}}";
static const char body[]
    = "{\"spec\":\"ms 640 cpu 1600 mem 3200\",\"steps\":[{\"count\":1,\"cpu\":"
      "1600,\"mem_mb\":3200,\"est_ms\":640,\"required_label\":\"b\"}]}";

static double accepted_at[JOBS];

static void
job_path (int job, char *path, size_t size)
{
  snprintf (path, size, "/devis/00000000000000%02x", job + 1);
}

/* Returns how many jobs were accepted long enough before SENT_AT and have not
   begun. */
static int
count_waiting (double sent_at)
{
  int count = 0;

  w_lock ();
  for (int i = 0; i < JOBS; i++)
    {
      char task[W_TASK_SIZE];

      snprintf (task, sizeof task, "00000000000000%02x.0.0.0", i + 1);
      count += accepted_at[i] > 0
               && sent_at - accepted_at[i] > VISIBLE_S + MORE_S
               && w_find_run (task) < 0;
    }
  w_unlock ();
  return count;
}

static void
start_all (void)
{
  for (int i = 0; i < WORKERS; i++)
    w_add_worker ("comptoir", "dakar-pikine", i == 0 ? "b" : "a", "r1-1",
                  16000, 64000, true);
  w_configure (config);
  for (int i = 0; i < HOSTS; i++)
    w_start_host (w_add_host ("dakar-pikine"));
  for (int i = 0; i < HOSTS; i++)
    w_await_ready (i);
  w_sleep (5);
}

static void
submit_jobs (void)
{
  for (int i = 0; i < JOBS; i++)
    {
      char path[64];
      char answer[256];

      job_path (i, path, sizeof path);
      if (w_client (0, "POST", path, body, answer, sizeof answer) != 200)
        w_finish (W_CANNOT_RUN, "a job is not accepted");
      accepted_at[i] = w_now ();
    }
}

/* Asks a host that was not disturbed how many jobs wait, until UNTIL; returns
   how often it said less than half. */
static int
ask (int host, double until)
{
  int wrong = 0;

  while (w_now () < until)
    {
      char answer[256];
      double sent_at = w_now ();
      int before = count_waiting (sent_at);
      int said = -1;
      int status
          = w_client (host, "GET", "/devis/", NULL, answer, sizeof answer);
      int after = count_waiting (sent_at);

      if (status == 200 && sscanf (answer, "{\"pending\":%d}", &said) == 1
          && after > 0)
        {
          w_note ("%d jobs are said to wait; %d have waited for over 5 s",
                  said, after);
          wrong += said * 2 < after && before == after;
        }
      w_sleep (0.2);
    }
  return wrong;
}

int
main (int argc, char **argv)
{
  double began_at;
  int owner;
  int wrong;

  w_begin (argc > 1 ? argv[1] : "review/5");
  start_all ();
  owner = w_owner ();
  if (owner < 0)
    w_finish (W_CANNOT_RUN, "no owner");
  w_note ("host %d is the owner", owner + 1);
  began_at = w_now ();
  w_set_busy (0, w_trouble);
  submit_jobs ();
  w_sleep (1.6);
  if (w_trouble)
    w_signal_host (owner, SIGKILL);
  w_sleep (0.5);
  if (w_trouble)
    w_start_host (owner);
  wrong = ask ((owner + 1) % HOSTS, began_at + UNHEALTHY_S);
  w_set_busy (0, false);
  w_note ("%d answers gave less than half of the jobs that waited", wrong);
  if (wrong > 0)
    w_finish (W_BROKEN, "MIXED: pending is under half of the jobs that have "
                        "not begun");
  w_finish (W_HELD, "no answer was wrong");
}

/* A job with a wide step is accepted; its record then grows beyond what the
   store takes. */
#include <stdio.h>
#include <string.h>

#include "review/world.h"

#define WORKERS 14
#define HOSTS 3
#define WIDE_TASKS 9000
#define NARROW_TASKS 300
#define OBSERVED_S 50

static const char config[]
    = "{\"version\":3,\"routes\":[{\"name\":\"r-fil\",\"host\":"
      "\"orders.example\",\"prefix\":\"/fil/\",\"kind\":\"mutating\","
      "\"timeout_ms\":3000,\"slo_ms\":1000,\"priority\":2,\"service\":"
      "\"comptoir\",\"attempts\":3,\"stretch\":2}],\"services\":[{\"name\":"
      "\"comptoir\",\"health_path\":\"/healthz\",\"max_conns\":64,\"proto\":"
      "\"h1\",\"tls\":false,\"enforces_capacity\":true,\"standby\":false}],"
      "\"limits\":{\"max_body_bytes\":262144}}";

static const char wide_path[] = "/fil/00000000000000b1";
static const char small_path[] = "/fil/00000000000000a1";
static const char small_body[]
    = "{\"spec\":\"ms 4000 cpu 1800 mem 100\",\"steps\":[{\"count\":2,\"cpu\":"
      "1800,\"mem_mb\":100,\"est_ms\":4000},{\"count\":2,\"cpu\":1800,"
      "\"mem_mb\":100,\"est_ms\":4000,\"after\":[0]}]}";

static bool
is_complete (const char *path)
{
  char answer[256];

  return w_client (1, "GET", path, NULL, answer, sizeof answer) == 200
         && strstr (answer, "complete") != NULL;
}

/* Sends one more small job; returns the status. */
static int
try_job (int number)
{
  char path[64];
  char answer[256];

  snprintf (path, sizeof path, "/fil/00000000000001%02x", number);
  return w_client (2, "POST", path, small_body, answer, sizeof answer);
}

static void
start_all (void)
{
  for (int i = 0; i < WORKERS; i++)
    w_add_worker ("comptoir", i % 2 == 0 ? "dakar-sandaga" : "dakar-pikine",
                  "a", i % 2 == 0 ? "r1-1" : "r1-2", 16000, 64000, true);
  w_configure (config);
  for (int i = 0; i < HOSTS; i++)
    w_start_host (w_add_host ("dakar-sandaga"));
  for (int i = 0; i < HOSTS; i++)
    w_await_ready (i);
  w_sleep (5);
}

int
main (int argc, char **argv)
{
  char answer[256];
  char body[512];
  int accepted_later = 0;
  int tries = 0;
  int wide_runs = 0;
  double until;
  bool small = false;
  bool wide = false;

  w_begin (argc > 1 ? argv[1] : "review/3");
  start_all ();
  /* The wide step follows one of a single task. */
  snprintf (
      body, sizeof body,
      "{\"spec\":\"ms 3000 cpu 20 mem 1\",\"steps\":[{\"count\":1,"
      "\"cpu\":20,\"mem_mb\":1,\"est_ms\":3000},{\"count\":%d,\"cpu\":20,"
      "\"mem_mb\":1,\"est_ms\":3000,\"after\":[0]}]}",
      w_trouble ? WIDE_TASKS : NARROW_TASKS);
  if (w_client (0, "POST", wide_path, body, answer, sizeof answer) != 200
      || w_client (0, "POST", small_path, small_body, answer, sizeof answer)
             != 200)
    w_finish (W_CANNOT_RUN, "the jobs are not accepted");
  until = w_now () + OBSERVED_S;
  while (w_now () < until && !(small && wide))
    {
      w_sleep (4);
      small = small || is_complete (small_path);
      wide = wide || is_complete (wide_path);
      accepted_later += try_job (tries++) == 200;
    }
  if (!(small && wide))
    w_client (0, "DELETE", wide_path, NULL, answer, sizeof answer);
  w_lock ();
  for (int i = 0; i < w_run_count; i++)
    wide_runs += strncmp (w_runs[i].task, "00000000000000b1.0.1.", 21) == 0;
  w_unlock ();
  w_note ("the wide step: %d starts; the small job: %s; %d of %d later jobs "
          "accepted; the store refused %d appends",
          wide_runs, small ? "complete" : "not complete", accepted_later,
          tries, w_refused_appends ());
  if (small && wide)
    w_finish (W_HELD, "both jobs are complete");
  if (!small && wide_runs == 0 && w_count_running ("0000000000000") == 0)
    w_finish (W_BROKEN, "LOST: accepted jobs have nothing running, and no job "
                        "is accepted any more");
  w_finish (W_CANNOT_RUN, "neither complete nor at a standstill");
}

/* A caller submits a job at an entry host that stands still, gets no answer
 * and cancels the job at another one, which acknowledges that with 410.  When
 * the first host wakes, the job runs from start to end. */
#include "../standin-2/standin.h"

#include <signal.h>
#include <stdio.h>
#include <string.h>

#define PREFIX "/jobs/"
#define JOB "70b1c4e8a35d9f26"

#define DEADLINE_MS 3000
#define CANCEL_S 3.0 /* cancel_ms */

static double cancelled_at; /* 0: not yet */
static int late_starts;

static void
note_start (struct worker *worker, struct run *run, const char *spec,
            const char *checkpointed)
{
  if (cancelled_at != 0 && now_s () > cancelled_at + CANCEL_S)
    {
      late_starts++;
      record ("that is %.1f s after the job's cancelling was acknowledged",
              now_s () - cancelled_at);
    }
}

static struct host *
other_host (const struct host *one, const struct host *two)
{
  for (int i = 0; i < host_count; i++)
    if (&hosts[i] != one && &hosts[i] != two)
      return &hosts[i];
  return NULL;
}

int
main (int argc, char **argv)
{
  json_t *routes = json_array ();
  struct host *owner;
  struct host *frozen;
  struct host *other;
  char state[32];
  int status;

  world_begin (argc, argv);
  json_array_append_new (routes, make_route ("r-jobs", PREFIX, 0, 3));
  put_config (routes, true);
  for (int i = 0; i < 8; i++)
    worker_add ("a", i < 4 ? "r1" : "r2", 16000, 32768);
  on_start = note_start;
  workers_start ();
  hosts_start (3, 0);
  if (!hosts_wait_ready (20))
    give_up ("the hosts are not ready");
  sleep_s (2);
  owner = owner_host ();
  if (owner == NULL)
    give_up ("no owner");
  frozen = other_host (owner, NULL);
  other = other_host (owner, frozen);
  record ("the owner is %s", owner->name);
  if (trouble ())
    host_signal (frozen, SIGSTOP);
  status = http_call (
      frozen->front, "POST", "site.example", PREFIX JOB,
      "{\"spec\":\"s0:ms=2000 cpu=1000 mem=256 s1:ms=2000 cpu=1000 mem=256 "
      "s2:ms=2000 cpu=1000 mem=256 \",\"steps\":[{\"count\":2,\"cpu\":1000,"
      "\"mem_mb\":256,\"est_ms\":2000},{\"count\":2,\"cpu\":1000,\"mem_mb\":"
      "256,\"est_ms\":2000,\"after\":[0]},{\"count\":2,\"cpu\":1000,\"mem_mb\""
      ":256,\"est_ms\":2000,\"after\":[1]}]}",
      DEADLINE_MS, NULL, 0);
  record ("client: POST %s at %s -> %d%s", PREFIX JOB, frozen->name, status,
          status == 0 ? " (no answer by the deadline)" : "");
  status = http_call (other->front, "DELETE", "site.example", PREFIX JOB, NULL,
                      DEADLINE_MS, NULL, 0);
  cancelled_at = now_s ();
  record ("client: DELETE %s at %s -> %d", PREFIX JOB, other->name, status);
  if (status != 200 && status != 410)
    give_up ("the cancel was not acknowledged");
  sleep_s (0.5);
  if (trouble ())
    host_signal (frozen, SIGCONT);
  sleep_s (12);
  query_state (PREFIX, JOB, state);
  finish (late_starts > 0,
          late_starts > 0
              ? "UNASKED: tasks were started later than cancel_ms after the "
                "job's cancelling was acknowledged"
              : "no task was started after the cancel");
}

/* A worker crashes under a task whose checkpoint has more than 63 bytes: the
 * task goes on with another string than the one that its worker returned. */
#include "../standin-2/standin.h"

#include <stdio.h>
#include <string.h>

#define PREFIX "/jobs/"
#define JOB "b2916f0d47c8e35a"

static char last[600]; /* checkpoint that the worker has listed last */
static int resumed;
static int wrong;

static void
note_end (struct worker *worker, const struct run *run, const char *how)
{
  if (run->saved[0] != '\0')
    snprintf (last, sizeof last, "%s", run->saved);
}

static void
note_start (struct worker *worker, struct run *run, const char *spec,
            const char *checkpointed)
{
  if (checkpointed[0] == '\0')
    return;
  resumed++;
  if (strcmp (checkpointed, last) == 0)
    return;
  wrong++;
  record ("the task's checkpoint was %s (%zu bytes)", last, strlen (last));
  record ("it is started with       %s (%zu bytes)", checkpointed,
          strlen (checkpointed));
}

int
main (int argc, char **argv)
{
  json_t *routes = json_array ();
  char state[32] = "";

  world_begin (argc, argv);
  json_array_append_new (routes, make_route ("r-jobs", PREFIX, 0, 3));
  put_config (routes, true);
  checkpoint_pad = 80;
  for (int i = 0; i < 8; i++)
    worker_add ("a", i < 4 ? "r1" : "r2", 16000, 32768);
  on_start = note_start;
  on_end = note_end;
  workers_start ();
  hosts_start (3, 0);
  if (!hosts_wait_ready (20))
    give_up ("the hosts are not ready");
  if (!submit (PREFIX, JOB,
               "{\"spec\":\"s0:ms=9000 cpu=1000 mem=256 \",\"steps\":[{"
               "\"count\":1,\"cpu\":1000,\"mem_mb\":256,\"est_ms\":9000,"
               "\"checkpointable\":true}]}",
               10))
    give_up ("the job was not accepted");
  sleep_s (5.5);
  for (int i = 0; i < worker_count && trouble (); i++)
    {
      pthread_mutex_lock (&world);
      if (workers[i].run_count > 0)
        worker_crash_locked (&workers[i]);
      pthread_mutex_unlock (&world);
    }
  for (double until = now_s () + 45; now_s () < until; sleep_s (1))
    {
      query_state (PREFIX, JOB, state);
      if (strcmp (state, "complete") == 0)
        break;
    }
  if (trouble () && resumed == 0)
    give_up ("the task did not resume");
  finish (wrong > 0, wrong > 0 ? "UNASKED: a task was started with a "
                                 "checkpoint that is not its own"
                               : "no start with another checkpoint");
}

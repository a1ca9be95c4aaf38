/* Stand-ins of the third review: the platform's store, one worker, and a
 * client's single call.  Each is a process of its own:
 *
 *   rv store  --ip A --port P --record F
 *   rv worker --ip A --port P --store A:P --id ID --record F [--service S]
 *             [--cpu N] [--first-beat-ms N] (its first entry in the store)
 *             [--mem N] [--clock-ms N] [--hold-max-ms N] [--stop-ms N]
 *             [--die-file F]
 *   rv call   METHOD ADDR:PORT HOST PATH TIMEOUT_MS [BODY]
 *   rv free   COUNT [ADDR...]   prints the first of COUNT free ports
 *   rv time                     milliseconds since 1970
 *
 * They follow PROTOCOL.md of the users' pages.  Store: topics, keyed topics,
 * conditions, producers with epoch and seq; an entry of keyed.servers is
 * removed after three heartbeats of silence.  Worker: fences, leases on its
 * own clock, runs, ended lists, pace; a task runs for the number of
 * milliseconds in "spec" ("lasting": until it is stopped).  What a worker does
 * goes to the record, a line an event:
 *
 *   MS worker ID LIFE begin|start|end|listed|noted|... TASK RUN HOW
 */
#include "rv.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

/* ---- commands ---- */

static int
run_call (void)
{
  static char reply[1 << 20];
  const char *body = argument_count > 7 ? arguments[7] : "";
  int status;

  if (argument_count < 7)
    return 2;
  status
      = call (arguments[2], arguments[3], arguments[4], arguments[5],
              atoi (arguments[6]), body, strlen (body), reply, sizeof reply);
  printf ("%03d %s\n", status, reply);
  return 0;
}

static int
run_free (void)
{
  int count = atoi (arguments[2]);

  srand ((unsigned)(clock_ms (CLOCK_REALTIME) ^ getpid ()));
  for (int try = 0; try < 200; try++)
    {
      int first = 20000 + rand () % 12000;
      bool all = true;

      for (int i = 0; all && i < count; i++)
        for (int a = 3; all && a <= argument_count; a++)
          {
            int fd = listen_at (
                a < argument_count ? arguments[a] : "127.0.0.1", first + i);

            all = fd >= 0;
            if (fd >= 0)
              close (fd);
          }
      if (all)
        {
          printf ("%d\n", first);
          return 0;
        }
    }
  return 2;
}

int
main (int argc, char **argv)
{
  argument_count = argc;
  arguments = argv;
  signal (SIGPIPE, SIG_IGN);
  if (argc < 2)
    return 2;
  if (strcmp (argv[1], "store") == 0)
    return run_store ();
  if (strcmp (argv[1], "worker") == 0)
    return run_worker ();
  if (strcmp (argv[1], "call") == 0)
    return run_call ();
  if (strcmp (argv[1], "free") == 0 && argc > 2)
    return run_free ();
  if (strcmp (argv[1], "time") == 0)
    {
      printf ("%lld\n", (long long)clock_ms (CLOCK_REALTIME));
      return 0;
    }
  return 2;
}

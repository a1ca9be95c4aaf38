#include "t/standin/si-twice.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <utlist.h>

struct twice_run
{
  char worker[24];
  int64_t number;
  int64_t fence;
  int64_t life;
  int64_t started_ms; /* time of day, as the logs of hosts have it */
  int64_t ended_ms;   /* 0: it goes on */
  int64_t noted_ms;   /* 0: the end does not count, or was not noted so far */
  const char *outcome;
  struct task *task;
  struct twice_run *next, *prev;
};

/* Two runs of a task of which the second one must not have started. */
struct twice_pair
{
  const char *text;
  const struct twice_run *first, *second;
  struct twice_pair *next, *prev;
};

static struct twice_pair *pairs;

static int64_t
time_of_day_ms (void)
{
  struct timespec ts;

  clock_gettime (CLOCK_REALTIME, &ts);
  return (int64_t)ts.tv_sec * 1000 + ts.tv_nsec / 1000000;
}

static void
add_pair (const char *text, const struct twice_run *first,
          const struct twice_run *second)
{
  struct twice_pair *pair = calloc (1, sizeof *pair);

  pair->text = text;
  pair->first = first;
  pair->second = second;
  DL_APPEND (pairs, pair);
}

struct twice_run *
si_twice_start (const struct worker *worker, const char *task, int64_t number,
                int64_t fence)
{
  struct twice_run *run = calloc (1, sizeof *run);
  const struct twice_run *earlier;

  run->task = si_find_task (task);
  snprintf (run->worker, sizeof run->worker, "%s", worker->id);
  run->number = number;
  run->fence = fence;
  run->life = worker->life;
  run->started_ms = time_of_day_ms ();
  run->outcome = "";
  DL_FOREACH (run->task->runs, earlier)
  {
    if (earlier->ended_ms == 0)
      add_pair ("two runs at once", earlier, run);
    else if (earlier->noted_ms != 0)
      add_pair ("a start after an end that was noted", earlier, run);
  }
  DL_APPEND (run->task->runs, run);
  return run;
}

void
si_twice_end (struct twice_run *run, const char *outcome)
{
  run->ended_ms = time_of_day_ms ();
  run->outcome = outcome;
}

void
si_twice_note (struct twice_run *run)
{
  const struct twice_run *later;

  if (run->noted_ms != 0)
    return;
  run->noted_ms = time_of_day_ms ();
  for (later = run->next; later != NULL; later = later->next)
    if (later->started_ms > run->ended_ms)
      add_pair ("a start after an end that was noted later", run, later);
}

static void
print_run (char *text, size_t size, const struct twice_run *run)
{
  snprintf (text, size,
            "run %lld at %s (life %lld, fence %lld) %lld to %lld %s, noted "
            "%lld",
            (long long)run->number, run->worker, (long long)run->life,
            (long long)run->fence, (long long)run->started_ms,
            (long long)run->ended_ms, run->outcome, (long long)run->noted_ms);
}

json_t *
si_twice_to_json (void)
{
  json_t *rows = json_array ();
  const struct twice_pair *pair;
  char first[256];
  char second[256];
  char text[640];

  DL_FOREACH (pairs, pair)
  {
    print_run (first, sizeof first, pair->first);
    print_run (second, sizeof second, pair->second);
    snprintf (text, sizeof text, "%s of %s: %s; %s", pair->text,
              pair->first->task->name, first, second);
    json_array_append_new (
        rows, json_pack ("{ss ss ss ss sI sI}", "text", text, "task",
                         pair->first->task->name, "worker",
                         pair->first->worker, "other", pair->second->worker,
                         "from_ms", (json_int_t)pair->first->started_ms,
                         "to_ms", (json_int_t)pair->second->started_ms));
  }
  return rows;
}

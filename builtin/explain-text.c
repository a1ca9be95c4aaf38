#include "builtin/explain-text.h"

#include <stdbool.h>
#include <stdio.h>

static const char *
text (const json_t *object, const char *field)
{
  const char *value = json_string_value (json_object_get (object, field));

  return value != NULL ? value : "";
}

static long long
number (const json_t *object, const char *field)
{
  return (long long)json_integer_value (json_object_get (object, field));
}

static bool
flag (const json_t *object, const char *field)
{
  return json_is_true (json_object_get (object, field));
}

static void
print_age (const char *what, long long age_ms)
{
  if (age_ms < 0)
    printf (", %s never", what);
  else
    printf (", %s %lld ms ago", what, age_ms);
}

static void
print_owner (const json_t *owner)
{
  const json_t *missing = json_object_get (owner, "missing");
  const json_t *condition;
  size_t i;

  printf ("owner      %s, term %lld", text (owner, "host"),
          number (owner, "term"));
  print_age ("confirmed", number (owner, "term_age_ms"));
  print_age ("registrations read", number (owner, "registrations_age_ms"));
  if (flag (owner, "has_evacuations"))
    print_age ("evacuations read", number (owner, "evacuations_age_ms"));
  putchar ('\n');
  if (flag (owner, "may_start"))
    puts ("starts     yes");
  else
    {
      fputs ("starts     nothing; not met:", stdout);
      json_array_foreach (missing, i, condition)
          printf ("%s %s", i > 0 ? "," : "", json_string_value (condition));
      putchar ('\n');
    }
  if (flag (owner, "store_away"))
    puts ("store      away: submissions are refused with 503");
}

static void
print_job (const json_t *job)
{
  if (flag (job, "known"))
    {
      printf ("job        %s, queue %s, %s; %lld tasks at workers, %lld for "
              "later steps\n",
              text (job, "job"), text (job, "queue"), text (job, "state"),
              number (job, "tasks_bound"), number (job, "tasks_waiting"));
      if (number (job, "worker_losses") > 0)
        printf ("losses     %lld workers under its tasks, %lld set aside as "
                "part of an outage; %lld tasks wait for its end\n",
                number (job, "worker_losses"),
                number (job, "worker_losses_set_aside"),
                number (job, "tasks_held"));
      return;
    }
  printf ("job        new, queue %s", text (job, "queue"));
  if (number (job, "starts_in_ms") > 0)
    printf (", first due in %lld ms", number (job, "starts_in_ms"));
  if (flag (job, "refused"))
    printf ("\nadmission  refused with 429, Retry-After from %lld s\n",
            number (job, "retry_after_s"));
  else
    puts ("\nadmission  accepted");
}

static void
print_ruled_out (const json_t *step)
{
  const json_t *counts = json_object_get (step, "ruled_out");
  const char *name;
  json_t *count;
  bool any = false;

  printf ("  workers  %lld suitable", number (step, "suitable"));
  json_object_foreach ((json_t *)counts, name, count)
  {
    if (json_integer_value (count) == 0)
      continue;
    printf ("%s %s %lld", any ? "," : "; ruled out:", name,
            (long long)json_integer_value (count));
    any = true;
  }
  putchar ('\n');
}

static void
print_candidates (const json_t *step)
{
  const json_t *candidates = json_object_get (step, "candidates");
  const json_t *candidate;
  size_t i;

  if (json_array_size (candidates) > 0)
    printf ("  %-20s %8s %10s %10s %9s %10s\n", "CANDIDATE", "SCORE",
            "FREE-CPU-M", "FREE-MB", "FREE-GPUS", "REPLY-MS");
  json_array_foreach (candidates, i, candidate) printf (
      "  %-20s %8lld %10lld %10lld %9lld %10lld%s%s\n",
      text (candidate, "worker"), number (candidate, "score"),
      number (candidate, "free_cpu"), number (candidate, "free_mem_mb"),
      number (candidate, "free_gpu"), number (candidate, "reply_age_ms"),
      flag (candidate, "near") ? " near" : "",
      flag (candidate, "cold") ? " cold" : "");
}

static void
print_step (const json_t *step)
{
  const json_t *first
      = json_array_get (json_object_get (step, "candidates"), 0);

  printf ("step %-5lld %lld task%s to place, %s; ", number (step, "step"),
          number (step, "tasks"), number (step, "tasks") == 1 ? "" : "s",
          text (step, "lateness"));
  if (flag (step, "starts"))
    printf ("the first goes to %s\n", text (first, "worker"));
  else
    printf ("held back: %s\n", text (step, "held_back"));
  if (text (step, "late_worker")[0] != '\0')
    printf ("  waits    for %s, which has not answered an earlier start: that "
            "may be carried out for %lld ms; %lld ms at most without word\n",
            text (step, "late_worker"), number (step, "late_ms"),
            number (step, "late_longest_ms"));
  if (text (step, "rack")[0] != '\0')
    printf ("  rack     %s", text (step, "rack"));
  if (number (step, "rack_wait_ms") > 0)
    printf (", expected wait %lld ms", number (step, "rack_wait_ms"));
  if (text (step, "rack")[0] != '\0')
    putchar ('\n');
  print_ruled_out (step);
  print_candidates (step);
}

void
kq_explain_print (const json_t *explanation)
{
  const json_t *steps = json_object_get (explanation, "steps");
  const json_t *step;
  size_t i;

  print_owner (json_object_get (explanation, "owner"));
  print_job (json_object_get (explanation, "job"));
  json_array_foreach (steps, i, step) print_step (step);
  if (json_array_size (steps) == 0)
    puts ("steps      none could start now");
  if (number (explanation, "more_steps") > 0)
    printf ("steps      %lld more could start\n",
            number (explanation, "more_steps"));
}

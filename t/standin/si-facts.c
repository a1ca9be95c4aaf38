#include "t/standin/si-facts.h"

#include <stdarg.h>
#include <stdio.h>

#define LIST_MAX 100

static json_t *seen; /* members "SET KEY" */
static json_t *counters;
static json_t *list;
static json_int_t violations;

bool
si_fact_new (const char *set, const char *key)
{
  char name[256];

  if (!seen)
    seen = json_object ();
  snprintf (name, sizeof name, "%s %s", set, key);
  if (json_object_get (seen, name))
    return false;
  json_object_set_new (seen, name, json_true ());
  si_fact_count (set);
  return true;
}

void
si_fact_count (const char *name)
{
  json_t *old;

  if (!counters)
    counters = json_object ();
  old = json_object_get (counters, name);
  if (old)
    json_integer_set (old, json_integer_value (old) + 1);
  else
    json_object_set_new (counters, name, json_integer (1));
}

void
si_violation (const char *what, const char *format, ...)
{
  char text[256];
  va_list arguments;

  va_start (arguments, format);
  vsnprintf (text, sizeof text, format, arguments);
  va_end (arguments);
  violations++;
  fprintf (stderr, "violation: %s: %s\n", what, text);
  if (!list)
    list = json_array ();
  if (json_array_size (list) < LIST_MAX)
    json_array_append_new (list,
                           json_pack ("{ss ss}", "what", what, "which", text));
}

json_t *
si_violations (void)
{
  return json_pack ("{sI so}", "violations", violations, "list",
                    list ? json_deep_copy (list) : json_array ());
}

json_t *
si_facts (void)
{
  return counters ? json_deep_copy (counters) : json_object ();
}

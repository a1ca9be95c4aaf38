#include "t/standin/si-facts.h"

#include <stdarg.h>
#include <stdio.h>

#define VIOLATION_LIST_MAX 100

static json_t *known_keys; /* has a member "SET KEY" for each key */
static json_t *counters;
static json_t *violation_list;
static json_int_t violation_count;

bool
si_fact_add (const char *set, const char *key)
{
  char name[256];

  if (!known_keys)
    known_keys = json_object ();
  snprintf (name, sizeof name, "%s %s", set, key);
  if (json_object_get (known_keys, name))
    return false;
  json_object_set_new (known_keys, name, json_true ());
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
si_record_violation (const char *what, const char *format, ...)
{
  char text[256];
  va_list arguments;

  va_start (arguments, format);
  vsnprintf (text, sizeof text, format, arguments);
  va_end (arguments);
  violation_count++;
  fprintf (stderr, "violation: %s: %s\n", what, text);
  if (!violation_list)
    violation_list = json_array ();
  if (json_array_size (violation_list) < VIOLATION_LIST_MAX)
    json_array_append_new (violation_list,
                           json_pack ("{ss ss}", "what", what, "which", text));
}

json_t *
si_violations (void)
{
  return json_pack ("{sI so}", "violations", violation_count, "list",
                    violation_list ? json_deep_copy (violation_list)
                                   : json_array ());
}

json_t *
si_facts (void)
{
  return counters ? json_deep_copy (counters) : json_object ();
}

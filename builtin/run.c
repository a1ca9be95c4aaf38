/* Checks, sends and prints one command. */

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include "base/err.h"
#include "builtin/builtin.h"
#include "builtin/client.h"
#include "builtin/output.h"

#define ERROR_TEXT_SIZE 1024
#define NSEC_PER_SEC 1000000000.0

static const char *
field (const json_t *answer, const char *name)
{
  const char *text = json_string_value (json_object_get (answer, name));

  return text ? text : "";
}

static void
print_configuration (const json_t *answer)
{
  const json_t *row = json_array_get (json_object_get (answer, "rows"), 0);

  json_dumpf (json_object_get (row, "document"), stdout,
              JSON_INDENT (2) | JSON_ENCODE_ANY);
  putchar ('\n');
}

static enum kq_status
print_rows (const struct kq_query *query, const json_t *answer)
{
  const json_t *rows = json_object_get (answer, "rows");

  switch (query->kind)
    {
    case KQ_QUERY_CONFIGURATION:
      print_configuration (answer);
      break;
    case KQ_QUERY_WHY_TASK:
    case KQ_QUERY_WHY_JOB:
      kq_output_list (rows);
      break;
    case KQ_QUERY_SHOW:
    case KQ_QUERY_WHY_REQUEST:
    case KQ_QUERY_TRACE:
    case KQ_QUERY_COMMAND:
      kq_output_table (rows);
      break;
    }
  kq_output_coverage (answer);
  return KQ_STATUS_OK;
}

/** Prints a line with the failure that ANSWER names. */
static void
print_failure (const json_t *answer, const char *text)
{
  int column = (int)json_integer_value (json_object_get (answer, "column"));
  const char *word = field (answer, "word");

  fprintf (
      stderr, "kumquatrack: %s: %s%s%s (%s, revision %lld)\n",
      field (answer, "result"), field (answer, "reason"), *word ? ": " : "",
      word, field (answer, "error"),
      (long long)json_integer_value (json_object_get (answer, "revision")));
  if (column > 0 && column <= (int)strlen (text))
    fprintf (stderr, "%s\n%*s^\n", text, column - 1, "");
}

/** The status that ANSWER stands for. */
static enum kq_status
status_of (const json_t *answer)
{
  const char *result = field (answer, "result");

  if (json_object_get (answer, "rows") != NULL
      || strcmp (result, "accepted") == 0)
    return KQ_STATUS_OK;
  if (strcmp (result, "unknown") == 0)
    return KQ_STATUS_UNKNOWN;
  return KQ_STATUS_REFUSED;
}

static enum kq_status
print_answer (const struct kq_tool_options *options,
              const struct kq_query *query, const char *text,
              const json_t *answer)
{
  enum kq_status status = status_of (answer);

  if (options->json)
    {
      json_dumpf (answer, stdout, JSON_COMPACT);
      putchar ('\n');
    }
  else if (status != KQ_STATUS_OK)
    print_failure (answer, text);
  else if (query->kind == KQ_QUERY_COMMAND)
    printf (
        "accepted: %s %s (revision %lld)\n", field (answer, "command"),
        field (answer, "name"),
        (long long)json_integer_value (json_object_get (answer, "revision")));
  else
    print_rows (query, answer);
  return status;
}

static enum kq_status
ask_once (const struct kq_tool_options *options, const struct kq_query *query,
          const char *text)
{
  enum kq_status status = KQ_STATUS_OK;
  json_t *answer;
  int err = kq_client_send (options, text, query->kind == KQ_QUERY_COMMAND,
                            &answer);

  if (err == 0)
    status = print_answer (options, query, text, answer);
  else if (err == KQ_ETIMEDOUT)
    {
      fputs ("kumquatrack: the outcome is unknown: the change may have taken "
             "effect\n",
             stderr);
      status = KQ_STATUS_UNKNOWN;
    }
  else
    {
      fputs ("kumquatrack: nobody answered; nothing was changed\n", stderr);
      status = KQ_STATUS_SILENT;
    }
  json_decref (answer);
  fflush (stdout);
  return status;
}

/** Asks again and again; a time without an answer is reported and passed. */
static enum kq_status
ask_repeatedly (const struct kq_tool_options *options,
                const struct kq_query *query, const char *text)
{
  struct timespec pause;
  enum kq_status status;

  pause.tv_sec = (time_t)options->watch_sec;
  pause.tv_nsec
      = (long)((options->watch_sec - (double)pause.tv_sec) * NSEC_PER_SEC);
  for (;;)
    {
      if (isatty (STDOUT_FILENO))
        fputs ("\033[H\033[2J", stdout);
      status = ask_once (options, query, text);
      if (status != KQ_STATUS_OK && status != KQ_STATUS_SILENT)
        return status;
      if (ferror (stdout) || nanosleep (&pause, NULL) != 0)
        return status;
    }
}

enum kq_status
kq_tool_run (const struct kq_tool_options *options, const char *text)
{
  char message[ERROR_TEXT_SIZE];
  struct kq_query_error error;
  struct kq_query query;
  enum kq_status status = KQ_STATUS_USAGE;

  if (kq_query_parse (text, &query, &error) != 0)
    {
      kq_query_error_print (&error, text, message, sizeof (message));
      fprintf (stderr, "%s (%s)\n", message, kq_err_name (error.err));
      return KQ_STATUS_USAGE;
    }
  if (options->url_count == 0)
    fputs ("kumquatrack: no entry host to ask: give --admin URL or set "
           "KUMQUATRACK_ADMIN\n",
           stderr);
  else if (options->watch_sec > 0 && query.kind == KQ_QUERY_COMMAND)
    fputs ("kumquatrack: --watch repeats queries only, not changes\n", stderr);
  else if (options->watch_sec > 0)
    status = ask_repeatedly (options, &query, text);
  else
    status = ask_once (options, &query, text);
  kq_query_clear (&query);
  return status;
}

enum kq_status
kq_tool_main (int argc, char **argv, const struct kq_tool_usage *usage)
{
  struct kq_tool_options options;
  char *text;
  enum kq_status status = kq_tool_parse (argc, argv, usage, &options, &text);

  if (text != NULL)
    status = kq_tool_run (&options, text);
  free (text);
  kq_tool_options_clear (&options);
  return status;
}

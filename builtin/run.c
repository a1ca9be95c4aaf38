/* Parses one command, sends it and prints the response. */

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
get_text (const json_t *response, const char *name)
{
  const char *text = json_string_value (json_object_get (response, name));

  return text ? text : "";
}

static void
print_configuration (const json_t *response)
{
  const json_t *row = json_array_get (json_object_get (response, "rows"), 0);

  json_dumpf (json_object_get (row, "document"), stdout,
              JSON_INDENT (2) | JSON_ENCODE_ANY);
  putchar ('\n');
}

static enum kq_exit_status
print_rows (const struct kq_query *query, const json_t *response)
{
  const json_t *rows = json_object_get (response, "rows");

  switch (query->kind)
    {
    case KQ_QUERY_CONFIGURATION:
      print_configuration (response);
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
  kq_output_coverage (response);
  return KQ_STATUS_OK;
}

/** Prints the error in RESPONSE and, if it has a column, marks that column of
 *  the command TEXT.  */
static void
print_failure (const json_t *response, const char *text)
{
  int column = (int)json_integer_value (json_object_get (response, "column"));
  const char *word = get_text (response, "word");

  fprintf (
      stderr, "kumquatrack: %s: %s%s%s (%s, revision %lld)\n",
      get_text (response, "result"), get_text (response, "reason"),
      *word ? ": " : "", word, get_text (response, "error"),
      (long long)json_integer_value (json_object_get (response, "revision")));
  if (column > 0 && column <= (int)strlen (text))
    fprintf (stderr, "%s\n%*s^\n", text, column - 1, "");
}

/** Returns the exit status for RESPONSE. */
static enum kq_exit_status
response_status (const json_t *response)
{
  const char *result = get_text (response, "result");

  if (json_object_get (response, "rows") != NULL
      || strcmp (result, "accepted") == 0)
    return KQ_STATUS_OK;
  if (strcmp (result, "unknown") == 0)
    return KQ_STATUS_UNKNOWN;
  return KQ_STATUS_REFUSED;
}

static enum kq_exit_status
print_response (const struct kq_tool_options *options,
                const struct kq_query *query, const char *text,
                const json_t *response)
{
  enum kq_exit_status status = response_status (response);

  if (options->json)
    {
      json_dumpf (response, stdout, JSON_COMPACT);
      putchar ('\n');
    }
  else if (status != KQ_STATUS_OK)
    print_failure (response, text);
  else if (query->kind == KQ_QUERY_COMMAND)
    printf ("accepted: %s %s (revision %lld)\n",
            get_text (response, "command"), get_text (response, "name"),
            (long long)json_integer_value (
                json_object_get (response, "revision")));
  else
    print_rows (query, response);
  return status;
}

static enum kq_exit_status
send_once (const struct kq_tool_options *options, const struct kq_query *query,
           const char *text)
{
  enum kq_exit_status status = KQ_STATUS_OK;
  json_t *response;
  int err = kq_client_send (options, text, query->kind == KQ_QUERY_COMMAND,
                            &response);

  if (err == 0)
    status = print_response (options, query, text, response);
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
      status = KQ_STATUS_NO_RESPONSE;
    }
  json_decref (response);
  fflush (stdout);
  return status;
}

/** Sends the query at the interval of --watch.  If no host responds, this is
 *  reported and the next attempt follows; other errors end the loop.  */
static enum kq_exit_status
send_repeatedly (const struct kq_tool_options *options,
                 const struct kq_query *query, const char *text)
{
  struct timespec interval;
  enum kq_exit_status status;

  interval.tv_sec = (time_t)options->watch_sec;
  interval.tv_nsec
      = (long)((options->watch_sec - (double)interval.tv_sec) * NSEC_PER_SEC);
  for (;;)
    {
      if (isatty (STDOUT_FILENO))
        fputs ("\033[H\033[2J", stdout);
      status = send_once (options, query, text);
      if (status != KQ_STATUS_OK && status != KQ_STATUS_NO_RESPONSE)
        return status;
      if (ferror (stdout) || nanosleep (&interval, NULL) != 0)
        return status;
    }
}

enum kq_exit_status
kq_tool_run (const struct kq_tool_options *options, const char *text)
{
  char message[ERROR_TEXT_SIZE];
  struct kq_query_error error;
  struct kq_query query;
  enum kq_exit_status status = KQ_STATUS_USAGE;

  if (kq_query_parse (text, &query, &error) != 0)
    {
      kq_query_error_print (&error, text, message, sizeof (message));
      fprintf (stderr, "%s (%s)\n", message, kq_err_name (error.err));
      return KQ_STATUS_USAGE;
    }
  if (options->url_count == 0)
    fputs ("kumquatrack: no entry host is set: give --admin URL or set "
           "KUMQUATRACK_ADMIN\n",
           stderr);
  else if (options->watch_sec > 0 && query.kind == KQ_QUERY_COMMAND)
    fputs ("kumquatrack: --watch repeats queries only, not changes\n", stderr);
  else if (options->watch_sec > 0)
    status = send_repeatedly (options, &query, text);
  else
    status = send_once (options, &query, text);
  kq_query_clear (&query);
  return status;
}

enum kq_exit_status
kq_tool_main (int argc, char **argv, const struct kq_tool_usage *usage)
{
  struct kq_tool_options options;
  char *text;
  enum kq_exit_status status
      = kq_tool_parse (argc, argv, usage, &options, &text);

  if (text != NULL)
    status = kq_tool_run (&options, text);
  free (text);
  kq_tool_options_clear (&options);
  return status;
}

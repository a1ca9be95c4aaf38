/** @file
 * kumquatrack load: sends requests at a fixed rate, or as fast as a number of
 * connections allows, and reports latency and outcomes.
 *
 * With --rate, the latency of a request is measured from the time at which it
 * was due, so that a slow response also counts for the requests that it
 * delays.
 */
#include "builtin/builtin.h"

#include <argtable2.h>
#include <jansson.h>
#include <signal.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "builtin/load.h"

#define SECONDS_MAX 60
#define RATE_MAX 100000
#define CONNECTIONS_MAX 1000
#define BODY_MAX (1024 * 1024)
#define DEADLINE_MAX_MS 60000
#define URLS_MAX 16
#define HEADERS_MAX 16
#define PERMILLE 1000

/* Time after the deadline for which to wait for the response that reports the
   expiry.  */
#define RESPONSE_GRACE_MS 1000

/* Names in the report, in the order of enum kq_load_outcome. */
static const char *const outcome_names[] = { "answered", "not_run", "unknown",
                                             "invalid",  "refused", "cut",
                                             "silent" };

static int
compare_latency (const void *a, const void *b)
{
  uint32_t x = *(const uint32_t *)a;
  uint32_t y = *(const uint32_t *)b;

  return (x > y) - (x < y);
}

/* Returns the latency in milliseconds that PERMILLE of the answered requests
   do not exceed.  */
static double
percentile (const struct kq_load *load, int64_t permille)
{
  int64_t count = load->outcomes[KQ_LOAD_ANSWERED];
  int64_t at;

  if (count == 0)
    return 0;
  at = (count - 1) * permille / PERMILLE;
  return (double)load->latency[at] / (double)KQ_USEC_PER_MSEC;
}

static json_t *
make_report (const struct kq_load *load, bool as_json)
{
  double seconds = (double)load->elapsed_us / (double)KQ_USEC_PER_SEC;
  json_t *json = json_pack (
      "{sf sI sf sf sf sf sf}", "seconds", seconds, "sent",
      (json_int_t)load->sent, "answered_per_second",
      (double)load->outcomes[KQ_LOAD_ANSWERED] / seconds, "p50_ms",
      percentile (load, 500), "p99_ms", percentile (load, 990), "p999_ms",
      percentile (load, 999), "max_ms", percentile (load, PERMILLE));

  for (int i = 0; i < KQ_LOAD_OUTCOMES; i++)
    json_object_set_new (json, outcome_names[i],
                         json_integer (load->outcomes[i]));
  if (as_json)
    json_object_set (json, "errors", load->errors);
  else
    json_object_update (json, load->errors);
  return json;
}

static void
print_report (json_t *json, bool as_json)
{
  const char *name;
  json_t *value;

  if (as_json)
    {
      json_dumpf (json, stdout, JSON_COMPACT | JSON_REAL_PRECISION (6));
      putchar ('\n');
    }
  else
    json_object_foreach (json, name, value)
    {
      if (json_is_real (value))
        printf ("%-20s %12.3f\n", name, json_real_value (value));
      else
        printf ("%-20s %12lld\n", name, (long long)json_integer_value (value));
    }
  json_decref (json);
}

struct flags
{
  struct arg_str *url, *service, *header;
  struct arg_int *rate, *connections, *seconds, *body, *deadline;
  struct arg_dbl *keyed;
  struct arg_lit *json, *help;
};

/* Returns whether the value of FLAG is in its range; prints an error if it is
   not.  */
static bool
in_range (const char *flag, const struct arg_int *arg, int low, int high)
{
  if (arg->ival[0] >= low && arg->ival[0] <= high)
    return true;
  fprintf (stderr, "kumquatrack load: --%s %d: want %d to %d\n", flag,
           arg->ival[0], low, high);
  return false;
}

static bool
flags_valid (const struct flags *f)
{
  if (f->keyed->dval[0] < 0 || f->keyed->dval[0] > 1)
    {
      fprintf (stderr, "kumquatrack load: --keyed %g: want 0 to 1\n",
               f->keyed->dval[0]);
      return false;
    }
  return in_range ("rate", f->rate, 0, RATE_MAX)
         && in_range ("connections", f->connections, 1, CONNECTIONS_MAX)
         && in_range ("seconds", f->seconds, 1, SECONDS_MAX)
         && in_range ("body", f->body, 0, BODY_MAX)
         && in_range ("deadline-ms", f->deadline, 1, DEADLINE_MAX_MS);
}

static void
add_headers (struct kq_load *load, const struct flags *f)
{
  char line[128];

  if (f->service->count > 0)
    {
      snprintf (line, sizeof line, "Kumquatrack-Service: %s",
                f->service->sval[0]);
      load->headers = curl_slist_append (load->headers, line);
    }
  snprintf (line, sizeof line, "Kumquatrack-Deadline-Ms: %d",
            f->deadline->ival[0]);
  load->headers = curl_slist_append (load->headers, line);
  load->headers = curl_slist_append (load->headers, "Expect:");
  for (int i = 0; i < f->header->count; i++)
    load->headers = curl_slist_append (load->headers, f->header->sval[i]);
}

static int
run_load (const struct flags *f)
{
  struct kq_load load
      = { .urls = f->url->sval,
          .url_count = f->url->count,
          .body_size = f->body->ival[0],
          .rate = f->rate->ival[0],
          .connections = f->connections->ival[0],
          .seconds = f->seconds->ival[0],
          .timeout_ms = f->deadline->ival[0] + RESPONSE_GRACE_MS,
          .errors = json_object (),
          .keyed_permille = (int64_t)(f->keyed->dval[0] * PERMILLE) };
  char *body = malloc ((size_t)load.body_size + 1);
  int64_t answered;

  signal (SIGPIPE, SIG_IGN);
  if (!body)
    abort ();
  memset (body, 'x', (size_t)load.body_size);
  load.body = body;
  curl_global_init (CURL_GLOBAL_DEFAULT);
  add_headers (&load, f);
  kq_load_run (&load);
  answered = load.outcomes[KQ_LOAD_ANSWERED];
  if (answered > 0)
    qsort (load.latency, (size_t)answered, sizeof *load.latency,
           compare_latency);
  print_report (make_report (&load, f->json->count > 0), f->json->count > 0);
  curl_slist_free_all (load.headers);
  json_decref (load.errors);
  free (load.latency);
  free (body);
  return answered > 0 ? KQ_STATUS_OK : KQ_STATUS_NO_RESPONSE;
}

int
kq_cmd_load (int argc, char **argv)
{
  struct flags f = {
    .url = arg_strn (NULL, "url", "URL", 1, URLS_MAX,
                     "URL to send to; if "
                     "repeated, used in rotation"),
    .service = arg_str0 (NULL, "service", "NAME", "service to call"),
    .header
    = arg_strn (NULL, "header", "LINE", 0, HEADERS_MAX, "additional header"),
    .rate = arg_int0 (NULL, "rate", "N",
                      "requests per second, 0 to 100000 (default 0: as fast "
                      "as responses arrive)"),
    .connections = arg_int0 (NULL, "connections", "N",
                             "concurrent requests, 1 to 1000 (default 8)"),
    .seconds
    = arg_int0 (NULL, "seconds", "N", "duration, 1 to 60 (default 5)"),
    .body = arg_int0 (NULL, "body", "BYTES",
                      "size of the body, 0 to 1048576 (default 0: GET)"),
    .deadline = arg_int0 (NULL, "deadline-ms", "MS",
                          "deadline of a request, 1 to 60000 (default 2000)"),
    .keyed = arg_dbl0 (NULL, "keyed", "FRACTION",
                       "requests with an Idempotency-Key, 0 to 1 (default 0)"),
    .json = arg_lit0 (NULL, "json", "print the report as JSON"),
    .help = arg_lit0 ("h", "help", "print this help"),
  };
  struct arg_end *end = arg_end (8);
  void *table[]
      = { f.url,  f.service,  f.header, f.rate, f.connections, f.seconds,
          f.body, f.deadline, f.keyed,  f.json, f.help,        end };
  int status = KQ_STATUS_USAGE;
  int errors;

  f.rate->ival[0] = 0;
  f.connections->ival[0] = 8;
  f.seconds->ival[0] = 5;
  f.body->ival[0] = 0;
  f.deadline->ival[0] = 2000;
  f.keyed->dval[0] = 0;
  errors = arg_parse (argc, argv, table);
  if (f.help->count > 0)
    {
      puts ("Usage: kumquatrack load --url URL [FLAG]...\n");
      arg_print_glossary (stdout, table, "  %-24s %s\n");
      kq_tool_print_exit_statuses ();
      status = KQ_STATUS_OK;
    }
  else if (errors > 0)
    {
      arg_print_errors (stderr, end, "kumquatrack load");
      fputs ("see kumquatrack load --help\n", stderr);
    }
  else if (flags_valid (&f))
    status = run_load (&f);
  arg_freetable (table, sizeof table / sizeof table[0]);
  return status;
}

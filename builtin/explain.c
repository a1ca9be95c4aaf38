/** @file
 * kumquatrack explain: asks an entry host on the platform, at the address of
 * its metrics, where a job would be placed now.
 */
#include "builtin/builtin.h"

#include <argtable2.h>
#include <curl/curl.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/address.h"
#include "base/err.h"
#include "builtin/explain-text.h"

/* Largest job that is read; the entry host's own limit is lower. */
#define BODY_MAX ((size_t)1024 * 1024)

/* Largest response: that of 16 steps with 5 candidates each has 20 KB. */
#define RESPONSE_MAX ((size_t)1024 * 1024)

#define MAX_TIMEOUT_SEC 60
#define MSEC_PER_SEC 1000

#define STATUS_OK 200
#define STATUS_UNAVAILABLE 503

struct flags
{
  struct arg_str *metrics, *queue, *job, *file;
  struct arg_dbl *timeout;
  struct arg_lit *json, *help;
};

struct buffer
{
  char data[RESPONSE_MAX];
  size_t size;
};

static size_t
append_response (char *data, size_t item_size, size_t count, void *ctx)
{
  struct buffer *buffer = ctx;
  size_t size = item_size * count;

  if (size > sizeof buffer->data - buffer->size)
    return 0;
  memcpy (buffer->data + buffer->size, data, size);
  buffer->size += size;
  return size;
}

static enum kq_exit_status
report (int err, const char *field, const char *why)
{
  fprintf (stderr, "kumquatrack explain: %s: %s: %s\n", kq_err_name (err),
           field, why);
  return KQ_STATUS_USAGE;
}

/* Whether the flags are valid; reports the first that is not. */
static bool
flags_valid (const struct flags *f)
{
  struct sockaddr_storage address;

  if (!kq_address_parse (f->metrics->sval[0], &address))
    report (KQ_EINVAL, "--metrics", "want ADDR:PORT");
  else if (f->queue->count + f->job->count != 1)
    report (KQ_EINVAL, "--queue", "want either --queue or --job");
  else if (f->job->count > 0 && f->file->count > 0)
    report (KQ_EINVAL, "FILE", "a known job has none");
  else if (!(f->timeout->dval[0] > 0) || f->timeout->dval[0] > MAX_TIMEOUT_SEC)
    report (KQ_EINVAL, "--timeout", "want up to 60 seconds");
  else
    return true;
  return false;
}

/* Reads the job from PATH, or from standard input if it is "-". */
static char *
read_body (const char *path, size_t *size)
{
  FILE *file = strcmp (path, "-") == 0 ? stdin : fopen (path, "r");
  char *body = malloc (BODY_MAX + 1);

  if (file == NULL || body == NULL)
    {
      report (KQ_EIO, path, "cannot be read");
      free (body);
      body = NULL;
    }
  else
    {
      *size = fread (body, 1, BODY_MAX + 1, file);
      if (*size > BODY_MAX || ferror (file) != 0)
        {
          report (*size > BODY_MAX ? KQ_ETOOBIG : KQ_EIO, path,
                  "cannot be read as a job");
          free (body);
          body = NULL;
        }
    }
  if (file != NULL && file != stdin)
    fclose (file);
  return body;
}

/* Sends the request; a BODY is posted. Sets *STATUS to the HTTP status. */
static CURLcode
call (const struct flags *f, const char *body, size_t size,
      struct buffer *buffer, long *status)
{
  CURL *curl = curl_easy_init ();
  struct curl_slist *headers = curl_slist_append (NULL, "Expect:");
  const char *value = body != NULL ? f->queue->sval[0] : f->job->sval[0];
  char *escaped;
  char url[1024];
  CURLcode code = CURLE_OUT_OF_MEMORY;

  escaped = curl != NULL ? curl_easy_escape (curl, value, 0) : NULL;
  if (escaped != NULL)
    {
      snprintf (url, sizeof url, "http://%s/explain?%s=%s",
                f->metrics->sval[0], body != NULL ? "queue" : "job", escaped);
      curl_easy_setopt (curl, CURLOPT_URL, url);
      curl_easy_setopt (curl, CURLOPT_NOSIGNAL, 1L);
      curl_easy_setopt (curl, CURLOPT_NOPROXY, "*");
      curl_easy_setopt (curl, CURLOPT_HTTPHEADER, headers);
      if (body != NULL)
        {
          curl_easy_setopt (curl, CURLOPT_POSTFIELDSIZE_LARGE,
                            (curl_off_t)size);
          curl_easy_setopt (curl, CURLOPT_POSTFIELDS, body);
        }
      curl_easy_setopt (curl, CURLOPT_TIMEOUT_MS,
                        (long)(f->timeout->dval[0] * MSEC_PER_SEC));
      curl_easy_setopt (curl, CURLOPT_WRITEFUNCTION, append_response);
      curl_easy_setopt (curl, CURLOPT_WRITEDATA, buffer);
      code = curl_easy_perform (curl);
      curl_easy_getinfo (curl, CURLINFO_RESPONSE_CODE, status);
    }
  curl_free (escaped);
  curl_slist_free_all (headers);
  curl_easy_cleanup (curl);
  return code;
}

static const char *
text_of (const json_t *response, const char *field)
{
  const char *text = json_string_value (json_object_get (response, field));

  return text != NULL ? text : "";
}

/* Prints RESPONSE, an explanation or an error. */
static enum kq_exit_status
print_response (const json_t *response, long status, bool as_json)
{
  const json_t *heard = json_object_get (response, "owner_last_heard_ms");

  if (as_json)
    {
      json_dumpf (response, stdout, JSON_COMPACT);
      putchar ('\n');
    }
  else if (status == STATUS_OK)
    kq_explain_print (response);
  if (status == STATUS_OK)
    return KQ_STATUS_OK;
  fprintf (stderr, "kumquatrack explain: %s: %s: %s",
           text_of (response, "error"), text_of (response, "field"),
           text_of (response, "why"));
  if (json_is_integer (heard))
    fprintf (stderr, "; an owner was last heard of %lld ms ago",
             (long long)json_integer_value (heard));
  fputc ('\n', stderr);
  return status == STATUS_UNAVAILABLE ? KQ_STATUS_REFUSED : KQ_STATUS_USAGE;
}

static enum kq_exit_status
run (const struct flags *f)
{
  static struct buffer buffer;
  enum kq_exit_status status = KQ_STATUS_NO_RESPONSE;
  char *body = NULL;
  size_t size = 0;
  long http_status = 0;
  json_t *response = NULL;
  CURLcode code;

  if (f->queue->count > 0)
    {
      body = read_body (f->file->count > 0 ? f->file->sval[0] : "-", &size);
      if (body == NULL)
        return KQ_STATUS_USAGE;
    }
  code = call (f, body, size, &buffer, &http_status);
  free (body);
  if (code == CURLE_OK)
    response = json_loadb (buffer.data, buffer.size, 0, NULL);
  if (json_is_object (response))
    status = print_response (response, http_status, f->json->count > 0);
  else
    fprintf (stderr, "kumquatrack explain: %s: %s\n", f->metrics->sval[0],
             code != CURLE_OK ? curl_easy_strerror (code)
                              : "the answer is no explanation");
  json_decref (response);
  return status;
}

int
kq_cmd_explain (int argc, char **argv)
{
  struct flags f = {
    .metrics = arg_str1 (NULL, "metrics", "ADDR:PORT",
                         "where an entry host serves its metrics"),
    .queue = arg_str0 (NULL, "queue", "NAME", "queue of a new job"),
    .job = arg_str0 (NULL, "job", "ID", "a job that was accepted"),
    .timeout = arg_dbl0 (NULL, "timeout", "SECONDS",
                         "time for the response, up to 60 (default 5)"),
    .json = arg_lit0 (NULL, "json", "print the explanation as JSON"),
    .help = arg_lit0 ("h", "help", "print this help"),
    .file = arg_str0 (NULL, NULL, "FILE",
                      "the new job as callers submit it; -, or none: standard "
                      "input"),
  };
  struct arg_end *end = arg_end (8);
  void *table[]
      = { f.metrics, f.queue, f.job, f.timeout, f.json, f.help, f.file, end };
  enum kq_exit_status status = KQ_STATUS_USAGE;
  int errors;

  f.timeout->dval[0] = 5;
  errors = arg_parse (argc, argv, table);
  if (f.help->count > 0)
    {
      puts ("Usage: kumquatrack explain --metrics ADDR:PORT --queue NAME "
            "[FILE]\n"
            "       kumquatrack explain --metrics ADDR:PORT --job ID\n");
      arg_print_glossary (stdout, table, "  %-24s %s\n");
      kq_tool_print_exit_statuses ();
      status = KQ_STATUS_OK;
    }
  else if (errors > 0)
    {
      arg_print_errors (stderr, end, "kumquatrack explain");
      fputs ("see kumquatrack explain --help\n", stderr);
    }
  else if (flags_valid (&f))
    status = run (&f);
  arg_freetable (table, sizeof table / sizeof table[0]);
  return status;
}

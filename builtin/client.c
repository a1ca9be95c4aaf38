/* The tool's HTTP client. */

#include "builtin/client.h"

#include <curl/curl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/err.h"

/** Largest answer that is read. */
#define ANSWER_MAX ((size_t)64 << 20)

#define URL_SIZE 512
#define MSEC_PER_SEC 1000

struct buffer
{
  char *data;
  size_t length;
};

static size_t
collect (char *data, size_t unit, size_t count, void *ctx)
{
  struct buffer *buffer = ctx;
  size_t length = unit * count;
  char *grown;

  if (length > ANSWER_MAX - buffer->length)
    return 0;
  grown = realloc (buffer->data, buffer->length + length + 1);
  if (grown == NULL)
    return 0;
  memcpy (grown + buffer->length, data, length);
  buffer->data = grown;
  buffer->length += length;
  return length;
}

/** Posts TEXT to URL.  *SENT says whether the host may have read it. */
static CURLcode
post (CURL *curl, const struct kq_tool_options *options, const char *url,
      const char *text, struct buffer *buffer, bool *sent)
{
  char full[URL_SIZE];
  long bytes = 0;
  CURLcode code;

  *sent = false;
  if (snprintf (full, sizeof (full), "%s/command", url) >= (int)sizeof (full))
    return CURLE_URL_MALFORMAT;
  curl_easy_setopt (curl, CURLOPT_URL, full);
  curl_easy_setopt (curl, CURLOPT_PROTOCOLS_STR, "http,https");
  curl_easy_setopt (curl, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (curl, CURLOPT_NOPROXY, "*");
  curl_easy_setopt (curl, CURLOPT_POSTFIELDS, text);
  curl_easy_setopt (curl, CURLOPT_POSTFIELDSIZE_LARGE,
                    (curl_off_t)strlen (text));
  curl_easy_setopt (curl, CURLOPT_TIMEOUT_MS,
                    (long)(options->timeout_sec * MSEC_PER_SEC));
  curl_easy_setopt (curl, CURLOPT_WRITEFUNCTION, collect);
  curl_easy_setopt (curl, CURLOPT_WRITEDATA, buffer);
  code = curl_easy_perform (curl);
  curl_easy_getinfo (curl, CURLINFO_REQUEST_SIZE, &bytes);
  *sent = bytes > 0;
  return code;
}

/** Tries one host.  @return 0, KQ_ECLOSED (not read) or KQ_ETIMEDOUT (may
 *  have been read).  */
static int
send_to (const struct kq_tool_options *options, const char *url,
         const char *text, json_t **answer)
{
  struct curl_slist *headers
      = curl_slist_append (NULL, "Content-Type: text/plain");
  struct buffer buffer = { NULL, 0 };
  CURL *curl = curl_easy_init ();
  bool sent = false;
  CURLcode code = CURLE_OUT_OF_MEMORY;

  if (curl != NULL)
    {
      /* No "Expect: 100-continue": it delays a long configuration. */
      headers = curl_slist_append (headers, "Expect:");
      curl_easy_setopt (curl, CURLOPT_HTTPHEADER, headers);
      code = post (curl, options, url, text, &buffer, &sent);
    }
  *answer = NULL;
  if (code == CURLE_OK && buffer.data != NULL)
    *answer = json_loadb (buffer.data, buffer.length, 0, NULL);
  if (code != CURLE_OK)
    fprintf (stderr, "kumquatrack: %s: %s\n", url, curl_easy_strerror (code));
  else if (*answer == NULL)
    fprintf (stderr, "kumquatrack: %s: the answer is no JSON\n", url);
  curl_slist_free_all (headers);
  curl_easy_cleanup (curl);
  free (buffer.data);
  if (*answer != NULL)
    return 0;
  return sent ? KQ_ETIMEDOUT : KQ_ECLOSED;
}

/** Whether ANSWER says that the host stops and has done nothing. */
static bool
is_stopping (const json_t *answer)
{
  const char *name = json_string_value (json_object_get (answer, "error"));

  return name != NULL && strcmp (name, kq_err_name (KQ_ESTOPPING)) == 0;
}

int
kq_client_send (const struct kq_tool_options *options, const char *text,
                bool changes, json_t **answer)
{
  *answer = NULL;
  for (int i = 0; i < options->url_count; i++)
    {
      int err;

      json_decref (*answer);
      err = send_to (options, options->urls[i], text, answer);
      if (err == 0 && !is_stopping (*answer))
        return 0;
      if (err == KQ_ETIMEDOUT && changes)
        return err;
    }
  return *answer ? 0 : KQ_ECLOSED;
}

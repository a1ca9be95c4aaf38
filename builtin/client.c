/* HTTP client of the command-line tool. */

#include "builtin/client.h"

#include <curl/curl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/err.h"

/** Maximum size of a response; larger ones fail. */
#define RESPONSE_MAX_BYTES ((size_t)64 << 20)

#define URL_SIZE 512
#define MSEC_PER_SEC 1000

struct buffer
{
  char *data;
  size_t length;
};

static size_t
append_response (char *data, size_t item_size, size_t count, void *ctx)
{
  struct buffer *buffer = ctx;
  size_t length = item_size * count;
  char *new_data;

  if (length > RESPONSE_MAX_BYTES - buffer->length)
    return 0;
  new_data = realloc (buffer->data, buffer->length + length + 1);
  if (new_data == NULL)
    return 0;
  memcpy (new_data + buffer->length, data, length);
  buffer->data = new_data;
  buffer->length += length;
  return length;
}

/** Posts TEXT to the entry host at URL.  *SENT becomes true if the host may
 *  have read it.  */
static CURLcode
post_command (CURL *curl, const struct kq_tool_options *options,
              const char *url, const char *text, struct buffer *buffer,
              bool *sent)
{
  char command_url[URL_SIZE];
  long request_bytes = 0;
  CURLcode code;

  *sent = false;
  if (snprintf (command_url, sizeof (command_url), "%s/command", url)
      >= (int)sizeof (command_url))
    return CURLE_URL_MALFORMAT;
  curl_easy_setopt (curl, CURLOPT_URL, command_url);
  curl_easy_setopt (curl, CURLOPT_PROTOCOLS_STR, "http,https");
  curl_easy_setopt (curl, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (curl, CURLOPT_NOPROXY, "*");
  curl_easy_setopt (curl, CURLOPT_POSTFIELDS, text);
  curl_easy_setopt (curl, CURLOPT_POSTFIELDSIZE_LARGE,
                    (curl_off_t)strlen (text));
  curl_easy_setopt (curl, CURLOPT_TIMEOUT_MS,
                    (long)(options->timeout_sec * MSEC_PER_SEC));
  curl_easy_setopt (curl, CURLOPT_WRITEFUNCTION, append_response);
  curl_easy_setopt (curl, CURLOPT_WRITEDATA, buffer);
  code = curl_easy_perform (curl);
  curl_easy_getinfo (curl, CURLINFO_REQUEST_SIZE, &request_bytes);
  *sent = request_bytes > 0;
  return code;
}

/** Sends TEXT to one entry host and parses its response.
 *  @return 0, KQ_ECLOSED (not sent) or KQ_ETIMEDOUT (no valid response, but
 *  the host may have read TEXT).  */
static int
send_to_host (const struct kq_tool_options *options, const char *url,
              const char *text, json_t **response)
{
  struct curl_slist *headers
      = curl_slist_append (NULL, "Content-Type: text/plain");
  struct buffer buffer = { NULL, 0 };
  CURL *curl = curl_easy_init ();
  bool sent = false;
  CURLcode code = CURLE_OUT_OF_MEMORY;

  if (curl != NULL)
    {
      /* "Expect: 100-continue", which curl adds to long bodies, would delay
         a long configuration.  */
      headers = curl_slist_append (headers, "Expect:");
      curl_easy_setopt (curl, CURLOPT_HTTPHEADER, headers);
      code = post_command (curl, options, url, text, &buffer, &sent);
    }
  *response = NULL;
  if (code == CURLE_OK && buffer.data != NULL)
    *response = json_loadb (buffer.data, buffer.length, 0, NULL);
  if (code != CURLE_OK)
    fprintf (stderr, "kumquatrack: %s: %s\n", url, curl_easy_strerror (code));
  else if (*response == NULL)
    fprintf (stderr, "kumquatrack: %s: the answer is no JSON\n", url);
  curl_slist_free_all (headers);
  curl_easy_cleanup (curl);
  free (buffer.data);
  if (*response != NULL)
    return 0;
  return sent ? KQ_ETIMEDOUT : KQ_ECLOSED;
}

/** Returns whether RESPONSE says that the host is stopping and has not run
 *  the command.  */
static bool
is_stopping (const json_t *response)
{
  const char *name = json_string_value (json_object_get (response, "error"));

  return name != NULL && strcmp (name, kq_err_name (KQ_ESTOPPING)) == 0;
}

int
kq_client_send (const struct kq_tool_options *options, const char *text,
                bool is_change, json_t **response)
{
  *response = NULL;
  for (int i = 0; i < options->url_count; i++)
    {
      int err;

      json_decref (*response);
      err = send_to_host (options, options->urls[i], text, response);
      if (err == 0 && !is_stopping (*response))
        return 0;
      if (err == KQ_ETIMEDOUT && is_change)
        return err;
    }
  return *response ? 0 : KQ_ECLOSED;
}

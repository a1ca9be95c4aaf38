#include "t/lib-caller.h"

#include <arpa/inet.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

static size_t
on_body (char *data, size_t size, size_t count, void *context)
{
  struct kq_test_reply *reply = context;
  size_t length = size * count;

  if (length > sizeof reply->body - 1 - reply->length)
    length = sizeof reply->body - 1 - reply->length;
  memcpy (reply->body + reply->length, data, length);
  reply->length += length;
  return size * count;
}

static size_t
on_header (char *data, size_t size, size_t count, void *context)
{
  struct kq_test_reply *reply = context;

  if (size * count > 21 && strncmp (data, "Kumquatrack-Outcome: ", 21) == 0)
    sscanf (data + 21, "%15s", reply->outcome);
  return size * count;
}

struct kq_test_reply
kq_test_call (int port, const char *method, const char *path, const char *body,
              const char *const *headers)
{
  struct kq_test_reply reply = { .code = CURLE_OK };
  struct curl_slist *list = NULL;
  CURL *easy = curl_easy_init ();
  char url[256];

  snprintf (url, sizeof url, "http://127.0.0.1:%d%s", port, path);
  for (; *headers != NULL; headers++)
    list = curl_slist_append (list, *headers);
  curl_easy_setopt (easy, CURLOPT_URL, url);
  curl_easy_setopt (easy, CURLOPT_CUSTOMREQUEST, method);
  curl_easy_setopt (easy, CURLOPT_HTTPHEADER, list);
  curl_easy_setopt (easy, CURLOPT_TIMEOUT, 10L);
  if (body != NULL)
    curl_easy_setopt (easy, CURLOPT_COPYPOSTFIELDS, body);
  curl_easy_setopt (easy, CURLOPT_WRITEFUNCTION, on_body);
  curl_easy_setopt (easy, CURLOPT_WRITEDATA, &reply);
  curl_easy_setopt (easy, CURLOPT_HEADERFUNCTION, on_header);
  curl_easy_setopt (easy, CURLOPT_HEADERDATA, &reply);
  reply.code = curl_easy_perform (easy);
  curl_easy_getinfo (easy, CURLINFO_RESPONSE_CODE, &reply.status);
  curl_easy_cleanup (easy);
  curl_slist_free_all (list);
  return reply;
}

int
kq_test_raw (int port, const char *text, size_t length, char *answer,
             size_t size)
{
  struct sockaddr_in address = { .sin_family = AF_INET };
  int fd = socket (AF_INET, SOCK_STREAM, 0);
  struct timeval limit = { .tv_sec = 5 };
  ssize_t got;

  address.sin_port = htons ((uint16_t)port);
  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  setsockopt (fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
  if (connect (fd, (struct sockaddr *)&address, sizeof address) != 0)
    return -1;
  while (length > 0)
    {
      ssize_t sent = send (fd, text, length, MSG_NOSIGNAL);
      if (sent <= 0)
        break;
      text += sent;
      length -= (size_t)sent;
    }
  if (size == 0)
    usleep (50000);
  got = size > 0 ? recv (fd, answer, size - 1, MSG_WAITALL) : 0;
  if (size > 0)
    answer[got > 0 ? got : 0] = '\0';
  close (fd);
  return size > 0 && got > 12 ? atoi (answer + 9) : 0;
}

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
  struct kq_test_response *response = context;
  size_t length = size * count;

  if (length > sizeof response->body - 1 - response->length)
    length = sizeof response->body - 1 - response->length;
  memcpy (response->body + response->length, data, length);
  response->length += length;
  return size * count;
}

static size_t
on_header (char *data, size_t size, size_t count, void *context)
{
  struct kq_test_response *response = context;

  if (size * count > 21 && strncmp (data, "Kumquatrack-Outcome: ", 21) == 0)
    sscanf (data + 21, "%15s", response->outcome);
  return size * count;
}

struct kq_test_response
kq_test_send_request (int port, const char *method, const char *path,
                      const char *body, const char *const *headers)
{
  struct kq_test_response response = { .code = CURLE_OK };
  struct curl_slist *header_list = NULL;
  CURL *easy = curl_easy_init ();
  char url[256];

  snprintf (url, sizeof url, "http://127.0.0.1:%d%s", port, path);
  for (; *headers != NULL; headers++)
    header_list = curl_slist_append (header_list, *headers);
  curl_easy_setopt (easy, CURLOPT_URL, url);
  curl_easy_setopt (easy, CURLOPT_CUSTOMREQUEST, method);
  curl_easy_setopt (easy, CURLOPT_HTTPHEADER, header_list);
  curl_easy_setopt (easy, CURLOPT_TIMEOUT, 10L);
  if (body != NULL)
    curl_easy_setopt (easy, CURLOPT_COPYPOSTFIELDS, body);
  curl_easy_setopt (easy, CURLOPT_WRITEFUNCTION, on_body);
  curl_easy_setopt (easy, CURLOPT_WRITEDATA, &response);
  curl_easy_setopt (easy, CURLOPT_HEADERFUNCTION, on_header);
  curl_easy_setopt (easy, CURLOPT_HEADERDATA, &response);
  response.code = curl_easy_perform (easy);
  curl_easy_getinfo (easy, CURLINFO_RESPONSE_CODE, &response.status);
  curl_easy_cleanup (easy);
  curl_slist_free_all (header_list);
  return response;
}

int
kq_test_send_raw (int port, const char *text, size_t length, char *response,
                  size_t size)
{
  struct sockaddr_in address = { .sin_family = AF_INET };
  int fd = socket (AF_INET, SOCK_STREAM, 0);
  struct timeval timeout = { .tv_sec = 5 };
  ssize_t received;

  address.sin_port = htons ((uint16_t)port);
  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  setsockopt (fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof timeout);
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
  received = size > 0 ? recv (fd, response, size - 1, MSG_WAITALL) : 0;
  if (size > 0)
    response[received > 0 ? received : 0] = '\0';
  close (fd);
  return size > 0 && received > 12 ? atoi (response + 9) : 0;
}

#include "request/response.h"

#include <stdlib.h>
#include <string.h>

#include "base/err.h"
#include "request/buffer.h"

/** Maximum size of a response's headers, in bytes. */
#define HEADERS_LIMIT ((size_t)32 * 1024)

struct kq_response
{
  int refs;
  int status;
  struct kq_buffer headers; /* name, zero, value, zero, and so on */
  struct kq_buffer body;
};

struct kq_response *
kq_response_create (int status, size_t body_limit)
{
  struct kq_response *answer = calloc (1, sizeof *answer);

  if (answer == NULL)
    return NULL;
  answer->refs = 1;
  answer->status = status;
  answer->headers.limit = HEADERS_LIMIT;
  answer->body.limit = body_limit;
  return answer;
}

struct kq_response *
kq_response_ref (struct kq_response *answer)
{
  answer->refs++;
  return answer;
}

void
kq_response_unref (struct kq_response *answer)
{
  if (answer == NULL || --answer->refs > 0)
    return;
  kq_buffer_clear (&answer->headers);
  kq_buffer_clear (&answer->body);
  free (answer);
}

void
kq_response_reset (struct kq_response *answer, int status)
{
  answer->headers.size = 0;
  answer->body.size = 0;
  answer->status = status;
}

int
kq_response_add_header (struct kq_response *answer, const char *name,
                        size_t name_length, const char *value,
                        size_t value_length)
{
  size_t before = answer->headers.size;
  int err;

  if (memchr (name, '\0', name_length) != NULL
      || memchr (value, '\0', value_length) != NULL)
    return KQ_ESYNTAX;
  err = kq_buffer_add (&answer->headers, name, name_length);
  if (err == 0)
    err = kq_buffer_add (&answer->headers, "", 1);
  if (err == 0)
    err = kq_buffer_add (&answer->headers, value, value_length);
  if (err == 0)
    err = kq_buffer_add (&answer->headers, "", 1);
  if (err != 0)
    answer->headers.size = before;
  return err;
}

int
kq_response_add_body (struct kq_response *answer, const void *data,
                      size_t length)
{
  return kq_buffer_add (&answer->body, data, length);
}

int
kq_response_status (const struct kq_response *answer)
{
  return answer->status;
}

const char *
kq_response_body (const struct kq_response *answer, size_t *length)
{
  *length = answer->body.size;
  return answer->body.data;
}

const char *
kq_response_header (const struct kq_response *answer, size_t *position,
                    const char **value)
{
  const char *name;

  if (*position >= answer->headers.size)
    return NULL;
  name = answer->headers.data + *position;
  *value = name + strlen (name) + 1;
  *position += strlen (name) + strlen (*value) + 2;
  return name;
}

size_t
kq_response_size (const struct kq_response *answer)
{
  return sizeof *answer + answer->headers.capacity + answer->body.capacity;
}

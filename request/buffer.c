#include "request/buffer.h"

#include <stdlib.h>
#include <string.h>

#include "base/err.h"

#define INITIAL_CAPACITY 512

int
kq_buffer_add (struct kq_buffer *buffer, const void *data, size_t length)
{
  size_t capacity = buffer->capacity > 0 ? buffer->capacity : INITIAL_CAPACITY;
  char *grown;

  if (length > buffer->limit - buffer->size)
    return KQ_ETOOBIG;
  if (length == 0)
    return 0;
  while (capacity < buffer->size + length)
    capacity *= 2;
  if (capacity != buffer->capacity)
    {
      grown = realloc (buffer->data, capacity);
      if (grown == NULL)
        return KQ_ENOMEM;
      buffer->data = grown;
      buffer->capacity = capacity;
    }
  memcpy (buffer->data + buffer->size, data, length);
  buffer->size += length;
  return 0;
}

void
kq_buffer_clear (struct kq_buffer *buffer)
{
  free (buffer->data);
  buffer->data = NULL;
  buffer->size = 0;
  buffer->capacity = 0;
}

#include "request/buffer.h"

#include <stdlib.h>
#include <string.h>

#include "base/err.h"

#define FIRST_ROOM 512

int
kq_buffer_add (struct kq_buffer *buffer, const void *data, size_t length)
{
  size_t room = buffer->room > 0 ? buffer->room : FIRST_ROOM;
  char *grown;

  if (length > buffer->limit - buffer->size)
    return KQ_ETOOBIG;
  if (length == 0)
    return 0;
  while (room < buffer->size + length)
    room *= 2;
  if (room != buffer->room)
    {
      grown = realloc (buffer->data, room);
      if (grown == NULL)
        return KQ_ENOMEM;
      buffer->data = grown;
      buffer->room = room;
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
  buffer->room = 0;
}

/** @file
 * A byte buffer that grows up to a limit.
 */
#ifndef KQ_REQUEST_BUFFER_H
#define KQ_REQUEST_BUFFER_H

#include <stddef.h>

struct kq_buffer
{
  char *data;
  size_t size;     /**< bytes in use */
  size_t capacity; /**< bytes allocated */
  size_t limit;    /**< maximum of size */
};

/** Appends LENGTH bytes.
 *  @return 0; or KQ_ETOOBIG or KQ_ENOMEM, with the buffer unchanged.  */
int kq_buffer_add (struct kq_buffer *buffer, const void *data, size_t length);

/** Frees the memory and empties the buffer; the limit stays. */
void kq_buffer_clear (struct kq_buffer *buffer);

#endif

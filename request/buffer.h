/** @file
 * A growing run of bytes with an upper limit.
 */
#ifndef KQ_REQUEST_BUFFER_H
#define KQ_REQUEST_BUFFER_H

#include <stddef.h>

struct kq_buffer
{
  char *data;
  size_t size;  /**< bytes in use */
  size_t room;  /**< bytes allocated */
  size_t limit; /**< size never exceeds this */
};

/** Appends LENGTH bytes.
 *  @return 0, KQ_ETOOBIG or KQ_ENOMEM; the buffer is unchanged then.  */
int kq_buffer_add (struct kq_buffer *buffer, const void *data, size_t length);

/** Frees the bytes and empties the buffer; the limit stays. */
void kq_buffer_clear (struct kq_buffer *buffer);

#endif

/** @file
 * An HTTP response of an endpoint, buffered until it is complete: status,
 * headers and a body of limited size.  Responses are reference counted; the
 * count is not atomic, so all references belong to one thread.
 */
#ifndef KQ_REQUEST_RESPONSE_H
#define KQ_REQUEST_RESPONSE_H

#include <stddef.h>

struct kq_response;

/** Creates a response with one reference and an empty body that may grow to
 *  BODY_LIMIT bytes.
 *  @return NULL when out of memory.  */
struct kq_response *kq_response_create (int status, size_t body_limit);

/** Adds a reference and returns ANSWER. */
struct kq_response *kq_response_ref (struct kq_response *answer);

/** Removes a reference and frees ANSWER with the last one.  NULL is
 *  ignored.  */
void kq_response_unref (struct kq_response *answer);

/** Removes all headers and the body and sets the status. */
void kq_response_reset (struct kq_response *answer, int status);

/** Adds a header.  The lengths are in bytes, without a terminating zero.
 *  @return 0; KQ_ETOOBIG; KQ_ENOMEM; or KQ_ESYNTAX when the name or the value
 *  contains a zero byte.  */
int kq_response_add_header (struct kq_response *answer, const char *name,
                            size_t name_length, const char *value,
                            size_t value_length);

/** Appends LENGTH bytes to the body.
 *  @return 0, KQ_ETOOBIG or KQ_ENOMEM.  */
int kq_response_add_body (struct kq_response *answer, const void *data,
                          size_t length);

int kq_response_status (const struct kq_response *answer);
const char *kq_response_body (const struct kq_response *answer,
                              size_t *length);

/** Iterates over the headers; *POSITION is 0 at the start.
 *  @return the name of the next header, with *VALUE set, or NULL at the
 *  end.  */
const char *kq_response_header (const struct kq_response *answer,
                                size_t *position, const char **value);

/** Returns the bytes of memory that ANSWER occupies. */
size_t kq_response_size (const struct kq_response *answer);

#endif

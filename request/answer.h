/** @file
 * An endpoint's answer as it is kept until it is whole: status, headers and
 * a body of bounded size.  References are counted; one thread owns them all.
 */
#ifndef KQ_REQUEST_ANSWER_H
#define KQ_REQUEST_ANSWER_H

#include <stddef.h>

struct kq_answer;

/** Creates an answer with one reference and an empty body that may grow to
 *  BODY_LIMIT bytes; NULL when out of memory.  */
struct kq_answer *kq_answer_create (int status, size_t body_limit);

/** Adds a reference and returns ANSWER. */
struct kq_answer *kq_answer_ref (struct kq_answer *answer);

/** Removes a reference; the last one frees ANSWER.  NULL is ignored. */
void kq_answer_unref (struct kq_answer *answer);

/** Forgets headers and body and sets the status. */
void kq_answer_reset (struct kq_answer *answer, int status);

/** Adds a header.  The lengths are in bytes, without a terminating zero.
 *  @return 0, KQ_ETOOBIG, KQ_ENOMEM, or KQ_ESYNTAX when one holds a zero.  */
int kq_answer_add_header (struct kq_answer *answer, const char *name,
                          size_t name_length, const char *value,
                          size_t value_length);

/** Appends LENGTH bytes to the body.
 *  @return 0, KQ_ETOOBIG or KQ_ENOMEM.  */
int kq_answer_add_body (struct kq_answer *answer, const void *data,
                        size_t length);

int kq_answer_status (const struct kq_answer *answer);
const char *kq_answer_body (const struct kq_answer *answer, size_t *length);

/** Walks through the headers: *POSITION starts at 0.
 *  @return the next header's name with *VALUE set, or NULL at the end.  */
const char *kq_answer_header (const struct kq_answer *answer, size_t *position,
                              const char **value);

/** Bytes that ANSWER occupies. */
size_t kq_answer_size (const struct kq_answer *answer);

#endif

/** @file
 * Names of hosts, workers, jobs and services: strings of limited length that
 * are copied by value.
 */
#ifndef KQ_BASE_NAME_H
#define KQ_BASE_NAME_H

#include <stdbool.h>
#include <stddef.h>

/** Maximum size of a name in bytes, including the terminating zero. */
#define KQ_NAME_SIZE 48

/** A name of letters, digits, '-', '_', '.' and '/'; empty until it is set. */
struct kq_name
{
  char text[KQ_NAME_SIZE];
};

/** Copies TEXT into NAME.
 *  @return 0, KQ_ETOOBIG if TEXT is too long, or KQ_ESYNTAX if it is empty or
 *  has a character that is not allowed.  After an error NAME is unchanged.  */
int kq_name_set (struct kq_name *name, const char *text);

/** Copies TEXT into BUFFER of SIZE bytes.
 *  @return false if TEXT is too long; BUFFER is empty then.  */
bool kq_text_copy (char *buffer, size_t size, const char *text);

/** Returns whether A and B are equal. */
bool kq_name_eq (const struct kq_name *a, const struct kq_name *b);

/** Returns whether NAME is empty, that is, was never set. */
bool kq_name_empty (const struct kq_name *name);

#endif

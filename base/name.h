/** @file
 * Names of hosts, workers, jobs and services: short bounded strings that
 * are copied by value.
 */
#ifndef KQ_BASE_NAME_H
#define KQ_BASE_NAME_H

#include <stdbool.h>

/** Longest name in bytes, with its terminating zero. */
#define KQ_NAME_SIZE 48

/** A name: letters, digits, '-', '_', '.' and '/'; never empty once set. */
struct kq_name
{
  char text[KQ_NAME_SIZE];
};

/** Copies TEXT into NAME.
 *  @return 0, KQ_ETOOBIG when it is too long, KQ_ESYNTAX when it is empty or
 *  holds a character that names do not allow.  NAME is unchanged then.  */
int kq_name_set (struct kq_name *name, const char *text);

/** Returns whether A and B are equal. */
bool kq_name_eq (const struct kq_name *a, const struct kq_name *b);

/** Returns whether NAME was never set. */
bool kq_name_empty (const struct kq_name *name);

#endif

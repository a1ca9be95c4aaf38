/** @file
 * Cursors of tests that answer in the place of the store.
 */
#ifndef KQ_T_LIB_CURSOR_H
#define KQ_T_LIB_CURSOR_H

#include <string.h>

#include "platform/store.h"

/** Returns the cursor that follows the last of COUNT rows; unset without
 *  rows.  */
static inline struct kq_store_cursor
cursor_after (const struct kq_store_row *rows, size_t count)
{
  struct kq_store_cursor cursor = { .is_set = count > 0 };

  if (count == 0)
    return cursor;
  cursor.size = rows[count - 1].key_size;
  memcpy (cursor.key, rows[count - 1].key, cursor.size);
  return cursor;
}

/** Returns whether CURSOR follows KEY; "": whether it is unset. */
static inline bool
cursor_is (const struct kq_store_cursor *cursor, const char *key)
{
  if (key[0] == '\0')
    return !cursor->is_set;
  return cursor->is_set && cursor->size == strlen (key)
         && memcmp (cursor->key, key, cursor->size) == 0;
}

#endif

#include "base/name.h"

#include <ctype.h>
#include <string.h>

#include "base/err.h"

static bool
is_allowed (unsigned char c)
{
  return isalnum (c) || strchr ("-_./", c) != NULL;
}

int
kq_name_set (struct kq_name *name, const char *text)
{
  size_t length = strlen (text);

  if (length == 0)
    return KQ_ESYNTAX;
  if (length >= KQ_NAME_SIZE)
    return KQ_ETOOBIG;
  for (size_t i = 0; i < length; i++)
    if (!is_allowed ((unsigned char)text[i]))
      return KQ_ESYNTAX;
  memset (name->text, 0, sizeof name->text);
  memcpy (name->text, text, length);
  return 0;
}

bool
kq_text_copy (char *buffer, size_t size, const char *text)
{
  size_t length = strlen (text);

  buffer[0] = '\0';
  if (length >= size)
    return false;
  memcpy (buffer, text, length + 1);
  return true;
}

bool
kq_name_eq (const struct kq_name *a, const struct kq_name *b)
{
  return strcmp (a->text, b->text) == 0;
}

bool
kq_name_empty (const struct kq_name *name)
{
  return name->text[0] == '\0';
}

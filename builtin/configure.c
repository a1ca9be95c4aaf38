/* kumquatrack configure */

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "builtin/builtin.h"

static const struct kq_tool_usage usage = {
  "configure",
  "base REVISION FILE|-|JSON",
  "Publishes a configuration that is based on REVISION (0 for the first\n"
  "one).  The document is read from FILE, from standard input if FILE is -,\n"
  "or taken as it is if it begins with {.  If another revision was published\n"
  "first, the command is refused and the error names the current revision.\n",
};

/** Reads all of FILE into a new string.
 *  @return NULL if FILE can't be read, has zero bytes or is longer than
 *  KQ_QUERY_TEXT_MAX.  */
static char *
read_stream (FILE *file)
{
  char *text = malloc (KQ_QUERY_TEXT_MAX + 1);
  size_t length;

  if (text == NULL)
    return NULL;
  length = fread (text, 1, KQ_QUERY_TEXT_MAX, file);
  if (ferror (file) || !feof (file) || memchr (text, '\0', length) != NULL)
    {
      free (text);
      return NULL;
    }
  text[length] = '\0';
  return text;
}

static char *
read_document (const char *name)
{
  FILE *file;
  char *text;

  if (strcmp (name, "-") == 0)
    return read_stream (stdin);
  file = fopen (name, "re");
  if (file == NULL)
    return NULL;
  text = read_stream (file);
  fclose (file);
  return text;
}

/** Replaces the last word of *TEXT, a file name, with the file's contents.
 *  @return KQ_STATUS_OK also if the word is missing: the parser then reports
 *  what is missing.  */
static enum kq_exit_status
insert_document (char **text)
{
  char *name = strrchr (*text, ' ');
  char *document;
  char *whole = NULL;

  /* "configure base REVISION FILE": the name is the fourth word. */
  if (name == NULL || strchr (*text, '{') != NULL)
    return KQ_STATUS_OK;
  if (strncmp (*text, "configure base ", 15) != 0 || name < *text + 15)
    return KQ_STATUS_OK;
  document = read_document (name + 1);
  if (document == NULL)
    {
      fprintf (stderr,
               "kumquatrack: %s: can't be read, or exceeds 1 MiB of text\n",
               name + 1);
      return KQ_STATUS_USAGE;
    }
  *name = '\0';
  if (asprintf (&whole, "%s %s", *text, document) < 0)
    whole = NULL;
  free (document);
  free (*text);
  *text = whole;
  return whole ? KQ_STATUS_OK : KQ_STATUS_USAGE;
}

int
kq_cmd_configure (int argc, char **argv)
{
  struct kq_tool_options options;
  char *text;
  enum kq_exit_status status
      = kq_tool_parse (argc, argv, &usage, &options, &text);

  if (text != NULL)
    status = insert_document (&text);
  if (text != NULL && status == KQ_STATUS_OK)
    status = kq_tool_run (&options, text);
  free (text);
  kq_tool_options_clear (&options);
  return status;
}

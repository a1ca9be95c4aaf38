/* kumquatrack configure */

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "builtin/builtin.h"

static const struct kq_tool_usage usage = {
  "configure",
  "base REVISION FILE|-|JSON",
  "Publishes a configuration that was made from REVISION (0 for the first\n"
  "one).  The document is read from FILE, from standard input for -, or\n"
  "given as it is when it begins with {.  When another revision came first\n"
  "the command is refused and the revision in force is named.\n",
};

/** Reads FILE whole, up to the longest command, into a new string. */
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

/** Replaces the file named by the last word of *TEXT with its contents.
 *  @return KQ_STATUS_OK also when there is no such word: the parser then
 *  says what is missing.  */
static enum kq_status
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
  enum kq_status status = kq_tool_parse (argc, argv, &usage, &options, &text);

  if (text != NULL)
    status = insert_document (&text);
  if (text != NULL && status == KQ_STATUS_OK)
    status = kq_tool_run (&options, text);
  free (text);
  kq_tool_options_clear (&options);
  return status;
}

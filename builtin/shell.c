/* kumquatrack shell */

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "builtin/builtin.h"

static const struct kq_tool_usage usage = {
  "shell",
  "",
  "Reads commands from standard input, one per line, and runs each.  Empty\n"
  "lines and lines that begin with # are ignored.  The exit status is that\n"
  "of the first command that failed.\n",
};

/** Runs the command in LINE; empty lines and comments are ignored. */
static enum kq_exit_status
run_line (const struct kq_tool_options *options, char *line)
{
  line[strcspn (line, "\n")] = '\0';
  line += strspn (line, " \t");
  if (*line == '\0' || *line == '#')
    return KQ_STATUS_OK;
  return kq_tool_run (options, line);
}

static enum kq_exit_status
run_lines (const struct kq_tool_options *options)
{
  bool prompt = isatty (STDIN_FILENO);
  enum kq_exit_status status = KQ_STATUS_OK;
  char *line = NULL;
  size_t size = 0;

  for (;;)
    {
      enum kq_exit_status line_status;

      if (prompt)
        {
          fputs ("kumquatrack> ", stdout);
          fflush (stdout);
        }
      if (getline (&line, &size, stdin) < 0)
        break;
      line_status = run_line (options, line);
      if (status == KQ_STATUS_OK)
        status = line_status;
    }
  free (line);
  return status;
}

int
kq_cmd_shell (int argc, char **argv)
{
  struct kq_tool_options options;
  char *text;
  enum kq_exit_status status
      = kq_tool_parse (argc, argv, &usage, &options, &text);

  if (text != NULL && strcmp (text, usage.name) != 0)
    {
      fputs ("kumquatrack: shell takes its commands from standard input\n",
             stderr);
      status = KQ_STATUS_USAGE;
    }
  else if (text != NULL)
    status = run_lines (&options);
  free (text);
  kq_tool_options_clear (&options);
  return status;
}

/** @file
 * The operators' command-line tool: runs the subcommand that is given.
 */

#include <curl/curl.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/version.h"
#include "builtin/builtin.h"

struct subcommand
{
  const char *name;
  int (*run) (int argc, char **argv);
  const char *summary; /**< one line of help */
};

static const struct subcommand subcommands[] = {
  { "show", kq_cmd_show, "show hosts, workers, jobs, tasks, configuration" },
  { "why", kq_cmd_why, "show where a task or request is, or why it waits" },
  { "trace", kq_cmd_trace, "show the hops of one request or task" },
  { "submit", kq_cmd_submit, "submit a job" },
  { "cancel", kq_cmd_cancel, "cancel a job" },
  { "drain", kq_cmd_drain, "move work away from a worker or entry host" },
  { "undrain", kq_cmd_undrain, "return a worker or entry host to service" },
  { "configure", kq_cmd_configure, "publish a configuration" },
  { "shell", kq_cmd_shell, "read commands from standard input" },
  { "explain", kq_cmd_explain, "show where a job would be placed, and why" },
  { "load", kq_cmd_load, "send requests and measure the responses" },
};

#define SUBCOMMAND_COUNT (sizeof (subcommands) / sizeof (subcommands[0]))

static void
print_help (void)
{
  puts ("Usage: kumquatrack [FLAG]... COMMAND [WORD]...\n"
        "       kumquatrack COMMAND --help\n"
        "       kumquatrack --help | --version\n\n"
        "Commands:");
  for (size_t i = 0; i < SUBCOMMAND_COUNT; i++)
    printf ("  %-10s %s\n", subcommands[i].name, subcommands[i].summary);
  puts ("\nFlags of every command: --admin URL (or KUMQUATRACK_ADMIN), "
        "--json,\n--watch SECONDS, --timeout SECONDS.");
  kq_tool_print_exit_statuses ();
}

/** Reports a missing (WORD is NULL) or unknown subcommand and exits. */
static void __attribute__ ((noreturn)) die_usage (const char *word)
{
  if (word == NULL)
    fputs ("kumquatrack: a command is missing; see kumquatrack --help\n",
           stderr);
  else
    fprintf (stderr,
             "kumquatrack: '%s' is no command; see kumquatrack --help\n",
             word);
  exit (KQ_STATUS_USAGE);
}

static const struct subcommand *
find_subcommand (const char *name)
{
  for (size_t i = 0; i < SUBCOMMAND_COUNT; i++)
    if (strcmp (subcommands[i].name, name) == 0)
      return &subcommands[i];
  return NULL;
}

/** Returns whether the next word is the value of the flag WORD. */
static bool
takes_value (const char *word)
{
  return strcmp (word, "--admin") == 0 || strcmp (word, "--watch") == 0
         || strcmp (word, "--timeout") == 0;
}

/** Returns the index of the first word after the leading flags, which is the
 *  subcommand, or ARGC if there is none.  */
static int
find_subcommand_index (int argc, char **argv)
{
  int i = 1;

  while (i < argc && argv[i][0] == '-')
    i += takes_value (argv[i]) ? 2 : 1;
  return i < argc ? i : argc;
}

/** Moves the word at INDEX to argv[0], which held the program's name, and
 *  closes the gap that it leaves.  */
static void
move_to_front (int argc, char **argv, int index)
{
  argv[0] = argv[index];
  for (int i = index; i < argc; i++)
    argv[i] = argv[i + 1];
}

int
main (int argc, char **argv)
{
  const struct subcommand *subcommand;
  int index = find_subcommand_index (argc, argv);
  int status;

  if (argc == 2 && strcmp (argv[1], "--version") == 0)
    return puts ("kumquatrack " KQ_VERSION) == EOF;
  if (argc == 2
      && (strcmp (argv[1], "--help") == 0 || strcmp (argv[1], "-h") == 0))
    {
      print_help ();
      return KQ_STATUS_OK;
    }
  if (index == argc)
    die_usage (NULL);
  subcommand = find_subcommand (argv[index]);
  if (subcommand == NULL)
    die_usage (argv[index]);
  move_to_front (argc, argv, index);
  curl_global_init (CURL_GLOBAL_DEFAULT);
  status = subcommand->run (argc - 1, argv);
  curl_global_cleanup ();
  return status;
}

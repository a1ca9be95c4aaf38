/** @file
 * The operators' command-line tool: finds the subcommand and runs it.
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
  const char *text; /**< one line of help */
};

static const struct subcommand subcommands[] = {
  { "show", kq_cmd_show, "show hosts, workers, jobs, tasks, configuration" },
  { "why", kq_cmd_why, "say where a task or request is, or why it waits" },
  { "trace", kq_cmd_trace, "show the hops of one request or task" },
  { "submit", kq_cmd_submit, "submit a job" },
  { "cancel", kq_cmd_cancel, "cancel a job" },
  { "drain", kq_cmd_drain, "take work away from a worker or entry host" },
  { "undrain", kq_cmd_undrain, "let a worker or entry host take work again" },
  { "configure", kq_cmd_configure, "publish a configuration" },
  { "shell", kq_cmd_shell, "read commands from standard input" },
  { "load", kq_cmd_load, "send requests and measure the answers" },
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
    printf ("  %-10s %s\n", subcommands[i].name, subcommands[i].text);
  puts ("\nFlags of every command: --admin URL (or KUMQUATRACK_ADMIN), "
        "--json,\n--watch SECONDS, --timeout SECONDS.");
  kq_tool_print_statuses ();
}

/** Ends the process because of a wrong subcommand. */
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

/** Whether the flag WORD takes the next word as its value. */
static bool
takes_value (const char *word)
{
  return strcmp (word, "--admin") == 0 || strcmp (word, "--watch") == 0
         || strcmp (word, "--timeout") == 0;
}

/** Returns the place of the subcommand behind leading flags, or ARGC. */
static int
find_word (int argc, char **argv)
{
  int i = 1;

  while (i < argc && argv[i][0] == '-')
    i += takes_value (argv[i]) ? 2 : 1;
  return i < argc ? i : argc;
}

/** Puts the word at PLACE where the program's name was and closes the gap. */
static void
move_to_front (int argc, char **argv, int place)
{
  argv[0] = argv[place];
  for (int i = place; i < argc; i++)
    argv[i] = argv[i + 1];
}

int
main (int argc, char **argv)
{
  const struct subcommand *subcommand;
  int place = find_word (argc, argv);
  int status;

  if (argc == 2 && strcmp (argv[1], "--version") == 0)
    return puts ("kumquatrack " KQ_VERSION) == EOF;
  if (argc == 2
      && (strcmp (argv[1], "--help") == 0 || strcmp (argv[1], "-h") == 0))
    {
      print_help ();
      return KQ_STATUS_OK;
    }
  if (place == argc)
    die_usage (NULL);
  subcommand = find_subcommand (argv[place]);
  if (subcommand == NULL)
    die_usage (argv[place]);
  move_to_front (argc, argv, place);
  curl_global_init (CURL_GLOBAL_DEFAULT);
  status = subcommand->run (argc - 1, argv);
  curl_global_cleanup ();
  return status;
}

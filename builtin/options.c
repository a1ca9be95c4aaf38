/* Parsing of a subcommand's flags and words. */

#include <argtable2.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "builtin/builtin.h"

#define TIMEOUT_DEFAULT_SEC 12.0
#define TIMEOUT_MIN_SEC 0.1
#define TIMEOUT_MAX_SEC 600.0
#define WATCH_MIN_SEC 0.1
#define WATCH_MAX_SEC 3600.0
#define FLAG_ERRORS_MAX 4

/** The argument table of argtable2; its members are the table's entries, so
 *  all of them are pointers and "end" is last.  */
struct flags
{
  struct arg_str *admin;
  struct arg_lit *json;
  struct arg_dbl *watch;
  struct arg_dbl *timeout;
  struct arg_lit *help;
  struct arg_str *words;
  struct arg_end *end;
};

#define FLAG_COUNT (sizeof (struct flags) / sizeof (void *))

static void
flags_init (struct flags *flags)
{
  flags->admin = arg_strn (NULL, "admin", "URL", 0, KQ_TOOL_URLS_MAX,
                           "entry host to use, such as http://10.0.0.1:7071");
  flags->json = arg_lit0 (NULL, "json", "print the response as JSON");
  flags->watch = arg_dbl0 (NULL, "watch", "SECONDS",
                           "repeat the query at this interval, 0.1 to 3600");
  flags->timeout
      = arg_dbl0 (NULL, "timeout", "SECONDS",
                  "time-out for each entry host, 0.1 to 600 (default 12)");
  flags->help = arg_lit0 ("h", "help", "print this help");
  flags->words
      = arg_strn (NULL, NULL, "WORD", 0, KQ_TOOL_WORDS_MAX, "the command");
  flags->end = arg_end (FLAG_ERRORS_MAX);
}

void
kq_tool_print_exit_statuses (void)
{
  puts ("\nExit status:\n"
        "  0  answered, or the change was accepted\n"
        "  1  refused by the system; nothing was changed\n"
        "  2  a flag or a word of the command is invalid; nothing was sent\n"
        "  3  no entry host answered; nothing was changed\n"
        "  4  the outcome is unknown: the change may have taken effect");
}

static void
print_help (const struct kq_tool_usage *usage, struct flags *flags)
{
  printf ("Usage: kumquatrack %s [FLAG]... %s\n\n%s\n", usage->name,
          usage->arguments, usage->description);
  arg_print_glossary (stdout, (void **)flags, "  %-20s %s\n");
  puts (
      "\nIf --admin is repeated, the entry hosts are tried in order.  "
      "Without\n"
      "--admin, those in KUMQUATRACK_ADMIN, separated by commas, are tried.");
  kq_tool_print_exit_statuses ();
}

/** Reads the addresses of entry hosts from the flags or, without --admin, from
 *  the environment.  */
static enum kq_exit_status
read_urls (const struct flags *flags, struct kq_tool_options *options)
{
  const char *list = getenv ("KUMQUATRACK_ADMIN");
  char *rest;
  char *url;

  for (int i = 0; i < flags->admin->count; i++)
    options->urls[options->url_count++] = flags->admin->sval[i];
  if (options->url_count > 0 || list == NULL)
    return KQ_STATUS_OK;
  options->url_list = strdup (list);
  if (options->url_list == NULL)
    return KQ_STATUS_USAGE;
  url = strtok_r (options->url_list, ", ", &rest);
  while (url != NULL && options->url_count < KQ_TOOL_URLS_MAX)
    {
      options->urls[options->url_count++] = url;
      url = strtok_r (NULL, ", ", &rest);
    }
  return KQ_STATUS_OK;
}

/** Reads the flag NAME, in seconds, into *VALUE; if the flag is absent, *VALUE
 *  is unchanged.  */
static enum kq_exit_status
read_seconds (const char *name, const struct arg_dbl *flag, double min,
              double max, double *value)
{
  if (flag->count == 0)
    return KQ_STATUS_OK;
  if (!(flag->dval[0] >= min && flag->dval[0] <= max))
    {
      fprintf (stderr, "kumquatrack: --%s %g: allowed are %g to %g seconds\n",
               name, flag->dval[0], min, max);
      return KQ_STATUS_USAGE;
    }
  *value = flag->dval[0];
  return KQ_STATUS_OK;
}

static bool
needs_quotes (const char *word)
{
  return *word == '\0' || strpbrk (word, " \t\n") != NULL;
}

/** Joins NAME and WORDS into a new string; returns NULL if out of memory. */
static char *
join_words (const char *name, const struct arg_str *words)
{
  size_t size = strlen (name) + 1;
  char *text;
  char *at;

  for (int i = 0; i < words->count; i++)
    size += strlen (words->sval[i]) + 3;
  text = malloc (size);
  if (text == NULL)
    return NULL;
  at = stpcpy (text, name);
  for (int i = 0; i < words->count; i++)
    {
      const char *word = words->sval[i];
      /* A configuration document is sent unquoted. */
      const char *quote = *word != '{' && needs_quotes (word) ? "\"" : "";

      at = stpcpy (at, " ");
      at = stpcpy (at, quote);
      at = stpcpy (at, word);
      at = stpcpy (at, quote);
    }
  return text;
}

static enum kq_exit_status
read_flags (int argc, char **argv, const struct kq_tool_usage *usage,
            struct flags *flags, struct kq_tool_options *options, char **text)
{
  int errors = arg_parse (argc, argv, (void **)flags);

  if (flags->help->count > 0)
    {
      print_help (usage, flags);
      return KQ_STATUS_OK;
    }
  if (errors > 0)
    {
      arg_print_errors (stderr, flags->end, "kumquatrack");
      return KQ_STATUS_USAGE;
    }
  options->json = flags->json->count > 0;
  if (read_seconds ("watch", flags->watch, WATCH_MIN_SEC, WATCH_MAX_SEC,
                    &options->watch_sec)
          != KQ_STATUS_OK
      || read_seconds ("timeout", flags->timeout, TIMEOUT_MIN_SEC,
                       TIMEOUT_MAX_SEC, &options->timeout_sec)
             != KQ_STATUS_OK
      || read_urls (flags, options) != KQ_STATUS_OK)
    return KQ_STATUS_USAGE;
  *text = join_words (usage->name, flags->words);
  return *text ? KQ_STATUS_OK : KQ_STATUS_USAGE;
}

enum kq_exit_status
kq_tool_parse (int argc, char **argv, const struct kq_tool_usage *usage,
               struct kq_tool_options *options, char **text)
{
  struct flags flags;
  enum kq_exit_status status = KQ_STATUS_USAGE;

  memset (options, 0, sizeof (*options));
  options->timeout_sec = TIMEOUT_DEFAULT_SEC;
  *text = NULL;
  flags_init (&flags);
  if (arg_nullcheck ((void **)&flags) == 0)
    status = read_flags (argc, argv, usage, &flags, options, text);
  arg_freetable ((void **)&flags, FLAG_COUNT);
  return status;
}

void
kq_tool_options_clear (struct kq_tool_options *options)
{
  free (options->url_list);
  memset (options, 0, sizeof (*options));
}

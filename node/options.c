#include "node/options.h"

#include <argtable2.h>
#include <stdbool.h>
#include <stdlib.h>
#include <string.h>

#include "base/err.h"
#include "base/version.h"

/* Port where the platform reads metrics, as set in deploy/system.toml. */
#define DEFAULT_METRICS_PORT 9464
#define MAX_PORT 65535

#define PORT_VARIABLE "KUMQUATRACK_METRICS_PORT"
#define LEVEL_VARIABLE "KUMQUATRACK_LOG_LEVEL"

#define PORT_ALLOWED "0 (none) to 65535"
#define LEVEL_ALLOWED "error, warn, info or debug"

static int
reject (FILE *errors, const char *flag, const char *value, const char *allowed)
{
  fprintf (errors, "kumquatrackd: %s: invalid value \"%s\"; allowed: %s\n",
           flag, value, allowed);
  return KQ_ESETTING;
}

static bool
read_port (const char *text, int *port)
{
  char *end;
  long value = strtol (text, &end, 10);

  if (*text == '\0' || *end != '\0' || value < 0 || value > MAX_PORT)
    return false;
  *port = (int)value;
  return true;
}

/* A flag takes precedence over its environment variable. */
static const char *
value_of (const struct arg_str *flag, const char *variable)
{
  return flag->count > 0 ? flag->sval[flag->count - 1] : getenv (variable);
}

static int
read_values (const struct arg_str *port, const struct arg_str *level,
             FILE *errors, struct kq_node_options *options)
{
  const char *text = value_of (port, PORT_VARIABLE);

  if (text != NULL && !read_port (text, &options->metrics_port))
    return reject (errors, "--metrics-port", text, PORT_ALLOWED);
  text = value_of (level, LEVEL_VARIABLE);
  if (text != NULL && kq_log_level_parse (text, &options->log_level) != 0)
    return reject (errors, "--log-level", text, LEVEL_ALLOWED);
  return KQ_NODE_RUN;
}

static void
show_help (FILE *out)
{
  fprintf (out,
           "Usage: kumquatrackd [OPTION]...\n"
           "Runs one entry host on the platform; its settings file is named "
           "by KUMQUATRACK_NODE_FILE.\n\n"
           "  --metrics-port=PORT\n      port of the metrics "
           "endpoint; " PORT_ALLOWED "; default %d [" PORT_VARIABLE "]\n"
           "  --log-level=LEVEL\n      most detailed level that is "
           "logged; " LEVEL_ALLOWED "; default info [" LEVEL_VARIABLE "]\n"
           "  --help\n      show this text\n"
           "  --version\n      show the version\n",
           DEFAULT_METRICS_PORT);
}

int
kq_node_options_read (int argc, char **argv, FILE *out, FILE *errors,
                      struct kq_node_options *options)
{
  struct arg_str *port = arg_strn (NULL, "metrics-port", "PORT", 0, 8, "");
  struct arg_str *level = arg_strn (NULL, "log-level", "LEVEL", 0, 8, "");
  struct arg_lit *help = arg_lit0 (NULL, "help", "");
  struct arg_lit *version = arg_lit0 (NULL, "version", "");
  struct arg_end *end = arg_end (4);
  void *table[] = { port, level, help, version, end };
  int result = KQ_ENOMEM;

  options->metrics_port = DEFAULT_METRICS_PORT;
  options->log_level = KQ_LOG_INFO;
  if (arg_nullcheck (table) == 0)
    {
      int error_count = arg_parse (argc, argv, table);

      result = KQ_NODE_SHOWN;
      if (help->count > 0)
        show_help (out);
      else if (version->count > 0)
        fprintf (out, "kumquatrackd %s\n", KQ_VERSION);
      else if (error_count > 0)
        result = reject (
            errors, argc > 1 ? argv[1] : "", "",
            "a flag listed by --help, with its value, at most 8 times");
      else
        result = read_values (port, level, errors, options);
    }
  arg_freetable (table, sizeof table / sizeof table[0]);
  return result;
}

#include "daemon/settings.h"

#include <argtable2.h>
#include <ctype.h>
#include <stdbool.h>
#include <stdlib.h>
#include <string.h>

#include "base/address.h"
#include "base/err.h"
#include "base/version.h"

#define ADDRESS_ALLOWED "IPv4:PORT or [IPv6]:PORT, port 1 to 65535"
#define NAME_ALLOWED "1 to 47 letters, digits or -_./"
#define LEVEL_ALLOWED "error, warn, info or debug"
#define VARIABLE_PREFIX "KUMQUATRACK_"

enum setting_type
{
  SETTING_NAME,
  SETTING_ADDRESS,
  SETTING_ADDRESSES, /* comma-separated */
  SETTING_MSEC,
  SETTING_LEVEL
};

struct setting
{
  const char *flag;
  enum setting_type type;
  const char *default_value; /* NULL: required */
  int min;
  int max;
  size_t offset;
  const char *help;
};

#define OFFSET(member) offsetof (struct kq_settings, member)

static const struct setting settings_table[] = {
  { "host", SETTING_NAME, NULL, 0, 0, OFFSET (host),
    "name of this entry host" },
  { "zone", SETTING_NAME, NULL, 0, 0, OFFSET (zone), "its availability zone" },
  { "region", SETTING_NAME, NULL, 0, 0, OFFSET (region), "its region" },
  { "listen", SETTING_ADDRESS, "127.0.0.1:8080", 0, 0, OFFSET (listen),
    "HTTP for callers" },
  { "admin-listen", SETTING_ADDRESS, "127.0.0.1:8081", 0, 0,
    OFFSET (admin_listen), "HTTP for operators" },
  { "peer-listen", SETTING_ADDRESS, "127.0.0.1:8082", 0, 0,
    OFFSET (peer_listen), "control messages of other entry hosts" },
  { "hop-listen", SETTING_ADDRESS, "127.0.0.1:8083", 0, 0, OFFSET (hop_listen),
    "requests forwarded by other entry hosts" },
  { "platform", SETTING_ADDRESS, NULL, 0, 0, OFFSET (platform),
    "the platform's log and host list; an http:// prefix is allowed" },
  { "peers", SETTING_ADDRESSES, "", 0, 0, OFFSET (peers),
    "peer-listen addresses of other entry hosts, separated by commas" },
  { "lease-ttl-ms", SETTING_MSEC, "2000", 500, 60000, OFFSET (lease_ttl_ms),
    "length of a worker lease" },
  { "task-ttl-ms", SETTING_MSEC, "6000", 500, 600000, OFFSET (task_ttl_ms),
    "time that a task keeps running without renewal" },
  { "renew-ms", SETTING_MSEC, "500", 50, 20000, OFFSET (renew_ms),
    "time between renewals of a lease" },
  { "drain-ms", SETTING_MSEC, "10000", 0, 600000, OFFSET (drain_ms),
    "maximum wait for work in flight at a planned stop" },
  { "log-level", SETTING_LEVEL, "info", 0, 0, OFFSET (log_level),
    "highest level that is logged" },
};

#define SETTING_COUNT (sizeof settings_table / sizeof settings_table[0])

/* Indexes of the argtable entries that follow those of the settings. */
#define ENTRY_HELP SETTING_COUNT
#define ENTRY_VERSION (SETTING_COUNT + 1)
#define ENTRY_END (SETTING_COUNT + 2)
#define ENTRY_COUNT (SETTING_COUNT + 3)

static const char *const type_placeholders[]
    = { "NAME", "ADDR:PORT", "ADDR:PORT,...", "MSEC", "LEVEL" };

static void
describe_allowed (const struct setting *setting, char *buffer, size_t size)
{
  switch (setting->type)
    {
    case SETTING_NAME:
      snprintf (buffer, size, NAME_ALLOWED);
      break;
    case SETTING_ADDRESS:
      snprintf (buffer, size, ADDRESS_ALLOWED);
      break;
    case SETTING_ADDRESSES:
      snprintf (buffer, size, "up to %d addresses, each %s",
                KQ_SETTINGS_MAX_PEERS, ADDRESS_ALLOWED);
      break;
    case SETTING_MSEC:
      snprintf (buffer, size, "%d to %d ms", setting->min, setting->max);
      break;
    case SETTING_LEVEL:
      snprintf (buffer, size, LEVEL_ALLOWED);
      break;
    }
}

static void
variable_name (const struct setting *setting, char *buffer, size_t size)
{
  snprintf (buffer, size, VARIABLE_PREFIX "%s", setting->flag);
  for (char *c = buffer; *c != '\0'; c++)
    *c = (char)(*c == '-' ? '_' : toupper ((unsigned char)*c));
}

static int
set_value_error (struct kq_settings_error *error,
                 const struct setting *setting, const char *value)
{
  snprintf (error->flag, sizeof error->flag, "--%s", setting->flag);
  snprintf (error->value, sizeof error->value, "%s", value);
  describe_allowed (setting, error->allowed, sizeof error->allowed);
  return KQ_ESETTING;
}

static bool
read_address (const char *text, char *address)
{
  static const char scheme[] = "http://";
  struct sockaddr_storage unused;

  if (strncmp (text, scheme, strlen (scheme)) == 0)
    text += strlen (scheme);
  if (strlen (text) >= KQ_ADDRESS_SIZE || !kq_address_parse (text, &unused))
    return false;
  snprintf (address, KQ_ADDRESS_SIZE, "%s", text);
  return true;
}

static bool
read_peers (const char *text, struct kq_settings *settings)
{
  char address[KQ_ADDRESS_SIZE];

  settings->peer_count = 0;
  while (*text != '\0')
    {
      size_t length = strcspn (text, ",");

      if (length >= sizeof address
          || settings->peer_count == KQ_SETTINGS_MAX_PEERS)
        return false;
      snprintf (address, sizeof address, "%.*s", (int)length, text);
      if (!read_address (address, settings->peers[settings->peer_count]))
        return false;
      settings->peer_count++;
      text += length;
      if (*text == ',')
        text++;
    }
  return true;
}

static bool
read_msec (const struct setting *setting, const char *text, int *ms)
{
  char *end;
  long value = strtol (text, &end, 10);

  if (!isdigit ((unsigned char)*text) || *end != '\0' || value < setting->min
      || value > setting->max)
    return false;
  *ms = (int)value;
  return true;
}

static bool
read_value (const struct setting *setting, const char *text,
            struct kq_settings *settings)
{
  void *member = (char *)settings + setting->offset;

  switch (setting->type)
    {
    case SETTING_NAME:
      return kq_name_set (member, text) == 0;
    case SETTING_ADDRESS:
      return read_address (text, member);
    case SETTING_ADDRESSES:
      return read_peers (text, settings);
    case SETTING_MSEC:
      return read_msec (setting, text, member);
    case SETTING_LEVEL:
      return kq_log_level_parse (text, member) == 0;
    }
  return false;
}

/* If a renewal is lost, another one must follow before the lease expires.  A
   task must not expire before the lease of its owner.  */
static int
check_combinations (const struct kq_settings *settings,
                    struct kq_settings_error *error)
{
  if (settings->renew_ms * 3 > settings->lease_ttl_ms)
    {
      snprintf (error->flag, sizeof error->flag, "--renew-ms");
      snprintf (error->value, sizeof error->value, "%d", settings->renew_ms);
      snprintf (error->allowed, sizeof error->allowed,
                "at most a third of --lease-ttl-ms: %d ms",
                settings->lease_ttl_ms / 3);
      return KQ_ESETTING;
    }
  if (settings->task_ttl_ms < settings->lease_ttl_ms)
    {
      snprintf (error->flag, sizeof error->flag, "--task-ttl-ms");
      snprintf (error->value, sizeof error->value, "%d",
                settings->task_ttl_ms);
      snprintf (error->allowed, sizeof error->allowed,
                "at least --lease-ttl-ms: %d ms", settings->lease_ttl_ms);
      return KQ_ESETTING;
    }
  return 0;
}

static int
read_settings (void **entries, struct kq_settings *settings,
               struct kq_settings_error *error)
{
  for (size_t i = 0; i < SETTING_COUNT; i++)
    {
      const struct setting *setting = &settings_table[i];
      const struct arg_str *flag = entries[i];
      const char *value = setting->default_value;
      char variable[64];

      variable_name (setting, variable, sizeof variable);
      if (getenv (variable) != NULL)
        value = getenv (variable);
      if (flag->count > 0)
        value = flag->sval[flag->count - 1];
      if (value == NULL || !read_value (setting, value, settings))
        return set_value_error (error, setting, value == NULL ? "" : value);
    }
  return check_combinations (settings, error);
}

static void
show_help (FILE *out)
{
  fprintf (out, "Usage: kumquatrackd [OPTION]...\n"
                "Runs one entry host of kumquatrack.\n\n");
  for (size_t i = 0; i < SETTING_COUNT; i++)
    {
      const struct setting *setting = &settings_table[i];
      char allowed[128];
      char variable[64];

      describe_allowed (setting, allowed, sizeof allowed);
      variable_name (setting, variable, sizeof variable);
      fprintf (out, "  --%s=%s\n      %s; %s;\n      ", setting->flag,
               type_placeholders[setting->type], setting->help, allowed);
      if (setting->default_value == NULL)
        fprintf (out, "required [%s]\n", variable);
      else
        fprintf (out, "default \"%s\" [%s]\n", setting->default_value,
                 variable);
    }
  fprintf (out, "  --help\n      show this text\n"
                "  --version\n      show the version\n");
}

static int
build_entries (void **entries)
{
  for (size_t i = 0; i < SETTING_COUNT; i++)
    entries[i] = arg_strn (NULL, settings_table[i].flag,
                           type_placeholders[settings_table[i].type], 0, 8,
                           settings_table[i].help);
  entries[ENTRY_HELP] = arg_lit0 (NULL, "help", "show this text");
  entries[ENTRY_VERSION] = arg_lit0 (NULL, "version", "show the version");
  entries[ENTRY_END] = arg_end (8);
  return arg_nullcheck (entries) == 0 ? 0 : KQ_ENOMEM;
}

/* Sets ERROR to the first command line argument that argtable rejects. */
static int
set_flag_error (int argc, char **argv, const struct arg_end *end,
                struct kq_settings_error *error)
{
  const char *word = end->argval[0] != NULL ? end->argval[0] : "";

  for (int i = 1; i < argc && *word == '\0'; i++)
    if (strncmp (argv[i], "--", 2) != 0)
      word = argv[i];
  snprintf (error->flag, sizeof error->flag, "%s", word);
  error->value[0] = '\0';
  snprintf (error->allowed, sizeof error->allowed,
            "a flag listed by --help, with its value, at most 8 times");
  return KQ_ESETTING;
}

int
kq_settings_read (int argc, char **argv, FILE *out,
                  struct kq_settings *settings,
                  struct kq_settings_error *error)
{
  void *entries[ENTRY_COUNT] = { NULL };
  int result = build_entries (entries);

  memset (settings, 0, sizeof *settings);
  memset (error, 0, sizeof *error);
  if (result == 0)
    {
      int error_count = arg_parse (argc, argv, entries);

      if (((struct arg_lit *)entries[ENTRY_HELP])->count > 0)
        {
          show_help (out);
          result = KQ_SETTINGS_EXIT;
        }
      else if (((struct arg_lit *)entries[ENTRY_VERSION])->count > 0)
        {
          fprintf (out, "kumquatrackd %s\n", KQ_VERSION);
          result = KQ_SETTINGS_EXIT;
        }
      else if (error_count > 0)
        result = set_flag_error (argc, argv, entries[ENTRY_END], error);
      else
        result = read_settings (entries, settings, error);
    }
  arg_freetable (entries, ENTRY_COUNT);
  return result;
}

void
kq_settings_print_error (FILE *file, const struct kq_settings_error *error)
{
  if (error->value[0] == '\0')
    fprintf (file, "kumquatrackd: %s: missing or invalid; allowed: %s\n",
             error->flag, error->allowed);
  else
    fprintf (file, "kumquatrackd: %s: invalid value \"%s\"; allowed: %s\n",
             error->flag, error->value, error->allowed);
}

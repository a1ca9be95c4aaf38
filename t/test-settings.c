#include <stdlib.h>
#include <string.h>

#include "base/err.h"
#include "daemon/settings.h"
#include "t/kqtest.h"

#define MAX_ARGS 12

static struct kq_settings settings;
static struct kq_settings_error error;
static char printed[8192];

/* Reads settings from the required flags, followed by the words of LINE. */
static int
read_arguments (const char *line)
{
  char copy[512];
  char *argv[MAX_ARGS] = { "kumquatrackd", "--host=h", "--zone=z",
                           "--region=r", "--platform=http://127.0.0.1:9" };
  int argc = 5;
  FILE *out = fmemopen (printed, sizeof printed, "w");
  int result;

  snprintf (copy, sizeof copy, "%s", line);
  for (char *word = strtok (copy, " "); word != NULL && argc < MAX_ARGS;
       word = strtok (NULL, " "))
    argv[argc++] = word;
  result = kq_settings_read (argc, argv, out, &settings, &error);
  fclose (out);
  return result;
}

static void
test_invalid_settings_are_reported (void)
{
  static const struct
  {
    const char *line;
    const char *flag;
    const char *value;
    const char *allowed;
  } cases[] = {
    { "--lease-ttl-ms=7", "--lease-ttl-ms", "7", "500 to 60000 ms" },
    { "--lease-ttl-ms=2s", "--lease-ttl-ms", "2s", "500 to 60000 ms" },
    { "--drain-ms=-1", "--drain-ms", "-1", "0 to 600000 ms" },
    { "--drain-ms=99999999999999999999", "--drain-ms", "99999999999999999999",
      "0 to 600000 ms" },
    { "--renew-ms=900", "--renew-ms", "900", "at most a third" },
    { "--task-ttl-ms=1999", "--task-ttl-ms", "1999", "at least" },
    { "--listen=localhost:80", "--listen", "localhost:80", "port 1 to 65535" },
    { "--listen=127.0.0.1:0", "--listen", "127.0.0.1:0", "port 1 to 65535" },
    { "--listen=127.0.0.1:65536", "--listen", "127.0.0.1:65536", "65535" },
    { "--listen=::1:80", "--listen", "::1:80", "[IPv6]:PORT" },
    { "--peers=127.0.0.1:1,x", "--peers", "127.0.0.1:1,x",
      "up to 64 addresses" },
    { "--zone=a/b --zone=a+b", "--zone", "a+b", "letters" },
    { "--log-level=loud", "--log-level", "loud", "error, warn, info" },
    { "--nonsense", "--nonsense", "", "--help" },
    { "stray", "stray", "", "--help" },
  };

  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      CU_ASSERT_EQUAL (read_arguments (cases[i].line), KQ_ESETTING);
      CU_ASSERT_STRING_EQUAL (error.flag, cases[i].flag);
      CU_ASSERT_STRING_EQUAL (error.value, cases[i].value);
      CU_ASSERT_PTR_NOT_NULL (strstr (error.allowed, cases[i].allowed));
    }
}

static void
test_flag_overrides_variable (void)
{
  setenv ("KUMQUATRACK_LEASE_TTL_MS", "3000", 1);
  CU_ASSERT_EQUAL (read_arguments (""), KQ_SETTINGS_RUN);
  CU_ASSERT_EQUAL (settings.lease_ttl_ms, 3000);
  CU_ASSERT_EQUAL (read_arguments ("--lease-ttl-ms=4000"), KQ_SETTINGS_RUN);
  CU_ASSERT_EQUAL (settings.lease_ttl_ms, 4000);
  setenv ("KUMQUATRACK_LEASE_TTL_MS", "x", 1);
  CU_ASSERT_EQUAL (read_arguments (""), KQ_ESETTING);
  CU_ASSERT_STRING_EQUAL (error.flag, "--lease-ttl-ms");
  unsetenv ("KUMQUATRACK_LEASE_TTL_MS");
}

static void
test_values_are_read (void)
{
  CU_ASSERT_EQUAL (
      read_arguments ("--listen [::1]:80 --peers 127.0.0.1:1,127.0.0.1:2"),
      KQ_SETTINGS_RUN);
  CU_ASSERT_STRING_EQUAL (settings.host.text, "h");
  CU_ASSERT_STRING_EQUAL (settings.platform, "127.0.0.1:9");
  CU_ASSERT_STRING_EQUAL (settings.listen, "[::1]:80");
  CU_ASSERT_EQUAL (settings.peer_count, 2);
  CU_ASSERT_STRING_EQUAL (settings.peers[1], "127.0.0.1:2");
  CU_ASSERT_EQUAL (settings.log_level, KQ_LOG_INFO);
}

static void
test_help_and_version (void)
{
  CU_ASSERT_EQUAL (read_arguments ("--help"), KQ_SETTINGS_EXIT);
  CU_ASSERT_PTR_NOT_NULL (strstr (printed, "KUMQUATRACK_LEASE_TTL_MS"));
  CU_ASSERT_PTR_NOT_NULL (strstr (printed, "500 to 60000 ms"));
  CU_ASSERT_EQUAL (read_arguments ("--version"), KQ_SETTINGS_EXIT);
  CU_ASSERT_PTR_NOT_NULL (strstr (printed, "kumquatrackd "));
}

static const struct kq_test tests[] = {
  { "invalid settings are reported", test_invalid_settings_are_reported },
  { "flag overrides variable", test_flag_overrides_variable },
  { "values are read", test_values_are_read },
  { "help and version", test_help_and_version },
};

KQ_TEST_MAIN ("settings", tests)

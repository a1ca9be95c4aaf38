/* Tests of the operators' query language. */

#include <stdlib.h>
#include <string.h>

#include "base/err.h"
#include "query/query.h"
#include "t/kqtest.h"

static struct kq_query query;
static struct kq_query_error error;

struct invalid_command
{
  const char *text;
  int err;
  int column;
  const char *word;
  const char *expected; /* substring of the list of expected words */
};

#define SUBMIT "submit job j team t tasks 1 cpu 1 memory 1mb "

static const struct invalid_command invalid_commands[] = {
  { "", KQ_EQUERY_END, 1, "", "show, why" },
  { "shw hosts", KQ_EQUERY_WORD, 1, "shw", "" },
  { "show", KQ_EQUERY_END, 5, "", "hosts" },
  { "show hots", KQ_EQUERY_WORD, 6, "hots", "hosts" },
  { "show hosts wher a = b", KQ_EQUERY_WORD, 12, "wher", "where" },
  { "show hosts where", KQ_EQUERY_END, 17, "", "" },
  { "show hosts where a", KQ_EQUERY_END, 19, "", "<=" },
  { "show hosts where a == b", KQ_EQUERY_WORD, 21, "=", "" },
  { "show hosts where a = b and", KQ_EQUERY_END, 27, "", "" },
  { "show hosts where a = b or c = d", KQ_EQUERY_WORD, 24, "or", "and" },
  { "show hosts where a = \"b", KQ_EQUERY_WORD, 22, "\"", "" },
  { "show configuration where a = b", KQ_EQUERY_WORD, 20, "where", "end" },
  { "why task j", KQ_EQUERY_WORD, 10, "j", "JOB/INDEX" },
  { "why task j/x", KQ_EQUERY_NUMBER, 12, "x", "whole" },
  { "why task /1", KQ_ESYNTAX, 10, "", "name" },
  { "why task j/100000", KQ_ERANGE, 12, "100000", "99999" },
  { "why host h", KQ_EQUERY_WORD, 5, "host", "job" },
  { "trace a%b", KQ_ESYNTAX, 7, "a%b", "name" },
  { "submit job j", KQ_EQUERY_END, 13, "", "team" },
  { "submit job j team t", KQ_EQUERY_END, 20, "", "tasks" },
  { "submit job j colour red", KQ_EQUERY_WORD, 14, "colour", "" },
  { "submit job j team t team u", KQ_EQUERY_TWICE, 21, "team", "" },
  { "submit job j tasks 0", KQ_ERANGE, 20, "0", "100000" },
  { "submit job j tasks -4", KQ_EQUERY_NUMBER, 20, "-4", "" },
  { "submit job j tasks 2.5", KQ_EQUERY_NUMBER, 20, "2.5", "" },
  { "submit job j cpu 500mb", KQ_EQUERY_UNIT, 18, "500mb", "500m" },
  { "submit job j cpu 3000000", KQ_ERANGE, 18, "3000000", "" },
  { "submit job j memory 256", KQ_EQUERY_UNIT, 21, "256", "256mb" },
  { "submit job j memory 99999999999999999999mb", KQ_ERANGE, 21,
    "99999999999999999999mb", "" },
  { "submit job j memory 9000000000000000tb", KQ_ERANGE, 21,
    "9000000000000000tb", "" },
  { "submit job j run 30", KQ_EQUERY_UNIT, 18, "30", "30s" },
  { "submit job j importance 10", KQ_ERANGE, 25, "10", "0 to 9" },
  { SUBMIT "extra", KQ_EQUERY_WORD, 46, "extra", "" },
  { "cancel j", KQ_EQUERY_WORD, 8, "j", "job" },
  { "cancel job j k", KQ_EQUERY_WORD, 14, "k", "end" },
  { "drain w1", KQ_EQUERY_WORD, 7, "w1", "worker" },
  { "configure base x {}", KQ_EQUERY_NUMBER, 16, "x", "" },
  { "configure base 1", KQ_EQUERY_END, 17, "", "JSON" },
  { "configure base 1 {\"a\":}", KQ_ESYNTAX, 24, "", "" },
  { "configure base 1 {\"a\":1,\"a\":2}", KQ_ESYNTAX, 0, "", "duplicate" },
  { "show\x01hosts", KQ_EQUERY_WORD, 5, "\x01", "" },
  { "show hosts where \xff = 1", KQ_EQUERY_WORD, 18, "\xff", "" },
};

static void
test_invalid_commands (void)
{
  for (size_t i = 0;
       i < sizeof (invalid_commands) / sizeof (invalid_commands[0]); i++)
    {
      const struct invalid_command *invalid = &invalid_commands[i];
      int err = kq_query_parse (invalid->text, &query, &error);
      bool matches
          = err == invalid->err && error.err == err
            && (invalid->column == 0 || error.column == invalid->column)
            && (*invalid->word == '\0'
                || strcmp (error.word, invalid->word) == 0)
            && strstr (error.expected, invalid->expected) != NULL;

      if (!matches)
        printf ("\n'%s': %s column %d word '%s' expected '%s'\n",
                invalid->text, kq_err_name (err), error.column, error.word,
                error.expected);
      CU_ASSERT (matches);
    }
}

static void
test_commands (void)
{
  const struct kq_job *job = &query.u.command.job;

  CU_ASSERT_EQUAL (
      kq_query_parse ("submit job job team team tasks 7 cpu 1.5 memory 2gb "
                      "accelerators 1 run 1.5h zone z-1 importance 9 service",
                      &query, &error),
      0);
  CU_ASSERT_EQUAL (query.kind, KQ_QUERY_COMMAND);
  CU_ASSERT_EQUAL (query.u.command.kind, KQ_CMD_SUBMIT);
  CU_ASSERT_STRING_EQUAL (job->id.text, "job");
  CU_ASSERT_STRING_EQUAL (job->team.text, "team");
  CU_ASSERT_STRING_EQUAL (job->zone.text, "z-1");
  CU_ASSERT_EQUAL (job->tasks, 7);
  CU_ASSERT_EQUAL (job->size.cpu_milli, 1500);
  CU_ASSERT_EQUAL (job->size.memory_mb, 2048);
  CU_ASSERT_EQUAL (job->size.accelerators, 1);
  CU_ASSERT_EQUAL (job->run_ms, 5400000);
  CU_ASSERT_EQUAL (job->importance, 9);
  CU_ASSERT_EQUAL (job->kind, KQ_TASK_SERVICE);
  kq_query_clear (&query);

  CU_ASSERT_EQUAL (kq_query_parse ("undrain host host\n", &query, &error), 0);
  CU_ASSERT_EQUAL (query.u.command.kind, KQ_CMD_UNDRAIN);
  CU_ASSERT_STRING_EQUAL (query.u.command.name.text, "host");

  CU_ASSERT_EQUAL (
      kq_query_parse ("configure base 12 {\"teams\": []}", &query, &error), 0);
  CU_ASSERT_EQUAL (query.u.command.base, 12);
  CU_ASSERT_STRING_EQUAL (query.u.command.text, "{\"teams\": []}");
  kq_query_clear (&query);
  CU_ASSERT_PTR_NULL (query.u.command.text);
}

static void
test_limits (void)
{
  char *text = malloc (KQ_QUERY_TEXT_MAX + 2);

  memset (text, 'a', KQ_QUERY_TEXT_MAX + 1);
  text[KQ_QUERY_TEXT_MAX + 1] = '\0';
  CU_ASSERT_EQUAL (kq_query_parse (text, &query, &error), KQ_ETOOBIG);
  text[KQ_QUERY_TEXT_MAX] = '\0';
  CU_ASSERT_EQUAL (kq_query_parse (text, &query, &error), KQ_EQUERY_WORD);
  memset (text, ' ', KQ_QUERY_TEXT_MAX);
  CU_ASSERT_EQUAL (kq_query_parse (text, &query, &error), KQ_EQUERY_END);
  free (text);
  CU_ASSERT_EQUAL (
      kq_query_parse ("show jobs where a=1 and a=1 and a=1 and a=1 and a=1 "
                      "and a=1 and a=1 and a=1 and a=1",
                      &query, &error),
      KQ_ETOOBIG);
}

static json_t *
rows (void *ctx, enum kq_table table)
{
  (void)ctx;
  switch (table)
    {
    case KQ_TABLE_SHARDS:
      return json_loads ("[{\"name\":\"s1\",\"state\":\"owned\",\"owner\":"
                         "\"h1\"},{\"name\":\"s2\",\"owner\":\"h2\"}]",
                         0, NULL);
    case KQ_TABLE_JOBS:
      return json_loads ("[{\"name\":\"j\",\"kind\":\"batch\",\"state\":"
                         "\"running\"}]",
                         0, NULL);
    case KQ_TABLE_WORKERS:
      return json_loads (
          "[{\"name\":\"w1\",\"memory_mb\":4096,\"cpu_milli\":16000,"
          "\"leaving\":false},{\"name\":\"w2\",\"memory_mb\":512,"
          "\"cpu_milli\":500,\"leaving\":true}]",
          0, NULL);
    case KQ_TABLE_TASKS:
      return json_loads (
          "[{\"name\":\"j/0\",\"state\":\"running\",\"worker\":\"w1\"},"
          "{\"name\":\"j/1\",\"state\":\"waiting\",\"reason\":\"quota\"},"
          "{\"name\":\"j/2\",\"state\":\"waiting\",\"reason\":\"quota\"},"
          "{\"name\":\"jj/0\",\"state\":\"running\"}]",
          0, NULL);
    case KQ_TABLE_HOSTS:
    case KQ_TABLE_SERVICES:
    case KQ_TABLE_HISTORY:
      break;
    }
  return NULL;
}

static json_t *
config (void *ctx)
{
  return ctx ? json_loads ("{\"revision\":5,\"document\":{}}", 0, NULL) : NULL;
}

struct query_case
{
  const char *text;
  int rows;              /* number of rows, or -1 for a refusal */
  const char *substring; /* that the answer contains */
};

static const struct query_case query_cases[] = {
  { "show workers", 2, "\"age_ms\":7" },
  { "show workers where memory_mb > 1gb", 1, "w1" },
  { "show workers where memory_mb >= 512mb and cpu_milli < 600", 1, "w2" },
  { "show workers where cpu_milli = 500m", 1, "w2" },
  { "show workers where leaving = true", 1, "w2" },
  { "show workers where name != w1", 1, "w2" },
  { "show workers where name <= w1", 1, "w1" },
  { "show workers where reason = x", 0, "rows" },
  { "show workers where colour = red", -1, "\"column\":20" },
  { "show tasks where reason = quota", 2, "j/2" },
  { "show hosts", 0, "\"owned_shards\":[\"s1\"],\"shards\":2" },
  { "show configuration", 1, "\"document\":{}" },
  { "why task j/0", 3, "\"item\":\"worker\"" },
  { "why task j/9", 1, "\"item\":\"job\"" },
  { "why task k/0", -1, "KQ_EJOB_UNKNOWN" },
  { "why job j", 3, "\"tasks\":2,\"reason\":\"quota\"" },
  { "why job j", 3, "\"item\":\"job\",\"name\":\"j\",\"kind\":\"batch\"" },
  { "why job k", -1, "KQ_EJOB_UNKNOWN" },
  { "why request abc", -1, "KQ_ENOENT" },
  { "trace abc", -1, "KQ_ENOENT" },
  { "cancel job j", -1, "KQ_EINVAL" },
};

static void
test_answers (void)
{
  struct kq_query_provider provider = {
    .ctx = &provider, .rows = rows, .config = config, .host = "h1", .age_ms = 7
  };

  for (size_t i = 0; i < sizeof (query_cases) / sizeof (query_cases[0]); i++)
    {
      json_t *answer;
      json_t *found;
      char *text;
      bool matches;

      CU_ASSERT_EQUAL (kq_query_parse (query_cases[i].text, &query, &error),
                       0);
      answer = kq_query_answer (&query, &provider);
      found = json_object_get (answer, "rows");
      text = json_dumps (answer, JSON_COMPACT);
      matches = strstr (text, query_cases[i].substring) != NULL
                && strstr (text, "\"revision\":5") != NULL
                && (found ? (int)json_array_size (found) : -1)
                       == query_cases[i].rows;
      if (!matches)
        printf ("\n'%s': %s\n", query_cases[i].text, text);
      CU_ASSERT (matches);
      free (text);
      json_decref (answer);
      kq_query_clear (&query);
    }
}

static void
test_no_configuration (void)
{
  struct kq_query_provider provider = { .config = config };
  json_t *answer;

  kq_query_parse ("show configuration", &query, &error);
  answer = kq_query_answer (&query, &provider);
  CU_ASSERT_STRING_EQUAL (
      json_string_value (json_object_get (answer, "error")),
      "KQ_ECONFIG_NONE");
  json_decref (answer);
}

static void
test_command_results (void)
{
  static const struct
  {
    int err;
    const char *result;
  } outcomes[] = { { 0, "accepted" },
                   { KQ_ECONFIG_CONFLICT, "refused" },
                   { KQ_ELOG_BUSY, "refused" },
                   { KQ_ELOG_DOWN, "refused" },
                   { KQ_ELOG_UNKNOWN, "unknown" } };

  kq_query_parse ("drain worker w1", &query, &error);
  for (size_t i = 0; i < sizeof (outcomes) / sizeof (outcomes[0]); i++)
    {
      json_t *reply = kq_query_command_result (&query, outcomes[i].err, 9);

      CU_ASSERT_STRING_EQUAL (
          json_string_value (json_object_get (reply, "result")),
          outcomes[i].result);
      CU_ASSERT_EQUAL (json_integer_value (json_object_get (reply, "number")),
                       outcomes[i].err);
      json_decref (reply);
    }
}

static void
test_error_messages (void)
{
  char buffer[512];
  json_t *json;

  kq_query_parse ("show hots", &query, &error);
  kq_query_error_print (&error, "show hots", buffer, sizeof (buffer));
  CU_ASSERT_PTR_NOT_NULL (strstr (buffer, "show hots\n     ^~~~\n"));
  kq_query_parse ("show \xff", &query, &error);
  json = kq_query_error_json (&error);
  CU_ASSERT_STRING_EQUAL (json_string_value (json_object_get (json, "word")),
                          "?");
  CU_ASSERT_EQUAL (json_integer_value (json_object_get (json, "column")), 6);
  json_decref (json);
}

/* Guards against reads beyond the text and wrong error positions: parses each
   prefix of each command, and each command with one byte replaced.  */
static void
test_arbitrary_bytes (void)
{
  static const char *const seeds[]
      = { SUBMIT "accelerators 1 run 30s zone z importance 3 service",
          "show tasks where state = \"x y\" and cpu_milli >= 500m",
          "configure base 1 {\"a\": [1, 2]}", "why task a/b/3" };
  char text[128];

  for (size_t s = 0; s < sizeof (seeds) / sizeof (seeds[0]); s++)
    for (size_t i = 0; i <= strlen (seeds[s]); i++)
      for (int byte = 0; byte < 256; byte += 5)
        {
          strcpy (text, seeds[s]);
          text[i] = (char)byte;
          if (kq_query_parse (text, &query, &error) == 0)
            kq_query_clear (&query);
          else
            CU_ASSERT (error.column >= 1
                       && error.column <= (int)strlen (text) + 1);
        }
}

static const struct kq_test tests[]
    = { { "invalid commands", test_invalid_commands },
        { "commands", test_commands },
        { "limits", test_limits },
        { "answers", test_answers },
        { "no configuration", test_no_configuration },
        { "command results", test_command_results },
        { "error messages", test_error_messages },
        { "arbitrary bytes", test_arbitrary_bytes } };

KQ_TEST_MAIN ("query", tests)

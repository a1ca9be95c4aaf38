/* Parsing of a command, and the actions of the grammar. */

#include <stdlib.h>
#include <string.h>

#include "base/err.h"
#include "query/command.tab.h"
#include "query/parser.h"

#define YYSTYPE KQ_QUERY_YYSTYPE
#define YYLTYPE KQ_QUERY_YYLTYPE
#include "query/command.lex.h"

#define TASKS_MAX 100000
#define IMPORTANCE_MAX 9

/** Copies the text at LOCATION, truncated to SIZE - 1 bytes, into BUFFER.
 *  @return whether the whole text fitted.  */
static bool
copy_token_text (const struct kq_query_parser *parser,
                 struct kq_query_location location, char *buffer, size_t size)
{
  size_t length = (size_t)(location.end - location.begin);
  bool fits = length < size;

  if (!fits)
    length = size - 1;
  memcpy (buffer, parser->text + location.begin, length);
  buffer[length] = '\0';
  return fits;
}

int
kq_query_fail (struct kq_query_parser *parser,
               struct kq_query_location location, int err,
               const char *expected)
{
  struct kq_query_error *error = parser->error;

  if (error->err != 0)
    return error->err;
  error->err = err;
  error->column = location.begin + 1;
  error->length = location.end - location.begin;
  copy_token_text (parser, location, error->word, sizeof (error->word));
  snprintf (error->expected, sizeof (error->expected), "%s", expected);
  return err;
}

void
kq_query_begin_command (struct kq_query_parser *parser,
                        enum kq_command_kind kind)
{
  parser->query->kind = KQ_QUERY_COMMAND;
  parser->query->u.command.kind = kind;
}

void
kq_query_begin_show (struct kq_query_parser *parser, enum kq_table table)
{
  parser->query->kind = KQ_QUERY_SHOW;
  parser->query->u.show.table = table;
}

int
kq_query_read_name (struct kq_query_parser *parser,
                    struct kq_query_location location, struct kq_name *name)
{
  char text[KQ_NAME_SIZE];

  if (!copy_token_text (parser, location, text, sizeof (text)))
    return kq_query_fail (parser, location, KQ_ETOOBIG,
                          "a name of at most 47 bytes");
  if (kq_name_set (name, text) != 0)
    return kq_query_fail (parser, location, KQ_ESYNTAX,
                          "a name of letters, digits, '-', '_', '.', '/'");
  return 0;
}

/** Returns a description of the format of a number of UNIT. */
static const char *
unit_format (enum kq_query_unit unit)
{
  switch (unit)
    {
    case KQ_UNIT_CPU:
      return "cores such as 2, or thousandths such as 500m";
    case KQ_UNIT_MEMORY:
      return "a size such as 256mb, 4gb or 1tb";
    case KQ_UNIT_DURATION:
      return "a duration such as 500ms, 30s, 10m or 2h";
    case KQ_UNIT_NONE:
      break;
    }
  return "a whole number";
}

int
kq_query_read_number (struct kq_query_parser *parser,
                      struct kq_query_location location,
                      enum kq_query_unit unit, int64_t min, int64_t max,
                      int64_t *value)
{
  char text[KQ_QUERY_VALUE_SIZE];
  char expected[KQ_QUERY_EXPECTED_SIZE];
  int err;

  if (!copy_token_text (parser, location, text, sizeof (text)))
    return kq_query_fail (parser, location, KQ_ETOOBIG, unit_format (unit));
  err = kq_query_parse_number (text, unit, value);
  if (err == 0 && (*value < min || *value > max))
    err = KQ_ERANGE;
  if (err != KQ_ERANGE)
    return err ? kq_query_fail (parser, location, err, unit_format (unit)) : 0;
  snprintf (expected, sizeof (expected), "%s, from %lld to %lld%s",
            unit_format (unit), (long long)min, (long long)max,
            unit == KQ_UNIT_CPU      ? " thousandths"
            : unit == KQ_UNIT_MEMORY ? " mb"
            : unit == KQ_UNIT_NONE   ? ""
                                     : " ms");
  return kq_query_fail (parser, location, err, expected);
}

int
kq_query_read_task (struct kq_query_parser *parser,
                    struct kq_query_location location)
{
  const char *begin = parser->text + location.begin;
  const char *slash
      = memrchr (begin, '/', (size_t)(location.end - location.begin));
  struct kq_task_id *task = &parser->query->u.task;
  struct kq_query_location job = location;
  struct kq_query_location index = location;
  int64_t number = 0;
  int err;

  if (slash == NULL)
    return kq_query_fail (parser, location, KQ_EQUERY_WORD, "JOB/INDEX");
  job.end = location.begin + (int)(slash - begin);
  index.begin = job.end + 1;
  err = kq_query_read_name (parser, job, &task->job);
  if (err == 0)
    err = kq_query_read_number (parser, index, KQ_UNIT_NONE, 0, TASKS_MAX - 1,
                                &number);
  task->index = (int32_t)number;
  return err;
}

int
kq_query_read_document (struct kq_query_parser *parser,
                        struct kq_query_location location)
{
  size_t length = (size_t)(location.end - location.begin);
  const char *begin = parser->text + location.begin;
  json_error_t json_error;
  json_t *document
      = json_loadb (begin, length, JSON_REJECT_DUPLICATES, &json_error);
  char *copy;

  if (document == NULL)
    {
      location.begin += json_error.position < 0 ? 0
                        : json_error.position > (int)length
                            ? (int)length
                            : json_error.position;
      return kq_query_fail (parser, location, KQ_ESYNTAX, json_error.text);
    }
  json_decref (document);
  copy = strndup (begin, length);
  if (copy == NULL)
    return kq_query_fail (parser, location, KQ_ENOMEM, "");
  parser->query->u.command.text = copy;
  return 0;
}

int
kq_query_add_filter (struct kq_query_parser *parser,
                     struct kq_query_location field, enum kq_query_op op,
                     struct kq_query_location value)
{
  struct kq_query *query = parser->query;
  struct kq_query_filter *filter;
  int err;

  if (query->u.show.filter_count == KQ_QUERY_FILTERS_MAX)
    return kq_query_fail (parser, field, KQ_ETOOBIG, "at most 8 conditions");
  filter = &query->u.show.filters[query->u.show.filter_count];
  err = kq_query_read_name (parser, field, &filter->field);
  if (err != 0)
    return err;
  filter->op = op;
  filter->column = field.begin + 1;
  if (parser->text[value.begin] == '"')
    {
      value.begin++;
      value.end--;
    }
  if (!copy_token_text (parser, value, filter->value, sizeof (filter->value)))
    return kq_query_fail (parser, value, KQ_ETOOBIG,
                          "a value of at most 63 bytes");
  query->u.show.filter_count++;
  return 0;
}

int
kq_query_mark_field (struct kq_query_parser *parser,
                     struct kq_query_location location,
                     enum kq_submit_field field)
{
  if (parser->fields_set & field)
    return kq_query_fail (parser, location, KQ_EQUERY_TWICE, "another field");
  parser->fields_set |= field;
  if (field == KQ_SUBMIT_SERVICE)
    parser->query->u.command.job.kind = KQ_TASK_SERVICE;
  return 0;
}

int
kq_query_set_name (struct kq_query_parser *parser,
                   struct kq_query_location word,
                   struct kq_query_location value, enum kq_submit_field field,
                   struct kq_name *name)
{
  int err = kq_query_mark_field (parser, word, field);

  return err ? err : kq_query_read_name (parser, value, name);
}

/** Sets FIELD of JOB to VALUE, whose range the caller has checked. */
static void
set_job_number (struct kq_job *job, enum kq_submit_field field, int64_t value)
{
  switch (field)
    {
    case KQ_SUBMIT_TASKS:
      job->tasks = (int32_t)value;
      break;
    case KQ_SUBMIT_CPU:
      job->size.cpu_milli = (int32_t)value;
      break;
    case KQ_SUBMIT_MEMORY:
      job->size.memory_mb = (int32_t)value;
      break;
    case KQ_SUBMIT_ACCELERATORS:
      job->size.accelerators = (int32_t)value;
      break;
    case KQ_SUBMIT_IMPORTANCE:
      job->importance = (int32_t)value;
      break;
    case KQ_SUBMIT_RUN:
      job->run_ms = value;
      break;
    case KQ_SUBMIT_TEAM:
    case KQ_SUBMIT_ZONE:
    case KQ_SUBMIT_SERVICE:
      break;
    }
}

int
kq_query_set_number (struct kq_query_parser *parser,
                     struct kq_query_location word,
                     struct kq_query_location value,
                     enum kq_submit_field field)
{
  enum kq_query_unit unit = KQ_UNIT_NONE;
  int64_t min = 0;
  int64_t max = INT32_MAX;
  int64_t number = 0;
  int err = kq_query_mark_field (parser, word, field);

  if (err != 0)
    return err;
  if (field == KQ_SUBMIT_TASKS)
    max = TASKS_MAX;
  if (field == KQ_SUBMIT_IMPORTANCE)
    max = IMPORTANCE_MAX;
  if (field == KQ_SUBMIT_CPU)
    unit = KQ_UNIT_CPU;
  if (field == KQ_SUBMIT_MEMORY)
    unit = KQ_UNIT_MEMORY;
  if (field == KQ_SUBMIT_RUN)
    unit = KQ_UNIT_DURATION;
  if (unit != KQ_UNIT_NONE || field == KQ_SUBMIT_TASKS)
    min = 1;
  err = kq_query_read_number (parser, value, unit, min, max, &number);
  if (err == 0)
    set_job_number (&parser->query->u.command.job, field, number);
  return err;
}

int
kq_query_end_submit (struct kq_query_parser *parser)
{
  static const struct
  {
    enum kq_submit_field field;
    const char *text;
  } required[] = {
    { KQ_SUBMIT_TEAM, "team NAME" },
    { KQ_SUBMIT_TASKS, "tasks COUNT" },
    { KQ_SUBMIT_CPU, "cpu SIZE" },
    { KQ_SUBMIT_MEMORY, "memory SIZE" },
  };
  struct kq_query_location end = { parser->length, parser->length };
  struct kq_job *job = &parser->query->u.command.job;

  job->id = parser->query->u.command.name;
  for (size_t i = 0; i < sizeof (required) / sizeof (required[0]); i++)
    if (!(parser->fields_set & required[i].field))
      return kq_query_fail (parser, end, KQ_EQUERY_END, required[i].text);
  return 0;
}

/** Runs the generated parser on the text of PARSER. */
static void
run_parser (struct kq_query_parser *parser)
{
  static const struct kq_query_location start = { 0, 0 };
  yyscan_t scanner = NULL;

  if (kq_query_yylex_init_extra (parser, &scanner) != 0)
    {
      kq_query_fail (parser, start, KQ_ENOMEM, "");
      return;
    }
  if (setjmp (parser->fatal) != 0)
    kq_query_fail (parser, start, KQ_ENOMEM, "");
  else
    {
      kq_query_yy_scan_bytes (parser->text, parser->length, scanner);
      if (kq_query_yyparse (scanner, parser) != 0)
        kq_query_fail (parser, start, KQ_ENOMEM, "");
    }
  kq_query_yylex_destroy (scanner);
}

int
kq_query_parse (const char *text, struct kq_query *query,
                struct kq_query_error *error)
{
  struct kq_query_parser parser
      = { .text = text, .query = query, .error = error };
  size_t length = strnlen (text, KQ_QUERY_TEXT_MAX + 1);

  memset (query, 0, sizeof (*query));
  memset (error, 0, sizeof (*error));
  if (length > KQ_QUERY_TEXT_MAX)
    return kq_query_fail (&parser, (struct kq_query_location){ 0, 0 },
                          KQ_ETOOBIG, "at most 1 MiB");
  parser.length = (int)length;
  run_parser (&parser);
  if (error->err != 0)
    kq_query_clear (query);
  return error->err;
}

void
kq_query_clear (struct kq_query *query)
{
  if (query->kind == KQ_QUERY_COMMAND)
    free ((char *)query->u.command.text);
  memset (query, 0, sizeof (*query));
}

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

/** Copies at most SIZE - 1 bytes of PLACE into BUFFER; returns whether all
 *  of it fitted.  */
static bool
copy_place (const struct kq_query_parser *parser, struct kq_query_place place,
            char *buffer, size_t size)
{
  size_t length = (size_t)(place.end - place.begin);
  bool fits = length < size;

  if (!fits)
    length = size - 1;
  memcpy (buffer, parser->text + place.begin, length);
  buffer[length] = '\0';
  return fits;
}

int
kq_query_fail (struct kq_query_parser *parser, struct kq_query_place place,
               int err, const char *expected)
{
  struct kq_query_error *error = parser->error;

  if (error->err != 0)
    return error->err;
  error->err = err;
  error->column = place.begin + 1;
  error->length = place.end - place.begin;
  copy_place (parser, place, error->word, sizeof (error->word));
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
                    struct kq_query_place place, struct kq_name *name)
{
  char text[KQ_NAME_SIZE];

  if (!copy_place (parser, place, text, sizeof (text)))
    return kq_query_fail (parser, place, KQ_ETOOBIG,
                          "a name of at most 47 bytes");
  if (kq_name_set (name, text) != 0)
    return kq_query_fail (parser, place, KQ_ESYNTAX,
                          "a name of letters, digits, '-', '_', '.', '/'");
  return 0;
}

/** Says what a number of UNIT looks like. */
static const char *
unit_text (enum kq_query_unit unit)
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
                      struct kq_query_place place, enum kq_query_unit unit,
                      int64_t least, int64_t most, int64_t *value)
{
  char text[KQ_QUERY_VALUE_SIZE];
  char expected[KQ_QUERY_EXPECTED_SIZE];
  int err;

  if (!copy_place (parser, place, text, sizeof (text)))
    return kq_query_fail (parser, place, KQ_ETOOBIG, unit_text (unit));
  err = kq_query_number (text, unit, value);
  if (err == 0 && (*value < least || *value > most))
    err = KQ_ERANGE;
  if (err != KQ_ERANGE)
    return err ? kq_query_fail (parser, place, err, unit_text (unit)) : 0;
  snprintf (expected, sizeof (expected), "%s, from %lld to %lld%s",
            unit_text (unit), (long long)least, (long long)most,
            unit == KQ_UNIT_CPU      ? " thousandths"
            : unit == KQ_UNIT_MEMORY ? " mb"
            : unit == KQ_UNIT_NONE   ? ""
                                     : " ms");
  return kq_query_fail (parser, place, err, expected);
}

int
kq_query_read_task (struct kq_query_parser *parser,
                    struct kq_query_place place)
{
  const char *begin = parser->text + place.begin;
  const char *slash = memrchr (begin, '/', (size_t)(place.end - place.begin));
  struct kq_task_id *task = &parser->query->u.task;
  struct kq_query_place job = place;
  struct kq_query_place index = place;
  int64_t number = 0;
  int err;

  if (slash == NULL)
    return kq_query_fail (parser, place, KQ_EQUERY_WORD, "JOB/INDEX");
  job.end = place.begin + (int)(slash - begin);
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
                        struct kq_query_place place)
{
  size_t length = (size_t)(place.end - place.begin);
  const char *begin = parser->text + place.begin;
  json_error_t wrong;
  json_t *document
      = json_loadb (begin, length, JSON_REJECT_DUPLICATES, &wrong);
  char *copy;

  if (document == NULL)
    {
      place.begin += wrong.position < 0             ? 0
                     : wrong.position > (int)length ? (int)length
                                                    : wrong.position;
      return kq_query_fail (parser, place, KQ_ESYNTAX, wrong.text);
    }
  json_decref (document);
  copy = strndup (begin, length);
  if (copy == NULL)
    return kq_query_fail (parser, place, KQ_ENOMEM, "");
  parser->query->u.command.text = copy;
  return 0;
}

int
kq_query_add_filter (struct kq_query_parser *parser,
                     struct kq_query_place field, enum kq_query_op op,
                     struct kq_query_place value)
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
  if (!copy_place (parser, value, filter->value, sizeof (filter->value)))
    return kq_query_fail (parser, value, KQ_ETOOBIG,
                          "a value of at most 63 bytes");
  query->u.show.filter_count++;
  return 0;
}

int
kq_query_give (struct kq_query_parser *parser, struct kq_query_place place,
               enum kq_query_given field)
{
  if (parser->given & field)
    return kq_query_fail (parser, place, KQ_EQUERY_TWICE, "another field");
  parser->given |= field;
  if (field == KQ_GIVEN_SERVICE)
    parser->query->u.command.job.kind = KQ_TASK_SERVICE;
  return 0;
}

int
kq_query_give_name (struct kq_query_parser *parser, struct kq_query_place word,
                    struct kq_query_place value, enum kq_query_given field,
                    struct kq_name *name)
{
  int err = kq_query_give (parser, word, field);

  return err ? err : kq_query_read_name (parser, value, name);
}

/** Stores VALUE as FIELD of JOB; the value fits, its range was checked. */
static void
set_number (struct kq_job *job, enum kq_query_given field, int64_t value)
{
  switch (field)
    {
    case KQ_GIVEN_TASKS:
      job->tasks = (int32_t)value;
      break;
    case KQ_GIVEN_CPU:
      job->size.cpu_milli = (int32_t)value;
      break;
    case KQ_GIVEN_MEMORY:
      job->size.memory_mb = (int32_t)value;
      break;
    case KQ_GIVEN_ACCELERATORS:
      job->size.accelerators = (int32_t)value;
      break;
    case KQ_GIVEN_IMPORTANCE:
      job->importance = (int32_t)value;
      break;
    case KQ_GIVEN_RUN:
      job->run_ms = value;
      break;
    case KQ_GIVEN_TEAM:
    case KQ_GIVEN_ZONE:
    case KQ_GIVEN_SERVICE:
      break;
    }
}

int
kq_query_give_number (struct kq_query_parser *parser,
                      struct kq_query_place word, struct kq_query_place value,
                      enum kq_query_given field)
{
  enum kq_query_unit unit = KQ_UNIT_NONE;
  int64_t least = 0;
  int64_t most = INT32_MAX;
  int64_t number = 0;
  int err = kq_query_give (parser, word, field);

  if (err != 0)
    return err;
  if (field == KQ_GIVEN_TASKS)
    most = TASKS_MAX;
  if (field == KQ_GIVEN_IMPORTANCE)
    most = IMPORTANCE_MAX;
  if (field == KQ_GIVEN_CPU)
    unit = KQ_UNIT_CPU;
  if (field == KQ_GIVEN_MEMORY)
    unit = KQ_UNIT_MEMORY;
  if (field == KQ_GIVEN_RUN)
    unit = KQ_UNIT_DURATION;
  if (unit != KQ_UNIT_NONE || field == KQ_GIVEN_TASKS)
    least = 1;
  err = kq_query_read_number (parser, value, unit, least, most, &number);
  if (err == 0)
    set_number (&parser->query->u.command.job, field, number);
  return err;
}

int
kq_query_end_submit (struct kq_query_parser *parser)
{
  static const struct
  {
    enum kq_query_given field;
    const char *text;
  } required[] = {
    { KQ_GIVEN_TEAM, "team NAME" },
    { KQ_GIVEN_TASKS, "tasks COUNT" },
    { KQ_GIVEN_CPU, "cpu SIZE" },
    { KQ_GIVEN_MEMORY, "memory SIZE" },
  };
  struct kq_query_place end = { parser->length, parser->length };
  struct kq_job *job = &parser->query->u.command.job;

  job->id = parser->query->u.command.name;
  for (size_t i = 0; i < sizeof (required) / sizeof (required[0]); i++)
    if (!(parser->given & required[i].field))
      return kq_query_fail (parser, end, KQ_EQUERY_END, required[i].text);
  return 0;
}

/** Runs the generated parser over the text of PARSER. */
static void
run_parser (struct kq_query_parser *parser)
{
  static const struct kq_query_place start = { 0, 0 };
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
    return kq_query_fail (&parser, (struct kq_query_place){ 0, 0 }, KQ_ETOOBIG,
                          "at most 1 MiB");
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

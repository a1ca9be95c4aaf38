/* Grammar of the operators' query language; script/generate generates
   command.tab.c from it.  */

%define api.pure full
%define api.prefix {kq_query_yy}
%define api.location.type {struct kq_query_location}
%define parse.error custom
%define parse.lac full
%locations
%param {void *scanner}
%parse-param {struct kq_query_parser *parser}

%code requires {
#include "query/parser.h"
}

%code {
#include <stdio.h>

#include "base/err.h"

int kq_query_yylex (KQ_QUERY_YYSTYPE *value,
                    struct kq_query_location *location, void *scanner);
static void yyerror (struct kq_query_location *location, void *scanner,
                     struct kq_query_parser *parser, const char *message);

#define YYLLOC_DEFAULT(current, rhs, count)                                   \
  do                                                                          \
    {                                                                         \
      (current).begin = (count) ? YYRHSLOC (rhs, 1).begin                     \
                                : YYRHSLOC (rhs, 0).end;                      \
      (current).end = YYRHSLOC (rhs, count).end;                              \
    }                                                                         \
  while (0)

#define TRY(action)                                                           \
  do                                                                          \
    {                                                                         \
      if ((action) != 0)                                                      \
        YYABORT;                                                              \
    }                                                                         \
  while (0)
}

%union {
  enum kq_table table;
  enum kq_query_op op;
}

%token SHOW "show" WHY "why" TRACE "trace" SUBMIT "submit" CANCEL "cancel"
%token DRAIN "drain" UNDRAIN "undrain" CONFIGURE "configure"
%token HOSTS "hosts" WORKERS "workers" SERVICES "services" JOBS "jobs"
%token TASKS "tasks" SHARDS "shards" CONFIGURATION "configuration"
%token HISTORY "history" WHERE "where" AND "and"
%token TASK "task" JOB "job" REQUEST "request" WORKER "worker" HOST "host"
%token BASE "base" TEAM "team" CPU "cpu" MEMORY "memory"
%token ACCELERATORS "accelerators" RUN "run" ZONE "zone"
%token IMPORTANCE "importance" SERVICE "service"
%token EQ "=" NE "!=" LT "<" LE "<=" GT ">" GE ">="
%token WORD "a word" STRING "a quoted text" DOCUMENT "a JSON object"
%token UNKNOWN "an unknown character"
%token END 0 "the end"

%type <table> table
%type <op> op

%%

command:
  SHOW table { kq_query_begin_show (parser, $2); } where
| SHOW CONFIGURATION { parser->query->kind = KQ_QUERY_CONFIGURATION; }
| WHY TASK word
    {
      parser->query->kind = KQ_QUERY_WHY_TASK;
      TRY (kq_query_read_task (parser, @3));
    }
| WHY JOB word
    {
      parser->query->kind = KQ_QUERY_WHY_JOB;
      TRY (kq_query_read_name (parser, @3, &parser->query->u.name));
    }
| WHY REQUEST word
    {
      parser->query->kind = KQ_QUERY_WHY_REQUEST;
      TRY (kq_query_read_name (parser, @3, &parser->query->u.name));
    }
| TRACE word
    {
      parser->query->kind = KQ_QUERY_TRACE;
      TRY (kq_query_read_name (parser, @2, &parser->query->u.name));
    }
| SUBMIT JOB word
    {
      kq_query_begin_command (parser, KQ_CMD_SUBMIT);
      TRY (kq_query_read_name (parser, @3, &parser->query->u.command.name));
    }
  options { TRY (kq_query_end_submit (parser)); }
| CANCEL JOB word
    {
      kq_query_begin_command (parser, KQ_CMD_CANCEL);
      TRY (kq_query_read_name (parser, @3, &parser->query->u.command.name));
    }
| DRAIN machine word
    {
      kq_query_begin_command (parser, KQ_CMD_DRAIN);
      TRY (kq_query_read_name (parser, @3, &parser->query->u.command.name));
    }
| UNDRAIN machine word
    {
      kq_query_begin_command (parser, KQ_CMD_UNDRAIN);
      TRY (kq_query_read_name (parser, @3, &parser->query->u.command.name));
    }
| CONFIGURE BASE word
    {
      kq_query_begin_command (parser, KQ_CMD_CONFIGURE);
      TRY (kq_query_read_number (parser, @3, KQ_UNIT_NONE, 0, INT64_MAX,
                                 &parser->query->u.command.base));
    }
  DOCUMENT { TRY (kq_query_read_document (parser, @5)); }
;

table:
  HOSTS { $$ = KQ_TABLE_HOSTS; }
| WORKERS { $$ = KQ_TABLE_WORKERS; }
| SERVICES { $$ = KQ_TABLE_SERVICES; }
| JOBS { $$ = KQ_TABLE_JOBS; }
| TASKS { $$ = KQ_TABLE_TASKS; }
| SHARDS { $$ = KQ_TABLE_SHARDS; }
| HISTORY { $$ = KQ_TABLE_HISTORY; }
;

machine: WORKER | HOST ;

where: %empty | WHERE filters ;

filters: filter | filters AND filter ;

filter: word op value { TRY (kq_query_add_filter (parser, @1, $2, @3)); } ;

op:
  EQ { $$ = KQ_QUERY_EQ; }
| NE { $$ = KQ_QUERY_NE; }
| LT { $$ = KQ_QUERY_LT; }
| LE { $$ = KQ_QUERY_LE; }
| GT { $$ = KQ_QUERY_GT; }
| GE { $$ = KQ_QUERY_GE; }
;

value: word | STRING ;

options: %empty | options option ;

option:
  TEAM word
    {
      TRY (kq_query_set_name (parser, @1, @2, KQ_SUBMIT_TEAM,
                              &parser->query->u.command.job.team));
    }
| ZONE word
    {
      TRY (kq_query_set_name (parser, @1, @2, KQ_SUBMIT_ZONE,
                              &parser->query->u.command.job.zone));
    }
| TASKS word { TRY (kq_query_set_number (parser, @1, @2, KQ_SUBMIT_TASKS)); }
| CPU word { TRY (kq_query_set_number (parser, @1, @2, KQ_SUBMIT_CPU)); }
| MEMORY word { TRY (kq_query_set_number (parser, @1, @2, KQ_SUBMIT_MEMORY)); }
| ACCELERATORS word
    { TRY (kq_query_set_number (parser, @1, @2, KQ_SUBMIT_ACCELERATORS)); }
| RUN word { TRY (kq_query_set_number (parser, @1, @2, KQ_SUBMIT_RUN)); }
| IMPORTANCE word
    { TRY (kq_query_set_number (parser, @1, @2, KQ_SUBMIT_IMPORTANCE)); }
| SERVICE { TRY (kq_query_mark_field (parser, @1, KQ_SUBMIT_SERVICE)); }
;

word: WORD | keyword ;

keyword:
  SHOW | WHY | TRACE | SUBMIT | CANCEL | DRAIN | UNDRAIN | CONFIGURE | HOSTS
| WORKERS | SERVICES | JOBS | TASKS | SHARDS | CONFIGURATION | HISTORY | WHERE
| AND | TASK | JOB | REQUEST | WORKER | HOST | BASE | TEAM | CPU | MEMORY
| ACCELERATORS | RUN | ZONE | IMPORTANCE | SERVICE
;

%%

/* Maximum number of alternatives listed in an error.  With more, the error
   says "a word" instead.  */
#define EXPECTED_MAX 12

static void
yyerror (struct kq_query_location *location, void *scanner,
         struct kq_query_parser *parser, const char *message)
{
  (void)scanner;
  (void)message;
  kq_query_fail (parser, *location, KQ_ENOMEM, "");
}

static int
yyreport_syntax_error (const yypcontext_t *context, void *scanner,
                       struct kq_query_parser *parser)
{
  struct kq_query_location location = *yypcontext_location (context);
  yysymbol_kind_t expected[EXPECTED_MAX];
  char list[KQ_QUERY_EXPECTED_SIZE] = "a word";
  int count = yypcontext_expected_tokens (context, expected, EXPECTED_MAX);
  size_t used = 0;
  int err = KQ_EQUERY_WORD;

  (void)scanner;
  for (int i = 0; i < count && used < sizeof (list); i++)
    used += (size_t)snprintf (list + used, sizeof (list) - used, "%s%s",
                              i ? ", " : "", yysymbol_name (expected[i]));
  if (yypcontext_token (context) == YYSYMBOL_YYEOF)
    err = KQ_EQUERY_END;
  kq_query_fail (parser, location, err, list);
  return 0;
}

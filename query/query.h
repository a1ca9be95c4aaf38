/** @file
 * The operators' query and command language.
 *
 * One grammar serves the command-line tool, standard input and HTTP.  A
 * text is parsed into a struct kq_query; a query that reads is answered from
 * the tables of a provider, a query that changes something carries a
 * struct kq_command for the decision core.  Nothing here keeps global state,
 * so each thread may parse and answer on its own.
 */
#ifndef KQ_QUERY_QUERY_H
#define KQ_QUERY_QUERY_H

#include <jansson.h>

#include "core/core.h"
#include "core/event.h"

/** Longest command in bytes, with the document of a configuration. */
#define KQ_QUERY_TEXT_MAX ((size_t)1 << 20)

/** Most conditions after "where". */
#define KQ_QUERY_FILTERS_MAX 8

/** Longest value of a condition in bytes, with its terminating zero. */
#define KQ_QUERY_VALUE_SIZE 64

/** Bytes of a word that an error quotes, with the terminating zero. */
#define KQ_QUERY_WORD_SIZE 64

/** Bytes of the list of words that were expected. */
#define KQ_QUERY_EXPECTED_SIZE 256

enum kq_query_kind
{
  KQ_QUERY_SHOW,          /**< rows of one table */
  KQ_QUERY_CONFIGURATION, /**< the configuration in force */
  KQ_QUERY_WHY_TASK,      /**< where a task is, or why it waits */
  KQ_QUERY_WHY_JOB,
  KQ_QUERY_WHY_REQUEST,
  KQ_QUERY_TRACE,  /**< spans of one request or task */
  KQ_QUERY_COMMAND /**< changes something */
};

enum kq_query_op
{
  KQ_QUERY_EQ,
  KQ_QUERY_NE,
  KQ_QUERY_LT,
  KQ_QUERY_LE,
  KQ_QUERY_GT,
  KQ_QUERY_GE
};

/** One condition: a field of a row compared with a value. */
struct kq_query_filter
{
  struct kq_name field;
  enum kq_query_op op;
  char value[KQ_QUERY_VALUE_SIZE];
  int column; /**< where the field stands in the text, from 1 */
};

/** A parsed command.  Filled by kq_query_parse(), released by
 *  kq_query_clear().  */
struct kq_query
{
  enum kq_query_kind kind;
  union
  {
    struct
    {
      enum kq_table table;
      int filter_count;
      struct kq_query_filter filters[KQ_QUERY_FILTERS_MAX];
    } show;
    struct kq_task_id task;    /**< WHY_TASK */
    struct kq_name name;       /**< WHY_JOB: job; WHY_REQUEST, TRACE: id */
    struct kq_command command; /**< COMMAND; its text is owned by the query */
  } u;
};

/** Where and why a command was not understood. */
struct kq_query_error
{
  int err;    /**< KQ_EQUERY_*, KQ_ERANGE, KQ_ETOOBIG, KQ_ESYNTAX, KQ_ENOMEM */
  int column; /**< first byte of the wrong word, from 1 */
  int length; /**< bytes of that word; 0 at the end of the text */
  char word[KQ_QUERY_WORD_SIZE];         /**< the word, cut if it is long */
  char expected[KQ_QUERY_EXPECTED_SIZE]; /**< what could stand there */
};

/** What a query is answered from.  Each callback returns a new reference;
 *  NULL stands for "nothing known".  */
struct kq_query_provider
{
  void *ctx;
  json_t *(*rows) (void *ctx, enum kq_table table);
  json_t *(*config) (void *ctx);
  json_t *(*trace) (void *ctx, const char *id);
  const char *host; /**< the entry host that answers */
  int64_t age_ms;   /**< time since that host last saw the log's end */
};

/** Parses TEXT into QUERY.
 *  @return 0, or the error that ERROR then holds; QUERY needs no clearing
 *  after a failure.  */
int kq_query_parse (const char *text, struct kq_query *query,
                    struct kq_query_error *error);

/** Frees what QUERY owns and leaves it empty. */
void kq_query_clear (struct kq_query *query);

/** Answers a QUERY that is not a command.
 *  @return an object with "revision", "age_ms", "coverage" and "rows", or
 *  one with "result" "refused" and a typed error; NULL out of memory.  */
json_t *kq_query_answer (const struct kq_query *query,
                         const struct kq_query_provider *provider);

/** Describes the outcome ERR of a command.  REVISION is the offset of the
 *  accepted record, or the revision that won.
 *  @return an object with "result" ("accepted", "refused" or "unknown"),
 *  "command", "name", "revision", and for a failure "error", "number",
 *  "reason" and, where a document breaks its schema, its path as "word";
 *  NULL out of memory.  */
json_t *kq_query_reply (const struct kq_query *query, int err,
                        int64_t revision);

/** Describes a command that could not be parsed.
 *  @return an object with "result" "invalid", "error", "number", "reason",
 *  "column", "word" and "expected"; NULL out of memory.  */
json_t *kq_query_error_json (const struct kq_query_error *error);

/** Writes TEXT's wrong line and a caret under the wrong word into BUFFER. */
void kq_query_error_print (const struct kq_query_error *error,
                           const char *text, char *buffer, size_t size);

#endif

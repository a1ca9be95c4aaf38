/** @file
 * The operators' query and command language.
 *
 * The command-line tool, its shell and the HTTP interface share one grammar.
 * A text is parsed into a struct kq_query.  A read-only query is answered from
 * the tables of a struct kq_query_provider; a query that changes state carries
 * a struct kq_command for the decision core.  There is no global state, so
 * threads can parse and answer queries concurrently.
 */
#ifndef KQ_QUERY_QUERY_H
#define KQ_QUERY_QUERY_H

#include <jansson.h>

#include "core/core.h"
#include "core/event.h"

/** Maximum length of a command in bytes, including the document of a
 *  "configure" command.  */
#define KQ_QUERY_TEXT_MAX ((size_t)1 << 20)

/** Maximum number of conditions after "where". */
#define KQ_QUERY_FILTERS_MAX 8

/** Buffer size in bytes for the value of a condition, including the
 *  terminating zero.  */
#define KQ_QUERY_VALUE_SIZE 64

/** Buffer size in bytes for the word that an error quotes, including the
 *  terminating zero.  */
#define KQ_QUERY_WORD_SIZE 64

/** Buffer size in bytes for the list of expected words, including the
 *  terminating zero.  */
#define KQ_QUERY_EXPECTED_SIZE 256

enum kq_query_kind
{
  KQ_QUERY_SHOW,          /**< rows of one table */
  KQ_QUERY_CONFIGURATION, /**< the current configuration */
  KQ_QUERY_WHY_TASK,      /**< which worker a task is on, or why it waits */
  KQ_QUERY_WHY_JOB,
  KQ_QUERY_WHY_REQUEST,
  KQ_QUERY_TRACE,  /**< spans of one request or task */
  KQ_QUERY_COMMAND /**< a command that changes state */
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

/** One condition: compares a field of a row with a value. */
struct kq_query_filter
{
  struct kq_name field;
  enum kq_query_op op;
  char value[KQ_QUERY_VALUE_SIZE];
  int column; /**< position of the field's name in the text, from 1 */
};

/** A parsed query or command.  Set by kq_query_parse(), released by
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

/** A syntax error: its cause and its position in the text. */
struct kq_query_error
{
  int err;    /**< KQ_EQUERY_*, KQ_ERANGE, KQ_ETOOBIG, KQ_ESYNTAX, KQ_ENOMEM */
  int column; /**< position of the offending word's first byte, from 1 */
  int length; /**< bytes of that word; 0 at the end of the text */
  char word[KQ_QUERY_WORD_SIZE];         /**< the word, truncated to fit */
  char expected[KQ_QUERY_EXPECTED_SIZE]; /**< what is allowed there */
};

/** Data source for answering queries.  Each callback returns a new reference,
 *  or NULL if there is no data.  */
struct kq_query_provider
{
  void *ctx;
  json_t *(*rows) (void *ctx, enum kq_table table);
  json_t *(*config) (void *ctx);
  json_t *(*trace) (void *ctx, const char *id);
  const char *host; /**< the entry host that answers */
  int64_t age_ms;   /**< time since that host last read up to the log's end */
};

/** Parses TEXT into QUERY.
 *  @return 0, or the error code, with the details in ERROR.  After an error
 *  QUERY need not be cleared.  */
int kq_query_parse (const char *text, struct kq_query *query,
                    struct kq_query_error *error);

/** Frees the memory that QUERY owns and sets QUERY to zero. */
void kq_query_clear (struct kq_query *query);

/** Answers a QUERY that is not a command.
 *  @return an object with "revision", "age_ms", "coverage" and "rows", or one
 *  with "result" "refused" and "error", "number" and "reason"; NULL if out of
 *  memory.  */
json_t *kq_query_answer (const struct kq_query *query,
                         const struct kq_query_provider *provider);

/** Describes the result ERR of a command as JSON.  REVISION is the offset of
 *  the accepted record or, after a conflict, the current revision.
 *  @return an object with "result" ("accepted", "refused" or "unknown"),
 *  "command", "name", "revision", and for a failure "error", "number",
 *  "reason" and, for a document that violates its schema, the path of the
 *  violation as "word"; NULL if out of memory.  */
json_t *kq_query_command_result (const struct kq_query *query, int err,
                                 int64_t revision);

/** Describes a syntax error as JSON.
 *  @return an object with "result" "invalid", "error", "number", "reason",
 *  "column", "word" and "expected"; NULL if out of memory.  */
json_t *kq_query_error_json (const struct kq_query_error *error);

/** Writes into BUFFER the line of TEXT that has the error, a line with carets
 *  under the offending word, and the reason.  */
void kq_query_error_print (const struct kq_query_error *error,
                           const char *text, char *buffer, size_t size);

#endif

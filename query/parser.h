/** @file
 * What the generated parser and scanner share with query.c.
 *
 * Tokens carry no values, only their place in the text, so parsing
 * allocates nothing but the document of a configuration.
 */
#ifndef KQ_QUERY_PARSER_H
#define KQ_QUERY_PARSER_H

#include <setjmp.h>

#include "query/query.h"

/** Place of a token: offsets of its first byte and the one after it. */
struct kq_query_place
{
  int begin;
  int end;
};

/** Fields of a submit, as bits of kq_query_parser.given. */
enum kq_query_given
{
  KQ_GIVEN_TEAM = 1 << 0,
  KQ_GIVEN_TASKS = 1 << 1,
  KQ_GIVEN_CPU = 1 << 2,
  KQ_GIVEN_MEMORY = 1 << 3,
  KQ_GIVEN_ACCELERATORS = 1 << 4,
  KQ_GIVEN_RUN = 1 << 5,
  KQ_GIVEN_ZONE = 1 << 6,
  KQ_GIVEN_IMPORTANCE = 1 << 7,
  KQ_GIVEN_SERVICE = 1 << 8
};

/** State of one parse. */
struct kq_query_parser
{
  const char *text;
  int length;
  struct kq_query *query;
  struct kq_query_error *error;
  unsigned given;  /**< fields of a submit that were read */
  int scan_offset; /**< next byte that the scanner reads */
  jmp_buf fatal;   /**< left through when the scanner runs out of memory */
};

/** Units that a number can have. */
enum kq_query_unit
{
  KQ_UNIT_NONE,
  KQ_UNIT_CPU,     /**< cores, or thousandths with "m"; result in milli */
  KQ_UNIT_MEMORY,  /**< "mb", "gb", "tb"; result in mebibytes */
  KQ_UNIT_DURATION /**< "ms", "s", "m", "h"; result in milliseconds */
};

/** Reads TEXT as a number of UNIT into *VALUE.
 *  @return 0, KQ_EQUERY_NUMBER, KQ_EQUERY_UNIT or KQ_ERANGE.  */
int kq_query_number (const char *text, enum kq_query_unit unit,
                     int64_t *value);

/* Actions of the grammar.  Each returns 0 or the error it noted. */

void kq_query_begin_command (struct kq_query_parser *parser,
                             enum kq_command_kind kind);
void kq_query_begin_show (struct kq_query_parser *parser, enum kq_table table);
int kq_query_read_name (struct kq_query_parser *parser,
                        struct kq_query_place place, struct kq_name *name);
int kq_query_read_number (struct kq_query_parser *parser,
                          struct kq_query_place place, enum kq_query_unit unit,
                          int64_t least, int64_t most, int64_t *value);
int kq_query_read_task (struct kq_query_parser *parser,
                        struct kq_query_place place);
int kq_query_read_document (struct kq_query_parser *parser,
                            struct kq_query_place place);
int kq_query_add_filter (struct kq_query_parser *parser,
                         struct kq_query_place field, enum kq_query_op op,
                         struct kq_query_place value);
int kq_query_give (struct kq_query_parser *parser, struct kq_query_place place,
                   enum kq_query_given field);
int kq_query_give_name (struct kq_query_parser *parser,
                        struct kq_query_place word,
                        struct kq_query_place value, enum kq_query_given field,
                        struct kq_name *name);
int kq_query_give_number (struct kq_query_parser *parser,
                          struct kq_query_place word,
                          struct kq_query_place value,
                          enum kq_query_given field);
int kq_query_end_submit (struct kq_query_parser *parser);

/** Notes a failure at PLACE unless one is noted already; returns ERR. */
int kq_query_fail (struct kq_query_parser *parser, struct kq_query_place place,
                   int err, const char *expected);

#endif

/** @file
 * Declarations shared by query.c and the generated parser and scanner.
 *
 * Tokens carry no values, only their location in the text, so parsing
 * allocates memory only for the document of a "configure" command.
 */
#ifndef KQ_QUERY_PARSER_H
#define KQ_QUERY_PARSER_H

#include <setjmp.h>

#include "query/query.h"

/** Location of a token in the text: byte offsets of its start and of the byte
 *  after its end.  */
struct kq_query_location
{
  int begin;
  int end;
};

/** Fields of a "submit" command, as bits of kq_query_parser.fields_set. */
enum kq_submit_field
{
  KQ_SUBMIT_TEAM = 1 << 0,
  KQ_SUBMIT_TASKS = 1 << 1,
  KQ_SUBMIT_CPU = 1 << 2,
  KQ_SUBMIT_MEMORY = 1 << 3,
  KQ_SUBMIT_ACCELERATORS = 1 << 4,
  KQ_SUBMIT_RUN = 1 << 5,
  KQ_SUBMIT_ZONE = 1 << 6,
  KQ_SUBMIT_IMPORTANCE = 1 << 7,
  KQ_SUBMIT_SERVICE = 1 << 8
};

/** State of one parse. */
struct kq_query_parser
{
  const char *text;
  int length;
  struct kq_query *query;
  struct kq_query_error *error;
  unsigned fields_set; /**< enum kq_submit_field bits of the fields read */
  int scan_offset;     /**< offset of the next byte to scan */
  jmp_buf fatal;       /**< longjmp target if the scanner is out of memory */
};

/** Kinds of unit that a number can have. */
enum kq_query_unit
{
  KQ_UNIT_NONE,
  KQ_UNIT_CPU,     /**< cores, or millicores with "m"; value in millicores */
  KQ_UNIT_MEMORY,  /**< "mb", "gb", "tb"; value in mebibytes */
  KQ_UNIT_DURATION /**< "ms", "s", "m", "h"; value in milliseconds */
};

/** Parses TEXT as a number of UNIT into *VALUE.
 *  @return 0, KQ_EQUERY_NUMBER, KQ_EQUERY_UNIT or KQ_ERANGE.  */
int kq_query_parse_number (const char *text, enum kq_query_unit unit,
                           int64_t *value);

/* Semantic actions of the grammar.  Those that can fail record the error with
   kq_query_fail() and return it, or 0 on success.  */

void kq_query_begin_command (struct kq_query_parser *parser,
                             enum kq_command_kind kind);
void kq_query_begin_show (struct kq_query_parser *parser, enum kq_table table);
int kq_query_read_name (struct kq_query_parser *parser,
                        struct kq_query_location location,
                        struct kq_name *name);
int kq_query_read_number (struct kq_query_parser *parser,
                          struct kq_query_location location,
                          enum kq_query_unit unit, int64_t min, int64_t max,
                          int64_t *value);
int kq_query_read_task (struct kq_query_parser *parser,
                        struct kq_query_location location);
int kq_query_read_document (struct kq_query_parser *parser,
                            struct kq_query_location location);
int kq_query_add_filter (struct kq_query_parser *parser,
                         struct kq_query_location field, enum kq_query_op op,
                         struct kq_query_location value);
int kq_query_mark_field (struct kq_query_parser *parser,
                         struct kq_query_location location,
                         enum kq_submit_field field);
int kq_query_set_name (struct kq_query_parser *parser,
                       struct kq_query_location word,
                       struct kq_query_location value,
                       enum kq_submit_field field, struct kq_name *name);
int kq_query_set_number (struct kq_query_parser *parser,
                         struct kq_query_location word,
                         struct kq_query_location value,
                         enum kq_submit_field field);
int kq_query_end_submit (struct kq_query_parser *parser);

/** Records the error ERR at LOCATION with the text EXPECTED, unless an error
 *  is recorded already.
 *  @return the recorded error.  */
int kq_query_fail (struct kq_query_parser *parser,
                   struct kq_query_location location, int err,
                   const char *expected);

#endif

/** @file
 * What the subcommands of the command-line tool share.
 *
 * Each subcommand is one file with one function kq_cmd_NAME().  It gets its
 * own name as argv[0] and returns the exit status; nothing below the top
 * level ends the process.
 */
#ifndef KQ_BUILTIN_BUILTIN_H
#define KQ_BUILTIN_BUILTIN_H

#include <stdbool.h>

#include "query/query.h"

/** Exit statuses of the tool. */
enum kq_status
{
  KQ_STATUS_OK = 0,      /**< answered, or accepted */
  KQ_STATUS_REFUSED = 1, /**< the system refused it; nothing was changed */
  KQ_STATUS_USAGE = 2,   /**< a flag or a word of the command is wrong */
  KQ_STATUS_SILENT = 3,  /**< nobody answered; nothing was changed */
  KQ_STATUS_UNKNOWN = 4  /**< the command may or may not have taken effect */
};

/** Most addresses of entry hosts that one call tries. */
#define KQ_TOOL_URLS_MAX 16

/** Most words of one command. */
#define KQ_TOOL_WORDS_MAX 64

/** Flags that every subcommand takes. */
struct kq_tool_options
{
  const char *urls[KQ_TOOL_URLS_MAX];
  int url_count;
  char *url_list;   /**< copy of KUMQUATRACK_ADMIN that urls point into */
  bool json;        /**< print the answer as it came */
  double watch_sec; /**< repeat every so many seconds; 0 = once */
  double timeout_sec;
};

/** What --help says of a subcommand. */
struct kq_tool_usage
{
  const char *name;
  const char *words; /**< words after the name */
  const char *text;  /**< one paragraph, ended by a newline */
};

/** Reads flags and words of a subcommand.  Words that hold blanks are
 *  quoted.  *TEXT becomes a new string "NAME WORD...", or NULL when there is
 *  nothing to run (help, or a wrong flag).
 *  @return KQ_STATUS_OK or KQ_STATUS_USAGE.  */
enum kq_status kq_tool_parse (int argc, char **argv,
                              const struct kq_tool_usage *usage,
                              struct kq_tool_options *options, char **text);

/** Frees what OPTIONS owns. */
void kq_tool_options_clear (struct kq_tool_options *options);

/** Checks, sends and prints one command TEXT; repeats it as --watch says. */
enum kq_status kq_tool_run (const struct kq_tool_options *options,
                            const char *text);

/** Parses flags and runs the command: all of most subcommands. */
enum kq_status kq_tool_main (int argc, char **argv,
                             const struct kq_tool_usage *usage);

/** Prints the exit statuses, the end of each --help. */
void kq_tool_print_statuses (void);

int kq_cmd_show (int argc, char **argv);
int kq_cmd_why (int argc, char **argv);
int kq_cmd_trace (int argc, char **argv);
int kq_cmd_submit (int argc, char **argv);
int kq_cmd_cancel (int argc, char **argv);
int kq_cmd_drain (int argc, char **argv);
int kq_cmd_undrain (int argc, char **argv);
int kq_cmd_configure (int argc, char **argv);
int kq_cmd_shell (int argc, char **argv);
int kq_cmd_load (int argc, char **argv);

#endif

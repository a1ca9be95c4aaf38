/** @file
 * Declarations shared by the subcommands of the command-line tool.
 *
 * Each subcommand is one file with one function kq_cmd_NAME().  It gets its
 * own name as argv[0] and returns the exit status.  Only kumquatrack.c may
 * exit the process.
 */
#ifndef KQ_BUILTIN_BUILTIN_H
#define KQ_BUILTIN_BUILTIN_H

#include <stdbool.h>

#include "query/query.h"

/** Exit statuses of the tool. */
enum kq_exit_status
{
  KQ_STATUS_OK = 0,          /**< query answered, or change accepted */
  KQ_STATUS_REFUSED = 1,     /**< refused by the system; nothing was changed */
  KQ_STATUS_USAGE = 2,       /**< invalid flag or command; nothing was sent */
  KQ_STATUS_NO_RESPONSE = 3, /**< no host responded; nothing was changed */
  KQ_STATUS_UNKNOWN = 4 /**< the command may or may not have taken effect */
};

/** Maximum number of entry hosts that one run of the tool tries. */
#define KQ_TOOL_URLS_MAX 16

/** Maximum number of words of one command. */
#define KQ_TOOL_WORDS_MAX 64

/** Flags common to all subcommands. */
struct kq_tool_options
{
  const char *urls[KQ_TOOL_URLS_MAX];
  int url_count;
  char *url_list;     /**< copy of KUMQUATRACK_ADMIN that urls point into */
  bool json;          /**< print the response as JSON */
  double watch_sec;   /**< interval at which to repeat the query; 0: once */
  double timeout_sec; /**< time limit for the response of each entry host */
};

/** Contents of a subcommand's --help. */
struct kq_tool_usage
{
  const char *name;
  const char *arguments;   /**< synopsis of the words after the name */
  const char *description; /**< one paragraph, ends with a newline */
};

/** Parses the flags and words of a subcommand.  Words that contain blanks are
 *  quoted.  *TEXT becomes a new string "NAME WORD...", or NULL if there is
 *  nothing to run (--help, or an invalid flag).
 *  @return KQ_STATUS_OK or KQ_STATUS_USAGE.  */
enum kq_exit_status kq_tool_parse (int argc, char **argv,
                                   const struct kq_tool_usage *usage,
                                   struct kq_tool_options *options,
                                   char **text);

/** Frees the memory that OPTIONS owns. */
void kq_tool_options_clear (struct kq_tool_options *options);

/** Parses the command TEXT, sends it and prints the response; repeats this if
 *  --watch is given.  */
enum kq_exit_status kq_tool_run (const struct kq_tool_options *options,
                                 const char *text);

/** Parses the flags and runs the command.  Most subcommands consist of this
 *  call only.  */
enum kq_exit_status kq_tool_main (int argc, char **argv,
                                  const struct kq_tool_usage *usage);

/** Prints the list of exit statuses, the last part of each --help. */
void kq_tool_print_exit_statuses (void);

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
int kq_cmd_explain (int argc, char **argv);

#endif

/** @file
 * Structured log: one JSON object per line, on standard error unless
 * kq_log_to_stdout() is called.
 *
 * Each line has time_us, host, level, module and event, then err and err_name
 * if it reports an error, then the fields that the caller passes.
 */
#ifndef KQ_LOG_LOG_H
#define KQ_LOG_LOG_H

#include <stdbool.h>

enum kq_log_level
{
  KQ_LOG_ERROR,
  KQ_LOG_WARN,
  KQ_LOG_INFO,
  KQ_LOG_DEBUG
};

/** Sets the most verbose level that is written, and the host name in each
 *  line.  Must not be called while other threads log.  */
void kq_log_setup (enum kq_log_level level, const char *host);

/** Switches the log to standard output, in non-blocking mode: lines are
 * dropped and counted while the pipe and the buffer are full.  Lines are
 * buffered until kq_log_flush() is called or the buffer is full.  The buffer
 * has no lock, so only one thread may log.  */
void kq_log_to_stdout (void);

/** Writes the buffered lines. */
void kq_log_flush (void);

/** Returns the number of dropped lines. */
unsigned long kq_log_dropped (void);

/** Parses the name of a level ("error", "warn", "info", "debug").
 *  @return 0 or KQ_ESYNTAX.  */
int kq_log_level_parse (const char *text, enum kq_log_level *level);

/** Returns whether lines of LEVEL are written. */
bool kq_log_enabled (enum kq_log_level level);

/** Writes one line.  MODULE and EVENT are constant texts; ERR is 0 or an error
 *  number of base/err.h.  Pairs of const char * (field, value) follow, ended
 * by NULL.  A field that would make the line longer than 2 KiB is left out. */
void kq_log (enum kq_log_level level, const char *module, const char *event,
             int err, ...) __attribute__ ((sentinel));

#endif

/** @file
 * Structured log lines: one JSON object a line, on standard error
 * unless kq_log_to_stdout() is called.
 *
 * Fields are always level, module, event, then err with its name where a
 * failure is reported, then the ids that the caller passes.
 */
#ifndef KQ_LOG_LOG_H
#define KQ_LOG_LOG_H

enum kq_log_level
{
  KQ_LOG_ERROR,
  KQ_LOG_WARN,
  KQ_LOG_INFO,
  KQ_LOG_DEBUG
};

/** Sets the highest level that is written, and the host name that each line
 *  carries.  Not safe to call while other threads log.  */
void kq_log_setup (enum kq_log_level level, const char *host);

/** Writes to standard output from now on, without waiting: lines that a full
 *  pipe does not take are dropped and counted.  Lines are gathered until
 *  kq_log_flush() or until the buffer is full, so that one thread only may
 *  log.  */
void kq_log_to_stdout (void);

/** Writes what was gathered. */
void kq_log_flush (void);

/** Returns how many lines were dropped. */
unsigned long kq_log_dropped (void);

/** Reads a level's name ("error", "warn", "info", "debug").
 *  @return 0 or KQ_ESYNTAX.  */
int kq_log_level_parse (const char *text, enum kq_log_level *level);

/** Writes one line.  MODULE and EVENT are fixed words; ERR is 0 or a number
 *  of base/err.h; then follow pairs of const char * (field, value), ended by
 *  NULL.  Lines over 2 KiB are cut at a field's end.  */
void kq_log (enum kq_log_level level, const char *module, const char *event,
             int err, ...) __attribute__ ((sentinel));

#endif

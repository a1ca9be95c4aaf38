#include "log/log.h"

#include <fcntl.h>
#include <stdarg.h>
#include <stdbool.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "base/clock.h"
#include "base/err.h"

#define LINE_SIZE 2048

/* Size of a write that a pipe accepts completely or not at all (PIPE_BUF). */
#define BUFFER_BYTES 4096

static enum kq_log_level max_level = KQ_LOG_INFO;
static char host_name[64] = "-";
static int output_fd = STDERR_FILENO;
static _Atomic unsigned long dropped;

/* Lines to write with the next flush; used if buffered is true. */
static bool buffered;
static struct
{
  char text[BUFFER_BYTES];
  size_t length;
} buffer;

static const char *const level_names[] = { "error", "warn", "info", "debug" };

struct line
{
  char text[LINE_SIZE];
  size_t length;
};

/* Returns whether MORE bytes fit and leave space for the closing brace and the
   newline.  */
static bool
has_capacity (const struct line *line, size_t more)
{
  return line->length + more + 3 < LINE_SIZE;
}

static void
append_raw (struct line *line, const char *text, size_t length)
{
  memcpy (line->text + line->length, text, length);
  line->length += length;
}

/* Appends VALUE with JSON escapes, truncated where the line is full. */
static void
append_escaped (struct line *line, const char *value)
{
  for (; *value != '\0' && has_capacity (line, 8); value++)
    {
      unsigned char c = (unsigned char)*value;

      if (c < 0x20 || c == 0x7f)
        line->length
            += (size_t)snprintf (line->text + line->length, 7, "\\u%04x", c);
      else
        {
          if (c == '"' || c == '\\')
            line->text[line->length++] = '\\';
          line->text[line->length++] = (char)c;
        }
    }
}

static void
append_field (struct line *line, const char *name, const char *value)
{
  size_t name_length = strlen (name);

  if (!has_capacity (line, name_length + strlen (value) + 6))
    return;
  append_raw (line, line->length > 1 ? ",\"" : "\"", line->length > 1 ? 2 : 1);
  append_raw (line, name, name_length);
  append_raw (line, "\":\"", 3);
  append_escaped (line, value);
  append_raw (line, "\"", 1);
}

bool
kq_log_enabled (enum kq_log_level level)
{
  return level <= max_level;
}

void
kq_log_setup (enum kq_log_level level, const char *host)
{
  max_level = level;
  snprintf (host_name, sizeof host_name, "%s", host);
}

int
kq_log_level_parse (const char *text, enum kq_log_level *level)
{
  for (int i = KQ_LOG_ERROR; i <= KQ_LOG_DEBUG; i++)
    if (strcmp (text, level_names[i]) == 0)
      {
        *level = (enum kq_log_level)i;
        return 0;
      }
  return KQ_ESYNTAX;
}

/* Writes each line with one write(), so that lines of several threads do not
   mix.  In buffered mode only one thread logs, and lines are collected,
   because a write() costs more than formatting a line.  */
static void
write_line (const struct line *line)
{
  if (!buffered)
    {
      if (write (output_fd, line->text, line->length) < 0)
        dropped++;
      return;
    }
  if (buffer.length + line->length > sizeof buffer.text)
    kq_log_flush ();
  if (buffer.length + line->length > sizeof buffer.text)
    {
      dropped++;
      return;
    }
  memcpy (buffer.text + buffer.length, line->text, line->length);
  buffer.length += line->length;
}

void
kq_log (enum kq_log_level level, const char *module, const char *event,
        int err, ...)
{
  struct line line = { .text = "{", .length = 1 };
  char number[32];
  va_list fields;

  if (level > max_level)
    return;
  snprintf (number, sizeof number, "%lld", (long long)kq_clock_wall ());
  append_field (&line, "time_us", number);
  append_field (&line, "host", host_name);
  append_field (&line, "level", level_names[level]);
  append_field (&line, "module", module);
  append_field (&line, "event", event);
  if (err != 0)
    {
      snprintf (number, sizeof number, "%d", err);
      append_field (&line, "err", number);
      append_field (&line, "err_name", kq_err_name (err));
    }
  va_start (fields, err);
  for (const char *name = va_arg (fields, const char *); name != NULL;
       name = va_arg (fields, const char *))
    append_field (&line, name, va_arg (fields, const char *));
  va_end (fields);
  append_raw (&line, "}\n", 2);
  write_line (&line);
}

void
kq_log_flush (void)
{
  ssize_t written = 0;

  if (buffer.length > 0)
    written = write (output_fd, buffer.text, buffer.length);
  if (written <= 0)
    return;
  /* Bytes that a full pipe did not accept are written with the next flush. */
  buffer.length -= (size_t)written;
  memmove (buffer.text, buffer.text + written, buffer.length);
}

void
kq_log_to_stdout (void)
{
  int flags = fcntl (STDOUT_FILENO, F_GETFL);

  output_fd = STDOUT_FILENO;
  buffered = true;
  if (flags >= 0)
    fcntl (STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
}

unsigned long
kq_log_dropped (void)
{
  return dropped;
}

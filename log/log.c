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

/* What a pipe takes as a whole or not at all (PIPE_BUF). */
#define GATHER_BYTES 4096

static enum kq_log_level highest_level = KQ_LOG_INFO;
static char host_name[64] = "-";
static int output = STDERR_FILENO;
static _Atomic unsigned long dropped;

/* Lines that wait to be written. */
static bool gathers;
static struct
{
  char text[GATHER_BYTES];
  size_t length;
} gathered;

static const char *const level_names[] = { "error", "warn", "info", "debug" };

struct line
{
  char text[LINE_SIZE];
  size_t length;
};

/* Room for the closing brace and newline is kept free. */
static bool
has_room (const struct line *line, size_t more)
{
  return line->length + more + 3 < LINE_SIZE;
}

static void
put_raw (struct line *line, const char *text, size_t length)
{
  memcpy (line->text + line->length, text, length);
  line->length += length;
}

/* Adds VALUE between quotes, cut where the line is full. */
static void
put_escaped (struct line *line, const char *value)
{
  for (; *value != '\0' && has_room (line, 8); value++)
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
put_field (struct line *line, const char *name, const char *value)
{
  size_t name_length = strlen (name);

  if (!has_room (line, name_length + strlen (value) + 6))
    return;
  put_raw (line, line->length > 1 ? ",\"" : "\"", line->length > 1 ? 2 : 1);
  put_raw (line, name, name_length);
  put_raw (line, "\":\"", 3);
  put_escaped (line, value);
  put_raw (line, "\"", 1);
}

void
kq_log_setup (enum kq_log_level level, const char *host)
{
  highest_level = level;
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

/* One write a line keeps lines of several threads apart; where one thread
   logs, its lines are gathered: a write costs more than a line. */
static void
emit (const struct line *line)
{
  if (!gathers)
    {
      if (write (output, line->text, line->length) < 0)
        dropped++;
      return;
    }
  if (gathered.length + line->length > sizeof gathered.text)
    kq_log_flush ();
  if (gathered.length + line->length > sizeof gathered.text)
    {
      dropped++;
      return;
    }
  memcpy (gathered.text + gathered.length, line->text, line->length);
  gathered.length += line->length;
}

void
kq_log (enum kq_log_level level, const char *module, const char *event,
        int err, ...)
{
  struct line line = { .text = "{", .length = 1 };
  char number[32];
  va_list fields;

  if (level > highest_level)
    return;
  snprintf (number, sizeof number, "%lld", (long long)kq_clock_wall ());
  put_field (&line, "time_us", number);
  put_field (&line, "host", host_name);
  put_field (&line, "level", level_names[level]);
  put_field (&line, "module", module);
  put_field (&line, "event", event);
  if (err != 0)
    {
      snprintf (number, sizeof number, "%d", err);
      put_field (&line, "err", number);
      put_field (&line, "err_name", kq_err_name (err));
    }
  va_start (fields, err);
  for (const char *name = va_arg (fields, const char *); name != NULL;
       name = va_arg (fields, const char *))
    put_field (&line, name, va_arg (fields, const char *));
  va_end (fields);
  put_raw (&line, "}\n", 2);
  emit (&line);
}

void
kq_log_flush (void)
{
  ssize_t written = 0;

  if (gathered.length > 0)
    written = write (output, gathered.text, gathered.length);
  if (written <= 0)
    return;
  /* What a full pipe did not take is tried again with the next lines. */
  gathered.length -= (size_t)written;
  memmove (gathered.text, gathered.text + written, gathered.length);
}

void
kq_log_to_stdout (void)
{
  int flags = fcntl (STDOUT_FILENO, F_GETFL);

  output = STDOUT_FILENO;
  gathers = true;
  if (flags >= 0)
    fcntl (STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
}

unsigned long
kq_log_dropped (void)
{
  return dropped;
}

#include "trace/trace.h"

#include <ctype.h>
#include <inttypes.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/err.h"

/** Number of hexadecimal digits of a span id. */
#define SPAN_ID_DIGITS 16

struct ring
{
  pthread_mutex_t lock;
  size_t next_index;
  struct ring *next_ring;
  struct kq_trace_record records[KQ_TRACE_RING_SPANS];
};

static pthread_mutex_t rings_lock = PTHREAD_MUTEX_INITIALIZER;
static struct ring *rings;
static __thread struct ring *thread_ring;
static char host_name[KQ_NAME_SIZE] = "-";

/* Parses exactly DIGITS lower-case hexadecimal digits into *VALUE. */
static int
read_hex (const char *text, int digits, uint64_t *value)
{
  *value = 0;
  for (int i = 0; i < digits; i++)
    {
      unsigned char c = (unsigned char)text[i];
      if (!isxdigit (c) || isupper (c))
        return KQ_ESYNTAX;
      *value = *value << 4 | (uint64_t)(isdigit (c) ? c - '0' : c - 'a' + 10);
    }
  return 0;
}

static int
read_trace_id (const char *text, uint64_t trace[2])
{
  if (read_hex (text, SPAN_ID_DIGITS, &trace[0]) != 0
      || read_hex (text + SPAN_ID_DIGITS, SPAN_ID_DIGITS, &trace[1]) != 0)
    return KQ_ESYNTAX;
  return trace[0] != 0 || trace[1] != 0 ? 0 : KQ_ESYNTAX;
}

int
kq_trace_parse (const char *text, uint64_t span_id,
                struct kq_trace_context *context)
{
  struct kq_trace_context parsed = { .span = span_id };
  uint64_t flags;

  if (strlen (text) != KQ_TRACE_PARENT_SIZE - 1
      || strncmp (text, "00-", 3) != 0 || text[35] != '-' || text[52] != '-'
      || read_trace_id (text + 3, parsed.trace) != 0
      || read_hex (text + 36, SPAN_ID_DIGITS, &parsed.parent) != 0
      || read_hex (text + 53, 2, &flags) != 0 || parsed.parent == 0)
    return KQ_ESYNTAX;
  parsed.flags = (uint8_t)flags;
  *context = parsed;
  return 0;
}

void
kq_trace_begin (struct kq_trace_context *context, uint64_t high, uint64_t low,
                uint64_t span_id)
{
  memset (context, 0, sizeof *context);
  context->trace[0] = high;
  context->trace[1] = low != 0 ? low : 1;
  context->span = span_id;
  context->flags = 1;
}

struct kq_trace_context
kq_trace_child (const struct kq_trace_context *context, uint64_t span_id)
{
  struct kq_trace_context child = *context;

  child.parent = context->span;
  child.span = span_id;
  return child;
}

void
kq_trace_format (const struct kq_trace_context *context,
                 char out[KQ_TRACE_PARENT_SIZE])
{
  snprintf (out, KQ_TRACE_PARENT_SIZE,
            "00-%016" PRIx64 "%016" PRIx64 "-%016" PRIx64 "-%02x",
            context->trace[0], context->trace[1], context->span,
            context->flags);
}

void
kq_trace_id (const struct kq_trace_context *context,
             char out[KQ_TRACE_ID_SIZE])
{
  snprintf (out, KQ_TRACE_ID_SIZE, "%016" PRIx64 "%016" PRIx64,
            context->trace[0], context->trace[1]);
}

void
kq_trace_setup (const char *host)
{
  snprintf (host_name, sizeof host_name, "%s", host);
}

static struct ring *
get_ring (void)
{
  struct ring *ring = thread_ring;

  if (ring != NULL)
    return ring;
  ring = calloc (1, sizeof *ring);
  if (ring == NULL)
    return NULL;
  pthread_mutex_init (&ring->lock, NULL);
  pthread_mutex_lock (&rings_lock);
  ring->next_ring = rings;
  rings = ring;
  pthread_mutex_unlock (&rings_lock);
  thread_ring = ring;
  return ring;
}

void
kq_trace_record_span (const struct kq_trace_record *record)
{
  struct ring *ring = get_ring ();

  if (ring == NULL)
    return;
  pthread_mutex_lock (&ring->lock);
  ring->records[ring->next_index] = *record;
  ring->next_index = (ring->next_index + 1) % KQ_TRACE_RING_SPANS;
  pthread_mutex_unlock (&ring->lock);
}

static json_t *
record_json (const struct kq_trace_record *record)
{
  char trace[KQ_TRACE_ID_SIZE];
  char span[SPAN_ID_DIGITS + 1];
  char parent[SPAN_ID_DIGITS + 1] = "";

  kq_trace_id (&record->context, trace);
  snprintf (span, sizeof span, "%016" PRIx64, record->context.span);
  if (record->context.parent != 0)
    snprintf (parent, sizeof parent, "%016" PRIx64, record->context.parent);
  return json_pack ("{ss ss ss ss ss ss sI sI ss}", "trace", trace, "span",
                    span, "parent", parent, "name", record->name, "host",
                    host_name, "target", record->target.text, "start_us",
                    (json_int_t)record->start, "duration_us",
                    (json_int_t)record->duration, "err",
                    kq_err_name (record->err));
}

static int
append_spans (struct ring *ring, const uint64_t trace[2], json_t *spans)
{
  int err = 0;

  pthread_mutex_lock (&ring->lock);
  for (size_t i = 0; i < KQ_TRACE_RING_SPANS && err == 0; i++)
    {
      struct kq_trace_record *record
          = &ring->records[(ring->next_index + i) % KQ_TRACE_RING_SPANS];
      if (record->name != NULL && record->context.trace[0] == trace[0]
          && record->context.trace[1] == trace[1])
        err = json_array_append_new (spans, record_json (record));
    }
  pthread_mutex_unlock (&ring->lock);
  return err;
}

json_t *
kq_trace_find (const char *trace_id)
{
  uint64_t trace[2];
  json_t *spans;
  int err = 0;

  if (strlen (trace_id) != KQ_TRACE_ID_SIZE - 1
      || read_trace_id (trace_id, trace) != 0)
    return NULL;
  spans = json_array ();
  if (spans == NULL)
    return NULL;
  pthread_mutex_lock (&rings_lock);
  for (struct ring *ring = rings; ring != NULL && err == 0;
       ring = ring->next_ring)
    err = append_spans (ring, trace, spans);
  pthread_mutex_unlock (&rings_lock);
  if (err != 0)
    {
      json_decref (spans);
      return NULL;
    }
  return spans;
}

/** @file
 * Traces: one span for each hop of a request or a task.
 *
 * A span goes into a bounded ring of the thread that records it; old spans
 * are overwritten.  Trace contexts travel as W3C traceparent headers.
 */
#ifndef KQ_TRACE_TRACE_H
#define KQ_TRACE_TRACE_H

#include <jansson.h>
#include <stdint.h>

#include "base/clock.h"
#include "base/name.h"

/** Spans that each thread's ring holds. */
#define KQ_TRACE_RING 4096

/** Bytes of a traceparent header's value, with its terminating zero. */
#define KQ_TRACE_PARENT_SIZE 56

/** Bytes of a trace id in hexadecimal, with its terminating zero. */
#define KQ_TRACE_ID_SIZE 33

/** Where a request is in its trace. */
struct kq_trace_context
{
  uint64_t trace[2]; /**< trace id, high half first; never both 0 */
  uint64_t span;     /**< id of the current span */
  uint64_t parent;   /**< id of the span above, 0 if none */
  uint8_t flags;     /**< as received; bit 0: sampled */
};

struct kq_trace_record
{
  struct kq_trace_context context;
  const char *name;      /**< fixed word: what was done, such as "attempt" */
  struct kq_name target; /**< worker or host that it was sent to, or empty */
  kq_usec start;         /**< wall clock */
  kq_usec duration;
  int err;
};

/** Reads a traceparent header's value; SPAN_ID names the new span below it.
 *  @return 0 or KQ_ESYNTAX.  */
int kq_trace_parse (const char *text, uint64_t span_id,
                    struct kq_trace_context *context);

/** Starts a new trace with the given ids. */
void kq_trace_begin (struct kq_trace_context *context, uint64_t high,
                     uint64_t low, uint64_t span_id);

/** Returns a context for a span below CONTEXT. */
struct kq_trace_context kq_trace_child (const struct kq_trace_context *context,
                                        uint64_t span_id);

/** Writes CONTEXT as a traceparent value. */
void kq_trace_format (const struct kq_trace_context *context,
                      char out[KQ_TRACE_PARENT_SIZE]);

/** Writes CONTEXT's trace id in hexadecimal. */
void kq_trace_id (const struct kq_trace_context *context,
                  char out[KQ_TRACE_ID_SIZE]);

/** Sets the host name that spans carry; called before threads record. */
void kq_trace_setup (const char *host);

/** Records a span in the calling thread's ring.  Without memory for the
 *  ring the span is lost.  */
void kq_trace_span (const struct kq_trace_record *record);

/** Returns the spans of TRACE_ID (32 hexadecimal digits) in all rings as a
 *  new JSON array, which is empty when there are none; NULL when out of
 *  memory or TRACE_ID is malformed.  */
json_t *kq_trace_find (const char *trace_id);

#endif

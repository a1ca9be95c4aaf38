/** @file
 * Traces: one span for each hop of a request or a task.
 *
 * Each thread records its spans in its own ring buffer, where new spans
 * overwrite the oldest.  Trace contexts are propagated as W3C traceparent
 * headers.
 */
#ifndef KQ_TRACE_TRACE_H
#define KQ_TRACE_TRACE_H

#include <jansson.h>
#include <stdint.h>

#include "base/clock.h"
#include "base/name.h"

/** Number of spans in each thread's ring buffer. */
#define KQ_TRACE_RING_SPANS 4096

/** Size in bytes of the value of a traceparent header, including the
 *  terminating zero.  */
#define KQ_TRACE_PARENT_SIZE 56

/** Size in bytes of a trace id in hexadecimal, including the terminating
 *  zero.  */
#define KQ_TRACE_ID_SIZE 33

/** Trace context: position of a request or a task in its trace. */
struct kq_trace_context
{
  uint64_t trace[2]; /**< trace id, high half first; never both 0 */
  uint64_t span;     /**< id of the current span */
  uint64_t parent;   /**< id of the parent span, 0 if none */
  uint8_t flags;     /**< as received; bit 0: sampled */
};

/** A recorded span. */
struct kq_trace_record
{
  struct kq_trace_context context;
  const char *name;      /**< constant name of the step, such as "attempt" */
  struct kq_name target; /**< worker or host that it was sent to, or empty */
  kq_usec start;         /**< wall-clock time, see kq_clock_wall() */
  kq_usec duration;
  int err; /**< 0 or the error that ended the step */
};

/** Parses the value of a traceparent header into CONTEXT, for a new span
 *  SPAN_ID whose parent is the span in the header.
 *  @return 0 or KQ_ESYNTAX.  */
int kq_trace_parse (const char *text, uint64_t span_id,
                    struct kq_trace_context *context);

/** Sets CONTEXT to the root span SPAN_ID of a new trace, whose id has the
 * halves HIGH and LOW.  */
void kq_trace_begin (struct kq_trace_context *context, uint64_t high,
                     uint64_t low, uint64_t span_id);

/** Returns the context of a child span of CONTEXT. */
struct kq_trace_context kq_trace_child (const struct kq_trace_context *context,
                                        uint64_t span_id);

/** Writes CONTEXT as the value of a traceparent header. */
void kq_trace_format (const struct kq_trace_context *context,
                      char out[KQ_TRACE_PARENT_SIZE]);

/** Writes the trace id of CONTEXT in hexadecimal. */
void kq_trace_id (const struct kq_trace_context *context,
                  char out[KQ_TRACE_ID_SIZE]);

/** Sets the host name in spans; must be called before any span is recorded. */
void kq_trace_setup (const char *host);

/** Records a span in the ring buffer of the calling thread.  The span is
 * dropped if there is no memory for the ring buffer.  */
void kq_trace_record_span (const struct kq_trace_record *record);

/** Returns the spans of TRACE_ID (32 hexadecimal digits) in all ring buffers
 * as a new JSON array, which is empty if there are none.
 *  @return NULL if out of memory or if TRACE_ID is malformed.  */
json_t *kq_trace_find (const char *trace_id);

#endif

/** @file
 * Counters and gauges of the daemon.  Each is a 64-bit number that only its
 * owning thread writes, and that the handler of /metrics reads.
 */
#ifndef KQ_METRICS_METRICS_H
#define KQ_METRICS_METRICS_H

#include <stddef.h>
#include <stdint.h>

/** One counter or gauge.  Declared static by the module that owns it and
 *  registered once at start, before threads run.  */
struct kq_metric
{
  const char *name; /**< such as "kq_requests_total" */
  const char *help; /**< one sentence */
  _Atomic int64_t value;
  struct kq_metric *next; /**< owned by the registry */
};

/** Adds METRIC to the registry; it must live as long as the process. */
void kq_metric_register (struct kq_metric *metric);

/** Adds DELTA to METRIC. */
void kq_metric_add (struct kq_metric *metric, int64_t delta);

/** Sets METRIC to VALUE. */
void kq_metric_set (struct kq_metric *metric, int64_t value);

/** Writes all metrics as text into BUFFER of SIZE bytes: a "# HELP" line and a
 *  "name value" line for each.
 *  @return the length written, or KQ_ETOOBIG.  */
int kq_metric_print (char *buffer, size_t size);

#endif

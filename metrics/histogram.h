/** @file
 * Histograms of durations: counts in buckets whose bounds double from 1 ms to
 * 16 s.
 */
#ifndef KQ_METRICS_HISTOGRAM_H
#define KQ_METRICS_HISTOGRAM_H

#include <stddef.h>
#include <stdint.h>

#include "base/clock.h"

/** Number of buckets with an upper bound; one more bucket counts longer
 *  durations.  */
#define KQ_HISTOGRAM_BUCKETS 15

/** One histogram.  Declared static by the module that owns it and registered
 *  once at start; written by one thread.  */
struct kq_histogram
{
  const char *name; /**< such as "kq_append_seconds" */
  const char *help; /**< one sentence */
  _Atomic int64_t counts[KQ_HISTOGRAM_BUCKETS + 1];
  _Atomic int64_t sum; /**< of all durations, in microseconds */
  struct kq_histogram *next;
};

/** Adds HISTOGRAM to the registry; it must live as long as the process. */
void kq_histogram_register (struct kq_histogram *histogram);

/** Adds DURATION to HISTOGRAM. */
void kq_histogram_add (struct kq_histogram *histogram, kq_usec duration);

/** Writes all histograms as text into BUFFER of SIZE bytes: a "# HELP" line,
 *  cumulative buckets, the sum in seconds and the count of each.
 *  @return the length written, or KQ_ETOOBIG.  */
int kq_histogram_print (char *buffer, size_t size);

#endif

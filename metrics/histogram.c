#include "metrics/histogram.h"

#include <inttypes.h>
#include <stdbool.h>
#include <stdio.h>

#include "base/err.h"

#define FIRST_BOUND_US KQ_USEC_PER_MSEC

static struct kq_histogram *histograms;

void
kq_histogram_register (struct kq_histogram *histogram)
{
  histogram->next = histograms;
  histograms = histogram;
}

void
kq_histogram_add (struct kq_histogram *histogram, kq_usec duration)
{
  kq_usec bound = FIRST_BOUND_US;
  int bucket = 0;

  while (bucket < KQ_HISTOGRAM_BUCKETS && duration > bound)
    {
      bound *= 2;
      bucket++;
    }
  histogram->counts[bucket]++;
  histogram->sum += duration;
}

static int
print_histogram (const struct kq_histogram *histogram, char *buffer,
                 size_t size)
{
  kq_usec bound = FIRST_BOUND_US;
  int64_t cumulative_count = 0;
  int length = snprintf (buffer, size, "# HELP %s %s\n", histogram->name,
                         histogram->help);

  for (int i = 0; i <= KQ_HISTOGRAM_BUCKETS; i++)
    {
      char text[24] = "+Inf";

      cumulative_count += histogram->counts[i];
      if (i < KQ_HISTOGRAM_BUCKETS)
        snprintf (text, sizeof text, "%.3f", (double)bound / 1e6);
      bound *= 2;
      if ((size_t)length < size)
        length += snprintf (buffer + length, size - (size_t)length,
                            "%s_bucket{le=\"%s\"} %" PRId64 "\n",
                            histogram->name, text, cumulative_count);
    }
  if ((size_t)length < size)
    length += snprintf (buffer + length, size - (size_t)length,
                        "%s_sum %.6f\n%s_count %" PRId64 "\n", histogram->name,
                        (double)histogram->sum / 1e6, histogram->name,
                        cumulative_count);
  return length;
}

int
kq_histogram_print (char *buffer, size_t size)
{
  size_t length = 0;

  for (const struct kq_histogram *histogram = histograms; histogram != NULL;
       histogram = histogram->next)
    {
      int added = print_histogram (histogram, buffer + length, size - length);

      if (added < 0 || (size_t)added >= size - length)
        return KQ_ETOOBIG;
      length += (size_t)added;
    }
  return (int)length;
}

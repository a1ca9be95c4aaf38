#include "metrics/metrics.h"

#include <inttypes.h>
#include <stdatomic.h>
#include <stdio.h>
#include <utlist.h>

#include "base/err.h"

static struct kq_metric *registry;

void
kq_metric_register (struct kq_metric *metric)
{
  LL_APPEND (registry, metric);
}

void
kq_metric_add (struct kq_metric *metric, int64_t delta)
{
  atomic_fetch_add_explicit (&metric->value, delta, memory_order_relaxed);
}

void
kq_metric_set (struct kq_metric *metric, int64_t value)
{
  atomic_store_explicit (&metric->value, value, memory_order_relaxed);
}

int
kq_metric_print (char *buffer, size_t size)
{
  size_t length = 0;
  struct kq_metric *metric;

  LL_FOREACH (registry, metric)
  {
    int64_t value
        = atomic_load_explicit (&metric->value, memory_order_relaxed);
    int n = snprintf (buffer + length, size - length,
                      "# HELP %s %s\n%s %" PRId64 "\n", metric->name,
                      metric->help, metric->name, value);
    if (n < 0 || (size_t)n >= size - length)
      return KQ_ETOOBIG;
    length += (size_t)n;
  }
  return (int)length;
}

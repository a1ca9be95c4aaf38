#include "sched/queue.h"

#include <limits.h>
#include <math.h>
#include <string.h>

#include "base/name.h"

void
queue_to_record (const struct kq_sched_queue *queue,
                 KqSched__QueueRecord *record)
{
  kq_sched__queue_record__init (record);
  record->service = (char *)queue->service;
  record->priority = (uint32_t)queue->priority;
  record->attempts = (uint32_t)queue->attempts;
  record->stretch = queue->stretch;
  record->slo_ms = queue->slo_ms;
  record->advised = queue->advised;
  record->advise_ms = queue->advise_ms;
}

static bool
is_valid (const KqSched__QueueRecord *record)
{
  return record->priority <= INT_MAX && record->attempts > 0
         && record->attempts <= INT_MAX && isfinite (record->stretch);
}

void
queue_from_record (struct kq_sched_queue *queue,
                   const KqSched__QueueRecord *record)
{
  queue->service[0] = '\0';
  /* A job that no worker may run must not fail for lack of attempts. */
  queue->attempts = INT_MAX;
  if (record == NULL || !is_valid (record)
      || !kq_text_copy (queue->service, sizeof queue->service,
                        record->service))
    return;
  queue->priority = (int)record->priority;
  queue->attempts = (int)record->attempts;
  queue->stretch = record->stretch;
  queue->slo_ms = record->slo_ms;
  queue->advised = record->advised;
  queue->advise_ms = record->advise_ms;
}

bool
queue_is_equal (const struct kq_sched_queue *a, const struct kq_sched_queue *b)
{
  return strcmp (a->service, b->service) == 0 && a->priority == b->priority
         && a->attempts == b->attempts && a->stretch == b->stretch
         && a->slo_ms == b->slo_ms && a->advised == b->advised
         && a->advise_ms == b->advise_ms;
}

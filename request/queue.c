#include <utlist.h>

#include "request/router.h"

/* Later requests mostly have later deadlines, so the position is searched from
   the end.  */
void
kq_queue_add (struct kq_request_queue *queue, struct kq_request *request)
{
  struct kq_request **list = &queue->lists[request->importance];
  struct kq_request *at = *list != NULL ? (*list)->prev : NULL;

  while (at != NULL && at->deadline > request->deadline)
    at = at == *list ? NULL : at->prev;
  if (at == NULL)
    DL_PREPEND (*list, request);
  else
    DL_APPEND_ELEM (*list, at, request);
  queue->counts[request->importance]++;
  queue->count++;
  request->queued = true;
}

void
kq_queue_remove (struct kq_request_queue *queue, struct kq_request *request)
{
  DL_DELETE (queue->lists[request->importance], request);
  queue->counts[request->importance]--;
  queue->count--;
  request->queued = false;
}

struct kq_request *
kq_queue_first (const struct kq_request_queue *queue)
{
  for (int i = KQ_IMPORTANCE_COUNT - 1; i >= 0; i--)
    if (queue->lists[i] != NULL)
      return queue->lists[i];
  return NULL;
}

struct kq_request *
kq_queue_next (const struct kq_request_queue *queue,
               const struct kq_request *request)
{
  if (request->next != NULL)
    return request->next;
  for (int i = request->importance - 1; i >= 0; i--)
    if (queue->lists[i] != NULL)
      return queue->lists[i];
  return NULL;
}

struct kq_request *
kq_queue_last (const struct kq_request_queue *queue)
{
  for (int i = 0; i < KQ_IMPORTANCE_COUNT; i++)
    if (queue->lists[i] != NULL)
      return queue->lists[i]->prev;
  return NULL;
}

size_t
kq_queue_count_ahead (const struct kq_request_queue *queue, int32_t importance)
{
  size_t ahead = 0;

  for (int32_t i = importance; i < KQ_IMPORTANCE_COUNT; i++)
    ahead += queue->counts[i];
  return ahead;
}

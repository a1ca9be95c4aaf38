#include "sched/types.h"

#include <stdlib.h>
#include <string.h>

void
kq_sched_config_destroy (struct kq_sched_config *config)
{
  if (config == NULL)
    return;
  free (config->by_name);
  free (config->by_route);
  free (config->queues);
  free (config);
}

/* Queues that are equal in this order keep that of the configuration, whose
   first one counts. */
static int
compare_places (const struct kq_sched_queue *a, const struct kq_sched_queue *b)
{
  return (a > b) - (a < b);
}

static int
compare_names (const void *a, const void *b)
{
  const struct kq_sched_queue *first
      = *(const struct kq_sched_queue *const *)a;
  const struct kq_sched_queue *second
      = *(const struct kq_sched_queue *const *)b;
  int order = strcmp (first->name, second->name);

  return order != 0 ? order : compare_places (first, second);
}

static int
compare_routes (const void *a, const void *b)
{
  const struct kq_sched_queue *first
      = *(const struct kq_sched_queue *const *)a;
  const struct kq_sched_queue *second
      = *(const struct kq_sched_queue *const *)b;
  int order = strcmp (first->host, second->host);

  if (order == 0)
    order = strcmp (first->prefix, second->prefix);
  return order != 0 ? order : compare_places (first, second);
}

static const struct kq_sched_queue **
sort_queues (const struct kq_sched_config *config,
             int (*compare) (const void *, const void *))
{
  const struct kq_sched_queue **sorted
      = calloc (config->queue_count + 1, sizeof (struct kq_sched_queue *));

  for (size_t i = 0; sorted != NULL && i < config->queue_count; i++)
    sorted[i] = &config->queues[i];
  if (sorted != NULL)
    qsort (sorted, config->queue_count, sizeof (struct kq_sched_queue *),
           compare);
  return sorted;
}

void
kq_sched_config_index (struct kq_sched_config *config)
{
  config->by_name = sort_queues (config, compare_names);
  config->by_route = sort_queues (config, compare_routes);
}

/* Returns the first queue with HOST and the first LENGTH bytes of PATH as its
   prefix, or NULL. */
static const struct kq_sched_queue *
find_route (const struct kq_sched_config *config, const char *host,
            const char *path, size_t length)
{
  size_t low = 0;
  size_t high = config->queue_count;

  while (low < high)
    {
      size_t middle = low + (high - low) / 2;
      const struct kq_sched_queue *queue = config->by_route[middle];
      int order = strcmp (queue->host, host);

      if (order == 0)
        order = strncmp (queue->prefix, path, length);
      if (order == 0 && queue->prefix[length] != '\0')
        order = 1;
      if (order < 0)
        low = middle + 1;
      else
        high = middle;
    }
  if (low < config->queue_count
      && strcmp (config->by_route[low]->host, host) == 0
      && strncmp (config->by_route[low]->prefix, path, length) == 0
      && config->by_route[low]->prefix[length] == '\0')
    return config->by_route[low];
  return NULL;
}

static const struct kq_sched_queue *
find_longest_route (const struct kq_sched_config *config, const char *host,
                    const char *path)
{
  size_t length = strnlen (path, sizeof config->queues->prefix - 1);
  const struct kq_sched_queue *queue;

  for (; length > 0; length--)
    {
      queue = find_route (config, host, path, length);
      if (queue != NULL)
        return queue;
    }
  return NULL;
}

static const struct kq_sched_queue *
find_name (const struct kq_sched_config *config, const char *name)
{
  size_t low = 0;
  size_t high = config->queue_count;

  while (low < high)
    {
      size_t middle = low + (high - low) / 2;

      if (strcmp (config->by_name[middle]->name, name) < 0)
        low = middle + 1;
      else
        high = middle;
    }
  if (low < config->queue_count
      && strcmp (config->by_name[low]->name, name) == 0)
    return config->by_name[low];
  return NULL;
}

const struct kq_sched_queue *
kq_sched_config_route (const struct kq_sched_config *config, const char *host,
                       const char *path)
{
  const struct kq_sched_queue *best = NULL;
  size_t best_length = 0;

  if (config->by_route != NULL)
    return find_longest_route (config, host, path);
  for (size_t i = 0; i < config->queue_count; i++)
    {
      const struct kq_sched_queue *queue = &config->queues[i];
      size_t length = strlen (queue->prefix);

      if (strcmp (queue->host, host) != 0
          || strncmp (queue->prefix, path, length) != 0)
        continue;
      if (best == NULL || length > best_length)
        {
          best = queue;
          best_length = length;
        }
    }
  return best;
}

const struct kq_sched_queue *
kq_sched_config_queue (const struct kq_sched_config *config, const char *name)
{
  if (config != NULL && config->by_name != NULL)
    return find_name (config, name);
  for (size_t i = 0; config != NULL && i < config->queue_count; i++)
    if (strcmp (config->queues[i].name, name) == 0)
      return &config->queues[i];
  return NULL;
}

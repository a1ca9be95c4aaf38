/* Queues of a configuration by name and by route.  Guards against an index
   that finds another queue than a search through all of them, which takes too
   long for each request where there are thousands.  */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "sched/types.h"
#include "t/kqtest.h"

#define QUEUES 400
#define LOOKUPS 4000

static unsigned random_state = 1;

static unsigned
draw (unsigned count)
{
  random_state = random_state * 1103515245u + 12345u;
  return (random_state >> 16) % count;
}

/* Draws a path of up to four parts of few kinds, so that prefixes of each
   other and equal ones are frequent. */
static void
draw_path (char *path, size_t size)
{
  static const char *const parts[] = { "/", "a", "b", "/aa", "/b/" };
  unsigned count = 1 + draw (4);
  size_t length = 0;

  for (unsigned i = 0; i < count; i++)
    length += (size_t)snprintf (path + length, size - length, "%s",
                                parts[draw (5)]);
}

static void
fill (struct kq_sched_config *config)
{
  config->queues = calloc (QUEUES, sizeof *config->queues);
  config->queue_count = QUEUES;
  for (int i = 0; i < QUEUES; i++)
    {
      struct kq_sched_queue *queue = &config->queues[i];

      snprintf (queue->name, sizeof queue->name, "q%u", draw (QUEUES));
      snprintf (queue->host, sizeof queue->host, "h%u", draw (5));
      draw_path (queue->prefix, sizeof queue->prefix);
    }
}

static void
test_same_as_search (void)
{
  struct kq_sched_config *config = calloc (1, sizeof *config);
  struct kq_sched_config plain = { 0 };
  char host[16];
  char path[128];
  char name[16];
  int found = 0;

  fill (config);
  plain.queues = config->queues;
  plain.queue_count = QUEUES;
  kq_sched_config_index (config);
  CU_ASSERT (config->by_name != NULL && config->by_route != NULL);
  for (int i = 0; i < LOOKUPS; i++)
    {
      const struct kq_sched_queue *queue;

      snprintf (host, sizeof host, "h%u", draw (6));
      draw_path (path, sizeof path);
      snprintf (name, sizeof name, "q%u", draw (QUEUES));
      queue = kq_sched_config_route (config, host, path);
      CU_ASSERT_PTR_EQUAL (queue, kq_sched_config_route (&plain, host, path));
      found += queue != NULL;
      CU_ASSERT_PTR_EQUAL (kq_sched_config_queue (config, name),
                           kq_sched_config_queue (&plain, name));
    }
  CU_ASSERT (found > LOOKUPS / 4 && found < LOOKUPS);
  kq_sched_config_destroy (config);
}

/* A path that is longer than any prefix, and a configuration without queues.
 */
static void
test_limits (void)
{
  struct kq_sched_config *config = calloc (1, sizeof *config);
  char path[300];

  memset (path, 'a', sizeof path - 1);
  path[sizeof path - 1] = '\0';
  kq_sched_config_index (config);
  CU_ASSERT_PTR_NULL (kq_sched_config_route (config, "h", path));
  CU_ASSERT_PTR_NULL (kq_sched_config_queue (config, "q"));
  kq_sched_config_destroy (config);
  config = calloc (1, sizeof *config);
  config->queues = calloc (1, sizeof *config->queues);
  config->queue_count = 1;
  strcpy (config->queues[0].host, "h");
  memset (config->queues[0].prefix, 'a', sizeof config->queues[0].prefix - 1);
  kq_sched_config_index (config);
  CU_ASSERT_PTR_EQUAL (kq_sched_config_route (config, "h", path),
                       &config->queues[0]);
  kq_sched_config_destroy (config);
}

static const struct kq_test tests[] = {
  { "an index finds what a search finds", test_same_as_search },
  { "limits", test_limits },
};

KQ_TEST_MAIN ("test-queues", tests)

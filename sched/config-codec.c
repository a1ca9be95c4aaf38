#include "sched/config-codec.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/err.h"
#include "sched/config.pb-c.h"

static void
fill_queue (const struct kq_sched_queue *queue, KqSched__ConfigQueue *message)
{
  kq_sched__config_queue__init (message);
  message->name = (char *)queue->name;
  message->host = (char *)queue->host;
  message->prefix = (char *)queue->prefix;
  message->service = (char *)queue->service;
  message->priority = queue->priority;
  message->attempts = queue->attempts;
  message->stretch = queue->stretch;
  message->slo_ms = queue->slo_ms;
  message->timeout_ms = queue->timeout_ms;
  message->advised = queue->advised;
  message->advise_ms = queue->advise_ms;
}

uint8_t *
kq_sched_config_pack (const struct kq_sched_config *config, size_t *size)
{
  KqSched__Config message = KQ_SCHED__CONFIG__INIT;
  KqSched__ConfigQueue *queues
      = calloc (config->queue_count + 1, sizeof *queues);
  KqSched__ConfigQueue **pointers
      = calloc (config->queue_count + 1, sizeof (KqSched__ConfigQueue *));
  uint8_t *bytes = NULL;

  if (queues != NULL && pointers != NULL)
    {
      for (size_t i = 0; i < config->queue_count; i++)
        {
          fill_queue (&config->queues[i], &queues[i]);
          pointers[i] = &queues[i];
        }
      message.schema = KQ_SCHED_CONFIG_SCHEMA;
      message.version = config->version;
      message.max_body_bytes = config->max_body_bytes;
      message.n_queues = config->queue_count;
      message.queues = pointers;
      bytes = malloc (kq_sched__config__get_packed_size (&message) + 1);
    }
  if (bytes != NULL)
    *size = kq_sched__config__pack (&message, bytes);
  free (queues);
  free (pointers);
  return bytes;
}

static bool
copy_text (char *text, size_t size, const char *from)
{
  return (size_t)snprintf (text, size, "%s", from) < size;
}

static bool
read_queue (const KqSched__ConfigQueue *message, struct kq_sched_queue *queue)
{
  queue->priority = message->priority;
  queue->attempts = message->attempts;
  queue->stretch = message->stretch;
  queue->slo_ms = message->slo_ms;
  queue->timeout_ms = message->timeout_ms;
  queue->advised = message->advised;
  queue->advise_ms = message->advise_ms;
  return copy_text (queue->name, sizeof queue->name, message->name)
         && copy_text (queue->host, sizeof queue->host, message->host)
         && copy_text (queue->prefix, sizeof queue->prefix, message->prefix)
         && copy_text (queue->service, sizeof queue->service, message->service)
         && queue->prefix[0] != '\0' && queue->attempts >= 1;
}

static int
read_config (const KqSched__Config *message, struct kq_sched_config *config)
{
  config->version = message->version;
  config->max_body_bytes = message->max_body_bytes;
  config->queues = calloc (message->n_queues + 1, sizeof *config->queues);
  if (config->queues == NULL)
    return KQ_ENOMEM;
  if (message->schema != KQ_SCHED_CONFIG_SCHEMA || message->version < 0
      || message->max_body_bytes == 0)
    return KQ_ESYNTAX;
  for (size_t i = 0; i < message->n_queues; i++)
    if (!read_queue (message->queues[i],
                     &config->queues[config->queue_count++]))
      return KQ_ESYNTAX;
  return 0;
}

int
kq_sched_config_unpack (const uint8_t *bytes, size_t size,
                        struct kq_sched_config **config)
{
  KqSched__Config *message = kq_sched__config__unpack (NULL, size, bytes);
  struct kq_sched_config *result;
  int err;

  if (message == NULL)
    return KQ_ESYNTAX;
  result = calloc (1, sizeof *result);
  err = result != NULL ? read_config (message, result) : KQ_ENOMEM;
  kq_sched__config__free_unpacked (message, NULL);
  if (err != 0)
    {
      kq_sched_config_destroy (result);
      return err;
    }
  kq_sched_config_index (result);
  *config = result;
  return 0;
}

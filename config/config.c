#include "config/config.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "base/err.h"

struct kq_config
{
  int64_t revision;
  int64_t base;
  struct kq_name host;
  char *text;
  struct kq_config_document *document;
  struct kq_config_change history[KQ_CONFIG_HISTORY_SIZE]; /* ring buffer */
  size_t next_index;
  size_t history_count;
};

struct kq_config *
kq_config_create (void)
{
  return calloc (1, sizeof (struct kq_config));
}

void
kq_config_destroy (struct kq_config *config)
{
  if (config == NULL)
    return;
  kq_config_document_free (config->document);
  free (config->text);
  free (config);
}

static void
add_to_history (struct kq_config *config,
                const struct kq_config_change *change)
{
  config->history[config->next_index] = *change;
  config->next_index = (config->next_index + 1) % KQ_CONFIG_HISTORY_SIZE;
  if (config->history_count < KQ_CONFIG_HISTORY_SIZE)
    config->history_count++;
}

static int
activate_change (struct kq_config *config,
                 const struct kq_config_change *change, const char *text,
                 struct kq_config_error *error)
{
  struct kq_config_document *document;
  char *copy;
  int err = kq_config_document_parse (text, &document, error);

  if (err != 0)
    return err;
  if (change->base == config->revision && config->document != NULL)
    err = kq_config_document_check_update (config->document, document, error);
  if (err != 0)
    {
      kq_config_document_free (document);
      return err;
    }
  copy = strdup (text);
  if (copy == NULL)
    {
      kq_config_document_free (document);
      return KQ_ENOMEM;
    }
  /* Checked also in builds without assert(): the revision must never
     decrease.  */
  if (change->offset <= config->revision)
    abort ();
  kq_config_document_free (config->document);
  free (config->text);
  config->document = document;
  config->text = copy;
  config->revision = change->offset;
  config->base = change->base;
  config->host = change->host;
  return 0;
}

static int
apply_change (struct kq_config *config, struct kq_config_change *change,
              const char *text, struct kq_config_error *error)
{
  if (change->err == 0)
    change->err = activate_change (config, change, text, error);
  if (change->err != KQ_ENOMEM)
    add_to_history (config, change);
  return change->err;
}

int
kq_config_apply (struct kq_config *config, int64_t offset, int64_t base,
                 const struct kq_name *host, const char *text,
                 struct kq_config_error *error)
{
  struct kq_config_change change
      = { .offset = offset, .base = base, .host = *host };

  if (offset <= config->revision)
    return KQ_EEXIST;
  if (base != config->revision)
    change.err = KQ_ECONFIG_CONFLICT;
  return apply_change (config, &change, text, error);
}

int
kq_config_restore (struct kq_config *config, int64_t offset, int64_t base,
                   const struct kq_name *host, const char *text)
{
  struct kq_config_change change
      = { .offset = offset, .base = base, .host = *host };

  if (offset <= config->revision)
    return KQ_EEXIST;
  return apply_change (config, &change, text, NULL);
}

int64_t
kq_config_revision (const struct kq_config *config)
{
  return config->revision;
}

int64_t
kq_config_base (const struct kq_config *config)
{
  return config->base;
}

const struct kq_name *
kq_config_host (const struct kq_config *config)
{
  return &config->host;
}

const struct kq_config_document *
kq_config_document (const struct kq_config *config)
{
  return config->document;
}

const char *
kq_config_text (const struct kq_config *config)
{
  return config->text;
}

size_t
kq_config_history_count (const struct kq_config *config)
{
  return config->history_count;
}

const struct kq_config_change *
kq_config_history (const struct kq_config *config, size_t index)
{
  assert (index < config->history_count);
  return &config->history[(config->next_index + KQ_CONFIG_HISTORY_SIZE - 1
                           - index)
                          % KQ_CONFIG_HISTORY_SIZE];
}

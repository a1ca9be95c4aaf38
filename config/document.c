#include "config/document.h"

#include <jansson.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/err.h"

#define PATH_SIZE sizeof (((struct kq_config_error *)0)->path)

enum field_type
{
  FIELD_NAME,
  FIELD_INT,
  FIELD_BOOL,
  FIELD_NAMES, /* array of names, parsed into two members: pointer and count */
  FIELD_QUOTA
};

/* Schema of one field of an object. */
struct field
{
  const char *name;
  enum field_type type;
  bool required;
  json_int_t min;
  json_int_t max;
  size_t offset;       /* offset of the member in the parsed struct */
  size_t count_offset; /* FIELD_NAMES: offset of the count member */
};

struct parser
{
  struct kq_config_error *error;
  char path[PATH_SIZE];
};

#define SHARD_OFFSET(member) offsetof (struct kq_config_shard, member)
#define SERVICE_OFFSET(member) offsetof (struct kq_config_service, member)
#define TEAM_OFFSET(member) offsetof (struct kq_config_team, member)
#define RESOURCES_OFFSET(member) offsetof (struct kq_resources, member)
#define POLICY_OFFSET(member) offsetof (struct kq_config_policy, member)

static const struct field shard_fields[] = {
  { "name", FIELD_NAME, true, 0, 0, SHARD_OFFSET (name), 0 },
  { "zone", FIELD_NAME, true, 0, 0, SHARD_OFFSET (zone), 0 },
  { "workers", FIELD_NAMES, true, 0, 0, SHARD_OFFSET (workers),
    SHARD_OFFSET (worker_count) },
  { NULL, 0, false, 0, 0, 0, 0 },
};

static const struct field service_fields[] = {
  { "name", FIELD_NAME, true, 0, 0, SERVICE_OFFSET (name), 0 },
  { "importance", FIELD_INT, false, 0, 9, SERVICE_OFFSET (importance), 0 },
  { "deadline_ms", FIELD_INT, false, 1, 3600000, SERVICE_OFFSET (deadline_ms),
    0 },
  { "idempotent", FIELD_BOOL, false, 0, 0, SERVICE_OFFSET (idempotent), 0 },
  { "workers", FIELD_NAMES, false, 0, 0, SERVICE_OFFSET (workers),
    SERVICE_OFFSET (worker_count) },
  { NULL, 0, false, 0, 0, 0, 0 },
};

static const struct field team_fields[] = {
  { "name", FIELD_NAME, true, 0, 0, TEAM_OFFSET (name), 0 },
  { "importance", FIELD_INT, false, 0, 9, TEAM_OFFSET (importance), 0 },
  { "quota", FIELD_QUOTA, false, 0, 0, TEAM_OFFSET (quota), 0 },
  { NULL, 0, false, 0, 0, 0, 0 },
};

static const struct field quota_fields[] = {
  { "cpu_milli", FIELD_INT, false, 0, INT32_MAX, RESOURCES_OFFSET (cpu_milli),
    0 },
  { "memory_mb", FIELD_INT, false, 0, INT32_MAX, RESOURCES_OFFSET (memory_mb),
    0 },
  { "accelerators", FIELD_INT, false, 0, INT32_MAX,
    RESOURCES_OFFSET (accelerators), 0 },
  { NULL, 0, false, 0, 0, 0, 0 },
};

static const struct field policy_fields[] = {
  { "tail_latency_weight", FIELD_INT, false, 0, 100,
    POLICY_OFFSET (tail_latency_weight), 0 },
  { "batch_throughput_weight", FIELD_INT, false, 0, 100,
    POLICY_OFFSET (batch_throughput_weight), 0 },
  { "eviction_weight", FIELD_INT, false, 0, 100,
    POLICY_OFFSET (eviction_weight), 0 },
  { NULL, 0, false, 0, 0, 0, 0 },
};

static int
reject_field (struct parser *parser)
{
  memcpy (parser->error->path, parser->path, PATH_SIZE);
  return KQ_ECONFIG_SCHEMA;
}

/* Appends to the path and returns its previous length. */
static size_t __attribute__ ((format (printf, 2, 3)))
append_to_path (struct parser *parser, const char *format, ...)
{
  size_t length = strlen (parser->path);
  va_list args;

  va_start (args, format);
  vsnprintf (parser->path + length, PATH_SIZE - length, format, args);
  va_end (args);
  return length;
}

static void
truncate_path (struct parser *parser, size_t length)
{
  parser->path[length] = '\0';
}

/* Adds NAME to SET.  Returns 0, KQ_EEXIST when SET contains it, or
   KQ_ENOMEM.  */
static int
add_unique_name (json_t *set, const struct kq_name *name)
{
  if (json_object_get (set, name->text) != NULL)
    return KQ_EEXIST;
  return json_object_set_new (set, name->text, json_true ()) == 0 ? 0
                                                                  : KQ_ENOMEM;
}

static int
parse_name (struct parser *parser, const json_t *value, struct kq_name *name)
{
  if (!json_is_string (value)
      || kq_name_set (name, json_string_value (value)) != 0)
    return reject_field (parser);
  return 0;
}

static int
parse_names (struct parser *parser, const json_t *value,
             struct kq_name **names, size_t *count)
{
  size_t size = json_array_size (value);

  if (!json_is_array (value))
    return reject_field (parser);
  *names = calloc (size + 1, sizeof **names);
  if (*names == NULL)
    return KQ_ENOMEM;
  for (size_t i = 0; i < size; i++)
    {
      size_t parent_length = append_to_path (parser, "[%zu]", i);
      int err = parse_name (parser, json_array_get (value, i), &(*names)[i]);

      if (err != 0)
        return err;
      truncate_path (parser, parent_length);
    }
  *count = size;
  return 0;
}

static int parse_fields (struct parser *parser, const json_t *object,
                         const struct field *fields, void *out);

static int
parse_field (struct parser *parser, const struct field *field,
             const json_t *value, char *out)
{
  void *member = out + field->offset;

  switch (field->type)
    {
    case FIELD_NAME:
      return parse_name (parser, value, member);
    case FIELD_INT:
      if (!json_is_integer (value) || json_integer_value (value) < field->min
          || json_integer_value (value) > field->max)
        return reject_field (parser);
      *(int32_t *)member = (int32_t)json_integer_value (value);
      return 0;
    case FIELD_BOOL:
      if (!json_is_boolean (value))
        return reject_field (parser);
      *(bool *)member = json_is_true (value);
      return 0;
    case FIELD_NAMES:
      return parse_names (parser, value, member,
                          (size_t *)(out + field->count_offset));
    case FIELD_QUOTA:
      return parse_fields (parser, value, quota_fields, member);
    }
  return KQ_EINVAL;
}

static const struct field *
find_field (const struct field *fields, const char *name)
{
  for (; fields->name != NULL; fields++)
    if (strcmp (fields->name, name) == 0)
      return fields;
  return NULL;
}

static int
parse_fields (struct parser *parser, const json_t *object,
              const struct field *fields, void *out)
{
  const char *separator = parser->path[0] == '\0' ? "" : ".";
  const char *key;
  json_t *value;

  if (!json_is_object (object))
    return reject_field (parser);
  json_object_foreach ((json_t *)object, key, value)
  {
    const struct field *field = find_field (fields, key);
    size_t parent_length = append_to_path (parser, "%s%s", separator, key);
    int err = field == NULL ? reject_field (parser)
                            : parse_field (parser, field, value, out);

    if (err != 0)
      return err;
    truncate_path (parser, parent_length);
  }
  for (; fields->name != NULL; fields++)
    if (fields->required && json_object_get (object, fields->name) == NULL)
      {
        append_to_path (parser, "%s%s", separator, fields->name);
        return reject_field (parser);
      }
  return 0;
}

/* Schema of an array of objects.  The first member of the parsed struct is
   its name, which is unique in the array.  */
struct list_schema
{
  const char *name;
  const struct field *fields;
  size_t item_size;
  const void *defaults;
};

static int
parse_list (struct parser *parser, const struct list_schema *list,
            const json_t *array, void **items, size_t *count)
{
  json_t *names;
  int err = 0;

  if (!json_is_array (array))
    return reject_field (parser);
  *items = calloc (json_array_size (array) + 1, list->item_size);
  if (*items == NULL)
    return KQ_ENOMEM;
  names = json_object ();
  for (size_t i = 0; err == 0 && i < json_array_size (array); i++)
    {
      char *item = (char *)*items + i * list->item_size;
      size_t parent_length = append_to_path (parser, "[%zu]", i);

      memcpy (item, list->defaults, list->item_size);
      *count = i + 1;
      err = parse_fields (parser, json_array_get (array, i), list->fields,
                          item);
      if (err == 0)
        err = add_unique_name (names, (const struct kq_name *)item);
      if (err == KQ_EEXIST)
        {
          append_to_path (parser, ".name");
          err = reject_field (parser);
        }
      if (err == 0)
        truncate_path (parser, parent_length);
    }
  json_decref (names);
  return err;
}

static int
check_shard_size (struct parser *parser,
                  const struct kq_config_document *document, size_t index)
{
  if (document->shards[index].worker_count <= KQ_CONFIG_MAX_SHARD_WORKERS)
    return 0;
  truncate_path (parser, 0);
  append_to_path (parser, "shards[%zu].workers", index);
  return reject_field (parser);
}

/* Checks that each worker is in at most one shard, and that no shard has more
   workers than an owner can lease.  */
static int
check_shards (struct parser *parser, const struct kq_config_document *document)
{
  json_t *workers = json_object ();
  int err = 0;

  for (size_t i = 0; err == 0 && i < document->shard_count; i++)
    err = check_shard_size (parser, document, i);
  for (size_t i = 0; err == 0 && i < document->shard_count; i++)
    for (size_t k = 0; err == 0 && k < document->shards[i].worker_count; k++)
      {
        err = add_unique_name (workers, &document->shards[i].workers[k]);
        if (err == KQ_EEXIST)
          {
            truncate_path (parser, 0);
            append_to_path (parser, "shards[%zu].workers[%zu]", i, k);
            err = reject_field (parser);
          }
      }
  json_decref (workers);
  return err;
}

static int
parse_section (struct parser *parser, const char *key, const json_t *value,
               struct kq_config_document *document)
{
  static const struct kq_config_shard shard;
  static const struct kq_config_service service
      = { .importance = 5, .deadline_ms = 1000 };
  static const struct kq_config_team team
      = { .importance = 5, .quota = { INT32_MAX, INT32_MAX, INT32_MAX } };
  static const struct list_schema shards
      = { "shards", shard_fields, sizeof shard, &shard };
  static const struct list_schema services
      = { "services", service_fields, sizeof service, &service };
  static const struct list_schema teams
      = { "teams", team_fields, sizeof team, &team };

  if (strcmp (key, shards.name) == 0)
    return parse_list (parser, &shards, value, (void **)&document->shards,
                       &document->shard_count);
  if (strcmp (key, services.name) == 0)
    return parse_list (parser, &services, value, (void **)&document->services,
                       &document->service_count);
  if (strcmp (key, teams.name) == 0)
    return parse_list (parser, &teams, value, (void **)&document->teams,
                       &document->team_count);
  if (strcmp (key, "policy") == 0)
    return parse_fields (parser, value, policy_fields, &document->policy);
  return reject_field (parser);
}

static int
parse_document (struct parser *parser, const json_t *root,
                struct kq_config_document *document)
{
  const char *key;
  json_t *value;

  document->policy = (struct kq_config_policy){ 34, 33, 33 };
  if (!json_is_object (root))
    return reject_field (parser);
  json_object_foreach ((json_t *)root, key, value)
  {
    int err;

    truncate_path (parser, 0);
    append_to_path (parser, "%s", key);
    err = parse_section (parser, key, value, document);
    if (err != 0)
      return err;
  }
  return check_shards (parser, document);
}

static json_t *
load_json (const char *text, struct kq_config_error *error)
{
  size_t length = strlen (text);
  json_error_t position;
  json_t *root;

  if (length > KQ_CONFIG_MAX_BYTES)
    {
      snprintf (error->path, PATH_SIZE, "document over %d bytes",
                KQ_CONFIG_MAX_BYTES);
      return NULL;
    }
  root = json_loadb (text, length, JSON_REJECT_DUPLICATES, &position);
  if (root == NULL)
    snprintf (error->path, PATH_SIZE, "line %d, column %d", position.line,
              position.column);
  return root;
}

int
kq_config_document_parse (const char *text,
                          struct kq_config_document **document,
                          struct kq_config_error *error)
{
  struct kq_config_error unused;
  struct parser parser = { .error = error != NULL ? error : &unused };
  json_t *root = load_json (text, parser.error);
  int err;

  if (root == NULL)
    return KQ_ECONFIG_SCHEMA;
  *document = calloc (1, sizeof **document);
  err = *document == NULL ? KQ_ENOMEM
                          : parse_document (&parser, root, *document);
  json_decref (root);
  if (err != 0)
    {
      kq_config_document_free (*document);
      *document = NULL;
    }
  return err;
}

void
kq_config_document_free (struct kq_config_document *document)
{
  if (document == NULL)
    return;
  for (size_t i = 0; i < document->shard_count; i++)
    free (document->shards[i].workers);
  for (size_t i = 0; i < document->service_count; i++)
    free (document->services[i].workers);
  free (document->shards);
  free (document->services);
  free (document->teams);
  free (document);
}

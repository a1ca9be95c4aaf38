/* Answers to queries, and results of commands, as JSON. */

#include <stdio.h>
#include <string.h>

#include "base/err.h"
#include "config/document.h"
#include "query/filter.h"
#include "query/query.h"

static json_t *
get_rows (const struct kq_query_provider *provider, enum kq_table table)
{
  json_t *rows = provider->rows ? provider->rows (provider->ctx, table) : NULL;

  return rows ? rows : json_array ();
}

static const char *
get_text (const json_t *row, const char *field)
{
  const char *text = json_string_value (json_object_get (row, field));

  return text ? text : "";
}

/** Returns which shards the answering host owns.  It has the workers and tasks
 *  of these shards from the workers themselves, all others from the log and
 *  from peers.  */
static json_t *
make_coverage (const struct kq_query_provider *provider)
{
  json_t *rows = get_rows (provider, KQ_TABLE_SHARDS);
  json_t *owned = json_array ();
  const char *host = provider->host ? provider->host : "";
  json_int_t shards = (json_int_t)json_array_size (rows);
  size_t index;
  json_t *row;

  json_array_foreach (
      rows, index, row) if (strcmp (get_text (row, "owner"), host) == 0
                            || strcmp (get_text (row, "state"), "owned") == 0)
      json_array_append (owned, json_object_get (row, "name"));
  json_decref (rows);
  return json_pack ("{s:s, s:o, s:I}", "host", host, "owned_shards", owned,
                    "shards", shards);
}

static int64_t
get_revision (const json_t *config)
{
  return json_integer_value (json_object_get (config, "revision"));
}

static json_t *
get_config (const struct kq_query_provider *provider)
{
  return provider->config ? provider->config (provider->ctx) : NULL;
}

/** Returns an answer with ROWS, whose reference it takes over. */
static json_t *
wrap_rows (const struct kq_query_provider *provider, json_t *rows)
{
  json_t *config = get_config (provider);
  json_t *answer = json_pack ("{s:I, s:I, s:o, s:o}", "revision",
                              (json_int_t)get_revision (config), "age_ms",
                              (json_int_t)provider->age_ms, "coverage",
                              make_coverage (provider), "rows", rows);

  json_decref (config);
  return answer;
}

/** Returns an answer that refuses a query with ERR; WORD at COLUMN caused it
 *  (0: no position).  */
static json_t *
make_refusal (const struct kq_query_provider *provider, int err,
              const char *word, int column)
{
  json_t *config = get_config (provider);
  json_t *answer = json_pack (
      "{s:s, s:s, s:i, s:s, s:s, s:i, s:I, s:I}", "result", "refused", "error",
      kq_err_name (err), "number", err, "reason", kq_err_text (err), "word",
      word, "column", column, "revision", (json_int_t)get_revision (config),
      "age_ms", (json_int_t)provider->age_ms);

  json_decref (config);
  return answer;
}

static json_t *
answer_show (const struct kq_query *query,
             const struct kq_query_provider *provider)
{
  json_t *rows = get_rows (provider, query->u.show.table);
  const struct kq_query_filter *unknown
      = kq_query_find_unknown_filter (query, rows);
  json_t *matching;
  size_t index;
  json_t *row;

  if (unknown != NULL)
    {
      json_decref (rows);
      return make_refusal (provider, KQ_EQUERY_FIELD, unknown->field.text,
                           unknown->column);
    }
  matching = json_array ();
  json_array_foreach (rows, index, row)
  {
    bool match = true;

    for (int i = 0; match && i < query->u.show.filter_count; i++)
      match = kq_query_filter_matches (&query->u.show.filters[i], row);
    if (match)
      json_array_append (matching, row);
  }
  json_decref (rows);
  return wrap_rows (provider, matching);
}

static json_t *
answer_configuration (const struct kq_query_provider *provider)
{
  json_t *rows = json_array ();
  json_t *config = get_config (provider);

  if (config == NULL)
    {
      json_decref (rows);
      return make_refusal (provider, KQ_ECONFIG_NONE, "configuration", 0);
    }
  json_array_append_new (rows, config);
  return wrap_rows (provider, rows);
}

/** Appends to OUT a copy of the row of TABLE called NAME, with ITEM as the
 *  member "item".
 *  @return the copy, owned by OUT, or NULL if there is no such row.  */
static json_t *
append_named (json_t *out, const struct kq_query_provider *provider,
              enum kq_table table, const char *item, const char *name)
{
  json_t *rows = get_rows (provider, table);
  json_t *found = NULL;
  size_t index;
  json_t *row;

  json_array_foreach (rows, index,
                      row) if (found == NULL
                               && strcmp (get_text (row, "name"), name) == 0)
  {
    found = json_pack ("{s:s}", "item", item);
    json_object_update (found, row);
    json_array_append_new (out, found);
  }
  json_decref (rows);
  return found;
}

/** Answers with a task, the worker that it is on and its job. */
static json_t *
answer_why_task (const struct kq_task_id *task,
                 const struct kq_query_provider *provider)
{
  json_t *rows = json_array ();
  char name[KQ_NAME_SIZE + 16];
  json_t *found;
  json_t *job;

  snprintf (name, sizeof (name), "%s/%d", task->job.text, task->index);
  found = append_named (rows, provider, KQ_TABLE_TASKS, "task", name);
  if (found != NULL && *get_text (found, "worker") != '\0')
    append_named (rows, provider, KQ_TABLE_WORKERS, "worker",
                  get_text (found, "worker"));
  job = append_named (rows, provider, KQ_TABLE_JOBS, "job", task->job.text);
  if (found != NULL || job != NULL)
    return wrap_rows (provider, rows);
  json_decref (rows);
  return make_refusal (provider, KQ_EJOB_UNKNOWN, name, 0);
}

/** Adds the task ROW to the group of SUMMARY that has the same state and
 *  reason, or to a new group.  */
static void
count_task (json_t *summary, const json_t *row)
{
  const char *state = get_text (row, "state");
  const char *reason = get_text (row, "reason");
  json_int_t count;
  size_t index;
  json_t *group;

  json_array_foreach (
      summary, index,
      group) if (strcmp (get_text (group, "item"), "tasks") == 0
                 && strcmp (get_text (group, "state"), state) == 0
                 && strcmp (get_text (group, "reason"), reason) == 0)
  {
    count = json_integer_value (json_object_get (group, "tasks"));
    json_object_set_new (group, "tasks", json_integer (count + 1));
    return;
  }
  json_array_append_new (
      summary, json_pack ("{s:s, s:s, s:s, s:i, s:s}", "item", "tasks", "name",
                          get_text (row, "name"), "state", state, "tasks", 1,
                          "reason", reason));
}

/** Answers with a job and the number of its tasks by state and reason. */
static json_t *
answer_why_job (const struct kq_name *id,
                const struct kq_query_provider *provider)
{
  json_t *rows = json_array ();
  size_t length = strlen (id->text);
  json_t *tasks;
  size_t index;
  json_t *row;

  if (append_named (rows, provider, KQ_TABLE_JOBS, "job", id->text) == NULL)
    {
      json_decref (rows);
      return make_refusal (provider, KQ_EJOB_UNKNOWN, id->text, 0);
    }
  tasks = get_rows (provider, KQ_TABLE_TASKS);
  json_array_foreach (tasks, index, row)
  {
    const char *name = get_text (row, "name");

    if (strncmp (name, id->text, length) == 0 && name[length] == '/')
      count_task (rows, row);
  }
  json_decref (tasks);
  return wrap_rows (provider, rows);
}

static json_t *
answer_trace (const struct kq_name *id,
              const struct kq_query_provider *provider)
{
  json_t *spans
      = provider->trace ? provider->trace (provider->ctx, id->text) : NULL;

  if (json_array_size (spans) > 0)
    return wrap_rows (provider, spans);
  json_decref (spans);
  return make_refusal (provider, KQ_ENOENT, id->text, 0);
}

json_t *
kq_query_answer (const struct kq_query *query,
                 const struct kq_query_provider *provider)
{
  switch (query->kind)
    {
    case KQ_QUERY_SHOW:
      return answer_show (query, provider);
    case KQ_QUERY_CONFIGURATION:
      return answer_configuration (provider);
    case KQ_QUERY_WHY_TASK:
      return answer_why_task (&query->u.task, provider);
    case KQ_QUERY_WHY_JOB:
      return answer_why_job (&query->u.name, provider);
    case KQ_QUERY_WHY_REQUEST:
    case KQ_QUERY_TRACE:
      return answer_trace (&query->u.name, provider);
    case KQ_QUERY_COMMAND:
      break;
    }
  return make_refusal (provider, KQ_EINVAL, "", 0);
}

/** Returns whether a command that failed with ERR may have taken effect. */
static bool
outcome_unknown (int err)
{
  return err == KQ_ELOG_UNKNOWN || err == KQ_ETIMEDOUT || err == KQ_ECLOSED;
}

static const char *
command_name (enum kq_command_kind kind)
{
  switch (kind)
    {
    case KQ_CMD_SUBMIT:
      return "submit";
    case KQ_CMD_CANCEL:
      return "cancel";
    case KQ_CMD_DRAIN:
      return "drain";
    case KQ_CMD_UNDRAIN:
      return "undrain";
    case KQ_CMD_CONFIGURE:
      return "configure";
    }
  return "";
}

/** Sets "word" of REPLY to the path at which the document TEXT violates its
 *  schema.  */
static void
set_schema_path (json_t *reply, const char *text)
{
  struct kq_config_document *document = NULL;
  struct kq_config_error error;

  if (text == NULL)
    return;
  if (kq_config_document_parse (text, &document, &error) == KQ_ECONFIG_SCHEMA)
    json_object_set_new (reply, "word", json_string (error.path));
  else
    kq_config_document_free (document);
}

json_t *
kq_query_command_result (const struct kq_query *query, int err,
                         int64_t revision)
{
  const struct kq_command *command = &query->u.command;
  const char *result = "accepted";
  json_t *reply;

  if (err != 0)
    result = outcome_unknown (err) ? "unknown" : "refused";
  reply = json_pack ("{s:s, s:s, s:s, s:I}", "result", result, "command",
                     command_name (command->kind), "name", command->name.text,
                     "revision", (json_int_t)revision);
  if (reply == NULL || err == 0)
    return reply;
  json_object_set_new (reply, "error", json_string (kq_err_name (err)));
  json_object_set_new (reply, "number", json_integer (err));
  json_object_set_new (reply, "reason", json_string (kq_err_text (err)));
  if (err == KQ_ECONFIG_SCHEMA)
    set_schema_path (reply, command->text);
  return reply;
}

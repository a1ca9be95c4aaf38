/* Commands of operators.  Each command is appended to the log as a record; its
   reply is sent when the record was read back or the append has failed. */

#include <stdlib.h>
#include <string.h>

#include "base/err.h"
#include "core/internal.h"

/* Maximum time until the reply to a command. */
#define COMMAND_TIMEOUT_US (10 * KQ_USEC_PER_SEC)

/* Time during which commands are refused after an append failed with
   KQ_ELOG_DOWN. */
#define LOG_DOWN_REFUSE_TIME_US KQ_USEC_PER_SEC

void
kq_command_reply (struct kq_core *core, uint64_t id, int err, int64_t revision)
{
  struct kq_effect effect = { .kind = KQ_FX_REPLY };

  effect.u.reply.id = id;
  effect.u.reply.err = err;
  effect.u.reply.revision = revision;
  kq_effects_add (core->out, &effect);
}

static int
check_configure (const struct kq_core *core, const struct kq_command *command)
{
  struct kq_config_document *document = NULL;
  int err;

  if (command->text == NULL)
    return KQ_ECONFIG_SCHEMA;
  err = kq_config_document_parse (command->text, &document, NULL);
  if (err != 0)
    return err;
  if (!kq_jobs_is_complete (core->jobs))
    err = 0; /* the base is compared once the log was read to its end */
  else if (command->base != kq_config_revision (core->config))
    err = KQ_ECONFIG_CONFLICT;
  else if (command->base != 0)
    err = kq_config_document_check_update (kq_config_document (core->config),
                                           document, NULL);
  kq_config_document_free (document);
  return err;
}

static int
check_submit (const struct kq_core *core, const struct kq_command *command)
{
  if (kq_job_check (&command->job) != 0)
    return KQ_ERANGE;
  if (kq_jobs_find (core->jobs, &command->job.id) != NULL)
    return KQ_EEXIST;
  return 0;
}

/* Whether COMMAND cancels a job that has finished: it needs no record. */
static bool
is_cancel_of_finished (const struct kq_core *core,
                       const struct kq_command *command)
{
  const struct kq_job_state *job;

  if (command->kind != KQ_CMD_CANCEL)
    return false;
  job = kq_jobs_find (core->jobs, &command->name);
  return job != NULL && job->tasks == NULL;
}

static int
check_command (const struct kq_core *core, const struct kq_command *command)
{
  switch (command->kind)
    {
    case KQ_CMD_SUBMIT:
      return check_submit (core, command);
    case KQ_CMD_CANCEL:
      if (kq_jobs_is_complete (core->jobs)
          && kq_jobs_find (core->jobs, &command->name) == NULL)
        return KQ_EJOB_UNKNOWN;
      return 0;
    case KQ_CMD_CONFIGURE:
      return check_configure (core, command);
    case KQ_CMD_DRAIN:
    case KQ_CMD_UNDRAIN:
      return kq_name_empty (&command->name) ? KQ_ERANGE : 0;
    }
  return KQ_EINVAL;
}

static void
fill_record (struct kq_record *record, const struct kq_command *command)
{
  switch (command->kind)
    {
    case KQ_CMD_SUBMIT:
      record->kind = KQ_REC_JOB;
      record->u.job = command->job;
      break;
    case KQ_CMD_CANCEL:
      record->kind = KQ_REC_CANCEL;
      record->u.cancel = command->name;
      break;
    case KQ_CMD_CONFIGURE:
      record->kind = KQ_REC_CONFIG;
      record->u.config.base = command->base;
      record->u.config.text = command->text;
      break;
    case KQ_CMD_DRAIN:
    case KQ_CMD_UNDRAIN:
      record->kind = KQ_REC_DRAIN;
      record->u.drain.name = command->name;
      record->u.drain.on = command->kind == KQ_CMD_DRAIN;
      break;
    }
}

static bool
log_is_down (const struct kq_core *core)
{
  return core->log_failed_at > core->log_answered_at
         && core->now < core->log_failed_at + LOG_DOWN_REFUSE_TIME_US;
}

int
kq_command_handle (struct kq_core *core, const struct kq_command *command)
{
  struct kq_record record;
  struct kq_append *append;
  int err = check_command (core, command);

  if (err == 0 && core->stopping)
    err = KQ_ESTOPPING;
  if (err == 0 && is_cancel_of_finished (core, command))
    {
      kq_command_reply (core, command->id, 0, core->offset);
      return 0;
    }
  if (err == 0 && log_is_down (core))
    err = KQ_ELOG_DOWN;
  if (err != 0)
    {
      kq_command_reply (
          core, command->id, err,
          err == KQ_ECONFIG_CONFLICT ? kq_config_revision (core->config) : 0);
      return 0;
    }
  memset (&record, 0, sizeof record);
  fill_record (&record, command);
  append = kq_append_enqueue (core, &record);
  if (append == NULL)
    return KQ_ENOMEM;
  append->has_command = true;
  append->command = command->id;
  append->deadline = core->now + COMMAND_TIMEOUT_US;
  return 0;
}

/* Quotas of teams over all shards, as the log's order shows them: what is
   bound counts, with the size that its job declares.  Hosts that bind at the
   same moment do not see each other's records yet, so a quota may be passed
   by what was on its way.  */

#include <utlist.h>

#include "core/internal.h"

static const struct kq_config_team *
find_team (const struct kq_core *core, const struct kq_name *name)
{
  const struct kq_config_document *document
      = kq_config_document (core->config);

  for (size_t i = 0; document != NULL && i < document->team_count; i++)
    if (kq_name_eq (&document->teams[i].name, name))
      return &document->teams[i];
  return NULL;
}

/* Tasks that need NEED each and fit into QUOTA beside USED, at most MOST. */
static int64_t
tasks_left (int32_t quota, int64_t used, int32_t need, int64_t most)
{
  int64_t left;

  if (quota == INT32_MAX || need == 0)
    return most;
  left = used < quota ? (quota - used) / need : 0;
  return left < most ? left : most;
}

int64_t
kq_quota_tasks (const struct kq_core *core, const struct kq_job *job,
                int64_t most)
{
  const struct kq_config_team *team = find_team (core, &job->team);
  const struct kq_job_state *other;
  int64_t cpu = 0;
  int64_t memory = 0;
  int64_t accelerators = 0;

  if (team == NULL)
    return most;
  DL_FOREACH (kq_jobs_live (core->jobs), other)
  {
    const struct kq_size *size = &other->job.size;

    if (!kq_name_eq (&other->job.team, &job->team))
      continue;
    cpu += (int64_t)other->bound * size->cpu_milli;
    memory += (int64_t)other->bound * size->memory_mb;
    accelerators += (int64_t)other->bound * size->accelerators;
  }
  most = tasks_left (team->quota.cpu_milli, cpu, job->size.cpu_milli, most);
  most = tasks_left (team->quota.memory_mb, memory, job->size.memory_mb, most);
  return tasks_left (team->quota.accelerators, accelerators,
                     job->size.accelerators, most);
}

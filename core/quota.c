/* Quotas of teams over all shards.  Every task that is bound according to the
   log counts with the size that its job declares.  Hosts that bind at the same
   time have not read each other's records yet, so a quota may be exceeded by
   the tasks in records in flight.  */

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

/* Returns how many tasks of NEED each fit into the unused part of QUOTA, at
   most MAX_TASKS. */
static int64_t
tasks_within_quota (int32_t quota, int64_t used, int32_t need,
                    int64_t max_tasks)
{
  int64_t remaining;

  if (quota == INT32_MAX || need == 0)
    return max_tasks;
  remaining = used < quota ? (quota - used) / need : 0;
  return remaining < max_tasks ? remaining : max_tasks;
}

int64_t
kq_quota_remaining_tasks (const struct kq_core *core, const struct kq_job *job,
                          int64_t max_tasks)
{
  const struct kq_config_team *team = find_team (core, &job->team);
  const struct kq_job_state *other;
  int64_t cpu = 0;
  int64_t memory = 0;
  int64_t accelerators = 0;

  if (team == NULL)
    return max_tasks;
  DL_FOREACH (kq_jobs_live (core->jobs), other)
  {
    const struct kq_resources *size = &other->job.size;

    if (!kq_name_eq (&other->job.team, &job->team))
      continue;
    cpu += (int64_t)other->bound * size->cpu_milli;
    memory += (int64_t)other->bound * size->memory_mb;
    accelerators += (int64_t)other->bound * size->accelerators;
  }
  max_tasks = tasks_within_quota (team->quota.cpu_milli, cpu,
                                  job->size.cpu_milli, max_tasks);
  max_tasks = tasks_within_quota (team->quota.memory_mb, memory,
                                  job->size.memory_mb, max_tasks);
  return tasks_within_quota (team->quota.accelerators, accelerators,
                             job->size.accelerators, max_tasks);
}

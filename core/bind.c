/* Binds waiting tasks to shards that this host owns, and releases tasks that
   their shard has no capacity for. */

#include <stdlib.h>
#include <string.h>

#include <utlist.h>

#include "base/err.h"
#include "core/internal.h"

/* Time after which a task that can't be started in its shard is released. */
#define RELEASE_AFTER_US (5 * KQ_USEC_PER_SEC)

/* Interval between passes over the waiting tasks. */
#define BIND_INTERVAL_US (50 * KQ_USEC_PER_MSEC)

/* Delay, per rank of a shard for a job, before the shard's owner binds tasks
   of the job; higher ranks count as RANK_MAX. */
#define RANK_DELAY_US (700 * KQ_USEC_PER_MSEC)
#define RANK_MAX 4

/* Maximum number of live jobs considered in one pass. */
#define JOBS_MAX 512

static bool
zone_matches (const struct kq_job *job, const struct kq_shard *shard)
{
  return kq_name_empty (&job->zone) || kq_name_eq (&job->zone, &shard->zone);
}

static bool
has_owner (const struct kq_core *core, const struct kq_shard *shard)
{
  return shard->owner || kq_shard_is_claimed (shard, core->now);
}

/* Returns the rank of SHARD for JOB, 0 = preferred, among the shards that have
   an owner and a worker large enough for a task of JOB. */
static int
shard_rank (const struct kq_core *core, const struct kq_job *job,
            const struct kq_shard *shard)
{
  const struct kq_shard *other;
  uint64_t own_hash = kq_member_hash (job->id.text, shard->name.text);
  int rank = 0;

  for (other = core->shards; other != NULL; other = other->hh.next)
    if (other != shard && zone_matches (job, other) && has_owner (core, other)
        && other->largest_known
        && kq_resources_fit (&job->size, &other->largest)
        && kq_member_hash (job->id.text, other->name.text) > own_hash)
      rank++;
  return rank < RANK_MAX ? rank : RANK_MAX;
}

/* Returns how many tasks of SIZE fit into FREE_SIZE, up to
   KQ_RECORD_TASKS_MAX. */
static int64_t
count_fitting (const struct kq_resources *size,
               const struct kq_resources *free_size)
{
  int64_t task_count = KQ_RECORD_TASKS_MAX;
  const int32_t need[]
      = { size->cpu_milli, size->memory_mb, size->accelerators };
  const int32_t have[] = { free_size->cpu_milli, free_size->memory_mb,
                           free_size->accelerators };

  for (int i = 0; i < 3; i++)
    if (have[i] < 0)
      return 0;
    else if (need[i] > 0 && have[i] / need[i] < task_count)
      task_count = have[i] / need[i];
  return task_count;
}

/* Free capacity of a shard's usable workers, and its bound tasks that have not
   started yet and will use some of it. */
struct free_capacity
{
  struct kq_resources by_grant[KQ_LEASE_MAX_WORKERS];  /* by granted sizes */
  struct kq_resources by_limits[KQ_LEASE_MAX_WORKERS]; /* by the limits that
                                             placement has learned */
  bool runs_nothing[KQ_LEASE_MAX_WORKERS]; /* may start one task beyond its
                                            limits */
  size_t count;
  int64_t idle_tasks; /* bound tasks that do not run */
};

static void
measure_capacity (struct kq_core *core, const struct kq_shard *shard,
                  struct free_capacity *capacity)
{
  static const struct kq_resources nothing = { 0, 0, 0 };

  capacity->count = 0;
  capacity->idle_tasks = 0;
  for (size_t i = 0; i < shard->count; i++)
    {
      const struct kq_node *node = shard->nodes[i];

      if (kq_lease_held (node->lease, core->now) && node->table_valid
          && kq_worker_check_start (node->worker, &nothing, core->now) == 0)
        {
          capacity->by_grant[capacity->count]
              = kq_worker_free_capacity (node->worker);
          capacity->by_limits[capacity->count]
              = kq_placement_free_capacity (core, node);
          capacity->runs_nothing[capacity->count]
              = kq_worker_attempts (node->worker) == NULL;
          capacity->count++;
        }
    }
  for (const struct kq_run *run = shard->runs; run != NULL; run = run->next)
    capacity->idle_tasks += !run->done && kq_run_live_attempt (run) == NULL;
}

/* Returns how many tasks of JOB the shard can start beyond the tasks that
   are bound to it and do not run yet; may be negative. */
static int64_t
startable_tasks (struct kq_core *core, const struct free_capacity *capacity,
                 const struct kq_job *job)
{
  struct kq_resources grant;
  struct kq_resources expected;
  int64_t sum = -capacity->idle_tasks;

  kq_placement_sizes (core, job, &grant, &expected);
  for (size_t i = 0; i < capacity->count; i++)
    {
      int64_t fits_grant = count_fitting (&grant, &capacity->by_grant[i]);
      int64_t fits_limits = count_fitting (&expected, &capacity->by_limits[i]);

      if (fits_limits == 0 && capacity->runs_nothing[i])
        fits_limits = 1;
      sum += fits_grant < fits_limits ? fits_grant : fits_limits;
    }
  return sum;
}

static void
update_waiting_since (struct kq_core *core, struct kq_job_state *job)
{
  bool has_unbound = job->bound + job->ended < job->job.tasks;

  if (!has_unbound)
    job->waiting_since = 0;
  else if (job->waiting_since == 0)
    job->waiting_since = core->now;
}

static int
compare_importance (const void *a, const void *b)
{
  const struct kq_job_state *x = *(struct kq_job_state *const *)a;
  const struct kq_job_state *y = *(struct kq_job_state *const *)b;

  if (x->job.importance != y->job.importance)
    return y->job.importance - x->job.importance;
  return (x->offset > y->offset) - (x->offset < y->offset);
}

/* Collects live jobs with unbound tasks, the most important first. */
static size_t
collect_waiting (struct kq_core *core, struct kq_job_state **waiting)
{
  struct kq_job_state *job;
  size_t count = 0;

  DL_FOREACH (kq_jobs_live (core->jobs), job)
  {
    update_waiting_since (core, job);
    if (job->waiting_since != 0 && count < JOBS_MAX)
      waiting[count++] = job;
  }
  qsort (waiting, count, sizeof (void *), compare_importance);
  return count;
}

/* Whether a BIND record of this host is not read back yet. */
static bool
has_bind_in_flight (const struct kq_core *core)
{
  const struct kq_shard *shard;

  for (shard = core->shards; shard != NULL; shard = shard->hh.next)
    if (shard->bind_append != NULL)
      return true;
  return false;
}

/* Returns how many of TASK_COUNT tasks of the job at INDEX its team's quota
   allows.  Tasks that were PICKED for the team in this step, or whose BIND
   record is in flight, do not count as bound yet: until they do, the result is
   0. */
static int64_t
limit_to_quota (struct kq_core *core, struct kq_job_state **waiting,
                size_t index, const int *picked, int64_t task_count)
{
  struct kq_job_state *job = waiting[index];
  int64_t allowed = kq_quota_remaining_tasks (core, &job->job, INT64_MAX);
  bool bind_in_flight;

  if (allowed == INT64_MAX)
    return task_count;
  bind_in_flight = has_bind_in_flight (core);
  for (size_t i = 0; i < index; i++)
    if (picked[i] > 0 && kq_name_eq (&waiting[i]->job.team, &job->job.team))
      bind_in_flight = true;
  if (bind_in_flight)
    return 0;
  if (allowed < task_count)
    job->wait_err = KQ_EJOB_QUOTA;
  return allowed < task_count ? allowed : task_count;
}

static size_t
pick_tasks (struct kq_core *core, const struct kq_shard *shard,
            struct kq_job_state **waiting, size_t count,
            struct kq_task_ref *refs)
{
  struct free_capacity capacity;
  int picked[JOBS_MAX] = { 0 };
  size_t picked_count = 0;

  measure_capacity (core, shard, &capacity);
  for (size_t i = 0; i < count && picked_count < KQ_RECORD_TASKS_MAX; i++)
    {
      struct kq_job_state *job = waiting[i];
      int64_t task_count;

      if (!zone_matches (&job->job, shard)
          || !kq_resources_fit (&job->job.size, &shard->largest)
          || core->now
                 < job->waiting_since
                       + shard_rank (core, &job->job, shard) * RANK_DELAY_US)
        continue;
      task_count = startable_tasks (core, &capacity, &job->job)
                   - (int64_t)picked_count;
      if (task_count > (int64_t)(KQ_RECORD_TASKS_MAX - picked_count))
        task_count = (int64_t)(KQ_RECORD_TASKS_MAX - picked_count);
      if (task_count > 0)
        task_count = limit_to_quota (core, waiting, i, picked, task_count);
      picked[i] = 0;
      if (task_count > 0)
        picked[i]
            = kq_job_find_unbound (job, refs + picked_count, (int)task_count);
      picked_count += (size_t)picked[i];
    }
  return picked_count;
}

static void
enqueue_task_record (struct kq_core *core, struct kq_shard *shard,
                     enum kq_record_kind kind, struct kq_append **owner_ref,
                     const struct kq_task_ref *refs, size_t count)
{
  struct kq_record record = { .kind = kind };

  record.u.tasks.shard = shard->name;
  record.u.tasks.epoch = shard->epoch;
  record.u.tasks.tasks = refs;
  record.u.tasks.count = count;
  *owner_ref = kq_append_enqueue (core, &record);
  if (*owner_ref != NULL)
    (*owner_ref)->owner_ref = owner_ref;
}

static void
bind_waiting (struct kq_core *core, struct kq_shard *shard,
              struct kq_job_state **waiting, size_t waiting_count)
{
  struct kq_task_ref refs[KQ_RECORD_TASKS_MAX];
  size_t count;

  if (shard->bind_append != NULL || shard->release_append != NULL)
    return;
  count = pick_tasks (core, shard, waiting, waiting_count, refs);
  if (count > 0)
    enqueue_task_record (core, shard, KQ_REC_BIND, &shard->bind_append, refs,
                         count);
}

/* Whether another shard has an owner and a worker large enough for the task of
   RUN. */
static bool
fits_elsewhere (const struct kq_core *core, const struct kq_shard *shard,
                const struct kq_run *run)
{
  const struct kq_job_state *job = kq_jobs_find (core->jobs, &run->id.job);
  const struct kq_shard *other;

  if (job == NULL)
    return false;
  for (other = core->shards; other != NULL; other = other->hh.next)
    if (other != shard && zone_matches (&job->job, other)
        && has_owner (core, other) && other->largest_known
        && kq_resources_fit (&run->size, &other->largest))
      return true;
  return false;
}

static void
release_unplaceable (struct kq_core *core, struct kq_shard *shard)
{
  struct kq_task_ref refs[KQ_RECORD_TASKS_MAX];
  size_t count = 0;

  if (shard->release_append != NULL)
    return;
  for (struct kq_run *run = shard->runs;
       run != NULL && count < KQ_RECORD_TASKS_MAX; run = run->next)
    {
      if (!run->attempts_known || run->done
          || kq_run_live_attempt (run) != NULL
          || run->wait_err == KQ_EPLACE_PROBE
          || core->now < run->waiting_since + RELEASE_AFTER_US
          || !fits_elsewhere (core, shard, run))
        continue;
      run->releasing = true;
      refs[count] = (struct kq_task_ref){ .task = run->id };
      refs[count].binding = run->binding;
      refs[count++].checkpoint = run->checkpoint;
    }
  if (count > 0)
    enqueue_task_record (core, shard, KQ_REC_RELEASE, &shard->release_append,
                         refs, count);
}

/* Sets the reason why tasks of JOB wait: KQ_EJOB_NEVER_FITS when all workers
   of the shards that it may use are known to be too small for a task,
   KQ_EWORKER_SILENT when no shard that may be large enough has an owner. */
static void
set_wait_reason (const struct kq_core *core, struct kq_job_state *job)
{
  const struct kq_shard *shard;

  job->wait_err = KQ_EJOB_NEVER_FITS;
  if (core->shards == NULL)
    job->wait_err = KQ_ECONFIG_NONE;
  for (shard = core->shards; shard != NULL; shard = shard->hh.next)
    {
      if (!zone_matches (&job->job, shard)
          || (shard->largest_known
              && !kq_resources_fit (&job->job.size, &shard->largest)))
        continue;
      if (has_owner (core, shard))
        job->wait_err = KQ_EWORKER_FULL;
      else if (job->wait_err != KQ_EWORKER_FULL)
        job->wait_err = KQ_EWORKER_SILENT;
    }
}

void
kq_bind_tick (struct kq_core *core)
{
  struct kq_job_state *waiting[JOBS_MAX];
  struct kq_shard *shard;
  struct kq_shard *next;
  size_t count;

  if (!kq_jobs_is_complete (core->jobs) || core->stopping
      || core->now < core->next_bind_at)
    return;
  core->next_bind_at = core->now + BIND_INTERVAL_US;
  count = collect_waiting (core, waiting);
  for (size_t i = 0; i < count; i++)
    set_wait_reason (core, waiting[i]);
  HASH_ITER (hh, core->shards, shard, next)
  if (shard->owner && shard->epoch != 0)
    {
      bind_waiting (core, shard, waiting, count);
      release_unplaceable (core, shard);
    }
}

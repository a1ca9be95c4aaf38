/* Binding of waiting tasks to shards of this host, and giving back what a
   shard cannot carry. */

#include <stdlib.h>
#include <string.h>

#include <utlist.h>

#include "base/err.h"
#include "core/internal.h"

/* A task that finds no room in its shard is given back after this time. */
#define RELEASE_AFTER (5 * KQ_USEC_PER_SEC)

/* Between two looks at the tasks that wait. */
#define BIND_EVERY (50 * KQ_USEC_PER_MSEC)

/* Each place in the order of shards waits this much longer for a job. */
#define RANK_DELAY (700 * KQ_USEC_PER_MSEC)
#define RANK_MAX 4

/* Live jobs that are looked at in one step. */
#define JOBS_MAX 512

static bool
allows (const struct kq_job *job, const struct kq_shard *shard)
{
  return kq_name_empty (&job->zone) || kq_name_eq (&job->zone, &shard->zone);
}

static bool
is_claimed (const struct kq_core *core, const struct kq_shard *shard)
{
  return shard->owner || kq_shard_claimed (shard, core->now);
}

/* Place of SHARD among the shards that could carry the job. */
static int
rank_of (const struct kq_core *core, const struct kq_job *job,
         const struct kq_shard *shard)
{
  const struct kq_shard *other;
  uint64_t mine = kq_member_hash (job->id.text, shard->name.text);
  int rank = 0;

  for (other = core->shards; other != NULL; other = other->hh.next)
    if (other != shard && allows (job, other) && is_claimed (core, other)
        && other->largest_known && kq_size_fits (&job->size, &other->largest)
        && kq_member_hash (job->id.text, other->name.text) > mine)
      rank++;
  return rank < RANK_MAX ? rank : RANK_MAX;
}

/* How often a task of SIZE fits into FREE_SIZE. */
static int64_t
times_fits (const struct kq_size *size, const struct kq_size *free_size)
{
  int64_t times = KQ_BATCH_MAX;
  const int32_t need[]
      = { size->cpu_milli, size->memory_mb, size->accelerators };
  const int32_t have[] = { free_size->cpu_milli, free_size->memory_mb,
                           free_size->accelerators };

  for (int i = 0; i < 3; i++)
    if (have[i] < 0)
      return 0;
    else if (need[i] > 0 && have[i] / need[i] < times)
      times = have[i] / need[i];
  return times;
}

/* What a shard's workers can take beyond the tasks that wait there. */
struct room
{
  struct kq_size guard[KQ_LEASE_MAX_SHARD];  /* what the guards admit */
  struct kq_size limits[KQ_LEASE_MAX_SHARD]; /* what learned limits leave */
  bool empty[KQ_LEASE_MAX_SHARD];            /* takes one task regardless */
  size_t count;
  int64_t idle; /* bound tasks that do not run */
};

static void
measure_room (struct kq_core *core, const struct kq_shard *shard,
              struct room *room)
{
  static const struct kq_size nothing = { 0, 0, 0 };

  room->count = 0;
  room->idle = 0;
  for (size_t i = 0; i < shard->count; i++)
    {
      const struct kq_node *node = shard->nodes[i];

      if (kq_lease_held (node->lease, core->now) && node->known
          && kq_worker_check (node->worker, &nothing, core->now) == 0)
        {
          room->guard[room->count] = kq_worker_free (node->worker);
          room->limits[room->count] = kq_advise_limits (core, node);
          room->empty[room->count] = kq_worker_attempts (node->worker) == NULL;
          room->count++;
        }
    }
  for (const struct kq_run *run = shard->runs; run != NULL; run = run->next)
    room->idle += !run->done && kq_run_live (run) == NULL;
}

/* Tasks like those of JOB that the shard can start beyond what waits there. */
static int64_t
room_for (struct kq_core *core, const struct room *room,
          const struct kq_job *job)
{
  struct kq_size grant;
  struct kq_size expected;
  int64_t sum = -room->idle;

  kq_advise_sizes (core, job, &grant, &expected);
  for (size_t i = 0; i < room->count; i++)
    {
      int64_t admitted = times_fits (&grant, &room->guard[i]);
      int64_t within = times_fits (&expected, &room->limits[i]);

      if (within == 0 && room->empty[i])
        within = 1;
      sum += admitted < within ? admitted : within;
    }
  return sum;
}

static void
note_waiting (struct kq_core *core, struct kq_job_state *job)
{
  bool waits = job->bound + job->ended < job->job.tasks;

  if (!waits)
    job->waits_since = 0;
  else if (job->waits_since == 0)
    job->waits_since = core->now;
}

static int
by_importance (const void *a, const void *b)
{
  const struct kq_job_state *x = *(struct kq_job_state *const *)a;
  const struct kq_job_state *y = *(struct kq_job_state *const *)b;

  if (x->job.importance != y->job.importance)
    return y->job.importance - x->job.importance;
  return (x->offset > y->offset) - (x->offset < y->offset);
}

/* Collects live jobs with waiting tasks, most important first. */
static size_t
collect_waiting (struct kq_core *core, struct kq_job_state **waiting)
{
  struct kq_job_state *job;
  size_t count = 0;

  DL_FOREACH (kq_jobs_live (core->jobs), job)
  {
    note_waiting (core, job);
    if (job->waits_since != 0 && count < JOBS_MAX)
      waiting[count++] = job;
  }
  qsort (waiting, count, sizeof (void *), by_importance);
  return count;
}

/* Whether a BIND record of this host is on its way. */
static bool
binds (const struct kq_core *core)
{
  const struct kq_shard *shard;

  for (shard = core->shards; shard != NULL; shard = shard->hh.next)
    if (shard->bind != NULL)
      return true;
  return false;
}

/* Of TIMES tasks of the job at INDEX, those that its team's quota allows.
   What was TAKEN for the team in this step, or is on its way, is not counted
   as bound yet: the job waits until it is. */
static int64_t
within_quota (struct kq_core *core, struct kq_job_state **waiting,
              size_t index, const int *taken, int64_t times)
{
  struct kq_job_state *job = waiting[index];
  int64_t allowed = kq_quota_tasks (core, &job->job, INT64_MAX);
  bool unsettled;

  if (allowed == INT64_MAX)
    return times;
  unsettled = binds (core);
  for (size_t i = 0; i < index; i++)
    if (taken[i] > 0 && kq_name_eq (&waiting[i]->job.team, &job->job.team))
      unsettled = true;
  if (unsettled)
    return 0;
  if (allowed < times)
    job->waits = KQ_EJOB_QUOTA;
  return allowed < times ? allowed : times;
}

static size_t
pick_tasks (struct kq_core *core, const struct kq_shard *shard,
            struct kq_job_state **waiting, size_t count,
            struct kq_task_ref *refs)
{
  struct room room;
  int taken[JOBS_MAX] = { 0 };
  size_t used = 0;

  measure_room (core, shard, &room);
  for (size_t i = 0; i < count && used < KQ_BATCH_MAX; i++)
    {
      struct kq_job_state *job = waiting[i];
      int64_t times;

      if (!allows (&job->job, shard)
          || !kq_size_fits (&job->job.size, &shard->largest)
          || core->now < job->waits_since
                             + rank_of (core, &job->job, shard) * RANK_DELAY)
        continue;
      times = room_for (core, &room, &job->job) - (int64_t)used;
      if (times > (int64_t)(KQ_BATCH_MAX - used))
        times = (int64_t)(KQ_BATCH_MAX - used);
      if (times > 0)
        times = within_quota (core, waiting, i, taken, times);
      taken[i] = 0;
      if (times > 0)
        taken[i] = kq_job_unbound (job, refs + used, (int)times);
      used += (size_t)taken[i];
    }
  return used;
}

static void
want_tasks (struct kq_core *core, struct kq_shard *shard,
            enum kq_record_kind kind, struct kq_append **slot,
            const struct kq_task_ref *refs, size_t count)
{
  struct kq_record record = { .kind = kind };

  record.u.tasks.shard = shard->name;
  record.u.tasks.epoch = shard->epoch;
  record.u.tasks.tasks = refs;
  record.u.tasks.count = count;
  *slot = kq_append_want (core, &record);
  if (*slot != NULL)
    (*slot)->slot = slot;
}

static void
bind_waiting (struct kq_core *core, struct kq_shard *shard,
              struct kq_job_state **waiting, size_t waiting_count)
{
  struct kq_task_ref refs[KQ_BATCH_MAX];
  size_t count;

  if (shard->bind != NULL || shard->release != NULL)
    return;
  count = pick_tasks (core, shard, waiting, waiting_count, refs);
  if (count > 0)
    want_tasks (core, shard, KQ_REC_BIND, &shard->bind, refs, count);
}

/* Whether another shard that is served could carry the task. */
static bool
fits_elsewhere (const struct kq_core *core, const struct kq_shard *shard,
                const struct kq_run *run)
{
  const struct kq_job_state *job = kq_jobs_find (core->jobs, &run->id.job);
  const struct kq_shard *other;

  if (job == NULL)
    return false;
  for (other = core->shards; other != NULL; other = other->hh.next)
    if (other != shard && allows (&job->job, other) && is_claimed (core, other)
        && other->largest_known && kq_size_fits (&run->size, &other->largest))
      return true;
  return false;
}

static void
release_stuck (struct kq_core *core, struct kq_shard *shard)
{
  struct kq_task_ref refs[KQ_BATCH_MAX];
  size_t count = 0;

  if (shard->release != NULL)
    return;
  for (struct kq_run *run = shard->runs; run != NULL && count < KQ_BATCH_MAX;
       run = run->next)
    {
      if (!run->tracked || run->done || kq_run_live (run) != NULL
          || run->waits == KQ_EPLACE_PROBE
          || core->now < run->waits_since + RELEASE_AFTER
          || !fits_elsewhere (core, shard, run))
        continue;
      run->releasing = true;
      refs[count] = (struct kq_task_ref){ .task = run->id };
      refs[count].binding = run->binding;
      refs[count++].checkpoint = run->checkpoint;
    }
  if (count > 0)
    want_tasks (core, shard, KQ_REC_RELEASE, &shard->release, refs, count);
}

/* Tells why tasks of JOB wait: never fits when each shard that it may use is
   known to be too small; silent when none that may carry it has an owner. */
static void
judge_job (const struct kq_core *core, struct kq_job_state *job)
{
  const struct kq_shard *shard;

  job->waits = KQ_EJOB_NEVER_FITS;
  if (core->shards == NULL)
    job->waits = KQ_ECONFIG_NONE;
  for (shard = core->shards; shard != NULL; shard = shard->hh.next)
    {
      if (!allows (&job->job, shard)
          || (shard->largest_known
              && !kq_size_fits (&job->job.size, &shard->largest)))
        continue;
      if (is_claimed (core, shard))
        job->waits = KQ_EWORKER_FULL;
      else if (job->waits != KQ_EWORKER_FULL)
        job->waits = KQ_EWORKER_SILENT;
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
      || core->now < core->bind_at)
    return;
  core->bind_at = core->now + BIND_EVERY;
  count = collect_waiting (core, waiting);
  for (size_t i = 0; i < count; i++)
    judge_job (core, waiting[i]);
  HASH_ITER (hh, core->shards, shard, next)
  if (shard->owner && shard->epoch != 0)
    {
      bind_waiting (core, shard, waiting, count);
      release_stuck (core, shard);
    }
}

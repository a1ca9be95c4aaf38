/* Counters and invariant checks of the scheduler. */
#include <assert.h>
#include <string.h>

#include "sched/checkpoint.h"
#include "sched/disruption.h"
#include "sched/internal.h"
#include "sched/tombstone.h"

bool
kq_sched_has_job (const struct kq_sched *sched, uint64_t id)
{
  const struct job *job;

  HASH_FIND (hh, sched->jobs, &id, sizeof id, job);
  return job != NULL;
}

bool
kq_sched_is_cancelled (const struct kq_sched *sched, uint64_t id)
{
  const struct job *job;

  HASH_FIND (hh, sched->jobs, &id, sizeof id, job);
  return job != NULL && job->state == KQ_SCHED_CANCELLED;
}

void
kq_sched_count (const struct kq_sched *sched, struct kq_sched_counts *counts)
{
  const struct worker *worker;
  const struct stage *stage;

  *counts = sched->counts;
  counts->jobs = (int)HASH_COUNT (sched->jobs);
  counts->checkpoint_bytes = (int64_t)sched->checkpoint_bytes;
  counts->tombstones = tombstone_count (sched);
  counts->workers = (int)HASH_COUNT (sched->workers);
  counts->open_jobs = 0;
  counts->usable_workers = 0;
  counts->evacuated_workers = 0;
  for (const struct job *job = sched->jobs; job != NULL; job = job->hh.next)
    counts->open_jobs += !job_has_ended (job);
  DL_FOREACH (sched->worker_list, worker)
  {
    counts->evacuated_workers += worker->registered && worker->evacuated;
    if (!worker->registered || worker->report.draining || worker->evacuated)
      continue;
    counts->usable_workers++;
    counts->cpu_capacity += worker->report.capacity.cpu;
    counts->mem_capacity += worker->report.capacity.mem;
    counts->cpu_used += worker->used.cpu;
    counts->mem_used += worker->used.mem;
    counts->cpu_long_running += worker->long_running_cpu;
  }
  DL_FOREACH (sched->queue, stage)
  {
    if (stage->lateness > 0)
      counts->ready_late += stage->ready_count;
  }
}

/* What is held at workers is held for ready tasks. */
static void
assert_large_holds (const struct kq_sched *sched)
{
  const struct worker *worker;
  const struct stage *stage;
  int64_t cpu = 0;
  int count = 0;

  DL_FOREACH (sched->worker_list, worker)
  {
    assert (worker->large_count >= 0);
    count += worker->large_count;
    cpu += worker->large_held.cpu;
  }
  DL_FOREACH (sched->queue, stage)
  {
    count -= stage->large_count;
    cpu -= stage->large_count * stage->step->demand.cpu;
  }
  assert (count == 0 && cpu == 0);
}

/* All members of a gang are started with the same checkpoint. */
static void
assert_gang_checkpoints (const struct kq_sched *sched)
{
  const struct stage *stage;

  DL_FOREACH (sched->queue, stage)
  {
    for (int i = 1; stage->step->gang && i < stage->step->count; i++)
      assert (strcmp (checkpoint_text (&stage->tasks[i]),
                      checkpoint_text (&stage->tasks[0]))
              == 0);
  }
}

void
kq_sched_assert (const struct kq_sched *sched)
{
  const struct worker *worker;
  const struct stage *stage;
  int bound = 0;
  int ready = 0;

  DL_FOREACH (sched->worker_list, worker)
  {
    struct kq_sched_demand used = { 0, 0, 0 };
    int64_t long_running_cpu = 0;
    int suspect_count = 0;
    const struct task *task;

    DL_FOREACH (worker->tasks, task)
    {
      const struct kq_sched_step *step = task->stage->step;

      assert (task->state == TASK_BOUND && task->worker == worker);
      assert (task->at_work == disruption_is_at_work (task));
      used.cpu += step->filler ? 0 : step->demand.cpu;
      if (step->long_running && !step->filler)
        long_running_cpu += step->demand.cpu;
      suspect_count += crash_is_on_trial (task);
      used.mem += step->demand.mem;
      used.gpu += step->demand.gpu;
      bound++;
    }
    assert (long_running_cpu == worker->long_running_cpu);
    assert (suspect_count == worker->suspect_count);
    assert (used.cpu == worker->used.cpu && used.mem == worker->used.mem
            && used.gpu == worker->used.gpu);
  }
  assert (bound == sched->counts.bound_tasks);
  DL_FOREACH (sched->queue, stage) { ready += stage->ready_count; }
  assert (ready == sched->counts.ready_tasks);
  reserve_assert (sched);
  assert_large_holds (sched);
  assert_gang_checkpoints (sched);
}

#include "job/run.h"

#include <stdlib.h>

#include <utlist.h>

#include "base/err.h"

struct kq_run *
kq_run_create (const struct kq_task_id *id, const struct kq_job *job)
{
  struct kq_run *run = calloc (1, sizeof *run);

  if (run == NULL)
    return NULL;
  run->id = *id;
  run->kind = job->kind;
  run->size = job->size;
  run->run_ms = job->run_ms;
  run->importance = job->importance;
  return run;
}

void
kq_run_destroy (struct kq_run *run)
{
  while (run->attempts != NULL)
    kq_run_detach (run->attempts);
  free (run);
}

void
kq_run_attach (struct kq_run *run, struct kq_attempt *attempt)
{
  attempt->run = run;
  DL_APPEND2 (run->attempts, attempt, run_prev, run_next);
}

void
kq_run_start (struct kq_run *run, struct kq_attempt *attempt)
{
  if (kq_run_live_attempt (run) != NULL)
    abort ();
  kq_run_attach (run, attempt);
}

void
kq_run_detach (struct kq_attempt *attempt)
{
  if (attempt->run == NULL)
    return;
  DL_DELETE2 (attempt->run->attempts, attempt, run_prev, run_next);
  attempt->run = NULL;
}

struct kq_attempt *
kq_run_live_attempt (const struct kq_run *run)
{
  struct kq_attempt *attempt;
  struct kq_attempt *newest = NULL;

  DL_FOREACH2 (run->attempts, attempt, run_next)
  if (attempt->phase != KQ_PHASE_ENDED
      && (newest == NULL || attempt->row.attempt > newest->row.attempt))
    newest = attempt;
  return newest;
}

bool
kq_run_failed_on (const struct kq_run *run, const struct kq_name *name)
{
  for (int i = 0; i < run->failed_worker_count; i++)
    if (kq_name_eq (&run->failed_workers[i], name))
      return true;
  return false;
}

/* Records that the task failed on WORKER.  The task fails for good once it has
   failed on KQ_RUN_MAX_FAILED_WORKERS workers. */
static void
add_failed_worker (struct kq_run *run, const struct kq_name *worker)
{
  if (run->failed_worker_count == KQ_RUN_MAX_FAILED_WORKERS
      || kq_run_failed_on (run, worker))
    return;
  run->failed_workers[run->failed_worker_count++] = *worker;
  if (run->failed_worker_count < KQ_RUN_MAX_FAILED_WORKERS || run->done)
    return;
  run->done = true;
  run->end_err = KQ_EJOB_FAILED;
}

void
kq_run_update (struct kq_run *run, struct kq_attempt *attempt,
               bool counts_failure)
{
  if (attempt->row.checkpoint > run->checkpoint)
    run->checkpoint = attempt->row.checkpoint;
  switch (attempt->row.state)
    {
    case KQ_ATTEMPT_DONE:
      run->done = true;
      run->end_err = 0;
      break;
    case KQ_ATTEMPT_FAILED:
      if (counts_failure)
        add_failed_worker (run, kq_worker_name (attempt->worker));
      break;
    case KQ_ATTEMPT_RUNNING:
    case KQ_ATTEMPT_CHECKPOINTING:
    case KQ_ATTEMPT_EVICTED:
      break;
    }
}

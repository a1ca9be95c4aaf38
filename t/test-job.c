/* Tests of the job table, which is built from log records, and of the runs of
   tasks.  They guard against hosts that read the same log but disagree on the
   binding or the end of a task, and against lost checkpoints.  */

#include <stdlib.h>
#include <string.h>

#include "base/err.h"
#include "job/job.h"
#include "job/run.h"
#include "t/kqtest.h"

static struct kq_record
job_record (const char *id, int tasks)
{
  struct kq_record record = { .kind = KQ_REC_JOB };

  strcpy (record.u.job.id.text, id);
  record.u.job.tasks = tasks;
  return record;
}

/* A record about task INDEX of job "j" in shard "s". */
static struct kq_record
task_record (enum kq_record_kind kind, uint64_t epoch, struct kq_task_ref *ref,
             int index, int64_t binding, int64_t checkpoint)
{
  struct kq_record record = { .kind = kind };

  memset (ref, 0, sizeof *ref);
  strcpy (ref->task.job.text, "j");
  ref->task.index = index;
  ref->binding = binding;
  ref->checkpoint = checkpoint;
  strcpy (record.u.tasks.shard.text, "s");
  record.u.tasks.epoch = epoch;
  record.u.tasks.tasks = ref;
  record.u.tasks.count = 1;
  return record;
}

/* One record of a test log; its offset is its index plus 1. */
struct step
{
  enum kq_record_kind kind;
  int64_t epoch;
  int index;
  int64_t binding;
  int64_t checkpoint;
  int err; /* expected result of kq_jobs_apply() */
};

static struct kq_record
record_of (const struct step *step, struct kq_task_ref *ref)
{
  struct kq_record record;

  switch (step->kind)
    {
    case KQ_REC_JOB:
      return job_record ("j", step->index);
    case KQ_REC_EPOCH:
      record = (struct kq_record){ .kind = KQ_REC_EPOCH };
      strcpy (record.u.epoch.shard.text, "s");
      return record;
    case KQ_REC_CANCEL:
      record = (struct kq_record){ .kind = KQ_REC_CANCEL };
      strcpy (record.u.cancel.text, "j");
      return record;
    default:
      return task_record (step->kind, (uint64_t)step->epoch, ref, step->index,
                          step->binding, step->checkpoint);
    }
}

static void
apply_steps (struct kq_jobs *jobs, const struct step *steps, size_t count)
{
  for (size_t i = 0; i < count; i++)
    {
      struct kq_task_ref ref;
      struct kq_record record = record_of (&steps[i], &ref);
      int err = kq_jobs_apply (jobs, (int64_t)i + 1, &record);

      if (err != steps[i].err)
        printf ("record %zu: %s\n", i + 1, kq_err_name (err));
      CU_ASSERT_EQUAL (err, steps[i].err);
    }
}

static const struct kq_job_task *
task (const struct kq_jobs *jobs, int index)
{
  struct kq_task_id id = { .job = { "j" }, .index = index };

  return kq_jobs_find_task (jobs, &id);
}

static void
test_epochs_fence (void)
{
  static const struct step steps[] = {
    { KQ_REC_JOB, 0, 3, 0, 0, 0 },
    { KQ_REC_JOB, 0, 3, 0, 0, KQ_EEXIST },
    { KQ_REC_EPOCH, 0, 0, 0, 0, 0 }, /* 3 */
    { KQ_REC_BIND, 3, 0, 0, 0, 0 },  /* 4 */
    { KQ_REC_BIND, 3, 0, 0, 0, 0 },  /* already bound: ignored */
    { KQ_REC_EPOCH, 0, 0, 0, 0, 0 }, /* 6 */
    { KQ_REC_RELEASE, 3, 0, 4, 700, KQ_ELEASE_TERM },
    { KQ_REC_BIND, 3, 1, 0, 0, KQ_ELEASE_TERM },
    { KQ_REC_RELEASE, 6, 0, 9, 500, 0 }, /* other binding: ignored */
  };
  static const struct step end_step[] = { { KQ_REC_END, 3, 0, 4, 0, 0 } };
  struct kq_jobs *jobs = kq_jobs_create ();
  struct kq_task_ref ref;
  struct kq_record record;

  apply_steps (jobs, steps, sizeof steps / sizeof steps[0]);
  CU_ASSERT_EQUAL (task (jobs, 0)->binding, 4);
  CU_ASSERT_EQUAL (task (jobs, 0)->checkpoint, 0);
  CU_ASSERT_PTR_NULL (task (jobs, 1)->shard);
  record = task_record (KQ_REC_RELEASE, 6, &ref, 0, 4, 500);
  CU_ASSERT_EQUAL (kq_jobs_apply (jobs, 10, &record), 0);
  CU_ASSERT_PTR_NULL (task (jobs, 0)->shard);
  CU_ASSERT_EQUAL (task (jobs, 0)->checkpoint, 500);
  record = record_of (&end_step[0], &ref); /* END is not fenced by epochs */
  CU_ASSERT_EQUAL (kq_jobs_apply (jobs, 11, &record), 0);
  CU_ASSERT_TRUE (task (jobs, 0)->ended);
  kq_jobs_destroy (jobs);
}

/* A late duplicate of the JOB record of a finished job must not start the job
   again.  */
static void
test_finished_jobs_stay_known (void)
{
  static const struct step steps[]
      = { { KQ_REC_JOB, 0, 1, 0, 0, 0 },
          { KQ_REC_CANCEL, 0, 0, 0, 0, 0 },
          { KQ_REC_CANCEL, 0, 0, 0, 0, 0 },
          { KQ_REC_JOB, 0, 1, 0, 0, KQ_EEXIST },
          { KQ_REC_END, 0, 0, 0, 0, KQ_EJOB_UNKNOWN } };
  struct kq_jobs *jobs = kq_jobs_create ();

  apply_steps (jobs, steps, sizeof steps / sizeof steps[0]);
  CU_ASSERT_PTR_NULL (kq_jobs_live (jobs));
  CU_ASSERT_TRUE (kq_jobs_finished (jobs)->cancelled);
  kq_jobs_destroy (jobs);
}

static void
test_unbound_tasks_are_found_in_order (void)
{
  static const struct step steps[] = { { KQ_REC_JOB, 0, 5, 0, 0, 0 },
                                       { KQ_REC_BIND, 0, 1, 0, 0, 0 },
                                       { KQ_REC_END, 0, 3, 0, 0, 0 } };
  struct kq_jobs *jobs = kq_jobs_create ();
  struct kq_task_ref refs[8];

  apply_steps (jobs, steps, sizeof steps / sizeof steps[0]);
  CU_ASSERT_EQUAL (kq_job_find_unbound (kq_jobs_live (jobs), refs, 2), 2);
  CU_ASSERT_EQUAL (refs[0].task.index, 0);
  CU_ASSERT_EQUAL (refs[1].task.index, 2);
  CU_ASSERT_EQUAL (kq_job_find_unbound (kq_jobs_live (jobs), refs, 8), 3);
  CU_ASSERT_EQUAL (refs[0].task.index, 4);
  kq_jobs_destroy (jobs);
}

/* Builds a snapshot of JOB as of offset AS_OF. */
static struct kq_record
snapshot_of (const struct kq_job_state *job, int64_t as_of)
{
  struct kq_record record = { .kind = KQ_REC_SNAPSHOT };

  record.u.snapshot.job = job->job;
  record.u.snapshot.as_of = as_of;
  record.u.snapshot.ranges
      = kq_job_describe_ranges (job, &record.u.snapshot.count);
  return record;
}

/* A host that starts after retention has removed records must agree with a
   host that read the whole log: a record that was appended after the snapshot
   was taken but before the snapshot itself must not be lost.  */
static void
test_snapshot_rebuilds (void)
{
  static const struct step steps[] = { { KQ_REC_JOB, 0, 6, 0, 0, 0 },
                                       { KQ_REC_EPOCH, 0, 0, 0, 0, 0 },
                                       { KQ_REC_BIND, 2, 0, 0, 0, 0 },
                                       { KQ_REC_BIND, 2, 1, 0, 0, 0 },
                                       { KQ_REC_END, 2, 5, 0, 0, 0 } };
  struct kq_jobs *all = kq_jobs_create ();
  struct kq_jobs *late = kq_jobs_create ();
  struct kq_task_ref ref;
  struct kq_record newer;
  struct kq_record snapshot;

  apply_steps (all, steps, sizeof steps / sizeof steps[0]);
  snapshot = snapshot_of (kq_jobs_live (all), 5);
  CU_ASSERT_EQUAL (snapshot.u.snapshot.count, 4);
  kq_jobs_reset_after_gap (late, 6);
  newer = task_record (KQ_REC_RELEASE, 2, &ref, 1, 4, 300);
  CU_ASSERT_EQUAL (kq_jobs_apply (all, 6, &newer), 0);
  CU_ASSERT_EQUAL (kq_jobs_apply (late, 6, &newer), KQ_EJOB_UNKNOWN);
  kq_jobs_set_complete (late); /* an outage delays the snapshot */
  CU_ASSERT_EQUAL (kq_jobs_apply (late, 7, &snapshot), 0);
  for (int i = 0; i < 6; i++)
    {
      CU_ASSERT_EQUAL (task (late, i)->binding, task (all, i)->binding);
      CU_ASSERT_EQUAL (task (late, i)->ended, task (all, i)->ended);
      CU_ASSERT_EQUAL (task (late, i)->checkpoint, task (all, i)->checkpoint);
    }
  free ((void *)snapshot.u.snapshot.ranges);
  kq_jobs_destroy (all);
  kq_jobs_destroy (late);
}

/* A snapshot is rejected when records since then were not read, or when its
   job has finished.  */
static void
test_snapshot_is_refused (void)
{
  static const struct step steps[] = { { KQ_REC_JOB, 0, 2, 0, 0, 0 } };
  struct kq_jobs *all = kq_jobs_create ();
  struct kq_jobs *late = kq_jobs_create ();
  struct kq_record snapshot;

  apply_steps (all, steps, 1);
  snapshot = snapshot_of (kq_jobs_live (all), 1);
  kq_jobs_reset_after_gap (late, 3); /* offset 2 was not read */
  CU_ASSERT_EQUAL (kq_jobs_apply (late, 4, &snapshot), KQ_ERANGE);
  snapshot.u.snapshot.as_of = 2;
  kq_jobs_set_complete (late);
  kq_jobs_set_rebuilt (late);
  CU_ASSERT_EQUAL (kq_jobs_apply (late, 5, &snapshot), KQ_EJOB_UNKNOWN);
  free ((void *)snapshot.u.snapshot.ranges);
  kq_jobs_destroy (all);
  kq_jobs_destroy (late);
}

static struct kq_attempt *
add_attempt (struct kq_worker *worker, struct kq_run *run, int number,
             enum kq_attempt_state state, int64_t checkpoint)
{
  struct kq_attempt_row row = { .attempt = number, .state = state };
  struct kq_attempt *attempt;

  row.checkpoint = checkpoint;
  attempt = kq_worker_apply_row (worker, &row);
  kq_run_attach (run, attempt);
  kq_run_update (run, attempt, true);
  return attempt;
}

static void
test_run_attempts (void)
{
  static const struct kq_name names[] = { { "w0" }, { "w1" }, { "w2" } };
  struct kq_job job = { .tasks = 1 };
  struct kq_task_id id = { .job = { "j" } };
  struct kq_run *run = kq_run_create (&id, &job);
  struct kq_worker *workers[3];
  struct kq_attempt *live;

  for (int i = 0; i < 3; i++)
    workers[i] = kq_worker_create (&names[i]);
  add_attempt (workers[0], run, 1, KQ_ATTEMPT_EVICTED, 500);
  CU_ASSERT_PTR_NULL (kq_run_live_attempt (run));
  CU_ASSERT_EQUAL (run->checkpoint, 500);
  live = add_attempt (workers[1], run, 2, KQ_ATTEMPT_RUNNING, 400);
  CU_ASSERT_PTR_EQUAL (kq_run_live_attempt (run), live);
  CU_ASSERT_EQUAL (run->checkpoint, 500); /* an older checkpoint is ignored */
  add_attempt (workers[0], run, 3, KQ_ATTEMPT_FAILED, 0);
  add_attempt (workers[0], run, 4, KQ_ATTEMPT_FAILED, 0);
  add_attempt (workers[1], run, 5, KQ_ATTEMPT_FAILED, 0);
  CU_ASSERT_FALSE (run->done); /* failed on two distinct workers only */
  CU_ASSERT_TRUE (kq_run_failed_on (run, &names[1]));
  add_attempt (workers[2], run, 6, KQ_ATTEMPT_FAILED, 0);
  CU_ASSERT_TRUE (run->done);
  CU_ASSERT_EQUAL (run->end_err, KQ_EJOB_FAILED);
  add_attempt (workers[2], run, 7, KQ_ATTEMPT_DONE, 0);
  CU_ASSERT_EQUAL (run->end_err, 0);
  kq_run_destroy (run);
  for (int i = 0; i < 3; i++)
    kq_worker_destroy (workers[i]);
}

static const struct kq_test tests[]
    = { { "epochs fence", test_epochs_fence },
        { "finished jobs stay known", test_finished_jobs_stay_known },
        { "unbound tasks are found in order",
          test_unbound_tasks_are_found_in_order },
        { "snapshot rebuilds", test_snapshot_rebuilds },
        { "snapshot is refused", test_snapshot_is_refused },
        { "run", test_run_attempts } };

KQ_TEST_MAIN ("job", tests)

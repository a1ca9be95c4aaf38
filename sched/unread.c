/* Stored jobs that this owner could not restore (unread_*).
 *
 * Load: a record that another writer or a later version has left.
 *
 * Tasks of such a job may have run or run now.  It is neither run nor accepted
 * as new, and its caller is told to try again: another owner may read it.
 */
#include "sched/unread.h"

#include <stdlib.h>

#include "base/err.h"
#include "sched/internal.h"

#define STATUS_UNAVAILABLE 503

struct unread_job
{
  uint64_t id;
  UT_hash_handle hh;
};

static struct unread_job *
find (const struct kq_sched *sched, uint64_t id)
{
  struct unread_job *unread;

  HASH_FIND (hh, sched->unread_jobs, &id, sizeof id, unread);
  return unread;
}

void
kq_sched_drop_restored (struct kq_sched *sched, uint64_t id)
{
  struct job *job = job_find (sched, id);

  if (job == NULL)
    return;
  for (int i = 0; i < job->stage_count; i++)
    for (int j = 0; j < job->stages[i].step->count; j++)
      {
        task_clear_ready (sched, &job->stages[i].tasks[j]);
        task_release (sched, &job->stages[i].tasks[j]);
      }
  job_destroy (sched, job);
}

int
kq_sched_add_unread (struct kq_sched *sched, uint64_t id)
{
  struct unread_job *unread;

  if (find (sched, id) != NULL)
    return 0;
  unread = calloc (1, sizeof *unread);
  if (unread == NULL)
    return KQ_ENOMEM;
  kq_sched_drop_restored (sched, id);
  unread->id = id;
  HASH_ADD (hh, sched->unread_jobs, id, sizeof unread->id, unread);
  return 0;
}

bool
unread_answer (struct kq_sched *sched, const struct kq_sched_event *event)
{
  struct kq_sched_effect *effect;

  if (find (sched, event->u.call.job) == NULL)
    return false;
  if (event->kind == KQ_SCHED_EV_SUBMIT)
    kq_sched_spec_clear (event->u.call.spec);
  effect = sched_add_effect (sched, KQ_SCHED_FX_RESULT, 0);
  if (effect == NULL)
    return true;
  effect->u.result.token = event->u.call.token;
  effect->u.result.status = STATUS_UNAVAILABLE;
  effect->u.result.err = KQ_EJOB_UNREAD;
  return true;
}

void
unread_add_ids (const struct kq_sched *sched, struct kq_idset *ids)
{
  for (const struct unread_job *unread = sched->unread_jobs; unread != NULL;
       unread = unread->hh.next)
    kq_idset_add (ids, unread->id);
}

void
unread_clear (struct kq_sched *sched)
{
  struct unread_job *unread = sched->unread_jobs;
  struct unread_job *next;

  HASH_CLEAR (hh, sched->unread_jobs);
  for (; unread != NULL; unread = next)
    {
      next = unread->hh.next;
      free (unread);
    }
}

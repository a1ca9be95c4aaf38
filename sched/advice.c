/* Queues whose policy allows only some workers: asks the policy service which
 * workers may run a step, a few candidates at a time, and stores the tickets.
 */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/err.h"
#include "log/log.h"
#include "sched/internal.h"

/* Remaining validity that a ticket needs: a start order may take that long
   to arrive (platform/orders.c). */
#define TICKET_MARGIN_US (800 * KQ_USEC_PER_MSEC)

/* Delay before the next request after one that failed or was refused
   because of too many requests. */
#define ADVICE_RETRY_US (150 * KQ_USEC_PER_MSEC)

/* Candidates in a stage's first request beyond its number of ready tasks,
   since some will not be allowed. */
#define SPARE_CANDIDATES 6

/* Result of the policy service for one worker and one stage. */
struct advice_row
{
  const struct worker *worker;     /* valid as long as the scheduler */
  int64_t incarnation_ms;          /* incarnation that the result is for */
  char ticket[KQ_SCHED_NAME_SIZE]; /* "": not allowed in this incarnation */
  kq_usec valid_until;
};

static struct advice_row *
find_row (const struct stage *stage, const struct worker *worker)
{
  for (int i = 0; i < stage->advice_count; i++)
    if (stage->advice[i].worker == worker)
      return &stage->advice[i];
  return NULL;
}

const char *
advice_ticket (const struct stage *stage, const struct worker *worker,
               struct kq_sched_now now)
{
  const struct advice_row *row = find_row (stage, worker);

  if (row == NULL || row->ticket[0] == '\0'
      || row->incarnation_ms != worker->report.incarnation_ms
      || now.mono > row->valid_until - TICKET_MARGIN_US)
    return NULL;
  return row->ticket;
}

void
advice_invalidate (struct stage *stage, const struct worker *worker)
{
  struct advice_row *row = find_row (stage, worker);

  if (row != NULL)
    row->valid_until = 0;
}

void
advice_set_wanted (struct stage *stage)
{
  stage->advice_wanted = true;
}

void
advice_clear (struct stage *stage)
{
  free (stage->advice);
}

/* A worker that is not allowed is named in no further request in the same
   incarnation. */
static bool
is_candidate (const struct stage *stage, const struct worker *worker,
              struct kq_sched_now now)
{
  const struct advice_row *row = find_row (stage, worker);

  if (row != NULL && row->ticket[0] == '\0'
      && row->incarnation_ms == worker->report.incarnation_ms)
    return false;
  return advice_ticket (stage, worker, now) == NULL
         && place_fits_some_task (worker, stage, now);
}

static int64_t
load_milli (const struct worker *worker)
{
  int64_t capacity = worker->report.capacity.cpu;

  return capacity > 0 ? worker->used.cpu * 1000 / capacity : 0;
}

/* Fills POLICY_REQUEST with the candidates that have the lowest load. */
static void
choose_candidates (const struct kq_sched *sched, const struct stage *stage,
                   struct kq_sched_now now,
                   struct kq_sched_advice_request *policy_request)
{
  const struct worker *chosen[KQ_SCHED_MAX_ADVICE_WORKERS];
  const struct worker *worker;
  int max_count = stage->ready_count + SPARE_CANDIDATES;
  int count = 0;

  if (max_count > KQ_SCHED_MAX_ADVICE_WORKERS || stage->advice_count > 0)
    max_count = KQ_SCHED_MAX_ADVICE_WORKERS;
  DL_FOREACH (sched->worker_list, worker)
  {
    int at = count;

    if (!is_candidate (stage, worker, now))
      continue;
    for (; at > 0 && load_milli (chosen[at - 1]) > load_milli (worker); at--)
      if (at < max_count)
        chosen[at] = chosen[at - 1];
    if (at < max_count)
      chosen[at] = worker;
    if (count < max_count)
      count++;
  }
  for (int i = 0; i < count; i++)
    snprintf (policy_request->workers[i], sizeof policy_request->workers[i],
              "%s", chosen[i]->report.id);
  policy_request->count = count;
}

bool
kq_sched_next_advice_request (struct kq_sched *sched, struct kq_sched_now now,
                              struct kq_sched_advice_request *policy_request)
{
  struct stage *stage;

  if (sched->advice_in_flight || now.mono < sched->advice_retry_at
      || sched->superseded)
    return false;
  DL_FOREACH (sched->queue, stage)
  {
    if (!stage->advice_wanted)
      continue;
    stage->advice_wanted = false;
    choose_candidates (sched, stage, now, policy_request);
    if (policy_request->count == 0)
      continue;
    policy_request->step
        = (struct kq_sched_run){ .job = stage->job->id,
                                 .occurrence = stage->occurrence,
                                 .step = stage->number };
    sched->advice_in_flight = true;
    return true;
  }
  return false;
}

static void
store_advice (struct kq_sched *sched, struct stage *stage,
              const struct kq_sched_advice *advice, const char *id)
{
  struct worker *worker = worker_find (sched, id);
  struct advice_row *row = worker == NULL ? NULL : find_row (stage, worker);
  struct advice_row *grown;

  if (worker == NULL)
    return;
  if (row == NULL)
    {
      grown = realloc (stage->advice, (size_t)(stage->advice_count + 1)
                                          * sizeof *stage->advice);
      if (grown == NULL)
        {
          kq_log (KQ_LOG_ERROR, "sched", "advice not stored", KQ_ENOMEM, NULL);
          return;
        }
      stage->advice = grown;
      row = &stage->advice[stage->advice_count++];
    }
  *row = (struct advice_row){
    .worker = worker,
    .incarnation_ms = worker->report.incarnation_ms,
    .valid_until = advice->sent_at + advice->valid_ms * KQ_USEC_PER_MSEC
  };
  for (int i = 0; i < advice->allowed_count; i++)
    if (strcmp (advice->allowed[i].worker, id) == 0)
      snprintf (row->ticket, sizeof row->ticket, "%s",
                advice->allowed[i].ticket);
}

void
advice_apply (struct kq_sched *sched, struct kq_sched_now now,
              const struct kq_sched_advice *advice)
{
  struct job *job = job_find (sched, advice->policy_request->step.job);
  struct task *first
      = job == NULL ? NULL : job_task (job, &advice->policy_request->step);
  char requested[16];
  char allowed[16];
  char name[64];

  sched->advice_in_flight = false;
  sched->placement_due = true;
  if (advice->reply != KQ_SCHED_OK)
    sched->advice_retry_at = now.mono + ADVICE_RETRY_US;
  run_format (&advice->policy_request->step, name);
  snprintf (requested, sizeof requested, "%d", advice->policy_request->count);
  snprintf (allowed, sizeof allowed, "%d", advice->allowed_count);
  kq_log (KQ_LOG_INFO, "sched", "advice", advice->reply != KQ_SCHED_OK, "step",
          name, "asked", requested, "allowed", allowed, NULL);
  if (first == NULL || advice->reply != KQ_SCHED_OK)
    return;
  for (int i = 0; i < advice->policy_request->count; i++)
    store_advice (sched, first->stage, advice,
                  advice->policy_request->workers[i]);
}

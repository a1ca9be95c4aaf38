/* Queues whose policy allows only some workers: who may run a step is asked
 * for, a few candidates at a time, and remembered with its ticket.
 */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/err.h"
#include "log/log.h"
#include "sched/internal.h"

/* A ticket is used only while it is good for this long: a start order may take
   that long to arrive (platform/orders.c). */
#define TICKET_MARGIN (800 * KQ_USEC_PER_MSEC)

/* A question without an answer, or one too many, is asked again after this. */
#define ASK_RETRY (150 * KQ_USEC_PER_MSEC)

/* Candidates beyond the tasks that are ready, in a stage's first question:
   some are not allowed. */
#define SPARE_CANDIDATES 6

/* What is known about one worker for one stage. */
struct advice_row
{
  const struct worker *worker; /* lives as long as the scheduler */
  int64_t born_ms;             /* the life that the ticket is for */
  char ticket[KQ_SCHED_NAME];  /* "": not allowed, which does not change */
  kq_usec until;
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
      || row->born_ms != worker->report.born_ms
      || now.mono > row->until - TICKET_MARGIN)
    return NULL;
  return row->ticket;
}

void
advice_drop (struct stage *stage, const struct worker *worker)
{
  struct advice_row *row = find_row (stage, worker);

  if (row != NULL)
    row->until = 0;
}

void
advice_want (struct stage *stage)
{
  stage->advice_wanted = true;
}

void
advice_clear (struct stage *stage)
{
  free (stage->advice);
}

/* A worker that is not allowed is not asked about again in this life. */
static bool
is_worth_asking (const struct stage *stage, const struct worker *worker,
                 struct kq_sched_now now)
{
  const struct advice_row *row = find_row (stage, worker);

  if (row != NULL && row->ticket[0] == '\0'
      && row->born_ms == worker->report.born_ms)
    return false;
  return advice_ticket (stage, worker, now) == NULL
         && place_fits (worker, stage, now);
}

static int64_t
load_of (const struct worker *worker)
{
  int64_t capacity = worker->report.capacity.cpu;

  return capacity > 0 ? worker->used.cpu * 1000 / capacity : 0;
}

/* Puts the emptiest workers into QUESTION. */
static void
choose_candidates (const struct kq_sched *sched, const struct stage *stage,
                   struct kq_sched_now now, struct kq_sched_question *question)
{
  const struct worker *chosen[KQ_SCHED_ADVISED_WORKERS];
  const struct worker *worker;
  int most = stage->ready + SPARE_CANDIDATES;
  int count = 0;

  if (most > KQ_SCHED_ADVISED_WORKERS || stage->advice_count > 0)
    most = KQ_SCHED_ADVISED_WORKERS;
  DL_FOREACH (sched->worker_list, worker)
  {
    int at = count;

    if (!is_worth_asking (stage, worker, now))
      continue;
    for (; at > 0 && load_of (chosen[at - 1]) > load_of (worker); at--)
      if (at < most)
        chosen[at] = chosen[at - 1];
    if (at < most)
      chosen[at] = worker;
    if (count < most)
      count++;
  }
  for (int i = 0; i < count; i++)
    snprintf (question->workers[i], sizeof question->workers[i], "%s",
              chosen[i]->report.id);
  question->count = count;
}

bool
kq_sched_next_question (struct kq_sched *sched, struct kq_sched_now now,
                        struct kq_sched_question *question)
{
  struct stage *stage;

  if (sched->asking || now.mono < sched->ask_after || sched->deposed)
    return false;
  DL_FOREACH (sched->queue, stage)
  {
    if (!stage->advice_wanted)
      continue;
    stage->advice_wanted = false;
    choose_candidates (sched, stage, now, question);
    if (question->count == 0)
      continue;
    question->step = (struct kq_sched_run){ .job = stage->job->id,
                                            .occurrence = stage->occurrence,
                                            .step = stage->number };
    sched->asking = true;
    return true;
  }
  return false;
}

static void
note_advice (struct kq_sched *sched, struct stage *stage,
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
          kq_log (KQ_LOG_ERROR, "sched", "advice lost", KQ_ENOMEM, NULL);
          return;
        }
      stage->advice = grown;
      row = &stage->advice[stage->advice_count++];
    }
  *row = (struct advice_row){ .worker = worker,
                              .born_ms = worker->report.born_ms,
                              .until = advice->sent_at
                                       + advice->valid_ms * KQ_USEC_PER_MSEC };
  for (int i = 0; i < advice->allowed_count; i++)
    if (strcmp (advice->allowed[i].worker, id) == 0)
      snprintf (row->ticket, sizeof row->ticket, "%s",
                advice->allowed[i].ticket);
}

void
advice_take (struct kq_sched *sched, struct kq_sched_now now,
             const struct kq_sched_advice *advice)
{
  struct job *job = job_find (sched, advice->question->step.job);
  struct task *first
      = job == NULL ? NULL : job_task (job, &advice->question->step);
  char asked[16];
  char allowed[16];
  char name[64];

  sched->asking = false;
  sched->room_changed = true;
  if (advice->answer != KQ_SCHED_OK)
    sched->ask_after = now.mono + ASK_RETRY;
  run_format (&advice->question->step, name);
  snprintf (asked, sizeof asked, "%d", advice->question->count);
  snprintf (allowed, sizeof allowed, "%d", advice->allowed_count);
  kq_log (KQ_LOG_INFO, "sched", "advice", advice->answer != KQ_SCHED_OK,
          "step", name, "asked", asked, "allowed", allowed, NULL);
  if (first == NULL || advice->answer != KQ_SCHED_OK)
    return;
  for (int i = 0; i < advice->question->count; i++)
    note_advice (sched, first->stage, advice, advice->question->workers[i]);
}

/* Losses of workers as the evidence on outages (evidence.c) is told of them
 * (loss_*): with the only task that may be the cause, and, when a lease has
 * lapsed, with the workers that fell silent at the same time.
 */
#include "sched/loss.h"

#include <string.h>

#include "log/log.h"
#include "sched/crash.h"

/* Workers that fell silent together are looked for no more often than this,
   since that takes a walk over all workers; it is within the window in which
   losses explain each other. */
#define SILENCE_INTERVAL_US KQ_USEC_PER_SEC

struct kq_evidence_place
loss_place_of (const struct worker *worker)
{
  return (struct kq_evidence_place){ .service = worker->service,
                                     .zone = worker->report.zone,
                                     .rack = worker->report.rack };
}

static bool
is_in_scope (const struct worker *worker, enum kq_evidence_scope scope,
             const struct worker *lost)
{
  if (worker->service != lost->service)
    return false;
  switch (scope)
    {
    case KQ_EVIDENCE_RACK:
      return strcmp (worker->report.rack, lost->report.rack) == 0;
    case KQ_EVIDENCE_ZONE:
      return strcmp (worker->report.zone, lost->report.zone) == 0;
    case KQ_EVIDENCE_SERVICE:
    case KQ_EVIDENCE_NONE:
      break;
    }
  return scope == KQ_EVIDENCE_SERVICE;
}

/* Polls all workers in SCOPE around LOST; until they reply no task is placed
   there, since their state is older than the outage. */
static void
doubt_workers (struct kq_sched *sched, enum kq_evidence_scope scope,
               const struct worker *lost)
{
  for (size_t i = 0; i < sched->worker_count; i++)
    {
      struct worker *worker = sched->worker_array[i];

      if (!worker->registered || worker->clock_read_at == 0
          || !is_in_scope (worker, scope, lost))
        continue;
      worker->unheard = true;
      worker_poll_at_once (sched, worker);
    }
}

uint64_t
loss_note (struct kq_sched *sched, struct worker *worker,
           struct kq_sched_now now)
{
  const struct kq_evidence_loss loss = { .place = loss_place_of (worker),
                                         .worker = worker,
                                         .cause = crash_find_cause (worker),
                                         .at = now.mono };
  struct kq_evidence_finding finding;

  if (kq_evidence_begin_count (sched->evidence, now.mono))
    for (size_t i = 0; i < sched->worker_count; i++)
      {
        struct kq_evidence_place place
            = loss_place_of (sched->worker_array[i]);

        if (sched->worker_array[i]->registered)
          kq_evidence_count_worker (sched->evidence, &place);
      }
  finding = kq_evidence_note_loss (sched->evidence, &loss);
  worker->loss_noted = true;
  if (finding.begins)
    {
      sched->counts.outages++;
      kq_log (KQ_LOG_WARN, "sched", "workers lost together", 0, "worker",
              worker->report.id, "scope",
              kq_evidence_scope_name (finding.scope), "rack",
              worker->report.rack, "zone", worker->report.zone, NULL);
    }
  if (finding.spreads)
    doubt_workers (sched, finding.spread_scope, worker);
  return finding.number;
}

/* Whether OTHER fell silent with WORKER, as far as the intervals of their
   polls tell. */
static bool
fell_silent_with (const struct worker *other, const struct worker *worker,
                  struct kq_sched_now now)
{
  kq_usec apart = other->last_reply_at - worker->last_reply_at;

  return other->last_reply_at != 0 && !other->lost
         && now.mono - other->last_reply_at
                >= (other->idle ? KQ_SCHED_IDLE_UNRESPONSIVE_US
                                : KQ_SCHED_UNRESPONSIVE_US)
         && apart <= KQ_SCHED_IDLE_POLL_INTERVAL_US
         && apart >= -KQ_SCHED_IDLE_POLL_INTERVAL_US;
}

void
loss_note_silent (struct kq_sched *sched, const struct worker *worker,
                  struct kq_sched_now now)
{
  if (sched->silence_noted_at != 0
      && now.mono - sched->silence_noted_at < SILENCE_INTERVAL_US)
    return;
  sched->silence_noted_at = now.mono;
  for (size_t i = 0; i < sched->worker_count; i++)
    if (sched->worker_array[i] != worker
        && fell_silent_with (sched->worker_array[i], worker, now))
      loss_note (sched, sched->worker_array[i], now);
}

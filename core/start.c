/* Starts of bound tasks that do not run. */

#include <stdlib.h>

#include "base/err.h"
#include "core/internal.h"
#include "place/place.h"

/* Most starts of one shard in one step. */
#define STARTS_MAX 64

/* Most idle tasks that are looked at in one step. */
#define SCAN_MAX 1024

/* What the shard's workers can take now. */
struct start_choice
{
  struct kq_place_worker *workers;
  struct kq_node **nodes;
  size_t count;
};

static void
add_candidate (struct kq_core *core, struct start_choice *choice,
               struct kq_node *node)
{
  static const struct kq_size nothing = { 0, 0, 0 };
  struct kq_place_worker *entry = &choice->workers[choice->count];
  int err = kq_worker_check (node->worker, &nothing, core->now);

  if (!kq_lease_held (node->lease, core->now) || !node->known || err != 0)
    return;
  entry->name = node->name;
  if (node->listed != NULL)
    entry->rack = node->listed->entry.rack;
  entry->table = kq_worker_table (node->worker);
  entry->capacity = entry->table->capacity;
  entry->free = kq_worker_free (node->worker);
  choice->nodes[choice->count++] = node;
}

/* Makes the attempt number that belongs to no other attempt. */
static int64_t
next_attempt (struct kq_shard *shard)
{
  return (int64_t)shard->epoch * KQ_ATTEMPTS_PER_EPOCH
         + ++shard->attempt_serial;
}

static void
send_start (struct kq_core *core, struct kq_run *run, struct kq_node *node,
            int64_t number)
{
  struct kq_effect effect = { .kind = KQ_FX_TASK };
  struct kq_attempt_row *row = &effect.u.task.row;
  struct kq_attempt *attempt;

  row->task = run->id;
  row->attempt = number;
  row->binding = run->binding;
  row->checkpoint = run->checkpoint;
  row->state = KQ_ATTEMPT_RUNNING;
  row->size = run->size;
  row->share_milli = 1000;
  attempt = kq_worker_admit (node->worker, row, core->now);
  if (attempt == NULL)
    return;
  kq_run_start (run, attempt);
  kq_lease_note_start (node->lease, core->now);
  effect.u.task.worker = node->name;
  effect.u.task.term = kq_lease_term (node->lease);
  effect.u.task.serial = kq_lease_serial (node->lease);
  effect.u.task.action = KQ_TASK_START;
  effect.u.task.task_kind = run->kind;
  effect.u.task.run_ms = run->run_ms;
  kq_effects_add (core->out, &effect);
}

static bool
start_one (struct kq_core *core, struct kq_shard *shard, struct kq_run *run,
           struct start_choice *choice)
{
  struct kq_place_task task = { .id = run->id,
                                .kind = run->kind,
                                .importance = run->importance,
                                .size = run->size,
                                .run_ms = run->run_ms };
  int picked;

  for (size_t i = 0; i < choice->count; i++)
    choice->workers[i].failed_before
        = kq_run_failed_on (run, &choice->nodes[i]->name);
  picked = kq_place_pick (&task, choice->workers, choice->count);
  if (picked < 0)
    {
      run->waits = picked;
      return false;
    }
  run->waits = 0;
  send_start (core, run, choice->nodes[picked], next_attempt (shard));
  choice->workers[picked].free
      = kq_worker_free (choice->nodes[picked]->worker);
  return true;
}

static bool
is_idle (const struct kq_core *core, const struct kq_run *run)
{
  return run->tracked && !run->done && !run->releasing
         && core->now >= run->starts_after && kq_run_live (run) == NULL;
}

/* Collects idle tasks, the most important first, oldest first among equals.
   Returns their number. */
static size_t
collect_idle (struct kq_core *core, const struct kq_shard *shard,
              struct kq_run **idle)
{
  size_t count = 0;

  for (int importance = 9; importance >= 0; importance--)
    for (struct kq_run *run = shard->runs; run != NULL && count < SCAN_MAX;
         run = run->next)
      if (run->importance == importance && is_idle (core, run))
        idle[count++] = run;
  return count;
}

static void
start_idle (struct kq_core *core, struct kq_shard *shard,
            struct start_choice *choice)
{
  struct kq_run *idle[SCAN_MAX];
  size_t count = collect_idle (core, shard, idle);
  int started = 0;

  for (size_t i = 0; i < count && started < STARTS_MAX; i++)
    started += start_one (core, shard, idle[i], choice);
}

void
kq_start_tick (struct kq_core *core, struct kq_shard *shard)
{
  struct start_choice choice = { NULL, NULL, 0 };

  if (shard->epoch == 0 || !kq_jobs_is_complete (core->jobs) || core->stopping
      || shard->attempt_serial >= KQ_ATTEMPTS_PER_EPOCH - STARTS_MAX)
    return;
  choice.workers = calloc (shard->count, sizeof *choice.workers);
  choice.nodes = calloc (shard->count, sizeof (struct kq_node *));
  if (choice.workers != NULL && choice.nodes != NULL)
    {
      for (size_t i = 0; i < shard->count; i++)
        add_candidate (core, &choice, shard->nodes[i]);
      if (choice.count > 0)
        start_idle (core, shard, &choice);
    }
  free (choice.workers);
  free (choice.nodes);
}

/* Waits for room in a rack (rack_*): which tasks wait for the rack of their
 * data, which rack a group takes, and when a wait ends. How long one pays off
 * is decided in sched/near.c.
 */
#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "log/log.h"
#include "sched/internal.h"

/* Fillers are throttled and long-running tasks must go on at once: neither has
   a length that a wait could be weighed against. The policy service decides
   about the workers of an advised queue. */
static bool
may_wait (const struct kq_sched *sched, const struct stage *stage)
{
  const struct kq_sched_step *step = stage->step;

  return sched->settings.remote_factor > 1 && sched->racks != NULL
         && !step->filler && !step->long_running && !stage->job->queue.advised;
}

/* Whether all tasks of STEP should run in one rack. The slowest member of a
   gang holds up all. */
static bool
is_group (const struct kq_sched_step *step)
{
  return step->count > 1
         && (step->same_rack || (step->gang && step->rack[0] != '\0'));
}

struct rack *
rack_of_task (const struct kq_sched *sched, const struct task *task)
{
  const struct stage *stage = task->stage;
  const struct kq_sched_step *step = stage->step;

  if ((step->rack[0] == '\0' && !step->same_rack) || !may_wait (sched, stage)
      || crash_is_suspect (task))
    return NULL;
  if (is_group (step))
    return stage->group_worker != NULL ? stage->group_worker->rack : NULL;
  return step->rack[0] != '\0'
             ? rack_find (sched, stage->job->service, step->rack)
             : NULL;
}

/* Returns what WORKER misses of the room for DEMAND. */
static struct kq_sched_demand
missing_at (const struct worker *worker, const struct kq_sched_demand *demand)
{
  struct kq_sched_demand missing = worker->used;

  demand_add (&missing, demand, 1);
  demand_add (&missing, &worker->report.capacity, -1);
  return missing;
}

/* Whether WORKER could run a task of STAGE if nothing else ran there but
   long-running tasks. */
static bool
could_run (const struct worker *worker, const struct stage *stage,
           struct kq_sched_now now)
{
  const struct kq_sched_demand *demand = &stage->step->demand;
  struct kq_sched_demand left = worker->report.capacity;

  left.cpu -= worker->long_running_cpu;
  return demand_covers (&left, demand) && worker->reserved_count == 0
         && worker_usable (worker, now)
         && place_meets_constraints (worker, stage);
}

/* Whether the last search in RACK showed that there is no room for TASK, whose
   step names no particular workers. */
static bool
is_known_full (const struct rack *rack, const struct task *task)
{
  return rack->full && task->avoided_worker == NULL && task->late_until == 0
         && task->stage->step->label[0] == '\0'
         && task->stage->step->max_per_worker == 0
         && demand_covers (&task->stage->step->demand, &rack->full_for);
}

/* Notes in RACK what its workers miss of the room for TASK. */
static void
note_full (struct rack *rack, const struct task *task, struct kq_sched_now now)
{
  const struct kq_sched_step *step = task->stage->step;
  const struct worker *worker;

  rack->room.places = 0;
  DL_FOREACH2 (rack->workers, worker, rack_next)
  {
    struct kq_sched_demand missing;

    if (!could_run (worker, task->stage, now))
      continue;
    missing = missing_at (worker, &step->demand);
    if (rack->room.places == 0 || missing.cpu < rack->room.missing.cpu)
      rack->room.missing = missing;
    rack->room.places++;
  }
  rack->full = step->label[0] == '\0' && step->max_per_worker == 0
               && task->avoided_worker == NULL && task->late_until == 0;
  rack->full_for = step->demand;
}

struct worker *
rack_choose_worker (struct kq_sched *sched, struct rack *rack,
                    const struct task *task, struct kq_sched_now now)
{
  struct worker *best = NULL;
  struct worker *worker;
  int64_t best_points = 0;

  if (is_known_full (rack, task))
    return NULL;
  DL_FOREACH2 (rack->workers, worker, rack_next)
  {
    int64_t points;

    /* A task that may crash its worker is a worse neighbour than a far rack.
     */
    if (worker->suspect_count > 0
        || !place_score (sched, worker, task, now, &points)
        || (best != NULL && points >= best_points))
      continue;
    best = worker;
    best_points = points;
  }
  if (best == NULL)
    note_full (rack, task, now);
  return best;
}

static struct kq_sched_demand *
demand_ahead (const struct kq_sched *sched, struct rack *rack)
{
  static const struct kq_sched_demand none;

  if (rack->pass != sched->placement_pass)
    rack->ahead = none;
  rack->pass = sched->placement_pass;
  return &rack->ahead;
}

/* Whether it pays off for TASK to wait until NEED has come free in RACK; sets
 *WAIT to what it expects. */
static bool
wait_pays (const struct kq_sched *sched, const struct rack *rack,
           const struct task *task, const struct kq_near_need *need,
           struct kq_sched_now now, struct kq_near_wait *wait)
{
  const struct stage *stage = task->stage;
  double factor = sched->settings.remote_factor;
  kq_usec gain = kq_near_gain (stage->length_ms, factor);
  struct kq_near_task case_of_task = {
    .length_ms = stage->length_ms,
    .remote_factor = factor,
    .slack_ms = stage->due_ms - now.wall_ms
                - rack_critical_path_ms (sched, stage)
                - gain / KQ_USEC_PER_MSEC,
    .waited = task->wait_began != 0 ? now.mono - task->wait_began : 0,
    .others_behind = sched->counts.ready_tasks - sched->counts.rack_waiting
                     > stage->ready_count,
  };

  return kq_near_expect (&rack->ends, need, now.mono, wait)
         && kq_near_pays (&case_of_task, wait);
}

/* The same for a single TASK, after a search in RACK. */
static bool
single_wait_pays (const struct kq_sched *sched, struct rack *rack,
                  const struct task *task, struct kq_sched_now now,
                  struct kq_near_wait *wait)
{
  const struct kq_sched_demand *demand = &task->stage->step->demand;
  struct kq_near_need need = { .missing = rack->room.missing,
                               .ahead = *demand_ahead (sched, rack),
                               .places = rack->room.places };

  if (rack->room.places == 0)
    return false;
  demand_add (&need.missing, demand, 1);
  demand_add (&need.missing, &rack->full_for, -1);
  return wait_pays (sched, rack, task, &need, now, wait);
}

static void
begin_wait (struct kq_sched *sched, struct task *task,
            const struct kq_near_wait *wait, struct kq_sched_now now)
{
  task->wait_began = now.mono;
  task->wait_expected_ms = (int)(wait->expected / KQ_USEC_PER_MSEC);
  sched->counts.rack_waits++;
  sched->counts.rack_waiting++;
}

static void
log_wait (const struct task *task, const char *why, struct kq_sched_now now)
{
  const struct stage *stage = task->stage;
  struct kq_sched_run run = task_run (task);
  char name[64];
  char expected[16];
  char waited[24];
  char length[24];

  if (!kq_log_enabled (KQ_LOG_INFO))
    return;
  run_format (&run, name);
  snprintf (expected, sizeof expected, "%d", task->wait_expected_ms);
  snprintf (waited, sizeof waited, "%" PRId64,
            (now.mono - task->wait_began) / KQ_USEC_PER_MSEC);
  snprintf (length, sizeof length, "%" PRId64, stage->length_ms);
  kq_log (KQ_LOG_INFO, "sched", "waited for a rack", 0, "task", name, "rack",
          stage->group_worker != NULL ? stage->group_worker->report.rack
                                      : stage->step->rack,
          "expected_ms", expected, "waited_ms", waited, "length_ms", length,
          "why", why, NULL);
}

void
rack_end_wait (struct kq_sched *sched, struct task *task, bool near,
               const char *why, struct kq_sched_now now)
{
  kq_usec gain;

  if (task->wait_began == 0)
    return;
  gain = kq_near_gain (task->stage->length_ms, sched->settings.remote_factor);
  if (near && now.mono - task->wait_began < gain)
    sched->counts.rack_waits_paid++;
  else
    sched->counts.rack_waits_lost++;
  sched->counts.rack_waiting--;
  log_wait (task, why, now);
  task->wait_began = 0;
  task->wait_over = true;
}

bool
rack_keeps_waiting (struct kq_sched *sched, struct rack *rack,
                    struct task *task, struct kq_sched_now now)
{
  struct kq_near_wait wait;

  if (task->wait_began == 0)
    return false;
  if (!single_wait_pays (sched, rack, task, now, &wait))
    {
      rack_end_wait (sched, task, false, "given up", now);
      return false;
    }
  demand_add (demand_ahead (sched, rack), &task->stage->step->demand, 1);
  return true;
}

bool
rack_begins_wait (struct kq_sched *sched, struct rack *rack, struct task *task,
                  const struct worker *worker, struct kq_sched_now now)
{
  struct kq_near_wait wait;

  if (task->wait_began != 0 || task->wait_over || worker->rack == rack
      || !single_wait_pays (sched, rack, task, now, &wait))
    return false;
  begin_wait (sched, task, &wait, now);
  demand_add (demand_ahead (sched, rack), &task->stage->step->demand, 1);
  return true;
}

/* The rack that suits a group best. */
struct group_choice
{
  struct rack *rack; /* NULL: none */
  bool fits;         /* all of the group has room there now */
  int64_t slots;     /* number of its tasks that have */
  kq_usec expected;  /* time until all of it has */
};

/* Returns how many tasks of STEP, up to COUNT, ROOM suffices for. */
static int64_t
count_slots (const struct kq_sched_demand *room,
             const struct kq_sched_step *step, int64_t count)
{
  if (step->max_per_worker != 0 && step->max_per_worker < count)
    count = step->max_per_worker;
  return demand_slots (room, &step->demand, count);
}

/* Replaces *BEST by RACK if the COUNT tasks of the group of HOLDER, its first
   task, fit there sooner. Returns how many fit now. */
static int64_t
weigh_rack (const struct kq_sched *sched, struct rack *rack,
            const struct task *holder, int64_t count, struct kq_sched_now now,
            struct group_choice *best)
{
  const struct stage *stage = holder->stage;
  const struct worker *worker;
  struct kq_near_need need = { .places = 1 };
  struct kq_near_wait wait;
  int64_t slots = 0;
  int64_t slots_ever = 0;

  DL_FOREACH2 (rack->workers, worker, rack_next)
  {
    struct kq_sched_demand room = worker->report.capacity;

    if (!could_run (worker, stage, now))
      continue;
    room.cpu -= worker->long_running_cpu;
    slots_ever += count_slots (&room, stage->step, count);
    room = worker->report.capacity;
    demand_add (&room, &worker->used, -1);
    slots += count_slots (&room, stage->step, count);
  }
  if (slots >= count && (!best->fits || slots > best->slots))
    *best = (struct group_choice){ rack, true, slots, 0 };
  if (slots >= count || slots_ever < count || best->fits)
    return slots;
  demand_add (&need.missing, &stage->step->demand, count - slots);
  need.ahead = *demand_ahead (sched, rack);
  if (wait_pays (sched, rack, holder, &need, now, &wait)
      && (best->rack == NULL || wait.expected < best->expected))
    *best = (struct group_choice){ rack, false, slots, wait.expected };
  return slots;
}

/* Sets *BEST to the rack that suits the group of HOLDER best, among all or, if
   it waits and all were looked at lately, the one that it waits for. Returns
   how many of its COUNT tasks have room now in the racks looked at. */
static int64_t
weigh_racks (const struct kq_sched *sched, const struct task *holder,
             int64_t count, struct kq_sched_now now, struct group_choice *best)
{
  struct stage *stage = holder->stage;
  const char *data_rack = stage->step->rack;
  struct rack *rack;
  int64_t slots = 0;

  if (now.mono < stage->group_look_at && stage->group_worker != NULL
      && stage->group_worker->rack != NULL)
    return weigh_rack (sched, stage->group_worker->rack, holder, count, now,
                       best);
  stage->group_look_at = now.mono + KQ_NEAR_LOOK_US;
  for (rack = sched->racks; rack != NULL; rack = rack->hh.next)
    {
      struct group_choice ignored = { .rack = NULL };
      bool suits
          = data_rack[0] == '\0' || strcmp (data_rack, rack->key.name) == 0;

      if (rack->key.service == stage->job->service)
        slots += weigh_rack (sched, rack, holder, count, now,
                             suits ? best : &ignored);
    }
  return slots;
}

/* Returns the first ready task of STAGE, or NULL if a task of it is suspect.
 */
static struct task *
first_of_ready_group (const struct stage *stage)
{
  struct task *first = NULL;

  for (int i = stage->step->count - 1; i >= 0; i--)
    {
      struct task *task = &stage->tasks[i];

      if (crash_is_suspect (task))
        return NULL;
      if (task->state == TASK_READY)
        first = task;
    }
  return first;
}

bool
rack_choose_for_group (struct kq_sched *sched, struct stage *stage,
                       struct kq_sched_now now)
{
  struct group_choice best = { .rack = NULL };
  struct task *holder;
  int64_t count = stage->ready_count;
  int64_t slots;

  /* A group that has begun keeps its rack. */
  if (!is_group (stage->step) || !may_wait (sched, stage)
      || stage->ready_count + stage->done_count < stage->step->count)
    return true;
  holder = first_of_ready_group (stage);
  /* So does one whose tasks wait one by one. */
  if (holder == NULL || (!stage->step->gang && holder->wait_began != 0)
      || (holder->wait_began == 0 && now.mono < stage->group_look_at))
    return true;
  slots = weigh_racks (sched, holder, count, now, &best);
  /* A gang waits only if it could start elsewhere, and only once. */
  if (best.rack != NULL && !best.fits && stage->step->gang
      && holder->wait_began == 0 && (slots < count || holder->wait_over))
    best.rack = NULL;
  stage->group_worker = best.rack != NULL ? best.rack->workers : NULL;
  if (best.rack != NULL && !best.fits && stage->step->gang)
    {
      struct kq_near_wait wait = { .expected = best.expected };

      if (holder->wait_began == 0)
        begin_wait (sched, holder, &wait, now);
      demand_add (demand_ahead (sched, best.rack), &stage->step->demand,
                  count);
      return false;
    }
  if (best.rack == NULL)
    rack_end_wait (sched, holder, false, "given up", now);
  return true;
}

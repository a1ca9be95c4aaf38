#include "t/standin/si-crash.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#include "t/standin/si-store.h"

/* Three heartbeats of 500 ms, and half a heartbeat more since the last. */
#define REGISTRATION_SEC 1.75

/* A lasting task must run again after this time if the last seconds were
   without a disturbance. */
#define MAX_DOWN_SEC 9.0
#define CALM_SEC 7.0

/* Registration of a crashed worker whose address another one has. */
struct stale_entry
{
  char id[24];
  double removed_at;
  struct stale_entry *next;
};

int64_t si_crash_count;
int64_t si_longest_down_ms;
static struct stale_entry *stale_entries;
static double disturbed_at;

void
si_note_disturbance (void)
{
  disturbed_at = si_now ();
}

void
si_crash (struct worker *worker, int64_t down_ms, bool same_id)
{
  if (worker->silence == SILENCE_DOWN)
    return;
  si_crash_count++;
  worker->crash_on_start_ms = 0;
  si_lose_runs (worker);
  worker->life++;
  worker->silence = SILENCE_DOWN;
  worker->silent_until = si_now () + (double)down_ms / 1000;
  worker->replaced = !same_id;
  worker->unregistered = true;
  worker->unregisters_at = si_now () + REGISTRATION_SEC;
}

void
si_silence (struct worker *worker, int64_t ms, enum silence silence,
            bool unregistered)
{
  if (worker->silence != SILENCE_NONE)
    return;
  worker->silence = silence;
  worker->silent_until = si_now () + (double)ms / 1000;
  worker->unregistered = unregistered;
  worker->unregisters_at = unregistered ? si_now () + REGISTRATION_SEC : 0;
}

void
si_silence_after_start (struct worker *worker, enum silence silence,
                        int64_t delay_ms, int64_t ms)
{
  worker->next_silence = silence;
  worker->next_silence_after_ms = delay_ms;
  worker->next_silence_ms = ms;
}

void
si_make_lossy (struct worker *worker, int64_t permille, int64_t ms)
{
  worker->lossy_permille = permille;
  worker->lossy_until = si_now () + (double)ms / 1000;
}

void
si_bar_later_owners (struct worker *worker, int64_t ms)
{
  worker->highest_fence = worker->fence;
  worker->barred_until = si_now () + (double)ms / 1000;
}

static void
add_stale_entry (const struct worker *worker)
{
  struct stale_entry *entry = calloc (1, sizeof *entry);

  snprintf (entry->id, sizeof entry->id, "%s", worker->id);
  entry->removed_at = worker->unregisters_at;
  LL_PREPEND (stale_entries, entry);
}

void
si_end_silence (struct worker *worker)
{
  if (worker->silence == SILENCE_NONE || worker->silence == SILENCE_DOWN)
    return;
  worker->silence = SILENCE_NONE;
  worker->next_silence = SILENCE_NONE;
  worker->crash_on_start_ms = 0;
  worker->lossy_until = 0;
  worker->barred_until = 0;
  worker->unregisters_at = 0;
  si_drop_suspended (worker->server);
}

/* Begins the silence that follows a restart of WORKER. */
static void
begin_next_silence (struct worker *worker)
{
  if (worker->next_silence == SILENCE_NONE || worker->crash_on_start_ms != 0
      || (si_now () - worker->started_at) * 1000
             < (double)worker->next_silence_after_ms)
    return;
  si_silence (worker, worker->next_silence_ms, worker->next_silence, false);
  worker->next_silence = SILENCE_NONE;
}

/* Starts a crashed WORKER again, or another one at its address. */
static void
end_crash (struct worker *worker)
{
  if (worker->replaced)
    {
      if (worker->unregisters_at != 0)
        add_stale_entry (worker);
      snprintf (worker->id, sizeof worker->id, "i-%d-%d", worker->number,
                ++worker->replacement);
    }
  si_drop_suspended (worker->server);
  si_start_incarnation (worker);
  begin_next_silence (worker);
}

static void
advance_fault (struct worker *worker, bool store_up)
{
  if (worker->silence == SILENCE_NONE)
    begin_next_silence (worker);
  if (worker->silence == SILENCE_NONE)
    return;
  si_note_disturbance ();
  if (worker->unregisters_at != 0 && si_now () >= worker->unregisters_at
      && store_up)
    {
      si_store_put ("keyed.servers", worker->id, NULL);
      worker->unregisters_at = 0;
    }
  if (si_now () < worker->silent_until)
    return;
  if (worker->silence == SILENCE_DOWN)
    end_crash (worker);
  else
    si_end_silence (worker);
}

static void
remove_stale_entries (void)
{
  struct stale_entry *entry;
  struct stale_entry *next;

  LL_FOREACH_SAFE (stale_entries, entry, next)
  {
    if (si_now () < entry->removed_at)
      continue;
    si_store_put ("keyed.servers", entry->id, NULL);
    LL_DELETE (stale_entries, entry);
    free (entry);
  }
}

void
si_note_cancel (const char *id)
{
  struct task *task;

  for (task = si_tasks; task != NULL; task = task->hh.next)
    if (strncmp (task->name, id, strlen (id)) == 0)
      task->cancelled = true;
}

static bool
is_down (const struct task *task)
{
  return task->lasting && !task->cancelled && task->running_count == 0;
}

int
si_lasting_running (void)
{
  const struct task *task;
  int count = 0;

  for (task = si_tasks; task != NULL; task = task->hh.next)
    count += task->lasting && !task->cancelled && task->running_count > 0;
  return count;
}

/* Callers may rely on a lasting task while nothing disturbs the cell. */
static void
check_lasting_task (const struct task *task)
{
  double down;

  if (!is_down (task))
    return;
  down = si_now () - task->down_since;
  if ((int64_t)(down * 1000) > si_longest_down_ms)
    si_longest_down_ms = (int64_t)(down * 1000);
  if (down > MAX_DOWN_SEC && si_now () - disturbed_at > CALM_SEC
      && si_violation[0] == '\0')
    snprintf (si_violation, sizeof si_violation,
              "lasting task %s does not run for %.1f s", task->name, down);
}

void
si_advance_faults (struct worker *workers, int count, bool store_up)
{
  const struct task *task;

  for (int i = 0; i < count; i++)
    advance_fault (&workers[i], store_up);
  if (store_up)
    remove_stale_entries ();
  for (task = si_tasks; task != NULL; task = task->hh.next)
    check_lasting_task (task);
}

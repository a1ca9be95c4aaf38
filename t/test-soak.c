/* Randomised simulation of the decision cores of several hosts under a seeded
   sequence of faults: crashes, pauses, network cuts, outages of the log and
   failing workers.  It guards against violations of the invariants that only
   combinations of faults cause.  Without arguments it runs a few seeds
   briefly; "make soak" runs one seed with "soak SEED STEPS".  */

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "base/err.h"
#include "t/kqtest.h"
#include "t/lib-fake.h"

/* Faults stop after this fraction of the steps. */
#define FAULT_STEPS_FRACTION 0.8

/* All jobs must finish within this time after the faults have stopped. */
#define RECOVERY_MAX_SEC 900.0

/* Shortest time between two outages of the log. */
#define LOG_UP_MIN_SEC 15.0

#define MAX_REJECTED 100000

enum fault
{
  FAULT_KILL,
  FAULT_PAUSE,
  FAULT_CUT,
  FAULT_LINKS,
  FAULT_SPLIT_ZONE,
  FAULT_LOG_DOWN,
  FAULT_LOG_REPLIES,
  FAULT_MESSAGES,
  FAULT_WORKER_DOWN,
  FAULT_TASKS_FAIL,
  FAULT_WORKER_LEAVING,
  FAULT_STOP,
  FAULT_KILL_ZONE,
  FAULT_KILL_ALL,
  FAULT_CANCEL_JOBS,
  FAULT_CONFIGURE,
  FAULT_DRAIN,
  FAULT_COUNT
};

enum undo
{
  UNDO_HOST,
  UNDO_CUTS,
  UNDO_LINKS,
  UNDO_LOG,
  UNDO_MESSAGES,
  UNDO_WORKER,
  UNDO_RESTARTED_WORKER,
  UNDO_DRAIN
};

/* Longest time between two faults in seconds, indexed by seed modulo 4. */
static const double max_fault_interval_sec[] = { 5, 1.5, 10, 3 };

/* Longest time between two submitted jobs in seconds, indexed by seed modulo
   3.  */
static const double max_submit_interval_sec[] = { 2.5, 1.2, 4 };

static uint64_t rejected[MAX_REJECTED];
static size_t rejected_count;
static struct fake_world *current_world;

static struct fake_item *
schedule_undo (struct fake_world *world, double after, enum undo undo_kind,
               int which)
{
  struct fake_item *item
      = fake_schedule (world, world->now + after, FAKE_UNDO, -1);

  item->undo_kind = (int)undo_kind;
  item->worker = which;
  return item;
}

static bool
is_rejection (int err)
{
  return err == KQ_ELOG_BUSY || err == KQ_ELOG_DOWN || err == KQ_ESTOPPING
         || err == KQ_ERANGE;
}

static void
on_reply (struct fake_world *world, int host, const struct kq_effect *effect)
{
  struct kq_name name = { "" };

  (void)host;
  snprintf (name.text, sizeof name.text, "j%lu",
            (unsigned long)effect->u.reply.id);
  fake_trace (world, "command %s: reply %s", name.text,
              kq_err_name (effect->u.reply.err));
  if (is_rejection (effect->u.reply.err) && rejected_count < MAX_REJECTED)
    rejected[rejected_count++] = effect->u.reply.id;
}

static void
submit_load (struct fake_world *world)
{
  if (kq_config_revision (world->config) == 0)
    fake_configure (world, fake_live_host (world));
  fake_submit (world, fake_live_host (world));
  fake_schedule (world,
                 world->now
                     + fake_uniform (world, 0.2,
                                     max_submit_interval_sec[world->seed % 3]),
                 FAKE_LOAD, -1);
}

static void
cut_zones (struct fake_world *world)
{
  int a = fake_pick (world, FAKE_ZONES + 1);
  int b = fake_pick (world, FAKE_ZONES + 1);
  bool both = fake_chance (world, 0.5);

  /* A zone may also be cut from itself, as when a switch in it fails. */
  world->faults.cut[a][b] = true;
  if (both)
    world->faults.cut[b][a] = true;
  if (fake_chance (world, 0.2))
    for (int i = 0; i <= FAKE_ZONES; i++)
      if (i != a)
        world->faults.cut[a][i] = world->faults.cut[i][a] = true;
  fake_trace (world, "network cut from zone %d to zone %d%s", a, b,
              both ? " and back" : "");
  schedule_undo (world, fake_uniform (world, 1, 30), UNDO_CUTS, 0);
}

/* Cuts one host from some workers and peers, each direction independently. */
static void
cut_links (struct fake_world *world)
{
  int host = fake_pick (world, FAKE_HOSTS);
  double probability = fake_uniform (world, 0.2, 0.9);

  for (int i = 0; i < FAKE_WORKERS; i++)
    {
      world->faults.requests_cut[host][i] = fake_chance (world, probability);
      world->faults.replies_cut[host][i] = fake_chance (world, probability);
    }
  for (int i = 0; i < FAKE_HOSTS; i++)
    {
      world->faults.peer_messages_cut[host][i]
          = fake_chance (world, probability);
      world->faults.peer_messages_cut[i][host]
          = fake_chance (world, probability);
    }
  fake_trace (world, "host %s loses links", world->hosts[host].name.text);
  schedule_undo (world, fake_uniform (world, 2, 40), UNDO_LINKS, host);
}

/* Cuts the two hosts of a zone from each other, and each worker from one of
   them: one host can reach a majority of a shard, the other the rest.  */
static void
split_zone (struct fake_world *world, int zone)
{
  double duration_sec = fake_uniform (world, 10, 40);
  int other = zone + FAKE_ZONES;

  for (int i = 0; i < FAKE_WORKERS; i++)
    {
      int cut_host = fake_chance (world, 0.5) ? zone : other;

      world->faults.requests_cut[cut_host][i] = true;
      world->faults.replies_cut[cut_host][i] = true;
    }
  world->faults.peer_messages_cut[zone][other] = true;
  world->faults.peer_messages_cut[other][zone] = true;
  fake_trace (world, "zone %d is split", zone);
  schedule_undo (world, duration_sec, UNDO_LINKS, zone);
  schedule_undo (world, duration_sec, UNDO_LINKS, other);
}

static void
restore_links (struct fake_world *world, int host)
{
  memset (world->faults.requests_cut[host], 0,
          sizeof world->faults.requests_cut[host]);
  memset (world->faults.replies_cut[host], 0,
          sizeof world->faults.replies_cut[host]);
  for (int i = 0; i < FAKE_HOSTS; i++)
    {
      world->faults.peer_messages_cut[host][i] = false;
      world->faults.peer_messages_cut[i][host] = false;
    }
}

static void
cancel_random_jobs (struct fake_world *world)
{
  const struct kq_job_state *job = kq_jobs_live (world->jobs);

  for (int i = 0; i < 40 && job != NULL; i++, job = job->next)
    {
      struct kq_command cancel = { .kind = KQ_CMD_CANCEL };

      cancel.name = job->job.id;
      if (fake_chance (world, 0.3))
        fake_command (world, fake_live_host (world), &cancel);
    }
}

static void
send_drain (struct fake_world *world, int worker, bool on)
{
  struct kq_command drain = { .kind = on ? KQ_CMD_DRAIN : KQ_CMD_UNDRAIN };

  drain.name = world->workers[worker].name;
  fake_command (world, fake_live_host (world), &drain);
}

static void
fault_host (struct fake_world *world, enum fault fault, int host)
{
  struct kq_event stop = { .kind = KQ_EV_STOP };

  if (fault == FAULT_PAUSE && world->hosts[host].paused_until <= world->now)
    {
      world->hosts[host].paused_until = -fake_uniform (world, 0.1, 12);
      fake_trace (world, "host %s pauses", world->hosts[host].name.text);
      return;
    }
  if (fault == FAULT_STOP && world->hosts[host].paused_until <= world->now)
    {
      world->hosts[host].stopping = true;
      fake_deliver (world, host, &stop);
    }
  else
    fake_kill_host (world, host);
  /* Some hosts restart before their last messages have arrived. */
  schedule_undo (world,
                 fake_chance (world, 0.4) ? fake_uniform (world, 0.01, 0.4)
                                          : fake_uniform (world, 0.4, 20),
                 UNDO_HOST, host);
}

static void
fault_worker (struct fake_world *world, enum fault fault, int which)
{
  struct fake_worker *worker = &world->workers[which];
  bool restarts = fake_chance (world, 0.5);

  fake_trace (world, "fault %d at worker %s", (int)fault, worker->name.text);
  if (fault == FAULT_WORKER_DOWN)
    worker->down = true;
  if (fault == FAULT_TASKS_FAIL)
    worker->tasks_fail = true;
  if (fault == FAULT_WORKER_LEAVING)
    worker->leaving = true;
  schedule_undo (world, fake_uniform (world, 1, 40),
                 restarts && fault == FAULT_WORKER_DOWN ? UNDO_RESTARTED_WORKER
                                                        : UNDO_WORKER,
                 which);
}

static void
fault_log (struct fake_world *world, enum fault fault)
{
  fake_trace (world, "log fault %d", (int)fault);
  if (fault == FAULT_LOG_DOWN)
    {
      /* Successive outages together must not last longer than retention. */
      if (world->now < world->faults.log_down_until + LOG_UP_MIN_SEC)
        return;
      world->faults.log_down_until = world->now + fake_uniform (world, 1, 40);
      return;
    }
  world->faults.log_reject = fake_uniform (world, 0, 0.6);
  world->faults.log_lose_reply = fake_uniform (world, 0, 0.6);
  schedule_undo (world, 15, UNDO_LOG, 0);
}

/* Sets the low rates of lost, duplicated and delayed messages that apply
   outside FAULT_MESSAGES.  */
static void
set_low_message_faults (struct fake_world *world)
{
  world->faults.drop = 0.005;
  world->faults.duplicate = 0.01;
  world->faults.late = 0.02;
}

static void
fault_messages (struct fake_world *world)
{
  world->faults.drop = fake_uniform (world, 0, 0.3);
  world->faults.duplicate = fake_uniform (world, 0, 0.3);
  world->faults.late = fake_uniform (world, 0, 0.5);
  schedule_undo (world, 10, UNDO_MESSAGES, 0);
}

static void
kill_zone (struct fake_world *world, int zone)
{
  for (int i = zone; i < FAKE_HOSTS; i += FAKE_ZONES)
    fault_host (world, FAULT_KILL, i);
}

/* Kills the hosts one after the other, going on to the next with a probability
   of 0.97.  When all are killed, only the state in the log and at the workers
   remains.  */
static void
kill_all_hosts (struct fake_world *world)
{
  for (int i = 0; i < FAKE_HOSTS && fake_chance (world, 0.97); i++)
    fault_host (world, FAULT_KILL, i);
}

static void
drain_temporarily (struct fake_world *world, int worker)
{
  send_drain (world, worker, true);
  schedule_undo (world, 20, UNDO_DRAIN, worker);
}

static void
inject_fault (struct fake_world *world)
{
  enum fault kind = (enum fault)fake_pick (world, FAULT_COUNT);

  switch (kind)
    {
    case FAULT_KILL:
    case FAULT_PAUSE:
    case FAULT_STOP:
      fault_host (world, kind, fake_pick (world, FAKE_HOSTS));
      break;
    case FAULT_KILL_ZONE:
      kill_zone (world, fake_pick (world, FAKE_ZONES));
      break;
    case FAULT_KILL_ALL:
      kill_all_hosts (world);
      break;
    case FAULT_CUT:
      cut_zones (world);
      break;
    case FAULT_LINKS:
      cut_links (world);
      break;
    case FAULT_SPLIT_ZONE:
      split_zone (world, fake_pick (world, FAKE_ZONES));
      break;
    case FAULT_LOG_DOWN:
    case FAULT_LOG_REPLIES:
      fault_log (world, kind);
      break;
    case FAULT_MESSAGES:
      fault_messages (world);
      break;
    case FAULT_WORKER_DOWN:
    case FAULT_TASKS_FAIL:
    case FAULT_WORKER_LEAVING:
      fault_worker (world, kind, fake_pick (world, FAKE_WORKERS));
      break;
    case FAULT_CANCEL_JOBS:
      cancel_random_jobs (world);
      break;
    case FAULT_CONFIGURE:
      fake_configure (world, fake_live_host (world));
      fake_configure (world, fake_live_host (world));
      break;
    case FAULT_DRAIN:
      drain_temporarily (world, fake_pick (world, FAKE_WORKERS));
      break;
    case FAULT_COUNT:
      break;
    }
  fake_schedule (
      world,
      world->now
          + fake_uniform (world, 0.2, max_fault_interval_sec[world->seed % 4]),
      FAKE_FAULT, -1);
}

static void
undo_fault (struct fake_world *world, const struct fake_item *item)
{
  struct fake_faults *faults = &world->faults;

  switch ((enum undo)item->undo_kind)
    {
    case UNDO_HOST:
      if (world->hosts[item->worker].core != NULL
          && world->hosts[item->worker].stopping)
        schedule_undo (world, 1, UNDO_HOST, item->worker);
      else
        fake_start_host (world, item->worker);
      break;
    case UNDO_CUTS:
      memset (faults->cut, 0, sizeof faults->cut);
      break;
    case UNDO_LINKS:
      restore_links (world, item->worker);
      break;
    case UNDO_LOG:
      faults->log_reject = faults->log_lose_reply = 0;
      break;
    case UNDO_MESSAGES:
      if (!world->faults_stopped)
        set_low_message_faults (world);
      break;
    case UNDO_RESTARTED_WORKER:
      fake_worker_restart (world, item->worker);
      /* fall through */
    case UNDO_WORKER:
      world->workers[item->worker].down = false;
      world->workers[item->worker].tasks_fail = false;
      world->workers[item->worker].leaving = false;
      break;
    case UNDO_DRAIN:
      send_drain (world, item->worker, false);
      break;
    }
}

static void
stop_faults (struct fake_world *world)
{
  world->faults_stopped = true;
  fake_trace (world, "faults stop");
  memset (&world->faults, 0, sizeof world->faults);
  for (int i = 0; i < FAKE_HOSTS; i++)
    if (!world->hosts[i].stopping)
      fake_start_host (world, i);
  for (int i = 0; i < FAKE_WORKERS; i++)
    {
      world->workers[i].down = false;
      world->workers[i].tasks_fail = false;
      world->workers[i].leaving = false;
      schedule_undo (world, 20, UNDO_DRAIN, i);
    }
}

/* Returns whether all jobs have finished but those that are too large for any
   worker: they stay parked.  */
static bool
all_finished (struct fake_world *world)
{
  const struct kq_job_state *job;

  for (job = kq_jobs_live (world->jobs); job != NULL; job = job->next)
    if (job->job.size.cpu_milli < 99000)
      return false;
  return true;
}

/* Returns whether all jobs have finished and all hosts have had time to read
   the last record and the current configuration.  */
static bool
has_converged (struct fake_world *world)
{
  int64_t revision = kq_config_revision (world->config);

  return all_finished (world) && world->log_count > 0
         && world->now > world->log[world->log_count - 1].appended_at + 1
         && (revision == 0
             || world->now > world->log[revision - 1].appended_at + 4);
}

/* HOST must know all live jobs with the state that results from the log. */
static void
check_jobs (struct fake_world *world, int host)
{
  struct fake_host *self = &world->hosts[host];
  json_t *rows
      = kq_core_rows (self->core, KQ_TABLE_JOBS, fake_clock (world, self));
  const struct kq_job_state *job;
  size_t live = 0;
  size_t known = 0;
  size_t i;
  json_t *row;

  for (job = kq_jobs_live (world->jobs); job != NULL; job = job->next)
    live++;
  json_array_foreach (rows, i, row)
  {
    struct kq_name name = { "" };

    strcpy (name.text, json_string_value (json_object_get (row, "name")));
    job = kq_jobs_find (world->jobs, &name);
    if (job != NULL && job->tasks != NULL
        && json_integer_value (json_object_get (row, "ended")) == job->ended)
      known++;
  }
  json_decref (rows);
  if (known != live)
    fake_violation (world, "host %s knows %zu of %zu live jobs",
                    self->name.text, known, live);
}

static void
check_end (struct fake_world *world)
{
  int64_t revision = kq_config_revision (world->config);

  if (!all_finished (world))
    fake_violation (world, "job %s is not finished %g s after the last fault",
                    kq_jobs_live (world->jobs)->job.id.text, RECOVERY_MAX_SEC);
  for (int i = 0; i < FAKE_HOSTS; i++)
    if (world->hosts[i].core != NULL && world->hosts[i].revision != revision)
      fake_violation (world, "host %s has revision %ld, accepted is %ld",
                      world->hosts[i].name.text,
                      (long)world->hosts[i].revision, (long)revision);
  for (int i = 0; i < FAKE_HOSTS; i++)
    if (world->hosts[i].core != NULL)
      check_jobs (world, i);
  for (size_t i = 0; i < rejected_count; i++)
    {
      struct kq_name name = { "" };

      snprintf (name.text, sizeof name.text, "j%lu",
                (unsigned long)rejected[i]);
      if (kq_jobs_find (world->jobs, &name) != NULL)
        fake_violation (world, "job %s was rejected but is in the log",
                        name.text);
    }
}

static void
run_item (struct fake_world *world, struct fake_item *item)
{
  switch (item->kind)
    {
    case FAKE_FAULT:
      if (!world->faults_stopped)
        inject_fault (world);
      break;
    case FAKE_LOAD:
      if (!world->faults_stopped)
        submit_load (world);
      break;
    case FAKE_UNDO:
      undo_fault (world, item);
      break;
    default:
      break;
    }
}

static void
run (struct fake_world *world, uint64_t seed, int64_t steps)
{
  double faults_stopped_at = 0;

  fake_init (world, seed);
  world->steps = steps;
  world->reply = on_reply;
  rejected_count = 0;
  current_world = world;
  set_low_message_faults (world);
  fake_schedule (world, world->now + 1, FAKE_LOAD, -1);
  fake_schedule (world, world->now + 8, FAKE_FAULT, -1);
  while (world->violations == 0)
    {
      struct fake_item *item;

      if (!world->faults_stopped
          && (double)world->step >= FAULT_STEPS_FRACTION * (double)steps)
        {
          stop_faults (world);
          faults_stopped_at = world->now;
        }
      if (world->faults_stopped && world->step >= steps
          && world->now > faults_stopped_at + 30
          && (has_converged (world)
              || world->now > faults_stopped_at + RECOVERY_MAX_SEC))
        break;
      item = fake_run_next (world);
      run_item (world, item);
      fake_item_free (item);
    }
  if (world->violations == 0)
    check_end (world);
}

/* NOLINTBEGIN(bugprone-signal-handler): see on_abort() */
static void
print_rows (const struct fake_world *world, enum kq_table table)
{
  for (int i = 0; i < FAKE_HOSTS; i++)
    {
      const struct fake_host *host = &world->hosts[i];
      json_t *rows;
      json_t *row;
      size_t k;

      if (host->core == NULL)
        continue;
      rows = kq_core_rows (host->core, table, fake_clock (world, host));
      json_array_foreach (rows, k, row)
      {
        char *text = json_dumps (row, JSON_COMPACT);

        if (table != KQ_TABLE_JOBS || strstr (text, "ing\"") != NULL)
          printf ("%s %s\n", host->name.text, text);
        free (text);
      }
      json_decref (rows);
    }
}

static void
print_trace (const struct fake_world *world)
{
  int64_t first = world->trace_count > FAKE_TRACE_LINES
                      ? world->trace_count - FAKE_TRACE_LINES
                      : 0;

  for (int64_t i = first; i < world->trace_count; i++)
    printf ("%s\n", world->trace[i % FAKE_TRACE_LINES]);
  if (world->faults_stopped)
    {
      print_rows (world, KQ_TABLE_SHARDS);
      print_rows (world, KQ_TABLE_WORKERS);
      print_rows (world, KQ_TABLE_JOBS);
      print_rows (world, KQ_TABLE_TASKS);
    }
  printf ("violation: %s\n", world->violation);
  printf ("soak: seed %lu, steps %ld, violations %d\n",
          (unsigned long)world->seed, (long)world->step, world->violations);
  fflush (stdout);
}

/* Reports a failed assertion of the core as a violation.  The signal comes
   synchronously from abort() in this thread, so functions that aren't
   async-signal-safe may be called.  */
static void
on_abort (int number)
{
  (void)number;
  fake_violation (current_world, "an assertion inside the core failed");
  print_trace (current_world);
  _exit (1);
}
/* NOLINTEND(bugprone-signal-handler) */

static int
soak (uint64_t seed, int64_t steps)
{
  static struct fake_world world;
  int status;

  signal (SIGABRT, on_abort);
  run (&world, seed, steps);
  status = world.violations > 0;
  if (status != 0)
    print_trace (&world);
  else
    {
      printf ("virtual seconds %.0f, submits %ld, starts %ld, resumes %ld, "
              "ends %ld, evictions %ld, host ends %ld, log records %ld\n",
              world.now, (long)world.submits, (long)world.starts,
              (long)world.resumes, (long)world.ends, (long)world.evictions,
              (long)world.kills, (long)world.log_count);
      printf ("soak: seed %lu, steps %ld, violations 0\n", (unsigned long)seed,
              (long)steps);
    }
  fake_free (&world);
  return status;
}

static void
test_short_simulations (void)
{
  static struct fake_world world;

  for (uint64_t seed = 1; seed <= 6; seed++)
    {
      run (&world, seed, 20000);
      if (world.violations > 0)
        print_trace (&world);
      CU_ASSERT_EQUAL (world.violations, 0);
      CU_ASSERT_TRUE (world.ends > 0);
      fake_free (&world);
    }
}

int
main (int argc, char **argv)
{
  static const struct kq_test tests[]
      = { { "short runs", test_short_simulations } };

  if (argc == 4 && strcmp (argv[1], "soak") == 0)
    return soak (strtoull (argv[2], NULL, 10), strtoll (argv[3], NULL, 10));
  return kq_test_main ("soak", tests, 1);
}

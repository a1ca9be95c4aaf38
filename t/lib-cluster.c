/* A simulation of workers in racks; see lib-cluster.h. */

#include "t/lib-cluster.h"

#include <gsl/gsl_histogram.h>
#include <gsl/gsl_randist.h>
#include <gsl/gsl_rng.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/err.h"
#include "t/lib-jobs.h"

#define MAX_WORKERS 128
#define MAX_RACKS 32
#define MAX_TASKS_PER_WORKER 64
#define SLOTS 8
#define SLOT_LOAD 0.7
#define SLOT_MEMORY_MB 200
#define MAX_LAG_SEC 32
#define CHECKPOINT_INTERVAL_SEC 60
#define CHECKPOINT_SEC 2
#define RETRY_SEC 10      /* after a kill by the memory guard */
#define LATENCY_SAMPLES 4 /* per worker and second */
#define MAX_ACTIONS 64

struct task
{
  struct kq_place_task declared;
  struct kq_resources granted;
  const struct cluster_job *job;
  double done_sec;
  double saved_sec;
  int started_sec;
  int arrived_sec;
  int leaving_sec; /* evicted then; 0 = not leaving */
  int retry_sec;   /* earliest start */
  double share;
  int last_share_change; /* -1 = lowered, 1 = raised, 0 = none */
  bool used;
  struct task *next; /* in the queue of waiting tasks */
};

struct worker
{
  struct kq_name name;
  int rack;
  struct task *tasks[MAX_TASKS_PER_WORKER];
  int count;
  struct kq_place_usage reports[MAX_LAG_SEC];
  double service_cpu; /* cores */
};

struct cluster
{
  const struct cluster_setup *setup;
  struct cluster_result *result;
  struct kq_place *place;
  gsl_rng *load_rng;
  gsl_histogram *latency;
  struct worker workers[MAX_WORKERS];
  double budget[MAX_RACKS]; /* fraction of the rack's cores */
  double demand[MAX_RACKS]; /* cores */
  int racks;
  struct cluster_job *jobs;
  int job_count;
  int next_job;
  struct task *waiting[10]; /* FIFO queue for each importance */
  struct task **tails[10];
  int urgent_count;       /* started urgent tasks */
  int urgent_late;        /* of these, not started within 1 s */
  long throttled_seconds; /* sum over the workers */
  long worker_seconds;
};

static void
enqueue (struct cluster *cluster, struct task *task, bool front)
{
  int importance = task->declared.importance;

  task->next = NULL;
  if (front)
    {
      task->next = cluster->waiting[importance];
      cluster->waiting[importance] = task;
      if (task->next == NULL)
        cluster->tails[importance] = &task->next;
      return;
    }
  *cluster->tails[importance] = task;
  cluster->tails[importance] = &task->next;
}

static void
enqueue_arrivals (struct cluster *cluster, int now_sec)
{
  while (cluster->next_job < cluster->job_count
         && cluster->jobs[cluster->next_job].arrives_sec <= now_sec)
    {
      const struct cluster_job *job = &cluster->jobs[cluster->next_job++];

      for (int i = 0; i < job->tasks; i++)
        {
          struct task *task = calloc (1, sizeof (*task));

          task->declared = job->declared;
          task->declared.id.index = i;
          task->job = job;
          task->arrived_sec = now_sec;
          task->share = 1;
          enqueue (cluster, task, false);
        }
    }
}

/* Evicts the task at INDEX from WORKER; it resumes from its checkpoint later.
 */
static void
evict (struct cluster *cluster, struct worker *worker, int index, int now_sec)
{
  struct task *task = worker->tasks[index];

  cluster->result->evictions++;
  cluster->result->lost_work
      += (task->done_sec - task->saved_sec) * task->job->cpu;
  task->done_sec = task->saved_sec;
  task->leaving_sec = 0;
  task->share = 1;
  task->declared.eviction_count++;
  worker->tasks[index] = worker->tasks[--worker->count];
  if (cluster->place != NULL)
    kq_place_end_task (cluster->place, &worker->name, &task->declared.id,
                       now_sec * KQ_USEC_PER_SEC);
  enqueue (cluster, task, true);
}

static struct worker *
get_worker (struct cluster *cluster, const struct kq_name *name)
{
  return &cluster->workers[strtol (name->text + 1, NULL, 10)];
}

static int
find_task (const struct worker *worker, const struct kq_task_id *id)
{
  for (int i = 0; i < worker->count; i++)
    if (worker->tasks[i]->declared.id.index == id->index
        && kq_name_eq (&worker->tasks[i]->declared.id.job, &id->job))
      return i;
  return -1;
}

static void
start_on (struct cluster *cluster, struct worker *worker, struct task *task,
          int now_sec)
{
  task->started_sec = now_sec;
  worker->tasks[worker->count++] = task;
  if (task->declared.importance == CLUSTER_URGENT_IMPORTANCE
      && task->declared.eviction_count == 0)
    {
      cluster->urgent_count++;
      cluster->urgent_late += now_sec - task->arrived_sec > 1;
    }
}

/* Baseline: starts TASK on the first worker where declared sizes fit. */
static bool
first_fit (struct cluster *cluster, struct task *task, int now_sec)
{
  const struct cluster_setup *setup = cluster->setup;

  for (int i = 0; i < setup->workers; i++)
    {
      struct worker *worker = &cluster->workers[i];
      struct kq_resources sum = task->declared.size;

      if (setup->services)
        {
          sum.cpu_milli += (int32_t)(SLOTS * setup->slot_cores * 1000);
          sum.memory_mb += SLOTS * SLOT_MEMORY_MB;
        }
      for (int t = 0; t < worker->count; t++)
        {
          sum.cpu_milli += worker->tasks[t]->declared.size.cpu_milli;
          sum.memory_mb += worker->tasks[t]->declared.size.memory_mb;
        }
      if (sum.cpu_milli > setup->capacity.cpu_milli
          || sum.memory_mb > setup->capacity.memory_mb
          || worker->count == MAX_TASKS_PER_WORKER)
        continue;
      start_on (cluster, worker, task, now_sec);
      return true;
    }
  return false;
}

/* Baseline for urgent tasks: evicts the newest task that is not urgent from
   the first worker that runs any.  */
static void
evict_newest (struct cluster *cluster, int now_sec)
{
  for (int i = 0; i < cluster->setup->workers; i++)
    for (int t = cluster->workers[i].count - 1; t >= 0; t--)
      if (cluster->workers[i].tasks[t]->declared.importance
          < CLUSTER_URGENT_IMPORTANCE)
        {
          evict (cluster, &cluster->workers[i], t, now_sec);
          return;
        }
}

static void
apply_action (struct cluster *cluster, const struct kq_place_action *action,
              int now_sec)
{
  struct worker *worker = get_worker (cluster, &action->worker);
  int index = find_task (worker, &action->task);
  struct task *task = index >= 0 ? worker->tasks[index] : NULL;

  if (task == NULL)
    return;
  switch (action->action)
    {
    case KQ_TASK_THROTTLE:
      {
        int direction = action->share_milli / 1000.0 < task->share ? -1 : 1;

        cluster->result->throttles++;
        cluster->result->rethrottles
            += direction < 0 && task->last_share_change > 0;
        task->last_share_change = direction;
        task->share = action->share_milli / 1000.0;
        break;
      }
    case KQ_TASK_CHECKPOINT:
      task->leaving_sec
          = now_sec
            + (task->declared.importance == CLUSTER_URGENT_IMPORTANCE
                   ? CHECKPOINT_SEC
                   : CHECKPOINT_SEC / 2);
      break;
    case KQ_TASK_STOP:
      evict (cluster, worker, index, now_sec);
      break;
    case KQ_TASK_START:
    case KQ_TASK_ACK:
      break;
    }
}

static bool
has_free_row (void *ctx, const struct kq_name *name)
{
  return get_worker (ctx, name)->count < MAX_TASKS_PER_WORKER;
}

static bool
place_task (struct cluster *cluster, struct task *task, int now_sec)
{
  kq_usec now = now_sec * KQ_USEC_PER_SEC;
  struct kq_place_action actions[MAX_ACTIONS];
  struct kq_name name;
  int count;
  int err;

  if (cluster->setup->policy == CLUSTER_FIRST_FIT)
    {
      if (first_fit (cluster, task, now_sec))
        return true;
      if (task->declared.importance == CLUSTER_URGENT_IMPORTANCE)
        evict_newest (cluster, now_sec);
      return false;
    }
  err = kq_place_choose_worker (cluster->place, &task->declared, now,
                                has_free_row, cluster, &name);
  if (err == KQ_EWORKER_FULL
      && task->declared.importance == CLUSTER_URGENT_IMPORTANCE)
    {
      count = kq_place_preempt (cluster->place, &task->declared, now,
                                has_free_row, cluster, actions, MAX_ACTIONS);
      for (int i = 0; i < count; i++)
        apply_action (cluster, &actions[i], now_sec);
      err = kq_place_choose_worker (cluster->place, &task->declared, now,
                                    has_free_row, cluster, &name);
    }
  if (err != 0)
    return false;
  task->granted = kq_place_granted_size (cluster->place, &task->declared);
  kq_place_add_task (cluster->place, &name, &task->declared, now);
  start_on (cluster, get_worker (cluster, &name), task, now_sec);
  return true;
}

/* Starts the waiting tasks for which there is a worker.  After a task of a job
   could not be placed, the other tasks of that job are not tried in this
   second.  */
static void
place_waiting_tasks (struct cluster *cluster, int now_sec)
{
  for (int importance = CLUSTER_URGENT_IMPORTANCE; importance >= 0;
       importance--)
    {
      struct task *task = cluster->waiting[importance];
      const struct cluster_job *unplaceable_job = NULL;

      cluster->waiting[importance] = NULL;
      cluster->tails[importance] = &cluster->waiting[importance];
      while (task != NULL)
        {
          struct task *next = task->next;

          if (task->retry_sec > now_sec)
            enqueue (cluster, task, false);
          else if (task->job == unplaceable_job
                   || !place_task (cluster, task, now_sec))
            {
              unplaceable_job = task->job;
              enqueue (cluster, task, false);
            }
          task = next;
        }
    }
}

/* Memory guard of WORKER: while too much memory is in use, evicts the task
   that exceeds its declared size most.  */
static void
guard_memory (struct cluster *cluster, struct worker *worker, int now_sec)
{
  for (;;)
    {
      double memory = cluster->setup->services ? SLOTS * SLOT_MEMORY_MB : 0;
      int worst = 0;

      for (int i = 0; i < worker->count; i++)
        {
          const struct task *task = worker->tasks[i];
          const struct task *other = worker->tasks[worst];

          memory += task->job->memory;
          if (task->job->memory - task->declared.size.memory_mb
              > other->job->memory - other->declared.size.memory_mb)
            worst = i;
        }
      if (memory <= cluster->setup->capacity.memory_mb || worker->count == 0)
        return;
      cluster->result->memory_kills++;
      worker->tasks[worst]->retry_sec = now_sec + RETRY_SEC;
      evict (cluster, worker, worst, now_sec);
    }
}

/* Passes the tasks of WORKER to placement, as the worker's table would. */
static void
sync_tasks (struct cluster *cluster, const struct worker *worker, int now_sec)
{
  struct kq_place_running running[MAX_TASKS_PER_WORKER] = { 0 };

  for (int i = 0; i < worker->count; i++)
    {
      const struct task *task = worker->tasks[i];

      running[i].task = task->declared;
      running[i].granted = task->granted;
      running[i].checkpoint = lround (task->saved_sec * 1000);
      running[i].share_milli = (int32_t)lround (task->share * 1000);
    }
  kq_place_sync_tasks (cluster->place, &worker->name, running,
                       (size_t)worker->count, now_sec * KQ_USEC_PER_SEC);
}

/* Simulates one second of WORKER, whose rack throttles it to SPEED. */
static void
run_worker (struct cluster *cluster, struct worker *worker, double speed,
            int now_sec)
{
  const struct cluster_setup *setup = cluster->setup;
  double cores = setup->capacity.cpu_milli / 1000.0;
  struct kq_place_usage *report = &worker->reports[now_sec % MAX_LAG_SEC];
  double batch = 0;
  double slowdown = 1;
  double memory = setup->services ? SLOTS * SLOT_MEMORY_MB : 0;
  double cpu_fraction;
  double demand;
  bool saved = false;

  for (int i = 0; i < worker->count; i++)
    {
      const struct task *task = worker->tasks[i];

      batch += task->job->cpu * task->share;
      memory += task->job->memory;
      slowdown += task->job->slowdown * task->job->cpu * task->share / cores;
    }
  demand = batch + worker->service_cpu;
  cpu_fraction = demand > cores ? (cores - worker->service_cpu) / batch : 1;
  slowdown *= 1 + 2 * fmax (demand / cores - 0.9, 0);
  slowdown /= speed;
  for (int i = 0; i < worker->count; i++)
    {
      struct task *task = worker->tasks[i];

      task->done_sec += task->share * speed * cpu_fraction;
      if ((now_sec - task->started_sec) % CHECKPOINT_INTERVAL_SEC
          == CHECKPOINT_INTERVAL_SEC - 1)
        {
          task->saved_sec = task->done_sec;
          saved = true;
        }
    }
  if (saved && cluster->place != NULL)
    sync_tasks (cluster, worker, now_sec);
  if (setup->services)
    for (int i = 0; i < LATENCY_SAMPLES; i++)
      gsl_histogram_increment (
          cluster->latency,
          slowdown * gsl_ran_lognormal (cluster->load_rng, 0, 0.35));
  report->seq = now_sec + 1;
  report->at = now_sec * KQ_USEC_PER_SEC + KQ_USEC_PER_SEC / 2;
  report->used.cpu_milli
      = (int32_t)(fmin (demand, cores) * speed * 1000
                  * (1 + gsl_ran_gaussian (cluster->load_rng, 0.02)));
  report->used.memory_mb = (int32_t)memory;
  report->throttled = speed < 1;
  report->busy_slots
      = (int32_t)lround (worker->service_cpu / setup->slot_cores);
  report->slow_milli
      = setup->services
            ? (int32_t)(slowdown * 1000
                        * (1 + gsl_ran_gaussian (cluster->load_rng, 0.02)))
            : 0;
  cluster->throttled_seconds += report->throttled;
  cluster->worker_seconds++;
}

/* Removes the tasks of WORKER that have finished, or that leave and have saved
   their checkpoint.  */
static void
end_tasks (struct cluster *cluster, struct worker *worker, int now_sec)
{
  for (int i = worker->count - 1; i >= 0; i--)
    {
      struct task *task = worker->tasks[i];

      if (task->done_sec >= task->job->run_sec)
        {
          cluster->result->finished++;
          cluster->result->work += task->job->cpu * task->job->run_sec;
          worker->tasks[i] = worker->tasks[--worker->count];
          if (cluster->place != NULL)
            kq_place_end_task (cluster->place, &worker->name,
                               &task->declared.id, now_sec * KQ_USEC_PER_SEC);
          free (task);
        }
      else if (task->leaving_sec != 0 && now_sec >= task->leaving_sec)
        {
          task->saved_sec = task->done_sec;
          evict (cluster, worker, i, now_sec);
        }
    }
}

static void
run_workers (struct cluster *cluster, int now_sec)
{
  const struct cluster_setup *setup = cluster->setup;
  double cores = setup->capacity.cpu_milli / 1000.0;
  double load_factor = 1 + 0.2 * sin (now_sec * 2 * M_PI / 900);

  memset (cluster->demand, 0, sizeof (cluster->demand));
  for (int i = 0; i < setup->workers; i++)
    {
      struct worker *worker = &cluster->workers[i];
      double demand = 0;

      guard_memory (cluster, worker, now_sec);
      worker->service_cpu = 0;
      if (setup->services)
        worker->service_cpu
            = setup->slot_cores
              * gsl_ran_binomial (cluster->load_rng, SLOT_LOAD * load_factor,
                                  SLOTS);
      for (int t = 0; t < worker->count; t++)
        demand += worker->tasks[t]->job->cpu * worker->tasks[t]->share;
      cluster->demand[worker->rack]
          += fmin (demand + worker->service_cpu, cores);
    }
  for (int i = 0; i < setup->workers; i++)
    {
      struct worker *worker = &cluster->workers[i];
      int in_rack = setup->per_rack;
      double budget;

      if (worker->rack == cluster->racks - 1)
        in_rack = setup->workers - worker->rack * setup->per_rack;
      budget = cluster->budget[worker->rack] * in_rack * cores;
      run_worker (cluster, worker,
                  fmin (budget / fmax (cluster->demand[worker->rack], 1), 1),
                  now_sec);
      end_tasks (cluster, worker, now_sec);
    }
}

/* Passes the reports that are lag_sec old to placement, and applies the
   actions that it returns.  */
static void
report_and_relieve (struct cluster *cluster, int now_sec)
{
  const struct cluster_setup *setup = cluster->setup;
  struct kq_place_action actions[MAX_WORKERS];
  int at_sec = now_sec - setup->lag_sec;
  kq_usec now = now_sec * KQ_USEC_PER_SEC + KQ_USEC_PER_SEC - 1;
  int count;

  if (cluster->place == NULL || at_sec < 0)
    return;
  for (int i = 0; i < setup->workers; i++)
    kq_place_apply_report (cluster->place, &cluster->workers[i].name,
                           &cluster->workers[i].reports[at_sec % MAX_LAG_SEC],
                           now);
  count = kq_place_relieve_workers (cluster->place, now, actions, MAX_WORKERS);
  for (int i = 0; i < count; i++)
    apply_action (cluster, &actions[i], now_sec);
}

static void
build_cluster (struct cluster *cluster)
{
  const struct cluster_setup *setup = cluster->setup;
  gsl_rng *rng = gsl_rng_alloc (gsl_rng_mt19937);

  gsl_rng_set (rng, setup->seed + 1);
  cluster->racks = (setup->workers + setup->per_rack - 1) / setup->per_rack;
  for (int i = 0; i < cluster->racks; i++)
    cluster->budget[i] = gsl_ran_flat (rng, 0.70, 0.95);
  gsl_rng_free (rng);
  if (setup->policy == CLUSTER_PLACE)
    cluster->place = kq_place_create (&setup->weights);
  for (int i = 0; i < setup->workers; i++)
    {
      struct worker *worker = &cluster->workers[i];
      struct kq_name rack;

      worker->rack = i / setup->per_rack;
      snprintf (worker->name.text, KQ_NAME_SIZE, "w%d", i);
      snprintf (rack.text, KQ_NAME_SIZE, "rack-%d", worker->rack);
      if (cluster->place != NULL)
        kq_place_set_worker (cluster->place, &worker->name, &rack,
                             &setup->capacity, setup->services ? SLOTS : 0);
    }
  for (int i = 0; i <= CLUSTER_URGENT_IMPORTANCE; i++)
    cluster->tails[i] = &cluster->waiting[i];
  cluster->jobs = cluster_make_jobs (setup, &cluster->job_count);
}

static double
quantile (const gsl_histogram *histogram, double fraction)
{
  double wanted = fraction * gsl_histogram_sum (histogram);
  double sum = 0;
  double low;
  double high = 0;

  for (size_t i = 0; i < gsl_histogram_bins (histogram) && sum < wanted; i++)
    {
      sum += gsl_histogram_get (histogram, i);
      gsl_histogram_get_range (histogram, i, &low, &high);
    }
  return high;
}

static void
free_cluster (struct cluster *cluster)
{
  for (int i = 0; i < cluster->setup->workers; i++)
    for (int t = 0; t < cluster->workers[i].count; t++)
      free (cluster->workers[i].tasks[t]);
  for (int i = 0; i <= CLUSTER_URGENT_IMPORTANCE; i++)
    while (cluster->waiting[i] != NULL)
      {
        struct task *next = cluster->waiting[i]->next;

        free (cluster->waiting[i]);
        cluster->waiting[i] = next;
      }
  kq_place_destroy (cluster->place);
  free (cluster->jobs);
  gsl_histogram_free (cluster->latency);
  gsl_rng_free (cluster->load_rng);
  free (cluster);
}

void
cluster_run (const struct cluster_setup *setup, struct cluster_result *result)
{
  struct cluster *cluster = calloc (1, sizeof (*cluster));

  memset (result, 0, sizeof (*result));
  cluster->setup = setup;
  cluster->result = result;
  cluster->load_rng = gsl_rng_alloc (gsl_rng_mt19937);
  gsl_rng_set (cluster->load_rng, setup->seed + 2);
  cluster->latency = gsl_histogram_alloc (5000);
  gsl_histogram_set_ranges_uniform (cluster->latency, 0, 50);
  build_cluster (cluster);
  for (int now = 1; now <= setup->seconds; now++)
    {
      enqueue_arrivals (cluster, now);
      place_waiting_tasks (cluster, now);
      run_workers (cluster, now);
      report_and_relieve (cluster, now);
    }
  if (setup->services)
    {
      result->p50 = quantile (cluster->latency, 0.5);
      result->p99 = quantile (cluster->latency, 0.99);
    }
  result->work /= setup->seconds;
  result->lost_work /= setup->seconds;
  result->throttled
      = (double)cluster->throttled_seconds / (double)cluster->worker_seconds;
  result->urgent_late = cluster->urgent_count ? (double)cluster->urgent_late
                                                    / cluster->urgent_count
                                              : 0;
  free_cluster (cluster);
}

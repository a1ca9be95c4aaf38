/* Learning from usage reports. */

#include <math.h>

#include "base/err.h"
#include "place/internal.h"

/** Most classes on one worker that a report teaches something. */
#define TERMS_MAX 128

/** Error of a report: a part of what it states, and a least amount. */
#define USAGE_ERROR 0.05
#define CPU_ERROR_MILLI 100.0
#define MEMORY_ERROR_MB 128.0
#define SLOW_ERROR 0.03

/** Bounds on used / declared. */
#define SIZE_FACTOR_LEAST 0.05
#define SIZE_FACTOR_MOST 16.0

/** Bounds on the slow-down by a class that has the whole worker. */
#define SLOW_FACTOR_MOST 8.0

/** Above this part of the processors, slowness has other causes. */
#define CALM_CPU 0.85

/** Weight of the newest report in the smoothed number of busy slots. */
#define BUSY_RATE 0.3

/* A rack's limit: steps of its learning. */
#define RACK_DECREASE 0.95
#define RACK_INCREASE 0.01
#define RACK_FIRST_INCREASE 0.02 /* while it was never throttled */
#define RACK_LIMIT_LEAST 0.2
#define RACK_NEAR_LIMIT 0.1
#define RACK_PROBE_EVERY (120 * KQ_USEC_PER_SEC)

enum measure
{
  MEASURE_CPU,
  MEASURE_MEMORY,
  MEASURE_SLOW
};

/** Terms of one observed sum. */
struct sum
{
  struct kq_estimate_term terms[TERMS_MAX];
  size_t count;
};

static void
sum_add (struct sum *sum, struct kq_estimate *factor, double weight)
{
  for (size_t i = 0; i < sum->count; i++)
    if (sum->terms[i].factor == factor)
      {
        sum->terms[i].weight += weight;
        return;
      }
  if (sum->count == TERMS_MAX)
    return;
  sum->terms[sum->count].factor = factor;
  sum->terms[sum->count].weight = weight;
  sum->count++;
}

/** Adds to SUM what each task that ran when USAGE was taken weighs in it. */
static void
sum_tasks (struct sum *sum, const struct place_worker *worker,
           const struct kq_place_usage *usage, enum measure measure)
{
  const struct place_task *task;

  DL_FOREACH (worker->tasks, task)
  {
    struct place_class *class = task->class;
    double share = place_share_at (task, usage->at);
    double cpu = task->task.size.cpu_milli * share / SHARE_FULL;

    if (share <= 0)
      continue;
    switch (measure)
      {
      case MEASURE_CPU:
        sum_add (sum, &class->cpu, cpu);
        break;
      case MEASURE_MEMORY:
        sum_add (sum, &class->memory, task->task.size.memory_mb);
        break;
      case MEASURE_SLOW:
        sum_add (sum, &class->slow,
                 cpu * class->cpu.mean / worker->capacity.cpu_milli);
        break;
      }
  }
}

static double
square (double value)
{
  return value * value;
}

static void
learn_sizes (struct kq_place *place, const struct place_worker *worker,
             const struct kq_place_usage *usage)
{
  struct sum cpu = { .count = 0 };
  struct sum memory = { .count = 0 };
  bool slowed
      = usage->throttled
        || usage->used.cpu_milli >= CALM_CPU * worker->capacity.cpu_milli;

  sum_tasks (&cpu, worker, usage, MEASURE_CPU);
  sum_add (&cpu, &place->slot_cpu,
           usage->busy_slots * place_slot_cpu (worker));
  sum_tasks (&memory, worker, usage, MEASURE_MEMORY);
  sum_add (&memory, &place->slot_memory,
           worker->slots * place_slot_memory (worker));
  /* Slowed down, tasks use less than they would: a lower bound. */
  if (!slowed
      || usage->used.cpu_milli > kq_estimate_sum (cpu.terms, cpu.count))
    kq_estimate_learn (
        cpu.terms, cpu.count, usage->used.cpu_milli,
        square (USAGE_ERROR * usage->used.cpu_milli + CPU_ERROR_MILLI),
        SIZE_FACTOR_LEAST, SIZE_FACTOR_MOST);
  kq_estimate_learn (
      memory.terms, memory.count, usage->used.memory_mb,
      square (USAGE_ERROR * usage->used.memory_mb + MEMORY_ERROR_MB),
      SIZE_FACTOR_LEAST, SIZE_FACTOR_MOST);
}

static void
learn_slow_down (const struct place_worker *worker,
                 const struct kq_place_usage *usage)
{
  struct sum slow = { .count = 0 };

  if (usage->slow_milli <= 0 || usage->throttled
      || usage->used.cpu_milli > CALM_CPU * worker->capacity.cpu_milli)
    return;
  sum_tasks (&slow, worker, usage, MEASURE_SLOW);
  kq_estimate_learn (slow.terms, slow.count, usage->slow_milli / 1000.0 - 1,
                     square (SLOW_ERROR), 0, SLOW_FACTOR_MOST);
}

/** Returns the part of RACK's processors in use by the latest reports, a
 *  worker without any by what is expected of it.  */
static double
rack_reported (const struct kq_place *place, const struct place_rack *rack)
{
  const struct place_worker *worker;
  double used = 0;
  double capacity = 0;

  for (worker = place->workers; worker != NULL; worker = worker->hh.next)
    if (worker->rack == rack)
      {
        used += worker->reported ? worker->usage.used.cpu_milli
                                 : worker->load.cpu;
        capacity += worker->capacity.cpu_milli;
      }
  return capacity > 0 ? used / capacity : 0;
}

/** Lowers a rack's limit on throttling and raises it while it is needed and
 *  none is seen.  A report from before the last change says nothing new.  */
static void
learn_rack (struct kq_place *place, struct place_rack *rack,
            const struct kq_place_usage *usage, kq_usec now)
{
  double used = rack_reported (place, rack);
  double step = rack->lowered_at == 0 ? RACK_FIRST_INCREASE : RACK_INCREASE;
  kq_usec pause = RAISE_EVERY;

  if (usage->throttled
      && (rack->lowered_at == 0 || usage->at > rack->lowered_at + SETTLE_TIME))
    {
      rack->ceiling = used;
      rack->limit
          = fmax (fmin (used, rack->limit) * RACK_DECREASE, RACK_LIMIT_LEAST);
      rack->lowered_at = now;
      rack->raised_at = now;
      return;
    }
  if (rack->limit + step > rack->ceiling * RACK_DECREASE)
    pause = RACK_PROBE_EVERY;
  if (usage->throttled || usage->at < rack->raised_at + pause
      || used < rack->limit - RACK_NEAR_LIMIT)
    return;
  rack->limit = fmin (rack->limit + step, 1);
  rack->raised_at = now;
}

static void
inform_teams (const struct place_worker *worker)
{
  const struct place_task *task;

  DL_FOREACH (worker->tasks, task) { place_class_inform_team (task->class); }
}

int
kq_place_report (struct kq_place *place, const struct kq_name *name,
                 const struct kq_place_usage *usage, kq_usec now)
{
  struct place_worker *worker = place_worker_find (place, name);

  if (worker == NULL)
    return KQ_ENOENT;
  if (worker->reported && usage->seq <= worker->usage.seq)
    return KQ_EEXIST;
  place->slow_seen = place->slow_seen || usage->slow_milli > 0;
  place->slow_silent
      = !place->slow_seen && (place->slow_silent || worker->slots > 0);
  worker->usage = *usage;
  worker->reported = true;
  place->reported = true;
  worker->fresh = true;
  worker->busy += BUSY_RATE * (usage->busy_slots - worker->busy);
  learn_sizes (place, worker, usage);
  learn_slow_down (worker, usage);
  learn_rack (place, worker->rack, usage, now);
  inform_teams (worker);
  place->stale = true;
  return 0;
}

int
kq_place_rack_limit (const struct kq_place *place, const struct kq_name *name)
{
  const struct place_rack *rack;

  HASH_FIND_STR (place->racks, name->text, rack);
  return rack ? (int)lround (rack->limit * 1000) : KQ_ENOENT;
}

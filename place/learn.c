/* Learning from usage reports. */

#include <math.h>

#include "base/err.h"
#include "place/internal.h"

/** Largest number of classes on one worker that are updated from a report. */
#define SUM_MAX_TERMS 128

/** Error of a report: for processors and memory a fraction of the reported
 *  value plus a constant, for the slowdown a constant.  */
#define USAGE_ERROR_FRACTION 0.05
#define CPU_ERROR_MILLI 100.0
#define MEMORY_ERROR_MB 128.0
#define SLOWDOWN_ERROR 0.03

/** Bounds on the used / declared ratio. */
#define SIZE_FACTOR_MIN 0.05
#define SIZE_FACTOR_MAX 16.0

/** Upper bound of the slowdown by a class that uses the whole worker. */
#define SLOWDOWN_FACTOR_MAX 8.0

/** Above this fraction of the processors in use, a slowdown also has causes
 *  other than the interference of classes.  */
#define UNCONTENDED_CPU_FRACTION 0.85

/** Weight of the newest report in the smoothed number of busy slots. */
#define BUSY_SLOTS_RATE 0.3

/** Factor by which the limit of a rack is lowered when throttling is
 *  reported.  */
#define RACK_DECREASE 0.95

/** Steps by which the limit of a rack is raised: after it was throttled once,
 *  and while it was never throttled.  */
#define RACK_INCREASE 0.01
#define RACK_FIRST_INCREASE 0.02

/** Lowest limit of a rack. */
#define RACK_LIMIT_MIN 0.2

/** The limit of a rack is raised only while the fraction in use is at most
 *  this far below it.  */
#define RACK_RAISE_MARGIN 0.1

/** Shortest time between two increases of the limit of a rack that bring it
 *  near the fraction in use at which the rack was last throttled.  */
#define RACK_PROBE_INTERVAL_US (120 * KQ_USEC_PER_SEC)

enum measure
{
  MEASURE_CPU,
  MEASURE_MEMORY,
  MEASURE_SLOWDOWN
};

/** Terms of one observed sum. */
struct sum
{
  struct kq_estimate_term terms[SUM_MAX_TERMS];
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
  if (sum->count == SUM_MAX_TERMS)
    return;
  sum->terms[sum->count].factor = factor;
  sum->terms[sum->count].weight = weight;
  sum->count++;
}

/** Adds to SUM the weight of each task that ran when USAGE was taken. */
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
      case MEASURE_SLOWDOWN:
        sum_add (sum, &class->slowdown,
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
  bool slowed = usage->throttled
                || usage->used.cpu_milli >= UNCONTENDED_CPU_FRACTION
                                                * worker->capacity.cpu_milli;

  sum_tasks (&cpu, worker, usage, MEASURE_CPU);
  sum_add (&cpu, &place->slot_cpu,
           usage->busy_slots * place_slot_cpu (worker));
  sum_tasks (&memory, worker, usage, MEASURE_MEMORY);
  sum_add (&memory, &place->slot_memory,
           worker->slots * place_slot_memory (worker));
  /* Throttled or contended tasks use less than they would otherwise, so the
     reported usage is only a lower bound.  */
  if (!slowed
      || usage->used.cpu_milli > kq_estimate_sum (cpu.terms, cpu.count))
    kq_estimate_learn (cpu.terms, cpu.count, usage->used.cpu_milli,
                       square (USAGE_ERROR_FRACTION * usage->used.cpu_milli
                               + CPU_ERROR_MILLI),
                       SIZE_FACTOR_MIN, SIZE_FACTOR_MAX);
  kq_estimate_learn (
      memory.terms, memory.count, usage->used.memory_mb,
      square (USAGE_ERROR_FRACTION * usage->used.memory_mb + MEMORY_ERROR_MB),
      SIZE_FACTOR_MIN, SIZE_FACTOR_MAX);
}

static void
learn_slowdown (const struct place_worker *worker,
                const struct kq_place_usage *usage)
{
  struct sum slowdown = { .count = 0 };

  if (usage->slow_milli <= 0 || usage->throttled
      || usage->used.cpu_milli
             > UNCONTENDED_CPU_FRACTION * worker->capacity.cpu_milli)
    return;
  sum_tasks (&slowdown, worker, usage, MEASURE_SLOWDOWN);
  kq_estimate_learn (slowdown.terms, slowdown.count,
                     usage->slow_milli / 1000.0 - 1, square (SLOWDOWN_ERROR),
                     0, SLOWDOWN_FACTOR_MAX);
}

/** Returns the fraction of RACK's processors in use by the latest reports; for
 *  a worker without a report, by its expected load.  */
static double
reported_rack_fraction (const struct kq_place *place,
                        const struct place_rack *rack)
{
  const struct place_worker *worker;
  double used = 0;
  double capacity = 0;

  for (worker = place->workers; worker != NULL; worker = worker->hh.next)
    if (worker->rack == rack)
      {
        used += worker->has_report ? worker->usage.used.cpu_milli
                                   : worker->load.cpu;
        capacity += worker->capacity.cpu_milli;
      }
  return capacity > 0 ? used / capacity : 0;
}

/** Lowers RACK's limit when throttling is reported, and raises it while it is
 *  nearly reached and no throttling is reported.  A report taken before the
 *  last change of the limit does not reflect that change and is ignored.  */
static void
learn_rack (struct kq_place *place, struct place_rack *rack,
            const struct kq_place_usage *usage, kq_usec now)
{
  double used = reported_rack_fraction (place, rack);
  double step = rack->lowered_at == 0 ? RACK_FIRST_INCREASE : RACK_INCREASE;
  kq_usec raise_interval = LIMIT_RAISE_INTERVAL_US;

  if (usage->throttled
      && (rack->lowered_at == 0
          || usage->at > rack->lowered_at + ACTION_EFFECT_DELAY_US))
    {
      rack->ceiling = used;
      rack->limit
          = fmax (fmin (used, rack->limit) * RACK_DECREASE, RACK_LIMIT_MIN);
      rack->lowered_at = now;
      rack->raised_at = now;
      return;
    }
  if (rack->limit + step > rack->ceiling * RACK_DECREASE)
    raise_interval = RACK_PROBE_INTERVAL_US;
  if (usage->throttled || usage->at < rack->raised_at + raise_interval
      || used < rack->limit - RACK_RAISE_MARGIN)
    return;
  rack->limit = fmin (rack->limit + step, 1);
  rack->raised_at = now;
}

static void
update_teams (const struct place_worker *worker)
{
  const struct place_task *task;

  DL_FOREACH (worker->tasks, task) { place_class_update_team (task->class); }
}

int
kq_place_apply_report (struct kq_place *place, const struct kq_name *name,
                       const struct kq_place_usage *usage, kq_usec now)
{
  struct place_worker *worker = place_worker_find (place, name);

  if (worker == NULL)
    return KQ_ENOENT;
  if (worker->has_report && usage->seq <= worker->usage.seq)
    return KQ_EEXIST;
  place->slowdown_reported = place->slowdown_reported || usage->slow_milli > 0;
  place->slowdown_missing = !place->slowdown_reported
                            && (place->slowdown_missing || worker->slots > 0);
  worker->usage = *usage;
  worker->has_report = true;
  place->has_report = true;
  worker->has_unused_report = true;
  worker->mean_busy_slots
      += BUSY_SLOTS_RATE * (usage->busy_slots - worker->mean_busy_slots);
  learn_sizes (place, worker, usage);
  learn_slowdown (worker, usage);
  learn_rack (place, worker->rack, usage, now);
  update_teams (worker);
  place->loads_outdated = true;
  return 0;
}

int
kq_place_rack_limit (const struct kq_place *place, const struct kq_name *name)
{
  const struct place_rack *rack;

  HASH_FIND_STR (place->racks, name->text, rack);
  return rack ? (int)lround (rack->limit * 1000) : KQ_ENOENT;
}

/* Expected load of workers and racks. */

#include <math.h>

#include "place/internal.h"

int32_t
place_share_at (const struct place_task *task, kq_usec at)
{
  if (task->started_at > at)
    return 0;
  if (task->ended_at != 0 && task->ended_at <= at)
    return 0;
  return task->share_changed_at > at ? task->previous_share : task->share;
}

/** Returns MILLI as a fraction of WORKER's processors. */
static double
fraction_of_worker (const struct place_worker *worker, double milli)
{
  return milli / fmax (worker->capacity.cpu_milli, 1);
}

void
place_load_add (const struct kq_place *place,
                const struct place_worker *worker,
                const struct place_class *class,
                const struct kq_resources *size, int32_t share,
                struct place_load *load)
{
  struct kq_resources expected = place_expected_size (place, class, size);
  double slowdown
      = fmax (kq_estimate_upper (&class->slowdown, place->cpu_margin), 0);
  double fraction = (double)share / SHARE_FULL;
  double cpu = place_expected_cpu_mean (class, size->cpu_milli) * fraction;

  load->cpu += cpu;
  load->cpu_variance
      += class->cpu.variance * pow (size->cpu_milli * fraction, 2);
  load->memory += expected.memory_mb;
  load->slowdown += slowdown * fraction_of_worker (worker, cpu);
}

bool
place_guard_admits (const struct place_worker *worker,
                    const struct place_load *load,
                    const struct kq_resources *grant)
{
  return load->granted.cpu_milli + grant->cpu_milli
             <= worker->capacity.cpu_milli
         && load->granted.memory_mb + grant->memory_mb
                <= worker->capacity.memory_mb
         && load->granted.accelerators + grant->accelerators
                <= worker->capacity.accelerators;
}

double
place_slowdown_limit (const struct kq_place *place,
                      const struct place_worker *worker)
{
  return worker->slots > 0 && !place->slowdown_missing ? place->slowdown_limit
                                                       : HUGE_VAL;
}

double
place_expected_cpu_upper (const struct kq_place *place,
                          const struct place_load *load)
{
  return load->cpu + place->cpu_margin * sqrt (load->cpu_variance);
}

double
place_slot_cpu (const struct place_worker *worker)
{
  return fmin (SLOT_CPU_MILLI, SLOTS_MAX_FRACTION * worker->capacity.cpu_milli
                                   / fmax (worker->slots, 1));
}

double
place_slot_memory (const struct place_worker *worker)
{
  return fmin (SLOT_MEMORY_MB, SLOTS_MAX_FRACTION * worker->capacity.memory_mb
                                   / fmax (worker->slots, 1));
}

/** Adds the expected use of services to LOAD.  The number of busy slots varies
 *  randomly.  */
static void
add_service_load (const struct kq_place *place,
                  const struct place_worker *worker, struct place_load *load)
{
  double slot_cpu = place_slot_cpu (worker) * place->slot_cpu.mean;

  load->cpu += worker->mean_busy_slots * slot_cpu;
  load->cpu_variance += worker->mean_busy_slots * pow (slot_cpu, 2);
  load->memory += worker->slots * place_slot_memory (worker)
                  * kq_estimate_upper (&place->slot_memory, 1);
}

void
place_load_update (struct kq_place *place, struct place_worker *worker)
{
  struct place_load load = { .cpu = 0 };
  const struct place_task *task;

  add_service_load (place, worker, &load);
  DL_FOREACH (worker->tasks, task)
  {
    if (task->ended_at != 0)
      continue;
    place_load_add (place, worker, task->class, &task->task.size, task->share,
                    &load);
    load.granted.cpu_milli += task->granted.cpu_milli;
    load.granted.memory_mb += task->granted.memory_mb;
    load.granted.accelerators += task->granted.accelerators;
    load.tasks++;
  }
  worker->load = load;
}

void
place_loads_update (struct kq_place *place)
{
  struct place_worker *worker;
  struct place_rack *rack;

  for (rack = place->racks; rack != NULL; rack = rack->hh.next)
    {
      rack->tasks = 0;
      rack->used = 0;
      rack->capacity = 0;
    }
  for (worker = place->workers; worker != NULL; worker = worker->hh.next)
    {
      if (place->loads_outdated)
        place_load_update (place, worker);
      worker->rack->tasks += worker->load.tasks;
      worker->rack->used
          += fmin (worker->load.cpu, worker->capacity.cpu_milli);
      worker->rack->capacity += worker->capacity.cpu_milli;
    }
  place->loads_outdated = false;
}

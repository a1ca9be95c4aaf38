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
  return task->share_at > at ? task->share_before : task->share;
}

/** Part of WORKER's processors that MILLI is. */
static double
part_of (const struct place_worker *worker, double milli)
{
  return milli / fmax (worker->capacity.cpu_milli, 1);
}

void
place_load_add (const struct kq_place *place,
                const struct place_worker *worker,
                const struct place_class *class, const struct kq_size *size,
                int32_t share, struct place_load *load)
{
  struct kq_size expected = place_size (place, class, size);
  double slow = fmax (kq_estimate_upper (&class->slow, place->cpu_margin), 0);
  double cpu = (double)expected.cpu_milli * share / SHARE_FULL;

  load->cpu += cpu;
  load->memory += expected.memory_mb;
  load->accelerators += size->accelerators;
  load->slow += slow * part_of (worker, cpu);
}

/** What services take: busy slots, and as many more as vary by chance. */
static void
add_services (const struct kq_place *place, const struct place_worker *worker,
              struct place_load *load)
{
  double busy = fmin (worker->busy + sqrt (worker->busy), worker->slots);

  load->cpu += busy * SLOT_CPU_MILLI * place->slot_cpu.mean;
  load->memory += worker->slots * SLOT_MEMORY_MB
                  * kq_estimate_upper (&place->slot_memory, 1);
}

void
place_load_update (struct kq_place *place, struct place_worker *worker)
{
  struct place_load load = { 0, 0, 0, 0 };
  const struct place_task *task;

  add_services (place, worker, &load);
  DL_FOREACH (worker->tasks, task)
  {
    if (task->ended_at == 0)
      place_load_add (place, worker, task->class, &task->task.size,
                      task->share, &load);
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
      rack->used = 0;
      rack->capacity = 0;
    }
  for (worker = place->workers; worker != NULL; worker = worker->hh.next)
    {
      if (place->stale)
        place_load_update (place, worker);
      worker->rack->used
          += fmin (worker->load.cpu, worker->capacity.cpu_milli);
      worker->rack->capacity += worker->capacity.cpu_milli;
    }
  place->stale = false;
}

#include "sched/demand.h"

bool
demand_covers (const struct kq_sched_demand *room,
               const struct kq_sched_demand *demand)
{
  return room->cpu >= demand->cpu && room->mem >= demand->mem
         && room->gpu >= demand->gpu;
}

void
demand_add (struct kq_sched_demand *demand, const struct kq_sched_demand *more,
            int64_t count)
{
  demand->cpu += count * more->cpu;
  demand->mem += count * more->mem;
  demand->gpu += count * more->gpu;
}

static int64_t
min_slots (int64_t slots, int64_t room, int64_t demand)
{
  int64_t fit;

  if (demand <= 0)
    return slots;
  fit = room > 0 ? room / demand : 0;
  return fit < slots ? fit : slots;
}

int64_t
demand_slots (const struct kq_sched_demand *room,
              const struct kq_sched_demand *demand, int64_t most)
{
  int64_t slots = most > 0 ? most : 0;

  slots = min_slots (slots, room->cpu, demand->cpu);
  slots = min_slots (slots, room->mem, demand->mem);
  return min_slots (slots, room->gpu, demand->gpu);
}

/* Services, the sets of workers that queues are sent to (service_*), and the
 * room that short tasks have needed there lately.
 *
 * What long-running tasks leave of a worker counts as room for short ones in
 * whole tasks of their usual size: a core here and there is of no use to them.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "sched/internal.h"

/* Part by which the remembered peak of the short tasks' demand decreases at
   each tick of 100 ms: to a third in 20 s. */
#define PEAK_DECAY 0.005

/* Number of starts over which the usual size of short tasks is learned. */
#define SIZE_MEMORY 64

/* Maximum part of a service's CPU that is kept from long-running tasks. */
#define MAX_KEPT_PERCENT 15

int
service_index (struct kq_sched *sched, const char *name)
{
  struct service *services;

  for (int i = 0; i < sched->service_count; i++)
    if (strcmp (sched->services[i].name, name) == 0)
      return i;
  services = realloc (sched->services,
                      ((size_t)sched->service_count + 1) * sizeof *services);
  if (services == NULL)
    return -1;
  sched->services = services;
  memset (&services[sched->service_count], 0, sizeof *services);
  snprintf (services[sched->service_count].name, KQ_SCHED_NAME_SIZE, "%s",
            name);
  return sched->service_count++;
}

static bool
is_short (const struct kq_sched_step *step)
{
  return !step->long_running && !step->filler;
}

void
service_track_demand (struct kq_sched *sched)
{
  const struct stage *stage;

  for (int i = 0; i < sched->service_count; i++)
    sched->services[i].short_cpu = 0;
  for (size_t i = 0; i < sched->worker_count; i++)
    {
      const struct worker *worker = sched->worker_array[i];

      if (worker->service >= 0)
        sched->services[worker->service].short_cpu
            += worker->used.cpu - worker->long_running_cpu;
    }
  DL_FOREACH (sched->queue, stage)
  {
    if (is_short (stage->step) && stage->lateness == 0
        && stage->job->service >= 0)
      sched->services[stage->job->service].short_cpu
          += stage->ready_count * stage->step->demand.cpu;
  }
  for (int i = 0; i < sched->service_count; i++)
    {
      struct service *service = &sched->services[i];

      service->short_peak *= 1 - PEAK_DECAY;
      if (service->short_peak < (double)service->short_cpu)
        service->short_peak = (double)service->short_cpu;
    }
}

void
service_note_start (struct kq_sched *sched, const struct task *task)
{
  struct service *service;
  double cpu = (double)task->stage->step->demand.cpu;

  if (!is_short (task->stage->step) || task->stage->job->service < 0)
    return;
  service = &sched->services[task->stage->job->service];
  service->mean_cpu += (cpu - service->mean_cpu) / SIZE_MEMORY;
  service->mean_square += (cpu * cpu - service->mean_square) / SIZE_MEMORY;
}

/* The size of the task to which a core in use belongs, on average. */
static int64_t
usual_task_cpu (const struct service *service)
{
  return service->mean_cpu >= 1
             ? (int64_t)(service->mean_square / service->mean_cpu)
             : 0;
}

int64_t
service_room (const struct kq_sched *sched, const struct worker *worker,
              int64_t taken)
{
  int64_t usual = worker->service >= 0
                      ? usual_task_cpu (&sched->services[worker->service])
                      : 0;
  int64_t free
      = worker->report.capacity.cpu - worker->long_running_cpu - taken;

  return usual > 0 && free > 0 ? free / usual * usual : free;
}

int64_t
service_kept_cpu (const struct kq_sched *sched, int service, int64_t capacity)
{
  int64_t most = capacity * MAX_KEPT_PERCENT / 100;
  int64_t peak
      = service >= 0 ? (int64_t)sched->services[service].short_peak : 0;

  return peak < most ? peak : most;
}

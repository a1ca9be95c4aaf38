/* Services, the sets of workers that queues are sent to (service_*), and the
 * room that short tasks have needed there lately.
 *
 * What long-running tasks leave of a worker counts as room for short ones in
 * whole tasks of their usual size: a core here and there is of no use to them.
 * Part of it is kept in pieces that suit the largest ones.
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

/* Number of ticks after which the figures of large tasks are taken anew: 20 s,
   the time in which the peak of the demand fades. */
#define LARGE_TICKS 200

/* Part of the kept room that is in pieces for large tasks, at most; one piece
   always is. With all of it in such pieces long-running tasks had too little,
   docs/incidents/2026-12-04-short-largest-jobs.md. */
#define MAX_LARGE_PERCENT 50

/* A task of more than this percentage of the usual size is large. */
#define LARGE_PERCENT 125

/* Maximum part of a service's CPU that is kept from long-running tasks. */
#define MAX_KEPT_PERCENT 15

int
service_find (const struct kq_sched *sched, const char *name)
{
  for (int i = 0; i < sched->service_count; i++)
    if (strcmp (sched->services[i].name, name) == 0)
      return i;
  return -1;
}

int
service_index (struct kq_sched *sched, const char *name)
{
  struct service *services;
  int known = service_find (sched, name);

  if (known >= 0)
    return known;
  services = realloc (sched->services,
                      ((size_t)sched->service_count + 1) * sizeof *services);
  if (services == NULL)
    return -1;
  sched->services = services;
  memset (&services[sched->service_count], 0, sizeof *services);
  snprintf (services[sched->service_count].name, KQ_SCHED_NAME_SIZE, "%s",
            name);
  preempt_configure (sched, &services[sched->service_count]);
  return sched->service_count++;
}

bool
service_is_short (const struct kq_sched_step *step)
{
  return !step->long_running && !step->filler;
}

/* The size of the task to which a core in use belongs, on average. */
static int64_t
usual_task_cpu (const struct service *service)
{
  return service->mean_cpu >= 1
             ? (int64_t)(service->mean_square / service->mean_cpu)
             : 0;
}

bool
service_is_large (const struct kq_sched *sched, const struct stage *stage)
{
  int64_t usual = stage->job->service >= 0
                      ? usual_task_cpu (&sched->services[stage->job->service])
                      : 0;

  return usual > 0 && stage->step->demand.cpu * 100 > usual * LARGE_PERCENT;
}

static int64_t
larger (int64_t a, int64_t b)
{
  return a > b ? a : b;
}

static void
note_large (struct kq_sched *sched, const struct stage *stage)
{
  int64_t cpu = stage->step->demand.cpu;
  struct service *service;

  if (!service_is_large (sched, stage))
    return;
  service = &sched->services[stage->job->service];
  service->large_size[0] = larger (service->large_size[0], cpu);
  service->large_need[0]
      = larger (service->large_need[0], cpu * stage->step->count);
}

static void
age_large (struct service *service)
{
  if (service->large_ticks++ < LARGE_TICKS)
    return;
  service->large_ticks = 0;
  service->large_size[1] = service->large_size[0];
  service->large_need[1] = service->large_need[0];
  service->large_size[0] = 0;
  service->large_need[0] = 0;
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
    if (service_is_short (stage->step) && stage->lateness == 0
        && stage->job->service >= 0)
      {
        sched->services[stage->job->service].short_cpu
            += stage->ready_count * stage->step->demand.cpu;
        note_large (sched, stage);
      }
  }
  for (int i = 0; i < sched->service_count; i++)
    {
      struct service *service = &sched->services[i];

      age_large (service);
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

  if (!service_is_short (task->stage->step) || task->stage->job->service < 0)
    return;
  service = &sched->services[task->stage->job->service];
  service->mean_cpu += (cpu - service->mean_cpu) / SIZE_MEMORY;
  service->mean_square += (cpu * cpu - service->mean_square) / SIZE_MEMORY;
  note_large (sched, task->stage);
}

static int64_t
room_in_pieces (const struct worker *worker, int64_t taken, int64_t size)
{
  int64_t free
      = worker->report.capacity.cpu - worker->long_running_cpu - taken;

  return size > 0 && free > 0 ? free / size * size : free;
}

int64_t
service_room (const struct kq_sched *sched, const struct worker *worker,
              int64_t taken)
{
  int64_t usual = worker->service >= 0
                      ? usual_task_cpu (&sched->services[worker->service])
                      : 0;

  return room_in_pieces (worker, taken, usual);
}

int64_t
service_large_room (const struct kq_sched *sched, const struct worker *worker,
                    int64_t taken)
{
  const struct service *service;
  int64_t room;

  if (worker->service < 0)
    return 0;
  service = &sched->services[worker->service];
  room = room_in_pieces (
      worker, taken, larger (service->large_size[0], service->large_size[1]));
  return larger (room, 0);
}

int64_t
service_kept_cpu (const struct kq_sched *sched, int service, int64_t capacity)
{
  int64_t most = capacity * MAX_KEPT_PERCENT / 100;
  int64_t peak
      = service >= 0 ? (int64_t)sched->services[service].short_peak : 0;

  return peak < most ? peak : most;
}

/* Returns how much of the room for the largest tasks is kept from long-running
   ones. */
static int64_t
kept_large_cpu (const struct kq_sched *sched, int service_number,
                int64_t capacity)
{
  const struct service *service;
  int64_t kept = service_kept_cpu (sched, service_number, capacity);
  int64_t need;
  int64_t size;

  if (service_number < 0)
    return 0;
  service = &sched->services[service_number];
  need = larger (service->large_need[0], service->large_need[1]);
  size = larger (service->large_size[0], service->large_size[1]);
  kept = larger (kept * MAX_LARGE_PERCENT / 100, size);
  return need < kept ? need : kept;
}

int64_t
service_taken_large_room (const struct kq_sched *sched,
                          const struct worker *worker, const struct task *task)
{
  const struct kq_sched_step *step = task->stage->step;

  if (!step->long_running || step->filler)
    return 0;
  return service_large_room (sched, worker, 0)
         - service_large_room (sched, worker, step->demand.cpu);
}

int64_t
service_spare_large_room (const struct kq_sched *sched,
                          const struct task *task, int64_t room,
                          int64_t capacity)
{
  int64_t kept = kept_large_cpu (sched, task->stage->job->service, capacity);

  if (!task->stage->step->long_running || task->has_run || kept == 0)
    return INT64_MAX;
  return room - kept;
}

bool
service_takes_kept_pieces (struct kq_sched *sched, const struct worker *worker,
                           const struct task *task)
{
  int64_t taken = sched->spare_large_room < INT64_MAX
                      ? service_taken_large_room (sched, worker, task)
                      : 0;

  if (taken == 0 || taken <= sched->spare_large_room)
    return false;
  sched->large_room_denied = true;
  return true;
}

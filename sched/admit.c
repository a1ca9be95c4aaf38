/* Admission of jobs by room and time: see sched/admit.h. */
#include "sched/admit.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

/* Due times are told apart from this logarithm of the slack in ms on, four for
   each doubling. */
#define MIN_SLACK_LOG2 6
#define CLASSES_PER_DOUBLING_LOG2 2

/* Task sizes are told apart from this logarithm of the CPU on: half a core. */
#define MIN_CPU_LOG2 9

/* Time over which the rate of arrivals is averaged: shorter than a burst of 6
   s, longer than the gaps between the jobs of a steady stream. */
#define RATE_TIME_MS 5000.0

/* Part of the room that counts as left to a priority however much work of
   others arrives: the rate is an average, and its jobs may end. */
#define MIN_ROOM_SHARE 0.1

/* Part by which room that is gone fades at each update of 100 ms: to a tenth
   in 4.5 s. */
#define ROOM_FADE 0.05

/* A job that ends by this multiple of its objective is of use. Source: the
   platform's rules on credit. */
#define OF_USE_FACTOR 3

/* Each admitted job gains credit and each refused one costs some, so that at
   most 55 percent are refused; the platform's bound is 60 over 5 s. The
   credit that is kept suffices for three in a row. */
#define ADMIT_CREDIT 11
#define REFUSE_COST 9
#define MAX_CREDIT (3 * REFUSE_COST)

/* At most every second of the largest jobs is refused: they are then admitted
   at least half as often as all. */
#define LARGE_CREDIT 1

#define MS_PER_S 1000

/* The largest tenth of a queue's jobs counts as large. */
#define LARGE_PART 10

static int
level_index (int priority)
{
  if (priority < 0)
    return 0;
  return priority < KQ_ADMIT_PRIORITIES ? priority : KQ_ADMIT_PRIORITIES - 1;
}

/* Returns the class of VALUE among COUNT, four for each doubling from 2 to the
   power of MIN_LOG2 on, and sets *PART to how much of the class lies below
   VALUE. */
static int
class_of (int64_t value, int min_log2, int count, double *part)
{
  int log2_value;
  int shift;
  int index;

  *part = 0;
  if (value < INT64_C (1) << min_log2)
    return 0;
  log2_value = 63 - __builtin_clzll ((unsigned long long)value);
  shift = log2_value - CLASSES_PER_DOUBLING_LOG2;
  index = ((log2_value - min_log2) << CLASSES_PER_DOUBLING_LOG2)
          + (int)(value >> shift) - (1 << CLASSES_PER_DOUBLING_LOG2);
  if (index >= count)
    return count - 1;
  *part = (double)(value & ((INT64_C (1) << shift) - 1))
          / (double)(INT64_C (1) << shift);
  return index;
}

static int
bin_index (int64_t slack_ms, double *part)
{
  return class_of (slack_ms, MIN_SLACK_LOG2, KQ_ADMIT_BINS, part);
}

int
kq_admit_size_class (int64_t cpu)
{
  double part;

  return class_of (cpu, MIN_CPU_LOG2, KQ_ADMIT_SIZE_CLASSES, &part);
}

int64_t
kq_admit_smallest_size (int size_class)
{
  int part = size_class & ((1 << CLASSES_PER_DOUBLING_LOG2) - 1);
  int doublings = size_class >> CLASSES_PER_DOUBLING_LOG2;

  return (INT64_C (1) << (MIN_CPU_LOG2 + doublings
                          - CLASSES_PER_DOUBLING_LOG2))
         * ((1 << CLASSES_PER_DOUBLING_LOG2) + part);
}

void
kq_admit_begin_update (struct kq_admit_service *service, int64_t elapsed_ms)
{
  double weight = (double)elapsed_ms / RATE_TIME_MS;

  if (weight > 1)
    weight = 1;
  for (int i = 0; i < KQ_ADMIT_PRIORITIES; i++)
    {
      struct kq_admit_level *level = &service->levels[i];
      double rates[KQ_ADMIT_SIZE_CLASSES];

      for (int j = 0; j < KQ_ADMIT_SIZE_CLASSES; j++)
        {
          double rate
              = elapsed_ms > 0 ? level->arrived[j] / (double)elapsed_ms : 0;

          rates[j] = level->arrival_rate[j]
                     + weight * (rate - level->arrival_rate[j]);
        }
      memset (level, 0, sizeof *level);
      memcpy (level->arrival_rate, rates, sizeof rates);
    }
}

void
kq_admit_add_work (struct kq_admit_service *service, int priority,
                   int64_t slack_ms, bool late, int64_t cpu, double work)
{
  struct kq_admit_level *level = &service->levels[level_index (priority)];
  int size = kq_admit_size_class (cpu);
  double part;

  if (late)
    {
      level->late[size] += work;
      return;
    }
  level->in_time[bin_index (slack_ms, &part)][size] += work;
  level->in_time_sum[size] += work;
}

void
kq_admit_end_update (struct kq_admit_service *service,
                     const double room[KQ_ADMIT_SIZE_CLASSES])
{
  for (int i = 0; i < KQ_ADMIT_SIZE_CLASSES; i++)
    {
      service->room[i] *= 1 - ROOM_FADE;
      if (service->room[i] < room[i] || room[0] <= 0)
        service->room[i] = room[i];
    }
}

double
kq_admit_step_work (const struct kq_sched_step *step, int count,
                    int64_t length_ms)
{
  if (step->filler || step->long_running)
    return 0;
  return (double)count * (double)step->demand.cpu * (double)length_ms;
}

static double
step_ms (const struct kq_admit_service *service,
         const struct kq_sched_step *step, int64_t length_ms)
{
  double waves
      = ceil ((double)step->count * (double)step->demand.cpu
              / service->room[kq_admit_size_class (step->demand.cpu)]);

  /* The run time of fillers depends on what others leave; without them the
     estimate stays a lower bound. */
  if (step->filler)
    return 0;
  return (double)length_ms * (waves > 1 ? waves : 1);
}

/* Returns the time that the longest chain of steps takes. */
static double
path_ms (const struct kq_admit_service *service,
         const struct kq_admit_request *request)
{
  double chain[KQ_SCHED_MAX_STEPS] = { 0 };
  double longest = 0;

  for (int i = 0; i < request->spec->step_count; i++)
    {
      const struct kq_sched_step *step = &request->spec->steps[i];

      for (int j = 0; j < step->after_count; j++)
        if (chain[step->after[j]] > chain[i])
          chain[i] = chain[step->after[j]];
      chain[i] += step_ms (service, step, request->lengths[i]);
      if (chain[i] > longest)
        longest = chain[i];
    }
  return longest;
}

/* Returns the room for tasks of the class SIZE and smaller ones beside what
   arrives of them of the priorities up to PRIORITY. */
static double
room_beside (const struct kq_admit_service *service, int size, int priority)
{
  double room = service->room[size];
  double rate = 0;

  for (int i = 0; i <= priority; i++)
    for (int j = 0; j <= size; j++)
      rate += service->levels[i].arrival_rate[j];
  return room - rate > room * MIN_ROOM_SHARE ? room - rate
                                             : room * MIN_ROOM_SHARE;
}

/* Returns the sum of WORK over the class SIZE and smaller ones. */
static double
sum_up_to (const double work[KQ_ADMIT_SIZE_CLASSES], int size)
{
  double sum = 0;

  for (int i = 0; i <= size; i++)
    sum += work[i];
  return sum;
}

static double
all_work (const struct kq_admit_level *level, int size)
{
  return sum_up_to (level->in_time_sum, size) + sum_up_to (level->late, size);
}

/* Time until all that comes before a job in time has room. */
static double
wait_ms (const struct kq_admit_service *service, int priority, int size,
         int64_t slack_ms)
{
  const struct kq_admit_level *own = &service->levels[priority];
  double ahead = 0;
  double part;
  int bin = bin_index (slack_ms, &part);

  for (int i = 0; i < priority; i++)
    ahead += all_work (&service->levels[i], size);
  for (int i = 0; i < bin; i++)
    ahead += sum_up_to (own->in_time[i], size);
  ahead += sum_up_to (own->in_time[bin], size) * part;
  return ahead / room_beside (service, size, priority - 1);
}

/* The same for a job that is late: all jobs of its priority that can be in
   time, also those that arrive later, come before it. */
static double
late_wait_ms (const struct kq_admit_service *service, int priority, int size)
{
  double ahead = 0;

  for (int i = 0; i <= priority; i++)
    ahead += all_work (&service->levels[i], size);
  return ahead / room_beside (service, size, priority);
}

struct kq_admit_estimate
kq_admit_estimate (const struct kq_admit_service *service,
                   const struct kq_admit_request *request)
{
  struct kq_admit_estimate estimate = { .verdict = KQ_ADMIT_IN_TIME };
  int priority = level_index (request->priority);
  int size = 0;

  for (int i = 0; i < request->spec->step_count; i++)
    {
      const struct kq_sched_step *step = &request->spec->steps[i];

      estimate.work
          += kq_admit_step_work (step, step->count, request->lengths[i]);
      if (!step->filler && kq_admit_size_class (step->demand.cpu) > size)
        size = kq_admit_size_class (step->demand.cpu);
    }
  if (service->room[size] <= 0 || estimate.work <= 0)
    return estimate;
  estimate.path_ms = path_ms (service, request);
  estimate.wait_ms = wait_ms (service, priority, size, request->slack_ms);
  estimate.end_ms = estimate.wait_ms + estimate.path_ms;
  if (estimate.end_ms <= (double)request->slack_ms)
    return estimate;
  estimate.end_ms = late_wait_ms (service, priority, size) + estimate.path_ms;
  estimate.drain = service->room[size] / room_beside (service, size, priority);
  estimate.verdict = estimate.end_ms <= (double)(request->slack_ms
                                                 + (OF_USE_FACTOR - 1)
                                                       * request->objective_ms)
                         ? KQ_ADMIT_LATE
                         : KQ_ADMIT_TOO_LATE;
  return estimate;
}

/* Whether WORK is among the largest tenth of the queue's last jobs. If all are
   alike, none is large. */
static bool
is_large (const struct kq_admit_queue *queue, double work)
{
  int larger = 0;
  double sum = 0;

  for (int i = 0; i < queue->size_count; i++)
    {
      larger += queue->sizes[i] > work;
      sum += queue->sizes[i];
    }
  return larger * LARGE_PART < queue->size_count
         && work * queue->size_count > sum;
}

static void
add_size (struct kq_admit_queue *queue, double work)
{
  queue->sizes[queue->next_size] = work;
  queue->next_size = (queue->next_size + 1) % KQ_ADMIT_SIZES;
  if (queue->size_count < KQ_ADMIT_SIZES)
    queue->size_count++;
}

bool
kq_admit_decide (struct kq_admit_queue *queue,
                 const struct kq_admit_estimate *estimate)
{
  bool large = is_large (queue, estimate->work);
  int max_credit = queue->bulk * REFUSE_COST > MAX_CREDIT
                       ? queue->bulk * REFUSE_COST
                       : MAX_CREDIT;

  add_size (queue, estimate->work);
  if (estimate->verdict == KQ_ADMIT_TOO_LATE && !queue->saves
      && queue->credit >= REFUSE_COST
      && (!large || queue->large_credit >= LARGE_CREDIT))
    {
      queue->credit -= REFUSE_COST;
      if (large)
        queue->large_credit -= LARGE_CREDIT;
      return false;
    }
  queue->credit += ADMIT_CREDIT;
  if (queue->credit > max_credit)
    queue->credit = max_credit;
  if (large)
    queue->large_credit = LARGE_CREDIT;
  return true;
}

int
kq_admit_affordable (const struct kq_admit_queue *queue)
{
  return queue->credit / REFUSE_COST;
}

void
kq_admit_take_credit (struct kq_admit_queue *queue, int count)
{
  queue->credit -= count * REFUSE_COST;
}

void
kq_admit_add_job (struct kq_admit_service *service,
                  const struct kq_admit_request *request,
                  const struct kq_admit_estimate *estimate)
{
  struct kq_admit_level *level
      = &service->levels[level_index (request->priority)];

  for (int i = 0; i < request->spec->step_count; i++)
    {
      const struct kq_sched_step *step = &request->spec->steps[i];
      double work
          = kq_admit_step_work (step, step->count, request->lengths[i]);

      kq_admit_add_work (service, request->priority, request->slack_ms,
                         estimate->verdict != KQ_ADMIT_IN_TIME,
                         step->demand.cpu, work);
      level->arrived[kq_admit_size_class (step->demand.cpu)] += work;
    }
}

int64_t
kq_admit_base_retry_s (const struct kq_admit_request *request,
                       const struct kq_admit_estimate *estimate)
{
  double spare_ms = (double)request->slack_ms - estimate->path_ms;
  double base = ceil ((estimate->wait_ms - (spare_ms > 0 ? spare_ms : 0))
                      * estimate->drain / MS_PER_S);

  if (base < KQ_ADMIT_MIN_RETRY_S)
    return KQ_ADMIT_MIN_RETRY_S;
  return base < KQ_ADMIT_MAX_RETRY_S ? (int64_t)base : KQ_ADMIT_MAX_RETRY_S;
}

/* Callers of urgent queues and those that come again are spread over the first
   part of the time only. */
int
kq_admit_spread_retry_s (int64_t base_s, uint64_t id, int priority,
                         bool before)
{
  double part = (double)XXH64 (&id, sizeof id, 0) / 0x1p64;
  int64_t most = base_s / 2;
  int64_t seconds;

  if (priority == 0)
    part /= 2;
  if (before)
    part /= 2;
  seconds = base_s + (int64_t)(part * (double)(most + 1));
  return (int)(seconds < KQ_ADMIT_MAX_RETRY_S ? seconds
                                              : KQ_ADMIT_MAX_RETRY_S);
}

int
kq_admit_retry_s (const struct kq_admit_request *request,
                  const struct kq_admit_estimate *estimate, bool before)
{
  return kq_admit_spread_retry_s (kq_admit_base_retry_s (request, estimate),
                                  request->id, request->priority, before);
}

bool
kq_admit_note_refused (struct kq_admit_refused *refused, uint64_t id)
{
  struct kq_admit_refused_id *known;

  if (refused->ring == NULL)
    refused->ring = calloc (KQ_ADMIT_MAX_REFUSED, sizeof *refused->ring);
  if (refused->ring == NULL)
    return false;
  HASH_FIND (hh, refused->by_id, &id, sizeof id, known);
  if (known != NULL)
    return true;
  known = &refused->ring[refused->next];
  if (refused->count == KQ_ADMIT_MAX_REFUSED)
    HASH_DEL (refused->by_id, known);
  else
    refused->count++;
  refused->next = (refused->next + 1) % KQ_ADMIT_MAX_REFUSED;
  known->id = id;
  HASH_ADD (hh, refused->by_id, id, sizeof known->id, known);
  return false;
}

void
kq_admit_forget_refused (struct kq_admit_refused *refused)
{
  HASH_CLEAR (hh, refused->by_id);
  free (refused->ring);
  *refused = (struct kq_admit_refused){ .ring = NULL };
}

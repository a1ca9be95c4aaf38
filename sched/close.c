#include "sched/close.h"

#include <math.h>

/* Time over which the rate of arrivals is averaged. */
#define RATE_TIME_MS 1000.0

/* A shorter closure would be over before the fronts know of it. */
#define MIN_CLOSE_MS 100

/* A job may have an objective that is longer than any of the last ones by this
   factor. */
#define OBJECTIVE_MARGIN 2

void
kq_close_note_job (struct kq_close *close, int64_t objective_ms, int64_t cpu)
{
  close->cpus[close->next_job] = cpu;
  close->objectives[close->next_job] = objective_ms;
  close->next_job = (close->next_job + 1) % KQ_CLOSE_JOBS;
  if (close->job_count < KQ_CLOSE_JOBS)
    close->job_count++;
  close->arrived++;
}

static void
update_rate (struct kq_close *close, int64_t elapsed_ms)
{
  double weight = (double)elapsed_ms / RATE_TIME_MS;

  if (elapsed_ms <= 0)
    return;
  if (weight > 1)
    weight = 1;
  close->rate
      += weight * ((double)close->arrived / (double)elapsed_ms - close->rate);
  close->arrived = 0;
}

/* Estimates the end of a job with the longest objective and one task of the
   smallest size. */
static bool
would_refuse_any (const struct kq_close *close,
                  const struct kq_admit_service *service, int priority,
                  struct kq_sched_step *step, struct kq_admit_request *request,
                  struct kq_admit_estimate *estimate)
{
  int64_t longest = 0;

  if (close->job_count < KQ_CLOSE_JOBS)
    return false;
  step->demand.cpu = close->cpus[0];
  for (int i = 0; i < close->job_count; i++)
    {
      if (close->objectives[i] > longest)
        longest = close->objectives[i];
      if (close->cpus[i] < step->demand.cpu)
        step->demand.cpu = close->cpus[i];
    }
  request->priority = priority;
  request->objective_ms = longest * OBJECTIVE_MARGIN;
  request->slack_ms = request->objective_ms;
  *estimate = kq_admit_estimate (service, request);
  return estimate->verdict == KQ_ADMIT_TOO_LATE;
}

bool
kq_close_update (struct kq_close *close, struct kq_admit_queue *queue,
                 const struct kq_admit_service *service, int priority,
                 int64_t now_ms, int64_t elapsed_ms)
{
  struct kq_sched_step step = { .count = 1 };
  const int64_t length_ms = 1;
  const struct kq_sched_spec spec = { .steps = &step, .step_count = 1 };
  struct kq_admit_request request = { .spec = &spec, .lengths = &length_ms };
  struct kq_admit_estimate estimate;
  double affordable_ms;
  int64_t time_ms;

  /* What the fronts refuse does not arrive here, also for the time that their
     last figures remain valid. */
  if (now_ms < close->until_ms + KQ_CLOSE_MS)
    {
      close->arrived = 0;
      return false;
    }
  update_rate (close, elapsed_ms);
  queue->bulk = (int)ceil (close->rate * KQ_CLOSE_MS);
  /* Without this the credit would go to single refusals and never suffice. */
  queue->saves = would_refuse_any (close, service, priority, &step, &request,
                                   &estimate);
  affordable_ms = close->rate > 0
                      ? (double)kq_admit_affordable (queue) / close->rate
                      : KQ_CLOSE_MS;
  if (!queue->saves || affordable_ms < MIN_CLOSE_MS)
    return false;
  time_ms = affordable_ms < KQ_CLOSE_MS ? (int64_t)affordable_ms : KQ_CLOSE_MS;
  kq_admit_take_credit (queue, (int)(close->rate * (double)time_ms));
  close->until_ms = now_ms + time_ms;
  close->retry_s = kq_admit_base_retry_s (&request, &estimate);
  return true;
}

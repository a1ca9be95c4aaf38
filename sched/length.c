#include "sched/length.h"

#include <math.h>

/* Each new step multiplies the weight of all earlier ones by this factor, so
   that the last few hundred steps dominate. */
#define DECAY 0.995

/* Minimum decayed number of steps before the regression is used. */
#define MIN_WEIGHT 20.0

/* Minimum variance of the logarithms of the estimates for a slope to be
   computed. */
#define MIN_VARIANCE 0.001

void
kq_length_learn (struct kq_length *length, int64_t estimate_ms,
                 int64_t actual_ms)
{
  double x;
  double y;

  if (estimate_ms <= 0 || actual_ms <= 0)
    return;
  x = log ((double)estimate_ms);
  y = log ((double)actual_ms);
  length->weight = length->weight * DECAY + 1;
  length->sum_estimates = length->sum_estimates * DECAY + x;
  length->sum_actuals = length->sum_actuals * DECAY + y;
  length->sum_estimate_squared = length->sum_estimate_squared * DECAY + x * x;
  length->sum_estimate_actual = length->sum_estimate_actual * DECAY + x * y;
}

bool
kq_length_is_learned (const struct kq_length *length)
{
  return length->weight >= MIN_WEIGHT;
}

int64_t
kq_length_estimate (const struct kq_length *length, int64_t estimate_ms)
{
  double mean_x;
  double mean_y;
  double variance;
  double slope = 0;

  if (estimate_ms <= 0 || !kq_length_is_learned (length))
    return estimate_ms;
  mean_x = length->sum_estimates / length->weight;
  mean_y = length->sum_actuals / length->weight;
  variance = length->sum_estimate_squared / length->weight - mean_x * mean_x;
  if (variance > MIN_VARIANCE)
    slope = (length->sum_estimate_actual / length->weight - mean_x * mean_y)
            / variance;
  if (slope < 0)
    slope = 0;
  if (slope > 1)
    slope = 1;
  return (int64_t)exp (mean_y + slope * (log ((double)estimate_ms) - mean_x));
}

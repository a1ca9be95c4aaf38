#include "sched/length.h"

#include <math.h>

/* Each step seen makes those before count this much: a few hundred matter. */
#define KEEP 0.995

/* Steps that must have been seen before they are believed. */
#define ENOUGH 20.0

/* Spread of the logarithms of what was said, below which no line is fit. */
#define LEAST_VARIANCE 0.001

void
kq_length_learn (struct kq_length *length, int64_t said_ms, int64_t took_ms)
{
  double x;
  double y;

  if (said_ms <= 0 || took_ms <= 0)
    return;
  x = log ((double)said_ms);
  y = log ((double)took_ms);
  length->weight = length->weight * KEEP + 1;
  length->said = length->said * KEEP + x;
  length->took = length->took * KEEP + y;
  length->said_said = length->said_said * KEEP + x * x;
  length->said_took = length->said_took * KEEP + x * y;
}

int64_t
kq_length_guess (const struct kq_length *length, int64_t said_ms)
{
  double mean_x;
  double mean_y;
  double variance;
  double slope = 0;

  if (said_ms <= 0 || length->weight < ENOUGH)
    return said_ms;
  mean_x = length->said / length->weight;
  mean_y = length->took / length->weight;
  variance = length->said_said / length->weight - mean_x * mean_x;
  if (variance > LEAST_VARIANCE)
    slope = (length->said_took / length->weight - mean_x * mean_y) / variance;
  if (slope < 0)
    slope = 0;
  if (slope > 1)
    slope = 1;
  return (int64_t)exp (mean_y + slope * (log ((double)said_ms) - mean_x));
}

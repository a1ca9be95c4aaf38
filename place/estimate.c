#include "place/estimate.h"

#include <math.h>

/** Variance added at each observation, because loads drift over time. */
#define DRIFT_VARIANCE 0.0002

static double
clamp (double value, double min, double max)
{
  return fmin (fmax (value, min), max);
}

double
kq_estimate_sum (const struct kq_estimate_term *terms, size_t count)
{
  double sum = 0;

  for (size_t i = 0; i < count; i++)
    sum += terms[i].factor->mean * terms[i].weight;
  return sum;
}

void
kq_estimate_learn (struct kq_estimate_term *terms, size_t count,
                   double observed, double noise, double min, double max)
{
  double predicted = kq_estimate_sum (terms, count);
  double total = noise;

  for (size_t i = 0; i < count; i++)
    {
      const struct kq_estimate *factor = terms[i].factor;

      total += factor->variance * terms[i].weight * terms[i].weight;
    }
  if (total <= 0)
    return;
  for (size_t i = 0; i < count; i++)
    {
      struct kq_estimate *factor = terms[i].factor;
      double gain = factor->variance * terms[i].weight / total;

      factor->mean
          = clamp (factor->mean + gain * (observed - predicted), min, max);
      factor->variance *= 1 - gain * terms[i].weight;
      factor->variance += DRIFT_VARIANCE;
      factor->observations++;
    }
}

double
kq_estimate_upper (const struct kq_estimate *estimate, double margin)
{
  return estimate->mean + margin * sqrt (estimate->variance);
}

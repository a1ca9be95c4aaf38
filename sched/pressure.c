/* Interference model: learns and predicts how much fillers slow down serving
 * tasks.
 */
#include "sched/pressure.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "sched/types.h"

/* Initial factor of a pair without observations: it leaves some capacity
   for fillers beside serving tasks, so that the pair is tried, but not all
   of it. */
#define INITIAL_FACTOR 1.0
#define MAX_FACTOR 8.0

/* Step size of the normalized least mean squares filter. The constant in
   the norm keeps small mixes from causing large swings of the factors. */
#define LEARN_STEP 0.15
#define LEARN_NORM_FLOOR 0.02

/* Single samples are noisy: larger errors are clamped to this. */
#define MAX_ERROR 1.0

/* Idle tail, the tail latency of a task without load, as a share of the
   target. It is estimated as a fraction of the 0.2 quantile of the samples:
   with a load that swings by half around 0.45 that quantile is 1.37 times
   the idle tail, and the lowest samples are too noisy to use. It is at most
   MAX_BASE: interference raises all tails, and a base that is too high would
   hide it. */
#define MAX_BASE 0.2
#define BASE_OF_LOW_TAIL 0.77
#define LOW_QUANTILE 0.2
#define QUANTILE_STEP 0.004
#define MIN_BASE 0.02

/* Utilization is clamped to this range; near 0 and 1 a sample carries
   little information. */
#define MIN_UTILIZATION 0.02
#define MAX_UTILIZATION 0.98

struct kq_interference
{
  char images[KQ_INTERFERENCE_IMAGES][KQ_SCHED_NAME_SIZE];
  int image_count;
  double factor[KQ_INTERFERENCE_IMAGES][KQ_INTERFERENCE_IMAGES];
  double base[KQ_INTERFERENCE_IMAGES];
};

struct kq_interference *
kq_interference_create (void)
{
  struct kq_interference *model = calloc (1, sizeof *model);

  if (model == NULL)
    return NULL;
  for (int i = 0; i < KQ_INTERFERENCE_IMAGES; i++)
    {
      model->base[i] = MAX_BASE;
      for (int j = 0; j < KQ_INTERFERENCE_IMAGES; j++)
        model->factor[i][j] = INITIAL_FACTOR;
    }
  return model;
}

struct kq_interference *
kq_interference_copy (const struct kq_interference *model)
{
  struct kq_interference *copy = malloc (sizeof *copy);

  if (copy != NULL)
    *copy = *model;
  return copy;
}

void
kq_interference_destroy (struct kq_interference *model)
{
  free (model);
}

int
kq_interference_image (struct kq_interference *model, const char *image)
{
  for (int i = 0; i < model->image_count; i++)
    if (strcmp (model->images[i], image) == 0)
      return i;
  if (model->image_count == KQ_INTERFERENCE_IMAGES)
    return KQ_INTERFERENCE_IMAGES - 1;
  snprintf (model->images[model->image_count], KQ_SCHED_NAME_SIZE, "%s",
            image);
  return model->image_count++;
}

double
kq_interference_factor (const struct kq_interference *model, int serving,
                        int filler)
{
  return model->factor[serving][filler];
}

double
kq_interference_predict (const struct kq_interference *model, int serving,
                         const struct kq_interference_mix *mix)
{
  double sum = 0;

  for (uint64_t remaining = mix->fillers; remaining != 0;
       remaining &= remaining - 1)
    {
      int filler = __builtin_ctzll (remaining);

      sum += model->factor[serving][filler] * mix->share[filler];
    }
  return sum;
}

static double
clamp (double value, double min, double max)
{
  if (value < min)
    return min;
  return value > max ? max : value;
}

void
kq_interference_learn_base (struct kq_interference *model, int serving,
                            double tail)
{
  double low_tail = model->base[serving] / BASE_OF_LOW_TAIL;

  if (tail <= 0)
    return;
  low_tail *= tail < low_tail ? 1 - QUANTILE_STEP * (1 - LOW_QUANTILE)
                              : 1 + QUANTILE_STEP * LOW_QUANTILE;
  model->base[serving]
      = clamp (low_tail * BASE_OF_LOW_TAIL, MIN_BASE, MAX_BASE);
}

double
kq_interference_utilization (const struct kq_interference *model, int serving,
                             double tail)
{
  if (tail <= 0)
    return MIN_UTILIZATION;
  return clamp (1 - model->base[serving] / tail, MIN_UTILIZATION,
                MAX_UTILIZATION);
}

void
kq_interference_learn_factors (struct kq_interference *model, int serving,
                               const struct kq_interference_mix *mix,
                               double observed)
{
  double norm = LEARN_NORM_FLOOR;
  double error
      = clamp (observed - kq_interference_predict (model, serving, mix),
               -MAX_ERROR, MAX_ERROR);

  for (uint64_t remaining = mix->fillers; remaining != 0;
       remaining &= remaining - 1)
    {
      double share = mix->share[__builtin_ctzll (remaining)];

      norm += share * share;
    }
  for (uint64_t remaining = mix->fillers; remaining != 0;
       remaining &= remaining - 1)
    {
      int filler = __builtin_ctzll (remaining);
      double *factor = &model->factor[serving][filler];

      *factor += LEARN_STEP * error * mix->share[filler] / norm;
      *factor = clamp (*factor, 0, MAX_FACTOR);
    }
}

int
kq_interference_count (const struct kq_interference *model)
{
  return model->image_count;
}

const char *
kq_interference_name (const struct kq_interference *model, int i)
{
  return model->images[i];
}

double
kq_interference_base (const struct kq_interference *model, int i)
{
  return model->base[i];
}

void
kq_interference_set_base (struct kq_interference *model, int i, double base)
{
  if (base > 0)
    model->base[i] = base;
}

void
kq_interference_set_factor (struct kq_interference *model, int serving,
                            int filler, double factor)
{
  model->factor[serving][filler] = clamp (factor, 0, MAX_FACTOR);
}

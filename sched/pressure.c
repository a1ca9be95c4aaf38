#include "sched/pressure.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "sched/types.h"

/* A pair that was never seen: some room beside serving tasks, so that it is
   tried, but not all of it. */
#define FIRST_FACTOR 1.0
#define MOST_FACTOR 8.0

/* Step of the normalised least mean squares; the constant keeps small mixes
   from swinging the factors. */
#define LEARN_STEP 0.15
#define LEARN_FLOOR 0.02

/* A single figure is rough: an error beyond this is cut. */
#define MOST_ERROR 1.0

/* Tail of an idle task in shares of its target.  It is taken as a share of the
   tail below which a fifth of the figures lie: with a load that swings by half
   around 0.45 that tail is 1.37 times the idle one, and figures are rough, so
   that the lowest of them say nothing.  It is at most FIRST_BASE: disturbance
   raises all tails, and a base that is too high would hide it.  */
#define FIRST_BASE 0.2
#define BASE_OF_LOW_TAIL 0.77
#define LOW_QUANTILE 0.2
#define QUANTILE_STEP 0.004
#define LEAST_BASE 0.02

/* Use is kept off its ends, where a figure says little. */
#define LEAST_USE 0.02
#define MOST_USE 0.98

struct kq_pressure
{
  char images[KQ_PRESSURE_IMAGES][KQ_SCHED_NAME];
  int image_count;
  double factor[KQ_PRESSURE_IMAGES][KQ_PRESSURE_IMAGES];
  double base[KQ_PRESSURE_IMAGES];
};

struct kq_pressure *
kq_pressure_create (void)
{
  struct kq_pressure *pressure = calloc (1, sizeof *pressure);

  if (pressure == NULL)
    return NULL;
  for (int i = 0; i < KQ_PRESSURE_IMAGES; i++)
    {
      pressure->base[i] = FIRST_BASE;
      for (int j = 0; j < KQ_PRESSURE_IMAGES; j++)
        pressure->factor[i][j] = FIRST_FACTOR;
    }
  return pressure;
}

void
kq_pressure_destroy (struct kq_pressure *pressure)
{
  free (pressure);
}

int
kq_pressure_image (struct kq_pressure *pressure, const char *image)
{
  for (int i = 0; i < pressure->image_count; i++)
    if (strcmp (pressure->images[i], image) == 0)
      return i;
  if (pressure->image_count == KQ_PRESSURE_IMAGES)
    return KQ_PRESSURE_IMAGES - 1;
  snprintf (pressure->images[pressure->image_count], KQ_SCHED_NAME, "%s",
            image);
  return pressure->image_count++;
}

double
kq_pressure_factor (const struct kq_pressure *pressure, int serving,
                    int filler)
{
  return pressure->factor[serving][filler];
}

double
kq_pressure_expect (const struct kq_pressure *pressure, int serving,
                    const struct kq_pressure_mix *mix)
{
  double sum = 0;

  for (uint64_t left = mix->fillers; left != 0; left &= left - 1)
    {
      int filler = __builtin_ctzll (left);

      sum += pressure->factor[serving][filler] * mix->share[filler];
    }
  return sum;
}

static double
clamp (double value, double least, double most)
{
  if (value < least)
    return least;
  return value > most ? most : value;
}

void
kq_pressure_see_tail (struct kq_pressure *pressure, int serving, double tail)
{
  double low = pressure->base[serving] / BASE_OF_LOW_TAIL;

  if (tail <= 0)
    return;
  low *= tail < low ? 1 - QUANTILE_STEP * (1 - LOW_QUANTILE)
                    : 1 + QUANTILE_STEP * LOW_QUANTILE;
  pressure->base[serving]
      = clamp (low * BASE_OF_LOW_TAIL, LEAST_BASE, FIRST_BASE);
}

double
kq_pressure_use (const struct kq_pressure *pressure, int serving, double tail)
{
  if (tail <= 0)
    return LEAST_USE;
  return clamp (1 - pressure->base[serving] / tail, LEAST_USE, MOST_USE);
}

void
kq_pressure_observe (struct kq_pressure *pressure, int serving,
                     const struct kq_pressure_mix *mix, double seen)
{
  double norm = LEARN_FLOOR;
  double error = clamp (seen - kq_pressure_expect (pressure, serving, mix),
                        -MOST_ERROR, MOST_ERROR);

  for (uint64_t left = mix->fillers; left != 0; left &= left - 1)
    {
      double share = mix->share[__builtin_ctzll (left)];

      norm += share * share;
    }
  for (uint64_t left = mix->fillers; left != 0; left &= left - 1)
    {
      int filler = __builtin_ctzll (left);
      double *factor = &pressure->factor[serving][filler];

      *factor += LEARN_STEP * error * mix->share[filler] / norm;
      *factor = clamp (*factor, 0, MOST_FACTOR);
    }
}

int
kq_pressure_count (const struct kq_pressure *pressure)
{
  return pressure->image_count;
}

const char *
kq_pressure_name (const struct kq_pressure *pressure, int i)
{
  return pressure->images[i];
}

double
kq_pressure_base (const struct kq_pressure *pressure, int i)
{
  return pressure->base[i];
}

void
kq_pressure_set_base (struct kq_pressure *pressure, int i, double base)
{
  if (base > 0)
    pressure->base[i] = base;
}

void
kq_pressure_set_factor (struct kq_pressure *pressure, int serving, int filler,
                        double factor)
{
  pressure->factor[serving][filler] = clamp (factor, 0, MOST_FACTOR);
}

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
#define LEARN_STEP 0.25
#define LEARN_FLOOR 0.02

/* Tail without fillers, in shares of the target, until it is observed. */
#define FIRST_BASE 0.4
#define BASE_STEP 0.02
#define LEAST_BASE 0.02

/* A single figure is rough: an error beyond this is cut. */
#define MOST_ERROR 0.5

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

/* Without fillers the tail itself is the base; a lower tail than the base
   moves it faster, since disturbance only adds. */
static void
observe_base (struct kq_pressure *pressure, int serving, bool alone,
              double tail)
{
  double *base = &pressure->base[serving];

  if (alone || tail < *base)
    *base += BASE_STEP * (tail - *base);
  if (*base < LEAST_BASE)
    *base = LEAST_BASE;
}

void
kq_pressure_observe (struct kq_pressure *pressure, int serving,
                     const struct kq_pressure_mix *mix, double tail)
{
  double norm = LEARN_FLOOR;
  double error;

  if (tail <= 0)
    return;
  observe_base (pressure, serving, mix->fillers == 0, tail);
  error = clamp (1 - pressure->base[serving] / tail, 0, 1)
          - kq_pressure_expect (pressure, serving, mix);
  error = clamp (error, -MOST_ERROR, MOST_ERROR);
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

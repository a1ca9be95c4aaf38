/** @file
 * How much each kind of filling work disturbs each kind of serving work.
 *
 * Learned from the late, rough tails that workers report: a tail grows like
 * base / (1 - u), and u is taken as a sum over the fillers beside it, each
 * with its share of the worker's CPU times a factor of the pair of images.
 */
#ifndef KQ_SCHED_PRESSURE_H
#define KQ_SCHED_PRESSURE_H

#include <stdint.h>

/** Most images that are told apart; further ones share the last number. */
#define KQ_PRESSURE_IMAGES 64

struct kq_pressure;

/** What is beside one serving image on a worker: shares of its CPU by filler
 *  image, with the bits of FILLERS set for those above 0.  */
struct kq_pressure_mix
{
  uint64_t fillers;
  double share[KQ_PRESSURE_IMAGES];
};

struct kq_pressure *kq_pressure_create (void);
void kq_pressure_destroy (struct kq_pressure *pressure);

/** Returns the number of IMAGE, given at its first use. */
int kq_pressure_image (struct kq_pressure *pressure, const char *image);

/** Takes one observation of SERVING: its tail in shares of its target. */
void kq_pressure_observe (struct kq_pressure *pressure, int serving,
                          const struct kq_pressure_mix *mix, double tail);

/** Returns the factor of a pair. */
double kq_pressure_factor (const struct kq_pressure *pressure, int serving,
                           int filler);

/** Returns the u that MIX is expected to put on SERVING. */
double kq_pressure_expect (const struct kq_pressure *pressure, int serving,
                           const struct kq_pressure_mix *mix);

#endif

/** @file
 * How much each kind of filling work disturbs each kind of serving work.
 *
 * A serving task with load r (0 to 1) beside fillers has the tail
 * base / (1 - r * (1 + P)); P is a sum over the fillers, each with its share
 * of the worker's CPU times a factor of the pair of images.  The factors are
 * learned from the late, rough tails that workers report.  Source of the
 * form: docs/design/platform.md, "Sharing".
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

/** Takes a tail, in shares of the target, into the estimate of the idle
 *  tail.  */
void kq_pressure_see_tail (struct kq_pressure *pressure, int serving,
                           double tail);

/** Returns r * (1 + P) for a tail: how near to saturation the task is. */
double kq_pressure_use (const struct kq_pressure *pressure, int serving,
                        double tail);

/** Learns from one observation of P beside SERVING. */
void kq_pressure_observe (struct kq_pressure *pressure, int serving,
                          const struct kq_pressure_mix *mix, double seen);

/** Returns how many images are known. */
int kq_pressure_count (const struct kq_pressure *pressure);

/** Returns the name and the idle tail of image I. */
const char *kq_pressure_name (const struct kq_pressure *pressure, int i);
double kq_pressure_base (const struct kq_pressure *pressure, int i);

/** Sets what another owner has learned. */
void kq_pressure_set_base (struct kq_pressure *pressure, int i, double base);
void kq_pressure_set_factor (struct kq_pressure *pressure, int serving,
                             int filler, double factor);

/** Returns the factor of a pair. */
double kq_pressure_factor (const struct kq_pressure *pressure, int serving,
                           int filler);

/** Returns the P that MIX is expected to put on SERVING. */
double kq_pressure_expect (const struct kq_pressure *pressure, int serving,
                           const struct kq_pressure_mix *mix);

#endif

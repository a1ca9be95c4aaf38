/** @file
 * Model of the interference between co-located tasks (kq_interference_*): how
 * much each filler image slows down each serving image.
 *
 * A serving task with load r (0 to 1) beside fillers has the tail latency base
 * / (1 - r * (1 + P)). The interference P is a sum over the fillers, each with
 * its share of the worker's CPU times a factor of the pair of images. The
 * factors are learned from the delayed and noisy tail latencies that workers
 * report. Source of the formula: docs/design/platform.md, "Sharing".
 */
#ifndef KQ_SCHED_PRESSURE_H
#define KQ_SCHED_PRESSURE_H

#include <stdint.h>

/** Maximum number of images that have their own index; further images share
 *  the last one.  */
#define KQ_INTERFERENCE_IMAGES 64

struct kq_interference;

/** Fillers that run beside one serving image on a worker: the share of the CPU
 *  of each filler image. FILLERS has the bits of the images set whose share is
 *  above 0.  */
struct kq_interference_mix
{
  uint64_t fillers;
  /** 0 to 1; valid for the images in FILLERS only */
  double share[KQ_INTERFERENCE_IMAGES];
};

struct kq_interference *kq_interference_create (void);
struct kq_interference *
kq_interference_copy (const struct kq_interference *model);
void kq_interference_destroy (struct kq_interference *model);

/** Returns the index of IMAGE and assigns one at the first use. */
int kq_interference_image (struct kq_interference *model, const char *image);

/** Updates the estimate of the idle tail from TAIL, a tail latency as a share
 *  of the target.  */
void kq_interference_learn_base (struct kq_interference *model, int serving,
                                 double tail);

/** Returns the utilization r * (1 + P) that a tail latency implies; a task at
 *  1 is saturated.  */
double kq_interference_utilization (const struct kq_interference *model,
                                    int serving, double tail);

/** Updates the factors from one observation of P beside SERVING. */
void kq_interference_learn_factors (struct kq_interference *model, int serving,
                                    const struct kq_interference_mix *mix,
                                    double observed);

/** Returns the number of known images. */
int kq_interference_count (const struct kq_interference *model);

/** Return the name and the idle tail of the image with index I. */
const char *kq_interference_name (const struct kq_interference *model, int i);
double kq_interference_base (const struct kq_interference *model, int i);

/** Set a base or a factor from a stored model. */
void kq_interference_set_base (struct kq_interference *model, int i,
                               double base);
void kq_interference_set_factor (struct kq_interference *model, int serving,
                                 int filler, double factor);

/** Returns the factor by which FILLER affects SERVING. */
double kq_interference_factor (const struct kq_interference *model,
                               int serving, int filler);

/** Returns the predicted P of MIX on SERVING. */
double kq_interference_predict (const struct kq_interference *model,
                                int serving,
                                const struct kq_interference_mix *mix);

#endif

/** @file
 * Loop timing (kq_loop_timing_*).
 *
 * Measures the iterations of an owner's event loop: how long the work takes in
 * each phase, and which interval between polls of a worker follows from it.
 */
#ifndef KQ_NODE_TURNS_H
#define KQ_NODE_TURNS_H

#include "base/clock.h"

/** Phases of an iteration, in order. */
enum kq_loop_phase
{
  KQ_LOOP_EVENTS, /**< replies of store and workers, requests of callers */
  KQ_LOOP_PLACE,
  KQ_LOOP_JOURNAL,
  KQ_LOOP_EFFECTS,
  KQ_LOOP_POLLS,
  KQ_LOOP_PHASE_COUNT
};

struct kq_loop_timing
{
  kq_usec marked_at;
  kq_usec spent[KQ_LOOP_PHASE_COUNT];
  kq_usec smoothed; /* moving average of the time spent on events */
};

/** Starts an iteration. */
void kq_loop_timing_begin (struct kq_loop_timing *timing);

/** Adds the time since the last mark, or the beginning, to PHASE. */
void kq_loop_timing_mark (struct kq_loop_timing *timing,
                          enum kq_loop_phase phase);

/** Ends an iteration and logs it if it was slow.
 *  @return the time to wait between a reply of a worker and its next poll; 0
 *  while the loop has idle time.  */
kq_usec kq_loop_timing_end (struct kq_loop_timing *timing);

/** Registers the histogram of this module; must be called once. */
void kq_loop_timing_register_metrics (void);

#endif

/** @file
 * Turns of the loop of an owner: how long its work takes, by phase, and how
 * long workers are left alone for that.
 */
#ifndef KQ_NODE_TURNS_H
#define KQ_NODE_TURNS_H

#include "base/clock.h"

/** What a turn's time is spent on, in this order. */
enum kq_turn_phase
{
  KQ_TURN_EVENTS, /**< answers of the store, of workers and of callers */
  KQ_TURN_PLACE,
  KQ_TURN_JOURNAL,
  KQ_TURN_EFFECTS,
  KQ_TURN_LOOKS,
  KQ_TURN_PHASES
};

struct kq_turns
{
  kq_usec marked_at;
  kq_usec spent[KQ_TURN_PHASES];
  kq_usec smoothed; /* time of work in a turn */
};

/** A turn begins. */
void kq_turns_begin (struct kq_turns *turns);

/** What was done since the last mark, or the beginning, was PHASE. */
void kq_turns_mark (struct kq_turns *turns, enum kq_turn_phase phase);

/** The turn is over; a slow one is logged.
 *  @return how long workers are left alone between an answer and the next
 *  look: 0 while there is time to wait.  */
kq_usec kq_turns_end (struct kq_turns *turns);

void kq_turns_register_metrics (void);

#endif

#include "node/turns.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "log/log.h"
#include "metrics/histogram.h"

/* Turns up to this leave time to wait; each ms more puts looks off by
   GAP_PER_TURN ms, up to the limit, a seventh of the time for which a filler
   may disturb: one look then takes in several ends.  A single long turn counts
   as LONGEST_TURN. */
#define EASY_TURN (2 * KQ_USEC_PER_MSEC)
#define LONGEST_TURN (100 * KQ_USEC_PER_MSEC)
#define GAP_PER_TURN 60
#define LONGEST_GAP (500 * KQ_USEC_PER_MSEC)
#define TURN_SMOOTHING 16

/* A turn that is logged: half of the time between two beats of the owner
   (term/term.c). */
#define SLOW_TURN (200 * KQ_USEC_PER_MSEC)

static const char *const phase_names[]
    = { "events_us", "place_us", "journal_us", "effects_us", "looks_us" };

static struct kq_histogram turn_times
    = { .name = "kq_turn_seconds",
        .help = "Work of the owner's loop in one turn." };

void
kq_turns_register_metrics (void)
{
  kq_histogram_register (&turn_times);
}

void
kq_turns_begin (struct kq_turns *turns)
{
  turns->marked_at = kq_clock_now ();
  memset (turns->spent, 0, sizeof turns->spent);
}

void
kq_turns_mark (struct kq_turns *turns, enum kq_turn_phase phase)
{
  kq_usec now = kq_clock_now ();

  turns->spent[phase] += now - turns->marked_at;
  turns->marked_at = now;
}

static void
log_slow (const struct kq_turns *turns)
{
  char text[KQ_TURN_PHASES][24];

  for (int i = 0; i < KQ_TURN_PHASES; i++)
    snprintf (text[i], sizeof text[i], "%" PRId64, turns->spent[i]);
  kq_log (KQ_LOG_WARN, "owner", "slow turn", 0, phase_names[0], text[0],
          phase_names[1], text[1], phase_names[2], text[2], phase_names[3],
          text[3], phase_names[4], text[4], NULL);
}

kq_usec
kq_turns_end (struct kq_turns *turns)
{
  kq_usec turn = 0;
  kq_usec gap;

  for (int i = 0; i < KQ_TURN_PHASES; i++)
    turn += turns->spent[i];
  kq_histogram_add (&turn_times, turn);
  if (turn > SLOW_TURN)
    log_slow (turns);
  /* Sending what was decided is not put off by fewer looks. */
  turn = turns->spent[KQ_TURN_EVENTS];
  if (turn > LONGEST_TURN)
    turn = LONGEST_TURN;
  turns->smoothed += (turn - turns->smoothed) / TURN_SMOOTHING;
  gap = (turns->smoothed - EASY_TURN) * GAP_PER_TURN;
  if (gap < 0)
    return 0;
  return gap < LONGEST_GAP ? gap : LONGEST_GAP;
}

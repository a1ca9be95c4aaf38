#include "node/turns.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "log/log.h"
#include "metrics/histogram.h"

/* Up to MAX_WORK_WITHOUT_WAIT_US of work per iteration, the loop has idle
   time. Each further ms extends the interval between polls of a worker by
   INTERVAL_PER_WORK ms, so that one poll returns several ended runs. The
   maximum interval is a seventh of the time for which fillers (best-effort
   tasks) may slow down a serving task. A single long iteration counts as
   MAX_COUNTED_WORK_US. */
#define MAX_WORK_WITHOUT_WAIT_US (2 * KQ_USEC_PER_MSEC)
#define MAX_COUNTED_WORK_US (100 * KQ_USEC_PER_MSEC)
#define INTERVAL_PER_WORK 60
#define MAX_POLL_INTERVAL_US (500 * KQ_USEC_PER_MSEC)
#define SMOOTHING_DIVISOR 16

/* Iterations longer than this are logged: half of the interval between two
   heartbeats of the owner (term/term.c). */
#define SLOW_ITERATION_US (200 * KQ_USEC_PER_MSEC)

static const char *const phase_names[]
    = { "events_us", "place_us", "journal_us", "effects_us", "looks_us" };

static struct kq_histogram iteration_times
    = { .name = "kq_turn_seconds",
        .help = "Work of the owner's loop in one turn." };

void
kq_loop_timing_register_metrics (void)
{
  kq_histogram_register (&iteration_times);
}

void
kq_loop_timing_begin (struct kq_loop_timing *timing)
{
  timing->marked_at = kq_clock_now ();
  memset (timing->spent, 0, sizeof timing->spent);
}

void
kq_loop_timing_mark (struct kq_loop_timing *timing, enum kq_loop_phase phase)
{
  kq_usec now = kq_clock_now ();

  timing->spent[phase] += now - timing->marked_at;
  timing->marked_at = now;
}

static void
log_slow (const struct kq_loop_timing *timing)
{
  char text[KQ_LOOP_PHASE_COUNT][24];

  for (int i = 0; i < KQ_LOOP_PHASE_COUNT; i++)
    snprintf (text[i], sizeof text[i], "%" PRId64, timing->spent[i]);
  kq_log (KQ_LOG_WARN, "owner", "slow event loop iteration", 0, phase_names[0],
          text[0], phase_names[1], text[1], phase_names[2], text[2],
          phase_names[3], text[3], phase_names[4], text[4], NULL);
}

kq_usec
kq_loop_timing_end (struct kq_loop_timing *timing)
{
  kq_usec work = 0;
  kq_usec interval;

  for (int i = 0; i < KQ_LOOP_PHASE_COUNT; i++)
    work += timing->spent[i];
  kq_histogram_add (&iteration_times, work);
  if (work > SLOW_ITERATION_US)
    log_slow (timing);
  /* Only the events phase counts: fewer polls do not reduce the work of the
     other phases, which carry out what was decided. */
  work = timing->spent[KQ_LOOP_EVENTS];
  if (work > MAX_COUNTED_WORK_US)
    work = MAX_COUNTED_WORK_US;
  timing->smoothed += (work - timing->smoothed) / SMOOTHING_DIVISOR;
  interval = (timing->smoothed - MAX_WORK_WITHOUT_WAIT_US) * INTERVAL_PER_WORK;
  if (interval < 0)
    return 0;
  return interval < MAX_POLL_INTERVAL_US ? interval : MAX_POLL_INTERVAL_US;
}

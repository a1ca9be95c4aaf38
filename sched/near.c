/* Delay scheduling: see sched/near.h.
 *
 * The tasks that run in a rack and their expected lengths give the rate at
 * which ends are expected. Learned is how many were expected for each end that
 * came, and how much that varies. Unlike the time between ends this does not
 * grow while the rack is idle, and follows at once when long tasks fill it.
 */
#include "sched/near.h"

#include <math.h>

/* Each new end multiplies the weight of all earlier ones by this factor: the
   last 100 dominate, 10 s of a rack with 10 ends a second. */
#define DECAY 0.99

/* Minimum decayed number of ends before they are used: the mean of 10 is off
   by a third if the times are spread like waiting times. */
#define MIN_WEIGHT 9.5

/* Lowest number of expected ends for each that came: lengths are not known to
   be wrong by more. */
#define MIN_MEAN 0.01

/* Part of a task's slack that it waits at most: its length is an estimate, and
   a start takes 0.1 to 0.2 s. With all of it, 0.7 percent more jobs of a hot
   rack were late at a remote_factor of 3 (bench/near). */
#define SLACK_SHARE 0.5

/* Unit of rates. */
#define RATE_MS INT64_C (1000000000)
#define RATE_US ((double)RATE_MS * KQ_USEC_PER_MSEC)

int64_t
kq_near_rate (int64_t length_ms)
{
  return RATE_MS / (length_ms > 0 ? length_ms : 1);
}

/* Returns how many ends were expected between the last end and NOW. */
static double
expected_since_end (const struct kq_near_ends *ends, kq_usec now)
{
  kq_usec passed = now > ends->updated_at ? now - ends->updated_at : 0;

  return ends->since_end
         + (double)passed * (double)ends->running.rate / RATE_US;
}

void
kq_near_set_running (struct kq_near_ends *ends,
                     const struct kq_near_running *running, kq_usec now)
{
  ends->since_end = expected_since_end (ends, now);
  ends->updated_at = now;
  ends->running = *running;
}

void
kq_near_note_end (struct kq_near_ends *ends,
                  const struct kq_sched_demand *freed, kq_usec now)
{
  double expected = expected_since_end (ends, now);

  ends->weight = ends->weight * DECAY + 1;
  ends->expected = ends->expected * DECAY + expected;
  ends->expected_square = ends->expected_square * DECAY + expected * expected;
  ends->cpu = ends->cpu * DECAY + (double)freed->cpu;
  ends->mem = ends->mem * DECAY + (double)freed->mem;
  ends->gpu = ends->gpu * DECAY + (double)freed->gpu;
  ends->since_end = 0;
  ends->updated_at = now;
}

/* Decayed sums are not exact: two ends are not needed for so little. */
#define ROUNDING 1e-6

/* Returns how many ends free MISSING if each frees ROOM; infinity if they free
   none of it. */
static double
count_ends (int64_t missing, double room)
{
  if (missing <= 0)
    return 0;
  return room > 0 ? ceil ((double)missing / room - ROUNDING) : INFINITY;
}

/* Returns the same for all resources, with what ENDS free on average. */
static double
count_all_ends (const struct kq_near_ends *ends,
                const struct kq_sched_demand *missing)
{
  double count = count_ends (missing->cpu, ends->cpu / ends->weight);

  count = fmax (count, count_ends (missing->mem, ends->mem / ends->weight));
  return fmax (count, count_ends (missing->gpu, ends->gpu / ends->weight));
}

bool
kq_near_expect (const struct kq_near_ends *ends,
                const struct kq_near_need *need, kq_usec now,
                struct kq_near_wait *wait)
{
  double mean;
  double variance;
  double since;
  double rate_us = (double)ends->running.rate / RATE_US;
  double stretch = 1;
  double count;

  if (ends->weight < MIN_WEIGHT || ends->running.rate <= 0)
    return false;
  mean = fmax (ends->expected / ends->weight, MIN_MEAN);
  variance = fmax (ends->expected_square / ends->weight - mean * mean, 0);
  /* If more ends are overdue than there are tasks, ends have become rarer. */
  since = expected_since_end (ends, now);
  if (since > mean * ends->running.count)
    stretch = since / mean;
  count = fmax (count_all_ends (ends, &need->missing), 1);
  /* Any worker's first end will do, but further ones are needed at the same
     worker. */
  count = 1 + (count - 1) * need->places;
  count += count_all_ends (ends, &need->ahead);
  if (!isfinite (count))
    return false;
  wait->expected = (kq_usec)(count * mean * stretch / rate_us);
  wait->spread = (kq_usec)(sqrt (count * variance) * stretch / rate_us);
  return true;
}

kq_usec
kq_near_gain (int64_t length_ms, double remote_factor)
{
  return (kq_usec)((remote_factor - 1) * (double)length_ms) * KQ_USEC_PER_MSEC;
}

bool
kq_near_pays (const struct kq_near_task *task, const struct kq_near_wait *wait)
{
  kq_usec gain = kq_near_gain (task->length_ms, task->remote_factor);
  /* A task that would be late elsewhere in any case has only the time that a
     start near leaves. */
  int64_t slack_ms = task->slack_ms >= 0
                         ? task->slack_ms
                         : task->slack_ms + gain / KQ_USEC_PER_MSEC;
  kq_usec slack = (kq_usec)(SLACK_SHARE * (double)slack_ms) * KQ_USEC_PER_MSEC;
  /* The room elsewhere is idle during the wait if nobody behind takes it: then
     the wait must pay off even if ends come late. */
  kq_usec expected = wait->expected + (task->others_behind ? 0 : wait->spread);

  /* What it has waited already is lost either way, but bounds how much is lost
     in all: no more than the run near its data gains. */
  return gain - task->waited > KQ_NEAR_LOOK_US && slack > KQ_NEAR_LOOK_US
         && expected < gain && expected < slack;
}

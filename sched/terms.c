/* Times in the terms of owners (terms_*).
 *
 * The wall clocks of hosts differ, and may be set while an owner is at work.
 * What outlasts an owner is therefore dated by its term and by how long it had
 * owned that.  Its heartbeats say the same, so that each host that has read
 * one can tell how long ago at least that was.
 */
#include "sched/terms.h"

#include "sched/internal.h"

/* No term lasts longer; a record that says so is malformed. */
#define MAX_AGE_MS (INT64_C (100) * 365 * 24 * 3600 * 1000)

void
kq_sched_begin_term (struct kq_sched *sched, int64_t term, kq_usec began_at)
{
  sched->term = term;
  sched->term_began_at = began_at;
}

void
kq_sched_add_past_term (struct kq_sched *sched,
                        const struct kq_sched_past_term *past)
{
  if (sched->past_term_count < KQ_SCHED_MAX_PAST_TERMS)
    sched->past_terms[sched->past_term_count++] = *past;
}

struct term_time
terms_time (const struct kq_sched *sched, kq_usec mono)
{
  kq_usec age = mono - sched->term_began_at;

  return (struct term_time){ .term = sched->term,
                             .age_ms = (age + KQ_USEC_PER_MSEC - 1)
                                       / KQ_USEC_PER_MSEC };
}

/* Returns the earliest known term that is not before TERM, or NULL. */
static const struct kq_sched_past_term *
find_from (const struct kq_sched *sched, int64_t term)
{
  const struct kq_sched_past_term *nearest = NULL;

  for (int i = 0; term != 0 && i < sched->past_term_count; i++)
    {
      const struct kq_sched_past_term *past = &sched->past_terms[i];

      if (past->term >= term
          && (nearest == NULL || past->term < nearest->term))
        nearest = past;
    }
  return nearest;
}

/* An owner whose term is not among those known had its last confirmation
   before any later owner had one. */
kq_usec
terms_acted_until (const struct kq_sched *sched, int64_t term, kq_usec now)
{
  const struct kq_sched_past_term *nearest = find_from (sched, term);
  kq_usec until;

  if (nearest == NULL)
    return now + KQ_SCHED_UNCONFIRMED_LIMIT_US;
  until = nearest->confirmed_until + KQ_SCHED_UNCONFIRMED_LIMIT_US;
  if (nearest->term == term && nearest->ended_at != 0
      && nearest->ended_at < until)
    until = nearest->ended_at;
  return until;
}

kq_usec
terms_latest (const struct kq_sched *sched, struct term_time time, kq_usec now)
{
  const struct kq_sched_past_term *past = find_from (sched, time.term);
  kq_usec until = terms_acted_until (sched, time.term, now);
  kq_usec ahead;
  kq_usec at;

  if (past == NULL || past->term != time.term || time.age_ms < 0
      || time.age_ms > MAX_AGE_MS)
    return until;
  ahead = time.age_ms * KQ_USEC_PER_MSEC - past->age;
  at = past->heard_at
       + (ahead > 0 ? ahead * 100 / SLOWEST_CLOCK_PERCENT
                    : ahead * SLOWEST_CLOCK_PERCENT / 100);
  return at < until ? at : until;
}

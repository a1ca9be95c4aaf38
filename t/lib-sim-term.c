/* Terms of owners, whose clocks differ. */
#include <string.h>

#include "t/lib-sim-internal.h"

void
sim_confirm_term (struct sim *sim)
{
  sim->terms[0].confirmed_at = sim->now;
  kq_sched_confirm_term (sim->sched, sim->now * KQ_USEC_PER_MSEC);
  kq_sched_note_fence (sim->sched, ++sim->fence);
}

static void
add_past_terms (struct sim *sim)
{
  for (int i = 1; i < SIM_TERMS && sim->terms[i].number > 0; i++)
    {
      const struct sim_term *term = &sim->terms[i];
      kq_usec heard_at = term->confirmed_at * KQ_USEC_PER_MSEC;

      kq_sched_add_past_term (
          sim->sched,
          &(struct kq_sched_past_term){
              .term = term->number,
              .confirmed_until = heard_at,
              .heard_at = heard_at,
              .age = heard_at - term->began_at * KQ_USEC_PER_MSEC });
    }
}

void
sim_begin_term (struct sim *sim)
{
  if (sim->faults.clock_skew_ms > 0)
    sim->wall_offset_ms = (int64_t)((gsl_rng_uniform (sim->rng) * 2 - 1)
                                    * (double)sim->faults.clock_skew_ms);
  memmove (&sim->terms[1], &sim->terms[0],
           (SIM_TERMS - 1) * sizeof sim->terms[0]);
  sim->term = ++sim->fence;
  sim->terms[0]
      = (struct sim_term){ .number = sim->term, .began_at = sim->now };
  add_past_terms (sim);
  kq_sched_begin_term (sim->sched, sim->term, sim->now * KQ_USEC_PER_MSEC);
  sim_confirm_term (sim);
}

/** @file
 * A cell in virtual time: the scheduler, a store that may fail, and workers
 * that do what the platform's pages say, with late and lost answers.  Rules
 * are asserted while it runs; the first one that is broken is kept.
 */
#ifndef KQ_T_LIB_SIM_H
#define KQ_T_LIB_SIM_H

#include <gsl/gsl_rng.h>

#include "sched/sched.h"

#define SIM_WORKERS 12
#define SIM_RUNS 64
#define SIM_JOBS 400
#define SIM_TASKS 8
#define SIM_ENDS 4096
#define SIM_CALLS 4096
#define SIM_IMAGES 4

/** How much goes wrong; chances are per call. */
struct sim_faults
{
  double lose_answer;
  double late;          /**< carried out up to 4 s late, without an answer */
  double task_fails;    /**< per run */
  double takeover;      /**< per second */
  double worker_dies;   /**< per second, one worker, back 2 s later */
  double worker_silent; /**< per second, one worker, for 8 s */
  double store_down;    /**< per second, for 2 s */
};

/** Factors of the pairs: how much filler image F disturbs serving image S. */
typedef double sim_factors[SIM_IMAGES][SIM_IMAGES];

struct sim;

struct sim *sim_create (unsigned long seed, const struct sim_faults *faults);
void sim_destroy (struct sim *sim);

/** Sets the factors; without, nothing disturbs anything. */
void sim_set_factors (struct sim *sim, const sim_factors *factors);

/** Workers no longer do what orders on pace say. */
void sim_ignore_pace (struct sim *sim);

/** Hands in a job of STEPS alike steps in a row; returns its number. */
int sim_submit (struct sim *sim, const char *queue,
                const struct kq_sched_step *step, int steps);
void sim_cancel (struct sim *sim, int job);

/** Runs for MS milliseconds; callers ask for open jobs each 100 ms. */
void sim_run (struct sim *sim, int64_t ms);

/** Returns the first broken rule, or NULL. */
const char *sim_violation (const struct sim *sim);

/** Returns what a caller is told about JOB; -1 when nothing is known. */
int sim_state (struct sim *sim, int job);

/** Returns when JOB was first seen to be over, in ms from its submission; -1
 *  while it is not.  */
int64_t sim_time_of (const struct sim *sim, int job);

/** Returns the time in ms for which serving tasks were over their target. */
int64_t sim_time_over (const struct sim *sim);

/** Returns the longest time on end for which one was. */
int64_t sim_longest_over (const struct sim *sim);

/** Another owner takes over. */
void sim_take_over (struct sim *sim);

/** Ends all faults; workers and store work from now on. */
void sim_heal (struct sim *sim);

#endif

/** @file
 * Simulator of a cell in virtual time: the scheduler, a store that may fail,
 * and workers that behave as the platform documents, with delayed and lost
 * replies. It checks rules of correct scheduling during the run and keeps the
 * first violation.
 */
#ifndef KQ_T_LIB_SIM_H
#define KQ_T_LIB_SIM_H

#include <gsl/gsl_rng.h>

#include "sched/sched.h"

/** Number of workers; maximum numbers of runs per worker, jobs, steps per job,
 *  ended runs per worker, calls in flight and images.  */
#define SIM_WORKERS 12
#define SIM_RUNS 64
#define SIM_JOBS 1000
#define SIM_STEPS 8
#define SIM_ENDS 4096
#define SIM_CALLS 4096
#define SIM_IMAGES 4

/** Probabilities of faults, per call unless stated otherwise. */
struct sim_faults
{
  double lose_reply;
  double delayed;      /**< carried out up to max_delay_ms later, without a
                            reply */
  double task_fails;   /**< per run */
  double takeover;     /**< per second */
  double worker_crash; /**< per second, one worker, which restarts after 2 s */
  double
      worker_unreachable; /**< per second, one worker, unreachable for 8 s */
  double store_down;      /**< per second, for 2 s */
  bool orders_outlive_crash; /**< a delayed order is carried out by the next
                                  incarnation of its worker, if there is one
                                  by then */
  double worker_reborn;      /**< per second, one worker, unreachable for 8 s,
                                  which crashes within the first 2 s and restarts
                                  while it is still cut off */
  double worker_absent;  /**< per second, one worker, which crashes and stays
                              away for up to 12 s, its registration lapses
                              after 1.5 s; half of them are back behind a cut
                              of 8 s */
  double worker_mute;    /**< per second, one worker, which carries out its
                              orders for 8 s while all replies are lost */
  int64_t max_delay_ms;  /**< of delayed orders; 0: 4 s */
  int64_t restart_ms;    /**< from a crash to the restart; 0: 2 s */
  int64_t register_ms;   /**< a restarted worker is registered within this */
  int64_t clock_skew_ms; /**< the wall clocks of owners are off by up to
                              this */
  bool slow_clocks;      /**< the clocks of workers are 2 % slow */
  bool refused; /**< the addresses of workers that are down refuse connections;
                     otherwise they are silent */
};

/** Interference factors: element [S][F] is how much filler image F slows down
 *  serving image S.  */
typedef double sim_factors[SIM_IMAGES][SIM_IMAGES];

struct sim;

struct sim *sim_create (unsigned long seed, const struct sim_faults *faults);
void sim_destroy (struct sim *sim);

/** Sets the interference factors, which are 0 by default. */
void sim_set_factors (struct sim *sim, const sim_factors *factors);

/** Divides the workers into racks "r0", "r1" and so on of PER_RACK workers
 *  each. Off the rack of its data or group a run takes REMOTE_FACTOR times as
 *  long, which the scheduler knows if KNOWN.  */
void sim_set_racks (struct sim *sim, int per_rack, double remote_factor,
                    bool known);

/** Reads the counters of the current owner. */
void sim_count (const struct sim *sim, struct kq_sched_counts *counts);

/** Returns the work in core-seconds of runs that did not end done. */
double sim_discarded (const struct sim *sim);

/** Returns the core-seconds that runs took longer off their rack. */
double sim_slowed (const struct sim *sim);

/** Returns the number of starts away from the rack of the task's data. */
int sim_far_starts (const struct sim *sim);

/** Returns a hash of the sequence of all starts. */
uint64_t sim_start_hash (const struct sim *sim);

/** Makes workers ignore pace orders. */
void sim_ignore_pace (struct sim *sim);

/** Submits a job of STEPS identical steps, each after the one before; returns
 *  the index of the job.  */
int sim_submit (struct sim *sim, const char *queue,
                const struct kq_sched_step *step, int steps);
void sim_cancel (struct sim *sim, int job);

/** Submits JOB, which was refused, again. */
void sim_resubmit (struct sim *sim, int job);

/** Returns the Retry-After in ms with which JOB was refused last; 0 if it was
 *  not refused.  */
int64_t sim_refused (const struct sim *sim, int job);

/** Advances the simulation by MS milliseconds. Open jobs are queried every
 *  100 ms.  */
void sim_run (struct sim *sim, int64_t ms);

/** Runs a cell for 20 s under load, whose workers restart under their IDs 2 s
 *  after a crash while one order in ten is carried out up to 4 s late, by the
 *  next incarnation if need be.  The probabilities of TAKEOVERS and of outages
 *  of the store (STORE_DOWN) are per second.  The caller destroys the result.
 */
struct sim *sim_run_restarts (unsigned long seed, double takeovers,
                              double store_down);

/** Returns the first violated rule, or NULL. */
const char *sim_violation (const struct sim *sim);

/** Returns the state of JOB as reported to a caller; -1 if it is unknown. */
int sim_state (struct sim *sim, int job);

/** Returns the time in ms from the submission of JOB until it was first
 *  reported as ended; -1 while it is open.  */
int64_t sim_job_time (const struct sim *sim, int job);

/** Returns the total time in ms during which the tail latency of serving tasks
 *  was over its target.  */
int64_t sim_time_over_target (const struct sim *sim);

/** Returns the longest uninterrupted time in ms during which one serving task
 *  was over its target.  */
int64_t sim_longest_over_target (const struct sim *sim);

/** Returns the longest time in ms for which a task of a long-running job that
 *  had run before was without a run.  */
int64_t sim_longest_down (const struct sim *sim);

/** Crashes the worker NUMBER for good. */
void sim_lose_worker (struct sim *sim, int number);

/** Crashes the worker NUMBER. Its registration stays for 1.5 s; 1 s after the
 *  crash a worker with another ID has its address.  */
void sim_replace_worker (struct sim *sim, int number);

/** Makes the first task of JOB crash each worker that starts it. */
void sim_make_deadly (struct sim *sim, int job);

/** Returns how often workers have started the first task of the deadly JOB. */
int sim_deadly_starts (const struct sim *sim, int job);

/** Replaces the owner by a new one. */
void sim_take_over (struct sim *sim);

/** Injects no further faults; outages that have begun still end on time. */
void sim_stop_faults (struct sim *sim);

#endif

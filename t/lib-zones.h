/** @file
 * A cell whose workers stand in availability zones, accept every order and run
 * their tasks for as long as they are estimated, in virtual time.
 */
#ifndef KQ_T_LIB_ZONES_H
#define KQ_T_LIB_ZONES_H

#include "t/lib-sched.h"

#define TZ_WORKERS 80
#define TZ_RUNS 64
#define TZ_JOBS 64

struct tz_worker
{
  struct kq_sched_registration report;
  struct ts_order runs[TZ_RUNS];
  kq_usec stopped_at[TZ_RUNS]; /* of the runs; 0: not stopped */
  int run_count;
  struct kq_sched_ended ended[TZ_RUNS]; /* not reported yet */
  int ended_count;
  int64_t last_end;
};

struct tz_site
{
  struct ts_cell cell;
  struct kq_sched_zones zones; /* as the operator's topic names them */
  bool topic_unreadable;
  struct tz_worker workers[TZ_WORKERS];
  int worker_count;
  int handled_orders;
  struct kq_sched_step steps[TZ_JOBS]; /* of the jobs, by ID */
  int64_t stop_ms;                     /* time that a stop takes */
  int64_t startup_ms; /* after which a long-running task is at work */
};

/** Creates a site whose owner has read that no zone is evacuated. */
struct tz_site *tz_create (const struct kq_sched_settings *settings);
void tz_destroy (struct tz_site *site);

/** Adds a worker in ZONE that stays cold for WARMUP_MS, or 0. */
void tz_add_worker (struct tz_site *site, const char *zone, int64_t cpu,
                    int64_t warmup_ms);

/** Registers worker INDEX anew with WARMUP_MS. */
void tz_reregister (struct tz_site *site, int index, int64_t warmup_ms);

/** Reads the operator's topic. */
void tz_read_topic (struct tz_site *site);

/** Requests the evacuation of ZONE, or takes it back. */
void tz_evacuate (struct tz_site *site, const char *zone);
void tz_take_back (struct tz_site *site, const char *zone);

/** Replaces the owner by one that has read nothing of the topic yet. */
void tz_take_over (struct tz_site *site);

/** Submits a job of one step to QUEUE; JOB is below TZ_JOBS. */
void tz_submit (struct tz_site *site, uint64_t job, const char *queue,
                const struct kq_sched_step *step);

/** Lets MS milliseconds pass. */
void tz_run (struct tz_site *site, int64_t ms);

/** Returns the number of starts in ZONE since the time SINCE. */
int tz_starts (const struct tz_site *site, const char *zone, kq_usec since);

/** Returns the number of runs in ZONE. */
int tz_runs (const struct tz_site *site, const char *zone);

/** Returns the number of long-running tasks at work. */
int tz_at_work (const struct tz_site *site);

struct kq_sched_counts tz_counts (const struct tz_site *site);

#endif

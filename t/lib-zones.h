/** @file
 * A cell whose workers stand in zones, accept every order and run their tasks
 * for as long as estimated, in virtual time.  A zone is named by one letter.
 */
#ifndef KQ_T_LIB_ZONES_H
#define KQ_T_LIB_ZONES_H

#include "t/lib-sched.h"

#define TZ_WORKERS 80
#define TZ_RUNS 64

struct tz_run
{
  struct ts_order order;
  kq_usec stopped_at; /* 0: not stopped */
};

struct tz_worker
{
  struct kq_sched_registration report;
  struct tz_run runs[TZ_RUNS];
  int run_count;
  struct kq_sched_ended ended[TZ_RUNS]; /* not reported yet */
  int ended_count;
  int64_t last_end;
};

struct tz_site
{
  struct ts_cell cell;
  struct kq_sched_settings settings;
  struct kq_sched_zones zones; /* as the operator's topic names them */
  bool topic_unreadable;
  struct tz_worker workers[TZ_WORKERS];
  int worker_count;
  int handled_orders;
  struct kq_sched_step steps[64]; /* of the jobs, by ID */
  int64_t stop_ms;                /* time that a stop takes */
  int64_t startup_ms;             /* until a long-running task is at work */
};

/** Creates a site with these settings, without a zone under evacuation. */
struct tz_site *tz_create (int64_t evac_ms, double warmup_excess);
void tz_destroy (struct tz_site *site);

/** Adds COUNT workers in ZONE that are cold for WARMUP_MS. */
void tz_add_workers (struct tz_site *site, int count, char zone, int64_t cpu,
                     int64_t warmup_ms);
void tz_register (struct tz_site *site, int worker);

/** Puts the zones whose letters are in ZONES under evacuation, and no other.
 */
void tz_evacuate (struct tz_site *site, const char *zones);

/** Replaces the owner by one that has not read the topic. */
void tz_take_over (struct tz_site *site);

/** Submits a job of COUNT tasks like STEP to the queue "batch". */
void tz_submit (struct tz_site *site, uint64_t job, int count,
                const struct kq_sched_step *step);
void tz_run (struct tz_site *site, int64_t ms);

/** Returns the number of starts in ZONE, of runs there, and of long-running
 *  tasks at work anywhere.  */
int tz_starts (const struct tz_site *site, char zone);
int tz_runs (const struct tz_site *site, char zone);
int tz_at_work (const struct tz_site *site);
struct kq_sched_counts tz_counts (const struct tz_site *site);

#endif

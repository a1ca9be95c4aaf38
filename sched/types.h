/** @file
 * Input types of the scheduler: jobs as submitted by callers (clients of the
 * service), queues as configured by operators, and what workers report.
 *
 * CPU is in thousandths of a core, memory in MiB, times in milliseconds unless
 * a type says otherwise.
 */
#ifndef KQ_SCHED_TYPES_H
#define KQ_SCHED_TYPES_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/clock.h"

/** Size in bytes of a name or label, including the terminating zero. */
#define KQ_SCHED_NAME_SIZE 64

/** Maximum number of steps of a job, and of tasks of a step. */
#define KQ_SCHED_MAX_STEPS 64
#define KQ_SCHED_MAX_STEP_TASKS 10000

/** Maximum number of occurrences of a scheduled job. */
#define KQ_SCHED_MAX_OCCURRENCES 10000

/** Maximum number of tasks of a job, over all steps and occurrences: the owner
 *  keeps all of them in memory, at most 53 MB at this limit.  */
#define KQ_SCHED_MAX_JOB_TASKS 100000

/** Resources of a worker that a task needs. */
struct kq_sched_demand
{
  int64_t cpu;
  int64_t mem;
  int64_t gpu;
};

/** A step of a job: COUNT tasks with the same requirements. */
struct kq_sched_step
{
  int count;
  struct kq_sched_demand demand;
  int64_t est_ms; /**< caller's estimate of the run time */
  int *after;     /**< indices of the prerequisite steps, below its own */
  int after_count;
  int max_per_worker; /**< 0: no limit */
  int max_unavailable;
  int64_t tail_target_ms; /**< 0: its tasks serve no requests */
  bool checkpointable;
  bool gang;         /**< its tasks start together or not at all */
  bool same_rack;    /**< its tasks should share a rack */
  bool long_running; /**< runs until its job is cancelled */
  bool filler; /**< best effort: uses only CPU that other tasks leave idle */
  char label[KQ_SCHED_NAME_SIZE]; /**< required kind or rack; "": any */
  char rack[KQ_SCHED_NAME_SIZE];  /**< rack that holds its input data */
  char image[KQ_SCHED_NAME_SIZE];
};

/** Sets LABEL, a name that is only compared, from TEXT of any length.  In
 * place of the end of a long one it has a hash of the whole, so that different
 * texts stay different.  */
void kq_sched_label_set (char label[KQ_SCHED_NAME_SIZE], const char *text);

/** A job as submitted by its caller. */
struct kq_sched_spec
{
  char *text; /**< body that start orders carry to workers unchanged */
  struct kq_sched_step *steps;
  int step_count;
  int times; /**< number of occurrences; 0: runs once, without a schedule */
  int64_t start_ms;
  int64_t interval_ms;
};

/** Properties of the deployment's workers that decisions depend on. */
struct kq_sched_settings
{
  double remote_factor; /**< how many times longer a task runs off the rack of
                           its data or of its group; at least 1 */
  double warmup_excess; /**< how many times longer a task runs, at most, on a
                           worker that is still warming up; at least 1 */
  int64_t stop_ms;      /**< longest time that a worker takes for a stop */
  int64_t evac_ms;      /**< time after which nothing starts any more in a zone
                           whose evacuation was requested; 0: the deployment
                           has no evacuations */
};

/** Maximum number of zones that are under evacuation at once; deployments are
 *  planned with 18 zones.  */
#define KQ_SCHED_MAX_ZONES 64

/** Set of availability zones. */
struct kq_sched_zones
{
  int count;
  char names[KQ_SCHED_MAX_ZONES][KQ_SCHED_NAME_SIZE];
};

/** Returns the index of NAME in ZONES, or -1. */
int kq_sched_zones_find (const struct kq_sched_zones *zones, const char *name);

/** Adds NAME to ZONES.
 *  @return 0, also if it is there already, KQ_ETOOBIG if it is too long, or
 *  KQ_ENOMEM if the set is full.  */
int kq_sched_zones_add (struct kq_sched_zones *zones, const char *name);

void kq_sched_zones_remove (struct kq_sched_zones *zones, const char *name);

/** Settings of a deployment that gives none of them. */
#define KQ_SCHED_DEFAULT_SETTINGS                                             \
  ((struct kq_sched_settings){                                                \
      .remote_factor = 1, .warmup_excess = 1, .stop_ms = 400 })

/** Frees the members of SPEC and clears it. */
void kq_sched_spec_clear (struct kq_sched_spec *spec);

/** Checks that SPEC can be scheduled.
 *  @return 0, or KQ_EINVAL if a count, a demand or the interval is out of
 *  range or a step comes after itself or a later step.  */
int kq_sched_spec_check (const struct kq_sched_spec *spec);

/** A queue: settings of a configured route that apply to the jobs submitted
 *  there.  */
struct kq_sched_queue
{
  char name[KQ_SCHED_NAME_SIZE];
  char host[128];
  char prefix[128];
  char service[KQ_SCHED_NAME_SIZE];
  int priority; /**< 0 is the highest */
  int attempts; /**< failed runs of a task after which its job fails */
  /** The objective of a job, the time in which it should end, is SLO_MS plus
   *  STRETCH times its longest chain of steps.  */
  double stretch;
  int64_t slo_ms;
  int64_t timeout_ms;
  bool advised;      /**< the policy service decides on the workers */
  int64_t advise_ms; /**< time for advice on 30 workers; 0: not advised */
};

/** A configuration. The version never decreases while a process runs. */
struct kq_sched_config
{
  int64_t version;
  struct kq_sched_queue *queues;
  size_t queue_count;
  size_t max_body_bytes;
  /** Queues by name, and by host and prefix; NULL before
   *  kq_sched_config_index(): all queues are searched then.  */
  const struct kq_sched_queue **by_name;
  const struct kq_sched_queue **by_route;
};

/** Indexes the queues of CONFIG, which must not change any more.  Without
 *  memory for it, queues are searched one after the other.  */
void kq_sched_config_index (struct kq_sched_config *config);

void kq_sched_config_destroy (struct kq_sched_config *config);

/** Returns the queue that matches HOST and the longest prefix of PATH, or
 *  NULL.  */
const struct kq_sched_queue *
kq_sched_config_route (const struct kq_sched_config *config, const char *host,
                       const char *path);

/** Returns the queue named NAME, or NULL. */
const struct kq_sched_queue *
kq_sched_config_queue (const struct kq_sched_config *config, const char *name);

/** Registration of a worker: identity, capacity and drain state. */
struct kq_sched_registration
{
  struct kq_sched_demand capacity;
  int64_t incarnation_ms; /**< identifies the incarnation; grows at restarts */
  bool draining;
  int64_t remaining_ms;   /**< time until it stops, at least; while draining */
  int64_t warmup_left_ms; /**< time for which it stays slow after its start */
  char id[KQ_SCHED_NAME_SIZE];
  char service[KQ_SCHED_NAME_SIZE];
  char address[KQ_SCHED_NAME_SIZE];
  char zone[KQ_SCHED_NAME_SIZE];
  char kind[KQ_SCHED_NAME_SIZE];
  char rack[KQ_SCHED_NAME_SIZE];
};

/** Identifies one run (attempt) of a task; run numbers start at 1. */
struct kq_sched_run
{
  uint64_t job;
  int occurrence;
  int step;
  int index;
  int run;
};

/** Why a run ended. */
enum kq_sched_end
{
  KQ_SCHED_DONE,
  KQ_SCHED_FAILED,
  KQ_SCHED_STOPPED,
  KQ_SCHED_LAPSED,
  KQ_SCHED_GANG_BROKEN,    /**< another member of its gang ended */
  KQ_SCHED_GANG_INCOMPLETE /**< the members of its gang did not start in time
                            */
};

/** Progress of one run at a worker. */
struct kq_sched_running
{
  struct kq_sched_run run;
  const char *checkpoint; /**< NULL or "" if none; belongs to the reply */
  int percent;
  int64_t sample; /**< tail latency in ms if it serves, else CPU used */
};

/** One ended run at a worker. */
struct kq_sched_ended
{
  int64_t number; /**< from 1 in each incarnation of the worker */
  struct kq_sched_run run;
  enum kq_sched_end how;
  const char *checkpoint; /**< NULL or "" if none; belongs to the reply */
};

/** Status that a worker returns to a poll. */
struct kq_sched_status
{
  int64_t worker_clock_ms; /**< worker's clock */
  int64_t incarnation_ms;  /**< incarnation that replied */
  struct kq_sched_running *running;
  size_t running_count;
  struct kq_sched_ended *ended;
  size_t ended_count;
  bool has_unread_rows; /**< rows of either list could not be read */
};

#endif

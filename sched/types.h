/** @file
 * What callers hand in and what operators configure, as the scheduler sees
 * it.  CPU is in thousandths of a core, memory in MiB, times in milliseconds
 * unless a type says otherwise.
 */
#ifndef KQ_SCHED_TYPES_H
#define KQ_SCHED_TYPES_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/clock.h"

/** Bytes of a name or label with its terminating zero. */
#define KQ_SCHED_NAME 64

/** Most steps of a job and most tasks of a step that are accepted. */
#define KQ_SCHED_MAX_STEPS 64
#define KQ_SCHED_MAX_COUNT 10000

/** Most occurrences of a scheduled job. */
#define KQ_SCHED_MAX_TIMES 10000

/** What a task takes of a worker. */
struct kq_sched_demand
{
  int64_t cpu;
  int64_t mem;
  int64_t gpu;
};

/** A step: tasks that are alike. */
struct kq_sched_step
{
  int count;
  struct kq_sched_demand demand;
  int64_t est_ms;
  int *after; /**< numbers of earlier steps */
  int after_count;
  int max_per_worker; /**< 0: no limit */
  int max_unavailable;
  int64_t tail_target_ms; /**< 0: the tasks serve nobody */
  bool checkpointable;
  bool gang;
  bool same_rack;
  bool lasting; /**< runs until the job is cancelled */
  bool filler;  /**< its CPU is what others leave unused */
  char label[KQ_SCHED_NAME];
  char rack[KQ_SCHED_NAME]; /**< where its data is */
  char image[KQ_SCHED_NAME];
};

/** A job as its caller handed it in. */
struct kq_sched_spec
{
  char *text; /**< passed on to workers as it is */
  struct kq_sched_step *steps;
  int step_count;
  int times; /**< 0: runs once, at once */
  int64_t start_ms;
  int64_t interval_ms;
};

/** Frees what SPEC points to. */
void kq_sched_spec_clear (struct kq_sched_spec *spec);

/** Refuses what no scheduler could carry out.
 *  @return 0 or KQ_EINVAL (counts, a step after itself or a later one).  */
int kq_sched_spec_check (const struct kq_sched_spec *spec);

/** A queue: what a route of the configuration says about its jobs. */
struct kq_sched_queue
{
  char name[KQ_SCHED_NAME];
  char host[128];
  char prefix[128];
  char service[KQ_SCHED_NAME];
  int priority; /**< 0 first */
  int attempts;
  double stretch;
  int64_t slo_ms;
  int64_t timeout_ms;
  bool advised;      /**< a policy chooses the workers */
  int64_t advise_ms; /**< to be advised about 30 workers; 0 without */
};

/** A configuration: never older ones within a process's life. */
struct kq_sched_config
{
  int64_t version;
  struct kq_sched_queue *queues;
  size_t queue_count;
  size_t max_body_bytes;
};

void kq_sched_config_destroy (struct kq_sched_config *config);

/** Returns the queue of HOST and the longest prefix of PATH, or NULL. */
const struct kq_sched_queue *
kq_sched_config_route (const struct kq_sched_config *config, const char *host,
                       const char *path);

/** Returns the queue NAME, or NULL. */
const struct kq_sched_queue *
kq_sched_config_queue (const struct kq_sched_config *config, const char *name);

/** What a worker says about itself. */
struct kq_sched_report
{
  char id[KQ_SCHED_NAME];
  char service[KQ_SCHED_NAME];
  char address[KQ_SCHED_NAME];
  char zone[KQ_SCHED_NAME];
  char kind[KQ_SCHED_NAME];
  char rack[KQ_SCHED_NAME];
  struct kq_sched_demand capacity;
  int64_t born_ms; /**< tells its lives apart */
  bool draining;
  int64_t remaining_ms; /**< at least, while it drains */
};

/** A run: task NAME's start number RUN. */
struct kq_sched_run
{
  uint64_t job;
  int occurrence;
  int step;
  int index;
  int run;
};

/** How a run ended. */
enum kq_sched_end
{
  KQ_SCHED_DONE,
  KQ_SCHED_FAILED,
  KQ_SCHED_STOPPED,
  KQ_SCHED_LAPSED,
  KQ_SCHED_BROKEN, /**< another member of its gang ended */
  KQ_SCHED_ALONE   /**< its gang did not assemble in time */
};

/** One row of what runs at a worker. */
struct kq_sched_running
{
  struct kq_sched_run run;
  char checkpoint[KQ_SCHED_NAME];
  int percent;
  int64_t figure; /**< tail in ms of a task that serves, else CPU used */
};

/** One row of what has ended at a worker. */
struct kq_sched_ended
{
  int64_t number; /**< from 1 in each life of the worker */
  struct kq_sched_run run;
  enum kq_sched_end how;
  char checkpoint[KQ_SCHED_NAME];
};

/** What a worker answers when its lease is renewed. */
struct kq_sched_listing
{
  int64_t local_ms; /**< the worker's */
  int64_t born_ms;  /**< the life that answers */
  struct kq_sched_running *running;
  size_t running_count;
  struct kq_sched_ended *ended;
  size_t ended_count;
};

#endif

/** @file
 * State of one simulated worker: its lease, its table of task attempts, its
 * usage samples and the power guard of its rack.  The responses follow
 * docs/design/assumptions.md, numbers 5 to 9.
 */
#ifndef SI_WORKER_H
#define SI_WORKER_H

#include <jansson.h>
#include <stdbool.h>

#include "base/clock.h"
#include "core/event.h"
#include "t/standin/si-http.h"

#define SI_SAMPLES 64

/** One sample of resource usage. */
struct si_sample
{
  int64_t seq;
  kq_usec at;
  struct kq_resources used;
  int slowdown_milli; /* service time, 1000 = that of an idle worker */
};

struct si_attempt
{
  struct kq_attempt_row row;
  enum kq_task_kind kind;
  int64_t run_ms;
  double progress_ms;         /* milliseconds of run_ms completed */
  kq_usec expires_at;         /* end of the attempt's lease */
  kq_usec checkpoint_done_at; /* completion of the checkpoint being written */
  struct si_attempt *next, *prev;
};

struct si_worker
{
  struct kq_name name, zone, region, rack;
  struct kq_resources capacity;
  int32_t slots, connections;
  int control_port, endpoint_port;
  json_t *knobs;
  char holder[KQ_NAME_SIZE];
  int64_t term;
  int64_t serial; /* number of lease requests accepted */
  kq_usec lease_until;
  kq_usec task_until; /* lease end of attempts that start now */
  struct si_attempt *attempts;
  struct si_sample samples[SI_SAMPLES];
  int64_t seq;        /* of the newest sample */
  int32_t used_slots; /* requests being served */
  int64_t served_count, start_count;
  kq_usec last_work_at;     /* start of the newest request or attempt */
  uint64_t silenced_serial; /* connections up to this serial get no response */
  bool throttled;
  struct si_server *control, *endpoint;
  struct si_worker *next;
};

/** All workers of this process. */
extern struct si_worker *si_workers;

/** Returns the default knobs of a worker as a new object. */
json_t *si_worker_default_knobs (void);

/** Returns knob NAME. */
int64_t si_worker_knob (const struct si_worker *worker, const char *name);

/** Handles POST /lease. */
void si_worker_handle_lease (struct si_worker *worker,
                             struct si_request *request);

/** Handles POST /task. */
void si_worker_handle_task (struct si_worker *worker,
                            struct si_request *request);

/** Returns the worker's table as a new object. */
json_t *si_worker_table (const struct si_worker *worker);

/** Advances all workers by DELTA microseconds: attempts progress, end or
 *  lapse, and usage is sampled.  */
void si_workers_advance (kq_usec delta);

/** Returns the service time of a request relative to an idle worker, at least
 *  1.  */
double si_worker_slowdown (const struct si_worker *worker);

#endif

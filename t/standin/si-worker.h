/** @file
 * One worker of the stand-in: its lease, its table of attempts, its usage
 * reports and its rack's power guard.  docs/design/assumptions.md numbers 5
 * to 9 say what it answers.
 */
#ifndef SI_WORKER_H
#define SI_WORKER_H

#include <jansson.h>
#include <stdbool.h>

#include "base/clock.h"
#include "core/event.h"
#include "t/standin/si-http.h"

#define SI_SAMPLES 64

/** One usage report. */
struct si_sample
{
  int64_t seq;
  kq_usec at;
  struct kq_size used;
  int slow_milli; /* time of service of requests, 1000 = as on an idle worker
                   */
};

struct si_attempt
{
  struct kq_attempt_row row;
  enum kq_task_kind kind;
  int64_t run_ms;
  double progress; /* run milliseconds done */
  kq_usec until;   /* the attempt's lease */
  kq_usec saving;  /* a checkpoint is written until then */
  struct si_attempt *next, *prev;
};

struct si_worker
{
  struct kq_name name, zone, region, rack;
  struct kq_size capacity;
  int32_t slots, connections;
  int control_port, endpoint_port;
  json_t *knobs;
  char holder[KQ_NAME_SIZE];
  int64_t term;
  int64_t serial; /* lease requests accepted */
  kq_usec lease_until;
  kq_usec task_until; /* given to an attempt that starts */
  struct si_attempt *attempts;
  struct si_sample samples[SI_SAMPLES];
  int64_t seq;  /* of the newest sample */
  int32_t busy; /* requests being served */
  int64_t served, starts;
  kq_usec last_work; /* when the last request or attempt began */
  uint64_t silent;   /* connections up to this serial are silent */
  bool throttled;
  struct si_server *control, *endpoint;
  struct si_worker *next;
};

/** All workers of this process. */
extern struct si_worker *si_workers;

/** Creates a worker's default knobs. */
json_t *si_worker_knobs (void);

/** Returns knob NAME. */
int64_t si_worker_knob (const struct si_worker *worker, const char *name);

/** Takes a lease request; answers it. */
void si_worker_lease (struct si_worker *worker, struct si_request *request);

/** Takes a task action; answers it. */
void si_worker_task (struct si_worker *worker, struct si_request *request);

/** Returns the worker's table as a new object. */
json_t *si_worker_table (const struct si_worker *worker);

/** Lets DELTA microseconds pass for all workers; called often. */
void si_workers_advance (kq_usec delta);

/** Returns how many times slower a request is served now, at least 1. */
double si_worker_slow_down (const struct si_worker *worker);

#endif

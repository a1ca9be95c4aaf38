/** @file
 * Simulation of the decision cores of several hosts in virtual time, with
 * fake workers, log, host list and network.  It checks invariants on each
 * request to a worker and each log record.
 */
#ifndef KQ_T_LIB_FAKE_H
#define KQ_T_LIB_FAKE_H

#include <gsl/gsl_rng.h>
#include <stdbool.h>
#include <uthash.h>

#include "config/config.h"
#include "core/core.h"
#include "core/record.h"
#include "job/job.h"

#define FAKE_ZONES 3
#define FAKE_HOSTS 6
#define FAKE_SHARDS 6
#define FAKE_WORKERS_PER_SHARD 3
#define FAKE_WORKERS (FAKE_SHARDS * FAKE_WORKERS_PER_SHARD)
#define FAKE_LOG_ZONE FAKE_ZONES /* index of the log in network cuts */
#define FAKE_APPEND_TIMEOUT_SEC 1.0
#define FAKE_MAX_ROWS 64
#define FAKE_MAX_ATTEMPTS 32
#define FAKE_TRACE_LINES 400

/** What the fakes know about one task. */
struct fake_task
{
  struct kq_task_id id;
  int success_count; /* attempts that succeeded */
  int failure_count; /* attempts that failed */
  int resumes;       /* starts from a checkpoint */
  int64_t ended_at;  /* offset of its first END record; 0: none */
  int64_t last_attempt;
  struct
  {
    int64_t number;
    int worker;
    bool acknowledged;
  } attempts[FAKE_MAX_ATTEMPTS]; /* ring buffer of the latest */
  int attempt_count;
  UT_hash_handle hh;
};

struct fake_row
{
  struct kq_attempt_row row;
  double expires_at; /* real time at which the lease of the attempt expires */
  double started_at; /* real time at which this attempt started */
  int64_t run_ms;
  int64_t start_progress_ms; /* progress at its start, in ms */
  double checkpoint_due_at;  /* real time at which a requested checkpoint is
                               saved; 0: none requested */
};

struct fake_worker
{
  struct kq_name name;
  int zone;
  double clock_rate; /* speed of its clock relative to real time */
  struct kq_resources capacity;
  uint64_t term, serial;
  struct kq_name holder;
  double lease_ends_at; /* real time */
  bool down, tasks_fail, leaving;
  struct fake_row rows[FAKE_MAX_ROWS];
  int row_count;
};

struct fake_host
{
  struct kq_name name;
  int zone;
  double clock_rate;   /* speed of its clock relative to real time */
  double clock_offset; /* its clock at real time 0, in seconds */
  uint64_t incarnation;
  struct kq_core *core; /* NULL: not running */
  struct kq_effects *effects;
  double paused_until; /* real time; negative: the next step begins a pause of
                          this length */
  int64_t next_offset;
  int64_t revision; /* of its configuration; must never decrease */
  /* real time since which it knows from the log that the worker is drained;
     0: it isn't or the host doesn't know */
  double drain_known_since[FAKE_WORKERS];
  /* real time since which it knows from the host list that the worker is
     leaving; 0: it isn't or the host doesn't know */
  double leaving_known_since[FAKE_WORKERS];
  bool stopping, stopped;
};

struct fake_log_entry
{
  struct kq_record *record;
  double appended_at; /* real time */
};

/** Active faults.  Probabilities apply to one message. */
struct fake_faults
{
  double drop, duplicate, late;                   /* probabilities */
  bool cut[FAKE_ZONES + 1][FAKE_ZONES + 1];       /* zones, from and to */
  bool requests_cut[FAKE_HOSTS][FAKE_WORKERS];    /* requests are lost */
  bool replies_cut[FAKE_HOSTS][FAKE_WORKERS];     /* replies are lost */
  bool peer_messages_cut[FAKE_HOSTS][FAKE_HOSTS]; /* from, to */
  double log_down_until;
  double log_reject, log_lose_reply; /* probabilities */
};

struct fake_item;

struct fake_world
{
  gsl_rng *rng;
  uint64_t seed;
  int64_t step, steps; /* number of items run, and number requested */
  double now;          /* simulated real time in seconds */
  struct fake_item **heap;
  size_t heap_count, heap_size;
  uint64_t serial;
  struct fake_host hosts[FAKE_HOSTS];
  struct fake_worker workers[FAKE_WORKERS];
  struct fake_faults faults;
  struct fake_log_entry *log; /* indexed by offset - 1 */
  int64_t log_count, log_first;
  double log_read_at; /* when a host last read to the end */
  double log_retention_sec;
  bool no_preempting_jobs;      /* submitted jobs are not important enough to
                                   preempt others; set after fake_init() */
  bool workers_report_no_usage; /* so that placement preempts nothing */
  struct kq_jobs *jobs;         /* state after all records of the log */
  struct kq_config *config;
  int64_t drained[FAKE_WORKERS]; /* offset of the current drain record; 0: not
                                    drained */
  struct fake_task *tasks;
  bool faults_stopped; /* no more faults and load */
  /* Called with the reply of a host's core to an operator's command, or
     NULL.  */
  void (*reply) (struct fake_world *world, int host,
                 const struct kq_effect *effect);
  int violations;
  char violation[512];
  char trace[FAKE_TRACE_LINES][160];
  int64_t trace_count;
  /* counters */
  int64_t starts, ends, evictions, resumes, kills, submits;
  uint64_t commands; /* also the latest command id */
  int64_t jobs_made;
};

enum fake_item_kind
{
  FAKE_TICK,
  FAKE_EVENT,   /* delivers an event to a host */
  FAKE_REQUEST, /* delivers a lease or task request to a worker */
  FAKE_APPEND,
  FAKE_READ_LOG,  /* a host reads the log */
  FAKE_HOST_LIST, /* sends the host list to all hosts */
  FAKE_FAULT,
  FAKE_LOAD,
  FAKE_UNDO /* ends one fault */
};

/** Reference-counted data that several deliveries of one message share. */
struct fake_payload
{
  int reference_count;
  struct kq_event event;
  struct kq_effect effect;
  void *bytes;
  struct kq_record *record;
};

/** An entry of the schedule. */
struct fake_item
{
  double at; /* real time */
  uint64_t serial;
  enum fake_item_kind kind;
  int host, worker;
  uint64_t incarnation;
  double sent_at; /* FAKE_REQUEST: clock of the host in microseconds;
                     FAKE_APPEND: real time in seconds */
  int undo_kind;  /* FAKE_UNDO: enum undo of test-soak.c */
  struct fake_payload *payload;
};

/* lib-fake-world.c */
void fake_init (struct fake_world *world, uint64_t seed);
void fake_free (struct fake_world *world);
/** Adds an item to the schedule and returns it for the caller to fill. */
struct fake_item *fake_schedule (struct fake_world *world, double at,
                                 enum fake_item_kind kind, int host);
/** Removes the next item from the schedule, advances the time to it and runs
 *  it.  FAKE_FAULT, FAKE_LOAD and FAKE_UNDO are run by the caller.  The caller
 *  frees the item.  */
struct fake_item *fake_run_next (struct fake_world *world);
void fake_item_free (struct fake_item *item);
/** Returns the time of HOST's own clock. */
kq_usec fake_clock (const struct fake_world *world,
                    const struct fake_host *host);
void fake_start_host (struct fake_world *world, int host);
void fake_kill_host (struct fake_world *world, int host);
/** Delivers EVENT to HOST's core now and runs the effects. */
void fake_deliver (struct fake_world *world, int host,
                   const struct kq_event *event);
/** Returns a random number between FROM and TO. */
double fake_uniform (struct fake_world *world, double from, double to);
/** Returns true with PROBABILITY. */
bool fake_chance (struct fake_world *world, double probability);
/** Returns a random number from 0 to COUNT - 1. */
int fake_pick (struct fake_world *world, int count);
/** Returns the delay of one message in seconds, at most MAX_DELAY;
 *  negative: it is lost.  */
double fake_delay (struct fake_world *world, int from, int to,
                   double max_delay);
/** Adds a line to the trace that is printed after a violation. */
void fake_trace (struct fake_world *world, const char *format, ...)
    __attribute__ ((format (printf, 2, 3)));
/** Counts a violation of an invariant; the text of the first one is stored. */
void fake_violation (struct fake_world *world, const char *format, ...)
    __attribute__ ((format (printf, 2, 3)));
/** Returns a payload with one reference. */
struct fake_payload *fake_payload_create (void);
void fake_payload_unref (struct fake_payload *payload);
/** Sends the event in PAYLOAD from zone FROM to HOST, possibly twice. */
void fake_send_event (struct fake_world *world, struct fake_payload *payload,
                      int from, int host);

/* lib-fake-worker.c */
/** Runs a lease or task request at its worker and sends the reply. */
void fake_worker_request (struct fake_world *world, struct fake_item *item);
/** Advances the attempts and leases of all workers to the current time. */
void fake_workers_advance (struct fake_world *world);
/** Removes the attempts of WORKER; its lease remains. */
void fake_worker_restart (struct fake_world *world, int worker);
/** Returns the facts about task ID, initially empty. */
struct fake_task *fake_task (struct fake_world *world,
                             const struct kq_task_id *id);

/* lib-fake-log.c */
/** Appends the record of an append request and sends the result. */
void fake_log_append (struct fake_world *world, struct fake_item *item);
/** Delivers new records of the log to a host. */
void fake_log_read (struct fake_world *world, struct fake_item *item);
/** Removes records older than the retention time. */
void fake_log_retain (struct fake_world *world);

/* lib-fake-load.c */
/** Returns a random running host that accepts commands, -1 when there is
 *  none.  */
int fake_live_host (struct fake_world *world);
/** Sends the command to HOST with a new id, which also names a submitted job.
 *  Does nothing when HOST is -1.  */
void fake_command (struct fake_world *world, int host,
                   struct kq_command *command);
/** Publishes a configuration of all shards and one service, based on the
 *  current revision.  */
void fake_configure (struct fake_world *world, int host);
/** Submits a job of random size. */
void fake_submit (struct fake_world *world, int host);

#endif

/** @file
 * Small fakes of workers, log, host list and network in virtual time, which
 * drive several decision cores and assert what must always hold.
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
#define FAKE_PER_SHARD 3
#define FAKE_WORKERS (FAKE_SHARDS * FAKE_PER_SHARD)
#define FAKE_LOG_PLACE FAKE_ZONES /* the log, for cuts */
#define FAKE_APPEND_TIMEOUT 1.0
#define FAKE_ROWS 64
#define FAKE_ATTEMPTS 32
#define FAKE_TRACE 400

/** A fact about one task that the fakes have seen. */
struct fake_task
{
  struct kq_task_id id;
  int done;         /* attempts that ended with success */
  int failed;       /* attempts that ended with failure */
  int resumes;      /* starts with a checkpoint */
  int64_t ended_at; /* offset of its first END record, 0 = none */
  int64_t last_attempt;
  struct
  {
    int64_t number;
    int worker;
    bool acknowledged;
  } attempts[FAKE_ATTEMPTS]; /* the newest, a ring */
  int attempt_count;
  UT_hash_handle hh;
};

struct fake_row
{
  struct kq_attempt_row row;
  double ends_at;    /* real time at which its own lease lapses */
  double started_at; /* of this stretch of work */
  int64_t run_ms;
  int64_t base;         /* checkpoint that it was started from */
  double checkpoint_at; /* a checkpoint is saved then; 0 = none asked */
};

struct fake_worker
{
  struct kq_name name;
  int zone;
  double rate; /* of its clock */
  struct kq_size capacity;
  uint64_t term, serial;
  struct kq_name holder;
  double lease_ends; /* real time */
  bool down, bad, leaving;
  struct fake_row rows[FAKE_ROWS];
  int row_count;
};

struct fake_host
{
  struct kq_name name;
  int zone;
  double rate; /* of its clock */
  double base; /* its clock's start */
  uint64_t incarnation;
  struct kq_core *core; /* NULL: dead */
  struct kq_effects *effects;
  double paused_until;
  int64_t next_offset;
  int64_t revision;                   /* highest seen, never to decrease */
  double heard_drain[FAKE_WORKERS];   /* likewise, by the log */
  double heard_leaving[FAKE_WORKERS]; /* since when it knows; 0 = not */
  bool stopping, stopped;
};

struct fake_entry
{
  struct kq_record *record;
  double at;
};

/** Faults in force; probabilities are of one message. */
struct fake_faults
{
  double drop, duplicate, late;
  bool cut[FAKE_ZONES + 1][FAKE_ZONES + 1];   /* from, to */
  bool asks_cut[FAKE_HOSTS][FAKE_WORKERS];    /* requests are lost */
  bool answers_cut[FAKE_HOSTS][FAKE_WORKERS]; /* answers are lost */
  bool peers_cut[FAKE_HOSTS][FAKE_HOSTS];     /* from, to */
  double log_down_until;
  double log_refuse, log_lose_answer;
};

struct fake_item;

struct fake_world
{
  gsl_rng *rng;
  uint64_t seed;
  int64_t step, steps;
  double now; /* real time in seconds */
  struct fake_item **heap;
  size_t heap_count, heap_size;
  uint64_t serial;
  struct fake_host hosts[FAKE_HOSTS];
  struct fake_worker workers[FAKE_WORKERS];
  struct fake_faults faults;
  struct fake_entry *log; /* by offset - 1 */
  int64_t log_count, log_first;
  double log_read_at;   /* when some host last read to the end */
  double log_keeps;     /* seconds */
  bool no_urgent_jobs;  /* that take the place of others; set after
                           fake_init() */
  bool states_no_usage; /* workers report none: placement moves nothing */
  struct kq_jobs *jobs; /* what the whole log says */
  struct kq_config *config;
  int64_t drained[FAKE_WORKERS]; /* offset of the record in force, or 0 */
  struct fake_task *tasks;
  bool quiet; /* faults have stopped */
  /* Takes the reply of a host's core to an operator's command; or NULL. */
  void (*reply) (struct fake_world *world, int host,
                 const struct kq_effect *effect);
  int violations;
  char violation[512];
  char trace[FAKE_TRACE][160];
  int64_t traced;
  /* figures */
  int64_t starts, ends, evictions, resumes, kills, submits;
  uint64_t commands;
  int64_t jobs_made;
};

enum fake_item_kind
{
  FAKE_TICK,
  FAKE_EVENT,   /* an event for a host */
  FAKE_REQUEST, /* a lease or task request at a worker */
  FAKE_APPEND,
  FAKE_POLL, /* a host reads the log */
  FAKE_LIST, /* the host list is sent */
  FAKE_FAULT,
  FAKE_LOAD,
  FAKE_UNDO /* ends one fault */
};

/** Data that several deliveries of one message share. */
struct fake_shared
{
  int count;
  struct kq_event event;
  struct kq_effect effect;
  void *bytes;
  struct kq_record *record;
};

struct fake_item
{
  double at;
  uint64_t serial;
  enum fake_item_kind kind;
  int host, worker;
  uint64_t incarnation;
  double sent_at; /* host's own clock, microseconds */
  int what;       /* FAKE_UNDO: see test-soak.c */
  struct fake_shared *shared;
};

/* lib-fake-world.c */
void fake_init (struct fake_world *world, uint64_t seed);
void fake_free (struct fake_world *world);
/** Puts an item into the schedule; returns it for the caller to fill. */
struct fake_item *fake_schedule (struct fake_world *world, double at,
                                 enum fake_item_kind kind, int host);
/** Takes the next item, sets the time and runs it unless it is a FAULT, LOAD
 *  or UNDO, which are the caller's.  The caller frees it. */
struct fake_item *fake_next (struct fake_world *world);
void fake_item_free (struct fake_item *item);
kq_usec fake_clock (const struct fake_world *world,
                    const struct fake_host *host);
void fake_start_host (struct fake_world *world, int host);
void fake_kill_host (struct fake_world *world, int host);
/** Gives HOST's core EVENT now. */
void fake_give (struct fake_world *world, int host,
                const struct kq_event *event);
double fake_uniform (struct fake_world *world, double from, double to);
bool fake_chance (struct fake_world *world, double probability);
int fake_pick (struct fake_world *world, int count);
/** Delay of one message in seconds; negative: it is lost. */
double fake_delay (struct fake_world *world, int from, int to, double most);
void fake_trace (struct fake_world *world, const char *format, ...)
    __attribute__ ((format (printf, 2, 3)));
void fake_violation (struct fake_world *world, const char *format, ...)
    __attribute__ ((format (printf, 2, 3)));
struct fake_shared *fake_share (void);
void fake_unshare (struct fake_shared *shared);
/** Sends the event in SHARED from place FROM to HOST, perhaps twice. */
void fake_send_event (struct fake_world *world, struct fake_shared *shared,
                      int from, int host);

/* lib-fake-worker.c */
void fake_worker_request (struct fake_world *world, struct fake_item *item);
/** Lets time pass for the rows of all workers. */
void fake_workers_advance (struct fake_world *world);
void fake_worker_restart (struct fake_world *world, int worker);
struct fake_task *fake_task (struct fake_world *world,
                             const struct kq_task_id *id);

/* lib-fake-log.c */
void fake_log_append (struct fake_world *world, struct fake_item *item);
void fake_log_poll (struct fake_world *world, struct fake_item *item);
void fake_log_retain (struct fake_world *world);

/* lib-fake-load.c */
/** Returns a host that runs and takes commands, -1 when there is none. */
int fake_live_host (struct fake_world *world);
/** Gives HOST the command, with a new id; a submitted job is named after it.
 *  HOST -1: nothing happens.  */
void fake_command (struct fake_world *world, int host,
                   struct kq_command *command);
/** Publishes the shards with some service from the revision in force. */
void fake_configure (struct fake_world *world, int host);
/** Submits a job of random size. */
void fake_submit (struct fake_world *world, int host);

#endif

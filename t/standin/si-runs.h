/** @file
 * The platform's workers: orders to them, their leases, the runs of tasks and
 * which of these must not be.  A task runs for the number of milliseconds in
 * its job's spec.
 */
#ifndef SI_RUNS_H
#define SI_RUNS_H

#include <uthash.h>

#include "t/standin/si-http.h"

#define SI_LASTING_SPEC "lasting"

struct twice_run;

struct run
{
  char task[64];
  int64_t number;
  double started_at;
  double ends_at;
  struct twice_run *record;
  bool stopped; /* ends with outcome "stopped" */
  struct run *next, *prev;
};

struct ended_run
{
  int64_t number; /* counts the ended runs of a worker from 1 */
  char task[64];
  int64_t run;
  const char *outcome;
  json_t *checkpoint;
  double ended_at;
  struct twice_run *record;
  struct ended_run *next, *prev;
};

/* Highest run of a task that was stopped or has ended at a worker; lower or
   equal runs are refused.  */
struct highest_run
{
  char task[64];
  int64_t run;
  UT_hash_handle hh;
};

/* What a worker does with orders while it is silent. */
enum silence
{
  SILENCE_NONE,
  SILENCE_LOST,    /* orders are lost */
  SILENCE_REPLIES, /* orders are carried out and replies are lost */
  SILENCE_DOWN     /* it has crashed */
};

/* The process that has the address 127.0.0.1:PORT now. */
struct worker
{
  int port;
  char id[24];
  int number;      /* in its ID */
  int replacement; /* also in its ID: how many processes had the address before
                    */
  struct si_server *server;
  double started_at;      /* start of the worker's clock, in seconds */
  int64_t incarnation_ms; /* start time, in milliseconds since 1970 */
  int64_t fence;
  int64_t until_ms;  /* end of the lease, on the worker's clock */
  double lapsed_at;  /* latest time at which it had no lease */
  int64_t life;      /* counts its starts and crashes */
  int64_t warmup_ms; /* how long it is cold after its next start */
  double warm_at;
  enum silence silence;
  double silent_until;
  enum silence next_silence;     /* after a restart; SILENCE_NONE: none */
  int64_t next_silence_after_ms; /* its start */
  int64_t next_silence_ms;
  int64_t crash_on_start_ms; /* how long it is down from the next start order
                                on; 0: no crash then */
  bool carries;           /* calls wait while it is down, for its next life */
  int64_t lossy_permille; /* of its calls, until lossy_until */
  double lossy_until;
  int64_t highest_fence; /* that it hears, until barred_until */
  double barred_until;
  bool replaced;     /* another process takes its address after the crash */
  bool unregistered; /* it does not register while it is silent */
  double unregisters_at; /* 0: it is registered or its entry is removed */
  int64_t end_count;
  struct run *runs;
  struct ended_run *ended;
  struct highest_run *highest_run;
};

/* State of a task across all workers. */
struct task
{
  char name[64];
  int running_count;
  bool end_acked; /* a host acknowledged that it is done */
  bool lasting;
  bool cancelled;
  double started_at;      /* latest start */
  double down_since;      /* of a lasting task; 0: it runs */
  struct twice_run *runs; /* all, in the order of their starts */
  UT_hash_handle hh;
};

extern int64_t si_start_count;
extern int64_t si_done_count;
extern int64_t si_other_id_count; /* orders refused as for another worker */
extern struct task *si_tasks;

/** First violation found; "": none. */
extern char si_violation[256];

/** Returns the task NAME, which begins to be known with the first call. */
struct task *si_find_task (const char *name);

void si_register_worker (const struct worker *worker);
void si_start_incarnation (struct worker *worker);

/** Restarts WORKER: its runs, unacknowledged ends and refused run numbers are
 *  lost.  */
void si_restart_worker (struct worker *worker);

/** Ends all runs of WORKER without a trace, as a crash does, and forgets what
 *  it knew of earlier runs.  */
void si_lose_runs (struct worker *worker);

/** Ends what is over at WORKER by now. */
void si_advance_worker (struct worker *worker);

/** Handles an order; CONTEXT is its worker. */
void si_on_run_request (struct si_request *request, void *context);

#endif

/** @file
 * Test harness that drives the scheduler of a cell with a simulated store and
 * workers: it keeps the records, records the orders, and lets the test supply
 * the status of workers.
 */
#ifndef KQ_T_LIB_SCHED_H
#define KQ_T_LIB_SCHED_H

#include "sched/sched.h"

#define TS_MAX_ORDERS 4096
#define TS_MAX_RECORDS 4096

#define TS_MAX_TERMS 16

/** Workers whose polls are kept. */
#define TS_MAX_POLLED 8

/** An order given by the scheduler. */
struct ts_order
{
  enum kq_sched_effect_kind kind;
  char worker[KQ_SCHED_NAME_SIZE];
  struct kq_sched_run run;
  int percent;
  char *checkpoint; /* of a start; the cell owns it */
  char ticket[KQ_SCHED_NAME_SIZE];
  int64_t lease_end_ms;
  int64_t fence;
  kq_usec at;
};

/** The polls of a worker. */
struct ts_poll
{
  char worker[KQ_SCHED_NAME_SIZE];
  int count;
  kq_usec at; /* the latest one */
};

struct ts_result
{
  uint64_t token;
  int status;
  enum kq_sched_state state;
  int pending;
  int64_t retry_ms;
};

struct ts_cell
{
  struct kq_sched *sched;
  struct kq_sched_now now;
  struct kq_sched_config config;
  struct kq_sched_queue queues[4];
  struct ts_order orders[TS_MAX_ORDERS];
  int order_count;
  char **checkpoints; /* of all starts */
  int checkpoint_count;
  struct ts_result results[TS_MAX_ORDERS];
  int result_count;
  struct kq_sched_effect pending_effects[TS_MAX_ORDERS];
  int pending_effect_count;
  struct kq_sched_record
      records[TS_MAX_RECORDS]; /* newest record of each key */
  int record_count;
  size_t max_record_bytes; /* 0: 1 MB */
  uint64_t stored;
  int64_t term;                       /* of the current owner */
  int64_t fence;                      /* highest one of any owner */
  kq_usec began_at[TS_MAX_TERMS];     /* by term */
  kq_usec confirmed_at[TS_MAX_TERMS]; /* by term: last confirmation by the
                                         store */
  bool store_down;
  int times; /* occurrences of jobs submitted from now on */
  int64_t interval_ms;
  uint64_t last_token;
  struct ts_poll polls[TS_MAX_POLLED]; /* one element a worker */
  int polled_count;
};

/** Creates a cell with the queues "urgent" (priority 0), "batch" (priority 2)
 *  and "advised" (priority 1, a policy allows some workers), all for the
 *  service "s".  */
void ts_start (struct ts_cell *cell);
void ts_stop (struct ts_cell *cell);

/** Creates a cell in memory of its own and starts it. */
struct ts_cell *ts_create (void);
void ts_destroy (struct ts_cell *cell);

/** Replaces the owner: a new scheduler restores the stored records. */
void ts_take_over (struct ts_cell *cell);

/** The same; the registration of worker ID is read before the records. */
void ts_take_over_registered (struct ts_cell *cell, const char *id,
                              int64_t cpu, int64_t mem,
                              int64_t incarnation_ms);

/** Advances the time by MS in steps, with ticks; stores records and executes
 *  effects.  */
void ts_advance (struct ts_cell *cell, int64_t ms);

/** Places tasks, stores records and executes the effects that are due. */
void ts_process_pending (struct ts_cell *cell);

void ts_register_worker (struct ts_cell *cell, const char *id, int64_t cpu,
                         int64_t mem);
void ts_register_incarnation (struct ts_cell *cell, const char *id,
                              int64_t cpu, int64_t mem,
                              int64_t incarnation_ms);
/** Registers a worker as REPORT says, and takes its first polls. */
void ts_register (struct ts_cell *cell,
                  const struct kq_sched_registration *report);
void ts_drain (struct ts_cell *cell, const char *id);

/** Submits a job with COUNT copies of STEP, each after the previous one. */
uint64_t ts_submit (struct ts_cell *cell, uint64_t job, const char *queue,
                    const struct kq_sched_step *step, int count);

uint64_t ts_query (struct ts_cell *cell, uint64_t job);
uint64_t ts_cancel (struct ts_cell *cell, uint64_t job);
const struct ts_result *ts_result_of (const struct ts_cell *cell,
                                      uint64_t token);

/** Replies to an order. */
void ts_reply_order (struct ts_cell *cell, const struct ts_order *order,
                     enum kq_sched_reply reply);

/** Replies to the poll of WORKER with its running and ended runs. */
void ts_reply_poll (struct ts_cell *cell, const char *worker,
                    const struct kq_sched_running *running,
                    size_t running_count, const struct kq_sched_ended *ended,
                    size_t ended_count);

/** Replies to a poll that was sent at SENT_AT, as the incarnation
 *  INCARNATION_MS of WORKER.  */
void ts_reply_poll_sent_at (struct ts_cell *cell, const char *worker,
                            kq_usec sent_at, int64_t incarnation_ms,
                            const struct kq_sched_running *running,
                            size_t running_count,
                            const struct kq_sched_ended *ended,
                            size_t ended_count);

/** Replies to POLICY_REQUEST: only the worker ALLOWED, if the request names
 * it, may run the step with TICKET, for VALID_MS.  */
void ts_advise (struct ts_cell *cell,
                const struct kq_sched_advice_request *policy_request,
                const char *allowed, const char *ticket, int64_t valid_ms);

/** Answers a poll of WORKER that was sent at SENT_AT with REPLY, without a
 *  status.  */
void ts_refuse_poll (struct ts_cell *cell, const char *worker, kq_usec sent_at,
                     enum kq_sched_reply reply);

/** Returns the number of polls of WORKER so far, and sets *AT to when the
 *  latest was sent if there was one.  */
int ts_count_polls (const struct ts_cell *cell, const char *worker,
                    kq_usec *at);

/** Removes the registration of WORKER. */
void ts_deregister (struct ts_cell *cell, const char *worker);

/** Lets the poll of WORKER fail without a reply. */
void ts_fail_poll (struct ts_cell *cell, const char *worker);

/** Returns the last order of KIND for task INDEX of STEP of JOB, or NULL. */
const struct ts_order *ts_last_order (const struct ts_cell *cell,
                                      enum kq_sched_effect_kind kind,
                                      uint64_t job, int step, int index);

/** Returns the number of orders of KIND. */
int ts_count_orders (const struct ts_cell *cell,
                     enum kq_sched_effect_kind kind);

/** Return a status row for the run of ORDER. */
struct kq_sched_running ts_running (const struct ts_order *order, int percent);
struct kq_sched_ended ts_ended (const struct ts_order *order, int64_t number,
                                enum kq_sched_end how);

/** Registers a worker with CPU and 4000 MiB, which runs nothing. */
void ts_add_idle_worker (struct ts_cell *cell, const char *id, int64_t cpu);

/** Returns the number of the latest run of task INDEX of the first step of JOB
 *  that was started; 0: none.  */
int ts_run_of (const struct ts_cell *cell, uint64_t job, int index);

/** Answers a poll of WORKER: its runs go on, but those that were told to stop
 *  have ended.  */
void ts_list_runs (struct ts_cell *cell, const char *worker);

/** The run of the only task of JOB ends HOW, as end NUMBER of its worker,
 * which runs nothing else.  */
void ts_end_run (struct ts_cell *cell, uint64_t job, int64_t number,
                 enum kq_sched_end how);

/** Lets another process answer at the address of WORKER. */
void ts_lose_worker (struct ts_cell *cell, const char *worker);

#endif

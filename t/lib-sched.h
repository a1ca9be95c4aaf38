/** @file
 * Drives the scheduler of a cell with a store and workers that live in the
 * test: records are kept, orders are noted, lists are made by hand.
 */
#ifndef KQ_T_LIB_SCHED_H
#define KQ_T_LIB_SCHED_H

#include "sched/sched.h"

#define TS_MAX_ORDERS 4096
#define TS_MAX_RECORDS 4096

/** An order that the scheduler gave. */
struct ts_order
{
  enum kq_sched_effect_kind kind;
  char worker[KQ_SCHED_NAME];
  struct kq_sched_run run;
  int percent;
  char checkpoint[KQ_SCHED_NAME];
  char ticket[KQ_SCHED_NAME];
  int64_t lease_end_ms;
  kq_usec at;
};

struct ts_answer
{
  uint64_t token;
  int status;
  enum kq_sched_state state;
  int pending;
};

struct ts_cell
{
  struct kq_sched *sched;
  struct kq_sched_now now;
  struct kq_sched_config config;
  struct kq_sched_queue queues[4];
  struct ts_order orders[TS_MAX_ORDERS];
  int order_count;
  struct ts_answer answers[TS_MAX_ORDERS];
  int answer_count;
  struct kq_sched_effect waiting[TS_MAX_ORDERS];
  int waiting_count;
  struct kq_sched_record records[TS_MAX_RECORDS]; /* newest of each key */
  int record_count;
  uint64_t stored;
  bool store_down;
  int times; /* of jobs that are handed in from now on */
  int64_t interval_ms;
  uint64_t last_token;
};

/** A cell with the queues "urgent" (priority 0), "batch" (priority 2) and
 *  "advised" (priority 1, a policy allows some workers), all for the service
 *  "s".  */
void ts_start (struct ts_cell *cell);
void ts_stop (struct ts_cell *cell);

/** Another owner takes over: a new scheduler reads the records. */
void ts_take_over (struct ts_cell *cell);

/** Moves time and ticks; carries out effects and stores records. */
void ts_advance (struct ts_cell *cell, int64_t ms);

/** Places, stores and carries out what is due now. */
void ts_settle (struct ts_cell *cell);

void ts_worker (struct ts_cell *cell, const char *id, int64_t cpu,
                int64_t mem);
void ts_worker_life (struct ts_cell *cell, const char *id, int64_t cpu,
                     int64_t mem, int64_t born_ms);
void ts_drain (struct ts_cell *cell, const char *id);

/** Hands in a job; STEP is copied COUNT times, each after the one before. */
uint64_t ts_submit (struct ts_cell *cell, uint64_t job, const char *queue,
                    const struct kq_sched_step *step, int count);

uint64_t ts_query (struct ts_cell *cell, uint64_t job);
uint64_t ts_cancel (struct ts_cell *cell, uint64_t job);
const struct ts_answer *ts_answer_to (const struct ts_cell *cell,
                                      uint64_t token);

/** Answers an order. */
void ts_reply (struct ts_cell *cell, const struct ts_order *order,
               enum kq_sched_answer answer);

/** Answers the look at WORKER with lists. */
void ts_list (struct ts_cell *cell, const char *worker,
              const struct kq_sched_running *running, size_t running_count,
              const struct kq_sched_ended *ended, size_t ended_count);

/** The same for a look that was sent at SENT_AT, by a worker of which the life
 *  began at BORN_MS.  */
void ts_list_sent (struct ts_cell *cell, const char *worker, kq_usec sent_at,
                   int64_t born_ms, const struct kq_sched_running *running,
                   size_t running_count, const struct kq_sched_ended *ended,
                   size_t ended_count);

/** Answers QUESTION: of its workers ALLOWED, if it is asked about, may run the
 *  step with TICKET for VALID_MS.  */
void ts_advise (struct ts_cell *cell, const struct kq_sched_question *question,
                const char *allowed, const char *ticket, int64_t valid_ms);

/** The look at WORKER has no answer. */
void ts_fail_look (struct ts_cell *cell, const char *worker);

/** Returns the last order of KIND for (JOB, STEP, INDEX), or NULL. */
const struct ts_order *ts_last_order (const struct ts_cell *cell,
                                      enum kq_sched_effect_kind kind,
                                      uint64_t job, int step, int index);

/** Counts the orders of KIND. */
int ts_count_orders (const struct ts_cell *cell,
                     enum kq_sched_effect_kind kind);

/** A row for ORDER's run. */
struct kq_sched_running ts_running (const struct ts_order *order, int percent);
struct kq_sched_ended ts_ended (const struct ts_order *order, int64_t number,
                                enum kq_sched_end how);

#endif

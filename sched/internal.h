/** @file
 * What the modules of sched/ share.
 */
#ifndef KQ_SCHED_INTERNAL_H
#define KQ_SCHED_INTERNAL_H

#include <uthash.h>
#include <utlist.h>

#include "sched/length.h"
#include "sched/pressure.h"
#include "sched/sched.h"

/* How long a renewal keeps a worker's tasks, on its clock.  Longer than a
   takeover and a restart of all hosts, shorter than hold_max of any known
   deployment.  Source: docs/design/platform.md. */
#define KQ_SCHED_LEASE_MS 5000

/* A start alone keeps its task for this long; a start that arrives later is
   refused by the worker. */
#define KQ_SCHED_START_LEASE_MS 3000

/* An owner that is cut from the store may renew leases for this long after
   its last confirmed term. */
#define KQ_SCHED_HOLD_WITHOUT_STORE (6 * KQ_USEC_PER_SEC)

/* Shortest time between two looks at a worker that has nothing to report. */
#define KQ_SCHED_LOOK_GAP (250 * KQ_USEC_PER_MSEC)

/* A worker without an answer for this long gets no new work. */
#define KQ_SCHED_SILENCE (1700 * KQ_USEC_PER_MSEC)

/* A worker with no task is looked at this seldom: its lease holds nothing, and
   its registration says when it is gone.  It counts as silent once two looks
   are missed. */
#define KQ_SCHED_IDLE_LOOK_GAP (3 * KQ_USEC_PER_SEC)
#define KQ_SCHED_IDLE_SILENCE (5 * KQ_USEC_PER_SEC)

/* Ends that a worker lists in one answer. */
#define KQ_SCHED_LISTED_ENDS 500

enum task_state
{
  TASK_WAITING, /* for earlier steps or its time */
  TASK_READY,
  TASK_BOUND, /* a run of it is written and may be at the worker */
  TASK_DONE
};

enum task_phase
{
  PHASE_WRITTEN,  /* waits for the journal */
  PHASE_ORDERED,  /* the start is on its way */
  PHASE_AT_WORK,  /* the worker has it */
  PHASE_DOUBTFUL, /* no answer to the start; a stop settles it */
  PHASE_STOPPING, /* a stop was taken */
  PHASE_RESTORED  /* read from the store; the worker is asked */
};

struct job;
struct stage;
struct worker;

struct task
{
  struct stage *stage;
  int index;
  enum task_state state;
  enum task_phase phase;
  int run;
  uint64_t failed_runs; /* bit N - 1: run N has failed */
  char checkpoint[KQ_SCHED_NAME];
  struct worker *worker;  /* while bound */
  struct worker *shunned; /* where it failed or stood still last */
  kq_usec phase_at;
  kq_usec stop_sent_at;
  bool stop_wanted;
  bool disturbs; /* placed where it disturbs: it is slowed down, not moved */
  int pace;      /* percent */
  kq_usec paced_at;
  int percent;
  kq_usec percent_at;
  kq_usec ready_at;
  int64_t figure;
  kq_usec over_since; /* its tail is over its target, 0: is not */
  struct task *prev;  /* of the worker, while bound */
  struct task *next;
};

/* One occurrence of a step. */
struct stage
{
  struct job *job;
  const struct kq_sched_step *step;
  int occurrence;
  int number;
  int image;   /* its number in the pressure model */
  double load; /* of its serving tasks, 0 to 1; 0: not known */
  struct task *tasks;
  int ready;
  int done;
  int measured;       /* tasks done of which the length is known */
  int64_t longest_ms; /* of these */
  bool open;          /* its turn has come */
  bool queued;
  bool advice_wanted;        /* no worker with a ticket had room */
  struct advice_row *advice; /* what the policy's service said */
  int advice_count;
  int64_t due_ms;     /* objective of its job, wall clock */
  int64_t rest_ms;    /* longest chain of steps from this one on */
  int rank;           /* 0: in time, 1: late, 2: too late to count */
  struct stage *prev; /* of the queue of stages with ready tasks */
  struct stage *next;
};

/* Lengths of the steps of one queue. */
struct queue_lengths
{
  char queue[KQ_SCHED_NAME];
  struct kq_length length;
  struct queue_lengths *next;
};

struct job
{
  uint64_t id;
  char queue_name[KQ_SCHED_NAME];
  struct kq_sched_queue queue; /* as last configured */
  struct kq_sched_spec spec;
  uint8_t *body; /* until its record is taken */
  size_t body_size;
  int64_t accepted_ms;
  int64_t ended_ms;
  enum kq_sched_state state;
  bool started;
  struct stage *stages; /* occurrences * steps */
  int stage_count;
  int stages_done;
  int opened; /* occurrences that are due */
  bool dirty;
  bool body_due;        /* its JobRecord is not written yet */
  bool drop;            /* its records are to be dropped */
  uint64_t changed;     /* journal position of its last change */
  uint64_t stored_from; /* position that stores its acceptance */
  struct job *dirty_prev;
  struct job *dirty_next;
  UT_hash_handle hh;
};

/* What fillers put on the serving tasks of one image at a worker. */
struct share_slot
{
  int image;
  double press;   /* P by the demands of all fillers there */
  double allowed; /* least that one of the tasks bears */
};

/* Serving images that are told apart at one worker; more share the last
   slot. */
#define SHARE_SLOTS 6

struct worker
{
  struct kq_sched_report report;
  bool registered;
  struct kq_sched_demand used;
  int64_t filler_cpu;
  int64_t idle_cpu; /* that serving tasks ask for and do not use */
  struct share_slot slots[SHARE_SLOTS];
  int slot_count;
  bool tense;       /* a serving task is near its target beside fillers */
  bool slots_valid; /* until a task comes or goes, or its load changes */
  int serving;      /* tasks that serve */
  int task_count;
  struct task *tasks;
  /* the look that renews its lease */
  int looks; /* under way: one that waits for an end, one that hurries */
  bool idle; /* it has no task, and is looked at seldom */
  bool look_at_once; /* a look at once, beside one that waits */
  kq_usec heard_at;  /* last answer of any kind, 0: never */
  kq_usec next_look_at;
  int64_t local_ms; /* at clock_at */
  kq_usec clock_at;
  int64_t lease_end_ms; /* latest that we sent, its clock */
  kq_usec lapsed_at;    /* by then all earlier leases have lapsed */
  int64_t seen;         /* highest end taken in */
  int64_t seen_stored;
  uint64_t seen_position;
  /* judgement */
  int failed_jobs; /* distinct jobs in a row that failed here */
  uint64_t last_failed_job;
  kq_usec shunned_until;
  kq_usec full_until;
  kq_usec paced_at;
  struct worker *prev;
  struct worker *next;
  UT_hash_handle hh;
};

struct effect_node
{
  struct kq_sched_effect effect;
  struct effect_node *next;
  struct effect_node *prev;
};

struct kq_sched
{
  struct job *jobs; /* by id */
  struct worker *workers;
  struct worker *worker_list;
  struct stage *queue; /* stages with ready tasks, most urgent first */
  struct job *dirty;
  uint64_t position; /* that the next taking of records closes */
  uint64_t stored;
  struct effect_node *effects;
  const struct kq_sched_config *config;
  struct kq_pressure *pressure;
  struct queue_lengths *lengths;
  bool asking;         /* a question about workers is under way */
  kq_usec ask_after;   /* the next one waits until then */
  kq_usec pressure_at; /* when its record was due last */
  bool pressure_due;
  bool deposed;
  struct worker *look_next; /* where the search for a due look goes on */
  kq_usec search_at;        /* it begins anew no earlier than this */
  kq_usec confirmed_at;     /* the term, by the store */
  kq_usec look_gap;  /* between an answer of a worker and the next look */
  bool room_changed; /* since tasks were placed last */
  struct kq_sched_counts counts;
};

/* sched.c */
struct kq_sched_effect *sched_add_effect (struct kq_sched *sched,
                                          enum kq_sched_effect_kind kind,
                                          uint64_t after);

struct job *sched_new_job (struct kq_sched *sched, uint64_t id,
                           const char *queue, int64_t accepted_ms,
                           struct kq_sched_spec *spec);

/* answers.c */
void answer_deposed (struct kq_sched *sched, const char *worker);
void answer_listed (struct kq_sched *sched, struct kq_sched_now now,
                    const struct kq_sched_event *event);
void answer_started (struct kq_sched *sched, struct kq_sched_now now,
                     const struct kq_sched_event *event);
void answer_stopped (struct kq_sched *sched, struct kq_sched_now now,
                     const struct kq_sched_event *event);

/* job.c */
struct job *job_find (struct kq_sched *sched, uint64_t id);
struct task *job_task (struct job *job, const struct kq_sched_run *run);
int job_build (struct kq_sched *sched, struct job *job);
void job_destroy (struct kq_sched *sched, struct job *job);
void job_mark_dirty (struct kq_sched *sched, struct job *job);
void job_open_due (struct kq_sched *sched, struct job *job,
                   struct kq_sched_now now);
void job_task_done (struct kq_sched *sched, struct task *task,
                    struct kq_sched_now now);
void job_task_failed (struct kq_sched *sched, struct task *task, int run,
                      struct kq_sched_now now);
void job_end (struct kq_sched *sched, struct job *job,
              enum kq_sched_state state, struct kq_sched_now now);
int job_pending (const struct kq_sched *sched, const char *queue);
bool job_is_over (const struct job *job);
bool job_has_bound (const struct job *job);
void job_log (const struct job *job, const char *event, const char *why);
void job_tick_all (struct kq_sched *sched, struct kq_sched_now now);

/* task.c */
void task_make_ready (struct kq_sched *sched, struct task *task,
                      struct kq_sched_now now);
void task_rank_all (struct kq_sched *sched, struct kq_sched_now now);
void task_unready (struct kq_sched *sched, struct task *task);
void task_bind (struct kq_sched *sched, struct task *task,
                struct worker *worker, struct kq_sched_now now);
void task_release (struct kq_sched *sched, struct task *task);
void task_stop (struct kq_sched *sched, struct task *task,
                struct kq_sched_now now);
void task_settle (struct kq_sched *sched, struct task *task,
                  struct kq_sched_now now, const char *why);
struct kq_sched_run task_run (const struct task *task);
void task_log (const struct task *task, const char *event, const char *why);
void run_format (const struct kq_sched_run *run, char text[64]);

/* worker.c */
struct worker *worker_find (struct kq_sched *sched, const char *id);
struct worker *worker_get (struct kq_sched *sched, const char *id);
void worker_report (struct kq_sched *sched, struct kq_sched_now now,
                    const struct kq_sched_report *report);
void worker_gone (struct kq_sched *sched, struct kq_sched_now now,
                  const char *id);
void worker_tick (struct kq_sched *sched, struct worker *worker,
                  struct kq_sched_now now);
bool worker_usable (const struct worker *worker, struct kq_sched_now now);
int64_t worker_clock (const struct worker *worker, kq_usec mono);
void worker_start_life (struct worker *worker, int64_t born_ms);
void worker_plan_look (const struct kq_sched *sched, struct worker *worker,
                       struct kq_sched_now now);
void worker_look_soon (struct worker *worker, struct kq_sched_now now);
void worker_look_now (struct kq_sched *sched, struct worker *worker);
void worker_heard (struct worker *worker, kq_usec now, int64_t local_ms);
void worker_granted (struct worker *worker, int64_t lease_end_ms);

/* place.c */

/* Whether WORKER may run a task of STAGE and has room, advice apart. */
bool place_fits (const struct worker *worker, const struct stage *stage,
                 struct kq_sched_now now);

/* advice.c */

/* The ticket with which WORKER may run tasks of STAGE, or NULL. */
const char *advice_ticket (const struct stage *stage,
                           const struct worker *worker,
                           struct kq_sched_now now);
void advice_drop (struct stage *stage, const struct worker *worker);
void advice_want (struct stage *stage);
void advice_clear (struct stage *stage);
void advice_take (struct kq_sched *sched, struct kq_sched_now now,
                  const struct kq_sched_advice *advice);

/* listing.c */
void listing_take (struct kq_sched *sched, struct worker *worker,
                   struct kq_sched_now now, kq_usec sent_at,
                   const struct kq_sched_listing *listing);

/* share.c */

/* The pressure on the serving tasks at WORKER with one more filler, in shares
   of what is allowed; 0 where it disturbs none of them. */
double share_press (struct kq_sched *sched, struct worker *worker, int image,
                    int64_t cpu);
void share_judge (struct kq_sched *sched, struct worker *worker,
                  struct kq_sched_now now);

/* record.c */
void record_clear_dirty (struct kq_sched *sched, struct job *job);

#endif
